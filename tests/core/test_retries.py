"""Tests of retries, hedged requests, deadlines and run times."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryplank.core.placement import RunResult
from hickoryplank.core.retries import (
    FIRST_TOKENS,
    LONGEST_BACKOFF_SECONDS,
    MAX_TOKENS,
    TOKENS_PER_ATTEMPT,
    GiveUp,
    GiveUpReason,
    Retry,
    RetryBudget,
    backoff_seconds,
    hedge_at,
    next_attempt,
    time_left,
)
from hickoryplank.core.run_times import RunTimeEstimate, RunTimeTable
from tests.core.test_queues import work


def attempt(item, result=RunResult.FAILED, budget=None, now=0.0):
    return next_attempt(item, result, 0, budget or RetryBudget(), now, 0.5)


def non_idempotent(item):
    return type(item)(
        **{**{f: getattr(item, f) for f in item.__struct_fields__}, "idempotent": False}
    )


@pytest.mark.parametrize(
    ("item", "result", "now", "expected"),
    [
        (work("r"), RunResult.FAILED, 1.0, Retry(1.025)),
        (work("r"), RunResult.SILENT, 1.0, Retry(1.025)),
        (work("r", deadline=1.02), RunResult.FAILED, 1.0, GiveUp(GiveUpReason.NO_TIME)),
        (
            non_idempotent(work("r")),
            RunResult.FAILED,
            1.0,
            GiveUp(GiveUpReason.NOT_IDEMPOTENT),
        ),
        (
            non_idempotent(work("r")),
            RunResult.SILENT,
            1.0,
            GiveUp(GiveUpReason.NOT_IDEMPOTENT),
        ),
        (
            non_idempotent(work("r")),
            RunResult.STOPPED,
            1.0,
            GiveUp(GiveUpReason.NOT_IDEMPOTENT),
        ),
        (non_idempotent(work("r")), RunResult.BUSY, 1.0, Retry(1.025)),
    ],
)
def test_result_decides_whether_to_retry(item, result, now, expected):
    assert attempt(item, result, now=now) == expected


@given(st.lists(st.tuples(st.sampled_from("ab"), st.booleans()), max_size=400))
def test_extra_attempts_stay_a_fixed_part_of_the_load(calls):
    budget, firsts, extras = RetryBudget(), {"a": 0, "b": 0}, {"a": 0, "b": 0}
    for team, first in calls:
        if first:
            budget.note_attempt("p", team)
            firsts[team] += 1
        else:
            extras[team] += budget.take("p", team)
    for team in "ab":
        assert extras[team] <= FIRST_TOKENS + TOKENS_PER_ATTEMPT * firsts[team] + 1e-6


def test_idle_time_accumulates_a_bounded_number_of_tokens():
    budget = RetryBudget()
    for _ in range(10_000):
        budget.note_attempt("p", "a")
    taken = sum(budget.take("p", "a") for _ in range(10_000))
    assert taken == MAX_TOKENS
    assert attempt(work("r", "a"), budget=budget) == GiveUp(GiveUpReason.NO_BUDGET)


@given(st.integers(0, 5000), st.floats(0, 1))
def test_backoff_is_bounded(retry, jitter):
    assert 0 <= backoff_seconds(retry, jitter) <= LONGEST_BACKOFF_SECONDS


@pytest.mark.parametrize(
    ("item", "expected"),
    [
        (work("r"), 11.5),
        (non_idempotent(work("r")), None),
        (work("r", deadline=11.0), None),
    ],
)
def test_only_idempotent_work_with_time_left_is_hedged(item, expected):
    assert hedge_at(item, 10.0, RunTimeEstimate(p95=1.0, observed=20)) == expected
    assert hedge_at(item, 10.0, RunTimeEstimate(p95=1.0, observed=19)) is None


@given(st.floats(0, 200))
def test_time_left_never_passes_the_deadline(now):
    assert 0 <= time_left(work("r"), now) <= max(100.0 - now, 0.0)


@given(st.floats(0.002, 50))
def test_run_times_follow_a_change_by_ten(seconds):
    times = RunTimeTable()
    for value in [seconds] * 100 + [seconds * 10] * 200:
        times.observe("q", value)
    row = times.of("q")
    assert row.mean == pytest.approx(seconds * 10, rel=0.05)
    assert row.p95 == pytest.approx(seconds * 10, rel=0.3)
