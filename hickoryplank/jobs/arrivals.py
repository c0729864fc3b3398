"""Estimates the load that arriving jobs put on each pool."""

from collections import deque

from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.model import Job
from hickoryplank.jobs.ordering import critical_path_ms, task_ms
from hickoryplank.jobs.sizes import ZERO, Size

__all__ = ["ArrivalRates"]

#: Longest window over which arrivals are counted, in seconds: half the time that a VM
#: takes to join a pool.
WINDOW_SECONDS = 0.8
#: Arrivals from which a rate is estimated, if they are more recent than that window.
#: With fewer, single arrivals would decide.
ENOUGH_ARRIVALS = 8
#: Shortest window over which arrivals are counted, in seconds. Callers that retry
#: together don't make a rate.
MIN_WINDOW_SECONDS = 0.2
#: Time over which the change of a rate is measured, in seconds.
TREND_SECONDS = 0.6
#: Largest factor by which a rate is expected to grow.
MAX_GROWTH = 3.0
#: Jobs over which the work of a job is averaged.
AVERAGED_JOBS = 64


class _PoolArrivals:
    """Recent arrivals of the jobs of one pool, and the work of its last jobs."""

    def __init__(self) -> None:
        self.times: deque[float] = deque()
        self.works: deque[Size] = deque(maxlen=AVERAGED_JOBS)
        self.paths_ms: deque[int] = deque(maxlen=AVERAGED_JOBS)

    def forecast_rate(self, now: float, lead_s: float) -> float:
        """Return the arrivals per second that are expected ``lead_s`` from now.

        A growing rate is expected to go on growing, if there are enough arrivals to
        tell growth from chance. A rate is not expected to fall.
        """
        while self.times and self.times[0] < now - WINDOW_SECONDS - TREND_SECONDS:
            self.times.popleft()
        rate = self._rate(now)
        if self._count(now) < ENOUGH_ARRIVALS:
            return rate
        growth_per_s = (rate - self._rate(now - TREND_SECONDS)) / TREND_SECONDS
        return min(rate + max(0.0, growth_per_s) * lead_s, rate * MAX_GROWTH)

    def _count(self, at: float) -> int:
        """Return the number of arrivals in the window that ends at ``at``."""
        return sum(at - WINDOW_SECONDS <= time <= at for time in self.times)

    def _rate(self, at: float) -> float:
        """Return the arrivals per second at ``at``; a single one indicates no rate."""
        times = [time for time in self.times if at - WINDOW_SECONDS <= time <= at]
        if len(times) < ENOUGH_ARRIVALS:
            return max(0, len(times) - 1) / WINDOW_SECONDS
        window_s = max(MIN_WINDOW_SECONDS, at - times[-ENOUGH_ARRIVALS])
        return (ENOUGH_ARRIVALS - 1) / window_s

    def mean_path_s(self) -> float:
        """Return the mean length of the critical path of a job, in seconds."""
        return max(1, sum(self.paths_ms) / len(self.paths_ms)) / 1000

    def mean_work(self) -> Size:
        """Return the mean work of a job, without that of the largest job."""
        if len(self.works) < 2:
            return ZERO
        total = ZERO
        for work in self.works:
            total = total.plus(work)
        total = total.minus(max(self.works, key=lambda one: one.cpu))
        return total.scaled(1 / (len(self.works) - 1))


class ArrivalRates:
    """Recent arrivals, and the load if they continue at the same rate.

    A queue may go from almost no load to several times its mean at once, whereas a VM
    takes some seconds to join a pool. The rate is therefore taken from the most recent
    arrivals alone. The work of a job varies far more than the rate, and is averaged
    over more jobs.
    """

    def __init__(self) -> None:
        self._pools: dict[PoolId, _PoolArrivals] = {}

    def add_job(self, job: Job, now: float) -> None:
        """Add an accepted job."""
        arrivals = self._pools.setdefault(job.pool, _PoolArrivals())
        arrivals.times.append(now)
        arrivals.works.append(_total_work(job))
        arrivals.paths_ms.append(critical_path_ms(job))

    def offered_load(self, pool: PoolId, now: float, lead_s: float = 0.0) -> Size:
        """Return the resources in use if jobs arrive at the rate that is expected.

        :param lead_s: how far ahead the rate is expected, in seconds.
        """
        arrivals = self._pools.get(pool)
        if arrivals is None:
            return ZERO
        rate = arrivals.forecast_rate(now, lead_s)
        return arrivals.mean_work().scaled(rate / 1000)

    def expected_load(
        self, pool: PoolId, present: Size, now: float, lead_s: float
    ) -> Size:
        """Return the resources that a pool needs of VMs that join ``lead_s`` from now.

        These are at least the resources to which the present rate of arrivals leads in
        the long run. A growing rate adds to them only as fast as jobs of that length
        replace each other: until then a part of the present jobs ends, and as large a
        part of the load to which the expected rate leads has come in its place.

        :param present: resources that the present jobs need.
        """
        arrivals = self._pools.get(pool)
        if arrivals is None:
            return present
        replaced = min(1.0, lead_s / arrivals.mean_path_s())
        offered = self.offered_load(pool, now, lead_s)
        grown = present.scaled(1 - replaced).plus(offered.scaled(replaced))
        return present.maximum(self.offered_load(pool, now)).maximum(grown)


def _total_work(job: Job) -> Size:
    """Return the resources of all tasks, multiplied by their run times in ms."""
    work = ZERO
    for step in job.steps:
        work = work.plus(step.counted_size.times(step.count * task_ms(step)))
    return work
