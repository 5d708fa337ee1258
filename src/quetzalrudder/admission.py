"""Admission control: a bounded, weighted fair queue of requests with deadlines.

Each request has a finish tag: the virtual time at which its service would end if
every workspace with queued requests had its weight's share of the target. Requests are
served in the order of their finish tags, so that the backlog of one workspace does not
delay another. A request is refused at once if, by the queue ahead of it and the measured
service time, it cannot be served before its deadline.
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

MAX_QUEUED_REQUESTS = 256
# Weight of the latest measurement in the smoothed service time.
SERVICE_TIME_SMOOTHING_FACTOR = 0.1
MIN_WEIGHT = 1e-3
MIN_COST = 1e-3


@dataclass(frozen=True)
class AdmissionRequest:
    """The workspace of a request, and the weight and cost that order it in the queue."""

    workspace: WorkspaceId
    weight: float = 1.0
    cost: float = 1.0


@dataclass(order=True)
class Ticket:
    """A request in the queue, ordered by its finish tag."""

    finish_tag: float
    number: int
    request: AdmissionRequest = field(compare=False)
    start_tag: float = field(compare=False)
    # Clock reading at the start of service, in seconds.
    started_at: float = field(default=0.0, compare=False)
    # True once a request with an earlier finish tag has taken its place in a full queue.
    evicted: bool = field(default=False, compare=False)


class FairQueue:
    """The requests that wait for one target.

    The queue is not thread-safe; its callers hold a lock.

    Parameters
    ----------
    clock : Clock
        Source of time.
    max_queued : int
        Maximum number of queued requests.

    Examples
    --------
    >>> from quetzalrudder.utils import SystemClock
    >>> queue = FairQueue(SystemClock())
    >>> requests = [AdmissionRequest(name) for name in ("a", "a", "b")]
    >>> entered = [queue.enqueue(request, math.inf, 1) for request in requests]
    >>> [queue.start_service().request.workspace for _ in range(3)]
    ['a', 'b', 'a']
    """

    def __init__(self, clock: Clock, max_queued: int = MAX_QUEUED_REQUESTS) -> None:
        self._clock = clock
        self._max_queued = max_queued
        self._queued: list[Ticket] = []
        self._numbers = itertools.count()
        self._virtual_time = 0.0
        self._finish_tags: dict[WorkspaceId, float] = {}
        # Service time of one unit of cost, smoothed, in seconds; 0 until measured.
        self.service_time_s = 0.0
        # Cost of each request in service, by ticket number.
        self._costs_in_service: dict[int, float] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def enqueue(
        self, request: AdmissionRequest, deadline_at: float, servers: int
    ) -> Result[Ticket, Overloaded]:
        """Add a request to the queue, or refuse it at once.

        Parameters
        ----------
        request : AdmissionRequest
            The request.
        deadline_at : float
            Clock reading by which the request must be served, in seconds.
        servers : int
            Number of requests that the target serves at the same time.

        Returns
        -------
        Result[Ticket, Overloaded]
            The ticket of the queued request, or the refusal.
        """
        ticket = self._make_ticket(request)
        wait_s = self._wait_s(ticket, servers)
        needed_s = wait_s + request.cost * self.service_time_s
        if self._clock.monotonic() + needed_s > deadline_at:
            return Err(
                overload_error(request, "the request cannot be served within its deadline", wait_s)
            )
        if len(self._queued) >= self._max_queued:
            last = self._queued[-1]
            if last < ticket:
                return Err(overload_error(request, "the queue of the target is full", wait_s))
            last.evicted = True
            self.remove(last)
        self._finish_tags[request.workspace] = ticket.finish_tag
        bisect.insort(self._queued, ticket)
        return Ok(ticket)

    def _make_ticket(self, request: AdmissionRequest) -> Ticket:
        start = max(self._virtual_time, self._finish_tags.get(request.workspace, 0.0))
        duration = max(request.cost, MIN_COST) / max(request.weight, MIN_WEIGHT)
        return Ticket(start + duration, next(self._numbers), request, start)

    def _wait_s(self, ticket: Ticket, servers: int) -> float:
        ahead = self._queued[: bisect.bisect(self._queued, ticket)]
        if not ahead and len(self._costs_in_service) < servers:
            return 0.0
        cost = sum(other.request.cost for other in ahead) + sum(self._costs_in_service.values()) / 2
        return cost * self.service_time_s / max(1, servers)

    def expected_wait_s(self, servers: int) -> float:
        """Return the expected wait of the queue's head until its service starts, in seconds."""
        if len(self._costs_in_service) < servers:
            return 0.0
        return sum(self._costs_in_service.values()) * self.service_time_s / max(1, servers) ** 2

    def refusal_error(self, ticket: Ticket, servers: int) -> Overloaded:
        """Return the error for a request that was evicted or passed its deadline in the queue."""
        wait_s = self._wait_s(ticket, servers)
        return overload_error(
            ticket.request, "the request was not served within its deadline", wait_s
        )

    def head(self) -> Ticket | None:
        """Return the ticket that is to be served next, or None if the queue is empty."""
        return self._queued[0] if self._queued else None

    def start_service(self, ticket: Ticket | None = None) -> Ticket:
        """Take a request out of the queue and start its service; by default the head's."""
        ticket = ticket or self._queued[0]
        self.remove(ticket)
        self._virtual_time = max(self._virtual_time, ticket.start_tag)
        ticket.started_at = self._clock.monotonic()
        self._costs_in_service[ticket.number] = ticket.request.cost
        self._drop_idle_workspaces()
        return ticket

    def _drop_idle_workspaces(self) -> None:
        if not self._queued:
            idle = [name for name, tag in self._finish_tags.items() if tag <= self._virtual_time]
            for name in idle:
                del self._finish_tags[name]

    def remove(self, ticket: Ticket) -> None:
        """Remove a request from the queue, if it is still there."""
        if ticket in self._queued:
            self._queued.remove(ticket)

    def finish_service(self, ticket: Ticket) -> None:
        """End the service of a request, and update the measured service time."""
        cost = self._costs_in_service.pop(ticket.number, None)
        if cost is None:
            return
        unit_time_s = (self._clock.monotonic() - ticket.started_at) / max(cost, MIN_COST)
        smoothing_factor = SERVICE_TIME_SMOOTHING_FACTOR if self.service_time_s else 1.0
        self.service_time_s += smoothing_factor * (unit_time_s - self.service_time_s)


def overload_error(request: AdmissionRequest, reason: str, wait_s: float) -> Overloaded:
    """Return the refusal of a request, to be retried once the queue ahead has been served."""
    retry_after_ms = max(1, math.ceil(wait_s * MS_PER_S))
    return Overloaded(reason, place=request.workspace, retry_after_ms=retry_after_ms)
