"""The exchange between instances over gRPC."""

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
    TokenReply,
    TokenRequest,
)
from quetzalrudder.utils import Address, parse_address

__all__ = ["GrpcPeerCaller", "PeerRequestHandler", "serve_peers"]

log = logging.getLogger(__name__)

# Beyond a call's own time-out, for the hop between threads.
HOP_S = 0.5
# A connection that failed is closed after the longest call on it.
CLOSE_AFTER_S = 15.0
# For giving a connection back; nobody waits for it.
END_TIMEOUT_S = 1.0


class GrpcPeerCaller:
    """Calls peers, on one connection to each that is given up after a failure.

    Parameters
    ----------
    loop : Loop
        The loop that owns the sockets.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        # Touched on the loop only.
        self._channels: dict[str, Channel] = {}

    def exchange(
        self, address: str, report: PeerReport, timeout_s: float
    ) -> Result[PeerReply, QuetzalrudderError]:
        """Send a report and give the answer."""
        return self._run(address, lambda stub: stub.exchange(report), timeout_s)

    def take_token(
        self, address: str, req: TokenRequest, timeout_s: float
    ) -> Result[TokenReply, QuetzalrudderError]:
        """Ask for a token and give the answer."""
        return self._run(address, lambda stub: stub.take_token(req), timeout_s)

    def tell_position(
        self, address: str, req: PositionRequest, timeout_s: float
    ) -> Result[PositionReply, QuetzalrudderError]:
        """Ask for a primary's position and give the answer."""
        return self._run(address, lambda stub: stub.tell_position(req), timeout_s)

    def run(
        self, address: str, req: RunRequest, timeout_s: float
    ) -> Result[RunReply, QuetzalrudderError]:
        """Have a statement run on a borrowed connection and give the answer."""
        return self._run(address, lambda stub: stub.run(req), timeout_s)

    def end(self, address: str, req: EndRequest) -> None:
        """Give a connection back, without waiting for an answer.

        A holder that does not hear of it takes the connection back by itself.
        """
        fut = self._loop.start(self._call(address, lambda stub: stub.end(req), END_TIMEOUT_S))
        fut.add_done_callback(lambda done: _note_end(address, done))

    def _run(
        self, address: str, send: Callable[[GatewayPeersStub], Awaitable[Any]], timeout_s: float
    ) -> Result[Any, QuetzalrudderError]:
        call = self._call(address, send, timeout_s)
        try:
            return Ok(self._loop.run(call, timeout_s=timeout_s + HOP_S))
        except (TimeoutError, FutureTimeoutError, asyncio.CancelledError):
            return Err(LinkLost(f"no answer within {timeout_s} s", place=address))
        except OSError as exc:
            return Err(TargetUnavailable(f"no connection: {exc!r}", place=address))
        except (GRPCError, StreamTerminatedError) as exc:
            return Err(LinkLost(f"broke off: {exc!r}", place=address))
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
            # Other calls may still be answered on it; the next one opens another.
            if self._channels.get(address) is channel:
                del self._channels[address]
            asyncio.get_running_loop().call_later(CLOSE_AFTER_S, channel.close)
            raise


def _note_end(address: str, done: Future) -> None:
    exc = None if done.cancelled() else done.exception()
    if exc is not None:
        log.warning("a connection was not given back", extra={"peer": address, "reason": repr(exc)})


class PeerRequestHandler(Protocol):
    """What an instance answers to its peers."""

    def answer_report(self, report: PeerReport) -> PeerReply:
        """Answer a report."""

    def answer_token(self, req: TokenRequest) -> TokenReply:
        """Answer a request for a token."""

    def answer_position(self, req: PositionRequest) -> PositionReply:
        """Answer a question for a position; it may ask a database."""

    def run_lent_statement(self, req: RunRequest) -> RunReply:
        """Run a statement on a lent connection."""

    def return_lent_connection(self, req: EndRequest) -> None:
        """Take a connection back."""


class _PeerService(GatewayPeersBase):
    def __init__(self, answers: PeerRequestHandler, executor: Executor) -> None:
        self._answers = answers
        self._executor = executor

    async def exchange(self, message: PeerReport) -> PeerReply:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._answers.answer_report, message)

    async def take_token(self, message: TokenRequest) -> TokenReply:
        # It takes microseconds and waits for nothing.
        return self._answers.answer_token(message)

    async def tell_position(self, message: PositionRequest) -> PositionReply:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._answers.answer_position, message)

    async def run(self, message: RunRequest) -> RunReply:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._answers.run_lent_statement, message)

    async def end(self, message: EndRequest) -> EndReply:
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._executor, self._answers.return_lent_connection, message)
        return EndReply()


def serve_peers(
    loop: Loop,
    address: Address,
    answers: PeerRequestHandler,
    executor: Executor,
    stack: ExitStack,
) -> None:
    """Answer peers until the stack is closed.

    Raises
    ------
    BindFailed
        The address cannot be listened on.
    """
    stack.enter_context(Listener(loop, address, [_PeerService(answers, executor)]))
