"""Tests of placement and of outlier ejection."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.core.endpoints import CAPACITY_RECOVERY_SECONDS
from hickoryplank.core.placement import (
    FIRST_EJECTION_SECONDS,
    LONGEST_EJECTION_SECONDS,
    LONGEST_TRIAL_WAIT_SECONDS,
    MAX_EJECTED_FRACTION,
    EndpointRow,
    EndpointTable,
    RunResult,
    RunVerdict,
)

DONE, FAILED = RunResult.DONE, RunResult.FAILED


def endpoint(number, in_service=True, pool="p"):
    return EndpointRow(
        vm=f"vm-{number}",
        pool=pool,
        zone=f"zone-{number % 3}",
        rack=f"rack-{number // 4}",
        slots=8,
        in_service=in_service,
    )


def fleet(size=6, has_succeeded=True):
    table = EndpointTable()
    for number in range(size):
        table.put(endpoint(number))
        if has_succeeded:
            finish(table, f"vm-{number}", f"first-{number}", DONE)
    return table


def finish(table, vm, task, result, now=0.0):
    table.note_start(vm, task, now)
    return table.note_finish(vm, task, "q", result, 1.0, now)


def ejected(table, pool="p"):
    return [row.vm for row in table.members(pool) if row.ejected_until is not None]


def fill(table, now=0.0, **how):
    started = []
    while vm := table.pick("p", (), now, **how):
        table.note_start(vm, f"fill-{len(started)}", now)
        started.append(vm)
    return started


def test_work_spreads_over_zones_and_racks_and_fills_every_slot():
    started = fill(fleet())
    assert len(started) == 48
    assert {vm[-1] for vm in started[:3]} in ({"0", "4", "5"}, {"0", "4", "2"})
    assert all(started.count(f"vm-{i}") == 8 for i in range(6))


@pytest.mark.parametrize("units", [2.0, 4.0])
def test_large_runs_use_their_size_in_units(units):
    table = fleet(1)
    starts = 0
    while table.pick("p", (), 0.0, units=units):
        table.note_start("vm-0", f"t{starts}", 0.0, units)
        starts += 1
    assert starts == 8 / units


def test_endpoint_is_reserved_for_a_large_run_until_release():
    table = fleet(2)
    fill(table)
    vm = table.reserve("p", (), "large", 0.0)
    assert table.reserve("p", (), "other", 0.0) is None
    for number in range(4):
        table.note_finish(vm, f"fill-{number}", "q", DONE, 1.0, 0.0)
    assert table.pick("p", (), 0.0) is None
    assert table.pick("p", (), 0.0, units=4.0, task="large") == vm
    table.release("large")
    assert table.pick("p", (), 0.0) == vm


def test_endpoint_that_keeps_failing_is_still_probed():
    table, now = fleet(), 0.0
    for number in range(3000):
        finish(table, "vm-0", f"t{number}", FAILED, now)
        finish(table, "vm-1", f"t{number}", DONE, now)
        now += LONGEST_EJECTION_SECONDS
    assert table.row("vm-0").ejected_until <= now
    assert table.pick("p", (), now) == "vm-0"


def test_no_endpoint_is_ejected_while_most_of_the_pool_fails():
    table = fleet()
    for number in range(3):
        for vm in range(6):
            finish(table, f"vm-{vm}", f"t{vm}-{number}", FAILED)
    assert ejected(table) == []


def test_new_endpoint_is_in_slow_start_until_a_run_makes_progress():
    table = fleet(1, has_succeeded=False)
    assert len(fill(table)) == 1
    assert len(fill(table, 10.0)) == 3
    table.note_progress("vm-0")
    assert len(fill(table, 10.0)) == 4


def test_vm_that_returns_to_service_is_in_slow_start():
    table = fleet(1)
    table.put(endpoint(0, in_service=False))
    assert table.pick("p", (), 0.0) is None
    table.put(endpoint(0))
    assert len(fill(table)) == 1


def test_moved_vm_serves_only_its_new_pool():
    table = fleet(1)
    table.put(endpoint(0, pool="q"))
    assert table.pick("p", (), 0.0) is None
    assert table.pick("q", (), 0.0) == "vm-0"


def test_busy_refusals_lower_the_capacity_which_recovers_over_time():
    table = fleet(1)
    assert len(fill(table)) == 8
    table.note_finish("vm-0", "fill-7", "q", RunResult.BUSY, 0.0, 0.0)
    assert table.row("vm-0").capacity == 7
    assert table.pick("p", (), CAPACITY_RECOVERY_SECONDS / 2) is None
    assert table.pick("p", (), CAPACITY_RECOVERY_SECONDS) == "vm-0"


def test_endpoint_that_fails_tasks_which_succeed_elsewhere_is_ejected():
    table = fleet()
    for number in range(2):
        assert finish(table, "vm-0", f"t{number}", FAILED) is RunVerdict.RETRY
        assert finish(table, "vm-1", f"t{number}", DONE) is RunVerdict.DONE
    assert ejected(table) == ["vm-0"]
    assert "vm-0" not in fill(table)


@pytest.mark.parametrize("apart", [True, False])
def test_tasks_that_fail_everywhere_are_given_up_and_eject_no_endpoint(apart):
    table = fleet()
    tasks = [f"bad-{i}" for i in range(2 if apart else 5)]
    for task in tasks:
        for vm in ("vm-0", "vm-1"):
            assert finish(table, vm, task, FAILED) is RunVerdict.RETRY
        if not apart:
            assert finish(table, "vm-2", task, FAILED) is RunVerdict.GIVE_UP
    for task in tasks if apart else ():
        assert finish(table, "vm-2", task, FAILED) is RunVerdict.GIVE_UP
    assert ejected(table) == []
    assert not any(row.suspect for row in table.members("p"))


def test_runs_silent_together_count_once_and_a_trial_run_clears_them():
    table = fleet(2)
    started = [vm for vm in fill(table, 1.0) if vm == "vm-0"]
    for number in range(len(started)):
        table.note_silence("vm-0", f"fill-{number}", 1.0, 2.0)
    assert len(table.row("vm-0").open_failures) == 1
    assert ejected(table) == []
    table.note_finish("vm-0", "fill-0", "q", RunResult.STOPPED, 1.0, 2.0)
    assert table.pick("p", (), 2.0) == "vm-0"
    finish(table, "vm-0", "trial", DONE, 2.0)
    assert not table.row("vm-0").suspect


def test_failures_on_endpoints_without_success_do_not_give_a_task_up():
    table = fleet(has_succeeded=False)
    verdicts = {finish(table, f"vm-{i}", "t", FAILED) for i in range(6)}
    assert verdicts == {RunVerdict.RETRY}


def test_ejections_back_off_exponentially_until_a_run_succeeds():
    table, now, lengths = fleet(), 0.0, []
    for number in range(3):
        finish(table, "vm-0", f"t{number}", FAILED)
    for number in range(8):
        lengths.append(table.row("vm-0").ejected_until - now)
        now = table.row("vm-0").ejected_until
        assert table.pick("p", (), now - 0.1) != "vm-0"
        assert table.pick("p", (), now) == "vm-0"
        assert table.pick("p", (), now, may_probe=False) != "vm-0"
        finish(table, "vm-0", f"probe-{number}", FAILED, now)
    doubled = [FIRST_EJECTION_SECONDS * 2**i for i in range(8)]
    assert lengths == [min(length, LONGEST_EJECTION_SECONDS) for length in doubled]
    finish(table, "vm-0", "good", DONE, now)
    assert ejected(table) == []


@given(
    st.integers(1, 9),
    st.lists(
        st.tuples(
            st.integers(0, 8),
            st.integers(0, 12),
            st.sampled_from(RunResult),
            st.floats(0, 15),
        ),
        max_size=80,
    ),
)
def test_the_cap_on_ejections_holds_and_the_pool_keeps_serving(size, runs):
    table, now = fleet(size), 0.0
    for number, task, result, seconds in runs:
        now += seconds
        vm = f"vm-{number % size}"
        table.note_start(vm, f"t{task}", now)
        table.note_finish(vm, f"t{task}", "q", result, 0.1, now)
        assert len(ejected(table)) <= max(size * MAX_EJECTED_FRACTION, size > 1)
        later = now + LONGEST_TRIAL_WAIT_SECONDS
        assert table.pick("p", (), later) is not None
        assert all(1 <= row.capacity <= row.slots for row in table.members("p"))
