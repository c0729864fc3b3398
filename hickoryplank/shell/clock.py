"""The process's monotonic clock, behind an interface that tests can drive."""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "MonotonicClock", "wall_ms"]


def wall_ms() -> int:
    """Return the time of day in Unix milliseconds; it may jump."""
    return time.time_ns() // 1_000_000


class Clock(ABC):
    """A clock that only runs forward."""

    @abstractmethod
    def now(self) -> float:
        """Return the reading in seconds."""


class MonotonicClock(Clock):
    """The machine's clock since boot.

    It goes on while the process is paused, so a paused node finds itself stale.
    """

    def now(self) -> float:
        """Return the reading in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
