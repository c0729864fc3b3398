"""Tests of the fold: records take effect completely or not at all."""

import pytest

from hickoryplank.core.errors import FaultCode
from hickoryplank.core.fold import fold, fold_batch
from hickoryplank.core.objects import Key, Kind, Limit, Pool, Queue, Ref, Share, Team
from hickoryplank.core.records import Delete, Put, VmMoved, VmState, VmStep
from hickoryplank.core.tables import Tables, decode_tables, encode_tables
from tests.core.builders import edit_set, join_node, new_id, small_fleet, tables_with


@pytest.mark.parametrize(
    ("edit", "code"),
    [
        (Put(Queue(name="q", pool="nowhere")), FaultCode.MISSING_REFERENCE),
        (Put(Key(name="k", team="nobody", digest="0" * 64)), "missing_reference"),
        (Put(Key(name="k", team="rutas", digest="secret")), FaultCode.BAD_VALUE),
        (Put(Team(name="new")), FaultCode.MISSING_REFERENCE),
        (Put(Share(name="rutas", percent=101.0)), FaultCode.SHARE_OVER_TOTAL),
        (Put(Limit(name="rutas", units=-1)), FaultCode.BAD_VALUE),
        (Put(Pool(name="rondas-norte", min_available=6)), FaultCode.BUDGET),
        (Put(Pool(name="Bad Name")), FaultCode.BAD_NAME),
        (Delete(Ref(Kind.POOL, "rondas-norte")), FaultCode.STILL_REFERENCED),
        (Delete(Ref(Kind.ENDPOINT, "vm-0")), FaultCode.IN_SERVICE),
        (Delete(Ref(Kind.TEAM, "rutas")), FaultCode.MISSING_REFERENCE),
    ],
)
def test_faulty_set_is_refused_whole(edit, code):
    tables = tables_with(small_fleet())
    before = encode_tables(tables)
    good = Put(Pool(name="spare", spare=True))
    refusal = fold(tables, edit_set(tables, good, edit)).unwrap_err()
    assert FaultCode(code) in {fault.code for fault in refusal.faults}
    assert decode_tables(before).objects == tables.objects


def test_every_fault_is_listed_at_once():
    tables = tables_with(small_fleet())
    edits = (
        Put(Queue(name="q", pool="nowhere")),
        Put(Key(name="k", team="nobody", digest="no")),
    )
    refusal = fold(tables, edit_set(tables, *edits)).unwrap_err()
    assert len(refusal.faults) == 3


def test_of_two_racing_sets_one_wins():
    tables = tables_with(small_fleet())
    first = edit_set(tables, Put(Limit(name="rutas", units=5)))
    second = edit_set(tables, Put(Limit(name="rutas", units=6)))
    assert fold(tables, first).is_ok()
    refusal = fold(tables, second).unwrap_err()
    assert refusal.faults[0].code is FaultCode.CONFLICT
    assert tables.limit_of("rutas") == 5


def test_repeated_record_takes_effect_once():
    tables = tables_with(small_fleet())
    record = edit_set(tables, Put(Limit(name="rutas", units=5)))
    assert fold(tables, record).is_ok()
    assert fold(tables, record).unwrap_err().faults[0].code is FaultCode.DUPLICATE


def test_older_offset_is_never_folded_again():
    tables = Tables()
    fold_batch(tables, 3, ())
    with pytest.raises(ValueError, match="already folded"):
        fold_batch(tables, 3, ())


def test_tables_survive_encoding():
    tables = tables_with(small_fleet())
    join_node(tables, "entry-1")
    again = decode_tables(encode_tables(tables))
    assert again == tables
    assert again.digest() == tables.digest()


def test_forgotten_record_takes_effect_once(monkeypatch):
    """A deleted key stays deleted if the record that created it is appended again.

    Once the fold has forgotten the id of that record, the record must be refused by
    its age.
    """
    monkeypatch.setattr("hickoryplank.core.fold.RECENT_RECORDS", 3)
    tables = tables_with(small_fleet())
    key = Key(name="new", team="rutas", digest="1" * 64)
    created = edit_set(tables, Put(key))
    fold(tables, created).unwrap()
    for late in range(6):
        fold(tables, edit_set(tables, Delete(Ref(Kind.KEY, "new"))))
        refusal = fold(tables, created).unwrap_err()
        code = FaultCode.DUPLICATE if late == 0 else FaultCode.STALE
        assert refusal.faults[0].code is code


def test_move_into_an_empty_pool_with_a_budget_is_refused():
    tables = tables_with([*small_fleet(budget=2), Pool(name="spare", min_available=1)])
    for state in (VmState.LEAVING, VmState.DRAINED):
        revision = tables.vms["vm-0"].revision
        step = VmStep(id=new_id(), vm="vm-0", revision=revision, state=state)
        fold(tables, step).unwrap()
    revision = tables.vms["vm-0"].revision
    move = VmMoved(id=new_id(), vm="vm-0", revision=revision, pool="spare")
    assert fold(tables, move).unwrap_err().faults[0].code is FaultCode.BUDGET
