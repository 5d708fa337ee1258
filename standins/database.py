"""The database behind a target stand-in: in-memory sqlite3 with a replicated log."""

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
CLOCK_SKEW_MS = 60_000
MS_PER_S = 1000


def fingerprint(changes: Iterable[Change]) -> str:
    """Digest statements, to recognise a request id that is used for another request."""
    digest = hashlib.sha256()
    for change in changes:
        digest.update(bytes(change))
    return digest.hexdigest()


def _term_ends(starts: list[TermStart], last_index: int) -> list[tuple[TermStart, int]]:
    """Pair each start of a term with the last index of that term."""
    ends = [start.first_index - 1 for start in starts[1:]] + [last_index]
    return list(zip(starts, ends, strict=False))


def run_sql(db: sqlite3.Connection, change: Change) -> Rows:
    """Run one statement and give its rows."""
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
    """A log, and two copies of the data: one that reads see, one for open transactions.

    Every entry that is applied is run on both, so that a rolled-back transaction
    touches only its own copy.

    Parameters
    ----------
    wall : Callable
        Gives the time in seconds since the Unix epoch; outcomes are dated by it.
    outcome_retention_ms : int
        Outcomes older than this are forgotten, in milliseconds.
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
        """Position of the last entry that reads see."""
        return self.position_at(self.applied_index)

    def position_at(self, index: int) -> Position:
        """Give the position of an entry; index 0 is before the first one."""
        if index == 0:
            return Position()
        return Position(term=self.entries[index - 1].term, index=index)

    def contains(self, position: Position) -> bool:
        """Tell whether the log has this position in the same term."""
        if position.index > len(self.entries):
            return False
        return self.position_at(position.index).term == position.term

    def term_starts(self) -> list[TermStart]:
        """Give the first index of each term in the log."""
        starts: list[TermStart] = []
        for entry in self.entries:
            if not starts or starts[-1].term != entry.term:
                starts.append(TermStart(term=entry.term, first_index=entry.index))
        return starts

    def common_index(self, last: Position, starts: Iterable[TermStart]) -> int:
        """Give how much of a follower's log is in this one.

        Two logs agree up to an entry of the same term and index, so they agree as far
        as the same terms start at the same indexes, and end with the shorter last one.

        Parameters
        ----------
        last : Position
            End of the follower's log.
        starts : Iterable of TermStart
            Where each term starts in the follower's log.
        """
        theirs = _term_ends(list(starts), last.index)
        own = _term_ends(self.term_starts(), len(self.entries))
        keep = 0
        for (start, end), (other_start, other_end) in zip(own, theirs, strict=False):
            if start != other_start:
                break
            keep = min(end, other_end)
            if end != other_end:
                break
        return keep

    def read(self, change: Change) -> Result[Rows, StatementFailed]:
        """Run a statement that may change nothing."""
        self._visible.execute("PRAGMA query_only = ON")
        try:
            return Ok(run_sql(self._visible, change))
        except (sqlite3.Error, ValueError, OverflowError) as exc:
            return Err(StatementFailed(str(exc)))
        finally:
            self._visible.execute("PRAGMA query_only = OFF")

    def outcome(self, request_key: str) -> Outcome | None:
        """Find the recorded outcome of a request."""
        row = self._visible.execute(FIND_OUTCOME, [request_key]).fetchone()
        return Outcome.parse(row[1]) if row else None

    def recorded_outcome(
        self, request_key: str, changes: list[Change]
    ) -> Result[Outcome | None, RequestChanged]:
        """Find the recorded outcome of a request, which must have had the same statements."""
        row = self._visible.execute(FIND_OUTCOME, [request_key]).fetchone()
        if row is None:
            return Ok(None)
        outcome = Outcome.parse(row[1])
        if outcome.failure is None and row[0] != fingerprint(changes):
            return Err(RequestChanged("the request id was used for another statement"))
        return Ok(outcome)

    def retains_outcome(self, ago_ms: int) -> bool:
        """Tell whether an outcome recorded that long ago would still be found."""
        return ago_ms < self.outcome_retention_ms - CLOCK_SKEW_MS

    def record_not_run(self, term: int, request_key: str) -> Outcome:
        """Append a record that a request has not run, so that it never runs."""
        position = Position(term=term, index=len(self.entries) + 1)
        refusal = RequestCancelled("the request was told as not run")
        outcome = Outcome(found=True, position=position, failure=to_failure(refusal))
        self.begin()
        self._finish(position, [], self._records(request_key, "", outcome))
        return outcome

    def _records(self, request_key: str, digest: str, outcome: Outcome) -> list[Change]:
        now_ms = int(self._wall() * MS_PER_S)
        params = [request_key, digest, bytes(outcome), now_ms]
        forget = [to_value(now_ms - self.outcome_retention_ms)]
        return [
            Change(sql=DELETE_OLD_OUTCOMES, params=forget),
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
        """Undo the open transaction."""
        if self._working.in_transaction:
            self._working.execute("ROLLBACK")

    def commit(self, term: int, changes: list[Change], request_key: str, rows: Rows) -> Position:
        """Commit the open transaction with its outcome, append it and make it visible."""
        position = Position(term=term, index=len(self.entries) + 1)
        outcome = Outcome(found=True, position=position, rows=rows)
        digest = fingerprint(changes)
        records = self._records(request_key, digest, outcome) if request_key else []
        self._finish(position, changes, records)
        return position

    def _finish(self, position: Position, changes: list[Change], records: list[Change]) -> None:
        for record in records:
            run_sql(self._working, record)
        self._working.execute("COMMIT")
        logged = [*changes, *records]
        self.entries.append(LogEntry(term=position.term, index=position.index, changes=logged))
        self._run_entry(self._visible, self.entries[-1])
        self.applied_index = position.index

    def append_term_start(self, term: int) -> None:
        """Append an entry that only marks the start of a term."""
        index = len(self.entries) + 1
        self.entries.append(LogEntry(term=term, index=index))
        self.applied_index = index

    def receive(self, entry: LogEntry) -> None:
        """Append an entry from the primary; it is applied later."""
        self.entries.append(entry)

    def apply_next(self) -> None:
        """Make the next received entry visible."""
        entry = self.entries[self.applied_index]
        for db in (self._visible, self._working):
            with _transaction(db):
                self._run_entry(db, entry)
        self.applied_index += 1

    def apply_all(self) -> None:
        """Make every received entry visible."""
        while self.applied_index < len(self.entries):
            self.apply_next()

    def _run_entry(self, db: sqlite3.Connection, entry: LogEntry) -> None:
        for change in entry.changes:
            run_sql(db, change)

    def truncate(self, keep_index: int) -> None:
        """Drop the log behind an index, and the data that came of it."""
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
