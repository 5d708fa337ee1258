"""The instances of the fleet, as the store lists them."""

import logging
import threading
from collections.abc import Collection
from dataclasses import dataclass

from quetzalrudder.models import DataCentre, GroupId, InstanceId, TargetId
from quetzalrudder.utils import Clock

__all__ = ["Absence", "MemberRecord", "MemberTable", "RosterRecord"]

log = logging.getLogger(__name__)


@dataclass(frozen=True)
class MemberRecord:
    """What an instance says of itself in the store."""

    instance: InstanceId
    incarnation: str
    acknowledged: dict[GroupId, int]
    suspects: dict[GroupId, TargetId]


@dataclass(frozen=True)
class RosterRecord:
    """An instance that has joined once, and where peers reach it."""

    instance: InstanceId
    incarnation: str
    address: str
    data_centre: DataCentre = DataCentre("")
    # Highest ``created`` of the entries that the instance has seen: it needs most of those
    # to go on without the store.
    knows: int = 0
    revision: int = 0
    created: int = 0


@dataclass(frozen=True)
class Absence:
    """An instance that has joined and has no member record now."""

    roster: RosterRecord
    # Clock reading at which its record was seen gone, and seconds since then.
    gone_at: float
    since_s: float


class MemberTable:
    """The instances that may use primaries, as this instance sees them in the store.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._members: dict[InstanceId, MemberRecord] = {}
        self._roster: dict[InstanceId, RosterRecord] = {}
        self._absent_since: dict[InstanceId, float] = {}
        # Grows with each change of who is in the table.
        self.version = 0
        # How many there are, and the version for which that was counted.
        self._counted = (0, 0)

    def update(self, record: MemberRecord) -> None:
        """Take a member's record."""
        with self._lock:
            known = self._members.get(record.instance)
            self._members[record.instance] = record
            self._absent_since.pop(record.instance, None)
            self.version += known is None
        if known is None or known.incarnation != record.incarnation:
            log.info(
                "instance joined",
                extra={"member": record.instance, "incarnation": record.incarnation},
            )

    def remove(self, instance: InstanceId) -> None:
        """Note that a member's record is gone."""
        with self._lock:
            if self._members.pop(instance, None) is None:
                return
            self._absent_since[instance] = self._clock.monotonic()
            self.version += 1
        log.info("instance left", extra={"member": instance})

    def replace_all(self, records: list[MemberRecord]) -> None:
        """Take a full list."""
        listed = {record.instance for record in records}
        with self._lock:
            gone = [name for name in self._members if name not in listed]
        for record in records:
            self.update(record)
        for name in gone:
            self.remove(name)

    def update_roster(self, record: RosterRecord) -> None:
        """Take a roster entry; each time an instance joins it gets a new revision."""
        with self._lock:
            known = self._roster.get(record.instance)
            if known is not None and known.revision >= record.revision:
                return
            self._roster[record.instance] = record
            self.version += 1
            if record.instance not in self._members:
                self._absent_since[record.instance] = self._clock.monotonic()

    def remove_roster(self, instance: InstanceId) -> None:
        """Forget an instance that left for good."""
        with self._lock:
            self._roster.pop(instance, None)
            self.version += 1
            self._absent_since.pop(instance, None)

    def replace_roster(self, records: list[RosterRecord]) -> None:
        """Take a full list of the roster."""
        listed = {record.instance for record in records}
        with self._lock:
            gone = [name for name in self._roster if name not in listed]
        for record in records:
            self.update_roster(record)
        for name in gone:
            self.remove_roster(name)

    def newest_created(self) -> int:
        """Give the highest ``created`` of the roster."""
        with self._lock:
            return max((record.created for record in self._roster.values()), default=0)

    def members(self) -> list[MemberRecord]:
        """List the members that are in the store."""
        with self._lock:
            return list(self._members.values())

    def roster(self) -> list[RosterRecord]:
        """List all instances that have joined and not left for good."""
        with self._lock:
            return list(self._roster.values())

    def absences(self) -> list[Absence]:
        """List the instances of the roster that are no members now."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                Absence(record, gone_at, now - gone_at)
                for name, record in self._roster.items()
                if name not in self._members
                for gone_at in (self._absent_since.get(name, now),)
            ]

    def members_named(self, names: Collection[InstanceId]) -> list[MemberRecord]:
        """List some of the members that are in the store."""
        with self._lock:
            return [self._members[name] for name in names if name in self._members]

    def count(self) -> int:
        """Count the instances that may admit requests, also those lost lately."""
        with self._lock:
            # Asked several times for each statement; the table seldom changes.
            if self._counted[1] != self.version:
                found = len(self._roster.keys() | self._members.keys())
                self._counted = (found, self.version)
            return max(1, self._counted[0])
