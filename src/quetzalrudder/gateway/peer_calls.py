"""Calls between instances, on one gRPC stream from each instance to each peer that it calls."""

import asyncio
import logging
import queue
import threading
import time
from collections.abc import AsyncIterator, Callable, Generator
from concurrent.futures import Executor, Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from typing import Any, Protocol

import betterproto2
from result import Err, Ok, Result

from quetzalrudder.bridge import END_OF_STREAM, EndOfStream, Listener, Loop
from quetzalrudder.exceptions import LinkLost, QuetzalrudderError, TargetUnavailable
from quetzalrudder.schema.gateway import (
    ChangesReply,
    ChangesRequest,
    EndReply,
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
from quetzalrudder.schema.gateway_service import (
    GatewayPeersBase,
    GatewayPeersStub,
    PeerAnswer,
    PeerCall,
)
from quetzalrudder.streams import RequestStream
from quetzalrudder.utils import MS_PER_S, Address, parse_address

__all__ = ["GrpcPeerCaller", "PeerRequestHandler", "serve_peers"]

log = logging.getLogger(__name__)

# Delay before a stream on which a call timed out is closed; longer than any call that may
# still be answered on it.
STREAM_CLOSE_DELAY_S = 15.0


@dataclass(frozen=True)
class _OpenCall:
    """One of several calls made at the same time, while it is not answered."""

    index: int
    address: str
    stream: RequestStream[PeerCall, PeerAnswer]


class GrpcPeerCaller:
    """Calls peers, on one stream per peer that is replaced after a failure.

    Parameters
    ----------
    loop : Loop
        Event loop that owns the sockets.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._lock = threading.Lock()
        self._streams: dict[str, RequestStream[PeerCall, PeerAnswer]] = {}
        # When a stream was started or a call was answered on it last, by address.
        self._active_at: dict[str, float] = {}

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
        return self._call(address, PeerCall(token=req), timeout_s)

    def take_over_rates(
        self, address: str, req: TakeOverRequest, timeout_s: float
    ) -> Result[TakeOverReply, QuetzalrudderError]:
        """Ask a peer to hand out no more tokens of some workspaces and return the reply."""
        return self._call(address, PeerCall(take_over=req), timeout_s)

    def tell_position(
        self, address: str, req: PositionRequest, timeout_s: float
    ) -> Result[PositionReply, QuetzalrudderError]:
        """Request a primary's log position and return the reply."""
        return self._call(address, PeerCall(position=req), timeout_s)

    def wait_for_changes(
        self, address: str, req: ChangesRequest, timeout_s: float
    ) -> Result[ChangesReply, QuetzalrudderError]:
        """Request the changes of the store, and wait for the first if there is none."""
        return self._call(address, PeerCall(changes=req), timeout_s)

    def run(
        self, address: str, req: RunRequest, timeout_s: float
    ) -> Result[RunReply, QuetzalrudderError]:
        """Run a statement on a borrowed connection and return the reply."""
        return self._call(address, PeerCall(run=req), timeout_s)

    def end(self, address: str, req: EndRequest) -> None:
        """Return a borrowed connection, without waiting for a reply.

        If the call is lost, the connection owner reclaims the connection by itself.
        """
        _, started = self._start(address, PeerCall(end=req))
        if isinstance(started, Ok):
            started.ok_value.add_done_callback(lambda fut: _log_return_failure(address, fut))

    def _call(
        self, address: str, call: PeerCall, timeout_s: float
    ) -> Result[Any, QuetzalrudderError]:
        stream, started = self._start(address, call)
        if isinstance(started, Err):
            return started
        fut = started.ok_value
        with suppress(FutureTimeoutError, QuetzalrudderError):
            fut.result(timeout_s)
        return self._finish(address, stream, fut, timeout_s)

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
            stream, started = self._start(address, call)
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
                    self._finish(opened.address, opened.stream, fut, timeout_s, patience_s),
                )
            while pending:
                fut, opened = pending.popitem()
                yield (
                    opened.index,
                    self._finish(opened.address, opened.stream, fut, timeout_s, patience_s),
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
                self._retire_if_silent(opened.address, opened.stream, patience_s)

    def _finish(
        self,
        address: str,
        stream: RequestStream[PeerCall, PeerAnswer],
        fut: Future,
        timeout_s: float,
        patience_s: float = 0.0,
    ) -> Result[Any, QuetzalrudderError]:
        """Return the result of a call; without an answer by now, the call has timed out."""
        try:
            _, reply = betterproto2.which_one_of(fut.result(0), "reply")
        except FutureTimeoutError:
            stream.discard(fut)
            self._retire_if_silent(address, stream, patience_s)
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

    def _start(
        self, address: str, call: PeerCall
    ) -> tuple[RequestStream[PeerCall, PeerAnswer], Result[Future, QuetzalrudderError]]:
        """Send a call on the peer's stream, or on a new one if that has ended."""
        with self._lock:
            stream = self._streams.get(address)
            if stream is None or stream.ended:
                stream = RequestStream(
                    self._loop,
                    parse_address(address),
                    lambda channel, calls: GatewayPeersStub(channel).call(calls),
                )
                self._streams[address] = stream
                self._active_at[address] = time.monotonic()
        try:
            return stream, Ok(stream.start(call))
        except TargetUnavailable as exc:
            return stream, Err(exc)

    def _retire_if_silent(
        self, address: str, stream: RequestStream[PeerCall, PeerAnswer], patience_s: float
    ) -> None:
        """Replace a stream on which a call timed out, unless it was active recently."""
        if time.monotonic() - self._active_at.get(address, 0.0) >= patience_s:
            self._retire(address, stream)

    def _retire(self, address: str, stream: RequestStream[PeerCall, PeerAnswer]) -> None:
        """Open another stream for the next call; calls on this one may still be answered.

        A stream that was not opened in time is closed at once, so that its calls are not sent
        after the callers have given up.
        """
        with self._lock:
            if self._streams.get(address) is stream:
                del self._streams[address]
        if stream.connected:
            self._loop.call_soon(_call_later, STREAM_CLOSE_DELAY_S, stream.close)
        else:
            stream.close()


def _call_later(delay_s: float, func: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(delay_s, func)


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

    def answer_changes(
        self, req: ChangesRequest, deliver: Callable[[ChangesReply], None]
    ) -> Callable[[], None]:
        """Deliver the changes of the store, once there are any.

        It never blocks. Returns a function that delivers the reply without them.
        """

    def run_lent_statement(self, req: RunRequest) -> RunReply:
        """Run a statement on a lent connection."""

    def return_lent_connection(self, req: EndRequest) -> None:
        """Take back a lent connection."""


class _PeerService(GatewayPeersBase):
    def __init__(self, handler: PeerRequestHandler, executor: Executor) -> None:
        self._handler = handler
        self._executor = executor

    async def call(self, messages: AsyncIterator[PeerCall]) -> AsyncIterator[PeerAnswer]:
        answers: asyncio.Queue[PeerAnswer | EndOfStream] = asyncio.Queue()
        reader = asyncio.ensure_future(self._read_calls(messages, answers))
        try:
            while not isinstance(answer := await answers.get(), EndOfStream):
                yield answer
        finally:
            reader.cancel()

    async def _read_calls(
        self,
        calls: AsyncIterator[PeerCall],
        answers: "asyncio.Queue[PeerAnswer | EndOfStream]",
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            async for call in calls:
                if call.token is not None or call.take_over is not None:
                    # Takes microseconds and never blocks.
                    answers.put_nowait(self._answer(call))
                elif call.changes is not None:
                    self._answer_changes(loop, call.sequence, call.changes, answers)
                else:
                    fut = loop.run_in_executor(self._executor, self._answer, call)
                    fut.add_done_callback(lambda done: answers.put_nowait(done.result()))
        finally:
            answers.put_nowait(END_OF_STREAM)

    def _answer_changes(
        self,
        loop: asyncio.AbstractEventLoop,
        sequence: int,
        req: ChangesRequest,
        answers: "asyncio.Queue[PeerAnswer | EndOfStream]",
    ) -> None:
        """Answer when the store has changed or the wait is over, without holding a thread."""

        def deliver(reply: ChangesReply) -> None:
            # The loop is closed while the process exits.
            with suppress(RuntimeError):
                loop.call_soon_threadsafe(
                    answers.put_nowait, PeerAnswer(sequence=sequence, changes=reply)
                )

        end_wait = self._handler.answer_changes(req, deliver)
        loop.call_later(req.wait_ms / MS_PER_S, end_wait)

    def _answer(self, call: PeerCall) -> PeerAnswer:
        answer = PeerAnswer(sequence=call.sequence)
        try:
            match call:
                case PeerCall(report=PeerReport() as report):
                    answer.report = self._handler.answer_report(report)
                case PeerCall(token=TokenRequest() as req):
                    answer.token = self._handler.answer_token(req)
                case PeerCall(take_over=TakeOverRequest() as req):
                    answer.take_over = self._handler.answer_take_over(req)
                case PeerCall(position=PositionRequest() as req):
                    answer.position = self._handler.answer_position(req)
                case PeerCall(run=RunRequest() as req):
                    answer.run = self._handler.run_lent_statement(req)
                case PeerCall(end=EndRequest() as req):
                    self._handler.return_lent_connection(req)
                    answer.end = EndReply()
        except Exception:
            log.exception("a peer's call failed with an unexpected error")
        return answer


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
