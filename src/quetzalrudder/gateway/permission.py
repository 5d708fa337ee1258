"""The permission of an instance to use primaries, by its own lease or granted by peers.

A replaced primary may continue to serve requests. So an instance uses primaries only
while it holds a *permission*: its lease in the store was renewed recently enough, counted
from the moment the renewal was sent, or peers have granted it permission. The failover
coordinator waits until every instance has acknowledged a change of primary or has lost
its permission.
"""

import math
from dataclasses import dataclass

from quetzalrudder.utils import Clock

__all__ = [
    "ERA_SETTLING_S",
    "OUTAGE_LIMIT_S",
    "PEER_PERMISSION_S",
    "PERMISSION_S",
    "LeaseSpan",
    "Permission",
]

# TTL of the member lease, and time for which a renewal permits the use of primaries, less
# CLOCK_RATE_MARGIN_S. An instance that is cut off from the store and its peers delays a
# failover by as much; a failover has to finish within 7 s.
PERMISSION_S = 1.8
# Longest permission that an instance grants to a peer.
PEER_PERMISSION_S = 0.6
# Time for which instances without the store may grant each other permission: long enough to
# bridge an outage of the store.
OUTAGE_LIMIT_S = 20.0
# Subtracted from the permission that a lease grants, because clocks may run at different
# rates; the platform states no bound for the difference.
CLOCK_RATE_MARGIN_S = 0.2
# After a return of the store from an older copy: an instance that the store has lost, as it joined
# after the copy was made, has joined again after this time or may use no primary. What it obtained
# by its lease, or from a peer with one, has expired. Longer than a coordinator of the earlier era
# acts.
ERA_SETTLING_S = PERMISSION_S + PEER_PERMISSION_S


@dataclass(frozen=True)
class LeaseSpan:
    """The period for which a lease is known to have existed, in clock readings."""

    opened_at: float
    # When the last successful renewal was sent.
    renewed_at: float

    def proves_expiry(self, absent_since: float) -> bool:
        """Return whether another lease that went missing ran for its full TTL.

        The store may lose leases early, but then it loses all of them. This lease rules
        that out if it was opened at least one TTL before the absence and renewed after it.
        """
        return self.opened_at <= absent_since - PERMISSION_S and self.renewed_at >= absent_since


class Permission:
    """The right to use primaries, which expires by itself.

    Parameters
    ----------
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Not a clock reading, as the clock may start at boot.
        self._lease_valid_until = -math.inf
        self._granted_by_peers_until = -1.0
        self._revoked = False
        # True once primaries may have been used.
        self.was_granted = False
        # How often it has been granted while it was not valid.
        self.gaps = 0

    def extend_by_lease(self, sent_at: float) -> None:
        """Extend the permission after the store answered a renewal sent at ``sent_at``."""
        self._record_grant()
        self._lease_valid_until = max(
            self._lease_valid_until, sent_at + PERMISSION_S - CLOCK_RATE_MARGIN_S
        )

    def extend_by_peers(self, sent_at: float, valid_s: float) -> None:
        """Extend the permission after peers granted it on a request sent at ``sent_at``."""
        self._record_grant()
        self._granted_by_peers_until = max(self._granted_by_peers_until, sent_at + valid_s)

    def _record_grant(self) -> None:
        self.was_granted = True
        self.gaps += not self.valid

    def revoke(self) -> None:
        """Revoke the permission permanently."""
        self._revoked = True

    @property
    def valid(self) -> bool:
        """True while primaries may be used."""
        until = max(self._lease_valid_until, self._granted_by_peers_until)
        return not self._revoked and self._clock.monotonic() < until

    @property
    def remaining_s(self) -> float:
        """Seconds until the permission expires; negative afterwards."""
        until = max(self._lease_valid_until, self._granted_by_peers_until)
        return -1.0 if self._revoked else until - self._clock.monotonic()

    @property
    def lease_remaining_s(self) -> float:
        """Seconds until the permission granted by the lease expires; negative afterwards.

        Minus infinity if there was no lease yet.
        """
        return -1.0 if self._revoked else self._lease_valid_until - self._clock.monotonic()
