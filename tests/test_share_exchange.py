import random
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import pytest
from result import Err, Ok

from quetzalrudder.exceptions import OutcomeUnknown, QuetzalrudderError, TargetUnavailable
from quetzalrudder.membership import Membership
from quetzalrudder.models import TargetId
from quetzalrudder.schema.peers import ShareClaim, ShareRecord
from quetzalrudder.schema.platform import InstanceEntry
from quetzalrudder.share_exchange import MAX_ANSWER_DELAY_S, PEER_TIMEOUT_S, ShareExchange
from quetzalrudder.shares import PermitLimit, RateLimit, ShareLedger, permit_key, rate_key
from standins.memory_platform import MemoryPlatform, MemoryStore
from tests.clocks import ManualClock

TARGET = TargetId("valuation-core-1-a")
PERMITS = 9
RATE = rate_key("steppe/branch-1")
DATA_CENTRES = {"a-1": "a", "b-1": "b", "c-1": "c"}


class Network:
    """Carries messages between exchanges; a peer may be delayed or unreachable."""

    def __init__(self):
        self.clock = ManualClock()
        limits = {permit_key(TARGET): PermitLimit(PERMITS), RATE: RateLimit(30.0, 30.0)}
        record = ShareRecord(
            epoch=1,
            closed=True,
            claims=[ShareClaim(dc, f"{name}/1") for name, dc in DATA_CENTRES.items()],
        )
        self.ledgers = {
            name: ShareLedger(f"{name}/1", dc, limits.get, self.clock)
            for name, dc in DATA_CENTRES.items()
        }
        self.delayed = set()
        self.unreachable = set()
        self.held_back = []
        self.exchanges = {}
        for name in DATA_CENTRES:
            self.ledgers[name].apply_record(record)
            self.exchanges[name] = self.make_exchange(name)

    def make_exchange(self, name):
        membership = Membership(name, DATA_CENTRES[name], self.clock)
        membership.set_platform_list(
            [InstanceEntry(n, "", "127.0.0.1:1", dc) for n, dc in DATA_CENTRES.items()]
        )
        links = Links(self, name)
        platform = MemoryPlatform(MemoryStore(self.clock))
        rng = random.Random(1)
        return ShareExchange(self.ledgers[name], links, membership, platform, self.clock, rng)

    def total_permits(self):
        return sum(ledger.units(permit_key(TARGET)) for ledger in self.ledgers.values())


class Links:
    def __init__(self, network, name):
        self._network = network
        self._name = name
        self.handlers = {}

    def register_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def start(self, peer, message):
        if peer in self._network.unreachable:
            raise TargetUnavailable("not reached", place=peer)
        handlers = self._network.exchanges[peer]._links.handlers
        fut = Future()
        deliver = lambda: fut.set_result(handlers[type(message)](self._name, message))  # noqa: E731
        if peer in self._network.delayed:
            self._network.held_back.append(deliver)
        else:
            deliver()
        return fut

    def wait_for_answer(self, fut, timeout_s):
        try:
            return Ok(fut.result(0))
        except FutureTimeoutError:
            return Err(OutcomeUnknown("no answer in time"))

    def request(self, peer, message, timeout_s):
        try:
            return self.wait_for_answer(self.start(peer, message), timeout_s)
        except QuetzalrudderError as exc:
            return Err(exc)


@pytest.fixture
def network():
    return Network()


def reserve_all(network, name):
    while network.ledgers[name].reserve(permit_key(TARGET)):
        pass


def test_a_peer_whose_answer_came_late_is_asked_again_at_once(network):
    reserve_all(network, "a-1")
    network.unreachable = {"b-1"}
    network.delayed = {"c-1"}
    exchange = network.exchanges["a-1"]
    exchange._request_shares([permit_key(TARGET)], PEER_TIMEOUT_S, set())
    network.delayed = set()
    for deliver in network.held_back:
        deliver()
    for _ in range(3):
        assert exchange.reserve_from_peers(TARGET)


def test_a_stop_hands_over_to_a_peer_that_accepts(network):
    network.unreachable = {"c-1"}
    network.ledgers["b-1"].suspend()
    exchange = network.exchanges["a-1"]
    exchange._stopping.wait = lambda seconds: network.ledgers["b-1"].resume(1, network.clock.now)
    exchange.hand_over()
    del network.ledgers["a-1"]
    assert network.total_permits() == PERMITS


def test_an_unanswered_offer_is_made_to_no_other_peer(network):
    network.delayed = {"b-1"}
    network.unreachable = {"c-1"}
    network.exchanges["a-1"].hand_over()
    network.exchanges["a-1"]._links._network.unreachable = set()
    for deliver in network.held_back:
        deliver()
    assert network.total_permits() == PERMITS


def spend_all(network, name):
    while network.ledgers[name].spend(RATE, 1):
        pass


def test_a_request_waits_for_tokens_of_a_busy_peer(network):
    spend_all(network, "a-1")
    network.unreachable = {"b-1"}
    network.delayed = {"c-1"}

    def pass_time(seconds):
        network.clock.advance(seconds)
        while network.held_back:
            network.held_back.pop()()

    exchange = network.exchanges["a-1"]
    exchange._stopping.wait = pass_time
    assert exchange.spend_from_peers(RATE, 1)


def test_a_frozen_peer_delays_a_refusal_only_briefly(network):
    spend_all(network, "a-1")
    network.unreachable = {"b-1"}
    network.delayed = {"c-1"}
    exchange = network.exchanges["a-1"]
    exchange._stopping.wait = network.clock.advance
    started = network.clock.now
    while exchange.spend_from_peers(RATE, 12):
        pass
    assert network.clock.now - started <= 2 * MAX_ANSWER_DELAY_S


def test_a_peer_that_answers_after_a_second_still_accepts_the_shares(network):
    network.unreachable = {"c-1"}
    network.delayed = {"b-1"}
    exchange = network.exchanges["a-1"]

    def pass_time(seconds):
        # Each request has timed out before this pause.
        network.clock.advance(PEER_TIMEOUT_S + seconds)
        if network.clock.now - started > 1.0:
            network.delayed = set()

    started = network.clock.now
    exchange._stopping.wait = pass_time
    exchange.hand_over()
    del network.ledgers["a-1"]
    assert network.total_permits() == PERMITS
