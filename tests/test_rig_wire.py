"""Encoding and decoding of the session protocol, with answers split at every byte."""

import socket
import threading
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok
from rig.lines import MAX_MESSAGE_BYTES, LineSocket, LineTooLong
from rig.target_link import WireConnector, WireLink
from rig.wire import (
    Greeting,
    Query,
    Quit,
    decode_position,
    decode_request,
    decode_statement,
    encode_answer,
    encode_greeting_answer,
    encode_statement,
)

from quetzalrudder import exceptions
from quetzalrudder.exceptions import MalformedMessage
from quetzalrudder.gateway.sessions import Answer
from quetzalrudder.gateway.statements import (
    Malformed,
    Read,
    SessionState,
    SetValue,
    TargetFault,
    Write,
)
from quetzalrudder.gateway.targets import LogPosition, Target, TargetRole
from quetzalrudder.utils import Address

STATEMENTS = [
    "BEGIN",
    "BEGIN FETCH",
    "COMMIT",
    "ROLLBACK",
    "FETCH 1a4",
    "PUT 1a4 some data  with  blanks ",
    "SET lang kk",
    "PREPARE s1 PUT q2c",
    "PREPARE s1 FETCH q2c and more",
    "EXEC s1 1a4",
    "EXEC s1 1a4 xkqp wnzd",
    "DEALLOC s1",
]


@pytest.mark.parametrize("text", STATEMENTS)
def test_statement_is_encoded_as_it_was_decoded(text):
    assert encode_statement(decode_statement(text)) == text


@given(st.text(st.characters(codec="latin-1", exclude_characters="\r\n"), max_size=40))
def test_any_text_is_encoded_as_it_was_decoded_or_is_malformed(text):
    statement = decode_statement(text)
    assert isinstance(statement, Malformed) or encode_statement(statement) == text


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("CONNECT lepu270 u3f1", Greeting("lepu270", "u3f1")),
        ("CONNECT lepu270", Greeting("lepu270", "")),
        ("QUERY 5c FETCH 1a4", Query("5c", "FETCH 1a4")),
        ("QUIT", Quit()),
    ],
)
def test_requests_are_decoded(line, expected):
    assert decode_request(line) == expected


@pytest.mark.parametrize("line", ["", "QUERY", "QUERY 5c", "connect a b", "READY I -", "\x00"])
def test_invalid_request_is_rejected(line):
    with pytest.raises(MalformedMessage):
        decode_request(line)


@pytest.mark.parametrize("text", ["", "3", "3.", ".7", "3.x", "-1.2", "3.1.2"])
def test_invalid_position_is_rejected(text):
    with pytest.raises(MalformedMessage):
        decode_position(text)


# Codes that guarantee to the caller that the statement had no effect.
NO_EFFECT_CODES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"}


def test_no_effect_codes_are_used_only_for_errors_without_effect():
    exception_types = [kind for kind in vars(exceptions).values() if isinstance(kind, type)]
    for kind in exception_types:
        if not issubclass(kind, exceptions.QuetzalrudderError):
            continue
        code = encode_greeting_answer(kind("why")).split()[1]
        if kind("why").ending is not exceptions.Ending.NOT_RUN:
            assert code not in NO_EFFECT_CODES, kind


def test_answers_are_encoded():
    success = Answer(SessionState.IN_TRANSACTION, ("x", "y z"), "sig")
    assert encode_answer(success) == "ROW x\r\nROW y z\r\nDONE sig\r\nREADY T -\r\n"
    exc = exceptions.Overloaded("full\r\nof it", place="db-1", retry_after_ms=20)
    failure = encode_answer(Answer(SessionState.IDLE, error=exc))
    assert failure == "ERR BUSY db-1: full  of it; retry after 20 ms\r\nREADY I -\r\n"


class TcpPeer:
    """Loopback listener that stands in for a database; the test writes its answers."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]

    def target(self):
        address = Address("127.0.0.1", self.port)
        return Target("db-1", "g", address, "dc", 3, TargetRole.REPLICA)

    def open_link(self):
        """Return a link, the socket at its other end, and the greeting that it sent."""
        links = []

        def connect():
            links.append(WireConnector().connect(self.target(), "almaty", 2.0))

        thread = threading.Thread(target=connect)
        thread.start()
        sock, _ = self.listener.accept()
        greeting = sock.recv(1000)
        sock.sendall(b"READY I 3.1207\r\n")
        thread.join()
        return links[0].ok_value, sock, greeting


@pytest.fixture
def peer():
    tcp_peer = TcpPeer()
    yield tcp_peer
    tcp_peer.listener.close()


ANSWER = b"ROW qhzk wm\r\nDONE 7.1f3.c\r\nREADY I 3.1209\r\n"


def test_link_greets_with_group_workspace_and_target(peer):
    _, sock, greeting = peer.open_link()
    assert greeting == b"CONNECT g almaty db-1\r\n"
    sock.close()


def test_answer_split_at_any_byte_is_read(peer):
    link, sock, _ = peer.open_link()
    for cut in range(len(ANSWER) + 1):
        sender = threading.Thread(
            target=lambda cut=cut: (
                sock.recv(1000),
                sock.sendall(ANSWER[:cut]),
                time.sleep(0.002),
                sock.sendall(ANSWER[cut:]),
            )
        )
        sender.start()
        reply = link.run("5c", Read("1a4"), 2.0, LogPosition(3, 7)).ok_value
        sender.join()
        assert reply.rows == ("qhzk wm",)
        assert reply.signature == "7.1f3.c"
        assert reply.position == LogPosition(3, 1209)
    sock.close()


@pytest.mark.parametrize("cut", range(len(ANSWER)))
def test_truncated_answer_is_an_error(peer, cut):
    link, sock, _ = peer.open_link()
    sock.sendall(ANSWER[:cut])
    sock.shutdown(socket.SHUT_WR)
    result = link.run("5c", Read("1a4"), 2.0)
    assert isinstance(result, Err)
    assert link.broken
    sock.close()


@pytest.mark.parametrize(
    "answer",
    [
        b"READY I 3.1\r\n",
        b"DONE a\r\nDONE b\r\nREADY I -\r\n",
        b"DONE a\r\nROW b\r\nREADY I -\r\n",
        b"DONE a\r\nREADY I x.y\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"\r\n",
    ],
)
def test_malformed_answer_breaks_the_connection(peer, answer):
    link, sock, _ = peer.open_link()
    sock.sendall(answer)
    assert isinstance(link.run("5c", Read("1a4"), 2.0), Err)
    assert link.broken
    sock.close()


@pytest.mark.parametrize(
    ("code", "fault"),
    [
        (b"BUSY", TargetFault.BUSY),
        (b"NOSTMT s", TargetFault.NOT_PREPARED),
        (b"LAGGING", TargetFault.LAGGING),
        (b"READONLY i-7", TargetFault.READ_ONLY),
        (b"FAILED", TargetFault.FAILED),
        (b"TIMEOUT", TargetFault.TIMED_OUT),
        (b"WHAT is this", TargetFault.OTHER),
    ],
)
def test_error_codes_are_mapped_to_faults(peer, code, fault):
    link, sock, _ = peer.open_link()
    sock.sendall(b"ERR " + code + b"\r\nREADY E 3.1\r\n")
    reply = link.run("5c", Read("1a4"), 2.0).ok_value
    assert (reply.fault, reply.state) == (fault, SessionState.FAILED_TRANSACTION)
    sock.close()


def test_status_is_decoded(peer):
    link, sock, _ = peer.open_link()
    sock.sendall(b"ROW primary 4 3.1209 0 12 2 17\r\nDONE -\r\nREADY I 3.1204\r\n")
    status = link.status(2.0)
    assert status == Ok(status.ok_value)
    assert (status.ok_value.primary, status.ok_value.term) == (True, 4)
    assert status.ok_value.received == LogPosition(3, 1209)
    sock.close()


def test_unrequested_bytes_break_the_connection(peer):
    link, sock, _ = peer.open_link()
    assert not link.broken
    sock.sendall(b"READY I -\r\n")
    time.sleep(0.05)
    assert link.broken
    sock.close()


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        (b"ERR MAXCONN full\r\n", exceptions.ConnectionLimitReached),
        (b"ERR MOVED other\r\n", exceptions.TargetUnavailable),
        (b"ERR BUSY\r\n", exceptions.Overloaded),
        (b"nonsense\r\n", exceptions.TargetUnavailable),
        (b"", exceptions.TargetUnavailable),
    ],
)
def test_refused_greeting_is_mapped_to_an_exception_type(peer, answer, kind):
    def serve():
        sock, _ = peer.listener.accept()
        sock.recv(1000)
        sock.sendall(answer)
        sock.close()

    thread = threading.Thread(target=serve)
    thread.start()
    result = WireConnector().connect(peer.target(), "almaty", 2.0)
    thread.join()
    assert type(result.err_value) is kind


def tcp_pair():
    listener = socket.create_server(("127.0.0.1", 0))
    local_sock = socket.create_connection(listener.getsockname())
    peer_sock, _ = listener.accept()
    listener.close()
    return LineSocket(local_sock), peer_sock


def test_line_over_the_size_limit_is_rejected():
    lines, peer_sock = tcp_pair()

    def send_until_closed():
        try:
            while True:
                peer_sock.sendall(b"x" * 65536)
        except OSError:
            return

    thread = threading.Thread(target=send_until_closed)
    thread.start()
    with pytest.raises(LineTooLong):
        lines.read_line(time.monotonic() + 20)
    lines.close(reset=True)
    thread.join()
    assert MAX_MESSAGE_BYTES == 1024 * 1024


def test_reading_from_a_silent_peer_times_out():
    lines, peer_sock = tcp_pair()
    with pytest.raises(TimeoutError):
        lines.read_line(time.monotonic() + 0.02)
    peer_sock.close()
    lines.close()


LINE_BREAKS = ["\n", "\r", "\n\r"]


@pytest.mark.parametrize("line_break", LINE_BREAKS)
def test_a_line_break_inside_a_message_begins_no_other_message(line_break):
    # The rest of the message ran as a request that no caller had sent.
    lines, peer_sock = tcp_pair()
    inside = f"QUERY 1 PUT a b{line_break}QUERY 2 PUT c d"
    sent = f"{inside}\r\nQUERY 3 FETCH a\r\n".encode()
    for cut in range(len(sent) + 1):
        peer_sock.sendall(sent[:cut])
        time.sleep(0.001)
        peer_sock.sendall(sent[cut:])
        assert lines.read_line(time.monotonic() + 2) == inside
        assert lines.read_line(time.monotonic() + 2) == "QUERY 3 FETCH a"
    assert not lines.has_buffered_bytes
    peer_sock.close()
    lines.close()


@pytest.mark.parametrize("line_break", LINE_BREAKS)
@pytest.mark.parametrize("text", STATEMENTS)
def test_a_statement_with_a_line_break_is_malformed_as_a_whole(text, line_break):
    # A part of it was run, and the rest as a statement of its own.
    for cut in range(len(text) + 1):
        broken = f"{text[:cut]}{line_break}{text[cut:]}"
        assert isinstance(decode_statement(broken), Malformed)
        assert decode_request(f"QUERY 5c {broken}") == Query("5c", broken)


@pytest.mark.parametrize("line_break", LINE_BREAKS)
@pytest.mark.parametrize("line", ["CONNECT db{}", "CONNECT d{}b key", "CONNECT db k{}ey"])
def test_a_greeting_with_a_line_break_is_malformed(line, line_break):
    # The rest of the message was read as the first statement of the session.
    with pytest.raises(MalformedMessage):
        decode_request(line.format(line_break))


def test_a_request_id_with_a_line_break_is_malformed():
    # The database would have taken what follows the break for another request.
    with pytest.raises(MalformedMessage):
        decode_request("QUERY 5\nc FETCH 1a4")


@pytest.mark.parametrize("line_break", LINE_BREAKS)
@pytest.mark.parametrize(
    ("request_id", "statement"),
    [
        ("5c", Write("a", "b{}c")),
        ("5c", Read("a{}")),
        ("-", SetValue("lang", "k{}k")),
        ("5{}c", Read("a")),
    ],
)
def test_no_line_break_of_a_peer_reaches_a_database(peer, request_id, statement, line_break):
    # A peer whose build reads messages otherwise sends it beside statements to be run here.
    link, sock, _ = peer.open_link()
    values = {name: value.format(line_break) for name, value in vars(statement).items()}
    result = link.run(request_id.format(line_break), type(statement)(**values), 0.5)
    assert isinstance(result.err_value, MalformedMessage)
    assert result.err_value.ending is exceptions.Ending.NOT_RUN
    sock.setblocking(False)
    with pytest.raises(BlockingIOError):
        sock.recv(100)
    sock.close()


@pytest.mark.parametrize("line_break", LINE_BREAKS)
def test_a_row_with_a_line_break_is_returned_whole(peer, line_break):
    # What followed the break was read as another part of the answer.
    row = f"first{line_break}DONE forged"
    link, sock, _ = peer.open_link()
    sock.sendall(f"ROW {row}\r\nDONE signed\r\nREADY I 3.1\r\n".encode())
    reply = link.run("5c", Read("1a4"), 2.0).ok_value
    assert (reply.rows, reply.signature) == ((row,), "signed")
    assert not link.broken
    answer = encode_answer(Answer(SessionState.IDLE, reply.rows, reply.signature))
    assert answer == f"ROW {row}\r\nDONE signed\r\nREADY I -\r\n"
    sock.close()


def test_closed_link_reports_the_target_unavailable():
    lines, peer_sock = tcp_pair()
    link = WireLink(lines, "db-1")
    link.close()
    assert type(link.run("5c", Read("a"), 1.0).err_value) is exceptions.TargetUnavailable
    peer_sock.close()


def test_a_name_that_the_protocol_cannot_carry_leaves_no_caller_without_an_answer():
    exc = exceptions.PrimaryChanging("no primary", place="Київ")
    text = encode_answer(Answer(SessionState.IDLE, error=exc))
    assert text.encode("latin-1").startswith(b"ERR BUSY ")


@pytest.mark.parametrize("workspace", ["Київ", "two words", "a\r\nQUERY", "a\nb", "a\r"])
def test_a_workspace_that_the_protocol_cannot_carry_says_nothing_about_the_database(workspace):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = Address("127.0.0.1", listener.getsockname()[1])
        target = Target("db-1", "g", address, "dc-0", 3, TargetRole.PRIMARY)
        opened = WireConnector().connect(target, workspace, 1.0)
    assert isinstance(opened, Err)
    assert isinstance(opened.err_value, MalformedMessage)
