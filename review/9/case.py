"""A replica without the acknowledged commits is promoted, as the other one is to be replaced."""

import sys
import time
from contextlib import ExitStack
from pathlib import Path

from standins2.checks import await_promotion
from standins2.record import Record
from standins2.scene import Scene, play
from standins2.writers import Writers

BEFORE_S = 1.0
DEAF_BEFORE_CRASH_S = 3.0
AFTER_S = 3.0


def scenario(stack: ExitStack, record: Record, disrupts: bool) -> bool:
    """Replace a replica, and then the primary; return whether no acknowledged commit is lost."""
    scene = Scene(stack, record, sync_replicas=1)
    scene.start()
    writers = Writers(scene.fleet.edges, record)
    writers.start()
    stack.callback(writers.stop)
    time.sleep(BEFORE_S)
    primary, draining, other = scene.service.databases
    draining.drain()
    if disrupts:
        other.deaf = True
        record.write(other.name, f"receives nothing from {other.received} on")
    time.sleep(DEAF_BEFORE_CRASH_S)
    if disrupts:
        primary.crash()
    else:
        primary.drain()
    await_promotion(scene)
    time.sleep(AFTER_S)
    writers.stop()
    scene.note_logs("successor chosen", "replica promoted")
    at, leader, log = scene.service.promoted[0]
    kept = {entry.request_id for entry in log}
    lost = [name for name, when in writers.acknowledged.items() if when < at and name not in kept]
    record.write("check", f"{leader.name} leads from {at:.3f} s; acknowledged and lost: {lost}")
    record.write("check", f"{draining.name} is up and has {draining.received}")
    return not lost


if __name__ == "__main__":
    sys.exit(play(Path(__file__).parent, scenario))
