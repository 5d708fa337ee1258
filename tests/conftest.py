from pathlib import Path

import pytest
from hypothesis import settings

from quetzalrudder.operator_keys import KEY_VARIABLE
from standins.demo import STEPPE_SETTINGS
from standins.deployments import Deployment
from standins.fleet import OPERATOR_KEY, Fleet

KNOWN_RED = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")

SMALL_DEPLOYMENT = Deployment(
    name="steppe",
    data_centres=("astana-a", "astana-b", "karaganda"),
    groups=("valuation-core-1", "valuation-core-2"),
    databases_per_group=3,
    slots=3,
    connection_limit=20,
    workspaces=("steppe/branch-1", "steppe/branch-2"),
    instances_per_data_centre=1,
)


def known_failing_tests() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split()[0].rstrip(":") for line in lines if line.startswith("tests/")}


def pytest_collection_modifyitems(items):
    known_failing = known_failing_tests()
    for item in items:
        if item.nodeid in known_failing:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", run=False))


@pytest.fixture(autouse=True)
def operator_key(monkeypatch):
    """Set the operators' key in the environment, as an operator's shell does."""
    monkeypatch.setenv(KEY_VARIABLE, OPERATOR_KEY)


@pytest.fixture(scope="module")
def fleet():
    with Fleet(SMALL_DEPLOYMENT, STEPPE_SETTINGS) as started:
        yield started
