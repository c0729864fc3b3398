"""The VM list: lag, outage, states, generations and reboots."""

import msgspec
import pytest

from hickoryplank.platform.vmlist import ListedState, ListedVm
from hickoryplank.platform.vmlist_memory import MemoryVmList

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


async def test_vm_is_leaving_until_its_reboot_ends():
    now = [0.0]
    vms = MemoryVmList(reboot_seconds=30.0, clock=lambda: now[0])
    seen = []
    row = ListedVm("vm-0", "10.0.0.1", ListedState.LIVE, 1)
    vms.put(row)
    for now[0] in (1.0, 20.0, 31.0):
        assert (await vms.reboot("vm-0", 1)).is_ok()
        seen.extend((row.state.value, row.generation) for row in vms.now())
    assert seen == [("leaving", 1), ("leaving", 1), ("live", 2)]
