"""Where a read goes: the database that will probably answer first.

Answers the load of reads that several replicas may serve while other instances, which are
not seen here, use the same slots. The own use of each database, refusals for full slots
and failures of late are weighed; a random part keeps instances from choosing alike.
"""

import random
import threading
from dataclasses import dataclass

from quetzalrudder.gateway.borrowing import FleetConnectionPool
from quetzalrudder.gateway.targets import Target, TargetRegistry
from quetzalrudder.models import DataCentre, GroupId, TargetId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["Placement"]

# In parts of a database's full use by this instance. A connection that must be opened
# costs 12 ms of a slot, half of a usual read.
OPENING_COST = 0.5
# Another data centre is 0.5 to 1.4 ms away, a small part of a read of 24 ms.
DISTANCE_COST = 0.1
# Differences below this are not worth that all instances choose alike.
RANDOM_COST = 0.2
# As much as a full use by this instance, forgotten within a few reads.
BUSY_COST = 1.0
BUSY_MEMORY_S = 0.2
# Lag of the users' replicas is 8 ms, at most 48 ms on ordinary days.
LAGGING_S = 0.1
# A failing database is tried again soon, then every 2 s.
FIRST_HOLD_OFF_S = 0.2
LONGEST_HOLD_OFF_S = 2.0
# Enough to reach the longest; keeps the power small.
MAX_DOUBLINGS = 10


@dataclass
class _Health:
    busy_at: float = -1e9
    lagging_until: float = 0.0
    failures: int = 0
    held_off_until: float = 0.0


class Placement:
    """Orders the databases of a group for one read.

    Parameters
    ----------
    registry : TargetRegistry
        The databases.
    pool : FleetConnectionPool
        Connections, whose use is the own load.
    data_centre : DataCentre
        The instance's own.
    rng : random.Random
        Source of the random part.
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
        self._health: dict[TargetId, _Health] = {}

    def order(
        self, group: GroupId, workspace: WorkspaceId, excluded: set[TargetId]
    ) -> list[Target]:
        """List the databases that take new work, the best first."""
        found = [
            target
            for target in self._registry.of_group(group)
            if not target.draining and target.target not in excluded
        ]
        now = self._clock.monotonic()
        usable = [target for target in found if not self._held_off(target.target, now)]
        return sorted(usable or found, key=lambda target: self._cost(target, workspace, now))

    def _of(self, target: TargetId) -> _Health:
        return self._health.setdefault(target, _Health())

    def _held_off(self, target: TargetId, now: float) -> bool:
        with self._lock:
            health = self._of(target)
            return max(health.held_off_until, health.lagging_until) > now

    def _cost(self, target: Target, workspace: WorkspaceId, now: float) -> float:
        cost = self._pool.load(target) + RANDOM_COST * self._rng.random()
        if not self._pool.has_idle(target, workspace):
            cost += OPENING_COST
        if target.data_centre != self._data_centre:
            cost += DISTANCE_COST
        with self._lock:
            since_busy_s = now - self._of(target.target).busy_at
        if since_busy_s < BUSY_MEMORY_S:
            cost += BUSY_COST * (1 - since_busy_s / BUSY_MEMORY_S)
        return cost

    def note_answer(self, target: TargetId) -> None:
        """Note an answer."""
        with self._lock:
            self._of(target).failures = 0

    def note_busy(self, target: TargetId) -> None:
        """Note a refusal because every slot was in use."""
        with self._lock:
            self._of(target).busy_at = self._clock.monotonic()

    def note_lagging(self, target: TargetId) -> None:
        """Note that a replica lacked a position."""
        with self._lock:
            self._of(target).lagging_until = self._clock.monotonic() + LAGGING_S

    def note_failure(self, target: TargetId) -> None:
        """Note a lost connection or a missing answer; later reads avoid the database."""
        with self._lock:
            health = self._of(target)
            health.failures += 1
            doublings = min(health.failures - 1, MAX_DOUBLINGS)
            hold_off_s = min(LONGEST_HOLD_OFF_S, FIRST_HOLD_OFF_S * 2**doublings)
            health.held_off_until = self._clock.monotonic() + hold_off_s
