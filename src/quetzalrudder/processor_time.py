"""An account of the processor time of this process, by what it was spent on.

An operator's tool, off unless it is enabled: a section then costs two readings of the
thread's processor clock, otherwise one test. Sections nest; the time of an inner one does not
count for the outer one. What a thread spends outside of its sections counts under its name.
"""

import logging
import threading
import time
from collections import defaultdict
from contextlib import AbstractContextManager, nullcontext
from types import TracebackType

__all__ = ["ProcessorAccount", "count", "enable", "section"]

log = logging.getLogger(__name__)

# Time of the process that no section accounts for: threads without one, the ends of threads
# and the start of the interpreter.
REMAINDER = "remainder"


class ProcessorAccount:
    """Processor time and number of calls by label.

    Examples
    --------
    >>> account = ProcessorAccount()
    >>> with account.section("statement"):
    ...     with account.section("token"):
    ...         pass
    >>> sorted(account.counts())
    ['statement', 'token']
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._spent_s: dict[str, float] = defaultdict(float)
        self._counts: dict[str, int] = defaultdict(int)
        self._local = threading.local()
        self._threads: list[_ThreadSections] = []

    def section(self, label: str) -> "_Section":
        """Return a context manager whose processor time counts under a label."""
        return _Section(self, label)

    def enter(self, label: str) -> None:
        """Begin a section on this thread."""
        thread = getattr(self._local, "thread", None)
        with self._lock:
            if thread is None:
                thread = self._local.thread = _ThreadSections(threading.current_thread().name)
                self._threads.append(thread)
            self._charge(thread)
            thread.labels.append(label)
            self._counts[label] += 1

    def count(self, label: str) -> None:
        """Count a call whose processor time is part of the section that makes it."""
        with self._lock:
            self._counts[label] += 1

    def leave(self) -> None:
        """End this thread's innermost section."""
        thread = self._local.thread
        with self._lock:
            self._charge(thread)
            thread.labels.pop()

    def _charge(self, thread: "_ThreadSections") -> None:
        """Charge what a thread has spent since its latest charge to its innermost section."""
        now_s = time.clock_gettime(thread.clock_id)
        self._spent_s[thread.labels[-1]] += now_s - thread.charged_s
        thread.charged_s = now_s

    def _charge_all(self) -> None:
        for thread in list(self._threads):
            try:
                self._charge(thread)
            except OSError:
                # The thread has ended.
                self._threads.remove(thread)

    def spent_s(self) -> dict[str, float]:
        """Return the processor time by label, in seconds, and that of no label."""
        with self._lock:
            self._charge_all()
            spent_s = dict(self._spent_s)
        return spent_s | {REMAINDER: time.process_time() - sum(spent_s.values())}

    def counts(self) -> dict[str, int]:
        """Return how many sections have begun, by label."""
        with self._lock:
            return dict(self._counts)

    def report(self, stopping: threading.Event, interval_s: float) -> None:
        """Log the account at an interval until ``stopping`` is set, and then once more."""
        while True:
            stopped = stopping.wait(interval_s)
            spent_ms = {label: round(s * 1000, 1) for label, s in sorted(self.spent_s().items())}
            log.info("processor time", extra={"spent_ms": spent_ms, "calls": self.counts()})
            if stopped:
                return


class _ThreadSections:
    """The sections that are open on one thread; made by that thread."""

    def __init__(self, name: str) -> None:
        self.labels = [name]
        self.clock_id = time.pthread_getcpuclockid(threading.get_ident())
        self.charged_s = 0.0


class _Section:
    """The section of an account while it lasts."""

    def __init__(self, account: ProcessorAccount, label: str) -> None:
        self._account = account
        self._label = label

    def __enter__(self) -> None:
        self._account.enter(self._label)

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._account.leave()


_NO_SECTION = nullcontext()
_enabled: ProcessorAccount | None = None


def enable() -> ProcessorAccount:
    """Account for all sections of this process from now on."""
    global _enabled
    _enabled = _enabled or ProcessorAccount()
    return _enabled


def count(label: str) -> None:
    """Count a call in the enabled account, if there is one."""
    if _enabled is not None:
        _enabled.count(label)


def section(label: str) -> AbstractContextManager[None]:
    """Return a section of the enabled account; without one, a context that does nothing."""
    return _NO_SECTION if _enabled is None else _enabled.section(label)
