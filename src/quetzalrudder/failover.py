"""Failover: watches groups, starts attempts in turn, and brings members back in line."""

import logging
import random
import threading
from collections.abc import Callable
from concurrent.futures import FIRST_COMPLETED, wait
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from result import Ok

from quetzalrudder.adapters import Platform
from quetzalrudder.exceptions import TargetUnavailable
from quetzalrudder.groups import GroupTable, TargetView
from quetzalrudder.links import ControlLinks
from quetzalrudder.membership import Membership
from quetzalrudder.models import GroupId, InstanceId, TargetId
from quetzalrudder.peers import PeerLinks
from quetzalrudder.promotion import (
    SEND_ONLY_S,
    Answers,
    FailoverLinks,
    Promoter,
    PromotionAttempt,
    PromotionOutcome,
    group_watchers,
    publish_primary,
)
from quetzalrudder.schema.peers import PrimaryChanged, PrimaryQuestion, PrimaryReport
from quetzalrudder.schema.target import Follow, Probe, Role, State, TargetAnswer
from quetzalrudder.suspicion import proposal_order
from quetzalrudder.utils import Clock, Deadline

__all__ = ["FailoverMonitor", "FailoverHandlers", "FleetLinks"]

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05
# Time without contact to a primary, or without a primary, before an attempt.
UNREACHED_GRACE_S = 0.2
LEADERLESS_GRACE_S = 1.0
PROPOSER_STAGGER_S = 0.2
MAX_JITTER_S = 0.1
FOLLOW_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.2
FRESH_S = 0.35
PUBLISH_INTERVAL_S = 1.0


@dataclass
class Loss:
    """A group whose primary this instance does not reach."""

    term: int
    # Clock reading when this was first seen in the term, in seconds.
    since: float
    jitter_s: float
    attempting: bool = False


class FailoverMonitor:
    """Decides when this instance proposes a promotion.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    groups : GroupTable
        What is known of the targets.
    membership : Membership
        The fleet.
    links : FailoverLinks
        The ways to targets and peers.
    promoter : Promoter
        Runs an attempt.
    platform : Platform
        Is told of promotions, when it is up.
    clock, rng
        Sources of time and of random delays.
    spawn : Callable
        Runs a task beside this one.
    """

    def __init__(
        self,
        instance: InstanceId,
        groups: GroupTable,
        membership: Membership,
        links: FailoverLinks,
        promoter: Promoter,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
        spawn: Callable[[Callable[[], None]], object],
    ) -> None:
        self._instance = instance
        self._groups = groups
        self._membership = membership
        self._links = links
        self._promoter = promoter
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._spawn = spawn
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._losses: dict[GroupId, Loss] = {}
        self._ordered_at: dict[TargetId, float] = {}
        self._unpublished: dict[GroupId, PromotionAttempt] = {}
        self._publish_at = 0.0

    def run(self) -> None:
        """Watch until :meth:`stop`; one task runs this."""
        while not self._stopping.is_set():
            try:
                self.check_groups()
            except Exception:
                log.exception("failover check ended by a defect")
            self._clock.sleep(CHECK_INTERVAL_S)

    def stop(self) -> None:
        """End :meth:`run` at its next turn."""
        self._stopping.set()

    def check_groups(self) -> None:
        """Check every group once."""
        for group in {view.info.group for view in self._groups.targets()}:
            self._check(group)
        self._publish_due()

    def _check(self, group: GroupId) -> None:
        term = self._groups.term(group)
        primary = self._groups.primary(group)
        if term == 0:
            return
        if primary is not None and primary.reachable:
            with self._lock:
                self._losses.pop(group, None)
            self._align(group, primary, term)
            return
        loss = self._note_loss(group, term)
        due = self._due_at(group, loss, leaderless=primary is None)
        if due is None or loss.attempting or self._clock.monotonic() < due:
            return
        loss.attempting = True
        self._spawn(lambda: self._attempt(group, loss))

    def _note_loss(self, group: GroupId, term: int) -> Loss:
        with self._lock:
            loss = self._losses.get(group)
            if loss is None or loss.term != term:
                loss = Loss(term, self._clock.monotonic(), self._draw_jitter())
                self._losses[group] = loss
            return loss

    def _draw_jitter(self) -> float:
        return self._rng.uniform(0, MAX_JITTER_S)

    def _due_at(self, group: GroupId, loss: Loss, *, leaderless: bool) -> float | None:
        watchers = group_watchers(self._groups, self._membership, group)
        order = proposal_order(group, loss.term, watchers)
        if self._instance not in order:
            return None
        grace_s = LEADERLESS_GRACE_S if leaderless else UNREACHED_GRACE_S
        turn_s = order.index(self._instance) * PROPOSER_STAGGER_S
        return loss.since + grace_s + turn_s + loss.jitter_s

    def _attempt(self, group: GroupId, loss: Loss) -> None:
        try:
            attempt = self._promoter.attempt_promotion(group)
            if attempt.outcome is PromotionOutcome.PROMOTED:
                self._unpublished[group] = attempt
            else:
                self._links.refresh(group)
        finally:
            loss.since = self._clock.monotonic()
            loss.jitter_s = self._draw_jitter()
            loss.attempting = False

    def _publish_due(self) -> None:
        now = self._clock.monotonic()
        if not self._unpublished or now < self._publish_at:
            return
        self._publish_at = now + PUBLISH_INTERVAL_S
        self._spawn(self._publish)

    def _publish(self) -> None:
        for group, attempt in list(self._unpublished.items()):
            overtaken = self._groups.term(group) > attempt.term
            if overtaken or publish_primary(self._platform, attempt):
                self._unpublished.pop(group, None)

    def _align(self, group: GroupId, primary: TargetView, term: int) -> None:
        for view in self._groups.members(group):
            if view.info.target == primary.info.target or not _strays(view, term):
                continue
            now = self._clock.monotonic()
            if now < self._ordered_at.get(view.info.target, 0.0) + FOLLOW_INTERVAL_S:
                continue
            self._ordered_at[view.info.target] = now
            if view.state.rejoining:
                self._spawn(lambda view=view: self._readmit(group, view, primary, term))
            else:
                req = _follow(primary, term)
                self._links.ask_targets([view.info], req, SEND_ONLY_S, bool)

    def _readmit(self, group: GroupId, member: TargetView, primary: TargetView, term: int) -> None:
        """Have a member that lost its log follow, once it is safe.

        It may have forgotten that it was fenced. So a majority without it must be in the
        term, by answers to questions asked after its restart.
        """
        asked = self._links.ask_targets([member.info], Probe(), PROBE_TIMEOUT_S, bool)
        answer = asked.get(member.info.target)
        if answer is None or answer.state is None or not answer.state.rejoining:
            return
        members = self._groups.members(group)
        needed = len(members) // 2 + 1
        others = [view.info for view in members if view.info.target != member.info.target]

        def is_enough(found: Answers) -> bool:
            return len([1 for other in found.values() if _serves_in(other, term)]) >= needed

        found = self._links.ask_targets(others, Probe(), PROBE_TIMEOUT_S, is_enough)
        if not is_enough(found):
            return
        req = _follow(primary, term)
        req.incarnation = answer.state.incarnation
        self._links.ask_targets([member.info], req, SEND_ONLY_S, bool)


def _follow(primary: TargetView, term: int) -> Follow:
    info = primary.info
    return Follow(term=term, primary=info.target, address=str(info.address))


def _strays(view: TargetView, term: int) -> bool:
    state = view.state
    if state is None or not view.reachable:
        return False
    return state.term < term or state.role is Role.FENCED


def _serves_in(answer: TargetAnswer, term: int) -> bool:
    state = answer.state or State()
    in_term = state.term == term and state.role in (Role.PRIMARY, Role.REPLICA)
    return in_term and not state.rejoining


class FleetLinks:
    """The ways to targets and peers over this instance's own links.

    Parameters
    ----------
    targets : ControlLinks
        Links to targets.
    peers : PeerLinks
        Links to peers.
    clock : Clock
        Source of time.
    """

    def __init__(self, targets: ControlLinks, peers: PeerLinks, clock: Clock) -> None:
        self.ask_targets = targets.ask_targets
        self.refresh = targets.refresh
        self.follows = targets.follows
        self._peers = peers
        self._clock = clock

    def ask_peers(
        self,
        peers: list[InstanceId],
        message: Any,
        timeout_s: float,
        is_enough: Callable[[dict[InstanceId, Any]], bool],
    ) -> dict[InstanceId, Any]:
        """Ask peers at once; give the answers that came in time."""
        deadline = Deadline(self._clock, self._clock.monotonic() + timeout_s)
        pending = {}
        for peer in peers:
            with suppress(TargetUnavailable):
                pending[self._peers.start(peer, message)] = peer
        answers: dict[InstanceId, Any] = {}
        while pending and not deadline.passed and not is_enough(answers):
            done, _ = wait(pending, deadline.remaining_s, return_when=FIRST_COMPLETED)
            for fut in done:
                peer = pending.pop(fut)
                answer = self._peers.answer_of(fut, 0)
                if isinstance(answer, Ok):
                    answers[peer] = answer.ok_value
        return answers


class FailoverHandlers:
    """Answers peers' messages about primaries.

    Parameters
    ----------
    groups : GroupTable
        What is known of the targets.
    links : FailoverLinks
        The ways to targets.
    clock : Clock
        Source of time.
    """

    def __init__(self, groups: GroupTable, links: FailoverLinks, clock: Clock) -> None:
        self._groups = groups
        self._links = links
        self._clock = clock

    def on_primary_question(self, peer: InstanceId, question: PrimaryQuestion) -> PrimaryReport:
        """Tell whether this instance reaches a primary of the term or a later one."""
        group = GroupId(question.group)
        term = self._groups.term(group)
        if term == 0 or not self._links.follows(group):
            return PrimaryReport()
        if term < question.term:
            self._links.refresh(group)
        reached = self._reaches(group, question.term)
        return PrimaryReport(known=True, reached=reached, term=self._groups.term(group))

    def _reaches(self, group: GroupId, term: int) -> bool:
        primary = self._groups.primary(group)
        if primary is None or not primary.reachable or primary.state.term < term:
            return False
        if self._clock.monotonic() - primary.asked_at < FRESH_S:
            return True
        asked = self._links.ask_targets([primary.info], Probe(), PROBE_TIMEOUT_S, bool)
        answer = asked.get(primary.info.target)
        if answer is None or answer.state is None:
            return False
        return answer.state.role is Role.PRIMARY and answer.state.term >= term

    def on_primary_changed(self, peer: InstanceId, change: PrimaryChanged) -> PrimaryReport:
        """Look at the group's targets again, at once."""
        group = GroupId(change.group)
        term = self._groups.term(group)
        if term < change.term or self._groups.primary(group) is None:
            self._links.refresh(group)
        return PrimaryReport(known=True, term=term)
