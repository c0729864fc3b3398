"""VMs in the buffer, late work and VM moves a day under rotating bursts.

Run on its own with ``python -m benchmarks.moves``.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from benchmarks.figure import Figure
from benchmarks.fleets import DEPLOYMENT_POOLS, build_deployment, new_id
from hickoryplank.core.demand import DemandTracker
from hickoryplank.core.ids import PoolId
from hickoryplank.core.maintenance import MaintenancePolicy
from hickoryplank.core.moves import MovePlanner, MovePolicy
from hickoryplank.core.records import VmMoved
from hickoryplank.core.tables import Tables
from tests.core.fake_vms import FakeVms

SEED = 7
MIN_AVAILABLE_VMS = 2
RUN_SECONDS = 0.5
MEAN_DEMAND_SLOTS = 14.0
BURST_FACTOR = 5.0
QUIET_FACTOR = 1 / 20
BURST_SECONDS = 20.0
STEP_SECONDS = 0.1
PLAN_INTERVAL_SECONDS = 0.5
WARM_UP_SECONDS = 200.0
MEASURED_SECONDS = 800.0
DAY_SECONDS = 86_400.0
LATE_AFTER_SECONDS = 1.6
BACKLOG_TARGET_SECONDS = 10.0
BUFFER_SIZES_VMS = (0, 2, 4, 6, 8)
HYSTERESES_SECONDS = (0.0, 10.0, 30.0, 300.0)


@dataclass
class PoolQueue:
    """Backlog of a pool, as numbers of jobs (also fractional) by arrival time.

    :param waiting: pairs of arrival time in seconds and number of jobs, oldest first.
    :param demand_slots: current demand, in slots.
    :param started_jobs: jobs that have started.
    :param late_jobs: those of ``started_jobs`` that waited longer than
        ``LATE_AFTER_SECONDS``.
    """

    waiting: deque[list[float]] = field(default_factory=deque)
    demand_slots: float = 0.0
    started_jobs: float = 0.0
    late_jobs: float = 0.0

    def step(
        self, slots: float, demand_slots: float, now: float, measured: bool
    ) -> None:
        """Queue the work of one step and start as much as ``slots`` allow.

        :param slots: slots of the pool that are in service.
        :param demand_slots: demand, in slots.
        :param measured: whether the step counts for ``started_jobs`` and ``late_jobs``.
        """
        jobs = demand_slots * STEP_SECONDS / RUN_SECONDS
        self.demand_slots = demand_slots
        self.waiting.append([now, jobs])
        startable_jobs = slots * STEP_SECONDS / RUN_SECONDS
        while self.waiting and startable_jobs > 0:
            arrived_at, jobs = self.waiting[0]
            taken = min(jobs, startable_jobs)
            startable_jobs -= taken
            if measured:
                self.started_jobs += taken
                self.late_jobs += taken * (now - arrived_at > LATE_AFTER_SECONDS)
            self.waiting[0][1] -= taken
            if taken == jobs:
                self.waiting.popleft()

    def backlog(self) -> float:
        """Return how many slots finish the backlog in ``BACKLOG_TARGET_SECONDS``."""
        waiting = sum(jobs for _, jobs in self.waiting)
        return waiting * RUN_SECONDS / BACKLOG_TARGET_SECONDS

    def wait(self, now: float) -> float:
        """Return how long the oldest waiting work has waited, in seconds."""
        return now - self.waiting[0][0] if self.waiting else 0.0


@dataclass
class MovesResult:
    """Measurements of one policy: late work, moves and VMs out of service.

    :param late_fraction: fraction of the work that waited longer than
        ``LATE_AFTER_SECONDS``.
    :param moves_per_day: number of VM moves per day.
    :param mean_inactive_vms: mean number of VMs out of service, in the buffer or
        between pools.
    """

    late_fraction: float
    moves_per_day: float
    mean_inactive_vms: float


class MovesSimulation:
    """Simulation of pools whose queues have bursts in turn.

    :param policy: policy of moves between pools; ``None`` for no moves.
    """

    def __init__(self, policy: MovePolicy | None, seed: int = SEED) -> None:
        self._tables: Tables = build_deployment(MIN_AVAILABLE_VMS)
        self._fake_vms = FakeVms(self._tables, Random(seed), MaintenancePolicy())
        window = policy.hysteresis if policy else 0.0
        self._planner = MovePlanner(policy, new_id) if policy else None
        self._queues = {PoolId(pool): PoolQueue() for pool in DEPLOYMENT_POOLS}
        self._trackers = {pool: DemandTracker(pool, window) for pool in self._queues}
        self._moves = 0
        self._inactive_total = 0.0

    def run(self) -> MovesResult:
        """Run the simulation and return its measurements."""
        steps = round((WARM_UP_SECONDS + MEASURED_SECONDS) / STEP_SECONDS)
        plan_every_steps = round(PLAN_INTERVAL_SECONDS / STEP_SECONDS)
        for step in range(steps):
            now = step * STEP_SECONDS
            measured = now >= WARM_UP_SECONDS
            self._serve(now, measured)
            if step % plan_every_steps == 0:
                self._plan(now, measured)
        queues = self._queues.values()
        plans = MEASURED_SECONDS / PLAN_INTERVAL_SECONDS
        return MovesResult(
            late_fraction=sum(q.late_jobs for q in queues)
            / sum(q.started_jobs for q in queues),
            moves_per_day=self._moves * DAY_SECONDS / MEASURED_SECONDS,
            mean_inactive_vms=self._inactive_total / plans,
        )

    def _serve(self, now: float, measured: bool) -> None:
        burst_pool_index = int(now / BURST_SECONDS) % len(self._queues)
        for i, (pool, queue) in enumerate(self._queues.items()):
            factor = BURST_FACTOR if i == burst_pool_index else QUIET_FACTOR
            slots = sum(
                self._tables.endpoint_of(row.vm).slots
                for row in self._tables.members(pool)
                if row.in_service
            )
            queue.step(slots, MEAN_DEMAND_SLOTS * factor, now, measured)

    def _plan(self, now: float, measured: bool) -> None:
        if self._planner is None:
            return
        demand = {
            pool: self._trackers[pool].observe(
                queue.demand_slots, now, queue.backlog(), queue.wait(now)
            )
            for pool, queue in self._queues.items()
        }
        for record in self._planner.tick(self._tables, demand, now):
            accepted = self._fake_vms.append(record).is_ok()
            self._moves += measured and accepted and isinstance(record, VmMoved)
        pools_before = {vm: row.pool for vm, row in self._tables.vms.items()}
        self._fake_vms.step(PLAN_INTERVAL_SECONDS)
        if measured:
            rows = self._tables.vms.items()
            self._moves += sum(row.pool != pools_before[vm] for vm, row in rows)
            self._inactive_total += len(self._tables.vm_index.inactive)


def figures() -> Iterator[Figure]:
    """Yield VMs in the buffer, late work and VM moves per day for each policy."""
    fixed_pools = MovesSimulation(None).run()
    yield Figure(
        name="work that waited over 1.6 s, fixed pools",
        value=100 * fixed_pools.late_fraction,
        unit="%",
    )
    for hysteresis in HYSTERESES_SECONDS:
        for buffer in BUFFER_SIZES_VMS:
            policy = MovePolicy(buffer_vms=buffer, hysteresis=hysteresis)
            result = MovesSimulation(policy).run()
            name = f"buffer {buffer} VMs, hysteresis {hysteresis:g} s"
            yield Figure(
                name=f"work that waited over 1.6 s, {name}",
                value=100 * result.late_fraction,
                unit="%",
                baseline=100 * fixed_pools.late_fraction,
            )
            yield Figure(
                name=f"moves, {name}",
                value=result.moves_per_day,
                unit="VMs a day",
                baseline=0,
            )
            yield Figure(
                name=f"VMs out of service, {name}",
                value=result.mean_inactive_vms,
                unit="VMs",
                baseline=0,
            )


if __name__ == "__main__":
    for figure in figures():
        print(figure)
