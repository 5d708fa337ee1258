"""How an instance without the store gets a newer configuration from its peers."""

import pytest
from result import Err, Ok
from rig.configuration import evacuation_handler

from quetzalrudder.exceptions import LinkLost
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.instance import DEFAULT_CONVERGENCE_S
from quetzalrudder.gateway.mirror import PrefixHandler
from quetzalrudder.gateway.relays import relays_of
from quetzalrudder.schema.gateway import PeerReply, PeerReport
from tests.gateway_fleet import FleetInstance, GatewayFleet, catalog

# 2 Mbit/s, and a configuration of some hundred routes.
LINK_BYTES_PER_S = 250_000
CATALOG_BYTES = 40_000


class NarrowInstance(FleetInstance):
    """An instance to which the replies of peers come over a narrow link."""

    def __init__(self, *args):
        self.link_busy_until = 0.0
        self.received_catalogs = 0
        super().__init__(*args)

    def _receive(self, results, timeout_s):
        """Return replies that share the link, or time-outs if they arrive too late."""
        now = self.fleet.clock.now
        replies = [result.ok_value for result in results if isinstance(result, Ok)]
        self.received_catalogs += sum(bool(reply.catalog) for reply in replies)
        size = sum(len(bytes(reply)) for reply in replies)
        self.link_busy_until = max(now, self.link_busy_until) + size / LINK_BYTES_PER_S
        if self.link_busy_until - now > timeout_s:
            return [Err(LinkLost("no answer in time")) for _ in results]
        return results

    def exchange(self, address, report, timeout_s):
        return self._receive([super().exchange(address, report, timeout_s)], timeout_s)[0]

    def exchange_all(self, reports, timeout_s, patience_s=0.0):
        results = [FleetInstance.exchange(self, *report, timeout_s) for report in reports]
        yield from enumerate(self._receive(results, timeout_s))


class NarrowFleet(GatewayFleet):
    def start(self, name, seed=0):
        self.instances = [instance for instance in self.instances if instance.name != name]
        started = NarrowInstance(self, name, seed, self.data_centre(name))
        self.instances.append(started)
        self.by_name[name] = started
        return started

    def handlers(self, gateway):
        def apply_change(item):
            gateway.catalogs.update_if_newer(catalog(int(item.value)), item.value)

        def replace_all(items):
            for item in items:
                apply_change(item)

        return [
            PrefixHandler("op/config", replace_all, apply_change),
            evacuation_handler(gateway.evacuations),
        ]

    def publish(self, version):
        self.store.put("op/config", str(version).encode().ljust(CATALOG_BYTES), None)


@pytest.fixture(params=[3, LARGE_FLEET + 2], ids=["small fleet", "large fleet"])
def fleet(request):
    started = NarrowFleet([f"edge-{number}" for number in range(request.param)])
    started.publish(2)
    started.run(8.0, started.all_know_primary)
    started.run(4.0)
    return started


def test_changed_configurations_do_not_take_the_link_of_an_instance_without_the_store(fleet):
    # Each peer sent the whole configuration with each reply to a request for permission: none of
    # them arrived in time, and the instance had neither permission nor the configuration.
    # In a large fleet, one that watches the store for others.
    edge = fleet.by_name[relays_of(fleet[0].gateway.view, "dc-0")[0].instance]
    edge.cut_from_store()
    lacking_s = 0.0
    for version in range(3, 9):
        fleet.publish(version)
        for _ in range(20):
            fleet.run(0.05)
            lacking_s += 0 if edge.gateway.permission.valid else 0.05
    assert lacking_s == 0
    assert not edge.gateway.isolated
    catalogs = edge.gateway.catalogs
    assert fleet.run(DEFAULT_CONVERGENCE_S, lambda: catalogs.current.version == 8) is not None
    assert edge.received_catalogs <= 8


def replying(fleet, reply):
    """Return the first instance, to whose reports peers answer with given replies."""
    edge = fleet[0]
    edge.reports = []

    def exchange(address, report, timeout_s):
        edge.reports.append(report)
        return reply(report)

    edge.exchange = exchange
    return edge


def test_a_configuration_that_cannot_be_fetched_is_asked_for_seldom(fleet):
    offered = PeerReply(instance="edge-1", catalog_version=9)
    edge = replying(fleet, lambda report: Ok(offered))
    for _ in range(200):
        edge.gateway.peering._apply_reply(offered)
        fleet.clock.advance(0.05)
    # Within 10 s, after pauses of 0.5, 1, 2 and 4 s.
    assert 4 <= len(edge.reports) <= 5


def test_a_peer_of_an_earlier_build_is_asked_for_its_configuration(fleet):
    def reply(report):
        newer = report.catalog_version < 9
        return Ok(PeerReply(instance="edge-1", catalog=b"9" if newer else b""))

    edge = replying(fleet, reply)
    edge.gateway.peering._apply_reply(PeerReply(instance="edge-1"))
    assert edge.gateway.catalogs.current.version == 9
    assert len(edge.reports) == 1


def test_a_peer_of_an_earlier_build_gets_a_newer_configuration_in_the_reply(fleet):
    report = PeerReport(instance="edge-9", asks_permission=True, catalog_version=1)
    reply = fleet[0].gateway.answer_report(report)
    assert int(reply.catalog) == reply.catalog_version == 2


def fetch_from_second(fleet, first):
    """Have two peers answer every 0.2 s for 20 s; only the second can send its configuration.

    Returns the addresses that were asked for it.
    """
    edge, asked, started = fleet[0], [], fleet.clock.now

    def exchange(address, report, timeout_s):
        asked.append(address)
        if address == first.instance:
            fleet.clock.advance(timeout_s if first.catalog_version else 0.0)
            return Err(LinkLost("no answer in time")) if first.catalog_version else Ok(first)
        return Ok(PeerReply(instance=address, catalog_version=9, catalog=b"9"))

    edge.exchange = exchange
    while fleet.clock.now - started < 20.0 and edge.gateway.catalogs.current.version < 9:
        edge.gateway.peering._apply_reply(first)
        edge.gateway.peering._apply_reply(PeerReply(instance="edge-2", catalog_version=9))
        fleet.clock.advance(0.2)
    return asked


def test_a_peer_that_cannot_send_its_configuration_does_not_keep_out_that_of_another(fleet):
    asked = fetch_from_second(fleet, PeerReply(instance="edge-1", catalog_version=9))
    assert "edge-2" in asked
    assert fleet[0].gateway.catalogs.current.version == 9


def test_a_peer_of_an_earlier_build_does_not_keep_out_a_newer_configuration_of_another(fleet):
    asked = fetch_from_second(fleet, PeerReply(instance="edge-1"))
    assert "edge-2" in asked
    assert fleet[0].gateway.catalogs.current.version == 9


def test_a_configuration_that_cannot_be_fetched_for_hours_is_still_asked_for_seldom(fleet):
    offered = PeerReply(instance="edge-1", catalog_version=9)
    edge = replying(fleet, lambda report: Ok(offered))
    for _ in range(1500):
        edge.gateway.peering._apply_reply(offered)
        fleet.clock.advance(4.0)
    assert len(edge.reports) == 1500


def test_peers_of_an_earlier_build_do_not_lengthen_the_pause_after_a_failed_fetch(fleet):
    edge = replying(fleet, lambda report: Ok(PeerReply(instance="edge-1")))
    for _ in range(60):
        edge.gateway.peering._apply_reply(PeerReply(instance="edge-1"))
        fleet.clock.advance(1.0)
    offered = PeerReply(instance="edge-1", catalog_version=9)
    edge.gateway.peering._apply_reply(offered)
    asked = len(edge.reports)
    fleet.clock.advance(0.6)
    edge.gateway.peering._apply_reply(offered)
    assert len(edge.reports) == asked + 1
