"""Instances in memory under a virtual clock: the product's code without sockets.

Messages are delayed by the latency of their link and counted by their encoded size.
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
# Overhead of a message: gRPC and HTTP/2 framing, and the TCP/IP headers of its segment
# and of the acknowledgement.
MESSAGE_OVERHEAD_BYTES = 14 + 40 + 40


class VirtualClock:
    """A clock that only the fleet advances."""

    def __init__(self) -> None:
        self.now = 1_000_000.0

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Advance the clock."""
        self.now += seconds


class MemoryLinks:
    """Stands in for an instance's links to its peers."""

    def __init__(self, fleet: "MemoryFleet", instance: "MemoryInstance") -> None:
        self._fleet = fleet
        self._instance = instance
        self.handlers: dict[type, Callable[[InstanceId, Any], Any]] = {}

    def register_handler(
        self, message_type: type, handler: Callable[[InstanceId, Any], Any]
    ) -> None:
        """Register the handler of a type of request."""
        self.handlers[message_type] = handler

    def start(self, peer: InstanceId, message: Any) -> "Future[Any]":
        """Send a request and return a future of its answer."""
        info = self._instance.membership.find(peer)
        if info is None:
            raise TargetUnavailable("the instance is not in the membership list", place=peer)
        fut: Future[Any] = Future()
        self._fleet.send(self._instance, info.control_address, message, fut)
        return fut

    def wait_for_answer(
        self, fut: "Future[Any]", timeout_s: float
    ) -> Result[Any, QuetzalrudderError]:
        """Return the answer to a request, or the error that it ended with."""
        try:
            return Ok(fut.result(timeout_s))
        except QuetzalrudderError as exc:
            return Err(exc)


class MemoryInstance:
    """The parts of an instance that spread settings, lists and membership."""

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
        """Read the initial state and schedule gossip and the platform watcher."""
        self.platform_watcher.read_initial_state()
        self.fleet.call_later(self.fleet.rng.uniform(0, DIGEST_INTERVAL_S), self, self._gossip)
        self.fleet.call_later(0.0, self, self._step_watcher)

    def _gossip(self) -> None:
        self.gossip.exchange_with_next_peer()
        self.fleet.call_later(DIGEST_INTERVAL_S, self, self._gossip)

    def _step_watcher(self) -> None:
        pause_s = self.platform_watcher.step()
        if self.platform_watcher.watching and pause_s == 0.0:
            pause_s = WATCH_TIMEOUT_MS / MS_PER_S
        self.fleet.call_later(max(pause_s, PLATFORM_LATENCY_S), self, self._step_watcher)

    def on_store_changed(self) -> None:
        """Answer a pending watch after a write to the platform."""
        if self.platform_watcher.watching:
            self.platform_watcher.step()

    def handle_queued_events(self) -> None:
        """Handle the queued gossip events."""
        self.gossip.handle_queued_events()


class MemoryFleet:
    """Instances of several data centres that share one platform.

    Parameters
    ----------
    data_centres : sequence of str
        Names of the data centres.
    per_data_centre : int
        Number of instances in each data centre.
    make_instance : Callable
        Creates an instance; the naive implementation passes its own class.
    seed : int
        Seed of every random choice.
    loss : float
        Fraction of messages between peers that are lost.
    """

    def __init__(
        self,
        data_centres: Sequence[str],
        per_data_centre: int,
        *,
        make_instance: Callable[..., Any] = MemoryInstance,
        seed: int = 1,
        loss: float = 0.0,
    ) -> None:
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.platform = MemoryStore(self.clock)
        self.instances: dict[str, Any] = {}
        # Bytes that each instance has exchanged with its peers, sent and received.
        self.peer_bytes: Counter[str] = Counter()
        # Instance, highest revision that it had in force, and the lower one that followed.
        self.reverted: list[tuple[str, int, int]] = []
        self._make_instance = make_instance
        self.loss = loss
        self._queue: list[tuple[float, int, Any, Callable[[], None]]] = []
        self._order = itertools.count()
        self._paused: dict[str, list[Callable[[], None]]] = {}
        self._cut: set[frozenset[str]] = set()
        self._change_ids = itertools.count(1)
        self._data_centres = tuple(data_centres)
        self._data_centre_of = {
            f"{dc}-{n}": dc for dc in data_centres for n in range(per_data_centre)
        }
        self._address_of = {
            name: Address("10.0.0.1", n + 1) for n, name in enumerate(self._data_centre_of)
        }
        self._name_by_address = {address: name for name, address in self._address_of.items()}
        self.platform.groups = Groups(groups=[Group(group="g")])
        self.set_platform_instances()
        self._highest_revision: dict[str, int] = {}
        for name in self._data_centre_of:
            self.restart(name)

    def all_entries(self) -> Iterable[InstanceEntry]:
        """Yield the platform's entry of every instance."""
        for name, dc in self._data_centre_of.items():
            address = str(self._address_of[name])
            yield InstanceEntry(instance=name, control_address=address, data_centre=dc)

    def set_platform_instances(self, without: str = "") -> None:
        """Set the platform's list to all instances, optionally without one."""
        entries = [entry for entry in self.all_entries() if entry.instance != without]
        self.platform.instances = Instances(instances=entries)

    def restart(self, name: str, seeds: Iterable[str] = ()) -> None:
        """Start an instance, or restart it with empty memory."""
        addresses = [self._address_of[seed] for seed in seeds]
        self._paused.pop(name, None)
        self._highest_revision[name] = 0
        self.instances[name] = self._make_instance(
            self, name, self._data_centre_of[name], addresses
        )
        self.instances[name].start()
        self._check_revision(name)

    def stop(self, name: str) -> None:
        """Stop an instance immediately."""
        del self.instances[name]

    def pause(self, name: str) -> None:
        """Pause an instance as SIGSTOP does; its calls are queued."""
        self._paused[name] = []

    def resume(self, name: str) -> None:
        """Resume a paused instance and run its queued calls."""
        for call in self._paused.pop(name):
            self._run_call(self.instances[name], call)

    def cut(self, data_centre: str, *, from_platform: bool) -> None:
        """Cut a data centre off from all others and, optionally, from the platform."""
        self._cut |= {frozenset((data_centre, o)) for o in self._data_centres if o != data_centre}
        if from_platform:
            self.platform.unreachable_from.add(data_centre)

    def heal(self) -> None:
        """Reconnect all data centres to each other and to the platform."""
        self._cut.clear()
        self.platform.unreachable_from.clear()

    def call_later(self, seconds: float, instance: Any, call: Callable[[], None]) -> None:
        """Schedule a call of an instance, which is dropped if the instance has stopped."""
        entry = (self.clock.now + seconds, next(self._order), instance, call)
        heapq.heappush(self._queue, entry)

    def send(self, instance: Any, address: Address, message: Any, fut: "Future[Any]") -> None:
        """Send a request to a peer; its answer completes the future."""
        name = self._name_by_address[address]
        self._count_bytes(message, instance.name, name)
        if not self._is_delivered(instance.data_centre, self._data_centre_of[name]):
            return
        latency_s = self._latency(instance.data_centre, self._data_centre_of[name])
        peer = self.instances.get(name)
        if peer is None:
            self.call_later(
                latency_s,
                instance,
                lambda: fut.set_exception(LinkLost("the instance is not running")),
            )
            return

        def deliver() -> None:
            answer = peer.links.handlers[type(message)](instance.name, message)
            self._count_bytes(answer, instance.name, name)
            if self._is_delivered(instance.data_centre, peer.data_centre):
                self.call_later(latency_s, instance, lambda: fut.set_result(answer))

        self.call_later(latency_s, peer, deliver)

    def _count_bytes(self, message: Any, *names: str) -> None:
        size = len(bytes(pack(message))) + MESSAGE_OVERHEAD_BYTES
        for name in names:
            self.peer_bytes[name] += size

    def _is_delivered(self, one: str, other: str) -> bool:
        return frozenset((one, other)) not in self._cut and self.rng.random() >= self.loss

    def _latency(self, one: str, other: str) -> float:
        return LOCAL_LATENCY_S if one == other else REMOTE_LATENCY_S

    def _run_call(self, instance: Any, call: Callable[[], None]) -> None:
        if self.instances.get(instance.name) is not instance:
            return
        if instance.name in self._paused:
            self._paused[instance.name].append(call)
            return
        version = self.platform.version
        call()
        instance.handle_queued_events()
        self._check_revision(instance.name)
        if self.platform.version != version:
            self._answer_watches()

    def _check_revision(self, name: str) -> None:
        revision = self.instances[name].store.tree.revision
        if revision < self._highest_revision[name]:
            self.reverted.append((name, self._highest_revision[name], revision))
        self._highest_revision[name] = revision

    def _answer_watches(self) -> None:
        for instance in self.instances.values():
            if not self.platform.watches_broken:
                self.call_later(PLATFORM_LATENCY_S, instance, instance.on_store_changed)

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> None:
        """Run until a condition holds, for at most the given virtual seconds."""
        end = self.clock.now + limit_s
        while self._queue and self._queue[0][0] <= end:
            if condition():
                return
            at, _, instance, call = heapq.heappop(self._queue)
            self.clock.now = max(self.clock.now, at)
            self._run_call(instance, call)
        if not condition():
            self.clock.now = max(self.clock.now, end)

    def run_for(self, seconds: float) -> None:
        """Run for the given virtual seconds."""
        self.run_until(lambda: False, seconds)

    def apply_change(self, at: str | None = None) -> set[str]:
        """Apply a change at an instance.

        Returns a set that contains the change's id, or the empty set if the change was refused
        or the instance is paused.
        """
        instance = self.instances[at] if at else next(iter(self.instances.values()))
        number = next(self._change_ids)
        branch = Branch(BranchKind.ROUTE, f"r{number % 7}", BranchSettings(max_age_ms=number))
        req = ApplyRequest(
            change_id=f"change-{number}",
            operator_name="operator",
            summary="put a route",
            base_revision=instance.store.tree.revision,
            put=[branch],
        )
        results: list[Any] = []
        self._run_call(instance, lambda: results.append(instance.store.apply(req)))
        return {req.change_id} if results and isinstance(results[0], Ok) else set()

    def lowest_revision(self) -> int:
        """Return the lowest settings revision in force at any instance."""
        return min(instance.store.tree.revision for instance in self.instances.values())

    def control_bytes(self) -> dict[str, int]:
        """Return the bytes that each instance has exchanged with its peers and the platform."""
        return {
            name: self.peer_bytes[name] + instance.platform.answer_bytes
            for name, instance in self.instances.items()
        }

    def measure_calls_per_s(self, seconds: float) -> float:
        """Run for the given virtual seconds and return the platform's calls per second."""
        before = self.platform.calls.total()
        self.run_for(seconds)
        return (self.platform.calls.total() - before) / seconds
