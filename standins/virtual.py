"""Virtual time: threads that run one at a time, on a clock that advances only while all wait.

Blocking code runs many times faster than in real time, and deterministically.
"""

import heapq
import itertools
import threading
from collections.abc import Callable

__all__ = ["VirtualEvent", "VirtualTime"]


class VirtualTimeClosed(BaseException):
    """Raised in waiting threads when the virtual time is closed."""


class VirtualThread:
    """A thread of an owner; an owner is paused with all of its threads."""

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.may_run = threading.Semaphore(0)
        # Incremented when a wait begins and when it ends, so that a wake-up scheduled for an
        # earlier wait is ignored.
        self.wait_count = 0


class VirtualTime:
    """A virtual clock with its threads and scheduled actions.

    Parameters
    ----------
    now : float
        Initial reading of the clock, in seconds.
    """

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now
        self._order = itertools.count()
        self._schedule: list[tuple[float, int, str, Callable[[], None]]] = []
        self._deferred: list[tuple[str, Callable[[], None]]] = []
        self._paused: set[str] = set()
        self._killed: set[str] = set()
        # Threads that wait for an event of the standard library, and the number of the wait.
        self._event_waits: dict[VirtualThread, tuple[threading.Event, int]] = {}
        # Released each time the running thread begins to wait or ends.
        self._thread_suspended = threading.Semaphore(0)
        self._local = threading.local()
        self._threads: list[tuple[threading.Thread, VirtualThread]] = []
        self._closed = False

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start."""
        return self.now

    def wall(self) -> float:
        """Return the seconds since an arbitrary start."""
        return self.now

    def call_at(self, at: float, owner: str, action: Callable[[], None]) -> None:
        """Schedule an action of an owner; the action must not wait."""
        heapq.heappush(self._schedule, (max(at, self.now), next(self._order), owner, action))

    def spawn(self, owner: str, task: Callable[[], None]) -> None:
        """Start a thread of an owner that runs a task, which may wait."""
        thread = VirtualThread(owner)

        def run() -> None:
            thread.may_run.acquire()
            self._local.thread = thread
            try:
                if not self._closed:
                    task()
            except VirtualTimeClosed:
                pass
            finally:
                self._thread_suspended.release()

        os_thread = threading.Thread(target=run, daemon=True)
        self._threads.append((os_thread, thread))
        os_thread.start()
        self.call_at(self.now, owner, lambda: self._resume(thread))

    def _resume(self, thread: VirtualThread) -> None:
        thread.may_run.release()
        self._thread_suspended.acquire()

    def sleep(self, seconds: float) -> None:
        """Wait; to be called in a thread started by :meth:`spawn`."""
        thread = self._begin_wait()
        self.wake_at(self.now + seconds, thread, thread.wait_count)
        self.suspend(thread)

    def _begin_wait(self) -> VirtualThread:
        if self._closed:
            # Clean-up code that waits while the thread is being ended.
            raise VirtualTimeClosed
        thread = self._local.thread
        thread.wait_count += 1
        return thread

    def wake_at(self, at: float, thread: VirtualThread, wait_number: int) -> None:
        """Schedule the end of a thread's wait, unless the wait has already ended."""

        def wake() -> None:
            if thread.wait_count == wait_number:
                thread.wait_count += 1
                self._resume(thread)

        self.call_at(at, thread.owner, wake)

    def suspend(self, thread: VirtualThread) -> None:
        """Suspend the current thread until it is resumed."""
        self._thread_suspended.release()
        thread.may_run.acquire()
        if self._closed:
            raise VirtualTimeClosed

    def pause(self, owner: str) -> None:
        """Defer all actions of an owner, as SIGSTOP does to a process."""
        self._paused.add(owner)

    def is_paused(self, owner: str) -> bool:
        """Return whether an owner is paused."""
        return owner in self._paused

    def resume(self, owner: str) -> None:
        """Resume an owner and run its deferred actions."""
        self._paused.discard(owner)
        deferred, self._deferred = self._deferred, []
        for name, action in deferred:
            self.call_at(self.now, name, action)

    def kill(self, owner: str) -> None:
        """Never run an owner's threads and actions again, as SIGKILL does to a process."""
        self._killed.add(owner)
        for thread in [thread for thread in self._event_waits if thread.owner == owner]:
            del self._event_waits[thread]

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for an event that another virtual thread sets; return whether it was set."""
        if not event.is_set() and seconds > 0:
            thread = self._begin_wait()
            self._event_waits[thread] = (event, thread.wait_count)
            self.wake_at(self.now + seconds, thread, thread.wait_count)
            self.suspend(thread)
            self._event_waits.pop(thread, None)
        return event.is_set()

    def _wake_waiters_of_set_events(self) -> None:
        for thread, (event, wait_number) in list(self._event_waits.items()):
            if event.is_set():
                del self._event_waits[thread]
                self.wake_at(self.now, thread, wait_number)

    def run(self, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Run for a time or until a condition holds; return whether it holds."""
        end = self.now + seconds
        while self._schedule and self._schedule[0][0] <= end:
            if until():
                return True
            at, _, owner, action = heapq.heappop(self._schedule)
            self.now = max(self.now, at)
            if owner in self._killed:
                continue
            if owner in self._paused:
                self._deferred.append((owner, action))
                continue
            action()
            self._wake_waiters_of_set_events()
        if until():
            return True
        self.now = end
        return False

    def close(self) -> None:
        """End all threads."""
        self._closed = True
        for os_thread, thread in self._threads:
            thread.may_run.release()
            os_thread.join()

    def event(self) -> "VirtualEvent":
        """Create an event on this clock."""
        return VirtualEvent(self)

    def wait_for(self, event: "VirtualEvent", timeout_s: float) -> None:
        """Wait until an event is set or the timeout passes."""
        if event.is_set or timeout_s <= 0:
            return
        thread = self._begin_wait()
        event.waiter = (thread, thread.wait_count)
        self.wake_at(self.now + timeout_s, thread, thread.wait_count)
        self.suspend(thread)


class VirtualEvent:
    """An event that one thread can wait for."""

    def __init__(self, time: VirtualTime) -> None:
        self._time = time
        self.is_set = False
        self.waiter: tuple[VirtualThread, int] | None = None

    def set(self) -> None:
        """Set the event and wake the waiting thread."""
        self.is_set = True
        if self.waiter is not None:
            thread, wait_number = self.waiter
            self._time.wake_at(self._time.now, thread, wait_number)
