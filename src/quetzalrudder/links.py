"""Control connections to targets.

For each target in use, one task keeps a connection open and probes the target over it. The
connection also carries other requests.
"""

import itertools
import logging
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import FIRST_COMPLETED, Executor, Future, wait
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import suppress

from result import Err, Ok, Result

from quetzalrudder.adapters import TargetConn, TargetInfo, TargetRequest
from quetzalrudder.exceptions import LinkLost, QuetzalrudderError, TargetUnavailable
from quetzalrudder.groups import GroupTable
from quetzalrudder.models import GroupId, TargetId
from quetzalrudder.schema.target import Probe, TargetAnswer
from quetzalrudder.timeline import EventKind, Timeline
from quetzalrudder.utils import Clock, Deadline

__all__ = ["ControlLinks"]

log = logging.getLogger(__name__)

OpenControl = Callable[[TargetInfo, int, float], Result[TargetConn, QuetzalrudderError]]
AnswersByTarget = dict[TargetId, TargetAnswer]

# Applies while the group is in use or has no known primary; otherwise IDLE_PROBE_INTERVAL_S.
PROBE_INTERVAL_S = 0.1
IDLE_PROBE_INTERVAL_S = 2.0
# A group counts as in use for this long after a request used it.
IN_USE_WINDOW_S = 10.0
# Links of an unwatched group are closed this long after a request last used the group.
IDLE_LINK_TIMEOUT_S = 60.0
# A link is lost if the target answers no probe for this long.
LINK_LOST_TIMEOUT_S = 0.8
OPEN_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.2
FIRST_STATE_TIMEOUT_S = 0.5
FIRST_STATE_POLL_INTERVAL_S = 0.01


class ControlLinks:
    """Keeps and probes control connections to the targets of watched and recently used groups.

    Parameters
    ----------
    groups : GroupTable
        Receives the states that the targets report.
    open_control : Callable
        Opens a control connection, given the target, its generation and a timeout in seconds.
    executor : Executor
        Runs one task for each linked target.
    clock : Clock
        Source of time.
    timeline : Timeline
        Records the events of reached and lost targets.
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
        self._probe_requested: dict[TargetId, threading.Event] = {}
        self._conns: dict[TargetId, TargetConn] = {}
        self._watched: frozenset[GroupId] = frozenset()
        # Monotonic time at which a request last used a group, in seconds.
        self._used_at: dict[GroupId, float] = {}

    def __enter__(self) -> "ControlLinks":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopping.set()
        for event in list(self._probe_requested.values()):
            event.set()
        for fut in list(self._tasks.values()):
            with suppress(FutureTimeoutError):
                fut.result(LINK_LOST_TIMEOUT_S + OPEN_TIMEOUT_S)

    def watch(self, groups: Iterable[GroupId]) -> None:
        """Keep links to the targets of these groups, whether or not they are in use."""
        self._watched = frozenset(groups)
        for group in self._watched:
            self._start_tasks(group)

    def record_use(self, group: GroupId) -> None:
        """Record that a request uses a group.

        If the group was not in use, its targets are probed and the call waits, for a
        limited time, until the state of one is known.
        """
        idle = self._clock.monotonic() - self._used_at.get(group, float("-inf")) > IN_USE_WINDOW_S
        self._used_at[group] = self._clock.monotonic()
        if not idle:
            return
        self._start_tasks(group)
        self.probe_now(group)
        deadline = Deadline(self._clock, self._clock.monotonic() + FIRST_STATE_TIMEOUT_S)
        while self._groups.term(group) == 0 and not deadline.passed:
            self._clock.sleep(FIRST_STATE_POLL_INTERVAL_S)

    def probe_now(self, group: GroupId) -> None:
        """Request the current states of a group's targets."""
        for view in self._groups.members(group):
            event = self._probe_requested.get(view.info.target)
            if event is not None:
                event.set()

    def _start_tasks(self, group: GroupId) -> None:
        with self._lock:
            for view in self._groups.members(group):
                target = view.info.target
                task = self._tasks.get(target)
                if task is None and not self._stopping.is_set():
                    self._probe_requested[target] = threading.Event()
                    self._tasks[target] = self._executor.submit(self._serve, view.info)

    def keeps_links(self, group: GroupId) -> bool:
        """Return whether this instance keeps links to the group's targets."""
        return self._is_needed(group)

    def _keep_or_remove_task(self, info: TargetInfo) -> bool:
        """Return whether the target's link is still needed; remove its task if not."""
        with self._lock:
            if self._is_needed(info.group):
                return True
            self._tasks.pop(info.target, None)
            return False

    def _is_needed(self, group: GroupId) -> bool:
        if self._stopping.is_set():
            return False
        used_at = self._used_at.get(group, float("-inf"))
        return group in self._watched or self._clock.monotonic() - used_at < IDLE_LINK_TIMEOUT_S

    def _probe_interval_s(self, group: GroupId) -> float:
        used_at = self._used_at.get(group, float("-inf"))
        in_use = self._clock.monotonic() - used_at < IN_USE_WINDOW_S
        has_primary = self._groups.primary(group) is not None
        return PROBE_INTERVAL_S if in_use or not has_primary else IDLE_PROBE_INTERVAL_S

    def start(self, target: TargetId, req: TargetRequest) -> "Future[TargetAnswer]":
        """Send a request on a target's control connection and return a future for the answer.

        Raises
        ------
        TargetUnavailable
            There is no usable connection; nothing was sent.
        """
        conn = self._conns.get(target)
        if conn is None:
            raise TargetUnavailable("no control connection is open", place=target)
        return conn.start(req)

    def send_to_targets(
        self,
        targets: list[TargetInfo],
        req: TargetRequest,
        timeout_s: float,
        is_enough: Callable[[AnswersByTarget], bool],
    ) -> AnswersByTarget:
        """Send a request to targets concurrently and return their answers.

        Includes answers that report a failure; targets that did not answer in time are
        omitted.

        Parameters
        ----------
        targets : list of TargetInfo
            Receivers of the request; those without a connection are skipped.
        req : TargetRequest
            The request.
        timeout_s : float
            Longest wait, in seconds; 0 sends the request without waiting for answers.
        is_enough : Callable
            Returns whether the answers received so far suffice; the wait then ends.
        """
        requested_at = self._clock.monotonic()
        deadline = Deadline(self._clock, requested_at + timeout_s)
        pending: dict[Future[TargetAnswer], TargetInfo] = {}
        for info in targets:
            with suppress(TargetUnavailable):
                pending[self.start(info.target, req)] = info
        answers: AnswersByTarget = {}
        while pending and not deadline.passed and not is_enough(answers):
            completed, _ = wait(pending, deadline.remaining_s, return_when=FIRST_COMPLETED)
            for fut in completed:
                info = pending.pop(fut)
                if fut.exception() is None:
                    answers[info.target] = fut.result()
                    self._observe(info, fut.result(), requested_at)
        return answers

    def _observe(self, info: TargetInfo, answer: TargetAnswer, requested_at: float) -> None:
        if answer.state is not None:
            self._groups.observe(info, answer.state, requested_at)

    def _serve(self, info: TargetInfo) -> None:
        while self._keep_or_remove_task(info):
            opened = self._open_control(info, next(self._generations), OPEN_TIMEOUT_S)
            match opened:
                case Ok(conn):
                    self._probe_until_lost(info, conn)
                case Err(exc):
                    log.debug("control connection could not be opened", extra={"reason": str(exc)})
            self._groups.mark_unreachable(info.target, info.group)
            self._stopping.wait(RECONNECT_DELAY_S)

    def _probe_until_lost(self, info: TargetInfo, conn: TargetConn) -> None:
        self._conns[info.target] = conn
        self._timeline.record(EventKind.TARGET_REACHED, target=info.target, group=info.group)
        reason: QuetzalrudderError = LinkLost("link is no longer needed", place=info.target)
        try:
            while self._is_needed(info.group):
                self._probe(info, conn)
                probe_requested = self._probe_requested[info.target]
                probe_requested.wait(self._probe_interval_s(info.group))
                probe_requested.clear()
        except QuetzalrudderError as exc:
            reason = exc
        finally:
            self._conns.pop(info.target, None)
            conn.close()
            self._timeline.record(
                EventKind.TARGET_LOST, target=info.target, group=info.group, detail=str(reason)
            )

    def _probe(self, info: TargetInfo, conn: TargetConn) -> None:
        """Probe a target until it answers.

        The probe is repeated at each interval, so that one lost message delays the state
        by one interval only.

        Raises
        ------
        LinkLost
            No probe was answered within ``LINK_LOST_TIMEOUT_S``.
        """
        deadline = Deadline(self._clock, self._clock.monotonic() + LINK_LOST_TIMEOUT_S)
        pending: dict[Future[TargetAnswer], float] = {}
        while not deadline.passed:
            requested_at = self._clock.monotonic()
            pending[conn.start(Probe())] = requested_at
            timeout_s = min(PROBE_INTERVAL_S, deadline.remaining_s)
            completed, _ = wait(pending, timeout_s, return_when=FIRST_COMPLETED)
            for fut in completed:
                self._observe(info, fut.result(), pending[fut])
                return
        raise LinkLost("target answered no probe in time", place=info.target)
