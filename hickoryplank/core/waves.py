"""Selection of the VMs that a maintenance wave drains next."""

from collections.abc import Callable, Iterable

from hickoryplank.core.ids import PoolId, Rack, VmId, Zone
from hickoryplank.core.records import VmState, WaveState
from hickoryplank.core.tables import Tables, VmRow, WaveRow
from hickoryplank.core.vms import budget_of

__all__ = ["WaveView", "is_standby"]

InFlight = Callable[[VmRow], bool]


def is_standby(row: VmRow) -> bool:
    """Return whether a VM is drained in the buffer, ready to join a pool."""
    return row.state is VmState.DRAINED and row.target == row.pool and row.wave is None


class WaveView:
    """A node's cached progress of a wave, which can be rebuilt at any time.

    A pool is examined again only if one of its VMs or its budget has changed, or
    if a proposal for it was not folded in time.

    :param given_up: returns whether a VM has failed too many reboots, so that the
        wave no longer waits for it.
    """

    def __init__(self, wave: WaveRow, given_up: Callable[[VmRow], bool]) -> None:
        self._pools = frozenset(wave.pools)
        self._given_up = given_up
        self._done: set[VmId] = set()
        self._seen = 0
        self._state = wave.state
        self._open = set(wave.pools)
        self._ready = set(wave.pools)

    @property
    def finished(self) -> bool:
        """Whether the wave waits for no further VM."""
        return not self._open

    def refresh(self, wave: WaveRow, changed: Iterable[PoolId]) -> None:
        """Update the progress with what was folded since the last tick.

        :param changed: pools that have changed since then.
        """
        self._done.update(wave.done[self._seen :])
        self._seen = len(wave.done)
        self._ready.update(self._pools.intersection(changed))
        if wave.state is not self._state:
            self._ready.update(self._open)
            self._state = wave.state

    def leaving(self, tables: Tables, in_flight: InFlight) -> list[VmRow]:
        """Return the VMs to drain now, within the budget of each pool."""
        if self._state is not WaveState.RUNNING:
            return []
        ready, self._ready = self._ready, set()
        chosen = []
        for pool in sorted(ready):
            chosen.extend(self._of_pool(tables, pool, in_flight))
        return chosen

    def look_again(self, pool: PoolId) -> None:
        """Examine ``pool`` again at the next tick."""
        if pool in self._pools:
            self._ready.add(pool)

    def _of_pool(
        self, tables: Tables, pool: PoolId, in_flight: InFlight
    ) -> list[VmRow]:
        rows = tables.members(pool)
        left = [row for row in rows if self._waits_for(row)]
        if not left:
            self._open.discard(pool)
            return []
        self._open.add(pool)
        idle = [row for row in left if _can_leave(row) and not in_flight(row)]
        available = sum(row.in_service and not in_flight(row) for row in rows)
        room = available - budget_of(tables, pool)
        costing = _in_domain_order(tables, [row for row in idle if row.in_service])
        free = [row for row in idle if not row.in_service]
        return free + costing[: max(0, room)]

    def _waits_for(self, row: VmRow) -> bool:
        if row.vm in self._done or self._given_up(row):
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
    def domain(row: VmRow) -> tuple[Zone, Rack, VmId]:
        end = tables.endpoint_of(row.vm)
        return (end.zone, end.rack, row.vm)

    return sorted(rows, key=domain)
