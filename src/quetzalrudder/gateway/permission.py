"""Whether an instance may use primaries, by the store's word or by its peers'.

An old primary goes on serving after it was replaced. So an instance uses a primary only
with a *permission*: its own lease in the store was renewed recently enough, counted from
the moment the renewal was sent, or peers answer for it. Whoever changes a primary waits
until every instance has acknowledged the change or its permission has run out.
"""

from dataclasses import dataclass

from quetzalrudder.utils import Clock

__all__ = ["OUTAGE_LIMIT_S", "PERMISSION_S", "PEER_PERMISSION_S", "LeaseSpan", "Permission"]

# How long a renewal allows the use of primaries. An instance that is cut off from store and
# peers delays a failover by as much; the brief asks for failovers within 7 s.
PERMISSION_S = 1.8
# How long a peer answers for an instance that asks it.
PEER_PERMISSION_S = 0.6
# How long instances that all miss the store may go on answering for each other. Longer
# than the users' outages of up to 9 s.
OUTAGE_LIMIT_S = 20.0
# Clocks of instances may differ in rate; the platform states no figure.
PERMISSION_MARGIN_S = 0.2


@dataclass(frozen=True)
class LeaseSpan:
    """How long a lease has certainly existed, in clock readings."""

    opened_at: float
    # When the last renewal that succeeded was sent.
    renewed_at: float

    def proves_expiry(self, gone_at: float) -> bool:
        """Tell whether another lease, seen gone at a time, ran its whole time.

        The store may lose leases before their time, but then all of them: a lease that
        existed long before and was renewed afterwards shows that it has not.
        """
        return self.opened_at <= gone_at - PERMISSION_S and self.renewed_at >= gone_at


class Permission:
    """The right to use primaries, which runs out by itself.

    Parameters
    ----------
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By the own lease, and by peers.
        self._own_until = -1.0
        self._granted_by_peers_until = -1.0
        self._dropped = False

    def extend_by_lease(self, sent_at: float) -> None:
        """Note that the store has renewed the lease by a call sent at that time."""
        self._own_until = max(self._own_until, sent_at + PERMISSION_S - PERMISSION_MARGIN_S)

    def extend_by_peers(self, asked_at: float, valid_s: float) -> None:
        """Note that peers, asked at that time, answer for this instance."""
        self._granted_by_peers_until = max(self._granted_by_peers_until, asked_at + valid_s)

    def revoke(self) -> None:
        """Give the permission up for good."""
        self._dropped = True

    @property
    def valid(self) -> bool:
        """True while primaries may be used."""
        until = max(self._own_until, self._granted_by_peers_until)
        return not self._dropped and self._clock.monotonic() < until

    @property
    def lease_remaining_s(self) -> float:
        """Seconds for which the own lease still allows it; negative once it has run out."""
        return -1.0 if self._dropped else self._own_until - self._clock.monotonic()
