"""Rebalances VMs between pools as demand shifts, by way of the standby pool.

The demand of a queue alternates between several times its mean, which exceeds the
capacity of its pool, and almost nothing; the queues peak at different times. A pool
that lacks capacity gets VMs from the standby pool, and from pools that have had spare
capacity for a while. VMs that no pool needs go to standby, where they cost nothing. As
a VM takes some seconds to join a pool, the demand of a pool includes the rate of
arriving work, before any of that work has to wait.

VMs in an evacuated availability zone are no supply: their pools draw others, none of
them joins a pool, and those without runs go to standby.
"""

from collections import deque

import msgspec

from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.evacuation import uncordon
from hickoryplank.jobs.ordering import worth_serving
from hickoryplank.jobs.service_order import waiting_priorities
from hickoryplank.jobs.shortage import ShortageOrder
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
#: Time until a VM that is ordered now takes work in its new pool, in seconds.
JOIN_SECONDS = 1.7
#: Fraction of the capacity of a pool that is planned to be used, as tasks do not fill
#: VMs evenly.
TARGET_UTILIZATION = 0.85
#: VMs that even an idle pool keeps, as one may fail or be in maintenance while another
#: accepts new work.
MIN_POOL_VMS = 3
#: A pool that lacks VMs itself gives one to a pool whose coverage of its demand is
#: lower by at least this factor; a move costs both pools some seconds.
DONOR_COVERAGE_FACTOR = 2.0


class _Sample(msgspec.Struct, frozen=True):
    at: float
    wanted: int


class DemandHistory:
    """Recent demand of each pool, as a number of VMs."""

    def __init__(self) -> None:
        self._samples: dict[PoolId, deque[_Sample]] = {}

    def add_sample(self, pool: PoolId, wanted: int, now: float) -> None:
        """Add a sample, and discard samples older than ``IDLE_SECONDS``."""
        samples = self._samples.setdefault(pool, deque())
        samples.append(_Sample(now, wanted))
        while samples[0].at < now - IDLE_SECONDS:
            samples.popleft()

    def maximum(self, pool: PoolId) -> int:
        """Return the largest recent demand of a pool, as a number of VMs."""
        return max((one.wanted for one in self._samples.get(pool, ())), default=0)


class _PoolNeed(msgspec.Struct):
    """Supply and demand of a pool, as numbers of VMs.

    :param vm_count: VMs in the pool, including VMs that are moving to it, without those
        that are leaving it or are in an evacuated zone.
    :param backlog: demand of the tasks that run or are ready to run.
    :param wanted: current demand, including that of the jobs that are about to arrive.
    :param max_recent: largest recent demand; VMs beyond it may go to other pools.
    :param retained: VMs beyond this number go to standby. A pool keeps all its VMs, and
        those that it draws, until it has had work other than lasting tasks for
        ``IDLE_SECONDS``, as its demand is not known before.
    :param rows: VMs that the last list shows in the pool, without those in an evacuated
        zone.
    :param unusable_rows: VMs of the pool in an evacuated zone that may go to standby.
    :param movable: VMs that may leave, the least loaded last; none until it is needed.
    """

    pool: PoolId
    vm_count: int
    backlog: int
    wanted: int
    max_recent: int
    retained: int
    rows: list[VmRow]
    unusable_rows: list[VmRow]
    movable: list[VmRow] | None = None


def rebalance_pools(
    engine: Engine,
    vms: VmTable,
    demand: DemandHistory,
    now: float,
    standby: PoolId,
    max_moves: int,
) -> list[VmOperation]:
    """Begin moves of VMs according to demand, and cancel moves no longer needed.

    :param standby: id of the standby pool.
    :param max_moves: most moves to begin, as the platform limits the rate of orders.
    """
    _cancel_moves_in_evacuated_zones(engine, vms, standby)
    needs = _needs(engine, vms, demand, now, standby)
    engine.pools_lacking_room.clear()
    _cancel_standby_moves(engine, vms, needs, standby)
    standby_vms = _standby_vms(engine, vms, standby)
    begun: list[VmOperation] = []
    for need in _in_order_of_need(engine, needs, now):
        while need.vm_count < need.wanted and len(begun) < max_moves:
            row = _take_surplus_vm(engine, needs, need)
            if row is None and standby_vms:
                row = standby_vms.pop()
            if row is None and need.vm_count < need.backlog:
                row = _take_idle_vm(engine, needs, need)
            if row is None:
                row = _take_donor_vm(engine, needs, need)
            if row is None:
                break
            begun.append(_begin_move(row, need.pool, now))
            need.vm_count += 1
    return begun + _release_vms(engine, needs, standby, now, max_moves - len(begun))


def _in_order_of_need(
    engine: Engine, needs: list[_PoolNeed], now: float
) -> list[_PoolNeed]:
    """Return the pools in the order in which they get VMs, the largest lack first.

    If the settings ask for the least cost in a shortage, the pool with the more urgent
    waiting jobs goes first.
    """
    priorities: dict[PoolId, int] = {}
    if engine.shortage_order is ShortageOrder.LEAST_COST:
        priorities = waiting_priorities(engine, now)
    lowest = max(priorities.values(), default=0) + 1
    return sorted(
        needs,
        key=lambda one: (priorities.get(one.pool, lowest), one.vm_count - one.wanted),
    )


def _standby_vms(engine: Engine, vms: VmTable, standby: PoolId) -> list[VmRow]:
    """Return the VMs that may leave standby, those due for maintenance first."""
    rows = [
        row
        for row in vms.pool_rows(standby)
        if _is_movable(row) and not _is_evacuated(engine, row)
    ]
    return sorted(rows, key=lambda row: row.maintenance_due is MaintenanceDue.NONE)


def _release_vms(
    engine: Engine, needs: list[_PoolNeed], standby: PoolId, now: float, max_moves: int
) -> list[VmOperation]:
    """Begin moves to standby of VMs that their pools do not need, or cannot use."""
    begun: list[VmOperation] = []
    for need in needs:
        while need.vm_count > need.retained and len(begun) < max_moves:
            row = _pop_least_loaded(engine, need)
            if row is None:
                break
            begun.append(_begin_move(row, standby, now))
            need.vm_count -= 1
    for need in needs:
        idle = [row for row in need.unusable_rows if _is_idle(engine, row)]
        for row in idle[: max(0, max_moves - len(begun))]:
            begun.append(_begin_move(row, standby, now))
    return begun


def _is_evacuated(engine: Engine, row: VmRow) -> bool:
    """Return whether a VM is in an evacuated availability zone."""
    return row.listing.zone in engine.evacuated_zones


def _is_idle(engine: Engine, row: VmRow) -> bool:
    """Return whether a VM may move, and its endpoint is known to have no runs."""
    endpoint = engine.endpoint_of(row.listing.endpoint)
    return (
        _is_movable(row)
        and endpoint is not None
        and endpoint.token_confirmed
        and endpoint.silent_since is None
        and not endpoint.runs
    )


def _cancel_moves_in_evacuated_zones(
    engine: Engine, vms: VmTable, standby: PoolId
) -> None:
    """Cancel moves into pools of VMs that could not be used there.

    An order that was sent may be carried out, and is left to go on.
    """
    for row in vms.rows.values():
        operation = row.operation
        if operation is None or operation.pool in (None, standby):
            continue
        if operation.phase is OperationPhase.EVACUATING and _is_evacuated(engine, row):
            row.operation = None
            uncordon(engine, row)


def _is_movable(row: VmRow) -> bool:
    return (
        row.listing.up
        and row.operation is None
        and row.maintenance_due is not MaintenanceDue.SOON
    )


def _begin_move(row: VmRow, pool: PoolId, now: float) -> VmOperation:
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
        all_rows = vms.pool_rows(pool)
        rows = [row for row in all_rows if not _is_evacuated(engine, row)]
        if pool == standby:
            continue
        arriving = sum(
            1
            for row in vms.rows.values()
            if row.operation is not None
            and row.operation.pool == pool
            and row.listing.pool != pool
            and not _is_evacuated(engine, row)
        )
        leaving = sum(
            1
            for row in rows
            if row.operation is not None
            and row.operation.pool is not None
            and row.operation.pool != pool
        )
        present = wanted.get(pool, ZERO)
        lasting = _lasting_size(engine, pool)
        expected = engine.arrivals.expected_load(
            pool, present.minus(lasting), now, JOIN_SECONDS
        ).plus(lasting)
        backlog = max(MIN_POOL_VMS, _vms_for(present, all_rows, vms))
        vm_count = len(rows) - leaving + arriving
        if pool in engine.pools_lacking_room and not arriving:
            backlog = max(backlog, vm_count + 1)
        count = max(backlog, _vms_for(expected, all_rows, vms))
        demand.add_sample(pool, count, now)
        max_recent = demand.maximum(pool)
        first_job_at = engine.first_job_at.get(pool)
        demand_known = first_job_at is not None and now - first_job_at > IDLE_SECONDS
        # What is drawn for the first work is not released in the same call.
        retained = max_recent if demand_known else max(vm_count, count)
        unusable_rows = [row for row in all_rows if _is_evacuated(engine, row)]
        needs.append(
            _PoolNeed(
                pool,
                vm_count,
                backlog,
                count,
                max_recent,
                retained,
                rows,
                unusable_rows if demand_known else [],
            )
        )
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
    for row in engine.open_jobs.values():
        pool = row.job.pool
        terms = row.job.terms_in(engine.configuration)
        if row.over_share or not worth_serving(row, terms, now):
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
        if endpoint.lasting_count and endpoint.listing.pool == pool:
            size = size.plus(endpoint.lasting_used)
    return size


def _vms_for(size: Size, rows: list[VmRow], vms: VmTable) -> int:
    """Return the number of VMs for ``size``, by the capacity of the largest VM."""
    reference_vms = rows or list(vms.rows.values())
    capacity = max(
        (row.listing.capacity for row in reference_vms), key=lambda one: one.cpu
    )
    vm_counts = [
        amount / (vm_amount * TARGET_UTILIZATION)
        for amount, vm_amount in (
            (size.cpu, capacity.cpu),
            (size.mem_mb, capacity.mem_mb),
            (size.gpu, capacity.gpu),
        )
        if vm_amount
    ]
    return -int(-max(vm_counts, default=0.0) // 1)


def _cancel_standby_moves(
    engine: Engine, vms: VmTable, needs: list[_PoolNeed], standby: PoolId
) -> None:
    """Cancel moves to standby of VMs that their pool needs again."""
    for need in needs:
        for row in need.rows:
            operation = row.operation
            if need.vm_count >= need.wanted:
                break
            if operation is None or operation.pool != standby:
                continue
            if operation.phase is not OperationPhase.EVACUATING:
                continue
            row.operation = None
            uncordon(engine, row)
            need.vm_count += 1


def _take_surplus_vm(
    engine: Engine, needs: list[_PoolNeed], receiver: _PoolNeed
) -> VmRow | None:
    """Return a VM without runs that another pool is about to release, if any.

    It joins ``receiver`` as soon as a VM from standby does, with one move in place of
    two.
    """
    for need in needs:
        if need is not receiver and need.vm_count > need.retained:
            row = _pop_idle(engine, need)
            if row is not None:
                return row
    return None


def _take_idle_vm(
    engine: Engine, needs: list[_PoolNeed], receiver: _PoolNeed
) -> VmRow | None:
    """Return a VM without runs that another pool holds beyond its backlog, if any.

    That pool may expect jobs, or have needed the VM a moment ago. The tasks that wait
    in ``receiver`` come first.
    """
    for need in sorted(needs, key=lambda one: one.backlog - one.vm_count):
        if need is not receiver and need.vm_count > need.backlog:
            row = _pop_idle(engine, need)
            if row is not None:
                return row
    return None


def _pop_idle(engine: Engine, need: _PoolNeed) -> VmRow | None:
    """Return a VM without runs that may leave a pool, if any, once."""
    movable = _movable(engine, need)
    endpoint = engine.endpoint_of(movable[-1].listing.endpoint) if movable else None
    if endpoint is None or endpoint.runs:
        return None
    need.vm_count -= 1
    return movable.pop()


def _take_donor_vm(
    engine: Engine, needs: list[_PoolNeed], receiver: _PoolNeed
) -> VmRow | None:
    """Return a VM that another pool can give to ``receiver``, if any.

    A pool without spare capacity gives a VM only if its coverage of its own demand is
    far higher than that of ``receiver``.
    """
    donors = [
        need for need in needs if need is not receiver and need.vm_count > MIN_POOL_VMS
    ]
    for need in sorted(donors, key=_coverage, reverse=True):
        has_spare = need.vm_count > need.max_recent
        if (
            not has_spare
            and _coverage(need) < _coverage(receiver) * DONOR_COVERAGE_FACTOR
        ):
            return None
        row = _pop_least_loaded(engine, need)
        if row is not None:
            need.vm_count -= 1
            return row
    return None


def _coverage(need: _PoolNeed) -> float:
    """Return the fraction of the recent demand that a pool covers."""
    return need.vm_count / max(1, need.max_recent)


def _pop_least_loaded(engine: Engine, need: _PoolNeed) -> VmRow | None:
    """Return the least loaded VM that may leave a pool, if any, once."""
    movable = _movable(engine, need)
    return movable.pop() if movable else None


def _movable(engine: Engine, need: _PoolNeed) -> list[VmRow]:
    """Return the VMs without lasting tasks that may leave, the least loaded last.

    VMs due for maintenance come first, as a VM is not maintained while it moves.
    """
    if need.movable is None:
        loads = [
            (row.maintenance_due is not MaintenanceDue.NONE, endpoint.used.cpu, row)
            for row in need.rows
            if _is_movable(row)
            and (endpoint := engine.endpoint_of(row.listing.endpoint)) is not None
            and endpoint.token_confirmed
            and not endpoint.lasting_count
        ]
        loads.sort(key=lambda one: one[:2], reverse=True)
        need.movable = [row for _, _, row in loads]
    return need.movable
