"""Learned run times of queues: a mean and a high quantile for each."""

import math

import msgspec

from hickoryplank.core.ids import QueueId

__all__ = ["LEARNING_RUNS", "RunTimeEstimate", "RunTimeTable"]

#: Weight of the newest observation.
MEAN_GAIN = 0.05
#: The quantile that is learned.
QUANTILE = 0.95
#: Largest relative change of the quantile by one observation.
QUANTILE_GAIN = 0.1
#: Runs of a queue that have to be seen before its quantile means anything.
LEARNING_RUNS = 20
#: Run time assumed for a queue that has not finished anything, in seconds.
FIRST_GUESS_SECONDS = 1.0
#: Shortest run time that is told apart, in seconds.
SHORTEST_SECONDS = 0.001


class RunTimeEstimate(msgspec.Struct):
    """What one queue's work takes.

    :param mean: moving average of the run time, in seconds.
    :param p95: the run time that one in twenty exceeds, in seconds.
    :param observed: how many run times have been seen.
    """

    mean: float = FIRST_GUESS_SECONDS
    p95: float = FIRST_GUESS_SECONDS
    observed: int = 0


class RunTimeTable:
    """Run times of all queues, learned from what finished."""

    def __init__(self) -> None:
        self._queues: dict[QueueId, RunTimeEstimate] = {}

    def of(self, queue: QueueId) -> RunTimeEstimate:
        """Return what is known of ``queue``."""
        return self._queues.get(queue) or RunTimeEstimate()

    def observe(self, queue: QueueId, seconds: float) -> None:
        """Learn from one finished run.

        The quantile starts as the longest of the first runs. Then it moves by
        multiplicative stochastic approximation, so that no unit of time need be
        guessed.
        """
        seconds = max(seconds, SHORTEST_SECONDS)
        row = self._queues.get(queue)
        if row is None:
            self._queues[queue] = RunTimeEstimate(seconds, seconds, 1)
            return
        row.observed += 1
        row.mean += MEAN_GAIN * (seconds - row.mean)
        if row.observed <= LEARNING_RUNS:
            row.p95 = max(row.p95, seconds)
            return
        up = QUANTILE if seconds > row.p95 else QUANTILE - 1.0
        row.p95 = max(row.p95 * math.exp(QUANTILE_GAIN * up), SHORTEST_SECONDS)
