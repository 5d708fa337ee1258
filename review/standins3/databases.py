"""Stand-ins of the databases of one service: a primary, and replicas that receive its commits."""

import itertools
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

from review.standins3.store import Store

__all__ = ["Commit", "Database", "Service"]

HEARTBEAT_S = 1.2
# An entry is removed after three heartbeat intervals of silence.
SILENCE_S = 3 * HEARTBEAT_S
PROMOTE_S = 0.3
RUN_S = 0.002
# How far the replicas are behind: the users' site files say 8 ms in the mean and 48 ms at most.
LAGS_S = (0.008, 0.008, 0.04)


class Commit(NamedTuple):
    """One commit that writes: its position, and the ids and items of its writes."""

    term: int
    number: int
    request_ids: tuple[str, ...]
    writes: tuple[tuple[str, str], ...]


@dataclass(eq=False)
class _Session:
    """A connection to a database."""

    sock: socket.socket
    tenant: str
    state: str = "I"
    is_read_only: bool = False
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, str] = field(default_factory=dict)
    pending: list[tuple[str, str, str]] = field(default_factory=list)


class Database:
    """One database of a service, on an address of its own.

    Parameters
    ----------
    service : Service
        The service that it belongs to.
    name, host, zone
        Its id, its loopback address and its zone.
    """

    def __init__(self, service: "Service", name: str, host: str, zone: str) -> None:
        self.service = service
        self.name, self.zone = name, zone
        self.listener = socket.create_server((host, 0), backlog=256)
        self.host, self.port = self.listener.getsockname()
        self.log: list[Commit] = []
        self.term = 1
        self.is_primary = False
        self.is_up = True
        self.is_draining = False
        # While it is, the replica receives nothing.
        self.is_deaf = False
        self.born = round(time.time() * 1000)
        self.sequence = 0
        # When it writes to the store again; it is silent towards the store before that.
        self.next_beat = 0.0
        self.last_beat = 0.0
        self._sessions: set[_Session] = set()
        self.lag_s = 0.008
        # What is on its way here: when it arrives, its sender, and the length of the log.
        self.shipped: deque[tuple[float, Database, int]] = deque()
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    @property
    def position(self) -> tuple[int, int]:
        """Position of the log: the term and the number of the newest commit."""
        return self.log[-1][:2] if self.log else (self.term, 0)

    def announce(self, now: float) -> None:
        """Write the entry in the store, if the store is there."""
        store = self.service.store
        if not self.is_up or store.is_away:
            return
        self.sequence += 1
        self.last_beat, self.next_beat = now, now + HEARTBEAT_S
        entry = {
            "service": self.service.name,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "draining" if self.is_draining else "ready",
            "coldLeftMs": 0,
            "sequence": self.sequence,
            "born": self.born,
            "dbRole": "primary" if self.is_primary else "replica",
        }
        store.put(f"servers/{self.name}", entry)

    def crash(self) -> None:
        """Stop at once: connections are reset, and what has not been sent is not sent."""
        with self.service.lock:
            self.is_up = False
            # Ends the wait for connections, so that the port is free at once.
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            sessions, self._sessions = self._sessions, set()
            self.service.received.notify_all()
        for session in sessions:
            with suppress(OSError):
                session.sock.shutdown(socket.SHUT_RDWR)
            session.sock.close()

    def recover(self) -> None:
        """Start again with the log, at the same address.

        If another database was promoted meanwhile, it follows that one, and rolls back what that
        one does not have.
        """
        with self.service.lock:
            self.listener = socket.create_server((self.host, self.port), backlog=256)
            newest = max(self.service.databases, key=lambda each: each.term)
            if newest.term != self.term:
                self.follow(newest)
            self.is_up = True
        threading.Thread(target=self._accept, args=(self.listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError, ValueError), sock, sock.makefile("rb") as stream:
            _, service, tenant, *expected = _read(stream).split(" ")
            if service != self.service.name or expected not in ([], [self.name]):
                sock.sendall(b"ERR MOVED another database\r\n")
                return
            session = _Session(sock, tenant)
            with self.service.lock:
                if not self.is_up:
                    return
                self._sessions.add(session)
            try:
                sock.sendall(f"READY I {self._place()}\r\n".encode())
                while (line := _read(stream)) not in ("", "QUIT"):
                    _, request_id, text = line.split(" ", 2)
                    answer = self._run(session, request_id, text)
                    if answer is None:
                        return
                    sock.sendall(answer.encode("latin-1"))
            finally:
                with self.service.lock:
                    self._sessions.discard(session)

    def _place(self) -> str:
        return ".".join(map(str, self.position))

    def _run(self, session: _Session, request_id: str, text: str) -> str | None:
        """Return the answer to a query; None if the database goes down meanwhile."""
        needed = None
        if text.startswith("WAITLSN "):
            _, place, text = text.split(" ", 2)
            needed = tuple(map(int, place.split(".")))
        word, _, rest = text.partition(" ")
        if word in ("FETCH", "PUT", "EXEC", "COMMIT"):
            time.sleep(RUN_S)
        with self.service.lock:
            if not self.is_up:
                return None
            if needed is not None and self.position < needed:
                return self._end(session, "ERR LAGGING", self.name)
            answer = self._dispatch(session, request_id, word, rest)
            if word in ("FETCH", "PUT", "EXEC", "COMMIT", "BEGIN"):
                self.service.record(self, session.tenant, request_id, text, answer)
            return answer

    def _dispatch(self, session: _Session, request_id: str, word: str, rest: str) -> str | None:
        match word:
            case "STATUS" | "STEPDOWN" | "PAUSE" | "RESUME":
                if word == "STEPDOWN" and self.term < int(rest):
                    self.is_primary = False
                role = "primary" if self.is_primary else "replica"
                row = (
                    f"ROW {role} {self.term} {self._place()} {self.term} 0 0 {len(self._sessions)}"
                )
                return f"{row}\r\n" + self._end(session, "DONE", "-")
            case "RESET":
                session.values, session.prepared = {}, {}
            case "SET":
                name, _, session.values[name] = rest.partition(" ")
            case "PREPARE":
                name, kind, _ = rest.split(" ", 2)
                session.prepared[name] = kind
            case "DEALLOC":
                if session.prepared.pop(rest, None) is None:
                    return self._end(session, "ERR NOSTMT", rest)
            case "BEGIN":
                if not rest and not self.is_primary:
                    return self._end(session, "ERR READONLY", self.name)
                session.state, session.is_read_only = "T", bool(rest)
            case "ROLLBACK":
                session.state, session.pending = "I", []
            case "COMMIT":
                return self._commit(session)
            case "FETCH":
                return self._fetch(session, rest)
            case "PUT":
                return self._put(session, request_id, rest)
            case "EXEC":
                name, _, rest = rest.partition(" ")
                if name not in session.prepared:
                    return self._end(session, "ERR NOSTMT", name)
                if session.prepared[name] == "PUT":
                    return self._put(session, request_id, rest)
                return self._fetch(session, rest)
            case _:
                return self._end(session, "ERR MALFORMED", word)
        return self._end(session, "DONE", "-")

    def _fetch(self, session: _Session, item: str) -> str:
        data = next((d for _, i, d in reversed(session.pending) if i == item), None)
        if data is None:
            found = (d for commit in reversed(self.log) for i, d in commit.writes if i == item)
            data = next(found, "-")
        return f"ROW {data}\r\n" + self._end(session, "DONE", self._signature())

    def _put(self, session: _Session, request_id: str, rest: str) -> str | None:
        item, _, data = rest.partition(" ")
        if not self.is_primary or session.is_read_only and session.state == "T":
            return self._end(session, "ERR READONLY", self.name)
        if session.state == "T":
            session.pending.append((request_id, item, data))
            return self._end(session, "DONE", self._signature())
        return self._append(session, [(request_id, item, data)])

    def _commit(self, session: _Session) -> str | None:
        pending, session.pending, session.state = session.pending, [], "I"
        if not pending:
            return self._end(session, "DONE", self._signature())
        if not self.is_primary:
            return self._end(session, "ERR READONLY", self.name)
        return self._append(session, pending)

    def _append(self, session: _Session, writes: list[tuple[str, str, str]]) -> str | None:
        """Commit writes, and wait until enough replicas have received the commit."""
        ids = tuple(request_id for request_id, _, _ in writes)
        items = tuple((item, data) for _, item, data in writes)
        commit = Commit(self.term, self.position[1] + 1, ids, items)
        self.log.append(commit)
        term = self.term
        if term < self.service.primary().term:
            self.service.stale_ids.update(ids)
        self.service.ship(self)
        while self.is_up and self.service.holders(commit) <= self.service.sync_replicas:
            self.service.received.wait(1.0)
        if not self.is_up or not self.is_primary or self.term != term:
            return None
        return self._end(session, "DONE", self._signature())

    def _signature(self) -> str:
        return f"{self._place()}.{self.name}.{next(self.service.signatures):x}"

    def _end(self, session: _Session, word: str, rest: str) -> str:
        return f"{word} {rest}\r\nREADY {session.state} {self._place()}\r\n"

    def follow(self, primary: "Database") -> None:
        """Become a replica of a primary, and take its log over; called with the lock."""
        self.is_primary, self.term = False, primary.term
        self.log = list(primary.log)
        self.shipped.clear()

    def receive(self, sender: "Database", length: int) -> None:
        """Take commits over from the primary; called with the lock."""
        if self.is_up and not self.is_primary and not self.is_deaf and sender.term >= self.term:
            self.log += sender.log[len(self.log) : length]
            self.term = sender.term
            self.service.received.notify_all()


class Service:
    """A primary and its replicas.

    Parameters
    ----------
    name : str
        Name of the service.
    hosts : list of str
        A loopback address for each database; the first one is the primary.
    sync_replicas : int
        How many replicas have received a commit before it is acknowledged.
    record : Callable
        Given the database, the tenant, the id, the text and the answer of each statement.
    """

    def __init__(
        self,
        name: str,
        hosts: list[str],
        sync_replicas: int,
        record: Callable[..., None],
    ) -> None:
        self.name, self.sync_replicas, self.record = name, sync_replicas, record
        self.lock = threading.RLock()
        self.received = threading.Condition(self.lock)
        self.signatures = itertools.count(1)
        self.store: Store
        # Each promotion that took effect: its time, its database, and the ids in the log then.
        self.promotions: list[tuple[float, Database, frozenset[str]]] = []
        self.calls: list[tuple[float, str, str, int]] = []
        # How long an old primary goes on after a promotion; what it commits meanwhile.
        self.continues_s = 0.0
        self.stale_ids: set[str] = set()
        self.databases = [
            Database(self, f"i-{index}{name[:4]}", host, f"zone-{index}")
            for index, host in enumerate(hosts)
        ]
        for database, lag_s in zip(self.databases, LAGS_S, strict=True):
            database.lag_s = lag_s
        self.databases[0].is_primary = True

    def primary(self) -> Database:
        """Return the database that leads the newest term."""
        leading = [each for each in self.databases if each.is_primary]
        return max(leading or self.databases, key=lambda each: each.term)

    def holders(self, commit: Commit) -> int:
        """Return how many databases that are up have a commit."""
        return sum(each.is_up and commit in each.log[-400:] for each in self.databases)

    def ship(self, primary: Database) -> None:
        """Send the log to the replicas, each of which receives it a little later."""
        now = time.monotonic()
        for replica in self.databases:
            if replica is not primary:
                replica.shipped.append((now + replica.lag_s, primary, len(primary.log)))

    def deliver(self, now: float) -> None:
        """Let the replicas receive what has arrived."""
        with self.lock:
            for replica in self.databases:
                sender = None
                while replica.shipped and replica.shipped[0][0] <= now:
                    _, sender, length = replica.shipped.popleft()
                # What a primary that crashed has not sent is not received.
                if sender is not None and sender.is_up and sender.is_primary:
                    replica.receive(sender, length)

    def start_new(self, host: str, zone: str) -> Database:
        """Start the new database of a release, which comes before the old one drains."""
        with self.lock:
            name = f"i-{len(self.databases)}{self.name[:4]}"
            new = Database(self, name, host, zone)
            new.follow(self.primary())
            self.databases = [*self.databases, new]
        new.announce(time.monotonic())
        return new

    def run(self, stopped: threading.Event) -> None:
        """Deliver commits until ``stopped`` is set."""
        while not stopped.wait(0.001):
            self.deliver(time.monotonic())

    def beat(self, now: float) -> None:
        """Write the entries that are due, and remove those of silent databases."""
        for database in self.databases:
            if now >= database.next_beat:
                database.announce(now)
            if now - database.last_beat > SILENCE_S:
                self.store.delete(f"servers/{database.name}")

    def promote(self, service: str, name: str, holder: str, token: int) -> int:
        """Take a promotion call; it takes effect a little later."""
        found = next((each for each in self.databases if each.name == name), None)
        if service != self.name or found is None or not found.is_up:
            return 409
        self.calls.append((time.monotonic(), name, holder, token))
        threading.Timer(PROMOTE_S, self._take_lead, (found,)).start()
        return 200

    def _take_lead(self, database: Database) -> None:
        with self.lock:
            newest = max(each.term for each in self.databases)
            if not database.is_up or database.is_primary and database.term == newest:
                return
            database.term, database.is_primary = newest + 1, True
            ids = frozenset(each for commit in database.log for each in commit.request_ids)
            self.promotions.append((time.monotonic(), database, ids))
            for other in self.databases:
                if other.is_primary and other is not database and self.continues_s:
                    threading.Timer(self.continues_s, self._follow, (other,)).start()
                elif other is not database and other.is_up:
                    other.follow(database)
        database.announce(time.monotonic())

    def _follow(self, old: Database) -> None:
        with self.lock:
            newest = self.primary()
            if old.is_up and old.term < newest.term:
                old.follow(newest)


def _read(stream: object) -> str:
    """Return the next message without its CR LF; an empty text at the end."""
    return stream.readline().decode("latin-1").removesuffix("\r\n")
