"""Length-prefixed messages between instances, on one TCP connection for each direction of calls.

Serves statements of a large fleet, most of which run on a connection that another instance owns:
a call takes a quarter of the processor time that it takes on a gRPC stream. Any thread sends its
message on the socket itself, and the event loop wakes once for what has arrived.
"""

import asyncio
import socket
import struct
import threading
from collections import deque
from collections.abc import Callable
from contextlib import suppress

from quetzalrudder import wire
from quetzalrudder.bridge import Loop
from quetzalrudder.exceptions import LinkLost, MalformedMessage, QuetzalrudderError
from quetzalrudder.schema.gateway_service import PeerAnswer, PeerCall
from quetzalrudder.streams import MatchedRequests
from quetzalrudder.utils import MAX_MESSAGE_BYTES, Address

__all__ = ["GREETING", "RECEIVE_BYTES", "FrameConnection", "FrameRequests", "set_options"]

# First bytes of a connection in each direction, which no HTTP/2 connection begins with.
GREETING = b"QZF1\n"
LENGTH = struct.Struct(">I")
RECEIVE_BYTES = 65536
# Bytes that a peer may leave unread before further messages to it fail.
MAX_UNSENT_BYTES = 8 * 1024 * 1024
# Keepalive probes: without them, the socket of a peer that lost power stays open for hours.
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_COUNT = 3


class FrameConnection:
    """A connection that carries messages in both directions.

    Messages are held back until the peer has greeted: nothing is sent to a peer that does not
    speak this protocol.

    Parameters
    ----------
    loop : Loop
        The loop that reads from the socket.
    sock : socket.socket
        A connected, non-blocking socket, which this object closes.
    on_message : Callable
        Called on the loop with the bytes of each message.
    on_end : Callable
        Called on the loop once, with the error that ended the connection.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_message: Callable[[bytes], None],
        on_end: Callable[[QuetzalrudderError], None],
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._on_message = on_message
        self._on_end = on_end
        self._received = bytearray()
        self._lock = threading.Lock()
        # Frames, or the rest of one, that the socket has not taken yet.
        self._unsent: deque[bytes] = deque()
        self._unsent_bytes = 0
        self._writes_on_loop = False
        self._greeted = False
        self._ended = False

    @property
    def greeted(self) -> bool:
        """Whether the peer has shown that it speaks this protocol."""
        return self._greeted

    @property
    def ended(self) -> bool:
        """Whether the connection has ended."""
        return self._ended

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the socket has not taken yet."""
        return self._unsent_bytes

    def start(self, received: bytes = b"") -> None:
        """Send the greeting and begin to read; called on the loop.

        Parameters
        ----------
        received : bytes, optional
            What was read from the socket before.
        """
        set_options(self._sock)
        with self._lock:
            self._unsent.appendleft(GREETING)
            self._unsent_bytes += len(GREETING)
            self._writes_on_loop = True
        self._write()
        if not self._ended:
            asyncio.get_running_loop().add_reader(self._sock, self._read)
            if received:
                self._take(received)

    def send(self, message: bytes) -> None:
        """Send a message, or queue it until the peer takes it; from any thread.

        Raises
        ------
        LinkLost
            The connection has ended, or the peer does not read; the message is not sent.
        """
        data = LENGTH.pack(len(message)) + message
        with self._lock:
            if self._ended:
                raise LinkLost("the connection has ended")
            if self._unsent_bytes + len(data) > MAX_UNSENT_BYTES:
                raise LinkLost("the peer does not read its messages")
            if self._greeted and not self._unsent:
                data = self._send_now(data)
            if not data:
                return
            self._unsent.append(data)
            self._unsent_bytes += len(data)
            if not self._greeted or self._writes_on_loop:
                return
            self._writes_on_loop = True
        self._loop.call_soon(self._write)

    def _send_now(self, data: bytes) -> bytes:
        """Return what the socket has not taken; the reader sees the errors of the socket."""
        with suppress(OSError):
            return data[self._sock.send(data) :]
        return data

    def _write(self) -> None:
        """Send what is queued; go on when the socket is writable again."""
        loop = asyncio.get_running_loop()
        with self._lock:
            if self._ended:
                return
            while self._unsent and (self._greeted or self._unsent[0] is GREETING):
                data = self._unsent.popleft()
                rest = self._send_now(data)
                self._unsent_bytes -= len(data) - len(rest)
                if rest:
                    self._unsent.appendleft(rest)
                    loop.add_writer(self._sock, self._write)
                    return
            self._writes_on_loop = False
            loop.remove_writer(self._sock)

    def _read(self) -> None:
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as exc:
            self.end(LinkLost(exc.strerror or type(exc).__name__))
            return
        if data:
            self._take(data)
        else:
            self.end(LinkLost("the peer ended the connection"))

    def _take(self, data: bytes) -> None:
        self._received += data
        try:
            if self._greeted or self._take_greeting():
                self._take_messages()
        except MalformedMessage as exc:
            self.end(exc)

    def _take_greeting(self) -> bool:
        received = bytes(self._received[: len(GREETING)])
        if received != GREETING:
            if not GREETING.startswith(received):
                raise MalformedMessage("the peer does not speak this protocol")
            return False
        del self._received[: len(GREETING)]
        with self._lock:
            self._greeted = True
        self._write()
        return True

    def _take_messages(self) -> None:
        received, start = self._received, 0
        try:
            while len(received) - start >= LENGTH.size:
                (size,) = LENGTH.unpack_from(received, start)
                if size > MAX_MESSAGE_BYTES:
                    reason = f"message has {size} bytes, limit is {MAX_MESSAGE_BYTES}"
                    raise MalformedMessage(reason)
                begin, end = start + LENGTH.size, start + LENGTH.size + size
                if len(received) < end:
                    break
                # Handled once, whatever handling it raises.
                start = end
                self._on_message(bytes(received[begin:end]))
        finally:
            del received[:start]

    def end(self, exc: QuetzalrudderError) -> None:
        """Close the socket; called on the loop."""
        with self._lock:
            if self._ended:
                return
            self._ended = True
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._sock)
            loop.remove_writer(self._sock)
            self._sock.close()
        self._on_end(exc)

    def close(self) -> None:
        """Close the connection; from any thread."""
        self._loop.call_soon(self.end, LinkLost("the connection was closed"))


def set_options(sock: socket.socket) -> None:
    """Send at once, and notice a peer that lost power while the connection is idle."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)


class _FrameClient:
    """An outgoing connection, opened in the background; calls wait for it."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_message: Callable[[PeerAnswer], None],
        on_end: Callable[[QuetzalrudderError], None],
    ) -> None:
        self._loop = loop
        self._address = address
        self._on_message = on_message
        self._on_end = on_end
        self._opening = True
        self._opened = False
        self._refused = False
        self._ended = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setblocking(False)
        self._conn = FrameConnection(loop, self._sock, self._receive, self._end)
        self._connecting = loop.start(self._connect())

    @property
    def connected(self) -> bool:
        """Whether the peer has greeted; until then no call has been sent."""
        return self._conn.greeted

    @property
    def refused(self) -> bool:
        """Whether the peer accepted the connection and ended it without a greeting."""
        return self._refused

    @property
    def ended(self) -> bool:
        """Whether the connection has ended."""
        return self._ended

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(self._sock, (self._address.host, self._address.port))
            self._opened = True
        except OSError as exc:
            self._conn.end(LinkLost(exc.strerror or type(exc).__name__))
        except asyncio.CancelledError:
            self._conn.end(LinkLost("the connection was closed"))
            raise
        finally:
            self._opening = False
        if self._opened:
            self._conn.start()

    def _receive(self, data: bytes) -> None:
        try:
            answer = wire.decode(data, PeerAnswer)
        except Exception as exc:
            raise MalformedMessage(f"cannot decode an answer: {type(exc).__name__}") from exc
        self._on_message(answer)

    def _end(self, exc: QuetzalrudderError) -> None:
        closed_here, self._ended = self._ended, True
        self._refused = self._opened and not closed_here and not self._conn.greeted
        self._on_end(exc)

    def send(self, message: PeerCall) -> None:
        """Send a call, or queue it until the connection is open."""
        self._conn.send(wire.encode(message))

    def close(self) -> None:
        """Close the connection."""
        self._ended = True
        self._loop.call_soon(self._close)

    def _close(self) -> None:
        if self._opening:
            # Closing the socket here would leave it registered with the loop.
            self._connecting.cancel()
        else:
            self._conn.end(LinkLost("the connection was closed"))


class FrameRequests(MatchedRequests[PeerCall, PeerAnswer]):
    """Calls to one peer and their answers on one connection.

    Parameters
    ----------
    loop : Loop
        The loop that reads from the socket.
    address : Address
        Address to connect to.
    """

    _stream: _FrameClient

    def __init__(self, loop: Loop, address: Address) -> None:
        super().__init__(lambda on_message, on_end: _FrameClient(loop, address, on_message, on_end))

    @property
    def refused(self) -> bool:
        """Whether the peer speaks another protocol, or ended while it was connected to."""
        return self._stream.refused
