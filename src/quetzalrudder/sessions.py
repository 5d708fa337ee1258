"""A session: reads its own writes through whichever instance it reaches."""

import itertools
import random
import uuid
from collections.abc import Iterable
from contextlib import ExitStack
from dataclasses import dataclass

import betterproto2

from quetzalrudder.bridge import Loop
from quetzalrudder.callers import GrpcCallerAdapter
from quetzalrudder.exceptions import (
    KeyWithdrawn,
    LinkLost,
    OutcomeUnknown,
    QuetzalrudderError,
    RequestCancelled,
)
from quetzalrudder.query_results import QueryResult, to_query_result
from quetzalrudder.retries import (
    OTHER_INSTANCE_ERRORS,
    RetryBudget,
    RetryPolicy,
    attempt_timeout_ms,
    final_error,
    should_ask_outcome,
)
from quetzalrudder.schema.caller import (
    Access,
    Answer,
    AskOutcome,
    CallerFrame,
    Commit,
    Statement,
)
from quetzalrudder.schema.common import Ending
from quetzalrudder.session_transactions import Transaction
from quetzalrudder.utils import (
    MS_PER_S,
    Clock,
    Deadline,
    SqlValue,
    SystemClock,
    parse_address,
    to_value,
)

__all__ = ["QueryResult", "Session"]

DEFAULT_TIMEOUT_S = 5.0
ANSWER_GRACE_S = 0.2
MAX_REMEMBERED_WRITES = 1024


@dataclass(frozen=True)
class Reply:
    """An answer, and the connection that it came by."""

    adapter: GrpcCallerAdapter
    answer: Answer
    result: QueryResult


class Session:
    """Sends requests to one of several instances, and roams when one is lost.

    Parameters
    ----------
    addresses : str or iterable of str
        ``host:port`` of one or more instances.
    workspace, key : str
        Who calls; without a key only open routes are reached.
    timeout_s : float
        Longest wait for one request, in seconds.
    clock : Clock, optional
        Source of time.
    rng : random.Random, optional
        Spreads the pauses before repeats.

    Examples
    --------
    >>> with Session("127.0.0.1:7001", "steppe/almaty", key) as session:  # doctest: +SKIP
    ...     session.write("steppe/offers", "INSERT INTO offers VALUES (?, ?)", 7, 4_100_000)
    ...     session.read("steppe/offers", "SELECT price FROM offers WHERE id = ?", 7).rows
    [(4100000,)]
    """

    def __init__(
        self,
        addresses: str | Iterable[str],
        workspace: str = "",
        key: str = "",
        timeout_s: float = DEFAULT_TIMEOUT_S,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        texts = [addresses] if isinstance(addresses, str) else list(addresses)
        self._addresses = [parse_address(text) for text in texts]
        self._next_address = itertools.cycle(self._addresses)
        self._workspace = workspace
        self._key = key
        self.timeout_s = timeout_s
        self._clock: Clock = clock or SystemClock()
        self._repeats = RetryPolicy(RetryBudget(), rng or random.Random())
        # When each write that is still without an outcome was first sent, in seconds.
        self._sent_at: dict[str, float] = {}
        self._stack = ExitStack()
        self._loop = self._stack.enter_context(Loop())
        self._adapter: GrpcCallerAdapter | None = None
        self.token = b""

    def __enter__(self) -> "Session":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self.roam()
        self._stack.close()

    def roam(self) -> None:
        """Leave the current instance; the next request goes to the next one."""
        if self._adapter is not None:
            self._adapter.close()
            self._adapter = None

    def read(self, route: str, sql: str, *params: SqlValue, max_age_ms: int = 0) -> QueryResult:
        """Run a statement that changes nothing.

        Parameters
        ----------
        route : str
            Path of the route.
        sql : str
            The statement, with ``?`` for parameters.
        *params
            Values of the parameters.
        max_age_ms : int
            Oldest acceptable data, in milliseconds; 0 takes the route's setting.

        Raises
        ------
        QuetzalrudderError
            The request failed; ``ending`` says whether it ran.
        """
        return self._run(route, sql, params, access=Access.READ, max_age_ms=max_age_ms)

    def write(
        self, route: str, sql: str, *params: SqlValue, request_id: str | None = None
    ) -> QueryResult:
        """Run a statement that changes data, at most once for a request id.

        Parameters
        ----------
        route : str
            Path of the route.
        sql : str
            The statement, with ``?`` for parameters.
        *params
            Values of the parameters.
        request_id : str, optional
            Repeat a failed write with the id that it had; a new id if omitted.

        Raises
        ------
        QuetzalrudderError
            The request failed; ``ending`` says whether it ran.
        """
        return self._run(route, sql, params, access=Access.WRITE, request_id=request_id)

    def transaction(self, route: str, *, request_id: str | None = None) -> Transaction:
        """Open a transaction, to be used in a ``with`` block.

        Parameters
        ----------
        route : str
            Path of the route.
        request_id : str, optional
            Id of the commit; repeat a failed transaction with the id that it had.

        Examples
        --------
        >>> with session.transaction("steppe/bookings") as tx:  # doctest: +SKIP
        ...     tx.write("UPDATE offers SET booked = 1 WHERE plate = ?", "01 KZ 777")
        ...     tx.write("INSERT INTO bookings VALUES (?)", "01 KZ 777")
        """
        return Transaction(self, route, request_id or uuid.uuid4().hex)

    def ask_outcome(
        self, route: str, request_id: str, *, sent_ago_s: float | None = None
    ) -> QueryResult:
        """Ask what became of a write or commit whose answer was lost.

        Parameters
        ----------
        route : str
            Path of the route.
        request_id : str
            Id of the write or commit.
        sent_ago_s : float, optional
            Time since it was first sent, in seconds; the session knows it of what
            it sent itself. Without it, an unrecorded write stays unknown.

        Returns
        -------
        QueryResult
            With ending *done*, the first answer; with ending *not run*, a promise
            that the request id never runs from now on.

        Raises
        ------
        OutcomeUnknown
            The question could not be answered yet.
        """
        ask = AskOutcome(route=route, request_id=request_id)
        sent_at = self._sent_at.get(request_id)
        if sent_ago_s is None and sent_at is not None:
            sent_ago_s = self._clock.monotonic() - sent_at
        if sent_ago_s is not None:
            ask.sent_ago_ms = int(sent_ago_s * MS_PER_S)
        return self.send(CallerFrame(request_id=uuid.uuid4().hex, ask_outcome=ask)).result

    def reset_token(self) -> None:
        """Forget what the session has seen, for example after ``PositionLost``."""
        self.token = b""

    def _run(
        self,
        route: str,
        sql: str,
        params: tuple[SqlValue, ...],
        *,
        access: Access,
        max_age_ms: int = 0,
        request_id: str | None = None,
    ) -> QueryResult:
        stmt = Statement(
            route=route,
            sql=sql,
            params=[to_value(param) for param in params],
            access=access,
            token=self.token,
            max_age_ms=max_age_ms,
        )
        frame = CallerFrame(request_id=request_id or uuid.uuid4().hex, statement=stmt)
        return self.send(frame).result

    def send(self, frame: CallerFrame, first: GrpcCallerAdapter | None = None) -> Reply:
        """Send a request, again through other instances where that is safe.

        Parameters
        ----------
        frame : CallerFrame
            The request.
        first : GrpcCallerAdapter, optional
            Connection of the first attempt; the session's own if omitted.

        Raises
        ------
        QuetzalrudderError
            The request failed; ``ending`` says whether it ran.
        """
        deadline = Deadline.after_ms(self._clock, int(self.timeout_s * MS_PER_S))
        sent_at = self._clock.monotonic()
        lost: QuetzalrudderError | None = None
        self._repeats.budget.add_request()
        for attempt in itertools.count(1):
            try:
                adapter, first = first or self._connected(deadline), None
                self._note_sent(frame, sent_at)
                return self._attempt(adapter, frame, deadline, sent_at)
            except QuetzalrudderError as exc:
                self._leave_after(exc)
                if isinstance(exc, KeyWithdrawn) and lost is None:
                    raise
                lost = lost or _lost(frame, exc)
                if lost is not None and should_ask_outcome(deadline, self.timeout_s):
                    return self._settle(frame, deadline, sent_at, lost)
                pause_s = self._repeats.retry_delay_s(exc, attempt, deadline)
                if pause_s is None:
                    raise final_error(exc, lost, frame.request_id) from exc
                self._clock.sleep(pause_s)
        raise AssertionError

    def _settle(
        self, frame: CallerFrame, deadline: Deadline, sent_at: float, lost: QuetzalrudderError
    ) -> Reply:
        _, request = betterproto2.which_one_of(frame, "kind")
        ask = AskOutcome(
            route=request.route,
            request_id=frame.request_id,
            sent_ago_ms=int((self._clock.monotonic() - sent_at) * MS_PER_S),
        )
        question = CallerFrame(request_id=uuid.uuid4().hex, ask_outcome=ask)
        try:
            sent = self._attempt(self._connected(deadline), question, deadline, sent_at)
        except QuetzalrudderError as exc:
            self._leave_after(exc)
            raise final_error(exc, lost, frame.request_id) from exc
        if sent.answer.ending is Ending.NOT_RUN:
            raise RequestCancelled("the request has not run, and never will", place=request.route)
        return sent

    def _attempt(
        self, adapter: GrpcCallerAdapter, frame: CallerFrame, deadline: Deadline, sent_at: float
    ) -> Reply:
        time_ms = attempt_timeout_ms(deadline)
        _, request = betterproto2.which_one_of(frame, "kind")
        request.deadline_ms = time_ms
        request.token = self.token
        if isinstance(request, Commit):
            request.sent_ago_ms = int((self._clock.monotonic() - sent_at) * MS_PER_S)
        answer = adapter.exchange(frame, time_ms / MS_PER_S + ANSWER_GRACE_S).answer
        self.token = answer.token or self.token
        result = to_query_result(answer, adapter.welcome.instance)
        if isinstance(request, AskOutcome):
            return Reply(adapter, answer, result)
        self._sent_at.pop(frame.request_id, None)
        return Reply(adapter, answer, result)

    def _note_sent(self, frame: CallerFrame, sent_at: float) -> None:
        if not _changes_data(frame):
            return
        self._sent_at.setdefault(frame.request_id, sent_at)
        while len(self._sent_at) > MAX_REMEMBERED_WRITES:
            self._sent_at.pop(next(iter(self._sent_at)))

    def _leave_after(self, exc: QuetzalrudderError) -> None:
        broken = self._adapter is not None and self._adapter.broken
        elsewhere = exc.ending is Ending.UNKNOWN or isinstance(exc, OTHER_INSTANCE_ERRORS)
        if broken or elsewhere:
            self.roam()

    def send_once(self, adapter: GrpcCallerAdapter, frame: CallerFrame) -> QueryResult:
        """Send a request on one connection, once.

        Raises
        ------
        QuetzalrudderError
            The request failed; ``ending`` says whether it ran.
        """
        answer = adapter.exchange(frame, self.timeout_s + ANSWER_GRACE_S).answer
        self.token = answer.token or self.token
        return to_query_result(answer, adapter.welcome.instance)

    def _connected(self, deadline: Deadline) -> GrpcCallerAdapter:
        if self._adapter is not None and self._adapter.moving_on:
            # The instance closes the connection itself, once no transaction is open on it.
            self._adapter = None
        if self._adapter is None or self._adapter.broken:
            refusal = self._adapter.closing_failure() if self._adapter is not None else None
            self.roam()
            if isinstance(refusal, KeyWithdrawn):
                raise refusal
            self._adapter = self._connect(attempt_timeout_ms(deadline) / MS_PER_S)
        return self._adapter

    def _connect(self, timeout_s: float) -> GrpcCallerAdapter:
        address = next(self._next_address)
        try:
            return GrpcCallerAdapter(self._loop, address, self._workspace, self._key, timeout_s)
        except (LinkLost, OutcomeUnknown) as exc:
            reason = exc.message
            raise LinkLost(reason, place=str(address), ending=Ending.NOT_RUN) from exc


def _changes_data(frame: CallerFrame) -> bool:
    match frame:
        case CallerFrame(commit=Commit()):
            return True
        case CallerFrame(statement=Statement(access=Access.WRITE)):
            return True
        case _:
            return False


def _lost(frame: CallerFrame, exc: QuetzalrudderError) -> QuetzalrudderError | None:
    """Give the failure if a change may have taken effect in spite of it."""
    return exc if exc.ending is Ending.UNKNOWN and _changes_data(frame) else None
