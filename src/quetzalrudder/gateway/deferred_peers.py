"""Calls to peers that wait until the client for them has been loaded.

An instance serves its first callers before it has loaded gRPC and the event loop, which take
longer than everything else at its start. Statements that need no peer do not wait for that.
"""

import threading
from collections.abc import Generator
from typing import Any

from result import Err, Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError, TargetUnavailable
from quetzalrudder.schema.gateway import (
    ChangesReply,
    ChangesRequest,
    EndRequest,
    PeerReply,
    PeerReport,
    PositionReply,
    PositionRequest,
    RunReply,
    RunRequest,
    TakeOverReply,
    TakeOverRequest,
    TokenReply,
    TokenRequest,
)
from quetzalrudder.utils import Clock

__all__ = ["DeferredPeerCaller"]


class DeferredPeerCaller:
    """Passes calls on to a client of the peers, and waits for that client at first.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loaded = threading.Event()
        self._caller: Any = None

    def provide(self, caller: Any) -> None:
        """Make the client available; it has the methods of this class."""
        self._caller = caller
        self._loaded.set()

    def exchange(
        self, address: str, report: PeerReport, timeout_s: float
    ) -> Result[PeerReply, QuetzalrudderError]:
        """Send a report and return the reply."""
        return self._call("exchange", address, report, timeout_s)

    def exchange_all(
        self, reports: list[tuple[str, PeerReport]], timeout_s: float, patience_s: float = 0.0
    ) -> Generator[tuple[int, Result[PeerReply, QuetzalrudderError]], None, None]:
        """Send reports to addresses; yield the index and the reply of each as it arrives."""
        return self._call_all("exchange_all", reports, timeout_s, patience_s)

    def take_over_all(
        self, requests: list[tuple[str, TakeOverRequest]], timeout_s: float
    ) -> Generator[tuple[int, Result[TakeOverReply, QuetzalrudderError]], None, None]:
        """Ask peers to hand out no more tokens; yield the index and the reply of each."""
        return self._call_all("take_over_all", requests, timeout_s)

    def take_token(
        self, address: str, req: TokenRequest, timeout_s: float
    ) -> Result[TokenReply, QuetzalrudderError]:
        """Request a rate token and return the reply."""
        return self._call("take_token", address, req, timeout_s)

    def take_over_rates(
        self, address: str, req: TakeOverRequest, timeout_s: float
    ) -> Result[TakeOverReply, QuetzalrudderError]:
        """Ask a peer to hand out no more tokens of some workspaces and return the reply."""
        return self._call("take_over_rates", address, req, timeout_s)

    def tell_position(
        self, address: str, req: PositionRequest, timeout_s: float
    ) -> Result[PositionReply, QuetzalrudderError]:
        """Request a primary's log position and return the reply."""
        return self._call("tell_position", address, req, timeout_s)

    def wait_for_changes(
        self, address: str, req: ChangesRequest, timeout_s: float
    ) -> Result[ChangesReply, QuetzalrudderError]:
        """Request the changes of the store, and wait for the first if there is none."""
        return self._call("wait_for_changes", address, req, timeout_s)

    def run(
        self, address: str, req: RunRequest, timeout_s: float
    ) -> Result[RunReply, QuetzalrudderError]:
        """Run a statement on a borrowed connection and return the reply."""
        return self._call("run", address, req, timeout_s)

    def end(self, address: str, req: EndRequest) -> None:
        """Return a borrowed connection, which the client has lent before."""
        if self._loaded.is_set():
            self._caller.end(address, req)

    def _call_all(
        self, method: str, calls: list[tuple[str, Any]], timeout_s: float, *args: float
    ) -> Generator[tuple[int, Result[Any, QuetzalrudderError]], None, None]:
        """Make several calls once the client is loaded, within the same time limit."""
        loaded = self._wait_until_loaded(timeout_s)
        if isinstance(loaded, Err):
            return ((index, loaded) for index in range(len(calls)))
        return getattr(self._caller, method)(calls, loaded.ok_value, *args)

    def _call(
        self, method: str, address: str, message: Any, timeout_s: float
    ) -> Result[Any, QuetzalrudderError]:
        """Call the client once it is loaded, within the same time limit."""
        loaded = self._wait_until_loaded(timeout_s, address)
        if isinstance(loaded, Err):
            return loaded
        return getattr(self._caller, method)(address, message, loaded.ok_value)

    def _wait_until_loaded(
        self, timeout_s: float, address: str = ""
    ) -> Result[float, QuetzalrudderError]:
        """Wait for the client; return the seconds that are left for the calls."""
        if self._loaded.is_set():
            return Ok(timeout_s)
        started_at = self._clock.monotonic()
        if not self._clock.wait(self._loaded, timeout_s):
            reason = "the client of the peers is not loaded yet"
            return Err(TargetUnavailable(reason, place=address))
        return Ok(max(0.0, timeout_s - (self._clock.monotonic() - started_at)))
