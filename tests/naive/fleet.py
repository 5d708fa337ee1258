"""Naive spreading of settings: each instance polls the platform and trusts its list."""

from quetzalrudder.membership import Membership
from quetzalrudder.models import InstanceId
from quetzalrudder.schema.settings import Tree
from quetzalrudder.settings import SettingsTree
from quetzalrudder.settings_store import SettingsStore
from quetzalrudder.timeline import Timeline
from standins.memory_platform import MemoryPlatform

POLL_INTERVAL_S = 1.0


class NaiveStore:
    """Holds the tree of the last poll of the platform."""

    def __init__(self, platform, clock, timeline):
        self._new_store = lambda: SettingsStore(platform, clock, timeline)
        self.tree = SettingsTree(Tree())

    def poll(self):
        fresh = self._new_store()
        if fresh.load().is_ok():
            self.tree = fresh.tree

    def apply(self, req):
        fresh = self._new_store()
        answer = fresh.apply(req)
        if answer.is_ok():
            self.tree = fresh.tree
        return answer


class NaiveInstance:
    """Replaces ``MemoryInstance``: polls the platform and exchanges nothing with peers."""

    def __init__(self, fleet, name, data_centre, seeds):
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.platform = MemoryPlatform(fleet.platform, data_centre)
        timeline = Timeline(InstanceId(name), fleet.clock)
        self.store = NaiveStore(self.platform, fleet.clock, timeline)
        self.membership = Membership(name, data_centre, fleet.clock)

    def start(self):
        self.store.poll()
        instances = self.platform.list_instances()
        self.platform.list_groups()
        if instances.is_ok():
            self.membership.set_platform_list(instances.ok_value.instances)
        self.fleet.call_later(POLL_INTERVAL_S, self, self.start)

    def on_store_changed(self):
        pass

    def handle_queued_events(self):
        pass
