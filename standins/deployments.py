"""The two existing deployments, as plain data."""

from dataclasses import dataclass

__all__ = ["HOCHZEITSRAUM", "STEPPE", "Deployment"]


@dataclass(frozen=True)
class Deployment:
    """Data centres, database groups and workspaces of one deployment."""

    name: str
    data_centres: tuple[str, ...]
    groups: tuple[str, ...]
    databases_per_group: int
    slots: int
    connection_limit: int
    workspaces: tuple[str, ...]
    instances_per_data_centre: int = 2

    def targets(self) -> list[tuple[str, str, str]]:
        """Return (group, target, data centre) of every target, spread over data centres."""
        targets = []
        for g, group in enumerate(self.groups):
            for d in range(self.databases_per_group):
                data_centre = self.data_centres[(g + d) % len(self.data_centres)]
                targets.append((group, f"{group}-{'abc'[d]}", data_centre))
        return targets

    def instances(self) -> list[tuple[str, str]]:
        """Return (instance, data centre) of every instance."""
        return [
            (f"{data_centre}-{n + 1}", data_centre)
            for data_centre in self.data_centres
            for n in range(self.instances_per_data_centre)
        ]


STEPPE = Deployment(
    name="steppe",
    data_centres=("astana-a", "astana-b", "karaganda", "pavlodar"),
    groups=("valuation-core-1", "valuation-core-2", "valuation-core-3"),
    databases_per_group=3,
    slots=3,
    connection_limit=20,
    workspaces=tuple(f"steppe/branch-{n}" for n in range(1, 9)),
)

HOCHZEITSRAUM = Deployment(
    name="venues",
    data_centres=("bern-a", "zurich-b", "basel-c"),
    groups=("venue-ledger-1", "venue-ledger-2", "venue-ledger-3"),
    databases_per_group=3,
    slots=3,
    connection_limit=40,
    workspaces=tuple(f"venues/hall-{n}" for n in range(1, 9)),
)
