"""How an instance ends its background tasks, on threads."""

import threading
from contextlib import ExitStack

from quetzalrudder.elastic_executor import ElasticExecutor
from tests.gateway_fleet import GatewayFleet

STOP_TIMEOUT_S = 10.0


def test_a_stop_while_health_checks_start_does_not_hide_the_error_that_caused_it(monkeypatch):
    # The stop failed with a RuntimeError, as a task was added while it waited for the others.
    gateway = GatewayFleet(["edge-1"])[0].gateway
    gateway._health_checks.clear()
    about_to_start = threading.Event()

    def wait_for_stop(_):
        about_to_start.set()
        assert gateway._stopping.wait(STOP_TIMEOUT_S)

    monkeypatch.setattr(gateway, "bound_departures", wait_for_stop)
    errors = []
    with ExitStack() as outer:
        executor = outer.enter_context(ElasticExecutor(20, "task"))
        try:
            with ExitStack() as stack:
                gateway.start(executor, [], stack)
                assert about_to_start.wait(STOP_TIMEOUT_S)
                raise ConnectionError("the address is in use")
        except (ConnectionError, RuntimeError) as exc:
            errors.append(exc)
    assert [type(exc) for exc in errors] == [ConnectionError]
    assert "health check of g" in gateway._tasks
    assert all(task.done() for task in gateway._tasks.values())
