"""Starts queued requests as units of their team's limit and slots are free."""

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
from hickoryplank.shell.attempts import Attempts, withdrawn
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.jobs import Again, Closed, Job, Run
from hickoryplank.shell.replica import Replica
from hickoryplank.shell.telemetry import Telemetry

__all__ = ["Dispatcher"]

logger = logging.getLogger(__name__)

BEAT_SECONDS = 0.05
IDLE_BEAT_SECONDS = 1.0
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
        attempts: Attempts,
        clock: Clock,
        bounds: BacklogLimits = DEFAULT_BACKLOG_LIMITS,
        telemetry: Telemetry | None = None,
    ):
        self._telemetry = telemetry or Telemetry()
        self._replica = replica
        self._escrow = escrow
        self._attempts = attempts
        self._clock = clock
        self._queues = WorkQueues(bounds)
        self._jobs: dict[RequestId, Job] = {}
        self._runs: dict[TaskId, Run] = {}
        self._preemptions: dict[PoolId, PreemptionPlanner] = {}
        self._lingering = 0
        self._shares: dict[TeamId, float] = {}
        self._shares_revision = -1
        self._pools: Counter[PoolId] = Counter()
        self._followed: tuple[int, frozenset[PoolId]] | None = None
        self._vms_seen: dict[VmId, VmRow] = {}
        self._group: TaskGroup | None = None
        self._wake = anyio.Event()
        self.endpoints = EndpointTable()
        self.running: Counter[TeamId] = Counter()
        self._peers_running: dict[Incarnation, dict[TeamId, int]] = {}

    def note_running(self, peer: Incarnation, running: RunningCounts) -> None:
        """Record how many units a peer uses for each team."""
        known = self._peers_running.get(peer, {})
        self._peers_running[peer] = merge_running_counts(known, running)

    def waiting_counts(self) -> Counter[TeamId]:
        """Return the number of requests queued on this node, by team."""
        total: Counter[TeamId] = Counter()
        for pool in self._pools:
            for work_class in WorkClass:
                total.update(self._queues.waiting_counts(pool, work_class))
        return total

    def running_by_pool(self) -> Counter[PoolId]:
        """Return the number of attempts of this node that are running, by pool."""
        return Counter(run.job.queue.pool for run in self._runs.values())

    def waiting_by_pool(self) -> Counter[PoolId]:
        """Return the number of requests queued on this node, by pool."""
        total: Counter[PoolId] = Counter()
        for pool in self._pools:
            for work_class in WorkClass:
                total[pool] += sum(
                    self._queues.waiting_counts(pool, work_class).values()
                )
        return total

    def longest_wait(self, pool: PoolId, now: float) -> float:
        """Return how long the oldest urgent request of ``pool`` waits, in seconds."""
        heads = self._queues.oldest_items(pool, WorkClass.URGENT).values()
        return max((now - item.arrived for item in heads), default=0.0)

    def busy_vms(self) -> Counter[VmId]:
        """Return the number of tasks of this node that are running, by VM."""
        return Counter(run.vm for run in self._runs.values())

    def due(self) -> dict[TeamId, float]:
        """Return the units each team is entitled to on the pools of this node."""
        return entitlements(self._team_demands(self._all_running()), self._capacity())

    @property
    def queues(self) -> WorkQueues:
        """The requests queued on this node."""
        return self._queues

    @property
    def busy(self) -> bool:
        """Whether any request is open on this node or may still be running."""
        return bool(self._jobs) or self._lingering > 0

    async def serve(self) -> None:
        """Start requests as units and slots become free, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                self._tick()
                beat = BEAT_SECONDS if self.busy else IDLE_BEAT_SECONDS
                with anyio.move_on_after(beat):
                    await self._wake.wait()
                self._wake = anyio.Event()

    def wake(self) -> None:
        """Make ``serve`` look for requests to start without waiting for its tick."""
        self._wake.set()

    def submit(self, job: Job) -> None:
        """Queue a request; its ``done`` event is set along with its answer."""
        job.queued = self._clock.now()
        self._jobs[job.request.id] = job
        self._pools[job.queue.pool] += 1
        shed = self._queues.push(job.item(), self._current_shares())
        if shed is not None:
            detail = "more work waits than the queue holds"
            self._close_waiting(shed.request, NotRunReason.OVERLOAD, detail)
        self.wake()

    def cancel(self, request: RequestId) -> None:
        """Remove a queued request, or stop a running one if it may be stopped."""
        job = self._jobs.get(request)
        if job is None or job.pinned is not None:
            return
        if self._queues.cancel(request) is not None:
            self._close(job, NotRun(reason=NotRunReason.CANCELLED))
        elif job.request.claim is None:
            job.cancelled = True
            if job.scope is not None:
                job.scope.cancel()

    def clear_batch(self, vm: VmId) -> None:
        """Preempt the idempotent batch work that this node runs on ``vm``.

        Other work is left to finish, because its checkpoint would not survive a
        reboot.
        """
        for run in list(self._runs.values()):
            if run.vm == vm and not run.job.urgent and run.job.queue.idempotent:
                self._preempt(run)

    def _preempt(self, run: Run) -> None:
        worker = self._attempts.worker_on(run.vm)
        if worker is None or run.job.preempted:
            return
        run.job.preempted = True
        task = run.job.request.task
        stop = worker.stop if run.job.queue.idempotent else worker.checkpoint
        self._group.start_soon(stop, task)

    def _tick(self) -> None:
        for item in self._queues.expire(self._clock.now()):
            detail = "no slot became free before the deadline"
            self._close_waiting(item.request, NotRunReason.DEADLINE, detail)
        self._follow_vms()
        for pool in list(self._pools):
            self._start_in(pool)
            self._make_room(pool)

    def _close_waiting(
        self, request: RequestId, reason: NotRunReason, detail: str
    ) -> None:
        job = self._jobs.get(request)
        if job is None:
            return
        if job.may_have_run:
            self._close(job, Failed(detail=f"an attempt was lost; then {detail}"))
            return
        answer = NotRun(
            reason=reason, detail=detail, retry_after=OVERLOAD_RETRY_SECONDS
        )
        self._close(job, job.answer or answer)

    def _close(self, job: Job, answer: WorkAnswer) -> None:
        self._forget(job)
        job.close(answer)

    def _forget(self, job: Job) -> None:
        if self._jobs.pop(job.request.id, None) is None:
            return
        self.endpoints.forget_task(job.request.task)
        self._pools[job.queue.pool] -= 1
        if not self._pools[job.queue.pool]:
            del self._pools[job.queue.pool]

    def _start_in(self, pool: PoolId) -> None:
        now = self._clock.now()
        if not self._replica.freshness.is_fresh(now):
            return
        if self.endpoints.pick(pool, (), now) is None:
            return
        due = self.due()
        while self.endpoints.pick(pool, (), now) is not None:
            item = self._queues.pop_next(
                pool,
                self._current_shares(),
                self._all_running(),
                self._may_start,
                now,
                due,
            )
            if item is None:
                return
            job = self._jobs[item.request]
            vm = self._place(job, now)
            if vm is None:
                self._queues.requeue(item)
                return
            self._start(job, vm, now)

    def _make_room(self, pool: PoolId) -> None:
        """Stop or checkpoint batch work if urgent work has waited too long."""
        now = self._clock.now()
        demands = list(self._demands(pool))
        if not demands:
            return
        runs = [run for run in self._runs.values() if run.job.queue.pool == pool]
        running = self._all_running()
        free = sum(_free(row, now) for row in self.endpoints.members(pool))
        due = self.due()
        tasks = [_running_task(run) for run in runs]
        preemption = self._preemption(pool)
        for decision in preemption.decide(demands, tasks, free, running, due, now):
            run = self._runs.get(decision.task)
            if run is not None and isinstance(decision, Checkpoint | Stop):
                self._preempt(run)

    def _preemption(self, pool: PoolId) -> PreemptionPlanner:
        return self._preemptions.setdefault(pool, PreemptionPlanner())

    def _demands(self, pool: PoolId) -> Iterator[WaitingWork]:
        for work_class in WorkClass:
            waiting = self._queues.waiting_counts(pool, work_class)
            for team, head in self._queues.oldest_items(pool, work_class).items():
                if self._may_start(team):
                    yield WaitingWork(
                        team=team,
                        work_class=work_class,
                        units=waiting[team],
                        oldest=head.arrived,
                    )

    def _team_demands(self, running: Mapping[TeamId, int]) -> Iterator[TeamDemand]:
        tables = self._replica.tables
        waiting = self.waiting_counts()
        for team, share in self._current_shares().items():
            wants = running.get(team, 0) + waiting[team]
            limit = tables.limit_of(team)
            yield TeamDemand(team=team, weight=share, limit=limit, demand=wants)

    def _capacity(self) -> int:
        rows = (row for pool in self._pools for row in self.endpoints.members(pool))
        return sum(row.capacity for row in rows if row.in_service)

    def _may_start(self, team: TeamId) -> bool:
        return self._escrow.available(self._replica.tables, team) > 0

    def _place(self, job: Job, now: float) -> VmId | None:
        pool = job.queue.pool
        if job.pinned is not None:
            row = self.endpoints.row(job.pinned)
            return job.pinned if row is not None and row.used < row.slots else None
        avoided = job.avoided | self.endpoints.failed_on(job.request.task)
        may_probe = job.queue.idempotent and not job.attempts
        found = self.endpoints.pick(pool, avoided, now, may_probe=may_probe)
        return found or self.endpoints.pick(pool, (), now, may_probe=may_probe)

    def _start(self, job: Job, vm: VmId, now: float) -> None:
        team = job.request.team
        if not self._escrow.start(self._replica.tables, team):
            self._queues.requeue(job.item())
            return
        self.running[team] += 1
        self.endpoints.note_start(vm, job.request.task, now)
        job.attempts += 1
        self._telemetry.note_wait(job.request, now - job.queued)
        run = Run(job, vm, now)
        self._runs[job.request.task] = run
        self._group.start_soon(self._run, run)

    async def _run(self, run: Run) -> None:
        job = run.job
        try:
            step = await self._attempts.run(job, run.vm, self.endpoints)
        except Exception:
            logger.exception(
                "an attempt of request %s failed with an internal error", job.request.id
            )
            step = Closed(_broken(job))
        finally:
            self._runs.pop(job.request.task, None)
            self._preemption(job.queue.pool).note_finish(job.request.task)
            self._release(job)
        match step:
            case Closed(answer):
                self._close(job, answer)
            case Again(pause):
                await anyio.sleep(pause)
                self._try_again(job)

    def _release(self, job: Job) -> None:
        """Release the unit of an attempt once its work can no longer be running."""
        linger, job.linger = job.linger, 0.0
        if linger > 0:
            self._lingering += 1
            self._group.start_soon(self._release_later, job.request.team, linger)
        else:
            self._free_unit(job.request.team)

    async def _release_later(self, team: TeamId, linger: float) -> None:
        await anyio.sleep(linger)
        self._lingering -= 1
        self._free_unit(team)

    def _free_unit(self, team: TeamId) -> None:
        self.running[team] -= 1
        self._escrow.finish(team)
        self.wake()

    def _try_again(self, job: Job) -> None:
        if job.cancelled:
            self._close(job, withdrawn())
        elif job.request.id in self._jobs:
            job.queued = self._clock.now()
            self._queues.requeue(job.item())
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

    def _follow_vms(self) -> None:
        tables = self._replica.tables
        followed = (tables.sequence, frozenset(self._pools))
        if followed == self._followed:
            return
        self._followed = followed
        for vm in set(self._vms_seen) - set(tables.vms):
            del self._vms_seen[vm]
            self.endpoints.remove(vm)
        for vm, row in tables.vms.items():
            if row.pool in self._pools or vm in self._vms_seen:
                self._follow_vm(tables, row)

    def _follow_vm(self, tables: Tables, row: VmRow) -> None:
        endpoint = tables.endpoint_of(row.vm)
        state = (row.revision, endpoint)
        if endpoint is None or self._vms_seen.get(row.vm) == state:
            return
        self._vms_seen[row.vm] = state
        self.endpoints.put(
            EndpointRow(
                vm=row.vm,
                pool=row.pool,
                zone=endpoint.zone,
                rack=endpoint.rack,
                slots=endpoint.slots,
                in_service=row.in_service,
            )
        )


def _broken(job: Job) -> Failed | Unknown:
    detail = "the attempt failed with an internal error"
    return Failed(detail=detail) if job.queue.idempotent else Unknown(detail=detail)


def _free(row: EndpointRow, now: float) -> float:
    return max(0.0, row.capacity - row.used) if row.serves(now) else 0.0


def _running_task(run: Run) -> RunningTask:
    return RunningTask(
        task=run.job.request.task,
        team=run.job.request.team,
        vm=run.vm,
        work_class=run.job.queue.work_class,
        started=run.started,
        can_checkpoint=not run.job.urgent and not run.job.queue.idempotent,
        idempotent=run.job.queue.idempotent,
    )


def _shares(tables: Tables) -> dict[TeamId, float]:
    return {
        name: row.obj.percent
        for name, row in tables.objects[Kind.SHARE].items()
        if isinstance(row.obj, Share)
    }
