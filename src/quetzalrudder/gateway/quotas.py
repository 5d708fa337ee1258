"""Holds each workspace to its rate over all instances, without a call for each request.

Answers the load of one workspace that sends many times its rate through every instance.
Each instance admits at most its own part of what the fleet may run in a window, and beside
it what the keeper of the rates has granted. Parts and grants add up to the limit, so it
holds also for instances that cannot reach each other.
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

# Kept back for requests that are sent in one window and arrive in the next.
SAFETY = 0.9
# Requests that a new instance may admit at once, in seconds of its even rate.
START_CREDIT_S = 0.3
# Part of each limit that the keeper gives out by demand.
GRANTED_PART = 0.5
# Unused grants that may be saved up, in seconds of their rate.
SAVED_S = 1.0
# A grant of less than one operation a second must still come to a whole one.
LEAST_SAVED = 1.0
# Over which the demand is averaged.
DEMAND_S = 1.0
# Less is not worth reporting.
LEAST_DEMAND_PER_S = 0.05


@dataclass(frozen=True)
class QuotaRules:
    """How the operators count.

    Parameters
    ----------
    window_s : float
        Span over which requests are counted.
    excess : float
        Part by which the limit may be exceeded.
    margin : float
        Requests by which the limit may be exceeded besides.
    """

    window_s: float = 5.0
    excess: float = 0.1
    margin: float = 20.0

    def allowed(self, limit: Workspace) -> float:
        """Count the requests of a workspace that the fleet may run in one window."""
        counted = limit.rate_per_s * self.window_s + limit.burst
        return (counted * (1 + self.excess) + self.margin) * SAFETY

    def bucket_size(self, limit: Workspace) -> float:
        """Count the operations that one bucket with the workspace's rate may hold."""
        return max(1.0, self.allowed(limit) - limit.rate_per_s * self.window_s)

    def own_part(self, limit: Workspace, instances: int) -> float:
        """Count the requests that one instance may admit in one window without a grant."""
        return self.allowed(limit) * (1 - GRANTED_PART) / max(1, instances)

    def granted_per_s(self, limit: Workspace, instances: int) -> float:
        """Give the operations a second that grants to some instances may add up to."""
        granted = self.allowed(limit) * GRANTED_PART - instances * LEAST_SAVED
        return max(0.0, granted) / (self.window_s + SAVED_S)


class _Window:
    """The admissions of one workspace at this instance."""

    def __init__(self, credit: float, now: float) -> None:
        self.admitted: deque[float] = deque()
        self.granted_per_s = 0.0
        self.granted_until = -1.0
        self.saved = 0.0
        self.saved_at = now
        self.demand_per_s = 0.0
        self.asked_at = now
        # Evens out the first window, as a predecessor may have used up the same part.
        self.credit = credit
        self.credited_at: float | None = None

    def ask(self, now: float) -> None:
        """Count one operation that was asked for."""
        self.demand_per_s = self.demand(now) + 1 / DEMAND_S
        self.asked_at = now

    def demand(self, now: float) -> float:
        """Operations a second that were asked for lately."""
        return self.demand_per_s * math.exp(-(now - self.asked_at) / DEMAND_S)

    def take_grant(self, per_s: float, until: float, now: float) -> None:
        """Use a grant from now on."""
        self._save(now)
        self.granted_per_s, self.granted_until = per_s, until
        self.saved = min(self.saved, self._most_saved())

    def spend(self, now: float) -> bool:
        """Use one granted operation, if there is one."""
        self._save(now)
        if self.saved < 1:
            return False
        self.saved -= 1
        return True

    def _most_saved(self) -> float:
        return max(LEAST_SAVED, self.granted_per_s * SAVED_S)

    def _save(self, now: float) -> None:
        span_s = max(0.0, min(now, self.granted_until) - self.saved_at)
        self.saved = min(self._most_saved(), self.saved + span_s * self.granted_per_s)
        self.saved_at = now
        if now >= self.granted_until:
            self.saved = 0.0


class QuotaCharge(Protocol):
    """One operation that was counted."""

    def refund(self) -> None:
        """Uncount it, as it reached no database."""


@dataclass(frozen=True)
class _LocalCharge:
    table: "QuotaTable"
    workspace: WorkspaceId
    # When it was counted in the own part; None if a grant was spent.
    counted_at: float | None

    def refund(self) -> None:
        self.table.refund(self)


class QuotaTable:
    """Admits operations by workspace.

    Parameters
    ----------
    rules : QuotaRules
        How requests are counted.
    clock : Clock
        Source of time.
    """

    def __init__(self, rules: QuotaRules, clock: Clock) -> None:
        self._rules = rules
        self._clock = clock
        self._lock = threading.Lock()
        self._windows: dict[WorkspaceId, _Window] = {}
        self._started_at = clock.monotonic()

    def admit(self, limit: Workspace, instances: int) -> Result[QuotaCharge, RateExceeded]:
        """Count one operation, or refuse it with the time to come back.

        The operators count what reaches a database; give an admission back if that
        never happened.

        Parameters
        ----------
        limit : Workspace
            The workspace and its rate.
        instances : int
            Instances that may admit requests now.
        """
        now = self._clock.monotonic()
        part = self._rules.own_part(limit, instances)
        even_rate = part / self._rules.window_s
        with self._lock:
            window = self._window(limit.workspace, even_rate)
            window.ask(now)
            if window.spend(now):
                return Ok(_LocalCharge(self, limit.workspace, None))
            while window.admitted and window.admitted[0] <= now - self._rules.window_s:
                window.admitted.popleft()
            wait_s = self._wait_s(window, part, even_rate, now)
            if wait_s <= 0:
                window.admitted.append(now)
                return Ok(_LocalCharge(self, limit.workspace, now))
        return Err(
            RateExceeded(
                f"{len(window.admitted)} operations in {self._rules.window_s} s, part {part:.1f}",
                place=limit.workspace,
                retry_after_ms=max(1, round(wait_s * MS_PER_S)),
            )
        )

    def refund(self, charge: _LocalCharge) -> None:
        """Uncount an operation that reached no database."""
        with self._lock:
            window = self._windows[charge.workspace]
            if charge.counted_at is None:
                window.saved += 1
            elif charge.counted_at in window.admitted:
                window.admitted.remove(charge.counted_at)
                window.credit += 1

    def _window(self, workspace: WorkspaceId, even_rate: float) -> _Window:
        window = self._windows.get(workspace)
        if window is None:
            credit = max(1.0, even_rate * START_CREDIT_S)
            window = _Window(credit, self._clock.monotonic())
            self._windows[workspace] = window
        return window

    def demands(self) -> dict[WorkspaceId, float]:
        """Give what was asked for lately, in operations a second."""
        now = self._clock.monotonic()
        with self._lock:
            return {
                name: found
                for name, window in self._windows.items()
                if (found := window.demand(now)) >= LEAST_DEMAND_PER_S
            }

    def take_grants(self, grants: dict[WorkspaceId, float], until: float) -> None:
        """Use the keeper's grants until a time, in clock readings."""
        now = self._clock.monotonic()
        with self._lock:
            for workspace, per_s in grants.items():
                if workspace in self._windows:
                    self._windows[workspace].take_grant(per_s, until, now)

    def _wait_s(self, window: _Window, part: float, even_rate: float, now: float) -> float:
        excess = len(window.admitted) + 1 - part
        if excess > 0:
            if not window.admitted:
                return self._rules.window_s
            place = min(len(window.admitted), int(excess) + 1) - 1
            return window.admitted[place] + self._rules.window_s - now
        if now - self._started_at > self._rules.window_s:
            return 0.0
        since = self._started_at if window.credited_at is None else window.credited_at
        window.credit += (now - since) * even_rate
        window.credited_at = now
        if window.credit < 1:
            return (1 - window.credit) / max(even_rate, 1e-6)
        window.credit -= 1
        return 0.0
