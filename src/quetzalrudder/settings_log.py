"""The accepted settings in the platform: a log of changes and a snapshot of the tree.

A change is accepted as revision N by creating the log key of N in one
compare-and-swap. If the key exists, its entry is the change that was accepted
first. Readers load the snapshot and the changes above it. Branches that exceed the
size of one value are written in parts, before the entry that refers to the parts.
"""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.adapters import Platform
from quetzalrudder.exceptions import PlatformUnavailable, QuetzalrudderError
from quetzalrudder.schema.platform import Entry, PutAnswer, PutRequest
from quetzalrudder.schema.settings import (
    Branch,
    Change,
    PartsIntent,
    Snapshot,
    TreeChange,
    TreePart,
)
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["LOG_PREFIX", "LogTail", "SettingsLog", "extend_chain"]

SNAPSHOT_KEY = "settings/snapshot"
LOG_PREFIX = "settings/log/"
PART_PREFIX = "settings/part/"
INTENT_PREFIX = "settings/intent/"
CHANGES_PER_BUCKET = 64
MAX_VALUE_BYTES = 512 * 1024
SNAPSHOT_INTERVAL_CHANGES = 256
# Changes that a snapshot leaves in the log: more than 18 hours of 21,000 changes a day.
LOG_RETENTION_CHANGES = 16_384
ABANDONED_PARTS_AGE_S = 3600
CHAIN_DIGEST_BYTES = 16


def extend_chain(chain: bytes, change_id: str) -> bytes:
    """Return the digest of a change's id and the chain of all changes before it."""
    return hashlib.blake2b(chain + change_id.encode(), digest_size=CHAIN_DIGEST_BYTES).digest()


def bucket_prefix(revision: int) -> str:
    """Return the key prefix of the log bucket that contains a revision."""
    return f"{LOG_PREFIX}{revision // CHANGES_PER_BUCKET:010d}/"


def log_key(revision: int) -> str:
    """Return the log key of a revision.

    Examples
    --------
    >>> log_key(65)
    'settings/log/0000000001/000000000065'
    """
    return f"{bucket_prefix(revision)}{revision:012d}"


def split_branches(branches: Iterable[Branch]) -> list[TreePart]:
    """Split branches into parts that each fit into one value."""
    parts = [TreePart()]
    size = 0
    for branch in branches:
        branch_bytes = len(bytes(branch))
        if size + branch_bytes > MAX_VALUE_BYTES and parts[-1].branches:
            parts.append(TreePart())
            size = 0
        parts[-1].branches.append(branch)
        size += branch_bytes
    return parts


@dataclass(frozen=True)
class LogTail:
    """The newest changes in the log."""

    changes: list[TreeChange]
    # Store version up to which the changes are complete; a watch continues from it.
    version: int


class SettingsLog:
    """Reads and appends accepted changes.

    Parameters
    ----------
    platform : Platform
        Store that holds the log.
    clock : Clock
        Source of time.
    """

    def __init__(self, platform: Platform, clock: Clock) -> None:
        self._platform = platform
        self._clock = clock

    def read_change(self, revision: int) -> Result[TreeChange | None, QuetzalrudderError]:
        """Read the change of a revision; None if there is none."""
        entry = self._platform.get(log_key(revision))
        if isinstance(entry, Err):
            return entry
        return Ok(TreeChange.parse(entry.ok_value.value) if entry.ok_value.version else None)

    def read_tail(self, revision: int) -> Result[LogTail, QuetzalrudderError]:
        """Read the changes from a revision on, and the earlier ones in the same bucket."""
        changes: list[TreeChange] = []
        version = None
        while True:
            answer = self._platform.list_entries(bucket_prefix(revision))
            if isinstance(answer, Err):
                return answer
            version = answer.ok_value.version if version is None else version
            bucket = [TreeChange.parse(entry.value) for entry in answer.ok_value.entries]
            changes += bucket
            revision = (revision // CHANGES_PER_BUCKET + 1) * CHANGES_PER_BUCKET
            if not bucket or bucket[-1].change.revision != revision - 1:
                return Ok(LogTail(changes, version))

    def read_snapshot(self) -> Result[Snapshot, QuetzalrudderError]:
        """Read the snapshot without its parts; an empty one if there is none."""
        entry = self._platform.get(SNAPSHOT_KEY)
        return entry.map(_to_snapshot)

    def can_catch_up_from_log(self, snapshot: Snapshot, revision: int) -> bool:
        """Return whether a reader at a revision needs only the log, and not the snapshot.

        This is so if the reader has loaded a revision, the log reaches back to it, and the
        snapshot is at most two snapshot intervals ahead of it.
        """
        log_reaches_back = snapshot.trimmed_revision <= revision
        missing_changes = _revision(snapshot.change) - revision
        return (
            log_reaches_back and revision > 0 and missing_changes <= 2 * SNAPSHOT_INTERVAL_CHANGES
        )

    def resolve_parts(
        self, changes: list[TreeChange]
    ) -> Result[list[TreeChange], QuetzalrudderError]:
        """Return the changes with the branches of their parts read from the platform."""
        resolved: list[TreeChange] = []
        for change in changes:
            put = change.put
            if change.parts:
                branches = self.read_parts(change.parts)
                if isinstance(branches, Err):
                    return branches
                put = branches.ok_value
            resolved.append(TreeChange(change=change.change, put=put, removed=change.removed))
        return Ok(resolved)

    def read_parts(self, keys: list[str]) -> Result[list[Branch], QuetzalrudderError]:
        """Read the branches of the parts with the given keys."""
        branches: list[Branch] = []
        for key in keys:
            entry = self._platform.get(key)
            if isinstance(entry, Err):
                return entry
            if not entry.ok_value.version:
                return Err(PlatformUnavailable("settings part does not exist", place=key))
            branches += TreePart.parse(entry.ok_value.value).branches
        return Ok(branches)

    def append(self, change: TreeChange) -> Result[PutAnswer, QuetzalrudderError]:
        """Append a change at its revision, unless the log already has a change there.

        ``done`` in the answer is false if it has one. An error means that this change may
        or may not have been accepted.
        """
        revision = change.change.revision
        stored = change
        if len(bytes(change)) > MAX_VALUE_BYTES:
            parts_id = f"{change.change.change_id}-{revision}"
            part_keys = self._write_parts(parts_id, revision, change.put)
            if isinstance(part_keys, Err):
                return part_keys
            stored = TreeChange(
                change=change.change, removed=change.removed, parts=part_keys.ok_value
            )
        answer = self._create(log_key(revision), bytes(stored))
        if stored.parts and isinstance(answer, Ok) and answer.ok_value.done:
            self._delete(f"{INTENT_PREFIX}{change.change.change_id}-{revision}")
        return answer

    def _create(self, key: str, value: bytes) -> Result[PutAnswer, QuetzalrudderError]:
        return self._platform.put(PutRequest(key=key, value=value))

    def _write_parts(
        self, parts_id: str, revision: int, branches: list[Branch]
    ) -> Result[list[str], QuetzalrudderError]:
        parts = split_branches(branches)
        keys = [f"{PART_PREFIX}{parts_id}/{n:04d}" for n in range(len(parts))]
        intent = PartsIntent(
            change_id=parts_id,
            parts=keys,
            revision=revision,
            written_unix_ms=int(self._clock.wall() * MS_PER_S),
        )
        values = {INTENT_PREFIX + parts_id: bytes(intent)}
        values |= {key: bytes(part) for key, part in zip(keys, parts, strict=True)}
        for key, value in values.items():
            answer = self._create(key, value)
            if isinstance(answer, Err):
                return answer
        return Ok(keys)

    def _delete(self, key: str) -> None:
        entry = self._platform.get(key)
        if isinstance(entry, Ok) and entry.ok_value.version:
            self._platform.put(
                PutRequest(key=key, expected_version=entry.ok_value.version, delete=True)
            )

    def is_snapshot_due(self, revision: int) -> bool:
        """Return whether a snapshot is due at a revision."""
        return revision % SNAPSHOT_INTERVAL_CHANGES == 0

    def write_snapshot(
        self, change: Change, branches: list[Branch]
    ) -> Result[bool, QuetzalrudderError]:
        """Write a snapshot of the tree as of a change, and delete the data that it replaces.

        The result is False if another snapshot was written first, or one that is at least
        as new already exists.
        """
        entry = self._platform.get(SNAPSHOT_KEY)
        if isinstance(entry, Err):
            return entry
        old = _to_snapshot(entry.ok_value)
        if _revision(old.change) >= change.revision:
            return Ok(False)
        parts_id = f"snapshot-{change.revision}-{change.chain.hex()}"
        part_keys = self._write_parts(parts_id, 0, branches)
        if isinstance(part_keys, Err):
            return part_keys
        trimmed = max(old.trimmed_revision, change.revision - LOG_RETENTION_CHANGES)
        trimmed -= trimmed % CHANGES_PER_BUCKET
        new = Snapshot(
            change=change,
            parts=part_keys.ok_value,
            trimmed_revision=max(trimmed, 0),
            unused_parts=[key for key in old.parts if key not in part_keys.ok_value],
        )
        put = PutRequest(
            key=SNAPSHOT_KEY, value=bytes(new), expected_version=entry.ok_value.version
        )
        answer = self._platform.put(put)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.done:
            self._delete(INTENT_PREFIX + parts_id)
            self._delete_obsolete(old, new)
        return Ok(answer.ok_value.done)

    def _delete_obsolete(self, old: Snapshot, new: Snapshot) -> None:
        for key in [*old.unused_parts, *new.unused_parts]:
            self._delete(key)
        for revision in range(old.trimmed_revision + 1, new.trimmed_revision + 1):
            self._delete_change(revision)
        self.delete_abandoned_parts(new)

    def _delete_change(self, revision: int) -> None:
        change = self.read_change(revision)
        if isinstance(change, Ok) and change.ok_value is not None:
            self._delete(log_key(revision))
            for key in change.ok_value.parts:
                self._delete(key)

    def delete_abandoned_parts(self, snapshot: Snapshot) -> None:
        """Delete parts whose writer stopped before an entry referred to them."""
        answer = self._platform.list_entries(INTENT_PREFIX)
        if isinstance(answer, Err):
            return
        now_ms = self._clock.wall() * MS_PER_S
        for entry in answer.ok_value.entries:
            intent = PartsIntent.parse(entry.value)
            if now_ms - intent.written_unix_ms < ABANDONED_PARTS_AGE_S * MS_PER_S:
                continue
            in_use = self._parts_in_use(intent, snapshot)
            if isinstance(in_use, Err):
                return
            for key in intent.parts if not in_use.ok_value else []:
                self._delete(key)
            self._delete(entry.key)

    def _parts_in_use(
        self, intent: PartsIntent, snapshot: Snapshot
    ) -> Result[bool, QuetzalrudderError]:
        if not intent.revision:
            return Ok(bool(set(intent.parts) & set(snapshot.parts)))
        stored = self.read_change(intent.revision)
        return stored.map(lambda change: change is not None and change.parts == intent.parts)


def _to_snapshot(entry: Entry) -> Snapshot:
    return Snapshot.parse(entry.value) if entry.version else Snapshot()


def _revision(change: Change | None) -> int:
    return change.revision if change is not None else 0
