"""What a session's caller gets for one request."""

from dataclasses import dataclass

from quetzalrudder.schema.caller import Answer
from quetzalrudder.schema.common import Ending, Rows
from quetzalrudder.utils import SqlValue, from_value

__all__ = ["QueryResult", "to_query_result"]


@dataclass(frozen=True)
class QueryResult:
    """The whole answer to one request."""

    columns: list[str]
    rows: list[tuple[SqlValue, ...]]
    # Rows that a write changed.
    changed: int
    # The target that ran the request, and the instance that passed it on.
    target: str
    instance: str
    # True if an earlier run of the same request id gave this outcome.
    repeated: bool
    ending: Ending = Ending.DONE


def to_query_result(answer: Answer, instance: str) -> QueryResult:
    """Read a result from the message that an instance sent."""
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
