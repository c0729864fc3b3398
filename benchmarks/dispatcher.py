"""Simulated dispatcher of one pool, which runs the decision logic of the core."""

from collections import defaultdict
from collections.abc import Collection, Mapping
from enum import Enum
from random import Random

import msgspec

from benchmarks.fake import EventLoop, FakeWorker, Job
from hickoryplank.core.fleet_counts import FleetCounts
from hickoryplank.core.ids import PoolId, RequestId, TaskId, TeamId, VmId
from hickoryplank.core.objects import WorkClass
from hickoryplank.core.placement import (
    EndpointRow,
    EndpointTable,
    RunResult,
    RunVerdict,
)
from hickoryplank.core.preemption import (
    Checkpoint,
    PreemptionPlanner,
    RunningTask,
    WaitingWork,
)
from hickoryplank.core.preemption import Stop as StopTask
from hickoryplank.core.queues import BacklogLimits, WorkItem, WorkQueues
from hickoryplank.core.retries import Retry, RetryBudget, hedge_at, next_attempt
from hickoryplank.core.run_times import RunTimeEstimate
from hickoryplank.core.shares import TeamDemand, entitlements
from hickoryplank.core.sizes import SizeTable

__all__ = [
    "ClusterState",
    "DispatchStats",
    "Dispatcher",
    "PlacementPolicy",
    "Policy",
    "StartOrder",
]

TICK_SECONDS = 0.1
EXCHANGE_INTERVAL_SECONDS = 0.2
CHECKPOINT_SECONDS = 0.25
#: Timeout of a run: ``TIMEOUT_FACTOR`` times the 95th percentile of the run times of
#: its queue, but at least ``MIN_TIMEOUT_SECONDS``.
MIN_TIMEOUT_SECONDS, TIMEOUT_FACTOR = 4.0, 4.0
UNBOUNDED_ITEMS = 1_000_000


class StartOrder(Enum):
    """Order in which waiting items start."""

    SHARES = "shares"
    ARRIVAL = "arrival"
    PRIORITY = "priority"


class PlacementPolicy(Enum):
    """Choice of the endpoint on which a run starts."""

    LEARNED = "learned"
    RANDOM = "random"
    TWO_CHOICES = "two_choices"


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Policy of a dispatcher, with a switch for each of its parts.

    :param preempt: whether running work is preempted for waiting work.
    :param budget: whether retries and hedges are limited by a retry budget.
    :param hedge: whether a second run is started elsewhere when a connection is silent.
    :param eject: whether failures and silence of an endpoint lead to its ejection.
    :param shed: whether the backlog is bounded and load beyond the bound is shed.
    :param learn_sizes: whether sizes of runs are learned from usage; otherwise each
        run counts as one unit.
    """

    order: StartOrder = StartOrder.SHARES
    placement: PlacementPolicy = PlacementPolicy.LEARNED
    preempt: bool = True
    budget: bool = True
    hedge: bool = True
    eject: bool = True
    shed: bool = True
    learn_sizes: bool = True


class DispatchStats(msgspec.Struct):
    """Outcomes of the requests and attempts of a simulation.

    :param not_run: requests that were not answered, including shed and expired ones.
    :param given_up: requests that were given up after failed attempts.
    :param urgent: urgent requests, except those that fail on every worker.
    :param urgent_in_time: those of ``urgent`` answered by a run that started before
        the deadline.
    :param urgent_waits: waits of the requests in ``urgent``, in seconds: from arrival
        to the start of the run that answered, or to the deadline if none started in
        time.
    """

    submitted: int = 0
    answered: int = 0
    not_run: int = 0
    given_up: int = 0
    attempts: int = 0
    failed_attempts: int = 0
    urgent: int = 0
    urgent_in_time: int = 0
    urgent_waits: list[float] = msgspec.field(default_factory=list)


class Team(msgspec.Struct, frozen=True):
    """Share and limit of a team.

    :param weight: share of the fleet, in percent.
    :param limit: largest number of runs at a time.
    """

    weight: float
    limit: int


class ClusterState:
    """State that the dispatchers of a simulation share.

    A dispatcher learns the counts of the others only at the next exchange. Only the
    number of runs of each team in ``runs`` is up to date at any time.

    :param capacity: units of the whole fleet.
    """

    def __init__(self, loop: EventLoop, teams: Mapping[TeamId, Team], capacity: float):
        self.teams = teams
        self.shares = {name: team.weight for name, team in teams.items()}
        self.capacity = capacity
        self.runs: dict[TeamId, int] = defaultdict(int)
        self.dispatchers: list[Dispatcher] = []
        self.entitled_units: dict[TeamId, float] = {}
        self.waiting_units: dict[TeamId, float] = {}
        loop.call_every(EXCHANGE_INTERVAL_SECONDS, self.exchange)

    def exchange(self) -> None:
        """Give every dispatcher the current running and waiting units of the fleet."""
        running, waiting = defaultdict(float), defaultdict(float)
        for dispatcher in self.dispatchers:
            for team, units in dispatcher.counts.own.items():
                running[team] += units
            for team, units in dispatcher.waiting_units().items():
                waiting[team] += units
        self.waiting_units = waiting
        self.entitled_units = entitlements(
            (
                TeamDemand(
                    team=name,
                    weight=team.weight,
                    limit=team.limit * self.dispatchers[0].size_of(name),
                    demand=running[name] + waiting[name],
                )
                for name, team in self.teams.items()
            ),
            self.capacity,
        )
        for dispatcher in self.dispatchers:
            own_waiting, own_running = dispatcher.waiting_units(), dispatcher.counts.own
            fractions = {
                team: (own_waiting[team] + own_running.get(team, 0.0))
                / max(units + waiting[team], 1)
                for team, units in running.items()
            }
            dispatcher.counts.exchange(running, fractions)
            dispatcher.note_other_dispatchers(self.dispatchers)


class _Run(msgspec.Struct, kw_only=True):
    job: Job
    worker: FakeWorker
    units: float
    started: float
    run_number: int = 0


class _UnlimitedRetryBudget(RetryBudget):
    def take(self, pool: PoolId, team: TeamId) -> bool:
        return True


class Dispatcher:
    """Queues and dispatches the work of one pool.

    :param vm_list_lag: time until the VM list shows the crash of a VM, in seconds.
    """

    def __init__(
        self,
        loop: EventLoop,
        pool: PoolId,
        workers: list[FakeWorker],
        cluster: ClusterState,
        policy: Policy,
        rng: Random,
        stats: DispatchStats,
        vm_list_lag: float = 2.0,
    ) -> None:
        self.counts = FleetCounts()
        self.endpoints = EndpointTable()
        self._loop, self.pool, self._cluster, self._policy = loop, pool, cluster, policy
        self._rng, self._stats, self._vm_list_lag = rng, stats, vm_list_lag
        backlog_limits = (
            BacklogLimits()
            if policy.shed
            else BacklogLimits(UNBOUNDED_ITEMS, UNBOUNDED_ITEMS)
        )
        self._queues = WorkQueues(backlog_limits)
        self._budget = RetryBudget() if policy.budget else _UnlimitedRetryBudget()
        self._preemption = PreemptionPlanner()
        self._running_elsewhere: dict[VmId, int] = {}
        self._skipped_teams: set[TeamId] = set()
        self._reserved_item: WorkItem | None = None
        self._sizes = SizeTable()
        self._workers = {worker.endpoint.vm: worker for worker in workers}
        self._jobs: dict[RequestId, Job] = {}
        self._retries: dict[RequestId, int] = defaultdict(int)
        self._runs: dict[TaskId, list[_Run]] = defaultdict(list)
        for worker in workers:
            self.endpoints.put(msgspec.structs.replace(worker.endpoint))
        cluster.dispatchers.append(self)
        loop.call_every(TICK_SECONDS, self.tick)

    # Arrivals, the periodic tick and the exchange of counts.

    def submit(self, job: Job) -> None:
        """Queue a request and dispatch."""
        self._stats.submitted += 1
        urgent = job.item.work_class is WorkClass.URGENT and not job.is_poison
        self._stats.urgent += urgent
        self._jobs[job.item.request] = job
        self._budget.note_attempt(self.pool, job.item.team)
        shed_item = self._queues.push(job.item, self._cluster.shares)
        if shed_item is not None:
            self._settle(shed_item, None)
        self._dispatch()

    def tick(self) -> None:
        """Expire overdue items, decide preemptions and dispatch."""
        for item in self._queues.expire(self._loop.now):
            self._settle(item, None)
        if self._policy.preempt:
            self._decide_preemptions()
        self._dispatch()

    def crash(self, vms: list[VmId]) -> None:
        """Crash VMs, and take them out of service after the lag of the VM list."""
        for vm in vms:
            self._workers[vm].crash()
        self._loop.call_at(
            self._loop.now + self._vm_list_lag, lambda: self._remove_vms(vms)
        )

    def waiting_units(self) -> dict[TeamId, float]:
        """Return the units of waiting work by team."""
        units: dict[TeamId, float] = defaultdict(float)
        for work_class in WorkClass:
            for team, items in self._queues.waiting_counts(
                self.pool, work_class
            ).items():
                units[team] += items * self.size_of(team)
        return units

    def size_of(self, team: TeamId) -> float:
        """Return the expected size of a run of ``team``, in units."""
        return self._sizes.of("", team) if self._policy.learn_sizes else 1.0

    def note_other_dispatchers(self, dispatchers: list["Dispatcher"]) -> None:
        """Update how many runs other dispatchers have on the workers of this pool."""
        other_dispatchers = [
            other
            for other in dispatchers
            if other is not self and other.pool == self.pool
        ]
        self._running_elsewhere = {
            row.vm: sum(
                other.endpoints.row(row.vm).running for other in other_dispatchers
            )
            for row in self.endpoints.members(self.pool)
        }

    # Starts of runs.

    def _dispatch(self) -> None:
        self._skipped_teams.clear()
        self._start_reserved()
        while self._pick((), 1.0) is not None:
            item = self._pop_next()
            if item is None:
                return
            if not self._start(self._jobs[item.request]):
                self._skip_team(item)

    def _start_reserved(self) -> None:
        item = self._reserved_item
        if item is None or not self._may_start(item.team):
            return
        exclude, units = self._exclude(item.task), self.size_of(item.team)
        if self._pick(exclude, units, item.task) is not None:
            self._queues.cancel(item.request)
            self._start(self._jobs[item.request])

    def _skip_team(self, item: WorkItem) -> None:
        """Skip the team of an item that fits on no endpoint.

        With ``PlacementPolicy.LEARNED``, also reserve an endpoint for the item, unless
        another item has a reservation.
        """
        self._skipped_teams.add(item.team)
        if (
            self._policy.placement is PlacementPolicy.LEARNED
            and self._reserved_item is None
        ):
            exclude, now = self._exclude(item.task), self._loop.now
            if self.endpoints.reserve(self.pool, exclude, item.task, now):
                self._reserved_item = item

    def _pop_next(self) -> WorkItem | None:
        order = self._policy.order
        if order is StartOrder.SHARES:
            return self._queues.pop_next(
                self.pool,
                self._cluster.shares,
                self.counts.running,
                self._may_start,
                self._loop.now,
                self._cluster.entitled_units,
            )
        candidates = [
            item
            for work_class in WorkClass
            for item in self._queues.oldest_items(self.pool, work_class).values()
            if self._may_start(item.team)
        ]
        batch_last = order is StartOrder.PRIORITY
        item = min(candidates, key=lambda i: _sort_key(i, batch_last), default=None)
        return item and self._queues.cancel(item.request)

    def _may_start(self, team: TeamId) -> bool:
        if team in self._skipped_teams:
            return False
        return self._cluster.runs[team] < self._cluster.teams[team].limit

    def _start(self, job: Job, hedge: bool = False) -> bool:
        item = job.item
        units = self.size_of(item.team)
        vm = self._pick(self._exclude(item.task), units, item.task)
        if vm is None:
            if not hedge:
                self._queues.requeue(item)
            return False
        run = _Run(
            job=job, worker=self._workers[vm], units=units, started=self._loop.now
        )
        self._release(item.task)
        self._runs[item.task].append(run)
        self._cluster.runs[item.team] += 1
        self.counts.change(item.team, units)
        self.endpoints.note_start(vm, item.task, self._loop.now, units)
        self._stats.attempts += 1
        run.run_number = run.worker.start(
            job, lambda result: self._note_end(run, result)
        )
        timeout = max(MIN_TIMEOUT_SECONDS, TIMEOUT_FACTOR * self._run_time(item).p95)
        self._loop.call_at(
            self._loop.now + timeout, lambda: self._note_end(run, RunResult.SILENT)
        )
        if self._policy.hedge and not hedge:
            self._plan_hedge(run)
        return True

    def _release(self, task: TaskId) -> None:
        if self._reserved_item is not None and self._reserved_item.task == task:
            self.endpoints.release(task)
            self._reserved_item = None

    def _exclude(self, task: TaskId) -> set[VmId]:
        if self._policy.placement is not PlacementPolicy.LEARNED:
            return set()
        tried = {run.worker.endpoint.vm for run in self._runs[task]}
        return tried | self.endpoints.failed_on(task)

    def _pick(
        self, exclude: Collection[VmId], units: float, task: TaskId | None = None
    ) -> VmId | None:
        if self._policy.placement is PlacementPolicy.LEARNED:
            now = self._loop.now
            return self.endpoints.pick(self.pool, exclude, now, units, task=task)
        rows = [
            row
            for row in self.endpoints.members(self.pool)
            if row.in_service and self._estimated_running(row) < row.slots
        ]
        sample_size = 1 if self._policy.placement is PlacementPolicy.RANDOM else 2
        rows = self._rng.sample(rows, min(sample_size, len(rows)))
        return min(rows, key=self._estimated_running).vm if rows else None

    def _estimated_running(self, row: EndpointRow) -> int:
        return row.running + self._running_elsewhere.get(row.vm, 0)

    # Ends of runs.

    def _note_end(self, run: _Run, result: RunResult) -> None:
        item = run.job.item
        if run not in self._runs.get(item.task, ()):
            return
        self._stats.failed_attempts += result is RunResult.FAILED
        self._sizes.observe("", item.team, run.job.units)
        verdict = self._finish(run, result)
        if result is RunResult.DONE:
            for other in list(self._runs[item.task]):
                self._cancel(other)
            self._settle(item, run)
        elif verdict is RunVerdict.GIVE_UP:
            self._stats.given_up += 1
            self._settle(item, None)
        elif not self._runs[item.task]:
            self._retry_or_settle(item, result)
        self._dispatch()

    def _finish(self, run: _Run, result: RunResult) -> RunVerdict:
        item, vm, now = run.job.item, run.worker.endpoint.vm, self._loop.now
        self._runs[item.task].remove(run)
        self._cluster.runs[item.team] -= 1
        self.counts.change(item.team, -run.units)
        self._preemption.note_finish(item.task)
        if not self._policy.eject and result in (RunResult.FAILED, RunResult.SILENT):
            result = RunResult.STOPPED
        seconds = now - run.started
        return self.endpoints.note_finish(
            vm, item.task, item.queue, result, seconds, now, run.units
        )

    def _cancel(self, run: _Run) -> None:
        run.worker.stop(run.run_number)
        self._finish(run, RunResult.STOPPED)

    def _retry_or_settle(self, item: WorkItem, result: RunResult) -> None:
        retry = self._retries[item.request]
        self._retries[item.request] += 1
        now, jitter = self._loop.now, self._rng.random()
        decision = next_attempt(item, result, retry, self._budget, now, jitter)
        if isinstance(decision, Retry):
            self._loop.call_at(decision.at, lambda: self._requeue(item))
        else:
            self._settle(item, None)

    def _requeue(self, item: WorkItem) -> None:
        self._queues.requeue(item)
        self._dispatch()

    def _settle(self, item: WorkItem, run: _Run | None) -> None:
        self.endpoints.forget_task(item.task)
        self._release(item.task)
        self._runs.pop(item.task, None)
        job = self._jobs.pop(item.request, None)
        if job is None:
            return
        stats = self._stats
        urgent = item.work_class is WorkClass.URGENT and not job.is_poison
        in_time = run is not None and run.started < item.deadline
        stats.answered += run is not None
        stats.not_run += run is None
        if urgent:
            stats.urgent_in_time += in_time
            end = run.started if in_time else item.deadline
            stats.urgent_waits.append(end - item.arrived)

    # Hedging, crashed VMs and preemption.

    def _plan_hedge(self, run: _Run) -> None:
        item = run.job.item
        at = hedge_at(item, run.started, self._run_time(item))
        if at is not None:
            self._loop.call_at(at, lambda: self._hedge_if_silent(run))

    def _run_time(self, item: WorkItem) -> RunTimeEstimate:
        return self.endpoints.run_times.of(item.queue)

    def _hedge_if_silent(self, run: _Run) -> None:
        item = run.job.item
        if self._runs.get(item.task) != [run]:
            return
        if self._policy.eject:
            self.endpoints.note_silence(
                run.worker.endpoint.vm, item.task, run.started, self._loop.now
            )
        if self._may_start(item.team) and self._budget.take(self.pool, item.team):
            self._start_hedge(run)

    def _start_hedge(self, run: _Run) -> None:
        if self._runs.get(run.job.item.task) != [run]:
            return
        if not self._start(run.job, hedge=True):
            later = self._loop.now + TICK_SECONDS
            self._loop.call_at(later, lambda: self._start_hedge(run))

    def _remove_vms(self, vms: list[VmId]) -> None:
        for vm in vms:
            row = self._workers[vm].endpoint
            self.endpoints.put(msgspec.structs.replace(row, in_service=False))
        for run in [r for runs in self._runs.values() for r in runs]:
            if run.worker.endpoint.vm in vms:
                self._note_end(run, RunResult.SILENT)

    def _decide_preemptions(self) -> None:
        now, running_units = self._loop.now, self.counts.running
        self._skipped_teams.clear()
        waiting_work = []
        for work_class in WorkClass:
            counts = self._queues.waiting_counts(self.pool, work_class)
            for team, oldest_item in self._queues.oldest_items(
                self.pool, work_class
            ).items():
                if not self._may_start(team):
                    continue
                units = counts[team] * self.size_of(team)
                waiting_work.append(
                    WaitingWork(
                        team=team,
                        work_class=work_class,
                        units=units,
                        oldest=oldest_item.arrived,
                        fleet_fraction=units
                        / max(self._cluster.waiting_units.get(team, 0.0), units),
                    )
                )
        runs = {t: r[0] for t, r in self._runs.items() if r}
        tasks = [self._running_task(run) for run in runs.values()]
        entitled_units = self._cluster.entitled_units
        for decision in self._preemption.decide(
            waiting_work, tasks, 0.0, running_units, entitled_units, now
        ):
            match decision:
                case Checkpoint(task=task):
                    run = runs[task]
                    later = now + CHECKPOINT_SECONDS
                    self._loop.call_at(later, lambda run=run: self._preempt(run))
                case StopTask(task=task):
                    self._preempt(runs[task])

    def _preempt(self, run: _Run) -> None:
        if run not in self._runs.get(run.job.item.task, ()):
            return
        self._cancel(run)
        remaining_seconds = max(
            run.job.run_seconds - (self._loop.now - run.started), 0.0
        )
        if run.job.item.work_class is WorkClass.BATCH:
            job = msgspec.structs.replace(run.job, run_seconds=remaining_seconds)
            self._jobs[run.job.item.request] = job
        self._requeue(run.job.item)

    def _running_task(self, run: _Run) -> RunningTask:
        item = run.job.item
        p95 = self._run_time(item).p95
        return RunningTask(
            task=item.task,
            team=item.team,
            vm=run.worker.endpoint.vm,
            work_class=item.work_class,
            started=run.started,
            expected_end=run.started + p95,
            units=run.units,
            can_checkpoint=item.work_class is WorkClass.BATCH,
            idempotent=item.idempotent,
        )


def _sort_key(item: WorkItem, batch_last: bool) -> tuple[bool, float]:
    return batch_last and item.work_class is WorkClass.BATCH, item.arrived
