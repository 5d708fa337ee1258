"""Every configuration that the users' pages allow is taken, whole."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st
from rig.configuration import catalog_handler

from quetzalrudder.gateway import CurrentCatalog
from quetzalrudder.gateway.store import Item
from tests.test_rig_decoding import check_usable
from tests.test_rig_settings import CONFIGURATION

MAX_EXACT = 2**53
VALUE_BYTES = 1_048_576

COUNTS = st.one_of(
    st.sampled_from([0, 0.0, -0.0, 0.5, 1e-9, 2**31 - 1, 2**31, 10_000_000_000, MAX_EXACT]),
    st.integers(0, MAX_EXACT),
    st.floats(0, MAX_EXACT),
)
# Few of them, so that some are there twice.
NAMES = st.one_of(
    st.sampled_from(["a", "A", "a.b", "shop.example", "with blanks", "ключ", "é", "\0", "价格"]),
    st.text(
        st.characters(exclude_categories=["Cs"], exclude_characters="\r\n"), min_size=1, max_size=3
    ),
)
OTHER_VALUES = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=4,
)
OTHER_FIELDS = st.dictionaries(st.sampled_from(["", "homes", "x-y", "prefix"]), OTHER_VALUES)


def objects(required, optional):
    """Return objects with all required fields, some of the optional ones, and unknown ones."""
    known = st.fixed_dictionaries(required, optional=optional)
    return st.tuples(OTHER_FIELDS, known).map(lambda pair: pair[0] | pair[1])


ROUTES = objects(
    {
        "host": NAMES,
        "service": NAMES,
        "kind": st.sampled_from(["primary", "bounded", "session"]),
        "timeoutMs": COUNTS,
        "goalMs": COUNTS,
        "priority": COUNTS,
    },
    {"maxStalenessMs": st.none() | COUNTS, "public": st.none() | st.booleans()},
)
SERVICES = objects(
    {"name": NAMES}, {"maxConns": st.none() | COUNTS, "coldPerS": st.none() | COUNTS}
)
TENANTS = objects(
    {"name": NAMES},
    {
        "apiKeys": st.none() | st.lists(NAMES, max_size=3),
        "ratePerS": st.none() | COUNTS,
        "burst": st.none() | COUNTS,
    },
)
LIMITS = objects({}, {"txIdleMs": st.none() | COUNTS, "headerTimeoutMs": st.none() | COUNTS})
CONFIGURATIONS = objects(
    {
        "version": st.sampled_from([1, 7.0, 2**31, 2**63 - 1]) | st.integers(1, 2**63 - 1),
        "routes": st.lists(ROUTES, max_size=4),
        "services": st.lists(SERVICES, max_size=3),
    },
    {
        "tenants": st.none() | st.lists(TENANTS, max_size=4),
        "limits": st.none() | LIMITS,
    },
)


def take(raw):
    """Return the catalog in force after the operator's write."""
    catalogs = CurrentCatalog()
    value = json.dumps(raw).encode()
    catalog_handler(catalogs).apply_change(Item("op/config", value, 1))
    assert not catalogs.is_superseded
    return catalogs.current


@settings(max_examples=500)
@given(CONFIGURATIONS)
def test_no_configuration_that_the_pages_allow_is_refused(raw):
    catalog = take(raw)
    assert catalog.version == raw["version"]
    assert set(catalog.routes) == {route["host"] for route in raw["routes"]}
    assert set(catalog.groups) == {service["name"] for service in raw["services"]}
    tenants = raw.get("tenants") or []
    keys = {key for tenant in tenants for key in tenant.get("apiKeys") or []}
    assert set(catalog.workspace_by_key) == keys
    check_usable(catalog)


def test_a_configuration_as_large_as_a_value_of_the_store_is_taken():
    (route,) = CONFIGURATION["routes"]
    each_bytes = len(", ".join(["", json.dumps({**route, "host": "shop-00000"})]))
    count = VALUE_BYTES // each_bytes - 10
    routes = [{**route, "host": f"shop-{number:05}"} for number in range(count)]
    raw = {**CONFIGURATION, "routes": routes}
    assert 0.98 * VALUE_BYTES < len(json.dumps(raw)) <= VALUE_BYTES
    assert len(take(raw).routes) == count
