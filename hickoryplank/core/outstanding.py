"""Proposals that were submitted and are not folded yet."""

from hickoryplank.core.ids import Revision, VmId
from hickoryplank.core.tables import Tables, VmRow

__all__ = ["Outstanding"]


class Outstanding:
    """Prevents a planner from repeating a proposal at every tick.

    :param retry: seconds after which a proposal that was not folded may be
        repeated.
    """

    def __init__(self, retry: float) -> None:
        self._retry = retry
        self._made: dict[VmId, tuple[Revision, float]] = {}

    def note(self, row: VmRow, now: float) -> None:
        """Record a proposal made at ``now`` for the current revision of the VM."""
        self._made[row.vm] = (row.revision, now)

    def has(self, row: VmRow) -> bool:
        """Return whether a proposal for the current revision of the VM is pending."""
        made = self._made.get(row.vm)
        return made is not None and made[0] == row.revision

    def forget(self, tables: Tables, now: float) -> list[VmRow]:
        """Discard folded and overdue proposals; return the VMs of the overdue ones."""
        overdue = []
        for vm, (revision, made) in list(self._made.items()):
            row = tables.vms.get(vm)
            if row is not None and row.revision == revision:
                if now - made < self._retry:
                    continue
                overdue.append(row)
            del self._made[vm]
        return overdue
