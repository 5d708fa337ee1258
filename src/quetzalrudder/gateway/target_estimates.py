"""Estimates of what each database does for this instance's reads, from their answers.

Serves databases that differ: slow, long-tailed, lagging or failing ones whose health checks
may be good. Without observations an estimate is neutral: callers use their own priors.
Estimates lose weight with age, so that a database that is not read is tried again.
"""

import math
import threading
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from quetzalrudder.models import TargetId
from quetzalrudder.utils import Clock

__all__ = ["ServiceTime", "TargetEstimates"]

# Answers kept for each database; enough for a tail that concerns one read in twenty.
WINDOW_SIZE = 64
# Age at which an observation no longer counts. A database that is avoided because it was
# slow is read again after this time.
OBSERVATION_LIFETIME_S = 10.0
# Figures of the answers are computed again after this number of new ones (sooner while there
# are fewer), and at this age; each read looks at those of every database in its group.
SUMMARY_ANSWERS = 8
SUMMARY_LIFETIME_S = 0.5
# A lag is forgotten sooner, as replicas catch up within seconds.
LAG_LIFETIME_S = 2.0
# The weight of an outcome in the shares of errors and refusals, and the time constants with
# which these return to zero.
OUTCOME_WEIGHT = 0.1
ERROR_DECAY_S = 20.0
REFUSAL_DECAY_S = 1.0
# Fewer answers than these say nothing about a tail.
MIN_TAIL_COUNT = 30


@dataclass(frozen=True)
class ServiceTime:
    """Time from sending a read to its answer at one database."""

    median_s: float
    mean_s: float
    # Standard error of the mean; it widens with the age of the observations.
    uncertainty_s: float
    # Longest time among the observations.
    longest_s: float
    count: int
    # Age of the newest observation.
    age_s: float


class _DecayingShare:
    """Share of outcomes of one kind, which returns to zero with time."""

    def __init__(self, decay_s: float) -> None:
        self._decay_s = decay_s
        self._value = 0.0
        self._at = 0.0

    def value(self, now: float) -> float:
        return self._value * math.exp(-max(0.0, now - self._at) / self._decay_s)

    def add(self, now: float, *, happened: bool) -> None:
        current = self.value(now)
        self._value = current + OUTCOME_WEIGHT * (float(happened) - current)
        self._at = now


class _Summary(NamedTuple):
    computed_at: float
    newest_at: float
    median_s: float
    mean_s: float
    error_s: float
    longest_s: float
    count: int


@dataclass
class _Observations:
    # Times of answers and the seconds that they took.
    answers: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=WINDOW_SIZE))
    errors: _DecayingShare = field(default_factory=lambda: _DecayingShare(ERROR_DECAY_S))
    refusals: _DecayingShare = field(default_factory=lambda: _DecayingShare(REFUSAL_DECAY_S))
    lag_s: float = 0.0
    lag_at: float = -1e9
    summary: _Summary | None = None
    answers_since_summary: int = 0

    def is_summary_old(self, now: float) -> bool:
        return (
            self.answers_since_summary >= min(SUMMARY_ANSWERS, self.summary.count)
            or now >= self.summary.computed_at + SUMMARY_LIFETIME_S
        )

    def summarize(self, now: float) -> None:
        while self.answers and self.answers[0][0] < now - OBSERVATION_LIFETIME_S:
            self.answers.popleft()
        self.answers_since_summary = 0
        count = len(self.answers)
        if not count:
            self.summary = None
            return
        times = sorted(took_s for _, took_s in self.answers)
        mean_s = sum(times) / count
        # One answer has an unknown spread: as wide as its time.
        spread_s = mean_s
        if count > 1:
            spread_s = math.sqrt(sum((took_s - mean_s) ** 2 for took_s in times) / (count - 1))
        self.summary = _Summary(
            computed_at=now,
            newest_at=self.answers[-1][0],
            median_s=times[count // 2],
            mean_s=mean_s,
            error_s=max(spread_s, mean_s / 4) / math.sqrt(count),
            longest_s=times[-1],
            count=count,
        )


class TargetEstimates:
    """Service time, shares of errors and refusals, and lag of each database.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Examples
    --------
    >>> from quetzalrudder.utils import SystemClock
    >>> estimates = TargetEstimates(SystemClock())
    >>> estimates.service_time("db-1") is None
    True
    >>> estimates.record_answer("db-1", 0.02)
    >>> estimates.service_time("db-1").median_s
    0.02
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._observed: dict[TargetId, _Observations] = {}

    def _of(self, target: TargetId) -> _Observations:
        return self._observed.setdefault(target, _Observations())

    def record_answer(self, target: TargetId, took_s: float | None = None) -> None:
        """Record an answer, with the time that it took if that is comparable with others."""
        now = self._clock.monotonic()
        with self._lock:
            found = self._of(target)
            found.errors.add(now, happened=False)
            found.refusals.add(now, happened=False)
            if took_s is not None:
                found.answers.append((now, took_s))
                found.answers_since_summary += 1

    def record_error(self, target: TargetId) -> None:
        """Record a statement that failed, or whose answer is missing."""
        with self._lock:
            self._of(target).errors.add(self._clock.monotonic(), happened=True)

    def record_refusal(self, target: TargetId) -> None:
        """Record a refusal for want of a slot."""
        with self._lock:
            self._of(target).refusals.add(self._clock.monotonic(), happened=True)

    def record_lag(self, target: TargetId, lag_s: float) -> None:
        """Record the age of a position that a replica lacked; a greater recent one stays."""
        lag_s = max(lag_s, self.lag_s(target))
        with self._lock:
            found = self._of(target)
            found.lag_s, found.lag_at = lag_s, self._clock.monotonic()

    def service_time(self, target: TargetId) -> ServiceTime | None:
        """Return the time that reads take at a database; None without recent answers."""
        now = self._clock.monotonic()
        with self._lock:
            found = self._observed.get(target)
            if found is None:
                return None
            if found.summary is None or found.is_summary_old(now):
                found.summarize(now)
            summary = found.summary
        if summary is None:
            return None
        age_s = now - summary.newest_at
        if age_s >= OBSERVATION_LIFETIME_S:
            return None
        widening = OBSERVATION_LIFETIME_S / (OBSERVATION_LIFETIME_S - age_s)
        return ServiceTime(
            median_s=summary.median_s,
            mean_s=summary.mean_s,
            uncertainty_s=summary.error_s * widening,
            longest_s=summary.longest_s,
            count=summary.count,
            age_s=age_s,
        )

    def error_share(self, target: TargetId) -> float:
        """Return the share of statements that failed lately."""
        with self._lock:
            found = self._observed.get(target)
            return found.errors.value(self._clock.monotonic()) if found is not None else 0.0

    def refusal_share(self, target: TargetId) -> float:
        """Return the share of statements that found no slot lately."""
        with self._lock:
            found = self._observed.get(target)
            return found.refusals.value(self._clock.monotonic()) if found is not None else 0.0

    def lag_s(self, target: TargetId) -> float:
        """Return how far a replica is behind; 0 if nothing is known."""
        with self._lock:
            found = self._observed.get(target)
            if found is None:
                return 0.0
            age_s = self._clock.monotonic() - found.lag_at
            return found.lag_s * max(0.0, 1 - age_s / LAG_LIFETIME_S)

    def longest_usual_s(self, target: TargetId) -> float | None:
        """Return the longest recent time of a read; None if too few are known."""
        service = self.service_time(target)
        return service.longest_s if service and service.count >= MIN_TAIL_COUNT else None
