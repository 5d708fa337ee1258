"""Moves shares between instances, joins the division, and finds what has been lost."""

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
MAX_PEER_WAIT_S = 0.05
# While the instance enters the fleet and holds nothing of a key yet.
MAX_EMPTY_WAIT_S = 1.0
EMPTY_RETRY_INTERVAL_S = 0.02
MAX_PEERS_ASKED = 3
# An answer that is not there after this time is not waited for; several times that of a busy peer.
MAX_ANSWER_DELAY_S = 0.3
PEER_TIMEOUT_S = 0.2
PEER_AVOIDANCE_S = 1.0
MAX_SHARE_REQUESTS_PER_S = 40.0
MAX_CANDIDATE_PEERS = 8
DEPARTURE_GRACE_S = 5.0
LIST_PROPAGATION_S = 3.0
CENSUS_INTERVAL_S = 10.0
CENSUS_TIMEOUT_S = 3.0
# Together longer than the pause after which a peer takes nothing any more (MAX_PAUSE_S).
MAX_OFFER_ATTEMPTS = 11
# A peer that refuses shares has just started or was paused; both are over within a second.
MAX_HAND_OVER_ROUNDS = 10


class ShareRequestBudget:
    """Bounds the requests for shares that an instance sends in a second.

    Parameters
    ----------
    clock : Clock
        Source of time.
    per_s : float
        Most requests a second.
    """

    def __init__(self, clock: Clock, per_s: float = MAX_SHARE_REQUESTS_PER_S) -> None:
        self._clock = clock
        self._per_s = per_s
        self._left = per_s
        self._at = clock.monotonic()

    def try_consume(self) -> bool:
        """Take one request from the budget; false if it is used up."""
        now = self._clock.monotonic()
        self._left = min(self._per_s, self._left + (now - self._at) * self._per_s)
        self._at = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


def choose_giver(
    peers: Iterable[InstanceId], left: dict[InstanceId, float], rng: random.Random
) -> InstanceId | None:
    """Choose the peer with the most left, by its own last word; unknown ones come first."""
    candidates = sorted(peers)
    if not candidates:
        return None
    if len(candidates) > MAX_CANDIDATE_PEERS:
        candidates = rng.sample(candidates, MAX_CANDIDATE_PEERS)
    rng.shuffle(candidates)
    return max(candidates, key=lambda peer: left.get(peer, float("inf")))


class ShareExchange:
    """Keeps an instance's ledger supplied.

    Parameters
    ----------
    ledger : ShareLedger
        The shares of this instance.
    links : PeerLinks
        The way to peers.
    membership : Membership
        Who they are.
    platform : Platform
        Holds the record of the division.
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
        # One search at a time for tokens, and one for permits.
        self._seeking = {RATE_PREFIX: threading.Lock(), PERMIT_PREFIX: threading.Lock()}
        self._stopping = threading.Event()
        self._balancing = threading.Lock()
        self._leaving = False
        self._left: dict[ShareKey, dict[InstanceId, float]] = {}
        self._avoided: dict[InstanceId, float] = {}
        # Peers that have not answered in time yet, and when they were asked.
        self._late: dict[InstanceId, float] = {}
        self._incarnations: dict[InstanceId, str] = {}
        self._seen: set[InstanceId] = set()
        self._gone_at: dict[InstanceId, float] = {}
        self._census_wanted = False
        self._census_at = float("-inf")
        self._listed = False
        # The platform's record has been read, and the own data centre's part claimed if free.
        self._joined = False
        # Permits that peers asked for and did not get.
        self._wanted: dict[ShareKey, int] = {}
        links.on(ShareRequest, self._grant)
        links.on(ShareOffer, lambda _, offer: ledger.accept_offer(offer))
        links.on(CensusRequest, lambda _, req: ledger.answer_census(req.epoch))
        links.on(EpochRequest, lambda _, req: ledger.epoch_answer())

    def stop(self) -> None:
        """End :meth:`run` and :meth:`run_census` at their next turn."""
        self._stopping.set()

    def run(self) -> None:
        """Exchange shares until :meth:`stop`; one task runs this."""
        while not self._stopping.wait(BALANCE_INTERVAL_S):
            try:
                self.ledger.heartbeat()
                self._settle_in()
                self._warm_up()
                with self._balancing:
                    self._balance()
            except Exception:
                log.exception("exchange of shares ended by a defect")

    def _grant(self, taker: InstanceId, req: ShareRequest) -> ShareGrant:
        grant = self.ledger.grant(taker, req)
        given = {item.key for item in grant.items}
        for item in req.items:
            permit = item.key.startswith(PERMIT_PREFIX)
            if permit and item.lack and item.key not in given and not grant.refused:
                self._wanted[ShareKey(item.key)] = 1
        return grant

    # Permits for connections

    def reserve(self, target: TargetId) -> bool:
        """Take a permit that this instance holds; false if none is free."""
        return self.ledger.reserve(permit_key(target))

    def reserve_from_peers(self, target: TargetId) -> bool:
        """Ask peers for a permit and take it; false if none came within a small bound."""
        key = permit_key(target)
        until = self._clock.monotonic() + MAX_PEER_WAIT_S
        return self._seek_within(key, lambda: self.ledger.reserve(key), until)

    def release(self, target: TargetId) -> None:
        """Put a permit back, once the target no longer counts the connection."""
        self.ledger.release(permit_key(target))

    def permits_to_return(self, target: TargetId) -> int:
        """Give how many permits are in use beyond those held, or wanted by peers."""
        key = permit_key(target)
        return self.ledger.excess_permits(key) + self._wanted.pop(key, 0)

    # Entering the fleet

    def _settle_in(self) -> None:
        own = self._membership.find(InstanceId(self.ledger.incarnation.partition("/")[0]))
        if self._listed and own is None:
            self.ledger.suspend()
        self._listed = self._listed or own is not None
        suspended = self.ledger.suspended and own is not None
        if suspended or not (self._joined and self.ledger.epoch):
            self._enter()

    def _enter(self) -> None:
        asked_at = self._clock.monotonic()
        record = self._claim()
        if isinstance(record, Err) and isinstance(record.err_value, Conflict):
            return
        if isinstance(record, Ok):
            self.ledger.apply_record(record.ok_value)
            self.ledger.resume(record.ok_value.epoch, asked_at)
            self._joined = True
            return
        if self.ledger.epoch and not self.ledger.suspended:
            return
        for peer in self._candidates():
            match self._links.ask(peer, EpochRequest(), PEER_TIMEOUT_S):
                case Ok(EpochAnswer(suspended=False, epoch=epoch)) if epoch:
                    self.ledger.adopt_epoch(epoch)
                    self.ledger.resume(epoch, asked_at)
                    return

    def _read_record(self) -> Result[tuple[ShareRecord, int], QuetzalrudderError]:
        entry = self._platform.get(RECORD_KEY)
        return entry.map(lambda found: (ShareRecord.parse(found.value), found.version))

    def _write_record(
        self, record: ShareRecord, version: int
    ) -> Result[ShareRecord, QuetzalrudderError]:
        put = PutRequest(key=RECORD_KEY, value=bytes(record), expected_version=version)
        answer = self._platform.put(put)
        if isinstance(answer, Err):
            return answer
        if not answer.ok_value.done:
            return Err(Conflict("the record of shares was changed", place=RECORD_KEY))
        return Ok(record)

    def _claim(self) -> Result[ShareRecord, QuetzalrudderError]:
        """Read the record, after making it or claiming the own data centre's part."""
        found = self._read_record()
        if isinstance(found, Err):
            return found
        record, version = found.ok_value
        if version == 0:
            centres = sorted({info.data_centre for info in self._membership.instances()})
            if not centres:
                return Err(PlatformUnavailable("no list of instances yet", place=RECORD_KEY))
            claims = [ShareClaim(data_centre=data_centre) for data_centre in centres]
            record = ShareRecord(epoch=1, closed=True, claims=claims)
        free = [
            claim
            for claim in record.claims
            if claim.data_centre == self.ledger.data_centre and not claim.incarnation
        ]
        if not free or not record.closed:
            return Ok(record)
        free[0].incarnation = self.ledger.incarnation
        return self._write_record(record, version)

    # Transfers

    def _candidates(self) -> list[InstanceId]:
        now = self._clock.monotonic()
        peers = [info.instance for info in self._membership.peers() if not info.leaving]
        return [peer for peer in peers if self._avoided.get(peer, 0.0) <= now]

    def _ask(self, keys: list[ShareKey], timeout_s: float, tried: set[InstanceId]) -> None:
        peers = [peer for peer in self._candidates() if peer not in tried]
        left = self._left.get(keys[0], {})
        giver = choose_giver(peers, left, self._rng)
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
        answer = self._links.answer_of(fut, timeout_s)
        match answer:
            case Ok(ShareGrant() as grant):
                self._take(giver, grant)
            case Err(OutcomeUnknown()):
                if timeout_s >= PEER_TIMEOUT_S:
                    self._avoid(giver)
                self._late[giver] = self._clock.monotonic()
                fut.add_done_callback(lambda late: self._take_late(giver, late))
            case _:
                self._avoid(giver)

    def _avoid(self, peer: InstanceId) -> None:
        self._avoided[peer] = self._clock.monotonic() + PEER_AVOIDANCE_S

    def _take_late(self, giver: InstanceId, fut: "Future[PeerFrame]") -> None:
        answer = self._links.answer_of(fut, 0)
        self._late.pop(giver, None)
        if isinstance(answer, Ok) and isinstance(answer.ok_value, ShareGrant):
            self.ledger.accept_grant(giver, answer.ok_value)
            self._avoided.pop(giver, None)

    def _take(self, giver: InstanceId, grant: ShareGrant) -> None:
        self.ledger.accept_grant(giver, grant)
        self._note_incarnation(giver, grant.incarnation)
        for item in grant.left:
            self._left.setdefault(ShareKey(item.key), {})[giver] = item.tokens
        if grant.refused and grant.epoch > self.ledger.epoch:
            found = self._read_record()
            if isinstance(found, Ok):
                self.ledger.apply_record(found.ok_value[0])

    def _balance(self) -> None:
        keys = self.ledger.active_keys()
        if keys and self.ledger.epoch and not self._leaving:
            # A balance goes to any peer, so that shares spread to where the demand is.
            self._left.pop(keys[0], None)
            self._ask(keys, PEER_TIMEOUT_S, set())

    def spend_from_peers(self, key: ShareKey, cost: float) -> bool:
        """Ask a few peers for the tokens of one request, within a small bound."""
        started = self._clock.monotonic()

        def take() -> bool:
            return self.ledger.retry_spend(key, cost)

        if self._seek_within(key, take, started + MAX_PEER_WAIT_S):
            return True
        while self._may_come(key) and self._clock.monotonic() - started < MAX_EMPTY_WAIT_S:
            self._stopping.wait(EMPTY_RETRY_INTERVAL_S)
            if self._seek_within(key, take, self._clock.monotonic() + PEER_TIMEOUT_S):
                return True
        return False

    def _may_come(self, key: ShareKey) -> bool:
        """Tell whether tokens may be on their way, so that a refusal would be early."""
        oldest = self._clock.monotonic() - MAX_ANSWER_DELAY_S
        late = any(asked_at > oldest for asked_at in list(self._late.values()))
        return late or not self.ledger.epoch or self.ledger.units(key) == 0

    def _seek_within(self, key: ShareKey, take: Callable[[], bool], until: float) -> bool:
        seeking = self._seeking[PERMIT_PREFIX if key.startswith(PERMIT_PREFIX) else RATE_PREFIX]
        if not seeking.acquire(timeout=max(0.0, until - self._clock.monotonic())):
            return False
        try:
            tried: set[InstanceId] = set()
            for _ in range(MAX_PEERS_ASKED):
                if take():
                    return True
                left_s = until - self._clock.monotonic()
                if left_s <= 0 or not self.ledger.epoch:
                    return False
                self._ask([key], left_s, tried)
            return take()
        finally:
            seeking.release()

    def _warm_up(self) -> None:
        """Open a link to one more peer, so that the first request need not wait for it."""
        cold = [peer for peer in self._candidates() if peer not in self._incarnations]
        if cold and len(self._incarnations) < MAX_CANDIDATE_PEERS:
            peer = self._rng.choice(cold)
            match self._links.ask(peer, EpochRequest(), PEER_TIMEOUT_S):
                case Ok(EpochAnswer(incarnation=incarnation)):
                    self._note_incarnation(peer, incarnation)
                case _:
                    self._avoid(peer)

    def hand_over(self) -> None:
        """Give all shares to a peer, before this instance stops; it asks for none after that."""
        self._leaving = True
        with self._balancing:
            self._offer_all()

    def _offer_all(self) -> None:
        for _ in range(MAX_HAND_OVER_ROUNDS):
            candidates = self._candidates()
            for peer in self._rng.sample(candidates, len(candidates)):
                if self._offer_to(peer):
                    return
            self._stopping.wait(BALANCE_INTERVAL_S)
        log.warning("shares were not handed over", extra={"reason": "no peer took them"})

    def _offer_to(self, peer: InstanceId) -> bool:
        """Hand everything to a peer; false if it certainly took nothing."""
        may_have_come = False
        for _ in range(MAX_OFFER_ATTEMPTS):
            answer = self._links.ask(peer, self.ledger.offer(peer), PEER_TIMEOUT_S)
            match answer:
                case Ok(ShareAck() as ack):
                    self.ledger.apply_ack(peer, ack)
                    return not ack.refused
                case Err(exc) if exc.ending is Ending.NOT_RUN and not may_have_come:
                    self.ledger.withdraw_offer(peer)
                    return False
                case _:
                    may_have_come = True
                    self._stopping.wait(EMPTY_RETRY_INTERVAL_S)
        log.warning(
            "shares may be lost until the next census",
            extra={"peer": peer, "reason": "no answer to the offer"},
        )
        return True

    # Census

    def _note_incarnation(self, peer: InstanceId, incarnation: str) -> None:
        known = self._incarnations.get(peer)
        self._incarnations[peer] = incarnation
        self._census_wanted = self._census_wanted or known not in (None, incarnation)

    def run_census(self) -> None:
        """Take back shares of instances that are gone, until :meth:`stop`; one task."""
        while not self._stopping.wait(1.0):
            try:
                self._note_gone()
                if self._census_wanted and self._is_due():
                    self._census_at = self._clock.monotonic()
                    outcome = self._take_census()
                    self._census_wanted = isinstance(outcome, Err)
                    log.info("census of shares", extra={"outcome": str(outcome)})
            except Exception:
                log.exception("census of shares ended by a defect")

    def _note_gone(self) -> None:
        now = self._clock.monotonic()
        listed = {info.instance for info in self._membership.instances()}
        for name in self._seen - listed:
            self._gone_at.setdefault(name, now)
        self._gone_at = {name: at for name, at in self._gone_at.items() if name not in listed}
        due = [name for name, at in self._gone_at.items() if now - at >= DEPARTURE_GRACE_S]
        for name in due:
            self._gone_at.pop(name)
            self._incarnations.pop(name, None)
            self.ledger.abandon_request(name)
            self._census_wanted = True
        self._seen = (self._seen | listed) - set(due)

    def _is_due(self) -> bool:
        names = sorted(info.instance for info in self._membership.instances())
        own = InstanceId(self.ledger.incarnation.partition("/")[0])
        if own not in names or self._gone_at:
            return False
        # The first by name goes first; the others follow if it has not done it.
        wait_s = CENSUS_INTERVAL_S * (1 + min(names.index(own), 2))
        return self._clock.monotonic() - self._census_at >= wait_s

    def _take_census(self) -> Result[None, QuetzalrudderError]:
        if not all(
            self._links.ask(p, EpochRequest(), PEER_TIMEOUT_S).is_ok() for p in self._peers()
        ):
            return Err(Conflict("an instance of the list does not answer", place=RECORD_KEY))
        found = self._read_record()
        if isinstance(found, Err):
            return found
        old, version = found.ok_value
        if old.epoch != self.ledger.epoch or self.ledger.epoch_answer().suspended:
            self.ledger.apply_record(old)
            return Err(Conflict("another census came first", place=RECORD_KEY))
        opened = ShareRecord(
            epoch=old.epoch + 1,
            coordinator=self.ledger.incarnation,
            claims=old.claims,
            counted=old.counted,
        )
        written = self._write_record(opened, version)
        return written.and_then(self._count_and_close)

    def _peers(self) -> list[InstanceId]:
        return [info.instance for info in self._membership.peers()]

    def _count_and_close(self, opened: ShareRecord) -> Result[None, QuetzalrudderError]:
        answers = {InstanceId(""): self.ledger.answer_census(opened.epoch)}
        for peer in self._peers():
            answer = self._links.ask(peer, CensusRequest(epoch=opened.epoch), CENSUS_TIMEOUT_S)
            match answer:
                case Ok(CensusAnswer() as told) if told.epoch == opened.epoch:
                    answers[peer] = told
        self._stopping.wait(LIST_PROPAGATION_S)
        if not set(self._peers()) <= set(answers):
            return Err(Conflict("an instance of the list was not counted", place=RECORD_KEY))
        return self._close(opened, list(answers.values()))

    def _close(
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
        found = self._read_record()
        if isinstance(found, Err):
            return found
        if found.ok_value[0] != opened:
            return Err(Conflict("another census came first", place=RECORD_KEY))
        self._write_record(closed, found.ok_value[1])
        # The answer to the write may be lost; what counts is what the record says.
        again = self._read_record()
        if isinstance(again, Err):
            return again
        if again.ok_value[0] != closed:
            return Err(Conflict("another census came first", place=RECORD_KEY))
        self.ledger.credit_lost_units(closed, lost)
        return Ok(None)
