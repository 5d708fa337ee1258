"""Naive limiter of a database's slots: open transactions first, then in order of arrival.

Each owner rounds its part of the slots up, and a statement waits up to 0.3 s before it is
answered as busy.
"""

import bisect
import math

MAX_SLOT_WAIT_S = 0.3


class ArrivalOrder:
    """The queue of one owner."""

    def __init__(self, slots, owners):
        self.slot_count = math.ceil(slots / owners)
        self.in_use = 0
        self.waiting = []
        self.sequence = 0

    def wait_until(self, claim, now):
        return min(claim.until, now + MAX_SLOT_WAIT_S)

    def delay_s(self, claim):
        return 0.0

    def enqueue(self, claim, item, now):
        self.sequence += 1
        entry = (claim.urgency.rank, self.sequence, item)
        bisect.insort(self.waiting, entry, key=lambda other: other[:2])

    def withdraw(self, item):
        self.waiting = [entry for entry in self.waiting if entry[2] is not item]

    def pop_granted(self):
        granted = []
        while self.waiting and self.in_use < self.slot_count:
            self.in_use += 1
            granted.append(self.waiting.pop(0)[2])
        return granted

    def release(self, claim, used_s, busy):
        self.in_use -= 1
