"""Share of reads served by replicas, at several lags and age bounds.

One group, a primary and two replicas, under a virtual clock. Sessions roam between the
instances of all data centres and write now and then; other callers write too.
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
LAGS_MS = (0, 5, 20, 100, 500)
AGE_BOUNDS_MS = (0, 200, 1000, 5000)
DURATION_S = 5.0
WARM_UP_S = 1.0
STEP_S = 0.001
PROBE_INTERVAL_S = 0.1
SESSIONS = 200
SESSION_PAUSE_S = 0.2
WRITE_SHARE = 0.1
OTHER_WRITES_PER_S = 50
LAG_SPREAD = 0.2
SEED = 1
GROUP = "group"
STARTS = [TermStart(term=1, first_index=1)]
MAX_ATTEMPTS = 3
ROUTING_CALLS = 5000


class World:
    """The group as it is: when each entry was written, and what each target has applied."""

    def __init__(self, deployment: Deployment, lag_ms: int, clock: ManualClock) -> None:
        self.clock = clock
        self.one_way_s = ONE_WAY_S[deployment.name]
        self.data_centres = deployment.data_centres
        self.rng = random.Random(SEED)
        self.written = [clock.now]
        self.lags_s = [0.0]
        for _ in range(deployment.databases_per_group - 1):
            spread = 1 + LAG_SPREAD * (2 * self.rng.random() - 1)
            self.lags_s.append(lag_ms / 1000 * spread)
        self.infos = [
            TargetInfo(f"{GROUP}-{n}", GROUP, self.data_centres[n], Address("127.0.0.1", n + 1))
            for n in range(deployment.databases_per_group)
        ]

    def write(self) -> int:
        """Append an entry and give its index."""
        self.written.append(self.clock.now)
        return len(self.written)

    def applied(self, number: int, now: float) -> int:
        """Give the index that reads at a target see."""
        return max(1, bisect_right(self.written, now - self.lags_s[number]))

    def age_s(self, index: int, now: float) -> float:
        """Give the age of the data up to an index."""
        return now - self.written[index] if index < len(self.written) else 0.0

    def state(self, number: int, now: float) -> State:
        """Give what a target says of itself."""
        position = Position(term=1, index=self.applied(number, now))
        role = Role.REPLICA if number else Role.PRIMARY
        return State(role=role, term=1, received=position, applied=position, term_starts=STARTS)

    def is_right(self, index: int, covers: int, max_age_ms: int, now: float) -> bool:
        """Tell whether data up to an index is what a read may accept."""
        fresh = not max_age_ms or self.age_s(index, now) * 1000 <= max_age_ms
        return fresh and index >= covers


@dataclass
class Count:
    """What became of the reads of one variant."""

    reads: int = 0
    replica: int = 0
    wrong: int = 0
    refused: int = 0
    extra: int = 0

    def measures(self, case: str, variant: str) -> list[Measurement]:
        """Give the figures."""
        reads = max(1, self.reads)
        return [
            Measurement("reads.replica_share", case, variant, self.replica / reads, "of reads"),
            Measurement("reads.wrong_answers", case, variant, self.wrong, "reads"),
            Measurement("reads.refused", case, variant, self.refused / reads, "of reads"),
            Measurement("reads.extra_attempts", case, variant, self.extra / reads, "per read"),
        ]


@dataclass
class Instance:
    """One instance: its table and its router."""

    world: World
    data_centre: str
    groups: GroupTable = field(init=False)
    router: ReadRouter = field(init=False)

    def __post_init__(self) -> None:
        clock = self.world.clock
        self.groups = GroupTable(clock)
        self.groups.set_targets([(info, False) for info in self.world.infos])
        self.router = ReadRouter(self.groups, self.data_centre, random.Random(SEED), clock)

    def way_s(self, number: int) -> float:
        """Give the time to a target, one way."""
        near = self.world.infos[number].data_centre == self.data_centre
        return 0.0 if near else self.world.one_way_s

    def hear(self, number: int, asked_at: float) -> State:
        """Ask a target something and take over what it says of itself."""
        state = self.world.state(number, asked_at + self.way_s(number))
        self.groups.observe(self.world.infos[number], state, asked_at)
        return state

    def probe(self) -> None:
        """Ask every target."""
        for number in range(len(self.world.infos)):
            self.hear(number, self.world.clock.now)


def read(instance: Instance, covers: int, max_age_ms: int, count: Count) -> int:
    """Read by the product's router; gives the index that the session has then seen."""
    world, now = instance.world, instance.world.clock.now
    count.reads += 1
    policy = ReadPolicy(max_age_ms, Position(term=1 if covers else 0, index=covers))
    failed: frozenset[str] = frozenset()
    for _ in range(MAX_ATTEMPTS):
        chosen = instance.router.choose(GROUP, policy, failed)
        if chosen.is_err():
            break
        view = chosen.ok_value
        number = world.infos.index(view.info)
        index = instance.hear(number, now).applied.index
        if index < covers:
            count.extra += 1
            failed = failed | {view.info.target}
            continue
        count.replica += number > 0
        count.wrong += not world.is_right(index, covers, max_age_ms, now)
        return max(covers, index)
    count.refused += 1
    return covers


def read_naively(world: World, covers: int, max_age_ms: int, count: Count) -> None:
    """Read at any replica."""
    now = world.clock.now
    count.reads += 1
    count.replica += 1
    index = world.applied(world.rng.randrange(1, len(world.infos)), now)
    count.wrong += not world.is_right(index, covers, max_age_ms, now)


def read_ideally(world: World, covers: int, max_age_ms: int, count: Count) -> None:
    """Read at a replica whenever one that may serve the read exists."""
    now = world.clock.now
    count.reads += 1
    replicas = range(1, len(world.infos))
    found = [world.applied(n, now) for n in replicas]
    right = any(world.is_right(index, covers, max_age_ms, now) for index in found)
    count.replica += right and bool(covers or max_age_ms)


def run_case(deployment: Deployment, lag_ms: int, max_age_ms: int) -> list[Measurement]:
    """Run one lag and age bound."""
    clock = ManualClock()
    world = World(deployment, lag_ms, clock)
    instances = [Instance(world, name) for name in deployment.data_centres]
    counts = {name: Count() for name in ("product", "naive", "ideal")}
    start, rng = clock.now, world.rng
    seen, written = [0] * SESSIONS, [0] * SESSIONS
    due = [start + SESSION_PAUSE_S * rng.random() for _ in range(SESSIONS)]
    probe_at = start
    while clock.now < start + DURATION_S:
        if rng.random() < OTHER_WRITES_PER_S * STEP_S:
            world.write()
        if clock.now >= probe_at:
            probe_at += PROBE_INTERVAL_S
            for instance in instances:
                instance.probe()
        for session in [n for n in range(SESSIONS) if due[n] <= clock.now]:
            due[session] += rng.expovariate(1 / SESSION_PAUSE_S)
            instance = rng.choice(instances)
            if rng.random() < WRITE_SHARE:
                seen[session] = written[session] = world.write()
                instance.hear(0, clock.now)
                continue
            kept = counts if clock.now >= start + WARM_UP_S else {n: Count() for n in counts}
            covers = written[session] if max_age_ms else seen[session]
            read_naively(world, covers, max_age_ms, kept["naive"])
            read_ideally(world, covers, max_age_ms, kept["ideal"])
            index = read(instance, covers, max_age_ms, kept["product"])
            seen[session] = max(seen[session], index)
        clock.advance(STEP_S)
    case = f"{deployment.name} lag {lag_ms} age {max_age_ms or 'none'}"
    return [m for name, count in counts.items() for m in count.measures(case, name)]


def routing_time(max_age_ms: int) -> Measurement:
    """Measure the processor time of one choice."""
    clock = ManualClock()
    world = World(STEPPE, 20, clock)
    instance = Instance(world, STEPPE.data_centres[1])
    for _ in range(ROUTING_CALLS // 10):
        clock.advance(PROBE_INTERVAL_S)
        world.write()
        instance.probe()
    policy = ReadPolicy(max_age_ms, Position(term=1, index=len(world.written) // 2))
    started = time.process_time()
    for _ in range(ROUTING_CALLS):
        instance.router.choose(GROUP, policy)
    spent_us = (time.process_time() - started) / ROUTING_CALLS * 1e6
    return Measurement(
        "reads.routing_time", f"age {max_age_ms or 'none'}", "product", spent_us, "us"
    )


def run() -> list[Measurement]:
    """Run all cases of both deployments."""
    measures = [routing_time(0), routing_time(1000)]
    for deployment in (STEPPE, HOCHZEITSRAUM):
        for lag_ms in LAGS_MS:
            for max_age_ms in AGE_BOUNDS_MS:
                measures += run_case(deployment, lag_ms, max_age_ms)
    return measures
