import ctypes
import os
import signal
import threading
from pathlib import Path

from quetzalrudder.signals import SignalReceiver
from tests.test_daemon_alone import daemon

__all__ = ["daemon"]

STOP_TIMEOUT_S = 10


def send_to_thread(pid, thread_id, number):
    """Send a signal to one thread of a process, as the kernel may do with a process's signal."""
    assert ctypes.CDLL(None).tgkill(pid, thread_id, number) == 0


def other_threads(pid):
    """Return the ids of a process's threads except its main thread."""
    return sorted(int(path.name) for path in Path(f"/proc/{pid}/task").iterdir())[1:]


def test_signal_that_interrupts_another_thread_is_received():
    ending = threading.Event()
    thread = threading.Thread(target=ending.wait)
    thread.start()
    try:
        with SignalReceiver([signal.SIGUSR1]) as signals:
            send_to_thread(os.getpid(), thread.native_id, signal.SIGUSR1)
            assert signals.wait(STOP_TIMEOUT_S) is signal.SIGUSR1
            assert signals.wait(0) is None
    finally:
        ending.set()
        thread.join()


def test_signals_are_received_in_order_and_others_are_left_out():
    with SignalReceiver([signal.SIGUSR1, signal.SIGUSR2]) as signals:
        previous = signal.signal(signal.SIGWINCH, lambda *_: None)
        for number in (signal.SIGWINCH, signal.SIGUSR2, signal.SIGUSR1):
            os.kill(os.getpid(), number)
        received = [signals.wait(STOP_TIMEOUT_S), signals.wait(STOP_TIMEOUT_S), signals.wait(0)]
        signal.signal(signal.SIGWINCH, previous)
    assert received == [signal.SIGUSR2, signal.SIGUSR1, None]


def test_previous_handlers_are_restored():
    before = signal.getsignal(signal.SIGUSR1)
    with SignalReceiver([signal.SIGUSR1]):
        assert signal.getsignal(signal.SIGUSR1) is not before
    assert signal.getsignal(signal.SIGUSR1) is before


def test_daemon_stops_on_a_signal_that_interrupts_another_thread(daemon):
    process, _, _, _ = daemon
    # From here on, the main thread waits for a signal.
    assert any(b'"serving"' in line for line in process.stderr)
    send_to_thread(process.pid, other_threads(process.pid)[-1], signal.SIGTERM)
    assert process.wait(STOP_TIMEOUT_S) == 0
