"""Clocks, deadlines and addresses."""

import time
from dataclasses import dataclass
from typing import Protocol

from quetzalrudder.exceptions import InvalidSettings
from quetzalrudder.schema.common import Value

__all__ = [
    "Address",
    "Clock",
    "Deadline",
    "SystemClock",
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
