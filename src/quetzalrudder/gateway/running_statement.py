"""A statement that is being run: how far it has got, and which thread answers it.

Serves planned stops, and failures that nothing expected. When the time for a stop is over,
statements may still wait for a slot or run at a database; the thread that stops the instance
answers them, and the thread that runs one of them must not send it any more.
"""

import threading
from dataclasses import dataclass, field

from quetzalrudder.exceptions import (
    LinkLost,
    OutcomeUnknown,
    QuetzalrudderError,
    TransactionAborted,
)
from quetzalrudder.gateway.statements import Commit, SessionState, Statement
from quetzalrudder.models import RequestId

__all__ = ["RunningStatement", "StatementProgress"]


class StatementProgress:
    """Whether a database may have got a statement, and whether somebody has answered it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._offered = False
        self._given_up = False
        self._finished = False

    @property
    def offered(self) -> bool:
        """True while a database may run the statement or may have run it."""
        return self._offered

    def offer(self) -> bool:
        """Record that the statement is about to be sent; return False if it must not be."""
        with self._lock:
            self._offered = self._offered or not self._given_up
            return not self._given_up

    def withdraw(self) -> None:
        """Record that the database that got the statement certainly did not run it."""
        with self._lock:
            # What was given up has been answered for as it was.
            self._offered = self._offered and self._given_up

    def finish(self) -> bool:
        """End the statement; return False if it has been given up and answered already."""
        with self._lock:
            self._finished = not self._given_up
            return self._finished

    def give_up(self) -> bool:
        """Give the statement up; return False if it has ended, and its own thread answers it."""
        with self._lock:
            self._given_up = not self._finished
            return self._given_up


@dataclass(frozen=True)
class RunningStatement:
    """A statement of a session while it runs."""

    request_id: RequestId
    statement: Statement
    in_transaction: bool
    # Whether it writes; for a commit, whether the transaction does.
    writes: bool
    progress: StatementProgress = field(default_factory=StatementProgress)

    @property
    def state_after_failure(self) -> SessionState:
        """State of the session after the statement has failed."""
        if self.in_transaction and not isinstance(self.statement, Commit):
            return SessionState.FAILED_TRANSACTION
        return SessionState.IDLE

    def interruption_error(self, not_offered: QuetzalrudderError) -> QuetzalrudderError:
        """Return the error for a statement that is not run to its end.

        The connection of its transaction must not be used any more, so that the database rolls
        back.

        Parameters
        ----------
        not_offered : QuetzalrudderError
            The error if no database has got the statement.
        """
        reason, place = not_offered.message, not_offered.place
        if self.progress.offered and self.writes and self._takes_effect:
            return OutcomeUnknown(f"the outcome of the write is unknown: {reason}", place=place)
        if self.in_transaction:
            return TransactionAborted(reason, place=place)
        if self.progress.offered:
            return LinkLost(reason, place=place)
        return not_offered

    @property
    def _takes_effect(self) -> bool:
        return isinstance(self.statement, Commit) or not self.in_transaction
