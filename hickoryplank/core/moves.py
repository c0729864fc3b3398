"""Planning of moves: VMs follow demand between pools, through the spare pool."""

import math
from collections.abc import Callable, Iterator, Mapping

import msgspec

from hickoryplank.core.demand import PoolDemand
from hickoryplank.core.ids import PoolId, RecordId, VmId
from hickoryplank.core.objects import Kind
from hickoryplank.core.outstanding import Outstanding
from hickoryplank.core.records import VmMoved, VmState, VmStep
from hickoryplank.core.tables import Tables, VmRow
from hickoryplank.core.vms import budget_of, check_sizes
from hickoryplank.core.waves import is_standby

__all__ = ["MovePlanner", "MovePolicy", "spare_pool"]

_DEFAULT_SLOTS = 8


class MovePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Trade-off between cost of the buffer, waiting work and number of moves.

    :param buffer_vms: number of VMs to keep drained in the spare pool.
    :param hysteresis: time for which a pool keeps the VMs that it has needed, in
        seconds.
    :param fill: fraction of a pool's slots in use above which the pool grows.
    :param retry: time after which a proposal is repeated, in seconds.
    """

    buffer_vms: int = 4
    hysteresis: float = 10.0
    fill: float = 0.9
    retry: float = 5.0


def spare_pool(tables: Tables) -> PoolId | None:
    """Return the spare pool; the first by name if there are several."""
    spares = [name for name, row in tables.objects[Kind.POOL].items() if row.obj.spare]
    return min(spares, default=None)


class _Sizes(msgspec.Struct):
    """Actual and required number of VMs of a pool.

    :param have: VMs in service or on their way into the pool.
    :param need: VMs that the current demand requires.
    :param hold: VMs that the peak demand within the hysteresis requires.
    :param wait: age of the oldest waiting work, in seconds.
    """

    pool: PoolId
    have: int
    need: int
    hold: int
    wait: float

    @property
    def lacking(self) -> int:
        return self.need - self.have


def _surplus(size: _Sizes) -> int:
    """Return the VMs of a pool in excess of its recent peak."""
    return size.have - size.hold


def _unused(size: _Sizes) -> int:
    """Return the VMs of a pool in excess of its current demand."""
    return size.have - size.need


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
        self._made = Outstanding(policy.retry)
        self._bound: dict[VmId, PoolId] = {}

    def tick(
        self, tables: Tables, demand: Mapping[PoolId, PoolDemand], now: float
    ) -> list[VmStep | VmMoved]:
        """Return the records that adapt the pools to their demand.

        :param demand: demand by pool; pools without an entry are not changed.
        :param now: monotonic time, in seconds.
        """
        self._made.forget(tables, now)
        spare = spare_pool(tables)
        if spare is None:
            return []
        sizes = self._sizes(tables, demand)
        proposals = []
        for size in sorted(sizes, key=lambda size: (-size.wait, size.pool)):
            if size.lacking > 0:
                proposals.extend(self._grow(tables, size, sizes, spare, now))
        proposals.extend(self._fill_buffer(tables, sizes, spare, now))
        return proposals

    def _sizes(
        self, tables: Tables, demand: Mapping[PoolId, PoolDemand]
    ) -> list[_Sizes]:
        incoming = self._incoming(tables)
        return [
            self._size(tables, wish, incoming.get(pool, 0))
            for pool, wish in demand.items()
            if pool in tables.objects[Kind.POOL]
        ]

    def _incoming(self, tables: Tables) -> dict[PoolId, int]:
        """Return the VMs on their way into each pool, folded or proposed."""
        incoming: dict[PoolId, int] = {}
        for vm, pool in list(self._bound.items()):
            row = tables.vms.get(vm)
            if row is None or not self._made.has(row):
                del self._bound[vm]
            else:
                incoming[pool] = incoming.get(pool, 0) + 1
        for vm, row in tables.vm_index.inactive.items():
            bound = row.target not in (None, row.pool) and vm not in self._bound
            if bound and row.healthy:
                incoming[row.target] = incoming.get(row.target, 0) + 1
        return incoming

    def _size(self, tables: Tables, wish: PoolDemand, incoming: int) -> _Sizes:
        rows = tables.members(wish.pool)
        floor = budget_of(tables, wish.pool) + 1
        slots = self._policy.fill * _slots_of(tables, rows)
        need = math.ceil((wish.slots + wish.backlog) / slots)
        hold = math.ceil(wish.peak / slots)
        spare = tables.objects[Kind.POOL][wish.pool].obj.spare
        coming = 0 if spare else sum(self._joins(row) for row in rows)
        return _Sizes(
            pool=wish.pool,
            have=sum(row.in_service and not self._made.has(row) for row in rows)
            + coming
            + incoming,
            need=max(floor, need),
            hold=max(floor, need, hold),
            wait=wish.wait,
        )

    def _joins(self, row: VmRow) -> bool:
        """Return whether a VM is in its target pool and about to enter service."""
        drained = row.state is VmState.DRAINED and row.target == row.pool
        return drained and row.healthy and not row.wave and not self._made.has(row)

    def _is_buffer(self, row: VmRow) -> bool:
        return is_standby(row) and not self._made.has(row)

    def _buffer(self, tables: Tables, spare: PoolId) -> list[VmRow]:
        rows = sorted(tables.members(spare), key=lambda row: row.vm)
        return [row for row in rows if row.healthy and self._is_buffer(row)]

    def _grow(
        self,
        tables: Tables,
        size: _Sizes,
        sizes: list[_Sizes],
        spare: PoolId,
        now: float,
    ) -> Iterator[VmStep | VmMoved]:
        for row in self._returning(tables, size)[: size.lacking]:
            size.have += 1
            yield self._step(row, VmState.ACTIVE, None, now)
        for row in self._buffer(tables, spare)[: max(0, size.lacking)]:
            if not self._may_go(tables, row, size.pool):
                break
            size.have += 1
            yield self._draw(row, size.pool, now)
        donors = [other for other in sizes if other.pool != size.pool]
        count = size.lacking
        for step in self._lend(tables, donors, _unused, size.pool, count, now):
            size.have += 1
            yield step

    def _returning(self, tables: Tables, size: _Sizes) -> list[VmRow]:
        """Return the VMs that are leaving the pool for a move and can still stay."""
        return [
            row
            for row in tables.members(size.pool)
            if row.state is VmState.LEAVING
            and row.target not in (None, size.pool)
            and not self._made.has(row)
        ]

    def _may_go(self, tables: Tables, row: VmRow, pool: PoolId) -> bool:
        if row.pool == pool:
            return True
        if check_sizes(tables, row, pool):
            return False
        members = tables.members(row.pool)
        leaving = sum(other.target not in (None, row.pool) for other in members)
        going = sum(self._made.has(other) for other in members)
        return len(members) - leaving - going - 1 > budget_of(tables, row.pool)

    def _draw(self, row: VmRow, pool: PoolId, now: float) -> VmStep | VmMoved:
        if row.pool == pool:
            return self._step(row, VmState.ACTIVE, None, now)
        self._made.note(row, now)
        self._bound[row.vm] = pool
        return VmMoved(id=self._new_id(), vm=row.vm, revision=row.revision, pool=pool)

    def _lend(
        self,
        tables: Tables,
        donors: list[_Sizes],
        spare_of: Callable[[_Sizes], int],
        target: PoolId,
        count: int,
        now: float,
    ) -> Iterator[VmStep]:
        """Move VMs to ``target``, each from the donor with the most to spare."""
        donors = list(donors)
        while count > 0 and donors:
            donor = max(donors, key=lambda size: (spare_of(size), size.pool))
            row = self._choose(tables, donor.pool, target)
            if spare_of(donor) <= 0 or row is None:
                donors.remove(donor)
                continue
            donor.have -= 1
            count -= 1
            yield self._step(row, VmState.LEAVING, target, now)

    def _choose(self, tables: Tables, pool: PoolId, target: PoolId) -> VmRow | None:
        rows = [
            row
            for row in tables.members(pool)
            if row.in_service and not self._made.has(row)
        ]
        if len(rows) <= budget_of(tables, pool):
            return None
        row = min(rows, key=lambda row: row.vm)
        return row if self._may_go(tables, row, target) else None

    def _fill_buffer(
        self, tables: Tables, sizes: list[_Sizes], spare: PoolId, now: float
    ) -> Iterator[VmStep]:
        buffer = self._buffer(tables, spare)
        coming = sum(
            row.target == spare and row.state is VmState.LEAVING
            for row in tables.vm_index.inactive.values()
        )
        short = self._policy.buffer_vms - len(buffer) - coming
        if short < 0:
            for row in buffer[:-short]:
                yield self._step(row, VmState.ACTIVE, None, now)
        yield from self._lend(tables, sizes, _surplus, spare, short, now)

    def _step(
        self, row: VmRow, state: VmState, target: PoolId | None, now: float
    ) -> VmStep:
        self._made.note(row, now)
        self._bound[row.vm] = target or row.pool
        return VmStep(
            id=self._new_id(),
            vm=row.vm,
            revision=row.revision,
            state=state,
            target=target,
        )


def _slots_of(tables: Tables, rows: list[VmRow]) -> float:
    """Return the mean number of slots of the VMs in ``rows``."""
    ends = [tables.endpoint_of(row.vm) for row in rows]
    slots = [end.slots for end in ends if end is not None]
    return sum(slots) / len(slots) if slots else _DEFAULT_SLOTS
