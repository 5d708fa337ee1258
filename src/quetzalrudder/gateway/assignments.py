"""Assignment of subjects to instances by rendezvous hashing.

In a large fleet, an equal part of a limit for each instance would be less than one, so a
few instances own each limit. Every instance computes the same ranking of the fleet for a
subject, without communication. When an instance joins or leaves, only the subjects assigned
to it move.
"""

import hashlib
from collections.abc import Collection, Iterable

from quetzalrudder.gateway.members import MemberTable, RosterRecord
from quetzalrudder.models import DataCentre, InstanceId
from quetzalrudder.utils import Clock

__all__ = ["LARGE_FLEET", "AvoidedInstances", "FleetView", "rank"]

# Number of instances from which a fleet is large: an equal part of a target's 21 to 40
# connections, or of a small workspace's rate, is then about one.
LARGE_FLEET = 16
# Weights kept for a subject; those of instances that no longer exist are dropped beyond it.
MAX_KNOWN_WEIGHTS = 512
# Time for which an instance that did not answer a call is tried last. A failed instance
# leaves the rankings when its member record expires, within 2 s.
AVOIDANCE_S = 1.0


def rank(subject: str, names: Iterable[InstanceId]) -> list[InstanceId]:
    """Return instances in their order for a subject; the first one or few of them own it.

    Examples
    --------
    >>> rank("almaty", ["a", "b", "c"]) == rank("almaty", ["c", "b", "a"])
    True
    """
    return sorted(names, key=lambda name: _hash_weight(subject, name))


def _hash_weight(subject: str, name: InstanceId) -> bytes:
    return hashlib.blake2b(f"{subject}/{name}".encode(), digest_size=8).digest()


class AvoidedInstances:
    """Instances that failed to serve a call and are avoided for a while.

    Parameters
    ----------
    clock : Clock
        Source of time.
    avoidance_s : float
        Time for which they are avoided, in seconds.
    """

    def __init__(self, clock: Clock, avoidance_s: float = AVOIDANCE_S) -> None:
        self._clock = clock
        self._avoidance_s = avoidance_s
        self._avoided_until: dict[InstanceId, float] = {}

    def add(self, instance: InstanceId) -> None:
        """Avoid an instance from now on."""
        self._avoided_until[instance] = self._clock.monotonic() + self._avoidance_s

    def discard(self, instance: InstanceId) -> None:
        """Avoid an instance no longer, as it served a call."""
        self._avoided_until.pop(instance, None)

    def is_known(self, instance: InstanceId) -> bool:
        """Return whether an instance has failed to serve a call and has served none since."""
        return instance in self._avoided_until

    def names(self) -> list[InstanceId]:
        """Return the instances that have failed to serve a call and have served none since."""
        return list(self._avoided_until)

    def claim_trial(self, instance: InstanceId) -> bool:
        """Return whether a call to an instance may be made now.

        An instance that failed gets one call after each ``avoidance_s`` until it serves one,
        so that other callers do not wait for it too.
        """
        if instance not in self._avoided_until:
            return True
        if self.is_avoided(instance):
            return False
        self.add(instance)
        return True

    def is_avoided(self, instance: InstanceId) -> bool:
        """Return whether an instance is avoided now."""
        return self._avoided_until.get(instance, 0.0) > self._clock.monotonic()

    def order_last(self, records: Iterable[RosterRecord]) -> list[RosterRecord]:
        """Return the records with avoided instances at the end, otherwise in the same order."""
        return sorted(records, key=lambda record: self.is_avoided(record.instance))


class FleetView:
    """The fleet as this instance has read it from the store.

    Parameters
    ----------
    members : MemberTable
        The instances.
    """

    def __init__(self, members: MemberTable) -> None:
        self._members = members
        # The version of the members table, and the live instances at that version.
        self._live: tuple[int, dict[InstanceId, RosterRecord]] = (-1, {})
        # The instances separated from most others, at a version of the members table.
        self._separated: tuple[int, set[InstanceId]] = (-1, set())
        # Whether all instances divide rates, at a version of the members table.
        self._divides_rates: tuple[int, bool] = (-1, True)
        # Rankings at that version, by subject and data centre.
        self._rankings: dict[tuple[str, DataCentre | None], list[RosterRecord]] = {}
        # Kept from version to version, as one instance that joins or leaves changes every
        # ranking, but only its own weights.
        self._weights: dict[str, dict[InstanceId, bytes]] = {}

    @property
    def size(self) -> int:
        """Number of instances that may admit requests, absent ones included."""
        return self._members.count()

    @property
    def version(self) -> int:
        """Increases when an instance joins, leaves or is reported as unreached."""
        return self._members.version

    @property
    def is_large(self) -> bool:
        """True if an equal part of a limit for each instance would be too small to use."""
        return self.size >= LARGE_FLEET

    @property
    def divides_rates(self) -> bool:
        """True if all instances divide the rates of workspaces among the data centres."""
        version, divides = self._divides_rates
        if version != self._members.version:
            version = self._members.version
            divides = all(record.divides_rates for record in self._members.roster())
            self._divides_rates = (version, divides)
        return divides

    def ranked_owners(
        self, subject: str, data_centre: DataCentre | None = None
    ) -> list[RosterRecord]:
        """Return the live instances that can own a subject, in their order.

        They are those of the data centre if it has any, otherwise of the fleet.

        Instances that are separated from most others are left out: they may have a lease, but
        the others could not use what they own.
        """
        ranked = self.ranked(subject, data_centre)
        version, separated = self._separated
        if version != self._members.version:
            version, separated = self._members.version, self._members.separated()
            self._separated = (version, separated)
        if not separated:
            return ranked
        return [record for record in ranked if record.instance not in separated] or ranked

    def lasting_instances(self, max_absence_s: float) -> dict[InstanceId, RosterRecord]:
        """Return the instances of the roster that are there, or away for a short time.

        Those that most others cannot reach, or that have been without a member record for
        longer than ``max_absence_s``, are left out.
        """
        excluded = self._members.separated()
        excluded |= {
            absence.record.instance
            for absence in self._members.absences()
            if absence.absent_s > max_absence_s
        }
        return {
            record.instance: record
            for record in self._members.roster()
            if record.instance not in excluded
        }

    def ranked_roster(
        self, subject: str, data_centre: DataCentre, *, max_absence_s: float
    ) -> list[RosterRecord]:
        """Return a data centre's lasting instances in their order for a subject."""
        found = {
            name: record
            for name, record in self.lasting_instances(max_absence_s).items()
            if record.data_centre == data_centre
        }
        return [found[name] for name in self.rank_names(subject, found)]

    def roster(self) -> dict[InstanceId, RosterRecord]:
        """Return all instances that have joined and whose entries were not deleted."""
        return {record.instance: record for record in self._members.roster()}

    def live_instances(self) -> dict[InstanceId, RosterRecord]:
        """Return the instances that hold a lease."""
        version, live = self._live
        if version != self._members.version:
            # Read before the members, so that a concurrent change causes another update.
            version = self._members.version
            names = {member.instance for member in self._members.members()}
            live = {
                record.instance: record
                for record in self._members.roster()
                if record.instance in names
            }
            self._rankings = {}
            self._live = (version, live)
        return live

    def ranked(self, subject: str, data_centre: DataCentre | None = None) -> list[RosterRecord]:
        """Return the live instances in their order for a subject.

        If the data centre has live instances, only those are returned.
        """
        live = self.live_instances()
        rankings = self._rankings
        key = (subject, data_centre)
        if key not in rankings:
            local = [name for name, record in live.items() if record.data_centre == data_centre]
            rankings[key] = [live[name] for name in self.rank_names(subject, local or live)]
        return rankings[key]

    def rank_names(self, subject: str, names: Collection[InstanceId]) -> list[InstanceId]:
        """Return the same as :func:`rank`, computing each weight once."""
        known = self._weights.get(subject, {})
        weights = {name: known.get(name) or _hash_weight(subject, name) for name in names}
        # Replaced as a whole, so that other threads see the old or the new weights.
        self._weights[subject] = known | weights if len(known) < MAX_KNOWN_WEIGHTS else weights
        return sorted(names, key=weights.__getitem__)
