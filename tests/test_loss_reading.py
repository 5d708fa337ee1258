"""Counts of failed statements by span of time and first cause."""

import json

import pytest

from quetzalrudder.ctl_logs import losses_report
from quetzalrudder.exceptions import InvalidSettings
from quetzalrudder.log_reading import read_logs
from quetzalrudder.loss_reading import count_endings


def line(time, ending, reason="", faults=(), took_ms=10.0, message="statement ended"):
    return json.dumps(
        {
            "time": f"2026-12-04 10:00:{time}",
            "level": "INFO",
            "message": message,
            "instance": "edge-1",
            "ending": ending,
            "reason": reason,
            "faults": list(faults),
            "took_ms": took_ms,
        }
    )


@pytest.fixture
def log_file(tmp_path):
    lines = [
        line("00,100", "done"),
        line("01,900", "done"),
        line("02,000", "RateExceeded", "almaty: no owner answered; tried edge-2", took_ms=2.0),
        line("02,500", "RateExceeded", "astana: no owner answered; tried edge-3", took_ms=4.0),
        line("03,000", "Overloaded", "db-1: too long", ["db-2: busy", "db-1: busy"]),
        line("03,100", "", message="store lost"),
        "not a log line",
    ]
    path = tmp_path / "edge-1"
    path.write_text("\n".join(lines), encoding="utf-8")
    return str(path)


def test_statements_are_counted_by_span_and_first_cause(log_file):
    first, second = count_endings(read_logs([log_file]), 2.0)
    assert (first.done, sum(first.failed.values())) == (2, 0)
    assert second.failed == {
        "RateExceeded: no owner answered": 2,
        "Overloaded after busy": 1,
    }
    assert second.held_ms == 16.0


def test_the_report_adds_up(log_file):
    report = losses_report((log_file,), 2.0)
    assert "10:00:02  0 done  3 failed, held 5 ms" in report.lines
    assert "all  2 done  3 failed" in report.lines
    assert report.lines[-1] == "# 1 lines left out: incomplete, or from another program"


def test_a_width_that_is_not_positive_is_an_error(log_file):
    with pytest.raises(InvalidSettings):
        losses_report((log_file,), 0.0)
