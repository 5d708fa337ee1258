import random

import pytest

from quetzalrudder.gateway.assignments import LARGE_FLEET, rank
from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.gateway.quotas import QuotaRules
from quetzalrudder.gateway.rate_tokens import HANDOVER_S, TokenBuckets
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet, catalog

RULES = QuotaRules()
SMALL = Workspace("almaty", 6.0, 6.0)
NAMES = tuple(f"edge-{number}" for number in range(LARGE_FLEET + 4))


def most_in_a_window(times):
    return max(
        sum(1 for at in times if start <= at < start + RULES.window_s) for start in [*times, 0.0]
    )


def bound(limit):
    return (limit.rate_per_s * RULES.window_s + limit.burst) * (1 + RULES.excess) + RULES.margin


def test_ranks_move_only_what_a_lost_instance_answered_for():
    names = [f"edge-{number}" for number in range(30)]
    before = {subject: rank(str(subject), names)[0] for subject in range(200)}
    after = {subject: rank(str(subject), names[1:])[0] for subject in range(200)}
    moved = {subject for subject in before if before[subject] != after[subject]}
    assert moved == {subject for subject in before if before[subject] == names[0]}


def test_keepers_that_follow_each_other_admit_no_more_than_one():
    clock = ManualClock()
    admitted = []
    for _ in range(6):
        buckets = TokenBuckets(RULES, clock)
        buckets.assign({"almaty"})
        for _ in range(30):
            clock.advance(0.1)
            while buckets.take(SMALL, 1.0) == 0:
                admitted.append(clock.now)
    assert most_in_a_window(admitted) <= bound(SMALL)


def test_a_new_keeper_gives_nothing_until_others_have_seen_the_change():
    clock = ManualClock()
    buckets = TokenBuckets(RULES, clock)
    assert buckets.take(SMALL, 1.0) is None
    buckets.assign({"almaty"})
    clock.advance(HANDOVER_S / 2)
    assert buckets.take(SMALL, 1.0) is None
    clock.advance(HANDOVER_S)
    assert buckets.take(SMALL, 1.0) == 0


def test_a_refusal_tells_when_the_next_token_comes():
    clock = ManualClock()
    buckets = TokenBuckets(RULES, clock)
    buckets.assign({"almaty"})
    clock.advance(60)
    while (wait_s := buckets.take(SMALL, 1.0)) == 0:
        pass
    clock.advance(wait_s + 0.001)
    assert buckets.take(SMALL, 1.0) == 0


@pytest.fixture
def fleet():
    fleet = GatewayFleet(NAMES)
    for instance in fleet.instances:
        workspaces = {name: Workspace(name, 6.0, 6.0) for name in ("almaty", "astana")}
        instance.gateway.catalogs.offer(catalog(2, workspaces=workspaces), b"2")
    fleet.run(20)
    return fleet


def ask_for(fleet, seconds, per_s, instances, rng):
    """Play operations at random instances; give the times of those admitted."""
    admitted, asked = [], 0
    turns = int(seconds / 0.05)
    for _ in range(turns):
        for _ in range(2):
            if rng.random() < per_s * 0.025:
                asked += 1
                if rng.choice(instances).gateway.rates.admit(SMALL).is_ok():
                    admitted.append(fleet.clock.now)
        fleet.run(0.05)
    return admitted, asked


def test_a_small_workspace_spread_over_a_large_fleet_gets_its_rate(fleet):
    admitted, asked = ask_for(fleet, 20, 5.0, fleet.instances, random.Random(1))
    assert len(admitted) >= 0.99 * asked
    assert most_in_a_window(admitted) <= bound(SMALL)


def test_a_hot_workspace_is_held_to_its_rate_through_losses_of_its_keeper(fleet):
    rng = random.Random(2)
    admitted = []
    for _ in range(3):
        live = [instance for instance in fleet.instances if not instance.frozen]
        found, _ = ask_for(fleet, 8, 40.0, live, rng)
        admitted += found
        present = live[0].gateway.view.live_instances()
        fleet.by_name[rank("almaty", present)[0]].frozen = True
    live = [instance for instance in fleet.instances if not instance.frozen]
    found, _ = ask_for(fleet, 8, 40.0, live, rng)
    assert most_in_a_window(admitted + found) <= bound(SMALL)
    assert len(found) >= 0.5 * 8 * SMALL.rate_per_s


def test_two_halves_of_a_fleet_together_admit_no_more_than_the_whole(fleet):
    rng = random.Random(3)
    cut = fleet.instances[: len(NAMES) * 2 // 3]
    for instance in cut:
        instance.cut_from_store()
    admitted, _ = ask_for(fleet, 15, 60.0, fleet.instances, rng)
    assert most_in_a_window(admitted) <= bound(SMALL)
    for instance in cut:
        instance.cut_from_store(False)
    again, _ = ask_for(fleet, 15, 60.0, fleet.instances, rng)
    assert most_in_a_window(admitted + again) <= bound(SMALL)


def test_an_operation_that_reached_no_database_is_given_back(fleet):
    gateway = fleet[0].gateway
    admitted = 0
    for _ in range(200):
        taken = gateway.rates.admit(SMALL)
        if taken.is_ok():
            admitted += 1
            taken.ok_value.refund()
    assert admitted == 200
