"""Retry policy of sessions: which failed requests are sent again, when and how often."""

import random
import threading
from dataclasses import dataclass

from quetzalrudder.exceptions import (
    ConnectionLimitReached,
    Draining,
    LinkLost,
    NoPrimary,
    NoReplica,
    OutcomeForgotten,
    OutcomeUnknown,
    QuetzalrudderError,
    RequestCancelled,
    RequestChanged,
    StaleTerm,
    TargetUnavailable,
    TransactionNotFound,
    Unauthenticated,
)
from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import MS_PER_S, Deadline

__all__ = [
    "OTHER_INSTANCE_ERRORS",
    "RetryBudget",
    "RetryPolicy",
    "attempt_timeout_ms",
    "final_error",
    "should_ask_outcome",
]

RETRIES_PER_REQUEST = 0.1
MAX_SAVED_RETRIES = 10.0
MAX_ATTEMPTS = 6
# Largest random extension of a retry delay, as a fraction of the delay.
MAX_JITTER_FRACTION = 0.5
# Fraction of the remaining time that one attempt may take, which leaves time for another attempt.
ATTEMPT_TIMEOUT_FRACTION = 0.6
# Once less than this fraction of a request's timeout remains, the session queries the outcome of
# the request instead of retrying it.
OUTCOME_QUERY_FRACTION = 0.25
MIN_ATTEMPT_TIMEOUT_MS = 50
# Growth of the delay with each attempt for IMMEDIATE_RETRY_ERRORS, whose first retry has none.
RETRY_DELAY_S = 0.05

# Errors after which a session tries another instance.
IMMEDIATE_RETRY_ERRORS = (LinkLost, Draining)
DELAYED_RETRY_ERRORS = (ConnectionLimitReached, NoPrimary, NoReplica, StaleTerm, TargetUnavailable)
OTHER_INSTANCE_ERRORS = IMMEDIATE_RETRY_ERRORS + DELAYED_RETRY_ERRORS
# Errors that settle the outcome of a request id, whatever became of earlier attempts.
DEFINITE_ERRORS = (RequestCancelled, RequestChanged, TransactionNotFound)


class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    Parameters
    ----------
    share : float
        Retries that each request adds to the budget.
    burst : float
        Maximum number of retries in the budget.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, burst=1)
    >>> budget.try_consume(), budget.try_consume()
    (True, False)
    >>> budget.add_request(); budget.add_request(); budget.try_consume()
    True
    """

    def __init__(
        self, share: float = RETRIES_PER_REQUEST, burst: float = MAX_SAVED_RETRIES
    ) -> None:
        self._share = share
        self._burst = burst
        self._lock = threading.Lock()
        self._tokens = burst

    def add_request(self) -> None:
        """Add the share of one new request to the budget."""
        with self._lock:
            self._tokens = min(self._burst, self._tokens + self._share)

    def try_consume(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


@dataclass(frozen=True)
class RetryPolicy:
    """Decides whether a session sends a failed request again.

    Every request that changes data carries its request id, so a retry is safe
    whatever the outcome of the previous attempt was.

    Parameters
    ----------
    budget : RetryBudget
        Limits the retries of all requests of the session.
    rng : random.Random
        Random source of the jitter.
    """

    budget: RetryBudget
    rng: random.Random

    def retry_delay_s(
        self, exc: QuetzalrudderError, attempts: int, deadline: Deadline
    ) -> float | None:
        """Return the delay before the next attempt, in seconds, or None to give up.

        Parameters
        ----------
        exc : QuetzalrudderError
            Error of the last attempt.
        attempts : int
            Number of attempts made so far.
        deadline : Deadline
            Deadline of the request.
        """
        delay_s = self._base_delay_s(exc, attempts)
        if delay_s is None or attempts >= MAX_ATTEMPTS or delay_s >= deadline.remaining_s:
            return None
        return delay_s if self.budget.try_consume() else None

    def _base_delay_s(self, exc: QuetzalrudderError, attempts: int) -> float | None:
        if isinstance(exc, Unauthenticated):
            return None
        if isinstance(exc, IMMEDIATE_RETRY_ERRORS):
            return RETRY_DELAY_S * (attempts - 1)
        if isinstance(exc, Unauthenticated | OutcomeForgotten):
            return None
        if exc.ending is Ending.UNKNOWN or isinstance(exc, DELAYED_RETRY_ERRORS):
            return exc.retry_after_ms / MS_PER_S * (1 + MAX_JITTER_FRACTION * self.rng.random())
        return None


def attempt_timeout_ms(deadline: Deadline) -> int:
    """Return the timeout of one attempt in milliseconds, leaving time for another attempt."""
    remaining_ms = deadline.remaining_ms
    return max(
        min(remaining_ms, MIN_ATTEMPT_TIMEOUT_MS), int(remaining_ms * ATTEMPT_TIMEOUT_FRACTION)
    )


def should_ask_outcome(deadline: Deadline, timeout_s: float) -> bool:
    """Return whether the outcome is to be queried, because too little time remains to retry."""
    return deadline.remaining_s < timeout_s * OUTCOME_QUERY_FRACTION


def final_error(
    exc: QuetzalrudderError, lost: QuetzalrudderError | None, request_id: str
) -> QuetzalrudderError:
    """Return the error that the caller receives after the last attempt.

    A refusal of the last attempt does not show the outcome of an earlier attempt whose
    answer was lost. The outcome of the request is then unknown, unless the refusal
    settles it for the request id.

    Parameters
    ----------
    exc : QuetzalrudderError
        Error of the last attempt.
    lost : QuetzalrudderError or None
        Error of the first attempt that may have changed data.
    request_id : str
        The request id, to be reported with an unknown outcome.
    """
    if lost is None or lost is exc or isinstance(exc, DEFINITE_ERRORS):
        return exc
    reason = f"{lost.message}; a later attempt failed: {exc.message}"
    return OutcomeUnknown(reason, place=request_id, retry_after_ms=exc.retry_after_ms)
