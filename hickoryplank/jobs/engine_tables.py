"""State tables of the engine, and the basic changes to them."""

from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from hickoryplank.core.ids import EndpointId, JobId, PoolId
from hickoryplank.jobs.advice import AdviceTable, StepKey
from hickoryplank.jobs.arrivals import ArrivalRates
from hickoryplank.jobs.configuration import Configuration
from hickoryplank.jobs.endpoints import (
    MIN_CLOCK_RATE,
    Endpoint,
    Listing,
    Run,
    RunState,
)
from hickoryplank.jobs.evacuated_zones import EvacuatedZones
from hickoryplank.jobs.limits import TeamRateLimiter, TeamUsage
from hickoryplank.jobs.messages import (
    EndpointState,
    EngineEvent,
    EngineEventKind,
    MissingEnds,
    PaceChange,
)
from hickoryplank.jobs.quarantine import Quarantine, endpoint_subject, job_subject
from hickoryplank.jobs.records import Record, StoreBounds
from hickoryplank.jobs.run_times import RunTimes
from hickoryplank.jobs.shortage import PoolShortage, ShortageOrder
from hickoryplank.jobs.table import (
    JobRow,
    JobState,
    PreAssignment,
    StepRow,
    Task,
    TaskState,
)
from hickoryplank.jobs.vm_supply import VmSupply

__all__ = ["EndedJob", "EngineTables", "EngineTiming", "step_key"]


#: Most endpoints of which it is kept what was dropped, the last ones. Most endpoints
#: that are dropped never come back.
MAX_DROPPED_ENDPOINTS = 10_000


class EngineTiming:
    """Durations that bound the engine's decisions.

    :param lease_ms: duration of a lease; the runs of a silent endpoint are given up
        when their lease has expired.
    :param poll_wait_ms: time that an endpoint may wait for an end before it answers a
        poll.
    :param former_lease_seconds: longest time for which leases of a former coordinator
        may last.
    :param max_lease_ms: longest lease that an endpoint grants, whatever is requested.
    :param retention_seconds: retention period of a job that has ended.
    :param stop_grace_ms: longest time from a stop order until the run has ended.
    :param restore_ms: least time that a run takes which begins from a checkpoint.
    """

    def __init__(
        self,
        lease_ms: int,
        poll_wait_ms: int,
        former_lease_seconds: float,
        max_lease_ms: int,
        retention_seconds: float,
        stop_grace_ms: int,
        restore_ms: int,
    ):
        self.lease_ms = lease_ms
        self.poll_wait_ms = poll_wait_ms
        self.former_lease_seconds = former_lease_seconds
        self.max_lease_ms = max_lease_ms
        self.retention_seconds = retention_seconds
        self.stop_grace_ms = stop_grace_ms
        self.restore_ms = restore_ms

    @property
    def max_lease_seconds(self) -> float:
        """Longest time for which a lease lasts on the slowest clock."""
        return self.max_lease_ms / 1000 / MIN_CLOCK_RATE


class EndedJob(msgspec.Struct, frozen=True):
    """A job that has ended.

    :param at: time of its end, by the local clock, in seconds.
    """

    job: JobId
    at: float


class EngineTables:
    """All jobs, endpoints and runs.

    :param now: start of this coordinator's term, by the local clock, in seconds.
    :param wall_ms: the same by the time of day, in Unix milliseconds.
    :param shortage_order: order of service while a pool has too little room.
    :param bounds: bounds of the store.
    """

    def __init__(
        self,
        configuration: Configuration,
        timing: EngineTiming,
        now: float,
        wall_ms: int,
        shortage_order: ShortageOrder = ShortageOrder.DEADLINE,
        bounds: StoreBounds | None = None,
    ):
        self.bounds = bounds or StoreBounds()
        self.configuration = configuration
        self.shortage_order = shortage_order
        #: Pools that lacked room in the last tick, written by the order of service.
        self.shortages: dict[PoolId, PoolShortage] = {}
        #: Written by whoever follows the VM list; none before its first reading.
        self.vm_supply: VmSupply | None = None
        self.timing = timing
        self.term_started_at = now
        self.term_started_ms = wall_ms
        self.jobs: dict[JobId, JobRow] = {}
        #: Jobs that have not ended.
        self.open_jobs: dict[JobId, JobRow] = {}
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self._next_token_number = 0
        #: Start of the last incarnation of each endpoint that was dropped in this term,
        #: in Unix milliseconds.
        self.dropped_born_ms: dict[EndpointId, int] = {}
        #: Endpoints that are to be cordoned whenever they are listed.
        self.leaving: frozenset[EndpointId] = frozenset()
        self.evacuated_zones = EvacuatedZones()
        self.team_usage = TeamUsage()
        self.rate_limiter = TeamRateLimiter()
        #: Time of the first job other than a lasting one, by pool.
        self.first_job_at: dict[PoolId, float] = {}
        self.arrivals = ArrivalRates()
        self.run_times = RunTimes()
        #: Pools in which a VM cannot be evacuated, as no other endpoint has room.
        self.pools_lacking_room: set[PoolId] = set()
        #: Runs for which a stop order is to be sent.
        self.stops: list[Run] = []
        self.events: list[EngineEvent] = []
        #: Ends that were dropped before they were read, for logs and metrics.
        self.missing_ends: list[MissingEnds] = []
        self.pace_changes: list[PaceChange] = []
        self.advice = AdviceTable()
        self.new_jobs: list[JobRow] = []
        #: Jobs that have ended, oldest first.
        self.ended_jobs: deque[EndedJob] = deque()
        #: Jobs that the next batch deletes from the store.
        self.expired_jobs: list[JobRow] = []
        #: Stored records that belong to no job, which the next batch deletes.
        self.unowned_records: list[Record] = []
        #: Jobs whose state the next batch stores.
        self.dirty: dict[JobId, JobRow] = {}
        #: Runs that may be started once the next batch is stored.
        self.starts: list[Run] = []
        #: Runs begun on a stored pre-assignment, which need no other record.
        self.preassigned_starts: list[Run] = []
        #: Pre-assignments for the next batch, and those of the batch being stored.
        self.new_preassignments: list[tuple[JobRow, PreAssignment]] = []
        self.storing_preassignments: list[tuple[JobRow, PreAssignment]] = []
        #: Round-robin counter, advanced with each step whose tasks are pre-assigned;
        #: spreads the pre-assignments over the endpoints.
        self.round_robin_counter = 0
        #: Time of the next stop order of each run that is to be stopped.
        self.stop_repeat_at: dict[Run, float] = {}
        #: Stored assignments to endpoints that are not listed yet. They count as
        #: resources in use by their teams, as they may be running.
        self.unlisted_assignments: dict[EndpointId, list[tuple[JobRow, Task]]] = {}
        #: What is set aside, as its input could not be applied.
        self.quarantine = Quarantine()
        #: Jobs whose records could not be encoded since they were last tried again.
        self.unencodable_jobs: set[JobId] = set()
        #: New jobs in the batch that is being stored.
        self.storing_jobs: list[JobRow] = []
        #: States in the batch that is being stored.
        self.storing_states: list[tuple[JobRow, JobState]] = []
        #: Jobs whose state the newest batch lacks, as it could not be encoded, or as
        #: the store refuses it. Their ends are not acknowledged.
        self.unstored_jobs: set[JobId] = set()

    def take_token_number(self) -> int:
        """Return the number of a fencing token that is higher than all before it."""
        number, self._next_token_number = (
            self._next_token_number,
            self._next_token_number + 1,
        )
        return number

    def age_s(self, listing: Listing, now: float) -> float:
        """Return the age of an incarnation by the time of day, in seconds."""
        born_s = (listing.born_ms - self.term_started_ms) / 1000
        return max(0.0, now - self.term_started_at - born_s)

    def pop_unlisted_assignments(self, id: EndpointId) -> list[tuple[JobRow, Task]]:
        """Remove and return the stored assignments to an endpoint that is not listed.

        Their resources are in use no longer, unless they become runs.
        """
        assignments = self.unlisted_assignments.pop(id, [])
        for row, task in assignments:
            size = row.job.steps[task.key.step].size
            self.team_usage.remove(row.job.team, size)
        return assignments

    @contextmanager
    def guard_job(
        self, job: JobId, *, passes: tuple[type[Exception], ...] = ()
    ) -> Iterator[None]:
        """Set a job aside if the body raises, and go on after the body.

        :param passes: exceptions that don't come from the job, and pass.
        """
        try:
            yield
        except passes:
            raise
        except Exception as exc:
            self.set_job_aside(job, exc)

    def set_job_aside(self, job: JobId, exc: Exception) -> None:
        """Set a job aside, and withdraw the runs that have not been sent."""
        self.quarantine.set_aside(job_subject(job), exc)
        for endpoint in self.endpoints.values():
            for run in list(endpoint.runs.values()):
                if run.key.job == job and run.state is RunState.ASSIGNED:
                    self.detach_run(run)

    def detach_run(self, run: Run) -> None:
        """Remove a run that has ended, and do nothing else for its job.

        It takes the place of ``close_run`` for a job that is set aside. Once that is
        tried again, its tasks without a run wait for another one.
        """
        if run.endpoint.runs.get(run.run_key) is run:
            run.endpoint.remove(run)
            self.team_usage.remove(run.team, run.size)
        self.stop_repeat_at.pop(run, None)
        row = self.jobs.get(run.key.job)
        steps = row.steps.get(run.key.occurrence, []) if row is not None else []
        for task in (task for step in steps for task in step.tasks):
            if task.run is run:
                task.run = None
                task.working = False
                if task.state is TaskState.ACTIVE:
                    task.state = TaskState.WAITING
                row.note_change(task)

    def mark_dirty(self, row: JobRow, *tasks: Task) -> None:
        """Have the state of a job stored with the next batch.

        :param tasks: the tasks that have changed.
        """
        row.note_change(*tasks)
        self.dirty[row.job.id] = row

    def add_event(self, kind: EngineEventKind, run: Run, reason: str) -> None:
        """Add an event about a run, for logs and metrics."""
        state = None
        if kind is EngineEventKind.LOST:
            endpoint = run.endpoint
            state = EndpointState(
                endpoint.listing.born_ms,
                endpoint.reported_at,
                endpoint.silent_since,
                endpoint.last_end_number,
                endpoint.stored_end_number,
            )
        self.events.append(
            EngineEvent(
                kind, run.key.job, run.key, run.attempt, run.endpoint.id, reason, state
            )
        )

    def end_job(self, row: JobRow, state: JobState, now: float) -> None:
        """End a job and stop its runs."""
        row.state = state
        self.mark_dirty(row)
        self.events.append(
            EngineEvent(
                EngineEventKind.JOB_ENDED, row.job.id, None, 0, None, state.value
            )
        )
        self.open_jobs.pop(row.job.id, None)
        self.ended_jobs.append(EndedJob(row.job.id, now))
        self.advice.discard_job(row.job.id)
        for task in row.all_tasks():
            if task.preassignment is not None:
                row.note_change(task)
            if task.run is not None:
                self.stop(task.run, now, state.value)

    def create_run(self, row: JobRow, task: Task, endpoint: Endpoint) -> Run:
        """Create a run of a task on an endpoint and reserve its resources."""
        step = row.step_of(task.key)
        run = Run(task.key, task.attempt, step.step, row.job.team, endpoint)
        run.checkpoint = task.checkpoint
        run.ticket = self.advice.ticket(step_key(step), endpoint)
        if task.state is not TaskState.DONE:
            task.state = TaskState.ACTIVE
            step.waiting.pop(task.key.index, None)
        task.run = run
        endpoint.add(run)
        self.team_usage.add(run.team, run.size)
        return run

    def begin_run(
        self, row: JobRow, task: Task, endpoint: Endpoint, attempt: int, reason: str
    ) -> Run:
        """Begin the next run of a waiting task.

        The run is recorded by the next batch, or is a stored pre-assignment already.

        :param attempt: attempt number of the run.
        """
        task.attempt = attempt
        task.preassignment = None
        run = self.create_run(row, task, endpoint)
        if task.key.index == 0 or attempt > 1:
            self.add_event(EngineEventKind.ASSIGNED, run, reason)
        return run

    def note_begun(self, row: JobRow) -> None:
        """Record that an endpoint has started a task of a job.

        An assignment alone does not count: its start may be refused or lost. This is
        stored with the next change of the job.
        """
        if not row.begun and not row.state.final:
            row.begun = True
            row.state = JobState.RUNNING

    def task_of(self, run: Run) -> Task | None:
        """Return the task whose current run this is, if any."""
        row = self.jobs.get(run.key.job)
        task = row.task(run.key) if row is not None else None
        return task if task is not None and task.run is run else None

    def close_run(self, run: Run) -> None:
        """Remove a run that is known to have ended, and free its resources.

        This may discard the steps of its occurrence, so that they can't be looked up by
        the key of the run any more.
        """
        if run.endpoint.runs.get(run.run_key) is not run:
            return
        run.endpoint.remove(run)
        self.team_usage.remove(run.team, run.size)
        self.stop_repeat_at.pop(run, None)
        task = self.task_of(run)
        if task is not None:
            task.run = None
            task.working = False
            row = self.jobs[run.key.job]
            if row.discard_occurrence_if_ended(run.key.occurrence):
                # The stored state still names the run, whose end is acknowledged next.
                self.mark_dirty(row)

    def give_up_run(self, run: Run, reason: str) -> None:
        """Close a run whose end will not be reported; its task waits again."""
        try:
            self._give_up_run(run, reason)
        except Exception as exc:
            self.set_job_aside(run.key.job, exc)
            self.detach_run(run)

    def _give_up_run(self, run: Run, reason: str) -> None:
        task = self.task_of(run)
        if run.endpoint.runs.get(run.run_key) is run and not run.preassigned:
            self.add_event(EngineEventKind.LOST, run, reason)
        self.close_run(run)
        if task is not None and task.state is TaskState.ACTIVE:
            self.requeue(self.jobs[run.key.job], task)

    def requeue(self, row: JobRow, task: Task) -> None:
        """Make a task wait for another run, unless it is done."""
        if task.state is TaskState.DONE:
            return
        task.state = TaskState.WAITING
        task.working = False
        row.step_of(task.key).waiting[task.key.index] = task
        row.needs_preassignment = True
        self.mark_dirty(row, task)

    def stop(self, run: Run, now: float, reason: str) -> None:
        """Stop a run; its task waits for another run once this one has ended."""
        if run.state is RunState.ASSIGNED:
            self.give_up_run(run, reason)
            return
        if run in self.stop_repeat_at:
            return
        self.add_event(EngineEventKind.STOPPED, run, reason)
        run.state = RunState.STOPPING
        self.stop_repeat_at[run] = now
        task = self.task_of(run)
        if task is not None:
            task.working = False

    def drop_endpoint(self, endpoint: Endpoint) -> None:
        """Forget an incarnation of an endpoint that has no runs any more."""
        if self.endpoints.get(endpoint.id) is endpoint:
            del self.endpoints[endpoint.id]
            self.dropped_born_ms[endpoint.id] = endpoint.listing.born_ms
            if len(self.dropped_born_ms) > MAX_DROPPED_ENDPOINTS:
                del self.dropped_born_ms[next(iter(self.dropped_born_ms))]
        self.quarantine.discard(endpoint_subject(endpoint.id, endpoint.listing.born_ms))
        self.advice.discard_endpoint(endpoint)

    def endpoint_of(self, id: EndpointId | None) -> Endpoint | None:
        """Return the endpoint with the given id, if it is known."""
        return self.endpoints.get(id) if id is not None else None


def step_key(step: StepRow) -> StepKey:
    """Return the key of a step."""
    return StepKey(step.tasks[0].key.job, step.occurrence, step.number)
