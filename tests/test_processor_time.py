import threading
import time

from quetzalrudder import processor_time
from quetzalrudder.processor_time import REMAINDER, ProcessorAccount


def spend(seconds):
    until = time.thread_time() + seconds
    while time.thread_time() < until:
        pass


def test_the_time_of_an_inner_section_does_not_count_for_the_outer_one():
    account = ProcessorAccount()
    with account.section("statement"):
        spend(0.02)
        with account.section("token"):
            spend(0.06)
    spent_s = account.spent_s()
    assert 0.06 <= spent_s["token"] < 0.08
    assert 0.02 <= spent_s["statement"] < 0.04
    assert account.counts() == {"statement": 1, "token": 1}


def test_an_open_section_of_another_thread_is_counted_and_waiting_is_not():
    account = ProcessorAccount()
    spent, release = threading.Event(), threading.Event()

    def work():
        with account.section("loop"):
            spend(0.03)
            spent.set()
            release.wait(5)

    thread = threading.Thread(target=work)
    thread.start()
    spent.wait(5)
    time.sleep(0.05)
    assert 0.03 <= account.spent_s()["loop"] < 0.05
    release.set()
    thread.join()
    assert 0.03 <= account.spent_s()["loop"] < 0.06


def test_all_labels_and_the_remainder_add_up_to_the_time_of_the_process():
    account = ProcessorAccount()
    with account.section("statement"):
        spend(0.02)
    spent_s = account.spent_s()
    assert REMAINDER in spent_s
    assert abs(sum(spent_s.values()) - time.process_time()) < 0.02


def test_without_an_account_a_section_does_nothing():
    assert processor_time._enabled is None
    assert processor_time.section("a") is processor_time.section("b")


def test_the_account_is_logged_at_an_interval_and_at_the_end(caplog):
    caplog.set_level("INFO")
    account, stopping = ProcessorAccount(), threading.Event()
    with account.section("statement"):
        pass
    thread = threading.Thread(target=account.report, args=(stopping, 0.02))
    thread.start()
    time.sleep(0.1)
    stopping.set()
    thread.join(5)
    lines = [record for record in caplog.records if record.message == "processor time"]
    assert len(lines) >= 2
    assert lines[-1].calls == {"statement": 1}
    assert "statement" in lines[-1].spent_ms
