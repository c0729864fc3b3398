"""Which jobs to delay when a pool has less room than its jobs need.

Load: a queue asks several times what its pool holds for some seconds, so that not every
job can meet its latency objective. Serving jobs by their objectives alone then serves
each at its last moment, and most of them end a little late.

The plan keeps as many callers in time as it can. Jobs are taken up by their objectives,
earliest first, and whenever the room doesn't suffice for those taken up, the one is
delayed whose delay costs callers least, by its priority, its remaining work and the
time that its caller has waited (after Moore and Hodgson's rule for the least number of
late jobs). Delayed jobs are served after the others, cheapest first. Callers that were
refused and came back when told to are served before all others. A job counts for
less work the longer it waits, and the largest tenth has a least share of its own, so
that large jobs are not put off for ever by others that are no more urgent.
"""

import heapq
import math
from collections.abc import Iterable
from enum import Enum
from typing import Generic, TypeVar

import msgspec

from hickoryplank.jobs.sizes import Size

__all__ = [
    "PoolShortage",
    "PoolSupply",
    "ServicePlan",
    "ShortageOrder",
    "WaitingJob",
    "plan_service",
]

T = TypeVar("T")

#: Fraction of a pool's room that its tasks fill, as they don't fill VMs evenly.
FILLED_FRACTION = 0.85
#: The largest jobs of a pool are one in this many.
LARGE_JOBS_DIVISOR = 10
#: Least share of the largest jobs that is served in time, relative to the others'. The
#: users ask that large jobs are served at least half as often.
LARGE_JOBS_LEAST_SHARE = 0.5


class ShortageOrder(Enum):
    """Order in which the jobs of a pool are served while it has too little room."""

    #: By the latest start that meets the objective; late jobs shortest first.
    DEADLINE = "deadline"
    #: Jobs whose delay costs callers least are delayed; see ``plan_service``.
    LEAST_COST = "least-cost"


class PoolShortage(msgspec.Struct, frozen=True):
    """What was decided for a pool that lacked room in the last tick.

    :param waiting: jobs with waiting tasks.
    :param delayed: those of them that are expected to miss their objective.
    :param drained_s: when the last of them is expected to end, in seconds.
    """

    waiting: int
    delayed: int
    drained_s: float


class PoolSupply(msgspec.Struct, frozen=True):
    """Room of a pool for jobs that end by themselves.

    :param present: resources of the endpoints that may be used now, without those that
        lasting tasks use.
    :param joining: resources of the VMs that are on their way into the pool.
    :param join_s: time until these have joined, in seconds.
    """

    present: Size
    joining: Size = Size()
    join_s: float = 0.0

    @property
    def total(self) -> Size:
        """The room once all VMs have joined."""
        return self.present.plus(self.joining)

    def pool_seconds(self, work: Size) -> float:
        """Return for how long some work takes up the whole room, in seconds.

        :param work: resources multiplied by the time in use, in milliseconds.
        """
        total = self.total
        shares = [
            amount / (room * FILLED_FRACTION * 1000) if room > 0 else float("inf")
            for amount, room in (
                (work.cpu, total.cpu),
                (work.mem_mb, total.mem_mb),
                (work.gpu, total.gpu),
            )
            if amount > 0
        ]
        return max(shares, default=0.0)

    def ends_after_s(self, pool_seconds: float) -> float:
        """Return the time until work is done that takes up the room for so long."""
        total = self.total.cpu
        fraction = self.present.cpu / total if total > 0 else 0.0
        done_before = fraction * self.join_s
        if pool_seconds < done_before:
            return pool_seconds / fraction
        return self.join_s + pool_seconds - done_before


class WaitingJob(msgspec.Struct, Generic[T], frozen=True):
    """A job with tasks that wait for room. Times are in seconds from now.

    :param key: what the caller knows the job by.
    :param priority: 0 is delayed last.
    :param latest_end_s: time until its objective; negative if that has passed.
    :param path_s: length of its critical path from here.
    :param pool_seconds: room that its waiting tasks need; see ``PoolSupply``. Infinite
        if the pool has none of a resource.
    :param waited_s: time for which its caller has waited.
    :param objective_s: time within which its caller expects the end.
    :param returned: its caller was refused, and came back when told to.
    """

    key: T
    priority: int
    latest_end_s: float
    path_s: float
    pool_seconds: float
    waited_s: float
    objective_s: float
    returned: bool = False

    @property
    def is_servable(self) -> bool:
        """Whether the pool has some of each resource that the job needs."""
        return math.isfinite(self.pool_seconds)

    @property
    def delay_rank(self) -> tuple[int, float]:
        """Sort key of the jobs, those first whose delay costs callers most.

        A job that has waited for its objective counts with half of its work.
        """
        patience = 1 + max(0.0, self.waited_s) / max(0.001, self.objective_s)
        return (self.priority, self.pool_seconds / patience)


class ServicePlan(msgspec.Struct, Generic[T], frozen=True):
    """Order of service of the jobs of a pool.

    :param order: all jobs; first those of callers that returned, then the others that
        are expected to meet their objective.
    :param in_time: number of all jobs that are expected to meet it.
    :param put_back: number of the others that could have met it with enough room.
    :param end_s: when each job is expected to end, in seconds from now.
    """

    order: list[T]
    in_time: int
    put_back: int
    end_s: dict[T, float]


class _InTime(Generic[T]):
    """Jobs taken up so far, from which the cheapest to delay is taken out again.

    The largest jobs would always be the cheapest to delay. They are passed over while
    too small a part of them is left, but not for more urgent ones.

    :param large: least room that one of the largest jobs needs, in pool seconds.
    """

    def __init__(self, large: float):
        self._large = large
        self._taken_up = {True: 0, False: 0}
        self._heaps: dict[bool, list[tuple[int, float, int, WaitingJob[T]]]] = {
            True: [],
            False: [],
        }

    def add(self, job: WaitingJob[T]) -> None:
        """Take up a job."""
        priority, cost = job.delay_rank
        is_large = job.pool_seconds >= self._large
        number = sum(self._taken_up.values())
        self._taken_up[is_large] += 1
        heapq.heappush(self._heaps[is_large], (-priority, -cost, -number, job))

    def __len__(self) -> int:
        return sum(map(len, self._heaps.values()))

    def pop_cheapest(self) -> WaitingJob[T]:
        """Take out the job whose delay costs callers least."""
        large, others = self._heaps[True], self._heaps[False]
        if not large or not others:
            heap = large or others
        elif large[0][0] >= others[0][0] and self._spares_large():
            heap = others
        else:
            heap = min(large, others, key=lambda one: one[0])
        return heapq.heappop(heap)[-1]

    def _spares_large(self) -> bool:
        """Return whether too small a part of the largest jobs would be left."""
        large_left = (len(self._heaps[True]) - 1) / self._taken_up[True]
        others_left = len(self._heaps[False]) / self._taken_up[False]
        return large_left < LARGE_JOBS_LEAST_SHARE * others_left

    def jobs(self) -> list[WaitingJob[T]]:
        """Return the jobs by their objectives, earliest first."""
        rows = [row for heap in self._heaps.values() for row in heap]
        rows.sort(key=lambda row: (row[-1].latest_end_s, -row[2]))
        return [job for *_, job in rows]


def plan_service(
    jobs: Iterable[WaitingJob[T]], supply: PoolSupply, busy_seconds: float
) -> ServicePlan[T]:
    """Return the order that keeps the delays that cost callers most from happening.

    :param jobs: the jobs; among equal ones those that are named first go first.
    :param busy_seconds: room that present runs still need; see ``PoolSupply``.
    """
    jobs = list(jobs)
    by_objective = sorted(jobs, key=lambda job: job.latest_end_s)
    returned = [job for job in by_objective if job.returned and job.is_servable]
    in_time: _InTime[T] = _InTime(_least_large(by_objective))
    delayed: list[WaitingJob[T]] = []
    put_back = 0
    load = busy_seconds + sum(job.pool_seconds for job in returned)
    for job in by_objective:
        if job.returned and job.is_servable:
            continue
        if job.path_s > job.latest_end_s or not job.is_servable:
            delayed.append(job)
            continue
        in_time.add(job)
        load += job.pool_seconds
        while in_time and supply.ends_after_s(load) > job.latest_end_s:
            cheapest = in_time.pop_cheapest()
            load -= cheapest.pool_seconds
            delayed.append(cheapest)
            put_back += 1
    position = {job.key: number for number, job in enumerate(jobs)}
    delayed.sort(key=lambda job: (job.delay_rank, position[job.key]))
    first = in_time.jobs()
    ends = _ends(returned + first + delayed, supply, busy_seconds)
    returned_in_time = sum(ends[job.key] <= job.latest_end_s for job in returned)
    return ServicePlan([*ends], returned_in_time + len(first), put_back, ends)


def _least_large(jobs: list[WaitingJob[T]]) -> float:
    """Return the room that the smallest of the largest tenth of the jobs needs.

    Among a few jobs none counts as large.
    """
    count = len(jobs) // LARGE_JOBS_DIVISOR
    sizes = sorted((job.pool_seconds for job in jobs), reverse=True)
    return sizes[count - 1] if count else float("inf")


def _ends(
    jobs: list[WaitingJob[T]], supply: PoolSupply, busy_seconds: float
) -> dict[T, float]:
    """Return when jobs that are served in this order end, in seconds from now.

    A job that the pool can't serve never ends, and takes no room from others.
    """
    load = busy_seconds
    end_s: dict[T, float] = {}
    for job in jobs:
        if not job.is_servable:
            end_s[job.key] = math.inf
            continue
        load += job.pool_seconds
        end_s[job.key] = max(job.path_s, supply.ends_after_s(load))
    return end_s
