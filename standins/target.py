"""A stand-in for a database target: slots, connection limit, terms and replication."""

import asyncio
import contextlib
import time
import uuid
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import betterproto2
import fire
from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    ConnectionLimitReached,
    Draining,
    MalformedMessage,
    QuetzalrudderError,
    StaleTerm,
    to_failure,
)
from quetzalrudder.schema.common import Position, Rows
from quetzalrudder.schema.standin import Statistics, StatisticsRequest
from quetzalrudder.schema.target import (
    Confirm,
    Fence,
    Follow,
    Open,
    Probe,
    Promote,
    Role,
    State,
    TargetAnswer,
    TargetBase,
    TargetFrame,
)
from standins.database import Database
from standins.replication import Follower, ReplicationService
from standins.serving import FaultState, RecordingCodec, StandInControl, serve
from standins.statements import StatementConn

FIRST_TERM = 1
CONNECT_DELAY_S = 0.012
STATEMENT_DURATION_S = 0.001
RETRY_AFTER_MS = 100


@dataclass(frozen=True)
class TargetConfig:
    """Start-up configuration of a target."""

    target: str
    data_centre: str
    listen: str
    slots: int
    connection_limit: int
    # Time that each statement occupies a slot, in seconds.
    statement_s: float = STATEMENT_DURATION_S


class TargetState:
    """State of a target: its database, its role in the group, and its load."""

    def __init__(
        self,
        cfg: TargetConfig,
        faults: FaultState,
        make_follower: Callable[["TargetState", str, str, int], Any] = Follower,
    ) -> None:
        self._make_follower = make_follower
        self.incarnation = uuid.uuid4().hex
        # True from a start without a log until the whole log of a primary has been received.
        self.rejoining = True
        self.cfg = cfg
        self.faults = faults
        self.database = Database()
        self.role = Role.REPLICA
        self.term = 0
        self.proposer = ""
        self.changed = asyncio.Condition()
        self.write_lock = asyncio.Lock()
        self.slots = asyncio.Semaphore(cfg.slots)
        self.active_statements = 0
        self.connections = 0
        self.most_connections = 0
        self.refused_connections = 0
        self.statements = 0
        self.follower: Follower | None = None
        self.open_transaction: StatementConn | None = None

    def state(self) -> State:
        """Return role, term, positions and load."""
        return State(
            role=self.role,
            term=self.term,
            received=self.database.received,
            applied=self.database.applied,
            term_starts=self.database.term_starts()[-8:],
            active_statements=self.active_statements,
            slots=self.cfg.slots,
            connections=self.connections,
            connection_limit=self.cfg.connection_limit,
            leaving=self.faults.active.leaving,
            rejoining=self.rejoining,
            incarnation=self.incarnation,
        )

    def start_new_group(self, primary: bool) -> None:
        """Start as a member of a new group, in its first term."""
        self.rejoining = False
        self.term = FIRST_TERM
        if primary:
            self.database.append_term_start(self.term)
            self.role = Role.PRIMARY

    async def notify(self) -> None:
        """Wake all tasks that wait for a change of the log or the term."""
        async with self.changed:
            self.changed.notify_all()

    def stale_term_error(self) -> StaleTerm:
        """Return the error for a request of another term, or for one that needs the primary."""
        return StaleTerm(
            f"term is {self.term} and this target is {self.role.name.lower()}",
            place=self.cfg.target,
            retry_after_ms=RETRY_AFTER_MS,
        )

    def accepts_writes(self, term: int) -> bool:
        """Return whether this target is the primary of the term."""
        return self.role is Role.PRIMARY and self.term == term

    async def fence(self, req: Fence) -> Result[None, QuetzalrudderError]:
        """Enter a term for its one proposer; requests of older terms are refused from then on."""
        if req.term < self.term:
            return Err(self.stale_term_error())
        if req.term == self.term and req.proposer != self.proposer:
            return Err(self.stale_term_error())
        if req.term > self.term:
            self._set_term(req.term, req.proposer, Role.FENCED)
            await self.notify()
        return Ok(None)

    def _set_term(self, term: int, proposer: str, role: Role) -> None:
        self.term = term
        self.proposer = proposer
        self.role = role
        if self.open_transaction is not None:
            self.open_transaction.abandon()
        if self.follower is not None:
            self.follower.stop()
            self.follower = None

    async def promote(self, req: Promote) -> Result[None, QuetzalrudderError]:
        """Become the primary of a term for which this proposer has fenced the target."""
        if req.term != self.term or req.proposer != self.proposer or self.rejoining:
            return Err(self.stale_term_error())
        if self.role is not Role.PRIMARY:
            async with self.write_lock:
                if req.term != self.term or self.role is not Role.FENCED:
                    return Err(self.stale_term_error())
                self.database.apply_all()
                self.database.append_term_start(self.term)
                self.role = Role.PRIMARY
            await self.notify()
        return Ok(None)

    async def follow(self, req: Follow) -> Result[None, QuetzalrudderError]:
        """Follow the primary of a term."""
        if req.term < self.term or (self.rejoining and req.incarnation != self.incarnation):
            return Err(self.stale_term_error())
        if self.role is Role.PRIMARY and req.term == self.term:
            return Err(self.stale_term_error())
        current_primary = self.follower.primary if self.follower else ""
        if req.term == self.term and current_primary == req.primary:
            return Ok(None)
        self._set_term(req.term, self.proposer, Role.REPLICA)
        self.follower = self._make_follower(self, req.primary, req.address, req.term)
        self.follower.start()
        await self.notify()
        return Ok(None)

    async def confirm(self, req: Confirm) -> Result[bool, QuetzalrudderError]:
        """Wait until the log contains a position; the current term must be the position's."""
        deadline = time.monotonic() + req.wait_ms / 1000
        position = req.position or Position()
        while True:
            if self.term != position.term or self.role is Role.FENCED:
                return Err(self.stale_term_error())
            if not self.rejoining and self.database.contains(position):
                return Ok(True)
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return Ok(False)
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), remaining_s)


class TargetService(TargetBase):
    """Serves the published protocol of a target."""

    def __init__(self, target: TargetState) -> None:
        self._target = target

    async def connect(self, messages: AsyncIterator[TargetFrame]) -> AsyncIterator[TargetAnswer]:
        """Serve a connection for statements or for control, as its first frame selects."""
        opening = await anext(messages, None)
        if opening is None or opening.open is None:
            return
        await self._target.faults.wait_while_blocked(opening.open.data_centre)
        if opening.open.control:
            async for answer in self._serve_control(opening, messages):
                yield answer
            return
        async for answer in self._serve_statements(opening, messages):
            yield answer

    async def _serve_statements(
        self, opening: TargetFrame, messages: AsyncIterator[TargetFrame]
    ) -> AsyncIterator[TargetAnswer]:
        target = self._target
        if target.faults.active.leaving:
            exc = Draining(
                "the target is leaving the group", place=target.cfg.target, retry_after_ms=1
            )
            yield self._answer(opening, Err(exc))
            return
        if target.connections >= target.cfg.connection_limit:
            target.refused_connections += 1
            exc = ConnectionLimitReached(
                "the limit of connections is reached", place=target.cfg.target
            )
            yield self._answer(opening, Err(exc))
            return
        target.connections += 1
        target.most_connections = max(target.most_connections, target.connections)
        conn = StatementConn(target)
        try:
            await asyncio.sleep(CONNECT_DELAY_S)
            yield self._answer(opening, Ok(TargetAnswer()))
            async for frame in messages:
                await target.faults.wait_while_blocked(opening.open.data_centre)
                answer = self._answer(frame, await conn.run(_request_of(frame)))
                if answer.position is not None and target.faults.consume("lose_answers"):
                    return
                await target.faults.wait_while_blocked(opening.open.data_centre)
                yield answer
        finally:
            conn.abandon()
            target.connections -= 1

    async def _serve_control(
        self, opening: TargetFrame, messages: AsyncIterator[TargetFrame]
    ) -> AsyncIterator[TargetAnswer]:
        answers: asyncio.Queue[TargetAnswer | None] = asyncio.Queue()
        answers.put_nowait(self._answer(opening, Ok(TargetAnswer())))
        reader = asyncio.ensure_future(self._read_control(opening.open, messages, answers))
        try:
            while (answer := await answers.get()) is not None:
                yield answer
        finally:
            reader.cancel()

    async def _read_control(
        self,
        opening: Open,
        messages: AsyncIterator[TargetFrame],
        answers: "asyncio.Queue[TargetAnswer | None]",
    ) -> None:
        tasks: set[asyncio.Task[None]] = set()
        try:
            async for frame in messages:
                task = asyncio.ensure_future(self._run_control(opening, frame, answers))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            for task in tasks:
                task.cancel()
            answers.put_nowait(None)

    async def _run_control(
        self, opening: Open, frame: TargetFrame, answers: "asyncio.Queue[TargetAnswer | None]"
    ) -> None:
        await self._target.faults.wait_while_blocked(opening.data_centre)
        answer = await self.control(frame)
        await self._target.faults.wait_while_blocked(opening.data_centre)
        answers.put_nowait(answer)

    async def control(self, frame: TargetFrame) -> TargetAnswer:
        """Answer one request of a control connection."""
        return self._answer(frame, await self._control(_request_of(frame)))

    async def _control(self, req: object) -> Result[TargetAnswer, QuetzalrudderError]:
        target = self._target
        match req:
            case Probe():
                return Ok(TargetAnswer())
            case Confirm():
                confirmed = await target.confirm(req)
                return confirmed.map(lambda contained: TargetAnswer(confirmed=contained))
            case Fence():
                return (await target.fence(req)).map(lambda _: TargetAnswer())
            case Promote():
                return (await target.promote(req)).map(lambda _: TargetAnswer())
            case Follow():
                return (await target.follow(req)).map(lambda _: TargetAnswer())
            case _:
                return Err(MalformedMessage("the message is not a request of a control connection"))

    def _answer(
        self, frame: TargetFrame, result: Result[TargetAnswer, QuetzalrudderError]
    ) -> TargetAnswer:
        match result:
            case Ok(answer):
                pass
            case Err(exc):
                answer = TargetAnswer(failure=to_failure(exc))
        answer.sequence = frame.sequence
        answer.generation = frame.generation
        answer.state = self._target.state()
        answer.row_count = len(answer.rows.rows) if answer.rows else 0
        if answer.row_count and self._target.faults.consume("truncate_answers"):
            answer.rows = Rows(columns=answer.rows.columns, rows=answer.rows.rows[:-1])
        return answer


def _request_of(frame: TargetFrame) -> object:
    _, request = betterproto2.which_one_of(frame, "kind")
    return request


class TargetControl(StandInControl):
    """Sets the faults of a target and returns its counters."""

    def __init__(self, faults: FaultState, target: TargetState) -> None:
        super().__init__(faults, RecordingCodec(), lambda: target.statements)
        self._target = target

    async def read_statistics(self, message: StatisticsRequest) -> Statistics:
        """Return the counters, those of connections included."""
        statistics = await super().read_statistics(message)
        statistics.refused_connections = self._target.refused_connections
        statistics.most_connections = self._target.most_connections
        return statistics


async def run_target(cfg: TargetConfig, primary: str, primary_address: str) -> None:
    """Serve a target until SIGTERM."""
    faults = FaultState()
    target = TargetState(cfg, faults)
    if primary:
        target.start_new_group(primary == cfg.target)
    if primary and primary != cfg.target:
        follow = Follow(term=FIRST_TERM, primary=primary, address=primary_address)
        await target.follow(follow)
    control = TargetControl(faults, target)
    services = [TargetService(target), ReplicationService(target)]
    await serve(cfg.listen, services, control)


def main(
    target: str,
    data_centre: str,
    listen: str,
    primary: str = "",
    primary_address: str = "",
    slots: int = 3,
    connection_limit: int = 20,
) -> None:
    """Run a target stand-in.

    Parameters
    ----------
    target, data_centre : str
        Name of the target and its data centre.
    listen : str
        IP address and port.
    primary, primary_address : str
        The first primary of a new group. Without one, the target rejoins its group.
    slots : int
        Number of statements that run at the same time.
    connection_limit : int
        Maximum number of statement connections.
    """
    cfg = TargetConfig(target, data_centre, listen, slots, connection_limit)
    asyncio.run(run_target(cfg, primary, primary_address))


if __name__ == "__main__":
    fire.Fire(main)
