"""Run times of queues, learned as a mean and a 95th percentile."""

import math

import msgspec

from hickoryplank.core.ids import QueueId

__all__ = ["LEARNING_RUNS", "RunTimeEstimate", "RunTimeTable"]

#: Weight of the newest observation in the mean.
MEAN_GAIN = 0.05
#: The quantile that is estimated.
QUANTILE = 0.95
#: Largest relative change of the quantile by one observation.
QUANTILE_GAIN = 0.1
#: Number of runs of a queue after which the estimate of its quantile is usable.
LEARNING_RUNS = 20
#: Run time assumed for a queue before its first run has finished, in seconds.
INITIAL_ESTIMATE_SECONDS = 1.0
#: Lower bound of observed and estimated run times, in seconds.
SHORTEST_RUN_TIME_SECONDS = 0.001


class RunTimeEstimate(msgspec.Struct):
    """Estimated run time of the work of one queue.

    :param mean: moving average of the run time, in seconds.
    :param p95: 95th percentile of the run time, in seconds.
    :param observed: number of runs observed.
    """

    mean: float = INITIAL_ESTIMATE_SECONDS
    p95: float = INITIAL_ESTIMATE_SECONDS
    observed: int = 0


class RunTimeTable:
    """Run times of all queues, learned from finished runs."""

    def __init__(self) -> None:
        self._queues: dict[QueueId, RunTimeEstimate] = {}

    def of(self, queue: QueueId) -> RunTimeEstimate:
        """Return the estimate for ``queue``."""
        return self._queues.get(queue) or RunTimeEstimate()

    def observe(self, queue: QueueId, seconds: float) -> None:
        """Update the estimate of ``queue`` with one finished run.

        The quantile starts as the maximum of the first runs. Later runs move it
        by multiplicative stochastic approximation, which needs no assumption on
        the scale of the run times.

        :param seconds: the run time.
        """
        seconds = max(seconds, SHORTEST_RUN_TIME_SECONDS)
        row = self._queues.get(queue)
        if row is None:
            self._queues[queue] = RunTimeEstimate(seconds, seconds, 1)
            return
        row.observed += 1
        row.mean += MEAN_GAIN * (seconds - row.mean)
        if row.observed <= LEARNING_RUNS:
            row.p95 = max(row.p95, seconds)
            return
        step = QUANTILE if seconds > row.p95 else QUANTILE - 1.0
        row.p95 = max(
            row.p95 * math.exp(QUANTILE_GAIN * step), SHORTEST_RUN_TIME_SECONDS
        )
