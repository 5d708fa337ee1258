"""Runs a session's statements at databases: attempts, set-up of connections, endings."""

import hashlib
import random
from dataclasses import dataclass, field

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    ConnectionLimitReached,
    ConnectionOwnerLost,
    MalformedMessage,
    OutcomeUnknown,
    Overloaded,
    QuetzalrudderError,
    StatementNotPrepared,
)
from quetzalrudder.gateway.attempts import (
    Attempt,
    AttemptPlanner,
    Request,
    fault_error,
    lost_answer,
    retry_pause_s,
    stale_answer,
)
from quetzalrudder.gateway.borrowing import BorrowedCheckout
from quetzalrudder.gateway.catalog import Catalog, CatalogHolder
from quetzalrudder.gateway.connections import Checkout, PooledLink
from quetzalrudder.gateway.measurements import Measurements
from quetzalrudder.gateway.quotas import QuotaCharge
from quetzalrudder.gateway.rate_tokens import RateLimiter
from quetzalrudder.gateway.statements import (
    Execute,
    Prepare,
    SessionState,
    SetValue,
    Statement,
    TargetFault,
    TargetReply,
    Write,
)
from quetzalrudder.gateway.targets import LogPosition
from quetzalrudder.models import RequestId
from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import Clock

__all__ = [
    "OWN_REQUEST",
    "GatewayServices",
    "Outcome",
    "StatementRunner",
    "SessionEntries",
    "bring_to",
]

OWN_REQUEST = RequestId("-")
# For a value or a prepared statement, which take no slot: many times a round trip.
SETUP_TIMEOUT_S = 0.5
MAX_SESSION_ENTRIES = 256


@dataclass
class GatewayServices:
    """What all sessions of an instance share."""

    catalogs: CatalogHolder
    planner: AttemptPlanner
    rates: RateLimiter
    measurements: Measurements
    clock: Clock
    rng: random.Random


@dataclass
class Outcome:
    """What the log line of a statement says besides its answer."""

    attempts: int = 0
    target: str = ""
    # The instance that holds the connection; empty for this one.
    owner: str = ""
    epoch: int = 0
    needed: LogPosition | None = None
    faults: list[str] = field(default_factory=list)


class SessionEntries:
    """The values and prepared statements of a session, and of the connections it uses."""

    def __init__(self) -> None:
        self._values: dict[str, str] = {}
        self._prepared: dict[str, Prepare] = {}

    def set_value(self, name: str, value: str) -> Result[None, QuetzalrudderError]:
        """Keep a value."""
        if len(self._values) >= MAX_SESSION_ENTRIES and name not in self._values:
            return Err(MalformedMessage("too many session values"))
        self._values[name] = value
        return Ok(None)

    def prepare(self, statement: Prepare) -> Result[None, QuetzalrudderError]:
        """Keep a prepared statement."""
        name = statement.name
        if len(self._prepared) >= MAX_SESSION_ENTRIES and name not in self._prepared:
            return Err(MalformedMessage("too many prepared statements"))
        self._prepared[name] = statement
        return Ok(None)

    def deallocate(self, name: str) -> Result[None, QuetzalrudderError]:
        """Forget a prepared statement."""
        if self._prepared.pop(name, None) is None:
            return Err(StatementNotPrepared("no such name", place=name))
        return Ok(None)

    def is_prepared(self, name: str) -> bool:
        """Tell whether a name can be executed."""
        return name in self._prepared

    def writes(self, statement: Statement) -> bool:
        """Tell whether a statement changes data."""
        match statement:
            case Write():
                return True
            case Execute(name):
                return self._prepared[name].writes
            case _:
                return False

    def as_shared(self, statement: Statement) -> Statement:
        """Give a statement as connections know it: by the shared name of what it executes."""
        match statement:
            case Execute(name, arguments):
                return Execute(_shared_name(self._prepared[name]).name, arguments)
            case _:
                return statement

    def set_up(self, checkout: Checkout, statement: Statement) -> Result[None, QuetzalrudderError]:
        """Bring a connection's values and prepared statements to the session's."""
        prepare = None
        if isinstance(statement, Execute):
            prepare = _shared_name(self._prepared[statement.name])
        match checkout:
            case BorrowedCheckout():
                checkout.link.set_session_state(self._values, prepare)
                return Ok(None)
            case _:
                return bring_to(checkout.pooled, self._values, prepare)


def bring_to(
    pooled: PooledLink, values: dict[str, str], prepare: Prepare | None
) -> Result[None, QuetzalrudderError]:
    """Bring a connection to a session's values, and prepare what is executed next."""
    if any(name not in values for name in pooled.values):
        done = pooled.link.reset(SETUP_TIMEOUT_S)
        if isinstance(done, Err):
            return done
        pooled.values.clear()
        pooled.prepared.clear()
    for name, value in values.items():
        if pooled.values.get(name) != value:
            done = _set_up_with(pooled, SetValue(name, value))
            if isinstance(done, Err):
                return done
            pooled.values[name] = value
    if prepare is not None and prepare.name not in pooled.prepared:
        done = _set_up_with(pooled, prepare)
        if isinstance(done, Err):
            return done
        pooled.prepared.add(prepare.name)
    return Ok(None)


def _shared_name(prepared: Prepare) -> Prepare:
    """Name a prepared statement by its content, so that sessions share it."""
    content = f"{prepared.writes} {prepared.shape}"
    digest = hashlib.blake2s(content.encode("latin-1"), digest_size=8).hexdigest()
    return Prepare(f"p{digest}", prepared.writes, prepared.shape)


def _set_up_with(pooled: PooledLink, statement: Statement) -> Result[None, QuetzalrudderError]:
    result = pooled.link.run(OWN_REQUEST, statement, SETUP_TIMEOUT_S)
    if isinstance(result, Err):
        return result
    if result.ok_value.fault is not None:
        return Err(fault_error(result.ok_value, "session setup"))
    return Ok(None)


class StatementRunner:
    """What a session's statements and transactions share.

    Parameters
    ----------
    services : GatewayServices
        What all sessions share.
    """

    def __init__(self, services: GatewayServices) -> None:
        self.services = services
        self.entries = SessionEntries()
        self.outcome = Outcome()
        # The session's own commits.
        self.own_commits: LogPosition | None = None
        # Set while the operation has not been offered to a database.
        self._charge: QuotaCharge | None = None

    def admit(self, req: Request, catalog: Catalog) -> Result[None, QuetzalrudderError]:
        """Count an operation against its workspace's rate."""
        limit = catalog.workspaces.get(req.workspace)
        if limit is None:
            return Ok(None)
        admitted = self.services.rates.admit(limit)
        if isinstance(admitted, Err):
            return admitted
        self._charge = admitted.ok_value
        return Ok(None)

    def confirm_charge(self) -> None:
        """Note that a database is offered the operation."""
        self._charge = None

    def end_charge(self) -> None:
        """Give the operation's admission back if no database was offered it."""
        charge, self._charge = self._charge, None
        if charge is not None:
            charge.refund()

    def run_single(self, req: Request) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement outside transactions, at another database if one fails."""
        writes = self.entries.writes(req.statement)
        last: QuetzalrudderError | None = None
        while True:
            planned = self.next_attempt(req, last, needs_primary=writes)
            if isinstance(planned, Err):
                return planned
            attempt = planned.ok_value
            with attempt.checkout:
                result = self._try(req, attempt, writes)
            if isinstance(result, Ok):
                return result
            last = result.err_value
            if writes and isinstance(last, OutcomeUnknown):
                return result

    def next_attempt(
        self, req: Request, last: QuetzalrudderError | None, *, needs_primary: bool
    ) -> Result[Attempt, QuetzalrudderError]:
        """Plan the next attempt, unless the time is up or no repeat can help."""
        clock = self.services.clock
        while True:
            if last is not None:
                if not req.may_repeat(last):
                    return Err(last)
                pause_s = retry_pause_s(req, self.services.rng)
                if clock.monotonic() + pause_s >= req.queue_until:
                    return Err(last)
                clock.sleep(pause_s)
            self.outcome.attempts += 1
            req.attempts += 1
            planned = self.services.planner.plan(req, needs_primary=needs_primary)
            if isinstance(planned, Ok):
                self.name_target(planned.ok_value)
                return planned
            last = planned.err_value

    def name_target(self, attempt: Attempt) -> None:
        """Let the log line name the database of an attempt."""
        self.outcome.target = attempt.checkout.target.target
        self.outcome.owner = attempt.checkout.owner or ""
        self.outcome.epoch = attempt.primary.epoch if attempt.primary else 0
        self.outcome.needed = attempt.at_least

    def _try(
        self, req: Request, attempt: Attempt, writes: bool
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Run a single statement once on a borrowed connection."""
        setup = self.entries.set_up(attempt.checkout, req.statement)
        if isinstance(setup, Err):
            self.note_fault(attempt, setup.err_value)
            return setup
        statement = self.entries.as_shared(req.statement)
        asked_at = self.services.clock.monotonic()
        result = attempt.checkout.link.run(
            req.request_id, statement, attempt.timeout_s(asked_at), attempt.at_least
        )
        if isinstance(result, Ok) or result.err_value.ending is not Ending.NOT_RUN:
            self.confirm_charge()
        if isinstance(result, Err):
            self.note_fault(attempt, result.err_value)
            return Err(lost_answer(result.err_value, writes=writes))
        reply = result.ok_value
        if reply.state is SessionState.IDLE:
            attempt.checkout.mark_reusable()
        if reply.fault is not None:
            return self.refused(req, attempt, reply)
        return self._succeeded(req, attempt, reply, asked_at, writes)

    def refused(
        self, req: Request, attempt: Attempt, reply: TargetReply
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Learn from a database's refusal and give the failure."""
        exc = fault_error(reply, attempt.checkout.target.target)
        if reply.fault is TargetFault.NOT_PREPARED:
            attempt.checkout.invalidate_prepared()
        self.note_fault(attempt, exc, reply.fault)
        req.exclude(attempt.checkout.target.target, reply.fault)
        return Err(exc)

    def _succeeded(
        self,
        req: Request,
        attempt: Attempt,
        reply: TargetReply,
        asked_at: float,
        writes: bool,
    ) -> Result[TargetReply, QuetzalrudderError]:
        if not self.services.planner.confirm(attempt, reply, asked_at):
            exc = stale_answer(attempt.checkout.target.target)
            return Err(OutcomeUnknown(exc.message, place=exc.place) if writes else exc)
        if writes:
            self.note_commit(reply)
        return Ok(reply)

    def note_commit(self, reply: TargetReply) -> None:
        """Remember where the session's own commits stand in the log."""
        if reply.position is not None:
            self.own_commits = max(self.own_commits or reply.position, reply.position)

    def note_fault(
        self, attempt: Attempt, exc: QuetzalrudderError, fault: TargetFault | None = None
    ) -> None:
        """Learn from a failed attempt."""
        name = fault.value if fault is not None else exc.log_name
        self.outcome.faults.append(f"{attempt.checkout.target.target}: {name}")
        self.services.measurements.faults.labels(name).inc()
        if (
            isinstance(exc, ConnectionOwnerLost | Overloaded | ConnectionLimitReached)
            and fault is None
        ):
            self.services.planner.note_not_offered(attempt, exc)
        else:
            self.services.planner.note_fault(attempt, fault)
