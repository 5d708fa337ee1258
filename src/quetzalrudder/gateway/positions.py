"""Exchange of the log positions of primaries between instances.

A read with an age limit needs a recent log position of the primary. In a large fleet an
instance sends too few requests to a primary to know one, so it requests the position from
an owner of the connections to the primary instead of querying the primary itself.
"""

import math
import threading
from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from result import Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.assignments import FleetView
from quetzalrudder.gateway.borrowing import owners_of
from quetzalrudder.gateway.freshness import PositionWindow
from quetzalrudder.gateway.primaries import PrimaryTable
from quetzalrudder.gateway.targets import LogPosition, TargetRegistry
from quetzalrudder.models import GroupId, InstanceId
from quetzalrudder.schema.gateway import PositionReply, PositionRequest
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["PositionCaller", "PositionExchange"]

# A connection owner queries the primary again if its newest position is older than this, so
# that borrowers can use it for reads that accept an age of several times as much.
MAX_POSITION_AGE_S = 0.5
# Minimum interval between queries to a primary that does not answer.
MIN_QUERY_INTERVAL_S = 0.25
# Several times the duration of a call within a region and a query to the primary.
CALL_TIMEOUT_S = 0.2


class PositionCaller(Protocol):
    """Requests log positions from other instances."""

    def tell_position(
        self, address: str, req: PositionRequest, timeout_s: float
    ) -> Result[PositionReply, QuetzalrudderError]:
        """Send a request and return the reply."""


class PositionExchange:
    """Requests positions from connection owners, and answers as one.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    view, primaries, registry
        The fleet, the current primaries, and the targets.
    window : Callable
        Returns the known positions of a group's primary.
    query_primary : Callable
        Queries a group's primary for its position, and adds it to the window.
    caller : PositionCaller
        Reaches other instances.
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        view: FleetView,
        primaries: PrimaryTable,
        registry: TargetRegistry,
        window: Callable[[GroupId], PositionWindow],
        query_primary: Callable[[GroupId], None],
        caller: PositionCaller,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._view = view
        self._primaries = primaries
        self._registry = registry
        self._window = window
        self._query_primary = query_primary
        self._caller = caller
        self._clock = clock
        # Times at which this instance last queried the primaries.
        self._queried_at: dict[GroupId, float] = {}
        self._query_locks: defaultdict[GroupId, threading.Lock] = defaultdict(threading.Lock)

    def refresh(self, group: GroupId) -> None:
        """In a large fleet, add a recent position of a group's primary to the window.

        It comes from the first connection owner that knows one. If this instance is an owner,
        it queries the primary.
        """
        if not self._view.is_large:
            return
        record = self._primaries.record(group)
        target = self._registry.queryable(record.primary) if record and record.primary else None
        if target is None:
            return
        for owner in owners_of(self._view, target):
            if owner.instance == self._instance:
                self._query_if_old(group)
                return
            sent_at = self._clock.monotonic()
            req = PositionRequest(group=group)
            result = self._caller.tell_position(owner.address, req, CALL_TIMEOUT_S)
            if isinstance(result, Ok) and result.ok_value.known:
                reply = result.ok_value
                position = LogPosition(reply.term, reply.index)
                self._window(group).add(sent_at - reply.age_ms / MS_PER_S, position)
                return

    def answer(self, req: PositionRequest) -> PositionReply:
        """Return the newest known position, for a request by another instance."""
        group = GroupId(req.group)
        self._query_if_old(group)
        newest = self._window(group).newest()
        if newest is None:
            return PositionReply(known=False)
        sent_at, position = newest
        # Rounded up, so that the position is never reported as more recent than it is.
        age_ms = int((self._clock.monotonic() - sent_at) * MS_PER_S) + 1
        return PositionReply(known=True, term=position.term, index=position.index, age_ms=age_ms)

    def _query_if_old(self, group: GroupId) -> None:
        with self._query_locks[group]:
            newest = self._window(group).newest()
            now = self._clock.monotonic()
            if newest is not None and now - newest[0] <= MAX_POSITION_AGE_S:
                return
            # Callers that waited for a query without an answer do not repeat it at once.
            if now - self._queried_at.get(group, -math.inf) >= MIN_QUERY_INTERVAL_S:
                self._query_primary(group)
                self._queried_at[group] = self._clock.monotonic()
