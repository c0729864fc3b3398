"""Structured logs: one JSON object a line."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logs"]

_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_NAMES = {"asctime": "time", "levelname": "level", "name": "logger"}
_QUIET_LOGGERS = ("httpx", "httpcore", "hypercorn.access", "asyncio")


def configure_logs(level: str, node: str) -> None:
    """Write logs of ``level`` and above to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(_FIELDS, rename_fields=_NAMES, static_fields={"node": node})
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in _QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)
