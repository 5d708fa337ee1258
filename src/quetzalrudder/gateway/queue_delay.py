"""Estimates of service times and of the delay in a queue, with their number of observations.

Serves databases whose statements take 8 ms or 40 ms by kind and change with the hour: a queue
that knows neither takes in statements that cannot be served before their deadlines.
"""

import random
from dataclasses import dataclass

from quetzalrudder.utils import MS_PER_S

__all__ = ["Estimate", "ServiceTimes", "retry_after_ms"]

# Weight of the newest observation, so that an estimate follows a change within 20 of them.
SMOOTHING = 0.05
# Observations without which no statement is refused.
MIN_OBSERVATIONS = 10
# Time without contention after which it is forgotten who was served under it.
CONTENTION_MEMORY_S = 1.0
# Lower bound of a mean that others are divided by.
MIN_SERVICE_S = 1e-6


@dataclass
class Estimate:
    """Moving average of a duration; the plain mean of the first observations."""

    mean_s: float = 0.0
    count: int = 0

    def record(self, duration_s: float) -> None:
        """Add an observation."""
        self.count += 1
        self.mean_s += max(SMOOTHING, 1 / self.count) * (duration_s - self.mean_s)


class ServiceTimes:
    """Service times of a database by priority; not thread-safe.

    Examples
    --------
    >>> times = ServiceTimes()
    >>> times.of(1)
    0.0
    >>> for _ in range(MIN_OBSERVATIONS):
    ...     times.record(1, 0.02)
    >>> round(times.of(1), 3), times.is_known
    (0.02, True)
    """

    def __init__(self) -> None:
        self._all = Estimate()
        self._by_priority: dict[int, Estimate] = {}
        # Share of the contended service by priority and whether it was late.
        self._contended: dict[tuple[int, bool], float] = {}
        self._contended_at = 0.0

    @property
    def is_known(self) -> bool:
        """Whether there are enough observations to refuse a statement."""
        return self._all.count >= MIN_OBSERVATIONS

    @property
    def mean_s(self) -> float:
        """Mean over all priorities; 0 without observations."""
        return self._all.mean_s

    def of(self, priority: int) -> float:
        """Return the mean of a priority; that of all if it was observed too seldom."""
        estimate = self._by_priority.get(priority)
        if estimate is None or estimate.count < MIN_OBSERVATIONS:
            return self._all.mean_s
        return estimate.mean_s

    def record(self, priority: int, duration_s: float) -> None:
        """Record how long a statement used its slot."""
        self._all.record(duration_s)
        self._by_priority.setdefault(priority, Estimate()).record(duration_s)

    def record_contended(self, priority: int, now: float, *, late: bool) -> None:
        """Record that a statement was served while others waited."""
        self._forget_contention(now)
        self._contended_at = now
        for other in self._contended:
            self._contended[other] *= 1 - SMOOTHING
        key = (priority, late)
        share = SMOOTHING * self.of(priority) / max(self.mean_s, MIN_SERVICE_S)
        self._contended[key] = self._contended.get(key, 0.0) + share

    def share_above(self, priority: int, now: float, *, late: bool) -> float:
        """Return the share of contended service that goes to what is served before a statement.

        Before one that is late, that includes those of its priority that are in time.
        """
        self._forget_contention(now)
        total = sum(self._contended.values())
        above = sum(share for key, share in self._contended.items() if key < (priority, late))
        return above / max(1.0, total)

    def _forget_contention(self, now: float) -> None:
        if now - self._contended_at > CONTENTION_MEMORY_S:
            self._contended.clear()


def retry_after_ms(excess_s: float, rng: random.Random) -> int:
    """Return when to come back to a queue that has room once it is shorter by ``excess_s``.

    Callers that were refused together come back spread over as long again.
    """
    return max(1, round(excess_s * (1 + rng.random()) * MS_PER_S))
