"""Placement and endings of statements, with one instance in front of fake databases."""

import pytest
from result import Err, Ok

from quetzalrudder.exceptions import LinkLost
from quetzalrudder.gateway.statements import (
    Begin,
    Commit,
    Deallocate,
    Execute,
    Malformed,
    Prepare,
    Read,
    Rollback,
    SessionState,
    SetValue,
    TargetFault,
    TargetReply,
    Write,
)
from tests.gateway_fleet import GatewayFleet, catalog


@pytest.fixture
def fleet():
    started = GatewayFleet(("edge-1",))
    started.run(3.0, started.all_know_primary)
    started.run(0.5)
    started.group.executed.clear()
    return started


def ending(answer):
    return "done" if answer.error is None else type(answer.error).__name__


def targets_of(fleet, statement_type):
    return [entry[0] for entry in fleet.group.executed if isinstance(entry[2], statement_type)]


def reply_with_fault(
    fault, times=1, state=SessionState.IDLE, statement_types=(Read, Write, Execute, Commit)
):
    remaining = [times]

    def script(link, request_id, statement):
        if isinstance(statement, statement_types) and remaining[0]:
            remaining[0] -= 1
            return Ok(TargetReply(link.state if state is None else state, fault=fault))
        return None

    return script


def lose_reply(statement_types, after_run=False):
    remaining = [1]

    def script(link, request_id, statement):
        if isinstance(statement, statement_types) and remaining[0]:
            remaining[0] -= 1
            if after_run:
                link._run(statement)
            return Err(LinkLost("no answer", place=link.database.info.target))
        return None

    return script


# Placement.


def test_reads_of_a_primary_route_run_at_the_primary(fleet):
    session = fleet[0].session("offers")
    for _ in range(5):
        assert ending(session.execute("r", Read("a"))) == "done"
    assert set(targets_of(fleet, Read)) == {"db-1"}


@pytest.mark.parametrize("route", ["prices", "deals"])
def test_reads_with_an_age_bound_run_at_replicas(fleet, route):
    session = fleet[0].session(route)
    for _ in range(10):
        assert ending(session.execute("r", Read("a"))) == "done"
    assert "db-1" not in targets_of(fleet, Read)


def test_a_replica_behind_the_required_position_is_skipped(fleet):
    assert ending(fleet[0].session("offers").execute("w", Write("a", "1"))) == "done"
    fleet.clock.advance(0.2)
    assert ending(fleet[0].session("offers").execute("w", Write("a", "2"))) == "done"
    fleet.group["db-2"].log = list(fleet.group["db-1"].log)
    fleet.clock.advance(1.3)
    fleet.run(0.05)
    answer = fleet[0].session("prices").execute("r", Read("a"))
    assert answer.rows == ("a=2",)
    assert targets_of(fleet, Read)[-1] != "db-3"


def test_a_session_reads_its_own_write(fleet):
    session = fleet[0].session("deals")
    assert ending(session.execute("w", Write("a", "1"))) == "done"
    assert session.execute("r", Read("a")).rows == ("a=1",)


def test_reads_without_a_primary_succeed_until_their_age_bound(fleet):
    fleet.group["db-1"].up = False
    fleet[0].unreachable = {"db-1"}
    session = fleet[0].session("prices")
    assert ending(session.execute("r", Read("a"))) == "done"
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.clock.advance(1.6)
    assert ending(session.execute("r", Read("a"))) != "done"


def test_writes_go_to_the_primary_with_id_and_workspace(fleet):
    fleet[0].session("deals", "key-2").execute("id-7", Write("a", "1"))
    assert fleet.group.executed[-1][:4] == ("db-1", "id-7", Write("a", "1"), "astana")


# Session values and prepared statements.


def test_session_values_are_set_on_every_connection(fleet):
    session = fleet[0].session("deals")
    session.execute("s", SetValue("lang", "kk"))
    for _ in range(6):
        session.execute("r", Read("a"))
    session.execute("w", Write("a", "1"))
    assert all(values == {"lang": "kk"} for *_, values in fleet.group.executed)


def test_session_values_do_not_leak_into_another_session(fleet):
    first = fleet[0].session("offers")
    first.execute("s", SetValue("lang", "kk"))
    first.execute("r", Read("a"))
    fleet[0].session("offers").execute("r", Read("a"))
    assert fleet.group.executed[-1][4] == {}


def test_prepared_names_of_two_sessions_do_not_collide(fleet):
    first, second = fleet[0].session("offers"), fleet[0].session("offers")
    first.execute("p", Prepare("s", False, "shape-1"))
    second.execute("p", Prepare("s", True, "shape-2"))
    assert ending(first.execute("e", Execute("s", "a"))) == "done"
    assert ending(second.execute("e", Execute("s", "a 5"))) == "done"
    assert [entry[2] for entry in fleet.group["db-1"].log] == ["5"]


def test_an_unknown_or_deallocated_statement_is_refused(fleet):
    session = fleet[0].session("offers")
    assert ending(session.execute("e", Execute("s", "a"))) == "StatementNotPrepared"
    session.execute("p", Prepare("s", False, "x"))
    assert ending(session.execute("d", Deallocate("s"))) == "done"
    assert ending(session.execute("e", Execute("s", "a"))) == "StatementNotPrepared"
    assert ending(session.execute("d", Deallocate("s"))) == "StatementNotPrepared"


def test_a_prepared_statement_lost_by_the_database_is_prepared_again(fleet):
    session = fleet[0].session("offers")
    session.execute("p", Prepare("s", False, "x"))
    assert ending(session.execute("e", Execute("s", "a"))) == "done"
    fleet.group["db-1"].script = reply_with_fault(
        TargetFault.NOT_PREPARED, statement_types=(Execute,)
    )
    assert ending(session.execute("e", Execute("s", "a"))) == "done"


# Endings of single statements.


@pytest.mark.parametrize("statement", [Read("a"), Write("a", "1")])
def test_a_busy_database_is_retried(fleet, statement):
    fleet.group["db-1"].busy_replies_left = 3
    assert ending(fleet[0].session("offers").execute("x", statement)) == "done"


def test_a_database_busy_for_too_long_yields_overloaded_with_a_retry_delay(fleet):
    fleet.group["db-1"].busy_replies_left = 10**6
    started = fleet.clock.now
    answer = fleet[0].session("offers").execute("w", Write("a", "1"))
    assert ending(answer) == "Overloaded"
    assert answer.error.retry_after_ms > 0
    assert fleet.clock.now - started <= 0.6


def test_a_write_whose_answer_is_lost_has_an_unknown_outcome_and_is_not_retried(fleet):
    fleet.group["db-1"].script = lose_reply(Write, after_run=True)
    assert ending(fleet[0].session("offers").execute("w", Write("a", "1"))) == "OutcomeUnknown"
    assert len(fleet.group["db-1"].log) == 1


def test_a_read_whose_answer_is_lost_is_retried_at_another_database(fleet):
    for name in ("db-2", "db-3"):
        fleet.group[name].script = lose_reply(Read)
    assert ending(fleet[0].session("prices").execute("r", Read("a"))) == "done"


@pytest.mark.parametrize(
    ("fault", "expected"),
    [(TargetFault.FAILED, "StatementFailed"), (TargetFault.TIMED_OUT, "DeadlineExceeded")],
)
def test_a_write_that_may_have_run_is_not_retried(fleet, fault, expected):
    fleet.group["db-1"].script = reply_with_fault(fault, times=9)
    assert ending(fleet[0].session("offers").execute("w", Write("a", "1"))) == expected
    assert fleet.group["db-1"].log == []


def test_a_malformed_statement_is_refused(fleet):
    answer = fleet[0].session("offers").execute("m", Malformed("what"))
    assert ending(answer) == "MalformedMessage"
    assert answer.state is SessionState.IDLE


# Transactions.


def test_a_transaction_keeps_one_connection_and_commits(fleet):
    session = fleet[0].session("offers")
    states = [
        session.execute("b", Begin(False)).state,
        session.execute("r", Read("a")).state,
        session.execute("w", Write("a", "1")).state,
        session.execute("c", Commit()).state,
    ]
    assert states == [SessionState.IN_TRANSACTION] * 3 + [SessionState.IDLE]
    assert [entry[1] for entry in fleet.group["db-1"].log] == ["a"]


def test_a_rolled_back_transaction_leaves_nothing(fleet):
    session = fleet[0].session("offers")
    session.execute("b", Begin(False))
    session.execute("w", Write("a", "1"))
    assert ending(session.execute("e", Rollback())) == "done"
    assert fleet.group["db-1"].log == []
    assert fleet.group["db-1"].open_links == 1


def test_closing_a_session_rolls_back_its_transaction(fleet):
    session = fleet[0].session("offers")
    session.execute("b", Begin(False))
    session.execute("w", Write("a", "1"))
    session.close()
    other = fleet[0].session("offers")
    other.execute("b", Begin(False))
    assert ending(other.execute("c", Commit())) == "done"
    assert fleet.group["db-1"].log == []


def test_an_empty_transaction_has_the_signature_of_a_database(fleet):
    session = fleet[0].session("offers")
    session.execute("b", Begin(False))
    assert session.execute("c", Commit()).signature == "signed"


def test_a_read_only_transaction_runs_at_a_replica(fleet):
    session = fleet[0].session("prices")
    session.execute("b", Begin(True))
    session.execute("r", Read("a"))
    session.execute("r", Read("b"))
    assert ending(session.execute("c", Commit())) == "done"
    assert len(set(targets_of(fleet, Read))) == 1
    assert "db-1" not in targets_of(fleet, Read)


def test_a_failed_transaction_accepts_only_its_end(fleet):
    session = fleet[0].session("offers")
    session.execute("b", Begin(False))
    session.execute("w", Write("a", "1"))
    fleet.group["db-1"].script = lose_reply(Write)
    failed = session.execute("w", Write("a", "2"))
    assert (ending(failed), failed.state) == (
        "TransactionAborted",
        SessionState.FAILED_TRANSACTION,
    )
    assert ending(session.execute("r", Read("a"))) == "MalformedMessage"
    ended = session.execute("c", Commit())
    assert (ending(ended), ended.state) == ("TransactionAborted", SessionState.IDLE)
    assert fleet.group["db-1"].log == []


def test_a_commit_whose_answer_is_lost_has_an_unknown_outcome(fleet):
    session = fleet[0].session("offers")
    session.execute("b", Begin(False))
    session.execute("w", Write("a", "1"))
    fleet.group["db-1"].script = lose_reply(Commit, after_run=True)
    answer = session.execute("c", Commit())
    assert (ending(answer), answer.state) == ("OutcomeUnknown", SessionState.IDLE)


def test_a_commit_without_writes_whose_answer_is_lost_is_aborted(fleet):
    session = fleet[0].session("offers")
    session.execute("b", Begin(False))
    session.execute("r", Read("a"))
    fleet.group["db-1"].script = lose_reply(Commit)
    assert ending(session.execute("c", Commit())) == "TransactionAborted"


def test_a_commit_is_not_sent_after_the_permission_expired(fleet):
    session = fleet[0].session("offers")
    session.execute("b", Begin(False))
    session.execute("w", Write("a", "1"))
    fleet.clock.advance(10.0)
    assert ending(session.execute("c", Commit())) == "TransactionAborted"
    assert fleet.group["db-1"].log == []


def test_an_idle_transaction_is_rolled_back_and_reported_to_the_caller(fleet):
    session = fleet[0].session("offers")
    session.execute("b", Begin(False))
    session.execute("w", Write("a", "1"))
    session.abandon_transaction("idle")
    assert session.state is SessionState.FAILED_TRANSACTION
    assert ending(session.execute("c", Commit())) == "TransactionAborted"
    assert fleet.group["db-1"].log == []


def test_values_set_in_a_transaction_hold_inside_and_after_a_rollback(fleet):
    session = fleet[0].session("offers")
    session.execute("b", Begin(False))
    session.execute("s", SetValue("lang", "kk"))
    session.execute("r", Read("a"))
    session.execute("e", Rollback())
    session.execute("r", Read("a"))
    assert [entry[4] for entry in fleet.group.executed] == [{"lang": "kk"}] * 2


# Configuration.


def test_a_withdrawn_key_ends_an_open_transaction(fleet):
    session = fleet[0].session("offers")
    session.execute("b", Begin(False))
    session.execute("w", Write("a", "1"))
    fleet[0].gateway.catalogs.update_if_newer(catalog(2, workspace_by_key={}))
    assert ending(session.execute("c", Commit())) == "TransactionAborted"
    assert fleet.group["db-1"].log == []
    answer = session.execute("r", Read("a"))
    assert ending(answer) == "Unauthenticated"
    assert answer.close


def test_a_removed_route_is_refused_after_the_open_transaction(fleet):
    session = fleet[0].session("offers")
    session.execute("b", Begin(False))
    session.execute("w", Write("a", "1"))
    fleet[0].gateway.catalogs.update_if_newer(catalog(2, routes={}))
    assert ending(session.execute("c", Commit())) == "done"
    assert ending(session.execute("r", Read("a"))) == "RouteNotFound"


def test_an_older_configuration_is_ignored(fleet):
    catalogs = fleet[0].gateway.catalogs
    assert catalogs.update_if_newer(catalog(5))
    assert not catalogs.update_if_newer(catalog(4, routes={}))
    assert catalogs.current.version == 5


def test_a_draining_replica_gets_no_new_work(fleet):
    from dataclasses import replace

    registry = fleet[0].gateway.registry
    registry.update(replace(registry.queryable("db-2"), draining=True))
    session = fleet[0].session("prices")
    for _ in range(10):
        session.execute("r", Read("a"))
    assert set(targets_of(fleet, Read)) == {"db-3"}


def test_connections_stay_within_the_default_limit(fleet):
    fleet[0].gateway.catalogs.update_if_newer(catalog(2, groups={}))
    sessions = [fleet[0].session("offers") for _ in range(12)]
    for session in sessions:
        session.execute("b", Begin(False))
        session.execute("r", Read("a"))
    assert fleet.group["db-1"].open_links <= 8
