"""Failover with processes: writes continue in a new term; none is lost or runs twice."""

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
    """Writes offers continuously through one instance."""

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
                    self._write_offer(session, f"{self.instance}/{number}")

    def _write_offer(self, session, plate):
        try:
            session.write(ROUTE, "INSERT INTO offers VALUES (?, 1)", plate, request_id=plate)
            self.acknowledged.append(plate)
        except QuetzalrudderError as exc:
            if exc.ending is Ending.NOT_RUN:
                self.not_run.append(plate)


def group_states(fleet, instance):
    return {target.target: target for target in fleet.operator(instance).status().targets}


def observed_primary(fleet, instance):
    """Return the highest term that an instance observes and the name of its primary."""
    states = group_states(fleet, instance).values()
    term = max(target.term for target in states)
    primaries = [t.target for t in states if t.role == "primary" and t.term == term]
    return term, primaries[0] if primaries else ""


def all_follow_primary(fleet, instance):
    """Return whether an instance observes a primary and all other targets as its replicas."""
    term, primary = observed_primary(fleet, instance)
    states = group_states(fleet, instance)
    others = [target for name, target in states.items() if name != primary]
    replicas = [t for t in others if t.term == term and t.role == "replica" and t.reachable]
    return bool(primary) and len(replicas) == len(others)


def wait_for_acknowledgements(writer, awaited):
    before = len(writer.acknowledged)
    wait_for(lambda: len(writer.acknowledged) > before + 3, awaited)


def inject_fault(fleet, fault):
    if fault == "killed":
        fleet.kill(PRIMARY)
    elif fault == "frozen":
        fleet.signal(PRIMARY, signal.SIGSTOP)
    else:
        fleet.isolate("astana-a")


def remove_fault(fleet, fault):
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
def test_writes_continue_after_a_lost_primary_and_it_returns_as_a_replica(fault, platform_down):
    with Fleet(THREE_CENTRES, SETTINGS) as fleet:
        key = grant_key(fleet, WORKSPACE)
        with fleet.session("astana-b-1", workspace=WORKSPACE, key=key) as session:
            session.write(ROUTE, "CREATE TABLE offers (plate TEXT, price INTEGER)")
        fleet.set_faults("platform", down=platform_down)
        with (
            Writer(fleet, "astana-a-1", key) as local_writer,
            Writer(fleet, "astana-b-1", key) as remote_writer,
            Writer(fleet, "karaganda-1", key) as other_remote_writer,
        ):
            writers = (local_writer, remote_writer, other_remote_writer)
            for writer in writers:
                wait_for_acknowledgements(writer, f"writes through {writer.instance}")
            inject_fault(fleet, fault)
            wait_for(lambda: observed_primary(fleet, "astana-b-1")[0] > 1, "a new term")
            wait_for_acknowledgements(remote_writer, "writes in the new term")
            wait_for_acknowledgements(
                other_remote_writer, "writes in the new term through another instance"
            )
            remove_fault(fleet, fault)
            for instance in INSTANCES:
                wait_for(
                    lambda i=instance: all_follow_primary(fleet, i),
                    f"{instance} to observe all targets in the new term",
                )
            wait_for_acknowledgements(
                local_writer, "writes through the instance in the old primary's data centre"
            )
        fleet.set_faults("platform", down=False)
        check_offers(fleet, "karaganda-1", key, writers)
        assert observed_primary(fleet, "karaganda-1")[1] != PRIMARY


def test_frozen_first_proposer_is_replaced_and_resumes_without_harm():
    with Fleet(THREE_CENTRES, SETTINGS) as fleet:
        key = grant_key(fleet, WORKSPACE)
        first = proposal_order(GROUP, 1, peer_infos(fleet))[0]
        other = next(name for name in INSTANCES if name != first)
        with fleet.session(other, workspace=WORKSPACE, key=key) as session:
            session.write(ROUTE, "CREATE TABLE offers (plate TEXT, price INTEGER)")
        with Writer(fleet, other, key) as writer:
            wait_for_acknowledgements(writer, "writes")
            fleet.kill(PRIMARY)
            wait_for(
                lambda: not group_states(fleet, first)[PRIMARY].reachable,
                "the primary to be unreachable",
            )
            fleet.signal(first, signal.SIGSTOP)
            wait_for(lambda: observed_primary(fleet, other)[0] > 1, "a new term")
            wait_for_acknowledgements(writer, "writes in the new term")
            fleet.signal(first, signal.SIGCONT)
            fleet.start_target(PRIMARY, rejoin=True)
            for instance in INSTANCES:
                wait_for(
                    lambda i=instance: all_follow_primary(fleet, i),
                    f"{instance} to observe all targets in the new term",
                )
            wait_for_acknowledgements(writer, "writes with both proposers up")
        check_offers(fleet, first, key, [writer])


def peer_infos(fleet):
    unused = Address("127.0.0.1", 1)
    return [PeerInfo(name, dc, unused) for name, dc in fleet.deployment.instances()]


def check_offers(fleet, instance, key, writers):
    with fleet.session(instance, workspace=WORKSPACE, key=key) as session:
        rows = session.read(ROUTE, "SELECT plate FROM offers").rows
    row_counts = Counter(plate for (plate,) in rows)
    acknowledged = [plate for writer in writers for plate in writer.acknowledged]
    not_run = [plate for writer in writers for plate in writer.not_run]
    assert [plate for plate in acknowledged if row_counts[plate] != 1] == []
    assert [plate for plate in not_run if row_counts[plate]] == []
    assert max(row_counts.values()) == 1
