import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quetzalrudder.schema.platform import Instances
from standins.memory_fleet import MemoryFleet
from tests.naive.fleet import NaiveInstance

DATA_CENTRES = ("a", "b", "c")
MAX_SPREAD_S = 19.0


def product_fleet(per_data_centre=3, **options):
    return MemoryFleet(DATA_CENTRES, per_data_centre, **options)


def naive_fleet(per_data_centre=3, **options):
    return MemoryFleet(DATA_CENTRES, per_data_centre, make=NaiveInstance, **options)


def reaches_all_in_time(fleet, revision):
    started_at = fleet.clock.monotonic()
    fleet.run_until(lambda: fleet.lowest_revision() >= revision, MAX_SPREAD_S)
    return (
        fleet.lowest_revision() >= revision and fleet.clock.monotonic() - started_at <= MAX_SPREAD_S
    )


def with_first_revision(fleet):
    fleet.accept()
    fleet.run_until(lambda: fleet.lowest_revision() >= 1, MAX_SPREAD_S)
    assert fleet.lowest_revision() == 1
    return fleet


def accept_without_fault(fleet):
    fleet.accept()


def accept_with_broken_watches(fleet):
    fleet.platform.watches_broken = True
    fleet.accept()


def accept_with_one_data_centre_cut_off(fleet):
    fleet.platform.cut.add("b")
    fleet.accept()


def accept_before_platform_outage(fleet):
    fleet.accept(at="a-0")
    fleet.platform.down = True


@pytest.mark.parametrize(
    "accept_change",
    [
        accept_without_fault,
        accept_with_broken_watches,
        accept_with_one_data_centre_cut_off,
        accept_before_platform_outage,
    ],
)
def test_an_accepted_change_reaches_every_instance(accept_change):
    fleet = with_first_revision(product_fleet())
    accept_change(fleet)
    assert reaches_all_in_time(fleet, 2)


@pytest.mark.parametrize(
    "accept_change", [accept_with_one_data_centre_cut_off, accept_before_platform_outage]
)
def test_the_naive_version_does_not_reach_every_instance(accept_change):
    fleet = with_first_revision(naive_fleet())
    accept_change(fleet)
    assert not reaches_all_in_time(fleet, 2)


def test_a_new_instance_starts_from_a_peer_while_the_platform_is_down():
    fleet = with_first_revision(product_fleet())
    fleet.platform.down = True
    fleet.restart("c-2", seeds=["a-1"])
    assert reaches_all_in_time(fleet, 1)
    fleet.run_for(2)
    assert fleet.nodes["c-2"].membership.find("b-0") is not None


def test_the_naive_version_starts_without_settings_while_the_platform_is_down():
    fleet = with_first_revision(naive_fleet())
    fleet.platform.down = True
    fleet.restart("c-2", seeds=["a-1"])
    assert not reaches_all_in_time(fleet, 1)


def test_a_change_whose_announcement_was_lost_is_pulled_later():
    fleet = with_first_revision(product_fleet())
    fleet.loss = 1.0
    fleet.accept()
    fleet.run_for(0.5)
    fleet.platform.down = True
    fleet.loss = 0.1
    assert fleet.lowest_revision() == 1
    assert reaches_all_in_time(fleet, 2)


def test_an_instance_that_lacks_more_than_the_kept_changes_pulls_the_whole_tree():
    fleet = with_first_revision(product_fleet())
    for node in fleet.nodes.values():
        node.store._recent._max_bytes = 200
    fleet.cut("c", from_platform=True)
    for _ in range(20):
        fleet.accept(at="a-0")
    fleet.run_for(5)
    assert fleet.lowest_revision() == 1
    fleet.heal()
    fleet.platform.down = True
    assert reaches_all_in_time(fleet, 21)
    trees = [node.store.tree.tree.branches for node in fleet.nodes.values()]
    assert all(tree == trees[0] for tree in trees)


def test_settings_age_from_peers_is_never_below_the_time_since_the_platforms_answer():
    fleet = with_first_revision(product_fleet())
    fleet.run_for(30)
    assert max(node.store.age_ms for node in fleet.nodes.values()) < 15_000
    fleet.platform.down = True
    down_at = fleet.clock.monotonic()
    for _ in range(100):
        fleet.run_for(0.5)
        elapsed_ms = (fleet.clock.monotonic() - down_at) * 1000
        assert min(node.store.age_ms for node in fleet.nodes.values()) >= elapsed_ms - 1


def test_two_instances_per_data_centre_watch_the_platform_and_are_replaced_when_stopped():
    fleet = with_first_revision(product_fleet(per_data_centre=9))
    fleet.run_for(20)
    watching = [name for name, node in fleet.nodes.items() if node.platform_watcher.watching]
    assert len(watching) == 2 * len(DATA_CENTRES)
    for name in watching:
        fleet.stop(name)
    fleet.run_for(20)
    replacements = [node for node in fleet.nodes.values() if node.platform_watcher.watching]
    assert len(replacements) == 2 * len(DATA_CENTRES)


def test_platform_calls_grow_with_the_fleet_only_in_the_naive_version():
    calls_per_s = {}
    for make in (product_fleet, naive_fleet):
        for size in (3, 12):
            fleet = with_first_revision(make(per_data_centre=size))
            fleet.run_for(20)
            calls_per_s[make, size] = fleet.calls_per_s(20)
    assert calls_per_s[product_fleet, 12] < 2 * calls_per_s[product_fleet, 3]
    assert calls_per_s[naive_fleet, 12] > 3 * calls_per_s[naive_fleet, 3]


def test_a_watcher_paused_beyond_its_lease_publishes_no_stale_lists():
    fleet = with_first_revision(product_fleet())
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


def test_lists_are_sent_as_differences():
    fleet = with_first_revision(product_fleet(per_data_centre=9))
    fleet.run_for(20)
    lists = fleet.nodes["a-0"].lists
    before = lists.digest
    fleet.set_instances(without="b-3")
    fleet.run_for(15)
    update = lists.build_update(before)
    assert not update.whole
    assert update.removed_instances == ["b-3"]
    assert update.instances == []
    assert all(n.membership.find("b-3") is None for n in fleet.nodes.values())


def test_the_naive_version_reverts_when_the_platform_loses_data():
    fleet = with_first_revision(naive_fleet())
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
    fleet = MemoryFleet(DATA_CENTRES, 3, seed=seed)
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
                fleet.cut(DATA_CENTRES[n % 3], from_platform=n % 2 == 0)
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
    fleet = with_first_revision(product_fleet(per_data_centre))
    fleet.run_for(5.0)
    before = fleet.control_bytes()
    fleet.run_for(10.0)
    after = fleet.control_bytes()
    watchers = [name for name, node in fleet.nodes.items() if node.platform_watcher.watching]
    assert watchers
    return max(after[name] - before[name] for name in watchers) / 10.0


def test_watcher_bytes_do_not_grow_with_the_fleet_while_no_list_changes():
    assert watcher_bytes_per_s(27) <= 1.1 * watcher_bytes_per_s(9)


def test_added_and_removed_instances_in_the_platforms_list_reach_every_instance():
    fleet = with_first_revision(product_fleet())
    fleet.set_instances(without="a-0")
    fleet.run_for(5.0)
    assert all(len(node.membership.instances()) == 8 for node in fleet.nodes.values())
    fleet.set_instances()
    fleet.run_for(5.0)
    assert all(len(node.membership.instances()) == 9 for node in fleet.nodes.values())
