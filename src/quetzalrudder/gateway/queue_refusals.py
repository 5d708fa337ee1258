"""Counts and reports the statements that a queue refused on arrival.

Serves bursts in which a queue refuses hundreds of statements a second: an operator sees which
kinds and workspaces were refused, in one log line for each database and interval.
"""

import logging
import threading
from collections import Counter
from collections.abc import Callable

from quetzalrudder.gateway.wait_queue import Claim
from quetzalrudder.models import TargetId, WorkspaceId
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["QueueRefusals"]

log = logging.getLogger(__name__)

REPORT_INTERVAL_S = 5.0
# Workspaces with a metric of their own; the others are counted together.
MAX_COUNTED_WORKSPACES = 100
# Workspaces in one log line, those refused most.
MAX_LOGGED_WORKSPACES = 5
OTHER_WORKSPACES = WorkspaceId("other")


class QueueRefusals:
    """Refusals on arrival, by priority and workspace.

    Parameters
    ----------
    count : Callable
        Adds a refusal to the metrics, by priority and workspace.
    clock : Clock
        Source of time.
    """

    def __init__(self, count: Callable[[int, WorkspaceId], None], clock: Clock) -> None:
        self._count = count
        self._clock = clock
        self._lock = threading.Lock()
        self._counted: set[WorkspaceId] = set()
        self._unreported: dict[TargetId, Counter[tuple[int, WorkspaceId]]] = {}
        self._reported_at: dict[TargetId, float] = {}

    def record(self, target: TargetId, claim: Claim, delay_s: float) -> None:
        """Record a refusal and the delay that was expected."""
        now = self._clock.monotonic()
        priority = claim.urgency.priority
        with self._lock:
            if len(self._counted) < MAX_COUNTED_WORKSPACES:
                self._counted.add(claim.workspace)
            workspace = claim.workspace if claim.workspace in self._counted else OTHER_WORKSPACES
            refused = self._unreported.setdefault(target, Counter())
            refused[priority, workspace] += 1
            is_due = now - self._reported_at.get(target, -REPORT_INTERVAL_S) >= REPORT_INTERVAL_S
            if is_due:
                self._reported_at[target] = now
                del self._unreported[target]
        self._count(priority, workspace)
        if is_due:
            _report(target, refused, delay_s)


def _report(target: TargetId, refused: Counter[tuple[int, WorkspaceId]], delay_s: float) -> None:
    by_priority: Counter[int] = Counter()
    by_workspace: Counter[WorkspaceId] = Counter()
    for (priority, workspace), count in refused.items():
        by_priority[priority] += count
        by_workspace[workspace] += count
    log.warning(
        "statements refused on arrival",
        extra={
            "target": target,
            "refused": refused.total(),
            "by_priority": dict(by_priority),
            "by_workspace": dict(by_workspace.most_common(MAX_LOGGED_WORKSPACES)),
            "expected_delay_ms": round(delay_s * MS_PER_S),
        },
    )
