"""Cost of a broken worker, and of poison jobs, which fail on every worker.

In one scenario, one worker of a pool of six breaks and fails all its runs at once. In
the other, all workers are healthy and one job in fifty is a poison job.
"""

from collections.abc import Iterator
from random import Random

import msgspec

from benchmarks.dispatcher import Board, Dispatcher, Placing, Policy, Report, Team
from benchmarks.fake import SLOTS, FakeWorker, Loop, Stream, arrivals, make_workers
from benchmarks.figure import Figure
from hickoryplank.core.objects import WorkClass

__all__ = ["figures"]

SEED = 20261205
POOL = "rondas-norte"
VMS = 6
CAPACITY = float(VMS * SLOTS)
RUN_SECONDS = 0.2
LOAD = 0.7
BREAK_SECONDS = 5.0
END_SECONDS = 35.0
COST_TARGET_REQUESTS = 4
GIVE_UP_TARGET_ATTEMPTS = 3
BAD_PART = 0.02
POLICIES = {
    "random": Policy(placing=Placing.RANDOM, eject=False),
    "two_choices": Policy(placing=Placing.TWO_CHOICES, eject=False),
}


class Result(msgspec.Struct):
    """Measurements of one simulation.

    :param failed_starts: starts on the broken worker after it broke.
    :param lost: requests that were not answered.
    :param ejected: number of ejected workers, all of them healthy, summed over
        samples that are 0.1 s apart.
    :param bad: number of poison jobs.
    :param bad_attempts: attempts at poison jobs.
    :param wait: 99th percentile of the waits of urgent requests, in seconds.
    """

    failed_starts: int
    lost: int
    ejected: int
    bad: int
    bad_attempts: int
    wait: float


def percentile(values: list[float], part: float) -> float:
    """Return the value that the fraction ``part`` of ``values`` does not exceed."""
    return sorted(values)[int(part * (len(values) - 1))] if values else 0.0


def _run(policy: Policy, break_worker: bool, bad: float) -> Result:
    loop, report = Loop(), Report()
    board = Board(loop, {"rutas": Team(100.0, 1000)}, CAPACITY)
    workers = make_workers(loop, POOL, VMS)
    rng = Random(SEED)
    owner = Dispatcher(loop, POOL, workers, board, policy, rng, report)
    stream = Stream(
        queue="rondas",
        pool=POOL,
        team="rutas",
        work_class=WorkClass.URGENT,
        rate=lambda now: LOAD * CAPACITY / RUN_SECONDS,
        seconds=RUN_SECONDS,
        deadline=3.0,
        bad=bad,
    )
    jobs = list(arrivals(stream, rng, stream.rate(0.0), END_SECONDS - 3.0))
    for job in jobs:
        loop.at(job.item.arrived, lambda job=job: owner.submit(job))
    ejected = 0

    def watch() -> None:
        nonlocal ejected
        rows = owner.endpoints.members(POOL)
        ejected += sum(row.ejected_until is not None for row in rows)

    loop.every(0.1, watch)
    starts = _break_later(loop, workers[2]) if break_worker else []
    loop.run(END_SECONDS)
    never = sum(job.bad for job in jobs)
    return Result(
        failed_starts=workers[2].starts - starts[0] if starts else 0,
        lost=report.submitted - report.answered,
        ejected=0 if break_worker else ejected,
        bad=never,
        bad_attempts=report.failed_attempts,
        wait=percentile(report.waits, 0.99),
    )


def _break_later(loop: Loop, worker: FakeWorker) -> list[int]:
    """Break ``worker`` later; its starts until then are appended to the result."""
    starts = []

    def break_now() -> None:
        worker.fails = True
        starts.append(worker.starts)

    loop.at(BREAK_SECONDS, break_now)
    return starts


def figures() -> Iterator[Figure]:
    """Yield the cost of a broken worker, and of poison jobs."""
    broken, never = _run(Policy(), True, 0.0), _run(Policy(), False, BAD_PART)
    for name, policy in POLICIES.items():
        base, base_never = _run(policy, True, 0.0), _run(policy, False, BAD_PART)
        yield Figure(
            name=f"placement.starts_on_broken_worker.vs_{name}",
            value=broken.failed_starts,
            unit="requests in 30 s",
            target=COST_TARGET_REQUESTS,
            baseline=base.failed_starts,
        )
        yield Figure(
            name=f"placement.lost_to_broken_worker.vs_{name}",
            value=broken.lost,
            unit="requests",
            target=0,
            baseline=base.lost,
        )
        yield Figure(
            name=f"placement.wait_p99_with_broken_worker.vs_{name}",
            value=round(broken.wait, 3),
            unit="s",
            baseline=round(base.wait, 3),
        )
        yield Figure(
            name=f"placement.wait_p99_with_jobs_that_never_run.vs_{name}",
            value=round(never.wait, 3),
            unit="s",
            baseline=round(base_never.wait, 3),
        )
        yield Figure(
            name=f"placement.attempts_of_a_job_that_never_runs.vs_{name}",
            value=round(never.bad_attempts / never.bad, 2),
            unit="attempts",
            target=GIVE_UP_TARGET_ATTEMPTS,
            baseline=round(base_never.bad_attempts / base_never.bad, 2),
        )
    yield Figure(
        name="placement.jobs_lost_besides_those_that_never_run",
        value=never.lost - never.bad,
        unit="requests",
        target=0,
    )
    yield Figure(
        name="placement.ejections_by_jobs_that_never_run",
        value=never.ejected,
        unit="beats",
        target=0,
    )
