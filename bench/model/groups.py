"""Modelled database groups: slots, connection limits, opening costs, replication and faults."""

import random
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from bench.model.clock import ModelClock
from quetzalrudder.exceptions import (
    ConnectionLimitReached,
    LinkLost,
    QuetzalrudderError,
    TargetUnavailable,
)
from quetzalrudder.gateway.statements import (
    Begin,
    Commit,
    Read,
    Rollback,
    SessionState,
    Statement,
    StatusAnswer,
    StatusRefusal,
    TargetFault,
    TargetReply,
    TargetStatus,
    Write,
)
from quetzalrudder.gateway.targets import LogPosition, Target, TargetRole
from quetzalrudder.models import DataCentre, GroupId, InstanceId, RequestId, TargetId
from quetzalrudder.utils import MS_PER_S, Address
from standins.virtual import VirtualTime

__all__ = ["GroupSettings", "ModelDatabase", "ModelGroup", "ModelLink", "work_item"]

# Owner of the databases' own actions in virtual time.
DATABASE_OWNER = "databases"
COMMIT_WORK_S = 0.002


@dataclass(frozen=True)
class GroupSettings:
    """Size and speed of each group of databases."""

    count: int = 1
    databases: int = 3
    slots: int = 2
    # Statements that wait for a slot; a database refuses more.
    queue: int = 16
    connections: int = 16
    connect_ms: float = 12.0
    lag_ms: float = 20.0
    promote_ms: float = 300.0
    # How long a database keeps the connections of a machine that lost its power.
    dark_s: float = 3.0


def work_item(work_s: float, name: str) -> str:
    """Return an item whose statement keeps a database busy for a time."""
    return f"{work_s:.6f}/{name}"


def _work_s(statement: Statement) -> float:
    match statement:
        case Read(item) | Write(item, _):
            return float(item.partition("/")[0])
        case Commit():
            return COMMIT_WORK_S
        case _:
            return 0.0


class ModelDatabase:
    """One database: it runs as many statements at once as it has slots."""

    def __init__(self, info: Target, cfg: GroupSettings, time: VirtualTime) -> None:
        self.info = info
        self.cfg = cfg
        self.time = time
        self.clock = ModelClock(time)
        self.primary = info.role is TargetRole.PRIMARY
        self.term = 1
        self.position = LogPosition(1, 0)
        self.up = True
        self.links: set[ModelLink] = set()
        self.opened_count = 0
        # Connections of machines without power that are not dropped yet.
        self.dark_links = 0
        self._running: dict[object, InstanceId] = {}
        self._waiting: deque[tuple[threading.Event, object, InstanceId]] = deque()

    @property
    def connections(self) -> int:
        """Connections that count towards the limit."""
        return len(self.links) + self.dark_links

    def acquire_slot(self, user: InstanceId, timeout_s: float) -> object | None:
        """Wait for a slot and return it; None if the queue is full or the time is over."""
        slot = object()
        if len(self._running) < self.cfg.slots:
            self._running[slot] = user
            return slot
        if len(self._waiting) >= self.cfg.queue:
            return None
        granted = threading.Event()
        entry = (granted, slot, user)
        self._waiting.append(entry)
        if self.clock.wait(granted, timeout_s):
            return slot
        if entry in self._waiting:
            self._waiting.remove(entry)
            return None
        return slot

    def release_slot(self, slot: object) -> None:
        """Give a slot to the statement that has waited for longest."""
        if self._running.pop(slot, None) is None:
            return
        if self._waiting:
            granted, waiting_slot, user = self._waiting.popleft()
            self._running[waiting_slot] = user
            granted.set()

    def drop_user(self, user: InstanceId, *, dark: bool) -> None:
        """End the connections and statements of an instance that is gone."""
        dropped = [link for link in self.links if link.user == user]
        self.links.difference_update(dropped)
        self._waiting = deque(entry for entry in self._waiting if entry[2] != user)
        for slot in [slot for slot, name in self._running.items() if name == user]:
            self.release_slot(slot)
        if dark and dropped:
            self.dark_links += len(dropped)
            self.time.call_at(
                self.time.now + self.cfg.dark_s,
                DATABASE_OWNER,
                lambda: self._drop_dark(len(dropped)),
            )

    def _drop_dark(self, count: int) -> None:
        self.dark_links -= count

    def crash(self) -> None:
        """End the database; its connections break."""
        self.up = False
        for link in self.links:
            link.broken = True
        self.links.clear()
        self._waiting.clear()
        self._running.clear()


class ModelGroup:
    """A primary and its replicas, with asynchronous replication."""

    def __init__(
        self,
        group: GroupId,
        data_centres: list[DataCentre],
        cfg: GroupSettings,
        time: VirtualTime,
        rng: random.Random,
    ) -> None:
        self.group = group
        self.cfg = cfg
        self._time = time
        self._rng = rng
        self.databases: dict[TargetId, ModelDatabase] = {}
        for index in range(cfg.databases):
            role = TargetRole.PRIMARY if index == 0 else TargetRole.REPLICA
            name = TargetId(f"{group}-{index}")
            data_centre = data_centres[index % len(data_centres)]
            address = Address("10.0.0.1", 7000 + index)
            info = Target(name, group, address, data_centre, cfg.slots, role)
            self.databases[name] = ModelDatabase(info, cfg, time)

    @property
    def primary(self) -> ModelDatabase | None:
        """The primary that is up; None if there is none."""
        found = [db for db in self.databases.values() if db.primary and db.up]
        return max(found, key=lambda db: db.term, default=None)

    def commit(self, primary: ModelDatabase) -> None:
        """Append to the primary's log; the replicas receive it later."""
        position = LogPosition(primary.term, primary.position.index + 1)
        primary.position = position
        for database in self.databases.values():
            if database is not primary:
                lag_s = self._rng.expovariate(MS_PER_S / self.cfg.lag_ms)
                self._time.call_at(
                    self._time.now + lag_s, DATABASE_OWNER, _receive(database, position)
                )

    def promote(self, target: TargetId) -> bool:
        """Make a database the primary after the platform's delay; False if it is not running."""
        database = self.databases[target]
        if not database.up:
            return False
        self._time.call_at(
            self._time.now + self.cfg.promote_ms / MS_PER_S,
            DATABASE_OWNER,
            lambda: self._lead(database),
        )
        return True

    def _lead(self, leader: ModelDatabase) -> None:
        if leader.primary:
            return
        term = max(database.term for database in self.databases.values()) + 1
        for database in self.databases.values():
            database.primary = database is leader
            database.term = term
            database.position = min(database.position, leader.position)


def _receive(database: ModelDatabase, position: LogPosition) -> Callable[[], None]:
    def receive() -> None:
        if not database.primary:
            database.position = max(database.position, position)

    return receive


class ModelLink:
    """A connection of an instance to a modelled database."""

    def __init__(
        self,
        group: ModelGroup,
        database: ModelDatabase,
        user: InstanceId,
        one_way_s: Callable[[], float | None],
    ) -> None:
        self.user = user
        self.broken = False
        self._group = group
        self._database = database
        # Delay of the network; None while the database cannot be reached.
        self._one_way_s = one_way_s
        self._state = SessionState.IDLE
        self._wrote = False

    @classmethod
    def open(
        cls,
        group: ModelGroup,
        target: TargetId,
        user: InstanceId,
        one_way_s: Callable[[], float | None],
        timeout_s: float,
    ) -> Result["ModelLink", QuetzalrudderError]:
        """Open a connection, which occupies a slot for a while."""
        database = group.databases[target]
        clock = database.clock
        delay_s = one_way_s()
        if delay_s is None:
            clock.sleep(timeout_s)
            return Err(TargetUnavailable("the database does not answer", place=target))
        clock.sleep(2 * delay_s)
        if not database.up:
            return Err(TargetUnavailable("the connection was refused", place=target))
        if database.connections >= database.cfg.connections:
            return Err(ConnectionLimitReached("too many connections", place=target))
        link = cls(group, database, user, one_way_s)
        database.links.add(link)
        database.opened_count += 1
        slot = database.acquire_slot(user, timeout_s)
        if slot is None:
            link.close()
            return Err(TargetUnavailable("the connection was not opened in time", place=target))
        clock.sleep(database.cfg.connect_ms / MS_PER_S)
        database.release_slot(slot)
        return Ok(link)

    def close(self) -> None:
        """Close the connection."""
        self.broken = True
        self._database.links.discard(self)

    def reset(self, timeout_s: float) -> Result[TargetReply, QuetzalrudderError]:
        """Clear the session's state."""
        return self._exchange(0.0, timeout_s, self._reply)

    def status(self, timeout_s: float) -> Result[StatusAnswer, QuetzalrudderError]:
        """Return role, term and log position."""
        database = self._database
        slot_result = self._exchange(
            0.0005,
            timeout_s,
            lambda: Ok(TargetStatus(database.primary, database.term, database.position)),
        )
        if isinstance(slot_result, Ok) and isinstance(slot_result.ok_value, TargetReply):
            return Ok(StatusRefusal(TargetFault.BUSY))
        return slot_result

    def step_down(self, term: int, timeout_s: float) -> Result[None, QuetzalrudderError]:
        """Make a primary of a lower term a replica."""
        if self._database.term < term:
            self._database.primary = False
        return Ok(None)

    def run(
        self,
        request_id: RequestId,
        statement: Statement,
        timeout_s: float,
        at_least: LogPosition | None = None,
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement, waiting for a slot."""

        def finish() -> Result[TargetReply, QuetzalrudderError]:
            return self._finish(statement, at_least)

        return self._exchange(_work_s(statement), timeout_s, finish)

    def _exchange(self, work_s: float, timeout_s: float, finish: Callable) -> Result:
        """Cross the network, occupy a slot for the work, and cross it back."""
        database = self._database
        clock = database.clock
        until = clock.monotonic() + timeout_s
        delay_s = self._one_way_s()
        if self.broken or delay_s is None:
            if delay_s is None:
                clock.sleep(timeout_s)
            self.close()
            return Err(LinkLost("the connection was lost", place=database.info.target))
        clock.sleep(delay_s)
        if work_s > 0:
            slot = database.acquire_slot(self.user, max(0.0, until - clock.monotonic()))
            if slot is None:
                clock.sleep(delay_s)
                return Ok(TargetReply(self._state, fault=TargetFault.BUSY))
            clock.sleep(work_s)
            database.release_slot(slot)
        if self.broken or not database.up:
            self.close()
            return Err(LinkLost("the connection was lost", place=database.info.target))
        result = finish()
        clock.sleep(delay_s)
        return result

    def _reply(self, signature: str = "-") -> Result[TargetReply, QuetzalrudderError]:
        return Ok(TargetReply(self._state, (), signature, position=self._database.position))

    def _fault(self, fault: TargetFault) -> Result[TargetReply, QuetzalrudderError]:
        return Ok(TargetReply(self._state, fault=fault, position=self._database.position))

    def _finish(
        self, statement: Statement, at_least: LogPosition | None
    ) -> Result[TargetReply, QuetzalrudderError]:
        database = self._database
        if at_least is not None and database.position < at_least:
            return self._fault(TargetFault.LAGGING)
        match statement:
            case Begin(read_only=False) | Write() if not database.primary:
                return self._fault(TargetFault.READ_ONLY)
            case Begin():
                self._state = SessionState.IN_TRANSACTION
            case Rollback():
                self._state, self._wrote = SessionState.IDLE, False
            case Commit():
                if self._wrote:
                    self._group.commit(database)
                self._state, self._wrote = SessionState.IDLE, False
                return self._reply("signed")
            case Write():
                if self._state is SessionState.IN_TRANSACTION:
                    self._wrote = True
                else:
                    self._group.commit(database)
                return self._reply("signed")
            case Read():
                return self._reply("signed")
        return self._reply()
