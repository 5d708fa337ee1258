"""The exchange between instances over gRPC."""

import asyncio
from collections.abc import Callable
from concurrent.futures import Executor
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import ExitStack

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
)
from quetzalrudder.utils import Address, parse_address

__all__ = ["GrpcPeerCaller", "serve_peers"]

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
        call = self._exchange(address, report, timeout_s)
        try:
            return Ok(self._loop.run(call, timeout_s=timeout_s + HOP_S))
        except (TimeoutError, FutureTimeoutError, asyncio.CancelledError):
            return Err(LinkLost(f"no answer within {timeout_s} s", place=address))
        except (OSError, GRPCError, StreamTerminatedError) as exc:
            return Err(TargetUnavailable(f"cannot be asked: {exc!r}", place=address))

    async def _exchange(self, address: str, report: PeerReport, timeout_s: float) -> PeerReply:
        channel = self._channels.get(address)
        if channel is None:
            parsed = parse_address(address)
            channel = Channel(parsed.host, parsed.port, codec=CheckedCodec())
            self._channels[address] = channel
        try:
            return await asyncio.wait_for(GatewayPeersStub(channel).exchange(report), timeout_s)
        except BaseException:
            if self._channels.get(address) is channel:
                del self._channels[address]
            channel.close()
            raise


class _PeerService(GatewayPeersBase):
    def __init__(self, answer: Callable[[PeerReport], PeerReply], executor: Executor) -> None:
        self._answer = answer
        self._executor = executor

    async def exchange(self, message: PeerReport) -> PeerReply:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, self._answer, message)


def serve_peers(
    loop: Loop,
    address: Address,
    answer: Callable[[PeerReport], PeerReply],
    executor: Executor,
    stack: ExitStack,
) -> None:
    """Answer peers until the stack is closed.

    Raises
    ------
    BindFailed
        The address cannot be listened on.
    """
    stack.enter_context(Listener(loop, address, [_PeerService(answer, executor)]))
