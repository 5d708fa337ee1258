"""The settings in force on this instance, and the way to change them for all."""

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
RETRY_PAUSE_S = 0.5
MAX_APPLY_ATTEMPTS = 3
MAX_RECENT_BYTES = 4 * 1024 * 1024
NO_CHANGE_ID = "no change id"


class RecentChanges:
    """The newest changes, for those who are a little behind; bounded in bytes."""

    def __init__(self, max_bytes: int = MAX_RECENT_BYTES) -> None:
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
        """Forget all, because the next change does not follow them."""
        self._changes.clear()
        self._bytes = 0

    def changes_above(self, revision: int) -> list[TreeChange]:
        """Give the kept changes above a revision."""
        return [change for change, _ in self._changes if change.change.revision > revision]

    def chain_at(self, revision: int) -> bytes | None:
        """Give the chain of a revision, if its change is kept."""
        for change, _ in self._changes:
            if change.change.revision == revision:
                return change.change.chain
        return None


class SettingsStore:
    """Holds the newest known revision; it only ever moves to a higher one.

    Parameters
    ----------
    platform : Platform
        Where the accepted changes live.
    clock : Clock
        Source of time.
    timeline : Timeline
        Takes events.
    """

    def __init__(self, platform: Platform, clock: Clock, timeline: Timeline) -> None:
        self._platform = platform
        self._log = SettingsLog(platform, clock)
        self._clock = clock
        self._timeline = timeline
        self._lock = threading.RLock()
        self._tree = SettingsTree(Tree())
        self._recent = RecentChanges()
        # Clock reading when the platform was last asked and confirmed the revision, in seconds.
        self._proved_at = float("-inf")
        # Called after each move to a higher revision.
        self.on_change: list[Callable[[], None]] = []

    @property
    def tree(self) -> SettingsTree:
        """The revision in force."""
        return self._tree

    @property
    def is_loaded(self) -> bool:
        """True once a revision is in force, or the platform has said that there is none."""
        return self._tree.revision > 0 or self._proved_at > float("-inf")

    @property
    def age_ms(self) -> float:
        """Milliseconds since the revision was proved to be the newest."""
        return (self._clock.monotonic() - self._proved_at) * MS_PER_S

    def confirm_revision(self, revision: int, asked_at: float) -> None:
        """Note that the platform, asked at a clock reading, knew no change above a revision."""
        with self._lock:
            if self._tree.revision >= revision:
                self._proved_at = max(self._proved_at, asked_at)

    def adopt_tree(self, tree: Tree) -> bool:
        """Take over a whole tree if its revision is higher than the one in force."""
        with self._lock:
            if tree.revision <= self._tree.revision:
                return False
            self._recent.clear()
            self._set(SettingsTree(tree))
        self._announce()
        return True

    def adopt_changes(self, changes: Iterable[TreeChange]) -> bool:
        """Take over the changes that follow the revision in force, in order.

        Returns
        -------
        bool
            False if a change is missing, or if the changes follow another tree.
        """
        moved = False
        fits = True
        with self._lock:
            for change in changes:
                if change.change.revision <= self._tree.revision:
                    continue
                if not self._follows(change.change):
                    fits = False
                    break
                self._recent.add(change)
                self._set(self._tree.with_change(change))
                moved = True
        if moved:
            self._announce()
        return fits

    def _follows(self, change: Change) -> bool:
        tree = self._tree
        return (
            change.revision == tree.revision + 1
            and extend_chain(tree.chain, change.change_id) == change.chain
        )

    def _set(self, tree: SettingsTree) -> None:
        self._tree = tree
        latest = tree.latest_change
        detail = f"revision {tree.revision}: {latest.summary}"
        self._timeline.record(EventKind.SETTINGS_APPLIED, detail=detail)
        log.info("settings in force", extra={"revision": tree.revision})

    def _announce(self) -> None:
        for call in self.on_change:
            call()

    def changes_above(self, revision: int, chain: bytes) -> list[TreeChange] | None:
        """Give the changes that follow another instance's revision; None if they are not kept."""
        with self._lock:
            changes = self._recent.changes_above(revision)
            if revision >= self._tree.revision:
                return []
            if not changes or not self._is_after(changes[0].change, revision, chain):
                return None
            return changes

    def _is_after(self, change: Change, revision: int, chain: bytes) -> bool:
        expected = extend_chain(chain, change.change_id)
        return change.revision == revision + 1 and expected == change.chain

    def load(self) -> Result[int, QuetzalrudderError]:
        """Bring this instance up to the platform's newest revision.

        Gives the store's version that a watch goes on from. Changes that the
        platform has lost and this instance still has are written again.
        """
        asked_at = self._clock.monotonic()
        own = self._tree
        snapshot = self._log.read_snapshot()
        if isinstance(snapshot, Err):
            return snapshot
        replaced = self._take_snapshot(snapshot.ok_value)
        if isinstance(replaced, Err):
            return replaced
        start = _revision(snapshot.ok_value) if replaced.ok_value else own.revision
        tail = self._log.read_tail(start)
        if isinstance(tail, Err):
            return tail
        found = tail.ok_value.changes
        newest = max([change.change.revision for change in found] + [_revision(snapshot.ok_value)])
        taken = self._take(found)
        if isinstance(taken, Err):
            return taken
        if newest < own.revision or not taken.ok_value or self._differs(found):
            merged = self._merge(snapshot.ok_value, own)
            if isinstance(merged, Err):
                return merged
        self.confirm_revision(newest, asked_at)
        return Ok(tail.ok_value.version)

    def _differs(self, found: list[TreeChange]) -> bool:
        """Tell whether the platform has another change at a revision that this instance has."""
        with self._lock:
            for change in found:
                revision, chain = change.change.revision, change.change.chain
                own = self._recent.chain_at(revision)
                if revision == self._tree.revision:
                    own = self._tree.chain
                if own is not None and own != chain:
                    return True
        return False

    def _take(self, changes: list[TreeChange]) -> Result[bool, QuetzalrudderError]:
        new = [change for change in changes if change.change.revision > self._tree.revision]
        whole = self._log.resolve_parts(new)
        return whole.map(self.adopt_changes)

    def _take_snapshot(self, snapshot: Snapshot) -> Result[bool, QuetzalrudderError]:
        if _revision(snapshot) <= self._tree.revision:
            return Ok(False)
        if self._log.can_catch_up_from_log(snapshot, self._tree.revision):
            return Ok(False)
        branches = self._log.read_parts(snapshot.parts)
        return branches.map(lambda found: self.adopt_tree(_snapshot_tree(snapshot, found)))

    def _merge(self, snapshot: Snapshot, own: SettingsTree) -> Result[None, QuetzalrudderError]:
        """Join with a platform that has lost changes: write them again, on top of its own.

        Where nothing else was accepted meanwhile, the changes get their old places.
        """
        log.warning("the platform's log differs", extra={"own_revision": own.revision})
        built = self._platform_tree(snapshot)
        if isinstance(built, Err):
            return built
        lost = self._lost_changes(snapshot, built.ok_value)
        if isinstance(lost, Err):
            return lost
        tree = built.ok_value
        for change in lost.ok_value:
            again = _rebased(tree, change)
            answer = self._log.append(again)
            if isinstance(answer, Err):
                return answer
            if not answer.ok_value.done and not _is_same(answer.ok_value.entry, again):
                return Err(PlatformUnavailable("the log is changing", place=LOG_PREFIX))
            tree = tree.with_change(again)
            detail = f"revision {tree.revision}: {tree.latest_change.summary}"
            self._timeline.record(EventKind.SETTINGS_RESTORED, detail=detail)
        if tree.revision < own.revision:
            return self._log.write_snapshot(own.latest_change, own.tree.branches).map(
                lambda _: None
            )
        self.adopt_tree(tree.tree)
        return Ok(None)

    def _platform_tree(self, snapshot: Snapshot) -> Result[SettingsTree, QuetzalrudderError]:
        branches = self._log.read_parts(snapshot.parts)
        if isinstance(branches, Err):
            return branches
        tree = SettingsTree(_snapshot_tree(snapshot, branches.ok_value))
        tail = self._log.read_tail(tree.revision)
        if isinstance(tail, Err):
            return tail
        new = [c for c in tail.ok_value.changes if c.change.revision > tree.revision]
        whole = self._log.resolve_parts(new)
        if isinstance(whole, Err):
            return whole
        for change in whole.ok_value:
            tree = tree.with_change(change)
        return Ok(tree)

    def _lost_changes(
        self, snapshot: Snapshot, tree: SettingsTree
    ) -> Result[list[TreeChange], QuetzalrudderError]:
        known = {change.change_id for change in tree.tree.history}
        with self._lock:
            recent = self._recent.changes_above(snapshot.trimmed_revision)
        lost: list[TreeChange] = []
        for change in reversed(recent):
            found = self._log.read_change(change.change.revision)
            if isinstance(found, Err):
                return found
            if found.ok_value is not None and found.ok_value.change.chain == change.change.chain:
                break
            if change.change.change_id not in known:
                lost.insert(0, change)
        return Ok(lost)

    def watch_once(self, version: int | None) -> Result[int | None, QuetzalrudderError]:
        """Take one turn of following the platform.

        Parameters
        ----------
        version : int or None
            Where the last turn ended; None to load first.

        Returns
        -------
        Result[int | None, QuetzalrudderError]
            Where this turn ended; None if the next one has to load.
        """
        if version is None:
            return self.load()
        asked_at = self._clock.monotonic()
        req = WatchRequest(prefix=LOG_PREFIX, after_version=version, timeout_ms=WATCH_TIMEOUT_MS)
        answer = self._platform.watch(req)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value.version < version:
            return Ok(None)
        changes = [TreeChange.parse(entry.value) for entry in answer.ok_value.entries]
        changes.sort(key=lambda change: change.change.revision)
        taken = self._take(changes)
        if isinstance(taken, Err):
            return taken
        if not taken.ok_value:
            return Ok(None)
        newest = changes[-1].change.revision if changes else 0
        self.confirm_revision(max(newest, self._tree.revision), asked_at)
        return Ok(answer.ok_value.version)

    def apply(self, req: ApplyRequest) -> Result[Change, QuetzalrudderError]:
        """Have a change accepted by the platform.

        Parameters
        ----------
        req : ApplyRequest
            The difference to the revision that it was made from. A request that is
            repeated with its change id gives the change accepted the first time.

        Returns
        -------
        Result[Change, QuetzalrudderError]
            The accepted change. ``Conflict`` names the change that came first;
            ``OutcomeUnknown`` means that the platform may have accepted it.
        """
        if not req.change_id:
            return Err(InvalidSettings(NO_CHANGE_ID, place="change_id"))
        last: QuetzalrudderError = PlatformUnavailable("no answer", place=LOG_PREFIX)
        sent = False
        for attempt in range(MAX_APPLY_ATTEMPTS):
            if attempt:
                self._clock.sleep(RETRY_PAUSE_S)
            match self._try_apply(req):
                case Err(OutcomeUnknown() as exc):
                    sent, last = True, exc
                case Err(PlatformUnavailable() as exc):
                    last = last if sent else exc
                case settled:
                    return settled
        return Err(last)

    def _try_apply(self, req: ApplyRequest) -> Result[Change, QuetzalrudderError]:
        loaded = self.load()
        if isinstance(loaded, Err):
            return loaded
        tree = self._tree
        if tree.revision != req.base_revision:
            return self._accepted_before(req, tree)
        change = self._next_change(tree, req)
        after = tree.with_change(change)
        errors = check_branches(after.tree.branches, "settings", changed=req.put)
        if errors:
            return Err(InvalidSettings("; ".join(str(error) for error in errors)))
        answer = self._log.append(change)
        if isinstance(answer, Err):
            return Err(_unknown(req))
        if not answer.ok_value.done:
            return self._accepted_before(req, tree)
        return self._finish(req, change, after)

    def _finish(
        self, req: ApplyRequest, change: TreeChange, after: SettingsTree
    ) -> Result[Change, QuetzalrudderError]:
        """Make sure that the place in the log was not one whose change had been trimmed."""
        snapshot = self._log.read_snapshot()
        if isinstance(snapshot, Err):
            return Err(_unknown(req))
        if snapshot.ok_value.trimmed_revision >= change.change.revision:
            return Err(_history_too_short(req))
        self.adopt_changes([change])
        if self._log.is_snapshot_due(change.change.revision):
            self._log.write_snapshot(change.change, after.tree.branches)
        return Ok(change.change)

    def _accepted_before(
        self, req: ApplyRequest, tree: SettingsTree
    ) -> Result[Change, QuetzalrudderError]:
        """Recognise the request's own change, or name the one that came first."""
        found = self._log.read_change(req.base_revision + 1)
        if isinstance(found, Err):
            return found
        first = found.ok_value
        if first is not None and first.change.change_id == req.change_id:
            return Ok(first.change)
        if first is None and req.base_revision < tree.revision:
            return Err(_history_too_short(req))
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


def _rebased(tree: SettingsTree, change: TreeChange) -> TreeChange:
    chain = extend_chain(tree.chain, change.change.change_id)
    placed = dataclasses.replace(change.change, revision=tree.revision + 1, chain=chain)
    return dataclasses.replace(change, change=placed)


def _is_same(entry: Entry | None, change: TreeChange) -> bool:
    if entry is None or not entry.value:
        return False
    return TreeChange.parse(entry.value).change.chain == change.change.chain


def _snapshot_tree(snapshot: Snapshot, branches: list[Branch]) -> Tree:
    history = [snapshot.change] if snapshot.change is not None else []
    return Tree(revision=_revision(snapshot), branches=branches, history=history)


def _conflict(first: Change) -> Conflict:
    return Conflict(
        f"revision {first.revision} by {first.operator_name} came first: "
        f"{first.summary} (change {first.change_id})",
        place=f"{LOG_PREFIX}{first.revision}",
    )


def _unknown(req: ApplyRequest) -> OutcomeUnknown:
    return OutcomeUnknown(
        "the platform may have accepted the change; repeat it with the same change id",
        place=req.change_id,
        retry_after_ms=int(RETRY_PAUSE_S * MS_PER_S),
    )


def _history_too_short(req: ApplyRequest) -> OutcomeUnknown:
    return OutcomeUnknown(
        f"the history no longer reaches back to revision {req.base_revision + 1}",
        place=req.change_id,
    )
