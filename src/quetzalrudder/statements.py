"""Runs one request of a caller, whatever its kind, and gives its whole answer."""

from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.access import CallerIdentity, check_route
from quetzalrudder.admission import Claim
from quetzalrudder.exceptions import (
    DeadlineExceeded,
    MalformedMessage,
    QuetzalrudderError,
    RateExceeded,
    RouteNotFound,
)
from quetzalrudder.groups import GroupTable, TargetView
from quetzalrudder.models import GroupId, RequestId, RouteName, WorkspaceId
from quetzalrudder.pool import ConnectionPool
from quetzalrudder.rates import RateGate
from quetzalrudder.routing import ReadPolicy, ReadRouter
from quetzalrudder.schema.caller import Access, Answer, AskOutcome, Statement
from quetzalrudder.schema.common import Ending, Position
from quetzalrudder.schema.settings import BranchSettings
from quetzalrudder.schema.target import AskOutcome as TargetAskOutcome
from quetzalrudder.schema.target import Execute, TargetAnswer
from quetzalrudder.settings import SettingsTree
from quetzalrudder.tokens import Marks, decode_token, encode_token
from quetzalrudder.utils import Clock, Deadline
from quetzalrudder.writes import Confirmer, current_primary, unknown_if_sent

__all__ = ["CallerIdentity", "Plan", "StatementRunner"]

MAX_READ_ATTEMPTS = 3
MAX_REQUEST_ID_BYTES = 128


@dataclass(frozen=True)
class Plan:
    """A request with everything that its route says."""

    caller: CallerIdentity
    request_id: RequestId
    group: GroupId
    settings: BranchSettings
    marks: Marks
    deadline: Deadline
    # Share of scarce slots relative to other workspaces.
    weight: float = 1.0


class StatementRunner:
    """Runs reads, writes and questions about outcomes.

    Parameters
    ----------
    groups : GroupTable
        What is known of the targets.
    router : ReadRouter
        Chooses the target of a read.
    pool : ConnectionPool
        Connections to targets.
    confirmer : Confirmer
        Confirms writes.
    rates : RateGate
        Holds workspaces to their rates.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        groups: GroupTable,
        router: ReadRouter,
        pool: ConnectionPool,
        confirmer: Confirmer,
        rates: RateGate,
        clock: Clock,
    ) -> None:
        self._groups = groups
        self._router = router
        self._pool = pool
        self._confirmer = confirmer
        self._rates = rates
        self._clock = clock

    def plan(
        self,
        tree: SettingsTree,
        caller: CallerIdentity,
        request_id: str,
        req: Statement | AskOutcome,
    ) -> Result[Plan, QuetzalrudderError]:
        """Look up the route and check that the caller may use it."""
        if not request_id or len(request_id.encode()) > MAX_REQUEST_ID_BYTES:
            return Err(MalformedMessage("request id missing or too long", place="request_id"))
        route = RouteName(req.route)
        if tree.route(route) is None:
            return Err(RouteNotFound("no such route", place=route))
        settings = tree.effective(route)
        if not settings.group:
            return Err(RouteNotFound("the route has no group", place=route))
        allowed = check_route(caller, route, settings)
        if isinstance(allowed, Err):
            return allowed
        marks = decode_token(caller.workspace, getattr(req, "token", b""))
        if isinstance(marks, Err):
            return marks
        deadline_ms = req.deadline_ms or settings.deadline_ms
        return Ok(
            Plan(
                caller,
                RequestId(request_id),
                GroupId(settings.group),
                settings,
                marks.ok_value,
                Deadline.after_ms(self._clock, deadline_ms),
                tree.effective(caller.workspace).weight if caller.key else 1.0,
            )
        )

    def admit(self, plan: Plan) -> Result[None, RateExceeded]:
        """Take a request's cost from its workspace's rate; callers without a key share one."""
        return self._rates.admit(_payer(plan.caller), plan.settings.cost)

    def run(self, plan: Plan, stmt: Statement) -> Result[Answer, QuetzalrudderError]:
        """Run one statement outside a transaction."""
        admitted = self.admit(plan)
        if isinstance(admitted, Err):
            return admitted
        match stmt.access:
            case Access.READ:
                return self._read(plan, stmt)
            case Access.WRITE:
                return self._write(plan, stmt)
            case _:
                return Err(MalformedMessage("read or write must be stated", place="access"))

    def _read(self, plan: Plan, stmt: Statement) -> Result[Answer, QuetzalrudderError]:
        policy = ReadPolicy(
            max_age_ms=stmt.max_age_ms or plan.settings.max_age_ms,
            covers=plan.marks.of(plan.group),
        )
        req = Execute(workspace=plan.caller.workspace, sql=stmt.sql, params=stmt.params)
        failed: frozenset[str] = frozenset()
        last: QuetzalrudderError = DeadlineExceeded("no time left", place=plan.group)
        for _ in range(MAX_READ_ATTEMPTS):
            if plan.deadline.passed:
                break
            chosen = self._router.choose(plan.group, policy, failed)
            if isinstance(chosen, Err):
                return Err(last) if failed else chosen
            view = chosen.ok_value
            answer = self._send(plan, view, req)
            match answer:
                case Ok(found):
                    return Ok(self._answer(plan, view, found, found.state.applied))
                case Err(exc) if exc.ending is Ending.UNKNOWN or exc.retry_after_ms:
                    last = not_run(exc)
                case Err(exc):
                    return Err(exc)
            failed = failed | {view.info.target}
        return Err(last)

    def _write(self, plan: Plan, stmt: Statement) -> Result[Answer, QuetzalrudderError]:
        primary = current_primary(self._groups, plan.group)
        if isinstance(primary, Err):
            return primary
        view = primary.ok_value
        req = Execute(
            workspace=plan.caller.workspace,
            sql=stmt.sql,
            params=stmt.params,
            write=True,
            term=view.state.term,
            request_id=plan.request_id,
        )
        return self._finish_write(plan, view, self._send(plan, view, req))

    def _finish_write(
        self, plan: Plan, view: TargetView, sent: Result[TargetAnswer, QuetzalrudderError]
    ) -> Result[Answer, QuetzalrudderError]:
        if isinstance(sent, Err):
            return Err(unknown_if_sent(sent.err_value))
        answer = sent.ok_value
        if plan.settings.confirm_majority:
            confirmed = self._confirmer.confirm(plan.group, answer.position, plan.deadline)
            if isinstance(confirmed, Err):
                return confirmed
        return Ok(self._answer(plan, view, answer, answer.position))

    def ask_outcome(self, plan: Plan, ask: AskOutcome) -> Result[Answer, QuetzalrudderError]:
        """Tell what became of an earlier write of the same workspace."""
        admitted = self.admit(plan)
        if isinstance(admitted, Err):
            return admitted
        primary = current_primary(self._groups, plan.group)
        if isinstance(primary, Err):
            return primary
        view = primary.ok_value
        req = TargetAskOutcome(workspace=plan.caller.workspace, request_id=ask.request_id)
        sent = self._send(plan, view, req)
        if isinstance(sent, Err):
            return Err(not_run(sent.err_value))
        outcome = sent.ok_value.outcome
        if outcome is None or not outcome.found:
            return Ok(Answer(target=view.info.target))
        found = TargetAnswer(rows=outcome.rows, position=outcome.position, repeated_request=True)
        return self._finish_write(plan, view, Ok(found))

    def _send(
        self, plan: Plan, view: TargetView, req: Execute | TargetAskOutcome
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        claim = Claim(_payer(plan.caller), plan.weight, plan.settings.cost)
        borrowed = self._pool.checkout(view.info, plan.deadline, claim)
        if isinstance(borrowed, Err):
            return borrowed
        with borrowed.ok_value as pooled:
            allowed = plan.caller.recheck()
            if isinstance(allowed, Err):
                return allowed
            asked_at = self._clock.monotonic()
            answer = pooled.conn.request(req, plan.deadline.remaining_s)
        if isinstance(answer, Ok) and answer.ok_value.state is not None:
            self._groups.observe(view.info, answer.ok_value.state, asked_at)
        return answer

    def _answer(
        self, plan: Plan, view: TargetView, found: TargetAnswer, position: Position | None
    ) -> Answer:
        marks = plan.marks.advance(plan.group, position)
        return Answer(
            rows=found.rows,
            token=encode_token(plan.caller.workspace, marks),
            target=view.info.target,
            repeated_request=found.repeated_request,
        )


def _payer(caller: CallerIdentity) -> WorkspaceId:
    return caller.workspace if caller.key else WorkspaceId("")


def not_run(exc: QuetzalrudderError) -> QuetzalrudderError:
    """Tell the failure of a read, which had no effect, as not run."""
    exc.ending = Ending.NOT_RUN
    return exc
