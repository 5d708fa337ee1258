"""Functions for single requests, each of which opens and closes a session."""

from quetzalrudder.sessions import QueryResult, Session
from quetzalrudder.utils import SqlValue

__all__ = ["read", "write"]


def read(
    address: str,
    route: str,
    sql: str,
    *params: SqlValue,
    workspace: str = "",
    key: str = "",
    max_age_ms: int = 0,
) -> QueryResult:
    """Run one statement that reads data.

    Parameters
    ----------
    address : str
        ``host:port`` of an instance.
    route : str
        Path of the route.
    sql : str
        The statement, with ``?`` for parameters.
    *params
        Values of the parameters.
    workspace : str
        Workspace of the caller.
    key : str
        Key of the workspace; without one, only open routes can be used.
    max_age_ms : int
        Greatest acceptable age of the data, in milliseconds; 0 uses the route's setting.

    Raises
    ------
    QuetzalrudderError
        The request failed; ``ending`` says whether it ran.

    Examples
    --------
    >>> read("127.0.0.1:7001", "steppe/comparables", "SELECT 1").rows  # doctest: +SKIP
    [(1,)]
    """
    with Session(address, workspace, key) as session:
        return session.read(route, sql, *params, max_age_ms=max_age_ms)


def write(
    address: str,
    route: str,
    sql: str,
    *params: SqlValue,
    workspace: str = "",
    key: str = "",
    request_id: str | None = None,
) -> QueryResult:
    """Run one statement that changes data, at most once for a request id.

    Parameters
    ----------
    address : str
        ``host:port`` of an instance.
    route : str
        Path of the route.
    sql : str
        The statement, with ``?`` for parameters.
    *params
        Values of the parameters.
    workspace : str
        Workspace of the caller.
    key : str
        Key of the workspace; without one, only open routes can be used.
    request_id : str, optional
        Id of the write; a new id is generated if omitted.

    Raises
    ------
    QuetzalrudderError
        The request failed; ``ending`` says whether it ran.
    """
    with Session(address, workspace, key) as session:
        return session.write(route, sql, *params, request_id=request_id)
