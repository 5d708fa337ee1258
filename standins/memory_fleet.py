"""Instances in memory under a virtual clock: the decisions of the product, no sockets.

Messages take the latency of their link and are counted in their encoded size.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Future
from typing import Any

from result import Err, Ok, Result

from quetzalrudder.exceptions import LinkLost, QuetzalrudderError, TargetUnavailable
from quetzalrudder.membership import Membership
from quetzalrudder.models import DataCentre, InstanceId
from quetzalrudder.peers import pack
from quetzalrudder.schema.operators import ApplyRequest
from quetzalrudder.schema.platform import Group, Groups, InstanceEntry, Instances
from quetzalrudder.schema.settings import Branch, BranchKind, BranchSettings
from quetzalrudder.settings_store import WATCH_TIMEOUT_MS, SettingsStore
from quetzalrudder.shared_lists import PlatformLists, SharedLists
from quetzalrudder.spread import DIGEST_INTERVAL_S, GossipExchange
from quetzalrudder.timeline import Timeline
from quetzalrudder.utils import MS_PER_S, Address
from quetzalrudder.watching import PlatformWatcher
from standins.memory_platform import MemoryPlatform, MemoryStore

__all__ = ["MemoryFleet", "MemoryInstance", "VirtualClock"]

LOCAL_LATENCY_S = 0.0005
REMOTE_LATENCY_S = 0.0015
PLATFORM_LATENCY_S = 0.002
# Frame of gRPC and HTTP/2, segment and acknowledgement of TCP/IP.
OVERHEAD_BYTES = 14 + 40 + 40


class VirtualClock:
    """A clock that only the fleet moves."""

    def __init__(self) -> None:
        self.now = 1_000_000.0

    def monotonic(self) -> float:
        """Virtual seconds."""
        return self.now

    def wall(self) -> float:
        """Virtual seconds."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Move the clock."""
        self.now += seconds


class MemoryLinks:
    """Stands in for the links to peers."""

    def __init__(self, fleet: "MemoryFleet", node: "MemoryInstance") -> None:
        self._fleet = fleet
        self._node = node
        self.handlers: dict[type, Callable[[InstanceId, Any], Any]] = {}

    def register_handler(
        self, message_type: type, handler: Callable[[InstanceId, Any], Any]
    ) -> None:
        """Answer every request of a type by a handler."""
        self.handlers[message_type] = handler

    def start(self, peer: InstanceId, message: Any) -> "Future[Any]":
        """Send a request; the future gives its answer."""
        info = self._node.membership.find(peer)
        if info is None:
            raise TargetUnavailable("no such instance", place=peer)
        fut: Future[Any] = Future()
        self._fleet.send(self._node, info.control_address, message, fut)
        return fut

    def wait_for_answer(
        self, fut: "Future[Any]", timeout_s: float
    ) -> Result[Any, QuetzalrudderError]:
        """Give the answer to a request that has ended."""
        try:
            return Ok(fut.result(timeout_s))
        except QuetzalrudderError as exc:
            return Err(exc)


class MemoryInstance:
    """The parts of an instance that settings, lists and membership need."""

    def __init__(
        self, fleet: "MemoryFleet", name: str, data_centre: str, seeds: Iterable[Address]
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.fleet = fleet
        clock = fleet.clock
        self.timeline = Timeline(InstanceId(name), clock)
        platform = MemoryPlatform(fleet.platform, data_centre)
        self.platform = platform
        self.store = SettingsStore(platform, clock, self.timeline)
        dc = DataCentre(data_centre)
        self.membership = Membership(InstanceId(name), dc, clock, seeds)
        self.lists = SharedLists(self._use_lists)
        self.links = MemoryLinks(fleet, self)
        self.gossip = GossipExchange(
            self.links, self.membership, self.store, self.lists, dc, clock, self.timeline
        )
        self.platform_watcher = PlatformWatcher(
            platform,
            InstanceId(name),
            dc,
            self.store,
            self.lists,
            self.membership.local_instance_count,
            clock,
            fleet.rng,
            self.timeline,
        )

    def _use_lists(self, lists: PlatformLists) -> None:
        self.membership.set_platform_list(list(lists.instances.values()))

    def start(self) -> None:
        """Begin to work."""
        self.platform_watcher.read_initial_state()
        self.fleet.after(self.fleet.rng.uniform(0, DIGEST_INTERVAL_S), self, self._tick)
        self.fleet.after(0.0, self, self._step)

    def _tick(self) -> None:
        self.gossip.exchange_with_next_peer()
        self.fleet.after(DIGEST_INTERVAL_S, self, self._tick)

    def _step(self) -> None:
        pause_s = self.platform_watcher.step()
        if self.platform_watcher.watching and pause_s == 0.0:
            pause_s = WATCH_TIMEOUT_MS / MS_PER_S
        self.fleet.after(max(pause_s, PLATFORM_LATENCY_S), self, self._step)

    def notice(self) -> None:
        """Have a waiting watch answered, because something was written."""
        if self.platform_watcher.watching:
            self.platform_watcher.step()

    def handle_waiting(self) -> None:
        """Handle all that has come."""
        self.gossip.handle_queued_events()


class MemoryFleet:
    """Instances of several data centres before one platform.

    Parameters
    ----------
    data_centres : sequence of str
        Their names.
    per_data_centre : int
        Instances in each.
    make : Callable
        Makes an instance; the naive version puts its own here.
    seed : int
        Of all random choices.
    loss : float
        Share of messages between peers that are lost.
    """

    def __init__(
        self,
        data_centres: Sequence[str],
        per_data_centre: int,
        *,
        make: Callable[..., Any] = MemoryInstance,
        seed: int = 1,
        loss: float = 0.0,
    ) -> None:
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.platform = MemoryStore(self.clock)
        self.nodes: dict[str, Any] = {}
        # Bytes that each instance has exchanged with its peers, sent and received.
        self.peer_bytes: Counter[str] = Counter()
        self.reverted: list[tuple[str, int, int]] = []
        self._make = make
        self.loss = loss
        self._queue: list[tuple[float, int, Any, Callable[[], None]]] = []
        self._order = itertools.count()
        self._paused: dict[str, list[Callable[[], None]]] = {}
        self._cut: set[frozenset[str]] = set()
        self._change_ids = itertools.count(1)
        self._centres = tuple(data_centres)
        self._centre_of = {f"{dc}-{n}": dc for dc in data_centres for n in range(per_data_centre)}
        self._address_of = {
            name: Address("10.0.0.1", n + 1) for n, name in enumerate(self._centre_of)
        }
        self._name_at = {address: name for name, address in self._address_of.items()}
        self.platform.groups = Groups(groups=[Group(group="g")])
        self.set_instances()
        self._highest: dict[str, int] = {}
        for name in self._centre_of:
            self.restart(name)

    def all_entries(self) -> Iterable[InstanceEntry]:
        """Give the list of all instances."""
        for name, dc in self._centre_of.items():
            address = str(self._address_of[name])
            yield InstanceEntry(instance=name, control_address=address, data_centre=dc)

    def set_instances(self, without: str = "") -> None:
        """Set the platform's list."""
        listed = [entry for entry in self.all_entries() if entry.instance != without]
        self.platform.instances = Instances(instances=listed)

    def restart(self, name: str, seeds: Iterable[str] = ()) -> None:
        """Start an instance anew, with nothing in memory."""
        addresses = [self._address_of[seed] for seed in seeds]
        self._paused.pop(name, None)
        self._highest[name] = 0
        self.nodes[name] = self._make(self, name, self._centre_of[name], addresses)
        self.nodes[name].start()
        self._check(name)

    def stop(self, name: str) -> None:
        """End an instance at once."""
        del self.nodes[name]

    def pause(self, name: str) -> None:
        """Stop an instance's process; what comes waits."""
        self._paused[name] = []

    def resume(self, name: str) -> None:
        """Let a paused instance go on."""
        for call in self._paused.pop(name):
            self._run(self.nodes[name], call)

    def cut(self, data_centre: str, *, from_platform: bool) -> None:
        """Cut a data centre off from all others."""
        self._cut |= {frozenset((data_centre, o)) for o in self._centres if o != data_centre}
        if from_platform:
            self.platform.cut.add(data_centre)

    def heal(self) -> None:
        """End every cut."""
        self._cut.clear()
        self.platform.cut.clear()

    def after(self, seconds: float, node: Any, call: Callable[[], None]) -> None:
        """Run a call of an instance later, unless it has ended."""
        entry = (self.clock.now + seconds, next(self._order), node, call)
        heapq.heappush(self._queue, entry)

    def send(self, node: Any, address: Address, message: Any, fut: "Future[Any]") -> None:
        """Carry a request to its peer and the answer back."""
        name = self._name_at[address]
        self._count(message, node.name, name)
        if not self._passes(node.data_centre, self._centre_of[name]):
            return
        latency_s = self._latency(node.data_centre, self._centre_of[name])
        peer = self.nodes.get(name)
        if peer is None:
            self.after(latency_s, node, lambda: fut.set_exception(LinkLost("gone")))
            return

        def deliver() -> None:
            answer = peer.links.handlers[type(message)](node.name, message)
            self._count(answer, node.name, name)
            if self._passes(node.data_centre, peer.data_centre):
                self.after(latency_s, node, lambda: fut.set_result(answer))

        self.after(latency_s, peer, deliver)

    def _count(self, message: Any, *names: str) -> None:
        size = len(bytes(pack(message))) + OVERHEAD_BYTES
        for name in names:
            self.peer_bytes[name] += size

    def _passes(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self._cut and self.rng.random() >= self.loss

    def _latency(self, one: str, other: str) -> float:
        return LOCAL_LATENCY_S if one == other else REMOTE_LATENCY_S

    def _run(self, node: Any, call: Callable[[], None]) -> None:
        if self.nodes.get(node.name) is not node:
            return
        if node.name in self._paused:
            self._paused[node.name].append(call)
            return
        version = self.platform.version
        call()
        node.handle_waiting()
        self._check(node.name)
        if self.platform.version != version:
            self._notify()

    def _check(self, name: str) -> None:
        revision = self.nodes[name].store.tree.revision
        if revision < self._highest[name]:
            self.reverted.append((name, self._highest[name], revision))
        self._highest[name] = revision

    def _notify(self) -> None:
        for node in self.nodes.values():
            if not self.platform.watches_broken:
                self.after(PLATFORM_LATENCY_S, node, node.notice)

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> None:
        """Run until a condition holds, or for the given virtual seconds."""
        end = self.clock.now + limit_s
        while self._queue and self._queue[0][0] <= end:
            if condition():
                return
            at, _, node, call = heapq.heappop(self._queue)
            self.clock.now = max(self.clock.now, at)
            self._run(node, call)
        if not condition():
            self.clock.now = max(self.clock.now, end)

    def run_for(self, seconds: float) -> None:
        """Run for some virtual seconds."""
        self.run_until(lambda: False, seconds)

    def accept(self, at: str | None = None) -> set[str]:
        """Have an instance accept a change; gives its id, or nothing if it was refused."""
        node = self.nodes[at] if at else next(iter(self.nodes.values()))
        number = next(self._change_ids)
        branch = Branch(BranchKind.ROUTE, f"r{number % 7}", BranchSettings(max_age_ms=number))
        req = ApplyRequest(
            change_id=f"change-{number}",
            operator_name="operator",
            summary="put a route",
            base_revision=node.store.tree.revision,
            put=[branch],
        )
        found: list[Any] = []
        self._run(node, lambda: found.append(node.store.apply(req)))
        return {req.change_id} if found and isinstance(found[0], Ok) else set()

    def lowest_revision(self) -> int:
        """Give the lowest revision in force."""
        return min(node.store.tree.revision for node in self.nodes.values())

    def control_bytes(self) -> dict[str, int]:
        """Give the bytes that each instance has exchanged with peers and platform."""
        return {
            name: self.peer_bytes[name] + node.platform.answer_bytes
            for name, node in self.nodes.items()
        }

    def calls_per_s(self, seconds: float) -> float:
        """Run for a while and give the platform's calls per second."""
        before = self.platform.calls.total()
        self.run_for(seconds)
        return (self.platform.calls.total() - before) / seconds
