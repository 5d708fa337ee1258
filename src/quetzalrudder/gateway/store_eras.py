"""The eras of the store: how often it has come back from an older copy of itself.

With each return, what this system wrote after the copy was made is lost, leases too, and revisions
are given out again. :class:`StoreEras` is the one place that decides what that means: whoever keeps
something that a return voids is told of it before the new era is in force.
"""

import logging
import math
import threading
from collections.abc import Callable

from quetzalrudder.gateway.store import FIRST_ERA, StoreEra
from quetzalrudder.utils import Clock

__all__ = ["StoreEras"]

log = logging.getLogger(__name__)

EraListener = Callable[[], None]


class StoreEras:
    """The newest era that the store or a peer has told to this instance; it never falls.

    Parameters
    ----------
    clock : Clock
        Source of time.
    rewrite_s : float
        Time within which others write again what the store has lost, in seconds.
    """

    def __init__(self, clock: Clock, rewrite_s: float = 0.0) -> None:
        self._clock = clock
        self._rewrite_s = rewrite_s
        # Held while the listeners run, so that no call of the new era is used before that.
        self._lock = threading.RLock()
        self._listeners: list[EraListener] = []
        self._current = FIRST_ERA
        self._since = -math.inf
        # Whether any era has been told to this instance.
        self.was_observed = False
        # The era that the store told when the fleet started for the first time, in its own count.
        self.base: int | None = None
        # Whether the store is known to hold the base in the current era.
        self.base_is_stored = False

    @property
    def current(self) -> StoreEra:
        """The newest era."""
        return self._current

    @property
    def age_s(self) -> float:
        """Seconds since this instance learned of the current era; infinite in the first one."""
        return self._clock.monotonic() - self._since

    @property
    def may_lack_writes(self) -> bool:
        """True while the store may lack what others wrote before it came back, as a configuration.

        The platform states no time for this; a configuration has to be in force within
        ``rewrite_s`` of being written, and the store's return counts as the write.
        """
        return self.age_s < self._rewrite_s

    def add_listener(self, listener: EraListener) -> None:
        """Have a function called at each return, while :attr:`current` is the earlier era."""
        self._listeners.append(listener)

    def observe(self, era: StoreEra) -> None:
        """Record an era that the store or a peer has told; an earlier one changes nothing."""
        if era <= self._current and self.was_observed:
            return
        with self._lock:
            is_return, previous = self.was_observed, self._current
            if era > previous:
                for listener in self._listeners:
                    listener()
            self.was_observed = True
            if era <= previous:
                return
            self.base_is_stored = False
            self._since = self._clock.monotonic()
            self._current = era
        log.log(
            logging.WARNING if is_return else logging.INFO,
            "store came back from an older copy" if is_return else "era of the store observed",
            extra={"era": era, "previous_era": previous},
        )
