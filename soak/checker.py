"""Findings of a run, from what its clients and databases saw."""

import json
from collections import Counter, defaultdict
from dataclasses import dataclass

from soak.clients import Request
from soak.events import LIMITED
from soak.fleet import GRACE_S, Fleet, Run

__all__ = ["Finding", "find_faults"]

# Codes which say that nothing of a request was kept.
PROMISES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"}
# A process may end a connection this long after a request that it has not read.
LOSS_SLACK_S = 0.5
CONVERGENCE_S = 3.0
# Rule of the rate limits: window, and what may be exceeded.
QUOTA_WINDOW_S, QUOTA_EXCESS, QUOTA_MARGIN = 5.0, 0.1, 20.0
TOLD_LOGS = ("session ended by an unexpected error", "statement left unanswered")


@dataclass(frozen=True)
class Finding:
    """A broken rule, with what client, databases and process say of the request."""

    rule: str
    detail: str


class _Checker:
    def __init__(self, fleet: Fleet, requests: list[Request]) -> None:
        self._fleet = fleet
        self._requests = requests
        self._runs: dict[str, list[Run]] = defaultdict(list)
        for run in fleet.runs:
            self._runs[run.request_id].append(run)
        primary = max(
            (d for d in fleet.platform.group.databases.values() if d.primary),
            key=lambda database: database.term,
        )
        self._kept = Counter(data for _, _, data in primary.log)
        self._stops = {(stop.edge, stop.incarnation): stop.sent_at for stop in fleet.stops}
        self.findings = [Finding("end of a process", text) for text in fleet.faults]

    def _report(self, rule: str, req: Request) -> None:
        stop_at = self._stops.get((req.edge, req.incarnation))
        lines = [f"client: {req}"]
        if stop_at is not None:
            ended_s = (req.ended_at or 0) - stop_at
            lines.append(f"sent {req.sent_at - stop_at:+.2f} s, ended {ended_s:+.2f} s to SIGTERM")
        lines += [f"database: {run}" for run in self._runs[req.request_id]]
        for edge in self._fleet.edges:
            log = edge.process.settings.parent / "log"
            for line in log.read_text(encoding="utf-8").splitlines():
                told = edge.name == req.edge and any(text in line for text in TOLD_LOGS)
                unanswered = '"stopped"' in line and json.loads(line).get("unanswered_count")
                if f'"{req.request_id}"' in line or told or unanswered:
                    lines.append(f"{edge.name}: {line}")
        self.findings.append(Finding(rule, "\n  ".join(lines)))

    def check(self, req: Request) -> None:
        """Check what the client of a request was told."""
        if not req.is_greeting and not req.is_answered:
            self._check_unanswered(req)
        elif req.code in PROMISES and any(self._kept[data] for data in req.data):
            self._report("refused, but kept", req)
        elif self._is_acknowledged_write(req) and not all(self._kept[data] for data in req.data):
            self._report("acknowledged, but not kept", req)
        if req.data and any(self._kept[data] > 1 for data in req.data):
            self._report("kept twice", req)
        if req.is_answered:
            self._check_config(req)

    def _is_acknowledged_write(self, req: Request) -> bool:
        if req.code or not req.is_answered:
            return False
        return req.text == "COMMIT" or (not req.in_transaction and bool(req.data))

    def _check_unanswered(self, req: Request) -> None:
        runs = self._runs[req.request_id]
        took_s = req.ended_at - req.sent_at
        if not runs and took_s <= LOSS_SLACK_S:
            return
        stop_at = self._stops.get((req.edge, req.incarnation))
        if stop_at is not None and req.sent_at <= stop_at + GRACE_S / 2:
            last_part_at = stop_at + GRACE_S * 5 / 6
            if any(r.ended_at is None or r.ended_at >= last_part_at for r in runs):
                return
        self._report("no answer, run by a database" if runs else "no answer, not run", req)

    def _check_config(self, req: Request) -> None:
        """Check that a request is handled as a version allows that may be in force."""
        if req.in_transaction:
            return
        configs = self._fleet.configs
        oldest = max(
            (n for n, (at, _) in enumerate(configs) if at <= req.sent_at - CONVERGENCE_S),
            default=0,
        )
        allowed = {
            req.database in {route["host"] for route in config["routes"]}
            and any(req.key in tenant["apiKeys"] for tenant in config["tenants"])
            for at, config in configs[oldest:]
            if at <= req.ended_at
        }
        if allowed == {True} and req.code in ("NODB", "NOAUTH"):
            self._report("refused as by an older configuration", req)
        if allowed == {False} and not req.code:
            self._report("accepted as by an older configuration", req)

    def check_limit(self) -> None:
        """Check the rate of the workspace whose limit changes."""
        sent_at = {req.request_id: req.sent_at for req in self._requests}
        ids = {r.request_id for r in self._fleet.runs if r.workspace == LIMITED and r.answer}
        times = sorted(sent_at[request_id] for request_id in ids)
        for position, first_at in enumerate(times):
            # A lower limit binds one window after it has converged.
            settled_at = first_at - CONVERGENCE_S - QUOTA_WINDOW_S
            rates = [
                config["tenants"][1]["ratePerS"]
                for number, (at, config) in enumerate(self._fleet.configs)
                if at <= first_at + QUOTA_WINDOW_S
                and (
                    number + 1 == len(self._fleet.configs)
                    or self._fleet.configs[number + 1][0] > settled_at
                )
            ]
            most = max(rates) * (QUOTA_WINDOW_S + 1) * (1 + QUOTA_EXCESS) + QUOTA_MARGIN
            count = sum(at <= first_at + QUOTA_WINDOW_S for at in times[position:])
            if count > most:
                detail = f"{count} requests from {first_at:.2f}, at most {most:.0f} are allowed"
                self.findings.append(Finding("limit exceeded", detail))
                return


def find_faults(fleet: Fleet, requests: list[Request]) -> list[Finding]:
    """Return what broke a rule in a run that is over."""
    checker = _Checker(fleet, requests)
    for req in requests:
        checker.check(req)
    checker.check_limit()
    return checker.findings
