"""Structured logs with one JSON object per line."""

import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from hickoryplank.shell.telemetry import current_work_context

__all__ = ["RequestLogFormatter", "configure_logs"]

_LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_FIELD_NAMES = {"asctime": "time", "levelname": "level", "name": "logger"}
_QUIET_LOGGERS = ("httpx", "httpcore", "hypercorn.access", "asyncio")


class RequestLogFormatter(JsonFormatter):
    """Adds the request, team and trace that the logging task works on."""

    def add_fields(
        self,
        log_data: dict[str, Any],
        record: logging.LogRecord,
        message_dict: dict[str, Any],
    ) -> None:
        """Add the fields of one log line."""
        super().add_fields(log_data, record, message_dict)
        work = current_work_context()
        if work is not None:
            log_data.setdefault("request", work.request)
            log_data.setdefault("team", work.team)
            if work.trace:
                log_data.setdefault("trace", work.trace)


def configure_logs(level: str, node: str) -> None:
    """Write logs of ``level`` and above to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        RequestLogFormatter(
            _LINE_FORMAT, rename_fields=_FIELD_NAMES, static_fields={"node": node}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in _QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
