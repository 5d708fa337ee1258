"""The duty to replace primaries: held by one instance at a time, by a lease in the store."""

import logging
import random

from result import Err, Ok

from quetzalrudder.gateway.mirror import StoreContact
from quetzalrudder.gateway.records import DUTY_KEY, DutyRecord, encode_duty
from quetzalrudder.gateway.store import LeaseEnded, LeaseId, Store
from quetzalrudder.models import InstanceId
from quetzalrudder.utils import Clock

__all__ = ["Duty"]

log = logging.getLogger(__name__)

# A holder that dies without a restart is replaced after this long.
DUTY_S = 3.0
# Three renewals fit into the time for which the duty may be used.
DUTY_RENEW_S = 0.6
# The duty is not used when its lease may end before a call has arrived or was given up;
# above the adapter's bound on a promotion's call.
DUTY_MARGIN_S = 1.0
# Instances that see the duty left do not all try at once.
TAKE_SPREAD_S = 0.1


class Duty:
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
        self._seen: DutyRecord | None = None
        self._lease: LeaseId | None = None
        self._valid_until = -1.0
        self._next_renewal = 0.0
        self._next_try = 0.0
        self._resigned = False
        # Grows whenever the duty is taken, over all instances.
        self.token = 0

    def observe(self, record: DutyRecord | None) -> None:
        """Take what the store says of the duty; None if nobody holds it."""
        if record is None:
            self._next_try = self._clock.monotonic() + self._rng.random() * TAKE_SPREAD_S
        if record != self._seen:
            log.info(
                "duty seen",
                extra={
                    "holder": record.instance if record is not None else "",
                    "revision": record.revision if record is not None else 0,
                },
            )
        self._seen = record

    @property
    def held(self) -> bool:
        """True while this instance may replace primaries."""
        return self._clock.monotonic() < self._valid_until

    @property
    def seen_holder(self) -> InstanceId | None:
        """Who holds the duty, as far as this instance has seen."""
        return self._seen.instance if self._seen is not None else None

    def resign(self) -> None:
        """Leave the duty to another instance for good."""
        self._resigned = True

    def give_up(self) -> None:
        """Leave the duty; another instance may take it at once."""
        self._valid_until = -1.0
        lease, self._lease = self._lease, None
        if lease is not None:
            ended = self._store.end_lease(lease)
            log.info("duty left", extra={"token": self.token, "done": isinstance(ended, Ok)})

    def step(self) -> None:
        """Keep or take the duty, if that is due."""
        if self._resigned:
            self.give_up()
        elif self._lease is None:
            self._take()
        elif self._clock.monotonic() >= self._next_renewal:
            self._renew()

    def _take(self) -> None:
        now = self._clock.monotonic()
        if now < self._next_try:
            return
        # The record may change while the lease is opened; then the write must fail.
        seen = self._seen
        # A predecessor of this process cannot run any more.
        if seen is not None and (
            seen.instance != self._instance or seen.incarnation == self._incarnation
        ):
            return
        self._next_try = now + DUTY_RENEW_S
        lease = self._store.open_lease(DUTY_S)
        if isinstance(lease, Err):
            self._contact.failed(lease.err_value)
            return
        expected = seen.revision if seen is not None else 0
        value = encode_duty(DutyRecord(self._instance, self._incarnation))
        written = self._store.write(DUTY_KEY, value, expected, lease.ok_value)
        if isinstance(written, Err):
            log.info("duty not taken", extra={"reason": str(written.err_value)})
            self._store.end_lease(lease.ok_value)
            return
        self._lease = lease.ok_value
        self.token = written.ok_value
        self._valid_until = now + DUTY_S - DUTY_MARGIN_S
        self._next_renewal = now + DUTY_RENEW_S
        log.info("duty taken", extra={"token": self.token})

    def _renew(self) -> None:
        sent_at = self._clock.monotonic()
        self._next_renewal = sent_at + DUTY_RENEW_S
        result = self._store.keep_lease(self._lease)
        if isinstance(result, Ok):
            self._valid_until = sent_at + DUTY_S - DUTY_MARGIN_S
        elif isinstance(result.err_value, LeaseEnded):
            log.warning("duty lost", extra={"token": self.token})
            self._lease = None
            self._valid_until = -1.0
        else:
            self._contact.failed(result.err_value)
