"""Builders of tables and records for tests."""

from itertools import count

from hickoryplank.core.edits import base_for
from hickoryplank.core.fold import fold
from hickoryplank.core.ids import Incarnation, OperatorId, RecordId, Revision
from hickoryplank.core.objects import Endpoint, Key, Limit, Pool, Queue, Share, Team
from hickoryplank.core.records import EditSet, NodeJoined, Put
from hickoryplank.core.tables import Tables

_IDS = count(1)


def new_id() -> RecordId:
    """Return a new unique record id."""
    return RecordId(f"r{next(_IDS)}")


def edit_set(tables: Tables, *edits) -> EditSet:
    """Return an edit set based on the current state of ``tables``."""
    return EditSet(
        id=new_id(),
        operator=OperatorId("olga"),
        since=Revision(tables.sequence),
        base=base_for(tables, edits),
        edits=edits,
    )


def small_fleet(vms: int = 6, limit: int = 8, budget: int = 4):
    """Return the objects of one pool, one team and one queue."""
    return [
        Pool(name="rondas-norte", min_available=budget),
        Team(name="rutas"),
        Share(name="rutas", percent=60.0),
        Limit(name="rutas", units=limit),
        Key(name="rutas-1", team="rutas", digest="0" * 64),
        Queue(name="rondas", pool="rondas-norte"),
        *(
            Endpoint(
                name=f"vm-{i}",
                address=f"127.0.0.1:{9000 + i}",
                pool="rondas-norte",
                zone="talcahuano",
                rack=f"rack-{i // 4}",
            )
            for i in range(vms)
        ),
    ]


def tables_with(objects) -> Tables:
    """Return tables in which ``objects`` are in force."""
    tables = Tables()
    fold(tables, edit_set(tables, *(Put(obj) for obj in objects))).unwrap()
    return tables


def join_node(tables: Tables, node: str) -> Incarnation:
    """Add a node and return its incarnation."""
    record = NodeJoined(
        id=new_id(), node=node, api="127.0.0.1:1", peer=f"{node}:2", zone="talcahuano"
    )
    revision: Revision = fold(tables, record).unwrap()
    return Incarnation(revision)
