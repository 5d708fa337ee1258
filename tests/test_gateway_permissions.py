"""No write or read is acknowledged at a primary that has been replaced.

This holds for every partition between instances, store and databases.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from quetzalrudder.exceptions import LinkLost
from quetzalrudder.gateway.permission import OUTAGE_LIMIT_S, PEER_PERMISSION_S, PERMISSION_S
from quetzalrudder.gateway.statements import Write
from quetzalrudder.schema.gateway import PermissionGrant
from tests.gateway_fleet import GatewayFleet


@pytest.fixture
def fleet():
    running = GatewayFleet()
    assert running.run(3.0, running.all_know_primary) is not None
    running.run(2.0)
    return running


def served_s(fleet, instance, seconds):
    """Return for how many seconds of a period writes through an instance are acknowledged."""
    session = instance.session()
    served = 0
    for attempt in range(int(seconds / 0.1)):
        served += session.execute(f"w{attempt}", Write("a", str(attempt))).error is None
        fleet.run(0.1)
    return served * 0.1


def test_an_instance_without_the_store_continues_with_permission_by_peers(fleet):
    fleet[2].cut_from_store()
    assert served_s(fleet, fleet[2], 12.0) > 11.0
    assert fleet.group.promotions == []


def test_an_instance_without_store_and_peers_stops_when_its_permission_expires(fleet):
    fleet[2].cut_from_store()
    fleet[2].cut_from_peers = True
    assert served_s(fleet, fleet[2], 12.0) <= PERMISSION_S


def test_the_fleet_continues_while_no_instance_reaches_the_store(fleet):
    for instance in fleet.instances:
        instance.cut_from_store()
    assert served_s(fleet, fleet[0], 12.0) > 11.0


def test_the_fleet_stops_when_an_outage_of_the_store_exceeds_its_limit(fleet):
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.run(OUTAGE_LIMIT_S + PERMISSION_S + 1)
    assert served_s(fleet, fleet[0], 1.0) == 0


def test_half_of_a_fleet_without_the_store_and_the_other_half_stops(fleet):
    """The other half may reach the store and replace the primary."""
    for instance in fleet.instances[:2]:
        instance.cut_from_store()
        instance.cut_from_peers = True
    assert served_s(fleet, fleet[0], 6.0) <= PERMISSION_S


def test_a_change_of_primary_reaches_an_instance_through_its_peers(fleet):
    fleet[2].cut_from_store()
    fleet.run(4.0)
    fleet.group["db-1"].up = False
    assert fleet.run(6.0, lambda: bool(fleet.group.promotions)) is not None
    fleet.run(2.0)
    assert served_s(fleet, fleet[2], 1.0) > 0.8


def test_a_lost_primary_is_replaced_soon_after_all_instances_restarted(fleet):
    fleet.group["db-1"].up = False
    for name in ("edge-1", "edge-2", "edge-3"):
        fleet.start(name, seed=7)
    took_s = fleet.run(10.0, lambda: bool(fleet.group.promotions))
    assert took_s is not None
    assert took_s <= 2.5


@pytest.fixture
def vouched(fleet):
    """Return the instance that vouches for another one, which reaches neither store nor others."""
    coordinator = next(i for i in fleet.instances if i.gateway.failover.is_coordinator)
    cut, vouching = (i for i in fleet.instances if i is not coordinator)
    cut.cut_from_store()
    call = cut.exchange
    cut.exchange = lambda address, *args: (
        call(address, *args) if address == vouching.name else Err(LinkLost("cut", place=address))
    )
    fleet.run(3.0)
    assert cut.gateway.permission.valid
    return cut, vouching


def test_an_instance_that_stops_grants_no_more_permission(fleet, vouched):
    cut, vouching = vouched
    vouching.gateway.begin_stop()
    fleet.run(PEER_PERMISSION_S)
    assert vouching.gateway.permission.valid
    assert not cut.gateway.permission.valid


def test_a_permission_does_not_outlast_the_instance_that_granted_it(fleet, vouched):
    """The coordinator waits neither for a peer that left nor for what it granted."""
    cut, vouching = vouched
    fleet.run(1.0, lambda: cut.gateway.permission.remaining_s > PEER_PERMISSION_S / 2)
    vouching.gateway.membership.leave()
    assert not cut.gateway.permission.valid


def test_a_process_that_never_had_a_lease_grants_nothing_soon_after_boot(fleet):
    """The clock starts at boot; without a lease, the process knows no record."""
    fleet.clock.now = 9.0
    started = fleet.start("edge-3")
    started.cut_from_store()
    fleet.run(0.1)
    reply = started.gateway.answer_report(
        fleet[0].gateway.peering._make_report(asks_permission=True)
    )
    assert reply.grant is PermissionGrant.NONE


class FaultSearch:
    """Injects random faults and checks that each acknowledged write ran at the newest primary."""

    fault_count = 13

    def __init__(self, seed, names=("edge-1", "edge-2", "edge-3", "edge-4"), store_era=None):
        self.rng = random.Random(seed)
        self.fleet = GatewayFleet(names, seed, store_era)
        self.fleet.group.promotion_delay_s = self.rng.choice((0.0, 0.3, 1.0))
        self.fleet.run(3.0, self.fleet.all_know_primary)
        self.acknowledged = 0

    def check_writes(self):
        for instance in self.fleet.instances:
            if instance.frozen:
                continue
            newest = self.newest_primary()
            answer = instance.session("quick").execute("w", Write("a", "1"))
            if answer.error is None:
                ran_at = self.fleet.group.executed[-1][0]
                assert ran_at == newest, (instance.name, ran_at, newest)
                self.acknowledged += 1

    def newest_primary(self):
        self.fleet.group.apply_due_promotions()
        primaries = [d for d in self.fleet.group.databases.values() if d.primary]
        return max(primaries, key=lambda d: d.term).info.target

    def inject_fault(self):
        fleet, rng = self.fleet, self.rng
        instance = rng.choice(fleet.instances)
        match rng.randrange(self.fault_count):
            case 0:
                instance.cut_from_store(rng.random() < 0.6)
            case 1:
                instance.cut_from_peers = rng.random() < 0.6
            case 2:
                instance.frozen = rng.random() < 0.6
            case 3:
                fleet.start(instance.name, rng.randrange(1000))
            case 4:
                target = rng.choice((self.newest_primary(), "db-1", "db-2", "db-3"))
                for other in fleet.instances:
                    if rng.random() < 0.7:
                        other.unreachable.add(target)
            case 5:
                for other in fleet.instances:
                    other.unreachable.clear()
            case 6:
                # The store is unreachable for all instances and loses every lease.
                for other in fleet.instances:
                    other.cut_from_store()
                for lease in list(fleet.store.leases):
                    fleet.store.drop_lease(lease)
            case 7:
                for other in fleet.instances:
                    other.cut_from_store(False)
            case 8:
                fleet.store.compact()
            case 11:
                # Writes take effect and their answers are lost.
                for handle in instance.store_clients:
                    handle.lose_next_answer = True
            case 12 if len(fleet.instances) < 7:
                fleet.start(f"spare-{len(fleet.instances)}", rng.randrange(1000))
            case 9 | 10:
                # Some instances reach the primary but not the store, the others the store
                # but not the primary.
                self.heal()
                target = self.newest_primary()
                for other in fleet.instances:
                    if rng.random() < 0.5:
                        other.cut_from_store()
                        other.cut_from_peers = True
                    else:
                        other.unreachable.add(target)

    def heal(self):
        for instance in self.fleet.instances:
            instance.frozen = instance.cut_from_peers = False
            instance.cut_from_store(False)
            instance.unreachable.clear()
        self.fleet.run(self.rng.choice((0.5, 4.0)))

    def run(self, steps):
        for _ in range(steps):
            self.inject_fault()
            for _ in range(self.rng.randrange(1, 30)):
                self.fleet.run(0.05)
                self.check_writes()


@settings(max_examples=60)
@given(st.integers(min_value=0, max_value=100_000))
def test_no_write_is_acknowledged_at_a_replaced_primary(seed):
    FaultSearch(seed).run(30)


def test_the_search_acknowledges_writes_and_replaces_primaries():
    """Guards against a search that never writes or never replaces a primary."""
    searches = [FaultSearch(seed) for seed in range(5)]
    for search in searches:
        search.run(12)
    assert sum(search.acknowledged for search in searches) > 100
    assert sum(len(search.fleet.group.promotions) for search in searches) > 0


def test_the_search_finds_a_coordinator_that_does_not_wait_for_acknowledgements(monkeypatch):
    """A coordinator that promotes at once lets two primaries acknowledge writes."""
    monkeypatch.setattr(
        "quetzalrudder.gateway.failover.may_promote", lambda *_args, **_kwargs: True
    )
    with pytest.raises(AssertionError):
        for seed in range(60):
            FaultSearch(seed).run(30)


def test_the_search_finds_a_coordinator_that_ignores_outages_of_the_store(monkeypatch):
    """In an outage of the store, a majority of the fleet continues without valid leases."""
    monkeypatch.setattr(
        "quetzalrudder.gateway.promotion_rules._outage_permission_s", lambda *_: 0.0
    )
    with pytest.raises(AssertionError):
        for seed in range(200):
            FaultSearch(seed).run(30)


def test_the_only_instance_with_the_store_does_not_replace_a_primary_in_use(fleet):
    """It cannot reach the primary, but the others still use the primary, so it has to wait."""
    for instance in fleet.instances[1:]:
        instance.cut_from_store()
    fleet[0].cut_from_peers = True
    fleet[0].unreachable = {"db-1"}
    assert served_s(fleet, fleet[1], 12.0) > 11.0
    assert fleet.group.promotions == []


def test_a_failed_instance_does_not_stop_the_others_in_an_outage(fleet):
    fleet[0].frozen = True
    for instance in fleet.instances:
        instance.cut_from_store()
    assert served_s(fleet, fleet[1], 12.0) > 11.0


def test_only_an_instance_that_is_isolated_itself_is_not_ready(fleet):
    fleet[2].cut_from_store()
    fleet.run(4.0)
    assert fleet[2].gateway.ready
    fleet[2].cut_from_peers = True
    fleet.run(1.0)
    assert not fleet[2].gateway.ready
    assert fleet[0].gateway.ready
    fleet[2].cut_from_store(False)
    fleet.run(1.0)
    assert fleet[2].gateway.ready


def test_an_outage_of_the_store_leaves_all_instances_ready(fleet):
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.run(OUTAGE_LIMIT_S + 5)
    assert all(instance.gateway.ready for instance in fleet.instances)


def count_calls(fleet):
    calls = []
    for instance in fleet.instances:
        call = instance.exchange
        instance.exchange = lambda *args, call=call: (calls.append(args[0]), call(*args))[1]
    return calls


def test_a_third_of_a_large_fleet_without_the_store_asks_only_a_few_peers():
    fleet = GatewayFleet(tuple(f"edge-{number}" for number in range(24)))
    fleet.run(4.0)
    without_store = fleet.instances[:8]
    for instance in without_store:
        instance.cut_from_store()
    fleet.run(3.0)
    calls = count_calls(fleet)
    fleet.run(4.0)
    assert all(instance.gateway.permission.valid for instance in fleet.instances)
    # 8 instances request permission 5 times a second, each from 4 peers first. Requests to
    # all peers would be 8 x 23 x 5 calls a second.
    assert len(calls) / 4.0 <= 8 * 6 * 5


def test_a_large_fleet_continues_through_an_outage_of_the_store():
    fleet = GatewayFleet(tuple(f"edge-{number}" for number in range(20)))
    fleet.run(4.0)
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.run(3.0)
    for _ in range(40):
        fleet.run(0.1)
        assert all(instance.gateway.permission.valid for instance in fleet.instances)
