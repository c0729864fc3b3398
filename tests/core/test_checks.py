"""Tests of incremental edit checks against a full check."""

from hypothesis import given, settings
from hypothesis import strategies as st

from hickoryplank.core.checks import check_objects
from hickoryplank.core.edits import check_edits
from hickoryplank.core.fold import fold
from hickoryplank.core.objects import (
    Endpoint,
    Key,
    Kind,
    Limit,
    Pool,
    Queue,
    Ref,
    Share,
    Team,
    ref_of,
)
from hickoryplank.core.records import Delete, Put, VmMoved, VmState, VmStep
from tests.core.builders import edit_set, new_id, small_fleet, tables_with

teams = st.sampled_from(["rutas", "pagos", "socios"])
pools = st.sampled_from(["rondas-norte", "vidrio-claro", "libre"])
vms = st.sampled_from([f"vm-{i}" for i in range(4)])
objects = st.one_of(
    st.builds(Pool, name=pools, min_available=st.integers(-1, 4)),
    st.builds(Team, name=teams),
    st.builds(Share, name=teams, percent=st.sampled_from([-1.0, 20.0, 60.0])),
    st.builds(Limit, name=teams, units=st.integers(-1, 3)),
    st.builds(Key, name=teams, team=teams, digest=st.sampled_from(["0" * 64, "x"])),
    st.builds(
        Queue,
        name=pools,
        pool=pools,
        open_team=st.none() | teams,
        teams=st.lists(teams, max_size=2).map(tuple),
    ),
    st.builds(
        Endpoint,
        name=vms,
        address=st.sampled_from(["127.0.0.1:9000", "nowhere"]),
        pool=pools,
        zone=st.just("talcahuano"),
        rack=st.just("rack-0"),
        slots=st.integers(0, 2),
    ),
)
edits = st.one_of(objects.map(Put), objects.map(ref_of).map(Delete))
sets = st.lists(edits, min_size=1, max_size=5, unique_by=str)


def full_check(tables, made):
    """Return the faults of a check of all objects, and the pools over budget."""
    after = {
        kind: {name: row.obj for name, row in rows.items()}
        for kind, rows in tables.objects.items()
    }
    for edit in made:
        match edit:
            case Put(obj):
                after[ref_of(obj).kind][obj.name] = obj
            case Delete(ref):
                after[ref.kind].pop(ref.name, None)
    faults = check_objects(after)
    short = []
    for name, pool in after[Kind.POOL].items():
        size = sum(end.pool == name for end in after[Kind.ENDPOINT].values())
        if size and pool.min_available >= size:
            short.append(Ref(Kind.POOL, name))
    return faults, short


def start():
    tables = tables_with(small_fleet(vms=4, budget=1))
    put = (
        Put(Pool(name="vidrio-claro")),
        Put(Team(name="pagos")),
        Put(Share(name="pagos", percent=20.0)),
        Put(Limit(name="pagos", units=1)),
        Put(Queue(name="vidrio-claro", pool="vidrio-claro", open_team="pagos")),
    )
    fold(tables, edit_set(tables, *put)).unwrap()
    return tables


@given(made=st.lists(sets, max_size=6), moved=st.sets(vms, max_size=2))
@settings(max_examples=150)
def test_checks_of_what_changed_find_what_a_full_check_finds(made, moved):
    tables = start()
    for vm in sorted(moved):
        for state in (VmState.LEAVING, VmState.DRAINED):
            revision = tables.vms[vm].revision
            fold(
                tables,
                VmStep(id=new_id(), vm=vm, revision=revision, state=state),
            )
        revision = tables.vms[vm].revision
        fold(
            tables,
            VmMoved(id=new_id(), vm=vm, revision=revision, pool="vidrio-claro"),
        )
    for one in made:
        record = edit_set(tables, *one)
        faults, short = full_check(tables, record.edits)
        found = check_edits(tables, record)
        own = {"in_service", "still_referenced", "conflict", "duplicate"}
        rest = [f for f in found if f.code.value not in own]
        budgets = [f.ref for f in rest if f.code.value == "budget"]
        assert budgets == short
        others = [f for f in rest if f.code.value != "budget"]
        assert [f for f in others if "use 'move'" not in f.message] == faults
        fold(tables, record)
