"""Room of the fleet by pool, as the VM list and the operations on VMs show it."""

import msgspec

from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.evacuated_zones import EvacuatedZones
from hickoryplank.jobs.sizes import ZERO, Size
from hickoryplank.jobs.vms import VmRow, VmTable

__all__ = ["VmSupply", "read_supply"]


class VmSupply(msgspec.Struct, frozen=True):
    """Resources of the VMs that pools get, or could get.

    :param joining: resources of the VMs on their way into each pool.
    :param total: resources of all VMs that are up or on their way.
    """

    joining: dict[PoolId, Size]
    total: Size

    def joining_to(self, pool: PoolId) -> Size:
        """Return the resources of the VMs on their way into a pool."""
        return self.joining.get(pool, ZERO)


def read_supply(vms: VmTable, evacuated: EvacuatedZones) -> VmSupply:
    """Return the supply according to the last list and the present operations.

    :param evacuated: zones whose VMs take no work.
    """
    joining: dict[PoolId, Size] = {}
    total = ZERO
    for row in vms.rows.values():
        if row.listing.zone in evacuated:
            continue
        pool = _target_pool(row)
        if pool is not None:
            joining[pool] = joining.get(pool, ZERO).plus(row.listing.capacity)
        if row.listing.up or pool is not None:
            total = total.plus(row.listing.capacity)
    return VmSupply(joining, total)


def _target_pool(row: VmRow) -> PoolId | None:
    """Return the pool that a VM is on its way into, if any."""
    operation = row.operation
    if operation is None or operation.pool is None:
        return None
    if operation.pool == row.listing.pool and row.listing.up:
        return None
    return operation.pool
