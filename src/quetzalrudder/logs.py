"""Structured logging: one JSON object per line, on standard error or standard output."""

import logging
import logging.handlers
import queue
import sys
import threading
import time
from contextlib import suppress

from pythonjsonlogger.json import JsonFormatter

from quetzalrudder import processor_time

__all__ = ["BoundedLogs", "configure_logging", "request_logger"]

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"

# Lines queued while the reader of the output is slow; further lines are dropped and counted.
MAX_QUEUED_LINES = 2000
# Rate limit of lines below WARNING; lines that report a failure are not limited.
MAX_INFO_LINES_PER_S = 400
# Maximum time to write the queued lines at shutdown. 2,000 lines of 0.4 KB take a few ms; a
# stuck reader of the output would block the shutdown forever.
CLOSE_TIMEOUT_S = 0.5
# Time for which lines are collected before they are written together.
BATCH_INTERVAL_S = 0.05
# Marks the end in the queue of records.
END_OF_RECORDS = None


def _json_formatter(instance: str, defaults: dict[str, str]) -> JsonFormatter:
    return JsonFormatter(
        LOG_FORMAT,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"instance": instance},
        defaults=defaults,
    )


def configure_logging(level: str, *, instance: str) -> None:
    """Send all log records to standard error as JSON lines that name the instance."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_json_formatter(instance, {"request_id": "", "workspace": ""}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("asyncio").setLevel(logging.ERROR)


def request_logger(name: str, *, request_id: str, workspace: str) -> logging.LoggerAdapter:
    """Return a logger that adds a request id and a workspace to each line."""
    extra = {"request_id": request_id, "workspace": workspace}
    return logging.LoggerAdapter(logging.getLogger(name), extra)


class _BoundedHandler(logging.handlers.QueueHandler):
    """Passes records to the writer thread; drops records instead of blocking."""

    def __init__(self, records: queue.Queue) -> None:
        super().__init__(records)
        self.dropped_lines = 0
        self._current_second = 0
        self._info_lines_in_second = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unformatted; the writer thread formats it.

        This is safe because log arguments are not modified after the call.
        """
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or drop and count it."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second, self._info_lines_in_second = second, 0
        if record.levelno < logging.WARNING:
            self._info_lines_in_second += 1
            if self._info_lines_in_second > MAX_INFO_LINES_PER_S:
                self.dropped_lines += 1
                return
        record.left_out = self.dropped_lines
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped_lines += 1


class _BatchWriter:
    """Writes queued records in batches on a thread of its own.

    A thread that is woken for each line takes as much processor time as the line itself.

    Parameters
    ----------
    records : queue.Queue
        The records.
    formatter : logging.Formatter
        Turns each record into a line.
    """

    def __init__(self, records: queue.Queue, formatter: logging.Formatter) -> None:
        self._records = records
        self._formatter = formatter
        self._output = sys.stdout
        self._thread = threading.Thread(target=self._write_batches, name="logs", daemon=True)

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def stop(self) -> None:
        """Write what is queued and return; raises ``queue.Full`` if nobody reads the output."""
        self._records.put_nowait(END_OF_RECORDS)
        self._thread.join()

    def _write_batches(self) -> None:
        ended = False
        while not ended:
            batch = [self._records.get()]
            if batch[0] is not END_OF_RECORDS:
                time.sleep(BATCH_INTERVAL_S)
            with suppress(queue.Empty):
                while len(batch) < MAX_QUEUED_LINES:
                    batch.append(self._records.get_nowait())
            ended = END_OF_RECORDS in batch
            with processor_time.section("log lines"):
                self._write([record for record in batch if record is not END_OF_RECORDS])

    def _write(self, batch: list[logging.LogRecord]) -> None:
        lines = []
        for record in batch:
            try:
                lines.append(self._formatter.format(record) + "\n")
            except Exception as exc:
                lines.append(f'{{"message": "log line not formatted", "reason": "{type(exc)}"}}\n')
        with suppress(OSError, ValueError):
            self._output.write("".join(lines))
            self._output.flush()


class BoundedLogs:
    """Non-blocking logging to standard output; use as a context manager.

    Each line has the field ``left_out``, the number of lines dropped before it.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    instance : str
        Name of the instance, written in each line.
    """

    def __init__(self, level: str, *, instance: str) -> None:
        records: queue.Queue = queue.Queue(MAX_QUEUED_LINES)
        self._handler = _BoundedHandler(records)
        self._writer = _BatchWriter(records, _json_formatter(instance, {}))
        self._level = level.upper()
        self._closed = False

    @property
    def dropped_lines(self) -> int:
        """Number of lines dropped by the rate limit or because the queue was full."""
        return self._handler.dropped_lines

    def __enter__(self) -> "BoundedLogs":
        root = logging.getLogger()
        root.handlers[:] = [self._handler]
        root.setLevel(self._level)
        self._writer.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Write the queued lines; return after ``CLOSE_TIMEOUT_S`` if the reader is stuck."""
        if not self._closed:
            self._closed = True
            stopper = threading.Thread(target=self._stop_writer, daemon=True)
            stopper.start()
            stopper.join(CLOSE_TIMEOUT_S)

    def _stop_writer(self) -> None:
        # A full queue has no room for the end: the output is not being read.
        with suppress(queue.Full):
            self._writer.stop()
