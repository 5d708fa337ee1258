"""The platform's key-value store in memory, as the gateway uses it."""

from typing import TypeVar

from result import Err, Ok, Result

from quetzalrudder.exceptions import PlatformUnavailable, QuetzalrudderError
from quetzalrudder.gateway.store import (
    Changes,
    HistoryGone,
    Item,
    LeaseEnded,
    LeaseId,
    WriteConflict,
)
from quetzalrudder.utils import Clock

__all__ = ["MemoryStore", "StoreClient"]

T = TypeVar("T")


class MemoryStore:
    """Keys with revisions and leases; one store is shared by all instances of a test."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.revision = 1
        self.items = {}
        self.leases = {}
        # TTL of each lease, in seconds.
        self.ttls = {}
        self.next_lease = 1
        self.lease_of_key = {}
        self.history = []
        self.oldest_watchable_revision = 0
        self.written_keys = []
        # Rises by one each time the store comes back from a copy; None if it tells no era.
        self.era = None

    def copy(self) -> "MemoryStore":
        """Return a copy of all that the store has."""
        copied = MemoryStore(self.clock)
        copied.revision, copied.items = self.revision, dict(self.items)
        copied.leases, copied.lease_of_key = dict(self.leases), dict(self.lease_of_key)
        copied.history = list(self.history)
        copied.oldest_watchable_revision = self.oldest_watchable_revision
        return copied

    def come_back(self, copied: "MemoryStore", *, keeps_leases: bool = False) -> None:
        """Continue with what a copy has; all that was written since it was made is gone.

        The caller writes again what the operator and the databases have written.

        Parameters
        ----------
        copied : MemoryStore
            The copy.
        keeps_leases : bool, optional
            Whether the leases of the copy go on, for their whole TTL; else they have ended.
        """
        self.revision, self.items = copied.revision, dict(copied.items)
        self.history = list(copied.history)
        self.oldest_watchable_revision = copied.oldest_watchable_revision
        self.lease_of_key = dict(copied.lease_of_key)
        self.era = (self.era or 0) + 1
        now = self.clock.monotonic()
        self.leases = {lease: now + self.ttls.get(lease, 0.0) for lease in copied.leases}
        if not keeps_leases:
            for lease in list(self.leases):
                self.drop_lease(lease)

    def client(self) -> "StoreClient":
        """Return a new client."""
        return StoreClient(self)

    def expire(self) -> None:
        """End the leases whose time is over."""
        now = self.clock.monotonic()
        for lease in [lease for lease, expires_at in self.leases.items() if expires_at <= now]:
            self.drop_lease(lease)

    def drop_lease(self, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [key for key, key_lease in self.lease_of_key.items() if key_lease == lease]:
            self.put(key, None, None)

    def put(self, key: str, value: bytes | None, lease: LeaseId | None) -> int:
        """Write or delete a key without any condition; return its revision."""
        self.revision += 1
        self.lease_of_key.pop(key, None)
        if value is None:
            self.items.pop(key, None)
        else:
            existing = self.items.get(key)
            created = self.revision if existing is None else existing.created
            self.items[key] = Item(key, value, self.revision, created)
            if lease:
                self.lease_of_key[key] = lease
        self.history.append(self.items.get(key, Item(key, None, self.revision)))
        return self.revision

    def compact(self) -> None:
        """Forget the history, as the platform may at any time."""
        self.history.clear()
        self.oldest_watchable_revision = self.revision


class StoreClient:
    """A client of the store; it can be disconnected, lose an answer, or delay a write."""

    def __init__(self, store: MemoryStore) -> None:
        self.store = store
        self.disconnected = False
        self.lose_next_answer = False
        self.delayed_writes = []
        self.delay_next_write = False
        self.answered_era: int | None = None

    def _connection_error(self) -> Err[QuetzalrudderError] | None:
        if self.disconnected:
            return Err(PlatformUnavailable("the client is disconnected"))
        self.store.expire()
        self.answered_era = self.store.era
        return None

    def _answer(self, result: Result[T, QuetzalrudderError]) -> Result[T, QuetzalrudderError]:
        if self.lose_next_answer:
            self.lose_next_answer = False
            return Err(PlatformUnavailable("the answer was lost"))
        return result

    def run_delayed_writes(self) -> list[Result[int, QuetzalrudderError]]:
        """Run the writes that were delayed, and return their results."""
        delayed, self.delayed_writes = self.delayed_writes, []
        return [self._write(*args) for args in delayed]

    def read_prefix(self, prefix: str) -> Result[Changes, QuetzalrudderError]:
        """Return all items whose keys have a prefix."""
        error = self._connection_error()
        if error:
            return error
        items = [item for key, item in sorted(self.store.items.items()) if key.startswith(prefix)]
        return self._answer(Ok(Changes(tuple(items), self.store.revision)))

    def watch(self, after: int, wait_ms: int) -> Result[Changes, QuetzalrudderError]:
        """Return the changes after a revision, without waiting for one."""
        error = self._connection_error()
        if error:
            return error
        if not self.store.oldest_watchable_revision <= after <= self.store.revision:
            return Err(HistoryGone("the changes after this revision are compacted"))
        items = tuple(item for item in self.store.history if item.revision > after)
        return self._answer(Ok(Changes(items, self.store.revision)))

    def write(
        self, key: str, value: bytes, expected: int, lease: LeaseId | None = None
    ) -> Result[int, QuetzalrudderError]:
        """Write a key if it has the expected revision."""
        error = self._connection_error()
        if error:
            return error
        if self.delay_next_write:
            self.delay_next_write = False
            self.delayed_writes.append((key, value, expected, lease))
            return Err(PlatformUnavailable("the store did not answer"))
        return self._answer(self._write(key, value, expected, lease))

    def _write(
        self, key: str, value: bytes, expected: int, lease: LeaseId | None
    ) -> Result[int, QuetzalrudderError]:
        self.store.written_keys.append(key)
        current = self.store.items.get(key, Item(key, None, 0))
        if current.revision != expected:
            return Err(WriteConflict("the key has another revision", current=(current,)))
        if lease and lease not in self.store.leases:
            return Err(LeaseEnded("the lease does not exist"))
        return Ok(self.store.put(key, value, lease))

    def delete(self, key: str, expected: int) -> Result[int, QuetzalrudderError]:
        """Delete a key if it has the expected revision."""
        error = self._connection_error()
        if error:
            return error
        current = self.store.items.get(key, Item(key, None, 0))
        if current.revision != expected:
            return Err(WriteConflict("the key has another revision", current=(current,)))
        return self._answer(Ok(self.store.put(key, None, None)))

    def open_lease(self, ttl_s: float) -> Result[LeaseId, QuetzalrudderError]:
        """Open a lease."""
        error = self._connection_error()
        if error:
            return error
        # Not given out again after a return.
        lease = LeaseId(self.store.next_lease)
        self.store.next_lease += 1
        self.store.revision += 1
        self.store.leases[lease] = self.store.clock.monotonic() + ttl_s
        self.store.ttls[lease] = ttl_s
        return self._answer(Ok(lease))

    def renew_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """Renew a lease."""
        error = self._connection_error()
        if error:
            return error
        if lease not in self.store.leases:
            return Err(LeaseEnded("the lease does not exist"))
        self.store.leases[lease] = self.store.clock.monotonic() + self.store.ttls[lease]
        return self._answer(Ok(None))

    def end_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """End a lease and delete its keys."""
        error = self._connection_error()
        if error:
            return error
        self.store.drop_lease(lease)
        return self._answer(Ok(None))
