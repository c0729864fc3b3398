"""Tests of evacuation, maintenance and moves of VMs."""

import msgspec
import pytest

from hickoryplank.core.ids import EndpointId, JobId, PoolId, VmId, WaveId
from hickoryplank.jobs.configuration import Configuration, Pool
from hickoryplank.jobs.evacuation import evacuate, is_empty
from hickoryplank.jobs.maintenance import (
    MAX_UNAVAILABLE_FRACTION,
    ActiveWave,
    begin_maintenance,
    is_wave_done,
)
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.rebalancing import (
    IDLE_SECONDS,
    MIN_POOL_VMS,
    DemandHistory,
    rebalance_pools,
)
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.vms import (
    MaintenanceDue,
    OperationPhase,
    VmListing,
    VmOperation,
    VmTable,
)
from tests.jobs.driver import CAPACITY, POOL, TASK, Driver, configuration, job

STANDBY = PoolId("standby")
MAX_MOVES = 8


def configuration_with_standby(weight: float = 1.0) -> Configuration:
    cfg = configuration()
    pools = [*cfg.pools.values(), Pool(STANDBY, standby=True)]
    teams = [
        msgspec.structs.replace(team, weight=weight) for team in cfg.teams.values()
    ]
    return Configuration.build(1, list(cfg.queues.values()), pools, teams)


def vm_listings(driver: Driver, spare: int = 4) -> tuple[VmListing, ...]:
    used = [
        VmListing(VmId(f"m-{id}"), POOL, True, id, CAPACITY) for id in driver.endpoints
    ]
    off = [
        VmListing(VmId(f"s-{number}"), STANDBY, True, None, CAPACITY)
        for number in range(spare)
    ]
    return (*used, *off)


def vm_table(driver: Driver, spare: int = 4) -> VmTable:
    table = VmTable()
    table.update(vm_listings(driver, spare), driver.now)
    return table


@pytest.mark.parametrize("may_miss", [1, 2])
def test_evacuation_of_lasting_tasks_respects_the_disruption_budget(may_miss):
    driver = Driver(count=3, work_ms=lambda key: None)
    step = Step(4, TASK, lasting=True, may_miss=may_miss)
    row = driver.engine.submit(job("a", step), driver.now)
    for _ in range(5):
        driver.step()
    (busy,) = [one for one in driver.engine.endpoints.values() if one.runs]
    busy.cordoned = True
    most_unavailable = 0
    for _ in range(80):
        evacuate(driver.engine, busy, driver.now)
        driver.step()
        most_unavailable = max(most_unavailable, row.steps[0][0].unavailable_count())
    assert is_empty(busy)
    assert 0 < most_unavailable <= may_miss
    assert sum(len(one.running) for one in driver.endpoints.values()) == 4


def test_evacuation_stops_no_task_without_room_elsewhere():
    driver = Driver(count=2, work_ms=lambda key: None)
    step = Step(2, TASK, lasting=True, max_per_endpoint=1, may_miss=1)
    driver.engine.submit(job("a", step), driver.now)
    for _ in range(6):
        driver.step()
    busy = driver.engine.endpoints[EndpointId("e0")]
    busy.cordoned = True
    evacuate(driver.engine, busy, driver.now)
    assert driver.engine.pools_lacking_room == {POOL}
    assert all(len(one.running) == 1 for one in driver.endpoints.values())


def test_a_pool_lacking_room_gets_a_single_vm_at_a_time():
    driver = Driver(count=MIN_POOL_VMS, cfg=configuration_with_standby())
    for _ in range(3):
        driver.step()
    table, demand = vm_table(driver), DemandHistory()
    for _ in range(5):
        driver.engine.pools_lacking_room.add(POOL)
        rebalance_pools(driver.engine, table, demand, driver.now, STANDBY, MAX_MOVES)
    arriving = [one for one in table.operations() if one.pool == POOL]
    assert len(arriving) == 1


def test_a_pool_that_lacks_room_gets_vms_from_standby():
    driver = Driver(
        count=MIN_POOL_VMS, work_ms=lambda key: 5000.0, cfg=configuration_with_standby()
    )
    driver.engine.submit(job("a", Step(20, TASK)), driver.now)
    for _ in range(3):
        driver.step()
    table = vm_table(driver)
    rebalance_pools(
        driver.engine, table, DemandHistory(), driver.now, STANDBY, MAX_MOVES
    )
    arriving = [one for one in table.operations() if one.pool == POOL]
    assert len(arriving) == 3
    assert {one.vm for one in arriving} <= {VmId(f"s-{number}") for number in range(4)}


def test_an_idle_pool_releases_vms_after_a_delay_and_keeps_a_minimum():
    driver = Driver(count=MIN_POOL_VMS + 2, cfg=configuration_with_standby())
    driver.engine.submit(job("a", Step(20, TASK)), driver.now)
    for _ in range(3):
        driver.step()
    table, demand = vm_table(driver, spare=0), DemandHistory()
    rebalance_pools(driver.engine, table, demand, driver.now, STANDBY, MAX_MOVES)
    while any(one.runs for one in driver.engine.endpoints.values()):
        driver.step()
    leaving: list = []
    waited = 0.0
    while not leaving:
        driver.step()
        waited += 0.1
        rebalance_pools(driver.engine, table, demand, driver.now, STANDBY, MAX_MOVES)
        leaving = [one for one in table.operations() if one.pool == STANDBY]
    assert waited >= IDLE_SECONDS / 2
    assert len(leaving) == 2


def test_a_pool_that_had_no_work_yet_keeps_its_vms():
    driver = Driver(count=MIN_POOL_VMS + 2, cfg=configuration_with_standby())
    table, demand = vm_table(driver), DemandHistory()
    for _ in range(40):
        driver.step()
        rebalance_pools(driver.engine, table, demand, driver.now, STANDBY, MAX_MOVES)
    assert table.operations() == []


def test_a_pool_keeps_its_vms_as_its_first_work_comes():
    driver = Driver(count=MIN_POOL_VMS + 4, cfg=configuration_with_standby())
    table, demand = vm_table(driver, spare=0), DemandHistory()
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    begun = driver.now
    while driver.now - begun < IDLE_SECONDS - 0.2:
        driver.step()
        rebalance_pools(driver.engine, table, demand, driver.now, STANDBY, MAX_MOVES)
        assert table.operations() == []


def test_arriving_work_draws_vms_before_it_has_to_wait():
    driver = Driver(
        count=MIN_POOL_VMS,
        work_ms=lambda key: 2000.0,
        cfg=configuration_with_standby(100),
    )
    table, demand = vm_table(driver, spare=8), DemandHistory()
    for number in range(6):
        step = Step(2, TASK, estimate_ms=2000)
        driver.engine.submit(job(f"a{number}", step), driver.now)
        driver.step()
    assert not any(row.ready_steps(0) for row in driver.engine.open_jobs.values())
    rebalance_pools(driver.engine, table, demand, driver.now, STANDBY, MAX_MOVES)
    # About 15 jobs per second, each of 4 core-seconds, on VMs with 4 cores.
    assert len([one for one in table.operations() if one.pool == POOL]) >= 4


def active_wave(
    driver: Driver, max_concurrent: int, within_s: float = 10.0
) -> ActiveWave:
    vms = tuple(VmId(f"m-{id}") for id in driver.endpoints)
    return ActiveWave(WaveId("1"), vms, driver.now + within_s, max_concurrent, set())


@pytest.mark.parametrize("max_concurrent", [1, 2])
def test_a_wave_never_exceeds_its_concurrency_limit(max_concurrent):
    driver = Driver(count=9)
    driver.step()
    table, row = vm_table(driver), active_wave(driver, max_concurrent)
    for _ in range(5):
        begin_maintenance(row, table, driver.engine, driver.now, 2.0)
        assert len(table.operations()) <= max_concurrent


def test_vms_that_a_former_coordinator_took_down_count_against_the_wave():
    driver = Driver(count=12)
    driver.step()
    table, row = vm_table(driver), active_wave(driver, max_concurrent=3)
    down = [
        msgspec.structs.replace(listing, up=False, in_maintenance=listing.id == "m-e0")
        if listing.id in ("m-e0", "m-e1")
        else listing
        for listing in vm_listings(driver)
    ]
    table.update(tuple(down), driver.now)
    ordered = frozenset([VmId("m-e2")])
    begun = begin_maintenance(row, table, driver.engine, driver.now, 2.0, ordered)
    assert len(begun) == 1
    assert begun[0].vm not in ("m-e0", "m-e1", "m-e2")


@pytest.mark.parametrize("direction", ["joining", "leaving"])
def test_a_wave_goes_on_while_vms_move_into_or_out_of_its_pool(direction):
    driver = Driver(count=12)
    driver.step()
    table, row = vm_table(driver), active_wave(driver, max_concurrent=12)
    # The wave is for half of the VMs; the others are moving.
    row.vms = row.vms[:6]
    moving = [VmId(f"m-{id}") for id in list(driver.endpoints)[6:]]
    if direction == "joining":
        listings = [
            msgspec.structs.replace(one, up=False) if one.id in moving else one
            for one in vm_listings(driver)
        ]
        table.update(tuple(listings), driver.now)
    for vm in moving:
        pool = POOL if direction == "joining" else STANDBY
        table.rows[vm].operation = VmOperation(
            vm, pool, None, OperationPhase.AWAITING_RETURN, driver.now
        )
    begun = begin_maintenance(row, table, driver.engine, driver.now, 2.0)
    assert len(begun) == int(6 * MAX_UNAVAILABLE_FRACTION)


def test_a_wave_takes_idle_vms_first():
    driver = Driver(count=3, work_ms=lambda key: None)
    driver.engine.submit(job("a", Step(2, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    busy = next(one.id for one in driver.engine.endpoints.values() if one.runs)
    (first,) = begin_maintenance(
        active_wave(driver, 1), vm_table(driver), driver.engine, driver.now, 2.0
    )
    assert first.vm != f"m-{busy}"


def test_a_wave_is_done_when_each_vm_that_stays_was_maintained():
    driver = Driver(count=2)
    table, row = vm_table(driver), active_wave(driver, 2)
    assert not is_wave_done(row, table)
    row.done.add(VmId("m-e0"))
    assert not is_wave_done(row, table)
    del table.rows[VmId("m-e1")]
    assert is_wave_done(row, table)


def test_an_operation_ends_when_a_later_list_shows_the_vm_back():
    driver = Driver(count=1)
    table = vm_table(driver)
    row = table.rows[VmId("m-e0")]
    (operation,) = begin_maintenance(
        active_wave(driver, 1), table, driver.engine, driver.now, 2.0
    )
    operation.phase = OperationPhase.AWAITING_RETURN
    operation.earliest_return_at = driver.now + 1.6
    table.update(vm_listings(driver), driver.now + 1.0)
    assert row.operation is operation
    table.update(vm_listings(driver), driver.now + 2.0)
    assert row.operation is None


def test_team_limits_hold_across_a_takeover():
    driver = Driver(work_ms=lambda key: None, cfg=configuration(limit=Size(2000, 0, 0)))
    driver.engine.submit(job("a", Step(4, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    driver.take_over()
    for _ in range(10):
        driver.step()
    assert sum(len(one.running) for one in driver.endpoints.values()) == 2
    assert driver.engine.jobs[JobId("a")].begun


def test_moves_take_vms_that_are_not_due_for_maintenance_first():
    driver = Driver(
        count=MIN_POOL_VMS, work_ms=lambda key: 5000.0, cfg=configuration_with_standby()
    )
    driver.engine.submit(job("a", Step(14, TASK)), driver.now)
    for _ in range(3):
        driver.step()
    table = vm_table(driver)
    for number in (1, 2, 3):
        table.rows[VmId(f"s-{number}")].maintenance_due = MaintenanceDue.LATER
    rebalance_pools(
        driver.engine, table, DemandHistory(), driver.now, STANDBY, MAX_MOVES
    )
    arriving = [one.vm for one in table.operations() if one.pool == POOL]
    assert arriving[0] == "s-0"
    assert len(arriving) == 2


@pytest.mark.parametrize("left_s, moved", [(60.0, 4), (6.0, 0)])
def test_vms_of_a_wave_do_not_move_shortly_before_its_deadline(left_s, moved):
    driver = Driver(
        count=MIN_POOL_VMS, work_ms=lambda key: 5000.0, cfg=configuration_with_standby()
    )
    driver.engine.submit(job("a", Step(40, TASK)), driver.now)
    for _ in range(3):
        driver.step()
    table = vm_table(driver)
    spare = tuple(VmId(f"s-{number}") for number in range(4))
    row = ActiveWave(WaveId("1"), spare, driver.now + left_s, 0, set())
    begin_maintenance(row, table, driver.engine, driver.now, 2.0)
    rebalance_pools(
        driver.engine, table, DemandHistory(), driver.now, STANDBY, MAX_MOVES
    )
    assert len([one for one in table.operations() if one.pool == POOL]) == moved


@pytest.mark.parametrize("left_s, max_operations", [(60.0, 3), (6.0, 6)])
def test_more_vms_may_be_unavailable_shortly_before_the_deadline(
    left_s, max_operations
):
    driver = Driver(count=9)
    driver.step()
    table, row = vm_table(driver, spare=0), active_wave(driver, 9, left_s)
    for _ in range(9):
        begin_maintenance(row, table, driver.engine, driver.now, 2.0)
    assert len(table.operations()) <= max_operations
    if left_s < 10:
        assert len(table.operations()) == max_operations


@pytest.mark.parametrize("within_s, first", [(60.0, "s-"), (20.0, "m-")])
def test_a_pool_that_needs_the_remaining_time_goes_before_idle_vms(within_s, first):
    driver = Driver(count=4, work_ms=lambda key: None, cfg=configuration_with_standby())
    driver.engine.submit(job("a", Step(4, TASK, lasting=True)), driver.now)
    for _ in range(3):
        driver.step()
    table = vm_table(driver, spare=4)
    row = ActiveWave(WaveId("1"), tuple(table.rows), driver.now + within_s, 1, set())
    (operation,) = begin_maintenance(row, table, driver.engine, driver.now, 2.0)
    assert operation.vm.startswith(first)


def test_a_pool_that_draws_vms_for_its_first_work_releases_none():
    driver = Driver(
        count=MIN_POOL_VMS + 2,
        work_ms=lambda key: 5000.0,
        cfg=configuration_with_standby(),
    )
    driver.engine.submit(job("a", Step(40, TASK)), driver.now)
    for _ in range(3):
        driver.step()
    table = vm_table(driver)
    rebalance_pools(
        driver.engine, table, DemandHistory(), driver.now, STANDBY, MAX_MOVES
    )
    assert {one.pool for one in table.operations()} == {POOL}
