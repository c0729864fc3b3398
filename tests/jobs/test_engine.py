"""Tests of the engine against fake endpoints."""

import msgspec
import pytest

from hickoryplank.core.ids import EndpointId, JobId, TeamId
from hickoryplank.jobs.endpoints import LATE_CALL_SECONDS
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.messages import PollReport, StartOutcome
from hickoryplank.jobs.model import Job, Step, TaskKey
from hickoryplank.jobs.sizes import ZERO, Size
from hickoryplank.jobs.table import JobRow, JobState
from tests.jobs.driver import (
    POOL,
    RETENTION_SECONDS,
    TASK,
    Driver,
    configuration,
    job,
    listing,
)

E0 = EndpointId("e0")
E1 = EndpointId("e1")


def run_until(driver: Driver, done, steps: int = 200) -> None:
    for _ in range(steps):
        if done():
            return
        driver.step()
    raise AssertionError("condition not reached within the given steps")


def stored_state(driver: Driver, id: str) -> JobState:
    return driver.engine.jobs[JobId(id)].stored_state


def test_steps_run_in_order_and_the_job_completes():
    driver = Driver()
    row = driver.engine.submit(
        job("a", Step(2, TASK), Step(3, TASK, after=(0,))), driver.now
    )
    started = []
    for _ in range(30):
        driver.step()
        for one in driver.endpoints.values():
            for key, _attempt in one.started:
                if key.step == 1 and not started:
                    assert not row.steps[0][0].remaining
                    started.append(key)
    assert stored_state(driver, "a") is JobState.COMPLETED
    assert len(started) == 1


def test_a_job_submitted_twice_runs_once():
    driver = Driver()
    first = driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    run_until(driver, lambda: stored_state(driver, "a") is JobState.COMPLETED)
    assert driver.engine.submit(job("a", Step(1, TASK)), driver.now) is first
    for _ in range(10):
        driver.step()
    assert sum(len(one.started) for one in driver.endpoints.values()) == 1


def test_nothing_starts_before_its_assignment_is_stored():
    driver = Driver()
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    for _ in range(5):
        driver.step(store_up=False)
    assert not any(one.started for one in driver.endpoints.values())
    driver.step()
    assert any(one.started for one in driver.endpoints.values())


def test_ends_are_acknowledged_only_once_they_are_stored():
    driver = Driver()
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.step()
    driver.step()
    for _ in range(10):
        driver.step(store_up=False)
    assert all(one.acknowledged == 0 for one in driver.endpoints.values())
    assert stored_state(driver, "a") is not JobState.COMPLETED
    driver.step()
    driver.step()
    assert any(one.acknowledged == 1 for one in driver.endpoints.values())
    assert stored_state(driver, "a") is JobState.COMPLETED


def test_runs_being_stopped_count_against_capacity():
    driver = Driver(count=1, work_ms=lambda key: None)
    driver.engine.submit(job("a", Step(4, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    driver.engine.cancel(driver.engine.jobs[JobId("a")], driver.now)
    driver.engine.submit(job("b", Step(4, TASK, lasting=True)), driver.now)
    most = 0
    for _ in range(20):
        driver.step()
        most = max(most, len(driver.endpoints[E0].running))
    assert most == 4
    assert all(run_key[0].job == "b" for run_key in driver.endpoints[E0].run_keys())


def test_team_limit_binds_across_jobs():
    driver = Driver(cfg=configuration(limit=Size(3000, 0, 0)))
    for id in "abc":
        driver.engine.submit(job(id, Step(2, TASK)), driver.now)
    most = 0
    for _ in range(60):
        driver.step()
        most = max(most, sum(len(one.running) for one in driver.endpoints.values()))
    assert most == 3
    assert all(stored_state(driver, id) is JobState.COMPLETED for id in "abc")


def test_jobs_without_a_known_team_are_bound_by_no_limit():
    driver = Driver(cfg=configuration(limit=Size(1000, 0, 0)))
    open_job = job("a", Step(4, TASK, lasting=True))
    driver.engine.submit(
        type(open_job)(
            open_job.id, open_job.queue, open_job.pool, "", "p", open_job.steps, 0
        ),
        driver.now,
    )
    driver.step()
    assert sum(len(one.started) for one in driver.endpoints.values()) == 4


@pytest.mark.parametrize("attempts", [1, 2, 3])
def test_a_task_that_keeps_failing_fails_its_job_after_its_attempts(attempts):
    driver = Driver(cfg=configuration(attempts=attempts))
    for one in driver.endpoints.values():
        one.failing = True
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    run_until(driver, lambda: stored_state(driver, "a") is JobState.FAILED)
    assert sum(len(one.started) for one in driver.endpoints.values()) == attempts


def test_a_task_that_failed_is_tried_on_another_endpoint():
    driver = Driver(count=2, cfg=configuration(attempts=2))
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.step()
    driver.step()
    endpoint_id = next(id for id, one in driver.endpoints.items() if one.running)
    driver.endpoints[endpoint_id].failing = True
    run_until(driver, lambda: stored_state(driver, "a").final)
    assert stored_state(driver, "a") is JobState.COMPLETED


def test_a_lasting_task_is_started_again_however_it_ends():
    driver = Driver(count=1, work_ms=lambda key: 300.0)
    driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    for _ in range(40):
        driver.step()
    assert len(driver.endpoints[E0].started) > 3
    assert stored_state(driver, "a") is JobState.RUNNING


def test_a_silent_endpoint_gets_no_runs_and_its_tasks_wait_for_the_lease():
    driver = Driver(work_ms=lambda key: None)
    driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    key = TaskKey(JobId("a"), 0, 0, 0)
    endpoint_id = next(id for id, one in driver.endpoints.items() if one.running)
    driver.unreachable.add(endpoint_id)
    for _ in range(120):
        driver.step()
        assert driver.run_count(key) <= 1
    other = E1 if endpoint_id == E0 else E0
    assert any(run_key[0] == key for run_key in driver.endpoints[other].run_keys())


@pytest.mark.parametrize("silent_ms", [300, 2000, 3500])
@pytest.mark.parametrize("lasting", [False, True])
def test_a_run_on_an_endpoint_that_is_silent_within_its_lease_goes_on(
    silent_ms, lasting
):
    driver = Driver(work_ms=lambda key: None if lasting else 6000.0)
    driver.engine.submit(job("a", Step(3, TASK, lasting=lasting)), driver.now)
    for _ in range(5):
        driver.step()
    driver.unreachable = {E0, E1}
    for _ in range(silent_ms // 100):
        driver.step()
    driver.unreachable = set()
    for _ in range(60):
        driver.step()
    assert sum(len(one.started) for one in driver.endpoints.values()) == 3
    if not lasting:
        assert stored_state(driver, "a") is JobState.COMPLETED


def test_a_start_without_answer_is_repeated_to_the_same_endpoint():
    driver = Driver(count=2, work_ms=lambda key: None)
    driver.lost_answers = {E0, E1}
    driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    for _ in range(10):
        driver.step()
    assert sum(len(one.started) for one in driver.endpoints.values()) == 1


def test_a_late_start_does_not_run_beside_the_next_attempt():
    driver = Driver(work_ms=lambda key: None)
    driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    driver.unreachable = {E0, E1}
    for _ in range(3):
        driver.step()
    driver.unreachable = set()
    driver.step()
    key = TaskKey(JobId("a"), 0, 0, 0)
    runs = [
        run for one in driver.engine.endpoints.values() for run in one.runs.values()
    ]
    for run in runs:
        driver.deliver_later(run, 5.0)
    for _ in range(120):
        driver.step()
        assert driver.run_count(key) <= 1


@pytest.mark.parametrize("same_incarnation", [True, False])
def test_a_takeover_finds_running_tasks_and_does_not_restart_them(same_incarnation):
    driver = Driver(work_ms=lambda key: None)
    driver.engine.submit(job("a", Step(3, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    if not same_incarnation:
        for id in list(driver.endpoints):
            driver.restart_endpoint(id)
    driver.take_over()
    for _ in range(20):
        driver.step()
        for index in range(3):
            assert driver.run_count(TaskKey(JobId("a"), 0, 0, index)) <= 1
    assert all(driver.run_count(TaskKey(JobId("a"), 0, 0, i)) == 1 for i in range(3))
    starts = sum(len(one.started) for one in driver.endpoints.values())
    assert starts == 3


def test_a_takeover_waits_for_the_leases_of_an_unreachable_endpoint():
    driver = Driver(work_ms=lambda key: None)
    driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    endpoint_id = next(id for id, one in driver.endpoints.items() if one.running)
    driver.unreachable.add(endpoint_id)
    driver.take_over()
    key = TaskKey(JobId("a"), 0, 0, 0)
    until = driver.now + LATE_CALL_SECONDS + driver.timing.max_lease_seconds
    while driver.now <= until:
        driver.step()
        assert driver.run_count(key) <= 1
    assert driver.run_count(key) == 1


@pytest.mark.parametrize("take_over", [False, True])
def test_runs_on_a_vm_that_is_down_do_not_wait_for_their_lease(take_over):
    driver = Driver(work_ms=lambda key: None)
    driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    endpoint_id = next(id for id, one in driver.endpoints.items() if one.running)
    other = E1 if endpoint_id == E0 else E0
    driver.unreachable.add(endpoint_id)
    driver.endpoints[endpoint_id].running.clear()
    if take_over:
        down = driver.endpoints.pop(endpoint_id)
        driver.take_over()
        driver.endpoints[endpoint_id] = down
    # Until then, starts of the former coordinator may reach the next incarnation.
    late_until = driver.now + LATE_CALL_SECONDS if take_over else driver.now
    key = TaskKey(JobId("a"), 0, 0, 0)
    while True:
        driver.step()
        asked_at = driver.now + 0.1
        driver.engine.end_down_incarnations(frozenset([other]), asked_at, driver.now)
        if asked_at >= late_until:
            break
        assert driver.run_count(key) == 0
    driver.step()
    driver.step()
    assert driver.run_count(key) == 1


def test_an_answering_endpoint_takes_precedence_over_the_vm_list():
    driver = Driver(work_ms=lambda key: None)
    driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    driver.engine.end_down_incarnations(frozenset(), driver.now + 0.1, driver.now)
    for _ in range(3):
        driver.step()
    assert sum(len(one.started) for one in driver.endpoints.values()) == 1


def test_a_cancelled_job_stops_and_does_not_start_again():
    driver = Driver(work_ms=lambda key: None)
    row = driver.engine.submit(job("a", Step(3, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    driver.engine.cancel(row, driver.now)
    for _ in range(20):
        driver.step()
    assert stored_state(driver, "a") is JobState.CANCELLED
    assert not any(one.running for one in driver.endpoints.values())
    assert sum(len(one.started) for one in driver.endpoints.values()) == 3


def test_a_job_cancelled_while_its_start_is_stored_is_not_started():
    driver = Driver()
    row = driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.poll_endpoints()
    driver.engine.tick(driver.now, 0)
    batch = driver.engine.take_batch()
    assert batch.starts
    driver.engine.cancel(row, driver.now)
    assert driver.engine.batch_stored(batch, driver.now) == []


def test_a_new_incarnation_numbers_its_ends_anew():
    driver = Driver(count=1)
    driver.engine.submit(job("a", Step(2, TASK)), driver.now)
    run_until(driver, lambda: stored_state(driver, "a") is JobState.COMPLETED)
    driver.step()
    driver.restart_endpoint(E0)
    driver.engine.submit(job("b", Step(2, TASK)), driver.now)
    run_until(driver, lambda: stored_state(driver, "b") is JobState.COMPLETED)
    driver.step()
    assert driver.endpoints[E0].acknowledged == 2


def test_an_incarnation_seen_first_in_a_poll_ends_the_old_one():
    driver = Driver(count=1, work_ms=lambda key: None)
    driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    before = driver.endpoints[E0]
    driver.endpoints[E0] = type(before)(before.born_ms + 1, before.work_ms)
    for _ in range(10):
        driver.step()
    assert driver.run_count(TaskKey(JobId("a"), 0, 0, 0)) == 1


def test_a_draining_endpoint_gets_no_new_runs_and_its_lasting_tasks_move():
    driver = Driver(work_ms=lambda key: None)
    driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    endpoint_id = next(id for id, one in driver.endpoints.items() if one.running)
    driver.engine.update_listing(listing(endpoint_id, 1, draining=True), driver.now)
    for _ in range(20):
        driver.step()
    assert not driver.endpoints[endpoint_id].running
    assert driver.run_count(TaskKey(JobId("a"), 0, 0, 0)) == 1


def test_max_per_endpoint_limits_the_tasks_of_a_step():
    driver = Driver(work_ms=lambda key: None)
    step = Step(4, Size(100, 100, 0), lasting=True, max_per_endpoint=1)
    driver.engine.submit(job("a", step), driver.now)
    for _ in range(10):
        driver.step()
    assert [len(one.running) for one in driver.endpoints.values()] == [1, 1]


def test_a_label_that_no_endpoint_has_keeps_a_task_waiting():
    driver = Driver()
    driver.engine.submit(job("a", Step(1, TASK, required_label="b")), driver.now)
    for _ in range(10):
        driver.step()
    assert stored_state(driver, "a") is JobState.QUEUED


def test_filling_tasks_take_memory_but_no_cpu_capacity():
    driver = Driver(count=1, work_ms=lambda key: None)
    step = Step(8, Size(4000, 1000, 0), lasting=True, fills=True)
    driver.engine.submit(job("a", step), driver.now)
    driver.engine.submit(job("b", Step(1, TASK, lasting=True)), driver.now)
    for _ in range(5):
        driver.step()
    assert len(driver.endpoints[E0].running) == 8


def test_a_gang_starts_together_under_one_attempt_or_not_at_all():
    driver = Driver()
    driver.engine.submit(job("a", Step(9, TASK, gang=True)), driver.now)
    driver.engine.submit(job("b", Step(6, TASK, gang=True)), driver.now)
    driver.step()
    started = [run_key for one in driver.endpoints.values() for run_key in one.started]
    assert {run_key[0].job for run_key in started} == {"b"}
    assert len(started) == 6
    assert {run_key[1] for run_key in started} == {1}


def test_occurrences_start_when_they_are_due():
    driver = Driver()
    timed = job("a", Step(1, TASK))
    due = int(driver.now * 1000) + 1000
    timed = type(timed)(
        timed.id, timed.queue, timed.pool, timed.team, "p", timed.steps, 0, 2, due, 500
    )
    driver.engine.submit(timed, driver.now)
    starts: dict[int, float] = {}
    for _ in range(40):
        driver.step()
        for one in driver.endpoints.values():
            for key, _ in one.started:
                starts.setdefault(key.occurrence, driver.now * 1000)
    assert starts[0] >= due
    assert starts[1] >= due + 500
    assert stored_state(driver, "a") is JobState.COMPLETED


@pytest.mark.parametrize(
    ("outcome", "again"),
    [
        (StartOutcome.NO_ROOM, False),
        (StartOutcome.UNHEALTHY, False),
        (StartOutcome.NOT_SENT, False),
        (StartOutcome.LEASE_EXPIRED, False),
        (StartOutcome.UNKNOWN, True),
    ],
)
def test_refused_starts_free_their_room_and_unknown_ones_keep_it(outcome, again):
    driver = Driver(count=1)
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.poll_endpoints()
    driver.engine.tick(driver.now, 0)
    batch = driver.engine.take_batch()
    (run,) = driver.engine.batch_stored(batch, driver.now)
    endpoint = run.endpoint
    assert driver.engine.start_answered(run, outcome, 1, 0, driver.now) is again
    assert bool(endpoint.runs) is again


def test_a_refusal_of_a_repeated_start_does_not_free_its_room():
    driver = Driver(count=1)
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.poll_endpoints()
    driver.engine.tick(driver.now, 0)
    (run,) = driver.engine.batch_stored(driver.engine.take_batch(), driver.now)
    driver.engine.start_answered(run, StartOutcome.UNKNOWN, 1, 0, driver.now)
    driver.engine.start_answered(run, StartOutcome.LEASE_EXPIRED, 2, 0, driver.now)
    assert run.endpoint.runs


def test_no_task_is_assigned_before_the_endpoint_confirms_the_token():
    driver = Driver(count=1)
    driver.engine.submit(job("a", Step(1, TASK)), driver.now)
    driver.engine.tick(driver.now, 0)
    assert driver.engine.take_batch().starts == []
    driver.poll_endpoints()
    driver.engine.tick(driver.now, 0)
    assert len(driver.engine.take_batch().starts) == 1


def test_a_report_requested_before_a_start_does_not_end_its_run():
    driver = Driver(count=1, work_ms=lambda key: None)
    driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    driver.step()
    (endpoint,) = driver.engine.endpoints.values()
    (run,) = endpoint.runs.values()
    assert run.confirmed_at == driver.now
    before = PollReport(1, int(driver.endpoints[E0].clock_ms), (), ())
    driver.engine.poll_answered(endpoint, before, driver.now - 0.5, driver.now)
    assert endpoint.runs
    driver.engine.poll_answered(endpoint, before, driver.now + 0.5, driver.now + 1)
    assert not endpoint.runs


def test_a_done_task_stays_done_after_a_takeover():
    driver = Driver(work_ms=lambda key: 300.0 if key.index == 0 else 1500.0)
    driver.engine.submit(job("a", Step(2, TASK)), driver.now)
    key = TaskKey(JobId("a"), 0, 0, 0)
    run_until(
        driver,
        lambda: any(one.acknowledged for one in driver.endpoints.values()),
    )
    driver.take_over()
    run_until(driver, lambda: stored_state(driver, "a") is JobState.COMPLETED)
    starts = [run_key for one in driver.endpoints.values() for run_key in one.started]
    assert sum(1 for run_key in starts if run_key[0] == key) == 1


def test_an_occurrence_that_is_known_but_not_due_does_not_start():
    driver = Driver()
    plain = job("a", Step(1, TASK))
    due = int(driver.now * 1000) + 5000
    row = driver.engine.submit(
        Job(plain.id, plain.queue, plain.pool, plain.team, "p", plain.steps, 0, 2, due),
        driver.now,
    )
    row.open_occurrence(1)
    for _ in range(5):
        driver.step()
    assert not any(one.started for one in driver.endpoints.values())


@pytest.mark.parametrize("take_over", [False, True])
def test_a_job_that_ended_long_ago_is_dropped_from_memory_and_store(take_over):
    driver = Driver()
    driver.engine.submit(job("a", Step(2, TASK)), driver.now)
    driver.engine.submit(job("b", Step(1, TASK, lasting=True)), driver.now)
    driver.work_ms = lambda key: None
    run_until(driver, lambda: stored_state(driver, "a") is JobState.COMPLETED)
    driver.step()
    if take_over:
        driver.take_over()
    driver.step(int(RETENTION_SECONDS * 1000) - 500)
    assert stored_state(driver, "a") is JobState.COMPLETED
    driver.step(1000)
    driver.step()
    assert JobId("a") not in driver.engine.jobs
    assert {key.partition(":")[2] for key in driver.store} == {"b"}


def test_an_ended_job_is_kept_while_its_end_is_not_stored():
    driver = Driver(work_ms=lambda key: None)
    row = driver.engine.submit(job("a", Step(1, TASK, lasting=True)), driver.now)
    driver.step()
    driver.step()
    driver.engine.cancel(row, driver.now)
    for _ in range(5):
        driver.step(int(RETENTION_SECONDS * 1000), store_up=False)
    assert JobId("a") in driver.engine.jobs
    for _ in range(5):
        driver.step(int(RETENTION_SECONDS * 1000))
    assert JobId("a") not in driver.engine.jobs
    assert driver.store == {}


def test_a_new_term_knows_the_arrivals_and_shares_of_recent_jobs():
    driver = Driver()
    for number in range(12):
        driver.now += 0.1
        new = job(f"a{number}", Step(2, TASK, estimate_ms=1000))
        if number % 2:
            # Teams that the configuration doesn't name have no share.
            new = msgspec.structs.replace(new, team=TeamId("other"))
        driver.engine.submit(new, driver.now)
    rows = [
        JobRow(row.job, row.accepted_at) for row in driver.engine.open_jobs.values()
    ]
    former = driver.engine
    assert {row.over_share for row in former.open_jobs.values()} == {False, True}
    assert former.arrivals.offered_load(POOL, driver.now) != ZERO
    engine = Engine(driver.cfg, driver.engine.timing, driver.now, driver.wall_ms)
    engine.restore(reversed(rows))
    for row in rows:
        assert row.over_share == former.jobs[row.job.id].over_share
    assert engine.arrivals.offered_load(POOL, driver.now) == (
        former.arrivals.offered_load(POOL, driver.now)
    )


def test_old_jobs_of_a_former_term_count_as_no_arrivals():
    driver = Driver()
    rows = [JobRow(job(f"a{number}", Step(1, TASK)), 0.0) for number in range(3)]
    driver.engine.restore(rows)
    assert not any(row.over_share for row in rows)
    assert driver.engine.arrivals.offered_load(POOL, 0.0) == ZERO


# Guards against runs that are given up, and started again, because their ends did not
# fit into the report of an endpoint that had been out of reach (review case 4).
@pytest.mark.parametrize("takes_over", [False, True])
@pytest.mark.parametrize("store_up", [False, True])
def test_runs_whose_ends_are_beyond_a_full_report_are_not_started_again(
    takes_over, store_up
):
    driver = Driver(count=1, cfg=configuration(attempts=1))
    fake = driver.endpoints[E0]
    fake.ends_per_report = 2
    small = Size(100, 100, 0)
    driver.engine.submit(job("a", Step(9, small)), driver.now)
    run_until(driver, lambda: len(fake.running) == 9)
    driver.unreachable = {E0}
    run_until(driver, lambda: len(fake.ends) == 9)
    driver.unreachable = set()
    if takes_over:
        driver.take_over()
    for _ in range(5):
        driver.step(store_up=store_up)
    run_until(driver, lambda: stored_state(driver, "a") is JobState.COMPLETED)
    assert len(fake.started) == 9


def test_a_run_missing_from_a_report_with_all_ends_is_started_again():
    driver = Driver(count=1)
    fake = driver.endpoints[E0]
    fake.ends_per_report = 2
    driver.engine.submit(job("a", Step(5, TASK)), driver.now)
    run_until(driver, lambda: len(fake.running) == 4)
    forgotten = next(iter(fake.running))
    del fake.running[forgotten]
    run_until(driver, lambda: stored_state(driver, "a") is JobState.COMPLETED)
    assert [key for key, _ in fake.started].count(forgotten[0]) == 2
