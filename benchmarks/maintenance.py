"""Duration of a maintenance wave through a whole fleet.

Run on its own with ``python -m benchmarks.maintenance``.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from benchmarks.figure import Figure
from benchmarks.fleets import build_deployment, build_fleet, new_id
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
FAILURES_PER_VM_PER_DAY = 21 / 1500
FAILURE_DURATION_SECONDS = 600.0
DURATION_RATIO_TARGET = 1.25
FAILURE_FACTOR = 100
TIME_LIMIT_SECONDS = 20_000


@dataclass
class WaveResult:
    """Measurements of one wave.

    :param seconds: time from the start of the wave to its end.
    :param lower_bound: lower bound of that time, given by the budgets of the pools, the
        drains, reboots and failures; in seconds.
    :param serial_seconds: duration with one VM in maintenance at a time, in seconds.
    :param two_zone_fraction: of the pool seconds with VMs in maintenance, the fraction
        with such VMs in two or more zones.
    :param records: records that were accepted.
    :param refused: records that were refused.
    :param cut_off: tasks that were still running when their VM was rebooted.
    :param over_budget: planned steps that took a pool below its budget.
    """

    seconds: float = 0.0
    lower_bound: float = 0.0
    serial_seconds: float = 0.0
    two_zone_fraction: float = 0.0
    failures: int = 0
    records: int = 0
    refused: int = 0
    cut_off: int = 0
    over_budget: int = 0


class WaveSimulation:
    """Simulation of one wave through a fleet in which racks and VMs fail.

    :param failure_rate: probability that a VM fails within one second.
    :param rack_failures: times at which a rack fails, in seconds.
    """

    def __init__(
        self,
        tables: Tables,
        failure_rate: float,
        rack_failures: tuple[int, ...],
        seed: int,
    ) -> None:
        self._tables = tables
        self._failure_rate = failure_rate
        self._rack_failures = rack_failures
        self._rng = Random(seed)
        self._fake_vms = FakeVms(
            tables, Random(seed), MaintenancePolicy(), bad_probe=0.02
        )
        self._pools = list(tables.objects[Kind.POOL])
        self._down_until: dict[VmId, float] = {}
        self._failed: set[VmId] = set()
        self._headroom: dict[PoolId, list[int]] = {pool: [] for pool in self._pools}
        self._result = WaveResult()
        #: Pool seconds with VMs in maintenance: in one zone, and in several zones.
        self._pool_seconds_out = [0, 0]

    def run(self) -> WaveResult:
        """Run the wave to its end, or until ``TIME_LIMIT_SECONDS``."""
        fake_vms, result = self._fake_vms, self._result
        wave = WaveChange(
            id=new_id(),
            wave="all",
            operator="bench",
            state=WaveState.RUNNING,
            pools=tuple(self._pools),
        )
        fake_vms.append(wave).unwrap()
        row = self._tables.waves["all"]
        while row.state is WaveState.RUNNING and fake_vms.now < TIME_LIMIT_SECONDS:
            self._recover_vms()
            self._inject_failures()
            self._sample_pools()
            fake_vms.step(TICK_SECONDS)
        result.seconds = fake_vms.now
        result.lower_bound = max(self._lower_bound(pool) for pool in self._pools)
        result.serial_seconds = sum(
            vm.min_out_of_service_seconds for vm in fake_vms.vms.values()
        )
        result.two_zone_fraction = self._pool_seconds_out[1] / max(
            1, sum(self._pool_seconds_out)
        )
        result.records, result.refused = fake_vms.accepted, fake_vms.refused
        result.cut_off, result.over_budget = fake_vms.cut_off, fake_vms.over_budget
        return result

    def _recover_vms(self) -> None:
        for vm in [
            vm for vm, until in self._down_until.items() if until <= self._fake_vms.now
        ]:
            del self._down_until[vm]
            self._fake_vms.append(VmReport(id=new_id(), vm=vm, healthy=True))

    def _inject_failures(self) -> None:
        failing = [
            vm for vm in self._fake_vms.vms if self._rng.random() < self._failure_rate
        ]
        if self._fake_vms.now in self._rack_failures:
            rack = self._tables.endpoint_of(
                self._rng.choice(list(self._fake_vms.vms))
            ).rack
            failing += [
                vm
                for vm in self._fake_vms.vms
                if self._tables.endpoint_of(vm).rack == rack
            ]
        for vm in failing:
            if vm not in self._down_until:
                self._down_until[vm] = self._fake_vms.now + FAILURE_DURATION_SECONDS
                self._result.failures += 1
                self._failed.add(vm)
                self._fake_vms.append(VmReport(id=new_id(), vm=vm, healthy=False))

    def _sample_pools(self) -> None:
        for pool in self._pools:
            rows = self._tables.members(pool)
            healthy = sum(row.healthy for row in rows)
            self._headroom[pool].append(max(0, healthy - budget_of(self._tables, pool)))
            in_wave = [row.vm for row in rows if row.wave is not None]
            zones = {self._tables.endpoint_of(vm).zone for vm in in_wave}
            if zones:
                self._pool_seconds_out[len(zones) > 1] += 1

    def _lower_bound(self, pool: PoolId) -> float:
        """Return the shortest duration that the budget of ``pool`` allows, in seconds.

        By then the healthy VMs beyond the budget, summed over time, reach the VM
        seconds of all drains and reboots. VMs that failed are not counted, since a VM
        that is unhealthy anyway can be rebooted without use of the budget.
        """
        rows = [row for row in self._tables.members(pool) if row.vm not in self._failed]
        stop_seconds = [
            self._fake_vms.vms[row.vm].min_out_of_service_seconds for row in rows
        ]
        headroom_vm_seconds = 0.0
        for second, headroom in enumerate(self._headroom[pool]):
            headroom_vm_seconds += headroom
            if headroom_vm_seconds >= sum(stop_seconds):
                return max([second + 1.0, *stop_seconds])
        return float(len(self._headroom[pool]))


def run_wave(
    tables: Tables,
    failure_rate: float = 0.0,
    rack_failures: tuple[int, ...] = (),
    seed: int = SEED,
) -> WaveResult:
    """Run one wave through all VMs of ``tables``.

    :param failure_rate: probability that a VM fails within one second.
    :param rack_failures: times at which a rack fails, in seconds.
    """
    return WaveSimulation(tables, failure_rate, rack_failures, seed).run()


def figures() -> Iterator[Figure]:
    """Yield durations of waves with their lower bounds, and tasks that were cut off."""
    increased_failure_rate = FAILURE_FACTOR * FAILURES_PER_VM_PER_DAY / DAY_SECONDS
    for name, tables, failure_rate, rack_failures in (
        ("30 VMs", build_deployment(), 0.0, ()),
        ("30 VMs, a rack fails", build_deployment(), 0.0, (100,)),
        ("1,500 VMs", build_fleet(), 0.0, ()),
        (
            "1,500 VMs, 2 racks and 100 times the failures",
            build_fleet(),
            increased_failure_rate,
            (60, 200),
        ),
    ):
        yield from _wave_figures(name, run_wave(tables, failure_rate, rack_failures))


def _wave_figures(name: str, result: WaveResult) -> Iterator[Figure]:
    yield Figure(
        name=f"roll-out time, {name}",
        value=result.seconds,
        unit="s",
        target=DURATION_RATIO_TARGET * result.lower_bound,
        baseline=result.serial_seconds,
    )
    yield Figure(
        name=f"roll-out time over lower bound, {name}",
        value=result.seconds / result.lower_bound,
        unit="ratio",
        target=DURATION_RATIO_TARGET,
        baseline=result.serial_seconds / result.lower_bound,
    )
    yield Figure(name=f"failures, {name}", value=result.failures, unit="VMs")
    yield Figure(
        name=f"work cut off, {name}", value=result.cut_off, unit="tasks", target=0
    )
    yield Figure(
        name=f"plans below a budget, {name}",
        value=result.over_budget,
        unit="steps",
        target=0,
    )
    yield Figure(
        name=f"records a second, {name}",
        value=result.records / result.seconds,
        unit="1/s",
    )
    yield Figure(
        name=f"pool seconds with two zones out, {name}",
        value=100 * result.two_zone_fraction,
        unit="%",
    )
    yield Figure(name=f"records refused, {name}", value=result.refused, unit="records")


if __name__ == "__main__":
    for figure in figures():
        print(figure)
