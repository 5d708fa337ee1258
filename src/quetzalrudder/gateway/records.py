"""Encoding of members, roster entries, primaries and the coordinator in the store."""

from dataclasses import dataclass
from typing import TypeVar

import betterproto2

from quetzalrudder.exceptions import MalformedMessage
from quetzalrudder.field_types import check_types
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
    "KEY_PREFIX",
    "MEMBER_PREFIX",
    "PRIMARY_PREFIX",
    "ROSTER_PREFIX",
    "CoordinatorRecord",
    "decode_coordinator",
    "decode_member",
    "decode_primary",
    "decode_roster",
    "encode_coordinator",
    "encode_member",
    "encode_primary",
    "encode_roster",
]

KEY_PREFIX = "qr/"
MEMBER_PREFIX = "qr/members/"
ROSTER_PREFIX = "qr/roster/"
PRIMARY_PREFIX = "qr/leaders/"
COORDINATOR_KEY = "qr/duty"

MessageT = TypeVar("MessageT", bound=betterproto2.Message)


@dataclass(frozen=True)
class CoordinatorRecord:
    """The failover coordinator: the instance that may replace primaries."""

    instance: InstanceId
    incarnation: str
    revision: int = 0


def _decode(item: Item, message_class: type[MessageT]) -> MessageT:
    """Decode an item's value as a message.

    Raises
    ------
    MalformedMessage
        The value is not an encoded message of this class.
    """
    try:
        message = message_class.parse(item.value or b"")
        check_types(message)
    except Exception as exc:
        # The decoder raises errors of several unrelated classes.
        raise MalformedMessage(
            f"value is not a {message_class.__name__}: {exc!r}", place=item.key
        ) from exc
    return message


def encode_member(record: MemberRecord) -> bytes:
    """Encode a member record."""
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
            unreached=sorted(record.unreached),
        )
    )


def decode_member(item: Item) -> MemberRecord:
    """Decode a member record; raise ``MalformedMessage`` if the value is invalid."""
    value = _decode(item, MemberValue)
    return MemberRecord(
        instance=InstanceId(item.key.removeprefix(MEMBER_PREFIX)),
        incarnation=value.incarnation,
        acknowledged={GroupId(entry.group): entry.epoch for entry in value.acknowledged},
        suspects={GroupId(entry.group): TargetId(entry.target) for entry in value.suspects},
        unreached=frozenset(InstanceId(name) for name in value.unreached),
    )


def encode_roster(record: RosterRecord) -> bytes:
    """Encode a roster entry."""
    return bytes(
        RosterValue(
            incarnation=record.incarnation,
            address=record.address,
            data_centre=record.data_centre,
            knows=record.known_up_to,
            divides_rates=record.divides_rates,
        )
    )


def decode_roster(item: Item) -> RosterRecord:
    """Decode a roster entry; raise ``MalformedMessage`` if the value is invalid."""
    value = _decode(item, RosterValue)
    return RosterRecord(
        instance=InstanceId(item.key.removeprefix(ROSTER_PREFIX)),
        incarnation=value.incarnation,
        address=value.address,
        data_centre=DataCentre(value.data_centre),
        known_up_to=value.knows,
        divides_rates=value.divides_rates,
        revision=item.revision,
        created=item.created,
    )


def encode_primary(record: PrimaryRecord) -> bytes:
    """Encode a group's primary."""
    return bytes(
        LeaderValue(
            epoch=record.epoch,
            primary=record.primary or "",
            successor=record.successor or "",
            previous=record.previous or "",
            planned=record.planned,
            term=record.term,
            confirms=record.confirms,
            waits_for=list(record.waits_for),
            chosen_by=record.chosen_by,
        )
    )


def decode_primary(item: Item) -> PrimaryRecord:
    """Decode a group's primary; raise ``MalformedMessage`` if the value is invalid."""
    value = _decode(item, LeaderValue)
    return PrimaryRecord(
        group=GroupId(item.key.removeprefix(PRIMARY_PREFIX)),
        epoch=value.epoch,
        primary=TargetId(value.primary) if value.primary else None,
        successor=TargetId(value.successor) if value.successor else None,
        previous=TargetId(value.previous) if value.previous else None,
        planned=value.planned,
        term=value.term,
        confirms=value.confirms,
        waits_for=tuple(TargetId(name) for name in value.waits_for),
        chosen_by=value.chosen_by,
        revision=item.revision,
    )


def encode_coordinator(record: CoordinatorRecord) -> bytes:
    """Encode the failover coordinator."""
    return bytes(DutyValue(instance=record.instance, incarnation=record.incarnation))


def decode_coordinator(item: Item) -> CoordinatorRecord:
    """Decode the failover coordinator; raise ``MalformedMessage`` if the value is invalid."""
    value = _decode(item, DutyValue)
    return CoordinatorRecord(InstanceId(value.instance), value.incarnation, item.revision)
