import random
import signal
import threading
import time
from types import SimpleNamespace

import pytest
from result import Err, Ok

from quetzalrudder.access import CallerIdentity
from quetzalrudder.exceptions import (
    KeyWithdrawn,
    Overloaded,
    QuetzalrudderError,
    RateExceeded,
    StatementFailed,
    TransactionAborted,
    TransactionNotFound,
)
from quetzalrudder.schema.caller import Access, Answer, Begin, CallerFrame, Commit, Statement
from quetzalrudder.schema.common import Ending
from quetzalrudder.tokens import Marks
from quetzalrudder.transactions import CallerTransactions, TransactionRunner
from quetzalrudder.utils import to_value
from standins.demo import STEPPE_SETTINGS
from standins.fleet import Fleet
from tests.conftest import SMALL_DEPLOYMENT
from tests.fakes import CALLER, Fault
from tests.fakes import ROUTE as OFFERS
from tests.helpers import grant_key, wait_for, wait_for_revision
from tests.histories import History
from tests.naive.proxy import NaiveTransactions

WORKSPACE = "steppe/branch-1"
ROUTE = "steppe/bookings"
INSERT = "INSERT INTO bookings VALUES (?, ?)"
SELECT = "SELECT price FROM bookings WHERE plate = ? ORDER BY price"
PRIMARY = "valuation-core-2-a"
SETTINGS = STEPPE_SETTINGS.replace(
    "[route steppe/bookings]",
    "[route steppe/bookings]\ntransaction_idle_ms = 3000",
)
SHORT_IDLE_ROUTE = "[route steppe/brief]\ngroup = valuation-core-2\ntransaction_idle_ms = 200\n"


@pytest.fixture(scope="module")
def tx_fleet():
    with Fleet(SMALL_DEPLOYMENT, f"{SETTINGS}\n{SHORT_IDLE_ROUTE}") as running:
        yield running


@pytest.fixture(scope="module")
def key(tx_fleet):
    granted = grant_key(tx_fleet, WORKSPACE)
    with tx_fleet.session("astana-a-1", workspace=WORKSPACE, key=granted) as session:
        session.write(ROUTE, "CREATE TABLE bookings (plate TEXT, price INTEGER)")
    return granted


@pytest.fixture
def sessions(tx_fleet, key):
    """Two sessions that use different instances."""
    first = tx_fleet.session("astana-a-1", "astana-b-1", workspace=WORKSPACE, key=key)
    second = tx_fleet.session("karaganda-1", workspace=WORKSPACE, key=key)
    with first, second:
        yield first, second


def prices(session, plate):
    return [row[0] for row in session.read(ROUTE, SELECT, plate).rows]


def test_commit_is_atomic_and_reads_in_the_transaction_see_its_writes(sessions):
    first, second = sessions
    with first.transaction(ROUTE) as tx:
        tx.write(INSERT, "tx-1", 1)
        tx.write(INSERT, "tx-1", 2)
        assert [row[0] for row in tx.read(SELECT, "tx-1").rows] == [1, 2]
        assert prices(second, "tx-1") == []
    first.roam()
    assert prices(first, "tx-1") == [1, 2]
    assert tx.result.ending is Ending.DONE


def test_commit_with_a_lost_answer_returns_the_recorded_outcome(sessions, tx_fleet):
    first, second = sessions
    tx = first.transaction(ROUTE).__enter__()
    tx.write(INSERT, "tx-lost", 1)
    tx_fleet.set_faults(PRIMARY, lose_answers=1)
    result = tx.commit()
    assert (result.ending, result.repeated) == (Ending.DONE, True)
    assert prices(second, "tx-lost") == [1]


def test_exception_in_the_block_rolls_back(sessions):
    first, _ = sessions
    with pytest.raises(ZeroDivisionError), first.transaction(ROUTE) as tx:
        tx.write(INSERT, "tx-2", 1)
        tx.write(INSERT, "tx-2", 1 // 0)
    assert prices(first, "tx-2") == []


def test_failed_statement_leaves_the_transaction_open(sessions):
    first, _ = sessions
    with first.transaction(ROUTE) as tx:
        tx.write(INSERT, "tx-3", 1)
        with pytest.raises(StatementFailed):
            tx.write("INSERT INTO nowhere VALUES (1)")
        with pytest.raises(StatementFailed):
            tx.write(" commit")
        with pytest.raises(StatementFailed):
            tx.read(INSERT, "tx-3", 2)
    assert prices(first, "tx-3") == [1]


def test_loss_of_the_caller_connection_rolls_back_immediately(sessions):
    first, second = sessions
    tx = first.transaction(ROUTE).__enter__()
    tx.write(INSERT, "tx-4", 1)
    first.roam()
    second.write(ROUTE, INSERT, "tx-4", 2)
    assert prices(second, "tx-4") == [2]
    with pytest.raises(TransactionAborted):
        tx.write(INSERT, "tx-4", 3)


def test_idle_transaction_is_rolled_back(sessions):
    first, second = sessions
    tx = first.transaction("steppe/brief").__enter__()
    tx.write(INSERT, "tx-5", 1)
    second.write(ROUTE, INSERT, "tx-5", 2)
    with pytest.raises((TransactionAborted, TransactionNotFound)) as exc_info:
        tx.commit()
    assert exc_info.value.ending is Ending.NOT_RUN
    assert prices(first, "tx-5") == [2]


def test_waiting_transactions_time_out_and_hold_no_slot(sessions, tx_fleet, key):
    first, second = sessions
    second.timeout_s = 1.0
    errors = []
    with first.transaction(ROUTE) as tx:
        tx.write(INSERT, "tx-6", 1)
        threads = [
            threading.Thread(target=begin_and_collect_error, args=(tx_fleet, key, errors))
            for _ in range(SMALL_DEPLOYMENT.slots + 1)
        ]
        for thread in threads:
            thread.start()
        tx.write(INSERT, "tx-6", 2)
        assert prices(second, "tx-6") == []
        for thread in threads:
            thread.join()
    assert prices(first, "tx-6") == [1, 2]
    assert all(exc.ending is Ending.NOT_RUN and exc.retry_after_ms for exc in errors)
    assert len(errors) == SMALL_DEPLOYMENT.slots + 1
    assert any(isinstance(exc, Overloaded) for exc in errors)


def begin_and_collect_error(fleet, key, errors):
    session = fleet.session("astana-b-1", workspace=WORKSPACE, key=key)
    session.timeout_s = 1.0
    try:
        with session, session.transaction(ROUTE):
            pass
    except QuetzalrudderError as exc:
        errors.append(exc)


def test_commit_repeated_through_another_instance_gets_the_first_outcome(sessions):
    first, second = sessions
    for repeated in (False, True):
        with first.transaction(ROUTE, request_id="commit-7") as tx:
            tx.write(INSERT, "tx-7", 7)
        assert tx.result.repeated is repeated
    commit = Commit(transaction_id=tx._transaction_id, route=ROUTE)
    answer = second.send(CallerFrame(request_id="commit-7", commit=commit)).result
    assert (answer.ending, answer.repeated) == (Ending.DONE, True)
    assert prices(second, "tx-7") == [7]


def test_commit_of_a_lost_transaction_is_told_as_not_run_only_once_it_never_can(sessions):
    first, second = sessions
    frame = CallerFrame(request_id="commit-8", commit=Commit(transaction_id="x", route=ROUTE))
    with pytest.raises(TransactionNotFound) as outcome_error:
        second.send(frame)
    assert outcome_error.value.ending is Ending.NOT_RUN
    with (
        pytest.raises(QuetzalrudderError) as commit_error,
        first.transaction(ROUTE, request_id="commit-8") as tx,
    ):
        tx.write(INSERT, "tx-8", 8)
    assert commit_error.value.ending is Ending.NOT_RUN
    assert prices(first, "tx-8") == []


def test_withdrawn_key_rolls_back(tx_fleet, sessions):
    granted = grant_key(tx_fleet, "steppe/branch-2")
    with tx_fleet.session("astana-b-1", workspace="steppe/branch-2", key=granted) as session:
        tx = session.transaction(ROUTE).__enter__()
        tx.write(INSERT, "tx-9", 1)
        change = tx_fleet.operator("astana-a-1").withdraw_key("steppe/branch-2", granted)
        wait_for_revision(tx_fleet, change.revision)
        sessions[1].write(ROUTE, INSERT, "tx-9", 2)
        with pytest.raises(KeyWithdrawn):
            tx.commit()
    assert prices(sessions[1], "tx-9") == [2]


def test_drain_waits_for_an_open_transaction_and_a_killed_instance_rolls_back(tx_fleet, key):
    drained = tx_fleet.session("astana-b-1", "karaganda-1", workspace=WORKSPACE, key=key)
    killed = tx_fleet.session("astana-a-1", "karaganda-1", workspace=WORKSPACE, key=key)
    with drained, killed:
        with drained.transaction(ROUTE) as tx:
            tx.write(INSERT, "tx-10", 1)
            tx_fleet.signal("astana-b-1", signal.SIGTERM)
            status = tx_fleet.operator("astana-b-1").status
            wait_for(lambda: status().state == "draining", "the instance drains")
            # Longer than the interval at which a connection checks its open transactions.
            time.sleep(0.6)
            tx.write(INSERT, "tx-10", 2)
        assert prices(drained, "tx-10") == [1, 2]
        tx = killed.transaction(ROUTE).__enter__()
        tx.write(INSERT, "tx-10", 3)
        tx_fleet.kill("astana-a-1")
        with pytest.raises(TransactionAborted) as exc_info:
            tx.write(INSERT, "tx-10", 4)
        with killed.transaction(ROUTE) as next_tx:
            next_tx.write(INSERT, "tx-10", 5)
        assert exc_info.value.ending is Ending.NOT_RUN
        assert prices(killed, "tx-10") == [1, 2, 5]


class FakeTransactionRunner:
    """Records the requests that would be sent to targets."""

    def __init__(self):
        self.runner = self
        self.sent = []

    def plan(self, tree, caller, request_id, begin):
        return Ok(SimpleNamespace(caller=caller, marks=Marks()))

    def begin(self, plan):
        self.sent.append("begin")
        view = SimpleNamespace(info=SimpleNamespace(target="t"))
        return Ok(SimpleNamespace(transaction_id="tx", plan=plan, view=view))

    def run(self, tx, stmt):
        self.sent.append(stmt.sql)
        return Ok(Answer())

    def commit(self, tx, request_id, commit):
        self.sent.append("commit")
        return Ok(Answer())


def test_requests_of_a_transaction_count_against_the_rate_and_its_end_does_not(monkeypatch):
    admissions = iter([True, True, False])

    def admit(plan):
        return Ok(plan) if next(admissions) else Err(RateExceeded("used up", retry_after_ms=5))

    runner = FakeTransactionRunner()
    caller = CallerIdentity(WORKSPACE, "key")
    transactions = CallerTransactions(runner, admit)
    monkeypatch.setattr(transactions, "_merge_token", lambda *_: None)
    assert transactions.begin(None, caller, "one", Begin()).is_ok()
    for sql in ("first", "second"):
        stmt = Statement(sql=sql, access=Access.WRITE, transaction_id="tx")
        answer = transactions.run(caller, stmt)
    assert isinstance(answer.err_value, RateExceeded)
    commit = Commit(transaction_id="tx")
    assert transactions.commit(None, caller, "two", commit).is_ok()
    assert runner.sent == ["begin", "first", "commit"]


def rows_after_abandoned_transaction(make_transactions):
    """Abandon one caller's transaction, commit another's, and return the row counts of both."""
    history = History()
    instance, clock = history.instances[0], history.group.clock
    runner = make_transactions(
        instance.runner, instance.pool, lambda target: 4, clock, random.Random(1)
    )
    begin = Begin(route=OFFERS)
    insert = "INSERT INTO offers VALUES (?)"

    def write(tx, plate):
        params = [to_value(plate)]
        return runner.run(tx, Statement(sql=insert, params=params, access=Access.WRITE))

    history.group.caller_data_centre = instance.data_centre
    with history.group:
        abandoned = instance.runner.plan(history.tree, CALLER, "1", begin).and_then(runner.begin)
        write(abandoned.ok_value, "abandoned")
        runner.abandon(abandoned.ok_value)
        begun = instance.runner.plan(history.tree, CALLER, "2", begin).and_then(runner.begin)
        next_tx = begun.ok_value if isinstance(begun, Ok) else abandoned.ok_value
        write(next_tx, "committed")
        runner.commit(next_tx, "commit", Commit())
        return {plate: history.group.count_offers(plate) for plate in ("abandoned", "committed")}


def test_commit_on_the_same_pool_includes_nothing_of_an_abandoned_transaction():
    assert rows_after_abandoned_transaction(NaiveTransactions)["abandoned"] == 1
    assert rows_after_abandoned_transaction(TransactionRunner) == {
        "abandoned": 0,
        "committed": 1,
    }


def test_connection_returns_to_the_pool_only_after_a_confirmed_end():
    history = History()
    instance, clock = history.instances[0], history.group.clock
    runner = TransactionRunner(
        instance.runner, instance.pool, lambda target: 4, clock, random.Random(1)
    )
    history.group.caller_data_centre = instance.data_centre

    def reuses_connection(end, fault):
        """End a transaction under a fault; return whether its connection is checked out again."""
        plan = instance.runner.plan(history.tree, CALLER, "1", Begin(route=OFFERS))
        tx = plan.and_then(runner.begin).ok_value
        conn = tx.pooled.conn
        history.group.faults = [fault]
        end(tx)
        with instance.pool.checkout(tx.view.info, tx.lifetime_deadline).ok_value as pooled:
            return pooled.conn is conn

    def commit(tx):
        return runner.commit(tx, str(clock.now), Commit())

    with history.group:
        assert reuses_connection(commit, Fault.NONE)
        assert reuses_connection(runner.rollback, Fault.NONE)
        assert not reuses_connection(commit, Fault.LOSE_ANSWER)
        assert not reuses_connection(runner.rollback, Fault.LOSE_ANSWER)
        assert not reuses_connection(runner.abandon, Fault.NONE)
