"""Odd entries among the databases' in the store, which another writer has left there."""

import json
import logging
import os
import subprocess
import sys
from concurrent.futures import Executor, Future
from contextlib import suppress
from dataclasses import replace
from functools import partial
from types import SimpleNamespace

import pytest
from result import Err, Ok
from rig.configuration import catalog_handler, evacuation_handler, target_handler

from quetzalrudder.codec import MAX_MESSAGE_BYTES
from quetzalrudder.exceptions import MalformedMessage, TargetUnavailable
from quetzalrudder.gateway.catalog import GroupSettings
from quetzalrudder.gateway.change_log import ChangeLog
from quetzalrudder.gateway.permission import ERA_SETTLING_S, PERMISSION_S
from quetzalrudder.gateway.statements import Read, Write
from quetzalrudder.gateway.store import Item
from quetzalrudder.gateway.targets import TargetRegistry, TargetRole
from quetzalrudder.schema.gateway import ChangesRequest, RelayState
from standins.fleet import ROOT
from tests.clocks import ManualClock
from tests.gateway_fleet import GatewayFleet, catalog
from tests.gateway_paced_fleet import PacedFleet
from tests.test_old_view import CONVERGENCE_S, configuration

ENTRY = {
    "service": "g",
    "addr": "10.9.9.9:7000",
    "zone": "dc-0",
    "version": "1",
    "slots": 3,
    "state": "ready",
    "dbRole": "replica",
    "born": 1,
    "coldLeftMs": 0,
    "sequence": 1,
}
KEY = "servers/odd"


def entry(**changes):
    return json.dumps(ENTRY | changes).encode()


def entry_with(field, literal):
    """Return an entry whose field has a value that Python's encoder does not write."""
    return entry(**{field: "LITERAL"}).replace(b'"LITERAL"', literal)


def entry_without(field):
    return json.dumps({key: value for key, value in ENTRY.items() if key != field}).encode()


DIGITS_400 = b"9" * 400
DIGITS_5000 = b"9" * 5000
NUMBERS = {
    "negative": b"-1",
    "33 bits": b"4294967296",
    "400 digits": DIGITS_400,
    "5000 digits": DIGITS_5000,
    "1e999": b"1e999",
    "NaN": b"NaN",
    "fraction": b"1.5",
    "text": b'"3"',
    "list": b"[3]",
    "truth value": b"true",
}
TEXTS = {"list": b"[]", "object": b"{}", "null": b"null", "number": b"7", "surrogate": b'"\\ud800"'}
PORTS = ["99999", "0", "-1", "", "9" * 5000, "\u0667\u0660\u0660\u0660", "\u00b2", "7 0"]
# Values that name no database.
ODD_VALUES = {
    "nested lists": b"[" * 100_000,
    "closed nested lists": b"[" * 100_000 + b"]" * 100_000,
    "nested objects": b'{"a":' * 100_000,
    "closed nested objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "nested slots": entry_with("slots", b"[" * 900 + b"]" * 900),
    "nested zone": entry_with("zone", b'{"a":' * 900 + b"1" + b"}" * 900),
    "not UTF-8": b"\xff\xfe\x00\x80",
    "not UTF-8 in a text": entry().replace(b"10.9", b"\xff\xfe"),
    "empty": b"",
    "1 MB of text": b"x" * 2**20,
    "1 MB of state": entry(state="x" * (2**20 - 300)),
    "1 MB of host": entry(addr="x" * (2**20 - 300) + ":7000"),
    "number": b"7",
    "list": b"[]",
    "null": b"null",
    "other state": entry(state="gone"),
    "state in a list": entry(state=["ready"]),
    "other role": entry(dbRole="leader"),
    **{f"port {port:.8}": entry(addr=f"10.9.9.9:{port}") for port in PORTS},
    **{f"slots {name}": entry_with("slots", raw) for name, raw in NUMBERS.items()},
    **{
        f"{field} {name}": entry_with(field, raw)
        for field in ("born", "coldLeftMs")
        for name, raw in NUMBERS.items()
        if name not in ("33 bits", "fraction")
    },
    **{
        f"{field} {name}": entry_with(field, raw)
        for field in ("service", "addr", "zone", "state", "dbRole")
        for name, raw in TEXTS.items()
    },
    **{
        f"no {field}": entry_without(field)
        for field in ("service", "addr", "zone", "slots", "state", "dbRole")
    },
}
# Valid announcements of databases that do not exist.
ROGUE_ENTRIES = {
    "second primary": entry(dbRole="primary"),
    "primary of an unknown group": entry(dbRole="primary", service="unknown"),
    "unknown group": entry(service="unknown"),
    "unknown zone": entry(zone="nowhere"),
    "most slots": entry(slots=2**31 - 1),
    "no slots": entry(slots=0),
    "latest start": entry(born=2**63 - 1),
    "longest cold": entry(coldLeftMs=2**31 - 1),
    "address in use": entry(addr="10.0.0.1:7000"),
}
ODD_KEYS = {"long name": "servers/" + "x" * 192, "no name": "servers/"}
GOOD = {"db-1", "db-2", "db-3"}


class AnnouncedFleet(GatewayFleet):
    """A fleet that takes its configuration and its databases from the store."""

    def __init__(self, *args, **options):
        # Databases that do not exist and to which an instance has tried to connect.
        self.tried = []
        super().__init__(*args, **options)
        for target in self.group.infos():
            self.announce(target)
        self.configure(2)

    def handlers(self, gateway):
        return [
            catalog_handler(gateway.catalogs),
            evacuation_handler(gateway.evacuations),
            target_handler(gateway.registry),
        ]

    def start(self, name, seed=0):
        started = super().start(name, seed)
        # What it knows comes from its first read of the store.
        started.gateway.registry._entries.clear()
        started.connect = partial(self.connect, started.connect)
        return started

    def connect(self, connect, target, workspace, timeout_s):
        if target.target in GOOD:
            return connect(target, workspace, timeout_s)
        self.tried.append(target.target)
        return Err(TargetUnavailable("no database has this address", place=target.target))

    def announce(self, target):
        fields = {
            "addr": str(target.address),
            "zone": target.data_centre,
            "slots": target.slots,
            "dbRole": target.role.value,
        }
        self.store.put(f"servers/{target.target}", entry(**fields), None)

    def configure(self, version, **parts):
        self.store.put("op/config", configuration(version, **parts), None)

    def is_in_force(self, version):
        return all(edge.gateway.catalogs.current.version == version for edge in self.instances)

    def knows(self, names):
        return all(
            {target.target for target in edge.gateway.registry.all_targets()} == names
            for edge in self.instances
        )


class LargeFleet(PacedFleet):
    """A large fleet, in which the announcements and the configuration arrive over relays."""

    handlers = AnnouncedFleet.handlers
    configure = AnnouncedFleet.configure
    is_in_force = AnnouncedFleet.is_in_force
    announce = AnnouncedFleet.announce
    knows = AnnouncedFleet.knows

    def publish(self, version):
        for target in self.group.infos():
            self.announce(target)
        self.configure(version + 1)


def start_fleet():
    started = AnnouncedFleet()
    assert started.run(5.0, started.all_know_primary) is not None
    started.run(1.0)
    return started


@pytest.fixture
def fleet():
    return start_fleet()


def check_service(fleet, edge=None):
    """Check that statements run at the databases that exist."""
    edge = edge or fleet[0]
    fleet.group.replicate()
    assert edge.session("offers").execute("w", Write("a", "1")).error is None
    assert edge.session("prices").execute("r", Read("a")).error is None


def check_later_configuration(fleet, version):
    fleet.configure(version, routes=("offers", "prices", f"added-{version}"))
    assert fleet.run(CONVERGENCE_S, lambda: fleet.is_in_force(version)) is not None
    for edge in fleet.instances:
        assert edge.session(f"added-{version}").check_access() == Ok(None)


def unexpected_errors(caplog):
    return [record for record in caplog.records if record.exc_info]


@pytest.mark.parametrize("way", ["watch", "full read", "start"])
def test_no_odd_entry_stops_the_view(fleet, caplog, way):
    caplog.set_level(logging.ERROR)
    for index, (name, value) in enumerate(ODD_VALUES.items()):
        fleet.store.put(KEY, value, None)
        if way != "watch":
            fleet.store.compact()
        if way == "start":
            fleet.start("edge-3", index)
        check_later_configuration(fleet, 3 + index)
        assert fleet.knows(GOOD), name
        fleet.store.put(KEY, None, None)
        fleet.run(0.1)
        assert all(not edge.mirror._skipped for edge in fleet.instances), name
    assert fleet.run(6.0, fleet.all_know_primary) is not None
    check_service(fleet)
    assert unexpected_errors(caplog) == []


def test_no_odd_entry_stops_the_view_of_a_large_fleet(caplog):
    caplog.set_level(logging.ERROR)
    fleet = LargeFleet(18)
    fleet.run(6.0)
    fleet.store.put(KEY, entry(), None)
    assert fleet.run(CONVERGENCE_S, lambda: fleet.knows(GOOD | {"odd"})) is not None
    fleet.store.put(KEY, None, None)
    fleet.run(4.0)
    assert fleet.knows(GOOD)
    for index, (name, value) in enumerate(ODD_VALUES.items()):
        fleet.store.put(KEY, value, None)
        check_later_configuration(fleet, 3 + index)
        assert fleet.knows(GOOD), name
        fleet.store.put(KEY, None, None)
    fleet.run(2.0)
    for edge in fleet.instances:
        check_service(fleet, edge)
    assert unexpected_errors(caplog) == []


def test_large_values_in_series_do_not_fill_the_memory():
    log = ChangeLog(ManualClock())
    log.restart(1)
    for revision in range(2, 100):
        log.append([Item(KEY, b"x" * 2**20, revision, revision)], revision)
    assert sum(len(item.value) for item in log._changes) < MAX_MESSAGE_BYTES


def test_the_changes_of_a_reply_fit_into_one_message():
    log = ChangeLog(ManualClock())
    log.restart(1)
    replies = []
    for revision in range(2, 12):
        log.append([Item(KEY, b"x" * 2**20, revision, revision)], revision)
    for after in range(1, 12):
        log.answer(ChangesRequest(after=after, wait_ms=0), replies.append)
    assert all(len(bytes(reply)) <= MAX_MESSAGE_BYTES for reply in replies)
    assert replies[0].state is RelayState.HISTORY_GONE
    assert len(replies[-1].changes) == 1


def announce_unknown_groups(fleet, count=20):
    names = [f"rogue-{number}" for number in range(count)]
    for name in names:
        value = entry(service=f"group of {name}", dbRole="primary")
        fleet.store.put(f"servers/{name}", value, None)
    return names


def test_no_primary_is_sought_in_groups_that_the_configuration_does_not_name(fleet):
    names = announce_unknown_groups(fleet)
    fleet.run(2.0)
    assert fleet.knows(GOOD.union(names))
    assert fleet.tried == []


class TaskRecorder(Executor):
    """Records the tasks that would be started."""

    def __init__(self):
        self.started = []

    def submit(self, fn, /, *args, **kwargs):
        self.started.append(args[0])
        return Future()


def maintain_once(gateway, executor):
    rounds = iter([False, True])
    gateway._maintenance_wake_up.set()
    gateway._maintain(executor, SimpleNamespace(is_set=lambda: next(rounds)))


def test_announced_groups_that_the_configuration_does_not_name_leave_no_tasks(fleet):
    names = announce_unknown_groups(fleet)
    fleet.run(0.2)
    gateway, executor = fleet[0].gateway, TaskRecorder()
    maintain_once(gateway, executor)
    for name in names:
        fleet.store.put(f"servers/{name}", None, None)
    fleet.run(4.0)
    maintain_once(gateway, executor)
    assert fleet.knows(GOOD)
    assert executor.started == []
    assert set(gateway._health_checks) == {"g"}


def test_a_group_is_checked_once_a_configuration_names_it(fleet):
    (name,) = announce_unknown_groups(fleet, 1)
    group = f"group of {name}"
    value = json.loads(configuration(3))
    value["services"].append({"name": group, "maxConns": 30})
    fleet.store.put("op/config", json.dumps(value).encode(), None)
    fleet.run(0.2)
    executor = TaskRecorder()
    maintain_once(fleet[0].gateway, executor)
    assert executor.started == [f"health check of {group}"]
    fleet.run(1.0)
    assert set(fleet.tried) == {name}


def start_beside(value, key="servers/aa-rogue"):
    """Start a fleet whose databases have had no primary yet, beside an odd entry."""
    fleet = AnnouncedFleet()
    fleet.store.put(key, value, None)
    return fleet


def test_a_second_announced_primary_that_does_not_exist_does_not_keep_out_the_first():
    fleet = start_beside(entry(dbRole="primary"))
    assert fleet.run(5.0, fleet.all_know_primary) is not None
    fleet.run(1.0)
    for edge in fleet.instances:
        assert edge.gateway.primaries.usable_primary("g").target == "db-1"
        check_service(fleet, edge)


def test_a_rogue_primary_alone_is_not_recorded():
    fleet = start_beside(entry(dbRole="primary"))
    fleet.store.put("servers/db-1", None, None)
    fleet.group["db-1"].up = False
    fleet.run(3.0)
    assert all(edge.gateway.primaries.record("g") is None for edge in fleet.instances)


def test_of_two_databases_that_both_lead_none_is_recorded():
    fleet = AnnouncedFleet()
    fleet.group["db-2"].primary = True
    fleet.announce(replace(fleet.group["db-2"].info, role=TargetRole.PRIMARY))
    fleet.run(3.0)
    assert all(edge.gateway.primaries.record("g") is None for edge in fleet.instances)


def rogue_fleet(value, key):
    fleet = start_fleet()
    fleet.run(PERMISSION_S + 1)
    fleet.store.put(key, value, None)
    fleet.run(0.2)
    return fleet


@pytest.mark.parametrize("key", [KEY, *ODD_KEYS.values()], ids=["name", *ODD_KEYS])
@pytest.mark.parametrize("value", ROGUE_ENTRIES.values(), ids=ROGUE_ENTRIES)
def test_service_and_failover_go_on_beside_a_database_that_does_not_exist(caplog, key, value):
    caplog.set_level(logging.ERROR)
    fleet = rogue_fleet(value, key)
    for edge in fleet.instances:
        for _ in range(5):
            check_service(fleet, edge)
        maintain_once(edge.gateway, TaskRecorder())
    fleet.group["db-1"].up = False
    assert fleet.run(5.0, lambda: bool(fleet.group.promotions)) <= 2.0
    fleet.store.put("servers/db-1", None, None)
    assert fleet.run(3.0, fleet.all_know_primary) is not None
    fleet.run(0.5)
    assert fleet.group.promotions[-1][0] in GOOD
    for edge in fleet.instances:
        check_service(fleet, edge)
    fleet.store.put(key, None, None)
    check_later_configuration(fleet, 3)
    fleet.run(4.0)
    assert fleet.knows({"db-2", "db-3"})
    assert unexpected_errors(caplog) == []


def test_statements_run_beside_hundreds_of_databases_that_do_not_exist(caplog):
    caplog.set_level(logging.ERROR)
    fleet = start_fleet()
    for number in range(300):
        fleet.store.put(f"servers/rogue-{number}", entry(coldLeftMs=2**31 - 1), None)
    fleet.run(0.2)
    for _ in range(50):
        for edge in fleet.instances:
            check_service(fleet, edge)
        fleet.run(0.2)
    for edge in fleet.instances:
        maintain_once(edge.gateway, TaskRecorder())
    check_later_configuration(fleet, 3)
    for number in range(300):
        fleet.store.put(f"servers/rogue-{number}", None, None)
    fleet.run(4.0)
    assert fleet.knows(GOOD)
    check_service(fleet)
    assert unexpected_errors(caplog) == []


def test_replicas_that_do_not_answer_in_time_do_not_keep_a_lost_primary_from_being_replaced():
    fleet = start_fleet()
    fleet.run(PERMISSION_S + 1)
    for number in range(10):
        fleet.store.put(f"servers/rogue-{number}", entry(), None)
    fleet.run(0.2)

    def connect(connect_before, target, workspace, timeout_s):
        if target.target not in GOOD:
            fleet.clock.advance(timeout_s)
        return connect_before(target, workspace, timeout_s)

    for edge in fleet.instances:
        edge.connect = partial(connect, edge.connect)
    fleet.group["db-1"].up = False
    assert fleet.run(30.0, lambda: bool(fleet.group.promotions)) is not None
    assert fleet.group.promotions[-1][0] in GOOD


NESTED_DECODING = """
import threading
from rig.configuration import decode_catalog, decode_target
from rig.process import THREAD_STACK_BYTES
from quetzalrudder.exceptions import MalformedMessage
from quetzalrudder.gateway.store import Item

refused = []

def decode_all():
    for depth in (10, 500, 900, 990, 1000, 5000, 100_000):
        for opening, closing in ((b"[", b"]"), (b'{"a":', b"}")):
            nested = opening * depth + b"1" + closing * depth
            entry = b'{"service":"g","addr":"10.0.0.1:7000","zone":' + nested + b"}"
            catalog = b'{"routes":' + nested + b',"services":' + nested + b',"version":1}'
            for value in (nested, opening * depth, entry, catalog):
                for decode in (decode_catalog, lambda raw: decode_target(Item("s", raw, 1, 1))):
                    try:
                        decode(value)
                    except MalformedMessage:
                        refused.append(depth)

threading.stack_size(THREAD_STACK_BYTES)
thread = threading.Thread(target=decode_all)
thread.start()
thread.join()
print(len(refused))
"""


def test_no_depth_of_nesting_ends_a_process_whose_threads_have_small_stacks():
    paths = [str(ROOT / name) for name in ("platform", "src", "")]
    ran = subprocess.run(
        [sys.executable, "-c", NESTED_DECODING],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert (ran.returncode, ran.stdout.strip()) == (0, str(7 * 2 * 4 * 2)), ran.stderr


def let_unknown_time_out(fleet):
    """Let connections to announced databases that do not exist time out."""

    def connect(connect_before, target, workspace, timeout_s):
        if target.target not in GOOD:
            fleet.clock.advance(timeout_s)
        return connect_before(target, workspace, timeout_s)

    for edge in fleet.instances:
        edge.connect = partial(connect, edge.connect)


def test_announced_primaries_that_do_not_answer_do_not_keep_out_the_one_that_leads():
    fleet = AnnouncedFleet()
    for number in range(10):
        fleet.store.put(f"servers/rogue-{number}", entry(dbRole="primary"), None)
    let_unknown_time_out(fleet)
    assert fleet.run(60.0, fleet.all_know_primary) is not None


def test_announced_primaries_of_a_group_without_a_record_do_not_hold_up_another_groups_failover():
    fleet = start_fleet()
    fleet.run(PERMISSION_S + 1)
    # Groups are checked in the order of their names.
    settings = {name: GroupSettings(name, 30) for name in ("a", "g")}
    for edge in fleet.instances:
        edge.gateway.catalogs.update_if_newer(catalog(50, groups=settings))
    for number in range(10):
        fleet.store.put(f"servers/rogue-{number}", entry(dbRole="primary", service="a"), None)
    fleet.run(0.2)
    let_unknown_time_out(fleet)
    fleet.group["db-1"].up = False
    assert fleet.run(60.0, lambda: bool(fleet.group.promotions)) is not None


def test_replicas_that_do_not_answer_in_time_do_not_keep_a_primary_from_being_confirmed():
    # After the store has come back from an older copy, all databases are asked.
    fleet = AnnouncedFleet(store_era=1)
    assert fleet.run(5.0, fleet.all_know_primary) is not None
    fleet.run(PERMISSION_S + 1)
    for number in range(10):
        fleet.store.put(f"servers/rogue-{number}", entry(), None)
    fleet.run(0.2)
    let_unknown_time_out(fleet)
    fleet.return_store(fleet.store.copy())
    fleet.run(ERA_SETTLING_S + 1)
    assert fleet.run(60.0, fleet.all_know_primary) is not None


def test_an_entry_of_another_writer_does_not_start_the_time_of_a_draining_database_anew():
    # Its own next announcement follows; it drains since the first one.
    clock = ManualClock()
    registry = TargetRegistry(clock)
    handler = target_handler(registry)
    handler.apply_change(Item(KEY, entry(state="draining"), 1, 1))
    clock.advance(5.0)
    with suppress(MalformedMessage):
        handler.apply_change(Item(KEY, b"odd", 2, 1))
    clock.advance(0.5)
    handler.apply_change(Item(KEY, entry(state="draining"), 3, 1))
    assert registry.draining_s("odd") == 5.5


def test_odd_entries_do_not_prolong_the_use_of_a_draining_primary():
    fleet = start_fleet()
    for edge in fleet.instances:
        edge.gateway.planner._drain_limit_s = 7.0
    # No replica can take its place.
    for name in ("db-2", "db-3"):
        fleet.store.put(f"servers/{name}", None, None)
        fleet.group[name].up = False
    fleet.run(4.0)
    draining = json.dumps(
        json.loads(fleet.store.items["servers/db-1"].value) | {"state": "draining"}
    ).encode()
    fleet.store.put("servers/db-1", draining, None)
    fleet.run(4.0)
    fleet.store.put("servers/db-1", b"odd", None)
    fleet.run(0.1)
    fleet.store.put("servers/db-1", draining, None)
    fleet.run(3.0)
    planner = fleet[0].gateway.planner
    assert planner._has_drained(fleet[0].gateway.registry.queryable("db-1"))
