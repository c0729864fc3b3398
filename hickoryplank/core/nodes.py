"""Membership records: joining, leaving, proved gone, reclaimed."""

from hickoryplank.core.errors import Fault, FaultCode
from hickoryplank.core.ids import Incarnation
from hickoryplank.core.records import NodeGone, NodeJoined, NodeLeft, NodeReclaimed
from hickoryplank.core.tables import NodeRow, NodeState, Tables

__all__ = ["apply_gone", "apply_joined", "apply_left", "apply_reclaimed"]


def apply_joined(
    tables: Tables, record: NodeJoined, incarnation: Incarnation
) -> list[Fault]:
    """Add an incarnation; an older one at the same address is gone from then on.

    The address is the proof: it can be bound again only once the older process
    has let it go. A name proves nothing, for two processes may be given the same.
    """
    for row in tables.nodes.values():
        if row.peer == record.peer:
            row.state = NodeState.GONE
    tables.nodes[incarnation] = NodeRow(
        node=record.node,
        incarnation=incarnation,
        api=record.api,
        peer=record.peer,
        zone=record.zone,
    )
    return []


def apply_left(tables: Tables, record: NodeLeft) -> list[Fault]:
    """Remove an incarnation that ended in good order, and free its units."""
    row = tables.nodes.get(record.incarnation)
    if row is None or row.node != record.node:
        return [_not_live(record.incarnation)]
    _remove(tables, record.incarnation)
    return []


def apply_gone(tables: Tables, record: NodeGone) -> list[Fault]:
    """Mark an incarnation as gone; it keeps its units until it is reclaimed."""
    row = tables.nodes.get(record.incarnation)
    if row is None or row.node != record.node:
        return [_not_live(record.incarnation)]
    row.state = NodeState.GONE
    return []


def apply_reclaimed(tables: Tables, record: NodeReclaimed) -> list[Fault]:
    """Free the units of an incarnation that is gone and whose leases lapsed."""
    row = tables.nodes.get(record.incarnation)
    if row is None or row.node != record.node:
        return [_not_live(record.incarnation)]
    if row.state is not NodeState.GONE:
        message = f"node {record.node} is live; its units stay with it"
        return [Fault(FaultCode.PROOF_MISSING, message)]
    _remove(tables, record.incarnation)
    return []


def _remove(tables: Tables, incarnation: Incarnation) -> None:
    del tables.nodes[incarnation]
    for held in tables.units.values():
        held.pop(incarnation, None)


def _not_live(incarnation: Incarnation) -> Fault:
    return Fault(FaultCode.NOT_LIVE, f"incarnation {incarnation} is not known")
