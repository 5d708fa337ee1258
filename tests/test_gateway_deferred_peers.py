"""Calls to peers before the client for them is loaded."""

import threading

from result import Ok

from quetzalrudder.exceptions import TargetUnavailable
from quetzalrudder.gateway.deferred_peers import DeferredPeerCaller
from quetzalrudder.schema.common import Ending
from quetzalrudder.schema.gateway import EndRequest, TokenReply, TokenRequest
from quetzalrudder.utils import SystemClock
from tests.clocks import ManualClock


class RecordingCaller:
    def __init__(self):
        self.calls = []

    def take_token(self, address, req, timeout_s):
        self.calls.append((address, req, timeout_s))
        return Ok(TokenReply())

    def end(self, address, req):
        self.calls.append((address, req))


def test_a_call_before_the_client_is_loaded_ends_as_not_run_after_its_timeout():
    clock = ManualClock()
    caller = DeferredPeerCaller(clock)
    started_at = clock.monotonic()
    exc = caller.take_token("10.0.0.2:7000", TokenRequest(), 0.3).err_value
    assert isinstance(exc, TargetUnavailable)
    assert exc.ending is Ending.NOT_RUN
    assert abs(clock.monotonic() - started_at - 0.3) < 1e-6


def test_a_call_made_while_the_client_is_loaded_is_passed_on():
    client = RecordingCaller()
    caller = DeferredPeerCaller(SystemClock())
    threading.Timer(0.01, caller.provide, [client]).start()
    assert caller.take_token("10.0.0.2:7000", TokenRequest(), 30.0) == Ok(TokenReply())
    (_, _, timeout_s) = client.calls[0]
    assert timeout_s < 30.0


def test_calls_after_the_client_is_loaded_keep_their_timeout():
    client = RecordingCaller()
    caller = DeferredPeerCaller(ManualClock())
    caller.end("10.0.0.2:7000", EndRequest())
    caller.provide(client)
    caller.take_token("10.0.0.2:7000", TokenRequest(), 0.3)
    caller.end("10.0.0.2:7000", EndRequest())
    assert client.calls == [
        ("10.0.0.2:7000", TokenRequest(), 0.3),
        ("10.0.0.2:7000", EndRequest()),
    ]
