"""``quetzalrudderctl``: the operators' tool."""

import inspect
import json
import os
import sys
from contextlib import ExitStack
from typing import Any

import fire
from fire.core import FireExit

from quetzalrudder.ctl_context import Context, Report
from quetzalrudder.ctl_logs import explanation_report, logs_report
from quetzalrudder.ctl_settings import SettingsCommands
from quetzalrudder.ctl_timeline import read_time, timeline_report
from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.keys import digest_key, make_key
from quetzalrudder.schema.operators import TimelineRequest
from quetzalrudder.schema.settings import Branch, BranchKind
from quetzalrudder.sessions import QueryResult, Session
from quetzalrudder.settings import parse_branches, section_name

__all__ = ["main"]

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
HELP_FLAGS = ("-h", "--help")
DEFAULT_CONTROL = "127.0.0.1:7002"
CALLER_KEY_VARIABLE = "QUETZALRUDDER_KEY"
DEFAULT_INSTANCE = "127.0.0.1:7001"


class WorkspaceCommands:
    """Create workspaces."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def create(self, path: str, **settings: Any) -> None:
        """Create a workspace.

        Parameters
        ----------
        path : str
            Path of the workspace, for example ``steppe/almaty``.
        **settings
            Settings of the branch, for example ``--rate_per_s=100``.
        """
        _put_branch(self._context, BranchKind.WORKSPACE, path, settings)


class RouteCommands:
    """Add routes."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def add(self, path: str, **settings: Any) -> None:
        """Add a route, or replace one.

        Parameters
        ----------
        path : str
            Path of the route, for example ``steppe/comparables``.
        **settings
            Settings of the branch, for example ``--group=valuation-1``.
        """
        _put_branch(self._context, BranchKind.ROUTE, path, settings)


class KeyCommands:
    """Make, grant and withdraw keys."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def make(self) -> None:
        """Make an operator key and its digest for ``operator_key_digests``; asks no instance."""
        key = make_key()
        digest = digest_key(key)
        lines = [f"key     {key}", f"digest  {digest}"]
        self._context.show(Report(lines, {"key": key, "digest": digest}))

    def grant(self, workspace: str) -> None:
        """Grant a workspace a new key and print it; it cannot be shown again.

        Parameters
        ----------
        workspace : str
            Path of the workspace.
        """
        with ExitStack() as stack:
            key = self._context.client(stack).grant_key(workspace)
        self._context.show(Report([key], {"workspace": workspace, "key": key}))

    def withdraw(self, workspace: str, key: str) -> None:
        """Withdraw a key.

        Parameters
        ----------
        workspace : str
            Path of the workspace.
        key : str
            The key, or the first characters of its digest.
        """
        with ExitStack() as stack:
            change = self._context.client(stack).withdraw_key(workspace, str(key))
        self._context.show(Report([f"revision {change.revision} accepted"], change))


class Commands:
    """Operate quetzalrudder: settings, workspaces, keys, routes, status, time line.

    Parameters
    ----------
    control : str
        Control address of an instance.
    json : bool
        Print JSON for scripts.
    operator_key_file : str
        File with the operator key; else QUETZALRUDDER_OPERATOR_KEY is taken.
    """

    def __init__(
        self, control: str = DEFAULT_CONTROL, json: bool = False, operator_key_file: str = ""
    ) -> None:
        self._context = Context(control, json, operator_key_file)
        self.settings = SettingsCommands(self._context)
        self.workspace = WorkspaceCommands(self._context)
        self.key = KeyCommands(self._context)
        self.route = RouteCommands(self._context)

    def status(self) -> None:
        """Show an instance's state and what it sees of the targets."""
        with ExitStack() as stack:
            status = self._context.client(stack).status()
        lines = [
            f"{status.instance} in {status.data_centre}: {status.state}, "
            f"settings revision {status.settings_revision}, "
            f"{status.caller_connections} caller connections"
        ]
        for target in status.targets:
            reached = "" if target.reachable else "  unreachable"
            lines.append(
                f"  {target.group}  {target.target}  {target.role}  "
                f"term {target.term}  position {target.applied}{reached}"
            )
        self._context.show(Report(lines, status))

    def logs(
        self,
        *files: str,
        instance: str = "",
        message: str = "",
        request: str = "",
        target: str = "",
        group: str = "",
        since: str = "",
        until: str = "",
    ) -> None:
        """Merge the structured logs of many processes by time; asks no instance.

        Parameters
        ----------
        *files : str
            Files with one JSON object a line; other lines are counted and left out.
        instance, message, request, target, group : str
            Show only the lines of this instance, with this message, request id, target or
            group.
        since, until : str
            Show only the lines from and up to a time as the logs write it, or its beginning.
        """
        wanted = {
            "instance": instance,
            "message": message,
            "request_id": request,
            "target": target,
            "group": group,
        }
        fields = {name: str(text) for name, text in wanted.items() if text != ""}
        self._context.show(logs_report(files, fields, str(since), str(until)))

    def explain(self, request_id: str, *files: str) -> None:
        """Show what decided a request: its lines, and what its instance believed before.

        Parameters
        ----------
        request_id : str
            The request's id.
        *files : str
            The logs of all processes.
        """
        self._context.show(explanation_report(str(request_id), files))

    def timeline(
        self,
        controls: str = "",
        request: str = "",
        workspace: str = "",
        target: str = "",
        group: str = "",
        kind: str = "",
        since: str = "",
        until: str = "",
    ) -> None:
        """Show the events of all instances, in one order.

        Parameters
        ----------
        controls : str
            Control addresses, separated by commas; all that one instance knows if omitted.
        request, workspace, target, group, kind : str
            Show only the events with this request id, workspace, target, group or kind.
        since, until : str
            Show only the events from and up to a time: seconds ago, or ISO 8601.
        """
        req = TimelineRequest(
            request_id=str(request),
            workspace=str(workspace),
            target=str(target),
            group=str(group),
            kind=str(kind),
            since_us=read_time(since),
            until_us=read_time(until),
        )
        self._context.show(timeline_report(self._context, controls, req))

    def query(
        self,
        route: str,
        sql: str,
        *params: Any,
        instance: str = DEFAULT_INSTANCE,
        workspace: str = "",
        key: str = "",
        write: bool = False,
        max_age_ms: int = 0,
    ) -> None:
        """Run a statement as a caller would.

        Parameters
        ----------
        route : str
            Path of the route.
        sql : str
            The statement, with ``?`` for parameters.
        *params
            Values of the parameters.
        instance : str
            Address of an instance for callers.
        workspace, key : str
            Who calls; without a key, QUETZALRUDDER_KEY is taken.
        write : bool
            The statement changes data.
        max_age_ms : int
            Oldest acceptable data, in milliseconds.
        """
        key = str(key) or os.environ.get(CALLER_KEY_VARIABLE, "")
        with Session(instance, workspace, key) as session:
            if write:
                result = session.write(route, sql, *params)
            else:
                result = session.read(route, sql, *params, max_age_ms=max_age_ms)
        self._context.show(Report(_result_lines(result), result))


def _put_branch(context: Context, kind: BranchKind, path: str, settings: dict[str, Any]) -> None:
    lines = [f"{name} = {value}" for name, value in settings.items()]
    header = section_name(Branch(kind=kind, path=path))
    parents = _parent_sections(path)
    branch = parse_branches("\n".join([*parents, f"[{header}]", *lines]), "command line")[-1]
    with ExitStack() as stack:
        change = context.client(stack).put_branch(branch)
    context.show(Report([f"revision {change.revision} accepted"], change))


def _parent_sections(path: str) -> list[str]:
    parts = path.split("/")[:-1]
    return [f"[branch {'/'.join(parts[: n + 1])}]" for n in range(len(parts))]


def _result_lines(result: QueryResult) -> list[str]:
    lines = ["\t".join(result.columns)] if result.columns else []
    lines += ["\t".join(str(value) for value in row) for row in result.rows]
    lines.append(f"# {len(result.rows)} rows, {result.changed} changed, by {result.target}")
    return lines


def overview() -> str:
    """Describe every command in a line of its own."""
    lines = [
        "usage: quetzalrudderctl COMMAND [ARGUMENTS] [--control=HOST:PORT] [--json]",
        "",
        "Operate quetzalrudder through the control address of any instance.",
        "",
    ]
    for path, command in _commands(Commands(), ""):
        first_line = inspect.getdoc(command).splitlines()[0]
        lines.append(f"  {path:20} {first_line}")
    lines += ["", "'quetzalrudderctl COMMAND --help' describes a command and its arguments."]
    return "\n".join(lines)


def _commands(group: object, prefix: str) -> list[tuple[str, object]]:
    found: list[tuple[str, object]] = []
    for name in sorted(name for name in dir(group) if not name.startswith("_")):
        member = getattr(group, name)
        path = f"{prefix} {name}".strip()
        found += [(path, member)] if inspect.ismethod(member) else _commands(member, path)
    return found


def main(argv: list[str] | None = None) -> int:
    """Run one command.

    Returns
    -------
    int
        0 done, 1 refused or failed, 2 wrong use.
    """
    args = sys.argv[1:] if argv is None else argv
    if not args or args[0] in HELP_FLAGS:
        print(overview())
        return EXIT_DONE if args else EXIT_USAGE
    try:
        fire.Fire(Commands, command=args, name="quetzalrudderctl")
    except FireExit as exc:
        return EXIT_USAGE if exc.code else EXIT_DONE
    except QuetzalrudderError as exc:
        _print_error(exc, as_json="--json" in args)
        return EXIT_FAILED
    return EXIT_DONE


def _print_error(exc: QuetzalrudderError, *, as_json: bool) -> None:
    data = {
        "error": exc.code.name.lower(),
        "place": exc.place,
        "message": exc.message,
        "ending": exc.ending.name.lower(),
        "retry_after_ms": exc.retry_after_ms,
    }
    if as_json:
        print(json.dumps(data), file=sys.stderr)
        return
    again = f" (come back in {exc.retry_after_ms} ms)" if exc.retry_after_ms else ""
    print(f"{data['error']}: {exc} [{data['ending']}]{again}", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
