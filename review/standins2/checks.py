"""Checks of the rules on what clients, databases and the platform have seen."""

import time

from standins2.databases import Database
from standins2.scene import Scene
from standins2.writers import Writers

__all__ = ["await_promotion", "commits_held", "tokens_held"]


def await_promotion(scene: Scene, count: int = 1, timeout_s: float = 15.0) -> Database:
    """Wait until a number of databases have been promoted; return the latest.

    Raises
    ------
    TimeoutError
        That many were not promoted in time.
    """
    until = time.monotonic() + timeout_s
    while len(scene.service.promoted) < count:
        if time.monotonic() > until:
            raise TimeoutError("no database was promoted")
        time.sleep(0.01)
    return scene.service.promoted[count - 1][1]


def tokens_held(scene: Scene) -> bool:
    """Return whether no promotion call carried a lower token than the platform had seen."""
    seen, held = 0, True
    for call in scene.provider.calls:
        if call.token < seen:
            held = False
            scene.record.write("check", f"token {call.token} of {call.holder} after {seen}")
        seen = max(seen, call.token)
    return held


def commits_held(scene: Scene, writers: Writers) -> bool:
    """Return whether no commit at an old primary was acknowledged after a promotion."""
    stale = []
    for request_id in writers.acknowledged:
        at, database = scene.service.commits[request_id]
        leaders = [leader for since, leader, _ in scene.service.promoted if since < at]
        if leaders and leaders[-1] is not database:
            stale.append(request_id)
    primary = scene.service.primary
    kept = {entry.request_id for entry in primary.log} if primary is not None else set()
    lost = [name for name in writers.acknowledged if name not in kept]
    scene.record.write("check", f"acknowledged by an old primary after a promotion: {stale}")
    scene.record.write("check", f"acknowledged, and not in the log at the end: {lost}")
    return not stale
