"""Table of VMs, and what is under way with each."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import EndpointId, PoolId, VmId, WaveId
from hickoryplank.jobs.sizes import Size

__all__ = [
    "MaintenanceDue",
    "VmOperation",
    "OperationPhase",
    "VmRow",
    "VmTable",
    "VmListing",
]


class VmListing(msgspec.Struct, frozen=True):
    """What the platform's list says of a VM.

    :param up: it is in service, and can be moved or maintained.
    :param in_maintenance: it is down for its maintenance.
    """

    id: VmId
    pool: PoolId
    up: bool
    endpoint: EndpointId | None
    capacity: Size = Size()
    in_maintenance: bool = False


class MaintenanceDue(Enum):
    """Whether a VM is to be maintained for a wave, and how soon."""

    NONE = "not"
    LATER = "later"
    #: The wave's deadline is so near that nothing else may come first.
    SOON = "soon"


class OperationPhase(Enum):
    """How far an errand has come."""

    #: Its endpoint gets nothing new, and what runs there ends or moves off.
    EVACUATING = "emptying"
    #: The order was sent, and may have been carried out.
    ORDERED = "ordered"
    #: The order was carried out; the VM isn't back yet.
    AWAITING_RETURN = "away"


class VmOperation(msgspec.Struct):
    """A move or a maintenance of one VM.

    :param pool: where it moves; none for maintenance.
    :param wave: the wave that it is maintained for; none for a move.
    :param earliest_return_at: once ordered, when it can be back at the earliest.
    """

    vm: VmId
    pool: PoolId | None
    wave: WaveId | None
    phase: OperationPhase
    phase_since: float
    earliest_return_at: float = 0.0


class VmRow(msgspec.Struct):
    """A VM as last listed, and its errand."""

    listing: VmListing
    operation: VmOperation | None = None
    maintenance_due: MaintenanceDue = MaintenanceDue.NONE


class VmTable:
    """All VMs."""

    def __init__(self) -> None:
        self.rows: dict[VmId, VmRow] = {}
        self.listed_at: float | None = None

    def take(self, views: tuple[VmListing, ...], asked_at: float) -> None:
        """Take a new list.

        :param asked_at: when it was asked for; an errand that was ordered later
            doesn't show in it.
        """
        self.listed_at = asked_at
        named = {view.id for view in views}
        for gone in set(self.rows) - named:
            del self.rows[gone]
        for view in views:
            row = self.rows.get(view.id)
            if row is None:
                self.rows[view.id] = VmRow(view)
                continue
            row.listing = view
            operation = row.operation
            if (
                operation is None
                or operation.phase is not OperationPhase.AWAITING_RETURN
            ):
                continue
            if view.up and asked_at > operation.earliest_return_at:
                row.operation = None

    def pool_rows(self, pool: PoolId) -> list[VmRow]:
        """Return the VMs that the list shows in a pool."""
        return [row for row in self.rows.values() if row.listing.pool == pool]

    def operations(self) -> list[VmOperation]:
        """Return all errands under way."""
        return [
            row.operation for row in self.rows.values() if row.operation is not None
        ]
