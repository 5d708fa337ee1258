"""Plays bursts of a kind and of a workspace at a database with 5 slots and two owners.

Each statement is offered to the queue of one of the two owners, as the gateway does in a large
fleet. The naive version rounds the slots up, serves in order of arrival and lets a statement
wait 0.3 s, after which the whole wait is lost.
"""

import random
import statistics

import pytest

from quetzalrudder.gateway.fair_shares import FairShares
from quetzalrudder.gateway.slots import SlotLimiter
from quetzalrudder.gateway.wait_queue import Claim, Urgency, WaitQueue, WorkAhead
from tests.clocks import ManualClock
from tests.naive.slots import ArrivalOrder
from tests.slot_contention import (
    CHEAP,
    DEAR,
    OWNERS,
    SLOTS,
    USUAL,
    Call,
    Contention,
    Fair,
    arrivals,
    share_in_time,
)

# Statements a second of each of the workspaces, which use half of the slots together.
RATES = ((DEAR, 8.0), (USUAL, 6.0), (CHEAP, 1.5))
WORKSPACES = [f"w{index}" for index in range(10)]
HOT = WORKSPACES[0]
BURST = {"from_s": 4.0, "until_s": 10.0}
SEEDS = range(3)
LATE_WORTH = 0.3
WORTH = {DEAR: 3.5, USUAL: 1.9, CHEAP: 0.47}


def naive(clock, index):
    return ArrivalOrder(SLOTS, OWNERS)


def load(seed, *, burst=None, factor=3, hot_factor=1):
    """One kind comes more often in all workspaces, and one workspace with all kinds."""
    rng = random.Random(seed)
    calls = []
    for name in WORKSPACES:
        for kind, per_s in RATES:
            extra = (factor - 1 if kind is burst else 0) + (hot_factor - 1 if name == HOT else 0)
            calls += arrivals(rng, kind, name, per_s, until_s=14.0)
            if extra:
                calls += arrivals(rng, kind, name, extra * per_s, **BURST)
    return calls


def play(make_owner, **changes):
    """Return what was played, and the calls that arrived during the burst."""
    played, calls = [], []
    for seed in SEEDS:
        contention = Contention(make_owner, seed)
        calls += contention.play(load(seed, **changes))
        played.append(contention)
    return played, [call for call in calls if BURST["from_s"] <= call.at < BURST["until_s"]]


def worth(calls):
    got = sum(WORTH[call.kind] * (1 if call.in_time else LATE_WORTH) for call in calls if call.ran)
    return got / sum(WORTH[call.kind] for call in calls)


def kind_name(call):
    return call.kind.name


LOADS = {
    "usual kind x3": {"burst": USUAL},
    "hot workspace x8": {"hot_factor": 8},
    "both": {"burst": USUAL, "hot_factor": 8},
}


@pytest.fixture(scope="module", params=LOADS)
def results(request):
    changes = LOADS[request.param]
    return request.param, play(Fair, **changes), play(naive, **changes)


def test_the_dearest_kind_stays_in_time(results):
    _, (_, calls), (_, naive_calls) = results
    assert share_in_time(calls, kind_name)["dear"] >= 0.9
    assert share_in_time(naive_calls, kind_name)["dear"] < 0.9


def test_callers_get_more_worth(results):
    _, (_, calls), (_, naive_calls) = results
    assert worth(calls) >= worth(naive_calls) + 0.05


def test_the_database_refuses_nothing_and_no_queue_refuses_while_there_is_room(results):
    _, (played, _), (naive_played, _) = results
    assert sum(contention.busy_answers for contention in played) == 0
    assert sum(contention.busy_answers for contention in naive_played) > 1000
    assert sum(contention.refused_with_room for contention in played) == 0


def test_refusals_come_at_once(results):
    _, (_, calls), (_, naive_calls) = results
    refused = [call.refused_after_s for call in calls if not call.ran]
    naive_refused = [call.refused_after_s for call in naive_calls if not call.ran]
    assert len(refused) <= len(naive_refused)
    if len(refused) >= 10:
        assert statistics.median(refused) <= 0.01
        assert min(naive_refused) >= 1.0


def test_small_workspaces_get_what_they_get_without_the_hot_one():
    _, alone = play(Fair)
    _, calls = play(Fair, hot_factor=8)
    _, naive_calls = play(naive, hot_factor=8)
    before, after = share_in_time(alone, workspace), share_in_time(calls, workspace)
    naive_after = share_in_time(naive_calls, workspace)
    small = [name for name in WORKSPACES if name != HOT]
    assert min(after[name] / before[name] for name in small) >= 0.9
    assert min(naive_after[name] for name in small) < 0.9


def workspace(call):
    return call.workspace


def test_nothing_starves():
    """While dear statements fill the slots, cheap ones that wait end before their deadlines."""
    rng = random.Random(1)
    calls = arrivals(rng, DEAR, "a", 700.0, until_s=8.0)
    cheap = arrivals(rng, CHEAP, "b", 2.0, until_s=8.0)
    Contention(Fair).play(calls + cheap)
    assert sum(call.ran for call in cheap) >= 0.9 * len(cheap)


def test_a_statement_in_a_transaction_never_waits_behind_new_ones():
    rng = random.Random(2)
    calls = load(2, burst=USUAL, hot_factor=8)
    in_transactions = [
        Call(CHEAP, rng.choice(WORKSPACES), rng.uniform(4.0, 10.0), in_transaction=True)
        for _ in range(100)
    ]
    Contention(Fair, 2).play(calls + in_transactions)
    waits = [call.ended_at - call.at for call in in_transactions]
    assert all(call.ran for call in in_transactions)
    # Its own work and the rest of one that was in service.
    assert statistics.quantiles(waits, n=20)[-1] <= 5 * CHEAP.work_s


def claim(workspace, *, priority=1, due_at=1.0, until=10.0):
    return Claim(Urgency(1, priority, due_at), workspace, until)


def test_a_workspace_waits_for_the_shares_of_others_only():
    shares = FairShares(lambda name: 1.0)
    queue = WaitQueue(lambda: shares)
    for index in range(20):
        queue.add(Urgency(1, 1, 1.0), f"hot {index}", workspace="hot")
    assert queue.work_ahead(claim("hot"), 0.0, lambda _: 0.1).if_in_time_s == pytest.approx(2.0)
    assert queue.work_ahead(claim("small"), 0.0, lambda _: 0.1).if_in_time_s == pytest.approx(0.1)
    assert queue.work_ahead(claim("small", priority=0), 0.0, lambda _: 0.1) == WorkAhead()


def test_shares_are_in_proportion_to_the_rates():
    shares = FairShares({"large": 30.0, "small": 10.0}.__getitem__)
    queue = WaitQueue(lambda: shares)
    for index in range(40):
        for name in ("large", "small"):
            queue.add(Urgency(1, 1, 100.0), (name, index), workspace=name)
    served = [queue.pop(now=0.0, service_s=0.01)[0] for _ in range(40)]
    assert abs(served.count("large") - 30) <= 1


def test_a_full_queue_makes_room_for_a_workspace_below_its_share():
    shares = FairShares(lambda name: 1.0)
    queue = WaitQueue(lambda: shares)
    for index in range(4):
        queue.add(Urgency(1, 1, 1.0 + index), f"hot {index}", workspace="hot")
    queue.add(Urgency(1, 1, 0.0), "small 0", workspace="small")
    assert queue.displace(claim("small"), 0.1) == "hot 3"
    assert queue.displace(claim("hot"), 0.1) is None
    assert queue.displace(claim("small", priority=2), 0.1) is None
    assert queue.displace(claim("hot", priority=0), 0.1) == "hot 2"


def test_contention_of_the_past_refuses_nothing():
    clock = ManualClock()
    shares = FairShares(lambda workspace: 1.0)
    limiter = SlotLimiter(lambda: 1, lambda: shares, clock)

    def claim():
        return Claim(Urgency(1, 2, clock.now + 0.6), "almaty", clock.now + 1.8)

    for _ in range(100):
        for _ in range(2):
            limiter.enqueue(claim())
        for _ in range(2):
            clock.advance(0.04)
            limiter.release(2, 0.04)
    clock.advance(60.0)
    admitted = 0
    for _ in range(40):
        new = claim()
        if limiter.expected_delay_s(new) <= new.until - clock.now:
            limiter.enqueue(new)
            admitted += 1
    # Those that end within the objective, at least.
    assert admitted >= 15
