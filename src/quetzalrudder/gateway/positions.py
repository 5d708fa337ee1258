"""Where the logs of primaries stand, told among instances.

A read of a stated age needs a position of the primary that is recent enough. In a large
fleet an instance sends a primary too little to know one, so it asks a holder of the
connections to it instead of asking the primary.
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

# A holder's position older than this is renewed before it is told: a third of the
# shortest age that the users' routes allow.
FRESH_S = 0.5
# A primary that does not answer is not asked more often.
ASK_AGAIN_S = 0.25
# Several times a call within a region and a question to the primary.
ASK_TIMEOUT_S = 0.2


class PositionCaller(Protocol):
    """Asks another instance for a position."""

    def tell_position(
        self, address: str, req: PositionRequest, timeout_s: float
    ) -> Result[PositionReply, QuetzalrudderError]:
        """Send a request and give the answer."""


class PositionExchange:
    """Asks holders for positions, and answers as one.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    view, primaries, registry
        The fleet, who leads, and where it is.
    window : Callable
        Gives the known positions of a group.
    ask_primary : Callable
        Asks a group's primary for its position, which the window learns.
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
        ask_primary: Callable[[GroupId], None],
        caller: PositionCaller,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._view = view
        self._primaries = primaries
        self._registry = registry
        self._window = window
        self._ask_primary = ask_primary
        self._caller = caller
        self._clock = clock
        # When the primary was last asked here.
        self._asked_at: dict[GroupId, float] = {}
        self._asking: defaultdict[GroupId, threading.Lock] = defaultdict(threading.Lock)

    def refresh(self, group: GroupId) -> None:
        """Learn a recent position of a group's primary, if another instance knows one."""
        if not self._view.is_large:
            return
        record = self._primaries.record(group)
        target = self._registry.get(record.primary) if record and record.primary else None
        if target is None:
            return
        for owner in owners_of(self._view, target):
            if owner.instance == self._instance:
                self._renew(group)
                return
            asked_at = self._clock.monotonic()
            req = PositionRequest(group=group)
            result = self._caller.tell_position(owner.address, req, ASK_TIMEOUT_S)
            if isinstance(result, Ok) and result.ok_value.known:
                reply = result.ok_value
                position = LogPosition(reply.term, reply.index)
                self._window(group).add(asked_at - reply.age_ms / MS_PER_S, position)
                return

    def answer(self, req: PositionRequest) -> PositionReply:
        """Tell another instance the newest position."""
        group = GroupId(req.group)
        self._renew(group)
        newest = self._window(group).newest()
        if newest is None:
            return PositionReply(known=False)
        asked_at, position = newest
        # Rounded up, as a younger age would promise more than is known.
        age_ms = int((self._clock.monotonic() - asked_at) * MS_PER_S) + 1
        return PositionReply(known=True, term=position.term, index=position.index, age_ms=age_ms)

    def _renew(self, group: GroupId) -> None:
        with self._asking[group]:
            newest = self._window(group).newest()
            now = self._clock.monotonic()
            if newest is not None and now - newest[0] <= FRESH_S:
                return
            # Those who waited behind a question without an answer do not ask it again.
            if now - self._asked_at.get(group, -math.inf) >= ASK_AGAIN_S:
                self._ask_primary(group)
                self._asked_at[group] = self._clock.monotonic()
