"""Atomic edit sets of the configuration, with optimistic concurrency control."""

from collections import Counter
from collections.abc import Mapping

from hickoryplank.core.checks import check_objects
from hickoryplank.core.errors import Fault, FaultCode
from hickoryplank.core.ids import PoolId, Revision, VmId
from hickoryplank.core.objects import (
    ConfigObject,
    Endpoint,
    Kind,
    Pool,
    Ref,
    ref_of,
    references_of,
)
from hickoryplank.core.overlay import OverlaidObjects
from hickoryplank.core.records import BaseRevision, Delete, EditSet, Put, VmState
from hickoryplank.core.tables import ObjectRow, Tables, VmRow

__all__ = ["apply_edits", "base_for", "check_edits"]


def _edited_refs(edits: tuple[Put | Delete, ...]) -> list[Ref]:
    return [_ref(edit) for edit in edits]


def _ref(edit: Put | Delete) -> Ref:
    match edit:
        case Put(obj):
            return ref_of(obj)
        case Delete(ref):
            return ref


def base_for(
    tables: Tables, edits: tuple[Put | Delete, ...]
) -> tuple[BaseRevision, ...]:
    """Return the revisions of all objects that ``edits`` change or refer to."""
    refs = set(_edited_refs(edits))
    for edit in edits:
        if isinstance(edit, Put):
            refs.update(references_of(edit.obj))
    return tuple(
        BaseRevision(ref, _revision(tables, ref)) for ref in sorted(refs, key=str)
    )


def _revision(tables: Tables, ref: Ref) -> Revision:
    row = tables.find(ref)
    return row.revision if row else Revision(0)


def check_edits(tables: Tables, edit_set: EditSet) -> list[Fault]:
    """Return every fault of ``edit_set`` against ``tables``.

    A set carries the revisions that its author read. Of two sets that race to
    change one object, the second is refused with the objects that have changed.
    """
    faults = _check_author(tables, edit_set)
    faults.extend(_check_structure(edit_set))
    faults.extend(_check_base(tables, edit_set))
    objects = _overlay(tables, edit_set.edits)
    faults.extend(check_objects(objects, _edited_refs(edit_set.edits)))
    faults.extend(_check_vms(tables, edit_set))
    faults.extend(_check_budgets(tables, edit_set, objects))
    return faults


def _check_author(tables: Tables, edit_set: EditSet) -> list[Fault]:
    if edit_set.author is None or tables.is_live(edit_set.author):
        return []
    message = f"author incarnation {edit_set.author} of the edit set is not live"
    return [Fault(FaultCode.NOT_LIVE, message)]


def _check_structure(edit_set: EditSet) -> list[Fault]:
    faults = []
    if not edit_set.edits:
        faults.append(Fault(FaultCode.EMPTY, "the edit set contains no edits"))
    refs = _edited_refs(edit_set.edits)
    repeated = [ref for ref, times in Counter(refs).items() if times > 1]
    for ref in sorted(repeated, key=str):
        message = f"{ref} is edited more than once in the edit set"
        faults.append(Fault(FaultCode.DUPLICATE, message, ref))
    return faults


def _check_base(tables: Tables, edit_set: EditSet) -> list[Fault]:
    faults = []
    base_refs = {base.ref for base in edit_set.base}
    for base in edit_set.base:
        current = _revision(tables, base.ref)
        if current != base.revision:
            message = (
                f"{base.ref} was read at revision {base.revision}"
                f" and is at {current} now"
            )
            faults.append(Fault(FaultCode.CONFLICT, message, base.ref))
    for ref in _edited_refs(edit_set.edits):
        if ref not in base_refs:
            message = f"{ref} is edited without a base revision"
            faults.append(Fault(FaultCode.CONFLICT, message, ref))
    return faults


def _overlay(
    tables: Tables, edits: tuple[Put | Delete, ...]
) -> dict[Kind, OverlaidObjects]:
    edited: dict[Kind, dict[str, ConfigObject | None]] = {kind: {} for kind in Kind}
    for edit in edits:
        ref = _ref(edit)
        edited[ref.kind][ref.name] = edit.obj if isinstance(edit, Put) else None
    return {
        kind: OverlaidObjects(rows, edited[kind])
        for kind, rows in tables.objects.items()
    }


def _check_vms(tables: Tables, edit_set: EditSet) -> list[Fault]:
    faults = []
    for edit in edit_set.edits:
        match edit:
            case Delete(ref):
                faults.extend(_check_delete(tables, ref))
            case Put(Endpoint() as endpoint):
                faults.extend(_check_replace(tables, endpoint))
    return faults


def _check_delete(tables: Tables, ref: Ref) -> list[Fault]:
    if tables.find(ref) is None:
        return [Fault(FaultCode.CONFLICT, f"{ref} does not exist", ref)]
    if ref.kind is Kind.POOL:
        members = [row.vm for row in tables.members(ref.name)]
        if members:
            message = f"{ref} still has {len(members)} VMs; move them first"
            return [Fault(FaultCode.STILL_REFERENCED, message, ref)]
    row = tables.vms.get(ref.name) if ref.kind is Kind.ENDPOINT else None
    if row is not None and row.healthy and row.state is not VmState.DRAINED:
        message = f"{ref} is {row.state.value}; drain it before deleting it"
        return [Fault(FaultCode.IN_SERVICE, message, ref)]
    return []


def _check_replace(tables: Tables, endpoint: Endpoint) -> list[Fault]:
    old = tables.endpoint_of(endpoint.name)
    if old is None:
        return []
    ref = ref_of(endpoint)
    if old.pool != endpoint.pool:
        message = f"{ref}: pool cannot be edited from {old.pool!r}; use 'move'"
        return [Fault(FaultCode.BAD_VALUE, message, ref, "pool")]
    row = tables.vms[endpoint.name]
    if old.address != endpoint.address and row.state is not VmState.DRAINED:
        message = f"{ref}: address can be edited only while the VM is drained"
        return [Fault(FaultCode.IN_SERVICE, message, ref, "address")]
    return []


def _check_budgets(
    tables: Tables, edit_set: EditSet, objects: Mapping[Kind, OverlaidObjects]
) -> list[Fault]:
    changes = _size_changes(tables, edit_set, objects)
    faults = []
    for name in objects[Kind.POOL]:
        if name not in changes:
            continue
        pool = objects[Kind.POOL][name]
        size = len(tables.members(pool.name)) + changes[pool.name]
        if size and pool.min_available >= size:
            message = (
                f"pool {name}: min_available {pool.min_available} of {size} VMs"
                " leaves no VM to drain"
            )
            ref = Ref(Kind.POOL, name)
            faults.append(Fault(FaultCode.BUDGET, message, ref, "min_available"))
    return faults


def _size_changes(
    tables: Tables, edit_set: EditSet, objects: Mapping[Kind, OverlaidObjects]
) -> Counter[PoolId]:
    """Return the change in VMs of each pool whose size or budget the set edits."""
    changes: Counter[PoolId] = Counter()
    for ref in set(_edited_refs(edit_set.edits)):
        if ref.kind is Kind.POOL:
            changes[PoolId(ref.name)] += 0
        if ref.kind is not Kind.ENDPOINT:
            continue
        old = tables.endpoint_of(VmId(ref.name))
        new = objects[Kind.ENDPOINT].get(ref.name)
        if old is not None:
            changes[old.pool] -= 1
        if new is not None:
            changes[new.pool] += 1
    return changes


def apply_edits(tables: Tables, edit_set: EditSet, revision: Revision) -> None:
    """Apply an edit set that has passed ``check_edits``."""
    for edit in edit_set.edits:
        match edit:
            case Put(obj):
                _apply_put(tables, obj, revision)
            case Delete(ref):
                del tables.objects[ref.kind][ref.name]
                if ref.kind is Kind.ENDPOINT:
                    tables.remove_vm(ref.name)
    tables.revision = revision


def _apply_put(tables: Tables, obj: ConfigObject, revision: Revision) -> None:
    ref = ref_of(obj)
    tables.objects[ref.kind][ref.name] = ObjectRow(obj, revision)
    if isinstance(obj, Endpoint) and obj.name not in tables.vms:
        tables.add_vm(_new_vm(obj, revision))
    elif isinstance(obj, Endpoint) and tables.evacuated_zones:
        tables.vm_index.mark_changed(obj.pool, tables.sequence)
    if isinstance(obj, Pool):
        tables.vm_index.mark_changed(obj.name, tables.sequence)


def _new_vm(endpoint: Endpoint, revision: Revision) -> VmRow:
    return VmRow(
        vm=endpoint.name,
        pool=endpoint.pool,
        state=VmState.ACTIVE,
        healthy=True,
        revision=revision,
    )
