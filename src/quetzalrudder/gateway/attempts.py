"""Planning of a statement's attempts: database, connection, conditions and time limit."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    ConnectionLimitReached,
    ConnectionOwnerLost,
    Draining,
    LinkLost,
    MalformedMessage,
    NoPrimary,
    NoReplica,
    Overloaded,
    PrimaryChanging,
    QuetzalrudderError,
    QueueTooLong,
    StaleTerm,
    StatementNotPrepared,
    TargetUnavailable,
    TruncatedAnswer,
)
from quetzalrudder.gateway.borrowing import FleetConnectionPool
from quetzalrudder.gateway.catalog import Consistency, Route
from quetzalrudder.gateway.connections import Checkout, Urgency
from quetzalrudder.gateway.data_centre_exit import ExitReason
from quetzalrudder.gateway.evacuation import (
    EvacuationTable,
    PrimaryEvacuated,
    TargetEvacuated,
)
from quetzalrudder.gateway.freshness import PositionWindow
from quetzalrudder.gateway.outlook import PrimaryOutlook
from quetzalrudder.gateway.permission import Permission
from quetzalrudder.gateway.placement import READ_ATTEMPT_TIMEOUT_S, Placement, ReadNeeds
from quetzalrudder.gateway.primaries import PrimaryTable, UsablePrimary
from quetzalrudder.gateway.running_statement import StatementProgress
from quetzalrudder.gateway.slot_links import SlotLimitedLink
from quetzalrudder.gateway.statements import (
    NOT_RUN_FAULTS,
    Commit,
    Statement,
    TargetFault,
    TargetReply,
)
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.store_eras import StoreEras
from quetzalrudder.gateway.suspicion import PrimaryMonitor
from quetzalrudder.gateway.targets import LogPosition, Target, TargetRegistry
from quetzalrudder.models import GroupId, RequestId, TargetId, WorkspaceId
from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import Clock

__all__ = [
    "QUEUE_FRACTION",
    "Attempt",
    "AttemptPlanner",
    "Request",
    "retry_delay_s",
    "run_offered",
]

# Delays between attempts, up to the time that a slow statement uses a slot.
FIRST_RETRY_DELAY_S = 0.003
MAX_RETRY_DELAY_S = 0.04
# Replicas at which a read is tried while none is known to answer.
MAX_UNKNOWN_REPLICAS = 2
# Fraction of a statement's timeout that it may spend waiting for slots, connections and
# primaries. The caller keeps the rest for a retry at another instance.
QUEUE_FRACTION = 0.6
# The same if the primary's data centre is evacuated: as long as a replacement usually takes.
EVACUATED_RETRY_S = 1.0
# Fraction of the time that a draining database takes requests after which none is planned there.
# The rest is for requests that wait for a connection or a slot, and for the store's watch.
DRAIN_FRACTION = 0.7


class PrimaryDraining(PrimaryChanging):
    """The primary is about to stop, and no other one is recorded yet."""


@dataclass
class Request:
    """A statement to run, with its deadlines and the attempts made so far."""

    request_id: RequestId
    statement: Statement
    route: Route
    workspace: WorkspaceId
    # Clock readings, in seconds.
    deadline_at: float
    # End of waiting for a slot, a connection or a primary.
    queue_until: float
    # Time by which the route's latency objective is met.
    objective_at: float
    # Log position of the session's latest commit.
    own_commits: LogPosition | None
    progress: StatementProgress = field(default_factory=StatementProgress)
    attempts: int = 0
    excluded: set[TargetId] = field(default_factory=set)

    @property
    def urgency(self) -> Urgency:
        """The statement's place among those that wait for a connection."""
        rank = 0 if isinstance(self.statement, Commit) else 1
        return Urgency(rank, self.route.priority, self.objective_at)

    def exclude(self, target: TargetId, fault: TargetFault | None) -> None:
        """Exclude a database from the next choice, unless it only lacked a prepared statement."""
        if fault is not TargetFault.NOT_PREPARED:
            self.excluded.add(target)

    def is_retryable(self, exc: QuetzalrudderError) -> bool:
        """Return whether another attempt can succeed after this failure."""
        return isinstance(exc, RETRYABLE_ERRORS) and not isinstance(exc, FINAL_ERRORS)


RETRYABLE_ERRORS = (
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
# Failures that would be the same until the request stops waiting.
FINAL_ERRORS = (PrimaryChanging, QueueTooLong)


@dataclass(frozen=True)
class Attempt:
    """A connection for one attempt, and the conditions under which its answer counts."""

    checkout: Checkout
    # Set if the answer counts only while this primary may be used.
    primary: UsablePrimary | None
    # Log position that the database must have reached.
    at_least: LogPosition | None
    deadline_at: float

    def timeout_s(self, now: float) -> float:
        """Return the seconds left for the attempt, at least 0.01."""
        return max(0.01, self.deadline_at - now)


class AttemptPlanner:
    """Chooses a database and a connection for each attempt, and records the results.

    Parameters
    ----------
    registry, evacuations, primaries, placement, pool
        Databases, the data centres to leave, the databases' primaries, their order for reads,
        and connections to them.
    refresh_position : Callable
        Fetches a recent position of a group's primary from other instances, if possible.
    permission, contact, eras
        This instance's right to use primaries, its contact with the store, and the store's returns
        from older copies.
    drain_limit_s : float, optional
        Time after which no request may reach a draining database, in seconds.
    rng : random.Random
        Spreads the delays that callers are told.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        registry: TargetRegistry,
        evacuations: EvacuationTable,
        primaries: PrimaryTable,
        placement: Placement,
        pool: FleetConnectionPool,
        refresh_position: Callable[[GroupId], None],
        permission: Permission,
        contact: StoreContact,
        eras: StoreEras,
        drain_limit_s: float = math.inf,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._contact = contact
        self._drain_limit_s = drain_limit_s
        self._registry = registry
        self._evacuations = evacuations
        self._primaries = primaries
        self._placement = placement
        self._pool = pool
        self._refresh_position = refresh_position
        self._clock = clock
        self._windows: dict[GroupId, PositionWindow] = {}
        self._monitors: dict[GroupId, PrimaryMonitor] = {}
        self.outlook = PrimaryOutlook(
            primaries=primaries,
            permission=permission,
            contact=contact,
            eras=eras,
            monitor=self.primary_monitor,
            rng=rng,
            clock=clock,
        )

    def position_window(self, group: GroupId) -> PositionWindow:
        """Return the recent log positions of a group's primary."""
        window = self._windows.get(group)
        return window or self._windows.setdefault(group, PositionWindow(self._clock))

    def primary_monitor(self, group: GroupId) -> PrimaryMonitor:
        """Return the monitor of this instance's contact with a group's primary."""
        monitor = self._monitors.get(group)
        return monitor or self._monitors.setdefault(group, PrimaryMonitor(self._clock))

    def plan(self, req: Request, *, needs_primary: bool) -> Result[Attempt, QuetzalrudderError]:
        """Choose a database for the next attempt and check out a connection to it."""
        if not needs_primary and req.route.consistency is not Consistency.PRIMARY:
            required = self._required_position(req)
            if required is not None:
                planned = self._plan_replica(req, required)
                if planned is not None:
                    return planned
        return self._plan_primary(req)

    def _required_position(self, req: Request) -> LogPosition | None:
        window = self.position_window(req.route.group)
        required = window.required_position(req.route.max_age_ms)
        if required is None:
            self._refresh_position(req.route.group)
            required = window.required_position(req.route.max_age_ms)
        if required is None or req.own_commits is None:
            return required
        return max(required, req.own_commits)

    def _plan_replica(
        self, req: Request, required: LogPosition
    ) -> Result[Attempt, QuetzalrudderError] | None:
        """Plan a read at a replica; return None if only the primary is left."""
        group = req.route.group
        record = self._primaries.record(group)
        primary = record.primary if record is not None else None
        needs = ReadNeeds(
            required_age_s=self.position_window(group).age_s(required),
            remaining_s=req.objective_at - self._clock.monotonic(),
            primary=primary,
        )
        candidates = self._placement.rank(group, req.workspace, req.excluded, needs)
        replicas = [target for target in candidates if target.target != primary]
        if len(req.excluded) >= MAX_UNKNOWN_REPLICAS and not any(
            self._placement.answers(replica.target) for replica in replicas
        ):
            # The others may not exist; the primary does.
            replicas = []
        deadline_at = min(req.deadline_at, self._clock.monotonic() + READ_ATTEMPT_TIMEOUT_S)
        for replica in replicas:
            timeout_s = self._placement.begin_read(replica)
            planned = self._check_out(req, replica, None, required, deadline_at)
            if isinstance(planned, Ok):
                self._placement.count_statement(replica, needs.reason)
                # The wait for the connection does not count as lateness of the answer.
                answer_by = self._clock.monotonic() + timeout_s
                return Ok(replace(planned.ok_value, deadline_at=min(deadline_at, answer_by)))
            if not isinstance(planned.err_value, QueueTooLong | ConnectionOwnerLost):
                return planned
        # No replica is left; later attempts may use the excluded ones again.
        req.excluded.clear()
        return None

    def _plan_primary(self, req: Request) -> Result[Attempt, QuetzalrudderError]:
        group = req.route.group
        primary = self.outlook.available_primary(group)
        if primary is None:
            expected_s = self.outlook.expected_s(group)
            remaining_s = req.queue_until - self._clock.monotonic()
            if expected_s is not None and expected_s < remaining_s:
                primary = self.outlook.wait_for_primary(group, remaining_s)
            if primary is None:
                return Err(self._primary_changing(group, expected_s))
        target = self._registry.serving(primary.target)
        if target is None:
            return Err(self._primary_changing(group, None))
        if self._evacuations.is_closed(target.data_centre):
            retry_after_ms = self.outlook.retry_after_ms(group, EVACUATED_RETRY_S)
            reason = "the primary's data centre is evacuated"
            return Err(PrimaryEvacuated(reason, place=group, retry_after_ms=retry_after_ms))
        if self._has_drained(target):
            retry_after_ms = self.outlook.retry_after_ms(group, None)
            reason = "the primary is about to stop, and none has taken its place yet"
            return Err(PrimaryDraining(reason, place=group, retry_after_ms=retry_after_ms))
        self._placement.count_statement(target, ExitReason.PRIMARY)
        return self._check_out(req, target, primary, None, req.deadline_at)

    def _has_drained(self, target: Target) -> bool:
        """Return whether nothing new may be sent to a primary, although none has replaced it.

        Without the store, no change of the primary can be recorded, so that it is used for as
        long as it serves.
        """
        if not self._contact.reached:
            return False
        return self._registry.draining_s(target.target) > DRAIN_FRACTION * self._drain_limit_s

    def _primary_changing(self, group: GroupId, expected_s: float | None) -> PrimaryChanging:
        when = "an unknown time" if expected_s is None else f"{expected_s:.2f} s"
        reason = f"the group has no usable primary at present; expected after {when}"
        retry_after_ms = self.outlook.retry_after_ms(group, expected_s)
        return PrimaryChanging(reason, place=group, retry_after_ms=retry_after_ms)

    def _check_out(
        self,
        req: Request,
        target: Target,
        primary: UsablePrimary | None,
        at_least: LogPosition | None,
        deadline_at: float,
    ) -> Result[Attempt, QuetzalrudderError]:
        wait_until = min(deadline_at, req.queue_until)
        checkout = self._pool.checkout(target, req.workspace, req.urgency, wait_until)
        if isinstance(checkout, Err):
            self._record_unreachable(target, primary, checkout.err_value)
            req.excluded.add(target.target)
            return checkout
        return Ok(Attempt(checkout.ok_value, primary, at_least, deadline_at))

    def _record_unreachable(
        self, target: Target, primary: UsablePrimary | None, exc: QuetzalrudderError
    ) -> None:
        if isinstance(
            exc,
            Overloaded
            | ConnectionLimitReached
            | TargetEvacuated
            | ConnectionOwnerLost
            | MalformedMessage,
        ):
            return
        self._placement.record_failure(target.target)
        if primary is not None:
            self.primary_monitor(primary.group).record_failure(target.target)

    def _record_answer(self, target: TargetId, primary: UsablePrimary | None) -> None:
        self._placement.record_answer(target)
        if primary is not None:
            self.primary_monitor(primary.group).record_answer(target)

    def accept_reply(
        self, attempt: Attempt, reply: TargetReply, sent_at: float, *, is_timed: bool = False
    ) -> bool:
        """Return whether a reply counts, and record what it shows.

        A primary's reply counts only if the primary cannot have been replaced by now. The
        time of a timed reply is compared with that of other databases.
        """
        target = attempt.checkout.target.target
        if is_timed and attempt.primary is None:
            size_bytes = sum(map(len, reply.rows))
            self._placement.record_answer(target, self._clock.monotonic() - sent_at, size_bytes)
        else:
            self._record_answer(target, attempt.primary)
        if attempt.primary is None:
            return True
        if not self._primaries.is_usable(attempt.primary):
            return False
        if reply.position is not None:
            self.position_window(attempt.primary.group).add(sent_at, reply.position)
        return True

    def is_primary_usable(self, attempt: Attempt) -> bool:
        """Return whether the attempt's primary may still be used."""
        return attempt.primary is not None and self._primaries.is_usable(attempt.primary)

    def record_fault(self, attempt: Attempt, fault: TargetFault | None) -> None:
        """Record a failed attempt; without a fault the connection was lost."""
        target = attempt.checkout.target.target
        match fault:
            case None:
                self._placement.record_failure(target)
                if attempt.primary is not None:
                    self.primary_monitor(attempt.primary.group).mark_doubtful(target)
            case TargetFault.BUSY:
                self._placement.record_busy(target)
                self._record_answer(target, attempt.primary)
            case TargetFault.LAGGING:
                lag_s = None
                if attempt.at_least is not None:
                    lag_s = self.position_window(attempt.checkout.target.group).age_s(
                        attempt.at_least
                    )
                self._placement.record_lagging(target, lag_s)
            case TargetFault.FAILED | TargetFault.TIMED_OUT | TargetFault.OTHER:
                self._placement.record_error(target)
                if attempt.primary is not None:
                    self.primary_monitor(attempt.primary.group).record_answer(target)
            case TargetFault.READ_ONLY if attempt.primary is not None:
                self.primary_monitor(attempt.primary.group).record_not_primary(target)
            case _:
                self._record_answer(target, attempt.primary)

    def record_not_offered(self, attempt: Attempt, exc: QuetzalrudderError) -> None:
        """Record that a connection owner could not offer a statement to the database."""
        if isinstance(exc, Overloaded):
            self._placement.record_busy(attempt.checkout.target.target)

    def begin_use(self, attempt: Attempt) -> None:
        """Count a transaction at a primary; a planned replacement waits for it to end."""
        if attempt.primary is not None:
            self._primaries.begin_use(attempt.primary.group)

    def end_use(self, attempt: Attempt) -> None:
        """End the count of a transaction at a primary."""
        if attempt.primary is not None:
            self._primaries.end_use(attempt.primary.group)


def run_offered(
    req: Request,
    attempt: Attempt,
    statement: Statement,
    timeout_s: float,
    at_least: LogPosition | None = None,
) -> Result[TargetReply, QuetzalrudderError]:
    """Run a caller's statement on the attempt's connection, unless it has been given up."""
    link = attempt.checkout.link
    if isinstance(link, SlotLimitedLink):
        # It waits for a slot first.
        offer = req.progress.offer
        result = link.run(req.request_id, statement, timeout_s, at_least, offer)
    elif req.progress.offer():
        result = link.run(req.request_id, statement, timeout_s, at_least)
    else:
        return Err(Draining("the statement has been given up, as the instance stops"))
    match result:
        case Ok(reply) if reply.fault in NOT_RUN_FAULTS:
            req.progress.withdraw()
        case Err(exc) if exc.ending is Ending.NOT_RUN:
            req.progress.withdraw()
    return result


def retry_delay_s(req: Request, rng: random.Random) -> float:
    """Return the delay before the next attempt: exponential, with jitter."""
    max_delay_s = min(MAX_RETRY_DELAY_S, FIRST_RETRY_DELAY_S * 2 ** min(req.attempts, 6))
    return max_delay_s * (0.5 + rng.random() / 2)
