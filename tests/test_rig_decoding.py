"""Mutated configurations, announcements and records: refused, or usable by all later code."""

import copy
import itertools
import json
import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from rig.configuration import decode_catalog, decode_target

from quetzalrudder.exceptions import MalformedMessage, QuetzalrudderError
from quetzalrudder.gateway import records
from quetzalrudder.gateway.slot_share import slot_parts
from quetzalrudder.gateway.statements import Read
from quetzalrudder.gateway.store import Item
from quetzalrudder.gateway.store_contact import describe_failure
from quetzalrudder.schema.gateway import PeerReport, RunRequest, Wanted
from tests.gateway_fleet import GatewayFleet
from tests.test_gateway_mirror import View, configuration
from tests.test_rig_settings import ANNOUNCEMENT, CONFIGURATION

ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**400), 10**400),
    st.floats(),
    st.text(st.characters(), max_size=4),
    st.sampled_from(["", "\ud800", "a\r\nb", "ключ", "1", ":80", "h:0", "h:²", "a..b:1", "\0:1"]),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.none(), max_size=2),
)


def paths(value, path=()):
    """Return the paths of all values inside a JSON value."""
    match value:
        case dict():
            found = value.items()
        case list():
            found = enumerate(value)
        case _:
            return [path]
    inner = [place for key, item in found for place in paths(item, (*path, key))]
    return [*inner, path] if path else inner


@st.composite
def mutations(draw, valid):
    """Return an encoded JSON value in which up to two values are replaced or removed."""
    value = copy.deepcopy(valid)
    for _ in range(draw(st.integers(1, 2))):
        *parents, last = draw(st.sampled_from(paths(value)))
        place = value
        for key in parents:
            place = place[key]
        if draw(st.integers(0, 5)) == 0:
            del place[last]
        else:
            place[last] = draw(ODD_VALUES)
        if not paths(value):
            break
    return json.dumps(value).encode()


def check_name(text):
    assert text
    assert "\r" not in text
    assert "\n" not in text
    text.encode()


def check_usable(catalog):
    """Use all values in the ways of the code that gets them."""
    bytes(PeerReport(catalog_version=catalog.version))
    waits_ms = [catalog.tx_idle_ms, catalog.greeting_ms]
    for route in catalog.routes.values():
        check_name(route.database)
        check_name(route.group)
        bytes(RunRequest(timeout_ms=route.timeout_ms))
        bytes(Wanted(priority=route.priority, wanted_ms=route.objective_ms))
        waits_ms += [route.timeout_ms, route.objective_ms, route.max_age_ms]
    for wait_ms in waits_ms:
        assert 0 <= wait_ms / 1000 <= threading.TIMEOUT_MAX
    for group in catalog.groups.values():
        assert int(group.max_connections * 0.8) >= 0
        assert 0 <= group.cold_rate_per_s < 1e300
    for workspace in catalog.workspaces.values():
        check_name(workspace.workspace)
        assert 0 < workspace.rate_per_s < 1e300
        assert 0 <= workspace.burst < 1e300
    for key, name in catalog.workspace_by_key.items():
        check_name(key)
        check_name(name)


@given(mutations(CONFIGURATION))
def test_a_mutated_configuration_is_refused_or_usable(value):
    try:
        catalog = decode_catalog(value)
    except MalformedMessage as exc:
        assert len(str(exc)) < 500
        return
    check_usable(catalog)


LIVE = json.loads(json.dumps(CONFIGURATION).replace('"core"', '"g"')) | {"version": 1}
LIVE["routes"].append({**LIVE["routes"][0], "host": "offers", "kind": "primary"})


@pytest.fixture(scope="module")
def fleet():
    started = GatewayFleet(("edge-1",))
    started.run(3.0, started.all_know_primary)
    return started


@settings(max_examples=500)
@given(value=mutations(LIVE))
def test_an_instance_works_with_every_configuration_that_is_not_refused(fleet, value):
    gateway = fleet[0].gateway
    try:
        catalog = decode_catalog(value)
    except MalformedMessage:
        return
    gateway.catalogs._current = catalog
    for database, key in itertools.product(catalog.routes, [*catalog.workspace_by_key, "none"]):
        gateway.open_session(database, key).execute("r", Read("a"))
    for target in fleet.group.infos():
        gateway._connection_limit(target)
        gateway._cold_rate_per_s(target.group)
    gateway.catalogs.weight_of("almaty")
    fleet.run(0.3)


@settings(max_examples=500)
@given(st.lists(st.tuples(st.booleans(), mutations(LIVE), mutations(ANNOUNCEMENT)), max_size=3))
def test_no_mutated_items_hide_a_later_configuration(items):
    view = View()
    for is_configuration, configured, announced in items:
        if is_configuration:
            view.put("op/config", configured)
        else:
            view.put("servers/a", announced)
    view.put("op/config", configuration(2**63 - 1))
    view.mirror.step()
    assert view.version == 2**63 - 1
    assert view.mirror.revision == view.store.revision


@given(mutations(ANNOUNCEMENT | {"born": 1_764_000_000_000, "coldLeftMs": 100}))
def test_a_mutated_announcement_is_refused_or_usable(value):
    try:
        target = decode_target(Item("servers/i-1", value, 1))
    except MalformedMessage as exc:
        assert len(str(exc)) < 500
        return
    check_name(target.group)
    target.group.encode("latin-1")
    target.data_centre.encode()
    target.address.host.encode("idna")
    assert "\0" not in target.address.host
    assert 0 <= target.cold_left_s <= threading.TIMEOUT_MAX
    assert sum(slot_parts(target.slots, 2)) >= target.slots >= 0
    assert not isinstance(target.slots, bool)


@given(st.binary(max_size=40))
def test_any_bytes_are_refused_or_an_announcement(value):
    for decode in (decode_catalog, lambda found: decode_target(Item("servers/a", found, 1))):
        with pytest.raises(MalformedMessage):
            decode(value)


@given(st.binary(max_size=40), st.integers(1, 2**62))
def test_any_bytes_are_refused_or_a_record_that_can_be_written_again(value, revision):
    for name, key in (
        ("member", "qr/members/a"),
        ("roster", "qr/roster/a"),
        ("primary", "qr/leaders/g"),
        ("coordinator", "qr/duty"),
    ):
        try:
            record = getattr(records, f"decode_{name}")(Item(key, value, revision))
        except QuetzalrudderError as exc:
            assert isinstance(exc, MalformedMessage)
            continue
        getattr(records, f"encode_{name}")(record)


def changed(path, value):
    raw = copy.deepcopy(CONFIGURATION)
    place = raw
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = value
    return json.dumps(raw).encode()


TENANT = ("tenants", 0)
ROUTE = ("routes", 0)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), True),
        (("version",), "7"),
        (("version",), -1),
        (("version",), 2**70),
        ((*ROUTE, "timeoutMs"), 1e999),
        ((*ROUTE, "timeoutMs"), 10**400),
        ((*ROUTE, "goalMs"), -5),
        ((*ROUTE, "priority"), None),
        ((*ROUTE, "host"), None),
        ((*ROUTE, "host"), ""),
        ((*ROUTE, "host"), "a\r\nQUIT"),
        ((*ROUTE, "host"), "\ud800"),
        ((*ROUTE, "service"), 4),
        ((*ROUTE, "public"), "false"),
        (("services", 0, "maxConns"), [20]),
        (("services", 0, "coldPerS"), -1),
        (("limits", "txIdleMs"), float("nan")),
        (("limits",), [1]),
        ((*TENANT, "apiKeys"), "k1"),
        ((*TENANT, "apiKeys"), [None]),
        ((*TENANT, "ratePerS"), True),
        ((*TENANT, "ratePerS"), -1),
        ((*TENANT, "burst"), float("inf")),
        (("routes",), {"a": 1}),
        (("tenants",), {"a": 1}),
    ],
)
def test_a_configuration_that_cannot_be_used_is_refused(path, value):
    with pytest.raises(MalformedMessage):
        decode_catalog(changed(path, value))


@pytest.mark.parametrize("keys", ["secret", ["secret\n"], ["secret\ud800"], {"secret": 1}])
def test_a_configuration_that_is_refused_for_its_keys_is_refused_without_naming_them(keys):
    with pytest.raises(MalformedMessage) as raised:
        decode_catalog(changed((*TENANT, "apiKeys"), keys))
    assert "secret" not in str(describe_failure(raised.value))


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("version",), 7.0),
        ((*ROUTE, "maxStalenessMs"), None),
        ((*ROUTE, "host"), "цены".encode().decode("latin-1")),
        ((*ROUTE, "public"), None),
        ((*ROUTE, "name"), "\ud800"),
        (("services", 0, "maxConns"), None),
        (("limits",), None),
        (("limits", "txIdleMs"), 0),
        (("limits", "unknown"), [[[1e999]]]),
        (("tenants",), None),
        ((*TENANT, "name"), "ключ"),
        ((*ROUTE, "service"), "ключ"),
        ((*TENANT, "ratePerS"), 0),
        ((*TENANT, "ratePerS"), 1e12),
        ((*TENANT, "apiKeys"), []),
        ((*TENANT, "apiKeys"), ["a key with blanks", "é"]),
    ],
)
def test_a_configuration_with_a_default_or_an_unusual_value_is_accepted(path, value):
    assert decode_catalog(changed(path, value)).version == 7


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", 4),
        ("service", "ключ"),
        ("addr", ":80"),
        ("addr", "a b:80"),
        ("addr", "a..b:80"),
        ("addr", f"{'a' * 64}:80"),
        ("zone", "\ud800"),
        ("slots", True),
        ("slots", "3"),
        ("slots", -1),
        ("slots", 2.5),
        ("slots", 1e18),
        ("dbRole", []),
        ("state", "gone"),
        ("born", 1e999),
        ("coldLeftMs", 1e300),
    ],
)
def test_an_announcement_that_cannot_be_used_is_refused(field, value):
    with pytest.raises(MalformedMessage):
        decode_target(Item("servers/a", json.dumps({**ANNOUNCEMENT, field: value}).encode(), 1))


@pytest.mark.parametrize("decode", [decode_catalog, lambda v: decode_target(Item("a", v, 1))])
@pytest.mark.parametrize("value", [b"[" * 100_000, b'{"a":' * 100_000, b"9" * 5000])
def test_a_deeply_nested_value_is_refused(decode, value):
    with pytest.raises(MalformedMessage):
        decode(value)
