"""A RESET that a database fails leaves the values of one session to the next one."""

import random
import sys
import time
from contextlib import ExitStack
from pathlib import Path

from harness.clients import Session
from harness.deployment import Deployment, run_case
from harness.load import Clients
from harness.record import Record

SERVICE = "core-1"
# One database fails this part of its requests for so long, while its status is good.
FAILED_PART, FAILING_S = 0.45, 6.5
SEED = 44
CLIENTS_WITH_VALUES = CLIENTS_WITHOUT = 12
READS = 3
WARM_UP_S, AFTERWARDS_S = 3.0, 3.0
CALM_REQUESTS = ("STATUS", "STEPDOWN")


def play(stack: ExitStack, record: Record, trouble: bool) -> list[str]:
    """Serve sessions with and without values, while a database fails if there is trouble."""
    deployment = Deployment(stack, record, [SERVICE])
    service = deployment.services[SERVICE]
    clients, rng = Clients(record), random.Random(SEED)
    stack.callback(clients.stop)

    def read_with_value(session: Session) -> bool:
        session.query(f"SET market {session.name}")
        return read(session)

    def read(session: Session) -> bool:
        for number in range(READS):
            session.query(f"FETCH item{number}")
        # A session each.
        return False

    for number in range(CLIENTS_WITH_VALUES + CLIENTS_WITHOUT):
        port = deployment.edges[number % len(deployment.edges)].frontend
        has_value = number < CLIENTS_WITH_VALUES
        name, work = ("v", read_with_value) if has_value else ("n", read)
        clients.start(f"{name}{number}", port, f"browse-{SERVICE}", "key-1", work, 0.0, 0.05)
    time.sleep(WARM_UP_S)
    grey = service.databases[f"i-{SERVICE}-2"]

    def fail(_: str, text: str) -> str:
        is_failed = not text.startswith(CALM_REQUESTS) and rng.random() < FAILED_PART
        return "FAILED" if is_failed else ""

    if trouble:
        grey.fault = fail
        record.add("database fails part of its requests", database=grey.name, part=FAILED_PART)
    time.sleep(FAILING_S)
    grey.fault = lambda request_id, text: ""
    record.add("database fails no more", database=grey.name)
    time.sleep(AFTERWARDS_S)
    clients.stop()
    return check(record)


def check(record: Record) -> list[str]:
    """Return the reads that ran with values which were not acknowledged to their client."""
    session_of = {event["id"]: event["session"] for event in record.of("sent")}
    acknowledged: dict[str, dict[str, str]] = {}
    answered = {event["id"]: event["code"] for event in record.of("answered")}
    for event in record.of("sent"):
        words = event["text"].split(" ")
        if words[0] == "SET" and answered.get(event["id"]) == "":
            acknowledged.setdefault(event["session"], {})[words[1]] = words[2]
    findings = []
    for run in record.of("run"):
        if run["id"] == "-" or run["code"] or not run["text"].startswith("FETCH"):
            continue
        expected = acknowledged.get(session_of[run["id"]], {})
        if run["values"] != expected:
            told = "told" if answered.get(run["id"]) == "" else "not told"
            findings.append(
                f"PINNED: {run['id']} ran at {run['database']} with {run['values']}; "
                f"acknowledged to its client: {expected}; answer {told} to the client"
            )
    return findings


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
