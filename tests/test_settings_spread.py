import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalrudder.schema.platform import Instances
from standins.memory_fleet import MemoryFleet
from tests.naive.fleet import NaiveInstance

CENTRES = ("a", "b", "c")
BOUND_S = 19.0


def product(per_data_centre=3, **options):
    return MemoryFleet(CENTRES, per_data_centre, **options)


def naive(per_data_centre=3, **options):
    return MemoryFleet(CENTRES, per_data_centre, make=NaiveInstance, **options)


def spreads_in_time(fleet, revision):
    started = fleet.clock.monotonic()
    fleet.run_until(lambda: fleet.lowest_revision() >= revision, BOUND_S)
    return fleet.lowest_revision() >= revision and fleet.clock.monotonic() - started <= BOUND_S


def settled(fleet):
    fleet.accept()
    fleet.run_until(lambda: fleet.lowest_revision() >= 1, BOUND_S)
    assert fleet.lowest_revision() == 1
    return fleet


def healthy(fleet):
    fleet.accept()


def watch_broken(fleet):
    fleet.platform.watches_broken = True
    fleet.accept()


def one_cut_off(fleet):
    fleet.platform.cut.add("b")
    fleet.accept()


def dying_after_acceptance(fleet):
    fleet.accept(at="a-0")
    fleet.platform.down = True


@pytest.mark.parametrize("fault", [healthy, watch_broken, one_cut_off, dying_after_acceptance])
def test_an_accepted_change_reaches_every_instance(fault):
    fleet = settled(product())
    fault(fleet)
    assert spreads_in_time(fleet, 2)


@pytest.mark.parametrize("fault", [one_cut_off, dying_after_acceptance])
def test_the_naive_version_leaves_instances_behind(fault):
    fleet = settled(naive())
    fault(fleet)
    assert not spreads_in_time(fleet, 2)


def test_a_new_instance_starts_from_a_peer_while_the_platform_is_down():
    fleet = settled(product())
    fleet.platform.down = True
    fleet.restart("c-2", seeds=["a-1"])
    assert spreads_in_time(fleet, 1)
    fleet.run_for(2)
    assert fleet.nodes["c-2"].membership.find("b-0") is not None


def test_the_naive_version_starts_with_nothing():
    fleet = settled(naive())
    fleet.platform.down = True
    fleet.restart("c-2", seeds=["a-1"])
    assert not spreads_in_time(fleet, 1)


def test_a_lost_announcement_leaves_no_gap():
    fleet = settled(product())
    fleet.loss = 1.0
    fleet.accept()
    fleet.run_for(0.5)
    fleet.platform.down = True
    fleet.loss = 0.1
    assert fleet.lowest_revision() == 1
    assert spreads_in_time(fleet, 2)


def test_a_gap_longer_than_the_kept_changes_is_closed_by_the_whole_tree():
    fleet = settled(product())
    for node in fleet.nodes.values():
        node.store._recent._max_bytes = 200
    fleet.cut("c", from_platform=True)
    for _ in range(20):
        fleet.accept(at="a-0")
    fleet.run_for(5)
    assert fleet.lowest_revision() == 1
    fleet.heal()
    fleet.platform.down = True
    assert spreads_in_time(fleet, 21)
    trees = [node.store.tree.tree.branches for node in fleet.nodes.values()]
    assert all(tree == trees[0] for tree in trees)


def test_age_is_proved_by_peers_and_never_younger_than_the_platforms_answer():
    fleet = settled(product())
    fleet.run_for(30)
    assert max(node.store.age_ms for node in fleet.nodes.values()) < 15_000
    fleet.platform.down = True
    down_at = fleet.clock.monotonic()
    for _ in range(100):
        fleet.run_for(0.5)
        elapsed_ms = (fleet.clock.monotonic() - down_at) * 1000
        assert min(node.store.age_ms for node in fleet.nodes.values()) >= elapsed_ms - 1


def test_few_watch_for_all_and_another_takes_over():
    fleet = settled(product(per_data_centre=9))
    fleet.run_for(20)
    watching = [name for name, node in fleet.nodes.items() if node.platform_watcher.watching]
    assert len(watching) == 2 * len(CENTRES)
    for name in watching:
        fleet.stop(name)
    fleet.run_for(20)
    taken = [node for node in fleet.nodes.values() if node.platform_watcher.watching]
    assert len(taken) == 2 * len(CENTRES)


def test_platform_calls_do_not_grow_with_the_fleet_as_the_naive_versions_do():
    rates = {}
    for make in (product, naive):
        for size in (3, 12):
            fleet = settled(make(per_data_centre=size))
            fleet.run_for(20)
            rates[make, size] = fleet.calls_per_s(20)
    assert rates[product, 12] < 2 * rates[product, 3]
    assert rates[naive, 12] > 3 * rates[naive, 3]


def test_a_paused_holder_of_a_lease_acts_on_nothing_that_it_held():
    fleet = settled(product())
    fleet.run_for(10)
    name, node = next((n, x) for n, x in fleet.nodes.items() if x.platform_watcher.watching)
    fleet.pause(name)
    fleet.run_for(30)
    fleet.set_instances(without="c-2")
    fleet.run_for(10)
    stale = Instances(instances=list(fleet.all_entries()))
    stamp = node.lists.stamp
    fleet.resume(name)
    assert not node.platform_watcher.watching
    node.platform_watcher._publish_lists(fleet.platform.groups, stale, stamp)
    fleet.run_for(5)
    assert all(x.membership.find("c-2") is None for n, x in fleet.nodes.items() if n != "c-2")


def test_lists_travel_as_differences():
    fleet = settled(product(per_data_centre=9))
    fleet.run_for(20)
    one = fleet.nodes["a-0"].lists
    before = one.digest
    fleet.set_instances(without="b-3")
    fleet.run_for(15)
    update = one.build_update(before)
    assert not update.whole
    assert update.removed_instances == ["b-3"]
    assert update.instances == []
    assert all(n.membership.find("b-3") is None for n in fleet.nodes.values())


def test_the_naive_version_reverts_with_a_platform_that_lost_data():
    fleet = settled(naive())
    backup = fleet.platform.backup()
    fleet.accept()
    fleet.run_for(3)
    fleet.platform.restore(backup)
    fleet.run_for(3)
    assert fleet.reverted


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["accept", "restart", "cut", "heal", "outage", "return", "lose", "run"]),
        st.integers(0, 8),
    ),
    max_size=25,
)


@settings(max_examples=25)
@given(EVENTS, st.integers(0, 1000))
def test_no_instance_ever_applies_a_lower_revision(events, seed):
    fleet = MemoryFleet(CENTRES, 3, seed=seed)
    backup = fleet.platform.backup()
    accepted = set()
    names = sorted(fleet.nodes)
    for kind, n in events:
        match kind:
            case "accept":
                accepted |= fleet.accept(at=names[n])
            case "restart":
                fleet.restart(names[n], seeds=[names[n - 1]])
            case "cut":
                fleet.cut(CENTRES[n % 3], from_platform=n % 2 == 0)
            case "heal":
                fleet.heal()
            case "outage":
                fleet.platform.down = True
            case "return":
                fleet.platform.down = False
            case "lose":
                fleet.platform.restore(backup)
            case "run":
                fleet.run_for(n / 2)
                if n == 0:
                    backup = fleet.platform.backup()
    assert fleet.reverted == []
    fleet.heal()
    fleet.platform.down = False
    fleet.run_for(60)
    assert fleet.reverted == []
    assert len({node.store.tree.revision for node in fleet.nodes.values()}) == 1


def watcher_bytes_per_s(per_data_centre):
    fleet = settled(product(per_data_centre))
    fleet.run_for(5.0)
    before = fleet.control_bytes()
    fleet.run_for(10.0)
    spent = fleet.control_bytes()
    watchers = [name for name, node in fleet.nodes.items() if node.platform_watcher.watching]
    assert watchers
    return max(spent[name] - before[name] for name in watchers) / 10.0


def test_watching_costs_no_more_bytes_in_a_large_fleet_while_no_list_changes():
    assert watcher_bytes_per_s(27) <= 1.1 * watcher_bytes_per_s(9)


def test_a_watcher_takes_an_instance_that_is_added_and_one_that_goes():
    fleet = settled(product())
    fleet.set_instances(without="a-0")
    fleet.run_for(5.0)
    assert all(len(node.membership.instances()) == 8 for node in fleet.nodes.values())
    fleet.set_instances()
    fleet.run_for(5.0)
    assert all(len(node.membership.instances()) == 9 for node in fleet.nodes.values())
