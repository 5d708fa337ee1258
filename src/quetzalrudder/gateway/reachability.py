"""Which live instances do not answer the calls of this one.

Serves fleets in which an instance is cut off from the others but not from the store: it keeps
its lease, and so would keep what it owns for the fleet, for as long as the cut lasts.
"""

import threading

from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.models import InstanceId

__all__ = ["UnreachedPeers"]

# Failed calls in a row after which an instance counts as unreached.
UNREACHED_FAILURES = 2


class UnreachedPeers:
    """Failed calls in a row, by instance and incarnation."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._failures: dict[InstanceId, tuple[str, int]] = {}

    def record_failure(self, record: RosterRecord) -> None:
        """Record that an instance did not answer a call."""
        with self._lock:
            incarnation, count = self._failures.get(record.instance, (record.incarnation, 0))
            if incarnation != record.incarnation:
                count = 0
            self._failures[record.instance] = (record.incarnation, count + 1)

    def record_answer(self, instance: InstanceId) -> None:
        """Record that an instance answered a call."""
        with self._lock:
            self._failures.pop(instance, None)

    def among(self, live: dict[InstanceId, RosterRecord]) -> frozenset[InstanceId]:
        """Return the live instances whose last calls all failed in their present incarnation."""
        with self._lock:
            return frozenset(
                name
                for name, (incarnation, count) in self._failures.items()
                if count >= UNREACHED_FAILURES
                and name in live
                and live[name].incarnation == incarnation
            )
