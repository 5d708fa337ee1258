"""Log files of several processes are merged; lines of other programs do not break reading."""

import json
import subprocess
import sys

import pytest

from quetzalrudder.exceptions import InvalidSettings
from quetzalrudder.log_reading import explain_request, read_logs


def line(at, instance, message, **fields):
    entry = {"time": at, "instance": instance, "level": "INFO", "logger": "x", "message": message}
    return json.dumps({**entry, **fields})


EDGE_1 = [
    line("10:00:01", "edge-1", "configuration in force", version=7),
    line("10:00:02", "edge-1", "primary recorded", group="g", primary="db-1", epoch=1),
    line("10:00:03", "edge-1", "primary recorded", group="h", primary="db-9", epoch=1),
    line("10:00:04", "edge-1", "store lost", reason="reset"),
    line("10:00:05", "edge-1", "primary suspected", group="g", target="db-1"),
    line("10:00:06", "edge-1", "statement ended", request_id="r1", target="db-1", faults=[]),
    line("10:00:07", "edge-1", "store reached"),
]
EDGE_2 = [
    line("10:00:05.5", "edge-2", "store lost"),
    line("10:00:06.5", "edge-2", "statement ended", request_id="r2", target="db-2", faults=[]),
]


@pytest.fixture
def files(tmp_path):
    first, second = tmp_path / "edge-1", tmp_path / "edge-2"
    truncated = EDGE_2[0][:40]
    unrecognized = [
        "Traceback (most recent call last):",
        "[1, 2]",
        '{"other": 1}',
        truncated,
        "{" * 5000,
    ]
    first.write_text("\n".join(EDGE_1) + "\n")
    second.write_text("\n".join([EDGE_2[0], *unrecognized, f"  6.500 edge-2 {EDGE_2[1]}", ""]))
    return [str(first), str(second)]


def test_lines_of_all_files_are_sorted_by_time_and_unrecognized_lines_counted(files):
    logs = read_logs(files)
    assert [entry.time for entry in logs.lines] == sorted(entry.time for entry in logs.lines)
    assert len(logs.lines) == len(EDGE_1) + len(EDGE_2)
    assert logs.unrecognized_lines == 5


def test_a_request_is_explained_by_the_earlier_state_lines_of_its_instance(files):
    entries = explain_request(read_logs(files), "r1")
    assert [(entry.message, of_request) for entry, of_request in entries] == [
        ("configuration in force", False),
        ("primary recorded", False),
        ("store lost", False),
        ("primary suspected", False),
        ("statement ended", True),
    ]
    assert {entry.instance for entry, _ in entries} == {"edge-1"}
    assert all(entry.fields.get("group") != "h" for entry, _ in entries)


def test_an_unknown_request_has_no_lines(files):
    assert explain_request(read_logs(files), "r9") == []


def test_the_error_names_a_file_that_cannot_be_read(tmp_path):
    with pytest.raises(InvalidSettings, match="nowhere"):
        read_logs([str(tmp_path / "nowhere")])


def run_ctl(*args):
    command = [sys.executable, "-m", "quetzalrudder.ctl", *args]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_command_line_explains_filters_and_writes_json(files):
    text = run_ctl("explain", "r1", *files)
    assert text.returncode == 0, text.stderr
    assert text.stdout.count("\n> ") == 1
    assert "# 5 lines left out" in text.stdout
    filtered = run_ctl("logs", *files, "--instance=edge-2", "--message=store lost", "--json")
    assert filtered.returncode == 0, filtered.stderr
    assert [entry["time"] for entry in json.loads(filtered.stdout)["lines"]] == ["10:00:05.5"]


@pytest.mark.parametrize(
    ("current", "older"),
    [
        ("connection owner not used", "holder of connections not used"),
        ("rate owner not reached", "keeper of a rate not reached"),
    ],
)
def test_a_request_is_explained_by_current_and_older_texts_of_a_message(tmp_path, current, older):
    ended = line("10:00:03", "edge-1", "statement ended", request_id="r1", target="db-1")
    for first, second in ((current, older), (older, current)):
        path = tmp_path / first
        before = [line("10:00:01", "edge-1", first, peer="edge-2", target="db-1")]
        path.write_text("\n".join([*before, ended]))
        assert [entry.message for entry, _ in explain_request(read_logs([str(path)]), "r1")] == [
            first,
            "statement ended",
        ]
        # Both texts stand for the same state, so only the newest line counts.
        before.append(line("10:00:02", "edge-1", second, peer="edge-2", target="db-1"))
        path.write_text("\n".join([*before, ended]))
        assert [entry.message for entry, _ in explain_request(read_logs([str(path)]), "r1")] == [
            second,
            "statement ended",
        ]


@pytest.mark.parametrize("message", ["joined the fleet", "joined"])
def test_joining_is_known_by_the_present_text_and_that_of_older_builds(tmp_path, message):
    file = tmp_path / "edge-1"
    lines = [
        line("10:00:01", "edge-1", "lease ended", lease=1),
        line("10:00:02", "edge-1", message, incarnation="a", lease=2),
        line("10:00:03", "edge-1", "statement ended", request_id="r1", target="db-1", faults=[]),
    ]
    file.write_text("\n".join(lines) + "\n")
    entries = explain_request(read_logs([str(file)]), "r1")
    assert [entry.message for entry, _ in entries] == [message, "statement ended"]
