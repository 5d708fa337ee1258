"""How members, primaries and the duty are written in the store."""

from dataclasses import dataclass
from typing import TypeVar

import betterproto2

from quetzalrudder.exceptions import MalformedMessage
from quetzalrudder.gateway.members import MemberRecord, RosterRecord
from quetzalrudder.gateway.primaries import PrimaryRecord
from quetzalrudder.gateway.store import Item
from quetzalrudder.models import DataCentre, GroupId, InstanceId, TargetId
from quetzalrudder.schema.gateway import (
    DutyValue,
    GroupEpoch,
    GroupSuspect,
    LeaderValue,
    MemberValue,
    RosterValue,
)

__all__ = [
    "COORDINATOR_KEY",
    "PRIMARY_PREFIX",
    "MEMBER_PREFIX",
    "KEY_PREFIX",
    "ROSTER_PREFIX",
    "CoordinatorRecord",
    "decode_coordinator",
    "decode_primary",
    "decode_member",
    "decode_roster",
    "encode_coordinator",
    "encode_primary",
    "encode_member",
    "encode_roster",
]

KEY_PREFIX = "qr/"
MEMBER_PREFIX = "qr/members/"
ROSTER_PREFIX = "qr/roster/"
PRIMARY_PREFIX = "qr/leaders/"
COORDINATOR_KEY = "qr/duty"

M = TypeVar("M", bound=betterproto2.Message)


@dataclass(frozen=True)
class CoordinatorRecord:
    """Who may replace primaries."""

    instance: InstanceId
    incarnation: str
    revision: int = 0


def _parse(item: Item, kind: type[M]) -> M:
    """Read a value.

    Raises
    ------
    MalformedMessage
        The value is not one that this version writes.
    """
    try:
        return kind.parse(item.value or b"")
    except Exception as exc:
        # The decoder raises errors of several unrelated classes.
        raise MalformedMessage(f"not a {kind.__name__}: {exc!r}", place=item.key) from exc


def encode_member(record: MemberRecord) -> bytes:
    """Write a member."""
    return bytes(
        MemberValue(
            incarnation=record.incarnation,
            acknowledged=[
                GroupEpoch(group=group, epoch=epoch)
                for group, epoch in sorted(record.acknowledged.items())
            ],
            suspects=[
                GroupSuspect(group=group, target=target)
                for group, target in sorted(record.suspects.items())
            ],
        )
    )


def decode_member(item: Item) -> MemberRecord:
    """Read a member; ``MalformedMessage`` if it is none."""
    value = _parse(item, MemberValue)
    return MemberRecord(
        instance=InstanceId(item.key.removeprefix(MEMBER_PREFIX)),
        incarnation=value.incarnation,
        acknowledged={GroupId(found.group): found.epoch for found in value.acknowledged},
        suspects={GroupId(found.group): TargetId(found.target) for found in value.suspects},
    )


def encode_roster(record: RosterRecord) -> bytes:
    """Write a roster entry."""
    return bytes(
        RosterValue(
            incarnation=record.incarnation,
            address=record.address,
            data_centre=record.data_centre,
            knows=record.knows,
        )
    )


def decode_roster(item: Item) -> RosterRecord:
    """Read a roster entry; ``MalformedMessage`` if it is none."""
    value = _parse(item, RosterValue)
    return RosterRecord(
        instance=InstanceId(item.key.removeprefix(ROSTER_PREFIX)),
        incarnation=value.incarnation,
        address=value.address,
        data_centre=DataCentre(value.data_centre),
        knows=value.knows,
        revision=item.revision,
        created=item.created,
    )


def encode_primary(record: PrimaryRecord) -> bytes:
    """Write who leads a group."""
    return bytes(
        LeaderValue(
            epoch=record.epoch,
            primary=record.primary or "",
            successor=record.successor or "",
            previous=record.previous or "",
            planned=record.planned,
            term=record.term,
        )
    )


def decode_primary(item: Item) -> PrimaryRecord:
    """Read who leads a group; ``MalformedMessage`` if it is no such record."""
    value = _parse(item, LeaderValue)
    return PrimaryRecord(
        group=GroupId(item.key.removeprefix(PRIMARY_PREFIX)),
        epoch=value.epoch,
        primary=TargetId(value.primary) if value.primary else None,
        successor=TargetId(value.successor) if value.successor else None,
        previous=TargetId(value.previous) if value.previous else None,
        planned=value.planned,
        term=value.term,
        revision=item.revision,
    )


def encode_coordinator(record: CoordinatorRecord) -> bytes:
    """Write who holds the duty."""
    return bytes(DutyValue(instance=record.instance, incarnation=record.incarnation))


def decode_coordinator(item: Item) -> CoordinatorRecord:
    """Read who holds the duty; ``MalformedMessage`` if it is no such record."""
    value = _parse(item, DutyValue)
    return CoordinatorRecord(InstanceId(value.instance), value.incarnation, item.revision)
