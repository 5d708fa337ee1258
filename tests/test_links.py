import threading
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import ExitStack

import pytest
from result import Ok

from quetzalrudder.adapters import TargetInfo
from quetzalrudder.groups import GroupTable
from quetzalrudder.links import IDLE_LINK_TIMEOUT_S, ControlLinks
from quetzalrudder.schema.target import Role, State, TargetAnswer
from quetzalrudder.timeline import Timeline
from quetzalrudder.utils import Address, SystemClock
from tests.helpers import wait_for

GROUP = "valuation-core-1"
INFO = TargetInfo("t-a", GROUP, "astana-a", Address("127.0.0.1", 1))


class ShiftedClock(SystemClock):
    """System clock that a test can move forward."""

    shift_s = 0.0

    def monotonic(self):
        return super().monotonic() + self.shift_s


class FakeConn:
    """Answers each request immediately, except for the next ``requests_to_drop``."""

    broken = False

    def __init__(self):
        self.requests_to_drop = 0
        self.probes = 0
        self.closed = threading.Event()

    def start(self, req):
        self.probes += 1
        fut = Future()
        if self.requests_to_drop:
            self.requests_to_drop -= 1
        else:
            fut.set_result(TargetAnswer(state=State(role=Role.PRIMARY, term=1)))
        return fut

    def close(self):
        self.closed.set()


class Rig:
    """Control links to one target, whose connections are fakes."""

    def __init__(self, stack):
        self.clock = ShiftedClock()
        self.groups = GroupTable(self.clock)
        self.groups.set_targets([(INFO, False)])
        self.conns = []
        executor = stack.enter_context(ThreadPoolExecutor(4))
        timeline = Timeline("astana-a-1", self.clock)
        links = ControlLinks(self.groups, self.open, executor, self.clock, timeline)
        self.links = stack.enter_context(links)

    def open(self, info, generation, timeout_s):
        self.conns.append(FakeConn())
        return Ok(self.conns[-1])

    @property
    def is_reachable(self):
        return self.groups.members(GROUP)[0].reachable


@pytest.fixture
def rig():
    with ExitStack() as stack:
        yield Rig(stack)


def test_link_opens_on_first_use_and_closes_when_the_group_is_idle(rig):
    rig.links.watch([])
    assert rig.conns == []
    assert not rig.links.keeps_links(GROUP)
    rig.links.record_use(GROUP)
    assert rig.groups.term(GROUP) == 1
    assert rig.links.keeps_links(GROUP)
    rig.clock.shift_s += IDLE_LINK_TIMEOUT_S
    rig.links.probe_now(GROUP)
    wait_for(rig.conns[0].closed.is_set, "idle link closed")
    assert not rig.links.keeps_links(GROUP)
    rig.links.record_use(GROUP)
    wait_for(lambda: len(rig.conns) > 1 and rig.is_reachable, "link reopened")


def test_link_of_a_watched_group_stays_open_while_idle(rig):
    rig.links.watch([GROUP])
    wait_for(lambda: rig.is_reachable, "first state received")
    rig.clock.shift_s += IDLE_LINK_TIMEOUT_S
    probes = rig.conns[0].probes
    rig.links.probe_now(GROUP)
    wait_for(lambda: rig.conns[0].probes > probes, "probe on request")
    assert not rig.conns[0].closed.is_set()


def test_lost_probes_are_repeated_and_the_link_stays_open(rig):
    rig.links.watch([GROUP])
    wait_for(lambda: rig.is_reachable, "first state received")
    rig.conns[0].requests_to_drop = 3
    probes = rig.conns[0].probes
    rig.links.probe_now(GROUP)
    wait_for(lambda: rig.conns[0].probes >= probes + 4, "probe repeated")
    assert len(rig.conns) == 1
    assert rig.is_reachable


def test_silent_target_is_marked_unreachable_and_reconnected(rig):
    rig.links.watch([GROUP])
    wait_for(lambda: rig.is_reachable, "first state received")
    rig.conns[0].requests_to_drop = 1000
    rig.links.probe_now(GROUP)
    wait_for(lambda: not rig.is_reachable, "target marked unreachable")
    assert rig.conns[0].closed.is_set()
    wait_for(lambda: rig.is_reachable, "link reopened")
    assert len(rig.conns) == 2
