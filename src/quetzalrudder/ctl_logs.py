"""``quetzalrudderctl logs`` and ``explain``: the structured logs of many processes."""

from quetzalrudder.ctl_context import Report
from quetzalrudder.log_reading import LogLine, explain_request, read_logs

__all__ = ["explanation_report", "logs_report"]


def logs_report(paths: tuple[str, ...], wanted: dict[str, str], since: str, until: str) -> Report:
    """Merge the lines of files; only those with the wanted fields and times."""
    logs = read_logs(paths)
    shown = [
        line
        for line in logs.lines
        if line.matches(wanted) and since <= line.time and (not until or line.time <= until)
    ]
    lines = [str(line) for line in shown] + _unrecognized_note(logs.unrecognized_lines)
    return Report(
        lines, {"lines": [_as_data(line) for line in shown], "foreign": logs.unrecognized_lines}
    )


def explanation_report(request_id: str, paths: tuple[str, ...]) -> Report:
    """Show a request's lines and what its instance believed before them."""
    logs = read_logs(paths)
    found = explain_request(logs, request_id)
    lines = [f"{'>' if own else ' '} {line}" for line, own in found]
    if not found:
        lines = [f"# no line names the request {request_id}"]
    data = [{**_as_data(line), "own": own} for line, own in found]
    return Report(
        lines + _unrecognized_note(logs.unrecognized_lines),
        {"lines": data, "foreign": logs.unrecognized_lines},
    )


def _as_data(line: LogLine) -> dict[str, object]:
    return {
        "time": line.time,
        "instance": line.instance,
        "level": line.level,
        "message": line.message,
        **line.fields,
    }


def _unrecognized_note(count: int) -> list[str]:
    return [f"# {count} lines left out: not whole, or of another program"] if count else []
