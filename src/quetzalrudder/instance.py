"""An instance: creates all its components and owns them through one exit stack."""

import logging
import random
import threading
from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from contextlib import ExitStack

from quetzalrudder.adapters import GrpcPlatform, Platform, TargetInfo, open_grpc_target
from quetzalrudder.bridge import Listener, Loop
from quetzalrudder.connections import CallerConnections
from quetzalrudder.drain import Drain, DrainResult
from quetzalrudder.failover import FailoverHandlers, FailoverMonitor, FleetLinks
from quetzalrudder.groups import GroupTable
from quetzalrudder.links import ControlLinks
from quetzalrudder.membership import Membership
from quetzalrudder.metrics import Metrics
from quetzalrudder.models import DataCentre, GroupId, InstanceId, InstanceState, TargetId
from quetzalrudder.operator_keys import AuthenticatedService
from quetzalrudder.peers import PeerLinks, PeerService
from quetzalrudder.pool import ConnectionPool
from quetzalrudder.promotion import Promoter, group_watchers
from quetzalrudder.rates import FleetLimits, RateLimiter
from quetzalrudder.routing import ReadRouter
from quetzalrudder.schema.peers import DepartureKind, PrimaryChanged, PrimaryQuestion
from quetzalrudder.schema.platform import Group
from quetzalrudder.schema.settings import DaemonSettings
from quetzalrudder.schema.target import Open
from quetzalrudder.services import CallerService, OperatorService
from quetzalrudder.settings_store import SettingsStore
from quetzalrudder.share_exchange import ShareExchange
from quetzalrudder.shared_lists import PlatformLists, SharedLists
from quetzalrudder.shares import ShareLedger, permit_key
from quetzalrudder.spread import GossipExchange
from quetzalrudder.statements import StatementRunner
from quetzalrudder.timeline import EventKind, Timeline
from quetzalrudder.transactions import TransactionRunner
from quetzalrudder.utils import Clock, SystemClock, parse_address
from quetzalrudder.watching import PlatformWatcher
from quetzalrudder.writes import Confirmer

__all__ = ["Instance"]

log = logging.getLogger(__name__)

DEFAULT_MAX_TASKS = 256
DEFAULT_DRAIN_S = 30
MAX_CONTROL_TASKS = 256
MAX_PEER_TASKS = 256
MAX_FAILOVER_TASKS = 16
GROUP_WATCH_INTERVAL_S = 1.0
POOL_MAINTENANCE_INTERVAL_S = 0.1
INCARNATION_BITS = 64


class Instance:
    """A running instance.

    Parameters
    ----------
    cfg : DaemonSettings
        Checked settings of the instance.
    clock : Clock, optional
        Source of time.
    rng : random.Random, optional
        Source of random choices.
    """

    def __init__(
        self, cfg: DaemonSettings, clock: Clock | None = None, rng: random.Random | None = None
    ) -> None:
        self.cfg = cfg
        self.clock: Clock = clock or SystemClock()
        self.rng = rng or random.Random()
        self.instance_id = InstanceId(cfg.instance)
        self.data_centre = DataCentre(cfg.data_centre)
        self.state = InstanceState.STARTING
        self.timeline = Timeline(self.instance_id, self.clock)
        self.groups = GroupTable(self.clock)
        seeds = [parse_address(text) for text in (cfg.peers or "").split()]
        self.membership = Membership(self.instance_id, self.data_centre, self.clock, seeds)
        self.lists = SharedLists(self._apply_lists)
        self._stack = ExitStack()
        self._stopping = threading.Event()

    def __enter__(self) -> "Instance":
        with ExitStack() as stack:
            self._start(stack)
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopping.set()
        self._stack.close()
        self.state = InstanceState.STOPPED

    def _start(self, stack: ExitStack) -> None:
        cfg = self.cfg
        self.metrics = Metrics(cfg.statsd)
        self.loop = stack.enter_context(Loop())
        max_tasks = cfg.max_tasks or DEFAULT_MAX_TASKS
        callers = stack.enter_context(ThreadPoolExecutor(max_tasks, "caller"))
        control = stack.enter_context(ThreadPoolExecutor(MAX_CONTROL_TASKS, "control"))
        peer_tasks = stack.enter_context(ThreadPoolExecutor(MAX_PEER_TASKS, "peer"))
        stack.callback(self._stopping.set)
        platform = GrpcPlatform(
            self.loop, parse_address(cfg.platform), self.instance_id, self.data_centre
        )
        stack.callback(platform.close)
        self.platform: Platform = platform
        self.store = SettingsStore(self.platform, self.clock, self.timeline)
        self.links = stack.enter_context(
            ControlLinks(
                self.groups, self._open_control_connection, control, self.clock, self.timeline
            )
        )
        self.peers = stack.enter_context(
            PeerLinks(
                self.loop, self.instance_id, self.data_centre, self.membership, self.timeline.clock
            )
        )
        self.exchange = self._make_exchange()
        stack.callback(self.exchange.stop)
        self.pool = stack.enter_context(
            ConnectionPool(self._open_connection, self.exchange, self._target_slots, self.clock)
        )
        self.failover = self._make_failover(stack)
        control.submit(self.failover.run)
        self.connections = self._make_connections(callers, max_tasks)
        control.submit(self.exchange.run)
        control.submit(self.exchange.run_census)
        control.submit(self._maintain_pool_until_stopped)
        self.gossip = GossipExchange(
            self.peers,
            self.membership,
            self.store,
            self.lists,
            self.data_centre,
            self.clock,
            self.timeline,
        )
        self.membership.on_target_leaving = self._mark_leaving_target
        self.groups.on_leaving = self._announce_leaving_target
        self.platform_watcher = self._make_platform_watcher()
        self._drain = self._make_drain()
        self.drain_callbacks.extend([self.pool.close, self.exchange.hand_over])
        control.submit(self.connections.watch_keys, self._stopping)
        self._listen(stack, control, peer_tasks)
        control.submit(self.platform_watcher.run, self._stopping)
        control.submit(self._watch_groups_until_stopped)
        control.submit(self.gossip.run, self._stopping)
        self.state = InstanceState.SERVING
        self.timeline.record(EventKind.STARTED)

    def _make_exchange(self) -> ShareExchange:
        ledger = ShareLedger(
            incarnation=f"{self.instance_id}/{self.rng.getrandbits(INCARNATION_BITS):x}",
            data_centre=self.data_centre,
            limits=FleetLimits(lambda: self.store.tree, self._fleet_connection_limit),
            clock=self.clock,
        )
        return ShareExchange(
            ledger, self.peers, self.membership, self.platform, self.clock, self.rng
        )

    def _fleet_connection_limit(self, target: TargetId) -> int:
        view = self.groups.find(target)
        return view.state.connection_limit if view and view.state else 0

    def _make_connections(self, callers: Executor, max_tasks: int) -> CallerConnections:
        runner = StatementRunner(
            self.groups,
            ReadRouter(self.groups, self.data_centre, self.rng, self.clock),
            self.pool,
            Confirmer(self.groups, self.links),
            self.clock,
        )
        return CallerConnections(
            instance=self.instance_id,
            data_centre=self.data_centre,
            store=self.store,
            runner=runner,
            transactions=TransactionRunner(
                runner, self.pool, self._connection_limit, self.clock, self.rng
            ),
            rates=RateLimiter(self.exchange.ledger, self.exchange.spend_from_peers),
            executor=callers,
            max_connections=max_tasks,
            clock=self.clock,
            timeline=self.timeline,
            metrics=self.metrics,
        )

    def _make_failover(self, stack: ExitStack) -> FailoverMonitor:
        tasks = stack.enter_context(ThreadPoolExecutor(MAX_FAILOVER_TASKS, "failover"))
        links = FleetLinks(self.links, self.peers, self.clock)
        handlers = FailoverHandlers(self.groups, links, self.clock)
        self.peers.register_handler(PrimaryQuestion, handlers.on_primary_question)
        self.peers.register_handler(PrimaryChanged, handlers.on_primary_changed)
        promoter = Promoter(
            self.instance_id,
            self.data_centre,
            self.groups,
            self.membership,
            links,
            self.rng,
            self.timeline,
        )
        failover = FailoverMonitor(
            self.instance_id,
            self.groups,
            self.membership,
            links,
            promoter,
            self.platform,
            self.clock,
            self.rng,
            tasks.submit,
        )
        stack.callback(failover.stop)
        return failover

    def _listen(self, stack: ExitStack, control: Executor, peer_tasks: Executor) -> None:
        operators = OperatorService(
            executor=control,
            connections=self.connections,
            store=self.store,
            groups=self.groups,
            timeline=self.timeline,
            membership=self.membership,
            state=lambda: self.state,
        )
        peers = PeerService(self.loop, self.peers, peer_tasks)
        callers = CallerService(self.loop, self.connections)
        address = parse_address(self.cfg.control_listen)
        digests = (self.cfg.operator_key_digests or "").split()
        services = [AuthenticatedService(operators, digests), peers]
        stack.enter_context(Listener(self.loop, address, services))
        address = parse_address(self.cfg.listen)
        stack.enter_context(Listener(self.loop, address, [callers]))

    def _open_connection(self, info: TargetInfo, generation: int, timeout_s: float):  # noqa: ANN202
        opening = Open(instance=self.instance_id, data_centre=self.data_centre)
        return open_grpc_target(self.loop, info, opening, generation, timeout_s)

    def _open_control_connection(self, info: TargetInfo, generation: int, timeout_s: float):  # noqa: ANN202
        opening = Open(instance=self.instance_id, data_centre=self.data_centre, control=True)
        return open_grpc_target(self.loop, info, opening, generation, timeout_s)

    def _connection_limit(self, target: TargetId) -> int:
        """Return how many connections to a target this instance can expect to have.

        This is an equal share of the limit of the fleet, or the number of permits that the
        instance holds, if that is larger.
        """
        share = self._fleet_connection_limit(target) // max(1, len(self.membership.instances()))
        return max(share, self.exchange.ledger.units(permit_key(target)))

    def _target_slots(self, target: TargetId) -> int:
        view = self.groups.find(target)
        return view.state.slots if view and view.state else 0

    def _maintain_pool_until_stopped(self) -> None:
        while not self._stopping.wait(POOL_MAINTENANCE_INTERVAL_S):
            self.pool.maintain()

    def _make_platform_watcher(self) -> PlatformWatcher:
        return PlatformWatcher(
            self.platform,
            self.instance_id,
            self.data_centre,
            self.store,
            self.lists,
            self.membership.local_instance_count,
            self.clock,
            self.rng,
            self.timeline,
        )

    def _watch_groups_until_stopped(self) -> None:
        while not self._stopping.wait(GROUP_WATCH_INTERVAL_S):
            self._watch_groups()

    def _announce_leaving_target(self, target: TargetId) -> None:
        self.membership.announce_departure(DepartureKind.TARGET, target)
        self.gossip.announce()

    def _mark_leaving_target(self, target: TargetId) -> None:
        self.groups.mark_leaving(target)
        self.timeline.record(EventKind.TARGET_LEAVING, target=target)

    def _apply_lists(self, lists: PlatformLists) -> None:
        self.membership.set_platform_list(list(lists.instances.values()))
        for group in lists.groups.values():
            self.groups.set_targets(_group_targets(group))
        self._watch_groups()

    def _watch_groups(self) -> None:
        groups = {view.info.group for view in self.groups.targets()}
        watched = []
        for group in groups:
            watchers = group_watchers(self.groups, self.membership, group)
            if self.instance_id in {info.instance for info in watchers}:
                watched.append(group)
        self.links.watch(watched)

    @property
    def drain_callbacks(self) -> list[Callable[[], None]]:
        """Callbacks of a planned stop, called after the wait for open work."""
        return self._drain.handover_callbacks

    def _make_drain(self) -> Drain:
        return Drain(
            instance=self.instance_id,
            connections=self.connections,
            membership=self.membership,
            gossip=self.gossip,
            links=self.peers,
            platform_watcher=self.platform_watcher,
            timeline=self.timeline,
            clock=self.clock,
        )

    def drain(self, timeout_s: float | None = None) -> DrainResult:
        """Refuse new callers, send the others to other instances, wait for open work, hand over.

        Parameters
        ----------
        timeout_s : float, optional
            Maximum wait for open work, in seconds. Defaults to the setting ``drain_s``.

        Returns
        -------
        DrainResult
            Connections and requests that were still open at the end of the wait.
        """
        self.state = InstanceState.DRAINING
        max_wait_s = timeout_s if timeout_s is not None else self.cfg.drain_s or DEFAULT_DRAIN_S
        return self._drain.run(max_wait_s)

    def cut_drain_short(self) -> None:
        """End the wait of a running drain for open work."""
        self._drain.stop_waiting()


def _group_targets(group: Group) -> list[tuple[TargetInfo, bool]]:
    return [
        (
            TargetInfo(
                TargetId(entry.target),
                GroupId(group.group),
                DataCentre(entry.data_centre),
                parse_address(entry.address, place=entry.target),
            ),
            entry.leaving,
        )
        for entry in group.targets
    ]
