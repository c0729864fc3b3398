"""Selection of the VMs that a maintenance wave drains next."""

from collections.abc import Callable, Iterable

from hickoryplank.core.ids import PoolId, Rack, VmId, Zone
from hickoryplank.core.records import VmState, WaveState
from hickoryplank.core.tables import Tables, VmRow, WaveRow
from hickoryplank.core.vms import budget_of

__all__ = ["WaveProgress", "is_standby"]

IsPending = Callable[[VmRow], bool]


def is_standby(row: VmRow) -> bool:
    """Return whether a VM is drained in the buffer, ready to join a pool."""
    return row.state is VmState.DRAINED and row.target == row.pool and row.wave is None


class WaveProgress:
    """A node's cached progress of a wave, which can be rebuilt at any time.

    A pool is examined again only if one of its VMs or its budget has changed, or
    if a proposal for it was not folded in time.

    :param has_given_up: returns whether a VM has failed too many reboots. The wave
        that has rebooted it then no longer waits for it; other waves do, as they have
        not begun with it.
    """

    def __init__(self, wave: WaveRow, has_given_up: Callable[[VmRow], bool]) -> None:
        self._wave = wave.wave
        self._pools = frozenset(wave.pools)
        self._has_given_up = has_given_up
        self._done: set[VmId] = set()
        self._done_count = 0
        self._state = wave.state
        self._unfinished_pools = set(wave.pools)
        self._pools_to_check = set(wave.pools)

    @property
    def finished(self) -> bool:
        """Whether the wave waits for no further VM."""
        return not self._unfinished_pools

    def refresh(self, wave: WaveRow, changed: Iterable[PoolId]) -> None:
        """Update the progress with what was folded since the last tick.

        :param changed: pools that have changed since then.
        """
        self._done.update(wave.done[self._done_count :])
        self._done_count = len(wave.done)
        self._pools_to_check.update(self._pools.intersection(changed))
        if wave.state is not self._state:
            self._pools_to_check.update(self._unfinished_pools)
            self._state = wave.state

    def next_to_drain(self, tables: Tables, is_pending: IsPending) -> list[VmRow]:
        """Return the VMs to drain now, within the budget of each pool."""
        if self._state is not WaveState.RUNNING:
            return []
        to_check, self._pools_to_check = self._pools_to_check, set()
        chosen = []
        for pool in sorted(to_check):
            chosen.extend(self._next_in_pool(tables, pool, is_pending))
        return chosen

    def recheck(self, pool: PoolId) -> None:
        """Examine ``pool`` again at the next tick."""
        if pool in self._pools:
            self._pools_to_check.add(pool)

    def _next_in_pool(
        self, tables: Tables, pool: PoolId, is_pending: IsPending
    ) -> list[VmRow]:
        rows = tables.members(pool)
        remaining = [row for row in rows if self._waits_for(row)]
        if not remaining:
            self._unfinished_pools.discard(pool)
            return []
        self._unfinished_pools.add(pool)
        candidates = [
            row for row in remaining if _can_leave(row) and not is_pending(row)
        ]
        available = sum(tables.takes_work(row) and not is_pending(row) for row in rows)
        headroom = available - budget_of(tables, pool)
        serving = _in_domain_order(
            tables, [row for row in candidates if tables.takes_work(row)]
        )
        not_serving = [row for row in candidates if not tables.takes_work(row)]
        return not_serving + serving[: max(0, headroom)]

    def _waits_for(self, row: VmRow) -> bool:
        if row.vm in self._done:
            return False
        if row.wave == self._wave and self._has_given_up(row):
            return False
        held_by_operator = (
            row.state in (VmState.LEAVING, VmState.DRAINED)
            and row.wave is None
            and row.target is None
        )
        return not held_by_operator


def _can_leave(row: VmRow) -> bool:
    return row.state is VmState.ACTIVE or is_standby(row)


def _in_domain_order(tables: Tables, rows: list[VmRow]) -> list[VmRow]:
    """Sort ``rows`` by failure domain: availability zone, then rack, then VM."""

    def domain(row: VmRow) -> tuple[Zone, Rack, VmId]:
        endpoint = tables.endpoint_of(row.vm)
        return (endpoint.zone, endpoint.rack, row.vm)

    return sorted(rows, key=domain)
