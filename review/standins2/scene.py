"""What all scripts share: the platform, a service and the processes, on one exit stack."""

import json
import os
import re
import signal
import sys
import tempfile
import time
import traceback
from collections.abc import Callable
from contextlib import ExitStack, suppress
from pathlib import Path

from standins2.databases import Service
from standins2.edges import ZONES, Edge, Fleet, configuration
from standins2.provider import Provider
from standins2.record import Record
from standins2.store import Store

__all__ = ["HELD", "NOT_RUN", "VIOLATED", "Scene", "play"]

HELD, VIOLATED, NOT_RUN = 0, 1, 2
COORDINATOR_KEY = "qr/duty"
SETTLE_S = 3.0


class Scene:
    """A small deployment in which all is well.

    Parameters
    ----------
    stack : ExitStack
        Ends everything.
    record : Record
        The record of the run.
    sync_replicas : int
        The ``syncReplicas`` of the service.
    size : int
        Number of processes.
    """

    def __init__(
        self, stack: ExitStack, record: Record, *, sync_replicas: int = 0, size: int = 6
    ) -> None:
        self.record = record
        self.directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.store = Store()
        stack.callback(self.store.close)
        self.service = Service(self.store, record, ZONES[:3], sync_replicas=sync_replicas)
        stack.callback(self.service.close)
        self.provider = Provider(self.service.promote, record)
        stack.callback(self.provider.close)
        config = configuration(7, self.service.name, sync_replicas=sync_replicas)
        self.store.put("op/config", config)
        self.fleet = Fleet(stack, self.directory, self.store.address, self.provider.address, size)

    def start(self) -> None:
        """Start the processes, and let them settle."""
        self.fleet.start()
        time.sleep(SETTLE_S)
        self.record.write("scene", "processes are ready")

    def note_logs(self, *messages: str) -> None:
        """Copy the log lines with these messages into the record; their times are UTC."""
        lines = []
        for edge in self.fleet.edges:
            for line in edge.log().splitlines():
                with suppress(ValueError):
                    entry = json.loads(line)
                    if entry.get("message") in messages:
                        lines.append((entry["time"], edge.name, entry))
        for at, name, entry in sorted(lines, key=lambda found: found[:2]):
            left_out = ("time", "level", "logger", "instance", "left_out", "taskName")
            told = {key: value for key, value in entry.items() if key not in left_out}
            self.record.write(name, f"logged at {at.partition(' ')[2]}: {json.dumps(told)}")

    def coordinator(self) -> Edge:
        """Return the process that promotes databases."""
        value = self.store.value(COORDINATOR_KEY).decode("latin-1")
        found = re.search(r"edge-\d+", value)
        if found is None:
            raise LookupError("no process holds the duty")
        return self.fleet.find(found[0])


def play(folder: Path, scenario: Callable[[ExitStack, Record, bool], bool]) -> int:
    """Play a scenario and return the exit status.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets the record.
    scenario : Callable
        Given an exit stack, the record and whether to disrupt; returns whether the rule held.
    """
    # A run that is ended ends its processes too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder / "record.txt")
    disrupts = os.environ.get("TROUBLE", "1") != "0"
    record.write("scene", "with the disruption" if disrupts else "without the disruption")
    try:
        with ExitStack() as stack:
            held = scenario(stack, record, disrupts)
    except Exception:
        record.write("scene", f"could not run: {traceback.format_exc()}")
        print("could not run, see record.txt", file=sys.stderr)
        return NOT_RUN
    verdict = "the rule held" if held else "the rule was broken"
    record.write("scene", verdict)
    record.close()
    print(verdict)
    return HELD if held else VIOLATED
