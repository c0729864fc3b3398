"""Evacuation of endpoints whose VMs are to leave, and of availability zones."""

from collections import Counter

import msgspec

from hickoryplank.core.ids import EndpointId, PoolId
from hickoryplank.jobs.endpoints import Endpoint, Run, RunState
from hickoryplank.jobs.engine_tables import EngineTables
from hickoryplank.jobs.placement import has_room_for
from hickoryplank.jobs.table import StepRow, Task
from hickoryplank.jobs.vms import VmOperation, VmRow

__all__ = [
    "ZoneLoad",
    "continue_evacuation",
    "evacuate",
    "evacuate_zones",
    "evacuated_load",
    "is_empty",
    "run_count",
    "uncordon",
]

#: Grace period for tasks on a VM that is being evacuated, in seconds. After it the
#: operation is ordered even if tasks still run, unless one of them is lasting.
EVACUATION_GRACE_SECONDS = 5.0


def is_empty(endpoint: Endpoint) -> bool:
    """Return whether an endpoint has no runs, including unconfirmed ones."""
    return not endpoint.runs


def run_count(tables: EngineTables, id: EndpointId | None) -> int:
    """Return the number of runs that an endpoint has, or may have.

    What is stored as assigned to an endpoint that isn't listed may run there.
    """
    endpoint = tables.endpoint_of(id)
    if endpoint is not None:
        return len(endpoint.runs)
    return len(tables.unlisted_assignments.get(id, ())) if id is not None else 0


def continue_evacuation(
    tables: EngineTables, operation: VmOperation, id: EndpointId | None, now: float
) -> bool:
    """Evacuate the endpoint of a VM; return whether the VM may be taken out of service.

    An endpoint that isn't listed can't be evacuated. The VM has to wait until it is
    listed again, or until the leases of its runs have expired.

    :param operation: the operation for which the VM is evacuated.
    :param id: the endpoint of the VM, if it has one; it has been cordoned.
    """
    endpoint = tables.endpoint_of(id)
    if endpoint is None:
        return run_count(tables, id) == 0
    evacuate(tables, endpoint, now)
    if is_empty(endpoint):
        return True
    grace_expired = now - operation.phase_since > EVACUATION_GRACE_SECONDS
    return grace_expired and not any(run.step.lasting for run in endpoint.runs.values())


def uncordon(tables: EngineTables, row: VmRow) -> None:
    """Allow new runs on the endpoint of a VM that stays in its pool."""
    endpoint = tables.endpoint_of(row.listing.endpoint)
    if endpoint is not None:
        endpoint.cordoned = False


def evacuate(tables: EngineTables, endpoint: Endpoint, now: float) -> None:
    """Stop lasting tasks on an endpoint, within the disruption budgets of their steps.

    Other tasks are left to finish, as stopping them would lose their work.
    """
    for run in list(endpoint.runs.values()):
        if run.step.lasting and run.state is RunState.STARTED:
            with tables.guard_job(run.key.job):
                _evacuate_run(tables, run, now, "its VM is to leave")


def evacuate_zones(tables: EngineTables, now: float) -> None:
    """Stop lasting tasks in evacuated zones, within the budgets of their steps.

    Tasks of several steps leave at the same time, so that each needs an endpoint with
    room beside those that the others may take. Tasks that wait were assigned before
    this, if there was room for them. Nothing is stopped on an endpoint that does not
    answer, as what it runs is not known.
    """
    if not tables.evacuated_zones.zones:
        return
    stopping = _count_stopping(tables)
    for endpoint in tables.endpoints.values():
        if not endpoint.in_evacuated_zone or endpoint.silent_since is not None:
            continue
        pool = endpoint.listing.pool
        for run in list(endpoint.runs.values()):
            if not run.step.lasting or run.state is not RunState.STARTED:
                continue
            reason = "its zone is evacuated"
            with tables.guard_job(run.key.job):
                if _evacuate_run(tables, run, now, reason, stopping[pool]):
                    stopping[pool] += 1


def _count_stopping(tables: EngineTables) -> Counter[PoolId]:
    """Return the number of lasting runs that are being stopped, by pool."""
    counts: Counter[PoolId] = Counter()
    for endpoint in tables.endpoints.values():
        if endpoint.lasting_count:
            counts[endpoint.listing.pool] += sum(
                1
                for run in endpoint.runs.values()
                if run.step.lasting and run.state is RunState.STOPPING
            )
    return counts


class ZoneLoad(msgspec.Struct, frozen=True):
    """What is left in evacuated zones.

    :param endpoints: number of endpoints.
    :param runs: number of runs, including unconfirmed ones.
    :param lasting_runs: number of runs of lasting tasks among them.
    """

    endpoints: int
    runs: int
    lasting_runs: int


def evacuated_load(tables: EngineTables) -> ZoneLoad:
    """Return what is left in all evacuated zones."""
    if not tables.evacuated_zones.zones:
        return ZoneLoad(0, 0, 0)
    there = [one for one in tables.endpoints.values() if one.in_evacuated_zone]
    return ZoneLoad(
        len(there),
        sum(len(one.runs) for one in there),
        sum(one.lasting_count for one in there),
    )


def _evacuate_run(
    tables: EngineTables, run: Run, now: float, reason: str, reserved: int = 0
) -> bool:
    """Stop a run if budget and room allow; return whether it is stopped.

    :param reserved: endpoints whose room other tasks may take.
    """
    row = tables.jobs.get(run.key.job)
    if row is None or row.state.final:
        return False
    step = row.step_of(run.key)
    if not _budget_allows(tables, step, run):
        return False
    pool = run.endpoint.listing.pool
    with_room = sum(
        1
        for one in tables.endpoints.values()
        if one.listing.pool == pool and one.usable(now) and has_room_for(one, step)
    )
    if with_room <= reserved:
        tables.pools_lacking_room.add(pool)
        return False
    tables.stop(run, now, reason)
    return True


def _budget_allows(tables: EngineTables, step: StepRow, run: Run) -> bool:
    """Return whether the disruption budget of the step allows stopping the run."""
    others_unavailable = sum(
        1
        for task in step.tasks
        if task.run is not run and not _is_available(tables, task)
    )
    return others_unavailable < max(1, step.step.may_miss)


def _is_available(tables: EngineTables, task: Task) -> bool:
    """Return whether a lasting task is known to be in full operation.

    Nothing is known of a task on a silent endpoint. Once an endpoint has accepted the
    token of this coordinator, it refuses stops of former ones; those that it accepted
    before may end a task that it still reports.
    """
    if task.run is None or not task.working:
        return False
    endpoint = task.run.endpoint
    stop_grace_s = tables.timing.stop_grace_ms / 1000
    return endpoint.silent_since is None and endpoint.reported_since_confirmation(
        stop_grace_s
    )
