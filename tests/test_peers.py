from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack

import pytest
from result import Err, Ok

from quetzalrudder.bridge import Listener, Loop
from quetzalrudder.exceptions import Conflict, MalformedMessage, OutcomeUnknown
from quetzalrudder.membership import LOCAL_FAN_OUT, REMOTE_FAN_OUT, Membership
from quetzalrudder.peers import PeerLinks, PeerService
from quetzalrudder.schema.peers import Digest, SettingsRequest
from quetzalrudder.schema.platform import InstanceEntry
from quetzalrudder.timeline import HybridClock
from quetzalrudder.utils import SystemClock, parse_address
from standins.fleet import free_addresses
from standins.network import Network, Relay


def instance_entry(name, data_centre, address="127.0.0.1:1"):
    return InstanceEntry(instance=name, data_centre=data_centre, control_address=address)


@pytest.fixture
def pair():
    """Links of two instances in different data centres, and the network between them."""
    with ExitStack() as stack:
        address_one, address_two, relay_address = free_addresses(3)
        relay = Relay("bern-a", "basel-c", parse_address(relay_address), parse_address(address_two))
        network = stack.enter_context(Network([relay]))
        loop = stack.enter_context(Loop())
        executor = stack.enter_context(ThreadPoolExecutor(8))
        links = {}
        for name, data_centre, address, other in (
            ("one", "bern-a", address_one, instance_entry("two", "basel-c", relay_address)),
            ("two", "basel-c", address_two, instance_entry("one", "bern-a", address_one)),
        ):
            membership = Membership(name, data_centre)
            membership.set_platform_list([instance_entry(name, data_centre, address), other])
            clock = HybridClock(SystemClock())
            links[name] = stack.enter_context(PeerLinks(loop, name, data_centre, membership, clock))
            service = PeerService(loop, links[name], executor)
            stack.enter_context(Listener(loop, parse_address(address), [service]))
        yield links["one"], links["two"], network


def test_handler_gets_the_peers_name_and_its_answer_is_returned(pair):
    one, two, _ = pair
    requesting_peers = []

    def answer(peer, digest):
        requesting_peers.append(peer)
        return Digest(settings_revision=digest.settings_revision + 1)

    two.register_handler(Digest, answer)
    assert one.request("two", Digest(settings_revision=6), 5) == Ok(Digest(settings_revision=7))
    assert requesting_peers == ["one"]


def test_errors_of_a_handler_reach_the_requesting_instance(pair):
    one, two, _ = pair

    def refuse(peer, req):
        raise Conflict("no", place="here")

    two.register_handler(SettingsRequest, refuse)
    match one.request("two", SettingsRequest(), 5):
        case Err(Conflict() as exc):
            assert exc.place == "here"
        case other:
            pytest.fail(f"unexpected {other}")
    assert isinstance(one.request("two", Digest(), 5).err_value, MalformedMessage)
    assert one.request("nobody", Digest(), 5).is_err()


def test_request_fails_during_a_partition_and_succeeds_after_it_heals(pair):
    one, two, network = pair
    two.register_handler(Digest, lambda peer, digest: Digest())
    assert one.request("two", Digest(), 5).is_ok()
    network.cut("bern-a", "basel-c")
    assert isinstance(one.request("two", Digest(), 0.2).err_value, OutcomeUnknown)
    network.heal()
    assert one.request("two", Digest(), 5).is_ok()


@pytest.mark.parametrize("per_data_centre", [1, 3, 27])
def test_fan_out_does_not_grow_with_the_fleet(per_data_centre):
    data_centres = ("a", "b", "c")
    names = [(f"{dc}-{n:02}", dc) for dc in data_centres for n in range(per_data_centre)]
    chosen_by = dict.fromkeys((name for name, _ in names), 0)
    for name, data_centre in names:
        membership = Membership(name, data_centre)
        membership.set_platform_list([instance_entry(other, dc) for other, dc in names])
        chosen = membership.fan_out_peers()
        assert len(chosen) <= LOCAL_FAN_OUT + 2 * REMOTE_FAN_OUT
        assert {info.data_centre for info in chosen} >= set(data_centres) - {data_centre}
        for info in chosen:
            chosen_by[info.instance] += 1
    assert min(chosen_by.values()) == max(chosen_by.values())
