"""Which running work makes room for work that has waited too long.

Urgent work takes room from batch work, and a team below its entitlement takes
back what was lent to teams above theirs. A team at or below its entitlement
gives room to its own urgent work only.
"""

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

#: How long work waits for runs to end by themselves before it takes room.
PATIENCE_SECONDS = 0.3
#: How long a checkpoint may take before the task is stopped instead.
CHECKPOINT_SECONDS = 0.6
#: A run that is expected to end within this time is left to end.
SOON_SECONDS = 0.6
#: Units above or below its entitlement that a team may be in a pool.
TOLERANCE_UNITS = 0.5
#: Runs in a pool from which on a team's urgent work leaves it one batch run.
MANY_RUNS = 8


class RunningTask(msgspec.Struct, frozen=True, kw_only=True):
    """A run that may have to make room.

    :param started: when it started, in seconds.
    :param expected_end: when it should have ended at the latest, in seconds.
    :param units: what it takes, in units of the scarcest resource.
    :param can_checkpoint: whether it can resume from a checkpoint.
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
    """Work of one team and class that waits in a pool and may start.

    :param units: what it would take, in units.
    :param oldest: when the oldest of it arrived, in seconds.
    :param fleet_fraction: what waits here as a part of what waits across the fleet.
    :param vm: the endpoint kept free for the next run, if it needs one to itself.
    """

    team: TeamId
    work_class: WorkClass
    units: float
    oldest: float
    fleet_fraction: float = 1.0
    vm: VmId | None = None


class Checkpoint(msgspec.Struct, frozen=True, tag="checkpoint"):
    """Save a task and free its slot; it resumes later."""

    task: TaskId
    vm: VmId


class Stop(msgspec.Struct, frozen=True, tag="stop"):
    """End an idempotent task; it waits again and runs from its start."""

    task: TaskId
    vm: VmId


class Throttle(msgspec.Struct, frozen=True, tag="throttle"):
    """Slow down a task that can neither be saved nor stopped.

    This frees processor time for the runs beside it, but not its slot.
    """

    task: TaskId
    vm: VmId


Decision = Checkpoint | Stop | Throttle


class _Cost(IntEnum):
    """What making room by a task costs, cheapest first."""

    CHECKPOINT = 0
    STOP_BATCH = 1
    STOP_URGENT = 2
    THROTTLE = 3


class _Pending(msgspec.Struct):
    decision: Decision
    run: RunningTask
    at: float


class _Balance:
    """Units that this pool's part of each team's distance comes to.

    Owners see each other's counts late. Each repairs its own part, or all would
    repair the whole.
    """

    def __init__(
        self,
        tasks: Iterable[RunningTask],
        running: Mapping[TeamId, float],
        due: Mapping[TeamId, float],
    ) -> None:
        here: dict[TeamId, float] = {}
        self._runs: dict[TeamId, int] = {}
        self._batch: dict[TeamId, int] = {}
        for run in tasks:
            here[run.team] = here.get(run.team, 0.0) + run.units
            self._runs[run.team] = self._runs.get(run.team, 0) + 1
            if run.work_class is WorkClass.BATCH:
                self._batch[run.team] = self._batch.get(run.team, 0) + 1
        self._distance = {t: u - due.get(t, 0.0) for t, u in running.items()}
        self._due = due
        self._lent = {
            team: max(self._distance.get(team, 0.0), 0.0) * units / running[team]
            for team, units in here.items()
            if running.get(team, 0.0) > 0
        }
        self._lacking: dict[TeamId, float] = {}

    def lent(self, team: TeamId) -> float:
        """Return the lent units that ``team`` still holds here."""
        return self._lent.get(team, 0.0)

    def lacking(self, demand: WaitingWork) -> float:
        """Return the units that the team still lacks here."""
        if demand.team not in self._lacking:
            distance = self._distance.get(demand.team, -self._due.get(demand.team, 0.0))
            self._lacking[demand.team] = max(-distance, 0.0) * demand.fleet_fraction
        return self._lacking[demand.team]

    def spares_batch(self, team: TeamId) -> bool:
        """Return whether ``team`` can stop a batch run and still get on with batch."""
        return self._batch.get(team, 0) > 1 or self._runs.get(team, 0) < MANY_RUNS

    def move(self, run: RunningTask, demand: WaitingWork) -> None:
        self.release(run)
        self._lacking[demand.team] = self.lacking(demand) - run.units

    def release(self, run: RunningTask) -> None:
        self._lent[run.team] = self.lent(run.team) - run.units
        if run.work_class is WorkClass.BATCH:
            self._batch[run.team] = self._batch.get(run.team, 0) - 1


class PreemptionPlanner:
    """Decisions to make room in one pool, and those still under way."""

    def __init__(self) -> None:
        self._pending: dict[TaskId, _Pending] = {}

    def note_finish(self, task: TaskId) -> None:
        """Forget a task that no longer runs."""
        self._pending.pop(task, None)

    def decide(
        self,
        demands: Iterable[WaitingWork],
        tasks: Iterable[RunningTask],
        free: float,
        running: Mapping[TeamId, float],
        due: Mapping[TeamId, float],
        now: float,
    ) -> list[Decision]:
        """Return what to do now, so that waiting work can start.

        :param tasks: what runs in the pool.
        :param free: units that are free in the pool.
        :param running: units that each team runs across the fleet.
        :param due: units that each team is entitled to across the fleet.
        """
        decisions = self._escalate(now)
        late = [d for d in demands if now - d.oldest >= PATIENCE_SECONDS]
        if not late:
            return decisions
        late.sort(key=lambda d: (d.work_class is WorkClass.BATCH, d.oldest))
        tasks = list(tasks)
        balance = _Balance(tasks, running, due)
        room = free + self._coming(balance)
        victims = sorted((run for run in tasks if self._may_end(run, now)), key=_order)
        for demand in late:
            room = self._make_room(demand, victims, room, balance, now, decisions)
        return decisions

    def _may_end(self, run: RunningTask, now: float) -> bool:
        if run.task in self._pending:
            return False
        return not now <= run.expected_end <= now + SOON_SECONDS

    def _coming(self, balance: _Balance) -> float:
        """Return the units that decisions under way will free."""
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
        room: float,
        balance: _Balance,
        now: float,
        decisions: list[Decision],
    ) -> float:
        """Decide for one demand; return the room that is left for the next."""
        needed = demand.units - room
        for run in list(victims):
            if needed <= 0:
                break
            if demand.vm not in (None, run.vm):
                continue
            if not _gives_way(run, demand, balance):
                continue
            victims.remove(run)
            decision = _decision(run)
            decisions.append(decision)
            self._pending[run.task] = _Pending(decision, run, now)
            if not isinstance(decision, Throttle):
                needed -= run.units
                balance.move(run, demand)
        return max(-needed, 0.0)

    def _escalate(self, now: float) -> list[Decision]:
        """Stop what has not finished its checkpoint in time."""
        decisions: list[Decision] = []
        for pending in self._pending.values():
            if not isinstance(pending.decision, Checkpoint):
                continue
            if pending.run.idempotent and now - pending.at >= CHECKPOINT_SECONDS:
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


def _order(run: RunningTask) -> tuple[_Cost, float]:
    """Order victims by cost, then by the work that is lost: newest first."""
    return _cost(run), -run.started


def _gives_way(run: RunningTask, demand: WaitingWork, balance: _Balance) -> bool:
    """Return whether ``run`` has to make room for ``demand``."""
    urgent_first = (
        demand.work_class is WorkClass.URGENT and run.work_class is WorkClass.BATCH
    )
    if run.team == demand.team:
        return urgent_first and balance.spares_batch(run.team)
    lent = balance.lent(run.team) >= TOLERANCE_UNITS
    lacking = balance.lacking(demand) >= TOLERANCE_UNITS
    return lent and (lacking or urgent_first)


def _decision(run: RunningTask) -> Decision:
    match _cost(run):
        case _Cost.CHECKPOINT:
            return Checkpoint(run.task, run.vm)
        case _Cost.THROTTLE:
            return Throttle(run.task, run.vm)
        case _:
            return Stop(run.task, run.vm)
