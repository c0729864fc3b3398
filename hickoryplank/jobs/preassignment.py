"""Pre-assignments: endpoints chosen and stored before a task can start.

Pre-assignments bridge times in which the store is slow, or unavailable for some
seconds, while jobs of several steps run and other jobs wait for room. A start must
follow the record of its assignment. Each task is therefore given an endpoint in the
first record of its job; once the task is ready and that endpoint has room, it starts
without another record.

A pre-assignment is kept until it is used or the incarnation of its endpoint ends. Thus
a record being stored never names another endpoint than the one on which the task may
be started.
"""

from itertools import cycle, islice

from hickoryplank.jobs.endpoints import Endpoint
from hickoryplank.jobs.engine_tables import EngineTables
from hickoryplank.jobs.placement import has_labels, has_room_for
from hickoryplank.jobs.table import JobRow, PreAssignment, StepRow, Task

__all__ = ["MAX_PREASSIGNED_TASKS", "preassign_tasks", "start_preassigned"]

#: Most waiting tasks of a step that are pre-assigned, the first ones. It is what a
#: coordinator starts in the time for which it may work without the store.
MAX_PREASSIGNED_TASKS = 2000


def preassign_tasks(
    tables: EngineTables,
    row: JobRow,
    occurrence: int,
    endpoints: list[Endpoint],
    now: float,
) -> None:
    """Pre-assign each waiting task, preferably to an endpoint that runs the job.

    :param endpoints: usable endpoints of the pool.
    """
    if not row.needs_preassignment:
        return
    row.needs_preassignment = False
    if not _can_preassign(tables, row):
        return
    steps = row.steps[occurrence]
    job_endpoints = [
        task.run.endpoint
        for step in steps
        for task in step.tasks
        if task.run is not None and task.run.endpoint.usable(now)
    ]
    for step in steps:
        if not step.step.gang:
            _preassign_step(tables, row, step, job_endpoints or endpoints)


def _can_preassign(tables: EngineTables, row: JobRow) -> bool:
    terms = row.job.terms_in(tables.configuration)
    if row.job.lasting or row.job.repeats or row.state.final:
        return False
    return terms is not None and terms.advice is None


def _preassign_step(
    tables: EngineTables, row: JobRow, step: StepRow, endpoints: list[Endpoint]
) -> None:
    if len(step.waiting) > MAX_PREASSIGNED_TASKS:
        # Others become the first ones as these are started.
        row.needs_preassignment = True
    unassigned = [
        task
        for task in islice(step.waiting.values(), MAX_PREASSIGNED_TASKS)
        if task.run is None
        and task.stored_assignment is None
        and not _is_current(tables, task.preassignment)
    ]
    candidates = [one for one in endpoints if has_labels(one, step.step)]
    if not unassigned or not candidates:
        return
    first = tables.round_robin_counter % len(candidates)
    tables.round_robin_counter += 1
    # Before any of them may count as stored.
    tables.mark_dirty(row, *unassigned)
    for task, endpoint in zip(
        unassigned, cycle(candidates[first:] + candidates[:first])
    ):
        task.preassignment = PreAssignment(endpoint)
        tables.new_preassignments.append((row, task.preassignment))


def _is_current(tables: EngineTables, preassignment: PreAssignment | None) -> bool:
    if preassignment is None:
        return False
    return tables.endpoints.get(preassignment.endpoint.id) is preassignment.endpoint


def start_preassigned(
    tables: EngineTables, row: JobRow, step: StepRow, task: Task, now: float
) -> bool:
    """Start a task on its stored pre-assignment, if that endpoint has room now."""
    preassignment = task.preassignment
    if (
        preassignment is None
        or not preassignment.stored
        or not _is_current(tables, preassignment)
    ):
        return False
    endpoint = preassignment.endpoint
    if endpoint.id in task.failed_on or not endpoint.usable(now):
        return False
    if not has_room_for(endpoint, step):
        return False
    run = tables.begin_run(row, task, endpoint, task.attempt + 1, "recorded ahead")
    row.note_change(task)
    tables.preassigned_starts.append(run)
    return True
