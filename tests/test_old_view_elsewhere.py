"""Decisions from a view of the store that is not current, beside what callers are told."""

import pytest
from result import Err, Ok

from quetzalrudder.exceptions import PlatformUnavailable, RouteNotFound, SettingsTooOld
from quetzalrudder.gateway.mirror import RECONNECT_WAIT_S
from quetzalrudder.gateway.relays import RELAY_AGE_MARGIN_S
from quetzalrudder.gateway.targets import MISSING_GRACE_S
from quetzalrudder.schema.gateway import ChangesRequest
from tests.gateway_paced_fleet import PacedFleet
from tests.test_gateway_relays import relays
from tests.test_old_view import CONVERGENCE_S, ConfiguredFleet, cut

# How long a machine sleeps beyond the wait of a watch.
SLEEP_S = 10.0


@pytest.fixture
def fleet():
    started = ConfiguredFleet()
    started.configure(2)
    started.run(5.0, started.all_know_primary)
    started.run(1.0)
    return started


@pytest.fixture
def large_fleet():
    started = PacedFleet(18)
    started.run(8.0)
    return started


class SleepingStore:
    """Answers a watch at once; the answer is processed some time later."""

    def __init__(self, store, clock, sleep_s):
        self._store = store
        self._clock = clock
        self._sleep_s = sleep_s

    def watch(self, after, wait_ms):
        result = self._store.watch(after, wait_ms)
        self._clock.advance(self._sleep_s)
        return result


class SilentStore:
    """Answers no watch and no read, while other calls to the store succeed."""

    def watch(self, after, wait_ms):
        return Err(PlatformUnavailable("no answer"))

    def read_prefix(self, prefix):
        return Err(PlatformUnavailable("no answer"))


def count_unready(fleet, instances, seconds):
    """Return the highest number of instances that are not ready at the same time."""
    counts = []
    until = fleet.clock.now + seconds
    while fleet.clock.now < until:
        fleet.run(0.05)
        counts.append(sum(not instance.gateway.ready for instance in instances))
    return max(counts)


def test_a_large_fleet_stays_ready_while_the_store_answers_no_watch(large_fleet):
    for instance in large_fleet.instances:
        instance.mirror.mirror._store = SilentStore()
    assert count_unready(large_fleet, large_fleet.instances, 12.0) == 0


def test_followers_stay_ready_while_both_of_their_relays_are_lost(large_fleet):
    lost = relays(large_fleet)
    followers = [
        instance
        for instance in large_fleet.instances
        if large_fleet.data_centre(instance.name) == "dc-0" and instance not in lost
    ]
    for relay in lost:
        relay.frozen = True
    assert count_unready(large_fleet, followers, 8.0) == 0


def test_the_views_of_followers_stay_current_while_both_of_their_relays_are_lost(large_fleet):
    # The first watch of the store after a relay waited its full time, whatever the view's age.
    lost = relays(large_fleet)
    followers = [
        instance.gateway.contact
        for instance in large_fleet.instances
        if large_fleet.data_centre(instance.name) == "dc-0" and instance not in lost
    ]
    for relay in lost:
        relay.frozen = True
    until = large_fleet.clock.now + 8.0
    while large_fleet.clock.now < until:
        large_fleet.run(0.05)
        assert all(contact.is_view_current for contact in followers)


def test_a_database_does_not_go_missing_while_the_store_cannot_tell_that_it_is_back(fleet):
    # Announcements lapse with the store, and come back while this instance is cut from it.
    edge = fleet[0]
    edge.gateway.registry.remove("db-1")
    edge.cut_from_store()
    fleet.run(MISSING_GRACE_S + 1.0)
    assert edge.gateway.registry.queryable("db-1") is not None
    assert edge.gateway.ready
    edge.cut_from_store(False)
    fleet.run(MISSING_GRACE_S + 1.0)
    assert edge.gateway.registry.queryable("db-1") is None


def test_a_database_that_was_missing_before_a_cut_is_awaited_after_it(fleet):
    # The platform states that it is back within about two seconds of the store's return.
    edge = fleet[0]
    edge.gateway.registry.remove("db-1")
    edge.cut_from_store()
    fleet.run(10.0)
    edge.cut_from_store(False)
    until = fleet.clock.now + 2.0
    while fleet.clock.now < until:
        fleet.run(0.05)
        assert edge.gateway.registry.queryable("db-1") is not None


def test_an_evacuation_does_not_end_while_the_store_cannot_tell_that_it_was_written_again():
    fleet = ConfiguredFleet(store_era=1)
    fleet.configure(2)
    fleet.run(6.0, fleet.all_know_primary)
    copied = fleet.store.copy()
    fleet.store.put("op/evacuate/dc-9", b"{}", None)
    fleet.run(0.5)
    edge = fleet[0]
    assert edge.gateway.evacuations.is_evacuated("dc-9")
    fleet.store.come_back(copied)
    fleet.run(0.5)
    cut(edge)
    fleet.store.put("op/evacuate/dc-9", b"{}", None)
    fleet.run(3.0)
    assert edge.gateway.evacuations.is_evacuated("dc-9")
    edge.gateway.evacuations.end_missing()
    assert edge.gateway.evacuations.is_evacuated("dc-9")


def test_a_configuration_that_was_deleted_after_it_could_not_be_read_is_not_awaited_for_good(fleet):
    gateway = fleet[0].gateway
    fleet.store.put("op/config", b"{", None)
    fleet.run(0.2)
    assert gateway.catalogs.is_superseded
    fleet.store.put("op/config", None, None)
    fleet.run(0.2)
    assert not gateway.catalogs.is_superseded
    # The same at a full read.
    fleet.store.put("op/config", b"{", None)
    fleet.run(0.2)
    fleet.store.put("op/config", None, None)
    fleet.store.compact()
    fleet[0].mirror.revision = None
    fleet.run(0.2)
    assert not gateway.catalogs.is_superseded


def test_a_relay_does_not_confirm_to_others_what_it_learnt_late(large_fleet):
    relay = relays(large_fleet)[0]
    mirror = relay.mirror.mirror
    sleep_s = mirror.next_wait_s + SLEEP_S
    mirror._store = SleepingStore(mirror._store, large_fleet.clock, sleep_s)
    mirror.step()
    own_age_s = relay.gateway.contact.view_age_s
    assert own_age_s == pytest.approx(SLEEP_S)
    replies = []
    req = ChangesRequest(after=mirror.revision, wait_ms=0)
    relay.gateway.answer_changes(req, replies.append)()
    assert replies[0].age_ms == pytest.approx(own_age_s * 1000)


def test_a_relay_does_not_confirm_to_others_the_end_of_its_full_read(large_fleet):
    relay = relays(large_fleet)[0]
    mirror = relay.mirror.mirror
    store = mirror._store

    class SlowStore:
        def read_prefix(self, prefix):
            result = store.read_prefix(prefix)
            large_fleet.clock.advance(0.7)
            return result

    mirror._store = SlowStore()
    mirror.revision = None
    mirror.step()
    assert relay.gateway.contact.view_age_s == pytest.approx(0.7)
    replies = []
    req = ChangesRequest(after=mirror.revision, wait_ms=0)
    relay.gateway.answer_changes(req, replies.append)()
    assert replies[0].age_ms == pytest.approx(700)


@pytest.mark.parametrize("late_s", [0.0, 0.25, RELAY_AGE_MARGIN_S])
def test_followers_do_not_leave_a_relay_whose_store_answers_slowly(large_fleet, late_s):
    # The time that each answer takes counts twice: for the one before and for the next.
    relay = relays(large_fleet)[0]
    mirror = relay.mirror.mirror
    max_relay_age_s = mirror.wait_s + RELAY_AGE_MARGIN_S
    store, clock = mirror._store, large_fleet.clock
    ages = []

    class SlowStore:
        def watch(self, after, wait_ms):
            clock.advance(wait_ms / 1000 + late_s)
            req = ChangesRequest(after=mirror.revision, wait_ms=0)
            relay.gateway.answer_changes(req, lambda reply: ages.append(reply.age_ms / 1000))()
            return store.watch(after, wait_ms)

    mirror._store = SlowStore()
    for _ in range(5):
        mirror.step()
    oldest_s = max(ages[1:])
    assert oldest_s <= max_relay_age_s + 0.001
    assert oldest_s >= mirror.wait_s


def test_the_watch_after_a_sleep_is_short(fleet):
    # Callers of names that the view lacks wait for its end.
    mirror = fleet[0].mirror
    mirror._store = SleepingStore(mirror._store, fleet.clock, mirror.next_wait_s + SLEEP_S)
    mirror.step()
    assert mirror.next_wait_s == RECONNECT_WAIT_S


def return_without_newest_configuration():
    """Let the store lose a configuration that all instances but the first have."""
    fleet = ConfiguredFleet(store_era=1)
    fleet.configure(2)
    fleet.run(6.0, fleet.all_know_primary)
    copied = fleet.store.copy()
    cut(fleet[0])
    fleet.configure(3, routes=("offers", "added"))
    fleet.run(0.5)
    fleet.store.come_back(copied)
    cut(fleet[0], False)
    return fleet


def test_what_a_store_back_from_an_older_copy_lacks_is_not_refused_for_good():
    # Another instance has the newer configuration, and goes on serving it.
    fleet = return_without_newest_configuration()
    edge = fleet[0]
    edge.step()
    edge.mirror.step()
    assert fleet[1].session("added").check_access() == Ok(None)
    access = edge.session("added").check_access()
    assert not isinstance(access.err(), RouteNotFound)


def test_an_unknown_route_is_refused_for_good_again_some_time_after_a_return_of_the_store():
    fleet = ConfiguredFleet(store_era=1)
    fleet.configure(2)
    fleet.run(6.0, fleet.all_know_primary)
    assert isinstance(fleet[0].session("none").check_access().err(), RouteNotFound)
    fleet.return_store(fleet.store.copy())
    fleet.run(0.5)
    assert isinstance(fleet[0].session("none").check_access().err(), SettingsTooOld)
    assert fleet[0].session("offers").check_access() == Ok(None)
    fleet.run(CONVERGENCE_S)
    assert isinstance(fleet[0].session("none").check_access().err(), RouteNotFound)


def test_what_a_store_back_from_an_older_copy_lacks_is_got_from_a_peer_before_it_is_refused():
    fleet = return_without_newest_configuration()
    edge = fleet[0]
    until = fleet.clock.now + 2 * CONVERGENCE_S
    while fleet.clock.now < until:
        fleet.run(0.05)
        access = edge.session("added").check_access()
        assert not isinstance(access.err(), RouteNotFound)
    assert access == Ok(None)
