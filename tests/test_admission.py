import math

from hypothesis import given
from hypothesis import strategies as st

from quetzalrudder.admission import AdmissionRequest, FairQueue
from quetzalrudder.exceptions import Overloaded
from quetzalrudder.schema.common import Ending
from tests.clocks import ManualClock


def serve(queue, count):
    return [queue.start_service().request.workspace for _ in range(count)]


def queue_with_measured_time(clock, service_s=0.1, **options):
    queue = FairQueue(clock, **options)
    queue.enqueue(AdmissionRequest("first"), math.inf, 1)
    ticket = queue.start_service()
    clock.advance(service_s)
    queue.finish_service(ticket)
    return queue


def test_a_backlog_of_one_workspace_does_not_delay_another():
    queue = FairQueue(ManualClock())
    for _ in range(50):
        queue.enqueue(AdmissionRequest("large"), math.inf, 1)
    queue.enqueue(AdmissionRequest("small"), math.inf, 1)
    assert "small" in serve(queue, 2)


def test_weights_and_costs_set_the_shares():
    queue = FairQueue(ManualClock())
    for _ in range(60):
        queue.enqueue(AdmissionRequest("double", weight=2.0), math.inf, 1)
        queue.enqueue(AdmissionRequest("costly", cost=2.0), math.inf, 1)
        queue.enqueue(AdmissionRequest("plain"), math.inf, 1)
    order = serve(queue, 70)
    assert abs(order.count("double") - 2 * order.count("plain")) <= 2
    assert abs(2 * order.count("costly") - order.count("plain")) <= 2


def test_request_that_cannot_meet_its_deadline_is_refused_at_once_with_a_retry_time():
    clock = ManualClock()
    queue = queue_with_measured_time(clock)
    deadline_at = clock.now + 0.45
    enqueued = [queue.enqueue(AdmissionRequest("one"), deadline_at, 1) for _ in range(10)]
    admitted = [result for result in enqueued if result.is_ok()]
    refused = enqueued[-1].err_value
    assert len(admitted) == 4
    assert isinstance(refused, Overloaded)
    assert refused.ending is Ending.NOT_RUN
    # Four requests of 100 ms each are ahead; the wait is rounded up to whole milliseconds.
    assert 400 <= refused.retry_after_ms <= 401


def test_a_full_queue_evicts_the_request_with_the_latest_finish_tag():
    queue = FairQueue(ManualClock(), max_queued=3)
    large = [queue.enqueue(AdmissionRequest("large"), math.inf, 1).ok_value for _ in range(3)]
    assert queue.enqueue(AdmissionRequest("large"), math.inf, 1).is_err()
    assert queue.enqueue(AdmissionRequest("small"), math.inf, 1).is_ok()
    assert [ticket.evicted for ticket in large] == [False, False, True]
    assert len(queue) == 3


@given(st.lists(st.tuples(st.integers(0, 4), st.booleans()), max_size=200))
def test_the_queue_stays_bounded_and_serves_each_request_once(script):
    queue = FairQueue(ManualClock(), max_queued=20)
    tickets, started = [], []
    for workspace, start in script:
        if start and queue.head() is not None:
            ticket = queue.start_service()
            started.append(ticket)
            queue.finish_service(ticket)
        else:
            enqueued = queue.enqueue(AdmissionRequest(f"w{workspace}"), math.inf, 3)
            if enqueued.is_ok():
                tickets.append(enqueued.ok_value)
        assert len(queue) <= 20
    still_queued = [ticket for ticket in tickets if not ticket.evicted and ticket not in started]
    assert len(queue) == len(still_queued)
    assert len({ticket.number for ticket in started}) == len(started)
