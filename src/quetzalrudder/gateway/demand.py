"""Demand for connections by workspace."""

from quetzalrudder.models import WorkspaceId

__all__ = ["ConnectionDemand"]

# Requests of a pool after which the older ones count half.
DEMAND_MEMORY = 64


class ConnectionDemand:
    """How often each workspace has recently asked for a connection; not thread-safe."""

    def __init__(self) -> None:
        self._counts: dict[WorkspaceId, float] = {}
        self._total = 0.0

    def record(self, workspace: WorkspaceId) -> None:
        """Count a request; earlier ones lose weight as newer ones come."""
        self._counts[workspace] = self._counts.get(workspace, 0.0) + 1
        self._total += 1
        if self._total >= DEMAND_MEMORY:
            self._total /= 2
            self._counts = {name: n / 2 for name, n in self._counts.items() if n >= 1}

    def of(self, workspace: WorkspaceId) -> float:
        """Return the demand of a workspace."""
        return self._counts.get(workspace, 0.0)
