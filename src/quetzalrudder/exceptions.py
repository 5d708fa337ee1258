"""The exceptions of quetzalrudder.

An exception carries how the request ended: *done*, *not run* or *unknown*. Only a
request that certainly had no effect is reported as *not run*.
"""

from quetzalrudder.schema.common import Ending, ErrorCode, Failure

__all__ = [
    "AccessDenied",
    "BindFailed",
    "Conflict",
    "ConnectionLimitReached",
    "DeadlineExceeded",
    "Draining",
    "InternalError",
    "InvalidSettings",
    "InvalidToken",
    "KeyInStatement",
    "KeyWithdrawn",
    "LinkLost",
    "MalformedMessage",
    "MessageTooLarge",
    "NoPrimary",
    "NoReplica",
    "OutcomeForgotten",
    "OutcomeUnknown",
    "Overloaded",
    "PlatformUnavailable",
    "PositionLost",
    "PrimaryChanging",
    "QuetzalrudderError",
    "QueueTooLong",
    "RateExceeded",
    "RateOwnerUnknown",
    "RequestCancelled",
    "RequestChanged",
    "RequestNotOffered",
    "RouteNotFound",
    "SettingsTooOld",
    "StaleTerm",
    "Starting",
    "StatementFailed",
    "StatementNotPrepared",
    "TargetUnavailable",
    "TransactionAborted",
    "TransactionNotFound",
    "TruncatedAnswer",
    "Unauthenticated",
    "from_failure",
    "to_failure",
]


class QuetzalrudderError(Exception):
    """Base class of all exceptions.

    Parameters
    ----------
    message : str
        Description of the error for a person.
    place : str
        The setting, route, target or field concerned.
    retry_after_ms : int
        Delay before a retry, in milliseconds; 0 means that a retry does not help.
    ending : Ending, optional
        How the request ended; ``default_ending`` of the class if omitted.

    Examples
    --------
    >>> error = RateExceeded("rate of 10/s used up", place="steppe/almaty", retry_after_ms=120)
    >>> error.code.name, error.ending.name
    ('RATE_EXCEEDED', 'NOT_RUN')
    """

    code = ErrorCode.INTERNAL
    default_ending = Ending.NOT_RUN

    def __init__(
        self,
        message: str,
        *,
        place: str = "",
        retry_after_ms: int = 0,
        ending: Ending | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.place = place
        self.retry_after_ms = retry_after_ms
        self.ending = self.default_ending if ending is None else ending

    def __str__(self) -> str:
        prefix = f"{self.place}: " if self.place else ""
        return f"{prefix}{self.message}"

    @property
    def log_name(self) -> str:
        """Name of the failure in log lines and metrics."""
        return type(self).__name__


class InternalError(QuetzalrudderError):
    """A defect of quetzalrudder itself; it is not known how the request ended."""

    code = ErrorCode.INTERNAL
    default_ending = Ending.UNKNOWN


class RequestNotOffered(InternalError):
    """A defect of quetzalrudder itself, before any database got the request."""

    default_ending = Ending.NOT_RUN


class MalformedMessage(QuetzalrudderError):
    """A message could not be decoded, or a field is missing."""

    code = ErrorCode.MALFORMED_MESSAGE


class MessageTooLarge(QuetzalrudderError):
    """A message exceeds the size limit."""

    code = ErrorCode.MESSAGE_TOO_LARGE


class Unauthenticated(QuetzalrudderError):
    """The key is unknown, or belongs to another workspace."""

    code = ErrorCode.UNAUTHENTICATED


class KeyWithdrawn(Unauthenticated):
    """The key was valid when the connection opened and has been withdrawn."""

    code = ErrorCode.KEY_WITHDRAWN


class KeyInStatement(QuetzalrudderError):
    """The statement contains the caller's own key, which no target may see."""

    code = ErrorCode.KEY_IN_STATEMENT


class AccessDenied(QuetzalrudderError):
    """The workspace may not use the route, transaction or token."""

    code = ErrorCode.ACCESS_DENIED


class RouteNotFound(QuetzalrudderError):
    """No route of that name is configured."""

    code = ErrorCode.ROUTE_NOT_FOUND


class DeadlineExceeded(QuetzalrudderError):
    """The request could not be finished within its deadline."""

    code = ErrorCode.DEADLINE_EXCEEDED


class RateExceeded(QuetzalrudderError):
    """The workspace has used up its rate and burst."""

    code = ErrorCode.RATE_EXCEEDED


class RateOwnerUnknown(RateExceeded):
    """No instance is known that hands out tokens of the workspace's rate."""

    # For callers the code is the same as for a rate that is used up.
    log_name = "RateOwnerUnknown"


class Overloaded(QuetzalrudderError):
    """The request could not have been served in time and was refused immediately."""

    code = ErrorCode.OVERLOADED


class QueueTooLong(Overloaded):
    """No slot of the database would become free before the request stops waiting."""

    # For callers and operators' tools the same as any other overload.
    log_name = "Overloaded"


class NoPrimary(QuetzalrudderError):
    """No primary of the group is known to be current."""

    code = ErrorCode.NO_PRIMARY


class PrimaryChanging(NoPrimary):
    """No primary may be used, and none is expected soon enough to wait for."""


class NoReplica(QuetzalrudderError):
    """No database of the group has data that the read accepts."""

    code = ErrorCode.NO_REPLICA


class TargetUnavailable(QuetzalrudderError):
    """The target could not be reached."""

    code = ErrorCode.TARGET_UNAVAILABLE


class ConnectionOwnerLost(TargetUnavailable):
    """The instance that owns the connections to a database did not answer."""

    # The name in logs and metrics is fixed, because operators' tools may match it.
    log_name = "HolderLost"


class ConnectionLimitReached(QuetzalrudderError):
    """No connection to the target may be opened within the limit."""

    code = ErrorCode.CONNECTION_LIMIT


class StaleTerm(QuetzalrudderError):
    """The target knows a newer term than that of the sender."""

    code = ErrorCode.STALE_TERM


class PositionLost(QuetzalrudderError):
    """The session saw a position that was lost in a failover."""

    code = ErrorCode.POSITION_LOST


class OutcomeUnknown(QuetzalrudderError):
    """The request may or may not have run; its outcome can be queried by request id."""

    code = ErrorCode.OUTCOME_UNKNOWN
    default_ending = Ending.UNKNOWN


class OutcomeForgotten(OutcomeUnknown):
    """No outcome is recorded, but one may have been discarded; a repeated query does not help."""

    code = ErrorCode.OUTCOME_FORGOTTEN


class StatementFailed(QuetzalrudderError):
    """The target refused the statement, for example for bad SQL; nothing was changed."""

    code = ErrorCode.STATEMENT_FAILED


class StatementNotPrepared(QuetzalrudderError):
    """No statement of that name is prepared in this session."""

    code = ErrorCode.STATEMENT_NOT_PREPARED


class TransactionNotFound(QuetzalrudderError):
    """No such transaction is open on this connection."""

    code = ErrorCode.TRANSACTION_NOT_FOUND


class Draining(QuetzalrudderError):
    """The instance is shutting down; another instance can serve the request."""

    code = ErrorCode.DRAINING


class Starting(Draining):
    """The instance has no settings yet; another instance can serve the request."""

    code = ErrorCode.STARTING


class PlatformUnavailable(QuetzalrudderError):
    """The platform did not answer."""

    code = ErrorCode.PLATFORM_UNAVAILABLE


class Conflict(QuetzalrudderError):
    """Another operator changed the settings first."""

    code = ErrorCode.CONFLICT


class InvalidSettings(QuetzalrudderError):
    """A setting is unknown, of the wrong type or out of range."""

    code = ErrorCode.INVALID_SETTINGS


class SettingsTooOld(QuetzalrudderError):
    """The instance's view of keys and settings is older than the setting allows."""

    code = ErrorCode.SETTINGS_TOO_OLD


class InvalidToken(QuetzalrudderError):
    """The session token is damaged or belongs to another workspace."""

    code = ErrorCode.INVALID_TOKEN


class TruncatedAnswer(QuetzalrudderError):
    """The target's answer was cut short."""

    code = ErrorCode.TRUNCATED_ANSWER
    default_ending = Ending.UNKNOWN


class LinkLost(QuetzalrudderError):
    """The connection was lost before the answer arrived."""

    code = ErrorCode.LINK_LOST
    default_ending = Ending.UNKNOWN


class RequestChanged(QuetzalrudderError):
    """The request id was used before for another statement."""

    code = ErrorCode.REQUEST_CHANGED


class RequestCancelled(QuetzalrudderError):
    """The request id was reported as not run, and its request is never run afterwards."""

    code = ErrorCode.REQUEST_CANCELLED


class TransactionAborted(QuetzalrudderError):
    """The transaction was rolled back; none of its changes took effect."""

    code = ErrorCode.TRANSACTION_ABORTED


class BindFailed(QuetzalrudderError):
    """The instance could not listen on the address."""

    code = ErrorCode.BIND_FAILED


def _all_subclasses(cls: type) -> list[type]:
    subclasses = []
    for subclass in cls.__subclasses__():
        subclasses.append(subclass)
        subclasses.extend(_all_subclasses(subclass))
    return subclasses


# A class without its own code is sent with the code of its base class.
_CLASS_BY_CODE = {
    cls.code: cls for cls in _all_subclasses(QuetzalrudderError) if "code" in vars(cls)
}


def to_failure(exc: QuetzalrudderError) -> Failure:
    """Convert an exception to the message that is sent to the peer."""
    return Failure(
        code=exc.code,
        message=exc.message,
        ending=exc.ending,
        retry_after_ms=exc.retry_after_ms,
        place=exc.place,
    )


def from_failure(failure: Failure) -> QuetzalrudderError:
    """Convert a received message to an exception.

    Examples
    --------
    >>> type(from_failure(to_failure(RouteNotFound("no such route")))).__name__
    'RouteNotFound'
    """
    cls = _CLASS_BY_CODE.get(failure.code, InternalError)
    return cls(
        failure.message,
        place=failure.place,
        retry_after_ms=failure.retry_after_ms,
        ending=failure.ending or Ending.UNKNOWN,
    )
