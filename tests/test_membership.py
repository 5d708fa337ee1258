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


def membership(clock, name="a-0", seeds=()):
    found = Membership(name, "a", clock, seeds)
    found.set_platform_list(
        [
            InstanceEntry(instance=f"{dc}-{n}", data_centre=dc, control_address="10.0.0.1:1")
            for dc in "ab"
            for n in range(4)
        ]
    )
    return found


def chosen(found):
    return {info.instance for info in found.fan_out_peers()}


def test_a_leaving_instance_is_dropped_and_taken_back_when_it_returns():
    clock = ManualClock()
    one, two = membership(clock), membership(clock, "a-2")
    assert "a-1" in chosen(one)
    two.announce_departure(DepartureKind.INSTANCE, "a-1")
    one.merge_departures(two.departures())
    assert "a-1" not in chosen(one)
    clock.advance(1)
    one.record_presence("a-1")
    one.merge_departures(two.departures())
    assert "a-1" in chosen(one)


def test_departures_do_not_circulate_for_ever():
    clock = ManualClock()
    one, two = membership(clock), membership(clock, "a-2")
    one.announce_departure(DepartureKind.TARGET, "t")
    clock.advance(DEPARTURE_RETENTION_S - 1)
    two.merge_departures(one.departures())
    clock.advance(2)
    one.merge_departures(two.departures())
    assert one.departures() == two.departures() == []


def test_seeds_stand_in_while_no_list_is_known():
    seed = parse_address("10.0.0.9:7002")
    found = Membership("a-0", "a", ManualClock(), [seed])
    assert [info.control_address for info in found.fan_out_peers()] == [seed]
    assert found.find(found.fan_out_peers()[0].instance) is not None
    assert seed not in [info.control_address for info in membership(ManualClock()).fan_out_peers()]


def drops_before_the_list(make):
    fleet = MemoryFleet("ab", 4, make=make)
    fleet.run_for(20)
    leaver = fleet.nodes["a-1"]
    leaver.membership.announce_departure(DepartureKind.INSTANCE, "a-1")
    if hasattr(leaver, "gossip"):
        leaver.gossip.announce()
        leaver.handle_waiting()
    fleet.stop("a-1")
    fleet.run_for(5)
    return all("a-1" not in chosen(node.membership) for node in fleet.nodes.values())


def test_peers_drop_a_leaving_instance_before_the_list_does():
    assert drops_before_the_list(MemoryInstance)
    assert not drops_before_the_list(NaiveInstance)


@pytest.fixture(scope="module")
def own_fleet():
    with Fleet(SMALL, STEPPE_SETTINGS) as running:
        yield running


def test_a_leaving_target_gets_no_new_work_though_the_list_lags(own_fleet):
    fleet = own_fleet
    key = grant_key(fleet, WORKSPACE)
    with fleet.session("astana-b-1", workspace=WORKSPACE, key=key) as session:
        session.write("steppe/offers", "CREATE TABLE offers (plate TEXT, price INTEGER)")
        replica = "valuation-core-1-b"
        wait_for(lambda: session.read("steppe/comparables", COUNT).target == replica, "used")
        fleet.set_leaving(replica, lag_ms=600_000)
        fleet.set_faults(replica, leaving=True)
        for name in fleet.instance_addresses:
            seen = lambda n=name: any(  # noqa: E731
                event.kind == "target-leaving" and event.target == replica
                for event in fleet.operator(n).events()
            )
            wait_for(seen, f"{name} knows")
        before = fleet.statistics(replica).statements
        answers = [session.read("steppe/comparables", COUNT) for _ in range(30)]
    assert replica not in {answer.target for answer in answers}
    assert fleet.statistics(replica).statements == before
