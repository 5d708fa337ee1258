"""Tests of connections that a few instances own and lend to the rest of a large fleet."""

import itertools
import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from quetzalrudder.exceptions import (
    LinkLost,
    OutcomeUnknown,
    Overloaded,
    TargetUnavailable,
    TransactionAborted,
)
from quetzalrudder.gateway.assignments import LARGE_FLEET, rank
from quetzalrudder.gateway.borrowing import (
    CONNECT_TRIAL_INTERVAL_S,
    CONNECTION_OWNERS,
    owners_of,
    watchers_of,
)
from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.gateway.lending import FIRST_STATEMENT_TIMEOUT_S, LENT_IDLE_TIMEOUT_S
from quetzalrudder.gateway.lent_messages import (
    decode_reply,
    decode_statement,
    encode_reply,
    encode_statement,
)
from quetzalrudder.gateway.slot_links import SlotLimitedLink
from quetzalrudder.gateway.slots import SlotLimiter
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
from quetzalrudder.gateway.targets import LogPosition
from quetzalrudder.gateway.wait_queue import Claim, Urgency
from quetzalrudder.schema.common import Ending
from quetzalrudder.schema.gateway import LentStatement, PositionRequest, RunReply
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet, catalog

NAMES = tuple(f"edge-{number}" for number in range(LARGE_FLEET + 2))
MAX_CONNECTIONS = 12
REFUSED = "statements refused on arrival"


@pytest.fixture
def fleet():
    started = GatewayFleet(NAMES)
    # More at once than any test sends, so that no rate is exceeded.
    workspaces = {name: Workspace(name, 100.0, 300.0) for name in ("almaty", "astana")}
    for instance in started.instances:
        instance.gateway.catalogs.update_if_newer(catalog(2, workspaces=workspaces), b"2")
    started.group.max_connections = MAX_CONNECTIONS
    started.run(3.0, started.all_know_primary)
    started.run(4.0)
    started.group.executed.clear()
    return started


def primary(fleet):
    return fleet[0].gateway.registry.queryable("db-1")


def owner_names(fleet):
    return [record.instance for record in owners_of(fleet[0].gateway.view, primary(fleet))]


def borrowers(fleet):
    owners = owner_names(fleet)
    return [instance for instance in fleet.instances if instance.name not in owners]


def test_every_instance_runs_statements_with_fewer_connections_than_instances(fleet):
    for instance in fleet.instances:
        for key in ("key-1", "key-2"):
            session = instance.gateway.open_session("offers", key)
            assert session.execute(f"{instance.name}-{key}", Write("a", "1")).error is None
            session.close()
    assert all(db.open_links <= MAX_CONNECTIONS for db in fleet.group.databases.values())
    written = [entry for entry in fleet.group.executed if isinstance(entry[2], Write)]
    assert len(written) == 2 * len(NAMES)
    assert {entry[3] for entry in written} == {"almaty", "astana"}


def test_idle_connections_are_reused_instead_of_opening_more(fleet):
    def write_everywhere():
        for instance in fleet.instances:
            session = instance.session()
            assert session.execute("w", Write("a", "1")).error is None
            session.close()

    write_everywhere()
    opened = fleet.group.links_opened
    for _ in range(3):
        write_everywhere()
    assert fleet.group.links_opened == opened


def test_a_borrowed_transaction_keeps_its_connection_and_its_session_values(fleet):
    session = borrowers(fleet)[0].session()
    session.execute("1", SetValue("zone", "kz"))
    session.execute("2", Prepare("p", True, "put"))
    session.execute("3", Begin(False))
    assert session.execute("4", Execute("p", "a 1")).error is None
    other = borrowers(fleet)[1].session()
    assert other.execute("5", Write("b", "2")).error is None
    assert session.execute("6", Read("a")).error is None
    assert session.execute("7", Commit()).error is None
    values = {entry[1]: entry[4] for entry in fleet.group.executed}
    assert values["4"] == values["6"] == {"zone": "kz"}
    assert values["5"] == {}


def test_a_rollback_reaches_the_database_and_frees_the_connection(fleet):
    instance = borrowers(fleet)[0]
    session = instance.session()
    session.execute("1", Begin(False))
    session.execute("2", Write("a", "1"))
    assert session.execute("3", Rollback()).error is None
    assert fleet.group["db-1"].log == []
    assert sum(other.gateway.lender.open_checkouts for other in fleet.instances) == 0


def test_a_write_whose_answer_from_the_owner_is_lost_is_unknown_and_not_repeated(fleet):
    instance = borrowers(fleet)[0]
    session = instance.session()
    run = instance.run

    def run_and_lose_answer(address, req, timeout_s):
        run(address, req, timeout_s)
        return Err(LinkLost("no answer", place=address))

    instance.run = run_and_lose_answer
    answer = session.execute("1", Write("a", "1"))
    assert isinstance(answer.error, OutcomeUnknown)
    assert [entry[1] for entry in fleet.group.executed] == ["1"]


def test_another_owner_lends_connections_after_one_was_killed(fleet):
    owners = owner_names(fleet)
    del fleet.by_name[owners[0]]
    for instance in borrowers(fleet):
        for key in ("key-1", "key-2"):
            session = instance.gateway.open_session("offers", key)
            assert session.execute("w", Write("a", "1")).error is None


def test_statements_do_not_call_owners_that_cannot_be_connected_to(fleet):
    """A data centre is cut off: of the statements that come, one tries its owners now and then."""
    owners = owner_names(fleet)
    instance = borrowers(fleet)[0]
    instance.session().execute("before", Write("a", "1"))
    calls = []
    run = instance.run

    def run_unless_cut(address, req, timeout_s):
        if address not in owners:
            return run(address, req, timeout_s)
        calls.append(address)
        return Err(TargetUnavailable("cannot connect to the peer", place=address))

    instance.run = run_unless_cut
    started = fleet.clock.now
    for number in range(40):
        answer = instance.session().execute(f"w{number}", Write("a", "1"))
        assert answer.error is not None
        assert answer.error.ending is Ending.NOT_RUN
    trials = 1 + (fleet.clock.now - started) / CONNECT_TRIAL_INTERVAL_S
    assert 0 < len(calls) <= trials * len(owners)
    instance.run = run
    fleet.run(5.0)
    for number in range(5):
        assert instance.session().execute(f"r{number}", Write("a", "1")).error is None


def test_a_frozen_owner_leaves_at_most_one_write_of_each_instance_unknown(fleet):
    owners = owner_names(fleet)
    fleet.by_name[owners[0]].frozen = True
    for instance in borrowers(fleet):
        unknown = 0
        for number in range(6):
            for key in ("key-1", "key-2"):
                session = instance.gateway.open_session("offers", key)
                error = session.execute(f"{number}", Write("a", "1")).error
                assert error is None or isinstance(error, OutcomeUnknown)
                unknown += error is not None
        assert unknown <= 1


def test_reads_at_a_frozen_owner_are_repeated_at_another_one(fleet):
    owners = owner_names(fleet)
    fleet.by_name[owners[0]].frozen = True
    for instance in borrowers(fleet):
        for key in ("key-1", "key-2"):
            session = instance.gateway.open_session("offers", key)
            assert session.execute("r", Read("a")).error is None


def test_the_transaction_of_a_borrower_that_died_is_rolled_back(fleet):
    instance = borrowers(fleet)[0]
    session = instance.session()
    session.execute("1", Begin(False))
    session.execute("2", Write("a", "1"))
    lenders = [other.gateway.lender for other in fleet.instances]
    assert sum(lender.open_checkouts for lender in lenders) == 1
    fleet.clock.advance(LENT_IDLE_TIMEOUT_S + 1)
    for lender in lenders:
        lender.reclaim_idle()
    assert sum(lender.open_checkouts for lender in lenders) == 0
    assert fleet.group["db-1"].log == []


def test_a_connection_is_reclaimed_soon_if_the_answer_to_begin_was_lost(fleet):
    instance = borrowers(fleet)[0]
    run = instance.run

    def run_and_lose_answer(address, req, timeout_s):
        run(address, req, timeout_s)
        return Err(LinkLost("no answer", place=address))

    session = instance.session("quick")
    session.execute("1", Begin(False))
    instance.run = run_and_lose_answer
    assert session.execute("2", Write("a", "1")).error is not None
    fleet.clock.advance(FIRST_STATEMENT_TIMEOUT_S + 0.1)
    for other in fleet.instances:
        other.gateway.lender.reclaim_idle()
    assert sum(other.gateway.lender.open_checkouts for other in fleet.instances) == 0


def test_an_instance_without_a_recent_position_reads_at_a_replica_by_an_owners_position(fleet):
    fleet.group.replicate()
    instance = borrowers(fleet)[0]
    session = instance.session("prices")
    assert session.execute("1", Read("a")).error is None
    assert [entry[0] for entry in fleet.group.executed] != ["db-1"]


def test_the_position_of_an_owner_covers_earlier_writes(fleet):
    session = borrowers(fleet)[0].session()
    assert session.execute("1", Write("a", "1")).error is None
    fleet.run(2.0)
    # The replicas lack the write, and the route allows no answer that is this old.
    reader = borrowers(fleet)[1].session("prices")
    assert reader.execute("2", Read("a")).error is None
    assert [entry[0] for entry in fleet.group.executed if entry[1] == "2"] == ["db-1"]


def test_a_lost_primary_is_replaced_once_its_watchers_report_it(fleet):
    watchers = watchers_of(fleet[0].gateway.view, "g", primary(fleet))
    assert CONNECTION_OWNERS <= len(watchers) < LARGE_FLEET / 2
    fleet.group["db-1"].up = False
    took_s = fleet.run(
        10.0,
        lambda: (
            all(i.gateway.primaries.usable_primary("g") not in (None,) for i in fleet.instances)
            and fleet.group.promotions
        ),
    )
    assert took_s is not None
    assert took_s < 7.0


def test_only_watchers_probe_the_primary(fleet):
    probing = []
    for instance in fleet.instances:
        prober = instance.gateway.prober
        status = prober.status
        prober.status = lambda target, name=instance.name, status=status: (
            probing.append(name),
            status(target),
        )[1]
    fleet.run(5.0)
    assert set(probing) <= watchers_of(fleet[0].gateway.view, "g", primary(fleet))


def test_a_slot_limiter_serves_open_transactions_first():
    clock = ManualClock()
    limiter = SlotLimiter(lambda: 1, lambda: None, clock)

    def claim(rank):
        return Claim(Urgency(rank, 1, clock.now + 1.0), "almaty", clock.now + 1.0)

    assert limiter.acquire(claim(1))
    waits = []

    def wait(event, timeout_s):
        waits.append(len(waits))
        if len(waits) == 2:
            limiter.release_unanswered()
        return event.is_set()

    clock.wait = wait
    assert not limiter.acquire(claim(1))
    assert limiter.acquire(claim(0))


def fill_queue(gateway, target, clock, *, statements=60, service_s=0.5):
    """Let a queue know a service time, and fill its slots and the queue."""
    limiter = gateway.limiters.for_target(target)
    due_at = clock.monotonic() + 0.2
    waiting = Claim(Urgency(1, 1, due_at), "almaty", due_at + 60.0)
    for _ in range(20):
        limiter.enqueue(waiting)
        limiter.release(1, service_s)
    return [limiter.enqueue(waiting) for _ in range(statements)]


def test_what_no_owner_can_serve_in_time_is_refused_at_once_and_not_sent_again(fleet, caplog):
    target = primary(fleet)
    owners = [i for i in fleet.instances if i.name in owner_names(fleet)]
    for owner in owners:
        fill_queue(owner.gateway, target, fleet.clock)
    instance = borrowers(fleet)[0]
    before = fleet.clock.monotonic()
    reply = instance.session().execute("late", Write("a", "1"))
    assert isinstance(reply.error, Overloaded)
    assert reply.error.ending is Ending.NOT_RUN
    assert reply.error.retry_after_ms > 1000
    assert fleet.clock.monotonic() - before < 0.2
    assert not [entry for entry in fleet.group.executed if entry[1] == "late"]
    calls = []
    for owner in owners:
        owner.gateway.lender.run = calls.append
    assert isinstance(instance.session().execute("2", Write("a", "1")).error, Overloaded)
    assert calls == []
    assert instance.gateway.planner._pool.expected_delay_s(target) > 1.0
    [line] = {r.refused: r for r in caplog.records if r.message == REFUSED}.values()
    assert line.by_workspace == {"almaty": 1}


def test_a_statement_goes_to_the_owner_with_the_shorter_queue(fleet):
    target = primary(fleet)
    owners = {i.name: i for i in fleet.instances if i.name in owner_names(fleet)}
    preferred = rank(f"almaty@{target.target}", owners)[0]
    fill_queue(owners[preferred].gateway, target, fleet.clock)
    session = borrowers(fleet)[0].session()
    started = fleet.clock.monotonic()
    assert session.execute("1", Write("a", "1")).error is None
    assert fleet.clock.monotonic() - started < 0.2


def test_a_statement_that_waits_for_a_slot_keeps_time_to_run():
    """A slot at the end of the timeout would lose the connection with the answer."""
    clock = ManualClock()
    limiter = SlotLimiter(lambda: 1, lambda: None, clock)
    link = SlotLimitedLink(None, lambda: limiter, clock)
    link.claim = Claim(Urgency(1, 1, clock.now), "almaty", clock.now + 9.0)
    limiter.enqueue(link.claim)
    started = clock.now
    reply = link.run("r", Read("a"), 0.4).ok_value
    assert reply.fault is TargetFault.BUSY
    assert 0.2 < clock.now - started <= 0.31


texts = st.text(st.characters(codec="latin-1"), max_size=30)
statements = st.one_of(
    st.builds(Begin, st.booleans()),
    st.just(Commit()),
    st.just(Rollback()),
    st.builds(Read, texts),
    st.builds(Write, texts, texts),
    st.builds(SetValue, texts, texts),
    st.builds(Prepare, texts, st.booleans(), texts),
    st.builds(Execute, texts, texts),
)
replies = st.builds(
    TargetReply,
    st.sampled_from(SessionState),
    st.lists(texts, max_size=4).map(tuple),
    texts,
    st.none() | st.sampled_from(TargetFault),
    texts,
    st.none() | st.builds(LogPosition, st.integers(0, 2**40), st.integers(0, 2**40)),
)


@given(statements)
def test_statements_are_unchanged_by_encoding_and_decoding(statement):
    encoded = bytes(encode_statement(statement))
    assert decode_statement(LentStatement.parse(encoded)) == statement


@given(replies)
def test_answers_are_unchanged_by_encoding_and_decoding(reply):
    assert decode_reply(RunReply.parse(bytes(encode_reply(reply)))) == reply


def test_an_instance_that_stops_owning_connections_closes_its_idle_ones(fleet):
    owners = owner_names(fleet)
    for instance in fleet.instances:
        instance.session().execute("w", Write("a", "1"))
        instance.gateway.open_session("offers", "key-2").execute("w", Write("a", "1"))
    leaving = fleet.by_name[owners[0]].gateway
    leaving.begin_stop()
    leaving.pool.trim()
    assert leaving.pool._pool_of(primary(fleet))._open_count <= 1
    borrower = borrowers(fleet)[0]
    for key in ("key-1", "key-2"):
        session = borrower.gateway.open_session("offers", key)
        assert session.execute("w", Write("a", "1")).error is None


class RandomFaults:
    """Sessions at random instances while owners freeze or restart and answers are lost."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = GatewayFleet(NAMES, seed)
        self.fleet.run(3.0, self.fleet.all_know_primary)
        self.fleet.run(4.0)
        self.errors = {}
        self.sequence = itertools.count()

    def lose_answer(self, instance):
        """Fail the next call to an owner, before or after it has run the statement."""
        run, before = instance.run, self.rng.random() < 0.5

        def run_and_fail(address, req, timeout_s):
            instance.run = run
            if not before:
                run(address, req, timeout_s)
            return Err(LinkLost("no answer", place=address))

        instance.run = run_and_fail

    def inject_fault(self):
        instance = self.rng.choice(self.fleet.instances)
        match self.rng.randrange(5):
            case 0:
                instance.frozen = not instance.frozen
            case 1:
                self.fleet.start(instance.name, self.rng.randrange(1000))
            case 2:
                self.lose_answer(instance)
            case 3:
                self.fleet.group["db-1"].busy_replies_left = 2
            case 4:
                for other in self.fleet.instances:
                    other.frozen = False
                    other.gateway.lender.reclaim_idle()

    def run_session(self):
        instance = self.rng.choice([i for i in self.fleet.instances if not i.frozen])
        session = instance.gateway.open_session("quick", self.rng.choice(["key-1", "key-2"]))
        data = f"d{next(self.sequence)}"
        session.execute("set", SetValue("who", data))
        if self.rng.random() < 0.5:
            self.errors[data] = session.execute(data, Write("a", data)).error
        else:
            self.run_transaction(session, data)
        session.close()

    def run_transaction(self, session, data):
        answers = [session.execute(f"b-{data}", Begin(False))]
        answers.append(session.execute(data, Write("a", data)))
        if self.rng.random() < 0.2:
            self.fleet.run(0.1)
        last = Rollback() if self.rng.random() < 0.3 else Commit()
        if all(answer.error is None for answer in answers):
            answers.append(session.execute(f"c-{data}", last))
        error = answers[-1].error
        rolled_back = isinstance(last, Rollback) and error is None
        self.errors[data] = TransactionAborted("rolled back") if rolled_back else error

    def run(self):
        for _ in range(120):
            if self.rng.random() < 0.25:
                self.inject_fault()
            if any(not instance.frozen for instance in self.fleet.instances):
                self.run_session()
            self.fleet.run(0.05)


@pytest.mark.parametrize("seed", range(6))
def test_endings_and_session_values_are_correct_under_random_faults(seed):
    scenario = RandomFaults(seed)
    scenario.run()
    writes = Counter(data for _, _, data in scenario.fleet.group["db-1"].log)
    assert max(writes.values()) == 1
    for data, error in scenario.errors.items():
        if error is None:
            assert writes[data] == 1
        elif error.ending is Ending.NOT_RUN:
            assert writes[data] == 0, error
    for _, _, statement, _, values in scenario.fleet.group.executed:
        if isinstance(statement, Write):
            assert values == {"who": statement.data}
    assert sum(error is None for error in scenario.errors.values()) > 40


def test_an_unresponsive_primary_is_queried_once_for_many_position_requests(fleet):
    owner = fleet.by_name[owner_names(fleet)[0]].gateway
    fleet.clock.advance(10)
    queried = []
    owner.positions._query_primary = queried.append
    for _ in range(20):
        owner.answer_position(PositionRequest(group="g"))
    assert queried == ["g"]


def test_values_set_in_a_transaction_that_fails_are_reset_at_the_owner(fleet):
    session = borrowers(fleet)[0].session()
    session.execute("1", SetValue("zone", "kz"))
    session.execute("2", Begin(False))
    assert session.execute("3", Write("a", "1")).error is None
    session.execute("4", SetValue("zone", "ch"))
    assert session.execute("5", Write("a", "2")).error is None

    def abort(link, request_id, statement):
        if isinstance(statement, Commit):
            link.state = SessionState.IDLE
            link.values["zone"] = "undone by the database"
            return Ok(TargetReply(SessionState.IDLE, fault=TargetFault.ABORTED))
        return None

    fleet.group["db-1"].script = abort
    assert session.execute("6", Commit()).error is not None
    fleet.group["db-1"].script = None
    fleet.group.executed.clear()
    other = borrowers(fleet)[1].session()
    other.execute("7", SetValue("zone", "ch"))
    assert other.execute("8", Write("b", "1")).error is None
    assert [entry[4] for entry in fleet.group.executed] == [{"zone": "ch"}]


def test_an_owner_times_out_before_its_borrower(fleet):
    instance = borrowers(fleet)[0]
    timeouts = []
    run = instance.run

    def record_timeouts(address, req, timeout_s):
        timeouts.append((req.timeout_ms / 1000, timeout_s))
        return run(address, req, timeout_s)

    instance.run = record_timeouts
    instance.session().execute("1", Write("a", "1"))
    assert all(owner_s < borrower_s for owner_s, borrower_s in timeouts)


def test_a_read_that_a_replica_refuses_is_sent_to_it_once(fleet):
    for instance in fleet.instances:
        for target in instance.gateway.registry.targets_in_group("g"):
            if target.target != "db-1":
                limiter = instance.gateway.limiters.for_target(target)
                # Between what the owner allows and what the borrower allows.
                limiter.expected_delay_s = lambda claim, also_ahead=None: 0.3
    borrower = borrowers(fleet)[0]
    calls = []
    run = borrower.run
    borrower.run = lambda address, req, timeout_s: (
        calls.append(req.request_id) or run(address, req, timeout_s)
    )
    answer = borrower.session("prices").execute("r", Read("a"))
    assert answer.error is None
    assert len(calls) <= 3


def test_an_owner_that_stops_keeps_its_connections_for_its_own_callers(fleet):
    target = fleet.group["db-1"].info
    owner = owners_of(fleet[0].gateway.view, target)[0].instance
    gateway = fleet.by_name[owner].gateway
    before = gateway._connection_limit(target)
    gateway.begin_stop()
    assert before > 1
    assert gateway._connection_limit(target) == before
