"""Reads the structured logs of many processes and finds the lines that explain a request."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from quetzalrudder.exceptions import InvalidSettings

__all__ = ["LogLine", "MergedLogs", "explain_request", "read_logs"]

# Lines of this product have a few hundred bytes; a line above this limit is from another program.
MAX_LINE_CHARS = 64 * 1024
# Log messages that report a change in what an instance knows, and the kind of state changed.
# The newest message of each kind before a request shows the state at the time of the request.
INSTANCE_STATE_MESSAGES = {
    "configuration in force": "configuration",
    "permission held by peers": "permission",
    "peers give no permission": "permission",
    "permission held by the own lease again": "permission",
    "store reached": "store",
    "store lost": "store",
    "store came back from an older copy": "era of the store",
    "era of the store observed": "era of the store",
    "view of the store failed": "view of the store",
    "view of the store restored": "view of the store",
    "store item skipped": "store item",
    "record of a peer skipped": "store item",
    # Logged by older versions instead of "joined the fleet".
    "joined": "membership",
    "joined the fleet": "membership",
    "lease ended": "membership",
    "lease void": "membership",
    "rates taken over": "rates",
}
# The same for messages about one group or target, which the log line names; the newest message
# of each kind and group counts.
TARGET_STATE_MESSAGES = {
    "primary recorded": "primary",
    "successor chosen": "primary",
    "successor confirmed": "primary",
    "promotion waits": "primary",
    "primary of an earlier era checked": "era of the primary",
    "primary suspected": "suspicion",
    "primary no longer suspected": "suspicion",
    "target announced": "target",
    "target gone": "target",
    "connection owner not used": "connection owner",
    "rate owner not reached": "rate owner",
    # Logged by older versions instead of the previous two messages.
    "holder of connections not used": "connection owner",
    "keeper of a rate not reached": "rate owner",
}
# Log fields that name a target or a peer.
TARGET_FIELDS = ("target", "primary", "successor", "peer")


@dataclass(frozen=True)
class LogLine:
    """One log line of one process."""

    time: str
    instance: str
    level: str
    message: str
    # Fields other than those above and the logger.
    fields: dict[str, Any]

    def matches(self, filters: dict[str, str]) -> bool:
        """Return whether each field in the filters has the given text.

        Examples
        --------
        >>> line = LogLine("t", "edge-1", "INFO", "store lost", {"target": "db-1"})
        >>> line.matches({"instance": "edge-1", "target": "db-1"})
        True
        """
        standard = {"instance": self.instance, "level": self.level, "message": self.message}
        fields = {**self.fields, **standard}
        return all(str(fields.get(name, "")) == text for name, text in filters.items())

    def __str__(self) -> str:
        fields = "  ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time}  {self.instance}  {self.message}  {fields}".rstrip()


@dataclass(frozen=True)
class MergedLogs:
    """The lines of all files, in order of time."""

    lines: list[LogLine]
    # Number of lines that are incomplete or from another program.
    unrecognized_lines: int


def read_logs(paths: Iterable[str]) -> MergedLogs:
    """Read log files and merge their lines by time.

    Lines that are incomplete or from another program are counted and left out.

    Raises
    ------
    InvalidSettings
        A file cannot be read.
    """
    lines: list[LogLine] = []
    unrecognized = 0
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as file:
                for line in _parse_lines(file):
                    if line is None:
                        unrecognized += 1
                    else:
                        lines.append(line)
        except OSError as exc:
            raise InvalidSettings(f"cannot read the log file: {exc}", place=str(path)) from exc
    return MergedLogs(sorted(lines, key=lambda line: line.time), unrecognized)


def _parse_lines(raw_lines: Iterable[str]) -> Iterator[LogLine | None]:
    for raw in raw_lines:
        if raw.strip():
            yield _parse_line(raw)


def _parse_line(raw: str) -> LogLine | None:
    # A log collector may have added a prefix to the JSON object.
    start = raw.find("{")
    if start < 0 or len(raw) > MAX_LINE_CHARS:
        return None
    try:
        fields = json.loads(raw[start:])
    except (ValueError, RecursionError):
        return None
    if not isinstance(fields, dict) or not {"time", "message"} <= fields.keys():
        return None
    standard = {
        name: str(fields.pop(name, "")) for name in ("time", "instance", "level", "message")
    }
    fields.pop("logger", None)
    return LogLine(fields=fields, **standard)


def explain_request(logs: MergedLogs, request_id: str) -> list[tuple[LogLine, bool]]:
    """Find the lines of a request, and the earlier lines that show what its instance knew.

    Returns
    -------
    list of (LogLine, bool)
        Lines in order of time, with true for those that carry the request id.
    """
    request_lines = [line for line in logs.lines if line.fields.get("request_id") == request_id]
    entries: dict[int, tuple[LogLine, bool]] = {}
    for line in request_lines:
        for state_line in _state_lines_before(logs, line):
            entries.setdefault(id(state_line), (state_line, False))
        entries[id(line)] = (line, True)
    return sorted(entries.values(), key=lambda entry: entry[0].time)


def _state_lines_before(logs: MergedLogs, line: LogLine) -> list[LogLine]:
    targets = {line.fields.get("target"), line.fields.get("holder"), *_targets_in_faults(line)}
    newest: dict[tuple[str, str], LogLine] = {}
    for other in logs.lines:
        if other.time > line.time:
            break
        if other.instance != line.instance or other is line:
            continue
        if other.message in INSTANCE_STATE_MESSAGES:
            newest[INSTANCE_STATE_MESSAGES[other.message], ""] = other
        elif other.message in TARGET_STATE_MESSAGES:
            named = {other.fields.get(name) for name in TARGET_FIELDS}
            group = str(other.fields.get("group", ""))
            if named & targets - {None, ""} or not line.fields.get("target"):
                newest[TARGET_STATE_MESSAGES[other.message], group] = other
    return list(newest.values())


def _targets_in_faults(line: LogLine) -> set[str]:
    faults = line.fields.get("faults")
    return {str(fault).partition(":")[0] for fault in faults} if isinstance(faults, list) else set()
