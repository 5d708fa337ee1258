"""Edge processes before a platform that records what its databases run, and planned work."""

import random
import re
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from types import SimpleNamespace

from result import Err
from rig.wire import LETTER_BY_STATE

from quetzalrudder.gateway.records import COORDINATOR_KEY, decode_coordinator
from tests.gateway_standins import PlatformStandIn, StoreHandler, StoreServer
from tests.test_edge_program import CONFIGURATION, EdgeProcess

__all__ = ["GRACE_S", "LIMITED", "Edge", "Fleet", "Run"]

# ``bounds.graceS`` of the processes, and when one that is still there has missed its end.
GRACE_S, EXIT_TIMEOUT_S = 3.0, 3.1
INTERPRETER_START_S, REPLACEMENT_TIMEOUT_S = 0.5, 10.0
# How long processes have to learn of a removal before the store fails for some of them.
REMOVAL_S = 1.0
DELAY_MAX_S, DELAYED_PART, DELAYED_PART_WHILE_SLOW, BUSY_PART = 1.5, 0.08, 0.5, 0.02
# Part of the queries of a status that find a replica busy, where replicas confirm commits.
BUSY_STATUS_PART = 0.5
# How long a replica receives nothing before the primary crashes, and until that is back.
BEHIND_S, DOWN_S, RECOVERY_S = 1.0, 3.0, 1.0
# Ranges of ports below those of outgoing connections, which could take one that is not bound.
PORT_RANGES = [range(base, base + 100) for base in range(12_000, 32_000, 100)]
# "quotes", "k2" and the lower of two rates are removed and added. Some timeouts are longer than
# the grace period.
ROUTES = [
    {**route, "timeoutMs": 4000 if route["host"] == "prices" else 8000}
    for route in [*CONFIGURATION["routes"], {**CONFIGURATION["routes"][0], "host": "quotes"}]
]
LIMITED, RATES = "samarkand", (40, 4)
TENANTS = [
    {**CONFIGURATION["tenants"][0], "apiKeys": ["k1", "k2"]},
    {"name": LIMITED, "apiKeys": ["k3"], "ratePerS": RATES[0], "burst": RATES[0]},
]


def reserve_ports(stack: ExitStack) -> Iterator[int]:
    """Return ports that no other run uses, as the first of their range stays bound."""
    for ports in PORT_RANGES:
        with suppress(OSError):
            stack.enter_context(socket.create_server(("127.0.0.1", ports[0])))
            return iter(ports[1:])
    raise AssertionError("no range of ports is free")


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


class Edge(EdgeProcess):
    """An edge process with its number of starts; the lock is held by planned work on it."""

    incarnation = 0

    def __init__(self, platform, directory: Path, number: int, ports: Iterator[int]) -> None:
        self.name, self.lock = f"edge-{number}", threading.Lock()
        place, zone, new_port = directory / self.name, f"dc-{number % 3}", partial(next, ports)
        place.mkdir()
        super().__init__(platform, place, name=self.name, zone=zone, new_port=new_port)

    def start(self) -> None:
        """Start the process."""
        self.incarnation += 1
        super().start()
        self.started_at = time.monotonic()


class Fleet:
    """Processes before a platform whose databases delay statements as a seed selects."""

    def __init__(
        self, seed: int, size: int, directory: Path, *, confirms_commits: bool = False
    ) -> None:
        self.seed = seed
        self._confirms_commits = confirms_commits
        self.runs: list[Run] = []
        config = {**CONFIGURATION, "routes": ROUTES, "tenants": TENANTS}
        if confirms_commits:
            service = {**CONFIGURATION["services"][0], "syncReplicas": 1}
            config["services"] = [service]
        self.configs = [(time.monotonic(), config)]
        # Times of SIGTERM by process and incarnation; what went wrong with processes.
        self.stops: dict[tuple[str, int], float] = {}
        self.faults: list[str] = []
        self.promotions = self.signal_ends = 0
        self.slow_until = 0.0
        self.platform = PlatformStandIn(self.configs[0][1])
        for server in self.platform.databases:
            server.run = self._recorder(server.database.info.target, server.run)
        self._unsteady_store = self._open_store()
        self._unsteady_names: set[str] = set()
        # Beginning and end of each, and the names of the processes for which the store failed.
        self.store_faults: list[tuple[float, float, set[str]]] = []
        self._promote = self.platform.group.promote
        self.platform.group.promote = self._promote_and_announce
        self.edges: list[Edge] = []
        self._stack, self._replacing = ExitStack(), threading.Lock()
        ports = reserve_ports(self._stack)
        for number in range(size):
            port = self._unsteady_store.server_address[1]
            unsteady = SimpleNamespace(address=f"127.0.0.1:{port}")
            platform = unsteady if number % 2 else self.platform
            self.edges.append(Edge(platform, directory, number, ports))
            if platform is unsteady:
                self._unsteady_names.add(self.edges[-1].name)
            self._wait_ready(self.edges[-1])

    def _open_store(self) -> StoreServer:
        """Return another server of the platform's store, with faults of its own."""
        first, server = self.platform.http, StoreServer(("127.0.0.1", 0), StoreHandler)
        server.lock, server.clock = first.lock, first.clock
        server.group, server.client = first.group, first.client
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server

    def _recorder(self, database, run):
        def run_and_record(link, line):
            _, request_id, text = line.split(" ", 2)
            if request_id == "-":
                is_replica = self._confirms_commits and not link.database.primary
                if text == "STATUS" and is_replica and random.random() < BUSY_STATUS_PART:
                    return "ERR BUSY stand-in\r\nREADY I -\r\n"
                return run(link, line)
            text = text.split(" ", 2)[2] if text.startswith("WAITLSN ") else text
            state, now = LETTER_BY_STATE[link.state], time.monotonic()
            record = Run(request_id, database, link.workspace, text, state == "T", now)
            rng = random.Random(f"{self.seed}/{request_id}")
            is_first = all(other.request_id != request_id for other in self.runs[-200:])
            self.runs.append(record)
            if rng.random() < BUSY_PART and is_first:
                record.answer = f"ERR BUSY stand-in\r\nREADY {state} -\r\n"
            else:
                part = DELAYED_PART_WHILE_SLOW if now < self.slow_until else DELAYED_PART
                time.sleep(rng.uniform(0, DELAY_MAX_S) if rng.random() < part else 0)
                record.answer = run(link, line)
            record.ended_at = time.monotonic()
            return record.answer

        return run_and_record

    def _promote_and_announce(self, group, target, **caller):
        result = self._promote(group, target, **caller)
        if isinstance(result, Err):
            return result
        for database in self.platform.group.databases.values():
            database.primary = database.info.target == target
        self.promotions += 1
        self.platform.announce()
        return result

    def replace_primary(self) -> None:
        """Let the primary drain until another database is promoted."""
        with self._replacing:
            databases, count = self.platform.group.databases.values(), self.promotions
            for database in [each for each in databases if each.primary]:
                self.platform.announce(draining=database.info.target)
            deadline = time.monotonic() + REPLACEMENT_TIMEOUT_S
            while self.promotions == count and time.monotonic() < deadline:
                time.sleep(0.05)
            if self.promotions == count:
                self.faults.append("a draining primary was not replaced")
                self.platform.announce()

    def crash_primary(self, rng: random.Random) -> None:
        """Crash the primary while one replica receives nothing, and the other one may drain."""
        with self._replacing:
            group = self.platform.group
            primary = group.newest_primary()
            behind, other = rng.sample(
                [each for each in group.databases.values() if each is not primary], 2
            )
            behind.replication_paused = True
            if rng.random() < 0.5:
                self.platform.announce(draining=other.info.target)
            time.sleep(BEHIND_S)
            with self.platform.lock:
                primary.up = False
            time.sleep(DOWN_S)
            with self.platform.lock:
                primary.up = True
                behind.replication_paused = False
                group.replicate()
            self.platform.announce()
            time.sleep(RECOVERY_S)

    def reconfigure(self, change: str) -> None:
        """Store a version of the configuration in which one thing is the other way round."""
        with self.platform.lock:
            self._reconfigure(change)

    def _reconfigure(self, change: str) -> None:
        config = self.configs[-1][1]
        routes, (almaty, limited) = config["routes"], config["tenants"]
        match change:
            case "route":
                routes = ROUTES[:3] if len(routes) > 3 else ROUTES
            case "key":
                almaty = {**almaty, "apiKeys": ["k1"]} if almaty is TENANTS[0] else TENANTS[0]
            case "limit":
                rate = RATES[limited["ratePerS"] == RATES[0]]
                limited = {**limited, "ratePerS": rate, "burst": rate}
        version = config["version"] + 1
        config = {**config, "version": version, "routes": routes, "tenants": [almaty, limited]}
        self.platform.put("op/config", config)
        self.configs.append((time.monotonic(), config))

    def disrupt_store(self, fault: str, duration_s: float, *, is_for_all: bool) -> None:
        """Add a route and a key while the store fails for some or all processes.

        Parameters
        ----------
        fault : str
            Attribute of the stand-in that is true meanwhile.
        duration_s : float
            Time from the additions to the end of the fault.
        is_for_all : bool
            False if some processes have a steady store, and may pass on what it holds.
        """
        servers, names = [self._unsteady_store], self._unsteady_names
        if is_for_all:
            servers, names = [*servers, self.platform.http], {edge.name for edge in self.edges}
        config = self.configs[-1][1]
        if len(config["routes"]) == len(ROUTES):
            self.reconfigure("route")
        if config["tenants"][0] is TENANTS[0]:
            self.reconfigure("key")
        time.sleep(REMOVAL_S)
        begun_at = time.monotonic()
        self.store_faults.append((begun_at, float("inf"), names))
        for server in servers:
            setattr(server, fault, True)
        self.reconfigure("route")
        self.reconfigure("key")
        time.sleep(duration_s)
        for server in servers:
            setattr(server, fault, False)
        self.store_faults[-1] = begun_at, time.monotonic(), names

    def coordinator(self) -> str:
        """Return the name of the failover coordinator, or an empty string."""
        with self.platform.lock:
            item = self.platform.store.items.get(COORDINATOR_KEY)
        return decode_coordinator(item).instance if item is not None else ""

    def owner(self) -> str:
        """Return the name of a process that lent a connection lately, or an empty string."""
        texts = (edge.log()[-100_000:] for edge in self.edges)
        names = [name for text in texts for name in re.findall(r'"holder": "(edge-\d+)"', text)]
        return names[-1] if names else ""

    def _wait_ready(self, edge: Edge) -> None:
        """Wait until a process is ready; one that ends meanwhile is started again."""
        try:
            edge.wait_ready()
        except AssertionError:
            if edge.process.poll() is None:
                self.faults.append(f"{edge.name} {edge.incarnation}: not ready")
                return
            self._note_end(edge, "during its start")
            edge.start()
            self._wait_ready(edge)

    def _note_end(self, edge: Edge, when: str) -> None:
        code = edge.process.returncode
        self.signal_ends += code < 0
        if code != 0 or when != "after SIGTERM":
            self.faults.append(f"{edge.name} {edge.incarnation}: ended with {code} {when}")

    def stop(self, edge: Edge) -> None:
        """Send SIGTERM and wait until the process has ended."""
        if edge.process.poll() is not None:
            self._note_end(edge, "of its own accord")
            return
        self.stops[edge.name, edge.incarnation] = time.monotonic()
        edge.process.send_signal(signal.SIGTERM)
        try:
            edge.process.wait(EXIT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.faults.append(f"{edge.name} {edge.incarnation}: still there after its grace")
            edge.process.kill()
            edge.process.wait()
        else:
            self._note_end(edge, "after SIGTERM")

    def restart(self, edge: Edge, delay_s: float, down_s: float) -> None:
        """Stop a process and start it again, unless other work on it is under way."""
        time.sleep(delay_s)
        if edge.lock.acquire(blocking=False):
            self.stop(edge)
            time.sleep(down_s)
            edge.start()
            self._wait_ready(edge)
            edge.lock.release()

    def hang_up(self, edge: Edge) -> None:
        """Send SIGHUP, though not in the first moment of a process.

        Until the interpreter has started, the program cannot ignore the signal.
        """
        if time.monotonic() - edge.started_at > INTERPRETER_START_S:
            edge.process.send_signal(signal.SIGHUP)

    def close(self) -> None:
        """Stop all processes and the platform."""
        with ThreadPoolExecutor(len(self.edges)) as executor:
            list(executor.map(self.stop, self.edges))
        self._stack.close()
        self._unsteady_store.shutdown()
        self._unsteady_store.server_close()
        self.platform.close()
