"""Divides each workspace's rate among all instances, without a call for most operations.

Serves fleets in which one workspace sends many times its rate through every instance. A part
of each rate is divided equally among the instances, which admit operations from it without a
call. The rest is pooled at one instance, the rate owner, for callers that reach the instances
unevenly. All parts are token buckets that start almost empty, so that the limit holds also if
instances cannot reach each other or are all restarted at once.
"""

import threading
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.exceptions import RateExceeded
from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.models import WorkspaceId
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = [
    "START_CREDIT_S",
    "QuotaCharge",
    "QuotaRules",
    "QuotaTable",
    "TokenBucket",
    "TokenRate",
]

# Fraction of the limit that is used; the rest covers operations that are sent in one
# window and arrive in the next.
SAFETY_FACTOR = 0.9
# Tokens of a bucket whose process was replaced, in seconds of its rate. The former process may
# have emptied the bucket; it takes 0.25 s or more until the next one serves, and the rest is
# less than what SAFETY_FACTOR leaves of a window.
START_CREDIT_S = 0.8
# Fraction of each rate that is divided among the instances; the rate owner has the rest.
LOCAL_FRACTION = 0.5
# Smallest useful capacity of an instance's bucket. If the parts would be smaller, the rate
# owner has the whole rate.
MIN_LOCAL_CAPACITY = 1.0
# Smallest rate in calculations of waiting times.
MIN_RATE_PER_S = 1e-6


@dataclass(frozen=True)
class TokenRate:
    """Rate at which tokens are issued, and the number of unused tokens that are kept."""

    per_s: float
    capacity: float

    def scale(self, factor: float) -> "TokenRate":
        """Return a part of this rate."""
        return TokenRate(self.per_s * factor, self.capacity * factor)


class TokenBucket:
    """Tokens of one rate, each of which admits one operation.

    Parameters
    ----------
    tokens : float
        Tokens at the start.
    now : float
        Clock reading at the start, in seconds.
    """

    def __init__(self, tokens: float, now: float) -> None:
        self.tokens = tokens
        self._refilled_at = now

    def take(self, rate: TokenRate, now: float) -> float:
        """Take a token; return 0, or the seconds until one is available."""
        refilled = self.tokens + max(0.0, now - self._refilled_at) * rate.per_s
        # A bucket of less than one token would never admit an operation.
        self.tokens = min(max(1.0, rate.capacity), refilled)
        self._refilled_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0.0
        return (1 - self.tokens) / max(rate.per_s, MIN_RATE_PER_S)

    def put_back(self) -> None:
        """Put back a token that was not used; the next refill enforces the capacity."""
        self.tokens += 1


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

    def fleet_rate(self, limit: Workspace) -> TokenRate:
        """Return the token rate of the whole fleet, whose bucket holds the workspace's burst.

        A full bucket and the tokens issued in a window add up to the limit of the window.
        """
        window_limit = self.window_limit(limit)
        # A large burst is cut before the sustained rate is.
        spare = window_limit - limit.rate_per_s * self.window_s
        capacity = max(1.0, min(limit.burst, spare))
        return TokenRate((window_limit - capacity) / self.window_s, capacity)

    def divide(self, rate: TokenRate, count: int) -> TokenRate:
        """Return one of several equal parts of a rate, each with room for one token.

        The parts together issue no more in a window than the whole.
        """
        capacity = max(MIN_LOCAL_CAPACITY, rate.capacity / count)
        surplus = capacity * count - rate.capacity
        return TokenRate(max(0.0, rate.per_s - surplus / self.window_s) / count, capacity)

    def initial_tokens(self, limit: Workspace, rate: TokenRate) -> float:
        """Return the tokens of a process that has just started, for its part of a rate."""
        return rate.per_s * START_CREDIT_S

    def local_rate(self, limit: Workspace, instance_count: int) -> TokenRate:
        """Return the part of the rate that each instance admits without a call."""
        part = self.fleet_rate(limit).scale(LOCAL_FRACTION / max(1, instance_count))
        return part if part.capacity >= MIN_LOCAL_CAPACITY else TokenRate(0.0, 0.0)

    def pooled_rate(self, limit: Workspace, instance_count: int) -> TokenRate:
        """Return the part of the rate that the rate owner hands out."""
        fleet = self.fleet_rate(limit)
        divided = self.local_rate(limit, instance_count).scale(max(1, instance_count))
        return TokenRate(fleet.per_s - divided.per_s, fleet.capacity - divided.capacity)


class QuotaCharge(Protocol):
    """One operation that was charged to the rate of its workspace."""

    def refund(self) -> None:
        """Cancel the charge, as the operation reached no database."""


@dataclass(frozen=True)
class _LocalCharge:
    table: "QuotaTable"
    workspace: WorkspaceId

    def refund(self) -> None:
        self.table.refund(self.workspace)


class QuotaTable:
    """Admits operations within this instance's part of each workspace's rate.

    Parameters
    ----------
    rules : QuotaRules
        How the operators count operations.
    clock : Clock
        Source of time; it must advance while the machine is suspended.
    """

    def __init__(self, rules: QuotaRules, clock: Clock) -> None:
        self._rules = rules
        self._clock = clock
        self._lock = threading.Lock()
        self._buckets: dict[WorkspaceId, TokenBucket] = {}
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
        rate = self._rules.local_rate(limit, instance_count)
        if rate.per_s <= 0:
            return Err(RateExceeded("no part of the rate is local", place=limit.workspace))
        with self._lock:
            bucket = self._buckets.setdefault(
                limit.workspace,
                TokenBucket(self._rules.initial_tokens(limit, rate), self._started_at),
            )
            wait_s = bucket.take(rate, self._clock.monotonic())
        if wait_s == 0:
            return Ok(_LocalCharge(self, limit.workspace))
        return Err(
            RateExceeded(
                f"this instance's part of the rate, {rate.per_s:.1f}/s, is used up",
                place=limit.workspace,
                retry_after_ms=max(1, round(wait_s * MS_PER_S)),
            )
        )

    def refund(self, workspace: WorkspaceId) -> None:
        """Cancel the charge of an operation that reached no database."""
        with self._lock:
            self._buckets[workspace].put_back()
