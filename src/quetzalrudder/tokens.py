"""Session tokens: what a session has seen, carried by the caller between instances."""

import base64
import binascii
from collections.abc import Mapping
from dataclasses import dataclass, field

from google.protobuf.message import DecodeError
from result import Err, Ok, Result

from quetzalrudder import wire
from quetzalrudder.exceptions import AccessDenied, InvalidToken, QuetzalrudderError
from quetzalrudder.models import GroupId, WorkspaceId
from quetzalrudder.schema.common import Mark, Position, SessionToken

__all__ = ["Marks", "decode_token", "encode_token", "position_key"]

MAX_TOKEN_BYTES = 4096


def position_key(position: Position | None) -> tuple[int, int]:
    """Order positions: by term, then by index."""
    return (position.term, position.index) if position is not None else (0, 0)


@dataclass(frozen=True)
class Marks:
    """The highest position that a session saw or wrote in each group."""

    by_group: Mapping[GroupId, Position] = field(default_factory=dict)

    def of(self, group: GroupId) -> Position:
        """Give the mark in one group; (0, 0) if the session saw nothing there."""
        return self.by_group.get(group, Position())

    def advance(self, group: GroupId, position: Position | None) -> "Marks":
        """Give marks that cover the position too; a mark never goes back."""
        if position is None or position_key(position) <= position_key(self.of(group)):
            return self
        return Marks({**self.by_group, group: position})

    def merge(self, other: "Marks") -> "Marks":
        """Give marks that cover both."""
        merged = self
        for group, position in other.by_group.items():
            merged = merged.advance(group, position)
        return merged


def encode_token(workspace: WorkspaceId, marks: Marks) -> bytes:
    """Write marks as an opaque token."""
    pairs = sorted(marks.by_group.items())
    entries = [Mark(group=group, position=position) for group, position in pairs]
    token = SessionToken(workspace=workspace, marks=entries)
    return base64.urlsafe_b64encode(wire.encode(token))


def decode_token(workspace: WorkspaceId, token: bytes) -> Result[Marks, QuetzalrudderError]:
    """Read marks from a token.

    Returns
    -------
    Result[Marks, QuetzalrudderError]
        ``InvalidToken`` for a damaged or oversized token, ``AccessDenied`` for
        one of another workspace.

    Examples
    --------
    >>> token = encode_token("almaty", Marks().advance("valuation", Position(term=1, index=7)))
    >>> decode_token("almaty", token).ok_value.of("valuation").index
    7
    """
    if not token:
        return Ok(Marks())
    if len(token) > MAX_TOKEN_BYTES:
        return Err(InvalidToken(f"{len(token)} bytes, at most {MAX_TOKEN_BYTES}"))
    try:
        raw = base64.b64decode(token, altchars=b"-_", validate=True)
        parsed = wire.decode(raw, SessionToken)
    except (binascii.Error, ValueError, DecodeError) as exc:
        return Err(InvalidToken(f"not a session token: {type(exc).__name__}"))
    if parsed.workspace != workspace:
        return Err(AccessDenied("the session token belongs to another workspace"))
    return Ok(Marks({mark.group: mark.position or Position() for mark in parsed.marks}))
