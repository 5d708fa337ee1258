"""The exchange between instances over gRPC."""

import asyncio
from collections.abc import Awaitable, Callable
from concurrent.futures import Executor
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
    GatewayPeersBase,
    GatewayPeersStub,
    PeerReply,
    PeerReport,
    TokenReply,
    TokenRequest,
)
from quetzalrudder.utils import Address, parse_address

__all__ = ["GrpcPeerCaller", "PeerAnswers", "serve_peers"]

# Beyond a call's own time-out, for the hop between threads.
HOP_S = 0.5


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

    def _run(
        self, address: str, send: Callable[[GatewayPeersStub], Awaitable[Any]], timeout_s: float
    ) -> Result[Any, QuetzalrudderError]:
        call = self._call(address, send, timeout_s)
        try:
            return Ok(self._loop.run(call, timeout_s=timeout_s + HOP_S))
        except (TimeoutError, FutureTimeoutError, asyncio.CancelledError):
            return Err(LinkLost(f"no answer within {timeout_s} s", place=address))
        except (OSError, GRPCError, StreamTerminatedError) as exc:
            return Err(TargetUnavailable(f"cannot be asked: {exc!r}", place=address))

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
            if self._channels.get(address) is channel:
                del self._channels[address]
            channel.close()
            raise


class PeerAnswers(Protocol):
    """What an instance answers to its peers."""

    def answer_report(self, report: PeerReport) -> PeerReply:
        """Answer a report."""

    def answer_token(self, req: TokenRequest) -> TokenReply:
        """Answer a request for a token."""


class _PeerService(GatewayPeersBase):
    def __init__(self, answers: PeerAnswers, executor: Executor) -> None:
        self._answers = answers
        self._executor = executor

    async def exchange(self, message: PeerReport) -> PeerReply:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._answers.answer_report, message)

    async def take_token(self, message: TokenRequest) -> TokenReply:
        # It takes microseconds and waits for nothing.
        return self._answers.answer_token(message)


def serve_peers(
    loop: Loop,
    address: Address,
    answers: PeerAnswers,
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
