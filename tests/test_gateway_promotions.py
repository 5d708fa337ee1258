"""Promotions while the platform is slow: calls without an answer, and what they hold up."""

import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

import pytest
from result import Err, Ok

from quetzalrudder.exceptions import PlatformUnavailable, TargetUnavailable
from quetzalrudder.gateway.attempts import DRAIN_FRACTION, PrimaryDraining
from quetzalrudder.gateway.catalog import GroupSettings
from quetzalrudder.gateway.coordinator_lease import COORDINATOR_LEASE_S
from quetzalrudder.gateway.failover import SUCCESSOR_TIMEOUT_S
from quetzalrudder.gateway.permission import PERMISSION_S
from quetzalrudder.gateway.promotion_calls import LATE_CALL_LIMIT_S, PromotionCalls
from quetzalrudder.gateway.statements import Begin, Commit, Read, Write
from quetzalrudder.gateway.targets import TargetRole
from quetzalrudder.schema.common import Ending
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet, catalog

CALL_TIMEOUT_S = 0.8
WAIT_S = 10.0
DRAIN_LIMIT_S = 7.0


@pytest.fixture
def fleet():
    running = GatewayFleet()
    assert running.run(3.0, running.all_know_primary) is not None
    running.run(PERMISSION_S + 1)
    return running


class SlowPlatform:
    """Reads each promotion call, and runs it some time after its caller has given up."""

    def __init__(self, fleet, slow_s, until_s=1e9):
        self.fleet, self.slow_s, self.until = fleet, slow_s, fleet.clock.now + until_s
        self.run = fleet.group.promote
        self.calls, self.waiting = [], []
        for instance in fleet.instances:
            instance.gateway.failover.promotion_calls._client = self

    def promote(self, group, target, **caller):
        self.calls.append(target)
        if self.fleet.clock.now >= self.until:
            return self.run(group, target, **caller)
        self.waiting.append((self.fleet.clock.now + self.slow_s, group, target, caller))
        self.fleet.clock.advance(CALL_TIMEOUT_S)
        return Err(PlatformUnavailable("no answer", place=target, ending=Ending.UNKNOWN))

    def run_due(self):
        for call in [call for call in self.waiting if call[0] <= self.fleet.clock.now]:
            self.waiting.remove(call)
            self.run(*call[1:3], **call[3])


def drain(fleet, name):
    for instance in fleet.instances:
        info = instance.gateway.registry.queryable(name)
        instance.gateway.registry.update(replace(info, draining=True))


@pytest.mark.parametrize("slow_s", [2.0, 3.5])
@pytest.mark.parametrize("until_s", [3.05, 1e9])
def test_a_call_without_an_answer_deposes_no_primary_that_was_recorded_since(
    fleet, slow_s, until_s
):
    # Another database was promoted after 3 s; the first call then ran, and writes that the deposed
    # primary acknowledged were rolled back.
    platform = SlowPlatform(fleet, slow_s, until_s)
    drain(fleet, "db-1")
    sessions = [instance.session("quick") for instance in fleet.instances]
    acknowledged = 0
    for number in range(200):
        fleet.run(0.05)
        platform.run_due()
        newest = fleet.group.newest_primary()
        for session in sessions:
            if session.execute(f"w{number}", Write("a", "1")).error is None:
                assert fleet.group.executed[-1][0] == newest.info.target
                acknowledged += number > 100
    assert len(set(platform.calls)) == 1
    assert acknowledged > 200


def write_until(fleet, platform, steps):
    """Write at all instances; return the number of writes that a replaced primary acknowledged."""
    sessions = [instance.session("quick") for instance in fleet.instances]
    lost = 0
    for number in range(steps):
        fleet.run(0.05)
        platform.run_due()
        newest = fleet.group.newest_primary()
        for database in fleet.group.databases.values():
            # A change of role is announced at once.
            role = TargetRole.PRIMARY if database.primary else TargetRole.REPLICA
            if database.info.role is not role:
                database.info = replace(database.info, role=role)
                for instance in fleet.instances:
                    known = instance.gateway.registry.queryable(database.info.target)
                    instance.gateway.registry.update(replace(known, role=role))
        for session in sessions:
            if session.execute(f"w{number}", Write("a", "1")).error is None:
                lost += fleet.group.executed[-1][0] != newest.info.target
    return lost


def limit_drains(fleet):
    for instance in fleet.instances:
        instance.gateway.failover._drain_limit_s = DRAIN_LIMIT_S


def test_a_primary_that_a_call_may_still_promote_is_not_replaced_before_that(fleet):
    # The call was forgotten once the group had a primary. That one was replaced, the call ran, and
    # the primary of that time was deposed: 957 to 1,040 writes were acknowledged there.
    limit_drains(fleet)
    platform = SlowPlatform(fleet, slow_s=3.0, until_s=0.5)
    drain(fleet, "db-1")
    assert write_until(fleet, platform, 20) == 0
    first = platform.calls[0]
    assert fleet.group.newest_primary().info.target == first
    drain(fleet, first)
    drained_at = fleet.clock.now
    assert write_until(fleet, platform, 80) == 0
    assert not platform.waiting
    last = fleet.group.newest_primary().info.target
    assert last not in ("db-1", first)
    assert fleet.group.promotions[-1][0] == last
    assert fleet.clock.now > drained_at
    assert fleet.all_know_primary()


def test_a_draining_primary_is_replaced_in_time_though_a_call_may_still_promote_it(fleet):
    limit_drains(fleet)
    platform = SlowPlatform(fleet, slow_s=60.0, until_s=0.5)
    drain(fleet, "db-1")
    write_until(fleet, platform, 20)
    first = platform.calls[0]
    drain(fleet, first)

    def is_replaced():
        used = (each.gateway.primaries.usable_primary("g") for each in fleet.instances)
        return all(primary and primary.target not in ("db-1", first) for primary in used)

    assert fleet.run(DRAIN_FRACTION * DRAIN_LIMIT_S, is_replaced) is not None


def test_a_primary_to_be_evacuated_is_replaced_though_a_call_may_still_promote_it(
    fleet, monkeypatch
):
    limit_drains(fleet)
    platform = SlowPlatform(fleet, slow_s=60.0, until_s=0.5)
    drain(fleet, "db-1")
    write_until(fleet, platform, 20)
    first = platform.calls[0]
    assert fleet.group.newest_primary().info.target == first
    for instance in fleet.instances:
        failover = instance.gateway.failover
        monkeypatch.setattr(failover, "_must_move", lambda primary: primary.target == first)
    assert fleet.run(2.0, lambda: fleet.group.newest_primary().info.target != first) is not None


def test_a_database_that_a_late_call_has_promoted_is_noticed_by_its_role(fleet):
    # Nobody noticed before the old primary did, a second later.
    platform = SlowPlatform(fleet, slow_s=1e9, until_s=0.0)
    write_until(fleet, platform, 5)
    fleet.group.replicate()
    platform.run("g", "db-2", coordinator="edge-1", fencing_token=1)
    before = fleet.clock.now
    while fleet.clock.now < before + 0.5:
        write_until(fleet, platform, 1)
    assert write_until(fleet, platform, 10) == 0
    record = fleet[0].gateway.primaries.record("g")
    assert (record.primary, record.term) == ("db-2", 2)
    assert fleet.all_know_primary()


def test_a_promotion_that_a_call_without_an_answer_has_made_is_noticed(fleet):
    # It was noticed only after a call that was answered.
    platform = SlowPlatform(fleet, slow_s=1.0)
    fleet.group["db-1"].up = False
    for _ in range(100):
        fleet.run(0.05)
        platform.run_due()
        if fleet.group.promotions and fleet.all_know_primary():
            break
    assert fleet.all_know_primary()
    assert fleet[0].session().execute("w", Write("a", "1")).error is None


def test_a_successor_that_leaves_for_good_while_its_call_has_no_answer_is_left(fleet):
    # A call for a database that does not run is refused, however late it is run.
    SlowPlatform(fleet, slow_s=60.0, until_s=8.0)
    fleet.group["db-1"].up = False
    fleet.run(3.0)
    record = fleet[0].gateway.primaries.record("g")
    fleet.group[record.successor].up = False
    for instance in fleet.instances:
        instance.gateway.registry.remove(record.successor)
    assert fleet.run(SUCCESSOR_TIMEOUT_S + 8.0, fleet.all_know_primary) is not None
    assert fleet.group.newest_primary().info.target not in ("db-1", record.successor)


def test_a_promotion_that_was_accepted_late_is_awaited(fleet):
    # The time for it to take effect began before it was accepted, so another one was promoted.
    platform = SlowPlatform(fleet, slow_s=60.0, until_s=2 * SUCCESSOR_TIMEOUT_S + 1.0)
    fleet.group.promotion_delay_s = 0.3
    drain(fleet, "db-1")
    assert fleet.run(3.0, lambda: platform.calls) is not None
    assert fleet.run(12.0, fleet.all_know_primary) is not None
    assert len(set(platform.calls)) == 1


def test_the_coordinator_keeps_its_lease_while_a_successor_lacks_the_log(fleet, monkeypatch):
    # A step waited for longer than a renewal counts, if a query took its time too.
    coordinator = next(i for i in fleet.instances if i.gateway.failover.is_coordinator)
    failover = coordinator.gateway.failover
    query, held = failover._prober.status, []

    def status(target):
        fleet.clock.advance(0.2)
        held.append(failover.is_coordinator)
        return query(target)

    assert fleet[0].session().execute("w", Write("a", "1")).error is None
    monkeypatch.setattr(failover._prober, "status", status)
    drain(fleet, "db-1")
    fleet.run(5.0, lambda: fleet.group.promotions)
    assert fleet.group.promotions
    assert all(held)


@pytest.mark.parametrize("frozen", [False, True])
def test_a_successor_that_may_return_while_its_call_has_no_answer_is_not_left(fleet, frozen):
    # The platform called it not running, and another one was promoted; the first call then ran, as
    # the successor was back, and writes that the deposed primary acknowledged were rolled back.
    platform = SlowPlatform(fleet, slow_s=6.0, until_s=1.5)
    drain(fleet, "db-1")
    assert fleet.run(3.0, lambda: platform.calls) is not None
    successor = fleet.group[platform.calls[0]]
    successor.up = False
    crashed_at = fleet.clock.now
    if frozen:
        coordinator = next(i for i in fleet.instances if i.gateway.failover.is_coordinator)
        coordinator.frozen = True
    writing = fleet.instances[:]
    acknowledged = 0
    for number in range(300):
        fleet.run(0.05)
        if fleet.clock.now > crashed_at + 3.0:
            successor.up = True
        platform.run_due()
        newest = fleet.group.newest_primary()
        for instance in writing:
            if instance.frozen:
                continue
            if instance.session("quick").execute(f"w{number}", Write("a", "1")).error is None:
                assert fleet.group.executed[-1][0] == newest.info.target
                acknowledged += number > 200
    assert set(platform.calls) == {successor.info.target}
    assert acknowledged > 100


def test_a_successor_that_the_platform_refuses_is_left_at_once(fleet):
    # There is nothing to wait for: the call has been answered.
    run, refused = fleet.group.promote, []

    def promote(group, target, **caller):
        if not refused:
            refused.append(target)
            return Err(TargetUnavailable("status 409", place=target))
        return run(group, target, **caller)

    for instance in fleet.instances:
        instance.gateway.failover.promotion_calls._client.promote = promote
    fleet.group["db-1"].up = False
    assert fleet.run(4.0, lambda: bool(fleet.group.promotions)) is not None
    assert fleet.group.promotions[0][0] not in refused


def test_a_draining_primary_is_not_chosen_to_follow_itself(fleet):
    # Its log is the furthest, and the platform accepts a call for it, which changes nothing.
    assert fleet[0].session().execute("w", Write("a", "1")).error is None
    run, refused = fleet.group.promote, []

    def promote(group, target, **caller):
        if target == "db-1":
            return Ok(None)
        if not refused:
            refused.append(target)
            return Err(TargetUnavailable("status 409", place=target))
        return run(group, target, **caller)

    for instance in fleet.instances:
        instance.gateway.failover.promotion_calls._client.promote = promote
    drain(fleet, "db-1")
    assert fleet.run(3.0, lambda: bool(fleet.group.promotions)) is not None


@pytest.mark.parametrize("sync_replicas", [0, 1])
def test_a_primary_that_returns_and_alone_is_left_leads_again(fleet, sync_replicas):
    # The platform answers 200 for the present primary and changes nothing: its term stayed the
    # same, so it was not used for as long as no other database came back.
    groups = {"g": GroupSettings("g", 30, sync_replicas=sync_replicas)}
    for instance in fleet.instances:
        instance.gateway.catalogs.update_if_newer(catalog(2, groups=groups), b"2")
    fleet.group["db-1"].up = False
    assert fleet.run(3.0, lambda: fleet[0].gateway.primaries.record("g").primary is None)
    run, calls = fleet.group.promote, []

    def promote(group, target, **caller):
        calls.append(target)
        if target == "db-1":
            return Ok(None)
        return run(group, target, **caller)

    for instance in fleet.instances:
        instance.gateway.failover.promotion_calls._client.promote = promote
    fleet.group["db-2"].up = fleet.group["db-3"].up = False
    fleet.group.pending_promotions.clear()
    for database in ("db-2", "db-3"):
        fleet.group[database].primary = False
        for instance in fleet.instances:
            instance.gateway.registry.remove(database)
    fleet.run(4.0)
    fleet.group["db-1"].up = True
    assert fleet.run(12.0, fleet.all_know_primary) is not None
    assert fleet[0].session().execute("w", Write("a", "1")).error is None
    assert fleet[0].gateway.primaries.record("g").primary == "db-1"


# Calls of several groups.


class HangingClient:
    """Answers calls for a group once the test lets it; others at once."""

    def __init__(self, group):
        self.group = group
        self.may_answer = threading.Event()
        self.calls = []

    def promote(self, group, target, *, coordinator, fencing_token, may_send):
        self.calls.append(group)
        if group == self.group:
            assert self.may_answer.wait(WAIT_S)
        return Ok(None)


@pytest.fixture
def executor():
    with ThreadPoolExecutor(4) as running:
        yield running


def wait_for_result(calls, group):
    deadline = threading.Event()
    for _ in range(1000):
        if (ended := calls.take_result(group)) is not None:
            return ended
        deadline.wait(0.01)
    raise AssertionError("no result")


def test_a_call_that_hangs_holds_up_no_other_group(executor):
    # The primaries of the groups that came later in a step were not replaced at all.
    client = HangingClient("a")
    calls = PromotionCalls(client, "edge-1", lambda: True, ManualClock())
    calls.executor = executor
    calls.begin("a", 2, "db-1", 7)
    calls.begin("b", 5, "db-2", 7)
    assert wait_for_result(calls, "b") == (5, Ok(None))
    assert calls.take_result("a") is None
    calls.begin("a", 2, "db-1", 7)
    assert client.calls.count("a") == 1
    client.may_answer.set()
    assert wait_for_result(calls, "a") == (2, Ok(None))
    assert calls.was_made("a", 2)
    assert not calls.was_made("a", 3)


def test_the_coordinator_keeps_its_lease_while_a_call_hangs(fleet, executor):
    # The lease was renewed between steps only, and a step waited for each call.
    coordinator = next(i for i in fleet.instances if i.gateway.failover.is_coordinator)
    client = HangingClient("g")
    calls = coordinator.gateway.failover.promotion_calls
    calls._client, calls.executor = client, executor
    fleet.group["db-1"].up = False
    fleet.run(3.0, lambda: bool(client.calls))
    for _ in range(100):
        fleet.run(0.05)
        assert coordinator.gateway.failover.is_coordinator
    client.may_answer.set()


def test_no_call_is_made_after_the_lease_has_lapsed():
    # The executor may run it later than it was begun.
    client = HangingClient("other")
    calls = PromotionCalls(client, "edge-1", lambda: False, ManualClock())
    calls.begin("a", 2, "db-1", 7)
    epoch, result = calls.take_result("a")
    assert (epoch, client.calls) == (2, [])
    assert isinstance(result, Err)
    assert not calls.may_still_run("a", "db-1")


def test_a_call_without_an_answer_is_expected_to_run_for_a_limited_time():
    class SilentClient:
        def promote(self, group, target, **caller):
            return Err(PlatformUnavailable("no answer", place=target, ending=Ending.UNKNOWN))

    clock = ManualClock()
    calls = PromotionCalls(SilentClient(), "edge-1", lambda: True, clock)
    calls.begin("a", 2, "db-1", 7)
    calls.take_result("a")
    clock.advance(LATE_CALL_LIMIT_S - 0.1)
    assert calls.may_still_run("a", "db-1")
    assert not calls.may_still_run("a", "db-2")
    assert not calls.may_still_run("b", "db-1")
    clock.advance(0.2)
    assert not calls.may_still_run("a", "db-1")


def test_calls_without_an_answer_of_several_groups_at_once_are_all_remembered(executor):
    # One that is forgotten may depose a primary.
    groups = [f"group-{number}" for number in range(4)]
    together = threading.Barrier(len(groups))

    class SilentClient:
        def promote(self, group, target, **caller):
            together.wait(WAIT_S)
            return Err(PlatformUnavailable("no answer", place=target, ending=Ending.UNKNOWN))

    calls = PromotionCalls(SilentClient(), "edge-1", lambda: True, ManualClock())
    calls.executor = executor
    for epoch in range(50):
        for group in groups:
            calls.begin(group, epoch, f"db-{epoch}", 7)
        for group in groups:
            wait_for_result(calls, group)
    remembered = [
        calls.may_still_run(group, f"db-{epoch}") for group in groups for epoch in range(50)
    ]
    assert all(remembered)


def test_an_unexpected_exception_of_a_call_counts_as_no_answer():
    class FailingClient:
        def promote(self, *args, **kwargs):
            raise RuntimeError("defect")

    calls = PromotionCalls(FailingClient(), "edge-1", lambda: True, ManualClock())
    calls.begin("a", 2, "db-1", 7)
    assert isinstance(calls.take_result("a")[1], Err)
    assert calls.may_still_run("a", "db-1")


def test_the_lease_is_renewed_between_the_groups_of_a_step(fleet, monkeypatch):
    # Databases that answer late took all of the time for which a renewal counts.
    coordinator = next(i for i in fleet.instances if i.gateway.failover.is_coordinator)
    failover = coordinator.gateway.failover
    stepped = []

    def step_slowly(group):
        stepped.append(failover.is_coordinator)
        fleet.clock.advance(COORDINATOR_LEASE_S / 3)

    monkeypatch.setattr(failover, "_groups", lambda: ["a", "b", "c", "d"])
    monkeypatch.setattr(failover, "_step_group", step_slowly)
    failover.step()
    assert stepped == [True] * 4


# A draining primary that nothing replaces.


@pytest.fixture
def draining():
    """Return a fleet whose primary drains while the platform promotes nothing."""
    running = GatewayFleet()
    assert running.run(3.0, running.all_know_primary) is not None
    running.run(PERMISSION_S + 1)
    for instance in running.instances:
        instance.gateway.planner._drain_limit_s = DRAIN_LIMIT_S
        instance.gateway.failover._choose_successor = lambda *args, **kwargs: None
    drain(running, "db-1")
    return running


def test_nothing_new_reaches_a_draining_primary_after_its_time(draining):
    # It went on getting all writes for as long as no other one was promoted.
    session = draining[0].session()
    assert session.execute("w1", Write("a", "1")).error is None
    open_session = draining[0].session()
    open_session.execute("b", Begin(False))
    assert open_session.execute("w2", Write("a", "2")).error is None
    draining.run(DRAIN_FRACTION * DRAIN_LIMIT_S + 0.1)
    ran = len(draining.group.executed)
    before = draining.clock.now
    for statement in (Write("a", "3"), Read("a")):
        error = session.execute("late", statement).error
        assert isinstance(error, PrimaryDraining)
        assert error.ending is Ending.NOT_RUN
        assert error.retry_after_ms > 0
    assert draining.clock.now == before
    assert len(draining.group.executed) == ran
    # What had begun there ends there.
    assert open_session.execute("c", Commit()).error is None


def test_reads_at_replicas_go_on_while_the_primary_drains(draining):
    # Only what needs the primary is refused.
    draining.group.replicate()
    draining.run(DRAIN_FRACTION * DRAIN_LIMIT_S + 0.1)
    assert draining[0].session("prices").execute("r", Read("a")).error is None


def test_a_draining_primary_is_used_while_no_change_can_be_recorded(draining):
    # Without the store nobody can replace it, and it serves for as long as it runs.
    for instance in draining.instances:
        instance.cut_from_store()
    draining.run(DRAIN_LIMIT_S)
    assert draining[0].session().execute("w", Write("a", "1")).error is None
