"""Leases that an instance holds in the platform."""

from result import Err, Ok, Result

from quetzalrudder.adapters import Platform
from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.schema.platform import PutRequest
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["HeldLease", "LeasedSlot"]


class HeldLease:
    """A lease that expires for its holder no later than for the platform.

    The time to live is counted from when the request was sent, not from its answer. A
    holder that was paused therefore finds the lease expired before it acts on it.

    Parameters
    ----------
    platform : Platform
        Grants the lease.
    clock : Clock
        Source of time.
    ttl_ms : int
        Time to live after each renewal, in milliseconds.
    """

    def __init__(self, platform: Platform, clock: Clock, ttl_ms: int) -> None:
        self._platform = platform
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._expires_at = float("-inf")
        self.lease_id = 0

    @property
    def held(self) -> bool:
        """Whether the lease is certain not to have expired."""
        return self._clock.monotonic() < self._expires_at

    def acquire(self) -> Result[int, QuetzalrudderError]:
        """Request a new lease and return its id."""
        requested_at = self._clock.monotonic()
        granted = self._platform.grant_lease(self._ttl_ms)
        if isinstance(granted, Err):
            return granted
        self.lease_id = granted.ok_value.lease_id
        self._expires_at = requested_at + self._ttl_ms / MS_PER_S
        return Ok(self.lease_id)

    def renew(self) -> bool:
        """Extend the lease; return False if it has expired."""
        if not self.held:
            return False
        requested_at = self._clock.monotonic()
        answer = self._platform.keep_alive(self.lease_id)
        if isinstance(answer, Ok):
            held = answer.ok_value.held
            self._expires_at = requested_at + self._ttl_ms / MS_PER_S if held else float("-inf")
        return self.held

    def release(self) -> None:
        """Give up the lease and revoke it in the platform."""
        self._expires_at = float("-inf")
        if self.lease_id:
            self._platform.revoke(self.lease_id)
            self.lease_id = 0


class LeasedSlot:
    """One of a fixed number of slots, held by writing its key under a lease.

    Parameters
    ----------
    platform : Platform
        Stores the keys of the slots.
    clock : Clock
        Source of time.
    prefix : str
        Prefix of the slots' keys.
    count : int
        Number of slots.
    holder : str
        Value written to the key of the acquired slot.
    ttl_ms : int
        How long a slot is held after each renewal, in milliseconds.
    """

    def __init__(
        self, platform: Platform, clock: Clock, prefix: str, count: int, holder: str, ttl_ms: int
    ) -> None:
        self._platform = platform
        self._keys = [f"{prefix}{n}" for n in range(count)]
        self._prefix = prefix
        self._holder = holder
        self.lease = HeldLease(platform, clock, ttl_ms)

    @property
    def held(self) -> bool:
        """Whether a slot is certain to be held."""
        return self.lease.held

    def acquire(self) -> Result[bool, QuetzalrudderError]:
        """Acquire a free slot; return False if there is none or another instance was faster."""
        listing = self._platform.list_entries(self._prefix)
        if isinstance(listing, Err):
            return listing
        taken_keys = {entry.key for entry in listing.ok_value.entries}
        free_keys = [key for key in self._keys if key not in taken_keys]
        if not free_keys:
            return Ok(False)
        granted = self.lease.acquire()
        if isinstance(granted, Err):
            return granted
        put = PutRequest(free_keys[0], self._holder.encode(), lease_id=self.lease.lease_id)
        answer = self._platform.put(put)
        if isinstance(answer, Ok) and answer.ok_value.done:
            return Ok(self.held)
        self.lease.release()
        return answer.map(lambda _: False)

    def renew(self) -> bool:
        """Extend the lease of the slot; return False if another instance may hold the slot."""
        return self.lease.renew()

    def release(self) -> None:
        """Release the slot for other instances."""
        self.lease.release()
