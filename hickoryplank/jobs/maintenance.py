"""Waves of maintenance: which VM is taken next, within the wave's bounds."""

from collections import Counter

import msgspec

from hickoryplank.core.ids import PoolId, VmId, WaveId
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.records import WaveProgress
from hickoryplank.jobs.vms import (
    MaintenanceDue,
    OperationPhase,
    VmOperation,
    VmRow,
    VmTable,
)

__all__ = ["ActiveWave", "begin_maintenance", "is_wave_done"]

#: Time that emptying a VM, its maintenance and its return take, in seconds, beside
#: the maintenance itself: the run time of most tasks, and a look at the list.
CYCLE_SECONDS = 3.0
#: Part of the time until a wave's deadline in which it is to be done.
DEADLINE_PART = 0.7
#: Cycles before the deadline from which on a wave goes before all else: one to empty
#: and maintain a VM, and half of one for tasks that run long.
LAST_CYCLES = 1.5
#: VMs of one pool that may be away at once, as a part of those that are up.
POOL_PART = 0.34
#: The same in the last cycles before a wave's deadline.
LAST_POOL_PART = 0.68


class ActiveWave(msgspec.Struct):
    """A wave under way.

    :param first_seen_ms: when it was first seen, in Unix milliseconds.
    :param deadline: its deadline, by our clock.
    :param max_concurrent: most VMs that may be down for it at the same time.
    :param recorded: the store has when it was first seen.
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
        """Return what a successor has to know of it."""
        return WaveProgress(self.id, self.first_seen_ms, tuple(sorted(self.done)))


def is_wave_done(wave: ActiveWave, vms: VmTable) -> bool:
    """Return whether every VM of a wave that still exists was maintained."""
    return all(vm in wave.done or vm not in vms.rows for vm in wave.vms)


def begin_maintenance(
    wave: ActiveWave,
    vms: VmTable,
    engine: Engine,
    now: float,
    maintenance_s: float,
    ordered: frozenset[VmId] = frozenset(),
) -> list[VmOperation]:
    """Begin errands for the wave's next VMs: idle ones first, few in each pool.

    Pools that need most of the time left, as few of their VMs may be away at once,
    go before all others.

    :param ordered: VMs for which a former coordinator gave an order of late; they
        may be down for the wave, or go down yet.
    """
    left = [vm for vm in wave.vms if vm not in wave.done and vm in vms.rows]
    cycle = CYCLE_SECONDS + maintenance_s
    soon = wave.deadline - now < LAST_CYCLES * cycle
    for vm in left:
        vms.rows[vm].maintenance_due = (
            MaintenanceDue.SOON if soon else MaintenanceDue.LATER
        )
        endpoint = engine.endpoint_of(vms.rows[vm].listing.endpoint)
        if endpoint is not None:
            endpoint.maintenance_due = True
    free = [
        vm
        for vm in left
        if vms.rows[vm].operation is None
        and vms.rows[vm].listing.up
        and vm not in ordered
    ]
    under_way = sum(
        _under_way(wave, vms.rows[vm], ordered) for vm in wave.vms if vm in vms.rows
    )
    wanted = _wanted(wave, len(left), now, cycle) - under_way
    pressing = _pressing_pools(wave, left, vms, engine, now, cycle)
    begun: list[VmOperation] = []
    for vm in sorted(free, key=lambda one: _rank(vms.rows[one], engine, pressing)):
        row = vms.rows[vm]
        if len(begun) >= wave.max_concurrent - under_way:
            break
        if len(begun) >= wanted and row.listing.pool not in pressing:
            continue
        part = LAST_POOL_PART if soon else POOL_PART
        if not _pool_allows(row.listing.pool, vms, engine, part):
            continue
        row.operation = VmOperation(vm, None, wave.id, OperationPhase.EVACUATING, now)
        begun.append(row.operation)
    return begun


def _under_way(wave: ActiveWave, row: VmRow, ordered: frozenset[VmId]) -> bool:
    """Return whether a VM is down for the wave, or may be, or will be."""
    if row.operation is not None:
        return row.operation.wave == wave.id
    return row.listing.in_maintenance or row.listing.id in ordered


def _wanted(wave: ActiveWave, left: int, now: float, cycle: float) -> int:
    """Return how many VMs are to be under way at once to be done in time."""
    time_left = max(cycle, (wave.deadline - now) * DEADLINE_PART)
    rounds = max(1, int(time_left / cycle))
    return min(wave.max_concurrent, -(-left // rounds))


def _pressing_pools(
    wave: ActiveWave,
    left: list[VmId],
    vms: VmTable,
    engine: Engine,
    now: float,
    cycle: float,
) -> set[PoolId]:
    """Return the pools whose VMs, few at a time, take most of the time left."""
    due: Counter[PoolId] = Counter(vms.rows[vm].listing.pool for vm in left)
    time_left = (wave.deadline - now) * DEADLINE_PART
    pressing = set()
    for pool, count in due.items():
        if _is_standby(pool, engine):
            continue
        rounds = -(-count // _most_away(vms.pool_rows(pool), POOL_PART))
        if rounds * cycle > time_left:
            pressing.add(pool)
    return pressing


def _rank(row: VmRow, engine: Engine, pressing: set[PoolId]) -> tuple[int, int, int]:
    pool = row.listing.pool
    endpoint = engine.endpoint_of(row.listing.endpoint)
    runs = len(endpoint.runs) if endpoint is not None else 0
    return (pool not in pressing, not _is_standby(pool, engine), runs)


def _is_standby(pool: PoolId, engine: Engine) -> bool:
    known = engine.configuration.pools.get(pool)
    return known is not None and known.standby


def _most_away(rows: list[VmRow], part: float) -> int:
    """Return how many VMs of a pool may be away at once."""
    return max(1, int(len(rows) * part))


def _pool_allows(pool: PoolId, vms: VmTable, engine: Engine, part: float) -> bool:
    if _is_standby(pool, engine):
        return True
    rows = vms.pool_rows(pool)
    away = sum(1 for row in rows if row.operation is not None or not row.listing.up)
    return away < _most_away(rows, part)
