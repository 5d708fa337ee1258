"""The borrower's side: connections to databases that other instances of the fleet hold.

In a small fleet each instance opens its own. In a large one a few instances of a
database's data centre hold all connections to it; each workspace keeps to one of them,
so that its connections are found again and none has to be opened.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    ConnectionOwnerLost,
    LinkLost,
    QuetzalrudderError,
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
from quetzalrudder.gateway.statements import Prepare, Statement, TargetReply
from quetzalrudder.gateway.targets import LogPosition, Target
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

# Instances that hold the connections to one database: one could be lost, and each more
# knows less of who uses the database's slots.
CONNECTION_OWNERS = 2
# Instances beside the holders that watch a primary; most of all watchers must miss it.
OTHER_WATCHERS = 3
# How long a holder lets a borrower wait at once; then the statement is planned again.
LONGEST_WAIT_S = 0.3
# By which a holder gives up earlier than its borrower, so that its answer still comes and
# a silent database is not taken for a silent holder.
MARGIN_S = 0.03
# How long a holder's word on a database's use counts; several reads come in that time.
LOAD_MEMORY_S = 0.3


class ConnectionOwnerCaller(Protocol):
    """Has another instance use its connections."""

    def run(
        self, address: str, req: RunRequest, timeout_s: float
    ) -> Result[RunReply, QuetzalrudderError]:
        """Run a statement; ``TargetUnavailable`` if nothing was sent."""

    def end(self, address: str, req: EndRequest) -> None:
        """Give a connection back, without waiting for an answer."""


def owners_of(view: FleetView, target: Target) -> list[RosterRecord]:
    """Give the instances that hold the connections to a database."""
    return view.ranked(target.target, target.data_centre)[:CONNECTION_OWNERS]


def watchers_of(view: FleetView, group: GroupId, primary: Target | None) -> set[InstanceId]:
    """Give the instances that ask a large fleet's primary and say whether it is lost.

    Statements reach it through its holders only, so they are among them.
    """
    others = view.ranked(f"watch {group}")[:OTHER_WATCHERS]
    owners = owners_of(view, primary) if primary is not None else []
    return {record.instance for record in [*others, *owners]}


@dataclass(frozen=True)
class _Owner:
    """Who lends, and to whom."""

    name: InstanceId
    address: str
    wanted: Wanted
    # Takes note of the holder's use, or that it lends nothing and why.
    note_use: Callable[[float], None]
    avoid: Callable[[str], ConnectionOwnerLost]


class BorrowedLink:
    """A connection that another instance holds: lent by its first statement.

    The holder takes it back by itself once no transaction is open on it.

    Parameters
    ----------
    caller : ConnectionOwnerCaller
        Reaches the holder.
    owner : _Owner
        Who lends.
    """

    def __init__(self, caller: ConnectionOwnerCaller, owner: _Owner) -> None:
        self._caller = caller
        self._owner = owner
        # None until the first statement, 0 once the holder has taken it back.
        self._checkout_id: int | None = None
        self._values: dict[str, str] = {}
        self._prepare: Prepare | None = None

    @property
    def broken(self) -> bool:
        """True once the connection was taken back, or a request has failed."""
        return self._checkout_id == 0

    def close(self) -> None:
        """Give the connection up; the database rolls back."""
        checkout_id, self._checkout_id = self._checkout_id, 0
        if checkout_id:
            self._caller.end(self._owner.address, EndRequest(loan=checkout_id))

    def want(self, values: dict[str, str], prepare: Prepare | None) -> None:
        """Say what the connection must hold for the next statement."""
        self._values, self._prepare = values, prepare

    def run(
        self,
        request_id: RequestId,
        statement: Statement,
        timeout_s: float,
        at_least: LogPosition | None = None,
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement and give the whole answer."""
        place = self._owner.wanted.target
        if self.broken:
            return Err(TargetUnavailable("the connection was given back", place=place))
        result = self._caller.run(
            self._owner.address,
            self._request(request_id, statement, timeout_s, at_least),
            timeout_s,
        )
        if isinstance(result, Err):
            exc = result.err_value
            self.close()
            lost = self._owner.avoid(str(exc))
            if isinstance(exc, TargetUnavailable):
                return Err(lost)
            return Err(LinkLost(f"holder {self._owner.name}: {exc}", place=place))
        reply = result.ok_value
        if reply.not_holder:
            self._checkout_id = 0
            return Err(self._owner.avoid(reply.failure.message))
        self._owner.note_use(reply.use)
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
            timeout_ms=max(1, round(max(timeout_s / 2, timeout_s - MARGIN_S) * MS_PER_S)),
            at_least=encode_position(at_least),
            values=[SessionEntry(name=n, value=v) for n, v in self._values.items()],
            prepare=None if self._prepare is None else encode_statement(self._prepare),
        )


class BorrowedCheckout:
    """A connection borrowed from its holder; use it like a loan of the own pool."""

    def __init__(self, target: Target, owner: InstanceId, link: BorrowedLink) -> None:
        self.target = target
        self.owner: InstanceId | None = owner
        self.link = link

    def forget_prepared(self) -> None:
        """Do nothing: the holder sees the same answer and forgets them."""

    def forget_values(self) -> None:
        """Do nothing: the holder resets a connection whose values a rollback left open."""

    def keep(self) -> None:
        """Do nothing: the holder knows whether a transaction is open."""

    def end(self) -> None:
        """Return the connection."""
        self.link.close()

    def __enter__(self) -> "BorrowedCheckout":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.end()


class FleetConnectionPool:
    """Connections to all databases, own ones and those of other instances.

    Parameters
    ----------
    own : InstanceId
        This instance.
    view : FleetView
        The fleet.
    pool : GatewayPool
        Own connections.
    caller : ConnectionOwnerCaller
        Reaches other instances.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        own: InstanceId,
        view: FleetView,
        pool: GatewayPool,
        caller: ConnectionOwnerCaller,
        clock: Clock,
    ) -> None:
        self._own = own
        self._view = view
        self._pool = pool
        self._caller = caller
        self._clock = clock
        self._avoided = AvoidedInstances(clock)
        # What a holder said of the use of a database, and when.
        self._uses: dict[TargetId, tuple[float, float]] = {}

    def checkout(
        self, target: Target, workspace: WorkspaceId, urgency: Urgency, deadline_at: float
    ) -> Result[Checkout, QuetzalrudderError]:
        """Borrow a connection of a workspace, waiting for one until the deadline."""
        if not self._view.is_large:
            return self._pool.checkout(target, workspace, urgency, deadline_at)
        order = self._order(target, workspace)
        if not order:
            return Err(TargetUnavailable("no holder is known", place=target.target))
        if order[0].instance == self._own:
            return self._pool.checkout(target, workspace, urgency, deadline_at)
        return Ok(self._borrow(order[0], target, workspace, urgency, deadline_at))

    def _order(self, target: Target, workspace: WorkspaceId) -> list[RosterRecord]:
        owners = {record.instance: record for record in owners_of(self._view, target)}
        ranked = rank(f"{workspace}@{target.target}", owners)
        return self._avoided.order_last(owners[name] for name in ranked)

    def _borrow(
        self,
        record: RosterRecord,
        target: Target,
        workspace: WorkspaceId,
        urgency: Urgency,
        deadline_at: float,
    ) -> BorrowedCheckout:
        now = self._clock.monotonic()
        wait_s = max(0.0, min(LONGEST_WAIT_S, deadline_at - now))
        wanted = Wanted(
            instance=self._own,
            target=target.target,
            workspace=workspace,
            rank=urgency.rank,
            priority=urgency.priority,
            wanted_ms=round((urgency.wanted_at - now) * MS_PER_S),
            wait_ms=round(wait_s * MS_PER_S),
        )

        def note_use(use: float) -> None:
            self._uses[target.target] = (use, self._clock.monotonic())

        owner = _Owner(
            name=record.instance,
            address=record.address,
            wanted=wanted,
            note_use=note_use,
            avoid=lambda reason: self._avoid(record.instance, target, reason),
        )
        return BorrowedCheckout(target, record.instance, BorrowedLink(self._caller, owner))

    def _avoid(self, name: InstanceId, target: Target, reason: str) -> ConnectionOwnerLost:
        """Ask a holder last for a while."""
        self._avoided.add(name)
        log.warning(
            "holder of connections not used",
            extra={"peer": name, "target": target.target, "reason": reason},
        )
        return ConnectionOwnerLost(reason, place=name)

    def load(self, target: Target) -> float:
        """Give the use of a database, as far as this instance knows it."""
        if not self._view.is_large:
            return self._pool.load(target)
        use, at = self._uses.get(target.target, (0.0, -LOAD_MEMORY_S))
        age_s = self._clock.monotonic() - at
        return use * max(0.0, 1 - age_s / LOAD_MEMORY_S)

    def has_idle(self, target: Target, workspace: WorkspaceId) -> bool:
        """Tell whether no connection has to be opened, as far as this instance knows."""
        return self._view.is_large or self._pool.has_idle(target, workspace)
