import pytest
from result import Err, Ok

from quetzalrudder.exceptions import TargetUnavailable
from quetzalrudder.gateway.batching import LONG_DELAY_S, SHORT_DELAY_S, batch_delay_s
from quetzalrudder.gateway.members import MemberTable
from quetzalrudder.gateway.membership import MembershipLease
from quetzalrudder.gateway.mirror import StoreMirror
from quetzalrudder.gateway.permission import PERMISSION_S, Permission
from quetzalrudder.gateway.primaries import PrimaryRecord, PrimaryTable
from quetzalrudder.gateway.records import MEMBER_PREFIX, decode_member, encode_primary
from quetzalrudder.gateway.store import Changes, Item
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.store_eras import StoreEras
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
            unreached=frozenset,
            contact=StoreContact(self.clock),
            eras=StoreEras(self.clock),
            clock=self.clock,
        )

    def run_steps(self, count, interval_s=0.05):
        for _ in range(count):
            self.membership.step()
            self.clock.advance(interval_s)


@pytest.fixture
def store():
    return MemoryStore(ManualClock())


def stored_record(store):
    return decode_member(store.items[MEMBER_PREFIX + "edge-1"])


def test_a_restarted_process_replaces_the_record_of_its_predecessor(store):
    Instance(store, "first").run_steps(2)
    second = Instance(store, "second")
    second.run_steps(2)
    assert stored_record(store).incarnation == "second"
    assert second.permission.valid


def test_the_record_of_a_restarted_process_outlives_the_lease_of_its_predecessor(store):
    Instance(store, "first").run_steps(2)
    second = Instance(store, "second")
    for _ in range(20):
        second.run_steps(10)
        store.expire()
        assert MEMBER_PREFIX + "edge-1" in store.items


def test_no_permission_without_a_record_in_the_store(store):
    """A promotion waits for member records, so a lease without a record must not count."""
    instance = Instance(store, "first")
    for attempt in range(40):
        instance.handle.lose_next_answer = attempt % 3 != 0
        instance.run_steps(1, interval_s=0.3)
        store.expire()
        if instance.permission.valid:
            assert MEMBER_PREFIX + "edge-1" in store.items, attempt


def test_the_permission_of_an_isolated_instance_expires_before_its_lease(store):
    instance = Instance(store, "first")
    instance.run_steps(5)
    instance.handle.disconnected = True
    cut_at = store.clock.monotonic()
    while instance.permission.valid:
        instance.run_steps(1)
        store.expire()
        assert MEMBER_PREFIX + "edge-1" in store.items
    assert store.clock.monotonic() - cut_at < PERMISSION_S


def test_an_expired_record_is_written_again_when_the_store_returns(store):
    instance = Instance(store, "first")
    instance.run_steps(5)
    instance.handle.disconnected = True
    instance.run_steps(10, interval_s=1.0)
    store.expire()
    assert MEMBER_PREFIX + "edge-1" not in store.items
    instance.handle.disconnected = False
    instance.run_steps(20)
    assert instance.permission.valid
    assert stored_record(store).incarnation == "first"


def test_a_delayed_write_of_a_predecessor_is_rejected(store):
    first = Instance(store, "first")
    first.run_steps(2)
    first.primaries.observe(PrimaryRecord("g", 4, None, "db-2", revision=99))
    first.handle.delay_next_write = True
    first.run_steps(1)
    second = Instance(store, "second")
    second.run_steps(2)
    late = first.handle.run_delayed_writes()
    assert len(late) == 1
    assert not isinstance(late[0], Ok)
    assert stored_record(store).incarnation == "second"


def test_primaries_are_read_before_a_joining_instance_gets_its_permission(store):
    writer = store.client()
    writer.write("qr/leaders/g", encode_primary(PrimaryRecord("g", 7, None, "db-2")), 0)
    instance = Instance(store, "first")
    instance.run_steps(1)
    assert instance.permission.valid
    assert instance.primaries.record("g").epoch == 7
    assert instance.primaries.usable_primary("g") is None


def test_an_unexpected_exception_while_joining_leaves_no_permission(store, monkeypatch):
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
    """A store that answers each watch with one new change or with none."""

    def __init__(self, changes):
        self.changes = changes
        self.watches = []

    def read_prefix(self, prefix):
        return Ok(Changes((), 1))

    def watch(self, after, wait_ms):
        self.watches.append(wait_ms)
        items = (Item("qr/x", b"", after + 1),) if self.changes else ()
        return Ok(Changes(items, after + 1))


class LimitedSteps:
    """A stop event that is set after a number of checks and records the pauses."""

    def __init__(self, steps):
        self.remaining = steps
        self.pauses = []

    def is_set(self):
        self.remaining -= 1
        return self.remaining < 0

    def wait(self, seconds):
        self.pauses.append(seconds)


def batch_delay(keys, *, large=True, urgent=False):
    return batch_delay_s(
        keys, is_large=large, is_urgent=urgent, membership_prefixes=("qr/members/", "qr/roster/")
    )


def run_mirror(*, changes, large, convergence_s=5.0):
    store, steps = CountingStore(changes), LimitedSteps(6)
    clock = ManualClock()
    mirror = StoreMirror(
        store,
        [],
        StoreContact(clock),
        clock,
        convergence_s,
        lambda keys: batch_delay(keys, large=large),
    )
    mirror.revision = 1
    mirror.run(steps)
    return store, steps


def test_a_large_fleet_pauses_after_changes_of_the_store():
    assert run_mirror(changes=True, large=True)[1].pauses == [SHORT_DELAY_S] * 6
    assert run_mirror(changes=True, large=False)[1].pauses == []
    assert run_mirror(changes=False, large=True)[1].pauses == []


def test_a_large_fleet_pauses_longer_after_changes_of_membership_only():
    joined = ["qr/members/a", "qr/roster/b"]
    assert batch_delay(joined) == LONG_DELAY_S
    assert batch_delay(joined, urgent=True) == SHORT_DELAY_S
    assert batch_delay([*joined, "qr/leaders/g"]) == SHORT_DELAY_S
    assert batch_delay([*joined, "op/config"]) == SHORT_DELAY_S
    assert batch_delay(joined, large=False) == 0


class SilentStore(CountingStore):
    """Answers no watch before it returns; each hangs until it times out."""

    def __init__(self, clock, returns_at):
        super().__init__(changes=False)
        self.clock = clock
        self.returns_at = returns_at
        self.answered_at = []

    def watch(self, after, wait_ms):
        if self.clock.now < self.returns_at:
            self.watches.append(wait_ms)
            self.clock.advance(wait_ms / 1000 + 0.5)
            return Err(TargetUnavailable("timed out"))
        self.answered_at.append(self.clock.now)
        return super().watch(after, wait_ms)


def test_the_return_of_a_silent_store_is_noticed_soon():
    clock = ManualClock()
    started = clock.now
    store = SilentStore(clock, started + 6.0)
    mirror = StoreMirror(store, [], StoreContact(clock), clock, 5.0)
    mirror.revision = 1
    while not store.answered_at:
        clock.advance(mirror.pause_s(succeeded=mirror.step()))
    assert store.answered_at[0] - store.returns_at <= 1.0
    mirror.step()
    assert store.watches[-1] == round(mirror.wait_s * 1000)


@pytest.mark.parametrize("convergence_s", [3.0, 5.0, 6.0])
def test_a_watch_that_hangs_leaves_time_to_read_the_configuration(convergence_s):
    """The adapter gives up a watch 0.5 s after its end; a slow store answers in 0.25 s."""
    store, _ = run_mirror(changes=False, large=False, convergence_s=convergence_s)
    for wait_ms in store.watches:
        assert wait_ms / 1000 + 0.5 + 3 * 0.25 <= convergence_s
