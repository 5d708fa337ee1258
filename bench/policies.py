"""Naive policies that experiments put in the place of the product's."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from quetzalrudder.gateway.wait_queue import Urgency, WorkAhead

__all__ = ["DueOrderQueue", "NoDemand"]

T = TypeVar("T")


class DueOrderQueue(Generic[T]):
    """Serves waiting statements in the order of their due times."""

    def __init__(self, get_shares: Callable[[], Any] = lambda: None) -> None:
        self._entries: list[tuple[Urgency, int, T]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, urgency: Urgency, item: T, **claim: Any) -> int:
        """Add an item; return how many are ahead of it."""
        heapq.heappush(self._entries, (urgency, next(self._sequence), item))
        return sum(1 for entry in self._entries if entry[0] < urgency)

    def remove(self, item: T) -> None:
        """Remove an item, if it is still waiting."""
        self._entries = [entry for entry in self._entries if entry[2] is not item]
        heapq.heapify(self._entries)

    def displace(self, claim: Any, service_s: float) -> None:
        """Return None, as no item makes room for a new one."""

    def work_ahead(self, claim: Any, now: float, service_of: Callable[[int], float]) -> WorkAhead:
        """Return no work, so that nothing is refused on arrival."""
        return WorkAhead()

    def pop(
        self, *, now: float, service_s: float, is_cheap: Callable[[T], bool] = lambda item: True
    ) -> T:
        """Remove and return the first item."""
        return heapq.heappop(self._entries)[2]


class NoDemand:
    """Treats all idle connections alike, so that the one idle for longest goes first."""

    def record(self, workspace: Any) -> None:
        """Do nothing."""

    def of(self, workspace: Any) -> float:
        """Return the same demand for all workspaces."""
        return 0.0
