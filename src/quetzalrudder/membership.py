"""Membership of the fleet: the platform's list, which lags, and announced departures."""

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from quetzalrudder.models import DataCentre, InstanceId, TargetId
from quetzalrudder.schema.peers import Departure, DepartureKind
from quetzalrudder.schema.platform import InstanceEntry
from quetzalrudder.utils import Address, Clock, SystemClock, parse_address

__all__ = ["Membership", "PeerInfo", "neighbours"]

# Peers with which an instance exchanges digests, in its own and in each other data centre.
LOCAL_FAN_OUT = 3
REMOTE_FAN_OUT = 1
# How long a departure is forwarded to peers; the platform's list contains it by then.
DEPARTURE_RETENTION_S = 60
SEED_PREFIX = "seed "
US_PER_S = 1_000_000


@dataclass(frozen=True)
class PeerInfo:
    """Name, data centre and control address of an instance."""

    instance: InstanceId
    data_centre: DataCentre
    control_address: Address
    leaving: bool = False


def neighbours(rank: int, ring: list[InstanceId], count: int) -> list[InstanceId]:
    """Return up to ``count`` members of a sorted ring, starting at a rank.

    Examples
    --------
    >>> neighbours(2, ["a", "b", "c"], 2)
    ['c', 'a']
    """
    ring = sorted(ring)
    return [ring[(rank + n) % len(ring)] for n in range(min(count, len(ring)))]


class Membership:
    """The instances of the fleet; thread-safe.

    Parameters
    ----------
    instance, data_centre
        This instance.
    clock : Clock, optional
        Source of wall time.
    seeds : iterable of Address
        Control addresses of instances to contact while no list is known.
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
        self._instances: dict[InstanceId, PeerInfo] = {}
        self._seeds = [
            PeerInfo(InstanceId(f"{SEED_PREFIX}{address}"), DataCentre(""), address)
            for address in seeds
        ]
        # Wall time of each departure's announcement, in microseconds.
        self._departures: dict[tuple[DepartureKind, str], int] = {}
        # Wall time at which a departed instance was seen again, in microseconds.
        self._returned_at: dict[str, int] = {}
        self._list_version = 0
        self._fan_out: list[PeerInfo] = []
        # List version and departed instances for which the fan-out peers were selected.
        self._fan_out_basis: tuple[int, frozenset[str]] | None = None
        # Called with each target whose departure was not known before.
        self.on_target_leaving: Callable[[TargetId], None] = lambda target: None

    def set_platform_list(self, entries: list[InstanceEntry]) -> None:
        """Replace the known instances by the platform's list."""
        instances = {
            InstanceId(entry.instance): PeerInfo(
                InstanceId(entry.instance),
                DataCentre(entry.data_centre),
                parse_address(entry.control_address, place=entry.instance),
                entry.leaving,
            )
            for entry in entries
        }
        with self._lock:
            self._instances = instances
            self._list_version += 1

    def instances(self) -> list[PeerInfo]:
        """Return all listed instances, including this one."""
        with self._lock:
            return list(self._instances.values())

    def local_instance_count(self) -> int:
        """Return the number of instances in this data centre, including this one."""
        local = (i for i in self.instances() if i.data_centre == self._data_centre)
        return max(1, sum(1 for _ in local))

    def peers(self) -> list[PeerInfo]:
        """Return all listed instances except this one."""
        return [info for info in self.instances() if info.instance != self._instance]

    def find(self, instance: InstanceId) -> PeerInfo | None:
        """Return a listed instance or a seed by its name; None if it is unknown."""
        with self._lock:
            info = self._instances.get(instance)
        return info or next((seed for seed in self._seeds if seed.instance == instance), None)

    def announce_departure(self, kind: DepartureKind, name: str) -> None:
        """Record that an instance or a target leaves, before the platform's list shows it."""
        now_us = int(self._clock.wall() * US_PER_S)
        self._add_departures([Departure(kind=kind, name=name, wall_us=now_us)])

    def merge_departures(self, departures: Iterable[Departure]) -> None:
        """Add departures received from a peer, except expired ones and this instance's own."""
        own_departure = (DepartureKind.INSTANCE, self._instance)
        self._add_departures(d for d in departures if (d.kind, d.name) != own_departure)

    def _add_departures(self, departures: Iterable[Departure]) -> None:
        oldest_us = (self._clock.wall() - DEPARTURE_RETENTION_S) * US_PER_S
        new_targets: list[TargetId] = []
        with self._lock:
            for departure in departures:
                key = (departure.kind, departure.name)
                returned = self._returned_at.get(departure.name, 0) >= departure.wall_us
                if departure.wall_us >= oldest_us and not returned:
                    if key not in self._departures and key[0] is DepartureKind.TARGET:
                        new_targets.append(TargetId(departure.name))
                    at_us = max(self._departures.get(key, 0), departure.wall_us)
                    self._departures[key] = at_us
        for target in new_targets:
            self.on_target_leaving(target)

    def departures(self) -> list[Departure]:
        """Drop expired departures and return the others."""
        oldest_us = (self._clock.wall() - DEPARTURE_RETENTION_S) * US_PER_S
        with self._lock:
            recent = {key: at_us for key, at_us in self._departures.items() if at_us >= oldest_us}
            self._departures = recent
        return [Departure(kind, name, at_us) for (kind, name), at_us in sorted(recent.items())]

    def record_presence(self, instance: InstanceId) -> None:
        """Record that an instance is present, which ends an earlier departure."""
        key = (DepartureKind.INSTANCE, instance)
        with self._lock:
            if self._departures.pop(key, None) is not None:
                self._returned_at[instance] = int(self._clock.wall() * US_PER_S)

    def fan_out_peers(self) -> list[PeerInfo]:
        """Return the peers with which this instance exchanges digests.

        There are a few in every data centre. The selection starts at this instance's rank
        among the instances of its data centre. Every instance is therefore selected by
        about as many peers as it selects, and the number does not grow with the fleet.
        Leaving instances are skipped. The seeds are returned while no list is known.
        """
        departed = {d.name for d in self.departures() if d.kind is DepartureKind.INSTANCE}
        with self._lock:
            basis = (self._list_version, frozenset(departed))
            if basis != self._fan_out_basis:
                self._fan_out = self._select_fan_out(departed)
                self._fan_out_basis = basis
            return self._fan_out

    def _select_fan_out(self, departed: set[str]) -> list[PeerInfo]:
        others = [info for info in self._instances.values() if info.instance != self._instance]
        peers = [p for p in others if not p.leaving and p.instance not in departed]
        if not peers:
            return list(self._seeds)
        by_name = {info.instance: info for info in peers}
        local = sorted(i.instance for i in peers if i.data_centre == self._data_centre)
        rank = sum(1 for name in local if name < self._instance)
        selected = neighbours(rank, local, LOCAL_FAN_OUT)
        for data_centre in sorted({info.data_centre for info in peers} - {self._data_centre}):
            ring = [info.instance for info in peers if info.data_centre == data_centre]
            selected += neighbours(rank, ring, REMOTE_FAN_OUT)
        return [by_name[name] for name in selected]
