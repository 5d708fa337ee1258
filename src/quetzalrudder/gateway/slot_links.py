"""Connections whose statements wait for a slot of the database.

Serves a large fleet, as :mod:`quetzalrudder.gateway.slots` does.
"""

from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok, Result

from quetzalrudder.exceptions import Draining, QuetzalrudderError
from quetzalrudder.gateway.slots import SlotLimiter, SlotLimiters
from quetzalrudder.gateway.statements import (
    Commit,
    Execute,
    Read,
    SessionState,
    Statement,
    StatusAnswer,
    TargetConnector,
    TargetFault,
    TargetLink,
    TargetReply,
    Write,
)
from quetzalrudder.gateway.targets import LogPosition, Target
from quetzalrudder.gateway.wait_queue import NO_WORKSPACE, Claim, Urgency
from quetzalrudder.models import RequestId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["MAX_WAIT_FRACTION", "SlotLimitedConnector", "SlotLimitedLink"]

# Fraction of a statement's timeout that it may wait for a slot. If it got one at the end of its
# timeout, the connection would be lost with the answer.
MAX_WAIT_FRACTION = 0.75


class SlotLimitedConnector:
    """Opens connections whose statements wait for a slot of the database.

    Parameters
    ----------
    connector : TargetConnector
        Opens the connections.
    limiters : SlotLimiters
        The slot limiters of the databases.
    clock : Clock
        Source of time.
    """

    def __init__(self, connector: TargetConnector, limiters: SlotLimiters, clock: Clock) -> None:
        self._connector = connector
        self._limiters = limiters
        self._clock = clock

    def connect(
        self, target: Target, workspace: WorkspaceId, timeout_s: float
    ) -> Result[TargetLink, QuetzalrudderError]:
        """Open a connection on behalf of a workspace."""
        opened = self._connector.connect(target, workspace, timeout_s)
        return opened.map(
            lambda link: SlotLimitedLink(
                link, lambda: self._limiters.for_target(target), self._clock
            )
        )


class SlotLimitedLink:
    """A connection whose statements wait for a slot of the database.

    Parameters
    ----------
    link : TargetLink
        The connection.
    get_limiter : Callable
        Returns the database's slot limiter; None if statements need not wait.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, link: TargetLink, get_limiter: Callable[[], SlotLimiter | None], clock: Clock
    ) -> None:
        self._link = link
        self._get_limiter = get_limiter
        self._clock = clock
        self._state = SessionState.IDLE
        # The claim of the request that the connection is checked out for.
        self.claim = Claim(Urgency(1, 0, 0.0), NO_WORKSPACE, 0.0)

    @property
    def broken(self) -> bool:
        """True once the connection can no longer be used."""
        return self._link.broken

    def close(self) -> None:
        """Close the connection."""
        self._link.close()

    def run(
        self,
        request_id: RequestId,
        statement: Statement,
        timeout_s: float,
        at_least: LogPosition | None = None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement once there is a slot for it.

        With ``may_send``, it is called when there is one; the statement is sent only if it
        returns True.
        """
        limiter = (
            self._get_limiter() if isinstance(statement, Read | Write | Execute | Commit) else None
        )
        if limiter is None:
            if not may_send():
                return Err(_given_up_error())
            return self._track_state(self._link.run(request_id, statement, timeout_s, at_least))
        started_at = self._clock.monotonic()
        claim = self._current_claim(started_at + MAX_WAIT_FRACTION * timeout_s)
        if not limiter.acquire(claim):
            detail = "no slot became free at the connection owner"
            return Ok(TargetReply(self._state, fault=TargetFault.BUSY, detail=detail))
        granted_at = self._clock.monotonic()
        remaining_s = max(0.01, timeout_s - (granted_at - started_at))
        answer: TargetReply | None = None
        try:
            if not may_send():
                return Err(_given_up_error())
            result = self._link.run(request_id, statement, remaining_s, at_least)
            answer = result.ok_value if isinstance(result, Ok) else None
            return self._track_state(result)
        finally:
            if answer is None:
                limiter.release_unanswered()
            else:
                used_s = self._clock.monotonic() - granted_at
                limiter.release(claim.urgency.priority, used_s, answer.fault)

    def _current_claim(self, latest: float) -> Claim:
        if self._state is SessionState.IN_TRANSACTION:
            return replace(self.claim, urgency=replace(self.claim.urgency, rank=0), until=latest)
        return replace(self.claim, until=min(self.claim.until or latest, latest))

    def _track_state(
        self, result: Result[TargetReply, QuetzalrudderError]
    ) -> Result[TargetReply, QuetzalrudderError]:
        if isinstance(result, Ok):
            self._state = result.ok_value.state
        return result

    def reset(self, timeout_s: float) -> Result[TargetReply, QuetzalrudderError]:
        """Clear the session values and prepared statements of the connection."""
        return self._link.reset(timeout_s)

    def status(self, timeout_s: float) -> Result[StatusAnswer, QuetzalrudderError]:
        """Request the database's role, term and log position."""
        return self._link.status(timeout_s)

    def step_down(self, term: int, timeout_s: float) -> Result[None, QuetzalrudderError]:
        """Make a primary of a lower term a replica."""
        return self._link.step_down(term, timeout_s)


def _given_up_error() -> Draining:
    return Draining("the statement has been given up, as the instance stops")
