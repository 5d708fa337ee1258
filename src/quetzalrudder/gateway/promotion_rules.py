"""When a primary counts as failed, and when another database may be promoted."""

from quetzalrudder.gateway.members import Absence, MemberRecord, RosterRecord
from quetzalrudder.gateway.permission import (
    OUTAGE_LIMIT_S,
    PEER_PERMISSION_S,
    PERMISSION_S,
    LeaseSpan,
)
from quetzalrudder.models import GroupId, InstanceId, TargetId

__all__ = ["is_majority", "is_suspected", "may_promote"]


def is_suspected(target: TargetId, group: GroupId, members: list[MemberRecord]) -> bool:
    """Return whether at least half of the members that monitor a primary suspect it.

    Examples
    --------
    >>> suspecting = MemberRecord("a", "1", {}, {"g": "db-1"})
    >>> trusting = MemberRecord("b", "1", {}, {})
    >>> is_suspected("db-1", "g", [suspecting, trusting])
    True
    >>> is_suspected("db-1", "g", [suspecting, trusting, trusting])
    False
    """
    suspecting = sum(1 for member in members if member.suspects.get(group) == target)
    return suspecting > 0 and suspecting * 2 >= len(members)


def may_promote(
    group: GroupId,
    epoch: int,
    coordinator: InstanceId,
    members: list[MemberRecord],
    roster: list[RosterRecord],
    absences: list[Absence],
    lease: LeaseSpan | None,
) -> bool:
    """Return whether no instance can use the primary of an earlier epoch any more.

    Parameters
    ----------
    group, epoch
        The group, and the epoch of the change that is to take effect.
    coordinator : InstanceId
        The failover coordinator. It must be a member itself: its acknowledgement shows
        that no permission that it granted to a peer before the change is still valid.
    members : list of MemberRecord
        All members in the store, read after the change was written.
    roster : list of RosterRecord
        All instances that have joined.
    absences : list of Absence
        Instances of the roster without a member record.
    lease : LeaseSpan, optional
        The coordinator's member lease.
    """
    if coordinator not in {member.instance for member in members}:
        return False
    if any(member.acknowledged.get(group, 0) < epoch for member in members):
        return False
    acknowledged = {member.instance for member in members}
    return all(
        absence.absent_s
        > _lease_permission_s(absence, lease)
        + _outage_permission_s(absence.record, roster, acknowledged)
        for absence in absences
    )


def _lease_permission_s(absence: Absence, lease: LeaseSpan | None) -> float:
    """Return for how many seconds after its record went missing a lease may permit use."""
    if lease is not None and lease.proves_expiry(absence.absent_since):
        return 0.0
    return PERMISSION_S


def _outage_permission_s(
    absent: RosterRecord, roster: list[RosterRecord], acknowledged: set[InstanceId]
) -> float:
    """Return for how many seconds an absent instance may use primaries without the store.

    It needs permission from a majority of the instances that its roster entry covers. If
    those that have not acknowledged the change are no majority, the result is 0: every
    majority then contains an instance that replies with the new record.
    """
    known = [record.instance for record in roster if record.created <= absent.known_up_to]
    unacknowledged = [name for name in known if name not in acknowledged]
    if known and not is_majority(len(unacknowledged), len(known)):
        return 0.0
    return OUTAGE_LIMIT_S + PEER_PERMISSION_S


def is_majority(count: int, total: int) -> bool:
    """Return whether a count is more than half of a total.

    Examples
    --------
    >>> is_majority(3, 6), is_majority(4, 6)
    (False, True)
    """
    return count * 2 > total
