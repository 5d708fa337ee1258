"""When a primary counts as lost, and when another one may take over."""

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
    """Tell whether most of the members that watch a primary have lost it.

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
    coordinator: InstanceId,
    members: list[MemberRecord],
    roster: list[RosterRecord],
    absences: list[Absence],
    lease: LeaseSpan | None,
) -> bool:
    """Tell whether no instance can use the primary of an earlier epoch any more.

    Parameters
    ----------
    group, epoch
        The change that is to take effect.
    coordinator : InstanceId
        Who asks; its own acknowledgement shows that it vouches for nobody any more.
    members : list of MemberRecord
        All members in the store, read after the change was written.
    roster : list of RosterRecord
        All instances that have joined.
    absences : list of Absence
        Those of the roster that are no members now.
    lease : LeaseSpan, optional
        The holder's own lease.
    """
    if coordinator not in {member.instance for member in members}:
        return False
    if any(member.acknowledged.get(group, 0) < epoch for member in members):
        return False
    acknowledged = {member.instance for member in members}
    return all(
        absence.since_s
        > _lease_left_s(absence, lease) + _outage_s(absence.roster, roster, acknowledged)
        for absence in absences
    )


def _lease_left_s(absence: Absence, lease: LeaseSpan | None) -> float:
    """Seconds for which a lease may still be counted on after its record was seen gone."""
    if lease is not None and lease.proves_expiry(absence.gone_at):
        return 0.0
    return PERMISSION_S


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
    return OUTAGE_LIMIT_S + PEER_PERMISSION_S


def is_majority(count: int, total: int) -> bool:
    """Tell whether some of a number are more than half of it.

    Examples
    --------
    >>> is_majority(3, 6), is_majority(4, 6)
    (False, True)
    """
    return count * 2 > total
