"""Service of the other workspaces of a target while one sends several times its rate.

The queue is the product's; time and service are simulated. The service of a workspace is
the number of its requests that are answered within their deadline. There are no rate
limits, so that only the fair queue protects a workspace.
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
SERVICE_TIME_S = 0.001
DEADLINE_S = 0.05
# Fraction of the target's capacity in use when each workspace sends at its own rate.
TOTAL_LOAD = 0.8
RATE_FACTORS = (1, 3, 10)


def generate_arrivals(
    deployment: Deployment, factor: int, only_workspace: str = ""
) -> list[tuple[float, str]]:
    """Return the requests of all workspaces, or of one only, in order of time.

    The first workspace sends ``factor`` times its rate.
    """
    rate_per_s = TOTAL_LOAD * deployment.slots / SERVICE_TIME_S / len(deployment.workspaces)
    requests = []
    for rank, workspace in enumerate(deployment.workspaces):
        rng = random.Random(SEED + rank)
        now = 0.0
        while only_workspace in ("", workspace):
            now += rng.expovariate(rate_per_s * (factor if rank == 0 else 1))
            if now >= DURATION_S:
                break
            requests.append((now, workspace))
    return sorted(requests)


def serve_fifo(requests: list[tuple[float, str]], slots: int) -> Counter[str]:
    """Serve in order of arrival; return requests answered in time, by workspace."""
    free_at = [0.0] * slots
    served: Counter[str] = Counter()
    waiting = deque(requests)
    while waiting:
        arrived_at, workspace = waiting.popleft()
        started_at = max(arrived_at, heapq.heappop(free_at))
        heapq.heappush(free_at, started_at + SERVICE_TIME_S)
        served[workspace] += started_at + SERVICE_TIME_S <= arrived_at + DEADLINE_S
    return served


def serve_fair(requests: list[tuple[float, str]], slots: int) -> Counter[str]:
    """Serve from the product's fair queue; return requests answered in time, by workspace."""
    clock = ManualClock(0.0)
    queue = FairQueue(clock)
    deadlines: dict[int, float] = {}
    served: Counter[str] = Counter()
    in_service: list[tuple[float, int, object]] = []

    def start_queued() -> None:
        while queue.head() is not None and len(in_service) < slots:
            ticket = queue.start_service()
            heapq.heappush(in_service, (clock.now + SERVICE_TIME_S, ticket.number, ticket))

    def finish_until(until: float) -> None:
        while in_service and in_service[0][0] <= until:
            clock.now, number, ticket = heapq.heappop(in_service)
            queue.finish_service(ticket)
            served[ticket.request.workspace] += clock.now <= deadlines[number]
            start_queued()

    for arrived_at, workspace in requests:
        finish_until(arrived_at)
        clock.now = arrived_at
        admission = queue.enqueue(AdmissionRequest(workspace), arrived_at + DEADLINE_S, slots)
        if admission.is_ok():
            deadlines[admission.ok_value.number] = arrived_at + DEADLINE_S
        start_queued()
    finish_until(math.inf)
    return served


def run() -> list[Measurement]:
    """Measure the worst-served other workspace, in percent of its service when it is alone."""
    measurements = []
    for deployment, factor in itertools.product((STEPPE, HOCHZEITSRAUM), RATE_FACTORS):
        requests = generate_arrivals(deployment, factor)
        neighbours = deployment.workspaces[1:]
        served_alone = {
            name: serve_fair(
                generate_arrivals(deployment, factor, only_workspace=name), deployment.slots
            )[name]
            for name in neighbours
        }
        case = f"{deployment.name} one at {factor}x"
        for variant, serve in (("product", serve_fair), ("naive", serve_fifo)):
            served = serve(requests, deployment.slots)
            worst_percent = min(100 * served[name] / served_alone[name] for name in neighbours)
            measurements.append(Measurement("fairness.worst", case, variant, worst_percent, "%"))
    return measurements
