"""What the databases of a group answer while its primary is replaced.

Serves replacements under load: all databases are asked at once, so that one that is silent or busy
holds up no other, and what one has told since the old primary went out of use still counts when it
is silent later.
"""

import logging
from collections.abc import Callable, Collection
from concurrent.futures import Executor, Future, wait
from dataclasses import dataclass, field, replace
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.exceptions import Overloaded, QuetzalrudderError
from quetzalrudder.gateway.primaries import PrimaryRecord
from quetzalrudder.gateway.probing import StatusRefused
from quetzalrudder.gateway.statements import TargetStatus
from quetzalrudder.gateway.succession import (
    UNANNOUNCED,
    Candidate,
    OldPrimary,
    OldPrimaryState,
)
from quetzalrudder.gateway.targets import Departure, LogPosition, Target, TargetRegistry
from quetzalrudder.models import GroupId, TargetId
from quetzalrudder.utils import Clock

__all__ = ["Prober", "StatusResult", "SuccessorSurvey"]

log = logging.getLogger(__name__)

# Above the time that a query takes at most: one on an idle connection, and one on a new one.
ANSWER_TIMEOUT_S = 1.0
# Further time for the databases whose answer is welcome but not needed.
OPTIONAL_ANSWER_TIMEOUT_S = 0.02

StatusResult = Result[TargetStatus, QuetzalrudderError]


class Prober(Protocol):
    """Queries the state of databases."""

    def status(self, target: Target) -> StatusResult:
        """Return the role and the log position of a database."""

    def step_down(self, target: Target, term: int) -> Result[None, QuetzalrudderError]:
        """Make an old primary a replica."""


@dataclass
class _Change:
    """What has been told since the old primary of a change went out of use."""

    # The last recorded primary and its term: they tell one change from another.
    previous: tuple[TargetId | None, int]
    began_at: float
    # Positions told, by id and start of the database.
    told: dict[tuple[TargetId, int], LogPosition] = field(default_factory=dict)
    # Position told by the old primary.
    final: LogPosition | None = None


class SuccessorSurvey:
    """Asks the databases of a group how far they have got.

    Parameters
    ----------
    prober : Prober
        Queries databases.
    registry : TargetRegistry
        The announced databases, and those that have left.
    primary_position : Callable
        Returns the newest position of a group's primary that this instance knows, and when it was
        asked for; None if there is none.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        prober: Prober,
        registry: TargetRegistry,
        primary_position: Callable[[GroupId], tuple[float, LogPosition] | None],
        clock: Clock,
    ) -> None:
        self._prober = prober
        self._clock = clock
        self._registry = registry
        self._primary_position = primary_position
        self._changes: dict[GroupId, _Change] = {}
        # Asks all databases at once; without one, they are asked in turn by the caller.
        self.executor: Executor | None = None

    def ask(
        self,
        targets: Collection[Target],
        optional: Collection[Target] = (),
        may_go_on: Callable[[], bool] = lambda: True,
    ) -> dict[TargetId, StatusResult]:
        """Return the answers of databases.

        Parameters
        ----------
        targets : collection of Target
            The databases to ask.
        optional : collection of Target
            Further ones, for which nobody waits much longer.
        may_go_on : Callable
            Called before each question that is not asked at once with the others; none follows
            if it returns false.
        """
        if self.executor is None:
            answers = {}
            for each in [*targets, *optional]:
                if not may_go_on():
                    break
                answers[each.target] = self._prober.status(each)
            return answers
        futs = {each: self.executor.submit(self._prober.status, each) for each in targets}
        further = {each: self.executor.submit(self._prober.status, each) for each in optional}
        wait(futs.values(), ANSWER_TIMEOUT_S)
        wait(further.values(), OPTIONAL_ANSWER_TIMEOUT_S if futs else ANSWER_TIMEOUT_S)
        return {
            each.target: _result_of(fut) for each, fut in {**futs, **further}.items() if fut.done()
        }

    def candidate(self, target: Target, answer: StatusResult | None) -> Candidate:
        """Return what an answer says of a database, whatever it has confirmed."""
        may_stay = not target.draining and not self._registry.is_evacuated(target)
        match answer:
            case Ok(status):
                received = status.received
                return Candidate(target.target, received, received, may_stay=may_stay)
            case Err(StatusRefused(applied=applied)):
                return Candidate(target.target, holds=applied, busy=True, may_stay=may_stay)
            case Err(Overloaded()):
                return Candidate(target.target, busy=True, may_stay=may_stay)
        return Candidate(target.target, may_stay=may_stay)

    # Changes in which a successor must have all acknowledged commits.

    def forget(self, group: GroupId) -> None:
        """Forget what was told during a change that has ended."""
        self._changes.pop(group, None)

    def ask_candidates(
        self, record: PrimaryRecord, may_go_on: Callable[[], bool] = lambda: True
    ) -> list[Candidate]:
        """Ask all databases that may have confirmed commits of a primary that is out of use."""
        change = self._change_of(record)
        targets = self._registry.targets_in_group(record.group)
        asked = [each for each in targets if each.target != record.previous]
        answers = self.ask(asked, may_go_on=may_go_on)
        has_log = self._has_log(record.group, answers)
        candidates = []
        for target in asked:
            answer = answers.get(target.target)
            candidate = self.candidate(target, answer)
            match answer:
                case Ok(status) if has_log and not status.received.index:
                    # It has begun again without its log, and is not announced anew yet.
                    candidates.append(Candidate(target.target, registered=False))
                case Ok(status):
                    change.told[target.life] = status.received
                    if status.primary and status.term > record.term:
                        candidate = replace(candidate, leads_term=status.term)
                case _:
                    candidate = replace(candidate, confirmed=change.told.get(target.life))
            candidates.append(candidate)
        return [*candidates, *self._departed(record, change, targets), self._unannounced(record)]

    def _has_log(self, group: GroupId, answers: dict[TargetId, StatusResult]) -> bool:
        """Return whether a commit of the group is known."""
        known = self._primary_position(group)
        told = [each.ok_value.received for each in answers.values() if isinstance(each, Ok)]
        return any(position.index for position in [*told, *(known[1:] if known else ())])

    def elapsed_s(self, record: PrimaryRecord) -> float:
        """Return the time since this instance has known the old primary to be out of use."""
        return self._clock.monotonic() - self._change_of(record).began_at

    def _change_of(self, record: PrimaryRecord) -> _Change:
        previous = (record.previous, record.term)
        change = self._changes.get(record.group)
        if change is None or change.previous != previous:
            change = _Change(previous, self._clock.monotonic())
            self._changes[record.group] = change
        return change

    def _departed(
        self, record: PrimaryRecord, change: _Change, targets: list[Target]
    ) -> list[Candidate]:
        addresses = {each.address for each in targets}

        def is_followed(departure: Departure) -> bool:
            # The log of one that drained has been transferred to the next one at its address.
            return departure.target.draining and departure.target.address in addresses

        return [
            Candidate(
                departure.target.target,
                confirmed=change.told.get(departure.life, departure.bound),
                registered=False,
            )
            for departure in self._registry.departures(record.group)
            if departure.target.target != record.previous and not is_followed(departure)
        ]

    def _unannounced(self, record: PrimaryRecord) -> Candidate:
        """Return what is known of databases whose announcements this instance has never seen.

        Those that run are announced within some time of the store's return, and of this instance's
        start. Those that have left by then may have confirmed what the primary had acknowledged.
        """
        return Candidate(
            UNANNOUNCED,
            confirmed=self._registry.unseen_bound(record.group),
            registered=not self._registry.is_settled,
            may_stay=False,
        )

    def ask_old_primary(self, record: PrimaryRecord) -> OldPrimary:
        """Ask a primary that is out of use for its position, which bounds what it acknowledged."""
        change = self._change_of(record)
        target = self._registry.queryable(record.previous) if record.previous else None
        if target is None:
            return self.remembered_old_primary(record)
        status = self.ask([target]).get(target.target)
        if not isinstance(status, Ok):
            return self._told(record, OldPrimaryState.SILENT)
        status = status.ok_value
        leads = status.primary and status.term >= record.term
        if not leads and status.received.term < record.term:
            # It has begun again without its log.
            return self._told(record, OldPrimaryState.GONE)
        change.final = status.received
        return OldPrimary(record.previous, OldPrimaryState.ANSWERS, change.final, leads)

    def remembered_old_primary(self, record: PrimaryRecord) -> OldPrimary:
        """Return what the old primary has told so far, without asking it."""
        is_gone = not record.previous or self._registry.is_gone(record.previous)
        return self._told(record, OldPrimaryState.GONE if is_gone else OldPrimaryState.SILENT)

    def _told(self, record: PrimaryRecord, state: OldPrimaryState) -> OldPrimary:
        return OldPrimary(record.previous or TargetId(""), state, self._change_of(record).final)


def _result_of(fut: Future) -> StatusResult:
    exc = fut.exception()
    if exc is not None:
        log.error("query of a database failed with an unexpected error", exc_info=exc)
        return Err(Overloaded(f"query failed: {exc!r}"))
    return fut.result()
