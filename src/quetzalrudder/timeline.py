"""Timeline: a size-bounded buffer of typed events with hybrid logical timestamps."""

import threading
from collections import deque
from collections.abc import Iterable
from enum import Enum

from quetzalrudder.models import InstanceId
from quetzalrudder.schema.operators import Event, TimelineRequest
from quetzalrudder.utils import Clock

__all__ = ["EventKind", "HybridClock", "Timeline", "matches", "merge_events"]

MAX_TIMELINE_BYTES = 4 * 1024 * 1024
# Upper bound of the memory that an event takes, apart from its texts.
EVENT_OVERHEAD_BYTES = 400
US_PER_S = 1_000_000


class EventKind(Enum):
    """Kind of an event."""

    STARTED = "started"
    DRAINING = "draining"
    STOPPED = "stopped"
    CALLER_CONNECTED = "caller-connected"
    CALLER_LEFT = "caller-left"
    REQUEST_DONE = "request-done"
    REQUEST_FAILED = "request-failed"
    SETTINGS_APPLIED = "settings-applied"
    SETTINGS_RESTORED = "settings-restored"
    DRAIN_CUT = "drain-cut"
    INSTANCE_LEFT = "instance-left"
    WATCH_TAKEN = "watch-taken"
    WATCH_LOST = "watch-lost"
    TARGET_REACHED = "target-reached"
    TARGET_LOST = "target-lost"
    TARGET_LEAVING = "target-leaving"
    PRIMARY_SUSPECTED = "primary-suspected"
    GROUP_FENCED = "group-fenced"
    PRIMARY_CHANGED = "primary-changed"


class HybridClock:
    """Hybrid logical clock: wall time that never goes back and preserves causal order.

    Parameters
    ----------
    clock : Clock
        Source of wall time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._last = (0, 0)

    def now(self) -> tuple[int, int]:
        """Return the next timestamp: microseconds since the Unix epoch, and a counter."""
        return self.observe((0, 0))

    def observe(self, timestamp: tuple[int, int]) -> tuple[int, int]:
        """Return a timestamp that is later than a received one and all returned before."""
        wall_us = int(self._clock.wall() * US_PER_S)
        with self._lock:
            last = max(self._last, timestamp)
            self._last = (wall_us, 0) if wall_us > last[0] else (last[0], last[1] + 1)
            return self._last


class Timeline:
    """The newest events of one process; the oldest are dropped first.

    Parameters
    ----------
    instance : InstanceId
        The instance that records the events.
    clock : Clock
        Source of wall time.
    max_bytes : int
        Maximum size of the kept events, as counted by :func:`event_size`.
    """

    def __init__(
        self, instance: InstanceId, clock: Clock, max_bytes: int = MAX_TIMELINE_BYTES
    ) -> None:
        self._instance = instance
        self.clock = HybridClock(clock)
        self._max_bytes = max_bytes
        self._lock = threading.Lock()
        self._events: deque[tuple[Event, int]] = deque()
        self._bytes = 0

    def record(self, kind: EventKind, **fields: str | int) -> None:
        """Record an event of this process.

        Parameters
        ----------
        kind : EventKind
            Kind of the event.
        **fields
            Further fields of :class:`~quetzalrudder.schema.operators.Event`.
        """
        wall_us, logical = self.clock.now()
        event = Event(
            wall_us=wall_us, logical=logical, instance=self._instance, kind=kind.value, **fields
        )
        self.extend([event])

    def extend(self, events: Iterable[Event]) -> None:
        """Append events, also those of other processes, and drop the oldest above the limit."""
        sized = [(event, event_size(event)) for event in events]
        with self._lock:
            for event, size in sized:
                self._events.append((event, size))
                self._bytes += size
            while self._bytes > self._max_bytes:
                self._bytes -= self._events.popleft()[1]

    def events(self) -> list[Event]:
        """Return the kept events, oldest first."""
        with self._lock:
            return [event for event, _ in self._events]


def event_size(event: Event) -> int:
    """Return an upper bound of the memory that an event takes, in bytes."""
    texts = (event.instance, event.kind, event.request_id, event.workspace)
    target_texts = (event.target, event.group, event.detail)
    return EVENT_OVERHEAD_BYTES + sum(map(len, texts + target_texts))


def matches(event: Event, req: TimelineRequest) -> bool:
    """Return whether an event passes the filters of a request.

    Examples
    --------
    >>> matches(Event(kind="started", wall_us=7), TimelineRequest(kind="started", since_us=8))
    False
    """
    filters = (
        (req.request_id, event.request_id),
        (req.workspace, event.workspace),
        (req.target, event.target),
        (req.group, event.group),
        (req.kind, event.kind),
    )
    if any(expected and expected != value for expected, value in filters):
        return False
    return req.since_us <= event.wall_us and (not req.until_us or event.wall_us <= req.until_us)


def merge_events(event_lists: list[list[Event]]) -> list[Event]:
    """Merge the events of several processes by hybrid logical time.

    An event that several processes have kept is returned once.
    """
    by_timestamp = {
        (event.wall_us, event.logical, event.instance): event
        for events in event_lists
        for event in events
    }
    return [by_timestamp[timestamp] for timestamp in sorted(by_timestamp)]
