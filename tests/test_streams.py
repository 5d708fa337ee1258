"""Requests and answers that many threads send on one stream."""

import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from quetzalrudder.streams import MatchedRequests

DURATION_S = 1.0


class Stream:
    connected = True
    ended = False

    def send(self, frame):
        """Drop the request."""


def test_a_request_that_times_out_beside_others_is_discarded_without_an_error():
    requests = MatchedRequests(lambda on_message, on_end: Stream())
    for _ in range(30):
        requests.start(SimpleNamespace())
    until = time.monotonic() + DURATION_S
    started = threading.Barrier(3)

    def answer():
        started.wait()
        while time.monotonic() < until:
            frame = SimpleNamespace()
            requests.start(frame)
            requests._resolve(SimpleNamespace(sequence=frame.sequence))

    def time_out():
        started.wait()
        while time.monotonic() < until:
            requests.discard(requests.start(SimpleNamespace()))

    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(1e-5)
    try:
        with ThreadPoolExecutor(3) as executor:
            futures = [executor.submit(task) for task in (answer, answer, time_out)]
            for fut in futures:
                fut.result()
    finally:
        sys.setswitchinterval(interval_s)
    assert len(requests._pending) == 30
