"""What the callers of a model run got."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

__all__ = ["Ending", "Operation", "Results"]


class Ending(Enum):
    """How an operation ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True)
class Operation:
    """One operation of a caller, with all of its attempts."""

    kind: str
    workspace: str
    data_centre: str
    # Seconds since the start of the load.
    started_s: float
    took_s: float
    ending: Ending
    tries: int
    # Class of the last error; empty after a success.
    last_error: str
    worth: float
    late_worth: float

    @property
    def earned(self) -> float:
        """What its answer was worth to the caller."""
        match self.ending:
            case Ending.IN_TIME:
                return self.worth
            case Ending.LATE:
                return self.late_worth
            case _:
                return 0.0


class Results:
    """All operations of one run."""

    def __init__(self, operations: Iterable[Operation]) -> None:
        self.operations = sorted(operations, key=lambda operation: operation.started_s)

    def between(self, start_s: float, end_s: float) -> "Results":
        """Return the operations that started in a span of time."""
        return Results(op for op in self.operations if start_s <= op.started_s < end_s)

    def share(self, *endings: Ending) -> float:
        """Return the share of operations with one of these endings; 0 without operations."""
        matching = sum(1 for op in self.operations if op.ending in endings)
        return matching / len(self.operations) if self.operations else 0.0

    @property
    def earned(self) -> float:
        """Share of the possible worth that was earned; 0 without operations."""
        possible = sum(op.worth for op in self.operations)
        return sum(op.earned for op in self.operations) / possible if possible else 0.0

    def earned_by(self, key: Callable[[Operation], str]) -> dict[str, float]:
        """Return the share of the worth that was earned, by kind, workspace or data centre."""
        groups: dict[str, list[Operation]] = {}
        for op in self.operations:
            groups.setdefault(key(op), []).append(op)
        return {name: Results(ops).earned for name, ops in sorted(groups.items())}

    def earned_by_second(self, width_s: float = 1.0) -> dict[float, float]:
        """Return the share of the worth that was earned, by span of time."""
        ends = {int(op.started_s / width_s) for op in self.operations}
        return {
            index * width_s: self.between(index * width_s, (index + 1) * width_s).earned
            for index in sorted(ends)
        }

    def worst_spans(self, width_s: float, count: int) -> float:
        """Return the mean share earned in the worst spans of time."""
        worst = sorted(self.earned_by_second(width_s).values())[:count]
        return sum(worst) / len(worst) if worst else 0.0
