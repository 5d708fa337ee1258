"""Keeps a local view of the store up to date.

A full read is followed by watches for changes. When the store no longer has the history
that a watch needs, the view starts again with a full read.
"""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.store import HistoryGone, Item, Store
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["PrefixHandler", "StoreContact", "StoreMirror"]

log = logging.getLogger(__name__)

# A watch ends this long before a configuration must be in force. One on a connection that
# hangs fails soon afterwards, which leaves time to read the changes by another call.
WATCH_MARGIN_S = 1.5
MIN_WATCH_WAIT_S = 0.5
# Pause after a failed call: at most 10 calls a second of each instance while the store is
# unavailable.
RETRY_DELAY_S = 0.1


@dataclass(frozen=True)
class PrefixHandler:
    """Callbacks for the keys of one prefix."""

    prefix: str
    # Receives all items of the prefix.
    replace_all: Callable[[list[Item]], None]
    # Receives one changed item.
    apply_change: Callable[[Item], None]
    # Receives the store's revision at a full read, before the items.
    note_revision: Callable[[int], None] = lambda revision: None


class StoreContact:
    """Keeps the time since which all calls to the store have succeeded.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._reached_since: float | None = None

    def record_success(self) -> None:
        """Record a successful call."""
        with self._lock:
            if self._reached_since is not None:
                return
            self._reached_since = self._clock.monotonic()
        log.info("store reached")

    def record_failure(self, exc: QuetzalrudderError) -> None:
        """Record a failed call."""
        with self._lock:
            if self._reached_since is None:
                return
            since_s = self._clock.monotonic() - self._reached_since
            self._reached_since = None
        log.warning("store lost", extra={"reason": str(exc), "reached_for_s": round(since_s, 1)})

    @property
    def contact_s(self) -> float:
        """Seconds since the first success after the last failure; 0 after a failure."""
        with self._lock:
            if self._reached_since is None:
                return 0.0
            return self._clock.monotonic() - self._reached_since


class StoreMirror:
    """Passes the content of the store and its changes to handlers.

    Parameters
    ----------
    store : Store
        The store.
    handlers : list of PrefixHandler
        Callbacks, each for the keys of its prefix.
    contact : StoreContact
        Records successful and failed calls to the store.
    clock : Clock
        Source of time.
    convergence_limit_s : float
        Time within which a configuration must be in force, in seconds.
    batch_delay_s : Callable
        Receives the keys that have changed; returns for how many seconds to pause, so that
        the next watch returns several changes.
    """

    def __init__(
        self,
        store: Store,
        handlers: list[PrefixHandler],
        contact: StoreContact,
        clock: Clock,
        convergence_limit_s: float,
        batch_delay_s: Callable[[list[str]], float] = lambda keys: 0.0,
    ) -> None:
        self._store = store
        self._handlers = handlers
        self._contact = contact
        self._clock = clock
        wait_s = max(MIN_WATCH_WAIT_S, convergence_limit_s - WATCH_MARGIN_S)
        self._wait_ms = round(wait_s * MS_PER_S)
        self._batch_delay_s = batch_delay_s
        # Keys that the last watch returned.
        self._changed: list[str] = []
        self._revision: int | None = None

    def run(self, stopping: threading.Event) -> None:
        """Read and watch the store until ``stopping`` is set."""
        while not stopping.is_set():
            if not self.step():
                stopping.wait(RETRY_DELAY_S)
            elif self._changed and (delay_s := self._batch_delay_s(self._changed)) > 0:
                stopping.wait(delay_s)

    def step(self) -> bool:
        """Read or watch the store once; return whether the call succeeded."""
        self._changed = []
        if self._revision is None:
            return self._read_all()
        result = self._store.watch(self._revision, self._wait_ms)
        if isinstance(result, Err):
            if isinstance(result.err_value, HistoryGone):
                log.info(
                    "store no longer has the history for a watch",
                    extra={"revision": self._revision},
                )
                self._revision = None
                return True
            self._contact.record_failure(result.err_value)
            return False
        self._contact.record_success()
        self._changed = [item.key for item in result.ok_value.items]
        for item in result.ok_value.items:
            for handler in self._handlers:
                if item.key.startswith(handler.prefix):
                    handler.apply_change(item)
        self._revision = max(self._revision, result.ok_value.revision)
        return True

    def _read_all(self) -> bool:
        started = self._clock.monotonic()
        revision = None
        for handler in self._handlers:
            result = self._store.read_prefix(handler.prefix)
            if not isinstance(result, Ok):
                self._contact.record_failure(result.err_value)
                return False
            changes = result.ok_value
            # The watch starts at the revision of the first answer, so that changes made
            # while the other prefixes are read are not missed.
            revision = changes.revision if revision is None else revision
            handler.note_revision(changes.revision)
            handler.replace_all(list(changes.items))
        self._contact.record_success()
        self._revision = revision
        took_ms = round((self._clock.monotonic() - started) * MS_PER_S)
        log.info("store read", extra={"revision": revision, "took_ms": took_ms})
        return True
