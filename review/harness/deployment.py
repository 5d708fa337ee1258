"""A small deployment: the platform, services and edges, and the outcome of a case."""

import os
import signal
import tempfile
import time
import traceback
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path

from harness.database import Service
from harness.edges import Edge, Ports, small_config
from harness.provider import Provider
from harness.record import Record
from harness.store import MetadataStore

__all__ = ["Deployment", "run_case"]

ZONES = ["zone-a", "zone-b", "zone-c"]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A case counts as not run if it takes longer, in seconds.
LIMIT_S = 110


class NotRun(Exception):
    """The case could not run."""


class Deployment:
    """Six edges in three zones before services of three databases each.

    Parameters
    ----------
    stack : ExitStack
        Ends all that was started.
    record : Record
        Receives what is run.
    services : list of str
        Names of the services.
    edges : int
        Number of edges.
    """

    def __init__(
        self, stack: ExitStack, record: Record, services: list[str], *, edges: int = 6
    ) -> None:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.record = record
        self.store = MetadataStore()
        stack.callback(self.store.close)
        self.config = small_config(services)
        self.store.put("op/config", self.config)
        self.services = {name: Service(name, ZONES, self.store, record) for name in services}
        for service in self.services.values():
            stack.callback(service.close)
        self.provider = Provider(list(self.services.values()), record)
        stack.callback(self.provider.close)
        ports = Ports()
        stack.callback(ports.close)
        self.edges: list[Edge] = []
        stack.callback(self._keep_logs)
        for number in range(edges):
            zone = ZONES[number % len(ZONES)]
            name = f"edge-{zone}-{number + 1}"
            store, provider = self.store.address, self.provider.address
            edge = Edge(name, zone, ZONES, store, provider, directory, ports)
            self.edges.append(edge)
            stack.callback(edge.end)
        if not all(edge.wait_ready() for edge in self.edges):
            raise NotRun("an edge did not become ready")

    def _keep_logs(self) -> None:
        """Copy the edges' logs to the folder named by ``KEEP_LOGS``, if there is one."""
        if folder := os.environ.get("KEEP_LOGS"):
            for edge in self.edges:
                (Path(folder) / f"{edge.name}.log").write_text(edge.log(), encoding="utf-8")


def _give_up(number: int, _: object) -> None:
    raise NotRun(f"ended by {signal.Signals(number).name}")


def run_case(folder: Path, case: Callable[[ExitStack, Record, bool], list[str]]) -> int:
    """Run a case and return the exit status of its script.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets ``record.txt``.
    case : Callable
        Runs the case with or without its disruption, and returns how the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.add("case", folder=folder.name, trouble=trouble)
    started = time.monotonic()
    # The processes are ended as well if the case takes too long or is stopped.
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _give_up)
    signal.alarm(LIMIT_S)
    try:
        with ExitStack() as stack:
            findings = case(stack, record, trouble)
    except Exception:
        traceback.print_exc()
        record.add("not run", reason=traceback.format_exc(limit=3).splitlines()[-1])
        record.write()
        return NOT_RUN
    took_s = time.monotonic() - started
    for finding in findings:
        record.add("rule broken", what=finding)
    record.write()
    for finding in findings[:10]:
        print(finding)
    print(f"{len(findings)} findings in {took_s:.0f} s, trouble {'on' if trouble else 'off'}")
    return BROKEN if findings else HELD
