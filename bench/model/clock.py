"""The clock of the model, and futures of calls that run in virtual time."""

import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any

from standins.virtual import VirtualTime

__all__ = ["FOREVER_S", "ModelClock", "ModelExecutor"]

FOREVER_S = 1e9


class ModelClock:
    """Clock of the decisions, on virtual time."""

    def __init__(self, time: VirtualTime) -> None:
        self._time = time

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._time.monotonic()

    def wall(self) -> float:
        """Return the virtual time in seconds."""
        return self._time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Let the virtual time pass."""
        self._time.sleep(seconds)

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for an event; return false if it was not set in time."""
        return self._time.wait(event, seconds)


class _ModelFuture(Future):
    """A future whose result is awaited in virtual time."""

    def __init__(self, time: VirtualTime) -> None:
        super().__init__()
        self._time = time
        self._finished = threading.Event()
        self.add_done_callback(lambda _: self._finished.set())

    def result(self, timeout: float | None = None) -> Any:
        """Wait for the result in virtual time and return it."""
        if not self._time.wait(self._finished, FOREVER_S if timeout is None else timeout):
            raise FutureTimeoutError
        return super().result(0)


class ModelExecutor(Executor):
    """Runs each call on a virtual thread of an owner.

    Parameters
    ----------
    time : VirtualTime
        The virtual time.
    owner : str
        The process that the threads belong to; they end with it.
    """

    def __init__(self, time: VirtualTime, owner: str) -> None:
        self._time = time
        self._owner = owner

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future:
        """Start a call and return its future."""
        fut = _ModelFuture(self._time)

        def run() -> None:
            try:
                fut.set_result(fn(*args, **kwargs))
            except Exception as exc:
                fut.set_exception(exc)

        self._time.spawn(self._owner, run)
        return fut
