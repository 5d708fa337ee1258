"""quetzalrudder: a database proxy with session consistency.

Examples
--------
>>> import quetzalrudder
>>> answer = quetzalrudder.read(  # doctest: +SKIP
...     "127.0.0.1:7001", "steppe/comparables", "SELECT 1", workspace="steppe/almaty", key=key
... )
"""

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from quetzalrudder.api import read, write
    from quetzalrudder.exceptions import QuetzalrudderError
    from quetzalrudder.session_transactions import Transaction
    from quetzalrudder.sessions import QueryResult, Session

__all__ = ["QueryResult", "QuetzalrudderError", "Session", "Transaction", "read", "write"]

# The client is loaded on first use: a gateway's start-up does not need it.
MODULE_BY_NAME = {
    "QueryResult": "sessions",
    "QuetzalrudderError": "exceptions",
    "Session": "sessions",
    "Transaction": "session_transactions",
    "read": "api",
    "write": "api",
}


def __getattr__(name: str) -> Any:
    """Load a public name from its module."""
    module = MODULE_BY_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)


def __dir__() -> list[str]:
    """Return the public names."""
    return sorted({*globals(), *__all__})
