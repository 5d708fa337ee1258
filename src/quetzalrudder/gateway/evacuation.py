"""Data centres whose databases operators have asked to leave.

Serves the time after an operator's request to evacuate a data centre, under full load and with
databases there that may have become cold: every instance that learns of the request sends no new
reads there at once, ends what is left within half of the allowed time, and never returns to an
older state, whether it learns of a change from the store or from a peer.
"""

import logging
import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from result import Err, Result

from quetzalrudder.exceptions import PrimaryChanging, QuetzalrudderError, TargetUnavailable
from quetzalrudder.gateway.statements import (
    Statement,
    StatusAnswer,
    TargetConnector,
    TargetLink,
    TargetReply,
)
from quetzalrudder.gateway.store import era_of
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.targets import LogPosition, Target
from quetzalrudder.models import DataCentre, RequestId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = [
    "DEFAULT_EVACUATION_LIMIT_S",
    "Evacuation",
    "EvacuationGuard",
    "EvacuationTable",
    "PrimaryEvacuated",
    "TargetEvacuated",
]

log = logging.getLogger(__name__)

# Time within which operators expect that no request reaches an evacuated data centre.
DEFAULT_EVACUATION_LIMIT_S = 5.0
# Fraction of that time after which nothing is sent there any more, also to a primary and in a
# transaction; the rest is for statements on their way, and for the delay of the store's watch.
CLOSING_FRACTION = 0.5
# Time in which the operators' requests are written again to a store that came back from an older
# copy.
REWRITE_TIME_S = 2.0


class TargetEvacuated(TargetUnavailable):
    """The database is in an evacuated data centre, so nothing was sent to it."""


class PrimaryEvacuated(PrimaryChanging):
    """The primary is in an evacuated data centre, and no other one is recorded yet."""


@dataclass(frozen=True)
class Evacuation:
    """The newest state of one data centre."""

    data_centre: DataCentre
    # Revision of the store at which the state began.
    revision: int
    # False after the request was taken back.
    active: bool


@dataclass(frozen=True)
class _Entry:
    evacuation: Evacuation
    # Clock reading from which nothing is sent there.
    closed_from: float


class EvacuationTable:
    """The evacuated data centres, as far as this instance knows.

    Parameters
    ----------
    contact : StoreContact
        This instance's contact with the store. A request that is learnt without it, at the first
        read or from a peer may be old already, so that it takes full effect at once.
    clock : Clock
        Source of time; it must count suspensions.
    limit_s : float
        Time within which a request must be in force, in seconds.
    on_change : Callable, optional
        Called with the number of evacuated data centres after each change.
    watches_store : Callable, optional
        Returns whether this instance watches the store by itself. What comes from a relay may be
        older than its arrival.
    """

    def __init__(
        self,
        contact: StoreContact,
        clock: Clock,
        limit_s: float = DEFAULT_EVACUATION_LIMIT_S,
        on_change: Callable[[int], None] = lambda count: None,
        watches_store: Callable[[], bool] = lambda: True,
    ) -> None:
        self._contact = contact
        self._clock = clock
        self._limit_s = limit_s
        self._on_change = on_change
        self._watches_store = watches_store
        self._lock = threading.Lock()
        self._entries: dict[DataCentre, _Entry] = {}
        # Requests that a store which came back from an older copy does not hold: when they end,
        # and at which revision.
        self._missing: dict[DataCentre, tuple[float, int]] = {}

    @property
    def closing_s(self) -> float:
        """Seconds from the news of a request until nothing is sent any more."""
        return self._limit_s * CLOSING_FRACTION

    @property
    def revision(self) -> int:
        """The newest revision of any request; 0 if none was ever made."""
        entries = list(self._entries.values())
        return max((entry.evacuation.revision for entry in entries), default=0)

    def records(self) -> list[Evacuation]:
        """Return the newest state of all data centres, for peers."""
        return [entry.evacuation for entry in list(self._entries.values())]

    def is_evacuated(self, data_centre: DataCentre) -> bool:
        """Return whether a data centre is to be left; no read may be planned there."""
        entry = self._entries.get(data_centre)
        return entry is not None and entry.evacuation.active

    def open_fraction(self, data_centre: DataCentre) -> float:
        """Return the part of the closing time that is left: 1 without a request, 0 if closed."""
        entry = self._entries.get(data_centre)
        if entry is None or not entry.evacuation.active:
            return 1.0
        left_s = entry.closed_from - self._clock.monotonic()
        return min(1.0, max(0.0, left_s / self.closing_s)) if self.closing_s > 0 else 0.0

    def is_closed(self, data_centre: DataCentre) -> bool:
        """Return whether nothing may be sent to a data centre's databases."""
        return self.open_fraction(data_centre) <= 0

    def observe_change(self, change: Evacuation) -> None:
        """Apply a change that the watch of the store, or a relay, has returned."""
        recent = self._watches_store() and self._contact.contact_s >= self._limit_s
        self._apply(change, recent=recent)

    def observe_peer(self, changes: Iterable[Evacuation]) -> None:
        """Apply the states that a peer knows; those that are older than the known ones are not."""
        for change in changes:
            self._apply(change, recent=False)

    def replace_all(self, active: Mapping[DataCentre, int], revision: int) -> None:
        """Apply a full read of the store.

        Parameters
        ----------
        active : Mapping
            The evacuated data centres and the revisions of the requests.
        revision : int
            Revision of the read. Older requests that it does not contain were taken back, or
            are still to be written again, if they are of an earlier era of the store.
        """
        for data_centre, requested_at in active.items():
            self._apply(Evacuation(data_centre, requested_at, True), recent=False)
        for known in self.records():
            if not known.active or known.data_centre in active:
                continue
            if era_of(known.revision) < era_of(revision):
                ends_at = self._clock.monotonic() + REWRITE_TIME_S
                self._missing.setdefault(known.data_centre, (ends_at, revision))
            else:
                self._apply(Evacuation(known.data_centre, revision, False), recent=False)

    def end_missing(self) -> None:
        """End the requests that were not written again; called several times a second."""
        viewed_at = self._clock.monotonic() - self._contact.view_age_s
        for data_centre, (ends_at, revision) in list(self._missing.items()):
            if viewed_at >= ends_at:
                self._apply(Evacuation(data_centre, revision, False), recent=False)

    def _apply(self, change: Evacuation, *, recent: bool) -> None:
        now = self._clock.monotonic()
        with self._lock:
            known = self._entries.get(change.data_centre)
            if known is not None and change.revision <= known.evacuation.revision:
                return
            closed_from = now + self.closing_s if recent else now
            if known is not None and known.evacuation.active:
                # A request that is written again does not open the data centre.
                closed_from = min(closed_from, known.closed_from)
            self._entries[change.data_centre] = _Entry(change, closed_from)
            self._missing.pop(change.data_centre, None)
            count = sum(entry.evacuation.active for entry in self._entries.values())
        self._on_change(count)
        log.info(
            "evacuation in force" if change.active else "evacuation ended",
            extra={
                "data_centre": change.data_centre,
                "revision": change.revision,
                "closing_s": round(closed_from - now, 2) if change.active else 0.0,
                "evacuated": count,
            },
        )


class EvacuationGuard:
    """Opens connections that send nothing to a data centre once it is closed.

    Statements may have waited since they were planned, at this instance or at a peer, so the
    check is made right before each request.

    Parameters
    ----------
    connector : TargetConnector
        Opens the connections.
    evacuations : EvacuationTable
        The evacuated data centres.
    """

    def __init__(self, connector: TargetConnector, evacuations: EvacuationTable) -> None:
        self._connector = connector
        self._evacuations = evacuations

    def connect(
        self, target: Target, workspace: WorkspaceId, timeout_s: float
    ) -> Result[TargetLink, QuetzalrudderError]:
        """Open a connection on behalf of a workspace."""
        if self._evacuations.is_closed(target.data_centre):
            return _refusal(target)
        opened = self._connector.connect(target, workspace, timeout_s)
        return opened.map(lambda link: _GuardedLink(link, target, self._evacuations))


class _GuardedLink:
    def __init__(self, link: TargetLink, target: Target, evacuations: EvacuationTable) -> None:
        self._link = link
        self._target = target
        self._evacuations = evacuations

    @property
    def broken(self) -> bool:
        return self._link.broken

    def close(self) -> None:
        self._link.close()

    def _is_closed(self) -> bool:
        return self._evacuations.is_closed(self._target.data_centre)

    def run(
        self,
        request_id: RequestId,
        statement: Statement,
        timeout_s: float,
        at_least: LogPosition | None = None,
    ) -> Result[TargetReply, QuetzalrudderError]:
        if self._is_closed():
            return _refusal(self._target)
        return self._link.run(request_id, statement, timeout_s, at_least)

    def reset(self, timeout_s: float) -> Result[TargetReply, QuetzalrudderError]:
        return _refusal(self._target) if self._is_closed() else self._link.reset(timeout_s)

    def status(self, timeout_s: float) -> Result[StatusAnswer, QuetzalrudderError]:
        return _refusal(self._target) if self._is_closed() else self._link.status(timeout_s)

    def step_down(self, term: int, timeout_s: float) -> Result[None, QuetzalrudderError]:
        if self._is_closed():
            return _refusal(self._target)
        return self._link.step_down(term, timeout_s)


def _refusal(target: Target) -> Err[QuetzalrudderError]:
    return Err(TargetEvacuated("its data centre is evacuated", place=target.target))
