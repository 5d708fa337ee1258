"""Choice of the database for a read: the one that will probably answer first.

Several replicas may serve a read, and other instances, whose load is not known here, use
the same slots. The choice weighs the use of each database by this instance, refusals
because all slots were in use, and recent failures. A random part keeps instances from
making the same choice.

Serves, in a large fleet, databases that differ: the order follows the expected time to
answer, from the times of answers, the queue and what retries cost, a lagging replica gets
the reads that it can satisfy, and one that fails part of its statements keeps part of its
reads. What is not observed yet has the costs of a small fleet.
"""

import random
import statistics
import threading
from collections.abc import Callable
from dataclasses import dataclass

from quetzalrudder.gateway.borrowing import FleetConnectionPool
from quetzalrudder.gateway.data_centre_exit import (
    CrossingPrice,
    DataCentreExit,
    ExitReason,
    Offer,
    best_offers,
)
from quetzalrudder.gateway.read_shares import ReadShares
from quetzalrudder.gateway.target_estimates import ServiceTime, TargetEstimates
from quetzalrudder.gateway.target_health import MAX_HOLD_OFF_S, TargetHealth
from quetzalrudder.gateway.targets import Target, TargetRegistry
from quetzalrudder.models import DataCentre, GroupId, TargetId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["MAX_HOLD_OFF_S", "READ_ATTEMPT_TIMEOUT_S", "Placement", "ReadNeeds"]

# A read that takes longer is retried at another database, as the connection may have
# stopped responding.
READ_ATTEMPT_TIMEOUT_S = 0.4
# In a large fleet it is retried after this multiple of the longest recent read at the same
# database, if that is sooner. A retry costs a connection, so this holds only while there is
# room: if statements queue, a late answer says nothing about the connection.
TIMEOUT_FACTOR = 3.0
MIN_READ_ATTEMPT_TIMEOUT_S = 0.05
MAX_LOAD_WITH_ROOM = 0.5
MAX_REFUSAL_SHARE_WITH_ROOM = 0.02

# All costs are fractions of the full use of a database by this instance. In a large fleet
# the unit is the usual time of a read in the group.

# Time of a read of which nothing is observed.
PRIOR_SERVICE_S = 0.024
# Least unit of the costs; answers may take less than the clock can tell.
MIN_UNIT_S = 0.001

# Opening a connection occupies a slot, for about half as long as a usual read.
CONNECT_COST = 0.5
# The way to another data centre of a region takes a small fraction of a usual read.
REMOTE_DATA_CENTRE_COST = 0.1
# Upper bound of the random cost. If costs differ by less, it is better that instances choose
# different databases.
MAX_RANDOM_COST = 0.2
# A database of a large fleet that has answered at least this share of its recent statements
# loses part of its reads by a failure, and is not held off.
MAX_PARTIAL_ERROR_SHARE = 0.5
# Statements retried after errors and refusals multiply the expected time by at most ten.
MAX_RETRY_SHARE = 0.9
# Excess of the age of a position over the observed lag, for the variation of the lag.
LAG_MARGIN = 1.2
# Weight of an answer in the expected size of the next one.
SIZE_WEIGHT = 0.05


@dataclass
class ReadNeeds:
    """What a read needs of a database, and why it leaves the data centre."""

    # Age of the log position that the database must have reached.
    required_age_s: float | None = None
    # Time left until the objective.
    remaining_s: float | None = None
    # Database that is ranked, but used only when no other is left.
    primary: TargetId | None = None
    # Set when the databases are ranked.
    reason: ExitReason = ExitReason.SOONER


class Placement:
    """Orders the databases of a group for one read.

    Parameters
    ----------
    registry : TargetRegistry
        The announced databases.
    pool : FleetConnectionPool
        Connections to the databases, and the load of each database.
    data_centre : DataCentre
        Data centre of this instance.
    rng : random.Random
        Source of the random part of the costs.
    clock : Clock
        Source of time.
    is_large : Callable
        Returns whether the fleet is large; in a small one nothing is estimated.
    queue_delay_s : Callable
        Returns the seconds that a statement is expected to wait for a database.
    count_change : Callable
        Counts changes of a database's share of reads.
    crossing_price : CrossingPrice, optional
        What leaving the data centre costs; without it only time counts.
    count_crossing : Callable
        Counts statements that leave the data centre, by reason.
    """

    def __init__(
        self,
        registry: TargetRegistry,
        pool: FleetConnectionPool,
        data_centre: DataCentre,
        rng: random.Random,
        clock: Clock,
        *,
        is_large: Callable[[], bool] = lambda: False,
        queue_delay_s: Callable[[Target], float] = lambda target: 0.0,
        count_change: Callable[[str], None] = lambda change: None,
        crossing_price: CrossingPrice | None = None,
        count_crossing: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._registry = registry
        self._pool = pool
        self._data_centre = data_centre
        self._rng = rng
        self._clock = clock
        self._is_large = is_large
        self._queue_delay_s = queue_delay_s
        self._estimates = TargetEstimates(clock)
        self._shares = ReadShares(clock, count_change)
        self._exit = None
        if crossing_price is not None:
            self._exit = DataCentreExit(data_centre, crossing_price, clock, rng)
        self._count_crossing = count_crossing
        self._size_bytes = 0.0
        self._lock = threading.Lock()
        self._health: dict[TargetId, TargetHealth] = {}

    def rank(
        self,
        group: GroupId,
        workspace: WorkspaceId,
        excluded: set[TargetId],
        needs: ReadNeeds | None = None,
    ) -> list[Target]:
        """Return the databases that accept new work, the lowest cost first.

        Those that failed or lagged recently are left out, unless that leaves none. A read that
        has been tried elsewhere goes first to those that answer: many that are announced may not
        exist.

        Parameters
        ----------
        group, workspace
            Group of databases, and workspace of the read.
        excluded : set of TargetId
            Databases that were tried already.
        needs : ReadNeeds, optional
            What the read needs; its ``reason`` is set.
        """
        candidates = [
            target
            for target in self._registry.usable_targets_in_group(group)
            if target.target not in excluded
        ]
        now = self._clock.monotonic()
        if not self._is_large():
            usable = [target for target in candidates if not self._is_held_off(target.target, now)]
            return sorted(
                usable or candidates,
                key=lambda target: (
                    bool(excluded) and not self.answers(target.target),
                    self._cost(target, workspace, now) + MAX_RANDOM_COST * self._rng.random(),
                ),
            )
        needs = needs or ReadNeeds()
        usable = [
            target
            for target in candidates
            if self._is_usable(target.target, needs.required_age_s, now)
        ]
        ranked = self._rank_by_time(usable or candidates, workspace, now, needs)
        if excluded:
            ranked.sort(key=lambda target: not self.answers(target.target))
        return ranked

    def _rank_by_time(
        self, candidates: list[Target], workspace: WorkspaceId, now: float, needs: ReadNeeds
    ) -> list[Target]:
        """Order by expected time to answer; those that fail lose part of the reads."""
        services = {
            target.target: service
            for target in candidates
            if (service := self._estimates.service_time(target.target)) is not None
        }
        # A lower middle one: if half of the databases are slow, the others are the usual.
        medians_s = [service.median_s for service in services.values()]
        unit_s = max(MIN_UNIT_S, statistics.median_low(medians_s or [PRIOR_SERVICE_S]))
        least_error_share = min(
            (self._estimates.error_share(target.target) for target in candidates), default=0.0
        )
        shares = self._shares.relative(target.target for target in candidates)

        def expected_units(target: Target) -> float:
            units = 1 + self._cost(target, workspace, now)
            units += self._queue_delay_s(target) / unit_s
            if (service := services.get(target.target)) is not None:
                units += _excess_s(service, unit_s) / unit_s
            return units * self._retry_factor(target.target, least_error_share)

        # What is not observed is no more certain than what is.
        widest_s = max((service.uncertainty_s for service in services.values()), default=0.0)
        units = {target.target: expected_units(target) for target in candidates}
        data_centre = self._choose_data_centre(candidates, units, unit_s, needs)

        def key(target: Target) -> tuple[bool, bool, float]:
            is_elsewhere = data_centre is not None and target.data_centre != data_centre
            demoted = self._rng.random() >= shares[target.target]
            spread = MAX_RANDOM_COST * self._rng.random()
            service = services.get(target.target)
            uncertainty_s = service.uncertainty_s if service is not None else widest_s
            spread += self._rng.random() * min(1.0, uncertainty_s / unit_s)
            return is_elsewhere, demoted, units[target.target] + spread

        return sorted(candidates, key=key)

    def _choose_data_centre(
        self,
        candidates: list[Target],
        units: dict[TargetId, float],
        unit_s: float,
        needs: ReadNeeds,
    ) -> DataCentre | None:
        """Return the data centre of a read; None if the operator set no price."""
        if self._exit is None:
            return None
        offers = best_offers(
            (target.data_centre, Offer(units[target.target] * unit_s, self._pool.load(target)))
            for target in candidates
            if target.target != needs.primary
        )
        local = offers.pop(self._data_centre, None)
        decision = self._exit.choose(local, offers, needs.remaining_s, self._size_bytes)
        needs.reason = decision.reason
        return decision.data_centre

    def _retry_factor(self, target: TargetId, least_error_share: float) -> float:
        """Return by how much retries lengthen a read; errors common to all do not count."""
        error_share = self._estimates.error_share(target) - least_error_share
        success = (1 - error_share) * (1 - self._estimates.refusal_share(target))
        return 1 / max(1 - MAX_RETRY_SHARE, success)

    def _is_usable(self, target: TargetId, required_age_s: float | None, now: float) -> bool:
        with self._lock:
            health = self._health_of(target)
            if health.is_held_off(now):
                return False
            lagging = health.lagging_until > now
        lag_s = self._estimates.lag_s(target)
        if required_age_s is None or lag_s == 0.0:
            return not lagging
        return required_age_s >= lag_s * LAG_MARGIN

    def count_statement(self, target: Target, reason: ExitReason) -> None:
        """Count a statement if it leaves the data centre."""
        if target.data_centre != self._data_centre:
            self._count_crossing(reason.value)

    def _record_crossing(self, target_id: TargetId, *, failed: bool) -> None:
        target = self._registry.queryable(target_id) if self._exit is not None else None
        if target is None or target.data_centre == self._data_centre:
            return
        if failed:
            self._exit.record_failure(target.data_centre)
        else:
            self._exit.record_answer(target.data_centre)

    def begin_read(self, target: Target) -> float:
        """Record that a read is about to be sent; return the time limit for its answer.

        The first read after a hold-off is a trial: others avoid the database until its
        result is known.
        """
        if not self._is_large():
            return READ_ATTEMPT_TIMEOUT_S
        now = self._clock.monotonic()
        with self._lock:
            health = self._health_of(target.target)
            if health.is_dead:
                health.trial_until = now + READ_ATTEMPT_TIMEOUT_S
            # A read that was cut tells nothing of how long it would have taken.
            was_cut = health.failures > 0
        has_room = (
            not was_cut
            and self._pool.load(target) < MAX_LOAD_WITH_ROOM
            and self._queue_delay_s(target) == 0
            and self._estimates.refusal_share(target.target) < MAX_REFUSAL_SHARE_WITH_ROOM
        )
        longest_s = self._estimates.longest_usual_s(target.target)
        if longest_s is None or not has_room:
            return READ_ATTEMPT_TIMEOUT_S
        usual_s = max(MIN_READ_ATTEMPT_TIMEOUT_S, TIMEOUT_FACTOR * longest_s)
        return min(READ_ATTEMPT_TIMEOUT_S, usual_s)

    def _health_of(self, target: TargetId) -> TargetHealth:
        return self._health.setdefault(target, TargetHealth())

    def _is_held_off(self, target: TargetId, now: float) -> bool:
        with self._lock:
            health = self._health_of(target)
            return health.is_held_off(now) or health.lagging_until > now

    def answers(self, target: TargetId) -> bool:
        """Return whether a database has answered, and has not failed since."""
        with self._lock:
            health = self._health_of(target)
            return health.answered and not health.is_dead

    def _cost(self, target: Target, workspace: WorkspaceId, now: float) -> float:
        cost = self._pool.load(target)
        if not self._pool.has_idle(target, workspace):
            cost += CONNECT_COST
        if target.data_centre != self._data_centre:
            cost += REMOTE_DATA_CENTRE_COST
        with self._lock:
            return cost + self._health_of(target.target).busy_cost(now)

    def _record_share(self, target: TargetId, *, failed: bool) -> None:
        if self._is_large():
            self._shares.record(target, failed=failed)

    def record_answer(
        self, target: TargetId, took_s: float | None = None, size_bytes: int = 0
    ) -> None:
        """Record an answer, which ends a run of failures.

        Parameters
        ----------
        target : TargetId
            The database.
        took_s : float, optional
            Time that a read at a replica took.
        size_bytes : int
            Size of its rows.
        """
        self._record_crossing(target, failed=False)
        if took_s is not None:
            self._size_bytes += SIZE_WEIGHT * (size_bytes - self._size_bytes)
        with self._lock:
            health = self._health_of(target)
            health.end_failures()
            health.answered = True
        self._estimates.record_answer(target, took_s)
        self._record_share(target, failed=False)

    def record_error(self, target: TargetId) -> None:
        """Record a statement that the database failed although the connection is good."""
        with self._lock:
            health = self._health_of(target)
            health.end_failures()
        self._estimates.record_error(target)
        self._record_share(target, failed=True)

    def record_busy(self, target: TargetId) -> None:
        """Record a refusal because all slots were in use."""
        with self._lock:
            self._health_of(target).busy_at = self._clock.monotonic()
        self._estimates.record_refusal(target)

    def record_lagging(self, target: TargetId, lag_s: float | None = None) -> None:
        """Record that a replica had not reached a required position.

        Parameters
        ----------
        target : TargetId
            The replica.
        lag_s : float, optional
            Age of that position, as far as it is known.
        """
        with self._lock:
            health = self._health_of(target)
            health.record_lagging(self._clock.monotonic())
        if lag_s is not None:
            self._estimates.record_lag(target, lag_s)

    def record_failure(self, target: TargetId) -> None:
        """Record a lost connection or a missing answer; reads avoid the database for a while.

        In a large fleet one that answers most statements is not held off: its share of the
        reads shrinks.
        """
        self._record_crossing(target, failed=True)
        self._estimates.record_error(target)
        self._record_share(target, failed=True)
        is_partial = (
            self._is_large() and self._estimates.error_share(target) < MAX_PARTIAL_ERROR_SHARE
        )
        with self._lock:
            health = self._health_of(target)
            is_partial = is_partial and health.answered
            health.record_failure(self._clock.monotonic(), is_partial=is_partial)


def _excess_s(service: ServiceTime, usual_s: float) -> float:
    """Return how far a service time certainly differs from the usual one."""
    difference_s = service.mean_s - usual_s
    if difference_s < 0:
        return min(0.0, difference_s + service.uncertainty_s)
    return max(0.0, difference_s - service.uncertainty_s)
