"""An instance's member record and lease in the store, on which its permission depends."""

import logging
import random
import threading
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok, Result

from quetzalrudder.exceptions import MalformedMessage, QuetzalrudderError
from quetzalrudder.gateway.assignments import LARGE_FLEET
from quetzalrudder.gateway.members import MemberRecord, MemberTable, RosterRecord
from quetzalrudder.gateway.permission import PERMISSION_S, LeaseSpan, Permission
from quetzalrudder.gateway.primaries import PrimaryTable
from quetzalrudder.gateway.primary_writes import write_primary
from quetzalrudder.gateway.records import (
    MEMBER_PREFIX,
    PRIMARY_PREFIX,
    ROSTER_PREFIX,
    decode_primary,
    decode_roster,
    encode_member,
    encode_roster,
)
from quetzalrudder.gateway.retry_delay import RetryDelay
from quetzalrudder.gateway.store import LeaseEnded, LeaseId, Store, WriteConflict, era_of
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.store_eras import StoreEras
from quetzalrudder.gateway.wakeups import WakeUp
from quetzalrudder.models import DataCentre, GroupId, InstanceId, TargetId
from quetzalrudder.utils import Clock

__all__ = ["MembershipLease"]

log = logging.getLogger(__name__)

# Three renewals fit into the time for which the lease grants permission.
RENEW_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.2
# Shortest interval between two writes of the member record for another set of unreached peers.
UNREACHED_WRITE_INTERVAL_S = 2.0
# Delay before the roster entry covers an instance that has joined. Instances that join
# together then cause one write by each of the others.
ROSTER_ENTRY_DELAY_S = 1.0
# Delay after which it is written while instances go on joining.
MAX_ROSTER_ENTRY_DELAY_S = 4.0
# Part of the roster that the roster entry of a large fleet's instance has to cover soon. Entries
# that cover it are written again at some time within the longer delay, so that one instance that
# joins does not cause a write by each of the others at once, and a rolling restart not many.
COVERED_FRACTION = 0.75
LONG_ROSTER_ENTRY_DELAY_S = 60.0
# Shortest interval at which the member record is compared with the current state: while a
# change of primary is not acknowledged yet. Otherwise the comparison waits for a change.
STEP_INTERVAL_S = 0.03
# Longest random delay before this instance writes primaries that the store has lost. The failover
# coordinator mostly does so before.
MAX_RESTORE_DELAY_S = 1.0


class MembershipLease:
    """Maintains this instance's member record and lease.

    Parameters
    ----------
    store : Store
        The store.
    instance, incarnation, address, data_centre
        This process, and the address at which peers reach it.
    permission : Permission
        Extended with each renewal of the lease.
    primaries : PrimaryTable
        Provides the acknowledged epochs.
    members : MemberTable
        The roster as this instance has read it.
    suspects : Callable
        Returns the primaries that this instance suspects, by group.
    unreached : Callable
        Returns the instances that do not answer this one's calls.
    contact : StoreContact
        Records successful and failed calls to the store.
    eras : StoreEras
        Tells of returns of the store from an older copy, after each of which it joins again.
    clock : Clock
        Source of time.
    retry_delay : RetryDelay, optional
        Pauses after failed calls while the lease permits nothing.
    watches_store : Callable, optional
        Returns whether this instance watches the store; if not, the calls of this class alone
        tell whether it reaches the store.
    rng : random.Random, optional
        Spreads the writes of roster entries.
    """

    def __init__(
        self,
        *,
        store: Store,
        instance: InstanceId,
        incarnation: str,
        address: str,
        data_centre: DataCentre,
        permission: Permission,
        primaries: PrimaryTable,
        members: MemberTable,
        suspects: Callable[[], dict[GroupId, TargetId]],
        unreached: Callable[[], frozenset[InstanceId]],
        contact: StoreContact,
        eras: StoreEras,
        clock: Clock,
        retry_delay: RetryDelay | None = None,
        watches_store: Callable[[], bool] = lambda: True,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng if rng is not None else random.Random()
        self._retry_delay = retry_delay
        self._watches_store = watches_store
        self._store = store
        self._instance = instance
        self._incarnation = incarnation
        self._address = address
        self._data_centre = data_centre
        self._key = MEMBER_PREFIX + instance
        self._roster_key = ROSTER_PREFIX + instance
        self._roster_revision = 0
        self._permission = permission
        self._primaries = primaries
        self._members = members
        # The ``known_up_to`` of the last roster entry that is known to be written, and the
        # highest one of any attempt, as a write without an answer may have succeeded.
        self._written_known_up_to = 0
        self._attempted_known_up_to = 0
        self._roster_entry_due_at: float | None = None
        # While it is due: the time at which it is written although the fleet is still growing,
        # and the newest roster entry that it waits for.
        self._latest_roster_entry_at = 0.0
        self._newest_awaited = 0
        self._suspects = suspects
        self._unreached = unreached
        self._contact = contact
        self._eras = eras
        self._clock = clock
        self._lease: LeaseId | None = None
        # The era in which the lease was opened.
        self._era = eras.current
        # Time at which primaries that the store has lost are written; None if it has lost none.
        self._restore_at: float | None = None
        self._revision = 0
        self._written_record: MemberRecord | None = None
        self._record_written_at = -UNREACHED_WRITE_INTERVAL_S
        self._lease_span: LeaseSpan | None = None
        self._next_renewal = 0.0
        self._next_attempt = 0.0
        self.wake_up = WakeUp()

    def run(self, stopping: threading.Event) -> None:
        """Maintain the records and the lease until ``stopping`` is set, then leave."""
        while not stopping.is_set():
            self.step()
            self.wake_up.wait(self.next_step_s())
        self.leave()

    def next_step_s(self) -> float:
        """Return the seconds until the next step is due, unless something changes."""
        now = self._clock.monotonic()
        if (
            self._lease is None
            or self._era != self._eras.current
            or self._primaries.has_unacknowledged()
        ):
            due_at = self._next_attempt
        else:
            due_at = max(self._next_renewal, self._next_attempt)
        if self._roster_entry_due_at is not None:
            due_at = min(due_at, max(self._roster_entry_due_at, self._next_attempt))
        if self._restore_at is not None:
            due_at = min(due_at, max(self._restore_at, self._next_attempt))
        return max(STEP_INTERVAL_S, due_at - now)

    def leave(self) -> None:
        """Revoke the permission, end the lease and delete the roster entry.

        The lease ends after the permissions that this instance granted to peers; afterwards
        the failover coordinator does not wait for them. An exit during the wait is safe.
        """
        self._permission.revoke()
        if self._lease is None:
            return
        if (granted_s := self._primaries.granted_remaining_s) > 0:
            self._clock.sleep(granted_s)
        ended = self._store.end_lease(self._lease)
        deleted = self._delete_roster_entry()
        log.info(
            "left the fleet",
            extra={"lease_ended": isinstance(ended, Ok), "erased": isinstance(deleted, Ok)},
        )

    def _delete_roster_entry(self) -> Result[int, QuetzalrudderError]:
        result = self._store.delete(self._roster_key, self._roster_revision)
        is_passed = era_of(self._roster_revision) != self._eras.current
        if is_passed and isinstance(result, Err) and isinstance(result.err_value, WriteConflict):
            # The store has come back from an older copy, which has another revision.
            self._roster_revision = _current_revision(self._roster_key, result.err_value)
            result = self._store.delete(self._roster_key, self._roster_revision)
        return result

    def step(self) -> None:
        """Join, renew the lease and update the records, as far as each is due."""
        now = self._clock.monotonic()
        if now < self._next_attempt:
            return
        if self._lease is not None and self._era != self._eras.current:
            log.warning("lease void", extra={"lease": self._lease, "era": self._era})
            self._lease = None
        result: Result[None, QuetzalrudderError] = Ok(None)
        if self._lease is None:
            result = self._join()
        elif now >= self._next_renewal:
            result = self._renew()
        if isinstance(result, Ok) and self._lease is not None:
            result = self._update_records()
        if isinstance(result, Err):
            answered = isinstance(result.err_value, LeaseEnded | WriteConflict)
            pause_s = RETRY_DELAY_S if answered else self._pause_s()
            self._next_attempt = self._clock.monotonic() + pause_s
            if not answered:
                self._contact.record_failure(result.err_value)

    def _record_success(self) -> None:
        if self._retry_delay is not None:
            self._retry_delay.reset()
        if not self._watches_store():
            self._contact.record_success()

    def _pause_s(self) -> float:
        """Return the pause after a failure; short while the permission may still be kept."""
        if self._retry_delay is None or self._permission.lease_remaining_s > 0:
            return RETRY_DELAY_S
        return self._retry_delay.after_failure()

    def _join(self) -> Result[None, QuetzalrudderError]:
        """Write the roster entry and the member record, then read the primaries and the roster.

        The roster entry is not bound to the lease, so that it outlives a lease that the
        store loses.

        The failover coordinator writes the primary's record first and reads the members
        afterwards. So either it finds this member, or this instance reads the new record. An
        instance that cannot decode one of them does not join.
        """
        sent_at = self._clock.monotonic()
        entered = self._write_roster_entry()
        if isinstance(entered, Err):
            return entered
        opened = self._store.open_lease(PERMISSION_S)
        if isinstance(opened, Err):
            return opened
        lease = opened.ok_value
        knows_fleet = self._is_large
        # The epochs that are known from before: those read below are acknowledged afterwards.
        written = self._write_member_record(self._current_record(), lease)
        if isinstance(written, Ok):
            written = self._read_primaries()
        if isinstance(written, Ok) and not knows_fleet:
            written = self._read_roster()
        if isinstance(written, Err):
            return written
        # From here on, renewing the lease also keeps the member record.
        self._lease = lease
        self._era = era_of(self._revision)
        # The entry may have been written before the roster was read. An entry that covers few
        # instances delays failovers for as long as those may continue without the store.
        if not self._covers_enough():
            self._roster_entry_due_at = sent_at
        self._lease_span = LeaseSpan(sent_at, sent_at)
        self._permission.extend_by_lease(sent_at)
        self._record_success()
        self._next_renewal = sent_at + RENEW_INTERVAL_S
        log.info("joined the fleet", extra={"incarnation": self._incarnation, "lease": lease})
        return Ok(None)

    def _write_roster_entry(self) -> Result[None, QuetzalrudderError]:
        known_up_to = self._members.newest_created()
        self._attempted_known_up_to = max(self._attempted_known_up_to, known_up_to)
        record = RosterRecord(
            self._instance,
            self._incarnation,
            self._address,
            self._data_centre,
            known_up_to,
            divides_rates=True,
        )
        if self._roster_revision == 0 and self._is_large:
            known = {entry.instance: entry.revision for entry in self._members.roster()}
            # The entry of an earlier process.
            self._roster_revision = known.get(self._instance, 0)
        result = self._store.write(self._roster_key, encode_roster(record), self._roster_revision)
        if isinstance(result, Err) and isinstance(result.err_value, WriteConflict):
            self._roster_revision = _current_revision(self._roster_key, result.err_value)
            result = self._store.write(
                self._roster_key, encode_roster(record), self._roster_revision
            )
        if isinstance(result, Err):
            return result
        self._roster_revision = result.ok_value
        self._written_known_up_to = known_up_to
        return Ok(None)

    def lease_span(self) -> LeaseSpan | None:
        """Return the period for which the member lease has existed; None without a lease."""
        has_lease = self._lease is not None and self._era == self._eras.current
        return self._lease_span if has_lease else None

    def roster_views(self) -> list[list[RosterRecord]]:
        """Return the instances that this instance's roster entry covers.

        Two views are returned while it is unknown which of two writes of the entry the store
        holds. There is none until an entry of the store's current era has been written: the
        revisions of an earlier one say nothing of the roster as it has been read since.
        """
        roster = self._members.roster()
        bounds = {self._written_known_up_to, self._attempted_known_up_to}
        if any(era_of(bound) != self._eras.current for bound in bounds):
            return []
        return [[record for record in roster if record.created <= bound] for bound in bounds]

    def _read_roster(self) -> Result[None, QuetzalrudderError]:
        result = self._store.read_prefix(ROSTER_PREFIX)
        if isinstance(result, Err):
            return result
        try:
            records = [decode_roster(item) for item in result.ok_value.items]
        except MalformedMessage as exc:
            return Err(exc)
        for record in records:
            self._members.update_roster(record)
        return Ok(None)

    def _read_primaries(self) -> Result[None, QuetzalrudderError]:
        result = self._store.read_prefix(PRIMARY_PREFIX)
        if isinstance(result, Err):
            return result
        try:
            records = [decode_primary(item) for item in result.ok_value.items]
        except MalformedMessage as exc:
            return Err(exc)
        self._primaries.observe_all(records, era_of(result.ok_value.revision))
        return Ok(None)

    def _renew(self) -> Result[None, QuetzalrudderError]:
        sent_at = self._clock.monotonic()
        result = self._store.renew_lease(self._lease)
        if isinstance(result, Err):
            if isinstance(result.err_value, LeaseEnded):
                log.warning("lease ended", extra={"lease": self._lease})
                self._lease = None
            return result
        if self._lease_span is not None:
            self._lease_span = replace(self._lease_span, renewed_at=sent_at)
        self._permission.extend_by_lease(sent_at)
        self._record_success()
        self._next_renewal = sent_at + RENEW_INTERVAL_S
        return Ok(None)

    def _update_records(self) -> Result[None, QuetzalrudderError]:
        """Write the roster entry and the member record if their content has changed.

        Primaries that the store has lost are written before.
        """
        self._restore_primaries()
        if self._is_roster_entry_due():
            entered = self._write_roster_entry()
            if isinstance(entered, Err):
                return entered
        record = self._current_record()
        if self._is_written(record):
            return Ok(None)
        return self._write_member_record(record, self._lease)

    def _restore_primaries(self) -> None:
        """Write the primaries that the store has lost, some time after that was noticed."""
        lost = self._primaries.lost_records()
        if not lost:
            self._restore_at = None
            return
        now = self._clock.monotonic()
        if self._restore_at is None:
            self._restore_at = now + MAX_RESTORE_DELAY_S * self._rng.random()
        if now < self._restore_at:
            return
        # Those that cannot be written now follow later.
        self._restore_at = None
        for record in lost:
            written = write_primary(self._store, self._primaries, record)
            log.info(
                "lost record of a primary written again",
                extra={
                    "group": record.group,
                    "epoch": record.epoch,
                    "done": isinstance(written, Ok),
                },
            )

    def _is_written(self, record: MemberRecord) -> bool:
        """Return whether the store has what others need of a record.

        The coordinator needs the acknowledged epochs only of groups whose primary is being
        replaced, or is of an earlier era of the store.
        """
        written = self._written_record
        if written is None:
            return False
        if written.suspects != record.suspects:
            return False
        if written.unreached != record.unreached:
            # Changes often while a cut begins or ends.
            age_s = self._clock.monotonic() - self._record_written_at
            if age_s >= UNREACHED_WRITE_INTERVAL_S:
                return False
        return all(
            written.acknowledged.get(group, 0) >= record.acknowledged.get(group, 0)
            for group in self._primaries.unsettled_groups()
        )

    def _current_record(self) -> MemberRecord:
        return MemberRecord(
            self._instance,
            self._incarnation,
            self._primaries.acknowledged_epochs(),
            self._suspects(),
            self._unreached(),
        )

    @property
    def _is_large(self) -> bool:
        """True if this instance has read the roster of a large fleet."""
        return self._members.count() >= LARGE_FLEET

    def _covers_enough(self) -> bool:
        """Return whether the roster entry may remain as it is for a while."""
        if not self._is_large:
            return False
        created = [record.created for record in self._members.roster()]
        covered = sum(1 for revision in created if revision <= self._written_known_up_to)
        return covered >= COVERED_FRACTION * len(created)

    def _is_roster_entry_due(self) -> bool:
        """Return whether the entry is to be written again, as other instances have joined."""
        now = self._clock.monotonic()
        if self._members.newest_created() <= self._written_known_up_to:
            self._roster_entry_due_at = None
            return False
        newest = self._members.newest_created()
        if self._roster_entry_due_at is None:
            self._latest_roster_entry_at = now + MAX_ROSTER_ENTRY_DELAY_S
            delay_s = ROSTER_ENTRY_DELAY_S
            if self._covers_enough():
                delay_s = LONG_ROSTER_ENTRY_DELAY_S * (0.5 + 0.5 * self._rng.random())
            self._roster_entry_due_at = now + delay_s
        elif not self._covers_enough():
            due_at = min(now + ROSTER_ENTRY_DELAY_S, self._latest_roster_entry_at)
            if newest > self._newest_awaited:
                # The fleet is still growing.
                self._roster_entry_due_at = due_at
            else:
                self._roster_entry_due_at = min(self._roster_entry_due_at, due_at)
        self._newest_awaited = newest
        return now >= self._roster_entry_due_at

    def _write_member_record(
        self, record: MemberRecord, lease: LeaseId
    ) -> Result[None, QuetzalrudderError]:
        value = encode_member(record)
        result = self._store.write(self._key, value, self._revision, lease)
        if isinstance(result, Err) and isinstance(result.err_value, WriteConflict):
            # An earlier write took effect late, or the record expired with an earlier lease.
            self._revision = _current_revision(self._key, result.err_value)
            result = self._store.write(self._key, value, self._revision, lease)
        if isinstance(result, Err):
            if isinstance(result.err_value, LeaseEnded):
                self._lease = None
            return result
        self._revision = result.ok_value
        self._written_record = record
        self._record_written_at = self._clock.monotonic()
        log.info(
            "member record written",
            extra={
                "acknowledged": record.acknowledged,
                "suspects": record.suspects,
                "unreached": sorted(record.unreached),
                "revision": self._revision,
            },
        )
        return Ok(None)


def _current_revision(key: str, conflict: WriteConflict) -> int:
    """Return the current revision of a key; 0 if it does not exist."""
    return next((item.revision for item in conflict.current if item.key == key), 0)
