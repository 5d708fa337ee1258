"""Connections to databases: scarce, each bound to a workspace, shared by all sessions.

Answers the load of many workspaces before a database that takes few connections from all
instances together: each instance keeps to its part, hands a connection to the most urgent
waiter, and gives up the idle connection of another workspace rather than opening one more.
"""

import bisect
import itertools
import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.exceptions import ConnectionLimitReached, Overloaded, QuetzalrudderError
from quetzalrudder.gateway.statements import TargetConnector, TargetLink
from quetzalrudder.gateway.targets import Target
from quetzalrudder.models import InstanceId, TargetId, WorkspaceId
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["GatewayPool", "Checkout", "PooledLink", "PooledCheckout", "Urgency"]

log = logging.getLogger(__name__)

# Waiters for one database; at 30 ms a loan and 3 connections, 0.6 s of waiting.
MAX_WAITING = 64
# Time a connection is on loan, until it has been measured.
FIRST_HOLD_S = 0.03
# Weight of the newest loan; follows a change of load within about 20 loans.
HOLD_SMOOTHING = 0.05
# Longer than the platform's 12 ms for opening a connection plus two round trips.
CONNECT_TIMEOUT_S = 0.6
# After a refusal for too many connections; the database drops a dark peer's after 3 s.
LIMIT_PAUSE_S = 0.04


@dataclass(order=True, frozen=True)
class Urgency:
    """Who gets a connection first: work under way, then priority, then objective."""

    # 0 for work that holds other resources already.
    rank: int
    priority: int
    wanted_at: float


@dataclass
class PooledLink:
    """A connection with what it holds for the session that used it last."""

    link: TargetLink
    workspace: WorkspaceId
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)


@dataclass
class _Waiter:
    workspace: WorkspaceId
    ready: threading.Event = field(default_factory=threading.Event)
    # None once ready means that a connection may be opened.
    granted: PooledLink | None = None


class Checkout(Protocol):
    """A connection on loan; use it as a context manager.

    It is closed at the end unless :meth:`keep` was called.
    """

    # Another instance that holds the connection; None for the own one.
    owner: InstanceId | None

    @property
    def target(self) -> Target:
        """Where the connection leads."""

    @property
    def link(self) -> TargetLink:
        """The connection."""

    def forget_prepared(self) -> None:
        """Count on no prepared statement of the connection."""

    def forget_values(self) -> None:
        """Have the connection reset, as its session values are not known any more."""

    def keep(self) -> None:
        """Return the connection at the end, as no transaction is open on it."""

    def end(self) -> None:
        """Return or close the connection."""

    def __enter__(self) -> "Checkout": ...

    def __exit__(self, *exc_info: object) -> None: ...


class PooledCheckout:
    """A loan of the own pool."""

    owner: InstanceId | None = None

    def __init__(self, pool: "_TargetPool", pooled: PooledLink, since: float) -> None:
        self._pool = pool
        self.pooled = pooled
        self.since = since
        self._keep = False
        self._ended = False

    @property
    def target(self) -> Target:
        """Where the connection leads."""
        return self._pool.info

    @property
    def link(self) -> TargetLink:
        """The connection."""
        return self.pooled.link

    def forget_prepared(self) -> None:
        """Count on no prepared statement of the connection."""
        self.pooled.prepared.clear()

    def forget_values(self) -> None:
        """Have the connection reset: no session has a value without a name."""
        self.pooled.values[""] = ""

    def keep(self) -> None:
        """Return the connection at the end, as no transaction is open on it."""
        self._keep = True

    def end(self) -> None:
        """Return or close the connection."""
        if not self._ended:
            self._ended = True
            self._pool.take_back(self, keep=self._keep and not self.link.broken)

    def __enter__(self) -> "PooledCheckout":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.end()


class _TargetPool:
    def __init__(
        self, info: Target, connector: TargetConnector, limit: Callable[[], int], clock: Clock
    ) -> None:
        self.info = info
        self._connector = connector
        self._limit = limit
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: list[PooledLink] = []
        self._count = 0
        self._waiting: list[tuple[Urgency, int, _Waiter]] = []
        self._numbers = itertools.count()
        self._hold_s = FIRST_HOLD_S
        self._checked_out = 0

    @property
    def load(self) -> float:
        """Connections on loan and waiters, as a part of the limit."""
        return (self._checked_out + len(self._waiting)) / max(1, self._limit())

    def has_idle(self, workspace: WorkspaceId) -> bool:
        """Tell whether a connection of the workspace is free."""
        with self._lock:
            return any(pooled.workspace == workspace for pooled in self._idle)

    def checkout(
        self, workspace: WorkspaceId, urgency: Urgency, deadline_at: float
    ) -> Result[Checkout, QuetzalrudderError]:
        while True:
            waiter = _Waiter(workspace)
            with self._lock:
                refusal = self._enter(waiter, urgency, deadline_at)
                if refusal is not None:
                    return Err(refusal)
                closing = self._dispatch()
            _close_all(closing)
            left_s = max(0.0, deadline_at - self._clock.monotonic())
            if not self._clock.wait(waiter.ready, left_s):
                with self._lock:
                    self._leave(waiter)
                    if not waiter.ready.is_set():
                        return Err(self._overloaded("no connection came free in time"))
            if waiter.granted is not None:
                return Ok(PooledCheckout(self, waiter.granted, self._clock.monotonic()))
            opened = self._open(workspace, deadline_at)
            if isinstance(opened, Ok):
                return opened
            if not isinstance(opened.err_value, ConnectionLimitReached):
                return opened
            if self._clock.monotonic() + LIMIT_PAUSE_S >= deadline_at:
                return opened
            self._clock.sleep(LIMIT_PAUSE_S)

    def _enter(
        self, waiter: _Waiter, urgency: Urgency, deadline_at: float
    ) -> QuetzalrudderError | None:
        place = bisect.bisect(self._waiting, (urgency, next(self._numbers), waiter), key=_order)
        expected_s = place * self._hold_s / max(1, self._limit())
        if len(self._waiting) >= MAX_WAITING:
            return self._overloaded("the queue for connections is full")
        if self._clock.monotonic() + expected_s > deadline_at:
            return self._overloaded("the queue for connections is too long for the deadline")
        self._waiting.insert(place, (urgency, next(self._numbers), waiter))
        return None

    def _overloaded(self, reason: str) -> Overloaded:
        wait_s = (len(self._waiting) + 1) * self._hold_s / max(1, self._limit())
        return Overloaded(
            reason, place=self.info.target, retry_after_ms=max(1, round(wait_s * MS_PER_S))
        )

    def _leave(self, waiter: _Waiter) -> None:
        self._waiting = [entry for entry in self._waiting if entry[2] is not waiter]

    def _dispatch(self) -> list[PooledLink]:
        """Serve waiters in order; give the idle connections that must be closed."""
        closing: list[PooledLink] = []
        while self._waiting:
            waiter = self._waiting[0][2]
            pooled = self._take_idle(waiter.workspace, closing)
            if pooled is not None:
                waiter.granted = pooled
            elif self._count < max(1, self._limit()):
                self._count += 1
            elif self._idle:
                closing.append(self._idle.pop(0))
            else:
                break
            self._checked_out += 1
            self._waiting.pop(0)
            waiter.ready.set()
        return closing

    def _take_idle(
        self, workspace: WorkspaceId | None, closing: list[PooledLink]
    ) -> PooledLink | None:
        for place in range(len(self._idle) - 1, -1, -1):
            if workspace is not None and self._idle[place].workspace != workspace:
                continue
            pooled = self._idle.pop(place)
            if not pooled.link.broken:
                return pooled
            self._count -= 1
            closing.append(pooled)
        return None

    def _open(
        self, workspace: WorkspaceId, deadline_at: float
    ) -> Result[Checkout, QuetzalrudderError]:
        left_s = max(0.01, deadline_at - self._clock.monotonic())
        opened = self._connector.connect(self.info, workspace, min(CONNECT_TIMEOUT_S, left_s))
        if isinstance(opened, Ok):
            pooled = PooledLink(opened.ok_value, workspace)
            return Ok(PooledCheckout(self, pooled, self._clock.monotonic()))
        with self._lock:
            self._count -= 1
            self._checked_out -= 1
            closing = self._dispatch()
        _close_all(closing)
        return opened

    def take_back(self, checkout: PooledCheckout, *, keep: bool) -> None:
        """Take a connection back from a session."""
        closing: list[PooledLink] = []
        with self._lock:
            held_s = self._clock.monotonic() - checkout.since
            self._hold_s += HOLD_SMOOTHING * (held_s - self._hold_s)
            self._checked_out -= 1
            if keep and self._count <= max(1, self._limit()):
                self._idle.append(checkout.pooled)
            else:
                self._count -= 1
                closing.append(checkout.pooled)
            closing += self._dispatch()
        _close_all(closing)

    def take_any_idle(self) -> Checkout | None:
        """Lend an idle connection of any workspace, if nobody waits for one."""
        closing: list[PooledLink] = []
        with self._lock:
            pooled = None if self._waiting else self._take_idle(None, closing)
            if pooled is not None:
                self._checked_out += 1
        _close_all(closing)
        return None if pooled is None else PooledCheckout(self, pooled, self._clock.monotonic())

    def drop_broken(self) -> bool:
        """Close idle connections whose other end is gone; true if there were any."""
        with self._lock:
            broken = [pooled for pooled in self._idle if pooled.link.broken]
            self._idle = [pooled for pooled in self._idle if not pooled.link.broken]
            self._count -= len(broken)
        _close_all(broken)
        return bool(broken)

    def trim(self) -> None:
        """Close idle connections beyond the limit, as it may have sunk."""
        with self._lock:
            excess = max(0, min(len(self._idle), self._count - max(1, self._limit())))
            surplus, self._idle = self._idle[:excess], self._idle[excess:]
            self._count -= excess
        _close_all(surplus)

    def close_idle(self) -> None:
        """Close what is idle."""
        with self._lock:
            idle, self._idle = self._idle, []
            self._count -= len(idle)
        _close_all(idle)


def _order(entry: tuple[Urgency, int, _Waiter]) -> tuple[Urgency, int]:
    return entry[0], entry[1]


def _close_all(closing: list[PooledLink]) -> None:
    for pooled in closing:
        pooled.link.close()


class GatewayPool:
    """Connections to all databases.

    Parameters
    ----------
    connector : TargetConnector
        Opens connections.
    limit : Callable
        Gives the connections to one database of a group that this instance may hold.
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
        """Borrow a connection of a workspace, waiting for one until the deadline."""
        return self._pool_of(target).checkout(workspace, urgency, deadline_at)

    def take_any_idle(self, target: Target) -> Checkout | None:
        """Borrow an idle connection of any workspace, for a question of our own."""
        return self._pool_of(target).take_any_idle()

    def load(self, target: Target) -> float:
        """Give the use of a database by this instance; 1.0 means that all is on loan."""
        return self._pool_of(target).load

    def has_idle(self, target: Target, workspace: WorkspaceId) -> bool:
        """Tell whether a connection of the workspace is free."""
        return self._pool_of(target).has_idle(workspace)

    def drop_broken(self) -> list[TargetId]:
        """Close broken idle connections; give the databases that they led to."""
        with self._lock:
            pools = list(self._pools.values())
        return [pool.info.target for pool in pools if pool.drop_broken()]

    def trim(self) -> None:
        """Close idle connections beyond the limits."""
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.trim()

    def forget_except(self, targets: set[TargetId]) -> None:
        """Close idle connections to databases that are gone."""
        with self._lock:
            gone = [name for name in self._pools if name not in targets]
            pools = [self._pools.pop(name) for name in gone]
        for pool in pools:
            pool.close_idle()

    def _pool_of(self, target: Target) -> _TargetPool:
        with self._lock:
            pool = self._pools.get(target.target)
            if pool is None or pool.info.address != target.address:
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
