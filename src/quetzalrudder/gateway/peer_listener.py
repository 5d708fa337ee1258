"""Accepts the connections of peers on one port, for gRPC and for length-prefixed messages.

Instances of earlier builds speak gRPC only, and call each other beside those of this build while
machines are replaced one after the other. The first bytes of a connection tell the protocol.
"""

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress

from grpclib._typing import IServable
from grpclib.server import Server

from quetzalrudder.bridge import Loop
from quetzalrudder.codec import CheckedCodec, limit_message_size
from quetzalrudder.exceptions import BindFailed
from quetzalrudder.gateway.peer_frames import GREETING, RECEIVE_BYTES, FrameConnection, set_options
from quetzalrudder.utils import Address

__all__ = ["PeerListener"]

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 512
# Connections accepted in one turn of the loop.
MAX_ACCEPTED_AT_ONCE = 32
# Time within which a peer has to send the first bytes on a connection.
FIRST_BYTES_TIMEOUT_S = 5.0
START_TIMEOUT_S = 5.0


class _ReplayingProtocol(asyncio.Protocol):
    """Gives a gRPC connection to its protocol, after the bytes that were read before."""

    def __init__(self, protocol: asyncio.Protocol, received: bytes) -> None:
        self._protocol = protocol
        self._received = received

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.set_protocol(self._protocol)
        self._protocol.connection_made(transport)
        self._protocol.data_received(self._received)


class PeerListener:
    """Context manager that accepts peers on the loop.

    Entering it raises ``BindFailed`` if the address cannot be used.

    Parameters
    ----------
    loop : Loop
        The loop that owns the sockets.
    address : Address
        Address to listen on.
    service : IServable
        Serves the connections that speak gRPC.
    accept : Callable
        Given the socket of a connection that carries length-prefixed messages; returns the
        connection that serves it.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        service: IServable,
        accept: Callable[[socket.socket], FrameConnection],
    ) -> None:
        self._loop = loop
        self._address = address
        self._service = service
        self._accept_frames = accept
        self._grpc: Server | None = None
        self._listener: socket.socket | None = None
        # What closes each open connection.
        self._unknown: set[socket.socket] = set()
        self._transports: set[asyncio.BaseTransport] = set()
        self._frames: set[FrameConnection] = set()

    @property
    def unsent_bytes(self) -> int:
        """Bytes of length-prefixed messages that the sockets have not taken yet."""
        return sum(conn.unsent_bytes for conn in list(self._frames) if not conn.ended)

    def __enter__(self) -> "PeerListener":
        self._loop.run(self._start(), timeout_s=START_TIMEOUT_S)
        return self

    def __exit__(self, *exc_info: object) -> None:
        with suppress(Exception):
            self._loop.run(self._stop(), timeout_s=START_TIMEOUT_S)

    async def _start(self) -> None:
        self._grpc = Server([limit_message_size(self._service)], codec=CheckedCodec())
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((self._address.host, self._address.port))
            listener.listen(LISTEN_BACKLOG)
        except OSError as exc:
            listener.close()
            raise BindFailed(exc.strerror or str(exc), place=str(self._address)) from exc
        listener.setblocking(False)
        self._listener = listener
        asyncio.get_running_loop().add_reader(listener, self._accept)

    async def _stop(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
        for sock in list(self._unknown):
            self._drop(sock)
        for transport in self._transports:
            transport.close()
        for conn in list(self._frames):
            conn.close()

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(MAX_ACCEPTED_AT_ONCE):
            try:
                sock, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as exc:
                log.warning("accepting a peer failed", extra={"reason": repr(exc)})
                return
            sock.setblocking(False)
            set_options(sock)
            self._unknown.add(sock)
            loop.add_reader(sock, self._read_first_bytes, sock)
            loop.call_later(FIRST_BYTES_TIMEOUT_S, self._drop, sock)

    def _drop(self, sock: socket.socket) -> None:
        """Close a connection whose protocol is not known."""
        if sock in self._unknown:
            self._unknown.discard(sock)
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()

    def _read_first_bytes(self, sock: socket.socket) -> None:
        try:
            received = sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            received = b""
        if not received:
            self._drop(sock)
            return
        self._unknown.discard(sock)
        loop = asyncio.get_running_loop()
        loop.remove_reader(sock)
        self._frames = {conn for conn in self._frames if not conn.ended}
        if GREETING.startswith(received[: len(GREETING)]):
            conn = self._accept_frames(sock)
            self._frames.add(conn)
            conn.start(received)
        else:
            loop.create_task(self._serve_grpc(sock, received))

    async def _serve_grpc(self, sock: socket.socket, received: bytes) -> None:
        # The server's own listener would not have read the first bytes.
        protocol = _ReplayingProtocol(self._grpc._protocol_factory(), received)
        loop = asyncio.get_running_loop()
        try:
            transport, _ = await loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError as exc:
            log.warning("serving a peer failed", extra={"reason": repr(exc)})
            sock.close()
            return
        self._transports = {known for known in self._transports if not known.is_closing()}
        self._transports.add(transport)
