"""The naive version: each instance polls the platform and trusts its list."""

from quetzalrudder.membership import Membership
from quetzalrudder.models import InstanceId
from quetzalrudder.schema.settings import Tree
from quetzalrudder.settings import SettingsTree
from quetzalrudder.settings_store import SettingsStore
from quetzalrudder.timeline import Timeline
from standins.memory_platform import MemoryPlatform

POLL_S = 1.0


class NaiveStore:
    """Holds whatever the platform said last."""

    def __init__(self, platform, clock, timeline):
        self._make = lambda: SettingsStore(platform, clock, timeline)
        self.tree = SettingsTree(Tree())

    def poll(self):
        fresh = self._make()
        if fresh.load().is_ok():
            self.tree = fresh.tree

    def apply(self, req):
        fresh = self._make()
        answer = fresh.apply(req)
        if answer.is_ok():
            self.tree = fresh.tree
        return answer


class NaiveInstance:
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
        listed = self.platform.list_instances()
        self.platform.list_groups()
        if listed.is_ok():
            self.membership.set_platform_list(listed.ok_value.instances)
        self.fleet.after(POLL_S, self, self.start)

    def notice(self):
        pass

    def handle_waiting(self):
        pass
