"""Rebalances VMs between pools as demand shifts, by way of the standby pool.

In turn, each queue demands several times its mean, which is more than its pool holds,
and almost nothing in between. A pool that lacks capacity gets VMs from the standby
pool, and from pools that have had spare capacity for a while. VMs that no pool needs
go to standby, where they cost nothing. As a VM takes some seconds to join a pool, the
demand of a pool includes the rate of arriving work, before any of it has to wait.
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

#: Time for which a pool must have had spare capacity before it releases a VM. Moving
#: a VM away and back costs as much as about 2.3 s in a pool, so that releasing it for
#: a shorter idle time does not pay.
IDLE_SECONDS = 1.6
#: Fraction of the capacity of a pool that is planned to be used, as tasks do not fill
#: VMs evenly.
FILL = 0.85
#: VMs that even an idle pool keeps, as one may fail or be in maintenance while another
#: accepts new work.
LEAST_VMS = 3
#: A pool that lacks VMs itself gives one to a pool whose coverage of its demand is
#: lower by at least this factor; a move costs both pools some seconds.
UNEVEN_TIMES = 2.0
#: Moves begun in one round, as the platform limits the rate of orders.
MOST_BEGUN = 8


class _Sample(msgspec.Struct, frozen=True):
    at: float
    wanted: int


class DemandHistory:
    """Recent demand of each pool, as a number of VMs."""

    def __init__(self) -> None:
        self._samples: dict[PoolId, deque[_Sample]] = {}

    def note(self, pool: PoolId, wanted: int, now: float) -> None:
        """Add a sample, and discard samples older than ``IDLE_SECONDS``."""
        samples = self._samples.setdefault(pool, deque())
        samples.append(_Sample(now, wanted))
        while samples[0].at < now - IDLE_SECONDS:
            samples.popleft()

    def most(self, pool: PoolId) -> int:
        """Return the largest recent demand of a pool, as a number of VMs."""
        return max((one.wanted for one in self._samples.get(pool, ())), default=0)


class _PoolNeed(msgspec.Struct):
    """Supply and demand of a pool, as numbers of VMs.

    :param have: VMs in the pool, including VMs that are moving to it, without those
        that are leaving it.
    :param wanted: current demand.
    :param recent: largest recent demand; VMs beyond it may go to other pools.
    :param keeps: VMs beyond this number go to standby. A pool keeps all its VMs
        until it has had work other than lasting tasks for ``IDLE_SECONDS``, as its
        demand is not known before.
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
    """Begin moves of VMs according to demand, and cancel moves no longer needed.

    :param standby: id of the standby pool.
    """
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
    """Return the resources of all runs and of all tasks ready to run, by pool.

    Jobs that are no longer worth serving, or exceed the share of their team, draw no
    VMs from other pools.
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
    """Return the resources of the lasting tasks that run in a pool."""
    size = ZERO
    for endpoint in engine.endpoints.values():
        if endpoint.listing.pool != pool:
            continue
        for run in endpoint.runs.values():
            if run.step.lasting:
                size = size.plus(run.counted)
    return size


def _vms_for(size: Size, rows: list[VmRow], vms: VmTable) -> int:
    """Return the number of VMs for ``size``, by the capacity of the largest VM."""
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
    """Cancel moves to standby of VMs that their pool needs again."""
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
    """Return a VM that another pool can give to ``needy``, if any.

    A pool without spare capacity gives a VM only if its coverage of its own demand is
    far higher than that of ``needy``.
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
    """Return the fraction of the recent demand that a pool covers."""
    return need.have / max(1, need.recent)


def _idlest(engine: Engine, need: _PoolNeed) -> VmRow | None:
    """Return the least loaded VM without lasting tasks, if any.

    VMs due for maintenance come last, as a VM is not maintained while it moves.
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
