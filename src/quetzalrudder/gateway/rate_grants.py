"""Grants parts of each workspace's rate to the instances whose callers request them.

Serves workspaces whose callers reach only a few instances. One instance, the rate owner,
divides a pool of each rate among the instances in proportion to their demand. A grant is a
rate for a short time: without the rate owner an instance falls back to its local share, and
a new rate owner waits until every grant of its predecessor has expired.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.models import InstanceId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["GRANT_VALIDITY_S", "RateAllocator"]

# Validity of a grant; instances report their demand several times in this span.
GRANT_VALIDITY_S = 1.0


@dataclass
class _Grant:
    demand_per_s: float
    granted_per_s: float
    expires_at: float


class RateAllocator:
    """Grants rates while this instance is the rate owner.

    Parameters
    ----------
    grantable_per_s : Callable
        Returns the operations a second of a workspace that are divided among a number of
        instances.
    clock : Clock
        Source of time; it must advance while the machine is suspended.
    """

    def __init__(self, grantable_per_s: Callable[[Workspace, int], float], clock: Clock) -> None:
        self._grantable_per_s = grantable_per_s
        self._clock = clock
        self._lock = threading.Lock()
        self._grants: dict[WorkspaceId, dict[InstanceId, _Grant]] = {}
        self._may_grant_from: float | None = None

    def set_rate_owner(self, *, is_rate_owner: bool) -> None:
        """Set whether this instance is the rate owner now."""
        with self._lock:
            if not is_rate_owner:
                self._may_grant_from = None
                self._grants.clear()
            elif self._may_grant_from is None:
                self._may_grant_from = self._clock.monotonic() + GRANT_VALIDITY_S

    def grant(
        self,
        instance: InstanceId,
        demands: dict[WorkspaceId, float],
        limits: dict[WorkspaceId, Workspace],
    ) -> dict[WorkspaceId, float] | None:
        """Grant rates to an instance for ``GRANT_VALIDITY_S`` from now.

        Parameters
        ----------
        instance : InstanceId
            The instance that reports its demand.
        demands : dict
            Operations a second that its callers request, by workspace.
        limits : dict
            Workspaces and their rates.

        Returns
        -------
        dict or None
            Operations a second by workspace; None if this instance may not grant any now.
        """
        now = self._clock.monotonic()
        with self._lock:
            if self._may_grant_from is None or now < self._may_grant_from:
                return None
            granted = {}
            for workspace, demand_per_s in demands.items():
                limit = limits.get(workspace)
                if limit is not None:
                    granted[workspace] = self._grant(instance, limit, demand_per_s, now)
            return granted

    def _grant(
        self, instance: InstanceId, limit: Workspace, demand_per_s: float, now: float
    ) -> float:
        grants = self._grants.setdefault(limit.workspace, {})
        for name in [name for name, grant in grants.items() if grant.expires_at <= now]:
            del grants[name]
        others = [grant for name, grant in grants.items() if name != instance]
        total_demand_per_s = demand_per_s + sum(grant.demand_per_s for grant in others)
        pool_per_s = self._grantable_per_s(limit, len(others) + 1)
        proportional_per_s = (
            pool_per_s * demand_per_s / total_demand_per_s if total_demand_per_s > 0 else 0.0
        )
        # A rate granted to another instance is available only after that instance has reported
        # less demand, or its grant has expired.
        available_per_s = max(0.0, pool_per_s - sum(grant.granted_per_s for grant in others))
        granted_per_s = min(proportional_per_s, available_per_s)
        grants[instance] = _Grant(demand_per_s, granted_per_s, now + GRANT_VALIDITY_S)
        return granted_per_s
