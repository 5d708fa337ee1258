import random
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzalrudder.adapters import GrpcTargetConn, TargetInfo
from quetzalrudder.exceptions import LinkLost, OutcomeUnknown, TargetUnavailable, TruncatedAnswer
from quetzalrudder.retries import MAX_SAVED_RETRIES, RETRIES_PER_REQUEST
from quetzalrudder.schema.common import Ending, Row, Rows, Value
from quetzalrudder.schema.target import Execute, TargetAnswer
from quetzalrudder.utils import Address
from tests.helpers import grant_key, wait_for
from tests.histories import Event, Fault, History, Read, Write

WORKSPACE = "steppe/branch-1"
SELECT = "SELECT n FROM cut ORDER BY n"
INFO = TargetInfo("target", "group", "bern-a", Address("127.0.0.1", 1))


class FakeStream:
    """Replaces ``ClientStream``; a test delivers the answers in any order."""

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
        """Answer a frame with rows that contain the text of its statement."""
        row = Row(values=[Value(text=frame.execute.sql)])
        answer = TargetAnswer(
            sequence=frame.sequence,
            generation=frame.generation if generation is None else generation,
            rows=Rows(rows=[row] * (rows if sent is None else sent)),
            row_count=rows,
        )
        self.on_message(answer)


@pytest.fixture
def stream(monkeypatch):
    fake = FakeStream()
    monkeypatch.setattr("quetzalrudder.streams.ClientStream", fake)
    return fake


def text_of(answer):
    return answer.rows.rows[0].values[0].text


def start_statement(conn, sql):
    return conn.start(Execute(sql=sql))


@given(st.integers(0, 10_000))
def test_reordered_and_duplicated_answers_reach_their_own_callers(seed):
    stream, rng = FakeStream(), random.Random(seed)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr("quetzalrudder.streams.ClientStream", stream)
        conn = GrpcTargetConn(None, INFO, generation=7)
    waiting = {f"SELECT {n}": start_statement(conn, f"SELECT {n}") for n in range(8)}
    frames = [*stream.frames, *stream.frames]
    rng.shuffle(frames)
    for frame in frames:
        stream.answer(frame)
        stream.answer(frame, generation=6)
    assert {sql: text_of(fut.result(0)) for sql, fut in waiting.items()} == {
        sql: sql for sql in waiting
    }


def test_late_answer_reaches_nobody_and_its_connection_is_not_reused(stream):
    conn = GrpcTargetConn(None, INFO, generation=1)
    timed_out = conn.request(Execute(sql="SELECT 'slow'"), 0.001)
    assert isinstance(timed_out.err_value, OutcomeUnknown)
    assert conn.broken
    next_answer = start_statement(conn, "SELECT 'next'")
    stream.answer(stream.frames[0])
    assert not next_answer.done()
    stream.answer(stream.frames[1])
    assert text_of(next_answer.result(0)) == "SELECT 'next'"


def test_answer_of_another_generation_is_dropped(stream):
    conn = GrpcTargetConn(None, INFO, generation=2)
    fut = start_statement(conn, "SELECT 1")
    stream.answer(stream.frames[0], generation=1)
    assert not fut.done()


def test_truncated_answer_is_an_error_and_breaks_the_connection(stream):
    conn = GrpcTargetConn(None, INFO, generation=1)
    truncated = TargetAnswer(rows=Rows(rows=[Row()]), row_count=2)
    exc = conn._check_answer(truncated).err_value
    assert isinstance(exc, TruncatedAnswer)
    assert exc.ending is Ending.UNKNOWN
    assert conn.broken


def test_lost_stream_fails_every_waiting_caller(stream):
    conn = GrpcTargetConn(None, INFO, generation=1)
    waiting = [start_statement(conn, f"SELECT {n}") for n in range(3)]
    stream.ended = True
    stream.on_end(LinkLost("the stream has ended"))
    assert all(isinstance(fut.exception(0), LinkLost) for fut in waiting)
    with pytest.raises(TargetUnavailable):
        start_statement(conn, "SELECT 4")


def test_read_with_a_truncated_answer_is_retried_at_another_target():
    history = History()
    steps = [Write("01 KZ"), Event("replicate"), Event("probe"), Read(1, Fault.TRUNCATE)]
    assert history.run(steps) == set()
    assert history.reported.seen == {"01 KZ"}


def test_truncated_answers_of_a_target_never_reach_the_caller(fleet):
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


def test_read_truncated_by_one_target_succeeds_at_another(fleet):
    key = grant_key(fleet, WORKSPACE)
    targets = [name for name in fleet.target_addresses if name.startswith("valuation-core-2")]
    with fleet.session("astana-a-1", workspace=WORKSPACE, key=key) as session:
        session.write("steppe/bookings", "CREATE TABLE cut_once (n INTEGER)")
        session.write("steppe/bookings", "INSERT INTO cut_once VALUES (1), (2)")
        wait_for(lambda: have_equal_positions(fleet, targets), "replicas have caught up")
        fill_retry_budget(session, "SELECT n FROM cut_once")
        for target in targets * 2:
            fleet.set_faults(target, truncate_answers=1)
            rows = session.read("steppe/bookings", "SELECT n FROM cut_once ORDER BY n").rows
            fleet.set_faults(target, truncate_answers=0)
            assert rows == [(1,), (2,)]


def fill_retry_budget(session, sql):
    """Give the instance the retries that earlier truncated answers have used up."""
    for _ in range(round(MAX_SAVED_RETRIES / RETRIES_PER_REQUEST)):
        session.read("steppe/bookings", sql)


def test_truncated_reads_beyond_the_retry_budget_are_reported_as_not_run(fleet):
    """A target that truncates everything must not double the load of the others."""
    key = grant_key(fleet, WORKSPACE)
    targets = [name for name in fleet.target_addresses if name.startswith("valuation-core-2")]
    with fleet.session("astana-a-1", workspace=WORKSPACE, key=key) as session:
        session.write("steppe/bookings", "CREATE TABLE cut_often (n INTEGER)")
        session.write("steppe/bookings", "INSERT INTO cut_often VALUES (1), (2)")
        wait_for(lambda: have_equal_positions(fleet, targets), "replicas have caught up")
        for target in targets:
            fleet.set_faults(target, truncate_answers=1)
        with pytest.raises(TruncatedAnswer) as raised:
            for _ in range(int(2 * MAX_SAVED_RETRIES)):
                session.read("steppe/bookings", "SELECT n FROM cut_often ORDER BY n")
        assert raised.value.ending is Ending.NOT_RUN
        for target in targets:
            fleet.set_faults(target, truncate_answers=0)
        assert session.read("steppe/bookings", "SELECT n FROM cut_often").rows == [(1,), (2,)]


def have_equal_positions(fleet, targets):
    status = fleet.operator("astana-a-1").status()
    applied = {entry.applied for entry in status.targets if entry.target in targets}
    return len(applied) == 1
