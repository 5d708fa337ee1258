"""Transactions of a session."""

import uuid
from typing import TYPE_CHECKING

from quetzalrudder.exceptions import (
    KeyWithdrawn,
    QuetzalrudderError,
    StatementFailed,
    TransactionAborted,
)
from quetzalrudder.schema.caller import Access, Begin, CallerFrame, Commit, Rollback, Statement
from quetzalrudder.schema.common import Ending
from quetzalrudder.utils import MS_PER_S, SqlValue, to_value

if TYPE_CHECKING:
    from quetzalrudder.query_results import QueryResult
    from quetzalrudder.sessions import Session

__all__ = ["Transaction"]


class Transaction:
    """Statements that take effect together or not at all.

    Created by :meth:`Session.transaction`. Leaving the ``with`` block commits; an
    exception in the block rolls back. When the instance or the connection is lost
    before the commit, the next statement raises ``TransactionAborted``.

    Parameters
    ----------
    session : Session
        Session through which the transaction runs.
    route : str
        Path of the route.
    request_id : str
        Id of the commit, which takes effect at most once.
    """

    def __init__(self, session: "Session", route: str, request_id: str) -> None:
        self._session = session
        self._route = route
        self.request_id = request_id
        self._transaction_id = ""
        self._ended = False
        # Result of the commit; None until it is known.
        self.result: QueryResult | None = None

    def __enter__(self) -> "Transaction":
        begin = Begin(route=self._route, token=self._session.token)
        reply = self._session.send(CallerFrame(request_id=uuid.uuid4().hex, begin=begin))
        self._transaction_id = reply.answer.transaction_id
        self._adapter = reply.adapter
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._ended:
            return
        if exc_info[0] is None:
            self.commit()
        else:
            self.rollback()

    def read(self, sql: str, *params: SqlValue) -> "QueryResult":
        """Run a statement that reads data, including the transaction's own writes.

        Raises
        ------
        TransactionAborted, KeyWithdrawn
            The transaction has been rolled back.
        QuetzalrudderError
            The statement failed; the transaction stays open.
        """
        return self._run(Access.READ, sql, params)

    def write(self, sql: str, *params: SqlValue) -> "QueryResult":
        """Run a statement whose changes take effect when the transaction commits.

        Raises
        ------
        TransactionAborted, KeyWithdrawn
            The transaction has been rolled back.
        QuetzalrudderError
            The statement failed; the transaction stays open.
        """
        return self._run(Access.WRITE, sql, params)

    def _run(self, access: Access, sql: str, params: tuple[SqlValue, ...]) -> "QueryResult":
        session = self._session
        self._check_open()
        stmt = Statement(
            sql=sql,
            params=[to_value(param) for param in params],
            access=access,
            token=session.token,
            deadline_ms=int(session.timeout_s * MS_PER_S),
            transaction_id=self._transaction_id,
        )
        frame = CallerFrame(request_id=uuid.uuid4().hex, statement=stmt)
        try:
            return session.send_once(self._adapter, frame)
        except (StatementFailed, KeyWithdrawn):
            raise
        except QuetzalrudderError as exc:
            if exc.ending is Ending.NOT_RUN and not self._adapter.broken:
                raise
            self._ended = True
            self._adapter.close()
            raise TransactionAborted(exc.message, place=exc.place, retry_after_ms=1) from exc

    def _check_open(self) -> None:
        failure = self._adapter.closing_failure() if self._adapter.broken else None
        if isinstance(failure, KeyWithdrawn):
            raise failure
        if self._ended or self._adapter.broken:
            raise TransactionAborted(
                "the transaction has ended or lost its connection", place=self._transaction_id
            )

    def commit(self) -> "QueryResult":
        """Commit, at most once for the transaction's request id.

        Raises
        ------
        QuetzalrudderError
            ``ending`` says whether the transaction took effect.
        """
        self._check_open()
        self._ended = True
        commit = Commit(
            transaction_id=self._transaction_id, token=self._session.token, route=self._route
        )
        frame = CallerFrame(request_id=self.request_id, commit=commit)
        self.result = self._session.send(frame, first_adapter=self._adapter).result
        return self.result

    def rollback(self) -> None:
        """Roll back, so that none of the transaction's changes take effect."""
        if self._ended or self._adapter.broken:
            return
        self._ended = True
        rollback = Rollback(transaction_id=self._transaction_id)
        frame = CallerFrame(request_id=uuid.uuid4().hex, rollback=rollback)
        try:
            self._session.send_once(self._adapter, frame)
        except QuetzalrudderError as exc:
            if exc.ending is Ending.UNKNOWN:
                self._adapter.close()
