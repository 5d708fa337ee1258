"""Puts the parts of the gateway together and owns them."""

import logging
import random
import threading
import uuid
from collections.abc import Callable
from concurrent.futures import Executor, Future
from contextlib import ExitStack
from dataclasses import dataclass

from quetzalrudder.exceptions import MalformedMessage
from quetzalrudder.gateway.attempts import AttemptPlanner
from quetzalrudder.gateway.catalog import CatalogHolder
from quetzalrudder.gateway.connections import GatewayPool
from quetzalrudder.gateway.failover import FailoverDuty, Promoter
from quetzalrudder.gateway.leadership import LeaderTable, MemberTable, Permission
from quetzalrudder.gateway.measurements import Measurements
from quetzalrudder.gateway.membership import Membership
from quetzalrudder.gateway.mirror import PrefixHandler, StoreContact, StoreMirror
from quetzalrudder.gateway.placement import Placement
from quetzalrudder.gateway.probing import PooledProber, PrimaryWatch
from quetzalrudder.gateway.quotas import QuotaRules, QuotaTable
from quetzalrudder.gateway.records import (
    DUTY_KEY,
    LEADER_PREFIX,
    MEMBER_PREFIX,
    PREFIX,
    decode_duty,
    decode_leader,
    decode_member,
)
from quetzalrudder.gateway.sessions import Gateway, ProxySession
from quetzalrudder.gateway.statements import TargetConnector
from quetzalrudder.gateway.store import Item, Store
from quetzalrudder.gateway.targets import Target, TargetRegistry
from quetzalrudder.models import DataCentre, GroupId, InstanceId, TargetId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["GatewayInstance", "InstanceIdentity"]

log = logging.getLogger(__name__)

# How often idle connections are looked through for closed ones, and groups for new ones.
CARE_S = 0.25
DEFAULT_CONNECTIONS = 8


@dataclass(frozen=True)
class InstanceIdentity:
    """Who this process is."""

    instance: InstanceId
    data_centre: DataCentre


class GatewayInstance:
    """One entry instance, without its listeners.

    Parameters
    ----------
    identity : InstanceIdentity
        Who this process is.
    open_store : Callable
        Gives a client of the store; each task has its own.
    connector, promoter
        Connections to databases, and the platform's call that promotes one.
    quota_rules : QuotaRules
        How the operators count.
    clock : Clock
        Source of time; it must count suspensions.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        *,
        identity: InstanceIdentity,
        open_store: Callable[[], Store],
        connector: TargetConnector,
        promoter: Promoter,
        quota_rules: QuotaRules,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._identity = identity
        self._clock = clock
        self.catalogs = CatalogHolder()
        self.registry = TargetRegistry(clock)
        self.measurements = Measurements()
        self.permission = Permission(clock)
        self.leaders = LeaderTable(self.permission, clock)
        self.members = MemberTable(clock)
        self.contact = StoreContact(clock)
        self.pool = GatewayPool(connector, self._connection_limit, clock)
        placement = Placement(self.registry, self.pool, identity.data_centre, rng, clock)
        self.planner = AttemptPlanner(
            registry=self.registry,
            leaders=self.leaders,
            placement=placement,
            pool=self.pool,
            clock=clock,
        )
        self.prober = PooledProber(self.pool, connector, self._any_workspace)
        self._gateway = Gateway(
            catalogs=self.catalogs,
            planner=self.planner,
            quotas=QuotaTable(quota_rules, clock),
            instances=self.members.count,
            measurements=self.measurements,
            clock=clock,
            rng=rng,
        )
        incarnation = uuid.uuid4().hex[:12]
        self._open_store = open_store
        self.membership = Membership(
            store=open_store(),
            instance=identity.instance,
            incarnation=incarnation,
            permission=self.permission,
            leaders=self.leaders,
            suspects=self._suspects,
            contact=self.contact,
            clock=clock,
        )
        self.duty = FailoverDuty(
            store=open_store(),
            promoter=promoter,
            prober=self.prober,
            instance=identity.instance,
            incarnation=incarnation,
            registry=self.registry,
            leaders=self.leaders,
            members=self.members,
            contact=self.contact,
            rng=rng,
            clock=clock,
        )
        self._watches: dict[GroupId, PrimaryWatch] = {}
        self._stopping = threading.Event()
        self._tasks: list[Future] = []

    def open_session(self, database: str, key: str) -> ProxySession:
        """Make a caller's session."""
        return ProxySession(self._gateway, database, key)

    @property
    def ready(self) -> bool:
        """True once callers can be served."""
        return self.catalogs.current.version > 0 and bool(self.registry.all_targets())

    def start(self, executor: Executor, handlers: list[PrefixHandler], stack: ExitStack) -> None:
        """Start all tasks; they end when the stack is closed.

        Parameters
        ----------
        executor : Executor
            Runs the tasks.
        handlers : list of PrefixHandler
            Who takes the keys that are not the gateway's own.
        stack : ExitStack
            Owns the tasks.
        """
        stack.enter_context(self.pool)
        own = PrefixHandler(PREFIX, self._replace_own, self._change_own)
        mirror = StoreMirror(self._open_store(), [*handlers, own], self.contact, self._clock)
        stack.callback(self._stop)
        for name, run in (
            ("mirror", mirror.run),
            ("membership", self.membership.run),
            ("duty", self.duty.run),
            ("care", lambda stopping: self._care(executor, stopping)),
        ):
            self._start_task(executor, name, run)

    def _start_task(
        self, executor: Executor, name: str, run: Callable[[threading.Event], None]
    ) -> None:
        self._tasks.append(executor.submit(self._supervise, name, run))

    def _supervise(self, name: str, run: Callable[[threading.Event], None]) -> None:
        """Run a task again after a defect, so that one bad record does not end it."""
        while not self._stopping.is_set():
            try:
                run(self._stopping)
            except Exception:
                log.exception("task ended by a defect", extra={"task": name})
                self._stopping.wait(CARE_S)

    def _stop(self) -> None:
        self._stopping.set()
        for task in self._tasks:
            task.result()

    def _care(self, executor: Executor, stopping: threading.Event) -> None:
        while not stopping.wait(CARE_S):
            targets = self.registry.all_targets()
            for group in {target.group for target in targets} - self._watches.keys():
                watch = PrimaryWatch(
                    group=group,
                    leaders=self.leaders,
                    registry=self.registry,
                    planner=self.planner,
                    prober=self.prober,
                    clock=self._clock,
                )
                self._watches[group] = watch
                self._start_task(executor, f"watch {group}", watch.run)
            self.pool.forget_except({target.target for target in targets})
            self.pool.drop_broken()

    def _suspects(self) -> dict[GroupId, TargetId]:
        found = {group: watch.suspect() for group, watch in list(self._watches.items())}
        return {group: target for group, target in found.items() if target is not None}

    def _connection_limit(self, target: Target) -> int:
        settings = self.catalogs.current.groups.get(target.group)
        if settings is None or settings.max_connections <= 0:
            return DEFAULT_CONNECTIONS
        return max(1, settings.max_connections // self.members.count())

    def _any_workspace(self) -> WorkspaceId | None:
        return next(iter(self.catalogs.current.workspaces), None)

    # The gateway's own keys.

    def _replace_own(self, items: list[Item]) -> None:
        members = []
        duty = None
        for item in items:
            if item.key.startswith(MEMBER_PREFIX):
                members.append(item)
            elif item.key == DUTY_KEY:
                duty = item
            else:
                self._change_own(item)
        self.members.replace_all([decode_member(item) for item in members])
        self.duty.observe(decode_duty(duty) if duty is not None else None)

    def _change_own(self, item: Item) -> None:
        try:
            if item.key.startswith(MEMBER_PREFIX):
                self._change_member(item)
            elif item.key == DUTY_KEY:
                self.duty.observe(None if item.value is None else decode_duty(item))
            elif item.key.startswith(LEADER_PREFIX) and item.value is not None:
                self.leaders.observe(decode_leader(item))
        except MalformedMessage as exc:
            log.error("record of the store cannot be read", extra={"reason": str(exc)})

    def _change_member(self, item: Item) -> None:
        if item.value is None:
            self.members.remove(InstanceId(item.key.removeprefix(MEMBER_PREFIX)))
        else:
            self.members.put(decode_member(item))
