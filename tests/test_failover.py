"""Failover with processes: writes go on in a new term, and none is lost or doubled."""

import signal
import threading
from collections import Counter
from contextlib import suppress

import pytest

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.membership import PeerInfo
from quetzalrudder.schema.common import Ending
from quetzalrudder.suspicion import proposal_order
from quetzalrudder.utils import Address
from standins.deployments import Deployment
from standins.fleet import Fleet
from tests.helpers import grant_key, wait_for

GROUP = "valuation-core-1"
PRIMARY = f"{GROUP}-a"
WORKSPACE = "steppe/branch-1"
ROUTE = "steppe/offers"
SETTINGS = f"""
[root]
deadline_ms = 1000

[branch steppe]
group = {GROUP}

[route {ROUTE}]

[workspace {WORKSPACE}]
rate_per_s = 1000
"""
THREE_CENTRES = Deployment(
    name="steppe",
    data_centres=("astana-a", "astana-b", "karaganda"),
    groups=(GROUP,),
    databases_per_group=3,
    slots=3,
    connection_limit=20,
    workspaces=(WORKSPACE,),
    instances_per_data_centre=1,
)
INSTANCES = ("astana-a-1", "astana-b-1", "karaganda-1")


class Writer:
    """Lodges offers all the time through one instance."""

    def __init__(self, fleet, instance, key):
        self.instance = instance
        self.acknowledged = []
        self.not_run = []
        self._fleet = fleet
        self._key = key
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stopping.set()
        self._thread.join()

    def _run(self):
        number = 0
        while not self._stopping.wait(0.02):
            with (
                suppress(QuetzalrudderError),
                self._fleet.session(self.instance, workspace=WORKSPACE, key=self._key) as session,
            ):
                while not self._stopping.wait(0.02):
                    number += 1
                    self._lodge(session, f"{self.instance}/{number}")

    def _lodge(self, session, plate):
        try:
            session.write(ROUTE, "INSERT INTO offers VALUES (?, 1)", plate, request_id=plate)
            self.acknowledged.append(plate)
        except QuetzalrudderError as exc:
            if exc.ending is Ending.NOT_RUN:
                self.not_run.append(plate)


def group_states(fleet, instance):
    return {target.target: target for target in fleet.operator(instance).status().targets}


def primary_seen(fleet, instance):
    """Give the term and the name of the primary of the highest term that an instance sees."""
    states = group_states(fleet, instance).values()
    term = max(target.term for target in states)
    found = [t.target for t in states if t.role == "primary" and t.term == term]
    return term, found[0] if found else ""


def is_in_line(fleet, instance):
    """Tell whether an instance sees one primary and every other target in its term."""
    term, primary = primary_seen(fleet, instance)
    states = group_states(fleet, instance)
    others = [target for name, target in states.items() if name != primary]
    in_term = [t for t in others if t.term == term and t.role == "replica" and t.reachable]
    return bool(primary) and len(in_term) == len(others)


def wait_for_acknowledgement(writer, what):
    before = len(writer.acknowledged)
    wait_for(lambda: len(writer.acknowledged) > before + 3, what)


def lose(fleet, fault):
    if fault == "killed":
        fleet.kill(PRIMARY)
    elif fault == "frozen":
        fleet.signal(PRIMARY, signal.SIGSTOP)
    else:
        fleet.isolate("astana-a")


def bring_back(fleet, fault):
    if fault == "killed":
        fleet.start_target(PRIMARY, rejoin=True)
    elif fault == "frozen":
        fleet.signal(PRIMARY, signal.SIGCONT)
    else:
        fleet.heal()


@pytest.mark.parametrize(
    ("fault", "platform_down"),
    [("killed", False), ("frozen", True), ("isolated", True)],
)
def test_writes_go_on_without_the_primary_and_it_returns_as_a_replica(fault, platform_down):
    with Fleet(THREE_CENTRES, SETTINGS) as fleet:
        key = grant_key(fleet, WORKSPACE)
        with fleet.session("astana-b-1", workspace=WORKSPACE, key=key) as session:
            session.write(ROUTE, "CREATE TABLE offers (plate TEXT, price INTEGER)")
        fleet.set_faults("platform", down=platform_down)
        with (
            Writer(fleet, "astana-a-1", key) as near,
            Writer(fleet, "astana-b-1", key) as far,
            Writer(fleet, "karaganda-1", key) as farther,
        ):
            writers = (near, far, farther)
            for writer in writers:
                wait_for_acknowledgement(writer, f"writes through {writer.instance}")
            lose(fleet, fault)
            wait_for(lambda: primary_seen(fleet, "astana-b-1")[0] > 1, "a new term")
            wait_for_acknowledgement(far, "writes in the new term")
            wait_for_acknowledgement(farther, "writes in the new term through another instance")
            bring_back(fleet, fault)
            for instance in INSTANCES:
                wait_for(lambda i=instance: is_in_line(fleet, i), f"all in line for {instance}")
            wait_for_acknowledgement(near, "writes through the instance near the old primary")
        fleet.set_faults("platform", down=False)
        check_offers(fleet, "karaganda-1", key, writers)
        assert primary_seen(fleet, "karaganda-1")[1] != PRIMARY


def test_first_proposer_frozen_in_its_turn_is_taken_over_and_does_no_harm_later():
    with Fleet(THREE_CENTRES, SETTINGS) as fleet:
        key = grant_key(fleet, WORKSPACE)
        first = proposal_order(GROUP, 1, peer_infos(fleet))[0]
        other = next(name for name in INSTANCES if name != first)
        with fleet.session(other, workspace=WORKSPACE, key=key) as session:
            session.write(ROUTE, "CREATE TABLE offers (plate TEXT, price INTEGER)")
        with Writer(fleet, other, key) as writer:
            wait_for_acknowledgement(writer, "writes")
            fleet.kill(PRIMARY)
            wait_for(lambda: not group_states(fleet, first)[PRIMARY].reachable, "loss noticed")
            fleet.signal(first, signal.SIGSTOP)
            wait_for(lambda: primary_seen(fleet, other)[0] > 1, "a new term")
            wait_for_acknowledgement(writer, "writes in the new term")
            fleet.signal(first, signal.SIGCONT)
            fleet.start_target(PRIMARY, rejoin=True)
            for instance in INSTANCES:
                wait_for(lambda i=instance: is_in_line(fleet, i), f"all in line for {instance}")
            wait_for_acknowledgement(writer, "writes with both proposers up")
        check_offers(fleet, first, key, [writer])


def peer_infos(fleet):
    unused = Address("127.0.0.1", 1)
    return [PeerInfo(name, dc, unused) for name, dc in fleet.deployment.instances()]


def check_offers(fleet, instance, key, writers):
    with fleet.session(instance, workspace=WORKSPACE, key=key) as session:
        rows = session.read(ROUTE, "SELECT plate FROM offers").rows
    counted = Counter(plate for (plate,) in rows)
    acknowledged = [plate for writer in writers for plate in writer.acknowledged]
    refused = [plate for writer in writers for plate in writer.not_run]
    assert [plate for plate in acknowledged if counted[plate] != 1] == []
    assert [plate for plate in refused if counted[plate]] == []
    assert max(counted.values()) == 1
