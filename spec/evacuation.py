"""Specification of evacuations: the system ends no more tasks than a step may miss."""

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = ["EVACUATION", "Defect", "State", "build"]

TERMS = (1, 2)
TASKS = (0, 1)
#: Endpoints whose VMs are evacuated.
ENDPOINTS = (0, 1)
#: An endpoint whose VM stays, for the tasks that are stopped on the others.
SPARE = 2


class Defect(Enum):
    """Faults injected into the broken variants."""

    NO_BUDGET = "a task is stopped whatever becomes of the others of its step"
    UNLISTED_IS_EMPTY = "a VM whose endpoint isn't listed is treated as empty"
    SILENT_IS_AVAILABLE = "a task on a silent endpoint counts as available"
    FORMER_STOPS_IGNORED = "a task that a former coordinator may have stopped counts"
    CORDON_LISTED_ONLY = "an endpoint that is listed after its VM's order gets tasks"


class Phase(Enum):
    """Phase of the operation on a VM."""

    NONE = "none"
    EVACUATING = "evacuating"
    ORDERED = "ordered"


class Task(NamedTuple):
    """A lasting task, of whose step one may be missing.

    :param endpoint: where its present run is assigned; ``None`` if it waits. The
        assignment is stored.
    :param stopped_by: term that has stopped the run; 0 if it isn't being stopped.
    :param missing: whether it counts as missing: stopped by the system, or out of
        operation for long, and not in operation again.
    :param believed: whether the coordinator's last report has it in operation.
    """

    endpoint: int | None
    stopped_by: int = 0
    missing: bool = False
    believed: bool = True


class Endpoint(NamedTuple):
    """An endpoint and its VM.

    :param listed: whether the coordinator has it in its list.
    :param crashed: whether it has crashed, and its runs have ended.
    :param silent: whether the coordinator has noticed that.
    :param settled: whether a report came after all stops of former coordinators that
        the endpoint had accepted must have ended.
    :param phase: phase of the operation on its VM.
    :param cordoned: whether it gets no new runs.
    """

    listed: bool = True
    crashed: bool = False
    silent: bool = False
    settled: bool = True
    phase: Phase = Phase.NONE
    cordoned: bool = False


class State(NamedTuple):
    """State of the model.

    :param overdrawn: whether the system ended a task in operation while another one
        was missing.
    """

    term: int = 1
    tasks: tuple[Task, Task] = (Task(0), Task(1))
    endpoints: tuple[Endpoint, Endpoint, Endpoint] = (Endpoint(),) * 3
    overdrawn: bool = False


class _Model:
    """Steps and invariants of one variant.

    Two tasks of a step run on two endpoints, whose VMs are evacuated and ordered away
    while endpoints crash and a second coordinator takes over. Its list may lack
    endpoints, on which tasks run all the same; it finds their assignments in the store.
    A stop takes some time, in which the endpoint reports its run as before. An order is
    carried out some time after it was given.

    That a crash is noticed before its tasks count as missing is assumed, as is that an
    order is carried out, or never, before the next term begins: the platform doesn't
    count what an order that was held up has ended.
    """

    def __init__(self, broken: Defect | None):
        self.broken = broken

    def with_task(self, s: State, number: int, **changes) -> State:
        tasks = list(s.tasks)
        tasks[number] = tasks[number]._replace(**changes)
        return s._replace(tasks=tuple(tasks))

    def with_endpoint(self, s: State, number: int, **changes) -> State:
        endpoints = list(s.endpoints)
        endpoints[number] = endpoints[number]._replace(**changes)
        return s._replace(endpoints=tuple(endpoints))

    def in_operation(self, s: State, task: Task) -> bool:
        return (
            task.endpoint is not None
            and not task.stopped_by
            and not s.endpoints[task.endpoint].crashed
        )

    def ended_by_system(self, s: State, ended: list[int]) -> State:
        """Return the state after the system has stopped or ordered tasks away."""
        others = [s.tasks[one].missing for one in TASKS if one not in ended]
        if len(ended) > 1 or any(others):
            s = s._replace(overdrawn=True)
        for number in ended:
            s = self.with_task(s, number, missing=True, believed=False)
        return s

    def endpoint_steps(self, s: State):
        for number in ENDPOINTS:
            own = s.endpoints[number]
            here = [one for one in TASKS if s.tasks[one].endpoint == number]
            if not own.crashed:
                yield f"{number} crashes", self.with_endpoint(s, number, crashed=True)
            elif not own.silent:
                silent = self.with_endpoint(s, number, silent=True)
                yield f"{number} is noticed to be silent", silent
            else:
                for one in here:
                    missing = self.with_task(s, one, missing=True)
                    yield f"{one} has been missing for long", missing
                    lost = self.with_task(s, one, endpoint=None, stopped_by=0)
                    yield (
                        f"{one} is given up",
                        self.with_task(lost, one, believed=False),
                    )
                if not here:
                    again = self.with_endpoint(s, number, crashed=False, silent=False)
                    yield f"{number} is back", again
        for one, task in enumerate(s.tasks):
            if task.stopped_by:
                ended = self.with_task(s, one, endpoint=None, stopped_by=0)
                yield f"run of {one} has stopped", ended

    def coordinator_steps(self, s: State):
        for number, own in enumerate(s.endpoints):
            here = [one for one in TASKS if s.tasks[one].endpoint == number]
            if not own.listed:
                cordoned = own.phase is not Phase.NONE
                if self.broken is Defect.CORDON_LISTED_ONLY:
                    cordoned = False
                listed = self.with_endpoint(s, number, listed=True, cordoned=cordoned)
                yield f"{number} is listed", listed
            elif not own.crashed:
                yield from self.report_steps(s, number, here)
            for one in TASKS:
                if s.tasks[one].endpoint is None and own.listed and not own.cordoned:
                    started = self.with_task(s, one, endpoint=number, missing=False)
                    if not own.crashed and not own.silent:
                        yield f"{one} starts on {number}", started

    def report_steps(self, s: State, number: int, here: list[int]):
        after = s
        for one in here:
            if s.tasks[one].stopped_by != s.term:
                after = self.with_task(after, one, believed=True)
        yield f"{number} reports", after
        # By then the stops of former coordinators have ended.
        if all(s.tasks[one].stopped_by in (0, s.term) for one in here):
            yield f"{number} settles", self.with_endpoint(after, number, settled=True)

    def operation_steps(self, s: State):
        for number in ENDPOINTS:
            own = s.endpoints[number]
            here = [one for one in TASKS if s.tasks[one].endpoint == number]
            match own.phase:
                case Phase.NONE:
                    begun = self.with_endpoint(s, number, phase=Phase.EVACUATING)
                    if own.listed:
                        begun = self.with_endpoint(begun, number, cordoned=True)
                    yield f"VM of {number} is to leave", begun
                case Phase.EVACUATING:
                    if own.listed:
                        yield from self.stop_steps(s, here)
                    unknown = not own.listed and self.broken is Defect.UNLISTED_IS_EMPTY
                    if not here or unknown:
                        ordered = self.with_endpoint(s, number, phase=Phase.ORDERED)
                        yield f"VM of {number} is ordered", ordered
                case Phase.ORDERED:
                    yield f"VM of {number} goes", self.carried_out(s, number, here)

    def stop_steps(self, s: State, here: list[int]):
        for one in here:
            task = s.tasks[one]
            if task.stopped_by == s.term or not task.believed:
                continue
            if (
                not self.is_available(s, 1 - one)
                and self.broken is not Defect.NO_BUDGET
            ):
                continue
            after = s
            if self.in_operation(s, task):
                after = self.ended_by_system(s, [one])
            stopped = self.with_task(after, one, stopped_by=s.term, believed=False)
            yield f"{one} is stopped", stopped

    def is_available(self, s: State, number: int) -> bool:
        """Return whether the coordinator counts a task as in operation."""
        task = s.tasks[number]
        if task.endpoint is None or not task.believed:
            return False
        endpoint = s.endpoints[task.endpoint]
        if endpoint.silent and self.broken is not Defect.SILENT_IS_AVAILABLE:
            return False
        return endpoint.settled or self.broken is Defect.FORMER_STOPS_IGNORED

    def carried_out(self, s: State, number: int, here: list[int]) -> State:
        ended = [one for one in here if self.in_operation(s, s.tasks[one])]
        after = self.ended_by_system(s, ended) if ended else s
        for one in here:
            after = self.with_task(
                after, one, endpoint=None, stopped_by=0, believed=False
            )
        endpoints = list(after.endpoints)
        endpoints[number] = Endpoint()
        return after._replace(endpoints=tuple(endpoints))

    def take_over_steps(self, s: State):
        if s.term == TERMS[-1]:
            return
        if any(one.phase is Phase.ORDERED for one in s.endpoints):
            return
        tasks = tuple(one._replace(believed=False) for one in s.tasks)
        for unlisted in ((), (0,), (1,), (0, 1)):
            endpoints = tuple(
                Endpoint(one not in unlisted, own.crashed, settled=False)
                for one, own in enumerate(s.endpoints)
            )
            after = s._replace(term=2, tasks=tasks, endpoints=endpoints)
            yield f"take-over without {unlisted} in the list", after

    def steps(self, s: State):
        yield from self.endpoint_steps(s)
        yield from self.coordinator_steps(s)
        yield from self.operation_steps(s)
        yield from self.take_over_steps(s)


def _within_budget(s: dict) -> bool:
    return not s["overdrawn"]


def build(broken: Defect | None = None) -> Protocol:
    """Return the protocol of the design, or of a broken variant."""
    model = _Model(broken)
    return Protocol(
        name="evacuation",
        candidate=broken is None,
        fields=State._fields,
        initial=State(),
        transitions=lambda state: list(model.steps(State(*state))),
        invariants={"within_budget": _within_budget},
    )


EVACUATION = Mechanism(
    name="evacuation",
    bounds="2 terms, 2 tasks of which 1 may be missing, 2 VMs that leave and a spare",
    build=build,
    broken=dict.fromkeys(Defect, "within_budget"),
)
