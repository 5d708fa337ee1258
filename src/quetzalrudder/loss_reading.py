"""Counts what became of the statements in structured logs, by span of time and first cause."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from quetzalrudder.log_reading import LogLine, MergedLogs

__all__ = ["SpanEndings", "count_endings"]

STATEMENT_MESSAGE = "statement ended"
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
DONE = "done"


@dataclass
class SpanEndings:
    """The statements that ended in one span of time."""

    start: datetime
    done: int = 0
    # Statements that failed, by ending and first cause.
    failed: Counter[str] = field(default_factory=Counter)
    # Sum of the time that failed statements were held, in milliseconds.
    held_ms: float = 0.0


def count_endings(logs: MergedLogs, width_s: float) -> list[SpanEndings]:
    """Count done and failed statements in each span of time.

    Parameters
    ----------
    logs : MergedLogs
        The logs of all instances.
    width_s : float
        Width of a span, in seconds.

    Returns
    -------
    list of SpanEndings
        The spans that have statements, in order of time.
    """
    spans: dict[datetime, SpanEndings] = {}
    for line in logs.lines:
        at = _time_of(line) if line.message == STATEMENT_MESSAGE else None
        if at is None:
            continue
        start = _span_start(at, width_s)
        span = spans.setdefault(start, SpanEndings(start))
        if line.fields.get("ending") == DONE:
            span.done += 1
        else:
            span.failed[_cause(line)] += 1
            held_ms = line.fields.get("took_ms", 0.0)
            span.held_ms += held_ms if isinstance(held_ms, int | float) else 0.0
    return [spans[start] for start in sorted(spans)]


def _time_of(line: LogLine) -> datetime | None:
    try:
        return datetime.strptime(line.time, TIME_FORMAT)
    except ValueError:
        return None


def _span_start(at: datetime, width_s: float) -> datetime:
    midnight = at.replace(hour=0, minute=0, second=0, microsecond=0)
    index = int((at - midnight).total_seconds() / width_s)
    return midnight + timedelta(seconds=index * width_s)


def _cause(line: LogLine) -> str:
    """Return the ending of a statement and its first cause: the first fault, or the reason."""
    ending = str(line.fields.get("ending", ""))
    faults = line.fields.get("faults")
    if isinstance(faults, list) and faults:
        return f"{ending} after {_without_place(str(faults[0]))}"
    return f"{ending}: {_without_place(str(line.fields.get('reason', '')))}"


def _without_place(text: str) -> str:
    """Remove the target or workspace before the colon, and what differs between statements.

    Examples
    --------
    >>> _without_place("db-1: no owner answered; tried edge-1, edge-2")
    'no owner answered'
    """
    _, colon, rest = text.partition(": ")
    return (rest if colon else text).partition(";")[0]
