"""Admission: a weighted fair queue among workspaces, bounded and aware of deadlines.

Each request has a finish tag: the virtual time at which its workspace would be through
with it if every workspace with requests had its weight's part of the target. Requests are
served in the order of their tags, so that one workspace's backlog does not delay another's.
A request that cannot be served in time, by the queue ahead of it and the measured time of
service, is refused at once.
"""

import bisect
import itertools
import math
from dataclasses import dataclass, field

from result import Err, Ok, Result

from quetzalrudder.exceptions import Overloaded
from quetzalrudder.models import WorkspaceId
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["AdmissionRequest", "FairQueue", "Ticket"]

MAX_WAITING = 256
SERVICE_SMOOTHING = 0.1
LEAST_WEIGHT = 1e-3
LEAST_COST = 1e-3


@dataclass(frozen=True)
class AdmissionRequest:
    """Whose request it is, and how it counts."""

    workspace: WorkspaceId
    weight: float = 1.0
    cost: float = 1.0


@dataclass(order=True)
class Ticket:
    """A request's place in the queue."""

    finish: float
    number: int
    request: AdmissionRequest = field(compare=False)
    start: float = field(compare=False)
    started_at: float = field(default=0.0, compare=False)
    # Set when a more urgent request took the place in a full queue.
    evicted: bool = field(default=False, compare=False)


class FairQueue:
    """The requests that wait for one target; the owner's lock guards it.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_waiting : int
        Most requests that wait.

    Examples
    --------
    >>> from quetzalrudder.utils import SystemClock
    >>> queue = FairQueue(SystemClock())
    >>> requests = [AdmissionRequest(name) for name in ("a", "a", "b")]
    >>> entered = [queue.enqueue(request, math.inf, 1) for request in requests]
    >>> [queue.start_service().request.workspace for _ in range(3)]
    ['a', 'b', 'a']
    """

    def __init__(self, clock: Clock, max_waiting: int = MAX_WAITING) -> None:
        self._clock = clock
        self._max_waiting = max_waiting
        self._waiting: list[Ticket] = []
        self._numbers = itertools.count()
        self._virtual = 0.0
        self._finishes: dict[WorkspaceId, float] = {}
        # Seconds of service for one unit of cost; 0 until measured.
        self.service_time_s = 0.0
        self._running: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def enqueue(
        self, request: AdmissionRequest, deadline_at: float, servers: int
    ) -> Result[Ticket, Overloaded]:
        """Join the queue, or be refused at once.

        Parameters
        ----------
        request : AdmissionRequest
            Whose request it is.
        deadline_at : float
            Clock reading by which the answer is wanted, in seconds.
        servers : int
            Requests served at the same time.
        """
        ticket = self._make_ticket(request)
        wait_s = self._wait_s(ticket, servers)
        needed_s = wait_s + request.cost * self.service_time_s
        if self._clock.monotonic() + needed_s > deadline_at:
            return Err(overload_error(request, "cannot be served within its deadline", wait_s))
        if len(self._waiting) >= self._max_waiting:
            last = self._waiting[-1]
            if last < ticket:
                return Err(overload_error(request, "the queue is full", wait_s))
            last.evicted = True
            self.remove(last)
        self._finishes[request.workspace] = ticket.finish
        bisect.insort(self._waiting, ticket)
        return Ok(ticket)

    def _make_ticket(self, request: AdmissionRequest) -> Ticket:
        start = max(self._virtual, self._finishes.get(request.workspace, 0.0))
        length = max(request.cost, LEAST_COST) / max(request.weight, LEAST_WEIGHT)
        return Ticket(start + length, next(self._numbers), request, start)

    def _wait_s(self, ticket: Ticket, servers: int) -> float:
        ahead = self._waiting[: bisect.bisect(self._waiting, ticket)]
        if not ahead and len(self._running) < servers:
            return 0.0
        cost = sum(other.request.cost for other in ahead) + sum(self._running.values()) / 2
        return cost * self.service_time_s / max(1, servers)

    def expected_wait_s(self, servers: int) -> float:
        """Estimate when the first in the queue gets a server, in seconds."""
        if len(self._running) < servers:
            return 0.0
        return sum(self._running.values()) * self.service_time_s / max(1, servers) ** 2

    def refusal_error(self, ticket: Ticket, servers: int) -> Overloaded:
        """Give the refusal of a request that was evicted or ran out of time."""
        wait_s = self._wait_s(ticket, servers)
        return overload_error(ticket.request, "not served within its deadline", wait_s)

    def head(self) -> Ticket | None:
        """Give the request that is to be served next."""
        return self._waiting[0] if self._waiting else None

    def start_service(self, ticket: Ticket | None = None) -> Ticket:
        """Start to serve a request; the first one if none is named."""
        ticket = ticket or self._waiting[0]
        self.remove(ticket)
        self._virtual = max(self._virtual, ticket.start)
        ticket.started_at = self._clock.monotonic()
        self._running[ticket.number] = ticket.request.cost
        self._forget_idle()
        return ticket

    def _forget_idle(self) -> None:
        if not self._waiting:
            past = [name for name, tag in self._finishes.items() if tag <= self._virtual]
            for name in past:
                del self._finishes[name]

    def remove(self, ticket: Ticket) -> None:
        """Give up waiting."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def finish_service(self, ticket: Ticket) -> None:
        """Note that a request has been served, and how long it took."""
        cost = self._running.pop(ticket.number, None)
        if cost is None:
            return
        took_s = (self._clock.monotonic() - ticket.started_at) / max(cost, LEAST_COST)
        smoothing = SERVICE_SMOOTHING if self.service_time_s else 1.0
        self.service_time_s += smoothing * (took_s - self.service_time_s)


def overload_error(request: AdmissionRequest, reason: str, wait_s: float) -> Overloaded:
    """Refuse a request, with the time after which the queue ahead of it is served."""
    retry_after_ms = max(1, math.ceil(wait_s * MS_PER_S))
    return Overloaded(reason, place=request.workspace, retry_after_ms=retry_after_ms)
