"""The instances of the fleet as recorded in the store."""

import logging
import threading
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from quetzalrudder.gateway.store import FIRST_ERA, StoreEra, era_of
from quetzalrudder.models import DataCentre, GroupId, InstanceId, TargetId
from quetzalrudder.utils import Clock

__all__ = ["Absence", "MemberRecord", "MemberTable", "RosterRecord"]

log = logging.getLogger(__name__)

# Instances named in one line when many join or leave at once.
MAX_NAMES_IN_LINE = 20


@dataclass(frozen=True)
class MemberRecord:
    """The state that an instance publishes in the store under its lease."""

    instance: InstanceId
    incarnation: str
    acknowledged: dict[GroupId, int]
    suspects: dict[GroupId, TargetId]
    # Instances that do not answer its calls.
    unreached: frozenset[InstanceId] = frozenset()


@dataclass(frozen=True)
class RosterRecord:
    """An instance that has joined the fleet, and the address at which peers reach it."""

    instance: InstanceId
    incarnation: str
    address: str
    data_centre: DataCentre = DataCentre("")
    # Highest ``created`` of the roster entries that the instance has read. It needs the
    # majority of these instances to use primaries without the store.
    known_up_to: int = 0
    revision: int = 0
    created: int = 0
    # Whether it divides the rates of workspaces among the data centres.
    divides_rates: bool = False


@dataclass(frozen=True)
class Absence:
    """An instance of the roster without a member record."""

    record: RosterRecord
    # Clock reading at which the member record was found missing, and seconds since then.
    absent_since: float
    absent_s: float


class MemberTable:
    """The instances that may use primaries, as this instance has read them from the store.

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
        # Increases whenever an instance is added or removed, a roster entry changes, or another
        # set of instances is reported as unreached.
        self.version = 0
        # Incarnations of the instances that have joined, and instances that have left, since that
        # was logged.
        self._joined: dict[InstanceId, str] = {}
        self._left: list[InstanceId] = []
        # The number of instances, and the version at which they were counted.
        self._cached_count = (0, 0)
        # The instances of the roster by data centre, and the version.
        self._cached_names: tuple[int, dict[DataCentre, set[InstanceId]]] = (-1, {})

    def update(self, record: MemberRecord) -> None:
        """Add or replace a member's record."""
        with self._lock:
            known = self._members.get(record.instance)
            self._members[record.instance] = record
            self._absent_since.pop(record.instance, None)
            self.version += known is None or known.unreached != record.unreached
            if known is None or known.incarnation != record.incarnation:
                self._joined[record.instance] = record.incarnation

    def remove(self, instance: InstanceId) -> None:
        """Remove a member whose record no longer exists."""
        with self._lock:
            if self._members.pop(instance, None) is None:
                return
            self._absent_since[instance] = self._clock.monotonic()
            self.version += 1
            self._left.append(instance)

    def log_changes(self) -> None:
        """Log which instances have joined and left since the last call, a line for each."""
        with self._lock:
            joined, self._joined = self._joined, {}
            left, self._left = self._left, []
        if joined:
            names = list(joined)[:MAX_NAMES_IN_LINE]
            log.info(
                "instance joined",
                extra={"count": len(joined), "members": {name: joined[name] for name in names}},
            )
        if left:
            log.info(
                "instance left", extra={"count": len(left), "members": left[:MAX_NAMES_IN_LINE]}
            )

    def replace_all(self, records: list[MemberRecord]) -> None:
        """Replace all members by a complete list."""
        names = {record.instance for record in records}
        with self._lock:
            removed = [name for name in self._members if name not in names]
        for record in records:
            self.update(record)
        for name in removed:
            self.remove(name)

    def restart_absences(self) -> None:
        """Count each absence from now on, as this instance has seen it only with a delay."""
        now = self._clock.monotonic()
        with self._lock:
            self._absent_since = dict.fromkeys(self._absent_since, now)

    def update_roster(self, record: RosterRecord) -> None:
        """Add a roster entry or replace one of an older revision.

        Each time an instance joins, its entry gets a new revision. If it has no member
        record, its absence counts from then.
        """
        with self._lock:
            known = self._roster.get(record.instance)
            if known is not None and known.revision >= record.revision:
                return
            self._roster[record.instance] = record
            self.version += 1
            if record.instance not in self._members:
                self._absent_since[record.instance] = self._clock.monotonic()

    def remove_roster(self, instance: InstanceId) -> None:
        """Remove an instance whose roster entry was deleted."""
        with self._lock:
            self._roster.pop(instance, None)
            self.version += 1
            self._absent_since.pop(instance, None)

    def replace_roster(self, records: list[RosterRecord], era: StoreEra = FIRST_ERA) -> None:
        """Replace the roster by a complete list, read in an era of the store.

        Entries of an earlier era stay: an instance that joined after the copy was made which the
        store came back from may still use primaries.
        """
        names = {record.instance for record in records}
        with self._lock:
            removed = [
                name
                for name, known in self._roster.items()
                if name not in names and era_of(known.revision) >= era
            ]
        for record in records:
            self.update_roster(record)
        for name in removed:
            self.remove_roster(name)

    def forget_earlier_eras(self, era: StoreEra, absent_s: float) -> None:
        """Remove the entries of earlier eras whose instances have been absent for some time."""
        for absence in self.absences():
            if era_of(absence.record.revision) < era and absence.absent_s > absent_s:
                self.remove_roster(absence.record.instance)

    def names_in(self, data_centre: DataCentre) -> set[InstanceId]:
        """Return the instances of the roster in a data centre."""
        with self._lock:
            version, names = self._cached_names
            if version != self.version:
                names = {}
                for record in self._roster.values():
                    names.setdefault(record.data_centre, set()).add(record.instance)
                self._cached_names = (self.version, names)
            return names.get(data_centre, set())

    def newest_created(self) -> int:
        """Return the highest ``created`` of the roster."""
        with self._lock:
            return max((record.created for record in self._roster.values()), default=0)

    def members(self) -> list[MemberRecord]:
        """Return all members."""
        with self._lock:
            return list(self._members.values())

    def roster(self) -> list[RosterRecord]:
        """Return all instances that have joined and whose entries were not deleted."""
        with self._lock:
            return list(self._roster.values())

    def absences(self) -> list[Absence]:
        """Return the instances of the roster without a member record."""
        now = self._clock.monotonic()
        with self._lock:
            return [
                Absence(record, absent_since, now - absent_since)
                for name, record in self._roster.items()
                if name not in self._members
                for absent_since in (self._absent_since.get(name, now),)
            ]

    def separated(self) -> set[InstanceId]:
        """Return the members that more than half of the other members report as unreached.

        They may have a lease and be cut off from the rest of the fleet nevertheless.
        """
        members = self.members()
        reports = Counter(
            name for member in members for name in member.unreached if name != member.instance
        )
        return {name for name, count in reports.items() if count * 2 > len(members) - 1}

    def members_named(self, names: Collection[InstanceId]) -> list[MemberRecord]:
        """Return the members among the named instances."""
        with self._lock:
            return [self._members[name] for name in names if name in self._members]

    def count(self) -> int:
        """Return the number of instances that may admit requests, absent ones included.

        It is at least 1, also before the table has been filled.
        """
        with self._lock:
            # Cached, as each statement needs it several times and the table seldom changes.
            if self._cached_count[1] != self.version:
                count = len(self._roster.keys() | self._members.keys())
                self._cached_count = (count, self.version)
            return max(1, self._cached_count[0])
