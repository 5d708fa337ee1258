"""The placement before databases were estimated: own use, refusals and a hold-off for all."""

import random
import threading
from dataclasses import dataclass

from quetzalrudder.gateway.borrowing import FleetConnectionPool
from quetzalrudder.gateway.targets import Target, TargetRegistry
from quetzalrudder.models import DataCentre, GroupId, TargetId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["NaivePlacement"]

# All costs are fractions of the full use of a database by this instance.

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


@dataclass
class _TargetHealth:
    busy_at: float = -1e9
    lagging_until: float = 0.0
    failures: int = 0
    held_off_until: float = 0.0


class NaivePlacement:
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
    """

    def __init__(
        self,
        registry: TargetRegistry,
        pool: FleetConnectionPool,
        data_centre: DataCentre,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._registry = registry
        self._pool = pool
        self._data_centre = data_centre
        self._rng = rng
        self._clock = clock
        self._lock = threading.Lock()
        self._health: dict[TargetId, _TargetHealth] = {}

    def rank(self, group: GroupId, workspace: WorkspaceId, excluded: set[TargetId]) -> list[Target]:
        """Return the databases that accept new work, the lowest cost first.

        Those that failed or lagged recently are left out, unless that leaves none.
        """
        candidates = [
            target
            for target in self._registry.targets_in_group(group)
            if not target.draining and target.target not in excluded
        ]
        now = self._clock.monotonic()
        usable = [target for target in candidates if not self._is_held_off(target.target, now)]
        return sorted(usable or candidates, key=lambda target: self._cost(target, workspace, now))

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

    def record_answer(self, target: TargetId) -> None:
        """Record an answer, which ends a run of failures."""
        with self._lock:
            self._health_of(target).failures = 0

    def record_busy(self, target: TargetId) -> None:
        """Record a refusal because all slots were in use."""
        with self._lock:
            self._health_of(target).busy_at = self._clock.monotonic()

    def record_lagging(self, target: TargetId) -> None:
        """Record that a replica had not reached a required position."""
        with self._lock:
            self._health_of(target).lagging_until = self._clock.monotonic() + LAGGING_HOLD_OFF_S

    def record_failure(self, target: TargetId) -> None:
        """Record a lost connection or a missing answer; reads avoid the database for a while."""
        with self._lock:
            health = self._health_of(target)
            health.failures += 1
            doublings = min(health.failures - 1, MAX_HOLD_OFF_DOUBLINGS)
            hold_off_s = min(MAX_HOLD_OFF_S, FIRST_HOLD_OFF_S * 2**doublings)
            health.held_off_until = self._clock.monotonic() + hold_off_s
