"""A service: a primary and its replicas, which speak the platform's wire protocol."""

import secrets
import socket
import threading
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

from standins2.record import Record
from standins2.store import Store

__all__ = ["Database", "Entry", "Service"]

HANDSHAKE_S = 0.012
HEARTBEAT_S = 1.2
# Time after which an old primary that reaches the new one follows it.
FOLLOW_S = 1.0


class Position(NamedTuple):
    """A position in a log."""

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


@dataclass(frozen=True)
class Entry:
    """A commit in a log."""

    position: Position
    writes: tuple[tuple[str, str], ...]
    request_id: str


@dataclass
class _Session:
    """A connection to a database."""

    tenant: str
    state: str = "I"
    read_only: bool = False
    # Term in which the transaction began.
    term: int = 0
    writes: list[tuple[str, str]] = field(default_factory=list)
    prepared: dict[str, tuple[str, str]] = field(default_factory=dict)


class _Refused(Exception):
    """A statement is answered with an error code."""

    def __init__(self, code: str, *, fails: bool = True) -> None:
        super().__init__(code)
        self.code = code
        self.fails = fails


class Database:
    """One database of a service; the service's lock guards its state."""

    def __init__(self, service: "Service", name: str, zone: str) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.primary = False
        self.term = 1
        self.up = True
        # While set, it receives nothing from the primary.
        self.deaf = False
        self.draining = False
        self.log: list[Entry] = []
        # When each commit of the log is applied here.
        self.apply_at: list[float] = []
        self.busy_slots = 0
        # Statements that wait for a slot.
        self.waiting = 0
        self.connections: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    @property
    def received(self) -> Position:
        """Position that it has received."""
        return self.log[-1].position if self.log else Position(0, 0)

    @property
    def applied(self) -> list[Entry]:
        """The commits that reads see."""
        now = time.monotonic()
        count = len(self.log)
        while count and self.apply_at[count - 1] > now:
            count -= 1
        return self.log[:count]

    @property
    def position(self) -> Position:
        """Position of the log that reads run on."""
        applied = self.applied
        return applied[-1].position if applied else Position(0, 0)

    def append(self, entries: list[Entry], lag_s: float) -> None:
        """Add commits to the log."""
        self.log += entries
        self.apply_at += [time.monotonic() + lag_s] * len(entries)

    def truncate(self, count: int) -> None:
        """Roll back what follows a number of commits."""
        del self.log[count:], self.apply_at[count:]

    def announce(self) -> None:
        """Write its entry into the store."""
        entry = {
            "service": self.service.name,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.service.slots,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "dbRole": "primary" if self.primary else "replica",
            "sequence": self.service.next_sequence(),
        }
        self.service.store.put(f"servers/{self.name}", entry)

    def drain(self) -> None:
        """Report that it is about to stop; it goes on serving."""
        self.draining = True
        self.announce()
        self.service.record.write(self.name, "draining")

    def crash(self) -> None:
        """Stop: its connections are reset, and new ones are refused."""
        with self.service.changed:
            self.up = False
            # Ends the wait of the thread that accepts.
            with suppress(OSError):
                self._listener.shutdown(socket.SHUT_RDWR)
            self._listener.close()
            for sock in list(self.connections):
                with suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)
        self.service.record.write(self.name, f"crashed at {self.received}")

    def restart(self) -> None:
        """Come back after a crash, with its log; a replica, as another one leads."""
        with self.service.changed:
            self._listener = socket.create_server(("127.0.0.1", self._port), backlog=256)
            threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()
            self.up = True
            self.primary = self.primary and self.service.primary in (None, self)
            self.service.record.write(self.name, f"back at {self.received}")
            self.service.replicate()
        self.announce()

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            if not self.up:
                sock.close()
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with sock, sock.makefile("rb") as stream, suppress(OSError, ValueError):
            words = stream.readline().decode("latin-1").rstrip("\r\n").split(" ")
            refusal = self._greet(words)
            if refusal:
                sock.sendall(f"ERR {refusal} {self.name}\r\n".encode())
                return
            self.connections.add(sock)
            try:
                time.sleep(HANDSHAKE_S)
                sock.sendall(f"READY I {self.position}\r\n".encode())
                self._answer_queries(sock, stream, _Session(words[2]))
            finally:
                self.connections.discard(sock)

    def _greet(self, words: list[str]) -> str:
        expected = [self.service.name, self.name]
        if words[0] != "CONNECT" or [words[1], *words[3:]] != expected[: len(words) - 2]:
            return "MOVED"
        return "MAXCONN" if len(self.connections) >= self.service.max_connections else ""

    def _answer_queries(self, sock: socket.socket, stream: object, session: _Session) -> None:
        while line := stream.readline().decode("latin-1").rstrip("\r\n"):
            if line.startswith("QUIT"):
                return
            _, request_id, text = line.split(" ", 2)
            try:
                rows = self._run(session, request_id, text)
                signature = "-" if text.startswith(("STATUS", "STEPDOWN")) else secrets.token_hex(8)
                body = "".join(f"ROW {row}\r\n" for row in rows) + f"DONE {signature}\r\n"
            except _Refused as exc:
                if exc.fails and session.state == "T":
                    session.state = "E"
                body = f"ERR {exc.code} {self.name}\r\n"
            if not self.up:
                return
            answer = f"{body}READY {session.state} {self.position}\r\n"
            sock.sendall(answer.encode("latin-1"))

    def _run(self, session: _Session, request_id: str, text: str) -> list[str]:
        words = text.split(" ")
        if words[0] in ("STATUS", "STEPDOWN"):
            return [self._tell_status(words)]
        if words[0] == "RESET":
            session.prepared.clear()
            return []
        if words[0] in ("SET", "PREPARE", "DEALLOC"):
            return self._set_up(session, words)
        with self.service.changed:
            if words[0] == "WAITLSN":
                term, _, number = words[1].partition(".")
                if self.position < Position(int(term), int(number)):
                    raise _Refused("LAGGING", fails=False)
                words = words[2:]
        if words[0] in ("BEGIN", "ROLLBACK"):
            return self._delimit(session, request_id, words)
        self._occupy_slot()
        try:
            time.sleep(self.service.work_s)
            return self._work(session, request_id, words)
        finally:
            with self.service.changed:
                self.busy_slots -= 1
                self.service.changed.notify_all()

    def _occupy_slot(self) -> None:
        """Wait for a slot in the queue; refuse if that is full."""
        with self.service.changed:
            if self.waiting >= self.service.queue:
                raise _Refused("BUSY", fails=False)
            self.waiting += 1
            self.service.changed.wait_for(lambda: self.busy_slots < self.service.slots)
            self.waiting -= 1
            self.busy_slots += 1

    def _tell_status(self, words: list[str]) -> str:
        with self.service.changed:
            if words[0] == "STEPDOWN" and self.primary and self.term < int(words[1]):
                self.primary = False
                self.service.record.write(self.name, f"stepped down at {self.received}")
            if self.busy_slots >= self.service.slots:
                raise _Refused("BUSY", fails=False)
            role = "primary" if self.primary else "replica"
            count = len(self.connections)
            return f"{role} {self.term} {self.received} 0 0 {self.busy_slots} {count}"

    def _set_up(self, session: _Session, words: list[str]) -> list[str]:
        if words[0] == "PREPARE":
            session.prepared[words[1]] = (words[2], words[3])
        return []

    def _delimit(self, session: _Session, request_id: str, words: list[str]) -> list[str]:
        with self.service.changed:
            if words[0] == "BEGIN":
                session.read_only = words[1:] == ["FETCH"]
                if not session.read_only and not self.primary:
                    raise _Refused("READONLY", fails=False)
                session.state, session.term = "T", self.term
            else:
                session.state = "I"
            session.writes.clear()
        self.service.record.write(self.name, f"{' '.join(words)} {request_id}")
        return []

    def _work(self, session: _Session, request_id: str, words: list[str]) -> list[str]:
        if words[0] == "EXEC":
            if words[1] not in session.prepared:
                raise _Refused("NOSTMT")
            words = [session.prepared[words[1]][0], *words[2:]]
        match words:
            case ["FETCH", item]:
                return self._fetch(session, request_id, item)
            case ["PUT", item, *data]:
                return self._put(session, request_id, (item, " ".join(data)))
            case ["COMMIT"]:
                writes, term = tuple(session.writes), session.term
                session.state, session.writes = "I", []
                if writes:
                    self._commit(writes, request_id, term)
                else:
                    self.service.record.write(self.name, f"COMMIT {request_id} (no writes)")
                return []
            case _:
                raise _Refused("FAILED")

    def _fetch(self, session: _Session, request_id: str, item: str) -> list[str]:
        with self.service.changed:
            self._check_term(session)
            found = [
                data for entry in self.applied for name, data in entry.writes if name == item
            ] + [data for name, data in session.writes if name == item]
            self.service.reads[request_id] = (self.name, self.position)
            self.service.record.write(self.name, f"FETCH {item} {request_id} at {self.position}")
            return found[-1:]

    def _check_term(self, session: _Session) -> None:
        is_plain = session.state == "T" and not session.read_only
        if is_plain and (not self.primary or self.term != session.term):
            raise _Refused("READONLY")

    def _put(self, session: _Session, request_id: str, write: tuple[str, str]) -> list[str]:
        if session.state == "T":
            with self.service.changed:
                self._check_term(session)
                session.writes.append(write)
            self.service.record.write(self.name, f"PUT {write[0]} {request_id} in transaction")
        else:
            self._commit((write,), request_id, None)
        return []

    def _commit(
        self, writes: tuple[tuple[str, str], ...], request_id: str, term: int | None
    ) -> None:
        with self.service.changed:
            if not self.primary or term not in (None, self.term):
                raise _Refused("READONLY", fails=False)
            entry = Entry(Position(self.term, self.received.number + 1), writes, request_id)
            self.append([entry], 0.0)
            self.service.commits[request_id] = (self.service.record.now, self)
            self.service.replicate()
            self.service.record.write(
                self.name, f"commit {entry.position} {writes[0][0]} {request_id}"
            )
            if self.service.sync_replicas and not self.service.await_replica(self, entry):
                raise _Refused("TIMEOUT")


class Service:
    """A primary and its replicas.

    Parameters
    ----------
    store : Store
        The store in which they announce themselves.
    record : Record
        The record of the run.
    sync_replicas : int
        Replicas that have received a commit before it is acknowledged.
    zones : list of str
        Zone of each database; the first one begins as the primary.
    """

    name = "valuation"
    slots = 3
    queue = 24
    max_connections = 21
    work_s = 0.008
    lag_s = 0.008
    promote_s = 0.3

    def __init__(
        self, store: Store, record: Record, zones: list[str], *, sync_replicas: int = 0
    ) -> None:
        self.store = store
        self.record = record
        self.sync_replicas = sync_replicas
        self.changed = threading.Condition(threading.RLock())
        # Database and position of the log at each read, by request id.
        self.reads: dict[str, tuple[str, Position]] = {}
        # Time and database of each commit, by request id.
        self.commits: dict[str, tuple[float, Database]] = {}
        # Each database that was promoted, when it began to lead, and its log at that moment.
        self.promoted: list[tuple[float, Database, list[Entry]]] = []
        self._sequence = 0
        self._closed = threading.Event()
        self.databases = [
            Database(self, f"i-{number}{secrets.token_hex(3)}", zone)
            for number, zone in enumerate(zones, 1)
        ]
        self.databases[0].primary = True
        with self.changed:
            self.databases[0].append([Entry(Position(1, 1), (("0", "start"),), "-")], 0.0)
            self.replicate()
        threading.Thread(target=self._heartbeat, daemon=True).start()
        for database in self.databases:
            database.announce()

    def close(self) -> None:
        """Stop all databases."""
        self._closed.set()
        for database in self.databases:
            database.close()

    @property
    def primary(self) -> Database | None:
        """The running primary of the latest term."""
        running = [each for each in self.databases if each.primary and each.up]
        return max(running, key=lambda each: each.term, default=None)

    def next_sequence(self) -> int:
        """Return a number that grows."""
        self._sequence += 1
        return self._sequence

    def _heartbeat(self) -> None:
        missed: dict[str, int] = {}
        while not self._closed.wait(HEARTBEAT_S):
            for database in self.databases:
                if database.up:
                    database.announce()
                    continue
                missed[database.name] = missed.get(database.name, 0) + 1
                if missed[database.name] == 3:
                    self.store.remove(f"servers/{database.name}")

    def replicate(self) -> None:
        """Copy the primary's log to the replicas that receive it; with the lock held."""
        primary = self.primary
        if primary is None:
            return
        for replica in self.databases:
            if replica is primary or not replica.up or replica.deaf or replica.primary:
                continue
            common = 0
            while (
                common < min(len(replica.log), len(primary.log))
                and replica.log[common] == primary.log[common]
            ):
                common += 1
            replica.truncate(common)
            replica.append(primary.log[common:], self.lag_s)
            replica.term = primary.term
        self.changed.notify_all()

    def await_replica(self, primary: Database, entry: Entry) -> bool:
        """Wait until a replica has received a commit; with the lock held."""
        return self.changed.wait_for(
            lambda: any(
                entry in each.log for each in self.databases if each is not primary and each.up
            ),
            1.0,
        )

    def promote(self, service: str, name: str) -> int:
        """Promote a database, as the platform does; return the status of the answer."""
        with self.changed:
            found = [each for each in self.databases if each.name == name and each.up]
            if service != self.name or not found:
                return 409
            if found[0] is self.primary:
                return 200
        threading.Timer(self.promote_s, self._lead, found).start()
        return 200

    def _lead(self, database: Database) -> None:
        with self.changed:
            if not database.up or database is self.primary:
                return
            database.term = max(each.term for each in self.databases) + 1
            database.primary = True
            self.promoted.append((self.record.now, database, list(database.log)))
            self.record.write(database.name, f"leads term {database.term} with {database.received}")
            self.replicate()
        database.announce()
        threading.Timer(FOLLOW_S, self._follow, [database]).start()

    def _follow(self, leader: Database) -> None:
        with self.changed:
            for database in self.databases:
                if database.up and database.primary and database.term < leader.term:
                    database.primary = False
            self.replicate()
        for database in self.databases:
            if database.up:
                database.announce()
