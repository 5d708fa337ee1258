"""The record of a case: what was sent, answered and run, one JSON object a line."""

import json
import threading
import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Collects events in the order in which they happened.

    Parameters
    ----------
    path : Path
        File that the events are written to at the end.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self.events: list[dict] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def add(self, kind: str, **fields: object) -> dict:
        """Add an event of a kind and return it."""
        with self._lock:
            event = {"at": round(self.now(), 4), "kind": kind, **fields}
            self.events.append(event)
        return event

    def of(self, kind: str) -> list[dict]:
        """Return the events of a kind."""
        with self._lock:
            return [event for event in self.events if event["kind"] == kind]

    def write(self) -> None:
        """Write all events to the file."""
        with self._lock:
            lines = [json.dumps(event) for event in self.events]
        self._path.write_text("\n".join(lines) + "\n", encoding="utf-8")
