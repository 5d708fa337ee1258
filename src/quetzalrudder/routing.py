"""Selection of the target that serves a read."""

import random
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.exceptions import NoPrimary, NoReplica, PositionLost, QuetzalrudderError
from quetzalrudder.groups import (
    GroupTable,
    GroupView,
    ObservedState,
    TargetView,
    is_key_dropped,
    is_position_dropped,
)
from quetzalrudder.models import DataCentre, GroupId
from quetzalrudder.schema.common import Position
from quetzalrudder.schema.target import Role
from quetzalrudder.tokens import position_key
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["ReadPolicy", "ReadRouter"]

RETRY_AFTER_MS = 200
# Added to the estimated time at which a replica has applied a position, before a read that
# needs the position is sent to it.
CATCH_UP_MARGIN_S = 0.002


@dataclass(frozen=True)
class ReadPolicy:
    """Freshness that a read requires of its answer."""

    # Greatest acceptable age of the data in milliseconds; 0 requires current data.
    max_age_ms: int
    # Position that the answer must cover: the last one that the session has read or written;
    # if an age is acceptable, only the last one that it has written.
    min_position: Position


class ReadRouter:
    """Chooses the target that serves a read.

    Parameters
    ----------
    groups : GroupTable
        The last observed states of the targets.
    data_centre : DataCentre
        The instance's own data centre, whose targets are preferred.
    rng : random.Random
        Random source that draws the two candidates compared by load.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, groups: GroupTable, data_centre: DataCentre, rng: random.Random, clock: Clock
    ) -> None:
        self._groups = groups
        self._data_centre = data_centre
        self._rng = rng
        self._clock = clock

    def choose(
        self, group: GroupId, policy: ReadPolicy, excluded: frozenset[str] = frozenset()
    ) -> Result[TargetView, QuetzalrudderError]:
        """Choose a target for a read.

        Replicas are preferred to the primary. A replica qualifies also if it is only
        expected to have caught up since it last answered, so the caller must check that
        the answer covers the minimum position of the policy.

        Parameters
        ----------
        group : GroupId
            The database group.
        policy : ReadPolicy
            Freshness that the read requires.
        excluded : frozenset of str
            Targets at which this request has already failed.

        Returns
        -------
        Result[TargetView, QuetzalrudderError]
            The target, or ``PositionLost``, ``NoPrimary`` or ``NoReplica``.
        """
        group_view = self._groups.view(group)
        if group_view is None:
            return Err(self._no_target_error(group, policy))
        min_key = position_key(policy.min_position)
        primary = group_view.primary
        if primary is not None and is_key_dropped(primary.observed.term_starts, min_key):
            return Err(
                PositionLost(
                    "a failover discarded data that the session has read or written", place=group
                )
            )
        usable = [view for view in group_view.members if _is_usable(view, excluded)]
        candidates = [view for view in usable if self._qualifies(group_view, view, policy, min_key)]
        if not candidates or candidates == [primary]:
            candidates = self._expected_replicas(group_view, usable, policy, min_key) or candidates
        if not candidates:
            return Err(self._no_target_error(group, policy))
        replicas = [view for view in candidates if view is not primary]
        return Ok(self._choose_by_load(replicas or candidates))

    def _qualifies(
        self, group_view: GroupView, view: TargetView, policy: ReadPolicy, min_key: tuple[int, int]
    ) -> bool:
        observed, primary = view.observed, group_view.primary
        if policy.max_age_ms:
            age_s = group_view.age_s(observed, self._clock.monotonic())
            fresh = age_s * MS_PER_S <= policy.max_age_ms
            return fresh and observed.has_applied(min_key) and _in_primary_log(primary, observed)
        if view is primary:
            return min_key[0] <= observed.term
        if observed.role is not Role.REPLICA or min_key[1] == 0:
            return False
        return observed.has_applied(min_key) and _in_primary_log(primary, observed)

    def _expected_replicas(
        self,
        group_view: GroupView,
        usable: list[TargetView],
        policy: ReadPolicy,
        min_key: tuple[int, int],
    ) -> list[TargetView]:
        """Return the replicas that are expected to have applied a position by now."""
        if min_key[1] == 0 or min_key[0] != group_view.term:
            return []
        now = self._clock.monotonic()
        max_age_s = (policy.max_age_ms or float("inf")) / MS_PER_S
        return [
            view
            for view in usable
            if view.observed.role is Role.REPLICA
            and group_view.expected_applied_at(view, min_key) + CATCH_UP_MARGIN_S <= now
            and (not policy.max_age_ms or group_view.age_s(view.observed, now) <= max_age_s)
        ]

    def check_primary(
        self, group: GroupId, primary: TargetView, min_position: Position
    ) -> Result[TargetView, QuetzalrudderError]:
        """Check by the primary's terms that its log contains a session's minimum position.

        Returns
        -------
        Result[TargetView, QuetzalrudderError]
            The primary, or ``PositionLost`` or ``NoPrimary``.
        """
        if is_position_dropped(primary.state.term_starts, min_position):
            return Err(
                PositionLost(
                    "a failover discarded data that the session has read or written", place=group
                )
            )
        if min_position.term > primary.state.term:
            reason = f"the primary of term {min_position.term} is not known to this instance yet"
            return Err(NoPrimary(reason, place=group, retry_after_ms=RETRY_AFTER_MS))
        return Ok(primary)

    def _no_target_error(self, group: GroupId, policy: ReadPolicy) -> QuetzalrudderError:
        if policy.max_age_ms == 0:
            return NoPrimary("no primary is reachable", place=group, retry_after_ms=RETRY_AFTER_MS)
        return NoReplica(
            f"no target has data that is at most {policy.max_age_ms} ms old",
            place=group,
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _choose_by_load(self, targets: list[TargetView]) -> TargetView:
        local = [view for view in targets if view.info.data_centre == self._data_centre]
        candidates = local or targets
        count = len(candidates)
        if count == 1:
            return candidates[0]
        first = int(self._rng.random() * count)
        second = (first + 1 + int(self._rng.random() * (count - 1))) % count
        one, other = candidates[first], candidates[second]
        return one if one.observed.load <= other.observed.load else other


def _is_usable(view: TargetView, excluded: frozenset[str]) -> bool:
    if view.leaving or view.announced_leaving or not view.reachable or view.observed is None:
        return False
    return view.info.target not in excluded


def _in_primary_log(primary: TargetView | None, observed: ObservedState) -> bool:
    """Return whether the primary's log contains what a replica has applied."""
    return primary is None or not is_key_dropped(primary.observed.term_starts, observed.applied)
