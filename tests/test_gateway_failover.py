import pytest

from quetzalrudder.gateway.permission import PERMISSION_S
from quetzalrudder.gateway.statements import Read, SessionState, Write
from tests.gateway_fleet import GatewayFleet


@pytest.fixture
def fleet():
    running = GatewayFleet()
    assert running.run(2.0, running.all_know_primary) is not None
    # A holder needs a history of the store before it may promote.
    running.run(PERMISSION_S + 1)
    return running


def uses_primary(fleet, name):
    return lambda: all(
        (primary := instance.gateway.primaries.usable_primary("g")) is not None
        and primary.target == name
        for instance in fleet.instances
        if not instance.frozen
    )


def test_the_announced_primary_is_recorded_once(fleet):
    assert uses_primary(fleet, "db-1")()
    assert fleet.group.promotions == []


def test_a_crashed_primary_is_replaced_within_two_seconds(fleet):
    fleet.group["db-1"].up = False
    took_s = fleet.run(5.0, lambda: bool(fleet.group.promotions))
    assert took_s is not None
    assert took_s <= 2.0


def test_the_replica_that_received_most_takes_over(fleet):
    assert fleet[0].session().execute("w1", Write("a", "1")).error is None
    fleet.group.replicate()
    fleet.group["db-2"].replication_paused = True
    assert fleet[0].session().execute("w2", Write("a", "2")).error is None
    fleet.group.replicate()
    fleet.group["db-1"].up = False
    assert fleet.run(5.0, uses_primary(fleet, "db-3")) is not None


def test_no_read_at_a_successor_before_its_promotion_has_taken_effect(fleet):
    """The log of a successor may lack commits that were acknowledged by the old primary."""
    assert fleet[0].session().execute("w1", Write("a", "1")).error is None
    fleet.group.promotion_delay_s = 1.0
    fleet.group["db-1"].up = False
    fleet.run(5.0, lambda: bool(fleet.group.promotions))
    before = len(fleet.group.executed)
    while not fleet.group["db-2"].primary and not fleet.group["db-3"].primary:
        fleet[1].session().execute("r1", Read("a"))
        fleet.run(0.1)
        fleet.group.apply_due_promotions()
    assert fleet.group.executed[before:] == []
    assert fleet.run(5.0, fleet.all_know_primary) is not None


def test_a_successor_that_still_believes_in_its_old_term_is_not_used_early(fleet):
    """Once replaced, db-1 goes on saying that it leads, as nobody told it otherwise."""
    for instance in fleet.instances:
        instance.unreachable.add("db-1")
    assert fleet.run(10.0, uses_primary(fleet, "db-3")) is not None
    assert fleet.group["db-1"].primary
    for instance in fleet.instances:
        instance.unreachable = {"db-2", "db-3"}
    fleet.group.promotion_delay_s = 1.0
    assert fleet.run(20.0, uses_primary(fleet, "db-1")) is not None
    assert fleet.group["db-1"].term > fleet.group["db-3"].term


def test_an_instance_that_is_cut_off_stops_before_another_primary_leads(fleet):
    cut_off = fleet[2]
    cut_off.cut_from_store()
    for instance in fleet.instances[:2]:
        instance.unreachable.add("db-1")
    session = cut_off.session()
    acknowledged = []
    for turn in range(400):
        if session.execute(f"w{turn}", Write("a", str(turn))).error is None:
            acknowledged.append(fleet.clock.now)
            assert fleet.group.promotions == []
        fleet.run(0.05)
        if fleet.group.promotions:
            break
    assert acknowledged
    assert fleet.group.promotions
    assert session.execute("late", Write("a", "late")).error is not None


def test_a_frozen_instance_acknowledges_nothing_after_it_wakes(fleet):
    frozen = fleet[2]
    session = frozen.session()
    assert session.execute("w1", Write("a", "1")).error is None
    frozen.frozen = True
    for instance in fleet.instances[:2]:
        instance.unreachable.add("db-1")
    assert fleet.run(12.0, lambda: bool(fleet.group.promotions)) is not None
    answer = session.execute("w2", Write("a", "2"))
    assert answer.error is not None
    assert answer.state is SessionState.IDLE


def test_an_answer_that_comes_after_the_permission_ended_is_not_passed_on(fleet):
    session = fleet[0].session()

    def late(link, request_id, statement):
        fleet.clock.advance(PERMISSION_S + 1)

    fleet.group["db-1"].script = late
    answer = session.execute("w1", Write("a", "1"))
    assert type(answer.error).__name__ == "OutcomeUnknown"


def test_a_primary_that_only_one_instance_lost_stays(fleet):
    fleet[0].unreachable.add("db-1")
    assert fleet.run(10.0, lambda: bool(fleet.group.promotions)) is None


def test_a_healthy_primary_is_used_while_the_store_is_away_for_a_moment(fleet):
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.run(PERMISSION_S - 2)
    assert fleet[0].session().execute("w1", Write("a", "1")).error is None
    assert fleet.group.promotions == []


def test_the_duty_moves_on_when_its_holder_freezes(fleet):
    coordinator = next(i for i in fleet.instances if i.gateway.failover.is_coordinator)
    coordinator.frozen = True
    fleet.group["db-1"].up = False
    took_s = fleet.run(15.0, lambda: bool(fleet.group.promotions))
    assert took_s is not None
    tokens = [token for _, token in fleet.group.promotions]
    assert tokens == sorted(tokens)


def test_a_leaving_primary_hands_its_log_over(fleet):
    from dataclasses import replace

    assert fleet[0].session().execute("w1", Write("a", "1")).error is None
    for instance in fleet.instances:
        info = instance.gateway.registry.get("db-1")
        instance.gateway.registry.update(replace(info, draining=True))
    fleet.group.replicate()
    assert fleet.run(3.0, uses_primary(fleet, "db-2")) or uses_primary(fleet, "db-3")()
    assert not fleet.group["db-1"].primary
    new = fleet[0].gateway.primaries.usable_primary("g").target
    assert [entry[1:] for entry in fleet.group[new].log] == [("a", "1")]


def test_the_duty_is_not_taken_from_a_holder_seen_meanwhile(fleet):
    """Another instance may take the duty, and be seen, between the lease and the write."""
    coordinator = next(i for i in fleet.instances if i.gateway.failover.is_coordinator)
    late, other = (i for i in fleet.instances if i is not coordinator)
    coordinator.frozen = True
    fleet.run(10.0, lambda: "qr/duty" not in fleet.store.items)
    coordinator_lease = late.gateway.failover.coordinator_lease
    handle = coordinator_lease._store
    open_lease = handle.open_lease

    def open_slowly(ttl_s):
        lease = open_lease(ttl_s)
        while not other.gateway.failover.is_coordinator:
            other.step()
            fleet.clock.advance(0.05)
        late.mirror.step()
        return lease

    handle.open_lease = open_slowly
    late.mirror.step()
    fleet.clock.advance(0.2)
    coordinator_lease.step()
    assert other.gateway.failover.is_coordinator
    assert not coordinator_lease.held


def test_a_cut_off_instance_delays_a_failover_by_one_permission_not_two():
    """Its lease has run its whole time when its record goes, unless the store lost leases."""
    fleet = GatewayFleet(("edge-1", "edge-2", "edge-3", "edge-4"))
    fleet.run(3.0, fleet.all_know_primary)
    fleet.run(PERMISSION_S + 1)
    cut_off = next(i for i in fleet.instances if not i.gateway.failover.is_coordinator)
    cut_off.cut_from_store()
    cut_off.cut_from_peers = True
    for instance in fleet.instances:
        if instance is not cut_off:
            instance.unreachable.add("db-1")
    took_s = fleet.run(10.0, lambda: bool(fleet.group.promotions))
    assert took_s is not None
    assert took_s <= PERMISSION_S + 1.0


def test_leases_that_the_store_lost_are_waited_out():
    """Then a record that is gone says nothing of the permission."""
    fleet = GatewayFleet(("edge-1", "edge-2", "edge-3", "edge-4"))
    fleet.run(3.0, fleet.all_know_primary)
    fleet.run(PERMISSION_S + 1)
    cut_off = next(i for i in fleet.instances if not i.gateway.failover.is_coordinator)
    cut_off.cut_from_store()
    cut_off.cut_from_peers = True
    for instance in fleet.instances:
        if instance is not cut_off:
            instance.unreachable.add("db-1")
    for lease in list(fleet.store.leases):
        fleet.store.drop_lease(lease)
    took_s = fleet.run(10.0, lambda: bool(fleet.group.promotions))
    assert took_s is not None
    assert not cut_off.gateway.permission.valid
    assert took_s >= PERMISSION_S
