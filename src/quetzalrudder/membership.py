"""Who else is in the fleet: the platform's lagging list joined with what this instance sees."""

import threading
from dataclasses import dataclass

from quetzalrudder.models import DataCentre, InstanceId
from quetzalrudder.schema.platform import InstanceEntry
from quetzalrudder.utils import Address, parse_address

__all__ = ["Membership", "PeerInfo", "neighbours"]

# Peers in the own data centre, and in each other one, that an instance keeps in touch with.
LOCAL_FAN_OUT = 3
REMOTE_FAN_OUT = 1


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
    """

    def __init__(self, instance: InstanceId, data_centre: DataCentre) -> None:
        self._instance = instance
        self._data_centre = data_centre
        self._lock = threading.Lock()
        self._listed: dict[InstanceId, PeerInfo] = {}

    def set_list(self, entries: list[InstanceEntry]) -> None:
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

    def instances(self) -> list[PeerInfo]:
        """Give every listed instance, this one included."""
        with self._lock:
            return list(self._listed.values())

    def peers(self) -> list[PeerInfo]:
        """Give every listed instance but this one."""
        return [info for info in self.instances() if info.instance != self._instance]

    def find(self, instance: InstanceId) -> PeerInfo | None:
        """Find an instance in the list."""
        with self._lock:
            return self._listed.get(instance)

    def fan_out(self) -> list[PeerInfo]:
        """Choose the few peers to keep in touch with, in every data centre.

        An instance takes its rank among the instances of its own data centre and
        chooses from that rank on, so that every instance is chosen by about as many
        as it chooses, and the number does not grow with the fleet.
        """
        peers = self.peers()
        by_name = {info.instance: info for info in peers}
        local = [info.instance for info in peers if info.data_centre == self._data_centre]
        rank = sum(1 for name in local if name < self._instance)
        chosen = neighbours(rank, local, LOCAL_FAN_OUT)
        for data_centre in sorted({info.data_centre for info in peers} - {self._data_centre}):
            ring = [info.instance for info in peers if info.data_centre == data_centre]
            chosen += neighbours(rank, ring, REMOTE_FAN_OUT)
        return [by_name[name] for name in chosen]
