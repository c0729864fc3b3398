"""Maintenance waves: selects the next VMs within the bounds of a wave."""

from collections import Counter

import msgspec

from hickoryplank.core.ids import PoolId, VmId, WaveId
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.evacuation import run_count
from hickoryplank.jobs.records import WaveProgress
from hickoryplank.jobs.vms import (
    MaintenanceDue,
    OperationPhase,
    VmOperation,
    VmRow,
    VmTable,
)

__all__ = ["ActiveWave", "begin_maintenance", "is_wave_done"]

#: Duration of a maintenance cycle of a VM beyond the maintenance itself: evacuation,
#: which takes the run time of most tasks, and a read of the VM list, which shows that
#: the VM is back.
CYCLE_OVERHEAD_SECONDS = 3.0
#: Fraction of the time until the deadline of a wave in which it is to be completed.
DEADLINE_FRACTION = 0.7
#: Cycles before the deadline from which on a wave takes precedence over moves of VMs,
#: and more VMs of a pool may be unavailable: one cycle to evacuate and maintain a VM,
#: and half a cycle for tasks with a long run time.
FINAL_CYCLES = 1.5
#: Largest fraction of the VMs of a pool that may be unavailable at the same time.
MAX_UNAVAILABLE_FRACTION = 0.34
#: Largest such fraction during the last cycles before the deadline of a wave.
FINAL_MAX_UNAVAILABLE_FRACTION = 0.68


class ActiveWave(msgspec.Struct):
    """A maintenance wave in progress.

    :param deadline: deadline, by the local clock, in seconds.
    :param max_concurrent: most VMs that may be in maintenance at the same time.
    :param done: VMs that have been maintained.
    :param first_seen_ms: time at which a coordinator first saw the wave, in Unix
        milliseconds.
    :param recorded: ``first_seen_ms`` is stored.
    :param completion_reported: the completion has been written to the store.
    """

    id: WaveId
    vms: tuple[VmId, ...]
    deadline: float
    max_concurrent: int
    done: set[VmId]
    first_seen_ms: int = 0
    recorded: bool = False
    completion_reported: bool = False

    def progress(self) -> WaveProgress:
        """Return the progress that the next coordinator needs."""
        return WaveProgress(self.id, self.first_seen_ms, tuple(sorted(self.done)))


def is_wave_done(wave: ActiveWave, vms: VmTable) -> bool:
    """Return whether every VM of the wave that still exists has been maintained."""
    return all(vm in wave.done or vm not in vms.rows for vm in wave.vms)


def begin_maintenance(
    wave: ActiveWave,
    vms: VmTable,
    engine: Engine,
    now: float,
    maintenance_s: float,
    ordered: frozenset[VmId] = frozenset(),
) -> list[VmOperation]:
    """Begin operations on the next VMs of a wave: idle VMs first, few of each pool.

    Pools that need most of the remaining time, because only few of their VMs may be
    unavailable at the same time, go first.

    :param maintenance_s: duration of the maintenance of a VM, in seconds.
    :param ordered: VMs for which a former coordinator recently stored an order; they
        may be down for the wave already, or go down later.
    """
    left = [vm for vm in wave.vms if vm not in wave.done and vm in vms.rows]
    cycle_seconds = CYCLE_OVERHEAD_SECONDS + maintenance_s
    final_phase = wave.deadline - now < FINAL_CYCLES * cycle_seconds
    for vm in left:
        vms.rows[vm].maintenance_due = (
            MaintenanceDue.SOON if final_phase else MaintenanceDue.LATER
        )
        endpoint = engine.endpoint_of(vms.rows[vm].listing.endpoint)
        if endpoint is not None:
            endpoint.maintenance_due = True
    candidates = [
        vm
        for vm in left
        if vms.rows[vm].operation is None
        and vms.rows[vm].listing.up
        and vm not in ordered
    ]
    in_progress = sum(
        _is_in_progress(wave, vms.rows[vm], ordered)
        for vm in wave.vms
        if vm in vms.rows
    )
    needed = _needed_concurrency(wave, len(left), now, cycle_seconds) - in_progress
    urgent = _urgent_pools(wave, left, vms, engine, now, cycle_seconds)
    begun: list[VmOperation] = []
    for vm in sorted(candidates, key=lambda one: _rank(vms.rows[one], engine, urgent)):
        row = vms.rows[vm]
        if len(begun) >= wave.max_concurrent - in_progress:
            break
        if len(begun) >= needed and row.listing.pool not in urgent:
            continue
        fraction = (
            FINAL_MAX_UNAVAILABLE_FRACTION if final_phase else MAX_UNAVAILABLE_FRACTION
        )
        if not _pool_allows(row.listing.pool, vms, engine, fraction):
            continue
        row.operation = VmOperation(vm, None, wave.id, OperationPhase.EVACUATING, now)
        begun.append(row.operation)
    return begun


def _is_in_progress(wave: ActiveWave, row: VmRow, ordered: frozenset[VmId]) -> bool:
    """Return whether a VM is, may be or will be in maintenance for the wave."""
    if row.operation is not None:
        return row.operation.wave == wave.id
    return row.listing.in_maintenance or row.listing.id in ordered


def _needed_concurrency(
    wave: ActiveWave, left: int, now: float, cycle_seconds: float
) -> int:
    """Return the concurrency needed to complete the wave in time."""
    time_left = max(cycle_seconds, (wave.deadline - now) * DEADLINE_FRACTION)
    rounds = max(1, int(time_left / cycle_seconds))
    return min(wave.max_concurrent, -(-left // rounds))


def _urgent_pools(
    wave: ActiveWave,
    left: list[VmId],
    vms: VmTable,
    engine: Engine,
    now: float,
    cycle_seconds: float,
) -> set[PoolId]:
    """Return the pools that need all of the planned time, or more.

    A pool needs many rounds if few of its VMs may be unavailable at the same time.
    """
    due: Counter[PoolId] = Counter(vms.rows[vm].listing.pool for vm in left)
    time_left = (wave.deadline - now) * DEADLINE_FRACTION
    urgent = set()
    for pool, count in due.items():
        if _is_standby(pool, engine):
            continue
        rounds = -(
            -count // _max_unavailable(_settled(pool, vms), MAX_UNAVAILABLE_FRACTION)
        )
        if rounds * cycle_seconds > time_left:
            urgent.add(pool)
    return urgent


def _rank(row: VmRow, engine: Engine, urgent: set[PoolId]) -> tuple[int, int, int]:
    pool = row.listing.pool
    runs = run_count(engine, row.listing.endpoint)
    return (pool not in urgent, not _is_standby(pool, engine), runs)


def _is_standby(pool: PoolId, engine: Engine) -> bool:
    known = engine.configuration.pools.get(pool)
    return known is not None and known.standby


def _settled(pool: PoolId, vms: VmTable) -> list[VmRow]:
    """Return the VMs of a pool that are not moving into it or out of it.

    A pool whose demand changes has many moving ones. Its waves would else stand still.
    """
    return [
        row
        for row in vms.pool_rows(pool)
        if row.operation is None or row.operation.pool is None
    ]


def _max_unavailable(rows: list[VmRow], fraction: float) -> int:
    """Return how many VMs of a pool may be unavailable at the same time."""
    return max(1, int(len(rows) * fraction))


def _pool_allows(pool: PoolId, vms: VmTable, engine: Engine, fraction: float) -> bool:
    if _is_standby(pool, engine):
        return True
    rows = _settled(pool, vms)
    unavailable = sum(
        1 for row in rows if row.operation is not None or not row.listing.up
    )
    return unavailable < _max_unavailable(rows, fraction)
