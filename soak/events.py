"""Planned work of a run, drawn from its seed."""

import random
import signal
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum

from soak.fleet import Edge, Fleet, Profile

__all__ = ["LIMITED", "FIRST_CONFIG", "draw_events", "play"]

LIMITED = "samarkand"
RATES = (40, 4)


class Role(Enum):
    """What selects the first process of a restart."""

    ANY = "any"
    COORDINATOR = "coordinator"
    OWNER = "owner"


@dataclass(frozen=True)
class Restart:
    """Stops of some processes in turn, each followed by a start."""

    role: Role
    count: int
    spacing_s: float
    down_s: float


@dataclass(frozen=True)
class HangUp:
    """SIGHUP of one process."""


@dataclass(frozen=True)
class Reconfigure:
    """A new version of the configuration with this change."""

    change: str


@dataclass(frozen=True)
class ReplacePrimary:
    """A drain of the primary, which another database replaces."""


@dataclass(frozen=True)
class SlowDatabases:
    """A time in which half of all statements are delayed."""

    seconds: float


Event = Restart | HangUp | Reconfigure | ReplacePrimary | SlowDatabases


def _route(name: str, kind: str, timeout_ms: int) -> dict:
    return {
        "host": name,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "goalMs": 2000,
        "priority": 1,
        "service": "core",
        "maxStalenessMs": 3000,
    }


FIRST_CONFIG = {
    "version": 1,
    # The first three stay; "quotes" is removed and added. Two routes have a timeout that is
    # longer than the grace period.
    "routes": [
        _route("offers", "primary", 10_000),
        _route("prices", "bounded", 4000),
        _route("deals", "session", 10_000),
        _route("quotes", "primary", 4000),
    ],
    "services": [{"name": "core", "maxConns": 20}],
    "limits": {"txIdleMs": 3000, "headerTimeoutMs": 3000},
    # The key "k2" is removed and added; the rate of the second workspace changes.
    "tenants": [
        {"name": "almaty", "apiKeys": ["k1", "k2"], "ratePerS": 2000, "burst": 2000},
        {"name": LIMITED, "apiKeys": ["k3"], "ratePerS": RATES[0], "burst": RATES[0]},
    ],
}


def next_config(config: dict, change: str) -> dict:
    """Return the next version of a configuration, in which one thing is the other way round."""
    routes, tenants = config["routes"], [dict(tenant) for tenant in config["tenants"]]
    match change:
        case "route":
            routes = routes[:3] if len(routes) > 3 else FIRST_CONFIG["routes"]
        case "key":
            tenants[0]["apiKeys"] = ["k1"] if len(tenants[0]["apiKeys"]) > 1 else ["k1", "k2"]
        case "limit":
            rate = RATES[1] if tenants[1]["ratePerS"] == RATES[0] else RATES[0]
            tenants[1] |= {"ratePerS": rate, "burst": rate}
    version = config["version"] + 1
    return {**config, "version": version, "routes": routes, "tenants": tenants}


def draw_events(seed: int, profile: Profile) -> list[tuple[float, Event]]:
    """Return the events of a run with their times, in order."""
    rng = random.Random(f"{seed}/events")
    times = sorted(rng.uniform(0.5, profile.seconds - 5) for _ in range(profile.events))
    return [(at, _draw_event(rng, profile)) for at in times]


def _draw_event(rng: random.Random, profile: Profile) -> Event:
    # Stops are the most frequent, as all else is to overlap with them.
    match rng.randrange(11):
        case 0 | 1 | 2 | 3:
            count = rng.randint(1, max(1, profile.edges // 3))
            role = rng.choice(list(Role))
            return Restart(role, count, rng.uniform(0, 2), rng.uniform(0, 1))
        case 4:
            return HangUp()
        case 5 | 6 | 7:
            return Reconfigure(rng.choice(["route", "key", "limit"]))
        case 8:
            return ReplacePrimary()
        case _:
            return SlowDatabases(rng.uniform(1, 4))


def play(events: list[tuple[float, Event]], fleet: Fleet, seed: int) -> None:
    """Let the events happen at their times; return when the last one is over."""
    rng = random.Random(f"{seed}/play")
    replacing = threading.Lock()
    started_at = time.monotonic()
    with ThreadPoolExecutor(32) as executor:
        for at, event in events:
            time.sleep(max(0.0, started_at + at - time.monotonic()))
            match event:
                case Restart(role, count, spacing_s, down_s):
                    for number, edge in enumerate(_chosen(fleet, rng, role, count)):
                        executor.submit(_restart_later, fleet, edge, number * spacing_s, down_s)
                case HangUp():
                    rng.choice(fleet.edges).process.process.send_signal(signal.SIGHUP)
                case Reconfigure(change):
                    fleet.store_config(next_config(fleet.configs[-1][1], change))
                case ReplacePrimary():
                    executor.submit(_run_alone, replacing, fleet.replace_primary)
                case SlowDatabases(seconds):
                    fleet.slow_until = time.monotonic() + seconds


def _chosen(fleet: Fleet, rng: random.Random, role: Role, count: int) -> list[Edge]:
    first = None
    if role is Role.COORDINATOR:
        first = fleet.coordinator()
    elif role is Role.OWNER:
        first = fleet.owner(rng)
    others = [edge for edge in fleet.edges if edge is not first]
    rng.shuffle(others)
    return ([first] if first else []) + others[: count - (first is not None)]


def _restart_later(fleet: Fleet, edge: Edge, delay_s: float, down_s: float) -> None:
    time.sleep(delay_s)
    fleet.restart(edge, down_s)


def _run_alone(lock: threading.Lock, task: Callable[[], None]) -> None:
    if lock.acquire(blocking=False):
        try:
            task()
        finally:
            lock.release()
