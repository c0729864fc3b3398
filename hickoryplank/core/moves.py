"""Planning of moves: VMs follow demand between pools, through the spare pool."""

import math
from collections.abc import Callable, Iterator, Mapping

import msgspec

from hickoryplank.core.demand import PoolDemand
from hickoryplank.core.ids import PoolId, RecordId, VmId
from hickoryplank.core.objects import Kind
from hickoryplank.core.outstanding import OutstandingProposals
from hickoryplank.core.records import VmMoved, VmState, VmStep
from hickoryplank.core.tables import Tables, VmRow
from hickoryplank.core.vms import budget_of, check_move
from hickoryplank.core.waves import is_standby

__all__ = ["MovePlanner", "MovePolicy", "spare_pool"]

_DEFAULT_SLOTS = 8


class MovePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Trade-off between cost of the buffer, waiting work and number of moves.

    :param buffer_vms: number of VMs to keep drained in the spare pool.
    :param hysteresis: time for which a pool keeps the VMs that it has needed, in
        seconds.
    :param fill: fraction of a pool's slots in use above which the pool grows.
    :param retry_interval: time after which a proposal is repeated, in seconds.
    """

    buffer_vms: int = 4
    hysteresis: float = 10.0
    fill: float = 0.9
    retry_interval: float = 5.0


def spare_pool(tables: Tables) -> PoolId | None:
    """Return the spare pool; the first by name if there are several."""
    spares = [name for name, row in tables.objects[Kind.POOL].items() if row.obj.spare]
    return min(spares, default=None)


class _PoolSize(msgspec.Struct):
    """Actual and required number of VMs of a pool.

    :param actual: VMs in service or on their way into the pool.
    :param required: VMs that the current demand requires.
    :param retained: VMs that the peak demand within the hysteresis requires.
    :param wait: age of the oldest waiting work, in seconds.
    """

    pool: PoolId
    actual: int
    required: int
    retained: int
    wait: float

    @property
    def shortfall(self) -> int:
        return self.required - self.actual


def _recent_surplus(size: _PoolSize) -> int:
    """Return the VMs of a pool in excess of its recent peak."""
    return size.actual - size.retained


def _current_surplus(size: _PoolSize) -> int:
    """Return the VMs of a pool in excess of its current demand."""
    return size.actual - size.required


class MovePlanner:
    """Proposes the moves of VMs between pools.

    The buffer consists of the VMs that are drained in the spare pool. A VM of the
    buffer joins a pool with two records and without a drain. Pools return VMs
    only while the buffer is short, and only VMs that they have not needed during
    the hysteresis. A pool that lacks VMs beyond the buffer takes them from the
    pool that has most VMs in excess of its current demand.

    The planner decides on the target of a VM; the steps to that target are
    proposed by ``hickoryplank.core.maintenance``. Any number of nodes may run a
    planner, since the fold refuses stale proposals.

    :param new_id: returns a new unique record id.
    """

    def __init__(self, policy: MovePolicy, new_id: Callable[[], RecordId]) -> None:
        self._policy = policy
        self._new_id = new_id
        self._outstanding = OutstandingProposals(policy.retry_interval)
        self._targets: dict[VmId, PoolId] = {}

    def tick(
        self, tables: Tables, demand: Mapping[PoolId, PoolDemand], now: float
    ) -> list[VmStep | VmMoved]:
        """Return the records that adapt the pools to their demand.

        :param demand: demand by pool; pools without an entry are not changed.
        :param now: monotonic time, in seconds.
        """
        self._outstanding.discard_finished(tables, now)
        spare = spare_pool(tables)
        if spare is None:
            return []
        sizes = self._sizes(tables, demand)
        proposals = []
        for size in sorted(sizes, key=lambda size: (-size.wait, size.pool)):
            if size.shortfall > 0:
                proposals.extend(self._grow_pool(tables, size, sizes, spare, now))
        proposals.extend(self._fill_buffer(tables, sizes, spare, now))
        return proposals

    def _sizes(
        self, tables: Tables, demand: Mapping[PoolId, PoolDemand]
    ) -> list[_PoolSize]:
        incoming = self._incoming(tables)
        return [
            self._size(tables, pool_demand, incoming.get(pool, 0))
            for pool, pool_demand in demand.items()
            if pool in tables.objects[Kind.POOL]
        ]

    def _incoming(self, tables: Tables) -> dict[PoolId, int]:
        """Return the VMs on their way into each pool, folded or proposed."""
        incoming: dict[PoolId, int] = {}
        for vm, pool in list(self._targets.items()):
            row = tables.vms.get(vm)
            if row is None or not self._outstanding.is_pending(row):
                del self._targets[vm]
            else:
                incoming[pool] = incoming.get(pool, 0) + 1
        for vm, row in tables.vm_index.inactive.items():
            is_moving = row.target not in (None, row.pool) and vm not in self._targets
            if is_moving and row.healthy and not tables.is_evacuated(vm):
                incoming[row.target] = incoming.get(row.target, 0) + 1
        return incoming

    def _size(
        self, tables: Tables, pool_demand: PoolDemand, incoming: int
    ) -> _PoolSize:
        rows = tables.members(pool_demand.pool)
        floor = budget_of(tables, pool_demand.pool) + 1
        slots = self._policy.fill * _slots_of(tables, rows)
        required = math.ceil((pool_demand.slots + pool_demand.backlog) / slots)
        retained = math.ceil(pool_demand.peak / slots)
        spare = tables.objects[Kind.POOL][pool_demand.pool].obj.spare
        joining = 0 if spare else sum(self._is_joining(tables, row) for row in rows)
        return _PoolSize(
            pool=pool_demand.pool,
            actual=sum(
                tables.takes_work(row) and not self._outstanding.is_pending(row)
                for row in rows
            )
            + joining
            + incoming,
            required=max(floor, required),
            retained=max(floor, required, retained),
            wait=pool_demand.wait,
        )

    def _is_joining(self, tables: Tables, row: VmRow) -> bool:
        """Return whether a VM is in its target pool and about to enter service."""
        drained = row.state is VmState.DRAINED and row.target == row.pool
        return (
            drained
            and row.healthy
            and not row.wave
            and not tables.is_evacuated(row.vm)
            and not self._outstanding.is_pending(row)
        )

    def _is_buffer(self, row: VmRow) -> bool:
        return is_standby(row) and not self._outstanding.is_pending(row)

    def _buffer_rows(self, tables: Tables, spare: PoolId) -> list[VmRow]:
        rows = sorted(tables.members(spare), key=lambda row: row.vm)
        return [
            row
            for row in rows
            if row.healthy and self._is_buffer(row) and not tables.is_evacuated(row.vm)
        ]

    def _grow_pool(
        self,
        tables: Tables,
        size: _PoolSize,
        sizes: list[_PoolSize],
        spare: PoolId,
        now: float,
    ) -> Iterator[VmStep | VmMoved]:
        for row in self._returning(tables, size)[: size.shortfall]:
            size.actual += 1
            yield self._step(row, VmState.ACTIVE, None, now)
        for row in self._buffer_rows(tables, spare)[: max(0, size.shortfall)]:
            if not self._may_leave(tables, row, size.pool):
                break
            size.actual += 1
            yield self._take_from_buffer(row, size.pool, now)
        donors = [other for other in sizes if other.pool != size.pool]
        count = size.shortfall
        for step in self._move_from_donors(
            tables, donors, _current_surplus, size.pool, count, now
        ):
            size.actual += 1
            yield step

    def _returning(self, tables: Tables, size: _PoolSize) -> list[VmRow]:
        """Return the VMs that are leaving the pool for a move and can still stay."""
        return [
            row
            for row in tables.members(size.pool)
            if row.state is VmState.LEAVING
            and row.target not in (None, size.pool)
            and not self._outstanding.is_pending(row)
            and not tables.is_evacuated(row.vm)
        ]

    def _may_leave(self, tables: Tables, row: VmRow, pool: PoolId) -> bool:
        if row.pool == pool:
            return True
        if check_move(tables, row, pool):
            return False
        members = tables.members(row.pool)
        leaving = sum(other.target not in (None, row.pool) for other in members)
        proposed = sum(self._outstanding.is_pending(other) for other in members)
        return len(members) - leaving - proposed - 1 > budget_of(tables, row.pool)

    def _take_from_buffer(
        self, row: VmRow, pool: PoolId, now: float
    ) -> VmStep | VmMoved:
        if row.pool == pool:
            return self._step(row, VmState.ACTIVE, None, now)
        self._outstanding.note(row, now)
        self._targets[row.vm] = pool
        return VmMoved(id=self._new_id(), vm=row.vm, revision=row.revision, pool=pool)

    def _move_from_donors(
        self,
        tables: Tables,
        donors: list[_PoolSize],
        surplus_of: Callable[[_PoolSize], int],
        target: PoolId,
        count: int,
        now: float,
    ) -> Iterator[VmStep]:
        """Move VMs to ``target``, each from the donor with the most to spare."""
        donors = list(donors)
        while count > 0 and donors:
            donor = max(donors, key=lambda size: (surplus_of(size), size.pool))
            row = self._choose_vm(tables, donor.pool, target)
            if surplus_of(donor) <= 0 or row is None:
                donors.remove(donor)
                continue
            donor.actual -= 1
            count -= 1
            yield self._step(row, VmState.LEAVING, target, now)

    def _choose_vm(self, tables: Tables, pool: PoolId, target: PoolId) -> VmRow | None:
        rows = [
            row
            for row in tables.members(pool)
            if tables.takes_work(row) and not self._outstanding.is_pending(row)
        ]
        if len(rows) <= budget_of(tables, pool):
            return None
        row = min(rows, key=lambda row: row.vm)
        return row if self._may_leave(tables, row, target) else None

    def _fill_buffer(
        self, tables: Tables, sizes: list[_PoolSize], spare: PoolId, now: float
    ) -> Iterator[VmStep]:
        buffer = self._buffer_rows(tables, spare)
        joining = sum(
            row.target == spare
            and row.state is VmState.LEAVING
            and not tables.is_evacuated(row.vm)
            for row in tables.vm_index.inactive.values()
        )
        buffer_shortfall = self._policy.buffer_vms - len(buffer) - joining
        if buffer_shortfall < 0:
            for row in buffer[:-buffer_shortfall]:
                yield self._step(row, VmState.ACTIVE, None, now)
        yield from self._move_from_donors(
            tables, sizes, _recent_surplus, spare, buffer_shortfall, now
        )

    def _step(
        self, row: VmRow, state: VmState, target: PoolId | None, now: float
    ) -> VmStep:
        self._outstanding.note(row, now)
        self._targets[row.vm] = target or row.pool
        return VmStep(
            id=self._new_id(),
            vm=row.vm,
            revision=row.revision,
            state=state,
            target=target,
        )


def _slots_of(tables: Tables, rows: list[VmRow]) -> float:
    """Return the mean number of slots of the VMs in ``rows``."""
    endpoints = [tables.endpoint_of(row.vm) for row in rows]
    slots = [endpoint.slots for endpoint in endpoints if endpoint is not None]
    return sum(slots) / len(slots) if slots else _DEFAULT_SLOTS
