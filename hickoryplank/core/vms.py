"""Records of VMs and waves, applied within the availability budgets."""

import msgspec

from hickoryplank.core.errors import Fault, FaultCode
from hickoryplank.core.ids import PoolId, Revision
from hickoryplank.core.objects import Kind, Pool
from hickoryplank.core.records import (
    VmMoved,
    VmReport,
    VmState,
    VmStep,
    WaveChange,
    WaveState,
)
from hickoryplank.core.tables import ObjectRow, Tables, VmRow, WaveRow

__all__ = [
    "apply_move",
    "apply_report",
    "apply_step",
    "apply_wave",
    "budget_of",
    "check_move",
    "in_service",
]

_NEXT_STATES = {
    VmState.ACTIVE: {VmState.LEAVING},
    VmState.LEAVING: {VmState.DRAINED, VmState.ACTIVE},
    VmState.DRAINED: {VmState.REBOOTING, VmState.ACTIVE},
    VmState.REBOOTING: {VmState.PROBING},
    VmState.PROBING: {VmState.ACTIVE, VmState.REBOOTING},
}

_NEXT_WAVE_STATES = {
    WaveState.RUNNING: {WaveState.PAUSED, WaveState.CANCELLED, WaveState.DONE},
    WaveState.PAUSED: {WaveState.RUNNING, WaveState.CANCELLED},
    WaveState.CANCELLED: set(),
    WaveState.DONE: set(),
}


def budget_of(tables: Tables, pool: PoolId) -> int:
    """Return the availability budget of ``pool``: the VMs to keep in service."""
    row = tables.objects[Kind.POOL].get(pool)
    return row.obj.min_available if row and isinstance(row.obj, Pool) else 0


def in_service(tables: Tables, pool: PoolId) -> int:
    """Return how many VMs of ``pool`` are in service and take work.

    VMs in an evacuated zone don't count, as failed ones don't.
    """
    return sum(tables.takes_work(row) for row in tables.members(pool))


def apply_step(tables: Tables, record: VmStep, revision: Revision) -> list[Fault]:
    """Apply a maintenance step of a VM, if the budget of its pool permits it."""
    row = tables.vms.get(record.vm)
    faults = _check_revision(row, record.revision, record.vm)
    if row is None or faults:
        return faults
    if record.state not in _NEXT_STATES[row.state]:
        message = f"VM {row.vm} cannot change from {row.state.value} to"
        return [Fault(FaultCode.WRONG_STATE, f"{message} {record.state.value}")]
    faults = _check_wave(tables, record) or _check_leave(tables, row, record)
    if faults:
        return faults
    _take_step(tables, row, record)
    row.state = record.state
    row.revision = revision
    tables.vm_index.update(row, tables.sequence)
    return []


def _take_step(tables: Tables, row: VmRow, record: VmStep) -> None:
    match record.state:
        case VmState.LEAVING:
            row.wave = record.wave
            row.target = record.target
        case VmState.REBOOTING:
            row.wave = record.wave or row.wave
            row.boot = record.boot
            row.reboots += 1
        case VmState.ACTIVE:
            _finish(tables, row)


def _check_revision(row: VmRow | None, revision: Revision, vm: str) -> list[Fault]:
    if row is None:
        return [Fault(FaultCode.MISSING_REFERENCE, f"VM {vm} does not exist")]
    if row.revision != revision:
        message = f"VM {vm} was read at revision {revision} but is at {row.revision}"
        return [Fault(FaultCode.STALE, message)]
    return []


def _check_wave(tables: Tables, record: VmStep) -> list[Fault]:
    if record.wave is None:
        return []
    wave = tables.waves.get(record.wave)
    if wave is None or wave.state is not WaveState.RUNNING:
        message = f"wave {record.wave} is not running"
        return [Fault(FaultCode.WRONG_STATE, message)]
    return []


def _check_leave(tables: Tables, row: VmRow, record: VmStep) -> list[Fault]:
    if record.state is not VmState.LEAVING:
        return []
    if record.target is not None and record.target not in tables.objects[Kind.POOL]:
        message = f"pool {record.target} does not exist"
        return [Fault(FaultCode.MISSING_REFERENCE, message)]
    if record.target is not None and tables.is_evacuated(row.vm):
        return [_evacuated_fault(tables, row)]
    available = in_service(tables, row.pool)
    budget = budget_of(tables, row.pool)
    if tables.takes_work(row) and available - 1 < budget:
        message = (
            f"pool {row.pool} has {available} VMs in service and needs {budget};"
            f" VM {row.vm} cannot leave now"
        )
        return [Fault(FaultCode.BUDGET, message)]
    return []


def _finish(tables: Tables, row: VmRow) -> None:
    wave = tables.waves.get(row.wave) if row.wave else None
    if wave is not None and row.state is VmState.PROBING:
        wave.done.append(row.vm)
    row.wave = None
    row.target = None
    row.boot = ""
    row.reboots = 0


def apply_move(tables: Tables, record: VmMoved, revision: Revision) -> list[Fault]:
    """Move a drained VM to another pool, if the budgets of both pools permit it."""
    row = tables.vms.get(record.vm)
    faults = _check_revision(row, record.revision, record.vm)
    if row is None or faults:
        return faults
    if record.pool not in tables.objects[Kind.POOL]:
        message = f"pool {record.pool} does not exist"
        return [Fault(FaultCode.MISSING_REFERENCE, message)]
    if row.state is not VmState.DRAINED:
        message = f"VM {row.vm} is {row.state.value}; only a drained VM can move"
        return [Fault(FaultCode.WRONG_STATE, message)]
    faults = check_move(tables, row, record.pool)
    if faults:
        return faults
    old, row.pool = row.pool, record.pool
    row.target = record.pool
    row.revision = revision
    tables.vm_index.move(row, old, tables.sequence)
    endpoint = tables.endpoint_of(row.vm)
    moved = msgspec.structs.replace(endpoint, pool=record.pool)
    tables.objects[Kind.ENDPOINT][row.vm] = ObjectRow(moved, revision)
    return []


def check_move(tables: Tables, row: VmRow, pool: PoolId) -> list[Fault]:
    """Return the faults of a move of a VM to ``pool``.

    Both pools must still be able to drain a VM within their budgets afterwards, and
    no pool gets a VM in an evacuated zone, where it could not work.
    """
    if tables.is_evacuated(row.vm):
        return [_evacuated_fault(tables, row)]
    left = len(tables.members(row.pool)) - 1
    budget = budget_of(tables, row.pool)
    if left and left <= budget or left < budget:
        message = f"pool {row.pool} would have {left} VMs for a budget of {budget}"
        return [Fault(FaultCode.BUDGET, message)]
    joined = len(tables.members(pool)) + 1
    budget = budget_of(tables, pool)
    if pool != row.pool and joined <= budget:
        message = f"pool {pool} would have {joined} VMs for a budget of {budget}"
        return [Fault(FaultCode.BUDGET, message)]
    return []


def _evacuated_fault(tables: Tables, row: VmRow) -> Fault:
    zone = tables.endpoint_of(row.vm).zone
    message = (
        f"VM {row.vm} cannot move to another pool while its availability zone {zone}"
        " is evacuated; restore the zone first"
    )
    return Fault(FaultCode.WRONG_STATE, message)


def apply_report(tables: Tables, record: VmReport, revision: Revision) -> list[Fault]:
    """Record that a VM failed or recovered; failures count against the budget."""
    row = tables.vms.get(record.vm)
    if row is None:
        return [Fault(FaultCode.MISSING_REFERENCE, f"VM {record.vm} does not exist")]
    if row.healthy != record.healthy:
        row.healthy = record.healthy
        row.revision = revision
        tables.vm_index.update(row, tables.sequence)
    return []


def apply_wave(tables: Tables, record: WaveChange) -> list[Fault]:
    """Start, pause, resume, cancel or complete a maintenance wave."""
    row = tables.waves.get(record.wave)
    if row is None:
        return _start_wave(tables, record)
    if record.state not in _NEXT_WAVE_STATES[row.state]:
        message = f"wave {row.wave} is {row.state.value} and cannot become"
        return [Fault(FaultCode.WRONG_STATE, f"{message} {record.state.value}")]
    row.state = record.state
    return []


def _start_wave(tables: Tables, record: WaveChange) -> list[Fault]:
    if record.state is not WaveState.RUNNING or not record.pools:
        message = f"wave {record.wave} does not exist; a new wave needs pools"
        return [Fault(FaultCode.WRONG_STATE, message)]
    unknown = [pool for pool in record.pools if pool not in tables.objects[Kind.POOL]]
    if unknown:
        message = f"wave {record.wave} names unknown pools: {', '.join(unknown)}"
        return [Fault(FaultCode.MISSING_REFERENCE, message)]
    tables.waves[record.wave] = WaveRow(record.wave, record.pools, WaveState.RUNNING)
    return []
