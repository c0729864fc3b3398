"""Specification of the escrow of a limit, in a log that nodes fold independently."""

from enum import Enum
from functools import cache
from typing import NamedTuple

from minicheck import Protocol

from spec.base import Mechanism

__all__ = ["ESCROW", "Broken", "Ledger", "Rec", "State", "build", "fold_prefix"]

FIRST, SECOND, REPLACED = 0, 1, 2
INCARNATIONS = (FIRST, SECOND, REPLACED)
LIMIT, LOWERED = 2, 1
MAX_LOG = 3


class Broken(Enum):
    """Faults injected into the broken variants."""

    NO_INCARNATION = "a new incarnation uses the units of the one that it replaces"
    RECLAIM_SILENT = "the units of a silent node are reclaimed without proof"
    RECLAIM_EARLY = "units are reclaimed before the leases have expired"
    RAISE_FIRST = "the giver stops using units only once the transfer is folded"
    REGRANT_SURPLUS = "surplus is granted to others before it is returned"
    START_OVER_LIMIT = "a node starts work while others hold surplus"
    NO_RECORD_IDS = "a repeated append takes effect again"


class Rec(NamedTuple):
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
    pending: Rec | None = None
    alive: bool = True


class State(NamedTuple):
    """State of the model.

    :param bad: whether a start has exceeded the limit.
    """

    log: tuple[Rec, ...] = ()
    nodes: tuple[Node, ...] = (Node(), Node(), Node(alive=False))
    bad: bool = False


def _set(values: tuple, index: int, value) -> tuple:
    return (*values[:index], value, *values[index + 1 :])


@cache
def fold_prefix(log: tuple[Rec, ...], broken: Broken | None = None) -> Ledger:
    """Return the ledger after ``log``."""
    ledger = Ledger()
    seen = set()
    for rec in log:
        if rec.id in seen and broken is not Broken.NO_RECORD_IDS:
            continue
        if rec.id >= 0:
            seen.add(rec.id)
        ledger = _apply(ledger, rec, broken)
    return ledger


def _apply(ledger: Ledger, rec: Rec, broken: Broken | None) -> Ledger:
    held, live = ledger.held, ledger.live
    match rec.kind:
        case "limit":
            dropped = broken is Broken.REGRANT_SURPLUS
            held = tuple(min(u, rec.other) for u in held) if dropped else held
            return ledger._replace(limit=rec.other, held=held)
        case "join":
            return ledger._replace(live=_set(live, rec.holder, True))
        case "gone":
            return ledger._replace(live=_set(live, rec.holder, False))
        case "reclaim":
            return ledger._replace(held=_set(held, rec.holder, 0))
        case "take":
            return _take(ledger, rec)
        case "return" if held[rec.holder] > 0:
            return ledger._replace(held=_set(held, rec.holder, held[rec.holder] - 1))
        case "move" if held[rec.holder] > 0:
            held = _set(held, rec.holder, held[rec.holder] - 1)
            if live[rec.other]:
                held = _set(held, rec.other, held[rec.other] + 1)
            return ledger._replace(held=held)
    return ledger


def _take(ledger: Ledger, rec: Rec) -> Ledger:
    if not ledger.live[rec.holder] or sum(ledger.held) >= ledger.limit:
        return ledger
    held = _set(ledger.held, rec.holder, ledger.held[rec.holder] + 1)
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

    def __init__(self, broken: Broken | None):
        self.broken = broken

    def ledger_of(self, s: State, me: int) -> Ledger:
        return fold_prefix(s.log[: s.nodes[me].offset], self.broken)

    def held(self, s: State, me: int) -> int:
        units = self.ledger_of(s, me).held[me]
        if self.broken is Broken.NO_INCARNATION and me == REPLACED:
            units += self.ledger_of(s, me).held[FIRST]
        pending = s.nodes[me].pending
        if pending is None or pending.kind == "take":
            return units
        return units if self.broken is Broken.RAISE_FIRST else units - 1

    def excess(self, ledger: Ledger) -> int:
        return sum(ledger.held) - ledger.limit

    def may_start(self, s: State, me: int) -> bool:
        ledger = self.ledger_of(s, me)
        over = self.excess(ledger) > 0 and self.broken is not Broken.START_OVER_LIMIT
        spare = self.held(s, me) - self.surplus(ledger, me)
        return ledger.live[me] and not over and s.nodes[me].running < spare

    def surplus(self, ledger: Ledger, me: int) -> int:
        later = sum(ledger.held[me + 1 :])
        return min(ledger.held[me], max(0, self.excess(ledger) - later))

    def with_node(self, s: State, me: int, **changes) -> State:
        return s._replace(nodes=_set(s.nodes, me, s.nodes[me]._replace(**changes)))

    def work(self, s: State, me: int, node: Node):
        if self.may_start(s, me):
            begun = self.with_node(s, me, running=node.running + 1)
            running = sum(other.running for other in begun.nodes)
            views = range(node.offset, len(s.log) + 1)
            most = max(fold_prefix(s.log[:view], self.broken).limit for view in views)
            yield f"{me} starts", begun._replace(bad=running > most)
        if node.running:
            yield f"{me} finishes", self.with_node(s, me, running=node.running - 1)
        if node.offset < len(s.log):
            yield f"{me} folds", self.fold_one(s, me, node)

    def fold_one(self, s: State, me: int, node: Node) -> State:
        settled = node.pending is not None and s.log[node.offset].id == node.pending.id
        pending = None if settled else node.pending
        return self.with_node(s, me, offset=node.offset + 1, pending=pending)

    def proposals(self, s: State, me: int, node: Node):
        if node.pending is not None:
            if len(s.log) < MAX_LOG:
                log = (*s.log, node.pending)
                yield f"{me} {node.pending.kind} lands", s._replace(log=log)
            return
        ledger = self.ledger_of(s, me)
        mine = {rec.id for rec in s.log if rec.holder == me and rec.id >= 0}
        new = len(INCARNATIONS) * len(mine) + me
        idle = self.held(s, me) - node.running
        recs = []
        if self.excess(ledger) < 0:
            recs.append(Rec("take", me, id=new))
        if idle > 0 and self.excess(ledger) > 0:
            recs.append(Rec("return", me, id=new))
        if idle > 0 and self.excess(ledger) <= 0:
            recs.extend(Rec("move", me, to, new) for to in INCARNATIONS if to != me)
        for rec in recs:
            if len(s.log) < MAX_LOG:
                yield f"{me} offers {rec.kind}", self.with_node(s, me, pending=rec)

    def membership(self, s: State):
        ledger = fold_prefix(s.log, self.broken)
        for me, node in enumerate(s.nodes):
            if node.alive and me != REPLACED:
                yield f"{me} dies", self.with_node(s, me, alive=False)
            proved = not node.alive or self.broken is Broken.RECLAIM_SILENT
            if ledger.live[me] and proved:
                yield f"{me} is proved gone", self.append(s, Rec("gone", me))
            if not node.alive and node.running:
                yield f"{me} leases lapse", self.with_node(s, me, running=0)
            lapsed = node.running == 0 or self.broken is Broken.RECLAIM_EARLY
            if not ledger.live[me] and ledger.held[me] and lapsed:
                yield f"{me} is reclaimed", self.append(s, Rec("reclaim", me))
        if not ledger.live[REPLACED] and not s.nodes[FIRST].alive:
            joined = self.append(s, Rec("join", REPLACED))
            yield "replacement joins", self.join(joined)

    def join(self, s: State) -> State:
        return self.with_node(s, REPLACED, alive=True, offset=len(s.log))

    def append(self, s: State, rec: Rec) -> State:
        return s._replace(log=(*s.log, rec))

    def operator(self, s: State):
        limit = fold_prefix(s.log, self.broken).limit
        yield (
            "limit edited",
            self.append(s, Rec("limit", other=LIMIT + LOWERED - limit)),
        )

    def transitions(self, s: State):
        if s.bad:
            return []
        steps = []
        for me, node in enumerate(s.nodes):
            if node.alive:
                steps.extend(self.work(s, me, node))
            if node.alive or node.pending:
                steps.extend(self.proposals(s, me, node))
        if len(s.log) < MAX_LOG:
            steps.extend(self.membership(s))
            steps.extend(self.operator(s))
        else:
            steps.extend(step for step in self.membership(s) if "lapse" in step[0])
        return steps

    def within_limit(self, d: dict) -> bool:
        return not d["bad"]

    def ledger_within_limit(self, d: dict) -> bool:
        return not fold_prefix(d["log"], self.broken).overgranted

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


def build(broken: Broken | None = None) -> Protocol:
    """Return the protocol of the design, or of a broken variant."""
    return _Model(broken).protocol()


ESCROW = Mechanism(
    name="escrow",
    bounds=f"3 incarnations of 2 nodes, limit {LIMIT} lowered to {LOWERED} and back,"
    f" {MAX_LOG} records",
    build=build,
    broken={
        Broken.NO_INCARNATION: "within_limit",
        Broken.RECLAIM_SILENT: "within_limit",
        Broken.RECLAIM_EARLY: "within_limit",
        Broken.RAISE_FIRST: "within_limit",
        Broken.REGRANT_SURPLUS: "within_limit",
        Broken.START_OVER_LIMIT: "within_limit",
        Broken.NO_RECORD_IDS: "within_limit",
    },
)
