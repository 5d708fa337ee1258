import time
from concurrent.futures import ThreadPoolExecutor

from result import Ok

from quetzalrudder.exceptions import QuetzalrudderError, RateExceeded
from quetzalrudder.rates import FleetLimits, RateLimiter
from quetzalrudder.schema.common import Ending
from quetzalrudder.schema.settings import Tree
from quetzalrudder.settings import SettingsTree, parse_branches
from quetzalrudder.share_exchange import ShareRequestBudget, choose_giver
from quetzalrudder.shares import ShareLedger, permit_key, rate_key
from standins.demo import STEPPE_SETTINGS
from standins.fleet import Fleet
from tests.clocks import ManualClock
from tests.conftest import SMALL_DEPLOYMENT
from tests.helpers import grant_key
from tests.test_shares import RATE, InMemoryFleet

WORKSPACE = "steppe/branch-1"
NEIGHBOUR = "steppe/branch-2"
REQUESTS_EACH = 120


def limiter_of(fleet, number):
    ledger = fleet.nodes[number].ledger
    peers = [node for node in fleet.nodes if node.ledger is not ledger]

    def spend_from_peers(key, cost):
        for peer in peers[:3]:
            req = ledger.request(peer.name, [key])
            ledger.accept_grant(peer.name, peer.ledger.grant(f"n{number}", req))
            if ledger.retry_spend(key, cost):
                return True
        return False

    return RateLimiter(ledger, spend_from_peers)


def test_a_request_takes_tokens_from_peers_if_the_local_bucket_is_empty():
    fleet = InMemoryFleet(count=3, burst=20)
    limiter = limiter_of(fleet, 2)
    assert all(limiter.admit(WORKSPACE, 1).is_ok() for _ in range(20))
    assert limiter.admit(WORKSPACE, 1).is_err()


def test_a_refusal_gives_the_time_until_the_tokens_are_available():
    fleet = InMemoryFleet(count=3, rate_per_s=50, burst=10)
    limiter = limiter_of(fleet, 1)
    while limiter.admit(WORKSPACE, 1).is_ok():
        continue
    refused = limiter.admit(WORKSPACE, 1).err_value
    assert isinstance(refused, RateExceeded)
    assert refused.ending is Ending.NOT_RUN
    fleet.clock.advance((refused.retry_after_ms - 2) / 1000)
    assert limiter.admit(WORKSPACE, 1).is_err()
    fleet.clock.advance(2 / 1000)
    assert limiter.admit(WORKSPACE, 1).is_ok()


def test_a_refusal_of_a_cost_above_the_burst_gives_no_retry_time():
    fleet = InMemoryFleet(count=3, burst=10)
    assert limiter_of(fleet, 0).admit(WORKSPACE, 11).err_value.retry_after_ms == 0


def test_even_a_burst_smaller_than_the_fleet_can_be_used():
    fleet = InMemoryFleet(count=6, burst=1)
    assert limiter_of(fleet, 5).admit(WORKSPACE, 1).is_ok()


def test_limits_follow_the_settings_in_force():
    trees = [
        SettingsTree(Tree(branches=parse_branches(f"[root]\nrate_per_s = {rate}\n")))
        for rate in (100, 40)
    ]
    limits = FleetLimits(lambda: trees[0], lambda target: 0)
    assert limits(rate_key(WORKSPACE)).rate_per_s == 100
    trees.pop(0)
    assert limits(rate_key(WORKSPACE)).rate_per_s == 40
    assert limits(permit_key("unknown")) is None


def test_share_requests_of_an_instance_are_limited():
    clock = ManualClock()
    budget = ShareRequestBudget(clock, per_s=10)
    consumed = 0
    for _ in range(1000):
        consumed += budget.try_consume()
        clock.advance(0.01)
    assert consumed <= 10 * 10 + 10


def test_the_peer_with_the_largest_balance_is_asked():
    class NoShuffle:
        def shuffle(self, peers):
            return

    assert choose_giver(["a", "b"], {"a": 1.0, "b": 3.0}, NoShuffle()) == "b"
    assert choose_giver(["a", "b", "c"], {"a": 1.0, "b": 3.0}, NoShuffle()) == "c"
    assert choose_giver([], {}, NoShuffle()) is None


def test_shares_move_to_the_instance_with_all_the_demand():
    fleet = InMemoryFleet(count=3, rate_per_s=100, burst=10)
    ledger: ShareLedger = fleet.nodes[0].ledger
    limiter = limiter_of(fleet, 0)
    for _ in range(300):
        fleet.clock.advance(0.01)
        for node in fleet.nodes:
            node.ledger.heartbeat()
        assert limiter.admit(WORKSPACE, 0.95) == Ok(None)
    assert ledger.units(RATE) > sum(node.ledger.units(RATE) for node in fleet.nodes[1:])


def send_all(fleet, instance, workspace, key):
    """Send a fixed number of reads; return the number of answers and the refusals."""
    answered, refused = 0, []
    with fleet.session(instance, workspace=workspace, key=key) as session:
        for _ in range(REQUESTS_EACH):
            try:
                session.read("steppe/comparables", "SELECT 1")
                answered += 1
            except QuetzalrudderError as exc:
                refused.append(exc)
    return answered, refused


def test_ten_times_the_rate_through_all_instances_stays_within_rate_and_burst():
    rate_per_s, burst = 20, 10
    settings = STEPPE_SETTINGS.replace(
        "rate_per_s = 200\n", f"rate_per_s = {rate_per_s}\nburst = {burst}\n"
    )
    assert settings != STEPPE_SETTINGS
    with Fleet(SMALL_DEPLOYMENT, settings) as fleet, ThreadPoolExecutor(4) as executor:
        key = grant_key(fleet, WORKSPACE)
        neighbour_key = grant_key(fleet, NEIGHBOUR)
        started = time.monotonic()
        futures = [
            executor.submit(send_all, fleet, name, WORKSPACE, key)
            for name in fleet.instance_addresses
        ]
        neighbour = executor.submit(send_all, fleet, "astana-a-1", NEIGHBOUR, neighbour_key)
        outcomes = [fut.result() for fut in futures]
        elapsed_s = time.monotonic() - started
        neighbour_answered, neighbour_refused = neighbour.result()
    answered = sum(count for count, _ in outcomes)
    refusals = [exc for _, refused in outcomes for exc in refused]
    assert 0 < answered <= rate_per_s * elapsed_s + burst
    assert refusals
    assert all(isinstance(exc, RateExceeded) and exc.retry_after_ms > 0 for exc in refusals)
    assert (neighbour_answered, neighbour_refused) == (REQUESTS_EACH, [])
