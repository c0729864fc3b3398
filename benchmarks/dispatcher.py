"""Simulated dispatcher of one pool, which runs the decision logic of the core."""

from collections import defaultdict
from collections.abc import Collection, Mapping
from enum import Enum
from random import Random

import msgspec

from benchmarks.fake import FakeWorker, Job, Loop
from hickoryplank.core.counts import FleetCounts
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

__all__ = ["Board", "Dispatcher", "Order", "Placing", "Policy", "Report"]

BEAT_SECONDS = 0.1
EXCHANGE_SECONDS = 0.2
CHECKPOINT_TAKES_SECONDS = 0.25
#: A run times out after the factor times the 95th percentile of the run times of its
#: queue, but not before the seconds given here.
TIMEOUT_SECONDS, TIMEOUT_FACTOR = 4.0, 4.0
UNBOUNDED = 1_000_000


class Order(Enum):
    """Order in which waiting items start."""

    SHARES = "shares"
    ARRIVAL = "arrival"
    PRIORITY = "priority"


class Placing(Enum):
    """Choice of the endpoint on which a run starts."""

    LEARNED = "learned"
    RANDOM = "random"
    TWO_CHOICES = "two_choices"


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Policy of a dispatcher, with a switch for each of its parts.

    :param preempt: whether running work is preempted for waiting work.
    :param budget: whether retries and hedges are limited by a retry budget.
    :param hedge: whether a run whose connection stays silent is started elsewhere too.
    :param eject: whether failures and silence of an endpoint lead to its ejection.
    :param shed: whether the backlog is bounded and load beyond the bound is shed.
    :param learn_sizes: whether sizes of runs are learned from usage; otherwise each
        run counts as one unit.
    """

    order: Order = Order.SHARES
    placing: Placing = Placing.LEARNED
    preempt: bool = True
    budget: bool = True
    hedge: bool = True
    eject: bool = True
    shed: bool = True
    learn_sizes: bool = True


class Report(msgspec.Struct):
    """Outcomes of the requests and attempts of a simulation.

    :param not_run: requests that were not answered, shed or expired ones among them.
    :param given_up: requests that were given up after failed attempts.
    :param urgent: urgent requests without those that fail on every worker.
    :param urgent_in_time: those of ``urgent`` answered by a run that started before
        the deadline.
    :param waits: waits of the requests in ``urgent``, in seconds: from arrival to the
        start of the run that answered, or to the deadline if none started in time.
    """

    submitted: int = 0
    answered: int = 0
    not_run: int = 0
    given_up: int = 0
    attempts: int = 0
    failed_attempts: int = 0
    urgent: int = 0
    urgent_in_time: int = 0
    waits: list[float] = msgspec.field(default_factory=list)


class Team(msgspec.Struct, frozen=True):
    """Share and limit of a team.

    :param weight: share of the fleet, in percent.
    :param limit: largest number of runs at a time.
    """

    weight: float
    limit: int


class Board:
    """State that the dispatchers of a simulation share.

    A dispatcher learns the counts of the others only at the next exchange.

    :param capacity: units of the whole fleet.
    """

    def __init__(self, loop: Loop, teams: Mapping[TeamId, Team], capacity: float):
        self.teams = teams
        self.shares = {name: team.weight for name, team in teams.items()}
        self.capacity = capacity
        self.runs: dict[TeamId, int] = defaultdict(int)
        self.owners: list[Dispatcher] = []
        self.due: dict[TeamId, float] = {}
        self.waiting_counts: dict[TeamId, float] = {}
        loop.every(EXCHANGE_SECONDS, self.exchange)

    def exchange(self) -> None:
        """Give every dispatcher the current running and waiting units of the fleet."""
        running, waiting = defaultdict(float), defaultdict(float)
        for owner in self.owners:
            for team, units in owner.counts.own.items():
                running[team] += units
            for team, units in owner.waiting_units().items():
                waiting[team] += units
        self.waiting_counts = waiting
        self.due = entitlements(
            (
                TeamDemand(
                    team=name,
                    weight=team.weight,
                    limit=team.limit * self.owners[0].size_of(name),
                    demand=running[name] + waiting[name],
                )
                for name, team in self.teams.items()
            ),
            self.capacity,
        )
        for owner in self.owners:
            own, held = owner.waiting_units(), owner.counts.own
            parts = {
                team: (own[team] + held.get(team, 0.0)) / max(units + waiting[team], 1)
                for team, units in running.items()
            }
            owner.counts.exchange(running, parts)
            owner.note_others(self.owners)


class _Run(msgspec.Struct, kw_only=True):
    job: Job
    worker: FakeWorker
    units: float
    started: float
    key: int = 0


class _NoBudget(RetryBudget):
    def take(self, pool: PoolId, team: TeamId) -> bool:
        return True


class Dispatcher:
    """Queues and dispatches the work of one pool.

    :param lag: time until the VM list shows the crash of a VM, in seconds.
    """

    def __init__(
        self,
        loop: Loop,
        pool: PoolId,
        workers: list[FakeWorker],
        board: Board,
        policy: Policy,
        rng: Random,
        report: Report,
        lag: float = 2.0,
    ) -> None:
        self.counts = FleetCounts()
        self.endpoints = EndpointTable()
        self._loop, self.pool, self._board, self._policy = loop, pool, board, policy
        self._rng, self._report, self._lag = rng, report, lag
        bounds = BacklogLimits() if policy.shed else BacklogLimits(UNBOUNDED, UNBOUNDED)
        self._queues = WorkQueues(bounds)
        self._budget = RetryBudget() if policy.budget else _NoBudget()
        self._preemption = PreemptionPlanner()
        self._elsewhere: dict[VmId, int] = {}
        self._blocked: set[TeamId] = set()
        self._reserved: WorkItem | None = None
        self._sizes = SizeTable()
        self._workers = {worker.endpoint.vm: worker for worker in workers}
        self._jobs: dict[RequestId, Job] = {}
        self._retries: dict[RequestId, int] = defaultdict(int)
        self._runs: dict[TaskId, list[_Run]] = defaultdict(list)
        for worker in workers:
            self.endpoints.put(msgspec.structs.replace(worker.endpoint))
        board.owners.append(self)
        loop.every(BEAT_SECONDS, self.beat)

    # Arrivals, the periodic tick and the exchange of counts.

    def submit(self, job: Job) -> None:
        """Queue a request and dispatch."""
        self._report.submitted += 1
        urgent = job.item.work_class is WorkClass.URGENT and not job.bad
        self._report.urgent += urgent
        self._jobs[job.item.request] = job
        self._budget.note_attempt(self.pool, job.item.team)
        victim = self._queues.push(job.item, self._board.shares)
        if victim is not None:
            self._settle(victim, None)
        self._dispatch()

    def beat(self) -> None:
        """Expire overdue items, decide preemptions and dispatch."""
        for item in self._queues.expire(self._loop.now):
            self._settle(item, None)
        if self._policy.preempt:
            self._make_room()
        self._dispatch()

    def lose(self, vms: list[VmId]) -> None:
        """Crash VMs; the VM list shows it later."""
        for vm in vms:
            self._workers[vm].lose()
        self._loop.at(self._loop.now + self._lag, lambda: self._gone(vms))

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

    def note_others(self, owners: list["Dispatcher"]) -> None:
        """Update how many runs other dispatchers have on the workers of this pool."""
        others = [o for o in owners if o is not self and o.pool == self.pool]
        self._elsewhere = {
            row.vm: sum(o.endpoints.row(row.vm).running for o in others)
            for row in self.endpoints.members(self.pool)
        }

    # Starts of runs.

    def _dispatch(self) -> None:
        self._blocked.clear()
        self._start_reserved()
        while self._pick((), 1.0) is not None:
            item = self._next()
            if item is None:
                return
            if not self._start(self._jobs[item.request]):
                self._block(item)

    def _start_reserved(self) -> None:
        item = self._reserved
        if item is None or not self._may_start(item.team):
            return
        exclude, units = self._exclude(item.task), self.size_of(item.team)
        if self._pick(exclude, units, item.task) is not None:
            self._queues.cancel(item.request)
            self._start(self._jobs[item.request])

    def _block(self, item: WorkItem) -> None:
        """Skip the team of an item that fits on no endpoint, and reserve one for it."""
        self._blocked.add(item.team)
        if self._policy.placing is Placing.LEARNED and self._reserved is None:
            exclude, now = self._exclude(item.task), self._loop.now
            if self.endpoints.reserve(self.pool, exclude, item.task, now):
                self._reserved = item

    def _next(self) -> WorkItem | None:
        order = self._policy.order
        if order is Order.SHARES:
            return self._queues.pop_next(
                self.pool,
                self._board.shares,
                self.counts.running,
                self._may_start,
                self._loop.now,
                self._board.due,
            )
        heads = [
            item
            for work_class in WorkClass
            for item in self._queues.oldest_items(self.pool, work_class).values()
            if self._may_start(item.team)
        ]
        batch_last = order is Order.PRIORITY
        item = min(heads, key=lambda i: _rank(i, batch_last), default=None)
        return item and self._queues.cancel(item.request)

    def _may_start(self, team: TeamId) -> bool:
        if team in self._blocked:
            return False
        return self._board.runs[team] < self._board.teams[team].limit

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
        self._board.runs[item.team] += 1
        self.counts.change(item.team, units)
        self.endpoints.note_start(vm, item.task, self._loop.now, units)
        self._report.attempts += 1
        run.key = run.worker.start(job, lambda result: self._ended(run, result))
        timeout = max(TIMEOUT_SECONDS, TIMEOUT_FACTOR * self._run_time(item).p95)
        self._loop.at(
            self._loop.now + timeout, lambda: self._ended(run, RunResult.SILENT)
        )
        if self._policy.hedge and not hedge:
            self._plan_hedge(run)
        return True

    def _release(self, task: TaskId) -> None:
        if self._reserved is not None and self._reserved.task == task:
            self.endpoints.release(task)
            self._reserved = None

    def _exclude(self, task: TaskId) -> set[VmId]:
        if self._policy.placing is not Placing.LEARNED:
            return set()
        tried = {run.worker.endpoint.vm for run in self._runs[task]}
        return tried | self.endpoints.failed_on(task)

    def _pick(
        self, exclude: Collection[VmId], units: float, task: TaskId | None = None
    ) -> VmId | None:
        if self._policy.placing is Placing.LEARNED:
            now = self._loop.now
            return self.endpoints.pick(self.pool, exclude, now, units, task=task)
        rows = [
            row
            for row in self.endpoints.members(self.pool)
            if row.in_service and self._believed(row) < row.slots
        ]
        few = 1 if self._policy.placing is Placing.RANDOM else 2
        rows = self._rng.sample(rows, min(few, len(rows)))
        return min(rows, key=self._believed).vm if rows else None

    def _believed(self, row: EndpointRow) -> int:
        return row.running + self._elsewhere.get(row.vm, 0)

    # Ends of runs.

    def _ended(self, run: _Run, result: RunResult) -> None:
        item = run.job.item
        if run not in self._runs.get(item.task, ()):
            return
        self._report.failed_attempts += result is RunResult.FAILED
        self._sizes.observe("", item.team, run.job.units)
        verdict = self._finish(run, result)
        if result is RunResult.DONE:
            for other in list(self._runs[item.task]):
                self._cancel(other)
            self._settle(item, run)
        elif verdict is RunVerdict.GIVE_UP:
            self._report.given_up += 1
            self._settle(item, None)
        elif not self._runs[item.task]:
            self._again(item, result)
        self._dispatch()

    def _finish(self, run: _Run, result: RunResult) -> RunVerdict:
        item, vm, now = run.job.item, run.worker.endpoint.vm, self._loop.now
        self._runs[item.task].remove(run)
        self._board.runs[item.team] -= 1
        self.counts.change(item.team, -run.units)
        self._preemption.note_finish(item.task)
        if not self._policy.eject and result in (RunResult.FAILED, RunResult.SILENT):
            result = RunResult.STOPPED
        seconds = now - run.started
        return self.endpoints.note_finish(
            vm, item.task, item.queue, result, seconds, now, run.units
        )

    def _cancel(self, run: _Run) -> None:
        run.worker.stop(run.key)
        self._finish(run, RunResult.STOPPED)

    def _again(self, item: WorkItem, result: RunResult) -> None:
        retry = self._retries[item.request]
        self._retries[item.request] += 1
        now, jitter = self._loop.now, self._rng.random()
        step = next_attempt(item, result, retry, self._budget, now, jitter)
        if isinstance(step, Retry):
            self._loop.at(step.at, lambda: self._queue_again(item))
        else:
            self._settle(item, None)

    def _queue_again(self, item: WorkItem) -> None:
        self._queues.requeue(item)
        self._dispatch()

    def _settle(self, item: WorkItem, run: _Run | None) -> None:
        self.endpoints.forget_task(item.task)
        self._release(item.task)
        self._runs.pop(item.task, None)
        job = self._jobs.pop(item.request, None)
        if job is None:
            return
        report = self._report
        urgent = item.work_class is WorkClass.URGENT and not job.bad
        in_time = run is not None and run.started < item.deadline
        report.answered += run is not None
        report.not_run += run is None
        if urgent:
            report.urgent_in_time += in_time
            end = run.started if in_time else item.deadline
            report.waits.append(end - item.arrived)

    # Hedging, crashed VMs and preemption.

    def _plan_hedge(self, run: _Run) -> None:
        item = run.job.item
        at = hedge_at(item, run.started, self._run_time(item))
        if at is not None:
            self._loop.at(at, lambda: self._hedge(run))

    def _run_time(self, item: WorkItem) -> RunTimeEstimate:
        return self.endpoints.run_times.of(item.queue)

    def _hedge(self, run: _Run) -> None:
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
            later = self._loop.now + BEAT_SECONDS
            self._loop.at(later, lambda: self._start_hedge(run))

    def _gone(self, vms: list[VmId]) -> None:
        for vm in vms:
            row = self._workers[vm].endpoint
            self.endpoints.put(msgspec.structs.replace(row, in_service=False))
        for run in [r for runs in self._runs.values() for r in runs]:
            if run.worker.endpoint.vm in vms:
                self._ended(run, RunResult.SILENT)

    def _make_room(self) -> None:
        now, view = self._loop.now, self.counts.running
        self._blocked.clear()
        demands = []
        for work_class in WorkClass:
            counts = self._queues.waiting_counts(self.pool, work_class)
            for team, head in self._queues.oldest_items(self.pool, work_class).items():
                if not self._may_start(team):
                    continue
                units = counts[team] * self.size_of(team)
                demands.append(
                    WaitingWork(
                        team=team,
                        work_class=work_class,
                        units=units,
                        oldest=head.arrived,
                        fleet_fraction=units
                        / max(self._board.waiting_counts.get(team, 0.0), units),
                    )
                )
        runs = {t: r[0] for t, r in self._runs.items() if r}
        tasks = [self._as_task(run) for run in runs.values()]
        due = self._board.due
        for step in self._preemption.decide(demands, tasks, 0.0, view, due, now):
            match step:
                case Checkpoint(task=task):
                    run = runs[task]
                    later = now + CHECKPOINT_TAKES_SECONDS
                    self._loop.at(later, lambda run=run: self._preempt(run))
                case StopTask(task=task):
                    self._preempt(runs[task])

    def _preempt(self, run: _Run) -> None:
        if run not in self._runs.get(run.job.item.task, ()):
            return
        self._cancel(run)
        left = max(run.job.seconds - (self._loop.now - run.started), 0.0)
        if run.job.item.work_class is WorkClass.BATCH:
            job = msgspec.structs.replace(run.job, seconds=left)
            self._jobs[run.job.item.request] = job
        self._queue_again(run.job.item)

    def _as_task(self, run: _Run) -> RunningTask:
        item = run.job.item
        high = self._run_time(item).p95
        return RunningTask(
            task=item.task,
            team=item.team,
            vm=run.worker.endpoint.vm,
            work_class=item.work_class,
            started=run.started,
            expected_end=run.started + high,
            units=run.units,
            can_checkpoint=item.work_class is WorkClass.BATCH,
            idempotent=item.idempotent,
        )


def _rank(item: WorkItem, batch_last: bool) -> tuple[bool, float]:
    return batch_last and item.work_class is WorkClass.BATCH, item.arrived
