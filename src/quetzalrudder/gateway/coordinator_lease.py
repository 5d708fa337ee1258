"""The lease in the store that makes one instance at a time the failover coordinator."""

import logging
import math
import random
from collections.abc import Callable

from result import Err, Ok

from quetzalrudder.gateway.records import COORDINATOR_KEY, CoordinatorRecord, encode_coordinator
from quetzalrudder.gateway.store import LeaseEnded, LeaseId, Store, era_of
from quetzalrudder.gateway.store_contact import StoreContact
from quetzalrudder.gateway.store_eras import StoreEras
from quetzalrudder.models import InstanceId
from quetzalrudder.utils import Clock

__all__ = ["CoordinatorLease"]

log = logging.getLogger(__name__)

# TTL of the lease: a coordinator that dies and is not restarted is replaced after this time.
COORDINATOR_LEASE_S = 2.2
# Two renewals fit into the 1.3 s for which the lease is used after a renewal.
COORDINATOR_RENEW_INTERVAL_S = 0.45
# The lease is not used in this last part of its TTL, so that a promotion call has arrived or
# timed out before the lease expires. Longer than the platform adapter's time-out for that
# call.
COORDINATOR_LEASE_MARGIN_S = 0.9
# Random delay before an instance tries to acquire a free lease, so that not all try at once:
# at most this for each instance that may. The first one then tries after about this time,
# and the others mostly see its record before their turn.
ACQUIRE_JITTER_PER_CANDIDATE_S = 0.02
# Size that an instance assumes whose fleet starts for the first time.
UNKNOWN_FLEET_SIZE = 50


class CoordinatorLease:
    """Acquires and renews the coordinator lease for one instance.

    Parameters
    ----------
    store : Store
        The store.
    instance, incarnation
        This process.
    contact : StoreContact
        Records failed calls to the store.
    eras : StoreEras
        Tells of returns of the store from an older copy, each of which ends the lease.
    candidate_count : Callable
        Returns how many instances may try to acquire the lease.
    fleet_size : Callable
        Returns how many instances there are.
    may_acquire : Callable
        Returns whether this instance may try. In a large fleet only those that watch the store
        may, so that they see each change as soon as the store does.
    rng : random.Random
        Delays attempts to acquire the lease.
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(
        self,
        *,
        store: Store,
        instance: InstanceId,
        incarnation: str,
        contact: StoreContact,
        eras: StoreEras,
        candidate_count: Callable[[], int],
        fleet_size: Callable[[], int],
        may_acquire: Callable[[], bool] = lambda: True,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._store = store
        self._instance = instance
        self._incarnation = incarnation
        self._contact = contact
        self._eras = eras
        self._candidate_count = candidate_count
        self._fleet_size = fleet_size
        self._may_acquire = may_acquire
        self._rng = rng
        self._clock = clock
        self._observed: CoordinatorRecord | None = None
        self._lease: LeaseId | None = None
        # The era in which the lease was acquired.
        self._era = eras.current
        self._valid_until = -1.0
        self._next_renewal = 0.0
        # No attempt is made before the store has been read.
        self._next_attempt = math.inf
        self._resigned = False
        # Increases with each acquisition of the lease by any instance, also over eras.
        self.fencing_token = 0
        self._acquired_at = math.inf

    def observe(self, record: CoordinatorRecord | None) -> None:
        """Process the coordinator record read from the store; None if there is none."""
        now = self._clock.monotonic()
        if record is None:
            is_first = math.isinf(self._next_attempt)
            count = self._first_candidate_count() if is_first else self._candidate_count()
            jitter_s = ACQUIRE_JITTER_PER_CANDIDATE_S * count
            self._next_attempt = now + self._rng.random() * jitter_s
        elif math.isinf(self._next_attempt):
            self._next_attempt = now
        if record != self._observed:
            log.info(
                "failover coordinator observed",
                extra={
                    "holder": record.instance if record is not None else "",
                    "revision": record.revision if record is not None else 0,
                },
            )
        self._observed = record

    @property
    def held(self) -> bool:
        """True while this instance may replace primaries."""
        return self._era == self._eras.current and self._clock.monotonic() < self._valid_until

    @property
    def held_s(self) -> float:
        """Seconds since this instance acquired the lease; no earlier coordinator acts since."""
        return self._clock.monotonic() - self._acquired_at

    @property
    def observed_coordinator(self) -> InstanceId | None:
        """The failover coordinator that this instance last read from the store."""
        return self._observed.instance if self._observed is not None else None

    @property
    def is_held_by_another(self) -> bool:
        """True if the store's record names another instance as the coordinator."""
        observed = self._observed
        return observed is not None and observed.instance != self._instance

    def resign(self) -> None:
        """Release the lease at the next step and never acquire it again."""
        self._resigned = True

    def release(self) -> None:
        """Release the lease, so that another instance can acquire it at once."""
        self._valid_until = -1.0
        lease, self._lease = self._lease, None
        if lease is not None:
            end_result = self._store.end_lease(lease)
            log.info(
                "coordinator lease released",
                extra={"token": self.fencing_token, "done": isinstance(end_result, Ok)},
            )

    def step(self) -> None:
        """Acquire, renew or release the lease if that is due."""
        if self._lease is not None and self._era != self._eras.current:
            log.warning("coordinator lease void", extra={"token": self.fencing_token})
            self._lease = None
            self._valid_until = -1.0
        if self._resigned:
            self.release()
        elif self._lease is None:
            self._acquire()
        elif self._clock.monotonic() >= self._next_renewal:
            self._renew()

    def _first_candidate_count(self) -> int:
        """Return how many instances may try at their start, when all of them watch the store."""
        fleet_size = self._fleet_size()
        return fleet_size if fleet_size > 1 else UNKNOWN_FLEET_SIZE

    def _acquire(self) -> None:
        now = self._clock.monotonic()
        if now < self._next_attempt or not self._may_acquire():
            return
        # If the record changes while the lease is being opened, the write must fail.
        observed = self._observed
        # A record of an earlier process of this instance is replaced: that process has ended.
        if observed is not None and (
            observed.instance != self._instance or observed.incarnation == self._incarnation
        ):
            return
        self._next_attempt = now + COORDINATOR_RENEW_INTERVAL_S
        lease = self._store.open_lease(COORDINATOR_LEASE_S)
        if isinstance(lease, Err):
            self._contact.record_failure(lease.err_value)
            return
        expected = observed.revision if observed is not None else 0
        value = encode_coordinator(CoordinatorRecord(self._instance, self._incarnation))
        written = self._store.write(COORDINATOR_KEY, value, expected, lease.ok_value)
        if isinstance(written, Err):
            log.info("coordinator lease not acquired", extra={"reason": str(written.err_value)})
            self._store.end_lease(lease.ok_value)
            return
        self._lease = lease.ok_value
        self._era = era_of(written.ok_value)
        self.fencing_token = written.ok_value
        self._acquired_at = self._clock.monotonic()
        self._valid_until = now + COORDINATOR_LEASE_S - COORDINATOR_LEASE_MARGIN_S
        self._next_renewal = now + COORDINATOR_RENEW_INTERVAL_S
        log.info("coordinator lease acquired", extra={"token": self.fencing_token})

    def _renew(self) -> None:
        sent_at = self._clock.monotonic()
        self._next_renewal = sent_at + COORDINATOR_RENEW_INTERVAL_S
        result = self._store.renew_lease(self._lease)
        if isinstance(result, Ok):
            self._valid_until = sent_at + COORDINATOR_LEASE_S - COORDINATOR_LEASE_MARGIN_S
        elif isinstance(result.err_value, LeaseEnded):
            log.warning("coordinator lease lost", extra={"token": self.fencing_token})
            self._lease = None
            self._valid_until = -1.0
        else:
            self._contact.record_failure(result.err_value)
