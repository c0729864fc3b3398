"""Tests of steps that only endpoints with a ticket may run."""

import pytest

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.configuration import AdviceTiming, Configuration
from hickoryplank.jobs.messages import AdviceAnswer, Permit, StartOutcome
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.table import JobState
from tests.jobs.driver import TASK, Driver, configuration, job, listing

E0, E1 = EndpointId("e0"), EndpointId("e1")


def configuration_with_advice() -> Configuration:
    return configuration(advice=AdviceTiming(10, 1, 3000))


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


class AdvisedDriver(Driver):
    """A driver whose steps need tickets, which its advice service gives or denies.

    :param allowed: endpoints on which every step may run.
    """

    def __init__(self, allowed: set[str], count: int, work_ms):
        super().__init__(count, work_ms, configuration_with_advice())
        self.allowed = {EndpointId(id) for id in allowed}
        #: Endpoints named in all requests for advice.
        self.asked: list[EndpointId] = []

    def play(self, steps: int) -> None:
        """Run a number of ticks, each followed by at most one request for advice."""
        for _ in range(steps):
            self.step()
            request = self.engine.advice.pop_request()
            if request is None:
                continue
            self.asked += request.endpoints
            permits = tuple(
                Permit(id, "ticket") for id in request.endpoints if id in self.allowed
            )
            answer = AdviceAnswer(permits, 3000)
            self.engine.advice.add_answer(request, answer, self.now)

    def add_endpoint(self, id: str) -> None:
        """Add an endpoint to the list of endpoints."""
        endpoint = EndpointId(id)
        self.endpoints[endpoint] = self.build_endpoint(endpoint, 1)
        self.engine.update_listing(listing(endpoint, 1), self.now)


def lasting_or_short(key) -> float | None:
    """Return the run time of a task; none for those of jobs named ``lasting``."""
    return None if key.job.startswith("lasting") else 500.0


# Guards against lasting tasks that are never started again once their endpoint is gone,
# as advice on the endpoint that replaces it was never requested (review case 5).
def test_advice_is_requested_on_an_endpoint_that_replaces_another():
    driver = AdvisedDriver({"e0", "e1", "e9"}, 2, lasting_or_short)
    step = Step(2, TASK, lasting=True, max_per_endpoint=1)
    driver.engine.submit(job("lasting", step), driver.now)
    driver.play(20)
    assert sum(driver.run_count(task.key) for task in tasks_of(driver)) == 2
    gone = driver.engine.endpoints[E1]
    del driver.endpoints[E1]
    driver.engine.end_incarnation(gone, driver.now)
    driver.add_endpoint("e9")
    driver.play(60)
    assert [driver.run_count(task.key) for task in tasks_of(driver)] == [1, 1]


def tasks_of(driver: Driver):
    """Return the tasks of the driver's job."""
    return driver.engine.jobs[JobId("lasting")].all_tasks()


@pytest.mark.parametrize(
    ("allowed", "count", "before", "step"),
    [
        pytest.param(
            {f"e{number}" for number in range(5, 12)},
            12,
            None,
            Step(7, TASK, lasting=True, max_per_endpoint=1),
            id="allowed endpoints beyond the first request",
        ),
        pytest.param(
            {"e0", "e11"},
            12,
            Step(4, TASK, lasting=True),
            Step(2, TASK),
            id="the known allowed endpoint is full",
        ),
        pytest.param(
            {"e0", "e11"},
            12,
            None,
            Step(6, TASK, gang=True),
            id="a gang that needs more than the known allowed endpoint",
        ),
    ],
)
def test_advice_is_requested_until_tasks_have_room(allowed, count, before, step):
    driver = AdvisedDriver(allowed, count, lasting_or_short)
    if before is not None:
        driver.engine.submit(job("lasting0", before), driver.now)
        driver.play(20)
    name = "lasting1" if step.lasting else "short"
    row = driver.engine.submit(job(name, step), driver.now)
    driver.play(60)
    if step.lasting:
        assert all(task.working for task in row.all_tasks())
    else:
        assert row.state is JobState.COMPLETED


def test_advice_on_a_new_incarnation_is_requested_anew():
    driver = AdvisedDriver({"e0"}, 2, lasting_or_short)
    step = Step(2, TASK, lasting=True, max_per_endpoint=1)
    row = driver.engine.submit(job("lasting", step), driver.now)
    driver.play(20)
    assert [task.run is not None for task in row.all_tasks()].count(True) == 1
    driver.restart_endpoint(E1)
    driver.allowed.add(E1)
    driver.play(20)
    assert all(task.run is not None for task in row.all_tasks())


def test_endpoints_without_room_or_denied_are_not_asked_about_again():
    driver = AdvisedDriver({"e0"}, 3, lasting_or_short)
    step = Step(5, TASK, lasting=True)
    driver.engine.submit(job("lasting", step), driver.now)
    driver.play(60)
    assert driver.asked.count(E1) == 1
    assert driver.asked.count(E0) <= 3


def test_a_step_has_one_request_at_a_time():
    driver = Driver(cfg=configuration_with_advice())
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.step()
    driver.step()
    request = driver.engine.advice.pop_request()
    assert request is not None
    driver.step()
    assert driver.engine.advice.pop_request() is None
    driver.engine.advice.request_failed(request)
    driver.step()
    assert driver.engine.advice.pop_request() == request


def test_an_answer_for_a_job_that_has_ended_is_dropped():
    driver = Driver(cfg=configuration_with_advice())
    row = driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.step()
    driver.step()
    request = driver.engine.advice.pop_request()
    assert request is not None
    driver.engine.cancel(row, driver.now)
    answer = AdviceAnswer((Permit(E1, "ticket"),), 3000)
    driver.engine.advice.add_answer(request, answer, driver.now)
    assert driver.engine.advice.ticket(request.step, driver.engine.endpoints[E1]) == ""
