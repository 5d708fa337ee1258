"""Delays in the queues of connection owners, as they reported them with their answers.

Serves a large fleet, where a statement travels to an owner before it meets the queue there:
what cannot be in time at any owner is not sent, and what would wait long at one is sent to
another that reported a shorter queue.
"""

from typing import NamedTuple

from quetzalrudder.models import InstanceId, TargetId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["OwnerDelays", "QueueKey"]

# Age at which a report no longer counts; the next statement is sent and brings a new one.
DELAY_REPORT_LIFETIME_S = 0.3
# Reports after which the expired ones are dropped.
MAX_REPORTS = 1024


class QueueKey(NamedTuple):
    """What a reported delay is for; a workspace beyond its share waits longer than others."""

    owner: InstanceId
    target: TargetId
    workspace: WorkspaceId
    priority: int


class OwnerDelays:
    """The latest reports.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Delay and the clock reading of its report.
        self._reports: dict[QueueKey, tuple[float, float]] = {}
        self._latest: dict[TargetId, tuple[float, float]] = {}

    def record(self, key: QueueKey, delay_s: float) -> None:
        """Record a report."""
        now = self._clock.monotonic()
        self._reports[key] = self._latest[key.target] = (delay_s, now)
        if len(self._reports) > MAX_REPORTS:
            oldest = now - DELAY_REPORT_LIFETIME_S
            # Replaced as a whole, as other threads read it; a report that one of them adds
            # meanwhile may be lost and comes again.
            self._reports = {
                other: report for other, report in list(self._reports.items()) if report[1] > oldest
            }

    def of_queue(self, key: QueueKey) -> float:
        """Return the expected delay in seconds; 0 if it is not known."""
        return self._value(self._reports.get(key))

    def of_target(self, target: TargetId) -> float:
        """Return the delay that a database's owners reported last; 0 if it is not known."""
        return self._value(self._latest.get(target))

    def _value(self, report: tuple[float, float] | None) -> float:
        if report is None:
            return 0.0
        delay_s, reported_at = report
        age_s = self._clock.monotonic() - reported_at
        return delay_s if age_s < DELAY_REPORT_LIFETIME_S else 0.0
