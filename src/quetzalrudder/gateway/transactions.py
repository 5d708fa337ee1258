"""One open transaction: begun by its first statement, pinned to one connection."""

from result import Err, Ok, Result

from quetzalrudder.exceptions import OutcomeUnknown, QuetzalrudderError, TransactionAborted
from quetzalrudder.gateway.attempts import (
    Attempt,
    Request,
    fault_error,
    lost_answer,
    retry_pause_s,
    stale_answer,
)
from quetzalrudder.gateway.catalog import Route
from quetzalrudder.gateway.connections import Checkout
from quetzalrudder.gateway.running import OWN_REQUEST, StatementRunner
from quetzalrudder.gateway.statements import (
    Begin,
    Commit,
    Rollback,
    SessionState,
    TargetFault,
    TargetReply,
)
from quetzalrudder.models import RequestId, WorkspaceId

__all__ = ["OpenTransaction"]

# Ending a transaction that nobody waits for; then the connection is closed instead.
ROLLBACK_TIMEOUT_S = 0.5


class OpenTransaction:
    """A transaction of a session.

    Parameters
    ----------
    runner : StatementRunner
        The session's.
    request_id : RequestId
        Of the caller's BEGIN, which is sent with the first statement.
    route, workspace
        As they were when the transaction was opened.
    read_only : bool
        True if it may run at a replica.
    """

    def __init__(
        self,
        runner: StatementRunner,
        request_id: RequestId,
        route: Route,
        workspace: WorkspaceId,
        *,
        read_only: bool,
    ) -> None:
        self._runner = runner
        self._services = runner.services
        self.request_id = request_id
        self.route = route
        self.workspace = workspace
        self.read_only = read_only
        self.attempt: Attempt | None = None
        self.wrote = False
        # Session values changed inside; a rollback may or may not undo that at the database.
        self.changed_values = False

    def run(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement; the first one chooses the database."""
        if self.attempt is None:
            opened = self._open(req)
            if isinstance(opened, Err):
                return opened
        result = self._run_pinned(req)
        if isinstance(result, Ok) and self._runner.entries.writes(req.statement):
            self.wrote = True
        return result

    def _open(self, req: Request) -> Result[None, QuetzalrudderError]:
        """Begin at a database, which is chosen by the first statement."""
        last: QuetzalrudderError | None = None
        while True:
            planned = self._runner.next_attempt(req, last, needs_primary=not self.read_only)
            if isinstance(planned, Err):
                return planned
            attempt = planned.ok_value
            begun = self._begin_at(req, attempt)
            if isinstance(begun, Ok):
                self.attempt = attempt
                return begun
            attempt.checkout.release()
            last = begun.err_value

    def _begin_at(self, req: Request, attempt: Attempt) -> Result[None, QuetzalrudderError]:
        setup = self._runner.entries.set_up(attempt.checkout, req.statement)
        if isinstance(setup, Err):
            self._runner.note_fault(attempt, setup.err_value)
            return setup
        asked_at = self._services.clock.monotonic()
        result = attempt.checkout.link.run(
            self.request_id, Begin(self.read_only), attempt.timeout_s(asked_at), attempt.at_least
        )
        if isinstance(result, Err):
            self._runner.note_fault(attempt, result.err_value)
            return result
        reply = result.ok_value
        if reply.fault is not None:
            if reply.state is SessionState.IDLE:
                attempt.checkout.mark_reusable()
            return self._runner.refused(req, attempt, reply)
        if not self._services.planner.confirm(attempt, reply, asked_at):
            return Err(stale_answer(attempt.checkout.target.target))
        self._services.planner.begin_use(attempt)
        self._runner.confirm_charge()
        return Ok(None)

    def _run_pinned(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement on a transaction's own connection."""
        attempt = self.attempt
        self._runner.name_target(attempt)
        clock = self._services.clock
        setup = self._runner.entries.set_up(attempt.checkout, req.statement)
        if isinstance(setup, Err):
            self._runner.note_fault(attempt, setup.err_value)
            return Err(TransactionAborted(str(setup.err_value)))
        statement = self._runner.entries.as_shared(req.statement)
        while True:
            left_s = req.deadline_at - clock.monotonic()
            if left_s <= 0:
                return Err(TransactionAborted("the statement's time is up"))
            result = attempt.checkout.link.run(req.request_id, statement, left_s)
            if isinstance(result, Err):
                self._runner.note_fault(attempt, result.err_value)
                return Err(TransactionAborted(str(result.err_value)))
            reply = result.ok_value
            if reply.fault is None:
                return result
            exc = fault_error(reply, attempt.checkout.target.target)
            self._runner.note_fault(attempt, exc, reply.fault)
            if (
                reply.fault is not TargetFault.BUSY
                or reply.state is not SessionState.IN_TRANSACTION
            ):
                return Err(TransactionAborted(str(exc)))
            req.attempts += 1
            clock.sleep(retry_pause_s(req, self._services.rng))

    def commit(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        """Commit, and let go of the connection once that is certain."""
        if self.attempt is None:
            opened = self._open(req)
            if isinstance(opened, Err):
                return Err(TransactionAborted(str(opened.err_value)))
        if self.wrote and not self._services.planner.is_primary_usable(self.attempt):
            return Err(TransactionAborted("the primary was replaced before the commit"))
        self._runner.name_target(self.attempt)
        asked_at = self._services.clock.monotonic()
        result = self._run_commit(req)
        if isinstance(result, Err):
            return result
        reply = result.ok_value
        if self.wrote:
            if not self._services.planner.confirm(self.attempt, reply, asked_at):
                exc = stale_answer(self.attempt.checkout.target.target)
                return Err(OutcomeUnknown(exc.message, place=exc.place))
            self._runner.note_commit(reply)
        self.end(commit=True)
        return result

    def _run_commit(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        """Send a commit, again only after an answer that says it did not run."""
        attempt = self.attempt
        clock = self._services.clock
        while True:
            left_s = req.deadline_at - clock.monotonic()
            if left_s <= 0:
                return Err(TransactionAborted("the time for the commit is up"))
            result = attempt.checkout.link.run(req.request_id, Commit(), left_s)
            if isinstance(result, Err):
                self._runner.note_fault(attempt, result.err_value)
                lost = lost_answer(result.err_value, writes=self.wrote)
                if isinstance(lost, OutcomeUnknown):
                    return Err(lost)
                return Err(TransactionAborted(str(lost)))
            reply = result.ok_value
            if reply.fault is None:
                return result
            exc = fault_error(reply, attempt.checkout.target.target)
            self._runner.note_fault(attempt, exc, reply.fault)
            match reply.fault:
                case TargetFault.BUSY if reply.state is SessionState.IN_TRANSACTION:
                    req.attempts += 1
                    clock.sleep(retry_pause_s(req, self._services.rng))
                case TargetFault.BUSY | TargetFault.READ_ONLY | TargetFault.ABORTED:
                    return Err(TransactionAborted(str(exc)))
                case _ if self.wrote:
                    return Err(OutcomeUnknown(str(exc), place=attempt.checkout.target.target))
                case _:
                    return Err(TransactionAborted(str(exc)))

    def end(self, *, commit: bool, request_id: RequestId = OWN_REQUEST) -> None:
        """Let go of the connection; roll back unless the transaction has committed."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        try:
            if self.changed_values and not commit:
                # Whether the database undid the changes is not known: it is reset.
                attempt.checkout.invalidate_values()
            if commit or self._roll_back(attempt.checkout, request_id):
                attempt.checkout.mark_reusable()
        finally:
            self._services.planner.end_use(attempt)
            attempt.checkout.release()

    def _roll_back(self, checkout: Checkout, request_id: RequestId) -> bool:
        if checkout.link.broken:
            return False
        result = checkout.link.run(request_id, Rollback(), ROLLBACK_TIMEOUT_S)
        return isinstance(result, Ok) and result.ok_value.state is SessionState.IDLE
