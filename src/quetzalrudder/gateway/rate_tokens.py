"""Hands out tokens of each workspace's rate at one instance, its rate owner.

Serves workspaces whose callers are spread unevenly over the instances, or over so many that
an equal part of the rate would be less than one operation. What is not divided among the
instances lies in token buckets, one for each data centre, each held by one instance. When the
ownership moves, the tokens move with it if the former owner answers; otherwise the new owner waits
and starts with an empty bucket. So successive buckets admit no more than a single one. An owner
that did not answer is called in the background until it does: no operation waits for it meanwhile.
"""

import logging
import math
from collections.abc import Callable
from concurrent.futures import Executor
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    QuetzalrudderError,
    RateExceeded,
    RateOwnerUnknown,
    TargetUnavailable,
)
from quetzalrudder.gateway.assignments import FleetView
from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.gateway.quotas import (
    QuotaCharge,
    QuotaRules,
    QuotaTable,
)
from quetzalrudder.gateway.rate_owner_calls import RateOwnerCalls
from quetzalrudder.gateway.rate_parts import RateDivision, RatePart
from quetzalrudder.gateway.token_buckets import HANDOVER_DELAY_S, TokenBuckets
from quetzalrudder.gateway.token_caller import TOKEN_TIMEOUT_S, TokenCaller
from quetzalrudder.models import DataCentre, InstanceId, WorkspaceId
from quetzalrudder.schema.gateway import (
    TakeOverReply,
    TakeOverRequest,
    TokenReply,
    TokenRequest,
    WorkspaceTokens,
)
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["RateLimiter"]

log = logging.getLogger(__name__)

# Instances tried for one token: while one joins or leaves, two may see different rate owners.
MAX_RATE_OWNERS_TRIED = 3
# Longest search for a part with a token, after an owner that did not answer.
MAX_SEARCH_S = 0.3
# Upper bound of the retry delay, which would be uselessly long for a rate near zero.
MAX_RETRY_AFTER_S = 60.0
# Retry delay if no rate owner answered; by then another one may have taken over.
NO_RATE_OWNER_RETRY_MS = 500
# Interval between two searches for a workspace's rate owner that find none.
OWNER_SEARCH_INTERVAL_S = 0.03


class RateLimiter:
    """Admits operations from this instance's part of a rate, then with the rate owner's tokens.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    view : FleetView
        The fleet.
    division : RateDivision
        Into which parts the rates are divided, and who may own each.
    rules : QuotaRules
        How the operators count operations.
    caller : TokenCaller
        Reaches other instances.
    workspaces : Callable
        Returns the workspaces and their rates.
    usable_fraction : Callable
        Returns the fraction of each owned part that this instance may hand out, given the part's
        data centre; 0 if none.
    lease_opened_at : Callable
        Returns when this instance's member lease was opened; None without one. While there
        was no lease, other instances may have taken over what this one owned.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        view: FleetView,
        division: RateDivision,
        rules: QuotaRules,
        caller: TokenCaller,
        workspaces: Callable[[], dict[WorkspaceId, Workspace]],
        usable_fraction: Callable[[DataCentre | None], float],
        lease_opened_at: Callable[[], float | None],
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._view = view
        self._division = division
        self._rules = rules
        self._caller = caller
        self._workspaces = workspaces
        self._usable_fraction = usable_fraction
        self._lease_opened_at = lease_opened_at
        # Opening time of the lease under which rates were taken over.
        self._owned_under: float | None = None
        self._clock = clock
        self._local = QuotaTable(rules, clock)
        self.buckets = TokenBuckets(clock)
        self._calls = RateOwnerCalls(view, caller, clock)
        # Until when the owner of a part has no token.
        self._refused_until: dict[RatePart, float] = {}
        # Until when the owner of a part is not looked for again after a search without result.
        self._next_search: dict[RatePart, float] = {}
        # The part from which a workspace's latest token came.
        self._latest_part: dict[WorkspaceId, RatePart] = {}
        # Tokens that former owners have passed on, until all of them have answered.
        self._received_tokens: dict[str, float] = {}
        self._started_at = clock.monotonic()

    def admit(self, limit: Workspace, wait_until: float = 0.0) -> Result[QuotaCharge, RateExceeded]:
        """Charge one operation, or return an error with the delay before a retry.

        Right after its start, when all rates may be changing their owners, this instance waits
        for the owner. It is known soon, and callers within their rate need not return.

        Parameters
        ----------
        limit : Workspace
            The workspace and its rate.
        wait_until : float, optional
            Clock reading until which the operation may wait.
        """
        wait_until = min(wait_until, self._started_at + HANDOVER_DELAY_S)
        while True:
            admitted = self._admit_now(limit)
            if isinstance(admitted, Ok) or not isinstance(admitted.err_value, RateOwnerUnknown):
                return admitted
            if self._clock.monotonic() + OWNER_SEARCH_INTERVAL_S >= wait_until:
                return admitted
            self._clock.sleep(OWNER_SEARCH_INTERVAL_S)

    def _admit_now(self, limit: Workspace) -> Result[QuotaCharge, RateExceeded]:
        local = self._local.admit(limit, self._view.size)
        if isinstance(local, Ok):
            return local
        pooled = self._find_token(limit)
        if isinstance(pooled, Err) and local.err_value.retry_after_ms:
            pooled.err_value.retry_after_ms = min(
                pooled.err_value.retry_after_ms, local.err_value.retry_after_ms
            )
        return pooled

    def _find_token(self, limit: Workspace) -> Result[QuotaCharge, RateExceeded]:
        """Take a token of the first part that has one.

        Of the parts of other data centres, the one that had a token last comes first.
        """
        own, *others = self._division.parts(limit)
        latest = self._latest_part.get(limit.workspace)
        others.sort(key=lambda part: part != latest)
        wait_s = math.inf
        unknown: RateOwnerUnknown | None = None
        search_until = self._clock.monotonic() + MAX_SEARCH_S
        for part in [own, *others]:
            if unknown is not None and self._clock.monotonic() >= search_until:
                break
            result = self._take_token(part)
            if isinstance(result, Ok):
                self._latest_part[limit.workspace] = part
                return result
            if isinstance(result.err_value, RateOwnerUnknown):
                unknown = result.err_value
            else:
                wait_s = min(wait_s, result.err_value.retry_after_ms / MS_PER_S)
        # Tokens may be left in a part that this instance does not reach.
        return Err(unknown or _rate_exceeded(limit.workspace, wait_s))

    def _take_token(self, part: RatePart) -> Result[QuotaCharge, RateExceeded]:
        """Take a token of a part, unless its owner has none or was not found just now."""
        now = self._clock.monotonic()
        refused_s = self._refused_until.get(part, 0.0) - now
        if refused_s > 0:
            return Err(_rate_exceeded(part.workspace, refused_s))
        if now < self._next_search.get(part, 0.0):
            return Err(_rate_owner_unknown(part, "no instance, as a search has just failed"))
        if self._calls.is_silent(part.data_centre):
            return Err(_rate_owner_unknown(part, "no instance, as the data centre is silent"))
        result = self._request_from_owner(part)
        if isinstance(result, Err):
            exc, now = result.err_value, self._clock.monotonic()
            if isinstance(exc, RateOwnerUnknown):
                self._next_search[part] = now + OWNER_SEARCH_INTERVAL_S
            else:
                self._refused_until[part] = now + exc.retry_after_ms / MS_PER_S
        return result

    def _request_from_owner(self, part: RatePart) -> Result[QuotaCharge, RateExceeded]:
        rate_owners = self._division.ranked_owners(part)[:MAX_RATE_OWNERS_TRIED]
        for rate_owner in rate_owners:
            if not self._calls.expects_answer(rate_owner.instance):
                continue
            requested = self._request_token(rate_owner, _token_request(part))
            if isinstance(requested, Err):
                if isinstance(requested.err_value, TargetUnavailable):
                    continue
                # The owner did not answer in time; another one takes over only after its
                # record has expired.
                break
            reply = requested.ok_value
            if not reply.keeper:
                continue
            if reply.admitted:
                return Ok(_TokenCharge(self, part, rate_owner))
            return Err(_rate_exceeded(part.workspace, reply.wait_ms / MS_PER_S))
        tried = ", ".join(record.instance for record in rate_owners) or "no instance"
        return Err(_rate_owner_unknown(part, tried))

    def _request_token(
        self, rate_owner: RosterRecord, req: TokenRequest
    ) -> Result[TokenReply, QuetzalrudderError]:
        if rate_owner.instance == self._instance:
            return Ok(self.answer(req))
        return self._calls.request(rate_owner, req)

    def refund(self, rate_owner: RosterRecord, part: RatePart) -> None:
        """Return a token to the rate owner that issued it, unless that does not answer."""
        if self._calls.expects_answer(rate_owner.instance):
            self._request_token(rate_owner, _token_request(part, gives_back=True))

    def answer(self, req: TokenRequest) -> TokenReply:
        """Answer another instance's request for a token, or take one back from it."""
        workspace = WorkspaceId(req.workspace)
        part = RatePart(workspace, DataCentre(req.data_centre) if req.data_centre else None)
        if req.gives_back:
            self.buckets.refund(part.name)
            return TokenReply(keeper=True)
        self._drop_rates_of_earlier_lease()
        limit = self._workspaces().get(workspace)
        fraction = self._usable_fraction(part.data_centre)
        if limit is None or fraction <= 0:
            return TokenReply(keeper=False)
        rate = self._division.token_rate(limit, part).scale(fraction)
        wait_s = self.buckets.take(part.name, rate)
        if wait_s is None:
            return TokenReply(keeper=False)
        return TokenReply(
            keeper=True,
            admitted=wait_s == 0,
            wait_ms=math.ceil(min(wait_s, MAX_RETRY_AFTER_S) * MS_PER_S),
        )

    def answer_take_over(self, req: TakeOverRequest) -> TakeOverReply:
        """Hand out no more tokens of the parts that another instance owns from now on."""
        ceded = {name: self.buckets.cede(name) for name in req.workspaces}
        return TakeOverReply(
            tokens=[
                WorkspaceTokens(workspace=name, tokens=tokens)
                for name, tokens in ceded.items()
                if tokens is not None
            ]
        )

    def refresh_ownership(self, executor: Executor) -> None:
        """Update the set of owned parts; called several times a second.

        Parameters
        ----------
        executor : Executor
            Runs the calls to the instances that have not answered earlier ones.
        """
        self._calls.try_unanswering(executor)
        self._drop_rates_of_earlier_lease()
        parts = self._division.owned_by(self._instance, self._workspaces())
        unconfirmed = self.buckets.set_owned(set(parts))
        if unconfirmed:
            # Repeated until all have answered, as a peer may be about to start.
            self._take_over([parts[name] for name in sorted(unconfirmed)])

    def _drop_rates_of_earlier_lease(self) -> None:
        opened_at = self._lease_opened_at()
        if opened_at is None or opened_at == self._owned_under:
            return
        if self._owned_under is not None:
            self.buckets.set_owned(set())
        # Before the first lease, this instance handed out nothing.
        self._owned_under = opened_at

    def unreached(self) -> frozenset[InstanceId]:
        """Return the live instances that do not answer this one's calls."""
        return self._calls.unreached()

    def _take_over(self, parts: list[RatePart]) -> None:
        """Take over parts at once where all instances that may have owned them agree."""
        former_owners = {part: self._former_owners(part) for part in parts}
        asked: dict[InstanceId, tuple[RosterRecord, set[str]]] = {}
        for claims in former_owners.values():
            for name, record in claims:
                asked.setdefault(record.instance, (record, set()))[1].add(name)
        peers = list(asked)
        requests = [
            (record.address, TakeOverRequest(workspaces=sorted(names)))
            for record, names in asked.values()
        ]
        replies = {
            peers[index]: result.ok_value
            for index, result in self._caller.take_over_all(requests, TOKEN_TIMEOUT_S)
            if isinstance(result, Ok)
        }
        for reply in replies.values():
            for item in reply.tokens:
                received = self._received_tokens.get(item.workspace, 0.0)
                self._received_tokens[item.workspace] = received + item.tokens
        confirmed = [
            part
            for part, claims in former_owners.items()
            if all(record.instance in replies for _, record in claims)
        ]
        for part in confirmed:
            received = self._received_tokens.pop(part.name, None)
            tokens = self._initial_tokens(part) if received is None else received
            self.buckets.take_over(part.name, tokens)
        log.info(
            "rates taken over",
            extra={
                "parts": len(parts),
                "confirmed": len(confirmed),
                "asked": sorted(peers),
                "answered": sorted(replies),
            },
        )

    def _former_owners(self, part: RatePart) -> list[tuple[str, RosterRecord]]:
        """Return the instances that may have owned a part before this one, and what they owned.

        Before or after an upgrade, other instances owned the whole rate, or its parts.
        """
        former = [part]
        if not self._division.is_settled:
            former += self._division.other_division(part)
        return [
            (owned.name, record)
            for owned in former
            for record in self._candidates(owned)
            if record.instance != self._instance
        ]

    def _candidates(self, part: RatePart) -> list[RosterRecord]:
        """Return the first members in rank, and the first of those on this side of a cut."""
        members = self._division.ranked_members(part)[:MAX_RATE_OWNERS_TRIED]
        owners = self._division.ranked_owners(part)[:MAX_RATE_OWNERS_TRIED]
        return members + [record for record in owners if record not in members]

    def _initial_tokens(self, part: RatePart) -> float:
        """Return the tokens of a part that no instance owned when this one took it over."""
        limit = self._workspaces().get(part.workspace)
        just_started = self._clock.monotonic() - self._started_at < HANDOVER_DELAY_S
        if limit is None or not just_started:
            return 0.0
        return self._rules.initial_tokens(limit, self._division.token_rate(limit, part))


def _token_request(part: RatePart, *, gives_back: bool = False) -> TokenRequest:
    return TokenRequest(
        workspace=part.workspace, data_centre=part.data_centre or "", gives_back=gives_back
    )


def _rate_exceeded(workspace: WorkspaceId, wait_s: float) -> RateExceeded:
    return RateExceeded(
        "rate and burst are used up",
        place=workspace,
        retry_after_ms=max(1, math.ceil(wait_s * MS_PER_S)),
    )


def _rate_owner_unknown(part: RatePart, tried: str) -> RateOwnerUnknown:
    where = "" if part.data_centre is None else f" in {part.data_centre}"
    reason = f"no owner of the workspace's rate{where} answered; tried {tried}"
    return RateOwnerUnknown(reason, place=part.workspace, retry_after_ms=NO_RATE_OWNER_RETRY_MS)


@dataclass(frozen=True)
class _TokenCharge:
    """A token that a rate owner issued."""

    limiter: RateLimiter
    part: RatePart
    rate_owner: RosterRecord

    def refund(self) -> None:
        """Return the token, as the operation reached no database."""
        self.limiter.refund(self.rate_owner, self.part)
