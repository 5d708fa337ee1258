"""The platform's promotion call, with a listening socket that can be cut off."""

import json
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from standins2.record import Record

__all__ = ["Call", "Provider"]

# Connections by which the queue of new connections is filled.
MAX_FILLERS = 8
FILL_TIMEOUT_S = 0.05
ACCEPT_S = 0.1


@dataclass(frozen=True)
class Call:
    """A promotion call as the platform received it."""

    at: float
    holder: str
    token: int
    service: str
    target: str


class Provider:
    """Receives promotion calls.

    While it is cut off, its queue of new connections is full, so that opening packets are dropped
    and sent again by their senders.

    Parameters
    ----------
    promote : Callable
        Promotes a database, given service and id; returns the status of the answer.
    record : Record
        The record of the run.
    """

    def __init__(self, promote: Callable[[str, str], int], record: Record) -> None:
        self._promote = promote
        self._record = record
        self.calls: list[Call] = []
        # Time that each call takes that arrives now.
        self.delay_s = 0.0
        self._lock = threading.Lock()
        self._open = threading.Event()
        self._open.set()
        self._accepted: set[socket.socket] = set()
        self._fillers: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def cut_off(self) -> None:
        """Take no new connections; the present ones end."""
        self._open.clear()
        self._fill()
        # The thread that waits in accept takes one more connection, and keeps it for later.
        time.sleep(ACCEPT_S)
        self._fill()
        with self._lock:
            for sock in self._accepted:
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
        self._record.write("provider", "cut off")

    def _fill(self) -> None:
        """Open connections until none is taken any more."""
        for _ in range(MAX_FILLERS):
            filler = socket.socket()
            filler.settimeout(FILL_TIMEOUT_S)
            self._fillers.append(filler)
            try:
                filler.connect(self._listener.getsockname())
            except TimeoutError:
                return

    def restore(self) -> None:
        """Take connections again."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._open.set()
        self._record.write("provider", "reachable again")

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._open.wait()
            with self._lock:
                self._accepted.add(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, sock.makefile("rb") as stream, suppress(OSError, ValueError):
            while request := stream.readline():
                headers = {}
                while (line := stream.readline().strip()) and b":" in line:
                    name, _, value = line.decode().partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = json.loads(stream.read(int(headers.get("content-length", 0))) or b"{}")
                status = 404
                if request.startswith(b"POST /promote "):
                    status = self._receive(headers, body)
                head = f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                sock.sendall(f"{head}Content-Length: 2\r\n\r\n{{}}".encode())
        with self._lock:
            self._accepted.discard(sock)

    def _receive(self, headers: dict[str, str], body: dict) -> int:
        holder, token = headers["holder"], int(headers["fencing-token"])
        with self._lock:
            call = Call(self._record.now, holder, token, body["service"], body["id"])
            self.calls.append(call)
        if self.delay_s:
            self._record.write(
                "provider", f"got promote {call.target} holder={holder} token={token}"
            )
            time.sleep(self.delay_s)
        status = self._promote(call.service, call.target)
        self._record.write(
            "provider", f"promote {call.target} holder={holder} token={token}: {status}"
        )
        return status
