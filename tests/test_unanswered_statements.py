"""A statement that has been read is answered, whatever fails and when the process stops."""

import pytest

from quetzalrudder.gateway.statements import Begin, Commit, Read, SessionState, Write
from tests.gateway_fleet import GatewayFleet


@pytest.fixture
def fleet():
    started = GatewayFleet(("edge-1",))
    started.run(3.0, started.all_know_primary)
    started.run(0.5)
    return started


def fail_on(*kinds):
    """Return a script of a database that fails in an unexpected way at some statements."""

    def script(link, request_id, statement):
        if isinstance(statement, kinds):
            raise IndexError("deque index out of range")

    return script


def set_script(fleet, script):
    for database in fleet.group.databases.values():
        database.script = script


def test_an_unexpected_exception_before_a_write_was_sent_is_a_refusal(fleet, monkeypatch):
    session = fleet[0].session()

    def plan(req, *, needs_primary):
        raise IndexError("deque index out of range")

    monkeypatch.setattr(fleet[0].gateway.planner, "plan", plan)
    answer = session.execute("r1", Write("a", "1"))
    assert answer.error.ending.name == "NOT_RUN"
    assert answer.state is SessionState.IDLE
    monkeypatch.undo()
    assert session.execute("r2", Write("a", "2")).error is None


def test_an_unexpected_exception_after_a_write_was_sent_is_an_unknown_outcome(fleet):
    session = fleet[0].session()
    set_script(fleet, fail_on(Write))
    answer = session.execute("r1", Write("a", "1"))
    assert type(answer.error).__name__ == "OutcomeUnknown"
    set_script(fleet, None)
    assert session.execute("r2", Read("a")).error is None


def test_an_unexpected_exception_of_a_read_is_answered(fleet):
    session = fleet[0].session()
    set_script(fleet, fail_on(Read))
    answer = session.execute("r1", Read("a"))
    assert answer.error is not None
    assert answer.state is SessionState.IDLE


def test_an_error_of_a_socket_inside_a_statement_does_not_end_the_session(fleet):
    session = fleet[0].session()

    def script(link, request_id, statement):
        if isinstance(statement, Read):
            raise OSError("too many open files")

    set_script(fleet, script)
    assert session.execute("r1", Read("a")).error is not None


@pytest.mark.parametrize("failing", [Begin, Write])
def test_an_unexpected_exception_in_a_transaction_aborts_it_and_frees_its_connection(
    fleet, failing
):
    session = fleet[0].session()
    session.execute("r1", Begin(read_only=False))
    set_script(fleet, fail_on(failing))
    answer = session.execute("r2", Write("a", "1"))
    assert type(answer.error).__name__ == "TransactionAborted"
    assert answer.state is SessionState.FAILED_TRANSACTION
    set_script(fleet, None)
    session.execute("r3", Commit())
    assert fleet.group["db-1"].log == []
    # Connections whose state is not known are not used again, and none is lost to the pool.
    for number in range(60):
        assert session.execute(f"r{number + 4}", Write("b", "2")).error is None


def test_an_unexpected_exception_of_a_commit_is_an_unknown_outcome(fleet):
    session = fleet[0].session()
    session.execute("r1", Begin(read_only=False))
    session.execute("r2", Write("a", "1"))
    set_script(fleet, fail_on(Commit))
    answer = session.execute("r3", Commit())
    assert type(answer.error).__name__ == "OutcomeUnknown"
    assert answer.state is SessionState.IDLE


def test_connections_that_fail_to_open_in_an_unexpected_way_are_not_lost_to_the_pool(
    fleet, monkeypatch
):
    session = fleet[0].session()
    gateway = fleet[0].gateway
    connect = fleet.group.connect

    def fail(target, workspace, timeout_s):
        raise UnicodeError("cannot be encoded")

    monkeypatch.setattr(fleet.group, "connect", fail)
    for pool in gateway.pool._pools.values():
        pool.close_idle()
    for number in range(100):
        assert session.execute(f"r{number}", Write("a", "1")).error is not None
    monkeypatch.setattr(fleet.group, "connect", connect)
    assert session.execute("last", Write("a", "1")).error is None
