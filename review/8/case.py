"""A replica without the acknowledged commits is promoted, as the other one is busy for a moment."""

import sys
import threading
import time
from contextlib import ExitStack
from pathlib import Path

from standins2.edges import Caller
from standins2.record import Record
from standins2.scene import Scene, play

# A second, over all clients: what the deployment's sheet says of its two kinds of reads.
READS_PER_S = 135
WRITES_PER_S = 20
READ_WORK_S = 0.027
DEAF_BEFORE_CRASH_S = 3.0
WAIT_S = 10.0


class Load:
    """Clients that read and write at a steady rate, and what was acknowledged to them.

    Parameters
    ----------
    scene : Scene
        The deployment.
    """

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._number = 0
        # Time of each acknowledgement, by request id.
        self.acknowledged: dict[str, float] = {}
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Begin to send."""
        edges = self._scene.fleet.edges
        for route, count, per_s in (("comps", 48, READS_PER_S), ("offers", 12, WRITES_PER_S)):
            for number in range(count):
                args = (edges[number % len(edges)].frontend, route, count / per_s)
                thread = threading.Thread(target=self._run, args=args, daemon=True)
                self._threads.append(thread)
                thread.start()

    def stop(self) -> None:
        """Send no more."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(3.0)

    def _next_id(self) -> str:
        with self._lock:
            self._number += 1
            return f"q{self._number}"

    def _run(self, port: int, route: str, interval_s: float) -> None:
        caller: Caller | None = None
        while not self._stopping.wait(interval_s):
            try:
                caller = caller or Caller(port, route)
                request_id = self._next_id()
                is_write = route == "offers"
                text = f"PUT {request_id} sent" if is_write else "FETCH 0"
                lines = caller.query(request_id, text)
                if is_write:
                    self._note(request_id, lines)
                if not lines or not lines[-1].startswith("READY"):
                    caller = None
            except OSError:
                caller = None

    def _note(self, request_id: str, lines: list[str]) -> None:
        self._scene.record.write("client", f"{request_id}: {lines[0] if lines else 'closed'}")
        if lines and lines[0].startswith("DONE"):
            self.acknowledged[request_id] = self._scene.record.now


def scenario(stack: ExitStack, record: Record, disrupts: bool) -> bool:
    """Crash a primary one of whose replicas receives nothing; return whether no commit is lost."""
    scene = Scene(stack, record, sync_replicas=1)
    scene.service.work_s = READ_WORK_S
    scene.start()
    load = Load(scene)
    load.start()
    stack.callback(load.stop)
    time.sleep(2.0)
    primary, deaf = scene.service.primary, scene.service.databases[2]
    if disrupts:
        deaf.deaf = True
        record.write(deaf.name, f"receives nothing from {deaf.received} on")
        time.sleep(DEAF_BEFORE_CRASH_S)
        primary.crash()
    else:
        primary.drain()
    time.sleep(WAIT_S)
    load.stop()
    scene.note_logs("replica status unknown", "successor chosen", "replica promoted")
    if not scene.service.promoted:
        raise RuntimeError("no database was promoted")
    at, leader, log = scene.service.promoted[0]
    kept = {entry.request_id for entry in log}
    lost = [name for name, when in load.acknowledged.items() if when < at and name not in kept]
    record.write("check", f"{leader.name} leads from {at:.3f} s; acknowledged and lost: {lost}")
    return not lost


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, scenario))
