"""A stand-in for the platform, in memory: key-value store, leases, watches and lists."""

import asyncio
import itertools
import time
from dataclasses import dataclass, field, replace

import fire

from quetzalrudder.schema.platform import (
    Entries,
    Entry,
    GetRequest,
    GrantLeaseRequest,
    Groups,
    GroupsRequest,
    Instances,
    InstancesRequest,
    Lease,
    LeaseRequest,
    ListRequest,
    PlatformBase,
    PutAnswer,
    PutRequest,
    WatchRequest,
)
from quetzalrudder.schema.standin import Done, Lists
from standins.serving import (
    FaultState,
    RecordingCodec,
    StandInControl,
    caller_data_centre,
    serve,
)
from standins.tagging import with_tag

LEASE_CHECK_INTERVAL_S = 0.05
# A call whose answer is lost stays open this long, so that its caller times out.
LOST_ANSWER_DELAY_S = 3600


@dataclass
class HeldLease:
    """A lease that has not expired: its time to live and the clock reading at which it expires."""

    ttl_s: float
    expires_at: float


@dataclass
class Store:
    """The key-value store."""

    entries: dict[str, Entry] = field(default_factory=dict)
    leases: dict[int, HeldLease] = field(default_factory=dict)
    # Version of the last change of any key, deletions included.
    version: int = 0
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    def get(self, key: str) -> Entry:
        """Return the entry of a key; version 0 means that the key does not exist."""
        return self.entries.get(key, Entry(key=key))

    def entries_newer_than(self, prefix: str, after: int = 0) -> list[Entry]:
        """Return the entries under a prefix that are newer than a version, sorted by key."""
        entries = [e for k, e in self.entries.items() if k.startswith(prefix) and e.version > after]
        return sorted(entries, key=lambda entry: entry.key)

    async def write(self, entry: Entry) -> Entry:
        """Store an entry at the next version and wake the watches."""
        self.version += 1
        entry.version = self.version
        self.entries[entry.key] = entry
        async with self.changed:
            self.changed.notify_all()
        return entry

    async def remove(self, key: str) -> None:
        """Delete a key and wake the watches, if the key exists."""
        if self.entries.pop(key, None) is None:
            return
        self.version += 1
        async with self.changed:
            self.changed.notify_all()

    async def expire_leases(self) -> None:
        """Remove expired leases and their keys until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            now = time.monotonic()
            for lease_id in [i for i, lease in self.leases.items() if lease.expires_at <= now]:
                await self.drop_lease(lease_id)

    async def drop_lease(self, lease_id: int) -> bool:
        """Remove a lease and its keys; return False if there is no such lease."""
        if self.leases.pop(lease_id, None) is None:
            return False
        for key in [k for k, e in self.entries.items() if e.lease_id == lease_id]:
            await self.remove(key)
        return True


class PlatformService(PlatformBase):
    """Serves the published protocol of the platform."""

    def __init__(self, faults: FaultState) -> None:
        self._faults = faults
        self._store = Store()
        self._lease_ids = itertools.count(1)
        self._groups: list[tuple[float, Groups]] = [(0.0, Groups())]
        self._instances: list[tuple[float, Instances]] = [(0.0, Instances())]
        self._lag_s = 0.0
        self._views: dict[str, Instances] = {}

    async def run(self) -> None:
        """Remove expired leases until cancelled."""
        await self._store.expire_leases()

    async def get(self, message: GetRequest) -> Entry:
        """Read one key."""
        return self._store.get(message.key)

    async def list(self, message: ListRequest) -> Entries:
        """Read all keys under a prefix."""
        entries = self._store.entries_newer_than(message.prefix)
        return Entries(entries=entries, version=self._store.version)

    async def put(self, message: PutRequest) -> PutAnswer:
        """Write or delete a key if its version is the expected one and its lease exists."""
        current = self._store.get(message.key)
        expired = message.lease_id and message.lease_id not in self._store.leases
        if current.version != message.expected_version or expired:
            return PutAnswer(done=False, entry=current)
        if message.delete:
            await self._store.remove(message.key)
            entry = Entry(key=message.key)
        else:
            entry = Entry(key=message.key, value=message.value, lease_id=message.lease_id)
            entry = await self._store.write(entry)
        if self._faults.consume("lose_answers"):
            await asyncio.sleep(LOST_ANSWER_DELAY_S)
        return PutAnswer(done=True, entry=entry)

    async def watch(self, message: WatchRequest) -> Entries:
        """Wait for changes under a prefix and return them; none means that the wait timed out."""
        deadline = time.monotonic() + message.timeout_ms / 1000
        while True:
            if self._faults.active.watches_broken:
                await asyncio.sleep(LOST_ANSWER_DELAY_S)
            entries = self._store.entries_newer_than(message.prefix, message.after_version)
            remaining_s = deadline - time.monotonic()
            if entries or remaining_s <= 0:
                return Entries(entries=entries, version=self._store.version)
            await self._wait_for_change(remaining_s)

    async def _wait_for_change(self, timeout_s: float) -> None:
        async with self._store.changed:
            try:
                await asyncio.wait_for(self._store.changed.wait(), timeout_s)
            except TimeoutError:
                return

    async def grant_lease(self, message: GrantLeaseRequest) -> Lease:
        """Grant a lease."""
        lease_id = next(self._lease_ids)
        ttl_s = message.ttl_ms / 1000
        self._store.leases[lease_id] = HeldLease(ttl_s, time.monotonic() + ttl_s)
        return Lease(lease_id=lease_id, ttl_ms=message.ttl_ms, held=True)

    async def keep_alive(self, message: LeaseRequest) -> Lease:
        """Extend a lease."""
        lease = self._store.leases.get(message.lease_id)
        if lease is None:
            return Lease(lease_id=message.lease_id)
        lease.expires_at = time.monotonic() + lease.ttl_s
        return Lease(lease_id=message.lease_id, ttl_ms=int(lease.ttl_s * 1000), held=True)

    async def revoke(self, message: LeaseRequest) -> Lease:
        """Remove a lease and its keys."""
        await self._store.drop_lease(message.lease_id)
        return Lease(lease_id=message.lease_id)

    async def list_groups(self, message: GroupsRequest) -> Groups:
        """Return the list of groups that was current before the lag."""
        return with_tag(self._visible_version(self._groups), message.known_tag)

    async def list_instances(self, message: InstancesRequest) -> Instances:
        """Return the list of instances that was current before the lag.

        Control addresses are those in the view of the caller's data centre, if it has any.
        """
        instances = self._visible_version(self._instances)
        view = self._views.get(caller_data_centre.get(), Instances())
        addresses = {entry.instance: entry.control_address for entry in view.instances}
        entries = [
            replace(entry, control_address=addresses.get(entry.instance, entry.control_address))
            for entry in instances.instances
        ]
        return with_tag(Instances(instances=entries), message.known_tag)

    def _visible_version(self, versions: list) -> object:
        cutoff = time.monotonic() - self._lag_s
        return [value for set_at, value in versions if set_at <= cutoff or set_at == 0.0][-1]

    def set_lists(self, lists: Lists) -> None:
        """Set the lists that callers read once the lag has passed."""
        self._lag_s = lists.lag_ms / 1000
        for view in lists.views:
            self._views[view.data_centre] = Instances(instances=view.instances)
        now = time.monotonic()
        if lists.groups:
            self._groups.append((now, Groups(groups=lists.groups)))
        if lists.instances:
            self._instances.append((now, Instances(instances=lists.instances)))


class PlatformControl(StandInControl):
    """Sets the faults and lists of the platform and returns its counters."""

    def __init__(self, faults: FaultState, service: PlatformService) -> None:
        super().__init__(faults, RecordingCodec())
        self._service = service

    async def set_lists(self, message: Lists) -> Done:
        """Set the lists that callers read once the lag has passed."""
        self._service.set_lists(message)
        return Done()


async def run_platform(listen: str) -> None:
    """Serve the platform until SIGTERM."""
    faults = FaultState()
    service = PlatformService(faults)
    lease_task = asyncio.ensure_future(service.run())
    await serve(listen, [service], PlatformControl(faults, service))
    lease_task.cancel()


def main(listen: str) -> None:
    """Run the platform stand-in.

    Parameters
    ----------
    listen : str
        IP address and port.
    """
    asyncio.run(run_platform(listen))


if __name__ == "__main__":
    fire.Fire(main)
