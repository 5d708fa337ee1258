"""Which instances answer for something, so that all instances choose alike without a word.

Answers the load of a large fleet, where a part of a limit for each instance would be less
than one. Every instance ranks the same names for the same subject; when an instance comes
or goes, only the subjects that it answers for move.
"""

import hashlib
from collections.abc import Iterable

from quetzalrudder.gateway.members import MemberTable, RosterRecord
from quetzalrudder.models import DataCentre, InstanceId
from quetzalrudder.utils import Clock

__all__ = ["LARGE_FLEET", "AvoidedInstances", "FleetView", "rank"]

# From here on an equal part of 21 to 40 connections, or of a small workspace's rate, is
# about one.
LARGE_FLEET = 16
# For an instance that did not answer; its record lapses within 2 s.
AVOID_S = 1.0


def rank(subject: str, names: Iterable[InstanceId]) -> list[InstanceId]:
    """Order instances for a subject, the one that answers for it first.

    Examples
    --------
    >>> rank("almaty", ["a", "b", "c"]) == rank("almaty", ["c", "b", "a"])
    True
    """

    def weight(name: InstanceId) -> bytes:
        return hashlib.blake2b(f"{subject}/{name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight)


class AvoidedInstances:
    """Instances that did not serve a call, and are asked last for a while.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until: dict[InstanceId, float] = {}

    def add(self, instance: InstanceId) -> None:
        """Ask an instance last from now on."""
        self._until[instance] = self._clock.monotonic() + AVOID_S

    def discard(self, instance: InstanceId) -> None:
        """Ask an instance in its turn again."""
        self._until.pop(instance, None)

    def order_last(self, records: Iterable[RosterRecord]) -> list[RosterRecord]:
        """Order instances: those to be asked last at the end, each part as it was."""
        now = self._clock.monotonic()
        return sorted(records, key=lambda record: self._until.get(record.instance, 0.0) > now)


class FleetView:
    """The fleet as this instance sees it in the store.

    Parameters
    ----------
    members : MemberTable
        The instances.
    """

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        self._present: tuple[int, dict[InstanceId, RosterRecord]] = (-1, {})
        # Ranks of that version, by subject.
        self._ranked: dict[tuple[str, DataCentre | None], list[RosterRecord]] = {}

    @property
    def size(self) -> int:
        """Instances that may admit requests, also those lost lately."""
        return self._members.count()

    @property
    def is_large(self) -> bool:
        """True if equal parts of the limits are too small to use."""
        return self.size >= LARGE_FLEET

    def live_instances(self) -> dict[InstanceId, RosterRecord]:
        """Give the instances that hold a lease."""
        version, found = self._present
        if version != self._members.version:
            # Read first: a change meanwhile makes this one be worked out again.
            version = self._members.version
            names = {member.instance for member in self._members.members()}
            found = {
                record.instance: record
                for record in self._members.roster()
                if record.instance in names
            }
            self._ranked = {}
            self._present = (version, found)
        return found

    def ranked(self, subject: str, data_centre: DataCentre | None = None) -> list[RosterRecord]:
        """Rank the present instances for a subject, those of a data centre if it has any."""
        present = self.live_instances()
        ranked = self._ranked
        key = (subject, data_centre)
        if key not in ranked:
            near = [name for name, found in present.items() if found.data_centre == data_centre]
            ranked[key] = [present[name] for name in rank(subject, near or present)]
        return ranked[key]
