"""How members, primaries and the duty are written in the store."""

import json
from dataclasses import dataclass

from quetzalrudder.exceptions import MalformedMessage
from quetzalrudder.gateway.leadership import LeaderRecord, MemberRecord, RosterRecord
from quetzalrudder.gateway.store import Item
from quetzalrudder.models import GroupId, InstanceId, TargetId

__all__ = [
    "DUTY_KEY",
    "LEADER_PREFIX",
    "MEMBER_PREFIX",
    "PREFIX",
    "ROSTER_PREFIX",
    "DutyRecord",
    "decode_duty",
    "decode_leader",
    "decode_member",
    "decode_roster",
    "encode_duty",
    "encode_leader",
    "encode_member",
    "encode_roster",
]

PREFIX = "qr/"
MEMBER_PREFIX = "qr/members/"
ROSTER_PREFIX = "qr/roster/"
LEADER_PREFIX = "qr/leaders/"
DUTY_KEY = "qr/duty"


@dataclass(frozen=True)
class DutyRecord:
    """Who may replace primaries."""

    instance: InstanceId
    incarnation: str
    revision: int = 0


def _load(item: Item) -> dict:
    try:
        found = json.loads(item.value or b"")
    except ValueError as exc:
        raise MalformedMessage(f"not JSON: {exc}", place=item.key) from exc
    if not isinstance(found, dict):
        raise MalformedMessage("not an object", place=item.key)
    return found


def _dump(fields: dict) -> bytes:
    return json.dumps(fields, separators=(",", ":"), sort_keys=True).encode()


def encode_member(record: MemberRecord) -> bytes:
    """Write a member."""
    return _dump(
        {
            "incarnation": record.incarnation,
            "acknowledged": record.acknowledged,
            "suspects": record.suspects,
        }
    )


def decode_member(item: Item) -> MemberRecord:
    """Read a member.

    Raises
    ------
    MalformedMessage
        The value is not one that this version writes.
    """
    fields = _load(item)
    try:
        return MemberRecord(
            instance=InstanceId(item.key.removeprefix(MEMBER_PREFIX)),
            incarnation=str(fields["incarnation"]),
            acknowledged={GroupId(k): int(v) for k, v in fields["acknowledged"].items()},
            suspects={GroupId(k): TargetId(v) for k, v in fields["suspects"].items()},
        )
    except (KeyError, ValueError, AttributeError) as exc:
        raise MalformedMessage(f"not a member: {exc!r}", place=item.key) from exc


def encode_roster(record: RosterRecord) -> bytes:
    """Write a roster entry."""
    return _dump(
        {
            "incarnation": record.incarnation,
            "address": record.address,
            "knows": record.knows,
        }
    )


def decode_roster(item: Item) -> RosterRecord:
    """Read a roster entry.

    Raises
    ------
    MalformedMessage
        The value is not one that this version writes.
    """
    fields = _load(item)
    try:
        return RosterRecord(
            instance=InstanceId(item.key.removeprefix(ROSTER_PREFIX)),
            incarnation=str(fields["incarnation"]),
            address=str(fields["address"]),
            knows=int(fields["knows"]),
            revision=item.revision,
            created=item.created,
        )
    except (KeyError, ValueError) as exc:
        raise MalformedMessage(f"not a roster entry: {exc!r}", place=item.key) from exc


def encode_leader(record: LeaderRecord) -> bytes:
    """Write who leads a group."""
    return _dump(
        {
            "epoch": record.epoch,
            "primary": record.primary,
            "successor": record.successor,
            "previous": record.previous,
            "planned": record.planned,
            "term": record.term,
        }
    )


def decode_leader(item: Item) -> LeaderRecord:
    """Read who leads a group.

    Raises
    ------
    MalformedMessage
        The value is not one that this version writes.
    """
    fields = _load(item)
    try:
        return LeaderRecord(
            group=GroupId(item.key.removeprefix(LEADER_PREFIX)),
            epoch=int(fields["epoch"]),
            primary=fields["primary"],
            successor=fields["successor"],
            previous=fields["previous"],
            planned=bool(fields["planned"]),
            term=int(fields["term"]),
            revision=item.revision,
        )
    except (KeyError, ValueError) as exc:
        raise MalformedMessage(f"not a leader record: {exc!r}", place=item.key) from exc


def encode_duty(record: DutyRecord) -> bytes:
    """Write who holds the duty."""
    return _dump({"instance": record.instance, "incarnation": record.incarnation})


def decode_duty(item: Item) -> DutyRecord:
    """Read who holds the duty.

    Raises
    ------
    MalformedMessage
        The value is not one that this version writes.
    """
    fields = _load(item)
    try:
        return DutyRecord(InstanceId(fields["instance"]), str(fields["incarnation"]), item.revision)
    except KeyError as exc:
        raise MalformedMessage(f"not a duty record: {exc!r}", place=item.key) from exc
