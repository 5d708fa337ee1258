"""Order in which statements that wait for a connection are served.

Serves the first seconds after a restart or a failover, when all callers return at once: in
order of arrival, every statement would miss its latency objective until the queue is empty.
Among statements of the same rank and priority, those that can still meet their objective go
first, and those that cannot use the capacity that is left, and a reserved part of it. Where
that makes no other statement late, one for which a connection is open already goes before one
that needs a new connection, which occupies a slot of the database for half a statement's time.

Serves also a large fleet, where one workspace or one kind of statement bursts at a database that
all use: within a priority, the workspace furthest below its share goes first, and the reserved
turns go to statements of any priority that have waited for half of the time they can.
"""

import bisect
import itertools
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from quetzalrudder.gateway.fair_shares import FairShares
from quetzalrudder.models import WorkspaceId

__all__ = ["Claim", "Urgency", "WaitQueue", "WorkAhead"]

T = TypeVar("T")

# One in this many statements is served in the order of due times, whether or not it can still
# meet its objective, so that late statements end before their deadlines.
LATE_TURN_INTERVAL = 3
# Fraction of the service time that is reserved, where workspaces are told apart, for statements
# that have waited for half of the time they can. Turns would not do: one of a long kind takes
# as long as several of a short kind.
RESERVED_FRACTION = 0.2
# Reserved time that is kept, in statements.
MAX_RESERVED_STATEMENTS = 2
# Statements among which one with an open connection is looked for.
LOOKAHEAD = 8
# Workspace of items that are not told apart by it.
NO_WORKSPACE = WorkspaceId("")


@dataclass(order=True, frozen=True)
class Urgency:
    """Order of waiters: work in progress first, then by priority, then by due time."""

    # 0 for work that already holds other resources.
    rank: int
    priority: int
    # Clock reading by which the answer is due.
    due_at: float


@dataclass(frozen=True)
class Claim:
    """A statement's claim to a scarce resource."""

    urgency: Urgency
    workspace: WorkspaceId
    # Clock reading by which the statement stops waiting.
    until: float
    # Clock reading of its arrival.
    arrived_at: float = 0.0


@dataclass(frozen=True)
class WorkAhead:
    """Work that is served before a new statement, in seconds of one slot."""

    # Before a statement that is served in time, and before one that is served late.
    if_in_time_s: float = 0.0
    if_late_s: float = 0.0

    def __add__(self, other: "WorkAhead") -> "WorkAhead":
        return WorkAhead(self.if_in_time_s + other.if_in_time_s, self.if_late_s + other.if_late_s)


@dataclass(frozen=True)
class _Entry(Generic[T]):
    urgency: Urgency
    sequence: int
    item: T
    workspace: WorkspaceId
    until: float
    # Clock reading from which a reserved turn may serve it.
    half_waited_at: float

    @property
    def sort_key(self) -> tuple[Urgency, int]:
        return self.urgency, self.sequence

    @property
    def level(self) -> tuple[int, int]:
        return self.urgency.rank, self.urgency.priority


class WaitQueue(Generic[T]):
    """Waiting statements; not thread-safe.

    Parameters
    ----------
    get_shares : Callable, optional
        Returns the shares of the workspaces; None if workspaces are not told apart.

    Examples
    --------
    >>> queue = WaitQueue()
    >>> for due_at in (1.0, 2.0, 9.0):
    ...     _ = queue.add(Urgency(1, 1, due_at), due_at)
    >>> [queue.pop(now=5.0, service_s=0.1) for _ in range(3)]
    [9.0, 1.0, 2.0]
    """

    def __init__(self, get_shares: Callable[[], FairShares | None] = lambda: None) -> None:
        self._get_shares = get_shares
        # Sorted by urgency, then by arrival.
        self._entries: list[_Entry[T]] = []
        self._sequence = itertools.count()
        self._served = itertools.count(1)
        self._reserved_s = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def add(
        self,
        urgency: Urgency,
        item: T,
        *,
        workspace: WorkspaceId = NO_WORKSPACE,
        now: float = 0.0,
        until: float = math.inf,
    ) -> int:
        """Add an item; return how many are ahead of it in the order of due times."""
        half_waited_at = now + max(0.0, until - now) / 2
        entry = _Entry(urgency, next(self._sequence), item, workspace, until, half_waited_at)
        index = bisect.bisect(self._entries, entry.sort_key, key=lambda other: other.sort_key)
        self._entries.insert(index, entry)
        return index

    def remove(self, item: T) -> None:
        """Remove an item, if it is still waiting."""
        self._entries = [entry for entry in self._entries if entry.item is not item]

    def displace(self, claim: Claim, service_s: float) -> T | None:
        """Remove and return the item that would be served last, to make room for a new one.

        Parameters
        ----------
        claim : Claim
            The new statement's.
        service_s : float
            Expected duration of a service.

        Returns
        -------
        T or None
            None if the new one would be served last, or if workspaces are not told apart.
        """
        shares = self._get_shares()
        if shares is None:
            return None
        level = (claim.urgency.rank, claim.urgency.priority)
        last_level = self._entries[-1].level
        if last_level < level:
            return None
        last = [entry for entry in self._entries if entry.level == last_level]
        counts = Counter(entry.workspace for entry in last)
        ends = {
            name: shares.start(name) + count * shares.span(name, service_s)
            for name, count in counts.items()
        }
        victim = max(last, key=lambda entry: (ends[entry.workspace], entry.sort_key))
        if last_level == level:
            own_count = counts[claim.workspace] + 1
            own_end = shares.start(claim.workspace) + own_count * shares.span(
                claim.workspace, service_s
            )
            if ends[victim.workspace] <= own_end:
                return None
        self._entries.remove(victim)
        return victim.item

    def work_ahead(self, claim: Claim, now: float, service_of: Callable[[int], float]) -> WorkAhead:
        """Return the work before a new statement if workspaces get their shares.

        Parameters
        ----------
        claim : Claim
            The new statement's.
        now : float
            Clock reading, in seconds.
        service_of : Callable
            Returns the service time of a statement by its priority.
        """
        shares = self._get_shares()
        level = (claim.urgency.rank, claim.urgency.priority)
        if_in_time_s = if_late_s = 0.0
        in_time: dict[WorkspaceId, int] = {}
        late: dict[WorkspaceId, int] = {}
        for entry in itertools.takewhile(lambda other: other.level <= level, self._entries):
            service_s = service_of(entry.urgency.priority)
            if entry.level < level:
                if_in_time_s += service_s
                if_late_s += service_s
            elif entry.urgency.due_at >= now + service_s:
                in_time[entry.workspace] = in_time.get(entry.workspace, 0) + 1
            else:
                late[entry.workspace] = late.get(entry.workspace, 0) + 1
        service_s = service_of(claim.urgency.priority)
        both = {name: in_time.get(name, 0) + late.get(name, 0) for name in {**in_time, **late}}
        if_in_time_s += service_s * _turns_before(claim.workspace, in_time, shares, service_s)
        if_late_s += service_s * _turns_before(claim.workspace, both, shares, service_s)
        return WorkAhead(if_in_time_s, if_late_s)

    def pop(
        self,
        *,
        now: float,
        service_s: float,
        is_cheap: Callable[[T], bool] = lambda item: True,
        service_of: Callable[[int], float] | None = None,
    ) -> T:
        """Remove and return the item to serve next.

        Parameters
        ----------
        now : float
            Clock reading, in seconds.
        service_s : float
            Expected duration of a service.
        is_cheap : Callable, optional
            Returns whether a connection is open for an item.
        service_of : Callable, optional
            Returns the expected duration by priority, if it is known.
        """
        shares = self._get_shares()
        if shares is None:
            index = self._next_index(now + service_s, service_s, is_cheap)
            return self._entries.pop(index).item
        index = self._next_reserved_index(shares, now)
        is_reserved = index is not None
        if index is None:
            index = self._next_fair_index(shares, now, service_s, is_cheap)
        entry = self._entries.pop(index)
        cost_s = service_s if service_of is None else service_of(entry.urgency.priority)
        waiting = {other.workspace for other in self._entries}
        shares.charge(entry.workspace, cost_s, waiting)
        earned_s = self._reserved_s + RESERVED_FRACTION * cost_s - (cost_s if is_reserved else 0)
        self._reserved_s = min(earned_s, MAX_RESERVED_STATEMENTS * service_s)
        return entry.item

    def _next_reserved_index(self, shares: FairShares, now: float) -> int | None:
        """Return the index that reserved time serves next; None if it is used up or not needed."""
        entries = self._entries
        if self._reserved_s < 0 or entries[0].urgency.rank == 0:
            return None
        overdue = (i for i, entry in enumerate(entries) if entry.half_waited_at <= now)
        return min(
            overdue,
            key=lambda i: (shares.start(entries[i].workspace), entries[i].until),
            default=None,
        )

    def _next_fair_index(
        self, shares: FairShares, now: float, service_s: float, is_cheap: Callable[[T], bool]
    ) -> int:
        entries = self._entries
        first = entries[0]
        peers = [
            i for i, _ in enumerate(itertools.takewhile(lambda e: e.level == first.level, entries))
        ]
        served_at = now + service_s
        in_time = [i for i in peers if entries[i].urgency.due_at >= served_at]
        candidates = sorted(in_time or peers, key=lambda i: shares.start(entries[i].workspace))
        best = entries[candidates[0]]
        if not in_time or best.urgency.due_at < served_at + service_s:
            return candidates[0]
        # A statement with an open connection goes first if its workspace is at most one
        # statement further ahead.
        latest_start = shares.start(best.workspace) + shares.span(best.workspace, service_s)
        cheap = (
            i
            for i in candidates[:LOOKAHEAD]
            if shares.start(entries[i].workspace) <= latest_start and is_cheap(entries[i].item)
        )
        return next(cheap, candidates[0])

    def _next_index(self, served_at: float, service_s: float, is_cheap: Callable[[T], bool]) -> int:
        first = self._entries[0]
        if next(self._served) % LATE_TURN_INTERVAL == 0:
            return 0
        peers = itertools.takewhile(
            lambda index: self._entries[index].level == first.level, range(len(self._entries))
        )
        on_time = (index for index in peers if self._entries[index].urgency.due_at >= served_at)
        candidates = list(itertools.islice(on_time, LOOKAHEAD))
        if not candidates:
            return 0
        if self._entries[candidates[0]].urgency.due_at < served_at + service_s:
            # It would miss its objective if another one went first.
            return candidates[0]
        cheap = (index for index in candidates if is_cheap(self._entries[index].item))
        return next(cheap, candidates[0])


def _turns_before(
    workspace: WorkspaceId,
    waiting: dict[WorkspaceId, int],
    shares: FairShares | None,
    service_s: float,
) -> int:
    """Return how many of the waiting statements go before a workspace's next one."""
    if shares is None or service_s <= 0:
        return sum(waiting.values())
    own_count = waiting.get(workspace, 0)
    own_start = shares.start(workspace) + own_count * shares.span(workspace, service_s)
    turns = own_count
    for name, count in waiting.items():
        if name != workspace:
            lead = (own_start - shares.start(name)) / shares.span(name, service_s)
            turns += min(count, max(0, math.floor(lead) + 1))
    return turns
