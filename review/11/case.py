"""A successor whose record was written late, without an answer, is waited for for ever."""

import base64
import re
import sys
import threading
import time
from pathlib import Path

from review.standins3.databases import Database
from review.standins3.scene import BROKEN, CANNOT_RUN, HELD, SERVICE, Scene, has_trouble

HEALTHY_S = 10.0
# A release of two databases, one after the other; each drains for drainMs and a little longer.
RELEASE_GAP_S = 1.5
DRAINING_FOR_S = 9.0
# How much later the store does two writes; the condition of the second one does not hold then.
LATE_S = (1.2, 1.2)
# The final fault.
KILLED_AFTER_S, KILLED_FOR_S = 2.5, 1.1
# The users' recoveryS, and how long requests are watched after it.
RECOVERY_S, WATCHED_S = 12.0, 6.0
SERVED_SHARE = 0.25
PRIMARY_KEY = f"qr/leaders/{SERVICE}"


def databases_in(body: dict) -> list[str]:
    """Return the databases that a conditional write of the service's primary names."""
    raw = b"".join(
        base64.b64decode(put["value"]) for put in body["puts"] if put["key"] == PRIMARY_KEY
    )
    return sorted({found.decode() for found in re.findall(rb"i-\d+ledg", raw)})


def main() -> int:
    """Run the case, and return its exit status."""
    with Scene(Path(__file__).parent, edge_count=4, sync_replicas=1, network=63) as scene:
        service, late = scene.service, []

        def be_late(body: dict) -> float | None:
            """Be late with the first two writes that name a successor beside the old primary."""
            names = databases_in(body)
            if len(names) < 2 or len(late) == len(LATE_S) or not has_trouble():
                return None
            late.append(names)
            named = " and ".join(names)
            scene.note(f"the store does a write that names {named} later, without an answer")
            return LATE_S[len(late) - 1]

        def leave(database: Database) -> None:
            database.crash()
            scene.store.delete(f"servers/{database.name}")
            scene.note(f"release: {database.name} has left")

        scene.store.lateness_s = be_late
        scene.begin_writes(6, pause_s=0.1)
        time.sleep(HEALTHY_S)
        for old in service.databases[:2]:
            began = time.monotonic()
            scene.release(old)
            leaving = threading.Timer(DRAINING_FOR_S, leave, (old,))
            leaving.daemon = True
            leaving.start()
            time.sleep(max(0.0, began + RELEASE_GAP_S - time.monotonic()))
        time.sleep(KILLED_AFTER_S)
        before = [attempt.is_done for attempt in list(scene.record.attempts)]
        scene.note("final fault: all instances are killed")
        for edge in scene.edges:
            edge.end()
        time.sleep(KILLED_FOR_S)
        for edge in scene.edges:
            edge.start()
        for edge in scene.edges:
            edge.wait_ready()
        scene.note("all instances are back")
        back_at = time.monotonic()
        time.sleep(RECOVERY_S + WATCHED_S)
        later = [
            attempt.is_done
            for attempt in list(scene.record.attempts)
            if attempt.sent_at > back_at + RECOVERY_S
        ]
        counts = (
            f"{sum(before)} of {len(before)} requests served before the final fault, "
            f"{sum(later)} of {len(later)} later than recoveryS after it"
        )
        scene.note(counts)
        print(counts)
        if not later or sum(before) < SERVED_SHARE * len(before):
            return CANNOT_RUN
        return BROKEN if sum(later) < SERVED_SHARE * len(later) else HELD


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (OSError, RuntimeError) as exc:
        print(f"the case could not run: {exc}")
        sys.exit(CANNOT_RUN)
