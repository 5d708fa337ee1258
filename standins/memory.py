"""A group of target stand-ins in memory, which replicates only on request."""

from collections.abc import Coroutine
from typing import Any, TypeVar

from result import Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.schema.common import Position
from quetzalrudder.schema.standin import LogBatch
from quetzalrudder.schema.target import Execute, Follow, TargetAnswer, TargetFrame
from quetzalrudder.utils import field_by_type
from standins.replication import append_batch, first_batch, make_replicate_request
from standins.serving import FaultState
from standins.statements import StatementConn
from standins.target import TargetConfig, TargetService, TargetState

__all__ = [
    "MemoryFollower",
    "MemoryGroup",
    "MemoryTarget",
    "drop_received_entries",
    "run_to_completion",
]

T = TypeVar("T")
FIELD_BY_TYPE = field_by_type(TargetFrame)


def run_to_completion(coro: "Coroutine[Any, Any, T]") -> T:
    """Run a coroutine that never suspends, and return its result."""
    try:
        coro.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError("the coroutine suspended; it must run without waiting")


class MemoryFollower:
    """Records which primary a target follows; the group copies the log."""

    def __init__(self, target: TargetState, primary: str, address: str, term: int) -> None:
        self.primary = primary
        self.term = term

    def start(self) -> None:
        """Do nothing; there is no connection to open."""

    def stop(self) -> None:
        """Do nothing; there is no connection to close."""


class MemoryTarget:
    """A target stand-in without sockets."""

    def __init__(self, name: str, data_centre: str) -> None:
        self.cfg = TargetConfig(name, data_centre, "", 3, 20, statement_s=0.0)
        self.restart()

    def restart(self) -> None:
        """Start again without the log and the term."""
        self.state = TargetState(self.cfg, FaultState(), MemoryFollower)
        self._service = TargetService(self.state)

    def control(self, req: Any) -> TargetAnswer:
        """Answer one request of a control connection."""
        frame = TargetFrame()
        setattr(frame, FIELD_BY_TYPE[type(req)], req)
        return run_to_completion(self._service.control(frame))

    def write(self, term: int, request_id: str) -> Result[TargetAnswer, QuetzalrudderError]:
        """Run a write, whose outcome is recorded under the request id."""
        req = Execute(
            workspace="w",
            sql="CREATE TABLE IF NOT EXISTS t (x)",
            write=True,
            term=term,
            request_id=request_id,
        )
        return StatementConn(self.state).write(req)

    def has_outcome(self, request_id: str) -> bool:
        """Return whether the visible data includes the outcome of a request."""
        return self.state.database.outcome(f"w\n{request_id}") is not None


class MemoryGroup:
    """A group of targets that replicates only on request.

    Parameters
    ----------
    data_centres : dict of str to str
        The data centre of each target; the first one is the primary.
    """

    def __init__(self, data_centres: dict[str, str]) -> None:
        self.targets = {name: MemoryTarget(name, dc) for name, dc in data_centres.items()}
        first = next(iter(self.targets))
        for name, target in self.targets.items():
            target.state.start_new_group(name == first)
            if name != first:
                target.control(Follow(term=1, primary=first, address="127.0.0.1:1"))
        for name in self.targets:
            self.replicate(name)

    def replicate(self, name: str) -> bool:
        """Copy the primary's log to one target.

        Returns False if the target follows no primary, or one that has left the term.
        """
        follower = self.targets[name].state
        if follower.follower is None:
            return False
        primary = self.targets[follower.follower.primary].state
        if not primary.accepts_writes(follower.follower.term):
            return False
        req = make_replicate_request(follower, follower.follower.term)
        append_batch(follower, follower.follower.term, first_batch(primary, req))
        follower.database.apply_all()
        return True


def drop_received_entries(follower: TargetState, batch: LogBatch) -> None:
    """Remove the leading entries of a batch that the follower has already received."""
    while batch.entries:
        first = batch.entries[0]
        if not follower.database.contains(Position(term=first.term, index=first.index)):
            return
        batch.entries.pop(0)
        batch.keep_index += 1
