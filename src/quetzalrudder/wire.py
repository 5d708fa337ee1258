"""Encodes and decodes the schema's classes by the protocol buffers runtime library.

The classes are those that betterproto2 generates; its own codec is written in Python
and takes most of a statement's processor time. Here the runtime's compiled codec reads
and writes the bytes, under descriptors made from the classes themselves, and only the
values are moved over. Unknown fields are dropped.
"""

import threading
from collections.abc import Callable
from typing import Any, TypeVar

import betterproto2
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

__all__ = ["decode", "encode"]

M = TypeVar("M", bound=betterproto2.Message)

Field = descriptor_pb2.FieldDescriptorProto
# Enumerations travel as numbers, so that unknown ones reach the classes.
KIND_BY_NAME = {
    "bool": Field.TYPE_BOOL,
    "bytes": Field.TYPE_BYTES,
    "double": Field.TYPE_DOUBLE,
    "enum": Field.TYPE_INT32,
    "int32": Field.TYPE_INT32,
    "int64": Field.TYPE_INT64,
    "message": Field.TYPE_MESSAGE,
    "string": Field.TYPE_STRING,
    "uint32": Field.TYPE_UINT32,
    "uint64": Field.TYPE_UINT64,
}


def _type_name(cls: type) -> str:
    return f"{cls.__module__.rpartition('.')[2]}_{cls.__name__}"


def _reachable(cls: type, found: dict[str, type]) -> dict[str, type]:
    if _type_name(cls) in found:
        return found
    found[_type_name(cls)] = cls
    info = cls()._betterproto
    for name, meta in info.meta_by_field_name.items():
        if meta.proto_type == "message":
            _reachable(info.cls_by_field[name], found)
    return found


def _describe(cls: type, described: descriptor_pb2.DescriptorProto) -> None:
    info = cls()._betterproto
    described.name = _type_name(cls)
    groups: dict[str, int] = {}
    for meta in info.meta_by_field_name.values():
        if meta.group is not None and meta.group not in groups:
            groups[meta.group] = len(groups)
            described.oneof_decl.add(name=meta.group)
    for name, meta in info.meta_by_field_name.items():
        label = Field.LABEL_REPEATED if meta.repeated else Field.LABEL_OPTIONAL
        field = described.field.add(
            name=name, number=meta.number, label=label, type=KIND_BY_NAME[meta.proto_type]
        )
        if meta.proto_type == "message":
            field.type_name = _type_name(info.cls_by_field[name])
        if meta.group is not None:
            field.oneof_index = groups[meta.group]
        elif meta.optional and meta.proto_type != "message":
            field.proto3_optional = True
            field.oneof_index = len(described.oneof_decl)
            described.oneof_decl.add(name=f"_{name}")


def _runtime_class(cls: type) -> type:
    file = descriptor_pb2.FileDescriptorProto(name=_type_name(cls), syntax="proto3")
    for reached in _reachable(cls, {}).values():
        _describe(reached, file.message_type.add())
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName(_type_name(cls)))


def _same(value: Any) -> Any:
    return value


class _Codec:
    """Moves values of one class between its two forms."""

    def __init__(self, cls: type) -> None:
        info = cls()._betterproto
        self._cls = cls
        self._readers: dict[str, Callable[[Any], Any]] = {}
        self._scalars: list[str] = []
        self._messages: list[str] = []
        self._repeated: list[str] = []
        self._repeated_messages: list[str] = []
        for name, meta in info.meta_by_field_name.items():
            is_message = meta.proto_type == "message"
            read = _same
            if is_message:
                read = _codec(info.cls_by_field[name]).read
            elif meta.proto_type == "enum":
                read = info.cls_by_field[name]
            if meta.repeated:
                read = _read_each(read)
                (self._repeated_messages if is_message else self._repeated).append(name)
            else:
                (self._messages if is_message else self._scalars).append(name)
            self._readers[name] = read

    def read(self, runtime: Any) -> Any:
        """Give the class's form of a message."""
        readers = self._readers
        values = {}
        for field, value in runtime.ListFields():
            name = field.name
            values[name] = readers[name](value)
        return self._cls(**values)

    def fill(self, runtime: Any, message: Any) -> None:
        """Write a message into the runtime's form, which is empty."""
        for name in self._scalars:
            value = getattr(message, name)
            if value is not None:
                setattr(runtime, name, value)
        for name in self._messages:
            value = getattr(message, name)
            if value is not None:
                inner = getattr(runtime, name)
                inner.SetInParent()
                _codec(type(value)).fill(inner, value)
        for name in self._repeated:
            getattr(runtime, name).extend(getattr(message, name))
        for name in self._repeated_messages:
            items = getattr(runtime, name)
            for value in getattr(message, name):
                _codec(type(value)).fill(items.add(), value)


def _read_each(read: Callable[[Any], Any]) -> Callable[[Any], list[Any]]:
    return lambda values: [read(value) for value in values]


_lock = threading.RLock()
_codecs: dict[type, _Codec] = {}
_runtime_classes: dict[type, type] = {}


def _codec(cls: type) -> _Codec:
    found = _codecs.get(cls)
    if found is None:
        with _lock:
            found = _codecs.get(cls) or _Codec(cls)
            _codecs[cls] = found
    return found


def _runtime(cls: type) -> type:
    found = _runtime_classes.get(cls)
    if found is None:
        with _lock:
            found = _runtime_classes.get(cls) or _runtime_class(cls)
            _runtime_classes[cls] = found
    return found


def encode(message: betterproto2.Message) -> bytes:
    """Write a message.

    Raises
    ------
    ValueError, TypeError
        A value does not fit its field.

    Examples
    --------
    >>> from quetzalrudder.schema.common import Position
    >>> encode(Position(term=1, index=7)) == bytes(Position(term=1, index=7))
    True
    """
    cls = type(message)
    runtime = _runtime(cls)()
    _codec(cls).fill(runtime, message)
    return runtime.SerializeToString()


def decode(data: bytes, cls: type[M]) -> M:
    """Read a message.

    Raises
    ------
    google.protobuf.message.DecodeError
        The bytes are no such message.

    Examples
    --------
    >>> from quetzalrudder.schema.common import Position
    >>> decode(bytes(Position(term=1, index=7)), Position)
    Position(term=1, index=7)
    """
    return _codec(cls).read(_runtime(cls).FromString(data))
