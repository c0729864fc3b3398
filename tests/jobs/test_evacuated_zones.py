"""Tests of evacuated zones: starts, lasting tasks, VMs, and the time after."""

import msgspec
import pytest

from hickoryplank.core.ids import EndpointId, JobId, PoolId, VmId, WaveId, Zone
from hickoryplank.jobs.configuration import AdviceTiming
from hickoryplank.jobs.evacuated_zones import (
    WARM_UP_RUNS_PER_ENDPOINT,
    WARM_UP_SECONDS,
)
from hickoryplank.jobs.evacuation import ZoneLoad, evacuated_load
from hickoryplank.jobs.maintenance import begin_maintenance
from hickoryplank.jobs.messages import AdviceAnswer, Permit
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.rebalancing import (
    IDLE_SECONDS,
    MIN_POOL_VMS,
    DemandHistory,
    rebalance_pools,
)
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.table import JobState
from hickoryplank.jobs.vms import OperationPhase, VmListing, VmOperation, VmTable
from tests.jobs.driver import CAPACITY, POOL, TASK, Driver, configuration, job
from tests.jobs.test_fleet import (
    MAX_MOVES,
    STANDBY,
    active_wave,
    configuration_with_standby,
)

NORTH, SOUTH = Zone("north"), Zone("south")
E0, E1, E2, E3 = (EndpointId(f"e{number}") for number in range(4))


def driver_in_zones(count: int = 2, **options) -> Driver:
    """Return a driver whose endpoints are in the north and in the south by turns."""
    driver = Driver(count, **options)
    ids = enumerate(driver.endpoints)
    driver.assign_zones({id: SOUTH if number % 2 else NORTH for number, id in ids})
    driver.step()
    return driver


def started(driver: Driver) -> list[int]:
    return [len(one.started) for one in driver.endpoints.values()]


def run_steps(driver: Driver, count: int) -> None:
    for _ in range(count):
        driver.step()


@pytest.mark.parametrize(
    "step",
    [
        Step(6, TASK),
        Step(4, TASK, gang=True),
        Step(2, TASK, lasting=True, may_miss=1),
        Step(3, TASK, fills=True),
    ],
    ids=["plain", "gang", "lasting", "filling"],
)
def test_work_starts_in_other_zones_only(step):
    driver = driver_in_zones(work_ms=lambda key: None if step.lasting else 500.0)
    driver.evacuate_zones(NORTH)
    driver.engine.submit(job("a", step), driver.now)
    run_steps(driver, 20)
    assert started(driver) == [0, step.count]


def test_unknown_zone_changes_nothing():
    driver = driver_in_zones()
    driver.evacuate_zones(Zone("elsewhere"))
    driver.engine.submit(job("a", Step(8, TASK)), driver.now)
    run_steps(driver, 5)
    assert started(driver) == [4, 4]
    assert evacuated_load(driver.engine) == ZoneLoad(0, 0, 0)


def test_runs_go_on_and_are_counted():
    driver = driver_in_zones()
    driver.engine.submit(job("a", Step(8, TASK)), driver.now)
    run_steps(driver, 2)
    driver.evacuate_zones(NORTH)
    assert evacuated_load(driver.engine) == ZoneLoad(1, 4, 0)
    run_steps(driver, 10)
    assert driver.engine.jobs[JobId("a")].stored_state is JobState.COMPLETED
    assert started(driver) == [4, 4]
    assert evacuated_load(driver.engine) == ZoneLoad(1, 0, 0)


def relist_later(driver: Driver) -> None:
    driver.unlisted = {E0}
    driver.take_over()
    driver.step()
    driver.relist()


def restart(driver: Driver) -> None:
    driver.restart_endpoint(E0)


def restart_unlisted(driver: Driver) -> None:
    """Begin an incarnation that is noticed by its first report only."""
    driver.endpoints[E0] = driver.build_endpoint(E0, 2)


def move_into_zone(driver: Driver) -> None:
    driver.assign_zones({E0: SOUTH, E1: SOUTH})
    driver.assign_zones({E0: NORTH, E1: SOUTH})


def take_over(driver: Driver) -> None:
    driver.take_over()


@pytest.mark.parametrize(
    "change", [relist_later, restart, restart_unlisted, move_into_zone, take_over]
)
def test_endpoints_that_come_later_get_nothing_either(change):
    driver = driver_in_zones()
    driver.evacuate_zones(NORTH)
    change(driver)
    driver.engine.submit(job("a", Step(6, TASK)), driver.now)
    run_steps(driver, 25)
    assert started(driver) == [0, 6]


def test_assigned_start_is_given_up_before_it_is_sent():
    driver = driver_in_zones()
    driver.engine.submit(job("a", Step(8, TASK)), driver.now)
    driver.engine.tick(driver.now, driver.wall_ms)
    driver.evacuate_zones(NORTH)
    driver.commit()
    assert started(driver) == [0, 4]
    run_steps(driver, 15)
    assert started(driver) == [0, 8]


@pytest.mark.parametrize("dark_steps", [1, 25])
def test_start_without_an_answer_is_not_sent_again(dark_steps):
    driver = driver_in_zones()
    driver.engine.endpoints[E1].cordoned = True
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.engine.tick(driver.now, driver.wall_ms)
    driver.unreachable.add(E0)
    driver.commit()
    driver.engine.endpoints[E1].cordoned = False
    driver.evacuate_zones(NORTH)
    run_steps(driver, dark_steps)
    driver.unreachable.clear()
    run_steps(driver, 40)
    assert started(driver) == [0, 1]
    assert driver.engine.jobs[JobId("a")].stored_state is JobState.COMPLETED


def test_stored_preassignment_is_not_used():
    driver = driver_in_zones()
    chain = (Step(4, TASK), Step(4, TASK, after=(0,)))
    driver.engine.submit(job("a", *chain), driver.now)
    run_steps(driver, 2)
    before = started(driver)[0]
    driver.evacuate_zones(NORTH)
    for _ in range(10):
        driver.step(store_up=False)
    assert started(driver)[0] == before
    run_steps(driver, 15)
    assert started(driver)[0] == before
    assert driver.engine.jobs[JobId("a")].stored_state is JobState.COMPLETED


def test_no_advice_is_requested_for_endpoints_there_and_no_ticket_used():
    driver = driver_in_zones(cfg=configuration(advice=AdviceTiming(10, 1, 3000)))
    engine = driver.engine
    engine.submit(job("a", Step(2, TASK)), driver.now)
    engine.tick(driver.now, driver.wall_ms)
    request = engine.advice.pop_request()
    assert request is not None
    assert set(request.endpoints) == {E0, E1}
    driver.evacuate_zones(NORTH)
    engine.advice.add_answer(
        request, AdviceAnswer((Permit(E0, "ticket"),), 3000), driver.now
    )
    run_steps(driver, 3)
    assert started(driver) == [0, 0]
    engine.submit(job("b", Step(1, TASK)), driver.now)
    engine.tick(driver.now, driver.wall_ms)
    request = engine.advice.pop_request()
    assert request is not None
    assert request.endpoints == (E1,)


@pytest.mark.parametrize("may_miss", [0, 1, 2])
def test_lasting_tasks_leave_within_their_budget(may_miss):
    driver = driver_in_zones(4, work_ms=lambda key: None)
    step = Step(4, TASK, lasting=True, may_miss=may_miss, max_per_endpoint=1)
    row = driver.engine.submit(job("a", step), driver.now)
    run_steps(driver, 6)
    row_step = row.steps[0][0]
    assert [len(one.running) for one in driver.endpoints.values()] == [1, 1, 1, 1]
    driver.evacuate_zones(NORTH)
    run_steps(driver, 3)
    assert row_step.unavailable_count() == 0, "no endpoint has room for them"
    assert driver.engine.pools_lacking_room == {POOL}
    driver.assign_zones({E0: NORTH, E1: SOUTH, E2: NORTH, E3: SOUTH})
    for number in (4, 5, 6):
        id = EndpointId(f"e{number}")
        driver.endpoints[id] = driver.build_endpoint(id, 1)
        driver.zones[id] = SOUTH
    driver.relist()
    most = 0
    for _ in range(60):
        driver.step()
        most = max(most, row_step.unavailable_count())
    assert 0 < most <= max(1, may_miss)
    assert [len(one.running) for one in driver.endpoints.values()][0:3:2] == [0, 0]
    assert row_step.unavailable_count() == 0


def test_lasting_tasks_of_several_steps_do_not_count_on_the_same_room():
    driver = driver_in_zones(2, work_ms=lambda key: None)
    driver.engine.endpoints[E1].cordoned = True
    large = Size(3000, 1000, 0)
    rows = [
        driver.engine.submit(
            job(id, Step(1, size, lasting=True, may_miss=1)), driver.now
        )
        for id, size in (("a", large), ("b", Size(1000, 1000, 0)))
    ]
    run_steps(driver, 6)
    assert started(driver) == [2, 0]
    driver.engine.endpoints[E1].cordoned = False
    driver.engine.submit(job("c", Step(1, Size(1000), lasting=True)), driver.now)
    run_steps(driver, 4)
    driver.evacuate_zones(NORTH)
    waiting = 0
    for _ in range(40):
        driver.step()
        waiting = max(waiting, sum(row.steps[0][0].unavailable_count() for row in rows))
    assert waiting == 1


def test_nothing_is_stopped_on_a_silent_endpoint():
    driver = driver_in_zones(2, work_ms=lambda key: None)
    driver.engine.endpoints[E1].cordoned = True
    driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    run_steps(driver, 6)
    driver.engine.endpoints[E1].cordoned = False
    driver.unreachable = {E0}
    driver.step()
    driver.evacuate_zones(NORTH)
    run_steps(driver, 3)
    assert not driver.engine.stop_repeat_at


def test_idle_endpoints_get_work_gently_after_their_zone_was_taken_back():
    driver = driver_in_zones(work_ms=lambda key: 10_000.0)
    driver.evacuate_zones(NORTH)
    driver.step()
    driver.evacuate_zones()
    driver.engine.submit(job("a", Step(8, TASK)), driver.now)
    driver.step()
    assert started(driver) == [WARM_UP_RUNS_PER_ENDPOINT, 4]
    run_steps(driver, int(WARM_UP_SECONDS * 10) + 2)
    assert started(driver) == [4, 4]


def test_endpoint_with_runs_is_not_limited_after_its_zone_was_taken_back():
    driver = driver_in_zones(work_ms=lambda key: 10_000.0)
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    run_steps(driver, 2)
    (busy,) = [id for id, one in driver.endpoints.items() if one.started]
    driver.evacuate_zones(driver.zones[busy])
    driver.step()
    driver.evacuate_zones()
    driver.engine.submit(job("b", Step(7, TASK)), driver.now)
    driver.step()
    assert started(driver) == [4, 4]


# VMs


def zoned_table(driver: Driver, standby: dict[str, Zone]) -> VmTable:
    """Return the VMs of all endpoints, and standby VMs with their zones."""
    used = [
        VmListing(VmId(f"m-{id}"), POOL, True, id, CAPACITY, zone=driver.zones[id])
        for id in driver.endpoints
    ]
    off = [
        VmListing(VmId(id), STANDBY, True, None, CAPACITY, zone=zone)
        for id, zone in standby.items()
    ]
    table = VmTable()
    table.update((*used, *off), driver.now)
    return table


def rebalance(driver: Driver, table: VmTable, demand: DemandHistory) -> dict[VmId, str]:
    """Return the pool to which each VM is to move."""
    rebalance_pools(driver.engine, table, demand, driver.now, STANDBY, MAX_MOVES)
    return {one.vm: one.pool for one in table.operations() if one.pool is not None}


def test_pool_draws_vms_of_other_zones_in_place_of_its_own():
    driver = driver_in_zones(2 * MIN_POOL_VMS, cfg=configuration_with_standby())
    standby = {"s-0": NORTH, "s-1": SOUTH, "s-2": SOUTH, "s-3": NORTH}
    table, demand = zoned_table(driver, standby), DemandHistory()
    assert rebalance(driver, table, demand) == {}
    driver.evacuate_zones(NORTH)
    assert rebalance(driver, table, demand) == {}, "half of the pool suffices"
    driver.evacuate_zones(SOUTH)
    for row in table.rows.values():
        if row.listing.id == "m-e0":
            row.listing = msgspec.structs.replace(row.listing, zone=SOUTH)
    assert rebalance(driver, table, demand) == {"s-3": POOL}
    assert rebalance(driver, table, demand) == {"s-3": POOL}


def test_idle_vms_of_an_evacuated_zone_go_to_standby_and_busy_ones_stay():
    driver = driver_in_zones(
        2 * MIN_POOL_VMS, work_ms=lambda key: 60_000.0, cfg=configuration_with_standby()
    )
    table, demand = zoned_table(driver, {}), DemandHistory()
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    run_steps(driver, int(IDLE_SECONDS * 10) + 2)
    (busy,) = [id for id, one in driver.endpoints.items() if one.running]
    zone = driver.zones[busy]
    driver.evacuate_zones(zone)
    idle = {f"m-{id}" for id, one in driver.zones.items() if one == zone and id != busy}
    assert rebalance(driver, table, demand) == dict.fromkeys(idle, STANDBY)


def test_pool_that_had_no_work_yet_keeps_its_vms():
    driver = driver_in_zones(2 * MIN_POOL_VMS, cfg=configuration_with_standby())
    table, demand = zoned_table(driver, {}), DemandHistory()
    driver.evacuate_zones(NORTH)
    run_steps(driver, 30)
    assert rebalance(driver, table, demand) == {}


@pytest.mark.parametrize(
    ("phase", "left"),
    [
        (OperationPhase.EVACUATING, {}),
        (OperationPhase.ORDERED, {"s-0": PoolId(POOL)}),
        (OperationPhase.AWAITING_RETURN, {"s-0": PoolId(POOL)}),
    ],
)
def test_moves_into_a_pool_are_cancelled_unless_they_are_ordered(phase, left):
    driver = driver_in_zones(2 * MIN_POOL_VMS, cfg=configuration_with_standby())
    table, demand = zoned_table(driver, {"s-0": NORTH}), DemandHistory()
    table.rows[VmId("s-0")].operation = VmOperation(
        VmId("s-0"), POOL, None, phase, driver.now
    )
    driver.evacuate_zones(NORTH)
    assert rebalance(driver, table, demand) == left


def test_maintenance_goes_on_in_an_evacuated_zone():
    driver = driver_in_zones(2 * MIN_POOL_VMS, cfg=configuration_with_standby())
    table, wave = zoned_table(driver, {}), active_wave(driver, 2)
    driver.evacuate_zones(NORTH, SOUTH)
    assert len(begin_maintenance(wave, table, driver.engine, driver.now, 2.0)) > 0
    assert all(one.wave == WaveId("1") for one in table.operations())
