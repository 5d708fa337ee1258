"""Calls to other instances, and what happens to those that fail or time out."""

import asyncio
import logging
import queue
import threading
import time
from collections.abc import Callable, Generator
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

import betterproto2
from result import Err, Ok, Result

from quetzalrudder import processor_time
from quetzalrudder.bridge import Loop
from quetzalrudder.exceptions import LinkLost, QuetzalrudderError, TargetUnavailable
from quetzalrudder.gateway.peer_frames import FrameRequests
from quetzalrudder.schema.gateway import (
    ChangesReply,
    ChangesRequest,
    EndRequest,
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
from quetzalrudder.schema.gateway_service import GatewayPeersStub, PeerAnswer, PeerCall
from quetzalrudder.streams import MatchedRequests, RequestStream
from quetzalrudder.utils import parse_address

__all__ = ["NetworkPeerCaller"]

log = logging.getLogger(__name__)

# Delay before a stream on which a call timed out is closed; longer than any call that may
# still be answered on it.
STREAM_CLOSE_DELAY_S = 15.0
# Time for which a peer that speaks only gRPC is not tried with another protocol.
GRPC_ONLY_S = 10.0

R = TypeVar("R", bound=MatchedRequests[PeerCall, PeerAnswer])


@dataclass(frozen=True)
class _OpenCall:
    """One of several calls made at the same time, while it is not answered."""

    index: int
    address: str
    stream: MatchedRequests[PeerCall, PeerAnswer]


class _PeerStreams(Generic[R]):
    """Streams to peers, one for each address, replaced after a failure.

    Parameters
    ----------
    loop : Loop
        Event loop that owns the sockets.
    open_stream : Callable
        Opens a stream to an address.
    """

    def __init__(self, loop: Loop, open_stream: Callable[[str], R]) -> None:
        self._loop = loop
        self._open_stream = open_stream
        self._lock = threading.Lock()
        self.by_address: dict[str, R] = {}
        # When a stream was started or a call was answered on it last, by address.
        self._active_at: dict[str, float] = {}

    def start(self, address: str, call: PeerCall) -> tuple[R, Result[Future, QuetzalrudderError]]:
        """Send a call on the peer's stream, or on a new one if that has ended."""
        with self._lock:
            stream = self.by_address.get(address)
            if stream is None or stream.ended:
                stream = self._open_stream(address)
                self.by_address[address] = stream
                self._active_at[address] = time.monotonic()
        try:
            return stream, Ok(stream.start(call))
        except TargetUnavailable as exc:
            return stream, Err(exc)

    def finish(
        self, address: str, stream: R, fut: Future, timeout_s: float, patience_s: float = 0.0
    ) -> Result[Any, QuetzalrudderError]:
        """Return the result of a call; without an answer by now, the call has timed out."""
        try:
            _, reply = betterproto2.which_one_of(fut.result(0), "reply")
        except FutureTimeoutError:
            stream.discard(fut)
            self.retire_if_silent(address, stream, patience_s)
            return Err(LinkLost(f"no answer from the peer within {timeout_s} s", place=address))
        except QuetzalrudderError as exc:
            self._retire(address, stream)
            if not stream.connected:
                return Err(TargetUnavailable(f"cannot connect to the peer: {exc}", place=address))
            return Err(exc)
        if reply is None:
            return Err(LinkLost("the peer failed to answer the call", place=address))
        self._active_at[address] = time.monotonic()
        return Ok(reply)

    def retire_if_silent(self, address: str, stream: R, patience_s: float) -> None:
        """Replace a stream on which a call timed out, unless it was active recently."""
        if time.monotonic() - self._active_at.get(address, 0.0) >= patience_s:
            self._retire(address, stream)

    def _retire(self, address: str, stream: R) -> None:
        """Open another stream for the next call; calls on this one may still be answered.

        A stream that was not opened in time is closed at once, so that its calls are not sent
        after the callers have given up.
        """
        with self._lock:
            if self.by_address.get(address) is stream:
                del self.by_address[address]
        if stream.connected:
            self._loop.call_soon(_call_later, STREAM_CLOSE_DELAY_S, stream.close)
        else:
            stream.close()


class NetworkPeerCaller:
    """Calls peers over the network.

    The calls that a statement waits for go as length-prefixed messages to peers that understand
    these, all others on gRPC streams.

    Parameters
    ----------
    loop : Loop
        Event loop that owns the sockets.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._grpc = _PeerStreams(
            loop,
            lambda address: RequestStream(
                loop,
                parse_address(address),
                lambda channel, calls: GatewayPeersStub(channel).call(calls),
            ),
        )
        self._frames = _PeerStreams(
            loop, lambda address: FrameRequests(loop, parse_address(address))
        )
        # Until when a peer that does not understand length-prefixed messages gets none.
        self._grpc_only_until: dict[str, float] = {}

    def exchange(
        self, address: str, report: PeerReport, timeout_s: float
    ) -> Result[PeerReply, QuetzalrudderError]:
        """Send a report and return the reply."""
        return self._call(address, PeerCall(report=report), timeout_s)

    def exchange_all(
        self, reports: list[tuple[str, PeerReport]], timeout_s: float, patience_s: float = 0.0
    ) -> Generator[tuple[int, Result[PeerReply, QuetzalrudderError]], None, None]:
        """Send reports to addresses; yield the index and the reply of each as it arrives.

        A stream on which a report times out is kept for ``patience_s`` after its start or its
        latest reply: on busy machines, opening another one would only add to the delay.
        """
        calls = [(address, PeerCall(report=report)) for address, report in reports]
        return self._call_all(calls, timeout_s, patience_s)

    def take_over_all(
        self, requests: list[tuple[str, TakeOverRequest]], timeout_s: float
    ) -> Generator[tuple[int, Result[TakeOverReply, QuetzalrudderError]], None, None]:
        """Ask peers to hand out no more tokens; yield the index and the reply of each."""
        calls = [(address, PeerCall(take_over=req)) for address, req in requests]
        return self._call_all(calls, timeout_s)

    def take_token(
        self, address: str, req: TokenRequest, timeout_s: float
    ) -> Result[TokenReply, QuetzalrudderError]:
        """Request a rate token and return the reply."""
        return self._call_for_statement(address, PeerCall(token=req), timeout_s)

    def take_over_rates(
        self, address: str, req: TakeOverRequest, timeout_s: float
    ) -> Result[TakeOverReply, QuetzalrudderError]:
        """Ask a peer to hand out no more tokens of some workspaces and return the reply."""
        return self._call(address, PeerCall(take_over=req), timeout_s)

    def tell_position(
        self, address: str, req: PositionRequest, timeout_s: float
    ) -> Result[PositionReply, QuetzalrudderError]:
        """Request a primary's log position and return the reply."""
        return self._call_for_statement(address, PeerCall(position=req), timeout_s)

    def wait_for_changes(
        self, address: str, req: ChangesRequest, timeout_s: float
    ) -> Result[ChangesReply, QuetzalrudderError]:
        """Request the changes of the store, and wait for the first if there is none."""
        return self._call(address, PeerCall(changes=req), timeout_s)

    def run(
        self, address: str, req: RunRequest, timeout_s: float
    ) -> Result[RunReply, QuetzalrudderError]:
        """Run a statement on a borrowed connection and return the reply."""
        return self._call_for_statement(address, PeerCall(run=req), timeout_s)

    def end(self, address: str, req: EndRequest) -> None:
        """Return a borrowed connection, without waiting for a reply.

        If the call is lost, the connection owner reclaims the connection by itself.
        """
        streams = self._grpc if self._is_grpc_only(address) else self._frames
        _, started = streams.start(address, PeerCall(end=req))
        if isinstance(started, Ok):
            started.ok_value.add_done_callback(lambda fut: _log_return_failure(address, fut))

    def _is_grpc_only(self, address: str) -> bool:
        return self._grpc_only_until.get(address, 0.0) > time.monotonic()

    def _call_for_statement(
        self, address: str, call: PeerCall, timeout_s: float
    ) -> Result[Any, QuetzalrudderError]:
        """Make a call that a statement waits for."""
        started_at = time.monotonic()
        if not self._is_grpc_only(address):
            stream, result = self._call_on(self._frames, address, call, timeout_s)
            if isinstance(result, Ok) or not stream.refused:
                return result
            # Nothing was sent.
            self._grpc_only_until[address] = time.monotonic() + GRPC_ONLY_S
            log.info("peer speaks gRPC only", extra={"peer": address})
        left_s = timeout_s - (time.monotonic() - started_at)
        return self._call(address, call, max(0.0, left_s))

    def _call(
        self, address: str, call: PeerCall, timeout_s: float
    ) -> Result[Any, QuetzalrudderError]:
        _, result = self._call_on(self._grpc, address, call, timeout_s)
        return result

    def _call_on(
        self, streams: _PeerStreams[R], address: str, call: PeerCall, timeout_s: float
    ) -> tuple[R, Result[Any, QuetzalrudderError]]:
        with processor_time.section("peer call"):
            stream, started = streams.start(address, call)
            if isinstance(started, Err):
                return stream, started
            fut = started.ok_value
            with suppress(FutureTimeoutError, QuetzalrudderError):
                fut.result(timeout_s)
            return stream, streams.finish(address, stream, fut, timeout_s)

    def _call_all(
        self, calls: list[tuple[str, PeerCall]], timeout_s: float, patience_s: float = 0.0
    ) -> Generator[tuple[int, Result[Any, QuetzalrudderError]], None, None]:
        """Make calls at the same time, and wait for the answers in the caller's thread.

        If the caller stops iterating, the calls that are still open are given up when their
        time is over.
        """
        answered: queue.SimpleQueue[Future] = queue.SimpleQueue()
        pending: dict[Future, _OpenCall] = {}
        failed = []
        for index, (address, call) in enumerate(calls):
            stream, started = self._grpc.start(address, call)
            if isinstance(started, Err):
                failed.append((index, started))
                continue
            pending[started.ok_value] = _OpenCall(index, address, stream)
            started.ok_value.add_done_callback(answered.put)
        # Opening many streams takes time of its own.
        deadline = time.monotonic() + timeout_s
        try:
            yield from failed
            while pending:
                try:
                    fut = answered.get(timeout=max(0.0, deadline - time.monotonic()))
                except queue.Empty:
                    break
                opened = pending.pop(fut)
                yield (
                    opened.index,
                    self._grpc.finish(opened.address, opened.stream, fut, timeout_s, patience_s),
                )
            while pending:
                fut, opened = pending.popitem()
                yield (
                    opened.index,
                    self._grpc.finish(opened.address, opened.stream, fut, timeout_s, patience_s),
                )
        finally:
            if pending:
                delay_s = max(0.0, deadline - time.monotonic())
                self._loop.call_soon(
                    _call_later, delay_s, lambda: self._give_up(pending, patience_s)
                )

    def _give_up(self, pending: dict[Future, _OpenCall], patience_s: float) -> None:
        for fut, opened in pending.items():
            if not fut.done():
                opened.stream.discard(fut)
                self._grpc.retire_if_silent(opened.address, opened.stream, patience_s)


def _call_later(delay_s: float, func: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(delay_s, func)


def _log_return_failure(address: str, fut: Future) -> None:
    exc = None if fut.cancelled() else fut.exception()
    if exc is not None:
        log.warning(
            "borrowed connection not returned", extra={"peer": address, "reason": repr(exc)}
        )
