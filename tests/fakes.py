"""A database group in this process: target stand-ins without a network."""

import asyncio
import random
from dataclasses import dataclass, field
from enum import Enum

from result import Err, Ok

from quetzalrudder.access import CallerIdentity
from quetzalrudder.adapters import TargetInfo
from quetzalrudder.exceptions import (
    LinkLost,
    OutcomeUnknown,
    TargetUnavailable,
    TruncatedAnswer,
)
from quetzalrudder.groups import GroupTable
from quetzalrudder.pool import ConnectionPool
from quetzalrudder.routing import ReadRouter
from quetzalrudder.schema.settings import Tree
from quetzalrudder.schema.target import Fence, Promote, Role
from quetzalrudder.settings import SettingsTree, parse_branches
from quetzalrudder.statements import StatementRunner
from quetzalrudder.utils import Address
from quetzalrudder.writes import position_in_term
from standins.database import Database
from standins.serving import FaultState
from standins.statements import StatementConn
from standins.target import TargetConfig, TargetState
from tests.clocks import ManualClock
from tests.naive.limits import FixedPermits

GROUP = "valuation"
ROUTE = "steppe/offers"
DATA_CENTRES = ("astana-a", "astana-b", "karaganda")
CALLER = CallerIdentity("steppe/branch-1", "")
SETTINGS = """
[root]
deadline_ms = 1000
[branch steppe]
group = valuation
open = true
[route steppe/offers]
[route steppe/comparables]
max_age_ms = 500
[workspace steppe/branch-1]
"""


# Enough permits that no test waits for those of closed connections, which are released
# only after a delay.
UNLIMITED_PERMITS = 1_000_000


class Fault(Enum):
    NONE = "none"
    # The request does not arrive.
    DROP = "drop"
    # The request runs, but its answer is lost.
    LOSE_ANSWER = "lose-answer"
    # The request runs only at run_delayed_requests(), long after the caller has given up.
    DELAYED = "delayed"
    # The last row of the answer is missing.
    TRUNCATE = "truncate"


def make_tree(text=SETTINGS):
    return SettingsTree(Tree(revision=1, branches=parse_branches(text)))


class FakeConn:
    """A target connection with the faults that its group injects."""

    def __init__(self, group, target, generation):
        self.group = group
        self.target = target
        self.conn = StatementConn(target)
        self.broken = False

    def request(self, req, timeout_s):
        group, fault = self.group, self.group.next_fault()
        if not group.can_reach(self.target):
            self.broken = True
            return Err(LinkLost("the target cannot be reached", place=self.target.cfg.target))
        if fault is Fault.DROP:
            self.broken = True
            return Err(OutcomeUnknown("no answer in time"))
        if fault is Fault.DELAYED:
            self.broken = True
            group.delayed_requests.append((self, req))
            return Err(OutcomeUnknown("no answer in time"))
        answer = group.run(self.conn, req)
        if fault is Fault.LOSE_ANSWER:
            self.broken = True
            return Err(LinkLost("the connection broke"))
        if fault is Fault.TRUNCATE and isinstance(answer, Ok) and answer.ok_value.rows:
            self.broken = True
            return Err(TruncatedAnswer("0 of 1 rows arrived"))
        return answer

    def close(self):
        self.conn.abandon()


class FakeConfirmer:
    """Confirms by reading the targets' state; the real confirmer sends them requests."""

    def __init__(self, group, data_centre):
        self.group = group
        self.data_centre = data_centre

    def ensure_links(self, group):
        pass

    def confirm(self, _, position, deadline, primary=None, state=None):
        group = self.group
        position = position_in_term(position, state) if state else position
        group.replicate()
        confirmed_by = [
            target
            for target in group.targets
            if group.can_reach(target, self.data_centre)
            and target.term == position.term
            and target.role is not Role.FENCED
            and target.database.contains(position)
        ]
        if len(confirmed_by) <= len(group.targets) // 2:
            return Err(OutcomeUnknown("no majority has confirmed the write"))
        return Ok(None)


@dataclass
class FakeInstance:
    data_centre: str
    groups: GroupTable
    runner: object
    pool: ConnectionPool


@dataclass
class FakeGroup:
    """Three targets, one in each data centre, and the instances that connect to them."""

    clock: ManualClock = field(default_factory=ManualClock)
    seed: int = 1

    def __post_init__(self):
        self.loop = asyncio.new_event_loop()
        self.targets = [self._make_target(n, dc) for n, dc in enumerate(DATA_CENTRES)]
        self.infos = {
            target.cfg.target: TargetInfo(
                target.cfg.target, GROUP, target.cfg.data_centre, Address("127.0.0.1", n + 1)
            )
            for n, target in enumerate(self.targets)
        }
        self.faults = []
        self.delayed_requests = []
        self.isolated_data_centre = ""
        self.targets_down = set()
        self.caller_data_centre = ""
        self.apply_paused = False
        self.targets[0].role = Role.PRIMARY
        self.targets[0].database.append_term_start(1)

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.loop.close()

    def _make_target(self, number, data_centre):
        cfg = TargetConfig(f"{GROUP}-{'abc'[number]}", data_centre, "", 3, 20)
        target = TargetState(cfg, FaultState())
        target.database = Database(self.clock.wall)
        target.start_new_group(primary=False)
        return target

    @property
    def primary(self):
        primaries = [target for target in self.targets if target.role is Role.PRIMARY]
        return max(primaries, key=lambda target: target.term)

    def next_fault(self):
        return self.faults.pop(0) if self.faults else Fault.NONE

    def can_reach(self, target, data_centre=None):
        data_centre = self.caller_data_centre if data_centre is None else data_centre
        if target.cfg.target in self.targets_down:
            return False
        caller_isolated, target_isolated = (
            data_centre == self.isolated_data_centre,
            target.cfg.data_centre == self.isolated_data_centre,
        )
        return not self.isolated_data_centre or caller_isolated == target_isolated

    def run(self, conn, req):
        answer = self.loop.run_until_complete(conn.run(req))
        if isinstance(answer, Ok):
            answer.ok_value.state = conn._target.state()
        return answer

    def run_delayed_requests(self):
        delayed, self.delayed_requests = self.delayed_requests, []
        for conn, req in delayed:
            self.run(StatementConn(conn.target), req)

    def replicate(self, apply=True):
        """Replicate the primary's log to every replica in reach; apply it unless paused."""
        source = self.primary
        for target in self.targets:
            if target.role is not Role.REPLICA or target.term != source.term:
                continue
            if (
                not self.can_reach(target, source.cfg.data_centre)
                or source.cfg.target in self.targets_down
            ):
                continue
            database = target.database
            term_starts = database.term_starts()
            database.truncate(source.database.common_index(database.received, term_starts))
            for entry in source.database.entries[len(database.entries) :]:
                database.receive(entry)
            if apply and not self.apply_paused:
                database.apply_all()

    def fail_over(self):
        """Promote the replica with the latest position among a reachable majority, if any."""
        reachable = [
            target
            for target in self.targets
            if target.cfg.target not in self.targets_down
            and target.cfg.data_centre != self.isolated_data_centre
        ]
        if len(reachable) <= len(self.targets) // 2:
            return
        term = max(target.term for target in self.targets) + 1
        for target in reachable:
            self.loop.run_until_complete(target.fence(Fence(term=term, proposer="p")))
        latest = max(
            reachable,
            key=lambda t: (t.database.received.term, t.database.received.index),
        )
        self.loop.run_until_complete(latest.promote(Promote(term=term, proposer="p")))
        for target in reachable:
            if target is not latest:
                target.role = Role.REPLICA
        self.replicate()

    def heal(self):
        self.isolated_data_centre = ""
        self.targets_down.clear()
        term = max(target.term for target in self.targets)
        for target in self.targets:
            if target.term < term:
                target._set_term(term, "p", Role.REPLICA)
        self.replicate()

    def instance(self, data_centre, make_runner=None):
        groups = GroupTable(self.clock)
        groups.set_targets([(info, False) for info in self.infos.values()])
        rng = random.Random(self.seed)

        def open_conn(info, generation, timeout_s):
            target = next(t for t in self.targets if t.cfg.target == info.target)
            if not self.can_reach(target, data_centre):
                return Err(TargetUnavailable("the target cannot be reached", place=info.target))
            return Ok(FakeConn(self, target, generation))

        pool = ConnectionPool(
            open_conn, FixedPermits(UNLIMITED_PERMITS), lambda target: 4, self.clock
        )
        router = ReadRouter(groups, data_centre, rng, self.clock)
        confirmer = FakeConfirmer(self, data_centre)
        make = make_runner or StatementRunner
        runner = make(groups, router, pool, confirmer, self.clock)
        instance = FakeInstance(data_centre, groups, runner, pool)
        self.probe(instance)
        return instance

    def probe(self, instance):
        """Update an instance's view of every target, as its probes do."""
        for target in self.targets:
            info = self.infos[target.cfg.target]
            if self.can_reach(target, instance.data_centre):
                instance.groups.observe(info, target.state(), self.clock.monotonic())
            else:
                instance.groups.mark_unreachable(info.target, GROUP)

    def count_offers(self, plate):
        """Return the number of offers for a plate at the current primary."""
        sql = "SELECT count(*) FROM offers WHERE plate = ?"
        return self.primary.database._visible.execute(sql, [plate]).fetchone()[0]
