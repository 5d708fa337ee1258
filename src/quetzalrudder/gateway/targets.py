"""Registry of the databases that have announced themselves in the store.

Serves outages of the store under load, in which announcements lapse while their databases run on,
and restarts of the whole fleet beside them. An announcement that is missing is no fact about its
database before the view of the store has been current for some time. So callers say what they ask:

- whether statements may be sent to a database: ``usable_targets_in_group``, ``serving``,
  ``serving_targets``;
- whether it may be queried: ``queryable``, ``targets_in_group``, ``all_targets``;
- whether it has left for good: ``is_gone``, and ``is_settled`` for those never announced here;
- how far those that have left may have confirmed commits: ``departures``.
"""

import logging
import math
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from quetzalrudder.models import DataCentre, GroupId, TargetId
from quetzalrudder.utils import Address, Clock

__all__ = ["Departure", "LogPosition", "Target", "TargetRegistry", "TargetRole"]

log = logging.getLogger(__name__)

# How long a database stays registered without an announcement. The announcement may have
# lapsed together with the store and come back, for which the platform states "about two
# seconds".
MISSING_GRACE_S = 2.5
# Departures remembered for a group; the oldest whose confirmations are bounded is dropped first.
MAX_DEPARTURES = 16


class LogPosition(NamedTuple):
    """A position in a group's log; positions of a later term are greater."""

    term: int
    index: int

    def __str__(self) -> str:
        return f"{self.term}.{self.index}"


class TargetRole(Enum):
    """Role that a database announces."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True)
class Target:
    """One database, as announced."""

    target: TargetId
    group: GroupId
    address: Address
    data_centre: DataCentre
    slots: int
    role: TargetRole
    draining: bool = False
    # Unix time of the database's start in ms; it differs after a restart under the same id.
    started_unix_ms: int = 0
    # How much longer the database bears few requests after its start, when it was announced.
    cold_left_s: float = field(default=0.0, compare=False)

    @property
    def life(self) -> tuple[TargetId, int]:
        """Its id and its start, which differs after a restart under the same id."""
        return self.target, self.started_unix_ms


@dataclass(frozen=True)
class Departure:
    """A database that has left for good, or has begun again without its log."""

    target: Target
    # Clock reading at which it was noticed.
    at: float
    # No commit that it has confirmed lies above; None if that is not known.
    bound: LogPosition | None = None

    @property
    def life(self) -> tuple[TargetId, int]:
        """Its id and its start, which differs after a restart under the same id."""
        return self.target.life


@dataclass
class _Entry:
    target: Target
    # Clock reading since which the announcement is missing.
    missing_since: float | None = None
    # Clock reading at which it was first seen draining.
    draining_since: float | None = None

    @property
    def is_serving(self) -> bool:
        """True unless it drained and its announcement is missing."""
        return not self.target.draining or self.missing_since is None


class TargetRegistry:
    """The databases that have announced themselves.

    Parameters
    ----------
    clock : Clock
        Source of time.
    is_evacuated : Callable, optional
        Returns whether a data centre is to be left.
    on_announced : Callable, optional
        Called with each announcement, also with one that repeats the last.
    view_age_s : Callable, optional
        Returns the seconds since the announcements were last known to be current. One that is
        missing may have come back since.
    viewed_since : Callable, optional
        Returns the clock reading since which they have been known without an outage of the store;
        infinite if they are not. One that is missing may have lapsed in the outage.
    """

    def __init__(
        self,
        clock: Clock,
        is_evacuated: Callable[[DataCentre], bool] = lambda data_centre: False,
        on_announced: Callable[[Target], None] = lambda target: None,
        view_age_s: Callable[[], float] = lambda: 0.0,
        viewed_since: Callable[[], float] = lambda: -math.inf,
    ) -> None:
        self._clock = clock
        self._view_age_s = view_age_s
        self._viewed_since = viewed_since
        self._is_evacuated = is_evacuated
        self._on_announced = on_announced
        self._lock = threading.Lock()
        self._entries: dict[TargetId, _Entry] = {}
        self._departures: dict[GroupId, list[Departure]] = {}
        # Clock reading of the last full list: what came and went before it was not seen.
        self._listed_at = math.inf
        # How far databases that left unseen may have confirmed commits.
        self._unseen_bounds: dict[GroupId, LogPosition] = {}

    def update(self, target: Target) -> None:
        """Store a new or changed announcement."""
        with self._lock:
            previous = self._entries.get(target.target)
            since = previous.draining_since if previous is not None else None
            if target.draining and since is None:
                since = self._clock.monotonic()
            self._entries[target.target] = _Entry(
                target, draining_since=since if target.draining else None
            )
            if previous is not None and not _is_same_member(previous.target, target):
                self._note_departure(previous.target)
            self._forget_departure(target)
            self._drop_followed(target)
        self._on_announced(target)
        if previous is None or previous.target != target:
            log.info(
                "target announced",
                extra={
                    "target": target.target,
                    "group": target.group,
                    "role": target.role.value,
                    "draining": target.draining,
                },
            )

    def remove(self, target: TargetId) -> None:
        """Record that an announcement was removed.

        The database stays registered for ``MISSING_GRACE_S``, as its announcement may come back.
        One that drains gets no statements meanwhile, but can be asked how far it has got.
        """
        with self._lock:
            entry = self._entries.get(target)
            if entry is None or entry.missing_since is not None:
                return
            entry.missing_since = self._clock.monotonic()
        log.info("target gone", extra={"target": target, "drained": entry.target.draining})

    def replace_all(self, targets: Iterable[Target]) -> None:
        """Replace all announcements with a full list."""
        announced = {target.target: target for target in targets}
        with self._lock:
            self._listed_at = self._clock.monotonic()
            self._unseen_bounds.clear()
            removed = [target_id for target_id in self._entries if target_id not in announced]
        for target in announced.values():
            self.update(target)
        for target_id in removed:
            self.remove(target_id)

    def queryable(self, target: TargetId) -> Target | None:
        """Return a database that can be asked for its state; None if there is none of this id."""
        entry = self._find(target)
        return entry.target if entry is not None else None

    def serving(self, target: TargetId) -> Target | None:
        """Return a database that statements may be sent to; None if there is none of this id."""
        entry = self._find(target)
        return entry.target if entry is not None and entry.is_serving else None

    def _find(self, target: TargetId) -> _Entry | None:
        with self._lock:
            self._drop_expired()
            return self._entries.get(target)

    def serving_targets(self) -> list[Target]:
        """Return all databases that statements may be sent to, those that drain too.

        One that drained has probably left if its announcement is missing.
        """
        with self._lock:
            self._drop_expired()
            return [entry.target for entry in self._entries.values() if entry.is_serving]

    @property
    def is_settled(self) -> bool:
        """True if each database that runs and reaches the store is announced here by now."""
        return self._viewed_since() < self._settled_before()

    def is_gone(self, target: TargetId) -> bool:
        """Return whether a database has left for good, also one that was never announced here."""
        return self.queryable(target) is None and (self.is_settled or self._has_departed(target))

    def _settled_before(self) -> float:
        """Return the clock reading before which an absence must have begun to be final."""
        return self._clock.monotonic() - self._view_age_s() - MISSING_GRACE_S

    def _has_departed(self, target: TargetId) -> bool:
        with self._lock:
            departures = [each for group in self._departures.values() for each in group]
        return any(each.target.target == target for each in departures)

    def draining_s(self, target: TargetId) -> float:
        """Return for how many seconds a database has been draining; 0 if it does not."""
        entry = self._entries.get(target)
        if entry is None or entry.draining_since is None:
            return 0.0
        return self._clock.monotonic() - entry.draining_since

    def targets_in_group(self, group: GroupId) -> list[Target]:
        """Return the databases of a group, including draining ones."""
        with self._lock:
            self._drop_expired()
            return [entry.target for entry in self._entries.values() if entry.target.group == group]

    def usable_targets_in_group(self, group: GroupId) -> list[Target]:
        """Return the databases of a group that accept new work."""
        return [
            target
            for target in self.targets_in_group(group)
            if not target.draining and not self._is_evacuated(target.data_centre)
        ]

    def is_evacuated(self, target: Target) -> bool:
        """Return whether a database is in an evacuated data centre."""
        return self._is_evacuated(target.data_centre)

    def all_targets(self) -> list[Target]:
        """Return all registered databases."""
        with self._lock:
            self._drop_expired()
            return [entry.target for entry in self._entries.values()]

    def _drop_expired(self) -> None:
        settled_before = self._settled_before()
        if self._viewed_since() >= settled_before:
            return
        expired = [
            target
            for target, entry in self._entries.items()
            if entry.missing_since is not None and entry.missing_since < settled_before
        ]
        for target in expired:
            self._note_departure(self._entries.pop(target).target)

    def _drop_followed(self, target: Target) -> None:
        """Drop a missing database whose address another one has got: it has ended."""
        followed = [
            name
            for name, entry in self._entries.items()
            if entry.missing_since is not None and entry.target.address == target.address
        ]
        for name in followed:
            self._note_departure(self._entries.pop(name).target)

    # Databases that can no longer be asked what they have received.

    def departures(self, group: GroupId) -> list[Departure]:
        """Return the databases of a group that have left, or have begun again without a log."""
        with self._lock:
            self._drop_expired()
            return list(self._departures.get(group, ()))

    def bound_departures(
        self, group: GroupId, read_position: Callable[[], tuple[float, LogPosition] | None]
    ) -> None:
        """Note how far the databases that have left may have confirmed commits.

        Parameters
        ----------
        group : GroupId
            The group.
        read_position : Callable
            Returns the newest position of its primary, and when it was asked for.
        """
        if not self.has_unbounded_departures(group):
            return
        known = read_position()
        if known is None:
            return
        asked_at, position = known
        with self._lock:
            settled_at = max(self._listed_at, self._viewed_since()) + MISSING_GRACE_S
            if settled_at < asked_at:
                self._unseen_bounds.setdefault(group, position)
            self._departures[group] = [
                replace(departure, bound=position)
                if departure.bound is None and departure.at < asked_at
                else departure
                for departure in self._departures.get(group, ())
            ]

    def has_unbounded_departures(self, group: GroupId) -> bool:
        """Return whether one that has left may have confirmed any commit, as far as is known."""
        departures = self._departures.get(group, ())
        return group not in self._unseen_bounds or any(each.bound is None for each in departures)

    def unseen_bound(self, group: GroupId) -> LogPosition | None:
        """Return how far databases may have confirmed commits that came and left unseen.

        ``None`` if that is not known: this instance has not known for long enough which
        databases there are.
        """
        return self._unseen_bounds.get(group)

    def _note_departure(self, target: Target) -> None:
        departures = self._departures.setdefault(target.group, [])
        departures.append(Departure(target, self._clock.monotonic()))
        if len(departures) > MAX_DEPARTURES:
            bounded = (each for each in departures if each.bound is not None)
            departures.remove(next(bounded, departures[0]))

    def _forget_departure(self, target: Target) -> None:
        """Forget that a database was gone, as it has come back with its log."""
        departures = self._departures.get(target.group, [])
        departures[:] = [each for each in departures if each.life != target.life]


def _is_same_member(previous: Target, target: Target) -> bool:
    """Return whether a database still has the log of its previous announcement."""
    return previous.group == target.group and previous.started_unix_ms == target.started_unix_ms
