"""Measures whether the VM of an entry runs slower than it did."""

import statistics
from collections import deque
from collections.abc import Callable

import anyio

from hickoryplank.shell.clock import Clock

__all__ = ["SpeedMonitor", "run_fixed_work"]

#: Time between two measurements while this entry is coordinator, in seconds.
HOLDER_INTERVAL_SECONDS = 0.2
#: Time between two measurements otherwise, in seconds.
IDLE_INTERVAL_SECONDS = 1.0
#: Number of measurements of which the median counts. One that was interrupted doesn't
#: change it.
WINDOW = 5
#: Relative speed from which a VM counts as running at full speed. Other load on its
#: host changes the speed less than that.
FULL_SPEED_FRACTION = 0.4
#: Iterations of the work that is timed: about a tenth of a millisecond.
_ITERATIONS = 5000


def run_fixed_work() -> None:
    """Run the work that is timed."""
    sum(range(_ITERATIONS))


class SpeedMonitor:
    """Speed of this VM relative to the fastest that was measured.

    It is measured by the duration of fixed work, which unlike the delay of the event
    loop does not grow with the load of this process.
    """

    def __init__(self, clock: Clock, work: Callable[[], None] = run_fixed_work):
        self._clock = clock
        self._work = work
        self._durations: deque[float] = deque(maxlen=WINDOW)
        self._shortest_s = float("inf")

    def measure(self) -> None:
        """Time the fixed work once."""
        started_at = self._clock.now()
        self._work()
        self._durations.append(self._clock.now() - started_at)
        if len(self._durations) == WINDOW:
            self._shortest_s = min(self._shortest_s, self._median_s())

    def relative_speed(self) -> float:
        """Return the present speed; 1 at full speed, and until enough was measured."""
        if len(self._durations) < WINDOW:
            return 1.0
        median_s = self._median_s()
        relative = self._shortest_s / median_s if median_s else 1.0
        return 1.0 if relative >= FULL_SPEED_FRACTION else relative

    def measure_anew(self) -> float:
        """Return the relative speed by new measurements alone."""
        for _ in range(WINDOW):
            self.measure()
        return self.relative_speed()

    def _median_s(self) -> float:
        return statistics.median(self._durations)

    async def run(self, is_holder: Callable[[], bool]) -> None:
        """Measure until cancelled; rarely while the speed matters to nobody else.

        :param is_holder: returns whether this entry is coordinator.
        """
        while True:
            self.measure()
            await anyio.sleep(
                HOLDER_INTERVAL_SECONDS if is_holder() else IDLE_INTERVAL_SECONDS
            )
