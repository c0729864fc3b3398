"""Tests of the shortest run times of tasks."""

import pytest

from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.run_times import WINDOW_SECONDS, RunTimes

POOL = PoolId("a")


@pytest.mark.parametrize(
    ("noted", "at", "expected"),
    [
        ([], 0.0, None),
        ([(0.0, 1.0)], 1.0, 1.0),
        ([(0.0, 1.0), (1.0, 0.5), (2.0, 2.0)], 3.0, 0.5),
        ([(0.0, 0.5), (WINDOW_SECONDS + 1, 2.0)], WINDOW_SECONDS + 2, 0.5),
        ([(0.0, 0.5)], WINDOW_SECONDS + 1, 0.5),
        ([(0.0, 0.5), (WINDOW_SECONDS + 1, 2.0)], 2 * WINDOW_SECONDS + 2, 2.0),
        ([(0.0, 0.5)], 2 * WINDOW_SECONDS + 1, None),
    ],
)
def test_run_times_count_for_one_window_to_two(noted, at, expected):
    run_times = RunTimes()
    for now, run_s in noted:
        run_times.note_done(POOL, run_s, now)
    assert run_times.shortest(POOL, at) == expected
    assert run_times.shortest(PoolId("b"), at) is None
