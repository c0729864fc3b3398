"""Roll-out time of a maintenance wave through a whole fleet.

Run alone with ``python -m benchmarks.maintenance``.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from benchmarks.figure import Figure
from benchmarks.fleets import deployment, fleet, new_id
from hickoryplank.core.ids import PoolId, VmId
from hickoryplank.core.maintenance import MaintenancePolicy
from hickoryplank.core.objects import Kind
from hickoryplank.core.records import VmReport, WaveChange, WaveState
from hickoryplank.core.tables import Tables
from hickoryplank.core.vms import budget_of, in_service
from tests.core.fake_vms import FakeVms

SEED = 20
TICK_SECONDS = 1.0
DAY_SECONDS = 86_400.0
FAILURES_A_DAY_PER_VM = 21 / 1500
FAILURE_SECONDS = 600.0
ROLLOUT_RATIO_TARGET = 1.25
LIMIT_SECONDS = 20_000


@dataclass
class Rollout:
    """What one wave took.

    :param seconds: from the start of the wave to its end.
    :param bound: the shortest time that budgets, drains and reboots allow.
    :param serial: the time with one VM at a time.
    """

    seconds: float = 0.0
    bound: float = 0.0
    serial: float = 0.0
    failures: int = 0
    records: int = 0
    refused: int = 0
    cut_off: int = 0
    over_budget: int = 0
    out_since: dict[VmId, float] = field(default_factory=dict)


def _rooms(tables: Tables) -> dict[PoolId, int]:
    return {
        pool: max(1, in_service(tables, pool) - budget_of(tables, pool))
        for pool in tables.objects[Kind.POOL]
    }


def _fail(fake: FakeVms, rng: Random, rate: float, down: dict[VmId, float]) -> int:
    """Let VMs fail at random, and failed ones recover."""
    failed = 0
    for vm, until in list(down.items()):
        if fake.now >= until:
            del down[vm]
            fake.append(VmReport(id=new_id(), vm=vm, healthy=True))
    for vm in fake.vms if rate else ():
        if rng.random() < rate and vm not in down:
            down[vm] = fake.now + FAILURE_SECONDS
            fake.append(VmReport(id=new_id(), vm=vm, healthy=False))
            failed += 1
    return failed


def roll_out(tables: Tables, failures: float = 0.0, seed: int = SEED) -> Rollout:
    """Take every VM of ``tables`` through one wave.

    :param failures: chance that a VM fails, a second.
    """
    rng = Random(seed)
    rooms = _rooms(tables)
    fake = FakeVms(tables, Random(seed), MaintenancePolicy(), bad_probe=0.02)
    wave = WaveChange(
        id=new_id(),
        wave="all",
        operator="bench",
        state=WaveState.RUNNING,
        pools=tuple(rooms),
    )
    fake.append(wave).unwrap()
    out = Rollout()
    spent: dict[PoolId, list[float]] = {pool: [] for pool in rooms}
    down: dict[VmId, float] = {}
    while tables.waves["all"].state is WaveState.RUNNING and fake.now < LIMIT_SECONDS:
        fake.step(TICK_SECONDS)
        out.failures += _fail(fake, rng, failures * TICK_SECONDS, down)
        _follow(tables, out, spent, fake.now)
    out.seconds = fake.now
    out.bound = max(
        max(sum(times) / rooms[pool], max(times)) for pool, times in spent.items()
    )
    out.serial = sum(sum(times) for times in spent.values())
    out.records, out.refused = fake.accepted, fake.refused
    out.cut_off, out.over_budget = fake.cut_off, fake.over_budget
    return out


def _follow(
    tables: Tables, out: Rollout, spent: dict[PoolId, list[float]], now: float
) -> None:
    away = tables.vm_index.away
    for vm in away:
        out.out_since.setdefault(vm, now)
    for vm in [vm for vm in out.out_since if vm not in away]:
        spent[tables.vms[vm].pool].append(now - out.out_since.pop(vm))


def figures() -> Iterator[Figure]:
    """Yield roll-out times against their lower bounds, and what was cut off."""
    rate = FAILURES_A_DAY_PER_VM / DAY_SECONDS
    for name, tables, failures in (
        ("30 VMs", deployment(), 0.0),
        ("30 VMs, 200 times the failures", deployment(), 200 * rate),
        ("1,500 VMs", fleet(), 0.0),
        ("1,500 VMs, ordinary failures", fleet(), rate),
        ("1,500 VMs, 20 times the failures", fleet(), 20 * rate),
    ):
        out = roll_out(tables, failures)
        yield from _figures_of(name, out)


def _figures_of(name: str, out: Rollout) -> Iterator[Figure]:
    yield Figure(
        name=f"roll-out time, {name}",
        value=out.seconds,
        unit="s",
        target=ROLLOUT_RATIO_TARGET * out.bound,
        baseline=out.serial,
    )
    yield Figure(
        name=f"roll-out time over lower bound, {name}",
        value=out.seconds / out.bound,
        unit="ratio",
        target=ROLLOUT_RATIO_TARGET,
        baseline=out.serial / out.bound,
    )
    yield Figure(name=f"failures, {name}", value=out.failures, unit="VMs")
    yield Figure(
        name=f"work cut off, {name}", value=out.cut_off, unit="tasks", target=0
    )
    yield Figure(
        name=f"plans below a budget, {name}",
        value=out.over_budget,
        unit="steps",
        target=0,
    )
    yield Figure(
        name=f"records a second, {name}", value=out.records / out.seconds, unit="1/s"
    )
    yield Figure(name=f"records refused, {name}", value=out.refused, unit="records")


if __name__ == "__main__":
    for figure in figures():
        print(figure)
