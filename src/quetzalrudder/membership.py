"""Who else is in the fleet: the platform's lagging list joined with what this instance sees."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from quetzalrudder.models import DataCentre, InstanceId, TargetId
from quetzalrudder.schema.peers import Departure, DepartureKind
from quetzalrudder.schema.platform import InstanceEntry
from quetzalrudder.utils import Address, Clock, SystemClock, parse_address

__all__ = ["Membership", "PeerInfo", "neighbours"]

# Peers in the own data centre, and in each other one, that an instance keeps in touch with.
LOCAL_FAN_OUT = 3
REMOTE_FAN_OUT = 1
# How long a departure is passed on; the platform's list has caught up by then.
DEPARTURE_RETENTION_S = 60
SEED_PREFIX = "seed "
US_PER_S = 1_000_000


@dataclass(frozen=True)
class PeerInfo:
    """Where another instance is."""

    instance: InstanceId
    data_centre: DataCentre
    control_address: Address
    leaving: bool = False


def neighbours(rank: int, ring: list[InstanceId], count: int) -> list[InstanceId]:
    """Give the members of a sorted ring from a rank on.

    Examples
    --------
    >>> neighbours(2, ["a", "b", "c"], 2)
    ['c', 'a']
    """
    ring = sorted(ring)
    return [ring[(rank + n) % len(ring)] for n in range(min(count, len(ring)))]


class Membership:
    """The instances of the fleet; safe to use from any thread.

    Parameters
    ----------
    instance, data_centre
        This instance.
    clock : Clock, optional
        Source of wall time.
    seeds : iterable of Address
        Instances to ask while no list is known.
    """

    def __init__(
        self,
        instance: InstanceId,
        data_centre: DataCentre,
        clock: Clock | None = None,
        seeds: Iterable[Address] = (),
    ) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._clock: Clock = clock or SystemClock()
        self._lock = threading.Lock()
        self._listed: dict[InstanceId, PeerInfo] = {}
        self._seeds = [
            PeerInfo(InstanceId(f"{SEED_PREFIX}{address}"), DataCentre(""), address)
            for address in seeds
        ]
        # Wall time of each announcement, in microseconds.
        self._departures: dict[tuple[DepartureKind, str], int] = {}
        self._present_at: dict[str, int] = {}
        self._list_number = 0
        self._chosen: list[PeerInfo] = []
        self._chosen_for: tuple[int, frozenset[str]] | None = None
        # Called with each target that is newly known to leave.
        self.on_target_leaving: Callable[[TargetId], None] = lambda target: None

    def set_platform_list(self, entries: list[InstanceEntry]) -> None:
        """Take over the platform's list."""
        listed = {
            InstanceId(entry.instance): PeerInfo(
                InstanceId(entry.instance),
                DataCentre(entry.data_centre),
                parse_address(entry.control_address, place=entry.instance),
                entry.leaving,
            )
            for entry in entries
        }
        with self._lock:
            self._listed = listed
            self._list_number += 1

    def instances(self) -> list[PeerInfo]:
        """Give every listed instance, this one included."""
        with self._lock:
            return list(self._listed.values())

    def local_instance_count(self) -> int:
        """Count the instances of this data centre, this one included."""
        found = (i for i in self.instances() if i.data_centre == self._data_centre)
        return max(1, sum(1 for _ in found))

    def peers(self) -> list[PeerInfo]:
        """Give every listed instance but this one."""
        return [info for info in self.instances() if info.instance != self._instance]

    def find(self, instance: InstanceId) -> PeerInfo | None:
        """Find an instance in the list, or a seed."""
        with self._lock:
            found = self._listed.get(instance)
        return found or next((seed for seed in self._seeds if seed.instance == instance), None)

    def announce_departure(self, kind: DepartureKind, name: str) -> None:
        """Note that an instance or a target leaves, ahead of the platform's list."""
        now_us = int(self._clock.wall() * US_PER_S)
        self._add_departures([Departure(kind=kind, name=name, wall_us=now_us)])

    def merge_departures(self, departures: Iterable[Departure]) -> None:
        """Take over what a peer knows of departures; old ones and the own one are dropped."""
        own = (DepartureKind.INSTANCE, self._instance)
        self._add_departures(d for d in departures if (d.kind, d.name) != own)

    def _add_departures(self, departures: Iterable[Departure]) -> None:
        oldest_us = (self._clock.wall() - DEPARTURE_RETENTION_S) * US_PER_S
        new_targets: list[TargetId] = []
        with self._lock:
            for departure in departures:
                key = (departure.kind, departure.name)
                returned = self._present_at.get(departure.name, 0) >= departure.wall_us
                if departure.wall_us >= oldest_us and not returned:
                    if key not in self._departures and key[0] is DepartureKind.TARGET:
                        new_targets.append(TargetId(departure.name))
                    at_us = max(self._departures.get(key, 0), departure.wall_us)
                    self._departures[key] = at_us
        for target in new_targets:
            self.on_target_leaving(target)

    def departures(self) -> list[Departure]:
        """Give the departures that are recent enough to be told."""
        oldest_us = (self._clock.wall() - DEPARTURE_RETENTION_S) * US_PER_S
        with self._lock:
            kept = {key: at_us for key, at_us in self._departures.items() if at_us >= oldest_us}
            self._departures = kept
        return [Departure(kind, name, at_us) for (kind, name), at_us in sorted(kept.items())]

    def record_presence(self, instance: InstanceId) -> None:
        """Note that an instance is there, so that an earlier departure is over."""
        key = (DepartureKind.INSTANCE, instance)
        with self._lock:
            if self._departures.pop(key, None) is not None:
                self._present_at[instance] = int(self._clock.wall() * US_PER_S)

    def fan_out_peers(self) -> list[PeerInfo]:
        """Choose the few peers to keep in touch with, in every data centre.

        An instance takes its rank among the instances of its own data centre and
        chooses from that rank on, so that every instance is chosen by about as many
        as it chooses, and the number does not grow with the fleet. Leaving instances
        are left out; the seeds stand in while no list is known.
        """
        left = {d.name for d in self.departures() if d.kind is DepartureKind.INSTANCE}
        with self._lock:
            basis = (self._list_number, frozenset(left))
            if basis != self._chosen_for:
                self._chosen = self._choose(left)
                self._chosen_for = basis
            return self._chosen

    def _choose(self, left: set[str]) -> list[PeerInfo]:
        listed = [info for info in self._listed.values() if info.instance != self._instance]
        peers = [p for p in listed if not p.leaving and p.instance not in left]
        if not peers:
            return list(self._seeds)
        by_name = {info.instance: info for info in peers}
        local = sorted(i.instance for i in peers if i.data_centre == self._data_centre)
        rank = sum(1 for name in local if name < self._instance)
        chosen = neighbours(rank, local, LOCAL_FAN_OUT)
        for data_centre in sorted({info.data_centre for info in peers} - {self._data_centre}):
            ring = [info.instance for info in peers if info.data_centre == data_centre]
            chosen += neighbours(rank, ring, REMOTE_FAN_OUT)
        return [by_name[name] for name in chosen]
