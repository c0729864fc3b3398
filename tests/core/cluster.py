"""Simulated log and nodes that fold it independently, for state machine tests."""

from collections import Counter
from dataclasses import dataclass, field

from hickoryplank.core.escrow import Escrow
from hickoryplank.core.fold import FoldResult, fold_batch
from hickoryplank.core.ids import Incarnation
from hickoryplank.core.records import (
    NodeJoined,
    Put,
    Record,
    decode_batch,
    encode_batch,
)
from hickoryplank.core.tables import Tables, decode_tables, encode_tables
from tests.core.builders import edit_set, new_id


@dataclass
class Node:
    """One incarnation of a node.

    :param orphans: units of work that still run after the node has died.
    """

    name: str
    me: Incarnation
    tables: Tables
    escrow: Escrow
    alive: bool = True
    orphans: int = 0


@dataclass
class Cluster:
    """The log, the tables at its tail, and the nodes.

    :param digests: digest of the tables after each offset.
    :param limits: limit of the team after each offset.
    """

    log: list[bytes] = field(default_factory=list)
    tail: Tables = field(default_factory=Tables)
    digests: list[str] = field(default_factory=lambda: [Tables().digest()])
    limits: list[int] = field(default_factory=lambda: [0])
    nodes: list[Node] = field(default_factory=list)

    def append(self, *records: Record) -> list[FoldResult]:
        """Append one log entry and fold it into the tables at the tail."""
        data = encode_batch(records)
        results = fold_batch(self.tail, len(self.log), decode_batch(data))
        self.log.append(data)
        self.digests.append(self.tail.digest())
        self.limits.append(self.tail.limit_of("rutas"))
        return results

    def edit(self, *objects) -> FoldResult:
        """Append an edit set that puts ``objects``, based on the tail."""
        return self.append(edit_set(self.tail, *map(Put, objects)))[0]

    def join(self, name: str) -> Node:
        """Start a node from a copy of the tables at the tail, as from a snapshot."""
        record = NodeJoined(
            id=new_id(), node=name, api="127.0.0.1:1", peer=f"{name}:2", zone="coronel"
        )
        me = Incarnation(self.append(record)[0].unwrap())
        node = Node(name, me, self.copy(), Escrow(me, new_id))
        self.nodes.append(node)
        return node

    def copy(self) -> Tables:
        """Return an independent copy of the tables at the tail."""
        return decode_tables(encode_tables(self.tail))

    def fold(self, node: Node) -> list[tuple[Record, FoldResult]]:
        """Let ``node`` fold the next entry, and check its digest against the tail's."""
        offset = node.tables.next_offset
        if offset == len(self.log):
            return []
        records = decode_batch(self.log[offset])
        revision = node.tables.revision
        results = fold_batch(node.tables, offset, records)
        for record in records:
            node.escrow.note_folded(record)
        assert node.tables.digest() == self.digests[offset + 1]
        assert node.tables.revision >= revision
        return list(zip(records, results, strict=True))

    def running(self, team: str) -> Counter:
        """Return the running units of ``team`` by incarnation."""
        return Counter(
            {n.me: n.orphans + n.escrow.running(team) * n.alive for n in self.nodes}
        )
