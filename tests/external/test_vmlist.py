"""Tests of VM list clients: lag, outages, states, generations and reboots."""

import msgspec
import pytest

from hickoryplank.external.vmlist import ListedState

pytestmark = pytest.mark.anyio


async def row_of(side, vm):
    rows = (await side.client.read()).unwrap()
    return {row.vm: row for row in rows}[vm]


@pytest.mark.parametrize(
    "change",
    [{"state": ListedState.LEAVING}, {"state": ListedState.GONE}, {"generation": 2}],
)
async def test_changes_show_after_the_lag(vms_side, change):
    before = await row_of(vms_side, "vm-0")
    after = msgspec.structs.replace(before, **change)
    await vms_side.fault(lag_seconds=60.0)
    vms_side.model.put(after)
    assert await row_of(vms_side, "vm-0") == before
    await vms_side.fault(lag_seconds=0.0)
    assert await row_of(vms_side, "vm-0") == after


async def test_outage_fails_every_call_without_effect(vms_side):
    await vms_side.fault(outage=True)
    assert (await vms_side.client.read()).is_err()
    assert (await vms_side.client.reboot("vm-0", 1)).is_err()
    await vms_side.fault(outage=False)
    assert (await row_of(vms_side, "vm-0")).generation == 1


@pytest.mark.parametrize(("named", "expected"), [(1, 2), (None, 3)])
async def test_repeated_reboot_of_one_generation_happens_once(
    vms_side, named, expected
):
    await vms_side.fault(lose_answers=1)
    assert (await vms_side.client.reboot("vm-0", named)).is_err()
    assert (await vms_side.client.reboot("vm-0", named)).is_ok()
    row = await row_of(vms_side, "vm-0")
    assert (row.state, row.generation) == (ListedState.LIVE, expected)
    assert (await row_of(vms_side, "vm-1")).generation == 1


async def test_reboot_of_an_unknown_or_gone_vm_fails(vms_side):
    row = await row_of(vms_side, "vm-0")
    vms_side.model.put(msgspec.structs.replace(row, state=ListedState.GONE))
    assert (await vms_side.client.reboot("vm-0")).is_err()
    assert (await vms_side.client.reboot("vm-9")).is_err()
