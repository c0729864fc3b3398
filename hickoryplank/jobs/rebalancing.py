"""Moves VMs between pools as demand turns, by way of the standby pool.

Load that this answers: queues ask several times their mean by turns, more than
their pools hold, and nearly nothing in between. A pool that lacks room gets VMs
from the standby pool, and from pools that have had room to spare for a while;
what nobody needs goes to standby, where it costs nothing. A VM takes some seconds
to come, so a pool wants VMs for the work that arrives a second, before it waits.
"""

from collections import deque

import msgspec

from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.evacuation import uncordon
from hickoryplank.jobs.ordering import worth_serving
from hickoryplank.jobs.sizes import ZERO, Size
from hickoryplank.jobs.vms import (
    MaintenanceDue,
    OperationPhase,
    VmOperation,
    VmRow,
    VmTable,
)

__all__ = ["DemandHistory", "rebalance_pools"]

#: For how long a pool must have had room to spare before it gives a VM up, in
#: seconds. A move there and back costs as much as about 2.3 s in a pool, so a
#: shorter idle time isn't worth it.
IDLE_SECONDS = 1.6
#: Part of a pool's capacity that is planned to be used: sizes don't fill VMs
#: evenly.
FILL = 0.85
#: VMs that a pool keeps however idle it is: one may fail or be maintained while
#: another takes what comes.
LEAST_VMS = 3
#: A pool that lacks VMs gives one to another that has this many times less of what
#: it wants; a move costs both some seconds.
UNEVEN_TIMES = 2.0
#: Moves that are begun in one round; the platform bounds orders a second.
MOST_BEGUN = 8


class _Sample(msgspec.Struct, frozen=True):
    at: float
    wanted: int


class DemandHistory:
    """How many VMs each pool has wanted over the last seconds."""

    def __init__(self) -> None:
        self._samples: dict[PoolId, deque[_Sample]] = {}

    def note(self, pool: PoolId, wanted: int, now: float) -> None:
        """Add a sample."""
        samples = self._samples.setdefault(pool, deque())
        samples.append(_Sample(now, wanted))
        while samples[0].at < now - IDLE_SECONDS:
            samples.popleft()

    def most(self, pool: PoolId) -> int:
        """Return the most that was wanted over the last seconds."""
        return max((one.wanted for one in self._samples.get(pool, ())), default=0)


class _PoolNeed(msgspec.Struct):
    """What a pool has and wants.

    :param have: VMs that it has or is getting.
    :param recent: what it has wanted at most of late; beyond that it gives VMs to
        pools that want them.
    :param keeps: beyond that it sends VMs to standby. A pool that has had no work
        for long enough yet, other than what lasts, keeps all: nothing tells what it
        will want.
    """

    pool: PoolId
    have: int
    wanted: int
    recent: int
    keeps: int
    rows: list[VmRow]


def rebalance_pools(
    engine: Engine, vms: VmTable, demand: DemandHistory, now: float, standby: PoolId
) -> list[VmOperation]:
    """Begin the moves that demand asks for; take back those it no longer does."""
    needs = _needs(engine, vms, demand, now, standby)
    engine.short_pools.clear()
    _take_back(engine, vms, needs, standby)
    spares = [row for row in vms.pool_rows(standby) if _free(row)]
    spares.sort(key=lambda row: row.maintenance_due is MaintenanceDue.NONE)
    begun: list[VmOperation] = []
    for need in sorted(needs, key=lambda one: one.have - one.wanted):
        while need.have < need.wanted and len(begun) < MOST_BEGUN:
            row = spares.pop() if spares else _surplus(engine, needs, need)
            if row is None:
                break
            begun.append(_begin(row, need.pool, now))
            need.have += 1
    for need in needs:
        while need.have > need.keeps and len(begun) < MOST_BEGUN:
            row = _idlest(engine, need)
            if row is None:
                break
            begun.append(_begin(row, standby, now))
            need.have -= 1
    return begun


def _free(row: VmRow) -> bool:
    return (
        row.listing.up
        and row.operation is None
        and row.maintenance_due is not MaintenanceDue.SOON
    )


def _begin(row: VmRow, pool: PoolId, now: float) -> VmOperation:
    row.operation = VmOperation(
        row.listing.id, pool, None, OperationPhase.EVACUATING, now
    )
    return row.operation


def _needs(
    engine: Engine, vms: VmTable, demand: DemandHistory, now: float, standby: PoolId
) -> list[_PoolNeed]:
    wanted = _wanted_sizes(engine, now)
    needs = []
    for pool in engine.configuration.pools:
        rows = vms.pool_rows(pool)
        if pool == standby:
            continue
        coming = sum(
            1
            for row in vms.rows.values()
            if row.operation is not None
            and row.operation.pool == pool
            and row.listing.pool != pool
        )
        leaving = sum(
            1
            for row in rows
            if row.operation is not None
            and row.operation.pool is not None
            and row.operation.pool != pool
        )
        offered = engine.arrivals.offered(pool, now)
        if offered != ZERO:
            offered = offered.plus(_lasting_size(engine, pool))
        size = wanted.get(pool, ZERO).most(offered)
        count = max(LEAST_VMS, _vms_for(size, rows, vms))
        have = len(rows) - leaving + coming
        if pool in engine.short_pools and not coming:
            count = max(count, have + 1)
        demand.note(pool, count, now)
        recent = demand.most(pool)
        seen_at = engine.seen_pools.get(pool)
        known = seen_at is not None and now - seen_at > IDLE_SECONDS
        keeps = recent if known else have
        needs.append(_PoolNeed(pool, have, count, recent, keeps, rows))
    return needs


def _wanted_sizes(engine: Engine, now: float) -> dict[PoolId, Size]:
    """Return what runs, and what could run now if there were room, by pool.

    A backlog that nobody waits for any more draws no VMs from other pools.
    """
    wanted: dict[PoolId, Size] = {}
    for endpoint in engine.endpoints.values():
        pool = endpoint.listing.pool
        wanted[pool] = wanted.get(pool, Size()).plus(endpoint.used)
    for row in engine.open.values():
        pool = row.job.pool
        queue = engine.configuration.queues.get(row.job.queue)
        if row.excess or not worth_serving(row, queue, now):
            continue
        for occurrence in row.steps:
            for step in row.ready_steps(occurrence):
                more = step.step.counted_size.times(len(step.waiting))
                wanted[pool] = wanted.get(pool, Size()).plus(more)
    return wanted


def _lasting_size(engine: Engine, pool: PoolId) -> Size:
    """Return what runs in a pool until it is cancelled."""
    size = ZERO
    for endpoint in engine.endpoints.values():
        if endpoint.listing.pool != pool:
            continue
        for run in endpoint.runs.values():
            if run.step.lasting:
                size = size.plus(run.counted)
    return size


def _vms_for(size: Size, rows: list[VmRow], vms: VmTable) -> int:
    """Return how many VMs of the pool's usual capacity hold ``size``."""
    some = rows or list(vms.rows.values())
    capacity = max((row.listing.capacity for row in some), key=lambda one: one.cpu)
    parts = [
        part / (whole * FILL)
        for part, whole in (
            (size.cpu, capacity.cpu),
            (size.mem_mb, capacity.mem_mb),
            (size.gpu, capacity.gpu),
        )
        if whole
    ]
    return -int(-max(parts, default=0.0) // 1)


def _take_back(
    engine: Engine, vms: VmTable, needs: list[_PoolNeed], standby: PoolId
) -> None:
    """Keep VMs that were to leave a pool which wants them again."""
    for need in needs:
        for row in need.rows:
            operation = row.operation
            if need.have >= need.wanted:
                break
            if operation is None or operation.pool != standby:
                continue
            if operation.phase is not OperationPhase.EVACUATING:
                continue
            row.operation = None
            uncordon(engine, row)
            need.have += 1


def _surplus(engine: Engine, needs: list[_PoolNeed], needy: _PoolNeed) -> VmRow | None:
    """Return a VM that a pool can spare for another one, if any.

    A pool without room to spare still gives one where it has far more of what it
    wants than the other.
    """
    donors = [need for need in needs if need is not needy and need.have > LEAST_VMS]
    for need in sorted(donors, key=_part_had, reverse=True):
        spare = need.have > need.recent
        if not spare and _part_had(need) < _part_had(needy) * UNEVEN_TIMES:
            return None
        row = _idlest(engine, need)
        if row is not None:
            need.have -= 1
            return row
    return None


def _part_had(need: _PoolNeed) -> float:
    """Return what part of what it wants a pool has."""
    return need.have / max(1, need.recent)


def _idlest(engine: Engine, need: _PoolNeed) -> VmRow | None:
    """Return the VM with the least on it, and nothing that lasts.

    One that is to be maintained goes last: a VM that moves isn't maintained.
    """
    best: VmRow | None = None
    least = (True, 0)
    for row in need.rows:
        if not _free(row):
            continue
        endpoint = engine.endpoint_of(row.listing.endpoint)
        if endpoint is None or not endpoint.token_confirmed:
            continue
        if any(run.step.lasting for run in endpoint.runs.values()):
            continue
        load = (row.maintenance_due is not MaintenanceDue.NONE, endpoint.used.cpu)
        if best is None or load < least:
            best, least = row, load
    return best
