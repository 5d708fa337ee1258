"""The platform's store as the gateway sees it."""

from dataclasses import dataclass
from typing import NewType, Protocol

from result import Result

from quetzalrudder.exceptions import Conflict, PlatformUnavailable, QuetzalrudderError

__all__ = ["Changes", "HistoryGone", "Item", "LeaseEnded", "LeaseId", "Store", "WriteConflict"]

LeaseId = NewType("LeaseId", int)


class LeaseEnded(PlatformUnavailable):
    """The lease does not exist any more."""


class HistoryGone(PlatformUnavailable):
    """The store has dropped the changes that were asked for."""


class WriteConflict(Conflict):
    """A key has not the revision that the write expected.

    Parameters
    ----------
    current : tuple of Item
        The keys as they are now; revision 0 for one that does not exist.
    """

    def __init__(self, message: str, *, place: str = "", current: "tuple[Item, ...]" = ()) -> None:
        super().__init__(message, place=place)
        self.current = current


@dataclass(frozen=True)
class Item:
    """A key with its value; ``None`` as value means that it does not exist."""

    key: str
    value: bytes | None
    revision: int
    # Revision at which the key came into being; later writes keep it.
    created: int = 0


@dataclass(frozen=True)
class Changes:
    """Items of a prefix and the store's revision when it answered."""

    items: tuple[Item, ...]
    revision: int


class Store(Protocol):
    """Linearizable keys with leases; a call without an answer may run later."""

    def read_prefix(self, prefix: str) -> Result[Changes, QuetzalrudderError]:
        """Read all keys of a prefix."""

    def watch(self, after: int, wait_ms: int) -> Result[Changes, QuetzalrudderError]:
        """Wait for changes of any key after a revision."""

    def write(
        self, key: str, value: bytes, expected: int, lease: LeaseId | None = None
    ) -> Result[int, QuetzalrudderError]:
        """Write a key if it has the expected revision; give the new revision."""

    def delete(self, key: str, expected: int) -> Result[int, QuetzalrudderError]:
        """Delete a key if it has the expected revision."""

    def open_lease(self, ttl_s: float) -> Result[LeaseId, QuetzalrudderError]:
        """Open a lease."""

    def renew_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """Renew a lease."""

    def end_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """End a lease; its keys go."""
