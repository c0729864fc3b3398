"""Proposals that were submitted and are not folded yet."""

from hickoryplank.core.ids import Revision, VmId
from hickoryplank.core.tables import Tables, VmRow

__all__ = ["OutstandingProposals"]


class OutstandingProposals:
    """Prevents a planner from repeating a proposal at every tick.

    :param retry_interval: seconds after which a proposal that was not folded may be
        repeated.
    """

    def __init__(self, retry_interval: float) -> None:
        self._retry_interval = retry_interval
        self._proposals: dict[VmId, tuple[Revision, float]] = {}

    def note(self, row: VmRow, now: float) -> None:
        """Record a proposal made at ``now`` for the current revision of the VM."""
        self._proposals[row.vm] = (row.revision, now)

    def is_pending(self, row: VmRow) -> bool:
        """Return whether a proposal for the current revision of the VM is pending."""
        proposal = self._proposals.get(row.vm)
        return proposal is not None and proposal[0] == row.revision

    def discard_finished(self, tables: Tables, now: float) -> list[VmRow]:
        """Discard folded and overdue proposals; return the VMs of the overdue ones."""
        overdue = []
        for vm, (revision, proposed_at) in list(self._proposals.items()):
            row = tables.vms.get(vm)
            if row is not None and row.revision == revision:
                if now - proposed_at < self._retry_interval:
                    continue
                overdue.append(row)
            del self._proposals[vm]
        return overdue
