"""Clocks, deadlines and addresses."""

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

SqlValue = int | float | str | bytes | None


class Clock(Protocol):
    """Source of time for every decision."""

    def monotonic(self) -> float:
        """Seconds since an arbitrary start; never goes back."""

    def wall(self) -> float:
        """Seconds since the Unix epoch."""

    def sleep(self, seconds: float) -> None:
        """Wait."""

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for an event; false if it was not set in time."""


class SystemClock:
    """The machine's own clock."""

    def monotonic(self) -> float:
        """Seconds since an arbitrary start."""
        return time.monotonic()

    def wall(self) -> float:
        """Seconds since the Unix epoch."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Wait."""
        time.sleep(seconds)

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for an event; false if it was not set in time."""
        return event.wait(seconds)


class BootClock(SystemClock):
    """The machine's clock, whose monotonic reading counts suspensions too."""

    def monotonic(self) -> float:
        """Seconds since the machine started, suspended or not."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(frozen=True)
class Deadline:
    """The moment at which a request is given up."""

    clock: Clock
    at: float

    @classmethod
    def after_ms(cls, clock: Clock, ms: int) -> "Deadline":
        """Deadline the given milliseconds from now."""
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
        """True once no time is left."""
        return self.clock.monotonic() >= self.at


@dataclass(frozen=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse_address(text: str, *, place: str = "") -> Address:
    """Read ``host:port``.

    Raises
    ------
    InvalidSettings
        The text is no address.

    Examples
    --------
    >>> parse_address("127.0.0.1:7000")
    Address(host='127.0.0.1', port=7000)
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise InvalidSettings(f"not an IP address and port: {text!r}", place=place)
    return Address(host, int(port))


def to_value(value: SqlValue) -> Value:
    """Write one SQL value as a message.

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
    """Read one SQL value from a message."""
    for found in (value.integer, value.real, value.text, value.blob):
        if found is not None:
            return found
    return None


def field_types(cls: type) -> dict[str, type]:
    """Give the type of each field of a message class, without ``None``.

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
    """Give the name of the field that carries each type of message in a frame class."""
    return {
        kind: name
        for name, kind in field_types(cls).items()
        if isinstance(kind, type) and issubclass(kind, betterproto2.Message)
    }
