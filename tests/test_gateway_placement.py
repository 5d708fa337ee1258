import random

from quetzalrudder.gateway.connections import GatewayPool
from quetzalrudder.gateway.placement import MAX_HOLD_OFF_S, Placement
from quetzalrudder.gateway.targets import TargetRegistry
from tests.clocks import ManualClock
from tests.gateway_fakes import FakeGroup


def make_placement():
    clock = ManualClock()
    group = FakeGroup(clock)
    registry = TargetRegistry(clock)
    registry.replace_all(group.infos())
    pool = GatewayPool(group, lambda _: 3, clock)
    return clock, Placement(registry, pool, "dc-0", random.Random(1), clock)


def ranked_names(placement, excluded=()):
    return [target.target for target in placement.rank("g", "almaty", set(excluded))]


def test_a_failing_database_is_avoided_until_its_hold_off_ends():
    clock, placement = make_placement()
    placement.record_failure("db-2")
    assert "db-2" not in ranked_names(placement)
    clock.advance(MAX_HOLD_OFF_S)
    assert "db-2" in ranked_names(placement)


def test_thousands_of_failures_hold_off_no_longer_than_the_bound():
    clock, placement = make_placement()
    for _ in range(5000):
        placement.record_failure("db-2")
    clock.advance(MAX_HOLD_OFF_S + 0.01)
    assert "db-2" in ranked_names(placement)


def test_all_databases_are_candidates_if_all_have_failed():
    _, placement = make_placement()
    for name in ("db-1", "db-2", "db-3"):
        placement.record_failure(name)
    assert sorted(ranked_names(placement)) == ["db-1", "db-2", "db-3"]


def test_a_busy_database_is_ranked_last_at_first():
    _, placement = make_placement()
    placement.record_busy("db-1")
    assert [ranked_names(placement)[-1] for _ in range(20)] == ["db-1"] * 20
