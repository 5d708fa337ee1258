"""Promotion: a single attempt by one proposer to replace a group's lost primary."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from result import Err, Ok, Result

from quetzalrudder.adapters import Platform, TargetInfo, TargetRequest
from quetzalrudder.groups import GroupTable, TargetView
from quetzalrudder.membership import Membership, PeerInfo
from quetzalrudder.models import DataCentre, GroupId, InstanceId, TargetId
from quetzalrudder.schema.common import ErrorCode, Position
from quetzalrudder.schema.peers import PrimaryChanged, PrimaryQuestion, PrimaryReport
from quetzalrudder.schema.platform import Group, PutRequest
from quetzalrudder.schema.target import Fence, Follow, Promote, State, TargetAnswer
from quetzalrudder.suspicion import (
    Reachability,
    ReachabilityReport,
    assess_reachability,
    watchers_of,
)
from quetzalrudder.timeline import EventKind, Timeline
from quetzalrudder.tokens import position_key

__all__ = [
    "PromotionAttempt",
    "PromotionOutcome",
    "FailoverLinks",
    "Promoter",
    "group_watchers",
    "publish_primary",
]

log = logging.getLogger(__name__)

EVIDENCE_TIMEOUT_S = 0.3
FENCE_TIMEOUT_S = 0.5
PROMOTE_TIMEOUT_S = 1.0
# Sends a request without waiting for its answer.
SEND_ONLY_TIMEOUT_S = 0.0
PUBLISHED_PREFIX = "groups/"

Answers = dict[TargetId, TargetAnswer]
Reports = dict[InstanceId, PrimaryReport]


class FailoverLinks(Protocol):
    """Sends the requests to targets and peers that failover needs."""

    def send_to_targets(
        self,
        targets: list[TargetInfo],
        req: TargetRequest,
        timeout_s: float,
        is_enough: Callable[[Answers], bool],
    ) -> Answers:
        """Send a request to targets concurrently; return the answers that arrived in time.

        Refusals are returned too. With a timeout of 0 the requests are sent and no
        answer is awaited.
        """

    def send_to_peers(
        self,
        peers: list[InstanceId],
        message: Any,
        timeout_s: float,
        is_enough: Callable[[dict[InstanceId, Any]], bool],
    ) -> dict[InstanceId, Any]:
        """Send a message to peers concurrently; return the answers that arrived in time."""

    def probe_now(self, group: GroupId) -> None:
        """Request the current states of a group's targets."""

    def keeps_links(self, group: GroupId) -> bool:
        """Return whether this instance keeps links to the group's targets."""


class PromotionOutcome(Enum):
    """Outcome of a promotion attempt."""

    PROMOTED = "promoted"
    PRIMARY_REACHABLE = "primary-reachable"
    INSUFFICIENT_EVIDENCE = "insufficient-evidence"
    # A later term, another proposer, or a primary that is reachable again.
    SUPERSEDED = "superseded"
    # Too few members were fenced.
    NO_MAJORITY = "no-majority"
    # The Promote request was refused or not answered in time.
    PROMOTE_FAILED = "promote-failed"


@dataclass(frozen=True)
class PromotionAttempt:
    """A promotion attempt that has ended."""

    outcome: PromotionOutcome
    group: GroupId
    term: int
    primary: TargetInfo | None = None


@dataclass(frozen=True)
class FencedMember:
    """A member that no longer accepts requests of older terms, and its state."""

    view: TargetView
    state: State


def group_watchers(groups: GroupTable, membership: Membership, group: GroupId) -> list[PeerInfo]:
    """Return the instances that watch a group, by this instance's view of the fleet."""
    data_centres = {view.info.data_centre for view in groups.members(group)}
    candidates = [info for info in membership.instances() if not info.leaving]
    return watchers_of(group, data_centres, candidates)


class Promoter:
    """Replaces a lost primary: gathers evidence, fences a majority, promotes, informs peers.

    Parameters
    ----------
    instance, data_centre
        This instance.
    groups : GroupTable
        Known states of the targets.
    membership : Membership
        The instances of the fleet.
    links : FailoverLinks
        Sends requests to targets and peers.
    rng : random.Random
        Makes the proposer name of each attempt unique.
    timeline : Timeline
        Records events.
    """

    def __init__(
        self,
        instance: InstanceId,
        data_centre: DataCentre,
        groups: GroupTable,
        membership: Membership,
        links: FailoverLinks,
        rng: random.Random,
        timeline: Timeline,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._groups = groups
        self._membership = membership
        self._links = links
        self._rng = rng
        self._timeline = timeline

    def attempt_promotion(self, group: GroupId) -> PromotionAttempt:
        """Promote a database of the group if its primary is lost.

        Returns
        -------
        PromotionAttempt
            The attempt and its outcome. At most one target gets a Promote request for the
            term, so that a lost answer cannot lead to two primaries.
        """
        term = self._groups.term(group)
        outcome = self._check_lost(group, term)
        if outcome is not None:
            return PromotionAttempt(outcome, group, term)
        self._record(EventKind.PRIMARY_SUSPECTED, group, term)
        proposer = f"{self._instance}/{self._rng.getrandbits(64):016x}"
        return self._propose(group, term + 1, proposer)

    def _check_lost(self, group: GroupId, term: int) -> PromotionOutcome | None:
        reports = self._gather_reports(group, term)
        if any(report.term > term for report in reports.values()):
            self._links.probe_now(group)
            return PromotionOutcome.SUPERSEDED
        match assess_reachability(self._evidence(reports), self._membership.instances()):
            case Reachability.REACHABLE:
                return PromotionOutcome.PRIMARY_REACHABLE
            case Reachability.INSUFFICIENT_EVIDENCE:
                return PromotionOutcome.INSUFFICIENT_EVIDENCE
        primary = self._groups.primary(group)
        if self._groups.term(group) != term or (primary is not None and primary.reachable):
            return PromotionOutcome.SUPERSEDED
        return None

    def _gather_reports(self, group: GroupId, term: int) -> Reports:
        watchers = group_watchers(self._groups, self._membership, group)
        peers = [info.instance for info in watchers if info.instance != self._instance]
        question = PrimaryQuestion(group=group, term=term)
        answers = self._links.send_to_peers(
            peers,
            question,
            EVIDENCE_TIMEOUT_S,
            lambda answers: any(report.reached for report in answers.values()),
        )
        return {peer: report for peer, report in answers.items() if report.known}

    def _evidence(self, reports: Reports) -> list[ReachabilityReport]:
        evidence = [ReachabilityReport(self._instance, self._data_centre, reached=False)]
        for peer, report in reports.items():
            info = self._membership.find(peer)
            if info is not None:
                evidence.append(ReachabilityReport(peer, info.data_centre, report.reached))
        return evidence

    def _propose(self, group: GroupId, term: int, proposer: str) -> PromotionAttempt:
        members = self._groups.members(group)
        fenced = self._fence(members, Fence(term=term, proposer=proposer))
        if isinstance(fenced, Err):
            return PromotionAttempt(fenced.err_value, group, term)
        self._record(EventKind.GROUP_FENCED, group, term)
        candidate = max(fenced.ok_value, key=_candidate_rank).view.info
        req = Promote(term=term, proposer=proposer)
        answers = self._links.send_to_targets([candidate], req, PROMOTE_TIMEOUT_S, bool)
        if not _is_accepted(answers.get(candidate.target)):
            return PromotionAttempt(PromotionOutcome.PROMOTE_FAILED, group, term, candidate)
        self._record(EventKind.PRIMARY_CHANGED, group, term, candidate)
        self._send_follow_requests(members, candidate, term)
        self._inform_peers(group, term, candidate)
        return PromotionAttempt(PromotionOutcome.PROMOTED, group, term, candidate)

    def _fence(
        self, members: list[TargetView], req: Fence
    ) -> Result[list[FencedMember], PromotionOutcome]:
        """Fence a majority, then fence the same members a second time.

        A member that lost its log and its term between the two rounds has a different
        incarnation and is not counted. Each counted member was therefore fenced while all
        other counted members were fenced too.
        """
        needed = len(members) // 2 + 1
        views = {view.info.target: view for view in members}

        def is_enough(answers: Answers) -> bool:
            return len([1 for answer in answers.values() if _is_fenced(answer)]) >= needed

        infos = [view.info for view in members]
        first = self._links.send_to_targets(infos, req, FENCE_TIMEOUT_S, is_enough)
        infos = [views[target].info for target, answer in first.items() if _is_fenced(answer)]
        if len(infos) < needed:
            superseded = any(_is_stale_term(answer) for answer in first.values())
            return Err(PromotionOutcome.SUPERSEDED if superseded else PromotionOutcome.NO_MAJORITY)
        second = self._links.send_to_targets(infos, req, FENCE_TIMEOUT_S, is_enough)
        fenced = [
            FencedMember(views[target], answer.state)
            for target, answer in second.items()
            if _is_fenced(answer) and answer.state.incarnation == first[target].state.incarnation
        ]
        return Ok(fenced) if len(fenced) >= needed else Err(PromotionOutcome.NO_MAJORITY)

    def _send_follow_requests(
        self, members: list[TargetView], primary: TargetInfo, term: int
    ) -> None:
        others = [view.info for view in members if view.info.target != primary.target]
        req = Follow(term=term, primary=primary.target, address=str(primary.address))
        self._links.send_to_targets(others, req, SEND_ONLY_TIMEOUT_S, bool)

    def _inform_peers(self, group: GroupId, term: int, primary: TargetInfo) -> None:
        watchers = group_watchers(self._groups, self._membership, group)
        recipients = {info.instance for info in [*watchers, *self._membership.fan_out_peers()]}
        message = PrimaryChanged(group=group, term=term, primary=primary.target)
        peers = sorted(recipients - {self._instance})
        self._links.send_to_peers(peers, message, SEND_ONLY_TIMEOUT_S, bool)

    def _record(
        self, kind: EventKind, group: GroupId, term: int, target: TargetInfo | None = None
    ) -> None:
        name = target.target if target else ""
        self._timeline.record(kind, group=group, target=name, term=term)
        log.info(kind.value, extra={"group": group, "term": term, "target": name})


def publish_primary(platform: Platform, attempt: PromotionAttempt) -> bool:
    """Publish a new primary to the platform, unless it already has this term or a later one.

    Returns
    -------
    bool
        True if the platform has the term or a later one. False if it could not be reached or
        another writer was faster.
    """
    key = PUBLISHED_PREFIX + attempt.group
    read = platform.get(key)
    if isinstance(read, Err):
        return False
    entry = read.ok_value
    if Group.parse(entry.value).term >= attempt.term:
        return True
    target = attempt.primary.target if attempt.primary else ""
    value = Group(group=attempt.group, term=attempt.term, primary=target)
    put = PutRequest(key=key, value=bytes(value), expected_version=entry.version)
    match platform.put(put):
        case Ok(answer):
            return answer.done
        case _:
            return False


def _is_accepted(answer: TargetAnswer | None) -> bool:
    return answer is not None and answer.failure is None


def _is_fenced(answer: TargetAnswer) -> bool:
    return _is_accepted(answer) and answer.state is not None and not answer.state.rejoining


def _is_stale_term(answer: TargetAnswer) -> bool:
    return answer.failure is not None and answer.failure.code is ErrorCode.STALE_TERM


def _candidate_rank(member: FencedMember) -> tuple[tuple[int, int], bool, str]:
    position = member.state.received or Position()
    return position_key(position), not member.view.leaving, member.view.info.target
