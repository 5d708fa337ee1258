"""The operators' side: calls to an instance's control address, and changes to the tree."""

import copy
import random
import uuid
from collections.abc import Callable
from typing import Any

from grpclib import GRPCError
from grpclib.const import Status as GrpcStatus
from grpclib.exceptions import StreamTerminatedError

from quetzalrudder.bridge import Loop
from quetzalrudder.exceptions import (
    Conflict,
    InvalidSettings,
    OutcomeUnknown,
    TargetUnavailable,
    Unauthenticated,
    from_failure,
)
from quetzalrudder.keys import digest_key, make_key
from quetzalrudder.operator_keys import KEY_HEADER
from quetzalrudder.schema.operators import (
    ApplyRequest,
    Event,
    OperatorsStub,
    ShowRequest,
    Status,
    StatusRequest,
    TimelineAnswer,
    TimelineRequest,
)
from quetzalrudder.schema.settings import Branch, BranchKind, BranchSettings, Change, Tree
from quetzalrudder.settings import SettingsTree
from quetzalrudder.streams import call_once
from quetzalrudder.utils import Address, Clock, SystemClock

__all__ = ["OperatorClient"]

CALL_TIMEOUT_S = 5.0
MAX_SEND_ATTEMPTS = 3
SEND_RETRY_PAUSE_S = 0.2
MAX_EDIT_ATTEMPTS = 30
EDIT_RETRY_PAUSE_S = 0.05

Edit = Callable[[list[Branch]], list[Branch]]


class OperatorClient:
    """Calls one instance as an operator.

    Parameters
    ----------
    loop : Loop
        The loop that owns the socket.
    address : Address
        The instance's control address.
    operator_name : str
        Written into the history with each change.
    key : str
        The operator key.
    clock, rng
        Sources of time and of random pauses.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        operator_name: str,
        *,
        key: str = "",
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._metadata = {KEY_HEADER: key} if key else {}
        self._loop = loop
        self._address = address
        self._operator_name = operator_name
        self._clock: Clock = clock or SystemClock()
        self._rng = rng or random.Random()

    def _call(self, method: str, req: Any) -> Any:
        async def call(channel: Any) -> Any:
            return await getattr(OperatorsStub(channel), method)(req, metadata=self._metadata)

        try:
            answer = self._loop.run(
                call_once(self._address, call, timeout_s=CALL_TIMEOUT_S),
                timeout_s=CALL_TIMEOUT_S + 1,
            )
        except GRPCError as exc:
            if exc.status is GrpcStatus.UNAUTHENTICATED:
                raise Unauthenticated(exc.message or "", place=str(self._address)) from None
            raise TargetUnavailable(str(exc), place=str(self._address)) from exc
        except (OSError, StreamTerminatedError, TimeoutError) as exc:
            reason = str(exc) or type(exc).__name__
            raise TargetUnavailable(reason, place=str(self._address)) from exc
        failure = getattr(answer, "failure", None)
        if failure is not None:
            raise from_failure(failure)
        return answer

    def status(self) -> Status:
        """Ask for the instance's state and its view of the targets."""
        return self._call("read_status", StatusRequest())

    def tree(self) -> Tree:
        """Ask for the newest accepted settings."""
        while True:
            pages = [self._call("show_settings", ShowRequest())]
            while not pages[-1].last_page:
                after = pages[-1].tree.branches[-1].path
                req = ShowRequest(after_path=after, next_page=True)
                pages.append(self._call("show_settings", req))
            tree = pages[0].tree
            if all(page.tree.revision == tree.revision for page in pages):
                tree.branches = [branch for page in pages for branch in page.tree.branches]
                return tree

    def events(self) -> list[Event]:
        """Ask for the instance's events."""
        return self.timeline(TimelineRequest()).events

    def timeline(self, req: TimelineRequest) -> TimelineAnswer:
        """Ask for the instance's events that fit, and where the other instances are."""
        return self._call("read_timeline", req)

    def apply(
        self,
        branches: list[Branch],
        *,
        base_revision: int,
        summary: str,
        change_id: str | None = None,
    ) -> Change:
        """Replace the whole tree.

        Parameters
        ----------
        branches : list of Branch
            The tree after the change.
        base_revision : int
            The revision that the change was made from.
        summary : str
            What it does, for the history.
        change_id : str, optional
            Repeat a change of unknown outcome with the id that it had.

        Raises
        ------
        Conflict
            Another operator was first; names the other change.
        InvalidSettings
            Something in the tree is wrong; nothing was changed.
        OutcomeUnknown
            No answer came; repeat the change with the id in ``place``.
        """
        base = self.tree()
        change_id = change_id or uuid.uuid4().hex
        if base.revision != base_revision:
            return self._accepted_before(base, base_revision, change_id)
        put, removed = SettingsTree(base).difference_to(branches)
        return self._send_change(base_revision, put, removed, summary, change_id)

    def _accepted_before(self, tree: Tree, base_revision: int, change_id: str) -> Change:
        for change in tree.history:
            if change.change_id == change_id:
                return change
        return self._send_change(base_revision, [], [], "", change_id)

    def _send_change(
        self,
        base_revision: int,
        put: list[Branch],
        removed: list[str],
        summary: str,
        change_id: str,
    ) -> Change:
        req = ApplyRequest(
            change_id=change_id,
            operator_name=self._operator_name,
            summary=summary,
            base_revision=base_revision,
            put=put,
            removed=removed,
        )
        for _ in range(MAX_SEND_ATTEMPTS):
            try:
                return self._call("apply_settings", req).change
            except (TargetUnavailable, OutcomeUnknown) as exc:
                last = exc
                self._clock.sleep(SEND_RETRY_PAUSE_S)
        raise OutcomeUnknown(f"no answer: {last}", place=change_id) from last

    def edit(self, edit: Edit, summary: str) -> Change:
        """Change the newest tree by a function of its branches.

        Where another operator is first, the function runs again on the newer tree.
        """
        change_id = uuid.uuid4().hex
        for attempt in range(MAX_EDIT_ATTEMPTS):
            tree = self.tree()
            branches = edit(copy.deepcopy(tree.branches))
            try:
                return self.apply(
                    branches, base_revision=tree.revision, summary=summary, change_id=change_id
                )
            except Conflict as exc:
                last = exc
                self._clock.sleep(self._rng.uniform(0, EDIT_RETRY_PAUSE_S * (attempt + 1)))
        raise last

    def put_branch(self, branch: Branch) -> Change:
        """Add a branch, or replace the settings of one."""

        def edit(branches: list[Branch]) -> list[Branch]:
            others = [old for old in branches if old.path != branch.path]
            return [*others, branch]

        return self.edit(edit, f"put {branch.path or 'root'}")

    def grant_key(self, workspace: str) -> str:
        """Make a key for a workspace; gives the key, which is stored nowhere."""
        key = make_key()

        def edit(branches: list[Branch]) -> list[Branch]:
            settings = _workspace(branches, workspace).settings
            digests = (settings.key_digests or "").split()
            settings.key_digests = " ".join([*digests, digest_key(key)])
            return branches

        self.edit(edit, f"grant a key to {workspace}")
        return key

    def withdraw_key(self, workspace: str, key_or_digest: str) -> Change:
        """Withdraw a key, named by itself or by the start of its digest."""

        def edit(branches: list[Branch]) -> list[Branch]:
            settings = _workspace(branches, workspace).settings
            digests = (settings.key_digests or "").split()
            kept = [d for d in digests if not _names(key_or_digest, d)]
            if len(kept) == len(digests):
                raise InvalidSettings("no such key", place=workspace)
            settings.key_digests = " ".join(kept)
            return branches

        return self.edit(edit, f"withdraw a key of {workspace}")


MIN_DIGEST_PREFIX_CHARS = 8


def _names(key_or_digest: str, digest: str) -> bool:
    if digest_key(key_or_digest) == digest:
        return True
    return len(key_or_digest) >= MIN_DIGEST_PREFIX_CHARS and digest.startswith(key_or_digest)


def _workspace(branches: list[Branch], path: str) -> Branch:
    for branch in branches:
        if branch.path == path and branch.kind is BranchKind.WORKSPACE:
            branch.settings = branch.settings or BranchSettings()
            return branch
    raise InvalidSettings("no such workspace", place=path)
