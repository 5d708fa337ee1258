"""When a failed request may be sent again, and how many retries there may be."""

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

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
MAX_ATTEMPTS = 6
MAX_JITTER = 0.5
ATTEMPT_TIMEOUT_SHARE = 0.6
OUTCOME_QUERY_SHARE = 0.25
MIN_ATTEMPT_MS = 50
RETRY_DELAY_S = 0.05

IMMEDIATE_RETRY_ERRORS = (LinkLost, Draining)
DELAYED_RETRY_ERRORS = (ConnectionLimitReached, NoPrimary, NoReplica, StaleTerm, TargetUnavailable)
OTHER_INSTANCE_ERRORS = IMMEDIATE_RETRY_ERRORS + DELAYED_RETRY_ERRORS
DEFINITE_ERRORS = (RequestCancelled, RequestChanged, TransactionNotFound)


class RetryBudget:
    """Token bucket that keeps retries to a share of the requests.

    Parameters
    ----------
    share : float
        Retries that each request adds to the budget.
    burst : float
        Most retries saved up.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, burst=1)
    >>> budget.try_consume(), budget.try_consume()
    (True, False)
    >>> budget.add_request(); budget.add_request(); budget.try_consume()
    True
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self._share = share
        self._burst = burst
        self._lock = threading.Lock()
        self._tokens = burst

    def add_request(self) -> None:
        """Count one first attempt."""
        with self._lock:
            self._tokens = min(self._burst, self._tokens + self._share)

    def try_consume(self) -> bool:
        """Take one retry out of the budget; false if none is left."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


@dataclass(frozen=True)
class RetryPolicy:
    """Decides whether a session sends a failed request again.

    Every request that changes data carries its request id, so a repeat is safe
    whatever became of the attempt before it.

    Parameters
    ----------
    budget : RetryBudget
        Bounds the repeats of all requests of the session.
    rng : random.Random
        Spreads the pauses.
    """

    budget: RetryBudget
    rng: random.Random

    def retry_delay_s(
        self, exc: QuetzalrudderError, attempts: int, deadline: Deadline
    ) -> float | None:
        """Give the pause before the next attempt, in seconds; None to give up.

        Parameters
        ----------
        exc : QuetzalrudderError
            How the last attempt failed.
        attempts : int
            Attempts made.
        deadline : Deadline
            When the request is given up.
        """
        pause_s = self._wanted_pause_s(exc, attempts)
        if pause_s is None or attempts >= MAX_ATTEMPTS or pause_s >= deadline.remaining_s:
            return None
        return pause_s if self.budget.try_consume() else None

    def _wanted_pause_s(self, exc: QuetzalrudderError, attempts: int) -> float | None:
        if isinstance(exc, Unauthenticated):
            return None
        if isinstance(exc, IMMEDIATE_RETRY_ERRORS):
            return RETRY_DELAY_S * (attempts - 1)
        if isinstance(exc, Unauthenticated | OutcomeForgotten):
            return None
        if exc.ending is Ending.UNKNOWN or isinstance(exc, DELAYED_RETRY_ERRORS):
            return exc.retry_after_ms / MS_PER_S * (1 + MAX_JITTER * self.rng.random())
        return None


def attempt_timeout_ms(deadline: Deadline) -> int:
    """Give the time of one attempt, which leaves some for another, in milliseconds."""
    remaining_ms = deadline.remaining_ms
    return max(min(remaining_ms, MIN_ATTEMPT_MS), int(remaining_ms * ATTEMPT_TIMEOUT_SHARE))


def should_ask_outcome(deadline: Deadline, timeout_s: float) -> bool:
    """Tell whether the time left is better spent on asking than on a repeat."""
    return deadline.remaining_s < timeout_s * OUTCOME_QUERY_SHARE


def final_error(
    exc: QuetzalrudderError, lost: QuetzalrudderError | None, request_id: str
) -> QuetzalrudderError:
    """Give the failure that a caller is told after the last attempt.

    A refusal of the last attempt says nothing of an earlier one whose answer was
    lost; the whole is then unknown, unless the refusal settles the request id.
    """
    if lost is None or lost is exc or isinstance(exc, DEFINITE_ERRORS):
        return exc
    reason = f"{lost.message}; then {exc.message}"
    return OutcomeUnknown(reason, place=request_id, retry_after_ms=exc.retry_after_ms)
