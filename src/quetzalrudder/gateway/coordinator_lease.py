"""The duty to replace primaries: held by one instance at a time, by a lease in the store."""

import logging
import random

from result import Err, Ok

from quetzalrudder.gateway.mirror import StoreContact
from quetzalrudder.gateway.records import COORDINATOR_KEY, CoordinatorRecord, encode_coordinator
from quetzalrudder.gateway.store import LeaseEnded, LeaseId, Store
from quetzalrudder.models import InstanceId
from quetzalrudder.utils import Clock

__all__ = ["CoordinatorLease"]

log = logging.getLogger(__name__)

# A holder that dies without a restart is replaced after this long.
COORDINATOR_LEASE_S = 3.0
# Three renewals fit into the time for which the duty may be used.
COORDINATOR_RENEW_INTERVAL_S = 0.6
# The duty is not used when its lease may end before a call has arrived or was given up;
# above the adapter's bound on a promotion's call.
COORDINATOR_LEASE_MARGIN_S = 1.0
# Instances that see the duty left do not all try at once.
TAKE_SPREAD_S = 0.1


class CoordinatorLease:
    """One instance's side of the duty.

    Parameters
    ----------
    store : Store
        The store.
    instance, incarnation
        The process.
    contact : StoreContact
        Takes note of failures.
    rng : random.Random
        Spreads attempts to take the duty.
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
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._store = store
        self._instance = instance
        self._incarnation = incarnation
        self._contact = contact
        self._rng = rng
        self._clock = clock
        self._observed: CoordinatorRecord | None = None
        self._lease: LeaseId | None = None
        self._valid_until = -1.0
        self._next_renewal = 0.0
        self._next_try = 0.0
        self._resigned = False
        # Grows whenever the duty is taken, over all instances.
        self.fencing_token = 0

    def observe(self, record: CoordinatorRecord | None) -> None:
        """Take what the store says of the duty; None if nobody holds it."""
        if record is None:
            self._next_try = self._clock.monotonic() + self._rng.random() * TAKE_SPREAD_S
        if record != self._observed:
            log.info(
                "duty seen",
                extra={
                    "holder": record.instance if record is not None else "",
                    "revision": record.revision if record is not None else 0,
                },
            )
        self._observed = record

    @property
    def held(self) -> bool:
        """True while this instance may replace primaries."""
        return self._clock.monotonic() < self._valid_until

    @property
    def observed_coordinator(self) -> InstanceId | None:
        """Who holds the duty, as far as this instance has seen."""
        return self._observed.instance if self._observed is not None else None

    def resign(self) -> None:
        """Leave the duty to another instance for good."""
        self._resigned = True

    def release(self) -> None:
        """Leave the duty; another instance may take it at once."""
        self._valid_until = -1.0
        lease, self._lease = self._lease, None
        if lease is not None:
            ended = self._store.end_lease(lease)
            log.info(
                "duty left", extra={"token": self.fencing_token, "done": isinstance(ended, Ok)}
            )

    def step(self) -> None:
        """Keep or take the duty, if that is due."""
        if self._resigned:
            self.release()
        elif self._lease is None:
            self._take()
        elif self._clock.monotonic() >= self._next_renewal:
            self._renew()

    def _take(self) -> None:
        now = self._clock.monotonic()
        if now < self._next_try:
            return
        # The record may change while the lease is opened; then the write must fail.
        observed = self._observed
        # A predecessor of this process cannot run any more.
        if observed is not None and (
            observed.instance != self._instance or observed.incarnation == self._incarnation
        ):
            return
        self._next_try = now + COORDINATOR_RENEW_INTERVAL_S
        lease = self._store.open_lease(COORDINATOR_LEASE_S)
        if isinstance(lease, Err):
            self._contact.record_failure(lease.err_value)
            return
        expected = observed.revision if observed is not None else 0
        value = encode_coordinator(CoordinatorRecord(self._instance, self._incarnation))
        written = self._store.write(COORDINATOR_KEY, value, expected, lease.ok_value)
        if isinstance(written, Err):
            log.info("duty not taken", extra={"reason": str(written.err_value)})
            self._store.end_lease(lease.ok_value)
            return
        self._lease = lease.ok_value
        self.fencing_token = written.ok_value
        self._valid_until = now + COORDINATOR_LEASE_S - COORDINATOR_LEASE_MARGIN_S
        self._next_renewal = now + COORDINATOR_RENEW_INTERVAL_S
        log.info("duty taken", extra={"token": self.fencing_token})

    def _renew(self) -> None:
        sent_at = self._clock.monotonic()
        self._next_renewal = sent_at + COORDINATOR_RENEW_INTERVAL_S
        result = self._store.renew_lease(self._lease)
        if isinstance(result, Ok):
            self._valid_until = sent_at + COORDINATOR_LEASE_S - COORDINATOR_LEASE_MARGIN_S
        elif isinstance(result.err_value, LeaseEnded):
            log.warning("duty lost", extra={"token": self.fencing_token})
            self._lease = None
            self._valid_until = -1.0
        else:
            self._contact.record_failure(result.err_value)
