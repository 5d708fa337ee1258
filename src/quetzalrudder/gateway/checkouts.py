"""Connections that are checked out of a pool, and the session state that they carry."""

from dataclasses import dataclass, field
from typing import Protocol

from quetzalrudder.gateway.statements import TargetLink
from quetzalrudder.gateway.targets import Target
from quetzalrudder.models import InstanceId, WorkspaceId

__all__ = ["Checkout", "PooledCheckout", "PooledLink", "close_links"]


@dataclass
class PooledLink:
    """A connection with the session state that its last user left on it."""

    link: TargetLink
    workspace: WorkspaceId
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[str] = field(default_factory=set)

    def invalidate_values(self) -> None:
        """Have the connection reset before its next use, as its session values are unknown."""
        # No session has a value with an empty name, so the next one to use it resets it.
        self.values[""] = ""


class Checkout(Protocol):
    """A connection checked out of a pool; use it as a context manager.

    It is closed on release unless :meth:`mark_reusable` was called.
    """

    # The other instance that owns the connection; None if this instance does.
    owner: InstanceId | None

    @property
    def target(self) -> Target:
        """The database that the connection leads to."""

    @property
    def link(self) -> TargetLink:
        """The connection."""

    def invalidate_prepared(self) -> None:
        """Assume that no statement is prepared on the connection."""

    def invalidate_values(self) -> None:
        """Have the connection reset before its next use, as its session values are unknown."""

    def mark_reusable(self) -> None:
        """Return the connection to the pool on release, as no transaction is open on it."""

    def release(self) -> None:
        """Return the connection to the pool, or close it."""

    def __enter__(self) -> "Checkout": ...

    def __exit__(self, *exc_info: object) -> None: ...


class _Pool(Protocol):
    target: Target

    def check_in(self, checkout: "PooledCheckout", *, reusable: bool) -> None: ...


class PooledCheckout:
    """A connection checked out of this instance's pool."""

    owner: InstanceId | None = None

    def __init__(self, pool: "_Pool", pooled: PooledLink, checked_out_at: float) -> None:
        self._pool = pool
        self.pooled = pooled
        self.checked_out_at = checked_out_at
        self._reusable = False
        self._released = False

    @property
    def target(self) -> Target:
        """The database that the connection leads to."""
        return self._pool.target

    @property
    def link(self) -> TargetLink:
        """The connection."""
        return self.pooled.link

    def invalidate_prepared(self) -> None:
        """Assume that no statement is prepared on the connection."""
        self.pooled.prepared.clear()

    def invalidate_values(self) -> None:
        """Have the connection reset before its next use, as its session values are unknown."""
        self.pooled.invalidate_values()

    def mark_reusable(self) -> None:
        """Return the connection to the pool on release, as no transaction is open on it."""
        self._reusable = True

    def release(self) -> None:
        """Return the connection to the pool, or close it."""
        if not self._released:
            self._released = True
            self._pool.check_in(self, reusable=self._reusable and not self.link.broken)

    def __enter__(self) -> "PooledCheckout":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.release()


def close_links(closing: list[PooledLink]) -> None:
    """Close connections that have left their pool."""
    for pooled in closing:
        pooled.link.close()
