"""Tests of runs that make no progress while their endpoint answers polls."""

import pytest

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.table import JobState
from tests.jobs.driver import TASK, Driver, job

STALLED = EndpointId("e0")


def seconds_until(driver: Driver, ended, limit_s: float = 20.0) -> float:
    begun = driver.now
    while not ended() and driver.now - begun < limit_s:
        driver.step()
    return driver.now - begun


@pytest.mark.parametrize("tasks", [1, 6])
def test_stalled_runs_are_started_again_on_another_endpoint(tasks):
    driver = Driver(count=2, work_ms=lambda key: 1000.0)
    driver.step()
    driver.endpoints[STALLED].stalled = True
    row = driver.engine.submit(
        job("a", Step(tasks, TASK, estimate_ms=1000)), driver.now
    )
    assert seconds_until(driver, lambda: row.state is JobState.COMPLETED) < 5.0
    assert all(driver.run_count(task.key) == 0 for task in row.all_tasks())


def test_a_stalled_run_goes_on_while_no_other_endpoint_has_room():
    driver = Driver(count=2, work_ms=lambda key: 1000.0)
    driver.step()
    driver.endpoints[STALLED].stalled = True
    other = driver.engine.endpoints[EndpointId("e1")]
    other.cordoned = True
    row = driver.engine.submit(job("a", Step(1, TASK, estimate_ms=1000)), driver.now)
    seconds_until(driver, lambda: row.state.final, 5.0)
    assert [attempt for _, attempt in driver.endpoints[STALLED].started] == [1]
    driver.endpoints[STALLED].stalled = False
    assert seconds_until(driver, lambda: row.state is JobState.COMPLETED) < 1.5


def test_an_endpoint_on_which_several_jobs_stall_gets_no_new_runs_for_a_while():
    driver = Driver(count=2, work_ms=lambda key: 1000.0)
    driver.step()
    driver.endpoints[STALLED].stalled = True
    for number in range(3):
        step = Step(2, TASK, estimate_ms=1000, max_per_endpoint=1)
        driver.engine.submit(job(f"a{number}", step), driver.now)
    endpoint = driver.engine.endpoints[STALLED]
    assert seconds_until(driver, lambda: not endpoint.usable(driver.now)) < 4.0


@pytest.mark.parametrize(
    ("step", "work_ms"),
    [
        (Step(1, TASK, estimate_ms=1000), 60_000.0),
        (Step(1, TASK), 20_000.0),
        (Step(1, TASK, lasting=True), None),
        (Step(2, TASK, estimate_ms=1000, gang=True), 1000.0),
    ],
    ids=["long", "no_estimate", "lasting", "gang"],
)
def test_runs_that_progress_slowly_or_show_none_are_left_alone(step, work_ms):
    driver = Driver(count=2, work_ms=lambda key: work_ms)
    driver.step()
    row = driver.engine.submit(job("a", step), driver.now)
    if step.gang:
        for endpoint in driver.endpoints.values():
            endpoint.stalled = True
    seconds_until(driver, lambda: row.state.final, 8.0)
    assert all(task.attempt == 1 for task in row.all_tasks())


def test_a_job_that_stalls_everywhere_is_not_restarted_for_ever():
    driver = Driver(count=6, work_ms=lambda key: 1000.0)
    driver.step()
    for endpoint in driver.endpoints.values():
        endpoint.stalled = True
    driver.engine.submit(job("a", Step(1, TASK, estimate_ms=1000)), driver.now)
    for _ in range(300):
        driver.step()
    (task,) = driver.engine.jobs[JobId("a")].all_tasks()
    assert task.attempt == 4
