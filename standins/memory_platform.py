"""An in-memory platform, for tests and benchmarks under a virtual clock."""

import copy
import itertools
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from result import Err, Ok, Result

from quetzalrudder.exceptions import PlatformUnavailable, QuetzalrudderError
from quetzalrudder.schema.platform import (
    Entries,
    Entry,
    Groups,
    Instances,
    Lease,
    PutAnswer,
    PutRequest,
    WatchRequest,
)
from quetzalrudder.utils import MS_PER_S, Clock
from standins.tagging import with_tag

__all__ = ["MemoryPlatform", "MemoryStore"]

# Overhead of a unary call on its own connection: headers in both directions and TCP/IP.
CALL_OVERHEAD_BYTES = 600


@dataclass
class MemoryStore:
    """Data and faults of the platform, shared by all of its callers."""

    clock: Clock
    entries: dict[str, Entry] = field(default_factory=dict)
    version: int = 0
    # Time to live in milliseconds, and clock reading at which the lease expires, by lease id.
    leases: dict[int, tuple[int, float]] = field(default_factory=dict)
    groups: Groups = field(default_factory=Groups)
    instances: Instances = field(default_factory=Instances)
    down: bool = False
    # Data centres from which the platform cannot be reached.
    unreachable_from: set[str] = field(default_factory=set)
    watches_broken: bool = False
    # Number of next writes that take effect although their answers are lost.
    lose_answers: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    lease_ids: itertools.count = field(default_factory=lambda: itertools.count(1))

    def backup(self) -> tuple[dict[str, Entry], int]:
        """Return a copy of the data for :meth:`restore`."""
        return copy.deepcopy(self.entries), self.version

    def restore(self, backup: tuple[dict[str, Entry], int]) -> None:
        """Restore older data, like a platform that lost its latest writes."""
        self.entries, self.version = copy.deepcopy(backup[0]), backup[1]

    def expire_leases(self) -> None:
        """Remove expired leases and their keys."""
        now = self.clock.monotonic()
        for lease_id in [i for i, (_, expires_at) in self.leases.items() if expires_at <= now]:
            self.drop_lease(lease_id)

    def drop_lease(self, lease_id: int) -> None:
        """Remove a lease and its keys."""
        if self.leases.pop(lease_id, None) is None:
            return
        for key in [k for k, e in self.entries.items() if e.lease_id == lease_id]:
            del self.entries[key]
            self.version += 1


class MemoryPlatform:
    """The platform as one caller reaches it; calls return immediately.

    Parameters
    ----------
    store : MemoryStore
        Data and faults of the platform.
    data_centre : str
        The data centre of the caller.
    """

    def __init__(self, store: MemoryStore, data_centre: str = "") -> None:
        self.store = store
        self.data_centre = data_centre
        # Bytes of all answers to this caller, overhead included.
        self.answer_bytes = 0

    def _counted_answer(self, answer: Any) -> Ok[Any]:
        self.answer_bytes += len(bytes(answer)) + CALL_OVERHEAD_BYTES
        return Ok(answer)

    def _begin_call(self, method: str) -> Err[QuetzalrudderError] | None:
        self.store.calls[method] += 1
        self.store.expire_leases()
        if self.store.down or self.data_centre in self.store.unreachable_from:
            return Err(PlatformUnavailable("the platform did not answer"))
        return None

    def get(self, key: str) -> Result[Entry, QuetzalrudderError]:
        """Read one key; version 0 means absent."""
        return self._begin_call("get") or self._counted_answer(
            self.store.entries.get(key, Entry(key=key))
        )

    def list_entries(self, prefix: str) -> Result[Entries, QuetzalrudderError]:
        """Read all keys under a prefix."""
        return self._begin_call("list") or self._counted_answer(self._entries_newer_than(prefix, 0))

    def _entries_newer_than(self, prefix: str, after_version: int) -> Entries:
        entries = [
            entry
            for key, entry in sorted(self.store.entries.items())
            if key.startswith(prefix) and entry.version > after_version
        ]
        return Entries(entries=entries, version=self.store.version)

    def put(self, req: PutRequest) -> Result[PutAnswer, QuetzalrudderError]:
        """Write or delete one key if its version is the expected one and its lease exists."""
        error = self._begin_call("put")
        if error is not None:
            return error
        current = self.store.entries.get(req.key, Entry(key=req.key))
        expired = req.lease_id and req.lease_id not in self.store.leases
        if current.version != req.expected_version or expired:
            return Ok(PutAnswer(done=False, entry=current))
        self.store.version += 1
        entry = Entry(key=req.key)
        if req.delete:
            self.store.entries.pop(req.key, None)
        else:
            entry = Entry(req.key, req.value, self.store.version, req.lease_id)
            self.store.entries[req.key] = entry
        if self.store.lose_answers:
            self.store.lose_answers -= 1
            return Err(PlatformUnavailable("the answer to the write was lost"))
        return Ok(PutAnswer(done=True, entry=entry))

    def watch(self, req: WatchRequest) -> Result[Entries, QuetzalrudderError]:
        """Return the entries newer than a version; none means that the watch timed out."""
        error = self._begin_call("watch")
        if error is None and self.store.watches_broken:
            return Err(PlatformUnavailable("the platform did not answer the watch"))
        return error or self._counted_answer(
            self._entries_newer_than(req.prefix, req.after_version)
        )

    def grant_lease(self, ttl_ms: int) -> Result[Lease, QuetzalrudderError]:
        """Grant a lease."""
        error = self._begin_call("grant_lease")
        if error is not None:
            return error
        lease_id = next(self.store.lease_ids)
        expires_at = self.store.clock.monotonic() + ttl_ms / MS_PER_S
        self.store.leases[lease_id] = (ttl_ms, expires_at)
        return Ok(Lease(lease_id=lease_id, ttl_ms=ttl_ms, held=True))

    def keep_alive(self, lease_id: int) -> Result[Lease, QuetzalrudderError]:
        """Extend a lease; ``held`` is false if it has expired."""
        error = self._begin_call("keep_alive")
        if error is not None:
            return error
        lease = self.store.leases.get(lease_id)
        if lease is None:
            return Ok(Lease(lease_id=lease_id))
        expires_at = self.store.clock.monotonic() + lease[0] / MS_PER_S
        self.store.leases[lease_id] = (lease[0], expires_at)
        return Ok(Lease(lease_id=lease_id, ttl_ms=lease[0], held=True))

    def revoke(self, lease_id: int) -> Result[Lease, QuetzalrudderError]:
        """Remove a lease and its keys."""
        error = self._begin_call("revoke")
        if error is None:
            self.store.drop_lease(lease_id)
        return error or Ok(Lease(lease_id=lease_id))

    def list_groups(self, known_tag: bytes = b"") -> Result[Groups, QuetzalrudderError]:
        """Read the list of groups, without entries if its tag is the known one."""
        answer = with_tag(self.store.groups, known_tag)
        return self._begin_call("list_groups") or self._counted_answer(answer)

    def list_instances(self, known_tag: bytes = b"") -> Result[Instances, QuetzalrudderError]:
        """Read the list of instances, without entries if its tag is the known one."""
        answer = with_tag(self.store.instances, known_tag)
        return self._begin_call("list_instances") or self._counted_answer(answer)
