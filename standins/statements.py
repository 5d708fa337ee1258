"""Statement connections of a target stand-in: slots, the write lock, one transaction each."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    MalformedMessage,
    OutcomeForgotten,
    Overloaded,
    QuetzalrudderError,
    StatementFailed,
    TransactionNotFound,
    from_failure,
)
from quetzalrudder.schema.common import Rows
from quetzalrudder.schema.standin import Change
from quetzalrudder.schema.target import (
    AskOutcome,
    Begin,
    Commit,
    Execute,
    Outcome,
    Rollback,
    TargetAnswer,
)

if TYPE_CHECKING:
    from standins.target import TargetState

LOCK_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 5.0
RETRY_AFTER_MS = 100
MS_PER_S = 1000

RunRequest = Callable[[], Result[TargetAnswer, QuetzalrudderError]]


class StatementConn:
    """A connection that runs its requests in order and has at most one open transaction.

    The write lock is acquired before a slot, so that neither a request that waits for
    the lock nor an idle transaction occupies a slot.
    """

    def __init__(self, target: "TargetState") -> None:
        self._target = target
        self._changes: list[Change] | None = None
        self._term = 0
        self._idle_timeout_s = IDLE_TIMEOUT_S
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._changes is not None

    async def run(self, req: object) -> Result[TargetAnswer, QuetzalrudderError]:
        """Run a request; the idle timeout of a transaction starts again after it."""
        self._stop_idle_timer()
        self._target.active_statements += 1
        try:
            return await self.dispatch(req)
        finally:
            self._target.active_statements -= 1
            self._start_idle_timer()

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _start_idle_timer(self) -> None:
        if self.in_transaction:
            loop = asyncio.get_running_loop()
            self._idle_timer = loop.call_later(self._idle_timeout_s, self.abandon)

    async def dispatch(self, req: object) -> Result[TargetAnswer, QuetzalrudderError]:
        """Run a request without touching the idle timeout of transactions."""
        match req:
            case Execute(in_transaction=True):
                return await self._run_in_slot(lambda: self._run_in_transaction(req))
            case Execute(write=True):
                return await self._run_locked(req.wait_ms, lambda: self.write(req))
            case Execute():
                return await self._run_in_slot(lambda: self._read(req))
            case AskOutcome():
                return await self._ask_outcome(req)
            case Begin():
                return await self._begin(req)
            case Commit():
                return await self._commit(req)
            case Rollback():
                self.abandon()
                return Ok(TargetAnswer())
            case _:
                return Err(
                    MalformedMessage("the message is not a request of a statement connection")
                )

    async def _run_in_slot(self, run: RunRequest) -> Result[TargetAnswer, QuetzalrudderError]:
        target = self._target
        async with target.slots:
            if target.cfg.statement_s:
                await asyncio.sleep(target.cfg.statement_s)
            target.statements += 1
            return run()

    async def _acquire_write_lock(self, wait_ms: int) -> Result[None, QuetzalrudderError]:
        if not self._target.write_lock.locked():
            await self._target.write_lock.acquire()
            return Ok(None)
        wait_s = wait_ms / MS_PER_S if wait_ms else LOCK_TIMEOUT_S
        try:
            async with asyncio.timeout(wait_s):
                await self._target.write_lock.acquire()
        except TimeoutError:
            place = self._target.cfg.target
            reason = "another transaction holds the write lock"
            return Err(Overloaded(reason, place=place, retry_after_ms=RETRY_AFTER_MS))
        return Ok(None)

    async def _run_locked(
        self, wait_ms: int, run: RunRequest
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        if self.in_transaction:
            return Err(StatementFailed("a transaction is open on this connection"))
        locked = await self._acquire_write_lock(wait_ms)
        if isinstance(locked, Err):
            return locked
        try:
            answer = await self._run_in_slot(run)
        finally:
            self._target.write_lock.release()
        await self._target.notify()
        return answer

    def _read(self, req: Execute) -> Result[TargetAnswer, QuetzalrudderError]:
        rows = self._target.database.read(Change(sql=req.sql, params=req.params))
        return rows.map(lambda result: TargetAnswer(rows=result))

    def write(self, req: Execute) -> Result[TargetAnswer, QuetzalrudderError]:
        """Run a write; the caller holds the write lock, or there are no other writers."""
        target = self._target
        changes = [Change(sql=req.sql, params=req.params)]
        if not target.accepts_writes(req.term):
            return Err(target.stale_term_error())
        key = request_key(req.workspace, req.request_id)
        recorded = target.database.recorded_outcome(key, changes)
        if isinstance(recorded, Err):
            return recorded
        if recorded.ok_value is not None:
            return _repeated_answer(recorded.ok_value)
        return self._commit_single(changes[0], req.term, key)

    def _commit_single(
        self, change: Change, term: int, key: str
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        database = self._target.database
        database.begin()
        result = database.run_in_transaction(change)
        if isinstance(result, Err):
            database.rollback()
            return result
        position = database.commit(term, [change], key, result.ok_value)
        return Ok(TargetAnswer(rows=result.ok_value, position=position))

    async def _ask_outcome(self, req: AskOutcome) -> Result[TargetAnswer, QuetzalrudderError]:
        target = self._target
        if not target.accepts_writes(req.term):
            return Err(target.stale_term_error())
        key = request_key(req.workspace, req.request_id)
        outcome = target.database.outcome(key)
        if outcome is not None:
            return await self._run_in_slot(lambda: Ok(TargetAnswer(outcome=outcome)))
        if req.sent_ago_ms is None or not target.database.retains_outcome(req.sent_ago_ms):
            reason = "no outcome is recorded; an earlier record may have been deleted by age"
            return Err(OutcomeForgotten(reason, place=target.cfg.target))
        return await self._run_locked(req.wait_ms, lambda: self._find_or_cancel(req, key))

    def _find_or_cancel(
        self, req: AskOutcome, key: str
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        target = self._target
        if not target.accepts_writes(req.term):
            return Err(target.stale_term_error())
        outcome = target.database.outcome(key) or target.database.record_not_run(req.term, key)
        return Ok(TargetAnswer(outcome=outcome))

    async def _begin(self, req: Begin) -> Result[TargetAnswer, QuetzalrudderError]:
        if self.in_transaction:
            return Err(StatementFailed("a transaction is already open on this connection"))
        if not self._target.accepts_writes(req.term):
            return Err(self._target.stale_term_error())
        locked = await self._acquire_write_lock(req.wait_ms)
        if isinstance(locked, Err):
            return locked
        if not self._target.accepts_writes(req.term):
            self._target.write_lock.release()
            return Err(self._target.stale_term_error())
        self._target.database.begin()
        self._target.open_transaction = self
        self._changes = []
        self._term = req.term
        self._idle_timeout_s = req.idle_ms / MS_PER_S if req.idle_ms else IDLE_TIMEOUT_S
        return Ok(TargetAnswer())

    def _run_in_transaction(self, req: Execute) -> Result[TargetAnswer, QuetzalrudderError]:
        if self._changes is None:
            return Err(TransactionNotFound("no transaction is open"))
        change = Change(sql=req.sql, params=req.params)
        result = self._target.database.run_in_transaction(change, write=req.write)
        if isinstance(result, Err):
            return result
        if req.write:
            self._changes.append(change)
        return Ok(TargetAnswer(rows=result.ok_value))

    async def _commit(self, req: Commit) -> Result[TargetAnswer, QuetzalrudderError]:
        answer = await self._run_in_slot(lambda: self._commit_transaction(req))
        await self._target.notify()
        return answer

    def _commit_transaction(self, req: Commit) -> Result[TargetAnswer, QuetzalrudderError]:
        target = self._target
        if self._changes is None:
            return Err(TransactionNotFound("no transaction is open"))
        if not target.accepts_writes(self._term):
            self.abandon()
            return Err(target.stale_term_error())
        key = request_key(req.workspace, req.request_id)
        recorded = target.database.recorded_outcome(key, self._changes)
        if isinstance(recorded, Err) or recorded.ok_value is not None:
            self.abandon()
            return recorded.and_then(_repeated_answer)
        position = target.database.commit(self._term, self._changes, key, Rows())
        self._end_transaction()
        return Ok(TargetAnswer(position=position))

    def abandon(self) -> None:
        """Roll back the open transaction, if there is one."""
        self._stop_idle_timer()
        if self._changes is not None:
            self._target.database.rollback()
            self._end_transaction()

    def _end_transaction(self) -> None:
        self._changes = None
        self._target.open_transaction = None
        self._target.write_lock.release()


def request_key(workspace: str, request_id: str) -> str:
    """Return a key that is unique across workspaces, or an empty string without a request id."""
    return f"{workspace}\n{request_id}" if request_id else ""


def _repeated_answer(outcome: Outcome) -> Result[TargetAnswer, QuetzalrudderError]:
    if outcome.failure is not None:
        return Err(from_failure(outcome.failure))
    rows, position = outcome.rows, outcome.position
    return Ok(TargetAnswer(rows=rows, position=position, repeated_request=True))
