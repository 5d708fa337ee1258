"""Which instances of a large fleet watch the store, and how the others get its changes.

Serves fleets in which one changed key would cost a call of every instance. Two instances of
each data centre are its relays: they watch the store, and the others of the data centre wait
for changes at one of them. An instance that two relays have failed watches the store itself.
"""

import logging
import math
import random
from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.exceptions import PlatformUnavailable, QuetzalrudderError
from quetzalrudder.gateway.assignments import FleetView, rank
from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.gateway.permission import PERMISSION_S
from quetzalrudder.gateway.store import Changes, Item
from quetzalrudder.models import DataCentre, InstanceId
from quetzalrudder.schema.gateway import ChangesReply, ChangesRequest, RelayState
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = [
    "RELAY_AGE_MARGIN_S",
    "ChangesCaller",
    "RelayFault",
    "RelayUnavailable",
    "RelayedWatch",
    "relay_count",
    "relays_of",
]

log = logging.getLogger(__name__)

# One that is lost then delays nothing.
RELAYS_PER_DATA_CENTRE = 2
# A relay answers at least this often, so that a silent one is noticed within about a second.
RELAY_WAIT_S = 0.8
RELAY_ANSWER_MARGIN_S = 0.3
MIN_RELAY_WAIT_S = 0.05
# Added to the wait of a relay's watch; a slow store answers in 0.25 s.
RELAY_AGE_MARGIN_S = 0.5
# Time for which the relays are kept while the known members stay the same.
RELAYS_LIFETIME_S = 0.25
# Time for which a relay that failed is not asked, at least; up to twice as long by chance.
AVOIDANCE_S = 3.0
# The same for one that does not watch the store, as its view of the fleet is another one, or
# whose changes begin later than this instance's revision.
SHORT_AVOIDANCE_S = 1.0


class RelayFault(Enum):
    """Why an instance cannot use a relay."""

    UNREACHABLE = "unreachable"
    STORE_LOST = "store_lost"
    NOT_WATCHING = "not_watching"
    LAGGING = "lagging"
    HISTORY_GONE = "history_gone"


class RelayUnavailable(PlatformUnavailable):
    """The relay does not provide the changes of the store; another one may."""


class ChangesCaller(Protocol):
    """Requests the changes of the store from other instances."""

    def wait_for_changes(
        self, address: str, req: ChangesRequest, timeout_s: float
    ) -> Result[ChangesReply, QuetzalrudderError]:
        """Request the changes after a revision, and wait for the first if there is none."""


def relays_of(view: FleetView, data_centre: DataCentre) -> list[RosterRecord]:
    """Return the instances that watch the store for a data centre.

    An instance that has been missing for less than the TTL of its lease remains one, so that
    the relays stay the same while all instances restart.
    """
    ranked = view.ranked_roster("relay", data_centre, max_absence_s=PERMISSION_S)
    return ranked[:RELAYS_PER_DATA_CENTRE]


def relay_count(view: FleetView) -> int:
    """Return the number of relays of all data centres."""
    sizes = Counter(record.data_centre for record in view.live_instances().values())
    return sum(min(size, RELAYS_PER_DATA_CENTRE) for size in sizes.values())


class RelayedWatch:
    """Watches the store through the relays of this instance's data centre.

    Parameters
    ----------
    instance, data_centre
        This instance.
    view : FleetView
        The fleet.
    caller : ChangesCaller
        Calls the relays.
    must_watch : Callable
        Returns whether this instance has to watch the store by itself for another reason than
        being a relay.
    on_fault : Callable
        Called with each failure of a relay.
    max_age_s : float
        Time since a relay's last confirmation by the store from which the relay is not used.
    rng : random.Random
        Spreads the return to relays that failed.
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        data_centre: DataCentre,
        view: FleetView,
        caller: ChangesCaller,
        must_watch: Callable[[], bool],
        on_fault: Callable[[RelayFault], None],
        max_age_s: float,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._view = view
        self._caller = caller
        self._must_watch = must_watch
        self._on_fault = on_fault
        self._max_age_s = max_age_s
        self._rng = rng
        self._clock = clock
        self._avoided_until: dict[InstanceId, float] = {}
        self._is_relay = False
        # The relays at a version of the fleet, and the time until which they are kept.
        self._known_relays: tuple[int, float, dict[InstanceId, RosterRecord]] = (-1, 0.0, {})
        self._current: InstanceId | None = None
        # When the store last confirmed to any relay that this instance got every change. Kept
        # when the relay changes: the next one has only the time that is left.
        self._confirmed_at: float | None = None

    def choose(self) -> RosterRecord | None:
        """Return the relay to ask; None if this instance watches the store by itself."""
        by_name = self._relays() if self._view.is_large else {}
        self._note_duty(self._instance in by_name)
        if self._is_relay or self._must_watch():
            return self._use(None)
        now = self._clock.monotonic()
        # Each instance has an order of its own, so that the relays share the requests.
        for name in rank(f"changes for {self._instance}", by_name):
            if now >= self._avoided_until.get(name, 0.0):
                return self._use(by_name[name])
        return self._use(None)

    @property
    def age_s(self) -> float:
        """Seconds since the store confirmed to a relay that this instance got every change."""
        if self._confirmed_at is None:
            return math.inf
        return self._clock.monotonic() - self._confirmed_at

    def _relays(self) -> dict[InstanceId, RosterRecord]:
        version, until, relays = self._known_relays
        now = self._clock.monotonic()
        if version != self._view.version or now >= until:
            # Read before the members, so that a concurrent change causes another update.
            version = self._view.version
            found = relays_of(self._view, self._data_centre)
            relays = {record.instance: record for record in found}
            self._known_relays = (version, now + RELAYS_LIFETIME_S, relays)
        return relays

    def _note_duty(self, is_relay: bool) -> None:
        if is_relay != self._is_relay:
            self._is_relay = is_relay
            log.info(
                "relay of the store's changes" if is_relay else "no longer relay",
                extra={"data_centre": self._data_centre},
            )

    def _use(self, relay: RosterRecord | None) -> RosterRecord | None:
        name = relay.instance if relay is not None else None
        if name != self._current:
            log.info(
                "source of the store's changes",
                extra={"relay": name or "", "previous": self._current or ""},
            )
            self._current = name
        return relay

    @property
    def next_wait_s(self) -> float:
        """How long the next request waits for a change.

        The wait ends when the relay has been without a confirmation for too long.
        """
        if self._confirmed_at is None:
            return RELAY_WAIT_S
        return min(RELAY_WAIT_S, max(MIN_RELAY_WAIT_S, self._max_age_s - self.age_s))

    def watch(self, relay: RosterRecord, after: int) -> Result[Changes, QuetzalrudderError]:
        """Return the changes after a revision from a relay, or none after a short wait.

        ``RelayUnavailable`` if another source has to be used.
        """
        wait_s = self.next_wait_s
        req = ChangesRequest(after=after, wait_ms=round(wait_s * MS_PER_S))
        sent_at = self._clock.monotonic()
        result = self._caller.wait_for_changes(relay.address, req, wait_s + RELAY_ANSWER_MARGIN_S)
        if isinstance(result, Err):
            return self._fail(relay, RelayFault.UNREACHABLE, str(result.err_value))
        reply = result.ok_value
        # An answer that arrives after the wait may have been sent at the end of the wait.
        late_s = max(0.0, self._clock.monotonic() - sent_at - wait_s)
        age_s = reply.age_ms / MS_PER_S + late_s
        match reply.state:
            case RelayState.HISTORY_GONE:
                return self._fail(relay, RelayFault.HISTORY_GONE)
            case RelayState.STORE_LOST:
                return self._fail(relay, RelayFault.STORE_LOST)
            case RelayState.WATCHING if age_s <= self._max_age_s:
                self._confirmed_at = self._clock.monotonic() - age_s
                return Ok(_decode(reply))
            case RelayState.WATCHING:
                reason = f"at revision {reply.revision} for {age_s:.1f} s"
                return self._fail(relay, RelayFault.LAGGING, reason)
            case _:
                return self._fail(relay, RelayFault.NOT_WATCHING)

    def _fail(
        self, relay: RosterRecord, fault: RelayFault, reason: str = ""
    ) -> Err[QuetzalrudderError]:
        short = fault in (RelayFault.NOT_WATCHING, RelayFault.HISTORY_GONE)
        avoidance_s = SHORT_AVOIDANCE_S if short else AVOIDANCE_S
        until = self._clock.monotonic() + avoidance_s * (1.0 + self._rng.random())
        self._avoided_until[relay.instance] = until
        self._on_fault(fault)
        log.info(
            "relay not used",
            extra={"relay": relay.instance, "fault": fault.value, "reason": reason},
        )
        return Err(RelayUnavailable(f"relay not used: {fault.value}", place=relay.instance))


def _decode(reply: ChangesReply) -> Changes:
    items = tuple(
        Item(
            change.key,
            None if change.deleted else change.value,
            change.revision,
            change.created,
        )
        for change in reply.changes
    )
    return Changes(items, reply.revision)
