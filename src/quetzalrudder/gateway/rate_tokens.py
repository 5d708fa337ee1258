"""Rates of a large fleet: one instance answers for each workspace, and is asked at need.

Answers the load of many small workspaces whose callers are spread over many instances: an
equal part of such a rate is less than one operation, and the demand at one instance comes
too seldom to be forecast. The keeper of a workspace holds its whole rate in a bucket. A new
keeper starts with an empty one, so that all buckets together never admit more than one.
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

# A new keeper waits until the others have seen the change too; a watch of the store is
# answered within milliseconds, and asked again after at most 0.3 s.
HANDOVER_S = 1.0
# Many times a call within a region.
ASK_TIMEOUT_S = 0.3
# Instances to ask: the views of two may differ while one joins or leaves.
MAX_ASKED = 3
# A rate of almost nothing has no useful time to come back.
LONGEST_WAIT_S = 60.0
# When to come back if no keeper answered: by then another one may have taken over.
NO_RATE_OWNER_RETRY_MS = 500


@dataclass
class _Bucket:
    tokens: float
    at: float


class TokenBuckets:
    """The buckets that this instance answers for.

    Parameters
    ----------
    rules : QuotaRules
        How the operators count.
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(self, rules: QuotaRules, clock: Clock) -> None:
        self._rules = rules
        self._clock = clock
        self._lock = threading.Lock()
        # Since when this instance answers for a workspace.
        self._since: dict[WorkspaceId, float] = {}
        self._buckets: dict[WorkspaceId, _Bucket] = {}

    def assign(self, workspaces: set[WorkspaceId]) -> None:
        """Say which workspaces this instance answers for now."""
        now = self._clock.monotonic()
        with self._lock:
            for name in self._since.keys() - workspaces:
                del self._since[name]
                self._buckets.pop(name, None)
            for name in workspaces - self._since.keys():
                self._since[name] = now

    def take(self, limit: Workspace, part: float) -> float | None:
        """Take a token; gives the seconds to wait for one, 0 if it was had.

        Parameters
        ----------
        limit : Workspace
            The workspace and its rate.
        part : float
            Part of the fleet that this instance can answer for.

        Returns
        -------
        float or None
            None if this instance does not answer for the workspace.
        """
        now = self._clock.monotonic()
        with self._lock:
            since = self._since.get(limit.workspace)
            if since is None or now < since + HANDOVER_S:
                return None
            rate_per_s = limit.rate_per_s * part
            bucket = self._buckets.setdefault(limit.workspace, _Bucket(0.0, since + HANDOVER_S))
            refilled = bucket.tokens + (now - bucket.at) * rate_per_s
            bucket.tokens = min(self._rules.bucket_size(limit) * part, refilled)
            bucket.at = now
            if bucket.tokens >= 1:
                bucket.tokens -= 1
                return 0.0
            return (1 - bucket.tokens) / max(rate_per_s, 1e-6)

    def refund(self, workspace: WorkspaceId) -> None:
        """Put a token back that was not used; the next refill bounds it."""
        with self._lock:
            bucket = self._buckets.get(workspace)
            if bucket is not None:
                bucket.tokens += 1


class TokenCaller(Protocol):
    """Asks another instance for a token."""

    def take_token(
        self, address: str, req: TokenRequest, timeout_s: float
    ) -> Result[TokenReply, QuetzalrudderError]:
        """Send a request and give the answer."""


class RateLimiter:
    """Admits operations: by own parts in a small fleet, by the keepers in a large one.

    Parameters
    ----------
    own : InstanceId
        This instance.
    view : FleetView
        The fleet.
    rules : QuotaRules
        How the operators count.
    quotas : QuotaTable
        Own parts of the rates.
    caller : TokenCaller
        Reaches other instances.
    limits : Callable
        Gives the workspaces and their rates.
    partition_fraction : Callable
        Gives the part of the fleet that this instance may answer for; 0 if it may not.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        own: InstanceId,
        view: FleetView,
        rules: QuotaRules,
        quotas: QuotaTable,
        caller: TokenCaller,
        limits: Callable[[], dict[WorkspaceId, Workspace]],
        partition_fraction: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._own = own
        self._view = view
        self._quotas = quotas
        self._caller = caller
        self._limits = limits
        self._partition_fraction = partition_fraction
        self.buckets = TokenBuckets(rules, clock)
        self._avoided = AvoidedInstances(clock)

    def admit(self, limit: Workspace) -> Result[QuotaCharge, RateExceeded]:
        """Count one operation, or refuse it with the time to come back."""
        if not self._view.is_large:
            return self._quotas.admit(limit, self._view.size)
        rate_owners = self._avoided.order_last(self._view.ranked(limit.workspace)[:MAX_ASKED])
        for rate_owner in rate_owners:
            reply = self._ask(rate_owner, limit.workspace)
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
        asked = ", ".join(record.instance for record in rate_owners) or "nobody"
        reason = f"no keeper of the rate answered; asked {asked}"
        return Err(
            RateExceeded(reason, place=limit.workspace, retry_after_ms=NO_RATE_OWNER_RETRY_MS)
        )

    def _ask(
        self, rate_owner: RosterRecord, workspace: WorkspaceId, *, gives_back: bool = False
    ) -> TokenReply | None:
        req = TokenRequest(workspace=workspace, gives_back=gives_back)
        if rate_owner.instance == self._own:
            return self.answer(req)
        result = self._caller.take_token(rate_owner.address, req, ASK_TIMEOUT_S)
        if isinstance(result, Ok):
            self._avoided.discard(rate_owner.instance)
            return result.ok_value
        self._avoided.add(rate_owner.instance)
        log.warning(
            "keeper of a rate not reached",
            extra={
                "peer": rate_owner.instance,
                "workspace": workspace,
                "reason": str(result.err_value),
            },
        )
        return None

    def refund(self, rate_owner: RosterRecord, workspace: WorkspaceId) -> None:
        """Return a token to the keeper that gave it."""
        self._ask(rate_owner, workspace, gives_back=True)

    def answer(self, req: TokenRequest) -> TokenReply:
        """Answer another instance."""
        workspace = WorkspaceId(req.workspace)
        if req.gives_back:
            self.buckets.refund(workspace)
            return TokenReply(keeper=True)
        limit = self._limits().get(workspace)
        part = self._partition_fraction()
        if limit is None or part <= 0:
            return TokenReply(keeper=False)
        wait_s = self.buckets.take(limit, part)
        if wait_s is None:
            return TokenReply(keeper=False)
        return TokenReply(
            keeper=True,
            admitted=wait_s == 0,
            wait_ms=math.ceil(min(wait_s, LONGEST_WAIT_S) * MS_PER_S),
        )

    def refresh(self) -> None:
        """Find out what this instance answers for; called several times a second."""
        if not self._view.is_large:
            self.buckets.assign(set())
            return
        self.buckets.assign({name for name in self._limits() if self._is_first(name)})

    def _is_first(self, workspace: WorkspaceId) -> bool:
        ranked = self._view.ranked(workspace)
        return bool(ranked) and ranked[0].instance == self._own


@dataclass(frozen=True)
class _TokenCharge:
    """A token that a keeper gave."""

    limiter: RateLimiter
    workspace: WorkspaceId
    rate_owner: RosterRecord

    def refund(self) -> None:
        """Return it, as the operation reached no database."""
        self.limiter.refund(self.rate_owner, self.workspace)
