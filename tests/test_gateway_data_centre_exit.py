"""Plays reads of two data centres on a virtual clock: what callers get, and what crosses."""

import heapq
import random

import pytest

from quetzalrudder.gateway.data_centre_exit import (
    CrossingPrice,
    DataCentreExit,
    Decision,
    ExitReason,
    Offer,
)
from quetzalrudder.gateway.placement import Placement, ReadNeeds
from quetzalrudder.gateway.targets import Target, TargetRegistry, TargetRole
from quetzalrudder.utils import Address
from tests.clocks import ManualClock

HOME, OTHER = "dc-a", "dc-b"
WORK_S = 0.02
ROUND_TRIP_S = 0.002
OBJECTIVE_S = 0.1
TIMEOUT_S = 0.4
SPAN_S = 12.0
# Part of the span in which something is wrong, 5 s.
TROUBLE = (3.0, 8.0)
INSTANCES = 4
PRICE = CrossingPrice(per_statement_s=0.005)


class AlwaysLocal:
    """Leaves only if there is no local database."""

    def __init__(self, *args):
        pass

    def choose(self, local, remote, remaining_s=None):
        return Decision(HOME if local else OTHER, ExitReason.STAYS)

    def record_answer(self, data_centre):
        pass

    record_failure = record_answer


class AlwaysQuickest(AlwaysLocal):
    """Goes where the answer is expected first."""

    def choose(self, local, remote, remaining_s=None):
        if local and local.expected_s <= remote[OTHER].expected_s:
            return Decision(HOME, ExitReason.STAYS)
        return Decision(OTHER, ExitReason.SOONER)


class Databases:
    """The slots of a data centre; the work of each read waits for one."""

    def __init__(self, slots, short_slots=None):
        self.slots, self.short_slots = slots, short_slots
        self.free_at = [0.0] * slots

    def serve(self, now, work_s):
        is_short = self.short_slots is not None and TROUBLE[0] <= now < TROUBLE[1]
        # While short, the missing slots' work is done by those that are left.
        work_s *= self.slots / self.short_slots if is_short else 1
        start = max(now, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, start + work_s)
        return start + work_s

    def load(self, now):
        return sum(max(0.0, at - now) for at in self.free_at) / (self.slots * WORK_S)


class Estimate:
    """Moving mean of the times to answer, which fades to a prior."""

    def __init__(self, prior_s):
        self.prior_s = self.mean_s = prior_s
        self.at = 0.0
        self.load = 0.0

    def add(self, now, took_s, load):
        self.mean_s, self.at, self.load = self.value(now) * 0.8 + took_s * 0.2, now, load

    def value(self, now):
        faded = min(1.0, (now - self.at) / 2.0)
        return self.mean_s * (1 - faded) + self.prior_s * faded


class Play:
    """Instances of one data centre, with databases here and there."""

    def __init__(self, make, here, there, *, round_trip_s=None, is_cut=None, own_per_s=100):
        self.rng, self.clock = random.Random(7), ManualClock(0.0)
        self.databases = {HOME: here, OTHER: there}
        self.round_trip_s = round_trip_s or (lambda now: ROUND_TRIP_S)
        self.is_cut = is_cut or (lambda now: False)
        self.own_per_s = own_per_s
        self.deciders = [
            make(HOME, PRICE, self.clock, random.Random(index)) for index in range(INSTANCES)
        ]
        self.estimates = [
            {HOME: Estimate(WORK_S), OTHER: Estimate(WORK_S + ROUND_TRIP_S)}
            for _ in range(INSTANCES)
        ]
        self.events, self.sequence = [], 0
        self.reads = self.in_time = self.crossed = self.changes = self.lost = 0
        # Those of the other data centre's own callers.
        self.others = self.others_in_time = 0
        self.crossed_by_second = [0] * 60

    def at(self, when, call, *args):
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, call, args))

    def run(self, per_s):
        for rate, call in ((per_s, self.read), (self.own_per_s, self.read_of_other)):
            now = 0.0
            while (now := now + self.rng.expovariate(rate)) < SPAN_S:
                self.at(now, call)
        while self.events:
            self.clock.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self

    def work_s(self):
        return WORK_S * self.rng.uniform(0.5, 1.5)

    def read_of_other(self):
        now = self.clock.now
        self.others += 1
        done_at = self.databases[OTHER].serve(now, self.work_s())
        self.others_in_time += done_at - now <= OBJECTIVE_S

    def read(self):
        self.reads += 1
        self.attempt(self.clock.now, self.rng.randrange(INSTANCES), 1)

    def attempt(self, arrived_at, index, number):
        now, known = self.clock.now, self.estimates[index]
        offers = {name: Offer(known[name].value(now), known[name].load) for name in known}
        local = offers[HOME] if self.databases[HOME] else None
        remaining_s = arrived_at + OBJECTIVE_S - now
        chosen = self.deciders[index].choose(local, {OTHER: offers[OTHER]}, remaining_s).data_centre
        extra_s = 0.0
        if chosen == OTHER:
            self.crossed += 1
            self.crossed_by_second[int(now)] += 1
            extra_s = self.round_trip_s(now)
            if self.is_cut(now):
                self.at(now + TIMEOUT_S, self.lose, arrived_at, index, number)
                return
        databases = self.databases[chosen]
        done_at = databases.serve(now + extra_s / 2, self.work_s()) + extra_s / 2
        self.at(done_at, self.finish, arrived_at, index, chosen, now)

    def lose(self, arrived_at, index, number):
        self.lost += 1
        self.deciders[index].record_failure(OTHER)
        self.estimates[index][OTHER].add(self.clock.now, TIMEOUT_S, 0.0)
        if number < 3:
            self.attempt(arrived_at, index, number + 1)

    def finish(self, arrived_at, index, chosen, sent_at):
        now = self.clock.now
        if chosen == OTHER:
            self.deciders[index].record_answer(OTHER)
        load = self.databases[chosen].load(now)
        self.estimates[index][chosen].add(now, now - sent_at, load)
        self.in_time += now - arrived_at <= OBJECTIVE_S

    @property
    def share_in_time(self):
        return self.in_time / self.reads

    @property
    def share_crossed(self):
        return self.crossed / self.reads

    @property
    def share_of_others_in_time(self):
        return self.others_in_time / self.others


def in_trouble(now):
    return TROUBLE[0] <= now < TROUBLE[1]


CASES = {
    "well": lambda make: Play(make, Databases(6), Databases(8)).run(150),
    "none here": lambda make: Play(make, None, Databases(12)).run(150),
    "short for 5 s": lambda make: Play(make, Databases(6, 2), Databases(12)).run(150),
    "both short": lambda make: Play(make, Databases(6, 2), Databases(8, 2), own_per_s=95).run(150),
    "link narrows": lambda make: Play(
        make,
        Databases(6, 2),
        Databases(12),
        round_trip_s=lambda now: 0.3 if in_trouble(now) else ROUND_TRIP_S,
    ).run(95),
    "cut": lambda make: Play(make, Databases(6, 2), Databases(12), is_cut=in_trouble).run(110),
}


def play_all(case):
    makes = (AlwaysLocal, AlwaysQuickest, DataCentreExit)
    return [CASES[case](make) for make in makes]


def test_nothing_leaves_while_the_own_databases_suffice():
    _, quickest, product = play_all("well")
    assert product.share_crossed < 0.01 < quickest.share_crossed
    assert product.share_in_time >= quickest.share_in_time - 0.01


def test_all_leave_a_data_centre_without_databases():
    _, _, product = play_all("none here")
    assert product.share_in_time > 0.98 and product.share_crossed == 1.0


def test_a_shortage_spills_over_and_ends_without_flutter():
    local, quickest, product = play_all("short for 5 s")
    assert local.share_in_time < 0.5 < 0.9 < product.share_in_time
    assert product.crossed < 0.75 * quickest.crossed
    before, after = product.crossed_by_second[:3], product.crossed_by_second[10:]
    assert sum(before) == sum(after) == 0
    assert min(product.crossed_by_second[4:8]) > 50


def test_a_shortage_on_both_sides_does_not_load_the_other_one_further():
    local, quickest, product = play_all("both short")
    assert product.share_of_others_in_time >= local.share_of_others_in_time - 0.1
    assert product.share_of_others_in_time >= quickest.share_of_others_in_time + 0.1


def test_reads_stay_while_the_link_is_narrow():
    local, quickest, product = play_all("link narrows")
    assert product.share_in_time >= max(local.share_in_time, quickest.share_in_time)
    assert product.crossed < 0.5 * quickest.crossed


def test_a_cut_link_is_tried_seldom():
    local, quickest, product = play_all("cut")
    assert product.lost < 0.1 * quickest.lost
    assert product.share_in_time >= local.share_in_time


def make_exit(price=PRICE):
    clock = ManualClock()
    return clock, DataCentreExit(HOME, price, clock, random.Random(1))


def share_leaving(clock, decider, offer, *, remaining_s=None):
    """Return the share after the ramp is complete."""
    here, leaving = Offer(0.2, 1.0), 0
    for number in range(400):
        clock.advance(0.02)
        decision = decider.choose(here, {OTHER: offer}, remaining_s, size_bytes=2000)
        leaving += number >= 200 and decision.data_centre == OTHER
    return leaving / 200


def test_the_price_of_bytes_keeps_reads_at_home():
    there = Offer(0.02, 0.0)
    assert share_leaving(*make_exit(CrossingPrice()), there) == 1.0
    assert share_leaving(*make_exit(CrossingPrice(per_megabyte_s=100.0)), there) == 0.0


def test_no_more_leaves_than_the_other_side_has_free():
    assert share_leaving(*make_exit(), Offer(0.02, 0.6)) == pytest.approx(0.25, abs=0.1)
    assert share_leaving(*make_exit(), Offer(0.02, 0.9)) == 0.0


def test_a_read_that_is_late_anyway_stays():
    assert share_leaving(*make_exit(), Offer(0.1, 0.0), remaining_s=0.05) == 0.0


def test_instances_begin_at_different_times():
    starts = set()
    for seed in range(8):
        clock = ManualClock()
        decider = DataCentreExit(HOME, PRICE, clock, random.Random(seed))
        while decider.choose(Offer(0.2, 1.0), {OTHER: Offer(0.02, 0.0)}).data_centre == HOME:
            clock.advance(0.01)
        starts.add(round(clock.now, 2))
    assert len(starts) >= 4


def test_a_placement_with_a_price_keeps_reads_at_home_and_counts_those_that_leave():
    clock, crossings = ManualClock(), []
    registry = TargetRegistry(clock)
    address = Address("10.0.0.1", 7000)
    targets = [
        Target(f"db-{index}", "g", address, data_centre, 6, TargetRole.REPLICA)
        for index, data_centre in enumerate((HOME, OTHER))
    ]
    registry.replace_all(targets)
    placement = Placement(
        registry,
        IdlePool(),
        HOME,
        random.Random(1),
        clock,
        is_large=lambda: True,
        crossing_price=PRICE,
        count_crossing=crossings.append,
    )
    needs = ReadNeeds()
    for _ in range(50):
        assert placement.rank("g", "w", set(), needs)[0].target == "db-0"
    # The own database is the primary, which is used only if no other is left.
    needs = ReadNeeds(primary="db-0")
    first = placement.rank("g", "w", set(), needs)[0]
    assert first.target == "db-1"
    placement.count_statement(first, needs.reason)
    placement.count_statement(targets[0], needs.reason)
    assert crossings == [ExitReason.NO_LOCAL.value]


class IdlePool:
    """Connections that are all open and idle."""

    def load(self, target):
        return 0.0

    def has_idle(self, target, workspace):
        return True
