"""Clients that work in the background until the case is over."""

import threading
import time
from collections.abc import Callable

from harness.clients import Session
from harness.record import Record

__all__ = ["Clients"]

RECONNECT_PAUSE_S = 0.1


class Clients:
    """Clients in threads of their own, each with one session after the other.

    Parameters
    ----------
    record : Record
        Receives what they send and what is answered.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(
        self,
        name: str,
        port: int,
        database: str,
        key: str,
        work: Callable[[Session], bool],
        pause_s: float,
        reconnect_s: float = RECONNECT_PAUSE_S,
    ) -> None:
        """Start a client that repeats its work; it reconnects once the work returns False."""

        def run() -> None:
            number = 0
            while not self._stopping.is_set():
                number += 1
                try:
                    session = Session(port, database, key, f"{name}s{number}", self._record)
                except OSError:
                    time.sleep(RECONNECT_PAUSE_S)
                    continue
                is_open = session.greeting.startswith("READY ")
                while is_open and not self._stopping.is_set():
                    is_open = work(session)
                    self._stopping.wait(pause_s)
                session.close()
                self._stopping.wait(reconnect_s)

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append(thread)
        thread.start()

    def stop(self) -> None:
        """End all clients after the request that is under way."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(15.0)
