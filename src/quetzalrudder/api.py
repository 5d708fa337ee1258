"""One-line calls, each on a session of its own."""

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
    """Run one statement that changes nothing.

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
    workspace, key : str
        Who calls.
    max_age_ms : int
        Oldest acceptable data, in milliseconds; 0 takes the route's setting.

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
    workspace, key : str
        Who calls.
    request_id : str, optional
        Id of the write; a new one if omitted.

    Raises
    ------
    QuetzalrudderError
        The request failed; ``ending`` says whether it ran.
    """
    with Session(address, workspace, key) as session:
        return session.write(route, sql, *params, request_id=request_id)
