"""Handles poll reports of endpoints, and their answers to starts and stops."""

import msgspec

from hickoryplank.jobs.advice import StepKey
from hickoryplank.jobs.endpoints import Endpoint, Listing, Run, RunState
from hickoryplank.jobs.engine_tables import EngineTables
from hickoryplank.jobs.incarnations import end_incarnation, update_listing
from hickoryplank.jobs.messages import (
    End,
    EndKind,
    EngineEvent,
    EngineEventKind,
    MissingEnds,
    PollReport,
    PollRequest,
    RunningTask,
    StartOutcome,
)
from hickoryplank.jobs.stalls import note_progress, restart_if_stalled
from hickoryplank.jobs.table import JobRow, JobState, StepRow, Task, TaskState

__all__ = [
    "poll_answered",
    "note_no_answer",
    "poll_unanswered",
    "next_poll",
    "is_start_due",
    "start_answered",
    "stop_answered",
    "take_end",
]

#: Longest time since the last report of an endpoint for its ends to be acknowledged, in
#: seconds.
MAX_ACKNOWLEDGED_AGE_SECONDS = 0.25
#: Fraction of the shortest run time within which an acknowledgement has to be applied
#: after the last report. A new incarnation can't have run a task to its end by then, so
#: that there is no end that the acknowledgement would drop.
ACKNOWLEDGEMENT_FRACTION = 0.75
#: The same time while no run time is known, in seconds.
DEFAULT_ACKNOWLEDGEMENT_SECONDS = 0.1
#: The least such time for the sake of runs that resume from a checkpoint, in seconds.
#: Ends that are never acknowledged would be reported again and again.
MIN_ACKNOWLEDGEMENT_SECONDS = 0.05
#: Delay before a failed lasting task is started again.
LASTING_RESTART_DELAY_SECONDS = 0.2
#: Silence of an endpoint after which starts are not sent to it again, in seconds: the
#: time within which it answers a poll. Each start may reach an incarnation that has not
#: been seen yet, and extend its leases.
MAX_START_SILENCE_SECONDS = 1.2
#: Ends of an endpoint that are not acknowledged, as one before them can't be stored,
#: above which it gets no new runs. It is below the number that the platform returns in
#: one report, so that all ends are still read.
MAX_HELD_ENDS = 200
#: Time for which such an endpoint gets no new runs, in seconds.
HELD_ENDS_EJECTION_SECONDS = 1.0


def next_poll(
    tables: EngineTables, endpoint: Endpoint, now: float, *, renew: bool
) -> PollRequest:
    """Return the next poll of an endpoint.

    :param renew: whether this coordinator may extend leases.
    """
    until = None
    if renew and endpoint.silent_since is None and endpoint.token_confirmed:
        until = endpoint.estimated_clock_ms(now) + tables.timing.lease_ms
        endpoint.record_lease(until)
        endpoint.lease_call_at = now
    # The next incarnation of the endpoint numbers its ends anew, so that a late
    # acknowledgement would make it drop ends that have not been read. An end is
    # therefore acknowledged only right after a report, and until a poll with the
    # acknowledgement is answered.
    new_ends = endpoint.stored_end_number > endpoint.confirmed_ack_number
    report_age_s = now - endpoint.reported_at
    within_s = _acknowledgement_seconds(tables, endpoint, now)
    report_is_recent = report_age_s <= min(MAX_ACKNOWLEDGED_AGE_SECONDS, within_s)
    acknowledge = new_ends and report_is_recent
    endpoint.sent_ack_number = endpoint.stored_end_number if acknowledge else 0
    at_once = (
        endpoint.has_unstored_ends
        or not endpoint.token_confirmed
        or (new_ends and not acknowledge)
    )
    wait = 0 if at_once else tables.timing.poll_wait_ms
    if acknowledge:
        # The endpoint may apply the acknowledgement when it answers.
        wait = min(wait, int((within_s - report_age_s) * 1000))
    return PollRequest(
        endpoint.id, endpoint.listing.address, endpoint.sent_ack_number, until, wait
    )


def _acknowledgement_seconds(
    tables: EngineTables, endpoint: Endpoint, now: float
) -> float:
    """Return how long after a report an acknowledgement may be applied, in seconds.

    A start may have reached a new incarnation right after the report. It may be that of
    a run that resumes from a checkpoint shortly before its end.
    """
    resumed_s = ACKNOWLEDGEMENT_FRACTION * tables.timing.restore_ms / 1000
    resumed_s = max(resumed_s, MIN_ACKNOWLEDGEMENT_SECONDS)
    shortest_s = tables.run_times.shortest(endpoint.listing.pool, now)
    if shortest_s is None:
        return min(DEFAULT_ACKNOWLEDGEMENT_SECONDS, resumed_s)
    return min(ACKNOWLEDGEMENT_FRACTION * shortest_s, resumed_s)


def note_no_answer(tables: EngineTables, endpoint: Endpoint, now: float) -> None:
    """Record that an endpoint did not answer a poll or a start."""
    if endpoint.silent_since is None:
        endpoint.silent_since = now


def poll_unanswered(
    tables: EngineTables, endpoint: Endpoint, now: float, *, may_arrive: bool
) -> None:
    """Record that an endpoint did not answer a poll.

    If the poll acknowledges ends, the next incarnation may carry it out late and drop
    ends of its own. It refuses the poll if it has begun a run by a higher token.

    :param may_arrive: whether the poll may still be carried out.
    """
    if may_arrive and endpoint.sent_ack_number:
        endpoint.token_number = tables.take_token_number()
    note_no_answer(tables, endpoint, now)


def poll_answered(
    tables: EngineTables,
    endpoint: Endpoint,
    report: PollReport,
    asked_at: float,
    now: float,
) -> None:
    """Apply the runs and ends that an endpoint reports.

    :param asked_at: time at which the poll was sent.
    """
    if report.born_ms != endpoint.listing.born_ms:
        _begin_incarnation(tables, endpoint, report, now)
        return
    endpoint.note_answer()
    endpoint.note_clock(report.clock_ms, now)
    endpoint.reported_at = now
    endpoint.confirmed_ack_number = max(
        endpoint.confirmed_ack_number, endpoint.sent_ack_number
    )
    if not endpoint.token_confirmed:
        endpoint.token_confirmed_at = now
        _record_initial_leases(tables, endpoint, report.clock_ms, now)
    for end in report.ends:
        if end.number > endpoint.last_end_number:
            _note_missing_ends(tables, endpoint, end.number)
            endpoint.last_end_number = end.number
            endpoint.unstored_end_jobs[end.number] = end.key.job
            take_end(tables, endpoint, end, now)
    if endpoint.last_end_number - endpoint.storable_end_number > MAX_HELD_ENDS:
        endpoint.ejected_until = now + HELD_ENDS_EJECTION_SECONDS
    if tables.endpoints.get(endpoint.id) is endpoint:
        # Else it has been dropped, and its runs given up, since the poll was sent.
        _reconcile(tables, endpoint, report, asked_at, now)


def _note_missing_ends(tables: EngineTables, endpoint: Endpoint, number: int) -> None:
    """Record the ends before a newly read one that no report has contained.

    :param number: number of the end that was read.
    """
    first = endpoint.last_end_number + 1
    if number == first or (first == 1 and not endpoint.begun_in_term):
        return
    tables.missing_ends.append(
        MissingEnds(endpoint.id, endpoint.listing.born_ms, first, number - 1)
    )


def _record_initial_leases(
    tables: EngineTables, endpoint: Endpoint, clock_ms: int, now: float
) -> None:
    """Record the latest lease end that any run may have by the endpoint's clock.

    A call that was meant for the previous incarnation gave the end by the clock of that
    one, so that it grants the longest lease, also if it arrives after this report.
    """
    lease_ms = tables.timing.lease_ms
    stale_ms = int((endpoint.stale_leases_until - now) * 1000)
    endpoint.former_leases_until = 0.0
    endpoint.record_lease(clock_ms + max(lease_ms, stale_ms))
    for run in endpoint.runs.values():
        run.until_ms = clock_ms + lease_ms


def _begin_incarnation(
    tables: EngineTables, endpoint: Endpoint, report: PollReport, now: float
) -> None:
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
    update_listing(tables, fresh, now)


def _reconcile(
    tables: EngineTables,
    endpoint: Endpoint,
    report: PollReport,
    asked_at: float,
    now: float,
) -> None:
    reported = set()
    for one in report.running:
        reported.add((one.key, one.attempt))
        try:
            _reconcile_run(tables, endpoint, one, report.clock_ms, now)
        except Exception as exc:
            tables.set_job_aside(one.key.job, exc)
    if report.may_have_more_ends:
        # A run that is not reported may have ended; a later report has its end.
        return
    for run in list(endpoint.runs.values()):
        if run.run_key in reported or tables.quarantine.has_job(run.key.job):
            continue
        try:
            _settle_unreported_run(tables, run, asked_at, now)
        except Exception as exc:
            tables.set_job_aside(run.key.job, exc)


def _reconcile_run(
    tables: EngineTables,
    endpoint: Endpoint,
    one: RunningTask,
    clock_ms: int,
    now: float,
) -> None:
    """Apply what an endpoint reports of a run.

    Of a job that is set aside, only that the endpoint has the run.
    """
    run = endpoint.runs.get((one.key, one.attempt))
    is_aside = tables.quarantine.has_job(one.key.job)
    if run is None:
        if not is_aside:
            _stop_unassigned_run(tables, endpoint, one.key, one.attempt, now)
        return
    if run.state is RunState.SENT:
        run.state = RunState.STARTED
    if run.confirmed_at is None:
        run.confirmed_at = now
    if not run.reported:
        run.reported = True
        _note_begun(tables, run)
    if not is_aside:
        _update_progress(tables, run, one, clock_ms)
        restart_if_stalled(tables, run, clock_ms, now)


def _settle_unreported_run(
    tables: EngineTables, run: Run, asked_at: float, now: float
) -> None:
    """Give up a run that its endpoint should list, or stop it if its start may come.

    :param asked_at: time at which the poll was sent whose report lacks the run.
    """
    if _is_before(run.fenced_at, asked_at):
        tables.give_up_run(run, "its endpoint has accepted a stop")
        return
    confirmed = _is_before(run.confirmed_at, asked_at)
    # The poll has raised the endpoint's fencing token above that of a former
    # coordinator, whose starts it refuses from then on.
    if confirmed and (run.adopted or not run.start_may_arrive(now)):
        tables.give_up_run(run, "its endpoint lists neither it nor its end")
    elif confirmed or _is_before(run.start_withdrawn_at, asked_at):
        # Once the endpoint has accepted the stop, it refuses the start.
        tables.stop(run, now, "a start without an answer may still arrive")


def _is_before(at: float | None, asked_at: float) -> bool:
    return at is not None and at < asked_at


def _note_begun(tables: EngineTables, run: Run) -> None:
    """Record that the job of a run has begun, as its endpoint has started the run."""
    row = tables.jobs.get(run.key.job)
    if row is not None:
        tables.note_begun(row)


def _update_progress(
    tables: EngineTables, run: Run, reported: RunningTask, clock_ms: int
) -> None:
    note_progress(run, reported.percent, clock_ms)
    run.load = reported.load
    task = tables.task_of(run)
    if task is None:
        return
    if reported.checkpoint and reported.checkpoint != task.checkpoint:
        task.checkpoint = reported.checkpoint
        tables.jobs[run.key.job].note_change(task)
    if run.step.lasting:
        task.working = reported.percent >= 100 and run.state is RunState.STARTED


def _stop_unassigned_run(
    tables: EngineTables, endpoint: Endpoint, key, attempt: int, now: float
) -> None:
    """Stop a run that the endpoint reports but that is not assigned to it."""
    row = tables.jobs.get(key.job)
    step = row.job.step_of(key) if row is not None else None
    if row is None or step is None:
        return
    tables.note_begun(row)
    run = Run(key, attempt, step, row.job.team, endpoint)
    run.state = RunState.SENT
    run.confirmed_at = now
    run.reported = True
    endpoint.add(run)
    tables.team_usage.add(run.team, run.size)
    tables.stop(run, now, "no task is assigned to it")


class _EndContext(msgspec.Struct, frozen=True):
    """What an end is about, before any of it is applied.

    :param run: the run that has ended; none if its endpoint is not known to have it.
    :param row: its job; none if that is not known.
    :param task: its task; none if there is no such task, or its occurrence has ended.
    :param current: the run is the current one of its task.
    :param failures: failures of the task before this end.
    """

    run: Run | None
    row: JobRow | None
    task: Task | None
    step: StepRow | None
    current: bool
    failures: int


def _context_of(tables: EngineTables, endpoint: Endpoint, end: End) -> _EndContext:
    run = endpoint.runs.get((end.key, end.attempt))
    row = tables.jobs.get(end.key.job)
    task = row.task(end.key) if row is not None else None
    if row is None or task is None:
        return _EndContext(run, row, None, None, False, 0)
    current = run is not None and task.run is run
    # Closing the last run of an occurrence of a timed job discards its steps.
    step = row.step_of(task.key)
    return _EndContext(run, row, task, step, current, task.failures)


def take_end(tables: EngineTables, endpoint: Endpoint, end: End, now: float) -> None:
    """Apply an end, or only note it if its job is set aside, now or before.

    What is noted is stored with the state of the job, so that the end may be
    acknowledged. If even that raises, the end is not acknowledged before it is noted
    when the job is tried again.
    """
    try:
        context = _context_of(tables, endpoint, end)
    except Exception as exc:
        tables.set_job_aside(end.key.job, exc)
        _hold_end(tables, endpoint, end)
        return
    if not tables.quarantine.has_job(end.key.job):
        try:
            _apply_end(tables, endpoint, end, context, now)
        except Exception as exc:
            tables.set_job_aside(end.key.job, exc)
        else:
            return
    try:
        _note_end(tables, endpoint, end, context)
    except Exception as exc:
        tables.set_job_aside(end.key.job, exc)
        _hold_end(tables, endpoint, end)
    else:
        endpoint.unnoted_ends.pop(end.number, None)


def _hold_end(tables: EngineTables, endpoint: Endpoint, end: End) -> None:
    endpoint.unnoted_ends[end.number] = end
    endpoint.hold_ends(tables.unstored_jobs)


def _note_end(
    tables: EngineTables, endpoint: Endpoint, end: End, context: _EndContext
) -> None:
    """Note what an end says of its task, and nothing that follows from it.

    A part of it may have been applied, and it may be noted twice. What follows is
    decided when the job is tried again (``jobs/rebuild.py``).
    """
    row, task, step = context.row, context.task, context.step
    if context.run is not None:
        tables.detach_run(context.run)
    if row is None or task is None or step is None:
        return
    tables.note_begun(row)
    if end.checkpoint and context.current:
        task.checkpoint = end.checkpoint
    ended = [task]
    if end.kind is EndKind.DONE and not step.step.lasting:
        ended = step.tasks if step.step.gang else ended
        for one in ended:
            one.state = TaskState.DONE
    elif context.current and task.state is not TaskState.DONE:
        task.state = TaskState.WAITING
        if end.kind is EndKind.FAILED:
            task.failures = context.failures + 1
            task.failed_on |= {endpoint.id}
    tables.mark_dirty(row, *ended)


def _apply_end(
    tables: EngineTables, endpoint: Endpoint, end: End, context: _EndContext, now: float
) -> None:
    run, row, task, step = context.run, context.row, context.task, context.step
    if run is not None:
        tables.close_run(run)
    elif task is not None and task.state is not TaskState.DONE:
        tables.events.append(
            EngineEvent(
                EngineEventKind.LATE_END,
                end.key.job,
                end.key,
                end.attempt,
                endpoint.id,
                end.kind.value,
            )
        )
    if row is None or task is None or step is None:
        return
    tables.note_begun(row)
    if end.checkpoint and context.current:
        task.checkpoint = end.checkpoint
        row.note_change(task)
    if end.kind is EndKind.DONE and not step.step.lasting:
        endpoint.note_success()
        if run is not None and run.first_sent_at is not None:
            run_s = now - run.first_sent_at
            tables.run_times.note_done(endpoint.listing.pool, run_s, now)
        _task_done(tables, row, step, task, now)
    elif run is not None and context.current:
        tables.add_event(EngineEventKind.ENDED, run, end.kind.value)
        if end.kind is EndKind.FAILED and task.state is not TaskState.DONE:
            _task_failed(tables, endpoint, row, step, task, now)
        if task.state is TaskState.ACTIVE:
            tables.requeue(row, task)


def _task_done(
    tables: EngineTables, row: JobRow, step: StepRow, task: Task, now: float
) -> None:
    members = step.tasks if step.step.gang else [task]
    for one in members:
        if one.state is TaskState.DONE:
            continue
        one.state = TaskState.DONE
        step.remaining -= 1
        step.waiting.pop(one.key.index, None)
        if one.run is not None and not step.step.gang:
            tables.stop(one.run, now, "another run is done")
    tables.mark_dirty(row, *members)
    row.discard_occurrence_if_ended(task.key.occurrence)
    if not row.state.final and row.complete:
        tables.end_job(row, JobState.COMPLETED, now)


def _task_failed(
    tables: EngineTables,
    endpoint: Endpoint,
    row: JobRow,
    step: StepRow,
    task: Task,
    now: float,
) -> None:
    tables.mark_dirty(row, task)
    task.failures += 1
    task.failed_on |= {endpoint.id}
    endpoint.note_failure(row.job.id, now)
    if step.step.lasting:
        task.not_before = now + LASTING_RESTART_DELAY_SECONDS
        return
    terms = row.job.terms_in(tables.configuration)
    failures = task.failures
    if step.step.gang:
        failures = sum(one.failures for one in step.tasks)
    if terms is None or row.state.final:
        return
    if failures >= terms.attempts:
        tables.end_job(row, JobState.FAILED, now)


def is_start_due(tables: EngineTables, run: Run, tries: int, now: float) -> bool:
    """Return whether the start of a run is to be sent, for the first time or again.

    It is withdrawn once the run is to be stopped, or its endpoint takes no more starts
    or has not answered for ``MAX_START_SILENCE_SECONDS``.

    :param tries: number of times that it has been sent.
    """
    if run.endpoint.runs.get(run.run_key) is not run:
        return False
    endpoint = run.endpoint
    silent_s = 0.0 if endpoint.silent_since is None else now - endpoint.silent_since
    may_be_sent = endpoint.takes_starts and silent_s <= MAX_START_SILENCE_SECONDS
    if run.state is RunState.SENT and may_be_sent:
        if not tries:
            run.first_sent_at = now
        run.unanswered_at = endpoint.lease_call_at = now
        return True
    if not tries:
        tables.give_up_run(run, "its start was withdrawn before it was sent")
    elif run.start_withdrawn_at is None:
        run.start_withdrawn_at = now
    return False


def start_answered(
    tables: EngineTables,
    run: Run,
    outcome: StartOutcome,
    tries: int,
    clock_ms: int,
    now: float,
) -> bool:
    """Apply the answer to a start; return whether it is still without an answer.

    :param tries: number of times that it was sent, including this one.
    :param clock_ms: the endpoint's clock in the answer; 0 if not known.
    """
    endpoint = run.endpoint
    if endpoint.runs.get(run.run_key) is not run:
        return False
    if tries == 1 and outcome is not StartOutcome.UNKNOWN:
        run.unanswered_at = None
    if clock_ms:
        endpoint.note_answer()
    match outcome:
        case StartOutcome.STARTED | StartOutcome.ALREADY_ENDED:
            # A run that was stopped before its start arrived counts as ended, too.
            if outcome is StartOutcome.STARTED:
                _note_begun(tables, run)
            if run.state is RunState.SENT:
                run.state = RunState.STARTED
            run.confirmed_at = now
            return False
        case StartOutcome.OTHER_INCARNATION:
            end_incarnation(tables, endpoint, now)
            return False
        case StartOutcome.UNKNOWN:
            note_no_answer(tables, endpoint, now)
            return True
        case StartOutcome.FENCED:
            return False
    _start_refused(tables, run, outcome, tries, now)
    return False


def _start_refused(
    tables: EngineTables, run: Run, outcome: StartOutcome, tries: int, now: float
) -> None:
    """Give up a refused run, or stop it if an earlier try may still be carried out."""
    if tries > 1:
        tables.stop(run, now, f"start {outcome.value} after another try")
        return
    if outcome is StartOutcome.NO_TICKET:
        step = StepKey(run.key.job, run.key.occurrence, run.key.step)
        tables.advice.discard_ticket(step, run.endpoint)
    if outcome is StartOutcome.UNHEALTHY:
        run.endpoint.note_failure(run.key.job, now)
    tables.give_up_run(run, f"start {outcome.value}")


def stop_answered(tables: EngineTables, run: Run, now: float) -> None:
    """Record that a stop was accepted; the next report settles the run.

    The stop is repeated until then.
    """
    if run.fenced_at is None:
        run.fenced_at = now
