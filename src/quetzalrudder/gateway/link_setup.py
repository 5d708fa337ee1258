"""Preparation of a pooled connection for the session that uses it next.

The steps are answered like any other statement. Only an answer without a fault says that a step
has been done; after any other the state of the connection is unknown, and it is reset before its
next use.
"""

from result import Err, Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError, TargetUnavailable
from quetzalrudder.gateway.checkouts import PooledLink
from quetzalrudder.gateway.statements import (
    Prepare,
    SessionState,
    SetValue,
    TargetFault,
    TargetReply,
)
from quetzalrudder.models import RequestId

__all__ = ["INTERNAL_REQUEST_ID", "SessionSetupFailed", "set_up_link"]

# Request id of statements that the gateway sends on its own.
INTERNAL_REQUEST_ID = RequestId("-")
# Timeout of a step: many round trips, as none waits for a slot of the database.
SETUP_TIMEOUT_S = 0.5
RETRY_AFTER_MS = 20


class SessionSetupFailed(TargetUnavailable):
    """A connection could not be prepared for a session, so that nothing of it was sent.

    Parameters
    ----------
    message : str
        Description of the error for a person.
    reply : TargetReply, optional
        The database's answer to the step; None if there is none.
    """

    def __init__(self, message: str, *, place: str = "", reply: TargetReply | None = None) -> None:
        super().__init__(message, place=place, retry_after_ms=RETRY_AFTER_MS)
        self.reply = reply

    @property
    def fault(self) -> TargetFault | None:
        """The database's fault; None if the connection was lost."""
        return self.reply.fault if self.reply is not None else None

    @property
    def leaves_link_idle(self) -> bool:
        """True if the connection can be prepared again, as no transaction is open on it."""
        return self.reply is not None and self.reply.state is SessionState.IDLE


def set_up_link(
    pooled: PooledLink, values: dict[str, str], prepare: Prepare | None
) -> Result[None, SessionSetupFailed]:
    """Apply a session's values to a connection and prepare the statement to execute next.

    A connection with values that the session does not have is reset first.
    """
    if any(name not in values for name in pooled.values):
        done = _check_done(pooled, "reset", pooled.link.reset(SETUP_TIMEOUT_S))
        if isinstance(done, Err):
            return done
        pooled.values.clear()
        pooled.prepared.clear()
    for name, value in values.items():
        if pooled.values.get(name) != value:
            done = _run_step(pooled, "session value", SetValue(name, value))
            if isinstance(done, Err):
                return done
            pooled.values[name] = value
    if prepare is not None and prepare.name not in pooled.prepared:
        done = _run_step(pooled, "prepared statement", prepare)
        if isinstance(done, Err):
            return done
        pooled.prepared.add(prepare.name)
    return Ok(None)


def _run_step(
    pooled: PooledLink, step: str, statement: SetValue | Prepare
) -> Result[None, SessionSetupFailed]:
    result = pooled.link.run(INTERNAL_REQUEST_ID, statement, SETUP_TIMEOUT_S)
    return _check_done(pooled, step, result)


def _check_done(
    pooled: PooledLink, step: str, result: Result[TargetReply, QuetzalrudderError]
) -> Result[None, SessionSetupFailed]:
    """Return the failure of a step that was not answered as done."""
    match result:
        case Ok(reply) if reply.fault is None:
            return Ok(None)
        case Ok(reply):
            failure = SessionSetupFailed(
                f"{step}: {reply.fault.value}: {reply.detail}", reply=reply
            )
        case Err(exc):
            failure = SessionSetupFailed(f"{step}: {exc.message}", place=exc.place)
    pooled.invalidate_values()
    return Err(failure)
