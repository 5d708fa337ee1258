"""Replacements in groups whose commits are acknowledged once a replica has received them."""

from dataclasses import replace

import pytest
from result import Err, Ok

from quetzalrudder.exceptions import PlatformUnavailable, PrimaryChanging, TargetUnavailable
from quetzalrudder.gateway.catalog import GroupSettings
from quetzalrudder.gateway.permission import PERMISSION_S
from quetzalrudder.gateway.records import PRIMARY_PREFIX
from quetzalrudder.gateway.statements import StatusRefusal, TargetFault, Write
from quetzalrudder.gateway.targets import MISSING_GRACE_S, LogPosition, TargetRegistry
from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import Address
from standins.gateway_store import StoreClient
from tests.clocks import ManualClock
from tests.gateway_fakes import FakeLink
from tests.gateway_fleet import GatewayFleet, catalog


def configure(fleet, version, sync_replicas):
    changed = catalog(version, groups={"g": GroupSettings("g", 30, sync_replicas=sync_replicas)})
    for instance in fleet.instances:
        instance.gateway.catalogs.update_if_newer(changed, b"%d" % version)


@pytest.fixture
def fleet():
    running = GatewayFleet()
    configure(running, 2, sync_replicas=1)
    assert running.run(3.0, running.all_know_primary) is not None
    running.run(PERMISSION_S + 1)
    return running


@pytest.fixture
def behind(fleet):
    """Return a fleet whose db-2 has every commit, and whose db-3 has received only the first."""
    write(fleet, "w1")
    fleet.group["db-3"].replication_paused = True
    for number in range(5):
        write(fleet, f"w2-{number}")
    return fleet


def write(fleet, name):
    assert fleet[0].session().execute(name, Write(name, "1")).error is None
    fleet.group.replicate()


def announce(fleet, name, **changes):
    for instance in fleet.instances:
        info = instance.gateway.registry.queryable(name) or fleet.group[name].info
        instance.gateway.registry.update(replace(info, **changes))


def remove(fleet, name):
    for instance in fleet.instances:
        instance.gateway.registry.remove(name)


def promoted(fleet, seconds=12.0):
    fleet.run(seconds, lambda: fleet.group.promotions)
    return [target for target, _ in fleet.group.promotions]


def test_a_replica_that_lacks_acknowledged_commits_is_not_promoted_for_a_busy_one(
    behind, monkeypatch
):
    query_status = FakeLink.status
    busy_until = behind.clock.now + 4.0

    def status(link, timeout_s):
        if link.database is behind.group["db-2"] and behind.clock.now < busy_until:
            return Ok(StatusRefusal(TargetFault.BUSY))
        return query_status(link, timeout_s)

    monkeypatch.setattr(FakeLink, "status", status)
    behind.group["db-1"].up = False
    assert promoted(behind) == ["db-2"]
    assert behind.clock.now >= busy_until


def test_a_busy_replica_whose_reads_see_all_commits_is_promoted_at_once(behind, monkeypatch):
    # Its status may not be had for as long as reads take all of its slots.
    query_status = FakeLink.status

    def status(link, timeout_s):
        if link.database is behind.group["db-2"]:
            return Ok(StatusRefusal(TargetFault.BUSY, link.database.position))
        return query_status(link, timeout_s)

    monkeypatch.setattr(FakeLink, "status", status)
    behind.group["db-1"].up = False
    assert promoted(behind, 3.0) == ["db-2"]


def test_a_replica_that_lacks_acknowledged_commits_is_not_promoted_for_a_draining_one(behind):
    announce(behind, "db-2", draining=True)
    behind.group["db-1"].up = False
    assert promoted(behind) == ["db-2"]
    # It hands over to one that stays.
    behind.group["db-3"].replication_paused = False
    for _ in range(100):
        behind.run(0.05)
        behind.group.replicate()
    assert behind.group.newest_primary().info.target == "db-3"
    assert len(behind.group["db-3"].log) == 6


def test_without_confirmations_too_the_furthest_leads_though_it_drains(behind):
    configure(behind, 3, sync_replicas=0)
    announce(behind, "db-2", draining=True)
    behind.group["db-1"].up = False
    assert promoted(behind, 3.0) == ["db-2"]


def test_commits_acknowledged_after_the_choice_are_looked_at_again(behind):
    # Both had all when db-2 was chosen; then db-3 alone confirmed one that was acknowledged.
    behind.group["db-3"].replication_paused = False
    behind.group.replicate()
    writing = behind[0]
    coordinator = next(i for i in behind.instances if i.gateway.failover.is_coordinator)
    choose = coordinator.gateway.failover._choose_successor

    def choose_too_early(group, excluded, **kwargs):
        choose(group, excluded, **kwargs)
        behind.group["db-2"].replication_paused = True
        write(behind, "late")
        return "db-2"

    coordinator.gateway.failover._choose_successor = choose_too_early
    for instance in behind.instances:
        if instance is not writing:
            instance.unreachable.add("db-1")
    assert promoted(behind) == ["db-3"]
    assert len(behind.group["db-3"].log) == 7


def test_a_promotion_waits_for_a_silent_replica_until_it_answers(behind):
    behind.group["db-2"].up = behind.group["db-1"].up = False
    assert promoted(behind, 8.0) == []
    behind.group["db-2"].up = True
    assert promoted(behind) == ["db-2"]


def test_a_promotion_waits_for_a_silent_replica_until_the_old_primary_tells(behind):
    # The one that answers has all: the old primary says so when it is back.
    behind.group["db-3"].replication_paused = False
    behind.group.replicate()
    behind.group["db-2"].up = behind.group["db-1"].up = False
    assert promoted(behind, 8.0) == []
    behind.group["db-1"].up = True
    assert promoted(behind) == ["db-3"]


def test_a_promotion_waits_for_a_silent_replica_until_it_and_the_old_primary_are_gone(behind):
    behind.group["db-2"].up = behind.group["db-1"].up = False
    behind.run(4.0)
    remove(behind, "db-2")
    assert promoted(behind, MISSING_GRACE_S + 1) == []
    remove(behind, "db-1")
    assert promoted(behind, MISSING_GRACE_S + 1) == ["db-3"]


def test_an_operator_ends_the_wait_with_the_configuration(behind):
    behind.group["db-2"].up = behind.group["db-1"].up = False
    assert promoted(behind, 4.0) == []
    configure(behind, 3, sync_replicas=0)
    assert promoted(behind) == ["db-3"]


def test_callers_are_refused_at_once_while_a_promotion_waits(behind, caplog):
    behind.group["db-2"].up = behind.group["db-1"].up = False
    behind.run(5.0)
    for instance in behind.instances:
        before = behind.clock.now
        error = instance.session().execute("w", Write("a", "1")).error
        assert isinstance(error, PrimaryChanging)
        assert error.retry_after_ms > 0
        assert behind.clock.now == before
        assert instance.gateway.primaries.record("g").waits_for == ("db-2",)
    metrics = [instance.gateway.metrics.render().decode() for instance in behind.instances]
    assert sum("quetzalrudder_promotion_waits 1.0" in text for text in metrics) == 1
    behind.group["db-2"].up = True
    assert behind.run(5.0, behind.all_know_primary) is not None
    assert behind[0].gateway.primaries.record("g").waits_for == ()
    assert behind[0].session().execute("w", Write("a", "1")).error is None
    metrics = [instance.gateway.metrics.render().decode() for instance in behind.instances]
    assert not any("quetzalrudder_promotion_waits 1.0" in text for text in metrics)


def test_a_replica_that_began_again_without_its_log_proves_nothing(behind):
    # It alone had confirmed the last commits; only the old primary still has them.
    behind.group["db-1"].up = False
    behind.group["db-2"].log = []
    announce(behind, "db-2", started_unix_ms=2)
    assert promoted(behind, 6.0) == []
    behind.group["db-1"].up = True
    behind.group["db-3"].replication_paused = False
    behind.group.replicate()
    assert promoted(behind) in (["db-2"], ["db-3"])
    assert len(behind.group[behind.group.promotions[0][0]].log) == 6


def test_a_replica_that_began_again_and_is_not_announced_anew_proves_nothing(behind):
    behind.group["db-1"].up = False
    behind.group["db-2"].log = []
    assert promoted(behind, 6.0) == []


def test_a_replica_that_left_long_ago_holds_up_no_promotion(fleet):
    write(fleet, "w1")
    fleet.group["db-2"].up = False
    remove(fleet, "db-2")
    fleet.run(MISSING_GRACE_S + 1)
    for number in range(3):
        write(fleet, f"w{number}")
        fleet.run(1.0)
    fleet.group["db-1"].up = False
    assert promoted(fleet, 3.0) == ["db-3"]


def test_a_replica_that_left_just_before_the_crash_is_followed_by_the_old_primary(behind):
    announce(behind, "db-2", draining=True)
    behind.group["db-2"].up = behind.group["db-1"].up = False
    remove(behind, "db-2")
    assert promoted(behind, 6.0) == []
    # The log of the one that drained is transferred to the next one at its address.
    info = behind.group["db-2"].info
    behind.group.databases["db-4"] = replace(
        behind.group["db-2"], info=replace(info, target="db-4"), up=True
    )
    for instance in behind.instances:
        instance.gateway.registry.update(replace(info, target="db-4"))
    assert promoted(behind) == ["db-4"]


def test_one_that_the_platform_calls_not_running_is_asked_again(behind):
    # The only other one lacks acknowledged commits.
    run, refused = behind.group.promote, []

    def promote(group, target, **caller):
        if len(refused) < 3:
            refused.append(target)
            return Err(TargetUnavailable("status 409", place=target))
        return run(group, target, **caller)

    for instance in behind.instances:
        instance.gateway.failover.promotion_calls._client.promote = promote
    behind.group["db-1"].up = False
    assert promoted(behind, 6.0) == ["db-2"]
    assert refused == ["db-2"] * 3


def test_a_coordinator_that_takes_over_asks_again(behind):
    """What an earlier coordinator chose may lack what was confirmed after the choice."""
    behind.group["db-2"].up = behind.group["db-1"].up = False
    behind.run(3.0)
    coordinator = next(i for i in behind.instances if i.gateway.failover.is_coordinator)
    record = coordinator.gateway.primaries.record("g")
    assert (record.primary, record.successor) == (None, None)
    coordinator.frozen = True
    assert promoted(behind, 12.0) == []
    behind.group["db-2"].up = True
    assert promoted(behind) == ["db-2"]


def test_a_successor_whose_record_the_store_wrote_late_is_promoted(fleet, monkeypatch):
    # It was taken for the choice of another coordinator, whose call may still run: it was waited
    # for and never called for, as a further database had become the better choice.
    write(fleet, "w1")
    put, late = StoreClient.write, []

    def write_late(client, key, value, expected, lease=None):
        names_successor = key.startswith(PRIMARY_PREFIX) and b"db-3" in value
        if not names_successor or late:
            return put(client, key, value, expected, lease)
        late.append((fleet.clock.now + 1.2, client, key, value, expected))
        started = replace(fleet.group["db-3"].info, target="db-4")
        fleet.group.databases["db-4"] = replace(fleet.group["db-3"], info=started)
        for instance in fleet.instances:
            instance.gateway.registry.update(replace(started, address=Address("10.0.0.1", 7003)))
        return Err(PlatformUnavailable("no answer", ending=Ending.UNKNOWN))

    monkeypatch.setattr(StoreClient, "write", write_late)
    fleet.group["db-1"].up = False
    assert fleet.run(3.0, lambda: late) is not None
    due_at, *call = late[0]
    # The next write that names a successor finds that the late one was done before it.
    fleet.clock.advance(due_at - fleet.clock.now)
    assert isinstance(put(*call), Ok)
    assert fleet.run(4.0, fleet.all_know_primary) is not None
    assert fleet[0].session().execute("w2", Write("a", "1")).error is None


def test_a_planned_replacement_promotes_one_that_has_the_whole_log(behind):
    announce(behind, "db-1", draining=True)
    assert promoted(behind) == ["db-2"]


def test_a_draining_primary_serves_until_a_replica_has_caught_up(behind):
    # It was put out of use, while the only replica received nothing.
    announce(behind, "db-2", draining=True)
    announce(behind, "db-1", draining=True)
    for number in range(40):
        behind.run(0.05)
        assert behind[0].session().execute(f"w3-{number}", Write("a", "1")).error is None
    assert behind.group.promotions == []
    behind.group["db-3"].replication_paused = False
    behind.group.replicate()
    assert promoted(behind, 2.0) == ["db-3"]


def test_a_primary_of_an_earlier_era_of_the_store_has_a_successor_with_all_commits(behind):
    # After the store's return, the record is followed by a change if databases do not answer.
    copied = behind.store.copy()
    behind.group["db-1"].up = False
    behind.group["db-2"].up = False
    behind.return_store(copied)
    assert promoted(behind, 20.0) == []
    behind.group["db-2"].up = True
    assert promoted(behind, 20.0) == ["db-2"]


def test_departures_are_known_by_start_and_forgotten_on_return():
    clock = ManualClock()
    registry = TargetRegistry(clock)
    info = GatewayFleet().group["db-2"].info
    registry.update(info)
    registry.update(replace(info, started_unix_ms=1))
    registry.update(replace(info, started_unix_ms=1, draining=True))
    assert [departure.life for departure in registry.departures("g")] == [("db-2", 0)]
    registry.remove("db-2")
    clock.advance(MISSING_GRACE_S - 0.1)
    assert [departure.life for departure in registry.departures("g")] == [("db-2", 0)]
    clock.advance(0.2)
    lives = [departure.life for departure in registry.departures("g")]
    assert lives == [("db-2", 0), ("db-2", 1)]
    registry.update(replace(info, started_unix_ms=1))
    assert [departure.life for departure in registry.departures("g")] == [("db-2", 0)]
    clock.advance(1.0)
    registry.remove("db-2")
    clock.advance(MISSING_GRACE_S + 0.1)
    assert len(registry.departures("g")) == 2


def test_a_departure_is_bounded_by_what_was_asked_after_it():
    clock = ManualClock()
    registry = TargetRegistry(clock)
    registry.update(replace(GatewayFleet().group["db-2"].info, draining=True))
    registry.remove("db-2")
    # It may run, and confirm commits, until it is gone for good.
    registry.bound_departures("g", lambda: (clock.now + 1.0, LogPosition(1, 3)))
    clock.advance(MISSING_GRACE_S + 0.1)
    assert [departure.bound for departure in registry.departures("g")] == [None]
    registry.bound_departures("g", lambda: (clock.now - 1.0, LogPosition(1, 4)))
    assert [departure.bound for departure in registry.departures("g")] == [None]
    registry.bound_departures("g", lambda: (clock.now + 1.0, LogPosition(1, 5)))
    registry.bound_departures("g", lambda: (clock.now + 2.0, LogPosition(1, 6)))
    assert [departure.bound for departure in registry.departures("g")] == [LogPosition(1, 5)]
