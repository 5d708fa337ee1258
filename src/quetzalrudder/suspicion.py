"""Watchers of a database group, and the evidence needed to declare its primary lost."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from quetzalrudder.membership import PeerInfo
from quetzalrudder.models import DataCentre, GroupId, InstanceId

__all__ = [
    "ReachabilityReport",
    "Reachability",
    "assess_reachability",
    "proposal_order",
    "rendezvous",
    "watchers_of",
]

WATCHING_DATA_CENTRES = 4
WATCHERS_PER_DATA_CENTRE = 2
# Instances and data centres that must report a primary as unreachable before it is declared lost;
# all of them if the fleet has fewer.
MIN_REPORTING_INSTANCES = 2
MIN_REPORTING_DATA_CENTRES = 2


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing: equal on all instances, different for each key.

    Examples
    --------
    >>> rendezvous("valuation-1", ["a", "b", "c"])
    ['a', 'c', 'b']
    """
    return sorted(names, key=lambda name: hashlib.sha256(f"{key}\n{name}".encode()).digest())


def watchers_of(
    group: GroupId, data_centres: Iterable[DataCentre], instances: Iterable[PeerInfo]
) -> list[PeerInfo]:
    """Select the instances that watch a group and may propose a promotion in it.

    Parameters
    ----------
    group : GroupId
        The database group.
    data_centres : Iterable of DataCentre
        Data centres of the group's databases, which are all selected. Others are added
        until there are ``WATCHING_DATA_CENTRES``.
    instances : Iterable of PeerInfo
        The instances of the fleet that are not leaving.

    Returns
    -------
    list of PeerInfo
        Up to ``WATCHERS_PER_DATA_CENTRE`` instances in each selected data centre, so
        that the number does not grow with the fleet.
    """
    by_data_centre: dict[DataCentre, dict[str, PeerInfo]] = {}
    for info in instances:
        by_data_centre.setdefault(info.data_centre, {})[info.instance] = info
    local = set(data_centres) & set(by_data_centre)
    order = rendezvous(group, local) + rendezvous(group, set(by_data_centre) - local)
    watchers: list[PeerInfo] = []
    for data_centre in order[: max(len(local), WATCHING_DATA_CENTRES)]:
        candidates = by_data_centre[DataCentre(data_centre)]
        watchers += [
            candidates[n] for n in rendezvous(group, candidates)[:WATCHERS_PER_DATA_CENTRE]
        ]
    return watchers


def proposal_order(group: GroupId, term: int, watchers: Iterable[PeerInfo]) -> list[InstanceId]:
    """Return the order in which watchers propose the term after the given one."""
    names = rendezvous(f"{group}\n{term}", (info.instance for info in watchers))
    return [InstanceId(name) for name in names]


@dataclass(frozen=True)
class ReachabilityReport:
    """Whether one instance reaches a primary."""

    instance: InstanceId
    data_centre: DataCentre
    reached: bool


class Reachability(Enum):
    """Assessment of a primary by the reports of several instances."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    INSUFFICIENT_EVIDENCE = "insufficient-evidence"


def assess_reachability(
    reports: Iterable[ReachabilityReport], fleet: Iterable[PeerInfo]
) -> Reachability:
    """Assess whether a primary is lost, by the reports of several instances.

    A primary that at least one instance reaches is kept. It is declared unreachable only
    by at least two instances in at least two data centres. If the fleet has fewer
    instances or data centres, all of them are needed.

    Examples
    --------
    >>> assess_reachability([ReachabilityReport("bern-a-1", "bern-a", True)], [])
    <Reachability.REACHABLE: 'reachable'>
    """
    reports = list(reports)
    if any(report.reached for report in reports):
        return Reachability.REACHABLE
    fleet = list(fleet)
    instances = {info.instance for info in fleet}
    data_centres = {info.data_centre for info in fleet}
    enough_instances = _is_enough({r.instance for r in reports}, instances, MIN_REPORTING_INSTANCES)
    enough_data_centres = _is_enough(
        {r.data_centre for r in reports}, data_centres, MIN_REPORTING_DATA_CENTRES
    )
    if enough_instances and enough_data_centres:
        return Reachability.UNREACHABLE
    return Reachability.INSUFFICIENT_EVIDENCE


def _is_enough(reporting: set[str], existing: set[str], minimum: int) -> bool:
    return len(reporting) >= max(1, min(minimum, len(existing)))
