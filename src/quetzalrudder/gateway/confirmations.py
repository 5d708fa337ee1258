"""Confirmations by which instances continue without the store, and who collects them.

Serves outages of the store in large fleets. Each instance needs a majority of the roster to
confirm that it lacks the store too; if each asked all others, the calls would grow with the
square of the fleet. So a few collectors ask all instances, and the others ask the collectors,
who pass on which instances have confirmed and how long ago.

A confirmation holds for ``PEER_PERMISSION_S`` from when the instance that asked for it sent its
request, whoever uses it: the confirming instance acknowledges no change of primary until then,
and its reply carries every change that it has acknowledged before. A collector applies these
before it passes the confirmation on, and its own reply carries them.
"""

import heapq
import math
from collections.abc import Iterable

from quetzalrudder.gateway.assignments import AvoidedInstances, rank
from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.gateway.permission import PEER_PERMISSION_S
from quetzalrudder.gateway.promotion_rules import is_majority
from quetzalrudder.models import InstanceId
from quetzalrudder.schema.gateway import Confirmation
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = ["Collectors", "Confirmations"]

# Collectors of one data centre; a second one serves while the first does not answer.
COLLECTOR_COUNT = 2
# A data centre with fewer instances has no collectors of its own.
MIN_INSTANCES_WITH_COLLECTORS = 8
# Time for which an instance collects after another one has asked it to.
COLLECTING_S = 1.0


class Confirmations:
    """The instances that continue without the store, and when each was asked.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(self, instance: InstanceId, clock: Clock) -> None:
        self._instance = instance
        self._clock = clock
        # When the request that was confirmed was sent, by instance.
        self._asked_at: dict[InstanceId, float] = {}
        # The same, of confirmations that this instance received itself.
        self._received: dict[InstanceId, float] = {}

    def clear(self) -> None:
        """Forget all confirmations."""
        self._asked_at = {}
        self._received = {}

    def record_own(self, asked_at: float) -> None:
        """Record that this instance lacks the store itself; not passed on."""
        self._asked_at[self._instance] = asked_at

    def record(self, instance: InstanceId, asked_at: float) -> None:
        """Record a confirmation on a request that this instance sent at ``asked_at``."""
        self._received[instance] = max(asked_at, self._received.get(instance, asked_at))
        self._asked_at[instance] = max(asked_at, self._asked_at.get(instance, asked_at))

    def record_collected(self, confirmations: Iterable[Confirmation], asked_at: float) -> None:
        """Record what a collector passed on when it was asked at ``asked_at``.

        The collector answered later, so its own requests were sent at least as much later than
        ``asked_at`` less their age.
        """
        for passed_on in confirmations:
            instance = InstanceId(passed_on.instance)
            at = asked_at - passed_on.age_ms / MS_PER_S
            self._asked_at[instance] = max(at, self._asked_at.get(instance, at))

    def to_pass_on(self) -> list[Confirmation]:
        """Return the confirmations that this instance received itself and that still hold."""
        now = self._clock.monotonic()
        return [
            Confirmation(instance=name, age_ms=math.ceil((now - asked_at) * MS_PER_S))
            for name, asked_at in list(self._received.items())
            if now - asked_at < PEER_PERMISSION_S
        ]

    def confirming(self, max_age_s: float = PEER_PERMISSION_S) -> set[InstanceId]:
        """Return the instances whose confirmation still holds, or is not older than an age."""
        oldest = self._clock.monotonic() - max_age_s
        return {name for name, asked_at in list(self._asked_at.items()) if asked_at > oldest}

    def majority_until(self, views: list[set[InstanceId]]) -> float:
        """Return the clock reading until which a majority of each view confirms.

        The result is in the past if there is no majority.
        """
        until = math.inf
        for view in views:
            asked_at = [self._asked_at[name] for name in view if name in self._asked_at]
            if not is_majority(len(asked_at), len(view)):
                return -1.0
            needed = len(view) // 2 + 1
            until = min(until, heapq.nlargest(needed, asked_at)[-1] + PEER_PERMISSION_S)
        return until if views else -1.0


class Collectors:
    """Chooses the instances that ask all others for confirmations.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    clock : Clock
        Source of time.
    """

    def __init__(self, instance: InstanceId, clock: Clock) -> None:
        self._instance = instance
        self._clock = clock
        self._unanswered = AvoidedInstances(clock)
        self._asked_to_collect_at = -math.inf

    def record_call(self, instance: InstanceId, *, answered: bool) -> None:
        """Record whether an instance answered; one that did not is no collector for a while."""
        if answered:
            self._unanswered.discard(instance)
        else:
            self._unanswered.add(instance)

    def is_unanswered(self, instance: InstanceId) -> bool:
        """Return whether an instance has not answered recently."""
        return self._unanswered.is_avoided(instance)

    def record_request_to_collect(self) -> None:
        """Collect for a while, as another instance relies on it."""
        self._asked_to_collect_at = self._clock.monotonic()

    def is_collecting(self, roster: list[RosterRecord]) -> bool:
        """Return whether this instance asks all others."""
        asked_s = self._clock.monotonic() - self._asked_to_collect_at
        return asked_s < COLLECTING_S or self._instance in self.choose(roster)

    def choose(self, roster: list[RosterRecord]) -> list[InstanceId]:
        """Return the collectors that this instance relies on; it may be one of them."""
        own = next((record for record in roster if record.instance == self._instance), None)
        data_centre = own.data_centre if own is not None else None
        local = [record.instance for record in roster if record.data_centre == data_centre]
        if len(local) < MIN_INSTANCES_WITH_COLLECTORS:
            data_centre, local = None, [record.instance for record in roster]
        ranked = rank(f"collector {data_centre or ''}", local)
        return [name for name in ranked if not self.is_unanswered(name)][:COLLECTOR_COUNT]
