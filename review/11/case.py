"""A recorded successor that no call has promoted is waited for, though another one is chosen."""

import sys
import threading
import time
from pathlib import Path

from review.standins3.scene import BROKEN, CANNOT_RUN, HELD, Scene, has_trouble

# drainMs, and a little longer.
DRAINING_FOR_S = 9.0
PROVIDER_AWAY_S = 5.0
KILLED_AFTER_S, KILLED_FOR_S = 4.2, 1.1
# The users' recoveryS, and how long requests are watched after it.
RECOVERY_S, WATCHED_S = 12.0, 6.0
SERVED_SHARE = 0.25


def main() -> int:
    """Run the case, and return its exit status."""
    with Scene(Path(__file__).parent, edge_count=4, sync_replicas=1, network=63) as scene:
        for database in scene.service.databases:
            database.lag_s = 0.008
        scene.begin_writes(4, pause_s=0.4)
        time.sleep(4.0)
        before = [attempt.is_done for attempt in scene.record.attempts]
        primary = scene.service.databases[0]
        scene.release(primary)
        leaving = threading.Timer(DRAINING_FOR_S, primary.crash)
        leaving.daemon = True
        leaving.start()
        if has_trouble():
            scene.note("promotion calls get 503")
            scene.store.is_provider_away = True
            back = threading.Timer(
                PROVIDER_AWAY_S, setattr, (scene.store, "is_provider_away", False)
            )
            back.start()
        time.sleep(KILLED_AFTER_S)
        scene.note("final fault: all instances are killed")
        for edge in scene.edges:
            edge.end()
        time.sleep(KILLED_FOR_S)
        for edge in scene.edges:
            edge.start()
        for edge in scene.edges:
            edge.wait_ready()
        scene.note("all instances are back; promotion calls are taken")
        back_at = time.monotonic()
        time.sleep(RECOVERY_S + WATCHED_S)
        later = [
            attempt.is_done
            for attempt in list(scene.record.attempts)
            if attempt.sent_at > back_at + RECOVERY_S
        ]
        served = f"{sum(later)} of {len(later)} requests served after recoveryS"
        scene.note(f"{sum(before)} of {len(before)} before, {served}")
        print(f"{sum(before)} of {len(before)} requests served before the trouble, {served}")
        if not later or sum(before) < SERVED_SHARE * len(before):
            return CANNOT_RUN
        return BROKEN if sum(later) < SERVED_SHARE * len(later) else HELD


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (OSError, RuntimeError) as exc:
        print(f"the case could not run: {exc}")
        sys.exit(CANNOT_RUN)
