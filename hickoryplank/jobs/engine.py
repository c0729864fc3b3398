"""The job engine: schedules runs from submitted jobs and endpoint reports.

The engine does no I/O. Its caller passes in jobs and answers, calls ``tick``, stores
the batch returned by ``take_batch`` and calls ``batch_stored``. The starts of a batch
are sent, and its ends acknowledged, only after the batch has been stored.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

from hickoryplank.core.ids import EndpointId, JobId, QueueId, Zone
from hickoryplank.jobs import incarnations, reports
from hickoryplank.jobs.admission import Admissions, Refusal, refusal
from hickoryplank.jobs.assignment import AllowedStarts, assign_tasks
from hickoryplank.jobs.configuration import Configuration
from hickoryplank.jobs.endpoints import Endpoint, Listing, Run, RunState
from hickoryplank.jobs.engine_tables import EndedJob, EngineTables, EngineTiming
from hickoryplank.jobs.evacuation import evacuate_zones
from hickoryplank.jobs.messages import (
    Batch,
    EngineEvent,
    EngineEventKind,
    PollReport,
    PollRequest,
    StartOutcome,
    StoredEnd,
)
from hickoryplank.jobs.model import Job
from hickoryplank.jobs.pacing import adjust_pace
from hickoryplank.jobs.quarantine import Subject, SubjectKind, job_subject
from hickoryplank.jobs.rebuild import end_job_if_settled, rebuild_job
from hickoryplank.jobs.records import (
    Record,
    StoreBounds,
    encode_deletion,
    encode_job,
    encode_state_changes,
    job_of_key,
)
from hickoryplank.jobs.shortage import ShortageOrder
from hickoryplank.jobs.table import JobRow, JobState, TaskState

__all__ = ["Engine", "EngineTiming"]

_T = TypeVar("_T")

#: Interval at which a stop is repeated until the run has ended.
STOP_REPEAT_SECONDS = 0.5
#: Age up to which stored jobs count as arrivals in the next term, in seconds: several
#: times the time over which rates are estimated. Older ones only delay a hand-over.
RESTORED_ARRIVALS_SECONDS = 10.0
#: Most batches that leave out a job whose state the store has refused, before it is
#: sent again: half a minute at one batch per tick.
MAX_SKIPPED_BATCHES = 256


class Engine(EngineTables):
    """State of all jobs, endpoints and runs, and the operations that change it."""

    def __init__(
        self,
        configuration: Configuration,
        timing: EngineTiming,
        now: float,
        wall_ms: int,
        shortage_order: ShortageOrder = ShortageOrder.DEADLINE,
        bounds: StoreBounds | None = None,
    ):
        super().__init__(configuration, timing, now, wall_ms, shortage_order, bounds)
        self.admissions = Admissions()

    # Jobs

    def restore(self, rows: Iterable[JobRow]) -> None:
        """Load the stored jobs of a former term, before any endpoint is listed.

        The recent ones count as arrivals, so that a hand-over during a turn of demand
        neither makes VMs late nor puts what a team sent beyond its share before other
        work.
        """
        for row in sorted(rows, key=lambda one: one.accepted_at):
            row.recorded = True
            self.jobs[row.job.id] = row
            with self.guard_job(row.job.id):
                self._restore_job(row)

    def _restore_job(self, row: JobRow) -> None:
        for task in row.all_tasks():
            if task.stored_assignment is not None:
                assignments = self.unlisted_assignments.setdefault(
                    task.stored_assignment.endpoint, []
                )
                assignments.append((row, task))
                size = row.job.steps[task.key.step].size
                self.team_usage.add(row.job.team, size)
            elif task.state is TaskState.ACTIVE:
                # It was stored while the job was set aside.
                self.requeue(row, task)
        if row.state.final:
            self.ended_jobs.append(EndedJob(row.job.id, self.term_started_at))
        else:
            self.open_jobs[row.job.id] = row
        self._note_first_job(row.job, self.term_started_at)
        if row.accepted_at > self.term_started_at - RESTORED_ARRIVALS_SECONDS:
            self._note_arrival(row)
        if not row.state.final:
            # A former coordinator may have noted the last end, and applied no more.
            end_job_if_settled(self, row, self.term_started_at)

    def refusal(self, job: Job, now: float) -> Refusal | None:
        """Return why a job that isn't known is refused; none if it is accepted."""
        try:
            return refusal(self, self.admissions, job, now)
        except Exception as exc:
            # Some other job may be the cause, and the order of service shows which one.
            self.quarantine.set_aside(Subject(SubjectKind.POOL, job.pool), exc)
            return None

    def submit(self, job: Job, now: float) -> JobRow:
        """Add a job, or return the row of the job if it is known already."""
        known = self.jobs.get(job.id)
        if known is not None:
            return known
        self._note_first_job(job, now)
        row = JobRow(job, now)
        row.returned = self.admissions.take_return(job.id, now)
        self._note_arrival(row)
        self.jobs[job.id] = self.open_jobs[job.id] = row
        self.new_jobs.append(row)
        return row

    def _note_arrival(self, row: JobRow) -> None:
        """Count a job towards the share of its team and the load of its pool."""
        job = row.job
        # A returned job was counted when it was first handed in.
        row.over_share = not row.returned and not self.rate_limiter.take_token(
            job.team, self.configuration, row.accepted_at
        )
        if not row.over_share and not job.lasting and not job.repeats:
            self.arrivals.add_job(job, row.accepted_at)

    def _note_first_job(self, job: Job, now: float) -> None:
        if not job.lasting:
            self.first_job_at.setdefault(job.pool, now)

    def cancel(self, row: JobRow, now: float) -> None:
        """End a job as cancelled and stop its runs."""
        if not row.state.final:
            try:
                self.end_job(row, JobState.CANCELLED, now)
            except Exception as exc:
                # What is left of its end is done when the job is tried again.
                self.set_job_aside(row.job.id, exc)
                row.state = JobState.CANCELLED
                self.mark_dirty(row)

    def pending_count(self, queue: QueueId) -> int:
        """Return the number of jobs of a queue of which no task has been started.

        A start without an answer counts once its endpoint reports the run.
        """
        return sum(
            1
            for row in self.open_jobs.values()
            if row.job.queue == queue and not self.has_begun(row)
        )

    def has_begun(self, row: JobRow) -> bool:
        """Return whether a task of a job has been started.

        After a takeover a stored assignment counts until its endpoint has answered the
        first poll, or failed to.
        """
        return row.begun or any(
            task.run is not None and task.run.awaits_first_report
            for task in row.all_tasks()
        )

    # Endpoints

    def update_listing(self, listing: Listing, now: float) -> Endpoint:
        """Apply a listing; a new incarnation of an endpoint starts without runs."""
        return incarnations.update_listing(self, listing, now)

    def remove_listing(self, id: EndpointId) -> None:
        """Mark an endpoint as missing from the list of endpoints."""
        known = self.endpoints.get(id)
        if known is not None:
            known.listed = False

    def cordon(self, leaving: frozenset[EndpointId]) -> None:
        """Allow no new runs on the endpoints of VMs that are to leave.

        This includes endpoints that are listed, or begin a new incarnation, only later:
        the platform may carry out an order for their VM at any time.

        :param leaving: all such endpoints, in place of those of the last call.
        """
        self.leaving = leaving
        for id in leaving:
            endpoint = self.endpoint_of(id)
            if endpoint is not None:
                endpoint.cordoned = True

    def set_evacuated_zones(self, zones: frozenset[Zone], now: float) -> None:
        """Start nothing in these zones, in place of those of the last call.

        Runs there go on, but for lasting tasks, which move to other zones. Endpoints
        that have been idle in a zone that is taken back get work gently.
        """
        taken_back = self.evacuated_zones.zones - zones
        idle = [
            one.id
            for one in self.endpoints.values()
            if one.listing.zone in taken_back and not one.runs
        ]
        self.evacuated_zones.replace(zones, idle, now)

    def end_incarnation(self, endpoint: Endpoint, now: float) -> None:
        """End an incarnation of an endpoint, and all runs on it."""
        incarnations.end_incarnation(self, endpoint, now)

    def end_down_incarnations(
        self, alive: frozenset[EndpointId], asked_at: float, now: float
    ) -> None:
        """End silent endpoints whose VM is down, without waiting for their leases.

        Only endpoints that were silent before the VM list was requested are ended.
        Stored assignments to unlisted endpoints whose VM is down are released.

        :param alive: endpoints of all VMs that are up according to the VM list.
        :param asked_at: time at which the VM list was requested.
        """
        incarnations.end_down_incarnations(self, alive, asked_at, now)

    @property
    def has_unlisted_assignments(self) -> bool:
        """Whether there are stored assignments to endpoints that are not listed."""
        return bool(self.unlisted_assignments)

    def release_unlisted_assignments(self, now: float) -> None:
        """Release the tasks whose stored assignment is to an unlisted endpoint.

        Does nothing until the leases of former coordinators have expired.
        """
        incarnations.release_unlisted_assignments(self, now)

    # Reports

    def next_poll(self, endpoint: Endpoint, now: float, *, renew: bool) -> PollRequest:
        """Return the next poll of an endpoint.

        :param renew: whether this coordinator may extend leases.
        """
        return reports.next_poll(self, endpoint, now, renew=renew)

    def note_no_answer(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint did not answer a poll or a start."""
        reports.note_no_answer(self, endpoint, now)

    def poll_unanswered(
        self, endpoint: Endpoint, now: float, *, may_arrive: bool
    ) -> None:
        """Record that an endpoint did not answer a poll.

        :param may_arrive: whether the poll may still be carried out.
        """
        reports.poll_unanswered(self, endpoint, now, may_arrive=may_arrive)

    def poll_answered(
        self, endpoint: Endpoint, report: PollReport, asked_at: float, now: float
    ) -> None:
        """Apply the runs and ends that an endpoint reports.

        :param asked_at: time at which the poll was sent.
        """
        reports.poll_answered(self, endpoint, report, asked_at, now)

    def is_start_due(self, run: Run, tries: int, now: float) -> bool:
        """Return whether the start of a run is to be sent, for the first time or again.

        :param tries: number of times that it has been sent.
        """
        try:
            return reports.is_start_due(self, run, tries, now)
        except Exception as exc:
            self.start_failed(run, exc, now)
            return False

    def start_failed(self, run: Run, exc: Exception, now: float) -> None:
        """Set the job of a run aside, as its start or the answer to it raised.

        The start may have been sent; it is not sent again.
        """
        self.set_job_aside(run.key.job, exc)
        if run.endpoint.runs.get(run.run_key) is run:
            run.unanswered_at = now
            if run.start_withdrawn_at is None:
                run.start_withdrawn_at = now

    def start_answered(
        self, run: Run, outcome: StartOutcome, tries: int, clock_ms: int, now: float
    ) -> bool:
        """Apply the answer to a start; return whether it is still without an answer.

        :param tries: number of times that it was sent, including this one.
        :param clock_ms: the endpoint's clock in the answer; 0 if not known.
        """
        try:
            return reports.start_answered(self, run, outcome, tries, clock_ms, now)
        except Exception as exc:
            self.start_failed(run, exc, now)
            return False

    def stop_answered(self, run: Run, now: float) -> None:
        """Record that a stop was accepted; the next report settles the run."""
        reports.stop_answered(self, run, now)

    # Each tick

    def tick(
        self, now: float, wall_ms: int, starts: AllowedStarts = AllowedStarts.ANY
    ) -> None:
        """Decide starts, stops and changes of pace, by the current state.

        This also gives up runs whose leases have expired, and drops jobs past their
        retention period.

        :param wall_ms: time of day, in Unix milliseconds.
        :param starts: the starts that may be decided.
        """
        self._try_jobs_again(now)
        self._expire_leases(now)
        self._stop_on_draining(now)
        self.evacuated_zones.end_warm_ups(now)
        self._drop_expired_jobs(now)
        assign_tasks(self, now, wall_ms, starts)
        for endpoint in self.endpoints.values():
            if endpoint.token_confirmed and endpoint.silent_since is None:
                self._adjust_pace(endpoint, now)
        evacuate_zones(self, now)
        for run, due in list(self.stop_repeat_at.items()):
            if due <= now:
                self.stop_repeat_at[run] = now + STOP_REPEAT_SECONDS
                self.stops.append(run)

    def _try_jobs_again(self, now: float) -> None:
        """Rebuild the jobs that were set aside and whose pause is over."""
        for id in map(JobId, self.quarantine.due(SubjectKind.JOB, now)):
            row = self.jobs.get(id)
            if row is None:
                self.quarantine.discard(job_subject(id))
                continue
            self.unencodable_jobs.discard(id)
            if not self._note_held_ends(id, now):
                continue
            try:
                rebuild_job(self, row, now)
            except Exception as exc:
                self.set_job_aside(id, exc)
            else:
                if self.quarantine.release(job_subject(id), now):
                    self.events.append(
                        EngineEvent(
                            EngineEventKind.RESUMED, id, None, 0, None, "rebuilt"
                        )
                    )

    def _note_held_ends(self, job: JobId, now: float) -> bool:
        """Note the ends of a job that could not be noted; return false if any can't.

        The job is then set aside again.
        """
        for endpoint in self.endpoints.values():
            for end in list(endpoint.unnoted_ends.values()):
                if end.key.job == job:
                    reports.take_end(self, endpoint, end, now)
        return not any(
            end.key.job == job
            for endpoint in self.endpoints.values()
            for end in endpoint.unnoted_ends.values()
        )

    def _adjust_pace(self, endpoint: Endpoint, now: float) -> None:
        subject = Subject(SubjectKind.PACE, endpoint.id)
        if self.quarantine.is_paused(subject, now):
            return
        with self.quarantine.guard(subject):
            self.pace_changes += adjust_pace(endpoint, now)
            self.quarantine.release(subject, now)

    def tick_preassigned(self, now: float, wall_ms: int) -> None:
        """Start tasks on stored pre-assignments while a batch is being stored."""
        assign_tasks(self, now, wall_ms, AllowedStarts.PREASSIGNED)

    def take_preassigned_starts(self, now: float) -> list[Run]:
        """Return the runs that may be started without storing another record."""
        starts, self.preassigned_starts = self.preassigned_starts, []
        return [run for run in starts if self._mark_sent(run, now)]

    def _expire_leases(self, now: float) -> None:
        for endpoint in list(self.endpoints.values()):
            if endpoint.silent_since is None and endpoint.token_confirmed:
                continue
            if endpoint.runs and endpoint.leases_expired(now):
                self._give_up_expired_runs(endpoint, now)
            if not endpoint.listed and not endpoint.runs:
                self.drop_endpoint(endpoint)

    def _give_up_expired_runs(self, endpoint: Endpoint, now: float) -> None:
        """Give up the runs of a silent endpoint that no incarnation can have any more.

        The leases of the known incarnation have lapsed. The endpoint may have started
        again since its last report, though, and have carried out calls for that one.
        """
        unseen_until = endpoint.unseen_leases_until(self.timing.max_lease_seconds)
        for run in list(endpoint.runs.values()):
            if now < unseen_until and run.may_be_in_unseen_incarnation:
                if not run.held:
                    run.held = True
                    reason = "its endpoint may have started again unseen"
                    self.add_event(EngineEventKind.HELD, run, reason)
                continue
            self.give_up_run(run, "its lease has lapsed on a silent endpoint")

    def _drop_expired_jobs(self, now: float) -> None:
        """Drop jobs past their retention period from memory and from the store."""
        while (
            self.ended_jobs
            and now - self.ended_jobs[0].at > self.timing.retention_seconds
        ):
            row = self.jobs.get(self.ended_jobs.popleft().job)
            if row is None:
                continue
            settled = row.stored_state is row.state
            is_held = self.quarantine.has_job(row.job.id) or row.refusals
            if not settled or is_held or row.has_run:
                self.ended_jobs.append(EndedJob(row.job.id, now))
                continue
            del self.jobs[row.job.id]
            self.quarantine.discard(job_subject(row.job.id))
            self.expired_jobs.append(row)

    def _stop_on_draining(self, now: float) -> None:
        """Stop lasting tasks on endpoints whose listing says that they are draining.

        An endpoint that is only missing from the list may be listed again soon. It
        is given no new runs, and its runs continue for as long as it answers polls.
        """
        for endpoint in self.endpoints.values():
            if not endpoint.listing.draining or endpoint.silent_since is not None:
                continue
            for run in list(endpoint.runs.values()):
                if run.step.lasting and run.state is RunState.STARTED:
                    with self.guard_job(run.key.job):
                        self.stop(run, now, "its endpoint leaves")

    # Batches

    def take_batch(self) -> Batch:
        """Return the batch to be stored next.

        It lacks the states of jobs that can't be encoded, and of those that the store
        has refused a short time ago. Their ends are not acknowledged.
        """
        unowned, self.unowned_records = self.unowned_records, []
        records = [Record(record.key, b"") for record in unowned]
        expired_jobs, self.expired_jobs = self.expired_jobs, []
        for row in expired_jobs:
            records += encode_deletion(row)
        self.storing_states = []
        self.unstored_jobs = set()
        records += self._take_new_jobs() + self._take_states()
        self.unstored_jobs |= self.unencodable_jobs
        preassignments, self.new_preassignments = self.new_preassignments, []
        # Those of jobs that can't be encoded are chosen anew at the next try.
        self.storing_preassignments = [
            (row, one)
            for row, one in preassignments
            if row.job.id not in self.unencodable_jobs
        ]
        starts, self.starts = self.starts, []
        self._hold_ends()
        ends = [
            StoredEnd(one.id, one.listing.born_ms, one.storable_end_number)
            for one in self.endpoints.values()
            if one.has_unstored_ends
        ]
        return Batch(records, starts, ends)

    def _take_new_jobs(self) -> list[Record]:
        new, self.new_jobs, self.storing_jobs = self.new_jobs, [], []
        records = []
        for row in new:
            record = self._encode(row, lambda row: encode_job(row.job))
            if record is None:
                self.new_jobs.append(row)
                continue
            # A state without its job means nothing, a job without its state is new.
            records += [*self._take_state(row), record]
            self.storing_jobs.append(row)
        return records

    def _take_states(self) -> list[Record]:
        records = []
        for row in list(self.dirty.values()):
            if row.batches_to_skip:
                row.batches_to_skip -= 1
                self.unstored_jobs.add(row.job.id)
            else:
                records += self._take_state(row)
        return records

    def _take_state(self, row: JobRow) -> list[Record]:
        """Return the changes of a state, which remain if they can't be encoded."""
        if row.job.id not in self.dirty:
            return []
        records = self._encode(row, lambda row: encode_state_changes(row, self.bounds))
        if records is None:
            return []
        del self.dirty[row.job.id]
        self.storing_states.append((row, row.state))
        return records

    def _encode(self, row: JobRow, encode: Callable[[JobRow], _T]) -> _T | None:
        """Return what is encoded of a job, or none if it can't be for now."""
        id = row.job.id
        if id in self.unencodable_jobs:
            return None
        try:
            return encode(row)
        except Exception as exc:
            row.stored.withdraw()
            self.unencodable_jobs.add(id)
            self.set_job_aside(id, exc)
            return None

    def _hold_ends(self) -> None:
        """Hold back the ends of jobs whose state the newest batch lacks."""
        for endpoint in self.endpoints.values():
            endpoint.hold_ends(self.unstored_jobs)

    def batch_stored(
        self, batch: Batch, now: float, refused: frozenset[str] = frozenset()
    ) -> list[Run]:
        """Mark a batch as stored; return the runs that may be started now.

        :param refused: keys of the records that the store refuses for good. Nothing of
            their jobs counts as stored: new ones are dropped, and of others all changes
            are written again, after growing pauses. Other jobs are not concerned.
        """
        refused_jobs = {job_of_key(key) for key in refused}
        for row in self.storing_jobs:
            if row.job.id in refused_jobs:
                self._drop_refused_job(row)
            else:
                row.recorded = True
        self.storing_jobs = []
        for row, state in self.storing_states:
            if row.job.id in refused_jobs:
                self._hold_refused_state(row)
            else:
                row.stored_state = state
                row.stored.confirm()
                row.refusals = 0
        self.storing_states = []
        for row, preassignment in self.storing_preassignments:
            if row.job.id in self.dirty and row.refusals:
                self.new_preassignments.append((row, preassignment))
            else:
                preassignment.stored = True
        self.storing_preassignments = []
        if refused_jobs:
            self.unstored_jobs |= refused_jobs & self.jobs.keys()
            self._hold_ends()
        for end in batch.ends:
            endpoint = self.endpoints.get(end.endpoint)
            if endpoint is not None and endpoint.listing.born_ms == end.born_ms:
                number = min(end.number, endpoint.storable_end_number)
                endpoint.note_stored_ends(number)
        return [run for run in batch.starts if self._may_start(run, now)]

    def _drop_refused_job(self, row: JobRow) -> None:
        """Drop a new job that can't be stored; nothing of it has been started."""
        row.refusals += 1
        self.jobs.pop(row.job.id, None)
        self.open_jobs.pop(row.job.id, None)
        self.advice.discard_job(row.job.id)
        self.quarantine.discard(job_subject(row.job.id))
        self.dirty.pop(row.job.id, None)
        for task in row.all_tasks():
            if task.run is not None:
                self.detach_run(task.run)
        # Parts of its state may have been stored.
        self.expired_jobs.append(row)

    def _hold_refused_state(self, row: JobRow) -> None:
        if row.job.id not in self.jobs:
            return
        row.refusals += 1
        row.batches_to_skip = min(2**row.refusals, MAX_SKIPPED_BATCHES) - 2
        row.stored.refuse()
        self.dirty[row.job.id] = row

    def _may_start(self, run: Run, now: float) -> bool:
        """Mark a run of a stored batch as sent; return whether it may be started."""
        row = self.jobs.get(run.key.job)
        if row is not None and row.refusals:
            self.give_up_run(run, "the store refuses the state of its job")
            return False
        return self._mark_sent(run, now)

    def _mark_sent(self, run: Run, now: float) -> bool:
        endpoint = run.endpoint
        if endpoint.runs.get(run.run_key) is not run:
            return False
        if not endpoint.usable(now):
            self.give_up_run(run, "its endpoint can't be used any more")
            return False
        run.state = RunState.SENT
        run.until_ms = endpoint.estimated_clock_ms(now) + self.timing.lease_ms
        endpoint.record_lease(run.until_ms)
        return True
