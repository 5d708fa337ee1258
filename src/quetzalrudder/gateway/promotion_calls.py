"""Calls to the platform to promote databases.

Serves the replacement of the primaries of several groups at once while the platform is slow: a call
that waits for its answer holds up no other group.
"""

import logging
import math
import threading
from collections.abc import Callable
from concurrent.futures import Executor, Future
from functools import partial
from typing import Protocol

from result import Err, Result

from quetzalrudder.exceptions import PlatformUnavailable, QuetzalrudderError
from quetzalrudder.models import GroupId, InstanceId, TargetId
from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import Clock

__all__ = ["LATE_CALL_LIMIT_S", "PromotionCalls", "PromotionClient"]

log = logging.getLogger(__name__)

# A call without an answer is not expected to take effect after this time. The platform states no
# limit; waiting without one would keep a group without a primary although a database has all
# acknowledged commits.
LATE_CALL_LIMIT_S = 10.0


class PromotionClient(Protocol):
    """Calls the platform to promote a database.

    A call without an answer may take effect later; its error has the ending *unknown*.
    """

    def promote(
        self,
        group: GroupId,
        target: TargetId,
        *,
        coordinator: InstanceId,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> Result[None, QuetzalrudderError]:
        """Promote a database; ``TargetUnavailable`` if it is not running.

        ``may_send`` is asked right before the call is sent: the process may have stood still since
        it began to connect.
        """


class PromotionCalls:
    """Makes promotion calls, one at a time for each group.

    Parameters
    ----------
    client : PromotionClient
        Calls the platform.
    coordinator : InstanceId
        This instance.
    may_call : Callable
        Returns whether this instance may promote, checked before each call and again before it is
        sent.
    clock : Clock
        Source of time; it must count suspensions.
    """

    def __init__(
        self,
        client: PromotionClient,
        coordinator: InstanceId,
        may_call: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._client = client
        self._coordinator = coordinator
        self._may_call = may_call
        self._clock = clock
        # The call that runs, or whose result was not taken yet.
        self._calls: dict[GroupId, Future] = {}
        # The latest epoch for which a call was made.
        self._made: dict[GroupId, int] = {}
        self._lock = threading.Lock()
        # When a call for a database ended without an answer, for the last time.
        self._unanswered: dict[tuple[GroupId, TargetId], float] = {}
        # Runs the calls; without one, they are run by the caller.
        self.executor: Executor | None = None

    def was_made(self, group: GroupId, epoch: int) -> bool:
        """Return whether a call was made for an epoch, with or without an answer."""
        return self._made.get(group) == epoch

    def may_still_run(self, group: GroupId, target: TargetId) -> bool:
        """Return whether a call for a database got no answer, so that it may take effect later.

        This does not end when the group has a primary: the call may depose the one after that.
        """
        ended_at = self._unanswered.get((group, target), -math.inf)
        return self._clock.monotonic() - ended_at < LATE_CALL_LIMIT_S

    def has_call(self, group: GroupId) -> bool:
        """Return whether a call of a group runs, or its result was not taken yet."""
        return group in self._calls

    def begin(self, group: GroupId, epoch: int, target: TargetId, fencing_token: int) -> None:
        """Make a call for an epoch, unless one of the group still runs."""
        if group in self._calls:
            return
        self._made[group] = epoch
        call = partial(self._call, group, epoch, target, fencing_token)
        if self.executor is not None:
            self._calls[group] = self.executor.submit(call)
        else:
            self._calls[group] = Future()
            self._calls[group].set_result(call())

    def take_result(self, group: GroupId) -> tuple[int, Result[None, QuetzalrudderError]] | None:
        """Return the epoch and the result of a call that has ended, once; None if there is none."""
        fut = self._calls.get(group)
        if fut is None or not fut.done():
            return None
        del self._calls[group]
        return fut.result()

    def _call(
        self, group: GroupId, epoch: int, target: TargetId, fencing_token: int
    ) -> tuple[int, Result[None, QuetzalrudderError]]:
        if not self._may_call():
            return epoch, Err(PlatformUnavailable("the coordinator lease has lapsed", place=group))
        try:
            result = self._client.promote(
                group,
                target,
                coordinator=self._coordinator,
                fencing_token=fencing_token,
                may_send=self._may_call,
            )
        except Exception as exc:
            log.exception("promotion call failed with an unexpected error")
            reason = f"promotion call failed: {exc!r}"
            result = Err(PlatformUnavailable(reason, place=group, ending=Ending.UNKNOWN))
        if isinstance(result, Err) and result.err_value.ending is Ending.UNKNOWN:
            self._note_unanswered(group, target)
        return epoch, result

    def _note_unanswered(self, group: GroupId, target: TargetId) -> None:
        # Calls of several groups end on threads of their own.
        with self._lock:
            now = self._clock.monotonic()
            for call, ended_at in list(self._unanswered.items()):
                if now - ended_at >= LATE_CALL_LIMIT_S:
                    del self._unanswered[call]
            self._unanswered[group, target] = now
