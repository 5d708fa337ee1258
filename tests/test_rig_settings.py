import json

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rig.configuration import catalog_handler, decode_catalog, decode_target, target_handler
from rig.settings import parse_settings

from quetzalrudder.exceptions import InvalidSettings, MalformedMessage
from quetzalrudder.gateway import Consistency, CurrentCatalog, TargetRole
from quetzalrudder.gateway.store import Item
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

CONFIG = {
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
SERVER = {
    "service": "core",
    "addr": "10.128.0.9:8080",
    "zone": "astana-a",
    "slots": 3,
    "state": "ready",
    "dbRole": "replica",
    "sequence": 4,
}


def test_settings_are_read_and_unknown_keys_left_alone():
    cfg = parse_settings(SETTINGS)
    assert cfg.identity.instance == "edge-astana-a-1"
    assert cfg.identity.peer_address == "10.1.0.26:7560"
    assert cfg.store == Address("10.200.1.7", 8466)
    assert cfg.quota_rules.margin == 20


@pytest.mark.parametrize(
    "key", ["nodeName", "zone", "ip", "listen.frontend", "portRange", "platform.addr"]
)
def test_a_missing_key_is_named(key):
    lines = [line for line in SETTINGS.splitlines() if not line.startswith(f"{key}=")]
    with pytest.raises(InvalidSettings) as caught:
        parse_settings("\n".join(lines))
    assert key in str(caught.value)


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
def test_a_wrong_value_is_named_with_its_key(key, value):
    with pytest.raises(InvalidSettings) as caught:
        parse_settings(f"{SETTINGS}\n{key}={value}")
    assert key in str(caught.value)
    assert value in str(caught.value)


def test_a_line_without_a_value_is_named():
    with pytest.raises(InvalidSettings, match="line 1"):
        parse_settings("what is this")


def encoded(value):
    return json.dumps(value).encode()


def test_a_configuration():
    catalog = decode_catalog(encoded(CONFIG))
    route = catalog.routes["prices"]
    assert (route.consistency, route.max_age_ms) == (Consistency.BOUNDED, 1500)
    assert catalog.workspace_by_key == {"k1": "almaty", "k2": "almaty"}
    assert catalog.groups["core"].max_connections == 21
    assert catalog.workspaces["almaty"].burst == 70
    assert (catalog.tx_idle_ms, catalog.greeting_ms) == (2500, 1500)


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b"{}", b"null", b'{"version": 1}'])
def test_a_configuration_that_cannot_be_read_is_refused_and_nothing_changes(value):
    catalogs = CurrentCatalog()
    handler = catalog_handler(catalogs)
    handler.apply_change(Item("op/config", encoded(CONFIG), 1))
    with pytest.raises(MalformedMessage):
        decode_catalog(value)
    handler.apply_change(Item("op/config", value, 2))
    handler.apply_change(Item("op/config", None, 3))
    assert catalogs.current.version == 7


def test_a_database():
    target = decode_target(Item("servers/i-7", encoded(SERVER), 5))
    assert (target.target, target.role, target.draining) == ("i-7", TargetRole.REPLICA, False)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=4,
)


@given(st.sampled_from(sorted(SERVER)), JSON)
def test_a_malformed_entry_names_no_database_and_harms_no_other(field, value):
    registry = TargetRegistry(ManualClock())
    handler = target_handler(registry)
    handler.apply_change(Item("servers/good", encoded(SERVER), 1))
    handler.apply_change(Item("servers/odd", encoded({**SERVER, field: value}), 2))
    handler.apply_change(Item("servers/bytes", b"\xff\x00", 3))
    names = {target.target for target in registry.all_targets()}
    assert "good" in names
    assert "bytes" not in names


def test_a_missing_entry_is_kept_for_a_moment_and_a_drained_one_is_not():
    clock = ManualClock()
    registry = TargetRegistry(clock)
    handler = target_handler(registry)
    handler.apply_change(Item("servers/a", encoded(SERVER), 1))
    handler.apply_change(Item("servers/b", encoded({**SERVER, "state": "draining"}), 1))
    handler.apply_change(Item("servers/a", None, 2))
    handler.apply_change(Item("servers/b", None, 2))
    assert [target.target for target in registry.all_targets()] == ["a"]
    clock.advance(2.6)
    assert registry.all_targets() == []
