"""Counts an instance's calls to the store by what they are for.

Serves fleets in which the calls to the store are a price of their own: an operator sees which
of them grow with the number of instances.
"""

from collections.abc import Callable
from enum import Enum

from result import Err, Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.era_store import EraTellingStore
from quetzalrudder.gateway.records import (
    COORDINATOR_KEY,
    MEMBER_PREFIX,
    PRIMARY_PREFIX,
    ROSTER_PREFIX,
)
from quetzalrudder.gateway.store import Changes, LeaseId

__all__ = ["CountedStore", "StoreCall"]


class StoreCall(Enum):
    """What a call to the store is for."""

    WATCH_ANSWERED = "watch_answered"
    WATCH_EMPTY = "watch_empty"
    WATCH_FAILED = "watch_failed"
    RANGE_READ = "range_read"
    MEMBER_RECORD = "member_record"
    ROSTER_ENTRY = "roster_entry"
    PRIMARY_RECORD = "primary_record"
    COORDINATOR = "coordinator"
    LEASE_OPEN = "lease_open"
    LEASE_KEEP = "lease_keep"
    LEASE_END = "lease_end"
    OTHER_WRITE = "other_write"


_CALL_BY_PREFIX = {
    MEMBER_PREFIX: StoreCall.MEMBER_RECORD,
    ROSTER_PREFIX: StoreCall.ROSTER_ENTRY,
    PRIMARY_PREFIX: StoreCall.PRIMARY_RECORD,
    COORDINATOR_KEY: StoreCall.COORDINATOR,
}


def _call_of(key: str) -> StoreCall:
    """Return what a write of a key is for."""
    found = (call for prefix, call in _CALL_BY_PREFIX.items() if key.startswith(prefix))
    return next(found, StoreCall.OTHER_WRITE)


class CountedStore:
    """A store whose calls are counted, also those that fail.

    Parameters
    ----------
    store : EraTellingStore
        Makes the calls.
    count : Callable
        Called once for each call.
    """

    def __init__(self, store: EraTellingStore, count: Callable[[StoreCall], None]) -> None:
        self._store = store
        self._count = count

    @property
    def answered_era(self) -> int | None:
        """Era that the store told in its latest answer; None if it told none."""
        return self._store.answered_era

    def read_prefix(self, prefix: str) -> Result[Changes, QuetzalrudderError]:
        """Return all items whose keys have a prefix."""
        self._count(StoreCall.RANGE_READ)
        return self._store.read_prefix(prefix)

    def watch(self, after: int, wait_ms: int) -> Result[Changes, QuetzalrudderError]:
        """Return the changes to any key after a revision, or none if the wait ends before one."""
        result = self._store.watch(after, wait_ms)
        if isinstance(result, Err):
            self._count(StoreCall.WATCH_FAILED)
        elif result.ok_value.items:
            self._count(StoreCall.WATCH_ANSWERED)
        else:
            self._count(StoreCall.WATCH_EMPTY)
        return result

    def write(
        self, key: str, value: bytes, expected: int, lease: LeaseId | None = None
    ) -> Result[int, QuetzalrudderError]:
        """Write a key if it has the expected revision, and return its new revision."""
        self._count(_call_of(key))
        return self._store.write(key, value, expected, lease)

    def delete(self, key: str, expected: int) -> Result[int, QuetzalrudderError]:
        """Delete a key if it has the expected revision, and return the revision of the change."""
        self._count(_call_of(key))
        return self._store.delete(key, expected)

    def open_lease(self, ttl_s: float) -> Result[LeaseId, QuetzalrudderError]:
        """Open a lease that expires unless it is renewed within the TTL."""
        self._count(StoreCall.LEASE_OPEN)
        return self._store.open_lease(ttl_s)

    def renew_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """Renew a lease; ``LeaseEnded`` if it does not exist."""
        self._count(StoreCall.LEASE_KEEP)
        return self._store.renew_lease(lease)

    def end_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """End a lease and delete its keys."""
        self._count(StoreCall.LEASE_END)
        return self._store.end_lease(lease)
