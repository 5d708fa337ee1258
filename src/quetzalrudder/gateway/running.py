"""Execution of a session's statements: attempts, retries and set-up of connections."""

import hashlib
import random
from dataclasses import dataclass, field

from result import Err, Ok, Result

from quetzalrudder import processor_time
from quetzalrudder.exceptions import (
    ConnectionLimitReached,
    ConnectionOwnerLost,
    Draining,
    MalformedMessage,
    OutcomeUnknown,
    Overloaded,
    QuetzalrudderError,
    StatementNotPrepared,
)
from quetzalrudder.gateway.attempt_errors import fault_error, lost_answer_error, stale_answer_error
from quetzalrudder.gateway.attempts import (
    Attempt,
    AttemptPlanner,
    Request,
    retry_delay_s,
    run_offered,
)
from quetzalrudder.gateway.authorization import Authorizer
from quetzalrudder.gateway.borrowing import BorrowedCheckout
from quetzalrudder.gateway.catalog import Catalog
from quetzalrudder.gateway.connections import Checkout
from quetzalrudder.gateway.link_setup import SessionSetupFailed, set_up_link
from quetzalrudder.gateway.measurements import Metrics
from quetzalrudder.gateway.quotas import QuotaCharge
from quetzalrudder.gateway.rate_tokens import RateLimiter
from quetzalrudder.gateway.statements import (
    Execute,
    Prepare,
    SessionState,
    Statement,
    TargetFault,
    TargetReply,
    Write,
)
from quetzalrudder.gateway.targets import LogPosition
from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import Clock

__all__ = [
    "GatewayServices",
    "StatementTrace",
    "StatementRunner",
    "SessionContext",
]

# Limit on the session values of one session, and on its prepared statements.
MAX_SESSION_ENTRIES = 256


@dataclass
class GatewayServices:
    """Objects shared by all sessions of an instance."""

    authorizer: Authorizer
    planner: AttemptPlanner
    rates: RateLimiter
    metrics: Metrics
    clock: Clock
    rng: random.Random


@dataclass
class StatementTrace:
    """Details of a statement's execution for its log line."""

    attempts: int = 0
    target: str = ""
    # Instance that owns the connection; empty for this instance.
    owner: str = ""
    epoch: int = 0
    required_position: LogPosition | None = None
    faults: list[str] = field(default_factory=list)


class SessionContext:
    """A session's values and prepared statements, which it applies to the connections it uses."""

    def __init__(self) -> None:
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepare] = {}

    def set_value(self, name: str, value: str) -> Result[None, QuetzalrudderError]:
        """Set a session value."""
        if len(self._values) >= MAX_SESSION_ENTRIES and name not in self._values:
            return Err(MalformedMessage("too many session values"))
        self._values[name] = value
        return Ok(None)

    def prepare(self, statement: Prepare) -> Result[None, QuetzalrudderError]:
        """Store a prepared statement under its name."""
        name = statement.name
        if len(self._prepared) >= MAX_SESSION_ENTRIES and name not in self._prepared:
            return Err(MalformedMessage("too many prepared statements"))
        self._prepared[name] = statement
        return Ok(None)

    def deallocate(self, name: str) -> Result[None, QuetzalrudderError]:
        """Remove a prepared statement."""
        if self._prepared.pop(name, None) is None:
            return Err(StatementNotPrepared("no prepared statement has this name", place=name))
        return Ok(None)

    def is_prepared(self, name: str) -> bool:
        """Return whether a prepared statement has this name."""
        return name in self._prepared

    def is_write(self, statement: Statement) -> bool:
        """Return whether a statement changes data."""
        match statement:
            case Write():
                return True
            case Execute(name):
                return self._prepared[name].writes
            case _:
                return False

    def with_shared_name(self, statement: Statement) -> Statement:
        """Return the statement to send: an execution uses the prepared statement's shared name."""
        match statement:
            case Execute(name, arguments):
                return Execute(_shared_name(self._prepared[name]).name, arguments)
            case _:
                return statement

    def set_up_connection(
        self, checkout: Checkout, statement: Statement
    ) -> Result[None, SessionSetupFailed]:
        """Apply the session values to a connection and prepare what the statement executes."""
        prepare = None
        if isinstance(statement, Execute):
            prepare = _shared_name(self._prepared[statement.name])
        match checkout:
            case BorrowedCheckout():
                checkout.link.set_session_state(self._values, prepare)
                return Ok(None)
            case _:
                return set_up_link(checkout.pooled, self._values, prepare)


def _shared_name(prepared: Prepare) -> Prepare:
    """Return a prepared statement named by its content, so that sessions can share it."""
    content = f"{prepared.writes} {prepared.shape}"
    digest = hashlib.blake2s(content.encode("latin-1"), digest_size=8).hexdigest()
    return Prepare(f"p{digest}", prepared.writes, prepared.shape)


class StatementRunner:
    """Runs the statements of one session, outside and inside transactions.

    Parameters
    ----------
    services : GatewayServices
        Objects shared by all sessions.
    """

    def __init__(self, services: GatewayServices) -> None:
        self.services = services
        self.context = SessionContext()
        self.trace = StatementTrace()
        # Log position of the session's latest commit.
        self.own_commits: LogPosition | None = None
        # Charge of the operation; None once a database was offered the operation.
        self._charge: QuotaCharge | None = None

    def admit(self, req: Request, catalog: Catalog) -> Result[None, QuetzalrudderError]:
        """Charge an operation to its workspace's rate limit."""
        workspace = catalog.workspaces.get(req.workspace)
        if workspace is None:
            return Ok(None)
        with processor_time.section("rate token"):
            admitted = self.services.rates.admit(workspace, req.queue_until)
        if isinstance(admitted, Err):
            return admitted
        self._charge = admitted.ok_value
        return Ok(None)

    def confirm_charge(self) -> None:
        """Make the charge final, as a database was offered the operation."""
        self._charge = None

    def refund_unused_charge(self) -> None:
        """Refund the charge if no database was offered the operation."""
        charge, self._charge = self._charge, None
        if charge is not None:
            charge.refund()

    def run_single(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement outside a transaction; retry it where possible at another database."""
        writes = self.context.is_write(req.statement)
        last_error: QuetzalrudderError | None = None
        while True:
            planned = self.next_attempt(req, last_error, needs_primary=writes)
            if isinstance(planned, Err):
                return planned
            attempt = planned.ok_value
            with attempt.checkout:
                result = self._run_once(req, attempt, writes)
            if isinstance(result, Ok):
                return result
            last_error = result.err_value
            if writes and isinstance(last_error, OutcomeUnknown):
                return result

    def next_attempt(
        self, req: Request, last_error: QuetzalrudderError | None, *, needs_primary: bool
    ) -> Result[Attempt, QuetzalrudderError]:
        """Plan the next attempt, unless no waiting time is left or a retry cannot succeed."""
        clock = self.services.clock
        while True:
            if last_error is not None:
                if not req.is_retryable(last_error):
                    return Err(last_error)
                delay_s = retry_delay_s(req, self.services.rng)
                if clock.monotonic() + delay_s >= req.queue_until:
                    return Err(last_error)
                clock.sleep(delay_s)
            self.trace.attempts += 1
            req.attempts += 1
            planned = self.services.planner.plan(req, needs_primary=needs_primary)
            if isinstance(planned, Ok):
                self.record_target(planned.ok_value)
                return planned
            last_error = planned.err_value

    def record_target(self, attempt: Attempt) -> None:
        """Record the database of an attempt for the log line."""
        self.trace.target = attempt.checkout.target.target
        self.trace.owner = attempt.checkout.owner or ""
        self.trace.epoch = attempt.primary.epoch if attempt.primary else 0
        self.trace.required_position = attempt.at_least

    def _run_once(
        self, req: Request, attempt: Attempt, writes: bool
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Run a single statement once on the attempt's connection."""
        setup = self.context.set_up_connection(attempt.checkout, req.statement)
        if isinstance(setup, Err):
            self.record_failed_setup(req, attempt, setup.err_value)
            return setup
        statement = self.context.with_shared_name(req.statement)
        sent_at = self.services.clock.monotonic()
        result = run_offered(req, attempt, statement, attempt.timeout_s(sent_at), attempt.at_least)
        if isinstance(result, Ok) or result.err_value.ending is not Ending.NOT_RUN:
            self.confirm_charge()
        if isinstance(result, Err):
            self.record_fault(attempt, result.err_value)
            if isinstance(result.err_value, Overloaded):
                # The connection owner's queue; another database may have room.
                req.exclude(attempt.checkout.target.target, None)
            return Err(lost_answer_error(result.err_value, writes=writes))
        reply = result.ok_value
        if reply.state is SessionState.IDLE:
            attempt.checkout.mark_reusable()
        if reply.fault is not None:
            return self.handle_refusal(req, attempt, reply)
        return self._succeeded(req, attempt, reply, sent_at, writes)

    def handle_refusal(
        self, req: Request, attempt: Attempt, reply: TargetReply
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Record a database's refusal and return it as an error."""
        exc = fault_error(reply, attempt.checkout.target.target)
        if reply.fault is TargetFault.NOT_PREPARED:
            attempt.checkout.invalidate_prepared()
        self.record_fault(attempt, exc, reply.fault)
        req.exclude(attempt.checkout.target.target, reply.fault)
        return Err(exc)

    def _succeeded(
        self,
        req: Request,
        attempt: Attempt,
        reply: TargetReply,
        sent_at: float,
        writes: bool,
    ) -> Result[TargetReply, QuetzalrudderError]:
        if not self.services.planner.accept_reply(attempt, reply, sent_at, is_timed=True):
            exc = stale_answer_error(attempt.checkout.target.target)
            return Err(OutcomeUnknown(exc.message, place=exc.place) if writes else exc)
        if writes:
            self.record_commit(reply)
        return Ok(reply)

    def record_commit(self, reply: TargetReply) -> None:
        """Record the log position of a commit of the session."""
        if reply.position is not None:
            self.own_commits = max(self.own_commits or reply.position, reply.position)

    def record_failed_setup(self, req: Request, attempt: Attempt, exc: SessionSetupFailed) -> None:
        """Record that a connection could not be prepared; keep it if it can be used again."""
        self.record_fault(attempt, exc, exc.fault)
        if exc.fault is not None:
            req.exclude(attempt.checkout.target.target, exc.fault)
        if exc.leaves_link_idle:
            attempt.checkout.mark_reusable()

    def record_fault(
        self, attempt: Attempt, exc: QuetzalrudderError, fault: TargetFault | None = None
    ) -> None:
        """Record a failed attempt in the log line, the metrics and the planner."""
        label = fault.value if fault is not None else exc.log_name
        self.trace.faults.append(f"{attempt.checkout.target.target}: {label}")
        self.services.metrics.count_fault(label)
        if (
            isinstance(exc, ConnectionOwnerLost | Overloaded | ConnectionLimitReached | Draining)
            and fault is None
        ):
            self.services.planner.record_not_offered(attempt, exc)
        else:
            self.services.planner.record_fault(attempt, fault)
