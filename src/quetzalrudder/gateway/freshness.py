"""Which log position a read of a stated age must find at a replica."""

import threading
from collections import deque
from dataclasses import dataclass

from quetzalrudder.gateway.targets import LogPosition
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["PositionWindow"]

# Samples closer together than this add little; one is kept.
SAMPLE_SPACING_S = 0.02
# Kept longer than the longest age of the users' routes, 2.5 s.
KEEP_S = 5.0
# Spent between the choice of a position and the first byte of the read.
AGE_MARGIN_S = 0.1


@dataclass(frozen=True)
class _Sample:
    asked_at: float
    position: LogPosition


class PositionWindow:
    """Positions of one group's primary, with the moments at which they were asked for.

    Every commit acknowledged before a question was sent lies at or below the position
    in its answer, provided that the database still led when it answered.

    Examples
    --------
    >>> from quetzalrudder.utils import SystemClock
    >>> clock = SystemClock()
    >>> window = PositionWindow(clock)
    >>> window.add(clock.monotonic(), LogPosition(1, 7))
    >>> window.needed(max_age_ms=1500)
    LogPosition(term=1, index=7)
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._samples: deque[_Sample] = deque()

    def add(self, asked_at: float, position: LogPosition) -> None:
        """Take the position of a primary's answer."""
        with self._lock:
            if self._samples and asked_at < self._samples[-1].asked_at + SAMPLE_SPACING_S:
                return
            self._samples.append(_Sample(asked_at, position))
            oldest = self._clock.monotonic() - KEEP_S
            while self._samples[0].asked_at < oldest:
                self._samples.popleft()

    def newest(self) -> tuple[float, LogPosition] | None:
        """Give the newest position and when it was asked for; None if none is kept."""
        with self._lock:
            if not self._samples:
                return None
            return self._samples[-1].asked_at, self._samples[-1].position

    def required_position(self, max_age_ms: int) -> LogPosition | None:
        """Give the lowest position that proves the age; None if no answer is recent enough."""
        oldest = self._clock.monotonic() - max_age_ms / MS_PER_S + AGE_MARGIN_S
        with self._lock:
            for sample in self._samples:
                if sample.asked_at >= oldest:
                    return sample.position
        return None
