"""The program beside values in the store that cannot be applied, with stand-ins on loopback."""

import json
import threading
import time
from itertools import count, cycle
from urllib.request import urlopen

import pytest

from tests.test_edge_program import (  # noqa: F401
    CONFIGURATION,
    DONE,
    Caller,
    EdgeProcess,
    deployment_build,
    edge,
    platform,
)
from tests.test_odd_entries import ODD_VALUES, ROGUE_ENTRIES

# The shortest time within which the users require a configuration to be in force.
CONVERGENCE_S = 3.0
NESTED = b"[" * 100_000


def configuration(version, *more_routes):
    routes = [
        *CONFIGURATION["routes"],
        *({**CONFIGURATION["routes"][0], "host": name} for name in more_routes),
    ]
    return json.dumps({**CONFIGURATION, "version": version, "routes": routes}).encode()


def wait_for_greeting(process, database, expected, timeout_s=CONVERGENCE_S):
    """Connect until the greeting begins as expected; return the last one."""
    deadline = time.monotonic() + timeout_s
    while True:
        greeting = Caller(process.frontend, database).greeting
        if greeting.startswith(expected) or time.monotonic() > deadline:
            return greeting
        time.sleep(0.05)


def log_lines(process, message):
    lines = [json.loads(line) for line in process.log().splitlines()]
    return [line for line in lines if line["message"] == message]


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("servers/other", NESTED),
        ("op/config", NESTED),
        ("op/config", configuration(9).replace(b"4000", b"1e999")),
        ("qr/members/other", b"\n\x02\xff\xff"),
    ],
    ids=["announcement", "nested configuration", "infinite time-out", "member record"],
)
def test_a_route_is_served_in_time_beside_a_value_that_cannot_be_applied(
    edge,  # noqa: F811
    platform,  # noqa: F811
    key,
    value,
):
    assert Caller(edge.frontend, "added").greeting.startswith("ERR NODB")
    with platform.lock:
        revision = platform.store.put(key, value, None)
    time.sleep(0.5)
    with platform.lock:
        platform.store.put("op/config", configuration(11, "added"), None)
    assert wait_for_greeting(edge, "added", "READY").startswith("READY")
    assert edge.stop() == 0
    skipped = log_lines(edge, "store item skipped")
    assert [(line["key"], line["revision"]) for line in skipped] == [(key, revision)]
    assert log_lines(edge, "background task failed with an unexpected error") == []


def test_a_route_is_served_in_time_by_a_full_read_with_a_value_that_cannot_be_applied(
    edge,  # noqa: F811
    platform,  # noqa: F811
):
    with platform.lock:
        platform.store.put("servers/other", NESTED, None)
        platform.store.put("qr/members/other", b"\n\x02\xff\xff", None)
        platform.store.put("op/config", configuration(11, "added"), None)
        platform.store.compact()
    assert wait_for_greeting(edge, "added", "READY").startswith("READY")
    assert Caller(edge.frontend, "offers").query_until("PUT a 1", DONE) == DONE
    assert edge.stop() == 0
    lines = log_lines(edge, "store items applied one by one")
    assert [line["prefix"] for line in lines] == ["servers/", "qr/"]


def test_an_added_route_is_not_refused_for_good_while_the_store_takes_writes_and_fails_reads(
    edge,  # noqa: F811
    platform,  # noqa: F811
):
    platform.http.fails_reads = True
    with platform.lock:
        platform.store.put("op/config", configuration(11, "added"), None)
    time.sleep(CONVERGENCE_S + 0.5)
    for _ in range(5):
        greeting = Caller(edge.frontend, "added").greeting
        assert greeting.startswith("ERR BUSY "), greeting
        assert "; retry after " in greeting
        assert Caller(edge.frontend, "prices").greeting == "READY I -"
        time.sleep(0.1)
    platform.http.fails_reads = False
    assert wait_for_greeting(edge, "added", "READY").startswith("READY")
    assert Caller(edge.frontend, "none").greeting.startswith("ERR NODB")
    assert edge.stop() == 0
    refused = log_lines(edge, "session refused")
    assert {line["ending"] for line in refused[:5]} == {"SettingsTooOld"}
    assert all(line["view_age_s"] > CONVERGENCE_S for line in refused[:5])
    assert (refused[-1]["ending"], refused[-1]["catalog_version"]) == ("RouteNotFound", 11)
    assert log_lines(edge, "view of the store outdated")
    (again,) = log_lines(edge, "store provides changes again")
    assert again["failing_s"] > CONVERGENCE_S


def metric(process, name):
    with urlopen(f"http://127.0.0.1:{process.metrics}/metrics", timeout=5) as answer:
        lines = answer.read().decode().splitlines()
    return next(float(line.split()[-1]) for line in lines if line.startswith(name))


def test_a_start_beside_values_that_cannot_be_applied_serves_and_the_metrics_tell(
    deployment_build,  # noqa: F811
    platform,  # noqa: F811
    tmp_path,
):
    for key, value in (("servers/a", NESTED), ("qr/members/a", b"\n\x02\xff\xff")):
        platform.store.put(key, value, None)
    started = EdgeProcess(platform, tmp_path)
    started.wait_ready()
    assert Caller(started.frontend, "offers").query_until("PUT a 1", DONE) == DONE
    assert metric(started, 'quetzalrudder_store_items_skipped_total{prefix="servers/"}') == 1
    assert metric(started, 'quetzalrudder_store_items_skipped_total{prefix="qr/"}') == 1
    assert metric(started, "quetzalrudder_store_view_age_seconds") < CONVERGENCE_S
    with platform.lock:
        platform.store.put("op/config", configuration(11, "added"), None)
    assert wait_for_greeting(started, "added", "READY").startswith("READY")
    assert started.stop() == 0


def odd_entries():
    """Return odd entries of each kind, without those that differ only in the field."""
    names = ("closed nested lists", "closed nested objects", "not UTF-8", "1 MB of text", "empty")
    more = ("port 99999", "slots 5000 digits", "born 1e999", "zone surrogate", "other state")
    return [ODD_VALUES[name] for name in (*names, *more)]


def rogue_entries():
    """Return announcements of databases of the service, at an address that refuses."""
    return [
        value.replace(b'"g"', b'"core"').replace(b"10.9.9.9:7000", b"127.0.0.1:1")
        for name, value in ROGUE_ENTRIES.items()
        if name != "address in use"
    ]


def test_routes_are_served_beside_odd_entries_in_series_a_restart_and_a_full_read(
    edge,  # noqa: F811
    platform,  # noqa: F811
):
    stopping = threading.Event()
    ended = []
    entries = cycle([*odd_entries(), *rogue_entries()])

    def come_and_go():
        for number in count():
            if stopping.is_set():
                return
            key = f"servers/odd-{number % 7}"
            with platform.lock:
                platform.store.put(key, next(entries), None)
            time.sleep(0.02)
            if number % 3:
                with platform.lock:
                    platform.store.put(key, None, None)

    def add_route(version):
        time.sleep(0.5)
        with platform.lock:
            platform.store.put("op/config", configuration(version, f"added-{version}"), None)
        greeting = wait_for_greeting(edge, f"added-{version}", "READY")
        assert greeting.startswith("READY"), (version, greeting)
        ended.append(edge.process.poll())

    writer = threading.Thread(target=come_and_go)
    writer.start()
    try:
        add_route(11)
        with platform.lock:
            platform.store.compact()
        add_route(12)
        edge.process.kill()
        edge.process.wait()
        edge.start()
        edge.wait_ready()
        add_route(13)
        with platform.lock:
            platform.store.compact()
        add_route(14)
        assert Caller(edge.frontend, "offers").query_until("PUT a 1", DONE) == DONE
        expected = ["ROW a=1", *DONE]
        assert Caller(edge.frontend, "prices").query_until("FETCH a", expected) == expected
    finally:
        stopping.set()
        writer.join()
    assert ended == [None] * 4
    assert edge.stop() == 0
    assert log_lines(edge, "background task failed with an unexpected error") == []
    assert log_lines(edge, "process ended by an unexpected error") == []
