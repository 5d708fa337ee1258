"""Share of its reads that each database gets, which follows what its statements get.

Serves databases that fail part of their statements while their health checks are good, and
those that flap. A share shrinks with each failure and grows with each answer, so a database
that fails one statement in ten keeps most of its reads and one that fails all keeps a few
as trials. Shares are relative to the best database of a group: if all fail alike, none
loses reads.
"""

import logging
import math
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from quetzalrudder.models import TargetId
from quetzalrudder.utils import Clock

__all__ = ["ReadShares"]

log = logging.getLogger(__name__)

# With these factors a database that fails 10 % of its statements keeps two thirds of its
# reads, and one that fails 40 % a quarter.
FAILURE_FACTOR = 0.8
ANSWER_GROWTH = 0.05
# Trial reads of a database that fails everything.
MIN_SHARE = 0.02
# Time constant with which a share returns without statements, so that a database with few
# reads is not avoided for minutes.
RETURN_S = 20.0
# A change is reported when the share falls below the first and when it exceeds the second
# bound, and at most once in the interval for each database.
REDUCED_SHARE = 0.5
RESTORED_SHARE = 0.9
REPORT_INTERVAL_S = 5.0


@dataclass
class _Share:
    value: float = 1.0
    updated_at: float = 0.0
    reported_reduced: bool = False
    reported_at: float = -1e9


class ReadShares:
    """The share of reads of each database.

    Parameters
    ----------
    clock : Clock
        Source of time.
    count_change : Callable
        Counts a reported change: ``reduced`` or ``restored``.
    """

    def __init__(
        self, clock: Clock, count_change: Callable[[str], None] = lambda change: None
    ) -> None:
        self._clock = clock
        self._count_change = count_change
        self._lock = threading.Lock()
        self._shares: dict[TargetId, _Share] = {}

    def record(self, target: TargetId, *, failed: bool) -> None:
        """Record what a statement at a database got."""
        now = self._clock.monotonic()
        with self._lock:
            share = self._shares.setdefault(target, _Share(updated_at=now))
            current = self._value(share, now)
            if failed:
                share.value = max(MIN_SHARE, current * FAILURE_FACTOR)
            else:
                share.value = current + ANSWER_GROWTH * (1 - current)
            share.updated_at = now
            change = self._change(share, now)
            value = share.value
        if change is not None:
            self._count_change(change)
            log.warning(
                "share of reads changed",
                extra={"target": target, "change": change, "share": round(value, 2)},
            )

    def _value(self, share: _Share, now: float) -> float:
        return 1 - (1 - share.value) * math.exp(-(now - share.updated_at) / RETURN_S)

    def _change(self, share: _Share, now: float) -> str | None:
        bound = RESTORED_SHARE if share.reported_reduced else REDUCED_SHARE
        is_reduced = share.value < bound
        if is_reduced == share.reported_reduced or now < share.reported_at + REPORT_INTERVAL_S:
            return None
        share.reported_reduced, share.reported_at = is_reduced, now
        return "reduced" if is_reduced else "restored"

    def relative(self, targets: Iterable[TargetId]) -> dict[TargetId, float]:
        """Return the shares of a group's databases; the best one has 1."""
        now = self._clock.monotonic()
        with self._lock:
            values = {
                target: self._value(share, now)
                if (share := self._shares.get(target)) is not None
                else 1.0
                for target in targets
            }
        best = max(values.values(), default=1.0)
        return {target: value / best for target, value in values.items()}
