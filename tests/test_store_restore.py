"""The store comes back from an older copy of itself: what the instances wrote since is lost."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from quetzalrudder.exceptions import PlatformUnavailable, PrimaryChanging
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.era_store import BASE_ERA_KEY, EraStore
from quetzalrudder.gateway.permission import ERA_SETTLING_S, OUTAGE_LIMIT_S, PERMISSION_S
from quetzalrudder.gateway.records import (
    MEMBER_PREFIX,
    PRIMARY_PREFIX,
    ROSTER_PREFIX,
    decode_primary,
    decode_roster,
)
from quetzalrudder.gateway.statements import Write
from quetzalrudder.gateway.store import (
    EraPassed,
    HistoryGone,
    Item,
    StoreEra,
    WriteConflict,
    era_of,
    revision_in,
    revision_within_era,
)
from quetzalrudder.gateway.store_eras import StoreEras
from tests.clocks import ManualClock
from tests.gateway_fakes import MemoryStore
from tests.gateway_fleet import GatewayFleet
from tests.test_gateway_permissions import FaultSearch, served_s

# The era that the stand-in store starts with.
FIRST_STORE_ERA = 7
# Longest time until an instance has joined again and seen what the store holds.
JOIN_S = 1.0
LARGE_NAMES = tuple(f"edge-{number}" for number in range(LARGE_FLEET + 2))


@pytest.fixture
def fleet():
    running = GatewayFleet(store_era=FIRST_STORE_ERA)
    assert running.run(3.0, running.all_know_primary) is not None
    running.run(PERMISSION_S + 1)
    return running


def primaries(fleet):
    """Return the primary that each instance may use."""
    found = [instance.gateway.primaries.usable_primary("g") for instance in fleet.instances]
    return {each.target if each is not None else None for each in found}


def replace_primary(fleet, limit_s=6.0):
    """Let the primary crash, wait for its successor, and let it return as a replica."""
    old = fleet.group.newest_primary()
    old.up = False
    promoted = len(fleet.group.promotions)
    assert fleet.run(limit_s, lambda: len(fleet.group.promotions) > promoted) is not None
    new = fleet.group.newest_primary()
    assert fleet.run(2.0, lambda: primaries(fleet) == {new.info.target}) is not None
    old.up, old.primary = True, False
    return new.info.target


def stored_primary(fleet):
    return decode_primary(fleet.store.items[PRIMARY_PREFIX + "g"])


def coordinator(fleet):
    return next((i for i in fleet.instances if i.gateway.failover.is_coordinator), None)


# Fencing tokens.


def test_fencing_tokens_grow_over_returns_of_the_store(fleet):
    # The token was a revision, which falls when the store comes back from an older copy.
    copied = fleet.store.copy()
    fleet.run(4.0)
    replace_primary(fleet)
    for _ in range(3):
        fleet.return_store(copied)
        fleet.run(ERA_SETTLING_S + 3.0)
        replace_primary(fleet)
    tokens = [token for _, token in fleet.group.promotions]
    assert len(tokens) == 4
    assert tokens == sorted(tokens)
    assert len(set(tokens)) == len(tokens)


def test_a_coordinator_of_the_earlier_era_acts_no_more(fleet):
    # Two coordinators could take turns, each with a lease that the store has granted.
    old = coordinator(fleet)
    fleet.return_store(fleet.store.copy(), away_s=0.1)
    assert old.gateway.failover.is_coordinator
    old.mirror.step()
    assert not old.gateway.failover.is_coordinator


def test_tokens_and_epochs_of_the_first_era_are_those_of_builds_without_eras(fleet):
    # Instances of two builds run side by side while machines are replaced.
    replace_primary(fleet)
    [(_, token)] = fleet.group.promotions
    assert token < fleet.store.revision
    assert stored_primary(fleet).epoch == 2


# Records of primaries.


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize("keeps_leases", [False, True])
def test_a_replaced_primary_is_used_by_nobody_after_a_return(fleet, restarts, keeps_leases):
    # The older record came back under a later revision, and replaced the newer one.
    copied = fleet.store.copy()
    new = replace_primary(fleet)
    if restarts:
        fleet.start("edge-2", seed=9)
    fleet.return_store(copied, keeps_leases=keeps_leases)
    for _ in range(200):
        fleet.run(0.05)
        assert primaries(fleet) <= {new, None}
    assert primaries(fleet) == {new}
    assert stored_primary(fleet).primary == new


def test_an_instance_that_starts_after_a_return_uses_no_primary_before_it_is_confirmed(fleet):
    # It read the record of a primary that had been replaced, and used it by its own lease.
    copied = fleet.store.copy()
    replace_primary(fleet)
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.store.come_back(copied)
    started = fleet.start("edge-9", seed=3)
    fleet.run(JOIN_S)
    assert started.gateway.permission.valid
    assert started.gateway.primaries.record("g").primary == "db-1"
    assert started.gateway.primaries.usable_primary("g") is None
    # The caller is told at once, and when to return.
    before = fleet.clock.now
    error = started.session().execute("w", Write("a", "1")).error
    assert isinstance(error, PrimaryChanging)
    assert 0 < error.retry_after_ms / 1000 <= 2 * ERA_SETTLING_S
    assert fleet.clock.now == before


def test_an_instance_whose_permission_has_lapsed_waits_for_a_confirmation(fleet):
    # A change could have taken effect without its acknowledgement, and its record be lost.
    cut = fleet[2]
    copied = fleet.store.copy()
    cut.cut_from_store()
    cut.cut_from_peers = True
    fleet.run(PERMISSION_S + 0.5)
    new = replace_primary_seen_by(fleet, fleet.instances[:2])
    for instance in fleet.instances[:2]:
        instance.cut_from_store()
    fleet.store.come_back(copied)
    cut.cut_from_store(False)
    fleet.run(JOIN_S)
    assert cut.gateway.permission.valid
    assert cut.gateway.primaries.usable_primary("g") is None
    fleet.instances[0].cut_from_store(False)
    fleet.instances[1].cut_from_store(False)
    cut.cut_from_peers = False
    assert fleet.run(8.0, lambda: primaries(fleet) == {new}) is not None


def replace_primary_seen_by(fleet, instances):
    fleet.group["db-1"].up = False
    assert fleet.run(30.0, lambda: bool(fleet.group.promotions)) is not None
    new = fleet.group.newest_primary().info.target
    fleet.run(1.0)
    for instance in instances:
        assert instance.gateway.primaries.usable_primary("g").target == new
    fleet.group["db-1"].up, fleet.group["db-1"].primary = True, False
    return new


@pytest.mark.parametrize("away_s", [0.1, 1.0, 3.0])
def test_a_healthy_primary_is_used_through_a_return(fleet, away_s):
    # A return says nothing about the primary; 5 s of work is all that may wait for a lease.
    copied = fleet.store.copy()
    fleet.run(3.0)
    fleet.return_store(copied, away_s)
    assert all(served_s(fleet, instance, 4.0) > 3.9 for instance in fleet.instances)
    assert fleet.group.promotions == []


def test_a_transaction_goes_on_while_its_primary_is_confirmed(fleet):
    # The confirmation has a new epoch, which is not one of another primary.
    session = fleet[0].session()
    held = fleet[0].gateway.primaries.usable_primary("g")
    fleet.return_store(fleet.store.copy())
    fleet.run(ERA_SETTLING_S + 3.0)
    assert era_of(stored_primary(fleet).epoch) == 1
    assert fleet[0].gateway.primaries.is_usable(held)
    assert session.execute("w", Write("a", "1")).error is None


def test_a_draining_primary_is_replaced_after_a_return(fleet):
    # The write of its replacement expected a revision that the store no longer had.
    copied = fleet.store.copy()
    new = replace_primary(fleet)
    fleet.return_store(copied)
    fleet.run(ERA_SETTLING_S + 3.0)
    for instance in fleet.instances:
        draining = [
            info.__class__(**{**vars(info), "draining": info.target == new})
            for info in fleet.group.infos()
        ]
        instance.gateway.registry.replace_all(draining)
    assert fleet.run(3.0, lambda: primaries(fleet).isdisjoint({new, None})) is not None


def test_a_change_in_progress_is_completed_after_a_return(fleet):
    # Its record was lost, and with it what instances had acknowledged.
    copied = fleet.store.copy()
    fleet.group["db-1"].up = False
    fleet.group.promotion_delay_s = 2.0
    assert fleet.run(6.0, lambda: bool(fleet.group.promotions)) is not None
    fleet.return_store(copied, away_s=0.5)
    assert fleet.run(12.0, lambda: None not in primaries(fleet)) is not None
    assert primaries(fleet) == {fleet.group.newest_primary().info.target}


def test_a_lost_primary_is_replaced_within_seven_seconds_of_a_return(fleet):
    # The failover gap that the users allow.
    copied = fleet.store.copy()
    fleet.run(3.0)
    fleet.return_store(copied)
    fleet.group["db-1"].up = False
    assert fleet.run(7.0, lambda: primaries(fleet).isdisjoint({"db-1", None})) is not None


def test_all_instances_are_killed_and_the_store_returns(fleet):
    # Nobody knows what the store has lost: the databases tell which one leads.
    copied = fleet.store.copy()
    new = replace_primary(fleet)
    for number, name in enumerate([instance.name for instance in fleet.instances]):
        fleet.start(name, seed=40 + number)
    fleet.return_store(copied, away_s=0.2)
    for _ in range(160):
        fleet.run(0.05)
        assert primaries(fleet) <= {fleet.group.newest_primary().info.target, None}
    assert None not in primaries(fleet)
    assert new in primaries(fleet) or len(fleet.group.promotions) == 2


def test_a_database_that_is_silent_may_lead_when_nobody_knows(fleet):
    # It would go on acknowledging writes beside the recorded primary.
    copied = fleet.store.copy()
    new = replace_primary(fleet)
    for number, name in enumerate([instance.name for instance in fleet.instances]):
        fleet.start(name, seed=40 + number)
    for instance in fleet.instances:
        instance.unreachable.add(new)
    fleet.return_store(copied, away_s=0.2)
    assert fleet.run(20.0, lambda: None not in primaries(fleet)) is not None
    assert len(fleet.group.promotions) == 2
    assert primaries(fleet) == {fleet.group.newest_primary().info.target}


def test_a_second_return_seconds_after_the_first(fleet):
    # What was written again since the first return is lost once more.
    copied = fleet.store.copy()
    new = replace_primary(fleet)
    fleet.return_store(copied)
    fleet.run(1.5)
    fleet.return_store(fleet.store.copy(), away_s=0.5)
    for _ in range(160):
        fleet.run(0.05)
        assert primaries(fleet) <= {new, None}
    assert primaries(fleet) == {new}
    assert era_of(stored_primary(fleet).epoch) == 2


def test_a_group_whose_record_is_lost_altogether_gets_it_back(fleet):
    # The next coordinator would have recorded the announced primary, which may be a replaced one.
    del fleet.store.items[PRIMARY_PREFIX + "g"]
    copied = fleet.store.copy()
    fleet.return_store(copied)
    fleet.run(ERA_SETTLING_S + 3.0)
    assert stored_primary(fleet).primary == "db-1"
    assert primaries(fleet) == {"db-1"}


# The fleet.


def test_an_instance_that_the_store_has_lost_is_waited_for(fleet):
    # The roster lacked an instance that had joined since the copy and still used the old primary.
    copied = fleet.store.copy()
    joined = fleet.start("edge-4", seed=5)
    fleet.run(3.0)
    assert joined.gateway.permission.valid
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.store.come_back(copied)
    # It reaches the primary, its peers do not; and nobody but them reaches the store.
    joined.cut_from_peers = True
    for instance in fleet.instances[:3]:
        instance.cut_from_store(False)
        instance.unreachable.add("db-1")
    session = joined.session()
    for attempt in range(600):
        answer = session.execute(f"w{attempt}", Write("a", "1"))
        assert answer.error is not None or not fleet.group.promotions
        fleet.run(0.05)
    assert fleet.group.promotions


def test_instances_join_again_and_know_each_other_after_a_return(fleet):
    # Their leases and roster entries are those of the copy.
    copied = fleet.store.copy()
    fleet.start("edge-4", seed=5)
    fleet.run(2.0)
    fleet.return_store(copied)
    fleet.run(4.0)
    for instance in fleet.instances:
        assert instance.gateway.members.count() == 4
        assert len(instance.gateway.members.members()) == 4
    for name in ("edge-1", "edge-2", "edge-3", "edge-4"):
        assert MEMBER_PREFIX + name in fleet.store.items
        entry = decode_roster(fleet.store.items[ROSTER_PREFIX + name])
        assert era_of(entry.known_up_to) == 1


def test_an_instance_that_starts_in_a_later_era_joins_once(fleet, caplog):
    # It took the lease that it had just opened for one of the era before.
    fleet.return_store(fleet.store.copy())
    fleet.run(ERA_SETTLING_S + 3.0)
    caplog.set_level("INFO")
    started = fleet.start("edge-7", seed=4)
    # Its first call to the store tells the era.
    started.gateway.membership.step()
    fleet.run(2.0)
    joined = [r for r in caplog.records if r.message == "joined the fleet"]
    assert len(joined) == 1
    assert started.gateway.primaries.usable_primary("g") is not None


def test_a_lost_record_that_cannot_be_written_at_first_is_written_later(fleet):
    # The coordinator would have waited for it without an end.
    copied = fleet.store.copy()
    new = replace_primary(fleet)
    knowing = fleet[0]
    for name in ("edge-2", "edge-3"):
        fleet.start(name, seed=30)
    fleet.return_store(copied, away_s=0.1)
    failing = [3]

    def write(key, value, expected, lease=None):
        if key.startswith(PRIMARY_PREFIX) and failing[0]:
            failing[0] -= 1
            return Err(PlatformUnavailable("status 503", place=key))
        return working(key, value, expected, lease)

    for handle in knowing.store_clients:
        working, handle.write = handle.write, write
    assert fleet.run(12.0, lambda: primaries(fleet) == {new}) is not None
    assert failing == [0]


def test_an_instance_that_left_before_the_return_is_forgotten(fleet):
    # The copy still has its entry, and every majority would be one of its roster.
    copied = fleet.store.copy()
    leaving = fleet[2]
    leaving.gateway.membership.leave()
    fleet.instances.remove(leaving)
    fleet.run(1.0)
    fleet.return_store(copied)
    fleet.run(PERMISSION_S + OUTAGE_LIMIT_S + 8.0)
    assert ROSTER_PREFIX + leaving.name not in fleet.store.items
    assert fleet[0].gateway.members.count() == 2


def test_an_instance_leaves_the_fleet_after_a_return(fleet):
    # The deletion of its entry expected a revision of the earlier era.
    fleet.return_store(fleet.store.copy())
    fleet[2].gateway.eras.observe(StoreEra(1))
    fleet[2].gateway.membership.leave()
    assert ROSTER_PREFIX + "edge-3" not in fleet.store.items


def test_no_instance_continues_without_the_store_by_a_roster_of_the_earlier_era(fleet):
    # A few entries that were not yet read again would have made a majority of their own.
    fleet.return_store(fleet.store.copy())
    instance = fleet[0]
    instance.mirror.step()
    assert instance.gateway.eras.current == 1
    for other in fleet.instances:
        other.cut_from_store()
    assert all(
        era_of(record.revision) == 0 or record.instance == instance.name
        for record in instance.gateway.members.roster()
    )
    assert instance.gateway.membership.roster_views() == []


def test_an_instance_learns_of_a_return_through_a_peer(fleet):
    # It would have gone on by its lease, and renewed it as if nothing had been lost.
    cut = fleet[2]
    cut.cut_from_store()
    copied = fleet.store.copy()
    fleet.run(1.0)
    fleet.store.come_back(copied)
    fleet.run(2.0)
    assert cut.gateway.eras.current == 1
    assert cut.gateway.membership.lease_span() is None
    assert cut.gateway.permission.valid


def test_a_large_fleet_joins_again_after_a_return():
    # Most of its instances watch the store through relays, whose history has ended.
    fleet = GatewayFleet(LARGE_NAMES, store_era=FIRST_STORE_ERA)
    fleet.run(4.0, fleet.all_know_primary)
    fleet.run(4.0)
    copied = fleet.store.copy()
    new = replace_primary(fleet)
    fleet.run(1.0)
    fleet.return_store(copied)
    fleet.store.written_keys.clear()
    for _ in range(160):
        fleet.run(0.05)
        assert primaries(fleet) <= {new, None}
    assert primaries(fleet) == {new}
    for instance in fleet.instances:
        assert era_of(instance.mirror.revision) == 1
        assert len(instance.gateway.members.members()) == len(LARGE_NAMES)
    # Not a write by each of those that know the lost record.
    assert fleet.store.written_keys.count(PRIMARY_PREFIX + "g") < len(LARGE_NAMES) / 2


# The view of the store.


def test_changes_are_seen_after_the_new_history_has_passed_the_last_revision(fleet):
    # The watch went on from a revision of the earlier history, and missed what lay between.
    copied = fleet.store.copy()
    fleet.run(2.0)
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.store.come_back(copied)
    started = fleet.start("edge-8", seed=2)
    started.cut_from_store()
    fleet.store.put(ROSTER_PREFIX + "other", b"", None)
    for number in range(200):
        fleet.store.put(f"unrelated/{number}", b"", None)
    for instance in fleet.instances:
        instance.cut_from_store(False)
    fleet.run(2.0)
    for instance in fleet.instances:
        assert "other" in {record.instance for record in instance.gateway.members.roster()}


def test_a_watch_from_a_revision_that_the_store_does_not_have_is_refused():
    store = MemoryStore(ManualClock())
    assert isinstance(store.client().watch(store.revision + 1, 0), Err)


# The order of revisions.


@pytest.fixture
def store():
    started = MemoryStore(ManualClock())
    started.era = FIRST_STORE_ERA
    return started


def client(store, eras=None):
    return EraStore(store.client(), eras if eras is not None else StoreEras(store.clock))


@given(st.lists(st.tuples(st.integers(0, 50), st.integers(0, 2**39)), min_size=2, max_size=8))
def test_revisions_are_ordered_by_era_first(pairs):
    composed = sorted(revision_in(StoreEra(era), revision) for era, revision in pairs)
    assert [(era_of(each), revision_within_era(each)) for each in composed] == sorted(pairs)


def test_a_delayed_write_of_an_earlier_era_does_no_harm(store):
    # Its expected revision had been given out again for another value of the key.
    handle, eras = store.client(), StoreEras(store.clock)
    writer = EraStore(handle, eras)
    expected = writer.write("key", b"1", 0).ok_value
    copied = store.copy()
    store.put("other", b"", None)
    store.come_back(copied)
    reader = client(store, eras)
    assert isinstance(reader.read_prefix("").err_value, EraPassed)
    current = reader.read_prefix("key").ok_value
    assert current.items == (
        Item("key", b"1", current.items[0].revision, current.items[0].created),
    )
    assert current.items[0].revision > expected
    result = writer.write("key", b"2", expected)
    assert isinstance(result.err_value, WriteConflict)
    assert result.err_value.current == current.items
    assert isinstance(writer.delete("key", expected).err_value, WriteConflict)
    assert store.items["key"].value == b"1"


def test_a_call_during_which_the_store_came_back_has_no_result(store):
    eras = StoreEras(store.clock)
    writer = client(store, eras)
    revision = writer.write("key", b"1", 0).ok_value
    store.come_back(store.copy())
    assert isinstance(writer.read_prefix("key").err_value, EraPassed)
    assert isinstance(writer.watch(revision, 0).err_value, HistoryGone)
    assert era_of(writer.read_prefix("key").ok_value.revision) == 1


def test_an_answer_of_an_earlier_era_has_no_result(store):
    # It was on its way while another connection, or a peer, had told of the return.
    eras = StoreEras(store.clock)
    writer = client(store, eras)
    writer.read_prefix("")
    eras.observe(StoreEra(1))
    assert isinstance(writer.open_lease(1.0).err_value, EraPassed)


@pytest.mark.parametrize("first", [0, 1, 7])
def test_the_fleet_counts_from_the_era_that_it_found_first(store, first):
    # A store may begin with any number.
    store.era = first
    assert era_of(client(store).read_prefix("").ok_value.revision) == 0
    copied = store.copy()
    store.come_back(copied)
    assert store.era == first + 1
    assert era_of(client(store).read_prefix("").ok_value.revision) == 1
    assert store.items[BASE_ERA_KEY].value == str(first).encode()


def test_the_first_era_is_recorded_again_if_the_store_has_lost_it(store):
    # The next instance to start would have counted from the era after the return.
    copied = store.copy()
    eras = StoreEras(store.clock)
    living = client(store, eras)
    living.read_prefix("")
    store.come_back(copied)
    living.read_prefix("")
    living.read_prefix("")
    assert era_of(client(store).read_prefix("").ok_value.revision) == 1


def test_a_store_that_tells_no_era_is_asked_for_nothing_more(store):
    store.era = None
    eras = StoreEras(store.clock)
    written = client(store, eras).write("key", b"1", 0)
    assert written == Ok(store.revision)
    assert list(store.items) == ["key"]
    assert eras.current == 0


def test_a_return_is_counted_and_logged_with_both_eras(fleet, caplog):
    caplog.set_level("INFO")
    fleet.return_store(fleet.store.copy())
    fleet.run(1.0)
    lines = [r for r in caplog.records if r.message == "store came back from an older copy"]
    assert len(lines) == len(fleet.instances)
    assert {(line.previous_era, line.era) for line in lines} == {(0, 1)}
    assert b"quetzalrudder_store_returns_total 1.0" in fleet[0].gateway.metrics.render()


# A search over all of this.


class RestoreSearch(FaultSearch):
    """Adds returns from copies of any age, with everything that was lost since."""

    fault_count = 17

    def __init__(self, seed, store_era=FIRST_STORE_ERA):
        super().__init__(seed, store_era=store_era)
        self.copies = [self.fleet.store.copy()]
        self.returns = 0
        self.tokens_seen = 0

    def inject_fault(self):
        super().inject_fault()
        fleet, rng = self.fleet, self.rng
        if rng.random() < 0.5:
            self.copies.append(fleet.store.copy())
        if rng.random() < 0.15:
            for instance in fleet.instances:
                for handle in instance.store_clients:
                    handle.delay_next_write |= rng.random() < 0.1
        if rng.random() < 0.2:
            for instance in fleet.instances:
                for handle in instance.store_clients:
                    handle.run_delayed_writes()
        if rng.random() < 0.12:
            self.return_store()

    def return_store(self):
        fleet, rng = self.fleet, self.rng
        restarted = [i.name for i in fleet.instances if rng.random() < 0.25]
        copied = rng.choice(self.copies[-4:])
        if rng.random() < 0.5:
            fleet.return_store(
                copied, rng.choice((0.05, 0.5, 2.0)), keeps_leases=rng.random() < 0.5
            )
        else:
            # Nobody notices that it was away; those that are cut off see the era later.
            fleet.store.come_back(copied, keeps_leases=rng.random() < 0.5)
        # Later copies are of a history that is gone.
        self.copies = [fleet.store.copy()]
        self.returns += 1
        for name in restarted:
            fleet.start(name, rng.randrange(1000))

    def check_writes(self):
        super().check_writes()
        tokens = [token for _, token in self.fleet.group.promotions]
        assert tokens == sorted(tokens), tokens


@settings(max_examples=40)
@given(st.integers(min_value=0, max_value=100_000))
# A primary that was put back while a database that an unknown call had promoted did not answer.
@example(12141)
def test_no_write_is_acknowledged_at_a_replaced_primary_over_returns(seed):
    RestoreSearch(seed).run(30)


def test_the_search_returns_the_store_and_replaces_primaries():
    """Guards against a search in which nothing happens."""
    searches = [RestoreSearch(seed) for seed in range(8)]
    for search in searches:
        search.run(20)
    assert sum(search.acknowledged for search in searches) > 300
    assert sum(search.returns for search in searches) > 8
    assert sum(len(search.fleet.group.promotions) for search in searches) > 3


def test_the_search_finds_a_version_that_ignores_the_era():
    with pytest.raises(AssertionError):
        for seed in range(40):
            RestoreSearch(seed, store_era=None).run(30)


@pytest.mark.parametrize(
    ("method", "first_seed"),
    [("_knows_latest", 27), ("_is_fleet_accounted_for", 93)],
    ids=["at once", "without waiting"],
)
def test_the_search_finds_a_coordinator_that_confirms_too_early(monkeypatch, method, first_seed):
    monkeypatch.setattr(
        f"quetzalrudder.gateway.failover.FailoverCoordinator.{method}", lambda *_: True
    )
    with pytest.raises(AssertionError):
        # The first one is known to find it soon.
        for seed in (first_seed, *range(200)):
            RestoreSearch(seed).run(30)


def test_the_search_finds_instances_that_trust_any_record(monkeypatch):
    monkeypatch.setattr("quetzalrudder.gateway.primaries.PrimaryTable._is_trusted", lambda *_: True)
    with pytest.raises(AssertionError):
        for seed in range(200):
            RestoreSearch(seed).run(30)
