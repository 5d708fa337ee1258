"""Run the soak: ``python -m soak [--profile NAME] [--first SEED] [--seeds COUNT]``."""

import argparse
import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from soak.checker import Checker
from soak.clients import Client
from soak.fleet import Fleet

__all__ = ["PROFILES", "Outcome", "Profile", "run_seed"]

CHOICES = [("offers", "k1"), ("prices", "k1"), ("deals", "k1"), ("quotes", "k1"), ("offers", "k2")]
LIMITED_CHOICES = [("prices", "k3"), ("offers", "k3")]
LIMITED_CLIENTS = 3


@dataclass(frozen=True)
class Profile:
    """Size of a run."""

    edges: int
    clients: int
    events: int
    # Longest time between two events.
    gap_s: float


PROFILES = {
    "short": Profile(edges=3, clients=8, events=10, gap_s=2.0),
    "small": Profile(edges=4, clients=14, events=22, gap_s=2.4),
    # From 16 instances on, connections are lent between them.
    "large": Profile(edges=17, clients=20, events=22, gap_s=3.0),
}


@dataclass
class Outcome:
    """What a run found and counted."""

    findings: list[str]
    starts: int
    signal_ends: int
    summary: str


def play(fleet: Fleet, profile: Profile) -> None:
    """Do the planned work that the seed selects, and return when the last is over."""
    rng = random.Random(f"{fleet.seed}/events")
    replacing = threading.Lock()

    def replace_primary() -> None:
        with replacing:
            fleet.replace_primary()

    with ThreadPoolExecutor(32) as executor:
        for _ in range(profile.events):
            time.sleep(rng.uniform(0, profile.gap_s))
            edges = rng.sample(fleet.edges, rng.randint(1, max(1, profile.edges // 3)))
            spacing_s, down_s, slow_s = rng.uniform(0, 2), rng.uniform(0, 1), rng.uniform(1, 4)
            change = rng.choice(["route", "key", "limit"])
            match rng.randrange(11):
                case 0 | 1 | 2 | 3 as kind:
                    name = {0: fleet.coordinator, 1: fleet.owner}.get(kind, str)()
                    first = [edge for edge in fleet.edges if edge.name == name]
                    for number, edge in enumerate((first + edges)[: len(edges)]):
                        executor.submit(fleet.restart, edge, number * spacing_s, down_s)
                case 4:
                    edges[0].process.send_signal(signal.SIGHUP)
                case 5 | 6 | 7:
                    fleet.reconfigure(change)
                case 8:
                    executor.submit(replace_primary)
                case _:
                    fleet.slow_until = time.monotonic() + slow_s


def run_seed(seed: int, profile: Profile, directory: Path) -> Outcome:
    """Run all that a seed selects, and check it."""
    fleet = Fleet(seed, profile.edges, directory)
    clients = [Client(fleet, f"c{number}", CHOICES) for number in range(profile.clients)]
    clients += [Client(fleet, f"l{number}", LIMITED_CHOICES) for number in range(LIMITED_CLIENTS)]
    try:
        play(fleet, profile)
        time.sleep(1.0)
    finally:
        for client in clients:
            client.stop()
        fleet.close()
    requests = [req for client in clients for req in client.requests]
    greetings = [req for client in clients for req in client.greetings]
    findings = Checker(fleet, requests, greetings).findings
    starts = sum(edge.incarnation for edge in fleet.edges)
    codes = Counter(req.code for req in [*requests, *greetings] if req.code)
    unanswered = sum(not req.is_answered for req in requests)
    summary = (
        f"{len(requests)} requests, {unanswered} unanswered, {dict(codes)}, "
        f"{len(fleet.runs)} runs, {len(fleet.stops)} stops, {fleet.promotions} promotions, "
        f"{len(fleet.configs)} configurations, {starts} starts"
    )
    return Outcome(findings, starts, fleet.signal_ends, summary)


def main() -> int:
    """Run the seeds in turn; return 1 if anything was found."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--profile", choices=PROFILES, default="small")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    args = parser.parse_args()
    found = starts = signal_ends = 0
    for seed in range(args.first, args.first + args.seeds):
        with tempfile.TemporaryDirectory() as directory:
            outcome = run_seed(seed, PROFILES[args.profile], Path(directory))
        found += len(outcome.findings)
        starts += outcome.starts
        signal_ends += outcome.signal_ends
        print(f"seed {seed}: {len(outcome.findings)} findings, {outcome.summary}", flush=True)
        for finding in outcome.findings:
            print(f"seed {seed}: {finding}", flush=True)
    print(f"{found} findings; {starts} starts, of which {signal_ends} ended by a signal")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
