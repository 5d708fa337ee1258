"""Follows the store: a full read, then changes, and a full read again when history is gone."""

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

# Part of the time in which a configuration must be in force. A watch on a connection that
# went silent is noticed after this long and a little, and the change is read then.
WATCH_PART = 0.4
# In a large fleet changes come together, as many instances write when one thing happens;
# each watch that is answered is a call of every instance.
BATCH_DELAY_S = 0.25
# After a failed call; 10 calls a second of each instance at most while the store is away.
PAUSE_S = 0.1


@dataclass(frozen=True)
class PrefixHandler:
    """What is done with the keys of one prefix."""

    prefix: str
    # Takes all items of the prefix.
    replace: Callable[[list[Item]], None]
    # Takes one changed item.
    change: Callable[[Item], None]


class StoreContact:
    """Since when the store has been reached without a failure.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._contact_since: float | None = None

    def record_success(self) -> None:
        """Note an answer."""
        with self._lock:
            if self._contact_since is not None:
                return
            self._contact_since = self._clock.monotonic()
        log.info("store reached")

    def record_failure(self, exc: QuetzalrudderError) -> None:
        """Note a call without a useful answer."""
        with self._lock:
            if self._contact_since is None:
                return
            since_s = self._clock.monotonic() - self._contact_since
            self._contact_since = None
        log.warning("store lost", extra={"reason": str(exc), "reached_for_s": round(since_s, 1)})

    @property
    def contact_s(self) -> float:
        """Seconds of unbroken contact; 0 without contact."""
        with self._lock:
            if self._contact_since is None:
                return 0.0
            return self._clock.monotonic() - self._contact_since


class StoreMirror:
    """Keeps handlers up to date with the store.

    Parameters
    ----------
    store : Store
        The store.
    handlers : list of PrefixHandler
        Who takes which keys.
    contact : StoreContact
        Takes note of answers and failures.
    clock : Clock
        Source of time.
    in_force_s : float
        Time in which a configuration must be in force, in seconds.
    gathers : Callable
        Tells whether to let changes come together.
    """

    def __init__(
        self,
        store: Store,
        handlers: list[PrefixHandler],
        contact: StoreContact,
        clock: Clock,
        in_force_s: float,
        gathers: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._handlers = handlers
        self._contact = contact
        self._clock = clock
        self._wait_ms = round(WATCH_PART * in_force_s * MS_PER_S)
        self._gathers = gathers
        self._changed = False
        self._revision: int | None = None

    def run(self, stopping: threading.Event) -> None:
        """Follow the store until told to stop."""
        while not stopping.is_set():
            if not self.step():
                stopping.wait(PAUSE_S)
            elif self._changed and self._gathers():
                stopping.wait(BATCH_DELAY_S)

    def step(self) -> bool:
        """Read or watch once; false after a failure."""
        self._changed = False
        if self._revision is None:
            return self._read_all()
        result = self._store.watch(self._revision, self._wait_ms)
        if isinstance(result, Err):
            if isinstance(result.err_value, HistoryGone):
                log.info("history of the store is gone", extra={"revision": self._revision})
                self._revision = None
                return True
            self._contact.record_failure(result.err_value)
            return False
        self._contact.record_success()
        self._changed = bool(result.ok_value.items)
        for item in result.ok_value.items:
            for handler in self._handlers:
                if item.key.startswith(handler.prefix):
                    handler.change(item)
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
            # Changes made while the prefixes are read are watched from the first answer.
            revision = changes.revision if revision is None else revision
            handler.replace(list(changes.items))
        self._contact.record_success()
        self._revision = revision
        took_ms = round((self._clock.monotonic() - started) * MS_PER_S)
        log.info("store read", extra={"revision": revision, "took_ms": took_ms})
        return True
