"""A fake endpoint that follows the platform's rules for runs and leases."""

from collections.abc import Iterator

import msgspec

from hickoryplank.jobs.messages import (
    End,
    EndKind,
    PollReport,
    RunningTask,
    StartOutcome,
)
from hickoryplank.jobs.model import TaskKey

Name = tuple[TaskKey, int]


class Going(msgspec.Struct):
    """A run on the endpoint.

    :param work_left_ms: remaining run time; none for a lasting task.
    :param stopping_ms: time until a stopped run ends; none if it is not stopped.
    """

    key: TaskKey
    attempt: int
    payload: str
    work_left_ms: float | None
    checkpoint: str = ""
    stopping_ms: float | None = None
    percent: int = 0
    started_at: float = 0.0


class FakeEndpoint:
    """One incarnation of an endpoint, with a clock of its own.

    :param work_ms: function of the key of a task that returns its run time in
        milliseconds, or none for a lasting task.
    :param stop_ms: time that a run takes to stop, in milliseconds.
    """

    def __init__(self, born_ms: int, work_ms, stop_ms: float = 400.0):
        self.born_ms = born_ms
        self.clock_ms = 1000.0
        self.until_ms = 0.0
        self.token = 0
        self.running: dict[Name, Going] = {}
        self.ends: list[End] = []
        self.highest: dict[TaskKey, int] = {}
        self.acknowledged = 0
        self.number = 0
        self.work_ms = work_ms
        self.stop_ms = stop_ms
        self.failing = False
        self.started: list[Name] = []

    def start(
        self, key: TaskKey, attempt: int, payload: str, until_ms: int, token: int
    ) -> StartOutcome:
        """Handle a start."""
        if token < self.token:
            return StartOutcome.FENCED
        self.token = token
        if (key, attempt) in self.running:
            self.until_ms = max(self.until_ms, until_ms)
            return StartOutcome.STARTED
        if attempt <= self.highest.get(key, 0):
            self.until_ms = max(self.until_ms, until_ms)
            return StartOutcome.ALREADY_ENDED
        if until_ms <= self.clock_ms:
            return StartOutcome.LEASE_EXPIRED
        self.until_ms = max(self.until_ms, until_ms)
        going = Going(key, attempt, payload, self.work_ms(key))
        self.running[(key, attempt)] = going
        self.started.append((key, attempt))
        return StartOutcome.STARTED

    def stop(self, key: TaskKey, attempt: int, token: int) -> bool:
        """Handle a stop; return false if the fencing token is too low."""
        if token < self.token:
            return False
        self.token = token
        self.highest[key] = max(self.highest.get(key, 0), attempt)
        going = self.running.get((key, attempt))
        if going is not None and going.stopping_ms is None:
            going.stopping_ms = self.stop_ms
        return True

    def poll(
        self, token: int, last_seen: int, until_ms: int | None
    ) -> PollReport | None:
        """Handle a poll; return none if the fencing token is too low."""
        if token < self.token:
            return None
        self.token = token
        if until_ms is not None:
            self.until_ms = max(self.until_ms, until_ms)
        self.acknowledged = max(self.acknowledged, last_seen)
        self.ends = [end for end in self.ends if end.number > last_seen]
        running = tuple(
            RunningTask(one.key, one.attempt, one.checkpoint, one.percent, 0)
            for one in self.running.values()
        )
        return PollReport(
            self.born_ms, int(self.clock_ms), running, tuple(self.ends[:500])
        )

    def advance(self, ms: float) -> None:
        """Advance the clock, and end the runs that are due to end."""
        self.clock_ms += ms
        for going in list(self.running.values()):
            self._advance(going, ms)
        if self.clock_ms > self.until_ms:
            for going in list(self.running.values()):
                self._end(going, EndKind.LEASE_EXPIRED)

    def _advance(self, going: Going, ms: float) -> None:
        if going.stopping_ms is not None:
            going.stopping_ms -= ms
            if going.stopping_ms <= 0:
                self._end(going, EndKind.STOPPED)
            return
        if going.work_left_ms is None:
            going.percent = 100
            return
        going.work_left_ms -= ms
        if going.work_left_ms <= 0:
            self._end(going, EndKind.FAILED if self.failing else EndKind.DONE)

    def _end(self, going: Going, kind: EndKind) -> None:
        del self.running[(going.key, going.attempt)]
        self.highest[going.key] = max(self.highest.get(going.key, 0), going.attempt)
        self.number += 1
        self.ends.append(
            End(self.number, going.key, going.attempt, kind, going.checkpoint)
        )

    def names(self) -> Iterator[Name]:
        """Return the keys and attempts of the present runs."""
        return iter(list(self.running))
