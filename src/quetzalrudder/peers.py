"""Requests between instances.

Outgoing links are opened on first use; each incoming connection is served in its own task.
"""

import logging
import threading
from collections.abc import AsyncIterator, Callable
from concurrent.futures import Executor, Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import Any

import betterproto2
from result import Err, Ok, Result

from quetzalrudder.bridge import Loop, Pipe, serve_pipe
from quetzalrudder.exceptions import (
    InternalError,
    LinkLost,
    MalformedMessage,
    OutcomeUnknown,
    QuetzalrudderError,
    TargetUnavailable,
    from_failure,
    to_failure,
)
from quetzalrudder.membership import Membership, PeerInfo
from quetzalrudder.models import DataCentre, InstanceId
from quetzalrudder.schema.common import Failure
from quetzalrudder.schema.peers import Hello, PeerFrame, PeersBase, PeersStub, Welcome
from quetzalrudder.streams import RequestStream
from quetzalrudder.timeline import HybridClock
from quetzalrudder.utils import field_by_type

__all__ = ["PeerLinks", "PeerService"]

log = logging.getLogger(__name__)

PeerMessage = betterproto2.Message
Handler = Callable[[InstanceId, Any], PeerMessage]
PeerPipe = Pipe[PeerFrame, PeerFrame]

HELLO_TIMEOUT_S = 2.0
SEND_TIMEOUT_S = 2.0
KIND_ONEOF = "kind"
FIELD_BY_TYPE = field_by_type(PeerFrame)


def pack(message: PeerMessage) -> PeerFrame:
    """Return a frame that carries a message in the field for its type."""
    return PeerFrame(**{FIELD_BY_TYPE[type(message)]: message})


def unpack(frame: PeerFrame) -> PeerMessage | None:
    """Return the message that a frame carries, or ``None`` if it carries none."""
    _, message = betterproto2.which_one_of(frame, KIND_ONEOF)
    return message


class PeerLinks:
    """Sends requests to other instances and answers their requests.

    Parameters
    ----------
    loop : Loop
        The loop that owns the sockets.
    instance, data_centre
        Name and data centre of this instance.
    membership : Membership
        Addresses of the other instances.
    clock : HybridClock
        Timestamps every frame, so that the events of all processes can be ordered.

    Examples
    --------
    >>> links.register_handler(Digest, lambda peer, digest: Digest())  # doctest: +SKIP
    >>> links.request("bern-a-1", Digest(settings_revision=7), 0.5)  # doctest: +SKIP
    Ok(Digest())
    """

    def __init__(
        self,
        loop: Loop,
        instance: InstanceId,
        data_centre: DataCentre,
        membership: Membership,
        clock: HybridClock,
    ) -> None:
        self._loop = loop
        self._hello = Hello(instance=instance, data_centre=data_centre)
        self._membership = membership
        self._clock = clock
        self._lock = threading.Lock()
        self._streams: dict[InstanceId, RequestStream[PeerFrame, PeerFrame]] = {}
        self._handlers: dict[type, Handler] = {}

    def __enter__(self) -> "PeerLinks":
        return self

    def __exit__(self, *exc_info: object) -> None:
        with self._lock:
            streams = list(self._streams.values())
        for stream in streams:
            stream.close()

    def register_handler(self, message_type: type, handler: Handler) -> None:
        """Answer requests of a type with a handler, which is called with the peer's name."""
        self._handlers[message_type] = handler

    def request(
        self, peer: InstanceId, message: PeerMessage, timeout_s: float
    ) -> Result[Any, QuetzalrudderError]:
        """Send a request and wait for its answer.

        Parameters
        ----------
        peer : InstanceId
            Receiver of the request.
        message : PeerMessage
            The request.
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        Result[PeerMessage, QuetzalrudderError]
            The answer, or an error. ``TargetUnavailable`` means that nothing was sent.
        """
        try:
            fut = self.start(peer, message)
            return self.wait_for_answer(fut, timeout_s)
        except QuetzalrudderError as exc:
            return Err(exc)

    def start(self, peer: InstanceId, message: PeerMessage) -> "Future[PeerFrame]":
        """Send a request and return a future for the frame that answers it.

        Raises
        ------
        TargetUnavailable
            The peer is unknown or its link has ended; nothing was sent.
        """
        info = self._membership.find(peer)
        if info is None:
            raise TargetUnavailable("instance is not in the membership list", place=peer)
        return self._stream_to(info).start(self._stamp(pack(message)))

    def wait_for_answer(
        self, fut: "Future[PeerFrame]", timeout_s: float
    ) -> Result[Any, QuetzalrudderError]:
        """Wait for the answer to a request sent by :meth:`start`.

        Returns
        -------
        Result[PeerMessage, QuetzalrudderError]
            The answer, or an error: the failure that the peer reported, ``OutcomeUnknown``
            after the timeout, or ``LinkLost``.
        """
        try:
            frame = fut.result(timeout_s)
        except FutureTimeoutError:
            return Err(OutcomeUnknown("timed out waiting for the peer's answer"))
        except LinkLost as exc:
            return Err(exc)
        self._clock.observe((frame.wall_us, frame.logical))
        match unpack(frame):
            case Failure() as failure:
                return Err(from_failure(failure))
            case message:
                return Ok(message)

    def _stream_to(self, info: PeerInfo) -> "RequestStream[PeerFrame, PeerFrame]":
        with self._lock:
            stream = self._streams.get(info.instance)
            if stream is None or stream.ended:
                stream = RequestStream(
                    self._loop,
                    info.control_address,
                    lambda channel, frames: PeersStub(channel).connect(frames),
                )
                self._streams[info.instance] = stream
                stream.start(self._stamp(pack(self._hello)))
            return stream

    def _stamp(self, frame: PeerFrame) -> PeerFrame:
        frame.wall_us, frame.logical = self._clock.now()
        return frame

    def serve(self, pipe: PeerPipe) -> None:
        """Answer the requests of one incoming connection until it ends."""
        try:
            peer = self._handshake(pipe)
            while True:
                frame = pipe.recv()
                self._clock.observe((frame.wall_us, frame.logical))
                self._reply(pipe, frame, self._handle(peer, frame))
        except LinkLost:
            return
        except (QuetzalrudderError, TimeoutError) as exc:
            log.warning(
                "incoming peer connection closed after an error", extra={"reason": str(exc)}
            )
        finally:
            pipe.close()

    def _handshake(self, pipe: PeerPipe) -> InstanceId:
        frame = pipe.recv(HELLO_TIMEOUT_S)
        if frame.hello is None:
            raise MalformedMessage(
                "first frame of a peer connection must be a hello", place="hello"
            )
        welcome = Welcome(instance=self._hello.instance, data_centre=self._hello.data_centre)
        self._reply(pipe, frame, welcome)
        return InstanceId(frame.hello.instance)

    def _reply(self, pipe: PeerPipe, req: PeerFrame, message: PeerMessage) -> None:
        answer = self._stamp(pack(message))
        answer.sequence = req.sequence
        pipe.send(answer, SEND_TIMEOUT_S)

    def _handle(self, peer: InstanceId, frame: PeerFrame) -> PeerMessage:
        message = unpack(frame)
        handler = self._handlers.get(type(message))
        if handler is None:
            return to_failure(
                MalformedMessage("no handler for this type of request", place="peers")
            )
        try:
            return handler(peer, message)
        except QuetzalrudderError as exc:
            return to_failure(exc)
        except Exception:
            log.exception("unexpected error in the handler of a peer request")
            return to_failure(InternalError("internal error"))


class PeerService(PeersBase):
    """Accepts connections of other instances and serves each in its own task."""

    def __init__(self, loop: Loop, links: PeerLinks, executor: Executor) -> None:
        self._loop = loop
        self._links = links
        self._executor = executor

    async def connect(self, messages: AsyncIterator[PeerFrame]) -> AsyncIterator[PeerFrame]:
        """Serve one connection of a peer."""

        def start(pipe: PeerPipe) -> None:
            self._executor.submit(self._links.serve, pipe)

        async for frame in serve_pipe(self._loop, messages, start):
            yield frame
