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
from quetzalrudder.models import InstanceId
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["NO_CATALOG", "CatalogFetch"]

log = logging.getLogger(__name__)

# Stands for the known version in a report whose reply need not have a configuration.
NO_CATALOG = 2**63 - 1
# Time for a configuration of 1 MB, the longest value of the store, on a link of 5 Mbit/s. It
# doubles with each failure, as the pause does.
FETCH_TIMEOUT_S = 2.0
# Pause after a fetch that failed or brought nothing newer.
FIRST_PAUSE_S = 0.5
MAX_DOUBLINGS = 3
# Part of the pause in which other peers than the one that failed come first.
OTHER_PEERS_LEAD_S = 0.25
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
        self._failed_peer: InstanceId | None = None
        # When a peer that does not tell its version may be asked.
        self._next_blind_fetch = 0.0
        # Runs the fetches; None: in the thread that learns of a version.
        self.executor: Executor | None = None

    def offer(self, peer: RosterRecord, version: int) -> None:
        """Record the version that a peer has, 0 if it doesn't tell it; fetch it if it is newer."""
        if 0 < version <= self._catalogs.current.version:
            return
        with self._lock:
            if self._is_fetching or self._clock.monotonic() < self._next_from(peer, version):
                return
            self._is_fetching = True
        if self.executor is None:
            self._run(peer, version)
        else:
            self.executor.submit(self._run, peer, version)

    def _next_from(self, peer: RosterRecord, version: int) -> float:
        if not version:
            return self._next_blind_fetch
        is_other = peer.instance != self._failed_peer
        return self._next_fetch - OTHER_PEERS_LEAD_S * is_other

    def _run(self, peer: RosterRecord, version: int) -> None:
        started = self._clock.monotonic()
        before = self._catalogs.current.version
        try:
            result = self._fetch(peer, FETCH_TIMEOUT_S * 2**self._doublings)
        finally:
            now = self._clock.monotonic()
            is_newer = self._catalogs.current.version > before
            with self._lock:
                self._is_fetching = False
                self._record_end(peer, version, now, is_newer=is_newer)
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

    @property
    def _doublings(self) -> int:
        return min(self._failures, MAX_DOUBLINGS)

    def _record_end(self, peer: RosterRecord, version: int, now: float, *, is_newer: bool) -> None:
        if is_newer:
            self._failures, self._failed_peer = 0, None
            self._next_fetch = self._next_blind_fetch = 0.0
        elif version:
            self._next_fetch = now + FIRST_PAUSE_S * 2**self._doublings
            self._failures += 1
            self._failed_peer = peer.instance
        else:
            self._next_blind_fetch = now + UNKNOWN_VERSION_INTERVAL_S
