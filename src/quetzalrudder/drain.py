"""Planned stop: finishes open work, hands over shares and leases, reports what was cut off."""

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass

from result import Ok

from quetzalrudder.connections import CallerConnections
from quetzalrudder.membership import Membership
from quetzalrudder.models import InstanceId
from quetzalrudder.peers import PeerLinks
from quetzalrudder.schema.peers import DepartureKind, Farewell
from quetzalrudder.spread import GossipExchange
from quetzalrudder.timeline import EventKind, Timeline
from quetzalrudder.utils import Clock, Deadline
from quetzalrudder.watching import PlatformWatcher

__all__ = ["Drain", "DrainResult"]

log = logging.getLogger(__name__)

FAREWELL_TIMEOUT_S = 0.5
# Number of recent events that are sent to a peer with the farewell.
MAX_FAREWELL_EVENTS = 100


@dataclass(frozen=True)
class DrainResult:
    """Result of a planned stop."""

    # Connections that were still open at the end, and the requests running on them.
    connections_cut: int
    requests_cut: list[str]


class Drain:
    """Takes an instance out of service.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    connections : CallerConnections
        Connections of callers, which are drained.
    membership, gossip, links
        Announce the departure and send the farewell to peers.
    platform_watcher : PlatformWatcher
        Its slot is released to another instance.
    timeline : Timeline
        Records events; the last ones are sent to a peer, which keeps them.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        connections: CallerConnections,
        membership: Membership,
        gossip: GossipExchange,
        links: PeerLinks,
        platform_watcher: PlatformWatcher,
        timeline: Timeline,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._connections = connections
        self._membership = membership
        self._gossip = gossip
        self._links = links
        self._platform_watcher = platform_watcher
        self._timeline = timeline
        self._clock = clock
        self._wait_ended = threading.Event()
        # Called after the wait for open work, to hand over what other parts hold.
        self.handover_callbacks: list[Callable[[], None]] = []

    def stop_waiting(self) -> None:
        """End the wait for open work; may be called from any thread."""
        self._wait_ended.set()
        self._connections.wake()

    def run(self, timeout_s: float) -> DrainResult:
        """Drain the instance.

        It refuses new connections, directs callers to other instances, waits for open
        work, hands over its leases and shares, and sends its last events to a peer.

        Parameters
        ----------
        timeout_s : float
            Longest wait for open work, in seconds.

        Returns
        -------
        DrainResult
            What was still open at the end of the wait.
        """
        deadline = Deadline(self._clock, self._clock.monotonic() + timeout_s)
        self._timeline.record(EventKind.DRAINING)
        self._connections.drain()
        log.info("draining")
        self._membership.announce_departure(DepartureKind.INSTANCE, self._instance)
        self._gossip.announce()
        still_open = self._connections.wait_until_empty(deadline.remaining_s, self._wait_ended)
        result = DrainResult(still_open, self._connections.running_requests())
        self._record_cut(result)
        self._hand_over()
        self._timeline.record(EventKind.STOPPED)
        self._send_farewell()
        return result

    def _record_cut(self, result: DrainResult) -> None:
        if result.connections_cut:
            detail = f"{result.connections_cut} connections"
            self._timeline.record(EventKind.DRAIN_CUT, detail=detail)
        for request_id in result.requests_cut:
            self._timeline.record(EventKind.DRAIN_CUT, request_id=request_id)

    def _hand_over(self) -> None:
        for callback in [self._platform_watcher.release, *self.handover_callbacks]:
            try:
                callback()
            except Exception:
                log.exception("handover callback failed with an unexpected error")

    def _send_farewell(self) -> None:
        farewell = Farewell(events=self._timeline.events()[-MAX_FAREWELL_EVENTS:])
        for info in self._membership.fan_out_peers():
            answer = self._links.request(info.instance, farewell, FAREWELL_TIMEOUT_S)
            if isinstance(answer, Ok):
                return
