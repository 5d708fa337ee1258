"""Announcements that are missing though their databases run, after outages and at starts."""

from dataclasses import replace

import pytest
from result import Err

from quetzalrudder.gateway.catalog import GroupSettings
from quetzalrudder.gateway.mirror import PrefixHandler, StoreMirror
from quetzalrudder.gateway.permission import PERMISSION_S
from quetzalrudder.gateway.relays import RelayUnavailable
from quetzalrudder.gateway.statements import Write
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.targets import MISSING_GRACE_S, LogPosition, TargetRegistry
from standins.gateway_store import MemoryStore
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet, catalog

# The platform states "about two seconds" after the store's return.
BACK_WITHIN_S = 2.0
CONVERGENCE_S = 3.0
# Time from the first failed probe of a primary to the promotion of another one, with some slack.
FAILOVER_S = 2.0


def configure(fleet, version, sync_replicas):
    changed = catalog(version, groups={"g": GroupSettings("g", 30, sync_replicas=sync_replicas)})
    for instance in fleet.instances:
        instance.gateway.catalogs.update_if_newer(changed, b"%d" % version)


def write(fleet, name, replicates=True):
    assert fleet[0].session().execute(name, Write(name, "1")).error is None
    if replicates:
        fleet.group.replicate()


@pytest.fixture(params=[0, 1], ids=["unconfirmed", "confirmed"])
def fleet(request):
    """Return a fleet whose db-2 has every commit, and whose db-3 has received only the first."""
    running = GatewayFleet()
    running.sync_replicas = request.param
    configure(running, 2, request.param)
    assert running.run(3.0, running.all_know_primary) is not None
    running.run(PERMISSION_S + 1)
    write(running, "w1")
    running.group["db-3"].replication_paused = True
    for number in range(5):
        write(running, f"w2-{number}")
    return running


def restart(fleet, away_s=2.4):
    """Restart all instances while the store is away, and let it come back."""
    names = [instance.name for instance in fleet.instances]
    for seed, name in enumerate(names, 20):
        fleet.start(name, seed).cut_from_store()
    configure(fleet, 3, fleet.sync_replicas)
    fleet.run(away_s)
    for instance in fleet.instances:
        instance.cut_from_store(False)


def announce(fleet, name, **changes):
    for instance in fleet.instances:
        instance.gateway.registry.update(replace(fleet.group[name].info, **changes))


def remove(fleet, name):
    for instance in fleet.instances:
        instance.gateway.registry.remove(name)


def replaced_after(fleet, seconds, target):
    """Return the time until all instances use a database as the primary; None if they do not."""

    def is_primary():
        used = (instance.gateway.primaries.usable_primary("g") for instance in fleet.instances)
        return all(primary is not None and primary.target == target for primary in used)

    return fleet.run(seconds, is_primary)


def promoted(fleet):
    return [target for target, _ in fleet.group.promotions]


def test_instances_that_start_during_an_outage_replace_no_primary_that_is_not_back_yet(fleet):
    # They took the databases that were not back for gone: the primary was replaced while it ran,
    # by the replica that lacked what had been acknowledged.
    fleet.unannounced = {"db-1", "db-2"}
    restart(fleet)
    fleet.run(BACK_WITHIN_S - 0.2)
    announce(fleet, "db-2")
    fleet.run(0.2)
    announce(fleet, "db-1")
    fleet.run(8.0)
    assert promoted(fleet) == []
    assert fleet.all_know_primary()
    write(fleet, "w3")


def test_a_second_outage_begins_the_wait_for_announcements_anew(fleet):
    fleet.unannounced = {"db-1", "db-2"}
    restart(fleet)
    fleet.run(1.0)
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.run(4.0)
    for instance in fleet.instances:
        instance.cut_from_store(False)
    fleet.run(BACK_WITHIN_S)
    announce(fleet, "db-1")
    announce(fleet, "db-2")
    fleet.run(8.0)
    assert promoted(fleet) == []
    assert fleet.all_know_primary()


def test_a_primary_that_is_really_gone_when_the_fleet_starts_is_replaced(fleet):
    fleet.group["db-1"].up = False
    fleet.unannounced = {"db-1"}
    restart(fleet)
    assert replaced_after(fleet, MISSING_GRACE_S + FAILOVER_S, "db-2") is not None


def test_no_replica_leads_before_those_that_are_not_back_yet_are_heard():
    # The primary crashes beside the start; the only replica that is back lacks commits.
    fleet = GatewayFleet()
    fleet.sync_replicas = 1
    configure(fleet, 2, 1)
    assert fleet.run(3.0, fleet.all_know_primary) is not None
    fleet.run(PERMISSION_S + 1)
    fleet.group["db-3"].replication_paused = True
    write(fleet, "w1")
    fleet.unannounced = {"db-2"}
    fleet.group["db-1"].up = False
    restart(fleet)
    fleet.run(BACK_WITHIN_S)
    assert promoted(fleet) == []
    announce(fleet, "db-2")
    assert fleet.run(8.0, lambda: promoted(fleet)) is None
    # Another one may have left unseen; the old primary alone can tell, until it is gone too.
    waits = [instance.gateway.primaries.record("g").waits_for for instance in fleet.instances]
    assert set(waits) == {("db-1",)}
    remove(fleet, "db-1")
    assert replaced_after(fleet, MISSING_GRACE_S + FAILOVER_S, "db-2") is not None


def test_a_fleet_that_has_seen_its_primary_since_its_start_waits_for_no_unseen_database(fleet):
    restart(fleet)
    fleet.run(MISSING_GRACE_S + 2.0)
    fleet.group["db-1"].up = False
    assert replaced_after(fleet, FAILOVER_S, "db-2") is not None


def test_a_draining_replica_is_not_taken_for_gone_while_it_is_not_back_after_an_outage():
    # It was dropped at once, and a replica that lacked what it alone had confirmed was promoted.
    fleet = GatewayFleet()
    configure(fleet, 2, 1)
    assert fleet.run(3.0, fleet.all_know_primary) is not None
    fleet.run(PERMISSION_S + 1)
    write(fleet, "w1")
    announce(fleet, "db-2", draining=True)
    fleet.run(1.0)
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.run(4.5)
    for instance in fleet.instances:
        instance.cut_from_store(False)
    for name in fleet.group.databases:
        remove(fleet, name)
    announce(fleet, "db-1")
    announce(fleet, "db-3")
    # The primary tells its position meanwhile.
    fleet.run(1.0)
    fleet.group["db-3"].replication_paused = True
    write(fleet, "w2")
    fleet.group["db-1"].up = False
    assert replaced_after(fleet, FAILOVER_S, "db-2") is not None
    assert promoted(fleet) == ["db-2"]
    assert len(fleet.group["db-2"].log) == 2


def test_a_draining_replica_whose_address_another_one_has_got_is_not_waited_for():
    clock = ManualClock()
    registry = TargetRegistry(clock)
    info = replace(GatewayFleet().group["db-2"].info, draining=True)
    registry.update(info)
    registry.remove("db-2")
    registry.update(replace(info, target="db-4", draining=False))
    assert registry.is_gone("db-2")
    assert [departure.target.target for departure in registry.departures("g")] == ["db-2"]


def test_a_draining_database_that_is_not_announced_gets_no_statements():
    clock = ManualClock()
    registry = TargetRegistry(clock)
    info = replace(GatewayFleet().group["db-2"].info, draining=True)
    registry.update(info)
    assert registry.serving("db-2") == info
    registry.remove("db-2")
    assert registry.serving("db-2") is None
    assert registry.serving_targets() == []
    # It can be asked how far it has got.
    assert registry.targets_in_group("g") == [info]
    clock.advance(MISSING_GRACE_S + 0.1)
    assert registry.is_gone("db-2")


class ViewedRegistry:
    """A registry beside the contact that tells how current its view is."""

    def __init__(self):
        self.clock = ManualClock()
        self.contact = StoreContact(self.clock, CONVERGENCE_S)
        self.registry = TargetRegistry(
            self.clock,
            view_age_s=lambda: self.contact.view_age_s,
            viewed_since=lambda: self.contact.viewed_since,
        )
        self.info = GatewayFleet().group["db-2"].info

    def view(self, seconds=0.0):
        """Let the view stay current for a time."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            self.contact.record_view()
            self.clock.advance(0.1)
        self.contact.record_view()


@pytest.fixture
def viewed():
    return ViewedRegistry()


def test_a_database_that_was_never_announced_is_gone_only_once_the_view_has_settled(viewed):
    assert not viewed.registry.is_gone("db-9")
    viewed.registry.replace_all([viewed.info])
    viewed.view(MISSING_GRACE_S - 0.1)
    assert not viewed.registry.is_gone("db-9")
    viewed.view(0.5)
    assert viewed.registry.is_gone("db-9")
    assert not viewed.registry.is_gone("db-2")


def test_a_view_that_was_outdated_for_a_time_settles_anew(viewed):
    # The process stood still, and cannot know whether the store was away meanwhile.
    viewed.registry.replace_all([viewed.info])
    viewed.view(5.0)
    viewed.registry.remove("db-2")
    viewed.clock.advance(CONVERGENCE_S + 1.0)
    viewed.view(MISSING_GRACE_S - 0.1)
    assert viewed.registry.queryable("db-2") is not None
    viewed.view(0.5)
    assert viewed.registry.is_gone("db-2")


def test_a_database_that_has_left_stays_gone_through_an_outage(viewed):
    viewed.registry.replace_all([viewed.info])
    viewed.registry.remove("db-2")
    viewed.view(MISSING_GRACE_S + 0.5)
    assert viewed.registry.is_gone("db-2")
    viewed.contact.interrupt_view()
    viewed.view()
    assert viewed.registry.is_gone("db-2")
    assert not viewed.registry.is_gone("db-9")


def test_the_view_of_an_instance_whose_relay_loses_the_store_settles_anew(viewed):
    # It follows the store through others, and does not notice the outage itself.
    class Relays:
        def __init__(self):
            self.results = []

        def choose(self):
            return "relay" if self.results else None

        def watch(self, relay, after):
            return self.results.pop(0)

    relays = Relays()
    store = MemoryStore(viewed.clock)
    handlers = [PrefixHandler("servers/", list, list)]
    mirror = StoreMirror(
        store.client(), handlers, viewed.contact, viewed.clock, CONVERGENCE_S, relays=relays
    )
    assert mirror.step()
    began_at = viewed.contact.viewed_since
    viewed.clock.advance(1.0)
    relays.results = [Err(RelayUnavailable("the relay has lost the store"))]
    mirror.step()
    assert mirror.step()
    assert viewed.contact.viewed_since == began_at + 1.0


def test_databases_that_left_unseen_are_bounded_by_what_was_asked_after_the_view_had_settled(
    viewed,
):
    viewed.registry.replace_all([viewed.info])
    viewed.view(MISSING_GRACE_S)
    asked_at = viewed.clock.now - 0.1
    viewed.registry.bound_departures("g", lambda: (asked_at, LogPosition(1, 4)))
    assert viewed.registry.unseen_bound("g") is None
    viewed.view(0.5)
    asked_at = viewed.clock.now
    viewed.registry.bound_departures("g", lambda: (asked_at, LogPosition(1, 5)))
    viewed.registry.bound_departures("g", lambda: (asked_at + 1.0, LogPosition(1, 6)))
    assert viewed.registry.unseen_bound("g") == LogPosition(1, 5)
    # Changes were missed before the next full list.
    viewed.registry.replace_all([viewed.info])
    assert viewed.registry.unseen_bound("g") is None
