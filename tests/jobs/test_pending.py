"""Tests of which jobs count as pending: those of which no task has started."""

import pytest

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.model import Step
from tests.jobs.driver import QUEUE, TASK, Driver, job

E0 = EndpointId("e0")


def lose_endpoint(driver: Driver) -> None:
    """Leave all calls of an endpoint unanswered, and do nothing for them."""
    driver.unreachable.add(E0)


def refuse_starts(driver: Driver) -> None:
    driver.accepts_ticket = lambda run: False


@pytest.mark.parametrize("trouble", [lose_endpoint, refuse_starts])
@pytest.mark.parametrize("taken_over", [False, True])
def test_a_job_whose_starts_all_failed_is_pending(trouble, taken_over):
    """Guards against jobs that count as begun once a task was assigned."""
    driver = Driver(count=1)
    driver.step()
    trouble(driver)
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    for number in range(70):
        if taken_over and number == 30:
            driver.take_over()
        driver.step()
        assert driver.engine.pending_count(QUEUE) == 1
    assert not driver.endpoints[E0].started


@pytest.mark.parametrize("answer_lost", [False, True])
@pytest.mark.parametrize("taken_over", [False, True])
def test_a_job_that_was_started_is_not_pending(answer_lost, taken_over):
    driver = Driver(count=1, work_ms=lambda key: 5000.0)
    driver.step()
    if answer_lost:
        driver.lost_answers.add(E0)
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    for _ in range(3):
        driver.step()
    if taken_over:
        driver.take_over()
        assert driver.engine.has_begun(driver.engine.jobs[JobId("a")])
    for _ in range(5):
        assert driver.engine.pending_count(QUEUE) == 0
        driver.step()
    assert len(driver.endpoints[E0].started) == 1
