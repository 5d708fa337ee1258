"""The databases that this instance knows of, by group."""

import logging
import threading
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from quetzalrudder.models import DataCentre, GroupId, TargetId
from quetzalrudder.utils import Address, Clock

__all__ = ["LogPosition", "Target", "TargetRegistry", "TargetRole"]

log = logging.getLogger(__name__)

# A database's entry that is missing may have lapsed with the store and come back; the
# platform states "about two seconds".
MISSING_GRACE_S = 2.5


class LogPosition(NamedTuple):
    """A place in a group's log; positions of a later term are greater."""

    term: int
    index: int

    def __str__(self) -> str:
        return f"{self.term}.{self.index}"


class TargetRole(Enum):
    """What a database says of itself."""

    PRIMARY = "primary"
    REPLICA = "replica"


@dataclass(frozen=True)
class Target:
    """One database as it announced itself."""

    target: TargetId
    group: GroupId
    address: Address
    data_centre: DataCentre
    slots: int
    role: TargetRole
    draining: bool = False
    # Unix time of its start in ms; a restart under the same id has another one.
    started_unix_ms: int = 0


@dataclass
class _Entry:
    info: Target
    missing_since: float | None = None


class TargetRegistry:
    """The announced databases.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._entries: dict[TargetId, _Entry] = {}

    def update(self, info: Target) -> None:
        """Take a new or changed announcement."""
        with self._lock:
            known = self._entries.get(info.target)
            self._entries[info.target] = _Entry(info)
        if known is None or known.info != info:
            log.info(
                "target announced",
                extra={
                    "target": info.target,
                    "group": info.group,
                    "role": info.role.value,
                    "draining": info.draining,
                },
            )

    def remove(self, target: TargetId) -> None:
        """Note that an announcement is gone; one that did not drain may come back."""
        with self._lock:
            known = self._entries.get(target)
            if known is None or known.missing_since is not None:
                return
            if known.info.draining:
                del self._entries[target]
            else:
                known.missing_since = self._clock.monotonic()
        log.info("target gone", extra={"target": target, "drained": known.info.draining})

    def replace_all(self, infos: Iterable[Target]) -> None:
        """Take a full list of announcements."""
        listed = {info.target: info for info in infos}
        with self._lock:
            gone = [target for target in self._entries if target not in listed]
        for info in listed.values():
            self.update(info)
        for target in gone:
            self.remove(target)

    def get(self, target: TargetId) -> Target | None:
        """Look a target up."""
        with self._lock:
            self._drop_missing()
            entry = self._entries.get(target)
            return entry.info if entry is not None else None

    def targets_in_group(self, group: GroupId) -> list[Target]:
        """List the targets of a group, draining ones too."""
        with self._lock:
            self._drop_missing()
            return [entry.info for entry in self._entries.values() if entry.info.group == group]

    def all_targets(self) -> list[Target]:
        """List every target."""
        with self._lock:
            self._drop_missing()
            return [entry.info for entry in self._entries.values()]

    def _drop_missing(self) -> None:
        oldest = self._clock.monotonic() - MISSING_GRACE_S
        gone = [
            target
            for target, entry in self._entries.items()
            if entry.missing_since is not None and entry.missing_since < oldest
        ]
        for target in gone:
            del self._entries[target]
