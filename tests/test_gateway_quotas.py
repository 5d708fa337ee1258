import random

import pytest
from result import Ok

from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.gateway.quotas import QuotaRules, QuotaTable
from quetzalrudder.gateway.rate_grants import GRANT_VALIDITY_S, RateAllocator
from quetzalrudder.gateway.statements import Begin, Read, Rollback, Write
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet

LIMIT = Workspace("almaty", 20.0, 20.0)
RULES = QuotaRules()


def max_per_window(limit=LIMIT):
    """Return the requests that the operators allow in one window."""
    counted = limit.rate_per_s * RULES.window_s + limit.burst
    return counted * (1 + RULES.excess) + RULES.margin


class Fleet:
    """Instances that admit requests, and a rate owner that grants rates to them."""

    def __init__(self, count, seed=1):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.tables = [QuotaTable(RULES, self.clock) for _ in range(count)]
        self.allocator = RateAllocator(RULES.grantable_per_s, self.clock)
        self.allocator.set_rate_owner(is_rate_owner=True)
        self.admitted = []
        self.cut_off = set()

    def restart(self, index):
        self.tables[index] = QuotaTable(RULES, self.clock)

    def report(self, index):
        if index in self.cut_off:
            return
        table = self.tables[index]
        grants = self.allocator.grant(f"i{index}", table.demands(), {"almaty": LIMIT})
        if grants is not None:
            table.apply_grants(grants, self.clock.monotonic() + GRANT_VALIDITY_S)

    def run(self, seconds, per_s):
        """Request operations at each instance's rate; return how many each admitted."""
        counts = [0] * len(self.tables)
        for step in range(int(seconds / 0.01)):
            for index, rate in enumerate(per_s):
                if self.rng.random() < rate * 0.01:
                    admitted = self.tables[index].admit(LIMIT, len(self.tables))
                    if isinstance(admitted, Ok):
                        counts[index] += 1
                        self.admitted.append(self.clock.monotonic())
            if step % 35 == 0:
                for index in range(len(self.tables)):
                    self.report(index)
            self.clock.advance(0.01)
        return counts

    def busiest_window(self):
        """Return the most operations admitted in one window."""
        times = self.admitted
        return max(
            sum(1 for t in times[start:] if t < first + RULES.window_s)
            for start, first in enumerate(times)
        )


@pytest.mark.parametrize("per_s", [[40.0] * 6, [200.0, 1, 1, 1, 1, 1], [0, 0, 90.0, 90.0, 0, 0]])
def test_requests_at_many_times_the_rate_stay_within_the_limit_in_every_window(per_s):
    fleet = Fleet(6)
    fleet.run(20.0, per_s)
    assert fleet.busiest_window() <= max_per_window()


def test_demand_that_moves_between_instances_stays_within_the_limit_in_every_window():
    fleet = Fleet(6)
    for _ in range(6):
        rates = [0.0] * 6
        rates[fleet.rng.randrange(6)] = 300.0
        fleet.run(fleet.rng.uniform(0.5, 4.0), rates)
    assert fleet.busiest_window() <= max_per_window()


def test_a_restart_of_all_instances_does_not_admit_a_window_twice():
    fleet = Fleet(6)
    fleet.run(8.0, [40.0] * 6)
    for index in range(6):
        fleet.restart(index)
    fleet.allocator.set_rate_owner(is_rate_owner=False)
    fleet.allocator.set_rate_owner(is_rate_owner=True)
    fleet.clock.advance(0.5)
    fleet.run(8.0, [40.0] * 6)
    assert fleet.busiest_window() <= max_per_window()


def test_instances_cut_off_from_the_rate_owner_do_not_add_to_the_limit():
    fleet = Fleet(6)
    fleet.run(6.0, [40.0] * 6)
    fleet.cut_off = {0, 1}
    fleet.run(10.0, [40.0] * 6)
    assert fleet.busiest_window() <= max_per_window()


@pytest.mark.parametrize(
    "per_s", [[2.0] * 6, [4.0, 2.0, 2.0, 2.0, 1.0, 1.0], [9.0, 0.6, 0.6, 0.6, 0.6, 0.6]]
)
def test_a_workspace_within_its_rate_is_hardly_refused(per_s):
    """Callers reach instances unevenly, and send 12 of the 20 operations allowed a second."""
    fleet = Fleet(6)
    fleet.run(5.0, per_s)
    before = len(fleet.admitted)
    counts = fleet.run(30.0, per_s)
    assert len(fleet.admitted) - before == sum(counts)
    assert sum(counts) >= 0.97 * sum(per_s) * 30.0 * 0.95


def test_without_a_rate_owner_each_instance_admits_its_local_share():
    fleet = Fleet(4)
    fleet.allocator.set_rate_owner(is_rate_owner=False)
    fleet.run(6.0, [50.0] * 4)
    counts = fleet.run(5.0, [50.0] * 4)
    assert all(count >= RULES.local_share(LIMIT, 4) - 2 for count in counts)
    assert fleet.busiest_window() <= max_per_window()


def test_operations_that_reached_no_database_are_not_charged():
    """Callers keep retrying while no database can be reached."""
    fleet = GatewayFleet()
    fleet.run(3.0, fleet.all_know_primary)
    for instance in fleet.instances:
        instance.unreachable = {"db-1", "db-2", "db-3"}
    fleet.run(3.0)
    session = fleet[0].session("quick")
    for attempt in range(2000):
        answers = [
            session.execute(f"w{attempt}", Write("a", "1")),
            session.execute("b", Begin(read_only=False)),
            session.execute("r", Read("a")),
            session.execute("e", Rollback()),
        ]
        endings = {type(answer.error).__name__ for answer in answers}
        assert "RateExceeded" not in endings, attempt
        fleet.clock.advance(0.001)
