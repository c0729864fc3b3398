"""Placement: selects the endpoint for a task or for the tasks of a gang."""

from hickoryplank.core.ids import EndpointId
from hickoryplank.jobs.endpoints import Endpoint
from hickoryplank.jobs.model import Step
from hickoryplank.jobs.sizes import ZERO, Size
from hickoryplank.jobs.table import StepRow

__all__ = [
    "PoolRoom",
    "has_room_for",
    "choose_endpoint",
    "choose_gang",
    "count_runs_of_step",
    "has_labels",
]


class PoolRoom:
    """The usable endpoints of a pool, and an upper bound of the room on each.

    Most waiting tasks of a pool that is full don't fit on any endpoint, which the
    bound shows without a look at each of them.

    :param endpoints: usable endpoints of the pool.
    """

    def __init__(self, endpoints: list[Endpoint]):
        self.endpoints = endpoints
        self._largest_free = ZERO
        self.refresh()

    def refresh(self) -> None:
        """Compute the bound anew, after runs have been placed."""
        cpu = mem_mb = gpu = 0
        for endpoint in self.endpoints:
            free = endpoint.free
            cpu = max(cpu, free.cpu)
            mem_mb = max(mem_mb, free.mem_mb)
            gpu = max(gpu, free.gpu)
        self._largest_free = Size(cpu, mem_mb, gpu)

    def may_hold(self, step: Step) -> bool:
        """Return whether a task of a step may fit on one of the endpoints."""
        return step.counted_size.fits(self._largest_free)


def count_runs_of_step(endpoint: Endpoint, row: StepRow) -> int:
    """Return the number of runs of a step that an endpoint has."""
    first = row.tasks[0].key
    return sum(
        1
        for run in endpoint.runs.values()
        if run.key.job == first.job
        and run.key.step == first.step
        and run.key.occurrence == first.occurrence
    )


def has_labels(endpoint: Endpoint, step: Step) -> bool:
    """Return whether an endpoint has the required label and the affinity of a step."""
    labels = endpoint.listing.labels
    return all(not one or one in labels for one in (step.required_label, step.affinity))


def has_room_for(endpoint: Endpoint, row: StepRow, placed_count: int = 0) -> bool:
    """Return whether an endpoint has room for one more task of a step.

    :param placed_count: number of tasks of the step that have been placed there
        already, but have no run yet.
    """
    size = row.step.counted_size.times(placed_count + 1)
    return size.fits(endpoint.free) and _permits(endpoint, row, placed_count)


def _permits(endpoint: Endpoint, row: StepRow, placed_count: int = 0) -> bool:
    """Return whether one more task of a step is permitted on an endpoint."""
    step = row.step
    if step.required_label and step.required_label not in endpoint.listing.labels:
        return False
    if not endpoint.admits_run(placed_count):
        return False
    if not step.max_per_endpoint:
        return True
    return count_runs_of_step(endpoint, row) + placed_count < step.max_per_endpoint


def choose_endpoint(
    endpoints: list[Endpoint], row: StepRow, avoid: frozenset[EndpointId]
) -> Endpoint | None:
    """Return the best endpoint for one more task of a step, if any has room.

    :param endpoints: usable endpoints of the pool.
    :param avoid: endpoints on which the task has failed; chosen only if no other
        endpoint has room.
    """
    size = row.step.counted_size
    candidates = [
        one for one in endpoints if size.fits(one.free) and _permits(one, row)
    ]
    others = [one for one in candidates if one.id not in avoid]
    return min(others or candidates, key=lambda one: _cost(one, row.step), default=None)


def _cost(endpoint: Endpoint, step: Step) -> tuple[float, ...]:
    """Return the sort key by which endpoints are chosen, lowest first.

    Filling tasks prefer endpoints with few serving tasks and much free CPU; other
    tasks prefer endpoints with little free CPU.
    """
    far_from_data = bool(step.affinity) and step.affinity not in endpoint.listing.labels
    free = endpoint.free.cpu
    if step.fills:
        return (far_from_data, endpoint.serving_count, -free)
    if step.lasting:
        return (endpoint.maintenance_due, far_from_data, endpoint.filling_count, free)
    return (far_from_data, free)


def choose_gang(endpoints: list[Endpoint], row: StepRow) -> list[Endpoint] | None:
    """Return an endpoint for each task of a gang, or none if not all of them fit."""
    groups: list[list[Endpoint]] = [endpoints]
    if row.step.same_rack:
        by_rack: dict[str, list[Endpoint]] = {}
        for endpoint in endpoints:
            by_rack.setdefault(endpoint.rack, []).append(endpoint)
        groups = [*by_rack.values(), endpoints]
    for group in groups:
        chosen = _pack(group, row)
        if chosen is not None:
            return chosen
    return None


def _pack(endpoints: list[Endpoint], row: StepRow) -> list[Endpoint] | None:
    chosen: list[Endpoint] = []
    for endpoint in sorted(endpoints, key=lambda one: _cost(one, row.step)):
        placed_count = 0
        while len(chosen) < row.step.count and has_room_for(
            endpoint, row, placed_count
        ):
            chosen.append(endpoint)
            placed_count += 1
    return chosen if len(chosen) == row.step.count else None
