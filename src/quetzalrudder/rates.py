"""Rate limits of workspaces, enforced over all instances together."""

import math
from collections.abc import Callable

from result import Err, Ok, Result

from quetzalrudder.exceptions import RateExceeded
from quetzalrudder.models import TargetId, WorkspaceId
from quetzalrudder.settings import SettingsTree
from quetzalrudder.shares import (
    PERMIT_PREFIX,
    RATE_PREFIX,
    Limit,
    PermitLimit,
    RateLimit,
    ShareKey,
    ShareLedger,
    rate_key,
)
from quetzalrudder.utils import MS_PER_S

__all__ = ["FleetLimits", "RateLimiter"]


class FleetLimits:
    """Looks up the limit for each key of the share ledger.

    Parameters
    ----------
    tree : Callable
        Returns the settings in force.
    connection_limit : Callable
        Returns the number of connections that a target accepts from the whole fleet;
        0 if it is not known.
    """

    def __init__(
        self, tree: Callable[[], SettingsTree], connection_limit: Callable[[TargetId], int]
    ) -> None:
        self._tree = tree
        self._connection_limit = connection_limit
        self._cached: tuple[SettingsTree | None, dict[ShareKey, Limit]] = (None, {})

    def __call__(self, key: ShareKey) -> Limit | None:
        """Return the limit for a key, or None if there is none."""
        if key.startswith(PERMIT_PREFIX):
            count = self._connection_limit(TargetId(key.removeprefix(PERMIT_PREFIX)))
            return PermitLimit(count) if count else None
        return self._rate_limit(key)

    def _rate_limit(self, key: ShareKey) -> Limit:
        tree = self._tree()
        cached_tree, limits = self._cached
        if cached_tree is not tree:
            limits = {}
            self._cached = (tree, limits)
        limit = limits.get(key)
        if limit is None:
            settings = tree.effective(key.removeprefix(RATE_PREFIX))
            limit = RateLimit(settings.rate_per_s or 0.0, settings.burst or 0)
            limits[key] = limit
        return limit


class RateLimiter:
    """Admits or refuses requests by the rate of their workspace.

    Parameters
    ----------
    ledger : ShareLedger
        The shares of this instance.
    spend_from_peers : Callable
        Gets the tokens that a request needs from peers, and spends them. Returns False if
        too few came in bounded time.
    """

    def __init__(
        self, ledger: ShareLedger, spend_from_peers: Callable[[ShareKey, float], bool]
    ) -> None:
        self._ledger = ledger
        self._spend_from_peers = spend_from_peers

    def admit(self, workspace: WorkspaceId, cost: float) -> Result[None, RateExceeded]:
        """Charge the cost of a request to the rate of its workspace.

        Parameters
        ----------
        workspace : WorkspaceId
            Workspace of the request; empty for callers without a key, which share one rate.
        cost : float
            Cost of the request, in tokens.

        Returns
        -------
        Result[None, RateExceeded]
            ``RateExceeded`` if too few tokens are available. Its ``retry_after_ms`` is the
            expected wait for them, or 0 if waiting does not help.
        """
        key = rate_key(workspace)
        if cost <= 0 or self._ledger.spend(key, cost) or self._spend_from_peers(key, cost):
            return Ok(None)
        wait_s = self._ledger.expected_wait_s(key, cost)
        retry_after_ms = 0 if math.isinf(wait_s) else max(1, math.ceil(wait_s * MS_PER_S))
        return Err(
            RateExceeded(
                "rate and burst are used up",
                place=workspace,
                retry_after_ms=retry_after_ms,
            )
        )
