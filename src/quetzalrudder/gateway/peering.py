"""What instances tell each other: permissions, records, configurations and rates.

An instance that cannot renew its lease asks its peers. One that holds a permission of the
store answers for it; and if none of them reaches the store, they go on together, as long
as most instances take part. Whoever changes a primary needs the acknowledgement of half of
them, or waits until such an outage has lasted for as long as it may.
"""

import logging
import random
import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future
from dataclasses import dataclass
from typing import Protocol

from result import Ok, Result

from quetzalrudder.exceptions import MalformedMessage, QuetzalrudderError
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.catalog import Catalog, CatalogHolder
from quetzalrudder.gateway.members import MemberTable, RosterRecord
from quetzalrudder.gateway.mirror import StoreContact
from quetzalrudder.gateway.permission import (
    OUTAGE_LIMIT_S,
    PEER_PERMISSION_S,
    PERMISSION_S,
    Permission,
)
from quetzalrudder.gateway.primaries import PrimaryTable
from quetzalrudder.gateway.promotion_rules import is_majority
from quetzalrudder.gateway.quotas import QuotaTable
from quetzalrudder.gateway.rate_grants import GRANT_VALIDITY_S, RateAllocator
from quetzalrudder.gateway.records import PRIMARY_PREFIX, decode_primary, encode_primary
from quetzalrudder.gateway.store import Item
from quetzalrudder.models import InstanceId, WorkspaceId
from quetzalrudder.schema.gateway import (
    Demand,
    GroupLeader,
    PeerReply,
    PeerReport,
    PermissionGrant,
    RateGrant,
)
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["PeerCaller", "Peering", "LocalInstance"]

log = logging.getLogger(__name__)

# How often it is looked whether a call is due; half of the shortest interval.
STEP_INTERVAL_S = 0.1
# How often the keeper of the rates is told the demand.
REPORT_S = 0.35
# How often peers are asked while the own lease is not renewed.
ASK_S = 0.2
# The same in a large fleet, if most of its instances are needed.
ASK_MOST_S = 0.4
# Peers asked first there: one that holds a lease is enough. With a third of the fleet
# without the store all of them miss it once in 80 times.
FIRST_ASKED = 4
# A renewal is overdue once the permission has this long left.
ASK_BELOW_S = PERMISSION_S - 1.0
# Half of the time for which a peer answers; a call within a region takes 2 ms.
CALL_TIMEOUT_S = 0.3


class PeerCaller(Protocol):
    """Calls another instance."""

    def exchange(
        self, address: str, report: PeerReport, timeout_s: float
    ) -> Result[PeerReply, QuetzalrudderError]:
        """Send a report and give the answer."""


@dataclass(frozen=True)
class LocalInstance:
    """The process itself, as peers see it."""

    instance: InstanceId
    incarnation: str
    # Where peers call it.
    address: str


@dataclass(frozen=True)
class _PermissionAnswers:
    """What peers said when they were asked for permission."""

    # Seconds for which primaries may be used by it; 0 if not at all.
    valid_s: float
    asked: int
    answered: int
    granted: int


class Peering:
    """An instance's side of the exchange.

    Parameters
    ----------
    own : LocalInstance
        This process.
    caller : PeerCaller
        Reaches other instances.
    permission, primaries, members, catalogs, contact
        What this instance knows.
    quotas, rate_allocator
        Demand and grants of rates.
    rate_owner : Callable
        Gives the instance that keeps the rates; None if it is not known.
    is_coordinator : Callable
        Tells whether this instance is it, by a lease that is valid now.
    known_views : Callable
        Gives the instances that the own roster entry names.
    decode_catalog : Callable
        Reads a configuration as the store holds it.
    rng : random.Random
        Chooses whom to ask first.
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(
        self,
        *,
        own: LocalInstance,
        caller: PeerCaller,
        permission: Permission,
        primaries: PrimaryTable,
        members: MemberTable,
        catalogs: CatalogHolder,
        contact: StoreContact,
        quotas: QuotaTable,
        rate_allocator: RateAllocator,
        rate_owner: Callable[[], InstanceId | None],
        is_coordinator: Callable[[], bool],
        known_views: Callable[[], list[list[RosterRecord]]],
        decode_catalog: Callable[[bytes], Catalog],
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._own = own
        self._rng = rng
        self._caller = caller
        self._permission = permission
        self._primaries = primaries
        self._members = members
        self._catalogs = catalogs
        self._contact = contact
        self._quotas = quotas
        self._rate_allocator = rate_allocator
        self._rate_owner = rate_owner
        self._is_coordinator = is_coordinator
        self._known_views = known_views
        self._decode_catalog = decode_catalog
        self._clock = clock
        self._lock = threading.Lock()
        # Instances that called this one; they may not be in the roster as it is known here.
        self._heard: dict[InstanceId, RosterRecord] = {}
        self._next_report = 0.0
        self._next_ask = 0.0
        self._permitted_by_peers = False
        # Of the last time that peers were asked for permission.
        self._asked = 0
        self._answered = 0
        # While most instances go on without the store: how many, and until when that holds.
        self._going_on = 0
        self._going_on_until = -1.0

    @property
    def isolated(self) -> bool:
        """True if neither the store nor most peers are reached: callers do better elsewhere."""
        if self._permission.lease_remaining_s >= ASK_BELOW_S or self._contact.contact_s > 0:
            return False
        return self._answered * 2 < self._asked

    def answering_part(self) -> float:
        """Give the part of the fleet that this instance may answer for alone; 0 if none.

        An instance that only its peers vouch for is about to be replaced in the store.
        """
        size = self._members.count()
        if self._permission.lease_remaining_s > 0:
            return len(self._members.members()) / size
        if self._clock.monotonic() < self._going_on_until:
            return min(self._going_on, size) / size
        return 0.0

    # Answers.

    def answer(self, report: PeerReport) -> PeerReply:
        """Answer another instance's report."""
        peer = RosterRecord(InstanceId(report.instance), report.incarnation, report.address)
        with self._lock:
            self._heard[peer.instance] = peer
        reply = PeerReply(instance=self._own.instance, incarnation=self._own.incarnation)
        if report.asks_permission:
            self._grant_permission(reply)
        if report.catalog_version < self._catalogs.current.version:
            reply.catalog = self._catalogs.raw
        demands = {WorkspaceId(item.workspace): item.per_s for item in report.demands}
        self._rate_allocator.set_rate_owner(is_rate_owner=self._is_coordinator())
        if demands:
            self._grant_rates(peer.instance, demands, reply)
        return reply

    def _grant_permission(self, reply: PeerReply) -> None:
        left_s = self._permission.lease_remaining_s
        if left_s > 0:
            reply.grant = PermissionGrant.VOUCHED
            valid_s = min(PEER_PERMISSION_S, left_s)
        elif self._contact.contact_s == 0 and left_s > -OUTAGE_LIMIT_S:
            reply.grant = PermissionGrant.NO_STORE
            valid_s = PEER_PERMISSION_S
        else:
            reply.grant = PermissionGrant.NONE
            return
        records = self._primaries.grant_permission(valid_s)
        reply.valid_ms = int(valid_s * MS_PER_S)
        reply.leaders = [
            GroupLeader(group=record.group, value=encode_primary(record), revision=record.revision)
            for record in records
        ]

    def _grant_rates(
        self, instance: InstanceId, demands: dict[WorkspaceId, float], reply: PeerReply
    ) -> None:
        workspaces = dict(self._catalogs.current.workspaces)
        grants = self._rate_allocator.grant(instance, demands, workspaces)
        if grants is not None:
            reply.rate_valid_ms = int(GRANT_VALIDITY_S * MS_PER_S)
            reply.rate_grants = [
                RateGrant(workspace=name, per_s=per_s) for name, per_s in grants.items()
            ]

    # Calls.

    def run(self, executor: Executor, stopping: threading.Event) -> None:
        """Exchange with peers until told to stop."""
        while not stopping.wait(STEP_INTERVAL_S):
            self.step(executor)

    def step(self, executor: Executor) -> None:
        """Make the calls that are due."""
        now = self._clock.monotonic()
        if self._permission.lease_remaining_s < ASK_BELOW_S:
            if now >= self._next_ask:
                self._next_ask = now + ASK_S
                self._ask_for_permission(executor)
            return
        if self._permitted_by_peers:
            self._permitted_by_peers = False
            log.info("permission held by the own lease again")
        if now >= self._next_report:
            self._next_report = now + REPORT_S
            self._report_demand()

    def _peers(self) -> list[RosterRecord]:
        """List every instance that may use primaries, as far as this one knows."""
        with self._lock:
            known = dict(self._heard)
        known |= {record.instance: record for record in self._members.roster()}
        return [peer for name, peer in sorted(known.items()) if name != self._own.instance]

    def _make_report(self, *, asks: bool) -> PeerReport:
        return PeerReport(
            instance=self._own.instance,
            incarnation=self._own.incarnation,
            address=self._own.address,
            asks_permission=asks,
            catalog_version=self._catalogs.current.version,
        )

    def _report_demand(self) -> None:
        if self._members.count() >= LARGE_FLEET:
            return
        rate_owner = self._rate_owner()
        demands = self._quotas.demands()
        self._rate_allocator.set_rate_owner(is_rate_owner=self._is_coordinator())
        if rate_owner is None or not demands:
            return
        report = self._make_report(asks=False)
        report.demands = [Demand(workspace=name, per_s=per_s) for name, per_s in demands.items()]
        asked_at = self._clock.monotonic()
        if rate_owner == self._own.instance:
            self._take(self.answer(report), asked_at)
            return
        peer = next((peer for peer in self._peers() if peer.instance == rate_owner), None)
        if peer is not None:
            result = self._caller.exchange(peer.address, report, CALL_TIMEOUT_S)
            if isinstance(result, Ok):
                self._take(result.ok_value, asked_at)

    def _ask_for_permission(self, executor: Executor) -> None:
        """Ask peers to answer for this instance: all, or in a large fleet a few first."""
        peers = self._peers()
        if len(peers) >= LARGE_FLEET:
            answers = self._ask(executor, self._rng.sample(peers, FIRST_ASKED))
            if answers.valid_s > 0:
                self._asked = self._answered = 0
                self._note(answers)
                return
            self._next_ask = self._clock.monotonic() + ASK_MOST_S
        answers = self._ask(executor, peers)
        self._asked, self._answered = answers.asked, answers.answered
        self._note(answers)

    def _ask(self, executor: Executor, peers: list[RosterRecord]) -> "_PermissionAnswers":
        """Ask peers to answer for this instance, and use what they allow."""
        asked_at = self._clock.monotonic()
        asked = self._call_all(executor, peers, self._make_report(asks=True))
        replies = [result.ok_value for result in asked if isinstance(result, Ok)]
        granted = [reply for reply in replies if reply.grant is PermissionGrant.VOUCHED]
        valid_s = max((reply.valid_ms / MS_PER_S for reply in granted), default=0.0)
        confirming = {self._own.instance} | {
            InstanceId(reply.instance)
            for reply in replies
            if reply.grant is PermissionGrant.NO_STORE
        }
        if self._may_go_on_without_store(confirming):
            valid_s = PEER_PERMISSION_S
            self._going_on = len(confirming)
            self._going_on_until = asked_at + PEER_PERMISSION_S
        if valid_s > 0:
            self._permission.extend_by_peers(asked_at, valid_s)
        return _PermissionAnswers(valid_s, len(asked), len(replies), len(granted))

    def _note(self, answers: "_PermissionAnswers") -> None:
        """Log that peers began or ceased to answer for this instance."""
        if (answers.valid_s > 0) != self._permitted_by_peers:
            self._permitted_by_peers = answers.valid_s > 0
            log.info(
                "permission held by peers"
                if self._permitted_by_peers
                else "peers give no permission",
                extra={
                    "asked": answers.asked,
                    "answered": answers.answered,
                    "vouched": answers.granted,
                    "own_left_s": round(self._permission.lease_remaining_s, 2),
                },
            )

    def _may_go_on_without_store(self, confirming: set[InstanceId]) -> bool:
        """Tell whether most instances miss the store and hold no change of a primary."""
        if -self._permission.lease_remaining_s >= OUTAGE_LIMIT_S:
            return False
        views = [{record.instance for record in view} for view in self._known_views()]
        return all(view and is_majority(len(view & confirming), len(view)) for view in views)

    def _call_all(
        self, executor: Executor, peers: list[RosterRecord], report: PeerReport
    ) -> list[Result[PeerReply, QuetzalrudderError]]:
        asked_at = self._clock.monotonic()
        futs: list[Future] = [
            executor.submit(self._caller.exchange, peer.address, report, CALL_TIMEOUT_S)
            for peer in peers
        ]
        results = [fut.result() for fut in futs]
        for result in results:
            if isinstance(result, Ok):
                self._take(result.ok_value, asked_at)
        return results

    def _take(self, reply: PeerReply, asked_at: float) -> None:
        """Learn from an answer; its records come before the permission that it gives."""
        try:
            for primary in reply.leaders:
                item = Item(PRIMARY_PREFIX + primary.group, primary.value, primary.revision)
                self._primaries.observe(decode_primary(item))
            if reply.catalog:
                self._catalogs.offer(self._decode_catalog(reply.catalog), reply.catalog)
        except MalformedMessage as exc:
            log.error(
                "a peer's record cannot be read",
                extra={"peer": reply.instance, "reason": str(exc)},
            )
        if reply.rate_valid_ms:
            grants = {WorkspaceId(item.workspace): item.per_s for item in reply.rate_grants}
            self._quotas.apply_grants(grants, asked_at + reply.rate_valid_ms / MS_PER_S)
