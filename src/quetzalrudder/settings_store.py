"""The settings in force on this instance, and the way to change them for all."""

import logging
import threading

from result import Err, Ok, Result

from quetzalrudder.adapters import Platform
from quetzalrudder.exceptions import (
    Conflict,
    InvalidSettings,
    PlatformUnavailable,
    QuetzalrudderError,
)
from quetzalrudder.schema.operators import ApplyRequest
from quetzalrudder.schema.platform import Entry, PutRequest, WatchRequest
from quetzalrudder.schema.settings import Change, Tree
from quetzalrudder.settings import SettingsTree, check_branches
from quetzalrudder.timeline import EventKind, Timeline
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["TREE_KEY", "SettingsStore"]

log = logging.getLogger(__name__)

TREE_KEY = "settings/tree"
WATCH_TIMEOUT_MS = 10_000
RETRY_PAUSE_S = 0.5
MAX_HISTORY = 1000
MAX_APPLY_ATTEMPTS = 3


class SettingsStore:
    """Holds the newest known revision; it only ever moves to a higher one.

    Parameters
    ----------
    platform : Platform
        Where the accepted tree lives.
    clock : Clock
        Source of time.
    timeline : Timeline
        Takes events.
    """

    def __init__(self, platform: Platform, clock: Clock, timeline: Timeline) -> None:
        self._platform = platform
        self._clock = clock
        self._timeline = timeline
        self._lock = threading.Lock()
        self._tree = SettingsTree(Tree())
        self._stopping = threading.Event()
        # Clock reading when the platform was last asked and confirmed the revision, in seconds.
        self._proved_at = float("-inf")

    @property
    def tree(self) -> SettingsTree:
        """The revision in force."""
        return self._tree

    @property
    def age_ms(self) -> float:
        """Milliseconds since the revision was proved to be the newest."""
        return (self._clock.monotonic() - self._proved_at) * MS_PER_S

    def offer(self, tree: Tree) -> bool:
        """Take over a revision if it is higher than the one in force."""
        with self._lock:
            if tree.revision <= self._tree.revision:
                return False
            self._tree = SettingsTree(tree)
        self._timeline.record(EventKind.SETTINGS_APPLIED, detail=f"revision {tree.revision}")
        log.info("settings in force", extra={"revision": tree.revision})
        return True

    def load(self) -> Result[Entry, QuetzalrudderError]:
        """Read the newest revision from the platform."""
        asked_at = self._clock.monotonic()
        entry = self._platform.get(TREE_KEY)
        if isinstance(entry, Ok):
            self._take(entry.ok_value, asked_at)
        return entry

    def _take(self, entry: Entry, asked_at: float) -> None:
        if entry.version:
            self.offer(Tree.parse(entry.value))
        self._proved_at = max(self._proved_at, asked_at)

    def watch(self) -> None:
        """Follow the platform until :meth:`stop`; one task runs this."""
        version = 0
        while not self._stopping.is_set():
            asked_at = self._clock.monotonic()
            req = WatchRequest(prefix=TREE_KEY, after_version=version, timeout_ms=WATCH_TIMEOUT_MS)
            answer = self._platform.watch(req)
            if isinstance(answer, Err):
                log.warning("platform watch failed", extra={"reason": str(answer.err_value)})
                self._stopping.wait(RETRY_PAUSE_S)
                continue
            for entry in answer.ok_value.entries:
                version = max(version, entry.version)
                self._take(entry, asked_at)

    def stop(self) -> None:
        """End :meth:`watch` at its next turn."""
        self._stopping.set()

    def apply(self, req: ApplyRequest) -> Result[Change, QuetzalrudderError]:
        """Have a change accepted by the platform.

        Parameters
        ----------
        req : ApplyRequest
            The whole tree after the change, and the revision that it was made from.

        Returns
        -------
        Result[Change, QuetzalrudderError]
            The accepted change; ``Conflict`` names the change that came first.
        """
        errors = check_branches(req.branches, "settings")
        if errors:
            return Err(InvalidSettings("; ".join(str(error) for error in errors)))
        last: QuetzalrudderError = PlatformUnavailable("no answer", place=TREE_KEY)
        for _ in range(MAX_APPLY_ATTEMPTS):
            match self._try_apply(req):
                case Err(PlatformUnavailable() as exc):
                    last = exc
                    self._stopping.wait(RETRY_PAUSE_S)
                case settled:
                    return settled
        return Err(last)

    def _try_apply(self, req: ApplyRequest) -> Result[Change, QuetzalrudderError]:
        loaded = self.load()
        if isinstance(loaded, Err):
            return loaded
        entry = loaded.ok_value
        current = Tree.parse(entry.value)
        for change in current.history:
            if change.change_id == req.change_id:
                return Ok(change)
        if current.revision != req.base_revision:
            return Err(_conflict(current))
        tree = self._next_tree(current, req)
        put = PutRequest(key=TREE_KEY, value=bytes(tree), expected_version=entry.version)
        answer = self._platform.put(put)
        if isinstance(answer, Err):
            return answer
        if not answer.ok_value.done:
            return Err(_conflict(Tree.parse(answer.ok_value.entry.value)))
        self.offer(tree)
        return Ok(tree.history[-1])

    def _next_tree(self, current: Tree, req: ApplyRequest) -> Tree:
        change = Change(
            revision=current.revision + 1,
            change_id=req.change_id,
            operator_name=req.operator_name,
            summary=req.summary,
            accepted_unix_ms=int(self._clock.wall() * MS_PER_S),
        )
        history = [*current.history, change][-MAX_HISTORY:]
        return Tree(revision=change.revision, branches=req.branches, history=history)


def _conflict(current: Tree) -> Conflict:
    latest = current.history[-1] if current.history else Change()
    return Conflict(
        f"revision {latest.revision} by {latest.operator_name} came first: {latest.summary}",
        place=TREE_KEY,
    )
