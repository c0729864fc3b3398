"""Tests of VM list clients: lag, outages, states, generations and reboots."""

import msgspec
import pytest

from hickoryplank.external.vmlist import ListedState

pytestmark = pytest.mark.anyio


async def row_of(harness, vm):
    rows = (await harness.client.read()).unwrap()
    return {row.vm: row for row in rows}[vm]


@pytest.mark.parametrize(
    "change",
    [{"state": ListedState.LEAVING}, {"state": ListedState.GONE}, {"generation": 2}],
)
async def test_changes_show_after_the_lag(vm_list_harness, change):
    before = await row_of(vm_list_harness, "vm-0")
    after = msgspec.structs.replace(before, **change)
    await vm_list_harness.inject(lag_seconds=60.0)
    vm_list_harness.simulator.put(after)
    assert await row_of(vm_list_harness, "vm-0") == before
    await vm_list_harness.inject(lag_seconds=0.0)
    assert await row_of(vm_list_harness, "vm-0") == after


async def test_outage_fails_every_call_without_effect(vm_list_harness):
    await vm_list_harness.inject(outage=True)
    assert (await vm_list_harness.client.read()).is_err()
    assert (await vm_list_harness.client.reboot("vm-0", 1)).is_err()
    await vm_list_harness.inject(outage=False)
    assert (await row_of(vm_list_harness, "vm-0")).generation == 1


@pytest.mark.parametrize(("named", "expected"), [(1, 2), (None, 3)])
async def test_repeated_reboot_of_one_generation_happens_once(
    vm_list_harness, named, expected
):
    await vm_list_harness.inject(lose_answers=1)
    assert (await vm_list_harness.client.reboot("vm-0", named)).is_err()
    assert (await vm_list_harness.client.reboot("vm-0", named)).is_ok()
    row = await row_of(vm_list_harness, "vm-0")
    assert (row.state, row.generation) == (ListedState.LIVE, expected)
    assert (await row_of(vm_list_harness, "vm-1")).generation == 1


async def test_reboot_of_an_unknown_or_gone_vm_fails(vm_list_harness):
    row = await row_of(vm_list_harness, "vm-0")
    vm_list_harness.simulator.put(msgspec.structs.replace(row, state=ListedState.GONE))
    assert (await vm_list_harness.client.reboot("vm-0")).is_err()
    assert (await vm_list_harness.client.reboot("vm-9")).is_err()
