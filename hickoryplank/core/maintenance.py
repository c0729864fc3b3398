"""Planning of maintenance: the next step of each VM that is out of service."""

from collections.abc import Callable, Iterator, Mapping
from enum import Enum

import msgspec

from hickoryplank.core.ids import OperatorId, PoolId, RecordId, VmId, WaveId
from hickoryplank.core.objects import Kind
from hickoryplank.core.outstanding import OutstandingProposals
from hickoryplank.core.records import (
    VmMoved,
    VmReport,
    VmState,
    VmStep,
    WaveChange,
    WaveState,
)
from hickoryplank.core.tables import Tables, VmRow
from hickoryplank.core.vms import budget_of, check_move, in_service
from hickoryplank.core.waves import WaveProgress, is_standby

__all__ = [
    "CheckpointBatch",
    "MaintenancePolicy",
    "MaintenancePlanner",
    "ProbeResult",
    "Proposal",
    "RebootVm",
    "VmObservation",
    "WorkerReport",
    "is_drained",
    "overdue_drains",
]

_PLANNER_OPERATOR = OperatorId("maintenance")


class MaintenancePolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Time-outs and retry limits of maintenance; all times are in seconds.

    :param in_force_delay: time after which a folded step is in force on every node;
        until then a node with an older view may still start work on a leaving VM.
    :param drain_timeout: time after which batch work on a leaving VM is
        checkpointed.
    :param silence_timeout: time after which a failed VM that does not report counts as
        drained; longer than the longest lease.
    :param reboot_timeout: time after which a VM that has not come back from a
        reboot is reported as failed.
    :param probe_timeout: time after which a missing answer is a failed probe.
    :param backoff: wait before the second reboot; doubles with each further one.
    :param max_backoff: longest wait before a reboot.
    :param max_reboots: number of failed reboots after which a VM is reported as
        failed.
    :param retry_interval: wait before a proposal is repeated.
    """

    in_force_delay: float = 2.5
    drain_timeout: float = 30.0
    silence_timeout: float = 120.0
    reboot_timeout: float = 600.0
    probe_timeout: float = 60.0
    backoff: float = 15.0
    max_backoff: float = 900.0
    max_reboots: int = 3
    retry_interval: float = 5.0


class ProbeResult(Enum):
    """Result of the last probe of a rebooted VM."""

    PENDING = "pending"
    OK = "ok"
    FAILED = "failed"


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """Status reported by a worker.

    :param boot: boot id of the worker.
    :param running: number of tasks that run on the worker.
    :param age: seconds since the status was requested.
    """

    boot: str
    running: int
    age: float


class VmObservation(msgspec.Struct, frozen=True, kw_only=True):
    """A node's observations of a VM that is not in state ``ACTIVE``.

    :param since: seconds since the node folded the VM's last step.
    :param report: the last report of the worker, if there is any.
    :param probe: result of the last probe since that step.
    """

    since: float
    report: WorkerReport | None = None
    probe: ProbeResult = ProbeResult.PENDING


class RebootVm(msgspec.Struct, frozen=True, tag="reboot_vm"):
    """Request to the platform to reboot a VM, if it is still in boot ``boot``."""

    vm: VmId
    boot: str


class CheckpointBatch(msgspec.Struct, frozen=True, tag="checkpoint_batch"):
    """Request to checkpoint the batch work that this node runs on a VM."""

    vm: VmId


Proposal = VmStep | VmMoved | VmReport | WaveChange | RebootVm


def is_drained(
    row: VmRow, observation: VmObservation, policy: MaintenancePolicy
) -> bool:
    """Return whether a leaving VM runs no work and no more can start on it.

    The report must have been requested after the last time at which a node with
    an older view may have started work.
    """
    report = observation.report
    if report is not None and observation.since - report.age >= policy.in_force_delay:
        return report.running == 0
    return not row.healthy and observation.since >= policy.silence_timeout


def overdue_drains(
    tables: Tables,
    observations: Mapping[VmId, VmObservation],
    policy: MaintenancePolicy,
) -> list[CheckpointBatch]:
    """Return the leaving VMs whose drain has timed out.

    Each node checkpoints the batch work that it runs itself on these VMs; urgent
    work is left to finish.
    """
    timed_out = []
    for vm, row in tables.vm_index.inactive.items():
        if row.state is not VmState.LEAVING or vm not in observations:
            continue
        drain_timed_out = observations[vm].since >= policy.drain_timeout
        if drain_timed_out and not is_paused(tables, row):
            timed_out.append(CheckpointBatch(vm))
    return timed_out


def is_paused(tables: Tables, row: VmRow) -> bool:
    """Return whether the VM's wave is paused."""
    return _wave_state(tables, row) is WaveState.PAUSED


def _wave_state(tables: Tables, row: VmRow) -> WaveState | None:
    wave = tables.waves.get(row.wave) if row.wave else None
    return wave.state if wave else None


class MaintenancePlanner:
    """Proposes maintenance records for the VMs that are not in state ``ACTIVE``.

    All lasting state is in the tables; a planner keeps only caches. Any number of
    nodes may therefore run planners at once and replace them at any time; the
    fold refuses stale proposals. The cost of a tick depends on the number of
    changes, not on the size of the fleet.

    :param new_id: returns a new unique record id.
    """

    def __init__(
        self, policy: MaintenancePolicy, new_id: Callable[[], RecordId]
    ) -> None:
        self._policy = policy
        self._new_id = new_id
        self._sequence = -1
        self._progress: dict[WaveId, WaveProgress] = {}
        self._outstanding = OutstandingProposals(policy.retry_interval)
        self._reboot_requested_at: dict[VmId, float] = {}
        self._done_proposed_at: dict[WaveId, float] = {}

    def tick(
        self, tables: Tables, observations: Mapping[VmId, VmObservation], now: float
    ) -> list[Proposal]:
        """Return the records to append and the reboots to request now.

        :param observations: observations of each VM that is not in state ``ACTIVE``.
        :param now: monotonic time, in seconds.
        """
        self._forget(tables, now)
        proposals = list(self._return_for_budget(tables, now))
        for vm, row in list(tables.vm_index.inactive.items()):
            if vm in observations and not self._outstanding.is_pending(row):
                proposals.extend(self._next_step(tables, row, observations[vm], now))
        proposals.extend(self._run_waves(tables, observations, now))
        self._sequence = tables.sequence
        return proposals

    def _forget(self, tables: Tables, now: float) -> None:
        for row in self._outstanding.discard_finished(tables, now):
            for progress in self._progress.values():
                progress.recheck(row.pool)

    def _step(
        self,
        row: VmRow,
        state: VmState,
        now: float,
        wave: WaveId | None = None,
        boot: str = "",
    ) -> VmStep:
        self._outstanding.note(row, now)
        return VmStep(
            id=self._new_id(),
            vm=row.vm,
            revision=row.revision,
            state=state,
            wave=wave,
            boot=boot,
        )

    def _report(self, row: VmRow, healthy: bool, now: float) -> VmReport:
        self._outstanding.note(row, now)
        return VmReport(id=self._new_id(), vm=row.vm, healthy=healthy)

    def _return_for_budget(self, tables: Tables, now: float) -> Iterator[VmStep]:
        """Return VMs to service where failures have violated a budget."""
        shortfall: dict[PoolId, int] = {}
        for row in tables.vm_index.inactive.values():
            if not _can_return(row) or self._outstanding.is_pending(row):
                continue
            if tables.is_evacuated(row.vm):
                continue
            if row.pool not in shortfall:
                budget = budget_of(tables, row.pool)
                shortfall[row.pool] = budget - in_service(tables, row.pool)
            if shortfall[row.pool] > 0:
                shortfall[row.pool] -= 1
                yield self._step(row, VmState.ACTIVE, now)

    def _next_step(
        self, tables: Tables, row: VmRow, observation: VmObservation, now: float
    ) -> Iterator[Proposal]:
        match row.state:
            case VmState.LEAVING:
                if _wave_state(tables, row) is WaveState.CANCELLED:
                    yield self._step(row, VmState.ACTIVE, now)
                elif is_drained(row, observation, self._policy) and not is_paused(
                    tables, row
                ):
                    yield self._step(row, VmState.DRAINED, now)
            case VmState.DRAINED:
                yield from self._step_from_drained(tables, row, observation, now)
            case VmState.REBOOTING:
                yield from self._step_from_rebooting(row, observation, now)
            case VmState.PROBING:
                yield from self._step_from_probing(row, observation, now)

    def _step_from_drained(
        self, tables: Tables, row: VmRow, observation: VmObservation, now: float
    ) -> Iterator[Proposal]:
        match _wave_state(tables, row):
            case WaveState.RUNNING | WaveState.DONE:
                boot = _reported_boot(observation)
                yield self._step(row, VmState.REBOOTING, now, boot=boot)
            case WaveState.CANCELLED:
                yield self._step(row, VmState.ACTIVE, now)
            case None if row.target is not None:
                yield from self._step_towards_target(tables, row, now)

    def _step_towards_target(
        self, tables: Tables, row: VmRow, now: float
    ) -> Iterator[VmStep | VmMoved]:
        pool = tables.objects[Kind.POOL].get(row.target)
        if row.target == row.pool:
            if pool is None or not pool.obj.spare:
                yield self._step(row, VmState.ACTIVE, now)
            return
        if pool is None or check_move(tables, row, row.target):
            yield self._step(row, VmState.ACTIVE, now)
            return
        self._outstanding.note(row, now)
        yield VmMoved(
            id=self._new_id(), vm=row.vm, revision=row.revision, pool=row.target
        )

    def _step_from_rebooting(
        self, row: VmRow, observation: VmObservation, now: float
    ) -> Iterator[Proposal]:
        if _has_rebooted(row, observation):
            yield self._step(row, VmState.PROBING, now)
        elif row.healthy and observation.since >= self._policy.reboot_timeout:
            yield self._report(row, False, now)
        elif (
            now - self._reboot_requested_at.get(row.vm, -self._policy.retry_interval)
            >= self._policy.retry_interval
        ):
            self._reboot_requested_at[row.vm] = now
            yield RebootVm(row.vm, row.boot)

    def _step_from_probing(
        self, row: VmRow, observation: VmObservation, now: float
    ) -> Iterator[Proposal]:
        if observation.probe is ProbeResult.OK:
            if not row.healthy:
                yield self._report(row, True, now)
            elif observation.since >= self._reboot_request_lifetime(row):
                yield self._step(row, VmState.ACTIVE, now)
            return
        silent = observation.since >= self._policy.probe_timeout
        if observation.probe is not ProbeResult.FAILED and not silent:
            return
        if row.healthy and row.reboots >= self._policy.max_reboots:
            yield self._report(row, False, now)
        elif observation.since >= self._backoff(row.reboots):
            yield self._step(
                row, VmState.REBOOTING, now, boot=_reported_boot(observation)
            )

    def _reboot_request_lifetime(self, row: VmRow) -> float:
        """Return how long a reboot request for the VM may still be in flight.

        Without the boot id from before the request, there is no way to tell
        whether the reboot has already happened.
        """
        return self._policy.in_force_delay if row.boot else self._policy.silence_timeout

    def _backoff(self, reboots: int) -> float:
        wait = self._policy.backoff * 2 ** min(max(0, reboots - 1), 16)
        return min(wait, self._policy.max_backoff)

    def _has_given_up(self, row: VmRow) -> bool:
        out = row.state in (VmState.REBOOTING, VmState.PROBING)
        return out and not row.healthy

    def _run_waves(
        self, tables: Tables, observations: Mapping[VmId, VmObservation], now: float
    ) -> Iterator[Proposal]:
        changed = list(tables.vm_index.changed_since(self._sequence))
        for wave in tables.waves.values():
            if wave.state in (WaveState.CANCELLED, WaveState.DONE):
                self._progress.pop(wave.wave, None)
                self._done_proposed_at.pop(wave.wave, None)
                continue
            if wave.wave not in self._progress:
                self._progress[wave.wave] = WaveProgress(wave, self._has_given_up)
            progress = self._progress[wave.wave]
            progress.refresh(wave, changed)
            for row in progress.next_to_drain(tables, self._outstanding.is_pending):
                yield from self._propose_drain(row, wave.wave, observations, now)
                progress.recheck(row.pool)
            if progress.finished and wave.state is WaveState.RUNNING:
                yield from self._complete_wave(wave.wave, now)

    def _propose_drain(
        self,
        row: VmRow,
        wave: WaveId,
        observations: Mapping[VmId, VmObservation],
        now: float,
    ) -> Iterator[VmStep]:
        if not is_standby(row):
            yield self._step(row, VmState.LEAVING, now, wave=wave)
        elif row.vm in observations:
            boot = _reported_boot(observations[row.vm])
            yield self._step(row, VmState.REBOOTING, now, wave=wave, boot=boot)

    def _complete_wave(self, wave: WaveId, now: float) -> Iterator[WaveChange]:
        if (
            now - self._done_proposed_at.get(wave, -self._policy.retry_interval)
            < self._policy.retry_interval
        ):
            return
        self._done_proposed_at[wave] = now
        yield WaveChange(
            id=self._new_id(),
            wave=wave,
            operator=_PLANNER_OPERATOR,
            state=WaveState.DONE,
        )


def _can_return(row: VmRow) -> bool:
    """Return whether a healthy VM in a planned drain can return to service."""
    planned = row.wave is not None or row.target is not None
    stopped = row.state not in (VmState.LEAVING, VmState.DRAINED)
    return row.healthy and planned and not stopped


def _reported_boot(observation: VmObservation) -> str:
    return observation.report.boot if observation.report else ""


def _has_rebooted(row: VmRow, observation: VmObservation) -> bool:
    """Return whether a report requested after the step shows another boot id."""
    report = observation.report
    if report is None or report.age >= observation.since:
        return False
    return bool(report.boot) and report.boot != row.boot
