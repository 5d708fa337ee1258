"""Clients that write one item after the other, and what was acknowledged to them."""

import itertools
import threading
from collections.abc import Iterable

from standins2.edges import Caller, Edge
from standins2.record import Record

__all__ = ["Writers"]

JOIN_TIMEOUT_S = 3.0


class Writers:
    """One client for each process; each write is its first and only attempt.

    Parameters
    ----------
    edges : iterable of Edge
        The processes that they write through.
    record : Record
        The record of the run.
    interval_s : float
        Pause between two writes of a client.
    """

    def __init__(self, edges: Iterable[Edge], record: Record, interval_s: float = 0.05) -> None:
        self._record = record
        self._interval_s = interval_s
        self._numbers = itertools.count(1)
        self._stopping = threading.Event()
        # Time of the acknowledgement, by request id.
        self.acknowledged: dict[str, float] = {}
        self._threads = [
            threading.Thread(target=self._run, args=(edge.frontend,), daemon=True) for edge in edges
        ]

    def start(self) -> None:
        """Begin to write."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Write no more."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(JOIN_TIMEOUT_S)

    def _run(self, port: int) -> None:
        caller: Caller | None = None
        while not self._stopping.wait(self._interval_s):
            request_id = f"w{next(self._numbers)}"
            try:
                caller = caller or Caller(port, "offers")
                lines = caller.query(request_id, f"PUT {request_id} sent")
            except OSError as exc:
                self._record.write("client", f"{request_id}: {exc!r}")
                caller = None
                continue
            self._record.write("client", f"{request_id}: {lines[0] if lines else 'closed'}")
            if lines and lines[0].startswith("DONE"):
                self.acknowledged[request_id] = self._record.now
            if not lines or not lines[-1].startswith("READY"):
                caller = None
