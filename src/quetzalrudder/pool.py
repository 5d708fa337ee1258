"""Pools of target connections: scarce, reused, closed when in doubt."""

import itertools
import threading
from collections.abc import Callable
from contextlib import suppress

from result import Err, Ok, Result

from quetzalrudder.adapters import TargetConn, TargetInfo
from quetzalrudder.exceptions import ConnectionLimitReached, QuetzalrudderError
from quetzalrudder.models import TargetId
from quetzalrudder.utils import Deadline

__all__ = ["ConnectionPool", "PooledConn"]

OpenConn = Callable[[TargetInfo, int, float], Result[TargetConn, QuetzalrudderError]]
RETRY_AFTER_MS = 50


class PooledConn:
    """A connection on loan; going back to the pool or closed at the end.

    Use it as a context manager. A connection that broke, still owes an answer,
    or was marked with :meth:`discard` is closed, never reused.
    """

    def __init__(self, pool: "TargetPool", conn: TargetConn) -> None:
        self._pool = pool
        self._conn = conn
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
        self._pool.give_back(self._conn, reusable=self._reusable)


class TargetPool:
    """Connections to one target.

    Parameters
    ----------
    info : TargetInfo
        The target.
    open_conn : Callable
        Opens one more connection.
    generations : Iterator of int
        Source of connection generations.
    """

    def __init__(
        self, info: TargetInfo, open_conn: OpenConn, generations: "itertools.count[int]"
    ) -> None:
        self.info = info
        self._open_conn = open_conn
        self._generations = generations
        self._changed = threading.Condition()
        self._idle: list[TargetConn] = []
        self._count = 0
        self.limit = 1

    @property
    def count(self) -> int:
        """Connections open or being opened."""
        return self._count

    def checkout(self, deadline: Deadline) -> Result[PooledConn, QuetzalrudderError]:
        """Borrow a connection, opening one within the limit, or wait for one."""
        with self._changed:
            while not self._idle and self._count >= self.limit:
                if deadline.passed or not self._changed.wait(deadline.remaining_s):
                    return Err(self._limit_reached())
            while self._idle:
                conn = self._idle.pop()
                if not conn.broken:
                    return Ok(PooledConn(self, conn))
                self._close(conn)
            self._count += 1
        return self._open(deadline)

    def _limit_reached(self) -> ConnectionLimitReached:
        return ConnectionLimitReached(
            f"all {self.limit} connections are in use",
            place=self.info.target,
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _open(self, deadline: Deadline) -> Result[PooledConn, QuetzalrudderError]:
        opened = self._open_conn(self.info, next(self._generations), deadline.remaining_s)
        if isinstance(opened, Err):
            with self._changed:
                self._count -= 1
                self._changed.notify()
            return opened
        return Ok(PooledConn(self, opened.ok_value))

    def give_back(self, conn: TargetConn, *, reusable: bool) -> None:
        """Take a connection back."""
        with self._changed:
            if reusable and self._count <= self.limit:
                self._idle.append(conn)
            else:
                self._close(conn)
            self._changed.notify()

    def _close(self, conn: TargetConn) -> None:
        self._count -= 1
        with suppress(QuetzalrudderError):
            conn.close()

    def close(self) -> None:
        """Close what is idle."""
        with self._changed:
            while self._idle:
                self._close(self._idle.pop())


class ConnectionPool:
    """Connections to all targets.

    Parameters
    ----------
    open_conn : Callable
        Opens a connection to a target, given its generation and a timeout in seconds.
    limit : Callable
        Gives the connections that this instance may hold to a target.
    """

    def __init__(self, open_conn: OpenConn, limit: Callable[[TargetId], int]) -> None:
        self._open_conn = open_conn
        self._limit = limit
        self._generations = itertools.count(1)
        self._lock = threading.Lock()
        self._pools: dict[TargetId, TargetPool] = {}

    def checkout(
        self, info: TargetInfo, deadline: Deadline
    ) -> Result[PooledConn, QuetzalrudderError]:
        """Borrow a connection to a target."""
        with self._lock:
            pool = self._pools.get(info.target)
            if pool is None or pool.info != info:
                pool = TargetPool(info, self._open_conn, self._generations)
                self._pools[info.target] = pool
        pool.limit = max(1, self._limit(info.target))
        return pool.checkout(deadline)

    def __enter__(self) -> "ConnectionPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        with self._lock:
            pools = list(self._pools.values())
        for pool in pools:
            pool.close()
