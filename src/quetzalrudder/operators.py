"""Operator client: calls to an instance's control address and changes to the settings."""

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
        Event loop that owns the socket.
    address : Address
        Control address of the instance.
    operator_name : str
        Recorded in the history with each change.
    key : str
        The operator key.
    clock, rng
        Sources of time and of random retry pauses.
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
        """Return the instance's state and its view of the targets."""
        return self._call("read_status", StatusRequest())

    def tree(self) -> Tree:
        """Return the newest accepted settings.

        All pages are read again if a change is accepted while they are being read.
        """
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
        """Return the instance's events."""
        return self.timeline(TimelineRequest()).events

    def timeline(self, req: TimelineRequest) -> TimelineAnswer:
        """Return the instance's events that pass the filters, and other instances' addresses."""
        return self._call("read_timeline", req)

    def apply(
        self,
        branches: list[Branch],
        *,
        base_revision: int,
        summary: str,
        change_id: str | None = None,
    ) -> Change:
        """Replace the whole settings tree.

        Parameters
        ----------
        branches : list of Branch
            All branches after the change.
        base_revision : int
            Revision that the change is based on.
        summary : str
            Description of the change for the history.
        change_id : str, optional
            Id of an earlier change with unknown outcome, to repeat that change.

        Raises
        ------
        Conflict
            Another change was accepted first; the error names it.
        InvalidSettings
            The tree is invalid; nothing was changed.
        OutcomeUnknown
            The change was not confirmed; repeat it with the id in ``place``.
        """
        base = self.tree()
        change_id = change_id or uuid.uuid4().hex
        if base.revision != base_revision:
            return self._repeat_change(base, base_revision, change_id)
        put, removed = SettingsTree(base).difference_to(branches)
        return self._send_change(base_revision, put, removed, summary, change_id)

    def _repeat_change(self, tree: Tree, base_revision: int, change_id: str) -> Change:
        """Return the change with this id if it was accepted before.

        If the history no longer has it, a request without branches is sent: the instance finds
        the change in its log by the id, or returns an error.
        """
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
                last_error = exc
                self._clock.sleep(SEND_RETRY_PAUSE_S)
        raise OutcomeUnknown(
            f"the change was not confirmed: {last_error}", place=change_id
        ) from last_error

    def edit(self, edit: Edit, summary: str) -> Change:
        """Change the newest tree by a function of its branches.

        If another change is accepted first, the function is called again with the newer tree.
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
                last_conflict = exc
                self._clock.sleep(self._rng.uniform(0, EDIT_RETRY_PAUSE_S * (attempt + 1)))
        raise last_conflict

    def put_branch(self, branch: Branch) -> Change:
        """Add a branch, or replace the settings of an existing one."""

        def edit(branches: list[Branch]) -> list[Branch]:
            others = [other for other in branches if other.path != branch.path]
            return [*others, branch]

        return self.edit(edit, f"put {branch.path or 'root'}")

    def grant_key(self, workspace: str) -> str:
        """Generate a key for a workspace and return it; only its digest is stored."""
        key = make_key()

        def edit(branches: list[Branch]) -> list[Branch]:
            settings = _find_workspace(branches, workspace).settings
            digests = (settings.key_digests or "").split()
            settings.key_digests = " ".join([*digests, digest_key(key)])
            return branches

        self.edit(edit, f"grant a key to {workspace}")
        return key

    def withdraw_key(self, workspace: str, key_or_digest: str) -> Change:
        """Withdraw a key, given as the key itself or as a prefix of its digest."""

        def edit(branches: list[Branch]) -> list[Branch]:
            settings = _find_workspace(branches, workspace).settings
            digests = (settings.key_digests or "").split()
            kept = [digest for digest in digests if not _matches_digest(key_or_digest, digest)]
            if len(kept) == len(digests):
                raise InvalidSettings("the workspace has no such key", place=workspace)
            settings.key_digests = " ".join(kept)
            return branches

        return self.edit(edit, f"withdraw a key of {workspace}")


MIN_DIGEST_PREFIX_CHARS = 8


def _matches_digest(key_or_digest: str, digest: str) -> bool:
    if digest_key(key_or_digest) == digest:
        return True
    return len(key_or_digest) >= MIN_DIGEST_PREFIX_CHARS and digest.startswith(key_or_digest)


def _find_workspace(branches: list[Branch], path: str) -> Branch:
    for branch in branches:
        if branch.path == path and branch.kind is BranchKind.WORKSPACE:
            branch.settings = branch.settings or BranchSettings()
            return branch
    raise InvalidSettings("the workspace does not exist", place=path)
