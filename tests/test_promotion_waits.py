"""No state of a change of primary keeps a group without one while a complete database runs.

Walks the states of a change: how the store and the platform answer, what becomes of the old
primary, of the successor and of the coordinator. The decision code is the product's; the store does
writes late or loses their answers, as the platform's store may.
"""

import itertools
import os
import random
from dataclasses import dataclass, replace
from enum import Enum

import pytest
from result import Err

from quetzalrudder.exceptions import PlatformUnavailable, TargetUnavailable
from quetzalrudder.gateway.catalog import GroupSettings
from quetzalrudder.gateway.permission import PERMISSION_S
from quetzalrudder.gateway.promotion_calls import LATE_CALL_LIMIT_S
from quetzalrudder.gateway.records import PRIMARY_PREFIX, decode_primary
from quetzalrudder.gateway.statements import Write
from quetzalrudder.gateway.store import Item
from quetzalrudder.schema.common import Ending
from standins.gateway_store import StoreClient
from tests.gateway_fleet import GatewayFleet, catalog

# The platform's store does a write without an answer up to this much later.
LATE_WRITE_S = (1.2, 6.0)
# A silent database is not announced any more after three heartbeat intervals.
SILENCE_S = 3.6
# Trouble of databases and platform is over after this time.
TROUBLE_S = 6.0
# A complete database leads within this time: the trouble, the longest wait for a call, and what an
# ordinary replacement takes beside a restart of all instances.
PROMOTED_WITHIN_S = TROUBLE_S + LATE_CALL_LIMIT_S + 12.0
CALL_TIMEOUT_S = 0.8


class Choice(Enum):
    """What becomes of the first writes that name a successor."""

    ANSWERED = "answered"
    LOST = "done, without an answer"
    LATE = "done late, without an answer"
    TWICE_LATE = "two, done late, without an answer"


class Call(Enum):
    """What becomes of the first promotion calls."""

    ANSWERED = "answered"
    LOST = "not done, without an answer"
    LATE = "done late, without an answer"
    REFUSED = "refused: not running"
    UNAVAILABLE = "refused: unavailable"


class Old(Enum):
    """What becomes of the old primary."""

    GONE = "gone"
    RETURNS = "returns with its log"
    DRAINS = "drains"


class Successor(Enum):
    """What becomes of the first successor that is chosen."""

    RUNS = "runs"
    CRASHES = "crashes, and returns with its log"
    GONE = "gone"
    EMPTY = "begins again without its log"


class Coordinator(Enum):
    """What becomes of the coordinator that has chosen."""

    SAME = "same"
    NEW = "another one takes over"
    RESTARTED = "all instances restart"


@dataclass(frozen=True)
class State:
    choice: Choice
    call: Call
    old: Old
    successor: Successor
    coordinator: Coordinator
    sync_replicas: int

    def __str__(self):
        parts = (self.choice, self.call, self.old, self.successor, self.coordinator)
        return "-".join(part.name.lower() for part in parts) + f"-sync{self.sync_replicas}"


ALL_STATES = [
    State(*parts) for parts in itertools.product(Choice, Call, Old, Successor, Coordinator, (0, 1))
]
# All of them take some minutes; by hand: QUETZALRUDDER_ALL_STATES=1.
SAMPLE = random.Random(62).sample(ALL_STATES, 100)
PLAYED = ALL_STATES if os.environ.get("QUETZALRUDDER_ALL_STATES") else SAMPLE


class Play:
    """A fleet in which a primary is replaced while the parts of a state happen."""

    def __init__(self, state, monkeypatch):
        self.state = state
        self.fleet = GatewayFleet()
        self.clock, self.group = self.fleet.clock, self.fleet.group
        self.group.promotion_delay_s = 0.3
        self._configure(2)
        assert self.fleet.run(3.0, self.fleet.all_know_primary) is not None
        self.fleet.run(PERMISSION_S + 1)
        for number in range(3):
            session = self.fleet[0].session()
            assert session.execute(f"w{number}", Write(f"w{number}", "1")).error is None
            self.group.replicate()
        # Things to do, by the time at which they are due.
        self.due = []
        self.chosen = None
        self.began = self.clock.now
        lates = {Choice.LATE: 1, Choice.TWICE_LATE: 2}.get(state.choice, 0)
        self.late_writes = list(LATE_WRITE_S[:lates])
        self.lost_writes = 1 if state.choice is Choice.LOST else 0
        write = StoreClient.write

        def intercepted(client, key, value, expected, lease=None):
            if not key.startswith(PRIMARY_PREFIX) or client.disconnected:
                return write(client, key, value, expected, lease)
            return self._write(write, client, key, value, expected)

        monkeypatch.setattr(StoreClient, "write", intercepted)
        self.run_call, self.calls = self.group.promote, 0
        self._use_platform()

    def _configure(self, version):
        groups = {"g": GroupSettings("g", 30, sync_replicas=self.state.sync_replicas)}
        for instance in self.fleet.instances:
            instance.gateway.catalogs.update_if_newer(
                catalog(version, groups=groups), b"%d" % version
            )

    def _use_platform(self):
        for instance in self.fleet.instances:
            instance.gateway.failover.promotion_calls._client = self

    def after(self, seconds, do):
        self.due.append((self.clock.now + seconds, do))

    def _write(self, write, client, key, value, expected):
        record = decode_primary(Item(key, value, 0))
        if record.primary is not None or record.successor is None:
            return write(client, key, value, expected)
        if self.chosen is None:
            self.chosen = record.successor
            self.after(0.1, self._change_successor)
            self.after(0.2, self._change_coordinator)
        if self.late_writes:
            self.after(self.late_writes.pop(0), lambda: write(client, key, value, expected))
            return Err(PlatformUnavailable("no answer", ending=Ending.UNKNOWN))
        result = write(client, key, value, expected)
        if self.lost_writes:
            self.lost_writes -= 1
            return Err(PlatformUnavailable("no answer", ending=Ending.UNKNOWN))
        return result

    def promote(self, group, target, **caller):
        """Answer a promotion call as the platform does in this state."""
        self.calls += 1
        no_answer = Err(PlatformUnavailable("no answer", place=target, ending=Ending.UNKNOWN))
        elapsed_s = self.clock.now - self.began
        match self.state.call:
            case Call.LOST if self.calls <= 2:
                self.clock.advance(CALL_TIMEOUT_S)
                return no_answer
            case Call.LATE if self.calls == 1:
                self.after(4.0, lambda: self.run_call(group, target, **caller))
                self.clock.advance(CALL_TIMEOUT_S)
                return no_answer
            case Call.REFUSED if self.calls <= 3:
                return Err(TargetUnavailable("status 409", place=target))
            case Call.UNAVAILABLE if elapsed_s < TROUBLE_S:
                return Err(PlatformUnavailable("status 503", place=target))
        return self.run_call(group, target, **caller)

    def _crash(self, name, returns_after_s):
        self.group[name].up = False
        # The platform promotes none that does not run.
        pending = self.group.pending_promotions
        pending[:] = [entry for entry in pending if entry[1] is not self.group[name]]
        if returns_after_s is None or returns_after_s > SILENCE_S:
            self.after(SILENCE_S, lambda: self._remove(name))
        if returns_after_s is not None:
            self.after(returns_after_s, lambda: self._return(name))

    def _remove(self, name):
        self.fleet.unannounced.add(name)
        for instance in self.fleet.instances:
            instance.gateway.registry.remove(name)

    def _return(self, name):
        database = self.group[name]
        database.up = True
        newest = self.group.newest_primary()
        if newest is not database and newest is not None and newest.term > database.term:
            database.primary = False
        self._announce(name)

    def _announce(self, name, **changes):
        self.fleet.unannounced.discard(name)
        database = self.group[name]
        database.info = replace(database.info, **changes)
        for instance in self.fleet.instances:
            instance.gateway.registry.update(database.info)

    def _change_successor(self):
        match self.state.successor:
            case Successor.CRASHES:
                self._crash(self.chosen, 4.5)
            case Successor.GONE:
                self._crash(self.chosen, None)
            case Successor.EMPTY:
                database = self.group[self.chosen]
                database.log, database.primary = [], False
                database.replication_paused = True
                self._announce(self.chosen, started_unix_ms=2)

    def _change_coordinator(self):
        match self.state.coordinator:
            case Coordinator.NEW:
                for instance in self.fleet.instances:
                    instance.frozen = instance.gateway.failover.is_coordinator
            case Coordinator.RESTARTED:
                for seed, name in enumerate([each.name for each in self.fleet.instances], 30):
                    self.fleet.start(name, seed)
                self._configure(3)
                self._use_platform()

    def begin(self):
        match self.state.old:
            case Old.GONE:
                self._crash("db-1", None)
            case Old.RETURNS:
                self._crash("db-1", TROUBLE_S)
            case Old.DRAINS:
                self._announce("db-1", draining=True)
                self.after(TROUBLE_S, lambda: self._crash("db-1", None))

    def is_served(self):
        """Return whether all running instances use the database that leads the newest term."""
        self.group.apply_due_promotions()
        running = [each for each in self.fleet.instances if not each.frozen]
        used = [each.gateway.primaries.usable_primary("g") for each in running]
        newest = self.group.newest_primary()
        if newest is None or newest.info.target == "db-1" and not self.group.promotions:
            return False
        names = {primary.target if primary is not None else None for primary in used}
        return names == {newest.info.target} and newest.up

    def _follow_newest_primary(self):
        """Let each database that reaches a newer primary become a replica of it."""
        newest = self.group.newest_primary()
        for database in self.group.databases.values():
            is_older = newest is not None and newest.up and database.term < newest.term
            if database.up and database.primary and is_older:
                database.primary = False

    def records(self):
        return [each.gateway.primaries.record("g") for each in self.fleet.instances]

    def run(self, seconds):
        until = self.clock.now + seconds
        while self.clock.now < until and not (not self.due and self.is_served()):
            self.fleet.run(0.05)
            self._follow_newest_primary()
            self.group.replicate()
            for entry in [entry for entry in self.due if entry[0] <= self.clock.now]:
                self.due.remove(entry)
                entry[1]()


def check(state, monkeypatch):
    play = Play(state, monkeypatch)
    play.begin()
    play.run(PROMOTED_WITHIN_S)
    assert play.is_served(), play.records()
    if state.successor is not Successor.EMPTY:
        # A database that begins again between a call and its effect leads without its log.
        assert len(play.group.newest_primary().log) == 3


@pytest.mark.parametrize("state", PLAYED, ids=str)
def test_a_complete_database_leads_whatever_state_a_change_of_primary_is_in(state, monkeypatch):
    check(state, monkeypatch)
