"""Several gateway instances on one store and one group of databases, on a manual clock."""

import random
from concurrent.futures import Executor, Future
from functools import partial

from result import Err, Ok
from rig.configuration import evacuation_handler

from quetzalrudder.exceptions import LinkLost, TargetUnavailable
from quetzalrudder.gateway import (
    Catalog,
    Consistency,
    GroupSettings,
    InstanceIdentity,
    Route,
    Workspace,
)
from quetzalrudder.gateway.instance import GatewayInstance
from quetzalrudder.gateway.probing import PrimaryHealthCheck
from quetzalrudder.gateway.warming import ColdRules
from tests.clocks import ManualClock
from tests.gateway_fakes import FakeGroup, MemoryStore

STEP_INTERVAL_S = 0.05


class DirectExecutor(Executor):
    """Runs each call immediately in the caller's thread, so that tests are deterministic."""

    def submit(self, fn, /, *args, **kwargs):
        fut = Future()
        fut.set_result(fn(*args, **kwargs))
        return fut


DIRECT_EXECUTOR = DirectExecutor()


def catalog(version=1, **changes):
    routes = {
        "offers": Route("offers", "g", Consistency.PRIMARY, 0, 1000, 200, 1),
        # Times out after 20 ms, which is less than one step of the clock.
        "quick": Route("quick", "g", Consistency.PRIMARY, 0, 20, 10, 1),
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
    """An instance whose periodic tasks are run by the test."""

    def __init__(self, fleet, name, seed, data_centre="dc-0"):
        self.fleet = fleet
        self.name = name
        self.store_clients = []
        self.gateway = GatewayInstance(
            identity=InstanceIdentity(name, data_centre, name),
            open_store=self.open_store,
            connector=self,
            promotion_client=fleet.group,
            caller=self,
            decode_catalog=fleet.decode_catalog,
            quota_rules=ColdRules(cold_excess=1.5, cold_margin=5.0),
            clock=fleet.clock,
            rng=random.Random(seed),
            data_centres=fleet.data_centres,
        )
        self.mirror = self.gateway.make_mirror(fleet.handlers(self.gateway))
        self.gateway.catalogs.update_if_newer(catalog(), b"1")
        self.gateway.registry.replace_all(fleet.announced())
        self.health_check = PrimaryHealthCheck(
            group="g",
            primaries=self.gateway.primaries,
            members=self.gateway.members,
            registry=self.gateway.registry,
            planner=self.gateway.planner,
            prober=self.gateway.prober,
            is_watcher=partial(self.gateway._is_watcher, "g"),
            clock=fleet.clock,
        )
        self.gateway._health_checks["g"] = self.health_check
        # Databases that this instance cannot reach.
        self.unreachable = set()
        self.frozen = False
        self.cut_from_peers = False
        # Instances on different sides of a cut do not reach each other.
        self.side = 0

    def open_store(self):
        client = self.fleet.store.client()
        self.store_clients.append(client)
        return client

    def connect(self, target, workspace, timeout_s):
        if target.target in self.unreachable:
            return Err(TargetUnavailable("the database cannot be reached", place=target.target))
        opened = self.fleet.group.connect(target, workspace, timeout_s)
        if isinstance(opened, Ok):
            opened.ok_value.is_cut = lambda: target.target in self.unreachable
        return opened

    def exchange(self, address, report, timeout_s):
        other = self.fleet.by_name.get(address)
        if other is None or not self._reaches(other):
            return Err(LinkLost("the peer did not answer", place=address))
        return Ok(other.gateway.peering.answer(report))

    def _reaches(self, other):
        cut = self.cut_from_peers or other.cut_from_peers or self.side != other.side
        return not other.frozen and not cut

    def exchange_all(self, reports, timeout_s, patience_s=0.0):
        # All calls are made, also if the caller does not wait for each answer.
        yield from enumerate([self.exchange(*report, timeout_s) for report in reports])

    def take_over_all(self, requests, timeout_s):
        yield from enumerate([self.take_over_rates(*req, timeout_s) for req in requests])

    def _call_peer(self, address, handler, message):
        """Call a peer with a message; message and answer are encoded as over the network."""
        other = self.fleet.by_name.get(address)
        if other is None:
            return Err(TargetUnavailable("no instance has this address", place=address))
        if not self._reaches(other):
            return Err(LinkLost("the peer did not answer", place=address))
        answer = handler(other.gateway, type(message).parse(bytes(message)))
        return Ok(answer if answer is None else type(answer).parse(bytes(answer)))

    def take_token(self, address, req, timeout_s):
        return self._call_peer(address, GatewayInstance.answer_token, req)

    def take_over_rates(self, address, req, timeout_s):
        return self._call_peer(address, GatewayInstance.answer_take_over, req)

    def tell_position(self, address, req, timeout_s):
        return self._call_peer(address, GatewayInstance.answer_position, req)

    def wait_for_changes(self, address, req, timeout_s):
        """Request changes of the store; the wait is over at once if there are none."""

        def handle(gateway, message):
            replies = []
            gateway.answer_changes(message, replies.append)()
            return replies[0]

        return self._call_peer(address, handle, req)

    def run(self, address, req, timeout_s):
        return self._call_peer(address, GatewayInstance.run_lent_statement, req)

    def end(self, address, req):
        self._call_peer(address, GatewayInstance.return_lent_connection, req)

    def cut_from_store(self, disconnected=True):
        for client in self.store_clients:
            client.disconnected = disconnected

    @property
    def is_cut_from_store(self):
        return any(client.disconnected for client in self.store_clients)

    def step(self):
        if self.frozen:
            return
        self.mirror.step()
        self.gateway.membership.step()
        self.gateway.rates.refresh_ownership(DIRECT_EXECUTOR)
        self.gateway.peering.step()
        self.health_check.step()
        self.gateway.bound_departures(["g"])
        self.gateway.failover.step()

    def session(self, database="offers", key="key-1"):
        return self.gateway.open_session(database, key)


class GatewayFleet:
    """Instances that share a store, a group of databases and a clock."""

    # Data centres among which rates are divided.
    data_centres = ()

    def __init__(self, names=("edge-1", "edge-2", "edge-3"), seed=1, store_era=None):
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.store.era = store_era
        self.group = FakeGroup(self.clock)
        # Databases whose announcements instances do not find when they start.
        self.unannounced = set()
        self.by_name = {}
        self.instances = []
        for index, name in enumerate(names):
            self.start(name, seed + index)

    def __getitem__(self, index):
        return self.instances[index]

    def handlers(self, gateway):
        """Return the handlers of the store's keys that are not the gateway's own."""
        return [evacuation_handler(gateway.evacuations)]

    def decode_catalog(self, encoded):
        return catalog(int(encoded))

    def announced(self):
        """Return the databases that the store names."""
        return [info for info in self.group.infos() if info.target not in self.unannounced]

    def data_centre(self, name):
        return "dc-0"

    def start(self, name, seed=0):
        """Start an instance; it replaces a running one of the same name."""
        self.instances = [instance for instance in self.instances if instance.name != name]
        started = FleetInstance(self, name, seed, self.data_centre(name))
        self.instances.append(started)
        self.by_name[name] = started
        return started

    def run(self, seconds, until=None):
        """Step all instances for a time or until a condition holds.

        Returns the seconds until the condition held, or None if it did not.
        """
        started = self.clock.now
        while self.clock.now - started < seconds:
            for instance in self.instances:
                instance.step()
            if until is not None and until():
                return self.clock.now - started
            self.clock.advance(STEP_INTERVAL_S)
            self.store.expire()
        return None

    def return_store(self, copied, away_s=1.0, *, keeps_leases=False):
        """Let the store be away for a time, and come back with what a copy has."""
        for instance in self.instances:
            instance.cut_from_store()
        self.run(away_s)
        self.store.come_back(copied, keeps_leases=keeps_leases)
        for instance in self.instances:
            instance.cut_from_store(False)

    def all_know_primary(self):
        return all(
            instance.gateway.primaries.usable_primary("g") is not None
            for instance in self.instances
        )
