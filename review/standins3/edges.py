"""Entry instances: the program of the deploy file as processes, one on each loopback address."""

import os
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from urllib.request import urlopen

__all__ = ["ROOT", "Edge", "free_ports"]

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))["roles"]["edge"]
START_TIMEOUT_S = 20.0


def free_ports(host: str, count: int) -> list[int]:
    """Return free ports of an address, in ascending order."""
    socks = [socket.create_server((host, 0)) for _ in range(count)]
    ports = sorted(sock.getsockname()[1] for sock in socks)
    for sock in socks:
        sock.close()
    return ports


class Edge:
    """One process of the program, with a settings file like that of a small deployment.

    Parameters
    ----------
    directory : Path
        Folder for the settings file and the log.
    name, host, zone
        Name, loopback address and zone of the machine.
    store, provider
        Addresses of the store and of the promotion call.
    zones : list of str
        All zones.
    """

    def __init__(
        self,
        directory: Path,
        name: str,
        host: str,
        zone: str,
        store: str,
        provider: str,
        zones: list[str],
    ) -> None:
        self.name, self.host = name, host
        self.settings, self.log = directory / f"{name}.conf", directory / f"{name}.log"
        front, ready, admin, *peers = free_ports(host, 6)
        self.frontend, self.readiness = front, ready
        lines = [
            f"nodeName={name}",
            "role=edge",
            "class=edge",
            "serves=edge",
            f"ip={host}",
            f"zone={zone}",
            "region=region-1",
            *(f"zones.{each}=region-1" for each in zones),
            f"listen.frontend={host}:{front}",
            f"listen.readiness={host}:{ready}",
            f"listen.admin={host}:{admin}",
            f"portRange={peers[0]},{peers[0]}",
            "bootstrap=true",
            "lossCounts=false",
            "heartbeatMs=1200",
            "bounds.contactMs=4000",
            "bounds.drainMs=7000",
            "bounds.graceS=6",
            "bounds.convergeMs=3000",
            "bounds.quotaWindowS=5",
            "bounds.quotaExcess=0.1",
            "bounds.quotaMargin=20",
            f"platform.addr={store}",
            "platform.form=kv",
            "platform.ttlMinMs=1000",
            f"provider.addr={provider}",
            "provider.duties=failover",
        ]
        self.settings.write_text("\n".join(lines) + "\n", encoding="utf-8")
        self.process: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        """Start the process; its log is appended to that of an earlier one."""
        env = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "target/deps"),
            "QUETZALRUDDER_CONFIG": str(self.settings),
            **DEPLOY["env"],
        }
        with self.log.open("ab") as log_file:
            self.process = subprocess.Popen(
                DEPLOY["run"].split(), cwd=ROOT, env=env, stdout=log_file, stderr=log_file
            )

    def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        try:
            url = f"http://{self.host}:{self.readiness}/readyz"
            with urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def wait_ready(self) -> None:
        """Wait until the process is ready; raises ``RuntimeError`` if it does not become so."""
        until = time.monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} is not ready")
            time.sleep(0.05)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process at once."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
