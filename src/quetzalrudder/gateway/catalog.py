"""What the operators have configured, in the versions in which it came."""

import logging
import threading
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from quetzalrudder.models import GroupId, WorkspaceId

__all__ = ["Catalog", "CurrentCatalog", "Consistency", "GroupSettings", "Route", "Workspace"]

log = logging.getLogger(__name__)

ANONYMOUS_WORKSPACE = WorkspaceId("-")


class Consistency(Enum):
    """Which data the reads of a route may see."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    SESSION = "session"


@dataclass(frozen=True)
class Route:
    """One database name that callers may connect to."""

    database: str
    group: GroupId
    consistency: Consistency
    # Age that a read may have; 0 on routes that read at the primary.
    max_age_ms: int
    # Bound on one statement.
    timeout_ms: int
    # Latency objective of a whole operation.
    objective_ms: int
    # 0 is the most urgent.
    priority: int
    public: bool = False


@dataclass(frozen=True)
class GroupSettings:
    """One group of databases."""

    group: GroupId
    # Connections that each database takes from all instances together.
    max_connections: int


@dataclass(frozen=True)
class Workspace:
    """One workspace and its rate."""

    workspace: WorkspaceId
    rate_per_s: float
    burst: float


@dataclass(frozen=True)
class Catalog:
    """One accepted version of the configuration."""

    version: int = 0
    routes: Mapping[str, Route] = field(default_factory=dict)
    groups: Mapping[GroupId, GroupSettings] = field(default_factory=dict)
    workspaces: Mapping[WorkspaceId, Workspace] = field(default_factory=dict)
    workspace_by_key: Mapping[str, WorkspaceId] = field(default_factory=dict)
    # How long a transaction may stay idle.
    tx_idle_ms: int = 3000
    # How long a caller may take to send its greeting.
    greeting_ms: int = 3000

    def resolve_workspace(self, route: Route, key: str) -> WorkspaceId | None:
        """Find the workspace that a key stands for on a route; None without access.

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
    """The newest catalog that this instance has seen; it never goes back."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._current = Catalog()
        self._encoded = b""

    @property
    def encoded(self) -> bytes:
        """The catalog in force as the store holds it, for peers."""
        return self._encoded

    @property
    def current(self) -> Catalog:
        """The catalog in force."""
        return self._current

    def update_if_newer(self, catalog: Catalog, encoded: bytes = b"") -> bool:
        """Take a catalog unless it is older than the one in force.

        Parameters
        ----------
        catalog : Catalog
            The version.
        raw : bytes
            The same as the store holds it.
        """
        with self._changed:
            if catalog.version <= self._current.version:
                return False
            before = self._current.version
            self._current = catalog
            self._encoded = encoded
            self._changed.notify_all()
        log.info(
            "configuration in force",
            extra={
                "version": catalog.version,
                "version_before": before,
                "routes": len(catalog.routes),
                "keys": len(catalog.workspace_by_key),
            },
        )
        return True

    def wait_for_first(self, timeout_s: float) -> bool:
        """Wait for the first catalog; false if none came in time."""
        with self._changed:
            return self._changed.wait_for(lambda: self._current.version > 0, timeout_s)
