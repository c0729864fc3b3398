"""Specification of the fold: all nodes agree, and edit sets are atomic."""

from enum import Enum
from functools import cache
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = ["FOLD", "Defect", "Edit", "Folded", "State", "build", "fold_prefix"]

NODES = (0, 1)
EDITED_OBJECTS = {0: (0, 1), 1: (0,)}
MAX_LOG = 3


class Defect(Enum):
    """Faults injected into the broken variants."""

    NO_BASE_CHECK = "an edit set is accepted whatever revisions its author read"
    PARTIAL_SETS = "the edits of a set that do not conflict take effect"
    NO_RECORD_IDS = "a repeated append takes effect again"
    OLD_SNAPSHOT = "a running node loads a snapshot that is older than its tables"
    SERVE_BEFORE_TAIL = "a restarted node serves before it has reached the tail"
    LOCAL_VERDICT = "a node accepts the edit set of its own operator without a check"


class Edit(NamedTuple):
    """An edit set in the log: its number and the revisions that its author read."""

    number: int
    base: tuple[int, ...]


class Folded(NamedTuple):
    """The result of folding a prefix of the log.

    :param revisions: the sequence number of the last change of each object.
    :param applied: the edits that took effect, as pairs of edit set and object.
    """

    revisions: tuple[int, int] = (0, 0)
    applied: tuple[tuple[int, int], ...] = ()


class Node(NamedTuple):
    """A node.

    :param offset: number of edit sets that it has folded.
    :param served: the newest revision that it has served.
    :param tail_at_restart: the tail of the log at its restart, which it must reach to
        serve; 0 once it serves.
    """

    offset: int = 0
    serving: bool = True
    served: int = 0
    tail_at_restart: int = 0


class State(NamedTuple):
    """State of the model.

    :param bases: the revisions that the author of each edit set has read; ``None``
        before that.
    :param snapshots: the offsets of the available snapshots.
    :param first_offset: the first offset that has not been trimmed from the log.
    """

    log: tuple[Edit, ...] = ()
    bases: tuple[tuple[int, ...] | None, ...] = (None, None)
    nodes: tuple[Node, ...] = (Node(), Node())
    snapshots: tuple[int, ...] = (0,)
    first_offset: int = 0


@cache
def fold_prefix(log: tuple[Edit, ...], node: int, broken: Defect | None) -> Folded:
    """Return the result of folding ``log`` on ``node``; the design ignores the node."""
    state = Folded()
    for sequence, edit in enumerate(log, start=1):
        state = _fold_one(state, sequence, edit, log[: sequence - 1], node, broken)
    return state


def _fold_one(
    state: Folded,
    sequence: int,
    edit: Edit,
    before: tuple[Edit, ...],
    node: int,
    broken: Defect | None,
) -> Folded:
    repeated = any(old.number == edit.number for old in before)
    if repeated and broken is not Defect.NO_RECORD_IDS:
        return state
    unchanged = [
        obj
        for obj, base in zip(EDITED_OBJECTS[edit.number], edit.base, strict=True)
        if _is_unchanged(state, obj, base, edit.number, node, broken)
    ]
    if len(unchanged) < len(edit.base) and broken is not Defect.PARTIAL_SETS:
        return state
    revisions = tuple(
        sequence if obj in unchanged else revision
        for obj, revision in enumerate(state.revisions)
    )
    applied = state.applied + tuple((edit.number, obj) for obj in unchanged)
    return Folded(revisions, applied)


def _is_unchanged(
    state: Folded, obj: int, base: int, number: int, node: int, broken: Defect | None
) -> bool:
    ignored = broken in (Defect.NO_BASE_CHECK, Defect.NO_RECORD_IDS)
    own = broken is Defect.LOCAL_VERDICT and number == node
    return ignored or own or state.revisions[obj] == base


class _Model:
    """Steps and invariants of one variant.

    Two operators edit objects ``a`` and ``b``: edit set 0 changes both, edit set 1
    only ``a``. Each edit set carries the revisions that its author read on some
    node. An append may be repeated, since its answer can be lost. Nodes fold the
    log in order and independently, take snapshots and restart from them. The log is
    trimmed up to the newest snapshot. A restarted node serves again once it has
    reached the tail.
    """

    def __init__(self, broken: Defect | None):
        self.broken = broken

    def folded(self, s: State, node: int) -> Folded:
        return fold_prefix(s.log[: s.nodes[node].offset], node, self.broken)

    def with_node(self, s: State, number: int, node: Node) -> State:
        serving = node.serving or node.offset >= node.tail_at_restart
        node = node._replace(
            serving=serving, tail_at_restart=0 if serving else node.tail_at_restart
        )
        nodes = s.nodes[:number] + (node,) + s.nodes[number + 1 :]
        s = s._replace(nodes=nodes)
        if serving:
            served = max(node.served, max(self.folded(s, number).revisions))
            node = node._replace(served=served)
            nodes = s.nodes[:number] + (node,) + s.nodes[number + 1 :]
        return s._replace(nodes=nodes)

    def edit_steps(self, s: State):
        for number, touched in EDITED_OBJECTS.items():
            if s.bases[number] is None:
                for node in NODES:
                    read = self.folded(s, node).revisions
                    base = tuple(read[obj] for obj in touched)
                    bases = s.bases[:number] + (base,) + s.bases[number + 1 :]
                    yield f"edit {number} on {node}", s._replace(bases=bases)
            elif len(s.log) < MAX_LOG:
                edit = Edit(number, s.bases[number])
                yield f"append {number}", s._replace(log=s.log + (edit,))

    def node_steps(self, s: State):
        for number, node in enumerate(s.nodes):
            if s.first_offset <= node.offset < len(s.log):
                later = node._replace(offset=node.offset + 1)
                yield f"fold {number}", self.with_node(s, number, later)
            if node.offset not in s.snapshots:
                taken = tuple(sorted({*s.snapshots, node.offset}))
                yield f"snapshot {number}", s._replace(snapshots=taken[-2:])
            yield from self.load_steps(s, number, node)
        if s.first_offset < s.snapshots[-1]:
            yield "trim", s._replace(first_offset=s.snapshots[-1])

    def load_steps(self, s: State, number: int, node: Node):
        newest = s.snapshots[-1]
        if newest > node.offset:
            yield (
                f"load {number}",
                self.with_node(s, number, node._replace(offset=newest)),
            )
        serving = self.broken is Defect.SERVE_BEFORE_TAIL
        new = node._replace(offset=newest, serving=serving, tail_at_restart=len(s.log))
        yield f"restart {number}", self.with_node(s, number, new)
        if self.broken is Defect.OLD_SNAPSHOT:
            old = node._replace(offset=s.snapshots[0])
            yield f"old snapshot {number}", self.with_node(s, number, old)

    def transitions(self, s: State):
        return [*self.edit_steps(s), *self.node_steps(s)]

    def tail(self, state: dict) -> Folded:
        return fold_prefix(state["log"], 0, self.broken)

    def nodes_agree(self, state: dict) -> bool:
        first, second = state["nodes"]
        if first.offset != second.offset:
            return True
        prefix = state["log"][: first.offset]
        return fold_prefix(prefix, 0, self.broken) == fold_prefix(
            prefix, 1, self.broken
        )

    def applied_once(self, state: dict) -> bool:
        return len(set(self.tail(state).applied)) == len(self.tail(state).applied)

    def atomic(self, state: dict) -> bool:
        parts = {number: 0 for number in EDITED_OBJECTS}
        for number, _ in set(self.tail(state).applied):
            parts[number] += 1
        return all(parts[n] in (0, len(objs)) for n, objs in EDITED_OBJECTS.items())

    def one_winner(self, state: dict) -> bool:
        first, second = state["bases"]
        raced = first is not None and second is not None and first[0] == second[0]
        return (
            not raced or len({n for n, obj in self.tail(state).applied if obj == 0}) < 2
        )

    def monotonic(self, state: dict) -> bool:
        return all(
            not node.serving
            or max(fold_prefix(state["log"][: node.offset], n, self.broken).revisions)
            >= node.served
            for n, node in enumerate(state["nodes"])
        )

    def protocol(self) -> Protocol:
        return Protocol(
            name="fold",
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=self.transitions,
            invariants={
                "nodes_agree": self.nodes_agree,
                "applied_once": self.applied_once,
                "atomic": self.atomic,
                "one_winner": self.one_winner,
                "monotonic": self.monotonic,
            },
        )


def build(broken: Defect | None = None) -> Protocol:
    """Return the protocol of the design, or of a broken variant."""
    return _Model(broken).protocol()


FOLD = Mechanism(
    name="fold",
    bounds="2 nodes, 2 racing sets over 2 objects, 3 appends, 2 snapshots kept",
    build=build,
    broken={
        Defect.NO_BASE_CHECK: "one_winner",
        Defect.PARTIAL_SETS: "atomic",
        Defect.NO_RECORD_IDS: "applied_once",
        Defect.OLD_SNAPSHOT: "monotonic",
        Defect.SERVE_BEFORE_TAIL: "monotonic",
        Defect.LOCAL_VERDICT: "nodes_agree",
    },
)
