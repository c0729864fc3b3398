"""Tests of steps that only endpoints with a ticket may run."""

import msgspec

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.configuration import AdviceTiming, Configuration
from hickoryplank.jobs.messages import AdviceAnswer, Permit, StartOutcome
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.table import JobState
from tests.jobs.driver import TASK, Driver, configuration, job

E0, E1 = EndpointId("e0"), EndpointId("e1")


def configuration_with_advice() -> Configuration:
    cfg = configuration()
    queues = [
        msgspec.structs.replace(queue, advice=AdviceTiming(10, 1, 3000))
        for queue in cfg.queues.values()
    ]
    return Configuration.build(
        1, queues, list(cfg.pools.values()), list(cfg.teams.values())
    )


def test_a_step_starts_only_where_its_ticket_allows():
    driver = Driver(cfg=configuration_with_advice())
    driver.engine.submit(job("a", Step(3, TASK)), driver.now)
    for _ in range(3):
        driver.step()
    assert not any(one.started for one in driver.endpoints.values())
    request = driver.engine.advice.pop_request()
    assert request is not None
    assert set(request.endpoints) == {E0, E1}
    answer = AdviceAnswer((Permit(E1, "ticket"),), 3000)
    driver.engine.advice.add_answer(request, answer, driver.now)
    driver.engine.tick(driver.now, 0)
    starts = driver.engine.take_batch().starts
    assert {run.endpoint.id for run in starts} == {E1}
    assert {run.ticket for run in starts} == {"ticket"}


def test_expired_tickets_are_requested_again_only_for_allowed_endpoints():
    driver = Driver(cfg=configuration_with_advice())
    row = driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.step()
    driver.step()
    request = driver.engine.advice.pop_request()
    answer = AdviceAnswer((Permit(E1, "ticket"),), 3000)
    driver.engine.advice.add_answer(request, answer, driver.now - 10)
    driver.step()
    again = driver.engine.advice.pop_request()
    assert again is not None
    assert again.endpoints == (E1,)
    assert row.state is JobState.QUEUED


def test_a_refused_ticket_is_not_used_again():
    driver = Driver(cfg=configuration_with_advice())
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.step()
    driver.step()
    request = driver.engine.advice.pop_request()
    answer = AdviceAnswer((Permit(E1, "old"),), 3000)
    driver.engine.advice.add_answer(request, answer, driver.now)
    driver.engine.tick(driver.now, 0)
    (run,) = driver.engine.batch_stored(driver.engine.take_batch(), driver.now)
    driver.engine.start_answered(run, StartOutcome.NO_TICKET, 1, 0, driver.now)
    driver.engine.tick(driver.now, 0)
    assert driver.engine.take_batch().starts == []
    assert driver.engine.advice.pop_request() is not None


def test_a_finished_job_leaves_no_advice_behind():
    driver = Driver(cfg=configuration_with_advice())
    row = driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.step()
    driver.step()
    driver.engine.cancel(row, driver.now)
    assert driver.engine.advice.pop_request() is None
    assert driver.engine.jobs[JobId("a")].state is JobState.CANCELLED
