"""A group of databases in this process, on the test's clock."""

from dataclasses import dataclass, field

from result import Err, Ok

from quetzalrudder.exceptions import (
    ConnectionLimitReached,
    LinkLost,
    TargetUnavailable,
)
from quetzalrudder.gateway.statements import (
    Begin,
    Commit,
    Execute,
    Prepare,
    Read,
    Rollback,
    SessionState,
    SetValue,
    TargetFault,
    TargetReply,
    TargetStatus,
    Write,
)
from quetzalrudder.gateway.targets import LogPosition, Target, TargetRole
from quetzalrudder.utils import Address
from standins.gateway_store import MemoryStore, StoreClient

__all__ = ["RESET", "FakeDatabase", "FakeGroup", "FakeLink", "MemoryStore", "StoreClient"]

# Stands for the statement when a script is called for a reset.
RESET = "reset"


@dataclass
class FakeDatabase:
    """A database with a log, which replicates when the test calls for it."""

    info: Target
    group: "FakeGroup"
    log: list = field(default_factory=list)
    term: int = 1
    primary: bool = False
    up: bool = True
    busy_replies_left: int = 0
    replication_paused: bool = False
    open_links: int = 0
    # Called with each statement before it runs; returns a reply, an error, or None to run it.
    script: object = None

    @property
    def position(self):
        return self.log[-1][0] if self.log else LogPosition(self.term, 0)

    def contains(self, position):
        return self.position >= position


class FakeGroup:
    """A database group that connects like the adapter and promotes like the platform."""

    def __init__(self, clock, group="g", names=("db-1", "db-2", "db-3"), max_connections=50):
        self.clock = clock
        self.group = group
        self.max_connections = max_connections
        self.promotions = []
        # Seconds until a promotion takes effect.
        self.promotion_delay_s = 0.0
        # Clock reading at which each promotion takes effect, and its database.
        self.pending_promotions = []
        self.links_opened = 0
        self.executed = []
        self.databases = {}
        for index, name in enumerate(names):
            role = TargetRole.PRIMARY if index == 0 else TargetRole.REPLICA
            info = Target(name, group, Address("10.0.0.1", 7000 + index), f"dc-{index}", 3, role)
            self.databases[name] = FakeDatabase(info, self, primary=index == 0)

    def __getitem__(self, name):
        return self.databases[name]

    def infos(self):
        return [database.info for database in self.databases.values()]

    def replicate(self):
        """Copy the newest primary's log; between a step down and a promotion there is none."""
        primary = max(
            (d for d in self.databases.values() if d.primary and d.up),
            key=lambda d: d.term,
            default=None,
        )
        if primary is None:
            return
        for database in self.databases.values():
            if database is not primary and database.up and not database.replication_paused:
                database.log = list(primary.log)
                database.term = primary.term

    def connect(self, target, workspace, timeout_s):
        database = self.databases[target.target]
        if not database.up:
            return Err(
                TargetUnavailable("the database refused the connection", place=target.target)
            )
        if database.open_links >= self.max_connections:
            return Err(
                ConnectionLimitReached("the limit of connections is reached", place=target.target)
            )
        database.open_links += 1
        self.links_opened += 1
        return Ok(FakeLink(database, workspace))

    def promote(self, group, target, *, coordinator, fencing_token, may_send=lambda: True):
        database = self.databases[target]
        self.promotions.append((target, fencing_token))
        if not database.up:
            return Err(TargetUnavailable("the database is not running", place=target))
        self.pending_promotions.append((self.clock.monotonic() + self.promotion_delay_s, database))
        self.apply_due_promotions()
        return Ok(None)

    def apply_due_promotions(self):
        """Complete the promotions that are due."""
        now = self.clock.monotonic()
        for due_at, database in [entry for entry in self.pending_promotions if entry[0] <= now]:
            self.pending_promotions.remove((due_at, database))
            if not (database.primary and database.term == self.latest_term()):
                database.term = self.latest_term() + 1
                database.primary = True

    def newest_primary(self):
        """Return the primary of the newest term, once the promotions that are due are complete.

        None if the old one has stepped down, and no other one leads yet.
        """
        self.apply_due_promotions()
        primaries = (d for d in self.databases.values() if d.primary)
        return max(primaries, key=lambda d: d.term, default=None)

    def latest_term(self):
        return max(database.term for database in self.databases.values())


class FakeLink:
    """A connection to a fake database, with one session's values and statements."""

    def __init__(self, database, workspace):
        self.database = database
        self.workspace = workspace
        self.broken = False
        self.is_cut = lambda: False
        self.values = {}
        self.prepared = {}
        self.pending = []
        self.state = SessionState.IDLE

    def close(self):
        if not self.broken:
            self.broken = True
            self.database.open_links -= 1

    def reset(self, timeout_s):
        scripted = self._scripted("-", RESET)
        if scripted is None:
            self.values, self.prepared = {}, {}
            scripted = self._reply()
        return scripted

    def status(self, timeout_s):
        self.database.group.apply_due_promotions()
        if not self.database.up or self.is_cut():
            self.close()
            return Err(
                LinkLost("the link to the database was lost", place=self.database.info.target)
            )
        database = self.database
        return Ok(TargetStatus(database.primary, database.term, database.position))

    def step_down(self, term, timeout_s):
        if self.database.term < term:
            self.database.primary = False
        return Ok(None)

    def _reply(self, rows=(), signature="-"):
        return Ok(TargetReply(self.state, rows, signature, position=self.database.position))

    def _fault(self, fault):
        return Ok(TargetReply(self.state, fault=fault, position=self.database.position))

    def run(self, request_id, statement, timeout_s, at_least=None):
        database = self.database
        database.group.apply_due_promotions()
        if not database.up or self.broken or self.is_cut():
            self.close()
            return Err(LinkLost("the link to the database was lost", place=database.info.target))
        scripted = self._scripted(request_id, statement)
        if scripted is not None:
            return scripted
        if at_least is not None and not database.contains(at_least):
            return self._fault(TargetFault.LAGGING)
        if isinstance(statement, Read | Write | Execute | Commit):
            if database.busy_replies_left:
                database.busy_replies_left -= 1
                return self._fault(TargetFault.BUSY)
            database.group.executed.append(
                (database.info.target, request_id, statement, self.workspace, dict(self.values))
            )
        return self._run(statement)

    def _scripted(self, request_id, statement):
        """Return what the database's script says of a statement; None to run it."""
        if self.database.script is None:
            return None
        scripted = self.database.script(self, request_id, statement)
        if isinstance(scripted, Err):
            self.close()
        return scripted

    def _run(self, statement):
        match statement:
            case SetValue(name, value):
                self.values[name] = value
            case Prepare(name, writes, shape):
                self.prepared[name] = (writes, shape)
            case Begin(read_only):
                if not read_only and not self.database.primary:
                    return self._fault(TargetFault.READ_ONLY)
                self.state = SessionState.IN_TRANSACTION
            case Rollback():
                self.pending, self.state = [], SessionState.IDLE
            case Commit():
                if self.pending and not self.database.primary:
                    return self._fault(TargetFault.READ_ONLY)
                self._append(self.pending)
                self.pending, self.state = [], SessionState.IDLE
                return self._reply(signature="signed")
            case Execute(name, arguments):
                if name not in self.prepared:
                    return self._fault(TargetFault.NOT_PREPARED)
                item, _, data = arguments.partition(" ")
                writes = self.prepared[name][0]
                return self._run(Write(item, data) if writes else Read(item))
            case Write(item, data):
                if not self.database.primary:
                    return self._fault(TargetFault.READ_ONLY)
                if self.state is SessionState.IN_TRANSACTION:
                    self.pending.append((item, data))
                else:
                    self._append([(item, data)])
                return self._reply(signature="signed")
            case Read(item):
                rows = tuple(f"{i}={d}" for _, i, d in self.database.log if i == item)
                return self._reply(rows[-1:], "signed")
        return self._reply()

    def _append(self, writes):
        for item, data in writes:
            index = self.database.position.index + 1
            self.database.log.append((LogPosition(self.database.term, index), item, data))
