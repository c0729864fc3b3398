"""What each pool is asked for: now, on average, and at its recent peak."""

import math
from collections import deque

import msgspec

from hickoryplank.core.ids import PoolId

__all__ = ["DemandTracker", "PoolDemand"]


class PoolDemand(msgspec.Struct, frozen=True, kw_only=True):
    """The demand on one pool.

    :param slots: slots that would be busy now if no work waited.
    :param backlog: further slots that would soon serve what waits.
    :param wait: seconds that the oldest waiting work has waited.
    :param mean: exponentially weighted mean of ``slots``.
    :param peak: the most ``slots`` within the window.
    """

    pool: PoolId
    slots: float
    backlog: float = 0.0
    wait: float = 0.0
    mean: float = 0.0
    peak: float = 0.0


class DemandTracker:
    """Follows the demand on one pool.

    :param window: seconds over which the peak is held and the mean is taken.
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
        """Take in what the pool is asked for at ``now`` and return its demand."""
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
