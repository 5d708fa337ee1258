"""``quetzalrudderctl timeline``: the events of all instances in causal order."""

import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from datetime import UTC, datetime

from result import Err, Ok, Result

from quetzalrudder.ctl_context import Context, Report
from quetzalrudder.exceptions import InvalidSettings, QuetzalrudderError
from quetzalrudder.schema.operators import Event, TimelineAnswer, TimelineRequest
from quetzalrudder.timeline import US_PER_S, merge_events

__all__ = ["parse_time", "timeline_report"]

MAX_CONCURRENT_CALLS = 16

AnswersByAddress = dict[str, Result[TimelineAnswer, QuetzalrudderError]]


def parse_time(text: str | float) -> int:
    """Parse a time as microseconds since the Unix epoch; an empty text gives 0.

    Raises
    ------
    InvalidSettings
        The text is neither a number of seconds ago nor ISO 8601.

    Examples
    --------
    >>> parse_time("1970-01-01T00:00:07+00:00")
    7000000
    """
    text = str(text)
    if not text:
        return 0
    try:
        return int((time.time() - float(text)) * US_PER_S)
    except ValueError:
        pass
    try:
        at = datetime.fromisoformat(text)
    except ValueError:
        raise InvalidSettings(
            f"neither a number of seconds ago nor an ISO 8601 time: {text!r}", place="time"
        ) from None
    if at.tzinfo is None:
        at = at.replace(tzinfo=UTC)
    return int(at.timestamp() * US_PER_S)


def timeline_report(context: Context, controls: str, req: TimelineRequest) -> Report:
    """Fetch and merge the events of all instances, and report those that did not answer.

    Raises
    ------
    QuetzalrudderError
        None of the given control addresses answered; it is the error of the first one.
    """
    requested = [text.strip() for text in controls.split(",") if text.strip()]
    first = requested or [context.control]
    answers = _fetch_all(context, first, req)
    if all(isinstance(answer, Err) for answer in answers.values()):
        raise next(iter(answers.values())).err_value
    if not requested:
        known = answers[context.control].ok_value.control_addresses
        others = [address for address in known if address != context.control]
        answers |= _fetch_all(context, others, req)
    return _report(answers)


def _fetch_all(context: Context, addresses: list[str], req: TimelineRequest) -> AnswersByAddress:
    def fetch(address: str) -> Result[TimelineAnswer, QuetzalrudderError]:
        with ExitStack() as stack:
            try:
                return Ok(context.open_client(stack, address).timeline(req))
            except QuetzalrudderError as exc:
                return Err(exc)

    with ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as executor:
        return dict(zip(addresses, executor.map(fetch, addresses), strict=True))


def _report(answers: AnswersByAddress) -> Report:
    received = {a: r.ok_value for a, r in answers.items() if isinstance(r, Ok)}
    not_reached = {a: str(r.err_value) for a, r in answers.items() if isinstance(r, Err)}
    shortened = [address for address, answer in received.items() if answer.shortened]
    events = merge_events([answer.events for answer in received.values()])
    lines = [_event_line(event) for event in events]
    lines += [f"# not reached: {reason}" for reason in not_reached.values()]
    lines += [f"# older events left out by {address}" for address in shortened]
    data = {"events": events, "not_reached": not_reached, "shortened": shortened}
    return Report(lines, data)


def _event_line(event: Event) -> str:
    at = datetime.fromtimestamp(event.wall_us / US_PER_S, UTC).isoformat(timespec="microseconds")
    fields = [event.instance, event.kind, event.request_id, event.workspace]
    fields += [event.group, event.target, f"term {event.term}" if event.term else "", event.detail]
    text = "  ".join(field for field in fields if field)
    return f"{at}.{event.logical}  {text}"
