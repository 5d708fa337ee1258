"""How soon an instance's view of the store is current once the store answers again."""

import threading

import pytest
from result import Err, Ok

from quetzalrudder.exceptions import PlatformUnavailable
from quetzalrudder.gateway.era_store import EraStore
from quetzalrudder.gateway.mirror import PrefixHandler, StoreMirror
from quetzalrudder.gateway.retry_delay import MAX_DELAY_S, RetryPause
from quetzalrudder.gateway.store import Changes, LeaseEnded
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.store_eras import StoreEras
from quetzalrudder.gateway.wakeups import WakeUp
from tests.clocks import ManualClock
from tests.gateway_paced_fleet import PacedFleet

OUTAGE_S = 8.0
TIMEOUT_S = 10.0


@pytest.fixture
def fleet():
    started = PacedFleet(18)
    started.run(6.0)
    return started


def pause_mirror(fleet, pause_s):
    """Cut a relay from the store until its mirror pauses for some time after a failed call."""
    edge = next(i for i in fleet.instances if i.gateway.change_log.is_watching)
    edge.cut_from_store()
    fleet.run(OUTAGE_S)
    edge.mirror.mirror.step()
    edge.mirror.paused_until = edge.mirror.asked_at = fleet.clock.now + pause_s
    edge.mirror.retries = True
    return edge


def reach_lease(edge):
    """Let the store answer the lease of an instance, and nothing else yet."""
    edge.cut_from_store(False)
    edge.gateway.membership._next_attempt = 0.0
    edge.gateway.membership.step()


def test_the_view_is_not_kept_old_by_a_pause_when_the_store_has_answered_the_lease(fleet):
    edge = pause_mirror(fleet, 0.9)
    fleet.publish(2)
    reach_lease(edge)
    edge.mirror.step()
    assert edge.gateway.catalogs.current.version == 2
    assert edge.gateway.contact.is_view_current


def test_a_call_that_hangs_over_the_end_of_a_cut_is_followed_by_another_without_a_pause(fleet):
    edge = pause_mirror(fleet, 0.0)
    fleet.publish(2)
    store = edge.mirror.mirror._store

    class HangingStore:
        def watch(self, after, wait_ms):
            reach_lease(edge)
            fleet.clock.advance(0.6)
            return Err(PlatformUnavailable("timed out"))

    edge.mirror.mirror._store = HangingStore()
    edge.mirror.step()
    edge.mirror.mirror._store = store
    assert edge.mirror.paused_until > fleet.clock.now
    edge.mirror.step()
    assert edge.gateway.catalogs.current.version == 2


def test_a_silent_store_gets_no_call_before_the_pause_is_over(fleet):
    for edge in fleet.instances:
        edge.cut_from_store()
    ended = []
    for edge in fleet.instances:
        edge.mirror.mirror.retry_pause.note_answer = lambda: ended.append(1)
    fleet.run(OUTAGE_S)
    assert ended == []


def test_a_store_that_answers_only_some_calls_is_not_called_without_pauses():
    clock = ManualClock()
    pause = RetryPause(clock, WakeUp())
    ended_at = []
    for _ in range(100):
        pause.begin_call()
        pause.note_answer()
        if pause.end():
            ended_at.append(clock.now)
        clock.advance(0.05)
    gaps = [later - earlier for earlier, later in zip(ended_at, ended_at[1:], strict=False)]
    assert len(ended_at) > 2
    assert min(gaps) >= MAX_DELAY_S - 1e-9


def test_an_answer_before_the_failed_call_does_not_end_the_pause():
    pause = RetryPause(ManualClock(), WakeUp())
    pause.note_answer()
    pause.begin_call()
    assert not pause.end()


class AnswersInTurn:
    """A store whose leases are renewed with the given results."""

    answered_era = None

    def __init__(self, *results):
        self.results = list(results)

    def renew_lease(self, lease):
        return self.results.pop(0)


def test_a_lease_that_the_store_has_lost_meanwhile_also_tells_that_the_store_answers():
    silent, ended = Err(PlatformUnavailable("no answer")), Err(LeaseEnded("no such lease"))
    returns = []
    inner = AnswersInTurn(Ok(None), silent, silent, ended, Ok(None), silent, Ok(None))
    store = EraStore(inner, StoreEras(ManualClock()), lambda: returns.append(len(inner.results)))
    while inner.results:
        store.renew_lease(1)
    assert returns == [3, 0]


class ReturningStore:
    """A store that fails the first call."""

    def __init__(self):
        self.failed = threading.Event()
        self.read = threading.Event()

    def read_prefix(self, prefix):
        if not self.failed.is_set():
            self.failed.set()
            return Err(PlatformUnavailable("no answer"))
        self.read.set()
        return Ok(Changes((), 5))

    def watch(self, after, wait_ms):
        return Err(PlatformUnavailable("no answer"))


class LongDelay:
    """Pauses for longer than the test may take."""

    def after_failure(self):
        return 60.0

    def reset(self):
        """Keep the pause."""


@pytest.mark.parametrize("how", ["answer", "stop"])
def test_the_running_task_ends_its_pause_when_the_store_answers_or_the_process_stops(how):
    clock, store, stopping = ManualClock(), ReturningStore(), threading.Event()
    handlers = [PrefixHandler("a/", lambda items: None, lambda item: None)]
    contact = StoreContact(clock)
    mirror = StoreMirror(store, handlers, contact, clock, 3.0, retry_delay=LongDelay())
    task = threading.Thread(target=mirror.run, args=(stopping,), daemon=True)
    task.start()
    assert store.failed.wait(TIMEOUT_S)
    if how == "answer":
        mirror.retry_pause.note_answer()
        assert store.read.wait(TIMEOUT_S)
    stopping.set()
    mirror.wake_up.set()
    task.join(TIMEOUT_S)
    assert not task.is_alive()
