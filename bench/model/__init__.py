"""A model of the gateway's deployment: its real decisions before modelled databases and callers.

Time is virtual and every random choice is seeded, so a run repeats exactly. Instances run the
code of :mod:`quetzalrudder.gateway`; the store, the databases, the network and the callers are
modelled here.
"""

from bench.model.faults import Fault, KillInstances, LosePrimary, StoreOutage
from bench.model.fleet import FleetSettings, ModelFleet
from bench.model.groups import GroupSettings, ModelGroup
from bench.model.load import Kind, Load, LoadSettings
from bench.model.results import Ending, Operation, Results

__all__ = [
    "Ending",
    "Fault",
    "FleetSettings",
    "GroupSettings",
    "KillInstances",
    "Kind",
    "Load",
    "LoadSettings",
    "LosePrimary",
    "ModelFleet",
    "ModelGroup",
    "Operation",
    "Results",
    "StoreOutage",
]
