"""Structured logs: one JSON object a line, on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logging", "request_logger"]

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logging(level: str, *, instance: str) -> None:
    """Send all logs to standard error as JSON lines that name the instance."""
    formatter = JsonFormatter(
        FIELDS,
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"instance": instance},
        defaults={"request_id": "", "workspace": ""},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("asyncio").setLevel(logging.ERROR)


def request_logger(name: str, *, request_id: str, workspace: str) -> logging.LoggerAdapter:
    """Give a logger whose lines carry a request id and a workspace."""
    extra = {"request_id": request_id, "workspace": workspace}
    return logging.LoggerAdapter(logging.getLogger(name), extra)
