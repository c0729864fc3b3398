"""Incarnations of endpoints: listings, ends, and assignments after a takeover."""

from hickoryplank.core.ids import EndpointId
from hickoryplank.jobs.endpoints import (
    LATE_CALL_SECONDS,
    Endpoint,
    Listing,
    Run,
    RunState,
)
from hickoryplank.jobs.engine_tables import EngineTables
from hickoryplank.jobs.table import JobRow, StoredAssignment, Task

__all__ = [
    "end_down_incarnations",
    "release_unlisted_assignments",
    "update_listing",
    "end_incarnation",
]

#: Pace that a run is taken to have whose pace isn't known, in percent: below full
#: speed, so that it is sped up.
ADOPTED_PACE_PERCENT = 75


def update_listing(tables: EngineTables, listing: Listing, now: float) -> Endpoint:
    """Apply a listing.

    A new incarnation starts without runs, except for starts that were sent to the
    previous one and may have reached the new one. A listing of an older incarnation
    changes nothing, as the list may lag behind the polls.
    """
    known = tables.endpoints.get(listing.id)
    if known is not None and listing.born_ms <= known.listing.born_ms:
        if listing.born_ms == known.listing.born_ms:
            known.relist(listing)
        return known
    token_number = tables.take_token_number()
    fresh = Endpoint(listing, now, tables.evacuated_zones, token_number)
    # Of the calls that a former coordinator sent to the previous incarnation, only the
    # age of this one tells that they are over.
    age_s = tables.age_s(listing, now) if known is None else 0.0
    fresh.stale_leases_until = (
        now - age_s + LATE_CALL_SECONDS + tables.timing.max_lease_seconds
    )
    # A former coordinator may have sent calls until this one's term began.
    fresh.lease_call_at = (
        tables.term_started_at if known is None else known.lease_call_at
    )
    fresh.former_leases_until = max(
        tables.term_started_at + tables.timing.former_lease_seconds,
        fresh.stale_leases_until,
    )
    fresh.cordoned = listing.id in tables.leaving
    former_born_ms = tables.dropped_born_ms.get(listing.id, listing.born_ms)
    fresh.begun_in_term = known is not None or former_born_ms < listing.born_ms
    if known is not None:
        _carry_over_runs(tables, known, fresh, now)
        end_incarnation(tables, known, now)
    tables.endpoints[listing.id] = fresh
    _adopt_assignments(tables, fresh)
    return fresh


def _carry_over_runs(
    tables: EngineTables, before: Endpoint, fresh: Endpoint, now: float
) -> None:
    """Keep the runs that a new incarnation may have, until its reports settle them."""
    for run in list(before.runs.values()):
        if not run.may_be_in_next_incarnation and not run.start_may_arrive(now):
            continue
        before.remove(run)
        run.endpoint = fresh
        run.reported = False
        run.progressed_at_ms = 0
        run.fenced_at = None
        # Nobody repeats the start of a run that was taken over from a former
        # coordinator: the first report of this incarnation settles it.
        if run.state is not RunState.SENT or run.confirmed_at is not None:
            run.confirmed_at = now
        fresh.add(run)


def _adopt_assignments(tables: EngineTables, endpoint: Endpoint) -> None:
    """Turn stored assignments to this endpoint into runs whose start is unconfirmed.

    This includes assignments to an earlier incarnation, as their starts may have
    reached this one.
    """
    for row, task in tables.pop_unlisted_assignments(endpoint.id):
        assignment = task.stored_assignment
        task.stored_assignment = None
        try:
            _adopt_assignment(tables, row, task, assignment, endpoint)
        except Exception as exc:
            tables.set_job_aside(row.job.id, exc)
            if assignment is not None:
                _adopt_plainly(tables, row, task, assignment, endpoint)


def _adopt_assignment(
    tables: EngineTables,
    row: JobRow,
    task: Task,
    assignment: StoredAssignment | None,
    endpoint: Endpoint,
) -> None:
    if assignment is None:
        tables.requeue(row, task)
        return
    run = tables.create_run(row, task, endpoint)
    _mark_adopted(tables, run, assignment)
    if row.state.final:
        tables.stop(run, endpoint.listed_at, row.state.value)


def _adopt_plainly(
    tables: EngineTables,
    row: JobRow,
    task: Task,
    assignment: StoredAssignment,
    endpoint: Endpoint,
) -> None:
    """Count a run that a former coordinator may have started, and do nothing else."""
    run = endpoint.runs.get((task.key, task.attempt))
    if run is None:
        step = row.job.steps[task.key.step]
        run = Run(task.key, task.attempt, step, row.job.team, endpoint)
        endpoint.add(run)
        tables.team_usage.add(run.team, run.size)
    task.run = run
    _mark_adopted(tables, run, assignment)


def _mark_adopted(tables: EngineTables, run: Run, assignment: StoredAssignment) -> None:
    run.state = RunState.SENT
    run.preassigned = assignment.preassigned
    run.adopted = True
    run.confirmed_at = run.endpoint.listed_at
    run.unanswered_at = tables.term_started_at
    # The pace that a former coordinator set isn't known: it is set anew.
    run.pace_percent = ADOPTED_PACE_PERCENT


def end_incarnation(tables: EngineTables, endpoint: Endpoint, now: float) -> None:
    """End an incarnation of an endpoint, and all runs on it."""
    for run in list(endpoint.runs.values()):
        tables.give_up_run(run, "the endpoint's life ended")
    tables.drop_endpoint(endpoint)


def end_down_incarnations(
    tables: EngineTables, alive: frozenset[EndpointId], asked_at: float, now: float
) -> None:
    """End silent endpoints whose VM is down, without waiting for their leases.

    Only endpoints that were silent before the VM list was requested are ended.
    Stored assignments to unlisted endpoints whose VM is down are released once no start
    of a former coordinator can arrive any more.

    :param alive: endpoints of all VMs that are up according to the VM list.
    :param asked_at: time at which the VM list was requested.
    """
    for endpoint in list(tables.endpoints.values()):
        silent_since = endpoint.silent_since
        if endpoint.id in alive or silent_since is None:
            continue
        if silent_since < asked_at:
            _end_down_incarnation(tables, endpoint, asked_at, now)
    if asked_at < tables.term_started_at + LATE_CALL_SECONDS:
        return
    for id in [one for one in tables.unlisted_assignments if one not in alive]:
        _release_assignments(tables, id)


def _end_down_incarnation(
    tables: EngineTables, endpoint: Endpoint, asked_at: float, now: float
) -> None:
    """End what ran on a VM that is down, but for starts that may arrive later.

    The VM may be back at any time with an endpoint of the same id, which then carries
    out the starts that were sent while it was down.

    :param asked_at: time at which the VM list was requested that shows it as down.
    """
    endpoint.vm_down = True
    for run in list(endpoint.runs.values()):
        if not run.start_may_arrive(asked_at):
            tables.give_up_run(run, "its VM is down")
        elif run.start_withdrawn_at is None:
            run.start_withdrawn_at = now
    if not endpoint.runs:
        tables.drop_endpoint(endpoint)


def _release_assignments(tables: EngineTables, id: EndpointId) -> None:
    for row, task in tables.pop_unlisted_assignments(id):
        task.stored_assignment = None
        with tables.guard_job(row.job.id):
            tables.requeue(row, task)
            row.discard_occurrence_if_ended(task.key.occurrence)


def release_unlisted_assignments(tables: EngineTables, now: float) -> None:
    """Release the tasks whose stored assignment is to an unlisted endpoint.

    Does nothing until the leases of former coordinators have expired.
    """
    if now < tables.term_started_at + tables.timing.former_lease_seconds:
        return
    for id in list(tables.unlisted_assignments):
        _release_assignments(tables, id)
