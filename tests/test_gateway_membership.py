import pytest
from result import Ok

from quetzalrudder.gateway.members import MemberTable
from quetzalrudder.gateway.membership import MembershipLease
from quetzalrudder.gateway.mirror import BATCH_DELAY_S, StoreContact, StoreMirror
from quetzalrudder.gateway.permission import PERMISSION_S, Permission
from quetzalrudder.gateway.primaries import PrimaryRecord, PrimaryTable
from quetzalrudder.gateway.records import MEMBER_PREFIX, decode_member, encode_primary
from quetzalrudder.gateway.store import Changes, Item
from tests.clocks import ManualClock
from tests.gateway_fakes import MemoryStore


class Instance:
    def __init__(self, store, incarnation, name="edge-1"):
        self.clock = store.clock
        self.handle = store.client()
        self.permission = Permission(self.clock)
        self.primaries = PrimaryTable(self.permission, self.clock)
        self.membership = MembershipLease(
            store=self.handle,
            instance=name,
            incarnation=incarnation,
            address=name,
            data_centre="dc-0",
            permission=self.permission,
            primaries=self.primaries,
            members=MemberTable(self.clock),
            suspects=dict,
            contact=StoreContact(self.clock),
            clock=self.clock,
        )

    def turns(self, count, every_s=0.05):
        for _ in range(count):
            self.membership.step()
            self.clock.advance(every_s)


@pytest.fixture
def store():
    return MemoryStore(ManualClock())


def record(store):
    return decode_member(store.items[MEMBER_PREFIX + "edge-1"])


def test_a_restart_takes_over_the_record_of_its_predecessor(store):
    Instance(store, "first").turns(2)
    second = Instance(store, "second")
    second.turns(2)
    assert record(store).incarnation == "second"
    assert second.permission.valid


def test_the_record_of_a_restart_does_not_go_with_the_lease_of_its_predecessor(store):
    Instance(store, "first").turns(2)
    second = Instance(store, "second")
    for _ in range(20):
        second.turns(10)
        store.expire()
        assert MEMBER_PREFIX + "edge-1" in store.items


def test_no_permission_without_a_record_in_the_store(store):
    """The record is what a promotion waits for, so a renewed lease alone must not count."""
    instance = Instance(store, "first")
    for attempt in range(40):
        instance.handle.lose_next_answer = attempt % 3 != 0
        instance.turns(1, every_s=0.3)
        store.expire()
        if instance.permission.valid:
            assert MEMBER_PREFIX + "edge-1" in store.items, attempt


def test_permission_runs_out_before_the_lease_of_an_instance_that_is_cut_off(store):
    instance = Instance(store, "first")
    instance.turns(5)
    instance.handle.cut = True
    cut_at = store.clock.monotonic()
    while instance.permission.valid:
        instance.turns(1)
        store.expire()
        assert MEMBER_PREFIX + "edge-1" in store.items
    assert store.clock.monotonic() - cut_at < PERMISSION_S


def test_a_lapsed_record_is_written_again_once_the_store_is_back(store):
    instance = Instance(store, "first")
    instance.turns(5)
    instance.handle.cut = True
    instance.turns(10, every_s=1.0)
    store.expire()
    assert MEMBER_PREFIX + "edge-1" not in store.items
    instance.handle.cut = False
    instance.turns(20)
    assert instance.permission.valid
    assert record(store).incarnation == "first"


def test_a_late_write_of_a_predecessor_changes_nothing(store):
    first = Instance(store, "first")
    first.turns(2)
    first.primaries.observe(PrimaryRecord("g", 4, None, "db-2", revision=99))
    first.handle.delay_next_write = True
    first.turns(1)
    second = Instance(store, "second")
    second.turns(2)
    late = first.handle.run_late_writes()
    assert len(late) == 1
    assert not isinstance(late[0], Ok)
    assert record(store).incarnation == "second"


def test_a_leader_written_before_joining_is_known_before_the_permission(store):
    writer = store.client()
    writer.write("qr/leaders/g", encode_primary(PrimaryRecord("g", 7, None, "db-2")), 0)
    instance = Instance(store, "first")
    instance.turns(1)
    assert instance.permission.valid
    assert instance.primaries.record("g").epoch == 7
    assert instance.primaries.usable_primary("g") is None


def test_a_defect_while_joining_leaves_no_permission(store, monkeypatch):
    instance = Instance(store, "first")

    def fail(*_):
        raise TypeError("a defect")

    monkeypatch.setattr(instance.handle, "write", fail)
    for _ in range(20):
        with pytest.raises(TypeError):
            instance.membership.step()
        assert not instance.permission.valid
        store.clock.advance(0.3)


class CountingStore:
    """A store that answers each watch with one more change, or with none."""

    def __init__(self, changes):
        self.changes = changes
        self.watches = []

    def read_prefix(self, prefix):
        return Ok(Changes((), 1))

    def watch(self, after, wait_ms):
        self.watches.append(wait_ms)
        items = (Item("qr/x", b"", after + 1),) if self.changes else ()
        return Ok(Changes(items, after + 1))


class Turns:
    """Stands in for the event that ends a task; it notes the pauses."""

    def __init__(self, turns):
        self.left = turns
        self.pauses = []

    def is_set(self):
        self.left -= 1
        return self.left < 0

    def wait(self, seconds):
        self.pauses.append(seconds)


def follow(*, changes, large):
    store, turns = CountingStore(changes), Turns(6)
    clock = ManualClock()
    mirror = StoreMirror(store, [], StoreContact(clock), clock, 5.0, lambda: large)
    mirror._revision = 1
    mirror.run(turns)
    return store, turns


def test_a_large_fleet_lets_changes_of_the_store_come_together():
    assert follow(changes=True, large=True)[1].pauses == [BATCH_DELAY_S] * 6
    assert follow(changes=True, large=False)[1].pauses == []
    assert follow(changes=False, large=True)[1].pauses == []


def test_a_watch_that_went_silent_leaves_time_to_read_the_configuration():
    store, _ = follow(changes=False, large=False)
    assert store.watches == [2000] * 6
