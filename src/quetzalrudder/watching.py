"""Polling of the platform by a few instances of each data centre, on behalf of all others."""

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
from quetzalrudder.shared_lists import PlatformLists, SharedLists
from quetzalrudder.timeline import EventKind, Timeline
from quetzalrudder.utils import Clock

__all__ = ["PlatformWatcher"]

log = logging.getLogger(__name__)

WATCHERS_PER_DATA_CENTRE = 2
WATCH_LEASE_MS = 6_000
# An instance tries to become a watcher once its settings have not been confirmed for longer.
MAX_SETTINGS_AGE_MS = 3_500
# Attempts per second to acquire a slot, by all instances of a data centre together.
ACQUIRE_ATTEMPTS_PER_S = 5.0
IDLE_INTERVAL_S = 0.2
RETRY_PAUSE_S = 0.5
LIST_INTERVAL_S = 1.0
# Most bytes of lists that a watcher reads per second; large lists are read at longer intervals.
MAX_LIST_BYTES_PER_S = 100_000
# How often a watcher loads the settings again, besides watching for changes.
RELOAD_INTERVAL_S = 30.0


class PlatformWatcher:
    """Watches the platform while this instance holds a watcher slot of its data centre.

    Parameters
    ----------
    platform : Platform
        The platform to watch.
    instance, data_centre
        This instance.
    store : SettingsStore
        Loads and follows the settings.
    lists : SharedLists
        Receives the lists.
    local_instance_count : Callable
        Returns the number of instances in the data centre.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of random pauses.
    timeline : Timeline
        Records events; its clock stamps the lists.
    """

    def __init__(
        self,
        platform: Platform,
        instance: InstanceId,
        data_centre: DataCentre,
        store: SettingsStore,
        lists: SharedLists,
        local_instance_count: Callable[[], int],
        clock: Clock,
        rng: random.Random,
        timeline: Timeline,
    ) -> None:
        self._platform = platform
        self._store = store
        self._lists = lists
        self._local_instance_count = local_instance_count
        self._clock = clock
        self._rng = rng
        self._timeline = timeline
        prefix = f"watchers/{data_centre}/"
        self._slot = LeasedSlot(
            platform, clock, prefix, WATCHERS_PER_DATA_CENTRE, instance, WATCH_LEASE_MS
        )
        self._watching = False
        self._version: int | None = None
        self._next_attempt_at = float("-inf")
        self._next_list_at = float("-inf")
        self._reload_at = float("-inf")
        # The last complete lists; they remain valid while the platform reports them as unchanged.
        self._groups = Groups()
        self._instances = Instances()

    @property
    def watching(self) -> bool:
        """Whether this instance is certain to hold a watcher slot."""
        return self._watching and self._slot.held

    def run(self, stopping: threading.Event) -> None:
        """Run steps until ``stopping`` is set; blocks its task."""
        self.read_initial_state()
        while not stopping.is_set():
            try:
                stopping.wait(self.step())
            except Exception:
                log.exception("platform watcher step failed with an unexpected error")
                stopping.wait(RETRY_PAUSE_S)

    def read_initial_state(self) -> None:
        """Read settings and lists from the platform once, as every instance does at start."""
        self._log_failure("settings", self._store.load())
        self._log_failure("list", self.read_lists())

    def step(self) -> float:
        """Run one step and return the pause before the next, in seconds.

        While a slot is held, the step waits for a change of the settings.
        """
        if not self._watching:
            return self._try_acquire_slot()
        if not self._slot.renew():
            self._end_watch("the lease has lapsed")
            return 0.0
        now = self._clock.monotonic()
        if now >= self._reload_at:
            self._version = None
            self._reload_at = now + RELOAD_INTERVAL_S
        followed = self._store.watch_once(self._version)
        self._version = followed.ok_value if isinstance(followed, Ok) else None
        self._log_failure("watch", followed)
        if self._slot.held and self._clock.monotonic() >= self._next_list_at:
            self._log_failure("list", self.read_lists())
        return 0.0 if isinstance(followed, Ok) else RETRY_PAUSE_S

    def _try_acquire_slot(self) -> float:
        now = self._clock.monotonic()
        if self._store.age_ms < MAX_SETTINGS_AGE_MS or now < self._next_attempt_at:
            return IDLE_INTERVAL_S
        mean_s = self._local_instance_count() / ACQUIRE_ATTEMPTS_PER_S
        self._next_attempt_at = now + self._rng.uniform(0.5 * mean_s, 1.5 * mean_s)
        acquired = self._slot.acquire()
        self._log_failure("lease", acquired)
        if isinstance(acquired, Ok) and acquired.ok_value:
            self._watching = True
            self._version = None
            self._reload_at = self._next_list_at = now
            self._timeline.record(EventKind.WATCH_TAKEN)
            return 0.0
        return IDLE_INTERVAL_S

    def _end_watch(self, reason: str) -> None:
        self._watching = False
        self._timeline.record(EventKind.WATCH_LOST, detail=reason)

    def release(self) -> None:
        """Release the slot to another instance, as part of a planned stop."""
        if self._watching:
            self._end_watch("draining")
            self._slot.release()

    def read_lists(self) -> Result[None, QuetzalrudderError]:
        """Read the platform's lists of groups and instances."""
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
        self._publish_lists(self._groups, self._instances, stamp)
        pause_s = max(LIST_INTERVAL_S, size / MAX_LIST_BYTES_PER_S)
        self._next_list_at = self._clock.monotonic() + pause_s
        return Ok(None)

    def _publish_lists(self, groups: Groups, instances: Instances, stamp: tuple[int, int]) -> None:
        lists = PlatformLists(
            {entry.instance: entry for entry in instances.instances},
            {group.group: group for group in groups.groups},
        )
        self._lists.replace_if_newer(lists, stamp)

    def _log_failure(self, operation: str, result: Result[object, QuetzalrudderError]) -> None:
        if isinstance(result, Err):
            log.warning("platform %s failed", operation, extra={"reason": str(result.err_value)})
