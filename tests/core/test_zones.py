"""Tests of evacuated zones: the records, budgets, moves, and snapshots."""

import msgspec
import pytest

from hickoryplank.core.errors import FaultCode
from hickoryplank.core.fold import fold
from hickoryplank.core.objects import Endpoint, Kind, Pool, Ref
from hickoryplank.core.records import (
    Delete,
    Put,
    VmMoved,
    VmReport,
    VmState,
    VmStep,
    ZoneEvacuated,
    ZoneRestored,
    decode_batch,
    encode_batch,
)
from hickoryplank.core.snapshots import load_newest, split_into_chunks
from hickoryplank.core.tables import Tables, decode_tables, encode_tables
from hickoryplank.core.vms import in_service
from hickoryplank.core.zones import known_zones
from tests.core.builders import edit_set, join_node, new_id, small_fleet, tables_with

ZONE, OTHER = "talcahuano", "lota"


def evacuate(zone=ZONE) -> ZoneEvacuated:
    return ZoneEvacuated(id=new_id(), zone=zone)


def restore(zone=ZONE) -> ZoneRestored:
    return ZoneRestored(id=new_id(), zone=zone)


def endpoint(vm: str, zone: str, pool: str = "rondas-norte") -> Endpoint:
    address = f"127.0.0.1:{9100 + int(vm.removeprefix('vm-'))}"
    return Endpoint(name=vm, address=address, pool=pool, zone=zone, rack="rack-9")


def two_zones(budget: int = 4) -> Tables:
    """Return tables with vm-0 to vm-5 in one zone and vm-6 to vm-9 in another."""
    others = [endpoint(f"vm-{i}", OTHER) for i in range(6, 10)]
    spare = Pool(name="spare", spare=True)
    return tables_with([*small_fleet(budget=budget), *others, spare])


def snapshot_of(tables: Tables) -> Tables:
    return load_newest(split_into_chunks(tables, writer=1)).unwrap()


def step(tables: Tables, vm: str, state: VmState, target: str | None = None):
    revision = tables.vms[vm].revision
    record = VmStep(id=new_id(), vm=vm, revision=revision, state=state, target=target)
    return fold(tables, record)


def move(tables: Tables, vm: str, pool: str = "spare"):
    revision = tables.vms[vm].revision
    return fold(tables, VmMoved(id=new_id(), vm=vm, revision=revision, pool=pool))


@pytest.mark.parametrize("restarted", [False, True])
@pytest.mark.parametrize(
    ("records", "evacuated"),
    [
        ([], set()),
        ([evacuate()], {ZONE}),
        ([evacuate(), evacuate()], {ZONE}),
        ([evacuate(), evacuate(OTHER)], {ZONE, OTHER}),
        ([restore()], set()),
        ([evacuate(), restore()], set()),
        ([evacuate(), restore(), restore()], set()),
        ([evacuate(), restore(), evacuate()], {ZONE}),
        ([evacuate(), evacuate(OTHER), restore()], {OTHER}),
    ],
)
def test_zone_is_evacuated_from_its_record_until_it_is_restored(
    records, evacuated, restarted
):
    tables = two_zones()
    for record in records:
        if restarted:
            tables = snapshot_of(tables)
        fold(tables, msgspec.structs.replace(record, id=new_id())).unwrap()
    found = snapshot_of(tables) if restarted else tables
    assert set(found.evacuated_zones or ()) == evacuated
    assert {vm for vm in found.vms if found.is_evacuated(vm)} == {
        vm for vm in found.vms if found.endpoint_of(vm).zone in evacuated
    }
    assert in_service(found, "rondas-norte") == sum(
        found.endpoint_of(vm).zone not in evacuated for vm in found.vms
    )
    assert found.digest() == tables.digest()


def test_repeated_evacuation_keeps_the_revision_of_the_first():
    tables = two_zones()
    first = fold(tables, evacuate()).unwrap()
    fold(tables, evacuate()).unwrap()
    assert tables.evacuated_zones == {ZONE: first}


@pytest.mark.parametrize("record", [evacuate("penco"), restore("penco"), evacuate("")])
def test_unknown_zone_is_refused_with_its_name_and_the_known_ones(record):
    tables = two_zones()
    join_node(tables, "entry-1")
    (fault,) = fold(tables, record).unwrap_err().faults
    assert fault.code is FaultCode.MISSING_REFERENCE
    assert f"availability zone {record.zone!r} has no VM" in fault.message
    assert fault.message.endswith(f"expected one of: {OTHER}, {ZONE}")
    assert tables.evacuated_zones is msgspec.UNSET


def test_zones_of_vms_nodes_and_evacuations_are_known():
    tables = Tables()
    assert known_zones(tables) == []
    assert fold(tables, evacuate()).is_err()
    join_node(tables, "entry-1")
    assert known_zones(tables) == [ZONE]
    tables = two_zones()
    fold(tables, evacuate(OTHER)).unwrap()
    for vm in ("vm-6", "vm-7", "vm-8", "vm-9"):
        fold(tables, VmReport(id=new_id(), vm=vm, healthy=False)).unwrap()
        delete = Delete(Ref(Kind.ENDPOINT, vm))
        fold(tables, edit_set(tables, delete)).unwrap()
    assert known_zones(tables) == [OTHER, ZONE]
    fold(tables, restore(OTHER)).unwrap()
    assert known_zones(tables) == [ZONE]


@pytest.mark.parametrize(
    ("record", "encoding"),
    [
        (
            ZoneEvacuated(id="r", since=7, zone="z"),
            "9184a474797065ae7a6f6e655f6576616375617465"
            "64a26964a172a573696e636507a47a6f6e65a17a",
        ),
        (
            ZoneRestored(id="r", zone="z"),
            "9184a474797065ad7a6f6e655f726573746f726564"
            "a26964a172a573696e6365c0a47a6f6e65a17a",
        ),
    ],
)
def test_records_have_these_bytes(record, encoding):
    assert encode_batch((record,)).hex() == encoding
    assert decode_batch(bytes.fromhex(encoding)) == (record,)


def test_tables_without_an_evacuated_zone_are_encoded_as_before():
    tables = two_zones()
    names = list(msgspec.msgpack.decode(encode_tables(tables)))
    assert names == [name for name in Tables.__struct_fields__ if "zone" not in name]
    fold(tables, evacuate()).unwrap()
    assert list(msgspec.msgpack.decode(encode_tables(tables))) == [
        *names,
        "evacuated_zones",
    ]
    assert decode_tables(encode_tables(tables)) == tables
    fold(tables, restore()).unwrap()
    assert list(msgspec.msgpack.decode(encode_tables(tables))) == names


@pytest.mark.parametrize(
    ("vm", "evacuated", "accepted"),
    [
        ("vm-0", [], True),
        ("vm-6", [], True),
        ("vm-0", [ZONE], True),
        ("vm-6", [ZONE], False),
        ("vm-0", [OTHER], True),
        ("vm-6", [OTHER], True),
    ],
)
def test_evacuated_vms_leave_freely_and_others_within_what_is_left_of_the_budget(
    vm, evacuated, accepted
):
    tables = two_zones(budget=4)
    for zone in evacuated:
        fold(tables, evacuate(zone)).unwrap()
    left = step(tables, vm, VmState.LEAVING)
    assert left.is_ok() is accepted
    if not accepted:
        assert left.unwrap_err().faults[0].code is FaultCode.BUDGET


def test_vm_is_not_moved_while_its_zone_is_evacuated():
    tables = two_zones(budget=2)
    for vm in ("vm-0", "vm-6"):
        step(tables, vm, VmState.LEAVING).unwrap()
        step(tables, vm, VmState.DRAINED).unwrap()
    fold(tables, evacuate()).unwrap()
    for refused in (
        move(tables, "vm-0"),
        step(tables, "vm-1", VmState.LEAVING, "spare"),
    ):
        (fault,) = refused.unwrap_err().faults
        assert fault.code is FaultCode.WRONG_STATE
        assert f"while its availability zone {ZONE} is evacuated" in fault.message
    move(tables, "vm-6").unwrap()
    assert [row.vm for row in tables.members("spare")] == ["vm-6"]
    fold(tables, restore()).unwrap()
    move(tables, "vm-0").unwrap()
    assert tables.vms["vm-0"].pool == "spare"


def test_vm_whose_zone_is_corrected_counts_in_its_new_zone():
    tables = two_zones()
    fold(tables, evacuate(OTHER)).unwrap()
    before = tables.sequence
    old = tables.endpoint_of("vm-0")
    corrected = msgspec.structs.replace(old, zone=OTHER)
    fold(tables, edit_set(tables, Put(corrected))).unwrap()
    assert in_service(tables, "rondas-norte") == 5
    assert list(tables.vm_index.changed_since(before)) == ["rondas-norte"]
