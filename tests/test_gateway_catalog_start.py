"""Instances that start without a configuration, as the store holds none that they can use."""

import pytest

from quetzalrudder.gateway.catalog import Catalog
from tests.gateway_fleet import GatewayFleet
from tests.gateway_paced_fleet import PacedFleet


@pytest.fixture(params=[3, 18])
def fleet(request):
    started = GatewayFleet() if request.param == 3 else PacedFleet(request.param)
    started.run(8.0)
    return started


@pytest.mark.parametrize("is_coordinator", [True, False])
def test_an_instance_without_a_configuration_gets_one_from_any_peer(fleet, is_coordinator):
    # It asked the failover coordinator only, which it was itself, and nobody in a large fleet.
    edge = next(
        instance
        for instance in fleet.instances
        if instance.gateway.failover.is_coordinator == is_coordinator
    )
    edge.gateway.catalogs._current = Catalog()
    assert fleet.run(3.0, lambda: edge.gateway.catalogs.current.version > 0) is not None
