"""Requests of this instance for permission by its peers.

In a small fleet each request goes to all peers. In a large one it goes to a few peers first:
one with a valid lease is enough, and in an outage of the store the collectors of
``confirmations.py`` know which instances continue without it.
"""

import logging
import math
import random
from collections.abc import Callable, Collection, Generator
from contextlib import closing
from dataclasses import dataclass
from typing import Protocol

from result import Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.confirmations import Collectors, Confirmations
from quetzalrudder.gateway.members import MemberTable, RosterRecord
from quetzalrudder.gateway.permission import OUTAGE_LIMIT_S, PEER_PERMISSION_S, Permission
from quetzalrudder.models import InstanceId
from quetzalrudder.schema.gateway import Confirmation, PeerReply, PeerReport, PermissionGrant
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["CALL_TIMEOUT_S", "PeerCaller", "PermissionRequests"]

log = logging.getLogger(__name__)

# Age of a confirmation up to which an instance is taken to continue without the store. Several
# requests fit into it, so that one late answer does not move what the instance owns.
LATELY_S = 2.0
# Interval between requests for permission while the lease is not renewed.
PERMISSION_REQUEST_INTERVAL_S = 0.2
# Delay of the first request, as a process that has just started is about to open its lease.
FIRST_PERMISSION_REQUEST_S = 0.5
# Interval in a large fleet between requests to all peers, unless this instance collects.
REQUEST_TO_ALL_INTERVAL_S = 0.4
# Number of peers that a request in a large fleet goes to first; one with a valid lease is
# enough. If a third of the fleet lacks the store, all of these peers lack it about once in
# 80 requests.
FIRST_REQUESTED_PEERS = 4
# A request to a few peers ends when it has granted permission for this long, which is longer
# than the interval between requests.
SUFFICIENT_PERMISSION_S = 0.3
# While the permission is valid for longer than this, a request to a few peers is repeated
# before all are asked.
REQUEST_TO_ALL_BELOW_S = 0.25
# Time without permission after which all peers are asked although the collectors answer.
COLLECTORS_WAIT_S = 1.0
# Time without an answer after which the stream to a peer is replaced in a large fleet.
STREAM_PATIENCE_S = 1.0
# Half of the longest permission granted by peers; a call within a region takes 2 ms.
CALL_TIMEOUT_S = 0.3


class PeerCaller(Protocol):
    """Calls other instances."""

    def exchange(
        self, address: str, report: PeerReport, timeout_s: float
    ) -> Result[PeerReply, QuetzalrudderError]:
        """Send a report and return the reply."""

    def exchange_all(
        self, reports: list[tuple[str, PeerReport]], timeout_s: float, patience_s: float = 0.0
    ) -> Generator[tuple[int, Result[PeerReply, QuetzalrudderError]], None, None]:
        """Send reports at the same time; yield the index and the reply of each as it arrives."""


@dataclass(frozen=True)
class _PermissionReplies:
    """Summary of the replies of peers to a request for permission."""

    # Seconds for which primaries may be used; 0 if no permission was granted.
    valid_s: float
    requests: int
    replies: int
    grants: int


class PermissionRequests:
    """Requests permission from peers and extends this instance's permission.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    caller : PeerCaller
        Calls other instances.
    permission, members
        The permission of this instance, and the fleet.
    roster_views : Callable
        Returns the instances that this instance's roster entry covers, in one or two views.
    make_report : Callable
        Returns the report to send; ``wants_confirmations`` is passed by keyword.
    apply_reply : Callable
        Applies the records of a reply, and returns whether all of them were; called before the
        permission is extended.
    rng : random.Random
        Chooses the peers that a request goes to first.
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        caller: PeerCaller,
        permission: Permission,
        members: MemberTable,
        roster_views: Callable[[], list[list[RosterRecord]]],
        make_report: Callable[..., PeerReport],
        apply_reply: Callable[[PeerReply], bool],
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._caller = caller
        self._permission = permission
        self._members = members
        self._roster_views = roster_views
        self._make_report = make_report
        self._apply_reply = apply_reply
        self._rng = rng
        self._clock = clock
        self._confirmations = Confirmations(instance, clock)
        self._collectors = Collectors(instance, clock)
        self._next_request = clock.monotonic() + FIRST_PERMISSION_REQUEST_S
        self._granted = False
        # When this instance last had permission by its lease or by a few peers.
        self._last_sufficient_at = clock.monotonic()
        # When all peers may be asked again.
        self._next_request_to_all = 0.0
        # Whether the latest request found no peer whose lease is valid for long enough.
        self._without_lease_holder = False
        # Numbers of requests and replies when all peers were last requested to grant
        # permission; 0 if a few of them sufficed afterwards.
        self._request_count = 0
        self._reply_count = 0
        # The time until which a majority continues without the store.
        self._confirmed_until = -1.0

    @property
    def unanswered_by_most(self) -> bool:
        """True if less than half of the peers answered when all were last asked."""
        return self._reply_count * 2 < self._request_count

    def confirming(self) -> set[InstanceId]:
        """Return the instances that continue without the store; none if they are no majority."""
        if self._clock.monotonic() >= self._confirmed_until:
            return set()
        return self._confirmations.confirming()

    def lately_confirming(self) -> set[InstanceId]:
        """Return the instances that have lately continued without the store.

        Unlike :meth:`confirming`, it does not lose an instance whose answer is a little late.
        """
        if self._clock.monotonic() >= self._confirmed_until:
            return set()
        return self._confirmations.confirming(LATELY_S)

    def pass_on(self) -> list[Confirmation]:
        """Return the confirmations received here, and continue to collect them for a while."""
        self._collectors.record_request_to_collect()
        return self._confirmations.to_pass_on()

    def end(self) -> None:
        """Record that the own lease grants the permission."""
        self._last_sufficient_at = self._clock.monotonic()
        # The next outage begins without the counts of an earlier one.
        self._request_count = self._reply_count = 0
        if self._granted:
            self._granted = False
            log.info("permission held by the own lease again")

    def request_if_due(self, peers: list[RosterRecord]) -> None:
        """Request permission from all peers, or in a large fleet from a few of them first."""
        now = self._clock.monotonic()
        if now < self._next_request:
            return
        self._next_request = now + PERMISSION_REQUEST_INTERVAL_S
        if len(peers) < LARGE_FLEET:
            self._confirmations.clear()
        elif not (self._without_lease_holder and self._is_collecting()):
            had_lease_holder = not self._without_lease_holder
            sufficient = self._request_from_few(peers)
            if not sufficient and had_lease_holder and self._without_lease_holder:
                # The leases of the peers are about to end too; the collectors come first.
                sufficient = self._is_collecting() or self._request_from_few(peers)
            if sufficient or now < self._next_request_to_all:
                return
            self._next_request_to_all = self._clock.monotonic() + REQUEST_TO_ALL_INTERVAL_S
        summary = self._request_from(peers, all_replies=True)
        self._request_count, self._reply_count = summary.requests, summary.replies
        self._log_permission(summary)

    def _request_from_few(self, peers: list[RosterRecord]) -> bool:
        """Request permission from a few peers; return whether the others need not be asked."""
        collectors = self._choose_collectors()
        chosen = self._choose_first(peers, collectors)
        summary = self._request_from(chosen, collectors=collectors)
        now = self._clock.monotonic()
        remaining_s = self._permission.remaining_s
        if summary.valid_s > 0:
            self._last_sufficient_at = now
            self._request_count = self._reply_count = 0
            # Confirmations that were collected a while ago are valid for less time.
            self._next_request = min(self._next_request, now + remaining_s / 2)
            self._log_permission(summary)
        if any(not self._collectors.is_unanswered(name) for name in collectors):
            # They ask all others already.
            return now - self._last_sufficient_at < COLLECTORS_WAIT_S
        return summary.replies > 0 and remaining_s >= REQUEST_TO_ALL_BELOW_S

    def _is_collecting(self) -> bool:
        return self._collectors.is_collecting(self._members.roster())

    def _choose_collectors(self) -> list[InstanceId]:
        """Return the collectors to ask; none while peers with a valid lease are found."""
        if not self._without_lease_holder:
            return []
        chosen = self._collectors.choose(self._members.roster())
        return [name for name in chosen if name != self._instance]

    def _choose_first(
        self, peers: list[RosterRecord], collectors: list[InstanceId]
    ) -> list[RosterRecord]:
        """Return the collectors and other peers at random, some of which may have a lease."""
        chosen = [peer for peer in peers if peer.instance in collectors]
        others = [peer for peer in peers if peer.instance not in collectors]
        return chosen + self._rng.sample(others, FIRST_REQUESTED_PEERS - len(chosen))

    def _request_from(
        self,
        peers: list[RosterRecord],
        *,
        collectors: Collection[InstanceId] = (),
        all_replies: bool = False,
    ) -> _PermissionReplies:
        """Request permission from the given peers, and extend this instance's permission.

        The collectors among them are asked for confirmations as well. Unless ``all_replies``
        is set, the request ends when permission is granted for long enough.
        """
        sent_at = self._clock.monotonic()
        self._confirmations.record_own(sent_at)
        valid_s = self._extend_by_majority(sent_at)
        granted_by_lease_s = 0.0
        replies = grants = 0
        patience_s = STREAM_PATIENCE_S if self._members.count() >= LARGE_FLEET else 0.0
        reports = [
            (peer.address, self._make_report(wants_confirmations=peer.instance in collectors))
            for peer in peers
        ]
        with closing(self._caller.exchange_all(reports, CALL_TIMEOUT_S, patience_s)) as calls:
            for index, result in calls:
                answered = isinstance(result, Ok)
                self._collectors.record_call(peers[index].instance, answered=answered)
                if not answered:
                    continue
                replies += 1
                if result.ok_value.grant is PermissionGrant.VOUCHED:
                    grants += 1
                    granted_by_lease_s = max(
                        granted_by_lease_s, result.ok_value.valid_ms / MS_PER_S
                    )
                valid_s = max(valid_s, self._apply_grant(result.ok_value, sent_at))
                if not all_replies and valid_s >= SUFFICIENT_PERMISSION_S:
                    break
        self._without_lease_holder = granted_by_lease_s < SUFFICIENT_PERMISSION_S
        return _PermissionReplies(valid_s, len(peers), replies, grants)

    def _apply_grant(self, reply: PeerReply, sent_at: float) -> float:
        """Apply a reply and extend the permission by what it grants.

        Returns
        -------
        float
            Seconds after ``sent_at`` for which primaries may be used; 0 if no permission was
            granted.
        """
        if not self._apply_reply(reply):
            return 0.0
        match reply.grant:
            case PermissionGrant.VOUCHED:
                valid_s = reply.valid_ms / MS_PER_S
                if valid_s > 0:
                    self._permission.extend_by_peers(sent_at, valid_s)
                return valid_s
            case PermissionGrant.NO_STORE:
                self._confirmations.record(InstanceId(reply.instance), sent_at)
                self._confirmations.record_collected(reply.confirmations, sent_at)
                return self._extend_by_majority(sent_at)
            case _:
                return 0.0

    def _extend_by_majority(self, sent_at: float) -> float:
        """Extend the permission if a majority lacks the store and grants it, within the limit.

        The replies contain every change of a primary that the peers have acknowledged.

        Returns
        -------
        float
            Seconds after ``sent_at`` for which the majority grants permission; 0 without one.
        """
        if self._confirmed_until >= sent_at + PEER_PERMISSION_S:
            # Nothing that is asked at this time is valid for longer.
            return self._confirmed_until - sent_at
        if -self._permission.lease_remaining_s >= OUTAGE_LIMIT_S:
            return 0.0
        views = [{record.instance for record in view} for view in self._roster_views()]
        until = self._confirmations.majority_until(views)
        if until <= self._clock.monotonic():
            return 0.0
        self._confirmed_until = max(until, self._confirmed_until)
        self._permission.extend_by_peers(sent_at, until - sent_at)
        return until - sent_at

    def _log_permission(self, summary: _PermissionReplies) -> None:
        """Log when peers begin or cease to grant permission."""
        if (summary.valid_s > 0) != self._granted:
            self._granted = summary.valid_s > 0
            own_left_s = self._permission.lease_remaining_s
            log.info(
                "permission held by peers" if self._granted else "peers give no permission",
                extra={
                    "asked": summary.requests,
                    "answered": summary.replies,
                    "vouched": summary.grants,
                    # JSON has no infinity.
                    "own_left_s": round(own_left_s, 2) if math.isfinite(own_left_s) else None,
                },
            )
