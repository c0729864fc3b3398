"""Random traces of the specifications, replayed on the real fold."""

import random

import pytest

from hickoryplank.core.fold import fold, fold_batch
from hickoryplank.core.objects import Kind, Limit, Pool, Ref
from hickoryplank.core.records import (
    BaseRevision,
    Claim,
    Dispatch,
    EditSet,
    Evidence,
    NodeGone,
    NodeJoined,
    NodeReclaimed,
    Outcome,
    OutcomeKind,
    Proof,
    Put,
    Record,
    UnitsMoved,
    UnitsReturned,
    UnitsTaken,
)
from hickoryplank.core.tables import Tables, decode_tables, encode_tables
from spec import claims, escrow
from spec import fold as fold_spec
from tests.core.builders import edit_set, join_node, new_id, small_fleet, tables_with

WALK_COUNT = 150
MAX_STEPS = 40
TEAM = "rutas"


def random_walk(build, seed):
    """Yield the labels and states of one random walk through a specification."""
    choose = random.Random(seed)
    protocol = build()
    state = protocol.initial
    yield "", state
    for _ in range(MAX_STEPS):
        steps = protocol.transitions(state)
        if not steps:
            return
        label, state = choose.choice(steps)
        yield label, state


class FoldReplay:
    """Real tables for each node in the specification of the fold."""

    def __init__(self):
        self.tables = [Tables(), Tables()]
        self.snapshots = {0: encode_tables(Tables())}
        self.log = []

    def record(self, edit: fold_spec.Edit) -> EditSet:
        """Return the real edit set for ``edit``."""
        refs = [
            Ref(Kind.POOL, "ab"[obj]) for obj in fold_spec.EDITED_OBJECTS[edit.number]
        ]
        pairs = zip(refs, edit.base, strict=True)
        return EditSet(
            id=f"edit-{edit.number}",
            operator="olga",
            base=tuple(BaseRevision(ref, base) for ref, base in pairs),
            edits=tuple(Put(Pool(name=ref.name)) for ref in refs),
        )

    def advance(self, label: str, state: fold_spec.State) -> None:
        """Perform the step ``label`` on the real tables."""
        self.log.extend(map(self.record, state.log[len(self.log) :]))
        verb, _, rest = label.rpartition(" ")
        if verb == "fold":
            number = int(rest)
            offset = self.tables[number].next_offset
            fold_batch(self.tables[number], offset, (self.log[offset],))
        elif verb == "snapshot":
            tables = self.tables[int(rest)]
            self.snapshots[tables.next_offset] = encode_tables(tables)
        elif verb in ("load", "restart"):
            offset = state.nodes[int(rest)].offset
            self.tables[int(rest)] = decode_tables(self.snapshots[offset])

    def compare(self, state: fold_spec.State) -> None:
        """Check that the tables of each node match its abstract state."""
        for number, node in enumerate(state.nodes):
            tables = self.tables[number]
            pools = tables.objects[Kind.POOL]
            revisions = tuple(pools[n].revision if n in pools else 0 for n in "ab")
            prefix = state.log[: node.offset]
            assert tables.next_offset == node.offset
            assert revisions == fold_spec.fold_prefix(prefix, number, None).revisions


class EscrowReplay:
    """Real tables at the tail of the log in the specification of the escrow."""

    def __init__(self):
        self.tables = tables_with(small_fleet(limit=escrow.LIMIT))
        self.incarnations = [join_node(self.tables, name) for name in ("a", "b")]
        self.folded = 0
        taken = UnitsTaken(
            id=new_id(), team=TEAM, holder=self.incarnations[0], units=escrow.LIMIT
        )
        fold(self.tables, taken).unwrap()

    def record(self, abstract_record: escrow.Record) -> Record:
        """Return the real record for ``abstract_record``."""
        if abstract_record.kind == "limit":
            return edit_set(
                self.tables, Put(Limit(name=TEAM, units=abstract_record.other))
            )
        name = "abc"[abstract_record.holder]
        if abstract_record.kind == "join":
            return NodeJoined(
                id=new_id(), node=name, api="127.0.0.1:1", peer="c:2", zone="coronel"
            )
        me = self.incarnations[abstract_record.holder]
        units = {"id": f"u{abstract_record.id}", "team": TEAM, "units": 1}
        match abstract_record.kind:
            case "gone":
                return NodeGone(
                    id=new_id(), node=name, incarnation=me, evidence=Evidence.VM_GONE
                )
            case "reclaim":
                return NodeReclaimed(id=new_id(), node=name, incarnation=me)
            case "take":
                return UnitsTaken(holder=me, **units)
            case "return":
                return UnitsReturned(holder=me, **units)
            case _:
                others = [*self.incarnations, -1]
                return UnitsMoved(
                    giver=me, receiver=others[abstract_record.other], **units
                )

    def advance(self, label: str, state: escrow.State) -> None:
        """Fold the records that the step appended."""
        for abstract_record in state.log[self.folded :]:
            result = fold(self.tables, self.record(abstract_record))
            if abstract_record.kind == "join":
                self.incarnations.append(result.unwrap())
        self.folded = len(state.log)

    def compare(self, state: escrow.State) -> None:
        """Check that the tables match the abstract ledger."""
        ledger = escrow.fold_prefix(state.log)
        units = self.tables.units.get(TEAM, {})
        known = [*self.incarnations, -1][: len(ledger.held)]
        assert self.tables.limit_of(TEAM) == ledger.limit
        assert tuple(units.get(me, 0) for me in known) == ledger.held
        assert tuple(map(self.tables.is_live, known)) == ledger.live


class ClaimsReplay:
    """Real tables at the tail of the log in the specification of claims."""

    def __init__(self):
        self.tables = tables_with(small_fleet())
        self.incarnations = [join_node(self.tables, name) for name in ("a", "b")]

    def record(self, label: str, row: claims.Row) -> Record | None:
        """Return the real record that the step appended, if any."""
        me = self.incarnations[int(label[0])] if label[:1].isdigit() else 0
        common_fields = {"id": new_id(), "claim": "k", "holder": me}
        match label.split()[1:]:
            case ["claims"]:
                common_fields |= {"team": TEAM, "queue": "rondas", "request": "r"}
                return Claim(expires=9.0, **common_fields)
            case ["dispatches", attempt]:
                proof = Proof.START_MISSED if int(attempt) > 1 else None
                common_fields |= {"attempt": int(attempt), "boot": str(row.boot)}
                common_fields |= {"vm": "vm-0", "start_by": float(row.start_by)}
                return Dispatch(proof=proof, **common_fields)
            case ["says", "not", "run"]:
                return Outcome(kind=OutcomeKind.NOT_RUN, **common_fields)
            case ["says", "unknown"]:
                return Outcome(kind=OutcomeKind.UNKNOWN, **common_fields)
            case ["reads", "outcome"]:
                return Outcome(kind=OutcomeKind.DONE, **common_fields)
            case ["is", "proved", "gone"]:
                return NodeGone(
                    id=new_id(), node="a", incarnation=me, evidence=Evidence.VM_GONE
                )
        return None

    def advance(self, label: str, state: claims.State) -> None:
        """Fold the record that the step appended; the fold must accept it."""
        record = self.record(label, state.row)
        if record is not None:
            fold(self.tables, record).unwrap()

    def compare(self, state: claims.State) -> None:
        """Check that the claim in the tables matches the abstract claim."""
        row = self.tables.claims.get("k")
        if row is None:
            assert state.row == claims.Row()
            return
        assert row.holder == self.incarnations[state.row.holder]
        assert row.attempt == state.row.attempt
        assert (row.boot or "0") == str(state.row.boot)
        assert row.start_by == state.row.start_by
        assert (row.outcome and row.outcome.kind.value) == state.row.outcome


@pytest.mark.parametrize(
    ("build", "replay"),
    [
        (fold_spec.build, FoldReplay),
        (escrow.build, EscrowReplay),
        (claims.build, ClaimsReplay),
    ],
)
def test_real_fold_follows_the_specification(build, replay):
    for seed in range(WALK_COUNT):
        real = replay()
        for label, state in random_walk(build, seed):
            real.advance(label, state)
            real.compare(state)
