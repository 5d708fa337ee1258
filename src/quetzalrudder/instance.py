"""One instance, put together: every part, owned by one exit stack."""

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
from quetzalrudder.failover import Failover, FailoverHandlers, FleetLinks
from quetzalrudder.groups import GroupTable
from quetzalrudder.links import ControlLinks
from quetzalrudder.membership import Membership
from quetzalrudder.metrics import Metrics
from quetzalrudder.models import DataCentre, GroupId, InstanceId, InstanceState, TargetId
from quetzalrudder.operator_keys import AuthenticatedService
from quetzalrudder.peers import PeerLinks, PeerService
from quetzalrudder.pool import ConnectionPool
from quetzalrudder.promotion import Promoter, group_watchers
from quetzalrudder.rates import FleetLimits, RateGate
from quetzalrudder.routing import ReadRouter
from quetzalrudder.schema.peers import DepartureKind, PrimaryChanged, PrimaryQuestion
from quetzalrudder.schema.platform import Group
from quetzalrudder.schema.settings import DaemonSettings
from quetzalrudder.schema.target import Open
from quetzalrudder.services import CallerService, OperatorService
from quetzalrudder.settings_store import SettingsStore
from quetzalrudder.share_exchange import ShareExchange
from quetzalrudder.shared_lists import Lists, SharedLists
from quetzalrudder.shares import ShareLedger, permit_key
from quetzalrudder.spread import Spreader
from quetzalrudder.statements import StatementRunner
from quetzalrudder.timeline import EventKind, Timeline
from quetzalrudder.transactions import TransactionRunner
from quetzalrudder.utils import Clock, SystemClock, parse_address
from quetzalrudder.watching import WatchDuty
from quetzalrudder.writes import Confirmer

__all__ = ["Instance"]

log = logging.getLogger(__name__)

DEFAULT_MAX_TASKS = 256
DEFAULT_DRAIN_S = 30
MAX_CONTROL_TASKS = 256
MAX_PEER_TASKS = 256
MAX_FAILOVER_TASKS = 16
LIST_INTERVAL_S = 1.0
POOL_INTERVAL_S = 0.1
INCARNATION_BITS = 64


class Instance:
    """A running instance.

    Parameters
    ----------
    cfg : DaemonSettings
        Its checked settings.
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
        self.instance = InstanceId(cfg.instance)
        self.data_centre = DataCentre(cfg.data_centre)
        self.state = InstanceState.STARTING
        self.timeline = Timeline(self.instance, self.clock)
        self.groups = GroupTable(self.clock)
        seeds = [parse_address(text) for text in (cfg.peers or "").split()]
        self.membership = Membership(self.instance, self.data_centre, self.clock, seeds)
        self.lists = SharedLists(self._use_lists)
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
            self.loop, parse_address(cfg.platform), self.instance, self.data_centre
        )
        stack.callback(platform.close)
        self.platform: Platform = platform
        self.store = SettingsStore(self.platform, self.clock, self.timeline)
        self.links = stack.enter_context(
            ControlLinks(self.groups, self._open_control, control, self.clock, self.timeline)
        )
        self.peers = stack.enter_context(
            PeerLinks(
                self.loop, self.instance, self.data_centre, self.membership, self.timeline.clock
            )
        )
        self.exchange = self._make_exchange()
        stack.callback(self.exchange.stop)
        self.pool = stack.enter_context(
            ConnectionPool(self._open_conn, self.exchange, self._slots_of, self.clock)
        )
        self.failover = self._make_failover(stack)
        control.submit(self.failover.run)
        self.connections = self._make_connections(callers, max_tasks)
        control.submit(self.exchange.run)
        control.submit(self.exchange.run_census)
        control.submit(self._maintain_pool)
        self.spreader = Spreader(
            self.peers,
            self.membership,
            self.store,
            self.lists,
            self.data_centre,
            self.clock,
            self.timeline,
        )
        self.membership.on_target_leaving = self._use_departure
        self.groups.on_leaving = self._tell_leaving
        self.duty = self._make_duty()
        self._drain = self._make_drain()
        self.on_drain.extend([self.pool.close, self.exchange.hand_over])
        control.submit(self.connections.watch_keys, self._stopping)
        self._listen(stack, control, peer_tasks)
        control.submit(self.duty.run, self._stopping)
        control.submit(self._follow_groups)
        control.submit(self.spreader.run, self._stopping)
        self.state = InstanceState.SERVING
        self.timeline.record(EventKind.STARTED)

    def _make_exchange(self) -> ShareExchange:
        ledger = ShareLedger(
            incarnation=f"{self.instance}/{self.rng.getrandbits(INCARNATION_BITS):x}",
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
            instance=self.instance,
            data_centre=self.data_centre,
            store=self.store,
            runner=runner,
            transactions=TransactionRunner(
                runner, self.pool, self._connection_limit, self.clock, self.rng
            ),
            rates=RateGate(self.exchange.ledger, self.exchange.seek),
            executor=callers,
            max_connections=max_tasks,
            clock=self.clock,
            timeline=self.timeline,
            metrics=self.metrics,
        )

    def _make_failover(self, stack: ExitStack) -> Failover:
        tasks = stack.enter_context(ThreadPoolExecutor(MAX_FAILOVER_TASKS, "failover"))
        links = FleetLinks(self.links, self.peers, self.clock)
        handlers = FailoverHandlers(self.groups, links, self.clock)
        self.peers.on(PrimaryQuestion, handlers.on_question)
        self.peers.on(PrimaryChanged, handlers.on_changed)
        promoter = Promoter(
            self.instance,
            self.data_centre,
            self.groups,
            self.membership,
            links,
            self.rng,
            self.timeline,
        )
        failover = Failover(
            self.instance,
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

    def _open_conn(self, info: TargetInfo, generation: int, timeout_s: float):  # noqa: ANN202
        opening = Open(instance=self.instance, data_centre=self.data_centre)
        return open_grpc_target(self.loop, info, opening, generation, timeout_s)

    def _open_control(self, info: TargetInfo, generation: int, timeout_s: float):  # noqa: ANN202
        opening = Open(instance=self.instance, data_centre=self.data_centre, control=True)
        return open_grpc_target(self.loop, info, opening, generation, timeout_s)

    def _connection_limit(self, target: TargetId) -> int:
        """Give the connections that this instance holds or may count on."""
        equal = self._fleet_connection_limit(target) // max(1, len(self.membership.instances()))
        return max(equal, self.exchange.ledger.units(permit_key(target)))

    def _slots_of(self, target: TargetId) -> int:
        view = self.groups.find(target)
        return view.state.slots if view and view.state else 0

    def _maintain_pool(self) -> None:
        while not self._stopping.wait(POOL_INTERVAL_S):
            self.pool.maintain()

    def _make_duty(self) -> WatchDuty:
        return WatchDuty(
            self.platform,
            self.instance,
            self.data_centre,
            self.store,
            self.lists,
            self.membership.local_count,
            self.clock,
            self.rng,
            self.timeline,
        )

    def _follow_groups(self) -> None:
        while not self._stopping.wait(LIST_INTERVAL_S):
            self._watch_groups()

    def _tell_leaving(self, target: TargetId) -> None:
        self.membership.announce_departure(DepartureKind.TARGET, target)
        self.spreader.announce()

    def _use_departure(self, target: TargetId) -> None:
        self.groups.mark_leaving(target)
        self.timeline.record(EventKind.TARGET_LEAVING, target=target)

    def _use_lists(self, lists: Lists) -> None:
        self.membership.set_list(list(lists.instances.values()))
        for group in lists.groups.values():
            self.groups.set_targets(_targets_of(group))
        self._watch_groups()

    def _watch_groups(self) -> None:
        groups = {view.info.group for view in self.groups.targets()}
        watched = []
        for group in groups:
            watchers = group_watchers(self.groups, self.membership, group)
            if self.instance in {info.instance for info in watchers}:
                watched.append(group)
        self.links.watch(watched)

    @property
    def on_drain(self) -> list[Callable[[], None]]:
        """Calls of a planned stop, made once no caller has open work."""
        return self._drain.callbacks

    def _make_drain(self) -> Drain:
        return Drain(
            instance=self.instance,
            connections=self.connections,
            membership=self.membership,
            spreader=self.spreader,
            links=self.peers,
            duty=self.duty,
            timeline=self.timeline,
            clock=self.clock,
        )

    def drain(self, timeout_s: float | None = None) -> DrainResult:
        """Stop accepting, tell callers to move on, wait for them, and hand over.

        Returns
        -------
        DrainResult
            What was still open at the end of the wait.
        """
        self.state = InstanceState.DRAINING
        wait_s = timeout_s if timeout_s is not None else self.cfg.drain_s or DEFAULT_DRAIN_S
        return self._drain.run(wait_s)

    def cut_drain_short(self) -> None:
        """End the wait for open work."""
        self._drain.cut_short()


def _targets_of(group: Group) -> list[tuple[TargetInfo, bool]]:
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
