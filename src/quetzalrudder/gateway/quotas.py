"""Holds each workspace to its rate over all instances, without a call for each request.

Answers the load of one workspace that sends many times its rate through every instance.
Each instance admits at most its part of what the fleet may run in a window; the parts add
up to the limit, so it holds also for instances that cannot reach each other.
"""

import threading
from collections import deque
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.exceptions import RateExceeded
from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.models import WorkspaceId
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["QuotaRules", "QuotaTable"]

# Kept back for requests that are sent in one window and arrive in the next.
SAFETY = 0.9
# Requests that a new instance may admit at once, in seconds of its even rate.
START_CREDIT_S = 0.3


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


class _Window:
    """The admissions of one workspace at this instance."""

    def __init__(self, credit: float) -> None:
        self.admitted: deque[float] = deque()
        # Evens out the first window, as a predecessor may have used up the same part.
        self.credit = credit
        self.credited_at: float | None = None


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

    def admit(self, limit: Workspace, instances: int) -> Result[None, RateExceeded]:
        """Count one operation, or refuse it with the time to come back.

        Parameters
        ----------
        limit : Workspace
            The workspace and its rate.
        instances : int
            Instances that may admit requests now.
        """
        now = self._clock.monotonic()
        part = self._rules.allowed(limit) / max(1, instances)
        even_rate = part / self._rules.window_s
        with self._lock:
            window = self._windows.setdefault(
                limit.workspace, _Window(max(1.0, even_rate * START_CREDIT_S))
            )
            while window.admitted and window.admitted[0] <= now - self._rules.window_s:
                window.admitted.popleft()
            wait_s = self._wait_s(window, part, even_rate, now)
            if wait_s <= 0:
                window.admitted.append(now)
                return Ok(None)
        return Err(
            RateExceeded(
                f"{len(window.admitted)} operations in {self._rules.window_s} s, part {part:.1f}",
                place=limit.workspace,
                retry_after_ms=max(1, round(wait_s * MS_PER_S)),
            )
        )

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
