"""``quetzalrudderctl logs``, ``explain`` and ``losses``: the structured logs of many processes."""

from collections import Counter

from quetzalrudder.ctl_context import Report
from quetzalrudder.exceptions import InvalidSettings
from quetzalrudder.log_reading import LogLine, explain_request, read_logs
from quetzalrudder.loss_reading import count_endings

__all__ = ["explanation_report", "logs_report", "losses_report"]


def logs_report(paths: tuple[str, ...], filters: dict[str, str], since: str, until: str) -> Report:
    """Report the log lines that match the filters and the time range, ordered by time."""
    logs = read_logs(paths)
    matching = [
        line
        for line in logs.lines
        if line.matches(filters) and since <= line.time and (not until or line.time <= until)
    ]
    lines = [str(line) for line in matching] + _unrecognized_note(logs.unrecognized_lines)
    return Report(
        lines, {"lines": [_as_data(line) for line in matching], "foreign": logs.unrecognized_lines}
    )


def explanation_report(request_id: str, paths: tuple[str, ...]) -> Report:
    """Report the log lines of a request, and the state that its instance knew at each."""
    logs = read_logs(paths)
    entries = explain_request(logs, request_id)
    lines = [f"{'>' if of_request else ' '} {line}" for line, of_request in entries]
    if not entries:
        lines = [f"# no log line has the request id {request_id}"]
    data = [{**_as_data(line), "own": of_request} for line, of_request in entries]
    return Report(
        lines + _unrecognized_note(logs.unrecognized_lines),
        {"lines": data, "foreign": logs.unrecognized_lines},
    )


def losses_report(paths: tuple[str, ...], width_s: float) -> Report:
    """Report done and failed statements by span of time, the latter by first cause.

    Raises
    ------
    InvalidSettings
        The width is not positive, or a file cannot be read.
    """
    if width_s <= 0:
        raise InvalidSettings("must be greater than 0", place="width_s")
    logs = read_logs(paths)
    spans = count_endings(logs, width_s)
    lines, totals = [], Counter()
    for span in spans:
        failed = sum(span.failed.values())
        held_ms = span.held_ms / failed if failed else 0.0
        lines.append(
            f"{span.start:%H:%M:%S}  {span.done} done  {failed} failed, held {held_ms:.0f} ms"
        )
        lines += [f"    {count}  {cause}" for cause, count in span.failed.most_common()]
        totals += span.failed
    lines.append(f"all  {sum(span.done for span in spans)} done  {sum(totals.values())} failed")
    lines += [f"    {count}  {cause}" for cause, count in totals.most_common()]
    data = [
        {"start": str(span.start), "done": span.done, "failed": dict(span.failed)} for span in spans
    ]
    return Report(
        lines + _unrecognized_note(logs.unrecognized_lines),
        {"spans": data, "foreign": logs.unrecognized_lines},
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
    return [f"# {count} lines left out: incomplete, or from another program"] if count else []
