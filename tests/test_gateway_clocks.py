"""The gateway and its adapter decide nothing by the time of day, which may jump."""

import re
from pathlib import Path

import pytest

from quetzalrudder.gateway.statements import Write
from tests.gateway_fleet import GatewayFleet

ROOT = Path(__file__).resolve().parent.parent
SOURCES = sorted(
    path
    for name in ("src/quetzalrudder/gateway", "platform/rig")
    for path in (ROOT / name).glob("*.py")
)
# Everything by which these modules could read the time of day.
TIME_OF_DAY = re.compile(
    r"time\.time\b|time_ns\b|from time import (?!monotonic|sleep)|datetime|"
    r"\.wall\(|CLOCK_REALTIME|localtime|gmtime"
)


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.name)
def test_no_module_reads_the_time_of_day(path):
    assert TIME_OF_DAY.findall(path.read_text(encoding="utf-8")) == []


def test_a_primary_is_replaced_without_reading_the_time_of_day(monkeypatch):
    fleet = GatewayFleet()

    def fail():
        raise AssertionError("the time of day was read")

    monkeypatch.setattr(fleet.clock, "wall", fail)
    assert fleet.run(2.0, fleet.all_know_primary) is not None
    fleet.store.put("op/evacuate/dc-0", b"{}", None)
    assert fleet.run(8.0, lambda: bool(fleet.group.promotions)) is not None
    fleet.run(1.0)
    assert fleet[0].session("offers").execute("w1", Write("a", "1")).error is None
