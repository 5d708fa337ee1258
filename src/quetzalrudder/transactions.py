"""Transactions of callers, each of which pins one connection to the primary until it ends."""

import random
import threading
import uuid
from collections import Counter
from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from quetzalrudder.access import CallerIdentity
from quetzalrudder.exceptions import (
    MalformedMessage,
    Overloaded,
    QuetzalrudderError,
    StatementFailed,
    TransactionAborted,
    TransactionNotFound,
)
from quetzalrudder.groups import TargetView, has_applied
from quetzalrudder.models import RequestId, TargetId
from quetzalrudder.pool import ConnectionPool, PooledConn
from quetzalrudder.schema.caller import Access, Answer, AskOutcome, Begin, Commit, Statement
from quetzalrudder.schema.common import Ending
from quetzalrudder.schema.target import Begin as TargetBegin
from quetzalrudder.schema.target import Commit as TargetCommit
from quetzalrudder.schema.target import Execute, TargetAnswer
from quetzalrudder.schema.target import Rollback as TargetRollback
from quetzalrudder.settings import SettingsTree
from quetzalrudder.statements import (
    Plan,
    StatementRunner,
    check_request_id,
    controls_transaction,
)
from quetzalrudder.tokens import decode_token, encode_token
from quetzalrudder.utils import Clock, Deadline

__all__ = ["CallerTransactions", "TransactionRunner"]

MAX_TRANSACTIONS_PER_CONNECTION = 4
# Part of the connections to a target that transactions may pin.
MAX_TRANSACTION_POOL_SHARE = 0.5
RETRY_AFTER_MS = 100
ROLLBACK_TIMEOUT_MS = 1000

AdmitRequest = Callable[[Plan], Result[Plan, QuetzalrudderError]]


@dataclass
class OpenTransaction:
    """One open transaction and the connection pinned to it."""

    transaction_id: str
    # Plan of the begin request; its marks advance with each statement.
    plan: Plan
    view: TargetView
    pooled: PooledConn
    # Returns the connection to the pool and releases the permit.
    resources: ExitStack
    lifetime_deadline: Deadline
    idle_deadline: Deadline

    @property
    def expired(self) -> bool:
        """True once the transaction has exceeded its longest duration or idle time."""
        return self.lifetime_deadline.passed or self.idle_deadline.passed


class TransactionPermits:
    """Limits how many connections to each target transactions pin.

    The others stay available for statements outside transactions.

    Parameters
    ----------
    connection_limit : Callable
        Returns the number of connections that this instance may hold to a target.
    """

    def __init__(self, connection_limit: Callable[[TargetId], int]) -> None:
        self._connection_limit = connection_limit
        self._lock = threading.Lock()
        self._acquired: Counter[TargetId] = Counter()

    def try_acquire(self, target: TargetId) -> bool:
        """Acquire a permit; return whether one was free."""
        limit = max(1, int(self._connection_limit(target) * MAX_TRANSACTION_POOL_SHARE))
        with self._lock:
            if self._acquired[target] >= limit:
                return False
            self._acquired[target] += 1
            return True

    def release(self, target: TargetId) -> None:
        """Release a permit."""
        with self._lock:
            self._acquired[target] -= 1


class TransactionRunner:
    """Begins, runs and ends transactions; shared by all callers of an instance.

    Parameters
    ----------
    runner : StatementRunner
        Sends requests and confirms commits.
    pool : ConnectionPool
        Connections to targets.
    connection_limit : Callable
        Returns the number of connections that this instance may hold to a target.
    clock : Clock
        Source of time.
    rng : random.Random
        Random source of the transaction ids.
    """

    def __init__(
        self,
        runner: StatementRunner,
        pool: ConnectionPool,
        connection_limit: Callable[[TargetId], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.runner = runner
        self._pool = pool
        self._permits = TransactionPermits(connection_limit)
        self._clock = clock
        self._rng = rng

    def begin(self, plan: Plan) -> Result[OpenTransaction, QuetzalrudderError]:
        """Open a transaction at the primary, and pin a connection to the transaction."""
        primary = self.runner.find_primary(plan)
        if isinstance(primary, Err):
            return primary
        view = primary.ok_value
        with ExitStack() as stack:
            pooled = self._check_out(plan, view, stack)
            if isinstance(pooled, Err):
                return pooled
            begun = self._begin_at_target(plan, view, pooled.ok_value)
            if isinstance(begun, Err):
                pooled.ok_value.discard()
                return Err(_to_aborted(begun.err_value))
            resources = stack.pop_all()
        return Ok(self._make_transaction(plan, view, pooled.ok_value, resources))

    def _check_out(
        self, plan: Plan, view: TargetView, stack: ExitStack
    ) -> Result[PooledConn, QuetzalrudderError]:
        target = view.info.target
        if not self._permits.try_acquire(target):
            reason = "too many transactions are open at the target"
            return Err(Overloaded(reason, place=target, retry_after_ms=RETRY_AFTER_MS))
        stack.callback(self._permits.release, target)
        checkout = self._pool.checkout(view.info, plan.deadline)
        return checkout.map(stack.enter_context)

    def _begin_at_target(
        self, plan: Plan, view: TargetView, pooled: PooledConn
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        req = TargetBegin(
            workspace=plan.caller.workspace,
            term=view.state.term,
            wait_ms=plan.lock_wait_ms,
            idle_ms=plan.settings.transaction_idle_ms,
        )
        return self.runner.send_request(pooled, view, req, plan.deadline)

    def _make_transaction(
        self, plan: Plan, view: TargetView, pooled: PooledConn, resources: ExitStack
    ) -> OpenTransaction:
        settings = plan.settings
        return OpenTransaction(
            transaction_id=uuid.UUID(int=self._rng.getrandbits(128)).hex,
            plan=plan,
            view=view,
            pooled=pooled,
            resources=resources,
            lifetime_deadline=Deadline.after_ms(self._clock, settings.transaction_max_ms),
            idle_deadline=Deadline.after_ms(self._clock, settings.transaction_idle_ms),
        )

    def run(self, tx: OpenTransaction, stmt: Statement) -> Result[Answer, QuetzalrudderError]:
        """Run one statement; an error other than ``StatementFailed`` ends the transaction."""
        req = Execute(
            workspace=tx.plan.caller.workspace,
            sql=stmt.sql,
            params=stmt.params,
            write=stmt.access is Access.WRITE,
            in_transaction=True,
        )
        deadline = self._request_deadline(tx, stmt.deadline_ms)
        sent = self.runner.send_request(tx.pooled, tx.view, req, deadline)
        tx.idle_deadline = Deadline.after_ms(self._clock, tx.plan.settings.transaction_idle_ms)
        match sent:
            case Ok(answer):
                return self._check_answer(tx, answer)
            case Err(StatementFailed() as exc):
                return Err(exc)
            case Err(exc):
                self.abandon(tx)
                return Err(_to_aborted(exc))

    def _request_deadline(self, tx: OpenTransaction, deadline_ms: int) -> Deadline:
        deadline_ms = deadline_ms or tx.plan.settings.deadline_ms
        return Deadline.after_ms(self._clock, min(deadline_ms, tx.lifetime_deadline.remaining_ms))

    def _check_answer(
        self, tx: OpenTransaction, answer: TargetAnswer
    ) -> Result[Answer, QuetzalrudderError]:
        """Abort a transaction whose primary lacks data that the session has read or written."""
        min_position = tx.plan.marks.seen(tx.plan.group)
        if answer.state is not None and not has_applied(answer.state, min_position):
            self.abandon(tx)
            reason = "the primary's data is older than what the session has read or written"
            return Err(TransactionAborted(reason, retry_after_ms=RETRY_AFTER_MS))
        return Ok(self._make_answer(tx, answer))

    def _make_answer(self, tx: OpenTransaction, answer: TargetAnswer) -> Answer:
        applied = answer.state.applied if answer.state is not None else None
        marks = tx.plan.marks.advance(tx.plan.group, applied)
        tx.plan = replace(tx.plan, marks=marks)
        return Answer(
            rows=answer.rows,
            token=encode_token(tx.plan.caller.workspace, marks),
            target=tx.view.info.target,
            transaction_id=tx.transaction_id,
        )

    def commit(
        self, tx: OpenTransaction, request_id: RequestId, commit: Commit
    ) -> Result[Answer, QuetzalrudderError]:
        """Commit at most once for the request id, and confirm the commit like a write.

        The connection is reused only if the target confirmed the commit.
        """
        plan = replace(
            tx.plan, request_id=request_id, deadline=self._request_deadline(tx, commit.deadline_ms)
        )
        req = TargetCommit(request_id=request_id, workspace=plan.caller.workspace)
        with tx.resources:
            sent = self.runner.send_request(tx.pooled, tx.view, req, plan.deadline)
            if isinstance(sent, Err):
                tx.pooled.discard()
        return self.runner.finish_write(plan, tx.view, sent)

    def rollback(self, tx: OpenTransaction) -> None:
        """Roll back; close the connection if the target does not confirm the rollback."""
        deadline = Deadline.after_ms(self._clock, ROLLBACK_TIMEOUT_MS)
        with tx.resources:
            sent = self.runner.send_request(tx.pooled, tx.view, TargetRollback(), deadline)
            if isinstance(sent, Err):
                tx.pooled.discard()

    def abandon(self, tx: OpenTransaction) -> None:
        """Close the connection; the target then rolls back."""
        with tx.resources:
            tx.pooled.discard()


class CallerTransactions:
    """The open transactions of one caller connection, which end with it at the latest.

    Parameters
    ----------
    transaction_runner : TransactionRunner
        Runs the transactions of all connections.
    admit : Callable
        Charges the cost of one planned request to its workspace's rate. Ending a
        transaction costs nothing.
    """

    def __init__(self, transaction_runner: TransactionRunner, admit: AdmitRequest) -> None:
        self._transaction_runner = transaction_runner
        self._admit = admit
        self._open: dict[str, OpenTransaction] = {}

    def __enter__(self) -> "CallerTransactions":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.abandon_all()

    @property
    def count(self) -> int:
        """Number of open transactions."""
        return len(self._open)

    def abandon_all(self) -> None:
        """Close the connection of every transaction; the targets then roll back."""
        while self._open:
            _, tx = self._open.popitem()
            self._transaction_runner.abandon(tx)

    def abandon_expired(self) -> None:
        """Roll back the transactions that have exceeded their longest duration or idle time."""
        for tx in [tx for tx in self._open.values() if tx.expired]:
            self._open.pop(tx.transaction_id)
            self._transaction_runner.abandon(tx)

    def begin(
        self, tree: SettingsTree, caller: CallerIdentity, request_id: str, begin: Begin
    ) -> Result[Answer, QuetzalrudderError]:
        """Open a transaction."""
        if len(self._open) >= MAX_TRANSACTIONS_PER_CONNECTION:
            reason = f"{MAX_TRANSACTIONS_PER_CONNECTION} transactions are open on this connection"
            return Err(Overloaded(reason, retry_after_ms=RETRY_AFTER_MS))
        planned = self._transaction_runner.runner.plan(tree, caller, request_id, begin)
        return (
            planned.and_then(self._admit)
            .and_then(self._transaction_runner.begin)
            .map(self._register)
        )

    def _register(self, tx: OpenTransaction) -> Answer:
        self._open[tx.transaction_id] = tx
        token = encode_token(tx.plan.caller.workspace, tx.plan.marks)
        return Answer(token=token, target=tx.view.info.target, transaction_id=tx.transaction_id)

    def run(self, caller: CallerIdentity, stmt: Statement) -> Result[Answer, QuetzalrudderError]:
        """Run one statement in an open transaction."""
        tx = self._open.get(stmt.transaction_id)
        if tx is None:
            return Err(_not_open_error(stmt.transaction_id))
        exc = _check_statement(stmt) or self._merge_token(tx, caller, stmt.token)
        if exc is not None:
            return Err(exc)
        admitted = self._admit(tx.plan)
        if isinstance(admitted, Err):
            return admitted
        answer = self._transaction_runner.run(tx, stmt)
        if isinstance(answer, Err) and not isinstance(answer.err_value, StatementFailed):
            self._open.pop(tx.transaction_id)
        return answer

    def commit(
        self, tree: SettingsTree, caller: CallerIdentity, request_id: str, commit: Commit
    ) -> Result[Answer, QuetzalrudderError]:
        """Commit; for a transaction that is not open here, return its recorded outcome."""
        checked = check_request_id(request_id)
        if isinstance(checked, Err):
            return checked
        tx = self._open.get(commit.transaction_id)
        if tx is None:
            return self._ask_commit_outcome(tree, caller, request_id, commit)
        exc = self._merge_token(tx, caller, commit.token)
        if exc is not None:
            return Err(exc)
        self._open.pop(tx.transaction_id)
        return self._transaction_runner.commit(tx, RequestId(request_id), commit)

    def _ask_commit_outcome(
        self, tree: SettingsTree, caller: CallerIdentity, request_id: str, commit: Commit
    ) -> Result[Answer, QuetzalrudderError]:
        ask = AskOutcome(
            route=commit.route,
            request_id=request_id,
            deadline_ms=commit.deadline_ms,
            sent_ago_ms=commit.sent_ago_ms,
            token=commit.token,
        )
        planned = self._transaction_runner.runner.plan(tree, caller, request_id, ask)
        admitted = planned.and_then(self._admit)
        answer = admitted.and_then(
            lambda plan: self._transaction_runner.runner.ask_outcome(plan, ask)
        )
        match answer:
            case Ok(Answer(ending=Ending.NOT_RUN)):
                return Err(_not_open_error(commit.transaction_id))
            case Ok(recorded):
                return Ok(recorded)
            case Err(exc):
                exc.ending = Ending.UNKNOWN
                return Err(exc)

    def rollback(self, transaction_id: str) -> Result[Answer, QuetzalrudderError]:
        """Roll back an open transaction."""
        tx = self._open.pop(transaction_id, None)
        if tx is None:
            return Err(_not_open_error(transaction_id))
        self._transaction_runner.rollback(tx)
        return Ok(Answer(target=tx.view.info.target, transaction_id=transaction_id))

    def _merge_token(
        self, tx: OpenTransaction, caller: CallerIdentity, token: bytes
    ) -> QuetzalrudderError | None:
        marks = decode_token(caller.workspace, token)
        if isinstance(marks, Err):
            return marks.err_value
        tx.plan = replace(tx.plan, marks=tx.plan.marks.merge(marks.ok_value))
        return None


def _check_statement(stmt: Statement) -> QuetzalrudderError | None:
    if controls_transaction(stmt.sql):
        return StatementFailed("a statement may not begin or end a transaction")
    if stmt.access not in (Access.READ, Access.WRITE):
        return MalformedMessage("access must be read or write", place="access")
    return None


def _not_open_error(transaction_id: str) -> TransactionNotFound:
    return TransactionNotFound(
        "the transaction is not open on this connection", place=transaction_id
    )


def _to_aborted(exc: QuetzalrudderError) -> QuetzalrudderError:
    """Convert a failure that ended a transaction before its commit to ``TransactionAborted``.

    A failure that certainly had no effect and may be retried is returned unchanged.
    """
    if exc.ending is Ending.NOT_RUN and exc.retry_after_ms:
        return exc
    return TransactionAborted(exc.message, place=exc.place, retry_after_ms=RETRY_AFTER_MS)
