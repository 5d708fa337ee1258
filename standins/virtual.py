"""Virtual time: threads that run one at a time, on a clock that moves only when all wait.

Code written straight down, with waits in it, runs many times faster than real time and
the same way each time.
"""

import heapq
import itertools
import threading
from collections.abc import Callable

__all__ = ["VirtualEvent", "VirtualTime"]


class TimeClosed(BaseException):
    """Raised inside waiting threads when the time ends."""


class VirtualThread:
    """One thread of an owner, which can be paused as a whole."""

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.go = threading.Semaphore(0)
        # Counts waits, so that a late wake-up finds that it is no longer wanted.
        self.waits = 0


class VirtualTime:
    """A clock, and everything that happens on it.

    Parameters
    ----------
    now : float
        First reading, in seconds.
    """

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now
        self._order = itertools.count()
        self._heap: list[tuple[float, int, str, Callable[[], None]]] = []
        self._held: list[tuple[str, Callable[[], None]]] = []
        self._paused: set[str] = set()
        self._idle = threading.Semaphore(0)
        self._local = threading.local()
        self._threads: list[tuple[threading.Thread, VirtualThread]] = []
        self._ended = False

    def monotonic(self) -> float:
        """Seconds since an arbitrary start."""
        return self.now

    def wall(self) -> float:
        """Seconds since an arbitrary start."""
        return self.now

    def call_at(self, at: float, owner: str, action: Callable[[], None]) -> None:
        """Run a short action of an owner at a time, without waits in it."""
        heapq.heappush(self._heap, (max(at, self.now), next(self._order), owner, action))

    def spawn(self, owner: str, task: Callable[[], None]) -> None:
        """Start a thread of an owner."""
        me = VirtualThread(owner)

        def run() -> None:
            me.go.acquire()
            self._local.me = me
            try:
                if not self._ended:
                    task()
            except TimeClosed:
                pass
            finally:
                self._idle.release()

        thread = threading.Thread(target=run, daemon=True)
        self._threads.append((thread, me))
        thread.start()
        self.call_at(self.now, owner, lambda: self._resume(me))

    def _resume(self, thread: VirtualThread) -> None:
        thread.go.release()
        self._idle.acquire()

    def sleep(self, seconds: float) -> None:
        """Wait, in a thread started by :meth:`spawn`."""
        me = self._begin_wait()
        self.wake_at(self.now + seconds, me, me.waits)
        self.park(me)

    def _begin_wait(self) -> VirtualThread:
        me = self._local.me
        me.waits += 1
        return me

    def wake_at(self, at: float, thread: VirtualThread, wait_number: int) -> None:
        """Resume a thread, if it is still in that wait."""

        def wake() -> None:
            if thread.waits == wait_number:
                thread.waits += 1
                self._resume(thread)

        self.call_at(at, thread.owner, wake)

    def park(self, me: VirtualThread) -> None:
        """Let others run until this thread is woken."""
        self._idle.release()
        me.go.acquire()
        if self._ended:
            raise TimeClosed

    def pause(self, owner: str) -> None:
        """Hold everything of an owner, as SIGSTOP does."""
        self._paused.add(owner)

    def is_paused(self, owner: str) -> bool:
        """Tell whether an owner is held."""
        return owner in self._paused

    def resume(self, owner: str) -> None:
        """Let an owner go on with what was held."""
        self._paused.discard(owner)
        held, self._held = self._held, []
        for name, action in held:
            self.call_at(self.now, name, action)

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Let time pass; true if the condition came first."""
        end = self.now + seconds
        while self._heap and self._heap[0][0] <= end:
            if until():
                return True
            at, _, owner, action = heapq.heappop(self._heap)
            self.now = max(self.now, at)
            if owner in self._paused:
                self._held.append((owner, action))
            else:
                action()
        if until():
            return True
        self.now = end
        return False

    def close(self) -> None:
        """End every thread."""
        self._ended = True
        for thread, me in self._threads:
            me.go.release()
            thread.join()

    def event(self) -> "VirtualEvent":
        """Make an event on this clock."""
        return VirtualEvent(self)

    def wait_for(self, event: "VirtualEvent", timeout_s: float) -> None:
        """Wait until an event is set or the timeout passes."""
        if event.is_set or timeout_s <= 0:
            return
        me = self._begin_wait()
        event.waiter = (me, me.waits)
        self.wake_at(self.now + timeout_s, me, me.waits)
        self.park(me)


class VirtualEvent:
    """Something that one thread waits for."""

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self.is_set = False
        self.waiter: tuple[VirtualThread, int] | None = None

    def set(self) -> None:
        """Wake the waiting thread."""
        self.is_set = True
        if self.waiter is not None:
            thread, wait_number = self.waiter
            self._time.wake_at(self._time.now, thread, wait_number)
