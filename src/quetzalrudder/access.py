"""Authentication of callers, their access to routes, and protection of their keys.

A key is only compared with digests; it is never sent to a target.
"""

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
from quetzalrudder.keys import KEY_PATTERN, KEY_PREFIX, digest_key, is_known_digest
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
# Number of bytes that base64 encodes together.
BASE64_GROUP_BYTES = 3

KeyCheck = Callable[[], Result[None, QuetzalrudderError]]


class KeyView(Protocol):
    """An instance's view of the keys, and the age of that view."""

    @property
    def tree(self) -> SettingsTree:
        """The settings in force."""

    @property
    def age_ms(self) -> float:
        """Milliseconds since the settings in force were confirmed to be the newest."""


def _always_valid() -> Result[None, QuetzalrudderError]:
    return Ok(None)


@dataclass(frozen=True)
class CallerIdentity:
    """Workspace and key of a caller; the key stays in the instance.

    Without a key the caller is anonymous, whatever workspace it names.

    Examples
    --------
    >>> CallerIdentity("steppe/almaty", "")
    CallerIdentity(workspace='')
    >>> CallerIdentity("steppe/almaty", "qrk_secret")
    CallerIdentity(workspace='steppe/almaty')
    """

    workspace: WorkspaceId
    key: str = field(repr=False)
    # Checks the key again; called before work that starts some time after the request arrived.
    recheck: KeyCheck = field(default=_always_valid, repr=False, compare=False)

    def __post_init__(self) -> None:
        if not self.key:
            object.__setattr__(self, "workspace", ANONYMOUS)

    @cached_property
    def digest(self) -> str:
        """Digest of the key, in the form in which the settings store it."""
        return digest_key(self.key)

    @cached_property
    def key_encodings(self) -> tuple[str, ...]:
        """Encodings of the key that must not reach a target."""
        return tuple(_encodings(self.key)) if self.key else ()


def _encodings(key: str) -> Iterator[str]:
    raw = key.encode()
    yield key
    yield raw.hex()
    yield raw.hex().upper()
    for encode in (base64.b64encode, base64.urlsafe_b64encode):
        for shift in range(BASE64_GROUP_BYTES):
            yield _invariant_base64(encode, raw, shift)


def _invariant_base64(encode: Callable[[bytes], bytes], raw: bytes, shift: int) -> str:
    """Return the part of an encoding that does not depend on the bytes around the key."""
    skipped = -shift % BASE64_GROUP_BYTES
    length = (len(raw) - skipped) // BASE64_GROUP_BYTES * BASE64_GROUP_BYTES
    return encode(raw[skipped : skipped + length]).decode()


def may_use(workspace: WorkspaceId, route: RouteName) -> bool:
    """Return whether a workspace is under the same branch as a route.

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
    """Check a caller's access to a route, given the route's effective settings."""
    if settings.open or may_use(caller.workspace, route):
        return Ok(None)
    if caller.workspace == ANONYMOUS:
        return Err(AccessDenied("the route requires a key", place=route))
    return Err(AccessDenied("the workspace has no access to the route", place=route))


def authenticate(store: KeyView, caller: CallerIdentity) -> Result[None, QuetzalrudderError]:
    """Check a caller's key against the settings in force.

    A caller without a key passes; it can use only open routes.

    Returns
    -------
    Result[None, QuetzalrudderError]
        ``Ok`` if the key is valid; ``Unauthenticated`` if the workspace has no such key.
        ``SettingsTooOld`` in either case if this instance has no settings yet, or if its
        view of the keys is older than the workspace's ``key_view_max_age_ms``.
    """
    if not caller.key:
        return Ok(None)
    tree = store.tree
    age_check = _check_age(store, tree, caller)
    if _is_key_valid(tree, caller):
        return age_check
    if isinstance(age_check, Err):
        return age_check
    return Err(Unauthenticated("the workspace has no such key", place=caller.workspace))


def _is_key_valid(tree: SettingsTree, caller: CallerIdentity) -> bool:
    branch = tree.workspace(caller.workspace)
    digests = (branch.settings.key_digests or "").split() if branch and branch.settings else []
    return is_known_digest(caller.digest, digests)


def _check_age(
    store: KeyView, tree: SettingsTree, caller: CallerIdentity
) -> Result[None, QuetzalrudderError]:
    if tree.revision == 0:
        return _settings_too_old(caller, "the instance has not received settings yet")
    max_age_ms = tree.effective(caller.workspace).key_view_max_age_ms
    if max_age_ms and store.age_ms > max_age_ms:
        reason = f"keys were confirmed {store.age_ms:.0f} ms ago, the limit is {max_age_ms} ms"
        return _settings_too_old(caller, reason)
    return Ok(None)


def _settings_too_old(caller: CallerIdentity, reason: str) -> Result[None, QuetzalrudderError]:
    return Err(SettingsTooOld(reason, place=caller.workspace, retry_after_ms=RETRY_AFTER_MS))


class KeyGuard:
    """Checks the key of one connection repeatedly, comparing it once for each revision.

    Parameters
    ----------
    store : KeyView
        The instance's view of the keys.
    workspace : WorkspaceId
        Workspace that the caller named.
    key : str
        Key of the workspace; empty for none.
    """

    def __init__(self, store: KeyView, workspace: WorkspaceId, key: str) -> None:
        self.caller = CallerIdentity(workspace, key, self.check)
        self._store = store
        self._checked_tree: SettingsTree | None = None
        self._valid = False

    @property
    def withdrawn(self) -> bool:
        """True once the settings in force do not contain the key."""
        if not self.caller.key:
            return False
        tree = self._store.tree
        if tree is not self._checked_tree:
            self._valid = _is_key_valid(tree, self.caller)
            self._checked_tree = tree
        return not self._valid

    def check(self) -> Result[None, QuetzalrudderError]:
        """Check the key again; the error is ``KeyWithdrawn`` or ``SettingsTooOld``."""
        if not self.caller.key:
            return Ok(None)
        if self.withdrawn:
            return Err(key_withdrawn_error(self.caller))
        return _check_age(self._store, self._store.tree, self.caller)


def key_withdrawn_error(caller: CallerIdentity, ending: Ending = Ending.NOT_RUN) -> KeyWithdrawn:
    """Return the failure that ends the connection of a caller whose key was withdrawn."""
    return KeyWithdrawn("the workspace's key was withdrawn", place=caller.workspace, ending=ending)


def withhold_answer(
    caller: CallerIdentity, frame: CallerFrame, result: Result[Answer, QuetzalrudderError]
) -> Result[Answer, QuetzalrudderError]:
    """Replace the answer of a caller whose key was withdrawn while the request ran.

    The ending of the failure still states whether the request took effect.
    """
    match result:
        case Ok():
            ending = Ending.DONE if has_effect(frame) else Ending.NOT_RUN
        case Err(exc):
            ending = exc.ending
    return Err(key_withdrawn_error(caller, ending))


def has_effect(frame: CallerFrame) -> bool:
    """Return whether a request changes data when it succeeds, without a later commit."""
    if frame.statement is not None:
        return frame.statement.access is Access.WRITE and not frame.statement.transaction_id
    return frame.commit is not None


def contains_key(caller: CallerIdentity, text: str | bytes) -> bool:
    """Return whether a text contains the caller's key in plain, hexadecimal or base64 form.

    Examples
    --------
    >>> contains_key(CallerIdentity("steppe/almaty", "qrk_secret"), "SELECT 'qrk_secret'")
    True
    """
    if isinstance(text, bytes):
        text = text.decode("latin-1")
    return any(encoding in text for encoding in caller.key_encodings)


def check_frame(
    tree: SettingsTree, caller: CallerIdentity, frame: CallerFrame
) -> Result[None, QuetzalrudderError]:
    """Return ``KeyInStatement`` if a part that would reach a target contains a key in use."""
    for text in _texts_for_target(frame):
        if contains_key(caller, text):
            return Err(KeyInStatement("the request contains the caller's key"))
        if _contains_valid_key(tree, text):
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


def _contains_valid_key(tree: SettingsTree, text: str | bytes) -> bool:
    if isinstance(text, bytes):
        text = text.decode("latin-1")
    if KEY_PREFIX not in text:
        return False
    digests = {digest_key(key) for key in KEY_PATTERN.findall(text)}
    return any(
        not digests.isdisjoint((branch.settings.key_digests or "").split())
        for branch in tree.tree.branches
        if branch.settings
    )
