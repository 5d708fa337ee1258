"""Limits the requests to a database that has just started, over all instances together.

Serves the return of callers to a database after its restart or after the evacuation of its data
centre: while it is cold it bears only a few requests a second, and all instances turn to it at
once. Each database that is cold has a rate, which the instances share like the rate of a workspace:
a part at each instance, the rest at one rate owner, no more in sum whichever instance is lost.
"""

import logging
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from quetzalrudder.exceptions import Overloaded, QuetzalrudderError, RateExceeded
from quetzalrudder.gateway.catalog import Workspace
from quetzalrudder.gateway.quotas import SAFETY_FACTOR, QuotaCharge, QuotaRules, TokenRate
from quetzalrudder.gateway.statements import (
    SessionState,
    Statement,
    StatusAnswer,
    StatusRefusal,
    TargetConnector,
    TargetFault,
    TargetLink,
    TargetReply,
)
from quetzalrudder.gateway.targets import LogPosition, Target
from quetzalrudder.models import GroupId, RequestId, TargetId, WorkspaceId
from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import Clock

__all__ = ["ColdLimit", "ColdRules", "WarmingConnector", "WarmingTable"]

log = logging.getLogger(__name__)

# A token that arrives later is not used: it could add up with those of the next second.
MAX_TOKEN_DELAY_S = 0.1
# Time until a refused request of the gateway itself may find a token.
RETRY_AFTER_MS = 100
# Prefix of the names under which the rates of cold databases are shared. No workspace has such a
# name, as names of workspaces contain no space.
RATE_PREFIX = "cold "


@dataclass(frozen=True)
class ColdLimit(Workspace):
    """The rate of a cold database, shared like that of a workspace; it has no burst."""


@dataclass(frozen=True)
class ColdRules(QuotaRules):
    """The rules for workspaces, and those for cold databases.

    Parameters
    ----------
    cold_excess : float
        Multiple of its rate that a cold database bears in one second.
    cold_margin : float
        Requests in one second that it bears in addition.
    """

    cold_excess: float = 1.0
    cold_margin: float = 0.0

    def fleet_rate(self, limit: Workspace) -> TokenRate:
        """Return the token rate of the whole fleet.

        A full bucket and the tokens of one second add up to what a cold database bears.
        """
        if not isinstance(limit, ColdLimit):
            return super().fleet_rate(limit)
        second_limit = (limit.rate_per_s * self.cold_excess + self.cold_margin) * SAFETY_FACTOR
        per_s = max(0.0, min(limit.rate_per_s, second_limit - 1.0))
        return TokenRate(per_s, second_limit - per_s)

    def initial_tokens(self, limit: Workspace, rate: TokenRate) -> float:
        """Return the tokens of a process that has just started.

        Its predecessor may have used all tokens within the same second.
        """
        return 0.0 if isinstance(limit, ColdLimit) else super().initial_tokens(limit, rate)


class WarmingTable:
    """The cold databases, by their announcements and their groups' rates.

    Parameters
    ----------
    targets : Callable
        Returns the announced databases.
    cold_rate : Callable
        Returns the requests a second that a cold database of a group bears; 0 without a limit.
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(
        self,
        targets: Callable[[], Iterable[Target]],
        cold_rate: Callable[[GroupId], float],
        clock: Clock,
    ) -> None:
        self._targets = targets
        self._cold_rate = cold_rate
        self._clock = clock
        self._lock = threading.Lock()
        # Until when each database is cold.
        self._cold_until: dict[TargetId, float] = {}

    def observe(self, target: Target) -> None:
        """Apply an announcement that has just been received.

        The database sent it earlier, so it is cold no longer than for the announced time from now.
        """
        now = self._clock.monotonic()
        with self._lock:
            was_cold = self._cold_until.pop(target.target, 0.0) > now
            self._cold_until = {name: at for name, at in self._cold_until.items() if at > now}
            if target.cold_left_s > 0:
                self._cold_until[target.target] = now + target.cold_left_s
        if was_cold != (target.cold_left_s > 0):
            log.info(
                "target cold" if target.cold_left_s > 0 else "target warm",
                extra={
                    "target": target.target,
                    "cold_left_s": round(target.cold_left_s, 1),
                    "rate_per_s": self._cold_rate(target.group),
                },
            )

    def remaining_s(self) -> dict[TargetId, float]:
        """Return for how many seconds each cold database stays cold, for peers."""
        now = self._clock.monotonic()
        return {name: at - now for name, at in self._cold_until.copy().items() if at > now}

    def observe_peer(self, target: TargetId, left_s: float) -> None:
        """Apply what a peer knows of a cold database; it never ends that state."""
        now = self._clock.monotonic()
        with self._lock:
            known_until = self._cold_until.get(target, now)
            self._cold_until[target] = max(known_until, now + left_s)
        if known_until <= now:
            log.info(
                "target cold, as a peer knows",
                extra={"target": target, "cold_left_s": round(left_s, 1)},
            )

    def limit(self, target: Target) -> ColdLimit | None:
        """Return the limit of a database; None unless it is cold and its group has a rate."""
        cold_until = self._cold_until.get(target.target)
        if cold_until is None or cold_until <= self._clock.monotonic():
            return None
        rate_per_s = self._cold_rate(target.group)
        if rate_per_s <= 0:
            return None
        return ColdLimit(WorkspaceId(RATE_PREFIX + target.target), rate_per_s, 0.0)

    def limits(self) -> dict[WorkspaceId, Workspace]:
        """Return the limits of all cold databases, by the names of their rates."""
        if not self._cold_until:
            return {}
        found = (self.limit(target) for target in self._targets())
        return {limit.workspace: limit for limit in found if limit is not None}


class WarmingConnector:
    """Opens connections whose requests take a token while the database is cold.

    The token is taken at the instance that sends, right before it sends: a connection's owner
    therefore counts what it sends for its peers.

    Parameters
    ----------
    connector : TargetConnector
        Opens the connections.
    warming : WarmingTable
        The cold databases.
    admit : Callable
        Takes a token of a limit.
    has_joined : Callable
        Returns whether this instance knows the fleet that shares the rate.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        connector: TargetConnector,
        warming: WarmingTable,
        admit: Callable[[Workspace], Result[QuotaCharge, RateExceeded]],
        has_joined: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._connector = connector
        self._warming = warming
        self._admit = admit
        self._has_joined = has_joined
        self._clock = clock

    def connect(
        self, target: Target, workspace: WorkspaceId, timeout_s: float
    ) -> Result[TargetLink, QuetzalrudderError]:
        """Open a connection on behalf of a workspace."""
        opened = self._connector.connect(target, workspace, timeout_s)
        return opened.map(lambda link: _WarmingLink(link, lambda: self._take(target)))

    def _take(self, target: Target) -> Result[QuotaCharge | None, RateExceeded]:
        """Take a token if the database is cold."""
        limit = self._warming.limit(target)
        if limit is None:
            return Ok(None)
        if not self._has_joined():
            reason = "the instances that share the rate are not known yet"
            return Err(RateExceeded(reason, retry_after_ms=RETRY_AFTER_MS))
        asked_at = self._clock.monotonic()
        admitted = self._admit(limit)
        if isinstance(admitted, Ok) and self._clock.monotonic() - asked_at > MAX_TOKEN_DELAY_S:
            return Err(RateExceeded("the token came too late", retry_after_ms=RETRY_AFTER_MS))
        return admitted


class _WarmingLink:
    def __init__(
        self, link: TargetLink, take: Callable[[], Result[QuotaCharge | None, RateExceeded]]
    ) -> None:
        self._link = link
        self._take = take
        self._state = SessionState.IDLE

    @property
    def broken(self) -> bool:
        return self._link.broken

    def close(self) -> None:
        self._link.close()

    def run(
        self,
        request_id: RequestId,
        statement: Statement,
        timeout_s: float,
        at_least: LogPosition | None = None,
    ) -> Result[TargetReply, QuetzalrudderError]:
        taken = self._take()
        if isinstance(taken, Err):
            return self._busy(taken.err_value)
        result = self._link.run(request_id, statement, timeout_s, at_least)
        if isinstance(result, Ok):
            self._state = result.ok_value.state
        elif taken.ok_value is not None and result.err_value.ending is Ending.NOT_RUN:
            taken.ok_value.refund()
        return result

    def _busy(self, exc: RateExceeded) -> Ok[TargetReply]:
        """Return the same answer as a database without a free slot: nothing was sent."""
        detail = f"the database is warming up: {exc}"
        return Ok(TargetReply(self._state, fault=TargetFault.BUSY, detail=detail))

    def reset(self, timeout_s: float) -> Result[TargetReply, QuetzalrudderError]:
        taken = self._take()
        return _overloaded() if isinstance(taken, Err) else self._link.reset(timeout_s)

    def status(self, timeout_s: float) -> Result[StatusAnswer, QuetzalrudderError]:
        if isinstance(self._take(), Err):
            return Ok(StatusRefusal(TargetFault.BUSY))
        return self._link.status(timeout_s)

    def step_down(self, term: int, timeout_s: float) -> Result[None, QuetzalrudderError]:
        if isinstance(self._take(), Err):
            return _overloaded()
        return self._link.step_down(term, timeout_s)


def _overloaded() -> Err[QuetzalrudderError]:
    return Err(Overloaded("the database is warming up", retry_after_ms=RETRY_AFTER_MS))
