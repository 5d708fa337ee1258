"""The system's processes, started with the command of the deploy file."""

import os
import random
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from urllib.error import URLError
from urllib.request import urlopen

__all__ = ["ROOT", "Edge", "Ports", "small_config"]

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 8.0


# Ports below those of outgoing connections, which could take one that is not bound yet.
PORT_RANGES = [range(base, base + 100) for base in range(12_000, 32_000, 100)]


class Ports:
    """Ports that no other case uses, as the first of their range stays bound."""

    def __init__(self) -> None:
        for ports in random.sample(PORT_RANGES, len(PORT_RANGES)):
            try:
                self._reserved = socket.create_server(("127.0.0.1", ports[0]))
            except OSError:
                continue
            self._free = iter(ports[1:])
            return
        raise OSError("no range of ports is free")

    def take(self) -> int:
        """Return a port that nothing listens on."""
        for port in self._free:
            try:
                socket.create_server(("127.0.0.1", port)).close()
            except OSError:
                continue
            return port
        raise OSError("no port is free")

    def close(self) -> None:
        """Give the range back."""
        self._reserved.close()


def small_config(services: list[str], *, max_connections: int = 40) -> dict:
    """Return a configuration like that of a small deployment: three routes for each service."""
    kinds = (("write", "primary", 0), ("browse", "bounded", 1500), ("work", "session", 2500))
    routes = [
        {
            "name": f"{what}-{service}",
            "host": f"{what}-{service}",
            "service": service,
            "kind": kind,
            "timeoutMs": 3000,
            "goalMs": 400,
            "priority": 1,
            "maxStalenessMs": age_ms,
        }
        for service in services
        for what, kind, age_ms in kinds
    ]
    tenants = [
        {"name": f"tenant-{number}", "apiKeys": [f"key-{number}"], "ratePerS": 400, "burst": 400}
        for number in (1, 2)
    ]
    return {
        "version": 7,
        "routes": routes,
        "services": [{"name": name, "maxConns": max_connections} for name in services],
        "limits": {"txIdleMs": 3000, "headerTimeoutMs": 3000},
        "tenants": tenants,
    }


class Edge:
    """One process of the system with the settings of a small deployment.

    Parameters
    ----------
    name, zone : str
        Name of the machine and its zone.
    zones : list of str
        All zones.
    store, provider : str
        Addresses of the platform.
    directory : Path
        Folder of the settings file and the log.
    ports : Ports
        Ports that it may use.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        zones: list[str],
        store: str,
        provider: str,
        directory: Path,
        ports: Ports,
    ) -> None:
        self.name = name
        self.frontend, self.readiness, peers, admin = (ports.take() for _ in range(4))
        self._place = directory / name
        self._place.mkdir()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self._role = deploy["roles"]["edge"]
        self._metrics = ports.take()
        lines = {
            "nodeName": name,
            "role": "edge",
            "class": "edge",
            "serves": "edge",
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "region-1",
            **{f"zones.{each}": "region-1" for each in zones},
            "listen.frontend": f"127.0.0.1:{self.frontend}",
            "listen.readiness": f"127.0.0.1:{self.readiness}",
            "listen.admin": f"127.0.0.1:{admin}",
            "portRange": f"{peers},{peers}",
            "bootstrap": "true",
            "heartbeatMs": 1200,
            "limits.cpuQuota": 0.537,
            "limits.cpus": 2,
            "limits.ramMb": 300,
            "limits.maxFds": 4300,
            "bounds.contactMs": 4000,
            "bounds.drainMs": 7000,
            "bounds.graceS": 6,
            "bounds.convergeMs": 3000,
            "bounds.quotaWindowS": 5,
            "bounds.quotaExcess": 0.1,
            "bounds.quotaMargin": 20,
            "bounds.recoveryS": 12,
            "bounds.fencing": "false",
            "platform.addr": store,
            "platform.form": "kv",
            "platform.ttlMinMs": 1000,
            "provider.addr": provider,
            "provider.duties": "failover",
        }
        text = "\n".join(f"{key}={value}" for key, value in lines.items())
        (self._place / "settings.conf").write_text(text + "\n", encoding="utf-8")
        self.start()

    def start(self) -> None:
        """Start the process; its log is appended to that of an earlier one."""
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "QUETZALRUDDER_CONFIG": str(self._place / "settings.conf"),
            **self._role["env"],
            # Several processes share the loopback address, so each has a port of its own.
            "QUETZALRUDDER_METRICS": f"{self._metrics}/metrics",
        }
        with (self._place / "log").open("ab") as log_file:
            self.process = subprocess.Popen(
                self._role["run"].split(), cwd=ROOT, env=env, stdout=log_file, stderr=log_file
            )

    @property
    def is_ready(self) -> bool:
        """True if the readiness probe is answered with 200."""
        try:
            with urlopen(f"http://127.0.0.1:{self.readiness}/readyz", timeout=1) as answer:
                return answer.status == 200
        except (URLError, OSError):
            return False

    def wait_ready(self) -> bool:
        """Wait until the process is ready; return False if it does not become so."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and self.process.poll() is None:
            if self.is_ready:
                return True
            time.sleep(0.05)
        return False

    def log(self) -> str:
        """Return what the process has logged."""
        return (self._place / "log").read_text(encoding="utf-8", errors="replace")

    def stop(self) -> None:
        """Send SIGTERM and wait until the process has ended."""
        self.process.terminate()
        self.process.wait(EXIT_TIMEOUT_S)

    def end(self) -> None:
        """Kill the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(EXIT_TIMEOUT_S)
