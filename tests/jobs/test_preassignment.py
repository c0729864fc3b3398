"""Tests of pre-assignments."""

import random

import pytest

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.assignment import AllowedStarts
from hickoryplank.jobs.model import Step, TaskKey
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.table import JobState, TaskState
from tests.jobs.driver import TASK, Driver, job

CHAIN = (Step(2, TASK), Step(2, TASK, after=(0,)), Step(1, TASK, after=(1,)))


def start_count(driver: Driver, step: int) -> int:
    """Return the number of starts of tasks of a step, on any endpoint."""
    return sum(
        1
        for one in driver.endpoints.values()
        for key, _ in one.started
        if key.step == step
    )


def submit_and_start(driver: Driver, *steps: Step) -> None:
    driver.engine.submit(job("a", *steps), driver.now)
    driver.step()
    driver.step()


def wait_until_ready(driver: Driver) -> None:
    """Advance until the end of the first step is reported, without a tick."""
    while not driver.engine.jobs[JobId("a")].ready_steps(0):
        driver.now += 0.1
        for one in driver.endpoints.values():
            one.advance(100)
        driver.poll_endpoints()


def test_steps_follow_each_other_while_the_store_is_unavailable():
    driver = Driver()
    submit_and_start(driver, *CHAIN)
    for _ in range(30):
        driver.step(store_up=False)
    assert start_count(driver, 2) == 1
    row = driver.engine.jobs[JobId("a")]
    assert row.complete
    assert not row.stored_state.final
    for _ in range(3):
        driver.step()
    assert row.stored_state is JobState.COMPLETED


def test_a_job_that_waits_for_room_starts_while_the_store_is_unavailable():
    driver = Driver(count=1, work_ms=lambda key: 600.0)
    for id in "ab":
        driver.engine.submit(job(id, Step(4, TASK)), driver.now)
    driver.step()
    driver.step()
    assert start_count(driver, 0) == 4
    for _ in range(10):
        driver.step(store_up=False)
    assert start_count(driver, 0) == 8


def test_no_preassignment_is_used_before_it_is_stored():
    driver = Driver(count=1)
    submit_and_start(driver, Step(4, TASK))
    driver.engine.submit(job("b", Step(4, TASK)), driver.now)
    for _ in range(20):
        driver.step(store_up=False)
    assert all(
        task.preassignment is not None
        for task in driver.engine.jobs[JobId("b")].all_tasks()
    )
    assert start_count(driver, 0) == 4
    driver.step()
    driver.step()
    assert start_count(driver, 0) == 8


def test_a_preassignment_is_recorded_once():
    driver = Driver(count=1, work_ms=lambda key: 60_000.0)
    submit_and_start(driver, Step(4, TASK))
    driver.engine.submit(job("b", Step(4, TASK)), driver.now)
    driver.step()
    for _ in range(5):
        driver.engine.tick(driver.now, 0)
        assert driver.engine.take_batch().records == []


def test_preassigned_tasks_do_not_start_without_a_proven_lease():
    driver = Driver()
    submit_and_start(driver, *CHAIN)
    wait_until_ready(driver)
    driver.engine.tick(driver.now, 0, AllowedStarts.AFTER_RECORD)
    assert driver.engine.take_preassigned_starts(driver.now) == []
    assert driver.engine.take_batch().starts


@pytest.mark.parametrize(
    "steps",
    [
        (Step(1, TASK), Step(2, TASK, after=(0,), gang=True)),
        (Step(1, TASK), Step(1, TASK, after=(0,), required_label="none")),
        (Step(1, TASK), Step(1, Size(1, 9000, 0), after=(0,))),
        (Step(1, TASK), Step(1, TASK, lasting=True)),
    ],
    ids=["gang", "label", "too large", "lasting"],
)
def test_steps_with_other_constraints_than_room_are_not_preassigned(steps):
    driver = Driver()
    submit_and_start(driver, *steps)
    before = start_count(driver, 1)
    for _ in range(20):
        driver.step(store_up=False)
    assert start_count(driver, 1) == before


@pytest.mark.parametrize(
    "change", ["cordoned", "unreachable", "new incarnation", "unlisted"]
)
def test_a_preassignment_to_an_unusable_endpoint_is_not_used(change):
    driver = Driver(count=1)
    submit_and_start(driver, *CHAIN[:2])
    (id,) = driver.endpoints
    endpoint = driver.engine.endpoints[id]
    wait_until_ready(driver)
    match change:
        case "cordoned":
            endpoint.cordoned = True
        case "unreachable":
            driver.engine.note_no_answer(endpoint, driver.now)
        case "new incarnation":
            driver.restart_endpoint(id)
        case "unlisted":
            driver.engine.remove_listing(id)
    driver.engine.tick_preassigned(driver.now, 0)
    assert driver.engine.take_preassigned_starts(driver.now) == []


@pytest.mark.parametrize("sent", [False, True])
def test_a_takeover_finds_preassigned_runs_and_starts_the_others(sent):
    driver = Driver(work_ms=lambda key: 300.0 if key.step == 0 else 900.0)
    submit_and_start(driver, *CHAIN[:2])
    if sent:
        while start_count(driver, 1) < 2:
            driver.step(store_up=False)
    driver.take_over()
    for _ in range(30):
        driver.step()
        for index in range(2):
            assert driver.run_count(TaskKey(JobId("a"), 0, 1, index)) <= 1
    assert start_count(driver, 1) == 2
    assert driver.engine.jobs[JobId("a")].stored_state is JobState.COMPLETED


def test_a_preassigned_job_does_not_count_as_begun_after_a_takeover():
    driver = Driver(count=1, work_ms=lambda key: 5000.0)
    for id in "ab":
        driver.engine.submit(job(id, Step(4, TASK)), driver.now)
    driver.step()
    driver.step()
    driver.take_over()
    engine = driver.engine
    assert engine.has_begun(engine.jobs[JobId("a")])
    assert not engine.has_begun(engine.jobs[JobId("b")])
    driver.step()
    driver.step()
    assert driver.engine.pending_count(driver.engine.jobs[JobId("b")].job.queue) == 1


def test_a_takeover_starts_no_task_that_was_done_while_it_was_preassigned():
    short = TaskKey(JobId("a"), 0, 0, 0)
    driver = Driver(work_ms=lambda key: 500.0 if key == short else 60_000.0)
    submit_and_start(driver, Step(2, TASK))
    task = driver.engine.jobs[JobId("a")].task(short)
    cut_off = task.run.endpoint.id
    driver.engine.submit(job("b", Step(6, TASK)), driver.now)
    driver.step()
    driver.unreachable = {cut_off}
    while task.preassignment is None or not task.preassignment.stored:
        driver.step()
    driver.unreachable = set()
    driver.step()
    assert task.state is TaskState.DONE
    driver.step()
    driver.take_over()
    for _ in range(30):
        driver.step()
    started = [run for one in driver.endpoints.values() for run in one.started]
    assert [key for key, _ in started].count(short) == 1


@pytest.mark.parametrize("seed", range(40))
def test_no_task_runs_twice_under_random_faults(seed):
    rng = random.Random(seed)
    driver = Driver(count=3, work_ms=lambda key: 200.0 + 150.0 * key.index)
    ids = [f"j{number}" for number in range(4)]
    for id in ids:
        driver.engine.submit(job(id, *CHAIN), driver.now)
    driver.step()
    up = True
    for _ in range(150):
        up = rng.random() < (0.9 if up else 0.2)
        _inject_faults(driver, rng)
        driver.step(store_up=up)
        for id in ids:
            for key in _task_keys(id):
                assert driver.run_count(key) <= 1, (seed, key)
    driver.unreachable = set()
    driver.lost_answers = set()
    for _ in range(250):
        driver.step()
    for id in ids:
        # A takeover before the first record of a job is stored loses the job.
        row = driver.engine.jobs.get(JobId(id))
        assert row is None or row.stored_state is JobState.COMPLETED


def _inject_faults(driver: Driver, rng: random.Random) -> None:
    """End terms and incarnations, and disconnect or reconnect endpoints, at random."""
    if rng.random() < 0.04:
        driver.take_over(applied=rng.random() < 0.5)
    if rng.random() < 0.03:
        driver.restart_endpoint(EndpointId(f"e{rng.randrange(3)}"))
    if rng.random() < 0.05:
        driver.unreachable = {EndpointId(f"e{rng.randrange(3)}")}
    if rng.random() < 0.1:
        driver.unreachable = set()
    driver.lost_answers = set(driver.unreachable)


def _task_keys(id: str) -> list[TaskKey]:
    return [
        TaskKey(JobId(id), 0, step, index)
        for step, one in enumerate(CHAIN)
        for index in range(one.count)
    ]
