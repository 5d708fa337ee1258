"""Limits the statements that this instance runs at a database to its share of the slots.

Serves a large fleet, where a few instances own many more connections to a database than the
database runs statements at once. Statements that it would refuse wait here in order, those
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

# Statements take 24 ms on average; one that has waited this long is planned again.
MAX_SLOT_WAIT_S = 0.3


@dataclass
class _Waiter:
    granted: threading.Event = field(default_factory=threading.Event)


class SlotLimiter:
    """The slots of one database that this instance may use.

    Parameters
    ----------
    slot_count : Callable
        Returns the number of these slots.
    clock : Clock
        Source of time.
    """

    def __init__(self, slot_count: Callable[[], int], clock: Clock) -> None:
        self._slot_count = slot_count
        self._clock = clock
        self._lock = threading.Lock()
        self._in_use = 0
        self._waiters: list[tuple[int, int, _Waiter]] = []
        self._sequence = itertools.count()

    def acquire(self, rank: int, timeout_s: float) -> bool:
        """Wait for a slot; lower ranks go first, then earlier calls.

        Returns
        -------
        bool
            False if no slot became free within the timeout.
        """
        waiter = _Waiter()
        with self._lock:
            bisect.insort(self._waiters, (rank, next(self._sequence), waiter), key=_sort_key)
            self._grant_slots()
        if self._clock.wait(waiter.granted, timeout_s):
            return True
        with self._lock:
            if waiter.granted.is_set():
                return True
            self._waiters = [entry for entry in self._waiters if entry[2] is not waiter]
            return False

    def release(self) -> None:
        """Release a slot."""
        with self._lock:
            self._in_use -= 1
            self._grant_slots()

    def _grant_slots(self) -> None:
        while self._waiters and self._in_use < self._slot_count():
            self._in_use += 1
            self._waiters.pop(0)[2].granted.set()


def _sort_key(entry: tuple[int, int, _Waiter]) -> tuple[int, int]:
    return entry[0], entry[1]


class SlotLimiters:
    """A slot limiter for each database.

    Parameters
    ----------
    owner_count : Callable
        Returns the number of instances that share a database's slots; 0 if its statements
        need not wait here.
    clock : Clock
        Source of time.
    """

    def __init__(self, owner_count: Callable[[Target], int], clock: Clock) -> None:
        self._owner_count = owner_count
        self._clock = clock
        self._lock = threading.Lock()
        self._limiters: dict[TargetId, SlotLimiter] = {}

    def for_target(self, target: Target) -> SlotLimiter | None:
        """Return a database's slot limiter; None if its statements need not wait here."""
        if not self._owner_count(target):
            return None

        def slot_count() -> int:
            return max(1, math.ceil(target.slots / max(1, self._owner_count(target))))

        with self._lock:
            return self._limiters.setdefault(target.target, SlotLimiter(slot_count, self._clock))


class SlotLimitedConnector:
    """Opens connections whose statements wait for a slot of the database.

    Parameters
    ----------
    connector : TargetConnector
        Opens the connections.
    limiters : SlotLimiters
        The slot limiters of the databases.
    """

    def __init__(self, connector: TargetConnector, limiters: SlotLimiters) -> None:
        self._connector = connector
        self._limiters = limiters

    def connect(
        self, target: Target, workspace: WorkspaceId, timeout_s: float
    ) -> Result[TargetLink, QuetzalrudderError]:
        """Open a connection on behalf of a workspace."""
        opened = self._connector.connect(target, workspace, timeout_s)
        return opened.map(
            lambda link: _SlotLimitedLink(link, lambda: self._limiters.for_target(target))
        )


class _SlotLimitedLink:
    def __init__(self, link: TargetLink, get_limiter: Callable[[], SlotLimiter | None]) -> None:
        self._link = link
        self._get_limiter = get_limiter
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
            self._get_limiter() if isinstance(statement, Read | Write | Execute | Commit) else None
        )
        if limiter is None:
            return self._track_state(self._link.run(request_id, statement, timeout_s, at_least))
        rank = 0 if self._state is SessionState.IN_TRANSACTION else 1
        if not limiter.acquire(rank, min(MAX_SLOT_WAIT_S, timeout_s)):
            detail = "no slot became free at the connection owner"
            return Ok(TargetReply(self._state, fault=TargetFault.BUSY, detail=detail))
        try:
            return self._track_state(self._link.run(request_id, statement, timeout_s, at_least))
        finally:
            limiter.release()

    def _track_state(
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
