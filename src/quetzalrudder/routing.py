"""Where a read goes: the targets that qualify, and the choice among them."""

import random
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.exceptions import NoPrimary, NoReplica, PositionLost, QuetzalrudderError
from quetzalrudder.groups import GroupTable, GroupView, Seen, TargetView, dropped, log_dropped
from quetzalrudder.models import DataCentre, GroupId
from quetzalrudder.schema.common import Position
from quetzalrudder.schema.target import Role
from quetzalrudder.tokens import position_key
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["ReadPolicy", "ReadRouter"]

RETRY_AFTER_MS = 200
CATCH_UP_MARGIN_S = 0.002


@dataclass(frozen=True)
class ReadPolicy:
    """What a read may accept."""

    # Oldest acceptable data in milliseconds; 0 means current data.
    max_age_ms: int
    # What the session has seen; with an age, what it has written.
    min_position: Position


class ReadRouter:
    """Chooses the target of a read.

    Parameters
    ----------
    groups : GroupTable
        What is known of the targets.
    data_centre : DataCentre
        The instance's own data centre, preferred.
    rng : random.Random
        Source of the two candidates that are compared by load.
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
        """Choose a target; its answer must be checked to cover what the session has seen.

        A replica that is expected to have caught up since it last answered is
        preferred to the primary.

        Parameters
        ----------
        group : GroupId
            The database group.
        policy : ReadPolicy
            What the read may accept.
        excluded : frozenset of str
            Targets that have failed this request already.

        Returns
        -------
        Result[TargetView, QuetzalrudderError]
            The target, or ``PositionLost``, ``NoPrimary`` or ``NoReplica``.
        """
        known = self._groups.view(group)
        if known is None:
            return Err(self._none_qualifies(group, policy))
        covers = position_key(policy.min_position)
        primary = known.primary
        if primary is not None and dropped(primary.seen.starts, covers):
            return Err(PositionLost("a failover dropped what the session has seen", place=group))
        usable = [view for view in known.members if _usable(view, excluded)]
        found = [view for view in usable if self._qualifies(known, view, policy, covers)]
        if not found or found == [primary]:
            found = self._expected(known, usable, policy, covers) or found
        if not found:
            return Err(self._none_qualifies(group, policy))
        replicas = [view for view in found if view is not primary]
        return Ok(self._pick(replicas or found))

    def _qualifies(
        self, known: GroupView, view: TargetView, policy: ReadPolicy, covers: tuple[int, int]
    ) -> bool:
        seen, primary = view.seen, known.primary
        if policy.max_age_ms:
            age_s = known.age_s(seen, self._clock.monotonic())
            fresh = age_s * MS_PER_S <= policy.max_age_ms
            return fresh and seen.covers(covers) and _in_primary_log(primary, seen)
        if view is primary:
            return covers[0] <= seen.term
        if seen.role is not Role.REPLICA or covers[1] == 0:
            return False
        return seen.covers(covers) and _in_primary_log(primary, seen)

    def _expected(
        self,
        known: GroupView,
        usable: list[TargetView],
        policy: ReadPolicy,
        covers: tuple[int, int],
    ) -> list[TargetView]:
        """Give the replicas that have probably applied what the session has seen by now."""
        if covers[1] == 0 or covers[0] != known.term:
            return []
        now = self._clock.monotonic()
        max_age_s = (policy.max_age_ms or float("inf")) / MS_PER_S
        return [
            view
            for view in usable
            if view.seen.role is Role.REPLICA
            and known.expected_at(view, covers) + CATCH_UP_MARGIN_S <= now
            and (not policy.max_age_ms or known.age_s(view.seen, now) <= max_age_s)
        ]

    def check_primary(
        self, group: GroupId, primary: TargetView, covers: Position
    ) -> Result[TargetView, QuetzalrudderError]:
        """Check that a primary is not older than what a session has seen.

        Returns
        -------
        Result[TargetView, QuetzalrudderError]
            The primary, or ``PositionLost`` or ``NoPrimary``.
        """
        if log_dropped(primary.state.term_starts, covers):
            return Err(PositionLost("a failover dropped what the session has seen", place=group))
        if covers.term > primary.state.term:
            reason = f"the primary of term {covers.term} is not known yet"
            return Err(NoPrimary(reason, place=group, retry_after_ms=RETRY_AFTER_MS))
        return Ok(primary)

    def _none_qualifies(self, group: GroupId, policy: ReadPolicy) -> QuetzalrudderError:
        if policy.max_age_ms == 0:
            return NoPrimary("no primary is reachable", place=group, retry_after_ms=RETRY_AFTER_MS)
        return NoReplica(
            f"no database holds data of at most {policy.max_age_ms} ms",
            place=group,
            retry_after_ms=RETRY_AFTER_MS,
        )

    def _pick(self, found: list[TargetView]) -> TargetView:
        near = [view for view in found if view.info.data_centre == self._data_centre]
        candidates = near or found
        count = len(candidates)
        if count == 1:
            return candidates[0]
        first = int(self._rng.random() * count)
        second = (first + 1 + int(self._rng.random() * (count - 1))) % count
        one, other = candidates[first], candidates[second]
        return one if one.seen.load <= other.seen.load else other


def _usable(view: TargetView, excluded: frozenset[str]) -> bool:
    if view.leaving or view.announced_leaving or not view.reachable or view.seen is None:
        return False
    return view.info.target not in excluded


def _in_primary_log(primary: TargetView | None, seen: Seen) -> bool:
    """Tell whether the primary still has what a replica has applied."""
    return primary is None or not dropped(primary.seen.starts, seen.applied)
