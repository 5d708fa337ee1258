"""Database of a target stand-in: in-memory SQLite with a replicated log."""

import hashlib
import sqlite3
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

from result import Err, Ok, Result

from quetzalrudder.exceptions import RequestCancelled, RequestChanged, StatementFailed, to_failure
from quetzalrudder.schema.common import Position, Row, Rows, TermStart
from quetzalrudder.schema.standin import Change, LogEntry
from quetzalrudder.schema.target import Outcome
from quetzalrudder.utils import from_value, to_value

REQUESTS_TABLE = """
CREATE TABLE IF NOT EXISTS quetzalrudder_requests (
    request_key TEXT PRIMARY KEY,
    fingerprint TEXT NOT NULL,
    outcome BLOB NOT NULL,
    recorded_ms INTEGER NOT NULL
)
"""
REQUESTS_INDEX = """
CREATE INDEX IF NOT EXISTS quetzalrudder_requests_by_age ON quetzalrudder_requests (recorded_ms)
"""
RECORD_OUTCOME = "INSERT INTO quetzalrudder_requests VALUES (?, ?, ?, ?)"
DELETE_OLD_OUTCOMES = "DELETE FROM quetzalrudder_requests WHERE recorded_ms < ?"
FIND_OUTCOME = "SELECT fingerprint, outcome FROM quetzalrudder_requests WHERE request_key = ?"
OUTCOME_RETENTION_MS = 3_600_000
MAX_CLOCK_SKEW_MS = 60_000
MS_PER_S = 1000


def fingerprint(changes: Iterable[Change]) -> str:
    """Return a digest of the statements, to detect a request id reused for another request."""
    digest = hashlib.sha256()
    for change in changes:
        digest.update(bytes(change))
    return digest.hexdigest()


def _terms_with_last_index(starts: list[TermStart], last_index: int) -> list[tuple[TermStart, int]]:
    """Pair the start of each term with the last index of the term."""
    ends = [start.first_index - 1 for start in starts[1:]] + [last_index]
    return list(zip(starts, ends, strict=False))


def run_sql(db: sqlite3.Connection, change: Change) -> Rows:
    """Run one statement and return its rows."""
    cursor = db.execute(change.sql, [from_value(param) for param in change.params])
    columns = [column[0] for column in cursor.description or []]
    rows = [Row(values=[to_value(value) for value in row]) for row in cursor.fetchall()]
    return Rows(columns=columns, rows=rows, changed=max(0, cursor.rowcount))


def _new_database() -> sqlite3.Connection:
    db = sqlite3.connect(":memory:", isolation_level=None)
    db.execute(REQUESTS_TABLE)
    db.execute(REQUESTS_INDEX)
    return db


class Database:
    """A log and two copies of the data: one for reads, one for the open transaction.

    Every applied entry runs on both copies, so that a rollback affects only the copy of
    the transaction.

    Parameters
    ----------
    wall : Callable
        Returns the time in seconds since the Unix epoch, which is recorded with each outcome.
    outcome_retention_ms : int
        Age at which recorded outcomes are deleted, in milliseconds.
    """

    def __init__(
        self,
        wall: Callable[[], float] = time.time,
        outcome_retention_ms: int = OUTCOME_RETENTION_MS,
    ) -> None:
        self.outcome_retention_ms = outcome_retention_ms
        self._wall = wall
        self.entries: list[LogEntry] = []
        self.applied_index = 0
        self._visible = _new_database()
        self._working = _new_database()

    @property
    def received(self) -> Position:
        """Position of the last entry in the log."""
        return self.position_at(len(self.entries))

    @property
    def applied(self) -> Position:
        """Position of the last entry that is visible to reads."""
        return self.position_at(self.applied_index)

    def position_at(self, index: int) -> Position:
        """Return the position of an entry; index 0 is before the first entry."""
        if index == 0:
            return Position()
        return Position(term=self.entries[index - 1].term, index=index)

    def contains(self, position: Position) -> bool:
        """Return whether the log contains an entry of this index and term."""
        if position.index > len(self.entries):
            return False
        return self.position_at(position.index).term == position.term

    def term_starts(self) -> list[TermStart]:
        """Return the first index of each term in the log."""
        starts: list[TermStart] = []
        for entry in self.entries:
            if not starts or starts[-1].term != entry.term:
                starts.append(TermStart(term=entry.term, first_index=entry.index))
        return starts

    def common_index(self, last: Position, starts: Iterable[TermStart]) -> int:
        """Return the last index up to which a follower's log agrees with this one.

        Two logs that have an entry of the same term and index agree up to that entry. They
        therefore agree in all leading terms that start at the same index in both logs; in
        the last of these terms, they agree up to the lower of the two indexes where it ends.

        Parameters
        ----------
        last : Position
            End of the follower's log.
        starts : Iterable of TermStart
            First index of each term in the follower's log.
        """
        follower_terms = _terms_with_last_index(list(starts), last.index)
        local_terms = _terms_with_last_index(self.term_starts(), len(self.entries))
        common = 0
        for (start, end), (follower_start, follower_end) in zip(
            local_terms, follower_terms, strict=False
        ):
            if start != follower_start:
                break
            common = min(end, follower_end)
            if end != follower_end:
                break
        return common

    def read(self, change: Change) -> Result[Rows, StatementFailed]:
        """Run a read-only statement."""
        self._visible.execute("PRAGMA query_only = ON")
        try:
            return Ok(run_sql(self._visible, change))
        except (sqlite3.Error, ValueError, OverflowError) as exc:
            return Err(StatementFailed(str(exc)))
        finally:
            self._visible.execute("PRAGMA query_only = OFF")

    def outcome(self, request_key: str) -> Outcome | None:
        """Return the recorded outcome of a request, or None."""
        row = self._visible.execute(FIND_OUTCOME, [request_key]).fetchone()
        return Outcome.parse(row[1]) if row else None

    def recorded_outcome(
        self, request_key: str, changes: list[Change]
    ) -> Result[Outcome | None, RequestChanged]:
        """Return the recorded outcome of a request, whose statements must be the same."""
        row = self._visible.execute(FIND_OUTCOME, [request_key]).fetchone()
        if row is None:
            return Ok(None)
        outcome = Outcome.parse(row[1])
        if outcome.failure is None and row[0] != fingerprint(changes):
            return Err(
                RequestChanged("the request id was used for a request with other statements")
            )
        return Ok(outcome)

    def retains_outcome(self, age_ms: int) -> bool:
        """Return whether an outcome that was recorded this long ago is certainly still stored."""
        return age_ms < self.outcome_retention_ms - MAX_CLOCK_SKEW_MS

    def record_not_run(self, term: int, request_key: str) -> Outcome:
        """Record a request as not run, so that it cannot run later."""
        position = Position(term=term, index=len(self.entries) + 1)
        cancelled = RequestCancelled("the request was reported as not run")
        outcome = Outcome(found=True, position=position, failure=to_failure(cancelled))
        self.begin()
        self._commit_entry(position, [], self._outcome_changes(request_key, "", outcome))
        return outcome

    def _outcome_changes(self, request_key: str, digest: str, outcome: Outcome) -> list[Change]:
        now_ms = int(self._wall() * MS_PER_S)
        params = [request_key, digest, bytes(outcome), now_ms]
        cutoff = [to_value(now_ms - self.outcome_retention_ms)]
        return [
            Change(sql=DELETE_OLD_OUTCOMES, params=cutoff),
            Change(sql=RECORD_OUTCOME, params=[to_value(p) for p in params]),
        ]

    def begin(self) -> None:
        """Open a transaction on the working copy."""
        self._working.execute("BEGIN")

    def run_in_transaction(
        self, change: Change, *, write: bool = True
    ) -> Result[Rows, StatementFailed]:
        """Run a statement on the working copy."""
        self._working.execute(f"PRAGMA query_only = {'OFF' if write else 'ON'}")
        try:
            return Ok(run_sql(self._working, change))
        except (sqlite3.Error, ValueError, OverflowError) as exc:
            return Err(StatementFailed(str(exc)))
        finally:
            self._working.execute("PRAGMA query_only = OFF")

    def rollback(self) -> None:
        """Roll back the open transaction, if there is one."""
        if self._working.in_transaction:
            self._working.execute("ROLLBACK")

    def commit(self, term: int, changes: list[Change], request_key: str, rows: Rows) -> Position:
        """Commit the open transaction with its outcome, append it to the log and apply it."""
        position = Position(term=term, index=len(self.entries) + 1)
        outcome = Outcome(found=True, position=position, rows=rows)
        digest = fingerprint(changes)
        records = self._outcome_changes(request_key, digest, outcome) if request_key else []
        self._commit_entry(position, changes, records)
        return position

    def _commit_entry(
        self, position: Position, changes: list[Change], records: list[Change]
    ) -> None:
        for record in records:
            run_sql(self._working, record)
        self._working.execute("COMMIT")
        logged = [*changes, *records]
        self.entries.append(LogEntry(term=position.term, index=position.index, changes=logged))
        self._run_entry(self._visible, self.entries[-1])
        self.applied_index = position.index

    def append_term_start(self, term: int) -> None:
        """Append an empty entry that marks the start of a term."""
        index = len(self.entries) + 1
        self.entries.append(LogEntry(term=term, index=index))
        self.applied_index = index

    def receive(self, entry: LogEntry) -> None:
        """Append an entry received from the primary, without applying it."""
        self.entries.append(entry)

    def apply_next(self) -> None:
        """Apply the next received entry."""
        entry = self.entries[self.applied_index]
        for db in (self._visible, self._working):
            with _transaction(db):
                self._run_entry(db, entry)
        self.applied_index += 1

    def apply_all(self) -> None:
        """Apply every received entry."""
        while self.applied_index < len(self.entries):
            self.apply_next()

    def _run_entry(self, db: sqlite3.Connection, entry: LogEntry) -> None:
        for change in entry.changes:
            run_sql(db, change)

    def truncate(self, keep_index: int) -> None:
        """Drop the entries after an index, and rebuild the data if they were applied."""
        if keep_index >= len(self.entries):
            return
        self.entries = self.entries[:keep_index]
        if self.applied_index <= keep_index:
            return
        applied_index = min(self.applied_index, keep_index)
        self._visible = _new_database()
        self._working = _new_database()
        self.applied_index = 0
        while self.applied_index < applied_index:
            self.apply_next()


@contextmanager
def _transaction(db: sqlite3.Connection) -> Iterator[None]:
    db.execute("BEGIN")
    yield
    db.execute("COMMIT")
