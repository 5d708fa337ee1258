"""The primary of each database group, as this instance has read it from the store.

Records are ordered by their epochs, not by revisions: a store that has come back from an older copy
may hold an earlier record under a later revision. Epochs of an era of the store are higher than
those of earlier eras. A record of an earlier era may be out of date, as a later one may be lost. It
is used only by an instance that knew it before the return and has had permission ever since: no
change of the primary can have taken effect without it.
"""

import logging
import threading
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

from quetzalrudder.gateway.permission import Permission
from quetzalrudder.gateway.store import StoreEra, era_of
from quetzalrudder.gateway.store_eras import StoreEras
from quetzalrudder.models import GroupId, TargetId
from quetzalrudder.utils import Clock

__all__ = ["PrimaryRecord", "PrimaryTable", "UsablePrimary"]

log = logging.getLogger(__name__)

# Longest time for which open operations at a primary delay its planned replacement.
PLANNED_CHANGE_WAIT_S = 1.5
# Interval at which a request that waits for a new primary checks the permission, which may
# return without a new record.
PERMISSION_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True)
class PrimaryRecord:
    """A group's primary as recorded in the store."""

    group: GroupId
    epoch: int
    # None while the primary changes.
    primary: TargetId | None
    # The target that becomes primary, while the primary changes; None before it is chosen.
    successor: TargetId | None = None
    previous: TargetId | None = None
    # True if the previous primary is healthy, so that its open operations may end first.
    planned: bool = False
    # Log term of the last recorded primary; its replacement must have a later term.
    term: int = 0
    # Revision of the key in the store, which a write of the record has to expect.
    revision: int = 0
    # The epoch of the earlier era whose primary this record continues; 0 for all others.
    confirms: int = 0
    # Databases that have to answer before another one is promoted.
    waits_for: tuple[TargetId, ...] = ()
    # Fencing token of the coordinator that chose the successor; 0 if that is not known.
    chosen_by: int = 0

    @property
    def rank(self) -> tuple[int, bool, bool]:
        """Place in the order of a group's records: the primary ends the change of its epoch.

        Its successor may be chosen once the old primary is out of use.
        """
        is_chosen = self.successor is not None
        return self.epoch, self.primary is not None or is_chosen, self.primary is not None


@dataclass(frozen=True)
class UsablePrimary:
    """A primary that this instance may use, at an epoch."""

    group: GroupId
    target: TargetId
    epoch: int


class PrimaryTable:
    """The newest records of all groups that this instance has read.

    Parameters
    ----------
    permission : Permission
        This instance's right to use primaries.
    clock : Clock
        Source of time.
    on_change : Callable, optional
        Called with each newer record.
    eras : StoreEras, optional
        Tells of returns of the store from an older copy.
    """

    def __init__(
        self,
        permission: Permission,
        clock: Clock,
        on_change: Callable[[PrimaryRecord], None] = lambda record: None,
        eras: StoreEras | None = None,
    ) -> None:
        self._permission = permission
        self._clock = clock
        self._eras = eras if eras is not None else StoreEras(clock)
        self._eras.add_listener(self._begin_era)
        self._on_change = on_change
        # Set and replaced at each change.
        self._changed = threading.Event()
        self._lock = threading.Lock()
        self._records: dict[GroupId, PrimaryRecord] = {}
        # Groups whose known record is later than the one that the store holds.
        self._lost: set[GroupId] = set()
        # Groups whose record of an earlier era was not known, or not trusted, before this era.
        self._doubtful: set[GroupId] = set()
        # Number of gaps in the permission when the current era began.
        self._gaps = 0
        # The epoch from which each primary has been known without an interruption.
        self._used_since: dict[GroupId, int] = {}
        self._open_operations: dict[GroupId, int] = {}
        self._observed_at: dict[GroupId, float] = {}
        # Latest expiry of the permissions that this instance has granted to peers.
        self._granted_to_peers_until = -1.0
        # Time from which each record may be acknowledged: when the permissions granted
        # before it was read have expired.
        self._acknowledge_from: dict[GroupId, float] = {}

    def _begin_era(self) -> None:
        """Note which records may still be used, as the store has come back from an older copy."""
        with self._lock:
            # Doubts come before the new count of gaps, as records are read without the lock.
            self._doubtful |= {
                record.group for record in self._records.values() if not self._is_trusted(record)
            }
            self._gaps = self._permission.gaps

    def _is_trusted(self, record: PrimaryRecord) -> bool:
        """Return whether no later record than this one can have taken effect unknown to us."""
        if era_of(record.epoch) >= self._eras.current:
            return True
        return record.group not in self._doubtful and self._permission.gaps == self._gaps

    def is_trusted(self, group: GroupId) -> bool:
        """Return whether the known record of a group is certainly the latest one."""
        record = self._records.get(group)
        return record is not None and self._is_trusted(record)

    def is_lost(self, group: GroupId) -> bool:
        """Return whether the store holds an earlier record than the known one, or none."""
        return group in self._lost

    def lost_records(self) -> list[PrimaryRecord]:
        """Return the known records that are later than those that the store holds."""
        with self._lock:
            return [self._records[group] for group in sorted(self._lost)]

    def observe_all(self, records: Collection[PrimaryRecord], era: StoreEra) -> None:
        """Observe all records that the store holds in an era; it has lost the others."""
        found = {record.group for record in records}
        with self._lock:
            for group, known in self._records.items():
                if group not in found and era_of(known.revision) < era:
                    self._records[group] = replace(known, revision=0)
                    self._lost.add(group)
        for record in records:
            self.observe(record)

    def observe(self, record: PrimaryRecord) -> bool:
        """Store a record if it is later than the known one; return whether it was."""
        with self._lock:
            known = self._records.get(record.group)
            if known is not None and record.rank <= known.rank:
                self._note_revision(known, record)
                return False
            self._store(known, record)
            self._observed_at[record.group] = self._clock.monotonic()
            self._acknowledge_from[record.group] = self._granted_to_peers_until
            changed, self._changed = self._changed, threading.Event()
        changed.set()
        self._on_change(record)
        log.info(
            "primary recorded",
            extra={
                "group": record.group,
                "epoch": record.epoch,
                "primary": record.primary or "",
                "successor": record.successor or "",
                "waits_for": list(record.waits_for),
                "revision": record.revision,
            },
        )
        return True

    def _note_revision(self, known: PrimaryRecord, stored: PrimaryRecord) -> None:
        """Note the revision of a record of the store that is not later than the known one."""
        if stored.revision <= known.revision:
            return
        self._records[known.group] = replace(known, revision=stored.revision)
        if stored.rank < known.rank:
            self._lost.add(known.group)
        else:
            self._lost.discard(known.group)

    def _store(self, known: PrimaryRecord | None, record: PrimaryRecord) -> None:
        """Replace the known record by a later one."""
        group = record.group
        continues = (
            known is not None
            and record.confirms == known.epoch
            and record.primary == known.primary
            and self._is_trusted(known)
        )
        if not continues:
            self._used_since[group] = record.epoch
        if era_of(record.epoch) < self._eras.current:
            self._doubtful.add(group)
        else:
            self._doubtful.discard(group)
        if known is not None and known.revision > record.revision:
            # Learned from a peer, as the store has lost it.
            record = replace(record, revision=known.revision)
            self._lost.add(group)
        else:
            self._lost.discard(group)
        self._records[group] = record

    def record(self, group: GroupId) -> PrimaryRecord | None:
        """Return the newest record of a group."""
        return self._records.get(group)

    def records(self) -> list[PrimaryRecord]:
        """Return the newest record of every group."""
        with self._lock:
            return list(self._records.values())

    def grant_permission(self, valid_s: float) -> list[PrimaryRecord]:
        """Grant a peer permission, and return the records that it must apply first.

        Later records are acknowledged only once the peer's permission has expired.
        """
        with self._lock:
            until = self._clock.monotonic() + valid_s
            self._granted_to_peers_until = max(self._granted_to_peers_until, until)
            return list(self._records.values())

    @property
    def granted_remaining_s(self) -> float:
        """Seconds until every permission granted to peers has expired; negative afterwards."""
        with self._lock:
            return self._granted_to_peers_until - self._clock.monotonic()

    def usable_primary(self, group: GroupId) -> UsablePrimary | None:
        """Return the primary that may be used now; None if there is none."""
        record = self._records.get(group)
        if record is None or record.primary is None or not self._permission.valid:
            return None
        if not self._is_trusted(record):
            return None
        return UsablePrimary(group, record.primary, self._used_since[group])

    def is_usable(self, primary: UsablePrimary) -> bool:
        """Return whether a primary may still be used at its epoch.

        If so, it cannot have been replaced until now.
        """
        return self.usable_primary(primary.group) == primary

    def wait_for(
        self, find: Callable[[], UsablePrimary | None], timeout_s: float
    ) -> UsablePrimary | None:
        """Wait until a primary is found and return it; None if the wait times out."""
        until = self._clock.monotonic() + timeout_s
        while True:
            changed = self._changed
            primary = find()
            remaining_s = until - self._clock.monotonic()
            if primary is not None or remaining_s <= 0:
                return primary
            self._clock.wait(changed, min(PERMISSION_POLL_INTERVAL_S, remaining_s))

    def begin_use(self, group: GroupId) -> None:
        """Count an operation at the primary, which delays a planned replacement."""
        with self._lock:
            self._open_operations[group] = self._open_operations.get(group, 0) + 1

    def end_use(self, group: GroupId) -> None:
        """End the count of an operation at the primary."""
        with self._lock:
            self._open_operations[group] -= 1

    def unsettled_groups(self) -> list[GroupId]:
        """Return the groups whose primary is being replaced, or not confirmed in this era."""
        era = self._eras.current
        return [
            record.group
            for record in self.records()
            if record.primary is None or era_of(record.epoch) < era
        ]

    def has_unacknowledged(self) -> bool:
        """Return whether an epoch of a known record is not acknowledged yet."""
        return len(self.acknowledged_epochs()) < len(self._records)

    def acknowledged_epochs(self) -> dict[GroupId, int]:
        """Return the epochs that this instance acknowledges, by group.

        It uses no primary of an earlier epoch, and no permission that it granted to a peer
        covers one. A group is left out until that holds, and while open operations delay a
        planned replacement.
        """
        now = self._clock.monotonic()
        with self._lock:
            acknowledged = {}
            for group, record in self._records.items():
                delayed = (
                    record.planned
                    and record.primary is None
                    and self._open_operations.get(group, 0) > 0
                    and now < self._observed_at[group] + PLANNED_CHANGE_WAIT_S
                )
                if not delayed and now >= self._acknowledge_from[group]:
                    acknowledged[group] = record.epoch
            return acknowledged
