"""The asyncio event loop that owns all sockets, and its interface to threads.

Only this module, the outgoing side in :mod:`quetzalrudder.streams`, the gRPC handlers and
the calls between gateway instances use asyncio. All other code runs in threads, which use
futures and :class:`Pipe`, a stream of messages with a bounded queue in each direction.
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

from quetzalrudder import processor_time
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

# Longest queue of a pipe in each direction, in messages.
PIPE_CAPACITY = 64
FULL_PIPE_POLL_INTERVAL_S = 0.005
STOP_TIMEOUT_S = 5.0


class EndOfStream:
    """Marker in an outgoing queue: no message follows."""


END_OF_STREAM = EndOfStream()


class _WakeUp:
    """Marker in an incoming queue: ends a wait without a message."""


WAKE = _WakeUp()


class Loop:
    """An asyncio event loop that runs in its own thread.

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
        with processor_time.section("event loop"):
            self._loop.run_forever()
        self._loop.close()

    def start(self, coro: Coroutine[Any, Any, M]) -> "Future[M]":
        """Schedule a coroutine and return a future for its result."""
        return asyncio.run_coroutine_threadsafe(coro, self._loop)

    def run(self, coro: Coroutine[Any, Any, M], *, timeout_s: float) -> M:
        """Run a coroutine and return its result.

        Raises
        ------
        TimeoutError
            The coroutine did not end within the timeout, and was cancelled.
        """
        fut = self.start(coro)
        try:
            return fut.result(timeout_s)
        except TimeoutError:
            fut.cancel()
            raise

    def call_soon(self, func: Callable[..., object], *args: object) -> None:
        """Schedule a function on the loop without waiting; ignored if the loop is closed."""
        with suppress(RuntimeError):
            self._loop.call_soon_threadsafe(func, *args)


async def _cancel_all_tasks() -> None:
    tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


class Pipe(Generic[M, S]):
    """A stream of messages in both directions between the loop and a thread.

    The loop calls :meth:`feed` and iterates over :meth:`outgoing`; the thread calls
    :meth:`recv`, :meth:`send` and :meth:`close`.
    """

    def __init__(self, loop: Loop, capacity: int = PIPE_CAPACITY) -> None:
        self._loop = loop
        self._inbox: queue.SimpleQueue[M | _WakeUp | QuetzalrudderError] = queue.SimpleQueue()
        self._capacity = capacity
        self._outbox: asyncio.Queue[S | EndOfStream] = asyncio.Queue()
        self._send_slots = threading.BoundedSemaphore(capacity)
        self._closed = threading.Event()

    @property
    def closed(self) -> bool:
        """Whether :meth:`close` was called; messages are refused from then on."""
        return self._closed.is_set()

    async def feed(self, messages: AsyncIterator[M]) -> None:
        """Queue the messages of a stream for the thread, then the error that ended the stream."""
        end: QuetzalrudderError = LinkLost("the peer ended the stream")
        try:
            async for message in messages:
                while self._inbox.qsize() >= self._capacity and not self.closed:
                    await asyncio.sleep(FULL_PIPE_POLL_INTERVAL_S)
                self._inbox.put(message)
        except QuetzalrudderError as exc:
            end = exc
        except (OSError, GRPCError, StreamTerminatedError) as exc:
            end = LinkLost(str(exc) or type(exc).__name__)
        finally:
            self._inbox.put(end)

    async def outgoing(self) -> AsyncIterator[S]:
        """Yield the messages that the thread sends until the pipe is closed."""
        while True:
            message = await self._outbox.get()
            if isinstance(message, EndOfStream):
                return
            yield message
            with suppress(ValueError):
                self._send_slots.release()

    def recv(self, timeout_s: float | None = None) -> M:
        """Return the next message.

        Parameters
        ----------
        timeout_s : float, optional
            Longest wait, in seconds. If omitted, waits until the stream ends.

        Raises
        ------
        TimeoutError
            No message arrived in time, or :meth:`wake` ended the wait.
        QuetzalrudderError
            The stream has ended, or a message could not be decoded.
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
        """End the wait of a thread in :meth:`recv`, if no message is queued; thread-safe."""
        if self._inbox.empty():
            self._inbox.put(WAKE)

    def send(self, message: S, timeout_s: float) -> None:
        """Queue a message for sending.

        Raises
        ------
        LinkLost
            The pipe is closed.
        Overloaded
            The send queue stayed full because the peer did not read its messages.
        """
        if self.closed:
            raise LinkLost("the stream is closed")
        if not self._send_slots.acquire(timeout=timeout_s):
            raise Overloaded("send queue full: the peer does not read its messages")
        self._loop.call_soon(self._outbox.put_nowait, message)

    def close(self) -> None:
        """Close the stream; messages already queued are still sent."""
        if self._closed.is_set():
            return
        self._closed.set()
        self._inbox.put(LinkLost("the stream was closed"))
        self._loop.call_soon(self._outbox.put_nowait, END_OF_STREAM)


async def serve_pipe(
    loop: Loop, messages: AsyncIterator[M], start: Callable[[Pipe[M, S]], object]
) -> AsyncIterator[S]:
    """Serve one incoming stream in a thread.

    Parameters
    ----------
    loop : Loop
        The loop on which the stream is served.
    messages : AsyncIterator
        Messages that the peer sends.
    start : Callable
        Starts a thread that serves the pipe, and returns.

    Yields
    ------
    S
        Messages that the thread sends.
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
    """Context manager that runs a gRPC server on the loop.

    Entering it raises ``BindFailed`` if the address cannot be used.
    """

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
