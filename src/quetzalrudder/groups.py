"""Observed states of the database groups: roles, terms, positions and data ages."""

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
    "has_applied",
    "is_key_dropped",
    "is_position_dropped",
]

MAX_POSITION_SAMPLES = 1024
MIN_SAMPLE_SPACING_S = 0.02
# Applied to a replica's estimated lag at each observation, unless a greater lag is measured.
LAG_DECAY_FACTOR = 0.8
NEVER = float("-inf")

# A position as (term, index), and the start of a term as (term, first index).
LogKey = tuple[int, int]


def is_position_dropped(term_starts: Iterable[TermStart], position: Position) -> bool:
    """Return whether a later term started at or before the position, which drops it.

    If the list does not reach back to the position's term, the position is
    assumed to be dropped.

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
    """Return whether a later term dropped a position; see :func:`is_position_dropped`."""
    term, index = key
    if index == 0 or not term_starts or term_starts[-1][0] <= term:
        return False
    if term < term_starts[0][0]:
        return True
    return any(start > term and first <= index for start, first in term_starts)


def has_applied(state: State, position: Position) -> bool:
    """Return whether reads at a target see everything up to the position."""
    return _observed_state(state, NEVER).has_applied(position_key(position))


class ObservedState(NamedTuple):
    """State that a target reported, in the form that routing uses."""

    role: Role
    term: int
    applied: LogKey
    term_starts: tuple[LogKey, ...]
    load: int
    # Clock reading when the request for the state was sent, in seconds.
    requested_at: float

    def has_applied(self, key: LogKey) -> bool:
        """Return whether reads see everything up to a position."""
        applied = self.applied
        return (
            applied[0] >= key[0]
            and applied[1] >= key[1]
            and not is_key_dropped(self.term_starts, key)
        )


def _observed_state(state: State, requested_at: float) -> ObservedState:
    return ObservedState(
        role=state.role,
        term=state.term,
        applied=position_key(state.applied),
        term_starts=tuple((start.term, start.first_index) for start in state.term_starts),
        load=state.active_statements,
        requested_at=requested_at,
    )


@dataclass
class TargetView:
    """The last observed state of one target."""

    info: TargetInfo
    # True if the platform's list marks the target as leaving.
    leaving: bool = False
    # True if the target or a peer has announced its departure, possibly before the list.
    announced_leaving: bool = False
    state: State | None = None
    # Clock reading when the last answered request was sent, in seconds.
    requested_at: float = NEVER
    reachable: bool = False
    observed: ObservedState | None = None
    # Estimated lag behind the primary, in seconds; decays as lower lags are observed.
    lag_s: float = 0.0


@dataclass
class GroupView:
    """The last observed state of one database group.

    Writers hold the table's lock. Readers hold none: they see the tuples and
    ``ObservedState`` records that were current when they read them.
    """

    group: GroupId
    targets: dict[TargetId, TargetView] = field(default_factory=dict)
    members: tuple[TargetView, ...] = ()
    # The highest observed term.
    term: int = 0
    primary: TargetView | None = None
    # A majority of the group has answered, in the current term, requests that were sent at
    # this clock reading, in seconds, or later.
    majority_contact_at: float = NEVER
    # Positions of the primary, ascending, and the clock reading, in seconds, when the request
    # that reported each was sent.
    sample_positions: list[LogKey] = field(default_factory=list)
    sample_times: list[float] = field(default_factory=list)

    def observe(self, view: TargetView, observed: ObservedState) -> None:
        """Update the view with a state that a target reported."""
        view.observed = observed
        if observed.term > self.term:
            self.term = observed.term
            self.primary = None
        if observed.term == self.term:
            self._observe_current_term(view, observed)
        elif self.primary is view:
            self.primary = None
        self.majority_contact_at = self._find_majority_contact_at()

    def _observe_current_term(self, view: TargetView, observed: ObservedState) -> None:
        if observed.role is Role.PRIMARY:
            self.primary = view
            self._add_sample(observed)
            return
        if self.primary is view:
            self.primary = None
        next_sample = bisect_right(self.sample_positions, observed.applied)
        lag_s = (
            observed.requested_at - self.sample_times[next_sample]
            if next_sample < len(self.sample_times)
            else 0.0
        )
        view.lag_s = max(lag_s, view.lag_s * LAG_DECAY_FACTOR)

    def _add_sample(self, observed: ObservedState) -> None:
        if self.sample_times and observed.requested_at < self.sample_times[-1]:
            return
        if self.sample_positions and observed.applied == self.sample_positions[-1]:
            self.sample_times[-1] = observed.requested_at
            return
        if self.sample_positions and observed.applied < self.sample_positions[-1]:
            return
        same_term = (
            bool(self.sample_positions) and observed.applied[0] == self.sample_positions[-1][0]
        )
        if same_term and observed.requested_at - self.sample_times[-1] < MIN_SAMPLE_SPACING_S:
            return
        if len(self.sample_times) >= MAX_POSITION_SAMPLES:
            half = MAX_POSITION_SAMPLES // 2
            self.sample_positions, self.sample_times = (
                self.sample_positions[half:],
                self.sample_times[half:],
            )
        self.sample_times.append(observed.requested_at)
        self.sample_positions.append(observed.applied)

    def _find_majority_contact_at(self) -> float:
        request_times = sorted(
            (
                view.observed.requested_at
                for view in self.members
                if view.observed and self._counts_for_majority(view.observed)
            ),
            reverse=True,
        )
        needed = len(self.members) // 2 + 1
        return request_times[needed - 1] if len(request_times) >= needed else NEVER

    def _counts_for_majority(self, observed: ObservedState) -> bool:
        return observed.term == self.term and observed.role is not Role.FENCED

    def age_s(self, observed: ObservedState, now: float) -> float:
        """Return an upper bound on the age of the data that reads at a target see, in seconds.

        The age counts from the time at which the primary was queried for the newest sampled
        position that the target has applied: the target's data includes everything that the
        primary had applied by then. If the last requests that a majority of the group
        answered in the current term were sent earlier, the age counts from those, because a
        primary of a newer term may have accepted writes since. It is infinite if the target
        has applied no sampled position.
        """
        key = observed.applied
        while True:
            index = bisect_right(self.sample_positions, key)
            if index == 0:
                return float("inf")
            sample = self.sample_positions[index - 1]
            if not is_key_dropped(observed.term_starts, sample):
                return now - min(self.sample_times[index - 1], self.majority_contact_at)
            # A later term dropped the sampled position; try an earlier one.
            first_later_index = min(
                start for term, start in observed.term_starts if term > sample[0]
            )
            key = min((sample[0], first_later_index - 1), (sample[0], sample[1] - 1))

    def expected_applied_at(self, view: TargetView, key: LogKey) -> float:
        """Estimate the clock reading at which a replica has applied a position.

        Infinite if no sample covers the position or the replica is in another term.
        """
        index = bisect_left(self.sample_positions, key)
        if index == len(self.sample_positions) or view.observed.term != self.term:
            return float("inf")
        return self.sample_times[index] + view.lag_s


class GroupTable:
    """The last observed states of all database groups; thread-safe.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.RLock()
        self._groups: dict[GroupId, GroupView] = {}
        # Called with each target that announces its departure.
        self.on_leaving: Callable[[TargetId], None] = lambda target: None

    def set_targets(self, infos: Iterable[tuple[TargetInfo, bool]]) -> None:
        """Update the targets from the platform's list of targets and their leaving flags."""
        with self._lock:
            for info, leaving in infos:
                group = self._groups.setdefault(info.group, GroupView(info.group))
                view = group.targets.setdefault(info.target, TargetView(info))
                view.info = info
                view.leaving = leaving
                group.members = tuple(group.targets.values())

    def targets(self) -> list[TargetView]:
        """Return every target of every group."""
        with self._lock:
            return [view for group in self._groups.values() for view in group.targets.values()]

    def find(self, target: TargetId) -> TargetView | None:
        """Return a target by name; None if it is unknown."""
        with self._lock:
            groups = self._groups.values()
            return next((g.targets[target] for g in groups if target in g.targets), None)

    def members(self, group: GroupId) -> list[TargetView]:
        """Return the targets of one group."""
        group_view = self._groups.get(group)
        return list(group_view.members) if group_view else []

    def view(self, group: GroupId) -> GroupView | None:
        """Return the view of one group, which is read without a lock."""
        return self._groups.get(group)

    def observe(self, info: TargetInfo, state: State, requested_at: float) -> None:
        """Record the state that a target reported in an answer.

        Parameters
        ----------
        info : TargetInfo
            The target.
        state : State
            The reported state.
        requested_at : float
            Clock reading when the request was sent, in seconds.
        """
        with self._lock:
            group = self._groups.setdefault(info.group, GroupView(info.group))
            view = group.targets.setdefault(info.target, TargetView(info))
            if len(group.members) != len(group.targets):
                group.members = tuple(group.targets.values())
            view.reachable = True
            if requested_at < view.requested_at:
                return
            view.state = state
            view.requested_at = requested_at
            group.observe(view, _observed_state(state, requested_at))
            if state.leaving and not view.announced_leaving:
                self.on_leaving(info.target)
            view.announced_leaving = state.leaving

    def mark_leaving(self, target: TargetId) -> None:
        """Mark a target as leaving, until its next reported state replaces the mark."""
        for view in self.targets():
            if view.info.target == target:
                view.announced_leaving = True

    def mark_unreachable(self, target: TargetId, group: GroupId) -> None:
        """Mark a target as unreachable, until it answers again."""
        with self._lock:
            group_view = self._groups.get(group)
            if group_view and target in group_view.targets:
                group_view.targets[target].reachable = False

    def term(self, group: GroupId) -> int:
        """Return the highest observed term of a group."""
        group_view = self._groups.get(group)
        return group_view.term if group_view else 0

    def primary(self, group: GroupId) -> TargetView | None:
        """Return the primary of the highest observed term; None while there is none."""
        group_view = self._groups.get(group)
        return group_view.primary if group_view else None

    def age_ms(self, group: GroupId, state: State) -> float:
        """Return an upper bound on the age of a target's data, in milliseconds.

        See :meth:`GroupView.age_s`.
        """
        group_view = self._groups.get(group)
        if group_view is None:
            return float("inf")
        observed = _observed_state(state, NEVER)
        return group_view.age_s(observed, self._clock.monotonic()) * MS_PER_S
