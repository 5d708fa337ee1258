"""Errors for attempts that a database refused or failed, or whose answer does not count."""

from quetzalrudder.exceptions import (
    ConnectionLimitReached,
    DeadlineExceeded,
    NoPrimary,
    NoReplica,
    OutcomeUnknown,
    Overloaded,
    QuetzalrudderError,
    StatementFailed,
    StatementNotPrepared,
    TargetUnavailable,
    TransactionAborted,
)
from quetzalrudder.gateway.statements import TargetFault, TargetReply
from quetzalrudder.schema.common import Ending

__all__ = ["fault_error", "lost_answer_error", "stale_answer_error"]

# Retry delay for callers whose primary turned out to be replaced; its successor is recorded soon.
PRIMARY_RETRY_AFTER_MS = 500


def stale_answer_error(place: str) -> NoPrimary:
    """Return the error for an answer that came when the primary may have been replaced."""
    reason = "the primary may have been replaced before it answered"
    return NoPrimary(reason, place=place, retry_after_ms=PRIMARY_RETRY_AFTER_MS)


def lost_answer_error(exc: QuetzalrudderError, *, writes: bool) -> QuetzalrudderError:
    """Return the error for a request whose connection failed."""
    if not writes or exc.ending is Ending.NOT_RUN:
        return exc
    return OutcomeUnknown(f"the outcome of the write is unknown: {exc}", place=exc.place)


def fault_error(reply: TargetReply, place: str) -> QuetzalrudderError:
    """Return the error that corresponds to a database's fault."""
    reason = f"{reply.fault.value}: {reply.detail}" if reply.fault else reply.detail
    match reply.fault:
        case TargetFault.BUSY:
            return Overloaded(reason, place=place, retry_after_ms=20)
        case TargetFault.NOT_PREPARED:
            return StatementNotPrepared(reason, place=place)
        case TargetFault.LAGGING:
            return NoReplica(reason, place=place, retry_after_ms=20)
        case TargetFault.READ_ONLY:
            return NoPrimary(reason, place=place, retry_after_ms=PRIMARY_RETRY_AFTER_MS)
        case TargetFault.MOVED:
            return TargetUnavailable(reason, place=place)
        case TargetFault.CONNECTION_LIMIT:
            return ConnectionLimitReached(reason, place=place, retry_after_ms=50)
        case TargetFault.ABORTED:
            return TransactionAborted(reason, place=place)
        case TargetFault.TIMED_OUT:
            return DeadlineExceeded(reason, place=place, ending=Ending.UNKNOWN)
        case _:
            return StatementFailed(reason, place=place)
