"""The fold: applies log records to the tables deterministically."""

from result import Err, Ok, Result

from hickoryplank.core.claims import (
    apply_claim,
    apply_dispatch,
    apply_outcome,
    forget_claims,
)
from hickoryplank.core.edits import apply_edits, check_edits
from hickoryplank.core.errors import Fault, FaultCode, Refusal
from hickoryplank.core.ids import Incarnation, Revision
from hickoryplank.core.nodes import (
    apply_gone,
    apply_joined,
    apply_left,
    apply_reclaimed,
)
from hickoryplank.core.records import (
    Claim,
    ClaimsForgotten,
    Dispatch,
    EditSet,
    NodeGone,
    NodeJoined,
    NodeLeft,
    NodeReclaimed,
    Outcome,
    Record,
    UnitsMoved,
    UnitsReturned,
    UnitsTaken,
    VmMoved,
    VmReport,
    VmStep,
    WaveChange,
    ZoneEvacuated,
    ZoneRestored,
)
from hickoryplank.core.tables import Tables
from hickoryplank.core.units import apply_moved, apply_returned, apply_taken
from hickoryplank.core.vms import apply_move, apply_report, apply_step, apply_wave
from hickoryplank.core.zones import apply_evacuated, apply_restored

__all__ = ["RECENT_RECORDS", "FoldResult", "fold", "fold_batch"]

#: Number of records whose ids are remembered to detect repeated appends.
RECENT_RECORDS = 16_384

FoldResult = Result[Revision, Refusal]


def fold_batch(
    tables: Tables, offset: int, records: tuple[Record, ...]
) -> list[FoldResult]:
    """Fold the records of the log entry at ``offset``.

    :raises ValueError: if the entry at ``offset`` is already folded.
    """
    if offset < tables.next_offset:
        raise ValueError(f"offset {offset} is already folded")
    tables.next_offset = offset + 1
    return [fold(tables, record) for record in records]


def fold(tables: Tables, record: Record) -> FoldResult:
    """Fold one record, which takes effect completely or not at all.

    :return: the sequence number of an accepted record, or the refusal.
    """
    tables.sequence += 1
    revision = Revision(tables.sequence)
    faults = _check_not_repeated(tables, record) or _apply(tables, record, revision)
    return Err(Refusal(tuple(faults))) if faults else Ok(revision)


def _check_not_repeated(tables: Tables, record: Record) -> list[Fault]:
    if record.since is not None:
        behind = tables.sequence - record.since
        if behind > RECENT_RECORDS:
            message = f"record {record.id} was appended {behind} records late"
            return [Fault(FaultCode.STALE, message)]
    if record.id in tables.recent:
        message = f"record {record.id} is already folded"
        return [Fault(FaultCode.DUPLICATE, message)]
    tables.recent[record.id] = tables.sequence
    if len(tables.recent) > RECENT_RECORDS:
        del tables.recent[next(iter(tables.recent))]
    return []


def _apply(tables: Tables, record: Record, revision: Revision) -> list[Fault]:
    match record:
        case EditSet():
            return _apply_edit_set(tables, record, revision)
        case Claim() | ClaimsForgotten() | Dispatch() | Outcome():
            return _apply_claim_record(tables, record)
        case UnitsTaken() | UnitsMoved() | UnitsReturned():
            return _apply_units_record(tables, record)
        case VmStep() | VmMoved() | VmReport() | WaveChange():
            return _apply_vm_record(tables, record, revision)
        case ZoneEvacuated():
            return apply_evacuated(tables, record, revision)
        case ZoneRestored():
            return apply_restored(tables, record)
        case _:
            return _apply_node_record(tables, record, Incarnation(revision))


def _apply_edit_set(
    tables: Tables, edit_set: EditSet, revision: Revision
) -> list[Fault]:
    faults = check_edits(tables, edit_set)
    if not faults:
        apply_edits(tables, edit_set, revision)
    return faults


def _apply_claim_record(
    tables: Tables, record: Claim | ClaimsForgotten | Dispatch | Outcome
) -> list[Fault]:
    match record:
        case Claim():
            return apply_claim(tables, record)
        case Dispatch():
            return apply_dispatch(tables, record)
        case Outcome():
            return apply_outcome(tables, record)
        case ClaimsForgotten():
            return forget_claims(tables, record)


def _apply_units_record(
    tables: Tables, record: UnitsTaken | UnitsMoved | UnitsReturned
) -> list[Fault]:
    match record:
        case UnitsTaken():
            return apply_taken(tables, record)
        case UnitsMoved():
            return apply_moved(tables, record)
        case UnitsReturned():
            return apply_returned(tables, record)


def _apply_vm_record(
    tables: Tables,
    record: VmStep | VmMoved | VmReport | WaveChange,
    revision: Revision,
) -> list[Fault]:
    match record:
        case VmStep():
            return apply_step(tables, record, revision)
        case VmMoved():
            return apply_move(tables, record, revision)
        case VmReport():
            return apply_report(tables, record, revision)
        case WaveChange():
            return apply_wave(tables, record)


def _apply_node_record(
    tables: Tables,
    record: NodeJoined | NodeLeft | NodeGone | NodeReclaimed,
    incarnation: Incarnation,
) -> list[Fault]:
    match record:
        case NodeJoined():
            return apply_joined(tables, record, incarnation)
        case NodeLeft():
            return apply_left(tables, record)
        case NodeGone():
            return apply_gone(tables, record)
        case NodeReclaimed():
            return apply_reclaimed(tables, record)
