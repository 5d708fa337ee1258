"""Rate limits of a large fleet: one instance owns each workspace's rate and hands out tokens.

Serves many small workspaces whose callers are spread over many instances: an equal share of
such a rate is less than one operation, and operations at one instance are too rare to
forecast the demand. The rate owner of a workspace holds its whole rate in a token bucket. A
new owner starts with an empty bucket, so that successive buckets never admit more than a
single one.
"""

import logging
import math
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError, RateExceeded
from quetzalrudder.gateway.assignments import AvoidedInstances, FleetView
from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.gateway.quotas import QuotaCharge, QuotaRules, QuotaTable
from quetzalrudder.models import InstanceId, WorkspaceId
from quetzalrudder.schema.gateway import TokenReply, TokenRequest
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["RateLimiter", "TokenCaller", "TokenBuckets"]

log = logging.getLogger(__name__)

# A new rate owner hands out nothing until the others have seen the change too. A watch of
# the store reports it within milliseconds, and is repeated after at most 0.3 s.
HANDOVER_DELAY_S = 1.0
# Many times the duration of a call within a region.
TOKEN_TIMEOUT_S = 0.3
# Instances tried for one token: while one joins or leaves, two may see different rate owners.
MAX_RATE_OWNERS_TRIED = 3
# Upper bound of the retry delay, which would be uselessly long for a rate near zero.
MAX_RETRY_AFTER_S = 60.0
# Retry delay if no rate owner answered; by then another one may have taken over.
NO_RATE_OWNER_RETRY_MS = 500


@dataclass
class _Bucket:
    tokens: float
    refilled_at: float


class TokenBuckets:
    """The token buckets of the workspaces whose rates this instance owns.

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
        # When this instance became the rate owner of a workspace.
        self._owned_since: dict[WorkspaceId, float] = {}
        self._buckets: dict[WorkspaceId, _Bucket] = {}

    def set_owned_workspaces(self, workspaces: set[WorkspaceId]) -> None:
        """Set the workspaces whose rates this instance owns now."""
        now = self._clock.monotonic()
        with self._lock:
            for name in self._owned_since.keys() - workspaces:
                del self._owned_since[name]
                self._buckets.pop(name, None)
            for name in workspaces - self._owned_since.keys():
                self._owned_since[name] = now

    def take(self, limit: Workspace, fraction: float) -> float | None:
        """Take a token if there is one.

        Parameters
        ----------
        limit : Workspace
            The workspace and its rate.
        fraction : float
            Fraction of the rate that this instance may hand out.

        Returns
        -------
        float or None
            Seconds until the next token, 0 if one was taken; None if this instance does not
            hand out tokens of the workspace.
        """
        now = self._clock.monotonic()
        with self._lock:
            since = self._owned_since.get(limit.workspace)
            if since is None or now < since + HANDOVER_DELAY_S:
                return None
            rate_per_s = limit.rate_per_s * fraction
            bucket = self._buckets.setdefault(
                limit.workspace, _Bucket(0.0, since + HANDOVER_DELAY_S)
            )
            refilled = bucket.tokens + (now - bucket.refilled_at) * rate_per_s
            bucket.tokens = min(self._rules.bucket_size(limit) * fraction, refilled)
            bucket.refilled_at = now
            if bucket.tokens >= 1:
                bucket.tokens -= 1
                return 0.0
            return (1 - bucket.tokens) / max(rate_per_s, 1e-6)

    def refund(self, workspace: WorkspaceId) -> None:
        """Put back a token that was not used; the next refill enforces the bucket's size."""
        with self._lock:
            bucket = self._buckets.get(workspace)
            if bucket is not None:
                bucket.tokens += 1


class TokenCaller(Protocol):
    """Requests tokens from other instances."""

    def take_token(
        self, address: str, req: TokenRequest, timeout_s: float
    ) -> Result[TokenReply, QuetzalrudderError]:
        """Send a request and return the answer."""


class RateLimiter:
    """Admits operations: by local shares in a small fleet, by rate owners in a large one.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    view : FleetView
        The fleet.
    rules : QuotaRules
        How the operators count operations.
    quotas : QuotaTable
        Local shares of the rates.
    caller : TokenCaller
        Reaches other instances.
    workspaces : Callable
        Returns the workspaces and their rates.
    usable_fraction : Callable
        Returns the fraction of each owned rate that this instance may hand out; 0 if none.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        view: FleetView,
        rules: QuotaRules,
        quotas: QuotaTable,
        caller: TokenCaller,
        workspaces: Callable[[], dict[WorkspaceId, Workspace]],
        usable_fraction: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._view = view
        self._quotas = quotas
        self._caller = caller
        self._workspaces = workspaces
        self._usable_fraction = usable_fraction
        self.buckets = TokenBuckets(rules, clock)
        self._avoided = AvoidedInstances(clock)

    def admit(self, limit: Workspace) -> Result[QuotaCharge, RateExceeded]:
        """Charge one operation, or return an error with the delay before a retry."""
        if not self._view.is_large:
            return self._quotas.admit(limit, self._view.size)
        rate_owners = self._avoided.order_last(
            self._view.ranked(limit.workspace)[:MAX_RATE_OWNERS_TRIED]
        )
        for rate_owner in rate_owners:
            reply = self._request_token(rate_owner, limit.workspace)
            if reply is None or not reply.keeper:
                continue
            if reply.admitted:
                return Ok(_TokenCharge(self, limit.workspace, rate_owner))
            return Err(
                RateExceeded(
                    "rate and burst are used up",
                    place=limit.workspace,
                    retry_after_ms=max(1, reply.wait_ms),
                )
            )
        tried = ", ".join(record.instance for record in rate_owners) or "no instance"
        reason = f"no owner of the workspace's rate answered; tried {tried}"
        return Err(
            RateExceeded(reason, place=limit.workspace, retry_after_ms=NO_RATE_OWNER_RETRY_MS)
        )

    def _request_token(
        self, rate_owner: RosterRecord, workspace: WorkspaceId, *, refund: bool = False
    ) -> TokenReply | None:
        req = TokenRequest(workspace=workspace, gives_back=refund)
        if rate_owner.instance == self._instance:
            return self.answer(req)
        result = self._caller.take_token(rate_owner.address, req, TOKEN_TIMEOUT_S)
        if isinstance(result, Ok):
            self._avoided.discard(rate_owner.instance)
            return result.ok_value
        self._avoided.add(rate_owner.instance)
        log.warning(
            "rate owner not reached",
            extra={
                "peer": rate_owner.instance,
                "workspace": workspace,
                "reason": str(result.err_value),
            },
        )
        return None

    def refund(self, rate_owner: RosterRecord, workspace: WorkspaceId) -> None:
        """Return a token to the rate owner that issued it."""
        self._request_token(rate_owner, workspace, refund=True)

    def answer(self, req: TokenRequest) -> TokenReply:
        """Answer another instance's request for a token, or take one back from it."""
        workspace = WorkspaceId(req.workspace)
        if req.gives_back:
            self.buckets.refund(workspace)
            return TokenReply(keeper=True)
        limit = self._workspaces().get(workspace)
        fraction = self._usable_fraction()
        if limit is None or fraction <= 0:
            return TokenReply(keeper=False)
        wait_s = self.buckets.take(limit, fraction)
        if wait_s is None:
            return TokenReply(keeper=False)
        return TokenReply(
            keeper=True,
            admitted=wait_s == 0,
            wait_ms=math.ceil(min(wait_s, MAX_RETRY_AFTER_S) * MS_PER_S),
        )

    def refresh_ownership(self) -> None:
        """Update the set of owned workspaces; called several times a second."""
        if not self._view.is_large:
            self.buckets.set_owned_workspaces(set())
            return
        self.buckets.set_owned_workspaces(
            {name for name in self._workspaces() if self._owns_rate(name)}
        )

    def _owns_rate(self, workspace: WorkspaceId) -> bool:
        ranked = self._view.ranked(workspace)
        return bool(ranked) and ranked[0].instance == self._instance


@dataclass(frozen=True)
class _TokenCharge:
    """A token that a rate owner issued."""

    limiter: RateLimiter
    workspace: WorkspaceId
    rate_owner: RosterRecord

    def refund(self) -> None:
        """Return the token, as the operation reached no database."""
        self.limiter.refund(self.rate_owner, self.workspace)
