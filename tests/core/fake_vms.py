"""Fake VMs under maintenance in virtual time, with planners that lag behind."""

from dataclasses import dataclass, field
from itertools import count
from random import Random

from hickoryplank.core.fold import FoldResult, fold
from hickoryplank.core.ids import RecordId, VmId
from hickoryplank.core.maintenance import (
    MaintenancePlanner,
    MaintenancePolicy,
    ProbeResult,
    RebootVm,
    VmObservation,
    WorkerReport,
    overdue_drains,
)
from hickoryplank.core.records import Record, VmState, VmStep
from hickoryplank.core.tables import Tables, decode_tables, encode_tables
from hickoryplank.core.vms import budget_of, in_service

__all__ = ["FakeVm", "FakeVms", "PlannerNode"]

#: Time after the fold of a drain in which nodes with an older view still start work.
STALE_START_SECONDS = 2.0
BATCH_PROBABILITY = 0.1
BATCH_SECONDS = 600.0
MAX_TICKS_PER_STEP = 5
_NODE_NUMBERS = count()


@dataclass
class Task:
    """A task on a VM.

    :param end: when the task ends, in seconds.
    """

    end: float
    batch: bool = False


@dataclass
class FakeVm:
    """A VM, its boot and the tasks that it still runs while it is drained.

    :param min_out_of_service_seconds: minimum duration of its drains and reboots.
    :param up_at: when its last reboot is finished, in seconds.
    :param bad_probes: whether the current boot fails its probes.
    """

    boot: int = 1
    min_out_of_service_seconds: float = 0.0
    tasks: list[Task] = field(default_factory=list)
    up_at: float = 0.0
    bad_probes: int = 0

    def running(self, now: float) -> int:
        """Return how many tasks run at ``now``."""
        return sum(task.end > now for task in self.tasks)


class PlannerNode:
    """A planner with its own copy of the tables.

    :param lag: delay with which the node reads the log, in seconds.
    :ivar read: number of log records that the node has read.
    """

    def __init__(self, tables: Tables, policy: MaintenancePolicy, lag: float) -> None:
        self.tables = tables
        self.lag = lag
        self.read = 0
        self.folded_at: dict[VmId, float] = {}
        number, ids = next(_NODE_NUMBERS), count()
        self.planner = MaintenancePlanner(
            policy, lambda: RecordId(f"n{number}-{next(ids)}")
        )


class FakeVms:
    """VMs that run tasks, reboot and fail probes at random.

    :param lags: delay of each node, in seconds.
    :param reboot: shortest and longest duration of a reboot, in seconds.
    :param bad_probe: probability that a boot fails its probes.
    :ivar cut_off: number of tasks that were killed by a reboot.
    :ivar over_budget: number of drains that violated an availability budget.
    """

    def __init__(
        self,
        tables: Tables,
        rng: Random,
        policy: MaintenancePolicy,
        lags: tuple[float, ...] = (0.0,),
        reboot: tuple[float, float] = (60.0, 120.0),
        bad_probe: float = 0.0,
    ) -> None:
        self.tables = tables
        self.policy = policy
        self.now = 0.0
        self.cut_off = 0
        self.over_budget = 0
        self.accepted = 0
        self.refused = 0
        self._rng = rng
        self._reboot = reboot
        self.bad_probe = bad_probe
        self._log: list[tuple[float, Record]] = []
        self.vms = {vm: FakeVm() for vm in tables.vms}
        self.nodes = [self.new_node(lag) for lag in lags]

    def new_node(self, lag: float) -> PlannerNode:
        """Return a node that starts from the current tables."""
        tables = decode_tables(encode_tables(self.tables)) if lag else self.tables
        node = PlannerNode(tables, self.policy, lag)
        node.read = len(self._log)
        node.folded_at = dict.fromkeys(tables.vm_index.inactive, self.now)
        return node

    def append(self, record: Record) -> FoldResult:
        """Fold a record into the current tables and queue it for lagging nodes."""
        self._log.append((self.now, record))
        row = self.tables.vms.get(getattr(record, "vm", None))
        was_in_service = row is not None and row.in_service
        result = fold(self.tables, record)
        self.accepted += result.is_ok()
        self.refused += result.is_err()
        if result.is_ok() and isinstance(record, VmStep):
            self._on_step(record, was_in_service)
        return result

    def _on_step(self, step: VmStep, was_in_service: bool) -> None:
        pool = self.tables.vms[step.vm].pool
        if step.state is VmState.LEAVING:
            vm = self.vms[step.vm]
            vm.tasks = self._remaining_tasks()
            last = max(task.end for task in vm.tasks if not task.batch)
            vm.min_out_of_service_seconds += max(
                self.policy.in_force_delay, last - self.now
            )
            if any(task.batch for task in vm.tasks):
                vm.min_out_of_service_seconds += max(
                    0.0, self.policy.drain_timeout - last + self.now
                )
            below_budget = in_service(self.tables, pool) < budget_of(self.tables, pool)
            self.over_budget += was_in_service and below_budget

    def _remaining_tasks(self) -> list[Task]:
        """Return running tasks and those that nodes with an older view still start."""
        starts = [self.now] * 4 + [
            self.now + self._rng.uniform(0, STALE_START_SECONDS) for _ in range(4)
        ]
        tasks = [Task(start + self._rng.expovariate(1.0)) for start in starts]
        if self._rng.random() < BATCH_PROBABILITY:
            tasks.append(Task(self.now + BATCH_SECONDS, batch=True))
        return tasks

    def _request_reboot(self, request: RebootVm) -> None:
        vm = self.vms[request.vm]
        if self.now < vm.up_at or request.boot not in ("", str(vm.boot)):
            return
        state = self.tables.vms[request.vm].state
        self.cut_off += vm.running(self.now) + (state is VmState.ACTIVE)
        vm.boot += 1
        vm.tasks = []
        vm.up_at = self.now + self._rng.uniform(*self._reboot)
        vm.min_out_of_service_seconds += vm.up_at - self.now
        vm.bad_probes = self._rng.random() < self.bad_probe

    def _observations(self, node: PlannerNode) -> dict[VmId, VmObservation]:
        observations = {}
        for name in node.tables.vm_index.inactive:
            vm = self.vms[name]
            report, probe = None, ProbeResult.PENDING
            if self.now >= vm.up_at:
                running = vm.running(self.now)
                report = WorkerReport(boot=str(vm.boot), running=running, age=0.1)
                probe = ProbeResult.FAILED if vm.bad_probes else ProbeResult.OK
            since = self.now - node.folded_at.get(name, self.now)
            observations[name] = VmObservation(since=since, report=report, probe=probe)
        return observations

    def _catch_up(self, node: PlannerNode) -> None:
        while node.read < len(self._log):
            at, record = self._log[node.read]
            if at + node.lag > self.now:
                return
            node.read += 1
            accepted = fold(node.tables, record).is_ok() if node.lag else True
            if accepted and isinstance(record, VmStep):
                node.folded_at[record.vm] = self.now

    def step(self, seconds: float = 1.0) -> None:
        """Advance the time and let each node plan until it proposes nothing more."""
        self.now += seconds
        for node in self.nodes:
            for _ in range(MAX_TICKS_PER_STEP):
                if not self._plan(node):
                    break

    def _plan(self, node: PlannerNode) -> bool:
        self._catch_up(node)
        observations = self._observations(node)
        for drain in overdue_drains(node.tables, observations, self.policy):
            tasks = self.vms[drain.vm].tasks
            self.vms[drain.vm].tasks = [task for task in tasks if not task.batch]
        proposals = node.planner.tick(node.tables, observations, self.now)
        for proposal in proposals:
            if isinstance(proposal, RebootVm):
                self._request_reboot(proposal)
            else:
                self.append(proposal)
        return bool(proposals)
