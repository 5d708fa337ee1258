"""A store whose revisions are ordered over its returns from older copies.

The store gives revisions out again after a return. Here each one carries its era in its high bits,
so that a later one is always greater, and a call with one of an earlier era is not sent: its
number may stand for another value by now.

The store counts its eras from a number of its own. The first instance of the first fleet records
the era that it finds, and all others count from there; so instances of earlier builds, which know
no eras, see the same revisions until the first return.
"""

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol, TypeVar

from result import Err, Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.store import (
    Changes,
    EraPassed,
    HistoryGone,
    Item,
    LeaseEnded,
    LeaseId,
    Store,
    StoreEra,
    WriteConflict,
    era_of,
    revision_in,
    revision_within_era,
)
from quetzalrudder.gateway.store_eras import StoreEras

__all__ = ["BASE_ERA_KEY", "EraStore", "EraTellingStore"]

log = logging.getLogger(__name__)

T = TypeVar("T")

# Holds the store's own number of the era in which the fleet started for the first time.
BASE_ERA_KEY = "qr/era"
# Failures that are answers of a store that works.
ANSWERS = (HistoryGone, LeaseEnded, WriteConflict)


class EraTellingStore(Store, Protocol):
    """A client of the store that knows the era of the latest answer."""

    @property
    def answered_era(self) -> int | None:
        """Era that the store told in its latest answer; None if it told none."""


class EraStore:
    """A client of the store, with revisions that are ordered over eras.

    ``EraPassed`` if the store came back from an older copy during a call: whether the call took
    effect before or after that is unknown.

    Parameters
    ----------
    store : EraTellingStore
        Makes the calls, with the store's own revisions.
    eras : StoreEras
        Learns of each era that the store tells.
    on_return : Callable, optional
        Called when the store answers a call of this client after one that it did not answer.
    """

    def __init__(
        self,
        store: EraTellingStore,
        eras: StoreEras,
        on_return: Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self._eras = eras
        self._on_return = on_return
        self._answered = True

    def read_prefix(self, prefix: str) -> Result[Changes, QuetzalrudderError]:
        """Return all items whose keys have a prefix."""
        result, era = self._call(lambda: self._store.read_prefix(prefix))
        return result.map(lambda changes: _with_era(changes, era))

    def watch(self, after: int, wait_ms: int) -> Result[Changes, QuetzalrudderError]:
        """Return the changes after a revision; ``HistoryGone`` if it is of an earlier era."""
        if era_of(after) == self._eras.current:
            within = revision_within_era(after)
            result, era = self._call(lambda: self._store.watch(within, wait_ms))
            if era_of(after) == era:
                return result.map(lambda changes: _with_era(changes, era))
        return Err(HistoryGone("the store has come back from an older copy"))

    def write(
        self, key: str, value: bytes, expected: int, lease: LeaseId | None = None
    ) -> Result[int, QuetzalrudderError]:
        """Write a key if it has the expected revision; one of an earlier era is a conflict."""
        if self._is_passed(expected):
            return self._conflict(key)
        within = revision_within_era(expected)
        return _written(*self._call(lambda: self._store.write(key, value, within, lease)))

    def delete(self, key: str, expected: int) -> Result[int, QuetzalrudderError]:
        """Delete a key if it has the expected revision; one of an earlier era is a conflict."""
        if self._is_passed(expected):
            return self._conflict(key)
        within = revision_within_era(expected)
        return _written(*self._call(lambda: self._store.delete(key, within)))

    def open_lease(self, ttl_s: float) -> Result[LeaseId, QuetzalrudderError]:
        """Open a lease that expires unless it is renewed within the TTL."""
        return self._call(lambda: self._store.open_lease(ttl_s))[0]

    def renew_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """Renew a lease; ``LeaseEnded`` if it does not exist."""
        return self._call(lambda: self._store.renew_lease(lease))[0]

    def end_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """End a lease and delete its keys."""
        return self._call(lambda: self._store.end_lease(lease))[0]

    def _call(
        self, call: Callable[[], Result[T, QuetzalrudderError]]
    ) -> tuple[Result[T, QuetzalrudderError], StoreEra]:
        """Make a call; return its result and era, if all of it was made in the current era."""
        eras = self._eras
        if eras.base is not None and not eras.base_is_stored:
            recorded = self._record_base(eras.base)
            if isinstance(recorded, Err):
                return recorded, eras.current
        # A call that began before any era was known is one of the era that its answer tells.
        started_in = eras.current if eras.was_observed else None
        result = call()
        self._note_result(result)
        told = self._store.answered_era
        if told is None:
            # From a store that tells no era, or none at all.
            return result, eras.current
        if eras.base is None:
            recorded = self._record_base(told)
            if isinstance(recorded, Err):
                return recorded, eras.current
        era = StoreEra(max(0, told - eras.base))
        eras.observe(era)
        if era != eras.current or started_in not in (None, era):
            return Err(EraPassed("the store has come back from an older copy meanwhile")), era
        return result, era

    def _note_result(self, result: Result[T, QuetzalrudderError]) -> None:
        was_answered = self._answered
        self._answered = isinstance(result, Ok) or isinstance(result.err_value, ANSWERS)
        if self._answered and not was_answered:
            self._on_return()

    def _record_base(self, told: int) -> Result[None, QuetzalrudderError]:
        """Read the era from which the fleet counts, or record the given one."""
        found = self._store.read_prefix(BASE_ERA_KEY)
        if isinstance(found, Err):
            return found
        bases = [_decode_base(item) for item in found.ok_value.items if item.key == BASE_ERA_KEY]
        if not bases:
            written = self._store.write(BASE_ERA_KEY, str(told).encode(), 0)
            if isinstance(written, Err):
                # Another instance may have been first.
                return written
            bases = [told]
            log.info("first era of the fleet recorded", extra={"store_era": told})
        # The lowest one that was ever used, so that no revision falls.
        known = [base for base in (self._eras.base, *bases) if base is not None]
        self._eras.base = min(known, default=told)
        self._eras.base_is_stored = True
        return Ok(None)

    def _is_passed(self, expected: int) -> bool:
        return expected > 0 and era_of(expected) != self._eras.current

    def _conflict(self, key: str) -> Result[int, QuetzalrudderError]:
        """Return the conflict of a write that expects a revision of an earlier era."""
        result = self.read_prefix(key)
        if isinstance(result, Err):
            return result
        found = [item for item in result.ok_value.items if item.key == key]
        reason = "the expected revision is one of an earlier era of the store"
        return Err(WriteConflict(reason, place=key, current=tuple(found or [Item(key, None, 0)])))


def _written(
    result: Result[int, QuetzalrudderError], era: StoreEra
) -> Result[int, QuetzalrudderError]:
    match result:
        case Ok(revision):
            return Ok(revision_in(era, revision))
        case Err(WriteConflict(current=current) as exc):
            exc.current = tuple(_item_with_era(item, era) for item in current)
    return result


def _item_with_era(item: Item, era: StoreEra) -> Item:
    if item.revision == 0:
        # The key does not exist.
        return item
    created = revision_in(era, item.created) if item.created else 0
    return replace(item, revision=revision_in(era, item.revision), created=created)


def _with_era(changes: Changes, era: StoreEra) -> Changes:
    items = tuple(_item_with_era(item, era) for item in changes.items)
    return Changes(items, revision_in(era, changes.revision))


def _decode_base(item: Item) -> int | None:
    """Return the era that an item holds; None, with a log line, if it holds none."""
    try:
        return int(item.value or b"")
    except ValueError:
        log.error("first era of the fleet cannot be read", extra={"key": item.key})
        return None
