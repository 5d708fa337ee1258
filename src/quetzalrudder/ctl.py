"""``quetzalrudderctl``: the command-line tool of the operators."""

import inspect
import json
import os
import sys
from contextlib import ExitStack
from typing import Any

import fire
from fire.core import FireExit

from quetzalrudder.ctl_context import Context, Report
from quetzalrudder.ctl_logs import explanation_report, logs_report, losses_report
from quetzalrudder.ctl_settings import SettingsCommands
from quetzalrudder.ctl_timeline import parse_time, timeline_report
from quetzalrudder.exceptions import QuetzalrudderError
from quetzalrudder.keys import digest_key, make_key
from quetzalrudder.schema.operators import TimelineRequest
from quetzalrudder.schema.settings import Branch, BranchKind
from quetzalrudder.sessions import QueryResult, Session
from quetzalrudder.settings import parse_branches, section_name

__all__ = ["main"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
HELP_FLAGS = ("-h", "--help")
DEFAULT_CONTROL_ADDRESS = "127.0.0.1:7002"
CALLER_KEY_VARIABLE = "QUETZALRUDDER_KEY"
DEFAULT_INSTANCE_ADDRESS = "127.0.0.1:7001"


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
        """Make an operator key and its digest for ``operator_key_digests``; needs no instance."""
        key = make_key()
        digest = digest_key(key)
        lines = [f"key     {key}", f"digest  {digest}"]
        self._context.print_report(Report(lines, {"key": key, "digest": digest}))

    def grant(self, workspace: str) -> None:
        """Grant a workspace a new key and print it; it cannot be shown again.

        Parameters
        ----------
        workspace : str
            Path of the workspace.
        """
        with ExitStack() as stack:
            key = self._context.open_client(stack).grant_key(workspace)
        self._context.print_report(Report([key], {"workspace": workspace, "key": key}))

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
            change = self._context.open_client(stack).withdraw_key(workspace, str(key))
        self._context.print_report(Report([f"revision {change.revision} accepted"], change))


class Commands:
    """Operate quetzalrudder: settings, workspaces, keys, routes, status, timeline.

    Parameters
    ----------
    control : str
        Control address of an instance.
    json : bool
        Print JSON for scripts.
    operator_key_file : str
        File with the operator key. If omitted, QUETZALRUDDER_OPERATOR_KEY_FILE names the file,
        or QUETZALRUDDER_OPERATOR_KEY holds the key.
    """

    def __init__(
        self,
        control: str = DEFAULT_CONTROL_ADDRESS,
        json: bool = False,
        operator_key_file: str = "",
    ) -> None:
        self._context = Context(control, json, operator_key_file)
        self.settings = SettingsCommands(self._context)
        self.workspace = WorkspaceCommands(self._context)
        self.key = KeyCommands(self._context)
        self.route = RouteCommands(self._context)

    def status(self) -> None:
        """Show the state of an instance, and of the targets as it sees them."""
        with ExitStack() as stack:
            status = self._context.open_client(stack).status()
        lines = [
            f"{status.instance} in {status.data_centre}: {status.state}, "
            f"settings revision {status.settings_revision}, "
            f"{status.caller_connections} caller connections"
        ]
        for target in status.targets:
            unreachable = "" if target.reachable else "  unreachable"
            lines.append(
                f"  {target.group}  {target.target}  {target.role}  "
                f"term {target.term}  position {target.applied}{unreachable}"
            )
        self._context.print_report(Report(lines, status))

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
        """Merge the structured logs of many processes by time; needs no instance.

        Parameters
        ----------
        *files : str
            Files with one JSON object per line; other lines are counted and left out.
        instance, message, request, target, group : str
            Show only the lines of this instance, with this message, request id, target or
            group.
        since, until : str
            Show only the lines from, or up to, a time in the format of the logs, or a prefix
            of it.
        """
        filters = {
            "instance": instance,
            "message": message,
            "request_id": request,
            "target": target,
            "group": group,
        }
        fields = {name: str(text) for name, text in filters.items() if text != ""}
        self._context.print_report(logs_report(files, fields, str(since), str(until)))

    def explain(self, request_id: str, *files: str) -> None:
        """Explain a request by its log lines and the state that its instance knew at each.

        Parameters
        ----------
        request_id : str
            Id of the request.
        *files : str
            Log files of all processes.
        """
        self._context.print_report(explanation_report(str(request_id), files))

    def losses(self, *files: str, width_s: float = 2.0) -> None:
        """Count statements by span of time, and those that failed by their first cause.

        Parameters
        ----------
        *files : str
            Log files of all processes.
        width_s : float
            Width of a span, in seconds.
        """
        self._context.print_report(losses_report(files, width_s))

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
        """Show the events of all instances in causal order.

        Parameters
        ----------
        controls : str
            Control addresses, separated by commas; if omitted, those of all instances that the
            one at ``--control`` knows.
        request, workspace, target, group, kind : str
            Show only the events with this request id, workspace, target, group or kind.
        since, until : str
            Show only the events from, or up to, a time: seconds ago, or ISO 8601.
        """
        req = TimelineRequest(
            request_id=str(request),
            workspace=str(workspace),
            target=str(target),
            group=str(group),
            kind=str(kind),
            since_us=parse_time(since),
            until_us=parse_time(until),
        )
        self._context.print_report(timeline_report(self._context, controls, req))

    def query(
        self,
        route: str,
        sql: str,
        *params: Any,
        instance: str = DEFAULT_INSTANCE_ADDRESS,
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
            Address of an instance that callers connect to.
        workspace, key : str
            Workspace and key of the caller; the key is QUETZALRUDDER_KEY if omitted.
        write : bool
            Whether the statement changes data.
        max_age_ms : int
            Maximum age of the data that a read may return, in milliseconds.
        """
        key = str(key) or os.environ.get(CALLER_KEY_VARIABLE, "")
        with Session(instance, workspace, key) as session:
            if write:
                result = session.write(route, sql, *params)
            else:
                result = session.read(route, sql, *params, max_age_ms=max_age_ms)
        self._context.print_report(Report(_result_lines(result), result))


def _put_branch(context: Context, kind: BranchKind, path: str, settings: dict[str, Any]) -> None:
    lines = [f"{name} = {value}" for name, value in settings.items()]
    section = section_name(Branch(kind=kind, path=path))
    parents = _parent_sections(path)
    branch = parse_branches("\n".join([*parents, f"[{section}]", *lines]), "command line")[-1]
    with ExitStack() as stack:
        change = context.open_client(stack).put_branch(branch)
    context.print_report(Report([f"revision {change.revision} accepted"], change))


def _parent_sections(path: str) -> list[str]:
    parts = path.split("/")[:-1]
    return [f"[branch {'/'.join(parts[: n + 1])}]" for n in range(len(parts))]


def _result_lines(result: QueryResult) -> list[str]:
    lines = ["\t".join(result.columns)] if result.columns else []
    lines += ["\t".join(str(value) for value in row) for row in result.rows]
    lines.append(f"# {len(result.rows)} rows, {result.changed} changed, by {result.target}")
    return lines


def format_overview() -> str:
    """Return the usage text, with one line for each command."""
    lines = [
        "usage: quetzalrudderctl COMMAND [ARGUMENTS] [--control=HOST:PORT] [--json]",
        "",
        "Operate quetzalrudder through the control address of any instance.",
        "",
    ]
    for path, command in _list_commands(Commands(), ""):
        first_line = inspect.getdoc(command).splitlines()[0]
        lines.append(f"  {path:20} {first_line}")
    lines += ["", "'quetzalrudderctl COMMAND --help' describes a command and its arguments."]
    return "\n".join(lines)


def _list_commands(group: object, prefix: str) -> list[tuple[str, object]]:
    commands: list[tuple[str, object]] = []
    for name in sorted(name for name in dir(group) if not name.startswith("_")):
        member = getattr(group, name)
        path = f"{prefix} {name}".strip()
        commands += [(path, member)] if inspect.ismethod(member) else _list_commands(member, path)
    return commands


def main(argv: list[str] | None = None) -> int:
    """Run one command.

    Returns
    -------
    int
        0 on success or for ``--help``, 1 if the command was refused or failed, 2 for wrong usage.
    """
    args = sys.argv[1:] if argv is None else argv
    if not args or args[0] in HELP_FLAGS:
        print(format_overview())
        return EXIT_OK if args else EXIT_USAGE
    try:
        fire.Fire(Commands, command=args, name="quetzalrudderctl")
    except FireExit as exc:
        return EXIT_USAGE if exc.code else EXIT_OK
    except QuetzalrudderError as exc:
        _print_error(exc, as_json="--json" in args)
        return EXIT_FAILED
    return EXIT_OK


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
    retry = f" (retry after {exc.retry_after_ms} ms)" if exc.retry_after_ms else ""
    print(f"{data['error']}: {exc} [{data['ending']}]{retry}", file=sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
