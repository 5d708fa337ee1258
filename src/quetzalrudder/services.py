"""gRPC services of an instance; they pass the requests on to worker threads."""

import asyncio
from collections.abc import AsyncIterator, Callable
from concurrent.futures import Executor
from typing import TypeVar

from result import Err, Ok

from quetzalrudder.bridge import Loop, serve_pipe
from quetzalrudder.connections import CallerConnections
from quetzalrudder.exceptions import to_failure
from quetzalrudder.groups import GroupTable, TargetView
from quetzalrudder.membership import Membership
from quetzalrudder.models import InstanceState
from quetzalrudder.schema.caller import AnswerFrame, CallerBase, CallerFrame
from quetzalrudder.schema.operators import (
    ApplyAnswer,
    ApplyRequest,
    OperatorsBase,
    ShowAnswer,
    ShowRequest,
    Status,
    StatusRequest,
    TargetStatus,
    TimelineAnswer,
    TimelineRequest,
)
from quetzalrudder.schema.settings import Tree
from quetzalrudder.settings_store import SettingsStore
from quetzalrudder.timeline import Timeline, matches

__all__ = ["CallerService", "OperatorService"]

T = TypeVar("T")

MAX_EVENTS = 5000
SETTINGS_PAGE_BYTES = 1024 * 1024


class CallerService(CallerBase):
    """Accepts caller connections and serves each in its own task."""

    def __init__(self, loop: Loop, connections: CallerConnections) -> None:
        self._loop = loop
        self._connections = connections

    async def connect(self, messages: AsyncIterator[CallerFrame]) -> AsyncIterator[AnswerFrame]:
        """Serve one caller connection."""
        async for frame in serve_pipe(self._loop, messages, self._connections.accept):
            yield frame


class OperatorService(OperatorsBase):
    """Serves the operators' tool, ``quetzalrudderctl``."""

    def __init__(
        self,
        *,
        executor: Executor,
        connections: CallerConnections,
        store: SettingsStore,
        groups: GroupTable,
        timeline: Timeline,
        membership: Membership,
        state: Callable[[], InstanceState],
    ) -> None:
        self._executor = executor
        self._connections = connections
        self._store = store
        self._groups = groups
        self._timeline = timeline
        self._membership = membership
        self._state = state

    async def _in_thread(self, call: Callable[[], T]) -> T:
        return await asyncio.wrap_future(self._executor.submit(call))

    async def read_status(self, message: StatusRequest) -> Status:
        """Return the state of this instance and the target states that it has observed."""
        return Status(
            instance=self._connections.instance,
            data_centre=self._connections.data_centre,
            state=self._state().value,
            settings_revision=self._store.tree.revision,
            caller_connections=self._connections.count,
            targets=[_target_status(view) for view in self._groups.targets()],
        )

    async def show_settings(self, message: ShowRequest) -> ShowAnswer:
        """Return a page of the newest accepted settings tree.

        For the first page, the settings are loaded from the platform; the page carries the
        history, and the failure if they could not be loaded.
        """
        failure = None
        if not message.next_page:
            loaded = await self._in_thread(self._store.load)
            failure = to_failure(loaded.err_value) if isinstance(loaded, Err) else None
        tree = self._store.tree
        after_path = message.after_path if message.next_page else None
        branches, last = tree.branches_after(after_path, SETTINGS_PAGE_BYTES)
        history = [] if message.next_page else tree.tree.history
        page = Tree(revision=tree.revision, branches=branches, history=history)
        return ShowAnswer(tree=page, failure=failure, last_page=last)

    async def apply_settings(self, message: ApplyRequest) -> ApplyAnswer:
        """Apply a change of the settings; return the accepted change or the failure."""
        match await self._in_thread(lambda: self._store.apply(message)):
            case Ok(change):
                return ApplyAnswer(change=change)
            case Err(exc):
                return ApplyAnswer(failure=to_failure(exc))

    async def read_timeline(self, message: TimelineRequest) -> TimelineAnswer:
        """Return the newest matching events of this process and the addresses of all instances."""
        matching = [event for event in self._timeline.events() if matches(event, message)]
        return TimelineAnswer(
            events=matching[-MAX_EVENTS:],
            shortened=len(matching) > MAX_EVENTS,
            control_addresses=[str(i.control_address) for i in self._membership.instances()],
        )


def _target_status(view: TargetView) -> TargetStatus:
    state = view.state
    return TargetStatus(
        target=view.info.target,
        group=view.info.group,
        role=state.role.name.lower() if state else "unknown",
        term=state.term if state else 0,
        applied=state.applied.index if state and state.applied else 0,
        reachable=view.reachable,
    )
