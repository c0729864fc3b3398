"""Tests of entitlements, fleet counts, run sizes and preemption."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.core.fleet_counts import FleetCounts
from hickoryplank.core.objects import WorkClass
from hickoryplank.core.preemption import (
    CHECKPOINT_TIMEOUT_SECONDS,
    Checkpoint,
    PreemptionPlanner,
    RunningTask,
    Stop,
    Throttle,
    WaitingWork,
)
from hickoryplank.core.shares import ShareMeter, TeamDemand, entitlements
from hickoryplank.core.sizes import SizeTable, Usage, units_of

URGENT, BATCH = WorkClass.URGENT, WorkClass.BATCH
UNITS = st.floats(0, 300)
ROWS = st.lists(st.tuples(st.floats(0, 100), UNITS, UNITS), min_size=1, max_size=8).map(
    lambda rows: [
        TeamDemand(team=f"t{i}", weight=weight, limit=limit, demand=wants)
        for i, (weight, limit, wants) in enumerate(rows)
    ]
)


@given(ROWS, UNITS)
def test_entitlements_are_weighted_max_min(rows, capacity):
    due = entitlements(rows, capacity)
    assert all(due[row.team] <= row.cap + 1e-6 for row in rows)
    wanted = min(sum(row.cap for row in rows), capacity)
    assert sum(due.values()) == pytest.approx(wanted, abs=1e-6)
    level = {row.team: due[row.team] / max(row.weight, 0.01) for row in rows}
    for row in rows:
        if due[row.team] < row.cap - 1e-6:
            assert level[row.team] >= max(level.values()) * (1 - 1e-6) - 1e-6


def test_meter_averages_over_its_window():
    meter = ShareMeter(window=10.0)
    for second in range(31):
        running = 8.0 if second <= 20 else 6.0
        meter.observe(float(second), {"a": running}, {"a": 5.0, "b": 1.0})
    assert meter.distance("a") == pytest.approx(1.0)
    assert meter.distance("b") == pytest.approx(-1.0)
    assert meter.max_distance() == pytest.approx(1.0)


@given(st.integers(1, 6), st.lists(st.integers(-3, 3), max_size=8))
def test_owners_that_change_alike_agree_between_exchanges(size, changes):
    owners = [FleetCounts() for _ in range(size)]
    for owner in owners:
        owner.change("a", 30.0)
        owner.exchange({"a": 30.0 * size}, {"a": 1 / size})
    for change in changes:
        for owner in owners:
            owner.change("a", change)
        total = sum(owner.own["a"] for owner in owners)
        assert all(o.running["a"] == pytest.approx(total) for o in owners)


def test_size_is_the_largest_part_of_a_slot_and_is_learned():
    slot = Usage(cores=2.0, memory=4000.0)
    assert units_of(Usage(cores=1.0), slot) == 1.0
    assert units_of(Usage(cores=2.0, memory=16000.0), slot) == 4.0
    sizes = SizeTable()
    assert sizes.of("q", "a", declared=1.0) == 1.0
    for _ in range(3):
        sizes.observe("q", "a", 4.0)
    assert sizes.of("q", "a", declared=1.0) == 4.0


def run(
    name, team, work_class=BATCH, started=0.0, can_checkpoint=False, idempotent=True
):
    return RunningTask(
        task=name,
        team=team,
        vm="vm-0",
        work_class=work_class,
        started=started,
        can_checkpoint=can_checkpoint,
        idempotent=idempotent,
    )


def decide(preemption, demands, tasks, due, now=1.0):
    running = {}
    for task in tasks:
        running[task.team] = running.get(task.team, 0.0) + task.units
    return preemption.decide(demands, tasks, 0.0, running, due, now)


def urgent(team, units=1.0, oldest=0.0, work_class=URGENT):
    return WaitingWork(team=team, work_class=work_class, units=units, oldest=oldest)


BORROWER_RUNS = [run(f"l{i}", "borrower", started=float(i)) for i in range(4)]
ENTITLED_UNITS = {"borrower": 2.0, "owner": 2.0}


@pytest.mark.parametrize(
    ("demand", "due", "stopped"),
    [
        (urgent("owner", 3), ENTITLED_UNITS, ["l3", "l2"]),
        (urgent("owner", 1), ENTITLED_UNITS, ["l3"]),
        (urgent("owner", 2, work_class=BATCH), ENTITLED_UNITS, ["l3", "l2"]),
        (urgent("owner", 2, oldest=0.9), ENTITLED_UNITS, []),
        (urgent("owner", 2), {"borrower": 4.0, "owner": 0.0}, []),
        (urgent("borrower", 2), {"borrower": 4.0}, ["l3", "l2"]),
        (urgent("borrower", 2, work_class=BATCH), {"borrower": 4.0}, []),
    ],
)
def test_only_borrowed_units_and_own_batch_are_preempted(demand, due, stopped):
    decisions = decide(PreemptionPlanner(), [demand], BORROWER_RUNS, due)
    assert decisions == [Stop(task, "vm-0") for task in stopped]


@pytest.mark.parametrize(("batch", "stopped"), [(7, 7), (8, 7), (12, 11)])
def test_own_urgent_work_leaves_one_batch_run_to_a_team_with_many_runs(batch, stopped):
    tasks = [run(f"t{i}", "a") for i in range(batch)]
    decisions = decide(PreemptionPlanner(), [urgent("a", 20)], tasks, {"a": 20.0})
    assert len(decisions) == stopped


@pytest.mark.parametrize(
    ("task", "decision"),
    [
        (run("t", "borrower", can_checkpoint=True, idempotent=False), Checkpoint),
        (run("t", "borrower", can_checkpoint=True), Checkpoint),
        (run("t", "borrower", URGENT), Stop),
        (run("t", "borrower", idempotent=False), Throttle),
    ],
)
def test_non_idempotent_task_is_never_stopped(task, decision):
    due = {"borrower": 0.0, "owner": 1.0}
    decisions = decide(PreemptionPlanner(), [urgent("owner")], [task], due)
    assert decisions == [decision("t", "vm-0")]


@pytest.mark.parametrize(("idempotent", "stops"), [(True, 1), (False, 0)])
def test_timed_out_checkpoint_becomes_one_stop(idempotent, stops):
    preemption = PreemptionPlanner()
    task = run("t", "borrower", can_checkpoint=True, idempotent=idempotent)
    due = {"borrower": 0.0, "owner": 1.0}
    assert len(decide(preemption, [urgent("owner")], [task], due, 1.0)) == 1
    later = 1.0 + CHECKPOINT_TIMEOUT_SECONDS
    assert decide(preemption, [urgent("owner")], [task], due, 1.1) == []
    assert len(decide(preemption, [urgent("owner")], [task], due, later)) == stops
    assert decide(preemption, [urgent("owner")], [task], due, later + 1) == []


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.sampled_from(WorkClass)), max_size=30
    ),
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 9)), max_size=3),
    st.tuples(*[st.integers(0, 12)] * 3),
)
def test_nobody_is_pushed_below_their_entitlement_for_another(runs, demands, due):
    due = dict(zip("abc", map(float, due), strict=True))
    tasks = [run(f"t{i}", *spec) for i, spec in enumerate(runs)]
    wanted = [urgent(team, units) for team, units in demands]
    stopped = {d.task for d in decide(PreemptionPlanner(), wanted, tasks, due)}
    asked = {team for team, _ in demands}
    for team in set("abc") - asked:
        before = sum(task.team == team for task in tasks)
        after = sum(task.team == team and task.task not in stopped for task in tasks)
        assert after == before or after >= due[team]
    assert len(stopped) <= sum(units for _, units in demands)
