"""Tests of the pace of filling tasks beside serving tasks."""

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.endpoints import Endpoint, Run, RunState
from hickoryplank.jobs.model import Step, TaskKey
from hickoryplank.jobs.pacing import SETTLE_SECONDS, SPEED_UP_DELAY_SECONDS, adjust_pace
from hickoryplank.jobs.sizes import Size
from tests.jobs.driver import TASK, Driver, job, listing

SERVING_STEP = Step(1, TASK, lasting=True, target_ms=100)
FILLING_STEP = Step(1, Size(4000, 100, 0), lasting=True, fills=True)


def endpoint_with(load_ms: int, fills: int = 2) -> tuple[Endpoint, list[Run]]:
    endpoint = Endpoint(listing(EndpointId("e0"), 1), 0.0)
    serving = Run(TaskKey(JobId("s"), 0, 0, 0), 1, SERVING_STEP, "", endpoint)
    serving.load = load_ms
    filling = [
        Run(TaskKey(JobId("f"), 0, 0, index), 1, FILLING_STEP, "", endpoint)
        for index in range(fills)
    ]
    for run in [serving, *filling]:
        run.state = RunState.STARTED
        endpoint.add(run)
    return endpoint, filling


def test_filling_tasks_stop_within_two_polls_of_a_missed_target():
    endpoint, filling = endpoint_with(load_ms=140)
    now = 100.0
    assert [one.percent for one in adjust_pace(endpoint, now)] == [50, 50]
    assert adjust_pace(endpoint, now + SETTLE_SECONDS / 2) == []
    assert [one.percent for one in adjust_pace(endpoint, now + SETTLE_SECONDS)] == [
        0,
        0,
    ]
    assert all(run.pace_percent == 0 for run in filling)


def test_filling_tasks_speed_up_well_below_the_target():
    endpoint, filling = endpoint_with(load_ms=140)
    now = 100.0
    for _ in range(2):
        adjust_pace(endpoint, now)
        now += SETTLE_SECONDS
    serving = next(run for run in endpoint.runs.values() if run.step.target_ms)
    serving.load = 70
    assert adjust_pace(endpoint, now + 60) == []
    serving.load = 20
    for percent in (25, 50, 75, 100):
        now += SPEED_UP_DELAY_SECONDS
        assert {one.percent for one in adjust_pace(endpoint, now)} == {percent}
    assert adjust_pace(endpoint, now + SPEED_UP_DELAY_SECONDS) == []


def test_without_serving_tasks_no_filling_task_is_slowed_down():
    endpoint, _ = endpoint_with(load_ms=0)
    assert adjust_pace(endpoint, 100.0) == []


def test_filling_tasks_that_a_former_coordinator_has_slowed_down_speed_up_again():
    driver = Driver(count=1, work_ms=lambda key: None)
    serving = Step(1, Size(1000, 100, 0), lasting=True, target_ms=100)
    driver.engine.submit(job("s", serving), driver.now)
    driver.engine.submit(job("f", FILLING_STEP), driver.now)
    for _ in range(5):
        driver.step()
    (endpoint,) = driver.engine.endpoints.values()
    for run in endpoint.runs.values():
        run.load = 140 if run.step.target_ms else 0
    assert [one.percent for one in adjust_pace(endpoint, driver.now)] == [50]
    driver.take_over()
    for _ in range(100):
        driver.step()
    assert [one.percent for one in driver.engine.pace_changes][-1:] == [100]
