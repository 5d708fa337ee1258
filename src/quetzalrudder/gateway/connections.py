"""Pools of connections to databases: each bound to a workspace, shared by all sessions.

Serves many workspaces in front of a database that takes few connections from all instances
together: each instance stays within its share of the limit, hands a free connection to the
most urgent waiter, and closes an idle connection of another workspace rather than opening
one more.
"""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.exceptions import ConnectionLimitReached, Overloaded, QuetzalrudderError
from quetzalrudder.gateway.statements import TargetConnector, TargetLink
from quetzalrudder.gateway.targets import Target
from quetzalrudder.gateway.wait_queue import Urgency, WaitQueue
from quetzalrudder.models import InstanceId, TargetId, WorkspaceId
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["GatewayPool", "Checkout", "PooledLink", "PooledCheckout", "Urgency"]

log = logging.getLogger(__name__)

# Waiters for one database. With 3 connections and checkouts of 30 ms, the last of them
# waits 0.6 s.
MAX_WAITERS = 64
# Assumed duration of a checkout until one has been measured.
INITIAL_CHECKOUT_TIME_S = 0.03
# Weight of the newest checkout in the moving average of their duration; the average
# follows a change of load within about 20 checkouts.
CHECKOUT_TIME_SMOOTHING = 0.05
# Longer than the platform's 12 ms for opening a connection plus two round trips.
CONNECT_TIMEOUT_S = 0.6
# Delay before a pool opens the next connection after the database refused one because of its
# limit; it doubles with each refusal in a row. The refusals may last for 3 s, until the database
# drops the connections of an unreachable peer.
FIRST_LIMIT_DELAY_S = 0.04
MAX_LIMIT_DELAY_S = 0.32
# Fraction of the limit that may be idle. A database keeps the connections of machines that lost
# their power for a while; the rest of its connections then serves the machines that return.
IDLE_FRACTION = 0.5
# Requests of a pool after which the older ones count half.
DEMAND_MEMORY = 64


@dataclass
class PooledLink:
    """A connection with the session state that its last user left on it."""

    link: TargetLink
    workspace: WorkspaceId
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)


@dataclass
class _Waiter:
    workspace: WorkspaceId
    ready: threading.Event = field(default_factory=threading.Event)
    # If None when ready is set, the waiter may open a connection.
    assigned: PooledLink | None = None


class Checkout(Protocol):
    """A connection checked out of a pool; use it as a context manager.

    It is closed on release unless :meth:`mark_reusable` was called.
    """

    # The other instance that owns the connection; None if this instance does.
    owner: InstanceId | None

    @property
    def target(self) -> Target:
        """The database that the connection leads to."""

    @property
    def link(self) -> TargetLink:
        """The connection."""

    def invalidate_prepared(self) -> None:
        """Assume that no statement is prepared on the connection."""

    def invalidate_values(self) -> None:
        """Have the connection reset before its next use, as its session values are unknown."""

    def mark_reusable(self) -> None:
        """Return the connection to the pool on release, as no transaction is open on it."""

    def release(self) -> None:
        """Return the connection to the pool, or close it."""

    def __enter__(self) -> "Checkout": ...

    def __exit__(self, *exc_info: object) -> None: ...


class PooledCheckout:
    """A connection checked out of this instance's pool."""

    owner: InstanceId | None = None

    def __init__(self, pool: "_TargetPool", pooled: PooledLink, checked_out_at: float) -> None:
        self._pool = pool
        self.pooled = pooled
        self.checked_out_at = checked_out_at
        self._reusable = False
        self._released = False

    @property
    def target(self) -> Target:
        """The database that the connection leads to."""
        return self._pool.target

    @property
    def link(self) -> TargetLink:
        """The connection."""
        return self.pooled.link

    def invalidate_prepared(self) -> None:
        """Assume that no statement is prepared on the connection."""
        self.pooled.prepared.clear()

    def invalidate_values(self) -> None:
        """Have the connection reset before its next use, as its session values are unknown."""
        # No session has a value with an empty name, so the next one to use it resets it.
        self.pooled.values[""] = ""

    def mark_reusable(self) -> None:
        """Return the connection to the pool on release, as no transaction is open on it."""
        self._reusable = True

    def release(self) -> None:
        """Return the connection to the pool, or close it."""
        if not self._released:
            self._released = True
            self._pool.check_in(self, reusable=self._reusable and not self.link.broken)

    def __enter__(self) -> "PooledCheckout":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.release()


class _Demand:
    """How often each workspace has recently asked for a connection."""

    def __init__(self) -> None:
        self._counts: dict[WorkspaceId, float] = {}
        self._total = 0.0

    def record(self, workspace: WorkspaceId) -> None:
        """Count a request; earlier ones lose weight as newer ones come."""
        self._counts[workspace] = self._counts.get(workspace, 0.0) + 1
        self._total += 1
        if self._total >= DEMAND_MEMORY:
            self._total /= 2
            self._counts = {name: n / 2 for name, n in self._counts.items() if n >= 1}

    def of(self, pooled: PooledLink) -> float:
        """Return the demand for a connection: that of its workspace."""
        return self._counts.get(pooled.workspace, 0.0)


class _TargetPool:
    def __init__(
        self, target: Target, connector: TargetConnector, limit: Callable[[], int], clock: Clock
    ) -> None:
        self.target = target
        self._connector = connector
        self._limit = limit
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: list[PooledLink] = []
        self._demand = _Demand()
        # Connections that are open or being opened.
        self._open_count = 0
        self._waiters: WaitQueue[_Waiter] = WaitQueue()
        self._checkout_time_s = INITIAL_CHECKOUT_TIME_S
        self._checked_out_count = 0
        # Until when no connection is opened, and the delay after the next refusal.
        self._no_open_until = 0.0
        self._limit_delay_s = FIRST_LIMIT_DELAY_S

    @property
    def load(self) -> float:
        """Checked-out connections and waiters, as a fraction of the limit."""
        return (self._checked_out_count + len(self._waiters)) / max(1, self._limit())

    def has_idle(self, workspace: WorkspaceId) -> bool:
        """Return whether an idle connection of the workspace exists."""
        with self._lock:
            return any(pooled.workspace == workspace for pooled in self._idle)

    def checkout(
        self, workspace: WorkspaceId, urgency: Urgency, deadline_at: float
    ) -> Result[Checkout, QuetzalrudderError]:
        with self._lock:
            self._demand.record(workspace)
        while True:
            waiter = _Waiter(workspace)
            with self._lock:
                refusal = self._enqueue(waiter, urgency, deadline_at)
                if refusal is not None:
                    return Err(refusal)
                closing = self._dispatch()
            _close_all(closing)
            remaining_s = max(0.0, deadline_at - self._clock.monotonic())
            if not self._clock.wait(waiter.ready, remaining_s):
                with self._lock:
                    self._waiters.remove(waiter)
                    if not waiter.ready.is_set():
                        return Err(
                            self._overloaded("no connection became free before the deadline")
                        )
            if waiter.assigned is not None:
                return Ok(PooledCheckout(self, waiter.assigned, self._clock.monotonic()))
            opened = self._open(workspace, deadline_at)
            if isinstance(opened, Ok):
                return opened
            if not isinstance(opened.err_value, ConnectionLimitReached):
                return opened
            delay_s = max(0.0, self._no_open_until - self._clock.monotonic())
            if self._clock.monotonic() + delay_s >= deadline_at:
                return opened
            self._clock.sleep(delay_s)

    def _enqueue(
        self, waiter: _Waiter, urgency: Urgency, deadline_at: float
    ) -> QuetzalrudderError | None:
        """Add a waiter to the queue, or return an error if it cannot be served in time."""
        if len(self._waiters) >= MAX_WAITERS:
            return self._overloaded("the queue for connections is full")
        index = self._waiters.add(urgency, waiter)
        expected_s = index * self._checkout_time_s / max(1, self._limit())
        if self._clock.monotonic() + expected_s > deadline_at:
            self._waiters.remove(waiter)
            return self._overloaded("the queue for connections is too long for the deadline")
        return None

    def _overloaded(self, reason: str) -> Overloaded:
        wait_s = (len(self._waiters) + 1) * self._checkout_time_s / max(1, self._limit())
        return Overloaded(
            reason, place=self.target.target, retry_after_ms=max(1, round(wait_s * MS_PER_S))
        )

    def _dispatch(self) -> list[PooledLink]:
        """Serve waiters in order; return the connections that the caller must close."""
        closing: list[PooledLink] = []
        now = self._clock.monotonic()
        limit = max(1, self._limit())
        if now < self._no_open_until:
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
        opened = self._connector.connect(
            self.target, workspace, min(CONNECT_TIMEOUT_S, remaining_s)
        )
        if isinstance(opened, Ok):
            self._limit_delay_s = FIRST_LIMIT_DELAY_S
            pooled = PooledLink(opened.ok_value, workspace)
            return Ok(PooledCheckout(self, pooled, self._clock.monotonic()))
        with self._lock:
            self._open_count -= 1
            self._checked_out_count -= 1
            if isinstance(opened.err_value, ConnectionLimitReached):
                self._no_open_until = self._clock.monotonic() + self._limit_delay_s
                self._limit_delay_s = min(MAX_LIMIT_DELAY_S, 2 * self._limit_delay_s)
            closing = self._dispatch()
        _close_all(closing)
        return opened

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
        _close_all(closing)

    def _remove_excess_idle(self) -> list[PooledLink]:
        """Remove and return the idle connections beyond the allowed number."""
        allowed = max(1, int(self._limit() * IDLE_FRACTION))
        removed = [self._pop_least_wanted() for _ in range(len(self._idle) - allowed)]
        self._open_count -= len(removed)
        return removed

    def _pop_least_wanted(self) -> PooledLink:
        """Remove and return the idle connection whose workspace asks least often."""
        index = min(range(len(self._idle)), key=lambda index: self._demand.of(self._idle[index]))
        return self._idle.pop(index)

    def checkout_any_idle(self) -> Checkout | None:
        """Return an idle connection of any workspace; None if there is none or others wait."""
        closing: list[PooledLink] = []
        with self._lock:
            pooled = None if self._waiters else self._pop_idle(None, closing)
            if pooled is not None:
                self._checked_out_count += 1
        _close_all(closing)
        return None if pooled is None else PooledCheckout(self, pooled, self._clock.monotonic())

    def close_broken(self) -> bool:
        """Close idle connections that the database has closed; return whether there were any."""
        with self._lock:
            broken = [pooled for pooled in self._idle if pooled.link.broken]
            self._idle = [pooled for pooled in self._idle if not pooled.link.broken]
            self._open_count -= len(broken)
        _close_all(broken)
        return bool(broken)

    def trim(self) -> None:
        """Close idle connections beyond the limit, which may have changed, and serve waiters."""
        with self._lock:
            excess = max(0, min(len(self._idle), self._open_count - max(1, self._limit())))
            closing, self._idle = self._idle[:excess], self._idle[excess:]
            self._open_count -= excess
            closing += self._dispatch()
        _close_all(closing)

    def close_idle(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
            self._open_count -= len(idle)
        _close_all(idle)


def _close_all(closing: list[PooledLink]) -> None:
    for pooled in closing:
        pooled.link.close()


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
    """

    def __init__(
        self, connector: TargetConnector, limit: Callable[[Target], int], clock: Clock
    ) -> None:
        self._connector = connector
        self._limit = limit
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
                    target, self._connector, lambda: self._limit(target), self._clock
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
