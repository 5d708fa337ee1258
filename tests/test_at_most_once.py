import random
import signal

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Ok

from quetzalrudder.exceptions import (
    ConnectionLimitReached,
    Draining,
    KeyWithdrawn,
    LinkLost,
    NoPrimary,
    OutcomeForgotten,
    OutcomeUnknown,
    Overloaded,
    RateExceeded,
    RequestCancelled,
    TargetUnavailable,
)
from quetzalrudder.retries import RetryBudget, RetryPolicy, final_error
from quetzalrudder.schema.caller import Access, Statement
from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import Deadline
from standins.database import Database
from tests.clocks import ManualClock
from tests.fakes import SETTINGS, Fault, make_tree
from tests.helpers import grant_key
from tests.histories import Ask, Event, History, Read, Write
from tests.naive.proxy import NaiveRunner

WORKSPACE = "steppe/branch-1"
ROUTE = "steppe/offers"
FAULTS = st.sampled_from([Fault.NONE] * 4 + list(Fault))
EVENTS = [
    *("isolate", "kill", "fail-over", "heal", "heal"),
    *("late", "replicate", "lag", "lag", "probe", "probe", "probe"),
]
PLATES = st.sampled_from(["01 KZ", "02 KZ", "03 KZ"])
INSTANCE_INDEXES = st.integers(0, 2)
STEPS = st.lists(
    st.one_of(
        st.builds(Write, PLATES, INSTANCE_INDEXES, FAULTS),
        st.builds(Ask, PLATES, INSTANCE_INDEXES, FAULTS),
        st.builds(Read, INSTANCE_INDEXES, FAULTS),
        st.sampled_from([Event(kind) for kind in EVENTS]),
    ),
    min_size=10,
    max_size=30,
)
FAILOVER = [Event("kill"), Event("fail-over"), Event("probe")]
HISTORIES = {
    "run twice": [Write("01 KZ", 0, Fault.LOSE_ANSWER), Write("01 KZ", 1)],
    "not run but ran": [Write("01 KZ", 0, Fault.DELAYED), Ask("01 KZ", 1), Event("late")],
    "done but lost": [Event("isolate"), Write("01 KZ", 0), Event("fail-over"), Event("heal")],
    "own write not read": [Event("lag"), Write("01 KZ", 0), Event("probe"), Read(2)],
}


@pytest.mark.parametrize("guarantee", HISTORIES)
def test_naive_runner_violates_the_guarantee_and_the_product_keeps_it(guarantee):
    assert guarantee in History(NaiveRunner).run(HISTORIES[guarantee])
    assert History().run(HISTORIES[guarantee]) == set()


def test_write_retried_after_a_failover_returns_the_recorded_outcome():
    history = History()
    steps = [Write("01 KZ", 0, Fault.LOSE_ANSWER), Event("replicate"), *FAILOVER]
    assert history.run([*steps, Write("01 KZ", 1), Ask("01 KZ", 2), Read(2)]) == set()
    assert history.reported.done == {"01 KZ"}
    assert history.reported.seen == {"01 KZ"}


def test_outcome_query_settles_an_unknown_write():
    history = History()
    steps = [Write("01 KZ", 0, Fault.DELAYED), Ask("01 KZ", 1), Event("late"), Write("01 KZ", 1)]
    assert history.run(steps) == set()
    assert history.reported.cancelled == {"01 KZ"}
    assert not history.reported.done


def test_outcome_query_about_an_old_write_does_not_lower_the_session_marks():
    history = History()
    steps = [Write("01 KZ"), Event("probe"), Event("lag"), Write("02 KZ"), Ask("01 KZ", 2)]
    assert history.run([*steps, Read(2), Read(1)]) == set()


def test_retry_is_confirmed_even_on_a_route_without_confirmation():
    history = History()
    history.tree = make_tree(SETTINGS.replace("[root]", "[root]\nconfirm_majority = false"))
    history.step(Event("isolate"))
    req = Statement(route=ROUTE, sql="INSERT INTO offers VALUES ('x')", access=Access.WRITE)
    first, retried = (history.send(0, req, "once") for _ in range(2))
    assert isinstance(first, Ok)
    assert retried.err_value.ending is Ending.UNKNOWN
    history.group.loop.close()


def test_outcome_query_without_a_primary_stays_unknown():
    history = History()
    steps = [Write("01 KZ", 0, Fault.DROP), Event("kill"), Event("probe"), Ask("01 KZ", 1)]
    assert history.run(steps) == set()
    assert not history.reported.cancelled


@settings(max_examples=250)
@given(STEPS)
def test_reported_outcomes_are_correct_under_random_faults(steps):
    assert History().run(steps) == set()


@pytest.fixture(scope="module")
def key(fleet):
    granted = grant_key(fleet, WORKSPACE)
    with fleet.session("astana-a-1", workspace=WORKSPACE, key=granted) as session:
        session.write(ROUTE, "CREATE TABLE lodged (plate TEXT)")
    return granted


@pytest.mark.parametrize("lost", [1, 2])
def test_session_retries_a_lost_write(fleet, key, lost):
    instances = ("astana-a-1", "astana-b-1", "karaganda-1")
    plate = f"lost {lost}"
    with fleet.session(*instances, workspace=WORKSPACE, key=key) as session:
        fleet.set_faults("valuation-core-1-a", lose_answers=lost)
        written = session.write(ROUTE, "INSERT INTO lodged VALUES (?)", plate)
        counted = session.read(ROUTE, "SELECT count(*) FROM lodged WHERE plate = ?", plate)
    assert (written.ending, written.repeated) == (Ending.DONE, True)
    assert counted.rows == [(1,)]


def test_outcome_query_by_request_id_returns_or_settles_the_outcome(fleet, key):
    with fleet.session("astana-b-1", workspace=WORKSPACE, key=key) as session:
        session.write(ROUTE, "INSERT INTO lodged VALUES ('asked')", request_id="asked-1")
        assert session.ask_outcome(ROUTE, "asked-1").ending is Ending.DONE
        with pytest.raises(OutcomeForgotten):
            session.ask_outcome(ROUTE, "asked-2")
        with pytest.raises(OutcomeForgotten):
            session.ask_outcome(ROUTE, "asked-2", sent_ago_s=7200)
        assert session.ask_outcome(ROUTE, "asked-2", sent_ago_s=1).ending is Ending.NOT_RUN
        with pytest.raises(RequestCancelled) as exc_info:
            session.write(ROUTE, "INSERT INTO lodged VALUES ('asked')", request_id="asked-2")
        assert exc_info.value.ending is Ending.NOT_RUN


def test_refused_retry_does_not_hide_a_lost_attempt():
    lost, refused = LinkLost("gone"), Overloaded("busy", retry_after_ms=5)
    assert final_error(lost, lost, "r") is lost
    assert final_error(refused, None, "r").ending is Ending.NOT_RUN
    assert final_error(refused, lost, "r").ending is Ending.UNKNOWN
    assert final_error(RequestCancelled("cancelled"), lost, "r").ending is Ending.NOT_RUN


def test_retries_stay_a_share_of_the_requests_when_all_requests_fail():
    clock = ManualClock()
    budget = RetryBudget(share=0.1, burst=10)
    policy = RetryPolicy(budget, random.Random(1))
    retries = 0
    for _ in range(1000):
        budget.add_request()
        deadline = Deadline.after_ms(clock, 1000)
        attempt = 1
        while policy.retry_delay_s(LinkLost("gone"), attempt, deadline) is not None:
            attempt += 1
            retries += 1
    assert retries <= 10 + 0.1 * 1000


def test_retry_delay_by_error():
    policy = RetryPolicy(RetryBudget(), random.Random(1))
    deadline = Deadline.after_ms(ManualClock(), 1000)
    assert policy.retry_delay_s(Draining("stopping"), 1, deadline) == 0
    assert 0.2 <= policy.retry_delay_s(NoPrimary("none", retry_after_ms=200), 1, deadline) <= 0.3
    withdrawn = KeyWithdrawn("withdrawn", ending=Ending.UNKNOWN)
    assert policy.retry_delay_s(withdrawn, 1, deadline) is None
    assert policy.retry_delay_s(OutcomeForgotten("none"), 1, deadline) is None
    assert policy.retry_delay_s(Overloaded("busy", retry_after_ms=10), 1, deadline) is None
    assert policy.retry_delay_s(OutcomeUnknown("lost", retry_after_ms=2000), 1, deadline) is None


def test_recorded_outcomes_are_deleted_after_their_longest_age():
    clock = ManualClock()
    database = Database(clock.wall, outcome_retention_ms=100_000)
    for number in range(20):
        database.record_not_run(1, f"id {number}")
        clock.advance(10)
    count = database._visible.execute("SELECT count(*) FROM quetzalrudder_requests").fetchone()
    assert count == (11,)
    assert database.outcome("id 19") is not None
    assert database.outcome("id 1") is None
    assert not database.retains_outcome(100_000)


def test_session_retries_a_write_elsewhere_when_its_instance_is_paused(fleet, key):
    insert = "INSERT INTO lodged VALUES (?)"
    with fleet.session("karaganda-1", "astana-b-1", workspace=WORKSPACE, key=key) as session:
        session.timeout_s = 2.0
        first = session.write(ROUTE, insert, "before the pause")
        fleet.signal("karaganda-1", signal.SIGSTOP)
        try:
            written = session.write(ROUTE, insert, "in the pause")
        finally:
            fleet.signal("karaganda-1", signal.SIGCONT)
        assert (first.instance, written.instance) == ("karaganda-1", "astana-b-1")
        with fleet.session("karaganda-1", workspace=WORKSPACE, key=key) as resumed:
            resumed.token = session.token
            sql = "SELECT count(*) FROM lodged WHERE plate = 'in the pause'"
            assert resumed.read(ROUTE, sql).rows == [(1,)]
        assert session.read(ROUTE, sql).rows == [(1,)]


@pytest.mark.parametrize("exc_type", [ConnectionLimitReached, NoPrimary, TargetUnavailable])
def test_refused_request_is_retried_at_another_instance_within_the_deadline(exc_type):
    clock = ManualClock()
    policy = RetryPolicy(RetryBudget(), random.Random(1))
    exc = exc_type("refused", retry_after_ms=50)
    assert policy.retry_delay_s(exc, 1, Deadline.after_ms(clock, 1000)) >= 0.05
    assert policy.retry_delay_s(exc, 1, Deadline.after_ms(clock, 10)) is None
    assert (
        policy.retry_delay_s(
            RateExceeded("used up", retry_after_ms=50), 1, Deadline.after_ms(clock, 1000)
        )
        is None
    )
