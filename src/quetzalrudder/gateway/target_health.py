"""Hold-off of one database after failures, refusals and lag.

Serves databases that do not answer at all: each failure in a row holds reads off for longer,
and then one trial read at a time finds out whether it answers again.
"""

from dataclasses import dataclass

__all__ = ["MAX_HOLD_OFF_S", "TargetHealth"]

# A refusal counts as much as full use by this instance, and decays within a few reads.
BUSY_COST = 1.0
BUSY_DECAY_S = 0.2
# How long reads avoid a replica that lagged: longer than a healthy replica is behind.
LAGGING_HOLD_OFF_S = 0.1
# A failing database is retried soon at first; the delay doubles up to 2 s.
FIRST_HOLD_OFF_S = 0.2
MAX_HOLD_OFF_S = 2.0
# Enough to reach MAX_HOLD_OFF_S; bounds the exponent.
MAX_HOLD_OFF_DOUBLINGS = 10
# Failures without an answer between them after which a database counts as dead all the same.
DEAD_AFTER_FAILURES = 3


@dataclass
class TargetHealth:
    """What the latest statements at one database got."""

    busy_at: float = -1e9
    lagging_until: float = 0.0
    failures: int = 0
    held_off_until: float = 0.0
    # Set from a failure that is held off until the next answer.
    is_dead: bool = False
    # Time until which the result of a trial read is awaited.
    trial_until: float = 0.0
    answered: bool = False

    def is_held_off(self, now: float) -> bool:
        """Return whether reads avoid the database, as it failed or is on trial."""
        return max(self.held_off_until, self.trial_until) > now

    def busy_cost(self, now: float) -> float:
        """Return the cost of the latest refusal for want of a slot."""
        return BUSY_COST * max(0.0, 1 - (now - self.busy_at) / BUSY_DECAY_S)

    def end_failures(self) -> None:
        """End a run of failures, as the database answered."""
        self.failures = 0
        self.is_dead = False
        self.trial_until = 0.0

    def record_lagging(self, now: float) -> None:
        """Avoid a replica that lagged, for a moment."""
        self.lagging_until = now + LAGGING_HOLD_OFF_S
        self.trial_until = 0.0

    def record_failure(self, now: float, *, is_partial: bool) -> None:
        """Hold reads off, unless the database answers most of them and failed but once or twice."""
        self.failures += 1
        self.trial_until = 0.0
        if is_partial and self.failures < DEAD_AFTER_FAILURES:
            return
        self.is_dead = True
        doublings = min(self.failures - 1, MAX_HOLD_OFF_DOUBLINGS)
        self.held_off_until = now + min(MAX_HOLD_OFF_S, FIRST_HOLD_OFF_S * 2**doublings)
