"""Tests of the rate of a cold database, shared by all instances, with one failure at a time."""

import random
from dataclasses import replace

import pytest
from result import Err, Ok

from quetzalrudder.exceptions import Overloaded, RateExceeded
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.borrowing import owners_of
from quetzalrudder.gateway.catalog import GroupSettings, Workspace
from quetzalrudder.gateway.connections import Urgency
from quetzalrudder.gateway.quotas import QuotaRules, TokenBucket
from quetzalrudder.gateway.statements import Read, TargetFault, Write
from quetzalrudder.gateway.warming import (
    MAX_TOKEN_DELAY_S,
    ColdLimit,
    ColdRules,
    WarmingConnector,
    WarmingTable,
)
from tests.clocks import ManualClock
from tests.gateway_fakes import FakeGroup, FakeLink
from tests.gateway_fleet import GatewayFleet, catalog

RATE_PER_S = 40.0
RULES = ColdRules(cold_excess=1.5, cold_margin=5.0)
SECOND_LIMIT = RATE_PER_S * 1.5 + 5
SMALL = ("edge-1", "edge-2", "edge-3")
LARGE = tuple(f"edge-{number}" for number in range(LARGE_FLEET + 1))
COLD = "db-2"


class ColdFleet:
    """A fleet with one cold database, which counts the requests that reach that database."""

    def __init__(self, names, monkeypatch):
        self.fleet = GatewayFleet(names)
        self.fleet.rng = random.Random(1)
        self.arrivals = []
        self.cold_until = 0.0
        for instance in self.fleet.instances:
            self.configure(instance)
        assert self.fleet.run(3.0, self.fleet.all_know_primary) is not None
        self.fleet.run(6.0)
        for name in ("run", "status", "step_down", "reset"):
            monkeypatch.setattr(FakeLink, name, self._recorded(getattr(FakeLink, name)))

    def _recorded(self, call):
        def wrapper(link, *args):
            if link.database.info.target == COLD:
                self.arrivals.append(self.fleet.clock.now)
            return call(link, *args)

        return wrapper

    def configure(self, instance):
        groups = {"g": GroupSettings("g", 60, RATE_PER_S)}
        workspaces = {name: Workspace(name, 10000.0, 10000.0) for name in ("almaty", "astana")}
        instance.gateway.catalogs.update_if_newer(
            catalog(2, groups=groups, workspaces=workspaces), b"2"
        )
        self.announce(instance)

    def announce(self, instance):
        if any(client.disconnected for client in instance.store_clients):
            return
        left_s = max(0.0, self.cold_until - self.fleet.clock.now)
        info = replace(self.fleet.group[COLD].info, cold_left_s=left_s)
        instance.gateway.registry.update(info)

    def become_cold(self, seconds=60.0):
        self.cold_until = self.fleet.clock.now + seconds
        for instance in self.fleet.instances:
            self.announce(instance)

    def work(self, seconds):
        """Offer far more reads than the cold database bears, at all instances in turn."""
        until = self.fleet.clock.now + seconds
        number = 0
        while self.fleet.clock.now < until:
            running = [instance for instance in self.fleet.instances if not instance.frozen]
            session = running[number % len(running)].session("prices")
            session.execute(f"r-{number}-{self.fleet.clock.now}", Read("a"))
            for _ in range(18):
                number += 1
                self.send(running[number % len(running)], f"d-{number}-{self.fleet.clock.now}")
            self.fleet.group.replicate()
            self.fleet.run(0.05)

    def send(self, instance, request_id):
        """Send one read to the cold database, without a retry elsewhere."""
        target = instance.gateway.registry.queryable(COLD)
        pool, now = instance.gateway.planner._pool, self.fleet.clock.now
        # Requests of a workspace all go through the same owner of the database's connections.
        workspace = f"branch-{self.fleet.rng.randrange(8)}"
        checkout = pool.checkout(target, workspace, Urgency(1, 1, now), now)
        if isinstance(checkout, Ok):
            with checkout.ok_value as found:
                result = found.link.run(request_id, Read("a"), 0.5)
                if isinstance(result, Ok):
                    found.mark_reusable()
                return result
        return checkout

    def busiest_second(self):
        counts = [
            sum(at <= other < at + 1.0 for other in self.arrivals[index : index + 1000])
            for index, at in enumerate(self.arrivals)
        ]
        return max(counts, default=0)

    def rate_owner(self):
        record = self.fleet[0].gateway.view.ranked_owners(f"cold {COLD}")[0]
        return self.fleet.by_name[record.instance]


def restart_all(cold):
    for number, name in enumerate(list(cold.fleet.by_name)):
        cold.configure(cold.fleet.start(name, 50 + number))


def evacuate_and_return(cold):
    cold.fleet.store.put("op/evacuate/dc-1", b"{}", None)
    cold.work(2.0)
    cold.fleet.store.put("op/evacuate/dc-1", None, None)


FAILURES = {
    "none": lambda cold: None,
    "a burst after a pause": lambda cold: cold.fleet.run(3.0),
    "lost owner": lambda cold: setattr(cold.rate_owner(), "frozen", True),
    "owner cut from peers": lambda cold: setattr(cold.rate_owner(), "cut_from_peers", True),
    "owner cut from the store": lambda cold: cold.rate_owner().cut_from_store(),
    "all restarted": restart_all,
    "return after an evacuation": evacuate_and_return,
}


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("names", [SMALL, LARGE], ids=["small", "large"])
def test_no_second_exceeds_what_a_cold_database_bears(names, failure, monkeypatch):
    cold = ColdFleet(names, monkeypatch)
    cold.become_cold()
    cold.work(3.0)
    FAILURES[failure](cold)
    cold.work(6.0)
    assert 0 < cold.busiest_second() <= SECOND_LIMIT


def test_an_instance_without_the_store_learns_of_a_cold_database_from_its_peers(monkeypatch):
    cold = ColdFleet(LARGE, monkeypatch)
    info = cold.fleet.group[COLD].info
    for owner in owners_of(cold.fleet[0].gateway.view, info):
        cold.fleet.by_name[owner.instance].cut_from_store()
    cold.fleet.run(2.0)
    cold.become_cold()
    # The next request for permission comes within this time.
    cold.fleet.run(0.5)
    cold.work(5.0)
    assert 0 < cold.busiest_second() <= SECOND_LIMIT


@pytest.mark.parametrize("names", [SMALL, LARGE], ids=["small", "large"])
def test_limiting_at_each_instance_alone_exceeds_it(names, monkeypatch):
    """The load of these tests is enough to show a limit that is not shared."""
    cold = ColdFleet(names, monkeypatch)

    def admit_alone(admit):
        bucket = TokenBucket(0.0, cold.fleet.clock.now)

        def wrapper(limit, wait_until=0.0):
            if not isinstance(limit, ColdLimit):
                return admit(limit, wait_until)
            wait_s = bucket.take(RULES.fleet_rate(limit), cold.fleet.clock.now)
            return Ok(None) if wait_s == 0 else Err(RateExceeded("alone", retry_after_ms=1))

        return wrapper

    for instance in cold.fleet.instances:
        instance.gateway.rates.admit = admit_alone(instance.gateway.rates.admit)
    cold.become_cold()
    cold.work(4.0)
    assert cold.busiest_second() > SECOND_LIMIT


def test_a_cold_database_is_used_and_later_without_a_limit(monkeypatch):
    cold = ColdFleet(SMALL, monkeypatch)
    cold.become_cold(8.0)
    cold.work(6.0)
    assert len(cold.arrivals) >= 6.0 * RATE_PER_S / 4
    cold.fleet.run(3.0)
    cold.arrivals.clear()
    assert all(instance.gateway.warming.limits() == {} for instance in cold.fleet.instances)
    cold.work(2.0)
    assert len(cold.arrivals) > 0


def test_a_group_without_a_rate_has_no_limit(monkeypatch):
    cold = ColdFleet(SMALL, monkeypatch)
    monkeypatch.setattr("tests.test_gateway_warming.RATE_PER_S", 0.0)
    for instance in cold.fleet.instances:
        groups = {"g": GroupSettings("g", 60)}
        instance.gateway.catalogs.update_if_newer(catalog(3, groups=groups), b"3")
    cold.become_cold()
    assert cold.fleet[0].gateway.warming.limits() == {}


def test_a_refused_statement_is_told_when_to_return(monkeypatch):
    cold = ColdFleet(SMALL, monkeypatch)
    # The primary, at which the route "quick" writes.
    monkeypatch.setattr("tests.test_gateway_warming.COLD", "db-1")
    cold.become_cold()
    while cold.send(cold.fleet[0], "r").ok_value.fault is None:
        pass
    error = cold.fleet[0].session("quick").execute("w", Write("a", "1")).error
    assert isinstance(error, Overloaded)
    assert error.retry_after_ms > 0


def test_a_token_that_comes_late_or_before_the_fleet_is_known_is_not_used():
    clock = ManualClock()
    group = FakeGroup(clock)
    cold = replace(group[COLD].info, cold_left_s=5.0)
    table = WarmingTable(lambda: [cold], lambda name: 10.0, clock)
    table.observe(cold)
    delays = iter([0.01, MAX_TOKEN_DELAY_S + 0.01])

    def admit(limit):
        clock.advance(next(delays))
        return Ok(None)

    faults = []
    for joined in (True, True, False):
        connector = WarmingConnector(group, table, admit, lambda joined=joined: joined, clock)
        link = connector.connect(cold, "almaty", 1.0).ok_value
        faults.append(link.run("r", Read("a"), 1.0).ok_value.fault)
    assert faults == [None, TargetFault.BUSY, TargetFault.BUSY]


@pytest.mark.parametrize("rate_per_s", [0.5, 2.0, 10.0, 300.0])
def test_a_full_bucket_and_one_second_of_tokens_are_within_the_bound(rate_per_s):
    rate = RULES.fleet_rate(ColdLimit("cold db", rate_per_s, 0.0))
    assert rate.per_s + max(1.0, rate.capacity) <= rate_per_s * 1.5 + 5
    workspace = Workspace("almaty", 10.0, 5.0)
    assert RULES.fleet_rate(workspace) == QuotaRules().fleet_rate(workspace)


def test_an_announcement_is_believed_for_its_time_and_replaced_by_the_next():
    clock = ManualClock()
    announced = replace(GatewayFleet(()).group[COLD].info, cold_left_s=5.0)
    table = WarmingTable(lambda: [announced], lambda group: 10.0, clock)
    table.observe(announced)
    clock.advance(4.9)
    assert table.limit(announced) is not None
    clock.advance(0.2)
    assert table.limit(announced) is None
    table.observe(announced)
    table.observe(replace(announced, cold_left_s=0.0))
    assert table.limit(announced) is None
