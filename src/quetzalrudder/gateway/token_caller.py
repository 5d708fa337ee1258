"""What the owners of rates and those that need tokens send to each other."""

from collections.abc import Generator
from typing import Protocol

from result import Result

from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.schema.gateway import (
    TakeOverReply,
    TakeOverRequest,
    TokenReply,
    TokenRequest,
)

__all__ = ["TOKEN_TIMEOUT_S", "TokenCaller"]

# Many times the duration of a call within a region.
TOKEN_TIMEOUT_S = 0.3


class TokenCaller(Protocol):
    """Requests tokens from other instances."""

    def take_token(
        self, address: str, req: TokenRequest, timeout_s: float
    ) -> Result[TokenReply, QuetzalrudderError]:
        """Send a request and return the answer."""

    def take_over_rates(
        self, address: str, req: TakeOverRequest, timeout_s: float
    ) -> Result[TakeOverReply, QuetzalrudderError]:
        """Ask an instance to hand out no more tokens of some workspaces."""

    def take_over_all(
        self, requests: list[tuple[str, TakeOverRequest]], timeout_s: float
    ) -> Generator[tuple[int, Result[TakeOverReply, QuetzalrudderError]], None, None]:
        """Ask several instances at the same time; yield the index and the answer of each."""
