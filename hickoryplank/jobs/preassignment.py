"""Pre-assignments: endpoints chosen and stored before a task can start.

This bridges times in which the store is slow, or unavailable for some seconds, while
jobs of several steps run and other jobs wait for room. A start must follow the record
of its assignment. Each task is therefore given an endpoint in the first record of its
job; once it is ready and that endpoint has room, it starts without another record.

A pre-assignment is kept until it is used or the incarnation of its endpoint ends. Thus
a record being stored never names another endpoint than the one on which the task may
be started.
"""

from itertools import cycle

from hickoryplank.jobs.endpoints import Endpoint
from hickoryplank.jobs.placement import admits, suits
from hickoryplank.jobs.table import JobRow, Plan, StepRow, Task
from hickoryplank.jobs.tables import Tables

__all__ = ["plan_ahead", "start_planned"]


def plan_ahead(
    tables: Tables,
    row: JobRow,
    occurrence: int,
    endpoints: list[Endpoint],
    now: float,
) -> None:
    """Pre-assign each waiting task, preferably to an endpoint that runs the job.

    :param endpoints: usable endpoints of the pool.
    """
    if not row.unplanned:
        return
    row.unplanned = False
    if not _plannable(tables, row):
        return
    steps = row.steps[occurrence]
    homes = [
        task.run.endpoint
        for step in steps
        for task in step.tasks
        if task.run is not None and task.run.endpoint.usable(now)
    ]
    for step in steps:
        if not step.step.gang:
            _plan_step(tables, row, step, homes or endpoints)


def _plannable(tables: Tables, row: JobRow) -> bool:
    queue = tables.configuration.queues.get(row.job.queue)
    if row.job.lasting or row.job.repeats or row.state.final:
        return False
    return queue is not None and queue.advice is None


def _plan_step(
    tables: Tables, row: JobRow, step: StepRow, endpoints: list[Endpoint]
) -> None:
    unplanned = [
        task
        for task in step.waiting.values()
        if task.run is None and task.place is None and not _alive(tables, task.plan)
    ]
    fit = [one for one in endpoints if suits(one, step.step)]
    if not unplanned or not fit:
        return
    first = tables.next_plan % len(fit)
    tables.next_plan += 1
    for task, endpoint in zip(unplanned, cycle(fit[first:] + fit[:first])):
        task.plan = Plan(endpoint)
        tables.plans.append(task.plan)
    tables.touch(row)


def _alive(tables: Tables, plan: Plan | None) -> bool:
    if plan is None:
        return False
    return tables.endpoints.get(plan.endpoint.id) is plan.endpoint


def start_planned(
    tables: Tables, row: JobRow, step: StepRow, task: Task, now: float
) -> bool:
    """Start a task on its stored pre-assignment, if that endpoint has room now."""
    plan = task.plan
    if plan is None or not plan.stored or not _alive(tables, plan):
        return False
    endpoint = plan.endpoint
    if endpoint.id in task.failed_on or not endpoint.usable(now):
        return False
    if not admits(endpoint, step):
        return False
    run = tables.begin_run(row, task, endpoint, task.attempt + 1, "recorded ahead")
    tables.planned_starts.append(run)
    return True
