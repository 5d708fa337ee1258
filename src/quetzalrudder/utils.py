"""Clocks, deadlines, addresses, SQL values and the fields of messages."""

import dataclasses
import threading
import time
import typing
from dataclasses import dataclass
from typing import Protocol

import betterproto2

from quetzalrudder.exceptions import InvalidSettings
from quetzalrudder.schema.common import Value

__all__ = [
    "Address",
    "BootClock",
    "Clock",
    "Deadline",
    "SystemClock",
    "field_by_type",
    "field_types",
    "from_value",
    "parse_address",
    "to_value",
]

MS_PER_S = 1000
MAX_PORT = 65535
# Longest message between instances, and from callers, operators and targets of the own protocol.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024

SqlValue = int | float | str | bytes | None


class Clock(Protocol):
    """Source of time for every decision that depends on time."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start; never decreases."""

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for an event; return false if it was not set in time."""


class SystemClock:
    """Clock of the machine."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start."""
        return time.monotonic()

    def wall(self) -> float:
        """Return the seconds since the Unix epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Sleep for a number of seconds."""
        time.sleep(seconds)

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for an event; return false if it was not set in time."""
        return event.wait(seconds)


class BootClock(SystemClock):
    """Clock of the machine; its monotonic time goes on while the machine is suspended."""

    def monotonic(self) -> float:
        """Return the seconds since the machine started, including the time it was suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True)
class Deadline:
    """Time at which a request is abandoned."""

    clock: Clock
    # Monotonic time in seconds.
    at: float

    @classmethod
    def after_ms(cls, clock: Clock, ms: int) -> "Deadline":
        """Return a deadline in a number of milliseconds from now."""
        return cls(clock, clock.monotonic() + ms / MS_PER_S)

    @property
    def remaining_s(self) -> float:
        """Seconds left, never negative."""
        return max(0.0, self.at - self.clock.monotonic())

    @property
    def remaining_ms(self) -> int:
        """Whole milliseconds left, never negative."""
        return int(self.remaining_s * MS_PER_S)

    @property
    def passed(self) -> bool:
        """Whether no time is left."""
        return self.clock.monotonic() >= self.at


@dataclass(frozen=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str, *, place: str = "") -> Address:
    """Parse ``host:port``.

    Raises
    ------
    InvalidSettings
        The text is not an address.

    Examples
    --------
    >>> parse_address("127.0.0.1:7000")
    Address(host='127.0.0.1', port=7000)
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise InvalidSettings(f"not an IP address and port: {text!r}", place=place)
    return Address(host, int(port))


def to_value(value: SqlValue) -> Value:
    """Convert an SQL value to a message.

    Examples
    --------
    >>> to_value("Almaty").text
    'Almaty'
    """
    match value:
        case None:
            return Value()
        case int():
            return Value(integer=value)
        case float():
            return Value(real=value)
        case str():
            return Value(text=value)
        case _:
            return Value(blob=bytes(value))


def from_value(value: Value) -> SqlValue:
    """Convert a message to an SQL value."""
    for content in (value.integer, value.real, value.text, value.blob):
        if content is not None:
            return content
    return None


def field_types(cls: type) -> dict[str, type]:
    """Return the type of each field of a message class, without ``None``.

    Examples
    --------
    >>> field_types(Value)["text"]
    <class 'str'>
    """
    hints = typing.get_type_hints(cls)
    types = {}
    for field in dataclasses.fields(cls):
        options = [t for t in typing.get_args(hints[field.name]) if t is not type(None)]
        types[field.name] = options[0] if options else hints[field.name]
    return types


def field_by_type(cls: type) -> dict[type, str]:
    """Return, for each message type, the name of the field of a frame class that carries it."""
    return {
        field_type: name
        for name, field_type in field_types(cls).items()
        if isinstance(field_type, type) and issubclass(field_type, betterproto2.Message)
    }
