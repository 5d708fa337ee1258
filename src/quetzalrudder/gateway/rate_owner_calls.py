"""Calls to the owners of rates, and which of them are not made as nobody would answer.

Serves the time in which a part of the fleet is cut off: an operation that waits for an owner there
is late, and one after the other would wait for each of them.
"""

import logging
from concurrent.futures import Executor
from typing import Any

from result import Err, Ok, Result

from quetzalrudder.exceptions import QuetzalrudderError, TargetUnavailable
from quetzalrudder.gateway.assignments import AvoidedInstances, FleetView
from quetzalrudder.gateway.members import RosterRecord
from quetzalrudder.gateway.reachability import SilentDataCentres, UnreachedPeers
from quetzalrudder.gateway.token_caller import TOKEN_TIMEOUT_S, TokenCaller
from quetzalrudder.models import DataCentre, InstanceId
from quetzalrudder.schema.gateway import TakeOverRequest, TokenReply, TokenRequest
from quetzalrudder.utils import Clock

__all__ = ["RateOwnerCalls"]

log = logging.getLogger(__name__)

# Calls in each pass to instances that did not answer.
MAX_TRIALS = 4


class RateOwnerCalls:
    """Requests tokens from other instances.

    Parameters
    ----------
    view : FleetView
        The fleet.
    caller : TokenCaller
        Reaches other instances.
    clock : Clock
        Source of time.
    """

    def __init__(self, view: FleetView, caller: TokenCaller, clock: Clock) -> None:
        self._view = view
        self._caller = caller
        # Instances that have not answered a call, nor any since.
        self._avoided = AvoidedInstances(clock, TOKEN_TIMEOUT_S)
        self._unreached = UnreachedPeers()
        self._silent = SilentDataCentres()

    def expects_answer(self, instance: InstanceId) -> bool:
        """Return whether an instance answered the latest call, or has not been called."""
        return not self._avoided.is_known(instance)

    def is_silent(self, data_centre: DataCentre | None) -> bool:
        """Return whether no instance of a data centre is expected to answer."""
        return self._silent.is_silent(data_centre)

    def unreached(self) -> frozenset[InstanceId]:
        """Return the live instances that do not answer this one's calls."""
        return self._unreached.among(self._view.live_instances())

    def request(
        self, owner: RosterRecord, req: TokenRequest
    ) -> Result[TokenReply, QuetzalrudderError]:
        """Request a token from an owner, or give one back."""
        result = self._caller.take_token(owner.address, req, TOKEN_TIMEOUT_S)
        self._record(owner, result)
        if isinstance(result, Err):
            log.warning(
                "rate owner not reached",
                extra={
                    "peer": owner.instance,
                    "workspace": req.workspace,
                    "reason": str(result.err_value),
                },
            )
        return result

    def try_unanswering(self, executor: Executor) -> None:
        """Call some of the instances that did not answer, as they may answer again.

        Parameters
        ----------
        executor : Executor
            Runs the calls.
        """
        names = self._avoided.names()
        roster = self._view.roster() if names else {}
        trials = 0
        for name in names:
            if name not in roster:
                self._avoided.discard(name)
            elif trials < MAX_TRIALS and self._avoided.claim_trial(name):
                trials += 1
                executor.submit(self._try, roster[name])

    def _try(self, record: RosterRecord) -> None:
        # Asks for nothing, so that only the answer matters.
        result = self._caller.take_over_rates(record.address, TakeOverRequest(), TOKEN_TIMEOUT_S)
        self._record(record, result)

    def _record(self, record: RosterRecord, result: Result[Any, QuetzalrudderError]) -> None:
        if isinstance(result, Ok):
            self._avoided.discard(record.instance)
            self._unreached.record_answer(record.instance)
            if self._silent.record_answer(record):
                self._forget_silence(record.data_centre)
            return
        self._unreached.record_failure(record)
        if not isinstance(result.err_value, TargetUnavailable):
            # Nobody waits for a process that refuses connections, as one that starts does.
            self._avoided.add(record.instance)
            self._silent.record_silence(record)

    def _forget_silence(self, data_centre: DataCentre) -> None:
        """Call all instances of a data centre again, as one of them has answered."""
        roster = self._view.roster()
        for name in self._avoided.names():
            if name in roster and roster[name].data_centre == data_centre:
                self._avoided.discard(name)
