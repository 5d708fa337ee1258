"""Session tokens, with which callers carry the positions of a session between instances."""

import base64
import binascii
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from google.protobuf.message import DecodeError
from result import Err, Ok, Result

from quetzalrudder import wire
from quetzalrudder.exceptions import AccessDenied, InvalidToken, QuetzalrudderError
from quetzalrudder.models import GroupId, WorkspaceId
from quetzalrudder.schema.common import Mark, Position, SessionToken

__all__ = ["Marks", "decode_token", "encode_token", "position_key"]

MAX_TOKEN_BYTES = 4096
MAX_TOKEN_MARKS = 32


def position_key(position: Position | None) -> tuple[int, int]:
    """Return a sort key that orders positions by term, then by index."""
    return (position.term, position.index) if position is not None else (0, 0)


@dataclass(frozen=True)
class GroupMarks:
    """Highest positions that a session has read or written in one group."""

    # Highest position read or written.
    seen: Position = field(default_factory=Position)
    # Highest position written.
    written: Position = field(default_factory=Position)

    def merge(self, other: "GroupMarks") -> "GroupMarks":
        """Return the higher marks of both."""
        seen = max(self.seen, other.seen, key=position_key)
        return GroupMarks(seen, max(self.written, other.written, key=position_key))


@dataclass(frozen=True)
class Marks:
    """The marks of a session by group, the most recently used group last."""

    by_group: Mapping[GroupId, GroupMarks] = field(default_factory=dict)
    # True if marks of other groups were left out to bound the size of the token.
    incomplete: bool = False

    def seen(self, group: GroupId) -> Position:
        """Return the highest position read or written in a group; (0, 0) if there is none."""
        return self.by_group.get(group, GroupMarks()).seen

    def written(self, group: GroupId) -> Position:
        """Return the highest position written in a group; (0, 0) if there is none."""
        return self.by_group.get(group, GroupMarks()).written

    def omits(self, group: GroupId) -> bool:
        """Return whether the mark of a group may have been left out."""
        return self.incomplete and group not in self.by_group

    def advance(
        self, group: GroupId, position: Position | None, *, written: bool = False
    ) -> "Marks":
        """Return the marks raised to the position; no mark is lowered."""
        if position is None or not position.index:
            return self
        added = GroupMarks(position, position if written else Position())
        return self._merge_group(group, added)

    def _merge_group(self, group: GroupId, added: GroupMarks) -> "Marks":
        others = {name: mark for name, mark in self.by_group.items() if name != group}
        merged = self.by_group.get(group, GroupMarks()).merge(added)
        return Marks({**others, group: merged}, self.incomplete)

    def merge(self, other: "Marks") -> "Marks":
        """Return the higher mark of both for each group."""
        merged = replace(self, incomplete=self.incomplete or other.incomplete)
        for group, added in other.by_group.items():
            merged = merged._merge_group(group, added)
        return merged


def encode_token(workspace: WorkspaceId, marks: Marks) -> bytes:
    """Encode marks as an opaque token of at most ``MAX_TOKEN_BYTES``.

    Marks of the least recently used groups are left out if necessary.
    """
    pairs = list(marks.by_group.items())[-MAX_TOKEN_MARKS:]
    while True:
        entries = [
            Mark(group=group, position=mark.seen, written=mark.written) for group, mark in pairs
        ]
        incomplete = marks.incomplete or len(pairs) < len(marks.by_group)
        token = SessionToken(workspace=workspace, marks=entries, incomplete=incomplete)
        encoded = base64.urlsafe_b64encode(wire.encode(token))
        if len(encoded) <= MAX_TOKEN_BYTES or not pairs:
            return encoded
        pairs = pairs[len(pairs) // 2 + 1 :]


def decode_token(workspace: WorkspaceId, token: bytes) -> Result[Marks, QuetzalrudderError]:
    """Decode the marks of a token.

    Returns
    -------
    Result[Marks, QuetzalrudderError]
        The marks, or ``InvalidToken`` for a damaged or oversized token, or
        ``AccessDenied`` for one of another workspace.

    Examples
    --------
    >>> token = encode_token("almaty", Marks().advance("valuation", Position(term=1, index=7)))
    >>> decode_token("almaty", token).ok_value.seen("valuation").index
    7
    """
    if not token:
        return Ok(Marks())
    if len(token) > MAX_TOKEN_BYTES:
        return Err(InvalidToken(f"the token has {len(token)} bytes, more than {MAX_TOKEN_BYTES}"))
    try:
        raw = base64.b64decode(token, altchars=b"-_", validate=True)
        parsed = wire.decode(raw, SessionToken)
    except (binascii.Error, ValueError, DecodeError) as exc:
        return Err(InvalidToken(f"cannot decode the session token: {type(exc).__name__}"))
    if parsed.workspace != workspace:
        return Err(AccessDenied("the session token belongs to another workspace"))
    by_group = {
        GroupId(mark.group): GroupMarks(mark.position or Position(), mark.written or Position())
        for mark in parsed.marks
    }
    return Ok(Marks(by_group, parsed.incomplete))
