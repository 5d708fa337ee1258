"""When a group's primary can probably be used again, from what this instance has observed.

Serves the seconds after a primary was lost: statements that can wait for its replacement do so,
and the others are refused at once, with the time to return. What one statement has learnt of a
database, the next one need not try.
"""

import random
import statistics
import threading
from collections import deque
from collections.abc import Callable

from quetzalrudder.gateway.permission import ERA_SETTLING_S, Permission
from quetzalrudder.gateway.primaries import PrimaryRecord, PrimaryTable, UsablePrimary
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.store_eras import StoreEras
from quetzalrudder.gateway.suspicion import PrimaryMonitor
from quetzalrudder.models import GroupId
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["DurationEstimate", "PrimaryOutlook"]

# Assumed until the first observations: from the loss of a primary until it is suspected by
# enough instances, and from the record of its change until the new one can be used.
INITIAL_DETECTION_S = 0.6
INITIAL_CHANGE_S = 1.3
# The same for the time from the start of a process until it may use primaries.
JOIN_S = 0.5
# Observations that an estimate is made of; older ones say little of the present load.
MAX_OBSERVATIONS = 9
# An event that is overdue is expected after this fraction of the time that it has taken so far.
OVERDUE_FRACTION = 0.25
# Bounds of the delay that a refused caller is told, and its random spread: callers that all
# return at the same moment would wait for each other.
MIN_RETRY_S = 0.1
MAX_RETRY_S = 5.0
RETRY_SPREAD = 0.5


class DurationEstimate:
    """Typical duration of an event, from the latest observations.

    Parameters
    ----------
    initial_s : float
        Assumed before the first observation, in seconds.

    Examples
    --------
    >>> estimate = DurationEstimate(1.0)
    >>> for seconds in (0.3, 0.4, 5.0):
    ...     estimate.add(seconds)
    >>> estimate.typical_s
    0.4
    """

    def __init__(self, initial_s: float) -> None:
        self._initial_s = initial_s
        self._observed: deque[float] = deque(maxlen=MAX_OBSERVATIONS)

    def add(self, seconds: float) -> None:
        """Add an observation."""
        self._observed.append(seconds)

    @property
    def typical_s(self) -> float:
        """The median of the observations."""
        observed = list(self._observed)
        return statistics.median(observed) if observed else self._initial_s


class PrimaryOutlook:
    """Expects when primaries that cannot be used now will be usable.

    Parameters
    ----------
    primaries, permission, contact, eras
        The records, the right to use primaries, the contact with the store, and its returns from
        older copies, after which the records have to be confirmed.
    monitor : Callable
        Returns the monitor of a group's primary.
    rng : random.Random
        Spreads the delays that callers are told.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        primaries: PrimaryTable,
        permission: Permission,
        contact: StoreContact,
        eras: StoreEras,
        monitor: Callable[[GroupId], PrimaryMonitor],
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._primaries = primaries
        self._permission = permission
        self._contact = contact
        self._eras = eras
        self._monitor = monitor
        self._rng = rng
        self._clock = clock
        self._started_at = clock.monotonic()
        self._lock = threading.Lock()
        self._detection = DurationEstimate(INITIAL_DETECTION_S)
        self._change = DurationEstimate(INITIAL_CHANGE_S)
        # When each change in progress began.
        self._changing_since: dict[GroupId, float] = {}

    def observe(self, record: PrimaryRecord) -> None:
        """Learn from a newer record how long changes of primaries take."""
        now = self._clock.monotonic()
        with self._lock:
            if record.primary is not None:
                began_at = self._changing_since.pop(record.group, None)
                if began_at is not None:
                    self._change.add(now - began_at)
            elif record.group not in self._changing_since:
                self._changing_since[record.group] = now
                failing_since = self._monitor(record.group).failing_since(record.previous)
                if failing_since is not None:
                    self._detection.add(now - failing_since)

    def available_primary(self, group: GroupId) -> UsablePrimary | None:
        """Return the primary if it may be used and is not known to be down."""
        primary = self._primaries.usable_primary(group)
        if primary is None or self._monitor(group).is_down(primary.target):
            return None
        return primary

    def wait_for_primary(self, group: GroupId, timeout_s: float) -> UsablePrimary | None:
        """Wait for an available primary and return it; None if the wait times out."""
        return self._primaries.wait_for(lambda: self.available_primary(group), timeout_s)

    def expected_s(self, group: GroupId) -> float | None:
        """Return the seconds until the primary can probably be used; None if nobody knows."""
        now = self._clock.monotonic()
        if not self._permission.was_granted:
            joining_s = self._started_at + JOIN_S - now
            return joining_s if joining_s > 0 else None
        record = self._primaries.record(group)
        if record is None or not self._permission.valid:
            return None
        if not self._primaries.is_trusted(group):
            return _remaining_s(self._eras.age_s, ERA_SETTLING_S)
        if record.waits_for:
            return None
        if record.primary is None:
            began_at = self._changing_since.get(group, now)
            return _remaining_s(now - began_at, self._change.typical_s)
        failing_since = self._monitor(group).failing_since(record.primary)
        if failing_since is None:
            return 0.0
        if self._contact.contact_s == 0:
            # No change can begin, as far as this instance sees, before the store is back.
            return None
        typical_s = self._detection.typical_s + self._change.typical_s
        return _remaining_s(now - failing_since, typical_s)

    def retry_after_ms(self, group: GroupId, expected_s: float | None) -> int:
        """Return when a refused caller should return, in milliseconds.

        If it is not known when the primary is usable, it is assumed to take as long again.
        """
        if expected_s is None:
            expected_s = self._unusable_for_s(group)
        bounded_s = min(MAX_RETRY_S, max(MIN_RETRY_S, expected_s))
        return round(bounded_s * (1 + RETRY_SPREAD * self._rng.random()) * MS_PER_S)

    def _unusable_for_s(self, group: GroupId) -> float:
        record = self._primaries.record(group)
        target = record.primary if record is not None else None
        since = self._monitor(group).failing_since(target) if target is not None else None
        if since is None:
            since = self._changing_since.get(group)
        return self._clock.monotonic() - since if since is not None else MIN_RETRY_S


def _remaining_s(elapsed_s: float, typical_s: float) -> float:
    return max(typical_s - elapsed_s, OVERDUE_FRACTION * elapsed_s)
