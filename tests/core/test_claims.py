"""Tests of claims: at most one run, and "not run" only if nothing ran."""

from dataclasses import dataclass, field

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hickoryplank.core.errors import FaultCode
from hickoryplank.core.fold import fold
from hickoryplank.core.records import (
    Claim,
    ClaimsForgotten,
    Dispatch,
    Evidence,
    NodeGone,
    Outcome,
    OutcomeKind,
    Proof,
)
from tests.core.builders import join_node, new_id, small_fleet, tables_with
from tests.core.cluster import Cluster, Node

indexes = st.integers(0, 2)
lands = st.booleans()


def claim(holder, request="r", claim_id="k", expires=10.0) -> Claim:
    return Claim(
        id=new_id(),
        claim=claim_id,
        team="rutas",
        queue="rondas",
        holder=holder,
        request=request,
        expires=expires,
    )


def dispatch(holder, attempt=1, boot="1", start_by=1.0, proof=None) -> Dispatch:
    return Dispatch(
        id=new_id(),
        claim="k",
        holder=holder,
        attempt=attempt,
        vm="vm-0",
        boot=boot,
        start_by=start_by,
        proof=proof,
    )


def outcome(holder, kind) -> Outcome:
    return Outcome(id=new_id(), claim="k", holder=holder, kind=kind)


@dataclass
class Worker:
    """A worker that refuses late starts and starts for another boot."""

    boot: int = 1
    clock: int = 0
    seen: int = 0
    runs: int = 0

    def start(self, start: Dispatch) -> bool:
        """Run an attempt at most once; return whether the start was accepted."""
        late = self.clock > start.start_by
        if start.boot != str(self.boot) or late or start.attempt < self.seen:
            return False
        self.runs += start.attempt > self.seen
        self.seen = start.attempt
        return True


@dataclass
class Holder:
    """A node and the state of its own dispatches.

    :param open: the dispatch that is not folded yet.
    :param accepted: the dispatch that may be sent.
    :param sends: how often ``accepted`` was sent.
    :param proofs: proof that a further attempt is safe, by attempt.
    """

    node: Node
    open: Dispatch | None = None
    accepted: Dispatch | None = None
    sends: int = 0
    proofs: dict[int, Proof] = field(default_factory=dict)
    given_up: bool = False


class ClaimMachine(RuleBasedStateMachine):
    """Nodes claim, dispatch, die and take over, while the worker reboots."""

    def __init__(self):
        super().__init__()
        self.cluster = Cluster()
        self.cluster.edit(*small_fleet())
        self.holders = [Holder(self.cluster.join(name)) for name in "abc"]
        self.worker = Worker()
        self.offered = []
        self.starts = []
        self.offer(claim(self.holders[0].node.me), lands=True)
        self.fold(0)
        self.dispatch(0, lands=True)

    def holder(self, index) -> Holder:
        alive = [holder for holder in self.holders if holder.node.alive]
        return alive[index % len(alive)]

    def mine(self, holder: Holder):
        """Return the claim as a node sees it, if it holds it open."""
        row = holder.node.tables.claims.get("k")
        open_claim = row is not None and row.outcome is None
        return row if open_claim and row.holder == holder.node.me else None

    def proof(self, holder: Holder, row) -> Proof | None:
        return holder.proofs.get(row.attempt)

    def offer(self, record, lands):
        self.offered.append(record)
        if lands:
            self.cluster.append(record)

    @rule(index=indexes, lands=lands)
    def claim(self, index, lands):
        self.offer(claim(self.holder(index).node.me), lands)

    @rule(index=indexes)
    def fold(self, index):
        holder = self.holder(index)
        while pairs := self.cluster.fold(holder.node):
            self.learn(holder, pairs)

    def learn(self, holder, pairs):
        for record, verdict in pairs:
            if record == holder.open:
                holder.open = None
                if verdict.is_ok() and not holder.given_up:
                    holder.accepted, holder.sends = record, 0
            if isinstance(record, Claim) and record.holder == holder.node.me:
                holder.given_up &= verdict.is_err()

    @rule(index=indexes, lands=lands)
    def dispatch(self, index, lands):
        holder = self.holder(index)
        row = self.mine(holder)
        if row is None or holder.open or holder.given_up:
            return
        proof = self.proof(holder, row)
        if row.attempt == 0 or proof:
            holder.open = dispatch(
                holder.node.me,
                row.attempt + 1,
                str(self.worker.boot),
                self.worker.clock + 1,
                proof,
            )
            self.offer(holder.open, lands)
            if lands:
                self.fold(index)
                self.send(index)

    @precondition(lambda self: self.offered)
    @rule(index=st.integers(0, 3))
    def land(self, index):
        self.cluster.append(self.offered[-1 - index % len(self.offered)])

    @rule(index=indexes)
    def send(self, index):
        holder = self.holder(index)
        if holder.accepted and not holder.given_up and self.mine(holder):
            holder.sends += 1
            self.starts.append((holder, holder.accepted))

    @precondition(lambda self: self.starts)
    @rule(index=indexes, answered=st.booleans(), late=st.booleans())
    def arrive(self, index, answered, late):
        """Let a start arrive; a late one waits for the worker's clock."""
        holder, start = self.starts.pop(index % len(self.starts))
        if late:
            self.tick(2)
            self.ask(index, lands=True)
            self.dispatch(index, lands=True)
        if not self.worker.start(start) and answered and holder.sends == 1:
            holder.proofs[start.attempt] = Proof.REFUSED

    @rule(index=indexes, lands=lands)
    def ask(self, index, lands):
        holder = self.holder(index)
        row, worker = self.mine(holder), self.worker
        if row is None or row.attempt == 0 or row.boot != str(worker.boot):
            return
        if worker.seen >= row.attempt:
            self.offer(outcome(holder.node.me, OutcomeKind.DONE), lands)
        elif worker.clock > row.start_by:
            holder.proofs[row.attempt] = Proof.START_MISSED

    @precondition(lambda self: self.worker.boot > 1 or self.worker.clock > 4)
    @rule(index=indexes, lands=lands)
    def give_up(self, index, lands):
        holder = self.holder(index)
        row = self.mine(holder)
        if row is None or holder.open:
            return
        not_run = row.attempt == 0 or self.proof(holder, row)
        kind = OutcomeKind.NOT_RUN if not_run else OutcomeKind.UNKNOWN
        holder.given_up = True
        self.offer(outcome(holder.node.me, kind), lands)

    @rule(ticks=st.integers(1, 2))
    def tick(self, ticks):
        self.worker.clock += ticks

    @precondition(lambda self: self.worker.boot < 3)
    @rule()
    def reboot(self):
        self.worker = Worker(boot=self.worker.boot + 1, runs=self.worker.runs)

    @precondition(lambda self: all(h.node.alive for h in self.holders))
    @rule(index=indexes, lands=lands)
    def kill(self, index, lands):
        node = self.holder(index).node
        node.alive = False
        gone = NodeGone(
            id=new_id(),
            node=node.name,
            incarnation=node.me,
            evidence=Evidence.VM_GONE,
        )
        self.offer(gone, lands)

    @invariant()
    def at_most_one_run(self):
        assert self.worker.runs <= 1

    @invariant()
    def not_run_is_true(self):
        row = self.cluster.tail.claims.get("k")
        if row and row.outcome and row.outcome.kind is OutcomeKind.NOT_RUN:
            assert self.worker.runs == 0


ClaimMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=50)
test_claim_machine = ClaimMachine.TestCase

A, B = "first", "second"


@pytest.mark.parametrize(
    ("records", "code"),
    [
        ([lambda h: claim(h[A]), lambda h: claim(h[B])], FaultCode.CLAIMED),
        (
            [lambda h: claim(h[A]), lambda h: claim(h[B], request="other")],
            FaultCode.REQUEST_MISMATCH,
        ),
        ([lambda h: claim(999)], FaultCode.NOT_LIVE),
        ([lambda h: claim(h[A]), lambda h: dispatch(h[B])], FaultCode.NOT_HOLDER),
        (
            [
                lambda h: claim(h[A]),
                lambda h: dispatch(h[A]),
                lambda h: dispatch(h[A], attempt=2),
            ],
            FaultCode.PROOF_MISSING,
        ),
        (
            [
                lambda h: claim(h[A]),
                lambda h: dispatch(h[A]),
                lambda h: dispatch(h[A], proof=Proof.REFUSED),
            ],
            FaultCode.STALE,
        ),
        (
            [
                lambda h: claim(h[A]),
                lambda h: outcome(h[A], OutcomeKind.DONE),
                lambda h: outcome(h[A], OutcomeKind.UNKNOWN),
            ],
            FaultCode.SETTLED,
        ),
        (
            [
                lambda h: claim(h[A]),
                lambda h: outcome(h[A], OutcomeKind.UNKNOWN),
                lambda h: ClaimsForgotten(id=new_id(), before=99.0),
                lambda h: claim(h[B]),
            ],
            FaultCode.SETTLED,
        ),
    ],
)
def test_last_record_is_refused(records, code):
    tables = tables_with(small_fleet())
    holders = {A: join_node(tables, "a"), B: join_node(tables, "b")}
    *before, last = [make(holders) for make in records]
    for record in before:
        fold(tables, record).unwrap()
    assert fold(tables, last).unwrap_err().faults[0].code is code
