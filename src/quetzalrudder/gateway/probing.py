"""Questions of our own to databases: is the primary there, how far is a replica."""

import logging
import threading
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from quetzalrudder.exceptions import Overloaded, QuetzalrudderError
from quetzalrudder.gateway.attempts import AttemptPlanner
from quetzalrudder.gateway.connections import GatewayPool
from quetzalrudder.gateway.members import MemberTable
from quetzalrudder.gateway.primaries import PrimaryTable, UsablePrimary
from quetzalrudder.gateway.statements import (
    TargetConnector,
    TargetFault,
    TargetLink,
    TargetStatus,
)
from quetzalrudder.gateway.targets import Target, TargetRegistry
from quetzalrudder.models import GroupId, TargetId, WorkspaceId
from quetzalrudder.utils import Clock

__all__ = ["PooledProber", "PrimaryHealthCheck"]

log = logging.getLogger(__name__)

# How often it is looked whether a question is due.
STEP_INTERVAL_S = 0.05
# A round trip takes 3 ms; a database that needs longer is busy or lost.
PROBE_TIMEOUT_S = 0.3
CONNECT_TIMEOUT_S = 0.3


class PooledProber:
    """Asks databases on idle connections of the pool, or on one of its own.

    Parameters
    ----------
    pool : GatewayPool
        Connections that may be idle.
    connector : TargetConnector
        Opens a connection where none is.
    workspace : Callable
        Gives a workspace for which connections may be opened; None if there is none.
    """

    def __init__(
        self,
        pool: GatewayPool,
        connector: TargetConnector,
        workspace: Callable[[], WorkspaceId | None],
    ) -> None:
        self._pool = pool
        self._connector = connector
        self._workspace = workspace

    def status(self, target: Target) -> Result[TargetStatus, QuetzalrudderError]:
        """Ask for role and position.

        Only a failure on a new connection counts: an old one may have gone silent.
        """
        checkout = self._pool.checkout_any_idle(target)
        if checkout is not None:
            with checkout:
                asked = _ask(checkout.link, target)
                if isinstance(asked, Ok) or isinstance(asked.err_value, Overloaded):
                    checkout.mark_reusable()
                    return asked
        return self._on_new_connection(target, lambda link: _ask(link, target))

    def step_down(self, target: Target, term: int) -> Result[None, QuetzalrudderError]:
        """Tell an old primary to become a replica."""
        return self._on_new_connection(target, lambda link: link.step_down(term, PROBE_TIMEOUT_S))

    def _on_new_connection(
        self, target: Target, ask: Callable[[TargetLink], Result[Any, QuetzalrudderError]]
    ) -> Result[Any, QuetzalrudderError]:
        workspace = self._workspace()
        if workspace is None:
            return Err(Overloaded("no workspace is configured", place=target.target))
        opened = self._connector.connect(target, workspace, CONNECT_TIMEOUT_S)
        if isinstance(opened, Err):
            return opened
        try:
            return ask(opened.ok_value)
        finally:
            opened.ok_value.close()


def _ask(link: TargetLink, target: Target) -> Result[TargetStatus, QuetzalrudderError]:
    result = link.status(PROBE_TIMEOUT_S)
    if isinstance(result, Err):
        return result
    if isinstance(result.ok_value, TargetFault):
        return Err(Overloaded(result.ok_value.value, place=target.target))
    return Ok(result.ok_value)


class PrimaryHealthCheck:
    """Asks one group's primary when it has been quiet.

    Parameters
    ----------
    group : GroupId
        The group.
    primaries, members, registry, planner, prober
        Who leads, whom other instances suspect, where it is, who learns from the answers,
        and who asks.
    is_watcher : Callable
        Tells whether it is this instance's part to ask a primary.
    clock : Clock
        Source of time.
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
    ) -> None:
        self._group = group
        self._primaries = primaries
        self._members = members
        self._registry = registry
        self._planner = planner
        self._prober = prober
        self._is_watcher = is_watcher
        self._clock = clock
        self._suspected: TargetId | None = None

    def run(self, stopping: threading.Event) -> None:
        """Watch until told to stop."""
        while not stopping.wait(STEP_INTERVAL_S):
            self.step()

    def step(self) -> None:
        """Ask the primary if it is due, and note whether it is suspect."""
        primary = self._primaries.usable_primary(self._group)
        if primary is None:
            return
        if not self._is_watcher(self._registry.get(primary.target)):
            return
        monitor = self._planner.monitor(self._group)
        if any(
            member.suspects.get(self._group) == primary.target for member in self._members.members()
        ):
            monitor.doubt(primary.target)
        if monitor.is_due(primary.target):
            self._ask(primary)
        suspected = primary.target if monitor.is_suspect(primary.target) else None
        if suspected != self._suspected:
            self._suspected = suspected
            log.warning(
                "primary suspected" if suspected else "primary no longer suspected",
                extra={
                    "group": self._group,
                    "target": primary.target,
                    "epoch": primary.epoch,
                    "silent_s": round(monitor.silent_s(primary.target), 2),
                },
            )

    def ask_now(self) -> None:
        """Ask the primary for its position."""
        primary = self._primaries.usable_primary(self._group)
        if primary is not None:
            self._ask(primary)

    def _ask(self, primary: UsablePrimary) -> None:
        monitor = self._planner.monitor(self._group)
        target = self._registry.get(primary.target)
        if target is None:
            monitor.failed(primary.target)
            return
        asked_at = self._clock.monotonic()
        result = self._prober.status(target)
        if isinstance(result, Err):
            if isinstance(result.err_value, Overloaded):
                monitor.answered(primary.target)
            else:
                monitor.failed(primary.target)
            return
        status = result.ok_value
        if not status.primary:
            monitor.refused_as_replica(primary.target)
            return
        monitor.answered(primary.target)
        if self._primaries.is_usable(primary):
            self._planner.window(self._group).add(asked_at, status.received)

    def suspect(self) -> TargetId | None:
        """Give the primary if this instance has lost it."""
        record = self._primaries.record(self._group)
        if record is None or record.primary is None:
            return None
        if not self._is_watcher(self._registry.get(record.primary)):
            return None
        monitor = self._planner.monitor(self._group)
        return record.primary if monitor.is_suspect(record.primary) else None
