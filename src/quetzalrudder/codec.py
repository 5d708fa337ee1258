"""gRPC codec that limits the size of incoming messages and validates their contents."""

from collections.abc import Awaitable, Callable
from typing import Any

from grpclib._typing import IServable
from grpclib.const import Handler
from grpclib.encoding.proto import ProtoCodec
from grpclib.server import Stream

from quetzalrudder import wire
from quetzalrudder.exceptions import MalformedMessage, MessageTooLarge
from quetzalrudder.field_types import check_types
from quetzalrudder.schema.caller import AnswerFrame, CallerFrame
from quetzalrudder.schema.gateway_service import PeerAnswer, PeerCall
from quetzalrudder.schema.target import TargetAnswer, TargetFrame
from quetzalrudder.utils import MAX_MESSAGE_BYTES

__all__ = ["MAX_MESSAGE_BYTES", "CheckedCodec", "limit_message_size"]

# Message types on the path of every statement; they use the compiled codec, for speed.
STATEMENT_FRAMES = frozenset(
    {AnswerFrame, CallerFrame, PeerAnswer, PeerCall, TargetAnswer, TargetFrame}
)


class CheckedCodec(ProtoCodec):
    """Protocol Buffers codec that raises this package's exceptions on invalid input."""

    def encode(self, message: Any, message_type: type) -> bytes:
        """Encode one message."""
        if message_type in STATEMENT_FRAMES and type(message) is message_type:
            return wire.encode(message)
        return super().encode(message, message_type)

    def decode(self, data: bytes, message_type: type) -> Any:
        """Decode one message.

        Raises
        ------
        MessageTooLarge
            The message exceeds the size limit.
        MalformedMessage
            The bytes do not decode to a valid message of this type.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise _size_error(len(data))
        try:
            if message_type in STATEMENT_FRAMES:
                return wire.decode(data, message_type)
            message = super().decode(data, message_type)
            check_types(message)
            return message
        except Exception as exc:
            reason = f"cannot decode {message_type.__name__}: {type(exc).__name__}"
            raise MalformedMessage(reason) from exc


def _size_error(size: int) -> MessageTooLarge:
    return MessageTooLarge(f"message has {size} bytes, limit is {MAX_MESSAGE_BYTES}")


class SizeLimitedService:
    """Wraps a service so that an oversized message is refused before its body is read."""

    def __init__(self, service: IServable) -> None:
        self._service = service

    def __mapping__(self) -> dict[str, Handler]:
        """Return the wrapped handlers by method path."""
        handlers = self._service.__mapping__()
        return {path: h._replace(func=_limit_size(h.func)) for path, h in handlers.items()}


def limit_message_size(service: IServable) -> SizeLimitedService:
    """Wrap a service so that oversized messages are refused by their length prefix."""
    return SizeLimitedService(service)


def _limit_size(
    func: Callable[[Stream], Awaitable[None]],
) -> Callable[[Stream], Awaitable[None]]:
    async def handle(stream: Stream) -> None:
        http_stream = stream._stream
        recv_unchecked = http_stream.recv_data

        async def recv_data(size: int) -> bytes:
            if size > MAX_MESSAGE_BYTES:
                raise _size_error(size)
            return await recv_unchecked(size)

        http_stream.recv_data = recv_data
        await func(stream)

    return handle
