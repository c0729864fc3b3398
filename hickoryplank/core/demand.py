"""Demand on pools: current, average and recent peak."""

import math
from collections import deque

import msgspec

from hickoryplank.core.ids import PoolId

__all__ = ["DemandTracker", "PoolDemand"]


class PoolDemand(msgspec.Struct, frozen=True, kw_only=True):
    """The demand on one pool.

    :param slots: slots that would be busy now if no work were waiting.
    :param backlog: further slots needed to work off the backlog soon.
    :param wait: age of the oldest waiting work, in seconds.
    :param mean: exponentially weighted moving average of ``slots``.
    :param peak: maximum of ``slots`` within the window.
    """

    pool: PoolId
    slots: float
    backlog: float = 0.0
    wait: float = 0.0
    mean: float = 0.0
    peak: float = 0.0


class DemandTracker:
    """Tracks the demand on one pool.

    :param window: time over which the peak and the mean are taken, in seconds.
    """

    def __init__(self, pool: PoolId, window: float) -> None:
        self._pool = pool
        self._window = window
        self._mean = 0.0
        self._last: float | None = None
        self._peaks: deque[tuple[float, float]] = deque()

    def observe(
        self, slots: float, now: float, backlog: float = 0.0, wait: float = 0.0
    ) -> PoolDemand:
        """Add an observation at ``now``, in seconds, and return the demand."""
        self._mean += (slots - self._mean) * self._weight(now)
        self._last = now
        while self._peaks and self._peaks[-1][1] <= slots:
            self._peaks.pop()
        self._peaks.append((now, slots))
        while self._peaks[0][0] < now - self._window:
            self._peaks.popleft()
        return PoolDemand(
            pool=self._pool,
            slots=slots,
            backlog=backlog,
            wait=wait,
            mean=self._mean,
            peak=self._peaks[0][1],
        )

    def _weight(self, now: float) -> float:
        if self._last is None or self._window <= 0:
            return 1.0
        return 1.0 - math.exp(-(now - self._last) / self._window)
