"""Compares the compiled codec with the codec of the generated classes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzalrudder import wire
from quetzalrudder.codec import STATEMENT_FRAMES, CheckedCodec
from quetzalrudder.exceptions import MalformedMessage
from quetzalrudder.schema.caller import Access, Answer, AnswerFrame, CallerFrame, Statement
from quetzalrudder.schema.common import Position, Row, Rows, TermStart, Value
from quetzalrudder.schema.target import Probe, Role, State, TargetAnswer, TargetFrame

INT64 = st.integers(min_value=-(2**63), max_value=2**63 - 1)
UINT64 = st.integers(min_value=0, max_value=2**64 - 1)
UINT32 = st.integers(min_value=0, max_value=2**32 - 1)
VALUES = st.one_of(
    st.just(Value()),
    INT64.map(lambda n: Value(integer=n)),
    st.floats(allow_nan=False).map(lambda n: Value(real=n)),
    st.text().map(lambda text: Value(text=text)),
    st.binary().map(lambda blob: Value(blob=blob)),
)
ROWS = st.builds(
    Rows,
    columns=st.lists(st.text(max_size=5), max_size=3),
    rows=st.lists(st.builds(Row, values=st.lists(VALUES, max_size=3)), max_size=3),
    changed=INT64,
)
POSITIONS = st.none() | st.builds(Position, term=UINT64, index=UINT64)
STATES = st.builds(
    State,
    role=st.sampled_from(Role),
    term=UINT64,
    received=POSITIONS,
    applied=POSITIONS,
    term_starts=st.lists(st.builds(TermStart, term=UINT64, first_index=UINT64), max_size=3),
    slots=UINT32,
)
STATEMENTS = st.builds(
    Statement,
    route=st.text(),
    sql=st.text(),
    params=st.lists(VALUES, max_size=4),
    access=st.sampled_from(Access),
    token=st.binary(),
    deadline_ms=UINT32,
)
FRAMES = st.one_of(
    st.builds(CallerFrame, request_id=st.text(), statement=STATEMENTS),
    st.builds(
        AnswerFrame,
        request_id=st.text(),
        answer=st.builds(Answer, rows=st.none() | ROWS, token=st.binary()),
    ),
    st.builds(TargetAnswer, sequence=UINT64, state=st.none() | STATES, rows=st.none() | ROWS),
    st.builds(TargetFrame, sequence=UINT64, probe=st.none() | st.just(Probe())),
)


@given(FRAMES)
def test_both_codecs_encode_to_the_same_bytes_and_decode_to_the_same_message(frame):
    data = bytes(frame)
    assert wire.encode(frame) == data
    assert wire.decode(data, type(frame)) == frame == type(frame).parse(data)


@pytest.mark.parametrize("frame_type", sorted(STATEMENT_FRAMES, key=lambda cls: cls.__name__))
def test_invalid_bytes_are_refused_and_empty_bytes_decode_to_the_default(frame_type):
    with pytest.raises(MalformedMessage):
        CheckedCodec().decode(b"\xff\xff\xff", frame_type)
    assert CheckedCodec().decode(b"", frame_type) == frame_type()
