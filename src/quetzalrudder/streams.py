"""Outgoing streams and calls on the loop; with :mod:`quetzalrudder.bridge` all of asyncio."""

import asyncio
import itertools
import threading
from collections.abc import AsyncIterator, Awaitable, Callable
from concurrent.futures import Future
from typing import Generic, TypeVar

from grpclib import GRPCError
from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError

from quetzalrudder.bridge import END_OF_STREAM, EndOfStream, Loop
from quetzalrudder.codec import CheckedCodec
from quetzalrudder.exceptions import LinkLost, QuetzalrudderError, TargetUnavailable
from quetzalrudder.utils import Address

__all__ = ["ClientStream", "RequestStream", "call_once"]

M = TypeVar("M")
S = TypeVar("S")


class ClientStream(Generic[S, M]):
    """One outgoing stream on a TCP connection of its own.

    Parameters
    ----------
    loop : Loop
        The loop that owns the socket.
    address : Address
        Where to connect.
    call : Callable
        Starts the stream on a channel, given what to send.
    on_message : Callable
        Called on the loop for each message that comes.
    on_end : Callable
        Called on the loop once, with the failure that ended the stream.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        call: Callable[[Channel, AsyncIterator[S]], AsyncIterator[M]],
        on_message: Callable[[M], None],
        on_end: Callable[[QuetzalrudderError], None],
    ) -> None:
        self._loop = loop
        self._address = address
        self._call = call
        self._on_message = on_message
        self._on_end = on_end
        self._outbox: asyncio.Queue[S | EndOfStream] = asyncio.Queue()
        self._ended = threading.Event()
        self._finished = threading.Event()
        self._task = loop.start(self._serve())

    @property
    def ended(self) -> bool:
        """True once the stream has broken or was closed."""
        return self._ended.is_set()

    async def _outgoing(self) -> AsyncIterator[S]:
        while True:
            message = await self._outbox.get()
            if isinstance(message, EndOfStream):
                return
            yield message

    async def _serve(self) -> None:
        end: QuetzalrudderError = LinkLost("the stream has ended", place=str(self._address))
        channel = Channel(self._address.host, self._address.port, codec=CheckedCodec())
        try:
            async for message in self._call(channel, self._outgoing()):
                self._on_message(message)
            self._finished.set()
        except QuetzalrudderError as exc:
            end = exc
        except (OSError, GRPCError, StreamTerminatedError) as exc:
            end = LinkLost(str(exc) or type(exc).__name__, place=str(self._address))
        finally:
            self._ended.set()
            channel.close()
            self._on_end(end)

    def send(self, message: S) -> None:
        """Queue a message for sending.

        Raises
        ------
        LinkLost
            The stream has ended.
        """
        if self.ended:
            raise LinkLost("the stream has ended", place=str(self._address))
        self._loop.call_soon(self._outbox.put_nowait, message)

    def close(self) -> None:
        """End the stream and its connection."""
        self._ended.set()
        self._loop.call_soon(self._task.cancel)

    def close_and_wait(self, timeout_s: float) -> bool:
        """End the stream and wait for the other side to end it too; false if it did not."""
        self._ended.set()
        self._loop.call_soon(self._outbox.put_nowait, END_OF_STREAM)
        finished = self._finished.wait(timeout_s)
        if not finished:
            self.close()
        return finished


class RequestStream(Generic[S, M]):
    """Requests and answers on one outgoing stream, matched by their sequence.

    Parameters
    ----------
    loop : Loop
        The loop that owns the socket.
    address : Address
        Where to connect.
    call : Callable
        Starts the stream on a channel, given what to send.
    accept : Callable, optional
        Tells whether an answer belongs to this stream; others are dropped.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        call: Callable[[Channel, AsyncIterator[S]], AsyncIterator[M]],
        accept: Callable[[M], bool] = lambda _: True,
    ) -> None:
        self._accept = accept
        self._sequence = itertools.count(1)
        self._pending: dict[int, Future[M]] = {}
        self._stream: ClientStream[S, M] = ClientStream(
            loop, address, call, self._resolve, self._fail_all
        )

    @property
    def ended(self) -> bool:
        """True once the stream has broken or was closed."""
        return self._stream.ended

    def _resolve(self, answer: M) -> None:
        if not self._accept(answer):
            return
        fut = self._pending.pop(answer.sequence, None)
        if fut is not None:
            fut.set_result(answer)

    def _fail_all(self, exc: QuetzalrudderError) -> None:
        while self._pending:
            _, fut = self._pending.popitem()
            fut.set_exception(LinkLost(exc.message, place=exc.place))

    def start(self, frame: S) -> "Future[M]":
        """Send a frame under the next sequence; the future gives its answer.

        Raises
        ------
        TargetUnavailable
            The stream has ended; nothing was sent.
        """
        sequence = next(self._sequence)
        frame.sequence = sequence
        fut: Future[M] = Future()
        self._pending[sequence] = fut
        try:
            self._stream.send(frame)
        except LinkLost as exc:
            self._pending.pop(sequence, None)
            raise TargetUnavailable(exc.message, place=exc.place) from exc
        if self._stream.ended and self._pending.pop(sequence, None) is not None:
            fut.set_exception(LinkLost("the connection broke"))
        return fut

    def discard(self, fut: "Future[M]") -> None:
        """Drop a request whose answer is no longer wanted."""
        found = [sequence for sequence, held in self._pending.items() if held is fut]
        for sequence in found:
            self._pending.pop(sequence, None)

    def close(self) -> None:
        """End the stream and its connection."""
        self._stream.close()

    def close_and_wait(self, timeout_s: float) -> bool:
        """End the stream and wait for the other side to end it too; false if it did not."""
        return self._stream.close_and_wait(timeout_s)


async def call_once(
    address: Address, call: Callable[[Channel], Awaitable[M]], *, timeout_s: float
) -> M:
    """Make one unary call on a connection of its own."""
    channel = Channel(address.host, address.port, codec=CheckedCodec())
    try:
        return await asyncio.wait_for(call(channel), timeout_s)
    finally:
        channel.close()
