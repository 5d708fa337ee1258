"""Receives the signals of a process in its main thread."""

import os
import select
import signal
from collections.abc import Iterable
from contextlib import ExitStack

from quetzalrudder.utils import MS_PER_S

__all__ = ["SignalReceiver"]


class SignalReceiver:
    """Queues signals for the main thread, whichever thread the kernel interrupts.

    A handler written in Python runs only once the main thread executes bytecode, so a main
    thread that waits for a lock may never see a signal that interrupted another thread. The
    interpreter writes each signal's number to a pipe instead, which any wait can observe.

    Enter it in the main thread; only one receiver can be in use at a time.

    Parameters
    ----------
    numbers : iterable of signal.Signals
        The signals to receive.

    Examples
    --------
    >>> with SignalReceiver([signal.SIGUSR1]) as signals:
    ...     signal.raise_signal(signal.SIGUSR1)
    ...     signals.wait(1.0)
    <Signals.SIGUSR1: 10>
    """

    def __init__(self, numbers: Iterable[signal.Signals]) -> None:
        self._numbers = frozenset(numbers)
        self._read_end, self._write_end = os.pipe()
        self._stack = ExitStack()

    def __enter__(self) -> "SignalReceiver":
        with ExitStack() as stack:
            stack.callback(os.close, self._read_end)
            stack.callback(os.close, self._write_end)
            # A signal handler must not block when the pipe is full.
            os.set_blocking(self._write_end, False)
            stack.callback(signal.set_wakeup_fd, signal.set_wakeup_fd(self._write_end))
            for number in self._numbers:
                # Without a handler, the default action would end the process.
                stack.callback(signal.signal, number, signal.signal(number, _ignore))
            self._stack = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stack.close()

    def wait(self, timeout_s: float | None = None) -> signal.Signals | None:
        """Return the next signal; None if none arrives within the timeout.

        Parameters
        ----------
        timeout_s : float, optional
            Longest wait, in seconds. If omitted, waits until a signal arrives.
        """
        poller = select.poll()
        poller.register(self._read_end, select.POLLIN)
        while poller.poll(None if timeout_s is None else timeout_s * MS_PER_S):
            number = signal.Signals(os.read(self._read_end, 1)[0])
            if number in self._numbers:
                return number
        return None


def _ignore(*_: object) -> None:
    """Do nothing; the pipe already holds the signal's number."""
