"""VMs in the buffer, late work and VM moves a day under rotating bursts.

Run on its own with ``python -m benchmarks.moves``.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from benchmarks.figure import Figure
from benchmarks.fleets import DEPLOYMENT_POOLS, deployment, new_id
from hickoryplank.core.demand import DemandTracker
from hickoryplank.core.ids import PoolId
from hickoryplank.core.maintenance import MaintenancePolicy
from hickoryplank.core.moves import MovePlanner, MovePolicy
from hickoryplank.core.records import VmMoved
from hickoryplank.core.tables import Tables
from tests.core.fake_vms import FakeVms

SEED = 7
BUDGET = 2
RUN_SECONDS = 0.5
MEAN_SLOTS = 14.0
BURST_FACTOR = 5.0
QUIET_FACTOR = 1 / 20
BURST_SECONDS = 20.0
STEP_SECONDS = 0.1
PLAN_SECONDS = 0.5
WARM_UP_SECONDS = 200.0
MEASURED_SECONDS = 800.0
DAY_SECONDS = 86_400.0
LATE_SECONDS = 1.6
BACKLOG_SECONDS = 10.0
BUFFERS = (0, 2, 4, 6, 8)
HYSTERESES = (0.0, 10.0, 30.0, 300.0)


@dataclass
class PoolQueue:
    """Waiting work of a pool, in amounts of jobs with their arrival times.

    :param waiting: pairs of arrival time in seconds and number of jobs, oldest first.
    :param asked: current demand, in slots.
    :param started: jobs that have started.
    :param late: those of ``started`` that waited longer than ``LATE_SECONDS``.
    """

    waiting: deque[list[float]] = field(default_factory=deque)
    asked: float = 0.0
    started: float = 0.0
    late: float = 0.0

    def step(self, slots: float, asked: float, now: float, measured: bool) -> None:
        """Queue the work of one step and start as much as ``slots`` allow.

        :param slots: slots of the pool that are in service.
        :param asked: demand, in slots.
        :param measured: whether the step counts for ``started`` and ``late``.
        """
        jobs = asked * STEP_SECONDS / RUN_SECONDS
        self.asked = asked
        self.waiting.append([now, jobs])
        room = slots * STEP_SECONDS / RUN_SECONDS
        while self.waiting and room > 0:
            came, jobs = self.waiting[0]
            taken = min(jobs, room)
            room -= taken
            if measured:
                self.started += taken
                self.late += taken * (now - came > LATE_SECONDS)
            self.waiting[0][1] -= taken
            if taken == jobs:
                self.waiting.popleft()

    def backlog(self) -> float:
        """Return the slots that finish the waiting work in ``BACKLOG_SECONDS``."""
        waiting = sum(jobs for _, jobs in self.waiting)
        return waiting * RUN_SECONDS / BACKLOG_SECONDS

    def wait(self, now: float) -> float:
        """Return how long the oldest waiting work has waited, in seconds."""
        return now - self.waiting[0][0] if self.waiting else 0.0


@dataclass
class Trade:
    """Measurements of one policy, between which there is a trade-off.

    :param late: fraction of the work that waited longer than ``LATE_SECONDS``.
    :param moves: VM moves per day.
    :param buffer: mean number of VMs out of service, in the buffer or between pools.
    """

    late: float
    moves: float
    buffer: float


class MovesRun:
    """Simulation of pools whose queues have bursts in turn.

    :param policy: policy of moves between pools; ``None`` for no moves.
    """

    def __init__(self, policy: MovePolicy | None, seed: int = SEED) -> None:
        self._tables: Tables = deployment(BUDGET)
        self._fake = FakeVms(self._tables, Random(seed), MaintenancePolicy())
        window = policy.hysteresis if policy else 0.0
        self._planner = MovePlanner(policy, new_id) if policy else None
        self._queues = {PoolId(pool): PoolQueue() for pool in DEPLOYMENT_POOLS}
        self._trackers = {pool: DemandTracker(pool, window) for pool in self._queues}
        self._moves = 0
        self._idle = 0.0

    def run(self) -> Trade:
        """Run the simulation and return its measurements."""
        steps = round((WARM_UP_SECONDS + MEASURED_SECONDS) / STEP_SECONDS)
        every = round(PLAN_SECONDS / STEP_SECONDS)
        for step in range(steps):
            now = step * STEP_SECONDS
            measured = now >= WARM_UP_SECONDS
            self._serve(now, measured)
            if step % every == 0:
                self._plan(now, measured)
        queues = self._queues.values()
        plans = MEASURED_SECONDS / PLAN_SECONDS
        return Trade(
            late=sum(q.late for q in queues) / sum(q.started for q in queues),
            moves=self._moves * DAY_SECONDS / MEASURED_SECONDS,
            buffer=self._idle / plans,
        )

    def _serve(self, now: float, measured: bool) -> None:
        burst = int(now / BURST_SECONDS) % len(self._queues)
        for i, (pool, queue) in enumerate(self._queues.items()):
            factor = BURST_FACTOR if i == burst else QUIET_FACTOR
            slots = sum(
                self._tables.endpoint_of(row.vm).slots
                for row in self._tables.members(pool)
                if row.in_service
            )
            queue.step(slots, MEAN_SLOTS * factor, now, measured)

    def _plan(self, now: float, measured: bool) -> None:
        if self._planner is None:
            return
        demand = {
            pool: self._trackers[pool].observe(
                queue.asked, now, queue.backlog(), queue.wait(now)
            )
            for pool, queue in self._queues.items()
        }
        for record in self._planner.tick(self._tables, demand, now):
            accepted = self._fake.append(record).is_ok()
            self._moves += measured and accepted and isinstance(record, VmMoved)
        before = {vm: row.pool for vm, row in self._tables.vms.items()}
        self._fake.step(PLAN_SECONDS)
        if measured:
            rows = self._tables.vms.items()
            self._moves += sum(row.pool != before[vm] for vm, row in rows)
            self._idle += len(self._tables.vm_index.inactive)


def figures() -> Iterator[Figure]:
    """Yield VMs in the buffer, late work and VM moves per day for each policy."""
    fixed = MovesRun(None).run()
    yield Figure(
        name="work that waited over 1.6 s, fixed pools",
        value=100 * fixed.late,
        unit="%",
    )
    for hysteresis in HYSTERESES:
        for buffer in BUFFERS:
            policy = MovePolicy(buffer_vms=buffer, hysteresis=hysteresis)
            trade = MovesRun(policy).run()
            name = f"buffer {buffer} VMs, hysteresis {hysteresis:g} s"
            yield Figure(
                name=f"work that waited over 1.6 s, {name}",
                value=100 * trade.late,
                unit="%",
                baseline=100 * fixed.late,
            )
            yield Figure(
                name=f"moves, {name}", value=trade.moves, unit="VMs a day", baseline=0
            )
            yield Figure(
                name=f"VMs out of service, {name}",
                value=trade.buffer,
                unit="VMs",
                baseline=0,
            )


if __name__ == "__main__":
    for figure in figures():
        print(figure)
