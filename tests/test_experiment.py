"""Files of experiments, their variants, and the comparison of what callers get."""

import logging
from pathlib import Path

import pytest

from bench.experiment import ExperimentError, Variant, apply_variant, play, read_experiment
from bench.model.faults import KillInstances
from bench.paired import compare_pairs, render_table
from quetzalrudder.gateway import Consistency, connections

EXPERIMENTS = sorted((Path(__file__).parent.parent / "bench/experiments").glob("*.ini"))
SMALL = """
[experiment]
seconds = 1
seeds = 2
[fleet]
data_centres = a:1 b:1
[groups]
count = 1
[kind reads]
consistency = session
per_s = 20
work_ms = 5
objective_ms = 200
deadline_ms = 1000
timeout_ms = 800
max_age_ms = 2000
"""


@pytest.fixture(autouse=True)
def logs_again():
    yield
    # A run switches them off in its process.
    logging.disable(logging.NOTSET)


def write(tmp_path, text):
    path = tmp_path / "experiment.ini"
    path.write_text(text, encoding="utf-8")
    return path


@pytest.mark.parametrize("path", EXPERIMENTS, ids=lambda path: path.stem)
def test_the_experiments_of_the_project_are_valid(path):
    experiment = read_experiment(path)
    assert experiment.fleet.data_centres
    assert experiment.variants


def test_sections_become_settings(tmp_path):
    text = SMALL + "[fault kill]\ntype = kill instances\nat_s = 0.5\npower_loss = true\n"
    experiment = read_experiment(write(tmp_path, text))
    assert experiment.fleet.data_centres == {"a": 1, "b": 1}
    assert experiment.load.kinds[0].consistency is Consistency.SESSION
    assert experiment.faults == (KillInstances(0.5, power_loss=True),)
    assert experiment.seeds == (1, 2)


@pytest.mark.parametrize(
    ("addition", "message"),
    [
        ("[load]\ncolour = red\n", r"\[load\] colour: unknown key"),
        ("[load]\nworkspaces = many\n", r"\[load\] workspaces: not a number"),
        ("[load]\nfollows_retry_after = perhaps\n", "neither true nor false"),
        ("[fault x]\ntype = flood\n", r"\[fault x\] type"),
        ("[fault x]\ntype = kill instances\n", r"\[fault x\] at_s: missing"),
        ("[kind y]\nconsistency = none\n", r"\[kind y\] consistency"),
        ("[variant v]\nno.such.module:X = 1\n", "no such module"),
        ("[variant v]\nquetzalrudder.gateway.connections:X = 1\n", "no such attribute"),
        ("no section\n", "experiment.ini"),
    ],
)
def test_an_invalid_file_is_an_error_that_names_the_place(tmp_path, addition, message):
    with pytest.raises(ExperimentError, match=message):
        read_experiment(write(tmp_path, SMALL + addition))


def test_a_missing_file_is_an_error(tmp_path):
    with pytest.raises(ExperimentError, match="cannot be read"):
        read_experiment(tmp_path / "none.ini")


def test_a_variant_replaces_numbers_and_objects(monkeypatch):
    monkeypatch.setattr(connections, "IDLE_FRACTION", 0.5)
    monkeypatch.setattr(connections, "WaitQueue", connections.WaitQueue)
    apply_variant(
        Variant(
            "v",
            (
                ("quetzalrudder.gateway.connections:IDLE_FRACTION", "0.25"),
                ("quetzalrudder.gateway.connections:WaitQueue", "bench.model:Load"),
            ),
        )
    )
    assert connections.IDLE_FRACTION == 0.25
    assert connections.WaitQueue.__name__ == "Load"


def test_a_run_says_what_callers_get(tmp_path):
    experiment = read_experiment(write(tmp_path, SMALL))
    summary = play(experiment, experiment.variants[0], 1)
    assert 0.9 <= summary.amounts["in time"] <= 1.0
    assert summary.by_span.keys() == {0.0}


def test_a_table_shows_paired_differences():
    row = compare_pairs("in time", [0.5, 0.7], [0.6, 0.8])
    assert "| in time | 2 | 0.600 | 0.700 | +0.100 | +0.100 to +0.100 |" in render_table([row])
