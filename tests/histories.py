"""Histories of requests under faults, and the check of what was reported to callers."""

from dataclasses import dataclass, field

from result import Ok

import standins.statements
from quetzalrudder.exceptions import PositionLost
from quetzalrudder.schema.caller import Access, AskOutcome, Statement
from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import from_value, to_value
from tests.fakes import CALLER, DATA_CENTRES, ROUTE, FakeGroup, Fault, make_tree

standins.statements.STATEMENT_S = 0
INSERT = "INSERT INTO offers VALUES (?)"
SELECT = "SELECT plate FROM offers"
STEP_S = 0.01


@dataclass(frozen=True)
class Write:
    plate: str
    at: int = 0
    fault: Fault = Fault.NONE


@dataclass(frozen=True)
class Read:
    at: int = 0
    fault: Fault = Fault.NONE


@dataclass(frozen=True)
class Ask:
    plate: str
    at: int = 0
    fault: Fault = Fault.NONE


@dataclass(frozen=True)
class Event:
    """Something that happens to the group."""

    kind: str


@dataclass
class ReportedOutcomes:
    """Outcomes and data that were reported to one caller, and its session token."""

    done: set = field(default_factory=set)
    cancelled: set = field(default_factory=set)
    endings: dict = field(default_factory=dict)
    seen: set = field(default_factory=set)
    token: bytes = b""


class History:
    """Runs steps against a group and collects every broken promise."""

    def __init__(self, make_runner=None):
        self.group = FakeGroup()
        self.tree = make_tree()
        self.reported = ReportedOutcomes()
        self.broken = set()
        sql = "CREATE TABLE offers (plate TEXT)"
        self.instances = [self.group.instance(dc, make_runner) for dc in DATA_CENTRES]
        self.send(0, Statement(route=ROUTE, sql=sql, access=Access.WRITE), "create")
        self.group.replicate()
        for instance in self.instances:
            self.group.probe(instance)

    def send(self, at, req, request_id, fault=Fault.NONE):
        instance = self.instances[at]
        self.group.at = instance.data_centre
        self.group.faults = [fault]
        req.token = self.reported.token
        planned = instance.runner.plan(self.tree, CALLER, request_id, req)
        runner = instance.runner
        call = runner.run if isinstance(req, Statement) else runner.ask_outcome
        answer = planned.and_then(lambda plan: call(plan, req))
        if isinstance(answer, Ok):
            self.reported.token = answer.ok_value.token or self.reported.token
        self.group.faults = []
        return answer

    def run(self, steps):
        """Run all steps and give the promises that were broken."""
        with self.group:
            for step in steps:
                self.step(step)
                self.group.clock.advance(STEP_S)
            self.group.deliver_late()
            self.group.heal()
            self.group.deliver_late()
            self.check()
        return self.broken

    def step(self, step):
        match step:
            case Write():
                self.write(step)
            case Read():
                self.read(step)
            case Ask():
                self.ask(step)
            case Event():
                self.happen(step.kind)

    def write(self, step):
        params = [to_value(step.plate)]
        req = Statement(route=ROUTE, sql=INSERT, params=params, access=Access.WRITE)
        answer = self.send(step.at, req, step.plate, step.fault)
        ending = Ending.DONE if isinstance(answer, Ok) else answer.err_value.ending
        self.reported.endings.setdefault(step.plate, set()).add(ending)
        if ending is Ending.DONE:
            self.reported.done.add(step.plate)

    def ask(self, step):
        req = AskOutcome(route=ROUTE, request_id=step.plate, sent_ago_ms=1)
        answer = self.send(step.at, req, f"ask {step.plate}", step.fault)
        if not isinstance(answer, Ok):
            return
        match answer.ok_value.ending:
            case Ending.DONE:
                self.reported.done.add(step.plate)
            case Ending.NOT_RUN:
                self.reported.cancelled.add(step.plate)

    def read(self, step):
        req = Statement(route=ROUTE, sql=SELECT, access=Access.READ)
        answer = self.send(step.at, req, "read", step.fault)
        if not isinstance(answer, Ok):
            if isinstance(answer.err_value, PositionLost):
                self.reported.token = b""
                self.reported.seen.clear()
            return
        rows = answer.ok_value.rows.rows
        seen = {from_value(row.values[0]) for row in rows}
        if self.reported.done - seen:
            self.broken.add("own write not read")
        if self.reported.seen - seen:
            self.broken.add("read went back")
        self.reported.seen = seen

    def happen(self, kind):
        group = self.group
        match kind:
            case "isolate":
                group.isolated = group.primary.cfg.data_centre
            case "kill":
                group.down = {group.primary.cfg.target}
            case "fail-over":
                group.fail_over()
            case "heal":
                group.heal()
            case "late":
                group.deliver_late()
            case "replicate":
                group.replicate()
            case "lag":
                group.lags = not group.lags
            case "probe":
                for instance in self.instances:
                    group.probe(instance)

    def check(self):
        for plate, endings in self.reported.endings.items():
            count = self.group.count(plate)
            if count > 1:
                self.broken.add("run twice")
            if plate in self.reported.done and count == 0:
                self.broken.add("done but lost")
            if endings == {Ending.NOT_RUN} and plate not in self.reported.done and count:
                self.broken.add("not run but ran")
            if plate in self.reported.cancelled and count:
                self.broken.add("not run but ran")
