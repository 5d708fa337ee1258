"""Failover: detects lost primaries, starts promotions and moves members to the current term."""

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
    SEND_ONLY_TIMEOUT_S,
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
# How long the primary must be unreachable, or the group without one, before an attempt.
UNREACHABLE_PRIMARY_GRACE_S = 0.2
NO_PRIMARY_GRACE_S = 1.0
# Added per place in the proposal order, so that watchers propose one after the other.
PROPOSER_STAGGER_S = 0.2
MAX_PROPOSAL_JITTER_S = 0.1
# Between two Follow requests to the same member.
FOLLOW_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.2
# Greatest age of the primary's last state for which a peer's question is answered without a
# new probe.
MAX_PRIMARY_STATE_AGE_S = 0.35
PUBLISH_INTERVAL_S = 1.0


@dataclass
class PrimaryLoss:
    """The loss of a group's primary, as seen by this instance."""

    term: int
    # Clock reading, in seconds, when the loss was first seen in the term or the last
    # attempt ended.
    grace_started_at: float
    jitter_s: float
    attempt_running: bool = False


class FailoverMonitor:
    """Starts promotions for lost primaries, and has lagging members follow the primary.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    groups : GroupTable
        Known states of the targets.
    membership : Membership
        The instances of the fleet.
    links : FailoverLinks
        Sends requests to targets and peers.
    promoter : Promoter
        Runs promotion attempts.
    platform : Platform
        Platform to which new primaries are published; retried until it is reachable.
    clock, rng
        Sources of time and of random delays.
    spawn : Callable
        Starts a concurrent task.
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
        self._losses: dict[GroupId, PrimaryLoss] = {}
        # Clock reading of the last Follow request to each target, in seconds.
        self._follow_sent_at: dict[TargetId, float] = {}
        self._unpublished: dict[GroupId, PromotionAttempt] = {}
        self._next_publish_at = 0.0

    def run(self) -> None:
        """Check all groups at a fixed interval until :meth:`stop`; blocks its task."""
        while not self._stopping.is_set():
            try:
                self.check_groups()
            except Exception:
                log.exception("failover check failed with an unexpected error")
            self._clock.sleep(CHECK_INTERVAL_S)

    def stop(self) -> None:
        """End :meth:`run` before its next check."""
        self._stopping.set()

    def check_groups(self) -> None:
        """Check every group once."""
        for group in {view.info.group for view in self._groups.targets()}:
            self._check_group(group)
        self._start_due_publish()

    def _check_group(self, group: GroupId) -> None:
        term = self._groups.term(group)
        primary = self._groups.primary(group)
        if term == 0:
            return
        if primary is not None and primary.reachable:
            with self._lock:
                self._losses.pop(group, None)
            self._send_follow_requests(group, primary, term)
            return
        loss = self._record_loss(group, term)
        attempt_at = self._attempt_at(group, loss, no_primary=primary is None)
        if attempt_at is None or loss.attempt_running or self._clock.monotonic() < attempt_at:
            return
        loss.attempt_running = True
        self._spawn(lambda: self._run_attempt(group, loss))

    def _record_loss(self, group: GroupId, term: int) -> PrimaryLoss:
        with self._lock:
            loss = self._losses.get(group)
            if loss is None or loss.term != term:
                loss = PrimaryLoss(term, self._clock.monotonic(), self._draw_jitter())
                self._losses[group] = loss
            return loss

    def _draw_jitter(self) -> float:
        return self._rng.uniform(0, MAX_PROPOSAL_JITTER_S)

    def _attempt_at(self, group: GroupId, loss: PrimaryLoss, *, no_primary: bool) -> float | None:
        watchers = group_watchers(self._groups, self._membership, group)
        order = proposal_order(group, loss.term, watchers)
        if self._instance not in order:
            return None
        grace_s = NO_PRIMARY_GRACE_S if no_primary else UNREACHABLE_PRIMARY_GRACE_S
        stagger_s = order.index(self._instance) * PROPOSER_STAGGER_S
        return loss.grace_started_at + grace_s + stagger_s + loss.jitter_s

    def _run_attempt(self, group: GroupId, loss: PrimaryLoss) -> None:
        try:
            attempt = self._promoter.attempt_promotion(group)
            if attempt.outcome is PromotionOutcome.PROMOTED:
                self._unpublished[group] = attempt
            else:
                self._links.probe_now(group)
        finally:
            loss.grace_started_at = self._clock.monotonic()
            loss.jitter_s = self._draw_jitter()
            loss.attempt_running = False

    def _start_due_publish(self) -> None:
        now = self._clock.monotonic()
        if not self._unpublished or now < self._next_publish_at:
            return
        self._next_publish_at = now + PUBLISH_INTERVAL_S
        self._spawn(self._publish)

    def _publish(self) -> None:
        for group, attempt in list(self._unpublished.items()):
            superseded = self._groups.term(group) > attempt.term
            if superseded or publish_primary(self._platform, attempt):
                self._unpublished.pop(group, None)

    def _send_follow_requests(self, group: GroupId, primary: TargetView, term: int) -> None:
        for view in self._groups.members(group):
            if view.info.target == primary.info.target or not _must_follow(view, term):
                continue
            now = self._clock.monotonic()
            if now < self._follow_sent_at.get(view.info.target, 0.0) + FOLLOW_INTERVAL_S:
                continue
            self._follow_sent_at[view.info.target] = now
            if view.state.rejoining:
                self._spawn(lambda view=view: self._readmit(group, view, primary, term))
            else:
                req = _follow_request(primary, term)
                self._links.send_to_targets([view.info], req, SEND_ONLY_TIMEOUT_S, bool)

    def _readmit(self, group: GroupId, member: TargetView, primary: TargetView, term: int) -> None:
        """Have a member that lost its log follow the primary, once that is safe.

        The member may have lost the record that it was fenced. A majority of the group,
        not counting the member, must therefore report the current term in answers to
        probes sent after the member's restart.
        """
        answers = self._links.send_to_targets([member.info], Probe(), PROBE_TIMEOUT_S, bool)
        answer = answers.get(member.info.target)
        if answer is None or answer.state is None or not answer.state.rejoining:
            return
        members = self._groups.members(group)
        needed = len(members) // 2 + 1
        others = [view.info for view in members if view.info.target != member.info.target]

        def is_enough(answers: Answers) -> bool:
            return len([1 for other in answers.values() if _is_in_term(other, term)]) >= needed

        other_answers = self._links.send_to_targets(others, Probe(), PROBE_TIMEOUT_S, is_enough)
        if not is_enough(other_answers):
            return
        req = _follow_request(primary, term)
        req.incarnation = answer.state.incarnation
        self._links.send_to_targets([member.info], req, SEND_ONLY_TIMEOUT_S, bool)


def _follow_request(primary: TargetView, term: int) -> Follow:
    info = primary.info
    return Follow(term=term, primary=info.target, address=str(info.address))


def _must_follow(view: TargetView, term: int) -> bool:
    state = view.state
    if state is None or not view.reachable:
        return False
    return state.term < term or state.role is Role.FENCED


def _is_in_term(answer: TargetAnswer, term: int) -> bool:
    state = answer.state or State()
    in_term = state.term == term and state.role in (Role.PRIMARY, Role.REPLICA)
    return in_term and not state.rejoining


class FleetLinks:
    """Sends requests to targets and peers over this instance's own links.

    Parameters
    ----------
    targets : ControlLinks
        Control links to targets.
    peers : PeerLinks
        Links to peers.
    clock : Clock
        Source of time.
    """

    def __init__(self, targets: ControlLinks, peers: PeerLinks, clock: Clock) -> None:
        self.send_to_targets = targets.send_to_targets
        self.probe_now = targets.probe_now
        self.keeps_links = targets.keeps_links
        self._peers = peers
        self._clock = clock

    def send_to_peers(
        self,
        peers: list[InstanceId],
        message: Any,
        timeout_s: float,
        is_enough: Callable[[dict[InstanceId, Any]], bool],
    ) -> dict[InstanceId, Any]:
        """Send a message to peers concurrently; return the answers that arrived in time."""
        deadline = Deadline(self._clock, self._clock.monotonic() + timeout_s)
        pending = {}
        for peer in peers:
            with suppress(TargetUnavailable):
                pending[self._peers.start(peer, message)] = peer
        answers: dict[InstanceId, Any] = {}
        while pending and not deadline.passed and not is_enough(answers):
            completed, _ = wait(pending, deadline.remaining_s, return_when=FIRST_COMPLETED)
            for fut in completed:
                peer = pending.pop(fut)
                answer = self._peers.wait_for_answer(fut, 0)
                if isinstance(answer, Ok):
                    answers[peer] = answer.ok_value
        return answers


class FailoverHandlers:
    """Handles peers' messages about primaries.

    Parameters
    ----------
    groups : GroupTable
        Known states of the targets.
    links : FailoverLinks
        Sends requests to targets.
    clock : Clock
        Source of time.
    """

    def __init__(self, groups: GroupTable, links: FailoverLinks, clock: Clock) -> None:
        self._groups = groups
        self._links = links
        self._clock = clock

    def on_primary_question(self, peer: InstanceId, question: PrimaryQuestion) -> PrimaryReport:
        """Report whether this instance reaches a primary of the term or of a later one."""
        group = GroupId(question.group)
        term = self._groups.term(group)
        if term == 0 or not self._links.keeps_links(group):
            return PrimaryReport()
        if term < question.term:
            self._links.probe_now(group)
        reached = self._reaches_primary(group, question.term)
        return PrimaryReport(known=True, reached=reached, term=self._groups.term(group))

    def _reaches_primary(self, group: GroupId, term: int) -> bool:
        primary = self._groups.primary(group)
        if primary is None or not primary.reachable or primary.state.term < term:
            return False
        if self._clock.monotonic() - primary.requested_at < MAX_PRIMARY_STATE_AGE_S:
            return True
        answers = self._links.send_to_targets([primary.info], Probe(), PROBE_TIMEOUT_S, bool)
        answer = answers.get(primary.info.target)
        if answer is None or answer.state is None:
            return False
        return answer.state.role is Role.PRIMARY and answer.state.term >= term

    def on_primary_changed(self, peer: InstanceId, change: PrimaryChanged) -> PrimaryReport:
        """Refresh the states of the group's targets if they are out of date.

        They are if the peer's term is newer or this instance knows no primary. The report
        contains the term that was known before.
        """
        group = GroupId(change.group)
        term = self._groups.term(group)
        if term < change.term or self._groups.primary(group) is None:
            self._links.probe_now(group)
        return PrimaryReport(known=True, term=term)
