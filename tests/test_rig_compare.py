"""Comparison of two builds on the bench's reports."""

import json
import stat

import compare
import pytest
from compare import Commands, ComparisonError, Run, compare_reports, read_reports

from bench.paired import render_table


def write_report(directory, day, seed, worth, window, price=0.0, breaks=None):
    directory.mkdir(exist_ok=True)
    report = {
        "G": worth,
        "parts": [["worst windows", 0.4, window]],
        "prices": [["calls", 12.0, price]],
        "breaks": breaks or {},
        "fault": None,
    }
    (directory / f"{day}-{seed}.json").write_text(json.dumps(report), encoding="utf-8")


def test_differences_are_paired_by_day_and_seed(tmp_path):
    for seed, worth in ((1, 0.5), (2, 0.7)):
        write_report(tmp_path / "old", "heavy-1", seed, worth, 0.4)
        write_report(tmp_path / "new", "heavy-1", seed, worth + 0.1, 0.65)
    # Played in one build only.
    write_report(tmp_path / "new", "heavy-1", 3, 0.1, 0.1)
    rows = compare_reports(read_reports(tmp_path / "old"), read_reports(tmp_path / "new"))
    by_name = {row.name: row for row in rows}
    assert by_name["heavy-1"].count == 2
    assert by_name["heavy-1"].mean == pytest.approx(0.1)
    # The spread between seeds is larger than the interval of the paired difference.
    assert by_name["heavy-1"].high - by_name["heavy-1"].low < 0.001
    assert by_name["worst windows"].mean == pytest.approx(0.4 * 0.25)


def test_the_interval_contains_zero_if_seeds_disagree(tmp_path):
    for seed, change in ((1, 0.1), (2, -0.1), (3, 0.05), (4, -0.05)):
        write_report(tmp_path / "old", "heavy-1", seed, 0.5, 0.4)
        write_report(tmp_path / "new", "heavy-1", seed, 0.5 + change, 0.4)
    row = compare_reports(read_reports(tmp_path / "old"), read_reports(tmp_path / "new"))[0]
    assert row.low < 0 < row.high


def test_amounts_that_are_zero_in_both_builds_are_left_out(tmp_path):
    write_report(tmp_path / "old", "heavy-1", 1, 0.5, 0.4)
    reports = read_reports(tmp_path / "old")
    assert "calls" not in render_table(compare_reports(reports, reports))


def test_broken_rules_are_named_in_the_table(tmp_path):
    write_report(tmp_path / "old", "heavy-1", 1, 0.5, 0.4)
    write_report(tmp_path / "new", "heavy-1", 1, 0.0, 0.4, breaks={"STALE": 2})
    assert "new heavy-1 1: STALE" in Commands().table(str(tmp_path), "old", "new")


@pytest.mark.parametrize("text", ["", "{}", "[1]", '{"G": null, "parts": [], "prices": []}'])
def test_a_file_that_is_no_report_is_an_error(tmp_path, text):
    (tmp_path / "old").mkdir()
    (tmp_path / "old" / "heavy-1-1.json").write_text(text, encoding="utf-8")
    with pytest.raises(ComparisonError):
        read_reports(tmp_path / "old")


def test_builds_without_a_common_run_are_an_error(tmp_path):
    write_report(tmp_path / "old", "heavy-1", 1, 0.5, 0.4)
    write_report(tmp_path / "new", "heavy-1", 2, 0.5, 0.4)
    with pytest.raises(ComparisonError, match="no run in common"):
        compare_reports(read_reports(tmp_path / "old"), read_reports(tmp_path / "new"))


# Writes a report with its working directory's name as fault; fails for seed 9.
BENCH_STAND_IN = """#!/usr/bin/env python3
import json, os, sys
args = dict(zip(sys.argv[4::2], sys.argv[5::2]))
if args["--seed"] == "9":
    sys.exit(1)
report = {"G": 0.5, "parts": [], "prices": [], "breaks": {}, "fault": os.path.basename(os.getcwd())}
json.dump(report, open(args["--report"], "w"))
"""


@pytest.fixture
def bench(tmp_path):
    path = tmp_path / "bench"
    path.write_text(BENCH_STAND_IN, encoding="utf-8")
    path.chmod(path.stat().st_mode | stat.S_IXUSR)
    (tmp_path / "old").mkdir()
    return path


def play(bench, seeds):
    directory = bench.parent
    Commands().play(
        str(bench),
        str(directory / "site"),
        str(directory / "reports"),
        build=f"a={directory / 'old'}",
        days="heavy-1,heavy-2",
        seeds=seeds,
        why="test",
    )
    return read_reports(directory / "reports" / "a")


def test_each_day_is_played_with_each_seed_in_the_builds_directory(bench):
    reports = play(bench, (1, 2))
    assert reports.keys() == {Run(day, seed) for day in ("heavy-1", "heavy-2") for seed in (1, 2)}
    assert {report.fault for report in reports.values()} == {"old"}


def test_a_run_without_a_report_is_named(bench):
    with pytest.raises(ComparisonError, match="a heavy-1 9, a heavy-2 9"):
        play(bench, 9)


def test_an_error_ends_the_command_with_status_1(capsys):
    def fail(*_, **__):
        raise ComparisonError("no reports")

    assert compare.main(fail) == 1
    assert "compare: no reports" in capsys.readouterr().err
