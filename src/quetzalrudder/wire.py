"""Encodes and decodes the generated message classes with the compiled Protocol Buffers runtime.

The pure Python codec of betterproto2, which generates the classes, takes most of a
statement's processor time. This module builds descriptors from the generated classes,
lets the compiled codec of the ``google.protobuf`` runtime read and write the bytes, and
copies the field values between the two representations. Unknown fields are dropped.
"""

import threading
from collections.abc import Callable
from typing import Any, TypeVar

import betterproto2
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory

__all__ = ["decode", "encode"]

M = TypeVar("M", bound=betterproto2.Message)

Field = descriptor_pb2.FieldDescriptorProto
# Enums are declared as int32, so that unknown values are passed on to the generated classes.
RUNTIME_TYPE_BY_NAME = {
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


def _collect_types(cls: type, types: dict[str, type]) -> dict[str, type]:
    """Add a message class and all classes that its fields refer to, by type name."""
    if _type_name(cls) in types:
        return types
    types[_type_name(cls)] = cls
    info = cls()._betterproto
    for name, meta in info.meta_by_field_name.items():
        if meta.proto_type == "message":
            _collect_types(info.cls_by_field[name], types)
    return types


def _fill_descriptor(cls: type, descriptor: descriptor_pb2.DescriptorProto) -> None:
    info = cls()._betterproto
    descriptor.name = _type_name(cls)
    oneof_indexes: dict[str, int] = {}
    for meta in info.meta_by_field_name.values():
        if meta.group is not None and meta.group not in oneof_indexes:
            oneof_indexes[meta.group] = len(oneof_indexes)
            descriptor.oneof_decl.add(name=meta.group)
    for name, meta in info.meta_by_field_name.items():
        label = Field.LABEL_REPEATED if meta.repeated else Field.LABEL_OPTIONAL
        field = descriptor.field.add(
            name=name, number=meta.number, label=label, type=RUNTIME_TYPE_BY_NAME[meta.proto_type]
        )
        if meta.proto_type == "message":
            field.type_name = _type_name(info.cls_by_field[name])
        if meta.group is not None:
            field.oneof_index = oneof_indexes[meta.group]
        elif meta.optional and meta.proto_type != "message":
            field.proto3_optional = True
            field.oneof_index = len(descriptor.oneof_decl)
            descriptor.oneof_decl.add(name=f"_{name}")


def _make_runtime_class(cls: type) -> type:
    file = descriptor_pb2.FileDescriptorProto(name=_type_name(cls), syntax="proto3")
    for message_type in _collect_types(cls, {}).values():
        _fill_descriptor(message_type, file.message_type.add())
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName(_type_name(cls)))


def _identity(value: Any) -> Any:
    return value


class _Converter:
    """Converts messages of one class between the generated and the runtime representation."""

    def __init__(self, cls: type) -> None:
        info = cls()._betterproto
        self._cls = cls
        self._field_converters: dict[str, Callable[[Any], Any]] = {}
        self._scalars: list[str] = []
        self._messages: list[str] = []
        self._repeated: list[str] = []
        self._repeated_messages: list[str] = []
        for name, meta in info.meta_by_field_name.items():
            is_message = meta.proto_type == "message"
            convert = _identity
            if is_message:
                convert = _converter(info.cls_by_field[name]).from_runtime
            elif meta.proto_type == "enum":
                convert = info.cls_by_field[name]
            if meta.repeated:
                convert = _convert_each(convert)
                (self._repeated_messages if is_message else self._repeated).append(name)
            else:
                (self._messages if is_message else self._scalars).append(name)
            self._field_converters[name] = convert

    def from_runtime(self, runtime: Any) -> Any:
        """Convert a runtime message to an instance of the generated class."""
        converters = self._field_converters
        values = {}
        for field, value in runtime.ListFields():
            name = field.name
            values[name] = converters[name](value)
        return self._cls(**values)

    def fill_runtime(self, runtime: Any, message: Any) -> None:
        """Copy a message's field values into an empty runtime message."""
        for name in self._scalars:
            value = getattr(message, name)
            if value is not None:
                setattr(runtime, name, value)
        for name in self._messages:
            value = getattr(message, name)
            if value is not None:
                inner = getattr(runtime, name)
                inner.SetInParent()
                _converter(type(value)).fill_runtime(inner, value)
        for name in self._repeated:
            getattr(runtime, name).extend(getattr(message, name))
        for name in self._repeated_messages:
            items = getattr(runtime, name)
            for value in getattr(message, name):
                _converter(type(value)).fill_runtime(items.add(), value)


def _convert_each(convert: Callable[[Any], Any]) -> Callable[[Any], list[Any]]:
    return lambda values: [convert(value) for value in values]


_lock = threading.RLock()
_converters: dict[type, _Converter] = {}
_runtime_classes: dict[type, type] = {}


def _converter(cls: type) -> _Converter:
    converter = _converters.get(cls)
    if converter is None:
        with _lock:
            converter = _converters.get(cls) or _Converter(cls)
            _converters[cls] = converter
    return converter


def _runtime_class(cls: type) -> type:
    runtime_class = _runtime_classes.get(cls)
    if runtime_class is None:
        with _lock:
            runtime_class = _runtime_classes.get(cls) or _make_runtime_class(cls)
            _runtime_classes[cls] = runtime_class
    return runtime_class


def encode(message: betterproto2.Message) -> bytes:
    """Encode a message.

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
    runtime = _runtime_class(cls)()
    _converter(cls).fill_runtime(runtime, message)
    return runtime.SerializeToString()


def decode(data: bytes, cls: type[M]) -> M:
    """Decode a message.

    Raises
    ------
    google.protobuf.message.DecodeError
        The bytes do not encode a message of this type.

    Examples
    --------
    >>> from quetzalrudder.schema.common import Position
    >>> decode(bytes(Position(term=1, index=7)), Position)
    Position(term=1, index=7)
    """
    return _converter(cls).from_runtime(_runtime_class(cls).FromString(data))
