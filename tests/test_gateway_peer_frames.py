"""Connections of length-prefixed messages, and peers of earlier builds that do not know them."""

import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest

from quetzalrudder import wire
from quetzalrudder.bridge import Listener, Loop
from quetzalrudder.exceptions import LinkLost, TargetUnavailable
from quetzalrudder.gateway.peer_calls import NetworkPeerCaller
from quetzalrudder.gateway.peer_frames import GREETING, LENGTH
from quetzalrudder.gateway.peer_service import _Dispatcher, _PeerService, serve_peers
from quetzalrudder.schema.gateway import (
    ChangesRequest,
    RunReply,
    RunRequest,
    TokenReply,
    TokenRequest,
)
from quetzalrudder.schema.gateway_service import GatewayPeersStub, PeerAnswer, PeerCall
from quetzalrudder.streams import RequestStream
from quetzalrudder.utils import parse_address
from standins.fleet import free_addresses
from tests.helpers import wait_for

TIMEOUT_S = 5.0
TOKEN = TokenRequest(workspace="almaty")


class Peer:
    def __init__(self):
        self.requests = []

    def answer_token(self, req):
        return TokenReply(keeper=True, admitted=True)

    def run_lent_statement(self, req):
        self.requests.append(req.request_id)
        return RunReply(rows=["x" * int(req.timeout_ms)])


@pytest.fixture
def stack():
    with ExitStack() as stack:
        yield stack


@pytest.fixture
def loop(stack):
    return stack.enter_context(Loop())


@pytest.fixture
def executor(stack):
    return stack.enter_context(ThreadPoolExecutor(20))


def scripted_peer(stack, serve):
    """Accept connections, and give each to a function; return the address."""
    listener = socket.create_server(("127.0.0.1", 0))
    stack.callback(listener.close)

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=serve, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    host, port = listener.getsockname()
    return f"{host}:{port}"


def serve_grpc_only(stack, loop, executor, peer):
    """Serve like an earlier build."""
    address = free_addresses(1)[0]
    service = _PeerService(_Dispatcher(peer, executor))
    stack.enter_context(Listener(loop, parse_address(address), [service]))
    return address


def test_a_peer_of_an_earlier_build_is_called_over_grpc(stack, loop, executor):
    peer = Peer()
    address = serve_grpc_only(stack, loop, executor, peer)
    caller = NetworkPeerCaller(loop)
    for _ in range(3):
        assert caller.take_token(address, TOKEN, TIMEOUT_S).ok_value.admitted
    reply = caller.run(address, RunRequest(request_id="r", timeout_ms=3), TIMEOUT_S)
    assert reply.ok_value.rows == ["xxx"]
    assert peer.requests == ["r"]
    assert list(caller._grpc.by_address) == [address]


def test_a_caller_of_an_earlier_build_is_answered_over_grpc(stack, loop, executor):
    address = free_addresses(1)[0]
    serve_peers(loop, parse_address(address), Peer(), executor, stack)
    stream = RequestStream(
        loop, parse_address(address), lambda channel, calls: GatewayPeersStub(channel).call(calls)
    )
    for _ in range(3):
        answer = stream.start(PeerCall(token=TOKEN)).result(TIMEOUT_S)
        assert answer.token.admitted
    stream.close()


def test_a_peer_that_is_replaced_by_this_build_gets_length_prefixed_messages_again(
    loop, executor, monkeypatch
):
    monkeypatch.setattr("quetzalrudder.gateway.peer_calls.GRPC_ONLY_S", 0.2)
    caller = NetworkPeerCaller(loop)
    with ExitStack() as first:
        address = serve_grpc_only(first, loop, executor, Peer())
        assert caller.take_token(address, TOKEN, TIMEOUT_S).is_ok()
        # An ended one may be left, depending on when the peer ended it.
        assert all(stream.ended for stream in caller._frames.by_address.values())
    with ExitStack() as second:
        serve_peers(loop, parse_address(address), Peer(), executor, second)

        def is_called_with_frames():
            caller.take_token(address, TOKEN, 0.5)
            stream = caller._frames.by_address.get(address)
            return stream is not None and stream.connected

        wait_for(is_called_with_frames, "the new build is found")


def test_answers_of_any_size_arrive_whole_and_at_their_own_calls(stack, loop, executor):
    address = free_addresses(1)[0]
    serve_peers(loop, parse_address(address), Peer(), executor, stack)
    caller = NetworkPeerCaller(loop)
    sizes = [1, 100, 70_000, 500_000, 1_000_000] * 3
    calls = [
        executor.submit(caller.run, address, RunRequest(timeout_ms=size), TIMEOUT_S)
        for size in sizes
    ]
    assert [len(call.result(TIMEOUT_S).ok_value.rows[0]) for call in calls] == sizes


def test_a_call_to_a_peer_that_accepts_but_never_greets_is_not_sent(stack, loop):
    received = bytearray()
    address = scripted_peer(stack, lambda sock: received.extend(sock.recv(1000)) or time.sleep(2))
    caller = NetworkPeerCaller(loop)
    result = caller.run(address, RunRequest(request_id="r"), 0.2)
    assert result.err_value is not None
    wait_for(lambda: bytes(received) == GREETING, "nothing but the greeting")
    # Not taken for a peer of an earlier build.
    assert not caller._is_grpc_only(address)


def test_a_peer_that_resets_the_connection_after_a_call_leaves_its_outcome_open(stack, loop):
    def serve(sock):
        sock.sendall(GREETING)
        # The greeting and the beginning of the call.
        sock.makefile("rb").read(len(GREETING) + LENGTH.size)
        sock.close()

    caller = NetworkPeerCaller(loop)
    result = caller.run(scripted_peer(stack, serve), RunRequest(), TIMEOUT_S)
    assert isinstance(result.err_value, LinkLost)
    assert not isinstance(result.err_value, TargetUnavailable)


def test_a_peer_that_falls_silent_is_called_on_a_new_connection(stack, loop):
    connections = []

    def serve(sock):
        connections.append(sock)
        sock.sendall(GREETING)
        if len(connections) == 1:
            return
        stream = sock.makefile("rb")
        stream.read(len(GREETING))
        while header := stream.read(LENGTH.size):
            call = wire.decode(stream.read(*LENGTH.unpack(header)), PeerCall)
            answer = PeerAnswer(sequence=call.sequence, token=TokenReply(keeper=True))
            data = wire.encode(answer)
            sock.sendall(LENGTH.pack(len(data)) + data)

    address = scripted_peer(stack, serve)
    caller = NetworkPeerCaller(loop)
    assert isinstance(caller.take_token(address, TOKEN, 0.2).err_value, LinkLost)
    assert caller.take_token(address, TOKEN, TIMEOUT_S).ok_value.keeper


@pytest.mark.parametrize(
    "malformed", [LENGTH.pack(2**31), LENGTH.pack(5) + b"\xff\xff\xff\xff\xff"]
)
def test_a_malformed_message_ends_the_connection_at_either_side(stack, loop, executor, malformed):
    address = scripted_peer(stack, lambda sock: sock.sendall(GREETING + malformed) or time.sleep(2))
    caller = NetworkPeerCaller(loop)
    # The connection may end before the call is sent, and it is not sent later.
    error = caller.take_token(address, TOKEN, TIMEOUT_S).err_value
    assert isinstance(error, LinkLost | TargetUnavailable)

    listening = free_addresses(1)[0]
    serve_peers(loop, parse_address(listening), Peer(), executor, stack)
    parsed = parse_address(listening)
    with socket.create_connection((parsed.host, parsed.port), TIMEOUT_S) as sock:
        sock.sendall(GREETING + malformed)
        assert sock.makefile("rb").read() == GREETING
    # Other peers are served.
    assert caller.take_token(listening, TOKEN, TIMEOUT_S).ok_value.admitted


def test_a_connection_without_first_bytes_is_closed(stack, loop, executor, monkeypatch):
    monkeypatch.setattr("quetzalrudder.gateway.peer_listener.FIRST_BYTES_TIMEOUT_S", 0.1)
    address = free_addresses(1)[0]
    serve_peers(loop, parse_address(address), Peer(), executor, stack)
    parsed = parse_address(address)
    with socket.create_connection((parsed.host, parsed.port), TIMEOUT_S) as sock:
        assert sock.recv(100) == b""


def test_a_peer_that_does_not_read_gets_no_more_than_the_limit(stack, loop, monkeypatch):
    monkeypatch.setattr("quetzalrudder.gateway.peer_frames.MAX_UNSENT_BYTES", 1_000_000)
    address = scripted_peer(stack, lambda sock: sock.sendall(GREETING) or time.sleep(3))
    caller = NetworkPeerCaller(loop)
    large = RunRequest(request_id="x" * 300_000)
    results = [caller.run(address, large, 0.05) for _ in range(40)]
    assert all(isinstance(result.err_value, LinkLost) for result in results)


def test_a_call_runs_once_whatever_the_next_one_raises(stack, loop, executor):
    class FailingPeer(Peer):
        def __init__(self):
            super().__init__()
            self.ran = []

        def run_lent_statement(self, req):
            self.ran.append(req.request_id)
            return RunReply(state="idle")

        def answer_changes(self, req, deliver):
            raise RuntimeError("dictionary changed size during iteration")

    def frame(call):
        data = wire.encode(call)
        return LENGTH.pack(len(data)) + data

    peer = FailingPeer()
    address = parse_address(free_addresses(1)[0])
    serve_peers(loop, address, peer, executor, stack)
    sock = stack.enter_context(socket.create_connection((address.host, address.port)))
    write = PeerCall(sequence=1, run=RunRequest(request_id="write"))
    failing = PeerCall(sequence=2, changes=ChangesRequest(wait_ms=10))
    sock.sendall(GREETING + frame(write) + frame(failing))
    wait_for(lambda: peer.ran, "the write to run")
    for sequence in (3, 4):
        sock.sendall(frame(PeerCall(sequence=sequence, run=RunRequest(request_id="later"))))
    wait_for(lambda: peer.ran.count("later") == 2, "the later calls to run")
    assert peer.ran == ["write", "later", "later"]
