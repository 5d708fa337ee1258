"""A database with a few slots, the owners of its connections, and bursts, on virtual time."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass

from quetzalrudder.gateway.borrowing import PREFERENCE_FRACTION
from quetzalrudder.gateway.fair_shares import FairShares
from quetzalrudder.gateway.owner_delays import DELAY_REPORT_LIFETIME_S
from quetzalrudder.gateway.slot_share import slot_parts
from quetzalrudder.gateway.slots import SlotLimiter
from quetzalrudder.gateway.statements import TargetFault
from quetzalrudder.gateway.wait_queue import Claim, Urgency
from tests.clocks import ManualClock

SLOTS = 5
OWNERS = 2
# A statement that the database or a queue turned away comes back after this time.
RETRY_S = 0.02


@dataclass(frozen=True)
class Kind:
    """A kind of statement: mean work, objective, and time that it may wait, in seconds."""

    name: str
    priority: int
    work_s: float
    objective_s: float
    wait_s: float


DEAR = Kind("dear", 0, 0.008, 0.2, 1.8)
USUAL = Kind("usual", 1, 0.024, 0.4, 3.0)
CHEAP = Kind("cheap", 2, 0.04, 1.2, 6.0)


@dataclass(eq=False)
class Call:
    """A statement of a workspace."""

    kind: Kind
    workspace: str
    at: float
    in_transaction: bool = False
    ended_at: float | None = None
    refused_after_s: float | None = None
    ran: bool = False
    waiter: object = None
    owner: object = None

    @property
    def in_time(self):
        return self.ran and self.ended_at <= self.at + self.kind.objective_s

    def claim(self, now):
        rank = 0 if self.in_transaction else 1
        urgency = Urgency(rank, self.kind.priority, self.at + self.kind.objective_s)
        return Claim(urgency, self.workspace, self.at + self.kind.wait_s)


class Fair:
    """The queue of one owner as it is in the gateway."""

    def __init__(self, clock, index):
        shares = FairShares(lambda workspace: 1.0)
        count = slot_parts(SLOTS, OWNERS)[index]
        self.limiter = SlotLimiter(lambda: count, lambda: shares, clock)

    def wait_until(self, claim, now):
        return claim.until

    def delay_s(self, claim):
        return self.limiter.expected_delay_s(claim)

    def enqueue(self, claim, call, now):
        call.waiter = self.limiter.enqueue(claim)

    def withdraw(self, call):
        self.limiter.withdraw(call.waiter)

    def release(self, claim, used_s, busy):
        fault = TargetFault.BUSY if busy else None
        self.limiter.release(claim.urgency.priority, used_s, fault)


class Contention:
    """Plays calls before the owners' queues and the database."""

    def __init__(self, make_owner, seed=0):
        self.clock = ManualClock(0.0)
        self.rng = random.Random(seed)
        self.owners = [make_owner(self.clock, index) for index in range(OWNERS)]
        self.waiting = {owner: [] for owner in self.owners}
        self.events = []
        self.sequence = itertools.count()
        self.running = 0
        self.busy_answers = 0
        self.refused_with_room = 0
        self.expired = 0
        # Expected delays that owners reported, by owner, workspace and priority.
        self.reports = {}

    def at(self, when, action, *args):
        heapq.heappush(self.events, (when, next(self.sequence), action, args))

    def play(self, calls):
        for call in calls:
            self.at(call.at, self.arrive, call)
        while self.events:
            self.clock.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        return calls

    def arrive(self, call):
        now = self.clock.now
        claim = call.claim(now)
        if now >= claim.until:
            self.end(call)
            return
        call.owner = self.choose_owner(call, claim)
        if claim.urgency.rank and call.owner.delay_s(claim) > claim.until - now:
            free = SLOTS - self.running
            self.report(call.owner, call)
            self.refused_with_room += free > 0 and not self.waiting[call.owner]
            self.end(call)
            return
        call.owner.enqueue(claim, call, now)
        self.waiting[call.owner].append(call)
        self.at(call.owner.wait_until(claim, now), self.give_up, call, call.owner)
        self.start_granted(call.owner)

    def choose_owner(self, call, claim):
        """Prefer one owner for each workspace, as the connections to owners do."""
        preferred = sum(map(ord, call.workspace)) % OWNERS
        owners = self.owners[preferred:] + self.owners[:preferred]
        delays = [self.known_delay(owner, call) for owner in owners]
        remaining_s = claim.urgency.due_at - self.clock.now
        if delays[0] <= max(PREFERENCE_FRACTION * remaining_s, 2 * min(delays)):
            return owners[0]
        return owners[delays.index(min(delays))]

    def known_delay(self, owner, call):
        key = (owner, call.workspace, call.kind.priority)
        delay_s, at = self.reports.get(key, (0.0, -1.0))
        return delay_s if self.clock.now - at < DELAY_REPORT_LIFETIME_S else 0.0

    def report(self, owner, call):
        now = self.clock.now
        fresh = Call(call.kind, call.workspace, now)
        delay_s = owner.delay_s(fresh.claim(now))
        self.reports[owner, call.workspace, call.kind.priority] = (delay_s, now)

    def end(self, call):
        call.ended_at = self.clock.now
        call.refused_after_s = self.clock.now - call.at

    def give_up(self, call, owner):
        if call not in self.waiting[owner]:
            return
        self.waiting[owner].remove(call)
        owner.withdraw(call)
        self.expired += 1
        self.at(self.clock.now + RETRY_S, self.arrive, call)

    def start_granted(self, owner):
        if isinstance(owner, Fair):
            granted = [call for call in self.waiting[owner] if call.waiter.granted.is_set()]
        else:
            granted = owner.pop_granted()
        for call in granted:
            self.waiting[owner].remove(call)
            self.start(call, owner)

    def start(self, call, owner):
        busy = self.running >= SLOTS
        if busy:
            self.busy_answers += 1
            used_s = 0.001
        else:
            self.running += 1
            used_s = self.rng.expovariate(1 / call.kind.work_s)
        self.at(self.clock.now + used_s, self.finish, call, owner, used_s, busy)

    def finish(self, call, owner, used_s, busy):
        if busy:
            self.at(self.clock.now + RETRY_S, self.arrive, call)
        else:
            self.running -= 1
            call.ran, call.ended_at = True, self.clock.now
        owner.release(call.claim(self.clock.now), used_s, busy)
        self.report(owner, call)
        self.start_granted(owner)


def arrivals(rng, kind, workspace, per_s, *, from_s=0.0, until_s=20.0):
    """Return a workspace's calls of one kind, at random times."""
    now, calls = from_s, []
    while (now := now + rng.expovariate(per_s)) < until_s:
        calls.append(Call(kind, workspace, now))
    return calls


def share_in_time(calls, key):
    """Return the share served in time, by a key of the calls."""
    total, in_time = Counter(map(key, calls)), Counter()
    for call in calls:
        in_time[key(call)] += call.in_time
    return {name: in_time[name] / count for name, count in total.items()}
