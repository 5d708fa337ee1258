"""Plays reads of large fleets at databases that differ, and checks what callers get."""

import heapq
import random
from types import SimpleNamespace

import pytest

from quetzalrudder.gateway.freshness import PositionWindow
from quetzalrudder.gateway.placement import READ_ATTEMPT_TIMEOUT_S, Placement, ReadNeeds
from quetzalrudder.gateway.targets import LogPosition, Target, TargetRegistry, TargetRole
from quetzalrudder.utils import Address
from tests.clocks import ManualClock
from tests.naive.placement import NaivePlacement

NAMES = ("db-1", "db-2", "db-3", "db-4")
SLOTS = 6
USUAL_S = 0.024
OBJECTIVE_S = 0.1
MAX_ATTEMPTS = 4
SPAN_S = 8.0
INSTANCES = 4
PER_S = 250


class FakeDatabase:
    """Serves reads in order of arrival on its slots; refuses none."""

    def __init__(self, slow=1.0, failing=0.0, silent=lambda now: False, tail=0.0):
        self.slow, self.failing, self.silent, self.tail = slow, failing, silent, tail
        self.free_at = [0.0] * SLOTS

    def serve(self, now, scale, rng):
        """Return the time of the answer (None: no answer), and whether it is an error."""
        if self.silent(now):
            return None, True
        work_s = USUAL_S * scale * self.slow * rng.uniform(0.5, 1.5)
        if rng.random() < self.tail:
            work_s *= 10
        start = max(now, heapq.heappop(self.free_at))
        heapq.heappush(self.free_at, start + work_s)
        return start + work_s, rng.random() < self.failing


class FakePool:
    """The connections of one instance, all of which are open."""

    def __init__(self):
        self.in_flight = dict.fromkeys(NAMES, 0)

    def load(self, target):
        return self.in_flight[target.target] / SLOTS

    def has_idle(self, target, workspace):
        return True


def make_registry(clock):
    registry = TargetRegistry(clock)
    address = Address("10.0.0.1", 7000)
    registry.replace_all(
        Target(name, "g", address, "dc-0", SLOTS, TargetRole.REPLICA) for name in NAMES
    )
    return registry


class Play:
    """Several instances in front of one group; events in order of time on a virtual clock."""

    def __init__(self, databases, *, naive=False, scale=1.0, seed=1):
        self.databases, self.scale, self.naive = databases, scale, naive
        self.rng = random.Random(seed)
        self.clock = ManualClock(0.0)
        registry = make_registry(self.clock)
        self.pools = [FakePool() for _ in range(INSTANCES)]
        make = NaivePlacement if naive else self.make_placement
        self.placements = [
            make(registry, pool, "dc-0", random.Random(seed * 100 + index), self.clock)
            for index, pool in enumerate(self.pools)
        ]
        self.events, self.sequence = [], 0
        self.in_time = self.served = self.reads = self.attempts = 0
        self.chosen = dict.fromkeys(NAMES, 0)

    @staticmethod
    def make_placement(*args):
        return Placement(*args, is_large=lambda: True)

    def at(self, when, call, *args):
        self.sequence += 1
        heapq.heappush(self.events, (when, self.sequence, call, args))

    def run(self):
        arrives_at = 0.0
        while (arrives_at := arrives_at + self.rng.expovariate(PER_S / self.scale)) < (
            SPAN_S * self.scale
        ):
            self.reads += 1
            self.at(arrives_at, self.attempt, arrives_at, self.rng.randrange(INSTANCES), set(), 1)
        while self.events:
            self.clock.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self

    def attempt(self, arrived_at, index, excluded, number):
        now, placement = self.clock.now, self.placements[index]
        self.attempts += 1
        target = placement.rank("g", "w", excluded)[0]
        name = target.target
        timeout_s = READ_ATTEMPT_TIMEOUT_S if self.naive else placement.begin_read(target)
        self.chosen[name] += 1
        self.pools[index].in_flight[name] += 1
        answer_at, failed = self.databases[name].serve(now, self.scale, self.rng)
        if answer_at is None or answer_at > now + timeout_s:
            answer_at, failed = now + timeout_s, None
        self.at(
            answer_at, self.finish, arrived_at, index, excluded | {name}, number, name, now, failed
        )

    def finish(self, arrived_at, index, excluded, number, name, sent_at, failed):
        now, placement = self.clock.now, self.placements[index]
        self.pools[index].in_flight[name] -= 1
        if failed is False:
            placement.record_answer(name, *(() if self.naive else (now - sent_at,)))
            self.served += 1
            self.in_time += now - arrived_at <= OBJECTIVE_S * self.scale
            return
        if failed is None:
            placement.record_failure(name)
        elif self.naive:
            placement.record_answer(name)
        else:
            placement.record_error(name)
        if number < MAX_ATTEMPTS:
            again = set() if len(excluded) == len(NAMES) else excluded
            self.attempt(arrived_at, index, again, number + 1)


def flapping(now):
    return now % 2.0 < 1.0


CASES = {
    "slow": {"slow": 5.0},
    "failing": {"failing": 0.4},
    "flapping": {"silent": flapping},
    "dead": {"silent": lambda now: True},
    "long tail": {"tail": 0.2},
}


def play_all(make_databases, **arguments):
    """Return the share in time and the attempts for each read, over three seeds."""
    plays = [Play(make_databases(), seed=seed, **arguments).run() for seed in range(3)]
    reads = sum(play.reads for play in plays)
    return (
        sum(play.in_time for play in plays) / reads,
        sum(play.attempts for play in plays) / reads,
    )


def one_bad(case):
    def make():
        databases = {name: FakeDatabase() for name in NAMES}
        databases["db-2"] = FakeDatabase(**CASES[case])
        return databases

    return make


def all_equal(**changes):
    return lambda: {name: FakeDatabase(**changes) for name in NAMES}


@pytest.mark.parametrize("case", CASES)
def test_one_bad_database_costs_callers_less_than_with_the_naive_placement(case):
    in_time, attempts = play_all(one_bad(case))
    naive_in_time, naive_attempts = play_all(one_bad(case), naive=True)
    missed, naive_missed = 1 - in_time, 1 - naive_in_time
    lost = missed + (attempts - 1)
    assert lost <= 0.5 * (naive_missed + (naive_attempts - 1))
    assert in_time >= naive_in_time and in_time >= 0.98


@pytest.mark.parametrize("changes", [{}, {"failing": 0.3}, {"slow": 2.0}, {"tail": 0.1}])
def test_databases_that_are_alike_serve_as_with_the_naive_placement(changes):
    in_time, attempts = play_all(all_equal(**changes))
    naive_in_time, naive_attempts = play_all(all_equal(**changes), naive=True)
    assert in_time >= naive_in_time - 0.02
    assert attempts <= naive_attempts + 0.02


@pytest.mark.parametrize("scale", [0.2, 5.0])
@pytest.mark.parametrize("case", ["slow", "failing", "long tail"])
def test_callers_get_the_same_at_another_scale_of_time(case, scale):
    in_time, _ = play_all(one_bad(case), scale=scale)
    assert in_time == pytest.approx(play_all(one_bad(case))[0], abs=0.05)


def share_of_bad(case):
    play = Play(one_bad(case)()).run()
    return play.chosen["db-2"] / play.attempts


def test_a_failing_database_keeps_trial_reads_and_a_flapping_one_its_part():
    assert 0.0 < share_of_bad("dead") < 0.02
    assert 0.0 < share_of_bad("failing") < 0.15
    assert share_of_bad("dead") < share_of_bad("flapping") < 0.25


def make_placement(*, is_large=True):
    clock = ManualClock()
    pool = FakePool()
    args = (make_registry(clock), pool, "dc-0", random.Random(1), clock)
    return clock, Placement(*args, is_large=lambda: is_large)


def find(placement, name):
    ranked = placement.rank("g", "w", set())
    return next(target for target in ranked if target.target == name)


def names(placement, required_age_s=None):
    return {target.target for target in placement.rank("g", "w", set(), ReadNeeds(required_age_s))}


def test_a_lagging_replica_gets_the_reads_that_it_can_satisfy():
    clock, placement = make_placement()
    placement.record_lagging("db-2", 0.09)
    # A younger position that it lacks too says nothing new.
    placement.record_lagging("db-2", 0.01)
    assert "db-2" not in names(placement, 0.02)
    assert "db-2" in names(placement, 0.5)
    clock.advance(0.2)
    assert "db-2" not in names(placement, 0.02)
    clock.advance(2.0)
    assert "db-2" in names(placement, 0.02)


def test_the_age_of_a_position_is_the_time_since_the_primary_reached_it():
    clock = ManualClock()
    window = PositionWindow(clock)
    for index in (1, 2, 4):
        window.add(clock.monotonic(), LogPosition(1, index))
        clock.advance(0.1)
    ages = [window.age_s(LogPosition(1, index)) for index in (2, 3, 4, 5)]
    assert ages == pytest.approx([0.2, 0.1, 0.1, 0.0])


def test_a_position_that_is_already_too_old_is_not_kept():
    """A connection owner may have known it for long, as the primary is lost."""
    clock = ManualClock()
    window = PositionWindow(clock)
    clock.advance(100.0)
    window.add(clock.monotonic() - 90.0, LogPosition(1, 7))
    assert window.newest() is None
    assert window.required_position(max_age_ms=1500) is None
    window.add(clock.monotonic(), LogPosition(1, 8))
    assert window.newest() == (clock.monotonic(), LogPosition(1, 8))


def test_a_dead_database_is_tried_by_one_read_at_a_time():
    clock, placement = make_placement()
    for _ in range(5):
        placement.record_failure("db-2")
    clock.advance(2.1)
    assert "db-2" in names(placement)
    placement.begin_read(find(placement, "db-2"))
    assert "db-2" not in names(placement)
    placement.record_answer("db-2", 0.02)
    assert "db-2" in names(placement)


def test_a_single_failure_among_answers_does_not_hold_a_database_off():
    _, placement = make_placement()
    for _ in range(20):
        placement.record_answer("db-2", 0.02)
    placement.record_failure("db-2")
    assert "db-2" in names(placement)


def test_a_silent_database_costs_a_few_of_its_usual_times_while_there_is_room():
    _, placement = make_placement()
    target = find(placement, "db-2")
    assert placement.begin_read(target) == READ_ATTEMPT_TIMEOUT_S
    for _ in range(30):
        placement.record_answer("db-2", 0.03)
    assert placement.begin_read(target) == pytest.approx(0.09)
    placement.record_busy("db-2")
    assert placement.begin_read(target) == READ_ATTEMPT_TIMEOUT_S


def test_a_small_fleet_orders_databases_as_before():
    clock, placement = make_placement(is_large=False)
    args = (make_registry(clock), FakePool(), "dc-0", random.Random(1), clock)
    naive = NaivePlacement(*args)
    for tested in (placement, naive):
        tested.record_failure("db-1")
        tested.record_busy("db-3")
    for _ in range(50):
        placement.record_answer("db-2", 0.5)
    for _ in range(20):
        assert placement.rank("g", "w", set(), ReadNeeds(0.0)) == naive.rank("g", "w", set())


def test_a_read_after_a_cut_one_has_the_whole_time():
    clock = ManualClock()
    target = Target("db-1", "g", Address("db-1", 1), "dc-0", 4, TargetRole.REPLICA)
    registry = TargetRegistry(clock)
    registry.replace_all([target])
    pool = SimpleNamespace(load=lambda target: 0.0, has_idle=lambda target, workspace: True)
    placement = Placement(registry, pool, "dc-0", random.Random(1), clock, is_large=lambda: True)
    for _ in range(60):
        placement.record_answer("db-1", 0.02)
    assert placement.begin_read(target) < READ_ATTEMPT_TIMEOUT_S
    placement.record_failure("db-1")
    assert placement.begin_read(target) == READ_ATTEMPT_TIMEOUT_S
