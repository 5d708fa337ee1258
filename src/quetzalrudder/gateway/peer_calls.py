"""gRPC calls between instances."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor, Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import ExitStack
from typing import Any, Protocol

from grpclib import GRPCError
from grpclib.client import Channel
from grpclib.exceptions import StreamTerminatedError
from result import Err, Ok, Result

from quetzalrudder.bridge import Listener, Loop
from quetzalrudder.codec import CheckedCodec
from quetzalrudder.exceptions import LinkLost, QuetzalrudderError, TargetUnavailable
from quetzalrudder.schema.gateway import (
    EndReply,
    EndRequest,
    GatewayPeersBase,
    GatewayPeersStub,
    PeerReply,
    PeerReport,
    PositionReply,
    PositionRequest,
    RunReply,
    RunRequest,
    TakeOverReply,
    TakeOverRequest,
    TokenReply,
    TokenRequest,
)
from quetzalrudder.utils import Address, parse_address

__all__ = ["GrpcPeerCaller", "PeerRequestHandler", "serve_peers"]

log = logging.getLogger(__name__)

# Added to a call's time-out when waiting for its result from the loop's thread.
LOOP_HANDOFF_S = 0.5
# Delay before a failed connection is closed; longer than any call that may still use it.
CHANNEL_CLOSE_DELAY_S = 15.0
# Time-out for returning a lent connection, which nothing waits for.
RETURN_TIMEOUT_S = 1.0


class GrpcPeerCaller:
    """Calls peers, on one connection per peer that is replaced after a failure.

    Parameters
    ----------
    loop : Loop
        Event loop that owns the sockets.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        # Accessed only on the event loop.
        self._channels: dict[str, Channel] = {}

    def exchange(
        self, address: str, report: PeerReport, timeout_s: float
    ) -> Result[PeerReply, QuetzalrudderError]:
        """Send a report and return the reply."""
        return self._run(address, lambda stub: stub.exchange(report), timeout_s)

    def take_token(
        self, address: str, req: TokenRequest, timeout_s: float
    ) -> Result[TokenReply, QuetzalrudderError]:
        """Request a rate token and return the reply."""
        return self._run(address, lambda stub: stub.take_token(req), timeout_s)

    def take_over_rates(
        self, address: str, req: TakeOverRequest, timeout_s: float
    ) -> Result[TakeOverReply, QuetzalrudderError]:
        """Ask a peer to hand out no more tokens of some workspaces and return the reply."""
        return self._run(address, lambda stub: stub.take_over_rates(req), timeout_s)

    def tell_position(
        self, address: str, req: PositionRequest, timeout_s: float
    ) -> Result[PositionReply, QuetzalrudderError]:
        """Request a primary's log position and return the reply."""
        return self._run(address, lambda stub: stub.tell_position(req), timeout_s)

    def run(
        self, address: str, req: RunRequest, timeout_s: float
    ) -> Result[RunReply, QuetzalrudderError]:
        """Run a statement on a borrowed connection and return the reply."""
        return self._run(address, lambda stub: stub.run(req), timeout_s)

    def end(self, address: str, req: EndRequest) -> None:
        """Return a borrowed connection, without waiting for a reply.

        If the call is lost, the connection owner reclaims the connection by itself.
        """
        fut = self._loop.start(self._call(address, lambda stub: stub.end(req), RETURN_TIMEOUT_S))
        fut.add_done_callback(lambda completed: _log_return_failure(address, completed))

    def _run(
        self, address: str, send: Callable[[GatewayPeersStub], Awaitable[Any]], timeout_s: float
    ) -> Result[Any, QuetzalrudderError]:
        call = self._call(address, send, timeout_s)
        try:
            return Ok(self._loop.run(call, timeout_s=timeout_s + LOOP_HANDOFF_S))
        except (TimeoutError, FutureTimeoutError, asyncio.CancelledError):
            return Err(LinkLost(f"no answer from the peer within {timeout_s} s", place=address))
        except OSError as exc:
            return Err(TargetUnavailable(f"cannot connect to the peer: {exc!r}", place=address))
        except (GRPCError, StreamTerminatedError) as exc:
            return Err(LinkLost(f"the call to the peer failed: {exc!r}", place=address))
        except QuetzalrudderError as exc:
            return Err(exc)

    async def _call(
        self, address: str, send: Callable[[GatewayPeersStub], Awaitable[Any]], timeout_s: float
    ) -> Any:
        channel = self._channels.get(address)
        if channel is None:
            parsed = parse_address(address)
            channel = Channel(parsed.host, parsed.port, codec=CheckedCodec())
            self._channels[address] = channel
        try:
            return await asyncio.wait_for(send(GatewayPeersStub(channel)), timeout_s)
        except BaseException:
            # Other calls may still be answered on this connection; the next call opens
            # another one.
            if self._channels.get(address) is channel:
                del self._channels[address]
            asyncio.get_running_loop().call_later(CHANNEL_CLOSE_DELAY_S, channel.close)
            raise


def _log_return_failure(address: str, fut: Future) -> None:
    exc = None if fut.cancelled() else fut.exception()
    if exc is not None:
        log.warning(
            "borrowed connection not returned", extra={"peer": address, "reason": repr(exc)}
        )


class PeerRequestHandler(Protocol):
    """Handles the requests of peers."""

    def answer_report(self, report: PeerReport) -> PeerReply:
        """Answer a peer's report."""

    def answer_token(self, req: TokenRequest) -> TokenReply:
        """Answer a request for a rate token."""

    def answer_take_over(self, req: TakeOverRequest) -> TakeOverReply:
        """Hand out no more tokens of some workspaces."""

    def answer_position(self, req: PositionRequest) -> PositionReply:
        """Answer a request for a position; this may query a database."""

    def run_lent_statement(self, req: RunRequest) -> RunReply:
        """Run a statement on a lent connection."""

    def return_lent_connection(self, req: EndRequest) -> None:
        """Take back a lent connection."""


class _PeerService(GatewayPeersBase):
    def __init__(self, handler: PeerRequestHandler, executor: Executor) -> None:
        self._handler = handler
        self._executor = executor

    async def exchange(self, message: PeerReport) -> PeerReply:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._handler.answer_report, message)

    async def take_token(self, message: TokenRequest) -> TokenReply:
        # Runs on the event loop, as it takes microseconds and never blocks.
        return self._handler.answer_token(message)

    async def take_over_rates(self, message: TakeOverRequest) -> TakeOverReply:
        # Runs on the event loop, as it takes microseconds and never blocks.
        return self._handler.answer_take_over(message)

    async def tell_position(self, message: PositionRequest) -> PositionReply:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._handler.answer_position, message)

    async def run(self, message: RunRequest) -> RunReply:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._handler.run_lent_statement, message)

    async def end(self, message: EndRequest) -> EndReply:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, self._handler.return_lent_connection, message)
        return EndReply()


def serve_peers(
    loop: Loop,
    address: Address,
    handler: PeerRequestHandler,
    executor: Executor,
    stack: ExitStack,
) -> None:
    """Serve peers until the stack is closed.

    Raises
    ------
    BindFailed
        The process cannot listen on the address.
    """
    stack.enter_context(Listener(loop, address, [_PeerService(handler, executor)]))
