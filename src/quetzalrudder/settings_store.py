"""The settings in force on this instance, and changes to the settings of all instances."""

import dataclasses
import logging
import threading
from collections import deque
from collections.abc import Callable, Iterable

from result import Err, Ok, Result

from quetzalrudder.adapters import Platform
from quetzalrudder.exceptions import (
    Conflict,
    InvalidSettings,
    OutcomeUnknown,
    PlatformUnavailable,
    QuetzalrudderError,
)
from quetzalrudder.schema.operators import ApplyRequest
from quetzalrudder.schema.platform import Entry, WatchRequest
from quetzalrudder.schema.settings import Branch, Change, Snapshot, Tree, TreeChange
from quetzalrudder.settings import SettingsTree, check_branches
from quetzalrudder.settings_log import LOG_PREFIX, SettingsLog, extend_chain
from quetzalrudder.timeline import EventKind, Timeline
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["SettingsStore"]

log = logging.getLogger(__name__)

WATCH_TIMEOUT_MS = 2_000
APPLY_RETRY_PAUSE_S = 0.5
MAX_APPLY_ATTEMPTS = 3
MAX_RECENT_CHANGES_BYTES = 4 * 1024 * 1024
MISSING_CHANGE_ID = "the change id is missing"


class RecentChanges:
    """The newest changes, for instances that are slightly behind; bounded in bytes."""

    def __init__(self, max_bytes: int = MAX_RECENT_CHANGES_BYTES) -> None:
        self._max_bytes = max_bytes
        self._changes: deque[tuple[TreeChange, int]] = deque()
        self._bytes = 0

    def add(self, change: TreeChange) -> None:
        """Add the change of the next revision."""
        size = len(bytes(change))
        self._changes.append((change, size))
        self._bytes += size
        while self._bytes > self._max_bytes:
            self._bytes -= self._changes.popleft()[1]

    def clear(self) -> None:
        """Discard all changes, because the next change does not follow them."""
        self._changes.clear()
        self._bytes = 0

    def changes_above(self, revision: int) -> list[TreeChange]:
        """Return the kept changes above a revision, in order."""
        return [change for change, _ in self._changes if change.change.revision > revision]

    def chain_at(self, revision: int) -> bytes | None:
        """Return the chain of a revision; None if its change is not kept."""
        for change, _ in self._changes:
            if change.change.revision == revision:
                return change.change.chain
        return None


class SettingsStore:
    """Holds the newest known revision of the settings; the revision never decreases.

    Parameters
    ----------
    platform : Platform
        Store of the accepted changes.
    clock : Clock
        Source of time.
    timeline : Timeline
        Records events.
    """

    def __init__(self, platform: Platform, clock: Clock, timeline: Timeline) -> None:
        self._platform = platform
        self._log = SettingsLog(platform, clock)
        self._clock = clock
        self._timeline = timeline
        self._lock = threading.RLock()
        self._tree = SettingsTree(Tree())
        self._recent = RecentChanges()
        # Monotonic time, in seconds, of the last request in which the platform confirmed the
        # revision as the newest.
        self._confirmed_at = float("-inf")
        # Callbacks, run after the revision has increased.
        self.on_change: list[Callable[[], None]] = []

    @property
    def tree(self) -> SettingsTree:
        """The settings tree of the revision in force."""
        return self._tree

    @property
    def is_loaded(self) -> bool:
        """True once a revision is in force, or the platform has confirmed that there is none."""
        return self._tree.revision > 0 or self._confirmed_at > float("-inf")

    @property
    def age_ms(self) -> float:
        """Milliseconds since the request that confirmed the revision as the newest."""
        return (self._clock.monotonic() - self._confirmed_at) * MS_PER_S

    def confirm_revision(self, revision: int, requested_at: float) -> None:
        """Record that the platform had no change above a revision.

        Parameters
        ----------
        revision : int
            The newest revision in the platform.
        requested_at : float
            Monotonic time, in seconds, at which the request to the platform was sent.
        """
        with self._lock:
            if self._tree.revision >= revision:
                self._confirmed_at = max(self._confirmed_at, requested_at)

    def adopt_tree(self, tree: Tree) -> bool:
        """Adopt a whole tree if its revision is higher than the one in force.

        Returns
        -------
        bool
            Whether the tree was adopted.
        """
        with self._lock:
            if tree.revision <= self._tree.revision:
                return False
            self._recent.clear()
            self._set_tree(SettingsTree(tree))
        self._notify()
        return True

    def adopt_changes(self, changes: Iterable[TreeChange]) -> bool:
        """Adopt the changes that follow the revision in force, in order.

        Returns
        -------
        bool
            False if a change is missing, or if the changes follow another tree.
        """
        advanced = False
        complete = True
        with self._lock:
            for change in changes:
                if change.change.revision <= self._tree.revision:
                    continue
                if not self._follows(change.change):
                    complete = False
                    break
                self._recent.add(change)
                self._set_tree(self._tree.with_change(change))
                advanced = True
        if advanced:
            self._notify()
        return complete

    def _follows(self, change: Change) -> bool:
        tree = self._tree
        return (
            change.revision == tree.revision + 1
            and extend_chain(tree.chain, change.change_id) == change.chain
        )

    def _set_tree(self, tree: SettingsTree) -> None:
        self._tree = tree
        latest = tree.latest_change
        detail = f"revision {tree.revision}: {latest.summary}"
        self._timeline.record(EventKind.SETTINGS_APPLIED, detail=detail)
        log.info("settings in force", extra={"revision": tree.revision})

    def _notify(self) -> None:
        for callback in self.on_change:
            callback()

    def changes_above(self, revision: int, chain: bytes) -> list[TreeChange] | None:
        """Return the changes above the revision of another instance.

        Parameters
        ----------
        revision : int
            The revision in force on the other instance.
        chain : bytes
            The chain of that revision on the other instance.

        Returns
        -------
        list of TreeChange or None
            Empty if this instance has no newer revision. None if the changes are not kept
            any more, or do not follow the chain.
        """
        with self._lock:
            changes = self._recent.changes_above(revision)
            if revision >= self._tree.revision:
                return []
            if not changes or not self._follows_revision(changes[0].change, revision, chain):
                return None
            return changes

    def _follows_revision(self, change: Change, revision: int, chain: bytes) -> bool:
        expected = extend_chain(chain, change.change_id)
        return change.revision == revision + 1 and expected == change.chain

    def load(self) -> Result[int, QuetzalrudderError]:
        """Update this instance to the platform's newest revision.

        The result is the store version from which a watch continues. Changes that the
        platform has lost and this instance still has are written again.
        """
        requested_at = self._clock.monotonic()
        local = self._tree
        snapshot = self._log.read_snapshot()
        if isinstance(snapshot, Err):
            return snapshot
        replaced = self._adopt_snapshot(snapshot.ok_value)
        if isinstance(replaced, Err):
            return replaced
        start = _revision(snapshot.ok_value) if replaced.ok_value else local.revision
        tail = self._log.read_tail(start)
        if isinstance(tail, Err):
            return tail
        logged = tail.ok_value.changes
        newest = max([change.change.revision for change in logged] + [_revision(snapshot.ok_value)])
        adopted = self._adopt_logged(logged)
        if isinstance(adopted, Err):
            return adopted
        if newest < local.revision or not adopted.ok_value or self._diverges(logged):
            merged = self._merge(snapshot.ok_value, local)
            if isinstance(merged, Err):
                return merged
        self.confirm_revision(newest, requested_at)
        return Ok(tail.ok_value.version)

    def _diverges(self, logged: list[TreeChange]) -> bool:
        """Return whether the log has another change at a revision that this instance has."""
        with self._lock:
            for change in logged:
                revision, chain = change.change.revision, change.change.chain
                local_chain = self._recent.chain_at(revision)
                if revision == self._tree.revision:
                    local_chain = self._tree.chain
                if local_chain is not None and local_chain != chain:
                    return True
        return False

    def _adopt_logged(self, changes: list[TreeChange]) -> Result[bool, QuetzalrudderError]:
        new = [change for change in changes if change.change.revision > self._tree.revision]
        resolved = self._log.resolve_parts(new)
        return resolved.map(self.adopt_changes)

    def _adopt_snapshot(self, snapshot: Snapshot) -> Result[bool, QuetzalrudderError]:
        if _revision(snapshot) <= self._tree.revision:
            return Ok(False)
        if self._log.can_catch_up_from_log(snapshot, self._tree.revision):
            return Ok(False)
        parts = self._log.read_parts(snapshot.parts)
        return parts.map(lambda branches: self.adopt_tree(_snapshot_tree(snapshot, branches)))

    def _merge(self, snapshot: Snapshot, local: SettingsTree) -> Result[None, QuetzalrudderError]:
        """Append the changes that the platform has lost to its log, after those it still has.

        They get their old revisions if the platform has accepted no other change since.
        """
        log.warning(
            "settings log in the platform differs from the local settings",
            extra={"own_revision": local.revision},
        )
        platform_tree = self._read_platform_tree(snapshot)
        if isinstance(platform_tree, Err):
            return platform_tree
        lost = self._find_lost_changes(snapshot, platform_tree.ok_value)
        if isinstance(lost, Err):
            return lost
        tree = platform_tree.ok_value
        for change in lost.ok_value:
            rebased = _rebase(tree, change)
            answer = self._log.append(rebased)
            if isinstance(answer, Err):
                return answer
            if not answer.ok_value.done and not _has_same_chain(answer.ok_value.entry, rebased):
                return Err(
                    PlatformUnavailable(
                        "another writer is appending to the settings log", place=LOG_PREFIX
                    )
                )
            tree = tree.with_change(rebased)
            detail = f"revision {tree.revision}: {tree.latest_change.summary}"
            self._timeline.record(EventKind.SETTINGS_RESTORED, detail=detail)
        if tree.revision < local.revision:
            return self._log.write_snapshot(local.latest_change, local.tree.branches).map(
                lambda _: None
            )
        self.adopt_tree(tree.tree)
        return Ok(None)

    def _read_platform_tree(self, snapshot: Snapshot) -> Result[SettingsTree, QuetzalrudderError]:
        branches = self._log.read_parts(snapshot.parts)
        if isinstance(branches, Err):
            return branches
        tree = SettingsTree(_snapshot_tree(snapshot, branches.ok_value))
        tail = self._log.read_tail(tree.revision)
        if isinstance(tail, Err):
            return tail
        new = [change for change in tail.ok_value.changes if change.change.revision > tree.revision]
        resolved = self._log.resolve_parts(new)
        if isinstance(resolved, Err):
            return resolved
        for change in resolved.ok_value:
            tree = tree.with_change(change)
        return Ok(tree)

    def _find_lost_changes(
        self, snapshot: Snapshot, tree: SettingsTree
    ) -> Result[list[TreeChange], QuetzalrudderError]:
        platform_ids = {change.change_id for change in tree.tree.history}
        with self._lock:
            recent = self._recent.changes_above(snapshot.trimmed_revision)
        lost: list[TreeChange] = []
        for change in reversed(recent):
            stored = self._log.read_change(change.change.revision)
            if isinstance(stored, Err):
                return stored
            if stored.ok_value is not None and stored.ok_value.change.chain == change.change.chain:
                break
            if change.change.change_id not in platform_ids:
                lost.insert(0, change)
        return Ok(lost)

    def watch_once(self, version: int | None) -> Result[int | None, QuetzalrudderError]:
        """Wait once for changes in the platform and adopt them.

        Parameters
        ----------
        version : int or None
            Store version returned by the previous call; None to load instead of waiting.

        Returns
        -------
        Result[int | None, QuetzalrudderError]
            Store version for the next call; None if that one has to load.
        """
        if version is None:
            return self.load()
        requested_at = self._clock.monotonic()
        req = WatchRequest(prefix=LOG_PREFIX, after_version=version, timeout_ms=WATCH_TIMEOUT_MS)
        answer = self._platform.watch(req)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.version < version:
            return Ok(None)
        changes = [TreeChange.parse(entry.value) for entry in answer.ok_value.entries]
        changes.sort(key=lambda change: change.change.revision)
        adopted = self._adopt_logged(changes)
        if isinstance(adopted, Err):
            return adopted
        if not adopted.ok_value:
            return Ok(None)
        newest = changes[-1].change.revision if changes else 0
        self.confirm_revision(max(newest, self._tree.revision), requested_at)
        return Ok(answer.ok_value.version)

    def apply(self, req: ApplyRequest) -> Result[Change, QuetzalrudderError]:
        """Submit a change to the platform.

        Parameters
        ----------
        req : ApplyRequest
            The difference from the base revision. A request that is repeated with its
            change id returns the change that was accepted the first time.

        Returns
        -------
        Result[Change, QuetzalrudderError]
            The accepted change. ``Conflict`` names the change that was accepted first;
            ``OutcomeUnknown`` means that the platform may have accepted this change.
        """
        if not req.change_id:
            return Err(InvalidSettings(MISSING_CHANGE_ID, place="change_id"))
        last_error: QuetzalrudderError = PlatformUnavailable(
            "the platform did not answer", place=LOG_PREFIX
        )
        outcome_unknown = False
        for attempt in range(MAX_APPLY_ATTEMPTS):
            if attempt:
                self._clock.sleep(APPLY_RETRY_PAUSE_S)
            match self._try_apply(req):
                case Err(OutcomeUnknown() as exc):
                    outcome_unknown, last_error = True, exc
                case Err(PlatformUnavailable() as exc):
                    last_error = last_error if outcome_unknown else exc
                case outcome:
                    return outcome
        return Err(last_error)

    def _try_apply(self, req: ApplyRequest) -> Result[Change, QuetzalrudderError]:
        loaded = self.load()
        if isinstance(loaded, Err):
            return loaded
        tree = self._tree
        if tree.revision != req.base_revision:
            return self._resolve_earlier_change(req, tree)
        change = self._next_change(tree, req)
        new_tree = tree.with_change(change)
        errors = check_branches(new_tree.tree.branches, "settings", changed=req.put)
        if errors:
            return Err(InvalidSettings("; ".join(str(error) for error in errors)))
        answer = self._log.append(change)
        if isinstance(answer, Err):
            return Err(_outcome_unknown(req))
        if not answer.ok_value.done:
            return self._resolve_earlier_change(req, tree)
        return self._finish(req, change, new_tree)

    def _finish(
        self, req: ApplyRequest, change: TreeChange, new_tree: SettingsTree
    ) -> Result[Change, QuetzalrudderError]:
        """Adopt an accepted change, unless the log was trimmed up to its revision.

        In that case another change may have had this revision, and its log key was free
        only because that change had been deleted.
        """
        snapshot = self._log.read_snapshot()
        if isinstance(snapshot, Err):
            return Err(_outcome_unknown(req))
        if snapshot.ok_value.trimmed_revision >= change.change.revision:
            return Err(_log_too_short(req))
        self.adopt_changes([change])
        if self._log.is_snapshot_due(change.change.revision):
            self._log.write_snapshot(change.change, new_tree.tree.branches)
        return Ok(change.change)

    def _resolve_earlier_change(
        self, req: ApplyRequest, tree: SettingsTree
    ) -> Result[Change, QuetzalrudderError]:
        """Return the request's own change, or an error that names the one accepted first."""
        stored = self._log.read_change(req.base_revision + 1)
        if isinstance(stored, Err):
            return stored
        first = stored.ok_value
        if first is not None and first.change.change_id == req.change_id:
            return Ok(first.change)
        if first is None and req.base_revision < tree.revision:
            return Err(_log_too_short(req))
        return Err(_conflict(first.change if first is not None else tree.latest_change))

    def _next_change(self, tree: SettingsTree, req: ApplyRequest) -> TreeChange:
        change = Change(
            revision=tree.revision + 1,
            change_id=req.change_id,
            operator_name=req.operator_name,
            summary=req.summary,
            accepted_unix_ms=int(self._clock.wall() * MS_PER_S),
            chain=extend_chain(tree.chain, req.change_id),
        )
        return TreeChange(change=change, put=req.put, removed=req.removed)


def _revision(snapshot: Snapshot) -> int:
    return snapshot.change.revision if snapshot.change is not None else 0


def _rebase(tree: SettingsTree, change: TreeChange) -> TreeChange:
    chain = extend_chain(tree.chain, change.change.change_id)
    rebased = dataclasses.replace(change.change, revision=tree.revision + 1, chain=chain)
    return dataclasses.replace(change, change=rebased)


def _has_same_chain(entry: Entry | None, change: TreeChange) -> bool:
    if entry is None or not entry.value:
        return False
    return TreeChange.parse(entry.value).change.chain == change.change.chain


def _snapshot_tree(snapshot: Snapshot, branches: list[Branch]) -> Tree:
    history = [snapshot.change] if snapshot.change is not None else []
    return Tree(revision=_revision(snapshot), branches=branches, history=history)


def _conflict(first: Change) -> Conflict:
    return Conflict(
        f"revision {first.revision} by {first.operator_name} was accepted first: "
        f"{first.summary} (change {first.change_id})",
        place=f"{LOG_PREFIX}{first.revision}",
    )


def _outcome_unknown(req: ApplyRequest) -> OutcomeUnknown:
    return OutcomeUnknown(
        "the platform may have accepted the change; repeat it with the same change id",
        place=req.change_id,
        retry_after_ms=int(APPLY_RETRY_PAUSE_S * MS_PER_S),
    )


def _log_too_short(req: ApplyRequest) -> OutcomeUnknown:
    return OutcomeUnknown(
        f"the settings log no longer reaches back to revision {req.base_revision + 1}",
        place=req.change_id,
    )
