"""Duration of a maintenance wave through a whole fleet.

Run on its own with ``python -m benchmarks.maintenance``.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from benchmarks.figure import Figure
from benchmarks.fleets import deployment, fleet, new_id
from hickoryplank.core.ids import PoolId, VmId
from hickoryplank.core.maintenance import MaintenancePolicy
from hickoryplank.core.objects import Kind
from hickoryplank.core.records import VmReport, WaveChange, WaveState
from hickoryplank.core.tables import Tables
from hickoryplank.core.vms import budget_of
from tests.core.fake_vms import FakeVms

SEED = 20
TICK_SECONDS = 1.0
DAY_SECONDS = 86_400.0
FAILURES_A_DAY_PER_VM = 21 / 1500
FAILURE_SECONDS = 600.0
ROLLOUT_RATIO_TARGET = 1.25
FAILURE_FACTOR = 100
LIMIT_SECONDS = 20_000


@dataclass
class Rollout:
    """Measurements of one wave.

    :param seconds: time from the start of the wave to its end.
    :param bound: lower bound of that time, given by the budgets of the pools, the
        drains, reboots and failures; in seconds.
    :param serial: duration with one VM after the other, in seconds.
    :param two_zones: of the pool seconds with VMs in maintenance, the fraction with
        such VMs in two or more zones.
    :param records: records that were accepted.
    :param refused: records that were refused.
    :param cut_off: tasks that were still running when their VM was rebooted.
    :param over_budget: planned steps that took a pool below its budget.
    """

    seconds: float = 0.0
    bound: float = 0.0
    serial: float = 0.0
    two_zones: float = 0.0
    failures: int = 0
    records: int = 0
    refused: int = 0
    cut_off: int = 0
    over_budget: int = 0


class RolloutRun:
    """Simulation of one wave through a fleet in which racks and VMs fail.

    :param rate: probability that a VM fails within one second.
    :param rack_failures: times at which a rack fails, in seconds.
    """

    def __init__(
        self, tables: Tables, rate: float, rack_failures: tuple[int, ...], seed: int
    ) -> None:
        self._tables = tables
        self._rate = rate
        self._rack_failures = rack_failures
        self._rng = Random(seed)
        self._fake = FakeVms(tables, Random(seed), MaintenancePolicy(), bad_probe=0.02)
        self._pools = list(tables.objects[Kind.POOL])
        self._down: dict[VmId, float] = {}
        self._failed: set[VmId] = set()
        self._room: dict[PoolId, list[int]] = {pool: [] for pool in self._pools}
        self._out = Rollout()
        self._zones_out = [0, 0]

    def run(self) -> Rollout:
        """Run the wave to its end, or until ``LIMIT_SECONDS``."""
        fake, out = self._fake, self._out
        wave = WaveChange(
            id=new_id(),
            wave="all",
            operator="bench",
            state=WaveState.RUNNING,
            pools=tuple(self._pools),
        )
        fake.append(wave).unwrap()
        row = self._tables.waves["all"]
        while row.state is WaveState.RUNNING and fake.now < LIMIT_SECONDS:
            self._recover()
            self._fail()
            self._watch()
            fake.step(TICK_SECONDS)
        out.seconds = fake.now
        out.bound = max(self._bound(pool) for pool in self._pools)
        out.serial = sum(vm.stopped for vm in fake.vms.values())
        out.two_zones = self._zones_out[1] / max(1, sum(self._zones_out))
        out.records, out.refused = fake.accepted, fake.refused
        out.cut_off, out.over_budget = fake.cut_off, fake.over_budget
        return out

    def _recover(self) -> None:
        for vm in [vm for vm, until in self._down.items() if until <= self._fake.now]:
            del self._down[vm]
            self._fake.append(VmReport(id=new_id(), vm=vm, healthy=True))

    def _fail(self) -> None:
        failing = [vm for vm in self._fake.vms if self._rng.random() < self._rate]
        if self._fake.now in self._rack_failures:
            rack = self._tables.endpoint_of(self._rng.choice(list(self._fake.vms))).rack
            failing += [
                vm for vm in self._fake.vms if self._tables.endpoint_of(vm).rack == rack
            ]
        for vm in failing:
            if vm not in self._down:
                self._down[vm] = self._fake.now + FAILURE_SECONDS
                self._out.failures += 1
                self._failed.add(vm)
                self._fake.append(VmReport(id=new_id(), vm=vm, healthy=False))

    def _watch(self) -> None:
        for pool in self._pools:
            rows = self._tables.members(pool)
            healthy = sum(row.healthy for row in rows)
            self._room[pool].append(max(0, healthy - budget_of(self._tables, pool)))
            out = [row.vm for row in rows if row.wave is not None]
            zones = {self._tables.endpoint_of(vm).zone for vm in out}
            if zones:
                self._zones_out[len(zones) > 1] += 1

    def _bound(self, pool: PoolId) -> float:
        """Return the shortest duration that the budget of ``pool`` allows, in seconds.

        By then the VMs healthy beyond the budget add up to the VM seconds of all
        stops. VMs that failed are not counted, since a VM that is unhealthy anyway
        can be rebooted without use of the budget.
        """
        rows = [row for row in self._tables.members(pool) if row.vm not in self._failed]
        times = [self._fake.vms[row.vm].stopped for row in rows]
        area = 0.0
        for second, room in enumerate(self._room[pool]):
            area += room
            if area >= sum(times):
                return max([second + 1.0, *times])
        return float(len(self._room[pool]))


def roll_out(
    tables: Tables, rate: float = 0.0, racks: tuple[int, ...] = (), seed: int = SEED
) -> Rollout:
    """Run one wave through all VMs of ``tables``.

    :param rate: probability that a VM fails within one second.
    :param racks: times at which a rack fails, in seconds.
    """
    return RolloutRun(tables, rate, racks, seed).run()


def figures() -> Iterator[Figure]:
    """Yield durations of waves with their lower bounds, and tasks that were cut off."""
    many = FAILURE_FACTOR * FAILURES_A_DAY_PER_VM / DAY_SECONDS
    for name, tables, rate, racks in (
        ("30 VMs", deployment(), 0.0, ()),
        ("30 VMs, a rack fails", deployment(), 0.0, (100,)),
        ("1,500 VMs", fleet(), 0.0, ()),
        ("1,500 VMs, 2 racks and 100 times the failures", fleet(), many, (60, 200)),
    ):
        yield from _figures_of(name, roll_out(tables, rate, racks))


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
    yield Figure(
        name=f"pool seconds with two zones out, {name}",
        value=100 * out.two_zones,
        unit="%",
    )
    yield Figure(name=f"records refused, {name}", value=out.refused, unit="records")


if __name__ == "__main__":
    for figure in figures():
        print(figure)
