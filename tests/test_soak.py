"""Planned work on real processes leaves no request without an answer, at a fixed seed."""

from soak.__main__ import PROFILES, run_seed
from tests.test_edge_program import deployment_build  # noqa: F401

# On code that ends statements at the exit of a process, this seed finds them.
SEED = 8


def test_planned_work_leaves_no_request_unanswered_and_breaks_no_promise(
    deployment_build,  # noqa: F811
    tmp_path,
):
    findings, counts = run_seed(SEED, PROFILES["short"], tmp_path)
    assert findings == []
    # Requests were made while processes were restarted.
    assert counts["runs"] > 100
    assert counts["starts"] > PROFILES["short"].edges
