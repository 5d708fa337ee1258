"""Enforces each workspace's rate over all instances, without a call for each operation.

Serves fleets in which one workspace sends many times its rate through every instance. Each
instance admits at most its own share of what the fleet may run in a window, and in addition
what the rate owner has granted to it. Shares and grants add up to the limit, so that it
holds even if instances cannot reach each other.
"""

import math
import threading
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.exceptions import RateExceeded
from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.models import WorkspaceId
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["QuotaCharge", "QuotaRules", "QuotaTable"]

# Fraction of the limit that is used; the rest covers operations that are sent in one
# window and arrive in the next.
SAFETY_FACTOR = 0.9
# Operations that a new instance may admit at once, in seconds of its even rate.
START_CREDIT_S = 0.3
# Fraction of each limit that the rate owner grants by demand.
GRANTED_FRACTION = 0.5
# Unused grants that an instance may save, in seconds of their rate.
MAX_SAVED_S = 1.0
# An instance may always save this many operations, so that a grant of less than one a second
# still adds up to a whole one.
MIN_SAVED_LIMIT = 1.0
# Time constant of the moving average of the demand.
DEMAND_AVERAGING_S = 1.0
# Smaller demands are not reported.
MIN_REPORTED_DEMAND_PER_S = 0.05


@dataclass(frozen=True)
class QuotaRules:
    """How the operators count operations.

    Parameters
    ----------
    window_s : float
        Span over which operations are counted.
    excess : float
        Fraction by which the limit may be exceeded.
    margin : float
        Operations by which the limit may be exceeded in addition.
    """

    window_s: float = 5.0
    excess: float = 0.1
    margin: float = 20.0

    def window_limit(self, limit: Workspace) -> float:
        """Return how many operations of a workspace the fleet may run in one window."""
        counted = limit.rate_per_s * self.window_s + limit.burst
        return (counted * (1 + self.excess) + self.margin) * SAFETY_FACTOR

    def bucket_size(self, limit: Workspace) -> float:
        """Return how many operations one token bucket of the workspace's rate may hold."""
        return max(1.0, self.window_limit(limit) - limit.rate_per_s * self.window_s)

    def local_share(self, limit: Workspace, instance_count: int) -> float:
        """Return how many operations one instance may admit in one window without a grant."""
        return self.window_limit(limit) * (1 - GRANTED_FRACTION) / max(1, instance_count)

    def grantable_per_s(self, limit: Workspace, instance_count: int) -> float:
        """Return the operations a second that may be granted to that many instances together."""
        grantable = self.window_limit(limit) * GRANTED_FRACTION - instance_count * MIN_SAVED_LIMIT
        return max(0.0, grantable) / (self.window_s + MAX_SAVED_S)


class _Usage:
    """Admissions, demand and grants of one workspace at this instance."""

    def __init__(self, credit: float, now: float) -> None:
        # Times of the operations admitted within the local share.
        self.admitted_at: deque[float] = deque()
        self.granted_per_s = 0.0
        self.grant_expires_at = -1.0
        # Granted operations that are not used yet, and when they were last brought up to date.
        self.saved = 0.0
        self.saved_at = now
        self.demand_per_s = 0.0
        self.demand_at = now
        # Spreads the admissions of the first window evenly, as an earlier process of this
        # instance may have used up the same share.
        self.credit = credit
        self.credited_at: float | None = None

    def record_demand(self, now: float) -> None:
        """Add one requested operation to the demand."""
        self.demand_per_s = self.demand(now) + 1 / DEMAND_AVERAGING_S
        self.demand_at = now

    def demand(self, now: float) -> float:
        """Return the moving average of the requested operations a second."""
        return self.demand_per_s * math.exp(-(now - self.demand_at) / DEMAND_AVERAGING_S)

    def apply_grant(self, per_s: float, expires_at: float, now: float) -> None:
        """Replace the current grant."""
        self._accrue(now)
        self.granted_per_s, self.grant_expires_at = per_s, expires_at
        self.saved = min(self.saved, self._saved_limit())

    def spend_grant(self, now: float) -> bool:
        """Spend one granted operation; return whether one was available."""
        self._accrue(now)
        if self.saved < 1:
            return False
        self.saved -= 1
        return True

    def _saved_limit(self) -> float:
        return max(MIN_SAVED_LIMIT, self.granted_per_s * MAX_SAVED_S)

    def _accrue(self, now: float) -> None:
        span_s = max(0.0, min(now, self.grant_expires_at) - self.saved_at)
        self.saved = min(self._saved_limit(), self.saved + span_s * self.granted_per_s)
        self.saved_at = now
        if now >= self.grant_expires_at:
            self.saved = 0.0


class QuotaCharge(Protocol):
    """One operation that was charged to the rate of its workspace."""

    def refund(self) -> None:
        """Cancel the charge, as the operation reached no database."""


@dataclass(frozen=True)
class _LocalCharge:
    table: "QuotaTable"
    workspace: WorkspaceId
    # When it was charged to the local share; None if a grant was spent.
    charged_at: float | None

    def refund(self) -> None:
        self.table.refund(self)


class QuotaTable:
    """Admits operations within the rates of their workspaces.

    Parameters
    ----------
    rules : QuotaRules
        How the operators count operations.
    clock : Clock
        Source of time.
    """

    def __init__(self, rules: QuotaRules, clock: Clock) -> None:
        self._rules = rules
        self._clock = clock
        self._lock = threading.Lock()
        self._usages: dict[WorkspaceId, _Usage] = {}
        self._started_at = clock.monotonic()

    def admit(self, limit: Workspace, instance_count: int) -> Result[QuotaCharge, RateExceeded]:
        """Charge one operation, or return an error with the delay before a retry.

        The operators count the operations that reach a database; refund the charge of one
        that does not.

        Parameters
        ----------
        limit : Workspace
            The workspace and its rate.
        instance_count : int
            Number of instances that may admit operations now.
        """
        now = self._clock.monotonic()
        share = self._rules.local_share(limit, instance_count)
        even_rate = share / self._rules.window_s
        with self._lock:
            usage = self._usage_of(limit.workspace, even_rate)
            usage.record_demand(now)
            if usage.spend_grant(now):
                return Ok(_LocalCharge(self, limit.workspace, None))
            while usage.admitted_at and usage.admitted_at[0] <= now - self._rules.window_s:
                usage.admitted_at.popleft()
            wait_s = self._wait_s(usage, share, even_rate, now)
            if wait_s <= 0:
                usage.admitted_at.append(now)
                return Ok(_LocalCharge(self, limit.workspace, now))
        return Err(
            RateExceeded(
                f"{len(usage.admitted_at)} operations admitted in {self._rules.window_s} s"
                f" by this instance, whose share is {share:.1f}",
                place=limit.workspace,
                retry_after_ms=max(1, round(wait_s * MS_PER_S)),
            )
        )

    def refund(self, charge: _LocalCharge) -> None:
        """Cancel the charge of an operation that reached no database."""
        with self._lock:
            usage = self._usages[charge.workspace]
            if charge.charged_at is None:
                usage.saved += 1
            elif charge.charged_at in usage.admitted_at:
                usage.admitted_at.remove(charge.charged_at)
                usage.credit += 1

    def _usage_of(self, workspace: WorkspaceId, even_rate: float) -> _Usage:
        usage = self._usages.get(workspace)
        if usage is None:
            credit = max(1.0, even_rate * START_CREDIT_S)
            usage = _Usage(credit, self._clock.monotonic())
            self._usages[workspace] = usage
        return usage

    def demands(self) -> dict[WorkspaceId, float]:
        """Return the recent demand of each workspace, in operations a second."""
        now = self._clock.monotonic()
        with self._lock:
            return {
                name: demand_per_s
                for name, usage in self._usages.items()
                if (demand_per_s := usage.demand(now)) >= MIN_REPORTED_DEMAND_PER_S
            }

    def apply_grants(self, grants: dict[WorkspaceId, float], expires_at: float) -> None:
        """Use the rate owner's grants until the clock reads ``expires_at``."""
        now = self._clock.monotonic()
        with self._lock:
            for workspace, per_s in grants.items():
                if workspace in self._usages:
                    self._usages[workspace].apply_grant(per_s, expires_at, now)

    def _wait_s(self, usage: _Usage, share: float, even_rate: float, now: float) -> float:
        """Return the seconds until the local share admits an operation; 0 if it does now."""
        excess = len(usage.admitted_at) + 1 - share
        if excess > 0:
            if not usage.admitted_at:
                return self._rules.window_s
            index = min(len(usage.admitted_at), int(excess) + 1) - 1
            return usage.admitted_at[index] + self._rules.window_s - now
        if now - self._started_at > self._rules.window_s:
            return 0.0
        since = self._started_at if usage.credited_at is None else usage.credited_at
        usage.credit += (now - since) * even_rate
        usage.credited_at = now
        if usage.credit < 1:
            return (1 - usage.credit) / max(even_rate, 1e-6)
        usage.credit -= 1
        return 0.0
