"""The caller's side of a connection: the adapter that a session sends through."""

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
    """Sends a request to an instance and gives its answer."""

    def exchange(self, frame: CallerFrame, timeout_s: float) -> AnswerFrame:
        """Send one frame and wait for the frame that answers it."""

    def close(self) -> None:
        """Close the connection."""


class GrpcCallerAdapter:
    """One connection to one instance.

    Parameters
    ----------
    loop : Loop
        The loop that owns the socket.
    address : Address
        Where the instance listens.
    workspace, key : str
        Who calls.
    timeout_s : float
        Longest wait for the greeting, in seconds.

    Raises
    ------
    QuetzalrudderError
        The instance is not reachable, or refuses the caller.
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
        """True once the instance drains: open work is finished, new work goes elsewhere."""
        return self._moving_on.is_set()

    @property
    def broken(self) -> bool:
        """True once no further request can be sent."""
        return self._stream.ended

    def closing_failure(self) -> QuetzalrudderError | None:
        """Give the failure that the instance told before it closed the connection."""
        told: QuetzalrudderError | None = None
        with suppress(queue.Empty):
            while True:
                answer = self._answers.get_nowait()
                if isinstance(answer, AnswerFrame) and answer.failure is not None:
                    told = from_failure(answer.failure) if not answer.request_id else told
        return told

    def exchange(self, frame: CallerFrame, timeout_s: float) -> AnswerFrame:
        """Send one frame and wait for the frame that answers it.

        Raises
        ------
        QuetzalrudderError
            The instance's refusal, or the loss of the connection.
        """
        self._stream.send(frame)
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
            raise OutcomeUnknown("no answer in time", place=str(self._address)) from None
        if isinstance(answer, QuetzalrudderError):
            raise LinkLost(answer.message, place=str(self._address))
        return answer

    def close(self) -> None:
        """Close the connection."""
        with suppress(RuntimeError):
            self._stream.close()
