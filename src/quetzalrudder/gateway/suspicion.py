"""Whether this instance has lost a primary."""

import threading
from dataclasses import dataclass

from quetzalrudder.models import TargetId
from quetzalrudder.utils import Clock

__all__ = ["PrimaryMonitor"]

# Failures in a row, spread over at least this long, that make a primary suspect.
# The aim is a failover within 2 s plus the platform's own time.
SUSPECT_AFTER_S = 0.5
SUSPECT_FAILURES = 2
# A primary is asked once no answer of it has come for this long. It also bounds the age
# of the newest known position, for routes whose reads accept 1,500 ms.
QUIET_S = 0.8
# The same for a primary that is new here or to which a connection broke.
DOUBTED_QUIET_S = 0.1
# A promoted database refuses writes for the time of its promotion, up to 1 s here. One
# that refuses them for longer does not lead.
READ_ONLY_S = 3.0


@dataclass
class _Contact:
    target: TargetId
    last_answer: float
    failures: int = 0
    read_only_since: float | None = None
    # Set for a primary that has not answered yet, and by a connection that broke: only a
    # question tells more.
    doubted: bool = True


class PrimaryMonitor:
    """Counts the failures of one group's primary since its last answer.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._contact: _Contact | None = None

    def _of(self, target: TargetId) -> _Contact:
        if self._contact is None or self._contact.target != target:
            self._contact = _Contact(target, self._clock.monotonic())
        return self._contact

    def record_answer(self, target: TargetId) -> None:
        """Note an answer, of whatever kind."""
        with self._lock:
            contact = self._of(target)
            contact.last_answer = self._clock.monotonic()
            contact.failures = 0
            contact.read_only_since = None
            contact.doubted = False

    def mark_doubtful(self, target: TargetId) -> None:
        """Note that a connection broke, or that another instance has lost the primary."""
        with self._lock:
            self._of(target).doubted = True

    def is_probe_due(self, target: TargetId) -> bool:
        """Tell whether the primary should be asked now."""
        with self._lock:
            contact = self._of(target)
            silent_s = self._clock.monotonic() - contact.last_answer
            return silent_s >= (DOUBTED_QUIET_S if contact.doubted else QUIET_S)

    def record_not_primary(self, target: TargetId) -> None:
        """Note that the database says that it does not lead."""
        with self._lock:
            contact = self._of(target)
            contact.last_answer = self._clock.monotonic()
            contact.failures = 0
            if contact.read_only_since is None:
                contact.read_only_since = contact.last_answer

    def record_failure(self, target: TargetId) -> None:
        """Note a new connection that was refused or gave no answer in time.

        An old connection may be silent while new ones work, and is no sign.
        """
        with self._lock:
            contact = self._of(target)
            contact.failures += 1
            contact.doubted = True

    def silent_s(self, target: TargetId) -> float:
        """Seconds since the last answer."""
        with self._lock:
            return self._clock.monotonic() - self._of(target).last_answer

    def is_suspect(self, target: TargetId) -> bool:
        """Tell whether the primary is lost as far as this instance can see."""
        with self._lock:
            contact = self._of(target)
            now = self._clock.monotonic()
            if contact.read_only_since is not None and now - contact.read_only_since > READ_ONLY_S:
                return True
            silent_s = now - contact.last_answer
            return contact.failures >= SUSPECT_FAILURES and silent_s >= SUSPECT_AFTER_S
