"""Client side of a caller connection: the adapter through which a session sends."""

import queue
import threading
from contextlib import suppress
from typing import Protocol

from quetzalrudder.bridge import Loop
from quetzalrudder.exceptions import (
    LinkLost,
    OutcomeUnknown,
    QuetzalrudderError,
    from_failure,
)
from quetzalrudder.schema.caller import AnswerFrame, CallerFrame, CallerStub, Hello, Welcome
from quetzalrudder.streams import ClientStream
from quetzalrudder.utils import Address

__all__ = ["CallerAdapter", "GrpcCallerAdapter"]


class CallerAdapter(Protocol):
    """Sends requests to an instance and returns the answers."""

    def exchange(self, frame: CallerFrame, timeout_s: float) -> AnswerFrame:
        """Send one frame and return the frame that answers it."""

    def close(self) -> None:
        """Close the connection."""


class GrpcCallerAdapter:
    """A gRPC connection to one instance.

    Parameters
    ----------
    loop : Loop
        Event loop that owns the socket.
    address : Address
        Address at which the instance listens.
    workspace : str
        Workspace of the caller.
    key : str
        Key of the workspace; empty for none.
    timeout_s : float
        Longest wait for the answer to the hello frame, in seconds.

    Raises
    ------
    QuetzalrudderError
        The instance is not reachable, or refused the caller.
    """

    def __init__(
        self, loop: Loop, address: Address, workspace: str, key: str, timeout_s: float
    ) -> None:
        self._answers: queue.Queue[AnswerFrame | QuetzalrudderError] = queue.Queue()
        self._address = address
        self._moving_on = threading.Event()
        self._stream: ClientStream[CallerFrame, AnswerFrame] = ClientStream(
            loop,
            address,
            lambda channel, frames: CallerStub(channel).connect(frames),
            self._receive,
            self._answers.put,
        )
        hello = CallerFrame(request_id="hello", hello=Hello(workspace=workspace, key=key))
        try:
            self.welcome: Welcome = self.exchange(hello, timeout_s).welcome
        except QuetzalrudderError:
            self.close()
            raise

    def _receive(self, answer: AnswerFrame) -> None:
        if answer.move_on is not None:
            self._moving_on.set()
        else:
            self._answers.put(answer)

    @property
    def moving_on(self) -> bool:
        """True once the instance drains.

        Open transactions are finished on this connection; new requests need another one.
        """
        return self._moving_on.is_set()

    @property
    def broken(self) -> bool:
        """True once no further request can be sent."""
        return self._stream.ended

    def closing_failure(self) -> QuetzalrudderError | None:
        """Return the failure with which the instance closed the connection; None if it sent none.

        Such a failure carries no request id. Answers received until now are dropped.
        """
        exc: QuetzalrudderError | None = None
        with suppress(queue.Empty):
            while True:
                answer = self._answers.get_nowait()
                if isinstance(answer, AnswerFrame) and answer.failure is not None:
                    exc = from_failure(answer.failure) if not answer.request_id else exc
        return exc

    def exchange(self, frame: CallerFrame, timeout_s: float) -> AnswerFrame:
        """Send one frame and return the frame that answers it.

        Raises
        ------
        QuetzalrudderError
            The instance reported a failure, did not answer in time, or the connection
            was lost.
        """
        try:
            self._stream.send(frame)
        except LinkLost as exc:
            # The instance may have refused the connection before the first frame was sent.
            raise self.closing_failure() or exc from exc
        while True:
            answer = self._next_answer(timeout_s)
            if answer.request_id not in (frame.request_id, ""):
                continue
            if answer.failure is not None:
                raise from_failure(answer.failure)
            return answer

    def _next_answer(self, timeout_s: float) -> AnswerFrame:
        try:
            answer = self._answers.get(timeout=timeout_s)
        except queue.Empty:
            self.close()
            raise OutcomeUnknown(
                "the instance did not answer in time", place=str(self._address)
            ) from None
        if isinstance(answer, QuetzalrudderError):
            raise LinkLost(answer.message, place=str(self._address))
        return answer

    def close(self) -> None:
        """Close the connection."""
        with suppress(RuntimeError):
            self._stream.close()
