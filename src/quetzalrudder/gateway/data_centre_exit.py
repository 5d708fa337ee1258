"""When a read leaves its data centre, by the time that it saves and the operator's price.

Serves fleets in several data centres where traffic between them costs money and a data
centre's own databases are sometimes too few. A read stays where it is unless it is answered
so much sooner elsewhere that this is worth the price. The share of reads that leave grows
and shrinks by degrees, at a pace that differs between instances, and never exceeds what the
other side says that it has free.
"""

import logging
import random
import threading
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from quetzalrudder.models import DataCentre
from quetzalrudder.utils import Clock

__all__ = ["CrossingPrice", "DataCentreExit", "Decision", "ExitReason", "Offer", "best_offers"]

log = logging.getLogger(__name__)

BYTES_PER_MEGABYTE = 1_000_000
# Reads begin to leave if they save this fraction of the time elsewhere beyond the price, and
# stop below the second: one answer more or less changes an estimate by less than the gap.
START_FRACTION = 0.5
STOP_FRACTION = 0.1
# Time in which the share goes from none to all. Instances differ by the factors, and begin
# up to the delay later, so that they do not all arrive at once.
RAMP_S = 1.0
RAMP_FACTORS = (0.5, 1.5)
MAX_START_DELAY_S = 0.3
# Use of the other side's databases above which it gets nothing: its own reads vary too.
MAX_REMOTE_LOAD = 0.8
# Reads that are in time only elsewhere leave this much sooner than others.
IN_TIME_FACTOR = 2.0
# Failures without an answer between them after which a data centre counts as cut off.
CUT_AFTER_FAILURES = 3
FIRST_CLOSED_S = 0.5
MAX_CLOSED_S = 8.0
# Weight of an outcome in the share of reads that a link loses.
LOSS_WEIGHT = 0.1
MAX_LOSS_SHARE = 0.9


@dataclass(frozen=True)
class CrossingPrice:
    """Seconds of waiting that traffic between data centres is worth to the operator."""

    per_statement_s: float = 0.0
    per_megabyte_s: float = 0.0

    def of(self, size_bytes: float) -> float:
        """Return the price in seconds of a read whose messages have this size.

        Examples
        --------
        >>> CrossingPrice(0.01, 2.0).of(5000)
        0.02
        """
        return self.per_statement_s + self.per_megabyte_s * size_bytes / BYTES_PER_MEGABYTE


@dataclass(frozen=True)
class Offer:
    """What a data centre's best database promises for a read."""

    # Expected time to answer, round trip included.
    expected_s: float
    # Reported use of its databases; 1 is all.
    load: float


def best_offers(offers: Iterable[tuple[DataCentre, Offer]]) -> dict[DataCentre, Offer]:
    """Return the best offer of each data centre: the shortest time and the least load."""
    best: dict[DataCentre, Offer] = {}
    for data_centre, offer in offers:
        other = best.get(data_centre, offer)
        best[data_centre] = Offer(
            min(offer.expected_s, other.expected_s), min(offer.load, other.load)
        )
    return best


class ExitReason(Enum):
    """Why a statement stays or leaves."""

    STAYS = "stays"
    # The primary is elsewhere; no decision is made.
    PRIMARY = "primary"
    NO_LOCAL = "no local database"
    IN_TIME = "in time only there"
    SOONER = "sooner"
    TRIAL = "trial"


@dataclass(frozen=True)
class Decision:
    """Data centre of a read, and why."""

    data_centre: DataCentre
    reason: ExitReason


@dataclass
class _Link:
    """What is known of one other data centre."""

    share: float = 0.0
    is_leaving: bool = False
    ramp_s: float = RAMP_S
    # Time from which the share grows or shrinks further.
    updated_at: float = 0.0
    failures: int = 0
    loss_share: float = 0.0
    closed_until: float = 0.0

    @property
    def is_cut(self) -> bool:
        return self.failures >= CUT_AFTER_FAILURES


class DataCentreExit:
    """Decides for each read of one instance whether it leaves the data centre.

    Parameters
    ----------
    home : DataCentre
        Data centre of this instance.
    price : CrossingPrice
        What leaving costs.
    clock : Clock
        Source of time.
    rng : random.Random
        Spreads the pace of instances, and chooses the reads that leave.
    """

    def __init__(
        self, home: DataCentre, price: CrossingPrice, clock: Clock, rng: random.Random
    ) -> None:
        self._home = home
        self._price = price
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._links: dict[DataCentre, _Link] = {}

    def record_answer(self, data_centre: DataCentre) -> None:
        """Record an answer from another data centre."""
        with self._lock:
            link = self._links.setdefault(data_centre, _Link())
            was_cut = link.is_cut
            link.failures, link.closed_until = 0, 0.0
            link.loss_share *= 1 - LOSS_WEIGHT
        if was_cut:
            log.info("data centre answers again", extra={"data_centre": data_centre})

    def record_failure(self, data_centre: DataCentre) -> None:
        """Record a missing answer from another data centre."""
        now = self._clock.monotonic()
        with self._lock:
            link = self._links.setdefault(data_centre, _Link())
            link.failures += 1
            link.loss_share += LOSS_WEIGHT * (1 - link.loss_share)
            if link.is_cut:
                doublings = min(10, link.failures - CUT_AFTER_FAILURES)
                link.closed_until = now + min(MAX_CLOSED_S, FIRST_CLOSED_S * 2**doublings)
                link.share, link.is_leaving = 0.0, False
            is_new_cut = link.failures == CUT_AFTER_FAILURES
        if is_new_cut:
            log.warning("data centre does not answer", extra={"data_centre": data_centre})

    def choose(
        self,
        local: Offer | None,
        remote: Mapping[DataCentre, Offer],
        remaining_s: float | None = None,
        size_bytes: float = 0.0,
    ) -> Decision:
        """Return the data centre of a read.

        Parameters
        ----------
        local : Offer, optional
            None if the own data centre has no database for the read.
        remote : Mapping
            The offers of other data centres.
        remaining_s : float, optional
            Time left until the read's objective.
        size_bytes : float
            Expected size of its messages.
        """
        stays = Decision(self._home, ExitReason.STAYS)
        if not remote:
            return stays
        now = self._clock.monotonic()
        with self._lock:
            links = {name: self._links.setdefault(name, _Link(updated_at=now)) for name in remote}
            if local is None:
                return Decision(self._quickest(remote, links, now), ExitReason.NO_LOCAL)
            open_links = {name: link for name, link in links.items() if not link.is_cut}
            trial = next(
                (name for name, link in links.items() if link.is_cut and now >= link.closed_until),
                None,
            )
            price_s = self._price.of(size_bytes)
            saved_s = {
                name: local.expected_s - _with_losses(remote[name], link) - price_s
                for name, link in links.items()
            }
            if trial is not None and saved_s[trial] > 0:
                # One read; the others wait for its result.
                links[trial].closed_until = now + MAX_CLOSED_S
                return Decision(trial, ExitReason.TRIAL)
            for name, link in open_links.items():
                self._update(link, remote[name], saved_s[name], now)
            leaving = {
                name: link
                for name, link in open_links.items()
                if link.share > 0 and saved_s[name] > -STOP_FRACTION * remote[name].expected_s
            }
            if not leaving:
                return stays
            # In proportion to the shares, so that the quickest is not overrun.
            name = self._rng.choices(list(leaving), [link.share for link in leaving.values()])[0]
            return self._decide(name, leaving[name], local, remote[name], remaining_s)

    def _quickest(
        self, remote: Mapping[DataCentre, Offer], links: dict[DataCentre, _Link], now: float
    ) -> DataCentre:
        """Return the quickest data centre that is not cut off or full, if there is one."""

        def key(name: DataCentre) -> tuple[bool, bool, float]:
            spread = self._rng.uniform(1.0, 1.2)
            link = links[name]
            is_closed = link.is_cut and now < link.closed_until
            is_full = remote[name].load >= 1.0
            return is_closed, is_full, _with_losses(remote[name], link) * spread

        chosen = min(remote, key=key)
        if links[chosen].is_cut:
            links[chosen].closed_until = now + FIRST_CLOSED_S
        return chosen

    def _update(self, link: _Link, offer: Offer, saved_s: float, now: float) -> None:
        """Move the share of reads that leave towards what the time saved calls for."""
        if not link.is_leaving and saved_s > START_FRACTION * offer.expected_s:
            link.is_leaving = True
            link.ramp_s = RAMP_S * self._rng.uniform(*RAMP_FACTORS)
            link.updated_at = now + self._rng.uniform(0.0, MAX_START_DELAY_S)
        elif link.is_leaving and saved_s < STOP_FRACTION * offer.expected_s:
            link.is_leaving = False
        step = max(0.0, now - link.updated_at) / link.ramp_s
        link.updated_at = max(now, link.updated_at)
        free = max(0.0, 1 - offer.load / MAX_REMOTE_LOAD)
        link.share = min(free, max(0.0, link.share + (step if link.is_leaving else -step)))

    def _decide(
        self,
        name: DataCentre,
        link: _Link,
        local: Offer,
        offer: Offer,
        remaining_s: float | None,
    ) -> Decision:
        share, reason = link.share, ExitReason.SOONER
        if remaining_s is not None and local.expected_s > remaining_s:
            if offer.expected_s > remaining_s:
                # Late here and there: the crossing would buy nothing.
                return Decision(self._home, ExitReason.STAYS)
            share, reason = min(1.0, share * IN_TIME_FACTOR), ExitReason.IN_TIME
        if self._rng.random() >= share:
            return Decision(self._home, ExitReason.STAYS)
        return Decision(name, reason)


def _with_losses(offer: Offer, link: _Link) -> float:
    """Return the expected time with retries of what the link loses."""
    return offer.expected_s / (1 - min(MAX_LOSS_SHARE, link.loss_share))
