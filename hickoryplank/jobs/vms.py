"""VMs and the operations in progress on them."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import EndpointId, PoolId, VmId, WaveId, Zone
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
    """A VM as described in the platform's list.

    :param up: the VM is in service, and can be moved or maintained.
    :param in_maintenance: the VM is down for maintenance.
    :param zone: availability zone.
    """

    id: VmId
    pool: PoolId
    up: bool
    endpoint: EndpointId | None
    capacity: Size = Size()
    in_maintenance: bool = False
    zone: Zone = Zone("")


class MaintenanceDue(Enum):
    """Whether a VM is due for maintenance in a wave, and how urgently."""

    NONE = "not"
    LATER = "later"
    #: The deadline of the wave is so near that the VM is not moved to another pool.
    SOON = "soon"


class OperationPhase(Enum):
    """Phase of an operation on a VM."""

    #: The endpoint gets no new runs, and its present runs end or are moved.
    EVACUATING = "emptying"
    #: The order has been sent, and may have been carried out.
    ORDERED = "ordered"
    #: The order has been carried out; the VM is not back in service yet.
    AWAITING_RETURN = "away"


class VmOperation(msgspec.Struct):
    """A move or a maintenance of one VM.

    :param pool: target pool of a move; none for maintenance.
    :param wave: wave of a maintenance; none for a move.
    :param phase_since: start of the current phase, by the local clock, in seconds.
    :param earliest_return_at: earliest time at which the VM can be back in service, by
        the local clock, in seconds; known once the order has been carried out.
    """

    vm: VmId
    pool: PoolId | None
    wave: WaveId | None
    phase: OperationPhase
    phase_since: float
    earliest_return_at: float = 0.0


class VmRow(msgspec.Struct):
    """A VM as last listed, and the operation in progress on it."""

    listing: VmListing
    operation: VmOperation | None = None
    maintenance_due: MaintenanceDue = MaintenanceDue.NONE


class VmTable:
    """All VMs, by id."""

    def __init__(self) -> None:
        self.rows: dict[VmId, VmRow] = {}
        self.listed_at: float | None = None

    def update(self, listings: tuple[VmListing, ...], asked_at: float) -> None:
        """Apply a new list of VMs, and end the operations whose VM is back.

        :param asked_at: time at which the list was requested; it does not reflect
            orders carried out later.
        """
        self.listed_at = asked_at
        listed_ids = {listing.id for listing in listings}
        for gone in set(self.rows) - listed_ids:
            del self.rows[gone]
        for listing in listings:
            row = self.rows.get(listing.id)
            if row is None:
                self.rows[listing.id] = VmRow(listing)
                continue
            row.listing = listing
            operation = row.operation
            if (
                operation is None
                or operation.phase is not OperationPhase.AWAITING_RETURN
            ):
                continue
            if listing.up and asked_at > operation.earliest_return_at:
                row.operation = None

    def pool_rows(self, pool: PoolId) -> list[VmRow]:
        """Return the VMs of a pool, according to the last list."""
        return [row for row in self.rows.values() if row.listing.pool == pool]

    def leaving_endpoints(self) -> frozenset[EndpointId]:
        """Return the endpoints of the VMs that are to be, or may be, ordered away.

        Once an order has been carried out, what the VM returns with may be used.
        """
        return frozenset(
            row.listing.endpoint
            for row in self.rows.values()
            if row.operation is not None
            and row.operation.phase is not OperationPhase.AWAITING_RETURN
            and row.listing.endpoint is not None
        )

    def operations(self) -> list[VmOperation]:
        """Return all operations in progress."""
        return [
            row.operation for row in self.rows.values() if row.operation is not None
        ]
