"""Edge processes, a platform that records what its databases run, and planned work on both."""

import itertools
import os
import random
import re
import signal
import socket
import subprocess
import threading
import time
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path

from rig.wire import LETTER_BY_STATE

from quetzalrudder.gateway.records import COORDINATOR_KEY, decode_coordinator
from tests.gateway_standins import PlatformStandIn
from tests.test_edge_program import START_TIMEOUT_S, EdgeProcess

__all__ = ["GRACE_S", "Edge", "Fleet", "Profile", "Run", "Stop"]

# ``bounds.graceS`` of the processes.
GRACE_S = 3.0
# A process that is still there this long after its grace period has missed its end.
EXIT_TOLERANCE_S = 0.1
DELAY_MAX_S = 1.5
DELAYED_PART, DELAYED_PART_WHILE_SLOW = 0.08, 0.5
BUSY_PART = 0.02
DELAYED_STATEMENTS = ("FETCH", "PUT", "EXEC", "COMMIT")
# Below the range of ports of outgoing connections, which could take one while it is not bound.
FIRST_PORT, PORTS_PER_RUN = 12_000, 200
_ports = itertools.count(FIRST_PORT + os.getpid() % 100 * PORTS_PER_RUN)


def new_port() -> int:
    """Return a free port that no outgoing connection is given."""
    for port in _ports:
        try:
            with socket.create_server(("127.0.0.1", port)):
                return port
        except OSError:
            continue
    raise AssertionError


@dataclass(frozen=True)
class Profile:
    """Size of a run."""

    edges: int
    clients: int
    seconds: float
    events: int


@dataclass
class Run:
    """A statement as a database received it."""

    request_id: str
    database: str
    workspace: str
    text: str
    in_transaction: bool
    started_at: float
    ended_at: float | None = None
    answer: str = ""


@dataclass
class Stop:
    """A planned stop of one incarnation of an edge process."""

    edge: str
    incarnation: int
    sent_at: float


@dataclass
class Edge:
    """An edge process and its planned stops."""

    name: str
    process: EdgeProcess
    incarnation: int = 1
    # Held by the planned work on this process.
    lock: threading.Lock = field(default_factory=threading.Lock)


class Fleet:
    """The processes before a platform, with all that is planned to happen to them.

    Parameters
    ----------
    seed : int
        Selects the delays of statements.
    profile : Profile
        Size of the fleet.
    config : dict
        The first configuration.
    directory : Path
        Holds settings and logs.
    """

    def __init__(self, seed: int, profile: Profile, config: dict, directory: Path) -> None:
        self.seed = seed
        self.runs: list[Run] = []
        self.stops: list[Stop] = []
        self.configs: list[tuple[float, dict]] = []
        self.promoted_at: list[float] = []
        # What went wrong with processes, as text.
        self.faults: list[str] = []
        self.starts = self.signal_ends = 0
        self.slow_until = 0.0
        self._busy_ids: set[str] = set()
        self._stack = ExitStack()
        self.platform = PlatformStandIn(config)
        self._stack.callback(self.platform.close)
        self.configs.append((time.monotonic(), config))
        for server in self.platform.databases:
            server.run = self._recorder(server.database.info.target, server.run)
        self._promote = self.platform.group.promote
        self.platform.group.promote = self._promote_and_announce
        self.edges: list[Edge] = []
        for number in range(profile.edges):
            place = directory / f"edge-{number}"
            place.mkdir(parents=True)
            process = EdgeProcess(
                self.platform,
                place,
                name=f"edge-{number}",
                zone=f"dc-{number % 3}",
                new_port=new_port,
            )
            self._stack.callback(_kill, process)
            self.edges.append(Edge(f"edge-{number}", process))
            self.starts += 1
        for edge in self.edges:
            self.wait_ready(edge)

    def _recorder(self, database, run):
        def run_and_record(link, line):
            _, request_id, text = line.split(" ", 2)
            if request_id == "-":
                return run(link, line)
            plain = text.split(" ", 2)[2] if text.startswith("WAITLSN ") else text
            state = LETTER_BY_STATE[link.state]
            record = Run(
                request_id, database, link.workspace, plain, state == "T", time.monotonic()
            )
            self.runs.append(record)
            rng = random.Random(f"{self.seed}/{request_id}")
            if rng.random() < BUSY_PART and request_id not in self._busy_ids:
                self._busy_ids.add(request_id)
                record.answer = f"ERR BUSY stand-in\r\nREADY {state} -\r\n"
            else:
                slow = time.monotonic() < self.slow_until
                part = DELAYED_PART_WHILE_SLOW if slow else DELAYED_PART
                if rng.random() < part and plain.startswith(DELAYED_STATEMENTS):
                    time.sleep(rng.uniform(0, DELAY_MAX_S))
                record.answer = run(link, line)
            record.ended_at = time.monotonic()
            return record.answer

        return run_and_record

    def _promote_and_announce(self, group, target, **caller):
        result = self._promote(group, target, **caller)
        for database in self.platform.group.databases.values():
            database.primary = database.info.target == target
        self.promoted_at.append(time.monotonic())
        self.announce()
        return result

    def announce(self, draining: str = "") -> None:
        """Write the databases' announcements to the store."""
        for server in self.platform.databases:
            database = server.database
            entry = {
                "service": "core",
                "addr": f"127.0.0.1:{server.port}",
                "zone": database.info.data_centre,
                "slots": 3,
                "state": "draining" if database.info.target == draining else "ready",
                "dbRole": "primary" if database.primary else "replica",
            }
            self.platform.put(f"servers/{database.info.target}", entry)

    def replace_primary(self) -> None:
        """Let the primary drain until another database is promoted."""
        primary = next((d for d in self.platform.group.databases.values() if d.primary), None)
        if primary is None:
            return
        promotions = len(self.promoted_at)
        self.announce(draining=primary.info.target)
        deadline = time.monotonic() + 10
        while len(self.promoted_at) == promotions and time.monotonic() < deadline:
            time.sleep(0.05)
        if len(self.promoted_at) == promotions:
            self.faults.append("a draining primary was not replaced in 10 s")
        time.sleep(0.5)
        self.announce()

    def store_config(self, config: dict) -> None:
        """Store a new version of the configuration."""
        self.platform.put("op/config", config)
        self.configs.append((time.monotonic(), config))

    def coordinator(self) -> Edge | None:
        """Return the process that holds the failover coordinator's lease."""
        with self.platform.lock:
            item = self.platform.store.items.get(COORDINATOR_KEY)
        name = decode_coordinator(item).instance if item is not None else ""
        return next((edge for edge in self.edges if edge.name == name), None)

    def owner(self, rng: random.Random) -> Edge | None:
        """Return a process that lent a connection to another one lately."""
        log = rng.choice(self.edges).process.settings.parent / "log"
        names = re.findall(rb'"holder": "(edge-\d+)"', log.read_bytes()[-200_000:])
        name = names[-1].decode() if names else ""
        return next((edge for edge in self.edges if edge.name == name), None)

    def wait_ready(self, edge: Edge) -> None:
        """Wait until a process is ready; one that ends meanwhile is started again."""
        deadline = time.monotonic() + 2 * START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                return edge.process.wait_ready()
            except AssertionError:
                if (code := edge.process.process.poll()) is None:
                    break
                self.note_end(edge, code, "during its start")
                self.start(edge)
        self.faults.append(f"{edge.name} {edge.incarnation}: not ready in {START_TIMEOUT_S} s")
        return None

    def start(self, edge: Edge) -> None:
        """Start a process again."""
        edge.process.log_file.close()
        edge.incarnation += 1
        self.starts += 1
        edge.process.start()

    def note_end(self, edge: Edge, code: int, when: str) -> None:
        """Record the exit status of a process."""
        self.signal_ends += code < 0
        if code != 0:
            self.faults.append(f"{edge.name} {edge.incarnation}: ended with {code} {when}")

    def stop(self, edge: Edge) -> None:
        """Send SIGTERM and wait until the process has ended."""
        child = edge.process.process
        if (code := child.poll()) is not None:
            self.note_end(edge, code, "of its own accord")
            return
        stop = Stop(edge.name, edge.incarnation, time.monotonic())
        self.stops.append(stop)
        child.send_signal(signal.SIGTERM)
        try:
            code = child.wait(GRACE_S + EXIT_TOLERANCE_S)
        except subprocess.TimeoutExpired:
            self.faults.append(f"{edge.name} {edge.incarnation}: still there after its grace")
            child.kill()
            child.wait()
            return
        self.note_end(edge, code, f"{time.monotonic() - stop.sent_at:.2f} s after SIGTERM")

    def restart(self, edge: Edge, down_s: float) -> None:
        """Stop a process and start it again, unless other work on it is under way."""
        if not edge.lock.acquire(blocking=False):
            return
        try:
            self.stop(edge)
            time.sleep(down_s)
            self.start(edge)
            self.wait_ready(edge)
        finally:
            edge.lock.release()

    def close(self) -> None:
        """End all processes and the platform."""
        self._stack.close()


def _kill(process: EdgeProcess) -> None:
    if process.process.poll() is None:
        process.process.kill()
        process.process.wait()
    process.log_file.close()
