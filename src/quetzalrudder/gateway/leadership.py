"""Who leads each group, and whether this instance may still use that primary.

An old primary goes on serving after it was replaced. So an instance uses a primary only
with a *permission*: its own lease in the store was renewed recently enough, counted from
the moment the renewal was sent. Whoever changes a primary waits until every instance has
acknowledged the change or its permission has run out.
"""

import logging
import threading
from dataclasses import dataclass

from quetzalrudder.models import GroupId, InstanceId, TargetId
from quetzalrudder.utils import Clock

__all__ = [
    "OUTAGE_LIMIT_S",
    "PERMISSION_S",
    "VOUCH_S",
    "Absence",
    "Lead",
    "LeaderRecord",
    "LeaderTable",
    "MemberRecord",
    "MemberTable",
    "Permission",
    "RosterRecord",
    "is_majority",
    "is_suspected",
    "may_promote",
]

log = logging.getLogger(__name__)

# How long a renewal allows the use of primaries. An instance that is cut off from store and
# peers delays a failover by as much; the brief asks for failovers within 7 s.
PERMISSION_S = 1.8
# How long a peer answers for an instance that asks it.
VOUCH_S = 0.6
# How long instances that all miss the store may go on answering for each other. Longer
# than the users' outages of up to 9 s.
OUTAGE_LIMIT_S = 20.0
# Clocks of instances may differ in rate; the platform states no figure.
PERMISSION_MARGIN_S = 0.2
# How long open work at a primary may delay its planned replacement.
PLANNED_WAIT_S = 1.5
# How long a change of primary usually takes until the new one can be used: the promotion
# itself 300 to 1,000 ms, and the acknowledgements.
CHANGE_S = 1.3
# How often a waiting request looks for a new primary.
WAIT_TURN_S = 0.01


class Permission:
    """The right to use primaries, which runs out by itself.

    Parameters
    ----------
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By the own lease, and by peers.
        self._own_until = -1.0
        self._vouched_until = -1.0
        self._dropped = False

    def renewed(self, sent_at: float) -> None:
        """Note that the store has renewed the lease by a call sent at that time."""
        self._own_until = max(self._own_until, sent_at + PERMISSION_S - PERMISSION_MARGIN_S)

    def vouched(self, asked_at: float, valid_s: float) -> None:
        """Note that peers, asked at that time, answer for this instance."""
        self._vouched_until = max(self._vouched_until, asked_at + valid_s)

    def drop(self) -> None:
        """Give the permission up for good."""
        self._dropped = True

    @property
    def valid(self) -> bool:
        """True while primaries may be used."""
        until = max(self._own_until, self._vouched_until)
        return not self._dropped and self._clock.monotonic() < until

    @property
    def own_left_s(self) -> float:
        """Seconds for which the own lease still allows it; negative once it has run out."""
        return -1.0 if self._dropped else self._own_until - self._clock.monotonic()


@dataclass(frozen=True)
class LeaderRecord:
    """What the store says of a group's primary."""

    group: GroupId
    epoch: int
    # None while the primary changes.
    primary: TargetId | None
    # The target that is to lead, while the primary changes.
    successor: TargetId | None = None
    previous: TargetId | None = None
    # True if the previous primary is healthy and its work is finished first.
    planned: bool = False
    # Log term of the last primary that was recorded; the next one has a later term.
    term: int = 0
    revision: int = 0


@dataclass(frozen=True)
class Lead:
    """A primary as an instance used it."""

    group: GroupId
    target: TargetId
    epoch: int


class LeaderTable:
    """The records of all groups, as this instance has seen them.

    Parameters
    ----------
    permission : Permission
        This instance's right to use primaries.
    clock : Clock
        Source of time.
    """

    def __init__(self, permission: Permission, clock: Clock) -> None:
        self._permission = permission
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[GroupId, LeaderRecord] = {}
        self._in_use: dict[GroupId, int] = {}
        self._seen_at: dict[GroupId, float] = {}
        # Until when peers may use primaries on the word of this instance.
        self._vouching_until = -1.0
        self._acknowledge_from: dict[GroupId, float] = {}

    def observe(self, record: LeaderRecord) -> bool:
        """Take a record unless it is older than the one known; true if it is new."""
        with self._lock:
            known = self._records.get(record.group)
            if known is not None and record.revision <= known.revision:
                return False
            self._records[record.group] = record
            self._seen_at[record.group] = self._clock.monotonic()
            self._acknowledge_from[record.group] = self._vouching_until
        log.info(
            "primary recorded",
            extra={
                "group": record.group,
                "epoch": record.epoch,
                "primary": record.primary or "",
                "successor": record.successor or "",
                "revision": record.revision,
            },
        )
        return True

    def record(self, group: GroupId) -> LeaderRecord | None:
        """Give the newest record of a group."""
        return self._records.get(group)

    def records(self) -> list[LeaderRecord]:
        """Give the newest record of every group."""
        with self._lock:
            return list(self._records.values())

    def vouch(self, valid_s: float) -> list[LeaderRecord]:
        """Answer for a peer, and give the records that it has to take first.

        A later record is acknowledged only after the peer's permission has run out.
        """
        with self._lock:
            until = self._clock.monotonic() + valid_s
            self._vouching_until = max(self._vouching_until, until)
            return list(self._records.values())

    def lead(self, group: GroupId) -> Lead | None:
        """Give the primary that may be used now; None if there is none."""
        record = self._records.get(group)
        if record is None or record.primary is None or not self._permission.valid:
            return None
        return Lead(group, record.primary, record.epoch)

    def holds(self, lead: Lead) -> bool:
        """Tell whether nothing can have replaced a primary until now."""
        return self.lead(lead.group) == lead

    def expected_wait_s(self, group: GroupId) -> float:
        """Seconds after which a primary is expected; 0 if none is in sight."""
        record = self._records.get(group)
        if record is None or record.primary is not None or not self._permission.valid:
            return 0.0
        return max(0.0, self._seen_at[group] + CHANGE_S - self._clock.monotonic())

    def wait_for_lead(self, group: GroupId, timeout_s: float) -> Lead | None:
        """Wait until the group has a primary that may be used."""
        until = self._clock.monotonic() + timeout_s
        while (lead := self.lead(group)) is None and self._clock.monotonic() < until:
            self._clock.sleep(WAIT_TURN_S)
        return lead

    def begin_use(self, group: GroupId) -> None:
        """Count work at the primary that a planned replacement waits for."""
        with self._lock:
            self._in_use[group] = self._in_use.get(group, 0) + 1

    def end_use(self, group: GroupId) -> None:
        """Uncount it."""
        with self._lock:
            self._in_use[group] -= 1

    def acknowledged(self) -> dict[GroupId, int]:
        """Give the epochs up to which this instance uses no earlier primary."""
        now = self._clock.monotonic()
        with self._lock:
            acknowledged = {}
            for group, record in self._records.items():
                waiting = (
                    record.planned
                    and record.primary is None
                    and self._in_use.get(group, 0) > 0
                    and now < self._seen_at[group] + PLANNED_WAIT_S
                )
                if not waiting and now >= self._acknowledge_from[group]:
                    acknowledged[group] = record.epoch
            return acknowledged


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
    # Highest ``created`` of the entries that the instance has seen: it needs most of those
    # to go on without the store.
    knows: int = 0
    revision: int = 0
    created: int = 0


@dataclass(frozen=True)
class Absence:
    """An instance that has joined and has no member record now."""

    roster: RosterRecord
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

    def put(self, record: MemberRecord) -> None:
        """Take a member's record."""
        with self._lock:
            known = self._members.get(record.instance)
            self._members[record.instance] = record
            self._absent_since.pop(record.instance, None)
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
        log.info("instance left", extra={"member": instance})

    def replace_all(self, records: list[MemberRecord]) -> None:
        """Take a full list."""
        listed = {record.instance for record in records}
        with self._lock:
            gone = [name for name in self._members if name not in listed]
        for record in records:
            self.put(record)
        for name in gone:
            self.remove(name)

    def put_roster(self, record: RosterRecord) -> None:
        """Take a roster entry; each time an instance joins it gets a new revision."""
        with self._lock:
            known = self._roster.get(record.instance)
            if known is not None and known.revision >= record.revision:
                return
            self._roster[record.instance] = record
            if record.instance not in self._members:
                self._absent_since[record.instance] = self._clock.monotonic()

    def remove_roster(self, instance: InstanceId) -> None:
        """Forget an instance that left for good."""
        with self._lock:
            self._roster.pop(instance, None)
            self._absent_since.pop(instance, None)

    def replace_roster(self, records: list[RosterRecord]) -> None:
        """Take a full list of the roster."""
        listed = {record.instance for record in records}
        with self._lock:
            gone = [name for name in self._roster if name not in listed]
        for record in records:
            self.put_roster(record)
        for name in gone:
            self.remove_roster(name)

    def newest_entry(self) -> int:
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
                Absence(record, now - self._absent_since.get(name, now))
                for name, record in self._roster.items()
                if name not in self._members
            ]

    def count(self) -> int:
        """Count the instances that may admit requests, also those lost lately."""
        with self._lock:
            return max(1, len(self._roster.keys() | self._members.keys()))


def is_suspected(target: TargetId, group: GroupId, members: list[MemberRecord]) -> bool:
    """Tell whether most members have lost a primary.

    Examples
    --------
    >>> lost = MemberRecord("a", "1", {}, {"g": "db-1"})
    >>> fine = MemberRecord("b", "1", {}, {})
    >>> is_suspected("db-1", "g", [lost, fine]), is_suspected("db-1", "g", [lost, fine, fine])
    (True, False)
    """
    suspecting = sum(1 for member in members if member.suspects.get(group) == target)
    return suspecting > 0 and suspecting * 2 >= len(members)


def may_promote(
    group: GroupId,
    epoch: int,
    holder: InstanceId,
    members: list[MemberRecord],
    roster: list[RosterRecord],
    absences: list[Absence],
) -> bool:
    """Tell whether no instance can use the primary of an earlier epoch any more.

    Parameters
    ----------
    group, epoch
        The change that is to take effect.
    holder : InstanceId
        Who asks; its own acknowledgement shows that it vouches for nobody any more.
    members : list of MemberRecord
        All members in the store, read after the change was written.
    roster : list of RosterRecord
        All instances that have joined.
    absences : list of Absence
        Those of the roster that are no members now.
    """
    if holder not in {member.instance for member in members}:
        return False
    if any(member.acknowledged.get(group, 0) < epoch for member in members):
        return False
    acknowledged = {member.instance for member in members}
    return all(
        absence.since_s > PERMISSION_S + _outage_s(absence.roster, roster, acknowledged)
        for absence in absences
    )


def _outage_s(
    absent: RosterRecord, roster: list[RosterRecord], acknowledged: set[InstanceId]
) -> float:
    """Seconds for which an absent instance may go on with others that miss the store.

    It needs most of the instances that it knows; those that have acknowledged a change
    tell it so when it asks them.
    """
    known = [record.instance for record in roster if record.created <= absent.knows]
    others = [name for name in known if name not in acknowledged]
    if known and not is_majority(len(others), len(known)):
        return 0.0
    return OUTAGE_LIMIT_S + VOUCH_S


def is_majority(count: int, total: int) -> bool:
    """Tell whether some of a number are more than half of it.

    Examples
    --------
    >>> is_majority(3, 6), is_majority(4, 6)
    (False, True)
    """
    return count * 2 > total
