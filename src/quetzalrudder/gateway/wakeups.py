"""Waits of background tasks that end early when there is something to do."""

import threading

__all__ = ["WakeUp"]


class WakeUp:
    """Ends a background task's wait before its next check is due.

    An idle instance then wakes only a few times a second, and reacts to a change at once.
    """

    def __init__(self) -> None:
        self._event = threading.Event()

    def set(self) -> None:
        """End the current wait, or the next one if the task is not waiting; thread-safe."""
        self._event.set()

    def wait(self, timeout_s: float) -> None:
        """Wait until :meth:`set` is called or the timeout passes."""
        self._event.wait(timeout_s)
        # Cleared before the task looks at what has changed, so that no change is missed.
        self._event.clear()
