"""The operators' configuration: routes, database groups, workspaces and keys."""

import logging
import threading
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from functools import cached_property

from quetzalrudder.models import GroupId, WorkspaceId

__all__ = ["Catalog", "CurrentCatalog", "Consistency", "GroupSettings", "Route", "Workspace"]

log = logging.getLogger(__name__)

# Workspace of callers without a known key, on public routes.
ANONYMOUS_WORKSPACE = WorkspaceId("-")


class Consistency(Enum):
    """Consistency level of the reads of a route."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclass(frozen=True)
class Route:
    """A route: a database name that callers may connect to."""

    database: str
    group: GroupId
    consistency: Consistency
    # Greatest age of the data that a read returns; 0 on routes that read at the primary.
    max_age_ms: int
    # Timeout of one statement.
    timeout_ms: int
    # Latency objective of a whole operation.
    objective_ms: int
    # 0 is the most urgent.
    priority: int
    public: bool = False


@dataclass(frozen=True)
class GroupSettings:
    """Settings of one database group."""

    group: GroupId
    # Connections that each database accepts from all instances together.
    max_connections: int
    # Requests a second that a cold database bears from all instances together; 0 without a limit.
    cold_rate_per_s: float = 0.0
    # Replicas that have received a commit before it is acknowledged.
    sync_replicas: int = 0


@dataclass(frozen=True)
class Workspace:
    """A workspace and its rate limit."""

    workspace: WorkspaceId
    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class Catalog:
    """One version of the configuration."""

    version: int = 0
    routes: Mapping[str, Route] = field(default_factory=dict)
    groups: Mapping[GroupId, GroupSettings] = field(default_factory=dict)
    workspaces: Mapping[WorkspaceId, Workspace] = field(default_factory=dict)
    workspace_by_key: Mapping[str, WorkspaceId] = field(default_factory=dict)
    # How long a transaction may be idle.
    tx_idle_ms: int = 3000
    # How long a caller may take to send its greeting.
    greeting_ms: int = 3000

    @cached_property
    def used_groups(self) -> frozenset[GroupId]:
        """The groups that the configuration names, as services or in routes."""
        return frozenset(self.groups) | {route.group for route in self.routes.values()}

    def resolve_workspace(self, route: Route, key: str) -> WorkspaceId | None:
        """Return the workspace of a key on a route; None if the key has no access.

        Examples
        --------
        >>> open_to_all = Route("shop", GroupId("g"), Consistency.PRIMARY, 0, 1000, 200, 1, True)
        >>> Catalog().resolve_workspace(open_to_all, "unknown")
        '-'
        """
        workspace = self.workspace_by_key.get(key)
        if workspace is None and route.public:
            return ANONYMOUS_WORKSPACE
        return workspace


class CurrentCatalog:
    """The newest catalog that this instance has received; versions never decrease."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._current = Catalog()
        self._encoded = b""
        # True while the store holds a configuration that this instance cannot read.
        self.is_superseded = False

    @property
    def encoded(self) -> bytes:
        """The current catalog in the store's encoding, for peers."""
        return self._encoded

    @property
    def current(self) -> Catalog:
        """The current catalog."""
        return self._current

    def confirms_commits(self, group: GroupId) -> bool:
        """Return whether a replica of a group has received each commit that is acknowledged.

        True also before the first catalog has been received, as it may say so.
        """
        settings = self._current.groups.get(group)
        if settings is None:
            return self._current.version == 0
        return settings.sync_replicas > 0

    def weight_of(self, workspace: WorkspaceId) -> float:
        """Return the weight of a workspace under contention: its rate.

        One without a rate weighs as much as the mean.
        """
        workspaces = self._current.workspaces
        found = workspaces.get(workspace)
        if found is not None and found.rate_per_s > 0:
            return found.rate_per_s
        rates = [other.rate_per_s for other in workspaces.values() if other.rate_per_s > 0]
        return sum(rates) / len(rates) if rates else 1.0

    def update_if_newer(self, catalog: Catalog, encoded: bytes = b"") -> bool:
        """Replace the current catalog if the given one has a later version.

        Parameters
        ----------
        catalog : Catalog
            The new version.
        encoded : bytes
            The same version in the store's encoding.

        Returns
        -------
        bool
            True if the current catalog was replaced.
        """
        with self._changed:
            if catalog.version <= self._current.version:
                return False
            previous_version = self._current.version
            self._current = catalog
            self._encoded = encoded
            self._changed.notify_all()
        log.info(
            "configuration in force",
            extra={
                "version": catalog.version,
                "version_before": previous_version,
                "routes": len(catalog.routes),
                "keys": len(catalog.workspace_by_key),
            },
        )
        return True

    def wait_for_first(self, timeout_s: float) -> bool:
        """Wait for the first catalog; return False if none arrived in time."""
        with self._changed:
            return self._changed.wait_for(lambda: self._current.version > 0, timeout_s)
