"""Holds each workspace to its rate and burst, counted over all instances together."""

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
    """Gives the limit behind each key of the ledger.

    Parameters
    ----------
    tree : Callable
        Gives the settings in force.
    connection_limit : Callable
        Gives the connections that a target takes from the whole fleet; 0 if not known.
    """

    def __init__(
        self, tree: Callable[[], SettingsTree], connection_limit: Callable[[TargetId], int]
    ) -> None:
        self._tree = tree
        self._connection_limit = connection_limit
        self._cached: tuple[SettingsTree | None, dict[ShareKey, Limit]] = (None, {})

    def __call__(self, key: ShareKey) -> Limit | None:
        """Look a limit up; None if there is none."""
        if key.startswith(PERMIT_PREFIX):
            count = self._connection_limit(TargetId(key.removeprefix(PERMIT_PREFIX)))
            return PermitLimit(count) if count else None
        return self._rate(key)

    def _rate(self, key: ShareKey) -> Limit:
        tree = self._tree()
        cached_tree, limits = self._cached
        if cached_tree is not tree:
            limits = {}
            self._cached = (tree, limits)
        found = limits.get(key)
        if found is None:
            settings = tree.effective(key.removeprefix(RATE_PREFIX))
            found = RateLimit(settings.rate_per_s or 0.0, settings.burst or 0)
            limits[key] = found
        return found


class RateLimiter:
    """Admits or refuses a request by its workspace's rate.

    Parameters
    ----------
    ledger : ShareLedger
        The shares of this instance.
    seek : Callable
        Asks peers for the tokens of one request, within a small bound; true if it got
        and spent them.
    """

    def __init__(self, ledger: ShareLedger, seek: Callable[[ShareKey, float], bool]) -> None:
        self._ledger = ledger
        self._seek = seek

    def admit(self, workspace: WorkspaceId, cost: float) -> Result[None, RateExceeded]:
        """Take a request's cost from the workspace's rate.

        Parameters
        ----------
        workspace : WorkspaceId
            Whose request it is; empty for callers without a key, who share one rate.
        cost : float
            Cost of the request, in tokens.

        Returns
        -------
        Result[None, RateExceeded]
            The refusal says when the tokens will be there.
        """
        key = rate_key(workspace)
        if cost <= 0 or self._ledger.spend(key, cost) or self._seek(key, cost):
            return Ok(None)
        wait_s = self._ledger.expected_wait_s(key, cost)
        retry_after_ms = 0 if math.isinf(wait_s) else max(1, math.ceil(wait_s * MS_PER_S))
        return Err(
            RateExceeded(
                "rate and burst are used up", place=workspace, retry_after_ms=retry_after_ms
            )
        )
