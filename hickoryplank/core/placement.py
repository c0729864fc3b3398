"""Table of endpoints, and the choice of the endpoint that runs an item.

An endpoint is judged by what it fails that others run. A failure stays open
until its task ends elsewhere: a run elsewhere confirms it against the endpoint,
failures on ``GIVE_UP_WORKERS`` sound endpoints withdraw it and give the task up.
"""

from collections.abc import Collection
from enum import Enum

import msgspec

from hickoryplank.core.ids import PoolId, QueueId, Rack, TaskId, VmId, Zone
from hickoryplank.core.runtimes import RunTimes

__all__ = ["EndpointRow", "EndpointTable", "RunResult", "Verdict"]

#: Distinct sound endpoints on which a task fails before it is given up.
GIVE_UP_WORKERS = 3
#: Confirmed failures in a row that eject an endpoint.
EJECT_CONFIRMED = 2
#: Failures in a row, open or confirmed, that eject an endpoint.
EJECT_FAILURES = 3
#: Open failures of one endpoint that are kept.
MOST_OPEN_FAILURES = 16
#: Largest part of a pool's endpoints in service that may be ejected at once.
MAX_EJECTED_FRACTION = 0.34
#: How long the first ejection lasts; each one that follows lasts twice as long.
FIRST_EJECTION_SECONDS = 10.0
#: How long an ejection lasts at most.
LONGEST_EJECTION_SECONDS = 160.0
#: Time in which a learned capacity grows by one unit, until it is refused again.
GROW_SECONDS = 2.0
#: Runs that an endpoint which has proved nothing may have at once, in the end.
TRIAL_RUNS = 4
#: Time after its first start in which that number doubles from one.
TRIAL_SECONDS = 0.5
#: Wait for the next trial run after the first has failed; it doubles each time.
TRIAL_WAIT_SECONDS = 0.1
#: Longest wait for a trial run of an endpoint that is not ejected.
LONGEST_TRIAL_WAIT_SECONDS = 1.6
#: Loads that differ by no more count as equal.
SAME_LOAD = 0.02
#: Weight of the newest run in an endpoint's slowdown.
SLOWDOWN_GAIN = 0.1


class RunResult(Enum):
    """How a run on an endpoint ended."""

    DONE = "done"
    FAILED = "failed"
    SILENT = "silent"
    BUSY = "busy"
    STOPPED = "stopped"


_ANSWERS = frozenset((RunResult.DONE, RunResult.FAILED, RunResult.BUSY))


class Verdict(Enum):
    """What becomes of a task after a run."""

    DONE = "done"
    RETRY = "retry"
    GIVE_UP = "give_up"


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
    :param trial_after: when the next such run may start, in seconds.
    :param first_start: when the first run started on a VM not yet proved.
    :param trials: tasks that run here and started while the endpoint was suspect.
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
        trial = 2 ** min(int(tried / TRIAL_SECONDS), 8)
        return min(trial, TRIAL_RUNS, self.slots)

    def grow(self, now: float) -> None:
        """Let the learned capacity recover by the time that has passed."""
        if self.capacity < self.slots:
            grown = self.capacity + (now - self.grown_at) / GROW_SECONDS
            self.capacity = min(grown, float(self.slots))
        self.grown_at = now

    def load(self) -> float:
        """Return the load that one more run would give, 1.0 at capacity."""
        return (self.used + 1.0) * self.slowdown / self.capacity


class _Load:
    """Units used, and learned capacity, of a zone or rack."""

    def __init__(self) -> None:
        self.used = 0.0
        self.capacity = 0.0

    def add(self, row: EndpointRow) -> None:
        self.used += row.used
        self.capacity += row.capacity

    def part(self) -> float:
        return self.used / self.capacity


class EndpointTable:
    """Endpoints of all pools, with what was learned of each."""

    def __init__(self) -> None:
        self.run_times = RunTimes()
        self._rows: dict[VmId, EndpointRow] = {}
        self._pools: dict[PoolId, dict[VmId, EndpointRow]] = {}
        self._failed_on: dict[TaskId, set[VmId]] = {}

    def row(self, vm: VmId) -> EndpointRow | None:
        """Return the row of ``vm``."""
        return self._rows.get(vm)

    def members(self, pool: PoolId) -> list[EndpointRow]:
        """Return the endpoints of ``pool``."""
        return list(self._pools.get(pool, {}).values())

    def put(self, row: EndpointRow) -> None:
        """Add an endpoint, or take over what the configuration says of it.

        What was learned stays, but for a VM that comes back into service, which
        has to prove itself again.
        """
        old = self._rows.get(row.vm)
        if old is None:
            self._rows[row.vm] = old = row
            old.capacity = row.slots
        else:
            del self._pools[old.pool][old.vm]
            _take_over(old, row)
        self._pools.setdefault(old.pool, {})[old.vm] = old

    def remove(self, vm: VmId) -> None:
        """Forget an endpoint."""
        row = self._rows.pop(vm, None)
        if row is not None:
            del self._pools[row.pool][vm]

    def pick(
        self,
        pool: PoolId,
        exclude: Collection[VmId],
        now: float,
        units: float = 1.0,
        may_probe: bool = True,
        task: TaskId | None = None,
    ) -> VmId | None:
        """Return the endpoint that one more run should start on.

        An endpoint whose ejection has passed gets one run to prove itself,
        before all others. Otherwise the least loaded is taken; among equals that
        of the least loaded zone, then rack.

        :param exclude: endpoints that the task has failed on.
        :param units: what the run is expected to take, in units.
        :param may_probe: whether the run may be risked on a suspect endpoint.
        :param task: the task, which may start where room is kept for it.
        """
        members = self._pools.get(pool, {}).values()
        for row in members:
            row.grow(now)
        rows = [
            row
            for row in members
            if row.vm not in exclude
            and row.reserved_for in (None, task)
            and row.has_room(units, now)
        ]
        if not rows:
            return None
        probes = [row for row in rows if may_probe and row.probing(now)]
        rows = probes or [row for row in rows if not row.suspect] or rows
        lowest = min(row.load() for row in rows)
        rows = [row for row in rows if row.load() <= lowest + SAME_LOAD]
        return self._least_loaded_domain(pool, rows).vm

    def reserve(
        self, pool: PoolId, exclude: Collection[VmId], task: TaskId, now: float
    ) -> VmId | None:
        """Keep the endpoint with most room for ``task``, which found none.

        Nothing else starts there until the task does, or ``release`` is called.
        A pool keeps one endpoint at a time.
        """
        rows = self._pools.get(pool, {}).values()
        if any(row.reserved_for is not None for row in rows):
            return None
        able = [r for r in rows if r.vm not in exclude and r.serves(now)]
        if not able:
            return None
        row = max(able, key=lambda row: row.capacity - row.used)
        row.reserved_for = task
        return row.vm

    def release(self, task: TaskId) -> None:
        """End what ``reserve`` did for ``task``."""
        for row in self._rows.values():
            if row.reserved_for == task:
                row.reserved_for = None

    def note_start(
        self, vm: VmId, task: TaskId, now: float, units: float = 1.0
    ) -> None:
        """Count a run of ``task`` that starts on ``vm``."""
        row = self._rows.get(vm)
        if row is not None:
            row.running += 1
            row.used += units
            if row.suspect or row.probing(now):
                row.trials.add(task)
            if row.first_start is None:
                row.first_start = now

    def note_silence(self, vm: VmId, task: TaskId, started: float, now: float) -> None:
        """Note that a run's connection has been silent for too long.

        It counts against an endpoint that has ended no other run meanwhile. Runs
        that fall silent together count once; then a trial run has to. The run
        still counts as running there until ``note_finish``.

        :param started: when the run started, in seconds.
        """
        row = self._rows.get(vm)
        if row is None or row.heard >= started:
            return
        if task in row.trials or not row.suspect:
            self._failed_on.setdefault(task, set()).add(vm)
            self._hold_against(row, task, now)

    def note_progress(self, vm: VmId) -> None:
        """Take a worker's report that a run makes progress as proof that it can."""
        row = self._rows.get(vm)
        if row is not None and not row.suspect:
            row.proved = True

    def note_finish(
        self,
        vm: VmId,
        task: TaskId,
        queue: QueueId,
        result: RunResult,
        seconds: float,
        now: float,
        units: float = 1.0,
    ) -> Verdict:
        """Count the end of a run, learn from it, and judge task and endpoint.

        :param seconds: how long the run took.
        :param units: what ``note_start`` was told.
        """
        row = self._rows.get(vm)
        if row is None:
            return Verdict.DONE if result is RunResult.DONE else Verdict.RETRY
        row.running = max(row.running - 1, 0)
        row.used = max(row.used - units, 0.0) if row.running else 0.0
        if result in _ANSWERS:
            row.heard = now
        trial = task in row.trials
        row.trials.discard(task)
        match result:
            case RunResult.DONE:
                self._learn_run(row, queue, seconds)
                if trial or not row.suspect:
                    _prove(row)
                self._confirm(task, vm, now)
                return Verdict.DONE
            case RunResult.BUSY:
                row.grow(now)
                row.capacity = max(min(row.used, row.capacity - 1.0), 1.0)
            case RunResult.FAILED:
                return self._judge_failure(row, task, now)
            case RunResult.SILENT:
                if trial or not row.suspect:
                    self._hold_against(row, task, now)
            case RunResult.STOPPED:
                pass
        return Verdict.RETRY

    def forget_task(self, task: TaskId) -> None:
        """Drop what is kept of a task that will not run again."""
        self._failed_on.pop(task, None)

    def failed_on(self, task: TaskId) -> frozenset[VmId]:
        """Return the endpoints that ``task`` has failed on."""
        return frozenset(self._failed_on.get(task, ()))

    def _least_loaded_domain(
        self, pool: PoolId, rows: list[EndpointRow]
    ) -> EndpointRow:
        """Return the one of ``rows`` in the least loaded zone, then rack."""
        if len(rows) == 1:
            return rows[0]
        zones: dict[Zone, _Load] = {}
        racks: dict[Rack, _Load] = {}
        for row in self._pools[pool].values():
            if row.in_service:
                zones.setdefault(row.zone, _Load()).add(row)
                racks.setdefault(row.rack, _Load()).add(row)
        return min(
            rows,
            key=lambda row: (zones[row.zone].part(), racks[row.rack].part(), row.vm),
        )

    def _learn_run(self, row: EndpointRow, queue: QueueId, seconds: float) -> None:
        mean = self.run_times.of(queue).mean
        if self.run_times.of(queue).observed:
            row.slowdown += SLOWDOWN_GAIN * (seconds / mean - row.slowdown)
            row.slowdown = min(max(row.slowdown, 0.5), 4.0)
        self.run_times.observe(queue, seconds)

    def _confirm(self, task: TaskId, done_on: VmId, now: float) -> None:
        for vm in self._failed_on.pop(task, ()):
            row = self._rows.get(vm)
            if row is None or vm == done_on or task not in row.open_failures:
                continue
            row.open_failures.discard(task)
            row.confirmed += 1
            self._eject_if_due(row, now)

    def _judge_failure(self, row: EndpointRow, task: TaskId, now: float) -> Verdict:
        failed_on = self._failed_on.setdefault(task, set())
        failed_on.add(row.vm)
        sound = [vm for vm in failed_on if self._is_sound(vm)]
        if len(sound) >= GIVE_UP_WORKERS:
            self._withdraw(task)
            return Verdict.GIVE_UP
        self._hold_against(row, task, now)
        return Verdict.RETRY

    def _hold_against(self, row: EndpointRow, task: TaskId, now: float) -> None:
        if len(row.open_failures) < MOST_OPEN_FAILURES:
            row.open_failures.add(task)
        failures = row.confirmed + len(row.open_failures)
        if failures > 1:
            wait = TRIAL_WAIT_SECONDS * 2.0 ** (failures - 2)
            row.trial_after = now + min(wait, LONGEST_TRIAL_WAIT_SECONDS)
        self._eject_if_due(row, now)

    def _is_sound(self, vm: VmId) -> bool:
        row = self._rows.get(vm)
        return row is not None and row.proved and row.confirmed == 0

    def _withdraw(self, task: TaskId) -> None:
        for vm in self._failed_on.pop(task, ()):
            row = self._rows.get(vm)
            if row is None or task not in row.open_failures:
                continue
            row.open_failures.discard(task)
            if row.ejected_until is not None and not _eject_due(row):
                row.ejected_until = None
                row.ejections = max(row.ejections - 1, 0)

    def _eject_if_due(self, row: EndpointRow, now: float) -> None:
        again = row.probing(now)
        if row.ejected_until is not None and not again:
            return
        if not again and not (_eject_due(row) and self._may_eject(row)):
            return
        length = FIRST_EJECTION_SECONDS * 2**row.ejections
        row.ejected_until = now + min(length, LONGEST_EJECTION_SECONDS)
        row.ejections += 1

    def _may_eject(self, row: EndpointRow) -> bool:
        """Return whether the cap allows it and the others do better."""
        rows = [r for r in self._pools[row.pool].values() if r.in_service]
        ejected = sum(r.ejected_until is not None for r in rows)
        sound = sum(r.proved and not r.suspect for r in rows)
        return ejected < _ejection_cap(len(rows)) and 2 * sound >= len(rows)


def _ejection_cap(members: int) -> int:
    if members < 2:
        return 0
    return max(int(members * MAX_EJECTED_FRACTION), 1)


def _eject_due(row: EndpointRow) -> bool:
    if row.confirmed >= EJECT_CONFIRMED:
        return True
    return row.confirmed + len(row.open_failures) >= EJECT_FAILURES


def _prove(row: EndpointRow) -> None:
    """Clear what stood against an endpoint that has finished a run."""
    returned = row.ejected_until is not None
    row.proved = True
    row.open_failures.clear()
    row.confirmed = 0
    row.ejected_until = None
    row.trials.clear()
    if not returned:
        row.ejections = 0


def _take_over(row: EndpointRow, new: EndpointRow) -> None:
    back = new.in_service and not row.in_service
    row.pool, row.zone, row.rack = new.pool, new.zone, new.rack
    row.in_service = new.in_service
    if back or row.capacity == row.slots:
        row.capacity = new.slots
    row.slots = new.slots
    row.capacity = min(row.capacity, row.slots)
    if back:
        row.proved = False
        row.first_start = row.ejected_until = row.reserved_for = None
        row.open_failures.clear()
        row.trials.clear()
        row.confirmed = row.ejections = 0
        row.slowdown = 1.0
