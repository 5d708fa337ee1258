import random

import pytest
from result import Ok

from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.gateway.quotas import START_CREDIT_S, QuotaRules, QuotaTable
from quetzalrudder.gateway.statements import Begin, Read, Rollback, Write
from quetzalrudder.gateway.token_buckets import TokenBuckets
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet

LIMIT = Workspace("almaty", 20.0, 20.0)
RULES = QuotaRules()
ROUNDING_ERROR = 1e-9


def max_per_window(limit=LIMIT):
    """Return the requests that the operators allow in one window."""
    counted = limit.rate_per_s * RULES.window_s + limit.burst
    return counted * (1 + RULES.excess) + RULES.margin


class Fleet:
    """Instances that admit requests, and a rate owner that hands out the pooled tokens."""

    def __init__(self, count, seed=1):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.tables = [QuotaTable(RULES, self.clock) for _ in range(count)]
        self.admitted = []
        self.cut_off = set()
        self.replace_rate_owner(START_CREDIT_S)

    def restart(self, index):
        self.tables[index] = QuotaTable(RULES, self.clock)

    def replace_rate_owner(self, credit_s=0.0):
        """Start another rate owner, which gets no tokens of the former one."""
        self.pool = TokenBuckets(self.clock)
        self.pool.set_owned({"almaty"})
        per_s = RULES.pooled_rate(LIMIT, len(self.tables)).per_s
        self.pool.take_over("almaty", per_s * credit_s)

    def admit(self, index):
        count = len(self.tables)
        if isinstance(self.tables[index].admit(LIMIT, count), Ok):
            return True
        reachable = index not in self.cut_off
        return reachable and self.pool.take("almaty", RULES.pooled_rate(LIMIT, count)) == 0

    def run(self, seconds, per_s):
        """Request operations at each instance's rate; return how many each admitted."""
        counts = [0] * len(self.tables)
        for _ in range(int(seconds / 0.01)):
            for index, rate in enumerate(per_s):
                requests = int(rate * 0.01) + (self.rng.random() < rate * 0.01 % 1)
                for _ in range(requests):
                    if self.admit(index):
                        counts[index] += 1
                        self.admitted.append(self.clock.monotonic())
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
    fleet.replace_rate_owner(START_CREDIT_S)
    fleet.clock.advance(0.5)
    fleet.run(8.0, [40.0] * 6)
    assert fleet.busiest_window() <= max_per_window()


@pytest.mark.parametrize("seed", range(8))
def test_restarts_at_any_moment_of_a_flood_do_not_admit_a_window_twice(seed):
    """One workspace sends many times its rate, and all instances are killed at once."""
    fleet = Fleet(6, seed)
    for _ in range(4):
        fleet.run(fleet.rng.uniform(2.0, 7.0), [60.0] * 6)
        for index in range(6):
            fleet.restart(index)
        fleet.replace_rate_owner(START_CREDIT_S)
        fleet.clock.advance(fleet.rng.uniform(0.25, 1.0))
    assert fleet.busiest_window() <= max_per_window()


def test_after_a_restart_of_all_instances_callers_within_the_rate_are_served():
    """Callers reach the instances unevenly; 1.5 s of their requests return with the first."""
    per_s = [1.0, 1.0, 2.0, 2.0, 3.5, 3.0]
    served = requested = 0.0
    for seed in range(20):
        fleet = Fleet(6, seed)
        fleet.run(1.0, [2.5 * rate for rate in per_s])
        served += len(fleet.admitted)
        requested += 2.5 * sum(per_s)
    assert served >= 0.7 * requested


@pytest.mark.parametrize("seed", range(4))
def test_a_rate_owner_that_is_replaced_again_and_again_does_not_add_to_the_limit(seed):
    fleet = Fleet(6, seed)
    for _ in range(20):
        fleet.run(fleet.rng.uniform(0.1, 2.0), [60.0] * 6)
        fleet.replace_rate_owner()
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


def test_without_a_rate_owner_each_instance_admits_its_part_of_the_rate():
    fleet = Fleet(4)
    fleet.cut_off = {0, 1, 2, 3}
    fleet.run(6.0, [50.0] * 4)
    counts = fleet.run(5.0, [50.0] * 4)
    part = LIMIT.rate_per_s * 5.0 / 2 / 4
    assert all(count >= part - 1 for count in counts)
    assert fleet.busiest_window() <= max_per_window()


def test_parts_of_a_rate_that_are_too_small_to_use_are_left_to_the_rate_owner():
    small = Workspace("astana", 6.0, 6.0)
    assert RULES.local_rate(small, 6).per_s == 0
    assert RULES.pooled_rate(small, 6) == RULES.fleet_rate(small)
    assert RULES.local_rate(LIMIT, 6).per_s > 0


@pytest.mark.parametrize("burst", [0.0, 1.0, 5.0, 20.0, 300.0])
@pytest.mark.parametrize("rate_per_s", [0.0, 0.5, 20.0, 200.0, 2000.0])
def test_all_parts_of_a_rate_add_up_to_the_limit_of_a_window(rate_per_s, burst):
    limit = Workspace("almaty", rate_per_s, burst)
    for count in (1, 6, 15, 65, 195):
        parts = [RULES.local_rate(limit, count)] * count + [RULES.pooled_rate(limit, count)]
        most = sum(part.capacity + part.per_s * RULES.window_s for part in parts)
        assert most <= max_per_window(limit)
        assert (
            sum(part.per_s for part in parts)
            >= min(rate_per_s, RULES.window_limit(limit) / RULES.window_s - 1) - ROUNDING_ERROR
        )


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
