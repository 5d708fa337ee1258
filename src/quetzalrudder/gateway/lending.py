"""Lends this instance's connections to peers, which run statements on them.

Serves a fleet with more instances than a database takes connections: two instances own all
connections to a database, and the others send their statements through them.
"""

import itertools
import logging
import random
import threading
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field

from result import Err, Result

from quetzalrudder.exceptions import QuetzalrudderError, TargetUnavailable, to_failure
from quetzalrudder.gateway.connections import GatewayPool, PooledCheckout, Urgency
from quetzalrudder.gateway.lent_messages import decode_position, decode_statement, encode_reply
from quetzalrudder.gateway.link_setup import SessionSetupFailed, set_up_link
from quetzalrudder.gateway.slot_links import MAX_WAIT_FRACTION
from quetzalrudder.gateway.statements import (
    Commit,
    Rollback,
    SessionState,
    TargetFault,
    TargetReply,
)
from quetzalrudder.gateway.targets import Target, TargetRegistry
from quetzalrudder.gateway.wait_queue import Claim
from quetzalrudder.models import RequestId, TargetId, WorkspaceId
from quetzalrudder.schema.common import Ending
from quetzalrudder.schema.gateway import EndRequest, RunReply, RunRequest, StatementKind, Wanted
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["ConnectionLender"]

log = logging.getLogger(__name__)

# Longer than the platform lets a transaction be idle, so a borrower that is silent for this
# long no longer exists.
LENT_IDLE_TIMEOUT_S = 20.0
# Longest time between BEGIN and the statement that it was sent for. If that statement does
# not arrive, the answer to BEGIN was lost.
FIRST_STATEMENT_TIMEOUT_S = 1.0


@dataclass
class _LentConnection:
    checkout: PooledCheckout
    borrower: str
    # The claim of the request that it was lent for.
    claim: Claim
    last_used_at: float
    # Session values before its transaction.
    values_before: dict[str, str] = field(default_factory=dict)
    statement_count: int = 0
    # Held while a statement runs.
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def idle_timeout_s(self) -> float:
        """Seconds without a statement after which the connection is taken back."""
        return LENT_IDLE_TIMEOUT_S if self.statement_count > 1 else FIRST_STATEMENT_TIMEOUT_S


class ConnectionLender:
    """Lends this instance's connections to peers.

    Parameters
    ----------
    registry : TargetRegistry
        The databases.
    pool : GatewayPool
        The connections.
    is_leaving : Callable
        Returns whether this instance is about to stop; it lends nothing then.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        pool: GatewayPool,
        is_leaving: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._pool = pool
        self._is_leaving = is_leaving
        self._clock = clock
        self._lock = threading.Lock()
        # Starts at random, so that ids issued by an earlier process are not issued again.
        self._ids = itertools.count(random.SystemRandom().getrandbits(48))
        self._lent: dict[int, _LentConnection] = {}

    @property
    def open_checkouts(self) -> int:
        """Number of connections that are lent to peers."""
        return len(self._lent)

    def run(self, req: RunRequest) -> RunReply:
        """Run a statement on a connection that is newly lent or was lent before."""
        deadline_at = self._clock.monotonic() + req.timeout_ms / MS_PER_S
        if req.wanted is not None:
            lent_or_reply = self._lend(req.wanted, deadline_at)
            if isinstance(lent_or_reply, RunReply):
                return lent_or_reply
            checkout_id, lent = lent_or_reply
        else:
            checkout_id = req.loan
            with self._lock:
                lent = self._lent.get(checkout_id)
            if lent is None:
                # The statement cannot have run: each id is issued once, by one process.
                return RunReply(
                    failure=to_failure(TargetUnavailable("the connection is not lent any more"))
                )
        with lent.lock, ExitStack() as stack:
            # After an unexpected error, an answer may be outstanding on the connection.
            stack.callback(self._take_back, checkout_id, reusable=False)
            lent.statement_count += 1
            lent.last_used_at = self._clock.monotonic()
            result = self._run_on(lent.checkout, req, deadline_at)
            stack.pop_all()
            if lent.statement_count == 1:
                lent.values_before = dict(lent.checkout.pooled.values)
            lent.last_used_at = self._clock.monotonic()
        reply = self._make_reply(checkout_id, lent, req, result)
        return self._add_load(reply, lent.checkout.target, lent.claim)

    def _add_load(self, reply: RunReply, target: Target, claim: Claim) -> RunReply:
        """Add what the borrower needs to know before it sends its next statement."""
        now = self._clock.monotonic()
        # The claim of another statement like this one that arrives now.
        due_at = now + claim.urgency.due_at - claim.arrived_at
        urgency = Urgency(1, claim.urgency.priority, due_at)
        another = Claim(urgency, claim.workspace, claim.until, now)
        reply.use = self._pool.load(target)
        reply.queue_delay_ms = round(self._pool.expected_delay_s(target, another) * MS_PER_S)
        return reply

    def _lend(self, wanted: Wanted, deadline_at: float) -> "tuple[int, _LentConnection] | RunReply":
        """Check out a connection for a peer; return its id, or the reply of a failure."""
        target = self._registry.serving(TargetId(wanted.target))
        if target is None or self._is_leaving():
            reason = (
                "the connection owner does not know the database"
                if target is None
                else "the connection owner is stopping"
            )
            failure = to_failure(TargetUnavailable(reason, place=wanted.target))
            return RunReply(failure=failure, not_holder=True)
        now = self._clock.monotonic()
        urgency = Urgency(wanted.rank, wanted.priority, now + wanted.wanted_ms / MS_PER_S)
        longest_wait_s = MAX_WAIT_FRACTION * max(0.0, deadline_at - now)
        wait_until = now + min(longest_wait_s, wanted.wait_ms / MS_PER_S)
        workspace = WorkspaceId(wanted.workspace)
        claim = Claim(urgency, workspace, wait_until, now)
        result = self._pool.checkout(target, workspace, urgency, wait_until)
        if isinstance(result, Err):
            failure = to_failure(result.err_value)
            # Whatever happened to the connection, the statement was not sent.
            failure.ending = Ending.NOT_RUN
            return self._add_load(RunReply(failure=failure), target, claim)
        checkout = result.ok_value
        lent = _LentConnection(checkout, wanted.instance, claim, now)
        with self._lock:
            checkout_id = next(self._ids)
            self._lent[checkout_id] = lent
        return checkout_id, lent

    def _run_on(
        self, checkout: PooledCheckout, req: RunRequest, deadline_at: float
    ) -> Result[TargetReply, QuetzalrudderError]:
        values = {entry.name: entry.value for entry in req.values}
        statement = decode_statement(req.statement)
        if not isinstance(statement, Commit | Rollback):
            prepare = decode_statement(req.prepare) if req.prepare is not None else None
            setup = set_up_link(checkout.pooled, values, prepare)
            if isinstance(setup, Err):
                return setup
        timeout_s = max(0.01, deadline_at - self._clock.monotonic())
        at_least = decode_position(req.at_least)
        return checkout.link.run(RequestId(req.request_id), statement, timeout_s, at_least)

    def _make_reply(
        self,
        checkout_id: int,
        lent: _LentConnection,
        req: RunRequest,
        result: Result[TargetReply, QuetzalrudderError],
    ) -> RunReply:
        """Encode the answer, and take the connection back unless a transaction is open on it."""
        if isinstance(result, Err):
            exc = result.err_value
            reusable = isinstance(exc, SessionSetupFailed) and exc.leaves_link_idle
            self._take_back(checkout_id, reusable=reusable)
            return RunReply(failure=to_failure(exc))
        reply = result.ok_value
        if reply.fault is TargetFault.NOT_PREPARED:
            lent.checkout.invalidate_prepared()
        if reply.state is not SessionState.IDLE:
            encoded = encode_reply(reply)
            encoded.loan = checkout_id
            return encoded
        may_be_undone = req.statement.kind is StatementKind.ROLLBACK or reply.fault is not None
        if may_be_undone and lent.checkout.pooled.values != lent.values_before:
            # It is unknown whether the database undid the changes.
            lent.checkout.invalidate_values()
        failed_rollback = req.statement.kind is StatementKind.ROLLBACK and reply.fault is not None
        self._take_back(checkout_id, reusable=not failed_rollback)
        return encode_reply(reply)

    def _take_back(self, checkout_id: int, *, reusable: bool) -> None:
        with self._lock:
            lent = self._lent.pop(checkout_id, None)
        if lent is None:
            return
        if reusable:
            lent.checkout.mark_reusable()
        lent.checkout.release()

    def end(self, req: EndRequest) -> None:
        """Close a connection whose borrower has given up its transaction."""
        self._take_back(req.loan, reusable=False)

    def reclaim_idle(self) -> None:
        """Close lent connections that were idle too long; called several times a second."""
        now = self._clock.monotonic()
        with self._lock:
            abandoned = {
                checkout_id: lent
                for checkout_id, lent in self._lent.items()
                if not lent.lock.locked() and now - lent.last_used_at > lent.idle_timeout_s
            }
            for checkout_id in abandoned:
                del self._lent[checkout_id]
        for lent in abandoned.values():
            log.warning(
                "lent connection taken back",
                extra={
                    "target": lent.checkout.target.target,
                    "borrower": lent.borrower,
                    "idle_s": round(now - lent.last_used_at, 1),
                },
            )
            lent.checkout.release()
