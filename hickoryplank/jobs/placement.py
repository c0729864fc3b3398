"""Placement: selects the endpoint for a task or for the tasks of a gang."""

from hickoryplank.core.ids import EndpointId
from hickoryplank.jobs.endpoints import Endpoint
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.table import StepRow

__all__ = ["admits", "choose", "choose_gang", "runs_of_step", "suits"]


def runs_of_step(endpoint: Endpoint, row: StepRow) -> int:
    """Return the number of runs of a step that an endpoint has."""
    first = row.tasks[0].key
    return sum(
        1
        for run in endpoint.runs.values()
        if run.key.job == first.job
        and run.key.step == first.step
        and run.key.occurrence == first.occurrence
    )


def suits(endpoint: Endpoint, step: Step) -> bool:
    """Return whether an endpoint has the required label and the affinity of a step."""
    labels = endpoint.listing.labels
    return all(not one or one in labels for one in (step.required_label, step.affinity))


def admits(endpoint: Endpoint, row: StepRow, taken: int = 0) -> bool:
    """Return whether an endpoint has room for one more task of a step.

    :param taken: number of tasks of the step that have been placed there already,
        but have no run yet.
    """
    step = row.step
    if step.required_label and step.required_label not in endpoint.listing.labels:
        return False
    if not step.counted_size.times(taken + 1).fits(endpoint.room):
        return False
    if not step.max_per_endpoint:
        return True
    return runs_of_step(endpoint, row) + taken < step.max_per_endpoint


def choose(
    endpoints: list[Endpoint], row: StepRow, avoid: frozenset[EndpointId]
) -> Endpoint | None:
    """Return the best endpoint for one more task of a step, if any has room.

    :param endpoints: usable endpoints of the pool.
    :param avoid: endpoints on which the task has failed; chosen only if no other
        endpoint has room.
    """
    fit = [one for one in endpoints if admits(one, row)]
    others = [one for one in fit if one.id not in avoid]
    return min(others or fit, key=lambda one: _cost(one, row.step), default=None)


def _cost(endpoint: Endpoint, step: Step) -> tuple[float, ...]:
    far = bool(step.affinity) and step.affinity not in endpoint.listing.labels
    free = endpoint.room.cpu
    if step.fills:
        return (far, _serving(endpoint), -free)
    if step.lasting:
        return (endpoint.maintenance_due, far, _filling(endpoint), free)
    return (far, free)


def _serving(endpoint: Endpoint) -> int:
    return sum(1 for run in endpoint.runs.values() if run.step.target_ms)


def _filling(endpoint: Endpoint) -> int:
    return sum(1 for run in endpoint.runs.values() if run.step.fills)


def choose_gang(endpoints: list[Endpoint], row: StepRow) -> list[Endpoint] | None:
    """Return an endpoint for each task of a gang, or none if not all of them fit."""
    racks: list[list[Endpoint]] = [endpoints]
    if row.step.same_rack:
        by_rack: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            by_rack.setdefault(endpoint.rack, []).append(endpoint)
        racks = [*by_rack.values(), endpoints]
    for some in racks:
        chosen = _pack(some, row)
        if chosen is not None:
            return chosen
    return None


def _pack(endpoints: list[Endpoint], row: StepRow) -> list[Endpoint] | None:
    chosen: list[Endpoint] = []
    for endpoint in sorted(endpoints, key=lambda one: _cost(one, row.step)):
        taken = 0
        while len(chosen) < row.step.count and admits(endpoint, row, taken):
            chosen.append(endpoint)
            taken += 1
    return chosen if len(chosen) == row.step.count else None
