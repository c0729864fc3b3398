"""Assigns waiting tasks to endpoints, job by job in the order of service."""

from collections.abc import Container
from enum import Enum
from itertools import islice

from hickoryplank.core.ids import PoolId
from hickoryplank.jobs.endpoints import Endpoint
from hickoryplank.jobs.engine_tables import EngineTables, step_key
from hickoryplank.jobs.placement import (
    PoolRoom,
    choose_endpoint,
    choose_gang,
    has_room_for,
)
from hickoryplank.jobs.preassignment import (
    MAX_PREASSIGNED_TASKS,
    preassign_tasks,
    start_preassigned,
)
from hickoryplank.jobs.quarantine import Subject, SubjectKind
from hickoryplank.jobs.service_order import check_order, pool_supply, serve_order
from hickoryplank.jobs.shortage import PoolSupply
from hickoryplank.jobs.table import JobRow, JobState, StepRow, Task

__all__ = ["AllowedStarts", "assign_tasks"]


class AllowedStarts(Enum):
    """Starts that may be decided in a tick."""

    #: Starts that are recorded with the next batch.
    AFTER_RECORD = "recorded first"
    #: Starts that are recorded with the next batch, and pre-assigned ones.
    ANY = "any"
    #: Only pre-assigned starts, as a batch is still being stored.
    PREASSIGNED = "planned"


def assign_tasks(
    tables: EngineTables, now: float, wall_ms: int, starts: AllowedStarts
) -> None:
    """Assign waiting tasks to endpoints with room, in all pools.

    :param wall_ms: time of day, in Unix milliseconds, by which timed jobs are due.
    """
    usable: dict[PoolId, list[Endpoint]] = {}
    for endpoint in tables.endpoints.values():
        if endpoint.usable(now):
            usable.setdefault(endpoint.listing.pool, []).append(endpoint)
    rows_by_pool = _rows_to_serve(tables, usable, wall_ms)
    tables.shortages.clear()
    for pool, rows in rows_by_pool.items():
        room = PoolRoom(usable[pool])
        for row in _in_order(tables, pool, rows, usable[pool], now):
            try:
                _assign_job(tables, row, room, now, wall_ms, starts)
            except Exception as exc:
                tables.set_job_aside(row.job.id, exc)
                room.refresh()


def _rows_to_serve(
    tables: EngineTables, pools: Container[PoolId], wall_ms: int
) -> dict[PoolId, list[JobRow]]:
    """Return the open jobs with waiting tasks that may start, by pool.

    Those that are set aside are left out, as are those whose state the store refuses.

    :param pools: pools that have usable endpoints.
    """
    rows: dict[PoolId, list[JobRow]] = {}
    for id, row in list(tables.open_jobs.items()):
        if tables.quarantine.has_job(id):
            continue
        try:
            row.open_due_occurrences(wall_ms)
            pool = row.job.pool
            if pool not in pools or row.refusals:
                continue
            if row.needs_preassignment or row.has_waiting:
                rows.setdefault(pool, []).append(row)
        except Exception as exc:
            tables.set_job_aside(id, exc)
    return rows


def _in_order(
    tables: EngineTables,
    pool: PoolId,
    rows: list[JobRow],
    endpoints: list[Endpoint],
    now: float,
) -> list[JobRow]:
    """Return the jobs of a pool in the order of service, but those that have none.

    If no single job is the cause, they are served in the order of acceptance.

    :param endpoints: usable endpoints of the pool.
    """
    subject = Subject(SubjectKind.POOL, pool)
    try:
        ordered = serve_order(tables, pool, rows, endpoints, now)
    except Exception as exc:
        # What was planned is not what is served now.
        tables.shortages.pop(pool, None)
        sound = _orderable(tables, pool, rows, endpoints, now)
        if len(sound) == len(rows):
            tables.quarantine.set_aside(subject, exc)
        return sorted(sound, key=lambda row: row.accepted_at)
    tables.quarantine.release(subject, now)
    return ordered


def _orderable(
    tables: EngineTables,
    pool: PoolId,
    rows: list[JobRow],
    endpoints: list[Endpoint],
    now: float,
) -> list[JobRow]:
    """Return the jobs that can be ordered alone, and set the others aside."""
    try:
        supply = pool_supply(tables, pool, endpoints)
    except Exception as exc:
        tables.quarantine.set_aside(Subject(SubjectKind.POOL, pool), exc)
        return rows
    return [row for row in rows if _can_be_ordered(tables, row, supply, now)]


def _can_be_ordered(
    tables: EngineTables, row: JobRow, supply: PoolSupply, now: float
) -> bool:
    try:
        check_order(tables, row, supply, now)
    except Exception as exc:
        tables.set_job_aside(row.job.id, exc)
        return False
    return True


def _assign_job(
    tables: EngineTables,
    row: JobRow,
    room: PoolRoom,
    now: float,
    wall_ms: int,
    starts: AllowedStarts,
) -> None:
    for occurrence in list(row.steps):
        if row.job.due_ms(occurrence) > wall_ms:
            continue
        for step in row.ready_steps(occurrence):
            allowed: list[Endpoint] = []
            if starts is not AllowedStarts.PREASSIGNED:
                allowed = _permitted(tables, row, step, room.endpoints, now)
            if not room.may_hold(step.step):
                continue
            if not step.step.gang:
                placed = _assign_step(tables, row, step, allowed, now, starts)
                if not placed:
                    room.refresh()
            else:
                # Without any ticket, advice has been requested already.
                placed = not allowed or _assign_gang(tables, row, step, allowed)
            if not placed and starts is not AllowedStarts.PREASSIGNED:
                _request_more_advice(tables, row, step, room.endpoints, now)
        if starts is not AllowedStarts.PREASSIGNED:
            preassign_tasks(tables, row, occurrence, room.endpoints, now)


def _permitted(
    tables: EngineTables,
    row: JobRow,
    step: StepRow,
    endpoints: list[Endpoint],
    now: float,
) -> list[Endpoint]:
    if not _needs_ticket(tables, row):
        return endpoints
    return tables.advice.permitted(step_key(step), endpoints, now)


def _request_more_advice(
    tables: EngineTables,
    row: JobRow,
    step: StepRow,
    endpoints: list[Endpoint],
    now: float,
) -> None:
    """Request tickets for endpoints with room, as those with a ticket have too little.

    Without this, endpoints that came later, or weren't in the first request, would not
    run the step for as long as one with a ticket is usable.
    """
    if _needs_ticket(tables, row):
        with_room = [one for one in endpoints if has_room_for(one, step)]
        tables.advice.request(step_key(step), with_room, now)


def _needs_ticket(tables: EngineTables, row: JobRow) -> bool:
    terms = row.job.terms_in(tables.configuration)
    return terms is not None and terms.advice is not None


def _assign_step(
    tables: EngineTables,
    row: JobRow,
    step: StepRow,
    endpoints: list[Endpoint],
    now: float,
    starts: AllowedStarts,
) -> bool:
    """Assign the waiting tasks of a step; return false if any lacked room."""
    only_preassigned = starts is AllowedStarts.PREASSIGNED
    limit = MAX_PREASSIGNED_TASKS if only_preassigned else None
    for task in list(islice(step.waiting.values(), limit)):
        if task.not_before > now or task.run is not None:
            continue
        if not tables.team_usage.allows(
            row.job.team, step.step.size, tables.configuration
        ):
            return True
        may_use_preassignment = starts is not AllowedStarts.AFTER_RECORD
        if may_use_preassignment and start_preassigned(tables, row, step, task, now):
            continue
        if only_preassigned:
            continue
        endpoint = choose_endpoint(endpoints, step, task.failed_on)
        if endpoint is None:
            return False
        _assign_task(tables, row, task, endpoint, task.attempt + 1)
    return True


def _assign_gang(
    tables: EngineTables, row: JobRow, step: StepRow, endpoints: list[Endpoint]
) -> bool:
    """Assign the tasks of a gang, all or none; return false if they lacked room."""
    if len(step.waiting) < step.step.count:
        return True
    if any(task.run is not None for task in step.tasks):
        return True
    total_size = step.step.size.times(step.step.count)
    if not tables.team_usage.allows(row.job.team, total_size, tables.configuration):
        return True
    chosen = choose_gang(endpoints, step)
    if chosen is None:
        return False
    attempt = max(task.attempt for task in step.tasks) + 1
    checkpoint = next((task.checkpoint for task in step.tasks if task.checkpoint), "")
    for task, endpoint in zip(step.tasks, chosen, strict=True):
        task.checkpoint = checkpoint
        _assign_task(tables, row, task, endpoint, attempt)
    return True


def _assign_task(
    tables: EngineTables, row: JobRow, task: Task, endpoint: Endpoint, attempt: int
) -> None:
    reason = JobState.RUNNING.value
    tables.starts.append(tables.begin_run(row, task, endpoint, attempt, reason))
    tables.mark_dirty(row, task)
