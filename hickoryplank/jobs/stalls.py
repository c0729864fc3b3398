"""Restarts runs that make no progress on other endpoints.

An endpoint may answer polls, and renew the leases of its runs, while they stand still.
Their jobs would wait for as long as that lasts. It answers single endpoints that fail
in this way; where no other endpoint has room, a run is left where it is.
"""

from hickoryplank.jobs.endpoints import Run, RunState
from hickoryplank.jobs.engine_tables import EngineTables
from hickoryplank.jobs.ordering import task_ms
from hickoryplank.jobs.placement import choose_endpoint

__all__ = ["note_progress", "restart_if_stalled"]

#: Least time without progress after which a run is restarted, in milliseconds. It
#: exceeds the time for which a task resumes from a checkpoint, and that in which a task
#: of two minutes progresses by one percent.
MIN_STALL_MS = 1500
#: Fraction of the estimated run time for which a run may make no progress.
STALL_FRACTION = 0.5
#: Endpoints that a task leaves because it failed or stalled there, at most. A task that
#: stalls everywhere is the cause itself.
MAX_ENDPOINTS_LEFT = 3


def note_progress(run: Run, percent: int, clock_ms: int) -> None:
    """Record the progress that an endpoint reports for a run.

    :param clock_ms: the endpoint's clock in the report.
    """
    if percent != run.percent or not run.progressed_at_ms:
        run.progressed_at_ms = clock_ms
    run.percent = percent


def restart_if_stalled(
    tables: EngineTables, run: Run, clock_ms: int, now: float
) -> None:
    """Stop a run that makes no progress, so that its task starts on another endpoint.

    The task starts again once the endpoint has reported the end of the run.

    :param clock_ms: the endpoint's clock in the report.
    """
    if not _should_progress(run):
        return
    stalled_ms = clock_ms - run.progressed_at_ms
    if stalled_ms < max(MIN_STALL_MS, STALL_FRACTION * task_ms(run.step)):
        return
    task = tables.task_of(run)
    row = tables.jobs.get(run.key.job)
    if task is None or row is None or len(task.failed_on) >= MAX_ENDPOINTS_LEFT:
        return
    others = [
        one
        for one in tables.endpoints.values()
        if one is not run.endpoint
        and one.listing.pool == run.endpoint.listing.pool
        and one.usable(now)
    ]
    if choose_endpoint(others, row.step_of(run.key), task.failed_on) is None:
        return
    task.failed_on |= {run.endpoint.id}
    run.endpoint.note_failure(row.job.id, now)
    tables.stop(run, now, "it makes no progress")


def _should_progress(run: Run) -> bool:
    """Return whether an endpoint that is well would report progress of a run.

    Lasting tasks have none, the members of a gang wait for each other, and filling
    tasks are slowed down on purpose.
    """
    step = run.step
    if step.lasting or step.gang or step.fills:
        return False
    return run.state is RunState.STARTED and run.percent < 100
