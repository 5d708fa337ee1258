import random
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzalrudder.adapters import GrpcTargetConn, TargetInfo
from quetzalrudder.exceptions import LinkLost, OutcomeUnknown, TargetUnavailable, TruncatedAnswer
from quetzalrudder.schema.common import Ending, Row, Rows, Value
from quetzalrudder.schema.target import Execute, TargetAnswer
from quetzalrudder.utils import Address
from tests.helpers import grant_key, wait_for
from tests.histories import Event, Fault, History, Read, Write

WORKSPACE = "steppe/branch-1"
SELECT = "SELECT n FROM cut ORDER BY n"
INFO = TargetInfo("target", "group", "bern-a", Address("127.0.0.1", 1))


class LoosePeer:
    """The far end of a stream, whose answers a test sends in any order."""

    def __init__(self):
        self.frames = []
        self.on_message = None
        self.on_end = None
        self.ended = False

    def __call__(self, loop, address, call, on_message, on_end):
        self.on_message, self.on_end = on_message, on_end
        return self

    def send(self, frame):
        if self.ended:
            raise LinkLost("the stream has ended")
        self.frames.append(frame)

    def close(self):
        self.ended = True

    def answer(self, frame, rows=1, sent=None, generation=None):
        """Answer a frame by rows that hold its own statement."""
        text = Row(values=[Value(text=frame.execute.sql)])
        answer = TargetAnswer(
            sequence=frame.sequence,
            generation=frame.generation if generation is None else generation,
            rows=Rows(rows=[text] * (rows if sent is None else sent)),
            row_count=rows,
        )
        self.on_message(answer)


@pytest.fixture
def peer(monkeypatch):
    loose = LoosePeer()
    monkeypatch.setattr("quetzalrudder.streams.ClientStream", loose)
    return loose


def text_of(answer):
    return answer.rows.rows[0].values[0].text


def ask(conn, sql):
    return conn.start(Execute(sql=sql))


@given(st.integers(0, 10_000))
def test_reordered_and_doubled_answers_reach_their_own_callers(seed):
    loose, rng = LoosePeer(), random.Random(seed)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("quetzalrudder.streams.ClientStream", loose)
        conn = GrpcTargetConn(None, INFO, generation=7)
    waiting = {f"SELECT {n}": ask(conn, f"SELECT {n}") for n in range(8)}
    frames = [*loose.frames, *loose.frames]
    rng.shuffle(frames)
    for frame in frames:
        loose.answer(frame)
        loose.answer(frame, generation=6)
    assert {sql: text_of(fut.result(0)) for sql, fut in waiting.items()} == {
        sql: sql for sql in waiting
    }


def test_late_answer_reaches_nobody_and_its_connection_is_not_reused(peer):
    conn = GrpcTargetConn(None, INFO, generation=1)
    given_up = conn.request(Execute(sql="SELECT 'slow'"), 0.001)
    assert isinstance(given_up.err_value, OutcomeUnknown)
    assert conn.broken
    later = ask(conn, "SELECT 'next'")
    peer.answer(peer.frames[0])
    assert not later.done()
    peer.answer(peer.frames[1])
    assert text_of(later.result(0)) == "SELECT 'next'"


def test_answer_of_another_generation_is_dropped(peer):
    conn = GrpcTargetConn(None, INFO, generation=2)
    fut = ask(conn, "SELECT 1")
    peer.answer(peer.frames[0], generation=1)
    assert not fut.done()


def test_answer_cut_short_is_an_error_and_ends_the_connection(peer):
    conn = GrpcTargetConn(None, INFO, generation=1)
    short = TargetAnswer(rows=Rows(rows=[Row()]), row_count=2)
    refused = conn._check_answer(short).err_value
    assert isinstance(refused, TruncatedAnswer)
    assert refused.ending is Ending.UNKNOWN
    assert conn.broken


def test_lost_stream_fails_every_waiting_caller(peer):
    conn = GrpcTargetConn(None, INFO, generation=1)
    waiting = [ask(conn, f"SELECT {n}") for n in range(3)]
    peer.ended = True
    peer.on_end(LinkLost("the stream has ended"))
    assert all(isinstance(fut.exception(0), LinkLost) for fut in waiting)
    with pytest.raises(TargetUnavailable):
        ask(conn, "SELECT 4")


def test_read_whose_answer_was_cut_short_is_read_whole_elsewhere():
    history = History()
    steps = [Write("01 KZ"), Event("replicate"), Event("probe"), Read(1, Fault.TRUNCATE)]
    assert history.run(steps) == set()
    assert history.told.seen == {"01 KZ"}


def test_truncated_answers_of_a_real_target_never_reach_the_caller(fleet):
    key = grant_key(fleet, WORKSPACE)
    targets = [name for name in fleet.target_addresses if name.startswith("valuation-core-2")]
    with fleet.session("astana-a-1", "karaganda-1", workspace=WORKSPACE, key=key) as session:
        session.write("steppe/bookings", "CREATE TABLE cut (n INTEGER)")
        session.write("steppe/bookings", "INSERT INTO cut VALUES (1), (2), (3)")
        for _ in range(5):
            fleet.set_faults(targets[0], truncate_answers=1)
            fleet.set_faults(targets[1], truncate_answers=1)
            with suppress(TruncatedAnswer):
                assert session.read("steppe/bookings", SELECT).rows == [(1,), (2,), (3,)]
        for target in targets:
            fleet.set_faults(target, truncate_answers=0)
        assert session.read("steppe/bookings", SELECT).rows == [(1,), (2,), (3,)]


def test_read_cut_short_by_one_target_is_repeated_at_another(fleet):
    key = grant_key(fleet, WORKSPACE)
    targets = [name for name in fleet.target_addresses if name.startswith("valuation-core-2")]
    with fleet.session("astana-a-1", workspace=WORKSPACE, key=key) as session:
        session.write("steppe/bookings", "CREATE TABLE cut_once (n INTEGER)")
        session.write("steppe/bookings", "INSERT INTO cut_once VALUES (1), (2)")
        wait_for(lambda: has_applied_all(fleet, targets), "replicas have caught up")
        for target in targets * 2:
            fleet.set_faults(target, truncate_answers=1)
            rows = session.read("steppe/bookings", "SELECT n FROM cut_once ORDER BY n").rows
            fleet.set_faults(target, truncate_answers=0)
            assert rows == [(1,), (2,)]


def has_applied_all(fleet, targets):
    status = fleet.operator("astana-a-1").status()
    applied = {found.applied for found in status.targets if found.target in targets}
    return len(applied) == 1
