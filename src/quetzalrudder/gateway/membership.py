"""An instance's own record and lease in the store, which carry its permission."""

import logging
import threading
from collections.abc import Callable
from dataclasses import replace

from result import Err, Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.members import MemberRecord, MemberTable, RosterRecord
from quetzalrudder.gateway.mirror import StoreContact
from quetzalrudder.gateway.permission import PERMISSION_S, LeaseSpan, Permission
from quetzalrudder.gateway.primaries import PrimaryTable
from quetzalrudder.gateway.records import (
    MEMBER_PREFIX,
    PRIMARY_PREFIX,
    ROSTER_PREFIX,
    decode_primary,
    decode_roster,
    encode_member,
    encode_roster,
)
from quetzalrudder.gateway.store import LeaseEnded, LeaseId, Store, WriteConflict
from quetzalrudder.models import DataCentre, GroupId, InstanceId, TargetId
from quetzalrudder.utils import Clock

__all__ = ["MembershipLease"]

log = logging.getLogger(__name__)

# Several renewals fit into the time that a permission lasts.
RENEW_S = 0.5
RETRY_S = 0.2
# How often the own record is compared with what should be said.
STEP_INTERVAL_S = 0.03


class MembershipLease:
    """Keeps this instance's record and lease.

    Parameters
    ----------
    store : Store
        The store.
    instance, incarnation, address, data_centre
        This process, and where peers reach it.
    permission : Permission
        Renewed with the lease.
    primaries : PrimaryTable
        Says which epochs are acknowledged.
    members : MemberTable
        The roster as far as this instance has seen it.
    suspects : Callable
        Gives the primaries that this instance has lost.
    contact : StoreContact
        Takes note of answers and failures.
    clock : Clock
        Source of time.
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
        contact: StoreContact,
        clock: Clock,
    ) -> None:
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
        # Highest ``created`` that the own roster entry names for certain, and that of a
        # write whose answer is missing.
        self._known_entries = 0
        self._tried_entries = 0
        self._suspects = suspects
        self._contact = contact
        self._clock = clock
        self._lease: LeaseId | None = None
        self._revision = 0
        self._written: MemberRecord | None = None
        self._span: LeaseSpan | None = None
        self._next_renewal = 0.0
        self._next_try = 0.0

    def run(self, stopping: threading.Event) -> None:
        """Keep record and lease until told to stop, then leave."""
        while not stopping.wait(STEP_INTERVAL_S):
            self.step()
        self.leave()

    def leave(self) -> None:
        """Use no primary any more, and say so in the store."""
        self._permission.revoke()
        if self._lease is None:
            return
        ended = self._store.end_lease(self._lease)
        gone = self._store.delete(self._roster_key, self._roster_revision)
        log.info(
            "left", extra={"lease_ended": isinstance(ended, Ok), "erased": isinstance(gone, Ok)}
        )

    def step(self) -> None:
        """Do what is due."""
        now = self._clock.monotonic()
        if now < self._next_try:
            return
        result: Result[None, QuetzalrudderError] = Ok(None)
        if self._lease is None:
            result = self._join()
        elif now >= self._next_renewal:
            result = self._renew()
        if isinstance(result, Ok) and self._lease is not None:
            result = self._say()
        if isinstance(result, Err):
            self._next_try = self._clock.monotonic() + RETRY_S
            if not isinstance(result.err_value, LeaseEnded | WriteConflict):
                self._contact.record_failure(result.err_value)

    def _join(self) -> Result[None, QuetzalrudderError]:
        """Enter the roster, write the record under a lease, then read who leads each group.

        The roster has no lease: it tells of instances whose lease the store has lost.

        Whoever replaces a primary writes the leader's record first and reads the members
        afterwards, so one of the two sees the other.
        """
        sent_at = self._clock.monotonic()
        entered = self._enter_roster()
        if isinstance(entered, Err):
            return entered
        opened = self._store.open_lease(PERMISSION_S)
        if isinstance(opened, Err):
            return opened
        lease = opened.ok_value
        # Nothing is acknowledged until the leaders have been read.
        written = self._write(MemberRecord(self._instance, self._incarnation, {}, {}), lease)
        if isinstance(written, Ok):
            written = self._read_primaries()
        if isinstance(written, Ok):
            written = self._read_roster()
        if isinstance(written, Err):
            return written
        # From here on a renewal of the lease keeps the record too.
        self._lease = lease
        self._span = LeaseSpan(sent_at, sent_at)
        self._permission.extend_by_lease(sent_at)
        self._next_renewal = sent_at + RENEW_S
        log.info("joined", extra={"incarnation": self._incarnation, "lease": lease})
        return Ok(None)

    def _enter_roster(self) -> Result[None, QuetzalrudderError]:
        knows = self._members.newest_created()
        self._tried_entries = max(self._tried_entries, knows)
        record = RosterRecord(
            self._instance, self._incarnation, self._address, self._data_centre, knows
        )
        result = self._store.write(self._roster_key, encode_roster(record), self._roster_revision)
        if isinstance(result, Err) and isinstance(result.err_value, WriteConflict):
            self._roster_revision = _revision_of(self._roster_key, result.err_value)
            result = self._store.write(
                self._roster_key, encode_roster(record), self._roster_revision
            )
        if isinstance(result, Err):
            return result
        self._roster_revision = result.ok_value
        self._known_entries = knows
        return Ok(None)

    def lease_span(self) -> LeaseSpan | None:
        """Give how long the own lease has existed; None without one."""
        return self._span if self._lease is not None else None

    def roster_views(self) -> list[list[RosterRecord]]:
        """Give the instances that the own roster entry names: two views if one is in doubt."""
        roster = self._members.roster()
        bounds = {self._known_entries, self._tried_entries}
        return [[record for record in roster if record.created <= bound] for bound in bounds]

    def _read_roster(self) -> Result[None, QuetzalrudderError]:
        result = self._store.read_prefix(ROSTER_PREFIX)
        if isinstance(result, Err):
            return result
        for item in result.ok_value.items:
            self._members.update_roster(decode_roster(item))
        return Ok(None)

    def _read_primaries(self) -> Result[None, QuetzalrudderError]:
        result = self._store.read_prefix(PRIMARY_PREFIX)
        if isinstance(result, Err):
            return result
        for item in result.ok_value.items:
            self._primaries.observe(decode_primary(item))
        return Ok(None)

    def _renew(self) -> Result[None, QuetzalrudderError]:
        sent_at = self._clock.monotonic()
        result = self._store.renew_lease(self._lease)
        if isinstance(result, Err):
            if isinstance(result.err_value, LeaseEnded):
                log.warning("lease ended", extra={"lease": self._lease})
                self._lease = None
            return result
        if self._span is not None:
            self._span = replace(self._span, renewed_at=sent_at)
        self._permission.extend_by_lease(sent_at)
        self._next_renewal = sent_at + RENEW_S
        return Ok(None)

    def _say(self) -> Result[None, QuetzalrudderError]:
        """Write record and roster entry if what they say has changed."""
        if self._members.newest_created() > self._known_entries:
            entered = self._enter_roster()
            if isinstance(entered, Err):
                return entered
        record = MemberRecord(
            self._instance,
            self._incarnation,
            self._primaries.acknowledged_epochs(),
            self._suspects(),
        )
        if record == self._written:
            return Ok(None)
        return self._write(record, self._lease)

    def _write(self, record: MemberRecord, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        value = encode_member(record)
        result = self._store.write(self._key, value, self._revision, lease)
        if isinstance(result, Err) and isinstance(result.err_value, WriteConflict):
            # An earlier write ran late, or the record went with an old lease.
            self._revision = _revision_of(self._key, result.err_value)
            result = self._store.write(self._key, value, self._revision, lease)
        if isinstance(result, Err):
            if isinstance(result.err_value, LeaseEnded):
                self._lease = None
            return result
        self._revision = result.ok_value
        self._written = record
        log.info(
            "own record written",
            extra={
                "acknowledged": record.acknowledged,
                "suspects": record.suspects,
                "revision": self._revision,
            },
        )
        return Ok(None)


def _revision_of(key: str, conflict: WriteConflict) -> int:
    """Give the revision that a key has now; 0 if it does not exist."""
    return next((item.revision for item in conflict.current if item.key == key), 0)
