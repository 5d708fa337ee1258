"""In an outage of the store, instances of a large fleet continue with few calls, and safely.

Each instance needs a majority that lacks the store too. Collectors ask all instances and pass
on who confirmed, and how long ago.
"""

import statistics
from functools import partial

import pytest
from result import Err

from quetzalrudder.exceptions import LinkLost
from quetzalrudder.gateway.confirmations import Collectors, Confirmations
from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.gateway.permission import PEER_PERMISSION_S, PERMISSION_S
from quetzalrudder.schema.gateway import Confirmation
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet
from tests.test_gateway_permissions import FaultSearch

# Calls a second of an instance that asks four peers at most every 0.1 s.
MOST_CALLS_PER_S = 40


def names(count):
    return tuple(f"edge-{number}" for number in range(count))


def start_fleet(count, seed=1):
    fleet = GatewayFleet(names(count), seed)
    fleet.run(4.0)
    return fleet


def begin_outage(fleet):
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.run(PERMISSION_S + 0.5)


def count_calls(fleet, seconds):
    """Return the calls a second of each instance, in ascending order."""
    counts = dict.fromkeys(fleet.by_name, 0)
    for instance in fleet.instances:

        def counted(*args, call=instance.exchange, name=instance.name):
            counts[name] += 1
            return call(*args)

        instance.exchange = counted
    started = fleet.clock.now
    fleet.run(seconds)
    return sorted(count / (fleet.clock.now - started) for count in counts.values())


def are_permitted(instances):
    return all(instance.gateway.permission.valid for instance in instances)


@pytest.mark.parametrize("count", [17, 32, 90])
def test_calls_of_an_instance_do_not_grow_with_the_fleet(count):
    fleet = start_fleet(count)
    begin_outage(fleet)
    calls = count_calls(fleet, 2.0)
    assert are_permitted(fleet.instances)
    assert statistics.median(calls) <= MOST_CALLS_PER_S
    # At most two instances of a data centre ask all others, five times a second.
    assert calls[-3] <= MOST_CALLS_PER_S
    assert calls[-1] <= 5.5 * count
    assert fleet[0].gateway.peering.partition_fraction() == 1.0


def test_a_fleet_of_16_asks_all_peers_as_before():
    fleet = start_fleet(16)
    begin_outage(fleet)
    calls = count_calls(fleet, 2.0)
    assert are_permitted(fleet.instances)
    assert calls[0] == calls[-1]
    assert 15 * 3 <= calls[0] <= 15 * 5.5


def test_the_fleet_continues_when_its_collectors_are_lost():
    fleet = start_fleet(20)
    begin_outage(fleet)
    collecting = [
        instance
        for instance in fleet.instances
        if instance.gateway.peering._requests._is_collecting()
    ]
    assert len(collecting) == 2
    for instance in collecting:
        instance.cut_from_peers = True
    fleet.run(1.5)
    others = [instance for instance in fleet.instances if instance not in collecting]
    for _ in range(30):
        fleet.run(0.1)
        assert are_permitted(others)
    assert not any(instance.gateway.permission.valid for instance in collecting)


def test_half_of_a_large_fleet_does_not_continue_by_what_collectors_knew():
    """The confirmations of the other half expire, though the collectors still know them."""
    fleet = start_fleet(20)
    begin_outage(fleet)
    for instance in fleet.instances[10:]:
        instance.frozen = True
    fleet.run(PEER_PERMISSION_S + 0.1)
    assert not any(instance.gateway.permission.valid for instance in fleet.instances[:10])


def test_an_outage_begins_without_the_counts_of_an_earlier_one():
    """An instance whose peers did not answer earlier is not isolated before it asks again."""
    fleet = start_fleet(17)
    fleet[0].cut_from_peers = True
    fleet[0].cut_from_store()
    fleet.run(PERMISSION_S)
    assert fleet[0].gateway.isolated
    # It has its lease again before it asks another peer.
    fleet[0].cut_from_store(False)
    fleet.run(2.0)
    fleet[0].cut_from_peers = False
    fleet[0].cut_from_store()
    for _ in range(40):
        fleet.run(0.05)
        assert not fleet[0].gateway.isolated


@pytest.fixture
def clock():
    return ManualClock()


def confirmed(clock, asked):
    """Return the confirmations of the instances asked at the given seconds before now."""
    confirmations = Confirmations("own", clock)
    for name, age_s in asked.items():
        confirmations.record(name, clock.now - age_s)
    return confirmations


def test_a_majority_holds_until_its_oldest_needed_confirmation_expires(clock):
    confirmations = confirmed(clock, {"a": 0.1, "b": 0.2, "c": 0.5})
    view = {"own", "a", "b", "c", "d"}
    remaining_s = confirmations.majority_until([view]) - clock.now
    assert remaining_s == pytest.approx(PEER_PERMISSION_S - 0.5)
    confirmations.record_own(clock.now)
    remaining_s = confirmations.majority_until([view]) - clock.now
    assert remaining_s == pytest.approx(PEER_PERMISSION_S - 0.2)
    # Both views have to confirm while it is unknown which of them the store holds.
    assert confirmations.majority_until([view, {"d", "e"}]) < clock.now
    assert confirmations.majority_until([]) < clock.now


def test_duplicate_and_late_answers_do_not_prolong_a_confirmation(clock):
    confirmations = confirmed(clock, {"a": 0.1})
    for asked_at in (clock.now - 0.1, clock.now - 0.4):
        confirmations.record("a", asked_at)
    confirmations.record_collected([Confirmation(instance="a", age_ms=300)], clock.now)
    remaining_s = confirmations.majority_until([{"a"}]) - clock.now
    assert remaining_s == pytest.approx(PEER_PERMISSION_S - 0.1)


def test_collected_confirmations_count_from_when_the_collector_asked(clock):
    confirmations = Confirmations("own", clock)
    passed_on = confirmed(clock, {"a": 0.2}).to_pass_on()
    confirmations.record_collected(passed_on, clock.now - 0.05)
    remaining_s = confirmations.majority_until([{"a"}]) - clock.now
    assert PEER_PERMISSION_S - 0.252 <= remaining_s <= PEER_PERMISSION_S - 0.25


def test_only_own_confirmations_that_still_hold_are_passed_on(clock):
    confirmations = confirmed(clock, {"a": 0.1, "b": PEER_PERMISSION_S})
    confirmations.record_collected([Confirmation(instance="c", age_ms=1)], clock.now)
    confirmations.record_own(clock.now)
    assert [passed_on.instance for passed_on in confirmations.to_pass_on()] == ["a"]
    assert confirmations.confirming() == {"a", "c", "own"}


def test_collectors_are_of_the_own_data_centre_and_answer(clock):
    roster = [
        RosterRecord(f"{data_centre}-{number}", "1", "", data_centre)
        for data_centre in ("dc-0", "dc-1")
        for number in range(9)
    ]
    collectors = Collectors("dc-0-0", clock)
    chosen = collectors.choose(roster)
    assert len(chosen) == 2
    assert all(name.startswith("dc-0") for name in chosen)
    assert Collectors("dc-0-5", clock).choose(roster) == chosen
    collectors.record_call(chosen[0], answered=False)
    assert chosen[0] not in collectors.choose(roster)
    clock.advance(1.5)
    assert collectors.choose(roster) == chosen


class LargeFaultSearch(FaultSearch):
    """Ends outages of the store for one side of a partition of a large fleet only.

    The side with the store cannot reach the primary and may replace it; the other side can,
    and knows that the whole fleet was without the store until now.
    """

    def __init__(self, seed):
        super().__init__(seed, names(17))
        self.fleet.group.promotion_delay_s = 0.0
        self.isolated = set()
        for instance in self.fleet.instances:
            instance.exchange = partial(self.exchange, instance.name, instance.exchange)

    def exchange(self, name, call, address, report, timeout_s):
        if (name in self.isolated) != (address in self.isolated):
            return Err(LinkLost("the peer did not answer", place=address))
        return call(address, report, timeout_s)

    def inject_fault(self):
        fleet, rng = self.fleet, self.rng
        self.isolated = set()
        self.heal()
        for instance in fleet.instances:
            instance.cut_from_store()
        fleet.run(rng.uniform(PERMISSION_S, PERMISSION_S + 2.0))
        self.isolated = set(rng.sample(list(fleet.by_name), rng.randrange(2, 9)))
        target = self.newest_primary()
        for instance in fleet.instances:
            if instance.name not in self.isolated:
                instance.cut_from_store(False)
                instance.unreachable.add(target)
                instance.frozen = rng.random() < 0.1
            elif rng.random() < 0.2:
                instance.frozen = True

    def run(self, steps):
        for _ in range(steps):
            self.inject_fault()
            for _ in range(40):
                self.fleet.run(0.05)
                self.check_writes()


def test_no_write_is_acknowledged_at_a_replaced_primary_in_a_large_fleet():
    searches = [LargeFaultSearch(seed) for seed in range(3)]
    for search in searches:
        search.run(4)
    assert sum(search.acknowledged for search in searches) > 100
    assert sum(len(search.fleet.group.promotions) for search in searches) > 0


def test_the_search_finds_confirmations_that_are_passed_on_without_their_age(monkeypatch):
    def pass_on_all(confirmations):
        return [Confirmation(instance=name) for name in list(confirmations._received)]

    monkeypatch.setattr(Confirmations, "to_pass_on", pass_on_all)
    with pytest.raises(AssertionError):
        for seed in range(20):
            LargeFaultSearch(seed).run(4)
