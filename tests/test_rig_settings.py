"""Decoding of the settings file, the operators' configuration and the announcements."""

import json
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rig.configuration import (
    catalog_handler,
    decode_catalog,
    decode_target,
    evacuation_handler,
    target_handler,
)
from rig.settings import parse_account_interval, parse_crossing_price, parse_settings

from quetzalrudder.exceptions import InvalidSettings, MalformedMessage
from quetzalrudder.gateway import Consistency, CrossingPrice, CurrentCatalog, TargetRole
from quetzalrudder.gateway.evacuation import EvacuationTable
from quetzalrudder.gateway.store import Item
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.targets import TargetRegistry
from quetzalrudder.utils import Address
from tests.clocks import ManualClock

SETTINGS = """
nodeName=edge-astana-a-1
ip=10.1.0.26
zone=astana-a
listen.frontend=10.1.0.26:8465
listen.readiness=10.1.0.26:8460
portRange=7560,7575
bounds.graceS=6
bounds.quotaWindowS=5
bounds.quotaExcess=0.1
bounds.quotaMargin=20
platform.addr=10.200.1.7:8466
provider.addr=10.200.0.2:8466
something.new=1,2,3
"""

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "prices",
            "kind": "bounded",
            "timeoutMs": 2000,
            "goalMs": 600,
            "priority": 2,
            "service": "core",
            "maxStalenessMs": 1500,
            "public": False,
        }
    ],
    "services": [{"name": "core", "maxConns": 21, "syncReplicas": 0}],
    "limits": {"txIdleMs": 2500, "headerTimeoutMs": 1500},
    "tenants": [{"name": "almaty", "apiKeys": ["k1", "k2"], "ratePerS": 71, "burst": 70}],
}
ANNOUNCEMENT = {
    "service": "core",
    "addr": "10.128.0.9:8080",
    "zone": "astana-a",
    "slots": 3,
    "state": "ready",
    "dbRole": "replica",
    "sequence": 4,
}


def test_settings_are_parsed_and_unknown_keys_ignored():
    cfg = parse_settings(SETTINGS)
    assert cfg.identity.instance == "edge-astana-a-1"
    assert cfg.identity.peer_address == "10.1.0.26:7560"
    assert cfg.store == Address("10.200.1.7", 8466)
    assert cfg.quota_rules.margin == 20
    assert cfg.evacuation_limit_s == 5.0
    assert parse_settings(SETTINGS + "bounds.evacuateMs=8000").evacuation_limit_s == 8.0


@pytest.mark.parametrize(
    "key", ["nodeName", "zone", "ip", "listen.frontend", "portRange", "platform.addr"]
)
def test_error_names_the_missing_key(key):
    lines = [line for line in SETTINGS.splitlines() if not line.startswith(f"{key}=")]
    with pytest.raises(InvalidSettings) as excinfo:
        parse_settings("\n".join(lines))
    assert key in str(excinfo.value)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("listen.frontend", "nowhere"),
        ("bounds.graceS", "long"),
        ("bounds.graceS", "-1"),
        ("bounds.quotaMargin", "nan"),
        ("portRange", "x"),
    ],
)
def test_error_names_the_key_and_its_invalid_value(key, value):
    with pytest.raises(InvalidSettings) as excinfo:
        parse_settings(f"{SETTINGS}\n{key}={value}")
    assert key in str(excinfo.value)
    assert value in str(excinfo.value)


def test_error_names_a_line_without_equals_sign():
    with pytest.raises(InvalidSettings, match="line 1"):
        parse_settings("what is this")


def encode_json(value):
    return json.dumps(value).encode()


def test_configuration_is_decoded():
    catalog = decode_catalog(encode_json(CONFIGURATION))
    route = catalog.routes["prices"]
    assert (route.consistency, route.max_age_ms) == (Consistency.BOUNDED, 1500)
    assert catalog.workspace_by_key == {"k1": "almaty", "k2": "almaty"}
    assert catalog.groups["core"].max_connections == 21
    assert catalog.workspaces["almaty"].burst == 70
    assert (catalog.tx_idle_ms, catalog.greeting_ms) == (2500, 1500)


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b"{}", b"null", b'{"version": 1}'])
def test_invalid_configuration_is_rejected_and_the_current_one_is_kept(value):
    catalogs = CurrentCatalog()
    handler = catalog_handler(catalogs)
    handler.apply_change(Item("op/config", encode_json(CONFIGURATION), 1))
    with pytest.raises(MalformedMessage):
        decode_catalog(value)
    with pytest.raises(MalformedMessage):
        handler.apply_change(Item("op/config", value, 2))
    handler.apply_change(Item("op/config", None, 3))
    assert catalogs.current.version == 7


def test_announcement_is_decoded():
    target = decode_target(Item("servers/i-7", encode_json(ANNOUNCEMENT), 5))
    assert (target.target, target.role, target.draining) == ("i-7", TargetRole.REPLICA, False)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=4,
)


@given(st.sampled_from(sorted(ANNOUNCEMENT)), json_values)
def test_malformed_announcement_does_not_affect_other_targets(field, value):
    registry = TargetRegistry(ManualClock())
    handler = target_handler(registry)
    handler.apply_change(Item("servers/good", encode_json(ANNOUNCEMENT), 1))
    with suppress(MalformedMessage):
        handler.apply_change(Item("servers/odd", encode_json({**ANNOUNCEMENT, field: value}), 2))
    with pytest.raises(MalformedMessage):
        handler.apply_change(Item("servers/bytes", b"\xff\x00", 3))
    names = {target.target for target in registry.all_targets()}
    assert "good" in names
    assert "bytes" not in names


def test_deleted_target_is_kept_briefly_and_serves_unless_it_was_draining():
    clock = ManualClock()
    registry = TargetRegistry(clock)
    handler = target_handler(registry)
    handler.apply_change(Item("servers/a", encode_json(ANNOUNCEMENT), 1))
    handler.apply_change(Item("servers/b", encode_json({**ANNOUNCEMENT, "state": "draining"}), 1))
    handler.apply_change(Item("servers/a", None, 2))
    handler.apply_change(Item("servers/b", None, 2))
    assert [target.target for target in registry.serving_targets()] == ["a"]
    assert [target.target for target in registry.all_targets()] == ["a", "b"]
    clock.advance(2.6)
    assert registry.all_targets() == []


def test_each_key_of_an_evacuation_counts_until_it_is_deleted():
    evacuations = EvacuationTable(StoreContact(ManualClock()), ManualClock())
    handler = evacuation_handler(evacuations)
    handler.note_revision(4)
    handler.replace_all([Item("op/evacuate/a", b"{}", 2), Item("op/evacuate/b", b"?", 3)])
    handler.apply_change(Item("op/evacuate/a", None, 5))
    assert [evacuations.is_evacuated(name) for name in ("a", "b", "c")] == [False, True, False]
    handler.note_revision(6)
    handler.replace_all([])
    assert not evacuations.is_evacuated("b")


def test_the_rate_and_the_time_of_a_cold_database_are_decoded():
    cfg = parse_settings(SETTINGS + "bounds.coldExcess=1.5\nbounds.coldMargin=5\n")
    assert (cfg.quota_rules.cold_excess, cfg.quota_rules.cold_margin) == (1.5, 5.0)
    service = {**CONFIGURATION["services"][0], "coldPerS": 40, "coldStartS": 10}
    groups = decode_catalog(encode_json({**CONFIGURATION, "services": [service]})).groups
    assert groups["core"].cold_rate_per_s == 40.0
    assert decode_catalog(encode_json(CONFIGURATION)).groups["core"].cold_rate_per_s == 0.0
    item = Item("servers/a", encode_json({**ANNOUNCEMENT, "coldLeftMs": 2500}), 1)
    assert decode_target(item).cold_left_s == 2.5
    with pytest.raises(MalformedMessage):
        decode_target(Item("servers/a", encode_json({**ANNOUNCEMENT, "coldLeftMs": 1e999}), 1))


@pytest.mark.parametrize("text", ["1", "1,2,3", "a,1", "-1,0", "inf,0", "nan,0", ","])
def test_a_wrong_crossing_price_is_refused_with_the_variable(text):
    with pytest.raises(InvalidSettings) as caught:
        parse_crossing_price(text)
    assert caught.value.place == "QUETZALRUDDER_CROSSING_PRICE"


def test_without_a_crossing_price_only_time_counts():
    assert parse_crossing_price("") is None
    assert parse_crossing_price("none") is None
    assert parse_crossing_price("0, 2.5") == CrossingPrice(0.0, 2.5)


@pytest.mark.parametrize("text", ["abc", "-1", "nan", "inf"])
def test_an_invalid_interval_of_the_processor_account_is_refused(text):
    with pytest.raises(InvalidSettings, match="not a number of seconds"):
        parse_account_interval(text)


def test_no_processor_account_is_kept_by_default():
    assert parse_account_interval("") == 0
