"""A caller's session: dispatch of its statements, state of its transaction, and answers."""

import logging
import threading
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder import processor_time
from quetzalrudder.exceptions import (
    Draining,
    MalformedMessage,
    QuetzalrudderError,
    RequestNotOffered,
    RouteNotFound,
    StatementNotPrepared,
    TransactionAborted,
    Unauthenticated,
)
from quetzalrudder.gateway.attempts import QUEUE_FRACTION, Request
from quetzalrudder.gateway.authorization import CatalogView
from quetzalrudder.gateway.catalog import Catalog, Route
from quetzalrudder.gateway.link_setup import INTERNAL_REQUEST_ID
from quetzalrudder.gateway.running import (
    GatewayServices,
    StatementRunner,
    StatementTrace,
)
from quetzalrudder.gateway.running_statement import RunningStatement
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
    TargetReply,
)
from quetzalrudder.gateway.store_contact import loggable_age_s
from quetzalrudder.gateway.transactions import OpenTransaction
from quetzalrudder.models import RequestId, WorkspaceId
from quetzalrudder.utils import MS_PER_S

__all__ = ["Answer", "ProxySession", "draining_error"]

log = logging.getLogger(__name__)

# Signature of answers that the gateway gives without a database.
LOCAL_SIGNATURE = "-"
# Retry delay of callers whose instance stops: another instance can serve them at once.
DRAINING_RETRY_MS = 1


@dataclass(frozen=True)
class Answer:
    """The answer to one statement of a caller."""

    state: SessionState
    rows: tuple[str, ...] = ()
    signature: str = LOCAL_SIGNATURE
    error: QuetzalrudderError | None = None
    # True if the session ends with this answer.
    close: bool = False


class ProxySession:
    """A caller's session.

    Parameters
    ----------
    services : GatewayServices
        Objects shared by all sessions.
    database : str
        Database name that the caller connected to; it selects the route.
    key : str
        The caller's key.
    """

    def __init__(self, services: GatewayServices, database: str, key: str) -> None:
        self._services = services
        self._database = database
        self._key = key
        self._runner = StatementRunner(services)
        self._tx: OpenTransaction | None = None
        self._failed = False
        self._lock = threading.Lock()
        self._running: RunningStatement | None = None
        # Whether the last statement only prepared the session for the next one.
        self._set_up = False
        # True once the stop of the instance has ended the session.
        self._ended = False

    @property
    def state(self) -> SessionState:
        """Transaction state of the session."""
        if self._failed:
            return SessionState.FAILED_TRANSACTION
        return SessionState.IDLE if self._tx is None else SessionState.IN_TRANSACTION

    @property
    def is_between_operations(self) -> bool:
        """True unless a transaction is open or the last statement prepared the next one."""
        return self.state is SessionState.IDLE and not self._set_up

    def check_access(self) -> Result[None, QuetzalrudderError]:
        """Check that the route exists and that the caller's key has access to it."""
        access = self._authorize(self._services.authorizer.take_view())
        return access if isinstance(access, Err) else Ok(None)

    def _authorize(
        self, view: CatalogView
    ) -> Result[tuple[Route, WorkspaceId], QuetzalrudderError]:
        """Return the route and the workspace for which the next statement runs."""
        if self._tx is None:
            return self._services.authorizer.authorize(view, self._database, self._key)
        # The route of a transaction stays as it was; a key may go at any time.
        if view.catalog.resolve_workspace(self._tx.route, self._key) is None:
            return Err(TransactionAborted("the key was withdrawn"))
        return Ok((self._tx.route, self._tx.workspace))

    def execute(self, request_id: RequestId, statement: Statement) -> Answer | None:
        """Run one statement and return its answer; None if it was given up and answered."""
        started = self._services.clock.monotonic()
        self._runner.trace = StatementTrace()
        view = self._services.authorizer.take_view()
        running = RunningStatement(
            request_id, statement, self._tx is not None, self._is_write(statement)
        )
        if not self._begin_statement(running):
            return _given_up_answer(running)
        self._set_up = isinstance(statement, SetValue | Prepare | Deallocate)
        with processor_time.section("statement"):
            answer, route = self._answer(running, view, started)
        if not running.progress.finish():
            return None
        with self._lock:
            self._running = None
        try:
            with processor_time.section("log and metrics of a statement"):
                self._record_statement(request_id, statement, route, answer, view, started)
        except Exception:
            log.exception("statement not recorded", extra={"request_id": request_id})
        return answer

    def _begin_statement(self, running: RunningStatement) -> bool:
        """Record a statement as running; return False if the session has ended."""
        with self._lock:
            if not self._ended:
                self._running = running
            return not self._ended

    def _is_write(self, statement: Statement) -> bool:
        match statement:
            case Commit():
                return self._tx is not None and self._tx.wrote
            case Execute(name) if not self._runner.context.is_prepared(name):
                return False
            case _:
                return self._runner.context.is_write(statement)

    def _answer(
        self, running: RunningStatement, view: CatalogView, started: float
    ) -> tuple[Answer, Route | None]:
        """Run a statement; a defect is answered like any other failure."""
        try:
            result, route = self._execute(running, view, started)
            return self._to_answer(running.statement, result), route
        except Exception:
            log.exception(
                "statement failed with an unexpected error",
                extra={"request_id": running.request_id, "database": self._database},
            )
        if self._tx is not None:
            self._tx.discard()
        # Not refunded, as that may be what failed.
        self._runner.confirm_charge()
        defect = RequestNotOffered("the statement failed with an unexpected error")
        exc = running.interruption_error(defect)
        return self._to_answer(running.statement, Err(exc)), None

    def give_up(self) -> Answer | None:
        """End the session; called by another thread at the end of a planned stop.

        Returns
        -------
        Answer or None
            The answer to the statement that is running, which must be sent: the thread that runs
            it returns none. None if no statement is running, or if that thread answers it.
        """
        with self._lock:
            self._ended = True
            running = self._running
        if running is None or not running.progress.give_up():
            return None
        answer = _given_up_answer(running)
        log.warning(
            "statement given up",
            extra={
                "request_id": running.request_id,
                "database": self._database,
                "statement": type(running.statement).__name__,
                "offered": running.progress.offered,
                "ending": answer.error.log_name,
            },
        )
        return answer

    def _execute(
        self, running: RunningStatement, view: CatalogView, started: float
    ) -> tuple[Result[TargetReply | None, QuetzalrudderError], Route | None]:
        access = self._authorize(view)
        if isinstance(access, Err):
            return access, None if self._tx is None else self._tx.route
        route, workspace = access.ok_value
        req = Request(
            request_id=running.request_id,
            statement=running.statement,
            route=route,
            workspace=workspace,
            deadline_at=started + route.timeout_ms / MS_PER_S,
            queue_until=started + route.timeout_ms / MS_PER_S * QUEUE_FRACTION,
            objective_at=started + route.objective_ms / MS_PER_S,
            own_commits=self._runner.own_commits,
            progress=running.progress,
        )
        return self._dispatch(req, view.catalog), route

    def _dispatch(
        self, req: Request, catalog: Catalog
    ) -> Result[TargetReply | None, QuetzalrudderError]:
        if self._failed and not isinstance(req.statement, Commit | Rollback):
            return Err(
                MalformedMessage(
                    "the transaction has failed; only COMMIT and ROLLBACK are accepted"
                )
            )
        match req.statement:
            case Malformed(reason):
                return Err(MalformedMessage(reason))
            case SetValue(name, value):
                if self._tx is not None:
                    self._tx.changed_values = True
                return self._runner.context.set_value(name, value)
            case Prepare():
                return self._runner.context.prepare(req.statement)
            case Deallocate(name):
                return self._runner.context.deallocate(name)
            case Begin(read_only):
                return self._begin(req, read_only, catalog)
            case Rollback():
                self._end_transaction(committed=False, request_id=req.request_id)
                return Ok(None)
            case Commit():
                return self._commit(req)
            case Execute(name) if not self._runner.context.is_prepared(name):
                return Err(StatementNotPrepared("no prepared statement has this name", place=name))
            case _:
                return self._run_operation(req, catalog)

    def _begin(
        self, req: Request, read_only: bool, catalog: Catalog
    ) -> Result[None, QuetzalrudderError]:
        if self._tx is not None:
            return Err(MalformedMessage("a transaction is already open"))
        admitted = self._runner.admit(req, catalog)
        if isinstance(admitted, Err):
            return admitted
        self._tx = OpenTransaction(
            self._runner, req.request_id, req.route, req.workspace, read_only=read_only
        )
        return Ok(None)

    def _run_operation(
        self, req: Request, catalog: Catalog
    ) -> Result[TargetReply, QuetzalrudderError]:
        if self._tx is not None:
            return self._tx.run(req)
        admitted = self._runner.admit(req, catalog)
        if isinstance(admitted, Err):
            return admitted
        try:
            return self._runner.run_single(req)
        finally:
            self._runner.refund_unused_charge()

    def _commit(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        if self._failed:
            return Err(TransactionAborted("the transaction had failed and was rolled back"))
        if self._tx is None:
            return Err(MalformedMessage("no transaction is open"))
        result = self._tx.commit(req)
        self._end_transaction(committed=isinstance(result, Ok))
        return result

    def _end_transaction(
        self, *, committed: bool, request_id: RequestId = INTERNAL_REQUEST_ID
    ) -> None:
        """Clear the transaction; roll it back unless it was committed."""
        tx, self._tx = self._tx, None
        self._failed = False
        self._runner.refund_unused_charge()
        if tx is not None:
            tx.end(committed=committed, request_id=request_id)

    def abandon_transaction(self, reason: str) -> None:
        """Roll back an open transaction; the caller's next statement reports the failure."""
        if self._tx is not None and not self._failed:
            log.info(
                "open transaction rolled back", extra={"database": self._database, "reason": reason}
            )
            self._end_transaction(committed=False)
            self._failed = True

    def close(self) -> None:
        """End the session, and roll back its open transaction."""
        self._end_transaction(committed=False)

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
            self._end_transaction(committed=False)
        elif self._tx is not None and not isinstance(exc, MalformedMessage):
            self._end_transaction(committed=False)
            self._failed = not isinstance(statement, Begin)
        close = isinstance(exc, RouteNotFound | Unauthenticated)
        return Answer(self.state, error=exc, close=close)

    def _record_statement(
        self,
        request_id: RequestId,
        statement: Statement,
        route: Route | None,
        answer: Answer,
        view: CatalogView,
        started: float,
    ) -> None:
        took_s = self._services.clock.monotonic() - started
        ending = "done" if answer.error is None else answer.error.log_name
        consistency = route.consistency.value if route is not None else "none"
        self._services.metrics.count_statement(consistency, ending)
        if answer.signature != LOCAL_SIGNATURE or answer.error is not None:
            self._services.metrics.observe_latency(consistency, took_s)
        trace = self._runner.trace
        log.log(
            logging.INFO if answer.error is None else logging.WARNING,
            "statement ended",
            extra={
                "request_id": request_id,
                "database": self._database,
                "statement": type(statement).__name__,
                "ending": ending,
                "reason": "" if answer.error is None else str(answer.error),
                "target": trace.target,
                "holder": trace.owner,
                "epoch": trace.epoch,
                "needed": "" if trace.required_position is None else str(trace.required_position),
                "attempts": trace.attempts,
                "faults": trace.faults[-4:],
                "catalog_version": view.catalog.version,
                "view_age_s": loggable_age_s(view.age_s),
                "took_ms": round(took_s * MS_PER_S, 1),
            },
        )


def draining_error() -> Draining:
    """Return the error for callers whose instance stops and who have lost nothing."""
    return Draining("the instance stops", retry_after_ms=DRAINING_RETRY_MS)


def _given_up_answer(running: RunningStatement) -> Answer:
    exc = running.interruption_error(draining_error())
    return Answer(running.state_after_failure, error=exc, close=True)
