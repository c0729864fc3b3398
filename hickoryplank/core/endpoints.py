"""State of one endpoint in the dispatcher."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import PoolId, Rack, TaskId, VmId, Zone

__all__ = ["EndpointRow", "RunResult"]

#: Time in which the learned capacity recovers by one unit after a refusal.
CAPACITY_RECOVERY_SECONDS = 2.0
#: Maximum number of concurrent runs on an endpoint in slow start, which lasts until
#: its first run has succeeded.
SLOW_START_MAX_RUNS = 4
#: Time in which the number of concurrent runs doubles during slow start.
SLOW_START_DOUBLING_SECONDS = 0.5


class RunResult(Enum):
    """How a run on an endpoint ended.

    ``SILENT`` means that its connection was silent for too long, ``BUSY`` that the
    worker refused the start, and ``STOPPED`` that the dispatcher stopped it.
    """

    DONE = "done"
    FAILED = "failed"
    SILENT = "silent"
    BUSY = "busy"
    STOPPED = "stopped"


class EndpointRow(msgspec.Struct, kw_only=True):
    """Load, health and configuration of one endpoint.

    :param slots: declared maximum number of runs at once.
    :param capacity: learned maximum of units at once, from 1 to ``slots``; starts
        as ``slots``.
    :param running: number of runs.
    :param used: estimated units that the runs take.
    :param has_succeeded: whether a run has succeeded here since the VM came into
        service.
    :param first_start_at: when the first run started, in seconds, while no run has
        succeeded yet.
    :param last_answer_at: when the last answer to a run arrived, in seconds.
    :param open_failures: tasks that failed here since the last successful run and
        have not succeeded or been given up elsewhere.
    :param confirmed_failures: number of failures since the last successful run whose
        tasks succeeded on other endpoints.
    :param trials: running tasks that started while the endpoint was suspect.
    :param trial_after: when the next trial run may start, in seconds.
    :param slowdown: moving average of the run time here relative to the mean run
        time of the queue.
    :param capacity_updated_at: time up to which the recovery of ``capacity`` is
        accounted for, in seconds.
    :param ejected_until: end of the ejection, in seconds; ``None`` if not ejected.
    :param ejections: number of consecutive ejections, for the exponential backoff.
    :param reserved_for: the task for which the endpoint is reserved.
    """

    vm: VmId
    pool: PoolId
    zone: Zone
    rack: Rack
    slots: int
    in_service: bool = True
    capacity: float = 0.0
    running: int = 0
    used: float = 0.0
    has_succeeded: bool = False
    first_start_at: float | None = None
    last_answer_at: float = float("-inf")
    open_failures: set[TaskId] = msgspec.field(default_factory=set)
    confirmed_failures: int = 0
    trials: set[TaskId] = msgspec.field(default_factory=set)
    trial_after: float = 0.0
    slowdown: float = 1.0
    capacity_updated_at: float = 0.0
    ejected_until: float | None = None
    ejections: int = 0
    reserved_for: TaskId | None = None

    @property
    def suspect(self) -> bool:
        """Whether a task has failed here since the last successful run."""
        return bool(self.open_failures) or self.confirmed_failures > 0

    def serves(self, now: float) -> bool:
        """Return whether the endpoint is in service and not ejected."""
        return self.in_service and (self.ejected_until or 0.0) <= now

    def has_room(self, units: float, now: float) -> bool:
        """Return whether one more run of ``units`` may start here.

        A run larger than the capacity may start if nothing else is running.
        """
        if not self.serves(now):
            return False
        if self.running >= self._max_runs(now):
            return False
        on_trial = self.suspect or self.probing(now)
        if on_trial and (self.trials or now < self.trial_after):
            return False
        return self.running == 0 or self.used + units <= self.capacity

    def probing(self, now: float) -> bool:
        """Return whether the ejection has expired and a probe run may start."""
        return self.ejected_until is not None and self.ejected_until <= now

    def _max_runs(self, now: float) -> int:
        """Return the maximum number of runs at once."""
        if self.has_succeeded:
            return self.slots
        elapsed = 0.0 if self.first_start_at is None else now - self.first_start_at
        if elapsed >= SLOW_START_DOUBLING_SECONDS * SLOW_START_MAX_RUNS:
            return min(SLOW_START_MAX_RUNS, self.slots)
        return min(
            2 ** int(elapsed / SLOW_START_DOUBLING_SECONDS),
            SLOW_START_MAX_RUNS,
            self.slots,
        )

    def recover_capacity(self, now: float) -> None:
        """Increase the learned capacity by the time that has passed."""
        if self.capacity < self.slots:
            grown = (
                self.capacity
                + (now - self.capacity_updated_at) / CAPACITY_RECOVERY_SECONDS
            )
            self.capacity = min(grown, float(self.slots))
        self.capacity_updated_at = now

    def load(self) -> float:
        """Return the load with one more run, weighted by slowdown; 1.0 is full."""
        return (self.used + 1.0) * self.slowdown / self.capacity

    def mark_healthy(self) -> None:
        """Mark the endpoint as healthy after a successful run."""
        returned = self.ejected_until is not None
        self.has_succeeded = True
        self._clear_failures()
        if not returned:
            self.ejections = 0

    def update_config(self, new: "EndpointRow") -> None:
        """Update the configured fields; a VM that returned to service is reset."""
        returned_to_service = new.in_service and not self.in_service
        self.pool, self.zone, self.rack = new.pool, new.zone, new.rack
        self.in_service = new.in_service
        if returned_to_service or self.capacity == self.slots:
            self.capacity = new.slots
        self.slots = new.slots
        self.capacity = min(self.capacity, self.slots)
        if returned_to_service:
            self._clear_failures()
            self.has_succeeded = False
            self.first_start_at = self.reserved_for = None
            self.ejections = 0
            self.slowdown = 1.0

    def _clear_failures(self) -> None:
        self.open_failures.clear()
        self.trials.clear()
        self.confirmed_failures = 0
        self.trial_after = 0.0
        self.ejected_until = None
