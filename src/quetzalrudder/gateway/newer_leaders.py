"""Finds databases that lead a later term than the recorded primary of their group.

Serves a platform that is slow under load: a promotion call without an answer may be carried out
long after its group has another primary. That one does not know at first that it was replaced, and
acknowledges commits that are lost.
"""

import logging
from concurrent.futures import Executor, Future

from result import Ok

from quetzalrudder.gateway.primaries import PrimaryRecord
from quetzalrudder.gateway.statements import TargetStatus
from quetzalrudder.gateway.successor_survey import Prober
from quetzalrudder.gateway.targets import Target, TargetRegistry, TargetRole
from quetzalrudder.models import GroupId, TargetId
from quetzalrudder.utils import Clock

__all__ = ["NewerLeaders"]

log = logging.getLogger(__name__)

# Shortest interval between two questions: a primary that was replaced announces for a while that it
# leads.
QUERY_INTERVAL_S = 0.1
# The same after one that was not answered: the database may not exist.
SILENT_QUERY_INTERVAL_S = 3.0


class NewerLeaders:
    """Asks databases that announce themselves as primaries without being recorded.

    Parameters
    ----------
    prober : Prober
        Queries databases.
    registry : TargetRegistry
        The announced databases.
    clock : Clock
        Source of time.
    """

    def __init__(self, prober: Prober, registry: TargetRegistry, clock: Clock) -> None:
        self._prober = prober
        self._registry = registry
        self._clock = clock
        self._queries: dict[GroupId, Future] = {}
        self._next_query: dict[GroupId, float] = {}
        # Asks without holding up the other groups; without one, the caller waits.
        self.executor: Executor | None = None

    def find(self, record: PrimaryRecord) -> TargetId | None:
        """Return a database that is known to lead a later term than the recorded primary."""
        group = record.group
        if group not in self._queries:
            announced = self._announced(record)
            if not announced or self._clock.monotonic() < self._next_query.get(group, 0.0):
                return None
            self._queries[group] = self._begin(announced)
        fut = self._queries[group]
        if not fut.done():
            return None
        del self._queries[group]
        answers = fut.result()
        is_answered = all(status is not None for status in answers.values())
        interval_s = QUERY_INTERVAL_S if is_answered else SILENT_QUERY_INTERVAL_S
        self._next_query[group] = self._clock.monotonic() + interval_s
        later = {
            target: status.term
            for target, status in answers.items()
            if status is not None and status.primary and status.term > record.term
        }
        leader = max(later, key=later.get, default=None)
        if leader is not None:
            log.warning(
                "another database leads a later term than the recorded primary",
                extra={
                    "group": group,
                    "primary": record.primary,
                    "term": record.term,
                    "leads": leader,
                    "leads_term": later[leader],
                },
            )
        return leader

    def _announced(self, record: PrimaryRecord) -> list[Target]:
        return [
            target
            for target in self._registry.targets_in_group(record.group)
            if target.role is TargetRole.PRIMARY and target.target != record.primary
        ]

    def _begin(self, targets: list[Target]) -> Future:
        if self.executor is not None:
            return self.executor.submit(self._ask, targets)
        fut: Future = Future()
        fut.set_result(self._ask(targets))
        return fut

    def _ask(self, targets: list[Target]) -> dict[TargetId, TargetStatus | None]:
        """Return what databases say of themselves; None for one that does not answer."""
        answers = {}
        for target in targets:
            status = self._prober.status(target)
            answers[target.target] = status.ok_value if isinstance(status, Ok) else None
        return answers
