"""Instances that start while the store is down take databases that are not back in it for gone."""

import sys
import threading
import time
from pathlib import Path

from review.standins3.scene import BROKEN, CANNOT_RUN, HELD, Scene, has_trouble

DEAF_S = 6.5
STORE_AWAY_S = 4.0
KILLED_FOR_S = 1.0
# When the entries are back in the store; the users say: within about two seconds.
BACK_AFTER_S = (1.8, 1.7, 0.3)
WATCHED_S = 8.0


def main() -> int:
    """Run the case, and return its exit status."""
    with Scene(Path(__file__).parent, edge_count=4, sync_replicas=1, network=61) as scene:
        behind = scene.service.databases[2]
        scene.begin_writes(8)
        time.sleep(3.0)
        if has_trouble():
            scene.note(f"{behind.name}, a replica, receives nothing for {DEAF_S} s")
            behind.is_deaf = True
            threading.Timer(DEAF_S, setattr, (behind, "is_deaf", False)).start()
            time.sleep(0.2)
            scene.note("the store is down, leases and entries run out")
            scene.store.is_away = True
            time.sleep(0.6)
            scene.note("all instances are killed")
            for edge in scene.edges:
                edge.end()
            time.sleep(KILLED_FOR_S)
            for edge in scene.edges:
                edge.start()
            scene.note("the instances start again")
            time.sleep(STORE_AWAY_S - 0.6 - KILLED_FOR_S)
            now = time.monotonic()
            for database, after_s in zip(scene.service.databases, BACK_AFTER_S, strict=True):
                database.next_beat = now + after_s
            scene.store.is_away = False
            scene.note("the store is back; all databases run, and have run all the time")
        time.sleep(WATCHED_S)
        lost = scene.lost_writes()
        done = sum(attempt.is_done for attempt in scene.record.attempts)
        for line in lost:
            scene.note(f"LOST: acknowledged write {line}")
        print(f"{done} writes acknowledged, {len(lost)} of them lost by a promotion")
        if not done:
            return CANNOT_RUN
        return BROKEN if lost else HELD


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (OSError, RuntimeError) as exc:
        print(f"the case could not run: {exc}")
        sys.exit(CANNOT_RUN)
