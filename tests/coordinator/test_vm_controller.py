"""Tests of the conversion of listed VMs for the engine."""

import pytest

from hickoryplank.coordinator.ports import ListedVm, VmState
from hickoryplank.coordinator.vm_controller import to_vm_listing
from hickoryplank.core.ids import EndpointId, PoolId, VmId, Zone
from tests.jobs.driver import CAPACITY


@pytest.mark.parametrize(
    ("state", "up", "in_maintenance"),
    [
        (VmState.UP, True, False),
        (VmState.MAINTENANCE, False, True),
        (VmState.MOVING, False, False),
        (VmState.DOWN, False, False),
    ],
)
def test_state_of_a_listed_vm_is_converted(state, up, in_maintenance):
    id, pool, endpoint = VmId("m-1"), PoolId("p"), EndpointId("e0")
    listing = to_vm_listing(
        ListedVm(id, pool, state, Zone("z"), (), CAPACITY, endpoint)
    )
    assert (listing.id, listing.pool, listing.endpoint) == (id, pool, endpoint)
    assert (listing.up, listing.in_maintenance) == (up, in_maintenance)
    assert listing.capacity == CAPACITY
    assert listing.zone == "z"
