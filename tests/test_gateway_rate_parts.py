"""Rates divided among data centres, while these are connected and while they are not."""

import random

import pytest

from quetzalrudder.exceptions import RateOwnerUnknown
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.gateway.quotas import QuotaRules, TokenRate
from quetzalrudder.gateway.rate_parts import RatePart
from quetzalrudder.gateway.reachability import SILENT_INSTANCES
from tests.gateway_fleet import GatewayFleet, catalog
from tests.test_gateway_rate_tokens import busiest_window, max_per_window

RULES = QuotaRules()
DATA_CENTRES = ("dc-0", "dc-1", "dc-2", "dc-3")
NAMES = tuple(f"edge-{number}" for number in range(LARGE_FLEET + 4))
LIMIT = Workspace("almaty", 16.0, 16.0)
# What the callers of a workspace send, well within its rate.
USUAL_PER_S = 10.0


class DividedFleet(GatewayFleet):
    data_centres = DATA_CENTRES

    def data_centre(self, name):
        return DATA_CENTRES[int(name.removeprefix("edge-")) % len(DATA_CENTRES)]


class UndividedFleet(DividedFleet):
    """The naive version: one owner for each rate."""

    data_centres = ()


def start(fleet_class):
    fleet = fleet_class(NAMES)
    configure(fleet)
    fleet.run(20)
    return fleet


def configure(fleet):
    for instance in fleet.instances:
        workspaces = {name: Workspace(name, 16.0, 16.0) for name in ("almaty", "astana")}
        instance.gateway.catalogs.update_if_newer(catalog(2, workspaces=workspaces), b"2")


def request(fleet, seconds, per_s, instances, rng):
    """Request operations at random instances; return admission times, and the errors."""
    admitted, errors = [], []
    for _ in range(int(seconds / 0.05)):
        for _ in range(10):
            if rng.random() < per_s * 0.005:
                result = rng.choice(instances).gateway.rates.admit(LIMIT)
                if result.is_ok():
                    admitted.append(fleet.clock.now)
                else:
                    errors.append(result.err_value)
        fleet.run(0.05)
    return admitted, errors


def cut(fleet, count):
    """Cut the first instances from the store and from the others."""
    for instance in fleet.instances[:count]:
        instance.side = 1
        instance.cut_from_store()


def heal(fleet):
    for instance in fleet.instances:
        instance.side = 0
        instance.cut_from_store(False)


def served_share(result):
    admitted, errors = result
    return len(admitted) / (len(admitted) + len(errors))


def test_both_sides_of_a_cut_go_on_with_the_parts_that_they_reach():
    shares = {}
    for fleet_class in (UndividedFleet, DividedFleet):
        fleet = start(fleet_class)
        # Most instances lose the store, and go on by the permission of each other.
        cut(fleet, 13)
        shares[fleet_class] = served_share(
            request(fleet, 7.0, USUAL_PER_S, fleet.instances, random.Random(1))
        )
    assert shares[UndividedFleet] < 0.95 <= shares[DividedFleet]


def test_a_cut_data_centre_takes_no_more_than_its_part_from_the_others():
    fleet = start(DividedFleet)
    cut_off = [
        instance for instance in fleet.instances if fleet.data_centre(instance.name) == "dc-1"
    ]
    for instance in cut_off:
        instance.side = 1
        instance.cut_from_store()
    others = [instance for instance in fleet.instances if instance not in cut_off]
    result = request(fleet, 7.0, USUAL_PER_S * 3 / 4, others, random.Random(2))
    assert served_share(result) >= 0.97


@pytest.mark.parametrize("seed", range(4))
def test_floods_stay_within_the_limit_through_cuts(seed):
    rng = random.Random(seed)
    fleet = start(DividedFleet)
    admitted = []
    for _ in range(4):
        cut(fleet, rng.choice([5, 10, 13, 19]))
        admitted += request(fleet, rng.uniform(1.0, 9.0), 150.0, fleet.instances, rng)[0]
        heal(fleet)
        admitted += request(fleet, rng.uniform(0.5, 4.0), 150.0, fleet.instances, rng)[0]
    assert busiest_window(admitted) <= max_per_window(LIMIT)


@pytest.mark.parametrize("names", [NAMES[:6], NAMES])
@pytest.mark.parametrize("seed", range(3))
def test_floods_stay_within_the_limit_through_restarts_of_all_instances(names, seed):
    rng = random.Random(seed)
    fleet = DividedFleet(names)
    configure(fleet)
    fleet.run(6)
    admitted = []
    for _ in range(4):
        admitted += request(fleet, rng.uniform(1.0, 5.0), 150.0, fleet.instances, rng)[0]
        for name in names:
            fleet.start(name, rng.randrange(1000))
        fleet.clock.advance(rng.uniform(0.25, 2.5))
        fleet.store.expire()
        configure(fleet)
    admitted += request(fleet, 5.0, 150.0, fleet.instances, rng)[0]
    assert busiest_window(admitted) <= max_per_window(LIMIT)


def test_callers_of_one_data_centre_get_the_whole_rate():
    fleet = start(DividedFleet)
    instances = [i for i in fleet.instances if fleet.data_centre(i.name) == "dc-2"]
    result = request(fleet, 15.0, LIMIT.rate_per_s, instances, random.Random(3))
    assert served_share(result) >= 0.99
    assert busiest_window(result[0]) <= max_per_window(LIMIT)


def test_while_all_are_connected_tokens_come_from_the_own_data_centre():
    fleet = start(DividedFleet)
    instance = fleet[0]
    take_token, called = instance.take_token, []
    instance.take_token = lambda *args: called.append(args) or take_token(*args)
    for _ in range(8):
        assert instance.gateway.rates.admit(LIMIT).is_ok()
        fleet.run(0.5)
    assert {req.data_centre for _, req, _ in called} <= {"dc-0"}


def test_only_the_first_operations_call_the_owners_of_a_data_centre_that_is_cut_off():
    fleet = start(DividedFleet)
    cut_off = {name for name in NAMES if fleet.data_centre(name) == "dc-1"}
    for name in cut_off:
        fleet.by_name[name].side = 1
        fleet.by_name[name].cut_from_store()
    instance = next(i for i in fleet.instances if fleet.data_centre(i.name) == "dc-0")
    take_token, called = instance.take_token, []

    def record_call(address, req, timeout_s):
        if address in cut_off:
            called.append(address)
        return take_token(address, req, timeout_s)

    instance.take_token = record_call
    names = [f"workspace-{number}" for number in range(40)]
    limits = {name: Workspace(name, 1.0, 1.0) for name in names}
    for other in fleet.instances:
        other.gateway.catalogs.update_if_newer(catalog(3, workspaces=limits), b"3")
    for limit in limits.values():
        for _ in range(3):
            instance.gateway.rates.admit(limit)
    assert len(called) <= SILENT_INSTANCES
    for name in cut_off:
        fleet.by_name[name].side = 0
        fleet.by_name[name].cut_from_store(False)
    fleet.run(1.0)
    assert not instance.gateway.rates._calls.is_silent("dc-1")


def test_a_refusal_for_want_of_an_owner_does_not_say_that_the_rate_is_used_up():
    fleet = start(DividedFleet)
    alone = fleet[0]
    alone.side = 1
    alone.cut_from_store()
    errors = [
        result.err_value for _ in range(60) if (result := alone.gateway.rates.admit(LIMIT)).is_err()
    ]
    assert errors
    assert all(isinstance(exc, RateOwnerUnknown) for exc in errors)
    assert {exc.log_name for exc in errors} == {"RateOwnerUnknown"}


class MixedFleet(DividedFleet):
    """The first instances run an earlier build, which knows no parts."""

    old = frozenset(NAMES[:10])

    def start(self, name, seed=0):
        type(self).data_centres = () if name in self.old else DATA_CENTRES
        started = super().start(name, seed)
        if name in self.old:
            write = started.gateway.membership._write_roster_entry
            started.gateway.membership._write_roster_entry = lambda: without_parts(write)
        return started


def without_parts(write):
    """Write a roster entry as an earlier build does."""
    from quetzalrudder.gateway import membership

    encode = membership.encode_roster

    def encode_old(record):
        old = RosterRecord(
            record.instance,
            record.incarnation,
            record.address,
            record.data_centre,
            record.known_up_to,
        )
        return encode(old)

    membership.encode_roster = encode_old
    try:
        return write()
    finally:
        membership.encode_roster = encode


def test_an_upgrade_keeps_the_limit_and_serves_what_is_within_it():
    """Instances of the earlier build are replaced one after the other."""
    fleet = MixedFleet(NAMES)
    configure(fleet)
    fleet.run(20)
    assert not any(i.gateway.rates._division.is_divided for i in fleet.instances)
    rng = random.Random(4)
    result = request(fleet, 4.0, USUAL_PER_S, fleet.instances, rng)
    assert served_share(result) >= 0.97
    admitted = []
    for name in sorted(fleet.old):
        fleet.old -= {name}
        fleet.start(name, rng.randrange(1000))
        configure(fleet)
        admitted += request(fleet, 0.6, 150.0, fleet.instances, rng)[0]
    fleet.run(3)
    assert all(i.gateway.rates._division.is_divided for i in fleet.instances)
    admitted += request(fleet, 8.0, 150.0, fleet.instances, rng)[0]
    assert busiest_window(admitted) <= max_per_window(LIMIT)
    fleet.run(5)
    assert served_share(request(fleet, 4.0, USUAL_PER_S, fleet.instances, rng)) >= 0.97


@pytest.mark.parametrize(("rate", "burst"), [(0.2, 0), (1, 1), (6, 6), (100, 30), (5, 400)])
@pytest.mark.parametrize("count", [2, 3, 4, 9])
def test_the_parts_of_a_rate_issue_no_more_than_the_whole(rate, burst, count):
    limit = Workspace("almaty", rate, burst)
    whole = RULES.fleet_rate(limit)
    part = RULES.divide(whole, count)
    in_a_window = count * (part.capacity + part.per_s * RULES.window_s)
    assert in_a_window <= whole.capacity + whole.per_s * RULES.window_s + 1e-6
    assert part.capacity >= 1


def test_a_part_has_room_for_a_token_however_small_the_rate():
    assert RULES.divide(TokenRate(0.5, 1.0), 4).capacity == 1.0


def test_the_name_of_a_part_is_not_that_of_another_one():
    assert RatePart("almaty").name == "almaty"
    assert RatePart("almaty", "dc-1").name != RatePart("dc-1", "almaty").name
