"""The parts of each workspace's rate, one for each data centre.

Serves fleets whose data centres are separated from each other: each side goes on with the parts
of the data centres that it reaches, and these never add up to more than the whole rate. While all
are connected, an operation takes its token from any part, the own data centre's first.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from quetzalrudder.gateway.assignments import FleetView
from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.gateway.quotas import QuotaRules, TokenRate
from quetzalrudder.gateway.warming import ColdLimit
from quetzalrudder.models import DataCentre, InstanceId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["RateDivision", "RatePart"]

# Time after a change of the division for which the owners before it are asked to cede.
CHANGE_SPAN_S = 5.0
# Time without a member record after which an instance's parts move. Longer than it takes to open
# another lease.
MAX_ABSENCE_S = 1.0
# Interval at which absences are compared with that.
REFRESH_INTERVAL_S = 0.2


@dataclass(frozen=True)
class RatePart:
    """A data centre's part of a workspace's rate; the whole rate without a data centre."""

    workspace: WorkspaceId
    data_centre: DataCentre | None = None

    @property
    def name(self) -> str:
        """The name under which peers take over the part.

        Names of workspaces contain no space.
        """
        if self.data_centre is None:
            return self.workspace
        return f"part {self.data_centre} {self.workspace}"


@dataclass(frozen=True)
class _OwnedParts:
    """The parts that an instance owns, and what they were computed from."""

    limits: Mapping[WorkspaceId, Workspace]
    lasting: dict[InstanceId, RosterRecord]
    basis: tuple
    parts: dict[str, RatePart]


class RateDivision:
    """Which parts the rates have, and which instances may own each.

    Rates are divided once every instance of the fleet divides them: an instance of an earlier
    build hands out whole ones.

    Parameters
    ----------
    view : FleetView
        The fleet.
    data_centre : DataCentre
        The data centre of this instance.
    data_centres : sequence of DataCentre
        All data centres of the deployment.
    rules : QuotaRules
        How the operators count operations.
    continuing : Callable
        Returns the instances that have lately continued without the store, this one included;
        none while this instance has a lease.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        view: FleetView,
        data_centre: DataCentre,
        data_centres: Sequence[DataCentre],
        rules: QuotaRules,
        continuing: Callable[[], set[InstanceId]],
        clock: Clock,
    ) -> None:
        self._view = view
        others = sorted(name for name in data_centres if name != data_centre)
        self._data_centres = [data_centre, *others]
        self._rules = rules
        self._continuing = continuing
        self._clock = clock
        # The instances that may own parts, at a version of the fleet, and their rankings.
        self._version = -1
        self._next_refresh = 0.0
        self._ranked: tuple[dict[InstanceId, RosterRecord], dict[RatePart, list[RosterRecord]]] = (
            {},
            {},
        )
        self._owned = _OwnedParts({}, {}, (), {})
        # Whether the rates were divided last, and when that changed.
        self._was_divided = self.is_configured
        self._changed_at = -CHANGE_SPAN_S

    @property
    def is_configured(self) -> bool:
        """True if the deployment has several data centres."""
        return len(self._data_centres) > 1

    @property
    def is_divided(self) -> bool:
        """True if the rates of workspaces are divided now."""
        divided = self.is_configured and self._view.divides_rates
        if divided != self._was_divided:
            self._was_divided = divided
            self._changed_at = self._clock.monotonic()
        return divided

    @property
    def is_settled(self) -> bool:
        """True if the division has not changed for some seconds."""
        return self._clock.monotonic() - self._changed_at >= CHANGE_SPAN_S

    def parts(self, limit: Workspace) -> list[RatePart]:
        """Return the parts of a rate, the own data centre's first.

        The rate of a cold database is not divided, as its requests all come from one data centre.
        """
        if isinstance(limit, ColdLimit) or not self.is_divided:
            return [RatePart(limit.workspace)]
        return [RatePart(limit.workspace, name) for name in self._data_centres]

    def token_rate(self, limit: Workspace, part: RatePart) -> TokenRate:
        """Return the token rate of a part."""
        pooled = self._rules.pooled_rate(limit, self._view.size)
        if part.data_centre is None:
            return pooled
        return self._rules.divide(pooled, len(self._data_centres))

    def ranked_owners(self, part: RatePart) -> list[RosterRecord]:
        """Return the instances that may own a part, in their order.

        Without the store, they are those that continue without it.
        """
        ranked = self.ranked_members(part)
        names = self._continuing()
        if part.data_centre is None or not names:
            return ranked
        return [record for record in ranked if record.instance in names] or ranked

    def ranked_members(self, part: RatePart) -> list[RosterRecord]:
        """Return the instances that may own a part, in their order, reachable or not.

        One that is away for a moment keeps its parts of divided rates: when many leases end
        together, parts that moved twice would be without owner for longer.
        """
        if part.data_centre is None:
            return self._view.ranked_owners(part.workspace)
        self._refresh()
        lasting, rankings = self._ranked
        ranked = rankings.get(part)
        if ranked is None:
            found = {
                name: record
                for name, record in lasting.items()
                if record.data_centre == part.data_centre
            } or lasting
            ranked = [found[name] for name in self._view.rank_names(part.workspace, found)]
            rankings[part] = ranked
        return ranked

    def _refresh(self) -> None:
        """Update the instances that are ranked, as an absence may have become too long."""
        version, now = self._view.version, self._clock.monotonic()
        if version == self._version and now < self._next_refresh:
            return
        self._version, self._next_refresh = version, now + REFRESH_INTERVAL_S
        lasting = self._view.lasting_instances(MAX_ABSENCE_S)
        if lasting != self._ranked[0]:
            # Replaced together, so that no ranking of the earlier instances is kept.
            self._ranked = (lasting, {})

    def owned_by(
        self, instance: InstanceId, limits: Mapping[WorkspaceId, Workspace]
    ) -> dict[str, RatePart]:
        """Return the parts that an instance owns, by name.

        They are computed again only if the fleet or the workspaces have changed.
        """
        is_divided = self.is_divided
        self._refresh()
        basis = (is_divided, self._version, frozenset(self._continuing()))
        known = self._owned
        if known.limits is limits and known.lasting is self._ranked[0] and known.basis == basis:
            return known.parts
        lasting = self._ranked[0]
        parts = {
            part.name: part
            for limit in limits.values()
            for part in self.parts(limit)
            if [record.instance for record in self.ranked_owners(part)[:1]] == [instance]
        }
        self._owned = _OwnedParts(limits, lasting, basis, parts)
        return parts

    def other_division(self, part: RatePart) -> list[RatePart]:
        """Return the parts that contained this one, or were contained in it, before a change."""
        if part.data_centre is not None:
            return [RatePart(part.workspace)]
        return [RatePart(part.workspace, name) for name in self._data_centres]
