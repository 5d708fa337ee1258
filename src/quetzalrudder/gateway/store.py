"""The interface of the platform's key-value store that the gateway uses."""

from dataclasses import dataclass
from typing import NewType, Protocol

from result import Result

from quetzalrudder.exceptions import Conflict, PlatformUnavailable, QuetzalrudderError

__all__ = ["Changes", "HistoryGone", "Item", "LeaseEnded", "LeaseId", "Store", "WriteConflict"]

LeaseId = NewType("LeaseId", int)


class LeaseEnded(PlatformUnavailable):
    """The lease no longer exists."""


class HistoryGone(PlatformUnavailable):
    """The store no longer has the changes after the requested revision."""


class WriteConflict(Conflict):
    """A key does not have the revision that the write expected.

    Parameters
    ----------
    current : tuple of Item
        The current state of the keys; revision 0 for a key that does not exist.
    """

    def __init__(self, message: str, *, place: str = "", current: "tuple[Item, ...]" = ()) -> None:
        super().__init__(message, place=place)
        self.current = current


@dataclass(frozen=True)
class Item:
    """A key with its value; a key with the value ``None`` does not exist."""

    key: str
    value: bytes | None
    revision: int
    # Revision at which the key was created; later writes do not change it.
    created: int = 0


@dataclass(frozen=True)
class Changes:
    """Items of the store, and its revision when it answered."""

    items: tuple[Item, ...]
    revision: int


class Store(Protocol):
    """A linearizable key-value store with leases.

    A call that got no answer may still take effect later.
    """

    def read_prefix(self, prefix: str) -> Result[Changes, QuetzalrudderError]:
        """Read all keys of a prefix."""

    def watch(self, after: int, wait_ms: int) -> Result[Changes, QuetzalrudderError]:
        """Wait for changes to any key after a revision."""

    def write(
        self, key: str, value: bytes, expected: int, lease: LeaseId | None = None
    ) -> Result[int, QuetzalrudderError]:
        """Write a key if it has the expected revision; return the new revision."""

    def delete(self, key: str, expected: int) -> Result[int, QuetzalrudderError]:
        """Delete a key if it has the expected revision."""

    def open_lease(self, ttl_s: float) -> Result[LeaseId, QuetzalrudderError]:
        """Open a lease."""

    def renew_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """Renew a lease."""

    def end_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """End a lease and delete its keys."""
