"""Checks of incoming messages: size before they are read, form when they are decoded."""

from collections.abc import Awaitable, Callable
from typing import Any

from grpclib._typing import IServable
from grpclib.const import Handler
from grpclib.encoding.proto import ProtoCodec
from grpclib.server import Stream

from quetzalrudder import wire
from quetzalrudder.exceptions import MalformedMessage, MessageTooLarge
from quetzalrudder.schema.caller import AnswerFrame, CallerFrame
from quetzalrudder.schema.target import TargetAnswer, TargetFrame

__all__ = ["MAX_MESSAGE_BYTES", "CheckedCodec", "limit_message_size"]

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Frames that carry statements go through the compiled codec.
STATEMENT_FRAMES = frozenset({AnswerFrame, CallerFrame, TargetAnswer, TargetFrame})
TYPE_BY_NAME = {"string": str, "bytes": bytes, "bool": bool, "double": float}


class CheckedCodec(ProtoCodec):
    """Protocol buffers whose decoding failures are typed."""

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
            The bytes are no such message.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise _too_large(len(data))
        try:
            if message_type in STATEMENT_FRAMES:
                return wire.decode(data, message_type)
            message = super().decode(data, message_type)
            _check_types(message)
            return message
        except Exception as exc:
            reason = f"not a {message_type.__name__}: {type(exc).__name__}"
            raise MalformedMessage(reason) from exc


def _check_types(message: Any) -> None:
    """Refuse values that the generated classes' codec took over in another field's form."""
    for name, meta in message._betterproto.meta_by_field_name.items():
        found = getattr(message, name)
        values = found if meta.repeated else [found]
        for value in values:
            if value is None and meta.optional:
                continue
            if meta.proto_type == "message" and value is not None:
                _check_types(value)
            elif not isinstance(value, TYPE_BY_NAME.get(meta.proto_type, int)):
                raise TypeError(name)


def _too_large(size: int) -> MessageTooLarge:
    return MessageTooLarge(f"{size} bytes, at most {MAX_MESSAGE_BYTES}")


class SizeLimitedService:
    """A service whose streams refuse a message by its length prefix, before reading it."""

    def __init__(self, service: IServable) -> None:
        self._service = service

    def __mapping__(self) -> dict[str, Handler]:
        """Give the wrapped handlers."""
        handlers = self._service.__mapping__()
        return {path: h._replace(func=_limited(h.func)) for path, h in handlers.items()}


def limit_message_size(service: IServable) -> SizeLimitedService:
    """Wrap a service so that oversized messages are refused unread."""
    return SizeLimitedService(service)


def _limited(
    func: Callable[[Stream], Awaitable[None]],
) -> Callable[[Stream], Awaitable[None]]:
    async def handle(stream: Stream) -> None:
        http_stream = stream._stream
        read = http_stream.recv_data

        async def recv_data(size: int) -> bytes:
            if size > MAX_MESSAGE_BYTES:
                raise _too_large(size)
            return await read(size)

        http_stream.recv_data = recv_data
        await func(stream)

    return handle
