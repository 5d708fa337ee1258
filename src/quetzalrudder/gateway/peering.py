"""Exchange of permissions, records and configurations between instances.

An instance that cannot renew its lease requests permission from its peers. A peer with a
valid lease grants it. If no instance reaches the store, they continue together while a
majority takes part. A change of primary therefore needs the acknowledgements of half of the
instances, or waits until such an outage has lasted for the longest time allowed.
"""

import logging
import random
import threading
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Protocol

from result import Ok, Result

from quetzalrudder.exceptions import MalformedMessage, QuetzalrudderError
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.catalog import Catalog, CurrentCatalog
from quetzalrudder.gateway.evacuation import Evacuation, EvacuationTable
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
from quetzalrudder.gateway.records import PRIMARY_PREFIX, decode_primary, encode_primary
from quetzalrudder.gateway.store import Item
from quetzalrudder.gateway.warming import WarmingTable
from quetzalrudder.models import DataCentre, InstanceId, TargetId
from quetzalrudder.schema.gateway import (
    ColdTarget,
    EvacuationState,
    GroupLeader,
    PeerReply,
    PeerReport,
    PermissionGrant,
)
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["LocalInstance", "PeerCaller", "Peering"]

log = logging.getLogger(__name__)

# Shortest pause of the loop that makes the calls: half of the shortest interval between them.
STEP_INTERVAL_S = 0.1
# Interval at which an instance of a small fleet compares its configuration with the failover
# coordinator's, in case its own watch of the store hangs.
CATALOG_CHECK_INTERVAL_S = 0.35
# Interval between requests for permission while the lease is not renewed.
PERMISSION_REQUEST_INTERVAL_S = 0.2
# Delay of the first request, as a process that has just started is about to open its lease.
FIRST_PERMISSION_REQUEST_S = 0.5
# Interval in a large fleet after a request that had to go to all peers.
REQUEST_TO_ALL_INTERVAL_S = 0.4
# Number of peers that a request in a large fleet goes to first; one with a valid lease is
# enough. If a third of the fleet lacks the store, all of these peers lack it about once in
# 80 requests.
FIRST_REQUESTED_PEERS = 4
# The renewal of the lease is overdue when the permission that the lease grants has less than
# this time left.
RENEWAL_OVERDUE_BELOW_S = PERMISSION_S - 1.0
# Half of the longest permission granted by peers; a call within a region takes 2 ms.
CALL_TIMEOUT_S = 0.3


class PeerCaller(Protocol):
    """Calls other instances."""

    def exchange(
        self, address: str, report: PeerReport, timeout_s: float
    ) -> Result[PeerReply, QuetzalrudderError]:
        """Send a report and return the reply."""

    def exchange_all(
        self, reports: list[tuple[str, PeerReport]], timeout_s: float
    ) -> Iterator[tuple[int, Result[PeerReply, QuetzalrudderError]]]:
        """Send reports at the same time; yield the index and the reply of each as it arrives."""


@dataclass(frozen=True)
class LocalInstance:
    """The identity of this process that peers see."""

    instance: InstanceId
    incarnation: str
    # Address at which peers call it.
    address: str


@dataclass(frozen=True)
class _PermissionReplies:
    """Summary of the replies of peers to a request for permission."""

    # Seconds for which primaries may be used; 0 if no permission was granted.
    valid_s: float
    requests: int
    replies: int
    grants: int


class Peering:
    """Makes and answers the calls between this instance and its peers.

    Parameters
    ----------
    local : LocalInstance
        This process.
    caller : PeerCaller
        Calls other instances.
    permission, primaries, members, catalogs, evacuations, warming, contact
        The state of this instance and its view of the fleet and of the store.
    coordinator : Callable
        Returns the failover coordinator; None if it is not known.
    roster_views : Callable
        Returns the instances that this instance's roster entry covers, in one or two views.
    decode_catalog : Callable
        Decodes a configuration from the form in the store.
    rng : random.Random
        Chooses the peers that a request goes to first.
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(
        self,
        *,
        local: LocalInstance,
        caller: PeerCaller,
        permission: Permission,
        primaries: PrimaryTable,
        members: MemberTable,
        catalogs: CurrentCatalog,
        evacuations: EvacuationTable,
        warming: WarmingTable,
        contact: StoreContact,
        coordinator: Callable[[], InstanceId | None],
        roster_views: Callable[[], list[list[RosterRecord]]],
        decode_catalog: Callable[[bytes], Catalog],
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._local = local
        self._rng = rng
        self._caller = caller
        self._permission = permission
        self._primaries = primaries
        self._members = members
        self._catalogs = catalogs
        self._evacuations = evacuations
        self._warming = warming
        self._contact = contact
        self._coordinator = coordinator
        self._roster_views = roster_views
        self._decode_catalog = decode_catalog
        self._clock = clock
        self._lock = threading.Lock()
        # Instances that called this one; they may be missing from the known roster.
        self._callers: dict[InstanceId, RosterRecord] = {}
        self._next_catalog_check = 0.0
        self._next_request = clock.monotonic() + FIRST_PERMISSION_REQUEST_S
        self._granted_by_peers = False
        # Numbers of requests and replies when all peers were last requested to grant
        # permission; 0 if a few of them sufficed afterwards.
        self._request_count = 0
        self._reply_count = 0
        # The number of instances that continue without the store, while they are a majority,
        # and the time until which that count holds.
        self._confirming_count = 0
        self._confirmed_until = -1.0

    @property
    def isolated(self) -> bool:
        """True if neither the store nor half of the peers can be reached.

        Callers are then better served by other instances.
        """
        if (
            self._permission.lease_remaining_s >= RENEWAL_OVERDUE_BELOW_S
            or self._contact.contact_s > 0
        ):
            return False
        return self._reply_count * 2 < self._request_count

    def partition_fraction(self) -> float:
        """Return the fraction of the fleet on this instance's side of a partition.

        While its lease is valid, the side consists of the members in the store; in an outage
        of the store, of the instances that continue without it. The fraction is 0 if the
        permission comes only from peers with a valid lease: the member record of this
        instance is about to expire, and other instances then take over what it owns.
        """
        size = self._members.count()
        if self._permission.lease_remaining_s > 0:
            return len(self._members.members()) / size
        if self._clock.monotonic() < self._confirmed_until:
            return min(self._confirming_count, size) / size
        return 0.0

    # Handling of calls from peers.

    def answer(self, report: PeerReport) -> PeerReply:
        """Handle a peer's report and return the reply."""
        peer = RosterRecord(InstanceId(report.instance), report.incarnation, report.address)
        with self._lock:
            self._callers[peer.instance] = peer
        reply = PeerReply(instance=self._local.instance, incarnation=self._local.incarnation)
        if report.asks_permission:
            self._grant_permission(reply)
            reply.cold_targets = [
                ColdTarget(target=target, cold_left_ms=round(left_s * MS_PER_S))
                for target, left_s in self._warming.remaining_s().items()
            ]
        if report.catalog_version < self._catalogs.current.version:
            reply.catalog = self._catalogs.encoded
        if report.evacuation_revision < self._evacuations.revision:
            reply.evacuations = [
                EvacuationState(
                    data_centre=known.data_centre, revision=known.revision, active=known.active
                )
                for known in self._evacuations.records()
            ]
        return reply

    def _grant_permission(self, reply: PeerReply) -> None:
        lease_remaining_s = self._permission.lease_remaining_s
        if lease_remaining_s > 0:
            reply.grant = PermissionGrant.VOUCHED
            valid_s = min(PEER_PERMISSION_S, lease_remaining_s)
        elif self._contact.contact_s == 0 and lease_remaining_s > -OUTAGE_LIMIT_S:
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

    # Calls to peers.

    def run(self, stopping: threading.Event) -> None:
        """Make the calls that are due until ``stopping`` is set."""
        while not stopping.wait(self._next_step_s()):
            self.step()

    def _next_step_s(self) -> float:
        """Return the seconds until a call may be due."""
        overdue_s = self._permission.lease_remaining_s - RENEWAL_OVERDUE_BELOW_S
        check_s = self._next_catalog_check - self._clock.monotonic()
        return max(STEP_INTERVAL_S, min(overdue_s, check_s, CATALOG_CHECK_INTERVAL_S))

    def step(self) -> None:
        """Make the calls that are due."""
        now = self._clock.monotonic()
        if self._permission.lease_remaining_s < RENEWAL_OVERDUE_BELOW_S:
            if now >= self._next_request:
                self._next_request = now + PERMISSION_REQUEST_INTERVAL_S
                self._request_permission()
            return
        if self._granted_by_peers:
            self._granted_by_peers = False
            log.info("permission held by the own lease again")
        if now >= self._next_catalog_check:
            self._next_catalog_check = now + CATALOG_CHECK_INTERVAL_S
            self._check_catalog()

    def _peers(self) -> list[RosterRecord]:
        """Return all other instances that may use primaries, as far as known."""
        with self._lock:
            known = dict(self._callers)
        known |= {record.instance: record for record in self._members.roster()}
        return [peer for name, peer in sorted(known.items()) if name != self._local.instance]

    def _make_report(self, *, asks_permission: bool) -> PeerReport:
        return PeerReport(
            instance=self._local.instance,
            incarnation=self._local.incarnation,
            address=self._local.address,
            asks_permission=asks_permission,
            catalog_version=self._catalogs.current.version,
            evacuation_revision=self._evacuations.revision,
        )

    def _check_catalog(self) -> None:
        """Take the configuration of the failover coordinator if it is newer."""
        if self._members.count() >= LARGE_FLEET:
            return
        coordinator = self._coordinator()
        peer = next((peer for peer in self._peers() if peer.instance == coordinator), None)
        if peer is not None:
            report = self._make_report(asks_permission=False)
            result = self._caller.exchange(peer.address, report, CALL_TIMEOUT_S)
            if isinstance(result, Ok):
                self._apply_reply(result.ok_value)

    def _request_permission(self) -> None:
        """Request permission from all peers, or in a large fleet from a few of them first."""
        peers = self._peers()
        if len(peers) >= LARGE_FLEET:
            summary = self._request_from(self._rng.sample(peers, FIRST_REQUESTED_PEERS))
            if summary.valid_s > 0:
                self._request_count = self._reply_count = 0
                self._log_permission(summary)
                return
            self._next_request = self._clock.monotonic() + REQUEST_TO_ALL_INTERVAL_S
        summary = self._request_from(peers)
        self._request_count, self._reply_count = summary.requests, summary.replies
        self._log_permission(summary)

    def _request_from(self, peers: list[RosterRecord]) -> "_PermissionReplies":
        """Request permission from the given peers, and extend this instance's permission."""
        sent_at = self._clock.monotonic()
        results = self._call_all(peers, self._make_report(asks_permission=True))
        replies = [result.ok_value for result in results if isinstance(result, Ok)]
        granted = [reply for reply in replies if reply.grant is PermissionGrant.VOUCHED]
        valid_s = max((reply.valid_ms / MS_PER_S for reply in granted), default=0.0)
        confirming = {self._local.instance} | {
            InstanceId(reply.instance)
            for reply in replies
            if reply.grant is PermissionGrant.NO_STORE
        }
        if self._may_continue_without_store(confirming):
            valid_s = PEER_PERMISSION_S
            self._confirming_count = len(confirming)
            self._confirmed_until = sent_at + PEER_PERMISSION_S
        if valid_s > 0:
            self._permission.extend_by_peers(sent_at, valid_s)
        return _PermissionReplies(valid_s, len(results), len(replies), len(granted))

    def _log_permission(self, summary: "_PermissionReplies") -> None:
        """Log when peers begin or cease to grant permission."""
        if (summary.valid_s > 0) != self._granted_by_peers:
            self._granted_by_peers = summary.valid_s > 0
            log.info(
                "permission held by peers"
                if self._granted_by_peers
                else "peers give no permission",
                extra={
                    "asked": summary.requests,
                    "answered": summary.replies,
                    "vouched": summary.grants,
                    "own_left_s": round(self._permission.lease_remaining_s, 2),
                },
            )

    def _may_continue_without_store(self, confirming: set[InstanceId]) -> bool:
        """Return whether a majority lacks the store and grants permission, within the limit.

        The replies contain every change of a primary that the peers have acknowledged.
        """
        if -self._permission.lease_remaining_s >= OUTAGE_LIMIT_S:
            return False
        views = [{record.instance for record in view} for view in self._roster_views()]
        return all(view and is_majority(len(view & confirming), len(view)) for view in views)

    def _call_all(
        self, peers: list[RosterRecord], report: PeerReport
    ) -> list[Result[PeerReply, QuetzalrudderError]]:
        """Send a report to peers and apply each reply as it arrives."""
        results = []
        reports = [(peer.address, report) for peer in peers]
        for _, result in self._caller.exchange_all(reports, CALL_TIMEOUT_S):
            if isinstance(result, Ok):
                self._apply_reply(result.ok_value)
            results.append(result)
        return results

    def _apply_reply(self, reply: PeerReply) -> None:
        """Apply the records and the configuration of a reply.

        Its records are applied before the permission that it grants.
        """
        for cold in reply.cold_targets:
            self._warming.observe_peer(TargetId(cold.target), cold.cold_left_ms / MS_PER_S)
        try:
            for leader in reply.leaders:
                item = Item(PRIMARY_PREFIX + leader.group, leader.value, leader.revision)
                self._primaries.observe(decode_primary(item))
            if reply.catalog:
                self._catalogs.update_if_newer(self._decode_catalog(reply.catalog), reply.catalog)
            self._evacuations.observe_peer(
                Evacuation(DataCentre(state.data_centre), state.revision, state.active)
                for state in reply.evacuations
            )
        except MalformedMessage as exc:
            log.error(
                "record of a peer cannot be decoded",
                extra={"peer": reply.instance, "reason": str(exc)},
            )
