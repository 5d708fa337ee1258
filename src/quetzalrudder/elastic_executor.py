"""An executor whose threads end when they have been idle for a while.

Serves bursts: ``concurrent.futures.ThreadPoolExecutor`` keeps every thread that a burst has
started, so that its number of threads is the peak since the start of the process.
"""

import logging
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

from quetzalrudder import processor_time

__all__ = ["ElasticExecutor"]

log = logging.getLogger(__name__)

# Time after which an idle thread ends. Starting one takes 0.1 ms.
IDLE_THREAD_LIFETIME_S = 3.0


class _Task:
    """A submitted call."""

    def __init__(self, fut: Future, func: Callable[[], Any], label: str) -> None:
        self.fut = fut
        self.func = func
        self.label = label

    def run(self) -> None:
        if not self.fut.set_running_or_notify_cancel():
            return
        try:
            with processor_time.section(self.label):
                result = self.func()
        except BaseException as exc:
            self.fut.set_exception(exc)
        else:
            self.fut.set_result(result)


class _Worker:
    """A thread and the task that it is given while it is idle."""

    def __init__(self, task: _Task) -> None:
        self.task: _Task | None = task
        # Held while the thread waits for a task; released when it gets one.
        self.has_task = threading.Lock()
        self.has_task.acquire()


class ElasticExecutor(Executor):
    """Runs each call on an idle thread, or on a new one up to a limit.

    The thread that became idle last is used first, so that surplus threads end.

    Parameters
    ----------
    max_threads : int
        Largest number of threads; further calls wait for one.
    name : str
        Prefix of the threads' names.
    idle_lifetime_s : float
        Time after which an idle thread ends, in seconds.
    """

    def __init__(
        self, max_threads: int, name: str, idle_lifetime_s: float = IDLE_THREAD_LIFETIME_S
    ) -> None:
        self._max_threads = max_threads
        self._name = name
        self._idle_lifetime_s = idle_lifetime_s
        self._lock = threading.Lock()
        self._threads: set[threading.Thread] = set()
        self._idle: list[_Worker] = []
        # Calls that wait for a thread.
        self._queue: deque[_Task] = deque()
        self._stopped = False

    @property
    def thread_count(self) -> int:
        """Number of threads, idle ones included."""
        return len(self._threads)

    def submit(self, fn: Callable[..., Any], /, *args: Any, **kwargs: Any) -> Future:
        """Run a call on a thread and return a future for its result.

        Raises
        ------
        RuntimeError
            The executor was shut down, or the system allows no further thread and none is
            running.
        """
        fut: Future = Future()
        task = _Task(fut, lambda: fn(*args, **kwargs), getattr(fn, "__qualname__", "task"))
        with self._lock:
            if self._stopped:
                raise RuntimeError("the executor was shut down")
            if self._idle:
                worker = self._idle.pop()
                worker.task = task
                worker.has_task.release()
            elif len(self._threads) < self._max_threads:
                self._start_thread(task)
            else:
                self._queue.append(task)
        return fut

    def _start_thread(self, task: _Task) -> None:
        thread = threading.Thread(
            target=self._work, args=(_Worker(task),), name=self._name, daemon=True
        )
        self._threads.add(thread)
        try:
            thread.start()
        except RuntimeError:
            self._threads.discard(thread)
            if not self._threads:
                raise
            log.warning("no further thread can be started", extra={"threads": len(self._threads)})
            self._queue.append(task)

    def _work(self, worker: _Worker) -> None:
        while (task := worker.task) is not None:
            task.run()
            # Not kept while idle, with what its function refers to.
            del task
            self._await_task(worker)

    def _await_task(self, worker: _Worker) -> None:
        """Give a worker its next task; None if its thread has to end."""
        with self._lock:
            worker.task = self._queue.popleft() if self._queue else None
            if worker.task is not None:
                return
            if self._stopped:
                self._threads.discard(threading.current_thread())
                return
            self._idle.append(worker)
        if worker.has_task.acquire(timeout=self._idle_lifetime_s):
            return
        with self._lock:
            if worker in self._idle:
                self._idle.remove(worker)
                self._threads.discard(threading.current_thread())
                return
        # A task, or the end of the executor, came at the end of the wait.
        worker.has_task.acquire()

    def shutdown(self, wait: bool = True, *, cancel_futures: bool = False) -> None:
        """Accept no further calls; those submitted before still run unless cancelled."""
        with self._lock:
            self._stopped = True
            threads = list(self._threads)
            cancelled = [*self._queue] if cancel_futures else []
            if cancel_futures:
                self._queue.clear()
            for worker in self._idle:
                worker.has_task.release()
            self._idle.clear()
        for task in cancelled:
            task.fut.cancel()
        if wait:
            for thread in threads:
                thread.join()
