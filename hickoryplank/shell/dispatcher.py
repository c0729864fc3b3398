"""Starts queued requests when a unit of the team's limit and a slot are free."""

import logging
from collections import Counter
from collections.abc import Iterator, Mapping

import anyio
from anyio.abc import TaskGroup

from hickoryplank.core.escrow import Escrow
from hickoryplank.core.ids import Incarnation, PoolId, RequestId, TaskId, TeamId, VmId
from hickoryplank.core.messages import RunningCounts
from hickoryplank.core.objects import Kind, Share, WorkClass
from hickoryplank.core.placement import EndpointRow, EndpointTable
from hickoryplank.core.preemption import (
    Checkpoint,
    PreemptionPlanner,
    RunningTask,
    Stop,
    WaitingWork,
)
from hickoryplank.core.queues import DEFAULT_BACKLOG_LIMITS, BacklogLimits, WorkQueues
from hickoryplank.core.running_counts import merge_running_counts
from hickoryplank.core.shares import TeamDemand, entitlements
from hickoryplank.core.tables import Tables, VmRow
from hickoryplank.core.work import Failed, NotRun, NotRunReason, Unknown, WorkAnswer
from hickoryplank.shell.attempts import AttemptRunner, cancelled_answer
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.replica import Replica
from hickoryplank.shell.telemetry import Telemetry
from hickoryplank.shell.work_execution import (
    FinalAnswer,
    RetryAfter,
    RunningAttempt,
    WorkExecution,
)

__all__ = ["Dispatcher"]

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.05
IDLE_TICK_SECONDS = 1.0
OVERLOAD_RETRY_SECONDS = 2.0


class Dispatcher:
    """Queues and dispatches the requests for the pools that this node owns.

    Two nodes may own a pool at the same time. The units that each of them holds in
    escrow and the workers' slots still bound what they start together.

    :ivar running: the number of units in use on this node, by team.
    """

    def __init__(
        self,
        replica: Replica,
        escrow: Escrow,
        attempt_runner: AttemptRunner,
        clock: Clock,
        backlog_limits: BacklogLimits = DEFAULT_BACKLOG_LIMITS,
        telemetry: Telemetry | None = None,
    ):
        self._telemetry = telemetry or Telemetry()
        self._replica = replica
        self._escrow = escrow
        self._attempt_runner = attempt_runner
        self._clock = clock
        self._queues = WorkQueues(backlog_limits)
        self._executions: dict[RequestId, WorkExecution] = {}
        self._running_attempts: dict[TaskId, RunningAttempt] = {}
        self._preemption_planners: dict[PoolId, PreemptionPlanner] = {}
        self._delayed_releases = 0
        self._shares: dict[TeamId, float] = {}
        self._shares_revision = -1
        self._requests_by_pool: Counter[PoolId] = Counter()
        self._applied_version: tuple[int, frozenset[PoolId]] | None = None
        self._known_vms: dict[VmId, VmRow] = {}
        self._group: TaskGroup | None = None
        self._wake = anyio.Event()
        self.endpoints = EndpointTable()
        self.running: Counter[TeamId] = Counter()
        self._peers_running: dict[Incarnation, dict[TeamId, int]] = {}

    def note_running(self, peer: Incarnation, running: RunningCounts) -> None:
        """Record how many units a peer uses for each team."""
        previous = self._peers_running.get(peer, {})
        self._peers_running[peer] = merge_running_counts(previous, running)

    def waiting_counts(self) -> Counter[TeamId]:
        """Return the number of requests queued on this node, by team."""
        total: Counter[TeamId] = Counter()
        for pool in self._requests_by_pool:
            for work_class in WorkClass:
                total.update(self._queues.waiting_counts(pool, work_class))
        return total

    def running_by_pool(self) -> Counter[PoolId]:
        """Return the number of attempts of this node that are running, by pool."""
        return Counter(
            attempt.execution.queue.pool for attempt in self._running_attempts.values()
        )

    def waiting_by_pool(self) -> Counter[PoolId]:
        """Return the number of requests queued on this node, by pool."""
        total: Counter[PoolId] = Counter()
        for pool in self._requests_by_pool:
            for work_class in WorkClass:
                total[pool] += sum(
                    self._queues.waiting_counts(pool, work_class).values()
                )
        return total

    def longest_urgent_wait(self, pool: PoolId, now: float) -> float:
        """Return how long the oldest urgent request of ``pool`` waits, in seconds."""
        oldest_items = self._queues.oldest_items(pool, WorkClass.URGENT).values()
        return max((now - item.arrived for item in oldest_items), default=0.0)

    def tasks_by_vm(self) -> Counter[VmId]:
        """Return the number of tasks of this node that are running, by VM."""
        return Counter(attempt.vm for attempt in self._running_attempts.values())

    def entitled_units(self) -> dict[TeamId, float]:
        """Return the units each team is entitled to on the pools of this node."""
        return entitlements(self._team_demands(self._all_running()), self._capacity())

    @property
    def queues(self) -> WorkQueues:
        """The requests queued on this node."""
        return self._queues

    @property
    def busy(self) -> bool:
        """Whether any request is open on this node or may still be running."""
        return bool(self._executions) or self._delayed_releases > 0

    async def serve(self) -> None:
        """Start requests as units and slots become free, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                self._tick()
                tick_seconds = TICK_SECONDS if self.busy else IDLE_TICK_SECONDS
                with anyio.move_on_after(tick_seconds):
                    await self._wake.wait()
                self._wake = anyio.Event()

    def wake(self) -> None:
        """Make ``serve`` start requests now instead of at its next tick."""
        self._wake.set()

    def submit(self, execution: WorkExecution) -> None:
        """Queue a request; its ``done`` event is set along with its answer."""
        execution.queued_at = self._clock.now()
        self._executions[execution.request.id] = execution
        self._requests_by_pool[execution.queue.pool] += 1
        shed = self._queues.push(execution.item(), self._current_shares())
        if shed is not None:
            detail = "the backlog limit of the pool was reached"
            self._answer_unstarted(shed.request, NotRunReason.OVERLOAD, detail)
        self.wake()

    def cancel(self, request: RequestId) -> None:
        """Remove a queued request, or stop a running one if it may be stopped."""
        execution = self._executions.get(request)
        if execution is None or execution.pinned_vm is not None:
            return
        if self._queues.cancel(request) is not None:
            self._answer_request(execution, NotRun(reason=NotRunReason.CANCELLED))
        elif execution.request.claim is None:
            execution.cancelled = True
            if execution.attempt_scope is not None:
                execution.attempt_scope.cancel()

    def preempt_idempotent_batch(self, vm: VmId) -> None:
        """Preempt the idempotent batch work that this node runs on ``vm``.

        Other work is left to finish, because a checkpoint would not survive the
        reboot of the VM.
        """
        for attempt in list(self._running_attempts.values()):
            if (
                attempt.vm == vm
                and not attempt.execution.urgent
                and attempt.execution.queue.idempotent
            ):
                self._preempt(attempt)

    def _preempt(self, attempt: RunningAttempt) -> None:
        worker = self._attempt_runner.worker_on(attempt.vm)
        if worker is None or attempt.execution.preempted:
            return
        attempt.execution.preempted = True
        task = attempt.execution.request.task
        stop = worker.stop if attempt.execution.queue.idempotent else worker.checkpoint
        self._group.start_soon(stop, task)

    def _tick(self) -> None:
        for item in self._queues.expire(self._clock.now()):
            detail = "the request waited for a slot and a unit until its deadline"
            self._answer_unstarted(item.request, NotRunReason.DEADLINE, detail)
        self._update_endpoints()
        for pool in list(self._requests_by_pool):
            self._start_queued(pool)
            self._preempt_for_waiting(pool)

    def _answer_unstarted(
        self, request: RequestId, reason: NotRunReason, detail: str
    ) -> None:
        execution = self._executions.get(request)
        if execution is None:
            return
        if execution.may_have_run:
            self._answer_request(
                execution, Failed(detail=f"an attempt was lost; then {detail}")
            )
            return
        answer = NotRun(
            reason=reason, detail=detail, retry_after=OVERLOAD_RETRY_SECONDS
        )
        self._answer_request(execution, execution.answer or answer)

    def _answer_request(self, execution: WorkExecution, answer: WorkAnswer) -> None:
        self._remove(execution)
        execution.set_answer(answer)

    def _remove(self, execution: WorkExecution) -> None:
        if self._executions.pop(execution.request.id, None) is None:
            return
        self.endpoints.forget_task(execution.request.task)
        self._requests_by_pool[execution.queue.pool] -= 1
        if not self._requests_by_pool[execution.queue.pool]:
            del self._requests_by_pool[execution.queue.pool]

    def _start_queued(self, pool: PoolId) -> None:
        now = self._clock.now()
        if not self._replica.freshness.is_fresh(now):
            return
        if self.endpoints.pick(pool, (), now) is None:
            return
        entitled_units = self.entitled_units()
        while self.endpoints.pick(pool, (), now) is not None:
            item = self._queues.pop_next(
                pool,
                self._current_shares(),
                self._all_running(),
                self._may_start,
                now,
                entitled_units,
            )
            if item is None:
                return
            execution = self._executions[item.request]
            vm = self._pick_vm(execution, now)
            if vm is None:
                self._queues.requeue(item)
                return
            self._start(execution, vm, now)

    def _preempt_for_waiting(self, pool: PoolId) -> None:
        """Stop or checkpoint running work for work that has waited too long."""
        now = self._clock.now()
        waiting_work = list(self._waiting_work(pool))
        if not waiting_work:
            return
        running_attempts = [
            attempt
            for attempt in self._running_attempts.values()
            if attempt.execution.queue.pool == pool
            and not self._replica.tables.is_evacuated(attempt.vm)
        ]
        running = self._all_running()
        free = sum(_free_capacity(row, now) for row in self.endpoints.members(pool))
        entitled_units = self.entitled_units()
        tasks = [_running_task(attempt) for attempt in running_attempts]
        planner = self._preemption_planner(pool)
        for decision in planner.decide(
            waiting_work, tasks, free, running, entitled_units, now
        ):
            attempt = self._running_attempts.get(decision.task)
            if attempt is not None and isinstance(decision, Checkpoint | Stop):
                self._preempt(attempt)

    def _preemption_planner(self, pool: PoolId) -> PreemptionPlanner:
        return self._preemption_planners.setdefault(pool, PreemptionPlanner())

    def _waiting_work(self, pool: PoolId) -> Iterator[WaitingWork]:
        for work_class in WorkClass:
            waiting = self._queues.waiting_counts(pool, work_class)
            for team, oldest_item in self._queues.oldest_items(
                pool, work_class
            ).items():
                if self._may_start(team):
                    yield WaitingWork(
                        team=team,
                        work_class=work_class,
                        units=waiting[team],
                        oldest=oldest_item.arrived,
                    )

    def _team_demands(self, running: Mapping[TeamId, int]) -> Iterator[TeamDemand]:
        tables = self._replica.tables
        waiting = self.waiting_counts()
        for team, share in self._current_shares().items():
            demand = running.get(team, 0) + waiting[team]
            limit = tables.limit_of(team)
            yield TeamDemand(team=team, weight=share, limit=limit, demand=demand)

    def _capacity(self) -> int:
        rows = (
            row
            for pool in self._requests_by_pool
            for row in self.endpoints.members(pool)
        )
        return sum(row.capacity for row in rows if row.in_service)

    def _may_start(self, team: TeamId) -> bool:
        return self._escrow.available(self._replica.tables, team) > 0

    def _pick_vm(self, execution: WorkExecution, now: float) -> VmId | None:
        pool = execution.queue.pool
        if execution.pinned_vm is not None:
            row = self.endpoints.row(execution.pinned_vm)
            return (
                execution.pinned_vm
                if row is not None and row.used < row.slots
                else None
            )
        avoided_vms = execution.avoided_vms | self.endpoints.failed_on(
            execution.request.task
        )
        may_probe = execution.queue.idempotent and not execution.attempts
        found = self.endpoints.pick(pool, avoided_vms, now, may_probe=may_probe)
        return found or self.endpoints.pick(pool, (), now, may_probe=may_probe)

    def _start(self, execution: WorkExecution, vm: VmId, now: float) -> None:
        team = execution.request.team
        if not self._escrow.start(self._replica.tables, team):
            self._queues.requeue(execution.item())
            return
        self.running[team] += 1
        self.endpoints.note_start(vm, execution.request.task, now)
        execution.attempts += 1
        self._telemetry.note_wait(execution.request, now - execution.queued_at)
        attempt = RunningAttempt(execution, vm, now)
        self._running_attempts[execution.request.task] = attempt
        self._group.start_soon(self._run_attempt, attempt)

    async def _run_attempt(self, attempt: RunningAttempt) -> None:
        execution = attempt.execution
        try:
            outcome = await self._attempt_runner.run(
                execution, attempt.vm, self.endpoints
            )
        except Exception:
            logger.exception(
                "an attempt of request %s failed with an internal error",
                execution.request.id,
            )
            outcome = FinalAnswer(_internal_error_answer(execution))
        finally:
            self._running_attempts.pop(execution.request.task, None)
            self._preemption_planner(execution.queue.pool).note_finish(
                execution.request.task
            )
            self._release(execution)
        match outcome:
            case FinalAnswer(answer):
                self._answer_request(execution, answer)
            case RetryAfter(pause):
                await anyio.sleep(pause)
                self._requeue(execution)

    def _release(self, execution: WorkExecution) -> None:
        """Release the unit of an attempt once its work can no longer be running."""
        release_delay, execution.release_delay = execution.release_delay, 0.0
        if release_delay > 0:
            self._delayed_releases += 1
            self._group.start_soon(
                self._release_after, execution.request.team, release_delay
            )
        else:
            self._free_unit(execution.request.team)

    async def _release_after(self, team: TeamId, release_delay: float) -> None:
        await anyio.sleep(release_delay)
        self._delayed_releases -= 1
        self._free_unit(team)

    def _free_unit(self, team: TeamId) -> None:
        self.running[team] -= 1
        self._escrow.finish(team)
        self.wake()

    def _requeue(self, execution: WorkExecution) -> None:
        if execution.cancelled:
            self._answer_request(execution, cancelled_answer())
        elif execution.request.id in self._executions:
            execution.queued_at = self._clock.now()
            self._queues.requeue(execution.item())
            self.wake()

    def _current_shares(self) -> dict[TeamId, float]:
        tables = self._replica.tables
        if self._shares_revision != tables.revision:
            self._shares_revision = tables.revision
            self._shares = _shares(tables)
        return self._shares

    def _all_running(self) -> dict[TeamId, int]:
        total = Counter(self.running)
        for peer, counts in self._peers_running.items():
            if self._replica.tables.is_live(peer):
                total.update(counts)
        return total

    def _update_endpoints(self) -> None:
        tables = self._replica.tables
        version = (tables.sequence, frozenset(self._requests_by_pool))
        if version == self._applied_version:
            return
        self._applied_version = version
        for vm in set(self._known_vms) - set(tables.vms):
            del self._known_vms[vm]
            self.endpoints.remove(vm)
        for vm, row in tables.vms.items():
            if row.pool in self._requests_by_pool or vm in self._known_vms:
                self._update_endpoint(tables, row)

    def _update_endpoint(self, tables: Tables, row: VmRow) -> None:
        endpoint = tables.endpoint_of(row.vm)
        in_service = tables.takes_work(row)
        state = (row.revision, endpoint, in_service)
        if endpoint is None or self._known_vms.get(row.vm) == state:
            return
        self._known_vms[row.vm] = state
        self.endpoints.put(
            EndpointRow(
                vm=row.vm,
                pool=row.pool,
                zone=endpoint.zone,
                rack=endpoint.rack,
                slots=endpoint.slots,
                in_service=in_service,
            )
        )


def _internal_error_answer(execution: WorkExecution) -> Failed | Unknown:
    detail = "the attempt failed with an internal error"
    return (
        Failed(detail=detail) if execution.queue.idempotent else Unknown(detail=detail)
    )


def _free_capacity(row: EndpointRow, now: float) -> float:
    return max(0.0, row.capacity - row.used) if row.serves(now) else 0.0


def _running_task(attempt: RunningAttempt) -> RunningTask:
    return RunningTask(
        task=attempt.execution.request.task,
        team=attempt.execution.request.team,
        vm=attempt.vm,
        work_class=attempt.execution.queue.work_class,
        started=attempt.started,
        can_checkpoint=not attempt.execution.urgent
        and not attempt.execution.queue.idempotent,
        idempotent=attempt.execution.queue.idempotent,
    )


def _shares(tables: Tables) -> dict[TeamId, float]:
    return {
        name: row.obj.percent
        for name, row in tables.objects[Kind.SHARE].items()
        if isinstance(row.obj, Share)
    }
