"""The worst-served workspace while one sends several times its rate, for one target.

The queue is the product's; time and service are virtual. Service is the share of requests
answered within their deadline. Rates are not held here, so that admission alone protects.
"""

import heapq
import itertools
import math
import random
from collections import Counter, deque

from bench.measures import Measurement
from quetzalrudder.admission import AdmissionRequest, FairQueue
from standins.deployments import HOCHZEITSRAUM, STEPPE, Deployment
from tests.clocks import ManualClock

__all__ = ["run"]

SEED = 11
DURATION_S = 20.0
SERVICE_S = 0.001
DEADLINE_S = 0.05
# Load that all workspaces together put on the target when each sends its own rate.
LOAD = 0.8
FACTORS = (1, 3, 10)


def arrivals(deployment: Deployment, factor: int, only: str = "") -> list[tuple[float, str]]:
    """Give the requests of all workspaces, or of one alone, in order of time."""
    rate_per_s = LOAD * deployment.slots / SERVICE_S / len(deployment.workspaces)
    found = []
    for rank, workspace in enumerate(deployment.workspaces):
        rng = random.Random(SEED + rank)
        now = 0.0
        while only in ("", workspace):
            now += rng.expovariate(rate_per_s * (factor if rank == 0 else 1))
            if now >= DURATION_S:
                break
            found.append((now, workspace))
    return sorted(found)


def serve_fifo(requests: list[tuple[float, str]], slots: int) -> Counter[str]:
    """Serve in the order of arrival; an answer after its deadline does not count."""
    free_at = [0.0] * slots
    done: Counter[str] = Counter()
    waiting = deque(requests)
    while waiting:
        at, workspace = waiting.popleft()
        start = max(at, heapq.heappop(free_at))
        heapq.heappush(free_at, start + SERVICE_S)
        done[workspace] += start + SERVICE_S <= at + DEADLINE_S
    return done


def serve_fair(requests: list[tuple[float, str]], slots: int) -> Counter[str]:
    """Serve by the product's queue."""
    clock = ManualClock(0.0)
    queue = FairQueue(clock)
    deadlines: dict[int, float] = {}
    done: Counter[str] = Counter()
    busy: list[tuple[float, int, object]] = []

    def start() -> None:
        while queue.head() is not None and len(busy) < slots:
            ticket = queue.start_service()
            heapq.heappush(busy, (clock.now + SERVICE_S, ticket.number, ticket))

    def finish_until(until: float) -> None:
        while busy and busy[0][0] <= until:
            clock.now, number, ticket = heapq.heappop(busy)
            queue.finish_service(ticket)
            done[ticket.request.workspace] += clock.now <= deadlines[number]
            start()

    for at, workspace in requests:
        finish_until(at)
        clock.now = at
        entered = queue.enqueue(AdmissionRequest(workspace), at + DEADLINE_S, slots)
        if entered.is_ok():
            deadlines[entered.ok_value.number] = at + DEADLINE_S
        start()
    finish_until(math.inf)
    return done


def run() -> list[Measurement]:
    """Measure the worst-served neighbour against its service alone."""
    measures = []
    for deployment, factor in itertools.product((STEPPE, HOCHZEITSRAUM), FACTORS):
        requests = arrivals(deployment, factor)
        neighbours = deployment.workspaces[1:]
        alone = {
            name: serve_fair(arrivals(deployment, factor, only=name), deployment.slots)[name]
            for name in neighbours
        }
        case = f"{deployment.name} one at {factor}x"
        for variant, serve in (("product", serve_fair), ("naive", serve_fifo)):
            done = serve(requests, deployment.slots)
            worst = min(100 * done[name] / alone[name] for name in neighbours)
            measures.append(Measurement("fairness.worst", case, variant, worst, "%"))
    return measures
