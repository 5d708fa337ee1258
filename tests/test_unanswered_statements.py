"""A statement that has been read is answered, whatever fails and when the process stops."""

import json
import signal
import socket
import time
from contextlib import ExitStack
from datetime import datetime

import pytest
from rig.frontend import Frontend, _CallerConnection

from quetzalrudder.exceptions import Draining
from quetzalrudder.gateway import Answer
from quetzalrudder.gateway.running_statement import RunningStatement
from quetzalrudder.gateway.slot_links import SlotLimitedLink
from quetzalrudder.gateway.slots import SlotLimiter
from quetzalrudder.gateway.statements import (
    Begin,
    Commit,
    Execute,
    Prepare,
    Read,
    SessionState,
    SetValue,
    Write,
)
from quetzalrudder.gateway.wait_queue import Claim, Urgency
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet
from tests.gateway_standins import PlatformStandIn
from tests.test_edge_program import (
    CONFIGURATION,
    DONE,
    Caller,
    EdgeProcess,
    deployment_build,  # noqa: F401
)

# Longer than the grace period of the processes, as a route of long reads has it.
LONG_TIMEOUT_MS = 10_000
GRACE_S = 3.0


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


def begin(statement, *, in_transaction=False, writes=True):
    return RunningStatement("r1", statement, in_transaction, writes)


NOT_OFFERED = Draining("the instance stops")


@pytest.mark.parametrize(
    ("running", "if_waiting", "if_offered"),
    [
        (begin(Read("a"), writes=False), "Draining", "LinkLost"),
        (begin(Write("a", "1")), "Draining", "OutcomeUnknown"),
        (begin(Write("a", "1"), in_transaction=True), "TransactionAborted", "TransactionAborted"),
        (begin(Commit(), in_transaction=True), "TransactionAborted", "OutcomeUnknown"),
        (begin(Commit(), in_transaction=True, writes=False), *["TransactionAborted"] * 2),
    ],
)
def test_a_statement_that_is_given_up_is_refused_only_if_nothing_of_it_is_kept(
    running, if_waiting, if_offered
):
    assert running.interruption_error(NOT_OFFERED).log_name == if_waiting
    assert running.progress.offer()
    assert running.interruption_error(NOT_OFFERED).log_name == if_offered


def test_a_statement_that_was_given_up_is_not_sent():
    running = begin(Write("a", "1"))
    assert running.progress.give_up()
    assert not running.progress.offer()
    assert not running.progress.finish()
    assert running.interruption_error(NOT_OFFERED) is NOT_OFFERED


def test_a_statement_that_was_given_up_while_it_ran_stays_in_doubt():
    """Its refusal by the database comes after the caller's answer."""
    running = begin(Write("a", "1"))
    assert running.progress.offer()
    assert running.progress.give_up()
    running.progress.withdraw()
    assert running.interruption_error(NOT_OFFERED).log_name == "OutcomeUnknown"


def test_a_statement_that_has_ended_is_answered_once():
    running = begin(Write("a", "1"))
    assert running.progress.finish()
    assert not running.progress.give_up()


def test_a_failure_to_record_a_statement_costs_no_answer(fleet, monkeypatch):
    session = fleet[0].session()

    def count_statement(consistency, ending):
        raise ValueError("no such label")

    monkeypatch.setattr(fleet[0].gateway.metrics, "count_statement", count_statement)
    assert session.execute("r1", Write("a", "1")).error is None


def test_a_write_that_waited_for_a_slot_when_it_was_given_up_is_refused_and_not_sent():
    clock = ManualClock()
    running = begin(Write("a", "1"))
    limiter = SlotLimiter(lambda: 1, lambda: None, clock)
    occupied = Claim(Urgency(1, 1, clock.now + 1), "almaty", clock.now + 10)
    assert limiter.acquire(occupied)
    sent = []

    class Link:
        def run(self, *args):
            sent.append(args)

    class GivesUp:
        """Gives the statement up while it waits, then frees the slot."""

        def acquire(self, claim):
            assert running.progress.give_up()
            limiter.release(1, 0.01)
            return limiter.acquire(claim)

        release_unanswered = limiter.release_unanswered

    link = SlotLimitedLink(Link(), GivesUp, clock)
    result = link.run("r1", running.statement, 1.0, None, running.progress.offer)
    assert result.err_value.ending.name == "NOT_RUN"
    assert sent == []
    assert running.interruption_error(NOT_OFFERED) is NOT_OFFERED
    assert limiter.acquire(occupied)


def test_a_session_that_was_given_up_runs_nothing_more(fleet):
    session = fleet[0].session()
    assert session.give_up() is None
    executed = len(fleet.group.executed)
    answer = session.execute("r1", Write("a", "1"))
    assert type(answer.error).__name__ == "Draining"
    assert answer.close
    assert len(fleet.group.executed) == executed


@pytest.fixture
def platform():
    routes = [{**route, "timeoutMs": LONG_TIMEOUT_MS} for route in CONFIGURATION["routes"]]
    services = [{"name": "core", "maxConns": 1}]
    standin = PlatformStandIn({**CONFIGURATION, "routes": routes, "services": services})
    yield standin
    standin.close()


@pytest.fixture
def edge(deployment_build, platform, tmp_path):  # noqa: F811
    edge_process = EdgeProcess(platform, tmp_path)
    edge_process.wait_ready()
    yield edge_process
    if edge_process.process.poll() is None:
        edge_process.process.kill()
        edge_process.process.wait()


def send_query(caller, text):
    caller.sock.sendall(f"QUERY last {text}\r\n".encode())


def line_of_log(edge, message):
    lines = [json.loads(line) for line in edge.log().splitlines()]
    return next(line for line in lines if line["message"] == message)


def last_line_of_log(edge):
    return line_of_log(edge, "stopped")


def seconds_between(first, second):
    times = [datetime.strptime(line["time"], "%Y-%m-%d %H:%M:%S,%f") for line in (first, second)]
    return (times[1] - times[0]).total_seconds()


def stop_and_read(edge, caller):
    """Stop the process; return the answer to the caller's outstanding statement."""
    edge.process.send_signal(signal.SIGTERM)
    answer = caller.stream.read().splitlines()
    assert edge.process.wait(20) == 0
    return answer


def test_a_write_that_still_waits_at_the_end_of_a_planned_stop_is_refused(edge, platform):
    offers, waiting = Caller(edge.frontend, "offers"), Caller(edge.frontend, "offers")
    assert offers.query_until("PUT a 1", DONE) == DONE
    platform.may_run.clear()
    # Holds the only connection.
    send_query(offers, "PUT a 2")
    time.sleep(0.2)
    send_query(waiting, "PUT a 3")
    time.sleep(0.2)
    answer = stop_and_read(edge, waiting)
    assert answer[0].startswith("ERR BUSY ")
    assert answer[1] == "READY I -"
    platform.may_run.set()
    time.sleep(0.1)
    written = [entry[2] for entry in platform.group.executed if isinstance(entry[2], Write)]
    assert Write("a", "3") not in written
    assert last_line_of_log(edge)["unanswered_count"] == 0


def test_a_write_that_a_database_holds_at_the_end_of_a_planned_stop_is_in_doubt(edge, platform):
    offers = Caller(edge.frontend, "offers")
    assert offers.query_until("PUT a 1", DONE) == DONE
    platform.may_run.clear()
    send_query(offers, "PUT a 2")
    time.sleep(0.2)
    answer = stop_and_read(edge, offers)
    platform.may_run.set()
    assert answer[0].startswith("ERR INDOUBT ")
    assert last_line_of_log(edge)["unanswered_count"] == 0


def test_a_transaction_whose_statement_runs_at_the_end_of_a_planned_stop_is_aborted(edge, platform):
    offers = Caller(edge.frontend, "offers")
    offers.run_transaction("PUT a 1")
    assert offers.query("BEGIN")[0] == "DONE -"
    assert offers.query("PUT a 2")[0].startswith("DONE ")
    platform.may_run.clear()
    send_query(offers, "PUT b 2")
    time.sleep(0.2)
    answer = stop_and_read(edge, offers)
    platform.may_run.set()
    assert answer[0].startswith("ERR ABORTED ")
    assert answer[1] == "READY E -"


@pytest.mark.parametrize("after_s", [GRACE_S / 2 + 0.2, GRACE_S / 2 + 0.5])
def test_callers_that_connect_at_the_end_of_a_planned_stop_are_refused(edge, platform, after_s):
    """Their statements could be cut off by the exit."""
    offers = Caller(edge.frontend, "offers")
    assert offers.query_until("PUT a 1", DONE) == DONE
    platform.may_run.clear()
    send_query(offers, "PUT a 2")
    edge.process.send_signal(signal.SIGTERM)
    # Idle sessions are ended after half of the grace period at most.
    time.sleep(after_s)
    for _ in range(2):
        late = Caller(edge.frontend, "offers")
        assert late.greeting.startswith("ERR BUSY ")
        assert late.stream.read() == ""
    platform.may_run.set()
    assert offers.stream.readline().strip() == DONE[0]
    assert edge.process.wait(20) == 0


def test_a_caller_that_idles_in_a_transaction_does_not_hold_a_planned_stop(edge, platform):
    offers = Caller(edge.frontend, "offers")
    offers.run_transaction("PUT a 1")
    assert offers.query("BEGIN")[0] == "DONE -"
    assert offers.query("PUT a 2")[0].startswith("DONE ")
    # Longer than a transaction may be idle.
    time.sleep(CONFIGURATION["limits"]["txIdleMs"] / 1000 + 0.3)
    edge.process.send_signal(signal.SIGTERM)
    assert edge.process.wait(20) == 0
    assert last_line_of_log(edge)["sessions_left"] == 0


def test_a_session_that_was_prepared_for_a_statement_is_not_ended_before_it(edge, platform):
    """The statement crosses the close, and its caller has to begin again elsewhere."""
    offers = Caller(edge.frontend, "offers")
    assert offers.query_until("PUT a 1", DONE) == DONE
    edge.process.send_signal(signal.SIGTERM)
    # Set-up statements beyond the time at which idle sessions are ended.
    until = time.monotonic() + GRACE_S / 2 + 0.2
    number = 0
    while time.monotonic() < until:
        number += 1
        assert offers.query(f"SET name{number % 50} value") == ["DONE -", "READY I -"]
        time.sleep(0.05)
    assert offers.query("PUT a 2") == DONE
    assert offers.stream.read() == ""
    assert edge.process.wait(20) == 0


def test_an_isolated_instance_does_not_end_a_session_that_was_prepared_for_a_statement(fleet):
    session = fleet[0].session()
    assert session.is_between_operations
    session.execute("r1", SetValue("lang", "kk"))
    assert not session.is_between_operations
    session.execute("r2", Prepare("s", True, "q"))
    assert not session.is_between_operations
    session.execute("r3", Execute("s", "a 1"))
    assert session.is_between_operations
    session.execute("r4", Begin(read_only=False))
    assert not session.is_between_operations


def test_a_connection_without_a_greeting_does_not_hold_a_planned_stop(edge, platform):
    with socket.create_connection(("127.0.0.1", edge.frontend)) as silent:
        time.sleep(0.2)
        edge.process.send_signal(signal.SIGTERM)
        assert silent.recv(100) == b""
        assert edge.process.wait(20) == 0
    stopped, draining = last_line_of_log(edge), line_of_log(edge, "draining")
    assert stopped["sessions_left"] == draining["sessions"] == 0
    # Half of the grace period until idle sessions are ended, and the reserve before its end.
    assert seconds_between(draining, stopped) < GRACE_S - 0.8


class FailingSession:
    def give_up(self):
        raise IndexError("deque index out of range")


class WaitingSession:
    def give_up(self):
        return Answer(SessionState.IDLE, error=NOT_OFFERED, close=True)


def test_one_session_that_fails_leaves_no_other_statement_unanswered():
    with ExitStack() as stack:
        frontend = Frontend(None, None, None)
        stack.callback(frontend.stop_idle.close)
        stack.callback(frontend.stop_transactions.close)
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        callers = []
        for session in (FailingSession(), *(WaitingSession() for _ in range(8))):
            theirs = stack.enter_context(socket.create_connection(listener.getsockname()))
            caller = _CallerConnection(listener.accept()[0])
            stack.callback(caller.close)
            caller.open()
            caller.session, caller.unanswered = session, "r1"
            frontend._callers.add(caller)
            callers.append((session, theirs))
        frontend.give_up_statements()
        for session, theirs in callers:
            if isinstance(session, WaitingSession):
                theirs.settimeout(1.0)
                assert theirs.recv(100).startswith(b"ERR BUSY ")
