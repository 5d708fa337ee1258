"""Results of the requests of a session."""

from dataclasses import dataclass

from quetzalrudder.schema.caller import Answer
from quetzalrudder.schema.common import Ending, Rows
from quetzalrudder.utils import SqlValue, from_value

__all__ = ["QueryResult", "to_query_result"]


@dataclass(frozen=True)
class QueryResult:
    """Result of one request."""

    columns: list[str]
    rows: list[tuple[SqlValue, ...]]
    # Number of rows that a write changed.
    changed: int
    # The target that ran the request, and the instance that forwarded it.
    target: str
    instance: str
    # True if the outcome was recorded by an earlier attempt with the same request id.
    repeated: bool
    ending: Ending = Ending.DONE


def to_query_result(answer: Answer, instance: str) -> QueryResult:
    """Convert an instance's answer to a result."""
    rows = answer.rows or Rows()
    return QueryResult(
        columns=rows.columns,
        rows=[tuple(from_value(value) for value in row.values) for row in rows.rows],
        changed=rows.changed,
        target=answer.target,
        instance=instance,
        repeated=answer.repeated_request,
        ending=answer.ending or Ending.DONE,
    )
