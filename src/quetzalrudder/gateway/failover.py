"""Replaces failed and draining primaries while this instance is the failover coordinator."""

import logging
import math
import random
import threading
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok

from quetzalrudder.exceptions import MalformedMessage, Overloaded, TargetUnavailable
from quetzalrudder.gateway.coordinator_lease import CoordinatorLease
from quetzalrudder.gateway.members import MemberRecord, MemberTable, RosterRecord
from quetzalrudder.gateway.newer_leaders import NewerLeaders
from quetzalrudder.gateway.permission import (
    ERA_SETTLING_S,
    OUTAGE_LIMIT_S,
    PERMISSION_S,
    LeaseSpan,
)
from quetzalrudder.gateway.primaries import PrimaryRecord, PrimaryTable
from quetzalrudder.gateway.primary_writes import write_primary
from quetzalrudder.gateway.promotion_calls import (
    LATE_CALL_LIMIT_S,
    PromotionCalls,
    PromotionClient,
)
from quetzalrudder.gateway.promotion_rules import is_suspected, may_promote
from quetzalrudder.gateway.records import (
    MEMBER_PREFIX,
    ROSTER_PREFIX,
    decode_member,
    decode_roster,
)
from quetzalrudder.gateway.statements import TargetStatus
from quetzalrudder.gateway.store import Store, WriteConflict, era_of, revision_in
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.store_eras import StoreEras
from quetzalrudder.gateway.succession import (
    Candidate,
    Decision,
    Promote,
    Wait,
    choose_complete,
    choose_furthest,
)
from quetzalrudder.gateway.successor_survey import Prober, StatusResult, SuccessorSurvey
from quetzalrudder.gateway.targets import LogPosition, Target, TargetRegistry, TargetRole
from quetzalrudder.gateway.wakeups import WakeUp
from quetzalrudder.models import GroupId, InstanceId, TargetId
from quetzalrudder.utils import Clock

__all__ = ["FailoverCoordinator", "Prober"]

log = logging.getLogger(__name__)

# Pause between two checks of all groups; short beside a promotion, which takes at least
# 300 ms.
STEP_INTERVAL_S = 0.05
# Longest pause of an instance that is not the coordinator; a change of the coordinator's
# record ends it.
IDLE_INTERVAL_S = 0.5
# Time for a successor to answer or to be promoted before another one is chosen.
SUCCESSOR_TIMEOUT_S = 3.0
# Queries of replicas that are busy, and the delay between them. Without them, what a replica has
# received would be lost; each delay also lengthens the replacement.
STATUS_ATTEMPTS = 5
STATUS_RETRY_DELAY_S = 0.02
# Pause of the calls for a successor that the platform has just refused.
PROMOTION_RETRY_DELAY_S = 0.25
# Time after which callers are told that a promotion waits for a database.
WAIT_NOTICE_S = 0.3
# Time for a successor to receive the whole log in a planned replacement. The users'
# replicas usually lag by 8 ms, and by 1 s on bad days.
CATCH_UP_TIMEOUT_S = 1.0
# Part of the time of a draining primary for which a call that may promote it is awaited. The rest,
# up to the part after which it gets no statements, is for open operations and the promotion.
LATE_CALL_DRAIN_FRACTION = 0.3
# An instance without a member record for this long has no permission left, neither its own
# nor one granted by peers.
ROSTER_RETENTION_S = PERMISSION_S + OUTAGE_LIMIT_S + 5.0
# Pause of the removals after one that the store did not confirm.
REMOVAL_RETRY_DELAY_S = 1.0


class FailoverCoordinator:
    """Replaces failed and draining primaries while this instance is the coordinator.

    Parameters
    ----------
    store, promotion_client, prober
        The store, the platform's promotion call, and the queries to databases.
    instance, incarnation
        This process.
    registry, primaries, members, contact, eras
        This instance's view of the databases, of the fleet and of the store.
    is_used : Callable
        Returns whether the configuration names a group.
    watchers : Callable
        Returns the members that monitor the primary of a record.
    lease_span : Callable
        Returns the period for which this instance's member lease has existed.
    confirms_commits : Callable
        Returns whether a replica of a group has received each commit that is acknowledged.
    primary_position : Callable
        Returns the newest position of a group's primary that this instance knows, and when it was
        asked for; None if there is none.
    on_wait : Callable, optional
        Called with the number of databases that promotions wait for, when it changes.
    may_coordinate : Callable, optional
        Returns whether this instance may try to become the coordinator.
    candidate_count : Callable
        Returns how many instances may try.
    rng : random.Random
        Delays attempts to acquire the coordinator lease.
    clock : Clock
        Source of time; it must count suspensions.
    drain_limit_s : float, optional
        Time after which no request may reach a database that drains, in seconds.
    """

    def __init__(
        self,
        *,
        store: Store,
        promotion_client: PromotionClient,
        prober: Prober,
        instance: InstanceId,
        incarnation: str,
        registry: TargetRegistry,
        primaries: PrimaryTable,
        members: MemberTable,
        contact: StoreContact,
        eras: StoreEras,
        is_used: Callable[[GroupId], bool],
        watchers: Callable[[PrimaryRecord], list[MemberRecord]],
        lease_span: Callable[[], LeaseSpan | None],
        confirms_commits: Callable[[GroupId], bool],
        primary_position: Callable[[GroupId], tuple[float, LogPosition] | None],
        on_wait: Callable[[int], None] = lambda count: None,
        may_coordinate: Callable[[], bool] = lambda: True,
        candidate_count: Callable[[], int],
        rng: random.Random,
        clock: Clock,
        drain_limit_s: float = math.inf,
    ) -> None:
        self._store = store
        self._drain_limit_s = drain_limit_s
        self._prober = prober
        self._instance = instance
        self._registry = registry
        self._primaries = primaries
        self._members = members
        self._contact = contact
        self._eras = eras
        self._is_used = is_used
        self._watchers = watchers
        self._lease_span = lease_span
        self._confirms_commits = confirms_commits
        self._on_wait = on_wait
        self._clock = clock
        self.survey = SuccessorSurvey(prober, registry, primary_position, clock)
        self.newer_leaders = NewerLeaders(prober, registry, clock)
        # Databases that promotions wait for.
        self._waits: dict[GroupId, tuple[TargetId, ...]] = {}
        self.coordinator_lease = CoordinatorLease(
            store=store,
            instance=instance,
            incarnation=incarnation,
            contact=contact,
            eras=eras,
            candidate_count=candidate_count,
            fleet_size=members.count,
            may_acquire=may_coordinate,
            rng=rng,
            clock=clock,
        )
        self.promotion_calls = PromotionCalls(
            promotion_client, instance, lambda: self.is_coordinator, clock
        )
        self._old_primary_unused_since: dict[GroupId, float] = {}
        # Epochs for which the platform has accepted a promotion, and when.
        self._promotion_accepted: dict[GroupId, tuple[int, float]] = {}
        self._failed_at: dict[TargetId, float] = {}
        # When the next promotion call of a group may be made, while the platform accepts none.
        self._next_call: dict[GroupId, float] = {}
        # When several announced primaries of a group without a record may be asked again.
        self._next_query: dict[GroupId, float] = {}
        # Key of the record that last kept a primary from being replaced.
        self._unreadable = ""
        self._removal_failed_at: dict[RosterRecord, float] = {}
        self._next_removal = 0.0
        self.wake_up = WakeUp()

    @property
    def is_coordinator(self) -> bool:
        """True while this instance may replace primaries."""
        return self.coordinator_lease.held

    def run(self, stopping: threading.Event) -> None:
        """Check the groups until ``stopping`` is set, then release the coordinator lease."""
        while not stopping.is_set():
            self.step()
            idle = self.coordinator_lease.is_held_by_another
            self.wake_up.wait(IDLE_INTERVAL_S if idle else STEP_INTERVAL_S)
        self.coordinator_lease.release()

    def step(self) -> None:
        """Maintain the coordinator lease and, while it is held, check each group."""
        self.coordinator_lease.step()
        if not self.is_coordinator:
            self._clear_waits()
            return
        began_at = self._clock.monotonic()
        for group in self._groups():
            # The databases of one group may be slow to answer.
            self.coordinator_lease.step()
            if not self.is_coordinator:
                took_s = round(self._clock.monotonic() - began_at, 3)
                log.warning("coordinator lease lapsed", extra={"group": group, "took_s": took_s})
                return
            self._step_group(group)
        self._remove_absent_instance()

    def _remove_absent_instance(self) -> None:
        """Remove an instance that cannot use any primary without joining again.

        At most one a step, as the coordinator lease is renewed between the steps.
        """
        if not self.is_coordinator or self._clock.monotonic() < self._next_removal:
            return
        due = [
            absence.record
            for absence in self._members.absences()
            if absence.absent_s > ROSTER_RETENTION_S
        ]
        if not due:
            return
        # One whose removal failed comes last, so that it does not hold up the others.
        record = min(due, key=lambda each: self._removal_failed_at.get(each, 0.0))
        deleted = self._store.delete(ROSTER_PREFIX + record.instance, record.revision)
        log.info(
            "roster entry removed",
            extra={"member": record.instance, "done": isinstance(deleted, Ok)},
        )
        if isinstance(deleted, Ok):
            self._members.remove_roster(record.instance)
            return
        # The store may still list it, and every majority is one of its roster.
        now = self._clock.monotonic()
        failed_at = self._removal_failed_at | {record: now}
        self._removal_failed_at = {each: at for each, at in failed_at.items() if each in due}
        self._next_removal = now + REMOVAL_RETRY_DELAY_S

    def _groups(self) -> list[GroupId]:
        return sorted({target.group for target in self._registry.all_targets()})

    # Replacing a primary.

    def _step_group(self, group: GroupId) -> None:
        record = self._primaries.record(group)
        if record is None or record.primary is not None:
            self._end_wait(group)
            self.survey.forget(group)
        if record is None:
            # Other programs write announcements too, of groups that do not exist.
            if self._is_used(group):
                self._record_announced_primary(group)
        elif self._primaries.is_lost(group):
            self._write_record(record)
        elif era_of(record.epoch) < self._eras.current:
            self._confirm(record)
        elif record.primary is not None:
            self._check_primary(record)
        else:
            self._advance_replacement(record)

    def _record_announced_primary(self, group: GroupId) -> None:
        """Record the announced primary of a group that has no record yet.

        Of several, the only one that says itself that it leads: an announcement may be another
        program's, of a database that does not exist.
        """
        announced = [
            target
            for target in self._registry.targets_in_group(group)
            if target.role is TargetRole.PRIMARY
        ]
        unrecorded = PrimaryRecord(group, 0, None)
        # The store may have lost a change of primary, of which a silent database may know.
        if self._eras.current and (len(announced) != 1 or not self._knows_latest(unrecorded)):
            return
        if len(announced) > 1 and self._clock.monotonic() < self._next_query.get(group, 0.0):
            return
        answers = self._query_all(announced)
        # Several that do not answer must not keep the groups after this one waiting.
        self._next_query[group] = self._clock.monotonic() + SUCCESSOR_TIMEOUT_S
        leading = {name: status.term for name, status in answers.items() if status.primary}
        if len(leading) == 1 and self.is_coordinator:
            name, term = leading.popitem()
            self._write_record(PrimaryRecord(group, self._next_epoch(0), name, term=term))

    def _query_all(self, targets: list[Target]) -> dict[TargetId, TargetStatus]:
        """Return what databases answer; several that do not take longer than the lease lasts."""
        answers = {}
        for target in targets:
            if len(targets) > 1:
                self.coordinator_lease.step()
                if not self.is_coordinator:
                    return answers
            status = self._prober.status(target)
            if isinstance(status, Ok):
                answers[target.target] = status.ok_value
        return answers

    # After a return of the store from an older copy.

    def _next_epoch(self, epoch: int) -> int:
        """Return an epoch after the given one, and after those of all earlier eras."""
        return max(epoch, revision_in(self._eras.current, 0)) + 1

    def _knows_latest(self, record: PrimaryRecord) -> bool:
        """Return whether no instance that may use a primary knows a later record of the group."""
        if self._eras.age_s < ERA_SETTLING_S or not self._is_fleet_accounted_for(record.group):
            return False
        # The local view may be stale.
        if not self._read_fleet() or not self._is_fleet_accounted_for(record.group):
            return False
        return all(
            member.acknowledged.get(record.group, 0) <= record.epoch
            for member in self._members.members()
        )

    def _is_fleet_accounted_for(self, group: GroupId) -> bool:
        """Return whether each instance has joined in this era, or can use no primary."""
        return self._may_promote(group, 0)

    def _confirm(self, record: PrimaryRecord) -> None:
        """Take a record of an earlier era over into this one, or begin a change of primary.

        Its epoch may have been followed by others that the store has lost. Those that no living
        instance knows, the databases tell.
        """
        if not self._knows_latest(record):
            return
        if not self._registry.is_settled:
            # The one that leads may not be announced again yet.
            return
        renewed = replace(record, epoch=self._next_epoch(record.epoch), confirms=0)
        if record.primary is None:
            # No instance has acknowledged the new epoch; all of them do so again.
            self._write_record(renewed)
            return
        targets = self._registry.targets_in_group(record.group)
        known = self._query_all(targets)
        if not self.is_coordinator:
            return
        leaders = {name: status.term for name, status in known.items() if status.primary}
        leader = max(leaders, key=leaders.get, default=None)
        log.info(
            "primary of an earlier era checked",
            extra={
                "group": record.group,
                "epoch": record.epoch,
                "primary": record.primary,
                "leads": leader or "",
                "answered": len(known),
                "databases": len(targets),
                "trusted": self._primaries.is_trusted(record.group),
            },
        )
        is_certain = self._primaries.is_trusted(record.group) or len(known) == len(targets)
        if leader == record.primary and is_certain:
            term = leaders[leader]
            self._write_record(replace(renewed, confirms=record.epoch, term=term))
        elif leader is not None and leader != record.primary and leaders[leader] > record.term:
            self._begin_change(record, leader, planned=False)
        elif not is_certain:
            # The one that leads may be a database that did not answer.
            successor = self._choose_successor(record.group, record.primary)
            if successor is not None:
                self._begin_change(record, successor, planned=False)
        else:
            self._check_primary(record)

    def _check_primary(self, record: PrimaryRecord) -> None:
        if (leader := self.newer_leaders.find(record)) is not None:
            self._begin_change(record, leader, planned=False)
            return
        target = self._registry.queryable(record.primary)
        draining = target is not None and (target.draining or self._must_move(target))
        suspected = is_suspected(record.primary, record.group, self._watchers(record))
        if not draining and not suspected:
            return
        planned = draining and not suspected
        if planned and self._may_be_promoted_again(target):
            return
        if planned and self._confirms_commits(record.group) and not self._has_caught_up(record):
            # It serves until a replica can follow it.
            return
        successor = self._choose_successor(record.group, record.primary, planned=planned)
        if successor is not None:
            self._begin_change(record, successor, planned=planned)

    def _may_be_promoted_again(self, primary: Target) -> bool:
        """Return whether to leave a draining primary in use, as a call may still promote it.

        While it leads, that call changes nothing; later, it deposes the primary of that time. It
        is left while there is time to replace it before it gets no statements any more. One in an
        evacuated data centre has no such time.
        """
        may_wait_s = LATE_CALL_DRAIN_FRACTION * self._drain_limit_s
        is_in_time = primary.draining and self._registry.draining_s(primary.target) < may_wait_s
        return is_in_time and self.promotion_calls.may_still_run(primary.group, primary.target)

    def _begin_change(self, record: PrimaryRecord, successor: TargetId, *, planned: bool) -> None:
        """Record that a primary is being replaced."""
        # What is acknowledged before the old primary is out of use may be elsewhere.
        is_final = not self._confirms_commits(record.group)
        self._write_record(
            replace(
                record,
                epoch=self._next_epoch(record.epoch),
                primary=None,
                successor=successor if is_final else None,
                chosen_by=self.coordinator_lease.fencing_token if is_final else 0,
                previous=record.primary,
                planned=planned,
                confirms=0,
            )
        )

    def _must_move(self, primary: Target) -> bool:
        """Return whether a primary's data centre is evacuated and the group has another one."""
        usable = self._registry.usable_targets_in_group(primary.group)
        return self._registry.is_evacuated(primary) and bool(usable)

    def _renew_lease(self) -> bool:
        """Renew the coordinator lease if that is due; return whether it is held."""
        self.coordinator_lease.step()
        return self.is_coordinator

    def _has_failed(self, target: TargetId | None, within_s: float = SUCCESSOR_TIMEOUT_S) -> bool:
        """Return whether a database failed recently as a successor."""
        failed_at = self._failed_at.get(target, -1e9)
        return self._clock.monotonic() - failed_at < within_s

    def _choose_successor(
        self, group: GroupId, excluded: TargetId | None, *, planned: bool = False
    ) -> TargetId | None:
        """Return the database that has received most of the log; None if none answers.

        Those in evacuated data centres, and those that failed recently as a successor, are left
        out. One that drains may lead first, unless the old primary can still hand its log over.
        """
        best, is_certain, answers = self._find_furthest(group, excluded, planned=planned)
        for target, answer in answers.items():
            if isinstance(answer, Err):
                log.info(
                    "replica status unknown",
                    extra={"target": target, "reason": str(answer.err_value)},
                )
        if best is None:
            log.warning("no replica can become primary", extra={"group": group})
            return None
        log.info(
            "successor chosen",
            extra={
                "group": group,
                "target": best.target,
                "received": str(best.holds),
                "certain": is_certain,
            },
        )
        return best.target

    def _find_furthest(
        self, group: GroupId, excluded: TargetId | None, *, planned: bool
    ) -> tuple[Candidate | None, bool, dict[TargetId, StatusResult]]:
        """Return the database that has received most, if that is certain, and all answers."""
        targets = [
            target
            for target in self._registry.targets_in_group(group)
            if target.target != excluded
            and not self._registry.is_evacuated(target)
            and not self._has_failed(target.target)
        ]
        lasting = [target for target in targets if not target.draining]
        draining = [target for target in targets if target.draining and not planned]
        best, is_certain, answers = None, False, {}
        for attempt in range(STATUS_ATTEMPTS):
            if attempt:
                self._clock.sleep(STATUS_RETRY_DELAY_S)
            if not self._renew_lease():
                return None, False, {}
            answers = self.survey.ask(lasting, draining, self._renew_lease)
            best, is_certain = choose_furthest(
                self.survey.candidate(target, answers.get(target.target))
                for target in lasting + draining
            )
            if is_certain:
                break
        return best, is_certain, answers

    def _has_caught_up(self, record: PrimaryRecord) -> bool:
        """Return whether a replica has what its primary had a moment ago, or that is not known."""
        primary = self._registry.queryable(record.primary)
        if primary is None:
            return True
        status = self._prober.status(primary)
        if isinstance(status, Err):
            return not isinstance(status.err_value, Overloaded)
        best, *_ = self._find_furthest(record.group, record.primary, planned=True)
        return best is None or best.holds >= status.ok_value.received

    def _advance_replacement(self, record: PrimaryRecord) -> None:
        if not self._is_old_primary_unused(record):
            return
        since = self._old_primary_unused_since.setdefault(record.group, self._clock.monotonic())
        if (term := self._new_term(record)) is not None:
            log.info(
                "replica promoted",
                extra={
                    "group": record.group,
                    "target": record.successor,
                    "epoch": record.epoch,
                    "token": self.coordinator_lease.fencing_token,
                    "term": term,
                    "took_s": round(self._clock.monotonic() - since, 3),
                },
            )
            self._write_record(
                replace(
                    record,
                    primary=record.successor,
                    successor=None,
                    chosen_by=0,
                    planned=False,
                    term=term,
                    waits_for=(),
                )
            )
            return
        accepted_epoch, accepted_at = self._promotion_accepted.get(record.group, (0, 0.0))
        if accepted_epoch != record.epoch:
            self._promote(record, since)
        elif self._clock.monotonic() - accepted_at > SUCCESSOR_TIMEOUT_S:
            self._choose_another_successor(record)

    def _settle_successor(self, record: PrimaryRecord, since: float) -> PrimaryRecord | None:
        """Return the record whose successor may be promoted now; None if there is none yet."""
        if self._confirms_commits(record.group):
            return self._settle_complete_successor(record)
        if not self._may_call(record.group, record.successor):
            return None
        if record.successor is None:
            self._end_wait(record.group)
            # The group's commits were confirmed by a replica when the change began.
            successor = self._choose_successor(record.group, record.previous)
            return self._record_successor(record, successor)
        if (
            record.planned
            and self._clock.monotonic() - since < CATCH_UP_TIMEOUT_S + SUCCESSOR_TIMEOUT_S
        ):
            self._hand_over_log(record)
        return record

    def _may_call(self, group: GroupId, successor: TargetId | None) -> bool:
        """Return whether it is time for a promotion call, after one that failed."""
        is_due = self._clock.monotonic() >= self._next_call.get(group, 0.0)
        return is_due and not self._has_failed(successor, PROMOTION_RETRY_DELAY_S)

    # Groups in which a replica has received each commit that was acknowledged.

    def _settle_complete_successor(self, record: PrimaryRecord) -> PrimaryRecord | None:
        """Return the record whose successor has every acknowledged commit.

        While that is not known of any database, those that can tell are waited for.
        """
        group = record.group
        decision = self._choose_complete(record)
        if not self.is_coordinator:
            return None
        if not isinstance(decision, Promote):
            self._wait_for(record, decision.targets if isinstance(decision, Wait) else ())
            return None
        target = decision.target
        if target != record.successor:
            if self._may_old_primary_lead_later(record):
                self._wait_for(record, (record.successor,))
                return None
            log.info("successor confirmed", extra={"group": record.group, "target": target})
            record = self._record_successor(record, target)
        if self._waits.get(group) != (target,):
            self._end_wait(group)
        if record is None or not self._may_call(group, target):
            return None
        if record.planned:
            self._step_down(record)
        return record

    def _record_successor(
        self, record: PrimaryRecord, successor: TargetId | None
    ) -> PrimaryRecord | None:
        """Record a successor, or another one.

        Returns
        -------
        PrimaryRecord or None
            The record, if its change has been acknowledged already. All instances have to
            acknowledge another successor.
        """
        if successor is None:
            return None
        is_first = record.successor is None
        epoch = record.epoch if is_first else self._next_epoch(record.epoch)
        token = self.coordinator_lease.fencing_token
        self._write_record(
            replace(record, epoch=epoch, successor=successor, chosen_by=token, waits_for=())
        )
        written = self._primaries.record(record.group)
        is_written = written is not None and written.successor == successor
        return written if is_first and is_written else None

    def _choose_complete(self, record: PrimaryRecord) -> Decision:
        may_catch_up = record.planned and self.survey.elapsed_s(record) < CATCH_UP_TIMEOUT_S
        decision: Decision = Wait(())
        for attempt in range(STATUS_ATTEMPTS):
            if attempt:
                self._clock.sleep(STATUS_RETRY_DELAY_S)
            if not self._renew_lease():
                break
            candidates = [
                self._with_record(candidate, record)
                for candidate in self.survey.ask_candidates(record, self._renew_lease)
            ]
            names = {record.previous, *(candidate.target for candidate in candidates)}
            if record.successor not in (None, *names) and self._may_lead_later(record):
                # It is not announced, and may be back.
                candidates.append(Candidate(record.successor, may_be_called=True))
            old = self.survey.remembered_old_primary(record)
            decision = choose_complete(candidates, old, may_catch_up=may_catch_up)
            if record.planned or not isinstance(decision, Promote):
                old = self.survey.ask_old_primary(record)
                decision = choose_complete(candidates, old, may_catch_up=may_catch_up)
            if isinstance(decision, Promote) or not any(each.busy for each in candidates):
                break
        return decision

    def _with_record(self, candidate: Candidate, record: PrimaryRecord) -> Candidate:
        """Add what the record of the group says of a database."""
        is_recorded = candidate.target == record.successor
        return replace(
            candidate,
            failed=self._has_failed(candidate.target),
            recorded=is_recorded,
            may_be_called=is_recorded and self._may_lead_later(record),
        )

    def _wait_for(self, record: PrimaryRecord, targets: tuple[TargetId, ...]) -> None:
        """Note, and tell callers, that a promotion waits; none of the group is left if empty."""
        group = record.group
        targets = tuple(sorted(targets))
        waited_s = self.survey.elapsed_s(record)
        if self._waits.get(group) != targets:
            log.warning(
                "promotion waits",
                extra={"group": group, "waits_for": list(targets), "waited_s": round(waited_s, 3)},
            )
            self._set_wait(group, targets)
        if targets and record.waits_for != targets and waited_s >= WAIT_NOTICE_S:
            epoch = self._next_epoch(record.epoch)
            self._write_record(replace(record, epoch=epoch, waits_for=targets))

    def _end_wait(self, group: GroupId) -> None:
        if group in self._waits:
            log.info("promotion waits no longer", extra={"group": group})
            self._set_wait(group, None)

    def _set_wait(self, group: GroupId, targets: tuple[TargetId, ...] | None) -> None:
        if targets is None:
            del self._waits[group]
        else:
            self._waits[group] = targets
        self._on_wait(sum(len(waited_for) for waited_for in self._waits.values()))

    def _clear_waits(self) -> None:
        """Forget the waits of changes that another instance goes on with."""
        if self._waits:
            self._waits.clear()
            self._on_wait(0)

    def _step_down(self, record: PrimaryRecord, term: int = 0) -> None:
        """Make the old primary, which leads the recorded term or a given one, a replica."""
        old = self._registry.queryable(record.previous) if record.previous else None
        if old is None:
            return
        stepped_down = self._prober.step_down(old, max(record.term, term) + 1)
        if isinstance(stepped_down, Err):
            log.info("old primary did not step down", extra={"reason": str(stepped_down.err_value)})

    def _promote(self, record: PrimaryRecord, since: float) -> None:
        """Take the result of the latest promotion call, and make another one if it failed."""
        calls, group = self.promotion_calls, record.group
        ended = calls.take_result(group)
        if ended is None or ended[0] != record.epoch:
            settled = None if calls.has_call(group) else self._settle_successor(record, since)
            if settled is None:
                return
            record = settled
            calls.begin(group, record.epoch, record.successor, self.coordinator_lease.fencing_token)
            ended = calls.take_result(group)
            if ended is None:
                return
        result = ended[1]
        if isinstance(result, Ok):
            self._promotion_accepted[group] = (record.epoch, self._clock.monotonic())
            return
        exc = result.err_value
        log.warning(
            "promotion failed",
            extra={"group": group, "target": record.successor, "reason": str(exc)},
        )
        if not isinstance(exc, TargetUnavailable):
            # That says nothing of the successor, and another one could not be promoted either.
            now = self._clock.monotonic()
            if now - since > SUCCESSOR_TIMEOUT_S:
                self._next_call[group] = now + PROMOTION_RETRY_DELAY_S
                self._wait_for(record, (record.successor,))
            return
        if self._may_lead_later(record):
            self._failed_at[record.successor] = self._clock.monotonic()
            self._wait_for(record, (record.successor,))
        else:
            self._choose_another_successor(record)

    def _may_lead_later(self, record: PrimaryRecord) -> bool:
        """Return whether a call without an answer may still promote the successor.

        If another one was promoted meanwhile, that call would depose it. The record tells whether
        this coordinator has chosen the successor, also if the store wrote it late: then it knows of
        all calls. An earlier coordinator may have made one until this one acquired the lease. The
        platform promotes none that has left for good.
        """
        lease = self.coordinator_lease
        is_own = record.chosen_by == lease.fencing_token
        may_be_unknown = not is_own and lease.held_s < LATE_CALL_LIMIT_S
        may_still_run = self.promotion_calls.may_still_run(record.group, record.successor)
        return (may_still_run or may_be_unknown) and not self._registry.is_gone(record.successor)

    def _may_old_primary_lead_later(self, record: PrimaryRecord) -> bool:
        """Return whether a call may still make the old primary its own successor."""
        is_old = record.successor is not None and record.successor == record.previous
        return is_old and self._may_lead_later(record)

    def _new_term(self, record: PrimaryRecord) -> int | None:
        """Return the successor's term as primary; None before its promotion takes effect.

        A call without an answer may have promoted it. Until then its reads may miss acknowledged
        commits. A successor that was replaced as primary earlier may still report itself as primary
        of its old term, so only a term after the recorded one counts.
        """
        target = self._registry.queryable(record.successor)
        if target is None or not self.promotion_calls.was_made(record.group, record.epoch):
            return None
        status = self._prober.status(target)
        if isinstance(status, Err):
            return None
        current = status.ok_value
        if not current.primary:
            return None
        has_returned = self._may_return(record) and current.term == record.term
        return current.term if current.term > record.term or has_returned else None

    def _may_return(self, record: PrimaryRecord) -> bool:
        """Return whether the old primary leads again, if it leads its term.

        The platform accepts a call for the present primary, and changes nothing. Any other one that
        is left may have been promoted by a call of which this instance does not know.
        """
        accepted_epoch, _ = self._promotion_accepted.get(record.group, (0, 0.0))
        left = [target.target for target in self._registry.targets_in_group(record.group)]
        is_only_one = self._registry.is_settled and left == [record.previous] == [record.successor]
        return accepted_epoch == record.epoch and is_only_one

    def _choose_another_successor(self, record: PrimaryRecord) -> None:
        self._failed_at[record.successor] = self._clock.monotonic()
        if self._confirms_commits(record.group):
            # It may be the only one that has the acknowledged commits.
            self._promotion_accepted.pop(record.group, None)
            self._old_primary_unused_since.pop(record.group, None)
            return
        previous = self._registry.queryable(record.previous) if record.previous else None
        excluded = record.previous if previous is not None and previous.draining else None
        successor = self._choose_successor(record.group, excluded, planned=record.planned)
        self._record_successor(record, successor)

    def _is_old_primary_unused(self, record: PrimaryRecord) -> bool:
        """Return whether no instance can use the old primary any more."""
        if not self._may_promote(record.group, record.epoch):
            return False
        # The local view may be stale, so linearizable reads confirm it.
        return self._read_fleet() and self._may_promote(record.group, record.epoch)

    def _read_fleet(self) -> bool:
        """Read the members and the roster; return whether all of them could be decoded."""
        members = self._store.read_prefix(MEMBER_PREFIX)
        roster = self._store.read_prefix(ROSTER_PREFIX) if isinstance(members, Ok) else members
        if isinstance(roster, Err):
            self._contact.record_failure(roster.err_value)
            return False
        try:
            present = [decode_member(item) for item in members.ok_value.items]
            entries = [decode_roster(item) for item in roster.ok_value.items]
        except MalformedMessage as exc:
            # What that instance has acknowledged is not known.
            self._log_unreadable(exc)
            return False
        self._unreadable = ""
        self._members.replace_all(present)
        self._members.replace_roster(entries, era_of(roster.ok_value.revision))
        return True

    def _log_unreadable(self, exc: MalformedMessage) -> None:
        if self._unreadable != exc.place:
            self._unreadable = exc.place
            log.error(
                "primary not replaced, as a record cannot be decoded",
                extra={"key": exc.place, "reason": str(exc)},
            )

    def _may_promote(self, group: GroupId, epoch: int) -> bool:
        return may_promote(
            group,
            epoch,
            self._instance,
            self._members.members(),
            self._members.roster(),
            self._members.absences(),
            self._lease_span(),
        )

    def _hand_over_log(self, record: PrimaryRecord) -> None:
        """Wait until the successor has the old primary's whole log, and end writes there.

        Nobody receives anything from a primary that has stepped down.
        """
        old = self._registry.queryable(record.previous) if record.previous else None
        new = self._registry.queryable(record.successor)
        if old is None or new is None:
            return
        final_status = self._prober.status(old)
        if isinstance(final_status, Err):
            return
        until = self._clock.monotonic() + CATCH_UP_TIMEOUT_S
        while self._clock.monotonic() < until:
            if not self._renew_lease():
                return
            status = self._prober.status(new)
            if isinstance(status, Err) and not isinstance(status.err_value, Overloaded):
                # It cannot be promoted either.
                return
            if (
                isinstance(status, Ok)
                and status.ok_value.received >= final_status.ok_value.received
            ):
                log.info("successor received the whole log", extra={"group": record.group})
                break
            self._clock.sleep(STEP_INTERVAL_S / 2)
        else:
            log.warning(
                "successor did not receive the whole log in time", extra={"group": record.group}
            )
        self._step_down(record, final_status.ok_value.term)

    def _write_record(self, record: PrimaryRecord) -> None:
        """Write a record unless it has changed in the store since it was read."""
        if not self.is_coordinator:
            return
        result = write_primary(self._store, self._primaries, record)
        if isinstance(result, Ok):
            self._old_primary_unused_since.pop(record.group, None)
            self._promotion_accepted.pop(record.group, None)
        elif not isinstance(result.err_value, WriteConflict):
            self._contact.record_failure(result.err_value)
