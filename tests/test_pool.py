import itertools
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from result import Err, Ok

from quetzalrudder.adapters import TargetInfo
from quetzalrudder.admission import AdmissionRequest
from quetzalrudder.exceptions import LinkLost, QuetzalrudderError, TargetUnavailable
from quetzalrudder.pool import PERMIT_QUARANTINE_S, ConnectionPool
from quetzalrudder.schema.common import Ending
from quetzalrudder.shares import permit_key
from quetzalrudder.utils import Deadline, SystemClock
from standins.demo import STEPPE_SETTINGS
from standins.fleet import Fleet
from tests.clocks import ManualClock
from tests.conftest import SMALL_DEPLOYMENT
from tests.helpers import grant_key, wait_for
from tests.naive.limits import FixedPermits
from tests.test_shares import InMemoryFleet

TARGET = "valuation-core-1-a"
INFO = TargetInfo(TARGET, "valuation-core-1", "astana-a", None)
WORKSPACE = "steppe/branch-1"
CONNECTION_LIMIT = 4
READS_EACH = 20


class FakeTarget:
    """Counts its open connections, as a real target does."""

    def __init__(self):
        self.open = 0
        self.opened = 0
        self.max_open = 0
        self.confirms_close = True
        self.lock = threading.Lock()

    def connect(self, info, generation, timeout_s):
        with self.lock:
            self.open += 1
            self.opened += 1
            self.max_open = max(self.max_open, self.open)
        return Ok(FakeConn(self))


class FakeConn:
    broken = False

    def __init__(self, target):
        self.target = target

    def close(self):
        with self.target.lock:
            self.target.open -= 1

    def close_and_wait(self, timeout_s):
        if not self.target.confirms_close:
            return False
        self.close()
        return True


class LedgerPermits:
    """Permits of ledgers in memory that exchange shares without a network."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.peer_needs = 0

    @property
    def ledger(self):
        return self.fleet.nodes[self.number].ledger

    def reserve(self, target):
        return self.ledger.reserve(permit_key(target))

    def release(self, target):
        self.ledger.release(permit_key(target))

    def permits_to_return(self, target):
        peer_needs, self.peer_needs = self.peer_needs, 0
        return self.ledger.excess_permits(permit_key(target)) + peer_needs

    def reserve_from_peers(self, target):
        for peer in self.fleet.nodes:
            if peer.ledger is self.ledger or peer.stopped:
                continue
            req = self.ledger.request(peer.name, [permit_key(target)])
            self.ledger.accept_grant(peer.name, peer.ledger.grant(f"n{self.number}", req))
            if self.reserve(target):
                return True
        return False


def make_pools(fleet, target, clock=None):
    clock = clock or fleet.clock
    return [
        ConnectionPool(target.connect, LedgerPermits(fleet, number), lambda _: 100, clock)
        for number in range(len(fleet.nodes))
    ]


def checkout(pool, clock, ms=1000):
    return pool.checkout(INFO, Deadline.after_ms(clock, ms))


def test_the_fleet_opens_at_most_the_limit_and_one_instance_can_use_all_of_it():
    fleet, target = InMemoryFleet(count=6, permits=7), FakeTarget()
    pools = make_pools(fleet, target)
    results = [checkout(pools[5], fleet.clock) for _ in range(7)]
    assert all(isinstance(result, Ok) for result in results)
    expired = Deadline(fleet.clock, fleet.clock.now)
    assert isinstance(pools[0].checkout(INFO, expired), Err)
    assert target.max_open == 7


def test_naive_fixed_permits_exceed_the_limit_of_a_target():
    clock, target = ManualClock(), FakeTarget()
    pools = [
        ConnectionPool(target.connect, FixedPermits(4), lambda _: 100, clock) for _ in range(6)
    ]
    results = [checkout(pool, clock) for pool in pools for _ in range(4)]
    assert len(results) == target.max_open > 20


def test_an_idle_connection_is_reused_and_closed_when_a_peer_needs_the_permit():
    fleet, target = InMemoryFleet(count=3, permits=1), FakeTarget()
    pools = make_pools(fleet, target)
    for _ in range(5):
        with checkout(pools[1], fleet.clock).ok_value:
            pass
    assert target.opened == 1
    assert not pools[2]._permits.reserve_from_peers(TARGET)
    pools[1]._permits.peer_needs = 1
    pools[1].maintain()
    assert target.open == 0
    with checkout(pools[2], fleet.clock).ok_value:
        assert target.max_open == 1


def test_a_permit_is_kept_until_the_connection_is_known_to_be_closed():
    fleet, target = InMemoryFleet(count=3, permits=1), FakeTarget()
    pools = make_pools(fleet, target)
    with checkout(pools[0], fleet.clock).ok_value:
        pass
    target.confirms_close = False
    pools[0].close()
    assert not pools[1]._permits.reserve_from_peers(TARGET)
    fleet.clock.advance(PERMIT_QUARANTINE_S + 0.1)
    for node in fleet.nodes:
        node.ledger.heartbeat()
        node.ledger.resume(1, fleet.clock.now)
    pools[0].maintain()
    assert pools[1]._permits.reserve_from_peers(TARGET)


def test_a_permit_is_freed_when_opening_fails():
    fleet = InMemoryFleet(count=1, permits=1)
    answers = itertools.chain([Err(TargetUnavailable("down"))], itertools.repeat(Ok(None)))
    pool = ConnectionPool(
        lambda *_: next(answers), LedgerPermits(fleet, 0), lambda _: 3, fleet.clock
    )
    assert checkout(pool, fleet.clock).is_err()
    assert not pool._permits.reserve(TARGET)
    fleet.clock.advance(PERMIT_QUARANTINE_S)
    fleet.nodes[0].ledger.heartbeat()
    pool.maintain()
    assert checkout(pool, fleet.clock).is_ok()


def test_a_burst_waits_for_connections_that_soon_become_idle():
    clock = SystemClock()
    fleet, target = InMemoryFleet(count=1, permits=20), FakeTarget()
    pool = make_pools(fleet, target, clock)[0]

    def work(_):
        with checkout(pool, clock, ms=20_000).ok_value:
            clock.sleep(0.0005)

    work(0)
    with ThreadPoolExecutor(8) as executor:
        list(executor.map(work, range(80)))
    assert target.opened < 8


def test_statements_use_slots_and_transactions_do_not():
    fleet, target = InMemoryFleet(count=1, permits=7), FakeTarget()
    pool = ConnectionPool(
        target.connect, LedgerPermits(fleet, 0), lambda _: 1, ManualClock(fleet.clock.now)
    )
    request = AdmissionRequest(WORKSPACE)
    first = pool.checkout(INFO, Deadline.after_ms(fleet.clock, 1000), request)
    assert first.is_ok()
    assert pool.checkout(INFO, Deadline(fleet.clock, fleet.clock.now), request).is_err()
    assert checkout(pool, fleet.clock).is_ok()


def test_the_limit_holds_through_a_rolling_restart():
    deployment = replace(SMALL_DEPLOYMENT, connection_limit=CONNECTION_LIMIT)
    with Fleet(deployment, STEPPE_SETTINGS) as fleet, ThreadPoolExecutor(6) as executor:
        key = grant_key(fleet, WORKSPACE)
        names = list(fleet.instance_addresses)
        stopping = threading.Event()

        def work(name):
            failed = []
            while not stopping.is_set():
                try:
                    with fleet.session(name, workspace=WORKSPACE, key=key) as session:
                        for _ in range(READS_EACH):
                            session.read("steppe/comparables", "SELECT 1")
                except QuetzalrudderError as exc:
                    failed.append(exc)
                    stopping.wait(0.05)
            return failed

        futures = [executor.submit(work, name) for name in names for _ in range(2)]
        try:
            for name, data_centre in fleet.deployment.instances():
                assert fleet.stop(name) == 0
                fleet.start_instance(name, data_centre)
                wait_for(lambda name=name: is_serving(fleet, name, key), f"{name} serves again")
        finally:
            stopping.set()
        failed = [exc for fut in futures for exc in fut.result()]
        statistics = [fleet.statistics(target) for target in fleet.target_addresses]
    assert [stats.refused_connections for stats in statistics] == [0] * len(statistics)
    assert 0 < max(stats.most_connections for stats in statistics) <= CONNECTION_LIMIT
    assert all(exc.ending is Ending.NOT_RUN or isinstance(exc, LinkLost) for exc in failed)


def is_serving(fleet, name, key):
    try:
        with fleet.session(name, workspace=WORKSPACE, key=key) as session:
            return session.read("steppe/comparables", "SELECT 1").instance == name
    except QuetzalrudderError:
        return False
