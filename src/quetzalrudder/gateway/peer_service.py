"""Answers the calls of peers, on gRPC streams and on connections of length-prefixed messages."""

import asyncio
import logging
import socket
import threading
from collections.abc import AsyncIterator, Callable
from concurrent.futures import Executor
from contextlib import ExitStack, suppress
from typing import Protocol

import betterproto2

from quetzalrudder import processor_time, wire
from quetzalrudder.bridge import END_OF_STREAM, EndOfStream, Loop
from quetzalrudder.exceptions import LinkLost, MalformedMessage, QuetzalrudderError
from quetzalrudder.gateway.peer_frames import FrameConnection
from quetzalrudder.gateway.peer_listener import PeerListener
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
from quetzalrudder.schema.gateway_service import GatewayPeersBase, PeerAnswer, PeerCall
from quetzalrudder.utils import MS_PER_S, Address

__all__ = ["PeerRequestHandler", "PeerServer", "serve_peers"]

log = logging.getLogger(__name__)


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


class _Dispatcher:
    """Answers calls, on whichever connection they arrive.

    Parameters
    ----------
    handler : PeerRequestHandler
        Handles the requests.
    executor : Executor
        Runs those that may block.
    """

    def __init__(self, handler: PeerRequestHandler, executor: Executor) -> None:
        self._handler = handler
        self._executor = executor
        self._lock = threading.Lock()
        self._running_statements = 0

    @property
    def running_statements(self) -> int:
        """Statements of peers whose answer has not been handed to the connection yet."""
        return self._running_statements

    def dispatch(self, call: PeerCall, deliver: Callable[[PeerAnswer], None]) -> None:
        """Answer a call; called on the loop.

        Parameters
        ----------
        call : PeerCall
            The call.
        deliver : Callable
            Sends the answer; called on the loop or on a thread of the executor.
        """
        if call.token is not None or call.take_over is not None:
            # Takes microseconds and never blocks.
            deliver(self._answer(call))
        elif call.changes is not None:
            self._answer_changes(call.sequence, call.changes, deliver)
        elif call.run is not None:
            with self._lock:
                self._running_statements += 1
            self._executor.submit(lambda: self._run_statement(call, deliver))
        else:
            self._executor.submit(lambda: deliver(self._answer(call)))

    def _run_statement(self, call: PeerCall, deliver: Callable[[PeerAnswer], None]) -> None:
        try:
            deliver(self._answer(call))
        finally:
            with self._lock:
                self._running_statements -= 1

    def _answer_changes(
        self, sequence: int, req: ChangesRequest, deliver: Callable[[PeerAnswer], None]
    ) -> None:
        """Answer when the store has changed or the wait is over, without holding a thread."""
        end_wait = self._handler.answer_changes(
            req, lambda reply: deliver(PeerAnswer(sequence=sequence, changes=reply))
        )
        asyncio.get_running_loop().call_later(req.wait_ms / MS_PER_S, end_wait)

    def _answer(self, call: PeerCall) -> PeerAnswer:
        answer = PeerAnswer(sequence=call.sequence)
        try:
            with processor_time.section(
                "answer to a peer: " + betterproto2.which_one_of(call, "request")[0]
            ):
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


class _PeerService(GatewayPeersBase):
    """Answers the calls of a gRPC stream."""

    def __init__(self, dispatcher: _Dispatcher) -> None:
        self._dispatcher = dispatcher

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

        def deliver(answer: PeerAnswer) -> None:
            # The loop is closed while the process exits.
            with suppress(RuntimeError):
                loop.call_soon_threadsafe(answers.put_nowait, answer)

        try:
            async for call in calls:
                self._dispatcher.dispatch(call, deliver)
        finally:
            answers.put_nowait(END_OF_STREAM)


def _accept_frames(loop: Loop, dispatcher: _Dispatcher, sock: socket.socket) -> FrameConnection:
    """Return the connection that answers the calls arriving on a socket."""

    def deliver(answer: PeerAnswer) -> None:
        try:
            conn.send(wire.encode(answer))
        except LinkLost:
            # Ended already, or the caller does not read; it counts the answer as lost.
            conn.close()

    def receive(data: bytes) -> None:
        try:
            call = wire.decode(data, PeerCall)
        except Exception as exc:
            raise MalformedMessage(f"cannot decode a call: {type(exc).__name__}") from exc
        dispatcher.dispatch(call, deliver)

    def end(exc: QuetzalrudderError) -> None:
        if isinstance(exc, MalformedMessage):
            log.warning("connection of a peer closed", extra={"reason": str(exc)})

    conn = FrameConnection(loop, sock, receive, end)
    return conn


class PeerServer:
    """The answers to peers that a planned stop waits for.

    Parameters
    ----------
    dispatcher : _Dispatcher
        Answers the calls.
    listener : PeerListener
        Owns the connections.
    """

    def __init__(self, dispatcher: _Dispatcher, listener: PeerListener) -> None:
        self._dispatcher = dispatcher
        self._listener = listener

    @property
    def is_answering(self) -> bool:
        """True while a peer's statement runs, or bytes of an answer are not sent yet."""
        return self._dispatcher.running_statements > 0 or self._listener.unsent_bytes > 0


def serve_peers(
    loop: Loop,
    address: Address,
    handler: PeerRequestHandler,
    executor: Executor,
    stack: ExitStack,
) -> PeerServer:
    """Serve peers until the stack is closed.

    Raises
    ------
    BindFailed
        The process cannot listen on the address.
    """
    dispatcher = _Dispatcher(handler, executor)
    listener = PeerListener(
        loop,
        address,
        _PeerService(dispatcher),
        lambda sock: _accept_frames(loop, dispatcher, sock),
    )
    return PeerServer(dispatcher, stack.enter_context(listener))
