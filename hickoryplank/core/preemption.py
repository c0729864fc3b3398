"""Preemption of running work for work that has waited too long."""

from collections.abc import Iterable, Mapping
from enum import IntEnum

import msgspec

from hickoryplank.core.ids import TaskId, TeamId, VmId
from hickoryplank.core.objects import WorkClass

__all__ = [
    "Checkpoint",
    "Decision",
    "WaitingWork",
    "PreemptionPlanner",
    "RunningTask",
    "Stop",
    "Throttle",
]

#: Time that work waits for runs to end by themselves before it preempts others.
PREEMPTION_DELAY_SECONDS = 0.3
#: Time that a checkpoint may take before the task is stopped instead.
CHECKPOINT_TIMEOUT_SECONDS = 0.6
#: A run that is expected to end within this time is not preempted.
ENDS_SOON_SECONDS = 0.6
#: Distance of a team from its entitlement in a pool that is tolerated.
TOLERANCE_UNITS = 0.5
#: Number of runs of a team in a pool from which on its own urgent work does not
#: preempt its last batch run.
BATCH_GUARANTEE_MIN_RUNS = 8


class RunningTask(msgspec.Struct, frozen=True, kw_only=True):
    """A run that may be preempted.

    :param started: when the run started, in seconds.
    :param expected_end: when the run is expected to have ended, in seconds.
    :param units: size of the run, in units of the scarcest resource.
    :param can_checkpoint: whether the run can resume from a checkpoint.
    """

    task: TaskId
    team: TeamId
    vm: VmId
    work_class: WorkClass
    started: float
    expected_end: float = float("inf")
    units: float = 1.0
    can_checkpoint: bool = False
    idempotent: bool = True


class WaitingWork(msgspec.Struct, frozen=True, kw_only=True):
    """Work of one team and class that waits in a pool and is allowed to start.

    :param units: total size of the work, in units.
    :param oldest: when the oldest item of the work arrived, in seconds.
    :param fleet_fraction: the team's work that waits in this pool, as a fraction of its
        work that waits across the fleet.
    :param vm: the VM reserved for the next run, if that run needs a VM of its own.
    """

    team: TeamId
    work_class: WorkClass
    units: float
    oldest: float
    fleet_fraction: float = 1.0
    vm: VmId | None = None


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Checkpoint a task and free its slot; the task resumes later."""

    task: TaskId
    vm: VmId


class Stop(msgspec.Struct, frozen=True, tag="stop"):
    """Stop an idempotent task; it is requeued and starts over."""

    task: TaskId
    vm: VmId


class Throttle(msgspec.Struct, frozen=True, tag="throttle"):
    """Throttle a task that can be neither checkpointed nor stopped.

    This frees processor time for other runs on the VM, but not the slot.
    """

    task: TaskId
    vm: VmId


Decision = Checkpoint | Stop | Throttle


class _Cost(IntEnum):
    """Cost of preempting a task, cheapest first."""

    CHECKPOINT = 0
    STOP_BATCH = 1
    STOP_URGENT = 2
    THROTTLE = 3


class _PendingPreemption(msgspec.Struct):
    decision: Decision
    run: RunningTask
    at: float


class _ShareBalance:
    """This pool's part of each team's distance from its entitlement, in units.

    Owners see each other's counts late. Each owner therefore corrects only its
    own part of the distance; otherwise all owners would correct the whole.
    """

    def __init__(
        self,
        tasks: Iterable[RunningTask],
        running: Mapping[TeamId, float],
        entitled_units: Mapping[TeamId, float],
    ) -> None:
        units_here: dict[TeamId, float] = {}
        self._runs: dict[TeamId, int] = {}
        self._batch: dict[TeamId, int] = {}
        for run in tasks:
            units_here[run.team] = units_here.get(run.team, 0.0) + run.units
            self._runs[run.team] = self._runs.get(run.team, 0) + 1
            if run.work_class is WorkClass.BATCH:
                self._batch[run.team] = self._batch.get(run.team, 0) + 1
        self._distance = {t: u - entitled_units.get(t, 0.0) for t, u in running.items()}
        self._entitled_units = entitled_units
        self._borrowed = {
            team: max(self._distance.get(team, 0.0), 0.0) * units / running[team]
            for team, units in units_here.items()
            if running.get(team, 0.0) > 0
        }
        self._shortfall: dict[TeamId, float] = {}

    def borrowed(self, team: TeamId) -> float:
        """Return the units in this pool that ``team`` runs above its entitlement."""
        return self._borrowed.get(team, 0.0)

    def shortfall(self, demand: WaitingWork) -> float:
        """Return the units in this pool that the team still lacks."""
        if demand.team not in self._shortfall:
            distance = self._distance.get(
                demand.team, -self._entitled_units.get(demand.team, 0.0)
            )
            self._shortfall[demand.team] = max(-distance, 0.0) * demand.fleet_fraction
        return self._shortfall[demand.team]

    def may_preempt_own_batch(self, team: TeamId) -> bool:
        """Return whether a batch run of ``team`` may give way to its urgent work."""
        return (
            self._batch.get(team, 0) > 1
            or self._runs.get(team, 0) < BATCH_GUARANTEE_MIN_RUNS
        )

    def transfer(self, run: RunningTask, demand: WaitingWork) -> None:
        self.release(run)
        self._shortfall[demand.team] = self.shortfall(demand) - run.units

    def release(self, run: RunningTask) -> None:
        self._borrowed[run.team] = self.borrowed(run.team) - run.units
        if run.work_class is WorkClass.BATCH:
            self._batch[run.team] = self._batch.get(run.team, 0) - 1


class PreemptionPlanner:
    """Decides on preemptions in one pool, and tracks those in progress.

    Urgent work preempts batch work, and a team below its entitlement preempts
    teams above theirs. A team at or below its entitlement gives way only to
    urgent work of its own.
    """

    def __init__(self) -> None:
        self._pending: dict[TaskId, _PendingPreemption] = {}

    def note_finish(self, task: TaskId) -> None:
        """Discard the state of a task that no longer runs."""
        self._pending.pop(task, None)

    def decide(
        self,
        demands: Iterable[WaitingWork],
        tasks: Iterable[RunningTask],
        free: float,
        running: Mapping[TeamId, float],
        entitled_units: Mapping[TeamId, float],
        now: float,
    ) -> list[Decision]:
        """Return the preemptions that let waiting work start.

        :param demands: the work that waits in the pool.
        :param tasks: the tasks that run in the pool.
        :param free: units that are free in the pool.
        :param running: units that each team runs across the fleet.
        :param entitled_units: entitlement of each team across the fleet, in units.
        :param now: the node's clock, in seconds.
        """
        decisions = self._escalate(now)
        overdue = [d for d in demands if now - d.oldest >= PREEMPTION_DELAY_SECONDS]
        if not overdue:
            return decisions
        overdue.sort(key=lambda d: (d.work_class is WorkClass.BATCH, d.oldest))
        tasks = list(tasks)
        balance = _ShareBalance(tasks, running, entitled_units)
        free_in_pool = free + self._units_being_freed(balance)
        victims = sorted(
            (run for run in tasks if self._is_preemptible(run, now)), key=_victim_order
        )
        for demand in overdue:
            free_in_pool = self._make_room(
                demand, victims, free_in_pool, balance, now, decisions
            )
        return decisions

    def _is_preemptible(self, run: RunningTask, now: float) -> bool:
        if run.task in self._pending:
            return False
        return not now <= run.expected_end <= now + ENDS_SOON_SECONDS

    def _units_being_freed(self, balance: _ShareBalance) -> float:
        """Return the units that preemptions in progress will free."""
        units = 0.0
        for pending in self._pending.values():
            if not isinstance(pending.decision, Throttle):
                units += pending.run.units
                balance.release(pending.run)
        return units

    def _make_room(
        self,
        demand: WaitingWork,
        victims: list[RunningTask],
        free_in_pool: float,
        balance: _ShareBalance,
        now: float,
        decisions: list[Decision],
    ) -> float:
        """Decide for one demand; return the units left for the next demand."""
        needed = demand.units - free_in_pool
        for run in list(victims):
            if needed <= 0:
                break
            if demand.vm not in (None, run.vm):
                continue
            if not _may_preempt(run, demand, balance):
                continue
            victims.remove(run)
            decision = _decision(run)
            decisions.append(decision)
            self._pending[run.task] = _PendingPreemption(decision, run, now)
            if not isinstance(decision, Throttle):
                needed -= run.units
                balance.transfer(run, demand)
        return max(-needed, 0.0)

    def _escalate(self, now: float) -> list[Decision]:
        """Stop the idempotent tasks whose checkpoint has timed out."""
        decisions: list[Decision] = []
        for pending in self._pending.values():
            if not isinstance(pending.decision, Checkpoint):
                continue
            if (
                pending.run.idempotent
                and now - pending.at >= CHECKPOINT_TIMEOUT_SECONDS
            ):
                pending.decision = Stop(pending.run.task, pending.run.vm)
                decisions.append(pending.decision)
        return decisions


def _cost(run: RunningTask) -> _Cost:
    if run.can_checkpoint:
        return _Cost.CHECKPOINT
    if not run.idempotent:
        return _Cost.THROTTLE
    urgent = run.work_class is WorkClass.URGENT
    return _Cost.STOP_URGENT if urgent else _Cost.STOP_BATCH


def _victim_order(run: RunningTask) -> tuple[_Cost, float]:
    """Sort key of victims: by cost, then newest first, which loses least work."""
    return _cost(run), -run.started


def _may_preempt(run: RunningTask, demand: WaitingWork, balance: _ShareBalance) -> bool:
    """Return whether ``run`` may be preempted for ``demand``."""
    urgent_first = (
        demand.work_class is WorkClass.URGENT and run.work_class is WorkClass.BATCH
    )
    if run.team == demand.team:
        return urgent_first and balance.may_preempt_own_batch(run.team)
    borrowed = balance.borrowed(run.team) >= TOLERANCE_UNITS
    shortfall = balance.shortfall(demand) >= TOLERANCE_UNITS
    return borrowed and (shortfall or urgent_first)


def _decision(run: RunningTask) -> Decision:
    match _cost(run):
        case _Cost.CHECKPOINT:
            return Checkpoint(run.task, run.vm)
        case _Cost.THROTTLE:
            return Throttle(run.task, run.vm)
        case _:
            return Stop(run.task, run.vm)
