"""The few instances of a data centre that ask the platform, for all others."""

import logging
import random
import threading
from collections.abc import Callable

from result import Err, Ok, Result

from quetzalrudder.adapters import Platform
from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.leases import LeasedSlot
from quetzalrudder.models import DataCentre, InstanceId
from quetzalrudder.schema.platform import Groups, Instances
from quetzalrudder.settings_store import SettingsStore
from quetzalrudder.shared_lists import Lists, SharedLists
from quetzalrudder.timeline import EventKind, Timeline
from quetzalrudder.utils import Clock

__all__ = ["WatchDuty"]

log = logging.getLogger(__name__)

WATCHERS_PER_DATA_CENTRE = 2
WATCH_LEASE_MS = 6_000
# A view older than this makes an instance try for a place.
STALE_VIEW_MS = 3_500
# Tries of all instances of a data centre together, per second.
TRIES_PER_S = 5.0
IDLE_TURN_S = 0.2
RETRY_PAUSE_S = 0.5
LIST_INTERVAL_S = 1.0
# What a watcher may read in lists, in bytes per second.
LIST_BYTES_PER_S = 100_000
RELOAD_INTERVAL_S = 30.0


class WatchDuty:
    """Watches the platform while this instance holds one of the few places.

    Parameters
    ----------
    platform : Platform
        What is watched.
    instance, data_centre
        This instance.
    store : SettingsStore
        Takes the settings.
    lists : SharedLists
        Takes the lists.
    local_count : Callable
        Tells how many instances the data centre has.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random pauses.
    timeline : Timeline
        Takes events, and stamps the lists.
    """

    def __init__(
        self,
        platform: Platform,
        instance: InstanceId,
        data_centre: DataCentre,
        store: SettingsStore,
        lists: SharedLists,
        local_count: Callable[[], int],
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
    ) -> None:
        self._platform = platform
        self._store = store
        self._lists = lists
        self._local_count = local_count
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        prefix = f"watchers/{data_centre}/"
        self._slot = LeasedSlot(
            platform, clock, prefix, WATCHERS_PER_DATA_CENTRE, instance, WATCH_LEASE_MS
        )
        self._watching = False
        self._version: int | None = None
        self._next_try_at = float("-inf")
        self._lists_due_at = float("-inf")
        self._reload_at = float("-inf")
        # The last answers, which stand while the platform calls them unchanged.
        self._groups = Groups()
        self._instances = Instances()

    @property
    def watching(self) -> bool:
        """True while this instance certainly holds a place."""
        return self._watching and self._slot.held

    def run(self, stopping: threading.Event) -> None:
        """Do the duty until told to stop; one task runs this."""
        self.read_once()
        while not stopping.is_set():
            try:
                stopping.wait(self.step())
            except Exception:
                log.exception("watching ended a step by a defect")
                stopping.wait(RETRY_PAUSE_S)

    def read_once(self) -> None:
        """Read settings and lists from the platform, as every instance does when it starts."""
        self._log_failure("settings", self._store.load())
        self._log_failure("list", self.read_lists())

    def step(self) -> float:
        """Take one turn, waiting for a change if a place is held; gives a pause in seconds."""
        if not self._watching:
            return self._try_for_place()
        if not self._slot.renew():
            self._leave_place("the lease has lapsed")
            return 0.0
        now = self._clock.monotonic()
        if now >= self._reload_at:
            self._version = None
            self._reload_at = now + RELOAD_INTERVAL_S
        followed = self._store.watch_once(self._version)
        self._version = followed.ok_value if isinstance(followed, Ok) else None
        self._log_failure("watch", followed)
        if self._slot.held and self._clock.monotonic() >= self._lists_due_at:
            self._log_failure("list", self.read_lists())
        return 0.0 if isinstance(followed, Ok) else RETRY_PAUSE_S

    def _try_for_place(self) -> float:
        now = self._clock.monotonic()
        if self._store.age_ms < STALE_VIEW_MS or now < self._next_try_at:
            return IDLE_TURN_S
        mean_s = self._local_count() / TRIES_PER_S
        self._next_try_at = now + self._rng.uniform(0.5 * mean_s, 1.5 * mean_s)
        acquired = self._slot.acquire()
        self._log_failure("lease", acquired)
        if isinstance(acquired, Ok) and acquired.ok_value:
            self._watching = True
            self._version = None
            self._reload_at = self._lists_due_at = now
            self._timeline.record(EventKind.WATCH_TAKEN)
            return 0.0
        return IDLE_TURN_S

    def _leave_place(self, reason: str) -> None:
        self._watching = False
        self._timeline.record(EventKind.WATCH_LOST, detail=reason)

    def give_up(self) -> None:
        """Leave the place to another instance, as part of a planned stop."""
        if self._watching:
            self._leave_place("draining")
            self._slot.give_up()

    def read_lists(self) -> Result[None, QuetzalrudderError]:
        """Read the lists of groups and instances."""
        stamp = self._timeline.clock.now()
        groups = self._platform.list_groups(self._groups.tag)
        if isinstance(groups, Err):
            return groups
        instances = self._platform.list_instances(self._instances.tag)
        if isinstance(instances, Err):
            return instances
        size = len(bytes(groups.ok_value)) + len(bytes(instances.ok_value))
        if not groups.ok_value.unchanged:
            self._groups = groups.ok_value
        if not instances.ok_value.unchanged:
            self._instances = instances.ok_value
        self._take_lists(self._groups, self._instances, stamp)
        pause_s = max(LIST_INTERVAL_S, size / LIST_BYTES_PER_S)
        self._lists_due_at = self._clock.monotonic() + pause_s
        return Ok(None)

    def _take_lists(self, groups: Groups, instances: Instances, stamp: tuple[int, int]) -> None:
        lists = Lists(
            {entry.instance: entry for entry in instances.instances},
            {group.group: group for group in groups.groups},
        )
        self._lists.set(lists, stamp)

    def _log_failure(self, what: str, result: Result[object, QuetzalrudderError]) -> None:
        if isinstance(result, Err):
            log.warning("platform %s failed", what, extra={"reason": str(result.err_value)})
