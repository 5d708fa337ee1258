"""Structured logs: one JSON object a line, on standard error or standard output."""

import logging
import logging.handlers
import queue
import sys
import threading
import time
from contextlib import suppress

from pythonjsonlogger.json import JsonFormatter

__all__ = ["BoundedLogs", "configure_logging", "request_logger"]

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


# Lines that wait for a slow reader of the output; further ones are left out and counted.
MAX_QUEUED_LINES = 2000
# Lines below warning in one second; a failure's line is never left out for volume.
MAX_INFO_LINES_PER_S = 400
# For what is queued at the end: 2,000 lines of 0.4 KB take a few ms, a stuck reader for ever.
CLOSE_TIMEOUT_S = 0.5


def _json_formatter(instance: str, defaults: dict[str, str]) -> JsonFormatter:
    return JsonFormatter(
        LOG_FORMAT,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"instance": instance},
        defaults=defaults,
    )


def configure_logging(level: str, *, instance: str) -> None:
    """Send all logs to standard error as JSON lines that name the instance."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_json_formatter(instance, {"request_id": "", "workspace": ""}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("asyncio").setLevel(logging.ERROR)


def request_logger(name: str, *, request_id: str, workspace: str) -> logging.LoggerAdapter:
    """Give a logger whose lines carry a request id and a workspace."""
    extra = {"request_id": request_id, "workspace": workspace}
    return logging.LoggerAdapter(logging.getLogger(name), extra)


class _BoundedHandler(logging.handlers.QueueHandler):
    """Hands lines to the writing thread; leaves lines out rather than wait."""

    def __init__(self, lines: queue.Queue) -> None:
        super().__init__(lines)
        self.dropped_lines = 0
        self._second = 0
        self._in_second = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave formatting to the writing thread; arguments are never changed later."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as left out."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._in_second = second, 0
        if record.levelno < logging.WARNING:
            self._in_second += 1
            if self._in_second > MAX_INFO_LINES_PER_S:
                self.dropped_lines += 1
                return
        record.left_out = self.dropped_lines
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped_lines += 1


class BoundedLogs:
    """Logs to standard output that never block the caller; use as a context manager.

    Each line carries ``left_out``, the lines that were left out until then.

    Parameters
    ----------
    level : str
        The lowest level that is written.
    instance : str
        Named in each line.
    """

    def __init__(self, level: str, *, instance: str) -> None:
        lines: queue.Queue = queue.Queue(MAX_QUEUED_LINES)
        self._handler = _BoundedHandler(lines)
        writer = logging.StreamHandler(sys.stdout)
        writer.setFormatter(_json_formatter(instance, {}))
        self._listener = logging.handlers.QueueListener(lines, writer)
        self._level = level.upper()
        self._closed = False

    @property
    def dropped_lines(self) -> int:
        """Lines left out to bound the volume."""
        return self._handler.dropped_lines

    def __enter__(self) -> "BoundedLogs":
        root = logging.getLogger()
        root.handlers[:] = [self._handler]
        root.setLevel(self._level)
        self._listener.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Write what is queued, unless the output's reader is stuck."""
        if not self._closed:
            self._closed = True
            writer = threading.Thread(target=self._write_rest, daemon=True)
            writer.start()
            writer.join(CLOSE_TIMEOUT_S)

    def _write_rest(self) -> None:
        # With a full queue there is no room for the end mark, and nobody reads the output.
        with suppress(queue.Full):
            self._listener.stop()
