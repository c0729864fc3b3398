"""Tests of jobs whose steps run at given times, many of them."""

import gc
import sys
from collections.abc import Callable

import msgspec
import pytest

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.messages import End, EndKind, PollReport, RunningTask
from hickoryplank.jobs.model import Job, Step, TaskKey
from hickoryplank.jobs.records import Record, RecordFault, apply_state, encode_state
from hickoryplank.jobs.sizes import Size
from hickoryplank.jobs.table import JobRow, JobState
from tests.jobs.driver import POOL, QUEUE, TASK, TEAM, Driver, configuration, job

#: A job that runs each minute for ten years.
TEN_YEARS = 10 * 365 * 24 * 60
MINUTE_MS = 60_000
SMALL = Size(20, 20, 0)


def timed_job(
    id: str, *steps: Step, repeats: int, first_ms: int, period_ms: int = MINUTE_MS
) -> Job:
    """Return a job with due times, on the clock of a driver."""
    return Job(
        JobId(id), QUEUE, POOL, TEAM, "payload", steps, 0, repeats, first_ms, period_ms
    )


def calls_in(work: Callable[[], None]) -> int:
    """Return how many functions are called in the course of some work.

    Garbage is not collected meanwhile, as Hypothesis has functions called for that.
    """
    count = 0

    def note(frame, event, arg) -> None:
        nonlocal count
        count += event == "call"

    gc.disable()
    sys.setprofile(note)
    try:
        work()
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


# Guards against a coordinator that loses its lease because of a tick that goes through
# all occurrences of a job, due or not (review case 2).
def test_work_of_a_tick_does_not_grow_with_the_number_of_occurrences():
    calls = []
    for repeats in (60, TEN_YEARS):
        driver = Driver()
        timed = timed_job("a", Step(1, TASK), repeats=repeats, first_ms=100_500)
        driver.engine.submit(timed, driver.now)
        for _ in range(10):
            driver.step()
        calls.append(calls_in(driver.step))
    assert calls[0] == calls[1]


def test_ended_occurrences_are_kept_neither_in_memory_nor_in_the_store():
    driver = Driver()
    timed = timed_job(
        "a", Step(1, SMALL), repeats=TEN_YEARS, first_ms=100_000, period_ms=100
    )
    row = driver.engine.submit(timed, driver.now)
    sizes = []
    for _ in range(300):
        driver.step()
        sizes.append(len(encode_state(row).value))
    started = {key for one in driver.endpoints.values() for key, _ in one.started}
    assert len(started) > 280
    assert len(row.steps) < 20
    assert max(sizes[200:]) <= max(sizes[50:200]) + 10


@pytest.mark.parametrize("takes_over", [False, True])
def test_a_backlog_of_due_occurrences_runs_once_and_in_bounded_memory(takes_over):
    driver = Driver(count=4, work_ms=lambda key: 50.0)
    timed = timed_job("a", Step(2, SMALL), repeats=3000, first_ms=0, period_ms=1)
    driver.engine.submit(timed, driver.now)
    most_open = 0
    for number in range(400):
        driver.step()
        if takes_over and number % 7 == 0:
            driver.take_over()
        row = driver.engine.jobs[JobId("a")]
        most_open = max(most_open, len(row.steps))
        if row.state is JobState.COMPLETED:
            break
    assert row.state is JobState.COMPLETED
    assert most_open < 1500
    started = [key for one in driver.endpoints.values() for key, _ in one.started]
    assert len(started) == len(set(started)) == 6000


def test_a_large_step_is_opened_once_at_a_time():
    driver = Driver()
    timed = timed_job("a", Step(5000, TASK), repeats=100, first_ms=0, period_ms=1)
    row = driver.engine.submit(timed, driver.now)
    driver.step()
    assert len(row.steps) == 1


@pytest.mark.parametrize("takes_over", [False, True])
def test_a_late_run_of_an_ended_occurrence_is_stopped_and_not_run_again(takes_over):
    driver = Driver(count=1)
    timed = timed_job("a", Step(1, TASK), repeats=5, first_ms=100_000)
    row = driver.engine.submit(timed, driver.now)
    for _ in range(20):
        driver.step()
    assert 0 not in row.steps
    if takes_over:
        driver.take_over()
        driver.step()
    fake = driver.endpoints[EndpointId("e0")]
    endpoint = driver.engine.endpoints[EndpointId("e0")]
    report = fake.poll(driver.token_for(endpoint), 0, None)
    key = TaskKey(JobId("a"), 0, 0, 0)
    report = type(report)(
        report.born_ms,
        report.clock_ms,
        (RunningTask(key, 9, "", 0, 0),),
        report.ends,
    )
    endpoint = driver.engine.endpoints[EndpointId("e0")]
    driver.engine.poll_answered(endpoint, report, driver.now, driver.now)
    assert (key, 9) in {run.run_key for run in driver.engine.stop_repeat_at}
    driver.step()
    started = [key for key, _ in fake.started]
    assert started.count(key) == 1


@pytest.mark.parametrize(
    "ranges",
    [[(0, 6)], [(-1, 1)], [(2, 2)], [(1, 3), (2, 4)], [(3, 4), (0, 1)]],
)
def test_a_state_with_impossible_ended_occurrences_is_malformed(ranges):
    timed = timed_job("a", Step(1, TASK), repeats=5, first_ms=0)
    value = msgspec.msgpack.encode(("running", [], ranges))
    fault = apply_state(JobRow(timed, 0.0), Record("s:a", value))
    assert isinstance(fault, RecordFault)


def play_ends(
    driver: Driver, job_id: str, ends: list[tuple[str, int, EndKind]]
) -> None:
    """Report the ends of tasks of the first step, in the given order.

    :param ends: endpoint, index of the task, and how its run ended.
    """
    for id, index, kind in ends:
        endpoint = driver.engine.endpoints[EndpointId(id)]
        key = TaskKey(JobId(job_id), 0, 0, index)
        number = endpoint.last_end_number + 1
        report = PollReport(
            endpoint.listing.born_ms,
            endpoint.clock_ms,
            (),
            (End(number, key, 1, kind, ""),),
            may_have_more_ends=True,
        )
        driver.engine.poll_answered(endpoint, report, driver.now, driver.now)
        driver.collect_faults()


# Guards against an end that is applied to steps that its own run's close has discarded,
# which ended each coordinator in turn (review case 6).
@pytest.mark.parametrize("last", list(EndKind))
@pytest.mark.parametrize("repeats", [1, 2])
def test_the_last_end_of_a_gang_of_a_timed_job_is_applied(repeats: int, last: EndKind):
    driver = Driver()
    step = Step(2, TASK, gang=True, max_per_endpoint=1)
    timed = timed_job("a", step, repeats=repeats, first_ms=100_000)
    row = driver.engine.submit(timed, driver.now)
    driver.step()
    assert {len(one.running) for one in driver.endpoints.values()} == {1}
    first, second = (task.run.endpoint.id for task in row.steps[0][0].tasks)
    play_ends(driver, "a", [(first, 0, EndKind.DONE), (second, 1, last)])
    assert 0 in row.ended_occurrences
    assert row.complete is (repeats == 1)
    assert row.state is (JobState.COMPLETED if repeats == 1 else JobState.RUNNING)
    assert not any(one.runs for one in driver.engine.endpoints.values())
    # The record must not name the run any more, as its end is acknowledged after it.
    assert row.job.id in driver.engine.dirty


# Guards against the same look-up for a task without a gang of which two runs end.
@pytest.mark.parametrize("last", list(EndKind))
def test_a_late_end_of_a_task_that_another_run_has_done_is_applied(last: EndKind):
    driver = Driver(count=2)
    timed = timed_job("a", Step(1, TASK), repeats=2, first_ms=100_000)
    row = driver.engine.submit(timed, driver.now)
    driver.step()
    second = row.steps[0][0].tasks[0].run.endpoint.id
    (first,) = set(driver.endpoints) - {second}
    play_ends(driver, "a", [(first, 0, EndKind.DONE), (second, 0, last)])
    assert 0 in row.ended_occurrences
    assert row.state is JobState.RUNNING


# Guards against a job that fails by runs of a task that is done already.
def test_a_failed_run_of_a_task_that_is_done_does_not_count():
    driver = Driver(count=2, cfg=configuration(attempts=1))
    row = driver.engine.submit(job("a", Step(1, TASK), Step(1, TASK)), driver.now)
    driver.step()
    second = row.steps[0][0].tasks[0].run.endpoint.id
    (first,) = set(driver.endpoints) - {second}
    play_ends(driver, "a", [(first, 0, EndKind.DONE), (second, 0, EndKind.FAILED)])
    assert row.state is JobState.RUNNING


def test_gangs_of_a_timed_job_are_done_with_takeovers_between():
    driver = Driver(count=2)
    step = Step(2, TASK, gang=True, max_per_endpoint=1)
    timed = timed_job("a", step, repeats=4, first_ms=100_000, period_ms=300)
    driver.engine.submit(timed, driver.now)
    for number in range(80):
        driver.step()
        if number % 6 == 5:
            driver.take_over()
    assert driver.engine.jobs[JobId("a")].state is JobState.COMPLETED
    started = [key for one in driver.endpoints.values() for key, _ in one.started]
    assert len(started) == len(set(started)) == 8
