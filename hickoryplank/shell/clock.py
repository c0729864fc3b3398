"""Clocks, behind an interface that tests can replace."""

import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "MonotonicClock", "wall_ms"]


def wall_ms() -> int:
    """Return the wall-clock time in Unix milliseconds, which may jump."""
    return time.time_ns() // 1_000_000


class Clock(ABC):
    """A monotonic clock."""

    @abstractmethod
    def now(self) -> float:
        """Return the time in seconds."""


class MonotonicClock(Clock):
    """The time since the machine was booted.

    It advances while the process or the machine is suspended, so that a node
    detects afterwards that its view is stale.
    """

    def now(self) -> float:
        """Return the time in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
