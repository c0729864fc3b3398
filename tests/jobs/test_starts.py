"""Tests of starts that are sent again, as they had no answer."""

import pytest

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.table import JobState
from tests.jobs.driver import TASK, Driver, job, listing

E0 = EndpointId("e0")


def unanswered_start(count: int) -> Driver:
    """Return a driver that has sent a start to e0, which can't be reached any more."""
    driver = Driver(count=1)
    driver.step()
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.engine.tick(driver.now, 0)
    driver.unreachable.add(E0)
    driver.commit()
    for number in range(1, count):
        id = EndpointId(f"e{number}")
        driver.endpoints[id] = driver.build_endpoint(id, 1)
        driver.engine.update_listing(listing(id, 1), driver.now)
    driver.step()
    return driver


def drain(driver: Driver) -> None:
    driver.engine.update_listing(listing(E0, 1, draining=True), driver.now)


def remove(driver: Driver) -> None:
    driver.engine.remove_listing(E0)


def cordon(driver: Driver) -> None:
    driver.engine.cordon(frozenset({E0}))


@pytest.mark.parametrize("dark_steps", range(28, 36))
def test_no_start_is_sent_again_after_its_job_was_cancelled(dark_steps):
    """Guards against starts that follow the cancellation of their job."""
    driver = unanswered_start(count=1)
    driver.engine.cancel(driver.engine.jobs[JobId("a")], driver.now)
    for _ in range(dark_steps):
        driver.step()
    driver.unreachable.clear()
    for _ in range(20):
        driver.step()
    assert not driver.endpoints[E0].started
    assert not driver.engine.endpoints[E0].runs


@pytest.mark.parametrize("leave", [drain, remove, cordon])
@pytest.mark.parametrize("dark_steps", [1, 25])
def test_no_start_is_sent_again_to_an_endpoint_that_leaves(leave, dark_steps):
    """Guards against starts long after an endpoint has begun to drain."""
    driver = unanswered_start(count=2)
    leave(driver)
    for _ in range(dark_steps):
        driver.step()
    driver.unreachable.clear()
    for _ in range(40):
        driver.step()
    assert not driver.endpoints[E0].started
    assert len(driver.endpoints[EndpointId("e1")].started) == 1
    assert driver.engine.jobs[JobId("a")].stored_state is JobState.COMPLETED


def test_an_endpoint_that_stays_after_all_gets_the_task_again():
    driver = unanswered_start(count=1)
    drain(driver)
    driver.step()
    driver.unreachable.clear()
    driver.engine.update_listing(listing(E0, 1), driver.now)
    for _ in range(40):
        driver.step()
    assert driver.engine.jobs[JobId("a")].stored_state is JobState.COMPLETED


def test_a_stopped_run_is_settled_though_its_stop_is_repeated_during_each_poll():
    """Guards against runs that stay open, as polls take longer than stops are apart."""
    driver = unanswered_start(count=1)
    driver.engine.cancel(driver.engine.jobs[JobId("a")], driver.now)
    endpoint = driver.engine.endpoints[E0]
    (run,) = endpoint.runs.values()
    asked_at = driver.now + 0.3
    for stopped_at in (driver.now, driver.now + 0.5):
        driver.engine.stop_answered(run, stopped_at)
    report = driver.endpoints[E0].poll(driver.token_for(endpoint), 0, None)
    driver.engine.poll_answered(endpoint, report, asked_at, driver.now + 0.9)
    assert not endpoint.runs
