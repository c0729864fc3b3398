"""The order of service of a pool's jobs, by which tasks are placed and jobs admitted.

Lasting jobs come first, then the jobs of callers within the share of their team, then
what teams hand in beyond their share, and last jobs for which no caller is likely to
wait any more. ``ShortageOrder`` decides among the second while the pool has too little
room. Of these, the jobs of callers that were refused and came back when told to are
served before the others, also if they are late: a caller is put off only once.
"""

from collections.abc import Iterable

from hickoryplank.core.ids import JobId, PoolId
from hickoryplank.jobs.endpoints import Endpoint, Run
from hickoryplank.jobs.engine_tables import EngineTables
from hickoryplank.jobs.ordering import (
    objective_s,
    remaining_path_s,
    sort_jobs,
    task_ms,
    worth_serving,
)
from hickoryplank.jobs.shortage import (
    PoolShortage,
    PoolSupply,
    ServicePlan,
    ShortageOrder,
    WaitingJob,
    plan_service,
)
from hickoryplank.jobs.sizes import ZERO, Size
from hickoryplank.jobs.table import JobRow

__all__ = [
    "JOIN_SECONDS",
    "check_order",
    "is_planned",
    "pool_plan",
    "pool_supply",
    "remaining_work",
    "serve_order",
    "waiting_job",
    "waiting_priorities",
    "waiting_work",
]

#: Time until a VM that is on its way into a pool takes work, in seconds: about the
#: duration of a move.
JOIN_SECONDS = 1.7


def serve_order(
    tables: EngineTables,
    pool: PoolId,
    rows: list[JobRow],
    endpoints: list[Endpoint],
    now: float,
) -> list[JobRow]:
    """Return the jobs of a pool in the order in which they are served.

    :param rows: jobs with waiting tasks.
    :param endpoints: usable endpoints of the pool.
    """
    if tables.shortage_order is not ShortageOrder.LEAST_COST:
        return sort_jobs(rows, tables.configuration, now)
    rows = _least_cost_order(tables, pool, rows, endpoints, now)
    returned = [row for row in rows if row.returned and is_planned(tables, row, now)]
    if not returned:
        return rows
    lasting = [row for row in rows if row.lasting]
    first = {row.job.id for row in lasting + returned}
    return lasting + returned + [row for row in rows if row.job.id not in first]


def _least_cost_order(
    tables: EngineTables,
    pool: PoolId,
    rows: list[JobRow],
    endpoints: list[Endpoint],
    now: float,
) -> list[JobRow]:
    """Return the order by the plan if that puts a job back, else by the objectives."""
    planned = [row for row in rows if is_planned(tables, row, now)]
    if not _lacks_room(planned, endpoints):
        return sort_jobs(rows, tables.configuration, now)
    supply = pool_supply(tables, pool, endpoints)
    plan = pool_plan(tables, planned, endpoints, supply, now)
    if not plan.put_back:
        return sort_jobs(rows, tables.configuration, now)
    delayed = len(planned) - plan.in_time
    tables.shortages[pool] = PoolShortage(
        len(planned), delayed, max(plan.end_s.values())
    )
    by_id = {row.job.id: row for row in planned}
    others = [row for row in rows if row.job.id not in by_id]
    others = sort_jobs(others, tables.configuration, now)
    first = [row for row in others if row.lasting]
    last = [row for row in others if not row.lasting]
    return first + [by_id[id] for id in plan.order] + last


def check_order(
    tables: EngineTables, row: JobRow, supply: PoolSupply, now: float
) -> None:
    """Raise what one job alone raises in the order of service.

    The plan is made only if jobs lack room together, so that it doesn't show in the
    order of a single one.
    """
    sort_jobs([row], tables.configuration, now)
    if tables.shortage_order is ShortageOrder.LEAST_COST:
        _lacks_room([row], [])
        if is_planned(tables, row, now):
            waiting_job(tables, row, supply, now)


def pool_supply(
    tables: EngineTables, pool: PoolId, endpoints: list[Endpoint]
) -> PoolSupply:
    """Return the room of a pool for jobs that end by themselves."""
    present = ZERO
    for endpoint in endpoints:
        present = present.plus(endpoint.listing.capacity.minus(endpoint.lasting_used))
    joining = tables.vm_supply.joining_to(pool) if tables.vm_supply else ZERO
    return PoolSupply(present, joining, JOIN_SECONDS)


def pool_plan(
    tables: EngineTables,
    rows: Iterable[JobRow],
    endpoints: list[Endpoint],
    supply: PoolSupply,
    now: float,
    others: Iterable[WaitingJob[JobId]] = (),
) -> ServicePlan[JobId]:
    """Return the plan for the jobs of a pool that end by themselves.

    :param others: jobs that aren't accepted, or not yet.
    """
    busy = ZERO
    for endpoint in endpoints:
        for run in endpoint.runs.values():
            busy = busy.plus(remaining_work(run))
    jobs = [waiting_job(tables, row, supply, now) for row in rows]
    return plan_service([*jobs, *others], supply, supply.pool_seconds(busy))


def waiting_priorities(tables: EngineTables, now: float) -> dict[PoolId, int]:
    """Return the most urgent priority of the jobs that wait in each pool."""
    priorities: dict[PoolId, int] = {}
    for row in tables.open_jobs.values():
        terms = row.job.terms_in(tables.configuration)
        if terms is None or not row.has_waiting:
            continue
        if not row.lasting and not is_planned(tables, row, now):
            continue
        pool = row.job.pool
        priorities[pool] = min(terms.priority, priorities.get(pool, terms.priority))
    return priorities


def waiting_work(row: JobRow) -> Size:
    """Return the resources of the waiting tasks, times their run times in ms."""
    cpu = mem_mb = gpu = 0
    for steps in row.steps.values():
        for step in steps:
            if step.waiting:
                run_ms = len(step.waiting) * task_ms(step.step)
                size = step.step.counted_size
                cpu += size.cpu * run_ms
                mem_mb += size.mem_mb * run_ms
                gpu += size.gpu * run_ms
    return Size(cpu, mem_mb, gpu)


def is_planned(tables: EngineTables, row: JobRow, now: float) -> bool:
    """Return whether a job is served by the plan, and not before or after it."""
    terms = row.job.terms_in(tables.configuration)
    if row.lasting or row.over_share or terms is None:
        return False
    return worth_serving(row, terms, now)


def _lacks_room(rows: list[JobRow], endpoints: list[Endpoint]) -> bool:
    """Return whether the tasks that could run now exceed the free room."""
    free = ZERO
    for endpoint in endpoints:
        free = free.plus(endpoint.free)
    wanted = ZERO
    for row in rows:
        for occurrence in row.steps:
            for step in row.ready_steps(occurrence):
                size = step.step.counted_size.times(len(step.waiting))
                wanted = wanted.plus(size)
        if not wanted.fits(free):
            return True
    return False


def remaining_work(run: Run) -> Size:
    """Return the resources of a run, times the time that it needs yet in ms.

    A lasting run has none.
    """
    if run.step.lasting:
        return ZERO
    remaining_ms = task_ms(run.step) * (100 - min(100, run.percent)) // 100
    return run.counted_size.times(remaining_ms)


def waiting_job(
    tables: EngineTables, row: JobRow, supply: PoolSupply, now: float
) -> WaitingJob[JobId]:
    """Return what the plan has to know of a job."""
    terms = row.job.terms_in(tables.configuration)
    assert terms is not None
    asked_at = _asked_at(tables, row)
    objective = objective_s(row, terms)
    return WaitingJob(
        key=row.job.id,
        priority=terms.priority,
        latest_end_s=asked_at + objective - now,
        path_s=remaining_path_s(row),
        pool_seconds=supply.pool_seconds(waiting_work(row)),
        waited_s=now - asked_at,
        objective_s=objective,
        returned=row.returned,
    )


def _asked_at(tables: EngineTables, row: JobRow) -> float:
    """Return the time from which the caller waits, by the local clock, in seconds.

    For a timed job it is when the first open occurrence was due.
    """
    if not row.job.repeats or not row.steps:
        return row.accepted_at
    due_s = (row.job.due_ms(min(row.steps)) - tables.term_started_ms) / 1000
    return max(row.accepted_at, tables.term_started_at + due_s)
