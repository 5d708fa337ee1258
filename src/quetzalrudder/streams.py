"""Outgoing gRPC streams and unary calls, run on the loop of :mod:`quetzalrudder.bridge`."""

import asyncio
import itertools
import threading
from collections.abc import AsyncIterator, Awaitable, Callable
from concurrent.futures import Future
from typing import Generic, Protocol, TypeVar

from grpclib import GRPCError
from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError

from quetzalrudder.bridge import END_OF_STREAM, EndOfStream, Loop
from quetzalrudder.codec import CheckedCodec
from quetzalrudder.exceptions import LinkLost, QuetzalrudderError, TargetUnavailable
from quetzalrudder.utils import Address

__all__ = ["ClientStream", "MatchedRequests", "MessageStream", "RequestStream", "call_once"]

M = TypeVar("M")
S = TypeVar("S")


class ClientStream(Generic[S, M]):
    """An outgoing stream on its own TCP connection.

    Parameters
    ----------
    loop : Loop
        The loop that owns the socket.
    address : Address
        Address to connect to.
    call : Callable
        Starts the stream, given the channel and the messages to send.
    on_message : Callable
        Called on the loop for each message received.
    on_end : Callable
        Called on the loop once, with the error that ended the stream.
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
        self._connected = threading.Event()
        self._ended = threading.Event()
        self._ended_by_peer = threading.Event()
        self._task = loop.start(self._serve())

    @property
    def connected(self) -> bool:
        """Whether the TCP connection was opened; until then no message has been sent."""
        return self._connected.is_set()

    @property
    def ended(self) -> bool:
        """Whether the stream has ended: closed here, ended by the peer or lost."""
        return self._ended.is_set()

    async def _outgoing(self) -> AsyncIterator[S]:
        while True:
            message = await self._outbox.get()
            if isinstance(message, EndOfStream):
                return
            yield message

    async def _serve(self) -> None:
        end: QuetzalrudderError = LinkLost("the peer ended the stream", place=str(self._address))
        channel = Channel(self._address.host, self._address.port, codec=CheckedCodec())
        try:
            await channel.__connect__()
            self._connected.set()
            async for message in self._call(channel, self._outgoing()):
                self._on_message(message)
            self._ended_by_peer.set()
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
            The stream has ended; the message is not sent.
        """
        if self.ended:
            raise LinkLost("the stream has ended", place=str(self._address))
        self._loop.call_soon(self._outbox.put_nowait, message)

    def close(self) -> None:
        """Cancel the stream and close its connection."""
        self._ended.set()
        self._loop.call_soon(self._task.cancel)

    def close_and_wait(self, timeout_s: float) -> bool:
        """End the stream; return whether the peer ended it too within the timeout."""
        self._ended.set()
        self._loop.call_soon(self._outbox.put_nowait, END_OF_STREAM)
        ended_by_peer = self._ended_by_peer.wait(timeout_s)
        if not ended_by_peer:
            self.close()
        return ended_by_peer


class MessageStream(Protocol[S]):
    """An outgoing stream of messages on a TCP connection of its own."""

    @property
    def connected(self) -> bool:
        """Whether a message may have been sent."""

    @property
    def ended(self) -> bool:
        """Whether the stream has ended: closed here, ended by the peer or lost."""

    def send(self, message: S) -> None:
        """Send or queue a message; raises ``LinkLost`` if it will not be sent."""

    def close(self) -> None:
        """Close the connection."""


class MatchedRequests(Generic[S, M]):
    """Requests and answers on one outgoing stream, matched by sequence number.

    Parameters
    ----------
    open_stream : Callable
        Opens the stream, given what is called with each answer, and with the error at the end.
    accept : Callable, optional
        Returns whether an answer belongs to this stream; others are dropped.
    """

    def __init__(
        self,
        open_stream: Callable[
            [Callable[[M], None], Callable[[QuetzalrudderError], None]], MessageStream[S]
        ],
        accept: Callable[[M], bool] = lambda _: True,
    ) -> None:
        self._accept = accept
        self._sequence = itertools.count(1)
        self._pending: dict[int, Future[M]] = {}
        self._stream = open_stream(self._resolve, self._fail_all)

    @property
    def connected(self) -> bool:
        """Whether the TCP connection was opened; until then no frame has been sent."""
        return self._stream.connected

    @property
    def ended(self) -> bool:
        """Whether the stream has ended: closed here, ended by the peer or lost."""
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
        """Send a frame with the next sequence number and return a future for its answer.

        The future fails with ``LinkLost`` if the stream ends before the answer arrives.

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
            fut.set_exception(LinkLost("connection lost while the request was being sent"))
        return fut

    def discard(self, fut: "Future[M]") -> None:
        """Stop waiting for the answer to a request; if it arrives, it is dropped."""
        # Other threads start requests meanwhile; copying a dictionary is one step for them.
        pending_requests = self._pending.copy().items()
        sequences = [sequence for sequence, pending in pending_requests if pending is fut]
        for sequence in sequences:
            self._pending.pop(sequence, None)

    def close(self) -> None:
        """Cancel the stream and close its connection."""
        self._stream.close()


class RequestStream(MatchedRequests[S, M]):
    """Requests and answers on one outgoing gRPC stream.

    Parameters
    ----------
    loop : Loop
        The loop that owns the socket.
    address : Address
        Address to connect to.
    call : Callable
        Starts the stream, given the channel and the frames to send.
    accept : Callable, optional
        Returns whether an answer belongs to this stream; others are dropped.
    """

    _stream: ClientStream[S, M]

    def __init__(
        self,
        loop: Loop,
        address: Address,
        call: Callable[[Channel, AsyncIterator[S]], AsyncIterator[M]],
        accept: Callable[[M], bool] = lambda _: True,
    ) -> None:
        super().__init__(
            lambda on_message, on_end: ClientStream(loop, address, call, on_message, on_end),
            accept,
        )

    def close_and_wait(self, timeout_s: float) -> bool:
        """End the stream; return whether the peer ended it too within the timeout."""
        return self._stream.close_and_wait(timeout_s)


async def call_once(
    address: Address, call: Callable[[Channel], Awaitable[M]], *, timeout_s: float
) -> M:
    """Make one unary call on a new connection and return its answer.

    Raises
    ------
    TimeoutError
        The call did not end within the timeout.
    OSError, GRPCError, StreamTerminatedError
        The call failed.
    """
    channel = Channel(address.host, address.port, codec=CheckedCodec())
    try:
        return await asyncio.wait_for(call(channel), timeout_s)
    finally:
        channel.close()
