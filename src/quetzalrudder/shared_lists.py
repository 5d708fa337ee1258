"""The platform's lists of instances and groups, sent between instances as differences."""

import hashlib
import threading
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from quetzalrudder.schema.peers import ListsUpdate
from quetzalrudder.schema.platform import Group, InstanceEntry

__all__ = ["PlatformLists", "SharedLists"]

# Versions from which differences can be built; an instance with an older one gets whole lists.
MAX_KEPT_VERSIONS = 32
DIGEST_BYTES = 8

# Hybrid logical time: wall time in microseconds and logical counter.
Stamp = tuple[int, int]


@dataclass(frozen=True)
class PlatformLists:
    """One version of the lists of instances and groups, by name."""

    instances: dict[str, InstanceEntry] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)

    def digest(self) -> bytes:
        """Return a digest of the content, independent of the order of entries."""
        hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for entries in (self.instances, self.groups):
            for name in sorted(entries):
                hasher.update(bytes(entries[name]))
            hasher.update(b"/")
        return hasher.digest()


class SharedLists:
    """The newest known lists; older lists never replace newer ones.

    Parameters
    ----------
    on_change : Callable
        Called with the new lists when their content has changed.
    """

    def __init__(self, on_change: Callable[[PlatformLists], None]) -> None:
        self._on_change = on_change
        self._lock = threading.Lock()
        self._lists = PlatformLists()
        self._versions: OrderedDict[bytes, PlatformLists] = OrderedDict()
        self.digest = b""
        # Time of the latest request to which the platform returned lists with this content.
        self.stamp: Stamp = (0, 0)

    @property
    def known(self) -> bool:
        """Whether any lists have been received."""
        return self.stamp != (0, 0)

    def replace_if_newer(self, lists: PlatformLists, stamp: Stamp) -> bool:
        """Replace the lists by those read at a stamp; return False if newer ones are known."""
        digest = lists.digest()
        with self._lock:
            if stamp <= self.stamp:
                return False
            self.stamp = stamp
            if digest == self.digest:
                return True
            self._lists = lists
            self.digest = digest
            self._versions[digest] = lists
            while len(self._versions) > MAX_KEPT_VERSIONS:
                self._versions.popitem(last=False)
        self._on_change(lists)
        return True

    def confirm(self, digest: bytes, stamp: Stamp) -> None:
        """Record that the content with a digest was still current at a later stamp."""
        with self._lock:
            if digest == self.digest and stamp > self.stamp:
                self.stamp = stamp

    def build_update(self, base_digest: bytes) -> ListsUpdate:
        """Return what changed since the version with a digest; whole lists if it is unknown."""
        with self._lock:
            base = self._versions.get(base_digest)
            lists, digest, stamp = self._lists, self.digest, self.stamp
        old = base or PlatformLists()
        return ListsUpdate(
            whole=base is None,
            lists_digest=digest,
            lists_wall_us=stamp[0],
            lists_logical=stamp[1],
            instances=[e for n, e in lists.instances.items() if old.instances.get(n) != e],
            removed_instances=[n for n in old.instances if n not in lists.instances],
            groups=[g for n, g in lists.groups.items() if old.groups.get(n) != g],
            removed_groups=[n for n in old.groups if n not in lists.groups],
        )

    def apply_update(self, update: ListsUpdate) -> bool:
        """Apply another instance's update; return False if it is older or its digest differs."""
        old = PlatformLists() if update.whole else self._lists
        instances = {n: e for n, e in old.instances.items() if n not in update.removed_instances}
        groups = {n: g for n, g in old.groups.items() if n not in update.removed_groups}
        instances |= {entry.instance: entry for entry in update.instances}
        groups |= {group.group: group for group in update.groups}
        lists = PlatformLists(instances, groups)
        if lists.digest() != update.lists_digest:
            return False
        return self.replace_if_newer(lists, (update.lists_wall_us, update.lists_logical))
