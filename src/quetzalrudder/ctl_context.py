"""What the commands of ``quetzalrudderctl`` share: the client, and how results are printed."""

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
    """What a command has to say: lines for a person, data for a script."""

    lines: list[str]
    data: Any


class Context:
    """What every command shares."""

    def __init__(self, control: str, json_output: bool, operator_key_file: str = "") -> None:
        self.control = control
        self.json_output = json_output
        self._operator_key_file = operator_key_file

    def open_client(self, stack: ExitStack, address: str | None = None) -> OperatorClient:
        """Open a client on an exit stack."""
        loop = stack.enter_context(Loop())
        key = read_operator_key(self._operator_key_file)
        where = parse_address(address or self.control)
        return OperatorClient(loop, where, getpass.getuser(), key=key)

    def print_report(self, report: Report) -> None:
        """Print a report as text, or as JSON."""
        if self.json_output:
            print(json.dumps(report.data, default=_jsonable))
            return
        for line in report.lines:
            print(line)


def _jsonable(value: Any) -> Any:
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
        It cannot be read.
    """
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise InvalidSettings(f"cannot be read: {exc}", place=file) from exc
