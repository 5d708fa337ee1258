"""Connections to databases that other instances of the fleet own.

In a small fleet each instance opens its own connections. In a large one a few instances of
a database's data centre own all connections to it. The requests of a workspace all go to
the same one of these owners, so that its idle connections are reused and none has to be
opened.
"""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    ConnectionOwnerLost,
    LinkLost,
    QuetzalrudderError,
    QueueTooLong,
    TargetUnavailable,
    from_failure,
)
from quetzalrudder.gateway.assignments import AvoidedInstances, FleetView, rank
from quetzalrudder.gateway.connections import Checkout, GatewayPool, Urgency
from quetzalrudder.gateway.lent_messages import (
    decode_reply,
    encode_position,
    encode_statement,
)
from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.gateway.owner_delays import OwnerDelays, QueueKey
from quetzalrudder.gateway.queue_delay import retry_after_ms
from quetzalrudder.gateway.statements import Prepare, Statement, TargetReply
from quetzalrudder.gateway.targets import LogPosition, Target
from quetzalrudder.gateway.wait_queue import Claim
from quetzalrudder.models import GroupId, InstanceId, RequestId, TargetId, WorkspaceId
from quetzalrudder.schema.gateway import EndRequest, RunReply, RunRequest, SessionEntry, Wanted
from quetzalrudder.utils import MS_PER_S, Clock

__all__ = [
    "CONNECTION_OWNERS",
    "BorrowedLink",
    "FleetConnectionPool",
    "ConnectionOwnerCaller",
    "owners_of",
    "watchers_of",
]

log = logging.getLogger(__name__)

# Instances that own the connections to one database. A single one could be lost; the more
# there are, the less each knows about the use of the database's slots.
CONNECTION_OWNERS = 2
# Instances that watch a primary in addition to its connection owners. A primary counts as
# lost if most of all its watchers cannot reach it.
EXTRA_WATCHERS = 3
# The connection owner times out this much earlier than the borrower, so that its answer
# still arrives and an unresponsive database is not taken for an unresponsive owner.
OWNER_TIMEOUT_MARGIN_S = 0.03
# Databases and workspaces whose order of owners is kept.
MAX_KNOWN_RANKINGS = 2048
# Age at which a connection owner's report of a database's load no longer counts; several
# reads come in that time.
LOAD_REPORT_LIFETIME_S = 0.3
# Interval at which one statement tries an owner to which no connection could be opened.
CONNECT_TRIAL_INTERVAL_S = 0.3
# Fraction of the time until a statement is due that it may wait at its workspace's preferred
# owner while another one has a shorter queue, but perhaps no open connection.
PREFERENCE_FRACTION = 0.1


class ConnectionOwnerCaller(Protocol):
    """Sends statements to another instance, which runs them on its connections."""

    def run(
        self, address: str, req: RunRequest, timeout_s: float
    ) -> Result[RunReply, QuetzalrudderError]:
        """Run a statement; ``TargetUnavailable`` if nothing was sent."""

    def end(self, address: str, req: EndRequest) -> None:
        """Return a borrowed connection, without waiting for an answer."""


def owners_of(view: FleetView, target: Target) -> list[RosterRecord]:
    """Return the instances that own the connections to a database."""
    return view.ranked(target.target, target.data_centre)[:CONNECTION_OWNERS]


def watchers_of(view: FleetView, group: GroupId, primary: Target | None) -> set[InstanceId]:
    """Return the instances of a large fleet that probe a primary and report whether it is lost.

    Statements reach the primary only through its connection owners, so these are included.
    """
    extra = view.ranked(f"watch {group}")[:EXTRA_WATCHERS]
    owners = owners_of(view, primary) if primary is not None else []
    return {record.instance for record in [*extra, *owners]}


@dataclass(frozen=True)
class _Owner:
    """An instance that lends a connection, and the request for it."""

    instance: InstanceId
    address: str
    wanted: Wanted
    # Called with the load and the delay in seconds that the owner reports.
    record_load: Callable[[float, float], None]
    # Called if the owner has answered, and if no connection to it could be opened.
    record_connected: Callable[[], None]
    record_unconnected: Callable[[], None]
    # Called with the reason if the owner lends nothing; returns the error to pass on.
    avoid: Callable[[str], ConnectionOwnerLost]


class BorrowedLink:
    """A connection that another instance owns; the first statement borrows it.

    The owner takes it back by itself once no transaction is open on it.

    Parameters
    ----------
    caller : ConnectionOwnerCaller
        Reaches the owner.
    owner : _Owner
        The instance that lends the connection.
    """

    def __init__(self, caller: ConnectionOwnerCaller, owner: _Owner) -> None:
        self._caller = caller
        self._owner = owner
        # None before the first statement, 0 once the owner has taken the connection back.
        self._checkout_id: int | None = None
        self._values: dict[str, str] = {}
        self._prepare: Prepare | None = None

    @property
    def broken(self) -> bool:
        """True once the owner has taken the connection back, or a request has failed."""
        return self._checkout_id == 0

    def close(self) -> None:
        """Give up the connection; the database rolls back an open transaction."""
        checkout_id, self._checkout_id = self._checkout_id, 0
        if checkout_id:
            self._caller.end(self._owner.address, EndRequest(loan=checkout_id))

    def set_session_state(self, values: dict[str, str], prepare: Prepare | None) -> None:
        """Set the session values and the prepared statement that the next statement needs."""
        self._values, self._prepare = values, prepare

    def run(
        self,
        request_id: RequestId,
        statement: Statement,
        timeout_s: float,
        at_least: LogPosition | None = None,
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement and return the complete answer."""
        place = self._owner.wanted.target
        if self.broken:
            return Err(
                TargetUnavailable("the borrowed connection was returned already", place=place)
            )
        result = self._caller.run(
            self._owner.address,
            self._request(request_id, statement, timeout_s, at_least),
            timeout_s,
        )
        if isinstance(result, Err):
            exc = result.err_value
            self.close()
            owner_lost = self._owner.avoid(str(exc))
            if isinstance(exc, TargetUnavailable):
                self._owner.record_unconnected()
                return Err(owner_lost)
            return Err(LinkLost(f"connection owner {self._owner.instance}: {exc}", place=place))
        reply = result.ok_value
        if reply.not_holder:
            self._checkout_id = 0
            self._owner.record_connected()
            return Err(self._owner.avoid(reply.failure.message))
        self._owner.record_connected()
        self._owner.record_load(reply.use, reply.queue_delay_ms / MS_PER_S)
        self._checkout_id = reply.loan
        if reply.failure is not None:
            return Err(from_failure(reply.failure))
        return Ok(decode_reply(reply))

    def _request(
        self,
        request_id: RequestId,
        statement: Statement,
        timeout_s: float,
        at_least: LogPosition | None,
    ) -> RunRequest:
        return RunRequest(
            wanted=self._owner.wanted if self._checkout_id is None else None,
            loan=self._checkout_id or 0,
            request_id=request_id,
            statement=encode_statement(statement),
            timeout_ms=max(
                1, round(max(timeout_s / 2, timeout_s - OWNER_TIMEOUT_MARGIN_S) * MS_PER_S)
            ),
            at_least=encode_position(at_least),
            values=[SessionEntry(name=n, value=v) for n, v in self._values.items()],
            prepare=None if self._prepare is None else encode_statement(self._prepare),
        )


class BorrowedCheckout:
    """A connection borrowed from its owner; used like one of this instance's pool."""

    def __init__(self, target: Target, owner: InstanceId, link: BorrowedLink) -> None:
        self.target = target
        self.owner: InstanceId | None = owner
        self.link = link

    def invalidate_prepared(self) -> None:
        """Do nothing: the owner sees the same answer and invalidates its prepared statements."""

    def invalidate_values(self) -> None:
        """Do nothing: the owner resets a connection whose values are unknown after a rollback."""

    def mark_reusable(self) -> None:
        """Do nothing: the owner knows whether a transaction is open."""

    def release(self) -> None:
        """Return the connection."""
        self.link.close()

    def __enter__(self) -> "BorrowedCheckout":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.release()


class FleetConnectionPool:
    """Connections to all databases, those of this instance and those of other instances.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    view : FleetView
        The fleet.
    pool : GatewayPool
        Connections of this instance.
    caller : ConnectionOwnerCaller
        Reaches other instances.
    rng : random.Random
        Spreads the delays that callers are told.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        instance: InstanceId,
        view: FleetView,
        pool: GatewayPool,
        caller: ConnectionOwnerCaller,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._view = view
        self._pool = pool
        self._caller = caller
        self._rng = rng
        self._clock = clock
        self._delays = OwnerDelays(clock)
        self._avoided = AvoidedInstances(clock)
        # Owners to which no connection could be opened, so that nothing was sent.
        self._unconnected = AvoidedInstances(clock, CONNECT_TRIAL_INTERVAL_S)
        # The owners of a database, and the same in the order for a workspace.
        self._ranked_owners: dict[
            tuple[TargetId, WorkspaceId], tuple[list[RosterRecord], list[RosterRecord]]
        ] = {}
        # Load of a database as a connection owner reported it, and the time of the report.
        self._loads: dict[TargetId, tuple[float, float]] = {}

    def checkout(
        self, target: Target, workspace: WorkspaceId, urgency: Urgency, deadline_at: float
    ) -> Result[Checkout, QuetzalrudderError]:
        """Check out a connection of a workspace, waiting for one until the deadline."""
        if not self._view.is_large:
            return self._pool.checkout(target, workspace, urgency, deadline_at)
        owners = self._order_owners(target, workspace)
        if not owners:
            return Err(TargetUnavailable("no connection owner is known", place=target.target))
        claim = Claim(urgency, workspace, deadline_at)
        chosen = self._choose_owner(owners, target, claim)
        if isinstance(chosen, Err):
            return chosen
        if chosen.ok_value.instance == self._instance:
            return self._pool.checkout(target, workspace, urgency, deadline_at)
        return Ok(self._borrow(chosen.ok_value, target, workspace, urgency, deadline_at))

    def _order_owners(self, target: Target, workspace: WorkspaceId) -> list[RosterRecord]:
        owners = owners_of(self._view, target)
        known, ranked = self._ranked_owners.get((target.target, workspace), (None, []))
        if known != owners:
            by_name = {record.instance: record for record in owners}
            ranked = [by_name[name] for name in rank(f"{workspace}@{target.target}", by_name)]
            if len(self._ranked_owners) >= MAX_KNOWN_RANKINGS:
                self._ranked_owners = {}
            self._ranked_owners[target.target, workspace] = (owners, ranked)
        return self._avoided.order_last(ranked)

    def _choose_owner(
        self, owners: list[RosterRecord], target: Target, claim: Claim
    ) -> Result[RosterRecord, QueueTooLong | ConnectionOwnerLost]:
        """Return the owner to use, the workspace's preferred one unless its queue is long."""
        if claim.urgency.rank == 0:
            return Ok(owners[0])
        reachable = self._reachable(owners)
        if not reachable:
            reason = "no connection owner of the database can be reached"
            return Err(ConnectionOwnerLost(reason, place=target.target))
        usable = [record for record in reachable if not self._avoided.is_avoided(record.instance)]
        usable = usable or reachable
        delays = [self._owner_delay_s(record, target, claim) for record in usable]
        now = self._clock.monotonic()
        if delays[0] <= PREFERENCE_FRACTION * max(0.0, claim.urgency.due_at - now):
            return Ok(usable[0])
        least_s = min(delays)
        excess_s = least_s - max(0.0, claim.until - now)
        if excess_s > 0:
            return Err(
                QueueTooLong(
                    "the queue for slots is too long for the deadline at every owner",
                    place=target.target,
                    retry_after_ms=retry_after_ms(excess_s, self._rng),
                )
            )
        return Ok(usable[0 if delays[0] <= 2 * least_s else delays.index(least_s)])

    def _reachable(self, owners: list[RosterRecord]) -> list[RosterRecord]:
        """Return the owners that can be reached, as far as known, or are to be tried again."""
        reachable = [
            record
            for record in owners
            if record.instance == self._instance or not self._unconnected.is_known(record.instance)
        ]
        first = owners[0]
        if first not in reachable and self._unconnected.claim_trial(first.instance):
            return [first, *reachable]
        return reachable

    def _owner_delay_s(self, record: RosterRecord, target: Target, claim: Claim) -> float:
        if record.instance == self._instance:
            return self._pool.expected_delay_s(target, claim)
        key = QueueKey(record.instance, target.target, claim.workspace, claim.urgency.priority)
        return self._delays.of_queue(key)

    def expected_delay_s(self, target: Target) -> float:
        """Return how long statements at a database wait for a slot, as far as is known.

        The value is the latest that one of the database's owners reported; 0 without a recent
        report, in a small fleet, and for a database that this instance owns connections to.
        """
        return self._delays.of_target(target.target) if self._view.is_large else 0.0

    def _borrow(
        self,
        record: RosterRecord,
        target: Target,
        workspace: WorkspaceId,
        urgency: Urgency,
        deadline_at: float,
    ) -> BorrowedCheckout:
        now = self._clock.monotonic()
        wait_s = max(0.0, deadline_at - now)
        wanted = Wanted(
            instance=self._instance,
            target=target.target,
            workspace=workspace,
            rank=urgency.rank,
            priority=urgency.priority,
            wanted_ms=round((urgency.due_at - now) * MS_PER_S),
            wait_ms=round(wait_s * MS_PER_S),
        )

        key = QueueKey(record.instance, target.target, workspace, urgency.priority)

        def record_load(load: float, delay_s: float) -> None:
            self._loads[target.target] = (load, self._clock.monotonic())
            self._delays.record(key, delay_s)

        owner = _Owner(
            instance=record.instance,
            address=record.address,
            wanted=wanted,
            record_load=record_load,
            record_connected=lambda: self._unconnected.discard(record.instance),
            record_unconnected=lambda: self._unconnected.add(record.instance),
            avoid=lambda reason: self._avoid(record.instance, target, reason),
        )
        return BorrowedCheckout(target, record.instance, BorrowedLink(self._caller, owner))

    def _avoid(self, owner: InstanceId, target: Target, reason: str) -> ConnectionOwnerLost:
        """Try a connection owner after the others for a while; return the error to report."""
        self._avoided.add(owner)
        log.warning(
            "connection owner not used",
            extra={"peer": owner, "target": target.target, "reason": reason},
        )
        return ConnectionOwnerLost(reason, place=owner)

    def load(self, target: Target) -> float:
        """Return the load of a database, as far as this instance knows it."""
        if not self._view.is_large:
            return self._pool.load(target)
        load, reported_at = self._loads.get(target.target, (0.0, -LOAD_REPORT_LIFETIME_S))
        age_s = self._clock.monotonic() - reported_at
        return load * max(0.0, 1 - age_s / LOAD_REPORT_LIFETIME_S)

    def has_idle(self, target: Target, workspace: WorkspaceId) -> bool:
        """Return whether no connection has to be opened, as far as this instance knows."""
        return self._view.is_large or self._pool.has_idle(target, workspace)
