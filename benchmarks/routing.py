"""Goodput and wait of urgent work under rotating bursts and faults.

Five queues in turn have a burst of five times their mean demand for some seconds.
During the third burst a fault is injected: a VM, racks or a zone crash, open
connections go silent, or all workers of a pool fail. Where a burst fits the capacity
of its pool, parts of the policy are switched off one at a time; where it exceeds the
capacity, all at once, and for the loss of a zone also load shedding alone.
"""

from collections.abc import Iterator
from random import Random

import msgspec

from benchmarks.dispatcher import Board, Dispatcher, Placing, Policy, Report, Team
from benchmarks.fake import SLOTS, FakeWorker, Loop, Stream, arrivals, make_workers
from benchmarks.figure import Figure
from benchmarks.placement import percentile
from hickoryplank.core.objects import WorkClass

__all__ = ["figures"]

SEED = 20261206
POOLS = ("norte", "claro", "costa", "color", "socios")
VMS_PER_POOL = 6
POOL_UNITS = float(VMS_PER_POOL * SLOTS)
BURST_SECONDS = 4.0
END_SECONDS = 20.0
FAULT_SECONDS = 9.0
URGENT_SECONDS, BATCH_SECONDS = 0.4, 2.0
URGENT_DEADLINE_SECONDS, BATCH_DEADLINE_SECONDS = 1.6, 600.0
#: Demand as a fraction of the capacity of a pool: of a queue in a burst that fits, in
#: a burst that exceeds the capacity and between bursts, and of batch work.
FITTING, OVERFULL, QUIET, BATCH = 0.75, 1.3, 0.013, 0.1
TEAMS = {"rutas": Team(55.0, 200), "precios": Team(30.0, 200), "pagos": Team(15.0, 200)}
#: Fraction of the urgent demand that each team has.
PARTS = {"rutas": 0.65, "precios": 0.35}
#: VMs that crash in each fault: the number of pools, and the VMs in each of them.
LOSSES = {"none": (0, ()), "vm": (1, (0,)), "rack": (2, (0, 3)), "zone": (5, (0, 3))}
FAULTS = (*LOSSES, "silence", "failure")
SILENT_VMS = (0, 3)
#: Time for which all workers of a pool fail every run.
FAILURE_SECONDS = 3.0
OFF = {"budget": False, "hedge": False, "eject": False, "shed": False}
VARIANTS = {
    **{f"no_{name}": Policy(**{name: False}) for name in OFF},
    "none_of_them": Policy(**OFF),
}
TWO_CHOICES = Policy(
    placing=Placing.TWO_CHOICES, preempt=False, budget=False, hedge=False
)


class Result(msgspec.Struct):
    """Measurements of one simulation.

    :param goodput: urgent requests that started before their deadline, in percent.
    :param wait: 99th percentile of the waits of urgent requests, in seconds.
    :param attempts: mean number of attempts per request.
    """

    goodput: float
    wait: float
    attempts: float


def _streams(burst: float) -> Iterator[Stream]:
    for number, pool in enumerate(POOLS):

        def rate(now: float, number: int = number) -> float:
            turn = int(now / BURST_SECONDS) % len(POOLS) == number
            return (burst if turn else QUIET) * POOL_UNITS / URGENT_SECONDS

        for team, part in PARTS.items():
            yield Stream(
                queue=f"urgent-{pool}",
                pool=pool,
                team=team,
                work_class=WorkClass.URGENT,
                rate=lambda now, rate=rate, part=part: part * rate(now),
                seconds=URGENT_SECONDS,
                deadline=URGENT_DEADLINE_SECONDS,
            )
        yield Stream(
            queue=f"batch-{pool}",
            pool=pool,
            team="pagos",
            work_class=WorkClass.BATCH,
            rate=lambda now: BATCH * POOL_UNITS / BATCH_SECONDS,
            seconds=BATCH_SECONDS,
            deadline=BATCH_DEADLINE_SECONDS,
        )


def _run(policy: Policy, fault: str, burst: float, nodes: int = 1) -> Result:
    """Simulate the demand.

    :param burst: demand of a queue in its burst, as a fraction of its pool's capacity.
    :param nodes: number of dispatchers of each pool.
    """
    loop, report = Loop(), Report()
    board = Board(loop, TEAMS, POOL_UNITS * len(POOLS))
    fleet = {pool: make_workers(loop, pool, VMS_PER_POOL) for pool in POOLS}
    owners = {
        pool: [
            Dispatcher(loop, pool, workers, board, policy, Random(SEED + i), report)
            for i in range(nodes)
        ]
        for pool, workers in fleet.items()
    }
    rng = Random(SEED)
    top = burst * POOL_UNITS / URGENT_SECONDS
    for stream in _streams(burst):
        for job in arrivals(stream, rng, top, END_SECONDS - 4.0):
            owner = rng.choice(owners[stream.pool])
            loop.at(job.item.arrived, lambda o=owner, j=job: o.submit(j))
    loop.at(FAULT_SECONDS, lambda: _break(loop, fault, fleet, owners))
    loop.run(END_SECONDS)
    return Result(
        100.0 * report.urgent_in_time / report.urgent,
        percentile(report.waits, 0.99),
        report.attempts / report.submitted,
    )


def _break(
    loop: Loop,
    fault: str,
    fleet: dict[str, list[FakeWorker]],
    owners: dict[str, list[Dispatcher]],
) -> None:
    first = int(FAULT_SECONDS / BURST_SECONDS)
    if fault == "silence":
        for number in SILENT_VMS:
            fleet[POOLS[first]][number].silence()
        return
    if fault == "failure":
        _fail(fleet[POOLS[first]], True)
        loop.at(
            FAULT_SECONDS + FAILURE_SECONDS, lambda: _fail(fleet[POOLS[first]], False)
        )
        return
    pools, numbers = LOSSES[fault]
    for step in range(pools):
        pool = POOLS[(first + step) % len(POOLS)]
        vms = [fleet[pool][number].endpoint.vm for number in numbers]
        for owner in owners[pool]:
            owner.lose(vms)


def _fail(workers: list[FakeWorker], fails: bool) -> None:
    for worker in workers:
        worker.fails = fails


def _compare(name: str, ours: Result, other: Result) -> Iterator[Figure]:
    yield Figure(
        name=f"routing.goodput.{name}",
        value=round(ours.goodput, 2),
        unit="% of urgent",
        baseline=round(other.goodput, 2),
    )
    yield Figure(
        name=f"routing.wait_p99.{name}",
        value=round(ours.wait, 3),
        unit="s",
        target=URGENT_DEADLINE_SECONDS,
        baseline=round(other.wait, 3),
    )
    yield Figure(
        name=f"routing.attempts.{name}",
        value=round(ours.attempts, 3),
        unit="a request",
        baseline=round(other.attempts, 3),
    )


def figures() -> Iterator[Figure]:
    """Yield goodput, wait and attempts for each fault and variant of the policy."""
    for fault in FAULTS:
        yield from _versus(fault, FITTING, "fitting", _variants(fault))
    for fault in FAULTS:
        ours = _run(Policy(), fault, OVERFULL)
        other = _run(VARIANTS["none_of_them"], fault, OVERFULL)
        yield from _compare(f"overfull.{fault}.vs_none_of_them", ours, other)
        other = _run(TWO_CHOICES, fault, OVERFULL, nodes=3)
        yield from _compare(f"overfull.{fault}.vs_two_choices_at_3_nodes", ours, other)
    shed = {"no_shed": VARIANTS["no_shed"]}
    yield from _versus("zone", OVERFULL, "overfull", shed)


def _variants(fault: str) -> dict[str, Policy]:
    """Return the variants whose results differ under ``fault`` where bursts fit."""
    match fault:
        case "none":
            names = ("none_of_them",)
        case "failure":
            names = ("no_budget", "no_eject", "none_of_them")
        case _:
            names = ("no_hedge", "no_eject", "none_of_them")
    return {name: VARIANTS[name] for name in names}


def _versus(
    fault: str, burst: float, name: str, variants: dict[str, Policy]
) -> Iterator[Figure]:
    ours = _run(Policy(), fault, burst)
    for variant, policy in variants.items():
        other = _run(policy, fault, burst)
        yield from _compare(f"{name}.{fault}.vs_{variant}", ours, other)
