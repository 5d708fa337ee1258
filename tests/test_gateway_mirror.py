"""The local view of the store when items cannot be applied, or its task fails."""

import json
import logging
import threading

import pytest
from result import Ok
from rig.configuration import catalog_handler, decode_catalog, target_handler

from quetzalrudder.exceptions import MalformedMessage
from quetzalrudder.gateway import CurrentCatalog
from quetzalrudder.gateway.mirror import PrefixHandler, StoreMirror
from quetzalrudder.gateway.store import Item
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.targets import TargetRegistry
from quetzalrudder.schema.gateway import (
    EvacuationState,
    GroupLeader,
    PeerReply,
    PeerReport,
    PermissionGrant,
)
from tests.clocks import ManualClock
from tests.gateway_fakes import MemoryStore
from tests.gateway_fleet import GatewayFleet

ANNOUNCEMENT = {
    "service": "s",
    "addr": "127.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "dbRole": "primary",
    "state": "ready",
}
NESTED = b"[" * 100_000
INVALID_RECORD = b"\n\x02\xff\xff"


def configuration(version, **fields):
    return json.dumps(
        {"version": version, "routes": [], "services": [], "tenants": [], **fields}
    ).encode()


class View:
    """A store in memory, and a mirror of it with the handlers of the users' keys."""

    def __init__(self, *handlers):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.catalogs = CurrentCatalog()
        self.registry = TargetRegistry(self.clock)
        self.contact = StoreContact(self.clock)
        self.skipped = []
        self.mirror = StoreMirror(
            self.store.client(),
            [catalog_handler(self.catalogs), target_handler(self.registry), *handlers],
            self.contact,
            self.clock,
            5.0,
            on_skip=self.skipped.append,
        )
        self.put("op/config", configuration(1))
        self.put("servers/a", json.dumps(ANNOUNCEMENT).encode())
        self.mirror.step()

    def put(self, key, value):
        return self.store.put(key, value, None)

    def read_again(self):
        """Apply a full read, as after the store has dropped its history."""
        self.put("x", b"")
        self.store.compact()
        self.mirror.step()
        self.mirror.step()

    @property
    def version(self):
        return self.catalogs.current.version

    @property
    def targets(self):
        return {target.target for target in self.registry.all_targets()}


def skip_lines(caplog):
    return [record for record in caplog.records if record.message == "store item skipped"]


POISON = pytest.mark.parametrize(
    ("key", "value"),
    [
        ("servers/b", NESTED),
        ("servers/b", b"{"),
        ("servers/a", NESTED),
        ("op/config", NESTED),
        ("op/config", configuration(9, limits={"txIdleMs": float("inf")})),
    ],
)


@POISON
def test_an_item_that_cannot_be_applied_hides_no_later_change(key, value):
    view = View()
    view.put(key, value)
    view.put("op/config", configuration(2))
    view.mirror.step()
    assert (view.version, view.mirror.revision) == (2, view.store.revision)
    assert view.targets == {"a"}


@POISON
def test_an_item_that_cannot_be_applied_hides_nothing_of_a_full_read(key, value):
    view = View()
    view.put("servers/c", json.dumps(ANNOUNCEMENT).encode())
    view.put("op/config", configuration(2))
    view.put(key, value)
    view.put("servers/z", json.dumps(ANNOUNCEMENT).encode())
    view.read_again()
    assert view.version == (1 if key == "op/config" else 2)
    assert view.targets == {"a", "c", "z"}


def test_a_key_that_a_full_read_lacks_is_removed_beside_one_that_cannot_be_applied():
    view = View()
    view.put("servers/b", NESTED)
    view.put("servers/a", None)
    view.read_again()
    view.clock.advance(3.0)
    assert view.targets == set()


def test_a_skipped_item_is_logged_once_with_its_key_and_revision(caplog):
    view = View()
    revision = view.put("servers/b", NESTED)
    view.mirror.step()
    view.read_again()
    view.read_again()
    (line,) = skip_lines(caplog)
    found = (line.key, line.revision, line.exception, line.levelno)
    assert found == ("servers/b", revision, "RecursionError", logging.ERROR)
    assert view.skipped == ["servers/"]
    view.put("servers/b", b"{")
    view.mirror.step()
    assert len(skip_lines(caplog)) == 2


def test_a_handler_that_always_fails_is_logged_and_hides_no_other_prefix(caplog):
    def fail(_):
        raise RuntimeError("fault")

    view = View(PrefixHandler("y/", fail, fail))
    assert "y/" in [getattr(record, "prefix", "") for record in caplog.records]
    view.put("y/1", b"")
    view.put("op/config", configuration(2))
    view.mirror.step()
    assert view.version == 2
    assert [line.exception for line in skip_lines(caplog)] == ["RuntimeError"]


def test_a_member_record_that_cannot_be_decoded_hides_no_other_record_of_a_full_read():
    fleet = GatewayFleet(["edge-1", "edge-2"])
    fleet.run(3.0)
    fleet.store.put("qr/members/aa", INVALID_RECORD, None)
    fleet.start("edge-3")
    fleet.run(3.0)
    for edge in fleet.instances:
        assert len(edge.gateway.members.roster()) == 3
        assert len(edge.gateway.members.members()) == 3


def test_a_coordinator_is_found_beside_a_record_that_cannot_be_decoded():
    fleet = GatewayFleet(["edge-1", "edge-2"])
    fleet.store.put("qr/members/aa", INVALID_RECORD, None)
    fleet.run(5.0)
    assert any(edge.gateway.failover.is_coordinator for edge in fleet.instances)


@pytest.mark.parametrize("prefix", ["qr/roster/", "qr/leaders/"])
def test_an_instance_that_cannot_read_a_record_uses_no_lease_of_its_own_and_goes_on_trying(prefix):
    fleet = GatewayFleet(["edge-1", "edge-2"])
    fleet.run(3.0)
    fleet.store.put(f"{prefix}aa", INVALID_RECORD, None)
    started = fleet.start("edge-3")
    fleet.run(3.0)
    assert started.gateway.permission.lease_remaining_s <= 0
    assert fleet[0].gateway.permission.lease_remaining_s > 0
    fleet.store.put(f"{prefix}aa", None, None)
    fleet.run(3.0)
    assert started.gateway.permission.lease_remaining_s > 0


@pytest.mark.parametrize("prefix", ["qr/members/", "qr/roster/"])
def test_no_primary_is_replaced_while_a_member_cannot_be_read_and_the_task_goes_on(prefix):
    fleet = GatewayFleet()
    fleet.run(5.0, fleet.all_know_primary)
    fleet.store.put(f"{prefix}aa", INVALID_RECORD, None)
    fleet.group["db-1"].up = False
    fleet.group["db-1"].primary = False
    fleet.run(4.0)
    assert fleet.group.promotions == []
    fleet.store.put(f"{prefix}aa", None, None)
    fleet.run(4.0)
    assert fleet.group.promotions


def replying(reply):
    """Return an instance of a fleet to whose reports a peer answers with a given reply."""
    fleet = GatewayFleet()
    fleet.run(5.0, fleet.all_know_primary)
    edge = fleet[0]
    edge.exchange = lambda address, report, timeout_s: Ok(reply)
    return edge


@pytest.mark.parametrize("encoded", [b"x", NESTED], ids=["not a configuration", "nested"])
def test_a_configuration_of_a_peer_that_cannot_be_decoded_hides_nothing_else(encoded, caplog):
    edge = replying(
        PeerReply(
            instance="edge-2",
            catalog=encoded,
            evacuations=[EvacuationState(data_centre="dc-9", revision=900, active=True)],
        )
    )
    edge.gateway.peering._decode_catalog = decode_catalog
    for _ in range(3):
        edge.gateway.peering._check_catalog()
    assert edge.gateway.evacuations.is_evacuated("dc-9")
    lines = [line for line in caplog.records if line.message == "record of a peer skipped"]
    assert [(line.peer, line.key) for line in lines] == [("edge-2", "configuration")]


def test_a_grant_whose_records_cannot_be_applied_gives_no_permission():
    leader = GroupLeader(group="g", value=INVALID_RECORD, revision=900)
    reply = PeerReply(
        instance="edge-2", grant=PermissionGrant.VOUCHED, valid_ms=1500, leaders=[leader]
    )
    edge = replying(reply)
    assert edge.gateway.peering._requests._apply_grant(reply, edge.fleet.clock.now) == 0.0
    reply.leaders = []
    assert edge.gateway.peering._requests._apply_grant(reply, edge.fleet.clock.now) == 1.5


class FailingLog:
    """The log of changes of a mirror, whose next additions fail."""

    def __init__(self, log):
        self.log = log

    def __getattr__(self, name):
        return getattr(self.log, name)

    def append(self, items, revision, age_s):
        raise RuntimeError("fault")


def fail_view(edge):
    """Let one run of an instance's mirror fail, as a fault in it would."""
    log = edge.mirror._change_log
    edge.mirror._change_log = FailingLog(log)
    with pytest.raises(RuntimeError):
        edge.mirror.run(threading.Event())
    edge.mirror._change_log = log


def test_an_instance_whose_view_fails_is_not_in_touch_and_vouches_for_no_peer(caplog):
    fleet = GatewayFleet()
    fleet.run(5.0, fleet.all_know_primary)
    edge, gateway = fleet[0], fleet[0].gateway
    report = PeerReport(instance="edge-2", asks_permission=True)
    assert gateway.answer_report(report).grant is PermissionGrant.VOUCHED
    fail_view(edge)
    gateway.contact.record_success()
    assert gateway.contact.contact_s == 0
    assert not gateway.change_log.is_watching
    assert gateway.answer_report(report).grant is PermissionGrant.NONE
    fail_view(edge)
    assert sum(line.message == "view of the store failed" for line in caplog.records) == 1
    edge.mirror.step()
    assert gateway.answer_report(report).grant is PermissionGrant.VOUCHED
    fleet.clock.advance(1.0)
    assert gateway.contact.contact_s == 1.0


def test_a_failing_view_of_an_instance_without_a_lease_confirms_no_outage_of_the_store():
    fleet = GatewayFleet()
    fleet.run(5.0, fleet.all_know_primary)
    fail_view(fleet[0])
    fleet.clock.advance(5.0)
    report = PeerReport(instance="edge-2", asks_permission=True)
    assert fleet[0].gateway.permission.lease_remaining_s < 0
    assert fleet[0].gateway.answer_report(report).grant is PermissionGrant.NONE


def view_age_line(gateway):
    lines = gateway.metrics.render().decode().splitlines()
    return next(line for line in lines if line.startswith("quetzalrudder_store_view_age"))


def test_the_age_of_the_view_is_current_whenever_the_metrics_are_rendered():
    fleet = GatewayFleet()
    gateway = fleet[0].gateway
    assert view_age_line(gateway).endswith(" +Inf")
    fleet.run(1.0)
    fleet[0].cut_from_store()
    fleet[0].mirror.step()
    fleet.clock.advance(7.0)
    assert 7.0 <= float(view_age_line(gateway).split()[1]) < 8.0


def test_the_age_of_a_view_through_a_relay_counts_from_the_relays_last_confirmation():
    clock = ManualClock()
    contact = StoreContact(clock)
    contact.record_view(2.0)
    assert contact.view_age_s == 2.0
    contact.record_view(9.0)
    assert contact.view_age_s == 2.0


def poisoned_configurations():
    return [NESTED, b"{", configuration(9, limits={"txIdleMs": -1})]


@pytest.mark.parametrize("value", poisoned_configurations(), ids=["nested", "cut", "negative"])
def test_a_configuration_that_cannot_be_read_leaves_the_one_in_force_and_is_logged_once(
    value, caplog
):
    caplog.set_level(logging.INFO)
    view = View()
    revision = view.put("op/config", value)
    view.mirror.step()
    view.read_again()
    view.read_again()
    assert view.version == 1
    assert [(line.key, line.revision) for line in skip_lines(caplog)] == [("op/config", revision)]
    in_force = [line for line in caplog.records if line.message == "configuration in force"]
    assert [line.version for line in in_force] == [1]
    view.put("op/config", configuration(2))
    view.mirror.step()
    assert view.version == 2


def test_an_older_configuration_never_replaces_a_newer_one():
    view = View()
    view.put("op/config", configuration(5))
    view.mirror.step()
    view.put("op/config", configuration(4))
    view.mirror.step()
    assert view.version == 5
    view.put("op/config", configuration(3))
    view.read_again()
    assert view.version == 5
    view.put("op/config", None)
    view.read_again()
    assert view.version == 5


def test_neither_an_older_configuration_of_a_peer_nor_an_invalid_one_replaces_the_one_in_force():
    reply = PeerReply(instance="edge-2")
    edge = replying(reply)
    peering, catalogs = edge.gateway.peering, edge.gateway.catalogs
    peering._decode_catalog = decode_catalog
    for offered, in_force in ((5, 5), (4, 5), (None, 5), (6, 6)):
        reply.catalog = NESTED if offered is None else configuration(offered)
        peering._check_catalog()
        assert catalogs.current.version == in_force
        assert decode_catalog(catalogs.encoded).version == in_force


def test_an_invalid_configuration_is_not_passed_on_to_peers():
    edge = GatewayFleet()[0]
    catalogs = edge.gateway.catalogs
    handler = catalog_handler(catalogs)
    handler.apply_change(Item("op/config", configuration(3), 1))
    with pytest.raises(MalformedMessage):
        handler.apply_change(Item("op/config", NESTED, 2))
    reply = edge.gateway.answer_report(PeerReport(instance="edge-2", catalog_version=2))
    assert reply.catalog == configuration(3)
