"""Replaces lost and leaving primaries, while this instance holds the duty."""

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError, TargetUnavailable
from quetzalrudder.gateway.coordinator_lease import CoordinatorLease
from quetzalrudder.gateway.members import MemberRecord, MemberTable
from quetzalrudder.gateway.mirror import StoreContact
from quetzalrudder.gateway.permission import OUTAGE_LIMIT_S, PERMISSION_S, LeaseSpan
from quetzalrudder.gateway.primaries import PrimaryRecord, PrimaryTable
from quetzalrudder.gateway.promotion_rules import is_suspected, may_promote
from quetzalrudder.gateway.records import (
    MEMBER_PREFIX,
    PRIMARY_PREFIX,
    ROSTER_PREFIX,
    decode_member,
    decode_primary,
    decode_roster,
    encode_primary,
)
from quetzalrudder.gateway.statements import TargetStatus
from quetzalrudder.gateway.store import Store, WriteConflict
from quetzalrudder.gateway.targets import LogPosition, Target, TargetRegistry, TargetRole
from quetzalrudder.models import GroupId, InstanceId, TargetId
from quetzalrudder.utils import Clock

__all__ = ["FailoverCoordinator", "PromotionClient", "Prober"]

log = logging.getLogger(__name__)

# How often each group is looked at; small beside a promotion of 300 ms.
STEP_INTERVAL_S = 0.05
# How long a successor may take to answer or to be promoted before another is chosen.
SUCCESSOR_S = 3.0
# How long a planned replacement waits for the successor to receive the whole log; the
# users' replicas are 8 ms behind, on bad days 1 s.
CATCH_UP_S = 1.0
# An instance that was no member for this long has lost every permission, also a peer's.
FORGET_S = PERMISSION_S + OUTAGE_LIMIT_S + 5.0


class PromotionClient(Protocol):
    """The platform's call that makes a database the primary."""

    def promote(
        self, group: GroupId, target: TargetId, *, coordinator: InstanceId, fencing_token: int
    ) -> Result[None, QuetzalrudderError]:
        """Promote a database; ``TargetUnavailable`` if it does not run."""


class Prober(Protocol):
    """Asks databases about themselves."""

    def status(self, target: Target) -> Result[TargetStatus, QuetzalrudderError]:
        """Ask for role and position."""

    def step_down(self, target: Target, term: int) -> Result[None, QuetzalrudderError]:
        """Tell an old primary to become a replica."""


class FailoverCoordinator:
    """Replaces lost and leaving primaries while this instance holds the duty.

    Parameters
    ----------
    store, promotion_client, prober
        The store, the platform's call, and questions to databases.
    instance, incarnation
        This process.
    registry, primaries, members, contact
        What this instance has seen.
    lease_span : Callable
        Gives how long this instance's member lease has existed.
    rng : random.Random
        Spreads attempts to take the duty.
    clock : Clock
        Source of time; it must count suspensions.
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
        watchers: Callable[[PrimaryRecord], list[MemberRecord]],
        lease_span: Callable[[], LeaseSpan | None],
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._store = store
        self._promotion_client = promotion_client
        self._prober = prober
        self._instance = instance
        self._registry = registry
        self._primaries = primaries
        self._members = members
        self._contact = contact
        self._watchers = watchers
        self._lease_span = lease_span
        self._clock = clock
        self.coordinator_lease = CoordinatorLease(
            store=store,
            instance=instance,
            incarnation=incarnation,
            contact=contact,
            rng=rng,
            clock=clock,
        )
        self._moving_since: dict[GroupId, float] = {}
        # Epoch for which the platform has accepted a promotion.
        self._promoted: dict[GroupId, int] = {}
        self._unreachable: dict[TargetId, float] = {}

    @property
    def is_coordinator(self) -> bool:
        """True while this instance may replace primaries."""
        return self.coordinator_lease.held

    def run(self, stopping: threading.Event) -> None:
        """Look for work until told to stop; then leave the duty to another."""
        while not stopping.wait(STEP_INTERVAL_S):
            self.step()
        self.coordinator_lease.release()

    def step(self) -> None:
        """Keep or take the duty, and move each group's replacement on."""
        self.coordinator_lease.step()
        if not self.is_coordinator:
            return
        for group in self._groups():
            self._step_group(group)
        self._clear_roster()

    def _clear_roster(self) -> None:
        """Forget instances that cannot use any primary without joining again."""
        for absence in self._members.absences():
            if absence.since_s > FORGET_S:
                record = absence.roster
                gone = self._store.delete(ROSTER_PREFIX + record.instance, record.revision)
                log.info(
                    "roster entry cleared",
                    extra={"member": record.instance, "done": isinstance(gone, Ok)},
                )
                self._members.remove_roster(record.instance)

    def _groups(self) -> list[GroupId]:
        return sorted({target.group for target in self._registry.all_targets()})

    # Replacing a primary.

    def _step_group(self, group: GroupId) -> None:
        record = self._primaries.record(group)
        if record is None:
            self._adopt(group)
        elif record.primary is not None:
            self._check(record)
        else:
            self._move_on(record)

    def _adopt(self, group: GroupId) -> None:
        """Record the primary of a group that has no record yet."""
        found = [
            target for target in self._registry.of_group(group) if target.role is TargetRole.PRIMARY
        ]
        if len(found) != 1:
            return
        status = self._prober.status(found[0])
        if isinstance(status, Ok) and status.ok_value.primary:
            self._write(PrimaryRecord(group, 1, found[0].target, term=status.ok_value.term))

    def _check(self, record: PrimaryRecord) -> None:
        info = self._registry.get(record.primary)
        leaving = info is not None and info.draining
        suspected = is_suspected(record.primary, record.group, self._watchers(record))
        if not leaving and not suspected:
            return
        successor = self._choose_successor(record.group, record.primary)
        if successor is None:
            return
        self._write(
            replace(
                record,
                epoch=record.epoch + 1,
                primary=None,
                successor=successor,
                previous=record.primary,
                planned=leaving and not suspected,
            )
        )

    def _choose_successor(self, group: GroupId, excluded: TargetId | None) -> TargetId | None:
        """Choose the replica that has received most of the log."""
        best: tuple[LogPosition, TargetId] | None = None
        now = self._clock.monotonic()
        for target in self._registry.of_group(group):
            tried_at = self._unreachable.get(target.target, -1e9)
            if target.target == excluded or target.draining or now - tried_at < SUCCESSOR_S:
                continue
            status = self._prober.status(target)
            if isinstance(status, Err):
                log.info(
                    "no status of a replica",
                    extra={"target": target.target, "reason": str(status.err_value)},
                )
                continue
            found = (status.ok_value.received, target.target)
            best = found if best is None else max(best, found)
        if best is None:
            log.warning("no replica can take over", extra={"group": group})
            return None
        log.info(
            "successor chosen",
            extra={"group": group, "target": best[1], "received": str(best[0])},
        )
        return best[1]

    def _move_on(self, record: PrimaryRecord) -> None:
        if not self._is_clear(record):
            return
        since = self._moving_since.setdefault(record.group, self._clock.monotonic())
        if record.planned and self._clock.monotonic() - since < CATCH_UP_S + SUCCESSOR_S:
            self._hand_log_over(record)
        if self._promoted.get(record.group) != record.epoch:
            self._promote(record, since)
        elif (term := self._new_term(record)) is not None:
            log.info(
                "promoted",
                extra={
                    "group": record.group,
                    "target": record.successor,
                    "epoch": record.epoch,
                    "token": self.coordinator_lease.fencing_token,
                    "term": term,
                    "took_s": round(self._clock.monotonic() - since, 3),
                },
            )
            self._write(
                replace(record, primary=record.successor, successor=None, planned=False, term=term)
            )
        elif self._clock.monotonic() - since > SUCCESSOR_S:
            self._choose_another(record)

    def _promote(self, record: PrimaryRecord, since: float) -> None:
        if not self.is_coordinator:
            return
        result = self._promotion_client.promote(
            record.group,
            record.successor,
            coordinator=self._instance,
            fencing_token=self.coordinator_lease.fencing_token,
        )
        if isinstance(result, Ok):
            self._promoted[record.group] = record.epoch
            return
        log.warning(
            "not promoted",
            extra={
                "group": record.group,
                "target": record.successor,
                "reason": str(result.err_value),
            },
        )
        late = self._clock.monotonic() - since > SUCCESSOR_S
        if isinstance(result.err_value, TargetUnavailable) or late:
            self._choose_another(record)

    def _new_term(self, record: PrimaryRecord) -> int | None:
        """Ask a successor for the term that it leads; None before its promotion takes effect.

        Until then it serves reads of a log that may lack acknowledged commits. One that
        was replaced earlier may still say that it leads its old term.
        """
        target = self._registry.get(record.successor)
        if target is None:
            return None
        status = self._prober.status(target)
        if isinstance(status, Err):
            return None
        found = status.ok_value
        return found.term if found.primary and found.term > record.term else None

    def _choose_another(self, record: PrimaryRecord) -> None:
        self._unreachable[record.successor] = self._clock.monotonic()
        successor = self._choose_successor(record.group, None)
        if successor is not None:
            self._write(replace(record, epoch=record.epoch + 1, successor=successor))

    def _is_clear(self, record: PrimaryRecord) -> bool:
        """Tell whether nobody can use the old primary any more."""
        if not self._may_promote(record):
            return False
        # The view may be late: what it says is confirmed by a linearizable read.
        members = self._store.read_prefix(MEMBER_PREFIX)
        roster = self._store.read_prefix(ROSTER_PREFIX) if isinstance(members, Ok) else members
        if isinstance(roster, Err):
            self._contact.record_failure(roster.err_value)
            return False
        self._members.replace_all([decode_member(item) for item in members.ok_value.items])
        self._members.replace_roster([decode_roster(item) for item in roster.ok_value.items])
        return self._may_promote(record)

    def _may_promote(self, record: PrimaryRecord) -> bool:
        return may_promote(
            record.group,
            record.epoch,
            self._instance,
            self._members.members(),
            self._members.roster(),
            self._members.absences(),
            self._lease_span(),
        )

    def _hand_log_over(self, record: PrimaryRecord) -> None:
        """Stop the old primary's writes and wait until the successor has received them."""
        old = self._registry.get(record.previous) if record.previous else None
        new = self._registry.get(record.successor)
        if old is None or new is None:
            return
        before = self._prober.status(old)
        if isinstance(before, Err):
            return
        stepped = self._prober.step_down(old, before.ok_value.term + 1)
        if isinstance(stepped, Err):
            log.info("old primary did not step down", extra={"reason": str(stepped.err_value)})
            return
        final = self._prober.status(old)
        until = self._clock.monotonic() + CATCH_UP_S
        while isinstance(final, Ok) and self._clock.monotonic() < until:
            status = self._prober.status(new)
            if isinstance(status, Ok) and status.ok_value.received >= final.ok_value.received:
                log.info("log handed over", extra={"group": record.group})
                return
            self._clock.sleep(STEP_INTERVAL_S / 2)
        log.warning("log not handed over in time", extra={"group": record.group})

    def _write(self, record: PrimaryRecord) -> None:
        """Write a record if nobody has changed it since it was read."""
        if not self.is_coordinator:
            return
        key = PRIMARY_PREFIX + record.group
        result = self._store.write(key, encode_primary(record), record.revision)
        if isinstance(result, Ok):
            self._moving_since.pop(record.group, None)
            self._promoted.pop(record.group, None)
            self._primaries.observe(replace(record, revision=result.ok_value))
            return
        match result.err_value:
            case WriteConflict(current=current):
                for item in current:
                    if item.key == key and item.value is not None:
                        self._primaries.observe(decode_primary(item))
            case exc:
                self._contact.record_failure(exc)
