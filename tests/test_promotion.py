"""Promotion and confirmation in virtual time, with real decisions and in-memory targets."""

import asyncio
import random

import pytest

from quetzalrudder.exceptions import TransactionNotFound
from quetzalrudder.membership import PeerInfo
from quetzalrudder.promotion import PromotionOutcome
from quetzalrudder.schema.platform import Group
from quetzalrudder.schema.target import Begin, Commit, Confirm, Fence, Follow, Promote, Role
from quetzalrudder.suspicion import (
    Reachability,
    ReachabilityReport,
    assess_reachability,
    watchers_of,
)
from quetzalrudder.utils import Address
from quetzalrudder.writes import position_in_term
from standins.memory import MemoryGroup
from standins.memory_failover import Conditions, MemoryFleet
from standins.statements import StatementConn
from tests.naive.failover import naive_promote, naive_write

PLACES = {"t-a": "a", "t-b": "b", "t-c": "c"}
INSTANCES = {f"{dc}-{n}": dc for dc in ("a", "b", "c", "d") for n in (1, 2)}
WARM_UP_S = 1.0
RECOVERY_S = 7.0


def make_fleet(seed, **conditions):
    return MemoryFleet(INSTANCES, PLACES, Conditions(**conditions), seed)


class Writer:
    """Writes continuously through one instance and records acknowledged writes."""

    def __init__(self, fleet, name, write=None):
        self.fleet = fleet
        self.instance = fleet.instances[name]
        self.write = write or (lambda instance, *args: instance.write(*args))
        # Request id, position, and clock readings of the start and the acknowledgement.
        self.acknowledged = []
        fleet.time.spawn(name, self.run)

    def run(self):
        number = 0
        while True:
            number += 1
            request_id = f"{self.instance.name}/{number}"
            started_at = self.fleet.time.now
            position = self.write(self.instance, request_id, 0.5)
            if position is not None:
                row = (request_id, position, started_at, self.fleet.time.now)
                self.acknowledged.append(row)
            self.fleet.time.sleep(0.05)

    def has_acknowledged_write_since(self, at):
        return any(started_at >= at for _, _, started_at, _ in self.acknowledged)


def lost_writes(fleet, writers):
    """Return acknowledged writes that the primary of the highest term does not have."""
    primary = max(fleet.primaries().items(), key=lambda item: item[1])[0]
    target = fleet.group.targets[primary]
    acknowledged = [row[0] for writer in writers for row in writer.acknowledged]
    return [request_id for request_id in acknowledged if not target.holds_request(request_id)]


def promoted_at(fleet):
    """Return the clock reading of each recorded promotion, by term."""
    events = [e for instance in fleet.instances.values() for e in instance.timeline.events()]
    return {e.term: e.wall_us / 1e6 for e in events if e.kind == "primary-changed"}


def late_acknowledgements(fleet, writers):
    """Return writes started after a promotion and acknowledged in an older term."""
    promotions = promoted_at(fleet)
    return [
        row[0]
        for writer in writers
        for row in writer.acknowledged
        if any(term > row[1].term and at < row[2] for term, at in promotions.items())
    ]


def wait_until_converged(fleet):
    """Wait until all live members are in the term of one primary and have its whole log."""

    def has_converged():
        states = [t.state for name, t in fleet.group.targets.items() if name not in fleet.dead]
        terms = {state.term for state in states}
        roles = [state.role for state in states]
        ends = {(s.database.received.term, s.database.received.index) for s in states}
        one_primary = roles.count(Role.PRIMARY) == 1 and roles.count(Role.FENCED) == 0
        return len(terms) == 1 and one_primary and len(ends) == 1

    assert fleet.time.run(RECOVERY_S, has_converged)


def fail_primary(fleet, fault):
    if fault == "killed":
        fleet.kill("t-a")
    elif fault == "frozen":
        fleet.time.pause("t-a")
    else:
        fleet.isolate("a")


@pytest.mark.parametrize("platform_down", [False, True])
@pytest.mark.parametrize("fault", ["killed", "frozen", "isolated"])
@pytest.mark.parametrize("seed", range(2))
def test_writes_continue_in_a_new_term_and_none_is_lost(fault, seed, platform_down):
    with make_fleet(seed) as fleet:
        fleet.platform.down = platform_down
        writers = [Writer(fleet, name) for name in ("a-1", "b-1", "c-1")]
        fleet.time.run(WARM_UP_S)
        assert all(writer.acknowledged for writer in writers)
        fail_primary(fleet, fault)
        lost_at = fleet.time.now
        assert fleet.time.run(RECOVERY_S, lambda: writers[1].has_acknowledged_write_since(lost_at))
        fleet.time.run(1.0)
        fleet.time.resume("t-a" if fault == "frozen" else "")
        fleet.heal()
        wait_until_converged(fleet)
        assert lost_writes(fleet, writers) == []
        assert late_acknowledgements(fleet, writers) == []
        fleet.platform.down = False
        key = f"groups/{fleet.group_id}"
        assert fleet.time.run(RECOVERY_S, lambda: key in fleet.platform.entries)
        published = Group.parse(fleet.platform.entries[key].value)
        assert fleet.primaries()[published.primary] == published.term


def test_naive_proxy_loses_writes_that_an_isolated_primary_acknowledged():
    with make_fleet(0) as fleet:
        writer = Writer(fleet, "a-1", naive_write)
        fleet.time.run(WARM_UP_S)
        fleet.isolate("a")
        fleet.time.run(RECOVERY_S)
        fleet.heal()
        fleet.time.run(WARM_UP_S)
        assert lost_writes(fleet, [writer])
        assert late_acknowledgements(fleet, [writer])


def test_naive_promotion_drops_acknowledged_writes():
    lost = []
    for seed in range(3):
        with make_fleet(seed, replication_lag_s=0.1) as fleet:
            writer = Writer(fleet, "b-1", naive_write)
            fleet.time.run(WARM_UP_S)
            fleet.kill("t-a")
            instance = fleet.instances["b-2"]
            fleet.time.spawn("b-2", lambda instance=instance: naive_promote(instance))
            fleet.time.run(0.05)
            lost += lost_writes(fleet, [writer])
    assert lost


def test_replaced_primary_follows_and_drops_its_unconfirmed_writes():
    with make_fleet(1) as fleet:
        fleet.time.run(WARM_UP_S)
        fleet.isolate("a")
        old = fleet.group.targets["t-a"]
        old.write(1, "unconfirmed")
        assert old.holds_request("unconfirmed")
        assert fleet.time.run(RECOVERY_S, lambda: len(fleet.primaries()) == 2)
        fleet.heal()
        wait_until_converged(fleet)
        assert old.state.role is Role.REPLICA
        assert not old.holds_request("unconfirmed")


@pytest.mark.parametrize("offset_ms", [n / 2 for n in range(8)])
def test_instance_paused_between_check_and_send_acknowledges_no_write_of_an_old_term(offset_ms):
    with make_fleet(2) as fleet:
        writers = [Writer(fleet, name) for name in ("a-1", "b-1")]
        fleet.time.run(WARM_UP_S + offset_ms / 1000)
        fleet.time.pause("a-1")
        fleet.isolate("a")
        lost_at = fleet.time.now
        assert fleet.time.run(RECOVERY_S, lambda: writers[1].has_acknowledged_write_since(lost_at))
        fleet.time.resume("a-1")
        fleet.time.run(1.0)
        fleet.heal()
        wait_until_converged(fleet)
        assert lost_writes(fleet, writers) == []
        assert late_acknowledgements(fleet, writers) == []


@pytest.mark.parametrize("seed", range(4))
def test_concurrent_proposers_promote_at_most_one_primary_per_term(seed):
    with make_fleet(seed) as fleet:
        writers = [Writer(fleet, "b-1"), Writer(fleet, "d-1")]
        fleet.time.run(WARM_UP_S)
        fleet.kill("t-a")
        fleet.time.run(0.2)
        attempts = []
        for name in ("b-1", "c-1", "d-2"):
            promoter = fleet.instances[name].promoter
            fleet.time.spawn(
                name, lambda p=promoter: attempts.append(p.attempt_promotion(fleet.group_id))
            )
        lost_at = fleet.time.now
        assert fleet.time.run(RECOVERY_S, lambda: writers[0].has_acknowledged_write_since(lost_at))
        promoted = [a for a in attempts if a.outcome is PromotionOutcome.PROMOTED]
        assert len({attempt.term for attempt in promoted}) == len(promoted)
        wait_until_converged(fleet)
        assert lost_writes(fleet, writers) == []


@pytest.mark.parametrize("offset_ms", range(7))
def test_proposer_paused_during_an_attempt_is_replaced_and_resumes_without_harm(offset_ms):
    with make_fleet(3) as fleet:
        writers = [Writer(fleet, "b-1"), Writer(fleet, "d-1")]
        fleet.time.run(WARM_UP_S)
        fleet.kill("t-a")
        fleet.time.run(0.2)
        promoter = fleet.instances["c-1"].promoter
        fleet.time.spawn("c-1", lambda: promoter.attempt_promotion(fleet.group_id))
        fleet.time.run(offset_ms / 1000)
        fleet.time.pause("c-1")
        lost_at = fleet.time.now
        assert fleet.time.run(RECOVERY_S, lambda: writers[0].has_acknowledged_write_since(lost_at))
        fleet.time.resume("c-1")
        fleet.time.run(1.0)
        wait_until_converged(fleet)
        assert lost_writes(fleet, writers) == []


@pytest.mark.parametrize("fenced", [["t-b"], ["t-b", "t-c"], ["t-a", "t-b", "t-c"]])
def test_group_fenced_by_a_dead_proposer_recovers(fenced):
    with make_fleet(4) as fleet:
        writer = Writer(fleet, "d-1")
        fleet.time.run(WARM_UP_S)
        for name in fenced:
            fleet.group.targets[name].control(Fence(term=2, proposer="dead"))
        fenced_at = fleet.time.now
        recovered = fleet.time.run(
            RECOVERY_S, lambda: writer.has_acknowledged_write_since(fenced_at + 0.2)
        )
        assert recovered
        wait_until_converged(fleet)
        assert max(fleet.primaries().values()) > 2
        assert lost_writes(fleet, [writer]) == []


@pytest.mark.parametrize("loss", [0.01, 0.05, 0.2])
def test_lossy_links_cause_no_promotion(loss):
    with make_fleet(5, loss=loss) as fleet:
        fleet.time.run(15.0)
        assert fleet.primaries() == {"t-a": 1}
        assert promoted_at(fleet) == {}


def test_primary_unreachable_from_one_data_centre_is_not_replaced():
    with make_fleet(6) as fleet:
        fleet.time.run(WARM_UP_S)
        fleet._cut = {frozenset(("a", "b"))}
        fleet.time.run(10.0)
        assert promoted_at(fleet) == {}


def test_primary_restarted_without_its_log_neither_serves_nor_is_promoted():
    with make_fleet(7) as fleet:
        writers = [Writer(fleet, name) for name in ("b-1", "c-1")]
        fleet.time.run(WARM_UP_S)
        fleet.restart("t-a")
        lost_at = fleet.time.now
        assert fleet.time.run(RECOVERY_S, lambda: writers[0].has_acknowledged_write_since(lost_at))
        wait_until_converged(fleet)
        assert fleet.group.targets["t-a"].state.role is Role.REPLICA
        assert not fleet.group.targets["t-a"].state.rejoining
        assert lost_writes(fleet, writers) == []


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_lose_no_acknowledged_write(seed):
    rng = random.Random(seed)
    with make_fleet(seed, loss=0.05, max_extra_s=0.3, replication_lag_s=0.02) as fleet:
        writers = [Writer(fleet, name) for name in ("a-1", "b-1", "c-1")]
        fleet.time.run(WARM_UP_S)
        for _ in range(5):
            names = [*PLACES, "a-1", "b-1", "c-1"]
            paused = rng.sample(names, rng.randrange(3))
            for name in paused:
                fleet.time.pause(name)
            if rng.random() < 0.5:
                fleet.isolate(rng.choice("abc"))
            rejoining = any(t.state.rejoining for t in fleet.group.targets.values())
            if rng.random() < 0.5 and not rejoining:
                fleet.restart(rng.choice([name for name in PLACES if name not in paused]))
            fleet.time.run(rng.uniform(0.1, 4.0))
            for name in paused:
                fleet.time.resume(name)
            fleet.heal()
            if rng.random() < 0.7:
                fleet.time.run(rng.uniform(0.1, 3.0))
        fleet.conditions = Conditions()
        wait_until_converged(fleet)
        assert lost_writes(fleet, writers) == []
        assert late_acknowledgements(fleet, writers) == []


def test_follower_with_a_diverged_log_drops_entries_after_the_common_prefix():
    with make_fleet(0) as fleet:
        primary, follower = fleet.group.targets["t-a"], fleet.group.targets["t-b"]
        primary.write(1, "only here")
        follower.control(Fence(term=2, proposer="one"))
        follower.control(Promote(term=2, proposer="one"))
        primary.control(Fence(term=3, proposer="two"))
        primary.control(Promote(term=3, proposer="two"))
        follower.control(Follow(term=3, primary="t-a", address="127.0.0.1:1"))
        fleet.group.replicate("t-b")
    entries = [target.state.database.entries for target in (primary, follower)]
    assert entries[0] == entries[1]
    assert follower.holds_request("only here")


def test_open_transaction_ends_with_the_term():
    target = MemoryGroup(PLACES).targets["t-a"]

    async def run():
        conn = StatementConn(target.state)
        assert (await conn.run(Begin(workspace="w", term=1))).is_ok()
        target.control(Fence(term=2, proposer="one"))
        assert not conn.in_transaction
        assert isinstance((await conn.run(Commit())).err_value, TransactionNotFound)
        assert target.control(Promote(term=2, proposer="one")).failure is None

    asyncio.run(run())


def test_position_of_an_earlier_term_is_confirmed_by_the_start_of_the_current_term():
    group = MemoryGroup(PLACES)
    first = group.targets["t-a"].write(1, "once").ok_value
    group.replicate("t-b")
    for name in ("t-b", "t-c"):
        group.targets[name].control(Fence(term=2, proposer="one"))
    group.targets["t-b"].control(Promote(term=2, proposer="one"))
    group.targets["t-c"].control(Follow(term=2, primary="t-b", address="127.0.0.1:1"))
    repeat = group.targets["t-b"].write(2, "once").ok_value
    assert repeat.repeated_request
    assert repeat.position == first.position
    position = position_in_term(repeat.position, group.targets["t-b"].state.state())
    confirm = Confirm(position=position)
    assert not group.targets["t-c"].control(confirm).confirmed
    group.replicate("t-c")
    assert group.targets["t-c"].control(confirm).confirmed
    assert group.targets["t-c"].control(Confirm(position=first.position)).failure is not None


def peer_info(name, data_centre):
    return PeerInfo(name, data_centre, Address("127.0.0.1", 1))


def test_loss_needs_reports_of_two_instances_in_two_data_centres_and_none_that_reaches():
    fleet = [peer_info(name, data_centre) for name, data_centre in INSTANCES.items()]

    def assess(*reports):
        return assess_reachability(
            [ReachabilityReport(name, name[0], reached) for name, reached in reports], fleet
        )

    assert assess(("b-1", False)) is Reachability.INSUFFICIENT_EVIDENCE
    assert assess(("b-1", False), ("b-2", False)) is Reachability.INSUFFICIENT_EVIDENCE
    assert assess(("b-1", False), ("c-1", False)) is Reachability.UNREACHABLE
    assert assess(("b-1", False), ("c-1", False), ("d-1", True)) is Reachability.REACHABLE
    single_instance = [peer_info("b-1", "b")]
    assert (
        assess_reachability([ReachabilityReport("b-1", "b", False)], single_instance)
        is Reachability.UNREACHABLE
    )


@pytest.mark.parametrize("per_data_centre", [3, 30, 390])
def test_watchers_of_a_group_do_not_grow_with_the_fleet(per_data_centre):
    data_centres = [f"dc-{n}" for n in range(9)]
    fleet = [peer_info(f"{dc}-{n}", dc) for dc in data_centres for n in range(per_data_centre)]
    watchers = watchers_of("group-1", {"dc-3", "dc-5", "dc-7"}, fleet)
    assert len(watchers) == 8
    assert {watcher.data_centre for watcher in watchers} > {"dc-3", "dc-5", "dc-7"}
    remaining = [peer for peer in fleet if peer != watchers[0]]
    assert (
        len(set(watchers_of("group-1", {"dc-3", "dc-5", "dc-7"}, remaining)) - set(watchers)) == 1
    )
