"""Operator keys: sent with each operator call and checked before its request is read."""

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
    """Wraps a service and rejects calls without a known operator key before reading them.

    Parameters
    ----------
    service : IServable
        The service to protect.
    digests : list of str
        SHA-256 digests of the accepted keys; if empty, every call is rejected.
    """

    def __init__(self, service: IServable, digests: list[str]) -> None:
        self._service = service
        self._digests = digests

    def __mapping__(self) -> dict[str, Handler]:
        """Return the service's handlers with the key check added."""
        handlers = self._service.__mapping__()
        return {path: h._replace(func=self._require_key(h.func)) for path, h in handlers.items()}

    def _require_key(self, call: ServerCall) -> ServerCall:
        async def handle(stream: Stream) -> None:
            key = str((stream.metadata or {}).get(KEY_HEADER, ""))
            if not is_known_digest(digest_key(key), self._digests):
                raise GRPCError(Status.UNAUTHENTICATED, UNAUTHENTICATED_MESSAGE)
            await call(stream)

        return handle


def check_digests(text: str, place: str) -> list[QuetzalrudderError]:
    """Return the errors of a setting that holds digests of keys.

    Examples
    --------
    >>> [str(error) for error in check_digests("qrk_a-key-itself", "[daemon]")]
    ['[daemon]: expected SHA-256 digests in hexadecimal']
    """
    if all(DIGEST_PATTERN.fullmatch(digest) for digest in text.split()):
        return []
    reason = "expected SHA-256 digests in hexadecimal"
    return [InvalidSettings(reason, place=place)]


def read_operator_key(file: str = "") -> str:
    """Read the operator key from a file, or from the environment.

    Parameters
    ----------
    file : str
        Path of a file that holds the key. Defaults to the file that
        ``QUETZALRUDDER_OPERATOR_KEY_FILE`` names; if that is not set, the key is read
        from ``QUETZALRUDDER_OPERATOR_KEY``.

    Returns
    -------
    str
        The key; empty if none of these is set.

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
        reason = f"cannot read the operator key file: {type(exc).__name__}"
        raise InvalidSettings(reason, place=file) from exc
