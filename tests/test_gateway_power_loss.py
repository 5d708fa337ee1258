"""Plays the load of a fleet that loses its power, and checks what callers get."""

import logging

import pytest

from bench.model import (
    Ending,
    FleetSettings,
    GroupSettings,
    KillInstances,
    Kind,
    Load,
    LoadSettings,
    ModelFleet,
)
from bench.model.faults import schedule
from bench.model.load import make_catalog
from quetzalrudder.gateway import Consistency, connections

# A few kinds of operations before databases with two slots and 16 connections each.
KINDS = (
    Kind("edit", Consistency.PRIMARY, 18, 4.5, 120, 1200, 800, writes=0.2, transactions=0.4),
    Kind("lookup", Consistency.BOUNDED, 18, 22, 400, 4000, 1500, max_age_ms=1500, priority=2),
    Kind("sync", Consistency.SESSION, 85, 14, 200, 1200, 800, max_age_ms=2500, writes=0.12),
)
LOST_AT_S = 3.0
DOWN_S = 1.2
START_S = 0.3
# Callers that arrive this long after the instances serve again find no backlog.
RECOVERY_S = 1.0


@pytest.fixture(autouse=True)
def no_logs():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


def play(seed, *, power_loss, seconds=7.0):
    """Return what callers get, and the connections opened for each operation."""
    load_cfg = LoadSettings(KINDS)
    groups = GroupSettings(count=3)
    cfg = FleetSettings({"a": 2, "b": 2, "c": 1, "d": 1}, groups, serve_s=START_S)
    catalog = make_catalog(load_cfg, groups.count, groups.connections)
    fleet = ModelFleet(cfg, catalog, seed)
    try:
        load = Load(fleet, load_cfg, seed)
        schedule(fleet, KillInstances(LOST_AT_S, DOWN_S, power_loss), fleet.time.now + 1.5)
        results = load.run(seconds)
    finally:
        fleet.close()
    return results


def after_return(results):
    back_s = LOST_AT_S + DOWN_S + START_S
    return results.between(back_s + RECOVERY_S, back_s + RECOVERY_S + 1.5)


@pytest.mark.parametrize("power_loss", [False, True])
def test_callers_are_served_in_time_soon_after_all_instances_are_back(power_loss):
    results = play(1, power_loss=power_loss)
    assert results.between(0, LOST_AT_S - 0.5).share(Ending.IN_TIME) >= 0.95
    assert after_return(results).share(Ending.IN_TIME) >= 0.95


def test_connections_of_lost_machines_leave_room_for_those_that_return(monkeypatch):
    """Without a reserve, the databases refuse connections until they drop the lost ones."""
    with_reserve = play(2, power_loss=True)
    monkeypatch.setattr(connections, "IDLE_FRACTION", 1.0)
    without = play(2, power_loss=True)
    back_s = LOST_AT_S + DOWN_S + START_S
    with_reserve, without = (
        results.between(back_s, back_s + 1.5) for results in (with_reserve, without)
    )
    assert with_reserve.share(Ending.IN_TIME) > without.share(Ending.IN_TIME)
    assert with_reserve.share(Ending.REFUSED) <= without.share(Ending.REFUSED)


def test_a_run_repeats_exactly():
    first, second = (play(3, power_loss=False, seconds=2.0) for _ in range(2))
    assert first.operations == second.operations
