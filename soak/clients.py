"""Clients that record every request and what they saw of its answer."""

import random
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field

from soak.fleet import Fleet

__all__ = ["Client", "Request"]

# Longer than any route's timeout.
ANSWER_TIMEOUT_S = 14.0
PAUSE_S = 0.25


@dataclass
class Request:
    """A request that was sent whole, and its answer as the client saw it."""

    request_id: str
    edge: str
    incarnation: int
    database: str
    key: str
    text: str
    # Data of all writes that the answer speaks of, those of a transaction included.
    data: tuple[str, ...]
    in_transaction: bool
    sent_at: float
    ended_at: float | None = None
    # Lines that were received; complete if the last one is READY, or ERR for CONNECT.
    lines: list[str] = field(default_factory=list)

    @property
    def is_answered(self) -> bool:
        """True if the answer is complete."""
        if not self.lines:
            return False
        return self.lines[-1].startswith(("READY ", "ERR ") if self.is_greeting else "READY ")

    @property
    def is_greeting(self) -> bool:
        """True for CONNECT."""
        return self.text.startswith("CONNECT ")

    @property
    def code(self) -> str:
        """Code of the answer's error, or an empty string."""
        errors = [line.split(" ")[1] for line in self.lines if line.startswith("ERR ")]
        return errors[0] if errors else ""


class Session:
    """One connection of a client."""

    def __init__(self, client: "Client", database: str, key: str) -> None:
        self._client = client
        self._names = (database, key)
        edge = client.rng.choice(client.fleet.edges)
        self._edge = (edge.name, edge.incarnation)
        self._data: tuple[str, ...] = ()
        self.in_transaction = False
        address = ("127.0.0.1", edge.process.frontend)
        self._sock = socket.create_connection(address, ANSWER_TIMEOUT_S)
        self._stream = self._sock.makefile("r", encoding="latin-1", newline="\r\n")

    def __enter__(self) -> "Session":
        return self

    def __exit__(self, *exc_info: object) -> None:
        with suppress(OSError):
            self._stream.close()
            self._sock.close()

    def connect(self) -> bool:
        """Send the greeting; return whether the session was accepted."""
        req = self._send("CONNECT {} {}".format(*self._names), "")
        return req.is_answered and not req.code

    def query(self, text: str, *, writes: bool = False) -> Request:
        """Send a statement, in which ``{}`` stands for its id, and read its answer.

        Raises
        ------
        ConnectionError
            The connection ended.
        """
        request_id = self._client.next_id()
        text = text.format(request_id)
        if writes:
            self._data += (request_id,)
        req = self._send(f"QUERY {request_id} {text}", request_id, text)
        if not req.is_answered:
            raise ConnectionResetError
        state = req.lines[-1].split(" ")[1]
        self.in_transaction = state == "T"
        if state == "I":
            self._data = ()
        return req

    def _send(self, line: str, request_id: str, text: str = "") -> Request:
        self._sock.sendall(f"{line}\r\n".encode("latin-1"))
        req = Request(
            request_id,
            *self._edge,
            *self._names,
            text or line,
            self._data,
            self.in_transaction,
            time.monotonic(),
        )
        self._client.requests.append(req)
        with suppress(OSError):
            while not req.is_answered:
                received = self._stream.readline()
                if not received.endswith("\r\n"):
                    break
                req.lines.append(received.strip())
        req.ended_at = time.monotonic()
        return req


class Client:
    """Sends requests in sessions of its own until it is stopped.

    Parameters
    ----------
    fleet : Fleet
        The processes that it connects to.
    name : str
        Prefix of its request ids.
    choices : list of tuple
        Databases and keys that it uses.
    """

    def __init__(self, fleet: Fleet, name: str, choices: list[tuple[str, str]]) -> None:
        self.fleet = fleet
        self.rng = random.Random(f"{fleet.seed}/{name}")
        self.requests: list[Request] = []
        self._name = name
        self._choices = choices
        self._stopping = threading.Event()
        self._number = 0
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def next_id(self) -> str:
        """Return a new request id."""
        self._number += 1
        return f"{self._name}x{self._number}"

    def stop(self) -> None:
        """End after the request that is under way."""
        self._stopping.set()

    def join(self) -> None:
        """Wait until the client has ended."""
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                with Session(self, *self.rng.choice(self._choices)) as session:
                    self._use(session)
            except OSError:
                self._pause()

    def _pause(self) -> None:
        # Few pauses are long, in which a session may be ended.
        self._stopping.wait(self.rng.uniform(0, 2.0 if self.rng.random() < 0.04 else PAUSE_S))

    def _use(self, session: Session) -> None:
        if not session.connect():
            self._pause()
            return
        session.query("PREPARE w PUT q2c")
        session.query("PREPARE r FETCH q1c")
        for _ in range(self.rng.randint(1, 60)):
            if self._stopping.is_set():
                return
            self._pause()
            if self.rng.random() < 0.25:
                self._run_transaction(session)
            else:
                self._run_statement(session)

    def _run_statement(self, session: Session) -> Request:
        item = f"i{self.rng.randrange(8)}"
        match self.rng.randrange(9):
            case 0 | 1 | 2:
                return session.query(f"FETCH {item}")
            case 3 | 4:
                return session.query(f"PUT {item} {{}}", writes=True)
            case 5 | 6:
                return session.query(f"EXEC w {item} {{}}", writes=True)
            case 7:
                return session.query(f"EXEC r {item}")
            case _:
                return session.query(f"SET lang {item}")

    def _run_transaction(self, session: Session) -> None:
        if session.query("BEGIN").code:
            return
        for _ in range(self.rng.randint(1, 4)):
            self._pause()
            if self._run_statement(session).code:
                session.query("ROLLBACK")
                return
        self._pause()
        session.query("COMMIT" if self.rng.random() < 0.9 else "ROLLBACK")
