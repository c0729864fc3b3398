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

RunKey = tuple[TaskKey, int]

#: Longest lease that an endpoint grants, in milliseconds; a longer one is shortened.
MAX_LEASE_MS = 10_000


class FakeRun(msgspec.Struct):
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
    work_ms: float | None = None


class FakeEndpoint:
    """One incarnation of an endpoint, with a clock of its own.

    :param work_ms: function of the key of a task that returns its run time in
        milliseconds, or none for a lasting task.
    :param stop_ms: time that a run takes to stop, in milliseconds.
    :ivar ends_per_report: most ends in one report.
    :ivar failing: whether runs end ``failed`` instead of ``done``.
    :ivar stalled: whether runs make no progress.
    """

    def __init__(self, born_ms: int, work_ms, stop_ms: float = 400.0):
        self.born_ms = born_ms
        self.clock_ms = 1000.0
        self.until_ms = 0.0
        self.token = 0
        self.running: dict[RunKey, FakeRun] = {}
        self.ends: list[End] = []
        self.highest_attempts: dict[TaskKey, int] = {}
        self.acknowledged = 0
        self.number = 0
        self.work_ms = work_ms
        self.stop_ms = stop_ms
        self.ends_per_report = 500
        self.failing = False
        self.stalled = False
        self.started: list[RunKey] = []

    def start(
        self, key: TaskKey, attempt: int, payload: str, until_ms: int, token: int
    ) -> StartOutcome:
        """Handle a start."""
        if token < self.token:
            return StartOutcome.FENCED
        self.token = token
        if (key, attempt) in self.running:
            self._extend_leases(until_ms)
            return StartOutcome.STARTED
        if attempt <= self.highest_attempts.get(key, 0):
            self._extend_leases(until_ms)
            return StartOutcome.ALREADY_ENDED
        if until_ms <= self.clock_ms:
            return StartOutcome.LEASE_EXPIRED
        self._extend_leases(until_ms)
        work_ms = self.work_ms(key)
        run = FakeRun(key, attempt, payload, work_ms, work_ms=work_ms)
        self.running[(key, attempt)] = run
        self.started.append((key, attempt))
        return StartOutcome.STARTED

    def _extend_leases(self, until_ms: float) -> None:
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms + MAX_LEASE_MS))

    def stop(self, key: TaskKey, attempt: int, token: int) -> bool:
        """Handle a stop; return false if the fencing token is too low."""
        if token < self.token:
            return False
        self.token = token
        self.highest_attempts[key] = max(self.highest_attempts.get(key, 0), attempt)
        run = self.running.get((key, attempt))
        if run is not None and run.stopping_ms is None:
            run.stopping_ms = self.stop_ms
        return True

    def poll(
        self, token: int, last_seen: int, until_ms: int | None
    ) -> PollReport | None:
        """Handle a poll; return none if the fencing token is too low."""
        if token < self.token:
            return None
        self.token = token
        if until_ms is not None:
            self._extend_leases(until_ms)
        self.acknowledged = max(self.acknowledged, last_seen)
        self.ends = [end for end in self.ends if end.number > last_seen]
        running = tuple(
            RunningTask(one.key, one.attempt, one.checkpoint, one.percent, 0)
            for one in self.running.values()
        )
        reported = tuple(self.ends[: self.ends_per_report])
        may_have_more = len(reported) == self.ends_per_report
        return PollReport(
            self.born_ms, int(self.clock_ms), running, reported, may_have_more
        )

    def advance(self, ms: float) -> None:
        """Advance the clock, and end the runs that are due to end."""
        self.clock_ms += ms
        for run in list(self.running.values()):
            self._advance(run, ms)
        if self.clock_ms > self.until_ms:
            for run in list(self.running.values()):
                self._end(run, EndKind.LEASE_EXPIRED)

    def _advance(self, run: FakeRun, ms: float) -> None:
        if run.stopping_ms is not None:
            run.stopping_ms -= ms
            if run.stopping_ms <= 0:
                self._end(run, EndKind.STOPPED)
            return
        if run.work_left_ms is None or run.work_ms is None:
            run.percent = 100
            return
        if self.stalled:
            return
        run.work_left_ms -= ms
        run.percent = int(100 - 100 * run.work_left_ms / run.work_ms)
        if run.work_left_ms <= 0:
            self._end(run, EndKind.FAILED if self.failing else EndKind.DONE)

    def _end(self, run: FakeRun, kind: EndKind) -> None:
        del self.running[(run.key, run.attempt)]
        self.highest_attempts[run.key] = max(
            self.highest_attempts.get(run.key, 0), run.attempt
        )
        self.number += 1
        self.ends.append(End(self.number, run.key, run.attempt, kind, run.checkpoint))

    def run_keys(self) -> Iterator[RunKey]:
        """Return the task key and attempt number of each present run."""
        return iter(list(self.running))
