"""Who leads each group, as this instance has seen it in the store."""

import logging
import threading
from dataclasses import dataclass

from quetzalrudder.gateway.permission import Permission
from quetzalrudder.models import GroupId, TargetId
from quetzalrudder.utils import Clock

__all__ = ["UsablePrimary", "PrimaryRecord", "PrimaryTable"]

log = logging.getLogger(__name__)

# How long open work at a primary may delay its planned replacement.
PLANNED_WAIT_S = 1.5
# How long a change of primary usually takes until the new one can be used: the promotion
# itself 300 to 1,000 ms, and the acknowledgements.
CHANGE_S = 1.3
# How often a waiting request looks for a new primary.
WAIT_INTERVAL_S = 0.01


@dataclass(frozen=True)
class PrimaryRecord:
    """What the store says of a group's primary."""

    group: GroupId
    epoch: int
    # None while the primary changes.
    primary: TargetId | None
    # The target that is to lead, while the primary changes.
    successor: TargetId | None = None
    previous: TargetId | None = None
    # True if the previous primary is healthy and its work is finished first.
    planned: bool = False
    # Log term of the last primary that was recorded; the next one has a later term.
    term: int = 0
    revision: int = 0


@dataclass(frozen=True)
class UsablePrimary:
    """A primary as an instance used it."""

    group: GroupId
    target: TargetId
    epoch: int


class PrimaryTable:
    """The records of all groups, as this instance has seen them.

    Parameters
    ----------
    permission : Permission
        This instance's right to use primaries.
    clock : Clock
        Source of time.
    """

    def __init__(self, permission: Permission, clock: Clock) -> None:
        self._permission = permission
        self._clock = clock
        self._lock = threading.Lock()
        self._records: dict[GroupId, PrimaryRecord] = {}
        self._in_use: dict[GroupId, int] = {}
        self._observed_at: dict[GroupId, float] = {}
        # Until when peers may use primaries on the word of this instance.
        self._granted_to_peers_until = -1.0
        self._acknowledge_from: dict[GroupId, float] = {}

    def observe(self, record: PrimaryRecord) -> bool:
        """Take a record unless it is older than the one known; true if it is new."""
        with self._lock:
            known = self._records.get(record.group)
            if known is not None and record.revision <= known.revision:
                return False
            self._records[record.group] = record
            self._observed_at[record.group] = self._clock.monotonic()
            self._acknowledge_from[record.group] = self._granted_to_peers_until
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
        """Give the newest record of a group."""
        return self._records.get(group)

    def records(self) -> list[PrimaryRecord]:
        """Give the newest record of every group."""
        with self._lock:
            return list(self._records.values())

    def grant_permission(self, valid_s: float) -> list[PrimaryRecord]:
        """Answer for a peer, and give the records that it has to take first.

        A later record is acknowledged only after the peer's permission has run out.
        """
        with self._lock:
            until = self._clock.monotonic() + valid_s
            self._granted_to_peers_until = max(self._granted_to_peers_until, until)
            return list(self._records.values())

    def usable_primary(self, group: GroupId) -> UsablePrimary | None:
        """Give the primary that may be used now; None if there is none."""
        record = self._records.get(group)
        if record is None or record.primary is None or not self._permission.valid:
            return None
        return UsablePrimary(group, record.primary, record.epoch)

    def is_usable(self, primary: UsablePrimary) -> bool:
        """Tell whether nothing can have replaced a primary until now."""
        return self.usable_primary(primary.group) == primary

    def expected_wait_s(self, group: GroupId) -> float:
        """Seconds after which a primary is expected; 0 if none is in sight."""
        record = self._records.get(group)
        if record is None or record.primary is not None or not self._permission.valid:
            return 0.0
        return max(0.0, self._observed_at[group] + CHANGE_S - self._clock.monotonic())

    def wait_for_primary(self, group: GroupId, timeout_s: float) -> UsablePrimary | None:
        """Wait until the group has a primary that may be used."""
        until = self._clock.monotonic() + timeout_s
        while (primary := self.usable_primary(group)) is None and self._clock.monotonic() < until:
            self._clock.sleep(WAIT_INTERVAL_S)
        return primary

    def begin_use(self, group: GroupId) -> None:
        """Count work at the primary that a planned replacement waits for."""
        with self._lock:
            self._in_use[group] = self._in_use.get(group, 0) + 1

    def end_use(self, group: GroupId) -> None:
        """Uncount it."""
        with self._lock:
            self._in_use[group] -= 1

    def acknowledged_epochs(self) -> dict[GroupId, int]:
        """Give the epochs up to which this instance uses no earlier primary."""
        now = self._clock.monotonic()
        with self._lock:
            acknowledged = {}
            for group, record in self._records.items():
                waiting = (
                    record.planned
                    and record.primary is None
                    and self._in_use.get(group, 0) > 0
                    and now < self._observed_at[group] + PLANNED_WAIT_S
                )
                if not waiting and now >= self._acknowledge_from[group]:
                    acknowledged[group] = record.epoch
            return acknowledged
