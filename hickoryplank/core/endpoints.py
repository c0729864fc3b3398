"""Endpoints as a dispatcher sees them."""

from enum import Enum

import msgspec

from hickoryplank.core.ids import PoolId, Rack, TaskId, VmId, Zone

__all__ = ["EndpointRow", "RunResult"]

#: Time in which a learned capacity grows by one unit, until it is refused again.
GROW_SECONDS = 2.0
#: Runs that an endpoint which has proved nothing may have at once, in the end.
TRIAL_RUNS = 4
#: Time after its first start in which that number doubles from one.
TRIAL_SECONDS = 0.5


class RunResult(Enum):
    """How a run on an endpoint ended."""

    DONE = "done"
    FAILED = "failed"
    SILENT = "silent"
    BUSY = "busy"
    STOPPED = "stopped"


class EndpointRow(msgspec.Struct, kw_only=True):
    """One endpoint as the dispatcher sees it.

    :param slots: what the endpoint declares to run at once.
    :param capacity: units that it was learned to run at once, from 1 to ``slots``;
        a new row takes over ``slots``.
    :param grown_at: up to when ``capacity`` has grown, in seconds.
    :param used: units that its runs are believed to take.
    :param open_failures: tasks that failed here since the last run that was
        done, and that are not settled.
    :param confirmed: failures since the last run that was done, of tasks that
        others ran.
    :param proved: whether a run has been done here since the VM came into service.
    :param first_start: when the first run started on a VM not yet proved.
    :param trials: tasks that run here and started while the endpoint was suspect.
    :param trial_after: when the next such run may start, in seconds.
    :param heard: when a run last brought an answer, in seconds.
    :param slowdown: run times here as a multiple of the queue's mean.
    :param ejected_until: end of the ejection, in seconds; ``None`` if not ejected.
    :param ejections: ejections since the endpoint last proved sound.
    :param reserved_for: the task that room is kept for.
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
    proved: bool = False
    first_start: float | None = None
    heard: float = float("-inf")
    open_failures: set[TaskId] = msgspec.field(default_factory=set)
    confirmed: int = 0
    trials: set[TaskId] = msgspec.field(default_factory=set)
    trial_after: float = 0.0
    slowdown: float = 1.0
    grown_at: float = 0.0
    ejected_until: float | None = None
    ejections: int = 0
    reserved_for: TaskId | None = None

    @property
    def suspect(self) -> bool:
        """Whether the newest run that counts has failed."""
        return bool(self.open_failures) or self.confirmed > 0

    def serves(self, now: float) -> bool:
        """Return whether the endpoint is in service and not ejected."""
        return self.in_service and (self.ejected_until or 0.0) <= now

    def has_room(self, units: float, now: float) -> bool:
        """Return whether one more run that takes ``units`` may start here.

        A run larger than the capacity may start where nothing else runs.
        """
        if not self.serves(now):
            return False
        if self.running >= self._allowed(now):
            return False
        on_trial = self.suspect or self.probing(now)
        if on_trial and (self.trials or now < self.trial_after):
            return False
        return self.running == 0 or self.used + units <= self.capacity

    def probing(self, now: float) -> bool:
        """Return whether an ejection has passed and one run may prove the VM."""
        return self.ejected_until is not None and self.ejected_until <= now

    def _allowed(self, now: float) -> int:
        """Return how many runs the endpoint may have at once."""
        if self.proved:
            return self.slots
        tried = 0.0 if self.first_start is None else now - self.first_start
        if tried >= TRIAL_SECONDS * TRIAL_RUNS:
            return min(TRIAL_RUNS, self.slots)
        return min(2 ** int(tried / TRIAL_SECONDS), TRIAL_RUNS, self.slots)

    def grow(self, now: float) -> None:
        """Let the learned capacity recover by the time that has passed."""
        if self.capacity < self.slots:
            grown = self.capacity + (now - self.grown_at) / GROW_SECONDS
            self.capacity = min(grown, float(self.slots))
        self.grown_at = now

    def load(self) -> float:
        """Return the load that one more run would give, 1.0 at capacity."""
        return (self.used + 1.0) * self.slowdown / self.capacity

    def prove(self) -> None:
        """Clear what stood against the endpoint: it has finished a run."""
        returned = self.ejected_until is not None
        self.proved = True
        self._acquit()
        if not returned:
            self.ejections = 0

    def take_over(self, new: "EndpointRow") -> None:
        """Take over what the configuration says; a VM that is back starts anew."""
        back = new.in_service and not self.in_service
        self.pool, self.zone, self.rack = new.pool, new.zone, new.rack
        self.in_service = new.in_service
        if back or self.capacity == self.slots:
            self.capacity = new.slots
        self.slots = new.slots
        self.capacity = min(self.capacity, self.slots)
        if back:
            self._acquit()
            self.proved = False
            self.first_start = self.reserved_for = None
            self.ejections = 0
            self.slowdown = 1.0

    def _acquit(self) -> None:
        self.open_failures.clear()
        self.trials.clear()
        self.confirmed = 0
        self.trial_after = 0.0
        self.ejected_until = None
