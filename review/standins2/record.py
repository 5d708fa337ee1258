"""The record of a run: what was sent, answered and run."""

import threading
import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Writes lines with the time since the start of the run.

    Parameters
    ----------
    path : Path
        File that is replaced.
    """

    def __init__(self, path: Path) -> None:
        self._started = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w", encoding="utf-8")

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started

    def write(self, who: str, text: str) -> None:
        """Write a line."""
        with self._lock:
            if not self._file.closed:
                self._file.write(f"{self.now:8.3f} {who:12s} {text}\n")
                self._file.flush()

    def close(self) -> None:
        """Close the file; later lines are dropped."""
        with self._lock:
            self._file.close()
