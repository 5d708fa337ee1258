"""What a check of a settings file finds: the kind, the place, the reason and whom it concerns."""

import dataclasses
import re
from enum import Enum

from quetzalrudder.exceptions import InvalidSettings
from quetzalrudder.ini import SettingsErrors

__all__ = ["Finding", "FindingKind", "Place", "Severity", "error_findings"]

PLACE_PATTERN = re.compile(r"(?P<file>.*) \[(?P<section>[^\]]*)\](?: (?P<key>\S+))?")
MAX_LISTED_SECTIONS = 5


class Severity(Enum):
    """Whether a finding prevents a tree from being applied, may be a mistake, or is a change."""

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


class FindingKind(Enum):
    """What a finding is about."""

    INVALID = "invalid"
    ROUTE_WITHOUT_GROUP = "route without group"
    ROUTE_WITHOUT_CALLERS = "route without callers"
    WORKSPACE_WITHOUT_ROUTES = "workspace without routes"
    UNUSED_SETTING = "unused setting"
    SAME_AS_INHERITED = "same as inherited"
    KEY_AGE_TOO_LOW = "key age too low"
    BURST_BELOW_COST = "burst below cost"
    RATE_ZERO = "rate zero"
    WAIT_BEYOND_DEADLINE = "wait beyond deadline"
    IDLE_BEYOND_DURATION = "idle beyond duration"
    BRANCH_ADDED = "branch added"
    BRANCH_REMOVED = "branch removed"
    SETTING_CHANGED = "setting changed"


@dataclasses.dataclass(frozen=True)
class Place:
    """Where a finding is: a file, a section and a key; the last two are empty if unknown."""

    file: str
    section: str = ""
    key: str = ""

    def __str__(self) -> str:
        section = f"[{self.section}]" if self.section else ""
        return " ".join(part for part in (self.file, section, self.key) if part)


@dataclasses.dataclass(frozen=True)
class Finding:
    """One result of a check.

    Parameters
    ----------
    severity, kind : Severity, FindingKind
        How serious it is, and what it is about.
    place : Place
        The section and key to change.
    message : str
        The reason, in one sentence.
    affects : tuple of str
        Sections of the routes and workspaces for which it holds; empty if only the place itself.
    """

    severity: Severity
    kind: FindingKind
    place: Place
    message: str
    affects: tuple[str, ...] = ()

    def __str__(self) -> str:
        return f"{self.severity.value}: {self.place}: {self.message}{self._format_affects()}"

    def _format_affects(self) -> str:
        if not self.affects or self.affects == (self.place.section,):
            return ""
        listed = ", ".join(f"[{section}]" for section in self.affects[:MAX_LISTED_SECTIONS])
        more = len(self.affects) - MAX_LISTED_SECTIONS
        return f"; for {listed}" + (f" and {more} more" if more > 0 else "")


def error_findings(exc: InvalidSettings, file: str) -> list[Finding]:
    """Return the errors that the parser found in a file as findings."""
    errors = exc.errors if isinstance(exc, SettingsErrors) else [exc]
    findings: list[Finding] = []
    for error in errors:
        match = PLACE_PATTERN.fullmatch(error.place)
        place = Place(match["file"], match["section"], match["key"] or "") if match else Place(file)
        findings.append(Finding(Severity.ERROR, FindingKind.INVALID, place, error.message))
    return findings
