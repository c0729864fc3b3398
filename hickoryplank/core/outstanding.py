"""Proposals that were made and are not known to be folded yet."""

from hickoryplank.core.ids import Revision, VmId
from hickoryplank.core.tables import Tables, VmRow

__all__ = ["Outstanding"]


class Outstanding:
    """Keeps a planner from making one proposal again at every tick.

    :param retry: seconds after which an unanswered proposal may be made again.
    """

    def __init__(self, retry: float) -> None:
        self._retry = retry
        self._made: dict[VmId, tuple[Revision, float]] = {}

    def note(self, row: VmRow, now: float) -> None:
        """Note a proposal made at ``now`` for the VM as it stands."""
        self._made[row.vm] = (row.revision, now)

    def has(self, row: VmRow) -> bool:
        """Return whether a proposal for the VM as it stands is under way."""
        made = self._made.get(row.vm)
        return made is not None and made[0] == row.revision

    def forget(self, tables: Tables, now: float) -> list[VmRow]:
        """Drop what was folded or is overdue; return the VMs of the latter."""
        overdue = []
        for vm, (revision, made) in list(self._made.items()):
            row = tables.vms.get(vm)
            if row is not None and row.revision == revision:
                if now - made < self._retry:
                    continue
                overdue.append(row)
            del self._made[vm]
        return overdue
