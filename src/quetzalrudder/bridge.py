"""The one asyncio loop, which owns all sockets, and the way to it from threads.

No other module of the package but :mod:`quetzalrudder.streams`, its outgoing side,
touches asyncio. Threads see two things: futures,
and :class:`Pipe`, a stream of messages with a bounded queue on either side.
"""

import asyncio
import queue
import threading
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from concurrent.futures import Future
from contextlib import suppress
from typing import Any, Generic, TypeVar

from grpclib import GRPCError
from grpclib._typing import IServable
from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Server

from quetzalrudder.codec import CheckedCodec, limit_message_size
from quetzalrudder.exceptions import (
    BindFailed,
    LinkLost,
    Overloaded,
    QuetzalrudderError,
)
from quetzalrudder.utils import Address

__all__ = ["END_OF_STREAM", "WAKE", "EndOfStream", "Listener", "Loop", "Pipe", "serve_pipe"]

M = TypeVar("M")
S = TypeVar("S")

PIPE_CAPACITY = 64
FULL_PIPE_PAUSE_S = 0.005
STOP_TIMEOUT_S = 5.0


class EndOfStream:
    """Marks the end of an outgoing stream in its queue."""


END_OF_STREAM = EndOfStream()


class _WakeUp:
    """Ends a thread's wait for a message, without one."""


WAKE = _WakeUp()


class Loop:
    """An asyncio loop in a thread of its own.

    Examples
    --------
    >>> with Loop() as loop:
    ...     loop.run(asyncio.sleep(0, "slept"), timeout_s=1)
    'slept'
    """

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._serve, name="loop", daemon=True)

    def __enter__(self) -> "Loop":
        self._thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        with suppress(Exception):
            self.run(_cancel_all_tasks(), timeout_s=STOP_TIMEOUT_S)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(STOP_TIMEOUT_S)

    def _serve(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()
        self._loop.close()

    def start(self, coro: Coroutine[Any, Any, M]) -> "Future[M]":
        """Start a coroutine; the future gives its result."""
        return asyncio.run_coroutine_threadsafe(coro, self._loop)

    def run(self, coro: Coroutine[Any, Any, M], *, timeout_s: float) -> M:
        """Run a coroutine and wait for its result."""
        fut = self.start(coro)
        try:
            return fut.result(timeout_s)
        except TimeoutError:
            fut.cancel()
            raise

    def call_soon(self, call: Callable[..., object], *args: object) -> None:
        """Run a plain call on the loop, without waiting."""
        with suppress(RuntimeError):
            self._loop.call_soon_threadsafe(call, *args)


async def _cancel_all_tasks() -> None:
    tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class Pipe(Generic[M, S]):
    """One stream of messages between the loop and a thread.

    The loop side calls :meth:`feed` and iterates :meth:`outgoing`; the thread
    side calls :meth:`recv`, :meth:`send` and :meth:`close`.
    """

    def __init__(self, loop: Loop, capacity: int = PIPE_CAPACITY) -> None:
        self._loop = loop
        self._inbox: queue.SimpleQueue[M | _WakeUp | QuetzalrudderError] = queue.SimpleQueue()
        self._capacity = capacity
        self._outbox: asyncio.Queue[S | EndOfStream] = asyncio.Queue()
        self._room = threading.BoundedSemaphore(capacity)
        self._closed = threading.Event()

    @property
    def closed(self) -> bool:
        """True once the pipe takes no more messages."""
        return self._closed.is_set()

    async def feed(self, messages: AsyncIterator[M]) -> None:
        """Put every message of a stream into the thread's inbox, then its end."""
        end: QuetzalrudderError = LinkLost("the stream has ended")
        try:
            async for message in messages:
                while self._inbox.qsize() >= self._capacity and not self.closed:
                    await asyncio.sleep(FULL_PIPE_PAUSE_S)
                self._inbox.put(message)
        except QuetzalrudderError as exc:
            end = exc
        except (OSError, GRPCError, StreamTerminatedError) as exc:
            end = LinkLost(str(exc) or type(exc).__name__)
        finally:
            self._inbox.put(end)

    async def outgoing(self) -> AsyncIterator[S]:
        """Yield what the thread sends, until the pipe closes."""
        while True:
            message = await self._outbox.get()
            if isinstance(message, EndOfStream):
                return
            yield message
            with suppress(ValueError):
                self._room.release()

    def recv(self, timeout_s: float | None = None) -> M:
        """Take the next message.

        Parameters
        ----------
        timeout_s : float, optional
            Longest wait, in seconds; without it, waits until the stream ends.

        Raises
        ------
        TimeoutError
            Nothing came in time, or :meth:`wake` ended the wait.
        QuetzalrudderError
            The stream has ended, or a message could not be read.
        """
        try:
            message = self._inbox.get(timeout=timeout_s)
        except queue.Empty:
            raise TimeoutError from None
        if isinstance(message, _WakeUp):
            raise TimeoutError
        if isinstance(message, QuetzalrudderError):
            self._inbox.put(message)
            raise message
        return message

    def wake(self) -> None:
        """End the wait of a thread that has nothing to read; any thread may call it."""
        if self._inbox.empty():
            self._inbox.put(WAKE)

    def send(self, message: S, timeout_s: float) -> None:
        """Queue a message for sending.

        Raises
        ------
        LinkLost
            The stream has ended.
        Overloaded
            The other side has not taken earlier messages in time.
        """
        if self.closed:
            raise LinkLost("the stream has ended")
        if not self._room.acquire(timeout=timeout_s):
            raise Overloaded("the other side does not take its messages")
        self._loop.call_soon(self._outbox.put_nowait, message)

    def close(self) -> None:
        """End the stream; messages already queued are still sent."""
        if self._closed.is_set():
            return
        self._closed.set()
        self._inbox.put(LinkLost("the stream was closed"))
        self._loop.call_soon(self._outbox.put_nowait, END_OF_STREAM)


async def serve_pipe(
    loop: Loop, messages: AsyncIterator[M], start: Callable[[Pipe[M, S]], object]
) -> AsyncIterator[S]:
    """Serve one incoming stream by a thread.

    Parameters
    ----------
    loop : Loop
        The loop that the stream lives on.
    messages : AsyncIterator
        What the other side sends.
    start : Callable
        Hands the pipe to a thread.

    Yields
    ------
    S
        What the thread sends.
    """
    pipe: Pipe[M, S] = Pipe(loop)
    feeder = asyncio.ensure_future(pipe.feed(messages))
    try:
        start(pipe)
        async for message in pipe.outgoing():
            yield message
    finally:
        pipe.close()
        feeder.cancel()


class Listener:
    """A gRPC server on the loop."""

    def __init__(self, loop: Loop, address: Address, services: Sequence[IServable]) -> None:
        self._loop = loop
        self._address = address
        self._services = services
        self._server: Server | None = None

    def __enter__(self) -> "Listener":
        self._loop.run(self._start(), timeout_s=STOP_TIMEOUT_S)
        return self

    def __exit__(self, *exc_info: object) -> None:
        with suppress(Exception):
            self._loop.run(self._stop(), timeout_s=STOP_TIMEOUT_S)

    async def _start(self) -> None:
        self._server = Server([limit_message_size(s) for s in self._services], codec=CheckedCodec())
        try:
            await self._server.start(self._address.host, self._address.port)
        except OSError as exc:
            raise BindFailed(exc.strerror or str(exc), place=str(self._address)) from exc

    async def _stop(self) -> None:
        if self._server is None:
            return
        self._server.close()
        await self._server.wait_closed()
