"""Findings of a run, from what its clients and databases saw."""

from collections import Counter, defaultdict
from itertools import pairwise

from soak.clients import Request
from soak.fleet import GRACE_S, LIMITED, Fleet, Run

__all__ = ["Checker"]

# Codes which say that nothing of a request was kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"}
# A process may end a connection this long after a request that it has not read.
LOSS_SLACK_S = 0.5
CONVERGENCE_S = 3.0
# The rule of rates: its window, and what may be exceeded.
QUOTA_WINDOW_S, QUOTA_EXCESS, QUOTA_MARGIN = 5.0, 0.1, 20.0
TOLD = ("session ended by an unexpected error", "statement left unanswered", '"stopped"')


class Checker:
    """Looks for broken rules in a run that is over."""

    def __init__(self, fleet: Fleet, requests: list[Request]) -> None:
        self._fleet, self._requests = fleet, requests
        # Unanswered requests that a database was still running at the end of a grace period.
        self.excused_count = 0
        self._runs: dict[str, list[Run]] = defaultdict(list)
        for run in fleet.runs:
            self._runs[run.request_id].append(run)
        databases = fleet.platform.group.databases.values()
        primary = max((d for d in databases if d.primary), key=lambda each: each.term)
        self._kept = Counter(data for _, _, data in primary.log)
        self.findings = [f"end of a process: {text}" for text in fleet.faults]
        for req in requests:
            if req.text != "CONNECT":
                self._check_answer(req)
            self._check_config(req)
        self._check_limit()

    def _report(self, rule: str, req: Request) -> None:
        lines = [rule, f"client: {req}", *(f"database: {r}" for r in self._runs[req.request_id])]
        stop_at = self._fleet.stops.get((req.edge, req.incarnation), float("nan"))
        sent_s, ended_s = req.sent_at - stop_at, req.ended_at - stop_at
        lines.append(f"sent {sent_s:+.2f} s and ended {ended_s:+.2f} s to SIGTERM")
        for edge in self._fleet.edges:
            told = TOLD if edge.name == req.edge else ()
            for line in edge.log().splitlines():
                if any(text in line for text in (f'"{req.request_id}"', *told)):
                    lines.append(f"{edge.name}: {line}")
        self.findings.append("\n  ".join(lines))

    def _check_answer(self, req: Request) -> None:
        """Check a request's answer, and that it has one."""
        kept = [self._kept[data] for data in req.data]
        is_write = req.text.startswith(("PUT ", "EXEC w ")) and not req.in_transaction
        if not req.is_answered:
            self._check_unanswered(req)
        elif req.code in PROMISES and any(kept):
            self._report("refused, but kept", req)
        elif not req.code and (is_write or req.text == "COMMIT") and not all(kept):
            self._report("acknowledged, but not kept", req)
        if any(count > 1 for count in kept):
            self._report("kept twice", req)

    def _check_unanswered(self, req: Request) -> None:
        runs = self._runs[req.request_id]
        if not runs and req.ended_at - req.sent_at <= LOSS_SLACK_S:
            return
        stop_at = self._fleet.stops.get((req.edge, req.incarnation))
        if stop_at is not None and req.sent_at <= stop_at + GRACE_S / 2:
            last_part_at = stop_at + GRACE_S * 5 / 6
            if any(run.ended_at is None or run.ended_at >= last_part_at for run in runs):
                self.excused_count += 1
                return
        self._report("no answer, run by a database" if runs else "no answer, not run", req)

    def _configs_in_force(self, since: float, until: float) -> list[dict]:
        stored = [*self._fleet.configs, (float("inf"), {})]
        return [
            cfg for (at, cfg), (next_at, _) in pairwise(stored) if at <= until and next_at > since
        ]

    def _known_since(self, since: float, edge: str | None = None) -> float:
        """Return since when a configuration may be in force, given a time without store faults.

        Without a process, that of the process for which the store failed longest.
        """
        for begun_at, ended_at, names in reversed(self._fleet.store_faults):
            if ended_at >= since and (edge is None or edge in names):
                since = min(since, begun_at - CONVERGENCE_S)
        return since

    def _allowed(self, req: Request, since: float) -> set[bool]:
        return {
            any(req.database == route["host"] for route in config["routes"])
            and any(req.key in tenant["apiKeys"] for tenant in config["tenants"])
            for config in self._configs_in_force(since, req.ended_at)
        }

    def _check_config(self, req: Request) -> None:
        """Check that a version which may be in force allows what happened.

        Where the store fails, an older version may go on to be served, but is no reason to
        refuse a caller for good.
        """
        since = req.sent_at - CONVERGENCE_S
        known_since = self._known_since(since, req.edge)
        if req.code in ("NODB", "NOAUTH") and self._allowed(req, since) == {True}:
            is_outdated = known_since < since
            reason = "from an outdated view" if is_outdated else "as by an older configuration"
            self._report(f"refused {reason}", req)
        is_accepted = req.is_answered and not req.code
        # A transaction may go on with the route that it began with.
        if is_accepted and not req.in_transaction and self._allowed(req, known_since) == {False}:
            self._report("accepted as by an older configuration", req)

    def _check_limit(self) -> None:
        """Check the rate of the workspace whose limit changes, by its single statements."""
        ids = {
            run.request_id
            for run in self._fleet.runs
            if run.workspace == LIMITED and not run.in_transaction
        }
        times = [req.sent_at for req in self._requests if req.request_id in ids]
        for since in times:
            until = since + QUOTA_WINDOW_S
            # A lower limit binds one window after it has converged.
            known_since = self._known_since(since - CONVERGENCE_S - QUOTA_WINDOW_S)
            configs = self._configs_in_force(known_since, until)
            rate = max(config["tenants"][1]["ratePerS"] for config in configs)
            most = rate * (QUOTA_WINDOW_S + 1) * (1 + QUOTA_EXCESS) + QUOTA_MARGIN
            count = sum(since <= at <= until for at in times)
            if count > most:
                self.findings.append(f"limit: {count} requests in a window, {most:.0f} allowed")
                return
