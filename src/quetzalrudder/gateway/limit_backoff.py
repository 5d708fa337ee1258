"""Delays between attempts to open connections at a database that is at its limit.

Serves the seconds after a loss of power, in which a database keeps the connections of machines
that are gone and each attempt costs it time.
"""

from quetzalrudder.utils import Clock

__all__ = ["LimitBackoff"]

# Delay before a pool opens the next connection after the database refused one because of its
# limit; it doubles with each refusal in a row. The refusals may last for 3 s, until the database
# drops the connections of an unreachable peer.
FIRST_LIMIT_DELAY_S = 0.04
MAX_LIMIT_DELAY_S = 0.32


class LimitBackoff:
    """The delay of one pool; not thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until = 0.0
        self._next_delay_s = FIRST_LIMIT_DELAY_S

    @property
    def remaining_s(self) -> float:
        """Seconds until a connection may be opened; 0 if it may be now."""
        return max(0.0, self._until - self._clock.monotonic())

    def record_opened(self) -> None:
        """Record that the database accepted a connection."""
        self._next_delay_s = FIRST_LIMIT_DELAY_S

    def record_refused(self) -> None:
        """Record that the database is at its limit."""
        self._until = self._clock.monotonic() + self._next_delay_s
        self._next_delay_s = min(MAX_LIMIT_DELAY_S, 2 * self._next_delay_s)
