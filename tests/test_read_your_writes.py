import random
from functools import partial

import pytest

from quetzalrudder.adapters import TargetInfo
from quetzalrudder.exceptions import (
    InvalidToken,
    NoPrimary,
    NoReplica,
    PositionLost,
    QuetzalrudderError,
)
from quetzalrudder.groups import GroupTable, is_position_dropped
from quetzalrudder.routing import ReadPolicy, ReadRouter
from quetzalrudder.schema.caller import Access, Statement
from quetzalrudder.schema.common import Ending, Position, TermStart
from quetzalrudder.schema.target import Role, State
from quetzalrudder.tokens import MAX_TOKEN_BYTES, Marks, decode_token, encode_token
from quetzalrudder.utils import Address
from standins.demo import STEPPE_SETTINGS
from standins.fleet import Fleet
from tests.clocks import ManualClock
from tests.conftest import SMALL_DEPLOYMENT
from tests.fakes import CALLER, DATA_CENTRES, GROUP, ROUTE
from tests.helpers import grant_key, wait_for
from tests.histories import SELECT, Event, History, Read, Write
from tests.naive.proxy import NaiveRunner

WORKSPACE = "steppe/branch-1"
FAIL_OVER = [Event("kill"), Event("fail-over"), Event("probe")]
HISTORIES = {
    "lagging replica": [Event("lag"), Write("01 KZ"), Event("probe"), Read(0), Read(1), Read(2)],
    "roaming": [Write("01 KZ"), Event("lag"), Write("02 KZ", 1), Read(2), Read(0)],
    "primary killed": [Event("lag"), Write("01 KZ"), *FAIL_OVER, Read(1), Read(2)],
    "instance behind": [Event("lag"), Event("isolate"), Event("fail-over"), Event("probe")]
    + [Write("01 KZ", 1), Read(0), Read(1), Event("heal"), Event("probe"), Read(0)],
}


def position(term, index):
    return Position(term=term, index=index)


class RoutingTable:
    """A group table with targets a, b and c, each in another data centre, and its router.

    Tests report the targets' states through :meth:`observe`.
    """

    def __init__(self, data_centre="astana-b"):
        self.clock = ManualClock()
        self.groups = GroupTable(self.clock)
        self.infos = [
            TargetInfo(name, GROUP, dc, Address("127.0.0.1", n + 1))
            for n, (name, dc) in enumerate(zip("abc", DATA_CENTRES, strict=True))
        ]
        self.groups.set_targets([(info, False) for info in self.infos])
        self.router = ReadRouter(self.groups, data_centre, random.Random(1), self.clock)

    def observe(self, name, index, term=1, role=Role.REPLICA, starts=((1, 1),), load=0):
        info = next(info for info in self.infos if info.target == name)
        applied = position(min(term, starts[-1][0]), index)
        state = State(
            role=role,
            term=term,
            received=applied,
            applied=applied,
            term_starts=[TermStart(term=t, first_index=i) for t, i in starts],
            active_statements=load,
        )
        self.groups.observe(info, state, self.clock.monotonic())

    def choose(self, min_position=(0, 0), max_age_ms=0, excluded=frozenset()):
        return self.router.choose(GROUP, ReadPolicy(max_age_ms, position(*min_position)), excluded)

    def chosen_target(self, *args, **kwargs):
        return self.choose(*args, **kwargs).ok_value.info.target


@pytest.mark.parametrize("case", HISTORIES)
def test_session_reads_its_own_writes(case):
    assert "own write not read" in History(NaiveRunner).run(HISTORIES[case])
    history = History()
    assert history.run(HISTORIES[case]) == set()
    assert "01 KZ" in history.reported.seen


def test_router_prefers_the_own_data_centre_and_then_the_lower_load():
    table = RoutingTable()
    table.observe("a", 9, role=Role.PRIMARY)
    table.observe("b", 9, load=5)
    table.observe("c", 9)
    assert table.chosen_target((1, 9)) == "b"
    assert table.chosen_target((1, 9), excluded=frozenset("b")) == "c"
    assert table.chosen_target() == "a"


def test_age_counts_from_the_request_and_grows_without_contact():
    table = RoutingTable()
    table.observe("a", 9, role=Role.PRIMARY)
    table.observe("b", 9)
    table.clock.advance(0.3)
    table.observe("b", 9)
    assert table.groups.age_ms(GROUP, table.groups.members(GROUP)[1].state) == pytest.approx(300)
    assert table.chosen_target(max_age_ms=400) == "b"
    assert isinstance(table.choose(max_age_ms=200).err_value, NoReplica)


def test_age_bound_requires_recent_answers_of_a_majority():
    table = RoutingTable("astana-a")
    for name in "abc":
        table.observe(name, 9, role=Role.PRIMARY if name == "a" else Role.REPLICA)
    for _ in range(10):
        table.clock.advance(0.1)
        table.observe("a", 9, role=Role.PRIMARY)
    assert isinstance(table.choose(max_age_ms=500).err_value, NoReplica)
    assert table.chosen_target(max_age_ms=1500) in "abc"


def test_replica_that_follows_a_replaced_primary_serves_no_read():
    table = RoutingTable("karaganda")
    table.observe("a", 20, role=Role.PRIMARY)
    table.observe("c", 20)
    table.observe("b", 15, term=2, role=Role.PRIMARY, starts=((1, 1), (2, 15)))
    table.observe("a", 15, term=2, starts=((1, 1), (2, 15)))
    assert table.chosen_target(max_age_ms=1000) in "ab"
    assert isinstance(table.choose((1, 20)).err_value, PositionLost)
    assert isinstance(table.choose((1, 20), max_age_ms=1000).err_value, PositionLost)


def test_token_of_an_unknown_term_is_not_served_with_stale_data():
    table = RoutingTable()
    for name in "abc":
        table.observe(name, 50, role=Role.PRIMARY if name == "a" else Role.REPLICA)
    exc = table.choose((2, 7)).err_value
    assert isinstance(exc, NoPrimary)
    assert exc.ending is Ending.NOT_RUN
    assert exc.retry_after_ms
    assert isinstance(table.choose((2, 7), max_age_ms=1000).err_value, NoReplica)


@pytest.mark.parametrize(
    ("starts", "dropped", "expected"),
    [
        ([(1, 1), (2, 10)], (1, 9), False),
        ([(1, 1), (2, 10)], (1, 10), True),
        ([(1, 1), (2, 10)], (2, 90), False),
        ([(5, 40), (6, 50)], (1, 9), True),
        ([], (1, 9), False),
        ([(1, 1), (2, 10)], (0, 0), False),
    ],
)
def test_dropped_positions(starts, dropped, expected):
    term_starts = [TermStart(term=term, first_index=index) for term, index in starts]
    assert is_position_dropped(term_starts, position(*dropped)) is expected


def test_replica_expected_to_have_caught_up_is_preferred_to_the_primary():
    table = RoutingTable()
    table.observe("a", 9, role=Role.PRIMARY)
    table.observe("b", 9)
    table.clock.advance(0.1)
    table.observe("a", 10, role=Role.PRIMARY)
    assert table.chosen_target((1, 10)) == "a"
    table.clock.advance(0.02)
    assert table.chosen_target((1, 10)) == "b"
    assert table.chosen_target((1, 10), excluded=frozenset("b")) == "a"


def test_read_at_a_replica_that_has_not_caught_up_is_retried_at_the_primary():
    history = History()
    steps = [Write("01 KZ", 1), Event("probe"), Event("lag"), Write("02 KZ", 1)]
    for step in steps:
        history.step(step)
        history.group.clock.advance(0.05)
    assert history.instances[1].groups.primary(GROUP).info.target == "valuation-a"
    assert history.run([Read(1)]) == set()
    assert history.reported.seen == {"01 KZ", "02 KZ"}


def test_token_size_is_bounded_and_omitted_groups_are_read_at_a_confirmed_primary():
    marks = Marks()
    for number in range(200):
        marks = marks.advance(f"group-{number:03d}-of-a-long-name", position(1, number + 1))
    token = encode_token(CALLER.workspace, marks)
    decoded = decode_token(CALLER.workspace, token).ok_value
    assert len(token) <= MAX_TOKEN_BYTES
    assert not decoded.omits("group-199-of-a-long-name")
    assert decoded.omits("group-000-of-a-long-name")
    history = History()
    history.step(Write("01 KZ"))
    history.reported.token = token
    read = Statement(route=ROUTE, sql=SELECT, access=Access.READ)
    assert history.send(0, read, "r").ok_value.target == "valuation-a"
    history.step(Event("isolate"))
    history.reported.token = token
    exc = history.send(0, read, "r").err_value
    assert exc.ending is Ending.NOT_RUN
    history.group.loop.close()


def test_token_keeps_read_and_written_positions_separately():
    marks = Marks().advance(GROUP, position(1, 5), written=True).advance(GROUP, position(1, 9))
    decoded = decode_token(CALLER.workspace, encode_token(CALLER.workspace, marks)).ok_value
    assert (decoded.seen(GROUP).index, decoded.written(GROUP).index) == (9, 5)
    merged = Marks().advance(GROUP, position(2, 1)).merge(decoded)
    assert merged.seen(GROUP) == position(2, 1)
    assert merged.written(GROUP) == position(1, 5)


@pytest.mark.parametrize("token", [b"%%", b"AAAA", b"x" * (MAX_TOKEN_BYTES + 1)])
def test_damaged_tokens_are_refused(token):
    assert isinstance(decode_token(CALLER.workspace, token).err_value, InvalidToken)


def test_session_reads_its_own_writes_with_lagging_replicas(fleet):
    key = grant_key(fleet, WORKSPACE)
    instances = ("astana-a-1", "astana-b-1", "karaganda-1")
    for target in ("valuation-core-1-b", "valuation-core-1-c"):
        fleet.set_faults(target, apply_lag_ms=150)
    with fleet.session(*instances, workspace=WORKSPACE, key=key) as session:
        session.write("steppe/offers", "CREATE TABLE seen (number INTEGER)")
        for number in range(12):
            session.write("steppe/offers", "INSERT INTO seen VALUES (?)", number)
            session.roam()
            rows = session.read("steppe/offers", "SELECT max(number) FROM seen").rows
            assert rows == [(number,)]
    for target in ("valuation-core-1-b", "valuation-core-1-c"):
        fleet.set_faults(target, apply_lag_ms=0)


def test_reads_and_retried_write_after_loss_of_the_primary():
    instances = ("astana-a-1", "astana-b-1", "karaganda-1")
    insert = "INSERT INTO offers VALUES ('01 KZ')"
    with Fleet(SMALL_DEPLOYMENT, STEPPE_SETTINGS) as fleet:
        key = grant_key(fleet, WORKSPACE)
        with fleet.session(*instances, workspace=WORKSPACE, key=key) as session:
            session.write("steppe/offers", "CREATE TABLE offers (plate TEXT)")
            session.write("steppe/offers", insert, request_id="lodged")
            fleet.kill("valuation-core-1-a")
            results = []

            def succeeds(call):
                try:
                    results.append(call())
                except QuetzalrudderError as exc:
                    assert not isinstance(exc, PositionLost)
                    return False
                return True

            read = partial(session.read, "steppe/offers", SELECT)
            for _ in instances:
                session.roam()
                wait_for(lambda: succeeds(read), "a read succeeds")
                assert results.pop().rows == [("01 KZ",)]
            retry = partial(session.write, "steppe/offers", insert, request_id="lodged")
            wait_for(lambda: succeeds(retry), "a write succeeds at the new primary")
            assert results.pop().repeated
            assert session.read("steppe/offers", SELECT).rows == [("01 KZ",)]
