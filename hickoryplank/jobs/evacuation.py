"""Evacuation of endpoints whose VMs are to be moved or maintained."""

from hickoryplank.core.ids import EndpointId
from hickoryplank.jobs.endpoints import Endpoint, Run, RunState
from hickoryplank.jobs.engine import Engine
from hickoryplank.jobs.placement import choose_endpoint
from hickoryplank.jobs.table import StepRow, Task
from hickoryplank.jobs.vms import VmOperation, VmRow

__all__ = ["continue_evacuation", "evacuate", "is_empty", "run_count", "uncordon"]

#: Grace period for tasks on a VM that is being evacuated, in seconds. After it the
#: operation is ordered even if tasks still run, unless one of them is lasting.
EVACUATION_GRACE_SECONDS = 5.0


def is_empty(endpoint: Endpoint) -> bool:
    """Return whether an endpoint has no runs, including unconfirmed ones."""
    return not endpoint.runs


def run_count(engine: Engine, id: EndpointId | None) -> int:
    """Return the number of runs that an endpoint has, or may have.

    What is stored as assigned to an endpoint that isn't listed may run there.
    """
    endpoint = engine.endpoint_of(id)
    if endpoint is not None:
        return len(endpoint.runs)
    return len(engine.unlisted_assignments.get(id, ())) if id is not None else 0


def continue_evacuation(
    engine: Engine, operation: VmOperation, id: EndpointId | None, now: float
) -> bool:
    """Evacuate the endpoint of a VM; return whether the VM may be taken out of service.

    An endpoint that isn't listed can't be evacuated. The VM has to wait until it is
    listed again, or until the leases of its runs have expired.

    :param operation: the operation for which the VM is evacuated.
    :param id: the endpoint of the VM, if it has one; it has been cordoned.
    """
    endpoint = engine.endpoint_of(id)
    if endpoint is None:
        return run_count(engine, id) == 0
    evacuate(engine, endpoint, now)
    if is_empty(endpoint):
        return True
    grace_expired = now - operation.phase_since > EVACUATION_GRACE_SECONDS
    return grace_expired and not any(run.step.lasting for run in endpoint.runs.values())


def uncordon(engine: Engine, row: VmRow) -> None:
    """Allow new runs on the endpoint of a VM that stays in its pool."""
    endpoint = engine.endpoint_of(row.listing.endpoint)
    if endpoint is not None:
        endpoint.cordoned = False


def evacuate(engine: Engine, endpoint: Endpoint, now: float) -> None:
    """Stop lasting tasks on an endpoint, within the disruption budgets of their steps.

    Other tasks are left to finish, as stopping them would lose their work.
    """
    for run in list(endpoint.runs.values()):
        if run.step.lasting and run.state is RunState.STARTED:
            with engine.guard_job(run.key.job):
                _evacuate_run(engine, run, now)


def _evacuate_run(engine: Engine, run: Run, now: float) -> None:
    row = engine.jobs.get(run.key.job)
    if row is None or row.state.final:
        return
    step = row.step_of(run.key)
    if not _budget_allows(engine, step, run):
        return
    others = [
        one
        for one in engine.endpoints.values()
        if one.listing.pool == run.endpoint.listing.pool and one.usable(now)
    ]
    if choose_endpoint(others, step, frozenset()) is None:
        engine.pools_lacking_room.add(run.endpoint.listing.pool)
        return
    engine.stop(run, now, "its VM is to leave")


def _budget_allows(engine: Engine, step: StepRow, run: Run) -> bool:
    """Return whether the disruption budget of the step allows stopping the run."""
    others_unavailable = sum(
        1
        for task in step.tasks
        if task.run is not run and not _is_available(engine, task)
    )
    return others_unavailable < max(1, step.step.may_miss)


def _is_available(engine: Engine, task: Task) -> bool:
    """Return whether a lasting task is known to be in full operation.

    Nothing is known of a task on a silent endpoint. Once an endpoint has accepted the
    token of this coordinator, it refuses stops of former ones; those that it accepted
    before may end a task that it still reports.
    """
    if task.run is None or not task.working:
        return False
    endpoint = task.run.endpoint
    stop_grace_s = engine.timing.stop_grace_ms / 1000
    return endpoint.silent_since is None and endpoint.reported_since_confirmation(
        stop_grace_s
    )
