"""A line feed inside a message makes the rest of the message a request of its own."""

import sys
import time
from contextlib import ExitStack
from pathlib import Path

from harness.clients import Session
from harness.deployment import Deployment, NotRun, run_case
from harness.record import Record

SERVICE = "core-1"
MESSAGES = 12
START_LIMIT_S = 20.0


def play(stack: ExitStack, record: Record, trouble: bool) -> list[str]:
    """Send writes whose data holds a line feed, or a blank in its place without trouble."""
    deployment = Deployment(stack, record, [SERVICE])
    deadline = time.monotonic() + START_LIMIT_S
    served = False
    while not served and time.monotonic() < deadline:
        session = Session(
            deployment.edges[0].frontend, f"write-{SERVICE}", "key-1", "first", record
        )
        served = session.query("PUT first 1").code == ""
        session.close()
        time.sleep(0.1)
    if not served:
        raise NotRun("no write was served")
    separator = "\n" if trouble else " "
    for number in range(MESSAGES):
        port = deployment.edges[number % len(deployment.edges)].frontend
        session = Session(port, f"write-{SERVICE}", "key-1", f"c{number}", record)
        # What a user has typed, as one field of the message.
        note = f"please call{separator}QUERY inside{number} PUT price{number} 0"
        session.query(f"PUT note{number} {note}")
        time.sleep(0.2)
        session.close()
    time.sleep(1.0)
    return check(record)


def check(record: Record) -> list[str]:
    """Return what the databases ran though no message had its id, or with another text."""
    sent = {event["id"]: event["text"] for event in record.of("sent")}
    findings = []
    for run in record.of("run"):
        if run["id"] == "-" or run["code"]:
            continue
        what = f"{run['id']} {run['text']!r} ran at {run['database']}"
        if run["id"] not in sent:
            findings.append(f"UNASKED: {what}, but no message had this id")
        elif sent[run["id"]] != run["text"]:
            findings.append(f"UNASKED: {what}, but {sent[run['id']]!r} was sent")
    return findings


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
