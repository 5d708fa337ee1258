"""Duration of a failover by phases, false promotions, and the cost of confirmed writes.

The gap is the time from a fault of the primary to the first acknowledged write that was
started after the fault.
"""

import statistics
import time
import uuid
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass

from result import Result

from bench.measures import Measurement
from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.groups import TargetView
from quetzalrudder.promotion import FencedMember, Promoter, PromotionOutcome
from quetzalrudder.schema.target import Fence
from quetzalrudder.timeline import EventKind
from standins.demo import VENUE_SETTINGS
from standins.deployments import HOCHZEITSRAUM, STEPPE, Deployment
from standins.fleet import Fleet
from standins.memory_failover import MemoryFleet, MemoryInstance, NetworkConditions

SEEDS = 50
SETTLING_TIME_S = 0.4
WRITE_INTERVAL_S = 0.02
WRITE_TIMEOUT_S = 0.2
MAX_GAP_S = 30.0
LOSS_RATES = (0.01, 0.05, 0.2)
LOSSY_DURATION_S = 10.0
REPLICATION_LAGS_MS = (0, 5, 20, 100)
LATENCY_DURATION_S = 1.0
POLL_INTERVAL_S = 0.0002
LEASE_S = 1.0
VENUE_ROUTE = "venues/holds"
VENUE_WORKSPACE = "venues/hall-1"
MS_PER_S = 1000
US_PER_S = 1_000_000

ONE_WAY_S = {STEPPE.name: 0.0005, HOCHZEITSRAUM.name: 0.0015}
# Phases of a gap in order; each ends when the primary is suspected, the group is fenced, the
# new primary is recorded and a write is acknowledged, respectively.
PHASES = ("detect", "fence", "promote", "tell")


def open_fleet(deployment: Deployment, seed: int, **conditions: float) -> MemoryFleet:
    """Return an in-memory fleet with the first group of a deployment."""
    first_group = deployment.groups[0]
    targets = {target: dc for group, target, dc in deployment.targets() if group == first_group}
    latency = NetworkConditions(one_way_s=ONE_WAY_S[deployment.name], **conditions)
    return MemoryFleet(dict(deployment.instances()), targets, latency, seed)


@dataclass
class Writer:
    """Writes through one instance, with a fixed pause between two writes.

    Parameters
    ----------
    confirm : bool
        Whether a write is acknowledged only after a majority of the targets has it.
    """

    fleet: MemoryFleet
    instance: MemoryInstance
    confirm: bool = True

    def __post_init__(self) -> None:
        # Request id, start and acknowledgement of each write, in seconds.
        self.acknowledged: list[tuple[str, float, float]] = []
        self.fleet.time.spawn(self.instance.name, self._run)

    def _run(self) -> None:
        number = 0
        while True:
            number += 1
            name = f"{self.instance.name}/{number}"
            started_at = self.fleet.time.now
            result = self.instance.write(name, WRITE_TIMEOUT_S, confirm=self.confirm)
            if result is not None:
                self.acknowledged.append((name, started_at, self.fleet.time.now))
            self.fleet.time.sleep(WRITE_INTERVAL_S)

    def first_acknowledged_since(self, at: float) -> float | None:
        """Return the acknowledgement time of the first write started at or after ``at``.

        The result is None if no such write has been acknowledged.
        """
        times = [
            acknowledged_at
            for _, started_at, acknowledged_at in self.acknowledged
            if started_at >= at
        ]
        return times[0] if times else None


def kill(fleet: MemoryFleet, primary: str) -> None:
    """Kill the primary's process."""
    fleet.kill(primary)


def freeze(fleet: MemoryFleet, primary: str) -> None:
    """Suspend the primary without closing its connections."""
    fleet.time.pause(primary)


def isolate(fleet: MemoryFleet, primary: str) -> None:
    """Partition the primary's data centre from the others."""
    fleet.isolate(fleet.group.targets[primary].cfg.data_centre)


def isolate_without_platform(fleet: MemoryFleet, primary: str) -> None:
    """Partition the primary's data centre while the platform is down."""
    fleet.platform.down = True
    isolate(fleet, primary)


FaultInjection = Callable[[MemoryFleet, str], None]
FAULTS: dict[str, FaultInjection] = {
    "kill": kill,
    "freeze": freeze,
    "isolation": isolate,
    "isolation, platform down": isolate_without_platform,
}


def measure_gap(fleet: MemoryFleet, inject: FaultInjection) -> dict[str, float]:
    """Inject a fault into the primary; return the gap and its phases, in seconds.

    The result is ``MAX_GAP_S`` without phases if no write is acknowledged in that time.
    """
    primary, target = next(iter(fleet.group.targets.items()))
    primary_data_centre = target.cfg.data_centre
    name = next(
        n for n, instance in fleet.instances.items() if instance.data_centre != primary_data_centre
    )
    writer = Writer(fleet, fleet.instances[name])
    fleet.time.run(SETTLING_TIME_S)
    inject(fleet, primary)
    fault_at = fleet.time.now
    fleet.time.run(MAX_GAP_S, lambda: writer.first_acknowledged_since(fault_at) is not None)
    acknowledged_at = writer.first_acknowledged_since(fault_at)
    if acknowledged_at is None:
        return {"gap": MAX_GAP_S}
    times = [fault_at, *_attempt_times(fleet), acknowledged_at]
    durations = [after - before for before, after in zip(times, times[1:], strict=False)]
    return {"gap": acknowledged_at - fault_at, **dict(zip(PHASES, durations, strict=True))}


def _attempt_times(fleet: MemoryFleet) -> list[float]:
    """Return the times of suspicion, fencing and promotion by the instance that promoted.

    The result is empty if no instance has promoted a target.
    """
    kinds = (EventKind.PRIMARY_SUSPECTED, EventKind.GROUP_FENCED, EventKind.PRIMARY_CHANGED)
    for instance in fleet.instances.values():
        events = instance.timeline.events()
        if any(event.kind == EventKind.PRIMARY_CHANGED.value for event in events):
            last = {event.kind: event.wall_us / US_PER_S for event in events}
            return [last[kind.value] for kind in kinds]
    return []


def failover_gaps(deployment: Deployment) -> Iterator[Measurement]:
    """Measure the gap for each kind of fault."""
    for fault, inject in FAULTS.items():
        runs = []
        for seed in range(SEEDS):
            with open_fleet(deployment, seed) as fleet:
                runs.append(measure_gap(fleet, inject))
        case = f"{deployment.name} {fault}"
        gaps_s = [run["gap"] for run in runs]
        yield Measurement("failover.gap_worst", case, "product", max(gaps_s), "s")
        yield Measurement("failover.gap_median", case, "product", statistics.median(gaps_s), "s")
        for phase in PHASES:
            median = statistics.median(run[phase] for run in runs if phase in run)
            yield Measurement(f"failover.{phase}_median", case, "product", median, "s")


def false_promotions(deployment: Deployment) -> Iterator[Measurement]:
    """Count promotions while the primary runs and the network loses messages.

    The first term is 1 and each promotion increases it by one.
    """
    for loss in LOSS_RATES:
        count = 0
        for seed in range(SEEDS):
            with open_fleet(deployment, seed, loss=loss) as fleet:
                fleet.time.run(LOSSY_DURATION_S)
                count += max(fleet.primaries().values()) - 1
        case = f"{deployment.name} loss {loss:.0%}"
        yield Measurement("failover.false_promotions", case, "product", count, "promotions")


class LeaseWaitingPromoter(Promoter):
    """Promotes only after the old primary's lease has expired."""

    # Set by the benchmark: ``fleet`` supplies the time, ``granted_at`` is when the members
    # last granted the lease.
    fleet: MemoryFleet
    granted_at: float

    def _fence(
        self, members: list[TargetView], req: Fence
    ) -> Result[list[FencedMember], PromotionOutcome]:
        fenced = super()._fence(members, req)
        remaining_s = self.granted_at + LEASE_S - self.fleet.time.now
        self.fleet.time.sleep(max(0.0, remaining_s))
        return fenced


def lease_gaps(deployment: Deployment) -> Iterator[Measurement]:
    """Measure the gap when a promotion waits for the old primary's lease to expire."""
    for fault, inject in FAULTS.items():
        worst_gap_s = 0.0
        for seed in range(SEEDS // 5):
            with open_fleet(deployment, seed) as fleet:
                for instance in fleet.instances.values():
                    instance.promoter.__class__ = LeaseWaitingPromoter
                    instance.promoter.fleet = fleet
                    instance.promoter.granted_at = fleet.time.now + SETTLING_TIME_S
                worst_gap_s = max(worst_gap_s, measure_gap(fleet, inject)["gap"])
        case = f"{deployment.name} {fault}"
        yield Measurement("failover.gap_worst", case, "lease", worst_gap_s, "s")


def acknowledgement_cost(deployment: Deployment) -> Iterator[Measurement]:
    """Measure write latency and lost writes, with confirmation and without, at several lags."""
    for lag_ms in REPLICATION_LAGS_MS:
        for variant, confirm in (("product", True), ("lease", False)):
            latencies, lost = [], 0
            for seed in range(SEEDS // 10):
                with open_fleet(
                    deployment,
                    seed,
                    replication_lag_s=lag_ms / MS_PER_S,
                    replication_poll_s=POLL_INTERVAL_S,
                ) as fleet:
                    writer = _run_writer(fleet, confirm)
                    latencies += [
                        acknowledged_at - start for _, start, acknowledged_at in writer.acknowledged
                    ]
                    lost += _count_lost_writes(fleet, writer)
            case = f"{deployment.name} lag {lag_ms} ms"
            median = statistics.median(latencies) * MS_PER_S
            yield Measurement("write.latency_median", case, variant, median, "ms")
            yield Measurement("write.lost_by_failover", case, variant, lost, "writes")


def _run_writer(fleet: MemoryFleet, confirm: bool) -> Writer:
    primary = next(iter(fleet.group.targets.values()))
    primary_data_centre = primary.cfg.data_centre
    local_instance = next(
        instance
        for instance in fleet.instances.values()
        if instance.data_centre == primary_data_centre
    )
    fleet.time.run(SETTLING_TIME_S)
    writer = Writer(fleet, local_instance, confirm)
    fleet.time.run(LATENCY_DURATION_S)
    return writer


def _count_lost_writes(fleet: MemoryFleet, writer: Writer) -> int:
    """Kill the primary and count acknowledged writes that the new primary lacks."""
    old_primary = next(iter(fleet.group.targets))
    fleet.kill(old_primary)
    fleet.time.run(MAX_GAP_S, lambda: len(fleet.primaries()) > 1)
    new_primary = max(fleet.primaries(), key=lambda name: fleet.primaries()[name])
    target = fleet.group.targets[new_primary]
    survived = [target.has_outcome(name) for name, _, _ in writer.acknowledged]
    return survived.count(False)


def process_gap() -> Measurement:
    """Measure the real time from killing a primary's process to an acknowledged write."""
    with Fleet(HOCHZEITSRAUM, VENUE_SETTINGS) as fleet:
        key = fleet.operator("zurich-b-1").grant_key(VENUE_WORKSPACE)
        _write_until_acknowledged(fleet, key, "CREATE TABLE holds (n INTEGER)")
        fleet.kill(fleet.deployment.targets()[0][1])
        fault_at = time.monotonic()
        _write_until_acknowledged(fleet, key, "INSERT INTO holds VALUES (1)")
        gap_s = time.monotonic() - fault_at
    return Measurement("failover.process_gap", "venues kill, real time", "product", gap_s, "s")


def _write_until_acknowledged(fleet: Fleet, key: str, sql: str) -> None:
    """Repeat one write with the same request id until it is acknowledged."""
    request_id = uuid.uuid4().hex
    while True:
        with (
            suppress(QuetzalrudderError),
            fleet.session("zurich-b-1", workspace=VENUE_WORKSPACE, key=key) as session,
        ):
            session.write(VENUE_ROUTE, sql, request_id=request_id)
            return
        time.sleep(WRITE_INTERVAL_S)


def run() -> list[Measurement]:
    """Run all failover benchmarks for both deployments."""
    measurements = [process_gap()]
    for deployment in (STEPPE, HOCHZEITSRAUM):
        for benchmark in (failover_gaps, lease_gaps, false_promotions, acknowledgement_cost):
            measurements += benchmark(deployment)
    return measurements
