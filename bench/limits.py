"""Requests refused though within rate: the ledger against equal division and an ideal bucket.

Instances run the ledger and the choice of whom to ask; time, demand and the network are
virtual. A request is wrongly refused if one bucket for the whole fleet, which sees the
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
    MAX_PEERS_ASKED,
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
LOADS = (0.5, 0.8, 0.95)
INSTANCES = (6, 9)
ONE_WAY_S = {STEPPE.name: 0.0005, HOCHZEITSRAUM.name: 0.0015}
CENTRES = {STEPPE.name: STEPPE.data_centres, HOCHZEITSRAUM.name: HOCHZEITSRAUM.data_centres}
DEMANDS = ("even", "skewed", "moving")
MOVE_S = 4.0
KEY = rate_key("workspace")


def weights(demand: str, count: int, now: float) -> list[float]:
    """Give how likely a request is to come to each instance."""
    zipf = [1 / (rank + 1) for rank in range(count)]
    match demand:
        case "even":
            return [1.0] * count
        case "skewed":
            return zipf
        case _:
            shift = int(now / MOVE_S) % count
            return zipf[shift:] + zipf[:shift]


@dataclass
class Node:
    """One instance under the virtual clock."""

    name: str
    ledger: ShareLedger
    budget: ShareRequestBudget
    left: dict[str, float] = field(default_factory=dict)


class Simulation:
    """A fleet of ledgers, and the events between them in the order of time."""

    def __init__(self, count: int, centres: tuple[str, ...], one_way_s: float, seed: int) -> None:
        self.clock = ManualClock(0.0)
        self.rng = random.Random(seed)
        self.one_way_s = one_way_s
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.messages = 0
        limit = RateLimit(RATE_PER_S, BURST)
        claims = [
            ShareClaim(data_centre=dc, incarnation=f"n{rank}") for rank, dc in enumerate(centres)
        ]
        record = ShareRecord(epoch=1, closed=True, claims=claims)
        self.nodes: list[Node] = []
        for number in range(count):
            dc = centres[number % len(centres)]
            ledger = ShareLedger(f"n{number}", dc, {KEY: limit}.get, self.clock)
            ledger.apply_record(record)
            self.nodes.append(Node(f"n{number}", ledger, ShareRequestBudget(self.clock)))
            self.at(BALANCE_INTERVAL_S * number / count, lambda number=number: self.tick(number))

    def at(self, delay_s: float, call: Callable[[], None]) -> None:
        """Call something later."""
        heapq.heappush(self.events, (self.clock.now + delay_s, next(self.order), call))

    def run(self, until_s: float) -> None:
        """Run events in order of time."""
        while self.events and self.events[0][0] <= until_s:
            self.clock.now, _, call = heapq.heappop(self.events)
            call()
        self.clock.now = until_s

    def tick(self, number: int) -> None:
        """Balance, as an instance does at every tick."""
        node = self.nodes[number]
        node.ledger.heartbeat()
        keys = node.ledger.active_keys()
        if keys:
            node.left.clear()
            self.ask(node, keys, set(), lambda: None)
        self.at(BALANCE_INTERVAL_S, lambda: self.tick(number))

    def ask(
        self, node: Node, keys: list[ShareKey], tried: set[str], done: Callable[[], None]
    ) -> bool:
        """Ask one peer; ``done`` is called when its answer has been taken over."""
        peers = [other.name for other in self.nodes if other is not node]
        peers = [name for name in peers if name not in tried]
        name = choose_giver(peers, node.left, self.rng)
        if name is None or not node.budget.try_consume():
            return False
        tried.add(name)
        giver = self.nodes[int(name[1:])]
        req = node.ledger.request(name, keys)
        self.messages += 1

        def arrive() -> None:
            grant = giver.ledger.grant(node.name, req)
            self.messages += 1
            self.at(self.one_way_s, lambda: take(grant))

        def take(grant: object) -> None:
            node.ledger.accept_grant(name, grant)
            for item in grant.left:
                node.left[name] = item.tokens
            done()

        self.at(self.one_way_s, arrive)
        return True

    def seek(self, node: Node, tried: set[str], end: Callable[[bool], None]) -> None:
        """Ask peers for the tokens of one request, as the exchange does."""
        if node.ledger.retry_spend(KEY, COST):
            end(True)
            return
        last = len(tried) >= MAX_PEERS_ASKED
        if last or not self.ask(node, [KEY], tried, lambda: self.seek(node, tried, end)):
            end(False)


@dataclass
class Counts:
    """What became of the requests after the warm-up."""

    requests: int = 0
    within: int = 0
    product_wrong: int = 0
    naive_wrong: int = 0
    product_admitted: int = 0


def simulate(deployment: str, count: int, demand: str, load: float) -> tuple[Counts, float]:
    """Run one case; gives counts, and messages a second per instance."""
    sim = Simulation(count, CENTRES[deployment], ONE_WAY_S[deployment], SEED)
    arrivals = random.Random(SEED + 1)
    ideal = EqualSplitBucket(RATE_PER_S, BURST, sim.clock, live=1)
    naive = [EqualSplitBucket(RATE_PER_S, BURST, sim.clock, live=count) for _ in range(count)]
    counts = Counts()
    now = 0.0
    while now < DURATION_S:
        now += arrivals.expovariate(RATE_PER_S * load)
        sim.run(now)
        number = arrivals.choices(range(count), weights(demand, count, now))[0]
        allowed = ideal.spend(COST)
        counted = now >= WARM_UP_S
        naive_done = naive[number].spend(COST)

        def end(done: bool, allowed: bool = allowed, counted: bool = counted) -> None:
            if counted:
                counts.product_admitted += done
                counts.product_wrong += allowed and not done

        if counted:
            counts.requests += 1
            counts.within += allowed
            counts.naive_wrong += allowed and not naive_done
        node = sim.nodes[number]
        if node.ledger.spend(KEY, COST):
            end(True)
        else:
            sim.seek(node, set(), end)
    sim.run(now + 1.0)
    return counts, sim.messages / now / count


def run() -> list[Measurement]:
    """Measure wrongful refusals and messages for both deployments."""
    measures: list[Measurement] = []
    worst_messages = 0.0
    for deployment, count, demand, load in itertools.product(ONE_WAY_S, INSTANCES, DEMANDS, LOADS):
        counts, messages = simulate(deployment, count, demand, load)
        case = f"{deployment} {count} {demand} {load:.0%}"
        for variant, wrong in (
            ("product", counts.product_wrong),
            ("naive", counts.naive_wrong),
            ("ideal", 0),
        ):
            share = 100 * wrong / counts.within
            measures.append(Measurement("limits.wrongful", case, variant, share, "%"))
        worst_messages = max(worst_messages, messages)
    case = "per instance, worst case"
    measures.append(Measurement("limits.messages", case, "product", worst_messages, "1/s"))
    return measures
