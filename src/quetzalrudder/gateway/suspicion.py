"""Failure detection for primaries, as one instance sees them."""

import threading
from dataclasses import dataclass

from quetzalrudder.gateway.wakeups import WakeUp
from quetzalrudder.models import TargetId
from quetzalrudder.utils import Clock

__all__ = ["PrimaryMonitor"]

# A primary is suspected after this long without an answer and this many consecutive
# failures. A failover should take at most 2 s plus the time that the platform needs.
SUSPECT_AFTER_S = 0.5
SUSPECT_FAILURES = 2
# A primary that answered later than this is used in spite of failed connections: a busy one
# answers some and lets others wait.
DOWN_AFTER_SILENCE_S = 0.1
# A primary is probed after this long without an answer. This also bounds the age of its
# newest known position, as there are routes whose reads accept an age of 1,500 ms.
PROBE_AFTER_SILENCE_S = 0.8
# The same for a doubtful primary.
DOUBTFUL_PROBE_AFTER_SILENCE_S = 0.1
# A promoted database refuses writes during its promotion, which takes up to 1 s on the
# platform. One that refuses them for longer is not the primary.
MAX_READ_ONLY_S = 3.0


@dataclass
class _Contact:
    target: TargetId
    last_answer_at: float
    failures: int = 0
    # When the first of these failures was noticed.
    failing_since: float | None = None
    read_only_since: float | None = None
    # True if the primary has not answered yet, a connection to it failed or another
    # instance suspects it. Only a probe shows whether it is still available.
    doubtful: bool = True


class PrimaryMonitor:
    """Detects the failure of one group's primary from its answers and connections.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._contact: _Contact | None = None
        # Ends the wait of the health check when the primary becomes doubtful.
        self.wake_up = WakeUp()

    def _contact_with(self, target: TargetId) -> _Contact:
        if self._contact is None or self._contact.target != target:
            self._contact = _Contact(target, self._clock.monotonic())
        return self._contact

    def record_answer(self, target: TargetId) -> None:
        """Record that the primary answered, with a result or an error."""
        with self._lock:
            contact = self._contact_with(target)
            contact.last_answer_at = self._clock.monotonic()
            contact.failures = 0
            contact.failing_since = None
            contact.read_only_since = None
            contact.doubtful = False

    def mark_doubtful(self, target: TargetId) -> None:
        """Record that a connection broke or that another instance suspects the primary."""
        with self._lock:
            contact = self._contact_with(target)
            was_doubtful, contact.doubtful = contact.doubtful, True
        if not was_doubtful:
            self.wake_up.set()

    def is_probe_due(self, target: TargetId) -> bool:
        """Return whether the primary should be probed now."""
        return self.next_probe_s(target) <= 0

    def next_probe_s(self, target: TargetId) -> float:
        """Return the seconds until the primary should be probed; 0 or less if it is due."""
        with self._lock:
            contact = self._contact_with(target)
            silent_s = self._clock.monotonic() - contact.last_answer_at
            probe_after_s = (
                DOUBTFUL_PROBE_AFTER_SILENCE_S if contact.doubtful else PROBE_AFTER_SILENCE_S
            )
            return probe_after_s - silent_s

    def record_not_primary(self, target: TargetId) -> None:
        """Record that the database reports that it is not the primary."""
        with self._lock:
            contact = self._contact_with(target)
            contact.last_answer_at = self._clock.monotonic()
            contact.failures = 0
            contact.failing_since = None
            if contact.read_only_since is None:
                contact.read_only_since = contact.last_answer_at

    def record_failure(self, target: TargetId) -> None:
        """Record that a new connection was refused or did not answer in time.

        Time-outs on older connections do not count: they may hang while new ones work.
        """
        with self._lock:
            contact = self._contact_with(target)
            contact.failures += 1
            if contact.failing_since is None:
                contact.failing_since = self._clock.monotonic()
            contact.doubtful = True
        self.wake_up.set()

    def failing_since(self, target: TargetId) -> float | None:
        """Return the clock reading since which connections to the primary fail; else None."""
        with self._lock:
            contact = self._contact
            if contact is None or contact.target != target:
                return None
            return contact.failing_since

    def is_down(self, target: TargetId) -> bool:
        """Return whether statements need not try the primary, as only probes do.

        Several new connections have failed and nothing has answered since.
        """
        with self._lock:
            contact = self._contact
            return (
                contact is not None
                and contact.target == target
                and contact.failures >= SUSPECT_FAILURES
                and self._clock.monotonic() - contact.last_answer_at >= DOWN_AFTER_SILENCE_S
            )

    def silent_s(self, target: TargetId) -> float:
        """Return the seconds since the last answer."""
        with self._lock:
            return self._clock.monotonic() - self._contact_with(target).last_answer_at

    def is_suspect(self, target: TargetId) -> bool:
        """Return whether this instance considers the primary failed."""
        with self._lock:
            contact = self._contact_with(target)
            now = self._clock.monotonic()
            if (
                contact.read_only_since is not None
                and now - contact.read_only_since > MAX_READ_ONLY_S
            ):
                return True
            silent_s = now - contact.last_answer_at
            return contact.failures >= SUSPECT_FAILURES and silent_s >= SUSPECT_AFTER_S
