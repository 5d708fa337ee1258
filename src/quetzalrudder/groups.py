"""What this instance knows of each database group: roles, terms, positions, ages."""

import threading
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from quetzalrudder.adapters import TargetInfo
from quetzalrudder.models import GroupId, TargetId
from quetzalrudder.schema.common import Position, TermStart
from quetzalrudder.schema.target import Role, State
from quetzalrudder.tokens import position_key
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = [
    "GroupTable",
    "GroupView",
    "ObservedState",
    "TargetView",
    "is_key_dropped",
    "has_applied",
    "is_position_dropped",
]

MAX_POSITION_SAMPLES = 1024
MIN_SAMPLE_SPACING_S = 0.02
LAG_DECAY_FACTOR = 0.8
NEVER = float("-inf")

# A position as (term, index), and the start of a term as (term, first index).
LogKey = tuple[int, int]


def is_position_dropped(term_starts: Iterable[TermStart], position: Position) -> bool:
    """Tell whether a later term started at or before the position, dropping it.

    A list that does not reach back to the position's term cannot tell; the
    position is then taken as dropped.

    Examples
    --------
    >>> is_position_dropped([TermStart(term=2, first_index=9)], Position(term=1, index=9))
    True
    >>> is_position_dropped([TermStart(term=2, first_index=9)], Position(term=2, index=9))
    False
    """
    starts = tuple((start.term, start.first_index) for start in term_starts)
    return is_key_dropped(starts, position_key(position))


def is_key_dropped(term_starts: tuple[LogKey, ...], key: LogKey) -> bool:
    """Tell the same as :func:`is_position_dropped`, of plain tuples."""
    term, index = key
    if index == 0 or not term_starts or term_starts[-1][0] <= term:
        return False
    if term < term_starts[0][0]:
        return True
    return any(start > term and first <= index for start, first in term_starts)


def has_applied(state: State, position: Position) -> bool:
    """Tell whether reads at a target see everything up to the position."""
    return _observed_state(state, NEVER).has_applied(position_key(position))


class ObservedState(NamedTuple):
    """What a target said of itself, ready for routing."""

    role: Role
    term: int
    applied: LogKey
    term_starts: tuple[LogKey, ...]
    load: int
    # Clock reading when the question was asked, in seconds.
    asked_at: float

    def has_applied(self, key: LogKey) -> bool:
        """Tell whether reads see everything up to a position."""
        applied = self.applied
        return (
            applied[0] >= key[0]
            and applied[1] >= key[1]
            and not is_key_dropped(self.term_starts, key)
        )


def _observed_state(state: State, asked_at: float) -> ObservedState:
    return ObservedState(
        role=state.role,
        term=state.term,
        applied=position_key(state.applied),
        term_starts=tuple((start.term, start.first_index) for start in state.term_starts),
        load=state.active_statements,
        asked_at=asked_at,
    )


@dataclass
class TargetView:
    """One target as last seen from here."""

    info: TargetInfo
    # What the platform's list says, and what the target or a peer said ahead of it.
    leaving: bool = False
    announced_leaving: bool = False
    state: State | None = None
    # Clock reading when the last answered question was asked, in seconds.
    asked_at: float = NEVER
    reachable: bool = False
    observed: ObservedState | None = None
    # How far the target was last seen behind the primary, in seconds, decaying.
    lag_s: float = 0.0


@dataclass
class GroupView:
    """One database group as last seen from here.

    Writers hold the table's lock. Readers hold none: they see the tuples and
    ``ObservedState`` records that were current when they looked.
    """

    group: GroupId
    targets: dict[TargetId, TargetView] = field(default_factory=dict)
    members: tuple[TargetView, ...] = ()
    # The highest term seen.
    term: int = 0
    primary: TargetView | None = None
    # A majority answered in the current term when asked at this time or later.
    majority_asked_at: float = NEVER
    # Positions of the primary, ascending, and when each was asked for.
    sample_positions: list[LogKey] = field(default_factory=list)
    sample_times: list[float] = field(default_factory=list)

    def observe(self, view: TargetView, observed: ObservedState) -> None:
        """Take over what a target said of itself."""
        view.observed = observed
        if observed.term > self.term:
            self.term = observed.term
            self.primary = None
        if observed.term == self.term:
            self._observe_current(view, observed)
        elif self.primary is view:
            self.primary = None
        self.majority_asked_at = self._find_majority_asked_at()

    def _observe_current(self, view: TargetView, observed: ObservedState) -> None:
        if observed.role is Role.PRIMARY:
            self.primary = view
            self._add_sample(observed)
            return
        if self.primary is view:
            self.primary = None
        behind = bisect_right(self.sample_positions, observed.applied)
        lag_s = (
            observed.asked_at - self.sample_times[behind]
            if behind < len(self.sample_times)
            else 0.0
        )
        view.lag_s = max(lag_s, view.lag_s * LAG_DECAY_FACTOR)

    def _add_sample(self, observed: ObservedState) -> None:
        if self.sample_times and observed.asked_at < self.sample_times[-1]:
            return
        if self.sample_positions and observed.applied == self.sample_positions[-1]:
            self.sample_times[-1] = observed.asked_at
            return
        if self.sample_positions and observed.applied < self.sample_positions[-1]:
            return
        same_term = (
            bool(self.sample_positions) and observed.applied[0] == self.sample_positions[-1][0]
        )
        if same_term and observed.asked_at - self.sample_times[-1] < MIN_SAMPLE_SPACING_S:
            return
        if len(self.sample_times) >= MAX_POSITION_SAMPLES:
            half = MAX_POSITION_SAMPLES // 2
            self.sample_positions, self.sample_times = (
                self.sample_positions[half:],
                self.sample_times[half:],
            )
        self.sample_times.append(observed.asked_at)
        self.sample_positions.append(observed.applied)

    def _find_majority_asked_at(self) -> float:
        asked = sorted(
            (
                view.observed.asked_at
                for view in self.members
                if view.observed and self._counts_for_majority(view.observed)
            ),
            reverse=True,
        )
        needed = len(self.members) // 2 + 1
        return asked[needed - 1] if len(asked) >= needed else NEVER

    def _counts_for_majority(self, observed: ObservedState) -> bool:
        return observed.term == self.term and observed.role is not Role.FENCED

    def age_s(self, observed: ObservedState, now: float) -> float:
        """Bound the age of the data that reads at a target see, in seconds.

        Counted from when the primary was asked for a position that the target
        has applied, or, if that is earlier, from when a majority of the group
        was last asked and still knew no newer term.
        """
        key = observed.applied
        while True:
            index = bisect_right(self.sample_positions, key)
            if index == 0:
                return float("inf")
            sample = self.sample_positions[index - 1]
            if not is_key_dropped(observed.term_starts, sample):
                return now - min(self.sample_times[index - 1], self.majority_asked_at)
            first = min(start for term, start in observed.term_starts if term > sample[0])
            key = min((sample[0], first - 1), (sample[0], sample[1] - 1))

    def expected_applied_at(self, view: TargetView, key: LogKey) -> float:
        """Estimate when a replica will have applied a position, as a clock reading."""
        index = bisect_left(self.sample_positions, key)
        if index == len(self.sample_positions) or view.observed.term != self.term:
            return float("inf")
        return self.sample_times[index] + view.lag_s


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
        # Called with each target that announces that it leaves.
        self.on_leaving: Callable[[TargetId], None] = lambda target: None

    def set_targets(self, infos: Iterable[tuple[TargetInfo, bool]]) -> None:
        """Take over the platform's list of targets, each with whether it is leaving."""
        with self._lock:
            for info, leaving in infos:
                group = self._groups.setdefault(info.group, GroupView(info.group))
                view = group.targets.setdefault(info.target, TargetView(info))
                view.info = info
                view.leaving = leaving
                group.members = tuple(group.targets.values())

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
        found = self._groups.get(group)
        return list(found.members) if found else []

    def view(self, group: GroupId) -> GroupView | None:
        """Give what is known of one group, to be read without a lock."""
        return self._groups.get(group)

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
            if len(group.members) != len(group.targets):
                group.members = tuple(group.targets.values())
            view.reachable = True
            if asked_at < view.asked_at:
                return
            view.state = state
            view.asked_at = asked_at
            group.observe(view, _observed_state(state, asked_at))
            if state.leaving and not view.announced_leaving:
                self.on_leaving(info.target)
            view.announced_leaving = state.leaving

    def mark_leaving(self, target: TargetId) -> None:
        """Note that a target leaves, until it says otherwise itself."""
        for view in self.targets():
            if view.info.target == target:
                view.announced_leaving = True

    def mark_unreachable(self, target: TargetId, group: GroupId) -> None:
        """Note that a target did not answer."""
        with self._lock:
            found = self._groups.get(group)
            if found and target in found.targets:
                found.targets[target].reachable = False

    def term(self, group: GroupId) -> int:
        """Give the highest term seen in a group."""
        found = self._groups.get(group)
        return found.term if found else 0

    def primary(self, group: GroupId) -> TargetView | None:
        """Give the primary of the highest term seen; None while there is none."""
        found = self._groups.get(group)
        return found.primary if found else None

    def age_ms(self, group: GroupId, state: State) -> float:
        """Bound the age of the data that reads at a target see, in milliseconds.

        See :meth:`GroupView.age_s`.
        """
        found = self._groups.get(group)
        if found is None:
            return float("inf")
        observed = _observed_state(state, NEVER)
        return found.age_s(observed, self._clock.monotonic()) * MS_PER_S
