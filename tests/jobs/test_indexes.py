"""Tests that what the engine keeps in step with its tables equals a plain count."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.core.ids import EndpointId, JobId
from hickoryplank.jobs.endpoints import Endpoint, Run
from hickoryplank.jobs.model import Step, TaskKey
from hickoryplank.jobs.ordering import critical_path_ms, sort_jobs
from hickoryplank.jobs.placement import PoolRoom, choose_endpoint, has_room_for
from hickoryplank.jobs.sizes import ZERO, Size
from hickoryplank.jobs.table import JobRow, StepRow
from tests.jobs.driver import TASK, TEAM, Driver, job, listing

SIZES = st.builds(Size, st.integers(0, 5000), st.integers(0, 9000), st.integers(0, 1))
STEPS = st.builds(
    Step,
    st.integers(1, 4),
    SIZES,
    affinity=st.sampled_from(["", "r1", "r2"]),
    required_label=st.sampled_from(["", "a", "b"]),
    max_per_endpoint=st.integers(0, 2),
    lasting=st.booleans(),
    fills=st.booleans(),
    target_ms=st.sampled_from([0, 50]),
)


def plain_cost(endpoint: Endpoint, step: Step) -> tuple:
    """Return the sort key of an endpoint, by a count of all its runs."""
    far = bool(step.affinity) and step.affinity not in endpoint.listing.labels
    runs = endpoint.runs.values()
    used = ZERO
    for run in runs:
        used = used.plus(run.counted_size)
    free_cpu = endpoint.listing.capacity.minus(used).cpu
    if step.fills:
        return (far, sum(bool(run.step.target_ms) for run in runs), -free_cpu)
    if step.lasting:
        filling = sum(run.step.fills for run in runs)
        return (endpoint.maintenance_due, far, filling, free_cpu)
    return (far, free_cpu)


def endpoints_with_runs(placed: list[list[Step]]) -> list[Endpoint]:
    endpoints = []
    for number, steps in enumerate(placed):
        endpoint = Endpoint(listing(EndpointId(f"e{number}"), 1), 0.0)
        endpoint.maintenance_due = number % 3 == 0
        for index, step in enumerate(steps):
            key = TaskKey(JobId(f"other{number}"), 0, 0, index)
            endpoint.add(Run(key, 1, step, TEAM, endpoint))
        endpoints.append(endpoint)
    return endpoints


@given(st.lists(st.lists(STEPS, max_size=4), max_size=6), STEPS, st.integers(0, 5))
def test_the_best_endpoint_is_that_of_a_plain_search(placed, step, avoided):
    endpoints = endpoints_with_runs(placed)
    row = StepRow(JobId("a"), 0, 0, step)
    avoid = frozenset([EndpointId(f"e{avoided}")])
    fitting = [one for one in endpoints if has_room_for(one, row)]
    others = [one for one in fitting if one.id not in avoid]
    expected = min(
        others or fitting, key=lambda one: plain_cost(one, step), default=None
    )
    assert choose_endpoint(endpoints, row, avoid) is expected


@given(st.lists(st.lists(STEPS, max_size=4), max_size=6), STEPS)
def test_a_pool_said_to_be_full_has_no_room_on_any_endpoint(placed, step):
    endpoints = endpoints_with_runs(placed)
    row = StepRow(JobId("a"), 0, 0, step)
    if not PoolRoom(endpoints).may_hold(step):
        assert not any(has_room_for(one, row) for one in endpoints)


def assert_counts_match(driver: Driver) -> None:
    for endpoint in driver.engine.endpoints.values():
        runs = endpoint.runs.values()
        used = lasting_used = ZERO
        for run in runs:
            used = used.plus(run.counted_size)
            if run.step.lasting:
                lasting_used = lasting_used.plus(run.counted_size)
        assert (endpoint.used, endpoint.lasting_used) == (used, lasting_used)
        assert endpoint.free == endpoint.listing.capacity.minus(used)
        assert endpoint.filling_count == sum(run.step.fills for run in runs)
        assert endpoint.lasting_count == sum(run.step.lasting for run in runs)
        assert endpoint.serving_count == sum(bool(run.step.target_ms) for run in runs)


@pytest.mark.parametrize("seed", range(8))
def test_counts_match_while_endpoints_and_coordinators_come_and_go(seed):
    rng = random.Random(seed)
    driver = Driver(4, lambda key: rng.uniform(100, 1500))
    ids = list(driver.endpoints)
    for number in range(150):
        if rng.random() < 0.3:
            size = Size(rng.choice([500, 1000, 2000]), 500, 0)
            kind = {"lasting": rng.random() < 0.2, "fills": rng.random() < 0.2}
            steps = [
                Step(rng.randint(1, 4), size, target_ms=rng.choice([0, 50]), **kind)
            ]
            if rng.random() < 0.5:
                steps.append(Step(2, TASK, after=(0,)))
            driver.engine.submit(job(f"a{number}", *steps), driver.now)
        if rng.random() < 0.05:
            driver.restart_endpoint(rng.choice(ids))
        if rng.random() < 0.1:
            driver.unreachable = {one for one in ids if rng.random() < 0.2}
        if rng.random() < 0.03:
            driver.take_over(applied=rng.random() < 0.5)
        if rng.random() < 0.05 and driver.engine.open_jobs:
            row = rng.choice(list(driver.engine.open_jobs.values()))
            driver.engine.cancel(row, driver.now)
        driver.step(store_up=rng.random() < 0.8)
        assert_counts_match(driver)


@given(
    st.lists(st.tuples(st.integers(1, 9), st.integers(1, 9)), min_size=2, max_size=5),
    st.integers(0, 40),
)
def test_kept_lengths_of_critical_paths_follow_the_steps_that_are_done(drawn, later):
    steps = tuple(
        Step(1, TASK, estimate_ms=ms * 1000, after=(number - 1,) if number else ())
        for number, (ms, _) in enumerate(drawn)
    )
    row = JobRow(job("a", *steps), 0.0)
    row.open_occurrence(0)
    driver = Driver()
    for number in range(len(steps)):
        sort_jobs([row], driver.cfg, float(later))
        done = frozenset(range(number))
        assert row.path_ms[done] == critical_path_ms(row.job, done)
        row.steps[0][number].remaining = 0
