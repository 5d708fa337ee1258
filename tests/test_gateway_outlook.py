"""Statements while a group's primary cannot be used: who waits, who is refused, until when."""

import pytest

from quetzalrudder.exceptions import PrimaryChanging
from quetzalrudder.gateway.outlook import (
    INITIAL_CHANGE_S,
    MAX_RETRY_S,
    RETRY_SPREAD,
    DurationEstimate,
)
from quetzalrudder.gateway.statements import Write
from quetzalrudder.models import RequestId
from tests.gateway_fleet import GatewayFleet


@pytest.fixture
def fleet():
    fleet = GatewayFleet()
    assert fleet.run(10, fleet.all_know_primary) is not None
    fleet.run(1)
    return fleet


def write(instance):
    return instance.session().execute(RequestId("r"), Write("a", "1"))


def lose_primary(fleet):
    """Crash the primary, and let every instance notice."""
    fleet.group["db-1"].up = False
    for instance in fleet.instances:
        write(instance)
        write(instance)
    for instance in fleet.instances:
        instance.gateway.pool.close_broken()


def test_without_the_store_a_statement_for_a_lost_primary_is_refused_at_once(fleet):
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.run(2.5)
    lose_primary(fleet)
    fleet.run(1.0)
    started, opened = fleet.clock.now, fleet.group.links_opened
    answer = write(fleet[0])
    assert isinstance(answer.error, PrimaryChanging)
    assert fleet.clock.now - started < 0.01
    assert fleet.group.links_opened == opened


def test_the_delay_grows_with_an_outage_whose_end_nobody_knows(fleet):
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.run(2.5)
    lose_primary(fleet)
    fleet.run(0.5)
    early = write(fleet[0]).error.retry_after_ms
    fleet.run(2.0)
    late = write(fleet[0]).error.retry_after_ms
    assert late > 2 * early
    fleet.run(10.0)
    assert write(fleet[0]).error.retry_after_ms <= MAX_RETRY_S * (1 + RETRY_SPREAD) * 1000


def test_a_statement_that_the_replacement_comes_too_late_for_is_refused_at_once(fleet):
    fleet.group.promotion_delay_s = 1.0
    lose_primary(fleet)
    started = fleet.clock.now
    answer = write(fleet[0])
    assert isinstance(answer.error, PrimaryChanging)
    assert fleet.clock.now - started < 0.01
    assert answer.error.retry_after_ms >= 500


def test_a_caller_that_returns_as_told_is_served(fleet):
    lose_primary(fleet)
    for _ in range(3):
        answer = write(fleet[0])
        if answer.error is None:
            break
        fleet.run(answer.error.retry_after_ms / 1000)
    assert answer.error is None


def test_callers_are_told_different_times(fleet):
    fleet.group.promotion_delay_s = 1.0
    lose_primary(fleet)
    assert len({write(fleet[0]).error.retry_after_ms for _ in range(20)}) > 10


def test_a_statement_waits_for_a_replacement_that_ends_in_time(fleet):
    """Instances that have seen fast replacements let statements wait for the next one."""
    for _ in range(5):
        fleet[0].gateway.planner.outlook._change.add(0.1)
    fleet.group.promotion_delay_s = 0.1
    fleet.group["db-1"].up = False
    fleet.run(10, lambda: fleet[0].gateway.primaries.record("g").primary is None)
    fleet.clock.wait = lambda event, seconds: bool(fleet.run(seconds)) or event.is_set()
    assert write(fleet[0]).error is None


def test_an_overdue_replacement_is_expected_a_fraction_of_its_time_later(fleet):
    fleet.group.promotion_delay_s = 60.0
    lose_primary(fleet)
    fleet.run(10, lambda: fleet[0].gateway.primaries.record("g").primary is None)
    fleet.run(2.0)
    expected_s = fleet[0].gateway.planner.outlook.expected_s("g")
    assert 0.3 <= expected_s <= INITIAL_CHANGE_S


def test_a_primary_that_answers_again_is_used_at_once(fleet):
    for instance in fleet.instances:
        instance.cut_from_store()
    fleet.run(2.5)
    lose_primary(fleet)
    fleet.group["db-1"].up = True
    fleet.run(0.3)
    assert write(fleet[0]).error is None


def test_the_estimate_follows_the_observations():
    estimate = DurationEstimate(1.3)
    assert estimate.typical_s == 1.3
    for _ in range(9):
        estimate.add(0.3)
    assert estimate.typical_s == 0.3
    for _ in range(9):
        estimate.add(2.0)
    assert estimate.typical_s == 2.0
