"""Databases on loopback addresses, which replicate and are promoted as the pages say."""

import itertools
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from harness.record import Record
from harness.store import MetadataStore

__all__ = ["Database", "Entry", "Service"]

HEARTBEAT_S = 1.2
REPLICA_LAG_S = 0.008
# How long a replaced primary that reaches the new one continues.
OLD_PRIMARY_CONTINUES_S = 1.0


class Entry(NamedTuple):
    """One commit of a log."""

    number: int
    term: int
    writes: tuple[tuple[str, str], ...]
    request_id: str
    committed_at: float
    database: str


@dataclass
class _Connection:
    tenant: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[bool, str]] = field(default_factory=dict)
    state: str = "I"
    is_plain: bool = False
    writes: list[tuple[str, str]] = field(default_factory=list)
    number: int = 0


class Service:
    """A service: one primary and its replicas.

    Parameters
    ----------
    name : str
        Name of the service.
    zones : list of str
        Zone of each database.
    store : MetadataStore
        Where the databases announce themselves.
    record : Record
        Receives each statement that a database runs.
    promote_s : float
        Time from a promotion call until it takes effect.
    """

    def __init__(
        self,
        name: str,
        zones: list[str],
        store: MetadataStore,
        record: Record,
        *,
        promote_s: float = 0.3,
        work_s: float = 0.004,
        slots: int = 3,
        max_connections: int = 40,
    ) -> None:
        self.name = name
        self.lock = threading.RLock()
        self.promote_s, self.work_s, self.slots = promote_s, work_s, slots
        self.max_connections = max_connections
        self._store, self.record = store, record
        self.closed = False
        self.databases = {
            f"i-{name}-{number}": Database(f"i-{name}-{number}", zone, self)
            for number, zone in enumerate(zones, 1)
        }
        first = next(iter(self.databases.values()))
        first.role = "primary"
        for run in (self._replicate, self._announce):
            threading.Thread(target=run, daemon=True).start()

    @property
    def leader(self) -> "Database | None":
        """The primary of the newest term that is up; None if there is none."""
        found = [db for db in self.databases.values() if db.role == "primary" and db.up]
        newest = max((db.term for db in self.databases.values()), default=0)
        return next((db for db in found if db.term == newest), None)

    def promote(self, name: str) -> int:
        """Promote a database some time later; return the status of the call."""
        with self.lock:
            database = self.databases.get(name)
            if database is None or not database.up:
                return 409
            if database is not self.leader:
                threading.Timer(self.promote_s, self._take_lead, [database]).start()
            return 200

    def _take_lead(self, database: "Database") -> None:
        with self.lock:
            if not database.up or database is self.leader:
                return
            old = self.leader
            database.term = max(db.term for db in self.databases.values()) + 1
            database.role = "primary"
            self.record.add("promotion takes effect", database=database.name, term=database.term)
            if old is not None:
                threading.Timer(OLD_PRIMARY_CONTINUES_S, old.become_replica).start()
        self.announce(database)

    def _replicate(self) -> None:
        while not self.closed:
            time.sleep(REPLICA_LAG_S)
            with self.lock:
                leader = self.leader
                if leader is None:
                    continue
                for database in self.databases.values():
                    if database is not leader and database.up and database.role == "replica":
                        database.follow(leader)

    def deliver(self, old: "Database") -> None:
        """Let the replicas receive what a primary had sent before it stepped down."""
        with self.lock:
            for database in self.databases.values():
                if self.leader is None and database is not old and database.up:
                    database.follow(old)

    def _announce(self) -> None:
        while not self.closed:
            for database in self.databases.values():
                if database.up:
                    self.announce(database)
            time.sleep(HEARTBEAT_S)

    def announce(self, database: "Database") -> None:
        """Write a database's entry in the store."""
        with self.lock:
            database.sequence += 1
            entry = {
                "service": self.name,
                "addr": f"127.0.0.1:{database.port}",
                "zone": database.zone,
                "version": "1",
                "slots": self.slots,
                "state": database.state,
                "coldLeftMs": 0,
                "sequence": database.sequence,
                "dbRole": database.role,
                "born": database.born,
            }
            self._store.put(f"servers/{database.name}", entry)

    def close(self) -> None:
        """Stop all databases."""
        self.closed = True
        for database in self.databases.values():
            database.close()


class Database:
    """One database and its server."""

    def __init__(self, name: str, zone: str, service: Service) -> None:
        self.name, self.zone, self.service = name, zone, service
        self.role, self.term, self.state = "replica", 1, "ready"
        self.up, self.sequence, self.born = True, 0, int(time.time() * 1000)
        self.log: list[Entry] = []
        self.items: dict[str, str] = {}
        # Returns the code of an error with which a request fails, or an empty string.
        self.fault: Callable[[str, str], str] = lambda request_id, text: ""
        self._slots = threading.BoundedSemaphore(service.slots)
        self._signatures = itertools.count(1)
        self._numbers = itertools.count(1)
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def position(self) -> tuple[int, int]:
        """Position of the log."""
        return self.term, len(self.log)

    def follow(self, leader: "Database") -> None:
        """Receive what the leader has; what it does not have is rolled back."""
        count = min(len(self.log), len(leader.log))
        if self.log[:count] != leader.log[:count] or len(self.log) > count:
            lost = [entry for entry in self.log if entry not in set(leader.log)]
            ids = [entry.request_id for entry in lost]
            self.service.record.add("rolled back", database=self.name, requests=ids)
            self.log, self.items = [], {}
        for entry in leader.log[len(self.log) :]:
            self._apply(entry)
        self.term = leader.term

    def _apply(self, entry: Entry) -> None:
        self.log.append(entry)
        self.items.update(entry.writes)

    def become_replica(self) -> None:
        """Give up the lead, as another database leads a newer term."""
        with self.service.lock:
            if self.service.leader is self:
                return
            self.role = "replica"
            self.service.record.add("old primary is a replica now", database=self.name)
        self.service.announce(self)

    def announce_draining(self) -> None:
        """Announce that the database is about to be shut down."""
        self.state = "draining"
        self.service.announce(self)

    def close(self) -> None:
        """Stop the server and reset its connections."""
        self.up = False
        self._listener.close()
        for sock in list(self._open):
            sock.close()

    def _accept(self) -> None:
        while self.up:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        self._open.add(sock)
        try:
            with sock, sock.makefile("rb") as stream:
                words = _read_line(stream).split(" ")
                if words[0] != "CONNECT":
                    return
                refusal = self._refuse(words)
                if refusal:
                    sock.sendall(f"ERR {refusal}\r\n".encode("latin-1"))
                    return
                time.sleep(0.012)
                conn = _Connection(words[2], number=next(self._numbers))
                sock.sendall(self._ready(conn).encode("latin-1"))
                while (line := _read_line(stream)) and line != "QUIT":
                    sock.sendall(self._answer(conn, line).encode("latin-1"))
        except (OSError, ValueError):
            return
        finally:
            self._open.discard(sock)

    def _refuse(self, words: list[str]) -> str:
        if words[1] != self.service.name or (len(words) > 3 and words[3] != self.name):
            return "MOVED another database"
        if len(self._open) > self.service.max_connections:
            return "MAXCONN too many connections"
        return ""

    def _ready(self, conn: _Connection) -> str:
        term, number = self.position
        return f"READY {conn.state} {term}.{number}\r\n"

    def _answer(self, conn: _Connection, line: str) -> str:
        keyword, request_id, text = line.split(" ", 2)
        if keyword != "QUERY":
            raise ValueError(keyword)
        position = None
        if text.startswith("WAITLSN "):
            _, position, text = text.split(" ", 2)
        word = text.split(" ")[0]
        run = {
            "database": self.name,
            "tenant": conn.tenant,
            "connection": conn.number,
            "id": request_id,
            "text": text,
            "values": dict(conn.values),
            "in": conn.state,
        }
        if word in ("FETCH", "PUT", "EXEC", "COMMIT"):
            with self._slots:
                time.sleep(self.service.work_s)
        with self.service.lock:
            rows: list[str] = []
            signature = "-"
            code = self.fault(request_id, text) or self._run(
                conn, request_id, text, word, position, rows
            )
            if not code and word in ("FETCH", "PUT", "EXEC", "COMMIT"):
                signature = f"sig.{self.name}.{next(self._signatures)}"
            if request_id != "-" or word in ("RESET", "STEPDOWN"):
                self.service.record.add("run", **run, code=code, signature=signature, rows=rows)
            ready = self._ready(conn)
        if code:
            return f"ERR {code} {self.name}\r\n{ready}"
        return "".join(f"ROW {row}\r\n" for row in rows) + f"DONE {signature}\r\n{ready}"

    def _run(
        self,
        conn: _Connection,
        request_id: str,
        text: str,
        word: str,
        position: str | None,
        rows: list[str],
    ) -> str:
        """Run a statement; return the code of its error, or an empty string."""
        if position is not None:
            term, number = position.split(".")
            if self.position < (int(term), int(number)):
                return "LAGGING"
        words = text.split(" ", 2)
        if conn.state == "E" and word not in ("COMMIT", "ROLLBACK"):
            return "MALFORMED"
        if conn.state == "T" and conn.is_plain and self.role != "primary":
            is_empty_commit = word == "COMMIT" and not conn.writes
            if word not in ("ROLLBACK", "SET", "PREPARE", "DEALLOC") and not is_empty_commit:
                return self._fail(conn, "READONLY")
        match word:
            case "STATUS" | "STEPDOWN":
                if word == "STEPDOWN" and self.role == "primary" and self.term < int(words[1]):
                    self.role = "replica"
                    threading.Timer(REPLICA_LAG_S, self.service.deliver, [self]).start()
                    threading.Thread(target=self.service.announce, args=(self,)).start()
                place = f"{self.position[0]}.{self.position[1]}"
                count = len(self._open)
                rows.append(f"{self.role} {self.term} {place} {self.term} 0 0 {count}")
            case "RESET":
                conn.values.clear()
                conn.prepared.clear()
            case "SET":
                conn.values[words[1]] = words[2]
            case "PREPARE":
                kind, _, shape = words[2].partition(" ")
                conn.prepared[words[1]] = (kind == "PUT", shape)
            case "DEALLOC":
                conn.prepared.pop(words[1], None)
            case "BEGIN":
                conn.is_plain = len(words) == 1
                if conn.is_plain and self.role != "primary":
                    return "READONLY"
                conn.state, conn.writes = "T", []
            case "ROLLBACK":
                conn.state, conn.writes = "I", []
            case "COMMIT":
                self._commit(conn.writes, request_id)
                conn.state, conn.writes = "I", []
            case "FETCH":
                rows.append(self.items.get(words[1], "none"))
            case "PUT":
                return self._write(conn, request_id, words[1], words[2])
            case "EXEC":
                if words[1] not in conn.prepared:
                    return "NOSTMT"
                item, _, data = words[2].partition(" ")
                if conn.prepared[words[1]][0]:
                    return self._write(conn, request_id, item, data)
                rows.append(self.items.get(item, "none"))
            case _:
                return "MALFORMED"
        return ""

    def _fail(self, conn: _Connection, code: str) -> str:
        if conn.state == "T":
            conn.state, conn.writes = "E", []
        return code

    def _write(self, conn: _Connection, request_id: str, item: str, data: str) -> str:
        if self.role != "primary":
            return self._fail(conn, "READONLY")
        if conn.state == "T":
            conn.writes.append((item, data))
        else:
            self._commit([(item, data)], request_id)
        return ""

    def _commit(self, writes: list[tuple[str, str]], request_id: str) -> None:
        if writes:
            now = self.service.record.now()
            number = len(self.log) + 1
            self._apply(Entry(number, self.term, tuple(writes), request_id, now, self.name))
            self.service.record.add(
                "commit", id=request_id, database=self.name, term=self.term, number=number
            )


def _read_line(stream) -> str:
    """Return a message without its CR LF; a lone LF is a part of it."""
    line = b""
    while not line.endswith(b"\r\n"):
        piece = stream.readline()
        if not piece:
            return ""
        line += piece
    return line[:-2].decode("latin-1")
