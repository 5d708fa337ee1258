"""Naive execution: requests run one after another, directly at one database."""

from quetzalrudder.schema.common import Rows, Value
from quetzalrudder.schema.standin import Change
from quetzalrudder.utils import SqlValue, from_value, to_value
from standins.database import Database


class DirectSession:
    """Returns the results of a session, without instances or replicas."""

    def __init__(self) -> None:
        self._database = Database()
        self._database.append_term_start(1)
        self._outcomes: dict[str, Rows] = {}

    def read(self, sql: str, *params: SqlValue) -> tuple[list[str], list[tuple], int]:
        """Run a statement that only reads."""
        return _to_tuples(self._database.read(_change(sql, params)).unwrap())

    def write(self, sql: str, *params: SqlValue, request_id: str) -> tuple:
        """Run a statement that changes data; a repeated request id returns the first outcome."""
        if request_id not in self._outcomes:
            change = _change(sql, params)
            self._database.begin()
            rows = self._database.run_in_transaction(change).unwrap()
            self._database.commit(1, [change], "", rows)
            self._outcomes[request_id] = rows
        return _to_tuples(self._outcomes[request_id])


def _change(sql: str, params: tuple[SqlValue, ...]) -> Change:
    values: list[Value] = [to_value(param) for param in params]
    return Change(sql=sql, params=values)


def _to_tuples(rows: Rows) -> tuple[list[str], list[tuple], int]:
    tuples = [tuple(from_value(value) for value in row.values) for row in rows.rows]
    return rows.columns, tuples, rows.changed
