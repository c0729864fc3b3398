"""Tests of the escrow with several nodes that fold one log independently."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hickoryplank.core.escrow import ROTATION_SECONDS, Escrow, PeerUnitsRequest
from hickoryplank.core.fold import fold
from hickoryplank.core.objects import Limit
from hickoryplank.core.records import (
    Evidence,
    NodeGone,
    NodeLeft,
    NodeReclaimed,
    UnitsTaken,
)
from hickoryplank.core.tables import NodeState
from hickoryplank.core.units import excess, surplus
from tests.core.builders import join_node, new_id, small_fleet, tables_with
from tests.core.cluster import Cluster

TEAM = "rutas"
indexes = st.integers(0, 11)
small = st.integers(1, 4)
lands = st.booleans()


class EscrowMachine(RuleBasedStateMachine):
    """Nodes start work, transfer units, die and are replaced, in any order."""

    def __init__(self):
        super().__init__()
        self.cluster = Cluster()
        self.cluster.edit(*small_fleet(limit=6))
        self.offered = []
        for name in ("a", "b", "c"):
            node = self.cluster.join(name)
            self.offer(node.escrow.acquire(node.tables, TEAM, queued=2), lands=True)
        self.fold_all()
        self.now = 0.0

    def alive(self, index):
        nodes = [node for node in self.cluster.nodes if node.alive]
        return nodes[index % len(nodes)]

    def dead(self, index):
        nodes = [node for node in self.cluster.nodes if not node.alive]
        return nodes[index % len(nodes)]

    def may_die(self):
        alive = sum(node.alive for node in self.cluster.nodes)
        return alive > 2 and len(self.cluster.nodes) < 6

    def has_dead(self):
        return any(not node.alive for node in self.cluster.nodes)

    def append(self, *records):
        """Append records and check that no units are granted above the limit."""
        before = sum(self.cluster.tail.units.get(TEAM, {}).values())
        self.cluster.append(*records)
        after = sum(self.cluster.tail.units.get(TEAM, {}).values())
        assert after <= max(before, self.cluster.tail.limit_of(TEAM))

    def offer(self, record, lands):
        if record is not None:
            self.offered.append(record)
            if lands:
                self.append(record)

    @rule(index=indexes, steps=small)
    def fold(self, index, steps):
        for _ in range(steps):
            self.cluster.fold(self.alive(index))

    @rule()
    def fold_all(self):
        for node in self.cluster.nodes:
            while node.alive and self.cluster.fold(node):
                pass

    @rule(index=indexes, times=small)
    def start(self, index, times):
        node = self.alive(index)
        for _ in range(times):
            if node.escrow.start(node.tables, TEAM):
                limits = self.cluster.limits[node.tables.next_offset :]
                assert sum(self.cluster.running(TEAM).values()) <= max(limits)

    @rule(index=indexes)
    def finish(self, index):
        node = self.alive(index)
        if node.escrow.running(TEAM):
            node.escrow.finish(TEAM)

    @rule(index=indexes, queued=small, lands=lands)
    def acquire(self, index, queued, lands):
        node = self.alive(index)
        self.offer(node.escrow.acquire(node.tables, TEAM, queued), lands)

    @rule(index=indexes, lands=lands)
    def return_surplus(self, index, lands):
        node = self.alive(index)
        self.offer(node.escrow.return_surplus(node.tables, TEAM), lands)

    @rule(index=indexes, other=indexes, queued=small, lands=lands)
    def ask_and_answer(self, index, other, queued, lands):
        asker, holder = self.alive(index), self.alive(other)
        self.now += 0.1
        wanted = asker.escrow.request_units(asker.tables, TEAM, queued, self.now)
        if wanted is not None and asker is not holder:
            holder.escrow.note_request(wanted, self.now)
        for move in holder.escrow.grant_requests(
            holder.tables, TEAM, queued - 1, self.now
        ):
            self.offer(move, lands)

    @precondition(lambda self: self.offered)
    @rule(age=small, batch=small)
    def land(self, age, batch):
        """Append offered records, possibly repeated or late."""
        at = max(0, len(self.offered) - age)
        self.append(*self.offered[max(0, at - batch + 1) : at + 1])

    @rule(units=st.integers(3, 8), seen=st.booleans())
    def edit_limit(self, units, seen):
        self.cluster.edit(Limit(name=TEAM, units=units))
        if seen:
            self.fold_all()

    @rule(index=indexes, other=indexes, lands=lands)
    def give(self, index, other, lands):
        node, receiver = self.alive(index), self.alive(other)
        move = node.escrow.offer(node.tables, TEAM, receiver.me, 1)
        self.offer(move, lands)

    @precondition(may_die)
    @rule(index=indexes)
    def kill(self, index):
        node = self.alive(index)
        node.orphans = node.escrow.running(TEAM)
        node.alive = False

    @precondition(may_die)
    @rule(index=indexes)
    def leave(self, index):
        node = self.alive(index)
        if node.escrow.running(TEAM) == 0:
            node.alive = False
            self.append(NodeLeft(id=new_id(), node=node.name, incarnation=node.me))

    @precondition(has_dead)
    @rule(index=indexes)
    def lapse(self, index):
        self.dead(index).orphans = 0

    @precondition(has_dead)
    @rule(index=indexes)
    def prove_gone(self, index):
        node = self.dead(index)
        self.append(
            NodeGone(
                id=new_id(),
                node=node.name,
                incarnation=node.me,
                evidence=Evidence.VM_GONE,
            )
        )

    @precondition(has_dead)
    @rule(index=indexes)
    def reclaim(self, index):
        node = self.dead(index)
        row = self.cluster.tail.nodes.get(node.me)
        if row is not None and row.state is NodeState.GONE and node.orphans == 0:
            self.append(NodeReclaimed(id=new_id(), node=node.name, incarnation=node.me))

    @precondition(has_dead)
    @rule(index=indexes)
    def replace(self, index):
        name = self.dead(index).name
        if not any(node.alive and node.name == name for node in self.cluster.nodes):
            self.cluster.join(name)

    @invariant()
    def nobody_runs_more_than_it_holds(self):
        held = self.cluster.tail.units.get(TEAM, {})
        for me, running in self.cluster.running(TEAM).items():
            assert running <= held.get(me, 0)

    @invariant()
    def surplus_is_what_exceeds_the_limit(self):
        tables = self.cluster.tail
        owed = [surplus(tables, TEAM, me) for me in tables.units.get(TEAM, {})]
        assert sum(owed) == max(0, excess(tables, TEAM))


EscrowMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=50)
test_escrow_machine = EscrowMachine.TestCase


@pytest.mark.parametrize(
    ("limit", "demands", "waits", "expected"),
    [
        (8, {"b": 9, "c": 9}, {"b": 0.0, "c": 0.0}, {"b": 4, "c": 4}),
        (8, {"b": 1, "c": 9}, {"b": 0.0, "c": 0.0}, {"b": 1, "c": 7}),
        (1, {"b": 9, "c": 9}, {"b": 0.4, "c": 0.1}, {"b": 1}),
        (1, {"b": 9, "c": 9}, {"b": 0.1, "c": 0.4}, {"c": 1}),
        (2, {"b": 9}, {"b": 0.0}, {"b": 2}),
    ],
)
def test_idle_units_are_split_max_min_fair(limit, demands, waits, expected):
    tables = tables_with(small_fleet(limit=limit))
    nodes = {name: join_node(tables, name) for name in "abc"}
    giver = Escrow(nodes["a"], new_id)
    fold(tables, giver.acquire(tables, TEAM, limit)).unwrap()
    giver.note_folded(giver.pending_records()[0])
    for name, demand in demands.items():
        wanted = PeerUnitsRequest(TEAM, nodes[name], demand, waits[name])
        giver.note_request(wanted, now=9.0)
    moves = giver.grant_requests(tables, TEAM, 0, now=9.0)
    names = {me: name for name, me in nodes.items()}
    assert {names[move.receiver]: move.units for move in moves} == expected


def test_limit_below_number_of_nodes_rotates():
    tables = tables_with(small_fleet(limit=1))
    nodes = [Escrow(join_node(tables, name), new_id) for name in "abcd"]
    fold(tables, UnitsTaken(id=new_id(), team=TEAM, holder=nodes[0].me, units=1))
    starts, now = dict.fromkeys(range(4), 0), 0.0
    for _ in range(40):
        now += ROTATION_SECONDS
        holder = next(n for n in nodes if n.held(tables, TEAM))
        for node in nodes:
            wanted = node.request_units(tables, TEAM, 5, now)
            if wanted is not None:
                holder.note_request(wanted, now)
        assert holder.start(tables, TEAM)
        starts[nodes.index(holder)] += 1
        holder.finish(TEAM)
        for move in holder.grant_requests(tables, TEAM, queued=5, now=now):
            fold(tables, move).unwrap()
            holder.note_folded(move)
    assert max(starts.values()) - min(starts.values()) <= 2
