"""Logs which pools delay jobs for want of room, and how many."""

import logging

from hickoryplank.coordinator.metrics import EntryMetrics
from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.shortage import PoolShortage

__all__ = ["ShortageReporter"]

logger = logging.getLogger(__name__)

#: Time between two log lines for a pool while its shortage lasts, in seconds.
REPORT_INTERVAL_SECONDS = 1.0


class ShortageReporter:
    """Reports the begin and the end of each shortage, and its state in between.

    A shortage ends when the pool delays no job any more: as it has room, has nothing
    left that could be in time, or has lost all endpoints.

    :param metrics: records the number of delayed jobs with each report.
    """

    def __init__(self, metrics: EntryMetrics):
        self._metrics = metrics
        self._reported_at: dict[PoolId, float] = {}
        self._since: dict[PoolId, float] = {}

    def report(self, shortages: dict[PoolId, PoolShortage], now: float) -> None:
        """Log what has changed since the last call, or is due again."""
        for pool in set(self._since) - set(shortages):
            lasted_s = round(now - self._since.pop(pool), 1)
            del self._reported_at[pool]
            logger.info("pool delays no jobs", extra={"pool": pool, "after": lasted_s})
        for pool, shortage in shortages.items():
            since = self._since.setdefault(pool, now)
            reported_at = self._reported_at.get(pool)
            if reported_at is not None and now < reported_at + REPORT_INTERVAL_SECONDS:
                continue
            self._reported_at[pool] = now
            self._metrics.delayed_jobs(shortage.delayed)
            logger.info(
                "pool lacks room",
                extra={
                    "pool": pool,
                    "for_s": round(now - since, 1),
                    "waiting": shortage.waiting,
                    "delayed": shortage.delayed,
                    "drained_s": round(shortage.drained_s, 1),
                },
            )
