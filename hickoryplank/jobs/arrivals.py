"""Estimates the load that arriving jobs put on each pool."""

from collections import deque

import msgspec

from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.model import Job
from hickoryplank.jobs.ordering import task_ms
from hickoryplank.jobs.sizes import ZERO, Size

__all__ = ["ArrivalRates"]

#: Window over which arrivals are averaged: long enough for about ten jobs of a busy
#: queue, and half the time that a VM takes to join a pool.
WINDOW_SECONDS = 0.8


class _Arrival(msgspec.Struct, frozen=True):
    at: float
    work: Size


class ArrivalRates:
    """Recent arrivals, and the load if they continue at the same rate.

    A queue may go from almost no load to several times its mean at once, whereas a VM
    takes some seconds to join a pool. As a single job does not indicate a rate, the
    largest job in the window is left out.
    """

    def __init__(self) -> None:
        self._recent: dict[PoolId, deque[_Arrival]] = {}

    def add_job(self, job: Job, now: float) -> None:
        """Add an accepted job."""
        recent = self._recent.setdefault(job.pool, deque())
        recent.append(_Arrival(now, _total_work(job)))

    def offered_load(self, pool: PoolId, now: float) -> Size:
        """Return the resources in use if jobs continue to arrive at the recent rate."""
        recent = self._recent.get(pool, deque())
        while recent and recent[0].at < now - WINDOW_SECONDS:
            recent.popleft()
        total = ZERO
        for one in recent:
            total = total.plus(one.work)
        largest = max(recent, key=lambda one: one.work.cpu, default=None)
        if largest is not None:
            total = total.minus(largest.work)
        window_ms = 1000 * WINDOW_SECONDS
        return Size(
            int(total.cpu / window_ms),
            int(total.mem_mb / window_ms),
            int(total.gpu / window_ms),
        )


def _total_work(job: Job) -> Size:
    """Return the resources of all tasks, multiplied by their run times in ms."""
    work = ZERO
    for step in job.steps:
        work = work.plus(step.counted_size.times(step.count * task_ms(step)))
    return work
