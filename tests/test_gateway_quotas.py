import random

import pytest
from result import Ok

from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.gateway.quotas import QuotaRules, QuotaTable
from quetzalrudder.gateway.rate_grants import GRANT_S, RateAllocator
from quetzalrudder.gateway.statements import Begin, Read, Rollback, Write
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet

LIMIT = Workspace("almaty", 20.0, 20.0)
RULES = QuotaRules()


def most(limit=LIMIT):
    """What the operators allow in one window."""
    counted = limit.rate_per_s * RULES.window_s + limit.burst
    return counted * (1 + RULES.excess) + RULES.margin


class Fleet:
    """Instances that admit what callers ask, with a keeper of the rates."""

    def __init__(self, count, seed=1):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.tables = [QuotaTable(RULES, self.clock) for _ in range(count)]
        self.allocator = RateAllocator(RULES.granted_per_s, self.clock)
        self.allocator.keep(is_rate_owner=True)
        self.admitted = []
        self.cut = set()

    def restart(self, place):
        self.tables[place] = QuotaTable(RULES, self.clock)

    def report(self, place):
        if place in self.cut:
            return
        table = self.tables[place]
        grants = self.allocator.grant(f"i{place}", table.demands(), {"almaty": LIMIT})
        if grants is not None:
            table.take_grants(grants, self.clock.monotonic() + GRANT_S)

    def play(self, seconds, per_s):
        """Ask each instance at its rate; give what each was admitted."""
        counts = [0] * len(self.tables)
        for turn in range(int(seconds / 0.01)):
            for place, rate in enumerate(per_s):
                if self.rng.random() < rate * 0.01:
                    admitted = self.tables[place].admit(LIMIT, len(self.tables))
                    if isinstance(admitted, Ok):
                        counts[place] += 1
                        self.admitted.append(self.clock.monotonic())
            if turn % 35 == 0:
                for place in range(len(self.tables)):
                    self.report(place)
            self.clock.advance(0.01)
        return counts

    def busiest_window(self):
        times = self.admitted
        return max(
            sum(1 for t in times[start:] if t < first + RULES.window_s)
            for start, first in enumerate(times)
        )


@pytest.mark.parametrize("per_s", [[40.0] * 6, [200.0, 1, 1, 1, 1, 1], [0, 0, 90.0, 90.0, 0, 0]])
def test_many_times_the_rate_is_held_in_every_window(per_s):
    fleet = Fleet(6)
    fleet.play(20.0, per_s)
    assert fleet.busiest_window() <= most()


def test_demand_that_moves_between_instances_is_held_in_every_window():
    fleet = Fleet(6)
    for _ in range(6):
        rates = [0.0] * 6
        rates[fleet.rng.randrange(6)] = 300.0
        fleet.play(fleet.rng.uniform(0.5, 4.0), rates)
    assert fleet.busiest_window() <= most()


def test_restarts_of_all_do_not_spend_the_window_twice():
    fleet = Fleet(6)
    fleet.play(8.0, [40.0] * 6)
    for place in range(6):
        fleet.restart(place)
    fleet.allocator.keep(is_rate_owner=False)
    fleet.allocator.keep(is_rate_owner=True)
    fleet.clock.advance(0.5)
    fleet.play(8.0, [40.0] * 6)
    assert fleet.busiest_window() <= most()


def test_a_cut_off_instance_does_not_add_to_the_limit():
    fleet = Fleet(6)
    fleet.play(6.0, [40.0] * 6)
    fleet.cut = {0, 1}
    fleet.play(10.0, [40.0] * 6)
    assert fleet.busiest_window() <= most()


@pytest.mark.parametrize(
    "per_s", [[2.0] * 6, [4.0, 2.0, 2.0, 2.0, 1.0, 1.0], [9.0, 0.6, 0.6, 0.6, 0.6, 0.6]]
)
def test_within_its_rate_a_workspace_is_hardly_refused(per_s):
    """Callers reach instances unevenly; 12 of 20 a second are asked here."""
    fleet = Fleet(6)
    fleet.play(5.0, per_s)
    before = len(fleet.admitted)
    counts = fleet.play(30.0, per_s)
    assert len(fleet.admitted) - before == sum(counts)
    assert sum(counts) >= 0.97 * sum(per_s) * 30.0 * 0.95


def test_without_a_keeper_each_instance_has_its_own_part():
    fleet = Fleet(4)
    fleet.allocator.keep(is_rate_owner=False)
    fleet.play(6.0, [50.0] * 4)
    counts = fleet.play(5.0, [50.0] * 4)
    assert all(count >= RULES.own_part(LIMIT, 4) - 2 for count in counts)
    assert fleet.busiest_window() <= most()


def test_what_reached_no_database_does_not_count():
    """While a primary is away its callers come again and again."""
    fleet = GatewayFleet()
    fleet.run(3.0, fleet.settled)
    for instance in fleet.instances:
        instance.unreachable = {"db-1", "db-2", "db-3"}
    fleet.run(3.0)
    session = fleet[0].session("quick")
    for turn in range(2000):
        answers = [
            session.execute(f"w{turn}", Write("a", "1")),
            session.execute("b", Begin(read_only=False)),
            session.execute("r", Read("a")),
            session.execute("e", Rollback()),
        ]
        endings = {type(answer.error).__name__ for answer in answers}
        assert "RateExceeded" not in endings, turn
        fleet.clock.advance(0.001)
