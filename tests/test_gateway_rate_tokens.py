import random

import pytest

from quetzalrudder.gateway.assignments import LARGE_FLEET, FleetView, rank
from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.gateway.members import MemberRecord, MemberTable, RosterRecord
from quetzalrudder.gateway.quotas import QuotaRules
from quetzalrudder.gateway.rate_parts import RatePart
from quetzalrudder.gateway.token_buckets import CEDED_S, HANDOVER_DELAY_S, TokenBuckets
from quetzalrudder.models import InstanceId
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet, catalog

RULES = QuotaRules()
SMALL = Workspace("almaty", 6.0, 6.0)
RATE = RULES.fleet_rate(SMALL)
# As in the configuration of a fleet that sets none.
CONFIGURED = catalog().workspaces["almaty"]
NAMES = tuple(f"edge-{number}" for number in range(LARGE_FLEET + 4))


def busiest_window(times):
    return max(
        sum(1 for at in times if start <= at < start + RULES.window_s) for start in [*times, 0.0]
    )


def max_per_window(limit):
    return (limit.rate_per_s * RULES.window_s + limit.burst) * (1 + RULES.excess) + RULES.margin


def test_a_lost_instance_changes_the_first_rank_only_of_its_own_subjects():
    names = [f"edge-{number}" for number in range(30)]
    before = {subject: rank(str(subject), names)[0] for subject in range(200)}
    after = {subject: rank(str(subject), names[1:])[0] for subject in range(200)}
    moved = {subject for subject in before if before[subject] != after[subject]}
    assert moved == {subject for subject in before if before[subject] == names[0]}


def test_successive_rate_owners_together_stay_within_the_limit():
    clock = ManualClock()
    admitted = []
    for _ in range(6):
        buckets = TokenBuckets(clock)
        buckets.set_owned({"almaty"})
        for _ in range(30):
            clock.advance(0.1)
            while buckets.take("almaty", RATE) == 0:
                admitted.append(clock.now)
    assert busiest_window(admitted) <= max_per_window(SMALL)


def test_a_new_rate_owner_hands_out_nothing_during_the_handover_delay():
    clock = ManualClock()
    buckets = TokenBuckets(clock)
    assert buckets.take("almaty", RATE) is None
    buckets.set_owned({"almaty"})
    clock.advance(HANDOVER_DELAY_S / 2)
    assert buckets.take("almaty", RATE) is None
    clock.advance(HANDOVER_DELAY_S)
    assert buckets.take("almaty", RATE) == 0


def test_a_refusal_states_when_the_next_token_is_available():
    clock = ManualClock()
    buckets = TokenBuckets(clock)
    buckets.set_owned({"almaty"})
    clock.advance(60)
    while (wait_s := buckets.take("almaty", RATE)) == 0:
        pass
    clock.advance(wait_s + 0.001)
    assert buckets.take("almaty", RATE) == 0


@pytest.fixture
def fleet():
    fleet = GatewayFleet(NAMES)
    for instance in fleet.instances:
        workspaces = {name: Workspace(name, 6.0, 6.0) for name in ("almaty", "astana")}
        instance.gateway.catalogs.update_if_newer(catalog(2, workspaces=workspaces), b"2")
    fleet.run(20)
    return fleet


def request_operations(fleet, seconds, per_s, instances, rng):
    """Request operations at random instances; return admission times and the request count."""
    admitted_at, requested = [], 0
    steps = int(seconds / 0.05)
    for _ in range(steps):
        for _ in range(2):
            if rng.random() < per_s * 0.025:
                requested += 1
                if rng.choice(instances).gateway.rates.admit(SMALL).is_ok():
                    admitted_at.append(fleet.clock.now)
        fleet.run(0.05)
    return admitted_at, requested


def test_a_small_workspace_gets_its_rate_over_all_instances_of_a_large_fleet(fleet):
    admitted, requested = request_operations(fleet, 20, 5.0, fleet.instances, random.Random(1))
    assert len(admitted) >= 0.99 * requested
    assert busiest_window(admitted) <= max_per_window(SMALL)


def test_a_workspace_beyond_its_rate_stays_limited_when_its_rate_owner_is_lost(fleet):
    rng = random.Random(2)
    admitted = []
    for _ in range(3):
        live = [instance for instance in fleet.instances if not instance.frozen]
        batch, _ = request_operations(fleet, 8, 40.0, live, rng)
        admitted += batch
        present = live[0].gateway.view.live_instances()
        fleet.by_name[rank("almaty", present)[0]].frozen = True
    live = [instance for instance in fleet.instances if not instance.frozen]
    batch, _ = request_operations(fleet, 8, 40.0, live, rng)
    assert busiest_window(admitted + batch) <= max_per_window(SMALL)
    assert len(batch) >= 0.5 * 8 * SMALL.rate_per_s


def test_two_parts_of_a_divided_fleet_together_stay_within_the_limit(fleet):
    rng = random.Random(3)
    cut_off = fleet.instances[: len(NAMES) * 2 // 3]
    for instance in cut_off:
        instance.cut_from_store()
    admitted, _ = request_operations(fleet, 15, 60.0, fleet.instances, rng)
    assert busiest_window(admitted) <= max_per_window(SMALL)
    for instance in cut_off:
        instance.cut_from_store(False)
    later, _ = request_operations(fleet, 15, 60.0, fleet.instances, rng)
    assert busiest_window(admitted + later) <= max_per_window(SMALL)


def test_tokens_of_operations_that_reached_no_database_are_refunded(fleet):
    gateway = fleet[0].gateway
    admitted = 0
    for _ in range(200):
        charge = gateway.rates.admit(SMALL)
        if charge.is_ok():
            admitted += 1
            charge.ok_value.refund()
    assert admitted == 200


def test_ceded_tokens_are_passed_on_and_the_former_owner_hands_out_none():
    clock = ManualClock()
    former, new = TokenBuckets(clock), TokenBuckets(clock)
    former.set_owned({"almaty"})
    clock.advance(60)
    assert former.take("almaty", RATE) == 0
    assert new.set_owned({"almaty"}) == {"almaty"}
    new.take_over("almaty", former.cede("almaty"))
    assert former.take("almaty", RATE) is None
    # The former owner has not read the record of the new one yet.
    assert former.set_owned({"almaty"}) == set()
    issued = 1
    while new.take("almaty", RATE) == 0:
        issued += 1
    assert issued == int(RATE.capacity)
    clock.advance(CEDED_S)
    assert former.set_owned({"almaty"}) == {"almaty"}


def small_fleet(names=("edge-1", "edge-2", "edge-3", "edge-4")):
    fleet = GatewayFleet(names)
    configure(fleet)
    return fleet


def configure(fleet):
    for instance in fleet.instances:
        workspaces = {name: Workspace(name, 6.0, 6.0) for name in ("almaty", "astana")}
        instance.gateway.catalogs.update_if_newer(catalog(2, workspaces=workspaces), b"2")


def test_a_restart_of_all_instances_interrupts_the_rates_only_briefly():
    fleet = small_fleet()
    fleet.run(5)
    for name in [instance.name for instance in fleet.instances]:
        fleet.start(name)
    fleet.clock.advance(2.0)
    fleet.store.expire()
    configure(fleet)
    fleet.run(0.5)
    # Without confirmation by the others, a rate owner waits longer than that.
    assert HANDOVER_DELAY_S > 0.5
    admitted, requested = request_operations(fleet, 1.0, 4.0, fleet.instances, random.Random(4))
    assert requested >= 3
    assert len(admitted) >= requested - 1


@pytest.mark.parametrize("seed", range(6))
def test_floods_stay_within_the_limit_while_instances_join_leave_and_freeze(seed):
    rng = random.Random(seed)
    fleet = small_fleet()
    fleet.run(3)
    admitted = []
    for _ in range(8):
        victim = rng.choice(fleet.instances)
        match rng.randrange(5):
            case 0:
                fleet.start(victim.name, rng.randrange(1000))
                configure(fleet)
            case 1:
                victim.frozen = not victim.frozen
            case 2:
                victim.cut_from_store(rng.random() < 0.5)
            case 3:
                victim.cut_from_peers = not victim.cut_from_peers
            case _:
                fleet.start(f"edge-{len(fleet.instances) + 1}", rng.randrange(1000))
                configure(fleet)
        live = [instance for instance in fleet.instances if not instance.frozen]
        batch, _ = request_operations(fleet, rng.uniform(0.5, 4.0), 80.0, live, rng)
        admitted += batch
    assert busiest_window(admitted) <= max_per_window(SMALL)


def test_the_rankings_of_a_fleet_view_are_those_of_rendezvous_hashing():
    members = MemberTable(ManualClock())
    view = FleetView(members)
    rng = random.Random(5)
    names = []
    for number in range(40):
        names.append(InstanceId(f"edge-{number}"))
        if rng.random() < 0.3:
            names.remove(rng.choice(names))
        records = [RosterRecord(name, "1", name) for name in names]
        members.replace_roster(records)
        members.replace_all([MemberRecord(name, "1", {}, {}) for name in names])
        for subject in ("almaty", "astana"):
            assert [record.instance for record in view.ranked(subject)] == rank(subject, names)


def test_a_takeover_is_repeated_until_a_peer_that_starts_later_has_answered():
    fleet = small_fleet()
    fleet.run(5)
    names = [instance.name for instance in fleet.instances]
    late = names[-1]
    for name in names:
        fleet.start(name)
    fleet.by_name[late].frozen = True
    fleet.clock.advance(0.5)
    configure(fleet)
    fleet.run(0.2)
    fleet.by_name[late].frozen = False
    fleet.run(0.3)
    assert HANDOVER_DELAY_S > 0.5
    owners = [instance.gateway.rates.buckets for instance in fleet.instances]
    for workspace in ("almaty", "astana"):
        assert [owner for owner in owners if owner.take(workspace, RATE) is not None]


def test_no_operation_calls_a_rate_owner_that_did_not_answer_the_one_before():
    fleet = small_fleet()
    fleet.run(5)
    owner = fleet.by_name[rank("almaty", fleet[0].gateway.view.live_instances())[0]]
    other = next(instance for instance in fleet.instances if instance is not owner)
    owner.cut_from_peers = True
    assert other.gateway.rates.admit(SMALL).is_err()
    take_token, called = other.take_token, []

    def record_call(address, req, timeout_s):
        called.append(address)
        return take_token(address, req, timeout_s)

    other.take_token = record_call
    for _ in range(20):
        assert other.gateway.rates.admit(SMALL).is_err()
        fleet.run(0.1)
    assert owner.name not in called
    owner.cut_from_peers = False
    fleet.run(0.5)
    assert other.gateway.rates.admit(SMALL).is_ok()
    assert other.gateway.rates.admit(SMALL).is_ok()
    assert owner.name in called


def fleet_of_six():
    fleet = GatewayFleet(NAMES[:6])
    fleet.run(5)
    return fleet


def drain_local_part(instance, limit):
    """Use up what the instance admits without a call."""
    while instance.gateway.rates._local.admit(limit, 6).is_ok():
        pass


def flood(fleet, seconds, limit, times):
    """Request far more operations than the rate at all instances; record the admission times."""
    for _ in range(int(seconds / 0.05)):
        for instance in fleet.instances:
            for _ in range(8):
                if instance.gateway.rates.admit(limit).is_ok():
                    times.append(fleet.clock.now)
        fleet.run(0.05)


def test_a_rate_owner_that_only_the_store_reaches_loses_the_rate_to_another_one():
    """Cut off from its peers, it keeps its lease for as long as the cut lasts."""
    fleet = fleet_of_six()
    limit = CONFIGURED
    owner = fleet.by_name[fleet[0].gateway.view.ranked("almaty")[0].instance]
    owner.cut_from_peers = True
    others = [instance for instance in fleet.instances if instance is not owner]
    flood(fleet, 4.0, limit, [])
    for instance in others:
        drain_local_part(instance, limit)
    assert any(
        instance.gateway.rates._take_token(RatePart("almaty")).is_ok() for instance in others
    )
    assert owner.gateway.rates.buckets.take("almaty", RATE) is None


def test_the_limit_holds_while_a_separated_rate_owner_is_replaced_and_returns():
    fleet = fleet_of_six()
    limit = CONFIGURED
    owner = fleet.by_name[fleet[0].gateway.view.ranked("almaty")[0].instance]
    times = []
    for _ in range(3):
        flood(fleet, 3.0, limit, times)
        owner.cut_from_peers = True
        flood(fleet, 4.0, limit, times)
        owner.cut_from_peers = False
    assert busiest_window(times) <= max_per_window(limit)


def test_a_rate_owner_that_answers_again_owns_its_rates_again():
    fleet = fleet_of_six()
    owner = fleet.by_name[fleet[0].gateway.view.ranked("almaty")[0].instance]
    owner.cut_from_peers = True
    flood(fleet, 3.0, CONFIGURED, [])
    assert fleet[0].gateway.members.separated() == {owner.name}
    owner.cut_from_peers = False
    fleet.run(2.0)
    assert fleet[0].gateway.members.separated() == set()
    assert owner.gateway.rates.buckets.take("almaty", RATE) is not None


def test_one_instance_that_reaches_nobody_takes_no_rates_from_the_others():
    fleet = fleet_of_six()
    fleet[0].cut_from_peers = True
    flood(fleet, 3.0, CONFIGURED, [])
    assert fleet[1].gateway.members.separated() <= {fleet[0].name}


def test_operations_of_a_starting_fleet_wait_for_the_owner_of_their_rate():
    """All callers return at once after a restart of all instances."""
    fleet = GatewayFleet(NAMES[:6])
    fleet.clock.sleep = fleet.run
    limit = CONFIGURED
    instance = fleet[0]
    drain_local_part(instance, limit)
    wait_until = fleet.clock.now + 0.5
    assert instance.gateway.rates.admit(limit, wait_until).is_ok()
    assert fleet.clock.now <= wait_until


def test_an_operation_that_may_not_wait_is_refused_at_once_without_a_rate_owner():
    fleet = GatewayFleet(NAMES[:6])
    limit = CONFIGURED
    drain_local_part(fleet[0], limit)
    started = fleet.clock.now
    assert fleet[0].gateway.rates.admit(limit).is_err()
    assert fleet.clock.now == started
