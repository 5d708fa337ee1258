"""Histories of requests under faults, checked against the answers that the caller got."""

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
    instance: int = 0
    fault: Fault = Fault.NONE


@dataclass(frozen=True)
class Read:
    instance: int = 0
    fault: Fault = Fault.NONE


@dataclass(frozen=True)
class Ask:
    """A request for the outcome of the write of a plate."""

    plate: str
    instance: int = 0
    fault: Fault = Fault.NONE


@dataclass(frozen=True)
class Event:
    """A fault or another event of the group."""

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
    """Runs steps against a group and collects the guarantees that were violated."""

    def __init__(self, make_runner=None):
        self.group = FakeGroup()
        self.tree = make_tree()
        self.reported = ReportedOutcomes()
        self.violations = set()
        sql = "CREATE TABLE offers (plate TEXT)"
        self.instances = [self.group.instance(dc, make_runner) for dc in DATA_CENTRES]
        self.send(0, Statement(route=ROUTE, sql=sql, access=Access.WRITE), "create")
        self.group.replicate()
        for instance in self.instances:
            self.group.probe(instance)

    def send(self, instance_index, req, request_id, fault=Fault.NONE):
        instance = self.instances[instance_index]
        self.group.caller_data_centre = instance.data_centre
        self.group.faults = [fault]
        req.token = self.reported.token
        plan = instance.runner.plan(self.tree, CALLER, request_id, req)
        runner = instance.runner
        call = runner.run if isinstance(req, Statement) else runner.ask_outcome
        answer = plan.and_then(lambda prepared: call(prepared, req))
        if isinstance(answer, Ok):
            self.reported.token = answer.ok_value.token or self.reported.token
        self.group.faults = []
        return answer

    def run(self, steps):
        """Run all steps and return the guarantees that were violated."""
        with self.group:
            for step in steps:
                self.step(step)
                self.group.clock.advance(STEP_S)
            self.group.run_delayed_requests()
            self.group.heal()
            self.group.run_delayed_requests()
            self.check()
        return self.violations

    def step(self, step):
        match step:
            case Write():
                self.write(step)
            case Read():
                self.read(step)
            case Ask():
                self.ask(step)
            case Event():
                self.apply_event(step.kind)

    def write(self, step):
        params = [to_value(step.plate)]
        req = Statement(route=ROUTE, sql=INSERT, params=params, access=Access.WRITE)
        answer = self.send(step.instance, req, step.plate, step.fault)
        ending = Ending.DONE if isinstance(answer, Ok) else answer.err_value.ending
        self.reported.endings.setdefault(step.plate, set()).add(ending)
        if ending is Ending.DONE:
            self.reported.done.add(step.plate)

    def ask(self, step):
        req = AskOutcome(route=ROUTE, request_id=step.plate, sent_ago_ms=1)
        answer = self.send(step.instance, req, f"ask {step.plate}", step.fault)
        if not isinstance(answer, Ok):
            return
        match answer.ok_value.ending:
            case Ending.DONE:
                self.reported.done.add(step.plate)
            case Ending.NOT_RUN:
                self.reported.cancelled.add(step.plate)

    def read(self, step):
        req = Statement(route=ROUTE, sql=SELECT, access=Access.READ)
        answer = self.send(step.instance, req, "read", step.fault)
        if not isinstance(answer, Ok):
            if isinstance(answer.err_value, PositionLost):
                self.reported.token = b""
                self.reported.seen.clear()
            return
        rows = answer.ok_value.rows.rows
        plates = {from_value(row.values[0]) for row in rows}
        if self.reported.done - plates:
            self.violations.add("own write not read")
        if self.reported.seen - plates:
            self.violations.add("read went back")
        self.reported.seen = plates

    def apply_event(self, kind):
        group = self.group
        match kind:
            case "isolate":
                group.isolated_data_centre = group.primary.cfg.data_centre
            case "kill":
                group.targets_down = {group.primary.cfg.target}
            case "fail-over":
                group.fail_over()
            case "heal":
                group.heal()
            case "late":
                group.run_delayed_requests()
            case "replicate":
                group.replicate()
            case "lag":
                group.apply_paused = not group.apply_paused
            case "probe":
                for instance in self.instances:
                    group.probe(instance)

    def check(self):
        for plate, endings in self.reported.endings.items():
            count = self.group.count_offers(plate)
            if count > 1:
                self.violations.add("run twice")
            if plate in self.reported.done and count == 0:
                self.violations.add("done but lost")
            if endings == {Ending.NOT_RUN} and plate not in self.reported.done and count:
                self.violations.add("not run but ran")
            if plate in self.reported.cancelled and count:
                self.violations.add("not run but ran")
