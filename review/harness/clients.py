"""Clients that speak the session protocol and record what they send and receive."""

import contextlib
import itertools
import socket
from dataclasses import dataclass, field

from harness.record import Record

__all__ = ["Answer", "Session"]

ANSWER_TIMEOUT_S = 12.0


@dataclass
class Answer:
    """The answer to a request as the client saw it; without lines the connection ended."""

    request_id: str
    lines: list[str] = field(default_factory=list)

    @property
    def code(self) -> str:
        """Code of the error; empty for a success, ``CLOSED`` without a complete answer."""
        if not self.lines or not self.lines[-1].startswith("READY "):
            return "CLOSED"
        return next((line.split(" ")[1] for line in self.lines if line.startswith("ERR ")), "")

    @property
    def state(self) -> str:
        """State of the session after the answer."""
        return self.lines[-1].split(" ")[1] if self.code != "CLOSED" else ""

    @property
    def rows(self) -> list[str]:
        """Rows of the answer."""
        return [line[4:] for line in self.lines if line.startswith("ROW ")]


class Session:
    """A connection to an edge.

    Parameters
    ----------
    port : int
        Port of the edge.
    database, key : str
        What the client names in CONNECT.
    name : str
        Prefix of the ids of its requests.
    record : Record
        Receives what is sent and answered.
    """

    def __init__(self, port: int, database: str, key: str, name: str, record: Record) -> None:
        self._record, self.name, self.database = record, name, database
        self._ids = itertools.count(1)
        self._sock = socket.create_connection(("127.0.0.1", port), ANSWER_TIMEOUT_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._stream = self._sock.makefile("rb")
        self._sock.sendall(f"CONNECT {database} {key}\r\n".encode("latin-1"))
        self.greeting = self._read()

    def _read(self) -> str:
        try:
            line = self._stream.readline()
        except OSError:
            return ""
        return line.decode("latin-1").rstrip("\r\n")

    def query(self, text: str, request_id: str = "") -> Answer:
        """Send a statement and return its answer."""
        answer = Answer(request_id or f"{self.name}x{next(self._ids)}")
        sent = self._record.add(
            "sent", id=answer.request_id, session=self.name, text=text, database=self.database
        )
        try:
            self._sock.sendall(f"QUERY {answer.request_id} {text}\r\n".encode("latin-1"))
        except OSError:
            self._record.add("answered", id=answer.request_id, code="CLOSED", lines=[])
            return answer
        while not answer.lines or not answer.lines[-1].startswith("READY "):
            line = self._read()
            if not line:
                break
            answer.lines.append(line)
        self._record.add(
            "answered",
            id=answer.request_id,
            session=self.name,
            sent_at=sent["at"],
            code=answer.code,
            lines=answer.lines,
        )
        return answer

    def close(self) -> None:
        """Leave the session."""
        with contextlib.suppress(OSError):
            self._sock.sendall(b"QUIT\r\n")
        self._stream.close()
        self._sock.close()
