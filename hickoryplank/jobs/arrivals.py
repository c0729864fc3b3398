"""How much work callers hand in for each pool, each second."""

from collections import deque

import msgspec

from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.model import Job
from hickoryplank.jobs.ordering import task_ms
from hickoryplank.jobs.sizes import ZERO, Size

__all__ = ["Arrivals"]

#: Over how long arrivals are averaged, in seconds: long enough for some ten jobs of
#: a queue in its turn, and half of what a VM takes to come.
WINDOW_SECONDS = 0.8


class _Arrival(msgspec.Struct, frozen=True):
    at: float
    work: Size


class Arrivals:
    """What the jobs of the last moments would have running if they kept coming.

    Load that this answers: a queue goes from nearly nothing to several times its mean
    within a moment, and a VM takes some seconds to come. A single job tells nothing
    of a rate, so the largest one of the last moments is left out.
    """

    def __init__(self) -> None:
        self._recent: dict[PoolId, deque[_Arrival]] = {}

    def note(self, job: Job, now: float) -> None:
        """Count a job that was taken."""
        recent = self._recent.setdefault(job.pool, deque())
        recent.append(_Arrival(now, _work(job)))

    def offered(self, pool: PoolId, now: float) -> Size:
        """Return what a pool's jobs take at a time if as many keep coming."""
        recent = self._recent.get(pool, deque())
        while recent and recent[0].at < now - WINDOW_SECONDS:
            recent.popleft()
        whole = ZERO
        for one in recent:
            whole = whole.plus(one.work)
        largest = max(recent, key=lambda one: one.work.cpu, default=None)
        if largest is not None:
            whole = whole.minus(largest.work)
        window_ms = 1000 * WINDOW_SECONDS
        return Size(
            int(whole.cpu / window_ms),
            int(whole.mem_mb / window_ms),
            int(whole.gpu / window_ms),
        )


def _work(job: Job) -> Size:
    """Return the sum of what its tasks take times their milliseconds."""
    work = ZERO
    for step in job.steps:
        work = work.plus(step.counted_size.times(step.count * task_ms(step)))
    return work
