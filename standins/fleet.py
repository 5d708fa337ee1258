"""Starts a deployment as processes on loopback, and controls its injected faults."""

import itertools
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

from quetzalrudder.bridge import Loop
from quetzalrudder.keys import digest_key, make_key
from quetzalrudder.operators import OperatorClient
from quetzalrudder.schema.platform import Group, InstanceEntry, TargetEntry
from quetzalrudder.schema.standin import (
    Faults,
    Lists,
    ReceivedRequest,
    StandInStub,
    Statistics,
    StatisticsRequest,
    View,
)
from quetzalrudder.sessions import Session
from quetzalrudder.settings import parse_branches
from quetzalrudder.streams import call_once
from quetzalrudder.utils import Address, parse_address
from standins.deployments import Deployment
from standins.network import Network, Relay

__all__ = ["OPERATOR_KEY", "Fleet", "free_addresses"]

ROOT = Path(__file__).resolve().parent.parent
OPERATOR_KEY = make_key()
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 5.0
READY_TIMEOUT_S = 20.0
FIRST_PORT = 10_000
PORT_COUNT = 20_000
# Processes with consecutive ids begin this many ports apart, so that they rarely compete.
PORT_STRIDE = 131

_port_numbers = itertools.count(os.getpid() * PORT_STRIDE)


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses whose ports are free.

    The ports are below the system's ephemeral range, so that no outgoing connection takes
    one of them before its server listens.
    """
    addresses: list[str] = []
    while len(addresses) < count:
        port = FIRST_PORT + next(_port_numbers) % PORT_COUNT
        if _is_free(port):
            addresses.append(f"127.0.0.1:{port}")
    return addresses


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


class Fleet:
    """Platform, targets and instances of one deployment, each a process.

    Parameters
    ----------
    deployment : Deployment
        Targets and instances to start.
    settings : str
        Operators' settings tree as INI text, applied once every instance listens.
    """

    def __init__(self, deployment: Deployment, settings: str) -> None:
        self.deployment = deployment
        self._settings = settings
        self._stack = ExitStack()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        targets = deployment.targets()
        instances = deployment.instances()
        addresses = iter(free_addresses(1 + len(targets) + 2 * len(instances)))
        self.platform_address = next(addresses)
        self.target_addresses = {target: next(addresses) for _, target, _ in targets}
        self.instance_addresses = {name: next(addresses) for name, _ in instances}
        self.control_addresses = {name: next(addresses) for name, _ in instances}
        self._relays = self._plan_relays()
        self.network = Network(self._relays)

    def __enter__(self) -> "Fleet":
        with ExitStack() as stack:
            self.loop = stack.enter_context(Loop())
            stack.enter_context(self.network)
            self.directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            stack.callback(self._kill_all)
            self._start_platform()
            self._start_targets()
            self._set_lists()
            for name, data_centre in self.deployment.instances():
                self.start_instance(name, data_centre)
            self.wait_for_ports(self.control_addresses.values())
            self._apply_settings()
            self._wait_until_ready()
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def _plan_relays(self) -> list[Relay]:
        routes = [
            (data_centre, name, instance_data_centre)
            for data_centre in self.deployment.data_centres
            for name, instance_data_centre in self.deployment.instances()
            if instance_data_centre != data_centre
        ]
        listen_addresses = free_addresses(len(routes))
        return [
            Relay(
                data_centre,
                instance_data_centre,
                parse_address(listen),
                parse_address(self.control_addresses[name]),
            )
            for (data_centre, name, instance_data_centre), listen in zip(
                routes, listen_addresses, strict=True
            )
        ]

    def _views(self) -> list[View]:
        name_by_address = {address: name for name, address in self.control_addresses.items()}
        return [
            View(
                data_centre=data_centre,
                instances=[
                    InstanceEntry(
                        instance=name_by_address[str(relay.forward_to)],
                        control_address=str(relay.listen),
                    )
                    for relay in self._relays
                    if relay.from_data_centre == data_centre
                ],
            )
            for data_centre in self.deployment.data_centres
        ]

    def isolate(self, data_centre: str, *, from_platform: bool = True) -> None:
        """Cut a data centre off from all others and, by default, from the platform."""
        others = [dc for dc in self.deployment.data_centres if dc != data_centre]
        for other in others:
            self.network.cut(data_centre, other)
        for _, target, target_data_centre in self.deployment.targets():
            cut_from = others if target_data_centre == data_centre else [data_centre]
            self.set_faults(target, cut_from=cut_from)
        if from_platform:
            self.set_faults("platform", cut_from=[data_centre])

    def heal(self) -> None:
        """Restore every connection between data centres and to the platform."""
        self.network.heal()
        for name in [*self.target_addresses, "platform"]:
            self.set_faults(name, cut_from=[])

    def _spawn(self, name: str, *args: str) -> None:
        env = dict(os.environ, PYTHONPATH=f"{ROOT / 'src'}:{ROOT}")
        with (self.directory / f"{name}.log").open("ab") as log_file:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *args], stdout=log_file, stderr=log_file, env=env, cwd=ROOT
            )

    def _start_platform(self) -> None:
        self._spawn("platform", "-m", "standins.platform", f"--listen={self.platform_address}")
        self.wait_for_ports([self.platform_address])

    def _start_targets(self) -> None:
        for _, target, _ in self.deployment.targets():
            self.start_target(target)
        self.wait_for_ports(self.target_addresses.values())

    def start_target(self, target: str, *, rejoin: bool = False) -> None:
        """Start a target.

        The first target of each new group starts as its primary. A target that rejoins has
        lost its log and waits for an instance's request to follow a primary.
        """
        group, data_centre = next((g, dc) for g, t, dc in self.deployment.targets() if t == target)
        primary = f"{group}-a"
        self._spawn(
            target,
            "-m",
            "standins.target",
            f"--target={target}",
            f"--data_centre={data_centre}",
            f"--listen={self.target_addresses[target]}",
            f"--primary={'' if rejoin else primary}",
            f"--primary_address={self.target_addresses[primary]}",
            f"--slots={self.deployment.slots}",
            f"--connection_limit={self.deployment.connection_limit}",
        )

    def start_instance(self, name: str, data_centre: str) -> None:
        """Start an instance."""
        path = self.directory / f"{name}.ini"
        path.write_text(
            "[daemon]\n"
            f"instance = {name}\n"
            f"data_centre = {data_centre}\n"
            f"listen = {self.instance_addresses[name]}\n"
            f"control_listen = {self.control_addresses[name]}\n"
            f"platform = {self.platform_address}\n"
            f"operator_key_digests = {digest_key(OPERATOR_KEY)}\n",
            encoding="utf-8",
        )
        self._spawn(name, "-m", "quetzalrudder.daemon", str(path))

    def wait_for_ports(self, addresses: Iterable[str]) -> None:
        """Wait until a server listens on each address."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for text in addresses:
            address = parse_address(text)
            while not _is_listening(address):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"no server listens on {text}; logs: {self.log_tails()}")
                time.sleep(POLL_INTERVAL_S)

    def _set_lists(self, leaving: frozenset[str] = frozenset(), lag_ms: int = 0) -> None:
        groups = []
        for name in self.deployment.groups:
            entries = [
                TargetEntry(
                    target=target,
                    address=self.target_addresses[target],
                    data_centre=data_centre,
                    leaving=target in leaving,
                )
                for group, target, data_centre in self.deployment.targets()
                if group == name
            ]
            groups.append(Group(group=name, term=1, primary=f"{name}-a", targets=entries))
        instances = [
            InstanceEntry(
                instance=name,
                address=self.instance_addresses[name],
                control_address=self.control_addresses[name],
                data_centre=data_centre,
                leaving=name in leaving,
            )
            for name, data_centre in self.deployment.instances()
        ]
        lists = Lists(groups=groups, instances=instances, lag_ms=lag_ms, views=self._views())
        self._call_stand_in(self.platform_address, "set_lists", lists)

    def set_leaving(self, *names: str, lag_ms: int = 0) -> None:
        """Mark targets or instances as leaving in the platform's lists, visible after a lag."""
        self._set_lists(frozenset(names), lag_ms)

    def _apply_settings(self) -> None:
        operator = self.operator(next(iter(self.control_addresses)))
        operator.apply(parse_branches(self._settings), base_revision=0, summary="first settings")

    def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        for name in self.control_addresses:
            while not self._is_ready(name):
                if time.monotonic() > deadline:
                    raise TimeoutError(f"{name} is not ready; logs: {self.log_tails()}")
                time.sleep(POLL_INTERVAL_S)

    def _is_ready(self, name: str) -> bool:
        status = self.operator(name).status()
        reachable = [target for target in status.targets if target.reachable]
        return status.settings_revision > 0 and len(reachable) == len(self.target_addresses)

    def operator(self, instance: str) -> OperatorClient:
        """Return a client for operator calls to an instance."""
        address = parse_address(self.control_addresses[instance])
        return OperatorClient(self.loop, address, "operator", key=OPERATOR_KEY)

    def session(self, *instances: str, workspace: str = "", key: str = "") -> Session:
        """Open a session through one or more instances."""
        return Session([self.instance_addresses[name] for name in instances], workspace, key)

    def _stand_in_address(self, name: str) -> str:
        return self.platform_address if name == "platform" else self.target_addresses[name]

    def _call_stand_in(self, address: str, method: str, req: Any) -> Any:
        async def call(channel: Any) -> Any:
            return await getattr(StandInStub(channel), method)(req)

        answer = call_once(parse_address(address), call, timeout_s=CALL_TIMEOUT_S)
        return self.loop.run(answer, timeout_s=CALL_TIMEOUT_S)

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set faults of the platform or a target; ``Faults`` in ``standin.proto`` lists them."""
        if "cut_from" in faults:
            faults["set_cut"] = True
        self._call_stand_in(self._stand_in_address(name), "set_faults", Faults(**faults))

    def statistics(self, name: str) -> Statistics:
        """Return the counters of the platform or a target."""
        return self._call_stand_in(
            self._stand_in_address(name), "read_statistics", StatisticsRequest()
        )

    def received_bytes(self, name: str) -> bytes:
        """Return every byte that the platform or a target has received."""
        return self._call_stand_in(
            self._stand_in_address(name), "read_received", ReceivedRequest()
        ).data

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a process of the fleet."""
        self._processes[name].send_signal(number)

    def pid(self, name: str) -> int:
        """Return the process id of a process of the fleet."""
        return self._processes[name].pid

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self._processes[name].wait(STOP_TIMEOUT_S)

    def stop(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Stop a process with SIGTERM and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return self._processes[name].wait(timeout_s)

    def read_log(self, name: str) -> str:
        """Return the whole log of a process."""
        return (self.directory / f"{name}.log").read_text(encoding="utf-8")

    def log_tails(self) -> str:
        """Return the end of every log, for error messages."""
        tails = {name: self.read_log(name)[-400:] for name in self._processes}
        return "\n".join(f"--- {name}\n{tail}" for name, tail in tails.items() if tail)

    def _kill_all(self) -> None:
        for process in self._processes.values():
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes.values():
            process.wait(STOP_TIMEOUT_S)


def _is_listening(address: Address) -> bool:
    try:
        with socket.create_connection((address.host, address.port), timeout=1):
            return True
    except OSError:
        return False
