"""Specification of the escrow of a limit, in a log that nodes fold independently."""

from enum import Enum
from functools import cache
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = ["ESCROW", "Defect", "Ledger", "Record", "State", "build", "fold_prefix"]

FIRST, SECOND, REPLACEMENT = 0, 1, 2
INCARNATIONS = (FIRST, SECOND, REPLACEMENT)
LIMIT, LOWERED_LIMIT = 2, 1
MAX_LOG = 3


class Defect(Enum):
    """Faults injected into the broken variants."""

    NO_INCARNATION = "a new incarnation uses the units of the one that it replaces"
    RECLAIM_SILENT = "the units of a silent node are reclaimed without proof"
    RECLAIM_EARLY = "units are reclaimed before the leases have expired"
    LATE_DECREMENT = "the giver stops using units only once the transfer is folded"
    REGRANT_SURPLUS = "surplus is granted to others before it is returned"
    START_OVER_LIMIT = "a node starts work while others hold surplus"
    NO_RECORD_IDS = "a repeated append takes effect again"


class Record(NamedTuple):
    """A log record.

    :param holder: the incarnation that the record concerns.
    :param other: the receiver of a transfer, or the new limit.
    """

    kind: str
    holder: int = -1
    other: int = -1
    id: int = -1


class Ledger(NamedTuple):
    """The result of folding a prefix of the log.

    :param held: the units that each incarnation holds.
    :param live: whether each incarnation is live.
    :param overgranted: whether more units were granted than the limit allows.
    """

    limit: int = LIMIT
    held: tuple[int, ...] = (LIMIT, 0, 0)
    live: tuple[bool, ...] = (True, True, False)
    overgranted: bool = False


class Node(NamedTuple):
    """An incarnation of a node.

    :param offset: number of records that it has folded.
    :param running: units of work that it has started and that still run, also after
        it has died.
    :param pending: its record that is not folded yet.
    """

    offset: int = 0
    running: int = 0
    pending: Record | None = None
    alive: bool = True


class State(NamedTuple):
    """State of the model.

    :param limit_exceeded: whether a start has exceeded the limit.
    """

    log: tuple[Record, ...] = ()
    nodes: tuple[Node, ...] = (Node(), Node(), Node(alive=False))
    limit_exceeded: bool = False


def _replace_at(values: tuple, index: int, value) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


@cache
def fold_prefix(log: tuple[Record, ...], broken: Defect | None = None) -> Ledger:
    """Return the ledger after ``log``."""
    ledger = Ledger()
    seen = set()
    for record in log:
        if record.id in seen and broken is not Defect.NO_RECORD_IDS:
            continue
        if record.id >= 0:
            seen.add(record.id)
        ledger = _apply(ledger, record, broken)
    return ledger


def _apply(ledger: Ledger, record: Record, broken: Defect | None) -> Ledger:
    held, live = ledger.held, ledger.live
    match record.kind:
        case "limit":
            dropped = broken is Defect.REGRANT_SURPLUS
            held = tuple(min(u, record.other) for u in held) if dropped else held
            return ledger._replace(limit=record.other, held=held)
        case "join":
            return ledger._replace(live=_replace_at(live, record.holder, True))
        case "gone":
            return ledger._replace(live=_replace_at(live, record.holder, False))
        case "reclaim":
            return ledger._replace(held=_replace_at(held, record.holder, 0))
        case "take":
            return _take(ledger, record)
        case "return" if held[record.holder] > 0:
            return ledger._replace(
                held=_replace_at(held, record.holder, held[record.holder] - 1)
            )
        case "move" if held[record.holder] > 0:
            held = _replace_at(held, record.holder, held[record.holder] - 1)
            if live[record.other]:
                held = _replace_at(held, record.other, held[record.other] + 1)
            return ledger._replace(held=held)
    return ledger


def _take(ledger: Ledger, record: Record) -> Ledger:
    if not ledger.live[record.holder] or sum(ledger.held) >= ledger.limit:
        return ledger
    held = _replace_at(ledger.held, record.holder, ledger.held[record.holder] + 1)
    return ledger._replace(held=held, overgranted=sum(held) > ledger.limit)


class _Model:
    """Steps and invariants of one variant.

    Two nodes share a limit of two units, both of which the first node holds. Each
    node may start and finish work, acquire free units, transfer a unit to the other
    node and return surplus. An append may be repeated or late. An operator lowers
    the limit and raises it again. Nodes die, and their work runs on until its
    leases expire; the first node is replaced by a new incarnation. A node starts
    work by its own fold, however old that is.
    """

    def __init__(self, broken: Defect | None):
        self.broken = broken

    def ledger_of(self, s: State, me: int) -> Ledger:
        return fold_prefix(s.log[: s.nodes[me].offset], self.broken)

    def held(self, s: State, me: int) -> int:
        units = self.ledger_of(s, me).held[me]
        if self.broken is Defect.NO_INCARNATION and me == REPLACEMENT:
            units += self.ledger_of(s, me).held[FIRST]
        pending = s.nodes[me].pending
        if pending is None or pending.kind == "take":
            return units
        return units if self.broken is Defect.LATE_DECREMENT else units - 1

    def excess(self, ledger: Ledger) -> int:
        return sum(ledger.held) - ledger.limit

    def may_start(self, s: State, me: int) -> bool:
        ledger = self.ledger_of(s, me)
        over = self.excess(ledger) > 0 and self.broken is not Defect.START_OVER_LIMIT
        usable_units = self.held(s, me) - self.surplus(ledger, me)
        return ledger.live[me] and not over and s.nodes[me].running < usable_units

    def surplus(self, ledger: Ledger, me: int) -> int:
        later = sum(ledger.held[me + 1 :])
        return min(ledger.held[me], max(0, self.excess(ledger) - later))

    def with_node(self, s: State, me: int, **changes) -> State:
        return s._replace(
            nodes=_replace_at(s.nodes, me, s.nodes[me]._replace(**changes))
        )

    def work_steps(self, s: State, me: int, node: Node):
        if self.may_start(s, me):
            started = self.with_node(s, me, running=node.running + 1)
            running = sum(other.running for other in started.nodes)
            views = range(node.offset, len(s.log) + 1)
            max_limit = max(
                fold_prefix(s.log[:view], self.broken).limit for view in views
            )
            yield f"{me} starts", started._replace(limit_exceeded=running > max_limit)
        if node.running:
            yield f"{me} finishes", self.with_node(s, me, running=node.running - 1)
        if node.offset < len(s.log):
            yield f"{me} folds", self.fold_one(s, me, node)

    def fold_one(self, s: State, me: int, node: Node) -> State:
        settled = node.pending is not None and s.log[node.offset].id == node.pending.id
        pending = None if settled else node.pending
        return self.with_node(s, me, offset=node.offset + 1, pending=pending)

    def proposal_steps(self, s: State, me: int, node: Node):
        if node.pending is not None:
            if len(s.log) < MAX_LOG:
                log = (*s.log, node.pending)
                yield f"{me} {node.pending.kind} is appended", s._replace(log=log)
            return
        ledger = self.ledger_of(s, me)
        own_record_ids = {
            record.id for record in s.log if record.holder == me and record.id >= 0
        }
        new_id = len(INCARNATIONS) * len(own_record_ids) + me
        idle = self.held(s, me) - node.running
        records = []
        if self.excess(ledger) < 0:
            records.append(Record("take", me, id=new_id))
        if idle > 0 and self.excess(ledger) > 0:
            records.append(Record("return", me, id=new_id))
        if idle > 0 and self.excess(ledger) <= 0:
            records.extend(
                Record("move", me, to, new_id) for to in INCARNATIONS if to != me
            )
        for record in records:
            if len(s.log) < MAX_LOG:
                yield (
                    f"{me} offers {record.kind}",
                    self.with_node(s, me, pending=record),
                )

    def membership_steps(self, s: State):
        ledger = fold_prefix(s.log, self.broken)
        for me, node in enumerate(s.nodes):
            if node.alive and me != REPLACEMENT:
                yield f"{me} dies", self.with_node(s, me, alive=False)
            proved = not node.alive or self.broken is Defect.RECLAIM_SILENT
            if ledger.live[me] and proved:
                yield f"{me} is proved gone", self.append(s, Record("gone", me))
            if not node.alive and node.running:
                yield f"{me} leases expire", self.with_node(s, me, running=0)
            leases_expired = node.running == 0 or self.broken is Defect.RECLAIM_EARLY
            if not ledger.live[me] and ledger.held[me] and leases_expired:
                yield f"{me} is reclaimed", self.append(s, Record("reclaim", me))
        if not ledger.live[REPLACEMENT] and not s.nodes[FIRST].alive:
            joined = self.append(s, Record("join", REPLACEMENT))
            yield "replacement joins", self.join(joined)

    def join(self, s: State) -> State:
        return self.with_node(s, REPLACEMENT, alive=True, offset=len(s.log))

    def append(self, s: State, record: Record) -> State:
        return s._replace(log=(*s.log, record))

    def operator_steps(self, s: State):
        limit = fold_prefix(s.log, self.broken).limit
        yield (
            "limit edited",
            self.append(s, Record("limit", other=LIMIT + LOWERED_LIMIT - limit)),
        )

    def transitions(self, s: State):
        if s.limit_exceeded:
            return []
        steps = []
        for me, node in enumerate(s.nodes):
            if node.alive:
                steps.extend(self.work_steps(s, me, node))
            if node.alive or node.pending:
                steps.extend(self.proposal_steps(s, me, node))
        if len(s.log) < MAX_LOG:
            steps.extend(self.membership_steps(s))
            steps.extend(self.operator_steps(s))
        else:
            steps.extend(
                step for step in self.membership_steps(s) if "expire" in step[0]
            )
        return steps

    def within_limit(self, state: dict) -> bool:
        return not state["limit_exceeded"]

    def ledger_within_limit(self, state: dict) -> bool:
        return not fold_prefix(state["log"], self.broken).overgranted

    def protocol(self) -> Protocol:
        return Protocol(
            name="escrow",
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=self.transitions,
            invariants={
                "within_limit": self.within_limit,
                "ledger_within_limit": self.ledger_within_limit,
            },
        )


def build(broken: Defect | None = None) -> Protocol:
    """Return the protocol of the design, or of a broken variant."""
    return _Model(broken).protocol()


ESCROW = Mechanism(
    name="escrow",
    bounds=f"3 incarnations of 2 nodes, limit {LIMIT} lowered to {LOWERED_LIMIT}"
    f" and back, {MAX_LOG} records",
    build=build,
    broken={
        Defect.NO_INCARNATION: "within_limit",
        Defect.RECLAIM_SILENT: "within_limit",
        Defect.RECLAIM_EARLY: "within_limit",
        Defect.LATE_DECREMENT: "within_limit",
        Defect.REGRANT_SURPLUS: "within_limit",
        Defect.START_OVER_LIMIT: "within_limit",
        Defect.NO_RECORD_IDS: "within_limit",
    },
)
