"""Cost of a broken worker, and of poison jobs, which fail on every worker.

In one scenario, one worker of a pool of six breaks and fails all its runs immediately.
In the other, all workers are healthy and one job in fifty is a poison job.
"""

from collections.abc import Iterator
from random import Random

import msgspec

from benchmarks.dispatcher import (
    ClusterState,
    Dispatcher,
    DispatchStats,
    PlacementPolicy,
    Policy,
    Team,
)
from benchmarks.fake import SLOTS, EventLoop, FakeWorker, Stream, arrivals, make_workers
from benchmarks.figure import Figure
from hickoryplank.core.objects import WorkClass

__all__ = ["figures"]

SEED = 20261205
POOL = "rondas-norte"
VMS = 6
CAPACITY = float(VMS * SLOTS)
RUN_SECONDS = 0.2
LOAD_FACTOR = 0.7
BREAK_AT_SECONDS = 5.0
END_SECONDS = 35.0
FAILED_STARTS_TARGET = 4
POISON_ATTEMPTS_TARGET = 3
POISON_FRACTION = 0.02
BASELINE_POLICIES = {
    "random": Policy(placement=PlacementPolicy.RANDOM, eject=False),
    "two_choices": Policy(placement=PlacementPolicy.TWO_CHOICES, eject=False),
}


class PlacementResult(msgspec.Struct):
    """Measurements of one simulation.

    :param failed_starts: starts on the broken worker after it broke.
    :param unanswered: requests that were not answered.
    :param ejected_samples: number of ejected workers, all of them healthy, summed over
        samples that are 0.1 s apart.
    :param poison_jobs: number of poison jobs.
    :param poison_attempts: attempts at poison jobs.
    :param wait_p99: 99th percentile of the waits of urgent requests, in seconds.
    """

    failed_starts: int
    unanswered: int
    ejected_samples: int
    poison_jobs: int
    poison_attempts: int
    wait_p99: float


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of ``values``, or 0 if there are none.

    :param fraction: rank of the percentile, such as 0.99 for the 99th.
    """
    return sorted(values)[int(fraction * (len(values) - 1))] if values else 0.0


def _simulate(
    policy: Policy, break_worker: bool, poison_fraction: float
) -> PlacementResult:
    loop, stats = EventLoop(), DispatchStats()
    cluster = ClusterState(loop, {"rutas": Team(100.0, 1000)}, CAPACITY)
    workers = make_workers(loop, POOL, VMS)
    rng = Random(SEED)
    dispatcher = Dispatcher(loop, POOL, workers, cluster, policy, rng, stats)
    stream = Stream(
        queue="rondas",
        pool=POOL,
        team="rutas",
        work_class=WorkClass.URGENT,
        rate=lambda now: LOAD_FACTOR * CAPACITY / RUN_SECONDS,
        run_seconds=RUN_SECONDS,
        deadline=3.0,
        poison_fraction=poison_fraction,
    )
    jobs = list(arrivals(stream, rng, stream.rate(0.0), END_SECONDS - 3.0))
    for job in jobs:
        loop.call_at(job.item.arrived, lambda job=job: dispatcher.submit(job))
    ejected_samples = 0

    def count_ejected() -> None:
        nonlocal ejected_samples
        rows = dispatcher.endpoints.members(POOL)
        ejected_samples += sum(row.ejected_until is not None for row in rows)

    loop.call_every(0.1, count_ejected)
    starts_before = _schedule_break(loop, workers[2]) if break_worker else []
    loop.run(END_SECONDS)
    poison_jobs = sum(job.is_poison for job in jobs)
    return PlacementResult(
        failed_starts=workers[2].starts - starts_before[0] if starts_before else 0,
        unanswered=stats.submitted - stats.answered,
        ejected_samples=0 if break_worker else ejected_samples,
        poison_jobs=poison_jobs,
        poison_attempts=stats.failed_attempts,
        wait_p99=percentile(stats.urgent_waits, 0.99),
    )


def _schedule_break(loop: EventLoop, worker: FakeWorker) -> list[int]:
    """Break ``worker`` at ``BREAK_AT_SECONDS``.

    The returned list is empty until then; it then holds the number of earlier starts.
    """
    starts_before = []

    def break_now() -> None:
        worker.failing = True
        starts_before.append(worker.starts)

    loop.call_at(BREAK_AT_SECONDS, break_now)
    return starts_before


def figures() -> Iterator[Figure]:
    """Yield the cost of a broken worker, and of poison jobs."""
    with_broken_worker, with_poison_jobs = (
        _simulate(Policy(), True, 0.0),
        _simulate(Policy(), False, POISON_FRACTION),
    )
    for name, policy in BASELINE_POLICIES.items():
        baseline, baseline_with_poison_jobs = (
            _simulate(policy, True, 0.0),
            _simulate(policy, False, POISON_FRACTION),
        )
        yield Figure(
            name=f"placement.starts_on_broken_worker.vs_{name}",
            value=with_broken_worker.failed_starts,
            unit="requests in 30 s",
            target=FAILED_STARTS_TARGET,
            baseline=baseline.failed_starts,
        )
        yield Figure(
            name=f"placement.lost_to_broken_worker.vs_{name}",
            value=with_broken_worker.unanswered,
            unit="requests",
            target=0,
            baseline=baseline.unanswered,
        )
        yield Figure(
            name=f"placement.wait_p99_with_broken_worker.vs_{name}",
            value=round(with_broken_worker.wait_p99, 3),
            unit="s",
            baseline=round(baseline.wait_p99, 3),
        )
        yield Figure(
            name=f"placement.wait_p99_with_jobs_that_never_run.vs_{name}",
            value=round(with_poison_jobs.wait_p99, 3),
            unit="s",
            baseline=round(baseline_with_poison_jobs.wait_p99, 3),
        )
        yield Figure(
            name=f"placement.attempts_of_a_job_that_never_runs.vs_{name}",
            value=round(
                with_poison_jobs.poison_attempts / with_poison_jobs.poison_jobs, 2
            ),
            unit="attempts",
            target=POISON_ATTEMPTS_TARGET,
            baseline=round(
                baseline_with_poison_jobs.poison_attempts
                / baseline_with_poison_jobs.poison_jobs,
                2,
            ),
        )
    yield Figure(
        name="placement.jobs_lost_besides_those_that_never_run",
        value=with_poison_jobs.unanswered - with_poison_jobs.poison_jobs,
        unit="requests",
        target=0,
    )
    yield Figure(
        name="placement.ejections_by_jobs_that_never_run",
        value=with_poison_jobs.ejected_samples,
        unit="beats",
        target=0,
    )
