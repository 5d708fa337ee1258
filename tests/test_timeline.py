import json

import pytest

from quetzalrudder.ctl import main as ctl
from quetzalrudder.ctl_timeline import parse_time
from quetzalrudder.exceptions import InvalidSettings
from quetzalrudder.models import InstanceId
from quetzalrudder.schema.operators import TimelineRequest
from quetzalrudder.timeline import EventKind, Timeline, event_size, matches, merge_events
from tests.clocks import ManualClock
from tests.helpers import grant_key


def timeline(name, clock, **options):
    return Timeline(InstanceId(name), clock, **options)


def test_an_effect_is_ordered_after_its_cause_despite_clock_skew():
    slow, fast = ManualClock(now=100.0), ManualClock(now=900.0)
    one, two = timeline("one", fast), timeline("two", slow)
    one.record(EventKind.SETTINGS_APPLIED, detail="cause")
    two.clock.observe(one.clock.now())
    two.record(EventKind.SETTINGS_APPLIED, detail="effect")
    merged = merge_events([two.events(), one.events()])
    assert [event.detail for event in merged] == ["cause", "effect"]


def test_the_timeline_is_bounded_in_bytes_and_drops_the_oldest_events():
    history = timeline("one", ManualClock(), max_bytes=20_000)
    for n in range(1000):
        history.record(EventKind.REQUEST_FAILED, detail=f"{n} " + "x" * (n % 300))
    kept = history.events()
    assert sum(event_size(event) for event in kept) <= 20_000
    assert kept[-1].detail.startswith("999 ")


def test_an_event_kept_by_two_instances_is_merged_into_one():
    clock = ManualClock()
    one, two = timeline("one", clock), timeline("two", clock)
    one.record(EventKind.DRAINING)
    two.extend(one.events())
    assert len(merge_events([one.events(), two.events()])) == 1


@pytest.mark.parametrize("field", ["request_id", "workspace", "target", "group"])
def test_events_are_filtered_by_field_kind_and_time(field):
    history = timeline("one", ManualClock())
    history.record(EventKind.REQUEST_DONE, **{field: "x"})
    (event,) = history.events()
    assert matches(event, TimelineRequest(**{field: "x"}))
    assert not matches(event, TimelineRequest(**{field: "y"}))
    assert matches(event, TimelineRequest(kind="request-done", since_us=event.wall_us))
    assert not matches(event, TimelineRequest(until_us=event.wall_us - 1))


def test_times_are_parsed_as_seconds_ago_or_iso_8601():
    assert parse_time("") == 0
    assert parse_time("2027-01-01T00:00:00") == parse_time("2027-01-01T00:00:00Z")
    assert parse_time("5") < parse_time("1")
    with pytest.raises(InvalidSettings):
        parse_time("yesterday")


def timeline_json(capsys, *args):
    assert ctl(["timeline", *args, "--json"]) == 0
    return json.loads(capsys.readouterr().out)


def test_events_of_all_instances_are_found_through_one_instance(fleet, capsys):
    key = grant_key(fleet, "steppe/branch-1")
    with fleet.session("karaganda-1", workspace="steppe/branch-1", key=key) as session:
        session.write("steppe/offers", "CREATE TABLE t (n INTEGER)", request_id="the-request")
    control = f"--control={fleet.control_addresses['astana-a-1']}"
    all_events = timeline_json(capsys, control)["events"]
    assert {event["instance"] for event in all_events} == set(fleet.control_addresses)
    of_request = timeline_json(capsys, control, "--request=the-request")["events"]
    assert [(e["instance"], e["kind"]) for e in of_request] == [("karaganda-1", "request-done")]
    applied = timeline_json(capsys, control, "--kind=settings-applied", "--since=600")["events"]
    assert {event["kind"] for event in applied} == {"settings-applied"}
    assert timeline_json(capsys, control, "--until=600")["events"] == []
    single = timeline_json(capsys, f"--controls={fleet.control_addresses['astana-b-1']}")["events"]
    assert {event["instance"] for event in single} == {"astana-b-1"}
