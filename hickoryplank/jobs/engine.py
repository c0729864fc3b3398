"""The engine: takes jobs and reports, decides starts and stops.

It does no I/O. A caller drives it: it hands in what happened, calls ``tick``,
stores what ``take_batch`` returns, and calls ``stored``; only then do the starts of
that batch go out and its ends count as acknowledged.
"""

from collections.abc import Iterable

from hickoryplank.core.ids import EndpointId, JobId, PoolId, QueueId
from hickoryplank.jobs.directory import Directory
from hickoryplank.jobs.endpoints import Endpoint, Listing, Run, RunState
from hickoryplank.jobs.limits import TeamRates, TeamUse
from hickoryplank.jobs.messages import (
    Batch,
    End,
    EndKind,
    Happening,
    HoldOrder,
    HoldReport,
    Note,
    StartOutcome,
    StoredEnd,
)
from hickoryplank.jobs.model import Job
from hickoryplank.jobs.ordering import in_order
from hickoryplank.jobs.placement import choose, choose_gang
from hickoryplank.jobs.records import Record, encode_job, encode_state
from hickoryplank.jobs.table import JobRow, JobState, StepRow, Task, TaskState

__all__ = ["Engine", "Timing"]

#: How long after a stop its order is repeated, in seconds.
STOP_REPEAT_SECONDS = 0.5
#: Wait before a lasting task that failed is started again, in seconds.
LASTING_RETRY_SECONDS = 0.2


class Timing:
    """Bounds that the engine keeps.

    :param lease_ms: how long a lease is; what runs on a silent endpoint is given up
        after it.
    :param wait_ms: how long an endpoint waits for an end before it answers a look.
    :param inherit_seconds: how long leases of a former coordinator may last.
    """

    def __init__(self, lease_ms: int, wait_ms: int, inherit_seconds: float):
        self.lease_ms = lease_ms
        self.wait_ms = wait_ms
        self.inherit_seconds = inherit_seconds


class Engine:
    """All jobs and endpoints, and the systems that run over them."""

    def __init__(self, directory: Directory, timing: Timing, now: float):
        self.directory = directory
        self.timing = timing
        self.born_at = now
        self.jobs: dict[JobId, JobRow] = {}
        self.open: dict[JobId, JobRow] = {}
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self.use = TeamUse()
        self._rates = TeamRates()
        #: Pools that have had jobs which end.
        self.seen_pools: set[PoolId] = set()
        self.stops: list[Run] = []
        self.notes: list[Note] = []
        self._new: list[JobRow] = []
        self._dirty: dict[JobId, JobRow] = {}
        self._starts: list[Run] = []
        self._stop_due: dict[Run, float] = {}
        self._places: dict[EndpointId, list[tuple[JobRow, Task]]] = {}
        self._storing: list[tuple[JobRow, JobState]] = []

    # Jobs

    def restore(self, rows: Iterable[JobRow]) -> None:
        """Take over the jobs that the store has, before any endpoint is known."""
        for row in rows:
            self._see_pool(row.job)
            self.jobs[row.job.id] = row
            if not row.state.final:
                self.open[row.job.id] = row
            for task in row.all_tasks():
                if task.place is not None:
                    some = self._places.setdefault(task.place.endpoint, [])
                    some.append((row, task))

    def submit(self, job: Job, now: float) -> JobRow:
        """Take a job, or return the row of the same job taken before."""
        known = self.jobs.get(job.id)
        if known is not None:
            return known
        self._see_pool(job)
        within = self._rates.take(job.team, self.directory, now)
        row = JobRow(job, now, excess=not within)
        self.jobs[job.id] = self.open[job.id] = row
        self._new.append(row)
        return row

    def _see_pool(self, job: Job) -> None:
        if not job.lasting:
            self.seen_pools.add(job.pool)

    def cancel(self, row: JobRow, now: float) -> None:
        """End a job; its runs are stopped."""
        if not row.state.final:
            self._end_job(row, JobState.CANCELLED, now)

    def pending(self, queue: QueueId) -> int:
        """Return how many jobs of a queue have no task that was started."""
        return sum(
            1
            for row in self.open.values()
            if row.job.queue == queue and row.state is JobState.QUEUED
        )

    def _end_job(self, row: JobRow, state: JobState, now: float) -> None:
        row.state = state
        row.ended_at = now
        self.notes.append(
            Note(Happening.JOB_ENDED, row.job.id, None, 0, None, state.value)
        )
        self.open.pop(row.job.id, None)
        self._touch(row)
        for task in row.all_tasks():
            if task.run is not None:
                self._stop(task.run, now, state.value)

    def _touch(self, row: JobRow) -> None:
        self._dirty[row.job.id] = row

    # Endpoints

    def list_endpoint(self, listing: Listing, now: float) -> Endpoint:
        """Note what an endpoint says of itself; a new life starts empty."""
        known = self.endpoints.get(listing.id)
        if known is not None and known.listing.born_ms == listing.born_ms:
            known.listing = listing
            known.listed = True
            return known
        if known is not None:
            self.lose_endpoint(known, now)
        fresh = Endpoint(listing, now)
        fresh.inherited_until = self.born_at + self.timing.inherit_seconds
        self.endpoints[listing.id] = fresh
        self._adopt_places(fresh)
        return fresh

    def _adopt_places(self, endpoint: Endpoint) -> None:
        """Turn stored places on this endpoint into runs of unknown state."""
        for row, task in self._places.pop(endpoint.id, ()):
            place = task.place
            task.place = None
            if place is None or place.born_ms != endpoint.listing.born_ms:
                self._release(row, task)
                continue
            run = self._make_run(row, task, endpoint)
            run.state = RunState.SENT
            run.confirmed_at = endpoint.listed_at
            if row.state.final:
                self._stop(run, endpoint.listed_at, row.state.value)

    def endpoint_of(self, id: EndpointId | None) -> Endpoint | None:
        """Return an endpoint by its id, if there is one."""
        return self.endpoints.get(id) if id is not None else None

    def unlist_endpoint(self, id: EndpointId) -> None:
        """Note that an endpoint is gone from the platform's list."""
        known = self.endpoints.get(id)
        if known is not None:
            known.listed = False

    def lose_endpoint(self, endpoint: Endpoint, now: float) -> None:
        """Note that this life of an endpoint has ended, and all that ran there."""
        for run in list(endpoint.runs.values()):
            self._lose_run(run, "the endpoint's life ended")
        if self.endpoints.get(endpoint.id) is endpoint:
            del self.endpoints[endpoint.id]

    def confirm_lives(
        self, alive: frozenset[EndpointId], asked_at: float, now: float
    ) -> None:
        """Give up what ran on VMs that are down, without waiting for its lease.

        :param alive: endpoints of all VMs that are up, by the platform's list.
        :param asked_at: when that list was asked for.
        """
        for endpoint in list(self.endpoints.values()):
            silent_since = endpoint.silent_since
            if endpoint.id in alive or silent_since is None:
                continue
            if silent_since < asked_at:
                self.lose_endpoint(endpoint, now)
        for id in [one for one in self._places if one not in alive]:
            self._release_places(id)

    @property
    def has_places(self) -> bool:
        """Whether the store names runs on endpoints that aren't listed."""
        return bool(self._places)

    def _release_places(self, id: EndpointId) -> None:
        for row, task in self._places.pop(id):
            task.place = None
            self._release(row, task)

    def forget_places(self, now: float) -> None:
        """Give up stored places on endpoints that no list names any more."""
        if now < self.born_at + self.timing.inherit_seconds:
            return
        for id in list(self._places):
            self._release_places(id)

    # Reports of endpoints

    def hold_order(self, endpoint: Endpoint, now: float, *, renew: bool) -> HoldOrder:
        """Return the next look at an endpoint.

        :param renew: whether this coordinator may extend leases.
        """
        until = None
        if renew and endpoint.silent_since is None and endpoint.held:
            until = endpoint.clock(now) + self.timing.lease_ms
            endpoint.grant(until)
        unstored = endpoint.last_end > endpoint.stored_end
        wait = 0 if unstored or not endpoint.held else self.timing.wait_ms
        return HoldOrder(
            endpoint.id, endpoint.listing.address, endpoint.stored_end, until, wait
        )

    def hold_lost(self, endpoint: Endpoint, now: float) -> None:
        """Note that a look at an endpoint had no answer."""
        if endpoint.silent_since is None:
            endpoint.silent_since = now

    def hold_answered(
        self, endpoint: Endpoint, report: HoldReport, asked_at: float, now: float
    ) -> None:
        """Take what an endpoint says that it runs, and what has ended."""
        if report.born_ms != endpoint.listing.born_ms:
            self._other_life(endpoint, report, now)
            return
        endpoint.heard(report.clock_ms, now)
        if not endpoint.held:
            endpoint.held = True
            endpoint.inherited_until = 0.0
            endpoint.grant(report.clock_ms + self.timing.lease_ms)
        for end in report.ends:
            if end.number > endpoint.last_end:
                endpoint.last_end = end.number
                self._apply_end(endpoint, end, now)
        self._compare(endpoint, report, asked_at, now)

    def _other_life(self, endpoint: Endpoint, report: HoldReport, now: float) -> None:
        if report.born_ms < endpoint.listing.born_ms:
            return
        fresh = Listing(
            id=endpoint.listing.id,
            born_ms=report.born_ms,
            address=endpoint.listing.address,
            pool=endpoint.listing.pool,
            zone=endpoint.listing.zone,
            capacity=endpoint.listing.capacity,
            labels=endpoint.listing.labels,
            draining=endpoint.listing.draining,
        )
        self.list_endpoint(fresh, now)

    def _compare(
        self, endpoint: Endpoint, report: HoldReport, asked_at: float, now: float
    ) -> None:
        shown = set()
        for one in report.running:
            name = (one.key, one.attempt)
            shown.add(name)
            run = endpoint.runs.get(name)
            if run is None:
                self._stop_stray(endpoint, one.key, one.attempt, now)
                continue
            if run.state is RunState.SENT:
                run.state = RunState.STARTED
            if run.confirmed_at is None:
                run.confirmed_at = now
            self._note_progress(run, one, now)
        for run in list(endpoint.runs.values()):
            if run.name in shown or run.confirmed_at is None:
                continue
            if run.confirmed_at < asked_at:
                self._lose_run(run, "its endpoint lists neither it nor its end")

    def _note_progress(self, run: Run, shown, now: float) -> None:
        if shown.percent != run.percent:
            run.progress_at = now
        run.percent = shown.percent
        run.load = shown.load
        row = self.jobs.get(run.key.job)
        task = row.task(run.key) if row is not None else None
        if task is None or task.run is not run:
            return
        if shown.saved:
            task.saved = shown.saved
        working = shown.percent >= 100 and run.state is RunState.STARTED
        if run.step.lasting and working != task.working:
            task.working = working
            task.away_since = now

    def _stop_stray(self, endpoint: Endpoint, key, attempt: int, now: float) -> None:
        """Stop a run that this table doesn't have."""
        row = self.jobs.get(key.job)
        task = row.task(key) if row is not None else None
        if row is None or task is None:
            return
        step = row.step_of(key).step
        run = Run(key, attempt, step, row.job.team, endpoint)
        run.state = RunState.SENT
        run.confirmed_at = now
        endpoint.add(run)
        self.use.add(run.team, run.size)
        self._stop(run, now, "no task is assigned to it")

    def _apply_end(self, endpoint: Endpoint, end: End, now: float) -> None:
        run = endpoint.runs.get((end.key, end.attempt))
        row = self.jobs.get(end.key.job)
        task = row.task(end.key) if row is not None else None
        current = task is not None and task.run is run and run is not None
        if run is not None:
            self._close(run)
        if row is None or task is None:
            return
        if end.saved and current:
            task.saved = end.saved
        if end.kind is EndKind.DONE and not run_is_lasting(row, end):
            endpoint.note_success()
            self._task_done(row, task, now)
        elif current:
            self._note(Happening.ENDED, run, end.kind.value)
            if end.kind is EndKind.FAILED:
                self._task_failed(endpoint, row, task, now)
            if task.state is TaskState.ACTIVE:
                self._release(row, task)

    def _task_done(self, row: JobRow, task: Task, now: float) -> None:
        step = row.step_of(task.key)
        members = step.tasks if step.step.gang else [task]
        for one in members:
            if one.state is TaskState.DONE:
                continue
            one.state = TaskState.DONE
            step.left -= 1
            step.waiting.pop(one.key.index, None)
            if one.run is not None and not step.step.gang:
                self._stop(one.run, now, "another run is done")
        self._touch(row)
        if not row.state.final and row.complete:
            self._end_job(row, JobState.COMPLETED, now)

    def _task_failed(
        self, endpoint: Endpoint, row: JobRow, task: Task, now: float
    ) -> None:
        step = row.step_of(task.key)
        self._touch(row)
        task.failures += 1
        endpoint.note_failure(row.job.id, now)
        if step.step.lasting:
            task.not_before = now + LASTING_RETRY_SECONDS
            return
        queue = self.directory.queues.get(row.job.queue)
        attempts = queue.attempts if queue is not None else 1
        failures = task.failures
        if step.step.gang:
            failures = sum(one.failures for one in step.tasks)
        if failures >= attempts and not row.state.final:
            self._end_job(row, JobState.FAILED, now)

    # Answers to starts

    def start_answered(
        self, run: Run, outcome: StartOutcome, tries: int, clock_ms: int, now: float
    ) -> bool:
        """Take the answer to a start; return whether it is to be sent again.

        :param tries: how often it was sent, this time included.
        :param clock_ms: the endpoint's clock in the answer; 0 for none.
        """
        endpoint = run.endpoint
        if endpoint.runs.get(run.name) is not run:
            return False
        if clock_ms:
            endpoint.heard(clock_ms, now)
        match outcome:
            case StartOutcome.STARTED | StartOutcome.OLD:
                if run.state is RunState.SENT:
                    run.state = RunState.STARTED
                run.confirmed_at = now
                run.progress_at = now
                return False
            case StartOutcome.OTHER_LIFE:
                self.lose_endpoint(endpoint, now)
                return False
            case StartOutcome.UNKNOWN:
                self.hold_lost(endpoint, now)
                return True
            case StartOutcome.FENCED:
                return False
        if tries > 1:
            # An earlier sending may still be carried out; a stop settles that.
            self._stop(run, now, f"start {outcome.value} after another try")
            return False
        if outcome is StartOutcome.UNWELL:
            endpoint.note_failure(run.key.job, now)
        self._lose_run(run, f"start {outcome.value}")
        return False

    def stop_answered(self, run: Run, now: float) -> None:
        """Note that an endpoint has taken a stop; its next list settles the run."""
        if run.confirmed_at is None:
            run.confirmed_at = now

    # Runs

    def _make_run(self, row: JobRow, task: Task, endpoint: Endpoint) -> Run:
        step = row.step_of(task.key)
        run = Run(task.key, task.attempt, step.step, row.job.team, endpoint)
        run.saved = task.saved
        if task.state is not TaskState.DONE:
            task.state = TaskState.ACTIVE
            step.waiting.pop(task.key.index, None)
        task.run = run
        endpoint.add(run)
        self.use.add(run.team, run.size)
        return run

    def _close(self, run: Run) -> None:
        """Free what a run takes, as it has ended for certain."""
        if run.endpoint.runs.get(run.name) is not run:
            return
        run.endpoint.remove(run)
        self.use.remove(run.team, run.size)
        self._stop_due.pop(run, None)
        row = self.jobs.get(run.key.job)
        task = row.task(run.key) if row is not None else None
        if task is not None and task.run is run:
            task.run = None
            task.working = False

    def _note(self, happening: Happening, run: Run, why: str) -> None:
        self.notes.append(
            Note(happening, run.key.job, run.key, run.attempt, run.endpoint.id, why)
        )

    def _lose_run(self, run: Run, why: str) -> None:
        """Close a run whose end nobody will tell; its task waits again."""
        row = self.jobs.get(run.key.job)
        task = row.task(run.key) if row is not None else None
        current = task is not None and task.run is run
        if run.endpoint.runs.get(run.name) is run:
            self._note(Happening.LOST, run, why)
        self._close(run)
        if current and task.state is TaskState.ACTIVE:
            self._release(row, task)

    def _release(self, row: JobRow, task: Task) -> None:
        if task.state is TaskState.DONE:
            return
        task.state = TaskState.WAITING
        task.working = False
        row.step_of(task.key).waiting[task.key.index] = task
        self._touch(row)

    def stop_run(self, run: Run, now: float, why: str) -> None:
        """Stop a run; its task is started again elsewhere once it has ended."""
        self._stop(run, now, why)

    def _stop(self, run: Run, now: float, why: str) -> None:
        if run.state is RunState.ASSIGNED:
            self._lose_run(run, why)
            return
        if run in self._stop_due:
            return
        self._note(Happening.STOPPED, run, why)
        run.state = RunState.STOPPING
        self._stop_due[run] = now
        row = self.jobs.get(run.key.job)
        task = row.task(run.key) if row is not None else None
        if task is not None and task.run is run:
            task.working = False

    # Each tick

    def tick(self, now: float, wall_ms: int) -> None:
        """Run the systems once.

        :param wall_ms: time of day in Unix milliseconds.
        """
        self._expire(now)
        self._drain(now)
        self._place(now, wall_ms)
        for run, due in list(self._stop_due.items()):
            if due <= now:
                self._stop_due[run] = now + STOP_REPEAT_SECONDS
                self.stops.append(run)

    def _expire(self, now: float) -> None:
        for endpoint in list(self.endpoints.values()):
            if endpoint.silent_since is None and endpoint.held:
                continue
            if endpoint.runs and endpoint.lapsed(now):
                for run in list(endpoint.runs.values()):
                    self._lose_run(run, "its lease has lapsed on a silent endpoint")
            if not endpoint.listed and not endpoint.runs:
                del self.endpoints[endpoint.id]

    def _drain(self, now: float) -> None:
        """Move lasting tasks off endpoints that leave by themselves."""
        for endpoint in self.endpoints.values():
            if not endpoint.draining or endpoint.silent_since is not None:
                continue
            for run in list(endpoint.runs.values()):
                if run.step.lasting and run.state is RunState.STARTED:
                    self._stop(run, now, "its endpoint leaves")

    def _place(self, now: float, wall_ms: int) -> None:
        usable: dict[PoolId, list[Endpoint]] = {}
        for endpoint in self.endpoints.values():
            if endpoint.usable(now):
                usable.setdefault(endpoint.listing.pool, []).append(endpoint)
        wanting: dict[PoolId, list[JobRow]] = {}
        for row in self.open.values():
            self._open_due(row, wall_ms)
            if row.job.pool in usable:
                wanting.setdefault(row.job.pool, []).append(row)
        for pool, rows in wanting.items():
            for row in in_order(rows, self.directory, now):
                self._place_job(row, usable[pool], now, wall_ms)

    def _open_due(self, row: JobRow, wall_ms: int) -> None:
        if len(row.steps) == row.job.occurrences:
            return
        for occurrence in range(row.job.occurrences):
            if row.job.due_ms(occurrence) <= wall_ms:
                row.open_occurrence(occurrence)

    def _place_job(
        self, row: JobRow, endpoints: list[Endpoint], now: float, wall_ms: int
    ) -> None:
        for occurrence in list(row.steps):
            if row.job.due_ms(occurrence) > wall_ms:
                continue
            for step in row.ready_steps(occurrence):
                if step.step.gang:
                    self._place_gang(row, step, endpoints)
                else:
                    self._place_step(row, step, endpoints, now)

    def _place_step(
        self, row: JobRow, step: StepRow, endpoints: list[Endpoint], now: float
    ) -> None:
        for task in list(step.waiting.values()):
            if task.not_before > now or task.run is not None:
                continue
            if not self.use.allows(row.job.team, step.step.size, self.directory):
                return
            endpoint = choose(endpoints, step, None)
            if endpoint is None:
                return
            self._assign(row, task, endpoint, task.attempt + 1)

    def _place_gang(
        self, row: JobRow, step: StepRow, endpoints: list[Endpoint]
    ) -> None:
        if len(step.waiting) < step.step.count:
            return
        if any(task.run is not None for task in step.tasks):
            return
        whole = step.step.size.times(step.step.count)
        if not self.use.allows(row.job.team, whole, self.directory):
            return
        chosen = choose_gang(endpoints, step)
        if chosen is None:
            return
        attempt = max(task.attempt for task in step.tasks) + 1
        saved = next((task.saved for task in step.tasks if task.saved), "")
        for task, endpoint in zip(step.tasks, chosen, strict=True):
            task.saved = saved
            self._assign(row, task, endpoint, attempt)

    def _assign(
        self, row: JobRow, task: Task, endpoint: Endpoint, attempt: int
    ) -> None:
        task.attempt = attempt
        self._starts.append(self._make_run(row, task, endpoint))
        row.begun = True
        if row.state is JobState.QUEUED:
            row.state = JobState.RUNNING
        self._touch(row)
        if task.key.index == 0 or attempt > 1:
            self._note(Happening.ASSIGNED, task.run, row.state.value)

    # What is stored

    def take_batch(self) -> Batch:
        """Return all that is to be stored next."""
        new, self._new = self._new, []
        dirty, self._dirty = self._dirty, {}
        starts, self._starts = self._starts, []
        records: list[Record] = [encode_job(row.job) for row in new]
        records += [encode_state(row) for row in dirty.values()]
        self._storing = [(row, row.state) for row in dirty.values()]
        ends = [
            StoredEnd(one.id, one.listing.born_ms, one.last_end)
            for one in self.endpoints.values()
            if one.last_end > one.stored_end
        ]
        return Batch(records, starts, ends)

    def stored(self, batch: Batch, now: float) -> list[Run]:
        """Note that a batch is stored; return the runs that are to be started."""
        for row, state in self._storing:
            row.stored = state
        self._storing = []
        for end in batch.ends:
            endpoint = self.endpoints.get(end.endpoint)
            if endpoint is not None and endpoint.listing.born_ms == end.born_ms:
                endpoint.stored_end = max(endpoint.stored_end, end.number)
        return [run for run in batch.starts if self._send(run, now)]

    def _send(self, run: Run, now: float) -> bool:
        endpoint = run.endpoint
        if endpoint.runs.get(run.name) is not run:
            return False
        if not endpoint.usable(now):
            self._lose_run(run, "its endpoint can't be used any more")
            return False
        run.state = RunState.SENT
        run.until_ms = endpoint.clock(now) + self.timing.lease_ms
        endpoint.grant(run.until_ms)
        return True


def run_is_lasting(row: JobRow, end: End) -> bool:
    """Return whether the ended run was of a lasting task."""
    return row.step_of(end.key).step.lasting
