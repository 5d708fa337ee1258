import time
from collections.abc import Callable

from standins.fleet import Fleet

WAIT_TIMEOUT_S = 20.0


def wait_for(
    condition: Callable[[], bool], expected: str, timeout_s: float = WAIT_TIMEOUT_S
) -> None:
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, f"timed out waiting for: {expected}"
        time.sleep(0.02)


def grant_key(fleet: Fleet, workspace: str) -> str:
    """Grant a key and wait until every instance has the revision of the grant."""
    first = next(iter(fleet.control_addresses))
    key = fleet.operator(first).grant_key(workspace)
    wait_for_revision(fleet, fleet.operator(first).tree().revision)
    return key


def wait_for_revision(fleet: Fleet, revision: int) -> None:
    for name in fleet.control_addresses:
        operator = fleet.operator(name)
        wait_for(
            lambda operator=operator: operator.status().settings_revision >= revision,
            f"revision {revision} at {name}",
        )
