"""Instances that start while the store holds a configuration that cannot be used."""

import pytest

from tests.test_edge_program import (  # noqa: F401
    DONE,
    Caller,
    EdgeProcess,
    deployment_build,
    edge,
    platform,
)
from tests.test_store_view import configuration, wait_for_greeting


@pytest.fixture
def started(edge, platform, tmp_path):  # noqa: F811
    """Return a second process, started after the store got a configuration without a use."""
    with platform.lock:
        platform.store.put("op/config", configuration(9, "added").replace(b"4000", b"-1"), None)
    place = tmp_path / "edge-2"
    place.mkdir()
    process = EdgeProcess(platform, place, name="edge-2", zone="dc-1")
    yield process
    if process.process.poll() is None:
        process.process.kill()
        process.process.wait()


def test_an_instance_that_starts_beside_an_unreadable_configuration_serves_its_peers_one(
    started,
    platform,  # noqa: F811
):
    started.wait_ready()
    assert Caller(started.frontend, "offers").query_until("PUT a 1", DONE) == DONE
    assert Caller(started.frontend, "added").greeting.startswith("ERR BUSY ")
    with platform.lock:
        platform.store.put("op/config", configuration(11, "added"), None)
    assert wait_for_greeting(started, "added", "READY").startswith("READY")
