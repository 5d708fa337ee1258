"""Who calls and what that caller may reach; a key is compared, never passed on."""

import base64
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import cached_property
from typing import Protocol

from result import Err, Ok, Result

from quetzalrudder.exceptions import (
    AccessDenied,
    KeyInStatement,
    KeyWithdrawn,
    QuetzalrudderError,
    SettingsTooOld,
    Unauthenticated,
)
from quetzalrudder.keys import KEY_PATTERN, KEY_PREFIX, digest_key, has_digest
from quetzalrudder.models import RouteName, WorkspaceId
from quetzalrudder.schema.caller import Access, Answer, AskOutcome, CallerFrame, Statement
from quetzalrudder.schema.common import Ending
from quetzalrudder.schema.settings import BranchSettings
from quetzalrudder.settings import SettingsTree

__all__ = [
    "ANONYMOUS",
    "CallerIdentity",
    "KeyGuard",
    "KeyView",
    "authenticate",
    "check_frame",
    "check_route",
    "contains_key",
    "has_effect",
    "key_withdrawn_error",
    "may_use",
    "withhold_answer",
]

ANONYMOUS = WorkspaceId("")
RETRY_AFTER_MS = 1000
BASE64_GROUP_BYTES = 3

KeyCheck = Callable[[], Result[None, QuetzalrudderError]]


class KeyView(Protocol):
    """What an instance knows of keys, and how old that knowledge is."""

    @property
    def tree(self) -> SettingsTree:
        """The revision in force."""

    @property
    def age_ms(self) -> float:
        """Milliseconds since the revision was proved to be the newest."""


def _always_valid() -> Result[None, QuetzalrudderError]:
    return Ok(None)


@dataclass(frozen=True)
class CallerIdentity:
    """Who a connection works for; the key stays in the instance.

    Without a key the caller is nobody: the workspace that it names is not taken over.

    Examples
    --------
    >>> CallerIdentity("steppe/almaty", "")
    CallerIdentity(workspace='')
    >>> CallerIdentity("steppe/almaty", "qrk_secret")
    CallerIdentity(workspace='steppe/almaty')
    """

    workspace: WorkspaceId
    key: str = field(repr=False)
    # Checks the key again; call it before work that starts later than the request came.
    recheck: KeyCheck = field(default=_always_valid, repr=False, compare=False)

    def __post_init__(self) -> None:
        if not self.key:
            object.__setattr__(self, "workspace", ANONYMOUS)

    @cached_property
    def digest(self) -> str:
        """Digest of the key, as the settings hold it."""
        return digest_key(self.key)

    @cached_property
    def key_encodings(self) -> tuple[str, ...]:
        """Ways to write the key that no target may see."""
        return tuple(_forms(self.key)) if self.key else ()


def _forms(key: str) -> Iterator[str]:
    raw = key.encode()
    yield key
    yield raw.hex()
    yield raw.hex().upper()
    for encode in (base64.b64encode, base64.urlsafe_b64encode):
        for shift in range(BASE64_GROUP_BYTES):
            yield _base64_core(encode, raw, shift)


def _base64_core(encode: Callable[[bytes], bytes], raw: bytes, shift: int) -> str:
    """Give the part of an encoding that does not depend on the bytes around the key."""
    skipped = -shift % BASE64_GROUP_BYTES
    whole = (len(raw) - skipped) // BASE64_GROUP_BYTES * BASE64_GROUP_BYTES
    return encode(raw[skipped : skipped + whole]).decode()


def may_use(workspace: WorkspaceId, route: RouteName) -> bool:
    """Tell whether a workspace stands under the same branch as a route.

    Examples
    --------
    >>> may_use("steppe/almaty", "steppe/offers"), may_use("venues/bern", "steppe/offers")
    (True, False)
    >>> may_use(ANONYMOUS, "public")
    False
    """
    if workspace == ANONYMOUS:
        return False
    return workspace.rpartition("/")[0] == route.rpartition("/")[0]


def check_route(
    caller: CallerIdentity, route: RouteName, settings: BranchSettings
) -> Result[None, QuetzalrudderError]:
    """Check that a caller may use a route, given the route's effective settings."""
    if settings.open or may_use(caller.workspace, route):
        return Ok(None)
    if caller.workspace == ANONYMOUS:
        return Err(AccessDenied("the route needs a key", place=route))
    return Err(AccessDenied("the workspace may not use the route", place=route))


def authenticate(store: KeyView, caller: CallerIdentity) -> Result[None, QuetzalrudderError]:
    """Check a caller's key against the settings in force.

    A caller without a key passes; it reaches only routes that are open to all.

    Returns
    -------
    Result[None, QuetzalrudderError]
        ``Unauthenticated``, or ``SettingsTooOld`` if this instance's view of the keys
        is older than the workspace's ``key_view_max_age_ms``.
    """
    if not caller.key:
        return Ok(None)
    tree = store.tree
    too_old = _check_age(store, tree, caller)
    if _holds_key(tree, caller):
        return too_old
    if isinstance(too_old, Err):
        return too_old
    return Err(Unauthenticated("no such key in the workspace", place=caller.workspace))


def _holds_key(tree: SettingsTree, caller: CallerIdentity) -> bool:
    branch = tree.workspace(caller.workspace)
    digests = (branch.settings.key_digests or "").split() if branch and branch.settings else []
    return has_digest(caller.digest, digests)


def _check_age(
    store: KeyView, tree: SettingsTree, caller: CallerIdentity
) -> Result[None, QuetzalrudderError]:
    if tree.revision == 0:
        return _too_old(caller, "no settings were received yet")
    bound_ms = tree.effective(caller.workspace).key_view_max_age_ms
    if bound_ms and store.age_ms > bound_ms:
        reason = f"keys were last checked {store.age_ms:.0f} ms ago, at most {bound_ms} ms"
        return _too_old(caller, reason)
    return Ok(None)


def _too_old(caller: CallerIdentity, reason: str) -> Result[None, QuetzalrudderError]:
    return Err(SettingsTooOld(reason, place=caller.workspace, retry_after_ms=RETRY_AFTER_MS))


class KeyGuard:
    """Checks one connection's key again and again, comparing once for each revision.

    Parameters
    ----------
    store : KeyView
        The settings in force.
    workspace : WorkspaceId
        The workspace that the caller named.
    key : str
        Its key; empty for none.
    """

    def __init__(self, store: KeyView, workspace: WorkspaceId, key: str) -> None:
        self.caller = CallerIdentity(workspace, key, self.check)
        self._store = store
        self._checked: SettingsTree | None = None
        self._valid = False

    @property
    def withdrawn(self) -> bool:
        """True once the revision in force does not hold the key."""
        if not self.caller.key:
            return False
        tree = self._store.tree
        if tree is not self._checked:
            self._valid = _holds_key(tree, self.caller)
            self._checked = tree
        return not self._valid

    def check(self) -> Result[None, QuetzalrudderError]:
        """Check that the key still works; ``KeyWithdrawn`` or ``SettingsTooOld`` if not."""
        if not self.caller.key:
            return Ok(None)
        if self.withdrawn:
            return Err(key_withdrawn_error(self.caller))
        return _check_age(self._store, self._store.tree, self.caller)


def key_withdrawn_error(caller: CallerIdentity, ending: Ending = Ending.NOT_RUN) -> KeyWithdrawn:
    """Make the failure that ends the connection of a caller whose key was withdrawn."""
    return KeyWithdrawn("the key was withdrawn", place=caller.workspace, ending=ending)


def withhold_answer(
    caller: CallerIdentity, frame: CallerFrame, result: Result[Answer, QuetzalrudderError]
) -> Result[Answer, QuetzalrudderError]:
    """Replace the answer of a caller whose key was withdrawn while the request ran.

    The failure still says whether the request took effect.
    """
    match result:
        case Ok():
            ending = Ending.DONE if has_effect(frame) else Ending.NOT_RUN
        case Err(exc):
            ending = exc.ending
    return Err(key_withdrawn_error(caller, ending))


def has_effect(frame: CallerFrame) -> bool:
    """Tell whether a request that succeeds has changed data by itself."""
    if frame.statement is not None:
        return frame.statement.access is Access.WRITE and not frame.statement.transaction_id
    return frame.commit is not None


def contains_key(caller: CallerIdentity, text: str | bytes) -> bool:
    """Tell whether a text contains the caller's key, plain, in hexadecimal or in base64.

    Examples
    --------
    >>> contains_key(CallerIdentity("steppe/almaty", "qrk_secret"), "SELECT 'qrk_secret'")
    True
    """
    if isinstance(text, bytes):
        text = text.decode("latin-1")
    return any(form in text for form in caller.key_encodings)


def check_frame(
    tree: SettingsTree, caller: CallerIdentity, frame: CallerFrame
) -> Result[None, QuetzalrudderError]:
    """Check that nothing of a request that reaches a target holds a key in use."""
    for text in _texts_for_target(frame):
        if contains_key(caller, text):
            return Err(KeyInStatement("the request contains the caller's key"))
        if _contains_known_key(tree, text):
            return Err(KeyInStatement("the request contains a workspace's key"))
    return Ok(None)


def _texts_for_target(frame: CallerFrame) -> Iterator[str | bytes]:
    yield frame.request_id
    match frame:
        case CallerFrame(ask_outcome=AskOutcome() as ask):
            yield ask.request_id
        case CallerFrame(statement=Statement() as stmt):
            yield stmt.sql
            yield from (param.text for param in stmt.params if param.text is not None)
            yield from (param.blob for param in stmt.params if param.blob is not None)


def _contains_known_key(tree: SettingsTree, text: str | bytes) -> bool:
    if isinstance(text, bytes):
        text = text.decode("latin-1")
    if KEY_PREFIX not in text:
        return False
    found = {digest_key(key) for key in KEY_PATTERN.findall(text)}
    return any(
        not found.isdisjoint((branch.settings.key_digests or "").split())
        for branch in tree.tree.branches
        if branch.settings
    )
