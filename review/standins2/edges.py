"""The project's program, started with the command of the deploy file, and its clients."""

import os
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Iterator
from contextlib import ExitStack, suppress
from pathlib import Path
from urllib.request import urlopen

__all__ = ["Caller", "Edge", "Fleet", "configuration"]

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
START_TIMEOUT_S = 20.0
EXIT_TIMEOUT_S = 8.0
ZONES = ["astana-a", "astana-b", "karaganda", "pavlodar"]
KEY = "u6wsjnbanfqasnmgkcuy"


def configuration(version: int, service: str, *, sync_replicas: int = 0) -> dict:
    """Return a configuration like that of a small deployment."""
    routes = [
        ("offers", "primary", 1000, 200, 0),
        ("comps", "bounded", 2000, 600, 1500),
        ("deals", "session", 1000, 400, 2500),
    ]
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{host}",
                "host": host,
                "prefix": "/",
                "kind": kind,
                "timeoutMs": timeout_ms,
                "goalMs": goal_ms,
                "priority": 1,
                "service": service,
                "attempts": 2,
                "maxStalenessMs": age_ms,
                "public": False,
            }
            for host, kind, timeout_ms, goal_ms, age_ms in routes
        ],
        "services": [
            {
                "name": service,
                "healthPath": "/healthz",
                "maxConns": 21,
                "proto": "h1",
                "tls": False,
                "syncReplicas": sync_replicas,
            }
        ],
        "limits": {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
        "tenants": [
            {"name": "nypu920", "apiKeys": [KEY], "priority": 1, "ratePerS": 500, "burst": 500}
        ],
    }


class Edge:
    """One process of the program."""

    def __init__(
        self, name: str, zone: str, ports: Iterator[int], directory: Path, lines: dict[str, str]
    ) -> None:
        self.name = name
        self.frontend, self.readiness, self.peers, self.metrics = (next(ports) for _ in range(4))
        self._settings = directory / f"{name}.conf"
        self._log = directory / f"{name}.log"
        own = {
            "nodeName": name,
            "role": "edge",
            "class": "edge",
            "serves": "edge",
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "kz-central",
            "listen.frontend": f"127.0.0.1:{self.frontend}",
            "listen.readiness": f"127.0.0.1:{self.readiness}",
            "portRange": f"{self.peers},{self.peers}",
        }
        text = "\n".join(f"{key}={value}" for key, value in (own | lines).items())
        self._settings.write_text(text + "\n", encoding="utf-8")
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        deps = ROOT / "target/deps"
        env = DEPLOY["roles"]["edge"]["env"] | {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(deps),
            "QUETZALRUDDER_CONFIG": str(self._settings),
            "QUETZALRUDDER_METRICS": f"{self.metrics}/metrics",
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                DEPLOY["roles"]["edge"]["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the process answers the ready probe with 200."""
        with suppress(OSError):
            url = f"http://127.0.0.1:{self.readiness}/readyz"
            with urlopen(url, timeout=1) as answer:
                return answer.status == 200
        return False

    def log(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(encoding="utf-8")


class Fleet:
    """Six processes in four zones; they end when it is closed.

    Parameters
    ----------
    stack : ExitStack
        Ends the processes.
    directory : Path
        A folder for settings and logs.
    store, provider : str
        Addresses of the store and of the promotion call.
    size : int
        Number of processes.
    """

    def __init__(
        self, stack: ExitStack, directory: Path, store: str, provider: str, size: int = 6
    ) -> None:
        lines = {f"zones.{zone}": "kz-central" for zone in ZONES} | {
            "bounds.contactMs": "4000",
            "bounds.ackMs": "5000",
            "bounds.drainMs": "7000",
            "bounds.graceS": "6",
            "bounds.convergeMs": "3000",
            "bounds.quotaWindowS": "5",
            "bounds.quotaExcess": "0.1",
            "bounds.quotaMargin": "20",
            "bounds.fencing": "false",
            "platform.addr": store,
            "platform.form": "kv",
            "platform.ttlMinMs": "1000",
            "provider.addr": provider,
            "provider.duties": "failover",
        }
        ports = self._reserve_ports(stack)
        stack.callback(self._end)
        self.edges = [
            Edge(f"edge-{number + 1}", ZONES[number % 4], ports, directory, lines)
            for number in range(size)
        ]

    @staticmethod
    def _reserve_ports(stack: ExitStack) -> Iterator[int]:
        """Return free ports below those of outgoing connections."""
        for base in range(12_000, 32_000, 100):
            with suppress(OSError):
                stack.enter_context(socket.create_server(("127.0.0.1", base)))
                return iter(range(base + 1, base + 100))
        raise OSError("no range of ports is free")

    def start(self) -> None:
        """Start all processes, and wait until they are ready."""
        for edge in self.edges:
            edge.start()
        until = time.monotonic() + START_TIMEOUT_S
        while not all(edge.is_ready() for edge in self.edges):
            if time.monotonic() > until:
                raise TimeoutError("the processes did not become ready")
            time.sleep(0.1)

    def find(self, name: str) -> Edge:
        """Return a process by its name."""
        return next(edge for edge in self.edges if edge.name == name)

    def _end(self) -> None:
        running = [edge.process for edge in self.edges if edge.process is not None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        until = time.monotonic() + EXIT_TIMEOUT_S
        for process in running:
            try:
                process.wait(max(0.01, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


class Caller:
    """A client's session."""

    def __init__(self, port: int, database: str, timeout_s: float = 5.0) -> None:
        self._sock = socket.create_connection(("127.0.0.1", port), timeout_s)
        self._stream = self._sock.makefile("r", encoding="latin-1", newline="\r\n")
        self._sock.sendall(f"CONNECT {database} {KEY}\r\n".encode())
        self.greeting = self._stream.readline().strip()
        if not self.greeting.startswith("READY"):
            self.close()
            raise ConnectionError(self.greeting)

    def query(self, request_id: str, text: str) -> list[str]:
        """Send a statement and return the lines of its answer, without the line ends.

        The answer ends with READY unless the connection was closed.
        """
        self._sock.sendall(f"QUERY {request_id} {text}\r\n".encode("latin-1"))
        lines: list[str] = []
        while not lines or not lines[-1].startswith("READY"):
            line = self._stream.readline()
            if not line:
                break
            lines.append(line.rstrip("\r\n"))
        return lines

    def close(self) -> None:
        """Close the session."""
        with suppress(OSError):
            self._stream.close()
            self._sock.close()
