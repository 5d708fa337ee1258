"""Promotion: one attempt of one proposer to give a group a new primary."""

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
SEND_ONLY_S = 0.0
PUBLISHED_PREFIX = "groups/"

Answers = dict[TargetId, TargetAnswer]
Reports = dict[InstanceId, PrimaryReport]


class FailoverLinks(Protocol):
    """The ways to targets and peers that failover decisions use."""

    def ask_targets(
        self,
        targets: list[TargetInfo],
        req: TargetRequest,
        timeout_s: float,
        is_enough: Callable[[Answers], bool],
    ) -> Answers:
        """Ask targets at once; give the answers that came in time, refusals too.

        A timeout of 0 sends and waits for nothing.
        """

    def ask_peers(
        self,
        peers: list[InstanceId],
        message: Any,
        timeout_s: float,
        is_enough: Callable[[dict[InstanceId, Any]], bool],
    ) -> dict[InstanceId, Any]:
        """Ask peers at once; give the answers that came in time."""

    def refresh(self, group: GroupId) -> None:
        """Ask a group's targets for their states now."""

    def follows(self, group: GroupId) -> bool:
        """Tell whether this instance keeps links to the group's targets."""


class PromotionOutcome(Enum):
    """How an attempt ended."""

    PROMOTED = "promoted"
    PRIMARY_REACHABLE = "reached"
    INSUFFICIENT_EVIDENCE = "too-little-evidence"
    SUPERSEDED = "overtaken"
    NO_MAJORITY = "no-majority"
    PROMOTE_FAILED = "not-promoted"


@dataclass(frozen=True)
class PromotionAttempt:
    """One attempt."""

    outcome: PromotionOutcome
    group: GroupId
    term: int
    primary: TargetInfo | None = None


@dataclass(frozen=True)
class FencedMember:
    """A member that takes nothing of an older term any more."""

    view: TargetView
    state: State


def group_watchers(groups: GroupTable, membership: Membership, group: GroupId) -> list[PeerInfo]:
    """Give the instances that watch a group, as this instance sees the fleet."""
    data_centres = {view.info.data_centre for view in groups.members(group)}
    staying = [info for info in membership.instances() if not info.leaving]
    return watchers_of(group, data_centres, staying)


class Promoter:
    """Gives a group a new primary: evidence, fence, promote, tell.

    Parameters
    ----------
    instance, data_centre
        This instance.
    groups : GroupTable
        What is known of the targets.
    membership : Membership
        The fleet.
    links : FailoverLinks
        The ways to targets and peers.
    rng : random.Random
        Makes the name of each attempt unique.
    timeline : Timeline
        Takes events.
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
        """Promote a database of the group, if its primary is lost.

        Returns
        -------
        Attempt
            How it ended. At most one target is asked to become the primary of the
            term, so that a lost answer cannot make two.
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
            self._links.refresh(group)
            return PromotionOutcome.SUPERSEDED
        match assess_reachability(self._weighed(reports), self._membership.instances()):
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
        answers = self._links.ask_peers(
            peers,
            question,
            EVIDENCE_TIMEOUT_S,
            lambda found: any(report.reached for report in found.values()),
        )
        return {peer: report for peer, report in answers.items() if report.known}

    def _weighed(self, reports: Reports) -> list[ReachabilityReport]:
        found = [ReachabilityReport(self._instance, self._data_centre, reached=False)]
        for peer, report in reports.items():
            info = self._membership.find(peer)
            if info is not None:
                found.append(ReachabilityReport(peer, info.data_centre, report.reached))
        return found

    def _propose(self, group: GroupId, term: int, proposer: str) -> PromotionAttempt:
        members = self._groups.members(group)
        fenced = self._fence(members, Fence(term=term, proposer=proposer))
        if isinstance(fenced, Err):
            return PromotionAttempt(fenced.err_value, group, term)
        self._record(EventKind.GROUP_FENCED, group, term)
        winner = max(fenced.ok_value, key=_preference).view.info
        req = Promote(term=term, proposer=proposer)
        answers = self._links.ask_targets([winner], req, PROMOTE_TIMEOUT_S, bool)
        if not _accepted(answers.get(winner.target)):
            return PromotionAttempt(PromotionOutcome.PROMOTE_FAILED, group, term, winner)
        self._record(EventKind.PRIMARY_CHANGED, group, term, winner)
        self._follow(members, winner, term)
        self._tell(group, term, winner)
        return PromotionAttempt(PromotionOutcome.PROMOTED, group, term, winner)

    def _fence(
        self, members: list[TargetView], req: Fence
    ) -> Result[list[FencedMember], PromotionOutcome]:
        """Fence a majority, then ask it again.

        A member that lost its log and its term in between has another incarnation, so a
        member that counts was fenced while all others that count were fenced too.
        """
        needed = len(members) // 2 + 1
        views = {view.info.target: view for view in members}

        def is_enough(found: Answers) -> bool:
            return len([1 for answer in found.values() if _counts(answer)]) >= needed

        infos = [view.info for view in members]
        first = self._links.ask_targets(infos, req, FENCE_TIMEOUT_S, is_enough)
        infos = [views[target].info for target, answer in first.items() if _counts(answer)]
        if len(infos) < needed:
            overtaken = any(_is_overtaken(answer) for answer in first.values())
            return Err(PromotionOutcome.SUPERSEDED if overtaken else PromotionOutcome.NO_MAJORITY)
        second = self._links.ask_targets(infos, req, FENCE_TIMEOUT_S, is_enough)
        fenced = [
            FencedMember(views[target], answer.state)
            for target, answer in second.items()
            if _counts(answer) and answer.state.incarnation == first[target].state.incarnation
        ]
        return Ok(fenced) if len(fenced) >= needed else Err(PromotionOutcome.NO_MAJORITY)

    def _follow(self, members: list[TargetView], primary: TargetInfo, term: int) -> None:
        others = [view.info for view in members if view.info.target != primary.target]
        req = Follow(term=term, primary=primary.target, address=str(primary.address))
        self._links.ask_targets(others, req, SEND_ONLY_S, bool)

    def _tell(self, group: GroupId, term: int, primary: TargetInfo) -> None:
        watchers = group_watchers(self._groups, self._membership, group)
        told = {info.instance for info in [*watchers, *self._membership.fan_out_peers()]}
        message = PrimaryChanged(group=group, term=term, primary=primary.target)
        peers = sorted(told - {self._instance})
        self._links.ask_peers(peers, message, SEND_ONLY_S, bool)

    def _record(
        self, kind: EventKind, group: GroupId, term: int, target: TargetInfo | None = None
    ) -> None:
        name = target.target if target else ""
        self._timeline.record(kind, group=group, target=name, term=term)
        log.info(kind.value, extra={"group": group, "term": term, "target": name})


def publish_primary(platform: Platform, attempt: PromotionAttempt) -> bool:
    """Tell the platform of a new primary, unless it knows of a later term.

    Returns
    -------
    bool
        False if the platform could not be reached or another writer came first.
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


def _accepted(answer: TargetAnswer | None) -> bool:
    return answer is not None and answer.failure is None


def _counts(answer: TargetAnswer) -> bool:
    return _accepted(answer) and answer.state is not None and not answer.state.rejoining


def _is_overtaken(answer: TargetAnswer) -> bool:
    return answer.failure is not None and answer.failure.code is ErrorCode.STALE_TERM


def _preference(member: FencedMember) -> tuple[tuple[int, int], bool, str]:
    position = member.state.received or Position()
    return position_key(position), not member.view.leaving, member.view.info.target
