"""Who watches a database group, and what it takes to hold its primary for lost."""

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
MIN_INSTANCES = 2
MIN_DATA_CENTRES = 2


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Order names by a hash with a key: the same everywhere, different for each key.

    Examples
    --------
    >>> rendezvous("valuation-1", ["a", "b", "c"])
    ['a', 'c', 'b']
    """
    return sorted(names, key=lambda name: hashlib.sha256(f"{key}\n{name}".encode()).digest())


def watchers_of(
    group: GroupId, data_centres: Iterable[DataCentre], instances: Iterable[PeerInfo]
) -> list[PeerInfo]:
    """Choose the instances that watch a group and may propose a promotion in it.

    Parameters
    ----------
    group : GroupId
        The database group.
    data_centres : Iterable of DataCentre
        Where its databases stand; chosen before others.
    instances : Iterable of PeerInfo
        The fleet, without those that leave.

    Returns
    -------
    list of PeerInfo
        A few in each of a few data centres, however large the fleet is.
    """
    by_data_centre: dict[DataCentre, dict[str, PeerInfo]] = {}
    for info in instances:
        by_data_centre.setdefault(info.data_centre, {})[info.instance] = info
    near = set(data_centres) & set(by_data_centre)
    order = rendezvous(group, near) + rendezvous(group, set(by_data_centre) - near)
    chosen: list[PeerInfo] = []
    for data_centre in order[: max(len(near), WATCHING_DATA_CENTRES)]:
        found = by_data_centre[DataCentre(data_centre)]
        chosen += [found[n] for n in rendezvous(group, found)[:WATCHERS_PER_DATA_CENTRE]]
    return chosen


def proposal_order(group: GroupId, term: int, watchers: Iterable[PeerInfo]) -> list[InstanceId]:
    """Order the watchers that may propose the term after the given one."""
    names = rendezvous(f"{group}\n{term}", (info.instance for info in watchers))
    return [InstanceId(name) for name in names]


@dataclass(frozen=True)
class ReachabilityReport:
    """What one instance says of a primary."""

    instance: InstanceId
    data_centre: DataCentre
    reached: bool


class Reachability(Enum):
    """What reports amount to."""

    REACHABLE = "reached"
    UNREACHABLE = "unreached"
    INSUFFICIENT_EVIDENCE = "too-little-evidence"


def assess_reachability(
    reports: Iterable[ReachabilityReport], fleet: Iterable[PeerInfo]
) -> Reachability:
    """Weigh reports on a primary.

    One instance that reaches it is enough to keep it. To hold it for lost takes two
    instances in two data centres, or as many as the fleet has.

    Examples
    --------
    >>> assess_reachability([ReachabilityReport("bern-a-1", "bern-a", True)], [])
    <Reachability.REACHABLE: 'reached'>
    """
    reports = list(reports)
    if any(report.reached for report in reports):
        return Reachability.REACHABLE
    fleet = list(fleet)
    instances = {info.instance for info in fleet}
    data_centres = {info.data_centre for info in fleet}
    enough_instances = _enough({r.instance for r in reports}, instances, MIN_INSTANCES)
    enough_centres = _enough({r.data_centre for r in reports}, data_centres, MIN_DATA_CENTRES)
    if enough_instances and enough_centres:
        return Reachability.UNREACHABLE
    return Reachability.INSUFFICIENT_EVIDENCE


def _enough(found: set[str], listed: set[str], least: int) -> bool:
    return len(found) >= max(1, min(least, len(listed)))
