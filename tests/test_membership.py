import pytest

from quetzalrudder.membership import DEPARTURE_RETENTION_S, Membership
from quetzalrudder.schema.peers import DepartureKind
from quetzalrudder.schema.platform import InstanceEntry
from quetzalrudder.utils import parse_address
from standins.demo import STEPPE_SETTINGS
from standins.fleet import Fleet
from standins.memory_fleet import MemoryFleet, MemoryInstance
from tests.clocks import ManualClock
from tests.conftest import SMALL
from tests.helpers import grant_key, wait_for
from tests.naive.fleet import NaiveInstance

WORKSPACE = "steppe/branch-1"
COUNT = "SELECT count(*) FROM offers"


def make_membership(clock, name="a-0", seeds=()):
    membership = Membership(name, "a", clock, seeds)
    membership.set_platform_list(
        [
            InstanceEntry(instance=f"{dc}-{n}", data_centre=dc, control_address="10.0.0.1:1")
            for dc in "ab"
            for n in range(4)
        ]
    )
    return membership


def fan_out_names(membership):
    return {info.instance for info in membership.fan_out_peers()}


def test_a_leaving_instance_is_removed_from_the_fan_out_until_it_returns():
    clock = ManualClock()
    one, two = make_membership(clock), make_membership(clock, "a-2")
    assert "a-1" in fan_out_names(one)
    two.announce_departure(DepartureKind.INSTANCE, "a-1")
    one.merge_departures(two.departures())
    assert "a-1" not in fan_out_names(one)
    clock.advance(1)
    one.record_presence("a-1")
    one.merge_departures(two.departures())
    assert "a-1" in fan_out_names(one)


def test_departures_expire_and_are_not_exchanged_forever():
    clock = ManualClock()
    one, two = make_membership(clock), make_membership(clock, "a-2")
    one.announce_departure(DepartureKind.TARGET, "t")
    clock.advance(DEPARTURE_RETENTION_S - 1)
    two.merge_departures(one.departures())
    clock.advance(2)
    one.merge_departures(two.departures())
    assert one.departures() == two.departures() == []


def test_seeds_are_used_while_no_list_is_known():
    seed = parse_address("10.0.0.9:7002")
    membership = Membership("a-0", "a", ManualClock(), [seed])
    assert [info.control_address for info in membership.fan_out_peers()] == [seed]
    assert membership.find(membership.fan_out_peers()[0].instance) is not None
    assert seed not in [
        info.control_address for info in make_membership(ManualClock()).fan_out_peers()
    ]


def removes_leaving_instance_before_the_list(make):
    fleet = MemoryFleet("ab", 4, make=make)
    fleet.run_for(20)
    leaving = fleet.nodes["a-1"]
    leaving.membership.announce_departure(DepartureKind.INSTANCE, "a-1")
    if hasattr(leaving, "gossip"):
        leaving.gossip.announce()
        leaving.handle_waiting()
    fleet.stop("a-1")
    fleet.run_for(5)
    return all("a-1" not in fan_out_names(node.membership) for node in fleet.nodes.values())


def test_peers_remove_a_leaving_instance_before_the_list_does():
    assert removes_leaving_instance_before_the_list(MemoryInstance)
    assert not removes_leaving_instance_before_the_list(NaiveInstance)


@pytest.fixture(scope="module")
def module_fleet():
    with Fleet(SMALL, STEPPE_SETTINGS) as fleet:
        yield fleet


def test_a_leaving_target_gets_no_new_work_though_the_list_lags(module_fleet):
    fleet = module_fleet
    key = grant_key(fleet, WORKSPACE)
    with fleet.session("astana-b-1", workspace=WORKSPACE, key=key) as session:
        session.write("steppe/offers", "CREATE TABLE offers (plate TEXT, price INTEGER)")
        replica = "valuation-core-1-b"
        wait_for(
            lambda: session.read("steppe/comparables", COUNT).target == replica,
            "a read at the replica",
        )
        fleet.set_leaving(replica, lag_ms=600_000)
        fleet.set_faults(replica, leaving=True)
        for name in fleet.instance_addresses:
            has_departure_event = lambda n=name: any(  # noqa: E731
                event.kind == "target-leaving" and event.target == replica
                for event in fleet.operator(n).events()
            )
            wait_for(has_departure_event, f"{name} to record the departure")
        before = fleet.statistics(replica).statements
        answers = [session.read("steppe/comparables", COUNT) for _ in range(30)]
    assert replica not in {answer.target for answer in answers}
    assert fleet.statistics(replica).statements == before
