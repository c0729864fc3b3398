"""Tests of jobs whose queue is not in the configuration while they run."""

import msgspec
import pytest

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.configuration import AdviceTiming, Configuration
from hickoryplank.jobs.model import Job, Step
from hickoryplank.jobs.ordering import sort_jobs
from hickoryplank.jobs.table import JobRow, JobState
from tests.jobs.driver import QUEUE, TASK, Driver, configuration, job, without_queues

E0 = EndpointId("e0")
JOB = JobId("a")


def accepted(*steps: Step, cfg: Configuration, id: str = "a") -> Job:
    """Return a job with the terms of its queue, as accepted from a caller."""
    return msgspec.structs.replace(job(id, *steps), terms=cfg.queues[QUEUE].terms)


def submit(driver: Driver, *steps: Step) -> None:
    driver.engine.submit(accepted(*steps, cfg=driver.cfg), driver.now)


def drop_queue(driver: Driver) -> None:
    driver.configure(without_queues(driver.cfg))


@pytest.mark.parametrize("taken_over", [False, True])
@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("failures", [1, 2, 3])
def test_a_job_fails_after_its_attempts_while_its_queue_is_away(
    taken_over, gang, failures
):
    """Guards against jobs that fail for good after one failed run."""
    driver = Driver(count=3, cfg=configuration(attempts=3))
    submit(driver, Step(2 if gang else 1, TASK, gang=gang))
    driver.step()
    driver.step()
    drop_queue(driver)
    if taken_over:
        driver.take_over()
    for fake in driver.endpoints.values():
        fake.failing = True
    row = driver.engine.jobs[JOB]
    for _ in range(60):
        if sum(task.failures for task in row.all_tasks()) >= failures:
            break
        driver.step()
    for fake in driver.endpoints.values():
        fake.failing = False
    for _ in range(20):
        driver.step()
    wanted = JobState.FAILED if failures == 3 else JobState.COMPLETED
    assert driver.engine.jobs[JOB].stored_state is wanted


def test_a_job_of_a_former_version_is_not_failed_while_its_queue_is_away():
    """Its record has no attempts; the queue decides once it is back."""
    driver = Driver(count=1)
    former = job("a", Step(1, TASK))
    driver.engine.submit(former, driver.now)
    assert former.terms is None
    drop_queue(driver)
    driver.endpoints[E0].failing = True
    for _ in range(30):
        driver.step()
    assert driver.engine.jobs[JOB].state is JobState.RUNNING


def test_the_configured_queue_goes_before_the_terms_at_acceptance():
    driver = Driver(count=1, cfg=configuration(attempts=3))
    submit(driver, Step(1, TASK))
    driver.engine.configuration = configuration(attempts=1)
    driver.endpoints[E0].failing = True
    for _ in range(20):
        driver.step()
    assert driver.engine.jobs[JOB].stored_state is JobState.FAILED
    assert len(driver.endpoints[E0].started) == 1


def test_starts_wait_for_advice_while_their_queue_is_away():
    driver = Driver(count=1, cfg=configuration(advice=AdviceTiming(10, 1, 3000)))
    submit(driver, Step(1, TASK))
    drop_queue(driver)
    for _ in range(5):
        driver.step()
    assert not driver.endpoints[E0].started
    assert driver.engine.advice.pop_request() is not None


def test_jobs_keep_their_order_while_their_queue_is_away():
    cfg = configuration()
    steps = Step(1, TASK, estimate_ms=100), Step(1, TASK, estimate_ms=9000)
    short, long = (
        JobRow(accepted(step, cfg=cfg, id=str(step.estimate_ms)), 100.0)
        for step in steps
    )
    present = sort_jobs([long, short], cfg, 101.0)
    assert sort_jobs([long, short], without_queues(cfg), 101.0) == present
