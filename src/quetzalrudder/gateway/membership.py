"""An instance's own record and lease in the store, which carry its permission."""

import logging
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.leadership import (
    PERMISSION_S,
    LeaderTable,
    MemberRecord,
    Permission,
)
from quetzalrudder.gateway.mirror import StoreContact
from quetzalrudder.gateway.records import (
    LEADER_PREFIX,
    MEMBER_PREFIX,
    decode_leader,
    encode_member,
)
from quetzalrudder.gateway.store import LeaseEnded, LeaseId, Store, WriteConflict
from quetzalrudder.models import GroupId, InstanceId, TargetId
from quetzalrudder.utils import Clock

__all__ = ["Membership"]

log = logging.getLogger(__name__)

# Several renewals fit into the time that a permission lasts.
RENEW_S = 0.9
RETRY_S = 0.25
# How often the own record is compared with what should be said.
TURN_S = 0.03


class Membership:
    """Keeps this instance's record and lease.

    Parameters
    ----------
    store : Store
        The store.
    instance, incarnation
        This process.
    permission : Permission
        Renewed with the lease.
    leaders : LeaderTable
        Says which epochs are acknowledged.
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
        permission: Permission,
        leaders: LeaderTable,
        suspects: Callable[[], dict[GroupId, TargetId]],
        contact: StoreContact,
        clock: Clock,
    ) -> None:
        self._store = store
        self._instance = instance
        self._incarnation = incarnation
        self._key = MEMBER_PREFIX + instance
        self._permission = permission
        self._leaders = leaders
        self._suspects = suspects
        self._contact = contact
        self._clock = clock
        self._lease: LeaseId | None = None
        self._revision = 0
        self._written: MemberRecord | None = None
        self._next_renewal = 0.0
        self._next_try = 0.0

    def run(self, stopping: threading.Event) -> None:
        """Keep record and lease until told to stop; then end the lease."""
        while not stopping.wait(TURN_S):
            self.step()
        self._permission.drop()
        if self._lease is not None:
            self._store.end_lease(self._lease)

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
                self._contact.failed(result.err_value)

    def _join(self) -> Result[None, QuetzalrudderError]:
        """Take a lease, write the record under it, then read who leads each group.

        Whoever replaces a primary writes the leader's record first and reads the members
        afterwards, so one of the two sees the other.
        """
        sent_at = self._clock.monotonic()
        opened = self._store.open_lease(PERMISSION_S)
        if isinstance(opened, Err):
            return opened
        lease = opened.ok_value
        # Nothing is acknowledged until the leaders have been read.
        written = self._write(MemberRecord(self._instance, self._incarnation, {}, {}), lease)
        if isinstance(written, Ok):
            written = self._read_leaders()
        if isinstance(written, Err):
            return written
        # From here on a renewal of the lease keeps the record too.
        self._lease = lease
        self._permission.renewed(sent_at)
        self._next_renewal = sent_at + RENEW_S
        log.info("joined", extra={"incarnation": self._incarnation, "lease": lease})
        return Ok(None)

    def _read_leaders(self) -> Result[None, QuetzalrudderError]:
        result = self._store.read_prefix(LEADER_PREFIX)
        if isinstance(result, Err):
            return result
        for item in result.ok_value.items:
            self._leaders.observe(decode_leader(item))
        return Ok(None)

    def _renew(self) -> Result[None, QuetzalrudderError]:
        sent_at = self._clock.monotonic()
        result = self._store.keep_lease(self._lease)
        if isinstance(result, Err):
            if isinstance(result.err_value, LeaseEnded):
                log.warning("lease ended", extra={"lease": self._lease})
                self._lease = None
            return result
        self._permission.renewed(sent_at)
        self._next_renewal = sent_at + RENEW_S
        return Ok(None)

    def _say(self) -> Result[None, QuetzalrudderError]:
        """Write the record if what it says has changed."""
        record = MemberRecord(
            self._instance, self._incarnation, self._leaders.acknowledged(), self._suspects()
        )
        if record == self._written:
            return Ok(None)
        return self._write(record, self._lease)

    def _write(self, record: MemberRecord, lease: LeaseId) -> Result[None, QuetzalrudderError]:
        value = encode_member(record)
        result = self._store.write(self._key, value, self._revision, lease)
        if isinstance(result, Err) and isinstance(result.err_value, WriteConflict):
            # An earlier write ran late, or the record went with an old lease.
            found = [item for item in result.err_value.current if item.key == self._key]
            self._revision = found[0].revision if found else 0
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
