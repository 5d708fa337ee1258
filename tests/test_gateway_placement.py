import random

from quetzalrudder.gateway.connections import GatewayPool
from quetzalrudder.gateway.placement import MAX_HOLD_OFF_S, Placement
from quetzalrudder.gateway.targets import TargetRegistry
from tests.clocks import ManualClock
from tests.gateway_fakes import FakeGroup


def make():
    clock = ManualClock()
    group = FakeGroup(clock)
    registry = TargetRegistry(clock)
    registry.replace_all(group.infos())
    pool = GatewayPool(group, lambda _: 3, clock)
    return clock, Placement(registry, pool, "dc-0", random.Random(1), clock)


def names(placement, excluded=()):
    return [target.target for target in placement.rank("g", "almaty", set(excluded))]


def test_a_failing_database_is_left_out_and_comes_back():
    clock, placement = make()
    placement.record_failure("db-2")
    assert "db-2" not in names(placement)
    clock.advance(MAX_HOLD_OFF_S)
    assert "db-2" in names(placement)


def test_thousands_of_failures_hold_off_no_longer_than_the_bound():
    clock, placement = make()
    for _ in range(5000):
        placement.record_failure("db-2")
    clock.advance(MAX_HOLD_OFF_S + 0.01)
    assert "db-2" in names(placement)


def test_if_all_fail_all_are_tried():
    _, placement = make()
    for name in ("db-1", "db-2", "db-3"):
        placement.record_failure(name)
    assert sorted(names(placement)) == ["db-1", "db-2", "db-3"]


def test_a_busy_database_comes_last_for_a_moment():
    _, placement = make()
    placement.record_busy("db-1")
    assert [names(placement)[-1] for _ in range(20)] == ["db-1"] * 20
