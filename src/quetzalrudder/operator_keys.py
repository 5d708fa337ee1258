"""The operators' key: sent with each call of the tool, checked before the call is read."""

import os
from collections.abc import Awaitable, Callable
from pathlib import Path

from grpclib import GRPCError, Status
from grpclib._typing import IServable
from grpclib.const import Handler
from grpclib.server import Stream

from quetzalrudder.exceptions import InvalidSettings, QuetzalrudderError
from quetzalrudder.keys import DIGEST_PATTERN, digest_key, is_known_digest

__all__ = [
    "KEY_FILE_VARIABLE",
    "KEY_HEADER",
    "KEY_VARIABLE",
    "AuthenticatedService",
    "check_digests",
    "read_operator_key",
]

KEY_HEADER = "operator-key"
KEY_VARIABLE = "QUETZALRUDDER_OPERATOR_KEY"
KEY_FILE_VARIABLE = "QUETZALRUDDER_OPERATOR_KEY_FILE"
UNAUTHENTICATED_MESSAGE = "the operator key is missing or wrong"

ServerCall = Callable[[Stream], Awaitable[None]]


class AuthenticatedService:
    """A service that refuses every call without a known operator key, unread.

    Parameters
    ----------
    service : IServable
        The service to guard.
    digests : list of str
        SHA-256 digests of the keys; without any, every call is refused.
    """

    def __init__(self, service: IServable, digests: list[str]) -> None:
        self._service = service
        self._digests = digests

    def __mapping__(self) -> dict[str, Handler]:
        """Give the guarded handlers."""
        handlers = self._service.__mapping__()
        return {path: h._replace(func=self._guarded(h.func)) for path, h in handlers.items()}

    def _guarded(self, call: ServerCall) -> ServerCall:
        async def handle(stream: Stream) -> None:
            key = str((stream.metadata or {}).get(KEY_HEADER, ""))
            if not is_known_digest(digest_key(key), self._digests):
                raise GRPCError(Status.UNAUTHENTICATED, UNAUTHENTICATED_MESSAGE)
            await call(stream)

        return handle


def check_digests(text: str, place: str) -> list[QuetzalrudderError]:
    """Find what is wrong with a setting that holds digests of keys.

    Examples
    --------
    >>> [str(error) for error in check_digests("qrk_a-key-itself", "[daemon]")]
    ['[daemon]: holds something other than SHA-256 digests in hexadecimal']
    """
    if all(DIGEST_PATTERN.fullmatch(digest) for digest in text.split()):
        return []
    reason = "holds something other than SHA-256 digests in hexadecimal"
    return [InvalidSettings(reason, place=place)]


def read_operator_key(file: str = "") -> str:
    """Read the operator key from a file, or from the environment.

    Parameters
    ----------
    file : str
        Path of a file that holds the key; by default the one that
        ``QUETZALRUDDER_OPERATOR_KEY_FILE`` names, else the key is taken from
        ``QUETZALRUDDER_OPERATOR_KEY``.

    Raises
    ------
    InvalidSettings
        The file cannot be read.
    """
    file = file or os.environ.get(KEY_FILE_VARIABLE, "")
    if not file:
        return os.environ.get(KEY_VARIABLE, "")
    try:
        return Path(file).read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as exc:
        reason = f"cannot be read: {type(exc).__name__}"
        raise InvalidSettings(reason, place=file) from exc
