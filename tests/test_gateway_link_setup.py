"""Answers to the steps that prepare a connection: RESET, SET, PREPARE, BEGIN and the ends."""

import random

import pytest
from result import Err, Ok

from quetzalrudder.exceptions import LinkLost
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.borrowing import owners_of
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
    Write,
)
from quetzalrudder.schema.common import Ending
from tests.gateway_fakes import RESET
from tests.gateway_fleet import GatewayFleet

LARGE_NAMES = tuple(f"edge-{number}" for number in range(LARGE_FLEET + 2))
# Faults that a database may answer any statement with.
FAULTS = [TargetFault.FAILED, TargetFault.BUSY, TargetFault.TIMED_OUT, TargetFault.OTHER]


def start_fleet(names):
    fleet = GatewayFleet(names)
    fleet.run(3.0, fleet.all_know_primary)
    fleet.run(4.0)
    fleet.group.executed.clear()
    return fleet


@pytest.fixture(params=["own connections", "lent connections"])
def gateway(request):
    """Return an instance that owns its connections, or one that borrows them."""
    if request.param == "own connections":
        fleet = start_fleet(("edge-1",))
        return fleet[0]
    fleet = start_fleet(LARGE_NAMES)
    view, registry = fleet[0].gateway.view, fleet[0].gateway.registry
    owners = {
        record.instance for target in registry.all_targets() for record in owners_of(view, target)
    }
    return next(instance for instance in fleet.instances if instance.name not in owners)


def fail_steps(steps, fault, times, *, runs=False):
    """Return a script that fails steps; with ``runs`` they take effect all the same."""
    remaining = [times]

    def script(link, request_id, statement):
        is_step = statement in steps or type(statement) in steps
        if not is_step or not remaining[0]:
            return None
        remaining[0] -= 1
        if runs and statement == RESET:
            link.values, link.prepared = {}, {}
        elif runs:
            link._run(statement)
        if fault is None:
            return Err(LinkLost("no answer", place=link.database.info.target))
        return Ok(TargetReply(link.state, fault=fault))

    return script


def run_script(instance, script):
    for database in instance.fleet.group.databases.values():
        database.script = script


def executed(instance, kind):
    """Return statement and session values of what ran, by the kind of the statement."""
    ran = instance.fleet.group.executed
    return [(entry[2], entry[4]) for entry in ran if isinstance(entry[2], kind)]


@pytest.mark.parametrize("runs", [False, True])
@pytest.mark.parametrize("fault", [None, *FAULTS])
def test_a_reset_that_fails_leaves_no_values_to_the_next_session(gateway, fault, runs):
    # The connection counted as clean, and reads ran with the values of another caller.
    first = gateway.session()
    first.execute("1", SetValue("who", "first"))
    assert first.execute("2", Read("a")).error is None
    first.close()
    run_script(gateway, fail_steps([RESET], fault, 1, runs=runs))
    second = gateway.session()
    assert second.execute("3", Read("b")).error is None
    assert second.execute("4", Read("c")).error is None
    assert [values for _, values in executed(gateway, Read)[1:]] == [{}, {}]


@pytest.mark.parametrize("fault", FAULTS)
def test_a_caller_whose_connection_cannot_be_reset_is_told_that_nothing_has_run(gateway, fault):
    # It was answered as if it had run, or as a failure that promises nothing.
    first = gateway.session()
    first.execute("1", SetValue("who", "first"))
    assert first.execute("2", Write("a", "1")).error is None
    first.close()
    run_script(gateway, fail_steps([RESET], fault, 10_000))
    error = gateway.session().execute("3", Write("a", "2")).error
    assert (type(error).__mro__[0].code.name, error.ending) == (
        "TARGET_UNAVAILABLE",
        Ending.NOT_RUN,
    )
    assert error.retry_after_ms > 0
    assert len(executed(gateway, Write)) == 1


@pytest.mark.parametrize("runs", [False, True])
@pytest.mark.parametrize("fault", [None, *FAULTS])
@pytest.mark.parametrize("in_transaction", [False, True])
def test_a_value_that_may_not_be_set_is_left_to_nobody(gateway, fault, runs, in_transaction):
    # A database that fails a SET may have run it.
    first = gateway.session()
    first.execute("1", SetValue("who", "first"))
    run_script(gateway, fail_steps([SetValue], fault, 1, runs=runs))
    if in_transaction:
        first.execute("2", Begin(False))
    assert first.execute("3", Write("a", "1")).error is None
    if in_transaction:
        assert first.execute("4", Commit()).error is None
    assert executed(gateway, Write) == [(Write("a", "1"), {"who": "first"})]
    assert gateway.session().execute("5", Write("b", "1")).error is None
    assert executed(gateway, Write)[1:] == [(Write("b", "1"), {})]


@pytest.mark.parametrize("fault", FAULTS)
def test_a_failed_set_inside_a_transaction_aborts_it_and_leaves_no_value(gateway, fault):
    # The connection stays with its transaction, so the step cannot be repeated on another one.
    first = gateway.session()
    first.execute("1", Begin(False))
    assert first.execute("2", Write("a", "1")).error is None
    first.execute("3", SetValue("who", "first"))
    run_script(gateway, fail_steps([SetValue], fault, 1, runs=True))
    assert first.execute("4", Write("a", "2")).error.ending is Ending.NOT_RUN
    assert first.execute("5", Rollback()).error is None
    assert gateway.session().execute("6", Write("b", "1")).error is None
    assert executed(gateway, Write)[-1] == (Write("b", "1"), {})


@pytest.mark.parametrize("fault", [None, *FAULTS])
def test_a_statement_that_could_not_be_prepared_is_prepared_again(gateway, fault):
    # An execution of a name that the database may not know.
    session = gateway.session()
    session.execute("1", Prepare("s", True, "shape"))
    run_script(gateway, fail_steps([Prepare], fault, 1))
    assert session.execute("2", Execute("s", "a 1")).error is None


@pytest.mark.parametrize("state", [SessionState.IDLE, SessionState.FAILED_TRANSACTION])
def test_no_statement_runs_after_a_begin_that_opened_no_transaction(gateway, state):
    # The write would be committed before its caller asks for it.
    remaining = [1]

    def answer_begin(link, request_id, statement):
        if isinstance(statement, Begin) and remaining[0]:
            remaining[0] -= 1
            return Ok(TargetReply(state))
        return None

    run_script(gateway, answer_begin)
    session = gateway.session()
    session.execute("1", Begin(False))
    assert session.execute("2", Write("a", "1")).error is None
    assert session.execute("3", Rollback()).error is None
    assert gateway.fleet.group["db-1"].log == []


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("state", [SessionState.IDLE, SessionState.IN_TRANSACTION])
def test_a_connection_whose_rollback_failed_is_used_by_nobody(gateway, fault, state):
    # The next session's statements could run inside the transaction that is still open.
    def fail_rollback(link, request_id, statement):
        return Ok(TargetReply(state, fault=fault)) if isinstance(statement, Rollback) else None

    session = gateway.session()
    session.execute("1", Begin(False))
    assert session.execute("2", Write("a", "1")).error is None
    run_script(gateway, fail_rollback)
    assert session.execute("3", Rollback()).error is None
    run_script(gateway, None)
    assert gateway.session().execute("4", Write("b", "1")).error is None
    assert [item for _, item, _ in gateway.fleet.group["db-1"].log] == ["b"]


def test_a_connection_that_is_not_idle_after_a_commit_is_used_by_nobody(gateway):
    # The next session's statements could run inside another transaction.
    def answer_commit(link, request_id, statement):
        if not isinstance(statement, Commit):
            return None
        link._run(statement)
        link.state = SessionState.IN_TRANSACTION
        return Ok(TargetReply(link.state, signature="signed", position=link.database.position))

    session = gateway.session()
    session.execute("1", Begin(False))
    assert session.execute("2", Write("a", "1")).error is None
    run_script(gateway, answer_commit)
    assert session.execute("3", Commit()).error is None
    run_script(gateway, None)
    assert gateway.session().execute("4", Write("b", "1")).error is None
    assert [item for _, item, _ in gateway.fleet.group["db-1"].log] == ["a", "b"]


class SetupFaults:
    """Sessions with and without values, while databases fail a part of all steps."""

    def __init__(self, gateway, seed):
        self.gateway = gateway
        self.rng = random.Random(seed)
        self.expected = {}
        self.done = 0
        for database in gateway.fleet.group.databases.values():
            database.script = self.fail_sometimes

    def fail_sometimes(self, link, request_id, statement):
        if self.rng.random() > 0.3:
            return None
        if self.rng.random() < 0.5:
            if statement == RESET:
                link.values, link.prepared = {}, {}
            elif isinstance(statement, SetValue | Prepare):
                link._run(statement)
        fault = self.rng.choice(FAULTS)
        return Ok(TargetReply(link.state, fault=fault))

    def run_session(self, number):
        session = self.gateway.session(self.rng.choice(["offers", "prices", "deals"]))
        values = {name: f"v{number}" for name in "xyz" if self.rng.random() < 0.3}
        for name, value in values.items():
            session.execute("set", SetValue(name, value))
        in_transaction = self.rng.random() < 0.4
        if in_transaction:
            session.execute("begin", Begin(False))
        for step in range(3):
            request_id = f"r{number}.{step}"
            self.expected[request_id] = dict(values)
            answer = session.execute(request_id, Read("a"))
            self.done += answer.error is None
        if in_transaction:
            session.execute("end", self.rng.choice([Commit(), Rollback()]))
        session.close()


@pytest.mark.parametrize("seed", range(8))
def test_no_read_runs_with_values_of_another_session_while_set_up_steps_fail(gateway, seed):
    # Faults of one kind of step were taken for its success.
    scenario = SetupFaults(gateway, seed)
    for number in range(80):
        scenario.run_session(number)
        gateway.fleet.clock.advance(0.02)
    for _, request_id, statement, _, values in gateway.fleet.group.executed:
        if isinstance(statement, Read):
            assert values == scenario.expected[request_id]
    assert scenario.done > 40
