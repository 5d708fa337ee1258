"""Execution of callers' reads, writes and outcome queries at the targets."""

import re
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.access import CallerIdentity, check_route
from quetzalrudder.adapters import TargetRequest
from quetzalrudder.admission import AdmissionRequest
from quetzalrudder.exceptions import (
    DeadlineExceeded,
    MalformedMessage,
    NoReplica,
    OutcomeForgotten,
    OutcomeUnknown,
    PositionLost,
    QuetzalrudderError,
    RouteNotFound,
    StatementFailed,
)
from quetzalrudder.groups import GroupTable, TargetView, has_applied, is_position_dropped
from quetzalrudder.models import GroupId, RequestId, RouteName
from quetzalrudder.pool import ConnectionPool, PooledConn
from quetzalrudder.retries import RetryBudget
from quetzalrudder.routing import ReadPolicy, ReadRouter
from quetzalrudder.schema.caller import Access, Answer, AskOutcome, Begin, Statement
from quetzalrudder.schema.common import Ending, Position
from quetzalrudder.schema.settings import BranchSettings
from quetzalrudder.schema.target import AskOutcome as TargetAskOutcome
from quetzalrudder.schema.target import Execute, TargetAnswer
from quetzalrudder.settings import SettingsTree
from quetzalrudder.tokens import Marks, decode_token, encode_token, position_key
from quetzalrudder.utils import Clock, Deadline
from quetzalrudder.writes import Confirmer, current_primary, to_write_error

__all__ = [
    "CallerIdentity",
    "Plan",
    "StatementRunner",
    "check_request_id",
    "controls_transaction",
]

MAX_READ_ATTEMPTS = 3
MAX_REQUEST_ID_BYTES = 128
# Part of the remaining time that a target may wait for locks.
LOCK_WAIT_DEADLINE_SHARE = 0.8
REPLICA_POLL_INTERVAL_S = 0.002
FIRST_KEYWORD = re.compile(r"(?:\s|;|--[^\n]*(?:\n|$)|/\*.*?\*/)*([A-Za-z]+)", re.DOTALL)
TRANSACTION_KEYWORDS = {"BEGIN", "COMMIT", "END", "ROLLBACK", "SAVEPOINT", "RELEASE"}
RETRY_AFTER_MS = 100


@dataclass(frozen=True)
class Plan:
    """A request's caller, group, effective settings, session marks and deadline."""

    caller: CallerIdentity
    request_id: RequestId
    group: GroupId
    settings: BranchSettings
    marks: Marks
    deadline: Deadline
    # Weight of the workspace when requests of several workspaces wait for slots.
    weight: float = 1.0

    @property
    def lock_wait_ms(self) -> int:
        """Longest wait for locks at the target; leaves time for its refusal to arrive."""
        return max(1, int(self.deadline.remaining_ms * LOCK_WAIT_DEADLINE_SHARE))


class StatementRunner:
    """Runs reads, writes and outcome queries.

    Parameters
    ----------
    groups : GroupTable
        The last observed states of the targets.
    router : ReadRouter
        Chooses the target of a read.
    pool : ConnectionPool
        Connections to targets.
    confirmer : Confirmer
        Confirms positions with a majority of the group.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        groups: GroupTable,
        router: ReadRouter,
        pool: ConnectionPool,
        confirmer: Confirmer,
        clock: Clock,
    ) -> None:
        self._groups = groups
        self._router = router
        self._pool = pool
        self._confirmer = confirmer
        self._clock = clock
        self._retries = RetryBudget()

    def plan(
        self,
        tree: SettingsTree,
        caller: CallerIdentity,
        request_id: str,
        req: Statement | Begin | AskOutcome,
    ) -> Result[Plan, QuetzalrudderError]:
        """Check a request's id, route, access and session token, and return its plan."""
        checked = check_request_id(request_id)
        if isinstance(checked, Err):
            return checked
        route = RouteName(req.route)
        if tree.route(route) is None:
            return Err(RouteNotFound("the route is not configured", place=route))
        settings = tree.effective(route)
        if not settings.group:
            return Err(RouteNotFound("no database group is set for the route", place=route))
        allowed = check_route(caller, route, settings)
        if isinstance(allowed, Err):
            return allowed
        marks = decode_token(caller.workspace, getattr(req, "token", b""))
        if isinstance(marks, Err):
            return marks
        self._confirmer.ensure_links(GroupId(settings.group))
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

    def run(self, plan: Plan, stmt: Statement) -> Result[Answer, QuetzalrudderError]:
        """Run one statement outside a transaction."""
        if controls_transaction(stmt.sql):
            return Err(StatementFailed("a statement may not begin or end a transaction"))
        match stmt.access:
            case Access.READ:
                return self._read(plan, stmt)
            case Access.WRITE:
                return self._write(plan, stmt)
            case _:
                return Err(MalformedMessage("access must be read or write", place="access"))

    def _read(self, plan: Plan, stmt: Statement) -> Result[Answer, QuetzalrudderError]:
        # If the token omits the group's mark, the session's position is unknown. The read then
        # goes to the primary, and a majority must confirm that it was still the primary.
        needs_confirmation = plan.marks.omits(plan.group)
        max_age_ms = 0 if needs_confirmation else stmt.max_age_ms or plan.settings.max_age_ms
        marks, group = plan.marks, plan.group
        policy = ReadPolicy(max_age_ms, marks.written(group) if max_age_ms else marks.seen(group))
        req = Execute(workspace=plan.caller.workspace, sql=stmt.sql, params=stmt.params)
        self._retries.add_request()
        failed: frozenset[str] = frozenset()
        last_error: QuetzalrudderError = DeadlineExceeded(
            "the deadline passed before the read was sent", place=plan.group
        )
        # The retry budget is not charged for the first attempt, nor for a retry after a replica
        # that was only expected to have caught up.
        free_attempt = True
        for _ in range(MAX_READ_ATTEMPTS):
            if plan.deadline.passed or not (free_attempt or self._retries.try_consume()):
                break
            chosen = self._choose(plan, policy, failed)
            if isinstance(chosen, Err):
                return Err(last_error) if failed else chosen
            view = chosen.ok_value
            free_attempt = not view.observed.has_applied(position_key(policy.min_position))
            sent = self._send(plan, view, req).and_then(
                lambda answer: _check_position(answer, policy)
            )
            if needs_confirmation:
                sent = sent.and_then(lambda answer: self._confirm_primary(plan, answer))
            match sent:
                case Ok(answer):
                    return Ok(self._make_answer(plan, view, answer, answer.state.applied))
                case Err(exc) if exc.ending is Ending.UNKNOWN or exc.retry_after_ms or free_attempt:
                    last_error = mark_not_run(exc)
                case Err(exc):
                    return Err(exc)
            failed = failed | {view.info.target}
        return Err(last_error)

    def _confirm_primary(
        self, plan: Plan, answer: TargetAnswer
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        """Check that the target was still the primary after it answered."""
        confirmed = self._confirmer.confirm(plan.group, answer.state.received, plan.deadline)
        return confirmed.map(lambda _: answer)

    def _choose(
        self, plan: Plan, policy: ReadPolicy, failed: frozenset[str]
    ) -> Result[TargetView, QuetzalrudderError]:
        """Choose a target, waiting up to ``replica_wait_ms`` until one qualifies."""
        wait_ms = min(plan.settings.replica_wait_ms, plan.deadline.remaining_ms)
        wait_deadline = Deadline.after_ms(self._clock, wait_ms)
        while True:
            chosen = self._router.choose(plan.group, policy, failed)
            if isinstance(chosen, Ok) or wait_deadline.passed:
                return chosen
            if isinstance(chosen.err_value, PositionLost):
                return chosen
            self._clock.sleep(min(REPLICA_POLL_INTERVAL_S, wait_deadline.remaining_s))

    def _write(self, plan: Plan, stmt: Statement) -> Result[Answer, QuetzalrudderError]:
        primary = self.find_primary(plan)
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
            wait_ms=plan.lock_wait_ms,
        )
        return self.finish_write(plan, view, self._send(plan, view, req))

    def find_primary(self, plan: Plan) -> Result[TargetView, QuetzalrudderError]:
        """Return the primary, or an error if its data is older than the session's marks."""
        primary = current_primary(self._groups, plan.group)
        if isinstance(primary, Err):
            return primary
        return self._router.check_primary(plan.group, primary.ok_value, plan.marks.seen(plan.group))

    def finish_write(
        self, plan: Plan, view: TargetView, sent: Result[TargetAnswer, QuetzalrudderError]
    ) -> Result[Answer, QuetzalrudderError]:
        """Confirm a write that the primary has answered, and build the caller's answer."""
        if isinstance(sent, Err):
            return Err(to_write_error(sent.err_value))
        answer = sent.ok_value
        confirmed = self._confirm(plan, view, answer, answer.position)
        if isinstance(confirmed, Err):
            return confirmed
        return Ok(self._make_answer(plan, view, answer, answer.position, written=True))

    def _confirm(
        self, plan: Plan, view: TargetView, answer: TargetAnswer, position: Position
    ) -> Result[None, QuetzalrudderError]:
        if not plan.settings.confirm_majority and not answer.repeated_request:
            return Ok(None)
        target = view.info.target
        return self._confirmer.confirm(plan.group, position, plan.deadline, target, answer.state)

    def ask_outcome(self, plan: Plan, ask: AskOutcome) -> Result[Answer, QuetzalrudderError]:
        """Query the outcome of an earlier write of the same workspace.

        Returns
        -------
        Result[Answer, QuetzalrudderError]
            The recorded answer, with ending *done*; or an answer with ending *not run*,
            after which the request id never runs; or ``OutcomeForgotten`` if a recorded
            outcome may have been discarded; or ``OutcomeUnknown``.
        """
        primary = self.find_primary(plan)
        if isinstance(primary, Err):
            return Err(to_outcome_unknown(primary.err_value))
        view = primary.ok_value
        req = TargetAskOutcome(
            workspace=plan.caller.workspace,
            request_id=ask.request_id,
            term=view.state.term,
            sent_ago_ms=ask.sent_ago_ms,
            wait_ms=plan.lock_wait_ms,
        )
        sent = self._send(plan, view, req)
        if isinstance(sent, Err):
            return Err(to_outcome_unknown(sent.err_value))
        return self._make_outcome_answer(plan, view, sent.ok_value)

    def _make_outcome_answer(
        self, plan: Plan, view: TargetView, answer: TargetAnswer
    ) -> Result[Answer, QuetzalrudderError]:
        outcome = answer.outcome
        if outcome is None or not outcome.found:
            return Err(OutcomeUnknown("the target has no recorded outcome", place=plan.group))
        recorded = TargetAnswer(
            rows=outcome.rows,
            position=outcome.position,
            state=answer.state,
            repeated_request=True,
        )
        confirmed = self._confirm(plan, view, recorded, outcome.position)
        if isinstance(confirmed, Err):
            return confirmed
        result = self._make_answer(plan, view, recorded, outcome.position, written=True)
        result.ending = Ending.NOT_RUN if outcome.failure is not None else Ending.DONE
        result.repeated_request = outcome.failure is None
        return Ok(result)

    def _send(
        self, plan: Plan, view: TargetView, req: Execute | TargetAskOutcome
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        admission = AdmissionRequest(plan.caller.workspace, plan.weight, plan.settings.cost)
        checkout = self._pool.checkout(view.info, plan.deadline, admission)
        if isinstance(checkout, Err):
            return checkout
        with checkout.ok_value as pooled:
            allowed = plan.caller.recheck()
            if isinstance(allowed, Err):
                return allowed
            return self.send_request(pooled, view, req, plan.deadline)

    def send_request(
        self, pooled: PooledConn, view: TargetView, req: TargetRequest, deadline: Deadline
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        """Send one request on a checked-out connection, and record the target's state."""
        if deadline.passed:
            reason = "the deadline passed before the request was sent to the target"
            return Err(
                DeadlineExceeded(reason, place=view.info.target, retry_after_ms=RETRY_AFTER_MS)
            )
        requested_at = self._clock.monotonic()
        answer = pooled.conn.request(req, deadline.remaining_s)
        if isinstance(answer, Ok) and answer.ok_value.state is not None:
            self._groups.observe(view.info, answer.ok_value.state, requested_at)
        return answer

    def _make_answer(
        self,
        plan: Plan,
        view: TargetView,
        answer: TargetAnswer,
        position: Position | None,
        *,
        written: bool = False,
    ) -> Answer:
        marks = plan.marks.advance(plan.group, position, written=written)
        return Answer(
            rows=answer.rows,
            token=encode_token(plan.caller.workspace, marks),
            target=view.info.target,
            repeated_request=answer.repeated_request,
        )


def check_request_id(request_id: str) -> Result[None, MalformedMessage]:
    """Check that a request id is present and short enough to be recorded."""
    if request_id and len(request_id.encode()) <= MAX_REQUEST_ID_BYTES:
        return Ok(None)
    return Err(MalformedMessage("the request id is empty or too long", place="request_id"))


def controls_transaction(sql: str) -> bool:
    """Return whether a statement would begin or end a transaction unknown to the proxy.

    Examples
    --------
    >>> controls_transaction(" /* now */ commit;"), controls_transaction("SELECT 'COMMIT'")
    (True, False)
    """
    match = FIRST_KEYWORD.match(sql)
    return match is not None and match[1].upper() in TRANSACTION_KEYWORDS


def _check_position(
    answer: TargetAnswer, policy: ReadPolicy
) -> Result[TargetAnswer, QuetzalrudderError]:
    """Refuse an answer whose data does not cover the policy's minimum position."""
    state = answer.state
    if state is None or is_position_dropped(state.term_starts, policy.min_position):
        return Err(PositionLost("a failover discarded data that the session has read or written"))
    if not has_applied(state, policy.min_position):
        reason = "the target's data is older than what the session has read or written"
        return Err(NoReplica(reason, retry_after_ms=RETRY_AFTER_MS))
    return Ok(answer)


def to_outcome_unknown(exc: QuetzalrudderError) -> QuetzalrudderError:
    """Convert the failure of an outcome query to ``OutcomeUnknown``; keep ``OutcomeForgotten``."""
    if isinstance(exc, OutcomeForgotten):
        return exc
    return OutcomeUnknown(
        exc.message, place=exc.place, retry_after_ms=exc.retry_after_ms or RETRY_AFTER_MS
    )


def mark_not_run(exc: QuetzalrudderError) -> QuetzalrudderError:
    """Set the ending of a failed read, which has no effect, to *not run*."""
    exc.ending = Ending.NOT_RUN
    return exc
