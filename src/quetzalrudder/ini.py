"""Parses INI files into schema messages and collects every error."""

import configparser
import dataclasses
from collections.abc import Iterable
from typing import TypeVar

from quetzalrudder.exceptions import InvalidSettings, QuetzalrudderError
from quetzalrudder.keys import DIGEST_PATTERN
from quetzalrudder.schema.settings import BranchSettings, DaemonSettings
from quetzalrudder.utils import field_types

__all__ = ["SettingsErrors", "check_value", "check_values", "fill_message", "read_ini"]

M = TypeVar("M")

DEFAULT_MAX_VALUE = 2**32 - 1
# Minimum and maximum of a setting; 0 and DEFAULT_MAX_VALUE for settings not listed.
VALUE_RANGES: dict[str, tuple[float, float]] = {
    "deadline_ms": (1, 3_600_000),
    "weight": (0.001, 1000),
    "replica_wait_ms": (0, 60_000),
    "max_tasks": (1, 100_000),
    "drain_s": (0, 3600),
}
BOOLEAN_VALUES = {"true": True, "yes": True, "on": True, "false": False, "no": False, "off": False}


class SettingsErrors(InvalidSettings):
    """All errors of a settings file, each with its file, section and key."""

    def __init__(self, errors: Iterable[QuetzalrudderError]) -> None:
        self.errors = list(errors)
        super().__init__("; ".join(str(error) for error in self.errors))


def _create_parser() -> configparser.ConfigParser:
    return configparser.ConfigParser(
        interpolation=None, default_section="", strict=True, empty_lines_in_values=False
    )


def read_ini(text: str, file: str) -> configparser.ConfigParser:
    """Parse INI text.

    Raises
    ------
    InvalidSettings
        The text is not valid INI, or a section or key is repeated.
    """
    parser = _create_parser()
    try:
        parser.read_string(text, source=file)
    except configparser.Error as exc:
        raise InvalidSettings(str(exc).replace("\n", " "), place=file) from exc
    return parser


def _convert(text: str, value_type: type, place: str) -> object:
    text = text.strip()
    if value_type is bool:
        if text.lower() not in BOOLEAN_VALUES:
            raise InvalidSettings(f"not true or false: {text!r}", place=place)
        return BOOLEAN_VALUES[text.lower()]
    if value_type is str:
        return text
    try:
        number = value_type(text)
    except ValueError:
        expected = "a whole number" if value_type is int else "a number"
        raise InvalidSettings(f"not {expected}: {text!r}", place=place) from None
    return number


def check_value(key: str, value: object, place: str) -> None:
    """Check a value against the format or range of its setting.

    Raises
    ------
    InvalidSettings
        The value has the wrong format or is out of range.
    """
    if isinstance(value, str):
        _check_text(key, value, place)
    elif not isinstance(value, bool) and value is not None:
        minimum, maximum = VALUE_RANGES.get(key, (0, DEFAULT_MAX_VALUE))
        if not minimum <= value <= maximum:
            raise InvalidSettings(f"out of range {minimum} to {maximum}: {value}", place=place)


def _check_text(key: str, value: str, place: str) -> None:
    if key == "key_digests" and not all(DIGEST_PATTERN.fullmatch(part) for part in value.split()):
        raise InvalidSettings("expected SHA-256 digests in hexadecimal", place=place)
    if key == "group" and (not value or value != value.strip()):
        raise InvalidSettings("must not be empty or have surrounding whitespace", place=place)


def fill_message(
    message: M, section: configparser.SectionProxy, file: str
) -> tuple[M, list[QuetzalrudderError]]:
    """Set the fields of a message from a section, and return it with every error found."""
    types = field_types(type(message))
    errors: list[QuetzalrudderError] = []
    for key, text in section.items():
        place = f"{file} [{section.name}] {key}"
        if key not in types:
            errors.append(InvalidSettings("unknown setting", place=place))
            continue
        try:
            setattr(message, key, _convert(text, types[key], place))
        except InvalidSettings as exc:
            errors.append(exc)
    return message, errors


def check_values(settings: BranchSettings | DaemonSettings, place: str) -> list[QuetzalrudderError]:
    """Check every value of a message, and return every error found."""
    errors: list[QuetzalrudderError] = []
    for field in dataclasses.fields(settings):
        try:
            check_value(field.name, getattr(settings, field.name), f"{place} {field.name}")
        except InvalidSettings as exc:
            errors.append(exc)
    return errors
