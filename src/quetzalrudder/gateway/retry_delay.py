"""How long an instance pauses after a failed call to the store.

Serves outages of the store in large fleets, in which all instances repeat their calls at the
same time. There the pause doubles up to about a second, by chance more or less.
"""

import random
from collections.abc import Callable

__all__ = ["RetryDelay"]

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
