"""Rate-limited JSON logs of an entry on standard output."""

import logging
import sys
import time

from pythonjsonlogger.json import JsonFormatter

__all__ = ["LogRateLimiter", "configure_entry_logs"]

#: Log lines per second; writing one takes about 30 microseconds.
LINES_PER_SECOND = 300.0
#: Log lines that may be written in one burst after a quiet period.
BURST_LINES = 600.0
_LINE_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
_FIELD_NAMES = {"asctime": "time", "levelname": "level", "name": "logger"}


class LogRateLimiter(logging.Filter):
    """Token bucket that drops lines over a rate; warnings always pass.

    The next line that passes carries the number of dropped lines.

    :param per_second: sustained rate, in lines per second.
    :param burst: capacity of the bucket, in lines.
    """

    def __init__(self, per_second: float, burst: float):
        super().__init__()
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write ``record``."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._per_second
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 and record.levelno < logging.WARNING:
            self._dropped += 1
            return False
        self._tokens -= 1
        if self._dropped:
            record.dropped_lines = self._dropped
            self._dropped = 0
        return True


def configure_entry_logs(level: str, node: str) -> None:
    """Write logs of ``level`` and above to standard output as JSON lines.

    :param node: name of the entry, added to each line.
    """
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(
        JsonFormatter(
            _LINE_FORMAT, rename_fields=_FIELD_NAMES, static_fields={"node": node}
        )
    )
    handler.addFilter(LogRateLimiter(LINES_PER_SECOND, BURST_LINES))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("asyncio").setLevel(logging.WARNING)
