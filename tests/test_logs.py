"""Lines on standard output: in order, never blocking, whatever the reader does."""

import io
import json
import logging
import sys
import threading
import time

import pytest

from quetzalrudder.logs import CLOSE_TIMEOUT_S, MAX_QUEUED_LINES, BoundedLogs


class CountingOutput(io.StringIO):
    def __init__(self):
        super().__init__()
        self.writes = 0

    def write(self, text):
        self.writes += 1
        return super().write(text)


@pytest.fixture(autouse=True)
def restored_root_logger():
    root = logging.getLogger()
    handlers, level = root.handlers[:], root.level
    yield
    root.handlers[:] = handlers
    root.setLevel(level)


def lines_of(output):
    return [json.loads(line) for line in output.getvalue().splitlines()]


def test_lines_are_written_in_order_and_together(monkeypatch):
    output = CountingOutput()
    monkeypatch.setattr(sys, "stdout", output)
    with BoundedLogs("info", instance="edge-1"):
        for number in range(200):
            logging.getLogger("a").info("statement ended", extra={"number": number})
    assert [line["number"] for line in lines_of(output)] == list(range(200))
    assert output.writes <= 5


def test_a_line_that_cannot_be_formatted_costs_no_other_line(monkeypatch):
    output = CountingOutput()
    monkeypatch.setattr(sys, "stdout", output)
    with BoundedLogs("info", instance="edge-1"):
        logging.getLogger("a").info("%d", "not a number")
        logging.getLogger("a").info("next")
    assert [line["message"] for line in lines_of(output)] == ["log line not formatted", "next"]


def test_a_stuck_reader_blocks_neither_logging_nor_the_exit(monkeypatch):
    release = threading.Event()

    class StuckOutput(io.StringIO):
        def write(self, text):
            release.wait(10)
            return len(text)

    monkeypatch.setattr(sys, "stdout", StuckOutput())
    started = time.monotonic()
    logs = BoundedLogs("info", instance="edge-1")
    with logs:
        for _ in range(2 * MAX_QUEUED_LINES):
            logging.getLogger("a").warning("target lost")
    assert time.monotonic() - started < 5 * CLOSE_TIMEOUT_S
    assert logs.dropped_lines > 0
    release.set()
