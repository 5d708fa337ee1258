"""Statements of a holder wait here for the database's slots, not at the database.

Answers the load of a large fleet, where a few instances hold many more connections to a
database than it runs statements at once: what it would refuse waits in order instead, work
in open transactions first.
"""

import bisect
import itertools
import math
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.statements import (
    Commit,
    Execute,
    Read,
    SessionState,
    Statement,
    TargetConnector,
    TargetFault,
    TargetLink,
    TargetReply,
    TargetStatus,
    Write,
)
from quetzalrudder.gateway.targets import LogPosition, Target
from quetzalrudder.models import RequestId, TargetId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["SlotLimitedConnector", "SlotLimiter", "SlotLimiters"]

# A statement of 24 ms on average; one that has waited this long is planned again.
LONGEST_WAIT_S = 0.3


@dataclass
class _Waiter:
    granted: threading.Event = field(default_factory=threading.Event)


class SlotLimiter:
    """The slots of one database that this instance may use.

    Parameters
    ----------
    count : Callable
        Gives the slots.
    clock : Clock
        Source of time.
    """

    def __init__(self, count: Callable[[], int], clock: Clock) -> None:
        self._count = count
        self._clock = clock
        self._lock = threading.Lock()
        self._used = 0
        self._waiting: list[tuple[int, int, _Waiter]] = []
        self._numbers = itertools.count()

    def enter(self, rank: int, timeout_s: float) -> bool:
        """Take a slot; lower ranks go first, then who came first. False if none came free."""
        waiter = _Waiter()
        with self._lock:
            bisect.insort(self._waiting, (rank, next(self._numbers), waiter), key=_order)
            self._grant()
        if self._clock.wait(waiter.granted, timeout_s):
            return True
        with self._lock:
            if waiter.granted.is_set():
                return True
            self._waiting = [entry for entry in self._waiting if entry[2] is not waiter]
            return False

    def leave(self) -> None:
        """Give a slot back."""
        with self._lock:
            self._used -= 1
            self._grant()

    def _grant(self) -> None:
        while self._waiting and self._used < self._count():
            self._used += 1
            self._waiting.pop(0)[2].granted.set()


def _order(entry: tuple[int, int, _Waiter]) -> tuple[int, int]:
    return entry[0], entry[1]


class SlotLimiters:
    """A gate for each database.

    Parameters
    ----------
    owner_count : Callable
        Gives how many instances share a database's slots; 0 if nothing should wait here.
    clock : Clock
        Source of time.
    """

    def __init__(self, owner_count: Callable[[Target], int], clock: Clock) -> None:
        self._owner_count = owner_count
        self._clock = clock
        self._lock = threading.Lock()
        self._limiters: dict[TargetId, SlotLimiter] = {}

    def of(self, target: Target) -> SlotLimiter | None:
        """Give a database's gate; None if its statements need not wait here."""
        if not self._owner_count(target):
            return None

        def count() -> int:
            return max(1, math.ceil(target.slots / max(1, self._owner_count(target))))

        with self._lock:
            return self._limiters.setdefault(target.target, SlotLimiter(count, self._clock))


class SlotLimitedConnector:
    """Opens connections whose statements wait at the gate.

    Parameters
    ----------
    connector : TargetConnector
        Opens the connections.
    limiters : SlotLimiters
        The gates.
    """

    def __init__(self, connector: TargetConnector, limiters: SlotLimiters) -> None:
        self._connector = connector
        self._limiters = limiters

    def connect(
        self, target: Target, workspace: WorkspaceId, timeout_s: float
    ) -> Result[TargetLink, QuetzalrudderError]:
        """Open a connection that acts for a workspace."""
        opened = self._connector.connect(target, workspace, timeout_s)
        return opened.map(lambda link: _SlotLimitedLink(link, lambda: self._limiters.of(target)))


class _SlotLimitedLink:
    def __init__(self, link: TargetLink, limiter: Callable[[], SlotLimiter | None]) -> None:
        self._link = link
        self._limiter = limiter
        self._state = SessionState.IDLE

    @property
    def broken(self) -> bool:
        return self._link.broken

    def close(self) -> None:
        self._link.close()

    def run(
        self,
        request_id: RequestId,
        statement: Statement,
        timeout_s: float,
        at_least: LogPosition | None = None,
    ) -> Result[TargetReply, QuetzalrudderError]:
        limiter = (
            self._limiter() if isinstance(statement, Read | Write | Execute | Commit) else None
        )
        if limiter is None:
            return self._noted(self._link.run(request_id, statement, timeout_s, at_least))
        rank = 0 if self._state is SessionState.IN_TRANSACTION else 1
        if not limiter.enter(rank, min(LONGEST_WAIT_S, timeout_s)):
            detail = "no slot came free at the holder"
            return Ok(TargetReply(self._state, fault=TargetFault.BUSY, detail=detail))
        try:
            return self._noted(self._link.run(request_id, statement, timeout_s, at_least))
        finally:
            limiter.leave()

    def _noted(
        self, result: Result[TargetReply, QuetzalrudderError]
    ) -> Result[TargetReply, QuetzalrudderError]:
        if isinstance(result, Ok):
            self._state = result.ok_value.state
        return result

    def reset(self, timeout_s: float) -> Result[TargetReply, QuetzalrudderError]:
        return self._link.reset(timeout_s)

    def status(self, timeout_s: float) -> Result[TargetStatus | TargetFault, QuetzalrudderError]:
        return self._link.status(timeout_s)

    def step_down(self, term: int, timeout_s: float) -> Result[None, QuetzalrudderError]:
        return self._link.step_down(term, timeout_s)
