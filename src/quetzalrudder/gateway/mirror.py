"""Keeps a local view of the store up to date.

A full read is followed by watches for changes, at the store or at an instance that watches it
for others. When the store no longer has the history that a watch needs, the view starts again
with a full read.

Items are applied one by one. One whose handler fails is skipped: what its key stood for stays
in force, and everything else is applied.
"""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from os.path import commonprefix

from result import Err, Ok, Result

from quetzalrudder.exceptions import MalformedMessage, QuetzalrudderError
from quetzalrudder.gateway.change_log import ChangeLog
from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.gateway.relays import RelayedWatch, RelayUnavailable
from quetzalrudder.gateway.retry_delay import RetryDelay, RetryPause
from quetzalrudder.gateway.store import Changes, HistoryGone, Item, Store
from quetzalrudder.gateway.store_contact import StoreContact, describe_failure
from quetzalrudder.gateway.wakeups import WakeUp
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["PrefixHandler", "StoreMirror", "watch_wait_s"]

log = logging.getLogger(__name__)

# A watch ends this long before a configuration must be in force. One on a connection that
# hangs fails soon afterwards, which leaves time to read the changes by another call.
WATCH_MARGIN_S = 1.5
MIN_WATCH_WAIT_S = 0.5
# Wait of the first watch after a failure.
RECONNECT_WAIT_S = 0.1
# Pause between an instance's first read and its first request to a relay: an instance that has
# been started together with it then answers calls of peers.
FIRST_REQUEST_DELAY_S = 0.5
# Pause after a failed call: at most 10 calls a second of each instance while the store is
# unavailable. It grows in a large fleet.
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
    # Keys that count as deleted if a full read lacks them, also at the first one.
    single_keys: tuple[str, ...] = ()


def watch_wait_s(convergence_limit_s: float) -> float:
    """Return how long a watch waits, given the time limit for a configuration to be in force."""
    return max(MIN_WATCH_WAIT_S, convergence_limit_s - WATCH_MARGIN_S)


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
    change_log : ChangeLog, optional
        Receives the changes, for the instances that wait for them at this one.
    relays : RelayedWatch, optional
        Gets the changes from other instances when this one need not watch the store.
    retry_delay : RetryDelay, optional
        Pauses after failed calls.
    on_direct : Callable, optional
        Called when this instance watches the store by itself after it has used a relay.
    on_skip : Callable, optional
        Called with the prefix of each item that is skipped.
    """

    def __init__(
        self,
        store: Store,
        handlers: list[PrefixHandler],
        contact: StoreContact,
        clock: Clock,
        convergence_limit_s: float,
        batch_delay_s: Callable[[list[str]], float] = lambda keys: 0.0,
        *,
        change_log: ChangeLog | None = None,
        relays: RelayedWatch | None = None,
        retry_delay: RetryDelay | None = None,
        on_direct: Callable[[], None] = lambda: None,
        on_skip: Callable[[str], None] = lambda prefix: None,
    ) -> None:
        self._store = store
        self._handlers = handlers
        self._contact = contact
        self._clock = clock
        self.wait_s = watch_wait_s(convergence_limit_s)
        self._batch_delay_s = batch_delay_s
        self._change_log = change_log if change_log is not None else ChangeLog(clock)
        self.relays = relays
        self._retry_delay = retry_delay
        self._on_direct = on_direct
        self._on_skip = on_skip
        # Keys that exist, and the revisions of those that were skipped.
        self._keys: set[str] = set()
        self._skipped: dict[str, int] = {}
        # Keys that the last watch of the store returned.
        self._changed: list[str] = []
        # True if a relay has provided changes since the last answer of the store.
        self._relayed = False
        self._starting = True
        # Calls to the store that have failed in a row, since when, and the pauses after them.
        self._failures = 0
        self._failing_since = 0.0
        self._failure_pauses_s = 0.0
        # Whether the next read is one of all prefixes together.
        self._reads_at_once = True
        self.wake_up = WakeUp()
        self.retry_pause = RetryPause(clock, self.wake_up)
        # None until the store has been read.
        self.revision: int | None = None

    def run(self, stopping: threading.Event) -> None:
        """Read and watch the store until ``stopping`` is set."""
        while not stopping.is_set():
            try:
                succeeded = self.step()
                pause_s = self.pause_s(succeeded=succeeded)
            except Exception as exc:
                self._contact.record_view_failure(exc)
                # The instances that wait for changes at this one have to get them elsewhere.
                self._change_log.lose_store()
                raise
            if succeeded and pause_s > 0:
                stopping.wait(pause_s)
            elif not succeeded:
                self._wait_for_retry(pause_s, stopping)

    def _wait_for_retry(self, pause_s: float, stopping: threading.Event) -> None:
        retry_at = self._clock.monotonic() + pause_s
        while not stopping.is_set():
            left_s = retry_at - self._clock.monotonic()
            if left_s <= 0 or self.retry_pause.end():
                return
            self.wake_up.wait(left_s)

    def pause_s(self, *, succeeded: bool) -> float:
        """Return the seconds to pause after a step."""
        if not succeeded:
            pause_s = self._retry_delay.after_failure() if self._retry_delay else RETRY_DELAY_S
            self._failure_pauses_s += pause_s
            return pause_s
        if self._starting and self.revision is not None:
            self._starting = False
            if self._uses_relay():
                return FIRST_REQUEST_DELAY_S
        return self._batch_delay_s(self._changed) if self._changed else 0.0

    @property
    def next_wait_s(self) -> float:
        """How long the next watch of the store waits; the age of the view counts as a part.

        The view is some time old after a pause, a slow answer, and a relay that has failed.

        After a failure the wait is short: a silent store answers nothing until the watch times out,
        and its return would be noticed no earlier.
        """
        if self._failures or not self._contact.is_view_current:
            return RECONNECT_WAIT_S
        shortest_s = RECONNECT_WAIT_S if self._relayed else MIN_WATCH_WAIT_S
        return max(shortest_s, self.wait_s - self._contact.view_age_s)

    def step(self) -> bool:
        """Read or watch the store once; return whether to go on without a pause for a failure."""
        self._changed = []
        self.retry_pause.begin_call()
        if self.revision is None:
            return self._read_all()
        relay = self.relays.choose() if self.relays is not None else None
        if relay is None:
            return self._watch_store(self.revision)
        return self._watch_relay(relay, self.revision)

    def _uses_relay(self) -> bool:
        return self.relays is not None and self.relays.choose() is not None

    def _watch_store(self, after: int) -> bool:
        sent_at, wait_s = self._clock.monotonic(), self.next_wait_s
        result = self._store.watch(after, round(wait_s * MS_PER_S))
        if isinstance(result, Err):
            if isinstance(result.err_value, HistoryGone):
                log.info(
                    "store no longer has the history for a watch",
                    extra={"revision": after},
                )
                self.revision = None
                return True
            self._record_failure(result.err_value)
            return False
        self._record_success()
        changes = result.ok_value
        self._changed = [item.key for item in changes.items]
        if self._relayed:
            self._relayed = False
            # The relays may have missed an outage of the store, or it may have ended them.
            self._contact.interrupt_view()
            self._on_direct()
        self._apply(changes)
        # An answer that arrives after the wait may have been sent at the end of the wait.
        age_s = max(0.0, self._clock.monotonic() - sent_at - wait_s)
        self._change_log.append(changes.items, changes.revision, age_s)
        self._contact.record_view(age_s)
        return True

    def _watch_relay(self, relay: RosterRecord, after: int) -> bool:
        self._change_log.stop()
        result = self.relays.watch(relay, after)
        if isinstance(result, Err):
            # The store may be away for the relay; another one is asked at once, or the store.
            self._contact.interrupt_view()
            return isinstance(result.err_value, RelayUnavailable)
        self._relayed = True
        changes = result.ok_value
        self._apply(changes)
        self._change_log.append_relayed(changes.items, changes.revision)
        self._contact.record_view(self.relays.age_s)
        return True

    def _apply(self, changes: Changes) -> None:
        for item in changes.items:
            if item.value is None:
                self._keys.discard(item.key)
            else:
                self._keys.add(item.key)
            for handler in self._handlers:
                if item.key.startswith(handler.prefix):
                    self._apply_item(handler, item)
        self.revision = max(self.revision or 0, changes.revision)

    def _apply_item(self, handler: PrefixHandler, item: Item) -> None:
        try:
            handler.apply_change(item)
        except Exception as exc:
            # Other programs write to the store; no value of theirs may hide what follows it.
            self._skip(handler, item, exc)
        else:
            self._skipped.pop(item.key, None)

    def _skip(self, handler: PrefixHandler, item: Item, exc: Exception) -> None:
        if self._skipped.get(item.key) == item.revision:
            return
        self._skipped[item.key] = item.revision
        self._on_skip(handler.prefix)
        extra = {"key": item.key, "revision": item.revision, **describe_failure(exc)}
        # A traceback only for what is not a statement about the value.
        unexpected = None if isinstance(exc, MalformedMessage) else exc
        log.error("store item skipped", extra=extra, exc_info=unexpected)

    def _replace_all(self, handler: PrefixHandler, changes: Changes) -> None:
        """Apply a full read of a prefix; one by one if an item cannot be applied."""
        items = [item for item in changes.items if item.key.startswith(handler.prefix)]
        present = {item.key for item in items}
        known = {key for key in self._keys if key.startswith(handler.prefix)}
        self._keys = (self._keys - known) | present
        try:
            handler.note_revision(changes.revision)
            handler.replace_all(items)
        except Exception as exc:
            extra = {
                "prefix": handler.prefix,
                "revision": changes.revision,
                **describe_failure(exc),
            }
            log.warning("store items applied one by one", extra=extra)
            gone = sorted((known | set(handler.single_keys)) - present)
            items += [Item(key, None, changes.revision) for key in gone]
            for item in items:
                self._apply_item(handler, item)
        else:
            for key in known | present:
                self._skipped.pop(key, None)

    def _record_success(self) -> None:
        if self._failures:
            log.info(
                "store provides changes again",
                extra={
                    "revision": self.revision,
                    "failures": self._failures,
                    "failing_s": round(self._clock.monotonic() - self._failing_since, 2),
                    "paused_s": round(self._failure_pauses_s, 2),
                },
            )
        self._failures = 0
        self._contact.record_success()
        if self._retry_delay is not None:
            self._retry_delay.reset()

    def _record_failure(self, exc: QuetzalrudderError) -> None:
        if self._failures == 0:
            self._failing_since = self._clock.monotonic()
            self._failure_pauses_s = 0.0
            log.info(
                "store provides no changes",
                extra={"revision": self.revision, "reason": str(exc)},
            )
        self._failures += 1
        self._contact.record_failure(exc)
        self._contact.interrupt_view()
        self._change_log.lose_store()

    def _read_all(self) -> bool:
        started = self._clock.monotonic()
        answers = self._read_prefixes()
        if isinstance(answers, Err):
            self._record_failure(answers.err_value)
            return False
        for handler, changes in zip(self._handlers, answers.ok_value, strict=True):
            self._replace_all(handler, changes)
        # The watch starts at the revision of the first answer, so that changes made while the
        # other prefixes are read are not missed.
        revision = answers.ok_value[0].revision if answers.ok_value else None
        self._record_success()
        self.revision = revision
        took_s = self._clock.monotonic() - started
        self._change_log.restart(revision or 0, took_s)
        if self._uses_relay():
            self._change_log.stop()
        self._contact.record_view(took_s)
        took_ms = round(took_s * MS_PER_S)
        extra = {"revision": revision, "took_ms": took_ms, "at_once": self._reads_at_once}
        log.info("store read", extra=extra)
        return True

    def _read_prefixes(self) -> Result[list[Changes], QuetzalrudderError]:
        """Read the prefixes of all handlers, by one call or one after the other."""
        prefixes = [handler.prefix for handler in self._handlers]
        answers: list[Changes] = []
        if self._reads_at_once:
            result = self._store.read_prefix(commonprefix(prefixes))
            if isinstance(result, Err):
                # The store may refuse this read only; the next attempt makes single ones.
                self._reads_at_once = False
                return result
            return Ok([result.ok_value] * len(prefixes))
        for prefix in prefixes:
            result = self._store.read_prefix(prefix)
            if isinstance(result, Err):
                self._reads_at_once = True
                return result
            answers.append(result.ok_value)
        return Ok(answers)
