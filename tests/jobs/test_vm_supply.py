"""Tests of the room of the fleet by pool."""

import pytest

from hickoryplank.core.ids import PoolId, VmId, Zone
from hickoryplank.jobs.evacuated_zones import EvacuatedZones
from hickoryplank.jobs.sizes import ZERO, Size
from hickoryplank.jobs.vm_supply import read_supply
from hickoryplank.jobs.vms import OperationPhase, VmListing, VmOperation, VmTable

A, B = PoolId("a"), PoolId("b")
ONE = Size(1000, 1000, 0)


def table(up: bool, moving_to: PoolId | None) -> VmTable:
    """Return a table of one VM of pool a."""
    vms = VmTable()
    vms.update((VmListing(VmId("m"), A, up, None, ONE, zone=Zone("z")),), 0.0)
    if moving_to is not None:
        vms.rows[VmId("m")].operation = VmOperation(
            VmId("m"), moving_to, None, OperationPhase.ORDERED, 0.0
        )
    return vms


@pytest.mark.parametrize(
    "vms, evacuated, joining_to_b, total",
    [
        pytest.param(table(True, None), (), ZERO, ONE, id="stays"),
        pytest.param(table(True, B), (), ONE, ONE, id="leaves for the other pool"),
        pytest.param(table(False, B), (), ONE, ONE, id="is moving"),
        pytest.param(table(False, None), (), ZERO, ZERO, id="down"),
        pytest.param(table(True, B), ("z",), ZERO, ZERO, id="in an evacuated zone"),
    ],
)
def test_supply_counts_the_vms_that_may_take_work(vms, evacuated, joining_to_b, total):
    zones = EvacuatedZones()
    zones.replace(frozenset(map(Zone, evacuated)), (), 0.0)
    supply = read_supply(vms, zones)
    assert supply.joining_to(B) == joining_to_b
    assert supply.total == total
