"""Estimates the load that arriving jobs put on each pool."""

from collections import deque

import msgspec

from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.model import Job
from hickoryplank.jobs.ordering import task_ms
from hickoryplank.jobs.sizes import ZERO, Size

__all__ = ["Arrivals"]

#: Window over which arrivals are averaged: long enough for about ten jobs of a busy
#: queue, and half the time that a VM takes to join a pool.
WINDOW_SECONDS = 0.8


class _Arrival(msgspec.Struct, frozen=True):
    at: float
    work: Size


class Arrivals:
    """Recent arrivals, and the load if they continue at the same rate.

    A queue may go from almost no load to several times its mean at once, whereas a VM
    takes some seconds to join a pool. As a single job gives no rate, the largest job
    in the window is left out.
    """

    def __init__(self) -> None:
        self._recent: dict[PoolId, deque[_Arrival]] = {}

    def note(self, job: Job, now: float) -> None:
        """Add an accepted job."""
        recent = self._recent.setdefault(job.pool, deque())
        recent.append(_Arrival(now, _work(job)))

    def offered(self, pool: PoolId, now: float) -> Size:
        """Return the resources in use if jobs continue to arrive at this rate."""
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
    """Return the resources of all tasks, multiplied by their run times in ms."""
    work = ZERO
    for step in job.steps:
        work = work.plus(step.counted_size.times(step.count * task_ms(step)))
    return work
