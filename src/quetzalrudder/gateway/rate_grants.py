"""Moves parts of each workspace's rate to the instances whose callers ask for them.

Answers the load of a workspace whose callers reach a few instances only. One instance, the
keeper, gives out a pool of each rate in proportion to what instances were asked for. A
grant is a rate for a short time: without the keeper an instance falls back to its own
part, and a new keeper waits until every grant of its predecessor has ended.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.models import InstanceId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["GRANT_S", "RateAllocator"]

# Instances report several times in this span.
GRANT_S = 1.0


@dataclass
class _Share:
    demand_per_s: float
    granted_per_s: float
    until: float


class RateAllocator:
    """Gives out rate grants while this instance is the keeper.

    Parameters
    ----------
    pool : Callable
        Gives the operations a second of a workspace that are shared out to a number of
        instances.
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(self, pool: Callable[[Workspace, int], float], clock: Clock) -> None:
        self._pool = pool
        self._clock = clock
        self._lock = threading.Lock()
        self._shares: dict[WorkspaceId, dict[InstanceId, _Share]] = {}
        self._may_grant_from: float | None = None

    def keep(self, *, is_rate_owner: bool) -> None:
        """Say whether this instance is the keeper now."""
        with self._lock:
            if not is_rate_owner:
                self._may_grant_from = None
                self._shares.clear()
            elif self._may_grant_from is None:
                self._may_grant_from = self._clock.monotonic() + GRANT_S

    def grant(
        self,
        instance: InstanceId,
        demands: dict[WorkspaceId, float],
        limits: dict[WorkspaceId, Workspace],
    ) -> dict[WorkspaceId, float] | None:
        """Give an instance its rates for ``GRANT_S`` from now; None if not the keeper.

        Parameters
        ----------
        instance : InstanceId
            Who reports.
        demands : dict
            Operations a second that it was asked for, by workspace.
        limits : dict
            Workspaces and their rates.
        """
        now = self._clock.monotonic()
        with self._lock:
            if self._may_grant_from is None or now < self._may_grant_from:
                return None
            grants = {}
            for workspace, demand_per_s in demands.items():
                limit = limits.get(workspace)
                if limit is not None:
                    grants[workspace] = self._grant(instance, limit, demand_per_s, now)
            return grants

    def _grant(
        self, instance: InstanceId, limit: Workspace, demand_per_s: float, now: float
    ) -> float:
        shares = self._shares.setdefault(limit.workspace, {})
        for name in [name for name, share in shares.items() if share.until <= now]:
            del shares[name]
        others = [share for name, share in shares.items() if name != instance]
        total = demand_per_s + sum(share.demand_per_s for share in others)
        pool = self._pool(limit, len(others) + 1)
        wanted = pool * demand_per_s / total if total > 0 else 0.0
        # What others still hold is given out again only when they have reported.
        free = max(0.0, pool - sum(share.granted_per_s for share in others))
        granted = min(wanted, free)
        shares[instance] = _Share(demand_per_s, granted, now + GRANT_S)
        return granted
