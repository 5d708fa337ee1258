"""quetzalrudder: a database proxy with session consistency.

Examples
--------
>>> import quetzalrudder
>>> answer = quetzalrudder.read(  # doctest: +SKIP
...     "127.0.0.1:7001", "steppe/comparables", "SELECT 1", workspace="steppe/almaty", key=key
... )
"""

from quetzalrudder.api import read, write
from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.session_transactions import Transaction
from quetzalrudder.sessions import QueryResult, Session

__all__ = ["QueryResult", "QuetzalrudderError", "Session", "Transaction", "read", "write"]
