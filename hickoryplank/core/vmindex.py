"""Index of the VMs by pool, derived from the tables and never encoded."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from hickoryplank.core.ids import PoolId, VmId
from hickoryplank.core.records import VmState

if TYPE_CHECKING:
    from hickoryplank.core.tables import VmRow

__all__ = ["VmIndex"]


class VmIndex:
    """VMs by pool, VMs that are not active, and pools in the order of their change.

    The index is derived from the rows; a node that loads a snapshot rebuilds it.
    The VMs of a pool are in no particular order.

    :param sequence: the sequence number of the tables that ``rows`` come from.
    :ivar size: number of VMs.
    :ivar inactive: the VMs that are not in state ``ACTIVE``.
    """

    def __init__(self, rows: Iterable[VmRow], sequence: int) -> None:
        self.size = 0
        self.inactive: dict[VmId, VmRow] = {}
        self._members: dict[PoolId, dict[VmId, VmRow]] = {}
        self._changed: dict[PoolId, int] = {}
        for row in rows:
            self.add(row, sequence)

    def members(self, pool: PoolId) -> list[VmRow]:
        """Return the VMs of ``pool``."""
        return list(self._members.get(pool, {}).values())

    def add(self, row: VmRow, sequence: int) -> None:
        """Add a new VM."""
        self._members.setdefault(row.pool, {})[row.vm] = row
        self.size += 1
        self.update(row, sequence)

    def remove(self, row: VmRow, sequence: int) -> None:
        """Remove a VM."""
        del self._members[row.pool][row.vm]
        self.inactive.pop(row.vm, None)
        self.size -= 1
        self.mark_changed(row.pool, sequence)

    def move(self, row: VmRow, old: PoolId, sequence: int) -> None:
        """Index a VM under the pool in its row instead of pool ``old``."""
        del self._members[old][row.vm]
        self._members.setdefault(row.pool, {})[row.vm] = row
        self.mark_changed(old, sequence)
        self.mark_changed(row.pool, sequence)

    def update(self, row: VmRow, sequence: int) -> None:
        """Update the index after a change of a VM's state or health."""
        if row.state is VmState.ACTIVE:
            self.inactive.pop(row.vm, None)
        else:
            self.inactive[row.vm] = row
        self.mark_changed(row.pool, sequence)

    def mark_changed(self, pool: PoolId, sequence: int) -> None:
        """Mark ``pool`` as changed at ``sequence``."""
        self._changed.pop(pool, None)
        self._changed[pool] = sequence

    def changed_since(self, sequence: int) -> Iterator[PoolId]:
        """Yield the pools that changed after ``sequence``, most recent first."""
        for pool in reversed(self._changed):
            if self._changed[pool] <= sequence:
                return
            yield pool
