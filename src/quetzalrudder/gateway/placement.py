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
from quetzalrudder.gateway.read_shares import ReadShares
from quetzalrudder.gateway.target_estimates import ServiceTime, TargetEstimates
from quetzalrudder.gateway.targets import Target, TargetRegistry
from quetzalrudder.models import DataCentre, GroupId, TargetId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["READ_ATTEMPT_TIMEOUT_S", "Placement"]

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

# Opening a connection occupies a slot for 12 ms, half the time of a usual read.
CONNECT_COST = 0.5
# Another data centre is 0.5 to 1.4 ms away, a small fraction of a read of 24 ms.
REMOTE_DATA_CENTRE_COST = 0.1
# Upper bound of the random cost. If costs differ by less, it is better that instances choose
# different databases.
MAX_RANDOM_COST = 0.2
# A refusal counts as much as full use by this instance, and decays within a few reads.
BUSY_COST = 1.0
BUSY_DECAY_S = 0.2
# How long reads avoid a replica that lagged: about twice the greatest lag of the users'
# replicas on ordinary days, which is 48 ms; the usual lag is 8 ms.
LAGGING_HOLD_OFF_S = 0.1
# A failing database is retried soon at first; the delay doubles up to 2 s.
FIRST_HOLD_OFF_S = 0.2
MAX_HOLD_OFF_S = 2.0
# Enough to reach MAX_HOLD_OFF_S; bounds the exponent.
MAX_HOLD_OFF_DOUBLINGS = 10
# A database of a large fleet that has answered at least this share of its recent statements
# loses part of its reads by a failure, and is not held off.
MAX_PARTIAL_ERROR_SHARE = 0.5
# Failures without an answer between them after which a database counts as dead all the same.
DEAD_AFTER_FAILURES = 3
# Statements retried after errors and refusals multiply the expected time by at most ten.
MAX_RETRY_SHARE = 0.9
# Excess of the age of a position over the observed lag, for the variation of the lag.
LAG_MARGIN = 1.2


@dataclass
class _TargetHealth:
    busy_at: float = -1e9
    lagging_until: float = 0.0
    failures: int = 0
    held_off_until: float = 0.0
    # Set from a failure that is held off until the next answer.
    is_dead: bool = False
    # Time until which the result of a trial read is awaited.
    trial_until: float = 0.0
    answered: bool = False

    def end_failures(self) -> None:
        self.failures = 0
        self.is_dead = False
        self.trial_until = 0.0


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
        self._lock = threading.Lock()
        self._health: dict[TargetId, _TargetHealth] = {}

    def rank(
        self,
        group: GroupId,
        workspace: WorkspaceId,
        excluded: set[TargetId],
        required_age_s: float | None = None,
    ) -> list[Target]:
        """Return the databases that accept new work, the lowest cost first.

        Those that failed or lagged recently are left out, unless that leaves none.

        Parameters
        ----------
        group, workspace
            Group of databases, and workspace of the read.
        excluded : set of TargetId
            Databases that were tried already.
        required_age_s : float, optional
            Age of the log position that the read requires.
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
                usable or candidates, key=lambda target: self._cost(target, workspace, now)
            )
        usable = [
            target for target in candidates if self._is_usable(target.target, required_age_s, now)
        ]
        return self._rank_by_time(usable or candidates, workspace, now)

    def _rank_by_time(
        self, candidates: list[Target], workspace: WorkspaceId, now: float
    ) -> list[Target]:
        """Order by expected time to answer; those that fail lose part of the reads."""
        services = {
            target.target: service
            for target in candidates
            if (service := self._estimates.service_time(target.target)) is not None
        }
        unit_s = PRIOR_SERVICE_S
        if services:
            # A lower middle one: if half of the databases are slow, the others are the usual.
            usual_s = statistics.median_low(service.median_s for service in services.values())
            unit_s = max(MIN_UNIT_S, usual_s)
        least_error_share = min(
            (self._estimates.error_share(target.target) for target in candidates), default=0.0
        )
        shares = self._shares.relative(target.target for target in candidates)

        def key(target: Target) -> tuple[bool, float]:
            demoted = self._rng.random() >= shares[target.target]
            units = 1 + self._cost(target, workspace, now)
            units += self._queue_delay_s(target) / unit_s
            service = services.get(target.target)
            if service is not None:
                units += self._rng.random() * min(1.0, service.uncertainty_s / unit_s)
                units += _excess_s(service, unit_s) / unit_s
            return demoted, units * self._retry_factor(target.target, least_error_share)

        return sorted(candidates, key=key)

    def _retry_factor(self, target: TargetId, least_error_share: float) -> float:
        """Return by how much retries lengthen a read.

        Errors that all databases return alike come from the statements.
        """
        error_share = self._estimates.error_share(target) - least_error_share
        success = (1 - error_share) * (1 - self._estimates.refusal_share(target))
        return 1 / max(1 - MAX_RETRY_SHARE, success)

    def _is_usable(self, target: TargetId, required_age_s: float | None, now: float) -> bool:
        with self._lock:
            health = self._health_of(target)
            if max(health.held_off_until, health.trial_until) > now:
                return False
            lagging = health.lagging_until > now
        lag_s = self._estimates.lag_s(target)
        if required_age_s is None or lag_s == 0.0:
            return not lagging
        return required_age_s >= lag_s * LAG_MARGIN

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
        has_room = (
            self._pool.load(target) < MAX_LOAD_WITH_ROOM
            and self._queue_delay_s(target) == 0
            and self._estimates.refusal_share(target.target) < MAX_REFUSAL_SHARE_WITH_ROOM
        )
        longest_s = self._estimates.longest_usual_s(target.target)
        if longest_s is None or not has_room:
            return READ_ATTEMPT_TIMEOUT_S
        usual_s = max(MIN_READ_ATTEMPT_TIMEOUT_S, TIMEOUT_FACTOR * longest_s)
        return min(READ_ATTEMPT_TIMEOUT_S, usual_s)

    def _health_of(self, target: TargetId) -> _TargetHealth:
        return self._health.setdefault(target, _TargetHealth())

    def _is_held_off(self, target: TargetId, now: float) -> bool:
        with self._lock:
            health = self._health_of(target)
            return max(health.held_off_until, health.lagging_until) > now

    def _cost(self, target: Target, workspace: WorkspaceId, now: float) -> float:
        cost = self._pool.load(target) + MAX_RANDOM_COST * self._rng.random()
        if not self._pool.has_idle(target, workspace):
            cost += CONNECT_COST
        if target.data_centre != self._data_centre:
            cost += REMOTE_DATA_CENTRE_COST
        with self._lock:
            since_busy_s = now - self._health_of(target.target).busy_at
        if since_busy_s < BUSY_DECAY_S:
            cost += BUSY_COST * (1 - since_busy_s / BUSY_DECAY_S)
        return cost

    def _record_share(self, target: TargetId, *, failed: bool) -> None:
        if self._is_large():
            self._shares.record(target, failed=failed)

    def record_answer(self, target: TargetId, took_s: float | None = None) -> None:
        """Record an answer, which ends a run of failures.

        Parameters
        ----------
        target : TargetId
            The database.
        took_s : float, optional
            Time that a read at a replica took.
        """
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
            Age of the newest position that it can satisfy, as far as that is known.
        """
        with self._lock:
            health = self._health_of(target)
            health.lagging_until = self._clock.monotonic() + LAGGING_HOLD_OFF_S
            health.trial_until = 0.0
        if lag_s is not None:
            self._estimates.record_lag(target, lag_s)

    def record_failure(self, target: TargetId) -> None:
        """Record a lost connection or a missing answer; reads avoid the database for a while.

        In a large fleet one that answers most statements is not held off: its share of the
        reads shrinks.
        """
        self._estimates.record_error(target)
        self._record_share(target, failed=True)
        is_partial = (
            self._is_large() and self._estimates.error_share(target) < MAX_PARTIAL_ERROR_SHARE
        )
        with self._lock:
            health = self._health_of(target)
            health.failures += 1
            health.trial_until = 0.0
            if is_partial and health.answered and health.failures < DEAD_AFTER_FAILURES:
                return
            doublings = min(health.failures - 1, MAX_HOLD_OFF_DOUBLINGS)
            health.is_dead = True
            hold_off_s = min(MAX_HOLD_OFF_S, FIRST_HOLD_OFF_S * 2**doublings)
            health.held_off_until = self._clock.monotonic() + hold_off_s


def _excess_s(service: ServiceTime, usual_s: float) -> float:
    """Return how far a service time certainly differs from the usual one."""
    difference_s = service.mean_s - usual_s
    if difference_s < 0:
        return min(0.0, difference_s + service.uncertainty_s)
    return max(0.0, difference_s - service.uncertainty_s)
