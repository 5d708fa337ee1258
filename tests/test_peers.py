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


def entry(name, data_centre, address="127.0.0.1:1"):
    return InstanceEntry(instance=name, data_centre=data_centre, control_address=address)


@pytest.fixture
def pair():
    """Two peers in different data centres, and the network between them."""
    with ExitStack() as stack:
        near, far, way = free_addresses(3)
        relay = Relay("bern-a", "basel-c", parse_address(way), parse_address(far))
        network = stack.enter_context(Network([relay]))
        loop = stack.enter_context(Loop())
        executor = stack.enter_context(ThreadPoolExecutor(8))
        links = {}
        for name, data_centre, address, other in (
            ("one", "bern-a", near, entry("two", "basel-c", way)),
            ("two", "basel-c", far, entry("one", "bern-a", near)),
        ):
            membership = Membership(name, data_centre)
            membership.set_platform_list([entry(name, data_centre, address), other])
            clock = HybridClock(SystemClock())
            links[name] = stack.enter_context(PeerLinks(loop, name, data_centre, membership, clock))
            service = PeerService(loop, links[name], executor)
            stack.enter_context(Listener(loop, parse_address(address), [service]))
        yield links["one"], links["two"], network


def test_a_request_is_answered_by_the_handler_with_the_peers_name(pair):
    one, two, _ = pair
    seen = []

    def answer(peer, digest):
        seen.append(peer)
        return Digest(settings_revision=digest.settings_revision + 1)

    two.register_handler(Digest, answer)
    assert one.request("two", Digest(settings_revision=6), 5) == Ok(Digest(settings_revision=7))
    assert seen == ["one"]


def test_failures_are_typed(pair):
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


def test_a_cut_holds_requests_back_until_it_heals(pair):
    one, two, network = pair
    two.register_handler(Digest, lambda peer, digest: Digest())
    assert one.request("two", Digest(), 5).is_ok()
    network.cut("bern-a", "basel-c")
    assert isinstance(one.request("two", Digest(), 0.2).err_value, OutcomeUnknown)
    network.heal()
    assert one.request("two", Digest(), 5).is_ok()


@pytest.mark.parametrize("per_data_centre", [1, 3, 27])
def test_fan_out_does_not_grow_with_the_fleet(per_data_centre):
    centres = ("a", "b", "c")
    names = [(f"{dc}-{n:02}", dc) for dc in centres for n in range(per_data_centre)]
    chosen_by = dict.fromkeys((name for name, _ in names), 0)
    for name, data_centre in names:
        membership = Membership(name, data_centre)
        membership.set_platform_list([entry(other, dc) for other, dc in names])
        chosen = membership.fan_out_peers()
        assert len(chosen) <= LOCAL_FAN_OUT + 2 * REMOTE_FAN_OUT
        assert {info.data_centre for info in chosen} >= set(centres) - {data_centre}
        for info in chosen:
            chosen_by[info.instance] += 1
    assert min(chosen_by.values()) == max(chosen_by.values())
