"""Faults of a model run, at set times."""

from dataclasses import dataclass

from bench.model.fleet import ModelFleet
from quetzalrudder.models import DataCentre, GroupId

__all__ = ["CutDataCentre", "Fault", "KillInstances", "LosePrimary", "StoreOutage", "schedule"]

FAULT_OWNER = "faults"


@dataclass(frozen=True)
class KillInstances:
    """Instances end at once and start again after a while; all of them by default."""

    at_s: float
    down_s: float = 1.2
    power_loss: bool = False
    count: int = 0


@dataclass(frozen=True)
class LosePrimary:
    """The primary of a group crashes for good."""

    at_s: float
    group: str = "g0"


@dataclass(frozen=True)
class StoreOutage:
    """The store answers nobody."""

    at_s: float
    for_s: float


@dataclass(frozen=True)
class CutDataCentre:
    """A data centre is cut off from the others and from the store."""

    at_s: float
    for_s: float
    data_centre: str


Fault = KillInstances | LosePrimary | StoreOutage | CutDataCentre


def schedule(fleet: ModelFleet, fault: Fault, started_at: float) -> None:
    """Schedule a fault; its times count from the start of the load."""

    def at(seconds: float, action: object) -> None:
        fleet.time.call_at(started_at + seconds, FAULT_OWNER, action)

    match fault:
        case KillInstances(at_s, down_s, power_loss, count):
            names = list(fleet.instances)[: count or None]
            for name in names:
                at(at_s, lambda name=name: fleet.kill(name, power_loss=power_loss))
                at(at_s + down_s, lambda name=name: fleet.restart(name))
        case LosePrimary(at_s, group):
            at(at_s, lambda: _crash_primary(fleet, GroupId(group)))
        case StoreOutage(at_s, for_s):
            at(at_s, lambda: setattr(fleet, "store_up", False))
            at(at_s + for_s, lambda: setattr(fleet, "store_up", True))
        case CutDataCentre(at_s, for_s, data_centre):
            at(at_s, lambda: fleet.cut.add(DataCentre(data_centre)))
            at(at_s + for_s, lambda: fleet.cut.discard(DataCentre(data_centre)))


def _crash_primary(fleet: ModelFleet, group: GroupId) -> None:
    primary = fleet.groups[group].primary
    if primary is not None:
        primary.crash()
