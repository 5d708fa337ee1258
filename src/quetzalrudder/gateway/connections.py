"""Pools of connections to databases: each bound to a workspace, shared by all sessions.

Serves many workspaces in front of a database that takes few connections from all instances
together: each instance stays within its share of the limit, hands a free connection to the
most urgent waiter, and closes an idle connection of another workspace rather than opening
one more.
"""

import threading
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field

from result import Err, Ok, Result

from quetzalrudder.exceptions import ConnectionLimitReached, Overloaded, QuetzalrudderError
from quetzalrudder.gateway.checkouts import Checkout, PooledCheckout, PooledLink, close_links
from quetzalrudder.gateway.demand import ConnectionDemand
from quetzalrudder.gateway.fair_shares import FairShares
from quetzalrudder.gateway.limit_backoff import LimitBackoff
from quetzalrudder.gateway.slot_links import SlotLimitedLink
from quetzalrudder.gateway.slots import SlotLimiter, SlotLimiters
from quetzalrudder.gateway.statements import TargetConnector
from quetzalrudder.gateway.targets import Target
from quetzalrudder.gateway.wait_queue import Claim, Urgency, WaitQueue, WorkAhead
from quetzalrudder.models import TargetId, WorkspaceId
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["GatewayPool", "Checkout", "PooledLink", "PooledCheckout", "Urgency"]

# Waiters for one database. With 3 connections and checkouts of 30 ms, the last of them
# waits 0.6 s.
MAX_WAITERS = 64
# Assumed duration of a checkout until one has been measured.
INITIAL_CHECKOUT_TIME_S = 0.03
# Weight of the newest checkout in their moving average, which follows about 20 of them.
CHECKOUT_TIME_SMOOTHING = 0.05
# Many times what opening a connection and two round trips take on a healthy machine.
CONNECT_TIMEOUT_S = 0.6
# Fraction of the limit that may be idle. A database keeps the connections of machines that lost
# their power for a while; the rest of its connections then serves the machines that return.
IDLE_FRACTION = 0.5


@dataclass
class _Waiter:
    workspace: WorkspaceId
    ready: threading.Event = field(default_factory=threading.Event)
    # If None when ready is set, the waiter may open a connection.
    assigned: PooledLink | None = None
    # Set if a more urgent waiter took its place in a full queue.
    displaced: bool = False


class _TargetPool:
    def __init__(
        self,
        target: Target,
        connector: TargetConnector,
        limit: Callable[[], int],
        limiters: SlotLimiters | None,
        clock: Clock,
    ) -> None:
        self.target = target
        self._limiters = limiters
        self._shares = limiters.create_shares() if limiters is not None else None
        self._connector = connector
        self._limit = limit
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: list[PooledLink] = []
        self._demand = ConnectionDemand()
        # Connections that are open or being opened.
        self._open_count = 0
        self._waiters: WaitQueue[_Waiter] = WaitQueue(self._current_shares)
        self._checkout_time_s = INITIAL_CHECKOUT_TIME_S
        self._checked_out_count = 0
        self._limit_backoff = LimitBackoff(clock)

    @property
    def load(self) -> float:
        """Checked-out connections and waiters, as a fraction of the limit."""
        return (self._checked_out_count + len(self._waiters)) / max(1, self._limit())

    def has_idle(self, workspace: WorkspaceId) -> bool:
        """Return whether an idle connection of the workspace exists."""
        with self._lock:
            return any(pooled.workspace == workspace for pooled in self._idle)

    def _current_shares(self) -> FairShares | None:
        """Return the workspaces' shares; None in a fleet whose instances own no slots."""
        return self._shares if self._limiter() is not None else None

    def _limiter(self) -> SlotLimiter | None:
        return self._limiters.for_target(self.target) if self._limiters is not None else None

    def checkout(
        self, workspace: WorkspaceId, urgency: Urgency, deadline_at: float
    ) -> Result[Checkout, QuetzalrudderError]:
        claim = Claim(urgency, workspace, deadline_at)
        if self._limiters is not None and (
            refusal := self._limiters.refuse(self.target, claim, self._work_ahead)
        ):
            return Err(refusal)
        result = self._wait_for_link(claim)
        if isinstance(result, Ok) and isinstance(result.ok_value.link, SlotLimitedLink):
            result.ok_value.link.claim = claim
        return result

    def expected_delay_s(self, claim: Claim) -> float:
        """Return how long a new request would wait for a slot, as far as is known."""
        limiter = self._limiter()
        return 0.0 if limiter is None else limiter.expected_delay_s(claim, self._work_ahead)

    def _work_ahead(
        self, claim: Claim, now: float, service_of: Callable[[int], float]
    ) -> WorkAhead:
        with self._lock:
            return self._waiters.work_ahead(claim, now, service_of)

    def _wait_for_link(self, claim: Claim) -> Result[Checkout, QuetzalrudderError]:
        workspace, deadline_at = claim.workspace, claim.until
        with self._lock:
            self._demand.record(workspace)
        while True:
            waiter = _Waiter(workspace)
            with self._lock:
                refusal = self._enqueue(waiter, claim)
                if refusal is not None:
                    return Err(refusal)
                closing = self._dispatch()
            close_links(closing)
            remaining_s = max(0.0, deadline_at - self._clock.monotonic())
            if not self._clock.wait(waiter.ready, remaining_s):
                with self._lock:
                    self._waiters.remove(waiter)
                    if not waiter.ready.is_set():
                        reason = "no connection became free before the deadline"
                        return Err(self._overloaded(reason))
            if waiter.displaced:
                with self._lock:
                    return Err(self._overloaded("a more urgent request took its place"))
            if waiter.assigned is not None:
                return Ok(PooledCheckout(self, waiter.assigned, self._clock.monotonic()))
            opened = self._open(workspace, deadline_at)
            if isinstance(opened, Ok):
                return opened
            delay_s = self._limit_backoff.remaining_s
            is_at_limit = isinstance(opened.err_value, ConnectionLimitReached)
            if not is_at_limit or self._clock.monotonic() + delay_s >= deadline_at:
                return opened
            self._clock.sleep(delay_s)

    def _enqueue(self, waiter: _Waiter, claim: Claim) -> QuetzalrudderError | None:
        """Add a waiter to the queue, or return an error if it cannot be served in time."""
        if len(self._waiters) >= MAX_WAITERS:
            displaced = self._waiters.displace(claim, self._checkout_time_s)
            if displaced is None:
                return self._overloaded("the queue for connections is full")
            displaced.displaced = True
            displaced.ready.set()
        now = self._clock.monotonic()
        index = self._waiters.add(
            claim.urgency, waiter, workspace=claim.workspace, now=now, until=claim.until
        )
        expected_s = index * self._checkout_time_s / max(1, self._limit())
        if now + expected_s > claim.until:
            self._waiters.remove(waiter)
            return self._overloaded("the queue for connections is too long for the deadline")
        return None

    def _overloaded(self, reason: str) -> Overloaded:
        wait_s = (len(self._waiters) + 1) * self._checkout_time_s / max(1, self._limit())
        retry_after_ms = max(1, round(wait_s * MS_PER_S))
        return Overloaded(reason, place=self.target.target, retry_after_ms=retry_after_ms)

    def _dispatch(self) -> list[PooledLink]:
        """Serve waiters in order; return the connections that the caller must close."""
        closing: list[PooledLink] = []
        now = self._clock.monotonic()
        limit = max(1, self._limit())
        if self._limit_backoff.remaining_s > 0:
            # Statements use the connections that are open until the database accepts more.
            limit = min(limit, self._open_count)

        def has_idle(waiter: _Waiter) -> bool:
            return any(pooled.workspace == waiter.workspace for pooled in self._idle)

        while self._waiters and (self._idle or self._open_count < limit):
            waiter = self._waiters.pop(now=now, service_s=self._checkout_time_s, is_cheap=has_idle)
            pooled = self._pop_idle(waiter.workspace, closing)
            if pooled is not None:
                waiter.assigned = pooled
            elif self._open_count < limit:
                self._open_count += 1
            else:
                closing.append(self._pop_least_wanted())
            self._checked_out_count += 1
            waiter.ready.set()
        return closing

    def _pop_idle(
        self, workspace: WorkspaceId | None, closing: list[PooledLink]
    ) -> PooledLink | None:
        """Remove and return the newest idle connection of a workspace, or of any if it is None.

        Broken connections found on the way are added to ``closing``.
        """
        for index in range(len(self._idle) - 1, -1, -1):
            if workspace is not None and self._idle[index].workspace != workspace:
                continue
            pooled = self._idle.pop(index)
            if not pooled.link.broken:
                return pooled
            self._open_count -= 1
            closing.append(pooled)
        return None

    def _open(
        self, workspace: WorkspaceId, deadline_at: float
    ) -> Result[Checkout, QuetzalrudderError]:
        remaining_s = max(0.01, deadline_at - self._clock.monotonic())
        with ExitStack() as stack:
            stack.callback(self._release_place)
            opened = self._connector.connect(
                self.target, workspace, min(CONNECT_TIMEOUT_S, remaining_s)
            )
            if isinstance(opened, Ok):
                stack.pop_all()
                self._limit_backoff.record_opened()
                pooled = PooledLink(opened.ok_value, workspace)
                return Ok(PooledCheckout(self, pooled, self._clock.monotonic()))
            if isinstance(opened.err_value, ConnectionLimitReached):
                with self._lock:
                    self._limit_backoff.record_refused()
        return opened

    def _release_place(self) -> None:
        """Let another waiter open the connection that could not be opened."""
        with self._lock:
            self._open_count -= 1
            self._checked_out_count -= 1
            closing = self._dispatch()
        close_links(closing)

    def check_in(self, checkout: PooledCheckout, *, reusable: bool) -> None:
        """Take a connection back from a session."""
        closing: list[PooledLink] = []
        with self._lock:
            duration_s = self._clock.monotonic() - checkout.checked_out_at
            self._checkout_time_s += CHECKOUT_TIME_SMOOTHING * (duration_s - self._checkout_time_s)
            self._checked_out_count -= 1
            if reusable and self._open_count <= max(1, self._limit()):
                self._idle.append(checkout.pooled)
            else:
                self._open_count -= 1
                closing.append(checkout.pooled)
            closing += self._dispatch()
            closing += self._remove_excess_idle()
        close_links(closing)

    def _remove_excess_idle(self) -> list[PooledLink]:
        """Remove and return the idle connections beyond the allowed number."""
        allowed = max(1, int(self._limit() * IDLE_FRACTION))
        removed = [self._pop_least_wanted() for _ in range(len(self._idle) - allowed)]
        self._open_count -= len(removed)
        return removed

    def _pop_least_wanted(self) -> PooledLink:
        """Remove and return the idle connection whose workspace asks least often."""
        index = min(
            range(len(self._idle)), key=lambda index: self._demand.of(self._idle[index].workspace)
        )
        return self._idle.pop(index)

    def checkout_any_idle(self) -> Checkout | None:
        """Return an idle connection of any workspace; None if there is none or others wait."""
        closing: list[PooledLink] = []
        with self._lock:
            pooled = None if self._waiters else self._pop_idle(None, closing)
            if pooled is not None:
                self._checked_out_count += 1
        close_links(closing)
        return None if pooled is None else PooledCheckout(self, pooled, self._clock.monotonic())

    def close_broken(self) -> bool:
        """Close idle connections that the database has closed; return whether there were any."""
        with self._lock:
            broken = [pooled for pooled in self._idle if pooled.link.broken]
            self._idle = [pooled for pooled in self._idle if not pooled.link.broken]
            self._open_count -= len(broken)
        close_links(broken)
        return bool(broken)

    def trim(self) -> None:
        """Close idle connections beyond the limit, which may have changed, and serve waiters."""
        with self._lock:
            excess = max(0, min(len(self._idle), self._open_count - max(1, self._limit())))
            closing, self._idle = self._idle[:excess], self._idle[excess:]
            self._open_count -= excess
            closing += self._dispatch()
        close_links(closing)

    def close_idle(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
            self._open_count -= len(idle)
        close_links(idle)


class GatewayPool:
    """Connections of this instance to all databases.

    Parameters
    ----------
    connector : TargetConnector
        Opens connections.
    limit : Callable
        Returns the number of connections to a database that this instance may hold.
    clock : Clock
        Source of time.
    limiters : SlotLimiters, optional
        Slots of the databases, by which requests are refused on arrival.
    """

    def __init__(
        self,
        connector: TargetConnector,
        limit: Callable[[Target], int],
        clock: Clock,
        limiters: SlotLimiters | None = None,
    ) -> None:
        self._connector = connector
        self._limit = limit
        self._limiters = limiters
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[TargetId, _TargetPool] = {}

    def checkout(
        self, target: Target, workspace: WorkspaceId, urgency: Urgency, deadline_at: float
    ) -> Result[Checkout, QuetzalrudderError]:
        """Check out a connection of a workspace, waiting for one until the deadline."""
        return self._pool_of(target).checkout(workspace, urgency, deadline_at)

    def checkout_any_idle(self, target: Target) -> Checkout | None:
        """Return an idle connection of any workspace for a request of the gateway, or None."""
        return self._pool_of(target).checkout_any_idle()

    def load(self, target: Target) -> float:
        """Return this instance's load on a database; at 1.0 all connections are checked out."""
        return self._pool_of(target).load

    def expected_delay_s(self, target: Target, claim: Claim) -> float:
        """Return how long a new request would wait for a slot; 0 if slots are not waited for."""
        return self._pool_of(target).expected_delay_s(claim)

    def has_idle(self, target: Target, workspace: WorkspaceId) -> bool:
        """Return whether an idle connection of the workspace exists."""
        return self._pool_of(target).has_idle(workspace)

    def close_broken(self) -> list[TargetId]:
        """Close broken idle connections; return the databases that they led to."""
        with self._lock:
            pools = list(self._pools.values())
        return [pool.target.target for pool in pools if pool.close_broken()]

    def trim(self) -> None:
        """Close idle connections beyond the limits, which may have decreased."""
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.trim()

    def retain_targets(self, targets: set[TargetId]) -> None:
        """Drop the pools of all other databases and close their idle connections."""
        with self._lock:
            removed = [name for name in self._pools if name not in targets]
            pools = [self._pools.pop(name) for name in removed]
        for pool in pools:
            pool.close_idle()

    def _pool_of(self, target: Target) -> _TargetPool:
        with self._lock:
            pool = self._pools.get(target.target)
            if pool is None or pool.target.address != target.address:
                if pool is not None:
                    pool.close_idle()
                pool = _TargetPool(
                    target,
                    self._connector,
                    lambda: self._limit(target),
                    self._limiters,
                    self._clock,
                )
                self._pools[target.target] = pool
            return pool

    def __enter__(self) -> "GatewayPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close_idle()
