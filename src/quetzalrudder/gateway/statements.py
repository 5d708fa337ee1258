"""What a caller may ask in a session, and what a database answers."""

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
    "Prepare",
    "Read",
    "Rollback",
    "SessionState",
    "SetValue",
    "Statement",
    "TargetFault",
    "TargetLink",
    "TargetReply",
    "TargetStatus",
    "Write",
]


class SessionState(Enum):
    """Where a session stands with regard to transactions."""

    IDLE = "idle"
    IN_TRANSACTION = "in transaction"
    FAILED_TRANSACTION = "failed transaction"


@dataclass(frozen=True)
class Begin:
    """Open a transaction."""

    read_only: bool


@dataclass(frozen=True)
class Commit:
    """Make a transaction's writes take effect."""


@dataclass(frozen=True)
class Rollback:
    """Give a transaction up."""


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
    """Set one value of the session."""

    name: str
    value: str


@dataclass(frozen=True)
class Prepare:
    """Give a name to a statement's shape."""

    name: str
    writes: bool
    shape: str


@dataclass(frozen=True)
class Execute:
    """Run a prepared statement."""

    name: str
    # Item and, for a write, data, as the caller sent them.
    arguments: str


@dataclass(frozen=True)
class Deallocate:
    """Forget a prepared statement."""

    name: str


@dataclass(frozen=True)
class Malformed:
    """A statement that cannot be read."""

    reason: str


Statement = (
    Begin | Commit | Rollback | Read | Write | SetValue | Prepare | Execute | Deallocate | Malformed
)


class TargetFault(Enum):
    """Why a database did not run a statement with success."""

    # These say that the statement did not run.
    BUSY = "busy"
    NOT_PREPARED = "not prepared"
    LAGGING = "lagging"
    READ_ONLY = "read only"
    MOVED = "moved"
    CONNECTION_LIMIT = "connection limit"
    # These leave open what became of it.
    ABORTED = "aborted"
    FAILED = "failed"
    TIMED_OUT = "timed out"
    OTHER = "other"


@dataclass(frozen=True)
class TargetReply:
    """A whole answer of a database."""

    state: SessionState
    rows: tuple[str, ...] = ()
    signature: str = ""
    fault: TargetFault | None = None
    detail: str = ""
    # The database's log when it answered.
    position: LogPosition | None = None


@dataclass(frozen=True)
class TargetStatus:
    """What a database says of itself when asked."""

    primary: bool
    term: int
    received: LogPosition


class TargetLink(Protocol):
    """One connection to a database, with one request at a time.

    Every failure of the transport closes it: ``TargetUnavailable`` if the request
    was not sent, ``LinkLost`` if the answer is missing.
    """

    @property
    def broken(self) -> bool:
        """True once the connection cannot be used."""

    def run(
        self,
        request_id: RequestId,
        statement: Statement,
        timeout_s: float,
        at_least: LogPosition | None = None,
    ) -> Result[TargetReply, QuetzalrudderError]:
        """Run a statement, at a database whose log holds a position if one is given."""

    def reset(self, timeout_s: float) -> Result[TargetReply, QuetzalrudderError]:
        """Drop session values and prepared statements."""

    def status(self, timeout_s: float) -> Result[TargetStatus | TargetFault, QuetzalrudderError]:
        """Ask for role and position."""

    def step_down(self, term: int, timeout_s: float) -> Result[None, QuetzalrudderError]:
        """Tell a primary of a lower term to become a replica."""

    def close(self) -> None:
        """Close the connection."""


class TargetConnector(Protocol):
    """Opens connections to databases."""

    def connect(
        self, target: Target, workspace: WorkspaceId, timeout_s: float
    ) -> Result[TargetLink, QuetzalrudderError]:
        """Open a connection that acts for a workspace."""
