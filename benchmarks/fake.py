"""Fake workers of a pool, and streams of requests to them, in virtual time."""

import heapq
from collections.abc import Callable, Iterator
from itertools import count
from random import Random

import msgspec

from hickoryplank.core.ids import PoolId, QueueId, Rack, TeamId, VmId, Zone
from hickoryplank.core.objects import WorkClass
from hickoryplank.core.placement import EndpointRow, RunResult
from hickoryplank.core.queues import WorkItem

__all__ = ["EventLoop", "FakeWorker", "Job", "Stream", "arrivals", "make_workers"]

ZONES = ("talcahuano", "concepcion", "coronel")
VMS_PER_RACK = 4
SLOTS = 8
#: Time from start to failure of a run that fails.
FAILED_RUN_SECONDS = 0.005


class EventLoop:
    """Event loop in virtual time, which starts at 0 seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = count()

    def call_at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` at the time ``when``, in seconds."""
        heapq.heappush(self._events, (when, next(self._serial), callback))

    def call_every(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedule ``callback`` every ``seconds``, starting ``seconds`` from now."""

        def call_and_reschedule() -> None:
            callback()
            self.call_at(self.now + seconds, call_and_reschedule)

        self.call_at(self.now + seconds, call_and_reschedule)

    def run(self, until: float) -> None:
        """Run all events up to the time ``until``, in seconds."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until


class Job(msgspec.Struct, frozen=True):
    """A request, with the true run time and size that no dispatcher knows.

    :param run_seconds: true run time, in seconds.
    :param units: true size, in units.
    :param is_poison: whether the request fails on every worker.
    """

    item: WorkItem
    run_seconds: float
    units: float = 1.0
    is_poison: bool = False


class FakeWorker:
    """Fake worker with slots and injected faults."""

    def __init__(self, loop: EventLoop, endpoint: EndpointRow) -> None:
        self.endpoint = endpoint
        self.crashed = False
        self.failing = False
        self.starts = 0
        self._loop = loop
        self._runs: dict[int, float] = {}
        self._blackholed_runs: set[int] = set()
        self._serial = count()

    def start(self, job: Job, on_end: Callable[[RunResult], None]) -> int:
        """Start a run and return its number.

        :param on_end: called with the result, unless the run is stopped, the VM has
            crashed or the connection is silent.
        """
        run = next(self._serial)
        self.starts += 1
        if self.crashed:
            return run
        used_units = sum(self._runs.values())
        over_capacity = bool(self._runs) and used_units + job.units > SLOTS
        full = over_capacity or len(self._runs) >= SLOTS
        self._runs[run] = 0.0 if full else job.units
        result, seconds = RunResult.DONE, job.run_seconds
        if full:
            result, seconds = RunResult.BUSY, 0.001
        elif self.failing or job.is_poison:
            result, seconds = RunResult.FAILED, FAILED_RUN_SECONDS
        self._loop.call_at(
            self._loop.now + seconds, lambda: self._end(run, result, on_end)
        )
        return run

    def stop(self, run: int) -> None:
        """Stop a run without calling its ``on_end``."""
        self._runs.pop(run, None)

    def crash(self) -> None:
        """Crash the VM: no run on it answers any more."""
        self.crashed = True
        self._runs.clear()

    def blackhole(self) -> None:
        """Drop the answers of all current runs; new runs are answered."""
        self._blackholed_runs.update(self._runs)

    def _end(self, run: int, result: RunResult, on_end) -> None:
        if self._runs.pop(run, None) is not None and run not in self._blackholed_runs:
            on_end(result)


def make_workers(loop: EventLoop, pool: PoolId, size: int) -> list[FakeWorker]:
    """Return ``size`` workers of one pool, spread over the zones."""
    return [
        FakeWorker(
            loop,
            EndpointRow(
                vm=VmId(f"{pool}-{i}"),
                pool=pool,
                zone=Zone(ZONES[i % len(ZONES)]),
                rack=Rack(f"{ZONES[i % len(ZONES)]}-{i // VMS_PER_RACK}"),
                slots=SLOTS,
            ),
        )
        for i in range(size)
    ]


class Stream(msgspec.Struct, frozen=True, kw_only=True):
    """Random stream of requests of one team to one queue.

    :param rate: requests per second, as a function of the time in seconds.
    :param run_seconds: mean run time, in seconds.
    :param deadline: time from arrival by which a request has to start, in seconds.
    :param units: true size of each request, in units.
    :param poison_fraction: fraction of the requests that fail on every worker.
    """

    queue: QueueId
    pool: PoolId
    team: TeamId
    work_class: WorkClass
    rate: Callable[[float], float]
    run_seconds: float
    deadline: float
    units: float = 1.0
    poison_fraction: float = 0.0


def arrivals(
    stream: Stream, rng: Random, max_rate: float, until: float
) -> Iterator[Job]:
    """Yield the requests of a Poisson process with a variable rate, by thinning.

    :param max_rate: upper bound of the rate of ``stream``, in requests per second.
    :param until: end of the stream, in seconds.
    """
    now = 0.0
    for number in count():
        now += rng.expovariate(max_rate)
        if now >= until:
            return
        if rng.random() * max_rate >= stream.rate(now):
            continue
        name = f"{stream.queue}-{stream.team}-{stream.work_class.value}-{number}"
        item = WorkItem(
            request=name,
            task=name,
            team=stream.team,
            queue=stream.queue,
            pool=stream.pool,
            work_class=stream.work_class,
            arrived=now,
            deadline=now + stream.deadline,
        )
        seconds = stream.run_seconds * rng.uniform(0.5, 1.5)
        yield Job(item, seconds, stream.units, rng.random() < stream.poison_fraction)
