"""Fuzz tests of external input: random and mutated bytes are decoded or raise a package error."""

import asyncio
import base64
import threading

import betterproto2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from quetzalrudder import wire
from quetzalrudder.access import CallerIdentity, check_frame
from quetzalrudder.adapters import GrpcTargetConn, TargetInfo
from quetzalrudder.bridge import Loop
from quetzalrudder.codec import CheckedCodec
from quetzalrudder.daemon_settings import read_daemon_settings
from quetzalrudder.exceptions import QuetzalrudderError, from_failure, to_failure
from quetzalrudder.schema.caller import (
    Access,
    AnswerFrame,
    AskOutcome,
    CallerFrame,
    Commit,
    Hello,
    Statement,
)
from quetzalrudder.schema.common import Ending, ErrorCode, Failure, Position, Row, Rows, Value
from quetzalrudder.schema.peers import Digest, PeerFrame
from quetzalrudder.schema.peers import Hello as PeerHello
from quetzalrudder.schema.settings import Tree
from quetzalrudder.schema.target import Role, State, TargetAnswer, TargetFrame
from quetzalrudder.settings import (
    SettingsTree,
    branches_to_ini,
    parse_branches,
)
from quetzalrudder.tokens import Marks, decode_token, encode_token
from quetzalrudder.utils import parse_address
from standins.demo import STEPPE_SETTINGS
from tests.test_bad_input import send_raw

WORKSPACE = "steppe/branch-1"
CALLER = CallerIdentity(WORKSPACE, "qrk_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA")
STATEMENT = Statement(
    route="steppe/offers",
    sql="SELECT ?",
    params=[Value(text="01 KZ"), Value(integer=7), Value(real=1.5), Value(blob=b"\x00")],
    access=Access.READ,
    token=encode_token(WORKSPACE, Marks().advance("valuation", Position(term=2, index=9))),
    deadline_ms=500,
)
ANSWER = TargetAnswer(
    sequence=1,
    generation=1,
    state=State(role=Role.PRIMARY, term=1, applied=Position(term=1, index=4)),
    rows=Rows(columns=["a"], rows=[Row(values=[Value(integer=1)])], changed=1),
    row_count=1,
)
VALID_MESSAGES = [
    CallerFrame(request_id="hello", hello=Hello(workspace=WORKSPACE, key="k")),
    CallerFrame(request_id="r", statement=STATEMENT),
    CallerFrame(request_id="r", ask_outcome=AskOutcome(route="steppe/offers", request_id="w")),
    CallerFrame(request_id="r", commit=Commit(transaction_id="t")),
    AnswerFrame(request_id="r", failure=Failure(code=ErrorCode.DRAINING, message="m")),
    PeerFrame(sequence=1, wall_us=5, hello=PeerHello(instance="a", data_centre="b")),
    PeerFrame(sequence=2, digest=Digest(settings_revision=7)),
    TargetFrame(sequence=1),
    ANSWER,
]


@st.composite
def mutated(draw, messages=tuple(VALID_MESSAGES)):
    """Generate a message type and the bytes of a valid message of it, with a few mutations.

    A mutation changes, removes, doubles or adds bytes, or cuts off the end.
    """
    message = draw(st.sampled_from(messages))
    data = bytearray(bytes(message))
    for _ in range(draw(st.integers(1, 4))):
        at = draw(st.integers(0, max(0, len(data) - 1)))
        match draw(st.sampled_from(["change", "remove", "double", "add", "cut"])):
            case "change" if data:
                data[at] = draw(st.integers(0, 255))
            case "remove" if data:
                del data[at]
            case "double":
                data[at:at] = data[at : at + 8]
            case "cut":
                del data[at:]
            case _:
                data[at:at] = draw(st.binary(max_size=4))
    return type(message), bytes(data)


RANDOM = st.tuples(
    st.sampled_from([type(message) for message in VALID_MESSAGES]), st.binary(max_size=80)
)


def decode_or_none(message_type, data):
    """Decode a message; ``None`` if the codec refuses it with a package error."""
    try:
        return CheckedCodec().decode(data, message_type)
    except QuetzalrudderError:
        return None


def assert_field_types(message):
    """Check that every field has a value of its declared type; all other code relies on it."""
    for name, meta in message._betterproto.meta_by_field_name.items():
        field_value = getattr(message, name)
        values = field_value if meta.repeated else [field_value]
        for value in values:
            if value is None:
                assert meta.optional
                continue
            match meta.proto_type:
                case "message":
                    assert isinstance(value, betterproto2.Message)
                    assert_field_types(value)
                case "string":
                    assert isinstance(value, str)
                case "bytes":
                    assert isinstance(value, bytes)
                case "bool":
                    assert isinstance(value, bool)
                case "double":
                    assert isinstance(value, float)
                case _:
                    assert isinstance(value, int)


@settings(max_examples=1500)
@given(st.one_of(mutated(), RANDOM))
def test_frames_are_decoded_with_the_declared_types_or_refused(case):
    message_type, data = case
    message = decode_or_none(message_type, data)
    if message is not None:
        assert_field_types(message)
        assert (
            decode_or_none(message_type, CheckedCodec().encode(message, message_type)) is not None
        )


@pytest.mark.parametrize("data", [b"\x02\x05R\x06\n\x01a\x12\x01b", b"R\x03\x08\x01\x00", b"\x0b"])
def test_peer_frame_with_a_value_of_another_type_is_refused(data):
    """Guards against a frame whose sequence number is decoded to the list ``[98]``.

    The test above found such a frame. Its answer could not be matched to a request.
    """
    message = decode_or_none(PeerFrame, data)
    assert message is None or assert_field_types(message) is None


@settings(max_examples=500)
@given(mutated(messages=(VALID_MESSAGES[1], VALID_MESSAGES[2], VALID_MESSAGES[3])))
def test_checks_of_requests_do_not_crash(case):
    frame = decode_or_none(*case)
    if frame is not None:
        tree = SettingsTree(Tree(branches=parse_branches(STEPPE_SETTINGS)))
        assert isinstance(check_frame(tree, CALLER, frame), Ok | Err)
        if frame.statement is not None:
            decode_token(WORKSPACE, frame.statement.token)


@settings(max_examples=500)
@given(
    st.one_of(
        st.binary(max_size=100), mutated(messages=(VALID_MESSAGES[1],)).map(lambda case: case[1])
    )
)
def test_session_tokens_are_decoded_or_refused(data):
    for token in (data, base64.urlsafe_b64encode(data)):
        match decode_token(WORKSPACE, token):
            case Ok(marks):
                assert isinstance(marks, Marks)
                encode_token(WORKSPACE, marks)
            case Err(exc):
                assert isinstance(exc, QuetzalrudderError)
                assert exc.ending is Ending.NOT_RUN


INI_LINES = st.one_of(
    st.sampled_from(
        [
            "[root]",
            "[branch steppe]",
            "[route steppe/offers]",
            "[workspace steppe/a]",
            "[daemon]",
            "deadline_ms = 5",
            "rate_per_s = 1e400",
            "weight = 0x1p3",
            "burst = 99999999999999999999",
            "open = maybe",
            "key_digests = \u00e9",
            "%(x)s = ${y}",
            "  indented",
            "listen = 127.0.0.1:\u0661",
            "max_tasks = \u0665",
        ]
    ),
    st.text(max_size=30),
)


@settings(max_examples=800)
@given(st.lists(INI_LINES, max_size=8))
def test_settings_files_are_parsed_or_refused(lines):
    try:
        branches = parse_branches("\n".join(lines), "tree.ini")
    except QuetzalrudderError:
        return
    assert bytes(Tree(branches=branches)) is not None
    assert parse_branches(branches_to_ini(branches)) == branches


@settings(max_examples=300)
@given(data=st.one_of(st.binary(max_size=80), st.lists(INI_LINES, max_size=8).map("\n".join)))
def test_daemon_files_are_parsed_or_refused(tmp_path_factory, data):
    path = tmp_path_factory.getbasetemp() / "daemon.ini"
    raw = data if isinstance(data, bytes) else data.encode("utf-8", "surrogatepass")
    path.write_bytes(raw)
    try:
        read_daemon_settings(path)
    except QuetzalrudderError:
        return


@settings(max_examples=300)
@given(st.text(max_size=30))
def test_addresses_are_parsed_or_refused(text):
    try:
        assert 0 < parse_address(text).port < 65536
    except QuetzalrudderError:
        return


@settings(max_examples=300)
@given(mutated(messages=(VALID_MESSAGES[4],)))
def test_mutated_failures_convert_to_package_exceptions(case):
    frame = decode_or_none(*case)
    if frame is not None and frame.failure is not None:
        exc = from_failure(frame.failure)
        assert isinstance(exc, QuetzalrudderError)
        assert isinstance(exc.ending, Ending)
        wire.encode(to_failure(exc))


@settings(max_examples=300)
@given(mutated(messages=(ANSWER,)))
def test_target_answers_are_whole_or_a_typed_error(case):
    answer = decode_or_none(*case)
    if answer is None:
        return
    with UnconnectedTarget() as conn:
        match conn._check_answer(answer):
            case Ok(checked):
                rows = len(checked.rows.rows) if checked.rows is not None else 0
                assert rows == checked.row_count
            case Err(exc):
                assert isinstance(exc, QuetzalrudderError)


class UnconnectedTarget:
    """Context manager that returns a target connection with neither stream nor socket."""

    def __enter__(self):
        conn = GrpcTargetConn.__new__(GrpcTargetConn)
        conn._info = TargetInfo("t", "g", "dc", parse_address("127.0.0.1:1"))
        conn._generation = 1
        conn._unusable = False
        return conn

    def __exit__(self, *exc_info):
        return None


PAYLOADS = [b"", b"\x00", b"\xff" * 40, bytes(VALID_MESSAGES[0])[:-2], b"\x0a\x7f" + b"x" * 3]


@pytest.mark.parametrize("payload", PAYLOADS)
def test_instance_refuses_raw_bytes_and_keeps_serving(fleet, payload):
    address = parse_address(fleet.instance_addresses["astana-a-1"])
    answer = asyncio.run(asyncio.wait_for(send_raw(address, payload), 15))
    assert answer.failure.code is ErrorCode.MALFORMED_MESSAGE
    assert fleet.operator("astana-a-1").status().state == "serving"


def test_loop_keeps_running_after_a_coroutine_fails():
    async def fail():
        raise ValueError("defect")

    with Loop() as loop:
        with pytest.raises(ValueError, match="defect"):
            loop.run(fail(), timeout_s=1)
        done = threading.Event()
        loop.call_soon(done.set)
        assert done.wait(2)
