"""Clients that record every request and what they saw of its answer."""

import random
import threading
import time
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field

from soak.fleet import Fleet
from tests.test_edge_program import Caller

__all__ = ["Client", "Request"]

PAUSE_S, LONG_PAUSE_S, LONG_PAUSE_PART = 0.25, 2.0, 0.04
TRANSACTION_PART, ROLLBACK_PART = 0.25, 0.1
SESSION_REQUESTS = 60


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
    ended_at: float = 0.0
    lines: list[str] = field(default_factory=list)

    @property
    def is_answered(self) -> bool:
        """True if the answer is complete."""
        return bool(self.lines) and self.lines[-1].startswith("READY ")

    @property
    def code(self) -> str:
        """Code of the answer's error, or an empty string."""
        return next((line.split(" ")[1] for line in self.lines if line.startswith("ERR ")), "")


class Client:
    """Sends requests in sessions with the databases and keys given, until it is stopped."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        choices: list[tuple[str, str]],
        *,
        max_requests: int = SESSION_REQUESTS,
    ) -> None:
        self.requests: list[Request] = []
        self._max_requests = max_requests
        self._fleet, self._name, self._choices = fleet, name, choices
        self._rng = random.Random(f"{fleet.seed}/{name}")
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def stop(self) -> None:
        """End the client after the request that is under way."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._pause()
            with suppress(OSError), ExitStack() as stack:
                self._use_session(stack)

    def _pause(self) -> None:
        is_long = self._rng.random() < LONG_PAUSE_PART
        self._stopping.wait(self._rng.uniform(0, LONG_PAUSE_S if is_long else PAUSE_S))

    def _use_session(self, stack: ExitStack) -> None:
        edge, names = self._rng.choice(self._fleet.edges), self._rng.choice(self._choices)
        self._place = (edge.name, edge.incarnation, *names)
        self._data, self._state = (), "I"
        now = time.monotonic()
        self._caller = Caller(edge.frontend, *names)
        stack.callback(self._caller.sock.close)
        stack.callback(self._caller.stream.close)
        greeting = Request("-", *self._place, "CONNECT", (), False, now, time.monotonic())
        greeting.lines = [self._caller.greeting]
        self.requests.append(greeting)
        if not greeting.is_answered:
            return
        self._query("PREPARE w PUT q2c")
        for _ in range(self._rng.randint(1, self._max_requests)):
            if self._stopping.is_set():
                return
            self._pause()
            is_single = self._rng.random() > TRANSACTION_PART
            (self._run_statement if is_single else self._run_transaction)()

    def _query(self, text: str, *, writes: bool = False) -> str:
        """Send a statement, in which ``{}`` stands for its id; return the error's code."""
        request_id = f"{self._name}x{len(self.requests) + 1}"
        self._data += (request_id,) if writes else ()
        text, in_transaction = text.format(request_id), self._state != "I"
        now = time.monotonic()
        req = Request(request_id, *self._place, text, self._data, in_transaction, now)
        self.requests.append(req)
        with suppress(OSError):
            req.lines = self._caller.query(text, request_id)
        req.ended_at = time.monotonic()
        if not req.is_answered:
            raise ConnectionResetError
        self._state = req.lines[-1].split(" ")[1]
        self._data = () if self._state == "I" else self._data
        return req.code

    def _run_statement(self) -> str:
        item = f"i{self._rng.randrange(8)}"
        match self._rng.randrange(8):
            case 0 | 1 | 2:
                return self._query(f"FETCH {item}")
            case 3 | 4:
                return self._query(f"PUT {item} {{}}", writes=True)
            case 5 | 6:
                return self._query(f"EXEC w {item} {{}}", writes=True)
            case _:
                return self._query(f"SET lang {item}")

    def _run_transaction(self) -> None:
        if self._query("BEGIN"):
            return
        for _ in range(self._rng.randint(1, 4)):
            self._pause()
            if self._run_statement():
                self._query("ROLLBACK")
                return
        self._pause()
        self._query("ROLLBACK" if self._rng.random() < ROLLBACK_PART else "COMMIT")
