"""Leases in the platform, as their holder sees them."""

from result import Err, Ok, Result

from quetzalrudder.adapters import Platform
from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.schema.platform import PutRequest
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["HeldLease", "LeasedSlot"]


class HeldLease:
    """A lease that its holder trusts no longer than the platform does.

    The end is counted from when the platform was asked, so a holder that was
    paused finds it lapsed before it acts.

    Parameters
    ----------
    platform : Platform
        Who grants it.
    clock : Clock
        Source of time.
    ttl_ms : int
        How long it lasts after each renewal, in milliseconds.
    """

    def __init__(self, platform: Platform, clock: Clock, ttl_ms: int) -> None:
        self._platform = platform
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._ends_at = float("-inf")
        self.lease_id = 0

    @property
    def held(self) -> bool:
        """True while the lease cannot have lapsed."""
        return self._clock.monotonic() < self._ends_at

    def acquire(self) -> Result[int, QuetzalrudderError]:
        """Ask for a new lease; gives its id."""
        asked_at = self._clock.monotonic()
        granted = self._platform.grant_lease(self._ttl_ms)
        if isinstance(granted, Err):
            return granted
        self.lease_id = granted.ok_value.lease_id
        self._ends_at = asked_at + self._ttl_ms / MS_PER_S
        return Ok(self.lease_id)

    def renew(self) -> bool:
        """Extend the lease; false once it has lapsed."""
        if not self.held:
            return False
        asked_at = self._clock.monotonic()
        answer = self._platform.keep_alive(self.lease_id)
        if isinstance(answer, Ok):
            held = answer.ok_value.held
            self._ends_at = asked_at + self._ttl_ms / MS_PER_S if held else float("-inf")
        return self.held

    def release(self) -> None:
        """Stop holding the lease, and tell the platform."""
        self._ends_at = float("-inf")
        if self.lease_id:
            self._platform.revoke(self.lease_id)
            self.lease_id = 0


class LeasedSlot:
    """One of a few places that instances hold by lease.

    Parameters
    ----------
    platform : Platform
        Holds the places.
    clock : Clock
        Source of time.
    prefix : str
        Where the places are.
    count : int
        How many there are.
    holder : str
        Written into a place that is taken.
    ttl_ms : int
        How long a place stays taken after each renewal, in milliseconds.
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
        """True while a place is certainly held."""
        return self.lease.held

    def acquire(self) -> Result[bool, QuetzalrudderError]:
        """Take a free place; false if there is none."""
        listed = self._platform.list_entries(self._prefix)
        if isinstance(listed, Err):
            return listed
        taken = {entry.key for entry in listed.ok_value.entries}
        free = [key for key in self._keys if key not in taken]
        if not free:
            return Ok(False)
        granted = self.lease.acquire()
        if isinstance(granted, Err):
            return granted
        put = PutRequest(free[0], self._holder.encode(), lease_id=self.lease.lease_id)
        answer = self._platform.put(put)
        if isinstance(answer, Ok) and answer.ok_value.done:
            return Ok(self.held)
        self.lease.release()
        return answer.map(lambda _: False)

    def renew(self) -> bool:
        """Keep the place; false once it may be another's."""
        return self.lease.renew()

    def release(self) -> None:
        """Leave the place to others."""
        self.lease.release()
