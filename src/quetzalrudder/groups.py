"""What this instance knows of each database group: roles, terms, positions, ages."""

import threading
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from quetzalrudder.adapters import TargetInfo
from quetzalrudder.models import GroupId, TargetId
from quetzalrudder.schema.common import Position, TermStart
from quetzalrudder.schema.target import Role, State
from quetzalrudder.tokens import position_key
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["GroupTable", "TargetView", "log_covers", "log_dropped"]

PRIMARY_SAMPLES = 512


def log_dropped(term_starts: Iterable[TermStart], position: Position) -> bool:
    """Tell whether a later term started at or before the position, dropping it.

    Examples
    --------
    >>> log_dropped([TermStart(term=2, first_index=9)], Position(term=1, index=9))
    True
    """
    later = [start for start in term_starts if start.term > position.term]
    return any(start.first_index <= position.index for start in later)


def log_covers(state: State, position: Position) -> bool:
    """Tell whether reads at a target see everything up to the position."""
    if log_dropped(state.term_starts, position):
        return False
    applied = state.applied if state.applied is not None else Position()
    return applied.term >= position.term and applied.index >= position.index


@dataclass
class TargetView:
    """One target as last seen from here."""

    info: TargetInfo
    leaving: bool = False
    state: State | None = None
    # Clock reading when the last answered question was asked, in seconds.
    asked_at: float = float("-inf")
    reachable: bool = False


@dataclass
class GroupView:
    """One database group as last seen from here."""

    group: GroupId
    targets: dict[TargetId, TargetView] = field(default_factory=dict)
    # (asked at, position) of the primary, oldest first.
    primary_samples: deque[tuple[float, Position]] = field(
        default_factory=lambda: deque(maxlen=PRIMARY_SAMPLES)
    )


class GroupTable:
    """All groups; safe to use from any thread.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.RLock()
        self._groups: dict[GroupId, GroupView] = {}

    def set_targets(self, infos: Iterable[tuple[TargetInfo, bool]]) -> None:
        """Take over the platform's list of targets, each with whether it is leaving."""
        with self._lock:
            for info, leaving in infos:
                group = self._groups.setdefault(info.group, GroupView(info.group))
                view = group.targets.setdefault(info.target, TargetView(info))
                view.info = info
                view.leaving = leaving

    def targets(self) -> list[TargetView]:
        """Give every target of every group."""
        with self._lock:
            return [view for group in self._groups.values() for view in group.targets.values()]

    def find(self, target: TargetId) -> TargetView | None:
        """Find a target by name."""
        with self._lock:
            groups = self._groups.values()
            return next((g.targets[target] for g in groups if target in g.targets), None)

    def members(self, group: GroupId) -> list[TargetView]:
        """Give the targets of one group."""
        with self._lock:
            found = self._groups.get(group)
            return list(found.targets.values()) if found else []

    def observe(self, info: TargetInfo, state: State, asked_at: float) -> None:
        """Take over what a target said of itself in an answer.

        Parameters
        ----------
        info : TargetInfo
            The target.
        state : State
            Its own word.
        asked_at : float
            Clock reading when the question was sent, in seconds.
        """
        with self._lock:
            group = self._groups.setdefault(info.group, GroupView(info.group))
            view = group.targets.setdefault(info.target, TargetView(info))
            view.reachable = True
            if asked_at < view.asked_at:
                return
            view.state = state
            view.asked_at = asked_at
            if state.role is Role.PRIMARY and state.term == self._term_of(group):
                applied = state.applied if state.applied is not None else Position()
                group.primary_samples.append((asked_at, applied))

    def mark_unreachable(self, target: TargetId, group: GroupId) -> None:
        """Note that a target did not answer."""
        with self._lock:
            found = self._groups.get(group)
            if found and target in found.targets:
                found.targets[target].reachable = False

    def _term_of(self, group: GroupView) -> int:
        terms = [view.state.term for view in group.targets.values() if view.state is not None]
        return max(terms, default=0)

    def term(self, group: GroupId) -> int:
        """Give the highest term seen in a group."""
        with self._lock:
            found = self._groups.get(group)
            return self._term_of(found) if found else 0

    def primary(self, group: GroupId) -> TargetView | None:
        """Give the primary of the highest term seen; None while there is none."""
        with self._lock:
            found = self._groups.get(group)
            if found is None:
                return None
            term = self._term_of(found)
            for view in found.targets.values():
                state = view.state
                if state is not None and state.role is Role.PRIMARY and state.term == term:
                    return view
            return None

    def age_ms(self, group: GroupId, state: State) -> float:
        """Bound the age of the data that reads at a target see, in milliseconds.

        Counted from when the primary was asked for a position that the target
        has applied, so that it grows while contact with the primary is lost.
        """
        with self._lock:
            found = self._groups.get(group)
            samples = list(found.primary_samples) if found else []
        applied = state.applied if state.applied is not None else Position()
        covered = [
            asked_at
            for asked_at, position in samples
            if position_key(position) <= position_key(applied)
            and not log_dropped(state.term_starts, position)
        ]
        if not covered:
            return float("inf")
        return (self._clock.monotonic() - max(covered)) * MS_PER_S
