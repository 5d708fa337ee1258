"""Requests wrongly refused by rate limits: the share ledger against an equal split.

Instances use the product's ledger and choice of peers; time, demand and the network are
simulated. A request is wrongly refused if one ideal bucket for the whole fleet, with the
same arrivals, would have admitted it.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.measures import Measurement
from quetzalrudder.schema.peers import ShareClaim, ShareRecord
from quetzalrudder.share_exchange import (
    BALANCE_INTERVAL_S,
    MAX_PEERS_PER_SEARCH,
    ShareRequestBudget,
    choose_giver,
)
from quetzalrudder.shares import RateLimit, ShareKey, ShareLedger, rate_key
from standins.deployments import HOCHZEITSRAUM, STEPPE
from tests.clocks import ManualClock
from tests.naive.limits import EqualSplitBucket

__all__ = ["run"]

SEED = 7
DURATION_S = 20.0
WARM_UP_S = 2.0
RATE_PER_S = 500.0
BURST = 100.0
COST = 1.0
# Fractions of the rate at which requests arrive.
LOADS = (0.5, 0.8, 0.95)
INSTANCE_COUNTS = (6, 9)
ONE_WAY_S = {STEPPE.name: 0.0005, HOCHZEITSRAUM.name: 0.0015}
DATA_CENTRES = {STEPPE.name: STEPPE.data_centres, HOCHZEITSRAUM.name: HOCHZEITSRAUM.data_centres}
DEMANDS = ("even", "skewed", "moving")
DEMAND_SHIFT_INTERVAL_S = 4.0
KEY = rate_key("workspace")


def demand_weights(demand: str, count: int, now: float) -> list[float]:
    """Return each instance's relative probability of receiving a request."""
    zipf = [1 / (rank + 1) for rank in range(count)]
    match demand:
        case "even":
            return [1.0] * count
        case "skewed":
            return zipf
        case _:
            shift = int(now / DEMAND_SHIFT_INTERVAL_S) % count
            return zipf[shift:] + zipf[:shift]


@dataclass
class SimulatedInstance:
    """One instance: its ledger, its request budget, and the tokens last reported by peers."""

    name: str
    ledger: ShareLedger
    budget: ShareRequestBudget
    peer_tokens: dict[str, float] = field(default_factory=dict)


class Simulation:
    """Discrete-event simulation of a fleet of ledgers and the messages between them."""

    def __init__(
        self, count: int, data_centres: tuple[str, ...], one_way_s: float, seed: int
    ) -> None:
        self.clock = ManualClock(0.0)
        self.rng = random.Random(seed)
        self.one_way_s = one_way_s
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.messages = 0
        limit = RateLimit(RATE_PER_S, BURST)
        claims = [
            ShareClaim(data_centre=dc, incarnation=f"n{rank}")
            for rank, dc in enumerate(data_centres)
        ]
        record = ShareRecord(epoch=1, closed=True, claims=claims)
        self.instances: list[SimulatedInstance] = []
        for number in range(count):
            dc = data_centres[number % len(data_centres)]
            ledger = ShareLedger(f"n{number}", dc, {KEY: limit}.get, self.clock)
            ledger.apply_record(record)
            self.instances.append(
                SimulatedInstance(f"n{number}", ledger, ShareRequestBudget(self.clock))
            )
            self.schedule(
                BALANCE_INTERVAL_S * number / count, lambda number=number: self.tick(number)
            )

    def schedule(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        heapq.heappush(self.events, (self.clock.now + delay_s, next(self.event_numbers), call))

    def run(self, until_s: float) -> None:
        """Run the events up to a time."""
        while self.events and self.events[0][0] <= until_s:
            self.clock.now, _, call = heapq.heappop(self.events)
            call()
        self.clock.now = until_s

    def tick(self, number: int) -> None:
        """Run one balancing step of an instance and schedule the next."""
        instance = self.instances[number]
        instance.ledger.heartbeat()
        keys = instance.ledger.active_keys()
        if keys:
            instance.peer_tokens.clear()
            self.request_share(instance, keys, set(), lambda: None)
        self.schedule(BALANCE_INTERVAL_S, lambda: self.tick(number))

    def request_share(
        self,
        instance: SimulatedInstance,
        keys: list[ShareKey],
        tried_peers: set[str],
        on_answer: Callable[[], None],
    ) -> bool:
        """Request tokens from one peer; ``on_answer`` is called once its grant is applied.

        Returns
        -------
        bool
            False if all peers were tried already, or if the budget for requests is used up.
        """
        peers = [other.name for other in self.instances if other is not instance]
        peers = [name for name in peers if name not in tried_peers]
        name = choose_giver(peers, instance.peer_tokens, self.rng)
        if name is None or not instance.budget.try_consume():
            return False
        tried_peers.add(name)
        peer = self.instances[int(name[1:])]
        req = instance.ledger.request(name, keys)
        self.messages += 1

        def handle_request() -> None:
            grant = peer.ledger.grant(instance.name, req)
            self.messages += 1
            self.schedule(self.one_way_s, lambda: apply_grant(grant))

        def apply_grant(grant: object) -> None:
            instance.ledger.accept_grant(name, grant)
            for item in grant.left:
                instance.peer_tokens[name] = item.tokens
            on_answer()

        self.schedule(self.one_way_s, handle_request)
        return True

    def request_tokens(
        self, instance: SimulatedInstance, tried_peers: set[str], finish: Callable[[bool], None]
    ) -> None:
        """Request the tokens of one statement from peers one after another, as instances do.

        ``finish`` is called with True if the statement is admitted, otherwise with False.
        """
        if instance.ledger.retry_spend(KEY, COST):
            finish(True)
            return
        limit_reached = len(tried_peers) >= MAX_PEERS_PER_SEARCH
        if limit_reached or not self.request_share(
            instance, [KEY], tried_peers, lambda: self.request_tokens(instance, tried_peers, finish)
        ):
            finish(False)


@dataclass
class RequestCounts:
    """Counts of requests after the warm-up."""

    requests: int = 0
    within_rate: int = 0
    product_wrongly_refused: int = 0
    naive_wrongly_refused: int = 0
    product_admitted: int = 0


def simulate(deployment: str, count: int, demand: str, load: float) -> tuple[RequestCounts, float]:
    """Simulate one case; return the counts, and the messages per second of each instance."""
    sim = Simulation(count, DATA_CENTRES[deployment], ONE_WAY_S[deployment], SEED)
    arrivals = random.Random(SEED + 1)
    ideal = EqualSplitBucket(RATE_PER_S, BURST, sim.clock, live_instances=1)
    naive = [
        EqualSplitBucket(RATE_PER_S, BURST, sim.clock, live_instances=count) for _ in range(count)
    ]
    counts = RequestCounts()
    now = 0.0
    while now < DURATION_S:
        now += arrivals.expovariate(RATE_PER_S * load)
        sim.run(now)
        number = arrivals.choices(range(count), demand_weights(demand, count, now))[0]
        allowed = ideal.spend(COST)
        is_counted = now >= WARM_UP_S
        naive_allowed = naive[number].spend(COST)

        def finish(admitted: bool, allowed: bool = allowed, is_counted: bool = is_counted) -> None:
            if is_counted:
                counts.product_admitted += admitted
                counts.product_wrongly_refused += allowed and not admitted

        if is_counted:
            counts.requests += 1
            counts.within_rate += allowed
            counts.naive_wrongly_refused += allowed and not naive_allowed
        instance = sim.instances[number]
        if instance.ledger.spend(KEY, COST):
            finish(True)
        else:
            sim.request_tokens(instance, set(), finish)
    sim.run(now + 1.0)
    return counts, sim.messages / now / count


def run() -> list[Measurement]:
    """Measure wrongful refusals and the message rate for both deployments."""
    measurements: list[Measurement] = []
    worst_messages_per_s = 0.0
    for deployment, count, demand, load in itertools.product(
        ONE_WAY_S, INSTANCE_COUNTS, DEMANDS, LOADS
    ):
        counts, messages_per_s = simulate(deployment, count, demand, load)
        case = f"{deployment} {count} {demand} {load:.0%}"
        for variant, wrong in (
            ("product", counts.product_wrongly_refused),
            ("naive", counts.naive_wrongly_refused),
            ("ideal", 0),
        ):
            wrong_percent = 100 * wrong / counts.within_rate
            measurements.append(Measurement("limits.wrongful", case, variant, wrong_percent, "%"))
        worst_messages_per_s = max(worst_messages_per_s, messages_per_s)
    case = "per instance, worst case"
    measurements.append(
        Measurement("limits.messages", case, "product", worst_messages_per_s, "1/s")
    )
    return measurements
