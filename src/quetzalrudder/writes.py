"""Writes: once at the primary of the current term, acknowledged after confirmation."""

from concurrent.futures import Executor, Future, wait
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    NoPrimary,
    OutcomeUnknown,
    QuetzalrudderError,
)
from quetzalrudder.groups import GroupTable, TargetView
from quetzalrudder.links import ControlLinks
from quetzalrudder.models import GroupId
from quetzalrudder.schema.common import Ending, Position
from quetzalrudder.schema.target import Confirm, TargetAnswer
from quetzalrudder.utils import Deadline

__all__ = ["Confirmer", "current_primary", "unknown_if_sent"]

RETRY_AFTER_MS = 200


def current_primary(groups: GroupTable, group: GroupId) -> Result[TargetView, QuetzalrudderError]:
    """Find the primary of the highest term seen, if it is reachable and staying."""
    primary = groups.primary(group)
    if primary is None or not primary.reachable:
        return Err(NoPrimary("no primary is reachable", place=group, retry_after_ms=RETRY_AFTER_MS))
    return Ok(primary)


def unknown_if_sent(exc: QuetzalrudderError) -> QuetzalrudderError:
    """Tell a write whose answer was lost as unknown; other failures stay as they are."""
    if exc.ending is not Ending.UNKNOWN:
        return exc
    return OutcomeUnknown(exc.message, place=exc.place, retry_after_ms=RETRY_AFTER_MS)


@dataclass
class Confirmer:
    """Asks the members of a group whether they hold a position in its term.

    Parameters
    ----------
    groups : GroupTable
        The members.
    links : ControlLinks
        The way to them.
    executor : Executor
        Asks them side by side.
    """

    groups: GroupTable
    links: ControlLinks
    executor: Executor

    def confirm(
        self, group: GroupId, position: Position, deadline: Deadline
    ) -> Result[None, QuetzalrudderError]:
        """Wait until a majority of the group holds the position in the same term.

        Parameters
        ----------
        group : GroupId
            The database group.
        position : Position
            Position of the write.
        deadline : Deadline
            When to give up.

        Returns
        -------
        Result[None, QuetzalrudderError]
            ``OutcomeUnknown`` if no majority answered so in time.
        """
        members = self.groups.members(group)
        needed = len(members) // 2 + 1
        pending = {self.executor.submit(self._ask, view, position, deadline) for view in members}
        confirmed = 0
        while pending and confirmed < needed and not deadline.passed:
            done, pending = wait(pending, deadline.remaining_s, return_when="FIRST_COMPLETED")
            confirmed += sum(1 for fut in done if self._is_confirmed(fut))
        for fut in pending:
            fut.cancel()
        if confirmed < needed:
            reason = f"{confirmed} of {needed} databases confirmed the write"
            return Err(OutcomeUnknown(reason, place=group, retry_after_ms=RETRY_AFTER_MS))
        return Ok(None)

    def _ask(
        self, view: TargetView, position: Position, deadline: Deadline
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        req = Confirm(position=position, wait_ms=deadline.remaining_ms)
        return self.links.request(view.info.target, req, deadline.remaining_s)

    def _is_confirmed(self, fut: "Future[Result[TargetAnswer, QuetzalrudderError]]") -> bool:
        match fut.result():
            case Ok(answer):
                return answer.confirmed
            case _:
                return False
