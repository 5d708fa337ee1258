"""Several gateway instances on one store and one group of databases, on a manual clock."""

import random

from quetzalrudder.gateway import (
    Catalog,
    Consistency,
    GroupSettings,
    InstanceIdentity,
    QuotaRules,
    Route,
    Workspace,
)
from quetzalrudder.gateway.instance import GatewayInstance
from quetzalrudder.gateway.mirror import PrefixHandler, StoreMirror
from quetzalrudder.gateway.probing import PrimaryWatch
from quetzalrudder.gateway.records import PREFIX
from tests.clocks import ManualClock
from tests.gateway_fakes import FakeGroup, MemoryStore

TURN_S = 0.05


def catalog(version=1, **changes):
    routes = {
        "offers": Route("offers", "g", Consistency.PRIMARY, 0, 1000, 200, 1),
        "prices": Route("prices", "g", Consistency.BOUNDED, 1500, 2000, 600, 2),
        "deals": Route("deals", "g", Consistency.SESSION, 2500, 1000, 400, 2),
    }
    workspaces = {name: Workspace(name, 100.0, 100.0) for name in ("almaty", "astana")}
    fields = {
        "version": version,
        "routes": routes,
        "groups": {"g": GroupSettings("g", 30)},
        "workspaces": workspaces,
        "workspace_by_key": {"key-1": "almaty", "key-2": "astana"},
    }
    return Catalog(**{**fields, **changes})


class FleetInstance:
    """An instance whose tasks are stepped by the test."""

    def __init__(self, fleet, name, seed):
        self.fleet = fleet
        self.name = name
        self.handles = []
        self.gateway = GatewayInstance(
            identity=InstanceIdentity(name, "dc-0"),
            open_store=self.open_store,
            connector=self,
            promoter=fleet.group,
            quota_rules=QuotaRules(),
            clock=fleet.clock,
            rng=random.Random(seed),
        )
        own = PrefixHandler(PREFIX, self.gateway._replace_own, self.gateway._change_own)
        self.mirror = StoreMirror(self.open_store(), [own], self.gateway.contact, fleet.clock)
        self.gateway.catalogs.offer(catalog())
        self.gateway.registry.replace_all(fleet.group.infos())
        self.watch = PrimaryWatch(
            group="g",
            leaders=self.gateway.leaders,
            registry=self.gateway.registry,
            planner=self.gateway.planner,
            prober=self.gateway.prober,
            clock=fleet.clock,
        )
        self.gateway._watches["g"] = self.watch
        # Databases that this instance cannot reach.
        self.unreachable = set()
        self.frozen = False

    def open_store(self):
        handle = self.fleet.store.client()
        self.handles.append(handle)
        return handle

    def connect(self, target, workspace, timeout_s):
        from result import Err

        from quetzalrudder.exceptions import TargetUnavailable

        if target.target in self.unreachable:
            return Err(TargetUnavailable("cut off", place=target.target))
        return self.fleet.group.connect(target, workspace, timeout_s)

    def cut_from_store(self, cut=True):
        for handle in self.handles:
            handle.cut = cut

    def step(self):
        if self.frozen:
            return
        self.mirror.step()
        self.gateway.membership.step()
        self.watch.step()
        self.gateway.duty.step()

    def session(self, database="offers", key="key-1"):
        return self.gateway.open_session(database, key)


class GatewayFleet:
    def __init__(self, names=("edge-1", "edge-2", "edge-3"), seed=1):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.group = FakeGroup(self.clock)
        self.instances = [FleetInstance(self, name, seed + n) for n, name in enumerate(names)]

    def __getitem__(self, place):
        return self.instances[place]

    def run(self, seconds, until=None):
        """Step every instance; give the seconds until a condition held, or None."""
        started = self.clock.now
        while self.clock.now - started < seconds:
            for instance in self.instances:
                instance.step()
            if until is not None and until():
                return self.clock.now - started
            self.clock.advance(TURN_S)
            self.store.expire()
        return None

    def settled(self):
        return all(instance.gateway.leaders.lead("g") is not None for instance in self.instances)
