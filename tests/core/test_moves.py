"""Tests of moves: budgets hold, and steady demand moves no VM."""

from itertools import count
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hickoryplank.core.demand import DemandTracker, PoolDemand
from hickoryplank.core.ids import RecordId
from hickoryplank.core.maintenance import MaintenancePolicy
from hickoryplank.core.moves import MovePlanner, MovePolicy
from hickoryplank.core.objects import Kind
from hickoryplank.core.records import (
    VmMoved,
    VmReport,
    VmState,
    WaveChange,
    WaveState,
    ZoneEvacuated,
    ZoneRestored,
)
from hickoryplank.core.vms import budget_of, in_service
from tests.core.builders import new_id
from tests.core.fake_vms import FakeVms
from tests.core.test_maintenance import POOLS, fleet

SPARE = POOLS[-1]
SLOTS_PER_VM = 8


def planner(number: int = 0, **settings) -> MovePlanner:
    ids = count()
    policy = MovePolicy(**settings)
    return MovePlanner(policy, lambda: RecordId(f"m{number}-{next(ids)}"))


def asked(vms: dict[str, float]) -> dict[str, PoolDemand]:
    """Return the demand that requires the given number of VMs in each pool."""
    return {
        pool: PoolDemand(
            pool=pool, slots=n * SLOTS_PER_VM * 0.9, peak=n * SLOTS_PER_VM * 0.9
        )
        for pool, n in vms.items()
    }


def run(fake: FakeVms, planner: MovePlanner, demand, seconds: int) -> int:
    moved = 0
    for _ in range(seconds):
        for record in planner.tick(fake.tables, demand, fake.now):
            moved += fake.append(record).is_ok() and isinstance(record, VmMoved)
        fake.step()
    return moved


def check_pools(fake: FakeVms) -> None:
    ends = fake.tables.objects[Kind.ENDPOINT]
    assert sum(len(fake.tables.members(pool)) for pool in POOLS) == len(ends)
    assert all(ends[row.vm].obj.pool == row.pool for row in fake.tables.vms.values())
    for pool in POOLS:
        failed = sum(not row.healthy for row in fake.tables.members(pool))
        assert in_service(fake.tables, pool) + failed >= budget_of(fake.tables, pool)


@given(
    seed=st.integers(0, 2**32),
    buffer=st.integers(0, 3),
    hysteresis=st.sampled_from([0.0, 10.0]),
    lags=st.lists(st.sampled_from([0.0, 1.9]), min_size=1, max_size=2),
    phases=st.lists(st.tuples(*[st.integers(0, 9)] * 3), min_size=1, max_size=5),
    fails=st.sets(st.integers(0, 11), max_size=2),
)
@settings(max_examples=40)
def test_vms_stay_in_one_pool_and_budgets_hold_through_moves_waves_and_races(
    seed, buffer, hysteresis, lags, phases, fails
):
    fake = FakeVms(
        fleet(budget=1), Random(seed), MaintenancePolicy(), tuple(lags), (5.0, 20.0)
    )
    settings = {"buffer_vms": buffer, "hysteresis": hysteresis}
    planners = [planner(i, **settings) for i in range(len(lags))]
    start = WaveChange(
        id=new_id(), wave="w", operator="olga", state=WaveState.RUNNING, pools=POOLS
    )
    fake.append(start).unwrap()
    for i, phase in enumerate(phases):
        demand = asked(dict(zip(POOLS, phase, strict=True)))
        for vm in fails:
            fake.append(VmReport(id=new_id(), vm=f"vm-{vm}", healthy=i % 2 == 1))
        for _ in range(15):
            for node, mover in zip(fake.nodes, planners, strict=True):
                for record in mover.tick(node.tables, demand, fake.now):
                    fake.append(record)
                check_pools(fake)
            fake.step()
    assert fake.cut_off == 0
    assert fake.over_budget == 0


def test_pool_grows_from_the_buffer_at_once():
    fake = FakeVms(fleet(budget=1), Random(1), MaintenancePolicy())
    mover = planner(buffer_vms=2, hysteresis=0.0)
    run(fake, mover, asked({"farmdesk": 3, "ruteplan": 3, SPARE: 1}), 30)
    drained = [
        row for row in fake.tables.members(SPARE) if row.state is VmState.DRAINED
    ]
    assert len(drained) == 2
    run(fake, mover, asked({"farmdesk": 6, "ruteplan": 3, SPARE: 1}), 1)
    assert in_service(fake.tables, "farmdesk") == 6


def test_steady_demand_moves_nothing():
    fake = FakeVms(fleet(budget=1), Random(1), MaintenancePolicy())
    mover = planner(buffer_vms=1, hysteresis=0.0)
    demand = asked({"farmdesk": 5, "ruteplan": 2, SPARE: 2})
    run(fake, mover, demand, 60)
    before = {vm: row.revision for vm, row in fake.tables.vms.items()}
    run(fake, mover, demand, 200)
    assert before == {vm: row.revision for vm, row in fake.tables.vms.items()}


def test_demand_beyond_the_fleet_leaves_every_pool_its_budget():
    fake = FakeVms(fleet(budget=1), Random(1), MaintenancePolicy())
    mover = planner(buffer_vms=0, hysteresis=0.0)
    run(fake, mover, asked(dict.fromkeys(POOLS, 50)), 100)
    check_pools(fake)
    run(fake, mover, asked({"farmdesk": 50, "ruteplan": 0, SPARE: 0}), 100)
    check_pools(fake)
    assert in_service(fake.tables, "farmdesk") == 8


@given(
    samples=st.lists(st.tuples(st.floats(0, 5), st.floats(0, 100)), min_size=1),
    window=st.floats(0, 20),
)
def test_peak_is_the_most_within_the_window(samples, window):
    tracker, now, seen = DemandTracker("p", window), 0.0, []
    for passed, slots in samples:
        now += passed
        seen.append((now, slots))
        demand = tracker.observe(slots, now)
        assert demand.peak == max(s for at, s in seen if at >= now - window)
        assert 0 <= demand.mean <= max(s for _, s in seen) + 1e-9


@pytest.mark.parametrize(
    ("zones", "usable"),
    [((), 10), (("bergen-a",), 6), (("bergen-c",), 6), (("bergen-a", "bergen-c"), 2)],
)
def test_pool_grows_only_by_vms_outside_evacuated_zones(zones, usable):
    """All VMs in the other zones join, but one that each other pool keeps."""
    fake = FakeVms(fleet(budget=0), Random(1), MaintenancePolicy())
    mover = planner(buffer_vms=2, hysteresis=0.0)
    run(fake, mover, asked({"farmdesk": 3, "ruteplan": 3, SPARE: 1}), 30)
    for zone in zones:
        fake.append(ZoneEvacuated(id=new_id(), zone=zone)).unwrap()
    before = {row.vm: row.pool for row in fake.tables.vms.values()}
    refused = fake.refused
    run(fake, mover, asked({"farmdesk": 12, "ruteplan": 0, SPARE: 0}), 400)
    moved = {vm for vm, pool in before.items() if fake.tables.vms[vm].pool != pool}
    assert not any(fake.tables.is_evacuated(vm) for vm in moved)
    assert in_service(fake.tables, "farmdesk") == usable
    assert fake.refused == refused
    for zone in zones:
        fake.append(ZoneRestored(id=new_id(), zone=zone)).unwrap()
    run(fake, mover, asked({"farmdesk": 12, "ruteplan": 0, SPARE: 0}), 400)
    assert in_service(fake.tables, "farmdesk") == 10
