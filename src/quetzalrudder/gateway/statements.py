"""Statements of sessions, replies of databases, and the interface of connections to them."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from result import Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.gateway.targets import LogPosition, Target
from quetzalrudder.models import RequestId, WorkspaceId

__all__ = [
    "Begin",
    "Commit",
    "Deallocate",
    "Execute",
    "Malformed",
    "NOT_RUN_FAULTS",
    "Prepare",
    "Read",
    "Rollback",
    "SessionState",
    "SetValue",
    "Statement",
    "StatusAnswer",
    "StatusRefusal",
    "TargetFault",
    "TargetLink",
    "TargetReply",
    "TargetStatus",
    "Write",
]


class SessionState(Enum):
    """Transaction state of a session."""

    IDLE = "idle"
    IN_TRANSACTION = "in transaction"
    FAILED_TRANSACTION = "failed transaction"


@dataclass(frozen=True)
class Begin:
    """Open a transaction."""

    read_only: bool


@dataclass(frozen=True)
class Commit:
    """Commit the transaction."""


@dataclass(frozen=True)
class Rollback:
    """Roll the transaction back."""


@dataclass(frozen=True)
class Read:
    """Read one item."""

    item: str


@dataclass(frozen=True)
class Write:
    """Write one item."""

    item: str
    data: str


@dataclass(frozen=True)
class SetValue:
    """Set one session value."""

    name: str
    value: str


@dataclass(frozen=True)
class Prepare:
    """Prepare a statement of a given shape under a name."""

    name: str
    writes: bool
    shape: str


@dataclass(frozen=True)
class Execute:
    """Run a prepared statement."""

    name: str
    # The item and, for a write, the data, as the caller sent them.
    arguments: str


@dataclass(frozen=True)
class Deallocate:
    """Remove a prepared statement."""

    name: str


@dataclass(frozen=True)
class Malformed:
    """A statement that cannot be decoded."""

    reason: str


Statement = (
    Begin | Commit | Rollback | Read | Write | SetValue | Prepare | Execute | Deallocate | Malformed
)


class TargetFault(Enum):
    """Reason why a database did not complete a statement."""

    # Faults after which the statement certainly did not run, see NOT_RUN_FAULTS.
    BUSY = "busy"
    NOT_PREPARED = "not prepared"
    LAGGING = "lagging"
    READ_ONLY = "read only"
    MOVED = "moved"
    CONNECTION_LIMIT = "connection limit"
    # Faults after which the statement may have run.
    ABORTED = "aborted"
    FAILED = "failed"
    TIMED_OUT = "timed out"
    OTHER = "other"


# After these faults the statement certainly did not run.
NOT_RUN_FAULTS = frozenset(
    {
        TargetFault.BUSY,
        TargetFault.NOT_PREPARED,
        TargetFault.LAGGING,
        TargetFault.READ_ONLY,
        TargetFault.MOVED,
        TargetFault.CONNECTION_LIMIT,
    }
)


@dataclass(frozen=True)
class TargetReply:
    """A complete reply of a database."""

    state: SessionState
    rows: tuple[str, ...] = ()
    signature: str = ""
    fault: TargetFault | None = None
    detail: str = ""
    # Position of the database's log when it replied.
    position: LogPosition | None = None


@dataclass(frozen=True)
class TargetStatus:
    """Role, term and log position that a database reports on request."""

    primary: bool
    term: int
    received: LogPosition


@dataclass(frozen=True)
class StatusRefusal:
    """A database answered, but did not report its status."""

    fault: TargetFault
    # Position of the log that its reads run on; it may have received more. None if unknown.
    applied: LogPosition | None = None


StatusAnswer = TargetStatus | StatusRefusal


class TargetLink(Protocol):
    """One connection to a database, which carries one request at a time.

    Every transport failure closes the connection. The error is ``TargetUnavailable`` if the
    request was not sent, and ``LinkLost`` if the reply is missing.
    """

    @property
    def broken(self) -> bool:
        """True once the connection can no longer be used."""

    def run(
        self,
        request_id: RequestId,
        statement: Statement,
        timeout_s: float,
        at_least: LogPosition | None = None,
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement; with ``at_least``, only if the database's log has reached it."""

    def reset(self, timeout_s: float) -> Result[TargetReply, QuetzalrudderError]:
        """Clear the session values and prepared statements of the connection."""

    def status(self, timeout_s: float) -> Result[StatusAnswer, QuetzalrudderError]:
        """Request the database's role, term and log position."""

    def step_down(self, term: int, timeout_s: float) -> Result[None, QuetzalrudderError]:
        """Make a primary of a lower term a replica."""

    def close(self) -> None:
        """Close the connection."""


class TargetConnector(Protocol):
    """Opens connections to databases."""

    def connect(
        self, target: Target, workspace: WorkspaceId, timeout_s: float
    ) -> Result[TargetLink, QuetzalrudderError]:
        """Open a connection on behalf of a workspace."""
