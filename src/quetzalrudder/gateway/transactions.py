"""An open transaction: it begins with its first statement and keeps one connection."""

from contextlib import ExitStack

from result import Err, Ok, Result

from quetzalrudder.exceptions import OutcomeUnknown, QuetzalrudderError, TransactionAborted
from quetzalrudder.gateway.attempt_errors import fault_error, lost_answer_error, stale_answer_error
from quetzalrudder.gateway.attempts import Attempt, Request, retry_delay_s, run_offered
from quetzalrudder.gateway.catalog import Route
from quetzalrudder.gateway.connections import Checkout
from quetzalrudder.gateway.link_setup import INTERNAL_REQUEST_ID, SessionSetupFailed
from quetzalrudder.gateway.running import StatementRunner
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

# Timeout of a rollback that no caller waits for; after it the connection is closed instead.
ROLLBACK_TIMEOUT_S = 0.5


class OpenTransaction:
    """A transaction of a session.

    Parameters
    ----------
    runner : StatementRunner
        Runs the session's statements.
    request_id : RequestId
        Request id of the caller's BEGIN, which is sent with the first statement.
    route, workspace
        Route and workspace of the session when the transaction was opened.
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
        # Set if session values changed in the transaction; a rollback at the database may or
        # may not undo them.
        self.changed_values = False

    def run(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement; the first one determines the database."""
        if self.attempt is None:
            opened = self._open(req)
            if isinstance(opened, Err):
                return opened
        result = self._run_pinned(req)
        if isinstance(result, Ok) and self._runner.context.is_write(req.statement):
            self.wrote = True
        return result

    def _open(self, req: Request) -> Result[None, QuetzalrudderError]:
        """Choose a database for the transaction's first statement and begin there."""
        last_error: QuetzalrudderError | None = None
        while True:
            planned = self._runner.next_attempt(req, last_error, needs_primary=not self.read_only)
            if isinstance(planned, Err):
                return planned
            attempt = planned.ok_value
            with ExitStack() as stack:
                stack.callback(attempt.checkout.release)
                result = self._begin_at(req, attempt)
                if isinstance(result, Ok):
                    stack.pop_all()
                    self.attempt = attempt
                    return result
            last_error = result.err_value

    def _begin_at(self, req: Request, attempt: Attempt) -> Result[None, QuetzalrudderError]:
        setup = self._runner.context.set_up_connection(attempt.checkout, req.statement)
        if isinstance(setup, Err):
            self._runner.record_failed_setup(req, attempt, setup.err_value)
            return setup
        sent_at = self._services.clock.monotonic()
        result = attempt.checkout.link.run(
            self.request_id, Begin(self.read_only), attempt.timeout_s(sent_at), attempt.at_least
        )
        if isinstance(result, Err):
            self._runner.record_fault(attempt, result.err_value)
            return result
        reply = result.ok_value
        if reply.fault is not None:
            if reply.state is SessionState.IDLE:
                attempt.checkout.mark_reusable()
            return self._runner.handle_refusal(req, attempt, reply)
        if reply.state is not SessionState.IN_TRANSACTION:
            exc = SessionSetupFailed("BEGIN opened no transaction", reply=reply)
            self._runner.record_fault(attempt, exc)
            return Err(exc)
        if not self._services.planner.accept_reply(attempt, reply, sent_at):
            return Err(stale_answer_error(attempt.checkout.target.target))
        self._services.planner.begin_use(attempt)
        self._runner.confirm_charge()
        return Ok(None)

    def _run_pinned(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement on the transaction's connection."""
        attempt = self.attempt
        self._runner.record_target(attempt)
        clock = self._services.clock
        setup = self._runner.context.set_up_connection(attempt.checkout, req.statement)
        if isinstance(setup, Err):
            self._runner.record_fault(attempt, setup.err_value, setup.err_value.fault)
            return Err(TransactionAborted(str(setup.err_value)))
        statement = self._runner.context.with_shared_name(req.statement)
        while True:
            remaining_s = req.deadline_at - clock.monotonic()
            if remaining_s <= 0:
                return Err(TransactionAborted("the statement's timeout expired"))
            result = run_offered(req, attempt, statement, remaining_s)
            if isinstance(result, Err):
                self._runner.record_fault(attempt, result.err_value)
                return Err(TransactionAborted(str(result.err_value)))
            reply = result.ok_value
            if reply.fault is None:
                return result
            exc = fault_error(reply, attempt.checkout.target.target)
            self._runner.record_fault(attempt, exc, reply.fault)
            if (
                reply.fault is not TargetFault.BUSY
                or reply.state is not SessionState.IN_TRANSACTION
            ):
                return Err(TransactionAborted(str(exc)))
            req.attempts += 1
            clock.sleep(retry_delay_s(req, self._services.rng))

    def commit(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        """Commit the transaction, and release the connection once the outcome is certain."""
        if self.attempt is None:
            opened = self._open(req)
            if isinstance(opened, Err):
                return Err(TransactionAborted(str(opened.err_value)))
        if self.wrote and not self._services.planner.is_primary_usable(self.attempt):
            return Err(TransactionAborted("the primary may have been replaced before the commit"))
        self._runner.record_target(self.attempt)
        sent_at = self._services.clock.monotonic()
        result = self._run_commit(req)
        if isinstance(result, Err):
            return result
        reply = result.ok_value
        if self.wrote:
            if not self._services.planner.accept_reply(self.attempt, reply, sent_at):
                exc = stale_answer_error(self.attempt.checkout.target.target)
                return Err(OutcomeUnknown(exc.message, place=exc.place))
            self._runner.record_commit(reply)
        if reply.state is SessionState.IDLE:
            self.end(committed=True)
        else:
            self.discard()
        return result

    def _run_commit(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        """Send the commit; repeat it only after a reply that says it did not run."""
        attempt = self.attempt
        clock = self._services.clock
        while True:
            remaining_s = req.deadline_at - clock.monotonic()
            if remaining_s <= 0:
                return Err(
                    TransactionAborted(
                        "the commit did not run before the statement's timeout expired"
                    )
                )
            result = run_offered(req, attempt, Commit(), remaining_s)
            if isinstance(result, Err):
                self._runner.record_fault(attempt, result.err_value)
                error = lost_answer_error(result.err_value, writes=self.wrote)
                if isinstance(error, OutcomeUnknown):
                    return Err(error)
                return Err(TransactionAborted(str(error)))
            reply = result.ok_value
            if reply.fault is None:
                return result
            exc = fault_error(reply, attempt.checkout.target.target)
            self._runner.record_fault(attempt, exc, reply.fault)
            match reply.fault:
                case TargetFault.BUSY if reply.state is SessionState.IN_TRANSACTION:
                    req.attempts += 1
                    clock.sleep(retry_delay_s(req, self._services.rng))
                case TargetFault.BUSY | TargetFault.READ_ONLY | TargetFault.ABORTED:
                    return Err(TransactionAborted(str(exc)))
                case _ if self.wrote:
                    return Err(OutcomeUnknown(str(exc), place=attempt.checkout.target.target))
                case _:
                    return Err(TransactionAborted(str(exc)))

    def end(self, *, committed: bool, request_id: RequestId = INTERNAL_REQUEST_ID) -> None:
        """Release the connection; roll back first unless the transaction was committed."""
        attempt, self.attempt = self.attempt, None
        if attempt is None:
            return
        try:
            if self.changed_values and not committed:
                # The database may or may not have undone the changes: reset the connection.
                attempt.checkout.invalidate_values()
            if committed or self._roll_back(attempt.checkout, request_id):
                attempt.checkout.mark_reusable()
        finally:
            self._release(attempt)

    def discard(self) -> None:
        """Close the connection without a rollback; the database rolls back by itself.

        For a connection on which an answer may be outstanding.
        """
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            self._release(attempt)

    def _release(self, attempt: Attempt) -> None:
        try:
            self._services.planner.end_use(attempt)
        finally:
            attempt.checkout.release()

    def _roll_back(self, checkout: Checkout, request_id: RequestId) -> bool:
        if checkout.link.broken:
            return False
        result = checkout.link.run(request_id, Rollback(), ROLLBACK_TIMEOUT_S)
        # After a fault the database may have kept the transaction, whatever state it tells.
        return (
            isinstance(result, Ok)
            and result.ok_value.fault is None
            and result.ok_value.state is SessionState.IDLE
        )
