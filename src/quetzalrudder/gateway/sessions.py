"""One caller's session: where each statement runs, and how it ends."""

import hashlib
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    MalformedMessage,
    OutcomeUnknown,
    QuetzalrudderError,
    RouteNotFound,
    StatementNotPrepared,
    TransactionAborted,
    Unauthenticated,
)
from quetzalrudder.gateway.attempts import (
    QUEUE_PART,
    Attempt,
    AttemptPlanner,
    Request,
    fault_error,
    lost_answer,
    retry_pause_s,
    stale_answer,
)
from quetzalrudder.gateway.catalog import Catalog, CatalogHolder, Route
from quetzalrudder.gateway.connections import Loan, PooledLink
from quetzalrudder.gateway.measurements import Measurements
from quetzalrudder.gateway.quotas import Admission, QuotaTable
from quetzalrudder.gateway.statements import (
    Begin,
    Commit,
    Deallocate,
    Execute,
    Malformed,
    Prepare,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    TargetFault,
    TargetReply,
    Write,
)
from quetzalrudder.gateway.targets import LogPosition
from quetzalrudder.models import RequestId, WorkspaceId
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["Answer", "Gateway", "ProxySession"]

log = logging.getLogger(__name__)

OWN_REQUEST = RequestId("-")
LOCAL_SIGNATURE = "-"
# Ending a transaction that nobody waits for; then the connection is closed instead.
ROLLBACK_TIMEOUT_S = 0.5
SETUP_TIMEOUT_S = 0.5
MAX_SESSION_ENTRIES = 256


@dataclass(frozen=True)
class Answer:
    """What a caller is told about one statement."""

    state: SessionState
    rows: tuple[str, ...] = ()
    signature: str = LOCAL_SIGNATURE
    error: QuetzalrudderError | None = None
    # True if the session cannot go on.
    close: bool = False


@dataclass
class Gateway:
    """What all sessions of an instance share."""

    catalogs: CatalogHolder
    planner: AttemptPlanner
    quotas: QuotaTable
    instances: Callable[[], int]
    measurements: Measurements
    clock: Clock
    rng: random.Random


@dataclass
class _Transaction:
    # Of the caller's BEGIN, which is sent with the first statement.
    request_id: RequestId
    route: Route
    workspace: WorkspaceId
    read_only: bool
    attempt: Attempt | None = None
    wrote: bool = False
    # Session values changed inside; a rollback may or may not undo that at the database.
    changed_values: bool = False


@dataclass
class _Outcome:
    """What the log line of a statement says besides its answer."""

    attempts: int = 0
    target: str = ""
    epoch: int = 0
    needed: LogPosition | None = None
    faults: list[str] = field(default_factory=list)


class ProxySession:
    """A caller's connection.

    Parameters
    ----------
    gateway : Gateway
        What all sessions share.
    database : str
        The name that the caller connected to.
    key : str
        The caller's key.
    """

    def __init__(self, gateway: Gateway, database: str, key: str) -> None:
        self._gateway = gateway
        self._database = database
        self._key = key
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepare] = {}
        self._tx: _Transaction | None = None
        self._failed = False
        # The session's own commits.
        self._own: LogPosition | None = None
        self._outcome = _Outcome()
        # Set while the operation has not been offered to a database.
        self._admission: Admission | None = None

    @property
    def state(self) -> SessionState:
        """Where the session stands."""
        if self._failed:
            return SessionState.FAILED_TRANSACTION
        return SessionState.IDLE if self._tx is None else SessionState.IN_TRANSACTION

    def open(self) -> Result[None, QuetzalrudderError]:
        """Check that the caller may connect."""
        found = self._authorize(self._gateway.catalogs.current)
        return found if isinstance(found, Err) else Ok(None)

    def _authorize(self, catalog: Catalog) -> Result[tuple[Route, WorkspaceId], QuetzalrudderError]:
        route = catalog.routes.get(self._database)
        if route is None:
            return Err(RouteNotFound("no such database", place=self._database))
        workspace = catalog.payer(route, self._key)
        if workspace is None:
            return Err(Unauthenticated("the key is not known", place=self._database))
        return Ok((route, workspace))

    def execute(self, request_id: RequestId, statement: Statement) -> Answer:
        """Run one statement and say how it ended."""
        started = self._gateway.clock.monotonic()
        self._outcome = _Outcome()
        catalog = self._gateway.catalogs.current
        result, route = self._execute(request_id, statement, catalog, started)
        answer = self._to_answer(statement, result)
        self._record(request_id, statement, route, answer, catalog, started)
        return answer

    def _execute(
        self, request_id: RequestId, statement: Statement, catalog: Catalog, started: float
    ) -> tuple[Result[TargetReply | None, QuetzalrudderError], Route | None]:
        found = self._authorize(catalog)
        if isinstance(found, Err):
            if self._tx is None:
                return found, None
            if isinstance(found.err_value, Unauthenticated):
                return Err(TransactionAborted("the key was withdrawn")), self._tx.route
            route, workspace = self._tx.route, self._tx.workspace
        else:
            route, workspace = found.ok_value
        if self._tx is not None:
            route, workspace = self._tx.route, self._tx.workspace
        req = Request(
            request_id=request_id,
            statement=statement,
            route=route,
            workspace=workspace,
            deadline_at=started + route.timeout_ms / MS_PER_S,
            queue_until=started + route.timeout_ms / MS_PER_S * QUEUE_PART,
            wanted_at=started + route.objective_ms / MS_PER_S,
            covers=self._own,
        )
        return self._dispatch(req, catalog), route

    def _dispatch(
        self, req: Request, catalog: Catalog
    ) -> Result[TargetReply | None, QuetzalrudderError]:
        if self._failed and not isinstance(req.statement, Commit | Rollback):
            return Err(MalformedMessage("the transaction has failed; end it first"))
        match req.statement:
            case Malformed(reason):
                return Err(MalformedMessage(reason))
            case SetValue(name, value):
                return self._set_value(name, value)
            case Prepare(name):
                return self._prepare(name, req.statement)
            case Deallocate(name):
                if self._prepared.pop(name, None) is None:
                    return Err(StatementNotPrepared("no such name", place=name))
                return Ok(None)
            case Begin(read_only):
                return self._begin(req, read_only, catalog)
            case Rollback():
                self._end_transaction(commit=False, request_id=req.request_id)
                return Ok(None)
            case Commit():
                return self._commit(req)
            case Execute(name) if name not in self._prepared:
                return Err(StatementNotPrepared("no such name", place=name))
            case _:
                return self._run_operation(req, catalog)

    def _set_value(self, name: str, value: str) -> Result[None, QuetzalrudderError]:
        if len(self._values) >= MAX_SESSION_ENTRIES and name not in self._values:
            return Err(MalformedMessage("too many session values"))
        self._values[name] = value
        if self._tx is not None:
            self._tx.changed_values = True
        return Ok(None)

    def _prepare(self, name: str, statement: Prepare) -> Result[None, QuetzalrudderError]:
        if len(self._prepared) >= MAX_SESSION_ENTRIES and name not in self._prepared:
            return Err(MalformedMessage("too many prepared statements"))
        self._prepared[name] = statement
        return Ok(None)

    def _admit(self, req: Request, catalog: Catalog) -> Result[None, QuetzalrudderError]:
        limit = catalog.workspaces.get(req.workspace)
        if limit is None:
            return Ok(None)
        admitted = self._gateway.quotas.admit(limit, self._gateway.instances())
        if isinstance(admitted, Err):
            return admitted
        self._admission = admitted.ok_value
        return Ok(None)

    def _end_admission(self) -> None:
        """Give the operation's admission back if no database was offered it."""
        admission, self._admission = self._admission, None
        if admission is not None:
            self._gateway.quotas.give_back(admission)

    def _begin(
        self, req: Request, read_only: bool, catalog: Catalog
    ) -> Result[None, QuetzalrudderError]:
        if self._tx is not None:
            return Err(MalformedMessage("a transaction is open already"))
        admitted = self._admit(req, catalog)
        if isinstance(admitted, Err):
            return admitted
        self._tx = _Transaction(req.request_id, req.route, req.workspace, read_only)
        return Ok(None)

    def _run_operation(
        self, req: Request, catalog: Catalog
    ) -> Result[TargetReply, QuetzalrudderError]:
        if self._tx is not None:
            return self._run_in_transaction(req, self._tx)
        admitted = self._admit(req, catalog)
        if isinstance(admitted, Err):
            return admitted
        try:
            return self._run_single(req)
        finally:
            self._end_admission()

    def _writes(self, statement: Statement) -> bool:
        match statement:
            case Write():
                return True
            case Execute(name):
                return self._prepared[name].writes
            case _:
                return False

    # Single statements.

    def _run_single(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        writes = self._writes(req.statement)
        last: QuetzalrudderError | None = None
        while True:
            planned = self._next_attempt(req, last, needs_primary=writes)
            if isinstance(planned, Err):
                return planned
            attempt = planned.ok_value
            with attempt.loan:
                result = self._try(req, attempt, writes)
            if isinstance(result, Ok):
                return result
            last = result.err_value
            if writes and isinstance(last, OutcomeUnknown):
                return result

    def _next_attempt(
        self, req: Request, last: QuetzalrudderError | None, *, needs_primary: bool
    ) -> Result[Attempt, QuetzalrudderError]:
        """Plan the next attempt, unless the time is up or no repeat can help."""
        clock = self._gateway.clock
        while True:
            if last is not None:
                if not req.may_repeat(last):
                    return Err(last)
                pause_s = retry_pause_s(req, self._gateway.rng)
                if clock.monotonic() + pause_s >= req.queue_until:
                    return Err(last)
                clock.sleep(pause_s)
            self._outcome.attempts += 1
            req.attempts += 1
            planned = self._gateway.planner.plan(req, needs_primary=needs_primary)
            if isinstance(planned, Ok):
                self._name_target(planned.ok_value)
                return planned
            last = planned.err_value

    def _name_target(self, attempt: Attempt) -> None:
        """Let the log line name the database of an attempt."""
        self._outcome.target = attempt.loan.target.target
        self._outcome.epoch = attempt.lead.epoch if attempt.lead else 0
        self._outcome.needed = attempt.at_least

    def _try(
        self, req: Request, attempt: Attempt, writes: bool
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Run a single statement once on a borrowed connection."""
        setup = self._set_up(attempt.loan.pooled, req)
        if isinstance(setup, Err):
            self._note_fault(attempt, setup.err_value)
            return setup
        statement = self._as_prepared(req.statement)
        self._admission = None
        asked_at = self._gateway.clock.monotonic()
        result = attempt.loan.link.run(
            req.request_id, statement, attempt.timeout_s(asked_at), attempt.at_least
        )
        if isinstance(result, Err):
            self._note_fault(attempt, result.err_value)
            return Err(lost_answer(result.err_value, writes=writes))
        reply = result.ok_value
        if reply.state is SessionState.IDLE:
            attempt.loan.keep()
        if reply.fault is not None:
            return self._refused(req, attempt, reply)
        return self._succeeded(req, attempt, reply, asked_at, writes)

    def _refused(
        self, req: Request, attempt: Attempt, reply: TargetReply
    ) -> Result[TargetReply, QuetzalrudderError]:
        exc = fault_error(reply, attempt.loan.target.target)
        if reply.fault is TargetFault.NOT_PREPARED:
            attempt.loan.pooled.prepared.clear()
        self._note_fault(attempt, exc, reply.fault)
        req.exclude(attempt.loan.target.target, reply.fault)
        return Err(exc)

    def _succeeded(
        self,
        req: Request,
        attempt: Attempt,
        reply: TargetReply,
        asked_at: float,
        writes: bool,
    ) -> Result[TargetReply, QuetzalrudderError]:
        if not self._gateway.planner.confirm(attempt, reply, asked_at):
            exc = stale_answer(attempt.loan.target.target)
            return Err(OutcomeUnknown(exc.message, place=exc.place) if writes else exc)
        if writes and reply.position is not None:
            self._own = max(self._own or reply.position, reply.position)
        return Ok(reply)

    def _note_fault(
        self, attempt: Attempt, exc: QuetzalrudderError, fault: TargetFault | None = None
    ) -> None:
        name = fault.value if fault is not None else type(exc).__name__
        self._outcome.faults.append(f"{attempt.loan.target.target}: {name}")
        self._gateway.measurements.faults.labels(name).inc()
        self._gateway.planner.note_fault(attempt, fault)

    # Session state at a database's connection.

    def _set_up(self, pooled: PooledLink, req: Request) -> Result[None, QuetzalrudderError]:
        """Bring a connection's values and prepared statements to the session's."""
        if any(name not in self._values for name in pooled.values):
            done = pooled.link.reset(SETUP_TIMEOUT_S)
            if isinstance(done, Err):
                return done
            pooled.values.clear()
            pooled.prepared.clear()
        for name, value in self._values.items():
            if pooled.values.get(name) != value:
                done = self._set_up_with(pooled, SetValue(name, value))
                if isinstance(done, Err):
                    return done
                pooled.values[name] = value
        match req.statement:
            case Execute(name):
                prepared = _shared_name(self._prepared[name])
                if prepared.name not in pooled.prepared:
                    done = self._set_up_with(pooled, prepared)
                    if isinstance(done, Err):
                        return done
                    pooled.prepared.add(prepared.name)
        return Ok(None)

    def _set_up_with(
        self, pooled: PooledLink, statement: Statement
    ) -> Result[None, QuetzalrudderError]:
        result = pooled.link.run(OWN_REQUEST, statement, SETUP_TIMEOUT_S)
        if isinstance(result, Err):
            return result
        if result.ok_value.fault is not None:
            return Err(fault_error(result.ok_value, "session setup"))
        return Ok(None)

    def _as_prepared(self, statement: Statement) -> Statement:
        match statement:
            case Execute(name, arguments):
                return Execute(_shared_name(self._prepared[name]).name, arguments)
            case _:
                return statement

    # Transactions.

    def _run_in_transaction(
        self, req: Request, tx: _Transaction
    ) -> Result[TargetReply, QuetzalrudderError]:
        if tx.attempt is None:
            opened = self._open_transaction(req, tx)
            if isinstance(opened, Err):
                return opened
        result = self._run_pinned(req, tx)
        if isinstance(result, Ok) and self._writes(req.statement):
            tx.wrote = True
        return result

    def _open_transaction(self, req: Request, tx: _Transaction) -> Result[None, QuetzalrudderError]:
        """Begin at a database, which is chosen by the first statement."""
        last: QuetzalrudderError | None = None
        while True:
            planned = self._next_attempt(req, last, needs_primary=not tx.read_only)
            if isinstance(planned, Err):
                return planned
            attempt = planned.ok_value
            begun = self._begin_at(req, attempt, tx)
            if isinstance(begun, Ok):
                tx.attempt = attempt
                return begun
            attempt.loan.end()
            last = begun.err_value

    def _begin_at(
        self, req: Request, attempt: Attempt, tx: _Transaction
    ) -> Result[None, QuetzalrudderError]:
        setup = self._set_up(attempt.loan.pooled, req)
        if isinstance(setup, Err):
            self._note_fault(attempt, setup.err_value)
            return setup
        asked_at = self._gateway.clock.monotonic()
        result = attempt.loan.link.run(
            tx.request_id, Begin(tx.read_only), attempt.timeout_s(asked_at), attempt.at_least
        )
        if isinstance(result, Err):
            self._note_fault(attempt, result.err_value)
            return result
        reply = result.ok_value
        if reply.fault is not None:
            if reply.state is SessionState.IDLE:
                attempt.loan.keep()
            return self._refused(req, attempt, reply)
        if not self._gateway.planner.confirm(attempt, reply, asked_at):
            return Err(stale_answer(attempt.loan.target.target))
        self._gateway.planner.begin_use(attempt)
        self._admission = None
        return Ok(None)

    def _run_pinned(
        self, req: Request, tx: _Transaction
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement on a transaction's own connection."""
        attempt = tx.attempt
        self._name_target(attempt)
        clock = self._gateway.clock
        setup = self._set_up(attempt.loan.pooled, req)
        if isinstance(setup, Err):
            self._note_fault(attempt, setup.err_value)
            return Err(TransactionAborted(str(setup.err_value)))
        statement = self._as_prepared(req.statement)
        while True:
            left_s = req.deadline_at - clock.monotonic()
            if left_s <= 0:
                return Err(TransactionAborted("the statement's time is up"))
            result = attempt.loan.link.run(req.request_id, statement, left_s)
            if isinstance(result, Err):
                self._note_fault(attempt, result.err_value)
                return Err(TransactionAborted(str(result.err_value)))
            reply = result.ok_value
            if reply.fault is None:
                return result
            exc = fault_error(reply, attempt.loan.target.target)
            self._note_fault(attempt, exc, reply.fault)
            if reply.fault is not TargetFault.BUSY or reply.state is not self.state:
                return Err(TransactionAborted(str(exc)))
            req.attempts += 1
            clock.sleep(retry_pause_s(req, self._gateway.rng))

    def _commit(self, req: Request) -> Result[TargetReply | None, QuetzalrudderError]:
        if self._failed:
            self._end_transaction(commit=False)
            return Err(TransactionAborted("the transaction had failed and was rolled back"))
        tx = self._tx
        if tx is None:
            return Err(MalformedMessage("no transaction is open"))
        if tx.attempt is None:
            opened = self._open_transaction(req, tx)
            if isinstance(opened, Err):
                return Err(TransactionAborted(str(opened.err_value)))
        if tx.wrote and not self._gateway.planner.still_leads(tx.attempt):
            return Err(TransactionAborted("the primary was replaced before the commit"))
        self._name_target(tx.attempt)
        asked_at = self._gateway.clock.monotonic()
        result = self._run_commit(req, tx)
        if isinstance(result, Err):
            return result
        reply = result.ok_value
        if tx.wrote:
            if not self._gateway.planner.confirm(tx.attempt, reply, asked_at):
                exc = stale_answer(tx.attempt.loan.target.target)
                return Err(OutcomeUnknown(exc.message, place=exc.place))
            if reply.position is not None:
                self._own = max(self._own or reply.position, reply.position)
        self._end_transaction(commit=True)
        return result

    def _run_commit(
        self, req: Request, tx: _Transaction
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Send a commit, again only after an answer that says it did not run."""
        attempt = tx.attempt
        clock = self._gateway.clock
        while True:
            left_s = req.deadline_at - clock.monotonic()
            if left_s <= 0:
                return Err(TransactionAborted("the time for the commit is up"))
            result = attempt.loan.link.run(req.request_id, Commit(), left_s)
            if isinstance(result, Err):
                self._note_fault(attempt, result.err_value)
                lost = lost_answer(result.err_value, writes=tx.wrote)
                if isinstance(lost, OutcomeUnknown):
                    return Err(lost)
                return Err(TransactionAborted(str(lost)))
            reply = result.ok_value
            if reply.fault is None:
                return result
            exc = fault_error(reply, attempt.loan.target.target)
            self._note_fault(attempt, exc, reply.fault)
            match reply.fault:
                case TargetFault.BUSY if reply.state is SessionState.IN_TRANSACTION:
                    req.attempts += 1
                    clock.sleep(retry_pause_s(req, self._gateway.rng))
                case TargetFault.BUSY | TargetFault.READ_ONLY | TargetFault.ABORTED:
                    return Err(TransactionAborted(str(exc)))
                case _ if tx.wrote:
                    return Err(OutcomeUnknown(str(exc), place=attempt.loan.target.target))
                case _:
                    return Err(TransactionAborted(str(exc)))

    def _end_transaction(self, *, commit: bool, request_id: RequestId = OWN_REQUEST) -> None:
        """Let go of the transaction's connection; roll back unless it has committed."""
        tx, self._tx = self._tx, None
        self._failed = False
        self._end_admission()
        if tx is None or tx.attempt is None:
            return
        attempt = tx.attempt
        try:
            if tx.changed_values and not commit:
                # Whether the database undid the changes is not known: it is reset.
                attempt.loan.pooled.values[""] = ""
            if commit or self._roll_back(attempt.loan, request_id):
                attempt.loan.keep()
        finally:
            self._gateway.planner.end_use(attempt)
            attempt.loan.end()

    def _roll_back(self, loan: Loan, request_id: RequestId) -> bool:
        if loan.link.broken:
            return False
        result = loan.link.run(request_id, Rollback(), ROLLBACK_TIMEOUT_S)
        return isinstance(result, Ok) and result.ok_value.state is SessionState.IDLE

    def abandon_transaction(self, reason: str) -> None:
        """Roll an open transaction back; the caller learns it with its next statement."""
        if self._tx is not None and not self._failed:
            log.info("transaction ended", extra={"database": self._database, "reason": reason})
            self._end_transaction(commit=False)
            self._failed = True

    def close(self) -> None:
        """End the session."""
        self._end_transaction(commit=False)

    # Answers.

    def _to_answer(
        self, statement: Statement, result: Result[TargetReply | None, QuetzalrudderError]
    ) -> Answer:
        if isinstance(result, Ok):
            reply = result.ok_value
            if reply is None:
                return Answer(self.state)
            return Answer(self.state, reply.rows, reply.signature)
        exc = result.err_value
        if isinstance(statement, Commit):
            self._end_transaction(commit=False)
        elif self._tx is not None and not isinstance(exc, MalformedMessage):
            self._end_transaction(commit=False)
            self._failed = not isinstance(statement, Begin)
        close = isinstance(exc, RouteNotFound | Unauthenticated)
        return Answer(self.state, error=exc, close=close)

    def _record(
        self,
        request_id: RequestId,
        statement: Statement,
        route: Route | None,
        answer: Answer,
        catalog: Catalog,
        started: float,
    ) -> None:
        took_s = self._gateway.clock.monotonic() - started
        ending = "done" if answer.error is None else type(answer.error).__name__
        kind = route.consistency.value if route is not None else "none"
        self._gateway.measurements.endings.labels(kind, ending).inc()
        if answer.signature != LOCAL_SIGNATURE or answer.error is not None:
            self._gateway.measurements.latency_s.labels(kind).observe(took_s)
        outcome = self._outcome
        log.log(
            logging.INFO if answer.error is None else logging.WARNING,
            "statement ended",
            extra={
                "request_id": request_id,
                "database": self._database,
                "statement": type(statement).__name__,
                "ending": ending,
                "reason": "" if answer.error is None else str(answer.error),
                "target": outcome.target,
                "epoch": outcome.epoch,
                "needed": "" if outcome.needed is None else str(outcome.needed),
                "attempts": outcome.attempts,
                "faults": outcome.faults[-4:],
                "catalog_version": catalog.version,
                "took_ms": round(took_s * MS_PER_S, 1),
            },
        )


def _shared_name(prepared: Prepare) -> Prepare:
    """Name a prepared statement by its content, so that sessions share it."""
    content = f"{prepared.writes} {prepared.shape}"
    digest = hashlib.blake2s(content.encode("latin-1"), digest_size=8).hexdigest()
    return Prepare(f"p{digest}", prepared.writes, prepared.shape)
