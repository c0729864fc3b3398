"""Operators' records that this node has folded, with their results."""

from collections import OrderedDict

from result import Ok

from hickoryplank.core.fold import FoldResult
from hickoryplank.core.ids import OperatorId, RecordId
from hickoryplank.core.objects import ref_of
from hickoryplank.core.records import (
    Delete,
    EditSet,
    Outcome,
    Put,
    Record,
    VmMoved,
    VmStep,
    WaveChange,
    ZoneEvacuated,
    ZoneRestored,
)
from hickoryplank.operator_api import Action, HistoryEntry

__all__ = ["OperatorHistory", "operator_of", "operator_record_id"]

_MAX_ENTRIES = 512
_MAX_SUMMARY_LINES = 20
_ID_PREFIX = "operator"


def operator_record_id(operator: OperatorId, unique: str) -> RecordId:
    """Return the id of a record that ``operator`` submits."""
    return RecordId(f"{_ID_PREFIX}:{operator}:{unique}")


def operator_of(record_id: RecordId) -> OperatorId | None:
    """Return the operator who submitted a record; ``None`` for other records."""
    match record_id.split(":"):
        case [prefix, operator, _] if prefix == _ID_PREFIX:
            return OperatorId(operator)
        case _:
            return None


class OperatorHistory:
    """The most recent records of operators, by id.

    :param max_entries: the number of records kept; the oldest are evicted.
    """

    def __init__(self, max_entries: int = _MAX_ENTRIES) -> None:
        self._max_entries = max_entries
        self._entries: OrderedDict[RecordId, HistoryEntry] = OrderedDict()

    def note(
        self, record: Record, fold_result: FoldResult, offset: int, at: float
    ) -> None:
        """Keep a folded record if an operator submitted it.

        Of several records with the same id, only the first counts.

        :param offset: the log offset of the record.
        :param at: when the record was folded, in seconds since the epoch.
        """
        operator = operator_of(record.id)
        if operator is None or record.id in self._entries:
            return
        accepted = isinstance(fold_result, Ok)
        self._entries[record.id] = HistoryEntry(
            id=record.id,
            operator=operator,
            action=_action(record),
            summary=_shorten(_summary(record)),
            at=at,
            offset=offset,
            revision=fold_result.ok(),
            faults=() if accepted else fold_result.unwrap_err().faults,
        )
        if len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def find(self, record_id: RecordId) -> HistoryEntry | None:
        """Return the entry of a record, or ``None`` if it is not kept."""
        return self._entries.get(record_id)

    def entries(self) -> tuple[HistoryEntry, ...]:
        """Return all entries, oldest first."""
        return tuple(self._entries.values())


def _action(record: Record) -> Action:
    match record:
        case EditSet():
            return Action.EDIT
        case WaveChange():
            return Action.WAVE
        case Outcome():
            return Action.SETTLE
        case ZoneEvacuated() | ZoneRestored():
            return Action.ZONE
        case _:
            return Action.VM


def _summary(record: Record) -> tuple[str, ...]:
    match record:
        case EditSet(edits=edits):
            return tuple(_edit_summary(edit) for edit in edits)
        case VmStep(vm=vm, state=state):
            return (f"vm {vm} {state.value}",)
        case VmMoved(vm=vm, pool=pool):
            return (f"vm {vm} to pool {pool}",)
        case WaveChange(wave=wave, state=state):
            return (f"wave {wave} {state.value}",)
        case Outcome(claim=claim, kind=kind):
            return (f"claim {claim} {kind.value}",)
        case ZoneEvacuated(zone=zone):
            return (f"zone {zone} evacuated",)
        case ZoneRestored(zone=zone):
            return (f"zone {zone} restored",)
        case _:
            return ()


def _shorten(lines: tuple[str, ...]) -> tuple[str, ...]:
    """Bound the memory that the summary of a large edit set takes."""
    more = len(lines) - _MAX_SUMMARY_LINES
    return (*lines[:_MAX_SUMMARY_LINES], f"and {more} more") if more > 0 else lines


def _edit_summary(edit: Put | Delete) -> str:
    match edit:
        case Put(obj):
            return f"put {ref_of(obj)}"
        case Delete(ref):
            return f"delete {ref}"
