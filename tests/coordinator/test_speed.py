"""Tests of the measured speed of a VM."""

import pytest

from hickoryplank.coordinator.speed import WINDOW, SpeedMonitor, run_fixed_work
from hickoryplank.shell.clock import MonotonicClock


class FakeClock:
    """A clock that advances while the work runs."""

    def __init__(self):
        self.time = 0.0

    def now(self) -> float:
        return self.time


def speed_after(*durations_ms: float) -> float:
    """Return the relative speed after work of the given durations."""
    clock = FakeClock()
    left = list(durations_ms)

    def work() -> None:
        clock.time += left.pop(0) / 1000

    monitor = SpeedMonitor(clock, work)
    for _ in durations_ms:
        monitor.measure()
    return monitor.relative_speed()


FAST = (0.1,) * WINDOW


@pytest.mark.parametrize(
    ("durations_ms", "speed"),
    [
        ((), 1.0),
        ((0.8, 0.8), 1.0),
        ((*FAST, 0.8, 0.8), 1.0),
        ((*FAST, 0.8, 0.8, 0.8), 0.125),
        ((*FAST, 0.8, 9.0, 0.8), 0.125),
        ((*FAST, 0.2, 0.2, 0.2), 1.0),
        ((*FAST, 0.8, 0.8, 0.8, *FAST), 1.0),
        ((0.8,) * WINDOW + FAST, 1.0),
        ((0.0,) * WINDOW, 1.0),
    ],
)
def test_speed_is_relative_to_the_fastest_time(durations_ms, speed):
    assert speed_after(*durations_ms) == pytest.approx(speed)


def test_real_work_gives_a_speed():
    monitor = SpeedMonitor(MonotonicClock(), run_fixed_work)
    for _ in range(3 * WINDOW):
        monitor.measure()
    assert 0.0 < monitor.relative_speed() <= 1.0
