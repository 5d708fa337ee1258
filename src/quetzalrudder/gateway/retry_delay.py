"""How long an instance pauses after a failed call to the store.

Serves outages of the store in large fleets, in which all instances repeat their calls at the
same time. There the pause doubles up to about a second, by chance more or less. It ends early when
the store answers another task of the same instance.
"""

import math
import random
from collections.abc import Callable

from quetzalrudder.gateway.wakeups import WakeUp
from quetzalrudder.utils import Clock

__all__ = ["RetryDelay", "RetryPause"]

# The store is used again within this time of its return.
MAX_DELAY_S = 1.0
MAX_DOUBLINGS = 6


class RetryDelay:
    """The pause after each of several failures in a row.

    Parameters
    ----------
    first_s : float
        Pause after the first failure, and after each one in a small fleet.
    is_large : Callable
        Returns whether so many instances call the store that their calls matter.
    rng : random.Random
        Spreads the pauses of several instances.

    Examples
    --------
    >>> delay = RetryDelay(0.1, lambda: False, random.Random(1))
    >>> delay.after_failure(), delay.after_failure()
    (0.1, 0.1)
    """

    def __init__(self, first_s: float, is_large: Callable[[], bool], rng: random.Random) -> None:
        self._first_s = first_s
        self._is_large = is_large
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Begin again with the first pause, as a call succeeded."""
        self._failures = 0

    def after_failure(self) -> float:
        """Return the pause after a failed call, in seconds."""
        if not self._is_large():
            return self._first_s
        longest_s = self._first_s * 2 ** min(self._failures, MAX_DOUBLINGS)
        self._failures += 1
        # The first pause is short for each instance: most failures are of one call only.
        if longest_s == self._first_s:
            return self._first_s
        return min(MAX_DELAY_S, longest_s) * (0.5 + 0.5 * self._rng.random())


class RetryPause:
    """Ends a task's pause after a failed call once the store has answered another task.

    At most once within the longest pause, so that a store that answers some calls and fails
    others is not called without pauses.

    Parameters
    ----------
    clock : Clock
        Source of time.
    wake_up : WakeUp
        Ends the task's wait.
    """

    def __init__(self, clock: Clock, wake_up: WakeUp) -> None:
        self._clock = clock
        self._wake_up = wake_up
        self._answered = False
        self._ended_at = -math.inf

    def begin_call(self) -> None:
        """Forget earlier answers: a call that fails from now on is newer."""
        self._answered = False

    def note_answer(self) -> None:
        """Note that the store has answered another task after a failed call; thread-safe."""
        self._answered = True
        self._wake_up.set()

    @property
    def is_over(self) -> bool:
        """True if the pause ends now: the store has answered since the failed call began."""
        return self._answered and self._clock.monotonic() - self._ended_at >= MAX_DELAY_S

    def end(self) -> bool:
        """Return whether the pause is over; the task then makes its call."""
        if not self.is_over:
            return False
        self._ended_at = self._clock.monotonic()
        return True
