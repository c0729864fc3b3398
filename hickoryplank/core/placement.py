"""Placement of runs on endpoints, with outlier ejection of faulty endpoints."""

from collections.abc import Collection
from enum import Enum

from hickoryplank.core.backoff import doubled
from hickoryplank.core.endpoints import EndpointRow, RunResult
from hickoryplank.core.ids import PoolId, QueueId, Rack, TaskId, VmId, Zone
from hickoryplank.core.run_times import RunTimeTable

__all__ = ["EndpointRow", "EndpointTable", "RunResult", "RunVerdict"]

#: Number of healthy endpoints on which a task must fail before it is given up.
GIVE_UP_ENDPOINTS = 3
#: Consecutive confirmed failures that eject an endpoint.
EJECT_CONFIRMED_FAILURES = 2
#: Consecutive failures, open or confirmed, that eject an endpoint.
EJECT_FAILURES = 3
#: Maximum number of open failures that are kept for an endpoint.
MAX_OPEN_FAILURES = 16
#: Largest fraction of a pool's endpoints in service that may be ejected at once.
MAX_EJECTED_FRACTION = 0.34
#: Duration of the first ejection; each consecutive one lasts twice as long.
FIRST_EJECTION_SECONDS = 10.0
#: Longest duration of an ejection.
LONGEST_EJECTION_SECONDS = 160.0
#: Wait before the next trial run after the second failure; it doubles with each one.
TRIAL_WAIT_SECONDS = 0.1
#: Longest wait before a trial run on an endpoint that is not ejected.
LONGEST_TRIAL_WAIT_SECONDS = 1.6
#: Difference up to which two loads count as equal.
LOAD_TOLERANCE = 0.02
#: Weight of the newest run in the slowdown of an endpoint.
SLOWDOWN_GAIN = 0.1

_ANSWERED = frozenset((RunResult.DONE, RunResult.FAILED, RunResult.BUSY))


class RunVerdict(Enum):
    """What happens to a task after one of its runs has ended."""

    DONE = "done"
    RETRY = "retry"
    GIVE_UP = "give_up"


class _Load:
    """Used units and learned capacity of an availability zone or a rack."""

    def __init__(self) -> None:
        self.used = 0.0
        self.capacity = 0.0

    def add(self, row: EndpointRow) -> None:
        self.used += row.used
        self.capacity += row.capacity

    def utilization(self) -> float:
        return self.used / self.capacity


class EndpointTable:
    """Endpoints of all pools, with their load and health.

    An endpoint is judged by the tasks that fail on it but succeed on others. A
    failure stays open until its task ends elsewhere: success elsewhere confirms
    the failure against the endpoint, whereas failure on ``GIVE_UP_ENDPOINTS``
    healthy endpoints withdraws it and gives the task up.
    """

    def __init__(self) -> None:
        self.run_times = RunTimeTable()
        self._rows: dict[VmId, EndpointRow] = {}
        self._pools: dict[PoolId, dict[VmId, EndpointRow]] = {}
        self._failed_on: dict[TaskId, set[VmId]] = {}
        self._reserved: dict[TaskId, VmId] = {}

    def row(self, vm: VmId) -> EndpointRow | None:
        """Return the row of ``vm``, or ``None`` if it has no endpoint."""
        return self._rows.get(vm)

    def members(self, pool: PoolId) -> list[EndpointRow]:
        """Return the endpoints of ``pool``."""
        return list(self._pools.get(pool, {}).values())

    def put(self, row: EndpointRow) -> None:
        """Add an endpoint, or update the configured fields of an existing one.

        Load and health are kept, unless the VM returns to service; it then starts
        in slow start again.
        """
        old = self._rows.get(row.vm)
        if old is None:
            self._rows[row.vm] = old = row
            old.capacity = row.slots
        else:
            del self._pools[old.pool][old.vm]
            old.update_config(row)
        self._pools.setdefault(old.pool, {})[old.vm] = old

    def remove(self, vm: VmId) -> None:
        """Remove an endpoint, if it exists."""
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
        """Return the endpoint on which to start one more run, if there is any.

        An endpoint whose ejection has expired takes precedence and gets one probe
        run. Otherwise the least loaded endpoint is chosen; among equals, the one
        in the least loaded availability zone, then rack.

        :param exclude: endpoints on which the task has failed.
        :param now: the node's clock, in seconds.
        :param units: expected size of the run, in units.
        :param may_probe: whether the run may be the probe run of an endpoint.
        :param task: the task, which may use an endpoint that is reserved for it.
        """
        members = self._pools.get(pool, {}).values()
        for row in members:
            row.recover_capacity(now)
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
        rows = [row for row in rows if row.load() <= lowest + LOAD_TOLERANCE]
        return self._least_loaded_domain(pool, rows).vm

    def reserve(
        self, pool: PoolId, exclude: Collection[VmId], task: TaskId, now: float
    ) -> VmId | None:
        """Reserve the endpoint with the most free capacity for ``task``.

        This is for a task for which no endpoint has room. No other task starts
        there until ``release`` is called. Each pool has at most one reservation at
        a time.

        :param exclude: endpoints on which the task has failed.
        :param now: the node's clock, in seconds.
        :return: the reserved endpoint, or ``None`` if none can be reserved.
        """
        rows = self._pools.get(pool, {}).values()
        if any(row.reserved_for is not None for row in rows):
            return None
        candidates = [r for r in rows if r.vm not in exclude and r.serves(now)]
        if not candidates:
            return None
        row = max(candidates, key=lambda row: row.capacity - row.used)
        row.reserved_for = task
        self._reserved[task] = row.vm
        return row.vm

    def release(self, task: TaskId) -> None:
        """Release the reservation of ``task``, if there is one."""
        row = self._rows.get(self._reserved.pop(task, VmId("")))
        if row is not None and row.reserved_for == task:
            row.reserved_for = None

    def note_start(
        self, vm: VmId, task: TaskId, now: float, units: float = 1.0
    ) -> None:
        """Record that a run of ``task`` starts on ``vm``."""
        row = self._rows.get(vm)
        if row is not None:
            row.running += 1
            row.used += units
            if row.suspect or row.probing(now):
                row.trials.add(task)
            if row.first_start_at is None:
                row.first_start_at = now

    def note_silence(self, vm: VmId, task: TaskId, started: float, now: float) -> None:
        """Record that the connection of a run has been silent for too long.

        The silence counts as a failure unless another run on the endpoint was
        answered since ``started``. Of several runs that become silent together,
        only the first counts; further failures must come from trial runs. The
        run still counts as running until ``note_finish``.

        :param started: when the run started, in seconds.
        """
        row = self._rows.get(vm)
        if row is None or row.last_answer_at >= started:
            return
        if task in row.trials or not row.suspect:
            self._failed_on.setdefault(task, set()).add(vm)
            self._count_failure(row, task, now)

    def note_progress(self, vm: VmId) -> None:
        """Record that a run makes progress, which ends slow start of its endpoint."""
        row = self._rows.get(vm)
        if row is not None and not row.suspect:
            row.has_succeeded = True

    def note_finish(
        self,
        vm: VmId,
        task: TaskId,
        queue: QueueId,
        result: RunResult,
        seconds: float,
        now: float,
        units: float = 1.0,
    ) -> RunVerdict:
        """Record the end of a run, and return what happens to its task.

        :param seconds: duration of the run.
        :param now: the node's clock, in seconds.
        :param units: the size that was passed to ``note_start``.
        """
        row = self._rows.get(vm)
        if row is None:
            return RunVerdict.DONE if result is RunResult.DONE else RunVerdict.RETRY
        row.running = max(row.running - 1, 0)
        row.used = max(row.used - units, 0.0) if row.running else 0.0
        if result in _ANSWERED:
            row.last_answer_at = now
        trial = task in row.trials
        row.trials.discard(task)
        match result:
            case RunResult.DONE:
                self._observe_run_time(row, queue, seconds)
                if trial or not row.suspect:
                    row.mark_healthy()
                self._confirm_failures(task, vm, now)
                return RunVerdict.DONE
            case RunResult.BUSY:
                row.recover_capacity(now)
                row.capacity = max(min(row.used, row.capacity - 1.0), 1.0)
            case RunResult.FAILED:
                return self._handle_failure(row, task, now)
            case RunResult.SILENT:
                if trial or not row.suspect:
                    self._count_failure(row, task, now)
            case RunResult.STOPPED:
                pass
        return RunVerdict.RETRY

    def forget_task(self, task: TaskId) -> None:
        """Discard the failures of a task that will not run again."""
        self._failed_on.pop(task, None)

    def failed_on(self, task: TaskId) -> frozenset[VmId]:
        """Return the endpoints on which ``task`` has failed."""
        return frozenset(self._failed_on.get(task, ()))

    def _least_loaded_domain(
        self, pool: PoolId, rows: list[EndpointRow]
    ) -> EndpointRow:
        """Return the row of ``rows`` in the least loaded zone, then rack."""
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
            key=lambda row: (
                zones[row.zone].utilization(),
                racks[row.rack].utilization(),
                row.vm,
            ),
        )

    def _observe_run_time(
        self, row: EndpointRow, queue: QueueId, seconds: float
    ) -> None:
        mean = self.run_times.of(queue).mean
        if self.run_times.of(queue).observed:
            row.slowdown += SLOWDOWN_GAIN * (seconds / mean - row.slowdown)
            row.slowdown = min(max(row.slowdown, 0.5), 4.0)
        self.run_times.observe(queue, seconds)

    def _confirm_failures(self, task: TaskId, done_on: VmId, now: float) -> None:
        for vm in self._failed_on.pop(task, ()):
            row = self._rows.get(vm)
            if row is None or vm == done_on or task not in row.open_failures:
                continue
            row.open_failures.discard(task)
            row.confirmed_failures += 1
            self._eject_if_due(row, now)

    def _handle_failure(self, row: EndpointRow, task: TaskId, now: float) -> RunVerdict:
        failed_on = self._failed_on.setdefault(task, set())
        failed_on.add(row.vm)
        healthy = [vm for vm in failed_on if self._is_healthy(vm)]
        if len(healthy) >= GIVE_UP_ENDPOINTS:
            self._withdraw_failures(task)
            return RunVerdict.GIVE_UP
        self._count_failure(row, task, now)
        return RunVerdict.RETRY

    def _count_failure(self, row: EndpointRow, task: TaskId, now: float) -> None:
        if len(row.open_failures) < MAX_OPEN_FAILURES:
            row.open_failures.add(task)
        failures = row.confirmed_failures + len(row.open_failures)
        if failures > 1:
            row.trial_after = now + doubled(
                TRIAL_WAIT_SECONDS, failures - 2, LONGEST_TRIAL_WAIT_SECONDS
            )
        self._eject_if_due(row, now)

    def _is_healthy(self, vm: VmId) -> bool:
        row = self._rows.get(vm)
        return row is not None and row.has_succeeded and row.confirmed_failures == 0

    def _withdraw_failures(self, task: TaskId) -> None:
        for vm in self._failed_on.pop(task, ()):
            row = self._rows.get(vm)
            if row is None or task not in row.open_failures:
                continue
            row.open_failures.discard(task)
            if row.ejected_until is not None and not _exceeds_failure_limit(row):
                row.ejected_until = None
                row.ejections = max(row.ejections - 1, 0)

    def _eject_if_due(self, row: EndpointRow, now: float) -> None:
        probe_failed = row.probing(now)
        if row.ejected_until is not None and not probe_failed:
            return
        if not probe_failed and not (
            _exceeds_failure_limit(row) and self._may_eject(row)
        ):
            return
        row.ejected_until = now + doubled(
            FIRST_EJECTION_SECONDS, row.ejections, LONGEST_EJECTION_SECONDS
        )
        row.ejections += 1

    def _may_eject(self, row: EndpointRow) -> bool:
        """Return whether the ejection cap and the health of the pool permit it."""
        rows = [r for r in self._pools[row.pool].values() if r.in_service]
        ejected = sum(r.ejected_until is not None for r in rows)
        healthy = sum(r.has_succeeded and not r.suspect for r in rows)
        return ejected < _ejection_cap(len(rows)) and 2 * healthy >= len(rows)


def _ejection_cap(members: int) -> int:
    if members < 2:
        return 0
    return max(int(members * MAX_EJECTED_FRACTION), 1)


def _exceeds_failure_limit(row: EndpointRow) -> bool:
    if row.confirmed_failures >= EJECT_CONFIRMED_FAILURES:
        return True
    return row.confirmed_failures + len(row.open_failures) >= EJECT_FAILURES
