"""Control links: one task for each target, which probes it and carries confirmations."""

import itertools
import logging
import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import suppress

from result import Err, Ok, Result

from quetzalrudder.adapters import TargetConn, TargetInfo, TargetRequest
from quetzalrudder.exceptions import (
    LinkLost,
    QuetzalrudderError,
    TargetUnavailable,
)
from quetzalrudder.groups import GroupTable
from quetzalrudder.models import TargetId
from quetzalrudder.schema.target import Probe, TargetAnswer
from quetzalrudder.timeline import EventKind, Timeline
from quetzalrudder.utils import Clock

__all__ = ["ControlLinks"]

log = logging.getLogger(__name__)

OpenControl = Callable[[TargetInfo, int, float], Result[TargetConn, QuetzalrudderError]]

PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.5
OPEN_TIMEOUT_S = 1.0
REOPEN_PAUSE_S = 0.2


class ControlLinks:
    """Keeps a control connection to every target and probes it.

    Parameters
    ----------
    groups : GroupTable
        Takes what the targets say of themselves.
    open_control : Callable
        Opens a control connection, given its generation and a timeout in seconds.
    executor : Executor
        Runs one task for each target.
    clock : Clock
        Source of time.
    timeline : Timeline
        Takes events.
    """

    def __init__(
        self,
        groups: GroupTable,
        open_control: OpenControl,
        executor: Executor,
        clock: Clock,
        timeline: Timeline,
    ) -> None:
        self._groups = groups
        self._open_control = open_control
        self._executor = executor
        self._clock = clock
        self._timeline = timeline
        self._generations = itertools.count(1)
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._tasks: dict[TargetId, Future[None]] = {}
        self._conns: dict[TargetId, TargetConn] = {}

    def __enter__(self) -> "ControlLinks":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopping.set()
        for fut in list(self._tasks.values()):
            with suppress(FutureTimeoutError):
                fut.result(PROBE_TIMEOUT_S + OPEN_TIMEOUT_S)

    def watch_all(self) -> None:
        """Start a task for every target that has none."""
        with self._lock:
            for view in self._groups.targets():
                target = view.info.target
                if target not in self._tasks:
                    self._tasks[target] = self._executor.submit(self._serve, view.info)

    def request(
        self, target: TargetId, req: TargetRequest, timeout_s: float
    ) -> Result[TargetAnswer, QuetzalrudderError]:
        """Send a request on a target's control connection and wait for the answer."""
        conn = self._conns.get(target)
        if conn is None:
            return Err(TargetUnavailable("no control connection", place=target))
        return conn.request(req, timeout_s)

    def start(self, target: TargetId, req: TargetRequest) -> "Future[TargetAnswer]":
        """Send a request on a target's control connection; the future gives the answer.

        Raises
        ------
        TargetUnavailable
            There is no connection; nothing was sent.
        """
        conn = self._conns.get(target)
        if conn is None:
            raise TargetUnavailable("no control connection", place=target)
        return conn.start(req)

    def _serve(self, info: TargetInfo) -> None:
        while not self._stopping.is_set():
            opened = self._open_control(info, next(self._generations), OPEN_TIMEOUT_S)
            match opened:
                case Ok(conn):
                    self._probe_until_lost(info, conn)
                case Err(exc):
                    log.debug("control connection refused", extra={"reason": str(exc)})
            self._groups.mark_unreachable(info.target, info.group)
            self._stopping.wait(REOPEN_PAUSE_S)

    def _probe_until_lost(self, info: TargetInfo, conn: TargetConn) -> None:
        self._conns[info.target] = conn
        self._timeline.record(EventKind.TARGET_REACHED, target=info.target, group=info.group)
        reason: QuetzalrudderError = LinkLost("stopping", place=info.target)
        try:
            while not self._stopping.is_set():
                asked_at = self._clock.monotonic()
                answer = conn.request(Probe(), PROBE_TIMEOUT_S)
                if isinstance(answer, Err):
                    reason = answer.err_value
                    return
                self._groups.observe(info, answer.ok_value.state, asked_at)
                self._stopping.wait(PROBE_INTERVAL_S)
        finally:
            self._conns.pop(info.target, None)
            conn.close()
            self._timeline.record(
                EventKind.TARGET_LOST, target=info.target, group=info.group, detail=str(reason)
            )
