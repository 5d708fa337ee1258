"""Assembly of the parts of a gateway instance, and its background tasks."""

import logging
import math
import random
import secrets
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent.futures import Executor, Future, wait
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial

from quetzalrudder import processor_time
from quetzalrudder.gateway.assignments import FleetView
from quetzalrudder.gateway.attempts import AttemptPlanner
from quetzalrudder.gateway.authorization import Authorizer
from quetzalrudder.gateway.batching import batch_delay_s
from quetzalrudder.gateway.borrowing import FleetConnectionPool, owners_of, watchers_of
from quetzalrudder.gateway.catalog import Catalog, CurrentCatalog, Workspace
from quetzalrudder.gateway.change_log import ChangeLog
from quetzalrudder.gateway.connections import GatewayPool
from quetzalrudder.gateway.data_centre_exit import CrossingPrice
from quetzalrudder.gateway.era_store import EraStore, EraTellingStore
from quetzalrudder.gateway.evacuation import (
    DEFAULT_EVACUATION_LIMIT_S,
    EvacuationGuard,
    EvacuationTable,
)
from quetzalrudder.gateway.failover import (
    ROSTER_RETENTION_S,
    FailoverCoordinator,
)
from quetzalrudder.gateway.lending import ConnectionLender
from quetzalrudder.gateway.measurements import Metrics
from quetzalrudder.gateway.members import MemberRecord, MemberTable
from quetzalrudder.gateway.membership import RETRY_DELAY_S as LEASE_RETRY_DELAY_S
from quetzalrudder.gateway.membership import MembershipLease
from quetzalrudder.gateway.mirror import RETRY_DELAY_S, PrefixHandler, StoreMirror, watch_wait_s
from quetzalrudder.gateway.peering import LocalInstance, PeerCaller, Peering
from quetzalrudder.gateway.permission import LeaseSpan, Permission
from quetzalrudder.gateway.placement import Placement
from quetzalrudder.gateway.positions import PositionExchange
from quetzalrudder.gateway.primaries import PrimaryRecord, PrimaryTable
from quetzalrudder.gateway.probing import PooledProber, PrimaryHealthCheck
from quetzalrudder.gateway.promotion_calls import PromotionClient
from quetzalrudder.gateway.queue_refusals import QueueRefusals
from quetzalrudder.gateway.quotas import QuotaRules
from quetzalrudder.gateway.rate_parts import RateDivision
from quetzalrudder.gateway.rate_tokens import RateLimiter
from quetzalrudder.gateway.records import (
    COORDINATOR_KEY,
    KEY_PREFIX,
    MEMBER_PREFIX,
    PRIMARY_PREFIX,
    ROSTER_PREFIX,
    CoordinatorRecord,
    decode_coordinator,
    decode_member,
    decode_primary,
    decode_roster,
)
from quetzalrudder.gateway.relays import RELAY_AGE_MARGIN_S, RelayedWatch, relay_count
from quetzalrudder.gateway.retry_delay import RetryDelay
from quetzalrudder.gateway.running import GatewayServices
from quetzalrudder.gateway.sessions import ProxySession
from quetzalrudder.gateway.slot_links import SlotLimitedConnector
from quetzalrudder.gateway.slot_share import slot_parts
from quetzalrudder.gateway.slots import SlotLimiters
from quetzalrudder.gateway.statements import TargetConnector
from quetzalrudder.gateway.store import Item, era_of
from quetzalrudder.gateway.store_calls import CountedStore, StoreCall
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.store_eras import StoreEras
from quetzalrudder.gateway.targets import Target, TargetRegistry
from quetzalrudder.gateway.wakeups import WakeUp
from quetzalrudder.gateway.warming import WarmingConnector, WarmingTable
from quetzalrudder.models import DataCentre, GroupId, InstanceId, TargetId, WorkspaceId
from quetzalrudder.schema.gateway import (
    ChangesReply,
    ChangesRequest,
    EndRequest,
    PeerReply,
    PeerReport,
    PositionReply,
    PositionRequest,
    RunReply,
    RunRequest,
    TakeOverReply,
    TakeOverRequest,
    TokenReply,
    TokenRequest,
)
from quetzalrudder.utils import Clock

__all__ = ["GatewayInstance", "InstanceIdentity"]

log = logging.getLogger(__name__)

# Interval of the checks for idle connections that were closed and for new groups.
MAINTENANCE_INTERVAL_S = 0.25
MAINTENANCE_TASK = "maintenance"
# Connection limit of a group that configures none.
DEFAULT_CONNECTION_LIMIT = 8
# Time within which a configuration must be in force: the shortest that the users require.
DEFAULT_CONVERGENCE_S = 3.0
# Fraction of a database's connections that its connection owners use. The rest is for the
# health checks of watchers, and for owners that have just changed.
OWNER_CONNECTION_FRACTION = 0.8
# Timeout of the calls that end the lease and the roster entry; an exit without them is safe.
LEAVE_TIMEOUT_S = 0.5
INCARNATION_BYTES = 6


@dataclass(frozen=True)
class InstanceIdentity:
    """Identity of this process in the fleet."""

    instance: InstanceId
    data_centre: DataCentre
    # Address at which other instances call this one.
    peer_address: str


class GatewayInstance:
    """One instance of the gateway, without its network listeners.

    Parameters
    ----------
    identity : InstanceIdentity
        Identity of this process in the fleet.
    open_store : Callable
        Returns a client of the store; each task has its own.
    connector, promotion_client
        Opens connections to databases, and calls the platform to promote one.
    caller : PeerCaller
        Calls other instances.
    decode_catalog : Callable
        Decodes a configuration from the store.
    quota_rules : QuotaRules
        The operators' rules for quotas.
    clock : Clock
        Source of time; it must advance while the machine is suspended.
    rng : random.Random
        Source of jitter.
    convergence_s : float
        Time within which a configuration must be in force, in seconds.
    evacuation_limit_s : float
        Time after which no request may reach an evacuated data centre, in seconds.
    drain_limit_s : float
        Time after which no request may reach a database that has announced that it is about to
        stop, in seconds; infinite: none is refused for that.
    crossing_price : CrossingPrice, optional
        What traffic between data centres is worth to the operator; None: only time counts.
    data_centres : sequence of DataCentre, optional
        All data centres of the deployment, each of which gets a part of the workspaces' rates.
    """

    def __init__(
        self,
        *,
        identity: InstanceIdentity,
        open_store: Callable[[], EraTellingStore],
        connector: TargetConnector,
        promotion_client: PromotionClient,
        caller: PeerCaller,
        decode_catalog: Callable[[bytes], Catalog],
        quota_rules: QuotaRules,
        clock: Clock,
        rng: random.Random,
        convergence_s: float = DEFAULT_CONVERGENCE_S,
        evacuation_limit_s: float = DEFAULT_EVACUATION_LIMIT_S,
        drain_limit_s: float = math.inf,
        crossing_price: CrossingPrice | None = None,
        data_centres: Sequence[DataCentre] = (),
    ) -> None:
        self._identity = identity
        self._convergence_s = convergence_s
        self._clock = clock
        self.catalogs = CurrentCatalog()
        self.metrics = Metrics()
        self.contact = StoreContact(clock, convergence_s)
        self.eras = StoreEras(clock, rewrite_s=convergence_s)
        self.metrics.watch_view_age(lambda: self.contact.view_age_s)
        self.evacuations = EvacuationTable(
            self.contact,
            clock,
            evacuation_limit_s,
            self.metrics.set_evacuated,
            lambda: self._watches_store(),
        )
        self.warming = WarmingTable(
            lambda: self.registry.all_targets(), self._cold_rate_per_s, clock
        )
        self.registry = TargetRegistry(
            clock,
            self.evacuations.is_evacuated,
            self.warming.observe,
            lambda: self.contact.view_age_s,
            lambda: self.contact.viewed_since,
        )
        connector = WarmingConnector(
            EvacuationGuard(connector, self.evacuations),
            self.warming,
            lambda limit: self.rates.admit(limit),
            lambda: identity.instance in self.view.live_instances(),
            clock,
        )
        self.permission = Permission(clock)
        self.primaries = PrimaryTable(self.permission, clock, self._primary_changed, self.eras)
        self.members = MemberTable(clock)
        self.eras.add_listener(self._begin_era)
        self.view = FleetView(self.members)
        refusals = QueueRefusals(self.metrics.count_queue_refusal, clock)
        self.limiters = SlotLimiters(
            self._slot_part, self.catalogs.weight_of, refusals.record, rng, clock
        )
        self.pool = GatewayPool(
            SlotLimitedConnector(connector, self.limiters, clock),
            self._connection_limit,
            clock,
            self.limiters,
        )
        fleet_pool = FleetConnectionPool(
            identity.instance, self.view, self.pool, caller, rng, clock
        )
        placement = Placement(
            self.registry,
            fleet_pool,
            identity.data_centre,
            rng,
            clock,
            is_large=lambda: self.view.is_large,
            queue_delay_s=fleet_pool.expected_delay_s,
            count_change=self.metrics.count_share_change,
            crossing_price=crossing_price,
            count_crossing=self.metrics.count_crossing,
        )
        self.planner = AttemptPlanner(
            registry=self.registry,
            evacuations=self.evacuations,
            primaries=self.primaries,
            placement=placement,
            pool=fleet_pool,
            refresh_position=lambda group: self.positions.refresh(group),
            permission=self.permission,
            contact=self.contact,
            eras=self.eras,
            drain_limit_s=drain_limit_s,
            rng=rng,
            clock=clock,
        )
        self.positions = PositionExchange(
            instance=identity.instance,
            view=self.view,
            primaries=self.primaries,
            registry=self.registry,
            window=self.planner.position_window,
            query_primary=self._query_primary,
            caller=caller,
            clock=clock,
        )
        self.lender = ConnectionLender(self.registry, self.pool, lambda: self._leaving, clock)
        self.prober = PooledProber(self.pool, connector, self._any_workspace)
        self.rates = RateLimiter(
            instance=identity.instance,
            view=self.view,
            division=RateDivision(
                self.view,
                identity.data_centre,
                data_centres,
                quota_rules,
                lambda: self.peering.continuing(),
                clock,
            ),
            rules=quota_rules,
            caller=caller,
            workspaces=self._limits,
            usable_fraction=lambda data_centre: self.peering.partition_fraction(data_centre),
            lease_opened_at=self._lease_opened_at,
            clock=clock,
        )
        self._services = GatewayServices(
            authorizer=Authorizer(
                self.catalogs,
                self.contact,
                self.eras,
                self.metrics.count_unconfirmed_refusal,
                rng,
            ),
            planner=self.planner,
            rates=self.rates,
            metrics=self.metrics,
            clock=clock,
            rng=rng,
        )
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._caller = caller
        self._rng = rng
        self.change_log = ChangeLog(clock)
        self._mirror: StoreMirror | None = None
        self._open_store = lambda on_return: EraStore(
            CountedStore(open_store(), self._count_store_call), self.eras, on_return
        )
        self.membership = MembershipLease(
            store=self._open_store(self._note_return),
            instance=identity.instance,
            incarnation=incarnation,
            address=identity.peer_address,
            data_centre=identity.data_centre,
            permission=self.permission,
            primaries=self.primaries,
            members=self.members,
            suspects=self._suspects,
            unreached=self.rates.unreached,
            contact=self.contact,
            eras=self.eras,
            clock=clock,
            retry_delay=RetryDelay(LEASE_RETRY_DELAY_S, lambda: self.view.is_large, rng),
            watches_store=self._watches_store,
            rng=rng,
        )
        self.failover = FailoverCoordinator(
            store=self._open_store(self._note_return),
            promotion_client=promotion_client,
            prober=self.prober,
            instance=identity.instance,
            incarnation=incarnation,
            registry=self.registry,
            primaries=self.primaries,
            members=self.members,
            contact=self.contact,
            eras=self.eras,
            is_used=self._is_used,
            watchers=self._watchers,
            lease_span=self._watched_lease_span,
            confirms_commits=self.catalogs.confirms_commits,
            primary_position=lambda group: self.planner.position_window(group).newest(),
            on_wait=self.metrics.set_promotion_waits,
            may_coordinate=self._watches_store,
            candidate_count=self._candidate_count,
            rng=rng,
            clock=clock,
            drain_limit_s=drain_limit_s,
        )
        self.peering = Peering(
            local=LocalInstance(identity.instance, incarnation, identity.peer_address),
            caller=caller,
            permission=self.permission,
            primaries=self.primaries,
            members=self.members,
            catalogs=self.catalogs,
            evacuations=self.evacuations,
            warming=self.warming,
            contact=self.contact,
            eras=self.eras,
            coordinator=lambda: self.failover.coordinator_lease.observed_coordinator,
            roster_views=self.membership.roster_views,
            decode_catalog=decode_catalog,
            rng=rng,
            clock=clock,
        )
        # Ends the wait of the maintenance when ownership of rates may have moved.
        self._maintenance_wake_up = WakeUp()
        self._health_checks: dict[GroupId, PrimaryHealthCheck] = {}
        self._leaving = False
        # Revision of the store at the latest full read.
        self._read_revision = 0
        self._stopping = threading.Event()
        self._tasks: dict[str, Future] = {}

    def open_session(self, database: str, key: str) -> ProxySession:
        """Create the session of a caller."""
        return ProxySession(self._services, database, key)

    def answer_report(self, report: PeerReport) -> PeerReply:
        """Answer a peer's report."""
        return self.peering.answer(report)

    def answer_position(self, req: PositionRequest) -> PositionReply:
        """Answer a peer's request for a log position."""
        return self.positions.answer(req)

    def run_lent_statement(self, req: RunRequest) -> RunReply:
        """Run a peer's statement on a connection of this instance."""
        return self.lender.run(req)

    def return_lent_connection(self, req: EndRequest) -> None:
        """Take back a connection lent to a peer."""
        self.lender.end(req)

    def answer_token(self, req: TokenRequest) -> TokenReply:
        """Answer a peer's request for a rate token."""
        return self.rates.answer(req)

    def answer_changes(
        self, req: ChangesRequest, deliver: Callable[[ChangesReply], None]
    ) -> Callable[[], None]:
        """Answer a request for changes of the store, once there are any."""
        return self.change_log.answer(req, deliver)

    def answer_take_over(self, req: TakeOverRequest) -> TakeOverReply:
        """Hand out no more tokens of the rates that a peer owns from now on."""
        return self.rates.answer_take_over(req)

    @property
    def ready(self) -> bool:
        """True while this instance can serve callers at least as well as other instances."""
        configured = self.catalogs.current.version > 0 and bool(self.registry.serving_targets())
        return configured and not self.isolated

    @property
    def joined(self) -> bool:
        """True once this instance has been allowed to use primaries."""
        return self.permission.was_granted

    @property
    def isolated(self) -> bool:
        """True while this instance reaches neither the store nor most other instances."""
        return self.peering.isolated

    def start(self, executor: Executor, handlers: list[PrefixHandler], stack: ExitStack) -> None:
        """Start all background tasks; they end when the stack is closed.

        Parameters
        ----------
        executor : Executor
            Runs the tasks.
        handlers : list of PrefixHandler
            Handlers of the store's keys that are not the gateway's own.
        stack : ExitStack
            Stops the tasks when it is closed.
        """
        stack.enter_context(self.pool)
        self.failover.promotion_calls.executor = executor
        self.failover.survey.executor = executor
        self.failover.newer_leaders.executor = executor
        self.peering.catalog_fetch.executor = executor
        mirror = self.make_mirror(handlers)
        stack.callback(self._stop)
        for name, run in (
            ("mirror", mirror.run),
            ("membership", self.membership.run),
            ("failover", self.failover.run),
            ("peering", self.peering.run),
            (MAINTENANCE_TASK, lambda stopping: self._maintain(executor, stopping)),
        ):
            self._start_task(executor, name, run)

    def make_mirror(self, handlers: list[PrefixHandler]) -> StoreMirror:
        """Return the mirror of the store; ``handlers`` are those of other keys than its own."""
        gateway_records = PrefixHandler(
            KEY_PREFIX,
            self._replace_records,
            self._change_record,
            self._note_read_revision,
            single_keys=(COORDINATOR_KEY,),
        )
        self._mirror = StoreMirror(
            self._open_store(lambda: None),
            [*handlers, gateway_records],
            self.contact,
            self._clock,
            self._convergence_s,
            self._batch_delay_s,
            change_log=self.change_log,
            relays=self._make_relayed_watch(),
            retry_delay=RetryDelay(RETRY_DELAY_S, lambda: self.view.is_large, self._rng),
            on_direct=self.members.restart_absences,
            on_skip=self.metrics.count_skipped_item,
        )
        return self._mirror

    def _make_relayed_watch(self) -> RelayedWatch:
        return RelayedWatch(
            instance=self._identity.instance,
            data_centre=self._identity.data_centre,
            view=self.view,
            caller=self._caller,
            must_watch=self._must_watch_store,
            on_fault=lambda fault: self.metrics.count_relay_fault(fault.value),
            max_age_s=watch_wait_s(self._convergence_s) + RELAY_AGE_MARGIN_S,
            rng=self._rng,
            clock=self._clock,
        )

    def begin_stop(self) -> None:
        """Begin a planned stop: lend and grant nothing more, resign as failover coordinator."""
        self._leaving = True
        self.peering.stop_granting()
        self.failover.coordinator_lease.resign()
        self.failover.wake_up.set()

    def leave(self) -> None:
        """End the lease and the roster entry; called at a planned stop, after the drain."""
        self._end_tasks()
        wait([self._tasks["membership"], self._tasks["failover"]], LEAVE_TIMEOUT_S)

    def _start_task(
        self, executor: Executor, name: str, run: Callable[[threading.Event], None]
    ) -> None:
        self._tasks[name] = executor.submit(self._supervise, name, run)

    def _supervise(self, name: str, run: Callable[[threading.Event], None]) -> None:
        """Run a task; restart it after an unexpected error, so that no bad record ends it."""
        while not self._stopping.is_set():
            try:
                with processor_time.section(name.partition(" of ")[0]):
                    run(self._stopping)
            except Exception:
                log.exception(
                    "background task failed with an unexpected error", extra={"task": name}
                )
                self._stopping.wait(MAINTENANCE_INTERVAL_S)

    def _end_tasks(self) -> None:
        self.peering.stop_granting()
        self._stopping.set()
        self.membership.wake_up.set()
        self.failover.wake_up.set()
        if self._mirror is not None:
            self._mirror.wake_up.set()

    def _stop(self) -> None:
        self._end_tasks()
        if (maintenance := self._tasks.get(MAINTENANCE_TASK)) is not None:
            # It starts health checks until it ends.
            maintenance.result()
        for task in self._tasks.values():
            task.result()

    def _maintain(self, executor: Executor, stopping: threading.Event) -> None:
        while not stopping.is_set():
            self._maintenance_wake_up.wait(MAINTENANCE_INTERVAL_S)
            self.members.log_changes()
            self.contact.log_view_changes()
            self.members.forget_earlier_eras(self.eras.current, ROSTER_RETENTION_S)
            self.evacuations.end_missing()
            self.rates.refresh_ownership(executor)
            self.lender.reclaim_idle()
            self.pool.trim()
            targets = self.registry.all_targets()
            groups = {target.group for target in targets if self._is_used(target.group)}
            self.bound_departures(groups)
            for group in groups - self._health_checks.keys():
                health_check = PrimaryHealthCheck(
                    group=group,
                    primaries=self.primaries,
                    members=self.members,
                    registry=self.registry,
                    planner=self.planner,
                    prober=self.prober,
                    is_watcher=partial(self._is_watcher, group),
                    clock=self._clock,
                    on_suspicion=self.membership.wake_up.set,
                )
                self._health_checks[group] = health_check
                self._start_task(executor, f"health check of {group}", health_check.run)
            self.pool.retain_targets(
                {
                    target.target
                    for target in self.registry.serving_targets()
                    if not self.evacuations.is_closed(target.data_centre)
                }
            )
            broken = set(self.pool.close_broken())
            for record in self.primaries.records():
                if record.primary in broken:
                    self.planner.primary_monitor(record.group).mark_doubtful(record.primary)

    def bound_departures(self, groups: Iterable[GroupId]) -> None:
        """Note how far the databases that have left may have confirmed commits."""
        for group in groups:
            is_needed = self.failover.is_coordinator and self.catalogs.confirms_commits(group)
            if is_needed and self.registry.has_unbounded_departures(group):
                # In a large fleet, the coordinator need not watch the primary itself.
                self.positions.refresh(group)
            self.registry.bound_departures(group, self.planner.position_window(group).newest)

    def _primary_changed(self, record: PrimaryRecord) -> None:
        """Wake the tasks that acknowledge a change of primary and check the new one."""
        self.planner.outlook.observe(record)
        self.membership.wake_up.set()
        self.planner.primary_monitor(record.group).wake_up.set()

    def _batch_delay_s(self, changed: list[str]) -> float:
        changing = any(record.primary is None for record in self.primaries.records())
        suspected = any(member.suspects for member in self.members.members())
        return batch_delay_s(
            changed,
            is_large=self.view.is_large,
            is_urgent=changing or suspected or self.failover.is_coordinator,
            membership_prefixes=(MEMBER_PREFIX, ROSTER_PREFIX),
        )

    def _suspects(self) -> dict[GroupId, TargetId]:
        suspects = {
            group: health_check.suspected_primary()
            for group, health_check in list(self._health_checks.items())
        }
        return {group: target for group, target in suspects.items() if target is not None}

    def _lease_opened_at(self) -> float | None:
        span = self.membership.lease_span()
        return span.opened_at if span is not None else None

    def _limits(self) -> Mapping[WorkspaceId, Workspace]:
        """Return the workspaces with a rate, and the cold databases, which have one too."""
        workspaces, cold = self.catalogs.current.workspaces, self.warming.limits()
        return {**workspaces, **cold} if cold else workspaces

    def _cold_rate_per_s(self, group: GroupId) -> float:
        settings = self.catalogs.current.groups.get(group)
        return 0.0 if settings is None else settings.cold_rate_per_s

    def _connection_limit(self, target: Target) -> int:
        """Return how many connections to hold; those to an evacuated one decrease by degrees."""
        open_fraction = self.evacuations.open_fraction(target.data_centre)
        return max(1, int(self._connection_share(target) * open_fraction))

    def _connection_share(self, target: Target) -> int:
        settings = self.catalogs.current.groups.get(target.group)
        if settings is None or settings.max_connections <= 0:
            return DEFAULT_CONNECTION_LIMIT
        if not self.view.is_large:
            return max(1, settings.max_connections // self.members.count())
        owners = [record.instance for record in owners_of(self.view, target)]
        if self._identity.instance not in owners:
            # For this instance's own health checks.
            return 1
        return max(1, int(settings.max_connections * OWNER_CONNECTION_FRACTION) // len(owners))

    def _slot_part(self, target: Target) -> int:
        """Return this instance's slots at a database; 0 if statements do not wait for them."""
        if not self.view.is_large:
            return 0
        owners = [record.instance for record in owners_of(self.view, target)]
        parts = dict(zip(owners, slot_parts(target.slots, len(owners)), strict=True))
        # Instances that are not or no longer owners send their health checks, and what was begun.
        return parts.get(self._identity.instance, 1)

    def _is_used(self, group: GroupId) -> bool:
        """Return whether the configuration names a group, or it has had a primary."""
        used = self.catalogs.current.used_groups
        return group in used or self.primaries.record(group) is not None

    def _is_watcher(self, group: GroupId, primary: Target | None) -> bool:
        if not self.view.is_large:
            return True
        return self._identity.instance in watchers_of(self.view, group, primary)

    def _watchers(self, record: PrimaryRecord) -> list[MemberRecord]:
        if not self.view.is_large:
            return self.members.members()
        primary = self.registry.queryable(record.primary)
        return self.members.members_named(watchers_of(self.view, record.group, primary))

    def _must_watch_store(self) -> bool:
        """Return whether this instance has to see each change as soon as the store does."""
        coordinator = self.failover.coordinator_lease.observed_coordinator
        if (
            not self.view.is_large
            or self.failover.is_coordinator
            or coordinator == self._identity.instance
        ):
            return True
        suspected = {group for member in self.members.members() for group in member.suspects}
        return any(
            self._is_watcher(
                record.group, self.registry.queryable(record.primary or record.previous)
            )
            for record in self.primaries.records()
            if record.primary is None or record.group in suspected
        )

    def _watches_store(self) -> bool:
        return not self.view.is_large or self.change_log.is_watching

    def _watched_lease_span(self) -> LeaseSpan | None:
        """Return the span of the lease; None if absences are seen only with a delay."""
        return self.membership.lease_span() if self._watches_store() else None

    def _candidate_count(self) -> int:
        """Return how many instances may try to become the failover coordinator."""
        if not self.view.is_large:
            return self.members.count()
        return max(1, relay_count(self.view))

    def _note_return(self) -> None:
        """Let the view of the store follow at once, as the store answers again."""
        if self._mirror is not None:
            self._mirror.retry_pause.note_answer()

    def _count_store_call(self, call: StoreCall) -> None:
        self.metrics.count_store_call(call.value)
        processor_time.count(f"store call: {call.value}")

    def _query_primary(self, group: GroupId) -> None:
        health_check = self._health_checks.get(group)
        if health_check is not None:
            health_check.probe_now()

    def _any_workspace(self) -> WorkspaceId | None:
        # A name that the protocol of every database can carry.
        return next((name for name in self.catalogs.current.workspaces if name.isascii()), None)

    def _begin_era(self) -> None:
        """Wake the tasks whose leases are void, as the store has come back from an older copy."""
        if self.eras.was_observed:
            self.metrics.count_store_return()
        self.members.restart_absences()
        self.contact.interrupt_view()
        self.membership.wake_up.set()
        self.failover.wake_up.set()

    # Records under the gateway's own keys.

    def _note_read_revision(self, revision: int) -> None:
        self._read_revision = revision

    def _replace_records(self, items: list[Item]) -> None:
        era = era_of(self._read_revision)
        members, roster, primaries = [], [], []
        coordinator = None
        for item in items:
            if item.key.startswith(MEMBER_PREFIX):
                members.append(item)
            elif item.key.startswith(ROSTER_PREFIX):
                roster.append(item)
            elif item.key == COORDINATOR_KEY:
                coordinator = item
            elif item.key.startswith(PRIMARY_PREFIX):
                primaries.append(item)
        self.primaries.observe_all([decode_primary(item) for item in primaries], era)
        self.members.replace_all([decode_member(item) for item in members])
        self.members.replace_roster([decode_roster(item) for item in roster], era)
        self._observe_coordinator(
            decode_coordinator(coordinator) if coordinator is not None else None
        )
        self.membership.wake_up.set()

    def _change_record(self, item: Item) -> None:
        if item.key.startswith(MEMBER_PREFIX):
            self._change_member(item)
        elif item.key.startswith(ROSTER_PREFIX):
            self._change_roster(item)
        elif item.key == COORDINATOR_KEY:
            self._observe_coordinator(None if item.value is None else decode_coordinator(item))
        elif item.key.startswith(PRIMARY_PREFIX) and item.value is not None:
            self.primaries.observe(decode_primary(item))

    def _observe_coordinator(self, record: CoordinatorRecord | None) -> None:
        self.failover.coordinator_lease.observe(record)
        self.failover.wake_up.set()

    def _change_roster(self, item: Item) -> None:
        if item.value is None:
            self.members.remove_roster(InstanceId(item.key.removeprefix(ROSTER_PREFIX)))
        else:
            self.members.update_roster(decode_roster(item))
            # The own roster entry has to cover the new instance.
            self.membership.wake_up.set()

    def _change_member(self, item: Item) -> None:
        version = self.members.version
        if item.value is None:
            self.members.remove(InstanceId(item.key.removeprefix(MEMBER_PREFIX)))
        else:
            record = decode_member(item)
            self.members.update(record)
            for group in record.suspects:
                self.planner.primary_monitor(group).wake_up.set()
        if self.members.version != version:
            self._maintenance_wake_up.set()
