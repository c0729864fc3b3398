"""Rebuilds a job that was set aside from what is known of its tasks.

What is known of a task is its state, its attempts, failures and checkpoint, its stored
assignment, and the run that an endpoint has or may have. The tables of its steps follow
from these, and so does whether the job has ended.
"""

from hickoryplank.jobs.endpoints import Run
from hickoryplank.jobs.engine_tables import EndedJob, EngineTables
from hickoryplank.jobs.model import TaskKey
from hickoryplank.jobs.table import JobRow, JobState, StepRow, Task, TaskState

__all__ = ["end_job_if_settled", "rebuild_job"]


def rebuild_job(tables: EngineTables, row: JobRow, now: float) -> None:
    """Derive the tables of a job anew, and end it if its tasks say so."""
    runs = _runs_by_task(tables, row)
    # What was interrupted may have changed tasks and not said so.
    tables.mark_dirty(row, *row.all_tasks())
    row.path_ms.clear()
    row.next_occurrence = 0
    for steps in row.steps.values():
        for step in steps:
            _rebuild_step(step, runs)
    _stop_runs_of_done_tasks(tables, row, now)
    for occurrence in list(row.steps):
        row.discard_occurrence_if_ended(occurrence)
    row.needs_preassignment = True
    if row.state.final:
        _finish_end(tables, row, now)
    else:
        tables.open_jobs.setdefault(row.job.id, row)
        end_job_if_settled(tables, row, now)


def _runs_by_task(tables: EngineTables, row: JobRow) -> dict[TaskKey, Run]:
    """Return the newest run of each task that an endpoint has, or may have."""
    runs: dict[TaskKey, Run] = {}
    for endpoint in tables.endpoints.values():
        for run in endpoint.runs.values():
            if run.key.job != row.job.id:
                continue
            known = runs.get(run.key)
            if known is None or run.attempt > known.attempt:
                runs[run.key] = run
    return runs


def _rebuild_step(step: StepRow, runs: dict[TaskKey, Run]) -> None:
    done = any(task.state is TaskState.DONE for task in step.tasks)
    for task in step.tasks:
        if step.step.gang and done:
            task.state = TaskState.DONE
        _rebuild_task(task, runs.get(task.key))
    step.waiting = {
        task.key.index: task for task in step.tasks if task.state is TaskState.WAITING
    }
    step.remaining = sum(task.state is not TaskState.DONE for task in step.tasks)


def _rebuild_task(task: Task, newest: Run | None) -> None:
    run = task.run
    if run is None or run.endpoint.runs.get(run.run_key) is not run:
        task.run = newest
        task.working = False
    if newest is not None:
        task.attempt = max(task.attempt, newest.attempt)
    if task.preassignment is not None and not task.preassignment.stored:
        task.preassignment = None
    if task.state is not TaskState.DONE:
        may_run = task.run is not None or task.stored_assignment is not None
        task.state = TaskState.ACTIVE if may_run else TaskState.WAITING


def _stop_runs_of_done_tasks(tables: EngineTables, row: JobRow, now: float) -> None:
    """Stop the runs of tasks that another run has done, but not those of gangs."""
    for task in row.all_tasks():
        gang = row.job.steps[task.key.step].gang
        if task.run is not None and task.state is TaskState.DONE and not gang:
            tables.stop(task.run, now, "another run is done")


def _finish_end(tables: EngineTables, row: JobRow, now: float) -> None:
    """Go on with the end of a job that was interrupted."""
    tables.open_jobs.pop(row.job.id, None)
    tables.advice.discard_job(row.job.id)
    if all(one.job != row.job.id for one in tables.ended_jobs):
        tables.ended_jobs.append(EndedJob(row.job.id, now))
    for task in row.all_tasks():
        if task.run is not None:
            tables.stop(task.run, now, row.state.value)


def end_job_if_settled(tables: EngineTables, row: JobRow, now: float) -> None:
    """End an open job whose tasks are done, or of which one may not start again.

    The ends that say so may have been noted while the job was set aside.
    """
    if row.complete:
        tables.end_job(row, JobState.COMPLETED, now)
    elif _has_failed(tables, row):
        tables.end_job(row, JobState.FAILED, now)


def _has_failed(tables: EngineTables, row: JobRow) -> bool:
    terms = row.job.terms_in(tables.configuration)
    if terms is None:
        return False
    for step in (step for steps in row.steps.values() for step in steps):
        if step.step.lasting or not step.waiting:
            continue
        counts = [task.failures for task in step.waiting.values()]
        if step.step.gang:
            counts = [sum(task.failures for task in step.tasks)]
        if max(counts) >= terms.attempts:
            return True
    return False
