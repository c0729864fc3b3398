"""Goodput and wait of urgent work under rotating bursts and faults.

Five queues in turn have a burst of five times their mean demand for some seconds.
During the third burst a fault is injected: a VM, a rack or a zone crashes, open
connections go silent, or all workers of a pool fail. Where a burst fits the capacity
of its pool, parts of the policy are switched off one at a time; where it exceeds the
capacity, all at once, and for the loss of a zone also load shedding alone.
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
from benchmarks.placement import percentile
from hickoryplank.core.objects import WorkClass

__all__ = ["figures"]

SEED = 20261206
POOLS = ("norte", "claro", "costa", "color", "socios")
VMS_PER_POOL = 6
POOL_UNITS = float(VMS_PER_POOL * SLOTS)
BURST_SECONDS = 4.0
END_SECONDS = 20.0
FAULT_AT_SECONDS = 9.0
URGENT_SECONDS, BATCH_SECONDS = 0.4, 2.0
URGENT_DEADLINE_SECONDS, BATCH_DEADLINE_SECONDS = 1.6, 600.0
#: Demand as a fraction of the capacity of a pool. The first three are urgent work: in
#: a burst below the capacity, in a burst above it, and between bursts. The last is
#: batch work.
FITTING_BURST, OVERFULL_BURST, QUIET_DEMAND, BATCH_DEMAND = 0.75, 1.3, 0.013, 0.1
TEAMS = {"rutas": Team(55.0, 200), "precios": Team(30.0, 200), "pagos": Team(15.0, 200)}
#: Fraction of the urgent demand that each team has.
URGENT_FRACTIONS = {"rutas": 0.65, "precios": 0.35}
#: For each fault, the number of pools with crashed VMs, and the indexes of the VMs
#: that crash in each of these pools.
CRASHES = {"none": (0, ()), "vm": (1, (0,)), "rack": (2, (0, 3)), "zone": (5, (0, 3))}
FAULTS = (*CRASHES, "silence", "failure")
BLACKHOLED_VMS = (0, 3)
#: Time for which all workers of a pool fail every run.
FAILURE_DURATION_SECONDS = 3.0
ALL_OFF = {"budget": False, "hedge": False, "eject": False, "shed": False}
VARIANTS = {
    **{f"no_{name}": Policy(**{name: False}) for name in ALL_OFF},
    "none_of_them": Policy(**ALL_OFF),
}
TWO_CHOICES = Policy(
    placement=PlacementPolicy.TWO_CHOICES, preempt=False, budget=False, hedge=False
)


class RoutingResult(msgspec.Struct):
    """Measurements of one simulation.

    :param goodput: urgent requests that started before their deadline, in percent.
    :param wait_p99: 99th percentile of the waits of urgent requests, in seconds.
    :param attempts: mean number of attempts per request.
    """

    goodput: float
    wait_p99: float
    attempts: float


def _streams(burst_demand: float) -> Iterator[Stream]:
    for number, pool in enumerate(POOLS):

        def rate(now: float, number: int = number) -> float:
            in_burst = int(now / BURST_SECONDS) % len(POOLS) == number
            return (
                (burst_demand if in_burst else QUIET_DEMAND)
                * POOL_UNITS
                / URGENT_SECONDS
            )

        for team, fraction in URGENT_FRACTIONS.items():
            yield Stream(
                queue=f"urgent-{pool}",
                pool=pool,
                team=team,
                work_class=WorkClass.URGENT,
                rate=lambda now, rate=rate, fraction=fraction: fraction * rate(now),
                run_seconds=URGENT_SECONDS,
                deadline=URGENT_DEADLINE_SECONDS,
            )
        yield Stream(
            queue=f"batch-{pool}",
            pool=pool,
            team="pagos",
            work_class=WorkClass.BATCH,
            rate=lambda now: BATCH_DEMAND * POOL_UNITS / BATCH_SECONDS,
            run_seconds=BATCH_SECONDS,
            deadline=BATCH_DEADLINE_SECONDS,
        )


def _simulate(
    policy: Policy, fault: str, burst_demand: float, nodes: int = 1
) -> RoutingResult:
    """Simulate the demand.

    :param burst_demand: urgent demand during a burst, as a fraction of the pool's
        capacity.
    :param nodes: number of dispatchers of each pool.
    """
    loop, stats = EventLoop(), DispatchStats()
    cluster = ClusterState(loop, TEAMS, POOL_UNITS * len(POOLS))
    workers_by_pool = {pool: make_workers(loop, pool, VMS_PER_POOL) for pool in POOLS}
    dispatchers = {
        pool: [
            Dispatcher(loop, pool, workers, cluster, policy, Random(SEED + i), stats)
            for i in range(nodes)
        ]
        for pool, workers in workers_by_pool.items()
    }
    rng = Random(SEED)
    max_rate = burst_demand * POOL_UNITS / URGENT_SECONDS
    for stream in _streams(burst_demand):
        for job in arrivals(stream, rng, max_rate, END_SECONDS - 4.0):
            dispatcher = rng.choice(dispatchers[stream.pool])
            loop.call_at(
                job.item.arrived,
                lambda dispatcher=dispatcher, job=job: dispatcher.submit(job),
            )
    loop.call_at(
        FAULT_AT_SECONDS,
        lambda: _inject_fault(loop, fault, workers_by_pool, dispatchers),
    )
    loop.run(END_SECONDS)
    return RoutingResult(
        100.0 * stats.urgent_in_time / stats.urgent,
        percentile(stats.urgent_waits, 0.99),
        stats.attempts / stats.submitted,
    )


def _inject_fault(
    loop: EventLoop,
    fault: str,
    workers_by_pool: dict[str, list[FakeWorker]],
    dispatchers: dict[str, list[Dispatcher]],
) -> None:
    burst_pool_index = int(FAULT_AT_SECONDS / BURST_SECONDS)
    if fault == "silence":
        for number in BLACKHOLED_VMS:
            workers_by_pool[POOLS[burst_pool_index]][number].blackhole()
        return
    if fault == "failure":
        _set_failing(workers_by_pool[POOLS[burst_pool_index]], True)
        loop.call_at(
            FAULT_AT_SECONDS + FAILURE_DURATION_SECONDS,
            lambda: _set_failing(workers_by_pool[POOLS[burst_pool_index]], False),
        )
        return
    pools, vm_numbers = CRASHES[fault]
    for pool_offset in range(pools):
        pool = POOLS[(burst_pool_index + pool_offset) % len(POOLS)]
        vms = [workers_by_pool[pool][number].endpoint.vm for number in vm_numbers]
        for dispatcher in dispatchers[pool]:
            dispatcher.crash(vms)


def _set_failing(workers: list[FakeWorker], failing: bool) -> None:
    for worker in workers:
        worker.failing = failing


def _compare(
    name: str, result: RoutingResult, baseline: RoutingResult
) -> Iterator[Figure]:
    yield Figure(
        name=f"routing.goodput.{name}",
        value=round(result.goodput, 2),
        unit="% of urgent",
        baseline=round(baseline.goodput, 2),
    )
    yield Figure(
        name=f"routing.wait_p99.{name}",
        value=round(result.wait_p99, 3),
        unit="s",
        target=URGENT_DEADLINE_SECONDS,
        baseline=round(baseline.wait_p99, 3),
    )
    yield Figure(
        name=f"routing.attempts.{name}",
        value=round(result.attempts, 3),
        unit="a request",
        baseline=round(baseline.attempts, 3),
    )


def figures() -> Iterator[Figure]:
    """Yield goodput, wait and attempts for each fault and variant of the policy."""
    for fault in FAULTS:
        yield from _compare_variants(fault, FITTING_BURST, "fitting", _variants(fault))
    for fault in FAULTS:
        result = _simulate(Policy(), fault, OVERFULL_BURST)
        baseline = _simulate(VARIANTS["none_of_them"], fault, OVERFULL_BURST)
        yield from _compare(f"overfull.{fault}.vs_none_of_them", result, baseline)
        baseline = _simulate(TWO_CHOICES, fault, OVERFULL_BURST, nodes=3)
        yield from _compare(
            f"overfull.{fault}.vs_two_choices_at_3_nodes", result, baseline
        )
    shed = {"no_shed": VARIANTS["no_shed"]}
    yield from _compare_variants("zone", OVERFULL_BURST, "overfull", shed)


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


def _compare_variants(
    fault: str, burst_demand: float, name: str, variants: dict[str, Policy]
) -> Iterator[Figure]:
    result = _simulate(Policy(), fault, burst_demand)
    for variant, policy in variants.items():
        baseline = _simulate(policy, fault, burst_demand)
        yield from _compare(f"{name}.{fault}.vs_{variant}", result, baseline)
