"""Which live instances, and which data centres, do not answer the calls of this one.

Serves fleets in which an instance is cut off from the others but not from the store: it keeps
its lease, and so would keep what it owns for the fleet, for as long as the cut lasts.
"""

import threading

from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.models import DataCentre, InstanceId

__all__ = ["SilentDataCentres", "UnreachedPeers"]

# Failed calls in a row after which an instance counts as unreached.
UNREACHED_FAILURES = 2
# Instances of a data centre that do not answer in a row after which it counts as silent.
SILENT_INSTANCES = 2


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


class SilentDataCentres:
    """Data centres of which several instances in a row did not answer.

    Serves instances on one side of a cut: each of the many on the other side would be waited for
    once otherwise.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Instances that did not answer since one did.
        self._silent: dict[DataCentre, set[InstanceId]] = {}

    def record_silence(self, record: RosterRecord) -> None:
        """Record that an instance did not answer a call in time."""
        with self._lock:
            self._silent.setdefault(record.data_centre, set()).add(record.instance)

    def record_answer(self, record: RosterRecord) -> bool:
        """Record that an instance answered; return whether its data centre was silent."""
        with self._lock:
            silent = self._silent.pop(record.data_centre, set())
        return len(silent) >= SILENT_INSTANCES

    def is_silent(self, data_centre: DataCentre | None) -> bool:
        """Return whether no instance of a data centre is expected to answer."""
        with self._lock:
            return len(self._silent.get(data_centre, ())) >= SILENT_INSTANCES
