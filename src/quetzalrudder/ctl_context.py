"""Common parts of the ``quetzalrudderctl`` commands: the client and the output of results."""

import dataclasses
import getpass
import json
from contextlib import ExitStack
from enum import Enum
from pathlib import Path
from typing import Any

from quetzalrudder.bridge import Loop
from quetzalrudder.exceptions import InvalidSettings
from quetzalrudder.operator_keys import read_operator_key
from quetzalrudder.operators import OperatorClient
from quetzalrudder.utils import parse_address

__all__ = ["Context", "Report", "read_file"]


@dataclasses.dataclass
class Report:
    """Result of a command: lines for a person, data for a script."""

    lines: list[str]
    data: Any


class Context:
    """Options that all commands share, and the client and output that depend on them."""

    def __init__(self, control: str, json_output: bool, operator_key_file: str = "") -> None:
        self.control = control
        self.json_output = json_output
        self._operator_key_file = operator_key_file

    def open_client(self, stack: ExitStack, address: str | None = None) -> OperatorClient:
        """Return a client for the instance at an address; the exit stack closes it."""
        loop = stack.enter_context(Loop())
        key = read_operator_key(self._operator_key_file)
        endpoint = parse_address(address or self.control)
        return OperatorClient(loop, endpoint, getpass.getuser(), key=key)

    def print_report(self, report: Report) -> None:
        """Print a report as text, or as JSON."""
        if self.json_output:
            print(json.dumps(report.data, default=_json_default))
            return
        for line in report.lines:
            print(line)


def _json_default(value: Any) -> Any:
    match value:
        case bytes():
            return value.hex()
        case Enum():
            return value.name.lower()
        case _ if dataclasses.is_dataclass(value):
            return dataclasses.asdict(value)
        case _:
            return str(value)


def read_file(file: str) -> str:
    """Read a text file.

    Raises
    ------
    InvalidSettings
        The file cannot be read.
    """
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise InvalidSettings(f"cannot read the file: {exc}", place=file) from exc
