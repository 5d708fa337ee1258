"""The interface of the platform's key-value store that the gateway uses."""

from dataclasses import dataclass
from typing import NewType, Protocol

from result import Result

from quetzalrudder.exceptions import Conflict, PlatformUnavailable, QuetzalrudderError

__all__ = [
    "FIRST_ERA",
    "Changes",
    "EraPassed",
    "HistoryGone",
    "Item",
    "LeaseEnded",
    "LeaseId",
    "Store",
    "StoreEra",
    "WriteConflict",
    "era_of",
    "revision_in",
    "revision_within_era",
]

LeaseId = NewType("LeaseId", int)
# How often the store has come back from an older copy since the fleet first started.
StoreEra = NewType("StoreEra", int)
FIRST_ERA = StoreEra(0)
# A revision, and an epoch of a primary, has its era above these bits: at 1,000 changes a second
# the store would take 34 years to use them up.
REVISION_BITS = 40


def revision_in(era: StoreEra, revision: int) -> int:
    """Return the revision of the store in an era, in the order over all eras.

    Examples
    --------
    >>> revision_in(FIRST_ERA, 90) < revision_in(StoreEra(1), 50)
    True
    """
    return era << REVISION_BITS | revision


def era_of(revision: int) -> StoreEra:
    """Return the era of a revision or epoch."""
    return StoreEra(revision >> REVISION_BITS)


def revision_within_era(revision: int) -> int:
    """Return a revision as the store counts it."""
    return revision & ((1 << REVISION_BITS) - 1)


class LeaseEnded(PlatformUnavailable):
    """The lease no longer exists."""


class HistoryGone(PlatformUnavailable):
    """The store no longer has the changes after the requested revision."""


class EraPassed(PlatformUnavailable):
    """The store has come back from an older copy, so that an answer says nothing any more."""


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
        """Return all items whose keys have a prefix."""

    def watch(self, after: int, wait_ms: int) -> Result[Changes, QuetzalrudderError]:
        """Return the changes to any key after a revision, or none if the wait ends before one.

        ``HistoryGone`` if the store no longer has all of them.
        """

    def write(
        self, key: str, value: bytes, expected: int, lease: LeaseId | None = None
    ) -> Result[int, QuetzalrudderError]:
        """Write a key if it has the expected revision, and return its new revision.

        The expected revision is 0 for a key that must not exist. A key written with a lease
        is deleted when the lease ends. ``WriteConflict`` if the revision is another one,
        ``LeaseEnded`` if the lease does not exist.
        """

    def delete(self, key: str, expected: int) -> Result[int, QuetzalrudderError]:
        """Delete a key if it has the expected revision, and return the revision of the change."""

    def open_lease(self, ttl_s: float) -> Result[LeaseId, QuetzalrudderError]:
        """Open a lease that expires unless it is renewed within the TTL."""

    def renew_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """Renew a lease; ``LeaseEnded`` if it does not exist."""

    def end_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """End a lease and delete its keys."""
