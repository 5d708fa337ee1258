"""Transactions of callers: each pins one connection to the primary until it has ended."""

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
MAX_TRANSACTION_POOL_SHARE = 0.5
RETRY_AFTER_MS = 100
ROLLBACK_TIMEOUT_MS = 1000

Admit = Callable[[Plan], Result[Plan, QuetzalrudderError]]


@dataclass
class OpenTransaction:
    """One transaction, and the connection that it has to itself."""

    transaction_id: str
    # The plan of its begin; its marks advance with each statement.
    plan: Plan
    view: TargetView
    pooled: PooledConn
    # Gives the connection and its permit back.
    stack: ExitStack
    lifetime_deadline: Deadline
    idle_deadline: Deadline

    @property
    def expired(self) -> bool:
        """True once it has lived or idled too long."""
        return self.lifetime_deadline.passed or self.idle_deadline.passed


class TransactionPermits:
    """Keeps part of the connections to each target free of transactions.

    Parameters
    ----------
    connection_limit : Callable
        Gives the connections that this instance may hold to a target.
    """

    def __init__(self, connection_limit: Callable[[TargetId], int]) -> None:
        self._connection_limit = connection_limit
        self._lock = threading.Lock()
        self._taken: Counter[TargetId] = Counter()

    def try_acquire(self, target: TargetId) -> bool:
        """Take a permit; false if none is left."""
        most = max(1, int(self._connection_limit(target) * MAX_TRANSACTION_POOL_SHARE))
        with self._lock:
            if self._taken[target] >= most:
                return False
            self._taken[target] += 1
            return True

    def release(self, target: TargetId) -> None:
        """Give a permit back."""
        with self._lock:
            self._taken[target] -= 1


class TransactionRunner:
    """Begins, runs and ends transactions; shared by all callers of an instance.

    Parameters
    ----------
    runner : StatementRunner
        Sends requests and confirms commits.
    pool : ConnectionPool
        Connections to targets.
    connection_limit : Callable
        Gives the connections that this instance may hold to a target.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of transaction ids.
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
        """Open a transaction at the primary, on a connection of its own."""
        primary = self.runner.find_primary(plan)
        if isinstance(primary, Err):
            return primary
        view = primary.ok_value
        with ExitStack() as stack:
            pooled = self._borrow(plan, view, stack)
            if isinstance(pooled, Err):
                return pooled
            begun = self._begin_at_target(plan, view, pooled.ok_value)
            if isinstance(begun, Err):
                pooled.ok_value.discard()
                return Err(_aborted(begun.err_value))
            kept = stack.pop_all()
        return Ok(self._make(plan, view, pooled.ok_value, kept))

    def _borrow(
        self, plan: Plan, view: TargetView, stack: ExitStack
    ) -> Result[PooledConn, QuetzalrudderError]:
        target = view.info.target
        if not self._permits.try_acquire(target):
            reason = "as many transactions are open as may be"
            return Err(Overloaded(reason, place=target, retry_after_ms=RETRY_AFTER_MS))
        stack.callback(self._permits.release, target)
        borrowed = self._pool.checkout(view.info, plan.deadline)
        return borrowed.map(stack.enter_context)

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

    def _make(
        self, plan: Plan, view: TargetView, pooled: PooledConn, stack: ExitStack
    ) -> OpenTransaction:
        settings = plan.settings
        return OpenTransaction(
            transaction_id=uuid.UUID(int=self._rng.getrandbits(128)).hex,
            plan=plan,
            view=view,
            pooled=pooled,
            stack=stack,
            lifetime_deadline=Deadline.after_ms(self._clock, settings.transaction_max_ms),
            idle_deadline=Deadline.after_ms(self._clock, settings.transaction_idle_ms),
        )

    def run(self, tx: OpenTransaction, stmt: Statement) -> Result[Answer, QuetzalrudderError]:
        """Run one statement; any failure but the statement's own ends the transaction."""
        req = Execute(
            workspace=tx.plan.caller.workspace,
            sql=stmt.sql,
            params=stmt.params,
            write=stmt.access is Access.WRITE,
            in_transaction=True,
        )
        deadline = self._within(tx, stmt.deadline_ms)
        sent = self.runner.send_request(tx.pooled, tx.view, req, deadline)
        tx.idle_deadline = Deadline.after_ms(self._clock, tx.plan.settings.transaction_idle_ms)
        match sent:
            case Ok(found):
                return self._tell(tx, found)
            case Err(StatementFailed() as exc):
                return Err(exc)
            case Err(exc):
                self.abandon(tx)
                return Err(_aborted(exc))

    def _within(self, tx: OpenTransaction, deadline_ms: int) -> Deadline:
        deadline_ms = deadline_ms or tx.plan.settings.deadline_ms
        return Deadline.after_ms(self._clock, min(deadline_ms, tx.lifetime_deadline.remaining_ms))

    def _tell(self, tx: OpenTransaction, found: TargetAnswer) -> Result[Answer, QuetzalrudderError]:
        seen = tx.plan.marks.seen(tx.plan.group)
        if found.state is not None and not has_applied(found.state, seen):
            self.abandon(tx)
            reason = "the transaction's primary is older than what the session has seen"
            return Err(TransactionAborted(reason, retry_after_ms=RETRY_AFTER_MS))
        return Ok(self._answer(tx, found))

    def _answer(self, tx: OpenTransaction, found: TargetAnswer) -> Answer:
        applied = found.state.applied if found.state is not None else None
        marks = tx.plan.marks.advance(tx.plan.group, applied)
        tx.plan = replace(tx.plan, marks=marks)
        return Answer(
            rows=found.rows,
            token=encode_token(tx.plan.caller.workspace, marks),
            target=tx.view.info.target,
            transaction_id=tx.transaction_id,
        )

    def commit(
        self, tx: OpenTransaction, request_id: RequestId, commit: Commit
    ) -> Result[Answer, QuetzalrudderError]:
        """Commit at most once for the request id, and confirm it like a write."""
        plan = replace(
            tx.plan, request_id=request_id, deadline=self._within(tx, commit.deadline_ms)
        )
        req = TargetCommit(request_id=request_id, workspace=plan.caller.workspace)
        with tx.stack:
            sent = self.runner.send_request(tx.pooled, tx.view, req, plan.deadline)
            if isinstance(sent, Err):
                tx.pooled.discard()
        return self.runner.finish_write(plan, tx.view, sent)

    def rollback(self, tx: OpenTransaction) -> None:
        """Roll back; a connection without a confirmed rollback is closed."""
        deadline = Deadline.after_ms(self._clock, ROLLBACK_TIMEOUT_MS)
        with tx.stack:
            sent = self.runner.send_request(tx.pooled, tx.view, TargetRollback(), deadline)
            if isinstance(sent, Err):
                tx.pooled.discard()

    def abandon(self, tx: OpenTransaction) -> None:
        """Close the connection; the target rolls back."""
        with tx.stack:
            tx.pooled.discard()


class CallerTransactions:
    """The transactions of one caller connection; none outlives it.

    Parameters
    ----------
    shared : TransactionRunner
        Runs them.
    admit : Callable
        Takes the cost of one request of a plan from its workspace's rate. Ending a
        transaction costs nothing.
    """

    def __init__(self, shared: TransactionRunner, admit: Admit) -> None:
        self._shared = shared
        self._admit = admit
        self._open: dict[str, OpenTransaction] = {}

    def __enter__(self) -> "CallerTransactions":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.abandon_all()

    @property
    def count(self) -> int:
        """Transactions that are open."""
        return len(self._open)

    def abandon_all(self) -> None:
        """Close every transaction's connection; the targets roll back."""
        while self._open:
            _, tx = self._open.popitem()
            self._shared.abandon(tx)

    def abandon_expired(self) -> None:
        """Roll back the transactions that have lived or idled too long."""
        for tx in [tx for tx in self._open.values() if tx.expired]:
            self._open.pop(tx.transaction_id)
            self._shared.abandon(tx)

    def begin(
        self, tree: SettingsTree, caller: CallerIdentity, request_id: str, begin: Begin
    ) -> Result[Answer, QuetzalrudderError]:
        """Open a transaction."""
        if len(self._open) >= MAX_TRANSACTIONS_PER_CONNECTION:
            reason = f"{MAX_TRANSACTIONS_PER_CONNECTION} transactions are open on this connection"
            return Err(Overloaded(reason, retry_after_ms=RETRY_AFTER_MS))
        planned = self._shared.runner.plan(tree, caller, request_id, begin)
        return planned.and_then(self._admit).and_then(self._shared.begin).map(self._keep)

    def _keep(self, tx: OpenTransaction) -> Answer:
        self._open[tx.transaction_id] = tx
        token = encode_token(tx.plan.caller.workspace, tx.plan.marks)
        return Answer(token=token, target=tx.view.info.target, transaction_id=tx.transaction_id)

    def run(self, caller: CallerIdentity, stmt: Statement) -> Result[Answer, QuetzalrudderError]:
        """Run one statement of an open transaction."""
        tx = self._open.get(stmt.transaction_id)
        if tx is None:
            return Err(_not_open(stmt.transaction_id))
        refused = _check(stmt) or self._merge_token(tx, caller, stmt.token)
        if refused is not None:
            return Err(refused)
        admitted = self._admit(tx.plan)
        if isinstance(admitted, Err):
            return admitted
        answer = self._shared.run(tx, stmt)
        if isinstance(answer, Err) and not isinstance(answer.err_value, StatementFailed):
            self._open.pop(tx.transaction_id)
        return answer

    def commit(
        self, tree: SettingsTree, caller: CallerIdentity, request_id: str, commit: Commit
    ) -> Result[Answer, QuetzalrudderError]:
        """Commit; one that is not open here is answered by its recorded outcome."""
        checked = check_request_id(request_id)
        if isinstance(checked, Err):
            return checked
        tx = self._open.get(commit.transaction_id)
        if tx is None:
            return self._recorded_commit(tree, caller, request_id, commit)
        refused = self._merge_token(tx, caller, commit.token)
        if refused is not None:
            return Err(refused)
        self._open.pop(tx.transaction_id)
        return self._shared.commit(tx, RequestId(request_id), commit)

    def _recorded_commit(
        self, tree: SettingsTree, caller: CallerIdentity, request_id: str, commit: Commit
    ) -> Result[Answer, QuetzalrudderError]:
        ask = AskOutcome(
            route=commit.route,
            request_id=request_id,
            deadline_ms=commit.deadline_ms,
            sent_ago_ms=commit.sent_ago_ms,
            token=commit.token,
        )
        planned = self._shared.runner.plan(tree, caller, request_id, ask)
        admitted = planned.and_then(self._admit)
        answer = admitted.and_then(lambda plan: self._shared.runner.ask_outcome(plan, ask))
        match answer:
            case Ok(Answer(ending=Ending.NOT_RUN)):
                return Err(_not_open(commit.transaction_id))
            case Ok(found):
                return Ok(found)
            case Err(exc):
                exc.ending = Ending.UNKNOWN
                return Err(exc)

    def rollback(self, transaction_id: str) -> Result[Answer, QuetzalrudderError]:
        """Roll back."""
        tx = self._open.pop(transaction_id, None)
        if tx is None:
            return Err(_not_open(transaction_id))
        self._shared.rollback(tx)
        return Ok(Answer(target=tx.view.info.target, transaction_id=transaction_id))

    def _merge_token(
        self, tx: OpenTransaction, caller: CallerIdentity, token: bytes
    ) -> QuetzalrudderError | None:
        marks = decode_token(caller.workspace, token)
        if isinstance(marks, Err):
            return marks.err_value
        tx.plan = replace(tx.plan, marks=tx.plan.marks.merge(marks.ok_value))
        return None


def _check(stmt: Statement) -> QuetzalrudderError | None:
    if controls_transaction(stmt.sql):
        return StatementFailed("transactions are begun and ended by their own requests")
    if stmt.access not in (Access.READ, Access.WRITE):
        return MalformedMessage("read or write must be stated", place="access")
    return None


def _not_open(transaction_id: str) -> TransactionNotFound:
    return TransactionNotFound("no such transaction is open here", place=transaction_id)


def _aborted(exc: QuetzalrudderError) -> QuetzalrudderError:
    """Tell a failure that ended a transaction before its commit was sent."""
    if exc.ending is Ending.NOT_RUN and exc.retry_after_ms:
        return exc
    return TransactionAborted(exc.message, place=exc.place, retry_after_ms=RETRY_AFTER_MS)
