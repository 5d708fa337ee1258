"""The number of threads follows the calls in progress, not the peak of all calls so far."""

import threading

import pytest

from quetzalrudder.elastic_executor import ElasticExecutor
from tests.helpers import wait_for

TIMEOUT_S = 5.0


def run_at_once(executor, count):
    """Run calls that all wait for each other, and count the threads meanwhile."""

    def check():
        assert executor.thread_count == count

    barrier = threading.Barrier(count, check)
    futs = [executor.submit(barrier.wait, TIMEOUT_S) for _ in range(count)]
    return sorted(fut.result(TIMEOUT_S) for fut in futs)


def test_threads_of_a_burst_end_when_they_are_idle():
    with ElasticExecutor(100, "task", idle_lifetime_s=0.05) as executor:
        assert run_at_once(executor, 90) == list(range(90))
        wait_for(lambda: executor.thread_count == 0, "all threads end")
        assert run_at_once(executor, 3) == [0, 1, 2]


def test_calls_one_after_the_other_use_one_thread():
    with ElasticExecutor(100, "task") as executor:
        for number in range(50):
            assert executor.submit(lambda value: value, number).result(TIMEOUT_S) == number
            wait_for(lambda: len(executor._idle) == 1, "the thread is idle")
        assert executor.thread_count == 1


def test_calls_beyond_the_limit_wait_for_a_thread_in_their_order():
    started = []
    release = threading.Event()
    with ElasticExecutor(2, "task") as executor:
        blocked = [executor.submit(release.wait, TIMEOUT_S) for _ in range(2)]
        waiting = [executor.submit(started.append, number) for number in range(20)]
        assert executor.thread_count == 2
        release.set()
        assert all(fut.result(TIMEOUT_S) for fut in blocked)
        for fut in waiting:
            fut.result(TIMEOUT_S)
        assert sorted(started) == list(range(20))


def test_errors_are_passed_on_and_do_not_end_the_thread():
    with ElasticExecutor(1, "task") as executor:
        with pytest.raises(ZeroDivisionError):
            executor.submit(lambda: 1 / 0).result(TIMEOUT_S)
        assert executor.submit(lambda: 7).result(TIMEOUT_S) == 7


def test_shutdown_waits_for_calls_in_progress_and_refuses_others():
    executor = ElasticExecutor(4, "task")
    release = threading.Event()
    running = executor.submit(release.wait, TIMEOUT_S)
    threading.Timer(0.02, release.set).start()
    executor.shutdown()
    assert running.done()
    assert executor.thread_count == 0
    with pytest.raises(RuntimeError):
        executor.submit(print)


def test_no_call_is_lost_while_threads_end():
    """Calls are submitted at the moment at which idle threads end."""
    with ElasticExecutor(8, "task", idle_lifetime_s=0.0005) as executor:
        pause = threading.Event()
        futs = []
        for number in range(400):
            futs.append(executor.submit(lambda value: value, number))
            pause.wait(0.0005)
        assert [fut.result(TIMEOUT_S) for fut in futs] == list(range(400))
