"""A replica that drains counts as gone while the store, back from an outage, lacks its entry."""

import sys
import threading
import time
from pathlib import Path

from review.standins3.scene import BROKEN, CANNOT_RUN, HELD, Scene, has_trouble

# The users' bounds: drainMs 7,000, heartbeats of 1,200 ms, entries back within about 2 s.
DRAINING_FOR_S = 1.0
STORE_AWAY_S = 4.5
BACK_AFTER_S = (0.3, 1.8, 0.6, 0.6)
NEW_LAG_S = 0.04
CRASH_AFTER_S = 0.7
PRIMARY_DOWN_S = 7.0


def main() -> int:
    """Run the case, and return its exit status."""
    with Scene(Path(__file__).parent, sync_replicas=1, network=62) as scene:
        primary, leaving, _ = scene.service.databases
        scene.begin_writes(8)
        time.sleep(3.0)
        scene.release(leaving).lag_s = NEW_LAG_S
        time.sleep(DRAINING_FOR_S)
        if has_trouble():
            scene.note("the store is down, leases and entries run out")
            scene.store.is_away = True
            time.sleep(STORE_AWAY_S)
            now = time.monotonic()
            for database, after_s in zip(scene.service.databases, BACK_AFTER_S, strict=True):
                database.next_beat = now + after_s
            scene.store.is_away = False
            scene.note("the store is back")
            time.sleep(CRASH_AFTER_S)
            scene.note(f"{primary.name}, the primary, crashes")
            primary.crash()
            threading.Timer(PRIMARY_DOWN_S, primary.recover).start()
        time.sleep(PRIMARY_DOWN_S + 1.0)
        lost = scene.lost_writes()
        done = sum(attempt.is_done for attempt in scene.record.attempts)
        for line in lost:
            scene.note(f"LOST: acknowledged write {line}")
        scene.note(f"{done} writes acknowledged, {len(scene.service.promotions)} promotions")
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
