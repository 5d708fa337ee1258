"""Which workspace a caller acts for, and what a caller without access is told.

Serves the time in which this instance cannot follow the store, and the moments after it, as well as
a store that has come back from an older copy: callers of routes and keys that were added meanwhile
arrive here before the configuration does. What the configuration lacks is refused for good only if
no newer one can be in force; callers of what it has are served from it.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    QuetzalrudderError,
    RouteNotFound,
    SettingsTooOld,
    Unauthenticated,
)
from quetzalrudder.gateway.catalog import Catalog, CurrentCatalog, Route
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.store_eras import StoreEras
from quetzalrudder.models import WorkspaceId
from quetzalrudder.utils import MS_PER_S

__all__ = ["Authorizer", "CatalogView"]

# Time in which an instance that reaches the store again reads it, and its random spread. Another
# instance may serve the caller at once.
RETRY_S = 0.5
RETRY_SPREAD = 0.5


@dataclass(frozen=True)
class CatalogView:
    """The configuration as this instance knows it at one moment."""

    catalog: Catalog
    # Seconds since it was last known to be the newest; infinite before the first read.
    age_s: float
    # True if every configuration that must be in force by now is known here.
    is_current: bool


class Authorizer:
    """Checks the route and the key of callers.

    Parameters
    ----------
    catalogs : CurrentCatalog
        The configuration.
    contact : StoreContact
        Tells how old this instance's view of the store is.
    eras : StoreEras
        Tells whether the store lacks configurations, as it came back from an older copy.
    count_unconfirmed : Callable
        Called with ``"route"`` or ``"key"`` for each refusal that is not for good.
    rng : random.Random
        Spreads the delays that callers are told.
    """

    def __init__(
        self,
        catalogs: CurrentCatalog,
        contact: StoreContact,
        eras: StoreEras,
        count_unconfirmed: Callable[[str], None],
        rng: random.Random,
    ) -> None:
        self._catalogs = catalogs
        self._contact = contact
        self._eras = eras
        self._count_unconfirmed = count_unconfirmed
        self._rng = rng

    def take_view(self) -> CatalogView:
        """Return the configuration in force and how old it may be."""
        # The age first: a view that is confirmed in between says nothing of the catalog before it.
        age_s = self._contact.view_age_s
        is_current = (
            self._contact.is_view_current
            and not self._catalogs.is_superseded
            and not self._eras.may_lack_writes
        )
        return CatalogView(self._catalogs.current, age_s, is_current)

    def authorize(
        self, view: CatalogView, database: str, key: str
    ) -> Result[tuple[Route, WorkspaceId], QuetzalrudderError]:
        """Return the route of a database name and the workspace that a key acts for there.

        ``RouteNotFound`` and ``Unauthenticated`` are for good. ``SettingsTooOld`` if a newer
        configuration than the known one may have the route or the key.
        """
        route = view.catalog.routes.get(database)
        if route is None:
            missing = RouteNotFound("no route has this database name", place=database)
            return Err(self._refusal(view, missing, "route"))
        workspace = view.catalog.resolve_workspace(route, key)
        if workspace is None:
            unknown = Unauthenticated("the key is unknown", place=database)
            return Err(self._refusal(view, unknown, "key"))
        return Ok((route, workspace))

    def _refusal(
        self, view: CatalogView, exc: QuetzalrudderError, missing: str
    ) -> QuetzalrudderError:
        if view.is_current:
            return exc
        self._count_unconfirmed(missing)
        reason = f"the {missing} is not known here, and a newer configuration may have it"
        retry_after_ms = round(RETRY_S * (1 + RETRY_SPREAD * self._rng.random()) * MS_PER_S)
        return SettingsTooOld(reason, place=exc.place, retry_after_ms=retry_after_ms)
