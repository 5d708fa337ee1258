"""Share of reads served by replicas, at several replication lags and age bounds.

One group, a primary and two replicas, under a virtual clock. Each data centre has one
instance. Each request of a session goes to a random instance and is a write with the
probability ``WRITE_FRACTION``; other callers write too.
"""

import random
import time
from bisect import bisect_right
from dataclasses import dataclass, field

from bench.measures import Measurement
from quetzalrudder.adapters import TargetInfo
from quetzalrudder.groups import GroupTable
from quetzalrudder.routing import ReadPolicy, ReadRouter
from quetzalrudder.schema.common import Position, TermStart
from quetzalrudder.schema.target import Role, State
from quetzalrudder.utils import Address
from standins.deployments import HOCHZEITSRAUM, STEPPE, Deployment
from tests.clocks import ManualClock

__all__ = ["run"]

ONE_WAY_S = {STEPPE.name: 0.0005, HOCHZEITSRAUM.name: 0.0015}
REPLICATION_LAGS_MS = (0, 5, 20, 100, 500)
AGE_BOUNDS_MS = (0, 200, 1000, 5000)
DURATION_S = 5.0
WARM_UP_S = 1.0
STEP_S = 0.001
PROBE_INTERVAL_S = 0.1
SESSIONS = 200
SESSION_PAUSE_S = 0.2
WRITE_FRACTION = 0.1
OTHER_WRITES_PER_S = 50
RELATIVE_LAG_SPREAD = 0.2
SEED = 1
GROUP = "group"
TERM_STARTS = [TermStart(term=1, first_index=1)]
MAX_ATTEMPTS = 3
ROUTING_CALLS = 5000


class SimulatedGroup:
    """Actual state of the group: the time of each write, and what each target has applied."""

    def __init__(self, deployment: Deployment, lag_ms: int, clock: ManualClock) -> None:
        self.clock = clock
        self.one_way_s = ONE_WAY_S[deployment.name]
        self.data_centres = deployment.data_centres
        self.rng = random.Random(SEED)
        self.write_times = [clock.now]
        self.lags_s = [0.0]
        for _ in range(deployment.databases_per_group - 1):
            spread = 1 + RELATIVE_LAG_SPREAD * (2 * self.rng.random() - 1)
            self.lags_s.append(lag_ms / 1000 * spread)
        self.infos = [
            TargetInfo(f"{GROUP}-{n}", GROUP, self.data_centres[n], Address("127.0.0.1", n + 1))
            for n in range(deployment.databases_per_group)
        ]

    def write(self) -> int:
        """Append an entry and return its index."""
        self.write_times.append(self.clock.now)
        return len(self.write_times)

    def applied(self, number: int, now: float) -> int:
        """Return the index of the last entry that a target has applied at the time ``now``."""
        return max(1, bisect_right(self.write_times, now - self.lags_s[number]))

    def age_s(self, index: int, now: float) -> float:
        """Return the age of data up to an index, in seconds; 0 if no later entry exists."""
        return now - self.write_times[index] if index < len(self.write_times) else 0.0

    def state(self, number: int, now: float) -> State:
        """Return the state that a target reports at the time ``now``."""
        position = Position(term=1, index=self.applied(number, now))
        role = Role.REPLICA if number else Role.PRIMARY
        return State(
            role=role, term=1, received=position, applied=position, term_starts=TERM_STARTS
        )

    def is_acceptable(self, index: int, min_index: int, max_age_ms: int, now: float) -> bool:
        """Return whether data up to an index is fresh and complete enough for a read."""
        is_fresh = not max_age_ms or self.age_s(index, now) * 1000 <= max_age_ms
        return is_fresh and index >= min_index


@dataclass
class ReadCounts:
    """Number of reads of one variant, by outcome."""

    reads: int = 0
    replica_reads: int = 0
    wrong_answers: int = 0
    refused_reads: int = 0
    extra_attempts: int = 0

    def measurements(self, case: str, variant: str) -> list[Measurement]:
        """Return the results of the benchmark."""
        reads = max(1, self.reads)
        return [
            Measurement(
                "reads.replica_share", case, variant, self.replica_reads / reads, "of reads"
            ),
            Measurement("reads.wrong_answers", case, variant, self.wrong_answers, "reads"),
            Measurement("reads.refused", case, variant, self.refused_reads / reads, "of reads"),
            Measurement(
                "reads.extra_attempts", case, variant, self.extra_attempts / reads, "per read"
            ),
        ]


@dataclass
class Instance:
    """One instance: its table of groups and its router."""

    group: SimulatedGroup
    data_centre: str
    groups: GroupTable = field(init=False)
    router: ReadRouter = field(init=False)

    def __post_init__(self) -> None:
        clock = self.group.clock
        self.groups = GroupTable(clock)
        self.groups.set_targets([(info, False) for info in self.group.infos])
        self.router = ReadRouter(self.groups, self.data_centre, random.Random(SEED), clock)

    def one_way_delay_s(self, number: int) -> float:
        """Return the one-way network delay to a target."""
        is_local = self.group.infos[number].data_centre == self.data_centre
        return 0.0 if is_local else self.group.one_way_s

    def request_state(self, number: int, requested_at: float) -> State:
        """Request a target's state, record it in the table of groups and return it."""
        state = self.group.state(number, requested_at + self.one_way_delay_s(number))
        self.groups.observe(self.group.infos[number], state, requested_at)
        return state

    def probe(self) -> None:
        """Request the state of every target."""
        for number in range(len(self.group.infos)):
            self.request_state(number, self.group.clock.now)


def read_with_router(instance: Instance, min_index: int, max_age_ms: int, count: ReadCounts) -> int:
    """Read with the product's router; return the last index that the session has seen."""
    group, now = instance.group, instance.group.clock.now
    count.reads += 1
    policy = ReadPolicy(max_age_ms, Position(term=1 if min_index else 0, index=min_index))
    failed: frozenset[str] = frozenset()
    for _ in range(MAX_ATTEMPTS):
        selection = instance.router.choose(GROUP, policy, failed)
        if selection.is_err():
            break
        view = selection.ok_value
        number = group.infos.index(view.info)
        index = instance.request_state(number, now).applied.index
        if index < min_index:
            count.extra_attempts += 1
            failed = failed | {view.info.target}
            continue
        count.replica_reads += number > 0
        count.wrong_answers += not group.is_acceptable(index, min_index, max_age_ms, now)
        return max(min_index, index)
    count.refused_reads += 1
    return min_index


def read_naively(group: SimulatedGroup, min_index: int, max_age_ms: int, count: ReadCounts) -> None:
    """Read at a random replica, without regard to its lag."""
    now = group.clock.now
    count.reads += 1
    count.replica_reads += 1
    index = group.applied(group.rng.randrange(1, len(group.infos)), now)
    count.wrong_answers += not group.is_acceptable(index, min_index, max_age_ms, now)


def read_ideally(group: SimulatedGroup, min_index: int, max_age_ms: int, count: ReadCounts) -> None:
    """Count a replica read whenever the data of any replica is acceptable."""
    now = group.clock.now
    count.reads += 1
    replicas = range(1, len(group.infos))
    indexes = [group.applied(n, now) for n in replicas]
    replica_acceptable = any(
        group.is_acceptable(index, min_index, max_age_ms, now) for index in indexes
    )
    count.replica_reads += replica_acceptable and bool(min_index or max_age_ms)


def run_case(deployment: Deployment, lag_ms: int, max_age_ms: int) -> list[Measurement]:
    """Simulate one deployment with one replication lag and age bound."""
    clock = ManualClock()
    group = SimulatedGroup(deployment, lag_ms, clock)
    instances = [Instance(group, name) for name in deployment.data_centres]
    counts = {name: ReadCounts() for name in ("product", "naive", "ideal")}
    start, rng = clock.now, group.rng
    seen, written = [0] * SESSIONS, [0] * SESSIONS
    next_request_at = [start + SESSION_PAUSE_S * rng.random() for _ in range(SESSIONS)]
    probe_at = start
    while clock.now < start + DURATION_S:
        if rng.random() < OTHER_WRITES_PER_S * STEP_S:
            group.write()
        if clock.now >= probe_at:
            probe_at += PROBE_INTERVAL_S
            for instance in instances:
                instance.probe()
        for session in [n for n in range(SESSIONS) if next_request_at[n] <= clock.now]:
            next_request_at[session] += rng.expovariate(1 / SESSION_PAUSE_S)
            instance = rng.choice(instances)
            if rng.random() < WRITE_FRACTION:
                seen[session] = written[session] = group.write()
                instance.request_state(0, clock.now)
                continue
            # The counts of reads during the warm-up are discarded.
            case_counts = (
                counts if clock.now >= start + WARM_UP_S else {n: ReadCounts() for n in counts}
            )
            # With an age bound, a read has to cover only the writes of its session.
            min_index = written[session] if max_age_ms else seen[session]
            read_naively(group, min_index, max_age_ms, case_counts["naive"])
            read_ideally(group, min_index, max_age_ms, case_counts["ideal"])
            index = read_with_router(instance, min_index, max_age_ms, case_counts["product"])
            seen[session] = max(seen[session], index)
        clock.advance(STEP_S)
    case = f"{deployment.name} lag {lag_ms} age {max_age_ms or 'none'}"
    return [m for name, count in counts.items() for m in count.measurements(case, name)]


def routing_time(max_age_ms: int) -> Measurement:
    """Measure the processor time of one routing decision."""
    clock = ManualClock()
    group = SimulatedGroup(STEPPE, 20, clock)
    instance = Instance(group, STEPPE.data_centres[1])
    for _ in range(ROUTING_CALLS // 10):
        clock.advance(PROBE_INTERVAL_S)
        group.write()
        instance.probe()
    policy = ReadPolicy(max_age_ms, Position(term=1, index=len(group.write_times) // 2))
    cpu_before_s = time.process_time()
    for _ in range(ROUTING_CALLS):
        instance.router.choose(GROUP, policy)
    spent_us = (time.process_time() - cpu_before_s) / ROUTING_CALLS * 1e6
    return Measurement(
        "reads.routing_time", f"age {max_age_ms or 'none'}", "product", spent_us, "us"
    )


def run() -> list[Measurement]:
    """Run all cases of both deployments."""
    measurements = [routing_time(0), routing_time(1000)]
    for deployment in (STEPPE, HOCHZEITSRAUM):
        for lag_ms in REPLICATION_LAGS_MS:
            for max_age_ms in AGE_BOUNDS_MS:
                measurements += run_case(deployment, lag_ms, max_age_ms)
    return measurements
