"""The holder's side of lent connections: peers run statements on them.

Answers the load of a fleet with more instances than a database takes connections: two
instances hold all connections to a database, and the others send statements through them.
"""

import itertools
import logging
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Result

from quetzalrudder.exceptions import QuetzalrudderError, TargetUnavailable, to_failure
from quetzalrudder.gateway.connections import GatewayPool, PooledCheckout, Urgency
from quetzalrudder.gateway.lent_messages import decode_position, decode_statement, encode_reply
from quetzalrudder.gateway.running import bring_to
from quetzalrudder.gateway.statements import (
    Commit,
    Rollback,
    SessionState,
    TargetFault,
    TargetReply,
)
from quetzalrudder.gateway.targets import TargetRegistry
from quetzalrudder.models import RequestId, TargetId, WorkspaceId
from quetzalrudder.schema.common import Ending
from quetzalrudder.schema.gateway import EndRequest, RunReply, RunRequest, StatementKind, Wanted
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["ConnectionLender"]

log = logging.getLogger(__name__)

# Longer than the platform lets a transaction rest; then its borrower is gone.
IDLE_S = 20.0
# Between BEGIN and the statement that it was sent for: the answer to BEGIN was lost.
FIRST_PAUSE_S = 1.0


@dataclass
class _LentConnection:
    checkout: PooledCheckout
    borrower: str
    used_at: float
    # Session values before its transaction.
    values_before: dict[str, str] = field(default_factory=dict)
    statements: int = 0
    busy: threading.Lock = field(default_factory=threading.Lock)

    @property
    def longest_idle_s(self) -> float:
        """Seconds without a statement after which the borrower is gone."""
        return IDLE_S if self.statements > 1 else FIRST_PAUSE_S


class ConnectionLender:
    """Lends this instance's connections to peers.

    Parameters
    ----------
    registry : TargetRegistry
        The databases.
    pool : GatewayPool
        The connections.
    leaving : Callable
        Tells whether this instance is about to stop; it lends nothing then.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        pool: GatewayPool,
        leaving: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._pool = pool
        self._leaving = leaving
        self._clock = clock
        self._lock = threading.Lock()
        # Numbers of an earlier process are not given out again.
        self._numbers = itertools.count(random.SystemRandom().getrandbits(48))
        self._lent: dict[int, _LentConnection] = {}

    @property
    def open_checkouts(self) -> int:
        """Connections that peers have now."""
        return len(self._lent)

    def run(self, req: RunRequest) -> RunReply:
        """Run a statement, on a connection that is lent now or was lent before."""
        until = self._clock.monotonic() + req.timeout_ms / MS_PER_S
        if req.wanted is not None:
            found = self._lend(req.wanted, until)
            if isinstance(found, RunReply):
                return found
            number, lent = found
        else:
            number = req.loan
            with self._lock:
                lent = self._lent.get(number)
            if lent is None:
                # Nothing can have run: a number is lent once, by one process.
                return RunReply(failure=to_failure(TargetUnavailable("no such loan")))
        with lent.busy:
            lent.statements += 1
            lent.used_at = self._clock.monotonic()
            result = self._run_on(lent.checkout, req, until)
            if lent.statements == 1:
                lent.values_before = dict(lent.checkout.pooled.values)
            lent.used_at = self._clock.monotonic()
        reply = self._settled(number, lent, req, result)
        reply.use = self._pool.load(lent.checkout.target)
        return reply

    def _lend(self, wanted: Wanted, until: float) -> "tuple[int, _LentConnection] | RunReply":
        target = self._registry.get(TargetId(wanted.target))
        if target is None or self._leaving():
            reason = "no such database here" if target is None else "the holder is leaving"
            failure = to_failure(TargetUnavailable(reason, place=wanted.target))
            return RunReply(failure=failure, not_holder=True)
        now = self._clock.monotonic()
        urgency = Urgency(wanted.rank, wanted.priority, now + wanted.wanted_ms / MS_PER_S)
        wait_until = min(until, now + wanted.wait_ms / MS_PER_S)
        workspace = WorkspaceId(wanted.workspace)
        found = self._pool.checkout(target, workspace, urgency, wait_until)
        if isinstance(found, Err):
            failure = to_failure(found.err_value)
            # Whatever became of the connection, the statement was not sent.
            failure.ending = Ending.NOT_RUN
            return RunReply(failure=failure, use=self._pool.load(target))
        checkout = found.ok_value
        lent = _LentConnection(checkout, wanted.instance, now)
        with self._lock:
            number = next(self._numbers)
            self._lent[number] = lent
        return number, lent

    def _run_on(
        self, checkout: PooledCheckout, req: RunRequest, until: float
    ) -> Result[TargetReply, QuetzalrudderError]:
        values = {entry.name: entry.value for entry in req.values}
        statement = decode_statement(req.statement)
        if not isinstance(statement, Commit | Rollback):
            prepare = decode_statement(req.prepare) if req.prepare is not None else None
            done = bring_to(checkout.pooled, values, prepare)
            if isinstance(done, Err):
                done.err_value.ending = Ending.NOT_RUN
                return done
        timeout_s = max(0.01, until - self._clock.monotonic())
        at_least = decode_position(req.at_least)
        return checkout.link.run(RequestId(req.request_id), statement, timeout_s, at_least)

    def _settled(
        self,
        number: int,
        lent: _LentConnection,
        req: RunRequest,
        result: Result[TargetReply, QuetzalrudderError],
    ) -> RunReply:
        """Take the connection back unless a transaction is open on it."""
        if isinstance(result, Err):
            self._take_back(number, keep=False)
            return RunReply(failure=to_failure(result.err_value))
        reply = result.ok_value
        if reply.fault is TargetFault.NOT_PREPARED:
            lent.checkout.forget_prepared()
        if reply.state is not SessionState.IDLE:
            encoded = encode_reply(reply)
            encoded.loan = number
            return encoded
        may_be_undone = req.statement.kind is StatementKind.ROLLBACK or reply.fault is not None
        if may_be_undone and lent.checkout.pooled.values != lent.values_before:
            # Whether the database undid the changes is not known.
            lent.checkout.forget_values()
        self._take_back(number, keep=True)
        return encode_reply(reply)

    def _take_back(self, number: int, *, keep: bool) -> None:
        with self._lock:
            lent = self._lent.pop(number, None)
        if lent is None:
            return
        if keep:
            lent.checkout.keep()
        lent.checkout.end()

    def end(self, req: EndRequest) -> None:
        """Close a connection whose borrower has left its transaction."""
        self._take_back(req.loan, keep=False)

    def expire(self) -> None:
        """Take back what borrowers have left; called several times a second."""
        now = self._clock.monotonic()
        with self._lock:
            left = {
                number: lent
                for number, lent in self._lent.items()
                if not lent.busy.locked() and now - lent.used_at > lent.longest_idle_s
            }
            for number in left:
                del self._lent[number]
        for lent in left.values():
            log.warning(
                "lent connection taken back",
                extra={
                    "target": lent.checkout.target.target,
                    "borrower": lent.borrower,
                    "idle_s": round(now - lent.used_at, 1),
                },
            )
            lent.checkout.end()
