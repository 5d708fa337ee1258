"""Gets a newer configuration from one peer at a time.

Serves instances that are cut off from the store while configurations change, behind links of a
few megabits a second. Peers only tell their version in the replies to the many requests for
permission; the configuration itself is sent once. A copy in each reply would take the link from the
replies that grant permission, from the store's answers and from callers.
"""

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Executor

from result import Err, Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.catalog import CurrentCatalog
from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["NO_CATALOG", "CatalogFetch"]

log = logging.getLogger(__name__)

# Stands for the known version in a report whose reply need not have a configuration.
NO_CATALOG = 2**63 - 1
# Time for a configuration of 1 MB, the longest value of the store, on a link of 5 Mbit/s.
FETCH_TIMEOUT_S = 2.0
# Pause after a fetch that failed or brought nothing newer, which doubles up to the longest.
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# Interval of fetches from peers of earlier builds, which don't tell their version.
UNKNOWN_VERSION_INTERVAL_S = 1.0


class CatalogFetch:
    """Fetches the configuration from peers that have a newer one.

    Parameters
    ----------
    catalogs : CurrentCatalog
        The configuration in force.
    fetch : Callable
        Requests the configuration from a peer within a time, and puts it in force if it is newer.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        catalogs: CurrentCatalog,
        fetch: Callable[[RosterRecord, float], Result[None, QuetzalrudderError]],
        clock: Clock,
    ) -> None:
        self._catalogs = catalogs
        self._fetch = fetch
        self._clock = clock
        self._lock = threading.Lock()
        self._is_fetching = False
        self._failures = 0
        self._next_fetch = 0.0
        # Runs the fetches; None: in the thread that learns of a version.
        self.executor: Executor | None = None

    def offer(self, peer: RosterRecord, version: int) -> None:
        """Record the version that a peer has, 0 if it doesn't tell it; fetch it if it is newer."""
        if 0 < version <= self._catalogs.current.version:
            return
        now = self._clock.monotonic()
        with self._lock:
            if self._is_fetching or now < self._next_fetch:
                return
            self._is_fetching = True
        if self.executor is None:
            self._run(peer, version)
        else:
            self.executor.submit(self._run, peer, version)

    def _run(self, peer: RosterRecord, version: int) -> None:
        started = self._clock.monotonic()
        before = self._catalogs.current.version
        try:
            result = self._fetch(peer, FETCH_TIMEOUT_S)
        finally:
            now = self._clock.monotonic()
            is_newer = self._catalogs.current.version > before
            with self._lock:
                self._is_fetching = False
                self._failures = 0 if is_newer else self._failures + 1
                self._next_fetch = 0.0 if is_newer else now + self._pause_s(version)
        if is_newer or version:
            log.info(
                "configuration fetched from a peer" if is_newer else "configuration not fetched",
                extra={
                    "peer": peer.instance,
                    "offered": version,
                    "version": self._catalogs.current.version,
                    "took_ms": round((now - started) * MS_PER_S),
                    "reason": str(result.err_value) if isinstance(result, Err) else "",
                },
            )

    def _pause_s(self, version: int) -> float:
        if not version:
            return UNKNOWN_VERSION_INTERVAL_S
        return min(MAX_PAUSE_S, FIRST_PAUSE_S * 2 ** (self._failures - 1))
