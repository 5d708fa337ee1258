"""A small deployment on loopback: store, one service of three databases, and entry instances."""

import os
import tempfile
import threading
import time
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType

from review.standins3.clients import Record, Writer
from review.standins3.databases import Database, Service
from review.standins3.edges import Edge
from review.standins3.store import Store

__all__ = ["BROKEN", "CANNOT_RUN", "HELD", "KEY", "SERVICE", "Scene", "has_trouble"]

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
SERVICE, KEY = "ledger", "key-1"
# A release starts the new database first.
NEW_FIRST_S = 1.0
ROUTES = (("desk", "primary", 0), ("view", "bounded", 1500), ("own", "session", 2500))


def has_trouble() -> bool:
    """Return whether the disruption is to be made; not with ``TROUBLE=0``."""
    return os.environ.get("TROUBLE", "1") != "0"


class Scene:
    """Everything that a case needs; use it as a context manager.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets ``record.txt``.
    edge_count : int
        Number of entry instances.
    sync_replicas : int
        ``syncReplicas`` of the service.
    network : int
        Second number of the loopback addresses, so that cases do not meet.
    """

    def __init__(
        self, folder: Path, edge_count: int = 3, sync_replicas: int = 0, network: int = 60
    ) -> None:
        self._folder, self._stack = folder, ExitStack()
        self.record = Record()
        hosts = [f"127.{network}.2.{number}" for number in range(1, 4)]
        self.service = Service(SERVICE, hosts, sync_replicas, self.record.ran)
        self.store = Store(self._promote)
        self.service.store = self.store
        self.store.on_sweep.append(self.service.beat)
        self._network = network
        self._edge_hosts = [f"127.{network}.1.{number}" for number in range(1, edge_count + 1)]
        self.edges: list[Edge] = []
        self.writers: list[Writer] = []
        self.version = 0
        self.config = {
            "routes": [
                {
                    "host": host,
                    "service": SERVICE,
                    "kind": kind,
                    "maxStalenessMs": age_ms,
                    "timeoutMs": 1000,
                    "goalMs": 400,
                    "priority": 1,
                }
                for host, kind, age_ms in ROUTES
            ],
            "services": [{"name": SERVICE, "maxConns": 60, "syncReplicas": sync_replicas}],
            "limits": {"txIdleMs": 3000, "headerTimeoutMs": 3000},
            "tenants": [{"name": "north", "apiKeys": [KEY], "ratePerS": 4000, "burst": 4000}],
        }

    def _promote(self, service: str, name: str, holder: str, token: int) -> int:
        status = self.service.promote(service, name, holder, token)
        self.record.note(f"platform promote {name} by {holder}, token {token} -> {status}")
        return status

    def configure(self) -> None:
        """Write the configuration with the next version."""
        self.version += 7
        self.store.put("op/config", {"version": self.version, **self.config})

    def __enter__(self) -> "Scene":
        self.store.start()
        stopped = threading.Event()
        self._stack.callback(stopped.set)
        threading.Thread(target=self.service.run, args=(stopped,), daemon=True).start()
        self.configure()
        now = time.monotonic()
        for database in self.service.databases:
            database.announce(now)
        directory = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        zones = [database.zone for database in self.service.databases]
        for number, host in enumerate(self._edge_hosts):
            zone = zones[number % len(zones)]
            address = self.store.address
            edge = Edge(directory, f"edge-{number + 1}", host, zone, address, address, zones)
            self._stack.callback(edge.end)
            self.edges.append(edge)
        try:
            for edge in self.edges:
                edge.wait_ready()
        except BaseException:
            self._end()
            raise
        return self

    def __exit__(
        self, kind: type | None, exc: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._end()

    def _end(self) -> None:
        for writer in self.writers:
            writer.stop()
        for writer in self.writers:
            writer.join(2.0)
        if keep := os.environ.get("KEEP_LOGS"):
            for edge in self.edges:
                Path(keep, edge.log.name).write_bytes(edge.log.read_bytes())
        self._stack.close()
        self.store.close()
        self.record.write(self._folder / "record.txt")

    def release(self, old: Database | None = None) -> Database:
        """Start a new database; a moment later the old one, which it replaces, drains.

        Without an old one, the primary of that time drains.
        """
        host = f"127.{self._network}.2.{len(self.service.databases) + 1}"
        new = self.service.start_new(host, (old or self.service.primary()).zone)
        self.note(f"release: {new.name} starts")
        time.sleep(NEW_FIRST_S)
        with self.service.lock:
            old = old or self.service.primary()
            old.is_draining = True
            old.announce(time.monotonic())
        self.note(f"release: {old.name} reports that it drains")
        return new

    def begin_writes(self, count: int, route: str = "desk", pause_s: float = 0.005) -> None:
        """Start writers, each of which writes one item after the other."""
        for number in range(count):
            writer = Writer(self.edges, route, KEY, self.record, number, pause_s)
            self.writers.append(writer)
            writer.start()

    def note(self, text: str) -> None:
        """Note what is done to the deployment."""
        self.record.note(f"-- {text}")

    def lost_writes(self) -> list[str]:
        """Return the acknowledged writes that a promoted database did not have."""
        return [
            f"{attempt.request_id}, not in {database.name}"
            for at, database, ids in self.service.promotions
            for attempt in self.record.attempts
            if attempt.text.startswith("PUT ")
            and attempt.is_done
            and attempt.ended_at < at
            and attempt.request_id not in ids
        ]
