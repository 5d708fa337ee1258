"""A naive proxy: any replica for any read, unconditional retries, one cached primary."""

import random

from result import Err, Ok

from quetzalrudder.exceptions import NoPrimary, TargetUnavailable
from quetzalrudder.schema.caller import Access, Answer
from quetzalrudder.schema.common import Ending
from quetzalrudder.schema.target import Begin, Commit, Execute, Role
from quetzalrudder.statements import StatementRunner

ATTEMPTS = 3


class NaiveRunner:
    """Replaces :class:`~quetzalrudder.statements.StatementRunner`."""

    def __init__(self, groups, router, pool, confirmer, clock):
        self._groups = groups
        self._pool = pool
        self._rng = random.Random(1)
        self._primaries = {}
        self.plan = StatementRunner(groups, router, pool, confirmer, clock).plan

    def run(self, plan, stmt):
        """Send a statement to a target, and retry after any failure."""
        write = stmt.access is Access.WRITE
        last_error = TargetUnavailable("no target is known")
        for _ in range(ATTEMPTS):
            view = self._primary(plan.group) if write else self._any(plan.group)
            if view is None:
                return Err(NoPrimary("no primary is known"))
            req = Execute(
                workspace=plan.caller.workspace,
                sql=stmt.sql,
                params=stmt.params,
                write=write,
                term=view.state.term,
            )
            match self._send(plan, view, req):
                case Ok(answer):
                    return Ok(Answer(rows=answer.rows, target=view.info.target))
                case Err(exc):
                    last_error = exc
        last_error.ending = Ending.NOT_RUN
        return Err(last_error)

    def ask_outcome(self, plan, req):
        """Return "not run", because this proxy records no requests."""
        return Ok(Answer(ending=Ending.NOT_RUN))

    def _primary(self, group):
        if group not in self._primaries:
            self._primaries[group] = self._groups.primary(group)
        return self._primaries[group]

    def _any(self, group):
        views = [v for v in self._groups.members(group) if v.reachable and v.state]
        replicas = [v for v in views if v.state.role is Role.REPLICA]
        return self._rng.choice(replicas or views) if views else None

    def _send(self, plan, view, req):
        checkout = self._pool.checkout(view.info, plan.deadline)
        if isinstance(checkout, Err):
            return checkout
        with checkout.ok_value as pooled:
            return pooled.conn.request(req, plan.deadline.remaining_s)


class NaiveTransactions:
    """Replaces :class:`~quetzalrudder.transactions.TransactionRunner` without pinning.

    Each request uses whichever connection is free and returns it to the pool afterwards,
    also after the caller has died.
    """

    def __init__(self, runner, pool, connection_limit, clock, rng):
        self.runner = runner
        self._pool = pool

    def begin(self, plan):
        """Begin a transaction on any connection."""
        view = self.runner._groups.primary(plan.group)
        sent = self._send(plan, view, Begin(workspace=plan.caller.workspace, term=1))
        return sent.map(lambda _: (plan, view))

    def run(self, tx, stmt):
        """Run a statement on any connection."""
        plan, view = tx
        req = Execute(sql=stmt.sql, params=stmt.params, write=True, in_transaction=True)
        return self._send(plan, view, req)

    def commit(self, tx, request_id, commit):
        """Commit a transaction on any connection."""
        plan, view = tx
        return self._send(plan, view, Commit())

    def abandon(self, tx):
        """Do nothing for a transaction whose caller has died."""

    def _send(self, plan, view, req):
        with self._pool.checkout(view.info, plan.deadline).ok_value as pooled:
            return pooled.conn.request(req, plan.deadline.remaining_s)
