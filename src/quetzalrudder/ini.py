"""INI files read into messages of the schema, with every error named."""

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
# Least and most value of a setting; for those not named, 0 and DEFAULT_MAX_VALUE.
VALUE_RANGES: dict[str, tuple[float, float]] = {
    "deadline_ms": (1, 3_600_000),
    "weight": (0.001, 1000),
    "replica_wait_ms": (0, 60_000),
    "max_tasks": (1, 100_000),
    "drain_s": (0, 3600),
}
BOOLEAN_VALUES = {"true": True, "yes": True, "on": True, "false": False, "no": False, "off": False}


class SettingsErrors(InvalidSettings):
    """Every error of a settings file, each with its file, section and key."""

    def __init__(self, errors: Iterable[QuetzalrudderError]) -> None:
        self.errors = list(errors)
        super().__init__("; ".join(str(error) for error in self.errors))


def _parser() -> configparser.ConfigParser:
    return configparser.ConfigParser(
        interpolation=None, default_section="", strict=True, empty_lines_in_values=False
    )


def read_ini(text: str, file: str) -> configparser.ConfigParser:
    """Read INI text.

    Raises
    ------
    InvalidSettings
        The text is no INI file, or a section or key stands twice.
    """
    parser = _parser()
    try:
        parser.read_string(text, source=file)
    except configparser.Error as exc:
        raise InvalidSettings(str(exc).replace("\n", " "), place=file) from exc
    return parser


def _convert(text: str, kind: type, place: str) -> object:
    text = text.strip()
    if kind is bool:
        if text.lower() not in BOOLEAN_VALUES:
            raise InvalidSettings(f"not true or false: {text!r}", place=place)
        return BOOLEAN_VALUES[text.lower()]
    if kind is str:
        return text
    try:
        number = kind(text)
    except ValueError:
        word = "a whole number" if kind is int else "a number"
        raise InvalidSettings(f"not {word}: {text!r}", place=place) from None
    return number


def check_value(key: str, value: object, place: str) -> None:
    """Check one value against the range of its key.

    Raises
    ------
    InvalidSettings
        The value is out of range.
    """
    if isinstance(value, str):
        _check_text(key, value, place)
    elif not isinstance(value, bool) and value is not None:
        least, most = VALUE_RANGES.get(key, (0, DEFAULT_MAX_VALUE))
        if not least <= value <= most:
            raise InvalidSettings(f"out of range {least} to {most}: {value}", place=place)


def _check_text(key: str, value: str, place: str) -> None:
    if key == "key_digests" and not all(DIGEST_PATTERN.fullmatch(part) for part in value.split()):
        raise InvalidSettings("not SHA-256 digests in hexadecimal", place=place)
    if key == "group" and (not value or value != value.strip()):
        raise InvalidSettings("empty, or blanks around it", place=place)


def fill_message(
    message: M, section: configparser.SectionProxy, file: str
) -> tuple[M, list[QuetzalrudderError]]:
    """Set the fields of a message from a section; gives every error found on the way."""
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
    """Check every value of a message against the range of its key."""
    errors: list[QuetzalrudderError] = []
    for field in dataclasses.fields(settings):
        try:
            check_value(field.name, getattr(settings, field.name), f"{place} {field.name}")
        except InvalidSettings as exc:
            errors.append(exc)
    return errors
