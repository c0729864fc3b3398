"""Tests of the refusal of jobs that come too late to be served."""

import heapq
import random

import msgspec
import pytest

from hickoryplank.core.ids import EndpointId, JobId, PoolId, Zone
from hickoryplank.jobs.admission import MAX_RETURN_SECONDS, RETURN_TOLERANCE_SECONDS
from hickoryplank.jobs.endpoints import Endpoint, Run
from hickoryplank.jobs.model import Job, Step, TaskKey
from hickoryplank.jobs.shortage import ShortageOrder
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.vm_supply import VmSupply
from tests.jobs.driver import CAPACITY, TASK, TEAM, Driver, job
from tests.jobs.fleet_play import FleetPlay, Turn, arrivals_of, play_turns
from tests.jobs.test_service_order import less_urgent, weighty_configuration

#: 40 s of the work of the only endpoint, which is over what any caller waits for.
HOPELESS_BACKLOG = Step(160, TASK, 1000)
SMALL = Step(1, TASK, 1000)


def loaded_driver(backlog: Step = HOPELESS_BACKLOG, vms: int = 1) -> Driver:
    """Return a driver whose only endpoint has a backlog.

    :param vms: VMs of the fleet that no pool uses, and the one of the endpoint.
    """
    driver = Driver(count=1, cfg=weighty_configuration())
    driver.engine.shortage_order = ShortageOrder.LEAST_COST
    driver.engine.vm_supply = VmSupply({}, CAPACITY.times(vms))
    driver.step()
    driver.engine.submit(job("backlog", backlog), driver.now)
    driver.step()
    return driver


def timed(id: str) -> Job:
    return msgspec.structs.replace(job(id, SMALL), repeats=3, period_ms=1000)


@pytest.mark.parametrize(
    "new, refused",
    [
        pytest.param(job("a", Step(160, TASK, 1000)), True, id="no room in time"),
        pytest.param(job("a", SMALL), False, id="small enough to go before"),
        pytest.param(job("a", Step(1, TASK, lasting=True)), False, id="lasting"),
        pytest.param(timed("a"), False, id="timed"),
    ],
)
def test_only_what_cant_be_served_is_refused(new, refused):
    driver = loaded_driver()
    refusal = driver.engine.refusal(new, driver.now)
    assert (refusal is not None) is refused
    if refusal is not None:
        assert refusal.expected_s > refusal.patience_s
        assert 1 <= refusal.again_s <= MAX_RETURN_SECONDS


def off(driver: Driver) -> None:
    driver.engine.shortage_order = ShortageOrder.DEADLINE


def without_vm_list(driver: Driver) -> None:
    driver.engine.vm_supply = None


def unreported(driver: Driver) -> None:
    for endpoint in driver.engine.endpoints.values():
        endpoint.token_confirmed_at = None


def idle_elsewhere(driver: Driver) -> None:
    driver.engine.vm_supply = VmSupply({}, CAPACITY.times(20))


def idle_endpoint(driver: Driver) -> None:
    id = EndpointId("idle")
    driver.endpoints[id] = driver.build_endpoint(id, 1)
    driver.relist()
    driver.poll_endpoints()


@pytest.mark.parametrize(
    "change", [off, without_vm_list, unreported, idle_elsewhere, idle_endpoint]
)
def test_nothing_is_refused_unless_it_is_certain_and_asked_for(change):
    driver = loaded_driver()
    big = job("a", Step(160, TASK, 1000))
    assert driver.engine.refusal(big, driver.now) is not None
    change(driver)
    assert driver.engine.refusal(big, driver.now) is None


@pytest.mark.parametrize(
    "after_s, accepted, first",
    [
        pytest.param(0.0, True, True, id="on time"),
        pytest.param(RETURN_TOLERANCE_SECONDS - 0.5, True, True, id="a little late"),
        pytest.param(-RETURN_TOLERANCE_SECONDS - 0.5, False, False, id="too early"),
    ],
)
def test_a_caller_that_returns_at_its_time_goes_before_newcomers(
    after_s, accepted, first
):
    driver = loaded_driver()
    big = job("a", Step(160, TASK, 1000))
    refusal = driver.engine.refusal(big, driver.now)
    back_at = driver.now + refusal.again_s + after_s
    assert (driver.engine.refusal(big, back_at) is None) is accepted
    if accepted:
        assert driver.engine.submit(big, back_at).returned is first


def test_callers_are_told_times_that_are_spread_over_the_room():
    driver = loaded_driver(Step(40, TASK, 1000))
    told = [
        driver.engine.refusal(job(f"r{n}", Step(40, TASK, 1000)), driver.now)
        for n in range(4)
    ]
    again = [one.again_s for one in told]
    assert again[0] < again[1] < again[2] <= again[3] <= MAX_RETURN_SECONDS


NORTH = PoolId("north")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_refused_caller_is_served_on_return_and_none_beside_idle_room(seed):
    """Play a turn that is several times what the whole fleet holds."""
    fleet = FleetPlay({NORTH: 4}, 2, 31, ShortageOrder.LEAST_COST)
    turn = Turn(NORTH, 0.0, 1.0, 6.0, 16.0)
    waiting = list(arrivals_of([turn], 8.0, random.Random(seed)))
    heapq.heapify(waiting)
    begun, refused = fleet.now, set()
    while waiting:
        while waiting and waiting[0][0] <= fleet.now - begun:
            at_s, number, new = heapq.heappop(waiting)
            refusal = fleet.engine.refusal(new, fleet.now)
            if refusal is None:
                fleet.engine.submit(new, fleet.now)
                continue
            refused.add(new.id)
            assert not any(
                TASK.fits(one.free) and not one.runs
                for one in fleet.engine.endpoints.values()
                if one.usable(fleet.now)
            )
            heapq.heappush(waiting, (at_s + refusal.again_s, number, new))
        fleet.step()
    play_turns(fleet, [], for_s=0.0, seed=seed)
    assert refused
    assert all(JobId(id) in fleet.engine.jobs for id in refused)
    assert not fleet.engine.open_jobs


WITH_GPU = Step(1, Size(1000, 1000, 1), 1000)


@pytest.mark.parametrize(
    "backlog, refused",
    [(Step(24, TASK, 1000), False), (HOPELESS_BACKLOG, True)],
)
def test_a_job_that_the_pool_can_never_serve_keeps_no_other_out(backlog, refused):
    """Neither is a job refused for it, nor does the time to return depend on it."""
    driver = loaded_driver(backlog)
    driver.engine.submit(job("gpu", WITH_GPU), driver.now)
    driver.step()
    refusal = driver.engine.refusal(less_urgent("a", SMALL), driver.now)
    assert (refusal is not None) is refused
    if refusal is not None:
        assert refusal.expected_s < 60
        assert 1 <= refusal.again_s <= MAX_RETURN_SECONDS


def test_a_job_that_the_pool_can_never_serve_waits_as_if_none_were_refused():
    driver = loaded_driver()
    assert driver.engine.refusal(job("gpu", WITH_GPU), driver.now) is None


def test_a_job_is_accepted_while_the_fleet_has_no_vm_for_its_pool():
    """When VMs come is unknown then, so that no time could be told."""
    driver = Driver(count=0, cfg=weighty_configuration())
    driver.engine.shortage_order = ShortageOrder.LEAST_COST
    driver.engine.vm_supply = VmSupply({}, Size())
    driver.step()
    assert driver.engine.refusal(job("a", SMALL), driver.now) is None


def spend_share(driver: Driver) -> None:
    """Let the team hand in what it may at once."""
    while driver.engine.rate_limiter.take_token(TEAM, driver.cfg, driver.now):
        pass


def test_the_share_of_a_team_counts_a_refused_job_only_when_it_is_first_handed_in():
    driver = loaded_driver()
    big = job("a", Step(160, TASK, 1000))
    refusal = driver.engine.refusal(big, driver.now)
    driver.now += refusal.again_s
    spend_share(driver)
    assert not driver.engine.submit(big, driver.now).over_share


def test_no_time_is_kept_free_for_a_job_beyond_the_share_of_its_team():
    driver = loaded_driver()
    spend_share(driver)
    big = job("a", Step(160, TASK, 1000))
    refusal = driver.engine.refusal(big, driver.now)
    assert refusal is not None
    assert not driver.engine.submit(big, driver.now + refusal.again_s).returned


def busy_endpoint_elsewhere(driver: Driver) -> Endpoint:
    """List an endpoint of another pool that is wholly in use."""
    listed = driver.listing_of(EndpointId("x"), 1)
    listed = msgspec.structs.replace(listed, pool=PoolId("other"), zone=Zone("far"))
    driver.engine.update_listing(listed, driver.now)
    endpoint = driver.engine.endpoints[EndpointId("x")]
    key = TaskKey(JobId("other"), 0, 0, 0)
    endpoint.add(Run(key, 1, Step(1, CAPACITY, 1000), TEAM, endpoint))
    return endpoint


@pytest.mark.parametrize("lost", ["no", "silent", "evacuated"])
def test_runs_on_lost_endpoints_of_other_pools_take_no_idle_vms_away(lost):
    """Their VMs aren't among those that are up, or take no work at all."""
    backlog = Step(60, TASK, 1000)
    driver = loaded_driver(backlog, vms=2)
    endpoint = busy_endpoint_elsewhere(driver)
    if lost == "silent":
        endpoint.silent_since = driver.now
    elif lost == "evacuated":
        driver.evacuate_zones(Zone("far"))
    refusal = driver.engine.refusal(less_urgent("a", SMALL), driver.now)
    assert (refusal is not None) is (lost == "no")


def test_a_caller_that_asks_again_too_early_is_told_no_later_time():
    driver = loaded_driver(Step(40, TASK, 1000))
    big = job("a", Step(40, TASK, 1000))
    first = driver.engine.refusal(big, driver.now)
    driver.now += 2.0
    for number in range(3):
        newcomer = job(f"n{number}", Step(20, TASK, 1000))
        driver.engine.refusal(newcomer, driver.now)
    second = driver.engine.refusal(big, driver.now)
    assert second.again_s == first.again_s - 2
    back_at = driver.now + second.again_s
    assert driver.engine.submit(big, back_at).returned


@pytest.mark.parametrize("with_gpu", [False, True])
def test_work_for_different_resources_is_done_at_once(with_gpu):
    """Job by job the work takes 14 s; neither resource is used for more than 8 s."""
    driver = loaded_driver(Step(22, Size(1000, 10, 0), 1000))
    driver.engine.submit(job("mem", Step(22, Size(10, 2000, 0), 1000)), driver.now)
    if with_gpu:
        driver.engine.submit(job("gpu", WITH_GPU), driver.now)
    driver.step()
    assert driver.engine.refusal(less_urgent("a", SMALL), driver.now) is None
