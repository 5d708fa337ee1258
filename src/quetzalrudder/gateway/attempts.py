"""One attempt of a statement at a database: which one, under which proof, and for how long."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    ConnectionLimitReached,
    DeadlineExceeded,
    LinkLost,
    NoPrimary,
    NoReplica,
    OutcomeUnknown,
    Overloaded,
    PrimaryChanging,
    QuetzalrudderError,
    StaleTerm,
    StatementFailed,
    StatementNotPrepared,
    TargetUnavailable,
    TransactionAborted,
    TruncatedAnswer,
)
from quetzalrudder.gateway.borrowing import FleetConnectionPool
from quetzalrudder.gateway.catalog import Consistency, Route
from quetzalrudder.gateway.connections import Checkout, Urgency
from quetzalrudder.gateway.freshness import PositionWindow
from quetzalrudder.gateway.placement import Placement
from quetzalrudder.gateway.primaries import PrimaryTable, UsablePrimary
from quetzalrudder.gateway.statements import Commit, Statement, TargetFault, TargetReply
from quetzalrudder.gateway.suspicion import PrimaryMonitor
from quetzalrudder.gateway.targets import LogPosition, Target, TargetRegistry
from quetzalrudder.models import GroupId, RequestId, TargetId, WorkspaceId
from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import Clock

__all__ = [
    "QUEUE_PART",
    "Attempt",
    "AttemptPlanner",
    "Request",
    "fault_error",
    "lost_answer",
    "retry_pause_s",
    "stale_answer",
]

# Pauses between attempts. A slot is in use for 8 to 40 ms on average.
FIRST_PAUSE_S = 0.003
LONGEST_PAUSE_S = 0.04
# A read is tried elsewhere if a database takes longer, as its connection may be silent.
READ_ATTEMPT_S = 0.4
# Part of a statement's time for which it may wait for slots, connections and primaries;
# the caller keeps the rest for a retry at another instance.
QUEUE_PART = 0.6
# When a caller may come back while a primary is replaced: the platform states 300 to
# 1,000 ms for a promotion.
PRIMARY_RETRY_MS = 500


@dataclass
class Request:
    """A statement on its way, with what has been tried."""

    request_id: RequestId
    statement: Statement
    route: Route
    workspace: WorkspaceId
    # Clock readings, in seconds.
    deadline_at: float
    # When to stop waiting for something to run it.
    queue_until: float
    wanted_at: float
    # The session's own commits.
    covers: LogPosition | None
    attempts: int = 0
    excluded: set[TargetId] = field(default_factory=set)

    @property
    def urgency(self) -> Urgency:
        """Its place among others."""
        rank = 0 if isinstance(self.statement, Commit) else 1
        return Urgency(rank, self.route.priority, self.wanted_at)

    def exclude(self, target: TargetId, fault: TargetFault | None) -> None:
        """Leave a database out of the next choice."""
        if fault is not TargetFault.NOT_PREPARED:
            self.excluded.add(target)

    def may_repeat(self, exc: QuetzalrudderError) -> bool:
        """Tell whether an attempt after this failure can end otherwise."""
        return isinstance(exc, REPEATABLE) and not isinstance(exc, PrimaryChanging)


REPEATABLE = (
    ConnectionLimitReached,
    LinkLost,
    NoPrimary,
    NoReplica,
    Overloaded,
    StaleTerm,
    StatementNotPrepared,
    TargetUnavailable,
    TruncatedAnswer,
)


@dataclass(frozen=True)
class Attempt:
    """A connection on which to try a statement."""

    checkout: Checkout
    # Set if the answer counts only while this primary leads.
    primary: UsablePrimary | None
    # Log position that the database must hold.
    at_least: LogPosition | None
    until: float

    def timeout_s(self, now: float) -> float:
        """Seconds left for it."""
        return max(0.01, self.until - now)


class AttemptPlanner:
    """Chooses databases and proofs, and learns from the answers.

    Parameters
    ----------
    registry, primaries, placement, pool
        What is known of the databases, and connections to them.
    refresh_position : Callable
        Learns a recent position of a group's primary from other instances, if it can.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        registry: TargetRegistry,
        primaries: PrimaryTable,
        placement: Placement,
        pool: FleetConnectionPool,
        refresh_position: Callable[[GroupId], None],
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._primaries = primaries
        self._placement = placement
        self._pool = pool
        self._refresh_position = refresh_position
        self._clock = clock
        self._windows: dict[GroupId, PositionWindow] = {}
        self._monitors: dict[GroupId, PrimaryMonitor] = {}

    def window(self, group: GroupId) -> PositionWindow:
        """Positions of a group's primary."""
        return self._windows.setdefault(group, PositionWindow(self._clock))

    def monitor(self, group: GroupId) -> PrimaryMonitor:
        """Contact with a group's primary."""
        return self._monitors.setdefault(group, PrimaryMonitor(self._clock))

    def plan(self, req: Request, *, needs_primary: bool) -> Result[Attempt, QuetzalrudderError]:
        """Choose a database for the next attempt and borrow a connection to it."""
        if not needs_primary and req.route.consistency is not Consistency.PRIMARY:
            needed = self._needed(req)
            if needed is not None:
                found = self._plan_replica(req, needed)
                if found is not None:
                    return found
        return self._plan_primary(req)

    def _needed(self, req: Request) -> LogPosition | None:
        window = self.window(req.route.group)
        needed = window.required_position(req.route.max_age_ms)
        if needed is None:
            self._refresh_position(req.route.group)
            needed = window.required_position(req.route.max_age_ms)
        if needed is None or req.covers is None:
            return needed
        return max(needed, req.covers)

    def _plan_replica(
        self, req: Request, needed: LogPosition
    ) -> Result[Attempt, QuetzalrudderError] | None:
        """Plan a read at a replica; None if the primary is all that is left."""
        group = req.route.group
        record = self._primaries.record(group)
        primary = record.primary if record is not None else None
        found = self._placement.order(group, req.workspace, req.excluded)
        replicas = [target for target in found if target.target != primary]
        if not replicas:
            # The next round tries all of them again.
            req.excluded.clear()
            return None
        until = min(req.deadline_at, self._clock.monotonic() + READ_ATTEMPT_S)
        return self._borrow(req, replicas[0], None, needed, until)

    def _plan_primary(self, req: Request) -> Result[Attempt, QuetzalrudderError]:
        group = req.route.group
        now = self._clock.monotonic()
        primary = self._primaries.usable_primary(group)
        if primary is None:
            wait_s = min(self._primaries.expected_wait_s(group), req.queue_until - now)
            primary = self._primaries.wait_for_primary(group, wait_s)
        target = self._registry.get(primary.target) if primary is not None else None
        if target is None:
            reason = "no primary may be used"
            return Err(PrimaryChanging(reason, place=group, retry_after_ms=PRIMARY_RETRY_MS))
        return self._borrow(req, target, primary, None, req.deadline_at)

    def _borrow(
        self,
        req: Request,
        target: Target,
        primary: UsablePrimary | None,
        at_least: LogPosition | None,
        until: float,
    ) -> Result[Attempt, QuetzalrudderError]:
        wait_until = min(until, req.queue_until)
        checkout = self._pool.checkout(target, req.workspace, req.urgency, wait_until)
        if isinstance(checkout, Err):
            self._note_unreachable(target, primary, checkout.err_value)
            req.excluded.add(target.target)
            return checkout
        return Ok(Attempt(checkout.ok_value, primary, at_least, until))

    def _note_unreachable(
        self, target: Target, primary: UsablePrimary | None, exc: QuetzalrudderError
    ) -> None:
        if isinstance(exc, Overloaded | ConnectionLimitReached):
            return
        self._placement.note_failure(target.target)
        if primary is not None:
            self.monitor(primary.group).record_failure(target.target)

    def _answered(self, target: TargetId, primary: UsablePrimary | None) -> None:
        self._placement.note_answer(target)
        if primary is not None:
            self.monitor(primary.group).record_answer(target)

    def confirm(self, attempt: Attempt, reply: TargetReply, asked_at: float) -> bool:
        """Check that an answer counts, and learn from it.

        A primary's answer counts only if nothing can have replaced it until now.
        """
        self._answered(attempt.checkout.target.target, attempt.primary)
        if attempt.primary is None:
            return True
        if not self._primaries.is_usable(attempt.primary):
            return False
        if reply.position is not None:
            self.window(attempt.primary.group).add(asked_at, reply.position)
        return True

    def is_primary_usable(self, attempt: Attempt) -> bool:
        """Tell whether the attempt's primary may still be used."""
        return attempt.primary is not None and self._primaries.is_usable(attempt.primary)

    def note_fault(self, attempt: Attempt, fault: TargetFault | None) -> None:
        """Learn from a failure; without a fault the connection was lost."""
        target = attempt.checkout.target.target
        match fault:
            case None:
                self._placement.note_failure(target)
                if attempt.primary is not None:
                    self.monitor(attempt.primary.group).mark_doubtful(target)
            case TargetFault.BUSY:
                self._placement.note_busy(target)
                self._answered(target, attempt.primary)
            case TargetFault.LAGGING:
                self._placement.note_lagging(target)
            case TargetFault.READ_ONLY if attempt.primary is not None:
                self.monitor(attempt.primary.group).record_not_primary(target)
            case _:
                self._answered(target, attempt.primary)

    def note_not_offered(self, attempt: Attempt, exc: QuetzalrudderError) -> None:
        """Learn from a holder that could not offer a statement to the database."""
        if isinstance(exc, Overloaded):
            self._placement.note_busy(attempt.checkout.target.target)

    def begin_use(self, attempt: Attempt) -> None:
        """Count a transaction that a planned replacement waits for."""
        if attempt.primary is not None:
            self._primaries.begin_use(attempt.primary.group)

    def end_use(self, attempt: Attempt) -> None:
        """Uncount it."""
        if attempt.primary is not None:
            self._primaries.end_use(attempt.primary.group)


def stale_answer(place: str) -> NoPrimary:
    """Give the failure of an answer that came when the primary could have been replaced."""
    reason = "the primary may have been replaced before it answered"
    return NoPrimary(reason, place=place, retry_after_ms=PRIMARY_RETRY_MS)


def lost_answer(exc: QuetzalrudderError, *, writes: bool) -> QuetzalrudderError:
    """Give the ending of a request whose connection failed."""
    if not writes or exc.ending is Ending.NOT_RUN:
        return exc
    return OutcomeUnknown(f"no answer: {exc}", place=exc.place)


def retry_pause_s(req: Request, rng: random.Random) -> float:
    """Give the pause before the next attempt: it grows, and differs between callers."""
    longest_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** min(req.attempts, 6))
    return longest_s * (0.5 + rng.random() / 2)


def fault_error(reply: TargetReply, place: str) -> QuetzalrudderError:
    """Give the failure that stands for a database's fault."""
    reason = f"{reply.fault.value}: {reply.detail}" if reply.fault else reply.detail
    match reply.fault:
        case TargetFault.BUSY:
            return Overloaded(reason, place=place, retry_after_ms=20)
        case TargetFault.NOT_PREPARED:
            return StatementNotPrepared(reason, place=place)
        case TargetFault.LAGGING:
            return NoReplica(reason, place=place, retry_after_ms=20)
        case TargetFault.READ_ONLY:
            return NoPrimary(reason, place=place, retry_after_ms=PRIMARY_RETRY_MS)
        case TargetFault.MOVED:
            return TargetUnavailable(reason, place=place)
        case TargetFault.CONNECTION_LIMIT:
            return ConnectionLimitReached(reason, place=place, retry_after_ms=50)
        case TargetFault.ABORTED:
            return TransactionAborted(reason, place=place)
        case TargetFault.TIMED_OUT:
            return DeadlineExceeded(reason, place=place, ending=Ending.UNKNOWN)
        case _:
            return StatementFailed(reason, place=place)
