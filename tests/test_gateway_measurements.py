"""Metrics before and after their client library is loaded."""

import subprocess
import sys

from quetzalrudder.gateway.measurements import Metrics


def test_observations_before_the_library_is_loaded_are_counted():
    metrics = Metrics()
    metrics.count_statement("primary", "done")
    metrics.observe_latency("primary", 0.03)
    metrics.count_fault("busy")
    metrics.set_sessions(3)
    metrics.load()
    metrics.count_statement("primary", "done")
    text = metrics.render().decode()
    assert 'quetzalrudder_statements_total{consistency="primary",ending="done"} 2.0' in text
    assert 'quetzalrudder_statement_seconds_count{consistency="primary"} 1.0' in text
    assert 'quetzalrudder_target_faults_total{fault="busy"} 1.0' in text
    assert "quetzalrudder_sessions 3.0" in text


def test_the_process_loads_no_library_that_callers_need_not_wait_for():
    """Each of them takes a noticeable part of the time until callers are served."""
    code = "import sys, rig.process; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code],
        env={"PYTHONPATH": "src:platform"},
        capture_output=True,
        text=True,
        check=True,
    ).stdout.split()
    assert {"asyncio", "grpclib", "google.protobuf", "prometheus_client"}.isdisjoint(loaded)
