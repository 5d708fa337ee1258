"""Pools of target connections: scarce, reused, opened only with a permit of the fleet."""

import itertools
import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.adapters import TargetConn, TargetInfo
from quetzalrudder.admission import AdmissionRequest, FairQueue, Ticket
from quetzalrudder.exceptions import ConnectionLimitReached, QuetzalrudderError
from quetzalrudder.models import TargetId, WorkspaceId
from quetzalrudder.utils import Clock, Deadline

__all__ = ["ConnectionPool", "Permits", "PooledConn"]

log = logging.getLogger(__name__)

OpenConn = Callable[[TargetInfo, int, float], Result[TargetConn, QuetzalrudderError]]
RETRY_AFTER_MS = 50
# Time to open a connection, until it has been measured.
INITIAL_OPEN_TIME_S = 0.012
OPEN_TIME_SMOOTHING = 0.2
STEP_INTERVAL_S = 0.02
CLOSE_TIMEOUT_S = 1.0
# How long a permit is kept when the target did not confirm that a connection is closed.
PERMIT_QUARANTINE_S = 2.0
MAX_IDLE_S = 10.0
DEFAULT_SLOTS = 3


class Permits(Protocol):
    """Permits to hold connections, which the whole fleet shares."""

    def reserve(self, target: TargetId) -> bool:
        """Take a permit that this instance holds; false if none is free."""

    def reserve_from_peers(self, target: TargetId) -> bool:
        """Ask peers for a permit and take it; false if none came within a small bound."""

    def release(self, target: TargetId) -> None:
        """Put a permit back, once the target no longer counts the connection."""

    def permits_to_return(self, target: TargetId) -> int:
        """Give how many permits are in use beyond those held, or wanted by peers."""


@dataclass
class IdleConn:
    """A connection that waits to be reused."""

    conn: TargetConn
    since: float


class PooledConn:
    """A connection on loan; going back to the pool or closed at the end.

    Use it as a context manager. A connection that broke, still owes an answer,
    or was marked with :meth:`discard` is closed, never reused.
    """

    def __init__(self, pool: "TargetPool", conn: TargetConn, ticket: Ticket) -> None:
        self._pool = pool
        self._conn = conn
        self._ticket = ticket
        self._reusable = True

    @property
    def info(self) -> TargetInfo:
        """The target that the connection leads to."""
        return self._pool.info

    @property
    def conn(self) -> TargetConn:
        """The connection itself."""
        return self._conn

    def discard(self) -> None:
        """Close the connection at the end instead of reusing it."""
        self._reusable = False

    def __enter__(self) -> "PooledConn":
        return self

    def __exit__(self, *exc_info: object) -> None:
        if exc_info[0] is not None or self._conn.broken:
            self._reusable = False
        self._pool.checkin(self._conn, self._ticket, reusable=self._reusable)


class TargetPool:
    """Connections to one target, and the requests that wait for them.

    Parameters
    ----------
    info : TargetInfo
        The target.
    open_conn : Callable
        Opens one more connection.
    generations : Iterator of int
        Source of connection generations.
    permits : Permits
        Permits to open connections.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        info: TargetInfo,
        open_conn: OpenConn,
        generations: "itertools.count[int]",
        permits: Permits,
        clock: Clock,
    ) -> None:
        self.info = info
        self._open_conn = open_conn
        self._generations = generations
        self._permits = permits
        self._clock = clock
        self._changed = threading.Condition()
        self._queue = FairQueue(clock)
        self._idle: list[IdleConn] = []
        self._quarantined: list[float] = []
        self._count = 0
        self._opening_s = INITIAL_OPEN_TIME_S
        self._running = 0
        self._pinned: set[int] = set()
        self.slots = DEFAULT_SLOTS

    @property
    def count(self) -> int:
        """Connections open or being opened."""
        return self._count

    def checkout(
        self, deadline: Deadline, request: AdmissionRequest | None = None
    ) -> Result[PooledConn, QuetzalrudderError]:
        """Borrow a connection: an idle one, one about to come free, or a new one.

        Parameters
        ----------
        deadline : Deadline
            When to give up.
        request : AdmissionRequest, optional
            Whose request it is. Without it the connection is for a transaction, which
            takes none of the slots that statements are queued for.
        """
        with self._changed:
            entered = self._queue.enqueue(
                request or AdmissionRequest(WorkspaceId("")), deadline.at, max(1, self.slots)
            )
            if isinstance(entered, Err):
                return entered
            ticket = entered.ok_value
            if request is None:
                self._pinned.add(ticket.number)
            try:
                conn = self._wait_for_turn(ticket, deadline)
            finally:
                self._queue.remove(ticket)
                self._changed.notify_all()
            if isinstance(conn, Err):
                self._pinned.discard(ticket.number)
                return conn
        if conn.ok_value is not None:
            return Ok(PooledConn(self, conn.ok_value, ticket))
        return self._open(ticket, deadline)

    def _wait_for_turn(
        self, ticket: Ticket, deadline: Deadline
    ) -> Result[TargetConn | None, QuetzalrudderError]:
        """Wait for an idle connection, or for a permit to open one: then None."""
        while True:
            if ticket.evicted or deadline.passed:
                return Err(self._refusal(ticket))
            if self._queue.head() is ticket and self._has_slot(ticket):
                conn = self._take_idle()
                if conn is not None or self._may_open():
                    self._start(ticket)
                    return Ok(conn)
            self._changed.wait(min(STEP_INTERVAL_S, deadline.remaining_s))

    def _refusal(self, ticket: Ticket) -> QuetzalrudderError:
        if self._count:
            return self._queue.refusal_error(ticket, self.slots)
        return ConnectionLimitReached(
            "no permit for a connection is left",
            place=self.info.target,
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _has_slot(self, ticket: Ticket) -> bool:
        return ticket.number in self._pinned or self._running < max(1, self.slots)

    def _start(self, ticket: Ticket) -> None:
        self._queue.start_service(ticket)
        if ticket.number not in self._pinned:
            self._running += 1

    def _take_idle(self) -> TargetConn | None:
        while self._idle:
            conn = self._idle.pop().conn
            if not conn.broken:
                return conn
            self._close_later(conn)
        return None

    def _may_open(self) -> bool:
        """Tell whether to open a connection, having taken the permit for it."""
        soon_s = self._queue.expected_wait_s(self._count)
        if self._count and 0 < soon_s < self._opening_s:
            return False
        if self._permits.reserve(self.info.target) or self._seek():
            self._count += 1
            return True
        return False

    def _seek(self) -> bool:
        # Peers are asked without the lock, so that connections can come back meanwhile.
        self._changed.release()
        try:
            return self._permits.reserve_from_peers(self.info.target)
        finally:
            self._changed.acquire()

    def _open(self, ticket: Ticket, deadline: Deadline) -> Result[PooledConn, QuetzalrudderError]:
        started = self._clock.monotonic()
        opened = self._open_conn(self.info, next(self._generations), deadline.remaining_s)
        took_s = self._clock.monotonic() - started
        if isinstance(opened, Ok):
            self._opening_s += OPEN_TIME_SMOOTHING * (took_s - self._opening_s)
            return Ok(PooledConn(self, opened.ok_value, ticket))
        with self._changed:
            self._count -= 1
            self._finish(ticket)
            if isinstance(opened.err_value, ConnectionLimitReached):
                self._permits.release(self.info.target)
            else:
                self._quarantine()
        return opened

    def _finish(self, ticket: Ticket) -> None:
        self._queue.finish_service(ticket)
        if ticket.number not in self._pinned:
            self._running -= 1
        self._pinned.discard(ticket.number)
        self._changed.notify_all()

    def _quarantine(self) -> None:
        self._quarantined.append(self._clock.monotonic() + PERMIT_QUARANTINE_S)

    def checkin(self, conn: TargetConn, ticket: Ticket, *, reusable: bool) -> None:
        """Take a connection back."""
        with self._changed:
            if reusable and not conn.broken:
                self._idle.append(IdleConn(conn, self._clock.monotonic()))
            else:
                self._close_later(conn)
            self._finish(ticket)

    def _close_later(self, conn: TargetConn) -> None:
        """Close a connection without waiting; its permit is kept until that is certain."""
        self._count -= 1
        conn.close()
        self._quarantine()

    def maintain(self) -> None:
        """Put back permits of closed connections, and close idle ones that are not needed."""
        now = self._clock.monotonic()
        with self._changed:
            due = [at for at in self._quarantined if at <= now]
            self._quarantined = [at for at in self._quarantined if at > now]
            for _ in due:
                self._permits.release(self.info.target)
            surplus = self._take_surplus(now)
        self._close_all(surplus)

    def _take_surplus(self, now: float) -> list[TargetConn]:
        excess = self._permits.permits_to_return(self.info.target)
        if len(self._queue):
            excess = min(excess, self._count - 1)
        taken = [idle for idle in self._idle if now - idle.since > MAX_IDLE_S]
        fresh = [idle for idle in self._idle if now - idle.since <= MAX_IDLE_S]
        while fresh and len(taken) < excess:
            taken.append(fresh.pop(0))
        self._idle = fresh
        return [idle.conn for idle in taken]

    def _close_all(self, conns: list[TargetConn]) -> None:
        for conn in conns:
            confirmed = conn.finish(CLOSE_TIMEOUT_S)
            with self._changed:
                self._count -= 1
                if confirmed:
                    self._permits.release(self.info.target)
                else:
                    self._quarantine()

    def close(self) -> None:
        """Close what is idle, and wait until the target has seen it."""
        with self._changed:
            conns = [idle.conn for idle in self._idle]
            self._idle = []
        self._close_all(conns)


class ConnectionPool:
    """Connections to all targets.

    Parameters
    ----------
    open_conn : Callable
        Opens a connection to a target, given its generation and a timeout in seconds.
    permits : Permits
        Permits to open connections.
    slots : Callable
        Gives the statements that a target runs at once; 0 if not known.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        open_conn: OpenConn,
        permits: Permits,
        slots: Callable[[TargetId], int],
        clock: Clock,
    ) -> None:
        self._open_conn = open_conn
        self._permits = permits
        self._slots = slots
        self._clock = clock
        self._generations = itertools.count(1)
        self._lock = threading.Lock()
        self._pools: dict[TargetId, TargetPool] = {}
        self._old_pools: list[TargetPool] = []

    def checkout(
        self, info: TargetInfo, deadline: Deadline, request: AdmissionRequest | None = None
    ) -> Result[PooledConn, QuetzalrudderError]:
        """Borrow a connection to a target; see :meth:`TargetPool.checkout`."""
        pool = self._pool_of(info)
        pool.slots = self._slots(info.target) or DEFAULT_SLOTS
        return pool.checkout(deadline, request)

    def _pool_of(self, info: TargetInfo) -> TargetPool:
        with self._lock:
            pool = self._pools.get(info.target)
            if pool is None or pool.info != info:
                if pool is not None:
                    self._old_pools.append(pool)
                pool = TargetPool(
                    info, self._open_conn, self._generations, self._permits, self._clock
                )
                self._pools[info.target] = pool
            return pool

    def maintain(self) -> None:
        """Return permits that are not needed; called several times a second."""
        for pool in self._all_pools():
            pool.maintain()
        for pool in self._old_pools:
            pool.close()

    def _all_pools(self) -> list[TargetPool]:
        with self._lock:
            return [*self._pools.values(), *self._old_pools]

    def close(self) -> None:
        """Close every idle connection, and wait until the targets have seen it."""
        for pool in self._all_pools():
            pool.close()

    def __enter__(self) -> "ConnectionPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()
