"""The ledger of shares: the part of each fleet-wide limit that this instance holds.

A limit is divided among the instances into units. The units that all instances hold and
those in transfers between them never exceed the total. A rate is divided into a fixed
number of units, so that a change of the rate needs no transfer; a unit carries its part of
the rate, of the burst and of the tokens in the bucket. A connection permit is one unit.

Each data centre has a claim to a nearly equal part of every limit. The platform's record
names the process that holds the claim. A ledger divides a key when it first needs it: the
holding then starts with the parts that its claims cover.

The giver subtracts each transfer from its own share before it sends it. Each pair of
instances has at most one numbered transfer outstanding in each direction, so that only the
last one must be remembered: a repeated request gets the same answer again, and an older
one moves nothing. Units in a lost transfer are missing until a census finds them. A census
moves every instance to a new epoch, and no transfer crosses from one epoch to another, so
that the counted units are all that exist.
"""

import math
import threading
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import NewType

from quetzalrudder.models import DataCentre, InstanceId, TargetId, WorkspaceId
from quetzalrudder.schema.peers import (
    CensusAnswer,
    ClaimedPart,
    EpochAnswer,
    ShareAck,
    ShareClaim,
    ShareGrant,
    ShareItem,
    ShareOffer,
    ShareRecord,
    ShareRequest,
)
from quetzalrudder.utils import Clock

__all__ = [
    "PermitLimit",
    "RateLimit",
    "ShareKey",
    "ShareLedger",
    "claims_from_census",
    "lost_units",
    "permit_key",
    "rate_key",
]

# Units into which every rate is divided.
RATE_UNITS = 1 << 20
RATE_PREFIX = "rate/"
PERMIT_PREFIX = "connections/"
# A process that was paused for longer must confirm its epoch before it spends again.
MAX_PAUSE_S = 2.0
# Time constant of the decaying average of demand.
DEMAND_WINDOW_S = 0.5
# Least demand with which an instance is counted in a transfer, as a fraction of the rate. An idle
# instance thereby keeps some units for the time when it is cut off from its peers.
MIN_DEMAND_FRACTION = 0.002
# Recent cost above which a key counts as active; also the least demand per second in a transfer,
# so that the sum of two demands is never 0.
MIN_ACTIVE_COST = 1e-6

ShareKey = NewType("ShareKey", str)


@dataclass(frozen=True)
class RateLimit:
    """Limit of a workspace: cost per second, and the cost that may be spent at once."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class PermitLimit:
    """Limit of a target: connections open at the same time."""

    count: int


Limit = RateLimit | PermitLimit
LimitLookup = Callable[[ShareKey], Limit | None]


def rate_key(workspace: WorkspaceId) -> ShareKey:
    """Return the key of a workspace's rate."""
    return ShareKey(RATE_PREFIX + workspace)


def permit_key(target: TargetId) -> ShareKey:
    """Return the key of a target's connection permits."""
    return ShareKey(PERMIT_PREFIX + target)


def total_units(limit: Limit) -> int:
    """Return the number of units into which a limit is divided."""
    match limit:
        case RateLimit():
            return RATE_UNITS
        case PermitLimit(count=count):
            return count


def claimed_part(total: int, rank: int, parts: int) -> int:
    """Return the size of one of several nearly equal parts of a total.

    Examples
    --------
    >>> [claimed_part(20, rank, 3) for rank in range(3)]
    [7, 7, 6]
    """
    return total // parts + (1 if rank < total % parts else 0)


def ranked_claims(claims: Iterable[ShareClaim]) -> list[ShareClaim]:
    """Return claims ordered by data centre, so that all instances compute the same parts."""
    return sorted(claims, key=lambda claim: claim.data_centre)


@dataclass
class Holding:
    """The share of one limit that an instance holds."""

    units: int
    # Permits of connections that are open, being opened, or not confirmed as closed.
    in_use: int = 0
    tokens: float = 0.0
    # Clock reading up to which tokens were added, in seconds.
    refilled_at: float = 0.0
    demand_per_s: float = 0.0
    # Clock reading at which the demand was last updated, in seconds.
    demand_at: float = 0.0
    # Tokens or permits that the last attempt needed and did not get.
    shortfall: float = 0.0

    @property
    def free(self) -> int:
        """Units that can be transferred to a peer; negative if more are in use than are held."""
        return self.units - self.in_use


@dataclass
class SentGrant:
    """The last grant sent to a peer, which is repeated on request until the next one."""

    incarnation: str
    transfer: int
    grant: ShareGrant


@dataclass
class ShareLedger:
    """All shares of one instance; thread-safe.

    Parameters
    ----------
    incarnation : str
        Unique name of this process.
    data_centre : DataCentre
        Data centre of this instance.
    limits : Callable
        Returns the limit for a key, or None if there is none.
    clock : Clock
        Source of time.
    """

    incarnation: str
    data_centre: DataCentre
    limits: LimitLookup
    clock: Clock
    epoch: int = 0
    suspended: bool = False
    _holdings: dict[ShareKey, Holding] = field(default_factory=dict)
    # The claims of this process: its parts of every key that it has not divided yet.
    _claims: list[ClaimedPart] = field(default_factory=list)
    # The epoch in which this process handed over its claims. The record may still name this
    # process as their claimant.
    _claims_handed_over_epoch: int = 0
    # The outstanding request to each peer.
    _requests: dict[InstanceId, ShareRequest] = field(default_factory=dict)
    _grants: dict[InstanceId, SentGrant] = field(default_factory=dict)
    # The outstanding offer to each peer.
    _offers: dict[InstanceId, ShareOffer] = field(default_factory=dict)
    # Number of the last offer accepted from each incarnation in this epoch.
    _accepted_offers: dict[str, int] = field(default_factory=dict)
    # Refused offers of this epoch or a later one: incarnation and number, and the epoch.
    _refused_offers: dict[tuple[str, int], int] = field(default_factory=dict)
    _census_answer: CensusAnswer | None = None
    # The last epoch that this process closed as coordinator of its census.
    _credited_epoch: int = 0
    _last_transfer: int = 0
    _alive_at: float = 0.0

    def __post_init__(self) -> None:
        self._lock = threading.RLock()
        self._alive_at = self.clock.monotonic()

    # Spending

    def spend(self, key: ShareKey, cost: float) -> bool:
        """Take tokens from the local bucket; return False if it holds too few."""
        with self._lock:
            holding = self._refilled_holding(key)
            if holding is None:
                return False
            self._add_demand(holding, cost)
            if not self._check_may_spend() or holding.tokens < cost:
                holding.shortfall = cost
                return False
            holding.tokens -= cost
            holding.shortfall = 0.0
            return True

    def retry_spend(self, key: ShareKey, cost: float) -> bool:
        """Take tokens after a transfer, without counting the request as demand again.

        Returns False if the bucket holds too few.
        """
        with self._lock:
            holding = self._refilled_holding(key)
            if holding is None or not self._check_may_spend() or holding.tokens < cost:
                return False
            holding.tokens -= cost
            holding.shortfall = 0.0
            return True

    def expected_wait_s(self, key: ShareKey, cost: float) -> float:
        """Return the expected wait for tokens in the local bucket, in seconds; may be infinite."""
        with self._lock:
            holding = self._refilled_holding(key)
            limit = self.limits(key)
            if holding is None or not isinstance(limit, RateLimit) or cost > limit.burst:
                return math.inf
            rate = limit.rate_per_s * max(holding.units, 1) / RATE_UNITS
            # The local bucket cannot hold the cost. Units move to where the demand is within
            # about a second, so the total rate bounds the wait.
            if cost > limit.burst * holding.units / RATE_UNITS:
                rate = limit.rate_per_s
            return max(0.0, cost - holding.tokens) / rate if rate else math.inf

    def reserve(self, key: ShareKey) -> bool:
        """Take a permit; return False if none is free."""
        with self._lock:
            holding = self._holding(key)
            if holding is None or not self._check_may_spend() or holding.free < 1:
                if holding is not None:
                    holding.shortfall = 1
                return False
            holding.in_use += 1
            holding.shortfall = 0
            return True

    def release(self, key: ShareKey) -> None:
        """Free a permit, once the target has closed its connection."""
        with self._lock:
            self._holdings[key].in_use -= 1

    def excess_permits(self, key: ShareKey) -> int:
        """Return the number of permits in use that this instance no longer holds.

        There are some after a pause in which a census was closed without this process: it
        has then dropped its shares, but its connections are still open.
        """
        with self._lock:
            holding = self._holding(key)
            return max(0, -holding.free) if holding else 0

    def units(self, key: ShareKey) -> int:
        """Return the units held, including permits in use."""
        with self._lock:
            holding = self._holding(key)
            return holding.units if holding else 0

    def tokens(self, key: ShareKey) -> float:
        """Return the tokens that the local bucket holds now."""
        with self._lock:
            holding = self._refilled_holding(key)
            return holding.tokens if holding else 0.0

    def _holding(self, key: ShareKey) -> Holding | None:
        limit = self.limits(key)
        if limit is None:
            return None
        holding = self._holdings.get(key)
        if holding is None:
            holding = self._initial_holding(limit, self._claims)
            self._holdings[key] = holding
        return holding

    def _initial_holding(self, limit: Limit, claims: list[ClaimedPart]) -> Holding:
        now = self.clock.monotonic()
        units = claimed_units(total_units(limit), claims)
        tokens = limit.burst * units / RATE_UNITS if isinstance(limit, RateLimit) else 0.0
        return Holding(units, tokens=tokens, refilled_at=now, demand_at=now)

    def _refilled_holding(self, key: ShareKey) -> Holding | None:
        holding = self._holding(key)
        limit = self.limits(key)
        if holding is None or not isinstance(limit, RateLimit):
            return holding
        now = self.clock.monotonic()
        part = holding.units / RATE_UNITS
        refilled = holding.tokens + limit.rate_per_s * part * (now - holding.refilled_at)
        holding.tokens = min(limit.burst * part, refilled)
        holding.refilled_at = now
        return holding

    def _add_demand(self, holding: Holding, cost: float) -> None:
        holding.demand_per_s = self._current_demand(holding) + cost / DEMAND_WINDOW_S
        holding.demand_at = self.clock.monotonic()

    def _current_demand(self, holding: Holding) -> float:
        elapsed_s = self.clock.monotonic() - holding.demand_at
        return holding.demand_per_s * math.exp(-elapsed_s / DEMAND_WINDOW_S)

    # Pauses

    def heartbeat(self) -> None:
        """Record that this process runs; called several times within ``MAX_PAUSE_S``."""
        with self._lock:
            self._check_may_spend()
            if not self.suspended:
                self._alive_at = self.clock.monotonic()

    def _check_may_spend(self) -> bool:
        if self.clock.monotonic() - self._alive_at > MAX_PAUSE_S:
            self.suspended = True
        return not self.suspended

    def resume(self, epoch: int, requested_at: float) -> None:
        """Resume spending after a pause, if this ledger is in the newest epoch.

        Parameters
        ----------
        epoch : int
            The newest epoch, from the platform's record or a peer that was not paused.
            If it is later than this instance's, spending does not resume; see
            :meth:`apply_record`.
        requested_at : float
            Clock reading when the epoch was requested, in seconds. An epoch that was
            requested more than ``MAX_PAUSE_S`` ago, and so maybe before the pause, has no
            effect.
        """
        with self._lock:
            if epoch == self.epoch and self.clock.monotonic() - requested_at <= MAX_PAUSE_S:
                self.suspended = False
                self._alive_at = requested_at

    def suspend(self) -> None:
        """Stop spending until :meth:`resume`, after the list of instances dropped this one."""
        with self._lock:
            self.suspended = True

    def epoch_answer(self) -> EpochAnswer:
        """Return the epoch, and whether this instance is suspended and cannot confirm it."""
        with self._lock:
            may_spend = self._check_may_spend()
            return EpochAnswer(
                incarnation=self.incarnation, epoch=self.epoch, suspended=not may_spend
            )

    # Epochs

    def apply_record(self, record: ShareRecord) -> None:
        """Apply the platform's record: a first epoch, a claim, or a later epoch.

        A process that was not counted when a later epoch was closed drops all its
        shares, because the census has credited them to its coordinator. While a census
        is open, the process waits for the coordinator's request.
        """
        with self._lock:
            if record.epoch > self.epoch and self.epoch == 0:
                self._enter_epoch(record.epoch)
            elif record.epoch > self.epoch and record.closed:
                self._drop_all()
                self._enter_epoch(record.epoch)
            elif record.epoch == self.epoch and self._missed_by_census(record):
                self._drop_all()
            if record.epoch == self.epoch and record.closed:
                self._take_recorded_claims(record)

    def _missed_by_census(self, record: ShareRecord) -> bool:
        answered = self._census_answer is not None and self._census_answer.epoch == record.epoch
        return answered and record.closed and self.incarnation not in record.counted

    def _take_recorded_claims(self, record: ShareRecord) -> None:
        # The coordinator takes its claims in credit_lost_units().
        if record.coordinator == self.incarnation and self._credited_epoch < record.epoch:
            return
        if self._claims_handed_over_epoch == record.epoch:
            return
        self._add_claims(
            [claim for claim in self._own_claims_in(record) if claim not in self._claims], ()
        )

    def _add_claims(self, claims: list[ClaimedPart], divided: Collection[ShareKey]) -> None:
        """Add claimed parts of every key, except the keys that the last claimant had divided."""
        for key, holding in self._holdings.items():
            limit = self.limits(key)
            if limit is not None and key not in divided:
                self._refilled_holding(key)
                gained = self._initial_holding(limit, claims)
                holding.units += gained.units
                holding.tokens += gained.tokens
        self._claims = [*self._claims, *claims]

    def _own_claims_in(self, record: ShareRecord) -> list[ClaimedPart]:
        ranked = enumerate(ranked_claims(record.claims))
        ranks = [rank for rank, claim in ranked if claim.incarnation == self.incarnation]
        return [ClaimedPart(rank=rank, parts=len(record.claims)) for rank in ranks]

    def adopt_epoch(self, epoch: int) -> None:
        """Enter a peer's epoch without any shares, while the platform is down."""
        with self._lock:
            if self.epoch == 0:
                self._enter_epoch(epoch)

    def _drop_all(self) -> None:
        now = self.clock.monotonic()
        self._claims = []
        for holding in self._holdings.values():
            holding.units = 0
            holding.tokens = 0.0
            holding.refilled_at = now

    def _enter_epoch(self, epoch: int) -> None:
        # Transfers of earlier epochs are refused from now on, so they need not be remembered.
        self.epoch = epoch
        self._requests.clear()
        self._grants.clear()
        self._offers.clear()
        self._accepted_offers.clear()
        self._refused_offers = {key: at for key, at in self._refused_offers.items() if at >= epoch}

    def answer_census(self, epoch: int) -> CensusAnswer:
        """Enter the epoch of a census and return the shares held at that moment.

        The answer is kept, and a repeated request gets it again. A process that was
        paused drops its shares first, because the census may have closed without it.
        """
        with self._lock:
            if self._census_answer is not None and self._census_answer.epoch == epoch:
                return self._census_answer
            if epoch <= self.epoch:
                return CensusAnswer(incarnation=self.incarnation, epoch=self.epoch)
            if not self._check_may_spend():
                self._drop_all()
                for holding in self._holdings.values():
                    holding.units = holding.in_use
            self._enter_epoch(epoch)
            items = [ShareItem(key=k, units=h.units) for k, h in self._holdings.items()]
            self._census_answer = CensusAnswer(
                incarnation=self.incarnation,
                epoch=epoch,
                items=items,
                claims=list(self._claims),
            )
            return self._census_answer

    def credit_lost_units(self, record: ShareRecord, lost: dict[ShareKey, int]) -> None:
        """Add the units that a census found lost, once, on the coordinator of the closed census."""
        with self._lock:
            stale = record.epoch != self.epoch or self._credited_epoch >= record.epoch
            if stale or record.coordinator != self.incarnation:
                return
            self._credited_epoch = record.epoch
            for key, units in lost.items():
                holding = self._refilled_holding(key)
                if holding is not None:
                    holding.units += units
            counted_claims = self._census_answer.claims if self._census_answer is not None else []
            self._claims += [
                claim for claim in self._own_claims_in(record) if claim not in counted_claims
            ]

    # Transfers requested by the taker

    def request(self, giver: InstanceId, keys: Iterable[ShareKey]) -> ShareRequest:
        """Return the request for shares to a peer; an unanswered one is repeated unchanged."""
        with self._lock:
            if giver not in self._requests:
                items = [item for key in keys if (item := self._make_item(key)) is not None]
                transfer = self._next_transfer()
                request = ShareRequest(
                    incarnation=self.incarnation,
                    transfer=transfer,
                    epoch=self.epoch,
                    items=items,
                )
                self._requests[giver] = request
            return self._requests[giver]

    def _next_transfer(self) -> int:
        self._last_transfer += 1
        return self._last_transfer

    def _make_item(self, key: ShareKey) -> ShareItem | None:
        holding = self._refilled_holding(key)
        if holding is None:
            return None
        return ShareItem(
            key=key,
            units=holding.units,
            tokens=holding.tokens if key.startswith(RATE_PREFIX) else max(0, holding.free),
            demand_per_s=self._current_demand(holding),
            lack=holding.shortfall,
        )

    def grant(self, taker: InstanceId, req: ShareRequest) -> ShareGrant:
        """Subtract what a peer requests from this instance's shares, and return the grant.

        A repeated request gets the same grant again. An older request, or one of another
        epoch, is refused.
        """
        with self._lock:
            last = self._grants.get(taker)
            if last is not None and last.incarnation == req.incarnation:
                if req.transfer == last.transfer:
                    return last.grant
                if req.transfer < last.transfer:
                    return self._refused_grant(req)
            if req.epoch != self.epoch or not self._check_may_spend():
                return self._refused_grant(req)
            granted = [
                item
                for requested in req.items
                if (item := self._take_for_peer(requested)) is not None
            ]
            remaining = [
                item
                for requested in req.items
                if (item := self._make_item(ShareKey(requested.key))) is not None
            ]
            grant = ShareGrant(
                incarnation=self.incarnation,
                transfer=req.transfer,
                epoch=self.epoch,
                items=granted,
                left=remaining,
            )
            self._grants[taker] = SentGrant(req.incarnation, req.transfer, grant)
            return grant

    def _refused_grant(self, req: ShareRequest) -> ShareGrant:
        return ShareGrant(
            incarnation=self.incarnation,
            transfer=req.transfer,
            epoch=self.epoch,
            refused=True,
        )

    def _take_for_peer(self, requested: ShareItem) -> ShareItem | None:
        key = ShareKey(requested.key)
        holding = self._refilled_holding(key)
        limit = self.limits(key)
        if holding is None or limit is None:
            return None
        match limit:
            case RateLimit():
                return self._take_rate_for_peer(holding, limit, requested)
            case PermitLimit():
                return self._take_permits_for_peer(holding, requested)

    def _take_permits_for_peer(self, holding: Holding, requested: ShareItem) -> ShareItem | None:
        units = min(holding.free - math.ceil(holding.shortfall), math.ceil(requested.lack))
        if units <= 0:
            return None
        holding.units -= units
        return ShareItem(key=requested.key, units=units)

    def _take_rate_for_peer(
        self, holding: Holding, limit: RateLimit, requested: ShareItem
    ) -> ShareItem | None:
        min_demand = max(limit.rate_per_s * MIN_DEMAND_FRACTION, MIN_ACTIVE_COST)
        own_demand = max(self._current_demand(holding), min_demand)
        own_part = own_demand / (own_demand + max(requested.demand_per_s, min_demand))
        units = holding.units - math.ceil((holding.units + requested.units) * own_part)
        tokens = holding.tokens - (holding.tokens + requested.tokens) * own_part
        tokens = max(tokens, min(requested.lack - requested.tokens, holding.tokens))
        tokens = max(0.0, tokens)
        per_unit = limit.burst / RATE_UNITS
        units_for_tokens = math.ceil((requested.tokens + tokens) / per_unit) if per_unit else 0
        units = min(holding.units, max(0, units, units_for_tokens - requested.units))
        holding.units -= units
        burst_left = holding.units * per_unit
        tokens = max(tokens, holding.tokens - burst_left)
        tokens = min(
            tokens, holding.tokens, (requested.units + units) * per_unit - requested.tokens
        )
        tokens = max(0.0, tokens)
        holding.tokens = min(holding.tokens - tokens, burst_left)
        if units == 0 and tokens == 0.0:
            return None
        return ShareItem(key=requested.key, units=units, tokens=tokens)

    def accept_grant(self, giver: InstanceId, grant: ShareGrant) -> bool:
        """Add what a peer granted.

        Returns False if the grant was refused, is of another epoch, answers no outstanding
        request or was already added.
        """
        with self._lock:
            request = self._requests.get(giver)
            if request is None or request.transfer != grant.transfer:
                return False
            del self._requests[giver]
            if grant.refused or grant.epoch != self.epoch:
                return False
            self._add_items(grant.items)
            return True

    def abandon_request(self, giver: InstanceId) -> None:
        """Drop the request to a peer that has left or restarted.

        Units that the peer has granted in answer to it are missing until the next census.
        """
        with self._lock:
            self._requests.pop(giver, None)

    def _add_items(self, items: list[ShareItem]) -> None:
        for item in items:
            holding = self._refilled_holding(ShareKey(item.key))
            if holding is not None:
                holding.units += item.units
                holding.tokens += item.tokens
                if item.key.startswith(PERMIT_PREFIX):
                    holding.shortfall = max(0.0, holding.shortfall - item.units)

    # Transfers offered by the giver

    def offer(self, taker: InstanceId) -> ShareOffer:
        """Return the offer of all free units and claims to a peer.

        An unanswered offer is repeated unchanged.
        """
        with self._lock:
            if taker not in self._offers:
                items = [
                    self._take_free_units(key, holding) for key, holding in self._holdings.items()
                ]
                if not self._claims:
                    items = [item for item in items if item.units]
                transfer = self._next_transfer()
                offer = ShareOffer(
                    incarnation=self.incarnation,
                    transfer=transfer,
                    epoch=self.epoch,
                    items=items,
                    claims=list(self._claims),
                )
                self._offers[taker] = offer
                if self._claims:
                    self._claims = []
                    self._claims_handed_over_epoch = self.epoch
            return self._offers[taker]

    def _take_free_units(self, key: ShareKey, holding: Holding) -> ShareItem:
        self._refilled_holding(key)
        item = ShareItem(key=key, units=holding.free, tokens=holding.tokens)
        holding.units = holding.in_use
        holding.tokens = 0.0
        return item

    def accept_offer(self, offer: ShareOffer) -> ShareAck:
        """Add the shares that a leaving peer offers, once, and return the answer to the offer."""
        with self._lock:
            offer_id = (offer.incarnation, offer.transfer)
            accepted = self._accepted_offers.get(offer.incarnation, 0) >= offer.transfer
            current = offer.epoch == self.epoch and self._check_may_spend()
            if current and not accepted and offer_id not in self._refused_offers:
                self._accepted_offers[offer.incarnation] = offer.transfer
                self._take_over(offer)
                accepted = True
            # An offer of an earlier epoch is not refused, as the sender would take the units back
            # although a census has counted them since.
            refused = not accepted and offer.epoch >= self.epoch
            if refused:
                self._refused_offers[offer_id] = offer.epoch
            return ShareAck(
                incarnation=self.incarnation,
                transfer=offer.transfer,
                epoch=self.epoch,
                refused=refused,
            )

    def _take_over(self, offer: ShareOffer) -> None:
        divided = {ShareKey(item.key) for item in offer.items}
        for key in divided:
            if self._holding(key) is None:
                # Without this entry, the key would be divided when its limit becomes known. The
                # sender's claims would then be counted in addition to its offered units.
                self._holdings.setdefault(key, Holding(0))
        self._add_items(offer.items)
        self._add_claims(offer.claims, divided)

    def apply_ack(self, taker: InstanceId, ack: ShareAck) -> None:
        """Drop an offer that a peer has accepted, or take it back if the peer refused it."""
        with self._lock:
            offered = self._offers.get(taker)
            if offered is None or offered.transfer != ack.transfer:
                return
            if ack.refused:
                self.withdraw_offer(taker)
            else:
                del self._offers[taker]

    def withdraw_offer(self, taker: InstanceId) -> None:
        """Take back an offer that the peer certainly has not accepted and will not accept."""
        with self._lock:
            offered = self._offers.pop(taker, None)
            if offered is not None:
                self._take_over(offered)

    def active_keys(self) -> list[ShareKey]:
        """Return the keys with recent demand or a shortfall."""
        with self._lock:
            return [
                key
                for key, holding in self._holdings.items()
                if holding.shortfall
                or self._current_demand(holding) * DEMAND_WINDOW_S > MIN_ACTIVE_COST
            ]


def claimed_units(total: int, claims: Iterable[ClaimedPart]) -> int:
    """Return the number of units in claimed parts of a total."""
    return sum(claimed_part(total, claim.rank, claim.parts) for claim in claims)


def claims_from_census(
    answers: Iterable[CensusAnswer], claims: Iterable[ShareClaim], coordinator: str
) -> list[ShareClaim]:
    """Return the claims to the undivided keys according to the answers to a census.

    Parts that no answer contains go to the coordinator.
    """
    claimants = {part.rank: answer.incarnation for answer in answers for part in answer.claims}
    return [
        ShareClaim(data_centre=claim.data_centre, incarnation=claimants.get(rank, coordinator))
        for rank, claim in enumerate(ranked_claims(claims))
    ]


def lost_units(answers: list[CensusAnswer], limits: LimitLookup) -> dict[ShareKey, int]:
    """Return the units that no counted process holds, for each key that any of them knows.

    A claimant that does not know a key still holds its claimed parts of the key.
    """
    lost = {}
    for key in {ShareKey(item.key) for answer in answers for item in answer.items}:
        limit = limits(key)
        if limit is None:
            continue
        missing = total_units(limit)
        for answer in answers:
            known = [item.units for item in answer.items if item.key == key]
            missing -= known[0] if known else claimed_units(total_units(limit), answer.claims)
        if missing > 0:
            lost[key] = missing
    return lost
