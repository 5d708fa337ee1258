"""Clients over the session protocol, and the record of what they sent and got."""

import itertools
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

__all__ = ["Attempt", "Client", "Record", "Writer"]

ANSWER_TIMEOUT_S = 5.0


@dataclass
class Attempt:
    """A statement that a client sent, and the lines that it got."""

    request_id: str
    text: str
    edge: str
    sent_at: float
    ended_at: float | None = None
    lines: list[str] = field(default_factory=list)

    @property
    def is_done(self) -> bool:
        """True if it was answered with success."""
        return any(line.startswith("DONE ") for line in self.lines)

    @property
    def error(self) -> str:
        """The code of the error that it was answered with; empty without one."""
        return next((line.split(" ")[1] for line in self.lines if line.startswith("ERR ")), "")


class Record:
    """What was sent, answered and run, and what was done to the processes."""

    def __init__(self) -> None:
        self.began = time.monotonic()
        self._lock = threading.Lock()
        self._lines: list[tuple[float, str]] = []
        self.attempts: list[Attempt] = []

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line."""
        at = time.monotonic() if at is None else at
        with self._lock:
            self._lines.append((at, text))

    def add(self, attempt: Attempt) -> None:
        """Add a statement of a client when it has ended."""
        with self._lock:
            self.attempts.append(attempt)
        answer = " | ".join(attempt.lines) or "no answer"
        took_ms = (attempt.ended_at - attempt.sent_at) * 1000
        text = f"client {attempt.edge} {attempt.request_id} {attempt.text} -> {answer}"
        self.note(f"{text} ({took_ms:.0f} ms)", attempt.sent_at)

    def ran(self, database: object, tenant: str, request_id: str, text: str, answer: str) -> None:
        """Add a statement that a database has run."""
        ended = "-" if answer is None else answer.split("\r\n")[0]
        self.note(f"database {database.name} {tenant} {request_id} {text} -> {ended}")

    def write(self, path: Path) -> None:
        """Write all lines in the order of their times."""
        with self._lock:
            lines = sorted(self._lines)
        text = "".join(f"{at - self.began:9.3f} {line}\n" for at, line in lines)
        path.write_text(text, encoding="utf-8")


class Client:
    """A session at one entry instance.

    Parameters
    ----------
    edge : Edge
        The instance.
    route, key
        Database name and key of the greeting.
    record : Record
        Receives what is sent and answered.
    """

    _ids = itertools.count(1)

    def __init__(self, edge: object, route: str, key: str, record: Record) -> None:
        self._edge, self._record = edge, record
        self.sock = socket.create_connection((edge.host, edge.frontend), ANSWER_TIMEOUT_S)
        self._stream = self.sock.makefile("rb")
        self.sock.sendall(f"CONNECT {route} {key}\r\n".encode())
        self.greeting = self._read()

    def _read(self) -> str:
        return self._stream.readline().decode("latin-1").removesuffix("\r\n")

    def send(self, text: str) -> Attempt:
        """Send a statement, and return it without its answer."""
        request_id = f"r{next(self._ids):06d}"
        attempt = Attempt(request_id, text, self._edge.name, time.monotonic())
        self.sock.sendall(f"QUERY {request_id} {text}\r\n".encode())
        return attempt

    def receive(self, attempt: Attempt) -> Attempt:
        """Wait for the answer to a statement; raises ``OSError`` if there is none."""
        try:
            while not attempt.lines or not attempt.lines[-1].startswith("READY "):
                line = self._read()
                if not line:
                    raise ConnectionError("closed without an answer")
                attempt.lines.append(line)
            return attempt
        finally:
            attempt.ended_at = time.monotonic()
            self._record.add(attempt)

    def run(self, text: str) -> Attempt:
        """Send a statement and wait for its answer."""
        return self.receive(self.send(text))

    def close(self) -> None:
        """End the session."""
        self._stream.close()
        self.sock.close()


class Writer(threading.Thread):
    """Writes items of its own until it is stopped, at another instance after each failure.

    Parameters
    ----------
    edges : list of Edge
        The instances.
    route, key
        Database name and key.
    record : Record
        Receives what is sent and answered.
    number : int
        Number of the writer.
    pause_s : float
        Time between two writes.
    """

    def __init__(
        self,
        edges: list[object],
        route: str,
        key: str,
        record: Record,
        number: int,
        pause_s: float = 0.005,
    ) -> None:
        super().__init__(daemon=True)
        self._open: Callable[[int], Client] = lambda turn: Client(
            edges[turn % len(edges)], route, key, record
        )
        self._number, self._pause_s = number, pause_s
        self._stopped = threading.Event()

    def run(self) -> None:
        """Write until :meth:`stop`."""
        rng, client, turn = random.Random(self._number), None, self._number
        for count in itertools.count():
            if self._stopped.wait(self._pause_s):
                break
            try:
                client = client or self._open(turn)
                answer = client.run(f"PUT w{self._number}-{count} d{count}")
                if answer.error:
                    self._stopped.wait(0.02 + 0.05 * rng.random())
            except OSError:
                if client is not None:
                    client.close()
                client, turn = None, turn + 1
                self._stopped.wait(0.05)
        if client is not None:
            client.close()

    def stop(self) -> None:
        """Stop after the write that is under way."""
        self._stopped.set()
