"""The time line: a bounded ring of typed events, stamped with hybrid logical time."""

import threading
from collections import deque
from enum import Enum

from quetzalrudder.models import InstanceId
from quetzalrudder.schema.operators import Event
from quetzalrudder.utils import Clock

__all__ = ["EventKind", "HybridClock", "Timeline", "merge_events"]

RING_SIZE = 10_000
US_PER_S = 1_000_000


class EventKind(Enum):
    """What happened."""

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
    PRIMARY_SUSPECTED = "primary-suspected"
    GROUP_FENCED = "group-fenced"
    PRIMARY_CHANGED = "primary-changed"


class HybridClock:
    """Hybrid logical time: wall time that never goes back and orders what is caused.

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
        """Give the next stamp: microseconds since the Unix epoch, and a counter."""
        return self.observe((0, 0))

    def observe(self, stamp: tuple[int, int]) -> tuple[int, int]:
        """Give a stamp later than all given before and than one that was received."""
        wall_us = int(self._clock.wall() * US_PER_S)
        with self._lock:
            last = max(self._last, stamp)
            self._last = (wall_us, 0) if wall_us > last[0] else (last[0], last[1] + 1)
            return self._last


class Timeline:
    """Events of one process, the oldest dropped first.

    Parameters
    ----------
    instance : InstanceId
        The process.
    clock : Clock
        Source of wall time.
    size : int
        Most events kept.
    """

    def __init__(self, instance: InstanceId, clock: Clock, size: int = RING_SIZE) -> None:
        self._instance = instance
        self.clock = HybridClock(clock)
        self._events: deque[Event] = deque(maxlen=size)

    def record(self, kind: EventKind, **fields: str | int) -> None:
        """Add an event.

        Parameters
        ----------
        kind : EventKind
            What happened.
        **fields
            Fields of :class:`~quetzalrudder.schema.operators.Event`.
        """
        wall_us, logical = self.clock.now()
        self._events.append(
            Event(
                wall_us=wall_us,
                logical=logical,
                instance=self._instance,
                kind=kind.value,
                **fields,
            )
        )

    def events(self) -> list[Event]:
        """Give all kept events, oldest first."""
        return list(self._events)


def merge_events(rings: list[list[Event]]) -> list[Event]:
    """Merge the events of several processes by hybrid logical time."""
    events = [event for ring in rings for event in ring]
    return sorted(events, key=lambda event: (event.wall_us, event.logical, event.instance))
