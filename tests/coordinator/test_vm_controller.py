"""Tests of the conversion of listed VMs for the engine."""

import pytest

from hickoryplank.coordinator.ports import ListedVm, VmState
from hickoryplank.coordinator.vm_controller import to_vm_listing
from hickoryplank.core.ids import EndpointId, PoolId, VmId, Zone
from tests.jobs.driver import CAPACITY


@pytest.mark.parametrize(
    ("state", "up", "maintaining"),
    [
        (VmState.UP, True, False),
        (VmState.MAINTENANCE, False, True),
        (VmState.MOVING, False, False),
        (VmState.DOWN, False, False),
    ],
)
def test_state_of_a_listed_vm_is_converted(state, up, maintaining):
    id, pool, endpoint = VmId("m-1"), PoolId("p"), EndpointId("e0")
    view = to_vm_listing(ListedVm(id, pool, state, Zone("z"), (), CAPACITY, endpoint))
    assert (view.id, view.pool, view.endpoint) == (id, pool, endpoint)
    assert (view.up, view.in_maintenance) == (up, maintaining)
    assert view.capacity == CAPACITY
