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
from quetzalrudder.share_exchange import ASK_TIMEOUT_S, LATE_ANSWER_S, ShareExchange
from quetzalrudder.shares import PermitLimit, RateLimit, ShareLedger, permit_key, rate_key
from standins.memory_platform import MemoryPlatform, MemoryStore
from tests.clocks import ManualClock

TARGET = TargetId("valuation-core-1-a")
PERMITS = 9
RATE = rate_key("steppe/branch-1")
CENTRES = {"a-1": "a", "b-1": "b", "c-1": "c"}


class Wire:
    """Carries messages between exchanges; a peer may be slow, gone or not yet in the fleet."""

    def __init__(self):
        self.clock = ManualClock()
        limits = {permit_key(TARGET): PermitLimit(PERMITS), RATE: RateLimit(30.0, 30.0)}
        record = ShareRecord(
            epoch=1,
            closed=True,
            claims=[ShareClaim(dc, f"{name}/1") for name, dc in CENTRES.items()],
        )
        self.ledgers = {
            name: ShareLedger(f"{name}/1", dc, limits.get, self.clock)
            for name, dc in CENTRES.items()
        }
        self.slow = set()
        self.gone = set()
        self.late = []
        self.exchanges = {}
        for name in CENTRES:
            self.ledgers[name].join(record)
            self.exchanges[name] = self.make_exchange(name)

    def make_exchange(self, name):
        membership = Membership(name, CENTRES[name], self.clock)
        membership.set_platform_list(
            [InstanceEntry(n, "", "127.0.0.1:1", dc) for n, dc in CENTRES.items()]
        )
        links = Links(self, name)
        platform = MemoryPlatform(MemoryStore(self.clock))
        rng = random.Random(1)
        return ShareExchange(self.ledgers[name], links, membership, platform, self.clock, rng)

    def total(self):
        return sum(ledger.units(permit_key(TARGET)) for ledger in self.ledgers.values())


class Links:
    def __init__(self, wire, name):
        self._wire = wire
        self._name = name
        self.handlers = {}

    def on(self, message_type, handler):
        self.handlers[message_type] = handler

    def start(self, peer, message):
        if peer in self._wire.gone:
            raise TargetUnavailable("not reached", place=peer)
        handlers = self._wire.exchanges[peer]._links.handlers
        fut = Future()
        deliver = lambda: fut.set_result(handlers[type(message)](self._name, message))  # noqa: E731
        if peer in self._wire.slow:
            self._wire.late.append(deliver)
        else:
            deliver()
        return fut

    def answer_of(self, fut, timeout_s):
        try:
            return Ok(fut.result(0))
        except FutureTimeoutError:
            return Err(OutcomeUnknown("no answer in time"))

    def ask(self, peer, message, timeout_s):
        try:
            return self.answer_of(self.start(peer, message), timeout_s)
        except QuetzalrudderError as exc:
            return Err(exc)


@pytest.fixture
def wire():
    return Wire()


def use_up(wire, name):
    while wire.ledgers[name].reserve(permit_key(TARGET)):
        pass


def test_a_peer_whose_answer_came_late_is_asked_again_at_once(wire):
    use_up(wire, "a-1")
    wire.gone = {"b-1"}
    wire.slow = {"c-1"}
    exchange = wire.exchanges["a-1"]
    exchange._ask([permit_key(TARGET)], ASK_TIMEOUT_S, set())
    wire.slow = set()
    for deliver in wire.late:
        deliver()
    for _ in range(3):
        assert exchange.seek_permit(TARGET)


def test_a_stop_hands_over_to_a_peer_that_takes_it(wire):
    wire.gone = {"c-1"}
    wire.ledgers["b-1"].suspend()
    exchange = wire.exchanges["a-1"]
    exchange._stopping.wait = lambda seconds: wire.ledgers["b-1"].prove(1, wire.clock.now)
    exchange.hand_over()
    del wire.ledgers["a-1"]
    assert wire.total() == PERMITS


def test_an_offer_without_an_answer_is_made_to_nobody_else(wire):
    wire.slow = {"b-1"}
    wire.gone = {"c-1"}
    wire.exchanges["a-1"].hand_over()
    wire.exchanges["a-1"]._links._wire.gone = set()
    for deliver in wire.late:
        deliver()
    assert wire.total() == PERMITS


def spend_all(wire, name):
    while wire.ledgers[name].spend(RATE, 1):
        pass


def test_tokens_of_a_busy_peer_are_waited_for(wire):
    spend_all(wire, "a-1")
    wire.gone = {"b-1"}
    wire.slow = {"c-1"}

    def pass_time(seconds):
        wire.clock.advance(seconds)
        while wire.late:
            wire.late.pop()()

    exchange = wire.exchanges["a-1"]
    exchange._stopping.wait = pass_time
    assert exchange.seek(RATE, 1)


def test_a_frozen_peer_holds_a_refusal_back_for_a_moment_only(wire):
    spend_all(wire, "a-1")
    wire.gone = {"b-1"}
    wire.slow = {"c-1"}
    exchange = wire.exchanges["a-1"]
    exchange._stopping.wait = wire.clock.advance
    started = wire.clock.now
    while exchange.seek(RATE, 12):
        pass
    assert wire.clock.now - started <= 2 * LATE_ANSWER_S


def test_a_peer_that_answers_after_a_second_still_takes_the_shares(wire):
    wire.gone = {"c-1"}
    wire.slow = {"b-1"}
    exchange = wire.exchanges["a-1"]

    def pass_time(seconds):
        # Each question has taken its whole time before this pause.
        wire.clock.advance(ASK_TIMEOUT_S + seconds)
        if wire.clock.now - started > 1.0:
            wire.slow = set()

    started = wire.clock.now
    exchange._stopping.wait = pass_time
    exchange.hand_over()
    del wire.ledgers["a-1"]
    assert wire.total() == PERMITS
