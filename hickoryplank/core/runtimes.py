"""Learned run times of queues: a mean and a high quantile for each."""

import math

import msgspec

from hickoryplank.core.ids import QueueId

__all__ = ["RunTime", "RunTimes"]

#: Weight of the newest observation.
MEAN_GAIN = 0.05
#: The quantile that is learned.
QUANTILE = 0.95
#: Largest relative change of the quantile by one observation.
QUANTILE_GAIN = 0.1
#: Run time assumed for a queue that has not finished anything, in seconds.
FIRST_GUESS_SECONDS = 1.0
#: Shortest run time that is told apart, in seconds.
SHORTEST_SECONDS = 0.001


class RunTime(msgspec.Struct):
    """What one queue's work takes.

    :param mean: moving average of the run time, in seconds.
    :param high: the run time that one in twenty exceeds, in seconds.
    :param observed: how many run times have been seen.
    """

    mean: float = FIRST_GUESS_SECONDS
    high: float = FIRST_GUESS_SECONDS
    observed: int = 0


class RunTimes:
    """Run times of all queues, learned from what finished."""

    def __init__(self) -> None:
        self._queues: dict[QueueId, RunTime] = {}

    def of(self, queue: QueueId) -> RunTime:
        """Return what is known of ``queue``."""
        return self._queues.get(queue) or RunTime()

    def observe(self, queue: QueueId, seconds: float) -> None:
        """Learn from one finished run.

        The quantile moves by multiplicative stochastic approximation, so a unit
        of time need not be guessed.
        """
        seconds = max(seconds, SHORTEST_SECONDS)
        row = self._queues.get(queue)
        if row is None:
            self._queues[queue] = RunTime(seconds, 2 * seconds, 1)
            return
        row.observed += 1
        row.mean += MEAN_GAIN * (seconds - row.mean)
        up = QUANTILE if seconds > row.high else QUANTILE - 1.0
        row.high = max(row.high * math.exp(QUANTILE_GAIN * up), SHORTEST_SECONDS)
