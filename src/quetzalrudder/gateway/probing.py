"""Probes of databases: the health of primaries and the log positions of replicas."""

import logging
import threading
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    ConnectionLimitReached,
    Overloaded,
    QuetzalrudderError,
)
from quetzalrudder.gateway.attempts import AttemptPlanner
from quetzalrudder.gateway.connections import GatewayPool
from quetzalrudder.gateway.evacuation import TargetEvacuated
from quetzalrudder.gateway.members import MemberTable
from quetzalrudder.gateway.primaries import PrimaryTable, UsablePrimary
from quetzalrudder.gateway.statements import (
    StatusRefusal,
    TargetConnector,
    TargetLink,
    TargetStatus,
)
from quetzalrudder.gateway.targets import LogPosition, Target, TargetRegistry
from quetzalrudder.models import GroupId, TargetId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["PooledProber", "PrimaryHealthCheck", "StatusRefused"]

log = logging.getLogger(__name__)

# Shortest interval between two checks.
STEP_INTERVAL_S = 0.05
# Longest interval between two checks. The monitor ends the wait when the primary becomes
# doubtful.
IDLE_INTERVAL_S = 0.5
# Interval between two checks while no primary may be used.
NO_PRIMARY_INTERVAL_S = 0.1
# A round trip takes 3 ms; a database that needs far longer is busy or unavailable.
PROBE_TIMEOUT_S = 0.3
CONNECT_TIMEOUT_S = 0.3


class StatusRefused(Overloaded):
    """The database is running, but did not report its status.

    Parameters
    ----------
    applied : LogPosition, optional
        Position of the log that its reads run on; it may have received more.
    """

    def __init__(
        self, message: str, *, place: str = "", applied: LogPosition | None = None
    ) -> None:
        super().__init__(message, place=place)
        self.applied = applied


class PooledProber:
    """Probes databases on idle connections of the pool, or on new ones.

    Parameters
    ----------
    pool : GatewayPool
        Pool whose idle connections are used.
    connector : TargetConnector
        Opens a connection if none is idle.
    choose_workspace : Callable
        Returns a workspace for which connections may be opened; None if there is none.
    """

    def __init__(
        self,
        pool: GatewayPool,
        connector: TargetConnector,
        choose_workspace: Callable[[], WorkspaceId | None],
    ) -> None:
        self._pool = pool
        self._connector = connector
        self._choose_workspace = choose_workspace

    def status(self, target: Target) -> Result[TargetStatus, QuetzalrudderError]:
        """Return the role and the log position of a database.

        If the query fails on an idle connection, it is repeated on a new one: an idle
        connection may hang while the database is available.
        """
        checkout = self._pool.checkout_any_idle(target)
        if checkout is not None:
            with checkout:
                result = _query_status(checkout.link, target)
                if isinstance(result, Ok) or isinstance(result.err_value, Overloaded):
                    checkout.mark_reusable()
                    return result
        return self._run_on_new_connection(target, lambda link: _query_status(link, target))

    def step_down(self, target: Target, term: int) -> Result[None, QuetzalrudderError]:
        """Make an old primary a replica."""
        return self._run_on_new_connection(
            target, lambda link: link.step_down(term, PROBE_TIMEOUT_S)
        )

    def _run_on_new_connection(
        self, target: Target, send: Callable[[TargetLink], Result[Any, QuetzalrudderError]]
    ) -> Result[Any, QuetzalrudderError]:
        workspace = self._choose_workspace()
        if workspace is None:
            return Err(
                Overloaded(
                    "no connection can be opened: no workspace is configured", place=target.target
                )
            )
        opened = self._connector.connect(target, workspace, CONNECT_TIMEOUT_S)
        if isinstance(opened, Err):
            return opened
        try:
            return send(opened.ok_value)
        finally:
            opened.ok_value.close()


def _query_status(link: TargetLink, target: Target) -> Result[TargetStatus, QuetzalrudderError]:
    result = link.status(PROBE_TIMEOUT_S)
    if isinstance(result, Err):
        return result
    match result.ok_value:
        case StatusRefusal(fault, applied):
            return Err(StatusRefused(fault.value, place=target.target, applied=applied))
        case status:
            return Ok(status)


class PrimaryHealthCheck:
    """Probes one group's primary when it has not answered for a while.

    Parameters
    ----------
    group : GroupId
        The group.
    primaries, members, registry, planner, prober
        The current primary, the suspicions of other instances, the targets, the planner
        that uses the answers, and the prober.
    is_watcher : Callable
        Returns whether this instance has to monitor a primary.
    clock : Clock
        Source of time.
    on_suspicion : Callable, optional
        Called when a suspicion begins or ends.
    """

    def __init__(
        self,
        *,
        group: GroupId,
        primaries: PrimaryTable,
        members: MemberTable,
        registry: TargetRegistry,
        planner: AttemptPlanner,
        prober: PooledProber,
        is_watcher: Callable[[Target | None], bool],
        clock: Clock,
        on_suspicion: Callable[[], None] = lambda: None,
    ) -> None:
        self._group = group
        self._primaries = primaries
        self._members = members
        self._registry = registry
        self._planner = planner
        self._prober = prober
        self._is_watcher = is_watcher
        self._clock = clock
        self._on_suspicion = on_suspicion
        self._suspected: TargetId | None = None

    def run(self, stopping: threading.Event) -> None:
        """Run the health check until ``stopping`` is set."""
        wake_up = self._planner.primary_monitor(self._group).wake_up
        while not stopping.is_set():
            self.step()
            wake_up.wait(self.next_check_s())

    def next_check_s(self) -> float:
        """Return the seconds until the next check is due."""
        primary = self._primaries.usable_primary(self._group)
        if primary is None:
            return NO_PRIMARY_INTERVAL_S
        if not self._is_watcher(self._registry.queryable(primary.target)):
            return IDLE_INTERVAL_S
        monitor = self._planner.primary_monitor(self._group)
        if self._suspected is not None:
            return STEP_INTERVAL_S
        return min(IDLE_INTERVAL_S, max(STEP_INTERVAL_S, monitor.next_probe_s(primary.target)))

    def step(self) -> None:
        """Probe the primary if that is due, and log changes of suspicion."""
        primary = self._primaries.usable_primary(self._group)
        if primary is None:
            return
        target = self._registry.queryable(primary.target)
        if not self._is_watcher(target) or (target and self._registry.is_evacuated(target)):
            return
        monitor = self._planner.primary_monitor(self._group)
        if any(
            member.suspects.get(self._group) == primary.target for member in self._members.members()
        ):
            monitor.mark_doubtful(primary.target)
        if monitor.is_probe_due(primary.target):
            self._probe(primary)
        suspected = primary.target if monitor.is_suspect(primary.target) else None
        if suspected != self._suspected:
            self._suspected = suspected
            self._on_suspicion()
            log.warning(
                "primary suspected" if suspected else "primary no longer suspected",
                extra={
                    "group": self._group,
                    "target": primary.target,
                    "epoch": primary.epoch,
                    "silent_s": round(monitor.silent_s(primary.target), 2),
                },
            )

    def probe_now(self) -> None:
        """Query the primary for its log position, whether or not a probe is due."""
        primary = self._primaries.usable_primary(self._group)
        if primary is not None:
            self._probe(primary)

    def _probe(self, primary: UsablePrimary) -> None:
        monitor = self._planner.primary_monitor(self._group)
        target = self._registry.queryable(primary.target)
        if target is None:
            # It may run, and its announcement be on its way back; where it listens is not known.
            if self._registry.is_gone(primary.target):
                monitor.record_failure(primary.target)
            return
        sent_at = self._clock.monotonic()
        result = self._prober.status(target)
        if isinstance(result, Err):
            if isinstance(result.err_value, TargetEvacuated):
                return
            if isinstance(result.err_value, Overloaded | ConnectionLimitReached):
                # The database refused the probe, so it is running.
                monitor.record_answer(primary.target)
            else:
                monitor.record_failure(primary.target)
            return
        status = result.ok_value
        if not status.primary:
            monitor.record_not_primary(primary.target)
            return
        monitor.record_answer(primary.target)
        if self._primaries.is_usable(primary):
            self._planner.position_window(self._group).add(sent_at, status.received)

    def suspected_primary(self) -> TargetId | None:
        """Return the primary if this instance suspects it."""
        record = self._primaries.record(self._group)
        if record is None or record.primary is None:
            return None
        target = self._registry.queryable(record.primary)
        if not self._is_watcher(target) or (target and self._registry.is_evacuated(target)):
            return None
        monitor = self._planner.primary_monitor(self._group)
        return record.primary if monitor.is_suspect(record.primary) else None
