"""Whether an instance reaches the store, and how old its view of the store is."""

import logging
import math
import threading

from quetzalrudder.exceptions import MalformedMessage, QuetzalrudderError
from quetzalrudder.utils import Clock

__all__ = ["StoreContact", "describe_failure", "loggable_age_s"]

log = logging.getLogger(__name__)

MAX_REASON_CHARS = 200


class StoreContact:
    """Keeps the time since which all calls to the store have succeeded, and its view is current.

    A view that cannot be kept up to date counts as a failed call, whatever other calls return.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_view_age_s : float, optional
        Time within which changes of the store must be in force here, in seconds. An older view
        may lack a change that callers already rely on.
    """

    def __init__(self, clock: Clock, max_view_age_s: float = math.inf) -> None:
        self._clock = clock
        self._max_view_age_s = max_view_age_s
        self._lock = threading.Lock()
        self._reached_since: float | None = None
        self._view_failed = False
        self._viewed_at: float | None = None
        # Clock reading since which no change of the store can have been missed; infinite if some
        # may be missing now.
        self._viewed_since = math.inf
        # True from the log line on an outdated view to the one on a current view.
        self._logged_as_outdated = False

    def record_success(self) -> None:
        """Record a successful call."""
        with self._lock:
            if self._reached_since is not None:
                return
            self._reached_since = self._clock.monotonic()
        log.info("store reached")

    def record_failure(self, exc: QuetzalrudderError) -> None:
        """Record a failed call."""
        with self._lock:
            if self._reached_since is None:
                return
            since_s = self._clock.monotonic() - self._reached_since
            self._reached_since = None
        log.warning("store lost", extra={"reason": str(exc), "reached_for_s": round(since_s, 1)})

    def interrupt_view(self) -> None:
        """Record that the store was away, or could not be reached, until the next view of it."""
        with self._lock:
            self._viewed_since = math.inf

    @property
    def viewed_since(self) -> float:
        """Clock reading since which the view has been current all the time; infinite if it is not.

        What the store lacked when the view began may have lapsed while the store was away, and be
        on its way back. An outage for others and one for this instance alone look alike.
        """
        return self._viewed_since

    def record_view(self, age_s: float = 0.0) -> None:
        """Record that this instance has applied all changes up to some seconds ago."""
        now = self._clock.monotonic()
        with self._lock:
            if math.isinf(self._viewed_since) or not self.is_view_current:
                self._viewed_since = now
            self._viewed_at = max(now - age_s, self._viewed_at or 0.0)
            if not self._view_failed:
                return
            self._view_failed = False
            if self._reached_since is not None:
                self._reached_since = now
        log.info("view of the store restored")

    def log_view_changes(self) -> None:
        """Log whether the view has become outdated or current; called several times a second."""
        is_outdated = self._viewed_at is not None and not self.is_view_current
        if is_outdated == self._logged_as_outdated:
            return
        self._logged_as_outdated = is_outdated
        log.log(
            logging.WARNING if is_outdated else logging.INFO,
            "view of the store outdated" if is_outdated else "view of the store current again",
            extra={"view_age_s": loggable_age_s(self.view_age_s), "store_reached": self.reached},
        )

    def record_view_failure(self, exc: Exception) -> None:
        """Record that the view of the store could not be updated."""
        with self._lock:
            if self._view_failed:
                return
            self._view_failed = True
        log.error(
            "view of the store failed",
            extra={"view_age_s": loggable_age_s(self.view_age_s), **describe_failure(exc)},
        )

    @property
    def contact_s(self) -> float:
        """Seconds since the first success after the last failure; 0 after a failure."""
        with self._lock:
            if self._reached_since is None or self._view_failed:
                return 0.0
            return self._clock.monotonic() - self._reached_since

    @property
    def reached(self) -> bool:
        """True if the last call to the store succeeded, also while the view of it fails."""
        return self._reached_since is not None

    @property
    def view_failed(self) -> bool:
        """True while the view of the store cannot be updated, for a reason of this instance."""
        return self._view_failed

    @property
    def is_view_current(self) -> bool:
        """True if the view has every change that must be in force here by now."""
        return self.view_age_s <= self._max_view_age_s

    @property
    def view_age_s(self) -> float:
        """Seconds since the view of the store was last known to be current."""
        viewed_at = self._viewed_at
        return math.inf if viewed_at is None else self._clock.monotonic() - viewed_at


def loggable_age_s(age_s: float) -> float | None:
    """Return an age as a log field; None for an infinite one, as JSON has no infinity."""
    return round(age_s, 2) if math.isfinite(age_s) else None


def describe_failure(exc: Exception) -> dict[str, str]:
    """Return the log fields of a failure; ``exception`` is the class that was raised first."""
    first = exc.__cause__ if isinstance(exc, MalformedMessage) and exc.__cause__ else exc
    return {"exception": type(first).__name__, "reason": str(exc)[:MAX_REASON_CHARS]}
