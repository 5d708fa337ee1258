"""Modelled instances: the gateway's decisions on virtual time, with a store and peers."""

import random
import threading
from collections.abc import Callable, Generator
from dataclasses import dataclass
from functools import partial
from typing import Any

from result import Err, Ok, Result

from bench.model.clock import ModelClock, ModelExecutor
from bench.model.groups import GroupSettings, ModelGroup, ModelLink
from quetzalrudder.exceptions import (
    LinkLost,
    PlatformUnavailable,
    QuetzalrudderError,
    TargetUnavailable,
)
from quetzalrudder.gateway import Catalog, GatewayInstance, InstanceIdentity, QuotaRules
from quetzalrudder.gateway.probing import PrimaryHealthCheck
from quetzalrudder.gateway.store import Changes, LeaseId
from quetzalrudder.gateway.targets import Target
from quetzalrudder.models import DataCentre, GroupId, InstanceId, TargetId, WorkspaceId
from quetzalrudder.utils import MS_PER_S
from standins.gateway_store import MemoryStore
from standins.virtual import VirtualTime

__all__ = ["FleetSettings", "ModelFleet", "ModelInstance"]

STORE_OWNER = "store"
STORE_EXPIRY_INTERVAL_S = 0.05
# Steps of the background tasks, which wake up about as often in the real process.
TASK_INTERVAL_S = 0.05
MAINTENANCE_INTERVAL_S = 0.1


@dataclass(frozen=True)
class FleetSettings:
    """Instances, network and store."""

    # Instances of each data centre, by its name.
    data_centres: dict[str, int]
    groups: GroupSettings = GroupSettings()
    # One way, in milliseconds.
    same_data_centre_ms: float = 0.1
    other_data_centre_ms: float = 0.5
    caller_ms: float = 3.0
    store_ms: float = 4.0
    store_timeout_s: float = 0.8
    # From the start of a process until it listens, serves callers and calls peers.
    listen_s: float = 0.04
    serve_s: float = 0.3
    peers_s: float = 0.4


class _ModelStoreClient:
    """A client of the store, with the delay of the network and outages."""

    def __init__(self, fleet: "ModelFleet") -> None:
        self._fleet = fleet
        self._client = fleet.store.client()

    def _call(self, method: str, *args: Any) -> Result[Any, QuetzalrudderError]:
        cfg = self._fleet.cfg
        if not self._fleet.store_up:
            self._fleet.clock.sleep(cfg.store_timeout_s)
            return Err(PlatformUnavailable("the store does not answer"))
        self._fleet.clock.sleep(cfg.store_ms / MS_PER_S)
        result = getattr(self._client, method)(*args)
        self._fleet.announce_store_change()
        return result

    @property
    def answered_era(self) -> int | None:
        """Era that the store told in its latest answer; None if it told none."""
        return self._client.answered_era

    def read_prefix(self, prefix: str) -> Result[Changes, QuetzalrudderError]:
        """Return all items whose keys have a prefix."""
        return self._call("read_prefix", prefix)

    def watch(self, after: int, wait_ms: int) -> Result[Changes, QuetzalrudderError]:
        """Return the changes after a revision, once there is one."""
        until = self._fleet.clock.monotonic() + wait_ms / MS_PER_S
        while True:
            changed = self._fleet.store_changed
            result = self._call("watch", after, wait_ms)
            remaining_s = until - self._fleet.clock.monotonic()
            if isinstance(result, Err) or result.ok_value.items or remaining_s <= 0:
                return result
            self._fleet.clock.wait(changed, remaining_s)

    def write(
        self, key: str, value: bytes, expected: int, lease: LeaseId | None = None
    ) -> Result[int, QuetzalrudderError]:
        """Write a key if it has the expected revision."""
        return self._call("write", key, value, expected, lease)

    def delete(self, key: str, expected: int) -> Result[int, QuetzalrudderError]:
        """Delete a key if it has the expected revision."""
        return self._call("delete", key, expected)

    def open_lease(self, ttl_s: float) -> Result[LeaseId, QuetzalrudderError]:
        """Open a lease."""
        return self._call("open_lease", ttl_s)

    def renew_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """Renew a lease."""
        return self._call("renew_lease", lease)

    def end_lease(self, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        """End a lease and delete its keys."""
        return self._call("end_lease", lease)


class ModelInstance:
    """One process of the gateway; a restart makes another one of the same name."""

    def __init__(self, fleet: "ModelFleet", name: InstanceId, data_centre: DataCentre) -> None:
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.owner = f"{name}#{next(fleet.incarnations)}"
        self.up = True
        # True once connections of callers are accepted, if only into the backlog.
        self.listening = False
        # Set once callers are served, and once peers can be called.
        self.serving = threading.Event()
        self.has_peers = threading.Event()
        # Statements of callers in progress, which end with the process.
        self.calls: set[Any] = set()
        self._executor = ModelExecutor(fleet.time, self.owner)
        self.gateway: GatewayInstance | None = None
        fleet.time.spawn(self.owner, self._start)

    def _start(self) -> None:
        cfg, clock = self.fleet.cfg, self.fleet.clock
        clock.sleep(cfg.listen_s)
        self.listening = True
        clock.sleep(cfg.serve_s - cfg.listen_s)
        self.gateway = GatewayInstance(
            identity=InstanceIdentity(self.name, self.data_centre, self.name),
            open_store=partial(_ModelStoreClient, self.fleet),
            connector=self,
            promotion_client=self,
            caller=self,
            decode_catalog=lambda raw: self.fleet.catalog,
            quota_rules=QuotaRules(),
            clock=clock,
            rng=random.Random(self.fleet.rng.random()),
        )
        self.gateway.catalogs.update_if_newer(self.fleet.catalog, b"1")
        self.gateway.registry.replace_all(self.fleet.targets())
        for group in self.fleet.groups:
            self.gateway._health_checks[group] = self._health_check(group)
        self._start_tasks()
        self.serving.set()
        clock.sleep(max(0.0, cfg.peers_s - cfg.serve_s))
        self.has_peers.set()

    def _health_check(self, group: GroupId) -> PrimaryHealthCheck:
        gateway = self.gateway
        return PrimaryHealthCheck(
            group=group,
            primaries=gateway.primaries,
            members=gateway.members,
            registry=gateway.registry,
            planner=gateway.planner,
            prober=gateway.prober,
            is_watcher=partial(gateway._is_watcher, group),
            clock=self.fleet.clock,
        )

    def _start_tasks(self) -> None:
        gateway = self.gateway
        mirror = gateway.make_mirror([])
        steps: list[tuple[Callable[[], object], float]] = [
            (mirror.step, 0.001),
            (gateway.membership.step, 0.03),
            (gateway.failover.step, TASK_INTERVAL_S),
            (gateway.peering.step, 0.1),
            (self._maintain, MAINTENANCE_INTERVAL_S),
            *((check.step, TASK_INTERVAL_S) for check in gateway._health_checks.values()),
        ]
        for step, interval_s in steps:
            self.fleet.time.spawn(self.owner, partial(self._repeat, step, interval_s))

    def _repeat(self, step: Callable[[], object], interval_s: float) -> None:
        while True:
            step()
            self.fleet.clock.sleep(interval_s)

    def _maintain(self) -> None:
        self.gateway.rates.refresh_ownership(self._executor)
        self.gateway.lender.reclaim_idle()
        self.gateway.pool.trim()

    # Databases and the platform.

    def connect(
        self, target: Target, workspace: WorkspaceId, timeout_s: float
    ) -> Result[ModelLink, QuetzalrudderError]:
        """Open a connection to a database."""

        def one_way_s() -> float | None:
            return self.fleet.one_way_s(self.data_centre, target.data_centre)

        group = self.fleet.groups[target.group]
        return ModelLink.open(group, target.target, self.name, one_way_s, timeout_s)

    def promote(
        self,
        group: GroupId,
        target: TargetId,
        *,
        coordinator: InstanceId,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> Result[None, QuetzalrudderError]:
        """Promote a database."""
        self.fleet.clock.sleep(self.fleet.cfg.store_ms / MS_PER_S)
        if not self.fleet.groups[group].promote(target):
            return Err(TargetUnavailable("the database is not running", place=target))
        return Ok(None)

    # Peers.

    def _call_peer(
        self, address: str, timeout_s: float, answer: Callable[[GatewayInstance], Any]
    ) -> Result[Any, QuetzalrudderError]:
        clock = self.fleet.clock
        if not clock.wait(self.has_peers, timeout_s):
            return Err(TargetUnavailable("calls to peers are not possible yet", place=address))
        peer = self.fleet.instances.get(InstanceId(address))
        delay_s = self.fleet.one_way_s(self.data_centre, peer.data_centre) if peer else None
        if peer is None or delay_s is None or not peer.has_peers.is_set():
            if peer is None or (delay_s is not None and peer.up):
                clock.sleep(0.001)
                return Err(TargetUnavailable("the peer refused the connection", place=address))
            clock.sleep(timeout_s)
            return Err(LinkLost("the peer does not answer", place=address))
        clock.sleep(delay_s)
        reply = answer(peer.gateway)
        clock.sleep(delay_s)
        return Ok(reply)

    def exchange(self, address: str, report: Any, timeout_s: float) -> Result:
        """Send a report to a peer."""
        return self._call_peer(address, timeout_s, lambda peer: peer.answer_report(report))

    def exchange_all(
        self, reports: list, timeout_s: float, patience_s: float = 0.0
    ) -> Generator[tuple[int, Result], None, None]:
        """Send reports to several peers at the same time."""
        return self._call_all(self.exchange, reports, timeout_s)

    def take_over_all(
        self, requests: list, timeout_s: float
    ) -> Generator[tuple[int, Result], None, None]:
        """Ask several peers at the same time to hand out no more tokens."""
        return self._call_all(self.take_over_rates, requests, timeout_s)

    def _call_all(
        self, call: Callable[..., Result], messages: list, timeout_s: float
    ) -> Generator[tuple[int, Result], None, None]:
        futs = [self._executor.submit(call, *message, timeout_s) for message in messages]
        return ((index, fut.result()) for index, fut in enumerate(futs))

    def take_token(self, address: str, req: Any, timeout_s: float) -> Result:
        """Request a rate token."""
        return self._call_peer(address, timeout_s, lambda peer: peer.answer_token(req))

    def take_over_rates(self, address: str, req: Any, timeout_s: float) -> Result:
        """Ask a peer to hand out no more tokens of some workspaces."""
        return self._call_peer(address, timeout_s, lambda peer: peer.answer_take_over(req))

    def tell_position(self, address: str, req: Any, timeout_s: float) -> Result:
        """Request a primary's log position."""
        return self._call_peer(address, timeout_s, lambda peer: peer.answer_position(req))

    def wait_for_changes(self, address: str, req: Any, timeout_s: float) -> Result:
        """Request changes of the store from a peer, and wait for them."""
        answered = threading.Event()
        replies: list[Any] = []

        def deliver(reply: Any) -> None:
            replies.append(reply)
            answered.set()

        def answer(peer: GatewayInstance) -> Any:
            end_wait = peer.answer_changes(req, deliver)
            self.fleet.clock.wait(answered, req.wait_ms / MS_PER_S)
            end_wait()
            return replies[0]

        return self._call_peer(address, timeout_s, answer)

    def run(self, address: str, req: Any, timeout_s: float) -> Result:
        """Run a statement on a borrowed connection."""
        return self._call_peer(address, timeout_s, lambda peer: peer.run_lent_statement(req))

    def end(self, address: str, req: Any) -> None:
        """Return a borrowed connection."""
        self._call_peer(address, 1.0, lambda peer: peer.return_lent_connection(req))


class ModelFleet:
    """Instances with a store and groups of databases.

    Parameters
    ----------
    cfg : FleetSettings
        Sizes, speeds and delays.
    catalog : Catalog
        The operators' configuration.
    seed : int
        Seed of all random choices.
    """

    def __init__(self, cfg: FleetSettings, catalog: Catalog, seed: int) -> None:
        self.cfg = cfg
        self.catalog = catalog
        self.rng = random.Random(seed)
        self.time = VirtualTime()
        self.clock = ModelClock(self.time)
        self.store = MemoryStore(self.clock)
        self.store_up = True
        self.store_changed = threading.Event()
        self._announced_revision = 0
        self.incarnations = iter(range(1, 1_000_000))
        # Data centres that are cut off from the others, from the store and from callers.
        self.cut: set[DataCentre] = set()
        names = [DataCentre(name) for name in cfg.data_centres]
        self.groups = {
            group: ModelGroup(group, names[index:] + names[:index], cfg.groups, self.time, self.rng)
            for index, group in enumerate(GroupId(f"g{i}") for i in range(cfg.groups.count))
        }
        self.time.spawn(STORE_OWNER, self._expire_leases)
        self.instances = {
            (name := InstanceId(f"{data_centre}-{index}")): ModelInstance(self, name, data_centre)
            for data_centre, count in cfg.data_centres.items()
            for index in range(count)
        }

    def targets(self) -> list[Target]:
        """Return the announcements of all databases that are up."""
        return [db.info for group in self.groups.values() for db in group.databases.values()]

    def one_way_s(self, source: DataCentre, other: DataCentre) -> float | None:
        """Return the network's delay between two data centres; None while they are separated."""
        if source == other:
            return self.cfg.same_data_centre_ms / MS_PER_S
        if source in self.cut or other in self.cut:
            return None
        return self.cfg.other_data_centre_ms / MS_PER_S

    def announce_store_change(self) -> None:
        """Wake the watches if the store has changed."""
        if self.store.revision != self._announced_revision:
            self._announced_revision = self.store.revision
            changed, self.store_changed = self.store_changed, threading.Event()
            changed.set()

    def _expire_leases(self) -> None:
        while True:
            self.clock.sleep(STORE_EXPIRY_INTERVAL_S)
            self.store.expire()
            self.announce_store_change()

    def kill(self, name: InstanceId, *, power_loss: bool) -> None:
        """End an instance's process; without power its connections stay open at the databases."""
        instance = self.instances[name]
        instance.up = instance.listening = False
        instance.has_peers.clear()
        self.time.kill(instance.owner)
        for group in self.groups.values():
            for database in group.databases.values():
                database.drop_user(name, dark=power_loss)
        for call in list(instance.calls):
            call.end_lost()

    def restart(self, name: InstanceId) -> None:
        """Start another process of a killed instance."""
        self.instances[name] = ModelInstance(self, name, self.instances[name].data_centre)

    def close(self) -> None:
        """End all virtual threads."""
        self.time.close()
