"""Reads the structured logs of many processes, and finds what decided a request."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from quetzalrudder.exceptions import InvalidSettings

__all__ = ["LogLine", "Logs", "explain", "read_logs"]

# A longer line is none of ours; they have a few hundred bytes.
MAX_LINE_CHARS = 64 * 1024
# What an instance believes, by the message that says so; the newest before a request counts.
BELIEFS = {
    "configuration in force": "configuration",
    "permission held by peers": "permission",
    "peers give no permission": "permission",
    "permission held by the own lease again": "permission",
    "store reached": "store",
    "store lost": "store",
    # The text that older builds wrote.
    "joined": "membership",
    "joined the fleet": "membership",
    "lease ended": "membership",
}
# The same, for each group or target that the line names.
BELIEFS_OF_PLACES = {
    "primary recorded": "primary",
    "successor chosen": "primary",
    "primary suspected": "suspicion",
    "primary no longer suspected": "suspicion",
    "target announced": "target",
    "target gone": "target",
    "holder of connections not used": "holder",
    "keeper of a rate not reached": "keeper",
}
PLACE_FIELDS = ("target", "primary", "successor", "peer")


@dataclass(frozen=True)
class LogLine:
    """One line of one process."""

    time: str
    instance: str
    level: str
    message: str
    # All other fields.
    fields: dict[str, Any]

    def matches(self, wanted: dict[str, str]) -> bool:
        """Tell whether every wanted field has the wanted text.

        Examples
        --------
        >>> line = LogLine("t", "edge-1", "INFO", "store lost", {"target": "db-1"})
        >>> line.matches({"instance": "edge-1", "target": "db-1"})
        True
        """
        own = {"instance": self.instance, "level": self.level, "message": self.message}
        found = {**self.fields, **own}
        return all(str(found.get(name, "")) == text for name, text in wanted.items())

    def __str__(self) -> str:
        shown = "  ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time}  {self.instance}  {self.message}  {shown}".rstrip()


@dataclass(frozen=True)
class Logs:
    """The lines of all files in one order."""

    lines: list[LogLine]
    # Lines that no process of the product wrote whole.
    foreign: int


def read_logs(paths: Iterable[str]) -> Logs:
    """Read files, merged by time; partly written and foreign lines are counted.

    Raises
    ------
    InvalidSettings
        A file cannot be read.
    """
    lines: list[LogLine] = []
    foreign = 0
    for path in paths:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as text:
                for found in _read_lines(text):
                    if found is None:
                        foreign += 1
                    else:
                        lines.append(found)
        except OSError as exc:
            raise InvalidSettings(f"cannot be read: {exc}", place=str(path)) from exc
    return Logs(sorted(lines, key=lambda line: line.time), foreign)


def _read_lines(text: Iterable[str]) -> Iterator[LogLine | None]:
    for raw in text:
        if raw.strip():
            yield _read_line(raw)


def _read_line(raw: str) -> LogLine | None:
    # A collector may have put its own words before the object.
    start = raw.find("{")
    if start < 0 or len(raw) > MAX_LINE_CHARS:
        return None
    try:
        found = json.loads(raw[start:])
    except (ValueError, RecursionError):
        return None
    if not isinstance(found, dict) or not {"time", "message"} <= found.keys():
        return None
    taken = {name: str(found.pop(name, "")) for name in ("time", "instance", "level", "message")}
    found.pop("logger", None)
    return LogLine(fields=found, **taken)


def explain(logs: Logs, request_id: str) -> list[tuple[LogLine, bool]]:
    """Find a request's own lines, and before each what its instance believed.

    Returns
    -------
    list of (LogLine, bool)
        In order of time; true marks the request's own lines.
    """
    own = [line for line in logs.lines if line.fields.get("request_id") == request_id]
    found: dict[int, tuple[LogLine, bool]] = {}
    for line in own:
        for belief in _beliefs_before(logs, line):
            found.setdefault(id(belief), (belief, False))
        found[id(line)] = (line, True)
    return sorted(found.values(), key=lambda entry: entry[0].time)


def _beliefs_before(logs: Logs, line: LogLine) -> list[LogLine]:
    places = {line.fields.get("target"), line.fields.get("holder"), *_places_in_faults(line)}
    newest: dict[tuple[str, str], LogLine] = {}
    for other in logs.lines:
        if other.time > line.time:
            break
        if other.instance != line.instance or other is line:
            continue
        if other.message in BELIEFS:
            newest[BELIEFS[other.message], ""] = other
        elif other.message in BELIEFS_OF_PLACES:
            named = {other.fields.get(name) for name in PLACE_FIELDS}
            group = str(other.fields.get("group", ""))
            if named & places - {None, ""} or not line.fields.get("target"):
                newest[BELIEFS_OF_PLACES[other.message], group] = other
    return list(newest.values())


def _places_in_faults(line: LogLine) -> set[str]:
    faults = line.fields.get("faults")
    return {str(fault).partition(":")[0] for fault in faults} if isinstance(faults, list) else set()
