"""Writes at the primary of the current term, and their confirmation by a majority."""

from concurrent.futures import FIRST_COMPLETED, Future, wait
from contextlib import suppress
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    NoPrimary,
    OutcomeUnknown,
    QuetzalrudderError,
    TargetUnavailable,
)
from quetzalrudder.groups import GroupTable, TargetView
from quetzalrudder.links import ControlLinks
from quetzalrudder.models import GroupId, TargetId
from quetzalrudder.schema.common import Ending, Position
from quetzalrudder.schema.target import Confirm, Role, State, TargetAnswer
from quetzalrudder.utils import Deadline

__all__ = ["Confirmer", "current_primary", "position_in_term", "to_write_error"]

RETRY_AFTER_MS = 200


def current_primary(groups: GroupTable, group: GroupId) -> Result[TargetView, QuetzalrudderError]:
    """Return the primary of the highest observed term, if it is reachable."""
    primary = groups.primary(group)
    if primary is None or not primary.reachable:
        return Err(NoPrimary("no primary is reachable", place=group, retry_after_ms=RETRY_AFTER_MS))
    return Ok(primary)


def to_write_error(exc: QuetzalrudderError) -> QuetzalrudderError:
    """Return ``OutcomeUnknown`` for a write that may have run; other errors stay as they are."""
    if exc.ending is not Ending.UNKNOWN:
        return exc
    return OutcomeUnknown(exc.message, place=exc.place, retry_after_ms=RETRY_AFTER_MS)


@dataclass
class Confirmer:
    """Waits until a majority of a group has confirmed that it holds a write.

    Parameters
    ----------
    groups : GroupTable
        The database groups and their members.
    links : ControlLinks
        Control connections to the members.
    """

    groups: GroupTable
    links: ControlLinks

    def ensure_links(self, group: GroupId) -> None:
        """Open control connections to a group's members, to be ready for :meth:`confirm`."""
        self.links.record_use(group)

    def confirm(
        self,
        group: GroupId,
        position: Position,
        deadline: Deadline,
        primary: TargetId | None = None,
        state: State | None = None,
    ) -> Result[None, QuetzalrudderError]:
        """Wait until a majority of the group holds the position in the current term.

        Parameters
        ----------
        group : GroupId
            The database group.
        position : Position
            Position of the write.
        deadline : Deadline
            Latest time to wait for confirmations.
        primary : TargetId, optional
            The target that answered the write.
        state : State, optional
            Its state in that answer. The primary's answer then counts as its own
            confirmation, and a position of an earlier term is confirmed by the first
            position of the primary's term, which follows it in the same log.

        Returns
        -------
        Result[None, QuetzalrudderError]
            ``OutcomeUnknown`` if no majority confirmed the position in time.
        """
        members = self.groups.members(group)
        needed = len(members) // 2 + 1
        confirmed = 0
        if primary is not None and state is not None and state.role is Role.PRIMARY:
            members = [view for view in members if view.info.target != primary]
            confirmed = 1
            position = position_in_term(position, state)
        pending = self._ask_members(members, position, deadline)
        while pending and confirmed < needed and not deadline.passed:
            completed, pending = wait(pending, deadline.remaining_s, return_when=FIRST_COMPLETED)
            confirmed += sum(1 for fut in completed if _is_confirmed(fut))
        if confirmed < needed:
            reason = f"the request was confirmed by {confirmed} of the {needed} required targets"
            return Err(OutcomeUnknown(reason, place=group, retry_after_ms=RETRY_AFTER_MS))
        return Ok(None)

    def _ask_members(
        self, members: list[TargetView], position: Position, deadline: Deadline
    ) -> "set[Future[TargetAnswer]]":
        futures = set()
        for view in members:
            req = Confirm(position=position, wait_ms=deadline.remaining_ms)
            with suppress(TargetUnavailable):
                futures.add(self.links.start(view.info.target, req))
        return futures


def position_in_term(position: Position, state: State) -> Position:
    """Return the position to be confirmed for a position that a primary's log holds.

    A position of the primary's term is returned unchanged. For one of an earlier term, it
    is the first position of the primary's term, which follows in the same log.

    Examples
    --------
    >>> from quetzalrudder.schema.common import TermStart
    >>> state = State(term=3, term_starts=[TermStart(term=3, first_index=9)])
    >>> position_in_term(Position(term=1, index=4), state)
    Position(term=3, index=9)
    """
    if position.term >= state.term:
        return position
    starts = [start for start in state.term_starts if start.term == state.term]
    return Position(term=state.term, index=starts[0].first_index) if starts else position


def _is_confirmed(fut: "Future[TargetAnswer]") -> bool:
    return fut.exception() is None and fut.result().failure is None and fut.result().confirmed
