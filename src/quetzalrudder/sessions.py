"""A session: reads its own writes through whichever instance it reaches."""

import itertools
import uuid
from collections.abc import Iterable
from contextlib import ExitStack
from dataclasses import dataclass

from quetzalrudder.bridge import Loop
from quetzalrudder.callers import GrpcCallerAdapter
from quetzalrudder.exceptions import (
    Draining,
    KeyWithdrawn,
    LinkLost,
    OutcomeUnknown,
    QuetzalrudderError,
    TargetUnavailable,
)
from quetzalrudder.schema.caller import Access, Answer, AskOutcome, CallerFrame, Statement
from quetzalrudder.schema.common import Rows
from quetzalrudder.utils import MS_PER_S, SqlValue, from_value, parse_address, to_value

__all__ = ["QueryResult", "Session"]

DEFAULT_TIMEOUT_S = 5.0
ANSWER_GRACE_S = 1.0


@dataclass(frozen=True)
class QueryResult:
    """The whole answer to one request."""

    columns: list[str]
    rows: list[tuple[SqlValue, ...]]
    # Rows that a write changed.
    changed: int
    # The target that ran the request, and the instance that passed it on.
    target: str
    instance: str
    # True if an earlier run of the same request id gave this outcome.
    repeated: bool


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
    ) -> None:
        texts = [addresses] if isinstance(addresses, str) else list(addresses)
        self._addresses = [parse_address(text) for text in texts]
        self._next_address = itertools.cycle(self._addresses)
        self._workspace = workspace
        self._key = key
        self._timeout_s = timeout_s
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

    def ask_outcome(self, route: str, request_id: str) -> QueryResult:
        """Ask what became of a write whose answer was lost."""
        ask = AskOutcome(
            route=route, request_id=request_id, deadline_ms=int(self._timeout_s * MS_PER_S)
        )
        return self._send(CallerFrame(request_id=uuid.uuid4().hex, ask_outcome=ask))

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
            deadline_ms=int(self._timeout_s * MS_PER_S),
        )
        return self._send(CallerFrame(request_id=request_id or uuid.uuid4().hex, statement=stmt))

    def _send(self, frame: CallerFrame) -> QueryResult:
        last: QuetzalrudderError = TargetUnavailable("no instance")
        for _ in range(len(self._addresses) + 1):
            try:
                adapter = self._connected()
                answer = adapter.exchange(frame, self._timeout_s + ANSWER_GRACE_S).answer
            except (LinkLost, Draining) as exc:
                last = exc
                self.roam()
                continue
            except OutcomeUnknown:
                if self._adapter is not None and self._adapter.broken:
                    self.roam()
                raise
            self.token = answer.token or self.token
            return _to_result(answer, adapter.welcome.instance)
        raise last

    def _connected(self) -> GrpcCallerAdapter:
        if self._adapter is None or self._adapter.broken or self._adapter.moving_on:
            refusal = self._adapter.last_refusal() if self._adapter is not None else None
            self.roam()
            if isinstance(refusal, KeyWithdrawn):
                raise refusal
            self._adapter = GrpcCallerAdapter(
                self._loop, next(self._next_address), self._workspace, self._key, self._timeout_s
            )
        return self._adapter


def _to_result(answer: Answer, instance: str) -> QueryResult:
    rows = answer.rows or Rows()
    return QueryResult(
        columns=rows.columns,
        rows=[tuple(from_value(value) for value in row.values) for row in rows.rows],
        changed=rows.changed,
        target=answer.target,
        instance=instance,
        repeated=answer.repeated_request,
    )
