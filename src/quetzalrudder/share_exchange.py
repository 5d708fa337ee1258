"""Exchange of shares between instances: entry into the fleet, transfers, and the census.

The census finds the units that were lost with stopped instances or in transfers.
"""

import logging
import random
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future

from result import Err, Ok, Result

from quetzalrudder.adapters import Platform
from quetzalrudder.exceptions import (
    Conflict,
    OutcomeUnknown,
    PlatformUnavailable,
    QuetzalrudderError,
)
from quetzalrudder.membership import Membership
from quetzalrudder.models import InstanceId, TargetId
from quetzalrudder.peers import PeerLinks
from quetzalrudder.schema.common import Ending
from quetzalrudder.schema.peers import (
    CensusAnswer,
    CensusRequest,
    EpochAnswer,
    EpochRequest,
    PeerFrame,
    ShareAck,
    ShareClaim,
    ShareGrant,
    ShareOffer,
    ShareRecord,
    ShareRequest,
)
from quetzalrudder.schema.platform import PutRequest
from quetzalrudder.shares import (
    PERMIT_PREFIX,
    RATE_PREFIX,
    ShareKey,
    ShareLedger,
    claims_from_census,
    lost_units,
    permit_key,
)
from quetzalrudder.utils import Clock

__all__ = ["ShareExchange", "ShareRequestBudget", "choose_giver"]

log = logging.getLogger(__name__)

RECORD_KEY = "shares/record"
BALANCE_INTERVAL_S = 0.1
# Longest wait of one request for tokens or a permit from peers.
MAX_PEER_WAIT_S = 0.05
# Longest wait for tokens while the instance is not in the fleet yet, holds no units of the key, or
# expects a late answer of a peer.
MAX_TOKEN_WAIT_S = 1.0
# Pause before a search for tokens or an offer is repeated.
RETRY_INTERVAL_S = 0.02
# Peers that get a share request while one request waits for tokens or a permit.
MAX_PEERS_PER_SEARCH = 3
# How long an answer is still expected after its timeout; several times the delay of a busy peer.
MAX_ANSWER_DELAY_S = 0.3
PEER_TIMEOUT_S = 0.2
# Time for which a peer gets no share requests after it failed to answer.
PEER_AVOIDANCE_S = 1.0
MAX_SHARE_REQUESTS_PER_S = 40.0
# Peers among which the giver of a transfer is chosen, and to which links are opened in advance.
MAX_CANDIDATE_PEERS = 8
# Time from the departure of an instance from the list until a census may count its shares as lost.
DEPARTURE_GRACE_S = 5.0
# Longest delay with which an instance sees a change of the platform's list of instances.
LIST_PROPAGATION_S = 3.0
CENSUS_INTERVAL_S = 10.0
CENSUS_TIMEOUT_S = 3.0
# Attempts per peer. Together they take longer than MAX_PAUSE_S, the pause after which a peer
# accepts no shares until it has confirmed its epoch.
MAX_OFFER_ATTEMPTS = 11
# Rounds over all peers, at least BALANCE_INTERVAL_S apart. A peer that refuses an offer has just
# started or was paused, and accepts one within a second.
MAX_HAND_OVER_ROUNDS = 10


class ShareRequestBudget:
    """Token bucket that limits the share requests that an instance sends per second.

    Parameters
    ----------
    clock : Clock
        Source of time.
    per_s : float
        Maximum number of requests per second.
    """

    def __init__(self, clock: Clock, per_s: float = MAX_SHARE_REQUESTS_PER_S) -> None:
        self._clock = clock
        self._per_s = per_s
        self._remaining = per_s
        self._refilled_at = clock.monotonic()

    def try_consume(self) -> bool:
        """Take one request from the budget; return False if it is used up."""
        now = self._clock.monotonic()
        self._remaining = min(
            self._per_s, self._remaining + (now - self._refilled_at) * self._per_s
        )
        self._refilled_at = now
        if self._remaining < 1:
            return False
        self._remaining -= 1
        return True


def choose_giver(
    peers: Iterable[InstanceId], balances: dict[InstanceId, float], rng: random.Random
) -> InstanceId | None:
    """Return the peer that last reported the most tokens or free permits, if there is a peer.

    Peers that have not reported yet come first.
    """
    candidates = sorted(peers)
    if not candidates:
        return None
    if len(candidates) > MAX_CANDIDATE_PEERS:
        candidates = rng.sample(candidates, MAX_CANDIDATE_PEERS)
    rng.shuffle(candidates)
    return max(candidates, key=lambda peer: balances.get(peer, float("inf")))


class ShareExchange:
    """Obtains shares for an instance's ledger from peers, and recovers lost ones by a census.

    Parameters
    ----------
    ledger : ShareLedger
        The shares of this instance.
    links : PeerLinks
        Connections to the peers.
    membership : Membership
        The instances of the fleet.
    platform : Platform
        Stores the record of the epoch, the claims and the census.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random choices.
    """

    def __init__(
        self,
        ledger: ShareLedger,
        links: PeerLinks,
        membership: Membership,
        platform: Platform,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.ledger = ledger
        self._links = links
        self._membership = membership
        self._platform = platform
        self._clock = clock
        self._rng = rng
        self._budget = ShareRequestBudget(clock)
        # At most one search among peers at a time for tokens, and one for permits.
        self._search_locks = {RATE_PREFIX: threading.Lock(), PERMIT_PREFIX: threading.Lock()}
        self._stopping = threading.Event()
        self._balance_lock = threading.Lock()
        self._leaving = False
        # Tokens or free permits of each peer, as it last reported them.
        self._peer_balances: dict[ShareKey, dict[InstanceId, float]] = {}
        # Clock reading until which each peer gets no share requests, in seconds.
        self._avoided_until: dict[InstanceId, float] = {}
        # Clock reading at the timeout of each answer that is overdue, in seconds.
        self._timed_out_at: dict[InstanceId, float] = {}
        self._incarnations: dict[InstanceId, str] = {}
        self._known_instances: set[InstanceId] = set()
        self._departed_at: dict[InstanceId, float] = {}
        self._census_needed = False
        self._last_census_at = float("-inf")
        self._was_listed = False
        # True once the record has been read and, unless a census was open, an unclaimed part of
        # this data centre claimed.
        self._joined = False
        # Permits that peers requested and did not get.
        self._permits_needed_by_peers: dict[ShareKey, int] = {}
        links.register_handler(ShareRequest, self._answer_request)
        links.register_handler(ShareOffer, lambda _, offer: ledger.accept_offer(offer))
        links.register_handler(CensusRequest, lambda _, req: ledger.answer_census(req.epoch))
        links.register_handler(EpochRequest, lambda _, req: ledger.epoch_answer())

    def stop(self) -> None:
        """End :meth:`run` and :meth:`run_census` at their next step."""
        self._stopping.set()

    def run(self) -> None:
        """Exchange shares until :meth:`stop`; run by one task."""
        while not self._stopping.wait(BALANCE_INTERVAL_S):
            try:
                self.ledger.heartbeat()
                self._ensure_entered()
                self._open_one_link()
                with self._balance_lock:
                    self._balance()
            except Exception:
                log.exception("exchange of shares failed with an unexpected error; retrying")

    def _answer_request(self, taker: InstanceId, req: ShareRequest) -> ShareGrant:
        grant = self.ledger.grant(taker, req)
        granted = {item.key for item in grant.items}
        for item in req.items:
            is_permit = item.key.startswith(PERMIT_PREFIX)
            if is_permit and item.lack and item.key not in granted and not grant.refused:
                self._permits_needed_by_peers[ShareKey(item.key)] = 1
        return grant

    # Connection permits

    def reserve(self, target: TargetId) -> bool:
        """Take a permit that this instance holds; return False if none is free."""
        return self.ledger.reserve(permit_key(target))

    def reserve_from_peers(self, target: TargetId) -> bool:
        """Request a permit from peers and take it; return False if none came in bounded time."""
        key = permit_key(target)
        until = self._clock.monotonic() + MAX_PEER_WAIT_S
        return self._search_peers(key, lambda: self.ledger.reserve(key), until)

    def release(self, target: TargetId) -> None:
        """Free a permit, once the target no longer counts its connection."""
        self.ledger.release(permit_key(target))

    def permits_to_return(self, target: TargetId) -> int:
        """Return the number of connections to close so that their permits become free.

        It counts the permits in use that this instance no longer holds, and those that
        peers requested and did not get.
        """
        key = permit_key(target)
        return self.ledger.excess_permits(key) + self._permits_needed_by_peers.pop(key, 0)

    # Entering the fleet

    def _ensure_entered(self) -> None:
        own_info = self._membership.find(InstanceId(self.ledger.incarnation.partition("/")[0]))
        if self._was_listed and own_info is None:
            self.ledger.suspend()
        self._was_listed = self._was_listed or own_info is not None
        suspended = self.ledger.suspended and own_info is not None
        if suspended or not (self._joined and self.ledger.epoch):
            self._enter_fleet()

    def _enter_fleet(self) -> None:
        requested_at = self._clock.monotonic()
        record = self._claim_part()
        if isinstance(record, Err) and isinstance(record.err_value, Conflict):
            return
        if isinstance(record, Ok):
            self.ledger.apply_record(record.ok_value)
            self.ledger.resume(record.ok_value.epoch, requested_at)
            self._joined = True
            return
        if self.ledger.epoch and not self.ledger.suspended:
            return
        for peer in self._available_peers():
            match self._links.request(peer, EpochRequest(), PEER_TIMEOUT_S):
                case Ok(EpochAnswer(suspended=False, epoch=epoch)) if epoch:
                    self.ledger.adopt_epoch(epoch)
                    self.ledger.resume(epoch, requested_at)
                    return

    def _read_record(self) -> Result[tuple[ShareRecord, int], QuetzalrudderError]:
        stored = self._platform.get(RECORD_KEY)
        return stored.map(lambda entry: (ShareRecord.parse(entry.value), entry.version))

    def _write_record(
        self, record: ShareRecord, version: int
    ) -> Result[ShareRecord, QuetzalrudderError]:
        put = PutRequest(key=RECORD_KEY, value=bytes(record), expected_version=version)
        answer = self._platform.put(put)
        if isinstance(answer, Err):
            return answer
        if not answer.ok_value.done:
            return Err(Conflict("another instance changed the record of shares", place=RECORD_KEY))
        return Ok(record)

    def _claim_part(self) -> Result[ShareRecord, QuetzalrudderError]:
        """Return the record, which is created if it is missing.

        An unclaimed part of this data centre is claimed, unless a census is open.
        """
        stored = self._read_record()
        if isinstance(stored, Err):
            return stored
        record, version = stored.ok_value
        if version == 0:
            data_centres = sorted({info.data_centre for info in self._membership.instances()})
            if not data_centres:
                return Err(
                    PlatformUnavailable("the list of instances is not known yet", place=RECORD_KEY)
                )
            claims = [ShareClaim(data_centre=data_centre) for data_centre in data_centres]
            record = ShareRecord(epoch=1, closed=True, claims=claims)
        unclaimed = [
            claim
            for claim in record.claims
            if claim.data_centre == self.ledger.data_centre and not claim.incarnation
        ]
        if not unclaimed or not record.closed:
            return Ok(record)
        unclaimed[0].incarnation = self.ledger.incarnation
        return self._write_record(record, version)

    # Transfers

    def _available_peers(self) -> list[InstanceId]:
        now = self._clock.monotonic()
        peers = [info.instance for info in self._membership.peers() if not info.leaving]
        return [peer for peer in peers if self._avoided_until.get(peer, 0.0) <= now]

    def _request_shares(
        self, keys: list[ShareKey], timeout_s: float, tried: set[InstanceId]
    ) -> None:
        peers = [peer for peer in self._available_peers() if peer not in tried]
        balances = self._peer_balances.get(keys[0], {})
        giver = choose_giver(peers, balances, self._rng)
        if giver is None or not self._budget.try_consume():
            return
        tried.add(giver)
        if self._leaving:
            return
        try:
            fut = self._links.start(giver, self.ledger.request(giver, keys))
        except QuetzalrudderError:
            self._avoid(giver)
            return
        answer = self._links.wait_for_answer(fut, timeout_s)
        match answer:
            case Ok(ShareGrant() as grant):
                self._apply_grant(giver, grant)
            case Err(OutcomeUnknown()):
                if timeout_s >= PEER_TIMEOUT_S:
                    self._avoid(giver)
                self._timed_out_at[giver] = self._clock.monotonic()
                fut.add_done_callback(lambda late: self._apply_late_grant(giver, late))
            case _:
                self._avoid(giver)

    def _avoid(self, peer: InstanceId) -> None:
        self._avoided_until[peer] = self._clock.monotonic() + PEER_AVOIDANCE_S

    def _apply_late_grant(self, giver: InstanceId, fut: "Future[PeerFrame]") -> None:
        answer = self._links.wait_for_answer(fut, 0)
        self._timed_out_at.pop(giver, None)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, ShareGrant):
            self.ledger.accept_grant(giver, answer.ok_value)
            self._avoided_until.pop(giver, None)

    def _apply_grant(self, giver: InstanceId, grant: ShareGrant) -> None:
        self.ledger.accept_grant(giver, grant)
        self._record_incarnation(giver, grant.incarnation)
        for item in grant.left:
            self._peer_balances.setdefault(ShareKey(item.key), {})[giver] = item.tokens
        if grant.refused and grant.epoch > self.ledger.epoch:
            stored = self._read_record()
            if isinstance(stored, Ok):
                self.ledger.apply_record(stored.ok_value[0])

    def _balance(self) -> None:
        keys = self.ledger.active_keys()
        if keys and self.ledger.epoch and not self._leaving:
            # Reported balances are dropped, so that the request goes to a random peer. Shares thus
            # spread to where the demand is.
            self._peer_balances.pop(keys[0], None)
            self._request_shares(keys, PEER_TIMEOUT_S, set())

    def spend_from_peers(self, key: ShareKey, cost: float) -> bool:
        """Get the tokens that a request needs from a few peers, and spend them.

        Returns False if too few came in bounded time.
        """
        started = self._clock.monotonic()

        def spend() -> bool:
            return self.ledger.retry_spend(key, cost)

        if self._search_peers(key, spend, started + MAX_PEER_WAIT_S):
            return True
        while (
            self._may_receive_tokens(key) and self._clock.monotonic() - started < MAX_TOKEN_WAIT_S
        ):
            self._stopping.wait(RETRY_INTERVAL_S)
            if self._search_peers(key, spend, self._clock.monotonic() + PEER_TIMEOUT_S):
                return True
        return False

    def _may_receive_tokens(self, key: ShareKey) -> bool:
        """Return whether tokens may still arrive, so that the request is not refused yet."""
        earliest = self._clock.monotonic() - MAX_ANSWER_DELAY_S
        expected = any(at > earliest for at in list(self._timed_out_at.values()))
        return expected or not self.ledger.epoch or self.ledger.units(key) == 0

    def _search_peers(self, key: ShareKey, try_take: Callable[[], bool], until: float) -> bool:
        lock = self._search_locks[PERMIT_PREFIX if key.startswith(PERMIT_PREFIX) else RATE_PREFIX]
        if not lock.acquire(timeout=max(0.0, until - self._clock.monotonic())):
            return False
        try:
            tried: set[InstanceId] = set()
            for _ in range(MAX_PEERS_PER_SEARCH):
                if try_take():
                    return True
                remaining_s = until - self._clock.monotonic()
                if remaining_s <= 0 or not self.ledger.epoch:
                    return False
                self._request_shares([key], remaining_s, tried)
            return try_take()
        finally:
            lock.release()

    def _open_one_link(self) -> None:
        """Open a link to one more peer, so that the first share request need not wait for it."""
        unlinked = [peer for peer in self._available_peers() if peer not in self._incarnations]
        if unlinked and len(self._incarnations) < MAX_CANDIDATE_PEERS:
            peer = self._rng.choice(unlinked)
            match self._links.request(peer, EpochRequest(), PEER_TIMEOUT_S):
                case Ok(EpochAnswer(incarnation=incarnation)):
                    self._record_incarnation(peer, incarnation)
                case _:
                    self._avoid(peer)

    def hand_over(self) -> None:
        """Hand over all shares to a peer before this instance stops, and request no more."""
        self._leaving = True
        with self._balance_lock:
            self._offer_to_peers()

    def _offer_to_peers(self) -> None:
        for _ in range(MAX_HAND_OVER_ROUNDS):
            candidates = self._available_peers()
            for peer in self._rng.sample(candidates, len(candidates)):
                if self._offer_to_peer(peer):
                    return
            self._stopping.wait(BALANCE_INTERVAL_S)
        log.warning("shares were not handed over", extra={"reason": "no peer accepted them"})

    def _offer_to_peer(self, peer: InstanceId) -> bool:
        """Offer all shares to a peer; return False if it certainly accepted none."""
        may_be_delivered = False
        for _ in range(MAX_OFFER_ATTEMPTS):
            answer = self._links.request(peer, self.ledger.offer(peer), PEER_TIMEOUT_S)
            match answer:
                case Ok(ShareAck() as ack):
                    self.ledger.apply_ack(peer, ack)
                    return not ack.refused
                case Err(exc) if exc.ending is Ending.NOT_RUN and not may_be_delivered:
                    self.ledger.withdraw_offer(peer)
                    return False
                case _:
                    may_be_delivered = True
                    self._stopping.wait(RETRY_INTERVAL_S)
        log.warning(
            "shares may be missing until the next census",
            extra={"peer": peer, "reason": "the peer did not answer the offer"},
        )
        return True

    # Census

    def _record_incarnation(self, peer: InstanceId, incarnation: str) -> None:
        previous = self._incarnations.get(peer)
        self._incarnations[peer] = incarnation
        self._census_needed = self._census_needed or previous not in (None, incarnation)

    def run_census(self) -> None:
        """Recover shares of instances that have left, until :meth:`stop`; run by one task."""
        while not self._stopping.wait(1.0):
            try:
                self._record_departures()
                if self._census_needed and self._is_census_due():
                    self._last_census_at = self._clock.monotonic()
                    outcome = self._run_one_census()
                    self._census_needed = isinstance(outcome, Err)
                    log.info("census of shares finished", extra={"outcome": str(outcome)})
            except Exception:
                log.exception("census of shares failed with an unexpected error; retrying")

    def _record_departures(self) -> None:
        now = self._clock.monotonic()
        listed = {info.instance for info in self._membership.instances()}
        for name in self._known_instances - listed:
            self._departed_at.setdefault(name, now)
        self._departed_at = {
            name: at for name, at in self._departed_at.items() if name not in listed
        }
        due = [name for name, at in self._departed_at.items() if now - at >= DEPARTURE_GRACE_S]
        for name in due:
            self._departed_at.pop(name)
            self._incarnations.pop(name, None)
            self.ledger.abandon_request(name)
            self._census_needed = True
        self._known_instances = (self._known_instances | listed) - set(due)

    def _is_census_due(self) -> bool:
        names = sorted(info.instance for info in self._membership.instances())
        own_name = InstanceId(self.ledger.incarnation.partition("/")[0])
        if own_name not in names or self._departed_at:
            return False
        # The first instance by name may try again after one interval, the second after two and the
        # others after three, so that they seldom compete.
        wait_s = CENSUS_INTERVAL_S * (1 + min(names.index(own_name), 2))
        return self._clock.monotonic() - self._last_census_at >= wait_s

    def _run_one_census(self) -> Result[None, QuetzalrudderError]:
        if not all(
            self._links.request(p, EpochRequest(), PEER_TIMEOUT_S).is_ok()
            for p in self._peer_names()
        ):
            return Err(Conflict("a listed instance does not answer", place=RECORD_KEY))
        stored = self._read_record()
        if isinstance(stored, Err):
            return stored
        current, version = stored.ok_value
        if current.epoch != self.ledger.epoch or self.ledger.epoch_answer().suspended:
            self.ledger.apply_record(current)
            return Err(
                Conflict(
                    "this instance is suspended or not in the recorded epoch", place=RECORD_KEY
                )
            )
        opened = ShareRecord(
            epoch=current.epoch + 1,
            coordinator=self.ledger.incarnation,
            claims=current.claims,
            counted=current.counted,
        )
        written = self._write_record(opened, version)
        return written.and_then(self._count_and_close)

    def _peer_names(self) -> list[InstanceId]:
        return [info.instance for info in self._membership.peers()]

    def _count_and_close(self, opened: ShareRecord) -> Result[None, QuetzalrudderError]:
        answers = {InstanceId(""): self.ledger.answer_census(opened.epoch)}
        for peer in self._peer_names():
            answer = self._links.request(peer, CensusRequest(epoch=opened.epoch), CENSUS_TIMEOUT_S)
            match answer:
                case Ok(CensusAnswer() as census_answer) if census_answer.epoch == opened.epoch:
                    answers[peer] = census_answer
        self._stopping.wait(LIST_PROPAGATION_S)
        if not set(self._peer_names()) <= set(answers):
            return Err(Conflict("a listed instance did not answer the census", place=RECORD_KEY))
        return self._close_census(opened, list(answers.values()))

    def _close_census(
        self, opened: ShareRecord, answers: list[CensusAnswer]
    ) -> Result[None, QuetzalrudderError]:
        counted = [answer.incarnation for answer in answers]
        lost = lost_units(answers, self.ledger.limits)
        claims = claims_from_census(answers, opened.claims, opened.coordinator)
        closed = ShareRecord(
            epoch=opened.epoch,
            closed=True,
            coordinator=opened.coordinator,
            claims=claims,
            counted=counted,
        )
        stored = self._read_record()
        if isinstance(stored, Err):
            return stored
        if stored.ok_value[0] != opened:
            return Err(Conflict("another census has changed the record", place=RECORD_KEY))
        self._write_record(closed, stored.ok_value[1])
        # The answer to the write may be lost, so the record is read again.
        reread = self._read_record()
        if isinstance(reread, Err):
            return reread
        if reread.ok_value[0] != closed:
            return Err(Conflict("the record was not closed by this census", place=RECORD_KEY))
        self.ledger.credit_lost_units(closed, lost)
        return Ok(None)
