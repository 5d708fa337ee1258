"""The store comes back from an older copy: the next coordinator promotes with a lower token."""

import itertools
import sys
import threading
import time
from contextlib import ExitStack
from pathlib import Path

from harness.clients import Session
from harness.deployment import Deployment, NotRun, run_case
from harness.edges import Edge
from harness.load import Clients
from harness.record import Record

SERVICES = ["core-1", "core-2", "core-3"]
CLIENTS = 6
WARM_UP_S, START_LIMIT_S = 3.0, 20.0
# From the copy to the restart of the coordinator, from there to the release of the first
# primary, and from there to the loss of the store.
RESTART_AFTER_S, RELEASE_AFTER_S, LOSS_AFTER_S = 4.0, 1.0, 2.0
AWAY_S = 1.0
# From the return to the releases after it, when the store has been stable for ``contactMs``.
CALM_S = 6.0
DRAIN_S, AFTERWARDS_S = 7.0, 9.0


def coordinator(deployment: Deployment) -> Edge:
    """Return the edge that was the last to write that it is the failover coordinator."""
    lines = {edge: edge.log().splitlines() for edge in deployment.edges}
    acquired = {
        max(line[10:33] for line in found): edge
        for edge, found in (
            (edge, [line for line in each if "coordinator lease acquired" in line])
            for edge, each in lines.items()
        )
        if found
    }
    return acquired[max(acquired)]


def play(stack: ExitStack, record: Record, trouble: bool) -> list[str]:
    """Do planned work before and after a return of the store, if there is trouble."""
    deployment = Deployment(stack, record, SERVICES)
    store, services = deployment.store, deployment.services
    clients, numbers = Clients(record), itertools.count(1)
    stack.callback(clients.stop)

    def write(session: Session) -> bool:
        number = next(numbers)
        return session.query(f"PUT item{number} data{number}").state == "I"

    for service in SERVICES:
        for number in range(CLIENTS):
            port = deployment.edges[number].frontend
            clients.start(f"{service}c{number}", port, f"write-{service}", "key-1", write, 0.1)
    deadline = time.monotonic() + START_LIMIT_S
    while {event["database"][2:8] for event in record.of("commit")} != set(SERVICES):
        if time.monotonic() > deadline:
            raise NotRun("a service served no write")
        time.sleep(0.05)
    time.sleep(WARM_UP_S)
    copy = store.copy()
    record.add("copy of the store", revision=store.revision)
    time.sleep(RESTART_AFTER_S)
    edge = coordinator(deployment)
    record.add("restart", edge=edge.name)

    def restart() -> None:
        edge.stop()
        edge.start()
        edge.wait_ready()

    threading.Thread(target=restart, daemon=True).start()
    time.sleep(RELEASE_AFTER_S)
    release(record, services["core-1"])
    time.sleep(LOSS_AFTER_S)
    if trouble:
        record.add("store away", revision=store.revision)
        store.leave()
        time.sleep(AWAY_S)
        store.come_back(copy)
        store.put("op/config", deployment.config)
        for service in services.values():
            for database in service.databases.values():
                service.announce(database)
        record.add("store back", revision=store.revision)
    time.sleep(CALM_S)
    release(record, services["core-1"])
    release(record, services["core-2"])
    time.sleep(AFTERWARDS_S)
    clients.stop()
    return check(record)


def release(record: Record, service) -> None:
    """Announce that a primary is about to be shut down."""
    record.add("release", database=service.leader.name)
    service.leader.announce_draining()


def check(record: Record) -> list[str]:
    """Return the promotion calls with a lower token than one before; note what drains on."""
    findings, highest = [], None
    for call in record.of("promote arrives"):
        if highest is not None and call["token"] < highest["token"]:
            findings.append(
                f"ONE: {call['holder']} promotes {call['id']} with token {call['token']} at "
                f"{call['at']:.2f} s; {highest['holder']} had promoted {highest['id']} with "
                f"token {highest['token']} at {highest['at']:.2f} s"
            )
        elif highest is None or call["token"] > highest["token"]:
            highest = call
    released = {event["database"]: event["at"] for event in record.of("release")}
    late = [
        run
        for run in record.of("run")
        if run["id"] != "-" and run["at"] - released.get(run["database"], run["at"]) > DRAIN_S
    ]
    record.add("not counted: requests at databases after their time", count=len(late))
    return findings


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
