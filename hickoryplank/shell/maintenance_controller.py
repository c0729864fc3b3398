"""Carries out maintenance, and reports nodes and VMs that have failed."""

import logging
import time

import anyio
from result import Err, Ok

from hickoryplank.core.freshness import MAX_STALENESS_SECONDS
from hickoryplank.core.ids import Incarnation, PoolId, Revision, VmId
from hickoryplank.core.maintenance import (
    MaintenancePlanner,
    MaintenancePolicy,
    ProbeResult,
    RebootVm,
    VmObservation,
    WorkerReport,
    overdue_drains,
)
from hickoryplank.core.records import (
    ClaimsForgotten,
    Evidence,
    NodeGone,
    NodeReclaimed,
    Record,
    VmReport,
    VmState,
)
from hickoryplank.core.tables import NodeState, VmRow
from hickoryplank.external.vmlist import ListedState, ListedVm, VmList
from hickoryplank.shell.clock import Clock
from hickoryplank.shell.dispatcher import Dispatcher
from hickoryplank.shell.membership import Membership
from hickoryplank.shell.replica import Replica, new_record_id
from hickoryplank.shell.tasks import TaskSpawner
from hickoryplank.shell.worker_clients import TASK_LEASE_SECONDS, WorkerClients

__all__ = ["MaintenanceController"]

logger = logging.getLogger(__name__)

TICK_SECONDS = 0.25
STATUS_INTERVAL_SECONDS = 1.0
MAX_STATUS_REQUESTS_PER_TICK = 5
LIST_INTERVAL_SECONDS = 2.0
RESUBMIT_SECONDS = 2.0
RECLAIM_DELAY_SECONDS = TASK_LEASE_SECONDS + MAX_STALENESS_SECONDS + 1.0
CLAIM_CLEANUP_INTERVAL_SECONDS = 60.0
#: Not a pool of the configuration: the node that would own it does maintenance.
MAINTENANCE_POOL = PoolId("upkeep")


class MaintenanceController:
    """Submits records on VMs and nodes; usually one node at a time does so.

    Any node may submit such records, because those that come too late are refused
    when they are folded.
    """

    def __init__(
        self,
        replica: Replica,
        membership: Membership,
        dispatcher: Dispatcher,
        workers: WorkerClients,
        vms: VmList,
        policy: MaintenancePolicy,
        spawner: TaskSpawner,
        clock: Clock,
    ):
        self._replica = replica
        self._membership = membership
        self._dispatcher = dispatcher
        self._workers = workers
        self._vms = vms
        self._policy = policy
        self._spawner = spawner
        self._clock = clock
        self._planner = MaintenancePlanner(policy, new_record_id)
        self._last_steps: dict[VmId, tuple[Revision, float]] = {}
        self._reports: dict[VmId, tuple[WorkerReport, float]] = {}
        self._probes: dict[VmId, ProbeResult] = {}
        self._requested_at: dict[VmId, float] = {}
        self._gone_since: dict[Incarnation, float] = {}
        self._vm_list: dict[VmId, ListedVm] = {}
        self._submitted_at: dict[str, float] = {}

    @property
    def _is_responsible(self) -> bool:
        return (
            self._membership.owner_of(MAINTENANCE_POOL)
            == self._membership.own_incarnation
        )

    async def serve(self) -> None:
        """Carry out maintenance until cancelled."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            now = self._clock.now()
            self._update_last_steps(now)
            observations = self._observations(now)
            for drain in overdue_drains(
                self._replica.tables, observations, self._policy
            ):
                self._dispatcher.preempt_idempotent_batch(drain.vm)
            if self._is_responsible:
                self._request_statuses(now)
                self._plan(observations, now)
                self._reclaim(now)

    async def poll_vm_list(self) -> None:
        """Poll the VM list until cancelled."""
        while True:
            await anyio.sleep(LIST_INTERVAL_SECONDS)
            if not self._is_responsible:
                continue
            match await self._vms.read():
                case Ok(rows):
                    self._apply_vm_list(rows)
                case Err(failure):
                    logger.warning(
                        "reading the VM list failed, retrying at the next poll: %s",
                        failure.detail,
                    )

    async def delete_expired_claims(self) -> None:
        """Delete expired claims from the tables periodically, until cancelled."""
        while True:
            await anyio.sleep(CLAIM_CLEANUP_INTERVAL_SECONDS)
            if self._is_responsible and self._replica.tables.claims:
                record = ClaimsForgotten(id=new_record_id(), before=time.time())
                await self._replica.submit(record)

    def _update_last_steps(self, now: float) -> None:
        inactive = self._replica.tables.vm_index.inactive
        for vm in set(self._last_steps) - set(inactive):
            for table in (
                self._last_steps,
                self._reports,
                self._probes,
                self._requested_at,
            ):
                table.pop(vm, None)
        for vm, row in inactive.items():
            if self._last_steps.get(vm, (None, 0.0))[0] != row.revision:
                self._last_steps[vm] = (row.revision, now)
                self._probes.pop(vm, None)

    def _observations(self, now: float) -> dict[VmId, VmObservation]:
        return {
            vm: VmObservation(
                since=now - since,
                report=self._recent_report(vm, now),
                probe=self._probes.get(vm, ProbeResult.PENDING),
            )
            for vm, (_, since) in self._last_steps.items()
        }

    def _recent_report(self, vm: VmId, now: float) -> WorkerReport | None:
        latest = self._reports.get(vm)
        if latest is None:
            return None
        report, sent_at = latest
        return WorkerReport(boot=report.boot, running=report.running, age=now - sent_at)

    def _request_statuses(self, now: float) -> None:
        """Request the status of VMs out of service, least recently asked first.

        At most ``MAX_STATUS_REQUESTS_PER_TICK`` requests are sent.
        """
        inactive = self._replica.tables.vm_index.inactive
        due = [
            vm
            for vm in inactive
            if now - self._requested_at.get(vm, 0.0) >= STATUS_INTERVAL_SECONDS
        ]
        due.sort(key=lambda vm: self._requested_at.get(vm, 0.0))
        for vm in due[:MAX_STATUS_REQUESTS_PER_TICK]:
            self._requested_at[vm] = now
            self._spawner.start_soon(self._request_status, inactive[vm])

    async def _request_status(self, row: VmRow) -> None:
        worker = self._workers.client(self._replica.tables, row.vm)
        if worker is None:
            return
        sent_at = self._clock.now()
        with anyio.move_on_after(self._policy.probe_timeout):
            match await worker.status():
                case Ok(status):
                    report = WorkerReport(
                        boot=status.boot, running=status.running, age=0.0
                    )
                    self._reports[row.vm] = (report, sent_at)
                    if row.state is VmState.PROBING:
                        self._probes[row.vm] = ProbeResult.OK

    def _plan(self, observations: dict[VmId, VmObservation], now: float) -> None:
        for action in self._planner.tick(self._replica.tables, observations, now):
            match action:
                case RebootVm(vm=vm):
                    self._spawner.start_soon(self._reboot, vm)
                case record:
                    self._spawner.start_soon(self._submit, record)

    async def _reboot(self, vm: VmId) -> None:
        listed = self._vm_list.get(vm)
        requested = await self._vms.reboot(vm, listed.generation if listed else None)
        if requested.is_err():
            logger.warning(
                "reboot request for VM %s failed: %s", vm, requested.unwrap_err().detail
            )

    async def _submit(self, record: Record) -> None:
        submitted = await self._replica.submit(record)
        if submitted.is_err():
            logger.info(
                "record of a VM or node not accepted: %s", submitted.unwrap_err()
            )

    def _submit_once(self, key: str, record: Record) -> None:
        """Submit a record, unless one for the same ``key`` was submitted recently."""
        now = self._clock.now()
        if now - self._submitted_at.get(key, -RESUBMIT_SECONDS) >= RESUBMIT_SECONDS:
            self._submitted_at[key] = now
            self._spawner.start_soon(self._submit, record)

    def _apply_vm_list(self, rows: tuple[ListedVm, ...]) -> None:
        self._vm_list = {row.vm: row for row in rows}
        tables = self._replica.tables
        for row in tables.live_nodes():
            listed = self._vm_list.get(VmId(row.node))
            if listed is not None and listed.state is ListedState.GONE:
                record = NodeGone(
                    id=new_record_id(),
                    node=row.node,
                    incarnation=row.incarnation,
                    evidence=Evidence.VM_GONE,
                )
                self._submit_once(f"gone/{row.incarnation}", record)
        for listed in rows:
            self._compare_health(tables.vms.get(listed.vm), listed)

    def _compare_health(self, row: VmRow | None, listed: ListedVm) -> None:
        if row is None or row.state is not VmState.ACTIVE:
            return
        healthy = listed.state is ListedState.LIVE
        if row.healthy != healthy:
            record = VmReport(id=new_record_id(), vm=row.vm, healthy=healthy)
            self._submit_once(f"vm/{row.vm}", record)

    def _reclaim(self, now: float) -> None:
        """Reclaim the units of nodes that are gone, once their leases have expired."""
        for row in list(self._replica.tables.nodes.values()):
            if row.state is not NodeState.GONE:
                continue
            since = self._gone_since.setdefault(row.incarnation, now)
            if now - since >= RECLAIM_DELAY_SECONDS:
                record = NodeReclaimed(
                    id=new_record_id(), node=row.node, incarnation=row.incarnation
                )
                self._submit_once(f"reclaim/{row.incarnation}", record)
