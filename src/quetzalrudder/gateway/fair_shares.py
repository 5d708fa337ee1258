"""Shares of a scarce resource by workspace, weighted by the workspaces' rates.

Serves one workspace that calls far more often than before, within its rate, while many small
ones use the same database. Start-time fair queueing: P. Goyal, H. M. Vin, H. Cheng, "Start-time
Fair Queuing: A Scheduling Algorithm for Integrated Services Packet Switching Networks", ACM
SIGCOMM 1996.
"""

from collections.abc import Callable, Iterable

from quetzalrudder.models import WorkspaceId

__all__ = ["FairShares"]

# Workspaces after which those without use beyond their share are forgotten.
MAX_WORKSPACES = 256


class FairShares:
    """Start tags of workspaces; the one with the lowest goes next. Not thread-safe.

    Parameters
    ----------
    weight_of : Callable
        Returns the weight of a workspace, greater than 0.

    Examples
    --------
    >>> shares = FairShares(lambda workspace: 1.0)
    >>> shares.charge("hot", 0.1, ["hot", "small"])
    >>> shares.start("hot") > shares.start("small")
    True
    """

    def __init__(self, weight_of: Callable[[WorkspaceId], float]) -> None:
        self._weight_of = weight_of
        # Start tag of the latest work, and the finish tag of each workspace's latest work.
        self._virtual_time = 0.0
        self._finish: dict[WorkspaceId, float] = {}

    def start(self, workspace: WorkspaceId) -> float:
        """Return the start tag of a workspace's next work."""
        return max(self._virtual_time, self._finish.get(workspace, 0.0))

    def span(self, workspace: WorkspaceId, cost_s: float) -> float:
        """Return by how much a piece of work advances its workspace's tag."""
        return cost_s / self._weight_of(workspace)

    def charge(
        self, workspace: WorkspaceId, cost_s: float, waiting: Iterable[WorkspaceId] = ()
    ) -> None:
        """Record that a workspace's work is served while others wait.

        Virtual time stays at the lowest tag of those that wait, so that a workspace that was
        passed over because of its priority keeps its place.
        """
        start = self.start(workspace)
        self._virtual_time = min([start, *map(self.start, set(waiting))])
        self._finish[workspace] = start + self.span(workspace, cost_s)
        if len(self._finish) > MAX_WORKSPACES:
            self._finish = {
                name: tag for name, tag in self._finish.items() if tag > self._virtual_time
            }
