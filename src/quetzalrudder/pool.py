"""Pools of target connections.

Connections are reused. A new one is opened only with a permit, because the whole fleet
shares the connection limit of a target.
"""

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
# Estimated time to open a connection, until it has been measured.
INITIAL_OPEN_TIME_S = 0.012
# Weight of the latest measurement in the smoothed time.
OPEN_TIME_SMOOTHING_FACTOR = 0.2
# Longest wait of a queued request before it checks again for a connection or a permit.
STEP_INTERVAL_S = 0.02
CLOSE_TIMEOUT_S = 1.0
# Time for which a permit is kept when the target did not confirm that its connection is closed.
PERMIT_QUARANTINE_S = 2.0
MAX_IDLE_S = 10.0
# Number of statements that a target is assumed to run at once while it has not reported one.
DEFAULT_SLOTS = 3


class Permits(Protocol):
    """Connection permits, which are divided among the instances of the fleet."""

    def reserve(self, target: TargetId) -> bool:
        """Take a permit that this instance holds; return False if none is free."""

    def reserve_from_peers(self, target: TargetId) -> bool:
        """Request a permit from peers and take it; return False if none came in bounded time."""

    def release(self, target: TargetId) -> None:
        """Free a permit, once the target no longer counts its connection."""

    def permits_to_return(self, target: TargetId) -> int:
        """Return the number of connections to close so that their permits become free.

        It counts the permits in use that this instance no longer holds, and those that
        peers requested and did not get.
        """


@dataclass
class IdleConn:
    """An open connection that is not in use."""

    conn: TargetConn
    idle_since: float


class PooledConn:
    """A connection checked out of a pool.

    Use it as a context manager. At the end the connection goes back to the pool. It is
    closed instead if the block raised an exception, or if the connection broke, has an
    unanswered request or was marked with :meth:`discard`.
    """

    def __init__(self, pool: "TargetPool", conn: TargetConn, ticket: Ticket) -> None:
        self._pool = pool
        self._conn = conn
        self._ticket = ticket
        self._reusable = True

    @property
    def info(self) -> TargetInfo:
        """The target of the connection."""
        return self._pool.info

    @property
    def conn(self) -> TargetConn:
        """The underlying connection."""
        return self._conn

    def discard(self) -> None:
        """Have the connection closed at the end instead of reused."""
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
        Opens a connection.
    generations : Iterator of int
        Source of the generation numbers of connections.
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
        # Clock readings at which the permits of closed connections become free, in seconds.
        self._quarantine_ends_at: list[float] = []
        self._count = 0
        self._opening_s = INITIAL_OPEN_TIME_S
        self._slots_in_use = 0
        # Numbers of the tickets of transactions, which use no slot.
        self._slotless: set[int] = set()
        self.slots = DEFAULT_SLOTS

    @property
    def count(self) -> int:
        """Number of connections that are open or being opened."""
        return self._count

    def checkout(
        self, deadline: Deadline, request: AdmissionRequest | None = None
    ) -> Result[PooledConn, QuetzalrudderError]:
        """Check out an idle connection, one that is about to become idle, or a new one.

        Parameters
        ----------
        deadline : Deadline
            Latest time to wait for a connection.
        request : AdmissionRequest, optional
            The request that needs the connection. Without it the connection is for a
            transaction, which uses none of the slots that statements are queued for.

        Returns
        -------
        Result[PooledConn, QuetzalrudderError]
            The connection, or ``Overloaded``, ``ConnectionLimitReached`` or the error
            from opening it.
        """
        with self._changed:
            enqueued = self._queue.enqueue(
                request or AdmissionRequest(WorkspaceId("")), deadline.at, max(1, self.slots)
            )
            if isinstance(enqueued, Err):
                return enqueued
            ticket = enqueued.ok_value
            if request is None:
                self._slotless.add(ticket.number)
            try:
                conn = self._wait_for_connection(ticket, deadline)
            finally:
                self._queue.remove(ticket)
                self._changed.notify_all()
            if isinstance(conn, Err):
                self._slotless.discard(ticket.number)
                return conn
        if conn.ok_value is not None:
            return Ok(PooledConn(self, conn.ok_value, ticket))
        return self._open(ticket, deadline)

    def _wait_for_connection(
        self, ticket: Ticket, deadline: Deadline
    ) -> Result[TargetConn | None, QuetzalrudderError]:
        """Wait for an idle connection, or for a permit to open one; return None for a permit."""
        while True:
            if ticket.evicted or deadline.passed:
                return Err(self._refusal_error(ticket))
            if self._queue.head() is ticket and self._has_slot(ticket):
                conn = self._pop_idle()
                if conn is not None or self._reserve_to_open():
                    self._start_service(ticket)
                    return Ok(conn)
            self._changed.wait(min(STEP_INTERVAL_S, deadline.remaining_s))

    def _refusal_error(self, ticket: Ticket) -> QuetzalrudderError:
        if self._count:
            return self._queue.refusal_error(ticket, self.slots)
        return ConnectionLimitReached(
            "no connection permit is available for the target",
            place=self.info.target,
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _has_slot(self, ticket: Ticket) -> bool:
        return ticket.number in self._slotless or self._slots_in_use < max(1, self.slots)

    def _start_service(self, ticket: Ticket) -> None:
        self._queue.start_service(ticket)
        if ticket.number not in self._slotless:
            self._slots_in_use += 1

    def _pop_idle(self) -> TargetConn | None:
        while self._idle:
            conn = self._idle.pop().conn
            if not conn.broken:
                return conn
            self._discard(conn)
        return None

    def _reserve_to_open(self) -> bool:
        """Take a permit to open a connection; return False to wait for an open one instead."""
        expected_wait_s = self._queue.expected_wait_s(self._count)
        if self._count and 0 < expected_wait_s < self._opening_s:
            return False
        if self._permits.reserve(self.info.target) or self._reserve_from_peers():
            self._count += 1
            return True
        return False

    def _reserve_from_peers(self) -> bool:
        # The lock is released meanwhile, so that connections can be checked in.
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
            self._opening_s += OPEN_TIME_SMOOTHING_FACTOR * (took_s - self._opening_s)
            return Ok(PooledConn(self, opened.ok_value, ticket))
        with self._changed:
            self._count -= 1
            self._finish_service(ticket)
            if isinstance(opened.err_value, ConnectionLimitReached):
                self._permits.release(self.info.target)
            else:
                self._quarantine()
        return opened

    def _finish_service(self, ticket: Ticket) -> None:
        self._queue.finish_service(ticket)
        if ticket.number not in self._slotless:
            self._slots_in_use -= 1
        self._slotless.discard(ticket.number)
        self._changed.notify_all()

    def _quarantine(self) -> None:
        self._quarantine_ends_at.append(self._clock.monotonic() + PERMIT_QUARANTINE_S)

    def checkin(self, conn: TargetConn, ticket: Ticket, *, reusable: bool) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        with self._changed:
            if reusable and not conn.broken:
                self._idle.append(IdleConn(conn, self._clock.monotonic()))
            else:
                self._discard(conn)
            self._finish_service(ticket)

    def _discard(self, conn: TargetConn) -> None:
        """Close a connection without waiting for the target, and quarantine its permit."""
        self._count -= 1
        conn.close()
        self._quarantine()

    def maintain(self) -> None:
        """Free the permits of closed connections, and close idle connections not needed."""
        now = self._clock.monotonic()
        with self._changed:
            expired = [at for at in self._quarantine_ends_at if at <= now]
            self._quarantine_ends_at = [at for at in self._quarantine_ends_at if at > now]
            for _ in expired:
                self._permits.release(self.info.target)
            surplus = self._pop_surplus(now)
        self._close_all(surplus)

    def _pop_surplus(self, now: float) -> list[TargetConn]:
        to_close = self._permits.permits_to_return(self.info.target)
        if len(self._queue):
            to_close = min(to_close, self._count - 1)
        surplus = [idle for idle in self._idle if now - idle.idle_since > MAX_IDLE_S]
        kept = [idle for idle in self._idle if now - idle.idle_since <= MAX_IDLE_S]
        while kept and len(surplus) < to_close:
            surplus.append(kept.pop(0))
        self._idle = kept
        return [idle.conn for idle in surplus]

    def _close_all(self, conns: list[TargetConn]) -> None:
        for conn in conns:
            confirmed = conn.close_and_wait(CLOSE_TIMEOUT_S)
            with self._changed:
                self._count -= 1
                if confirmed:
                    self._permits.release(self.info.target)
                else:
                    self._quarantine()

    def close(self) -> None:
        """Close all idle connections, and wait for the target to confirm it."""
        with self._changed:
            conns = [idle.conn for idle in self._idle]
            self._idle = []
        self._close_all(conns)


class ConnectionPool:
    """Connections to all targets.

    Parameters
    ----------
    open_conn : Callable
        Opens a connection to a target, given the connection's generation number and a
        timeout in seconds.
    permits : Permits
        Permits to open connections.
    slots : Callable
        Returns the number of statements that a target runs at once; 0 if not known.
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
        self._replaced_pools: list[TargetPool] = []

    def checkout(
        self, info: TargetInfo, deadline: Deadline, request: AdmissionRequest | None = None
    ) -> Result[PooledConn, QuetzalrudderError]:
        """Check out a connection to a target; see :meth:`TargetPool.checkout`."""
        pool = self._pool_of(info)
        pool.slots = self._slots(info.target) or DEFAULT_SLOTS
        return pool.checkout(deadline, request)

    def _pool_of(self, info: TargetInfo) -> TargetPool:
        with self._lock:
            pool = self._pools.get(info.target)
            if pool is None or pool.info != info:
                if pool is not None:
                    self._replaced_pools.append(pool)
                pool = TargetPool(
                    info, self._open_conn, self._generations, self._permits, self._clock
                )
                self._pools[info.target] = pool
            return pool

    def maintain(self) -> None:
        """Free unused permits and close unneeded connections; called several times a second."""
        for pool in self._all_pools():
            pool.maintain()
        for pool in self._replaced_pools:
            pool.close()

    def _all_pools(self) -> list[TargetPool]:
        with self._lock:
            return [*self._pools.values(), *self._replaced_pools]

    def close(self) -> None:
        """Close all idle connections, and wait for the targets to confirm it."""
        for pool in self._all_pools():
            pool.close()

    def __enter__(self) -> "ConnectionPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()
