"""``quetzalrudderctl settings``: read and change the operators' settings tree."""

import dataclasses
from contextlib import ExitStack
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from quetzalrudder.ctl_context import Context, Report, read_file
from quetzalrudder.exceptions import InvalidSettings
from quetzalrudder.schema.settings import Branch, BranchSettings, Change, Tree
from quetzalrudder.settings import SettingsTree, branches_to_ini, parse_branches, section_name
from quetzalrudder.settings_check import check_branches_together, compare_branches
from quetzalrudder.settings_findings import Finding, Severity, error_findings
from quetzalrudder.utils import MS_PER_S

__all__ = ["SettingsCommands"]


class SettingsCommands:
    """Read and change the operators' settings tree."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def check(
        self, file: str, against: str = "", in_force: bool = False, strict: bool = False
    ) -> None:
        """Check a settings file without applying it; needs an instance only with ``in_force``.

        Parameters
        ----------
        file : str
            Path of an INI file.
        against : str
            Path of another INI file; the differences to it are listed.
        in_force : bool
            List the differences to the tree in force at the instance at ``--control``.
        strict : bool
            Fail if there are warnings.
        """
        try:
            branches = parse_branches(read_file(file), file)
        except InvalidSettings as exc:
            self._context.print_report(_check_report(error_findings(exc, file), []))
            raise
        findings = check_branches_together(branches, file)
        warning_count = len(findings)
        if against:
            findings += compare_branches(
                parse_branches(read_file(against), against), branches, file
            )
        elif in_force:
            with ExitStack() as stack:
                tree = self._context.open_client(stack).tree()
            findings += compare_branches(tree.branches, branches, file)
        summary = f"{file}: {len(branches)} branches, no errors, {warning_count} warnings"
        self._context.print_report(_check_report(findings, [summary]))
        if strict and warning_count:
            raise InvalidSettings(f"{warning_count} warnings", place=file)

    def diff(self, file: str) -> None:
        """Show what applying a settings file would change.

        Parameters
        ----------
        file : str
            Path of an INI file.
        """
        branches = parse_branches(read_file(file), file)
        with ExitStack() as stack:
            tree = self._context.open_client(stack).tree()
        lines = diff_lines(tree, branches)
        report_lines = [f"# against revision {tree.revision}", *lines]
        self._context.print_report(
            Report(report_lines, {"revision": tree.revision, "changes": lines})
        )

    def apply(self, file: str, base: int | None = None, change_id: str = "") -> None:
        """Replace the whole tree by a settings file.

        Parameters
        ----------
        file : str
            Path of an INI file.
        base : int
            Revision that the file is based on; the change is refused if a newer one exists.
            Defaults to the newest revision.
        change_id : str
            Id of an earlier change with unknown outcome, to repeat that change; ``base`` must
            be the same.
        """
        branches = parse_branches(read_file(file), file)
        with ExitStack() as stack:
            client = self._context.open_client(stack)
            change = client.apply(
                branches,
                base_revision=client.tree().revision if base is None else base,
                summary=f"apply {Path(file).name}",
                change_id=change_id or None,
            )
        self._context.print_report(Report([f"revision {change.revision} accepted"], change))

    def show(self, path: str = "", effective: bool = False) -> None:
        """Show the settings tree, the branches at and below a path, or the settings in force there.

        Parameters
        ----------
        path : str
            Path of a branch.
        effective : bool
            Show the settings in force at the path, and the branch that each comes from.
        """
        with ExitStack() as stack:
            tree = self._context.open_client(stack).tree()
        report = _effective_report(tree, path) if effective else _subtree_report(tree, path)
        self._context.print_report(report)

    def history(self) -> None:
        """List the accepted changes, oldest first."""
        with ExitStack() as stack:
            history = self._context.open_client(stack).tree().history
        self._context.print_report(Report([_history_line(change) for change in history], history))


def _check_report(findings: list[Finding], summary: list[str]) -> Report:
    lines = [*(str(finding) for finding in findings), *summary]
    ok = all(finding.severity is not Severity.ERROR for finding in findings)
    return Report(lines, {"ok": ok, "findings": [_finding_data(finding) for finding in findings]})


def _finding_data(finding: Finding) -> dict[str, Any]:
    return {
        "severity": finding.severity.name.lower(),
        "kind": finding.kind.name.lower(),
        **dataclasses.asdict(finding.place),
        "message": finding.message,
        "affects": finding.affects,
    }


def diff_lines(tree: Tree, branches: list[Branch]) -> list[str]:
    """Return the difference between a tree and other branches, one line per changed value."""
    old = {branch.path: branch for branch in tree.branches}
    put, removed = SettingsTree(tree).difference_to(branches)
    lines: list[str] = []
    for path in removed:
        lines.append(f"- [{section_name(old[path])}]")
    for branch in put:
        before = old.get(branch.path)
        sign = "~" if before is not None else "+"
        lines.append(f"{sign} [{section_name(branch)}]")
        lines += _value_lines(before, branch)
    return lines


def _value_lines(before: Branch | None, after: Branch) -> list[str]:
    old = explicit_settings(before.settings) if before is not None else {}
    new = explicit_settings(after.settings)
    lines: list[str] = []
    for name in sorted(old.keys() | new.keys()):
        if name in old and old.get(name) != new.get(name):
            lines.append(f"-   {name} = {old[name]}")
        if name in new and old.get(name) != new.get(name):
            lines.append(f"+   {name} = {new[name]}")
    return lines


def _effective_report(tree: Tree, path: str) -> Report:
    settings = SettingsTree(tree)
    values = explicit_settings(settings.effective(path))
    sources = settings.sources(path)
    lines = [f"# revision {tree.revision}, in force at {path or '(root)'}"]
    lines += [f"{name} = {value}    # [{sources[name]}]" for name, value in values.items()]
    return Report(
        lines,
        {
            "revision": tree.revision,
            "branches": {path or "root": values},
            "sources": {path or "root": sources},
        },
    )


def _subtree_report(tree: Tree, path: str) -> Report:
    prefix = f"{path}/"
    branches = [b for b in tree.branches if not path or b.path == path or b.path.startswith(prefix)]
    lines = [f"# revision {tree.revision}", branches_to_ini(branches)]
    branch_values = {
        section_name(branch): explicit_settings(branch.settings) for branch in branches
    }
    return Report(lines, {"revision": tree.revision, "branches": branch_values})


def explicit_settings(settings: BranchSettings | None) -> dict[str, Any]:
    """Return the settings that have a value, by name."""
    values = dataclasses.asdict(settings or BranchSettings())
    return {name: value for name, value in values.items() if value is not None}


def _history_line(change: Change) -> str:
    accepted_at = datetime.fromtimestamp(change.accepted_unix_ms / MS_PER_S, UTC)
    time_text = accepted_at.isoformat(timespec="seconds")
    return f"{change.revision}  {time_text}  {change.operator_name}  {change.summary}"
