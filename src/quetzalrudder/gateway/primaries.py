"""The primary of each database group, as this instance has read it from the store."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from quetzalrudder.gateway.permission import Permission
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
    # The target that becomes primary, while the primary changes.
    successor: TargetId | None = None
    previous: TargetId | None = None
    # True if the previous primary is healthy, so that its open operations may end first.
    planned: bool = False
    # Log term of the last recorded primary; its replacement must have a later term.
    term: int = 0
    revision: int = 0


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
    """

    def __init__(
        self,
        permission: Permission,
        clock: Clock,
        on_change: Callable[[PrimaryRecord], None] = lambda record: None,
    ) -> None:
        self._permission = permission
        self._clock = clock
        self._on_change = on_change
        # Set and replaced at each change.
        self._changed = threading.Event()
        self._lock = threading.Lock()
        self._records: dict[GroupId, PrimaryRecord] = {}
        self._open_operations: dict[GroupId, int] = {}
        self._observed_at: dict[GroupId, float] = {}
        # Latest expiry of the permissions that this instance has granted to peers.
        self._granted_to_peers_until = -1.0
        # Time from which each record may be acknowledged: when the permissions granted
        # before it was read have expired.
        self._acknowledge_from: dict[GroupId, float] = {}

    def observe(self, record: PrimaryRecord) -> bool:
        """Store a record if it is newer than the known one; return whether it was."""
        with self._lock:
            known = self._records.get(record.group)
            if known is not None and record.revision <= known.revision:
                return False
            self._records[record.group] = record
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
                "revision": record.revision,
            },
        )
        return True

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
        return UsablePrimary(group, record.primary, record.epoch)

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

    def groups_without_primary(self) -> list[GroupId]:
        """Return the groups whose primary is being replaced."""
        return [record.group for record in self.records() if record.primary is None]

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
