"""Log positions that prove that a read at a replica is not older than a given age."""

import threading
from collections import deque
from dataclasses import dataclass

from quetzalrudder.gateway.targets import LogPosition
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["PositionWindow"]

# A sample this close to the previous one adds little precision and is dropped.
MIN_SAMPLE_SPACING_S = 0.02
# Samples are kept for longer than the largest age that a route accepts.
RETENTION_S = 5.0
# Allowance for the time from the choice of a position to the start of the read.
AGE_MARGIN_S = 0.1


@dataclass(frozen=True)
class _Sample:
    sent_at: float
    position: LogPosition


class PositionWindow:
    """Recent log positions of one group's primary, with the times of the queries.

    Every commit that was acknowledged before a query was sent lies at or below the position
    in its answer, provided that the database was still the primary when it answered.

    Examples
    --------
    >>> from quetzalrudder.utils import SystemClock
    >>> clock = SystemClock()
    >>> window = PositionWindow(clock)
    >>> window.add(clock.monotonic(), LogPosition(1, 7))
    >>> window.required_position(max_age_ms=1500)
    LogPosition(term=1, index=7)
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._samples: deque[_Sample] = deque()

    def add(self, sent_at: float, position: LogPosition) -> None:
        """Add the position from a primary's answer to a query sent at a time."""
        with self._lock:
            if self._samples and sent_at < self._samples[-1].sent_at + MIN_SAMPLE_SPACING_S:
                return
            self._samples.append(_Sample(sent_at, position))
            oldest = self._clock.monotonic() - RETENTION_S
            while self._samples and self._samples[0].sent_at < oldest:
                self._samples.popleft()

    def newest(self) -> tuple[float, LogPosition] | None:
        """Return the newest position and the time of its query; None if there is none."""
        with self._lock:
            if not self._samples:
                return None
            return self._samples[-1].sent_at, self._samples[-1].position

    def age_s(self, position: LogPosition) -> float:
        """Return the time since the primary was first seen at a position; 0 if never."""
        now = self._clock.monotonic()
        with self._lock:
            for sample in self._samples:
                if sample.position >= position:
                    return now - sample.sent_at
        return 0.0

    def required_position(self, max_age_ms: int) -> LogPosition | None:
        """Return the lowest position that a replica needs for reads of at most this age.

        None if no known position is recent enough.
        """
        oldest = self._clock.monotonic() - max_age_ms / MS_PER_S + AGE_MARGIN_S
        with self._lock:
            for sample in self._samples:
                if sample.sent_at >= oldest:
                    return sample.position
        return None
