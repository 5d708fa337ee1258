"""Exchange of permissions, records and configurations between instances.

An instance that cannot renew its lease requests permission from its peers. A peer with a
valid lease grants it. If no instance reaches the store, they continue together while a
majority takes part. A change of primary therefore needs the acknowledgements of half of the
instances, or waits until such an outage has lasted for the longest time allowed. The requests
for permission are in ``permission_requests.py``.
"""

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from result import Err, Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.catalog import Catalog, CurrentCatalog
from quetzalrudder.gateway.catalog_fetch import NO_CATALOG, CatalogFetch
from quetzalrudder.gateway.evacuation import Evacuation, EvacuationTable
from quetzalrudder.gateway.members import MemberTable, RosterRecord
from quetzalrudder.gateway.permission import (
    OUTAGE_LIMIT_S,
    PEER_PERMISSION_S,
    PERMISSION_S,
    Permission,
)
from quetzalrudder.gateway.permission_requests import (
    CALL_TIMEOUT_S,
    PeerCaller,
    PermissionRequests,
)
from quetzalrudder.gateway.primaries import PrimaryTable
from quetzalrudder.gateway.records import PRIMARY_PREFIX, decode_primary, encode_primary
from quetzalrudder.gateway.store import Item, StoreEra
from quetzalrudder.gateway.store_contact import StoreContact, describe_failure
from quetzalrudder.gateway.store_eras import StoreEras
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
# Name of the configuration in the log.
CATALOG_NAME = "configuration"
# The renewal of the lease is overdue when the permission that the lease grants has less than
# this time left.
RENEWAL_OVERDUE_BELOW_S = PERMISSION_S - 1.0


@dataclass(frozen=True)
class LocalInstance:
    """The identity of this process that peers see."""

    instance: InstanceId
    incarnation: str
    # Address at which peers call it.
    address: str


class Peering:
    """Makes and answers the calls between this instance and its peers.

    Parameters
    ----------
    local : LocalInstance
        This process.
    caller : PeerCaller
        Calls other instances.
    permission, primaries, members, catalogs, evacuations, warming, contact, eras
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
        eras: StoreEras,
        coordinator: Callable[[], InstanceId | None],
        roster_views: Callable[[], list[list[RosterRecord]]],
        decode_catalog: Callable[[bytes], Catalog],
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._local = local
        self._caller = caller
        self._permission = permission
        self._primaries = primaries
        self._members = members
        self._catalogs = catalogs
        self._evacuations = evacuations
        self._warming = warming
        self._contact = contact
        self._eras = eras
        self._coordinator = coordinator
        self._decode_catalog = decode_catalog
        self._rng = rng
        self._clock = clock
        self._lock = threading.Lock()
        # Instances that called this one; they may be missing from the known roster.
        self._callers: dict[InstanceId, RosterRecord] = {}
        self._grants_permission = True
        self._next_catalog_check = 0.0
        # Values of peers that could not be applied, by key.
        self._skipped: dict[str, bytes] = {}
        self.catalog_fetch = CatalogFetch(catalogs, self._fetch_catalog, clock)
        self._requests = PermissionRequests(
            instance=local.instance,
            caller=caller,
            permission=permission,
            members=members,
            roster_views=roster_views,
            make_report=partial(self._make_report, asks_permission=True),
            apply_reply=self._apply_reply,
            rng=rng,
            clock=clock,
        )

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
        return self._requests.unanswered_by_most

    def partition_fraction(self, data_centre: DataCentre | None = None) -> float:
        """Return the fraction of the fleet, or of a data centre, on this side of a partition.

        While its lease is valid, the side consists of the members in the store; in an outage
        of the store, of the instances that continue without it. The fraction is 0 if the
        permission comes only from peers with a valid lease: the member record of this
        instance is about to expire, and other instances then take over what it owns.
        """
        if data_centre is not None:
            return self._data_centre_fraction(data_centre)
        size = self._members.count()
        if self._permission.lease_remaining_s > 0:
            return len(self._members.members()) / size
        return min(len(self._requests.confirming()), size) / size

    def continuing(self) -> set[InstanceId]:
        """Return the instances that have lately continued without the store, as this one does.

        The set is empty while this instance has a lease, and without permission.
        """
        if self._permission.lease_remaining_s > 0:
            return set()
        return self._requests.lately_confirming()

    def _data_centre_fraction(self, data_centre: DataCentre) -> float:
        """Return the fraction of a data centre's instances that are on this side."""
        names = self._members.names_in(data_centre)
        if self._permission.lease_remaining_s > 0:
            return len(self._members.members_named(names)) / len(names) if names else 1.0
        return len(self._requests.confirming() & names) / len(names) if names else 0.0

    # Handling of calls from peers.

    def answer(self, report: PeerReport) -> PeerReply:
        """Handle a peer's report and return the reply."""
        self._eras.observe(StoreEra(report.store_era))
        peer = RosterRecord(InstanceId(report.instance), report.incarnation, report.address)
        with self._lock:
            self._callers[peer.instance] = peer
        reply = PeerReply(
            instance=self._local.instance,
            incarnation=self._local.incarnation,
            store_era=self._eras.current,
            catalog_version=self._catalogs.current.version,
        )
        if report.asks_permission:
            if report.wants_confirmations:
                # Before the records are added, as these must cover all confirmations.
                reply.confirmations = self._requests.pass_on()
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

    def stop_granting(self) -> None:
        """Grant no more permission: nobody waits for what an instance granted that has left."""
        with self._lock:
            self._grants_permission = False

    def _grant_permission(self, reply: PeerReply) -> None:
        with self._lock:
            if self._grants_permission:
                self._grant_by_own_state(reply)
            else:
                reply.grant = PermissionGrant.NONE

    def _grant_by_own_state(self, reply: PeerReply) -> None:
        lease_remaining_s = self._permission.lease_remaining_s
        if self._contact.view_failed:
            reply.grant = PermissionGrant.NONE
            return
        if lease_remaining_s > 0:
            reply.grant = PermissionGrant.VOUCHED
            valid_s = min(PEER_PERMISSION_S, lease_remaining_s)
        elif not self._contact.reached and lease_remaining_s > -OUTAGE_LIMIT_S:
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
            self._requests.request_if_due(self._peers())
            return
        self._requests.end()
        if now >= self._next_catalog_check:
            self._next_catalog_check = now + CATALOG_CHECK_INTERVAL_S
            self._check_catalog()

    def _peers(self) -> list[RosterRecord]:
        """Return all other instances that may use primaries, as far as known."""
        with self._lock:
            known = dict(self._callers)
        known |= {record.instance: record for record in self._members.roster()}
        return [peer for name, peer in sorted(known.items()) if name != self._local.instance]

    def _make_report(
        self,
        *,
        asks_permission: bool,
        wants_confirmations: bool = False,
        wants_catalog: bool = False,
    ) -> PeerReport:
        return PeerReport(
            instance=self._local.instance,
            incarnation=self._local.incarnation,
            address=self._local.address,
            asks_permission=asks_permission,
            catalog_version=self._catalogs.current.version if wants_catalog else NO_CATALOG,
            evacuation_revision=self._evacuations.revision,
            wants_confirmations=wants_confirmations,
            store_era=self._eras.current,
        )

    def _fetch_catalog(
        self, peer: RosterRecord, timeout_s: float
    ) -> Result[None, QuetzalrudderError]:
        """Request the configuration of a peer, and put it in force if it is newer."""
        report = self._make_report(asks_permission=False, wants_catalog=True)
        result = self._caller.exchange(peer.address, report, timeout_s)
        if isinstance(result, Err):
            return result
        self._apply_reply(result.ok_value)
        return Ok(None)

    def _offer_catalog(self, reply: PeerReply) -> None:
        """Have a newer configuration of a peer fetched."""
        for peer in self._peers():
            if peer.instance == reply.instance:
                self.catalog_fetch.offer(peer, reply.catalog_version)

    def _check_catalog(self) -> None:
        """Fetch the configuration of the failover coordinator if it is newer.

        An instance without a configuration, which may be the coordinator itself, asks any peer.
        """
        peers = self._peers()
        if self._catalogs.current.version == 0:
            peer = self._rng.choice(peers) if peers else None
        elif self._members.count() >= LARGE_FLEET:
            return
        else:
            coordinator = self._coordinator()
            peer = next((peer for peer in peers if peer.instance == coordinator), None)
        if peer is not None:
            report = self._make_report(asks_permission=False)
            result = self._caller.exchange(peer.address, report, CALL_TIMEOUT_S)
            if isinstance(result, Ok):
                self._apply_reply(result.ok_value)

    def _apply_reply(self, reply: PeerReply) -> bool:
        """Apply the records and the configuration of a reply, each as far as it can be.

        Returns
        -------
        bool
            True if all records of primaries were applied; a permission that the reply grants
            must not be used without them.
        """
        # Before the records, which are doubtful if they are of an earlier era.
        self._eras.observe(StoreEra(reply.store_era))
        for cold in reply.cold_targets:
            self._warming.observe_peer(TargetId(cold.target), cold.cold_left_ms / MS_PER_S)
        self._evacuations.observe_peer(
            Evacuation(DataCentre(state.data_centre), state.revision, state.active)
            for state in reply.evacuations
        )
        complete = True
        for leader in reply.leaders:
            item = Item(PRIMARY_PREFIX + leader.group, leader.value, leader.revision)
            complete &= self._apply_record(reply, item, self._observe_primary)
        if reply.catalog:
            item = Item(CATALOG_NAME, reply.catalog, 0)
            self._apply_record(reply, item, self._observe_catalog)
        self._offer_catalog(reply)
        return complete

    def _observe_primary(self, item: Item) -> None:
        self._primaries.observe(decode_primary(item))

    def _observe_catalog(self, item: Item) -> None:
        self._catalogs.update_if_newer(self._decode_catalog(item.value), item.value)

    def _apply_record(self, reply: PeerReply, item: Item, observe: Callable[[Item], None]) -> bool:
        """Apply one record; return False and log it once if that fails."""
        try:
            observe(item)
        except Exception as exc:
            # A peer of another version may hold what this one cannot use.
            if self._skipped.get(item.key) != item.value:
                self._skipped[item.key] = item.value
                extra = {"peer": reply.instance, "key": item.key, "revision": item.revision}
                log.error("record of a peer skipped", extra=extra | describe_failure(exc))
            return False
        self._skipped.pop(item.key, None)
        return True
