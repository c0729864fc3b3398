"""The engine: takes jobs and reports, decides starts and stops.

It does no I/O. A caller drives it: it hands in what happened, calls ``tick``,
stores what ``take_batch`` returns, and calls ``stored``; only then do the starts of
that batch go out and its ends count as acknowledged.
"""

from collections.abc import Iterable

from hickoryplank.core.ids import EndpointId, QueueId
from hickoryplank.jobs import incarnations as lives
from hickoryplank.jobs import reports
from hickoryplank.jobs.assignment import AllowedStarts, place
from hickoryplank.jobs.endpoints import Endpoint, Listing, Run, RunState
from hickoryplank.jobs.messages import (
    Batch,
    PollReport,
    PollRequest,
    StartOutcome,
    StoredEnd,
)
from hickoryplank.jobs.model import Job
from hickoryplank.jobs.pacing import pace
from hickoryplank.jobs.records import (
    Record,
    encode_forgotten,
    encode_job,
    encode_state,
)
from hickoryplank.jobs.table import JobRow, JobState
from hickoryplank.jobs.tables import Ended, EngineTiming, Tables

__all__ = ["Engine", "EngineTiming"]

#: How long after a stop its order is repeated, in seconds.
STOP_REPEAT_SECONDS = 0.5


class Engine(Tables):
    """All jobs and endpoints, and the systems that run over them."""

    # Jobs

    def restore(self, rows: Iterable[JobRow]) -> None:
        """Take over the jobs that the store has, before any endpoint is known."""
        for row in rows:
            self._see_pool(row.job, self.born_at)
            self.jobs[row.job.id] = row
            if row.state.final:
                self.ended.append(Ended(row.job.id, self.born_at))
            else:
                self.open[row.job.id] = row
            for task in row.all_tasks():
                if task.place is not None:
                    some = self.places.setdefault(task.place.endpoint, [])
                    some.append((row, task))

    def submit(self, job: Job, now: float) -> JobRow:
        """Take a job, or return the row of the same job taken before."""
        known = self.jobs.get(job.id)
        if known is not None:
            return known
        self._see_pool(job, now)
        within = self.rates.take(job.team, self.configuration, now)
        row = JobRow(job, now, excess=not within)
        if within and not job.lasting and not job.repeats:
            self.arrivals.note(job, now)
        self.jobs[job.id] = self.open[job.id] = row
        self.new_jobs.append(row)
        return row

    def _see_pool(self, job: Job, now: float) -> None:
        if not job.lasting:
            self.seen_pools.setdefault(job.pool, now)

    def cancel(self, row: JobRow, now: float) -> None:
        """End a job; its runs are stopped."""
        if not row.state.final:
            self.end_job(row, JobState.CANCELLED, now)

    def pending(self, queue: QueueId) -> int:
        """Return how many jobs of a queue have no task that was started."""
        return sum(
            1
            for row in self.open.values()
            if row.job.queue == queue and row.state is JobState.QUEUED
        )

    # Endpoints

    def update_listing(self, listing: Listing, now: float) -> Endpoint:
        """Note what an endpoint says of itself; a new life starts empty."""
        return lives.update_listing(self, listing, now)

    def remove_listing(self, id: EndpointId) -> None:
        """Note that an endpoint is gone from the platform's list."""
        known = self.endpoints.get(id)
        if known is not None:
            known.listed = False

    def end_incarnation(self, endpoint: Endpoint, now: float) -> None:
        """Note that this life of an endpoint has ended, and all that ran there."""
        lives.end_incarnation(self, endpoint, now)

    def end_down_incarnations(
        self, alive: frozenset[EndpointId], asked_at: float, now: float
    ) -> None:
        """Give up what ran on VMs that are down, without waiting for its lease.

        :param alive: endpoints of all VMs that are up, by the platform's list.
        :param asked_at: when that list was asked for.
        """
        lives.end_down_incarnations(self, alive, asked_at, now)

    @property
    def has_unlisted_assignments(self) -> bool:
        """Whether the store names runs on endpoints that aren't listed."""
        return bool(self.places)

    def release_unlisted_assignments(self, now: float) -> None:
        """Give up stored places on endpoints that no list names any more."""
        lives.release_unlisted_assignments(self, now)

    # Reports

    def next_poll(self, endpoint: Endpoint, now: float, *, renew: bool) -> PollRequest:
        """Return the next look at an endpoint.

        :param renew: whether this coordinator may extend leases.
        """
        return reports.next_poll(self, endpoint, now, renew=renew)

    def poll_failed(self, endpoint: Endpoint, now: float) -> None:
        """Note that a look at an endpoint had no answer."""
        reports.poll_failed(self, endpoint, now)

    def poll_answered(
        self, endpoint: Endpoint, report: PollReport, asked_at: float, now: float
    ) -> None:
        """Take what an endpoint says that it runs, and what has ended."""
        reports.poll_answered(self, endpoint, report, asked_at, now)

    def start_answered(
        self, run: Run, outcome: StartOutcome, tries: int, clock_ms: int, now: float
    ) -> bool:
        """Take the answer to a start; return whether it is to be sent again.

        :param tries: how often it was sent, this time included.
        :param clock_ms: the endpoint's clock in the answer; 0 for none.
        """
        return reports.start_answered(self, run, outcome, tries, clock_ms, now)

    def stop_answered(self, run: Run, now: float) -> None:
        """Note that an endpoint has taken a stop; its next list settles the run."""
        reports.stop_answered(self, run, now)

    # Each tick

    def tick(
        self, now: float, wall_ms: int, starts: AllowedStarts = AllowedStarts.ANY
    ) -> None:
        """Run the systems once.

        :param wall_ms: time of day in Unix milliseconds.
        :param starts: which starts may be decided.
        """
        self._expire(now)
        self._drain(now)
        self._forget(now)
        place(self, now, wall_ms, starts)
        for endpoint in self.endpoints.values():
            if endpoint.token_confirmed and endpoint.silent_since is None:
                self.pace_changes += pace(endpoint, now)
        for run, due in list(self.stop_due.items()):
            if due <= now:
                self.stop_due[run] = now + STOP_REPEAT_SECONDS
                self.stops.append(run)

    def tick_preassigned(self, now: float, wall_ms: int) -> None:
        """Start what is recorded ahead, while a batch is being stored."""
        place(self, now, wall_ms, AllowedStarts.PREASSIGNED)

    def take_preassigned_starts(self, now: float) -> list[Run]:
        """Return the runs that are to be started without another record."""
        starts, self.planned_starts = self.planned_starts, []
        return [run for run in starts if self._send(run, now)]

    def _expire(self, now: float) -> None:
        for endpoint in list(self.endpoints.values()):
            if endpoint.silent_since is None and endpoint.token_confirmed:
                continue
            if endpoint.runs and endpoint.lapsed(now):
                for run in list(endpoint.runs.values()):
                    self.lose_run(run, "its lease has lapsed on a silent endpoint")
            if not endpoint.listed and not endpoint.runs:
                del self.endpoints[endpoint.id]

    def _forget(self, now: float) -> None:
        """Drop jobs that ended long ago, from memory and from the store."""
        while self.ended and now - self.ended[0].at > self.timing.keep_seconds:
            row = self.jobs[self.ended.popleft().job]
            settled = row.stored is row.state
            if not settled or any(task.run for task in row.all_tasks()):
                self.ended.append(Ended(row.job.id, now))
                continue
            del self.jobs[row.job.id]
            self.forgotten.append(row.job.id)

    def _drain(self, now: float) -> None:
        """Move lasting tasks off endpoints that say that they leave.

        One that is only missing from the list may be back soon; it gets nothing new,
        and what runs there goes on as long as it answers.
        """
        for endpoint in self.endpoints.values():
            if not endpoint.listing.draining or endpoint.silent_since is not None:
                continue
            for run in list(endpoint.runs.values()):
                if run.step.lasting and run.state is RunState.STARTED:
                    self.stop(run, now, "its endpoint leaves")

    # What is stored

    def take_batch(self) -> Batch:
        """Return all that is to be stored next."""
        new, self.new_jobs = self.new_jobs, []
        dirty, self.dirty = self.dirty, {}
        starts, self.starts = self.starts, []
        forgotten, self.forgotten = self.forgotten, []
        records: list[Record] = [encode_job(row.job) for row in new]
        records += [encode_state(row) for row in dirty.values()]
        for job in forgotten:
            records += encode_forgotten(job)
        self.storing = [(row, row.state) for row in dirty.values()]
        self.storing_plans, self.plans = self.plans, []
        ends = [
            StoredEnd(one.id, one.listing.born_ms, one.last_end)
            for one in self.endpoints.values()
            if one.last_end > one.stored_end
        ]
        return Batch(records, starts, ends)

    def stored(self, batch: Batch, now: float) -> list[Run]:
        """Note that a batch is stored; return the runs that are to be started."""
        for row, state in self.storing:
            row.stored = state
        self.storing = []
        for plan in self.storing_plans:
            plan.stored = True
        self.storing_plans = []
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
            self.lose_run(run, "its endpoint can't be used any more")
            return False
        run.state = RunState.SENT
        run.until_ms = endpoint.clock(now) + self.timing.lease_ms
        endpoint.grant(run.until_ms)
        return True
