"""The failover gap, its parts, false promotions, and what acknowledgement costs."""

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
from standins.memory_failover import Conditions, MemoryFleet, MemoryInstance

SEEDS = 50
SETTLE_S = 0.4
WRITE_INTERVAL_S = 0.02
WRITE_TIMEOUT_S = 0.2
MAX_GAP_S = 30.0
LOSSES = (0.01, 0.05, 0.2)
LOSSY_S = 10.0
LAGS_MS = (0, 5, 20, 100)
LATENCY_S = 1.0
POLL_S = 0.0002
LEASE_S = 1.0
VENUE_ROUTE = "venues/holds"
VENUE_WORKSPACE = "venues/hall-1"
MS_PER_S = 1000
US_PER_S = 1_000_000

ONE_WAY_S = {STEPPE.name: 0.0005, HOCHZEITSRAUM.name: 0.0015}
PARTS = ("detect", "fence", "promote", "tell")


def open_fleet(deployment: Deployment, seed: int, **conditions: float) -> MemoryFleet:
    """Open a fleet with the first group of a deployment."""
    group = deployment.groups[0]
    targets = {target: dc for found, target, dc in deployment.targets() if found == group}
    latency = Conditions(one_way_s=ONE_WAY_S[deployment.name], **conditions)
    return MemoryFleet(dict(deployment.instances()), targets, latency, seed)


@dataclass
class Writer:
    """Writes all the time through one instance."""

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
            done = self.instance.write(name, WRITE_TIMEOUT_S, confirm=self.confirm)
            if done is not None:
                self.acknowledged.append((name, started_at, self.fleet.time.now))
            self.fleet.time.sleep(WRITE_INTERVAL_S)

    def first_since(self, at: float) -> float | None:
        """Give when the first write begun since a time was acknowledged."""
        found = [done for _, started_at, done in self.acknowledged if started_at >= at]
        return found[0] if found else None


def kill(fleet: MemoryFleet, primary: str) -> None:
    """End the primary."""
    fleet.kill(primary)


def freeze(fleet: MemoryFleet, primary: str) -> None:
    """Stop the primary without ending its connections."""
    fleet.time.pause(primary)


def isolate(fleet: MemoryFleet, primary: str) -> None:
    """Cut the primary's data centre off."""
    fleet.isolate(fleet.group.targets[primary].cfg.data_centre)


def isolate_without_platform(fleet: MemoryFleet, primary: str) -> None:
    """Cut the primary's data centre off while the platform is down."""
    fleet.platform.down = True
    isolate(fleet, primary)


Loss = Callable[[MemoryFleet, str], None]
FAULTS: dict[str, Loss] = {
    "kill": kill,
    "freeze": freeze,
    "isolation": isolate,
    "isolation, platform down": isolate_without_platform,
}


def measure_gap(fleet: MemoryFleet, lose: Loss) -> dict[str, float]:
    """Lose the primary and give the gap and its parts, in seconds."""
    primary, target = next(iter(fleet.group.targets.items()))
    own = target.cfg.data_centre
    name = next(n for n, found in fleet.instances.items() if found.data_centre != own)
    writer = Writer(fleet, fleet.instances[name])
    fleet.time.run(SETTLE_S)
    lose(fleet, primary)
    lost_at = fleet.time.now
    fleet.time.run(MAX_GAP_S, lambda: writer.first_since(lost_at) is not None)
    done_at = writer.first_since(lost_at)
    if done_at is None:
        return {"gap": MAX_GAP_S}
    times = [lost_at, *_attempt_times(fleet), done_at]
    parts = [after - before for before, after in zip(times, times[1:], strict=False)]
    return {"gap": done_at - lost_at, **dict(zip(PARTS, parts, strict=True))}


def _attempt_times(fleet: MemoryFleet) -> list[float]:
    """Give when the attempt that promoted suspected, fenced and promoted."""
    kinds = (EventKind.PRIMARY_SUSPECTED, EventKind.GROUP_FENCED, EventKind.PRIMARY_CHANGED)
    for instance in fleet.instances.values():
        events = instance.timeline.events()
        if any(event.kind == EventKind.PRIMARY_CHANGED.value for event in events):
            last = {event.kind: event.wall_us / US_PER_S for event in events}
            return [last[kind.value] for kind in kinds]
    return []


def gaps(deployment: Deployment) -> Iterator[Measurement]:
    """Measure the gap for each way to lose a primary."""
    for fault, lose in FAULTS.items():
        runs = []
        for seed in range(SEEDS):
            with open_fleet(deployment, seed) as fleet:
                runs.append(measure_gap(fleet, lose))
        case = f"{deployment.name} {fault}"
        worst = [run["gap"] for run in runs]
        yield Measurement("failover.gap_worst", case, "product", max(worst), "s")
        yield Measurement("failover.gap_median", case, "product", statistics.median(worst), "s")
        for part in PARTS:
            median = statistics.median(run[part] for run in runs if part in run)
            yield Measurement(f"failover.{part}_median", case, "product", median, "s")


def false_promotions(deployment: Deployment) -> Iterator[Measurement]:
    """Count promotions while the primary is up and links lose messages."""
    for loss in LOSSES:
        count = 0
        for seed in range(SEEDS):
            with open_fleet(deployment, seed, loss=loss) as fleet:
                fleet.time.run(LOSSY_S)
                count += max(fleet.primaries().values()) - 1
        case = f"{deployment.name} loss {loss:.0%}"
        yield Measurement("failover.false_promotions", case, "product", count, "promotions")


class LeasePromoter(Promoter):
    """Promotes only when a lease that the old primary was granted has run out."""

    # Set by the benchmark: the clock, and when the members last granted the lease.
    fleet: MemoryFleet
    granted_at: float

    def _fence(
        self, members: list[TargetView], req: Fence
    ) -> Result[list[FencedMember], PromotionOutcome]:
        fenced = super()._fence(members, req)
        left_s = self.granted_at + LEASE_S - self.fleet.time.now
        self.fleet.time.sleep(max(0.0, left_s))
        return fenced


def lease_gaps(deployment: Deployment) -> Iterator[Measurement]:
    """Measure the gap when a promotion has to outwait a lease."""
    for fault, lose in FAULTS.items():
        worst = 0.0
        for seed in range(SEEDS // 5):
            with open_fleet(deployment, seed) as fleet:
                for instance in fleet.instances.values():
                    instance.promoter.__class__ = LeasePromoter
                    instance.promoter.fleet = fleet
                    instance.promoter.granted_at = fleet.time.now + SETTLE_S
                worst = max(worst, measure_gap(fleet, lose)["gap"])
        case = f"{deployment.name} {fault}"
        yield Measurement("failover.gap_worst", case, "lease", worst, "s")


def acknowledgement(deployment: Deployment) -> Iterator[Measurement]:
    """Measure what confirmation costs, and what is lost without it, at several lags."""
    for lag_ms in LAGS_MS:
        for variant, confirm in (("product", True), ("lease", False)):
            latencies, lost = [], 0
            for seed in range(SEEDS // 10):
                with open_fleet(
                    deployment, seed, replication_lag_s=lag_ms / MS_PER_S, poll_s=POLL_S
                ) as fleet:
                    writer = _write_a_while(fleet, confirm)
                    latencies += [done - start for _, start, done in writer.acknowledged]
                    lost += _lost_at_kill(fleet, writer)
            case = f"{deployment.name} lag {lag_ms} ms"
            median = statistics.median(latencies) * MS_PER_S
            yield Measurement("write.latency_median", case, variant, median, "ms")
            yield Measurement("write.lost_by_failover", case, variant, lost, "writes")


def _write_a_while(fleet: MemoryFleet, confirm: bool) -> Writer:
    primary = next(iter(fleet.group.targets.values()))
    own = primary.cfg.data_centre
    near = next(found for found in fleet.instances.values() if found.data_centre == own)
    fleet.time.run(SETTLE_S)
    writer = Writer(fleet, near, confirm)
    fleet.time.run(LATENCY_S)
    return writer


def _lost_at_kill(fleet: MemoryFleet, writer: Writer) -> int:
    """Kill the primary and count acknowledged writes that the next one does not have."""
    first = next(iter(fleet.group.targets))
    fleet.kill(first)
    fleet.time.run(MAX_GAP_S, lambda: len(fleet.primaries()) > 1)
    winner = max(fleet.primaries(), key=lambda name: fleet.primaries()[name])
    target = fleet.group.targets[winner]
    kept = [target.holds_request(name) for name, _, _ in writer.acknowledged]
    return kept.count(False)


def process_gap() -> Measurement:
    """Kill a primary process and time the next acknowledged write, in real time."""
    with Fleet(HOCHZEITSRAUM, VENUE_SETTINGS) as fleet:
        key = fleet.operator("zurich-b-1").grant_key(VENUE_WORKSPACE)
        _lodge(fleet, key, "CREATE TABLE holds (n INTEGER)")
        fleet.kill(fleet.deployment.targets()[0][1])
        lost_at = time.monotonic()
        _lodge(fleet, key, "INSERT INTO holds VALUES (1)")
        gap_s = time.monotonic() - lost_at
    return Measurement("failover.process_gap", "venues kill, real time", "product", gap_s, "s")


def _lodge(fleet: Fleet, key: str, sql: str) -> None:
    """Run one write, again and again until it is acknowledged."""
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
    """Measure both deployments."""
    measures = [process_gap()]
    for deployment in (STEPPE, HOCHZEITSRAUM):
        for part in (gaps, lease_gaps, false_promotions, acknowledgement):
            measures += part(deployment)
    return measures
