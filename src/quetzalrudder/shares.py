"""The ledger of shares: what this instance holds of each limit that the fleet divides.

A limit is a conserved quantity. The units that all instances hold, and those under way
between them, never exceed the whole. A rate is divided into a fixed number of units, so
that a changed rate needs no transfer; a unit carries its part of the rate, of the burst
and of the tokens in the bucket. Connection permits are whole units.

Every transfer is taken from the giver before it is sent. Each pair of instances has one
numbered transfer outstanding in each direction, so that the last one is all that must be
remembered: a repeated one is answered alike, and an older one moves nothing. What is lost
leaks until a census finds it. A census moves every instance to a new epoch, and no
transfer crosses from one epoch to another, so that the units counted are all there are.
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

RATE_UNITS = 1 << 20
RATE_PREFIX = "rate/"
PERMIT_PREFIX = "connections/"
MAX_PAUSE_S = 2.0
DEMAND_WINDOW_S = 0.5
# Part of the rate that an idle instance is counted with, so that it keeps some when cut off.
IDLE_DEMAND_SHARE = 0.002
MIN_ACTIVE_COST = 1e-6

ShareKey = NewType("ShareKey", str)


@dataclass(frozen=True)
class RateLimit:
    """A workspace's limit: cost a second, and cost at once above it."""

    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class PermitLimit:
    """A target's limit: connections at the same time."""

    count: int


Limit = RateLimit | PermitLimit
LimitLookup = Callable[[ShareKey], Limit | None]


def rate_key(workspace: WorkspaceId) -> ShareKey:
    """Name the share of a workspace's rate."""
    return ShareKey(RATE_PREFIX + workspace)


def permit_key(target: TargetId) -> ShareKey:
    """Name the share of a target's connections."""
    return ShareKey(PERMIT_PREFIX + target)


def total_units(limit: Limit) -> int:
    """Give the units that a limit is divided into."""
    match limit:
        case RateLimit():
            return RATE_UNITS
        case PermitLimit(count=count):
            return count


def claimed_part(total: int, rank: int, parts: int) -> int:
    """Give one of several nearly equal parts of a whole.

    Examples
    --------
    >>> [claimed_part(20, rank, 3) for rank in range(3)]
    [7, 7, 6]
    """
    return total // parts + (1 if rank < total % parts else 0)


def ranked_claims(claims: Iterable[ShareClaim]) -> list[ShareClaim]:
    """Order the claims, so that each data centre's part is the same everywhere."""
    return sorted(claims, key=lambda claim: claim.data_centre)


@dataclass
class Holding:
    """The share that an instance holds of one limit."""

    units: int
    # Permits of connections that are open, being opened, or not yet seen closed.
    in_use: int = 0
    tokens: float = 0.0
    # Clock reading up to which tokens were added, in seconds.
    refilled_at: float = 0.0
    demand_per_s: float = 0.0
    demand_at: float = 0.0
    # What could not be had here at the last try: tokens, or permits.
    lack: float = 0.0

    @property
    def free(self) -> int:
        """Units that can be given away."""
        return self.units - self.in_use


@dataclass
class SentGrant:
    """The last transfer given to a peer, kept until a later one."""

    incarnation: str
    transfer: int
    grant: ShareGrant


@dataclass
class ShareLedger:
    """All shares of one instance; safe to use from any thread.

    Parameters
    ----------
    incarnation : str
        Name of this process, never used again by another one.
    data_centre : DataCentre
        Where it stands.
    limits : Callable
        Gives the limit behind a key; None if there is none any more.
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
    # The parts of each undivided key that this process holds.
    _claims: list[ClaimedPart] = field(default_factory=list)
    # The epoch in which this process handed its claims over; the record may still name it.
    _claims_given: int = 0
    _asked: dict[InstanceId, ShareRequest] = field(default_factory=dict)
    _sent: dict[InstanceId, SentGrant] = field(default_factory=dict)
    _offered: dict[InstanceId, ShareOffer] = field(default_factory=dict)
    # The last offer taken from each incarnation in this epoch.
    _received: dict[str, int] = field(default_factory=dict)
    # Incarnation and number of each offer of this epoch or a later one that was refused.
    _refused: dict[tuple[str, int], int] = field(default_factory=dict)
    _census: CensusAnswer | None = None
    # The last epoch that this process closed as its coordinator.
    _settled: int = 0
    _transfers: int = 0
    _alive_at: float = 0.0

    def __post_init__(self) -> None:
        self._lock = threading.RLock()
        self._alive_at = self.clock.monotonic()

    # Spending

    def spend(self, key: ShareKey, cost: float) -> bool:
        """Take tokens from the local bucket; false if it holds too few."""
        with self._lock:
            held = self._refilled(key)
            if held is None:
                return False
            self._note_demand(held, cost)
            if not self._may_spend() or held.tokens < cost:
                held.lack = cost
                return False
            held.tokens -= cost
            held.lack = 0.0
            return True

    def retry_spend(self, key: ShareKey, cost: float) -> bool:
        """Take tokens after a transfer, for a request that has been counted as demand."""
        with self._lock:
            held = self._refilled(key)
            if held is None or not self._may_spend() or held.tokens < cost:
                return False
            held.tokens -= cost
            held.lack = 0.0
            return True

    def expected_wait_s(self, key: ShareKey, cost: float) -> float:
        """Estimate when the local bucket will hold the tokens, in seconds; may be infinite."""
        with self._lock:
            held = self._refilled(key)
            limit = self.limits(key)
            if held is None or not isinstance(limit, RateLimit) or cost > limit.burst:
                return math.inf
            # Units follow demand within about a second; the rate as a whole is the bound.
            rate = limit.rate_per_s * max(held.units, 1) / RATE_UNITS
            if cost > limit.burst * held.units / RATE_UNITS:
                rate = limit.rate_per_s
            return max(0.0, cost - held.tokens) / rate if rate else math.inf

    def reserve(self, key: ShareKey) -> bool:
        """Take a permit into use; false if none is free."""
        with self._lock:
            held = self._held(key)
            if held is None or not self._may_spend() or held.free < 1:
                if held is not None:
                    held.lack = 1
                return False
            held.in_use += 1
            held.lack = 0
            return True

    def release(self, key: ShareKey) -> None:
        """Put a permit back, once the target has seen the connection closed."""
        with self._lock:
            self._holdings[key].in_use -= 1

    def excess_permits(self, key: ShareKey) -> int:
        """Give how many permits are in use beyond the units held, after a pause."""
        with self._lock:
            held = self._held(key)
            return max(0, -held.free) if held else 0

    def units(self, key: ShareKey) -> int:
        """Give the units held, permits in use included."""
        with self._lock:
            held = self._held(key)
            return held.units if held else 0

    def tokens(self, key: ShareKey) -> float:
        """Give the tokens that the local bucket holds now."""
        with self._lock:
            held = self._refilled(key)
            return held.tokens if held else 0.0

    def _held(self, key: ShareKey) -> Holding | None:
        limit = self.limits(key)
        if limit is None:
            return None
        held = self._holdings.get(key)
        if held is None:
            held = self._first_holding(limit, self._claims)
            self._holdings[key] = held
        return held

    def _first_holding(self, limit: Limit, claims: list[ClaimedPart]) -> Holding:
        now = self.clock.monotonic()
        units = claimed_units(total_units(limit), claims)
        tokens = limit.burst * units / RATE_UNITS if isinstance(limit, RateLimit) else 0.0
        return Holding(units, tokens=tokens, refilled_at=now, demand_at=now)

    def _refilled(self, key: ShareKey) -> Holding | None:
        held = self._held(key)
        limit = self.limits(key)
        if held is None or not isinstance(limit, RateLimit):
            return held
        now = self.clock.monotonic()
        part = held.units / RATE_UNITS
        grown = held.tokens + limit.rate_per_s * part * (now - held.refilled_at)
        held.tokens = min(limit.burst * part, grown)
        held.refilled_at = now
        return held

    def _note_demand(self, held: Holding, cost: float) -> None:
        held.demand_per_s = self._demand(held) + cost / DEMAND_WINDOW_S
        held.demand_at = self.clock.monotonic()

    def _demand(self, held: Holding) -> float:
        elapsed_s = self.clock.monotonic() - held.demand_at
        return held.demand_per_s * math.exp(-elapsed_s / DEMAND_WINDOW_S)

    # Pauses

    def heartbeat(self) -> None:
        """Note that this process runs; called several times in the pause limit."""
        with self._lock:
            self._may_spend()
            if not self.suspended:
                self._alive_at = self.clock.monotonic()

    def _may_spend(self) -> bool:
        if self.clock.monotonic() - self._alive_at > MAX_PAUSE_S:
            self.suspended = True
        return not self.suspended

    def resume(self, epoch: int, asked_at: float) -> None:
        """Resume after a pause, on word that was asked for after it.

        Parameters
        ----------
        epoch : int
            The newest epoch, from the platform's record or a peer that was not paused.
            A later one than this instance's proves nothing: see :meth:`apply_record`.
        asked_at : float
            Clock reading when it was asked for, in seconds.
        """
        with self._lock:
            if epoch == self.epoch and self.clock.monotonic() - asked_at <= MAX_PAUSE_S:
                self.suspended = False
                self._alive_at = asked_at

    def suspend(self) -> None:
        """Stop spending until :meth:`resume`; for an instance that the list has dropped."""
        with self._lock:
            self.suspended = True

    def epoch_answer(self) -> EpochAnswer:
        """Tell the epoch and whether this instance may be believed."""
        with self._lock:
            may_spend = self._may_spend()
            return EpochAnswer(
                incarnation=self.incarnation, epoch=self.epoch, suspended=not may_spend
            )

    # Epochs

    def apply_record(self, record: ShareRecord) -> None:
        """Take over the platform's record: a first epoch, a claim, or a later epoch.

        A process that was not counted when a later epoch closed has been taken for
        gone; it drops what it holds. While a census is open it waits to be asked.
        """
        with self._lock:
            if record.epoch > self.epoch and self.epoch == 0:
                self._enter(record.epoch)
            elif record.epoch > self.epoch and record.closed:
                self._drop_all()
                self._enter(record.epoch)
            elif record.epoch == self.epoch and self._turned_uncounted(record):
                self._drop_all()
            if record.epoch == self.epoch and record.closed:
                self._take_claims(record)

    def _turned_uncounted(self, record: ShareRecord) -> bool:
        turned = self._census is not None and self._census.epoch == record.epoch
        return turned and record.closed and self.incarnation not in record.counted

    def _take_claims(self, record: ShareRecord) -> None:
        if record.coordinator == self.incarnation and self._settled < record.epoch:
            return
        if self._claims_given == record.epoch:
            return
        self._gain([claim for claim in self._claims_in(record) if claim not in self._claims], ())

    def _gain(self, claims: list[ClaimedPart], divided: Collection[ShareKey]) -> None:
        """Take over parts of every key but those that their last holder had divided."""
        for key, held in self._holdings.items():
            limit = self.limits(key)
            if limit is not None and key not in divided:
                self._refilled(key)
                first = self._first_holding(limit, claims)
                held.units += first.units
                held.tokens += first.tokens
        self._claims = [*self._claims, *claims]

    def _claims_in(self, record: ShareRecord) -> list[ClaimedPart]:
        ranked = enumerate(ranked_claims(record.claims))
        own = [rank for rank, claim in ranked if claim.incarnation == self.incarnation]
        return [ClaimedPart(rank=rank, parts=len(record.claims)) for rank in own]

    def adopt_epoch(self, epoch: int) -> None:
        """Enter the fleet at a peer's epoch, holding nothing, while the platform is down."""
        with self._lock:
            if self.epoch == 0:
                self._enter(epoch)

    def _drop_all(self) -> None:
        now = self.clock.monotonic()
        self._claims = []
        for held in self._holdings.values():
            held.units = 0
            held.tokens = 0.0
            held.refilled_at = now

    def _enter(self, epoch: int) -> None:
        # Transfers of earlier epochs are refused from now on and need not be remembered.
        self.epoch = epoch
        self._asked.clear()
        self._sent.clear()
        self._offered.clear()
        self._received.clear()
        self._refused = {key: at for key, at in self._refused.items() if at >= epoch}

    def answer_census(self, epoch: int) -> CensusAnswer:
        """Enter a census's epoch and tell what was held at that moment.

        The answer is kept and told again when asked again. A process that was paused
        drops what it holds first: the census may have closed without it.
        """
        with self._lock:
            if self._census is not None and self._census.epoch == epoch:
                return self._census
            if epoch <= self.epoch:
                return CensusAnswer(incarnation=self.incarnation, epoch=self.epoch)
            if not self._may_spend():
                self._drop_all()
                for held in self._holdings.values():
                    held.units = held.in_use
            self._enter(epoch)
            items = [ShareItem(key=k, units=h.units) for k, h in self._holdings.items()]
            self._census = CensusAnswer(
                incarnation=self.incarnation,
                epoch=epoch,
                items=items,
                claims=list(self._claims),
            )
            return self._census

    def credit_lost_units(self, record: ShareRecord, lost: dict[ShareKey, int]) -> None:
        """Take over what a census found lost, once; for its coordinator, when it is closed."""
        with self._lock:
            stale = record.epoch != self.epoch or self._settled >= record.epoch
            if stale or record.coordinator != self.incarnation:
                return
            self._settled = record.epoch
            for key, units in lost.items():
                held = self._refilled(key)
                if held is not None:
                    held.units += units
            told = self._census.claims if self._census is not None else []
            self._claims += [claim for claim in self._claims_in(record) if claim not in told]

    # Transfers that the taker asks for

    def request(self, giver: InstanceId, keys: Iterable[ShareKey]) -> ShareRequest:
        """Ask a peer for shares; an unanswered request is repeated unchanged."""
        with self._lock:
            if giver not in self._asked:
                items = [item for key in keys if (item := self._item(key)) is not None]
                transfer = self._next_transfer()
                request = ShareRequest(
                    incarnation=self.incarnation,
                    transfer=transfer,
                    epoch=self.epoch,
                    items=items,
                )
                self._asked[giver] = request
            return self._asked[giver]

    def _next_transfer(self) -> int:
        self._transfers += 1
        return self._transfers

    def _item(self, key: ShareKey) -> ShareItem | None:
        held = self._refilled(key)
        if held is None:
            return None
        return ShareItem(
            key=key,
            units=held.units,
            tokens=held.tokens if key.startswith(RATE_PREFIX) else max(0, held.free),
            demand_per_s=self._demand(held),
            lack=held.lack,
        )

    def grant(self, taker: InstanceId, req: ShareRequest) -> ShareGrant:
        """Give shares to a peer that asks, taking them from this instance's own first."""
        with self._lock:
            last = self._sent.get(taker)
            if last is not None and last.incarnation == req.incarnation:
                if req.transfer == last.transfer:
                    return last.grant
                if req.transfer < last.transfer:
                    return self._refusal(req)
            if req.epoch != self.epoch or not self._may_spend():
                return self._refusal(req)
            given = [item for wanted in req.items if (item := self._give(wanted)) is not None]
            left = [item for w in req.items if (item := self._item(ShareKey(w.key))) is not None]
            grant = ShareGrant(
                incarnation=self.incarnation,
                transfer=req.transfer,
                epoch=self.epoch,
                items=given,
                left=left,
            )
            self._sent[taker] = SentGrant(req.incarnation, req.transfer, grant)
            return grant

    def _refusal(self, req: ShareRequest) -> ShareGrant:
        return ShareGrant(
            incarnation=self.incarnation,
            transfer=req.transfer,
            epoch=self.epoch,
            refused=True,
        )

    def _give(self, wanted: ShareItem) -> ShareItem | None:
        key = ShareKey(wanted.key)
        held = self._refilled(key)
        limit = self.limits(key)
        if held is None or limit is None:
            return None
        match limit:
            case RateLimit():
                return self._give_rate(held, limit, wanted)
            case PermitLimit():
                return self._give_permits(held, wanted)

    def _give_permits(self, held: Holding, wanted: ShareItem) -> ShareItem | None:
        units = min(held.free - math.ceil(held.lack), math.ceil(wanted.lack))
        if units <= 0:
            return None
        held.units -= units
        return ShareItem(key=wanted.key, units=units)

    def _give_rate(self, held: Holding, limit: RateLimit, wanted: ShareItem) -> ShareItem | None:
        idle = max(limit.rate_per_s * IDLE_DEMAND_SHARE, MIN_ACTIVE_COST)
        own = max(self._demand(held), idle)
        part = own / (own + max(wanted.demand_per_s, idle))
        units = held.units - math.ceil((held.units + wanted.units) * part)
        tokens = held.tokens - (held.tokens + wanted.tokens) * part
        tokens = max(tokens, min(wanted.lack - wanted.tokens, held.tokens))
        tokens = max(0.0, tokens)
        per_unit = limit.burst / RATE_UNITS
        room = math.ceil((wanted.tokens + tokens) / per_unit) if per_unit else 0
        units = min(held.units, max(0, units, room - wanted.units))
        held.units -= units
        left = held.units * per_unit
        tokens = max(tokens, held.tokens - left)
        tokens = min(tokens, held.tokens, (wanted.units + units) * per_unit - wanted.tokens)
        tokens = max(0.0, tokens)
        held.tokens = min(held.tokens - tokens, left)
        if units == 0 and tokens == 0.0:
            return None
        return ShareItem(key=wanted.key, units=units, tokens=tokens)

    def accept_grant(self, giver: InstanceId, grant: ShareGrant) -> bool:
        """Take over what a peer gave; false if nothing was asked, or moved already."""
        with self._lock:
            asked = self._asked.get(giver)
            if asked is None or asked.transfer != grant.transfer:
                return False
            del self._asked[giver]
            if grant.refused or grant.epoch != self.epoch:
                return False
            self._add(grant.items)
            return True

    def abandon_request(self, giver: InstanceId) -> None:
        """Stop waiting for a peer that is gone or was replaced; what it gave leaks."""
        with self._lock:
            self._asked.pop(giver, None)

    def _add(self, items: list[ShareItem]) -> None:
        for item in items:
            held = self._refilled(ShareKey(item.key))
            if held is not None:
                held.units += item.units
                held.tokens += item.tokens
                if item.key.startswith(PERMIT_PREFIX):
                    held.lack = max(0.0, held.lack - item.units)

    # Transfers that the giver offers

    def offer(self, taker: InstanceId) -> ShareOffer:
        """Hand everything that is free to a peer; an unanswered offer is repeated unchanged."""
        with self._lock:
            if taker not in self._offered:
                items = [self._take_free(key, held) for key, held in self._holdings.items()]
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
                self._offered[taker] = offer
                if self._claims:
                    self._claims = []
                    self._claims_given = self.epoch
            return self._offered[taker]

    def _take_free(self, key: ShareKey, held: Holding) -> ShareItem:
        self._refilled(key)
        item = ShareItem(key=key, units=held.free, tokens=held.tokens)
        held.units = held.in_use
        held.tokens = 0.0
        return item

    def accept_offer(self, offer: ShareOffer) -> ShareAck:
        """Take over what a leaving peer hands on, once."""
        with self._lock:
            number = (offer.incarnation, offer.transfer)
            taken = self._received.get(offer.incarnation, 0) >= offer.transfer
            current = offer.epoch == self.epoch and self._may_spend()
            if current and not taken and number not in self._refused:
                self._received[offer.incarnation] = offer.transfer
                self._take_over(offer)
                taken = True
            # What an earlier epoch divided has been counted again since.
            refused = not taken and offer.epoch >= self.epoch
            if refused:
                self._refused[number] = offer.epoch
            return ShareAck(
                incarnation=self.incarnation,
                transfer=offer.transfer,
                epoch=self.epoch,
                refused=refused,
            )

    def _take_over(self, offer: ShareOffer) -> None:
        divided = {ShareKey(item.key) for item in offer.items}
        for key in divided:
            if self._held(key) is None:
                # Without a limit it would be divided later, the sender's part included.
                self._holdings.setdefault(key, Holding(0))
        self._add(offer.items)
        self._gain(offer.claims, divided)

    def apply_ack(self, taker: InstanceId, ack: ShareAck) -> None:
        """Forget an offer that was taken; one that was refused is held here again."""
        with self._lock:
            offered = self._offered.get(taker)
            if offered is None or offered.transfer != ack.transfer:
                return
            if ack.refused:
                self.withdraw_offer(taker)
            else:
                del self._offered[taker]

    def withdraw_offer(self, taker: InstanceId) -> None:
        """Take back an offer that certainly was not and will not be taken."""
        with self._lock:
            offered = self._offered.pop(taker, None)
            if offered is not None:
                self._take_over(offered)

    def active_keys(self) -> list[ShareKey]:
        """Give the keys with demand of late, or something lacking."""
        with self._lock:
            return [
                key
                for key, held in self._holdings.items()
                if held.lack or self._demand(held) * DEMAND_WINDOW_S > MIN_ACTIVE_COST
            ]


def claimed_units(total: int, claims: Iterable[ClaimedPart]) -> int:
    """Give what some claimed parts of a whole come to."""
    return sum(claimed_part(total, claim.rank, claim.parts) for claim in claims)


def claims_from_census(
    answers: Iterable[CensusAnswer], claims: Iterable[ShareClaim], coordinator: str
) -> list[ShareClaim]:
    """Write down who holds each part of the undivided keys, by a census's answers.

    Parts that nobody told of go to the coordinator.
    """
    holders = {part.rank: answer.incarnation for answer in answers for part in answer.claims}
    return [
        ShareClaim(data_centre=claim.data_centre, incarnation=holders.get(rank, coordinator))
        for rank, claim in enumerate(ranked_claims(claims))
    ]


def lost_units(answers: list[CensusAnswer], limits: LimitLookup) -> dict[ShareKey, int]:
    """Work out what no counted process holds of each key that any of them knows.

    A claimant that does not know a key holds its parts of it all the same.
    """
    lost = {}
    for key in {ShareKey(item.key) for answer in answers for item in answer.items}:
        limit = limits(key)
        if limit is None:
            continue
        left = total_units(limit)
        for answer in answers:
            known = [item.units for item in answer.items if item.key == key]
            left -= known[0] if known else claimed_units(total_units(limit), answer.claims)
        if left > 0:
            lost[key] = left
    return lost
