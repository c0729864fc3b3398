"""Tests of the plan that decides which jobs to delay when there is too little room."""

from itertools import combinations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.jobs.shortage import (
    FILLED_FRACTION,
    PoolSupply,
    WaitingJob,
    plan_service,
)
from hickoryplank.jobs.sizes import Size

SUPPLY = PoolSupply(Size(1000, 0, 0))


def waiting(key, end_s, needs_s, priority=0, waited_s=0.0, path_s=0.1):
    return WaitingJob(key, priority, end_s, path_s, needs_s, waited_s, 2.0)


@pytest.mark.parametrize(
    "jobs, in_time, delayed",
    [
        pytest.param(
            [waiting("a", 2.0, 0.5), waiting("b", 1.0, 0.5)],
            ["b", "a"],
            [],
            id="enough room: by objective",
        ),
        pytest.param(
            [
                waiting("big", 1.0, 0.9),
                waiting("s1", 1.1, 0.5),
                waiting("s2", 1.2, 0.5),
            ],
            ["s1", "s2"],
            ["big"],
            id="one large job is delayed for two small ones",
        ),
        pytest.param(
            [waiting("low", 1.0, 0.2, priority=1), waiting("high", 1.0, 0.9)],
            ["high"],
            ["low"],
            id="priority goes before work",
        ),
        pytest.param(
            [waiting("gone", 0.5, 0.1, path_s=0.9), waiting("a", 1.0, 0.9)],
            ["a"],
            ["gone"],
            id="a job that can't meet its objective takes no room from others",
        ),
        pytest.param(
            [waiting("new", 1.0, 0.7), waiting("old", 1.0, 0.8, waited_s=2.0)],
            ["old"],
            ["new"],
            id="a job counts for less work the longer it waits",
        ),
        pytest.param([], [], [], id="no job"),
    ],
)
def test_the_delays_that_cost_least_are_chosen(jobs, in_time, delayed):
    plan = plan_service(jobs, SUPPLY, busy_seconds=0.0)
    assert plan.order == in_time + delayed
    assert plan.in_time == len(in_time)


@pytest.mark.parametrize("large_count", [2, 5, 10])
def test_the_largest_jobs_keep_a_least_share(large_count):
    small = [waiting(f"s{n}", 2.0, 0.5 / large_count) for n in range(9 * large_count)]
    large = [waiting(f"l{n}", 2.0, 1.0 / large_count) for n in range(large_count)]
    plan = plan_service(small + large, SUPPLY, busy_seconds=0.0)
    first = plan.order[: plan.in_time]
    small_share = sum(key.startswith("s") for key in first) / len(small)
    large_share = sum(key.startswith("l") for key in first) / len(large)
    assert 0 < small_share < 1
    assert large_share >= 0.5 * small_share


@pytest.mark.parametrize(
    "present, joining, work_s, end_s",
    [(1000, 0, 1.0, 1.0), (500, 500, 0.4, 0.8), (500, 500, 1.0, 1.5), (0, 1000, 1, 2)],
)
def test_joining_vms_add_room_only_once_they_have_joined(
    present, joining, work_s, end_s
):
    supply = PoolSupply(Size(present), Size(joining), join_s=1.0)
    assert supply.ends_after_s(work_s) == pytest.approx(end_s)


def test_the_scarcest_resource_decides():
    supply = PoolSupply(Size(1000, 100, 0))
    work = Size(1000 * 1000, 200 * 1000, 0)
    assert supply.pool_seconds(work) == pytest.approx(2 / FILLED_FRACTION)
    assert supply.pool_seconds(Size(0, 0, 1)) == float("inf")


jobs_strategy = st.lists(
    st.tuples(
        st.floats(-1, 10), st.floats(0.01, 3), st.integers(0, 2), st.floats(0, 10)
    ),
    max_size=40,
).map(lambda rows: [waiting(n, e, w, p, a) for n, (e, w, p, a) in enumerate(rows)])


@given(jobs_strategy, st.floats(0, 5))
def test_every_job_is_served_once_and_those_in_time_end_by_their_objective(jobs, busy):
    plan = plan_service(jobs, SUPPLY, busy)
    assert sorted(plan.order) == [job.key for job in jobs]
    by_key = {job.key: job for job in jobs}
    for key in plan.order[: plan.in_time]:
        assert plan.end_s[key] <= by_key[key].latest_end_s + 1e-6


@given(
    st.lists(st.tuples(st.floats(0.2, 4), st.floats(0.05, 2)), max_size=7),
    st.floats(0, 1),
)
def test_among_few_equal_callers_as_many_as_possible_are_in_time(rows, busy):
    jobs = [waiting(n, end_s, needs_s) for n, (end_s, needs_s) in enumerate(rows)]
    most = max(
        len(chosen)
        for count in range(len(jobs) + 1)
        for chosen in combinations(jobs, count)
        if _all_in_time(chosen, busy)
    )
    assert plan_service(jobs, SUPPLY, busy).in_time == most


def _all_in_time(jobs, busy):
    load = busy
    for job in sorted(jobs, key=lambda one: one.latest_end_s):
        load += job.pool_seconds
        if load > job.latest_end_s:
            return False
    return True


@pytest.mark.parametrize("supply", [PoolSupply(Size(0)), PoolSupply(Size(0), Size(9))])
def test_a_pool_without_room_plans_jobs_without_work(supply):
    plan = plan_service([waiting("a", 2.0, 0.0)], supply, busy_seconds=0.0)
    assert plan.order == ["a"]


def test_a_job_that_the_pool_has_no_room_for_takes_none_from_others():
    """Its priority is the highest, and others exceed the room without it."""
    jobs = [
        waiting("never", 1.0, float("inf")),
        waiting("s1", 1.1, 0.5, priority=1),
        waiting("s2", 1.2, 0.5, priority=1),
        waiting("s3", 1.2, 0.5, priority=1),
    ]
    plan = plan_service(jobs, SUPPLY, busy_seconds=0.0)
    assert plan.in_time == 2
    assert plan.put_back == 1
    assert plan.end_s["never"] == float("inf")
    assert max(plan.end_s[key] for key in ("s1", "s2", "s3")) == pytest.approx(1.5)


def test_callers_that_returned_are_planned_before_all_others():
    back = WaitingJob("back", 1, 1.0, 0.1, 2.0, 0.0, 1.0, returned=True)
    jobs = [waiting("s1", 1.0, 0.5), back, waiting("s2", 2.6, 0.5)]
    plan = plan_service(jobs, SUPPLY, busy_seconds=0.0)
    assert plan.order == ["back", "s2", "s1"]
    assert (plan.in_time, plan.put_back) == (1, 1)
    assert plan.end_s == pytest.approx({"back": 2.0, "s2": 2.5, "s1": 3.0})
