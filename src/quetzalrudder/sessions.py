"""Sessions, which read their own writes through any instance."""

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
# Added to a request's timeout for the transfer of its answer.
ANSWER_GRACE_S = 0.2
MAX_REMEMBERED_WRITES = 1024


@dataclass(frozen=True)
class Reply:
    """An instance's answer and the connection on which it arrived."""

    adapter: GrpcCallerAdapter
    answer: Answer
    result: QueryResult


class Session:
    """Sends requests to one of several instances, and moves to another if that one is lost.

    Parameters
    ----------
    addresses : str or iterable of str
        ``host:port`` of one or more instances.
    workspace : str
        Workspace of the caller.
    key : str
        Key of the workspace; without one, only open routes can be used.
    timeout_s : float
        Longest wait for one request, in seconds.
    clock : Clock, optional
        Source of time.
    rng : random.Random, optional
        Random source of the jitter of retry delays.

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
        address_texts = [addresses] if isinstance(addresses, str) else list(addresses)
        self._addresses = [parse_address(text) for text in address_texts]
        self._next_address = itertools.cycle(self._addresses)
        self._workspace = workspace
        self._key = key
        self.timeout_s = timeout_s
        self._clock: Clock = clock or SystemClock()
        self._retry_policy = RetryPolicy(RetryBudget(), rng or random.Random())
        # Clock reading when each write without a known outcome was first sent, in seconds.
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
        """Close the connection; the next request connects to the next instance."""
        if self._adapter is not None:
            self._adapter.close()
            self._adapter = None

    def read(self, route: str, sql: str, *params: SqlValue, max_age_ms: int = 0) -> QueryResult:
        """Run a statement that reads data.

        Parameters
        ----------
        route : str
            Path of the route.
        sql : str
            The statement, with ``?`` for parameters.
        *params
            Values of the parameters.
        max_age_ms : int
            Greatest acceptable age of the data, in milliseconds; 0 uses the route's setting.

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
            Id of the write; to retry a failed write, pass the id of its first attempt. A
            new id is generated if omitted.

        Raises
        ------
        QuetzalrudderError
            The request failed; ``ending`` says whether it ran.
        """
        return self._run(route, sql, params, access=Access.WRITE, request_id=request_id)

    def transaction(self, route: str, *, request_id: str | None = None) -> Transaction:
        """Return a transaction, which is opened by a ``with`` block.

        Parameters
        ----------
        route : str
            Path of the route.
        request_id : str, optional
            Id of the commit; to retry a failed transaction, pass the id of its first
            attempt. A new id is generated if omitted.

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
        """Query the outcome of a write or commit whose answer was lost.

        Parameters
        ----------
        route : str
            Path of the route.
        request_id : str
            Id of the write or commit.
        sent_ago_s : float, optional
            Time since it was first sent, in seconds; for a write that this session has
            sent, the session provides it. Without it, the outcome of an unrecorded write
            stays unknown.

        Returns
        -------
        QueryResult
            With ending *done*, the recorded answer; with ending *not run*, the
            guarantee that the request id does not run later.

        Raises
        ------
        OutcomeForgotten
            A recorded outcome may have been discarded; another query does not help.
        OutcomeUnknown
            The outcome could not be determined.
        """
        ask = AskOutcome(route=route, request_id=request_id)
        sent_at = self._sent_at.get(request_id)
        if sent_ago_s is None and sent_at is not None:
            sent_ago_s = self._clock.monotonic() - sent_at
        if sent_ago_s is not None:
            ask.sent_ago_ms = int(sent_ago_s * MS_PER_S)
        return self.send(CallerFrame(request_id=uuid.uuid4().hex, ask_outcome=ask)).result

    def reset_token(self) -> None:
        """Discard the positions read and written so far, for example after ``PositionLost``."""
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

    def send(self, frame: CallerFrame, first_adapter: GrpcCallerAdapter | None = None) -> Reply:
        """Send a request, retrying through other instances where that is safe.

        Parameters
        ----------
        frame : CallerFrame
            The request.
        first_adapter : GrpcCallerAdapter, optional
            Connection of the first attempt; the session's connection if omitted.

        Returns
        -------
        Reply
            The answer, or the recorded answer of an earlier attempt.

        Raises
        ------
        QuetzalrudderError
            The request failed; ``ending`` says whether it ran.
        """
        deadline = Deadline.after_ms(self._clock, int(self.timeout_s * MS_PER_S))
        sent_at = self._clock.monotonic()
        # Failure of the first attempt after which a change may have taken effect.
        lost_error: QuetzalrudderError | None = None
        self._retry_policy.budget.add_request()
        for attempt in itertools.count(1):
            try:
                adapter, first_adapter = first_adapter or self._get_adapter(deadline), None
                self._remember_write(frame, sent_at)
                return self._attempt(adapter, frame, deadline, sent_at)
            except QuetzalrudderError as exc:
                self._roam_if_needed(exc)
                if isinstance(exc, KeyWithdrawn) and lost_error is None:
                    raise
                lost_error = lost_error or _possible_effect(frame, exc)
                if lost_error is not None and should_ask_outcome(deadline, self.timeout_s):
                    return self._ask_lost_outcome(frame, deadline, sent_at, lost_error)
                delay_s = self._retry_policy.retry_delay_s(exc, attempt, deadline)
                if delay_s is None:
                    raise final_error(exc, lost_error, frame.request_id) from exc
                self._clock.sleep(delay_s)
        raise AssertionError

    def _ask_lost_outcome(
        self, frame: CallerFrame, deadline: Deadline, sent_at: float, lost_error: QuetzalrudderError
    ) -> Reply:
        _, request = betterproto2.which_one_of(frame, "kind")
        ask = AskOutcome(
            route=request.route,
            request_id=frame.request_id,
            sent_ago_ms=int((self._clock.monotonic() - sent_at) * MS_PER_S),
        )
        ask_frame = CallerFrame(request_id=uuid.uuid4().hex, ask_outcome=ask)
        try:
            reply = self._attempt(self._get_adapter(deadline), ask_frame, deadline, sent_at)
        except QuetzalrudderError as exc:
            self._roam_if_needed(exc)
            raise final_error(exc, lost_error, frame.request_id) from exc
        if reply.answer.ending is Ending.NOT_RUN:
            raise RequestCancelled(
                "the request did not run and cannot run later", place=request.route
            )
        return reply

    def _attempt(
        self, adapter: GrpcCallerAdapter, frame: CallerFrame, deadline: Deadline, sent_at: float
    ) -> Reply:
        timeout_ms = attempt_timeout_ms(deadline)
        _, request = betterproto2.which_one_of(frame, "kind")
        request.deadline_ms = timeout_ms
        request.token = self.token
        if isinstance(request, Commit):
            request.sent_ago_ms = int((self._clock.monotonic() - sent_at) * MS_PER_S)
        answer = adapter.exchange(frame, timeout_ms / MS_PER_S + ANSWER_GRACE_S).answer
        self.token = answer.token or self.token
        result = to_query_result(answer, adapter.welcome.instance)
        if isinstance(request, AskOutcome):
            return Reply(adapter, answer, result)
        self._sent_at.pop(frame.request_id, None)
        return Reply(adapter, answer, result)

    def _remember_write(self, frame: CallerFrame, sent_at: float) -> None:
        if not _changes_data(frame):
            return
        self._sent_at.setdefault(frame.request_id, sent_at)
        while len(self._sent_at) > MAX_REMEMBERED_WRITES:
            self._sent_at.pop(next(iter(self._sent_at)))

    def _roam_if_needed(self, exc: QuetzalrudderError) -> None:
        broken = self._adapter is not None and self._adapter.broken
        needs_other = exc.ending is Ending.UNKNOWN or isinstance(exc, OTHER_INSTANCE_ERRORS)
        if broken or needs_other:
            self.roam()

    def send_once(self, adapter: GrpcCallerAdapter, frame: CallerFrame) -> QueryResult:
        """Send a request on one connection, without retries, and return its result.

        Raises
        ------
        QuetzalrudderError
            The request failed; ``ending`` says whether it ran.
        """
        answer = adapter.exchange(frame, self.timeout_s + ANSWER_GRACE_S).answer
        self.token = answer.token or self.token
        return to_query_result(answer, adapter.welcome.instance)

    def _get_adapter(self, deadline: Deadline) -> GrpcCallerAdapter:
        if self._adapter is not None and self._adapter.moving_on:
            # The instance closes the connection once no transaction is open on it.
            self._adapter = None
        if self._adapter is None or self._adapter.broken:
            failure = self._adapter.closing_failure() if self._adapter is not None else None
            self.roam()
            if isinstance(failure, KeyWithdrawn):
                raise failure
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


def _possible_effect(frame: CallerFrame, exc: QuetzalrudderError) -> QuetzalrudderError | None:
    """Return the failure if a change may have taken effect in spite of it."""
    return exc if exc.ending is Ending.UNKNOWN and _changes_data(frame) else None
