"""Connections that a few instances hold for a large fleet."""

import itertools
import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from quetzalrudder.exceptions import LinkLost, OutcomeUnknown, TransactionAborted
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.borrowing import CONNECTION_OWNERS, owners_of, watchers_of
from quetzalrudder.gateway.lending import FIRST_PAUSE_S, IDLE_S
from quetzalrudder.gateway.lent_messages import (
    decode_reply,
    decode_statement,
    encode_reply,
    encode_statement,
)
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
from quetzalrudder.schema.common import Ending
from quetzalrudder.schema.gateway import LentStatement, PositionRequest, RunReply
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet

NAMES = tuple(f"edge-{number}" for number in range(LARGE_FLEET + 2))
CONNECTIONS = 12


@pytest.fixture
def fleet():
    running = GatewayFleet(NAMES)
    running.group.max_connections = CONNECTIONS
    running.run(3.0, running.settled)
    running.run(4.0)
    running.group.ran.clear()
    return running


def primary(fleet):
    return fleet[0].gateway.registry.get("db-1")


def owner_names(fleet):
    return [record.instance for record in owners_of(fleet[0].gateway.view, primary(fleet))]


def borrowers(fleet):
    owners = owner_names(fleet)
    return [instance for instance in fleet.instances if instance.name not in owners]


def test_every_instance_is_served_though_each_cannot_have_a_connection(fleet):
    for instance in fleet.instances:
        for key in ("key-1", "key-2"):
            session = instance.gateway.open_session("offers", key)
            assert session.execute(f"{instance.name}-{key}", Write("a", "1")).error is None
            session.close()
    assert all(db.open_links <= CONNECTIONS for db in fleet.group.databases.values())
    written = [entry for entry in fleet.group.ran if isinstance(entry[2], Write)]
    assert len(written) == 2 * len(NAMES)
    assert {entry[3] for entry in written} == {"almaty", "astana"}


def test_connections_are_found_again_instead_of_opened(fleet):
    def write_everywhere():
        for instance in fleet.instances:
            session = instance.session()
            assert session.execute("w", Write("a", "1")).error is None
            session.close()

    write_everywhere()
    opened = fleet.group.opened
    for _ in range(3):
        write_everywhere()
    assert fleet.group.opened == opened


def test_a_borrowed_transaction_keeps_its_connection_and_the_sessions_values(fleet):
    session = borrowers(fleet)[0].session()
    session.execute("1", SetValue("zone", "kz"))
    session.execute("2", Prepare("p", True, "put"))
    session.execute("3", Begin(False))
    assert session.execute("4", Execute("p", "a 1")).error is None
    other = borrowers(fleet)[1].session()
    assert other.execute("5", Write("b", "2")).error is None
    assert session.execute("6", Read("a")).error is None
    assert session.execute("7", Commit()).error is None
    values = {entry[1]: entry[4] for entry in fleet.group.ran}
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


def test_a_write_whose_answer_the_holder_lost_is_unknown_and_not_repeated(fleet):
    instance = borrowers(fleet)[0]
    session = instance.session()
    carry = instance.run

    def lose(address, req, timeout_s):
        carry(address, req, timeout_s)
        return Err(LinkLost("no answer", place=address))

    instance.run = lose
    answer = session.execute("1", Write("a", "1"))
    assert isinstance(answer.error, OutcomeUnknown)
    assert [entry[1] for entry in fleet.group.ran] == ["1"]


def test_another_holder_serves_when_one_was_killed(fleet):
    owners = owner_names(fleet)
    del fleet.by_name[owners[0]]
    for instance in borrowers(fleet):
        for key in ("key-1", "key-2"):
            session = instance.gateway.open_session("offers", key)
            assert session.execute("w", Write("a", "1")).error is None


def test_a_frozen_holder_costs_each_instance_at_most_one_write(fleet):
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


def test_reads_at_a_frozen_holder_go_to_another_one(fleet):
    owners = owner_names(fleet)
    fleet.by_name[owners[0]].frozen = True
    for instance in borrowers(fleet):
        for key in ("key-1", "key-2"):
            session = instance.gateway.open_session("offers", key)
            assert session.execute("r", Read("a")).error is None


def test_a_borrower_that_dies_in_a_transaction_leaves_nothing_behind(fleet):
    instance = borrowers(fleet)[0]
    session = instance.session()
    session.execute("1", Begin(False))
    session.execute("2", Write("a", "1"))
    lenders = [other.gateway.lender for other in fleet.instances]
    assert sum(lender.open_checkouts for lender in lenders) == 1
    fleet.clock.advance(IDLE_S + 1)
    for lender in lenders:
        lender.expire()
    assert sum(lender.open_checkouts for lender in lenders) == 0
    assert fleet.group["db-1"].log == []


def test_a_loan_whose_begin_was_not_answered_comes_back_soon(fleet):
    instance = borrowers(fleet)[0]
    carry = instance.run

    def lose(address, req, timeout_s):
        carry(address, req, timeout_s)
        return Err(LinkLost("no answer", place=address))

    session = instance.session("quick")
    session.execute("1", Begin(False))
    instance.run = lose
    assert session.execute("2", Write("a", "1")).error is not None
    fleet.clock.advance(FIRST_PAUSE_S + 0.1)
    for other in fleet.instances:
        other.gateway.lender.expire()
    assert sum(other.gateway.lender.open_checkouts for other in fleet.instances) == 0


def test_a_quiet_instance_reads_at_a_replica_by_a_position_that_a_holder_tells(fleet):
    fleet.group.replicate()
    instance = borrowers(fleet)[0]
    session = instance.session("prices")
    assert session.execute("1", Read("a")).error is None
    assert [entry[0] for entry in fleet.group.ran] != ["db-1"]


def test_the_told_position_covers_what_was_written_before_it(fleet):
    session = borrowers(fleet)[0].session()
    assert session.execute("1", Write("a", "1")).error is None
    fleet.run(2.0)
    # The replicas have not received the write, which is older than the route allows.
    reader = borrowers(fleet)[1].session("prices")
    assert reader.execute("2", Read("a")).error is None
    assert [entry[0] for entry in fleet.group.ran if entry[1] == "2"] == ["db-1"]


def test_a_lost_primary_is_replaced_by_the_word_of_its_watchers(fleet):
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


def test_questions_come_from_watchers_only(fleet):
    asked = []
    for instance in fleet.instances:
        prober = instance.gateway.prober
        ask = prober.status
        prober.status = lambda target, name=instance.name, ask=ask: (
            asked.append(name),
            ask(target),
        )[1]
    fleet.run(5.0)
    assert set(asked) <= watchers_of(fleet[0].gateway.view, "g", primary(fleet))


def test_a_gate_lets_open_transactions_go_first():
    clock = ManualClock()
    limiter = SlotLimiter(lambda: 1, clock)
    assert limiter.enter(1, 1.0)
    order = []

    def waited(event, timeout_s):
        order.append(len(order))
        if len(order) == 2:
            limiter.leave()
        return event.is_set()

    clock.wait = waited
    assert not limiter.enter(1, 1.0)
    assert limiter.enter(0, 1.0)


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
def test_statements_travel_unchanged(statement):
    sent = bytes(encode_statement(statement))
    assert decode_statement(LentStatement.parse(sent)) == statement


@given(replies)
def test_answers_travel_unchanged(reply):
    assert decode_reply(RunReply.parse(bytes(encode_reply(reply)))) == reply


def test_an_instance_that_holds_no_more_closes_its_idle_connections(fleet):
    owners = owner_names(fleet)
    for instance in fleet.instances:
        instance.session().execute("w", Write("a", "1"))
        instance.gateway.open_session("offers", "key-2").execute("w", Write("a", "1"))
    leaver = fleet.by_name[owners[0]].gateway
    leaver.begin_stop()
    leaver.pool.trim()
    assert leaver.pool._pool_of(primary(fleet))._count <= 1
    borrower = borrowers(fleet)[0]
    for key in ("key-1", "key-2"):
        session = borrower.gateway.open_session("offers", key)
        assert session.execute("w", Write("a", "1")).error is None


class RandomDay:
    """Callers everywhere, while holders freeze, die, come back, and calls lose their answers."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = GatewayFleet(NAMES, seed)
        self.fleet.run(3.0, self.fleet.settled)
        self.fleet.run(4.0)
        self.endings = {}
        self.numbers = itertools.count()

    def lose(self, instance):
        """Lose the next answer of a holder, before or after it has run the statement."""
        carry, before = instance.run, self.rng.random() < 0.5

        def run(address, req, timeout_s):
            instance.run = carry
            if not before:
                carry(address, req, timeout_s)
            return Err(LinkLost("no answer", place=address))

        instance.run = run

    def disturb(self):
        instance = self.rng.choice(self.fleet.instances)
        match self.rng.randrange(5):
            case 0:
                instance.frozen = not instance.frozen
            case 1:
                self.fleet.start(instance.name, self.rng.randrange(1000))
            case 2:
                self.lose(instance)
            case 3:
                self.fleet.group["db-1"].busy = 2
            case 4:
                for other in self.fleet.instances:
                    other.frozen = False
                    other.gateway.lender.expire()

    def operate(self):
        instance = self.rng.choice([i for i in self.fleet.instances if not i.frozen])
        session = instance.gateway.open_session("quick", self.rng.choice(["key-1", "key-2"]))
        data = f"d{next(self.numbers)}"
        session.execute("set", SetValue("who", data))
        if self.rng.random() < 0.5:
            self.endings[data] = session.execute(data, Write("a", data)).error
        else:
            self.transact(session, data)
        session.close()

    def transact(self, session, data):
        answers = [session.execute(f"b-{data}", Begin(False))]
        answers.append(session.execute(data, Write("a", data)))
        if self.rng.random() < 0.2:
            self.fleet.run(0.1)
        last = Rollback() if self.rng.random() < 0.3 else Commit()
        if all(answer.error is None for answer in answers):
            answers.append(session.execute(f"c-{data}", last))
        ended = answers[-1].error
        rolled_back = isinstance(last, Rollback) and ended is None
        self.endings[data] = TransactionAborted("rolled back") if rolled_back else ended

    def play(self):
        for _ in range(120):
            if self.rng.random() < 0.25:
                self.disturb()
            if any(not instance.frozen for instance in self.fleet.instances):
                self.operate()
            self.fleet.run(0.05)


@pytest.mark.parametrize("seed", range(6))
def test_endings_are_true_and_values_the_sessions_own_on_random_days(seed):
    day = RandomDay(seed)
    day.play()
    times = Counter(data for _, _, data in day.fleet.group["db-1"].log)
    assert max(times.values()) == 1
    for data, error in day.endings.items():
        if error is None:
            assert times[data] == 1
        elif error.ending is Ending.NOT_RUN:
            assert times[data] == 0, error
    for _, _, statement, _, values in day.fleet.group.ran:
        if isinstance(statement, Write):
            assert values == {"who": statement.data}
    assert sum(error is None for error in day.endings.values()) > 40


def test_a_silent_primary_is_not_asked_by_everyone_who_waits_for_its_position(fleet):
    owner = fleet.by_name[owner_names(fleet)[0]].gateway
    fleet.clock.advance(10)
    asked = []
    owner.positions._ask_primary = asked.append
    for _ in range(20):
        owner.answer_position(PositionRequest(group="g"))
    assert asked == ["g"]


def test_values_set_in_a_transaction_that_fails_are_reset_at_the_holder(fleet):
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
    fleet.group.ran.clear()
    other = borrowers(fleet)[1].session()
    other.execute("7", SetValue("zone", "ch"))
    assert other.execute("8", Write("b", "1")).error is None
    assert [entry[4] for entry in fleet.group.ran] == [{"zone": "ch"}]


def test_a_silent_database_is_not_taken_for_a_silent_holder(fleet):
    instance = borrowers(fleet)[0]
    given = []
    carry = instance.run

    def note(address, req, timeout_s):
        given.append((req.timeout_ms / 1000, timeout_s))
        return carry(address, req, timeout_s)

    instance.run = note
    instance.session().execute("1", Write("a", "1"))
    assert all(owner_s < borrower_s for owner_s, borrower_s in given)
