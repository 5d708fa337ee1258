"""Limits the statements that this instance runs at a database to its share of the slots.

Serves a large fleet, where a few instances own many more connections to a database than the
database runs statements at once. Statements that it would refuse wait here in the order of
:class:`~quetzalrudder.gateway.wait_queue.WaitQueue`, those in open transactions first. A new
statement that the queue could not serve before it stops waiting is refused on arrival.
"""

import random
import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from quetzalrudder.exceptions import QueueTooLong
from quetzalrudder.gateway.fair_shares import FairShares
from quetzalrudder.gateway.queue_delay import ServiceTimes, retry_after_ms
from quetzalrudder.gateway.statements import TargetFault
from quetzalrudder.gateway.targets import Target
from quetzalrudder.gateway.wait_queue import (
    RESERVED_FRACTION,
    Claim,
    Urgency,
    WaitQueue,
    WorkAhead,
)
from quetzalrudder.models import TargetId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["SlotLimiter", "SlotLimiters"]

# Fraction of the time until a statement is due that its expected delay may take if it is to be
# served among those in time. Without a reserve, half of the last ones admitted turn late, which
# then wait for what is left to late statements.
IN_TIME_FRACTION = 0.5
# The same of the time that a statement can wait if it is to be served late.
LATE_FRACTION = 0.7


@dataclass(eq=False)
class _Waiter:
    urgency: Urgency
    granted: threading.Event = field(default_factory=threading.Event)


class SlotLimiter:
    """The slots of one database that this instance may use.

    Parameters
    ----------
    slot_count : Callable
        Returns the number of these slots.
    get_shares : Callable
        Returns the shares of the workspaces; None if workspaces are not told apart.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        slot_count: Callable[[], int],
        get_shares: Callable[[], FairShares | None],
        clock: Clock,
    ) -> None:
        self._slot_count = slot_count
        self._clock = clock
        self._lock = threading.Lock()
        self._in_use = 0
        self._times = ServiceTimes()
        self._waiters: WaitQueue[_Waiter] = WaitQueue(get_shares)

    def acquire(self, claim: Claim) -> bool:
        """Wait for a slot.

        Returns
        -------
        bool
            False if no slot became free in time.
        """
        waiter = self.enqueue(claim)
        remaining_s = max(0.0, claim.until - self._clock.monotonic())
        if self._clock.wait(waiter.granted, remaining_s):
            return True
        return not self.withdraw(waiter)

    def enqueue(self, claim: Claim) -> _Waiter:
        """Add a claim to the queue; its event is set once a slot is granted."""
        waiter = _Waiter(claim.urgency)
        with self._lock:
            self._waiters.add(
                claim.urgency,
                waiter,
                workspace=claim.workspace,
                now=self._clock.monotonic(),
                until=claim.until,
            )
            self._grant_slots(is_arrival=True)
        return waiter

    def withdraw(self, waiter: _Waiter) -> bool:
        """Remove a claim from the queue; return False if it has been granted."""
        with self._lock:
            if waiter.granted.is_set():
                return False
            self._waiters.remove(waiter)
            return True

    def release(self, priority: int, used_s: float, fault: TargetFault | None = None) -> None:
        """Release a slot that an answered statement used.

        Parameters
        ----------
        priority : int
            Priority of the statement.
        used_s : float
            How long it used the slot, in seconds.
        fault : TargetFault, optional
            The database's fault.
        """
        with self._lock:
            if fault is None:
                self._times.record(priority, used_s)
            self._release()

    def release_unanswered(self) -> None:
        """Release a slot whose statement got no answer; its duration says nothing."""
        with self._lock:
            self._release()

    def _release(self) -> None:
        self._in_use -= 1
        self._grant_slots()

    def expected_delay_s(
        self, claim: Claim, also_ahead: Callable[..., WorkAhead] | None = None
    ) -> float:
        """Return how long a new claim would wait; 0 while there is room or nothing is known.

        Parameters
        ----------
        claim : Claim
            The new claim.
        also_ahead : Callable, optional
            Returns the work that waits elsewhere and goes before it; called like
            :meth:`WaitQueue.work_ahead`.
        """
        now = self._clock.monotonic()
        with self._lock:
            slots = self._slot_count()
            if self._in_use < slots or not self._times.is_known:
                return 0.0
            ahead = self._waiters.work_ahead(claim, now, self._times.of)
            if also_ahead is not None:
                ahead += also_ahead(claim, now, self._times.of)
            priority = claim.urgency.priority
            # The statements in the slots are half done on average.
            in_service_s = slots * self._times.mean_s / 2
            above = self._times.share_above(priority, now, late=False)
            share = max(RESERVED_FRACTION, 1 - RESERVED_FRACTION - above)
            in_time_s = (ahead.if_in_time_s + in_service_s) / slots / share
            remaining_s = claim.urgency.due_at - now - self._times.of(priority)
            if in_time_s <= IN_TIME_FRACTION * remaining_s:
                return in_time_s
            above = self._times.share_above(priority, now, late=True)
            share = max(RESERVED_FRACTION, 1 - above) * LATE_FRACTION
            return (ahead.if_late_s + in_service_s) / slots / share

    def _grant_slots(self, *, is_arrival: bool = False) -> None:
        slots = self._slot_count()
        now = self._clock.monotonic()
        while len(self._waiters) and self._in_use < slots:
            waiter = self._waiters.pop(
                now=now, service_s=self._times.mean_s, service_of=self._times.of
            )
            if not is_arrival:
                self._times.record_contended(
                    waiter.urgency.priority, now, late=now > waiter.urgency.due_at
                )
            self._in_use += 1
            waiter.granted.set()


class SlotLimiters:
    """A slot limiter for each database.

    Parameters
    ----------
    slot_count : Callable
        Returns this instance's part of a database's slots; 0 if its statements need not wait
        here.
    weight_of : Callable
        Returns the weight of a workspace's share, greater than 0.
    record_refusal : Callable
        Called with a database, a claim that was refused, and the expected delay.
    rng : random.Random
        Spreads the delays that callers are told.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        slot_count: Callable[[Target], int],
        weight_of: Callable[[WorkspaceId], float],
        record_refusal: Callable[[TargetId, Claim, float], None],
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._slot_count = slot_count
        self._weight_of = weight_of
        self._record_refusal = record_refusal
        self._rng = rng
        self._clock = clock
        self._lock = threading.Lock()
        self._limiters: dict[TargetId, SlotLimiter] = {}

    def for_target(self, target: Target) -> SlotLimiter | None:
        """Return a database's slot limiter; None if its statements need not wait here."""
        if not self._slot_count(target):
            return None
        limiter = self._limiters.get(target.target)
        if limiter is not None:
            return limiter
        shares = self.create_shares()
        with self._lock:
            return self._limiters.setdefault(
                target.target,
                SlotLimiter(lambda: max(1, self._slot_count(target)), lambda: shares, self._clock),
            )

    def create_shares(self) -> FairShares:
        """Return the shares of all workspaces in another queue."""
        return FairShares(self._weight_of)

    def expected_delay_s(self, target: Target, claim: Claim) -> float:
        """Return how long a new statement would wait for a slot of a database."""
        limiter = self.for_target(target)
        return 0.0 if limiter is None else limiter.expected_delay_s(claim)

    def refuse(
        self, target: Target, claim: Claim, also_ahead: Callable[..., WorkAhead]
    ) -> QueueTooLong | None:
        """Return the error for a new statement that cannot get a slot in time, or None.

        Parameters
        ----------
        target : Target
            The database.
        claim : Claim
            The statement's claim to a slot.
        also_ahead : Callable
            Returns the work that waits for a connection and goes before it.
        """
        limiter = self.for_target(target)
        if limiter is None or claim.urgency.rank == 0:
            return None
        delay_s = limiter.expected_delay_s(claim, also_ahead)
        remaining_s = max(0.0, claim.until - self._clock.monotonic())
        if delay_s <= remaining_s:
            return None
        self._record_refusal(target.target, claim, delay_s)
        return QueueTooLong(
            "the queue for slots is too long for the deadline",
            place=target.target,
            retry_after_ms=retry_after_ms(delay_s - remaining_s, self._rng),
        )
