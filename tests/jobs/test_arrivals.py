"""Tests of the load estimated from arriving jobs."""

import msgspec
import pytest

from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.arrivals import (
    ENOUGH_ARRIVALS,
    MIN_WINDOW_SECONDS,
    WINDOW_SECONDS,
    ArrivalRates,
)
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.sizes import ZERO, Size
from tests.jobs.driver import POOL, TASK, job

CASES = [
    # (tasks of each job, run time in ms, arrival times, time of the query, used cores)
    (1, 800, [0.0], 0.0, 0.0),
    (1, 800, [0.0, 0.1], 0.1, 1.0),
    (4, 800, [0.0, 0.1], 0.1, 4.0),
    (1, 1600, [0.0, 0.4, 0.5], 0.5, 4.0),
    (1, 800, [0.0, 0.4, 0.5], WINDOW_SECONDS + 0.1, 1.0),
    (1, 800, [0.0, 0.4, 0.5], 3 * WINDOW_SECONDS, 0.0),
]


@pytest.mark.parametrize("count, run_ms, arrivals, asked_at, cores", CASES)
def test_arrivals_are_converted_to_concurrent_load(
    count, run_ms, arrivals, asked_at, cores
):
    rates = ArrivalRates()
    for number, at in enumerate(arrivals):
        step = Step(count, TASK, estimate_ms=run_ms)
        rates.add_job(job(str(number), step), at)
    expected = Size(int(1000 * cores), int(1000 * cores))
    assert rates.offered_load(POOL, asked_at) == expected


@pytest.mark.parametrize("jobs_per_s", [40, 100])
def test_many_arrivals_show_a_new_rate_before_the_window_is_full(jobs_per_s):
    rates = ArrivalRates()
    for number in range(10):
        rates.add_job(job(f"a{number}", Step(1, TASK, estimate_ms=1000)), -number)
    for number in range(ENOUGH_ARRIVALS):
        step = Step(1, TASK, estimate_ms=1000)
        rates.add_job(job(f"b{number}", step), number / jobs_per_s)
    since_start_s = (ENOUGH_ARRIVALS - 1) / jobs_per_s
    load = rates.offered_load(POOL, since_start_s)
    expected_per_s = min(jobs_per_s, (ENOUGH_ARRIVALS - 1) / MIN_WINDOW_SECONDS)
    assert load.cpu == pytest.approx(1000 * expected_per_s, rel=0.01)


def test_arrivals_are_counted_by_pool():
    rates = ArrivalRates()
    other = msgspec.structs.replace(job("a", Step(1, TASK)), pool=PoolId("b"))
    for _ in range(3):
        rates.add_job(other, 0.0)
    assert rates.offered_load(POOL, 0.0) == ZERO
    assert rates.offered_load(other.pool, 0.0) != ZERO


def test_the_largest_job_does_not_count_towards_the_rate():
    rates = ArrivalRates()
    rates.add_job(job("a", Step(50, TASK, estimate_ms=4000)), 0.0)
    rates.add_job(job("b", Step(1, TASK, estimate_ms=800)), 0.0)
    assert rates.offered_load(POOL, 0.0) == Size(1000, 1000)


@pytest.mark.parametrize(
    ("growth", "lead_s", "replaced"),
    [(0.0, 1.0, 0.25), (1.0, 1.0, 0.25), (1.0, 2.0, 0.5), (1.0, 4.0, 1), (1.0, 8.0, 1)],
)
@pytest.mark.parametrize("present_cores", [0, 20, 90, 400])
def test_a_growing_rate_adds_load_as_fast_as_jobs_replace_each_other(
    growth, lead_s, replaced, present_cores
):
    rates = ArrivalRates()
    at = 0.0
    for number in range(30):
        at += 1 / (10 + growth * number)
        rates.add_job(job(str(number), Step(1, TASK, estimate_ms=4000)), at)
    present = 1000 * present_cores
    load = rates.expected_load(POOL, Size(present, present), at, lead_s)
    steady = rates.offered_load(POOL, at).cpu
    final = rates.offered_load(POOL, at, lead_s).cpu
    assert (final > steady) == bool(growth)
    grown = present + (final - present) * replaced
    assert load.cpu == pytest.approx(max(present, steady, grown), abs=2)


def test_load_of_a_pool_without_arrivals_is_expected_to_stay():
    assert ArrivalRates().expected_load(POOL, TASK, 0.0, 1.7) == TASK
