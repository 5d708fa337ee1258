"""Calls between instances over real connections."""

import socket
import threading
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest
from result import Ok

from quetzalrudder.bridge import Loop
from quetzalrudder.exceptions import LinkLost, TargetUnavailable
from quetzalrudder.gateway.peer_calls import NetworkPeerCaller
from quetzalrudder.gateway.peer_service import serve_peers
from quetzalrudder.schema.gateway import (
    EndRequest,
    LentStatement,
    PeerReply,
    PeerReport,
    PositionReply,
    PositionRequest,
    RunReply,
    RunRequest,
    StatementKind,
    TokenReply,
    TokenRequest,
    Wanted,
)
from quetzalrudder.utils import parse_address
from standins.fleet import free_addresses
from tests.helpers import wait_for

TIMEOUT_S = 5.0


class Peer:
    """Answers each call with values that depend on the request."""

    def answer_report(self, report):
        return PeerReply(instance=report.instance)

    def __init__(self):
        self.returned = []
        self.release_slow_calls = threading.Event()

    def answer_token(self, req):
        return TokenReply(keeper=True, admitted=req.workspace == "almaty", wait_ms=7)

    def answer_position(self, req):
        return PositionReply(known=True, term=3, index=9, age_ms=1)

    def run_lent_statement(self, req):
        if req.request_id == "slow":
            self.release_slow_calls.wait(TIMEOUT_S)
        return RunReply(state="idle", rows=[req.statement.name], loan=req.loan + 1, use=0.5)

    def return_lent_connection(self, req):
        self.returned.append(req.loan)


@pytest.fixture
def calls():
    peer = Peer()
    with ExitStack() as stack:
        executor = stack.enter_context(ThreadPoolExecutor(20))
        loop = stack.enter_context(Loop())
        stack.callback(peer.release_slow_calls.set)
        address = free_addresses(1)[0]
        serve_peers(loop, parse_address(address), peer, executor, stack)
        yield NetworkPeerCaller(loop), address, peer, executor


def read_request(name, request_id="r"):
    statement = LentStatement(kind=StatementKind.READ, name=name)
    wanted = Wanted(target="db-1", wanted_ms=-20, wait_ms=300)
    return RunRequest(wanted=wanted, request_id=request_id, statement=statement)


def test_each_call_is_delivered_and_answered(calls):
    caller, address, peer, _ = calls
    token = caller.take_token(address, TokenRequest(workspace="almaty"), TIMEOUT_S)
    assert token.ok_value.admitted
    position = caller.tell_position(address, PositionRequest(group="g"), TIMEOUT_S)
    assert (position.ok_value.term, position.ok_value.index) == (3, 9)
    reply = caller.run(address, read_request("\xe9 a"), TIMEOUT_S).ok_value
    assert (reply.rows, reply.loan, reply.use) == (["\xe9 a"], 1, 0.5)
    caller.end(address, EndRequest(loan=5))
    wait_for(lambda: peer.returned == [5], "the connection is returned")


def test_a_call_to_an_unreachable_peer_is_reported_as_not_sent(calls):
    caller, _, _, _ = calls
    result = caller.run(free_addresses(1)[0], read_request("a"), TIMEOUT_S)
    assert isinstance(result.err_value, TargetUnavailable)


def test_a_peer_that_restarts_is_called_on_a_new_stream(calls):
    caller, address, peer, executor = calls
    with ExitStack() as stack:
        loop = stack.enter_context(Loop())
        other = free_addresses(1)[0]
        with ExitStack() as first:
            serve_peers(loop, parse_address(other), peer, executor, first)
            assert caller.run(other, read_request("a"), TIMEOUT_S).is_ok()
        # The listener and its connections are closed.
        wait_for(lambda: caller.run(other, read_request("a"), 0.5).is_err(), "the peer is lost")
        serve_peers(loop, parse_address(other), peer, executor, stack)
        wait_for(lambda: caller.run(other, read_request("a"), TIMEOUT_S).is_ok(), "an answer")


def test_a_call_on_a_stream_that_never_opened_is_not_sent_later(calls):
    caller, _, peer, executor = calls
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        # Fills the queue of connections, so that further ones are not accepted.
        waiting = [socket.socket() for _ in range(4)]
        for sock in waiting:
            sock.setblocking(False)
            sock.connect_ex(full.getsockname())
        host, port = full.getsockname()
        result = caller.run(f"{host}:{port}", read_request("a"), 0.1)
        assert isinstance(result.err_value, LinkLost)
        assert caller._grpc.by_address == caller._frames.by_address == {}
        for sock in waiting:
            sock.close()


def test_a_call_that_fails_at_the_peer_is_reported_as_lost(calls):
    caller, address, peer, _ = calls
    peer.answer_position = lambda req: 1 / 0
    result = caller.tell_position(address, PositionRequest(group="g"), TIMEOUT_S)
    assert isinstance(result.err_value, LinkLost)
    token = caller.take_token(address, TokenRequest(workspace="almaty"), TIMEOUT_S)
    assert token.ok_value.admitted


def test_a_call_that_times_out_does_not_affect_other_calls(calls):
    caller, address, peer, executor = calls
    caller.run(address, read_request("a"), TIMEOUT_S)
    others = [
        executor.submit(caller.run, address, read_request("b", "slow"), TIMEOUT_S) for _ in range(4)
    ]
    timed_out = caller.run(address, read_request("a", "slow"), 0.05)
    assert isinstance(timed_out.err_value, LinkLost)
    peer.release_slow_calls.set()
    assert all(isinstance(fut.result(TIMEOUT_S), Ok) for fut in others)


def test_calls_to_many_peers_take_no_thread_each(calls):
    caller, address, _, _ = calls
    caller.exchange(address, PeerReport(), TIMEOUT_S)
    threads = threading.active_count()
    reports = [(address, PeerReport(instance=f"edge-{number}")) for number in range(90)]
    replies = {}
    for index, result in caller.exchange_all(reports, TIMEOUT_S):
        replies[index] = result.ok_value.instance
        # The peer of this test runs in the same process, on an executor of 20 threads.
        assert threading.active_count() <= threads + 20
    assert replies == {number: f"edge-{number}" for number in range(90)}


def test_a_planned_stop_waits_for_the_answer_to_a_statement_of_a_peer():
    """The connection counts as returned before its answer is on the socket."""
    peer = Peer()
    with ExitStack() as stack:
        executor = stack.enter_context(ThreadPoolExecutor(4))
        loop = stack.enter_context(Loop())
        stack.callback(peer.release_slow_calls.set)
        address = free_addresses(1)[0]
        server = serve_peers(loop, parse_address(address), peer, executor, stack)
        assert not server.is_answering
        caller = NetworkPeerCaller(loop)
        fut = executor.submit(caller.run, address, read_request("a", "slow"), TIMEOUT_S)
        wait_for(lambda: server.is_answering, "the statement to run")
        peer.release_slow_calls.set()
        assert fut.result(TIMEOUT_S).is_ok()
        wait_for(lambda: not server.is_answering, "the answer to be sent")


def test_one_of_many_calls_that_fails_or_times_out_does_not_affect_the_others(calls):
    caller, address, peer, _ = calls
    answer = peer.answer_report
    peer.answer_report = lambda report: (
        peer.release_slow_calls.wait(TIMEOUT_S) if report.instance == "slow" else answer(report)
    )
    unreachable = free_addresses(1)[0]
    reports = [
        (address, PeerReport(instance="slow")),
        (unreachable, PeerReport(instance="dead")),
        (address, PeerReport(instance="edge-1")),
    ]
    caller.exchange(address, PeerReport(), TIMEOUT_S)
    results = dict(caller.exchange_all(reports, 0.3))
    assert isinstance(results[0].err_value, LinkLost)
    assert isinstance(results[1].err_value, TargetUnavailable | LinkLost)
    assert results[2].ok_value.instance == "edge-1"


def test_calls_that_are_not_waited_for_are_given_up_when_their_time_is_over(calls):
    caller, address, peer, _ = calls
    caller.exchange(address, PeerReport(), TIMEOUT_S)
    stream = caller._grpc.by_address[address]
    answer = peer.answer_report
    peer.answer_report = lambda report: (
        peer.release_slow_calls.wait(TIMEOUT_S) if report.instance == "slow" else answer(report)
    )
    reports = [(address, PeerReport(instance=name)) for name in ("slow", "edge-1")]
    results = caller.exchange_all(reports, 0.1)
    assert next(results)[0] == 1
    results.close()
    assert caller._grpc.by_address[address] is stream
    wait_for(lambda: address not in caller._grpc.by_address, "the stream is replaced")
    assert stream._pending == {}


def test_a_stream_is_kept_while_the_caller_is_patient(calls):
    caller, address, peer, _ = calls
    caller.exchange(address, PeerReport(), TIMEOUT_S)
    stream = caller._grpc.by_address[address]
    peer.answer_report = lambda report: peer.release_slow_calls.wait(TIMEOUT_S)
    reports = [(address, PeerReport())]
    [(_, result)] = caller.exchange_all(reports, 0.02, patience_s=TIMEOUT_S)
    assert isinstance(result.err_value, LinkLost)
    assert caller._grpc.by_address[address] is stream
    assert stream._pending == {}
    [(_, result)] = caller.exchange_all(reports, 0.02)
    assert isinstance(result.err_value, LinkLost)
    assert address not in caller._grpc.by_address
