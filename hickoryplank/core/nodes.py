"""Membership records of nodes."""

from hickoryplank.core.errors import Fault, FaultCode
from hickoryplank.core.ids import Incarnation
from hickoryplank.core.records import NodeGone, NodeJoined, NodeLeft, NodeReclaimed
from hickoryplank.core.tables import NodeRow, NodeState, Tables

__all__ = ["apply_gone", "apply_joined", "apply_left", "apply_reclaimed"]


def apply_joined(
    tables: Tables, record: NodeJoined, incarnation: Incarnation
) -> list[Fault]:
    """Add an incarnation, and mark an older one at the same peer address as gone.

    The address is proof because it can be bound again only after the older
    process has closed it. The name is no proof, since two processes may be
    configured with the same name.
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
    """Remove an incarnation that shut down gracefully, and free its units."""
    row = tables.nodes.get(record.incarnation)
    if row is None or row.node != record.node:
        return [_not_live(record.incarnation)]
    _remove(tables, record.incarnation)
    return []


def apply_gone(tables: Tables, record: NodeGone) -> list[Fault]:
    """Mark an incarnation as gone; its units stay held until they are reclaimed."""
    row = tables.nodes.get(record.incarnation)
    if row is None or row.node != record.node:
        return [_not_live(record.incarnation)]
    row.state = NodeState.GONE
    return []


def apply_reclaimed(tables: Tables, record: NodeReclaimed) -> list[Fault]:
    """Remove an incarnation that is gone and whose leases expired; free its units."""
    row = tables.nodes.get(record.incarnation)
    if row is None or row.node != record.node:
        return [_not_live(record.incarnation)]
    if row.state is not NodeState.GONE:
        message = f"node {record.node} is live; its units cannot be reclaimed"
        return [Fault(FaultCode.PROOF_MISSING, message)]
    _remove(tables, record.incarnation)
    return []


def _remove(tables: Tables, incarnation: Incarnation) -> None:
    del tables.nodes[incarnation]
    for held in tables.units.values():
        held.pop(incarnation, None)


def _not_live(incarnation: Incarnation) -> Fault:
    return Fault(FaultCode.NOT_LIVE, f"incarnation {incarnation} is unknown")
