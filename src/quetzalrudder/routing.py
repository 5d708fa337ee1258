"""Where a read goes: the targets that qualify, and the choice among them."""

import random
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.exceptions import NoPrimary, NoReplica, PositionLost, QuetzalrudderError
from quetzalrudder.groups import GroupTable, TargetView, log_covers, log_dropped
from quetzalrudder.models import DataCentre, GroupId
from quetzalrudder.schema.common import Position
from quetzalrudder.schema.target import Role

__all__ = ["ReadPolicy", "ReadRouter"]

RETRY_AFTER_MS = 200


@dataclass(frozen=True)
class ReadPolicy:
    """What a read may accept."""

    # Oldest acceptable data in milliseconds; 0 means current data.
    max_age_ms: int
    # What the session has seen.
    covers: Position


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
    """

    def __init__(self, groups: GroupTable, data_centre: DataCentre, rng: random.Random) -> None:
        self._groups = groups
        self._data_centre = data_centre
        self._rng = rng

    def choose(
        self, group: GroupId, policy: ReadPolicy, excluded: frozenset[str] = frozenset()
    ) -> Result[TargetView, QuetzalrudderError]:
        """Choose a target.

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
        lost = self._check_not_lost(group, policy)
        if lost is not None:
            return Err(lost)
        found = [
            view
            for view in self._groups.members(group)
            if view.info.target not in excluded and self._qualifies(group, view, policy)
        ]
        if not found:
            return Err(self._none_qualifies(group, policy))
        return Ok(self._pick(found))

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

    def _check_not_lost(self, group: GroupId, policy: ReadPolicy) -> PositionLost | None:
        primary = self._groups.primary(group)
        if primary is None or not log_dropped(primary.state.term_starts, policy.covers):
            return None
        return PositionLost("a failover dropped what the session has seen", place=group)

    def _qualifies(self, group: GroupId, view: TargetView, policy: ReadPolicy) -> bool:
        state = view.state
        if view.leaving or not view.reachable or state is None:
            return False
        primary = self._groups.primary(group)
        if primary is not None and view.info.target == primary.info.target:
            return policy.covers.term <= state.term
        if not log_covers(state, policy.covers):
            return False
        if policy.max_age_ms == 0:
            return self._sees_own_writes_only(policy, state.role)
        return self._groups.age_ms(group, state) <= policy.max_age_ms

    def _sees_own_writes_only(self, policy: ReadPolicy, role: Role) -> bool:
        return role is Role.REPLICA and policy.covers.index > 0

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
        pair = self._rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda view: view.state.active_statements)
